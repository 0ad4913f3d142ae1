package plugin

import "time"

// Breaker is a circuit breaker that benches (stops calling) a failing plug-in. After a fault
// it allows one call at a time. After benchAfterFaults consecutive faults it allows none until
// a pause has passed, then a single trial call; each failed trial doubles the pause. It does no
// I/O and reads no clock: callers pass non-decreasing times. It is not safe for concurrent use.
type Breaker struct {
	consecutiveFaults int
	inFlight          int // allowed calls that have not ended yet
	pause             time.Duration
	until             time.Duration // end of the pause
	benched           bool
	trialRunning      bool // a trial call is in flight
}

const (
	benchAfterFaults = 3
	initialPause     = time.Second
	maxPause         = time.Minute
)

// Verdict is the breaker's decision on whether a call may be made now.
type Verdict int

// Verdicts of Breaker.Allow.
const (
	Allowed       Verdict = iota
	DeniedBenched         // the plug-in is benched, or its trial call is still in flight
	DeniedPending         // the last call failed and another one is in flight; its result decides first
)

// Allow decides whether a call may be made at the given time. The caller must finish each
// allowed call with Done or Cancel.
func (b *Breaker) Allow(now time.Duration) Verdict {
	switch {
	case b.benched && (b.trialRunning || now < b.until):
		return DeniedBenched
	case !b.benched && b.consecutiveFaults > 0 && b.inFlight > 0:
		return DeniedPending
	}
	b.trialRunning = b.benched
	b.inFlight++
	return Allowed
}

// Done records the result of an allowed call and reports whether it benched or reinstated
// the plug-in.
func (b *Breaker) Done(now time.Duration, ok bool) (change bool) {
	b.inFlight--
	return b.recordResult(now, ok)
}

// Fault records a fault outside a call, such as an instance that failed to start.
func (b *Breaker) Fault(now time.Duration) (change bool) { return b.recordResult(now, false) }

// recordResult updates the state after a success or fault; change means benched or reinstated.
func (b *Breaker) recordResult(now time.Duration, ok bool) (change bool) {
	switch {
	case ok && b.benched && !b.trialRunning: // a call that began before the bench does not reinstate
		return false
	case ok:
		change = b.benched
		*b = Breaker{inFlight: b.inFlight}
		return change
	case b.benched && !b.trialRunning:
		return false
	case b.benched:
		b.pause = min(maxPause, 2*b.pause)
	default:
		if b.consecutiveFaults++; b.consecutiveFaults < benchAfterFaults {
			return false
		}
		b.benched, b.pause, change = true, initialPause, true
	}
	b.trialRunning, b.until = false, now+b.pause
	return change
}

// Cancel ends an allowed call without a result, because it was not made or its client
// disconnected. If it was the trial call, the trial is still due.
func (b *Breaker) Cancel() {
	b.inFlight--
	b.trialRunning = false
}

// Reset reinstates the plug-in at once and forgets its faults.
func (b *Breaker) Reset() { *b = Breaker{inFlight: b.inFlight} }

// Benched reports whether the plug-in is benched, and until when.
func (b *Breaker) Benched() (until time.Duration, benched bool) { return b.until, b.benched }
