// Package replay fits traces of requests and machines to a fleet, plays them against
// it in virtual time or on sockets, and reports the results.
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

// Input is a list of trace files of one layout, in order of time.
type Input struct {
	Files  []trace.Source
	Schema *trace.Schema
}

// Options select the fleet, the trace and the part of it to play, and the extras of a run.
type Options struct {
	Fleet        *fleet.Fleet
	FleetName    string
	Inputs       []Input // none: synthetic traffic of the fleet file, for Length
	Length       time.Duration
	Reorder      time.Duration
	Duplicates   trace.Duplicates
	Speed        float64       // factor by which the trace's time is sped up
	From, For    time.Duration // part of the trace to play, relative to its first arrival; For 0: to its end
	Rate         float64       // requests per second; 0: the fleet file's; below 0: the trace's own
	Seed         uint64        // for random times where the trace has only counts per minute
	AskedShare   float64       // share of requests for which the proxy asks a limiter for permission; virtual time only
	Scenario     string        // fault scenario, in addition to the faults in the trace
	Plugins      []plugin.Spec // consulted in runs of the policy WithPlugins
	Best         bool          // compute an upper bound on the service of any policy
	Steward      bool          // move parts of the ceilings to the limiters where requests arrive
	SaveInterval time.Duration // interval at which limiters save learned state; 0: lost at a restart
}

// Origin is the source of one quantity of the played requests.
type Origin struct {
	Quantity string `json:"quantity"`
	How      string `json:"how"` // read, drawn or fleet
	Detail   string `json:"detail"`
}

// Scale describes how the trace was scaled to the fleet.
type Scale struct {
	Speed      float64 `json:"speed"`
	FromS      float64 `json:"from_s"`
	ForS       float64 `json:"for_s"` // in the trace's time
	TraceRate  float64 `json:"trace_requests_per_s"`
	PlayedRate float64 `json:"played_requests_per_s"`
	Copies     float64 `json:"copies"` // per arrival: below 1 some are left out, above 1 some are repeated with other accounts
	MeanSize   float64 `json:"mean_size"`
	Machines   int     `json:"machines"` // machines of the trace that have events
	Boxes      int     `json:"boxes"`    // boxes that take the events of a machine; those with the most events first
}

// FileReport is the row counts of one input, from the check of its files.
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

// Plan is a checked trace that is scaled to a fleet; it can be played any number of times.
type Plan struct {
	Options Options
	Faults  []world.Fault
	Origins []Origin
	Scale   Scale
	Files   []FileReport
	Length  time.Duration

	startTime, endTime time.Duration // of the part to play, on the trace's clock
}

// Errors returned by Prepare.
var (
	ErrNoArrivals  = errors.New("the trace has no arrivals in what is to be played")
	ErrMixedClocks = errors.New("wall-clock and relative times can't be played together")
)

// Prepare checks the inputs from the start to the end of the part to play, and
// computes how they are scaled to the fleet. Mistakes in the files are returned as
// *trace.Problems. progress, if set, is called with the number of bytes read.
func Prepare(ctx context.Context, o Options, progress func(bytes int64)) (*Plan, error) {
	o.Speed = cmp.Or(o.Speed, 1)
	p := &Plan{Options: o}
	scenarioFaults, err := world.Scenario(o.Fleet, o.Scenario)
	if err != nil {
		return nil, err
	}
	traffic := o.Fleet.Traffic
	fleetRate := traffic.Rate * (1 + traffic.HeavyShare*(traffic.HeavyFactor-1))
	if len(o.Inputs) == 0 {
		p.Length, p.Faults = o.Length, scenarioFaults
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
		return nil, fmt.Errorf("%w: %s", ErrNoArrivals, s.arrivalRange())
	}
	length := p.endTime - p.startTime
	p.Length = time.Duration(float64(length) / o.Speed)
	p.Scale = Scale{Speed: o.Speed, FromS: o.From.Seconds(), ForS: length.Seconds(),
		TraceRate: float64(s.arrivals) / length.Seconds(), Machines: len(s.machines), Copies: 1}
	if s.sizedArrivals > 0 {
		p.Scale.MeanSize = s.sizeSum / float64(s.sizedArrivals)
	}
	playedRate := p.Scale.TraceRate * o.Speed
	switch {
	case o.Rate > 0:
		p.Scale.Copies = o.Rate / playedRate
	case o.Rate == 0:
		p.Scale.Copies = fleetRate / playedRate
	}
	p.Scale.PlayedRate = playedRate * p.Scale.Copies
	p.addFaults(s, scenarioFaults)
	p.addOrigins(s)
	return p, nil
}

