package advice

import (
	"math"
	"time"
)

// Counters are a plug-in's own store: decaying sums by key, a bounded number of them. It
// does no I/O and reads no clock, and is not safe for concurrent use.
type Counters struct {
	most int
	sums map[string]sum
}

type sum struct {
	value float64
	half  time.Duration
	at    time.Duration
}

// MostHalf is the longest half-life of a sum.
const MostHalf = time.Hour

const (
	mostKey   = 64 // bytes
	leastHalf = 10 * time.Millisecond
	mostSum   = 1e15
)

// NewCounters returns a store of so many keys at most.
func NewCounters(most int) *Counters { return &Counters{most: most, sums: map[string]sum{}} }

// Add adds to the sum of a key, which halves each half-life, and returns it. An amount of 0
// only asks. With no room for a new key the one that was least lately added to, of some that
// are looked at, is forgotten.
func (c *Counters) Add(now time.Duration, key []byte, amount float64, half time.Duration) float64 {
	if len(key) > mostKey || math.IsNaN(amount) || math.IsInf(amount, 0) {
		return 0
	}
	half = max(leastHalf, min(MostHalf, half))
	s, have := c.sums[string(key)]
	if have {
		s.value *= math.Exp2(-float64(now-s.at) / float64(s.half))
	}
	if amount == 0 {
		return s.value
	}
	if !have && len(c.sums) >= c.most {
		c.drop()
	}
	s = sum{max(-mostSum, min(mostSum, s.value+amount)), half, now}
	c.sums[string(key)] = s
	return s.value
}

// drop forgets the oldest of a few keys.
func (c *Counters) drop() {
	const looked = 16
	oldest, n := "", 0
	for k, s := range c.sums {
		if n == 0 || s.at < c.sums[oldest].at {
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
