package limiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
)

// trainedLimiter returns a limiter that has learned of a slow server, one that fails a class and one that is down.
func trainedLimiter(t *testing.T) *harness {
	h := newHarness(t, poolSettings(), ServerInfo{ID: 1, Pool: 7, ReadyAt: 50}, ServerInfo{ID: 2, Pool: 7}, ServerInfo{ID: 3, Pool: 7}, ServerInfo{ID: 4, Pool: 7})
	h.l.cfg.Plans[0].Rate, h.l.cfg.Plans[0].Burst = 1e6, 1e6
	for i := range 400 {
		h.now += 5
		id := fmt.Sprint("r", i)
		h.submit(id, Submit{Units: 1, Account: 1, Pool: 7, Class: i % 2})
		for h.results[id] == "" && len(h.sent[id]) > 0 {
			try := len(h.sent[id]) - 1
			server := h.sent[id][try]
			e := Outcome{ID: id, Try: try, Server: server, Result: Pass, SpentMs: 20, Done: true, Load: Load{-1, -1, -1}}
			switch {
			case server == 1:
				e.SpentMs = 80
			case server == 2 && i%2 == 1 && i > 300:
				e.Result, e.Done = Fault, false
			case server == 4:
				e.Result, e.Done = NoRoute, false
			}
			h.handle(e)
			if e.Done {
				break
			}
		}
	}
	return h
}

// A successor uses what its predecessor has learned from its first decision on.
func TestRecall(t *testing.T) {
	h := trainedLimiter(t)
	m := h.l.Remember(h.now)
	again := h.l.Remember(h.now)
	if !reflect.DeepEqual(m, again) {
		t.Error("Remember changes the state")
	}
	if len(m.Boxes) != 4 || len(m.Pools) == 0 || !m.Boxes[3].Down || m.Boxes[1].Ills[1].LeftMs <= 0 || m.Boxes[0].Spent/m.Boxes[0].Had < 2 {
		t.Fatalf("%+v", m)
	}
	next := newHarness(t, poolSettings(), ServerInfo{ID: 1, Pool: 7, ReadyAt: 50}, ServerInfo{ID: 2, Pool: 7}, ServerInfo{ID: 3, Pool: 7}, ServerInfo{ID: 4, Pool: 7})
	next.now = 9e6 // of another clock
	next.l.cfg.Plans[0].Rate, next.l.cfg.Plans[0].Burst = 1e6, 1e6
	next.handle(Recall{Memory: m})
	old, now := h.l.serversByID, next.l.serversByID
	if p, q := h.l.pools[7], next.l.pools[7]; !reflect.DeepEqual(p.typicalMs, q.typicalMs) || p.loadFit != q.loadFit || p.worth != q.worth {
		t.Errorf("%v %v, %v %v", p.typicalMs, q.typicalMs, p.loadFit, q.loadFit)
	}
	if a, b := old[1].slowness(h.now), now[1].slowness(next.now); math.Abs(a-b) > 1e-6 || b < 1.5 {
		t.Errorf("slowness of a slow server: %v, then %v", a, b)
	}
	for i := range 30 {
		id := fmt.Sprint("n", i)
		next.submit(id, Submit{Units: 1, Account: 1, Pool: 7, Class: 1})
		if s := next.sent[id]; len(s) != 1 || s[0] != 3 && s[0] != 1 {
			t.Fatalf("sent to %v although 2 fails this class and 4 is down", s)
		}
		next.outcome(id, Pass)
	}
	// The memory does not apply to another process at the same address nor to an unlisted server.
	next = newHarness(t, poolSettings(), ServerInfo{ID: 1, Pool: 7, ReadyAt: 60}, ServerInfo{ID: 5, Pool: 7})
	next.handle(Recall{Memory: m})
	if s := next.l.serversByID[1]; s.slownessCount != 0 || s.down || len(next.l.serversByID) != 2 {
		t.Errorf("another process: %+v, %d servers", s, len(next.l.serversByID))
	}
	// What a limiter has learned itself takes precedence.
	before := h.l.Remember(h.now)
	h.handle(Recall{Memory: &Memory{Usual: []UsualMemory{{1, 100}, {1, 100}, {}}, Pools: []PoolMemory{{ID: 7, Work: []WorkMemory{{1, 9}, {1, 9}, {1, 9}}}},
		Boxes: []BoxMemory{{ID: 2, Spent: 50, Had: 1, Ills: make([]IllMemory, 3)}}}})
	if !reflect.DeepEqual(before, h.l.Remember(h.now)) {
		t.Error("a memory replaced what the limiter has learned itself")
	}
	h.handle(Recall{})
}