// scan is the data collected by the check of the inputs.
type scan struct {
	arrivals, sizedArrivals                                    int
	sizeSum                                                    float64
	hasAccount, hasLabel, hasClass, hasPlan, hasUnits, hasWork bool
	seenArrival                                                bool // any arrival, including those before the part to play
	firstArrival, lastArrival                                  time.Duration
	machines                                                   map[string][]machineEvent
	machineNames                                               []string // names of the machines, by first event
}

// machineEvent is a machine's change of state or of slowdown, on the trace's clock.
type machineEvent struct {
	at         time.Duration
	kind       trace.Kind
	slowFactor float64
}

// maxMachineEvents bounds the memory for machine events.
const maxMachineEvents = 2_000_000

// arrivalRange describes the times of the arrivals read, for an error.
func (s *scan) arrivalRange() string {
	if !s.seenArrival {
		return "it has none at all"
	}
	return fmt.Sprintf("those up to there are from %v to %v", s.firstArrival, s.lastArrival)
}

// scan reads and checks all inputs, and sets the start and end of the part to play.
func (p *Plan) scan(ctx context.Context, progress func(int64)) (*scan, error) {
	o := p.Options
	s := &scan{machines: map[string][]machineEvent{}}
	problems := &trace.Problems{}
	for _, in := range o.Inputs[1:] {
		if in.Schema.WallClock != o.Inputs[0].Schema.WallClock {
			return nil, fmt.Errorf("%w: %s and %s", ErrMixedClocks, o.Inputs[0].Schema.Name, in.Schema.Name)
		}
	}
	zero, found, err := p.firstArrival(ctx)
	if err != nil {
		return nil, err
	}
	p.startTime = zero + o.From
	until := time.Duration(0)
	if o.For > 0 {
		until = p.startTime + o.For
	}
	events := 0
	lastSlowFactor := map[string]float64{}
	var bytesRead int64
	for _, in := range o.Inputs {
		r, err := trace.Open(in.Files, in.Schema, trace.Options{Reorder: o.Reorder, Duplicates: o.Duplicates, Seed: o.Seed, Until: until})
		var problem *trace.Problem
		if errors.As(err, &problem) {
			addProblem(problems, problem)
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
				addProblem(problems, problem)
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
					progress(bytesRead + r.Counts().Bytes)
				}
			}
			if rec.Kind == trace.Arrival {
				if !s.seenArrival || rec.At < s.firstArrival {
					s.firstArrival = rec.At
				}
				s.seenArrival, s.lastArrival = true, max(s.lastArrival, rec.At)
				if rec.At < p.startTime {
					continue
				}
				if problem := p.checkArrival(s, &rec); problem != nil {
					addProblem(problems, problem)
				}
				continue
			}
			if problem := p.checkBox(in, &rec); problem != nil {
				addProblem(problems, problem)
				continue
			}
			e := machineEvent{rec.At, rec.Kind, 1}
			if rec.Kind == trace.Usage {
				if e.slowFactor = slowFactor(&rec); e.slowFactor == lastSlowFactor[rec.Machine] || e.slowFactor == 1 && lastSlowFactor[rec.Machine] == 0 {
					continue
				}
				lastSlowFactor[rec.Machine] = e.slowFactor
			}
			if s.machines[rec.Machine] == nil {
				s.machineNames = append(s.machineNames, rec.Machine)
			}
			s.machines[rec.Machine] = append(s.machines[rec.Machine], e)
			if events++; events > maxMachineEvents {
				r.Close()
				return nil, fmt.Errorf("%s: more than %d events of machines; play less with --for", in.Files[0].Name, maxMachineEvents)
			}
		}
		c := r.Counts()
		r.Close()
		bytesRead += c.Bytes
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
		return nil, fmt.Errorf("%w: %s", ErrNoArrivals, s.arrivalRange())
	}
	if p.endTime = until; until == 0 {
		p.endTime = s.lastArrival + max(time.Second, p.timeStep())
	}
	return s, nil
}

