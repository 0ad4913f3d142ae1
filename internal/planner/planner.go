// Package planner does capacity planning for operators: it reads the demand from traces, forecasts it
// with package capacity, and compares a fleet with the forecast.
package planner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"example.org/madderdrum/capacity"
	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/parallel"
	"example.org/madderdrum/internal/replay"
	"example.org/madderdrum/internal/service"
	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/internal/world"
)

// Options are the parameters of a plan.
type Options struct {
	Begins       float64 // seconds from a Monday 00:00 to the trace's first arrival
	Confidence   float64
	Goal         float64 // share of the worth to be served
	ExcludedRoom string  // name of a room to leave out; empty: none
	Boxes        int     // total number of boxes; 0: as in the fleet
	Rate         float64 // mean requests per second; 0: as recorded
}

// Report is a capacity plan with its inputs.
type Report struct {
	Goal       float64  `json:"goal"`
	Confidence float64  `json:"confidence"`
	Coverage   *float64 `json:"coverage"` // share of held-out bins below the forecast; null: the record is too short
	PeriodS    float64  `json:"period_s"`
	BinS       float64  `json:"bin_s"`
	Holes      []string `json:"holes"`
	Odd        []string `json:"odd_days"`
	Rooms      []Room   `json:"rooms"`
	Hours      []Hour   `json:"hours"`
	Binding    int      `json:"binding_hour"` // index of the hour that needs the most boxes

	fleet *capacity.Fleet
	plan  []capacity.Hour
}

// Room is the capacity of a room of the fleet.
type Room struct {
	Name  string  `json:"name"`
	Boxes int     `json:"boxes"`
	Work  float64 `json:"work_per_box"`
}

// Hour is the forecast demand and the required capacity of a slot of the period.
type Hour struct {
	From       string  `json:"from"`
	Requests   float64 `json:"requests_per_s"` // quantile at the confidence, within the quota
	Work       float64 `json:"work_per_s"`
	Use        float64 `json:"use"`
	Served     float64 `json:"served"`
	WorstRoom  string  `json:"worst_room"`
	ServedLoss float64 `json:"served_without_it"`
	ServedCold float64 `json:"served_when_it_is_back_cold"`
	Boxes      int     `json:"boxes_needed"`
	BoxesLoss  int     `json:"boxes_needed_with_a_room_lost"`
	OneMore    float64 `json:"one_more_box_is_worth"`
}

// binLength returns the length of the bins for a record of a length.
func binLength(length time.Duration) time.Duration {
	switch {
	case length < 10*time.Minute:
		return 5 * time.Second
	case length < 6*time.Hour:
		return 15 * time.Second
	}
	return time.Minute
}

// requestKinds returns a kind of request for each pair of plan and class, ordered by plan.
func requestKinds(f *fleet.Fleet) (all []capacity.Kind) {
	for _, p := range f.Plans {
		for _, c := range f.Classes {
			w := c.Work.Seconds()
			all = append(all, capacity.Kind{Name: c.Name + " of " + p.Name, Work: w, MeanSquareWork: w * w * (1 + c.Spread*c.Spread), Aim: c.Aim.Seconds(), Worth: c.Worth * p.Price * c.Units})
		}
	}
	return all
}

// fleetRooms returns the rooms of a fleet that have boxes, after applying the options.
func fleetRooms(f *fleet.Fleet, o Options) (all []capacity.Room, err error) {
	total := 0
	for i, name := range f.Rooms {
		r := capacity.Room{Name: name}
		for _, b := range f.Boxes {
			if b.Room == i {
				r.Boxes++
				r.WorkPerBox += b.Cores * b.Speed
				r.ColdShare += b.ColdShare
			}
		}
		if r.Boxes > 0 {
			r.WorkPerBox /= float64(r.Boxes)
			r.ColdShare /= float64(r.Boxes)
			total += r.Boxes
			all = append(all, r)
		}
	}
	if o.Boxes > 0 {
		left := o.Boxes
		for i := range all {
			n := int(math.Round(float64(all[i].Boxes) * float64(o.Boxes) / float64(total)))
			if i == len(all)-1 {
				n = left
			}
			all[i].Boxes = min(left, n)
			left -= all[i].Boxes
		}
	}
	if o.ExcludedRoom == "" {
		return all, nil
	}
	for i := range all {
		if all[i].Name == o.ExcludedRoom {
			return append(all[:i:i], all[i+1:]...), nil
		}
	}
	return nil, fmt.Errorf("no room %q with boxes; there are %v", o.ExcludedRoom, f.Rooms)
}

