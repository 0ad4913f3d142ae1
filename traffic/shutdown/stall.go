package shutdown

import "time"

const (
	// StallThreshold is the gap between two ticks above which the process counts as stalled: it was suspended,
	// or got no CPU time. Ticks come at intervals of at most a tenth of it.
	StallThreshold = 500 * time.Millisecond
	// SettleTime is how long after a stall no request that was read is started: signals that arrived during
	// the stall may not have been handled yet.
	SettleTime = 250 * time.Millisecond
	// SignalDelay is how long handling a signal may take on a machine without a free CPU. A signal handled
	// within this time after a stall may have been sent during the stall.
	SignalDelay = time.Second
)

// StallDetector detects, by missing ticks, that its process was stalled. Times are monotonic, from any
// origin. The zero value has had its first tick at 0.
type StallDetector struct {
	lastTick    time.Duration
	beforeStall time.Duration // last tick before the latest stall
	resumedAt   time.Duration // first tick after the latest stall; 0: there was none
	stallCount  int
	longest     time.Duration
}

// Tick records that the process is running. It must be called regularly.
func (d *StallDetector) Tick(now time.Duration) {
	if gap := now - d.lastTick; gap > StallThreshold {
		d.beforeStall, d.resumedAt = d.lastTick, now
		d.stallCount++
		d.longest = max(d.longest, gap)
	}
	d.lastTick = now
}

// Settling reports whether the process is stalled or resumed less than SettleTime ago, so that a signal
// sent meanwhile may not have been handled yet.
func (d *StallDetector) Settling(now time.Duration) bool {
	return d.stalledWithin(now, SettleTime)
}

// stalledWithin reports whether the process is stalled or resumed less than within ago.
func (d *StallDetector) stalledWithin(now, within time.Duration) bool {
	return now-d.lastTick > StallThreshold || d.resumedAt > 0 && now-d.resumedAt < within
}

// EarliestSent returns the earliest time at which a signal handled now may have been sent: now, or the
// last tick before the stall if the process has just resumed.
func (d *StallDetector) EarliestSent(now time.Duration) time.Duration {
	switch {
	case !d.stalledWithin(now, SignalDelay):
		return now
	case now-d.lastTick > StallThreshold && (d.resumedAt == 0 || d.lastTick-d.resumedAt >= SignalDelay):
		return d.lastTick
	}
	return d.beforeStall
}

// Stalls returns the number of stalls and the longest one.
func (d *StallDetector) Stalls() (count int, longest time.Duration) { return d.stallCount, d.longest }
