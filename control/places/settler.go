package places

import (
	"slices"
	"time"
)

// Acknowledgement states that a limiter uses the table of a version, and will never again use an older
// one, from some time on.
type Acknowledgement struct {
	Holder  string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// InMs is the number of milliseconds after which it takes effect. Until then borrowers may still use
	// what the limiter lent from a share that it no longer has.
	InMs uint64 `cbor:"3,keyasint,omitempty"`
}

// received is an acknowledgement with its effective time on the local clock.
type received struct {
	version     uint64
	effectiveAt time.Duration
}

// observed is a version with the time at which it was first observed.
type observed struct {
	version    uint64
	observedAt time.Duration
}

// AckTracker determines, for one registry, up to which version the table is settled. It decides by
// the acknowledgements of the limiters and by the time since each version was first observed.
type AckTracker struct {
	observed []observed // by ascending version
	received map[string][]received
}

// NewAckTracker returns a tracker that has observed no version.
func NewAckTracker() *AckTracker { return &AckTracker{received: map[string][]received{}} }

// Add records that a version of the table was received, and drops entries that are no longer needed.
func (s *AckTracker) Add(now time.Duration, t Table, version uint64) {
	if n := len(s.observed); n == 0 || s.observed[n-1].version < version {
		s.observed = append(s.observed, observed{version, now})
	}
	changes := t.UnsettledVersions()
	s.observed = slices.DeleteFunc(s.observed, func(x observed) bool {
		return len(changes) == 0 || x.version < changes[0]
	})
	for holder := range s.received {
		if t.slotOfHolder(holder) < 0 {
			delete(s.received, holder)
		}
	}
}

// Receive records an acknowledgement received at the time now.
func (s *AckTracker) Receive(now time.Duration, a Acknowledgement) {
	effectiveAt := now + time.Duration(a.InMs)*time.Millisecond
	all := slices.DeleteFunc(s.received[a.Holder], func(ack received) bool {
		return ack.version <= a.Version && ack.effectiveAt >= effectiveAt // subsumed by the new one
	})
	known := slices.ContainsFunc(all,
		func(ack received) bool { return ack.version >= a.Version && ack.effectiveAt <= effectiveAt })
	if !known {
		all = append(all, received{a.Version, effectiveAt})
	}
	s.received[a.Holder] = forgetSuperseded(now, all)
}

// forgetSuperseded drops acknowledgements of versions older than the newest one in effect.
func forgetSuperseded(now time.Duration, all []received) []received {
	newest := uint64(0)
	for _, ack := range all {
		if ack.effectiveAt <= now {
			newest = max(newest, ack.version)
		}
	}
	return slices.DeleteFunc(all, func(ack received) bool { return ack.version < newest })
}

// Acknowledgements returns the acknowledgements received from some holders, to be sent to another registry.
func (s *AckTracker) Acknowledgements(now time.Duration, holders []string) (all []Acknowledgement) {
	for _, holder := range holders {
		for _, ack := range s.received[holder] {
			in := max(0, ack.effectiveAt-now+time.Millisecond-1)
			all = append(all, Acknowledgement{Holder: holder, Version: ack.version, InMs: uint64(in / time.Millisecond)})
		}
	}
	return all
}

// Awaited returns the holders whose acknowledgements are missing for the newest change that was
// first observed at least [minAckWait] ago.
func (s *AckTracker) Awaited(now time.Duration, t Table) []string {
	for _, change := range slices.Backward(t.UnsettledVersions()) {
		if observedAt, ok := s.firstObserved(change); ok && now-observedAt >= minAckWait {
			return s.MissingHolders(now, &t, change)
		}
	}
	return nil
}

// Due returns the newest version up to which the table is settled. ok is false if the table
// already has it, or a later one, as its settled version.
func (s *AckTracker) Due(now time.Duration, t Table) (version uint64, ok bool) {
	changes := t.UnsettledVersions()
	for _, change := range slices.Backward(changes) {
		if s.isSettled(now, &t, change) {
			version = t.newestSettleable(change)
			return version, version > t.Settled
		}
	}
	return 0, false
}

// isSettled reports whether nobody uses a table older than the one with a change any more.
func (s *AckTracker) isSettled(now time.Duration, t *Table, change uint64) bool {
	observedAt, ok := s.firstObserved(change)
	switch {
	case !ok:
		return false
	case now-observedAt >= allLeasesExpireWithin:
		return true
	case now-observedAt < minAckWait:
		return false
	}
	return len(s.MissingHolders(now, t, change)) == 0
}

// firstObserved returns the time at which a version or a later one was first observed.
func (s *AckTracker) firstObserved(version uint64) (observedAt time.Duration, ok bool) {
	i := slices.IndexFunc(s.observed, func(x observed) bool { return x.version >= version })
	if i < 0 {
		return 0, false
	}
	return s.observed[i].observedAt, true
}

// MissingHolders returns the holders of shares under tables older than a version that have not yet
// acknowledged that version or a later one, sorted.
func (s *AckTracker) MissingHolders(now time.Duration, t *Table, version uint64) []string {
	return slices.DeleteFunc(t.HoldersBefore(version), func(holder string) bool {
		return slices.ContainsFunc(s.received[holder], func(ack received) bool {
			return ack.version >= version && ack.effectiveAt <= now
		})
	})
}

// MaxTimeLeft returns the longest time that it can take until a version is settled.
func (s *AckTracker) MaxTimeLeft(now time.Duration, version uint64) time.Duration {
	observedAt, ok := s.firstObserved(version)
	if !ok {
		return allLeasesExpireWithin
	}
	return max(0, observedAt+allLeasesExpireWithin-now)
}
