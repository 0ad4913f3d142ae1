//go:build !wasip1

package sdk

import (
	"math/rand/v2"
	"time"

	"example.org/madderdrum/advice"
)

// What a plug-in's host would keep, for tests on the machine itself.
var (
	start = time.Now()
	sums  = advice.NewCounters(1024)
)

// Count adds to a sum of the plug-in's store that halves each half-life, and returns it; an
// amount of 0 only asks.
func Count(key string, amount float64, half time.Duration) float64 {
	return sums.Add(time.Since(start), []byte(key), amount, half)
}

// Log writes a line to the limiter's log; here it goes nowhere.
func Log(string) {}

// Now is the time since an arbitrary start, in steps of 100 ms.
func Now() time.Duration { return time.Since(start).Truncate(100 * time.Millisecond) }

// Random is a random number.
func Random() uint64 { return rand.Uint64() }
