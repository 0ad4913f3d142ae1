//go:build !wasip1

package sdk

import (
	"math"
	"math/rand/v2"
	"time"
)

var (
	sums  = map[string]sum{}
	clock = func() time.Duration { return time.Since(start) }
	start = time.Now()
)

type sum struct {
	value float64
	half  time.Duration
	at    time.Duration
}

// Count adds to a sum of the plug-in's store that halves each half-life, and returns it; an
// amount of 0 only asks.
func Count(key string, amount float64, half time.Duration) float64 {
	s, now := sums[key], clock()
	if s.half > 0 {
		s.value *= math.Exp2(-float64(now-s.at) / float64(s.half))
	}
	if amount != 0 {
		sums[key] = sum{s.value + amount, max(10*time.Millisecond, half), now}
	}
	return s.value + amount
}

// Log writes a line to the limiter's log; here it goes nowhere.
func Log(string) {}

// Now is the time since an arbitrary start, in steps of 100 ms.
func Now() time.Duration { return clock().Truncate(100 * time.Millisecond) }

// Random is a random number.
func Random() uint64 { return rand.Uint64() }
