// Package counsel converts the combined advice of plug-ins to the form that the decision module
// takes. It does no input or output and reads no clock.
package counsel

import (
	"slices"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/limiter"
)

// Of converts combined advice; tiers are the names of the tiers of the request's pool, by rank.
// Unknown tiers are ignored, because a plug-in is asked about requests of many pools.
func Of(c *advice.Combined, tiers []string) limiter.Advice {
	a := limiter.Advice{Refuse: c.Refuse, WaitMs: c.WaitMs, Factor: c.Factor}
	if c.Prefer != "" {
		a.Prefer = slices.Index(tiers, c.Prefer) + 1
	}
	for _, name := range c.Avoid {
		if k := slices.Index(tiers, name); k >= 0 {
			a.Avoid |= 1 << k
		}
	}
	return a
}

// Due reports whether plug-ins should be asked about a request. They are not if it has a lease,
// because they were asked when the lease was granted.
func Due(s *limiter.Submit) bool { return s.Leased <= 0 && !s.QuotaChecked }
