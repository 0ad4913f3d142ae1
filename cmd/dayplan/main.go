// Command dayplan generates a random schedule of faults for one simulated day and prints it.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"example.org/madderdrum/internal/dayplan"
)

func main() {
	var seed uint64
	var entries int
	var named []string
	cmd := &cobra.Command{Use: "dayplan", Short: "Draw a day of troubles for the operators' bench", Args: cobra.NoArgs, SilenceUsage: true}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		day, err := dayplan.Draw(seed, entries, named...)
		if err != nil {
			return err
		}
		_, err = fmt.Fprint(cmd.OutOrStdout(), day)
		return err
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "the same seed draws the same day")
	cmd.Flags().IntVar(&entries, "entries", 5, "troubles of the day")
	cmd.Flags().StringSliceVar(&named, "with", nil, "kinds that stand in it in any case")
	if cmd.Execute() != nil {
		os.Exit(1)
	}
}
