package places

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// limiters returns places for the limiters with numbers from (inclusive) to (exclusive), in alternating zones.
func limiters(from, to int) (all []Place) {
	for i := from; i < to; i++ {
		all = append(all, Place{Name: fmt.Sprint("e", i), IP: fmt.Sprint(i), Zone: fmt.Sprint("z", i%2)})
	}
	return all
}

// shares returns the shares of all slots.
func shares(t *Table) (all []float64) {
	sets := t.SetsInUse()
	for slot := range t.Places {
		all = append(all, Share(sets, slot))
	}
	return all
}

// Until a change is settled, a limiter that joins has no share, and the share of one that leaves is not
// redistributed.
func TestSharesThroughChanges(t *testing.T) {
	var x Table
	check := func(what string, want ...float64) {
		t.Helper()
		if d := cmp.Diff(want, shares(&x)); d != "" {
			t.Errorf("%s: %s", what, d)
		}
	}
	x.Join(1, 1, limiters(0, 4))
	check("all join an empty table", .25, .25, .25, .25)
	x.Join(2, 2, limiters(4, 5))
	check("one more joins", .2, .2, .2, .2, 0)
	x.Settle(2)
	check("the join is settled", .2, .2, .2, .2, .2)
	x.Release(3, []string{"e1@1", "e3@3", "e9@9"})
	check("two leave", .2, 0, .2, 0, .2)
	if d := cmp.Diff([]string{"e0@0", "e1@1", "e2@2", "e3@3", "e4@4"}, x.HoldersBefore(3)); d != "" {
		t.Error(d)
	}
	x.Join(4, 4, limiters(1, 2))
	check("one of them returns before the release is settled", .2, .2, .2, 0, .2)
	x.Join(5, 5, limiters(5, 7))
	check("two more join", 1./6, 1./6, 1./6, 0, 1./6, 0, 0)
	x.Settle(5)
	check("all changes are settled", 1./6, 1./6, 1./6, 0, 1./6, 1./6, 1./6)
	x.Join(6, 6, limiters(7, 8))
	if x.Places[3].Name != "e7" || len(x.UnsettledVersions()) != 1 {
		t.Errorf("a free slot was not reused: %+v", x.Places)
	}
	if n, near := x.HeldCount(), x.MaxInZone("z1"); n != 7 || near != 3 {
		t.Errorf("%d limiters hold places, want 7; %d in zone z1, want 3", n, near)
	}
	x.Join(7, 7, []Place{{Name: "e7", IP: "70", Zone: "z1"}, {Name: "e8", IP: "0", Zone: "z1"}})
	if a, b := x.SlotOf("e0", "0"), x.SlotOf("e8", "0"); a < 0 || b < 0 || a == b {
		t.Errorf("two limiters that share an address hold slots %d and %d, want two different slots", a, b)
	}
	if got := x.SlotOf("e7", "7"); got >= 0 {
		t.Errorf("the former machine of a name still holds slot %d", got)
	}
}

// A lease ends a fixed time after the latest proof, and much sooner if the proof dates from before the process
// began.
func TestLease(t *testing.T) {
	var l Lease
	if l.Valid(0) {
		t.Error("the zero lease is valid")
	}
	began := time.Minute
	l.Renew(began-time.Second, began)
	if l.End() != began-time.Second+provisionalLeaseLength {
		t.Errorf("proof from before the process began: lease ends at %v", l.End())
	}
	l.Renew(began+time.Second, began)
	if l.Renew(began, began) || !l.Valid(began+time.Second+LeaseLength-1) || l.Valid(began+time.Second+LeaseLength) {
		t.Errorf("lease ends at %v", l.End())
	}
	if slow := float64(LeaseLength) * (1 + 2*ClockDrift); float64(allLeasesExpireWithin) <= slow {
		t.Errorf("a lease lasts %v by a slow clock, but a fast clock considers it expired after %v", slow, allLeasesExpireWithin)
	}
}

