// Package directory says which limiters clients of a zone are sent to. It does no input or output; chance
// is handed in.
package directory

import (
	"cmp"
	"slices"
)

// Limiter is one that is ready.
type Limiter struct {
	Address, Zone, Region string
}

// least are the limiters in an answer, if so many are ready: where a region has fewer, others
// are named too, but never those of regions that may not serve what the clients ask for: requests are
// not led out of their homes, not even where nobody is left there.
const least = 2

// Answer lists the addresses for clients of a zone, near ones first, and most of them at most.
// The whole region is named: where a zone goes dark its clients still have somebody to go to, and
// clients that move to another zone find the same limiters. Of more than fit a part is drawn by
// shuffle, as in math/rand, so that over many answers all get as many clients. serves tells whether a
// region may serve what the clients ask for.
func Answer(all []Limiter, zone, region string, serves func(region string) bool, most int, shuffle func(int, func(int, int))) (out []string) {
	far := func(l Limiter) int {
		switch {
		case l.Zone == zone:
			return 0
		case l.Region == region:
			return 1
		case serves(l.Region):
			return 2
		}
		return 3
	}
	all = slices.Clone(all)
	shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	near, fit := 0, 0
	for _, l := range all {
		if far(l) < 2 {
			near++
		}
		if far(l) < 3 {
			fit++
		}
	}
	// Those of the region first, in the order of chance: which of them are left out must not go
	// by their zone.
	slices.SortStableFunc(all, func(a, b Limiter) int { return cmp.Compare(max(1, far(a)), max(1, far(b))) })
	all = all[:min(most, max(near, min(least, fit)))]
	slices.SortFunc(all, func(a, b Limiter) int { return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(a.Address, b.Address)) })
	for _, l := range all {
		out = append(out, l.Address)
	}
	return out
}
