package places

import (
	"slices"
	"time"
)

// Acknowledgement is that a limiter goes by the table of a version, and by no older one ever after,
// from a time on.
type Acknowledgement struct {
	Holder  string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// InMs is in how many milliseconds it holds: until then others may use what they have borrowed of a
	// part that the limiter has no more.
	InMs uint64 `cbor:"3,keyasint,omitempty"`
}

// acknowledged is an acknowledgement as it was heard.
type acknowledged struct {
	version uint64
	at      time.Duration // from then on
}

// seen is when a version was first heard of.
type seen struct {
	version uint64
	at      time.Duration
}

// Settler works out, for a registry, up to which version the table is settled. It decides by what
// limiters have acknowledged and by the time since versions were heard of.
type Settler struct {
	seen         []seen // ascending
	acknowledged map[string][]acknowledged
}

// NewSettler returns one that has heard nothing.
func NewSettler() *Settler { return &Settler{acknowledged: map[string][]acknowledged{}} }

// See notes that a table was heard of, and drops what is of no use any more.
func (s *Settler) See(now time.Duration, t Table, version uint64) {
	if n := len(s.seen); n == 0 || s.seen[n-1].version < version {
		s.seen = append(s.seen, seen{version, now})
	}
	changes := t.Changes()
	s.seen = slices.DeleteFunc(s.seen, func(x seen) bool {
		return len(changes) == 0 || x.version < changes[0]
	})
	for holder := range s.acknowledged {
		if t.slotOf(holder) < 0 {
			delete(s.acknowledged, holder)
		}
	}
}

// Hear takes in an acknowledgement.
func (s *Settler) Hear(now time.Duration, a Acknowledgement) {
	at := now + time.Duration(a.InMs)*time.Millisecond
	all := slices.DeleteFunc(s.acknowledged[a.Holder], func(x acknowledged) bool {
		return x.version <= a.Version && x.at >= at // the new one says more
	})
	known := slices.ContainsFunc(all, func(x acknowledged) bool { return x.version >= a.Version && x.at <= at })
	if !known {
		all = append(all, acknowledged{a.Version, at})
	}
	s.acknowledged[a.Holder] = forgetSuperseded(now, all)
}

// forgetSuperseded drops acknowledgements of versions older than the newest that holds already.
func forgetSuperseded(now time.Duration, all []acknowledged) []acknowledged {
	newest := uint64(0)
	for _, x := range all {
		if x.at <= now {
			newest = max(newest, x.version)
		}
	}
	return slices.DeleteFunc(all, func(x acknowledged) bool { return x.version < newest })
}

// Acknowledgements are those that were heard of some holders, for another registry.
func (s *Settler) Acknowledgements(now time.Duration, holders []string) (all []Acknowledgement) {
	for _, holder := range holders {
		for _, x := range s.acknowledged[holder] {
			in := max(0, x.at-now+time.Millisecond-1)
			all = append(all, Acknowledgement{Holder: holder, Version: x.version, InMs: uint64(in / time.Millisecond)})
		}
	}
	return all
}

// Wanted are the holders whose acknowledgements would settle the newest change that was heard of for long
// enough.
func (s *Settler) Wanted(now time.Duration, t Table) []string {
	for _, change := range slices.Backward(t.Changes()) {
		if heard, ok := s.heardOf(change); ok && now-heard >= ackWait {
			return s.Missing(now, &t, change)
		}
	}
	return nil
}

// Due is the newest version up to which the table is settled; ok is false where that is no later
// than is agreed.
func (s *Settler) Due(now time.Duration, t Table) (version uint64, ok bool) {
	changes := t.Changes()
	for _, change := range slices.Backward(changes) {
		if s.settled(now, &t, change) {
			version = t.settleable(change)
			return version, version > t.Settled
		}
	}
	return 0, false
}

// settled tells that nobody goes by a table older than that of a change.
func (s *Settler) settled(now time.Duration, t *Table, change uint64) bool {
	heard, ok := s.heardOf(change)
	switch {
	case !ok:
		return false
	case now-heard >= leaseEndsWithin:
		return true
	case now-heard < ackWait:
		return false
	}
	return len(s.Missing(now, t, change)) == 0
}

// heardOf is when a version, or one after it, was first heard of.
func (s *Settler) heardOf(version uint64) (at time.Duration, ok bool) {
	i := slices.IndexFunc(s.seen, func(x seen) bool { return x.version >= version })
	if i < 0 {
		return 0, false
	}
	return s.seen[i].at, true
}

// Missing are the holders of parts under tables before that of a version that have not acknowledged it
// or a later one yet, sorted.
func (s *Settler) Missing(now time.Duration, t *Table, version uint64) []string {
	return slices.DeleteFunc(t.Holders(version), func(holder string) bool {
		return slices.ContainsFunc(s.acknowledged[holder], func(x acknowledged) bool {
			return x.version >= version && x.at <= now
		})
	})
}

// Left is the longest that it can take until a version is settled.
func (s *Settler) Left(now time.Duration, version uint64) time.Duration {
	heard, ok := s.heardOf(version)
	if !ok {
		return leaseEndsWithin
	}
	return max(0, heard+leaseEndsWithin-now)
}
