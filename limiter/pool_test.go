package limiter

import (
	"example.org/madderdrum/routing"
	"fmt"
	"math"
	"testing"
)

// poolSettings returns settings with two plans, one with a ceiling, and three classes.
func poolSettings() Settings {
	return Settings{Balancers: 1, Caps: Caps{Attempts: 3, Cancel: true, RetryAfter: true, MaxWaitMs: 500, ConnectMs: 250},
		Classes: []Class{{Repeat: Safe, AimMs: 500, DeadlineMs: 1000, Worth: 1}, {Repeat: Keyed, AimMs: 500, DeadlineMs: 1000, WindowMs: 1000, Worth: 2},
			{Repeat: Unsafe, AimMs: 500, DeadlineMs: 1000, Worth: 3}},
		Plans: []Plan{{Rate: 10, Burst: 20, Price: 1}, {Rate: 5, Burst: 10, CeilingRate: 8, CeilingBurst: 16, Price: 2}}}
}

// harness passes events to a Limiter and records what happens to requests.
type harness struct {
	t       *testing.T
	l       *Limiter
	now     float64
	sent    map[string][]uint64
	results map[string]string
	waitMs  map[string]float64
}

func newHarness(t *testing.T, s Settings, servers ...ServerInfo) *harness {
	t.Helper()
	return newHarnessAt(t, 1000, s, servers...)
}

func newHarnessAt(t *testing.T, now float64, s Settings, servers ...ServerInfo) *harness {
	t.Helper()
	l, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, l: l, now: now, sent: map[string][]uint64{}, results: map[string]string{}, waitMs: map[string]float64{}}
	h.handle(Endpoints{Scope: Complete, Servers: servers})
	return h
}

func (h *harness) handle(ev Event) {
	for _, a := range h.l.Handle(h.now, ev) {
		switch a := a.(type) {
		case PassOn:
			h.sent[a.ID] = append(h.sent[a.ID], a.Server)
		case Refuse:
			h.results[a.ID], h.waitMs[a.ID] = "refused", a.WaitMs
		case Fail:
			h.results[a.ID] = "failed"
		}
	}
}

func (h *harness) submit(id string, e Submit) {
	e.ID, e.ExpiresMs, e.Spread = id, 900, 1
	h.handle(e)
}

func (h *harness) outcome(id string, result Result) {
	try := len(h.sent[id]) - 1
	h.handle(Outcome{ID: id, Try: try, Server: h.sent[id][try], Result: result, SpentMs: 10, Done: result == Pass, Load: Load{-1, -1, -1}})
}

// A request goes only to servers of its pool, also on a retry while the other pool is idle; an unknown pool has no
// servers.
func TestPoolsKeepApart(t *testing.T) {
	h := newHarness(t, poolSettings(), ServerInfo{ID: 1, Pool: 7}, ServerInfo{ID: 2, Pool: 7}, ServerInfo{ID: 3, Pool: 9}, ServerInfo{ID: 4, Pool: 9})
	for i := range 60 {
		h.now += 200
		pool := []uint64{7, 9}[i%2]
		id := fmt.Sprint("r", i)
		h.submit(id, Submit{Units: 1, Account: uint64(i % 8), Pool: pool})
		for k, result := range []Result{NoRoom, Pass}[min(1, i%6):] {
			if len(h.sent[id]) <= k {
				t.Fatalf("request %d was not sent again: %v", i, h.results[id])
			}
			h.outcome(id, result)
		}
		for _, s := range h.sent[id] {
			if (s <= 2) != (pool == 7) {
				t.Fatalf("a request of pool %d went to server %d", pool, s)
			}
		}
	}
	h.submit("nowhere", Submit{Units: 1, Account: 50, Pool: 11})
	if h.results["nowhere"] != "refused" || len(h.sent["nowhere"]) > 0 {
		t.Errorf("a pool without servers: %v, sent to %v", h.results["nowhere"], h.sent["nowhere"])
	}
}

