// Package rollout takes limiters out of service one after the other, at most so many at
// once, and waits for each to be back. It decides alone: what is agreed on goes in and out
// as commands, what limiters say of themselves goes in, calls to them come out.
//
// Each step is noted before it is carried out, so that a conductor that follows goes on
// where the last one stood. A call names the process that it means: one that has been
// started again is not taken out twice.
package rollout

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Duty is the duty under which rollouts are carried out.
const Duty = "rollout"

// Kind is what is done to each limiter.
type Kind string

// Kinds of rollouts.
const (
	Drain   Kind = "drain"   // its clients are sent away, and it takes new ones again
	Restart Kind = "restart" // and its process ends in between; a supervisor starts it again
)

// Phase is how far a limiter is.
type Phase string

// Phases, in their order.
const (
	Waiting   Phase = "waiting"
	Leaving   Phase = "leaving"   // it is to send its clients away
	Ending    Phase = "ending"    // its process is to end
	Returning Phase = "returning" // it is to take clients again
	Back      Phase = "back"
)

// State is how a rollout stands.
type State string

// States of rollouts.
const (
	Running    State = "running"
	Halted     State = "halted" // until an operator has it go on, or ends it
	StateDone       State = "done"
	StateEnded State = "ended" // by an operator, before it was done
)

// Step is one limiter's part.
type Step struct {
	Limiter string
	Phase   Phase
	Start   uint64 // of the process that is taken out
	Epoch   uint64 // of the conductor that noted the phase
}

// Plan is a rollout.
type Plan struct {
	ID     string
	Kind   Kind
	AtOnce int
	Fall   float64 // it halts when the share of requests served falls by more
	Before float64 // that share before it began; 0: not measured yet
	Steps  []Step
	State  State
	Why    string
}

// Op is what a command asks for.
type Op string

// The ops of commands.
const (
	Begin         Op = "begin"
	OpAdvance     Op = "note"    // a limiter goes from one phase to the next
	OpSetBaseline Op = "service" // the service before
	Halt          Op = "halt"
	GoOn          Op = "continue"
	End           Op = "end"
)

// Command is a change to the book. Those of conductors carry their epoch.
type Command struct {
	Op       Op
	ID       string
	Plan     *Plan // Begin
	Limiter  string
	From, To Phase
	Start    uint64
	Before   float64
	Why      string
	Epoch    uint64 // 0: an operator's
}

// Book is what is agreed on of rollouts: one at a time, and the last ones. The zero value is empty.
type Book struct{ Plans []*Plan } // oldest first

const maxPlans = 16

// Current is the rollout that is not over, or nil.
func (b *Book) Current() *Plan {
	if n := len(b.Plans); n > 0 && (b.Plans[n-1].State == Running || b.Plans[n-1].State == Halted) {
		return b.Plans[n-1]
	}
	return nil
}

