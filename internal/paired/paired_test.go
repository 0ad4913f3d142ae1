package paired

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Random differences with mean 0 stay below the noise in 95% of the cases, for few and many differences.
func TestNoise(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{2, 3, 8, 31, 60} {
		over := 0
		for range 4000 {
			d, mean := make([]float64, n), 0.0
			for i := range d {
				d[i] = r.NormFloat64()
				mean += d[i] / float64(n)
			}
			if math.Abs(mean) > Noise(d) {
				over++
			}
		}
		if over < 150 || over > 250 {
			t.Errorf("%d differences: over the noise in %d of 4000", n, over)
		}
	}
	if Noise(nil) != 0 || Noise([]float64{1}) != 0 {
		t.Error("noise of fewer than two differences is not 0")
	}
}