// What is learned of the load of one pool does not cause refusals in another.
func TestPoolsLearnApart(t *testing.T) {
	h := newHarness(t, poolSettings(), ServerInfo{ID: 1, Pool: 7}, ServerInfo{ID: 2, Pool: 9})
	for i := range 40 { // pool 7 is slow and full
		h.now += 100
		h.submit(fmt.Sprint("s", i), Submit{Units: 1, Account: uint64(i), Pool: 7})
		if i%4 == 3 {
			h.handle(Outcome{ID: fmt.Sprint("s", i-3), Server: 1, Result: Pass, SpentMs: 400, Done: true, Load: Load{-1, -1, -1}})
		}
	}
	refused := 0
	for i := range 10 {
		h.now += 100
		id := fmt.Sprint("f", i)
		if h.submit(id, Submit{Units: 1, Account: 100 + uint64(i), Pool: 9}); len(h.sent[id]) == 0 {
			refused++
			continue
		}
		h.outcome(id, Pass)
	}
	if refused > 0 || h.l.poolOf(7).typicalMs[0] < 300 || h.l.poolOf(9).typicalMs[0] > 20 {
		t.Errorf("%d refused because of another pool that is slow; learned %v and %v", refused, h.l.poolOf(7).typicalMs, h.l.poolOf(9).typicalMs)
	}
}

// A server that moves to another pool takes its attempts in flight along, and an empty pool is dropped.
func TestPoolsMove(t *testing.T) {
	h := newHarness(t, poolSettings(), ServerInfo{ID: 1, Pool: 7}, ServerInfo{ID: 2, Pool: 9})
	h.submit("a", Submit{Units: 1, Account: 1, Pool: 7})
	h.handle(Endpoints{Scope: Complete, Servers: []ServerInfo{{ID: 1, Pool: 9}, {ID: 2, Pool: 9}}})
	if h.l.pools[7] != nil || h.l.poolOf(9).inflight != 1 || len(h.l.poolOf(9).servers) != 2 {
		t.Errorf("pool 7 %v, pool 9 %+v", h.l.pools[7], h.l.poolOf(9))
	}
	h.outcome("a", Pass)
	if h.l.poolOf(9).inflight != 0 {
		t.Errorf("%d in flight at the end", h.l.poolOf(9).inflight)
	}
}

// A route's limit on attempts is applied, and never raises that of the deployment.
func TestAttemptsOfARoute(t *testing.T) {
	for _, c := range []struct{ bound, want int }{{1, 1}, {2, 2}, {0, 3}, {9, 3}} {
		h := newHarness(t, poolSettings(), ServerInfo{ID: 1}, ServerInfo{ID: 2}, ServerInfo{ID: 3}, ServerInfo{ID: 4})
		h.submit("a", Submit{Units: 1, Account: 1, Attempts: c.bound})
		for h.results["a"] == "" {
			h.outcome("a", NoRoom)
		}
		if len(h.sent["a"]) != c.want {
			t.Errorf("bound %d: %d attempts, want %d", c.bound, len(h.sent["a"]), c.want)
		}
	}
}

