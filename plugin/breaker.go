package plugin

import "time"

// Breaker benches a plug-in that fails. After a fault it lets one call through at a time,
// after faults in a row none for a pause, then one trial, and a longer pause if that fails
// too. It does no I/O and reads no clock; times are handed in and do not go back. It is not
// safe for concurrent use.
type Breaker struct {
	faults  int
	out     int // calls that were allowed and have not ended
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

// Verdict is whether a call may be made.
type Verdict int

// The verdicts.
const (
	Allowed Verdict = iota
	OnBench         // it is not asked for a while
	InTurn          // another call has to show first that the plug-in does not fail
)

// Allow tells whether a call may be made at a time. One that is allowed has to end with
// Done or Void.
func (b *Breaker) Allow(now time.Duration) Verdict {
	switch {
	case b.benched && (b.trial || now < b.until):
		return OnBench
	case !b.benched && b.faults > 0 && b.out > 0:
		return InTurn
	}
	b.trial = b.benched
	b.out++
	return Allowed
}

// Done takes in how a call that was allowed ended, and tells whether the plug-in was
// benched, or let back, by it.
func (b *Breaker) Done(now time.Duration, ok bool) (change bool) {
	b.out--
	return b.ended(now, ok)
}

// Fault takes in a fault outside of a call, such as of a start.
func (b *Breaker) Fault(now time.Duration) (change bool) { return b.ended(now, false) }

func (b *Breaker) ended(now time.Duration, ok bool) (change bool) {
	switch {
	case ok && b.benched && !b.trial: // it began before
		return false
	case ok:
		change = b.benched
		*b = Breaker{out: b.out}
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
func (b *Breaker) Void() {
	b.out--
	b.trial = false
}

// Reset lets a plug-in back at once.
func (b *Breaker) Reset() { *b = Breaker{out: b.out} }

// Benched tells until when a plug-in is benched, if it is.
func (b *Breaker) Benched() (until time.Duration, benched bool) { return b.until, b.benched }
