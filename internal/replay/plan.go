// Package replay turns traces into days that can be played against a fleet, and
// what came of them into reports.
package replay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/trace"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/plugin"
)

// Input is the files of one layout, in order.
type Input struct {
	Files  []trace.Source
	Schema *trace.Schema
}

// Options say what is to be played.
type Options struct {
	Fleet      *fleet.Fleet
	FleetName  string
	Inputs     []Input // none: the fleet file's own traffic, for Length
	Length     time.Duration
	Reorder    time.Duration
	Duplicates trace.Duplicates
	Speed      float64       // the trace's time passes so many times as fast
	From, For  time.Duration // what of the trace is played, from its first arrival; For 0: to its end
	Rate       float64       // requests a second; 0: the fleet file's; below 0: the trace's own
	Seed       uint64        // draws what the trace leaves open of times, for the check
	Asked      float64       // share of the requests whose proxy only asks; in virtual time
	Scenario   string        // faults besides the trace's own
	Plugins    []plugin.Spec // asked in runs WithPlugins
	Best       bool          // bound what any policy could have earned
	Steward    bool          // parts of ceilings move to where requests arrive
	Remember   time.Duration // limiters keep what they have learnt so often; 0: they forget at a restart
}

// Origin says where a quantity comes from.
type Origin struct {
	Quantity string `json:"quantity"`
	How      string `json:"how"` // read, drawn or fleet
	Detail   string `json:"detail"`
}

// Scale says how the trace was fitted to the fleet.
type Scale struct {
	Speed      float64 `json:"speed"`
	FromS      float64 `json:"from_s"`
	ForS       float64 `json:"for_s"` // of the trace's time
	TraceRate  float64 `json:"trace_requests_per_s"`
	PlayedRate float64 `json:"played_requests_per_s"`
	Copies     float64 `json:"copies"` // of each arrival: below 1 some are left out, above 1 some come again under other accounts
	MeanSize   float64 `json:"mean_size"`
	Machines   int     `json:"machines"` // in the trace, with events in what is played
	Boxes      int     `json:"boxes"`    // that stand for the most eventful of them
}

// FileReport is what was read of one input.
type FileReport struct {
	Files   []string       `json:"files"`
	Schema  string         `json:"schema"`
	Source  string         `json:"source"`
	Rows    int            `json:"rows"`
	Records int            `json:"records"`
	Moved   int            `json:"moved"`
	Dropped int            `json:"dropped_duplicates"`
	Passed  map[string]int `json:"passed_over"`
}

// Plan is a day that is ready to be played, any number of times.
type Plan struct {
	Options Options
	Faults  []world.Fault
	Origins []Origin
	Scale   Scale
	Files   []FileReport
	Length  time.Duration

	zero, until time.Duration // of what is played, on the trace's clock
}

// Errors of a plan.
var (
	ErrNoArrivals = errors.New("the trace has no arrivals in what is to be played")
	ErrClocks     = errors.New("wall-clock and relative times can't be played together")
)

// Prepare checks the inputs, whole up to the end of what is played, and works
// out how they fit the fleet. What is wrong with the files comes as
// *trace.Problems. Progress, if set, is called with the bytes read.
func Prepare(ctx context.Context, o Options, progress func(bytes int64)) (*Plan, error) {
	o.Speed = cmp.Or(o.Speed, 1)
	p := &Plan{Options: o}
	own, err := world.Scenario(o.Fleet, o.Scenario)
	if err != nil {
		return nil, err
	}
	traffic := o.Fleet.Traffic
	fleetRate := traffic.Rate * (1 + traffic.Heavy*(traffic.HeavyX-1))
	if len(o.Inputs) == 0 {
		p.Length, p.Faults = o.Length, own
		p.Scale = Scale{Speed: 1, PlayedRate: fleetRate, Copies: 1, ForS: o.Length.Seconds(), Boxes: len(o.Fleet.Boxes)}
		for _, q := range []string{"time", "account", "plan", "class", "units", "work"} {
			p.Origins = append(p.Origins, Origin{q, "drawn", "from the traffic of the fleet file"})
		}
		return p, nil
	}
	s, err := p.scan(ctx, progress)
	if err != nil {
		return nil, err
	}
	if s.arrivals == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNoArrivals, s.span())
	}
	length := p.until - p.zero
	p.Length = time.Duration(float64(length) / o.Speed)
	p.Scale = Scale{Speed: o.Speed, FromS: o.From.Seconds(), ForS: length.Seconds(),
		TraceRate: float64(s.arrivals) / length.Seconds(), Machines: len(s.machines), Copies: 1}
	if s.sized > 0 {
		p.Scale.MeanSize = s.sizes / float64(s.sized)
	}
	played := p.Scale.TraceRate * o.Speed
	switch {
	case o.Rate > 0:
		p.Scale.Copies = o.Rate / played
	case o.Rate == 0:
		p.Scale.Copies = fleetRate / played
	}
	p.Scale.PlayedRate = played * p.Scale.Copies
	p.faults(s, own)
	p.origins(s)
	return p, nil
}