// Balances and ceilings after a new configuration.
func TestReconfigureBalances(t *testing.T) {
	const account = 5
	spent := func(h *harness, plan int, id string) (n int) { // counts one-unit requests until one is refused
		for ; ; n++ {
			x := fmt.Sprint(id, n)
			if h.submit(x, Submit{Units: 1, Account: account, Plan: plan}); h.results[x] == "refused" {
				return n
			}
			h.outcome(x, Pass)
		}
	}
	for _, c := range []struct {
		name          string
		change        func(s *Settings)
		plans         []int
		plan          int // of the account afterwards
		before, after int // requests admitted
	}{
		{"the same", func(*Settings) {}, []int{0, 1}, 0, 20, 0},
		{"a larger burst gives nothing at once", func(s *Settings) { s.Plans[0].Burst = 40 }, []int{0, 1}, 0, 20, 0},
		{"a larger burst, unspent", func(s *Settings) { s.Plans[0].Burst = 40 }, []int{0, 1}, 0, 0, 20},
		{"burst below the balance", func(s *Settings) { s.Plans[0].Burst = 4 }, []int{0, 1}, 0, 0, 4},
		{"another order", func(s *Settings) { s.Plans[0], s.Plans[1] = s.Plans[1], s.Plans[0] }, []int{1, 0}, 1, 20, 0},
		{"removed, and back as another", func(s *Settings) { s.Plans = s.Plans[1:] }, []int{-1, 0}, 0, 20, 0},
		{"removed unspent, and back as another", func(s *Settings) { s.Plans = s.Plans[1:]; s.Plans[0].CeilingRate, s.Plans[0].CeilingBurst = 0, 0 }, []int{-1, 0}, 0, 0, 10},
		{"a new ceiling starts empty", func(s *Settings) { s.Plans[0].CeilingRate, s.Plans[0].CeilingBurst = 15, 30 }, []int{0, 1}, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, poolSettings(), ServerInfo{ID: 1}, ServerInfo{ID: 2})
			h.now += 60_000 // long enough for a full burst
			h.submit("first", Submit{Units: 0, Account: account})
			h.outcome("first", Pass)
			if c.before > 0 {
				if n := spent(h, 0, "before"); n != c.before {
					t.Fatalf("%d admitted before, want %d", n, c.before)
				}
			}
			s := poolSettings()
			c.change(&s)
			h.handle(Reconfigure{Settings: s, Classes: []int{0, 1, 2}, Plans: c.plans})
			if n := spent(h, c.plan, "after"); n != c.after {
				t.Errorf("%d admitted after, want %d", n, c.after)
			}
		})
	}
}

// A lowered ceiling applies from the change on: at most the new burst and the new rate are admitted.
func TestReconfigureCeiling(t *testing.T) {
	h := newHarness(t, poolSettings(), ServerInfo{ID: 1}, ServerInfo{ID: 2})
	h.now += 60_000
	s := poolSettings()
	s.Plans[1].Rate, s.Plans[1].Burst, s.Plans[1].CeilingRate, s.Plans[1].CeilingBurst = 50, 100, 3, 6
	h.handle(Submit{ID: "first", ExpiresMs: 900, Account: 5, Plan: 1, Spread: 1})
	h.outcome("first", Pass)
	h.handle(Reconfigure{Settings: s, Classes: []int{0, 1, 2}, Plans: []int{0, 1}})
	passed, start := 0.0, h.now
	for i := 0; h.now < start+20_000; i++ {
		h.now += 20
		id := fmt.Sprint("r", i)
		if h.submit(id, Submit{Units: 1, Account: 5, Plan: 1}); len(h.sent[id]) > 0 {
			h.outcome(id, Pass)
			passed++
		}
	}
	if most := 6 + 3*20.0; passed > most || passed < most-7 {
		t.Errorf("%v units in 20 s, the ceiling allows %v", passed, most)
	}
}

// A pending request keeps its class when the class is removed, and is only retried if that class allows it.
func TestReconfigureClassInHand(t *testing.T) {
	h := newHarness(t, poolSettings(), ServerInfo{ID: 1}, ServerInfo{ID: 2}, ServerInfo{ID: 3})
	h.submit("safe", Submit{Units: 1, Account: 1, Class: 0})
	h.submit("unsafe", Submit{Units: 1, Account: 2, Class: 2})
	s := poolSettings()
	s.Classes = s.Classes[1:2]
	h.handle(Reconfigure{Settings: s, Classes: []int{-1, 0, -1}, Plans: []int{0, 1}})
	h.submit("keyed", Submit{Units: 1, Account: 3, Class: 0})
	for _, id := range []string{"safe", "unsafe", "keyed"} {
		h.outcome(id, Cut)
	}
	if len(h.sent["safe"]) != 2 || len(h.sent["keyed"]) != 2 || len(h.sent["unsafe"]) != 1 || h.results["unsafe"] != "failed" {
		t.Errorf("sent %v, ended %v", h.sent, h.results)
	}
	h.outcome("safe", Pass)
	h.outcome("keyed", Pass)
	if h.submit("gone", Submit{Units: 1, Account: 1, Class: 0}); len(h.l.requests) != 1 {
		t.Errorf("%d pending requests", len(h.l.requests))
	}
	for range 3 { // classes that are no longer used are removed
		h.handle(Reconfigure{Settings: s, Classes: []int{0}, Plans: []int{0, 1}})
	}
	if len(h.l.cfg.Classes) != 1 || len(h.l.cfg.Plans) != 2 {
		t.Errorf("%d classes, %d plans", len(h.l.cfg.Classes), len(h.l.cfg.Plans))
	}
}

