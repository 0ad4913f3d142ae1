// Package counsel turns what plug-ins say together into what the decision module takes. It
// does no input or output and reads no clock.
package counsel

import (
	"slices"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/limiter"
)

// Of is advice for the module; tiers are the names of those of the request's pool, by rank.
// Tiers that the pool does not have are passed over: a plug-in is asked about requests of
// many pools.
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

// Due tells whether a request is to be put to plug-ins: not one with a lease, as the ask that
// it was leased by has been.
func Due(s *limiter.Submit) bool { return s.Leased <= 0 && !s.Vouched }
