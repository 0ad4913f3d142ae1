package advice

import (
	"math"
	"time"
)

// Counters is a plug-in's private store: a bounded number of decaying sums by key. It
// does no I/O and reads no clock, and is not safe for concurrent use.
type Counters struct {
	maxKeys int
	sums    map[string]decayingSum
}

// decayingSum is a value at the time of its last update, which halves with each half-life.
type decayingSum struct {
	value     float64
	halfLife  time.Duration
	updatedAt time.Duration
}

// MostHalf is the maximum half-life of a sum. Longer ones are reduced to it.
const MostHalf = time.Hour

const (
	maxKeyBytes = 64 // bytes
	minHalfLife = 10 * time.Millisecond
	maxSum      = 1e15
)

// NewCounters returns an empty store with the given maximum number of keys.
func NewCounters(most int) *Counters { return &Counters{maxKeys: most, sums: map[string]decayingSum{}} }

// Add adds an amount to the sum of a key, which decays with the given half-life, and returns the
// new sum. An amount of 0 only reads. If a new key finds the store full, the least recently
// updated of a sample of keys is evicted.
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

// evictOldest removes the least recently updated key of a sample.
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

// Len returns the number of keys in the store.
func (c *Counters) Len() int { return len(c.sums) }
