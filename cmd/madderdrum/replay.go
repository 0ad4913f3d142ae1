//go:build !platform

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/policies"
	"example.org/madderdrum/internal/replay"
	"example.org/madderdrum/internal/trace"
)

// replayCommand replays a trace against a simulated fleet and reports service.
type replayCommand struct {
	Trace      []string      `arg:"" optional:"" help:"Trace files, plain or gzip; LAYOUT=FILE for one of another layout than --schema."`
	Schema     string        `short:"s" help:"Layout of the files: one of those that --list-schemas names, or a mapping in HCL. Told by the first line if left out."`
	Fleet      string        `short:"f" help:"Fleet file (HCL); the built-in fleet of Bluebird Text if left out." type:"path"`
	Seed       uint64        `default:"1" help:"Draws what the trace does not say; equal seeds give equal reports."`
	Seeds      int           `default:"1" help:"Play so many seeds from --seed on."`
	Speed      float64       `default:"1" help:"The trace's time passes so many times as fast."`
	From       time.Duration `help:"Begin so long after the trace's first arrival."`
	For        time.Duration `help:"Play so much of the trace's time; to its end if left out."`
	Rate       string        `default:"fleet" help:"Requests a second to play, such as 170/s; 'fleet' scales to the fleet file's traffic, 'trace' leaves the trace's own rate."`
	Reorder    time.Duration `help:"Accept rows that are so much older than those before them, and put them in order."`
	Duplicates string        `default:"refuse" enum:"refuse,keep,drop" help:"What becomes of rows that are there twice: refuse, keep or drop."`
	Scenario   string        `help:"File of faults that befall the fleet besides the trace's own, one a line; see docs/replay.md." type:"path"`
	Policy     []string      `default:"limiter" help:"Who decides: limiter, or for scale random, bucket, least; several with commas."`
	Generate   time.Duration `help:"Play so much of the fleet file's own traffic instead of a trace."`
	Asked      float64       `help:"Share of the requests whose proxy asks whether they may go (docs/forwardauth.md), from 0 to 1; in virtual time, with the limiter."`
	Plugin     []string      `help:"Play the limiter without and with these, and tell what they change: modules (.wasm), which may then say all there is, or configuration files with plugin blocks (.hcl); in virtual time." placeholder:"FILE" type:"path"`
	Best       bool          `help:"Bound what any policy could have earned that knew the future and kept the rules, and tell why the rest was not; in virtual time. See docs/capacity.md."`
	Steward    bool          `help:"Have the steward of the fleet move parts of ceilings to where requests arrive; in virtual time."`
	Remember   time.Duration `help:"Limiters keep what they have learnt so often, such as 500ms, and go on from it when they start again; in virtual time. They forget if left out."`
	Record     string        `help:"Write what plug-ins would be shown of the first 10,000 tries, for madderdrum plugin test, and end." placeholder:"FILE" type:"path"`
	Sockets    bool          `help:"Play in real time on loopback sockets, round this very program as the limiters; the policy is then the limiter."`
	JSON       string        `help:"Write the report as JSON." placeholder:"FILE"`
	HTML       string        `help:"Write the report as one HTML page with charts." placeholder:"FILE"`
	Compare    bool          `help:"Compare two JSON reports: replay --compare A.json B.json."`
	List       bool          `name:"list-schemas" help:"List the known layouts and end."`
}

// Help returns the detailed help text of `madderdrum replay`.
func (replayCommand) Help() string {
	return `Replays a cluster trace as arrivals, failures and slowdowns against a stand-in fleet
on this machine, with the real limiters before it, and reports service: the worth
answered in time over the worth asked for within quota. The five rules are checked
from outside; if the limiter breaks one, the exit code is 2.

  madderdrum replay                              the trace that is built in
  madderdrum replay --html report.html           the same, with charts
  madderdrum replay -s google-2011-task-events part-00000.csv.gz \
      google-2011-machine-events=machine_events.csv.gz --for 10m
  madderdrum replay --sockets --for 20s           in real time, round the real program
  madderdrum replay --plugin friday.wasm         what would a plug-in change?
  madderdrum replay --seeds 5 --json a.json      for a comparison
  madderdrum replay --compare a.json b.json      what changed, and is it more than noise?

A trace that can't be read as it stands is refused with file, line, column and what
to do about it, and nothing is replayed.`
}

