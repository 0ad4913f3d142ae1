package capacity

import "math"

// bucket tracks the units left in a token bucket for needs at given times, which may take units
// in any order: over each span of time, at most the burst plus the refill of that span. With P_k
// the sum of the units taken up to need k, the span from need i to need j has
//
//	burst + (rate*t_j - P_j) - (rate*t_i - P_(i-1))
//
// units left. The units available to need k are therefore a minimum over the needs from k on and a
// maximum over the needs up to k. Taking units changes a range of both, so they are kept in two
// segment trees that share their nodes.
type bucket struct {
	leaves int // number of leaves, a power of two
	minAfter,
	maxBefore []float64 // per node: minimum of rate*t_j - P_j and maximum of rate*t_i - P_(i-1) over its leaves
	pending []float64 // per node: change of both values not yet applied to its descendants
}

// newBucket returns a full bucket for count needs, where at returns the time of need k.
func newBucket(rate float64, at func(k int) float64, count int) *bucket {
	b := &bucket{leaves: 1}
	for b.leaves < count {
		b.leaves *= 2
	}
	b.minAfter, b.maxBefore, b.pending = make([]float64, 2*b.leaves), make([]float64, 2*b.leaves), make([]float64, 2*b.leaves)
	for k := range b.leaves {
		b.minAfter[b.leaves+k], b.maxBefore[b.leaves+k] = math.Inf(1), math.Inf(-1)
		if k < count {
			x := rate * at(k)
			b.minAfter[b.leaves+k], b.maxBefore[b.leaves+k] = x, x
		}
	}
	for i := b.leaves - 1; i >= 1; i-- {
		b.minAfter[i], b.maxBefore[i] = min(b.minAfter[2*i], b.minAfter[2*i+1]), max(b.maxBefore[2*i], b.maxBefore[2*i+1])
	}
	return b
}

// available returns the units that need k may take if the bucket has the given burst.
func (b *bucket) available(k int, burst float64) float64 {
	// From the leaf to the root: siblings on the right hold later needs, those on the left earlier ones.
	after, before := b.minAfter[b.leaves+k], b.maxBefore[b.leaves+k]
	for i := b.leaves + k; i > 1; i /= 2 {
		if i%2 == 0 {
			after = min(after, b.minAfter[i+1])
		} else {
			before = max(before, b.maxBefore[i-1])
		}
		after, before = after+b.pending[i/2], before+b.pending[i/2]
	}
	return burst + after - before
}

// take takes units for need k. P grows from k on, so rate*t - P_j falls from k on, and the value
// with P_(i-1) only after k.
func (b *bucket) take(k int, units float64) {
	b.minAfter[b.leaves+k] -= units
	for i := b.leaves + k; i > 1; i /= 2 {
		if i%2 == 0 {
			b.subtract(i+1, units)
		}
		p := i / 2
		b.minAfter[p] = min(b.minAfter[2*p], b.minAfter[2*p+1]) + b.pending[p]
		b.maxBefore[p] = max(b.maxBefore[2*p], b.maxBefore[2*p+1]) + b.pending[p]
	}
}

// subtract lowers both values of all leaves below node i.
func (b *bucket) subtract(i int, units float64) {
	b.minAfter[i] -= units
	b.maxBefore[i] -= units
	if i < b.leaves {
		b.pending[i] -= units
	}
}
