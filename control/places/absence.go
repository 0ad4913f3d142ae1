package places

import (
	"slices"
	"time"
)

// ReleaseAfterSilence is the silence after which a limiter's place is released. A limiter that returns
// before the release is settled gets its place back at once.
const ReleaseAfterSilence = 15 * time.Second

// AbsenceTracker records, for one registry, since when holders of places have been absent.
type AbsenceTracker struct {
	since map[string]time.Duration
}

// NewAbsenceTracker returns a tracker in which no holder is absent.
func NewAbsenceTracker() *AbsenceTracker { return &AbsenceTracker{since: map[string]time.Duration{}} }

// Update checks which holders of places are present and returns those that have been absent for at least
// [ReleaseAfterSilence], sorted. A registry that is cut off can't know, so it considers nobody absent.
func (a *AbsenceTracker) Update(now time.Duration, t Table, cutOff bool, present func(holder string) bool) (gone []string) {
	held := map[string]bool{}
	for i := range t.Places {
		if p := &t.Places[i]; p.Held() {
			held[p.Holder()] = true
		}
	}
	for holder := range a.since {
		if !held[holder] {
			delete(a.since, holder)
		}
	}
	for holder := range held {
		since, absent := a.since[holder]
		switch {
		case cutOff || present(holder):
			delete(a.since, holder)
		case !absent:
			a.since[holder] = now
		case now-since >= ReleaseAfterSilence:
			gone = append(gone, holder)
		}
	}
	slices.Sort(gone)
	return gone
}
