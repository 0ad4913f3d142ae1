package places

import (
	"slices"
	"strings"
	"time"
)

// Registrar works out, for one registry, which changes of the table are due: by what limiters tell of
// themselves with their pulls, by who is silent, and by who has acknowledged what.
type Registrar struct {
	settler  *Settler
	absences *Absences
	joining  map[string]joiner // limiters without a place, by holder
	done     map[string]bool   // holders that have left
}

// joiner is a limiter without a place.
type joiner struct {
	place   Place
	heardAt time.Duration
}

// joinerSilent is the silence after which a limiter without a place is not taken for one that still wants
// one: it may have got it, and have left, by way of another registry.
const joinerSilent = 2 * time.Second

// NewRegistrar returns one that has heard nothing.
func NewRegistrar() *Registrar {
	return &Registrar{settler: NewSettler(), absences: NewAbsences(), joining: map[string]joiner{}, done: map[string]bool{}}
}

// Changes are what a registry asks the core for.
type Changes struct {
	Join    []Place
	Release []string // holders
	Settle  uint64   // version; 0: nothing is to be settled
}

// Empty tells that nothing is due.
func (c *Changes) Empty() bool { return len(c.Join) == 0 && len(c.Release) == 0 && c.Settle == 0 }

// Report is what a limiter tells of itself with a pull.
type Report struct {
	Place   Place
	Version uint64        // of the table that it goes by; 0: none
	Loans   time.Duration // until nobody uses more of its part than that table gives it
	Done    bool          // it sends nothing any more, and can be released
}

// See takes in a table that was heard of.
func (r *Registrar) See(now time.Duration, t Table, version uint64) { r.settler.See(now, t, version) }

// Hear takes in what a limiter tells of itself. It tells whether a change is due for it.
func (r *Registrar) Hear(now time.Duration, t Table, report Report) (due bool) {
	holder := report.Place.Holder()
	if report.Version > 0 {
		r.settler.Hear(now, Acknowledgement{Holder: holder, Version: report.Version, InMs: uint64(report.Loans / time.Millisecond)})
	}
	has := t.SlotOf(report.Place.Name, report.Place.IP) >= 0
	delete(r.joining, holder)
	delete(r.done, holder)
	switch {
	case report.Done && has:
		r.done[holder] = true
		return true
	case report.Done || has:
		return false
	}
	r.joining[holder] = joiner{report.Place, now}
	return true
}

// Due are the changes that are due. A registry that is cut off from the others releases nobody for being
// silent; there tells who is known to run.
func (r *Registrar) Due(now time.Duration, t Table, cutOff bool, there func(holder string) bool) (c Changes) {
	for holder, j := range r.joining {
		if now-j.heardAt > joinerSilent || t.SlotOf(j.place.Name, j.place.IP) >= 0 {
			delete(r.joining, holder)
			continue
		}
		c.Join = append(c.Join, j.place)
	}
	slices.SortFunc(c.Join, func(a, b Place) int { return strings.Compare(a.Holder(), b.Holder()) })
	c.Release = r.absences.Look(now, t, cutOff, there)
	for holder := range r.done {
		if slot := t.slotOf(holder); slot < 0 || !t.Places[slot].Held() {
			delete(r.done, holder)
			continue
		}
		c.Release = append(c.Release, holder)
	}
	slices.Sort(c.Release)
	c.Release = slices.Compact(c.Release)
	if version, ok := r.settler.Due(now, t); ok {
		c.Settle = version
	}
	return c
}

// Wanted are the holders whose acknowledgements, if other registries have heard them, would settle the
// newest change that can be settled by now.
func (r *Registrar) Wanted(now time.Duration, t Table) []string { return r.settler.Wanted(now, t) }

// Acknowledgements are those that were heard of some holders, for another registry.
func (r *Registrar) Acknowledgements(now time.Duration, holders []string) []Acknowledgement {
	return r.settler.Acknowledgements(now, holders)
}

// HearAll takes in what another registry has heard.
func (r *Registrar) HearAll(now time.Duration, all []Acknowledgement) {
	for _, a := range all {
		r.settler.Hear(now, a)
	}
}

// Pending tells of the change by which a place was made or released last, if that is not settled: by
// when it is at the latest, and whose acknowledgements are waited for.
func (r *Registrar) Pending(now time.Duration, t Table, p *Place) (state string, left time.Duration, missing []string) {
	change := max(p.From, p.To, p.Back)
	switch {
	case p.To > 0:
		state = "released"
	case change > t.Settled:
		state = "joining"
	default:
		return "held", 0, nil
	}
	return state, r.settler.Left(now, change), r.settler.Missing(now, &t, change)
}
