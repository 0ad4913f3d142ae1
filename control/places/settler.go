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

// receivedAck is an acknowledgement with its effective time on the local clock.
type receivedAck struct {
	version     uint64
	effectiveAt time.Duration // it takes effect then
}

// observedVersion is a version with the time at which it was first observed.
type observedVersion struct {
	version    uint64
	observedAt time.Duration
}

// SettlementTracker determines, for one registry, up to which version the table is settled. It decides by
// the acknowledgements of the limiters and by the time since each version was first observed.
type SettlementTracker struct {
	observed         []observedVersion // by ascending version
	acknowledgements map[string][]receivedAck
}

// NewSettlementTracker returns a tracker that has observed no version.
func NewSettlementTracker() *SettlementTracker {
	return &SettlementTracker{acknowledgements: map[string][]receivedAck{}}
}

// ObserveTable records that a version of the table was received, and drops entries that are no longer needed.
func (s *SettlementTracker) ObserveTable(now time.Duration, t Table, version uint64) {
	if n := len(s.observed); n == 0 || s.observed[n-1].version < version {
		s.observed = append(s.observed, observedVersion{version, now})
	}
	changes := t.UnsettledVersions()
	s.observed = slices.DeleteFunc(s.observed, func(observed observedVersion) bool {
		return len(changes) == 0 || observed.version < changes[0]
	})
	for holder := range s.acknowledgements {
		if t.slotOfHolder(holder) < 0 {
			delete(s.acknowledgements, holder)
		}
	}
}

// RecordAcknowledgement records an acknowledgement received at the time now.
func (s *SettlementTracker) RecordAcknowledgement(now time.Duration, a Acknowledgement) {
	effectiveAt := now + time.Duration(a.InMs)*time.Millisecond
	all := slices.DeleteFunc(s.acknowledgements[a.Holder], func(ack receivedAck) bool {
		return ack.version <= a.Version && ack.effectiveAt >= effectiveAt // subsumed by the new one
	})
	known := slices.ContainsFunc(all, func(ack receivedAck) bool { return ack.version >= a.Version && ack.effectiveAt <= effectiveAt })
	if !known {
		all = append(all, receivedAck{a.Version, effectiveAt})
	}
	s.acknowledgements[a.Holder] = forgetSuperseded(now, all)
}

// forgetSuperseded drops acknowledgements of versions older than the newest one in effect.
func forgetSuperseded(now time.Duration, all []receivedAck) []receivedAck {
	newest := uint64(0)
	for _, ack := range all {
		if ack.effectiveAt <= now {
			newest = max(newest, ack.version)
		}
	}
	return slices.DeleteFunc(all, func(ack receivedAck) bool { return ack.version < newest })
}

// Acknowledgements returns the acknowledgements received from some holders, to be sent to another registry.
func (s *SettlementTracker) Acknowledgements(now time.Duration, holders []string) (all []Acknowledgement) {
	for _, holder := range holders {
		for _, ack := range s.acknowledgements[holder] {
			in := max(0, ack.effectiveAt-now+time.Millisecond-1)
			all = append(all, Acknowledgement{Holder: holder, Version: ack.version, InMs: uint64(in / time.Millisecond)})
		}
	}
	return all
}

// AwaitedHolders returns the holders whose acknowledgements are missing for the newest change that was
// first observed at least [minAckWait] ago.
func (s *SettlementTracker) AwaitedHolders(now time.Duration, t Table) []string {
	for _, change := range slices.Backward(t.UnsettledVersions()) {
		if observedAt, ok := s.firstObserved(change); ok && now-observedAt >= minAckWait {
			return s.MissingHolders(now, &t, change)
		}
	}
	return nil
}

// VersionToSettle returns the newest version up to which the table is settled. ok is false if the table
// already has it, or a later one, as its settled version.
func (s *SettlementTracker) VersionToSettle(now time.Duration, t Table) (version uint64, ok bool) {
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
func (s *SettlementTracker) isSettled(now time.Duration, t *Table, change uint64) bool {
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
func (s *SettlementTracker) firstObserved(version uint64) (at time.Duration, ok bool) {
	i := slices.IndexFunc(s.observed, func(observed observedVersion) bool { return observed.version >= version })
	if i < 0 {
		return 0, false
	}
	return s.observed[i].observedAt, true
}

// MissingHolders returns the holders of shares under tables older than a version that have not yet
// acknowledged that version or a later one, sorted.
func (s *SettlementTracker) MissingHolders(now time.Duration, t *Table, version uint64) []string {
	return slices.DeleteFunc(t.HoldersBefore(version), func(holder string) bool {
		return slices.ContainsFunc(s.acknowledgements[holder], func(ack receivedAck) bool {
			return ack.version >= version && ack.effectiveAt <= now
		})
	})
}

// MaxTimeLeft returns the longest time that it can take until a version is settled.
func (s *SettlementTracker) MaxTimeLeft(now time.Duration, version uint64) time.Duration {
	observedAt, ok := s.firstObserved(version)
	if !ok {
		return allLeasesExpireWithin
	}
	return max(0, observedAt+allLeasesExpireWithin-now)
}
