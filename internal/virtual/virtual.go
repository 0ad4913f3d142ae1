// Package virtual is a discrete-event simulation: it drives a simulated world in virtual time, with the
// limiters' decision modules in the same process. Equal seeds, sources and faults give bit-identical
// results on any machine.
//
// It takes the place of package node, which hosts a limiter on sockets: keep-alive connections,
// connects that take time, deadlines slightly before those of the clients, and answers forwarded
// without delay.
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

// Policy makes the decisions of one limiter. [limiter.Limiter] is the production policy; others serve as
// a baseline.
type Policy interface {
	Handle(now float64, ev limiter.Event) []limiter.Action
}

// NewPolicy creates the policy of a limiter at each of its starts.
type NewPolicy func(s limiter.Settings, seed uint64) (Policy, error)

// Limiter creates the production policy.
func Limiter(s limiter.Settings, seed uint64) (Policy, error) { return limiter.New(s, seed) }

// Options configures a simulation run.
type Options struct {
	Fleet          *fleet.Fleet
	Seed           uint64
	Source         world.Source
	Faults         []world.Fault
	Policy         NewPolicy     // Limiter if nil
	SampleInterval time.Duration // interval of load samples of the boxes; 0: none
	// AskShare is the share of requests for which a proxy asks a limiter for permission before it sends
	// them. Half of these bypass the limiters after the grant; the others get a lease and go through
	// the limiter that the front picks then.
	AskShare float64
	// Advisers, if set, creates the plug-ins at each start of a limiter.
	Advisers NewAdviser
	// Accounts makes the meter of the world keep totals by account.
	Accounts bool
	// Steward moves parts of ceilings to the limiters where requests arrive, as the fleet duty of
	// that name does.
	Steward bool
	// MemoryInterval is the interval at which limiters store their learned state, which they restore when
	// they restart; 0: never. It applies only to policies that support it.
	MemoryInterval time.Duration
	// ExtraMemoryAge is added to the age of a restored memory, and AlterMemory, if set, modifies the memory.
	ExtraMemoryAge time.Duration
	AlterMemory    func(*limiter.Memory)
	// OnRefusal, if set, is called at each refusal by a policy, and OnAttempt at each attempt, both before
	// the state changes.
	OnRefusal func(limiter int, p Policy, t *world.Try, a limiter.Refuse)
	OnAttempt func(t *world.Try, box int)
	// Progress, if set, is called every 4096 events with the virtual time.
	Progress func(now time.Duration)
	// OnStart, if set, receives the world before the first event, so that the other callbacks can
	// inspect it.
	OnStart func(w *world.World)
	// OnAction, if set, is called with every action of the world before it is carried out.
	OnAction func(now time.Duration, a world.Action)
	// ColdLoadWindow is the window over which the judge measures the load sent to cold boxes, 0 for none, and
	// ColdLoadLimit the ratio that it counts as excessive; see judge.Judge.
	ColdLoadWindow time.Duration
	ColdLoadLimit  float64
	// Unguarded disables the checks that a host makes independently of its policy: attempts at boxes
	// that drain or are gone, too many attempts, and requests that have ended or reached their
	// deadline. Tests use it to show that the judge detects broken policies.
	Unguarded bool
}

// Counts holds totals over all limiters.
type Counts struct {
	Attempts, CrossRoomAttempts, Connects, Probes, Messages int
	Asks, Grants                                            int
	RefusedByPlugins                                        int // tries that plug-ins refused
}

// Result holds the final state and the totals of a run.
type Result struct {
	World        *world.World
	Judge        *judge.Judge
	Counts       Counts
	Labels       map[string]LabelCount // by label that plug-ins gave
	Length       time.Duration         // virtual time
	Events       uint64
	MaxOpenCalls int // largest number of open calls
}

// epochMs is the limiters' clock at virtual time 0. It is above 0 because 0 means long ago there.
const epochMs = 1e6

