// Package virtual drives a stand-in world in virtual time, with the limiters'
// decision modules in the same process: a discrete-event simulation. Equal
// seeds, sources and faults give equal results to the last bit, on any machine.
//
// It plays the part of the limiters' hosts on sockets (package node): kept
// connections, connects that take time, deadlines a little before the clients',
// answers passed on at once.
package virtual

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"example.org/madderdrum/grant"
	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/limiter"
)

// Policy is what decides for one limiter. [limiter.Limiter] is the one that
// counts; others are for scale.
type Policy interface {
	Handle(now float64, ev limiter.Event) []limiter.Action
}

// NewPolicy makes the policy of one limiter, at each of its starts.
type NewPolicy func(s limiter.Settings, seed uint64) (Policy, error)

// Limiter makes the module in service.
func Limiter(s limiter.Settings, seed uint64) (Policy, error) { return limiter.New(s, seed) }

// Options are what a run is made with.
type Options struct {
	Fleet  *fleet.Fleet
	Seed   uint64
	Source world.Source
	Faults []world.Fault
	Policy NewPolicy     // Limiter if nil
	Sample time.Duration // between two notes of the boxes' loads; 0: none
	// Asked is the share of the requests whose proxy asks a limiter whether they may go,
	// rather than sending them through it: half of these are asked only, half are carried
	// with a lease, through whichever limiter the front picks then.
	Asked float64
	// Advisers, if set, makes the plug-ins of each life of a limiter.
	Advisers NewAdviser
	// Accounts has the world's meter keep sums by account.
	Accounts bool
	// Steward has parts of ceilings move to where requests arrive, as one of the fleet's duties does.
	Steward bool
	// Remember has limiters keep what they have learnt so often, and go on from it when they
	// start again; 0: they forget. Only a policy that can is asked to.
	Remember time.Duration
	// RememberAge is by how much older a memory is taken to be than it is, and Distort, if
	// set, changes what is found.
	RememberAge time.Duration
	Distort     func(*limiter.Memory)
	// Refused, if set, is told of each refusal by the module of a limiter, and SentTo of each
	// attempt: what it sees is as it was then.
	Refused func(limiter int, p Policy, t *world.Try, a limiter.Refuse)
	SentTo  func(t *world.Try, box int)
	// Progress, if set, is called now and then with the virtual time.
	Progress func(now time.Duration)
	// Started, if set, is given the world before anything happens in it, to look at
	// from the other calls.
	Started func(w *world.World)
	// Watch, if set, sees every action of the world before it is carried out.
	Watch func(now time.Duration, a world.Action)
	// PushFor is the window over which the judge measures what cold boxes are sent, 0 for
	// none, and PushMost what it counts as too much; see judge.Judge.
	PushFor  time.Duration
	PushMost float64
	// Unguarded takes away what the hosts themselves guard against, whatever the
	// policy wants: boxes that drain or are gone, attempts past the most, requests
	// that are over or held to the end. Tests show with it what the judge sees.
	Unguarded bool
}

// Counts are sums over all limiters.
type Counts struct {
	Attempts, Crossings, Connects, Probes, Messages int
	Asks, Grants                                    int
	Advised                                         int // tries that plug-ins had refused
}

// Result is what came of a run.
type Result struct {
	World   *world.World
	Judge   *judge.Judge
	Counts  Counts
	Labels  map[string]LabelCount // of plug-ins
	Length  time.Duration         // virtual
	Events  uint64
	MostOut int // calls open at once at most
}

// epochMs is the virtual time 0 on the limiters' clock, on which 0 means long ago.
const epochMs = 1e6

const (
	answerMargin = 10 * time.Millisecond // an attempt ends so long before its client gives up, ...
	marginPart   = 4                     // ... of short times this part at most
	probeTime    = 250 * time.Millisecond
	startTime    = 200 * time.Millisecond // until a started limiter is ready
	keepTaking   = 500 * time.Millisecond // a limiter that is told to end still takes requests
	stopTime     = 3450 * time.Millisecond
	maxMessage   = 256
	restTime     = 250 * time.Millisecond // an answer that has begun is given up after this, ...
	restPart     = 4                      // ... or this part of the time left
	// Things are seen here when they happen; the judge's slack covers the client's
	// way alone.
	judgeSlack = 8 * time.Millisecond
)