// Run executes `madderdrum replay`.
func (c *replayCommand) Run() error {
	if c.List {
		for _, s := range trace.Known() {
			fmt.Printf("%-28s %s\n%-28s %s\n", s.Name, s.Description, "", s.Source)
		}
		return nil
	}
	if c.Compare {
		return c.compare()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o, err := c.options()
	if err != nil {
		return err
	}
	bar := newProgress()
	plan, err := replay.Prepare(ctx, *o, bar.showRead)
	bar.clear()
	if err != nil {
		return err
	}
	if c.Seeds < 1 || c.Seeds > 1000 {
		return fmt.Errorf("--seeds %d: from 1 to 1000", c.Seeds)
	}
	if c.Record != "" {
		return c.record(ctx, plan)
	}
	if len(c.Plugin) > 0 {
		c.Policy = append(c.Policy, replay.WithPlugins)
	}
	report := replay.NewReport(plan)
	total, done := c.Seeds*len(c.Policy), 0
	for _, policy := range c.Policy {
		for k := range c.Seeds {
			run, err := c.playSeed(ctx, plan, policy, c.Seed+uint64(k), done == 0, func(share float64) { bar.showPlayed((float64(done) + share) / float64(total)) })
			if err != nil {
				bar.clear()
				return err
			}
			report.Runs = append(report.Runs, run)
			done++
		}
	}
	bar.clear()
	report.SetAdvice()
	if err := report.Text(os.Stdout); err != nil {
		return err
	}
	if err := report.WriteBest(os.Stdout); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := report.Save(c.JSON); err != nil {
			return err
		}
	}
	if c.HTML != "" {
		if err := report.HTML(c.HTML); err != nil {
			return err
		}
	}
	if n := report.Broken(); n > 0 {
		return fmt.Errorf("%w: %d times", errRuleBroken, n)
	}
	return nil
}

// maxRecordedAttempts limits the attempts that --record writes.
const maxRecordedAttempts = 10_000

// record writes the requests of a plan in the format that `plugin test` reads.
func (c *replayCommand) record(ctx context.Context, plan *replay.Plan) error {
	f, err := os.Create(c.Record)
	if err != nil {
		return fmt.Errorf("--record: %w", err)
	}
	w := bufio.NewWriter(f)
	lines, n := json.NewEncoder(w), 0
	err = replay.Record(ctx, plan, c.Seed, maxRecordedAttempts, func(r *advice.Request) {
		n++
		lines.Encode(newTestRequest(r)) // a write error is returned by Flush
	})
	if err = errors.Join(err, w.Flush(), f.Close()); err != nil {
		return fmt.Errorf("--record: %w", err)
	}
	fmt.Printf("%s: %d requests, for madderdrum plugin test MODULE -r %s\n", c.Record, n, c.Record)
	return nil
}

// playSeed runs one seed with one policy, in virtual time or on sockets.
func (c *replayCommand) playSeed(ctx context.Context, plan *replay.Plan, policy string, seed uint64, series bool, progress func(float64)) (*replay.Run, error) {
	if !c.Sockets {
		return replay.PlayVirtual(ctx, plan, policy, seed, series, progress)
	}
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("--sockets: %w", err)
	}
	return replay.PlaySockets(ctx, plan, program, seed, series, progress)
}

// options validates the flags and converts them, including the input files.
func (c *replayCommand) options() (*replay.Options, error) {
	o := &replay.Options{Fleet: config.Bluebird(), FleetName: "bluebird (built in)", Reorder: c.Reorder, Speed: c.Speed,
		From: c.From, For: c.For, Seed: c.Seed, Length: c.Generate,
		Duplicates: map[string]trace.Duplicates{"refuse": trace.RefuseDuplicates, "keep": trace.KeepDuplicates, "drop": trace.DropDuplicates}[c.Duplicates]}
	var err error
	if c.Fleet != "" {
		if o.Fleet, err = config.LoadFleet(c.Fleet); err != nil {
			return nil, err
		}
		o.FleetName = c.Fleet
	}
	if c.Scenario != "" {
		text, err := os.ReadFile(c.Scenario)
		if err != nil {
			return nil, fmt.Errorf("--scenario: %w", err)
		}
		o.Scenario = string(text)
	}
	switch {
	case !(c.Speed >= 1e-3 && c.Speed <= 1e6):
		return nil, fmt.Errorf("--speed %g: write a factor from 0.001 to 1000000, such as 2", c.Speed)
	case c.From < 0 || c.For < 0 || c.Reorder < 0 || c.Generate < 0 || c.Remember < 0:
		return nil, errors.New("--from, --for, --reorder, --generate and --remember can't be below 0")
	case c.Remember > 0 && (c.Remember < 10*time.Millisecond || c.Sockets):
		return nil, errors.New("--remember takes a time from 10ms on, without --sockets")
	case c.Steward && c.Sockets:
		return nil, errors.New("--steward plays in virtual time: leave out --sockets")
	case c.Generate > 0 && len(c.Trace) > 0:
		return nil, errors.New("--generate plays no trace: leave out the files, or --generate")
	}
	switch c.Rate {
	case "fleet":
	case "trace":
		o.Rate = -1
	default:
		if o.Rate, err = strconv.ParseFloat(strings.TrimSuffix(c.Rate, "/s"), 64); err != nil || !strings.HasSuffix(c.Rate, "/s") || !(o.Rate > 0 && o.Rate <= 1e6) {
			return nil, fmt.Errorf("--rate %q: write fleet, trace, or a rate such as 170/s", c.Rate)
		}
	}
	for _, p := range c.Policy {
		if _, err := policies.ByName(p); err != nil {
			return nil, fmt.Errorf("--policy: %w", err)
		}
	}
	if !(c.Asked >= 0 && c.Asked <= 1) || c.Asked > 0 && (c.Sockets || len(c.Policy) != 1 || c.Policy[0] != "limiter") {
		return nil, errors.New("--asked takes a share from 0 to 1, without --sockets and --policy")
	}
	if c.Best && (c.Sockets || c.Asked > 0) {
		return nil, errors.New("--best goes with virtual time and carried requests: leave out --sockets and --asked")
	}
	o.AskedShare, o.SaveInterval, o.Best, o.Steward = c.Asked, c.Remember, c.Best, c.Steward
	if len(c.Plugin) > 0 {
		if c.Sockets || len(c.Policy) != 1 || c.Policy[0] != "limiter" {
			return nil, errors.New("--plugin plays the limiter without and with plug-ins, in virtual time: leave out --sockets and --policy")
		}
		if o.Plugins, err = loadReplayPlugins(c.Plugin, c.Fleet); err != nil {
			return nil, err
		}
	}
	if c.Sockets && (len(c.Policy) != 1 || c.Policy[0] != "limiter") {
		return nil, errors.New("--sockets plays the real program alone: leave out --policy")
	}
	if c.Generate > 0 {
		return o, nil
	}
	if len(c.Trace) == 0 {
		if c.Schema != "" {
			return nil, errors.New("--schema without a trace: name the files, or leave it out for the built-in trace")
		}
		if c.Rate == "fleet" {
			o.Rate = -1 // the built-in trace was generated for this fleet, so its own rate fits
		}
		o.Inputs = []replay.Input{replay.Friday()}
		return o, nil
	}
	return o, c.addInputs(o)
}

