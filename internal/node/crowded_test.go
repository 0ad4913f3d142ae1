package node

import (
	"container/heap"
	"testing"
	"time"
)

// callQueue is a heap of the times at which limiters call, earliest first.
type callQueue []plannedCall

type plannedCall struct {
	at      time.Duration
	limiter int
}

func (m callQueue) Len() int           { return len(m) }
func (m callQueue) Less(i, j int) bool { return m[i].at < m[j].at }
func (m callQueue) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *callQueue) Push(x any)        { *m = append(*m, x.(plannedCall)) }
func (m *callQueue) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// Limiters that are started together against one overloaded discovery agent all get its list in the end. The
// agent answers 10 calls a second, one after the other; a call that has waited two seconds has timed out but is
// still processed, and one that arrives when the queue is three times as long is rejected at once, which also
// takes time. Most calls fail at first. With pauses from 50 ms to 1 s, independent of the number of limiters,
// the queue stayed full of calls that had timed out: after a minute three in four limiters had no list.
func TestCrowdedDiscovery(t *testing.T) {
	const (
		limiters, callTime, rejectTime = 80, 100 * time.Millisecond, 10 * time.Millisecond
		callTimeout, maxWait           = 2 * time.Second, 6 * time.Second
	)
	var calls callQueue
	for i := range limiters {
		heap.Push(&calls, plannedCall{0, i})
	}
	pauses := map[int]interface{ NextBackOff() time.Duration }{}
	busyUntil, answered, callsMade := time.Duration(0), 0, 0
	for len(calls) > 0 {
		c := heap.Pop(&calls).(plannedCall)
		if c.at > time.Minute {
			break
		}
		callsMade++
		if pauses[c.limiter] == nil {
			pauses[c.limiter] = overloadBackoff(limiters)
		}
		retry := func(failed time.Duration) {
			heap.Push(&calls, plannedCall{failed + pauses[c.limiter].NextBackOff(), c.limiter})
		}
		busyUntil = max(busyUntil, c.at)
		if busyUntil-c.at > maxWait {
			busyUntil += rejectTime
			retry(c.at)
			continue
		}
		if busyUntil += callTime; busyUntil-c.at > callTimeout {
			retry(c.at + callTimeout)
			continue
		}
		answered++
	}
	if answered < limiters {
		t.Errorf("after a minute and %d calls %d of %d limiters have the list", callsMade, answered, limiters)
	}
}

// The pauses of a small number of limiters are not lengthened.
func TestFewAreNotSlowed(t *testing.T) {
	b := overloadBackoff(3)
	if b.InitialInterval > 100*time.Millisecond || b.MaxInterval > retryMax {
		t.Errorf("three limiters pause from %v to %v", b.InitialInterval, b.MaxInterval)
	}
}
