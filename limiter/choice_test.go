package limiter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// manyServers returns a limiter with n servers in cells of six.
func manyServers(t testing.TB, n int) *Limiter {
	t.Helper()
	l, err := New(Settings{Balancers: 1, Classes: []Class{
		{Repeat: Safe, AimMs: 300, DeadlineMs: 750, Worth: 1}, {Repeat: Keyed, Group: GroupCell, WindowMs: 1000, AimMs: 300, DeadlineMs: 750, Worth: 1}},
		Plans: []Plan{{Rate: 1e6, Burst: 1e6, Price: 1}}, Caps: Caps{Attempts: 3, Cancel: true}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	e := Endpoints{Scope: Complete}
	for i := range n {
		e.Servers = append(e.Servers, ServerInfo{ID: uint64(i + 1), Cell: i / 6, Weight: 1})
	}
	l.Handle(1000, e)
	return l
}

// passedTo returns the server that a request was sent to, or 0.
func passedTo(actions []Action) uint64 {
	for _, a := range actions {
		if p, ok := a.(PassOn); ok {
			return p.Server
		}
	}
	return 0
}

// With many servers only a sample is compared for each choice, yet all get their share of the requests, and the
// only usable server is found.
func TestManyServers(t *testing.T) {
	const n = 500
	l := manyServers(t, n)
	counts := map[uint64]int{}
	now := 1000.0
	var open []string
	servers := map[string]uint64{}
	for i := range 20 * n {
		now++
		id := fmt.Sprint("r", i)
		s := passedTo(l.Handle(now, Submit{ID: id, ExpiresMs: 750, Units: 1, Account: 1, Spread: 1}))
		if s == 0 {
			t.Fatalf("request %d was not sent", i)
		}
		counts[s]++
		open, servers[id] = append(open, id), s
		if len(open) > 200 {
			l.Handle(now, Outcome{ID: open[0], Server: servers[open[0]], Result: Pass, SpentMs: 200, Done: true})
			open = open[1:]
		}
	}
	for s := uint64(1); s <= n; s++ {
		if counts[s] < 4 || counts[s] > 80 {
			t.Errorf("server %d got %d of %d requests", s, counts[s], 20*n)
		}
	}
	e := Endpoints{Scope: Partial}
	for i := range n {
		if i != 321 {
			e.Servers = append(e.Servers, ServerInfo{ID: uint64(i + 1), Cell: i / 6, Weight: 1, Phase: Draining})
		}
	}
	l.Handle(now, e)
	for i := range 20 {
		id := fmt.Sprint("s", i)
		if s := passedTo(l.Handle(now, Submit{ID: id, ExpiresMs: 750, Units: 1, Account: 1, Spread: 1})); s != 322 {
			t.Fatalf("sent to %d with only 322 left", s)
		}
		l.Handle(now, Outcome{ID: id, Server: 322, Result: Pass, SpentMs: 200, Done: true})
	}
}

// A keyed request that may have run is retried only at the few servers that know its key, however many servers
// there are.
func TestManyServersKeyed(t *testing.T) {
	l := manyServers(t, 600)
	for i := range 50 {
		id := fmt.Sprint("k", i)
		first := passedTo(l.Handle(1000, Submit{ID: id, ExpiresMs: 750, Units: 1, Class: 1, Account: 1, Spread: 1}))
		second := passedTo(l.Handle(1010, Outcome{ID: id, Server: first, Result: Cut, SpentMs: 10}))
		if second == 0 && i < 5 { // while the retry budget lasts
			t.Fatalf("request %d was not sent again", i)
		}
		if second != 0 && ((first-1)/6 != (second-1)/6 || first == second) {
			t.Fatalf("sent to %d after %d", second, first)
		}
	}
}

// The server list stays sorted and without duplicates, whatever the order of updates.
func TestListStaysInOrder(t *testing.T) {
	l := manyServers(t, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	there := map[uint64]bool{}
	for range 2000 {
		id := 1 + rng.Uint64N(100)
		info := ServerInfo{ID: id, Weight: 1, Phase: Phase(rng.IntN(3)), ReadyAt: float64(rng.IntN(2))}
		l.Handle(1000, Endpoints{Scope: Partial, Servers: []ServerInfo{info, info}})
		there[id] = info.Phase != Removed
		var ids []uint64
		for _, s := range l.servers {
			ids = append(ids, s.info.ID)
			if l.serversByID[s.info.ID] != s {
				t.Fatalf("server %d in the list is another record", s.info.ID)
			}
		}
		n := 0
		for _, up := range there {
			if up {
				n++
			}
		}
		if !slices.IsSorted(ids) || len(slices.Compact(ids)) != n || len(l.servers) != n || len(l.serversByID) != n {
			t.Fatalf("%d servers, %d in the list, want %d: %v", len(l.serversByID), len(l.servers), n, ids)
		}
	}
}

// BenchmarkChoice measures a request with increasing numbers of servers.
func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := manyServers(b, n)
			now := 1000.0
			for b.Loop() {
				now++
				s := passedTo(l.Handle(now, Submit{ID: "r", ExpiresMs: 750, Units: 1, Account: 1, Spread: 1}))
				l.Handle(now, Outcome{ID: "r", Server: s, Result: Pass, SpentMs: 40, Done: true})
			}
		})
	}
}

