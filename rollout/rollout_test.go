package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// site is a fleet that obeys calls: what it did is the judge.
type site struct {
	t      testing.TB
	r      *rand.Rand
	now    time.Duration
	book   Book
	epoch  uint64
	names  []string
	seen   map[string]*Seen
	back   map[string]time.Duration // when a process that has ended is up again
	ended  map[string]int           // processes ended by calls
	most   int                      // limiters out at once
	served float64
	keep   bool // a broken build: a call is obeyed whichever process it means
}

func newSite(t testing.TB, seed uint64, n int, kind Kind, atOnce int) *site {
	s := &site{t: t, r: rand.New(rand.NewPCG(seed, 1)), epoch: 1, seen: map[string]*Seen{}, back: map[string]time.Duration{}, ended: map[string]int{}, served: 1}
	p := &Plan{ID: "r1", Kind: kind, AtOnce: atOnce, Fall: 0.1}
	for i := range n {
		name := fmt.Sprint("n", i)
		s.names = append(s.names, name)
		s.seen[name] = &Seen{Reached: true, Ready: true, Start: s.r.Uint64(), InHand: s.r.IntN(3)}
		p.Steps = append(p.Steps, Step{Limiter: name, Phase: Waiting})
	}
	if err := s.book.Apply(Command{Op: Begin, Plan: p}, 0); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *site) look() Look {
	l := Look{Now: s.now, Epoch: s.epoch, Seen: map[string]Seen{}, Served: s.served}
	for n, x := range s.seen {
		l.Seen[n] = *x
	}
	return l
}

// obey has a limiter carry out a call.
func (s *site) obey(c Call) {
	x := s.seen[c.Limiter]
	if !x.Reached || x.Start != c.Start && !s.keep {
		return
	}
	switch c.Verb {
	case CallDrain:
		x.Draining, x.Ready = true, false
	case CallResume:
		x.Draining, x.Ready = false, true
	case CallLeave:
		s.ended[c.Limiter]++
		*x = Seen{}
		s.back[c.Limiter] = s.now + time.Duration(s.r.IntN(3000))*time.Millisecond
	}
}

func (s *site) pass(by time.Duration) {
	s.now += by
	out := 0
	for _, n := range s.names {
		x := s.seen[n]
		if at, ok := s.back[n]; ok && s.now >= at {
			delete(s.back, n)
			*x = Seen{Reached: true, Ready: true, Start: s.r.Uint64()}
		}
		if x.Draining && s.r.IntN(3) == 0 {
			x.InHand = 0
		}
		if !x.Ready {
			out++
		}
	}
	s.most = max(s.most, out)
}

// play has conductors carry the rollout out; each is gone, or stopped and late, after a few steps.
func (s *site) play(limit time.Duration) {
	var late []Call // of conductors that were stopped before their call
	for s.book.Current() != nil && s.now < limit {
		s.epoch++
		me := s.names[s.r.IntN(len(s.names))]
		c := NewConductor(me)
		for range 1 + s.r.IntN(12) {
			notes, calls, resign := c.Next(s.book.Current(), s.look())
			if resign {
				break
			}
			for _, n := range notes {
				s.book.Apply(n, s.epoch)
				if s.r.IntN(10) == 0 {
					break // it dies between two notes
				}
			}
			for _, call := range calls {
				if s.r.IntN(10) == 0 {
					late = append(late, call)
					continue
				}
				s.obey(call)
			}
			if s.keep && len(late) > 0 && s.r.IntN(4) == 0 {
				s.obey(late[0]) // without the token's check
				late = late[1:]
			}
			s.pass(200 * time.Millisecond)
		}
	}
}

// Whatever happens to conductors, each limiter is taken out once and never more at once than wanted.
func TestEachLimiterOnce(t *testing.T) {
	for seed := range uint64(300) {
		kind, n := Restart, 3+int(seed%5)
		if seed%3 == 0 {
			kind = Drain
		}
		s := newSite(t, seed, n, kind, 1+int(seed%2))
		s.play(20 * time.Minute)
		if p := s.book.Plans[0]; p.State != Done {
			t.Fatalf("seed %d: %s, %s: %+v", seed, p.State, p.Why, p.Steps)
		}
		if s.most > 1+int(seed%2) {
			t.Fatalf("seed %d: %d limiters were out at once", seed, s.most)
		}
		for _, name := range s.names {
			if want := map[Kind]int{Restart: 1}[kind]; s.ended[name] != want {
				t.Fatalf("seed %d: %s was ended %d times", seed, name, s.ended[name])
			}
		}
	}
}

