package configstore

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/internal/rpc"
)

const votersTimeout = 4 * time.Second

// Voters returns the command that gives core machines a vote or takes it away.
func Voters() *cobra.Command {
	var seat, unseat []string
	cmd := &cobra.Command{Use: "voters ADDRESS", Short: "Change which core machines vote; ADDRESS is that of a store's internal port", Args: cobra.ExactArgs(1),
		Long: "Machines are named by their IP numbers. One that takes another's place is seated with the same\n" +
			"call that unseats the other; it votes once it has read from the others what is agreed."}
	cmd.Flags().StringSliceVar(&seat, "seat", nil, "machines that are to vote")
	cmd.Flags().StringSliceVar(&unseat, "unseat", nil, "machines that are to vote no more")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if len(seat)+len(unseat) == 0 {
			return errors.New("voters: nothing to change: give --seat or --unseat; status tells who votes")
		}
		for _, ip := range append(append([]string{}, seat...), unseat...) {
			if _, err := netip.ParseAddr(ip); err != nil {
				return fmt.Errorf("voters: %q is no IP number: write one as in 10.1.0.4", ip)
			}
		}
		order := controlstate.Order{Kind: controlstate.ChangeVoters, AddVoters: seat, RemoveVoters: unseat}
		for range 2 { // the second call confirms that the change is chosen
			var response ChangeResponse
			if err := rpc.NewCaller().Call(cmd.Context(), args[0], CallChange, ChangeRequest{Orders: []controlstate.Order{order}}, &response, votersTimeout); err != nil {
				return err
			}
			if len(response.Outcomes) != 1 {
				return errors.New("voters: no majority of the stores answers: bring one back, then call again")
			}
			if outcome := response.Outcomes[0]; outcome.Status != 200 {
				return fmt.Errorf("voters: %s", outcome.Text)
			}
		}
		var status rpc.Status
		if err := rpc.NewCaller().Call(cmd.Context(), args[0], rpc.CallStatus, nil, &status, votersTimeout); err != nil {
			return err
		}
		for _, line := range status.Lines {
			fmt.Fprintln(cmd.OutOrStdout(), line)
		}
		return nil
	}
	return cmd
}
