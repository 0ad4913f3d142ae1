// Package paired tests whether the mean difference between paired runs (with equal seeds) is significant.
package paired

import "math"

// studentT has the 97.5% quantiles of Student's t distribution for 1 to 30 degrees of freedom (R. A.
// Fisher, F. Yates: Statistical Tables). Above that, 2 is close enough.
var studentT = [...]float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
	2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042}

// Noise returns the half-width of the 95% confidence interval of the mean difference: a mean beyond
// it is significant. It returns 0 for fewer than two differences, which allow no estimate.
func Noise(differences []float64) float64 {
	n := float64(len(differences))
	if n < 2 {
		return 0
	}
	mean, square := 0.0, 0.0
	for _, d := range differences {
		mean += d / n
	}
	for _, d := range differences {
		square += (d - mean) * (d - mean)
	}
	t := 2.0
	if k := len(differences) - 2; k < len(studentT) {
		t = studentT[k]
	}
	return t * math.Sqrt(square/(n-1)/n)
}
