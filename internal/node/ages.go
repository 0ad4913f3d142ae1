package node

import (
	"math"
	"math/bits"
	"time"
)

const (
	firstGroupIdle = 25 * time.Millisecond // connections that were idle no longer form one group
	idleGroups     = 8                     // each further group reaches twice as far
	statsDecay     = 20 * time.Second      // what was seen counts ever less over this time
	priorUses      = 8.0                   // and at the start like so many exchanges without a break
	breakMargin    = 0.1                   // of a group so many more break than of new connections
	minBreaks      = 1.5                   // breaks that prove anything
	newConnGroup   = idleGroups            // the group of new connections
	noIdleLimit    = time.Duration(math.MaxInt64)
)

// ages counts by how long connections were idle how many of them broke at the next
// request. Guards against servers, or what stands between, that end kept connections
// long before the settings say and tell it only to the next request, which then may
// have run. The pool's mutex is over it.
type idleStats struct {
	uses, breaks [idleGroups + 1]float64
	decayedAt    time.Time
	limit        time.Duration // connections idle for longer break too often
}

// ageGroup is the group of a connection that was idle so long.
func idleGroup(idle time.Duration) int {
	return min(idleGroups-1, bits.Len64(uint64(max(0, idle)/firstGroupIdle)))
}

// add notes an exchange on a connection of a group.
func (a *idleStats) add(now time.Time, group int, broke bool) {
	a.decay(now)
	a.uses[group]++
	if broke {
		a.breaks[group]++
	}
	a.updateLimit()
}

// fade lets what was seen count less with time, so that a group that was given up is
// tried again.
func (a *idleStats) decay(now time.Time) {
	f := math.Exp(-float64(now.Sub(a.decayedAt)) / float64(statsDecay))
	for i := range a.uses {
		a.uses[i] *= f
		a.breaks[i] *= f
	}
	a.decayedAt = now
}

// share is how many of a group break.
func (a *idleStats) rate(group int) float64 { return a.breaks[group] / (a.uses[group] + priorUses) }

func (a *idleStats) updateLimit() {
	a.limit = noIdleLimit
	for g := 1; g < idleGroups; g++ { // the youngest are as good as new
		if a.breaks[g] >= minBreaks && a.rate(g) > a.rate(newConnGroup)+breakMargin {
			a.limit = firstGroupIdle << (g - 1)
			return
		}
	}
}
