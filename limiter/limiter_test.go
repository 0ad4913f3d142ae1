package limiter

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// testSettings returns settings with one class of each kind, and plans with a quota alone, with a ceiling, with
// a limit on attempts in flight and without limits.
func testSettings() Settings {
	return Settings{
		Balancers: 2, PeerInPerS: 40,
		Classes: []Class{
			{Repeat: Safe, AimMs: 500, DeadlineMs: 2000, Worth: 1, WindowMs: 1000},
			{Repeat: Keyed, Group: GroupCell, AimMs: 500, DeadlineMs: 2000, Worth: 1, WindowMs: 1000},
			{Repeat: Unsafe, AimMs: 500, DeadlineMs: 2000, Worth: 1},
			{Repeat: Keyed, Group: GroupAll, AimMs: 500, DeadlineMs: 2000, Worth: 1, WindowMs: 1000},
		},
		Plans: []Plan{
			{Rate: 10, Burst: 20, Price: 1},
			{Rate: 10, Burst: 20, Price: 1, CeilingRate: 20, CeilingBurst: 40},
			{Rate: 10, Burst: 20, Price: 1, AtOnce: 2},
			{Price: 1},
		},
		Caps: Caps{Attempts: 4, Cancel: true, Peers: true, Probes: true, RetryAfter: true,
			MaxWaitMs: 1000, ConnectMs: 250},
		Rules: Rules{ColdShare: 0.2, ColdMs: 10000, OverloadFactor: 2, FallMs: 1000},
	}
}

// script drives one Limiter step by step.
type script struct {
	t   *testing.T
	l   *Limiter
	now float64
	ids int
}

func newScript(t *testing.T, s Settings, servers ...ServerInfo) *script {
	t.Helper()
	l, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	sc := &script{t: t, l: l, now: 1000}
	sc.handle(Endpoints{Scope: Persisted, Servers: servers})
	return sc
}

func makeServers(n int) (s []ServerInfo) {
	for i := range n {
		s = append(s, ServerInfo{ID: uint64(i + 1), Cell: i % 2, Zone: i % 2, Weight: 1})
	}
	return s
}

func (s *script) handle(e Event) []Action { return append([]Action(nil), s.l.Handle(s.now, e)...) }

// submit submits a request and returns its ID and the answer.
func (s *script) submit(e Submit) (string, Action) {
	s.ids++
	e.ID = fmt.Sprint("r", s.ids)
	if e.ExpiresMs == 0 {
		e.ExpiresMs = 1500
	}
	if e.Spread == 0 {
		e.Spread = 1
	}
	if e.Units == 0 {
		e.Units = 1
	}
	return e.ID, s.answer(s.handle(e))
}

// answer returns the only action among acts that answers or forwards a request.
func (s *script) answer(acts []Action) (got Action) {
	s.t.Helper()
	for _, a := range acts {
		switch a.(type) {
		case PassOn, Refuse, Fail:
			if got != nil {
				s.t.Fatalf("two answers: %v and %v", got, a)
			}
			got = a
		}
	}
	return got
}

func (s *script) outcome(id string, try int, server uint64, r Result) Action {
	s.t.Helper()
	return s.answer(s.handle(Outcome{ID: id, Try: try, Server: server, Result: r, SpentMs: 20, Done: r == Pass,
		Load: Load{Busy: -1, Pending: -1, ServiceMs: -1}}))
}

// pass answers a request that must have been sent to a server.
func (s *script) pass(id string, a Action) {
	s.t.Helper()
	p, ok := a.(PassOn)
	if !ok {
		s.t.Fatalf("%s: got %#v, want a PassOn", id, a)
	}
	s.outcome(id, 0, p.Server, Pass)
}

// admit returns how many of n requests are admitted, each answered at once.
func (s *script) admit(n int, e Submit) (passed int) {
	for range n {
		if id, a := s.submit(e); a != nil {
			if _, ok := a.(PassOn); ok {
				passed++
				s.pass(id, a)
			}
		}
	}
	return passed
}

func TestBadSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"balancers":       func(s *Settings) { s.Balancers = 0 },
		"position":        func(s *Settings) { s.Position = 2 },
		"request_classes": func(s *Settings) { s.Classes = nil },
		"packages":        func(s *Settings) { s.Plans = nil },
		"cold_share":      func(s *Settings) { s.Rules.ColdShare = 2 },
		"promise_ms":      func(s *Settings) { s.Classes[0].AimMs = 0 },
		"burst":           func(s *Settings) { s.Plans[0].Burst = 0 },
		"packages.1":      func(s *Settings) { s.Plans[1].CeilingRate = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v does not name the setting", name, err)
		}
	}
}

