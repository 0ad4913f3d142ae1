package routing

import (
	"math"
	"math/rand/v2"
	"testing"
)

// However hard a tier is pressed, no more than its share leaves it while a box of it can
// be used, and all that may when it has none left.
func TestSpillIsBounded(t *testing.T) {
	for _, spill := range []float64{0, 0.05, 0.3, 0.9, 1} {
		for _, full := range []float64{0.2, 0.6, 1} {
			r := rand.New(rand.NewPCG(1, 1))
			x := New([]float64{spill, 0})
			x.See(0, 0, 4, 4)
			x.See(0, 1, 4, 4)
			asked, left, wanted := 0.0, 0.0, 0.0
			for now := 0.0; now < 60_000; now += 10 {
				if !x.Enter(now, 0, r.Float64()) {
					t.Fatal("a healthy tier is not entered")
				}
				asked++
				if r.Float64() < full {
					wanted++
					if x.Leave(now, 0) {
						left++
					}
				}
			}
			if most := spill*asked + 2; left > most {
				t.Errorf("spill %v, full %v: %v of %v left", spill, full, left, asked)
			}
			if least := 0.9*min(wanted, spill*asked) - 2; left < least {
				t.Errorf("spill %v, full %v: only %v of %v left, %v wanted to", spill, full, left, asked, wanted)
			}
			if got := x.State(60_000, 0).Spilled; math.Abs(got-left/asked) > 0.1 {
				t.Errorf("told a spill of %v, it was %v", got, left/asked)
			}
		}
	}
}

// The last tier has nowhere to spill to, and a lost one keeps nothing back.
func TestEnds(t *testing.T) {
	x := New([]float64{0, 1})
	x.See(0, 0, 4, 0)
	x.See(0, 1, 4, 4)
	for u := 0.0; u < 1; u += 0.1 {
		if x.Enter(0, 0, u) || !x.Enter(0, 1, u) {
			t.Error("a lost tier is entered, or the other is not")
		}
	}
	if x.Leave(0, 1) {
		t.Error("the last tier spills")
	}
	if s := x.State(0, 0); !s.Lost || s.Share != 0 || s.Spilled != 0 {
		t.Errorf("%+v", s)
	}
}

// A tier comes back in steps, each for answers that prove it, and gives its share back at
// a failure. What it does not take goes on, and is no spill.
func TestWayBack(t *testing.T) {
	x := New([]float64{0.3, 0})
	now := 0.0
	share := func() float64 { return x.State(now, 0).Share }
	x.See(now, 0, 6, 6)
	if share() != 1 {
		t.Errorf("begins with %v", share())
	}
	x.See(now, 0, 6, 0)
	now = 10_000
	if !x.See(now, 0, 6, 1) || share() != firstShare {
		t.Errorf("comes back with %v", share())
	}
	now += 60_000
	if x.See(now, 0, 6, 6) || share() != firstShare {
		t.Errorf("time alone gives it %v", share())
	}
	var steps []float64
	for range 100 {
		for range stepProofs {
			x.Proved(now, 0, true)
		}
		if x.See(now, 0, 6, 6) {
			steps = append(steps, share())
			before := now
			x.Proved(now, 0, true)
			x.Proved(now, 0, true)
			x.Proved(now, 0, true)
			if now = before + stepMs - 1; share() < 1 && x.See(now, 0, 6, 6) {
				t.Errorf("a step after %v ms", now-before)
			}
			now = before
		}
		now += stepMs
	}
	want := []float64{0.1, 0.2, 0.4, 0.8, 1}
	if len(steps) != len(want) {
		t.Fatalf("steps %v, want %v", steps, want)
	}
	for i := range want {
		if math.Abs(steps[i]-want[i]) > 1e-9 {
			t.Errorf("steps %v, want %v", steps, want)
		}
	}
	// Lost again in the middle of its way, twice within a minute: each time from the start.
	for range 2 {
		x.See(now, 0, 6, 0)
		now += 5000
		x.See(now, 0, 6, 6)
		for share() < 0.4 {
			for range stepProofs {
				x.Proved(now, 0, true)
			}
			now += stepMs
			x.See(now, 0, 6, 6)
		}
		x.Proved(now, 0, false)
		if math.Abs(share()-0.2) > 1e-9 {
			t.Errorf("after a failure %v", share())
		}
		for range 10 {
			x.Proved(now, 0, false)
		}
		if share() != firstShare {
			t.Errorf("after many failures %v", share())
		}
	}
	in, r := 0, rand.New(rand.NewPCG(2, 2))
	for range 10_000 {
		if x.Enter(now, 0, r.Float64()) {
			in++
		}
	}
	if in < 400 || in > 600 || x.State(now, 0).Spilled > 0 {
		t.Errorf("%d of 10,000 enter at a share of %v, %v spilled", in, share(), x.State(now, 0).Spilled)
	}
}