// addInputs groups the trace files by layout.
func (c *replayCommand) addInputs(o *replay.Options) error {
	for _, arg := range c.Trace {
		name, path := c.Schema, arg
		if before, after, ok := strings.Cut(arg, "="); ok {
			if _, err := os.Stat(arg); err != nil { // otherwise the "=" is part of the file name
				name, path = before, after
			}
		}
		if _, err := os.Stat(path); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		file := trace.Source{Name: path, Open: func() (io.ReadCloser, error) { return os.Open(path) }}
		schema, err := c.schema(name, file)
		if err != nil {
			return err
		}
		found := false
		for i := range o.Inputs {
			if o.Inputs[i].Schema.Name == schema.Name {
				o.Inputs[i].Files = append(o.Inputs[i].Files, file)
				found = true
			}
		}
		if !found {
			o.Inputs = append(o.Inputs, replay.Input{Files: []trace.Source{file}, Schema: schema})
		}
	}
	return nil
}

// schema returns the layout of a file: a known one, a mapping file, or one detected from its first line.
func (c *replayCommand) schema(name string, file trace.Source) (*trace.Schema, error) {
	switch {
	case strings.HasSuffix(name, ".hcl"):
		return trace.LoadMapping(name)
	case name != "":
		return trace.ByName(name)
	}
	fits, err := trace.Detect(file)
	if err != nil {
		return nil, err
	}
	if len(fits) != 1 {
		return nil, fmt.Errorf("%s: %d known layouts fit its first line; say which with --schema (--list-schemas), or write a mapping (docs/replay.md)",
			file.Name, len(fits))
	}
	fmt.Fprintf(os.Stderr, "%s: read as %s, by its first line\n", file.Name, fits[0].Name)
	return fits[0], nil
}

// compare prints the differences of two JSON reports.
func (c *replayCommand) compare() error {
	if len(c.Trace) != 2 {
		return errors.New("--compare takes two JSON reports: replay --compare A.json B.json")
	}
	a, err := replay.Load(c.Trace[0])
	if err != nil {
		return err
	}
	b, err := replay.Load(c.Trace[1])
	if err != nil {
		return err
	}
	return replay.WriteComparison(os.Stdout, c.Trace[0], c.Trace[1], a, b)
}

// progress shows a progress bar if standard error is a terminal.
type progress struct{ bar *progressbar.ProgressBar }

func newProgress() *progress {
	p := &progress{}
	if term.IsTerminal(int(os.Stderr.Fd())) {
		p.bar = progressbar.NewOptions(1000, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish(),
			progressbar.OptionSetPredictTime(true), progressbar.OptionThrottle(100*time.Millisecond))
	}
	return p
}

func (p *progress) showRead(bytes int64) {
	if p.bar != nil {
		p.bar.Describe(fmt.Sprintf("checking the trace, %d MB", bytes>>20))
	}
}

func (p *progress) showPlayed(share float64) {
	if p.bar != nil {
		p.bar.Describe("replaying")
		p.bar.Set(int(1000 * share))
	}
}

// clear removes the bar.
func (p *progress) clear() {
	if p.bar != nil {
		p.bar.Clear()
	}
}
