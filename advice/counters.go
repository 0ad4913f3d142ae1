package advice

import (
	"math"
	"time"
)

// Counters are a plug-in's own store: decaying sums by key, a bounded number of them. It
// does no I/O and reads no clock, and is not safe for concurrent use.
type Counters struct {
	maxKeys int
	sums    map[string]decayingSum
}

type decayingSum struct {
	value     float64
	halfLife  time.Duration
	updatedAt time.Duration
}

// MostHalf is the longest half-life of a sum.
const MostHalf = time.Hour

const (
	maxKeyBytes = 64 // bytes
	minHalfLife = 10 * time.Millisecond
	maxSum      = 1e15
)

// NewCounters returns a store of so many keys at most.
func NewCounters(most int) *Counters { return &Counters{maxKeys: most, sums: map[string]decayingSum{}} }

// Add adds to the sum of a key, which halves each half-life, and returns it. An amount of 0
// only asks. With no room for a new key the one that was least lately added to, of some that
// are looked at, is forgotten.
func (c *Counters) Add(now time.Duration, key []byte, amount float64, half time.Duration) float64 {
	if len(key) > maxKeyBytes || math.IsNaN(amount) || math.IsInf(amount, 0) {
		return 0
	}
	half = max(minHalfLife, min(MostHalf, half))
	s, have := c.sums[string(key)]
	if have {
		s.value *= math.Exp2(-float64(now-s.updatedAt) / float64(s.halfLife))
	}
	if amount == 0 {
		return s.value
	}
	if !have && len(c.sums) >= c.maxKeys {
		c.evictOldest()
	}
	s = decayingSum{max(-maxSum, min(maxSum, s.value+amount)), half, now}
	c.sums[string(key)] = s
	return s.value
}

// drop forgets the oldest of a few keys.
func (c *Counters) evictOldest() {
	const looked = 16
	oldest, n := "", 0
	for k, s := range c.sums {
		if n == 0 || s.updatedAt < c.sums[oldest].updatedAt {
			oldest = k
		}
		if n++; n == looked {
			break
		}
	}
	delete(c.sums, oldest)
}

// Len is the number of keys.
func (c *Counters) Len() int { return len(c.sums) }
