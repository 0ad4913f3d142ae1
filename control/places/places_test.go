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

func limiters(from, to int) (all []Place) {
	for i := from; i < to; i++ {
		all = append(all, Place{Name: fmt.Sprint("e", i), IP: fmt.Sprint(i), Zone: fmt.Sprint("z", i%2)})
	}
	return all
}

// shares are those of all slots.
func shares(t *Table) (all []float64) {
	sets := t.Sets()
	for slot := range t.Places {
		all = append(all, Share(sets, slot))
	}
	return all
}

// One that joins has nothing, and one that leaves takes its part along, until the change is settled.
func TestSharesThroughChanges(t *testing.T) {
	var x Table
	check := func(what string, want ...float64) {
		t.Helper()
		if d := cmp.Diff(want, shares(&x)); d != "" {
			t.Errorf("%s: %s", what, d)
		}
	}
	x.Join(1, 1, limiters(0, 4))
	check("all begin", .25, .25, .25, .25)
	x.Join(2, 2, limiters(4, 5))
	check("one joins", .2, .2, .2, .2, 0)
	x.Settle(2)
	check("that is settled", .2, .2, .2, .2, .2)
	x.Release(3, []string{"e1@1", "e3@3", "e9@9"})
	check("two leave", .2, 0, .2, 0, .2)
	if d := cmp.Diff([]string{"e0@0", "e1@1", "e2@2", "e3@3", "e4@4"}, x.HoldersBefore(3)); d != "" {
		t.Error(d)
	}
	x.Join(4, 4, limiters(1, 2))
	check("one of them returns before that is settled", .2, .2, .2, 0, .2)
	x.Join(5, 5, limiters(5, 7))
	check("two join in its stead", 1./6, 1./6, 1./6, 0, 1./6, 0, 0)
	x.Settle(5)
	check("all is settled", 1./6, 1./6, 1./6, 0, 1./6, 1./6, 1./6)
	x.Join(6, 6, limiters(7, 8))
	if x.Places[3].Name != "e7" || len(x.UnsettledVersions()) != 1 {
		t.Errorf("a slot that is free is not used again: %+v", x.Places)
	}
	if n, near := x.Count(), x.InZone("z1"); n != 7 || near != 3 {
		t.Errorf("%d hold places, %d in a zone", n, near)
	}
	x.Join(7, 7, []Place{{Name: "e7", IP: "70", Zone: "z1"}, {Name: "e8", IP: "0", Zone: "z1"}})
	if a, b := x.SlotOf("e0", "0"), x.SlotOf("e8", "0"); a < 0 || b < 0 || a == b {
		t.Errorf("two that have had one address hold slots %d and %d", a, b)
	}
	if got := x.SlotOf("e7", "7"); got >= 0 {
		t.Errorf("a former machine under a name holds slot %d", got)
	}
}

// A lease ends a fixed span after the latest proof, and soon where that is from before the life began.
func TestLease(t *testing.T) {
	var l Lease
	if l.Valid(0) {
		t.Error("a lease that nobody gave")
	}
	began := time.Minute
	l.Renew(began-time.Second, began)
	if l.End() != began-time.Second+provisionalLeaseLength {
		t.Errorf("by proof from before the life: until %v", l.End())
	}
	l.Renew(began+time.Second, began)
	if l.Renew(began, began) || !l.Valid(began+time.Second+LeaseLength-1) || l.Valid(began+time.Second+LeaseLength) {
		t.Errorf("until %v", l.End())
	}
	if slow := float64(LeaseLength) * (1 + 2*ClockDrift); float64(allLeasesExpireWithin) <= slow {
		t.Errorf("a slow clock's lease of %v ends after a fast one takes it for ended: %v", slow, allLeasesExpireWithin)
	}
}