// Many reloads neither change balances nor leave removed plans behind.
func TestReconfigureOften(t *testing.T) {
	h := newHarness(t, poolSettings(), ServerInfo{ID: 1}, ServerInfo{ID: 2})
	h.now += 60_000
	h.submit("a", Submit{Units: 7, Account: 5})
	for i := range 1000 {
		s := poolSettings()
		if i%2 == 0 {
			s.Plans = s.Plans[:1]
		}
		plans := []int{0, -1}
		if i%2 == 1 {
			plans = []int{0}
		}
		h.handle(Reconfigure{Settings: s, Classes: []int{0, 1, 2}, Plans: plans})
	}
	if c := h.l.accounts[5]; math.Abs(c.balance-13) > 1e-9 || len(h.l.cfg.Plans) > 3 {
		t.Errorf("balance %v, %d plans", c.balance, len(h.l.cfg.Plans))
	}
}

// newTieredHarness returns a harness with two tiers of three servers each; 30% of the requests may spill over to the
// second.
func newTieredHarness(t *testing.T) *harness {
	s := poolSettings()
	s.Spills = map[uint64][]float64{7: {0.3, 0}}
	s.Plans[0].Rate, s.Plans[0].Burst, s.Caps.Probes = 1e6, 1e6, true
	var servers []ServerInfo
	for i := range 6 {
		servers = append(servers, ServerInfo{ID: uint64(1 + i), Pool: 7, Tier: i / 3})
	}
	return newHarness(t, s, servers...)
}

// sendThroughTiers sends n requests, answered at once by result, and counts those served by the first and the second
// tier and those refused.
func (h *harness) sendThroughTiers(n int, result func(server uint64) Result) (first, second, refused int) {
	for range n {
		h.now += 20
		h.handle(Alarm{Handle: "tick"})
		id := fmt.Sprint("w", h.now)
		h.submit(id, Submit{Units: 1, Account: 1, Pool: 7})
		for h.results[id] == "" && len(h.sent[id]) > 0 {
			server := h.sent[id][len(h.sent[id])-1]
			r := result(server)
			if h.outcome(id, r); r == Pass {
				if server <= 3 {
					first++
				} else {
					second++
				}
				break
			}
		}
		if h.results[id] != "" {
			refused++
		}
	}
	return first, second, refused
}

