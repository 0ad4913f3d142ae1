//go:build !platform

package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"example.org/madderdrum/internal/faults"
)

// faultsCommand groups the commands that inject faults into several processes of this program.
type faultsCommand struct {
	Run  faultsRun  `cmd:"" help:"Start several limiters on loopback, inject faults by schedules, and tell what broke."`
	List faultsList `cmd:"" help:"The hard cases that the program knows by name."`
}

type faultsList struct{}

// Run executes `madderdrum faults list`.
func (faultsList) Run() error {
	for _, c := range faults.Cases() {
		fmt.Printf("%-18s %s\n", c.Name, c.What)
	}
	return nil
}

type faultsRun struct {
	Schedule string        `placeholder:"FILE" help:"Steps, one a line; drawn from the seed if left out. See docs/ownership.md." xor:"what"`
	Case     string        `placeholder:"NAME" help:"A hard case by its name, or all." xor:"what"`
	Seeds    int           `default:"1" help:"Play so many seeds from --seed on."`
	Seed     uint64        `default:"1" help:"The first seed; equal seeds draw equal schedules."`
	Limiters int           `help:"Limiters; what the schedule says if left out, or 3."`
	Voters   int           `help:"Of them so many vote; what the schedule says if left out, or 3."`
	Term     time.Duration `default:"1s" help:"Of duties."`
	Load     int           `default:"20" help:"Requests a second from clients."`
	Watch    string        `enum:",room,each" default:"" help:"Have a discovery, followed by one limiter of each room for the others (room), or by each."`
	Within   time.Duration `default:"60s" help:"What a schedule waits for has to come within this."`
	Parallel int           `default:"4" help:"Play so many schedules at a time."`
	Program  string        `type:"existingfile" help:"The program to start; this one if left out. Steps with disks need one built with -tags faults."`
	Keep     string        `placeholder:"DIR" help:"Keep logs and configurations of what broke, in a folder a seed."`
	Quiet    bool          `short:"q" help:"Show no timelines, but of what broke."`
}

// Help returns the detailed help text of `madderdrum faults run`.
func (faultsRun) Help() string {
	return "Steps:\n  " + strings.Join(faults.Verbs(), "\n  ") + `
X is n0, n1, ..., or owner, leader, other (one that is neither), watcher (which looks for room-a),
mates (for which it does) or all. Ends with exit code 2 if
anything broke, and prints the command that plays it again.`
}

// Run executes `madderdrum faults run`.
func (c *faultsRun) Run() error {
	if c.Seeds < 1 || c.Parallel < 1 {
		return fmt.Errorf("--seeds and --parallel are at least 1")
	}
	runs, err := c.schedules()
	if err != nil {
		return err
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
	calls, requests, ceiling, moved, terms, lists, connects, played, broken := 0, 0, 0, 0, 0, 0, 0, 0, 0
	slots := make(chan struct{}, c.Parallel)
	for _, p := range runs {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		tasks.Go(func() {
			defer func() { <-slots }()
			o := faults.Options{Program: c.Program, Limiters: p.Limiters, Voters: p.Voters, Term: c.Term, Steps: p.Steps, Watch: cmp.Or(p.Watch, c.Watch), Peers: p.Peers, Load: c.Load, Within: c.Within}
			if c.Keep != "" {
				o.Keep = filepath.Join(c.Keep, filepath.Base(p.Name))
			}
			r, err := faults.Run(ctx, o)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && ctx.Err() == nil {
				failed = cmp.Or(failed, fmt.Errorf("%s: %w", p.Name, err))
			}
			if err != nil {
				return
			}
			played++
			calls, requests, gaps = calls+len(r.Calls), requests+r.Requests, append(gaps, r.Gaps...)
			terms = max(terms, r.Terms)
			lists, connects = lists+r.Lists, connects+r.Looks
			ceiling, moved = ceiling+r.Ceiling, moved+r.Moved
			if len(r.Broken) > 0 {
				broken++
			}
			if !c.Quiet || len(r.Broken) > 0 {
				fmt.Printf("%s\n%s\n", p.Name, strings.Join(r.Timeline, "\n"))
			}
			for _, b := range r.Broken {
				fmt.Printf("BROKEN: %s\n", b)
			}
			if len(r.Broken) > 0 {
				watchFlag := ""
				if c.Watch != "" {
					watchFlag = " --watch " + c.Watch
				}
				fmt.Printf("again: madderdrum faults run %s --limiters %d --voters %d --term %v --load %d%s\n", p.flags, p.Limiters, p.Voters, c.Term, c.Load, watchFlag)
			}
		})
	}
	tasks.Wait()
	fmt.Printf("%d schedules, %d calls between limiters, %d requests carried out by boxes, %d of them under the ceiling, whose parts moved in %d; %d broken\n", played, calls, requests, ceiling, moved, broken)
	if lists > 0 {
		fmt.Printf("discovery answered %d calls; limiters tried %d connections to the first box while they were cut off from it\n", lists, connects)
	}
	fmt.Printf("terms of a duty begun: %d at most\n", terms)
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

// scheduledRun is a schedule and the flags that reproduce it.
type scheduledRun struct {
	faults.Schedule
	flags string
}

// schedules returns the schedules to run: from a file, the named cases, or drawn from the seeds.
func (c *faultsRun) schedules() (all []scheduledRun, err error) {
	switch {
	case c.Schedule != "":
		text, err := os.ReadFile(c.Schedule)
		if err != nil {
			return nil, err
		}
		s, err := faults.Parse(c.Schedule, string(text))
		if err != nil {
			return nil, err
		}
		all = append(all, scheduledRun{*s, "--schedule " + c.Schedule})
	case c.Case != "":
		var names []string
		for _, s := range faults.Cases() {
			names = append(names, s.Name)
			if c.Case == "all" || c.Case == s.Name {
				all = append(all, scheduledRun{*s, "--case " + s.Name})
			}
		}
		if len(all) == 0 {
			return nil, fmt.Errorf("--case %s: there is none of that name: write all, or one of %s", c.Case, strings.Join(names, ", "))
		}
	}
	drawn := len(all) == 0
	for k := 0; drawn && k < c.Seeds; k++ {
		seed := c.Seed + uint64(k)
		all = append(all, scheduledRun{faults.Schedule{Name: fmt.Sprint("seed ", seed), Steps: faults.Random(seed, cmp.Or(c.Limiters, 3))}, fmt.Sprint("--seed ", seed)})
	}
	for i := range all {
		p := &all[i]
		p.Limiters, p.Voters = cmp.Or(c.Limiters, p.Limiters, 3), cmp.Or(c.Voters, p.Voters, 3)
		if p.Voters < 1 || p.Voters > p.Limiters || p.Voters%2 == 0 {
			return nil, fmt.Errorf("%s: %d voters of %d limiters: --voters is one, three or five, and no more than --limiters", p.Name, p.Voters, p.Limiters)
		}
	}
	if n := len(all); !drawn {
		for k := 1; k < c.Seeds; k++ {
			all = append(all, all[:n]...)
		}
	}
	return all, nil
}
