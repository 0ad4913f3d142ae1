//go:build !platform

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/ownership"
	"example.org/madderdrum/rollout"
	"example.org/madderdrum/tenure"
)

// fleetCommand groups the commands that show and change the owners of the duties of a fleet.
type fleetCommand struct {
	Status   fleetStatus   `cmd:"" help:"Show who votes, who leads, and the rollout under way."`
	Owners   fleetOwners   `cmd:"" help:"Show who owns each duty, under which epoch."`
	History  fleetHistory  `cmd:"" help:"Show who took and gave up duties."`
	Init     fleetInit     `cmd:"" help:"Begin the fleet, once, with the voters of the configuration; or begin it anew from one survivor."`
	Add      fleetAdd      `cmd:"" help:"Have a limiter vote."`
	Remove   fleetRemove   `cmd:"" help:"Have a limiter vote no more; it goes on learning."`
	Transfer fleetTransfer `cmd:"" help:"Have a duty go to another limiter."`
	Resign   fleetResign   `cmd:"" help:"Have its owner give a duty up, to whoever asks first."`
	Drain    fleetDrain    `cmd:"" help:"Send the clients of limiters away and take them again, one limiter after the other."`
	Restart  fleetRestart  `cmd:"" help:"Restart limiters one after the other; a supervisor has to start them again."`
	Halt     fleetHalt     `cmd:"" help:"Halt the rollout under way."`
	Continue fleetContinue `cmd:"" help:"Go on with a halted rollout."`
	End      fleetEnd      `cmd:"" help:"End the rollout under way where it stands."`
}

// fleetAt holds the flags that select a fleet and the output format.
type fleetAt struct {
	configFiles
	At   string        `short:"a" placeholder:"HOST:PORT" help:"Call this operators' address; else those of the configuration in turn, until one answers."`
	JSON bool          `help:"Write JSON in place of a table."`
	Wait time.Duration `default:"4s" help:"How long to wait for one limiter's answer."`
}

// addresses returns the admin addresses to try, in order: that of the limiter named first before the others.
func (f *fleetAt) addresses(first string) (addrs []string, c *config.Config, err error) {
	if c, err = f.load(); err != nil {
		return nil, nil, err
	}
	if c.Duties.Folder == "" {
		return nil, nil, errors.New(`the configuration has no fleet block: add fleet "NAME" { folder = ..., voters = [...] }; see docs/ownership.md`)
	}
	if f.At != "" {
		return []string{f.At}, c, nil
	}
	for _, l := range c.Fleet.Limiters {
		if l.Admin != "" && l.Name == first {
			addrs = slices.Insert(addrs, 0, l.Admin)
		} else if l.Admin != "" {
			addrs = append(addrs, l.Admin)
		}
	}
	if len(addrs) == 0 {
		return nil, nil, errors.New("no limiter has an admin address: add one, or name one with --at")
	}
	return addrs, c, nil
}

// call sends a call to each address in turn until one answers. The error has exit code 2 if none
// answers, and 1 if the answer is NO.
func (f *fleetAt) call(addrs []string, verb string, r *ownership.Request) (string, error) {
	var errs []error
	for _, addr := range addrs {
		answer, err := f.callAddress(addr, verb, r)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", addr, err))
			continue
		}
		if no, is := strings.CutPrefix(answer, "NO "); is {
			fmt.Fprintf(os.Stderr, "madderdrum: fleet %s at %s: %s", verb, addr, no)
			return "", exitStatus(1)
		}
		return answer, nil
	}
	fmt.Fprintf(os.Stderr, "madderdrum: fleet %s: no limiter answers: %v\n", verb, errors.Join(errs...))
	return "", exitStatus(2)
}

func (f *fleetAt) callAddress(addr, verb string, r *ownership.Request) (string, error) {
	return ownership.Call(context.Background(), addr, verb, r, f.Wait)
}

// execute sends a call whose answer is YES or NO.
func (f *fleetAt) execute(verb string, r ownership.Request, first string) error {
	addrs, _, err := f.addresses(first)
	if err != nil {
		return err
	}
	_, err = f.call(addrs, verb, &r)
	return err
}

