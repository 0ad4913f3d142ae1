package places

import "time"

const (
	// LeaseLength is how long a limiter goes by a table after the latest proof that it is current. It is
	// longer than what limiters and core machines are cut off from each other for on the days of both
	// sites (20 s), and than a core without majority is to be borne (30 s).
	LeaseLength = 40 * time.Second
	// provisionalLength is how long a life goes by proof from before it began. A former life may have
	// acknowledged a newer table than such a proof is of: see ackWait.
	provisionalLength = 2 * time.Second
	// ClockDrift bounds by how much two steady clocks may differ in pace.
	ClockDrift = 0.01
	// leaseEndsWithin is the span after which a lease has ended by any clock, whoever had it.
	leaseEndsWithin = LeaseLength + time.Duration(2*ClockDrift*float64(LeaseLength)) + 200*time.Millisecond
	// ackWait is how long acknowledgements of a table must have been waited for at least: by then no
	// provisional lease of an older one is left.
	ackWait = provisionalLength + 500*time.Millisecond
)

// Lease is for how long a limiter may go by the table that it has. The zero value has ended.
type Lease struct {
	end time.Duration
}

// Renew takes in proof that the table was current at a time, on the clock of the process, which began
// at another. It tells whether the lease ends later now.
func (l *Lease) Renew(proved, began time.Duration) bool {
	end := proved + LeaseLength
	if proved <= began {
		end = proved + provisionalLength
	}
	if end <= l.end {
		return false
	}
	l.end = end
	return true
}

// End is when the lease ends.
func (l *Lease) End() time.Duration { return l.end }

// Use is what the limiter of a slot may use by a table, and until when by its lease. Without a slot, which
// is less than 0, it may use nothing.
func (l *Lease) Use(t Table, slot int) (share float64, until time.Duration) {
	if slot < 0 {
		return 0, 0
	}
	if share = Share(t.Sets(), slot); share == 0 {
		return 0, 0
	}
	return share, l.end
}

// Valid tells that the lease has not ended.
func (l *Lease) Valid(now time.Duration) bool { return now < l.end }
