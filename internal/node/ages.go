package node

import (
	"math"
	"math/bits"
	"time"
)

const (
	firstGroupIdle = 25 * time.Millisecond // upper limit of the first group
	idleGroups     = 8                     // each group covers twice the time of the one before
	statsDecay     = 20 * time.Second      // time constant of the exponential decay of counts
	priorUses      = 8.0                   // uses without a break that every group starts with
	breakMargin    = 0.1                   // excess of a group's break rate over that of new connections
	minBreaks      = 1.5                   // fewer breaks are not significant
	newConnGroup   = idleGroups            // the group of new connections
	noIdleLimit    = time.Duration(math.MaxInt64)
)

// idleStats counts, by the idle time of connections, how many broke at the next request. It detects servers or
// middleboxes that close idle connections long before the configured time and signal it only in response to the
// next request, which then may have been executed. It is guarded by the pool's mutex.
type idleStats struct {
	uses, breaks [idleGroups + 1]float64
	decayedAt    time.Time
	limit        time.Duration // connections that were idle longer break too often
}

// idleGroup returns the group of a connection that was idle for the given time.
func idleGroup(idle time.Duration) int {
	return min(idleGroups-1, bits.Len64(uint64(max(0, idle)/firstGroupIdle)))
}

// add counts an exchange on a connection of a group.
func (a *idleStats) add(now time.Time, group int, broke bool) {
	a.decay(now)
	a.uses[group]++
	if broke {
		a.breaks[group]++
	}
	a.updateLimit()
}

// decay reduces the weight of earlier observations, so that idle times above the limit are tried again later.
func (a *idleStats) decay(now time.Time) {
	f := math.Exp(-float64(now.Sub(a.decayedAt)) / float64(statsDecay))
	for i := range a.uses {
		a.uses[i] *= f
		a.breaks[i] *= f
	}
	a.decayedAt = now
}

// rate returns the share of connections of a group that broke.
func (a *idleStats) rate(group int) float64 { return a.breaks[group] / (a.uses[group] + priorUses) }

func (a *idleStats) updateLimit() {
	a.limit = noIdleLimit
	for g := 1; g < idleGroups; g++ { // the first group counts as new
		if a.breaks[g] >= minBreaks && a.rate(g) > a.rate(newConnGroup)+breakMargin {
			a.limit = firstGroupIdle << (g - 1)
			return
		}
	}
}