// A change is settled once all who held a part have acknowledged it and their loans have ended, or when
// their leases must have.
func TestSettler(t *testing.T) {
	var x Table
	s := NewSettlementTracker()
	x.Join(1, 1, limiters(0, 3))
	s.ObserveTable(0, x, 1)
	x.Release(2, []string{"e2@2"})
	now := 10 * time.Second
	s.ObserveTable(now, x, 2)
	x.Release(3, []string{"e1@1"})
	s.ObserveTable(now+time.Second, x, 3)
	due := func(at time.Duration, want uint64) {
		t.Helper()
		if got, _ := s.VersionToSettle(at, x); got != want {
			t.Errorf("settled up to %d after %v, %d wanted", got, at-now, want)
		}
	}
	s.RecordAcknowledgement(now, Acknowledgement{Holder: "e0@0", Version: 3})
	s.RecordAcknowledgement(now, Acknowledgement{Holder: "e1@1", Version: 2})
	due(now+minAckWait, 0)
	s.RecordAcknowledgement(now, Acknowledgement{Holder: "e2@2", Version: 3, InMs: 5000})
	due(now+minAckWait, 0)
	due(now+5*time.Second-1, 0)
	due(now+5*time.Second, 2)
	s.RecordAcknowledgement(now+5*time.Second, Acknowledgement{Holder: "e1@1", Version: 3, InMs: 2000})
	due(now+6*time.Second, 2)
	// The same as another registry tells it.
	other := NewSettlementTracker()
	other.ObserveTable(now, x, 3)
	for _, a := range s.Acknowledgements(now+6*time.Second, []string{"e0@0", "e1@1", "e2@2"}) {
		other.RecordAcknowledgement(now+6*time.Second, a)
	}
	if got, _ := other.VersionToSettle(now+6*time.Second, x); got != 2 {
		t.Errorf("another registry takes it for settled up to %d", got)
	}
	due(now+7*time.Second, 3)
	if got, _ := other.VersionToSettle(now+8*time.Second, x); got != 3 {
		t.Errorf("another registry takes it for settled up to %d later", got)
	}
	silent := NewSettlementTracker()
	silent.ObserveTable(now, x, 3)
	if _, ok := silent.VersionToSettle(now+allLeasesExpireWithin-1, x); ok {
		t.Error("settled before all leases have ended")
	}
	if got, _ := silent.VersionToSettle(now+allLeasesExpireWithin, x); got != 3 {
		t.Error("not settled when all leases have ended")
	}
}

// A place is released after a silence, and by nobody who is cut off.
func TestAbsences(t *testing.T) {
	var x Table
	x.Join(1, 1, limiters(0, 2))
	a := NewAbsenceTracker()
	there := func(holder string) bool { return holder == "e0@0" }
	look := func(at time.Duration, cutOff bool) []string { return a.Update(at, x, cutOff, there) }
	look(0, false)
	if got := look(ReleaseAfterSilence-1, false); got != nil {
		t.Error(got)
	}
	look(ReleaseAfterSilence-1, true)
	if got := look(ReleaseAfterSilence, false); got != nil {
		t.Errorf("%v away since before it was cut off", got)
	}
	if d := cmp.Diff([]string{"e1@1"}, look(2*ReleaseAfterSilence, false)); d != "" {
		t.Error(d)
	}
}

// Differences of tables make the newer one, whatever has changed.
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
			t.Errorf("%+v is taken", d)
		}
	}
}

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

var tableSeeds = flag.Uint64("places.seeds", 300, "random tables that are looked at")

// Whoever goes by whichever table from the settled one on, all parts together are never more than one.
func TestSharesNeverComeToMoreThanOne(t *testing.T) {
	for seed := range *tableSeeds {
		rng := rand.New(rand.NewPCG(seed, 2))
		var tables []Table // by version
		var x Table
		x.Join(1, 1, limiters(0, 1+rng.IntN(6)))
		tables = append(tables, Table{}, x)
		for v := uint64(2); v < 60; v++ {
			x.Places = append([]Place(nil), x.Places...)
			if rng.IntN(4) == 0 { // only what nobody goes by any more is settled: here all of the past may be
				x.Settle(v - 1)
			} else {
				randomChange(rng, &x, v)
			}
			tables = append(tables, x)
			// Holders go by any table from the oldest that may be in use to the newest.
			oldest := x.Settled
			for range 8 {
				least := oldest + uint64(rng.IntN(int(v-oldest)+1))
				sum := 0.0
				for k := range 14 {
					by := least + uint64(rng.IntN(int(v-least)+1))
					y := tables[by]
					if slot := y.SlotOf(fmt.Sprint("e", k), fmt.Sprint(k)); slot >= 0 {
						sum += Share(y.Sets(), slot)
					}
				}
				if sum > 1+1e-9 {
					t.Fatalf("seed %d, version %d, oldest in use %d: all parts come to %g", seed, v, least, sum)
				}
			}
		}
	}
}

// Over 30 days with 1,900 limiters replaced a day beside 760 the table does not grow.
func TestTableStaysBounded(t *testing.T) {
	const living, replaced, days = 760, 1900, 30
	var x Table
	x.Join(1, 1, limiters(0, living))
	version, next := uint64(1), living
	rng := rand.New(rand.NewPCG(3, 3))
	names := make([]int, living)
	for i := range names {
		names[i] = i
	}
	most := 0
	for range days * replaced {
		k := rng.IntN(living)
		version++
		x.Release(version, []string{HolderOf(fmt.Sprint("e", names[k]), fmt.Sprint(names[k]))})
		version++
		x.Join(version, version, limiters(next, next+1))
		names[k], next = next, next+1
		if rng.IntN(3) == 0 { // a replacement is settled before the next one but a few
			x.Settle(version)
		}
		most = max(most, len(x.Places))
	}
	if most > living+30 || x.Count() != living {
		t.Errorf("%d slots for %d limiters, %d of them held", most, living, x.Count())
	}
	x.Settle(version)
	sum := 0.0
	for _, share := range shares(&x) {
		sum += share
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Errorf("the living hold %g of everything", sum)
	}
}

