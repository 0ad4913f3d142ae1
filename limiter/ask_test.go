package limiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// asker is a limiter of one, with servers and a plan with a ceiling.
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

// ask tells whether an Ask is granted, and that nothing else came of it.
func askGranted(t testing.TB, l *Limiter, now, units float64, lease bool) bool {
	t.Helper()
	granted, answers := false, 0
	for _, a := range l.Handle(now, Ask{Lease: lease, Submit: Submit{ID: "a", ExpiresMs: 750, Units: units, Customer: 7, Spread: 1}}) {
		switch a := a.(type) {
		case Grant:
			granted = true
			answers++
		case Refuse:
			answers++
			if a.WaitMs <= 0 {
				t.Error("refused without advice")
			}
		case PassOn:
			t.Error("an ask was sent on")
		}
	}
	if answers != 1 {
		t.Errorf("%d answers", answers)
	}
	return granted
}

func submitPassed(l *Limiter, now, units, leased float64, id string) bool {
	return passedTo(l.Handle(now, Submit{ID: id, ExpiresMs: 750, Units: units, Customer: 7, Spread: 1, Leased: leased})) != 0
}

// Asked and carried requests draw from the same bucket.
func TestAskSharesTheBucket(t *testing.T) {
	l := newAskLimiter(t, Plan{Rate: 1, Burst: 10, Price: 1})
	for i := range 5 {
		if !askGranted(t, l, 20_000, 1, false) || !submitPassed(l, 20_000, 1, 0, fmt.Sprint(i)) {
			t.Fatalf("pair %d was refused", i)
		}
	}
	if askGranted(t, l, 20_000, 1, false) || submitPassed(l, 20_000, 1, 0, "x") {
		t.Error("more than the bucket holds")
	}
	if !askGranted(t, l, 21_001, 1, false) {
		t.Error("refused after the refill")
	}
}

// With no server that could answer, asks are refused as carried requests are.
func TestAskUnderPressure(t *testing.T) {
	l := newAskLimiter(t, Plan{Rate: 100, Burst: 100, Price: 1})
	l.Handle(20_000, Endpoints{Scope: Complete})
	if askGranted(t, l, 20_000, 1, false) {
		t.Error("granted with no server")
	}
	if l.accounts[7].balance != 100 {
		t.Error("a refusal took units")
	}
}

// What is leased keeps its place: an account that leases its whole store does not
// get as much again while the leases are out.
func TestLeasesKeepTheirPlace(t *testing.T) {
	l := newAskLimiter(t, Plan{Rate: 10, Burst: 20, CeilingRate: 10, CeilingBurst: 20, Price: 1})
	for range 5 {
		if !askGranted(t, l, 60_000, 4, true) {
			t.Fatal("refused with room")
		}
	}
	for _, now := range []float64{60_000, 61_000, 90_000} {
		if askGranted(t, l, now, 1, false) || submitPassed(l, now, 1, 0, "m") {
			t.Errorf("at %g: passed beside a store that is leased whole", now)
		}
	}
	l.Handle(90_000, Settle{Customer: 7, Units: 4, Back: true})
	if !askGranted(t, l, 90_000, 4, false) || askGranted(t, l, 90_000, 1, false) {
		t.Error("what came back is not what was leased")
	}
	for range 9 { // more than was ever leased
		l.Handle(90_000, Settle{Customer: 7, Units: 40, Back: true})
	}
	if c := l.accounts[7]; c.leased != 0 || c.balance > 16+1e-9 || c.ceilingBalance > 16+1e-9 {
		t.Errorf("leased %g, balance %g, part %g", c.leased, c.balance, c.ceilingBalance)
	}
	l.Handle(90_000, Settle{Customer: 99, Units: 4, Back: true}) // nobody knows it
}

// A message with a lease takes nothing further, and gives it back if it is refused.
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
		t.Error("sent with no server")
	}
	if c.leased != 0 || c.balance != 6 || c.spent != 4 {
		t.Errorf("after the refusal: leased %g, balance %g, spent %g", c.leased, c.balance, c.spent)
	}
}

// A message that another gateway vouches for passes a quota that is short, pays all the
// same, and does not pass the ceiling.
func TestVouched(t *testing.T) {
	l := newAskLimiter(t, Plan{Rate: 1, Burst: 4, CeilingRate: 1, CeilingBurst: 6, Price: 1})
	vouched := func(id string) bool {
		return passedTo(l.Handle(60_000, Submit{ID: id, ExpiresMs: 750, Units: 2, Customer: 7, Spread: 1, Vouched: true})) != 0
	}
	if !submitPassed(l, 60_000, 4, 0, "a") || submitPassed(l, 60_000, 2, 0, "b") {
		t.Fatal("the quota is not 4")
	}
	if !vouched("c") || l.accounts[7].balance != -2 || vouched("d") {
		t.Errorf("balance %g, part %g", l.accounts[7].balance, l.accounts[7].ceilingBalance)
	}
}

// In any order of asks, messages, settlements and time, what goes, when it goes,
// never passes the ceiling: it is a bucket by itself. A ledger checks it.
func TestLeasesHoldTheCeiling(t *testing.T) {
	const rate, burst = 10.0, 20.0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 3))
		l := newAskLimiter(t, Plan{Rate: rate, Burst: burst, CeilingRate: rate, CeilingBurst: burst, Price: 1})
		now := 60_000.0
		level, at := burst, now // the ledger's bucket
		use := func(units float64) {
			level, at = min(burst, level+(now-at)/1000*rate), now
			if level -= units; level < -1e-6 {
				t.Fatalf("seed %d: %g over the ceiling at %g", seed, -level, now)
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
			case len(leases) > 0 && k == 4: // its message
				u := leases[0]
				leases = leases[1:]
				if !submitPassed(l, now, u, u, id) {
					t.Fatalf("seed %d: refused with a lease", seed)
				}
				use(u)
				l.Handle(now, Outcome{ID: id, Result: Pass, SpentMs: 5, Done: true})
			case len(leases) > 0:
				last := len(leases) - 1
				l.Handle(now, Settle{Customer: 7, Units: leases[last], Back: true})
				leases = leases[:last]
			}
			out := 0.0
			for _, u := range leases {
				out += u
			}
			if c := l.accounts[7]; c != nil && math.Abs(c.leased-out) > 1e-6 {
				t.Fatalf("seed %d: %g leased, the ledger has %g", seed, c.leased, out)
			}
		}
		if granted < 50 || refused < 50 {
			t.Errorf("seed %d: %d leases granted, %d refused: the test tests little", seed, granted, refused)
		}
	}
}

// BenchmarkAsk is an ask beside a carried request.
func BenchmarkAsk(b *testing.B) {
	plan := Plan{Rate: 1e9, Burst: 1e9, Price: 1}
	b.Run("ask", func(b *testing.B) {
		l := newAskLimiter(b, plan)
		for now := 60_000.0; b.Loop(); now++ {
			l.Handle(now, Ask{Submit: Submit{ID: "a", ExpiresMs: 750, Units: 1, Customer: 7, Spread: 1}})
		}
	})
	b.Run("carried", func(b *testing.B) {
		l := newAskLimiter(b, plan)
		for now := 60_000.0; b.Loop(); now++ {
			s := passedTo(l.Handle(now, Submit{ID: "a", ExpiresMs: 750, Units: 1, Customer: 7, Spread: 1}))
			l.Handle(now, Outcome{ID: "a", Server: s, Result: Pass, SpentMs: 5, Done: true})
		}
	})
}
