package limiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomRun drives several limiters with random valid events and checks their actions: retries, server lists,
// deadlines, ceilings and warm-up. It does not model load or speed: outcomes, delays, losses, restarts and list
// changes are random.
type randomRun struct {
	t           *testing.T
	rng         *rand.Rand
	now         float64
	cfg         Settings
	limiters    []*Limiter
	servers     map[uint64]ServerInfo
	lists       []map[uint64]ServerInfo // last server list of each limiter
	open        []map[string]*trackedRequest
	timers      []pendingTimer
	ceilingLeft []float64              // by account: true balance of the ceiling
	sends       []map[uint64][]float64 // by limiter and server: times of attempts
	ids         int
	messages    []pendingMessage
	answered    int
	advised     bool // with random advice of plug-ins
	refused     int  // requests refused by plug-ins
	handedOver  int  // number of accounts handed over
}

type trackedRequest struct {
	id         string
	submit     Submit
	deadline   float64
	inflight   map[int]PassOn
	sent       []PassOn
	sentAt     []float64
	mayHaveRun []int // attempts that may have run
	ended      bool
}

type pendingTimer struct {
	at      float64
	limiter int
	name    string
	owner   *Limiter
}

type pendingMessage struct {
	to   int
	at   float64
	msg  PeerMessage
	from *Limiter
}

const randomRunLimiters = 3

func (c *randomRun) start(i int) {
	cfg := c.cfg
	cfg.Position = i
	l, err := New(cfg, c.rng.Uint64())
	if err != nil {
		c.t.Fatal(err)
	}
	c.limiters[i], c.open[i], c.lists[i] = l, map[string]*trackedRequest{}, map[uint64]ServerInfo{}
	c.sends[i] = map[uint64][]float64{}
	c.sendList(i, Persisted)
	if c.advised { // with a random memory
		c.event(i, Recall{Memory: randomMemory(c.rng, len(cfg.Classes))})
	}
}

func (c *randomRun) list() (s []ServerInfo) {
	for _, info := range c.servers {
		s = append(s, info)
	}
	slices.SortFunc(s, func(a, b ServerInfo) int { return int(a.ID) - int(b.ID) })
	return s
}

func (c *randomRun) sendList(i int, scope Scope) {
	if scope != Partial {
		c.lists[i] = map[uint64]ServerInfo{}
	}
	for _, s := range c.list() {
		c.lists[i][s.ID] = s
	}
	c.event(i, Endpoints{Scope: scope, Servers: c.list()})
}

func (c *randomRun) event(i int, e Event) {
	for _, a := range c.limiters[i].Handle(c.now, e) {
		c.action(i, a)
	}
}

func (c *randomRun) action(i int, a Action) {
	t := c.t
	switch a := a.(type) {
	case PassOn:
		r := c.open[i][a.ID]
		if r == nil || r.ended {
			t.Fatalf("sent %s, which has ended", a.ID)
		}
		info, ok := c.lists[i][a.Server]
		if !ok || info.Phase != Up {
			t.Fatalf("sent to server %d, which is draining, removed or was never listed", a.Server)
		}
		class := c.cfg.Classes[r.submit.Class]
		if len(r.inflight) > 0 && !c.cfg.Caps.SecondCopies {
			t.Fatal("two attempts in flight at once")
		}
		if len(r.sent) >= c.cfg.Caps.Attempts {
			t.Fatal("more attempts than allowed")
		}
		for _, k := range r.mayHaveRun {
			before := c.lists[i][r.sent[k].Server]
			switch {
			case class.Repeat == Unsafe:
				t.Fatal("an unsafe request that may have run was sent again")
			case class.Repeat == Keyed && class.Group == GroupCell && before.Cell != info.Cell:
				t.Fatal("a keyed request was sent to another cell")
			case class.Repeat == Keyed && c.now >= r.sentAt[k]+class.WindowMs:
				t.Fatal("a keyed request was sent again after its window")
			}
		}
		if len(r.sent) == 0 {
			c.spendCeiling(r.submit)
		}
		c.sends[i][a.Server] = append(c.sends[i][a.Server], c.now)
		c.checkCold(i, info)
		r.inflight[len(r.sent)] = a
		r.sent = append(r.sent, a)
		r.sentAt = append(r.sentAt, c.now)
	case Refuse:
		r := c.open[i][a.ID]
		if r == nil || r.ended {
			return
		}
		class := c.cfg.Classes[r.submit.Class]
		harmless := class.Repeat == Safe || class.Repeat == Keyed && class.Group == GroupAll
		if !harmless && (len(r.mayHaveRun) > 0 || len(r.inflight) > 0) {
			t.Fatalf("refused a request of class %d that may have run", r.submit.Class)
		}
		c.finish(i, r)
	case Fail:
		if r := c.open[i][a.ID]; r != nil && !r.ended {
			c.finish(i, r)
		}
	case AbortAttempt:
		if r := c.open[i][a.ID]; r != nil && a.Try >= len(r.sent) {
			t.Fatal("aborted an attempt that was never made")
		}
	case Timer:
		c.timers = append(c.timers, pendingTimer{a.At, i, a.Handle, c.limiters[i]})
	case Tell:
		if len(a.Data) > maxPeerBytes || a.To == i {
			t.Fatalf("bad message of %d bytes to %d", len(a.Data), a.To)
		}
		if c.rng.Float64() < 0.9 {
			c.messages = append(c.messages, pendingMessage{a.To, c.now + 40*c.rng.Float64(), PeerMessage{From: i, Data: a.Data}, nil})
		}
	}
}

