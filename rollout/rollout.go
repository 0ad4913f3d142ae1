// Package rollout takes limiters out of service one after the other, with a bound on how many are out at
// once, and waits for each to return. It only decides: replicated state changes through commands, the
// status of limiters is passed in, and the calls to make to them are returned.
//
// Each step is replicated before it is carried out, so that a new conductor continues where the last one
// stopped. A call names the process that it is for: a limiter that has restarted is not taken out twice.
package rollout

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Duty is the name of the fleet-wide duty whose owner conducts rollouts.
const Duty = "rollout"

// Kind is what a rollout does to each limiter.
type Kind string

// Kinds of rollouts.
const (
	KindDrain   Kind = "drain"   // the limiter sends its clients away, then accepts clients again
	KindRestart Kind = "restart" // the same, and its process exits in between; a supervisor restarts it
)

// Phase is a limiter's progress in a rollout.
type Phase string

// Phases, in order.
const (
	PhaseWaiting   Phase = "waiting"   // not taken out yet
	PhaseLeaving   Phase = "leaving"   // it must drain: send its clients away
	PhaseEnding    Phase = "ending"    // its process must exit
	PhaseReturning Phase = "returning" // it must accept clients again
	PhaseBack      Phase = "back"      // it is back in service
)

// State is the state of a whole rollout.
type State string

// States of rollouts.
const (
	StateRunning State = "running"
	StateHalted  State = "halted" // until an operator continues or ends it
	StateDone    State = "done"
	StateEnded   State = "ended" // by an operator, before it was done
)

// Step is the progress of one limiter.
type Step struct {
	Limiter string
	Phase   Phase
	Start   uint64 // identifies the process that is taken out
	Epoch   uint64 // of the conductor that recorded the phase
}

// Plan is a rollout and its progress.
type Plan struct {
	ID     string
	Kind   Kind
	AtOnce int
	Fall   float64 // the rollout halts when the share of served requests falls by more than this
	Before float64 // the share of served requests before the rollout; 0: not measured yet
	Steps  []Step
	State  State
	Why    string // why it was halted or ended
}

// Op is the type of a command.
type Op string

// Types of commands.
const (
	OpBegin       Op = "begin"
	OpAdvance     Op = "note"    // a limiter advances from one phase to the next
	OpSetBaseline Op = "service" // the share of served requests before the rollout
	OpHalt        Op = "halt"
	OpContinue    Op = "continue"
	OpEnd         Op = "end"
)

// Command is a change to the replicated history. A conductor's command carries its epoch.
type Command struct {
	Op       Op
	ID       string
	Plan     *Plan // for OpBegin
	Limiter  string
	From, To Phase
	Start    uint64
	Before   float64
	Why      string
	Epoch    uint64 // 0: from an operator
}

// History is the replicated state: the current rollout, if any, and the last ones. The zero value is empty.
type History struct{ Plans []*Plan } // oldest first

const maxPlans = 16

// Current returns the rollout that is running or halted, or nil.
func (b *History) Current() *Plan {
	if n := len(b.Plans); n > 0 && (b.Plans[n-1].State == StateRunning || b.Plans[n-1].State == StateHalted) {
		return b.Plans[n-1]
	}
	return nil
}

// Apply applies a command. currentEpoch is that of the duty's current term: a conductor's command under
// another epoch is rejected.
func (b *History) Apply(c Command, currentEpoch uint64) error {
	p := b.Current()
	if c.Op == OpBegin {
		if p != nil {
			return fmt.Errorf("rollout %s is %s: wait for it, or end it first", p.ID, p.State)
		}
		if err := c.Plan.validate(); err != nil {
			return err
		}
		plan := *c.Plan
		plan.State, plan.Steps = StateRunning, slices.Clone(plan.Steps)
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
		if c.From == PhaseWaiting && p.outOfService() >= p.AtOnce {
			return fmt.Errorf("%d limiters are out already", p.outOfService())
		}
		p.Steps[i].Phase, p.Steps[i].Epoch = c.To, c.Epoch
		if c.Start != 0 {
			p.Steps[i].Start = c.Start
		}
		if !slices.ContainsFunc(p.Steps, func(s Step) bool { return s.Phase != PhaseBack }) {
			p.State = StateDone
		}
	case OpSetBaseline:
		p.Before = c.Before
	case OpHalt:
		p.State, p.Why = StateHalted, c.Why
	case OpContinue:
		p.State, p.Why, p.Before = StateRunning, "", 0
	case OpEnd:
		p.State, p.Why = StateEnded, c.Why
	default:
		return fmt.Errorf("there is no op %.20q", c.Op)
	}
	return nil
}

