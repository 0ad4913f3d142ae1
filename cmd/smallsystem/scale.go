package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"example.org/madderdrum/internal/testring"
	"example.org/madderdrum/traffic/allowance"
)

// scaleCommand returns the command that simulates the control state at several fleet sizes in virtual
// time and prints the message rates of one limiter.
func scaleCommand() *cobra.Command {
	var limiters, servers []int
	var span time.Duration
	var seed uint64
	cmd := &cobra.Command{Use: "scale", Short: "Play the control state at several sizes in virtual time, and print what it says", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			if len(limiters) != len(servers) || span <= 0 {
				return fmt.Errorf("scale: %d numbers of limiters and %d of servers, for %v: give as many of both, and a time above 0", len(limiters), len(servers), span)
			}
			for i := range limiters {
				if limiters[i] < 1 || servers[i] < 0 {
					return fmt.Errorf("scale: %d limiters and %d servers: write 1 or more and 0 or more", limiters[i], servers[i])
				}
			}
			for i := range limiters {
				if err := simulate(seed, limiters[i], servers[i], span); err != nil {
					return err
				}
			}
			return nil
		}}
	cmd.Flags().IntSliceVar(&limiters, "limiters", []int{9, 30, 90}, "numbers of limiters")
	cmd.Flags().IntSliceVar(&servers, "servers", []int{36, 120, 350}, "numbers of servers, one for each")
	cmd.Flags().DurationVar(&span, "for", 20*time.Second, "virtual time that is counted, behind 10 s in which all begin")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of all that is left to chance")
	return cmd
}

func simulate(seed uint64, limiters, servers int, span time.Duration) error {
	started := time.Now()
	ring := testring.New(testring.Options{Seed: seed, Regions: 3, Zones: 3, Limiters: limiters, Cores: 5, Servers: servers, Tenants: min(90, max(8, limiters)), PerS: 10 * float64(limiters),
		Loss: 0.002, OmitCatalogs: limiters*servers > 500_000, Rules: allowance.Rules{QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1, QuotaSlack: 20, RetryRatio: 0.2, RetrySlack: 200}})
	ring.Run(10_000)
	clear(ring.Sent)
	refused, requests := ring.Refused, ring.Requests
	ring.Run(float64(span / time.Millisecond))
	fmt.Printf("%d limiters, %d servers, %v in %v: refused within quotas %.4f of %d requests, quota overrun %.0f, out of reach by mistake %d\n", limiters, servers,
		span, time.Since(started).Round(time.Millisecond), float64(ring.Refused-refused)/max(1, float64(ring.Requests-requests)), ring.Requests-requests, max(0, ring.MaxQuotaExcess()), ring.CountFalseUnreachable())
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "kind\tmessages/s\tbytes/s of a limiter")
	for _, kind := range []string{"pulls", "line", "loans", "asks", "spending", "registries", "beats"} {
		sent := ring.Sent[kind]
		if sent == nil {
			sent = &testring.Kind{}
		}
		limiterSeconds := float64(limiters) * span.Seconds()
		fmt.Fprintf(out, "%s\t%.2f\t%.0f\n", kind, sent.Messages/limiterSeconds, sent.Bytes/limiterSeconds)
	}
	return out.Flush()
}
