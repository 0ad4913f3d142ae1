package capacity

import "math"

// bucket is what is left of a token bucket over time, for needs at given times of which some
// take units: over each span of time no more than the burst and what the rate gives in it. With
// P the sum of what is taken up to a need, the span from i to j leaves
//
//	burst + (rate*t_j - P_j) - (rate*t_i - P_(i-1))
//
// so that what is left for one need is a minimum over those behind it and a maximum over those
// before it, and taking changes a range of both: two segment trees in one array.
type bucket struct {
	n int // leaves, a power of two
	least,
	most []float64 // of rate*t_j - P_j and of rate*t_i - P_(i-1) below a node
	add []float64 // to all below a node, of both
}

func newBucket(rate float64, at func(k int) float64, count int) *bucket {
	b := &bucket{n: 1}
	for b.n < count {
		b.n *= 2
	}
	b.least, b.most, b.add = make([]float64, 2*b.n), make([]float64, 2*b.n), make([]float64, 2*b.n)
	for k := range b.n {
		b.least[b.n+k], b.most[b.n+k] = math.Inf(1), math.Inf(-1)
		if k < count {
			x := rate * at(k)
			b.least[b.n+k], b.most[b.n+k] = x, x
		}
	}
	for i := b.n - 1; i >= 1; i-- {
		b.least[i], b.most[i] = min(b.least[2*i], b.least[2*i+1]), max(b.most[2*i], b.most[2*i+1])
	}
	return b
}

// left is what need k may take of a bucket of a burst.
func (b *bucket) left(k int, burst float64) float64 {
	// From the leaf up: what hangs right of the way is behind k, what hangs left is before it.
	after, before := b.least[b.n+k], b.most[b.n+k]
	for i := b.n + k; i > 1; i /= 2 {
		if i%2 == 0 {
			after = min(after, b.least[i+1])
		} else {
			before = max(before, b.most[i-1])
		}
		after, before = after+b.add[i/2], before+b.add[i/2]
	}
	return burst + after - before
}

// take has need k take units: P rises from k on, so that least falls from k on and most behind k.
func (b *bucket) take(k int, units float64) {
	b.least[b.n+k] -= units
	for i := b.n + k; i > 1; i /= 2 {
		if i%2 == 0 {
			b.fall(i+1, units)
		}
		p := i / 2
		b.least[p] = min(b.least[2*p], b.least[2*p+1]) + b.add[p]
		b.most[p] = max(b.most[2*p], b.most[2*p+1]) + b.add[p]
	}
}

// fall lowers all below a node.
func (b *bucket) fall(i int, units float64) {
	b.least[i] -= units
	b.most[i] -= units
	if i < b.n {
		b.add[i] -= units
	}
}