// validate returns an error that says what is wrong with a plan that is to begin.
func (p *Plan) validate() error {
	switch {
	case p == nil || p.ID == "":
		return errors.New("a rollout needs an id")
	case p.Kind != KindDrain && p.Kind != KindRestart:
		return fmt.Errorf("a rollout is a drain or a restart, not %.20q", p.Kind)
	case len(p.Steps) == 0:
		return errors.New("a rollout needs limiters")
	case p.AtOnce < 1 || p.AtOnce >= len(p.Steps) && len(p.Steps) > 1:
		return fmt.Errorf("%d limiters at once, of %d: at least 1, and not all of them", p.AtOnce, len(p.Steps))
	case p.Fall <= 0 || p.Fall > 1:
		return fmt.Errorf("fall %g is not a share above 0", p.Fall)
	}
	for i, s := range p.Steps {
		if s.Limiter == "" || s.Phase != PhaseWaiting || slices.ContainsFunc(p.Steps[:i], func(o Step) bool { return o.Limiter == s.Limiter }) {
			return fmt.Errorf("limiter %q stands twice, or not at its beginning", s.Limiter)
		}
	}
	return nil
}

// outOfService returns how many limiters are out of service.
func (p *Plan) outOfService() (n int) {
	for _, s := range p.Steps {
		if s.Phase != PhaseWaiting && s.Phase != PhaseBack {
			n++
		}
	}
	return n
}

// LimiterStatus is what a limiter reports about itself.
type LimiterStatus struct {
	Reached  bool
	Ready    bool // it accepts clients
	Draining bool
	Start    uint64
	InFlight int // requests accepted and not finished
}

// Verb is the operation that a call requests.
type Verb string

// Verbs of calls.
const (
	CallDrain  Verb = "drain"
	CallResume Verb = "resume"
	CallLeave  Verb = "leave"
)

// Call is a call to make to a limiter, under the conductor's token.
type Call struct {
	Verb    Verb
	Limiter string
	Start   uint64 // identifies the process that the call is for
}

const (
	// A draining limiter counts as empty after drainTimeout even with requests in flight, as no request
	// may take longer.
	drainTimeout = 10 * time.Second
	// A rollout halts when a phase takes longer than phaseTimeout, or a limiter that is next in turn
	// can't be reached for that time.
	phaseTimeout = time.Minute
	// A rollout halts after this many observations in a row with too low a share of served requests.
	lowObservationsToHalt = 3
)

// Conductor carries out rollouts while it owns the duty. It is not safe for concurrent use.
type Conductor struct {
	self     string
	since    map[string]time.Duration // by limiter and phase: when this conductor first observed it
	lowCount int
}

// NewConductor returns the conductor on the limiter named self.
func NewConductor(self string) *Conductor {
	return &Conductor{self: self, since: map[string]time.Duration{}}
}

// Observation is what a conductor sees at one time.
type Observation struct {
	Now           time.Duration
	Epoch         uint64
	LimiterStatus map[string]LimiterStatus
	ServedShare   float64 // share of requests recently served, over all limiters; negative: unknown
}

