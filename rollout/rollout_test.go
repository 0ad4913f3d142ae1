package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// fleet simulates limiters that carry out calls, and counts the effects.
type fleet struct {
	t            testing.TB
	random       *rand.Rand
	now          time.Duration
	history      History
	epoch        uint64
	limiters     []string
	statuses     map[string]*LimiterStatus
	restartAt    map[string]time.Duration // when the limiter is up again after its process has ended
	exits        map[string]int           // number of processes ended by calls
	maxOut       int                      // most limiters out of service at once
	servedShare  float64
	ignoresStart bool // deliberate fault: calls are carried out whichever process they are for
}

func newFleet(t testing.TB, seed uint64, n int, kind Kind, atOnce int) *fleet {
	s := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), epoch: 1, statuses: map[string]*LimiterStatus{}, restartAt: map[string]time.Duration{}, exits: map[string]int{}, servedShare: 1}
	p := &Plan{ID: "r1", Kind: kind, AtOnce: atOnce, Fall: 0.1}
	for i := range n {
		name := fmt.Sprint("n", i)
		s.limiters = append(s.limiters, name)
		s.statuses[name] = &LimiterStatus{Reached: true, Ready: true, Start: s.random.Uint64(), InFlight: s.random.IntN(3)}
		p.Steps = append(p.Steps, Step{Limiter: name, Phase: PhaseWaiting})
	}
	if err := s.history.Apply(Command{Op: OpBegin, Plan: p}, 0); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *fleet) observe() Observation {
	l := Observation{Now: s.now, Epoch: s.epoch, LimiterStatus: map[string]LimiterStatus{}, ServedShare: s.servedShare}
	for n, x := range s.statuses {
		l.LimiterStatus[n] = *x
	}
	return l
}

// carryOut has a limiter carry out a call.
func (s *fleet) carryOut(c Call) {
	x := s.statuses[c.Limiter]
	if !x.Reached || x.Start != c.Start && !s.ignoresStart {
		return
	}
	switch c.Verb {
	case CallDrain:
		x.Draining, x.Ready = true, false
	case CallResume:
		x.Draining, x.Ready = false, true
	case CallLeave:
		s.exits[c.Limiter]++
		*x = LimiterStatus{}
		s.restartAt[c.Limiter] = s.now + time.Duration(s.random.IntN(3000))*time.Millisecond
	}
}

func (s *fleet) advance(by time.Duration) {
	s.now += by
	out := 0
	for _, n := range s.limiters {
		x := s.statuses[n]
		if at, ok := s.restartAt[n]; ok && s.now >= at {
			delete(s.restartAt, n)
			*x = LimiterStatus{Reached: true, Ready: true, Start: s.random.Uint64()}
		}
		if x.Draining && s.random.IntN(3) == 0 {
			x.InFlight = 0
		}
		if !x.Ready {
			out++
		}
	}
	s.maxOut = max(s.maxOut, out)
}

// run has conductors carry out the rollout; each is lost, or paused and late, after a few steps.
func (s *fleet) run(limit time.Duration) {
	var late []Call // from conductors that were paused before their call
	for s.history.Current() != nil && s.now < limit {
		s.epoch++
		me := s.limiters[s.random.IntN(len(s.limiters))]
		c := NewConductor(me)
		for range 1 + s.random.IntN(12) {
			notes, calls, resign := c.Next(s.history.Current(), s.observe())
			if resign {
				break
			}
			for _, n := range notes {
				s.history.Apply(n, s.epoch)
				if s.random.IntN(10) == 0 {
					break // the conductor dies between two commands
				}
			}
			for _, call := range calls {
				if s.random.IntN(10) == 0 {
					late = append(late, call)
					continue
				}
				s.carryOut(call)
			}
			if s.ignoresStart && len(late) > 0 && s.random.IntN(4) == 0 {
				s.carryOut(late[0]) // as if the token was not checked
				late = late[1:]
			}
			s.advance(200 * time.Millisecond)
		}
	}
}

// Whatever happens to conductors, each limiter is taken out once, and never too many at once.
func TestEachLimiterOnce(t *testing.T) {
	for seed := range uint64(300) {
		kind, n := KindRestart, 3+int(seed%5)
		if seed%3 == 0 {
			kind = KindDrain
		}
		s := newFleet(t, seed, n, kind, 1+int(seed%2))
		s.run(20 * time.Minute)
		if p := s.history.Plans[0]; p.State != StateDone {
			t.Fatalf("seed %d: %s, %s: %+v", seed, p.State, p.Why, p.Steps)
		}
		if s.maxOut > 1+int(seed%2) {
			t.Fatalf("seed %d: %d limiters were out of service at once", seed, s.maxOut)
		}
		for _, name := range s.limiters {
			if want := map[Kind]int{KindRestart: 1}[kind]; s.exits[name] != want {
				t.Fatalf("seed %d: %s was restarted %d times", seed, name, s.exits[name])
			}
		}
	}
}