// A change is settled once all holders of shares have acknowledged it and the loans of their shares have ended,
// or once their leases must have expired.
func TestSettler(t *testing.T) {
	var x Table
	s := NewAckTracker()
	x.Join(1, 1, limiters(0, 3))
	s.Add(0, x, 1)
	x.Release(2, []string{"e2@2"})
	now := 10 * time.Second
	s.Add(now, x, 2)
	x.Release(3, []string{"e1@1"})
	s.Add(now+time.Second, x, 3)
	due := func(at time.Duration, want uint64) {
		t.Helper()
		if got, _ := s.Due(at, x); got != want {
			t.Errorf("settled up to %d after %v, want %d", got, at-now, want)
		}
	}
	s.Receive(now, Acknowledgement{Holder: "e0@0", Version: 3})
	s.Receive(now, Acknowledgement{Holder: "e1@1", Version: 2})
	due(now+minAckWait, 0)
	s.Receive(now, Acknowledgement{Holder: "e2@2", Version: 3, InMs: 5000})
	due(now+minAckWait, 0)
	due(now+5*time.Second-1, 0)
	due(now+5*time.Second, 2)
	s.Receive(now+5*time.Second, Acknowledgement{Holder: "e1@1", Version: 3, InMs: 2000})
	due(now+6*time.Second, 2)
	// Another registry that receives these acknowledgements decides the same.
	other := NewAckTracker()
	other.Add(now, x, 3)
	for _, a := range s.Acknowledgements(now+6*time.Second, []string{"e0@0", "e1@1", "e2@2"}) {
		other.Receive(now+6*time.Second, a)
	}
	if got, _ := other.Due(now+6*time.Second, x); got != 2 {
		t.Errorf("another registry considers the table settled up to %d, want 2", got)
	}
	due(now+7*time.Second, 3)
	if got, _ := other.Due(now+8*time.Second, x); got != 3 {
		t.Errorf("another registry later considers the table settled up to %d, want 3", got)
	}
	silent := NewAckTracker()
	silent.Add(now, x, 3)
	if _, ok := silent.Due(now+allLeasesExpireWithin-1, x); ok {
		t.Error("settled before all leases have expired")
	}
	if got, _ := silent.Due(now+allLeasesExpireWithin, x); got != 3 {
		t.Error("not settled although all leases have expired")
	}
}

// A place is released after its holder has been silent, but not by a registry that is cut off. Being cut off
// restarts the period of silence.
func TestAbsences(t *testing.T) {
	var x Table
	x.Join(1, 1, limiters(0, 2))
	a := NewAbsenceTracker()
	present := func(holder string) bool { return holder == "e0@0" }
	update := func(at time.Duration, cutOff bool) []string { return a.Update(at, x, cutOff, present) }
	update(0, false)
	if got := update(ReleaseAfterSilence-1, false); got != nil {
		t.Error(got)
	}
	update(ReleaseAfterSilence-1, true)
	if got := update(ReleaseAfterSilence, false); got != nil {
		t.Errorf("%v released for silence from before the registry was cut off", got)
	}
	if d := cmp.Diff([]string{"e1@1"}, update(2*ReleaseAfterSilence, false)); d != "" {
		t.Error(d)
	}
}

// Applying the difference of two tables gives the newer one, for random changes.
func TestDelta(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var x Table
	x.Join(1, 1, limiters(0, 5))
	for v := uint64(2); v < 300; v++ {
		before := append([]Place(nil), x.Places...)
		randomChange(rng, &x, v)
		d := Difference(before, x.Places)
		after, ok := d.Apply(before)
		if diff := cmp.Diff(x.Places, after); !ok || diff != "" {
			t.Fatal(diff)
		}
	}
	for _, d := range []Delta{{Size: -1}, {Size: maxSlots + 1}, {Size: 1, Changed: map[int]Place{1: {}}}, {Size: 1, Changed: map[int]Place{-1: {}}}} {
		if _, ok := d.Apply(nil); ok {
			t.Errorf("invalid delta %+v was accepted", d)
		}
	}
}

