//go:build !platform

package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"example.org/madderdrum/internal/faults"
)

// faultsCommand plays faults between several processes of this program.
type faultsCommand struct {
	Run faultsRun `cmd:"" help:"Start several limiters on loopback, inject faults by schedules, and tell what broke."`
}

type faultsRun struct {
	Schedule string        `placeholder:"FILE" help:"Steps, one a line; drawn from the seed if left out. See docs/ownership.md."`
	Seeds    int           `default:"1" help:"Play so many seeds from --seed on."`
	Seed     uint64        `default:"1" help:"The first seed; equal seeds draw equal schedules."`
	Limiters int           `default:"3" help:"Limiters."`
	Voters   int           `default:"3" help:"Of them so many vote."`
	Term     time.Duration `default:"1s" help:"Of duties."`
	Load     int           `default:"20" help:"Requests a second from clients."`
	Within   time.Duration `default:"60s" help:"What a schedule waits for has to come within this."`
	Parallel int           `default:"4" help:"Play so many schedules at a time."`
	Program  string        `type:"existingfile" help:"The program to start; this one if left out. Steps with disks need one built with -tags faults."`
	Quiet    bool          `short:"q" help:"Show no timelines, but of what broke."`
}

// Help is the long help text.
func (faultsRun) Help() string {
	return "Steps:\n  " + strings.Join(faults.Verbs(), "\n  ") + `
X is n0, n1, ..., or owner, leader, other (one that is neither) or all. Ends with exit code 2 if
anything broke, and prints the command that plays it again.`
}

// Run is the command.
func (c *faultsRun) Run() error {
	if c.Voters < 1 || c.Voters > c.Limiters || c.Voters%2 == 0 {
		return fmt.Errorf("--voters %d of --limiters %d: write one, three or five, and no more than limiters", c.Voters, c.Limiters)
	}
	if c.Seeds < 1 || c.Parallel < 1 {
		return fmt.Errorf("--seeds and --parallel are at least 1")
	}
	var steps []faults.Step
	if c.Schedule != "" {
		text, err := os.ReadFile(c.Schedule)
		if err != nil {
			return err
		}
		if steps, err = faults.Parse(c.Schedule, string(text)); err != nil {
			return err
		}
	}
	if c.Program == "" {
		var err error
		if c.Program, err = os.Executable(); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var mu sync.Mutex
	var tasks sync.WaitGroup
	var gaps []time.Duration
	var failed error
	calls, requests, played, broken := 0, 0, 0, 0
	slots := make(chan struct{}, c.Parallel)
	for k := range c.Seeds {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		tasks.Go(func() {
			defer func() { <-slots }()
			seed := c.Seed + uint64(k)
			plays := steps
			if plays == nil {
				plays = faults.Random(seed, c.Limiters)
			}
			o := faults.Options{Program: c.Program, Limiters: c.Limiters, Voters: c.Voters, Term: c.Term, Steps: plays, Load: c.Load, Within: c.Within}
			r, err := faults.Run(ctx, o)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && ctx.Err() == nil {
				failed = cmp.Or(failed, fmt.Errorf("seed %d: %w", seed, err))
			}
			if err != nil {
				return
			}
			played++
			calls, requests, gaps = calls+len(r.Calls), requests+r.Requests, append(gaps, r.Gaps...)
			if len(r.Broken) > 0 {
				broken++
			}
			if !c.Quiet || len(r.Broken) > 0 {
				fmt.Printf("seed %d\n%s\n", seed, strings.Join(r.Timeline, "\n"))
			}
			for _, b := range r.Broken {
				fmt.Printf("BROKEN: %s\n", b)
			}
			if len(r.Broken) > 0 {
				fmt.Printf("again: madderdrum faults run --seed %d%s --limiters %d --voters %d --term %v --load %d\n", seed, scheduleFlag(c.Schedule), c.Limiters, c.Voters, c.Term, c.Load)
			}
		})
	}
	tasks.Wait()
	fmt.Printf("%d schedules, %d calls between limiters, %d requests carried out by boxes; %d broken\n", played, calls, requests, broken)
	if len(gaps) > 0 {
		slices.Sort(gaps)
		fmt.Printf("without an owner, %d times: median %.2f s, worst %.2f s\n", len(gaps), gaps[len(gaps)/2].Seconds(), gaps[len(gaps)-1].Seconds())
	}
	if failed != nil {
		return failed
	}
	if broken > 0 {
		return exitStatus(2)
	}
	return nil
}

func scheduleFlag(file string) string {
	if file == "" {
		return ""
	}
	return " --schedule " + file
}