func TestBucket(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	if got := s.admit(40, Submit{}); got != 20 {
		t.Errorf("a full bucket of 20 admitted %d", got)
	}
	_, a := s.submit(Submit{})
	if r, ok := a.(Refuse); !ok || math.Abs(r.WaitMs-100) > 1 {
		t.Errorf("one unit short at 10/s: got %#v, want a refusal for 100 ms", a)
	}
	s.now += 1000
	if got := s.admit(40, Submit{}); got != 10 {
		t.Errorf("after a second at 10/s %d were admitted", got)
	}
	s.now += 60000
	if got := s.admit(40, Submit{}); got != 20 {
		t.Errorf("the bucket holds 20, %d were admitted", got)
	}
	if got := s.admit(100, Submit{Plan: 3, Account: 9}); got != 100 {
		t.Errorf("a plan without a quota admitted %d of 100", got)
	}
}

// peerUpdate returns an update on account 0 by a peer of this age.
func peerUpdate(ageMs float64, seq, spentUnits uint64, flags byte, level float64) PeerMessage {
	m := peerMsg{flags: flags, mark: 77, seq: seq, ageMs: uint64(ageMs)}
	m.entries = []peerEntry{{spread: 2, spent: spentUnits * unitScale, level: int64(level * unitScale)}}
	data, _ := m.encode()
	return PeerMessage{From: 1, Data: data}
}

// peerSyncReply returns the sync reply of a peer of this age with these levels.
func peerSyncReply(ageMs float64, levels ...float64) PeerMessage {
	m := peerMsg{flags: flagLevelUpdate | flagSyncReply, ageMs: uint64(ageMs)}
	for _, level := range levels {
		m.entries = append(m.entries, peerEntry{level: int64(level * unitScale)})
	}
	data, _ := m.encode()
	return PeerMessage{From: 1, Data: data}
}

func TestPeerSpending(t *testing.T) {
	both := Submit{Spread: 2}
	s := newScript(t, testSettings(), makeServers(4)...)
	s.now += 5000 // the bucket is full by then
	s.admit(1, both)
	s.handle(peerUpdate(5000, 1, 30, 0, 0))
	if got := s.admit(30, both); got != 0 {
		t.Errorf("a balance of 20-1-30 admitted %d", got)
	}
	s.handle(peerUpdate(5000, 1, 30, 0, 0)) // repeated
	s.handle(peerUpdate(5000, 3, 31, 0, 0)) // the one before it was lost
	s.handle(peerUpdate(5000, 2, 29, 0, 0)) // late
	s.now += 1700                           // refill repays the debt of 12, 5 are left
	if got := s.admit(30, both); got != 5 {
		t.Errorf("after the debt was repaid %d were admitted, want 5", got)
	}
	before := s.l.accounts[0].balance
	for _, bad := range [][]byte{nil, {1, 2}, []byte("foreign message, quite long"), {peerMagic, 9, 0, 1, 1, 1, 1, 1, 1}} {
		s.handle(PeerMessage{From: 1, Data: bad})
	}
	s.handle(PeerMessage{From: 9, Data: peerUpdate(0, 9, 50, 0, 0).Data})
	if s.l.accounts[0].balance != before {
		t.Error("an invalid message changed the balance")
	}
}

// A new account starts with the burst divided by its limiters. The rest is granted when the peers have answered,
// less what they report as spent. Guards against the withheld part never being granted, which cost cheap plans
// part of their quota.
func TestNewAccount(t *testing.T) {
	both := Submit{Spread: 2}
	s := newScript(t, testSettings(), makeServers(4)...)
	if got := s.admit(40, both); got != 10 {
		t.Errorf("20 divided by two admitted %d", got)
	}
	s.handle(peerSyncReply(1)) // a reply without accounts
	if got := s.admit(40, both); got != 10 {
		t.Errorf("after the peer's reply %d more were admitted, want 10", got)
	}
	s = newScript(t, testSettings(), makeServers(4)...)
	s.handle(peerSyncReply(90000, 3)) // an older peer knows the level
	if got := s.admit(40, both); got != 3 {
		t.Errorf("at a reported level of 3 %d were admitted", got)
	}
}

