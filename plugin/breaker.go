package plugin

import "time"

// Breaker benches a plug-in that fails: after faults in a row it lets nothing through for
// a pause, then one trial, and a longer pause if that fails too. It does no I/O and reads no
// clock; times are handed in and do not go back. It is not safe for concurrent use.
type Breaker struct {
	faults  int
	pause   time.Duration
	until   time.Duration
	benched bool
	trial   bool // one is out
}

const (
	benchAfter = 3
	firstPause = time.Second
	mostPause  = time.Minute
)

// Allow tells whether a call may be made at a time.
func (b *Breaker) Allow(now time.Duration) bool {
	if !b.benched {
		return true
	}
	if b.trial || now < b.until {
		return false
	}
	b.trial = true
	return true
}

// Done takes in how a call that was allowed ended, and tells whether the plug-in was
// benched, or let back, by it.
func (b *Breaker) Done(now time.Duration, ok bool) (change bool) {
	switch {
	case ok && b.benched && !b.trial: // it began before
		return false
	case ok:
		change = b.benched
		*b = Breaker{}
		return change
	case b.benched && !b.trial:
		return false
	case b.benched:
		b.pause = min(mostPause, 2*b.pause)
	default:
		if b.faults++; b.faults < benchAfter {
			return false
		}
		b.benched, b.pause, change = true, firstPause, true
	}
	b.trial, b.until = false, now+b.pause
	return change
}

// Void takes in that a call that was allowed says nothing of the plug-in: it was not made,
// or its client left. A trial is still to come then.
func (b *Breaker) Void() { b.trial = false }

// Reset lets a plug-in back at once.
func (b *Breaker) Reset() { *b = Breaker{} }

// Benched tells until when a plug-in is benched, if it is.
func (b *Breaker) Benched() (until time.Duration, benched bool) { return b.until, b.benched }