// Requests stay in the first tier while it can take them. When its servers can't be reached they go to the second
// one, and they return in steps once the servers answer again.
func TestTiersLoseAndRegain(t *testing.T) {
	h := newTieredHarness(t)
	allPass := func(uint64) Result { return Pass }
	if first, second, refused := h.sendThroughTiers(200, allPass); first != 200 || second+refused != 0 {
		t.Errorf("all healthy: %d, %d, %d refused", first, second, refused)
	}
	firstTierDown := func(server uint64) Result {
		if server <= 3 {
			return NoRoute
		}
		return Pass
	}
	h.sendThroughTiers(50, firstTierDown)
	if first, second, refused := h.sendThroughTiers(200, firstTierDown); first != 0 || second < 195 || refused > 5 {
		t.Errorf("the first tier is lost: %d, %d, %d refused", first, second, refused)
	}
	for id := range uint64(3) {
		h.handle(Probed{Server: id + 1, Result: Pass})
	}
	var shares []int
	for range 8 { // of 25 requests in 500 ms each
		first, second, refused := h.sendThroughTiers(25, allPass)
		if shares = append(shares, first); first+second+refused != 25 || refused > 0 {
			t.Errorf("during recovery: %d, %d, %d refused", first, second, refused)
		}
	}
	if shares[0] > 8 || shares[7] < shares[0] {
		t.Errorf("the first tier's requests of each 25 during recovery: %v", shares)
	}
	for range 40 {
		h.sendThroughTiers(25, allPass)
	}
	if first, second, _ := h.sendThroughTiers(50, allPass); first != 50 || second != 0 {
		t.Errorf("after recovery: %d, %d", first, second)
	}
}

// While a healthy tier has no capacity left, its configured share spills over to the next one, and the rest is
// refused at once with a wait.
func TestTiersSpill(t *testing.T) {
	h := newTieredHarness(t)
	h.sendThroughTiers(20, func(uint64) Result { return Pass })
	sent := [2]int{}
	refused := 0
	for i := range 600 { // without answers the first tier is soon at its capacity
		h.now += 2
		id := fmt.Sprint("s", i)
		h.submit(id, Submit{Units: 1, Account: 1, Pool: 7})
		switch {
		case h.results[id] == "refused":
			if refused++; h.waitMs[id] <= 0 {
				t.Fatal("refused without a wait")
			}
		case h.sent[id][0] <= 3:
			sent[0]++
		default:
			sent[1]++
		}
	}
	if total := sent[0] + sent[1] + refused; float64(sent[1]) > 0.3*float64(total)+2 || sent[1] == 0 || refused == 0 {
		t.Errorf("%v sent by tier, %d refused", sent, refused)
	}
}

// New spill-over shares apply without changing the state of a lost tier, and a pool's tiers can be removed.
func TestTiersReconfigured(t *testing.T) {
	h := newTieredHarness(t)
	firstTierDown := func(server uint64) Result {
		if server <= 3 {
			return NoRoute
		}
		return Pass
	}
	h.sendThroughTiers(100, firstTierDown)
	p := h.l.poolOf(7)
	if p.tiers.State(h.now, 0).Phase != routing.Lost {
		t.Fatal("the first tier is not lost")
	}
	s := h.l.cfg
	s.Spills = map[uint64][]float64{7: {0.5, 0}}
	h.handle(Reconfigure{Settings: s, Classes: []int{0, 1, 2}, Plans: []int{0, 1}})
	if p.tiers.State(h.now, 0).Phase != routing.Lost {
		t.Error("another share made a lost tier healthy")
	}
	s.Spills = nil
	h.handle(Reconfigure{Settings: s, Classes: []int{0, 1, 2}, Plans: []int{0, 1}})
	if p.tiers != nil {
		t.Error("the tiers are still there")
	}
}

// An account can't escape its ceiling by naming a plan without one.
func TestPlanStays(t *testing.T) {
	s := poolSettings()
	s.Plans[0].Rate, s.Plans[0].Burst = 1e6, 1e6
	s.Plans[1].Rate, s.Plans[1].Burst = 1e6, 1e6
	h := newHarness(t, s, ServerInfo{ID: 1}, ServerInfo{ID: 2})
	h.now += 60_000
	passed := 0
	for i := range 400 { // 4 s: the ceiling allows 16 and 8 per second
		h.now += 10
		id := fmt.Sprint("r", i)
		plan := 1
		if i%4 > 0 {
			plan = 0
		}
		if h.submit(id, Submit{Units: 1, Account: 5, Plan: plan}); len(h.sent[id]) > 0 {
			h.outcome(id, Pass)
			passed++
		}
	}
	if passed > 16+4*8+1 {
		t.Errorf("%d units were admitted by a ceiling that allows 48", passed)
	}
}