// recordHistory returns the requests within the quotas of a replay, by kind and bin.
func recordHistory(p *replay.Plan, begins float64, seed uint64) (*capacity.History, error) {
	source, err := p.Source(seed)
	if err != nil {
		return nil, err
	}
	defer source.Close()
	f, each := p.Options.Fleet, binLength(p.Length)
	n := int((p.Length + each - 1) / each)
	h := &capacity.History{Bin: each.Seconds(), Begin: begins, Kinds: make([][]float64, len(f.Classes)*len(f.Plans))}
	for k := range h.Kinds {
		h.Kinds[k] = make([]float64, max(1, n))
	}
	m := service.NewMeter(f)
	for {
		a, ok := source.Next()
		if !ok {
			break
		}
		r := service.Request{Account: a.Account, Class: a.Class, Plan: a.Plan, Units: a.Units}
		if m.Asked(a.At, &r); r.Within {
			units := 1.0
			if own := f.Classes[a.Class].Units; own > 0 {
				units = a.Units / own // a larger request counts as several of the usual size
			}
			h.Kinds[a.Plan*len(f.Classes)+a.Class][min(n-1, int(a.At/each))] += units
		}
	}
	if err := source.Err(); err != nil {
		return nil, err
	}
	return h, nil
}

// New returns a capacity plan for the demand of a replay.
func New(p *replay.Plan, o Options) (*Report, error) {
	f := p.Options.Fleet
	h, err := recordHistory(p, o.Begins, p.Options.Seed)
	if err != nil {
		return nil, err
	}
	if o.Rate > 0 { // scaling counts instead of replaying copies of requests is cheap and keeps the holes
		factor := o.Rate / p.Scale.PlayedRate
		for _, kind := range h.Kinds {
			for i := range kind {
				kind[i] *= factor
			}
		}
	}
	forecast, err := capacity.NewForecast(h, o.Confidence)
	if err != nil {
		return nil, err
	}
	c := &capacity.Fleet{Kinds: requestKinds(f)}
	if c.Rooms, err = fleetRooms(f, o); err != nil {
		return nil, err
	}
	r := &Report{Goal: o.Goal, Confidence: o.Confidence, PeriodS: forecast.Period, BinS: h.Bin, Holes: []string{}, Odd: []string{}, fleet: c, plan: c.Plan(forecast, o.Goal)}
	if !math.IsNaN(forecast.Coverage) {
		r.Coverage = &forecast.Coverage
	}
	for _, s := range forecast.Holes {
		r.Holes = append(r.Holes, s.String())
	}
	for _, s := range forecast.Odd {
		r.Odd = append(r.Odd, s.String())
	}
	for _, x := range c.Rooms {
		r.Rooms = append(r.Rooms, Room{x.Name, x.Boxes, x.WorkPerBox})
	}
	for i, x := range r.plan {
		hour := Hour{From: capacity.Clock(x.Slot.From), Work: x.Work, Use: x.Use, Served: x.Served, WorstRoom: x.LostRoom, ServedLoss: x.ServedAfterLoss, ServedCold: x.ServedAfterReturn, Boxes: x.Boxes, BoxesLoss: x.BoxesWithLoss, OneMore: x.OneMore}
		if forecast.Period == 0 {
			hour.From = "all of it"
		}
		for _, v := range x.Slot.High {
			hour.Requests += v
		}
		r.Hours = append(r.Hours, hour)
		if x.RequiredWork > r.plan[r.Binding].RequiredWork {
			r.Binding = i
		}
	}
	return r, nil
}

