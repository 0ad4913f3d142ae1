// Package allowance says how much of what binds all limiters together one of them may use: of
// tenants' quotas, of further tries, of what cold servers bear. It does no input or output and
// reads no clock.
package allowance

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"example.org/madderdrum/control/places"
)

// Rules are the figures of the rules in force.
type Rules struct {
	QuotaWindow     time.Duration
	QuotaOvershoot  float64 // share by which a tenant may be over its quota in a window ...
	QuotaSlack      float64 // ... and requests besides
	RetryRatio      float64 // arrivals beyond the first of each request, by requests ...
	RetrySlack      float64 // ... and a number besides
	WarmupOvershoot float64 // factor on what a cold server bears ...
	WarmupSlack     float64 // ... and requests besides, in one second
}

const (
	// Parts of the rule's slack that go into caps, and that limiters begin with.
	capSlack   = 0.6
	beginSlack = 0.3
	// Part of what the rule lets a tenant have beyond its rate that goes into caps: the rest
	// is for what is under way at the ends of a window.
	capOvershoot = 0.8
	// A limiter that begins anew has been down for half a second at least.
	leastDown = 0.5 // s
)

// Ceiling is what all limiters together may pass of a tenant: a bucket of its own.
type Ceiling struct {
	Rate  float64 // requests a second; 0: no ceiling
	Burst float64
}

// Ceiling is that of a tenant's quota: what the rule allows, less what may be under way at the
// ends of a window.
func (r Rules) Ceiling(rate, burst float64) Ceiling {
	if rate <= 0 {
		return Ceiling{}
	}
	window := max(1, r.QuotaWindow.Seconds())
	return Ceiling{rate, max(1, burst*(1+r.QuotaOvershoot)+capSlack*r.QuotaSlack+capOvershoot*r.QuotaOvershoot*rate*window)}
}

// Begins is what limiters that begin anew, all of them at most, have of a ceiling at once. Their
// parts may have been spent before, so it is what is left of the slack, and what has come up
// while they were down.
func (r Rules) Begins(c Ceiling) float64 {
	return min(c.Burst, beginSlack*r.QuotaSlack+leastDown*c.Rate)
}

const (
	// leastPart is the number of requests that an equal part must hold to be of use.
	leastPart = 2.0
	// keeperPart is what a keeper's part is to hold, and leastKeepers how many a region has
	// at least: one that is lost takes its part with it.
	keeperPart   = 8.0
	leastKeepers = 2
)

// Place is that of one limiter. One without a name is free.
type Place struct{ Name, Region string }

// PlacesOf are the places of limiters by slot, in each set of a table that somebody may still go by, the
// newest last. region tells where a zone is.
func PlacesOf(t places.Table, region func(zone string) string) (all [][]Place) {
	for _, set := range t.Sets() {
		members := make([]Place, len(t.Places))
		for _, slot := range set {
			p := &t.Places[slot]
			members[slot] = Place{Name: p.Name, Region: region(p.Zone)}
		}
		all = append(all, members)
	}
	return all
}

// KeeperShares are the shares of a tenant's ceiling that limiters may use by slot, while somebody may
// still go by one of some sets of places: the least that a slot has in any of them. nil where equal
// parts are of use in all of them.
func KeeperShares(tenant string, c Ceiling, sets [][]Place) []float64 {
	var shares []float64
	gathered := false
	for _, set := range sets {
		keepers := Keepers(tenant, c, set)
		gathered = gathered || keepers != nil
		shares = least(shares, sharesOf(keepers, set))
	}
	if !gathered {
		return nil
	}
	return shares
}