// Apply carries out a command. epoch is that of the duty's present term: a conductor's
// command under another one is refused.
func (b *Book) Apply(c Command, currentEpoch uint64) error {
	p := b.Current()
	if c.Op == Begin {
		if p != nil {
			return fmt.Errorf("rollout %s is %s: wait for it, or end it first", p.ID, p.State)
		}
		if err := c.Plan.validate(); err != nil {
			return err
		}
		plan := *c.Plan
		plan.State, plan.Steps = Running, slices.Clone(plan.Steps)
		b.Plans = append(b.Plans, &plan)
		if excess := len(b.Plans) - maxPlans; excess > 0 {
			b.Plans = slices.Delete(b.Plans, 0, excess)
		}
		return nil
	}
	switch {
	case p == nil:
		return errors.New("no rollout is under way")
	case c.ID != "" && c.ID != p.ID:
		return fmt.Errorf("rollout %s is not under way, %s is", c.ID, p.ID)
	case c.Epoch != 0 && c.Epoch != currentEpoch:
		return fmt.Errorf("epoch %d of the duty is over, %d is under way", c.Epoch, currentEpoch)
	}
	switch c.Op {
	case OpAdvance:
		i := slices.IndexFunc(p.Steps, func(s Step) bool { return s.Limiter == c.Limiter })
		if i < 0 || p.Steps[i].Phase != c.From {
			return fmt.Errorf("%s is not %s", c.Limiter, c.From)
		}
		if c.Epoch == 0 {
			return errors.New("a step needs its conductor's epoch")
		}
		if c.From == Waiting && p.outOfService() >= p.AtOnce {
			return fmt.Errorf("%d limiters are out already", p.outOfService())
		}
		p.Steps[i].Phase, p.Steps[i].Epoch = c.To, c.Epoch
		if c.Start != 0 {
			p.Steps[i].Start = c.Start
		}
		if !slices.ContainsFunc(p.Steps, func(s Step) bool { return s.Phase != Back }) {
			p.State = StateDone
		}
	case OpSetBaseline:
		p.Before = c.Before
	case Halt:
		p.State, p.Why = Halted, c.Why
	case GoOn:
		p.State, p.Why, p.Before = Running, "", 0
	case End:
		p.State, p.Why = StateEnded, c.Why
	default:
		return fmt.Errorf("there is no op %.20q", c.Op)
	}
	return nil
}

// check tells what is wrong with a plan that is to begin.
func (p *Plan) validate() error {
	switch {
	case p == nil || p.ID == "":
		return errors.New("a rollout needs an id")
	case p.Kind != Drain && p.Kind != Restart:
		return fmt.Errorf("a rollout is a drain or a restart, not %.20q", p.Kind)
	case len(p.Steps) == 0:
		return errors.New("a rollout needs limiters")
	case p.AtOnce < 1 || p.AtOnce >= len(p.Steps) && len(p.Steps) > 1:
		return fmt.Errorf("%d limiters at once, of %d: at least 1, and not all of them", p.AtOnce, len(p.Steps))
	case p.Fall <= 0 || p.Fall > 1:
		return fmt.Errorf("fall %g is not a share above 0", p.Fall)
	}
	for i, s := range p.Steps {
		if s.Limiter == "" || s.Phase != Waiting || slices.ContainsFunc(p.Steps[:i], func(o Step) bool { return o.Limiter == s.Limiter }) {
			return fmt.Errorf("limiter %q stands twice, or not at its beginning", s.Limiter)
		}
	}
	return nil
}

// out is how many limiters are out of service.
func (p *Plan) outOfService() (n int) {
	for _, s := range p.Steps {
		if s.Phase != Waiting && s.Phase != Back {
			n++
		}
	}
	return n
}

// Seen is what a limiter says of itself.
type Seen struct {
	Reached  bool
	Ready    bool // it takes clients
	Draining bool
	Start    uint64
	InHand   int // requests taken and not ended
}

// Verb is what a limiter is called for.
type Verb string

// The calls.
const (
	CallDrain  Verb = "drain"
	CallResume Verb = "resume"
	CallLeave  Verb = "leave"
)

// Call is one to make, under the conductor's token.
type Call struct {
	Verb    Verb
	Limiter string
	Start   uint64 // the process that is meant
}

const (
	// A limiter that sends its clients away has emptyFor until it counts as empty with
	// requests still in hand: none may take longer.
	drainTimeout = 10 * time.Second
	// A rollout halts when a phase takes longer, or a limiter whose turn it is can't be
	// reached for so long.
	phaseTimeout = time.Minute
	// Service has to lie too low in so many looks in a row.
	maxLowObservations = 3
)

// Conductor carries out rollouts while it owns the duty. It is not safe for concurrent use.
type Conductor struct {
	self     string
	since    map[string]time.Duration // by limiter and phase: when this conductor first saw it so
	lowCount int
}

// NewConductor returns one, on a limiter.
func NewConductor(self string) *Conductor {
	return &Conductor{self: self, since: map[string]time.Duration{}}
}