func addProblem(all *trace.Problems, p *trace.Problem) {
	if len(all.List) < trace.MaxProblems {
		all.List = append(all.List, p)
	} else {
		all.Omitted++
	}
}

// timeStep is the coarsest time resolution of the inputs.
func (p *Plan) timeStep() time.Duration {
	coarsest := time.Duration(0)
	for _, in := range p.Options.Inputs {
		coarsest = max(coarsest, in.Schema.TimeStep)
	}
	return coarsest
}

// firstArrival returns the time of the first arrival in any input. It ignores mistakes in
// the files, which scan reports.
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

// checkArrival checks an arrival's class and plan against the fleet, and counts the
// quantities that it has.
func (p *Plan) checkArrival(s *scan, rec *trace.Record) *trace.Problem {
	f := p.Options.Fleet
	if rec.Class != "" && classIndex(f, rec.Class) < 0 {
		return &trace.Problem{File: rec.File, Line: rec.Line, Column: "class", Message: fmt.Sprintf("the fleet has no class %q", rec.Class),
			Remedy: "name one of its classes in the mapping: " + joinNames(f.Classes, func(c fleet.Class) string { return c.Name })}
	}
	if rec.Plan != "" && planIndex(f, rec.Plan) < 0 {
		return &trace.Problem{File: rec.File, Line: rec.Line, Column: "plan", Message: fmt.Sprintf("the fleet has no plan %q", rec.Plan),
			Remedy: "name one of its plans in the mapping: " + joinNames(f.Plans, func(p fleet.Plan) string { return p.Name })}
	}
	s.arrivals++
	if rec.Size > 0 {
		s.sizedArrivals++
		s.sizeSum += rec.Size
	}
	s.hasWork = s.hasWork || rec.Work > 0
	s.hasAccount, s.hasLabel = s.hasAccount || rec.Account != "", s.hasLabel || rec.Label != ""
	s.hasClass, s.hasPlan, s.hasUnits = s.hasClass || rec.Class != "", s.hasPlan || rec.Plan != "", s.hasUnits || rec.Units > 0
	return nil
}

// checkBox checks that a box in a file read by a mapping exists in the fleet. Machines of
// the public layouts are assigned to boxes by addFaults.
func (p *Plan) checkBox(in Input, rec *trace.Record) *trace.Problem {
	if !in.Schema.MachinesPresent || boxIndex(p.Options.Fleet, rec.Machine) >= 0 {
		return nil
	}
	names := joinNames(p.Options.Fleet.Boxes[:min(12, len(p.Options.Fleet.Boxes))], func(b fleet.Box) string { return b.Name })
	return &trace.Problem{File: rec.File, Line: rec.Line, Column: "box", Message: fmt.Sprintf("the fleet has no box %q", rec.Machine),
		Remedy: "name one of its boxes: " + names}
}

func classIndex(f *fleet.Fleet, name string) int {
	return slices.IndexFunc(f.Classes, func(c fleet.Class) bool { return c.Name == name })
}

func planIndex(f *fleet.Fleet, name string) int {
	return slices.IndexFunc(f.Plans, func(p fleet.Plan) bool { return p.Name == name })
}

func boxIndex(f *fleet.Fleet, name string) int {
	return slices.IndexFunc(f.Boxes, func(b fleet.Box) bool { return b.Name == name })
}

func joinNames[T any](all []T, name func(T) string) string {
	var names []string
	for _, x := range all {
		names = append(names, name(x))
	}
	return strings.Join(names, " ")
}

const (
	slowdownThreshold = 0.9 // utilization from which a machine counts as slowed
	slowFactorAtFull  = 3.0 // at full utilization; the traces don't contain a figure
	slowFactorStep    = 0.5
)

// slowFactor returns the slowdown of a box at a machine's utilization, rounded to
// slowFactorStep, so that small changes of utilization are ignored.
func slowFactor(rec *trace.Record) float64 {
	if rec.SlowFactor > 0 {
		return rec.SlowFactor
	}
	if rec.Utilization < slowdownThreshold {
		return 1
	}
	factor := 1 + (slowFactorAtFull-1)*(rec.Utilization-slowdownThreshold)/(1-slowdownThreshold)
	return max(1+slowFactorStep, float64(int(factor/slowFactorStep+0.5))*slowFactorStep)
}

