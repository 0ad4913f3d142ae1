// Package grant manages quota leases: units granted to a proxy for a message that has yet to
// arrive. A lease ends exactly once: redeemed by its message, confirmed or cancelled by the
// proxy, or expired.
//
// A [Leases] does no I/O, starts no goroutines and reads no clock: callers pass the time. It is
// not safe for concurrent use.
package grant

import (
	"container/heap"
	"errors"
	"time"
)

// ID identifies a lease. IDs are random, so that only recipients of an ID can name the lease.
type ID [16]byte

// Terms describe the message that a lease is for, and the units leased for it.
type Terms struct {
	Account     uint64
	Plan, Class int
	Units       float64
}

// covers reports whether a lease of these terms may be redeemed by a message with terms m.
func (t Terms) covers(m Terms) bool {
	return t.Account == m.Account && t.Plan == m.Plan && t.Class == m.Class && m.Units <= t.Units
}

// EndReason is the reason why a lease ended.
type EndReason int

// The reasons why a lease ends.
const (
	Redeemed  EndReason = iota // its message arrived here: the units are spent
	Confirmed                  // the proxy reports that it was used elsewhere: the units are spent
	Cancelled                  // the units return
	Expired                    // the units return
	Moved                      // its message arrived at another limiter, which has paid: the units return
)

// ReturnsUnits reports whether the units of the lease go back to the account.
func (e EndReason) ReturnsUnits() bool { return e == Cancelled || e == Expired || e == Moved }

// Errors of lease operations.
var (
	ErrFull    = errors.New("grant: too many leases are out")
	ErrUnknown = errors.New("grant: lease is unknown or has ended")
	ErrTerms   = errors.New("grant: lease does not cover the message")
	ErrTaken   = errors.New("grant: lease id is already in use")
)

// Leases holds the open leases of one limiter and counts how the others ended.
type Leases struct {
	limit       int
	leases      map[ID]*lease
	expiryQueue expiryHeap
	counts      [Moved + 1]int
}

type lease struct {
	id        ID
	terms     Terms
	expiresAt time.Duration
	heapIndex int // in expiryQueue
}

// New returns a table for at most limit open leases.
func New(limit int) *Leases { return &Leases{limit: limit, leases: map[ID]*lease{}} }

// OpenCount returns the number of open leases.
func (b *Leases) OpenCount() int { return len(b.leases) }

// Count returns the number of leases that ended for the given reason.
func (b *Leases) Count(e EndReason) int { return b.counts[e] }

// HasRoom reports whether another lease may be opened.
func (b *Leases) HasRoom() bool { return len(b.leases) < b.limit }

// Grant opens a lease that expires at expiresAt.
func (b *Leases) Grant(id ID, t Terms, expiresAt time.Duration) error {
	if !b.HasRoom() {
		return ErrFull
	}
	if b.leases[id] != nil {
		return ErrTaken
	}
	l := &lease{id: id, terms: t, expiresAt: expiresAt}
	b.leases[id] = l
	heap.Push(&b.expiryQueue, l)
	return nil
}

// Redeem ends a lease by its message, which must have the account, plan and class of the
// lease and no more units. It returns the terms of the lease: units that the message does
// not need are spent as well. A lease past its expiry is unknown, even if Expire has not
// been called yet.
func (b *Leases) Redeem(now time.Duration, id ID, t Terms) (Terms, error) {
	l := b.leases[id]
	if l == nil || now >= l.expiresAt {
		return Terms{}, ErrUnknown
	}
	if !l.terms.covers(t) {
		return Terms{}, ErrTerms
	}
	b.end(l, Redeemed)
	return l.terms, nil
}

// End ends a lease for a reason reported by the proxy or another limiter.
func (b *Leases) End(now time.Duration, id ID, e EndReason) (Terms, error) {
	l := b.leases[id]
	if l == nil || now >= l.expiresAt {
		return Terms{}, ErrUnknown
	}
	b.end(l, e)
	return l.terms, nil
}

// Expire ends the leases that are past their expiry and calls f for each.
func (b *Leases) Expire(now time.Duration, f func(Terms)) {
	for len(b.expiryQueue) > 0 && now >= b.expiryQueue[0].expiresAt {
		l := b.expiryQueue[0]
		b.end(l, Expired)
		f(l.terms)
	}
}

// NextExpiry returns when the next lease expires; ok is false if none is open.
func (b *Leases) NextExpiry() (at time.Duration, ok bool) {
	if len(b.expiryQueue) == 0 {
		return 0, false
	}
	return b.expiryQueue[0].expiresAt, true
}

func (b *Leases) end(l *lease, e EndReason) {
	delete(b.leases, l.id)
	heap.Remove(&b.expiryQueue, l.heapIndex)
	b.counts[e]++
}

// expiryHeap implements [heap.Interface], ordered by expiry time.
type expiryHeap []*lease

func (x expiryHeap) Len() int           { return len(x) }
func (x expiryHeap) Less(i, j int) bool { return x[i].expiresAt < x[j].expiresAt }
func (x expiryHeap) Swap(i, j int) {
	x[i], x[j] = x[j], x[i]
	x[i].heapIndex, x[j].heapIndex = i, j
}
func (x *expiryHeap) Push(v any) {
	l := v.(*lease)
	l.heapIndex = len(*x)
	*x = append(*x, l)
}
func (x *expiryHeap) Pop() any {
	old := *x
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*x = old[:len(old)-1]
	return l
}
