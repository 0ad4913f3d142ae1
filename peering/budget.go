package peering

import "math"

const (
	// gossipShare is the share of a limiter's inbound message capacity that its peers use in
	// total; the rest covers jitter. The pause between two announcements of an account's level
	// starts at the time in which pauseMessages messages can be received, and grows
	// exponentially by pauseSteepness with the received share of that capacity.
	gossipShare    = 0.9
	pauseMessages  = 10.0
	pauseSteepness = 4.0
)

// Budget limits how many messages a limiter sends to its peers and how often it announces the
// level of an account, given the number of messages that each limiter can receive. It is not
// safe for concurrent use.
type Budget struct {
	// PauseMs is the time in ms between two announcements of the level of an account.
	PauseMs      float64
	credit       float64 // messages that may be sent
	received     float64 // messages received since the last tick
	receiveRatio float64 // smoothed rate of received messages, as a fraction of the fair rate
}

// Tick advances the budget by ms, in a tier of the given number of limiters that can each
// receive inPerS messages per second.
func (b *Budget) Tick(ms, inPerS float64, limiters int) {
	fair := gossipShare * inPerS * ms / 1000 // messages per tick
	b.credit = min(max(1, float64(limiters-1)), b.credit+fair)
	// All limiters receive about the same number of announcements, so the number received
	// here shows whether this one may announce levels more often. Reports are not counted:
	// only the limiter that keeps an account receives them.
	b.receiveRatio += (b.received/fair - b.receiveRatio) * ms / 1000
	b.received = 0
	b.PauseMs = 1000 * pauseMessages / inPerS * math.Exp(pauseSteepness*max(0, b.receiveRatio-0.5))
}

// CountReceived counts a level announcement that was received.
func (b *Budget) CountReceived() { b.received++ }

// Take uses one message of the budget and reports whether one was available.
func (b *Budget) Take() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
