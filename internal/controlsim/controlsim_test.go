package controlsim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"example.org/madderdrum/control/controlstate"
)

var seeds = flag.Int("controlsim.seeds", 40, "random days to play")

const second = time.Second

// The bounds of the deployments: an order is acknowledged within ackWithin where most stores run and
// hear each other, and a successor has its seat within seatWithin of its start.
const (
	ackWithin  = 6 * second
	seatWithin = 4 * second
)

// calm has everybody run and hear each other for a while, and then checks that orders are
// acknowledged and that all hold what was.
func calm(t *testing.T, w *World, what string) {
	t.Helper()
	w.Run(8 * second)
	w.Order("calm")
	w.Run(ackWithin)
	if _, done := w.Acked["calm"]; !done {
		t.Fatalf("%s: no order is acknowledged in calm times", what)
	}
	w.Run(2 * second)
	if err := w.Check(); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

// seated tells that the voters are just those machines that run, each by the disk that it has.
func seated(w *World) error {
	var running []string
	for i := range w.Stores() {
		if s := w.Store(i); s.Up() {
			running = append(running, s.ID())
		}
	}
	slices.Sort(running)
	for i := range w.Stores() {
		s := w.Store(i)
		if !s.Up() {
			continue
		}
		if voters, settled := s.Voters(); !settled || !slices.Equal(voters, running) {
			return fmt.Errorf("%s knows the voters %v, settled %v; running are %v", s.ID(), voters, settled, running)
		}
	}
	return nil
}

// A store that is cut off for twenty seconds, in either direction or both, keeps its seat, serves
// nothing old as current and confirms nothing alone; the others go on.
func TestCutOff(t *testing.T) {
	for _, stores := range []int{3, 4, 5} {
		for _, x := range []struct{ heard, hears bool }{{true, true}, {true, false}, {false, true}} {
			for cut := range stores {
				what := fmt.Sprintf("%d stores, the %d-th cut off, cannot speak %v, cannot hear %v", stores, cut, x.heard, x.hears)
				w := New(uint64(cut), stores, (stores-1)/2, "a", "b")
				w.Operate(700*time.Millisecond, 40*second)
				w.Run(5 * second)
				before, _ := w.Store(cut).Voters()
				w.Isolate(cut, x.heard, x.hears, true)
				w.Run(20 * second)
				if w.Waits() > ackWithin {
					t.Errorf("%s: an order waits for %v", what, w.Waits())
				}
				w.Isolate(cut, x.heard, x.hears, false)
				calm(t, w, what)
				if after, _ := w.Store(cut).Voters(); !slices.Equal(before, after) {
					t.Errorf("%s: the voters were %v and are %v", what, before, after)
				}
			}
		}
	}
}

// A learner that waits for a planned replacement does not take the seat of a machine that is cut off
// or frozen for twenty seconds.
func TestLearnerWaits(t *testing.T) {
	for _, how := range []string{"cut off", "frozen"} {
		w := New(3, 3, 1, "a", "b")
		w.Operate(second, 40*second)
		w.Run(3 * second)
		learner := w.Add("a")
		w.Run(3 * second)
		if how == "frozen" {
			w.Store(0).Freeze(20 * second)
		} else {
			w.Isolate(0, true, true, true)
		}
		w.Run(20 * second)
		w.Isolate(0, true, true, false)
		calm(t, w, how)
		voters, _ := w.Store(1).Voters()
		if !slices.Contains(voters, w.Store(0).ID()) || slices.Contains(voters, w.Store(learner).ID()) {
			t.Errorf("%s: the voters are %v", how, voters)
		}
	}
}

// A machine is gone for good and another one comes, in either order, and a second machine is killed,
// loses its disk or is cut off at each of fifty moments around it, once the time that is allowed for
// the first has passed or before.
func TestReplacementAndSecondLoss(t *testing.T) {
	for _, planned := range []bool{false, true} {
		for _, second2 := range []string{"wiped", "killed", "cut off", "replaced"} {
			for moment := range 50 {
				what := fmt.Sprintf("planned %v, then %s at moment %d", planned, second2, moment)
				replacementAndLoss(t, what, planned, second2, moment)
			}
		}
	}
}

func replacementAndLoss(t *testing.T, what string, planned bool, loss string, moment int) {
	t.Helper()
	w := New(uint64(moment), 3, 1, "a", "b")
	w.Operate(500*time.Millisecond, 30*second)
	w.Run(4 * second)
	if planned {
		w.Add("a")
		w.Run(6 * second)
		w.Store(0).Leave()
	} else {
		w.Store(0).Stop()
		w.Run(second)
		w.Add("a")
	}
	// The allowed time passes, and up to five seconds more.
	w.Run(seatWithin)
	if err := seated(w); err != nil {
		t.Fatalf("%s: after the time that is allowed: %v", what, err)
	}
	w.Run(time.Duration(moment) * 100 * time.Millisecond)
	switch loss {
	case "wiped":
		w.Store(1).Stop()
		w.Store(1).Wipe()
		w.Run(2 * second)
		w.Store(1).Start()
	case "killed":
		w.Store(1).Stop()
		w.Run(5 * second)
		w.Store(1).Start()
	case "cut off":
		w.Isolate(1, true, true, true)
		w.Run(10 * second)
		if w.Waits() > ackWithin {
			t.Errorf("%s: an order waits for %v", what, w.Waits())
		}
		w.Isolate(1, true, true, false)
	case "replaced":
		w.Store(1).Stop()
		w.Run(second)
		w.Add("b")
	}
	calm(t, w, what)
	if err := seated(w); err != nil {
		t.Errorf("%s: %v", what, err)
	}
}

// Each store loses its disk in turn, and after five hundred orders one more comes back.
func TestDisksInTurn(t *testing.T) {
	w := New(5, 3, 1, "a", "b")
	w.Operate(50*time.Millisecond, 25*second)
	for round := range 6 {
		s := w.Store(round % 3)
		s.Stop()
		s.Wipe()
		w.Run(second)
		s.Start()
		w.Run(seatWithin)
		if err := seated(w); err != nil {
			t.Fatalf("after loss %d: %v", round, err)
		}
	}
	if len(w.Acked) < 400 {
		t.Errorf("%d orders were acknowledged", len(w.Acked))
	}
	w.Store(0).Stop()
	w.Run(2 * second)
	w.Store(0).Start()
	calm(t, w, "a store that comes back")
}

// A machine that was away while its seat passed on is a learner when it comes back: it has no vote,
// its old messages do no harm, and it takes the next seat that is free.
func TestUnseatedComesBack(t *testing.T) {
	w := New(6, 3, 1, "a", "b")
	w.Operate(second, 60*second)
	w.Run(3 * second)
	w.Store(2).Stop()
	w.Run(second)
	next := w.Add("a")
	w.Run(seatWithin)
	w.Store(2).Start()
	w.Run(3 * second)
	voters, _ := w.Store(1).Voters()
	if slices.Contains(voters, w.Store(2).ID()) || !slices.Contains(voters, w.Store(next).ID()) {
		t.Fatalf("the voters are %v", voters)
	}
	w.Store(next).Leave()
	w.Run(seatWithin)
	if err := seated(w); err != nil {
		t.Error(err)
	}
	calm(t, w, "one that came back")
}

// random plays a day of random troubles, of which only what may be lost at once is lost at once.
func random(seed uint64, spoil func(*World)) error {
	rng := rand.New(rand.NewPCG(seed, 43))
	stores := 3 + 2*rng.IntN(2)
	w := New(seed, stores, (stores-1)/2, "a", "b")
	if spoil != nil {
		spoil(w)
	}
	w.AddLimiter()
	w.Operate(time.Duration(100+rng.IntN(800))*time.Millisecond, 60*second)
	w.Run(3 * second)
	for range 2 + rng.IntN(3) {
		trouble(w, rng)
		w.Run(6 * second)
	}
	w.Run(10 * second)
	w.Order("calm")
	w.Run(ackWithin)
	if _, done := w.Acked["calm"]; !done && w.Broken == nil {
		return fmt.Errorf("seed %d: no order is acknowledged in calm times", seed)
	}
	if err := w.Check(); err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	return nil
}

// trouble has one store lost in some way, and made good.
func trouble(w *World, rng *rand.Rand) {
	var running []*Store
	for i := range w.Stores() {
		if w.Store(i).Up() {
			running = append(running, w.Store(i))
		}
	}
	s := running[rng.IntN(len(running))]
	span := time.Duration(1+rng.IntN(20)) * second
	switch rng.IntN(9) {
	case 0:
		w.Isolate(s.index, true, true, true)
		w.Run(span)
		w.Isolate(s.index, true, true, false)
	case 1, 2:
		spoken := rng.IntN(2) == 0
		w.Isolate(s.index, spoken, !spoken, true)
		w.Run(span)
		w.Isolate(s.index, spoken, !spoken, false)
	case 3:
		s.Freeze(span)
		w.Run(span)
	case 4:
		s.Stop()
		w.Run(span / 4)
		s.Wipe()
		s.Start()
	case 5:
		s.Stop()
		w.Run(time.Duration(rng.IntN(3000)) * time.Millisecond)
		w.Add(s.zone)
	case 6:
		w.Add(s.zone)
		w.Run(span / 2)
		s.Leave()
	case 7: // all of them are killed at once
		for _, o := range running {
			o.Stop()
		}
		w.Run(second)
		for _, o := range running {
			o.Start()
		}
	case 8: // two can't hear each other, and a third hears both
		o := running[rng.IntN(len(running))]
		w.Cut(s.index, o.index, true)
		w.Cut(o.index, s.index, true)
		w.Run(span)
		w.Cut(s.index, o.index, false)
		w.Cut(o.index, s.index, false)
	}
}

func TestRandomDays(t *testing.T) {
	for seed := range uint64(*seeds) {
		if err := random(seed, nil); err != nil {
			t.Error(err)
		}
	}
}

// What is built in on purpose is found by the random days or by the waiting learner.
func TestFaultsAreFound(t *testing.T) {
	found := false
	for seed := range uint64(400) {
		if random(seed, func(w *World) { w.ProvesAlone = true }) != nil {
			found = true
			break
		}
	}
	if !found {
		t.Error("nothing is found wrong where a store proves alone that it is current")
	}
	w := New(3, 3, 1, "a", "b")
	w.UnseatsCutOff = true
	w.Run(3 * second)
	w.Add("a")
	w.Run(3 * second)
	w.Isolate(0, true, true, true)
	w.Run(20 * second)
	if voters, _ := w.Store(1).Voters(); slices.Contains(voters, w.Store(0).ID()) {
		t.Error("a machine that is cut off keeps its seat where every dark one is unseated")
	}
}

// A change of voters that was decided under an earlier term, and comes late, changes nothing; without
// the fence it would put back a machine that has left.
func TestLateChangeOfVoters(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		w := New(8, 3, 1, "a", "b")
		w.Run(2 * second)
		w.Store(0).Stop()
		w.Run(second)
		late := controlstate.Order{Kind: controlstate.ChangeVoters, AddVoters: []string{w.Store(0).ID()}, RemoveVoters: []string{w.Store(w.Add("a")).ID()}, InitialVoters: w.first}
		if fenced {
			late.Term = w.Store(1).Register().Term()
		}
		w.Run(seatWithin)
		w.Store(1).submit([]controlstate.Order{late}, orderWithin, func([]controlstate.Outcome) {})
		w.Run(100 * time.Millisecond)
		voters, _ := w.Store(1).Voters()
		if back := slices.Contains(voters, w.Store(0).ID()); back == fenced {
			t.Errorf("fenced %v: the machine that has left is a voter: %v", fenced, back)
		}
	}
}

// mostProofAge is for how long a limiter may be without a fresh proof while one store is cut off: its
// registry finds out in 1.6 s, and another one has a proof of half a second.
const mostProofAge = 3 * second

// Limiters that reach a registry which is cut off from the others leave it in time, and what they have
// proof of is current.
func TestLimitersLeaveWhoIsCutOff(t *testing.T) {
	for _, stays := range []bool{false, true} {
		w := New(11, 3, 1, "a", "b")
		w.StaysWithStale = stays
		for range 6 {
			w.AddLimiter()
		}
		w.Operate(500*time.Millisecond, 30*second)
		w.Run(5 * second)
		w.Isolate(1, true, true, true)
		old := false
		for range 40 {
			w.Run(second / 2)
			for _, l := range w.limiters {
				if age, ok := l.ProofAge(); !ok || age > mostProofAge {
					old = true
				}
			}
		}
		if w.Broken != nil {
			t.Error(w.Broken)
		}
		if old != stays {
			t.Errorf("limiters stay with a registry that is cut off: %v; some had no fresh proof: %v", stays, old)
		}
	}
}
