package limiter

import "math"

// Advice is what plug-ins say of a request, within what the operator grants them. It can
// have it refused, or weighed otherwise against others; quotas, ceilings, attempts,
// deadlines and which server takes it do not go by it. The zero value is none.
type Advice struct {
	Refuse bool
	WaitMs float64 // with Refuse: when to come back, if that is longer than for want of quota
	Factor float64 // on what it is worth under pressure; 0: none
	Prefer int     // the place from 1 of the tier of its pool to be tried first; 0: none
	Avoid  uint32  // the tiers to be tried last, a bit each
}

// weighed is a worth by advice. Whatever the factor is, what comes of it is a worth.
func (a *Advice) weighted(worth float64) float64 {
	if w := worth * a.Factor; a.Factor > 0 && !math.IsInf(w, 0) {
		return w
	}
	return worth
}
