// Package directory selects the limiters that clients of a zone are told to connect to. It does no I/O;
// the source of randomness is passed in.
package directory

import (
	"cmp"
	"slices"
)

// Limiter is a limiter that is ready to serve.
type Limiter struct {
	Address, Zone, Region string
}

// minAddresses is the number of limiters that an answer names at least, if that many are ready. A region
// with fewer is supplemented by other regions, but never by regions that may not serve the clients'
// requests: requests stay in their permitted regions even if no limiter is left there.
const minAddresses = 2

// Answer returns the addresses of at most limit limiters for clients of a zone, nearest first. It names
// the whole region, so that clients have an alternative if their zone fails, and find the same limiters if
// they move to another zone. If there are more limiters than limit, shuffle (as in math/rand) draws a
// random subset, so that over many answers all limiters get an equal number of clients. serves reports
// whether a region may serve the clients' requests.
func Answer(limiters []Limiter, zone, region string, serves func(region string) bool, limit int,
	shuffle func(int, func(int, int))) (addresses []string) {
	// far ranks a limiter by distance: same zone, same region, other permitted region, not permitted.
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
	limiters = slices.Clone(limiters)
	shuffle(len(limiters), func(i, k int) { limiters[i], limiters[k] = limiters[k], limiters[i] })
	inRegion, eligible := 0, 0
	for _, l := range limiters {
		if far(l) < 2 {
			inRegion++
		}
		if far(l) < 3 {
			eligible++
		}
	}
	// Sort the region's limiters first, in random order: the zone must not affect which of them are cut off by
	// the limit.
	slices.SortStableFunc(limiters, func(a, b Limiter) int { return cmp.Compare(max(1, far(a)), max(1, far(b))) })
	limiters = limiters[:min(limit, max(inRegion, min(minAddresses, eligible)))]
	slices.SortFunc(limiters, func(a, b Limiter) int { return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(a.Address, b.Address)) })
	for _, l := range limiters {
		addresses = append(addresses, l.Address)
	}
	return addresses
}
