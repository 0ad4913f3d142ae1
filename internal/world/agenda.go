package world

import "time"

// event is a scheduled state change of the world.
type event struct {
	at         time.Duration
	seq        uint64 // insertion order, for events at the same time
	kind       eventKind
	index      int
	generation uint32
	payload    any
}

type eventKind uint8

const (
	evArrival eventKind = iota
	evRetry             // a client retries
	evGiveUp
	evBox
	evDiscoveryNews
	evPeerMessage
	evFault
	evFaultEnds
	evBoxStart // a replaced or restarted box is up
	evCallback
	evSample
)

// eventQueue is a priority queue of events by time: a heap with four children per node, which needs a
// third fewer moves than a binary heap.
type eventQueue struct {
	heap []event
	seq  uint64
}

func (a *event) before(b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (a *eventQueue) add(e event) {
	a.seq++
	e.seq = a.seq
	a.heap = append(a.heap, e)
	i := len(a.heap) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&a.heap[up]) {
			break
		}
		a.heap[i] = a.heap[up]
		i = up
	}
	a.heap[i] = e
}

// pop removes and returns the earliest event. The queue must not be empty.
func (a *eventQueue) pop() event {
	first := a.heap[0]
	n := len(a.heap) - 1
	last := a.heap[n]
	a.heap[n] = event{}
	a.heap = a.heap[:n]
	if n == 0 {
		return first
	}
	i := 0
	for {
		child := 4*i + 1
		if child >= n {
			break
		}
		for k := child + 1; k < min(child+4, n); k++ {
			if a.heap[k].before(&a.heap[child]) {
				child = k
			}
		}
		if !a.heap[child].before(&last) {
			break
		}
		a.heap[i] = a.heap[child]
		i = child
	}
	a.heap[i] = last
	return first
}