// Text writes the plan as a table.
func (r *Report) Text(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	total := 0
	for _, x := range r.Rooms {
		fmt.Fprintf(w, "%s\t%d boxes\t%.3g s of work a second each\n", x.Name, x.Boxes, x.Work)
		total += x.Boxes
	}
	fmt.Fprintf(w, "goal\t%.1f%% of the worth\tat the level that %.0f%% of the record's bins of %g s stay under\n", 100*r.Goal, 100*r.Confidence, r.BinS)
	switch {
	case r.Coverage == nil:
		fmt.Fprintf(w, "trust\tunknown\tthe record is too short to hold a part of it back\n")
	default:
		fmt.Fprintf(w, "trust\t%.1f%%\tof the last quarter's bins stay under what the rest forecasts\n", 100**r.Coverage)
	}
	for _, x := range r.Holes {
		fmt.Fprintf(w, "left out\t%s\tnothing is in the record\n", x)
	}
	for _, x := range r.Odd {
		fmt.Fprintf(w, "left out\t%s\tout of the ordinary\n", x)
	}
	fmt.Fprintf(w, "\nhour\trequests/s\twork/s\tuse\tserved\tworst room lost\tserved then\tback cold\tboxes needed\tif a room is lost\tone more box\n")
	for i, h := range r.Hours {
		mark := ""
		if i == r.Binding {
			mark = " *"
		}
		fmt.Fprintf(w, "%s%s\t%.1f\t%.2f\t%.0f%%\t%.1f%%\t%s\t%.1f%%\t%.1f%%\t%d\t%d\t+%.1f%%\n", h.From, mark, h.Requests, h.Work, 100*h.Use, 100*h.Served, h.WorstRoom, 100*h.ServedLoss, 100*h.ServedCold, h.Boxes, h.BoxesLoss, 100*h.OneMore)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	h := r.Hours[r.Binding]
	_, err := fmt.Fprintf(out, "\n* binds: %d boxes, %d if any one room may be lost; there are %d (%+d, %+d).\n  Without %s one more box there is worth %.1f%% of service.\n",
		h.Boxes, h.BoxesLoss, total, total-h.Boxes, total-h.BoxesLoss, h.WorstRoom, 100*h.OneMore)
	return err
}

// Write writes the plan as JSON.
func (r *Report) Write(w io.Writer) error {
	out := json.NewEncoder(w)
	out.SetIndent("", " ")
	return out.Encode(r)
}

// Trial is the result of replaying a plan's binding hour.
type Trial struct {
	Days, Kept  int // Kept: days with a service level of at least the goal less goalTolerance
	Boxes       int
	Mean, Worst float64 // service level
}

// goalTolerance is how far the service level of a replayed day may be below the goal.
const goalTolerance = 0.02

// Replay simulates the demand of the binding hour on a number of random days, of a minute each, with
// boxes in rooms of equal size, of which the last is lost all the time.
func (r *Report) Replay(ctx context.Context, f *fleet.Fleet, boxes, days int, progress func(done float64)) (*Trial, error) {
	const length = time.Minute
	day := *f
	day.Boxes = nil
	count := len(f.Rooms)
	for i := range boxes {
		room := i % count
		spec := f.Boxes[0]
		for _, b := range f.Boxes {
			if b.Room == room {
				spec = b
				break
			}
		}
		spec.Name, spec.Room, spec.Pod = fmt.Sprintf("%s-%d", f.Rooms[room], i), room, i/count
		day.Boxes = append(day.Boxes, spec)
	}
	asked := 0.0
	for _, x := range r.plan[r.Binding].Slot.High {
		asked += x
	}
	day.Traffic.Rate, day.Traffic.WaveAmplitude, day.Traffic.HeavyShare = asked, 0, 0
	faults, err := world.Scenario(&day, fmt.Sprintf("room %s is lost from 0s to %s", f.Rooms[count-1], 2*length))
	if err != nil {
		return nil, err
	}
	services := make([]float64, days)
	err = parallel.Each(ctx, days, progress, func(ctx context.Context, i int) error {
		seed := uint64(i + 1)
		res, err := virtual.Run(ctx, virtual.Options{Fleet: &day, Seed: rand.New(rand.NewPCG(seed, 0x91a)).Uint64(), Source: world.NewSynthetic(&day, seed, length), Faults: faults})
		if err != nil {
			return err
		}
		// Skips the first 15 seconds: the plan does not cover requests that fail until the loss is detected.
		worth, earned := 0.0, 0.0
		for _, s := range res.World.Meter.Seconds[min(15, len(res.World.Meter.Seconds)):] {
			worth, earned = worth+s.Worth, earned+s.Earned
		}
		services[i] = earned / max(1e-12, worth)
		return nil
	})
	if err != nil {
		return nil, err
	}
	t := &Trial{Days: days, Boxes: boxes, Worst: math.Inf(1)}
	for _, x := range services {
		t.Mean += x / float64(days)
		t.Worst = min(t.Worst, x)
		if x >= r.Goal-goalTolerance {
			t.Kept++
		}
	}
	return t, nil
}
