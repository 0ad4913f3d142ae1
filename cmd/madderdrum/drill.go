//go:build !platform

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"example.org/madderdrum/internal/drill"
)

// drillCommand simulates the loss and return of rooms under several rules.
type drillCommand struct {
	Case     []string `help:"Cases to play, with commas; all if left out."`
	Rule     []string `help:"Rules to play, with commas: tiers, none, failover, priority; all if left out."`
	Seeds    int      `default:"10" help:"Play so many seeds from --seed on."`
	Seed     uint64   `default:"1" help:"The first seed; equal seeds give equal days."`
	Boxes    int      `default:"12" help:"Boxes, as those of the built-in fleet; traffic and accounts grow with them."`
	Limiters int      `default:"3" help:"Limiters."`
	JSON     string   `help:"Write the table as JSON." placeholder:"FILE"`
	HTML     string   `help:"Write one page with the charts of the first case and seed, by each rule, and the table." placeholder:"FILE"`
	Sockets  bool     `help:"Play one case once in real time on loopback sockets, round this very program as the limiters; needs --html."`
	Best     bool     `help:"Rather bound what any policy could have earned in each case, and tell why the limiter did not; see docs/capacity.md."`
	Priced   bool     `help:"With --best: rather play each case again with advice by the prices of its own best plan, the most that prices could gain."`
	Kills    int      `help:"Rather kill limiters that keep a memory so often, at random points, on loopback sockets round this very program; see docs/memory.md." placeholder:"N"`
	Restarts bool     `help:"Rather restart and kill limiters that keep a memory among boxes that are ill, in virtual time, and tell what the memory is worth by its age."`
	List     bool     `help:"List the cases and end."`
}

// Help returns the detailed help text of `madderdrum drill`.
func (drillCommand) Help() string {
	return `Has a stand-in fleet lose and regain a room in every hard way that is known, in virtual
time with the real limiters before it, and tells what that cost with tiers of
preference and with plain rules on the same days. If the limiter breaks one of the five
rules, the exit code is 2.

  madderdrum drill --case lost --html drill.html   one case, with charts
  madderdrum drill --seeds 50 --json drill.json    all of them
  madderdrum drill --sockets --case lost --html drill.html
  madderdrum drill --kills 1000                    limiters that remember, killed again and again
  madderdrum drill --boxes 120 --limiters 30 --case flap-twice`
}

// runKills kills limiters at random points and checks what they resume from.
func (c *drillCommand) runKills() error {
	if c.Kills < 1 || c.Kills > 100_000 || len(c.Case)+len(c.Rule) > 0 || c.Sockets || c.JSON != "" || c.HTML != "" {
		return fmt.Errorf("--kills %d: from 1 to 100000, with --seed alone", c.Kills)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("--kills: %w", err)
	}
	bar := newProgress()
	r, err := drill.Kills(ctx, program, c.Seed, c.Kills, bar.showPlayed)
	bar.clear()
	if err != nil {
		return err
	}
	if err := r.Write(os.Stdout); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	if len(r.Breaches) > 0 || r.InUse > 0 {
		return errRuleBroken
	}
	return nil
}

// runBest compares the limiter with the best possible policy in each case.
func (c *drillCommand) runBest(cases []drill.Case) error {
	if c.Sockets || c.JSON != "" || c.HTML != "" || len(c.Rule) > 0 {
		return errors.New("--best goes with --case, --seeds, --seed, --boxes and --limiters alone")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	bar := newProgress()
	if c.Priced {
		rows, err := drill.Priced(ctx, cases, c.Seeds, c.Seed, c.Boxes, c.Limiters, bar.showPlayed)
		bar.clear()
		if err != nil {
			return err
		}
		return drill.WritePriced(os.Stdout, rows)
	}
	rows, err := drill.Bests(ctx, cases, c.Seeds, c.Seed, c.Boxes, c.Limiters, bar.showPlayed)
	bar.clear()
	if err != nil {
		return err
	}
	return drill.WriteBests(os.Stdout, rows)
}

// runRestarts restarts limiters and measures the value of their saved memory by its age.
func (c *drillCommand) runRestarts() error {
	if c.Seeds < 1 || c.Seeds > 1000 || len(c.Case)+len(c.Rule) > 0 || c.Sockets || c.JSON != "" || c.HTML != "" {
		return errors.New("--restarts goes with --seeds (1 to 1000) and --seed alone")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	bar := newProgress()
	rows, err := drill.Restarts(ctx, c.Seeds, c.Seed, bar.showPlayed)
	bar.clear()
	if err != nil {
		return err
	}
	return drill.WriteRestarts(os.Stdout, rows)
}

// Run executes `madderdrum drill`.
func (c *drillCommand) Run() error {
	if c.Kills != 0 {
		return c.runKills()
	}
	if c.Restarts {
		return c.runRestarts()
	}
	cases, err := drill.Find(c.Case)
	if err != nil {
		return fmt.Errorf("--case: %w", err)
	}
	if c.List {
		for _, x := range cases {
			fmt.Printf("%-12s %s\n", x.Name, x.Text)
		}
		return nil
	}
	rules, err := drill.FindRules(c.Rule)
	if err != nil {
		return fmt.Errorf("--rule: %w", err)
	}
	switch {
	case c.Seeds < 1 || c.Seeds > 1000:
		return fmt.Errorf("--seeds %d: from 1 to 1000", c.Seeds)
	case c.Boxes < 12 || c.Boxes > 12_000:
		return fmt.Errorf("--boxes %d: from 12 to 12000", c.Boxes)
	case c.Limiters < 2 || c.Limiters > 1000:
		return fmt.Errorf("--limiters %d: from 2 to 1000", c.Limiters)
	}
	if c.Priced && !c.Best {
		return errors.New("--priced goes with --best")
	}
	if c.Best {
		return c.runBest(cases)
	}
	if c.Sockets && (len(c.Case) != 1 || c.HTML == "" || len(c.Rule) > 0 || c.JSON != "") {
		return errors.New("--sockets plays one --case, by the limiter's own rule, and writes --html alone")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Sockets {
		program, err := os.Executable()
		if err != nil {
			return fmt.Errorf("--sockets: %w", err)
		}
		return drill.WritePage(ctx, c.HTML, program, cases[0], nil, 0, 0, c.Seed, nil)
	}
	var jobs []drill.Job
	for _, x := range cases {
		for _, r := range rules {
			for k := range c.Seeds {
				jobs = append(jobs, drill.Job{Case: x, Rule: r, Boxes: c.Boxes, Limiters: c.Limiters, Seed: c.Seed + uint64(k)})
			}
		}
	}
	bar, done := newProgress(), 0
	err = drill.RunAll(ctx, jobs, func() {
		done++
		bar.showPlayed(float64(done) / float64(len(jobs)))
	})
	bar.clear()
	if err != nil {
		return err
	}
	rows := drill.Summary(jobs)
	if err := drill.Write(os.Stdout, rows); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := drill.Save(c.JSON, rows); err != nil {
			return err
		}
	}
	if c.HTML != "" {
		if err := drill.WritePage(ctx, c.HTML, "", cases[0], rules, c.Boxes, c.Limiters, c.Seed, rows); err != nil {
			return err
		}
	}
	broken := 0
	for _, r := range rows {
		if r.Rule == drill.Rules()[0].Name { // only the limiter's own rule is expected to keep all five
			broken += r.Broken
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d times", errRuleBroken, broken)
	}
	return nil
}
