package tenure

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestTokens(t *testing.T) {
	want := Token{"watch/room-a", 12}
	if got, err := ParseToken(want.String()); err != nil || got != want {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"", "rollout", "/1", "rollout/", "rollout/0", "rollout/x", "rollout/-1", "rollout/99999999999999999999"} {
		if got, err := ParseToken(bad); err == nil {
			t.Errorf("%q is accepted as %v", bad, got)
		}
	}
}

func TestFence(t *testing.T) {
	f := NewFence(map[string]uint64{"a": 4})
	for _, x := range []struct {
		epoch      uint64
		raised, ok bool
	}{{3, false, false}, {4, false, true}, {6, true, true}, {5, false, false}, {6, false, true}, {0, false, false}} {
		if raised, err := f.Admit(Token{"a", x.epoch}); raised != x.raised || (err == nil) != x.ok {
			t.Errorf("epoch %d: raised %v, %v", x.epoch, raised, err)
		}
	}
	if raised, err := f.Admit(Token{"b", 1}); !raised || err != nil {
		t.Errorf("another duty: %v, %v", raised, err)
	}
}

// Resetting a fleet voids all tokens, including those that its lost majority gave meanwhile.
func TestResetVoidsTokens(t *testing.T) {
	a, b := Process{"a", 1}, Process{"b", 2}
	var lost, reset Registry
	take := func(r *Registry, p Process) uint64 {
		t.Helper()
		x := r.Terms["d"]
		c := Command{Kind: Take, By: p, Duty: "d", Mine: 1}
		if x != nil {
			c.Epoch, c.Serial = x.Epoch, x.Serial
		}
		if err := r.Apply(c); err != nil {
			t.Fatal(err)
		}
		return r.CurrentEpoch("d")
	}
	take(&reset, a)
	for range 1000 { // terms that the survivor never saw
		take(&lost, a)
	}
	reset.Reset(0)
	if reset.Terms["d"].Owned() {
		t.Error("a term continues although the fleet was reset")
	}
	if e := take(&reset, b); e <= lost.CurrentEpoch("d") {
		t.Errorf("epoch %d after the reset, %d before", e, lost.CurrentEpoch("d"))
	}
	if err := reset.Apply(Command{Kind: Renew, By: a, Duty: "d", Epoch: 1, Mine: 2}); err == nil {
		t.Error("a term from before the reset was renewed")
	}
}

// An operator's transfer takes effect: the owner stops before it gives the duty up, and the requested
// limiter takes it before the others.
func TestTransfer(t *testing.T) {
	m := newModel(DefaultSettings(), 5, 1, func(int) float64 { return 1 })
	owner := func() int {
		for i, p := range m.processes {
			if _, ok := p.Owns(m.clock(p), "d"); ok {
				return i
			}
		}
		return -1
	}
	tick := func() {
		m.now += 5 * time.Millisecond
		for _, p := range m.processes {
			m.propose(p, false)
		}
		for _, p := range m.processes {
			m.apply(p, len(m.log))
		}
		m.countOwners()
	}
	for range 100 {
		tick()
	}
	for to := range m.processes {
		m.log = append(m.log, Command{Kind: Transfer, Duty: "d", To: m.limiterNames[to]})
		for range 100 { // half a second
			tick()
		}
		if got := owner(); got != to {
			t.Fatalf("%d owns the duty, %d was requested", got, to)
		}
	}
	// A duty that its owner gives up goes to another limiter, even if the owner would be first in order.
	for range 5 {
		was := owner()
		m.processes[was].Resign("d")
		for range 100 {
			tick()
		}
		if got := owner(); got == was || got < 0 {
			t.Fatalf("%d owns the duty that %d gave up", got, was)
		}
	}
	// Limiters that abstain don't take the duty, however often it is given up; an operator may still request them.
	for _, able := range []int{3, 1} {
		for i, p := range m.processes {
			p.Abstain("d", 0)
			if i != able {
				p.Abstain("d", m.clock(p)+time.Hour)
			}
		}
		m.processes[owner()].Resign("d")
		for range 800 { // the limiter that gave it up waits longer
			tick()
		}
		if got := owner(); got != able {
			t.Fatalf("%d owns the duty, only %d can", got, able)
		}
	}
	m.log = append(m.log, Command{Kind: Transfer, Duty: "d", To: m.limiterNames[0]})
	for range 100 {
		tick()
	}
	if got := owner(); got != 0 {
		t.Fatalf("%d owns the duty, an operator requested 0", got)
	}
	for _, p := range m.processes {
		p.Abstain("d", 0)
	}
	// The fleet waits no longer than a term for a limiter that is gone.
	gone := owner()
	m.log = append(m.log, Command{Kind: Transfer, Duty: "d", To: "n9"})
	for range 600 {
		tick()
	}
	if got := owner(); got < 0 {
		t.Errorf("nobody owns the duty that %d gave up for a limiter that does not exist", gone)
	}
	if m.overlaps > 0 {
		t.Errorf("two owners %d times", m.overlaps)
	}
}