// scan is what the check of the inputs gathers.
type scan struct {
	arrivals, sized                          int
	sizes                                    float64
	account, label, class, plan, units, work bool
	any                                      bool // some arrival, also before what is played
	first, last                              time.Duration
	machines                                 map[string][]machineEvent
	names                                    []string // of machines in the order of their first event
}

type machineEvent struct {
	at   time.Duration
	kind trace.Kind
	slow float64
}

// mostMachineEvents bounds what is kept of machines.
const mostMachineEvents = 2_000_000

func (s *scan) span() string {
	if !s.any {
		return "it has none at all"
	}
	return fmt.Sprintf("those up to there are from %v to %v", s.first, s.last)
}

// scan reads all inputs once.
func (p *Plan) scan(ctx context.Context, progress func(int64)) (*scan, error) {
	o := p.Options
	s := &scan{machines: map[string][]machineEvent{}}
	problems := &trace.Problems{}
	for _, in := range o.Inputs[1:] {
		if in.Schema.Clock != o.Inputs[0].Schema.Clock {
			return nil, fmt.Errorf("%w: %s and %s", ErrClocks, o.Inputs[0].Schema.Name, in.Schema.Name)
		}
	}
	zero, found, err := p.firstArrival(ctx)
	if err != nil {
		return nil, err
	}
	p.zero = zero + o.From
	until := time.Duration(0)
	if o.For > 0 {
		until = p.zero + o.For
	}
	events := 0
	slow := map[string]float64{}
	var bytes int64
	for _, in := range o.Inputs {
		r, err := trace.Open(in.Files, in.Schema, trace.Options{Reorder: o.Reorder, Duplicates: o.Duplicates, Seed: o.Seed, Until: until})
		var problem *trace.Problem
		if errors.As(err, &problem) {
			add(problems, problem)
			continue
		}
		if err != nil {
			return nil, err
		}
		for n := 0; ; n++ {
			rec, err := r.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if errors.As(err, &problem) {
				add(problems, problem)
				continue
			}
			if err != nil {
				r.Close()
				return nil, err
			}
			if n%(1<<14) == 0 {
				if err := ctx.Err(); err != nil {
					r.Close()
					return nil, err
				}
				if progress != nil {
					progress(bytes + r.Counts().Bytes)
				}
			}
			if rec.Kind == trace.Arrival {
				if !s.any || rec.At < s.first {
					s.first = rec.At
				}
				s.any, s.last = true, max(s.last, rec.At)
				if rec.At < p.zero {
					continue
				}
				if problem := p.arrival(s, &rec); problem != nil {
					add(problems, problem)
				}
				continue
			}
			if problem := p.machineKnown(in, &rec); problem != nil {
				add(problems, problem)
				continue
			}
			e := machineEvent{rec.At, rec.Kind, 1}
			if rec.Kind == trace.Usage {
				if e.slow = slowness(&rec); e.slow == slow[rec.Machine] || e.slow == 1 && slow[rec.Machine] == 0 {
					continue
				}
				slow[rec.Machine] = e.slow
			}
			if s.machines[rec.Machine] == nil {
				s.names = append(s.names, rec.Machine)
			}
			s.machines[rec.Machine] = append(s.machines[rec.Machine], e)
			if events++; events > mostMachineEvents {
				r.Close()
				return nil, fmt.Errorf("%s: more than %d events of machines; play less with --for", in.Files[0].Name, mostMachineEvents)
			}
		}
		c := r.Counts()
		r.Close()
		bytes += c.Bytes
		f := FileReport{Schema: in.Schema.Name, Source: in.Schema.Source, Rows: c.Rows, Records: c.Records, Moved: c.Reordered, Dropped: c.Dropped, Passed: c.Skipped}
		for _, file := range in.Files {
			f.Files = append(f.Files, file.Name)
		}
		p.Files = append(p.Files, f)
	}
	if len(problems.List) > 0 {
		return nil, problems
	}
	if !found {
		return nil, fmt.Errorf("%w: %s", ErrNoArrivals, s.span())
	}
	if p.until = until; until == 0 {
		p.until = s.last + max(time.Second, p.step())
	}
	return s, nil
}