func TestRestartedLimiterSyncs(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	var asked bool
	for _, a := range s.handle(Alarm{Handle: "tick"}) {
		if tell, ok := a.(Tell); ok {
			m, ok := decodePeer(tell.Data)
			asked = ok && m.flags&flagSyncRequest != 0
		}
	}
	if !asked {
		t.Error("a limiter that started sent no sync request")
	}
	s.admit(4, Submit{Spread: 2})
	request := peerMsg{flags: flagSyncRequest, mark: 5, seq: 1}
	data, _ := request.encode()
	var levels []peerEntry
	for _, a := range s.handle(PeerMessage{From: 1, Data: data}) {
		if tell, ok := a.(Tell); ok {
			if m, ok := decodePeer(tell.Data); ok && m.flags&flagSyncReply != 0 {
				levels = m.entries
			}
		}
	}
	if len(levels) != 1 || levels[0].level != 16*unitScale {
		t.Errorf("the sync reply has %v, want one level of 16", levels)
	}
}

func TestAtOnce(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	id, a := s.submit(Submit{Plan: 2})
	s.submit(Submit{Plan: 2})
	if _, c := s.submit(Submit{Plan: 2}); c == nil {
		t.Fatal("no answer")
	} else if _, ok := c.(Refuse); !ok {
		t.Errorf("a third attempt in flight where two are allowed: %#v", c)
	}
	s.pass(id, a)
	if _, c := s.submit(Submit{Plan: 2}); c != nil {
		if _, ok := c.(PassOn); !ok {
			t.Errorf("after one ended, the next is refused: %#v", c)
		}
	}
}

func TestTrueUp(t *testing.T) {
	cfg := testSettings()
	cfg.TrueUp = true
	s := newScript(t, cfg, makeServers(4)...)
	id, a := s.submit(Submit{})
	s.handle(Outcome{ID: id, Server: a.(PassOn).Server, Result: Pass, SpentMs: 10, Done: true, Cost: 25})
	if got := s.l.accounts[0].balance; math.Abs(got+5) > 1e-9 {
		t.Errorf("balance %g after an actual cost of 25 with a balance of 20, want -5", got)
	}
}

// Retries and final answers by result and class: nothing that may have run is sent again unless its class allows
// it.
func TestFurtherAttempts(t *testing.T) {
	const again, refuse, fail = "again", "refuse", "fail"
	for _, c := range []struct {
		class  int
		result Result
		want   string
	}{
		{0, Fault, again}, {0, TooSlow, again}, {0, NoRoom, again}, {0, NoRoute, again}, {0, Undone, again},
		{1, Fault, again}, {1, Cut, again}, {1, NoRoom, again}, {1, StaleSend, again},
		{2, Fault, fail}, {2, Cut, fail}, {2, TooSlow, fail}, {2, Undone, fail},
		{2, NoRoom, again}, {2, NoRoute, again}, {2, StaleSend, again},
		{3, Fault, again},
	} {
		s := newScript(t, testSettings(), makeServers(4)...)
		id, a := s.submit(Submit{Class: c.class})
		first := a.(PassOn).Server
		got := s.outcome(id, 0, first, c.result)
		name := fmt.Sprintf("class %d, result %d", c.class, c.result)
		switch g := got.(type) {
		case PassOn:
			if c.want != again {
				t.Errorf("%s: sent again, want %s", name, c.want)
			}
			if g.Server == first {
				t.Errorf("%s: sent to the same server", name)
			}
			if c.class == 1 && !provesNotRun(c.result) && (g.Server-first)%2 != 0 {
				t.Errorf("%s: a keyed request was sent to another cell", name)
			}
		case Refuse:
			if c.want != refuse {
				t.Errorf("%s: refused, want %s", name, c.want)
			}
		case Fail:
			if c.want != fail {
				t.Errorf("%s: failed, want %s", name, c.want)
			}
		default:
			t.Errorf("%s: no answer", name)
		}
	}
}

