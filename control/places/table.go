// Package places decides which limiters hold a part of what binds all limiters together (tenants'
// quotas, further tries, what cold servers bear), and for how long.
//
// A place is a lease. The core machines agree on the table of places: a limiter joins it, and is
// released from it when it has left or is silent. A limiter goes by a table only while it has young
// proof that a majority had agreed on nothing newer (see [Lease]); that proof comes with the answers
// to its pulls, so renewing costs no rounds of its own, however many limiters there are.
//
// A change of the table takes effect in two steps. A limiter that hears of it gives up at once what it
// has too much, and takes nothing more until the table is settled: until nobody can go by an older
// one any more, because all who held a part under it have acknowledged the newer one or their leases
// have ended (see [Settler]). At any moment each limiter uses the least of its parts under all tables
// from the settled one to the newest that it knows. The oldest table that anybody still goes by is
// among these for everyone, so all parts together are never more than one.
//
// Nothing here does input or output, reads a clock or starts a goroutine. Times are spans on a steady
// clock of the process that asks.
package places

import (
	"slices"
	"strings"
)

// Place is what one limiter holds, or held until it was released.
type Place struct {
	Name string `cbor:"1,keyasint"` // empty: the slot is free
	IP   string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
	// Life is of the process that the place was made for. Later lives on the same machine keep it.
	Life string `cbor:"4,keyasint,omitempty"`
	From uint64 `cbor:"5,keyasint,omitempty"` // the version of the table that it was made by
	To   uint64 `cbor:"6,keyasint,omitempty"` // the version that it was released by; 0: it is held
	// Left and Back are the versions that it was released by and given back by before the release was
	// settled; 0: it was not. By newer tables it was held in between, by those in between it was not:
	// none of those can be the settled one.
	Left uint64 `cbor:"7,keyasint,omitempty"`
	Back uint64 `cbor:"8,keyasint,omitempty"`
}

// Holder identifies who holds a place: a limiter on a machine. Another machine under the same name is
// another holder, as the former one may still run.
func (p *Place) Holder() string { return HolderOf(p.Name, p.IP) }

// HolderOf is the holder of a name, on the machine with an IP number.
func HolderOf(name, ip string) string { return name + "@" + ip }

// Held tells that the newest table gives the place to its limiter.
func (p *Place) Held() bool { return p.Name != "" && p.To == 0 }

// heldAt tells that the table of a version gives it to its limiter.
func (p *Place) heldAt(version uint64) bool {
	return p.Name != "" && p.From <= version && (p.To == 0 || version < p.To)
}

// Table is all places, by slot, as one version of it has them. A slot is used again once the release
// of its former limiter is settled, so there are as many as limiters held places at once.
type Table struct {
	Places []Place
	// Settled is the oldest version that anybody may still go by.
	Settled uint64
}

// Join gives limiters places in the table of a version, or notes where they are now. A limiter that was
// released and returns before that is settled has its former place again. seen is the version that
// whoever asks had seen when the limiters had no places: what was released or settled since then may be
// theirs, after they have left. It tells whether anything has changed.
func (t *Table) Join(version, seen uint64, limiters []Place) (changed bool) {
	if seen < t.Settled {
		return false
	}
	first := !slices.ContainsFunc(t.Places, func(p Place) bool { return p.Name != "" })
	for _, l := range limiters {
		if l.Name != "" && t.join(version, seen, l) {
			changed = true
		}
	}
	if first && changed { // nobody has gone by an older one
		t.Settled = version
	}
	return changed
}

// join gives one limiter a place.
func (t *Table) join(version, seen uint64, l Place) (changed bool) {
	for i := range t.Places { // its name has moved to another machine
		if p := &t.Places[i]; p.Name == l.Name && p.IP != l.IP && p.Held() {
			p.To, changed = version, true
		}
	}
	slot := t.slotOf(l.Holder())
	if slot < 0 {
		l.From, l.To = version, 0
		t.put(l)
		return true
	}
	now := t.Places[slot]
	now.Zone = l.Zone
	if now.To > seen {
		return changed
	}
	if now.To > 0 {
		now.giveBack(version)
	}
	if now != t.Places[slot] {
		t.Places[slot], changed = now, true
	}
	return changed
}

