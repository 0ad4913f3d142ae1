package peering

import (
	"math/rand/v2"
	"testing"
)

// Two limiters spend in turn, deaf to each other, then one hears what the other spent. Its
// balance then lies between that of a bucket that is drawn late and in full and the lower
// of the two buckets, and comes to what a bucket holds that saw all in time wherever both
// spend evenly.
func TestRepaid(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	const burst, steps = 50.0, 400
	for range 2000 {
		rate := 0.5 + r.Float64()
		mine, peers := r.Float64()*rate, r.Float64()*rate
		even := r.IntN(2) == 0
		own, other, both := burst, burst, burst
		idle, late := 0.0, 0.0
		for range steps {
			a, b := mine, peers
			if !even {
				a, b = a*2*r.Float64(), b*2*r.Float64()
			}
			own, other, both, late = own+rate-a, other+rate-b, both+rate-a-b, late+b
			idle += max(0, own-burst)
			own, other, both = min(burst, own), min(burst, other), min(burst, both)
		}
		got := own - (late - Repaid(late, idle, other-(own-late)))
		if got < own-late-1e-9 || got > max(own-late, min(own, other))+1e-9 {
			t.Fatalf("balance %g, drawn in full %g, own %g, the peer's %g", got, own-late, own, other)
		}
		if even && (got-both > burst*0.05 || both-got > burst*0.05) {
			t.Fatalf("balance %g, of a bucket that saw all in time %g (rate %g, spent %g and %g)", got, both, rate, mine, peers)
		}
	}
}

func TestRepaidOfNothing(t *testing.T) {
	for _, x := range [][3]float64{{-1, 5, 5}, {5, -1, 5}, {5, 5, -1}, {0, 0, 0}} {
		if got := Repaid(x[0], x[1], x[2]); got != 0 {
			t.Errorf("Repaid(%v) = %g", x, got)
		}
	}
}
