package shutdown

import "time"

const (
	// StallAfter is a pause between two ticks by which a process has stood still: it was stopped, or had no
	// processor. Ticks come every tenth of it, or more often.
	StallAfter = 500 * time.Millisecond
	// SettleWithin is for how long after a stall no request that was read is begun: signals that came meanwhile are
	// still on their way through the process.
	SettleWithin = 250 * time.Millisecond
	// SignalWithin is how long that may take on a machine without a free processor. A signal that is heard so soon
	// after a stall may have been sent in it.
	SignalWithin = time.Second
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
	return d.since(now, SettleWithin)
}

// since tells that the process stood still until now, or went on so shortly ago.
func (d *StallDetector) since(now, within time.Duration) bool {
	return now-d.ticked > StallAfter || d.resumed > 0 && now-d.resumed < within
}

// SentFrom is the earliest moment at which a signal that is heard now may have been sent: now, or when the process
// had last run if it has just gone on.
func (d *StallDetector) SentFrom(now time.Duration) time.Duration {
	switch {
	case !d.since(now, SignalWithin):
		return now
	case now-d.ticked > StallAfter && (d.resumed == 0 || d.ticked-d.resumed >= SignalWithin):
		return d.ticked
	}
	return d.before
}

// Stalls is how many there were, and how long the longest one was.
func (d *StallDetector) Stalls() (count int, longest time.Duration) { return d.stalls, d.longest }
