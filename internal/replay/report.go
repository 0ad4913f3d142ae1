package replay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"time"

	"example.org/madderdrum/internal/best"
	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/policies"
	"example.org/madderdrum/internal/service"
	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/internal/world"
)

// Format and version of the report file. docs/replay.md describes the layout; a
// field's meaning never changes within a version, new fields may be added.
const (
	Format  = "madderdrum-replay"
	Version = 1
)

// Report is the result of a replay: one run for each policy and seed. It contains no
// wall-clock times, so that equal replays give equal files.
type Report struct {
	Format  string       `json:"format"`
	Version int          `json:"version"`
	Fleet   FleetReport  `json:"fleet"`
	Files   []FileReport `json:"trace"`
	Scale   Scale        `json:"scale"`
	Origins []Origin     `json:"origins"`
	Runs    []*Run       `json:"runs"`
	// Advice is the effect of plug-ins, if runs without and with them were played.
	Advice *AdviceReport `json:"advice,omitempty"`
}

// FleetReport is the name and size of the fleet of a replay.
type FleetReport struct {
	Name     string   `json:"name"`
	Limiters int      `json:"limiters"`
	Boxes    int      `json:"boxes"`
	Rooms    []string `json:"rooms"`
}

// Run is the result of one play of a plan.
type Run struct {
	Driver   string         `json:"driver"` // virtual or sockets
	Policy   string         `json:"policy"`
	Seed     uint64         `json:"seed"`
	LengthS  float64        `json:"length_s"`
	Service  Service        `json:"service"`
	Total    Tally          `json:"total"`
	Classes  []Tally        `json:"classes"`
	Ways     []Tally        `json:"ways,omitempty"` // by virtual.WayNames; only if some proxies ask for permission
	Plans    []Tally        `json:"plans"`
	Why      map[string]int `json:"why"` // outcomes of requests that were not served in time
	Rules    []Rule         `json:"rules"`
	Breaches []string       `json:"breaches"` // the first 100
	Traffic  Traffic        `json:"traffic"`
	CPU      *CPU           `json:"cpu,omitempty"` // only of the sockets driver
	Seconds  []Second       `json:"seconds,omitempty"`
	Boxes    []BoxSeries    `json:"boxes,omitempty"`
	SampleS  float64        `json:"sample_s,omitempty"`
	Notes    []Note         `json:"notes,omitempty"`
	Best     *best.Best     `json:"best,omitempty"`
	Plugins  []PluginTotals `json:"plugins,omitempty"`
	Labels   []LabelTotals  `json:"labels,omitempty"` // given by plug-ins

	accounts map[uint64]*service.Tally
}

// Service is the service figure and its parts, each the worth answered in time over
// the worth requested within quota.
type Service struct {
	Total      float64 `json:"total"` // 65% whole, 20% worst 10 s, 15% worst plan
	Whole      float64 `json:"whole"`
	Worst10s   float64 `json:"worst_10s"`
	WorstFromS int     `json:"worst_10s_from_s"`
	WorstPlan  float64 `json:"worst_plan"`
	PlanName   string  `json:"worst_plan_name"`
}

// Tally counts requests by outcome, for a whole run, a class, a plan or one of virtual.WayNames.
type Tally struct {
	Name          string  `json:"name,omitempty"`
	Service       float64 `json:"service"`
	Asked         int     `json:"asked"`
	Within        int     `json:"within_quota"`
	InTime        int     `json:"in_time"`
	Late          int     `json:"late"`
	Refused       int     `json:"refused"`
	RefusedWithin int     `json:"refused_within_quota"`
	Failed        int     `json:"failed"`
	Expired       int     `json:"expired"`
	Retries       int     `json:"retries"`
	SentBeyond    int     `json:"sent_beyond_quota"`
	Worth         float64 `json:"worth_asked"`
	Earned        float64 `json:"worth_earned"`
}

// Rule counts how often an invariant was checked, and violated.
type Rule struct {
	Name   string `json:"name"`
	Tested int    `json:"tested"`
	Broken int    `json:"broken"`
}

// Traffic counts what the limiters sent: attempts, connections, probes and messages.
type Traffic struct {
	Attempts  int    `json:"attempts"`
	Crossings int    `json:"crossings"`
	Connects  int    `json:"connects"`
	Probes    int    `json:"probes"`
	Messages  int    `json:"messages"`
	Events    uint64 `json:"events"` // processed by the simulation
	Asks      int    `json:"asks,omitempty"`
	Grants    int    `json:"grants,omitempty"`
}

// CPU is the CPU time and memory used by the limiters' processes.
type CPU struct {
	Seconds   []float64 `json:"seconds"`        // of each limiter
	PerAskUs  float64   `json:"per_request_us"` // over first tries and retries
	MemoryMB  []float64 `json:"memory_mb"`      // resident, at the end
	LateMs    float64   `json:"driver_late_ms"` // 99th percentile of the driver's own delay
	Unstarted int       `json:"unstarted"`      // tries that the driver failed to send
}