// Limiters that carry out late calls, or calls for a previous process, are restarted twice: the test
// above must be able to find that.
func TestCallsForAnotherProcessDoHarm(t *testing.T) {
	for seed := range uint64(300) {
		s := newFleet(t, seed, 4, KindRestart, 1)
		s.ignoresStart = true
		s.run(20 * time.Minute)
		for _, n := range s.exits {
			if n > 1 || s.maxOut > 1 {
				return
			}
		}
	}
	t.Error("no limiter was restarted twice although late calls were carried out")
}

func TestHalts(t *testing.T) {
	runUntil := func(s *fleet, c *Conductor, limit time.Duration) *Plan {
		for s.history.Current() != nil && s.history.Current().State == StateRunning && s.now < limit {
			notes, calls, resign := c.Next(s.history.Current(), s.observe())
			for _, n := range notes {
				s.history.Apply(n, s.epoch)
			}
			for _, call := range calls {
				s.carryOut(call)
			}
			if resign {
				break
			}
			s.advance(200 * time.Millisecond)
		}
		return s.history.Plans[0]
	}
	s := newFleet(t, 1, 4, KindRestart, 1)
	c := NewConductor("n3")
	s.advance(0)
	for range 8 {
		notes, calls, _ := c.Next(s.history.Current(), s.observe())
		for _, n := range notes {
			s.history.Apply(n, s.epoch)
		}
		for _, call := range calls {
			s.carryOut(call)
		}
		s.advance(200 * time.Millisecond)
	}
	s.servedShare = 0.8
	if p := runUntil(s, c, time.Minute); p.State != StateHalted || !strings.Contains(p.Why, "service fell from 1.000 to 0.800") {
		t.Errorf("with a lower share of served requests: %s, %q", p.State, p.Why)
	}
	if err := s.history.Apply(Command{Op: OpContinue, ID: "r1"}, s.epoch); err != nil {
		t.Fatal(err)
	}
	if p := runUntil(s, c, 10*time.Minute); p.State != StateRunning || p.Steps[2].Phase != PhaseBack || p.Steps[3].Phase != PhaseWaiting {
		t.Errorf("continued up to the conductor's own limiter: %s, %s, %+v", p.State, p.Why, p.Steps)
	}
	// A limiter that does not return.
	s = newFleet(t, 2, 3, KindRestart, 1)
	c = NewConductor("n2")
	for s.exits["n0"] == 0 && s.now < time.Minute {
		runUntil(s, c, s.now+1)
	}
	delete(s.restartAt, "n0")
	if p := runUntil(s, c, 10*time.Minute); p.State != StateHalted || !strings.Contains(p.Why, "n0 has been ending") {
		t.Errorf("with a limiter that does not return: %s, %q", p.State, p.Why)
	}
	if s.exits["n1"] > 0 {
		t.Error("the next limiter was taken out before the first had returned")
	}
}

func TestBadCommands(t *testing.T) {
	steps := []Step{{Limiter: "a", Phase: PhaseWaiting}, {Limiter: "b", Phase: PhaseWaiting}}
	for _, p := range []*Plan{nil, {}, {ID: "x", Kind: "burn", AtOnce: 1, Fall: 1, Steps: steps}, {ID: "x", Kind: KindDrain, AtOnce: 2, Fall: 1, Steps: steps},
		{ID: "x", Kind: KindDrain, AtOnce: 1, Steps: steps}, {ID: "x", Kind: KindDrain, AtOnce: 1, Fall: 0.1}, {ID: "x", Kind: KindDrain, AtOnce: 1, Fall: 0.1, Steps: append(steps, steps[0])}} {
		var b History
		if b.Apply(Command{Op: OpBegin, Plan: p}, 0) == nil {
			t.Errorf("%+v is accepted", p)
		}
	}
	var b History
	if b.Apply(Command{Op: OpHalt}, 0) == nil {
		t.Error("a rollout that does not exist was halted")
	}
	b.Apply(Command{Op: OpBegin, Plan: &Plan{ID: "x", Kind: KindDrain, AtOnce: 1, Fall: 0.1, Steps: steps}}, 0)
	for _, c := range []Command{{Op: OpBegin, Plan: &Plan{ID: "y", Kind: KindDrain, AtOnce: 1, Fall: 0.1, Steps: steps}}, {Op: OpAdvance, Limiter: "a", From: PhaseWaiting, To: PhaseLeaving, Epoch: 4},
		{Op: OpAdvance, Limiter: "a", From: PhaseWaiting, To: PhaseLeaving}, {Op: OpAdvance, Limiter: "a", From: PhaseLeaving, To: PhaseBack, Epoch: 5}, {Op: OpHalt, ID: "y"}, {Op: "jump"}} {
		if b.Apply(c, 5) == nil {
			t.Errorf("%+v is accepted", c)
		}
	}
	if err := b.Apply(Command{Op: OpAdvance, Limiter: "a", From: PhaseWaiting, To: PhaseLeaving, Epoch: 5}, 5); err != nil {
		t.Error(err)
	}
	if b.Apply(Command{Op: OpAdvance, Limiter: "b", From: PhaseWaiting, To: PhaseLeaving, Epoch: 5}, 5) == nil {
		t.Error("two limiters are out of service where one may be")
	}
}
