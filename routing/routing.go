// Package routing holds, for one limiter and one pool, which tier of preference a
// request may go to: the first that can take it, with a stated share that may spill to
// the next one, and a gradual way back for a tier that was lost. It does no input or
// output and reads no clock: times are handed in, in milliseconds on any clock that does
// not go backwards. It is not safe for concurrent use.
package routing

import "math"

const (
	// spillMs is the time over which the share that spills is averaged.
	spillMs = 5000.0
	// A tier that comes back is given firstShare of the requests, and twice as much after
	// each stepMs in which stepProofs answers came and none failed; a failure halves it.
	firstShare = 0.05
	stepMs     = 500.0
	stepProofs = 3
)

// Tiers are those of a pool, the most preferred first.
type Tiers struct {
	tiers []tier
}

type tier struct {
	spill         float64 // share that may leave it while some box of it is usable
	usable        int
	lost          bool
	share         float64 // of the requests that it may take; 1 but on its way back
	stepAt        float64
	proofs        int
	asked, leaves float64 // decayed counts: requests that came to it, and that left it
	countedAt     float64
}

// New returns tiers, of each of which the given share of requests may spill to the next
// one; none is known to be lost.
func New(spill []float64) *Tiers {
	t := &Tiers{}
	for _, s := range spill {
		t.tiers = append(t.tiers, tier{spill: s, share: 1})
	}
	return t
}

// Spill sets the shares that may spill; what is known of the tiers stays.
func (t *Tiers) Spill(spill []float64) {
	for k := range t.tiers {
		t.tiers[k].spill = spill[k]
	}
}

// Len is the number of tiers.
func (t *Tiers) Len() int { return len(t.tiers) }

// See tells how many boxes of a tier are listed and can be used now. One that has none
// is lost; one that has some again begins its way back.
func (t *Tiers) See(now float64, k, boxes, usable int) (change bool) {
	x := &t.tiers[k]
	was := x.lost
	x.usable, x.lost = usable, boxes > 0 && usable == 0
	switch {
	case x.lost && !was:
		x.share = 0
	case was && !x.lost:
		x.share, x.stepAt, x.proofs = firstShare, now, 0
	case !x.lost && x.share < 1 && now-x.stepAt >= stepMs && x.proofs >= stepProofs:
		x.share, x.stepAt, x.proofs = min(1, 2*x.share), now, 0
	default:
		return false
	}
	return true
}

// Enter tells whether a request may be tried at a tier; u is a random number from 0 to
// 1. What a tier on its way back does not take goes on to the next one, and is no spill.
func (t *Tiers) Enter(now float64, k int, u float64) bool {
	x := &t.tiers[k]
	if x.lost || u >= x.share {
		return false
	}
	x.fade(now)
	x.asked++
	return true
}

// Leave tells whether a request that a tier can't take, although it has usable boxes,
// may spill to the next one. What may not is to be refused.
func (t *Tiers) Leave(now float64, k int) bool {
	x := &t.tiers[k]
	if k+1 >= len(t.tiers) {
		return false
	}
	if x.usable == 0 { // lost, and not seen yet
		return true
	}
	x.fade(now)
	room := x.spill * x.asked
	if x.spill > 0 { // the first may go, however few have come
		room = max(1, room)
	}
	if x.spill < 1 && x.leaves+1 > room {
		return false
	}
	x.leaves++
	return true
}

// Proved tells of an answer of a tier, and whether it was a good one. A failure while it
// is on its way back takes half of its share away.
func (t *Tiers) Proved(now float64, k int, good bool) {
	x := &t.tiers[k]
	switch {
	case x.share >= 1:
	case good:
		x.proofs++
	default:
		x.share, x.stepAt, x.proofs = max(firstShare, x.share/2), now, 0
	}
}

// State is what operators see of a tier.
type State struct {
	Usable  int
	Share   float64 // of the requests that it may take
	Spilled float64 // share of the requests that left it of late
	Lost    bool
}

// State returns that of a tier.
func (t *Tiers) State(now float64, k int) State {
	x := &t.tiers[k]
	x.fade(now)
	return State{x.usable, x.share, x.leaves / max(1, x.asked), x.lost}
}

// fade brings the counts up to date.
func (x *tier) fade(now float64) {
	f := math.Exp((x.countedAt - now) / spillMs)
	x.asked, x.leaves, x.countedAt = x.asked*f, x.leaves*f, now
}
