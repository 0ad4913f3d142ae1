package places

import "time"

const (
	// LeaseLength is how long a limiter may use a table after the latest proof that it is current. It is
	// longer than the partitions between limiters and core machines that have to be survived at both sites
	// (20 s), and longer than the core may be without a majority (30 s).
	LeaseLength = 40 * time.Second
	// provisionalLeaseLength is the length of a lease whose proof dates from before the process began. The
	// limiter's previous process may have acknowledged a newer table than the proof covers: see minAckWait.
	provisionalLeaseLength = 2 * time.Second
	// ClockDrift bounds the relative difference in rate of two monotonic clocks.
	ClockDrift = 0.01
	// allLeasesExpireWithin is the time after which every lease on an older table has expired by any clock.
	allLeasesExpireWithin = LeaseLength + time.Duration(2*ClockDrift*float64(LeaseLength)) + 200*time.Millisecond
	// minAckWait is the shortest time to wait for acknowledgements of a table: after it no provisional
	// lease on an older table is left.
	minAckWait = provisionalLeaseLength + 500*time.Millisecond
)

// Lease bounds how long a limiter may use the table that it has. The zero value has expired.
type Lease struct {
	end time.Duration
}

// Renew extends the lease by a proof that the table was current at the time proved. The process began at
// the time began; both are on its own clock. Renew reports whether the lease now ends later.
func (l *Lease) Renew(proved, began time.Duration) bool {
	end := proved + LeaseLength
	if proved <= began {
		end = proved + provisionalLeaseLength
	}
	if end <= l.end {
		return false
	}
	l.end = end
	return true
}

// End returns the time at which the lease expires.
func (l *Lease) End() time.Duration { return l.end }

// UsableShare returns the share that the limiter of a slot may use under a table, and the time until which
// its lease permits that. A limiter without a slot, which is given as a negative number, may use nothing.
func (l *Lease) UsableShare(t Table, slot int) (share float64, until time.Duration) {
	if slot < 0 {
		return 0, 0
	}
	if share = Share(t.SetsInUse(), slot); share == 0 {
		return 0, 0
	}
	return share, l.end
}

// Valid reports whether the lease has not expired.
func (l *Lease) Valid(now time.Duration) bool { return now < l.end }
