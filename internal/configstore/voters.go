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

const votersWithin = 4 * time.Second

// Voters is the command that lets core machines vote, or has them vote no more.
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
		for range 2 { // the second has the change known to be chosen
			var a Changed
			if err := rpc.NewCaller().Call(cmd.Context(), args[0], CallChange, Change{Orders: []controlstate.Order{order}}, &a, votersWithin); err != nil {
				return err
			}
			if len(a.Outcomes) != 1 {
				return errors.New("voters: no majority of the stores answers: bring one back, then call again")
			}
			if o := a.Outcomes[0]; o.Status != 200 {
				return fmt.Errorf("voters: %s", o.Text)
			}
		}
		var s rpc.Status
		if err := rpc.NewCaller().Call(cmd.Context(), args[0], rpc.CallStatus, nil, &s, votersWithin); err != nil {
			return err
		}
		for _, l := range s.Lines {
			fmt.Fprintln(cmd.OutOrStdout(), l)
		}
		return nil
	}
	return cmd
}