func TestKeyedWindowAndGroup(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	id, a := s.submit(Submit{Class: 1, ExpiresMs: 1900})
	s.now += 1001 // past the window
	if got, ok := s.outcome(id, 0, a.(PassOn).Server, Fault).(Fail); !ok {
		t.Errorf("a keyed request past its window: %#v, want Fail", got)
	}
	s = newScript(t, testSettings(), makeServers(2)...) // one server per cell
	id, a = s.submit(Submit{Class: 1})
	if got, ok := s.outcome(id, 0, a.(PassOn).Server, Fault).(Fail); !ok {
		t.Errorf("no other server in the cell: %#v, want Fail", got)
	}
	id, a = s.submit(Submit{Class: 3, ExpiresMs: 1900})
	s.now += 1500
	if got, ok := s.outcome(id, 0, a.(PassOn).Server, Fault).(Refuse); !ok {
		t.Errorf("keyed among all servers: %#v, want Refuse", got)
	}
}

func TestDeadline(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	id, a := s.submit(Submit{ExpiresMs: 300})
	s.now += 300
	if got, ok := s.outcome(id, 0, a.(PassOn).Server, TooSlow).(Fail); !ok {
		t.Errorf("timeout at the deadline: %#v, want Fail", got)
	}
	if len(s.l.requests) != 0 {
		t.Error("a finished request is still stored")
	}
}

func TestDrain(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(2)...)
	s.handle(Endpoints{Scope: Partial, Servers: []ServerInfo{{ID: 1, Phase: Draining}}})
	for range 10 {
		if id, a := s.submit(Submit{Plan: 3}); a.(PassOn).Server != 2 {
			t.Fatal("sent to a draining server")
		} else {
			s.pass(id, a)
		}
	}
	s.handle(Endpoints{Scope: Complete, Servers: []ServerInfo{{ID: 3}}})
	for range 10 {
		if id, a := s.submit(Submit{Plan: 3}); a.(PassOn).Server != 3 {
			t.Fatal("sent to a server that is missing from the complete list")
		} else {
			s.pass(id, a)
		}
	}
	s.handle(Endpoints{Scope: Failed})
	if _, a := s.submit(Submit{Plan: 3}); a.(PassOn).Server != 3 {
		t.Error("a failed list request changed the list")
	}
	s.handle(Endpoints{Scope: Complete})
	if _, a := s.submit(Submit{Plan: 3}); a != (Refuse{ID: "r22", WaitMs: fullBackoffMs, Why: NoServer}) {
		t.Errorf("with no server: %#v", a)
	}
}

// A cold server gets at most a share of a warm server's requests that corresponds to its warmth, and very few if
// there is no warm server to compare with.
func TestColdServer(t *testing.T) {
	f := makeServers(4)
	f[0].ReadyAt = 999
	s := newScript(t, testSettings(), f...)
	sent := map[uint64]int{}
	for range 50 {
		s.now += 20
		out := map[string]Action{}
		for range 12 {
			if id, a := s.submit(Submit{Plan: 3}); a != nil {
				if p, ok := a.(PassOn); ok {
					out[id] = a
					sent[p.Server]++
				}
			}
		}
		for id, a := range out {
			s.pass(id, a)
		}
	}
	if sent[1] == 0 || sent[1] > sent[2]/3 {
		t.Errorf("the cold server got %d, warm ones %d %d %d", sent[1], sent[2], sent[3], sent[4])
	}
	s = newScript(t, testSettings(), f[0])
	if n := s.admit(200, Submit{Plan: 3}); n > 2 {
		t.Errorf("the only server is cold and got %d requests at once", n)
	}
}

// A limiter never admits more than its part of a ceiling, and one that starts has none of it saved up.
func TestCeilingShare(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	plan := testSettings().Plans[1]
	start := s.now
	s.now += 1e6
	spent := 0
	begin := s.now
	s.l.accountOf(s.now, 0, 1, 2).balance = 1e9
	s.l.cfg.Plans[1].Burst, s.l.cfg.Plans[1].Rate = 1e9, 1e9
	for range 500 {
		s.now += 10
		spent += s.admit(3, Submit{Plan: 1, Spread: 2})
	}
	if most := (plan.CeilingBurst + plan.CeilingRate*(s.now-begin)/1000) / 2; float64(spent) > most {
		t.Errorf("admitted %d, this limiter's half is %g", spent, most)
	}
	s = newScript(t, testSettings(), makeServers(4)...)
	if n := s.admit(10, Submit{Plan: 1, Spread: 2}); n != 0 || s.now != start {
		t.Errorf("a limiter that just started admitted %d from an empty part", n)
	}
}