// Next returns the commands to propose and the calls to make. resign is true if this limiter is the next
// to be taken out, which another conductor has to do.
func (c *Conductor) Next(plan *Plan, observed Observation) (commands []Command, calls []Call, resign bool) {
	if plan == nil || plan.State != StateRunning {
		clear(c.since)
		c.lowCount = 0
		return nil, nil, false
	}
	halt := func(why string) []Command {
		return []Command{{Op: OpHalt, ID: plan.ID, Epoch: observed.Epoch, Why: why}}
	}
	if plan.Before == 0 {
		if observed.ServedShare < 0 {
			return nil, nil, false // the limiters' status is needed first
		}
		return []Command{{Op: OpSetBaseline, ID: plan.ID, Epoch: observed.Epoch, Before: max(observed.ServedShare, 1e-9)}}, nil, false
	}
	if observed.ServedShare >= 0 && observed.ServedShare < plan.Before-plan.Fall {
		if c.lowCount++; c.lowCount >= lowObservationsToHalt {
			return halt(fmt.Sprintf("service fell from %.3f to %.3f", plan.Before, observed.ServedShare)), nil, false
		}
	} else if observed.ServedShare >= 0 {
		c.lowCount = 0
	}
	outOfService := plan.outOfService()
	for _, step := range plan.Steps {
		status := observed.LimiterStatus[step.Limiter]
		advance := func(to Phase, start uint64) {
			commands = append(commands, Command{Op: OpAdvance, ID: plan.ID, Limiter: step.Limiter, From: step.Phase, To: to, Start: start, Epoch: observed.Epoch})
		}
		call := func(v Verb) { calls = append(calls, Call{v, step.Limiter, step.Start}) }
		if step.Phase == PhaseBack || step.Phase == PhaseWaiting && outOfService >= plan.AtOnce {
			continue
		}
		key := step.Limiter + " " + string(step.Phase)
		entered, known := c.since[key]
		if !known {
			entered = observed.Now
			c.since[key] = entered
		}
		if elapsed := observed.Now - entered; elapsed > phaseTimeout {
			return halt(fmt.Sprintf("%s has been %s for %v", step.Limiter, step.Phase, elapsed.Round(time.Second))), nil, false
		}
		restarted := status.Reached && status.Start != step.Start // the process has ended, for whatever reason
		switch step.Phase {
		case PhaseWaiting:
			outOfService++ // also if it can't be reached: it is out of service
			switch {
			case !status.Reached || !status.Ready || !c.othersReady(plan, observed):
			case step.Limiter == c.self:
				return commands, calls, true
			default:
				advance(PhaseLeaving, status.Start)
			}
		case PhaseLeaving:
			switch {
			case restarted:
				advance(PhaseReturning, 0)
			case status.Reached && status.Draining && (status.InFlight == 0 || observed.Now-entered > drainTimeout) && plan.Kind == KindRestart:
				advance(PhaseEnding, 0)
			case status.Reached && status.Draining && (status.InFlight == 0 || observed.Now-entered > drainTimeout):
				advance(PhaseReturning, 0)
			case status.Reached && !status.Draining:
				call(CallDrain)
			}
		case PhaseEnding:
			if restarted {
				advance(PhaseReturning, 0)
			} else if status.Reached {
				call(CallLeave)
			}
		case PhaseReturning:
			if status.Reached && status.Ready {
				advance(PhaseBack, 0)
			} else if status.Reached && status.Draining && !restarted {
				call(CallResume)
			}
		}
	}
	return commands, calls, false
}

// othersReady reports whether all limiters that the rollout has not taken out accept clients. If one is
// down for another reason, no more are taken out.
func (c *Conductor) othersReady(plan *Plan, observed Observation) bool {
	for name, status := range observed.LimiterStatus {
		i := slices.IndexFunc(plan.Steps, func(s Step) bool { return s.Limiter == name })
		if i >= 0 && plan.Steps[i].Phase != PhaseWaiting && plan.Steps[i].Phase != PhaseBack {
			continue
		}
		if !status.Reached || !status.Ready {
			return false
		}
	}
	return true
}
