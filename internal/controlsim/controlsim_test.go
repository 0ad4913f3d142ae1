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

var seeds = flag.Int("controlsim.seeds", 40, "number of runs with random failures")

const second = time.Second

// The bounds that deployments rely on: an order is acknowledged within ackTimeout while a majority of the
// stores runs and is connected, and a new machine becomes a voter within replacementTimeout of its start.
const (
	ackTimeout         = 6 * second
	replacementTimeout = 4 * second
)

// requireRecovery runs the world without failures for a while, and then checks that orders are
// acknowledged and that all stores have the acknowledged ones.
func requireRecovery(t *testing.T, w *World, what string) {
	t.Helper()
	w.Run(8 * second)
	w.SubmitOrder("calm")
	w.Run(ackTimeout)
	if _, done := w.Acked["calm"]; !done {
		t.Fatalf("%s: no order is acknowledged without failures", what)
	}
	w.Run(2 * second)
	if err := w.Check(); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

// checkVoters returns an error unless the voters are exactly the running stores, identified by their
// present disks.
func checkVoters(w *World) error {
	var running []string
	for i := range w.StoreCount() {
		if s := w.Store(i); s.Running() {
			running = append(running, s.ID())
		}
	}
	slices.Sort(running)
	for i := range w.StoreCount() {
		s := w.Store(i)
		if !s.Running() {
			continue
		}
		if voters, settled := s.Voters(); !settled || !slices.Equal(voters, running) {
			return fmt.Errorf("%s knows the voters %v (settled: %v); the running stores are %v", s.ID(), voters, settled, running)
		}
	}
	return nil
}

// A store that is cut off for 20 s, in either direction or both, remains a voter, serves nothing stale as
// current and confirms nothing on its own; the other stores keep working.
func TestCutOff(t *testing.T) {
	for _, stores := range []int{3, 4, 5} {
		for _, directions := range []struct{ outgoing, incoming bool }{{true, true}, {true, false}, {false, true}} {
			for isolated := range stores {
				what := fmt.Sprintf("%d stores, store %d cut off, outgoing %v, incoming %v", stores, isolated, directions.outgoing, directions.incoming)
				w := New(uint64(isolated), stores, (stores-1)/2, "a", "b")
				w.Operate(700*time.Millisecond, 40*second)
				w.Run(5 * second)
				before, _ := w.Store(isolated).Voters()
				w.Isolate(isolated, directions.outgoing, directions.incoming, true)
				w.Run(20 * second)
				if w.LongestWait() > ackTimeout {
					t.Errorf("%s: an order has been unacknowledged for %v", what, w.LongestWait())
				}
				w.Isolate(isolated, directions.outgoing, directions.incoming, false)
				requireRecovery(t, w, what)
				if after, _ := w.Store(isolated).Voters(); !slices.Equal(before, after) {
					t.Errorf("%s: the voters changed from %v to %v", what, before, after)
				}
			}
		}
	}
}

// A learner that is there for a planned replacement does not replace a voter that is only cut off or
// frozen for 20 s.
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
		requireRecovery(t, w, how)
		voters, _ := w.Store(1).Voters()
		if !slices.Contains(voters, w.Store(0).ID()) || slices.Contains(voters, w.Store(learner).ID()) {
			t.Errorf("%s: the voters are %v", how, voters)
		}
	}
}