// warmth is the share of its capacity that the warm-up rule grants a server by its age.
func (c *randomRun) warmth(info ServerInfo) float64 {
	if info.ReadyAt <= 0 {
		return 1
	}
	r := c.cfg.Rules
	return min(1, r.ColdShare+(1-r.ColdShare)*(c.now-info.ReadyAt)/r.ColdMs)
}

// checkCold checks that a limiter sends a cold server at most OverloadFactor times its warmth times what it sends to
// the busiest warm server, plus a few requests as a tolerance for chance.
func (c *randomRun) checkCold(i int, info ServerInfo) {
	w := c.warmth(info)
	if w >= 1 {
		return
	}
	since := func(id uint64, from float64) (n float64) {
		for _, at := range c.sends[i][id] {
			if at > from {
				n++
			}
		}
		return n
	}
	most := 0.0 // requests sent to a server while it was warm count
	for id := range c.lists[i] {
		if id != info.ID {
			most = max(most, since(id, c.now-3*c.cfg.Rules.FallMs))
		}
	}
	if n := since(info.ID, max(info.ReadyAt, c.now-c.cfg.Rules.FallMs)); n > 3+c.cfg.Rules.OverloadFactor*w*most {
		c.t.Fatalf("cold server %d (warmth %.2f) got %g in a window, the busiest warm one %g", info.ID, w, n, most)
	}
}

func (c *randomRun) finish(i int, r *trackedRequest) {
	r.ended = true
	c.answered++
	if c.now > r.deadline+8 {
		c.t.Fatalf("%s answered %g ms late", r.id, c.now-r.deadline)
	}
}

func (c *randomRun) spendCeiling(s Submit) {
	if c.cfg.Plans[s.Plan].CeilingRate == 0 {
		return
	}
	left := &c.ceilingLeft[s.Account]
	if *left -= s.Units; *left < -1e-6 {
		c.t.Fatalf("the ceiling of account %d is exceeded by %g", s.Account, -*left)
	}
}

// endAttempt ends an attempt in flight with a random result, or with forced if that is not negative.
func (c *randomRun) endAttempt(i int, r *trackedRequest, try int, forced Result) {
	delete(r.inflight, try)
	result := forced
	if result < 0 {
		result = Result(c.rng.IntN(8))
	}
	if !provesNotRun(result) {
		r.mayHaveRun = append(r.mayHaveRun, try)
	}
	done := r.ended
	if result == Pass && !r.ended {
		c.finish(i, r)
		done = true
	}
	c.event(i, Outcome{ID: r.id, Try: try, Server: r.sent[try].Server, Result: result,
		SpentMs: c.now - r.sentAt[try], Done: done, Load: Load{Busy: float64(c.rng.IntN(9) - 1)}})
}