// printAnswer sends a call whose answer is JSON, and prints it unchanged or as a table.
func printAnswer[T any](f *fleetAt, verb string, table func(w io.Writer, x T)) error {
	addrs, _, err := f.addresses("")
	if err != nil {
		return err
	}
	answer, err := f.call(addrs, verb, nil)
	if err != nil {
		return err
	}
	if f.JSON {
		fmt.Print(answer)
		return nil
	}
	var x T
	if err := json.Unmarshal([]byte(answer), &x); err != nil {
		return fmt.Errorf("this is no answer about a fleet: %w", err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	table(w, x)
	return w.Flush()
}

type fleetStatus struct{ fleetAt }

// Run executes `madderdrum fleet status`.
func (c *fleetStatus) Run() error {
	return printAnswer(&c.fleetAt, "status", func(w io.Writer, s ownership.Status) {
		leader := s.Leader
		switch {
		case s.Fleet == "":
			fmt.Fprintf(w, "%s is in no fleet: begin one with madderdrum fleet init\n", s.Limiter)
			return
		case s.Failed != "":
			leader = "not known: " + s.Failed
		case s.Silent:
			leader = "not known: too few voters have heard that this limiter started"
		case leader == "":
			leader = "none: no majority"
		}
		fmt.Fprintf(w, "fleet %s generation %d, as %s sees it; leader %s, term %d, %d entries\n", s.Fleet, s.Generation, s.Limiter, leader, s.Term, s.Applied)
		fmt.Fprintln(w, "limiter\tvotes\tleads\tbehind\tmember")
		for _, m := range s.Members {
			votes := map[bool]string{true: "yes", false: "no"}[m.Votes]
			if m.Votes != m.Wanted {
				votes += map[bool]string{true: ", to vote", false: ", to learn"}[m.Wanted]
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", m.Limiter, votes, map[bool]string{true: "yes"}[m.Leads], m.Behind, m.Member)
		}
		if s.Moved > 0 || len(s.Unsure) > 0 {
			w.(*tabwriter.Writer).Flush()
			fmt.Fprintf(w, "parts of ceilings: %d accounts are not equal, %d of them on their way\n", s.Moved, s.UnderWay)
		}
		if x := s.Looks; x != nil {
			w.(*tabwriter.Writer).Flush()
			by := cmp.Or(x.By, "each for itself")
			fmt.Fprintf(w, "looks in %s: by %s; here %d for others, %d asked for, %d words, %d of them not confirmed\n", x.Room, by, x.For, x.Asked, x.Told, x.Differs)
		}
		if len(s.Unsure) > 0 {
			fmt.Fprintf(w, "since the fleet was begun anew all use a tenth of their parts, until %s have told that they do\n", strings.Join(s.Unsure, ", "))
		}
		if p := s.Rollout; p != nil {
			w.(*tabwriter.Writer).Flush()
			writePlan(w, p)
		}
	})
}

func writePlan(w io.Writer, p *rollout.Plan) {
	fmt.Fprintf(w, "rollout %s: %s, %s", p.ID, p.Kind, p.State)
	if p.Why != "" {
		fmt.Fprintf(w, ": %s", p.Why)
	}
	fmt.Fprintln(w, "\nlimiter\tphase\tepoch")
	for _, s := range p.Steps {
		fmt.Fprintf(w, "%s\t%s\t%d\n", s.Limiter, s.Phase, s.Epoch)
	}
}

type fleetOwners struct{ fleetAt }

// Run executes `madderdrum fleet owners`.
func (c *fleetOwners) Run() error {
	return printAnswer(&c.fleetAt, "owners", func(w io.Writer, all []ownership.Owner) {
		fmt.Fprintln(w, "duty\towner\tepoch\tterms\twanted")
		for _, o := range all {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", o.Duty, ownerOrNobody(o.Owner), o.Epoch, o.Terms, o.Wanted)
		}
	})
}

func ownerOrNobody(name string) string {
	if name == "" {
		return "nobody"
	}
	return name
}

type fleetHistory struct {
	fleetAt
	Last int `default:"20" help:"Show so many changes at most."`
}

// Run executes `madderdrum fleet history`.
func (c *fleetHistory) Run() error {
	return printAnswer(&c.fleetAt, "history", func(w io.Writer, all []tenure.Change) {
		fmt.Fprintln(w, "time of its clock\tduty\tepoch\twhat\tlimiter")
		for _, h := range all[max(0, len(all)-max(0, c.Last)):] {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", time.UnixMilli(h.AtMs).UTC().Format("2006-01-02T15:04:05.000Z"), h.Duty, h.Epoch, h.Kind, h.Owner)
		}
	})
}

type fleetInit struct {
	fleetAt
	Anew string `placeholder:"LIMITER" help:"The majority is lost for good: go on from what this limiter knows, as the only voter. All tokens of before are void, and what others knew beyond it is lost."`
}

// Run executes `madderdrum fleet init`.
func (c *fleetInit) Run() error {
	first := c.Anew
	_, cfg, err := c.addresses("")
	if err != nil {
		return err
	}
	if first == "" {
		first = cfg.Duties.Voters[0]
	} else if _, err := cfg.Fleet.Limiter(first); err != nil {
		return err
	}
	addrs, _, err := c.addresses(first)
	if err != nil {
		return err
	}
	_, err = c.call(addrs[:1], "init", &ownership.Request{Voters: cfg.Duties.Voters, Anew: c.Anew != ""}) // only this limiter may begin the fleet
	return err
}

type fleetAdd struct {
	Limiter string `arg:"" help:"The limiter."`
	fleetAt
}

// Run executes `madderdrum fleet add`.
func (c *fleetAdd) Run() error { return c.execute("add", ownership.Request{Limiter: c.Limiter}, "") }

type fleetRemove struct {
	Limiter string `arg:"" help:"The limiter."`
	fleetAt
}

// Run executes `madderdrum fleet remove`.
func (c *fleetRemove) Run() error {
	return c.execute("remove", ownership.Request{Limiter: c.Limiter}, "")
}

type fleetTransfer struct {
	Duty string `arg:"" help:"The duty, as fleet owners names it."`
	To   string `arg:"" help:"The limiter."`
	fleetAt
}

// Run executes `madderdrum fleet transfer`.
func (c *fleetTransfer) Run() error {
	return c.execute("transfer", ownership.Request{Duty: c.Duty, Limiter: c.To}, "")
}

type fleetResign struct {
	Duty string `arg:"" help:"The duty, as fleet owners names it."`
	fleetAt
}

// Run executes `madderdrum fleet resign`.
func (c *fleetResign) Run() error {
	addrs, cfg, err := c.addresses("")
	if err != nil {
		return err
	}
	if c.At == "" { // only its owner can resign
		answer, err := c.call(addrs, "owners", nil)
		if err != nil {
			return err
		}
		var all []ownership.Owner
		if err := json.Unmarshal([]byte(answer), &all); err != nil {
			return err
		}
		i := slices.IndexFunc(all, func(o ownership.Owner) bool { return o.Duty == c.Duty })
		if i < 0 || all[i].Owner == "" {
			return fmt.Errorf("nobody owns %q", c.Duty)
		}
		k, err := cfg.Fleet.Limiter(all[i].Owner)
		if err != nil {
			return err
		}
		addrs = []string{cfg.Fleet.Limiters[k].Admin}
	}
	_, err = c.call(addrs, "resign", &ownership.Request{Duty: c.Duty})
	return err
}

// roll holds the flags that drain and restart rollouts have in common.
type roll struct {
	fleetAt
	Only   []string `placeholder:"LIMITER,..." help:"These limiters, in this order; all if left out."`
	AtOnce int      `default:"1" help:"So many are out of service at once at most."`
	Fall   float64  `default:"0.05" help:"Halt when the share of requests served falls by more."`
	Detach bool     `help:"End once it has begun; fleet status shows how it goes on."`
}

func (c *roll) start(kind rollout.Kind) error {
	addrs, _, err := c.addresses("")
	if err != nil {
		return err
	}
	p := &rollout.Plan{ID: fmt.Sprintf("r%08x", rand.Uint32()), Kind: kind, AtOnce: c.AtOnce, Fall: c.Fall}
	for _, n := range c.Only {
		p.Steps = append(p.Steps, rollout.Step{Limiter: n, Phase: rollout.PhaseWaiting})
	}
	if _, err := c.call(addrs, "roll", &ownership.Request{Plan: p}); err != nil {
		return err
	}
	fmt.Printf("rollout %s has begun\n", p.ID)
	if c.Detach {
		return nil
	}
	return c.follow(addrs, p.ID)
}

// follow prints each step of the rollout until it ends or is halted.
func (c *roll) follow(addrs []string, id string) error {
	printed := map[string]rollout.Phase{}
	for {
		time.Sleep(200 * time.Millisecond)
		var s ownership.Status
		answer, err := "", error(nil)
		for _, a := range addrs { // a limiter that is restarting does not answer
			if answer, err = c.callAddress(a, "status", nil); err == nil && json.Unmarshal([]byte(answer), &s) == nil {
				break
			}
		}
		if err != nil {
			continue
		}
		p := s.Rollout
		if p == nil || p.ID != id {
			fmt.Printf("rollout %s is over\n", id)
			return nil
		}
		for _, x := range p.Steps {
			if x.Phase != printed[x.Limiter] && x.Phase != rollout.PhaseWaiting {
				fmt.Printf("%s %s\n", x.Limiter, x.Phase)
			}
			printed[x.Limiter] = x.Phase
		}
		if p.State == rollout.StateHalted {
			fmt.Fprintf(os.Stderr, "madderdrum: rollout %s is halted: %s; see fleet continue and fleet end\n", id, p.Why)
			return exitStatus(1)
		}
	}
}

type fleetDrain struct{ roll }

// Run executes `madderdrum fleet drain`.
func (c *fleetDrain) Run() error { return c.start(rollout.KindDrain) }

type fleetRestart struct{ roll }

// Run executes `madderdrum fleet restart`.
func (c *fleetRestart) Run() error { return c.start(rollout.KindRestart) }

type fleetHalt struct{ fleetAt }

// Run executes `madderdrum fleet halt`.
func (c *fleetHalt) Run() error { return c.execute("halt", ownership.Request{}, "") }

type fleetContinue struct{ fleetAt }

// Run executes `madderdrum fleet continue`.
func (c *fleetContinue) Run() error { return c.execute("continue", ownership.Request{}, "") }

type fleetEnd struct{ fleetAt }

// Run executes `madderdrum fleet end`.
func (c *fleetEnd) Run() error { return c.execute("end", ownership.Request{}, "") }