// JudgeSettings are the figures of a fleet's rules for the judge.
func JudgeSettings(f *fleet.Fleet, slack time.Duration) judge.Settings {
	s := judge.Settings{Attempts: f.Rules.Attempts, DrainGrace: f.Rules.DrainGrace, FallFactor: f.Rules.FallFactor,
		FallFor: f.Rules.FallFor, CeilingSlack: f.Rules.CeilingSlack, MostUnits: f.MostUnits(), Slack: slack}
	for _, c := range f.Classes {
		s.Classes = append(s.Classes, judge.Class{Repeat: c.Repeat, Group: c.Group, Window: c.Window})
		s.Longest = max(s.Longest, c.Deadline)
	}
	for _, p := range f.Plans {
		s.Plans = append(s.Plans, judge.Plan{CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst})
	}
	return s
}

// driver carries out what the world and the policies want.
type driver struct {
	o        Options
	w        *world.World
	j        *judge.Judge
	rng      *rand.Rand
	hosts    []*host
	attempts map[uint64]*attempt
	ids      uint64
	resets   []int // by box: how often its connections were reset
	tiers    []string
	res      *Result
	failed   error // a limiter that did not start again
	dealer   *dealer
}

// Run plays until all that arrived has its end. It ends early with the context's
// error.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Policy == nil {
		o.Policy = Limiter
	}
	d := &driver{o: o, rng: rand.New(rand.NewPCG(o.Seed, 0xd1)), attempts: map[uint64]*attempt{}}
	d.w = world.New(o.Fleet, world.Options{Seed: o.Seed, Source: o.Source, Faults: o.Faults, Sample: o.Sample,
		Way: func(call uint64) int { return int(wayOf(o, call)) }})
	rules := JudgeSettings(o.Fleet, judgeSlack)
	rules.PushFor, rules.PushMost = o.PushFor, o.PushMost
	d.j = judge.New(rules)
	if o.Started != nil {
		o.Started(d.w)
	}
	d.resets = make([]int, len(d.w.Boxes))
	d.res = &Result{World: d.w, Judge: d.j, Labels: map[string]LabelCount{}}
	for _, t := range o.Fleet.Tiers {
		d.tiers = append(d.tiers, t.Name)
	}
	if o.Accounts {
		d.w.Meter.KeepAccounts()
	}
	defer func() {
		for _, h := range d.hosts {
			h.adviseNoMore()
		}
	}()
	if o.Steward {
		d.dealer = newDealer(d)
	}
	for i := range o.Fleet.Limiters {
		h := &host{d: d, n: i}
		d.hosts = append(d.hosts, h)
		if err := h.start(); err != nil {
			return nil, fmt.Errorf("limiter %s: %w", o.Fleet.Limiters[i].Name, err)
		}
	}
	for steps := 0; d.w.Busy(); steps++ {
		actions, more := d.w.Step()
		if !more {
			break
		}
		for len(actions) > 0 {
			for _, a := range actions {
				if o.Watch != nil {
					o.Watch(d.w.Now(), a)
				}
				d.do(a)
			}
			actions = d.w.Take()
		}
		if d.failed != nil {
			return nil, d.failed
		}
		d.res.MostOut = max(d.res.MostOut, d.w.Open())
		if steps%4096 == 0 {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			if o.Progress != nil {
				o.Progress(d.w.Now())
			}
		}
	}
	d.res.Length, d.res.Events = d.w.Now(), d.w.Events()
	d.j.Close(d.w.Now() + time.Second)
	return d.res, nil
}

// Clock is a time on the limiters' clock, in ms.
func Clock(t time.Duration) float64 { return ms(t) }

// ms is a time on the limiters' clock.
func ms(t time.Duration) float64 { return epochMs + float64(t.Microseconds())/1000 }

