// Package allowance computes how much of a limit that all limiters share a single limiter may use: of
// tenants' quotas, of the retry budget, and of the capacity of servers that are warming up. It does no I/O
// and reads no clock.
package allowance

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"example.org/madderdrum/control/places"
)

// Rules holds the limits that the configuration sets for all limiters together.
type Rules struct {
	QuotaWindow     time.Duration
	QuotaOvershoot  float64 // share by which a tenant may exceed its quota in a window ...
	QuotaSlack      float64 // ... plus this many requests
	RetryRatio      float64 // upstream attempts beyond the first of each request, as a share of requests ...
	RetrySlack      float64 // ... plus this many attempts
	WarmupOvershoot float64 // factor on the rate that a cold server can take ...
	WarmupSlack     float64 // ... plus this many requests, in any one second
}

const (
	// Shares of QuotaSlack that are added to ceilings, and that restarted limiters may use at once.
	ceilingSlackShare = 0.6
	restartSlackShare = 0.3
	// Share of the overshoot allowance that is added to ceilings. The rest covers requests that are in flight
	// at either end of a window.
	ceilingOvershootShare = 0.8
	// A limiter that restarts has been down for at least half a second.
	minDowntimeSeconds = 0.5
)

// Ceiling is a token bucket that limits what all limiters together may admit for one tenant.
type Ceiling struct {
	Rate  float64 // requests per second; 0: no ceiling
	Burst float64
}

// Strictest returns the ceiling that keeps requests within both ceilings.
func (c Ceiling) Strictest(other Ceiling) Ceiling {
	switch {
	case c.Rate <= 0:
		return other
	case other.Rate <= 0:
		return c
	}
	return Ceiling{Rate: min(c.Rate, other.Rate), Burst: min(c.Burst, other.Burst)}
}

// Ceiling returns the ceiling for a tenant's quota: what the rules allow, less a reserve for requests in
// flight at either end of a window.
func (r Rules) Ceiling(rate, burst float64) Ceiling {
	if rate <= 0 {
		return Ceiling{}
	}
	window := max(1, r.QuotaWindow.Seconds())
	return Ceiling{rate, max(1, burst*(1+r.QuotaOvershoot)+ceilingSlackShare*r.QuotaSlack+
		ceilingOvershootShare*r.QuotaOvershoot*rate*window)}
}

// RestartBurst returns the number of tokens that all limiters which restart at the same time may have of a
// ceiling at once. They may have used up their parts before the restart, so this is what remains of the
// slack plus what accrued while they were down.
func (r Rules) RestartBurst(c Ceiling) float64 {
	return min(c.Burst, restartSlackShare*r.QuotaSlack+minDowntimeSeconds*c.Rate)
}

const (
	// minPartRequests is the number of requests that an equal part must hold to be usable.
	minPartRequests = 2.0
	// keeperPartRequests is the number of requests that a keeper's part should hold. minKeepersPerRegion is
	// the least number of keepers in a region: a keeper that fails takes its part with it.
	keeperPartRequests  = 8.0
	minKeepersPerRegion = 2
)

// Place is the slot of one limiter. A place without a name is free.
type Place struct{ Name, Region string }

// PlaceSets returns the places of limiters by slot, for each set in the table that some limiter may still
// be using, newest last. region returns the region of a zone.
func PlaceSets(t places.Table, region func(zone string) string) (all [][]Place) {
	for _, set := range t.SetsInUse() {
		members := make([]Place, len(t.Places))
		for _, slot := range set {
			p := &t.Places[slot]
			members[slot] = Place{Name: p.Name, Region: region(p.Zone)}
		}
		all = append(all, members)
	}
	return all
}

// KeeperShares returns, by slot, the share of a tenant's ceiling that each limiter may use while limiters
// may be using any of the given sets of places: the smallest share that the slot has in any set. It
// returns nil if equal parts are usable in all of them.
func KeeperShares(tenant string, c Ceiling, sets [][]Place) []float64 {
	var shares []float64
	split := false
	for _, set := range sets {
		keepers := Keepers(tenant, c, set)
		split = split || keepers != nil
		shares = minShares(shares, sharesBySlot(keepers, set))
	}
	if !split {
		return nil
	}
	return shares
}

// sharesBySlot returns the shares of a ceiling in one set: split among its keepers or, if there are none,
// equally among all limiters.
func sharesBySlot(keepers []int, set []Place) []float64 {
	shares := make([]float64, len(set))
	if keepers == nil {
		n := countOccupied(set)
		for slot, p := range set {
			if p.Name != "" {
				shares[slot] = 1 / float64(n)
			}
		}
	}
	for _, slot := range keepers {
		shares[slot] = 1 / float64(len(keepers))
	}
	return shares
}

// minShares returns the smaller of the two shares of each slot. If a is nil, b is returned as it is.
func minShares(a, b []float64) []float64 {
	if a == nil {
		return b
	}
	for slot := range b {
		b[slot] = min(a[slot], b[slot])
	}
	return b
}