const (
	answerMargin    = 10 * time.Millisecond // an attempt ends this long before its client's deadline, ...
	marginPart      = 4                     // ... but at most this fraction of the client's time
	probeTimeout    = 250 * time.Millisecond
	startDelay      = 200 * time.Millisecond // until a starting limiter is ready
	acceptAfterStop = 500 * time.Millisecond // a limiter that shuts down still accepts requests
	drainTime       = 3450 * time.Millisecond
	maxMessage      = 256
	restTimeout     = 250 * time.Millisecond // a stalled response is abandoned after this time, ...
	restPart        = 4                      // ... or after this fraction of the remaining time
	// Events are reported to the judge without delay; its slack covers only the network to the client.
	judgeSlack = 8 * time.Millisecond
)

// JudgeSettings returns the judge's settings for the rules of a fleet.
func JudgeSettings(f *fleet.Fleet, slack time.Duration) judge.Settings {
	s := judge.Settings{Attempts: f.Rules.Attempts, DrainGrace: f.Rules.DrainGrace, FallFactor: f.Rules.OverloadFactor,
		FallFor: f.Rules.OverloadDuration, CeilingSlack: f.Rules.CeilingSlack, MaxUnits: f.MaxUnits(), Slack: slack}
	for _, c := range f.Classes {
		s.Classes = append(s.Classes, judge.Class{Repeat: c.Repeat, Group: c.Group, Window: c.Window})
		s.MaxDeadline = max(s.MaxDeadline, c.Deadline)
	}
	for _, p := range f.Plans {
		s.Plans = append(s.Plans, judge.Plan{CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst})
	}
	return s
}

// driver carries out the actions of the world and of the policies.
type driver struct {
	options   Options
	world     *world.World
	judge     *judge.Judge
	rng       *rand.Rand
	hosts     []*host
	attempts  map[uint64]*attempt
	lastID    uint64
	boxResets []int // by box: number of connection resets
	tiers     []string
	result    *Result
	startErr  error // error of a limiter that failed to restart
	steward   *partsSteward
}

// Run simulates until every request has ended. It returns the error of the context if that ends first.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Policy == nil {
		o.Policy = Limiter
	}
	d := &driver{options: o, rng: rand.New(rand.NewPCG(o.Seed, 0xd1)), attempts: map[uint64]*attempt{}}
	d.world = world.New(o.Fleet, world.Options{Seed: o.Seed, Source: o.Source, Faults: o.Faults, SampleInterval: o.SampleInterval,
		WayOf: func(call uint64) int { return int(drawWay(o, call)) }})
	rules := JudgeSettings(o.Fleet, judgeSlack)
	rules.ColdLoadWindow, rules.ColdLoadLimit = o.ColdLoadWindow, o.ColdLoadLimit
	d.judge = judge.New(rules)
	if o.OnStart != nil {
		o.OnStart(d.world)
	}
	d.boxResets = make([]int, len(d.world.Boxes))
	d.result = &Result{World: d.world, Judge: d.judge, Labels: map[string]LabelCount{}}
	for _, t := range o.Fleet.Tiers {
		d.tiers = append(d.tiers, t.Name)
	}
	if o.Accounts {
		d.world.Meter.KeepAccounts()
	}
	defer func() {
		for _, h := range d.hosts {
			h.stopAdviser()
		}
	}()
	if o.Steward {
		d.steward = newDealer(d)
	}
	for i := range o.Fleet.Limiters {
		h := &host{driver: d, index: i}
		d.hosts = append(d.hosts, h)
		if err := h.start(); err != nil {
			return nil, fmt.Errorf("limiter %s: %w", o.Fleet.Limiters[i].Name, err)
		}
	}
	for steps := 0; d.world.Busy(); steps++ {
		actions, more := d.world.Step()
		if !more {
			break
		}
		for len(actions) > 0 {
			for _, a := range actions {
				if o.OnAction != nil {
					o.OnAction(d.world.Now(), a)
				}
				d.carryOut(a)
			}
			actions = d.world.TakeActions()
		}
		if d.startErr != nil {
			return nil, d.startErr
		}
		d.result.MaxOpenCalls = max(d.result.MaxOpenCalls, d.world.Open())
		if steps%4096 == 0 {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			if o.Progress != nil {
				o.Progress(d.world.Now())
			}
		}
	}
	d.result.Length, d.result.Events = d.world.Now(), d.world.Events()
	d.judge.Close(d.world.Now() + time.Second)
	return d.result, nil
}