// A registry has limiters join that are without a place, those that have left released at once and those that
// are silent after a while, and what all have acknowledged settled, whoever has heard them.
func TestRegistrar(t *testing.T) {
	var x Table
	r, other := NewRegistrar(), NewRegistrar()
	there := map[string]bool{}
	due := func(now time.Duration) Changes {
		return r.Due(now, x, false, func(holder string) bool { return there[holder] })
	}
	all := limiters(0, 3)
	for _, p := range all {
		there[p.Holder()] = true
		if !r.Hear(0, x, Report{Place: p}) {
			t.Errorf("%s needs nothing", p.Name)
		}
	}
	if d := cmp.Diff(Changes{Join: all}, due(0)); d != "" {
		t.Error(d)
	}
	x.Join(1, 1, all)
	r.See(0, x, 1)
	if c := due(0); !c.Empty() || r.Wanted(time.Hour, x) != nil {
		t.Errorf("%+v is due, and all hold their places", c)
	}
	for _, p := range all[:2] {
		r.Hear(time.Second, x, Report{Place: p, Version: 1, Done: p.Name == "e1"})
	}
	if d := cmp.Diff(Changes{Release: []string{"e1@1"}}, due(time.Second)); d != "" {
		t.Error(d)
	}
	x.Release(2, []string{"e1@1"})
	r.See(time.Second, x, 2)
	other.See(time.Second, x, 2)
	for _, p := range all[:2] {
		r.Hear(2*time.Second, x, Report{Place: p, Version: 2, Done: p.Name == "e1"})
	}
	other.Hear(2*time.Second, x, Report{Place: all[2], Version: 2})
	if c := due(5 * time.Second); !c.Empty() {
		t.Errorf("%+v is due before all are known to have acknowledged", c)
	}
	if state, left, missing := r.Pending(5*time.Second, x, &x.Places[1]); state != "released" || left <= 0 || !cmp.Equal(missing, []string{"e2@2"}) {
		t.Errorf("%s, %v left, waits for %v", state, left, missing)
	}
	if d := cmp.Diff([]string{"e2@2"}, r.Wanted(5*time.Second, x)); d != "" || r.Wanted(2*time.Second, x) != nil {
		t.Errorf("others are asked for %s", d)
	}
	r.HearAll(5*time.Second, other.Acknowledgements(5*time.Second, []string{"e2@2"}))
	if d := cmp.Diff(Changes{Settle: 2}, due(5*time.Second)); d != "" {
		t.Error(d)
	}
	x.Settle(2)
	r.Hear(6*time.Second, x, Report{Place: limiters(7, 8)[0]})
	if c := due(6*time.Second + joinRequestTTL); len(c.Join) != 1 {
		t.Errorf("%+v is due while one that was just heard has no place", c)
	}
	if c := due(6*time.Second + joinRequestTTL + 1); !c.Empty() {
		t.Errorf("%+v is due, and who wanted a place is silent", c)
	}
	delete(there, "e2@2")
	due(9 * time.Second)
	if d := cmp.Diff(Changes{Release: []string{"e2@2"}}, due(9*time.Second+ReleaseAfterSilence)); d != "" {
		t.Error(d)
	}
}

// A version that can't be the settled one, as a limiter was away by it, is not asked for: the table would stay
// as it is.
func TestNothingIsAskedForInVain(t *testing.T) {
	var x Table
	r := NewRegistrar()
	all := limiters(0, 2)
	x.Join(1, 1, all)
	r.See(0, x, 1)
	x.Release(2, []string{"e0@0"})
	r.See(0, x, 2)
	x.Join(3, 3, all[:1])
	r.See(0, x, 3)
	there := func(string) bool { return true }
	for _, p := range all { // by the version in between
		r.Hear(time.Second, x, Report{Place: p, Version: 2})
	}
	if c := r.Due(5*time.Second, x, false, there); !c.Empty() {
		t.Errorf("%+v is asked for, and changes nothing", c)
	}
	for _, p := range all {
		r.Hear(6*time.Second, x, Report{Place: p, Version: 3})
	}
	if d := cmp.Diff(Changes{Settle: 3}, r.Due(6*time.Second, x, false, there)); d != "" {
		t.Error(d)
	}
}