func TestIgnoresFinishedRequests(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(2)...)
	id, a := s.submit(Submit{})
	s.pass(id, a)
	for _, e := range []Event{
		Outcome{ID: id, Server: 1}, Outcome{ID: "no", Server: 1, Try: 3}, Aborted{ID: id}, Aborted{ID: "no"},
		FirstByte{ID: "no"}, Alarm{Handle: "no"}, Probed{Server: 99}, Submit{ID: "x", Class: 99}, nil,
		PeerMessage{From: -1}, PeerMessage{From: 0},
	} {
		for _, act := range s.handle(e) {
			if _, ok := act.(PassOn); ok {
				t.Errorf("%#v led to %#v", e, act)
			}
		}
	}
}

// A load report, however high, excludes no server. Under overload, relying on the reports left only one server in
// ten in use, and ignoring them served 5% more requests.
func TestLoadReportsExcludeNoServer(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	used := map[uint64]int{}
	for range 100 {
		id, a := s.submit(Submit{Plan: 3})
		p, ok := a.(PassOn)
		if !ok {
			t.Fatalf("refused although servers are idle: %#v", a)
		}
		used[p.Server]++
		s.handle(Outcome{ID: id, Server: p.Server, Result: Pass, SpentMs: 60, Done: true, Load: Load{Busy: 200 * float64(p.Server)}})
		s.now += 20
	}
	for id := uint64(1); id <= 4; id++ {
		if used[id] < 10 {
			t.Errorf("server %d got %d of 100", id, used[id])
		}
	}
}

// A limiter that refused requests for lack of servers uses a server again once it is idle.
func TestTriesAgainAfterPressure(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(2)...)
	for range 50 {
		id, a := s.submit(Submit{Plan: 3})
		s.handle(Outcome{ID: id, Server: a.(PassOn).Server, Result: Pass, SpentMs: 400, Done: true})
		s.now += 20
	}
	s.submit(Submit{Plan: 3})
	s.submit(Submit{Plan: 3})
	if _, c := s.submit(Submit{Plan: 3}); c != nil {
		if _, ok := c.(Refuse); !ok {
			t.Fatalf("400 ms per answer, aim 500 ms, one request at each server: %#v, want Refuse", c)
		}
	}
	for id := range s.l.requests {
		r := s.l.requests[id]
		s.outcome(id, 0, r.attempts[0].server.info.ID, Pass)
		break
	}
	if _, a := s.submit(Submit{Plan: 3}); a != nil {
		if _, ok := a.(PassOn); !ok {
			t.Errorf("a server is idle: %#v, want PassOn", a)
		}
	}
}

// With many limiters and few servers, one request from each limiter at every idle server is too many: overloaded
// servers would never recover.
func TestManyLimitersTryLess(t *testing.T) {
	for balancers, want := range map[int][2]int{2: {8, 8}, 16: {2, 3}} {
		cfg := testSettings()
		cfg.Balancers = balancers
		s := newScript(t, cfg, makeServers(8)...)
		for range 50 {
			id, a := s.submit(Submit{Plan: 3})
			s.handle(Outcome{ID: id, Server: a.(PassOn).Server, Result: Pass, SpentMs: 400, Done: true})
		}
		out := 0
		for range 40 {
			if _, a := s.submit(Submit{Plan: 3}); a != nil {
				if _, ok := a.(PassOn); ok {
					out++
				}
			}
		}
		if out < want[0] || out > want[1] {
			t.Errorf("%d limiters, 8 slow servers: %d in flight, want %v", balancers, out, want)
		}
	}
}

// An attempt whose remaining time shows that its aim has passed is refused and spends nothing; one with a longer
// timeout than usual and time to spare is admitted.
func TestLateAttempt(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	for range 5 {
		id, a := s.submit(Submit{ExpiresMs: 1000})
		s.pass(id, a)
	}
	before := s.l.accounts[0].balance
	if _, a := s.submit(Submit{ExpiresMs: 1400}); a != (Refuse{ID: "r6", WaitMs: 1000, Why: NoTime}) {
		t.Errorf("600 ms after the client began, aim 500: %#v", a)
	}
	if s.l.accounts[0].balance != before {
		t.Error("a refused attempt spent units")
	}
	if _, a := s.submit(Submit{ExpiresMs: 1800}); a != nil {
		if _, ok := a.(PassOn); !ok {
			t.Errorf("200 ms after the client began: %#v", a)
		}
	}
}