// addFaults assigns machines to boxes, by name or else those with the most events first,
// and turns their events into faults of these boxes.
func (p *Plan) addFaults(s *scan, scenarioFaults []world.Fault) {
	f := p.Options.Fleet
	box := map[string]int{}
	names := slices.Clone(s.machineNames)
	slices.SortStableFunc(names, func(a, b string) int { return s.eventsPlayed(p, b) - s.eventsPlayed(p, a) })
	for _, name := range names {
		if i := boxIndex(f, name); i >= 0 {
			box[name] = i
		}
	}
	taken := map[int]bool{}
	for _, i := range box {
		taken[i] = true
	}
	next := 0
	for _, name := range names {
		if _, assigned := box[name]; assigned || s.eventsPlayed(p, name) == 0 {
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
	p.Faults = append(p.Faults, scenarioFaults...)
}

// eventsPlayed counts the events of a machine within the part to play.
func (s *scan) eventsPlayed(p *Plan, name string) int {
	n := 0
	for _, e := range s.machines[name] {
		if e.at >= p.startTime && e.at < p.endTime {
			n++
		}
	}
	return n
}

// boxFaults converts a machine's events to faults of a box. Events before the part to play
// only determine whether the box is down at its start.
func (p *Plan) boxFaults(box int, events []machineEvent) (all []world.Fault) {
	name := p.Options.Fleet.Boxes[box].Name
	up := true
	for i, e := range events {
		at := time.Duration(float64(e.at-p.startTime) / p.Options.Speed)
		if e.at < p.startTime { // determines the state at the start
			up = e.kind != trace.MachineDown && (e.kind == trace.MachineUp || up)
			if i+1 == len(events) || events[i+1].at >= p.startTime {
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
			x.Verb, x.Value, x.Text = "slows", e.slowFactor, fmt.Sprintf("box %s is %.3g times slower (trace)", name, e.slowFactor)
			if e.slowFactor == 1 {
				x.Text = "box " + name + " is as fast as usual again (trace)"
			}
		}
		all = append(all, x)
	}
	return all
}

// addOrigins records for each quantity whether it was read from the trace or drawn.
func (p *Plan) addOrigins(s *scan) {
	addOrigin := func(quantity string, read bool, detail, drawn string) {
		o := Origin{quantity, "read", detail}
		if !read {
			o.How, o.Detail = "drawn", drawn
		}
		p.Origins = append(p.Origins, o)
	}
	timeDetail := "as it stands"
	if step := p.timeStep(); step > 0 {
		timeDetail = fmt.Sprintf("to %v; the moment within it is drawn", step)
	}
	for _, in := range p.Options.Inputs {
		if in.Schema.Name == "azure-functions-2019" {
			timeDetail = "to the minute; the moment within it is drawn"
		}
	}
	addOrigin("time", true, timeDetail, "")
	addOrigin("account", s.hasAccount, "by its name", "among the accounts of the fleet file")
	addOrigin("plan", s.hasPlan, "by the mapping", "for each account by the shares of the fleet file")
	classDetail := "for each request by the shares of the fleet file"
	if s.hasLabel {
		classDetail = "for each kind of request of the trace by the shares of the fleet file"
	}
	addOrigin("class", s.hasClass, "by the mapping", classDetail)
	addOrigin("units", s.hasUnits, "by the mapping", "as the class has them in the fleet file")
	if s.hasWork {
		addOrigin("work", true, "as it stands", "")
	} else {
		addOrigin("work", s.sizedArrivals > 0, fmt.Sprintf("its size against the mean of %.4g, times the mean work of the class", p.Scale.MeanSize),
			"about the mean work of the class")
	}
	p.Origins = append(p.Origins, Origin{"deadline", "fleet", "by the class; tries as the fleet file's clients"})
	if len(s.machines) > 0 {
		p.Origins = append(p.Origins, Origin{"failures and slowdowns", "read",
			fmt.Sprintf("%d boxes stand for the machines with the most events", p.Scale.Boxes)})
	}
}
