package drill

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/parallel"
	"example.org/madderdrum/internal/policies"
	"example.org/madderdrum/internal/service"
	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/limiter"
)

// Rule is a way to choose among rooms.
type Rule struct {
	Name, Text string
	tiers      bool // the fleet's tiers are told to the limiter
	policy     virtual.NewPolicy
}

// Rules returns tiers and the plain rules that they are held against. All have the same
// limiter behind them, with its quotas and its health of boxes; failover and priority
// have no cold rule, as they are usually run, and do better so.
func Rules() []Rule {
	return []Rule{
		{"tiers", "tiers of preference", true, virtual.Limiter},
		{"none", "no tiers: all boxes are one", false, virtual.Limiter},
		{"failover", "all to the first tier that has a healthy box", true, policies.Failover},
		{"priority", "priority levels, over-provisioned by 1.4", true, policies.Priority},
	}
}

// What a warming box may be sent: no more than mostPush of what it can do in pushFor,
// beyond one request.
const (
	pushFor  = 500 * time.Millisecond
	mostPush = 1.2
)

// Figures are what one run of a case measured.
type Figures struct {
	Service float64       // the figure of the whole day
	AtLoss  float64       // worth lost from the loss to the return, in seconds of what a day without it earns
	AtBack  float64       // how far the return ever put it behind a room that stays away, in the window after it, ...
	AtGain  float64       // ... and how far ahead it is at the end of that
	Failed  int           // requests of the window after the return that failed, beyond those of a room that stays away
	Crossed float64       // share of attempts that went to another room
	Drained time.Duration // from the loss until no more than drained of what is sent goes to lost boxes
	Changes float64       // of shares, by limiter
	Push    float64       // the most that came to a warming box within pushFor, over what it could do
	Over    float64       // share of the arrivals at warming boxes that found more than mostPush
	Broken  int           // rules
}

// Run plays one case by one rule, beside the same day without its faults and the same
// day with faults that stay.
func Run(ctx context.Context, c Case, r Rule, boxes, limiters int, seed uint64) (Figures, error) {
	c = c.times()
	var all [kinds]*played
	var errs [kinds]error
	var group sync.WaitGroup
	for as := range kinds {
		group.Go(func() { all[as], errs[as] = play(ctx, c, r, boxes, limiters, seed, as, 0) })
	}
	group.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return Figures{}, err
	}
	day, calm, away := all[asItIs], all[calm], all[staying]
	f := day.figures
	usual := calm.earned(0, c.Length) / c.Length.Seconds()
	f.AtLoss = (calm.earned(c.Loss, c.Back) - day.earned(c.Loss, c.Back)) / usual
	behind := 0.0
	for at := c.Back; at < c.Back+window; at += time.Second {
		behind += (away.earned(at, at+time.Second) - day.earned(at, at+time.Second)) / usual
		f.AtBack = max(f.AtBack, behind)
	}
	f.AtGain = -behind
	f.Failed = day.failed(c.Back, c.Back+window) - away.failed(c.Back, c.Back+window)
	return f, nil
}

// earned is the worth of a stretch of time.
func (p *played) earned(from, to time.Duration) (worth float64) {
	for _, s := range p.seconds(from, to) {
		worth += s.Earned
	}
	return worth
}

// failed are the requests of a stretch of time that failed.
func (p *played) failed(from, to time.Duration) (n int) {
	for _, s := range p.seconds(from, to) {
		n += s.Failed
	}
	return n
}

func (p *played) seconds(from, to time.Duration) []service.Second {
	all := p.world.Meter.Seconds
	return all[min(len(all), int(from/time.Second)):min(len(all), int(to/time.Second))]
}

// kind is how a day is played.
type kind int

const (
	asItIs  kind = iota
	calm         // without its faults
	staying      // with faults that do not end when the room returns
	kinds
)

// played is one play of a day.
type played struct {
	world   *world.World
	length  time.Duration
	series  map[int][]state // of shares, by limiter
	figures Figures
}

// play plays a day, with its faults or without.
func play(ctx context.Context, c Case, r Rule, boxes, limiters int, seed uint64, as kind, sample time.Duration) (*played, error) {
	c = c.times()
	o, err := c.options(seed, boxes, limiters)
	if err != nil {
		return nil, err
	}
	watch := &watch{series: map[int][]state{}}
	o.ColdLoadWindow, o.ColdLoadLimit, o.SampleInterval = pushFor, mostPush, sample
	o.OnStart = func(w *world.World) { watch.world = w }
	o.Policy = func(s limiter.Settings, seed uint64) (virtual.Policy, error) {
		if !r.tiers {
			s.Spills = nil
		}
		p, err := r.policy(s, seed)
		if err != nil {
			return nil, err
		}
		return watch.add(p, s.Position), nil
	}
	faults := o.Faults
	o.Faults = nil
	for _, x := range faults {
		if as == staying && x.To == c.Back {
			x.To = 0
		}
		if as != calm && (as == asItIs || x.From < c.Back) {
			o.Faults = append(o.Faults, x)
		}
	}
	if !r.tiers {
		shared := *o.Fleet
		shared.Tiers = nil
		o.Fleet = &shared
	}
	res, err := virtual.Run(ctx, o)
	if err != nil {
		return nil, fmt.Errorf("case %s, rule %s, seed %d: %w", c.Name, r.Name, seed, err)
	}
	p := &played{world: res.World, length: res.Length, series: watch.series}
	p.figures = Figures{Service: res.World.Meter.Figure().Total, Drained: watch.drained(c.Loss, c.Away), Push: res.Judge.MaxColdLoad, Over: pushedOver(res.Judge),
		Broken: res.Judge.BreachCount(), Crossed: float64(res.Counts.CrossRoomAttempts) / float64(max(1, res.Counts.Attempts)), Changes: float64(watch.changes) / float64(limiters)}
	return p, nil
}

