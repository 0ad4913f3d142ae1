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
	Running State = "running"
	Halted  State = "halted" // until an operator has it go on, or ends it
	Done    State = "done"
	Ended   State = "ended" // by an operator, before it was done
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
	Begin    Op = "begin"
	Note     Op = "note"    // a limiter goes from one phase to the next
	Measured Op = "service" // the service before
	Halt     Op = "halt"
	GoOn     Op = "continue"
	End      Op = "end"
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

const mostPlans = 16

// Current is the rollout that is not over, or nil.
func (b *Book) Current() *Plan {
	if n := len(b.Plans); n > 0 && (b.Plans[n-1].State == Running || b.Plans[n-1].State == Halted) {
		return b.Plans[n-1]
	}
	return nil
}

// Apply carries out a command. epoch is that of the duty's present term: a conductor's
// command under another one is refused.
func (b *Book) Apply(c Command, epoch uint64) error {
	p := b.Current()
	if c.Op == Begin {
		if p != nil {
			return fmt.Errorf("rollout %s is %s: wait for it, or end it first", p.ID, p.State)
		}
		if err := c.Plan.check(); err != nil {
			return err
		}
		n := *c.Plan
		n.State, n.Steps = Running, slices.Clone(n.Steps)
		b.Plans = append(b.Plans, &n)
		if k := len(b.Plans) - mostPlans; k > 0 {
			b.Plans = slices.Delete(b.Plans, 0, k)
		}
		return nil
	}
	switch {
	case p == nil:
		return errors.New("no rollout is under way")
	case c.ID != "" && c.ID != p.ID:
		return fmt.Errorf("rollout %s is not under way, %s is", c.ID, p.ID)
	case c.Epoch != 0 && c.Epoch != epoch:
		return fmt.Errorf("epoch %d of the duty is over, %d is under way", c.Epoch, epoch)
	}
	switch c.Op {
	case Note:
		i := slices.IndexFunc(p.Steps, func(s Step) bool { return s.Limiter == c.Limiter })
		if i < 0 || p.Steps[i].Phase != c.From {
			return fmt.Errorf("%s is not %s", c.Limiter, c.From)
		}
		if c.Epoch == 0 {
			return errors.New("a step needs its conductor's epoch")
		}
		if c.From == Waiting && p.out() >= p.AtOnce {
			return fmt.Errorf("%d limiters are out already", p.out())
		}
		p.Steps[i].Phase, p.Steps[i].Epoch = c.To, c.Epoch
		if c.Start != 0 {
			p.Steps[i].Start = c.Start
		}
		if !slices.ContainsFunc(p.Steps, func(s Step) bool { return s.Phase != Back }) {
			p.State = Done
		}
	case Measured:
		p.Before = c.Before
	case Halt:
		p.State, p.Why = Halted, c.Why
	case GoOn:
		p.State, p.Why, p.Before = Running, "", 0
	case End:
		p.State, p.Why = Ended, c.Why
	default:
		return fmt.Errorf("there is no op %.20q", c.Op)
	}
	return nil
}

// check tells what is wrong with a plan that is to begin.
func (p *Plan) check() error {
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
func (p *Plan) out() (n int) {
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
	emptyFor = 10 * time.Second
	// A rollout halts when a phase takes longer, or a limiter whose turn it is can't be
	// reached for so long.
	phaseFor = time.Minute
	// Service has to lie too low in so many looks in a row.
	lowLooks = 3
)

// Conductor carries out rollouts while it owns the duty. It is not safe for concurrent use.
type Conductor struct {
	me    string
	since map[string]time.Duration // by limiter and phase: when this conductor first saw it so
	low   int
}

// NewConductor returns one, on a limiter.
func NewConductor(me string) *Conductor {
	return &Conductor{me: me, since: map[string]time.Duration{}}
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
func (c *Conductor) Next(p *Plan, l Look) (notes []Command, calls []Call, resign bool) {
	if p == nil || p.State != Running {
		clear(c.since)
		c.low = 0
		return nil, nil, false
	}
	halt := func(why string) []Command {
		return []Command{{Op: Halt, ID: p.ID, Epoch: l.Epoch, Why: why}}
	}
	if p.Before == 0 {
		if l.Served < 0 {
			return nil, nil, false // the limiters are asked first
		}
		return []Command{{Op: Measured, ID: p.ID, Epoch: l.Epoch, Before: max(l.Served, 1e-9)}}, nil, false
	}
	if l.Served >= 0 && l.Served < p.Before-p.Fall {
		if c.low++; c.low >= lowLooks {
			return halt(fmt.Sprintf("service fell from %.3f to %.3f", p.Before, l.Served)), nil, false
		}
	} else if l.Served >= 0 {
		c.low = 0
	}
	out := p.out()
	for _, s := range p.Steps {
		seen := l.Seen[s.Limiter]
		note := func(to Phase, start uint64) {
			notes = append(notes, Command{Op: Note, ID: p.ID, Limiter: s.Limiter, From: s.Phase, To: to, Start: start, Epoch: l.Epoch})
		}
		call := func(v Verb) { calls = append(calls, Call{v, s.Limiter, s.Start}) }
		if s.Phase == Back || s.Phase == Waiting && out >= p.AtOnce {
			continue
		}
		key := s.Limiter + " " + string(s.Phase)
		from, known := c.since[key]
		if !known {
			from = l.Now
			c.since[key] = from
		}
		if took := l.Now - from; took > phaseFor {
			return halt(fmt.Sprintf("%s has been %s for %v", s.Limiter, s.Phase, took.Round(time.Second))), nil, false
		}
		another := seen.Reached && seen.Start != s.Start // its process has ended, by whatever
		switch s.Phase {
		case Waiting:
			out++ // also one that can't be reached: it is out
			switch {
			case !seen.Reached || !seen.Ready || !c.othersReady(p, l):
			case s.Limiter == c.me:
				return notes, calls, true
			default:
				note(Leaving, seen.Start)
			}
		case Leaving:
			switch {
			case another:
				note(Returning, 0)
			case seen.Reached && seen.Draining && (seen.InHand == 0 || l.Now-from > emptyFor) && p.Kind == Restart:
				note(Ending, 0)
			case seen.Reached && seen.Draining && (seen.InHand == 0 || l.Now-from > emptyFor):
				note(Returning, 0)
			case seen.Reached && !seen.Draining:
				call(CallDrain)
			}
		case Ending:
			if another {
				note(Returning, 0)
			} else if seen.Reached {
				call(CallLeave)
			}
		case Returning:
			if seen.Reached && seen.Ready {
				note(Back, 0)
			} else if seen.Reached && seen.Draining && !another {
				call(CallResume)
			}
		}
	}
	return notes, calls, false
}

// othersReady tells whether all limiters that are not out take clients: with one that is
// down for another reason, none more is taken out.
func (c *Conductor) othersReady(p *Plan, l Look) bool {
	for name, seen := range l.Seen {
		i := slices.IndexFunc(p.Steps, func(s Step) bool { return s.Limiter == name })
		if i >= 0 && p.Steps[i].Phase != Waiting && p.Steps[i].Phase != Back {
			continue
		}
		if !seen.Reached || !seen.Ready {
			return false
		}
	}
	return true
}