// A keyed request is retried only at servers that know its key, whatever their tier and state, and an unsafe one
// nowhere.
func TestTiersKeepRepeats(t *testing.T) {
	for name, c := range map[string]struct {
		class int
		sent  int // attempts
	}{"keyed": {1, 2}, "unsafe": {2, 1}} {
		h := newTieredHarness(t)
		allPass := func(uint64) Result { return Pass }
		h.sendThroughTiers(50, allPass)
		firstTierDown := func(server uint64) Result {
			if server <= 3 {
				return NoRoute
			}
			return Pass
		}
		h.sendThroughTiers(100, firstTierDown)
		id := "repeat"
		h.submit(id, Submit{Units: 1, Account: 1, Pool: 7, Class: c.class})
		if len(h.sent[id]) != 1 || h.sent[id][0] <= 3 {
			t.Fatalf("%s: sent to %v", name, h.sent[id])
		}
		h.outcome(id, Cut)
		for _, s := range h.sent[id] {
			if s <= 3 {
				t.Errorf("%s: sent to %v, where its key is unknown", name, h.sent[id])
			}
		}
		if len(h.sent[id]) != c.sent {
			t.Errorf("%s: sent to %v", name, h.sent[id])
		}
	}
}

// A server of a pool with tiers that answers again after it was down is presumed cold until discovery reports when it
// started, as its process may be new.
func TestTiersPresumeCold(t *testing.T) {
	h := newTieredHarness(t)
	h.l.cfg.Rules = Rules{ColdShare: 0.25, ColdMs: 12_000, FallMs: 1500, OverloadFactor: 3}
	h.sendThroughTiers(100, func(uint64) Result { return Pass })
	h.sendThroughTiers(100, func(server uint64) Result {
		if server <= 3 {
			return NoRoute
		}
		return Pass
	})
	for id := range uint64(3) {
		h.handle(Probed{Server: id + 1, Result: Pass})
	}
	s := h.l.serversByID[1]
	if w := h.l.warmth(h.now, s); w > 0.3 {
		t.Errorf("its warmth is %v", w)
	}
	first, _, refused := h.sendThroughTiers(100, func(uint64) Result { return Pass }) // in 2 s
	if first > 40 || refused > 0 {
		t.Errorf("%d of 100 went to three servers that may be cold, %d refused", first, refused)
	}
	info := s.info
	info.ReadyAt = 1 // discovery reports that it started long ago
	h.handle(Endpoints{Scope: Partial, Servers: []ServerInfo{info}})
	if at := h.l.serversByID[1].info.ReadyAt; at != 1 {
		t.Errorf("the start that discovery reported is not used, but %v", at)
	}
}

// The state of tiers that operators see.
func TestTiersShown(t *testing.T) {
	h := newTieredHarness(t)
	h.sendThroughTiers(100, func(uint64) Result { return Pass })
	all := h.l.Tiers(h.now)
	if len(all) != 2 || all[0].Pool != 7 || all[1].Tier != 1 || all[0].Usable != 3 || all[0].Share != 1 || all[0].Next != "up to 30% may spill" {
		t.Errorf("%+v", all)
	}
}

// Clients with very short timeouts do not make a tier fail.
func TestTiersHurriedClients(t *testing.T) {
	h := newTieredHarness(t)
	h.sendThroughTiers(100, func(uint64) Result { return Pass })
	for i := range 200 {
		h.now += 100
		id := fmt.Sprint("hurried", i)
		h.handle(Submit{ID: id, Spread: 1, Units: 1, Account: 1, Pool: 7, ExpiresMs: 15})
		if len(h.sent[id]) > 0 && h.results[id] == "" {
			h.outcome(id, TooSlow)
		}
		h.handle(Alarm{Handle: "tick"})
	}
	if x := h.l.Tiers(h.now)[0]; x.Phase != routing.Healthy {
		t.Errorf("%+v", x)
	}
}
