package node

import (
	"container/heap"
	"testing"
	"time"
)

// moments are times at which a limiter calls, the earliest first.
type moments []moment

type moment struct {
	at      time.Duration
	limiter int
}

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at < m[j].at }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// Limiters that are started together before one overloaded discovery all have its list
// in the end. It answers 10 calls a second, one after the other; a call that has waited
// two seconds has failed and is worked on all the same, and one that comes when three
// times as much is in line is turned away at once, which is work as well. Most limiters
// fail at first. With pauses from 50 ms to a second, whatever the number of limiters,
// the line stays full of calls that nobody waits for: after a minute three in four of
// them had no list.
func TestCrowdedDiscovery(t *testing.T) {
	const (
		limiters, each, turning = 80, 100 * time.Millisecond, 10 * time.Millisecond
		patience, line          = 2 * time.Second, 6 * time.Second
	)
	var calls moments
	for i := range limiters {
		heap.Push(&calls, moment{0, i})
	}
	pauses := map[int]interface{ NextBackOff() time.Duration }{}
	free, answered, made := time.Duration(0), 0, 0
	for len(calls) > 0 {
		c := heap.Pop(&calls).(moment)
		if c.at > time.Minute {
			break
		}
		made++
		if pauses[c.limiter] == nil {
			pauses[c.limiter] = overloadBackoff(limiters)
		}
		again := func(failed time.Duration) {
			heap.Push(&calls, moment{failed + pauses[c.limiter].NextBackOff(), c.limiter})
		}
		free = max(free, c.at)
		if free-c.at > line {
			free += turning
			again(c.at)
			continue
		}
		if free += each; free-c.at > patience {
			again(c.at + patience)
			continue
		}
		answered++
	}
	if answered < limiters {
		t.Errorf("after a minute and %d calls %d of %d limiters have the list", made, answered, limiters)
	}
}

// A few limiters go on calling at the pace that they always had.
func TestFewAreNotSlowed(t *testing.T) {
	b := overloadBackoff(3)
	if b.InitialInterval > 100*time.Millisecond || b.MaxInterval > retryMax {
		t.Errorf("three limiters pause from %v to %v", b.InitialInterval, b.MaxInterval)
	}
}