// A server that fails fast is ejected although it looks idle, and is tried again later with a few requests.
func TestFailingServerKeptOff(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	serve := func() (bad int) {
		id, a := s.submit(Submit{Plan: 3})
		for try := 0; ; try++ {
			p, ok := a.(PassOn)
			if !ok {
				return bad
			}
			r := Pass
			if p.Server == 1 {
				r, bad = Fault, bad+1
			}
			a = s.outcome(id, try, p.Server, r)
		}
	}
	for range 200 {
		serve()
	}
	bad := 0
	for range 200 {
		bad += serve()
	}
	if bad != 0 {
		t.Errorf("a server that failed twice got %d of 200", bad)
	}
	s.now += 20000
	for range 200 {
		bad += serve()
	}
	if bad < ejectAfter || bad > 2*ejectAfter {
		t.Errorf("after the ejection it got %d of 200, want a few", bad)
	}
}

func TestSilentServerIsProbedAndAvoided(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(2)...)
	ids := map[string]uint64{}
	for range 4 {
		id, a := s.submit(Submit{Plan: 3})
		ids[id] = a.(PassOn).Server
	}
	for id, server := range ids {
		if server == 2 {
			s.outcome(id, 0, 2, Pass)
		}
	}
	s.now += 600
	probed := false
	for _, a := range s.handle(Alarm{Handle: "tick"}) {
		if p, ok := a.(Probe); ok && p.Server == 1 {
			probed = true
		}
	}
	if !probed {
		t.Fatal("a server that was silent for long was not probed")
	}
	aborted := 0
	for _, a := range s.handle(Probed{Server: 1, Result: TooSlow}) {
		if _, ok := a.(AbortAttempt); ok {
			aborted++
		}
	}
	if aborted == 0 {
		t.Error("no attempt was aborted at a server found down")
	}
	for range 20 {
		if id, a := s.submit(Submit{Plan: 3}); a.(PassOn).Server != 2 {
			t.Fatal("sent to a server that is down")
		} else {
			s.pass(id, a)
		}
	}
	s.handle(Probed{Server: 1, Result: Pass})
	if s.l.serversByID[1].down {
		t.Error("a server that answers still counts as down")
	}
}

// Under pressure the requests with the least worth per unit of work are refused first.
func TestWorthUnderPressure(t *testing.T) {
	cfg := testSettings()
	cfg.Plans[0].Price, cfg.Plans[3].Price = 5, 0.2
	s := newScript(t, cfg, makeServers(2)...)
	for range 60 {
		for _, plan := range []int{0, 3} {
			id, a := s.submit(Submit{Plan: plan, Account: uint64(s.ids)})
			if p, ok := a.(PassOn); ok {
				s.handle(Outcome{ID: id, Server: p.Server, Result: Pass, SpentMs: 60, Done: true, Load: Load{Busy: -1}})
			}
		}
	}
	passed := map[int]int{}
	for i := range 200 {
		plan := []int{0, 3}[i%2]
		if _, a := s.submit(Submit{Plan: plan, Account: uint64(s.ids)}); a != nil {
			if _, ok := a.(PassOn); ok {
				passed[plan]++
			}
		}
	}
	if passed[0] <= passed[3] {
		t.Errorf("expensive plan %d, cheap plan %d of 100 each", passed[0], passed[3])
	}
}

// Idle accounts are dropped and start again with a full bucket.
func TestDropsIdleAccounts(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	for c := range 500 {
		s.admit(1, Submit{Account: uint64(c)})
	}
	s.now += 2 * accountIdleMs
	s.handle(Alarm{Handle: "tick"})
	if len(s.l.accounts) != 0 || len(s.l.accountList) != 0 || len(s.l.requests) != 0 {
		t.Errorf("%d accounts, %d in the list and %d requests are still stored", len(s.l.accounts), len(s.l.accountList), len(s.l.requests))
	}
	if got := s.admit(40, Submit{Account: 3}); got != 20 {
		t.Errorf("a dropped account got %d, want its burst of 20", got)
	}
}

// If clients mark their retries, a first attempt with an unusually short timeout has just begun and is admitted;
// for a retry the short timeout is the rest of an older deadline.
func TestFirstAttemptsWithShortTimeouts(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	pass := func(e Submit) bool {
		t.Helper()
		id, a := s.submit(e)
		p, ok := a.(PassOn)
		if ok {
			s.handle(Outcome{ID: id, Server: p.Server, Result: Pass, SpentMs: 20, Done: true, Load: Load{Busy: -1}})
		}
		s.now += 200
		return ok
	}
	for range 20 {
		pass(Submit{Plan: 3, ExpiresMs: 1000})
	}
	if pass(Submit{Plan: 3, ExpiresMs: 200}) {
		t.Error("while no retry is marked, a short timeout must count as the rest of a deadline")
	}
	if pass(Submit{Plan: 3, ExpiresMs: 200, Retry: true}) {
		t.Error("a late retry was admitted")
	}
	if !pass(Submit{Plan: 3, ExpiresMs: 200}) {
		t.Error("a first attempt with a short timeout was refused")
	}
}