// randomChange makes a random join, release or settlement with the table of a version.
func randomChange(rng *rand.Rand, x *Table, version uint64) {
	k := rng.IntN(12)
	switch rng.IntN(5) {
	case 0, 1:
		x.Join(version, version, limiters(k, k+1+rng.IntN(2)))
	case 2, 3:
		x.Release(version, []string{HolderOf(fmt.Sprint("e", k), fmt.Sprint(k))})
	default:
		x.Settle(x.Settled + uint64(rng.IntN(int(version-x.Settled))))
	}
}

var tableSeeds = flag.Uint64("places.seeds", 300, "number of random table histories to check")

// Whichever tables from the settled one on the limiters use, the sum of their shares never exceeds one.
func TestSharesNeverComeToMoreThanOne(t *testing.T) {
	for seed := range *tableSeeds {
		rng := rand.New(rand.NewPCG(seed, 2))
		var tables []Table // by version
		var x Table
		x.Join(1, 1, limiters(0, 1+rng.IntN(6)))
		tables = append(tables, Table{}, x)
		for v := uint64(2); v < 60; v++ {
			x.Places = append([]Place(nil), x.Places...)
			if rng.IntN(4) == 0 { // settle only what nobody uses any more; here that may be the whole past
				x.Settle(v - 1)
			} else {
				randomChange(rng, &x, v)
			}
			tables = append(tables, x)
			// Each holder uses any table from the oldest that may be in use to the newest.
			oldest := x.Settled
			for range 8 {
				least := oldest + uint64(rng.IntN(int(v-oldest)+1))
				sum := 0.0
				for k := range 14 {
					by := least + uint64(rng.IntN(int(v-least)+1))
					y := tables[by]
					if slot := y.SlotOf(fmt.Sprint("e", k), fmt.Sprint(k)); slot >= 0 {
						sum += Share(y.SetsInUse(), slot)
					}
				}
				if sum > 1+1e-9 {
					t.Fatalf("seed %d, version %d, oldest in use %d: the sum of all shares is %g", seed, v, least, sum)
				}
			}
		}
	}
}

// The table does not grow over 30 days if 1,900 limiters are replaced per day and 760 hold places at any time.
func TestTableStaysBounded(t *testing.T) {
	const holders, replaced, days = 760, 1900, 30
	var x Table
	x.Join(1, 1, limiters(0, holders))
	version, next := uint64(1), holders
	rng := rand.New(rand.NewPCG(3, 3))
	names := make([]int, holders)
	for i := range names {
		names[i] = i
	}
	most := 0
	for range days * replaced {
		k := rng.IntN(holders)
		version++
		x.Release(version, []string{HolderOf(fmt.Sprint("e", names[k]), fmt.Sprint(names[k]))})
		version++
		x.Join(version, version, limiters(next, next+1))
		names[k], next = next, next+1
		if rng.IntN(3) == 0 { // settle a third of the replacements at once, and the others soon after
			x.Settle(version)
		}
		most = max(most, len(x.Places))
	}
	if most > holders+30 || x.HeldCount() != holders {
		t.Errorf("%d slots for %d limiters, %d of them held", most, holders, x.HeldCount())
	}
	x.Settle(version)
	sum := 0.0
	for _, share := range shares(&x) {
		sum += share
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Errorf("the shares of all holders add up to %g, want 1", sum)
	}
}