// sharesOf are the shares of a ceiling by slot in one set: those of its keepers or, where there are none,
// equal ones.
func sharesOf(keepers []int, set []Place) []float64 {
	shares := make([]float64, len(set))
	if keepers == nil {
		n := count(set)
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

// least is the lesser of two shares for each slot; those of nil are not counted.
func least(a, b []float64) []float64 {
	if a == nil {
		return b
	}
	for slot := range b {
		b[slot] = min(a[slot], b[slot])
	}
	return b
}

func count(set []Place) (n int) {
	for _, p := range set {
		if p.Name != "" {
			n++
		}
	}
	return n
}

// Keepers are the places at which a tenant's ceiling is gathered, the same wherever they are
// worked out; nil where equal parts are of use. Each region has as many.
func Keepers(tenant string, c Ceiling, places []Place) (all []int) {
	n := float64(max(1, count(places)))
	if c.Rate <= 0 || c.Burst/n >= leastPart {
		return nil
	}
	byRegion := map[string][]int{}
	for i, p := range places {
		if p.Name != "" {
			byRegion[p.Region] = append(byRegion[p.Region], i)
		}
	}
	each := max(leastKeepers, int(c.Burst/(keeperPart*float64(len(byRegion)))))
	for _, of := range byRegion {
		slices.SortFunc(of, func(a, b int) int {
			return cmp.Or(cmp.Compare(weight(tenant, places[a]), weight(tenant, places[b])), cmp.Compare(a, b))
		})
		all = append(all, of[:min(each, len(of))]...)
	}
	slices.Sort(all)
	return all
}

func weight(tenant string, p Place) uint64 {
	h := fnv.New64a()
	h.Write([]byte(tenant + p.Name))
	return h.Sum64()
}

const (
	coldShare = 0.9                   // of what a cold server may get
	coldSlack = 25 * time.Millisecond // by which arrivals may come closer than sends
)

// ColdPause is the least time between two requests of one limiter to one cold server, which
// bears so many a second. Only limiters of the server's own zone send to it while it is cold,
// and near is how many of them have places: one more may join. The sum keeps the rule, whoever
// is out of touch.
func (r Rules) ColdPause(perS float64, near int) time.Duration {
	each := int((perS*r.WarmupOvershoot + r.WarmupSlack) * coldShare / float64(near+1))
	if each < 1 {
		return time.Hour
	}
	return time.Second/time.Duration(each) + coldSlack
}

// Tries is a limiter's budget of arrivals beyond the first of each request. It is earned by
// requests alone, and what all limiters have saved up stays under the rule's slack, so that the
// sum keeps the rule as long as an equal part of that slack holds one arrival.
type Tries struct{ have float64 }

const (
	triesPart = 0.8 // of the ratio of the rule
	triesMost = 3.0 // that a limiter may have saved up
	triesAll  = 0.9 // of the slack of the rule that all limiters may have saved up
	// Part of that slack that the limiters of a system that starts for the first time have
	// together at once. One that starts later has to earn it: how many do is not known.
	triesFirst = 0.5
)

// First is a budget as the limiters that begin together have it, each of so many.
func (r Rules) First(limiters int) *Tries {
	return &Tries{min(triesMost, triesFirst*r.RetrySlack/float64(max(1, limiters)))}
}

// Earn adds what one request earns to the budget of one of so many limiters.
func (t *Tries) Earn(r Rules, limiters int) {
	most := min(triesMost, max(1, triesAll*r.RetrySlack/float64(max(1, limiters))))
	t.have = max(t.have, min(most, t.have+triesPart*r.RetryRatio))
}

// Take takes one further arrival, if there is one left.
func (t *Tries) Take() bool {
	if t.have < 1 {
		return false
	}
	t.have--
	return true
}

// Asks says when a limiter whose part of a tenant's ceiling is short asks another for a single
// token. While others have none either the asks become rare: a tenant that sends many times its
// quota must not have every refusal cost two messages. Times are in milliseconds on a clock that
// does not go backwards. The zero value asks at once.
type Asks struct{ notBefore, pause float64 }

const (
	asksPause = 100.0  // ms without asks after a refusal, doubled by each further one
	asksMost  = 1600.0 // ms
)

// Due tells whether another may be asked now.
func (a *Asks) Due(now float64) bool { return now >= a.notBefore }

// Paid notes that another had a token.
func (a *Asks) Paid() { *a = Asks{} }

// Refused notes that nobody who was asked had one.
func (a *Asks) Refused(now float64) {
	a.pause = min(asksMost, max(asksPause, 2*a.pause))
	a.notBefore = now + a.pause
}
