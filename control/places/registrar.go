package places

import (
	"slices"
	"strings"
	"time"
)

// Registrar determines, for one registry, which changes of the table are due. It considers the reports
// that limiters send with their pulls, which limiters are silent, and which versions they have
// acknowledged.
type Registrar struct {
	tracker      *AckTracker
	absences     *AbsenceTracker
	joinRequests map[string]joinRequest // from limiters without a place, by holder
	stopped      map[string]bool        // holders that have stopped sending requests
}

// joinRequest is the latest report of a limiter that has no place.
type joinRequest struct {
	place      Place
	receivedAt time.Duration
}

// joinRequestTTL is the silence after which a limiter without a place is assumed not to want one any more:
// it may have joined and left again through another registry.
const joinRequestTTL = 2 * time.Second

// NewRegistrar returns a registrar that has received no reports.
func NewRegistrar() *Registrar {
	return &Registrar{tracker: NewAckTracker(), absences: NewAbsenceTracker(),
		joinRequests: map[string]joinRequest{}, stopped: map[string]bool{}}
}

// Changes lists the changes of the table that a registry requests from the core.
type Changes struct {
	Join    []Place
	Release []string // holders
	Settle  uint64   // version up to which to settle; 0: none
}

// Empty reports whether no change is due.
func (c *Changes) Empty() bool { return len(c.Join) == 0 && len(c.Release) == 0 && c.Settle == 0 }

// Report is what a limiter reports about itself with a pull.
type Report struct {
	Place      Place
	Version    uint64        // of the table that it uses; 0: none
	LoansEndIn time.Duration // time until no borrower uses more of its share than that table grants it
	Done       bool          // it has stopped sending requests and can be released
}

// Add records that a version of the table was received.
func (r *Registrar) Add(now time.Duration, t Table, version uint64) { r.tracker.Add(now, t, version) }

// Receive processes a report from a limiter and reports whether a change is due because of it.
func (r *Registrar) Receive(now time.Duration, t Table, report Report) (due bool) {
	holder := report.Place.Holder()
	if report.Version > 0 {
		r.tracker.Receive(now, Acknowledgement{Holder: holder, Version: report.Version,
			InMs: uint64(report.LoansEndIn / time.Millisecond)})
	}
	has := t.SlotOf(report.Place.Name, report.Place.IP) >= 0
	delete(r.joinRequests, holder)
	delete(r.stopped, holder)
	switch {
	case report.Done && has:
		r.stopped[holder] = true
		return true
	case report.Done || has:
		return false
	}
	r.joinRequests[holder] = joinRequest{report.Place, now}
	return true
}

// Due returns the changes that are due. A registry that is cut off from the others releases nobody
// for being silent. present reports whether a holder is known to be running.
func (r *Registrar) Due(now time.Duration, t Table, cutOff bool, present func(holder string) bool) (c Changes) {
	for holder, j := range r.joinRequests {
		if now-j.receivedAt > joinRequestTTL || t.SlotOf(j.place.Name, j.place.IP) >= 0 {
			delete(r.joinRequests, holder)
			continue
		}
		c.Join = append(c.Join, j.place)
	}
	slices.SortFunc(c.Join, func(a, b Place) int { return strings.Compare(a.Holder(), b.Holder()) })
	c.Release = r.absences.Update(now, t, cutOff, present)
	for holder := range r.stopped {
		if slot := t.slotOfHolder(holder); slot < 0 || !t.Places[slot].Held() {
			delete(r.stopped, holder)
			continue
		}
		c.Release = append(c.Release, holder)
	}
	slices.Sort(c.Release)
	c.Release = slices.Compact(c.Release)
	if version, ok := r.tracker.Due(now, t); ok {
		c.Settle = version
	}
	return c
}

// Awaited returns the holders whose acknowledgements are missing for the newest change that could
// be settled now. Other registries may have received them.
func (r *Registrar) Awaited(now time.Duration, t Table) []string { return r.tracker.Awaited(now, t) }

// Acknowledgements returns the acknowledgements received from some holders, to be sent to another registry.
func (r *Registrar) Acknowledgements(now time.Duration, holders []string) []Acknowledgement {
	return r.tracker.Acknowledgements(now, holders)
}

// ReceiveAcknowledgements records acknowledgements that another registry has received.
func (r *Registrar) ReceiveAcknowledgements(now time.Duration, all []Acknowledgement) {
	for _, a := range all {
		r.tracker.Receive(now, a)
	}
}

// PendingChange describes the latest join or release of a place if it is not settled: the longest time
// until it is, and the holders whose acknowledgements are missing.
func (r *Registrar) PendingChange(now time.Duration, t Table, p *Place) (state string, left time.Duration, missing []string) {
	change := max(p.JoinedVersion, p.ReleasedVersion, p.RestoredVersion)
	switch {
	case p.ReleasedVersion > 0:
		state = "released"
	case change > t.Settled:
		state = "joining"
	default:
		return "held", 0, nil
	}
	return state, r.tracker.MaxTimeLeft(now, change), r.tracker.MissingHolders(now, &t, change)
}