func add(all *trace.Problems, p *trace.Problem) {
	if len(all.List) < trace.MostProblems {
		all.List = append(all.List, p)
	} else {
		all.More++
	}
}

// step is the coarsest step of the inputs' times.
func (p *Plan) step() time.Duration {
	most := time.Duration(0)
	for _, in := range p.Options.Inputs {
		most = max(most, in.Schema.TimeStep)
	}
	return most
}

// firstArrival is where the trace's time begins. Problems are left to the scan.
func (p *Plan) firstArrival(ctx context.Context) (first time.Duration, found bool, err error) {
	for _, in := range p.Options.Inputs {
		r, err := trace.Open(in.Files, in.Schema, trace.Options{Reorder: p.Options.Reorder, Duplicates: trace.KeepDuplicates, Seed: p.Options.Seed})
		var problem *trace.Problem
		if errors.As(err, &problem) {
			continue
		}
		if err != nil {
			return 0, false, err
		}
		for {
			rec, err := r.Next()
			if errors.As(err, &problem) {
				continue
			}
			if err != nil {
				break
			}
			if rec.Kind == trace.Arrival {
				if !found || rec.At < first {
					first, found = rec.At, true
				}
				break
			}
			if ctx.Err() != nil {
				r.Close()
				return 0, false, ctx.Err()
			}
		}
		r.Close()
	}
	return first, found, nil
}

// arrival checks one against the fleet and counts what it says.
func (p *Plan) arrival(s *scan, rec *trace.Record) *trace.Problem {
	f := p.Options.Fleet
	if rec.Class != "" && classOf(f, rec.Class) < 0 {
		return &trace.Problem{File: rec.File, Line: rec.Line, Column: "class", Message: fmt.Sprintf("the fleet has no class %q", rec.Class),
			Remedy: "name one of its classes in the mapping: " + join(f.Classes, func(c fleet.Class) string { return c.Name })}
	}
	if rec.Plan != "" && planOf(f, rec.Plan) < 0 {
		return &trace.Problem{File: rec.File, Line: rec.Line, Column: "plan", Message: fmt.Sprintf("the fleet has no plan %q", rec.Plan),
			Remedy: "name one of its plans in the mapping: " + join(f.Plans, func(p fleet.Plan) string { return p.Name })}
	}
	s.arrivals++
	if rec.Size > 0 {
		s.sized++
		s.sizes += rec.Size
	}
	s.work = s.work || rec.Work > 0
	s.account, s.label = s.account || rec.Account != "", s.label || rec.Label != ""
	s.class, s.plan, s.units = s.class || rec.Class != "", s.plan || rec.Plan != "", s.units || rec.Units > 0
	return nil
}

// machineKnown checks that the boxes that a mapping names are in the fleet.
func (p *Plan) machineKnown(in Input, rec *trace.Record) *trace.Problem {
	if !in.Schema.MachinesPresent || boxOf(p.Options.Fleet, rec.Machine) >= 0 {
		return nil
	}
	names := join(p.Options.Fleet.Boxes[:min(12, len(p.Options.Fleet.Boxes))], func(b fleet.Box) string { return b.Name })
	return &trace.Problem{File: rec.File, Line: rec.Line, Column: "box", Message: fmt.Sprintf("the fleet has no box %q", rec.Machine),
		Remedy: "name one of its boxes: " + names}
}

func classOf(f *fleet.Fleet, name string) int {
	return slices.IndexFunc(f.Classes, func(c fleet.Class) bool { return c.Name == name })
}

func planOf(f *fleet.Fleet, name string) int {
	return slices.IndexFunc(f.Plans, func(p fleet.Plan) bool { return p.Name == name })
}

func boxOf(f *fleet.Fleet, name string) int {
	return slices.IndexFunc(f.Boxes, func(b fleet.Box) bool { return b.Name == name })
}

func join[T any](all []T, name func(T) string) string {
	var names []string
	for _, x := range all {
		names = append(names, name(x))
	}
	return strings.Join(names, " ")
}

const (
	nearTop  = 0.9 // usage from which a machine counts as slowed
	topSlow  = 3.0 // how slow one at full usage is: our choice, the traces don't say
	slowStep = 0.5
)

// slowness is the factor by which a machine's usage makes a box slower, in whole
// steps, so that small changes are none.
func slowness(rec *trace.Record) float64 {
	if rec.SlowFactor > 0 {
		return rec.SlowFactor
	}
	if rec.Utilization < nearTop {
		return 1
	}
	f := 1 + (topSlow-1)*(rec.Utilization-nearTop)/(1-nearTop)
	return max(1+slowStep, float64(int(f/slowStep+0.5))*slowStep)
}

