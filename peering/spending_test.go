package peering

import (
	"math/rand/v2"
	"testing"
)

// Two limiters spend at the same time without hearing of each other, then one receives what the
// other spent. Its balance must then be at least that of a bucket charged late and in full, and at
// most the lower of the two buckets. If both spend evenly, it is close to that of a bucket charged in time.
func TestRepaid(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	const burst, steps = 50.0, 400
	for range 2000 {
		rate := 0.5 + r.Float64()
		ownRate, peerRate := r.Float64()*rate, r.Float64()*rate
		even := r.IntN(2) == 0
		own, other, both := burst, burst, burst
		idle, late := 0.0, 0.0
		for range steps {
			a, b := ownRate, peerRate
			if !even {
				a, b = a*2*r.Float64(), b*2*r.Float64()
			}
			own, other, both, late = own+rate-a, other+rate-b, both+rate-a-b, late+b
			idle += max(0, own-burst)
			own, other, both = min(burst, own), min(burst, other), min(burst, both)
		}
		got := own - (late - Repaid(late, idle, other-(own-late)))
		if got < own-late-1e-9 || got > max(own-late, min(own, other))+1e-9 {
			t.Fatalf("balance %g, charged in full %g, own %g, peer's %g", got, own-late, own, other)
		}
		if even && (got-both > burst*0.05 || both-got > burst*0.05) {
			t.Fatalf("balance %g, of a bucket charged in time %g (rate %g, spent %g and %g)", got, both, rate, ownRate, peerRate)
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