// randomMemory returns a memory with impossible figures.
func randomMemory(r *rand.Rand, classes int) *Memory {
	values := []float64{0, 1, -1, 200, 1e300, -1e300, 1e-300, math.NaN(), math.Inf(1), math.Inf(-1), 50, 3}
	pick := func() float64 { return values[r.IntN(len(values))] }
	m := &Memory{}
	n := classes + r.IntN(3)/2
	for range n {
		m.Usual = append(m.Usual, UsualMemory{pick(), pick()})
	}
	for id := range uint64(3) {
		p := PoolMemory{ID: id, Fit: [5]float64{pick(), pick(), pick(), pick(), pick()}, Worth: pick(), Weight: pick()}
		for range n {
			p.Work = append(p.Work, WorkMemory{pick(), pick()})
		}
		m.Pools = append(m.Pools, p)
	}
	for id := range uint64(10) {
		b := BoxMemory{ID: id, Spent: pick(), Had: pick(), Down: r.IntN(2) == 0}
		for range n {
			b.Ills = append(b.Ills, IllMemory{pick(), pick()})
		}
		m.Boxes = append(m.Boxes, b)
	}
	return m
}

// Whatever a memory contains, expected times stay finite and the limiter works normally after a few answers.
func TestRecallOfNonsense(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	for range 3000 {
		h := newHarness(t, poolSettings(), ServerInfo{ID: 1, Pool: 1}, ServerInfo{ID: 2, Pool: 1})
		h.handle(Recall{Memory: randomMemory(r, 3)})
		p := h.l.poolOf(1)
		for _, s := range p.servers {
			for class := range 3 {
				if x := h.l.expectedMs(h.now, s, class); !(x > 0) || math.IsInf(x, 0) {
					t.Fatalf("expected time of an answer is %v ms: %+v %+v", x, p, s)
				}
			}
			if s.ejections[0].until > h.now+ejectionMs {
				t.Fatalf("ejected for %v ms", s.ejections[0].until-h.now)
			}
		}
		for i := range 40 { // it recovers after some answers
			h.now += 300
			h.handle(Alarm{Handle: "tick"})
			for id := range uint64(2) {
				h.handle(Probed{Server: id + 1, Result: Pass})
			}
			id := fmt.Sprint("r", i)
			h.submit(id, Submit{Units: 1, Account: uint64(i), Pool: 1})
			if len(h.sent[id]) > 0 {
				h.outcome(id, Pass)
			}
		}
		if len(h.sent["r39"]) == 0 {
			t.Fatalf("still refused after 12 s: %+v", p)
		}
	}
}

// completeHandover ends a limiter and returns its memory with all accounts, fetched two at a time.
func completeHandover(l *Limiter, now float64) *Memory {
	m := l.HandOver(now)
	for more := true; more; {
		var entries []AccountMemory
		entries, more = l.Leave(now, 2)
		m.Handover.Accounts = append(m.Handover.Accounts, entries...)
	}
	return m
}

