package places

import (
	"slices"
	"time"
)

// GoneAfter is the silence after which a limiter's place is released. One that returns before that is
// settled has it again at once.
const GoneAfter = 15 * time.Second

// Absences is since when holders of places have not been heard of, as one registry knows.
type Absences struct {
	since map[string]time.Duration
}

// NewAbsences returns one that misses nobody.
func NewAbsences() *Absences { return &Absences{since: map[string]time.Duration{}} }

// Look takes in which holders of places are there, and returns those that have been away for too long,
// sorted. A registry that is cut off can't tell: it sees nobody away.
func (a *Absences) Look(now time.Duration, t Table, cutOff bool, there func(holder string) bool) (gone []string) {
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
		since, away := a.since[holder]
		switch {
		case cutOff || there(holder):
			delete(a.since, holder)
		case !away:
			a.since[holder] = now
		case now-since >= GoneAfter:
			gone = append(gone, holder)
		}
	}
	slices.Sort(gone)
	return gone
}