func countOccupied(set []Place) (n int) {
	for _, p := range set {
		if p.Name != "" {
			n++
		}
	}
	return n
}

// Keepers returns the slots of the limiters among which a tenant's ceiling is split when equal parts for
// all limiters would be too small to be usable; nil if equal parts are usable. Every limiter computes the
// same keepers, and each region has the same number of them, as far as it has enough limiters.
func Keepers(tenant string, c Ceiling, places []Place) (keepers []int) {
	n := float64(max(1, countOccupied(places)))
	if c.Rate <= 0 || c.Burst/n >= minPartRequests {
		return nil
	}
	byRegion := map[string][]int{}
	for i, p := range places {
		if p.Name != "" {
			byRegion[p.Region] = append(byRegion[p.Region], i)
		}
	}
	perRegion := max(minKeepersPerRegion, int(c.Burst/(keeperPartRequests*float64(len(byRegion)))))
	for _, slots := range byRegion {
		slices.SortFunc(slots, func(a, b int) int {
			return cmp.Or(cmp.Compare(rendezvousWeight(tenant, places[a]), rendezvousWeight(tenant, places[b])), cmp.Compare(a, b))
		})
		keepers = append(keepers, slots[:min(perRegion, len(slots))]...)
	}
	slices.Sort(keepers)
	return keepers
}

func rendezvousWeight(tenant string, p Place) uint64 {
	h := fnv.New64a()
	h.Write([]byte(tenant + p.Name))
	return h.Sum64()
}

const (
	coldShare     = 0.9                   // share of the permitted rate that cold servers are given
	arrivalJitter = 25 * time.Millisecond // by how much requests may bunch up between sender and server
)

// ColdInterval returns the least time between two requests from one limiter to one cold server that can
// take perSecond requests per second. Only limiters in the server's zone send to it while it is cold.
// zoneLimiters is how many of them hold places; one more may be joining. The limiters together stay within
// the rules even if they can't reach each other.
func (r Rules) ColdInterval(perSecond float64, zoneLimiters int) time.Duration {
	perLimiter := int((perSecond*r.WarmupOvershoot + r.WarmupSlack) * coldShare / float64(zoneLimiters+1))
	if perLimiter < 1 {
		return time.Hour
	}
	return time.Second/time.Duration(perLimiter) + arrivalJitter
}

// RetryBudget is a limiter's budget of upstream attempts beyond the first of each request. Only requests
// earn it, and what all limiters together have saved stays below the slack in the rules. So the total
// stays within the rules as long as an equal part of the slack holds one attempt.
type RetryBudget struct{ tokens float64 }

const (
	earnedShare     = 0.8 // of RetryRatio
	maxRetryTokens  = 3.0 // per limiter
	savedSlackShare = 0.9 // of RetrySlack, for all limiters together
	// Share of RetrySlack that limiters have together when a system starts for the first time. A limiter that
	// starts later must earn its budget, because the number of limiters that start with it is unknown.
	initialSlackShare = 0.5
)

// InitialRetryBudget returns the budget of each of the given number of limiters when a system starts for
// the first time.
func (r Rules) InitialRetryBudget(limiters int) *RetryBudget {
	return &RetryBudget{min(maxRetryTokens, initialSlackShare*r.RetrySlack/float64(max(1, limiters)))}
}

// Earn credits the budget of one of the given number of limiters for one request.
func (t *RetryBudget) Earn(r Rules, limiters int) {
	limit := min(maxRetryTokens, max(1, savedSlackShare*r.RetrySlack/float64(max(1, limiters))))
	t.tokens = max(t.tokens, min(limit, t.tokens+earnedShare*r.RetryRatio))
}

// Take spends one attempt if the budget holds one.
func (t *RetryBudget) Take() bool {
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// AskBackoff decides when a limiter whose part of a tenant's ceiling is used up asks another limiter for a
// single token. While the others have none either, asks become rare: for a tenant that sends many times
// its quota, not every rejection may cost two messages. Times are monotonic, in milliseconds. The zero
// value allows an ask at once.
type AskBackoff struct{ notBefore, pause float64 }

const (
	minAskPauseMs = 100.0 // pause after a refusal, doubled by each further one
	maxAskPauseMs = 1600.0
)

// Due reports whether another limiter may be asked now.
func (a *AskBackoff) Due(now float64) bool { return now >= a.notBefore }

// Granted records that another limiter granted a token, and ends the pause.
func (a *AskBackoff) Granted() { *a = AskBackoff{} }

// Refused records that none of the limiters asked had a token, and lengthens the pause.
func (a *AskBackoff) Refused(now float64) {
	a.pause = min(maxAskPauseMs, max(minAskPauseMs, 2*a.pause))
	a.notBefore = now + a.pause
}