// Accounts that come only once, here or by a peer's message, and servers that are replaced leave no state behind.
func TestStateIsBounded(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	for i := range 4000 {
		s.now += 20
		s.admit(1, Submit{Plan: i % 3, Account: uint64(1000 + i), Spread: 2})
		m := peerMsg{mark: 7, seq: uint64(i + 1), ageMs: uint64(s.now), entries: []peerEntry{
			{account: uint64(100000 + i), plan: uint64(i % 3), spread: 2, spent: 8, newlySpent: 8}}}
		data, _ := m.encode()
		s.handle(PeerMessage{From: 1, Data: data})
		if i%10 == 0 { // one server is replaced
			s.handle(Endpoints{Scope: Partial, Servers: []ServerInfo{{ID: uint64(100 + i), Weight: 1},
				{ID: uint64(90 + i), Phase: Removed}}})
			s.handle(Alarm{Handle: "tick"})
		}
	}
	if n := len(s.l.accounts); n > 3000 {
		t.Errorf("%d accounts are stored after 80 s of new ones, which are dropped after 15 s", n)
	}
	for range 3 {
		s.now += 2 * accountIdleMs
		s.handle(Alarm{Handle: "tick"})
	}
	if len(s.l.accounts)+len(s.l.accountList)+len(s.l.aggregated)+len(s.l.dirty)+len(s.l.requests) != 0 || s.l.poolOf(0).inflight != 0 {
		t.Errorf("%d accounts, %d in the list, %d aggregated, %d dirty, %d requests, %d in flight", len(s.l.accounts), len(s.l.accountList),
			len(s.l.aggregated), len(s.l.dirty), len(s.l.requests), s.l.poolOf(0).inflight)
	}
	if len(s.l.serversByID) != 5 || len(s.l.servers) != 5 {
		t.Errorf("%d servers, %d in the list, want 5", len(s.l.serversByID), len(s.l.servers))
	}
}

// A single message can't lock an account out for long nor raise it above its plan, and an account that was dropped
// here is not charged with all that a peer has ever admitted.
func TestBoundsPeerMessages(t *testing.T) {
	s := newScript(t, testSettings(), makeServers(4)...)
	s.admit(1, Submit{Account: 5, Spread: 2})
	send := func(e peerEntry, seq uint64, flags byte) {
		m := peerMsg{mark: 7, seq: seq, flags: flags, entries: []peerEntry{e}}
		data, _ := m.encode()
		s.handle(PeerMessage{From: 1, Data: data})
	}
	send(peerEntry{account: 5, spread: 2, spent: 1 << 40, newlySpent: 1 << 40}, 1, 0)
	s.now += 6500 // a little more than three bursts of 20 at 10 per second
	if got := s.admit(1, Submit{Account: 5, Spread: 2}); got != 1 {
		t.Error("locked out for longer than the limiters' bursts take to refill")
	}
	send(peerEntry{account: 5, level: 1 << 40, margin: 1 << 40}, 2, flagLevelUpdate)
	if c := s.l.accounts[5]; c.balance > 20 || c.margin > 20 {
		t.Errorf("balance %g, margin %g with a burst of 20", c.balance, c.margin)
	}
	send(peerEntry{account: 5, level: -1 << 40}, 3, flagLevelUpdate)
	if c := s.l.accounts[5]; c.balance < -41 { // two bursts and the last spending
		t.Errorf("balance %g", c.balance)
	}
	for range 5 {
		s.now += accountIdleMs
		s.handle(Alarm{Handle: "tick"})
	}
	if len(s.l.accounts) != 0 {
		t.Error("the account is still stored")
	}
	send(peerEntry{account: 5, spread: 2, spent: 1000 * unitScale, newlySpent: 2 * unitScale}, 4, 0)
	if c := s.l.accounts[5]; c == nil || c.balance != 18 {
		t.Errorf("after it was dropped: %+v", c)
	}
}
