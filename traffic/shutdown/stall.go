package shutdown

import "time"

const (
	// StallAfter is a pause between two ticks by which a process has stood still: it was stopped, or had no
	// processor. Ticks come every tenth of it, or more often.
	StallAfter = 500 * time.Millisecond
	// SettleWithin is how long after a stall signals that came meanwhile may still be on their way through the
	// process. Requests that were read are not begun before.
	SettleWithin = 100 * time.Millisecond
)

// StallDetector finds out that its process stood still, by ticks that did not come. Times are monotonic, from any
// beginning. The zero value has had its first tick at 0.
type StallDetector struct {
	ticked  time.Duration // the latest tick
	before  time.Duration // the latest one before the latest stall
	resumed time.Duration // the first one behind it; 0: there was no stall
	stalls  int
	longest time.Duration
}

// Tick tells that the process runs.
func (d *StallDetector) Tick(now time.Duration) {
	if gap := now - d.ticked; gap > StallAfter {
		d.before, d.resumed = d.ticked, now
		d.stalls++
		d.longest = max(d.longest, gap)
	}
	d.ticked = now
}

// Settling tells that the process has just gone on, or stood still until this moment: what was sent to it
// meanwhile may not have been heard.
func (d *StallDetector) Settling(now time.Duration) bool {
	return now-d.ticked > StallAfter || d.resumed > 0 && now-d.resumed < SettleWithin
}

// SentFrom is the earliest moment at which a signal that is heard now may have been sent: now, or when the process
// had last run if it has just gone on.
func (d *StallDetector) SentFrom(now time.Duration) time.Duration {
	switch {
	case !d.Settling(now):
		return now
	case now-d.ticked > StallAfter:
		return d.ticked
	}
	return d.before
}

// Stalls is how many there were, and how long the longest one was.
func (d *StallDetector) Stalls() (count int, longest time.Duration) { return d.stalls, d.longest }