func (c *randomRun) step() {
	dt := min(4, c.rng.ExpFloat64()*3)
	c.now += dt
	for k := range c.ceilingLeft {
		p := c.cfg.Plans[1]
		c.ceilingLeft[k] = min(p.CeilingBurst, c.ceilingLeft[k]+dt*p.CeilingRate/1000)
	}
	for k := 0; k < len(c.timers); k++ {
		if tm := c.timers[k]; tm.at <= c.now {
			c.timers = slices.Delete(c.timers, k, k+1)
			k--
			if c.limiters[tm.limiter] == tm.owner {
				c.event(tm.limiter, Alarm{Handle: tm.name})
			}
		}
	}
	for k := 0; k < len(c.messages); k++ {
		if m := c.messages[k]; m.at <= c.now {
			c.messages = slices.Delete(c.messages, k, k+1)
			k--
			c.event(m.to, m.msg)
		}
	}
	for i := range c.open { // timeouts at the deadline, then random outcomes
		ids := make([]string, 0, len(c.open[i]))
		for id := range c.open[i] {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			r := c.open[i][id]
			for try := range r.sent {
				if _, inflight := r.inflight[try]; inflight && c.now >= r.deadline {
					c.endAttempt(i, r, try, TooSlow)
				} else if inflight && c.rng.Float64() < 0.05 {
					c.endAttempt(i, r, try, -1)
				}
			}
			if r.ended && len(r.inflight) == 0 {
				delete(c.open[i], id)
			} else if !r.ended && len(r.inflight) == 0 {
				c.t.Fatalf("%s is pending without an attempt in flight", id)
			}
		}
	}
	i := c.rng.IntN(randomRunLimiters)
	switch u := c.rng.Float64(); {
	case u < 0.8:
		c.ids++
		plan := c.rng.IntN(len(c.cfg.Plans))
		s := Submit{ID: fmt.Sprint("q", c.ids), ExpiresMs: 50 + 1950*c.rng.Float64(), Units: float64(1 + c.rng.IntN(4)),
			Class: c.rng.IntN(len(c.cfg.Classes)), Plan: plan, Account: uint64(plan + len(c.cfg.Plans)*c.rng.IntN(4)),
			Spread: randomRunLimiters}
		if c.advised {
			s.Advice = randomAdvice(c.rng)
		}
		r := &trackedRequest{id: s.ID, submit: s, deadline: c.now + s.ExpiresMs, inflight: map[int]PassOn{}}
		c.open[i][s.ID] = r
		c.event(i, s)
		if len(r.sent) == 0 && !r.ended {
			c.t.Fatalf("%s got no answer", s.ID)
		}
		if s.Advice.Refuse {
			if c.refused++; len(r.sent) > 0 {
				c.t.Fatalf("%s was sent although a plug-in refused it", s.ID)
			}
		}
	case u < 0.81: // the client cancels a request
		for _, id := range firstID(c.open[i]) {
			if r := c.open[i][id]; !r.ended {
				r.ended = true
				c.event(i, Aborted{ID: id})
			}
		}
	case u < 0.815: // a limiter restarts with its last server list
		if c.rng.IntN(2) == 0 {
			c.start(i)
			break
		}
		m := completeHandover(c.limiters[i], c.now) // or ends with a handover
		c.start(i)
		c.event(i, Recall{Memory: m})
		c.handedOver += len(m.Handover.Accounts)
	case u < 0.83: // a server drains, is removed, restarts or appears
		id := uint64(1 + c.rng.IntN(8))
		info := c.servers[id]
		info.Phase = Phase(c.rng.IntN(3))
		if c.rng.Float64() < 0.5 {
			info.Phase, info.ReadyAt = Up, c.now
		}
		c.servers[id] = info
		for k := range c.limiters {
			c.sendList(k, Scope(c.rng.IntN(2)))
		}
	case u < 0.85:
		c.event(i, Probed{Server: uint64(1 + c.rng.IntN(9)), Result: Result(c.rng.IntN(8))})
	case u < 0.86:
		c.event(i, PeerMessage{From: c.rng.IntN(4), Data: []byte{peerMagic, peerVersion, byte(c.rng.IntN(9)), 1, 2, 3, 4, 5, 6, 7}})
	}
}

// firstID returns the smallest ID in m, or nothing if m is empty.
func firstID(m map[string]*trackedRequest) []string {
	var ids []string
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[:min(1, len(ids))]
}

// randomAdvice returns advice with extreme values, also such that package advice would not let through.
func randomAdvice(r *rand.Rand) Advice {
	values := []float64{0, 1, 0.1, 10, -5, 1e300, 1e-300, math.NaN(), math.Inf(1), math.Inf(-1)}
	pick := func() float64 { return values[r.IntN(len(values))] }
	return Advice{Refuse: r.IntN(6) == 0, WaitMs: pick(), Factor: pick(), Prefer: r.IntN(40) - 4, Avoid: r.Uint32()}
}

func TestRulesUnderRandomEvents(t *testing.T) { underRandomEvents(t, false) }

// The rules are kept with any advice of plug-ins and any memory, in a pool with tiers, where all kinds of advice have
// an effect.
func TestRulesUnderRandomAdvice(t *testing.T) { underRandomEvents(t, true) }

