package limiter

import (
	"reflect"
	"testing"
)

// Regards reports each state of a server and changes nothing.
func TestRegards(t *testing.T) {
	h := trainedLimiter(t)
	h.handle(Endpoints{Scope: Partial, Servers: []ServerInfo{{ID: 5, Pool: 7, ReadyAt: h.now - 1}, {ID: 6, Pool: 7, Phase: Draining}}})
	h.l.cfg.Rules = Rules{ColdShare: 0.2, ColdMs: 10_000, OverloadFactor: 3, FallMs: 1500}
	h.l.serversByID[5].coldCredit = 0
	h.l.serversByID[1].fullUntil = h.now + fullBackoffMs
	before := h.l.Remember(h.now)
	for _, c := range []struct {
		server uint64
		class  int
		want   Availability
	}{{1, 0, Full}, {2, 0, Usable}, {2, 1, Ejected}, {3, 1, Usable}, {4, 0, MarkedDown}, {5, 0, WarmingUp}, {6, 0, Unlisted}, {9, 0, Unlisted}} {
		if got := h.l.Regards(h.now, c.server, c.class); got != c.want {
			t.Errorf("server %d, class %d: %v, want %v", c.server, c.class, got, c.want)
		}
	}
	s := h.l.serversByID[3]
	s.inflight, s.silentSince = 1, h.now-1e6
	if got := h.l.Regards(h.now, 3, 0); got != Unresponsive {
		t.Errorf("a server that has owed an answer for long: %v", got)
	}
	s.inflight = 0
	if !reflect.DeepEqual(before, h.l.Remember(h.now)) {
		t.Error("Regards changes the state")
	}
}

// refusalReason submits a request and returns the reason of its refusal, or -1 if it is not refused.
func (h *harness) refusalReason(e Submit) Reason {
	e.ExpiresMs = max(e.ExpiresMs, 0)
	for _, a := range h.l.Handle(h.now, e) {
		if r, ok := a.(Refuse); ok {
			return r.Why
		}
	}
	return -1
}

// Refusals have the right reason.
func TestReasons(t *testing.T) {
	s := poolSettings()
	h := newHarness(t, s, ServerInfo{ID: 1})
	ask := Submit{ID: "a", ExpiresMs: 900, Units: 1, Account: 1, Plan: 1}
	if got := h.refusalReason(ask); got != CeilingShort { // a limiter that starts has none of the ceiling
		t.Errorf("at the start: %v", got)
	}
	h.now += 60_000
	for name, c := range map[string]struct {
		change func(*Submit)
		want   Reason
	}{
		"more than the quota":    {func(e *Submit) { e.Units = 1e7 }, QuotaShort},
		"refused by plug-ins":    {func(e *Submit) { e.Advice.Refuse = true }, Advised},
		"an unknown plan":        {func(e *Submit) { e.Plan = 9 }, NoReason},
		"no time left":           {func(e *Submit) { e.ExpiresMs = 0 }, NoTime},
		"a pool without servers": {func(e *Submit) { e.Pool = 99 }, NoServer},
		"nothing short":          {func(e *Submit) {}, -1},
	} {
		e := ask
		e.ID, e.Plan, e.Account = name, 0, 2
		c.change(&e)
		if got := h.refusalReason(e); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Regards and View may be called at any time without affecting decisions: averages of servers and pools decay by
// events alone.
func TestViewsChangeNothing(t *testing.T) {
	h := newHarness(t, poolSettings(), ServerInfo{ID: 1})
	h.now += 60_000
	if refusalReason := h.refusalReason(Submit{ID: "a", ExpiresMs: 900, Units: 1, Account: 2}); refusalReason != -1 {
		t.Fatalf("refused: %v", refusalReason)
	}
	s := h.l.serversByID[1]
	server, all := *s, *s.pool
	h.l.Regards(h.now+777, 1, 0)
	h.l.View(h.now + 777)
	if s.slownessAt != server.slownessAt || s.pool.sendsAt != all.sendsAt || s.pool.sends != all.sends {
		t.Errorf("views 777 ms later changed the times of averages to %v and %v from %v and %v", s.slownessAt, s.pool.sendsAt, server.slownessAt, all.sendsAt)
	}
}