// do carries out what the world wants.
func (d *driver) do(a world.Action) {
	switch a := a.(type) {
	case world.Due:
		a.What.(func())()
	case world.ClientSends:
		h, t := d.hosts[a.Try.Limiter], a.Try
		d.after(d.w.ClientDelay(), func() { h.take(t) })
	case world.ClientLeaves:
		d.hosts[a.Try.Limiter].abandon(a.Try)
	case world.BoxAnswers:
		d.answered(a)
	case world.BoxResets:
		d.reset(a)
	case world.BoxFalls:
		d.j.Fell(d.w.Now(), a.Box)
	case world.Listed:
		d.hosts[a.Limiter].listed(limiter.Partial, a.Entries)
	case world.PeerHears:
		if h := d.hosts[a.To]; h.up && len(a.Data) > 0 && a.Data[0] == grant.NoticeMagic {
			h.heard(a.Data)
		} else if h.up {
			h.handle(limiter.PeerMessage{From: a.From, Data: a.Data})
		}
	case world.KillLimiter:
		d.hosts[a.Limiter].kill()
	case world.StopLimiter:
		d.hosts[a.Limiter].stop()
	case world.StartLimiter:
		h := d.hosts[a.Limiter]
		h.kill()
		d.after(startTime, func() { d.failed = errors.Join(d.failed, h.start()) })
	}
}

func (d *driver) after(wait time.Duration, f func()) { d.w.After(d.w.Now()+wait, f) }

// answered passes a box's answer on to the limiter that waits for it.
func (d *driver) answered(a world.BoxAnswers) {
	at := d.attempts[a.Done.ID]
	if a.Done.Ran {
		d.j.Ran(d.w.Now(), a.Done.ID)
	}
	if at == nil { // given up; the box worked for nothing
		return
	}
	result, verdict := limiter.Pass, judge.WasServed
	switch a.Done.Result {
	case world.Failed:
		result, verdict = limiter.Fault, judge.MayHaveRun
	case world.TurnedAway:
		result, verdict = limiter.NoRoom, judge.NeverRan
	}
	wait := d.w.Delay(at.h.n, at.box)
	switch a.Wire {
	case world.Garbled, world.Halved:
		result, verdict = limiter.Spoilt, judge.MayHaveRun
	case world.Stalled:
		result, verdict = limiter.Spoilt, judge.MayHaveRun
		wait += min(restTime, max(0, at.r.stopAt-d.w.Now())/restPart)
	case world.Cut:
		result, verdict = limiter.Cut, judge.MayHaveRun
	}
	d.leave(at, verdict)
	load := noLoad
	if a.HasLoad {
		load = limiter.Load{Busy: a.Load.InFlight, Pending: a.Load.Queue, ServiceMs: -1}
	}
	epoch := at.h.epoch
	d.after(wait, func() {
		if at.h.epoch == epoch {
			if a.Wire == world.Clean {
				at.h.keep(at)
			} else {
				at.h.close(at)
			}
			at.h.finish(at, result, load)
		}
	})
}

// leave ends an attempt on the side of the box.
func (d *driver) leave(at *attempt, v judge.Verdict) {
	d.j.Ended(d.w.Now(), at.id, v)
	delete(d.attempts, at.id)
}

// reset ends connections to a box.
func (d *driver) reset(a world.BoxResets) {
	if a.Silent { // nobody hears of it
		return
	}
	for len(d.resets) < len(d.w.Boxes) {
		d.resets = append(d.resets, 0)
	}
	d.resets[a.Box]++
	lost := a.Jobs
	if len(lost) == 0 { // a machine that had vanished is back
		for id, at := range d.attempts {
			if at.box == a.Box && at.arrived {
				lost = append(lost, id)
			}
		}
		sortIDs(lost)
	}
	for _, id := range lost {
		at := d.attempts[id]
		if at == nil {
			continue
		}
		d.leave(at, judge.MayHaveRun)
		epoch := at.h.epoch
		d.after(d.w.Delay(at.h.n, at.box), func() {
			if at.h.epoch == epoch {
				at.h.finish(at, limiter.Cut, noLoad)
			}
		})
	}
}

var noLoad = limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}