// Look is what a conductor sees at one time.
type Look struct {
	Now    time.Duration
	Epoch  uint64
	Seen   map[string]Seen
	Served float64 // share of the requests that were served of late, by all limiters; below 0: not known
}

// Next returns what is to be noted and which calls are to be made. resign: this limiter is
// next to be taken out, and another one has to do that.
func (c *Conductor) Next(plan *Plan, observed Look) (notes []Command, calls []Call, resign bool) {
	if plan == nil || plan.State != Running {
		clear(c.since)
		c.lowCount = 0
		return nil, nil, false
	}
	halt := func(why string) []Command {
		return []Command{{Op: Halt, ID: plan.ID, Epoch: observed.Epoch, Why: why}}
	}
	if plan.Before == 0 {
		if observed.Served < 0 {
			return nil, nil, false // the limiters are asked first
		}
		return []Command{{Op: OpSetBaseline, ID: plan.ID, Epoch: observed.Epoch, Before: max(observed.Served, 1e-9)}}, nil, false
	}
	if observed.Served >= 0 && observed.Served < plan.Before-plan.Fall {
		if c.lowCount++; c.lowCount >= maxLowObservations {
			return halt(fmt.Sprintf("service fell from %.3f to %.3f", plan.Before, observed.Served)), nil, false
		}
	} else if observed.Served >= 0 {
		c.lowCount = 0
	}
	outOfService := plan.outOfService()
	for _, step := range plan.Steps {
		status := observed.Seen[step.Limiter]
		advance := func(to Phase, start uint64) {
			notes = append(notes, Command{Op: OpAdvance, ID: plan.ID, Limiter: step.Limiter, From: step.Phase, To: to, Start: start, Epoch: observed.Epoch})
		}
		call := func(v Verb) { calls = append(calls, Call{v, step.Limiter, step.Start}) }
		if step.Phase == Back || step.Phase == Waiting && outOfService >= plan.AtOnce {
			continue
		}
		key := step.Limiter + " " + string(step.Phase)
		entered, known := c.since[key]
		if !known {
			entered = observed.Now
			c.since[key] = entered
		}
		if took := observed.Now - entered; took > phaseTimeout {
			return halt(fmt.Sprintf("%s has been %s for %v", step.Limiter, step.Phase, took.Round(time.Second))), nil, false
		}
		restarted := status.Reached && status.Start != step.Start // its process has ended, by whatever
		switch step.Phase {
		case Waiting:
			outOfService++ // also one that can't be reached: it is out
			switch {
			case !status.Reached || !status.Ready || !c.othersReady(plan, observed):
			case step.Limiter == c.self:
				return notes, calls, true
			default:
				advance(Leaving, status.Start)
			}
		case Leaving:
			switch {
			case restarted:
				advance(Returning, 0)
			case status.Reached && status.Draining && (status.InHand == 0 || observed.Now-entered > drainTimeout) && plan.Kind == Restart:
				advance(Ending, 0)
			case status.Reached && status.Draining && (status.InHand == 0 || observed.Now-entered > drainTimeout):
				advance(Returning, 0)
			case status.Reached && !status.Draining:
				call(CallDrain)
			}
		case Ending:
			if restarted {
				advance(Returning, 0)
			} else if status.Reached {
				call(CallLeave)
			}
		case Returning:
			if status.Reached && status.Ready {
				advance(Back, 0)
			} else if status.Reached && status.Draining && !restarted {
				call(CallResume)
			}
		}
	}
	return notes, calls, false
}

// othersReady tells whether all limiters that are not out take clients: with one that is
// down for another reason, none more is taken out.
func (c *Conductor) othersReady(plan *Plan, observed Look) bool {
	for name, status := range observed.Seen {
		i := slices.IndexFunc(plan.Steps, func(s Step) bool { return s.Limiter == name })
		if i >= 0 && plan.Steps[i].Phase != Waiting && plan.Steps[i].Phase != Back {
			continue
		}
		if !status.Reached || !status.Ready {
			return false
		}
	}
	return true
}