func pushedOver(j *judge.Judge) float64 {
	return float64(j.ColdLoadExceeded) / float64(max(1, j.ColdLoadChecks))
}

// watch looks on at what limiters decide.
type watch struct {
	world   *world.World
	series  map[int][]state // each seriesMs, by limiter
	changes int
	sent    []passed // by half of a second
}

// passed are the attempts of a half of a second, and those of them to boxes that are
// not there.
type passed struct{ all, void int }

// eye looks on at one limiter.
type eye struct {
	watch    *watch
	policy   virtual.Policy
	limiter  int
	seenAt   float64
	shares   []float64
	seriesAt float64
}

// state are the shares of a limiter's tiers at a time.
type state struct {
	at     time.Duration
	shares []float64
}

const (
	lookMs   = 50.0
	seriesMs = 250.0
	startMs  = 1e6 // on the limiters' clock, of a play's beginning; see package virtual
)

func (w *watch) add(p virtual.Policy, n int) virtual.Policy {
	return &eye{watch: w, policy: p, limiter: n}
}

// Handle takes one event.
func (e *eye) Handle(now float64, ev limiter.Event) []limiter.Action {
	actions := e.policy.Handle(now, ev)
	for _, a := range actions {
		if a, ok := a.(limiter.PassOn); ok {
			e.watch.passedOn(int(a.Server) - 1)
		}
	}
	if l, ok := e.policy.(*limiter.Limiter); ok && now >= e.seenAt+lookMs {
		e.seenAt = now
		e.look(now, l)
	}
	return actions
}

// look notes the shares of tiers, and that one has changed.
func (e *eye) look(now float64, l *limiter.Limiter) {
	tiers := l.Tiers(now)
	if len(e.shares) != len(tiers) {
		e.shares = make([]float64, len(tiers))
		for k := range tiers {
			e.shares[k] = tiers[k].Share
		}
	}
	s := state{at: time.Duration((now - startMs) * float64(time.Millisecond))}
	for k := range tiers {
		if tiers[k].Share != e.shares[k] {
			e.watch.changes++
			e.shares[k] = tiers[k].Share
		}
		s.shares = append(s.shares, tiers[k].Share)
	}
	if len(tiers) > 0 && now >= e.seriesAt+seriesMs {
		e.seriesAt = now
		e.watch.series[e.limiter] = append(e.watch.series[e.limiter], s)
	}
}

func (w *watch) passedOn(box int) {
	i := int(w.world.Now() / drainStep)
	for len(w.sent) <= i {
		w.sent = append(w.sent, passed{})
	}
	w.sent[i].all++
	if c := w.world.Boxes[box].Condition(); c == world.Dead || c == world.Vanished || c == world.Crashed {
		w.sent[i].void++
	}
}

// drainedShare is how much of what is sent may still go to lost boxes for them to count
// as drained.
const drainedShare = 0.05

// drainStep is the time over which that is counted.
const drainStep = 500 * time.Millisecond

// drained is the time from a loss until hardly anything is sent to lost boxes, up to the
// return.
func (w *watch) drained(from, to time.Duration) time.Duration {
	last := time.Duration(0)
	for i, p := range w.sent {
		at := time.Duration(i+1) * drainStep
		if at > from && at <= to && float64(p.void) > drainedShare*float64(p.all) && p.void > 1 {
			last = at - from
		}
	}
	return last
}

// Job is one run to be done.
type Job struct {
	Case            Case
	Rule            Rule
	Boxes, Limiters int
	Seed            uint64
	Figures         Figures
	Err             error
}

// RunAll does jobs on all cores. done, if set, is called after each, in no certain order.
func RunAll(ctx context.Context, jobs []Job, done func()) error {
	return parallel.Each(ctx, len(jobs), func(float64) {
		if done != nil {
			done()
		}
	}, func(ctx context.Context, i int) error {
		j := &jobs[i]
		j.Figures, j.Err = Run(ctx, j.Case, j.Rule, j.Boxes, j.Limiters, j.Seed)
		return j.Err
	})
}

// Find returns the cases of names; none are all.
func Find(names []string) ([]Case, error) {
	return find(names, Cases(), func(c Case) string { return c.Name })
}

// FindRules returns the rules of names; none are all.
func FindRules(names []string) ([]Rule, error) {
	return find(names, Rules(), func(r Rule) string { return r.Name })
}

func find[T any](names []string, all []T, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var found []T
	for _, n := range names {
		i := slices.IndexFunc(all, func(x T) bool { return name(x) == n })
		if i < 0 {
			var known []string
			for _, x := range all {
				known = append(known, name(x))
			}
			return nil, fmt.Errorf("there is no %q; there are: %s", n, strings.Join(known, " "))
		}
		found = append(found, all[i])
	}
	return found, nil
}
