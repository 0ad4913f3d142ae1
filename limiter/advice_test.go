package limiter

import (
	"fmt"
	"testing"
)

// A request that a plug-in refuses is answered at once, with the plug-in's wait up to the longest that clients
// follow. Nothing is sent or spent, and a lease is refunded.
func TestAdviceRefuses(t *testing.T) {
	h := newHarness(t, poolSettings(), ServerInfo{ID: 1, Pool: 7})
	h.submit("a", Submit{Units: 3, Account: 4, Pool: 7, Advice: Advice{Refuse: true, WaitMs: 200}})
	h.submit("b", Submit{Units: 3, Account: 4, Pool: 7, Advice: Advice{Refuse: true, WaitMs: 9000}})
	if h.results["a"] != "refused" || h.waitMs["a"] != 200 || h.waitMs["b"] != 500 || len(h.sent) > 0 {
		t.Errorf("%v after %v, sent %v", h.results, h.waitMs, h.sent)
	}
	if c := h.l.accounts[4]; c.balance != 20 || c.spent != 0 {
		t.Errorf("spent %v, left %v", c.spent, c.balance)
	}
	h.submit("c", Submit{Units: 100, Account: 4, Pool: 7, Advice: Advice{Refuse: true, WaitMs: 10}})
	if h.waitMs["c"] != 500 { // the wait by quota is longer
		t.Errorf("beyond the quota and refused: wait %v", h.waitMs["c"])
	}
	h.handle(Ask{Lease: true, Submit: Submit{ID: "l", ExpiresMs: 900, Units: 3, Account: 4, Spread: 1, Pool: 7}})
	if c := h.l.accounts[4]; c.leased != 3 {
		t.Fatalf("leased %v", c.leased)
	}
	h.submit("d", Submit{Units: 3, Account: 4, Pool: 7, Leased: 3, Advice: Advice{Refuse: true}})
	if c := h.l.accounts[4]; h.results["d"] != "refused" || c.leased != 0 || c.balance != 20 {
		t.Errorf("%v, leased %v, left %v", h.results["d"], c.leased, c.balance)
	}
	h.handle(Ask{Submit: Submit{ID: "e", ExpiresMs: 900, Units: 3, Account: 4, Spread: 1, Pool: 7, Advice: Advice{Refuse: true, WaitMs: 50}}})
	if h.results["e"] != "refused" || h.waitMs["e"] != 50 {
		t.Errorf("an ask: %v after %v", h.results["e"], h.waitMs["e"])
	}
}

// A plug-in can't have a request admitted that the quota refuses.
func TestAdviceAdmitsNothing(t *testing.T) {
	h := newHarness(t, poolSettings(), ServerInfo{ID: 1, Pool: 7})
	for i := range 40 {
		h.now++
		id := fmt.Sprint("r", i)
		h.submit(id, Submit{Units: 1, Account: 4, Pool: 7, Advice: Advice{Factor: 10, Prefer: 1}})
		if len(h.sent[id]) > 0 {
			h.outcome(id, Pass)
		} else if h.results[id] != "refused" {
			t.Fatal(id, h.results[id])
		}
	}
	if n := len(h.sent); n != 20 {
		t.Errorf("%d units of a burst of 20 were admitted", n)
	}
}

// Under pressure the plug-in's factor changes how long a request may wait, within the bounds of the worth ratio;
// without pressure it has no effect.
func TestAdviceWeighs(t *testing.T) {
	h := newHarness(t, poolSettings(), ServerInfo{ID: 1, Pool: 7})
	p := h.l.poolOf(7)
	setWaitFactor := func(pressure, factor float64) float64 {
		p.pressure, p.worth, p.weighted = pressure, 1, 1e9
		r := &request{class: 0, units: 1, account: &account{}, pool: p, advice: Advice{Factor: factor}}
		h.l.setWaitFactor(r)
		return r.factor
	}
	for _, c := range []struct{ pressure, factor, want float64 }{
		{0, 10, 1}, {0, 0.1, 1}, {0.5, 0, 1}, {0.5, 1, 1}, {0.5, 2, 2}, {0.5, 0.5, 0.5},
		{0.5, 10, maxWorthRatio}, {0.5, 1e308, maxWorthRatio}, {0.5, 0.001, minWorthRatio}, {0.5, -4, 1}, {0.25, 2, 1.5},
	} {
		p.typicalMs[0] = 1
		if got := setWaitFactor(c.pressure, c.factor); got < c.want-1e-6 || got > c.want+1e-6 {
			t.Errorf("pressure %v, factor %v: %v, want %v", c.pressure, c.factor, got, c.want)
		}
	}
}

// A preferred tier is tried first while it is healthy, an avoided one last, and neither advice has a request
// refused that would be admitted without it.
func TestAdviceOnTiers(t *testing.T) {
	h := newTieredHarness(t)
	n := 0
	at := func(a Advice) uint64 {
		n++
		h.now += 20
		h.handle(Alarm{Handle: "tick"})
		id := fmt.Sprint("t", n)
		h.submit(id, Submit{Units: 1, Account: 1, Pool: 7, Advice: a})
		if len(h.sent[id]) == 0 {
			return 0
		}
		defer h.outcome(id, Pass)
		return h.sent[id][0]
	}
	first := func(s uint64) bool { return s >= 1 && s <= 3 }
	second := func(s uint64) bool { return s >= 4 }
	for range 50 {
		if !first(at(Advice{})) || !second(at(Advice{Prefer: 2})) || !second(at(Advice{Avoid: 1})) || !first(at(Advice{Prefer: 1})) ||
			!first(at(Advice{Prefer: 2, Avoid: 2})) || !first(at(Advice{Avoid: 3})) || !first(at(Advice{Prefer: 99, Avoid: 1 << 31})) {
			t.Fatal("advice on tiers is not followed")
		}
	}
	h.sendThroughTiers(200, func(s uint64) Result { // the second tier fails
		if s >= 4 {
			return NoRoute
		}
		return Pass
	})
	for range 30 {
		at(Advice{Prefer: 2}) // detects the failure
	}
	for k := uint64(4); k <= 6; k++ {
		h.l.serversByID[k].down = true
	}
	h.handle(Alarm{Handle: "tick"})
	for range 30 {
		if s := at(Advice{Prefer: 2}); !first(s) {
			t.Fatalf("sent to %d although the preferred tier is lost", s)
		}
		if s := at(Advice{Avoid: 1}); !first(s) {
			t.Fatalf("sent to %d although only the avoided tier is left", s)
		}
	}
}

// The balance and the pressure that plug-ins get.
func TestGlance(t *testing.T) {
	h := newHarness(t, poolSettings(), ServerInfo{ID: 1, Pool: 7})
	if b, p := h.l.Glance(h.now, 4, 0, 7); b != 20 || p != 0 {
		t.Errorf("unknown: %v, %v", b, p)
	}
	h.submit("a", Submit{Units: 12, Account: 4, Pool: 7})
	h.l.poolOf(7).pressure = 0.25
	if b, p := h.l.Glance(h.now+500, 4, 0, 7); b != 13 || p != 0.25 {
		t.Errorf("12 of 20 spent half a second ago: %v, %v", b, p)
	}
	if b, _ := h.l.Glance(h.now, 4, 77, 9); b != 0 || h.l.pools[9] != nil {
		t.Errorf("an unknown plan and pool: %v, %v", b, h.l.pools[9])
	}
}