// Second counts the requests of one second of a run.
type Second struct {
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
	Earned  float64 `json:"earned"`
}

// BoxSeries is the state of one box over time, with a value for each sample.
type BoxSeries struct {
	Name      string    `json:"name"`
	Room      string    `json:"room"`
	Held      []int     `json:"held"`
	Arrived   []int     `json:"arrived"`
	Busy      []float64 `json:"busy"`      // fraction of its warm capacity
	Condition string    `json:"condition"` // one letter per sample: . running, c cold, d draining, h hung, x dead, v vanished, f fallen over
}

// Note is an event of the simulation, such as a fault, with its time.
type Note struct {
	AtS  float64 `json:"at_s"`
	Text string  `json:"text"`
}

func round(x float64, digits int) float64 {
	p := math.Pow10(digits)
	return math.Round(x*p) / p
}

func newTally(name string, t *service.Tally) Tally {
	return Tally{Name: name, Service: round(t.Service(), 6), Asked: t.Asked, Within: t.Within, InTime: t.By[service.InTime], Late: t.By[service.Late],
		Refused: t.By[service.Refused], RefusedWithin: t.RefusedWithin, Failed: t.By[service.Failed], Expired: t.By[service.Expired],
		Retries: t.Retries, SentBeyond: t.SentBeyond, Worth: round(t.Worth, 3), Earned: round(t.Earned, 3)}
}

// newRun builds a Run from the state that a driver leaves. It includes the series over
// time only if series is set.
func newRun(f *fleet.Fleet, w *world.World, j *judge.Judge, length, sample time.Duration, series bool) *Run {
	m := w.Meter
	x := m.Figure()
	r := &Run{Why: m.Why, LengthS: round(length.Seconds(), 3), Total: newTally("", &m.Total), Service: Service{Total: round(x.Total, 6), Whole: round(x.Whole, 6),
		Worst10s: round(x.Worst, 6), WorstFromS: x.WorstFrom, WorstPlan: round(x.Plan, 6), PlanName: f.Plans[x.WorstPlan].Name}}
	for i := range m.Classes {
		r.Classes = append(r.Classes, newTally(f.Classes[i].Name, &m.Classes[i]))
	}
	for i := range m.Plans {
		r.Plans = append(r.Plans, newTally(f.Plans[i].Name, &m.Plans[i]))
	}
	if m.Ways[1].Asked+m.Ways[2].Asked > 0 {
		for i := range m.Ways {
			r.Ways = append(r.Ways, newTally(virtual.WayNames[i], &m.Ways[i]))
		}
	}
	for rule := range judge.RuleCount {
		r.Rules = append(r.Rules, Rule{rule.String(), j.CheckCounts[rule], j.BreachCounts[rule]})
	}
	r.Breaches = []string{}
	for _, b := range j.Breaches {
		r.Breaches = append(r.Breaches, b.String())
	}
	if !series {
		return r
	}
	r.SampleS = sample.Seconds()
	for _, s := range m.Seconds {
		r.Seconds = append(r.Seconds, Second{s.Asked, s.Served, s.Refused, s.Failed, round(s.Worth, 3), round(s.Earned, 3)})
	}
	for i, b := range w.Boxes {
		s := BoxSeries{Name: b.Name, Room: f.Rooms[b.Spec.Room]}
		letters := make([]byte, 0, len(w.Samples))
		for _, at := range w.Samples {
			if i >= len(at.Boxes) { // not added yet
				s.Held, s.Arrived, s.Busy, letters = append(s.Held, 0), append(s.Arrived, 0), append(s.Busy, 0), append(letters, 'x')
				continue
			}
			c := at.Boxes[i]
			letter := ".dhxvf"[c.Condition]
			if letter == '.' && c.Warmth < 1 {
				letter = 'c'
			}
			s.Held, s.Arrived, s.Busy, letters = append(s.Held, c.Jobs), append(s.Arrived, c.Arrived), append(s.Busy, round(c.Busy, 3)), append(letters, letter)
		}
		s.Condition = string(letters)
		r.Boxes = append(r.Boxes, s)
	}
	for _, n := range w.Notes {
		r.Notes = append(r.Notes, Note{round(n.At.Seconds(), 3), n.Text})
	}
	return r
}

// NewReport returns a report of a plan, without runs.
func NewReport(p *Plan) *Report {
	f := p.Options.Fleet
	r := &Report{Format: Format, Version: Version, Files: p.Files, Scale: p.Scale, Origins: p.Origins,
		Fleet: FleetReport{p.Options.FleetName, len(f.Limiters), len(f.Boxes), f.Rooms}}
	if r.Files == nil {
		r.Files = []FileReport{}
	}
	return r
}

