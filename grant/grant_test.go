package grant

import (
	"errors"
	"math"
	"math/rand/v2"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

func id(n uint64) ID {
	var x ID
	for i := range 8 {
		x[i] = byte(n >> (8 * i))
	}
	return x
}

func TestLeaseEndsOnce(t *testing.T) {
	terms := Terms{Account: 7, Plan: 1, Class: 2, Units: 4}
	for e := Redeemed; e <= Moved; e++ {
		b := New(10)
		if err := b.Grant(id(1), terms, time.Second); err != nil {
			t.Fatal(err)
		}
		var err error
		switch e {
		case Redeemed:
			_, err = b.Redeem(999*time.Millisecond, id(1), Terms{Account: 7, Plan: 1, Class: 2, Units: 3})
		case Expired:
			b.Expire(time.Second, func(x Terms) {
				if x != terms {
					t.Errorf("expired with terms %v", x)
				}
			})
		default:
			_, err = b.End(0, id(1), e)
		}
		if err != nil || b.Count(e) != 1 || b.OpenCount() != 0 {
			t.Errorf("ended by reason %d: %v, counts %v", e, err, b.counts)
		}
		if _, err := b.Redeem(0, id(1), terms); !errors.Is(err, ErrUnknown) {
			t.Errorf("redeemed after it ended by reason %d: %v", e, err)
		}
		b.Expire(time.Hour, func(Terms) { t.Errorf("expired after it ended by reason %d", e) })
	}
}

// At exactly its expiry time a lease has expired, whichever call comes first.
func TestMomentOfExpiry(t *testing.T) {
	b := New(10)
	terms := Terms{Account: 7, Units: 1}
	b.Grant(id(1), terms, time.Second)
	if _, err := b.Redeem(time.Second, id(1), terms); !errors.Is(err, ErrUnknown) {
		t.Errorf("redeemed at its expiry: %v", err)
	}
	if _, err := b.End(time.Second, id(1), Cancelled); !errors.Is(err, ErrUnknown) {
		t.Errorf("cancelled at its expiry: %v", err)
	}
	n := 0
	b.Expire(time.Second, func(Terms) { n++ })
	if n != 1 {
		t.Errorf("expired %d times", n)
	}
}

func TestRefusals(t *testing.T) {
	b := New(2)
	terms := Terms{Account: 7, Plan: 1, Class: 2, Units: 4}
	b.Grant(id(1), terms, time.Second)
	if err := b.Grant(id(1), terms, time.Second); !errors.Is(err, ErrTaken) {
		t.Errorf("duplicate id: %v", err)
	}
	b.Grant(id(2), terms, time.Second)
	if err := b.Grant(id(3), terms, time.Second); !errors.Is(err, ErrFull) || b.HasRoom() {
		t.Errorf("more leases than the limit: %v", err)
	}
	for _, other := range []Terms{{8, 1, 2, 4}, {7, 0, 2, 4}, {7, 1, 0, 4}, {7, 1, 2, 4.5}} {
		if _, err := b.Redeem(0, id(1), other); !errors.Is(err, ErrTerms) {
			t.Errorf("redeemed with terms %v: %v", other, err)
		}
	}
	if b.OpenCount() != 2 {
		t.Error("a failed call ended a lease")
	}
}

// After any sequence of calls, the granted units equal the sum of the spent, the returned and the
// still leased units, and no lease ends twice.
func TestLedger(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := New(40)
		var granted, spent, returned, out float64
		now := time.Duration(0)
		for range 5000 {
			now += time.Duration(rng.IntN(20)) * time.Millisecond
			x := id(rng.Uint64N(300))
			terms := Terms{Account: rng.Uint64N(3), Units: float64(1 + rng.IntN(6))}
			switch rng.IntN(6) {
			case 0, 1:
				if b.Grant(x, terms, now+time.Duration(rng.IntN(1000))*time.Millisecond) == nil {
					granted += terms.Units
				}
			case 2:
				if l, err := b.Redeem(now, x, terms); err == nil {
					spent += l.Units
				}
			case 3:
				e := []EndReason{Confirmed, Cancelled, Moved}[rng.IntN(3)]
				if l, err := b.End(now, x, e); err == nil && e.ReturnsUnits() {
					returned += l.Units
				} else if err == nil {
					spent += l.Units
				}
			default:
				b.Expire(now, func(l Terms) { returned += l.Units })
			}
			out = 0
			for _, l := range b.leases {
				out += l.terms.Units
			}
			if math.Abs(granted-spent-returned-out) > 1e-9 || len(b.expiryQueue) != len(b.leases) || len(b.leases) > 40 {
				t.Fatalf("seed %d: granted %g, spent %g, returned %g, out %g", seed, granted, spent, returned, out)
			}
		}
	}
}