// A registry requests a join for limiters without a place, a release for limiters that have stopped (at once)
// or are silent (after a while), and a settlement for versions that all have acknowledged to some registry.
func TestRegistrar(t *testing.T) {
	var x Table
	r, other := NewRegistrar(), NewRegistrar()
	present := map[string]bool{}
	due := func(now time.Duration) Changes {
		return r.Due(now, x, false, func(holder string) bool { return present[holder] })
	}
	all := limiters(0, 3)
	for _, p := range all {
		present[p.Holder()] = true
		if !r.Receive(0, x, Report{Place: p}) {
			t.Errorf("no change is due for %s, which has no place", p.Name)
		}
	}
	if d := cmp.Diff(Changes{Join: all}, due(0)); d != "" {
		t.Error(d)
	}
	x.Join(1, 1, all)
	r.Add(0, x, 1)
	if c := due(0); !c.Empty() || r.Awaited(time.Hour, x) != nil {
		t.Errorf("%+v is due although all limiters hold their places", c)
	}
	for _, p := range all[:2] {
		r.Receive(time.Second, x, Report{Place: p, Version: 1, Done: p.Name == "e1"})
	}
	if d := cmp.Diff(Changes{Release: []string{"e1@1"}}, due(time.Second)); d != "" {
		t.Error(d)
	}
	x.Release(2, []string{"e1@1"})
	r.Add(time.Second, x, 2)
	other.Add(time.Second, x, 2)
	for _, p := range all[:2] {
		r.Receive(2*time.Second, x, Report{Place: p, Version: 2, Done: p.Name == "e1"})
	}
	other.Receive(2*time.Second, x, Report{Place: all[2], Version: 2})
	if c := due(5 * time.Second); !c.Empty() {
		t.Errorf("%+v is due before all acknowledgements are known", c)
	}
	if state, left, missing := r.PendingChange(5*time.Second, x, &x.Places[1]); state != "released" || left <= 0 || !cmp.Equal(missing, []string{"e2@2"}) {
		t.Errorf("state %s, %v left, missing acknowledgements from %v", state, left, missing)
	}
	if d := cmp.Diff([]string{"e2@2"}, r.Awaited(5*time.Second, x)); d != "" || r.Awaited(2*time.Second, x) != nil {
		t.Errorf("wrong holders awaited: %s", d)
	}
	r.ReceiveAcknowledgements(5*time.Second, other.Acknowledgements(5*time.Second, []string{"e2@2"}))
	if d := cmp.Diff(Changes{Settle: 2}, due(5*time.Second)); d != "" {
		t.Error(d)
	}
	x.Settle(2)
	r.Receive(6*time.Second, x, Report{Place: limiters(7, 8)[0]})
	if c := due(6*time.Second + joinRequestTTL); len(c.Join) != 1 {
		t.Errorf("%+v is due, want one join for a limiter that has just reported without a place", c)
	}
	if c := due(6*time.Second + joinRequestTTL + 1); !c.Empty() {
		t.Errorf("%+v is due although the limiter that wanted a place is silent", c)
	}
	delete(present, "e2@2")
	due(9 * time.Second)
	if d := cmp.Diff(Changes{Release: []string{"e2@2"}}, due(9*time.Second+ReleaseAfterSilence)); d != "" {
		t.Error(d)
	}
}

// A registry doesn't request settlement of a version that can't become the settled one, because a limiter was
// released by it and restored later: the request would change nothing.
func TestNothingIsAskedForInVain(t *testing.T) {
	var x Table
	r := NewRegistrar()
	all := limiters(0, 2)
	x.Join(1, 1, all)
	r.Add(0, x, 1)
	x.Release(2, []string{"e0@0"})
	r.Add(0, x, 2)
	x.Join(3, 3, all[:1])
	r.Add(0, x, 3)
	present := func(string) bool { return true }
	for _, p := range all { // acknowledge the version in which e0 was released
		r.Receive(time.Second, x, Report{Place: p, Version: 2})
	}
	if c := r.Due(5*time.Second, x, false, present); !c.Empty() {
		t.Errorf("%+v is requested although it would change nothing", c)
	}
	for _, p := range all {
		r.Receive(6*time.Second, x, Report{Place: p, Version: 3})
	}
	if d := cmp.Diff(Changes{Settle: 3}, r.Due(6*time.Second, x, false, present)); d != "" {
		t.Error(d)
	}
}