// BenchmarkTiers measures one request from start to end, with all servers alike and in two tiers, and a tick, which
// visits each server.
func BenchmarkTiers(b *testing.B) {
	for _, n := range []int{12, 120, 1200} {
		for _, kind := range []string{"alike", "tiers", "returning"} {
			set := func(b *testing.B) (*Limiter, float64) {
				cfg := testSettings()
				cfg.Plans = []Plan{{Rate: 1e9, Burst: 1e9, Price: 1}}
				if cfg.Balancers = 3; kind != "alike" {
					cfg.Spills = map[uint64][]float64{0: {0.3, 0}}
				}
				l, err := New(cfg, 1)
				if err != nil {
					b.Fatal(err)
				}
				infos := makeServers(n)
				for i := range infos {
					infos[i].Tier = i % 2
				}
				l.Handle(1000, Endpoints{Scope: Persisted, Servers: infos})
				l.Handle(1050, Alarm{Handle: "tick"})
				if kind == "returning" {
					for _, s := range l.servers {
						s.down = s.info.Tier == 0
					}
					l.Handle(1100, Alarm{Handle: "tick"})
					for _, s := range l.servers {
						s.down = false
					}
					l.Handle(1150, Alarm{Handle: "tick"})
				}
				return l, 1200
			}
			b.Run(fmt.Sprintf("request/servers=%d/%s", n, kind), func(b *testing.B) {
				l, now := set(b)
				b.ReportAllocs()
				for k := range b.N {
					now += 0.01
					id := fmt.Sprint(k)
					for _, a := range l.Handle(now, Submit{ID: id, ExpiresMs: 900, Units: 1, Account: uint64(k % 300), Spread: 3}) {
						if p, ok := a.(PassOn); ok {
							l.Handle(now, Outcome{ID: id, Server: p.Server, Result: Pass, SpentMs: 20, Done: true})
							break
						}
					}
				}
			})
			b.Run(fmt.Sprintf("tick/servers=%d/%s", n, kind), func(b *testing.B) {
				l, now := set(b)
				for range b.N {
					now += 50
					l.Handle(now, Alarm{Handle: "tick"})
				}
			})
		}
	}
}

// A report that a server's slots are used keeps requests away from it while another server has free ones. A report of
// free slots has no effect, and a later report replaces an earlier one.
func TestOccupiedServersWait(t *testing.T) {
	countSends := func(occupancies ...Occupancy) map[uint64]int {
		s := newScript(t, testSettings(), makeServers(2)...)
		s.handle(Occupancies{Servers: occupancies})
		got := map[uint64]int{}
		for range 40 {
			id, a := s.submit(Submit{Account: 5})
			p, ok := a.(PassOn)
			if !ok {
				t.Fatalf("%#v", a)
			}
			got[p.Server]++
			s.handle(Outcome{ID: id, Server: p.Server, Result: Pass, SpentMs: 100, Done: true})
			s.now += 200
		}
		return got
	}
	if n := countSends(Occupancy{1, 2, 2}, Occupancy{99, 1, 1}); n[1] > 0 {
		t.Errorf("a full server gets %d of 40", n[1])
	}
	if with, without := countSends(Occupancy{1, 1, 2}), countSends(); with[1] != without[1] {
		t.Errorf("a server with a free slot gets %d, %d without reports", with[1], without[1])
	}
	if with, without := countSends(Occupancy{1, 9, 2}, Occupancy{1, 0, 2}), countSends(); with[1] != without[1] {
		t.Errorf("a server whose slots became free gets %d, %d without reports", with[1], without[1])
	}
	if with, without := countSends(Occupancy{1, -9, 2}, Occupancy{2, 5, 0}), countSends(); with[1] != without[1] {
		t.Errorf("with an invalid report %d, %d without reports", with[1], without[1])
	}
}