// ClockMs converts virtual time to the limiters' clock, in ms.
func ClockMs(t time.Duration) float64 { return clockMs(t) }

// clockMs converts virtual time to the limiters' clock.
func clockMs(t time.Duration) float64 { return epochMs + float64(t.Microseconds())/1000 }

// carryOut carries out an action of the world.
func (d *driver) carryOut(a world.Action) {
	switch a := a.(type) {
	case world.Due:
		a.What.(func())()
	case world.ClientSends:
		h, t := d.hosts[a.Try.Limiter], a.Try
		d.after(d.world.ClientDelay(), func() { h.receive(t) })
	case world.ClientLeaves:
		d.hosts[a.Try.Limiter].clientGone(a.Try)
	case world.BoxAnswers:
		d.boxAnswered(a)
	case world.BoxResets:
		d.resetConnections(a)
	case world.BoxCrashes:
		d.judge.BoxCrashed(d.world.Now(), a.Box)
	case world.DiscoveryUpdate:
		d.hosts[a.Limiter].updateEndpoints(limiter.Partial, a.Entries)
	case world.DeliverPeerMessage:
		if h := d.hosts[a.To]; h.up && len(a.Data) > 0 && a.Data[0] == grant.NoticeMagic {
			h.receiveNotices(a.Data)
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
		d.after(startDelay, func() { d.startErr = errors.Join(d.startErr, h.start()) })
	}
}

func (d *driver) after(wait time.Duration, f func()) { d.world.Schedule(d.world.Now()+wait, f) }

// boxAnswered passes a box's response to the limiter that waits for it.
func (d *driver) boxAnswered(a world.BoxAnswers) {
	at := d.attempts[a.Done.ID]
	if a.Done.Ran {
		d.judge.AttemptExecuted(d.world.Now(), a.Done.ID)
	}
	if at == nil { // the attempt was abandoned
		return
	}
	result, verdict := limiter.Pass, judge.WasServed
	switch a.Done.Result {
	case world.Failed:
		result, verdict = limiter.Fault, judge.MayHaveRun
	case world.TurnedAway:
		result, verdict = limiter.NoRoom, judge.NeverRan
	}
	wait := d.world.Delay(at.host.index, at.box)
	switch a.Fault {
	case world.Garbled, world.Halved:
		result, verdict = limiter.Spoilt, judge.MayHaveRun
	case world.Stalled:
		result, verdict = limiter.Spoilt, judge.MayHaveRun
		wait += min(restTimeout, max(0, at.request.stopAt-d.world.Now())/restPart)
	case world.Cut:
		result, verdict = limiter.Cut, judge.MayHaveRun
	}
	d.endAttempt(at, verdict)
	load := noLoad
	if a.HasLoad {
		load = limiter.Load{Busy: a.Load.InFlight, Pending: a.Load.Queue, ServiceMs: -1}
	}
	epoch := at.host.epoch
	d.after(wait, func() {
		if at.host.epoch == epoch {
			if a.Fault == world.NoResponseFault {
				at.host.keepConn(at)
			} else {
				at.host.closeConn(at)
			}
			at.host.finishAttempt(at, result, load)
		}
	})
}

// endAttempt ends an attempt as seen from the box.
func (d *driver) endAttempt(at *attempt, v judge.Verdict) {
	d.judge.AttemptEnded(d.world.Now(), at.id, v)
	delete(d.attempts, at.id)
}

// resetConnections resets all connections to a box.
func (d *driver) resetConnections(a world.BoxResets) {
	if a.Silent { // no reset reaches the limiters
		return
	}
	for len(d.boxResets) < len(d.world.Boxes) {
		d.boxResets = append(d.boxResets, 0)
	}
	d.boxResets[a.Box]++
	lost := a.Jobs
	if len(lost) == 0 { // an unreachable machine has returned
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
		d.endAttempt(at, judge.MayHaveRun)
		epoch := at.host.epoch
		d.after(d.world.Delay(at.host.index, at.box), func() {
			if at.host.epoch == epoch {
				at.host.finishAttempt(at, limiter.Cut, noLoad)
			}
		})
	}
}

var noLoad = limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}
