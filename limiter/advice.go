package limiter

import "math"

// Advice is the advice of plug-ins on a request, limited to what the operator permits them. It can refuse
// the request, change its worth or the order of tiers, but has no effect on quotas, ceilings, attempts,
// deadlines or the server within a tier. The zero value is no advice.
type Advice struct {
	Refuse bool
	WaitMs float64 // with Refuse: how long the client should wait, if longer than by quota
	Factor float64 // on its worth under pressure; 0: no change
	Prefer int     // number, from 1, of the tier of its pool to try first; 0: none
	Avoid  uint32  // bit set of the tiers to try last
}

// weighted returns a worth times the factor, or unchanged if the result would not be a finite worth.
func (a *Advice) weighted(worth float64) float64 {
	if w := worth * a.Factor; a.Factor > 0 && !math.IsInf(w, 0) {
		return w
	}
	return worth
}