func TestBadSettings(t *testing.T) {
	for _, s := range []Settings{{}, {Term: time.Second, Drift: -1}, {Term: time.Second, Guard: time.Second}} {
		if s.Check() == nil {
			t.Errorf("%+v is accepted", s)
		}
	}
	if err := DefaultSettings().Check(); err != nil {
		t.Error(err)
	}
}

// world is one state of the exhaustive search: two candidates, one duty, time in quarters of a term.
type world struct{ *model }

// key encodes what can still matter of a state: equal keys mean equal states.
func (w world) key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v|", w.now)
	for _, c := range w.log {
		fmt.Fprintf(&b, "%s%s%d.%d.%d,", c.Kind, c.By.Limiter, c.Epoch, c.Serial, c.Mine)
	}
	for _, p := range w.processes {
		s := p.duties[0]
		fmt.Fprintf(&b, "|%d %d %v %v %v %v %v", p.applied, p.lastSerial, s.changedAt, s.nextProposal, s.termEnd, s.resigning, len(s.proposedAt))
	}
	return b.String()
}

// clone copies a state.
func (w world) clone() world {
	m := &model{cfg: w.cfg, now: w.now, log: append([]Command(nil), w.log...), limiterNames: w.limiterNames}
	for _, p := range w.processes {
		q := *p
		c := *p.Candidate
		c.duties = nil
		for _, s := range p.duties {
			d := *s
			d.proposedAt = map[uint64]time.Duration{}
			for k, v := range s.proposedAt {
				d.proposedAt[k] = v
			}
			c.duties = append(c.duties, &d)
		}
		q.Candidate = &c
		q.reg = Registry{}
		for _, x := range m.log[:p.applied] {
			q.reg.Apply(x)
		}
		m.processes = append(m.processes, &q)
	}
	return world{m}
}

// search plays every order of proposals, losses, deliveries and passing time of two candidates to a
// depth. It returns the number of states, and whether both owned the duty in one.
func search(cfg Settings, depth int) (states int, overlap bool) {
	m := newModel(cfg, 2, 0, func(int) float64 { return 1 })
	layer, seen := []world{{m}}, map[string]bool{}
	for range depth {
		var next []world
		for _, w := range layer {
			for act := range 7 {
				v := w.clone()
				p := v.processes[act%2]
				switch act / 2 {
				case 0:
					v.propose(p, false)
				case 1:
					v.propose(p, true)
				case 2:
					if p.applied == len(v.log) && p.duties[0].known {
						continue
					}
					v.apply(p, 1)
				default:
					v.now += cfg.Term / 4
				}
				v.countOwners()
				if v.overlaps > 0 {
					return len(seen), true
				}
				if k := v.key(); !seen[k] {
					seen[k] = true
					next = append(next, v)
				}
			}
		}
		layer = next
	}
	return len(seen), false
}

// No order of events of two candidates leads to two owners; without the wait the search must find one.
func TestOneOwnerExhaustively(t *testing.T) {
	cfg := Settings{Term: 4 * time.Millisecond}
	depth := 10
	if stepBudget() > 2_000_000 {
		depth = 13 // 1,310,680 states, half a minute
	}
	states, overlap := search(cfg, depth)
	if overlap {
		t.Fatal("two owners at once")
	}
	t.Logf("%d states", states)
	cfg.Drift = -1
	if _, overlap := search(cfg, depth); !overlap {
		t.Error("no two owners were found without the wait")
	}
}