// Limiters that obey late calls, and those that mean a process before them, are ended
// twice: the test above would find it.
func TestCallsForAnotherProcessDoHarm(t *testing.T) {
	for seed := range uint64(300) {
		s := newSite(t, seed, 4, Restart, 1)
		s.keep = true
		s.play(20 * time.Minute)
		for _, n := range s.ended {
			if n > 1 || s.most > 1 {
				return
			}
		}
	}
	t.Error("nothing was ended twice although calls were obeyed late")
}

func TestHalts(t *testing.T) {
	until := func(s *site, c *Conductor, limit time.Duration) *Plan {
		for s.book.Current() != nil && s.book.Current().State == Running && s.now < limit {
			notes, calls, resign := c.Next(s.book.Current(), s.look())
			for _, n := range notes {
				s.book.Apply(n, s.epoch)
			}
			for _, call := range calls {
				s.obey(call)
			}
			if resign {
				break
			}
			s.pass(200 * time.Millisecond)
		}
		return s.book.Plans[0]
	}
	s := newSite(t, 1, 4, Restart, 1)
	c := NewConductor("n3")
	s.pass(0)
	for range 8 {
		notes, calls, _ := c.Next(s.book.Current(), s.look())
		for _, n := range notes {
			s.book.Apply(n, s.epoch)
		}
		for _, call := range calls {
			s.obey(call)
		}
		s.pass(200 * time.Millisecond)
	}
	s.served = 0.8
	if p := until(s, c, time.Minute); p.State != Halted || !strings.Contains(p.Why, "service fell from 1.000 to 0.800") {
		t.Errorf("with less service: %s, %q", p.State, p.Why)
	}
	if err := s.book.Apply(Command{Op: GoOn, ID: "r1"}, s.epoch); err != nil {
		t.Fatal(err)
	}
	if p := until(s, c, 10*time.Minute); p.State != Running || p.Steps[2].Phase != Back || p.Steps[3].Phase != Waiting {
		t.Errorf("gone on with, to the conductor itself: %s, %s, %+v", p.State, p.Why, p.Steps)
	}
	// A limiter that does not come back.
	s = newSite(t, 2, 3, Restart, 1)
	c = NewConductor("n2")
	for s.ended["n0"] == 0 && s.now < time.Minute {
		until(s, c, s.now+1)
	}
	delete(s.back, "n0")
	if p := until(s, c, 10*time.Minute); p.State != Halted || !strings.Contains(p.Why, "n0 has been ending") {
		t.Errorf("with a limiter that is gone: %s, %q", p.State, p.Why)
	}
	if s.ended["n1"] > 0 {
		t.Error("the next one was taken out while the first had not come back")
	}
}

func TestBadCommands(t *testing.T) {
	steps := []Step{{Limiter: "a", Phase: Waiting}, {Limiter: "b", Phase: Waiting}}
	for _, p := range []*Plan{nil, {}, {ID: "x", Kind: "burn", AtOnce: 1, Fall: 1, Steps: steps}, {ID: "x", Kind: Drain, AtOnce: 2, Fall: 1, Steps: steps},
		{ID: "x", Kind: Drain, AtOnce: 1, Steps: steps}, {ID: "x", Kind: Drain, AtOnce: 1, Fall: 0.1}, {ID: "x", Kind: Drain, AtOnce: 1, Fall: 0.1, Steps: append(steps, steps[0])}} {
		var b Book
		if b.Apply(Command{Op: Begin, Plan: p}, 0) == nil {
			t.Errorf("%+v is taken", p)
		}
	}
	var b Book
	if b.Apply(Command{Op: Halt}, 0) == nil {
		t.Error("a rollout that is not there was halted")
	}
	b.Apply(Command{Op: Begin, Plan: &Plan{ID: "x", Kind: Drain, AtOnce: 1, Fall: 0.1, Steps: steps}}, 0)
	for _, c := range []Command{{Op: Begin, Plan: &Plan{ID: "y", Kind: Drain, AtOnce: 1, Fall: 0.1, Steps: steps}}, {Op: Note, Limiter: "a", From: Waiting, To: Leaving, Epoch: 4},
		{Op: Note, Limiter: "a", From: Waiting, To: Leaving}, {Op: Note, Limiter: "a", From: Leaving, To: Back, Epoch: 5}, {Op: Halt, ID: "y"}, {Op: "jump"}} {
		if b.Apply(c, 5) == nil {
			t.Errorf("%+v is taken", c)
		}
	}
	if err := b.Apply(Command{Op: Note, Limiter: "a", From: Waiting, To: Leaving, Epoch: 5}, 5); err != nil {
		t.Error(err)
	}
	if b.Apply(Command{Op: Note, Limiter: "b", From: Waiting, To: Leaving, Epoch: 5}, 5) == nil {
		t.Error("two are out where one may be")
	}
}