// sampleInterval returns the interval between samples of the load: some 300 in a run,
// at least a second.
func sampleInterval(length time.Duration) time.Duration {
	return max(time.Second, (length / 300).Round(time.Second))
}

// PlayVirtual plays a plan in virtual time with a policy, or with WithPlugins the limiter and
// its plug-ins.
func PlayVirtual(ctx context.Context, p *Plan, policy string, seed uint64, series bool, progress func(done float64)) (*Run, error) {
	name := policy
	if policy == WithPlugins {
		name = policies.Names()[0]
	}
	newPolicy, err := policies.ByName(name)
	if err != nil {
		return nil, err
	}
	source, err := p.Source(seed)
	if err != nil {
		return nil, err
	}
	defer source.Close()
	o := virtual.Options{Fleet: p.Options.Fleet, Seed: seed, Source: source, Faults: p.Faults, Policy: newPolicy, AskShare: p.Options.AskedShare, MemoryInterval: p.Options.SaveInterval, Steward: p.Options.Steward}
	o.Accounts = len(p.Options.Plugins) > 0
	plugins := func() []PluginTotals { return nil }
	if policy == WithPlugins {
		if plugins, err = addAdvisers(ctx, p, &o); err != nil {
			return nil, err
		}
	}
	if series {
		o.SampleInterval = sampleInterval(p.Length)
	}
	if progress != nil {
		o.Progress = func(now time.Duration) { progress(min(1, float64(now)/float64(p.Length))) }
	}
	var watcher *best.Watcher
	if p.Options.Best {
		watcher = best.NewWatcher(p.Options.Fleet, &o)
	}
	res, err := virtual.Run(ctx, o)
	sums := plugins()
	if err == nil {
		err = source.Err()
	}
	if err != nil {
		return nil, fmt.Errorf("replaying with seed %d: %w", seed, err)
	}
	run := newRun(p.Options.Fleet, res.World, res.Judge, res.Length, o.SampleInterval, series)
	run.Driver, run.Policy, run.Seed = "virtual", policy, seed
	run.Plugins, run.accounts = sums, res.World.Meter.Accounts
	for _, label := range slices.Sorted(maps.Keys(res.Labels)) {
		run.Labels = append(run.Labels, LabelTotals{label, res.Labels[label].Given, res.Labels[label].Refused})
	}
	c := res.Counts
	run.Traffic = Traffic{c.Attempts, c.CrossRoomAttempts, c.Connects, c.Probes, c.Messages, res.Events, c.Asks, c.Grants}
	if watcher != nil {
		if run.Best, err = watcher.Bound(ctx, p.Faults, seed, res.Length); err != nil {
			return nil, fmt.Errorf("replaying %s with seed %d: %w", policy, seed, err)
		}
	}
	return run, nil
}

// WriteBest writes the upper bounds and the causes of lost worth as text, for runs that
// have them.
func (r *Report) WriteBest(out io.Writer) error {
	var rows []best.Row
	for _, run := range r.Runs {
		if s := run.Service; run.Best != nil {
			rows = append(rows, best.Row{Name: fmt.Sprintf("%s, seed %d", run.Policy, run.Seed), Service: service.Figure{Total: s.Total, Whole: s.Whole, Worst: s.Worst10s, Plan: s.WorstPlan}, Best: run.Best})
		}
	}
	return best.Write(out, rows)
}

// Save writes the report as JSON, atomically.
func (r *Report) Save(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return writeAtomically(path, append(data, '\n'))
}

// writeAtomically writes a temporary file and renames it, so that no partial file is left.
func writeAtomically(path string, data []byte) error {
	aside := path + ".part"
	if err := os.WriteFile(aside, data, 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.Rename(aside, path); err != nil {
		return fmt.Errorf("report: %w", errors.Join(err, os.Remove(aside)))
	}
	return nil
}

// ErrFormat means that a file is not a report, or one of a newer version.
var ErrFormat = errors.New("not a report of madderdrum replay")

// Load reads a report and checks its format and version.
func Load(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrFormat, err)
	}
	switch {
	case r.Format != Format:
		return nil, fmt.Errorf("%s: %w: its format is %q", path, ErrFormat, r.Format)
	case r.Version > Version:
		return nil, fmt.Errorf("%s: %w: version %d, this program reads up to %d", path, ErrFormat, r.Version, Version)
	case len(r.Runs) == 0:
		return nil, fmt.Errorf("%s: %w: it has no runs", path, ErrFormat)
	}
	return &r, nil
}

// Broken counts the rule violations in all runs of the limiter, with and without plug-ins.
func (r *Report) Broken() int {
	n := 0
	for _, run := range r.Runs {
		for _, rule := range run.Rules {
			if run.Policy == policies.Names()[0] || run.Policy == WithPlugins {
				n += rule.Broken
			}
		}
	}
	return n
}