// restart ends a limiter and starts its successor down ms later; change, if set, alters the handover.
func restart(t *testing.T, h *harness, s Settings, down float64, change func(*Handover)) *harness {
	m := completeHandover(h.l, h.now)
	m.Handover.DownMs = down
	if change != nil {
		change(m.Handover)
	}
	next := newHarness(t, s, ServerInfo{ID: 1})
	next.handle(Recall{Memory: m})
	return next
}

// countPassed returns how many units of an account are admitted at once.
func (h *harness) countPassed(account uint64, plan int) (n int) {
	for i := range 60 {
		id := fmt.Sprint("p", account, "-", i, "-", h.now)
		h.submit(id, Submit{Units: 1, Account: account, Plan: plan})
		if len(h.sent[id]) > 0 {
			h.outcome(id, Pass)
			n++
		}
	}
	return n
}

// A successor continues with what was left of a part of a ceiling, which is never available twice: neither after a
// start without a handover, nor by a handover of another position, number of limiters or plan.
func TestHandover(t *testing.T) {
	s := poolSettings()
	s.Plans[1].Rate, s.Plans[1].Burst = 1e6, 1e6 // only the ceiling matters: 8 per second, burst 16
	begin := func() *harness {
		h := newHarness(t, s, ServerInfo{ID: 1})
		h.now += 60_000
		if n := h.countPassed(5, 1); n != 16 {
			t.Fatalf("%d units of a full ceiling of 16", n)
		}
		h.now += 500 // 4 units more
		return h
	}
	plain := newHarness(t, s, ServerInfo{ID: 1})
	if n := plain.countPassed(5, 1); n != 0 {
		t.Errorf("a new limiter admits %d units of a ceiling", n)
	}
	for name, c := range map[string]struct {
		down         float64
		change       func(*Handover)
		spent, fresh int // of the account that had spent all, and of a new one
	}{
		"at once":                    {0, nil, 4, 16},
		"after a second":             {1000, nil, 12, 16},
		"after an hour":              {3.6e6, nil, 16, 16},
		"another position":           {1000, func(h *Handover) { h.Position = 1 }, 0, 0},
		"another number of limiters": {1000, func(h *Handover) { h.Balancers = 3 }, 0, 0},
		"another plan":               {1000, func(h *Handover) { h.Plans[1].CeilingRate = 9 }, 0, 0},
		"an invalid time":            {1000, func(h *Handover) { h.DownMs = math.NaN() }, 0, 0},
		"an invalid share":           {1000, func(h *Handover) { h.Accounts[0].Share = math.NaN() }, 0, 16},
		"a share too large":          {1000, func(h *Handover) { h.Accounts[0].Share = 1e9 }, 16, 16},
		"other limiters":             {1000, func(h *Handover) { h.Accounts[0].Spread = 2 }, 0, 16},
	} {
		next := restart(t, begin(), s, c.down, c.change)
		if n, m := next.countPassed(5, 1), next.countPassed(6, 1); n != c.spent || m != c.fresh {
			t.Errorf("%s: %d and %d units, want %d and %d", name, n, m, c.spent, c.fresh)
		}
	}
	// Three handovers in a row pass the balance on; a new configuration discards it.
	h := begin()
	for range 3 {
		h = restart(t, h, s, 100, nil)
	}
	if n := h.countPassed(5, 1); n != 6 {
		t.Errorf("%d units after three handovers in 300 ms, want 6", n)
	}
	h = restart(t, begin(), s, 1000, nil)
	h.handle(Reconfigure{Settings: s, Classes: []int{0, 1, 2}, Plans: []int{0, 1}})
	if n := h.countPassed(5, 1); n != 0 {
		t.Errorf("%d units after a new configuration", n)
	}
	h = restart(t, begin(), s, 1000, nil)
	for range 200 {
		h.now += 100
		h.handle(Alarm{Handle: "tick"})
	}
	if h.l.inherited != nil {
		t.Errorf("%d inherited accounts never expire", len(h.l.inherited))
	}
}
