package limiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// newAskLimiter returns a single limiter with two servers and one plan.
func newAskLimiter(t testing.TB, p Plan) *Limiter {
	t.Helper()
	l, err := New(Settings{Balancers: 1, Classes: []Class{{Repeat: Unsafe, AimMs: 300, DeadlineMs: 750, Worth: 1}},
		Plans: []Plan{p}, Caps: Caps{Attempts: 3, RetryAfter: true, MaxWaitMs: 500}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	l.Handle(1000, Endpoints{Scope: Complete, Servers: []ServerInfo{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}}})
	return l
}

// askGranted reports whether an Ask is granted, and checks that it has exactly one answer and starts no attempt.
func askGranted(t testing.TB, l *Limiter, now, units float64, lease bool) bool {
	t.Helper()
	granted, answers := false, 0
	for _, a := range l.Handle(now, Ask{Lease: lease, Submit: Submit{ID: "a", ExpiresMs: 750, Units: units, Account: 7, Spread: 1}}) {
		switch a := a.(type) {
		case Grant:
			granted = true
			answers++
		case Refuse:
			answers++
			if a.WaitMs <= 0 {
				t.Error("refused without a wait")
			}
		case PassOn:
			t.Error("an Ask was sent to a server")
		}
	}
	if answers != 1 {
		t.Errorf("%d answers", answers)
	}
	return granted
}

// submitPassed reports whether a request is sent to a server.
func submitPassed(l *Limiter, now, units, leased float64, id string) bool {
	return passedTo(l.Handle(now, Submit{ID: id, ExpiresMs: 750, Units: units, Account: 7, Spread: 1, Leased: leased})) != 0
}

// Asks and proxied requests spend from the same bucket.
func TestAskSharesTheBucket(t *testing.T) {
	l := newAskLimiter(t, Plan{Rate: 1, Burst: 10, Price: 1})
	for i := range 5 {
		if !askGranted(t, l, 20_000, 1, false) || !submitPassed(l, 20_000, 1, 0, fmt.Sprint(i)) {
			t.Fatalf("pair %d was refused", i)
		}
	}
	if askGranted(t, l, 20_000, 1, false) || submitPassed(l, 20_000, 1, 0, "x") {
		t.Error("admitted more than the bucket holds")
	}
	if !askGranted(t, l, 21_001, 1, false) {
		t.Error("refused after the refill")
	}
}

// Without a server that could answer, asks are refused as proxied requests are.
func TestAskUnderPressure(t *testing.T) {
	l := newAskLimiter(t, Plan{Rate: 100, Burst: 100, Price: 1})
	l.Handle(20_000, Endpoints{Scope: Complete})
	if askGranted(t, l, 20_000, 1, false) {
		t.Error("granted without a server")
	}
	if l.accounts[7].balance != 100 {
		t.Error("a refusal spent units")
	}
}

// Leased units keep their place in the buckets: an account that leases its whole balance is not refilled as much
// again while the leases are open.
func TestLeasesKeepTheirPlace(t *testing.T) {
	l := newAskLimiter(t, Plan{Rate: 10, Burst: 20, CeilingRate: 10, CeilingBurst: 20, Price: 1})
	for range 5 {
		if !askGranted(t, l, 60_000, 4, true) {
			t.Fatal("refused with room")
		}
	}
	for _, now := range []float64{60_000, 61_000, 90_000} {
		if askGranted(t, l, now, 1, false) || submitPassed(l, now, 1, 0, "m") {
			t.Errorf("at %g: admitted although the whole balance is leased", now)
		}
	}
	l.Handle(90_000, Settle{Account: 7, Units: 4, Refund: true})
	if !askGranted(t, l, 90_000, 4, false) || askGranted(t, l, 90_000, 1, false) {
		t.Error("the refund is not what was leased")
	}
	for range 9 { // more than was ever leased
		l.Handle(90_000, Settle{Account: 7, Units: 40, Refund: true})
	}
	if c := l.accounts[7]; c.leased != 0 || c.balance > 16+1e-9 || c.ceilingBalance > 16+1e-9 {
		t.Errorf("leased %g, balance %g, ceiling balance %g", c.leased, c.balance, c.ceilingBalance)
	}
	l.Handle(90_000, Settle{Account: 99, Units: 4, Refund: true}) // unknown account
}

// A request with a lease spends nothing more, and the lease is refunded if the request is refused.
func TestLeasedSubmit(t *testing.T) {
	l := newAskLimiter(t, Plan{Rate: 1, Burst: 10, CeilingRate: 1, CeilingBurst: 10, Price: 1})
	if !askGranted(t, l, 60_000, 4, true) || !askGranted(t, l, 60_000, 6, true) {
		t.Fatal("refused with room")
	}
	if !submitPassed(l, 60_000, 4, 4, "m") {
		t.Error("refused with a lease")
	}
	c := l.accounts[7]
	if c.leased != 6 || c.balance != 0 {
		t.Errorf("leased %g, balance %g", c.leased, c.balance)
	}
	l.Handle(60_000, Endpoints{Scope: Complete})
	if submitPassed(l, 60_000, 6, 6, "n") {
		t.Error("sent without a server")
	}
	if c.leased != 0 || c.balance != 6 || c.spent != 4 {
		t.Errorf("after the refusal: leased %g, balance %g, spent %g", c.leased, c.balance, c.spent)
	}
}

// A request that another limiter vouches for passes an exhausted quota and is charged all the same, but it does not
// pass an exhausted ceiling.
func TestVouched(t *testing.T) {
	l := newAskLimiter(t, Plan{Rate: 1, Burst: 4, CeilingRate: 1, CeilingBurst: 6, Price: 1})
	vouched := func(id string) bool {
		return passedTo(l.Handle(60_000, Submit{ID: id, ExpiresMs: 750, Units: 2, Account: 7, Spread: 1, QuotaChecked: true})) != 0
	}
	if !submitPassed(l, 60_000, 4, 0, "a") || submitPassed(l, 60_000, 2, 0, "b") {
		t.Fatal("the quota is not 4")
	}
	if !vouched("c") || l.accounts[7].balance != -2 || vouched("d") {
		t.Errorf("balance %g, ceiling balance %g", l.accounts[7].balance, l.accounts[7].ceilingBalance)
	}
}

// In any order of asks, requests, settlements and time, the requests that proceed never exceed the ceiling, which a
// separate bucket in the test checks.
func TestLeasesHoldTheCeiling(t *testing.T) {
	const rate, burst = 10.0, 20.0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 3))
		l := newAskLimiter(t, Plan{Rate: rate, Burst: burst, CeilingRate: rate, CeilingBurst: burst, Price: 1})
		now := 60_000.0
		level, at := burst, now // of the checking bucket
		use := func(units float64) {
			level, at = min(burst, level+(now-at)/1000*rate), now
			if level -= units; level < -1e-6 {
				t.Fatalf("seed %d: %g above the ceiling at %g", seed, -level, now)
			}
		}
		var leases []float64
		granted, refused := 0, 0
		for i := range 4000 {
			now += rng.ExpFloat64() * 60
			units := float64(1 + rng.IntN(5))
			id := fmt.Sprint(i)
			switch k := rng.IntN(6); {
			case k == 0:
				if submitPassed(l, now, units, 0, id) {
					use(units)
					l.Handle(now, Outcome{ID: id, Result: Pass, SpentMs: 5, Done: true})
				}
			case k == 1:
				if askGranted(t, l, now, units, false) {
					use(units)
				}
			case k == 2 || k == 3:
				if askGranted(t, l, now, units, true) {
					leases = append(leases, units)
					granted++
				} else {
					refused++
				}
			case len(leases) > 0 && k == 4: // the request of a lease
				u := leases[0]
				leases = leases[1:]
				if !submitPassed(l, now, u, u, id) {
					t.Fatalf("seed %d: refused with a lease", seed)
				}
				use(u)
				l.Handle(now, Outcome{ID: id, Result: Pass, SpentMs: 5, Done: true})
			case len(leases) > 0:
				last := len(leases) - 1
				l.Handle(now, Settle{Account: 7, Units: leases[last], Refund: true})
				leases = leases[:last]
			}
			out := 0.0
			for _, u := range leases {
				out += u
			}
			if c := l.accounts[7]; c != nil && math.Abs(c.leased-out) > 1e-6 {
				t.Fatalf("seed %d: %g leased, want %g", seed, c.leased, out)
			}
		}
		if granted < 50 || refused < 50 {
			t.Errorf("seed %d: %d leases granted, %d refused: too few for the test to be meaningful", seed, granted, refused)
		}
	}
}

// BenchmarkAsk compares an Ask with a proxied request.
func BenchmarkAsk(b *testing.B) {
	plan := Plan{Rate: 1e9, Burst: 1e9, Price: 1}
	b.Run("ask", func(b *testing.B) {
		l := newAskLimiter(b, plan)
		for now := 60_000.0; b.Loop(); now++ {
			l.Handle(now, Ask{Submit: Submit{ID: "a", ExpiresMs: 750, Units: 1, Account: 7, Spread: 1}})
		}
	})
	b.Run("carried", func(b *testing.B) {
		l := newAskLimiter(b, plan)
		for now := 60_000.0; b.Loop(); now++ {
			s := passedTo(l.Handle(now, Submit{ID: "a", ExpiresMs: 750, Units: 1, Account: 7, Spread: 1}))
			l.Handle(now, Outcome{ID: "a", Server: s, Result: Pass, SpentMs: 5, Done: true})
		}
	})
}