func underRandomEvents(t *testing.T, advised bool) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			cfg := testSettings()
			if advised {
				cfg.Spills = map[uint64][]float64{0: {0.3, 0.5, 0}}
			}
			cfg.Balancers = randomRunLimiters
			c := &randomRun{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: 1e6 * float64(seed), cfg: cfg,
				limiters: make([]*Limiter, randomRunLimiters), lists: make([]map[uint64]ServerInfo, randomRunLimiters),
				open: make([]map[string]*trackedRequest, randomRunLimiters), servers: map[uint64]ServerInfo{},
				ceilingLeft: make([]float64, 64), sends: make([]map[uint64][]float64, randomRunLimiters), advised: advised}
			for k := range c.ceilingLeft {
				c.ceilingLeft[k] = cfg.Plans[1].CeilingBurst
			}
			for id := uint64(1); id <= 8; id++ {
				c.servers[id] = ServerInfo{ID: id, Cell: int(id % 2), Zone: int(id % 2), Tier: int(id%3) * btoi(advised)}
			}
			for i := range c.limiters {
				c.start(i)
			}
			for range 6000 {
				c.step()
			}
			if c.handedOver < 20 {
				t.Errorf("%d accounts were handed over", c.handedOver)
			}
			if c.answered < 3000 || advised != (c.refused > 200) {
				t.Errorf("only %d requests were answered, %d refused by plug-ins", c.answered, c.refused)
			}
		})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Equal seeds and equal events give equal actions.
func TestDeterministic(t *testing.T) {
	run := func() string {
		l, err := New(testSettings(), 3)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(5, 5))
		out := fmt.Sprint(l.Handle(1, Endpoints{Scope: Persisted, Servers: makeServers(9)}))
		for n := range 3000 {
			now := float64(n * 3)
			out += fmt.Sprint(l.Handle(now, Submit{ID: fmt.Sprint(n), ExpiresMs: 900, Units: 1, Plan: rng.IntN(4),
				Class: rng.IntN(4), Account: uint64(rng.IntN(30)), Spread: 2}))
			out += fmt.Sprint(l.Handle(now, Outcome{ID: fmt.Sprint(rng.IntN(n + 1)), Result: Result(rng.IntN(8)), SpentMs: 30}))
			out += fmt.Sprint(l.Handle(now, Alarm{Handle: "tick"}), l.Handle(now, Probed{Server: 3, Result: TooSlow}))
		}
		return out
	}
	if first, second := run(), run(); first != second {
		t.Error("two runs differ")
	}
}

func FuzzDecodePeer(f *testing.F) {
	m := peerMsg{flags: allFlags, mark: 9, seq: 300, ageMs: 70000, entries: []peerEntry{{account: 1 << 32, plan: 2, spread: 3, spent: 77, newlySpent: 4, level: -5, outstanding: 3}, {account: 4, spread: 1, level: 9}}}
	data, _ := m.encode()
	f.Add(data)
	f.Add([]byte{peerMagic, peerVersion, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, ok := decodePeer(b)
		if !ok {
			return
		}
		again, n := m.encode()
		if n != len(m.entries) {
			return // an inefficient encoding: its entries don't fit in one message
		}
		m2, ok := decodePeer(again)
		if !ok || fmt.Sprint(m) != fmt.Sprint(m2) {
			t.Errorf("%v became %v", m, m2)
		}
		l, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		l.Handle(1, PeerMessage{From: 1, Data: b})
	})
}

// FuzzEvents interprets bytes as a script of events; no event may cause a panic.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("a script of any bytes whatever, long enough for a few events"))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := 0.0
		l.Handle(now, Endpoints{Servers: makeServers(3)})
		for len(b) >= 4 {
			k, x, y, z := b[0], int(int8(b[1])), int(b[2]), b[3]
			b = b[4:]
			now += float64(z)
			id := fmt.Sprint(y % 8)
			switch k % 9 {
			case 0, 1:
				l.Handle(now, Submit{ID: id, ExpiresMs: float64(x * 10), Units: float64(x), Class: y % 5, Plan: int(z) % 5,
					Account: uint64(y), Spread: x, First: x, Advice: Advice{Refuse: z%7 == 0, WaitMs: float64(x), Factor: float64(int8(z)), Prefer: x, Avoid: uint32(y)}})
			case 2, 3:
				l.Handle(now, Outcome{ID: id, Try: x % 4, Server: uint64(y), Result: Result(z % 9), SpentMs: float64(x), Done: y%2 == 0})
			case 4:
				l.Handle(now, Aborted{ID: id})
			case 5:
				l.Handle(now, Alarm{Handle: "tick"})
			case 6:
				l.Handle(now, Probed{Server: uint64(y % 4), Result: Result(z % 8)})
			case 7:
				l.Handle(now, Endpoints{Scope: Scope(y % 4), Servers: []ServerInfo{{ID: uint64(x & 3), Phase: Phase(z % 3), ReadyAt: float64(y)}}})
			case 8:
				l.Handle(now, PeerMessage{From: x, Data: b})
			}
		}
	})
}