// faults has boxes stand for the machines with the most events.
func (p *Plan) faults(s *scan, own []world.Fault) {
	f := p.Options.Fleet
	box := map[string]int{}
	names := slices.Clone(s.names)
	slices.SortStableFunc(names, func(a, b string) int { return s.played(p, b) - s.played(p, a) })
	for _, name := range names {
		if i := boxOf(f, name); i >= 0 {
			box[name] = i
		}
	}
	taken := map[int]bool{}
	for _, i := range box {
		taken[i] = true
	}
	next := 0
	for _, name := range names {
		if _, has := box[name]; has || s.played(p, name) == 0 {
			continue
		}
		for next < len(f.Boxes) && taken[next] {
			next++
		}
		if next >= len(f.Boxes) {
			break
		}
		box[name] = next
		next++
	}
	p.Scale.Boxes = len(box)
	for _, name := range slices.SortedFunc(maps.Keys(box), func(a, b string) int { return box[a] - box[b] }) {
		p.Faults = append(p.Faults, p.boxFaults(box[name], s.machines[name])...)
	}
	slices.SortStableFunc(p.Faults, func(a, b world.Fault) int { return cmp.Compare(a.From, b.From) })
	p.Faults = append(p.Faults, own...)
}

// played is how many events of a machine fall into what is played.
func (s *scan) played(p *Plan, name string) int {
	n := 0
	for _, e := range s.machines[name] {
		if e.at >= p.zero && e.at < p.until {
			n++
		}
	}
	return n
}

func (p *Plan) boxFaults(box int, events []machineEvent) (all []world.Fault) {
	name := p.Options.Fleet.Boxes[box].Name
	up := true
	for i, e := range events {
		at := time.Duration(float64(e.at-p.zero) / p.Options.Speed)
		if e.at < p.zero { // how it stands when the play begins
			up = e.kind != trace.MachineDown && (e.kind == trace.MachineUp || up)
			if i+1 == len(events) || events[i+1].at >= p.zero {
				if !up {
					all = append(all, world.Fault{Target: world.AtBox, Index: box, Verb: "dies", Text: "box " + name + " is away from the start (trace)"})
				}
			}
			continue
		}
		x := world.Fault{Target: world.AtBox, Index: box, From: at}
		switch e.kind {
		case trace.MachineDown:
			x.Verb, x.Text = "dies", "box "+name+" goes (trace)"
		case trace.MachineUp:
			x.Verb, x.Text = "joins", "box "+name+" comes (trace)"
		case trace.Usage:
			x.Verb, x.Value, x.Text = "slows", e.slow, fmt.Sprintf("box %s is %.3g times slower (trace)", name, e.slow)
			if e.slow == 1 {
				x.Text = "box " + name + " is as fast as usual again (trace)"
			}
		}
		all = append(all, x)
	}
	return all
}

// origins says of each quantity whether it was read or drawn.
func (p *Plan) origins(s *scan) {
	how := func(quantity string, read bool, detail, drawn string) {
		o := Origin{quantity, "read", detail}
		if !read {
			o.How, o.Detail = "drawn", drawn
		}
		p.Origins = append(p.Origins, o)
	}
	moment := "as it stands"
	if step := p.step(); step > 0 {
		moment = fmt.Sprintf("to %v; the moment within it is drawn", step)
	}
	for _, in := range p.Options.Inputs {
		if in.Schema.Name == "azure-functions-2019" {
			moment = "to the minute; the moment within it is drawn"
		}
	}
	how("time", true, moment, "")
	how("account", s.account, "by its name", "among the accounts of the fleet file")
	how("plan", s.plan, "by the mapping", "for each account by the shares of the fleet file")
	byLabel := "for each request by the shares of the fleet file"
	if s.label {
		byLabel = "for each kind of request of the trace by the shares of the fleet file"
	}
	how("class", s.class, "by the mapping", byLabel)
	how("units", s.units, "by the mapping", "as the class has them in the fleet file")
	if s.work {
		how("work", true, "as it stands", "")
	} else {
		how("work", s.sized > 0, fmt.Sprintf("its size against the mean of %.4g, times the mean work of the class", p.Scale.MeanSize),
			"about the mean work of the class")
	}
	p.Origins = append(p.Origins, Origin{"deadline", "fleet", "by the class; tries as the fleet file's clients"})
	if len(s.machines) > 0 {
		p.Origins = append(p.Origins, Origin{"failures and slowdowns", "read",
			fmt.Sprintf("%d boxes stand for the machines with the most events", p.Scale.Boxes)})
	}
}