// giveBack has a place that was released held again by the table of a version.
func (p *Place) giveBack(version uint64) {
	if p.Left == 0 {
		p.Left = p.To
	}
	p.Back, p.To = version, 0
}

// put puts a place into the first free slot.
func (t *Table) put(p Place) {
	for i := range t.Places {
		if t.Places[i].Name == "" {
			t.Places[i] = p
			return
		}
	}
	t.Places = append(t.Places, p)
}

// slotOf is the slot of a holder, or -1.
func (t *Table) slotOf(holder string) int {
	at := strings.LastIndexByte(holder, '@')
	if at < 0 {
		return -1
	}
	name, ip := holder[:at], holder[at+1:]
	return slices.IndexFunc(t.Places, func(p Place) bool { return p.Name != "" && p.Name == name && p.IP == ip })
}

// SlotOf is the slot that a limiter on a machine holds by the newest table, or -1.
func (t *Table) SlotOf(name, ip string) int {
	return slices.IndexFunc(t.Places, func(p Place) bool { return p.Held() && p.Name == name && p.IP == ip })
}

// Release ends the places of holders with the table of a version. It tells whether anything has changed.
func (t *Table) Release(version uint64, holders []string) (changed bool) {
	for _, holder := range holders {
		if slot := t.slotOf(holder); slot >= 0 && t.Places[slot].To == 0 {
			t.Places[slot].To, changed = version, true
		}
	}
	return changed
}

// Settle notes that nobody goes by a table older than that of a version any more. The slots of
// limiters that were released by then are free. It tells whether anything has changed.
func (t *Table) Settle(version uint64) (changed bool) {
	version = t.settleable(version)
	if version <= t.Settled {
		return false
	}
	t.Settled = version
	for i := range t.Places {
		p := &t.Places[i]
		if p.To > 0 && p.To <= version {
			*p = Place{}
		}
		if p.Back <= version {
			p.Left, p.Back = 0, 0
		}
	}
	return true
}

// settleable is the newest version up to that given which can be the settled one.
func (t *Table) settleable(version uint64) uint64 {
	for again := true; again; {
		again = false
		for i := range t.Places {
			if p := &t.Places[i]; p.Left > 0 && p.Left <= version && version < p.Back {
				version, again = p.Left-1, true
			}
		}
	}
	return version
}

// Changes are the versions after the settled one by which limiters joined, were released or returned,
// ascending.
func (t *Table) Changes() (versions []uint64) {
	for _, p := range t.Places {
		for _, version := range []uint64{p.From, p.To, p.Left, p.Back} {
			if version > t.Settled {
				versions = append(versions, version)
			}
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// Set is the slots that hold a part under one version of the table, ascending.
type Set []int

// at is the set of a version.
func (t *Table) at(version uint64) (set Set) {
	for slot := range t.Places {
		if t.Places[slot].heldAt(version) {
			set = append(set, slot)
		}
	}
	return set
}

// Sets are those that somebody may still go by, the settled one first and the newest last.
func (t *Table) Sets() []Set {
	sets := []Set{t.at(t.Settled)}
	for _, version := range t.Changes() {
		sets = append(sets, t.at(version))
	}
	return sets
}

// Share is the part of the whole that the limiter of a slot may use by some sets: the least that it has
// in any of them.
func Share(sets []Set, slot int) float64 {
	share := 1.0
	for _, set := range sets {
		if !slices.Contains(set, slot) {
			return 0
		}
		share = min(share, 1/float64(len(set)))
	}
	return share
}

// InZone is how many limiters of a zone hold places under one of the tables, at most.
func (t *Table) InZone(zone string) (most int) {
	for _, set := range t.Sets() {
		n := 0
		for _, slot := range set {
			if t.Places[slot].Zone == zone {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Holders are those that held a place under the settled table or one after it and before that of a
// version, sorted.
func (t *Table) Holders(version uint64) (holders []string) {
	for _, p := range t.Places {
		until := p.To
		if until == 0 || until > version {
			until = version
		}
		if p.Name != "" && p.From < version && until > t.Settled {
			holders = append(holders, p.Holder())
		}
	}
	slices.Sort(holders)
	return holders
}

// Count is how many limiters hold places by the newest table.
func (t *Table) Count() (n int) {
	for i := range t.Places {
		if t.Places[i].Held() {
			n++
		}
	}
	return n
}
