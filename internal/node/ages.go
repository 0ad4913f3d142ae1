package node

import (
	"math"
	"math/bits"
	"time"
)

const (
	youngest   = 25 * time.Millisecond // connections that were idle no longer form one group
	ageGroups  = 8                     // each further group reaches twice as far
	ageMemory  = 20 * time.Second      // what was seen counts ever less over this time
	agePrior   = 8.0                   // and at the start like so many exchanges without a break
	ageWorse   = 0.1                   // of a group so many more break than of new connections
	ageLeast   = 1.5                   // breaks that prove anything
	newConns   = ageGroups             // the group of new connections
	ageForever = time.Duration(math.MaxInt64)
)

// ages counts by how long connections were idle how many of them broke at the next
// request. Guards against servers, or what stands between, that end kept connections
// long before the settings say and tell it only to the next request, which then may
// have run. The pool's mutex is over it.
type ages struct {
	uses, breaks [ageGroups + 1]float64
	at           time.Time
	limit        time.Duration // connections idle for longer break too often
}

// ageGroup is the group of a connection that was idle so long.
func ageGroup(idle time.Duration) int {
	return min(ageGroups-1, bits.Len64(uint64(max(0, idle)/youngest)))
}

// add notes an exchange on a connection of a group.
func (a *ages) add(now time.Time, group int, broke bool) {
	a.fade(now)
	a.uses[group]++
	if broke {
		a.breaks[group]++
	}
	a.judge()
}

// fade lets what was seen count less with time, so that a group that was given up is
// tried again.
func (a *ages) fade(now time.Time) {
	f := math.Exp(-float64(now.Sub(a.at)) / float64(ageMemory))
	for i := range a.uses {
		a.uses[i] *= f
		a.breaks[i] *= f
	}
	a.at = now
}

// share is how many of a group break.
func (a *ages) share(group int) float64 { return a.breaks[group] / (a.uses[group] + agePrior) }

func (a *ages) judge() {
	a.limit = ageForever
	for g := 1; g < ageGroups; g++ { // the youngest are as good as new
		if a.breaks[g] >= ageLeast && a.share(g) > a.share(newConns)+ageWorse {
			a.limit = youngest << (g - 1)
			return
		}
	}
}