// A million expired leases leave no memory in use.
func TestFlatAfterManyExpired(t *testing.T) {
	b := New(1000)
	for i := range uint64(1_000_000) {
		now := time.Duration(i) * time.Millisecond
		b.Expire(now, func(Terms) {})
		if err := b.Grant(id(i), Terms{Units: 1}, now+500*time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	if b.OpenCount() > 501 || cap(b.expiryQueue) > 4096 {
		t.Errorf("%d leases are open, the queue has capacity %d", b.OpenCount(), cap(b.expiryQueue))
	}
}

func keys(names ...string) (k Keys) {
	for _, n := range names {
		k = append(k, Key{n, []byte(strings.Repeat(n, 16))})
	}
	return k
}

func TestToken(t *testing.T) {
	want := Token{Limiter: 3, Lease: id(99), Terms: Terms{Account: 1<<33 - 1, Plan: 2, Class: 1, Units: 2.5}, Until: time.UnixMilli(1_800_000_000_123)}
	text := keys("new", "old").Sign(want)
	if got, err := keys("new").Verify(text); err != nil || got != want {
		t.Fatalf("%v %v", got, err)
	}
	if _, err := keys("next", "new").Verify(text); err != nil {
		t.Errorf("after a new key was added: %v", err)
	}
	if _, err := keys("old", "next").Verify(text); !errors.Is(err, ErrToken) {
		t.Errorf("after its key was dropped: %v", err)
	}
	forged := Keys{{"new", []byte(strings.Repeat("x", 16))}}
	if _, err := forged.Verify(text); !errors.Is(err, ErrToken) {
		t.Errorf("another secret under the same id: %v", err)
	}
	for i := range text { // replace, insert or cut at each byte
		for _, bad := range []string{text[:i], text[:i] + "A" + text[i+1:], text[:i] + "~" + text[i+1:], text[:i] + "." + text[i:]} {
			if bad == text {
				continue
			}
			if got, err := keys("new").Verify(bad); err == nil {
				t.Fatalf("%q was accepted as %v", bad, got)
			}
		}
	}
	if _, err := keys("new").Verify(strings.Repeat(text, 9)); err == nil {
		t.Error("a token beyond the size limit was accepted")
	}
	for _, bad := range []Keys{nil, {{"", make([]byte, 16)}}, {{"a b", make([]byte, 16)}}, {{"a", make([]byte, 15)}}, append(keys("a"), keys("a")...)} {
		if bad.Check() == nil {
			t.Errorf("keys %v were accepted", bad)
		}
	}
	if err := keys("a", "b-2_").Check(); err != nil {
		t.Error(err)
	}
}

func TestWord(t *testing.T) {
	notice := RedeemNotice{}
	for i := range uint64(40) {
		notice.Leases = append(notice.Leases, id(i))
	}
	b := notice.Encode()
	got, ok := DecodeNotice(b)
	if !ok || len(b) > 256 || len(got.Leases) != MaxNoticeLeases || got.Leases[14] != id(14) {
		t.Errorf("%d bytes, %v %v", len(b), got, ok)
	}
	for _, bad := range [][]byte{nil, {NoticeMagic}, {NoticeMagic, 9}, {0x5c, 1}, b[:len(b)-1], append(b, 1, 2, 3)} {
		if _, ok := DecodeNotice(bad); ok {
			t.Errorf("datagram %v was accepted", bad)
		}
	}
}

func FuzzVerify(f *testing.F) {
	f.Add(keys("k").Sign(Token{}))
	f.Fuzz(func(t *testing.T, text string) {
		if tok, err := keys("k").Verify(text); err == nil && keys("k").Sign(tok) != text {
			t.Errorf("%q was accepted, but signing it again gives another text", text)
		}
	})
}

// BenchmarkLease grants and redeems leases, and reports the memory per open lease.
func BenchmarkLease(b *testing.B) {
	const open = 200_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	book := New(2 * open)
	for i := range uint64(open) {
		book.Grant(id(i), Terms{Units: 1}, time.Duration(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	n := uint64(open)
	for b.Loop() {
		book.Grant(id(n), Terms{Units: 1}, time.Duration(n)+time.Hour)
		book.Redeem(0, id(n), Terms{Units: 1})
		n++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/open, "B/lease")
	runtime.KeepAlive(book)
}

// A Desk remembers an attempt until its expiry, vouches once for a token of another limiter and
// sends one notice for it; each notice ends a lease only once.
func TestDesk(t *testing.T) {
	terms := Terms{Account: 7, Plan: 1, Class: 2, Units: 2}
	n0, n1 := NewLeaseManager(0, 3, 10), NewLeaseManager(1, 3, 10)
	try := Attempt{"p", "x", terms}
	n0.RecordGrant(0, try, "token", time.Second)
	if text, again := n0.FindRepeat(999*time.Millisecond, try); !again || text != "token" {
		t.Errorf("repeated attempt: %q %v", text, again)
	}
	for _, other := range []Attempt{{"q", "x", terms}, {"p", "y", terms}, {"p", "x", Terms{Account: 7, Plan: 1, Class: 2, Units: 3}}} {
		if _, again := n0.FindRepeat(0, other); again {
			t.Errorf("attempt %v was treated as a repetition of another", other)
		}
	}
	if _, again := n0.FindRepeat(time.Second, try); again {
		t.Error("the attempt is remembered after its expiry")
	}
	token := Token{Limiter: 0, Lease: id(1), Terms: terms}
	if err := n0.Leases().Grant(id(1), terms, 2*time.Second); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		token Token
		left  time.Duration
		terms Terms
	}{
		{token, 0, terms}, {token, -time.Second, terms}, {token, MaxLease + MaxClockSkew + 1, terms},
		{token, time.Second, Terms{Account: 8, Plan: 1, Class: 2, Units: 2}}, {token, time.Second, Terms{Account: 7, Plan: 1, Class: 2, Units: 2.5}},
		{Token{Limiter: 3, Lease: id(1), Terms: terms}, time.Second, terms},
	} {
		if leased, vouched := n1.Redeem(0, c.token, c.left, c.terms); leased != 0 || vouched {
			t.Errorf("%+v: leased %g, vouched %v", c, leased, vouched)
		}
	}
	vouched := 0
	for range 100 { // the longest validity allows for a clock that is half a minute behind
		if _, yes := n1.Redeem(0, token, 2*time.Second+MaxClockSkew, terms); yes {
			vouched++
		}
	}
	var notices [][]byte
	n1.SendNotices(func(to int, data []byte) {
		if to != 0 {
			t.Errorf("notice sent to limiter %d", to)
		}
		notices = append(notices, data)
	})
	n1.SendNotices(func(int, []byte) { t.Error("a notice was sent twice") })
	if vouched != 1 || len(notices) != 1 {
		t.Fatalf("vouched %d times, sent %d notices", vouched, len(notices))
	}
	ended := 0
	for range 3 {
		n0.Heard(0, notices[0], func(Terms) { ended++ })
	}
	n0.Heard(0, []byte("noise"), func(Terms) { ended++ })
	if leased, _ := n0.Redeem(0, token, time.Second, terms); ended != 1 || leased != 0 {
		t.Errorf("the lease ended %d times, then redeemed %g units", ended, leased)
	}
}

// The number of remembered attempts and of pending notices is bounded.
func TestDeskIsBounded(t *testing.T) {
	d := NewLeaseManager(0, 2, 10)
	for i := range uint64(2 * maxRemembered) {
		d.RecordGrant(time.Duration(i), Attempt{"p", strconv.FormatUint(i, 16), Terms{}}, "", time.Hour)
		d.Redeem(time.Duration(i), Token{Limiter: 1, Lease: id(i)}, time.Minute, Terms{})
	}
	if len(d.remembered) > maxRemembered || d.ageOrder.Len() > maxRemembered || len(d.pendingNotices[1]) > maxQueuedLeases {
		t.Errorf("%d remembered, %d pending", len(d.remembered), len(d.pendingNotices[1]))
	}
}