// One machine is replaced, either planned (the new one joins first) or after a failure. Once the time that a
// replacement may take has passed, or up to 5 s later, a second machine is killed, loses its disk, is cut off
// or is replaced.
func TestReplacementAndSecondLoss(t *testing.T) {
	for _, planned := range []bool{false, true} {
		for _, loss := range []string{"wiped", "killed", "cut off", "replaced"} {
			for moment := range 50 {
				what := fmt.Sprintf("planned %v, then %s after %d00 ms", planned, loss, moment)
				replacementAndLoss(t, what, planned, loss, moment)
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
	// The second failure comes replacementTimeout after the first, plus up to 5 s.
	w.Run(replacementTimeout)
	if err := checkVoters(w); err != nil {
		t.Fatalf("%s: after replacementTimeout: %v", what, err)
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
		if w.LongestWait() > ackTimeout {
			t.Errorf("%s: an order has been unacknowledged for %v", what, w.LongestWait())
		}
		w.Isolate(1, true, true, false)
	case "replaced":
		w.Store(1).Stop()
		w.Run(second)
		w.Add("b")
	}
	requireRecovery(t, w, what)
	if err := checkVoters(w); err != nil {
		t.Errorf("%s: %v", what, err)
	}
}

// Each store loses its disk in turn, twice, while some 500 orders are submitted; then one more restarts.
func TestDisksInTurn(t *testing.T) {
	w := New(5, 3, 1, "a", "b")
	w.Operate(50*time.Millisecond, 25*second)
	for round := range 6 {
		s := w.Store(round % 3)
		s.Stop()
		s.Wipe()
		w.Run(second)
		s.Start()
		w.Run(replacementTimeout)
		if err := checkVoters(w); err != nil {
			t.Fatalf("after loss %d: %v", round, err)
		}
	}
	if len(w.Acked) < 400 {
		t.Errorf("only %d orders were acknowledged, want 400", len(w.Acked))
	}
	w.Store(0).Stop()
	w.Run(2 * second)
	w.Store(0).Start()
	requireRecovery(t, w, "a store that comes back")
}

// A machine that was replaced as a voter while it was down is a learner when it restarts: it has no vote,
// its old messages have no effect, and it becomes a voter when the next one leaves.
func TestUnseatedComesBack(t *testing.T) {
	w := New(6, 3, 1, "a", "b")
	w.Operate(second, 60*second)
	w.Run(3 * second)
	w.Store(2).Stop()
	w.Run(second)
	successor := w.Add("a")
	w.Run(replacementTimeout)
	w.Store(2).Start()
	w.Run(3 * second)
	voters, _ := w.Store(1).Voters()
	if slices.Contains(voters, w.Store(2).ID()) || !slices.Contains(voters, w.Store(successor).ID()) {
		t.Fatalf("the voters are %v", voters)
	}
	w.Store(successor).Leave()
	w.Run(replacementTimeout)
	if err := checkVoters(w); err != nil {
		t.Error(err)
	}
	requireRecovery(t, w, "a replaced store that came back")
}

// playRandomFaults runs one simulation with random failures, never more at once than the stores tolerate.
// injectFault, if not nil, switches a deliberate fault on first.
func playRandomFaults(seed uint64, injectFault func(*World)) error {
	rng := rand.New(rand.NewPCG(seed, 43))
	stores := 3 + 2*rng.IntN(2)
	w := New(seed, stores, (stores-1)/2, "a", "b")
	if injectFault != nil {
		injectFault(w)
	}
	w.AddLimiter()
	w.Operate(time.Duration(100+rng.IntN(800))*time.Millisecond, 60*second)
	w.Run(3 * second)
	for range 2 + rng.IntN(3) {
		injectRandomFailure(w, rng)
		w.Run(6 * second)
	}
	w.Run(10 * second)
	w.SubmitOrder("calm")
	w.Run(ackTimeout)
	if _, done := w.Acked["calm"]; !done && w.Violation == nil {
		return fmt.Errorf("seed %d: no order is acknowledged without failures", seed)
	}
	if err := w.Check(); err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	return nil
}

// injectRandomFailure makes one random store fail in a random way, and repairs or replaces it.
func injectRandomFailure(w *World, rng *rand.Rand) {
	var running []*Store
	for i := range w.StoreCount() {
		if w.Store(i).Running() {
			running = append(running, w.Store(i))
		}
	}
	s := running[rng.IntN(len(running))]
	duration := time.Duration(1+rng.IntN(20)) * second
	switch rng.IntN(9) {
	case 0:
		w.Isolate(s.index, true, true, true)
		w.Run(duration)
		w.Isolate(s.index, true, true, false)
	case 1, 2:
		outgoing := rng.IntN(2) == 0
		w.Isolate(s.index, outgoing, !outgoing, true)
		w.Run(duration)
		w.Isolate(s.index, outgoing, !outgoing, false)
	case 3:
		s.Freeze(duration)
		w.Run(duration)
	case 4:
		s.Stop()
		w.Run(duration / 4)
		s.Wipe()
		s.Start()
	case 5:
		s.Stop()
		w.Run(time.Duration(rng.IntN(3000)) * time.Millisecond)
		w.Add(s.zone)
	case 6:
		w.Add(s.zone)
		w.Run(duration / 2)
		s.Leave()
	case 7: // kill and restart all stores at once
		for _, other := range running {
			other.Stop()
		}
		w.Run(second)
		for _, other := range running {
			other.Start()
		}
	case 8: // break the link between two stores that both reach a third
		other := running[rng.IntN(len(running))]
		w.Cut(s.index, other.index, true)
		w.Cut(other.index, s.index, true)
		w.Run(duration)
		w.Cut(s.index, other.index, false)
		w.Cut(other.index, s.index, false)
	}
}

func TestRandomDays(t *testing.T) {
	for seed := range uint64(*seeds) {
		if err := playRandomFaults(seed, nil); err != nil {
			t.Error(err)
		}
	}
}

// The checks detect faults that are switched on deliberately: a store that proves alone that it is current
// is found by the random failures, and hasty replacement by a learner next to a cut-off voter.
func TestFaultsAreFound(t *testing.T) {
	found := false
	for seed := range uint64(400) {
		if playRandomFaults(seed, func(w *World) { w.FaultSelfProof = true }) != nil {
			found = true
			break
		}
	}
	if !found {
		t.Error("no run detects a store that proves alone that it is current")
	}
	w := New(3, 3, 1, "a", "b")
	w.FaultReplaceUnreachable = true
	w.Run(3 * second)
	w.Add("a")
	w.Run(3 * second)
	w.Isolate(0, true, true, true)
	w.Run(20 * second)
	if voters, _ := w.Store(1).Voters(); slices.Contains(voters, w.Store(0).ID()) {
		t.Error("a cut-off machine is still a voter although unreachable voters are replaced at once")
	}
}

// A delayed voter change that was decided in an earlier term has no effect; without the term check it would
// make a machine that has left a voter again.
func TestLateChangeOfVoters(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		w := New(8, 3, 1, "a", "b")
		w.Run(2 * second)
		w.Store(0).Stop()
		w.Run(second)
		late := controlstate.Order{Kind: controlstate.ChangeVoters, AddVoters: []string{w.Store(0).ID()}, RemoveVoters: []string{w.Store(w.Add("a")).ID()}, InitialVoters: w.initialIPs}
		if fenced {
			late.Term = w.Store(1).Register().Term()
		}
		w.Run(replacementTimeout)
		w.Store(1).submit([]controlstate.Order{late}, orderTimeout, func([]controlstate.Outcome) {})
		w.Run(100 * time.Millisecond)
		voters, _ := w.Store(1).Voters()
		if back := slices.Contains(voters, w.Store(0).ID()); back == fenced {
			t.Errorf("term check %v: the machine that has left is a voter: %v", fenced, back)
		}
	}
}

// maxProofAge is the oldest proof that a limiter may have while one store is cut off: its registry notices
// the isolation within 1.6 s, and the next one has a proof no older than about 0.5 s.
const maxProofAge = 3 * second

// Limiters that pull from a registry that is cut off from the others switch to another one in time, and
// registers that they have proof for are current.
func TestLimitersLeaveIsolatedRegistry(t *testing.T) {
	for _, keepsStale := range []bool{false, true} {
		w := New(11, 3, 1, "a", "b")
		w.FaultKeepStaleRegistry = keepsStale
		for range 6 {
			w.AddLimiter()
		}
		w.Operate(500*time.Millisecond, 30*second)
		w.Run(5 * second)
		w.Isolate(1, true, true, true)
		staleProof := false
		for range 40 {
			w.Run(second / 2)
			for _, l := range w.limiters {
				if age, ok := l.ProofAge(); !ok || age > maxProofAge {
					staleProof = true
				}
			}
		}
		if w.Violation != nil {
			t.Error(w.Violation)
		}
		if staleProof != keepsStale {
			t.Errorf("limiters stay with a cut-off registry: %v; some had no recent proof: %v", keepsStale, staleProof)
		}
	}
}
