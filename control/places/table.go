// Package places decides which limiters hold a share of the limits that apply to all limiters together
// (tenants' quotas, retry budgets, request rates to cold servers), and for how long.
//
// A place is a slot in a table that the core machines agree on, and it is held by lease. A limiter joins
// the table, and is released from it when it has left or is silent. A limiter uses a table only while it
// has recent proof that a majority had agreed on nothing newer (see [Lease]). The proof comes with the
// answers to the limiter's pulls, so renewal costs no agreement rounds, however many limiters there are.
//
// A change of the table takes effect in two steps. A limiter that learns of it immediately reduces its
// share where the new table grants less, and increases it only when the change is settled. A change is
// settled when nobody can use an older table any more, because all who held a share under one have
// acknowledged the newer table or their leases have expired (see [AckTracker]). At any time each
// limiter uses the smallest of its shares under all tables from the settled one to the newest that it
// knows. The oldest table that is still in use is among these for every limiter, so the sum of all
// shares never exceeds one.
//
// The package does no input or output, reads no clock and starts no goroutine. Times are durations on
// a monotonic clock of the calling process.
package places

import (
	"slices"
	"strings"
)

// Place is a slot of the table with the limiter that holds it, or that held it until it was released.
type Place struct {
	Name string `cbor:"1,keyasint"` // empty: the slot is free
	IP   string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
	// Incarnation identifies the process that the place was created for. Later processes of the same
	// limiter on the same machine keep the place and this value.
	Incarnation     string `cbor:"4,keyasint,omitempty"`
	JoinedVersion   uint64 `cbor:"5,keyasint,omitempty"` // version of the table that created the place
	ReleasedVersion uint64 `cbor:"6,keyasint,omitempty"` // version that released it; 0: it is held
	// FirstReleasedVersion and RestoredVersion are set if the place was released and then restored before
	// the release was settled; otherwise they are 0. Tables from RestoredVersion on have the place as held
	// throughout, while the tables from FirstReleasedVersion up to RestoredVersion did not have it as held;
	// so none of the latter can become the settled one.
	FirstReleasedVersion uint64 `cbor:"7,keyasint,omitempty"`
	RestoredVersion      uint64 `cbor:"8,keyasint,omitempty"`
}

// Holder identifies the limiter that holds the place by its name and machine. The same name on another
// machine is a different holder, because the limiter on the former machine may still run.
func (p *Place) Holder() string { return HolderOf(p.Name, p.IP) }

// HolderOf returns the identifier of the holder with a name on the machine with an IP address.
func HolderOf(name, ip string) string { return name + "@" + ip }

// Held reports whether the limiter holds the place in the newest table.
func (p *Place) Held() bool { return p.Name != "" && p.ReleasedVersion == 0 }

// heldAt reports whether the limiter holds the place in the table of a version.
func (p *Place) heldAt(version uint64) bool {
	return p.Name != "" && p.JoinedVersion <= version && (p.ReleasedVersion == 0 || version < p.ReleasedVersion)
}

// Table is one version of all places, indexed by slot. A slot is reused once the release of its former
// holder is settled, so the number of slots is bounded by the number of places held at the same time.
type Table struct {
	Places []Place
	// Settled is the oldest version that any limiter may still use.
	Settled uint64
}

// Join creates places for limiters in the table of a version, or updates their zones. A limiter that was
// released and returns before the release is settled gets its former place back. seen is the version at
// which the requester saw that the limiters had no places; if the table was settled or a limiter released
// after that version, the request may be outdated, as the limiter may have joined and left since then.
// Join reports whether the table has changed.
func (t *Table) Join(version, seen uint64, limiters []Place) (changed bool) {
	if seen < t.Settled {
		return false
	}
	firstJoin := !slices.ContainsFunc(t.Places, func(p Place) bool { return p.Name != "" })
	for _, limiter := range limiters {
		if limiter.Name != "" && t.join(version, seen, limiter) {
			changed = true
		}
	}
	if firstJoin && changed { // no limiter has used an older table
		t.Settled = version
	}
	return changed
}

// join creates or restores the place of one limiter.
func (t *Table) join(version, seen uint64, limiter Place) (changed bool) {
	for i := range t.Places { // the limiter of this name has moved to another machine
		if p := &t.Places[i]; p.Name == limiter.Name && p.IP != limiter.IP && p.Held() {
			p.ReleasedVersion, changed = version, true
		}
	}
	slot := t.slotOfHolder(limiter.Holder())
	if slot < 0 {
		limiter.JoinedVersion, limiter.ReleasedVersion = version, 0
		t.insert(limiter)
		return true
	}
	place := t.Places[slot]
	place.Zone = limiter.Zone
	if place.ReleasedVersion > seen {
		return changed
	}
	if place.ReleasedVersion > 0 {
		place.restore(version)
	}
	if place != t.Places[slot] {
		t.Places[slot], changed = place, true
	}
	return changed
}

// restore marks a released place as held again from the table of a version on.
func (p *Place) restore(version uint64) {
	if p.FirstReleasedVersion == 0 {
		p.FirstReleasedVersion = p.ReleasedVersion
	}
	p.RestoredVersion, p.ReleasedVersion = version, 0
}

// insert stores a place in the first free slot.
func (t *Table) insert(p Place) {
	for i := range t.Places {
		if t.Places[i].Name == "" {
			t.Places[i] = p
			return
		}
	}
	t.Places = append(t.Places, p)
}

// slotOfHolder returns the slot of a holder, which may have been released, or -1.
func (t *Table) slotOfHolder(holder string) int {
	separator := strings.LastIndexByte(holder, '@')
	if separator < 0 {
		return -1
	}
	name, ip := holder[:separator], holder[separator+1:]
	return slices.IndexFunc(t.Places, func(p Place) bool { return p.Name != "" && p.Name == name && p.IP == ip })
}

// SlotOf returns the slot that a limiter on a machine holds in the newest table, or -1.
func (t *Table) SlotOf(name, ip string) int {
	return slices.IndexFunc(t.Places, func(p Place) bool { return p.Held() && p.Name == name && p.IP == ip })
}

// Release marks the places of holders as released by the table of a version. It reports whether the table
// has changed.
func (t *Table) Release(version uint64, holders []string) (changed bool) {
	for _, holder := range holders {
		if slot := t.slotOfHolder(holder); slot >= 0 && t.Places[slot].ReleasedVersion == 0 {
			t.Places[slot].ReleasedVersion, changed = version, true
		}
	}
	return changed
}

// Settle records that nobody uses a table older than a version any more. It frees the slots of limiters
// that were released up to that version, and reports whether the table has changed.
func (t *Table) Settle(version uint64) (changed bool) {
	version = t.newestSettleable(version)
	if version <= t.Settled {
		return false
	}
	t.Settled = version
	for i := range t.Places {
		p := &t.Places[i]
		if p.ReleasedVersion > 0 && p.ReleasedVersion <= version {
			*p = Place{}
		}
		if p.RestoredVersion <= version {
			p.FirstReleasedVersion, p.RestoredVersion = 0, 0
		}
	}
	return true
}

// newestSettleable returns the newest version, up to the given one, that can become the settled version.
func (t *Table) newestSettleable(version uint64) uint64 {
	for lowered := true; lowered; {
		lowered = false
		for i := range t.Places {
			if p := &t.Places[i]; p.FirstReleasedVersion > 0 && p.FirstReleasedVersion <= version && version < p.RestoredVersion {
				version, lowered = p.FirstReleasedVersion-1, true
			}
		}
	}
	return version
}

// UnsettledVersions returns the versions after the settled one in which limiters joined, were released or
// were restored, in ascending order.
func (t *Table) UnsettledVersions() (versions []uint64) {
	for _, p := range t.Places {
		for _, version := range []uint64{p.JoinedVersion, p.ReleasedVersion, p.FirstReleasedVersion, p.RestoredVersion} {
			if version > t.Settled {
				versions = append(versions, version)
			}
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// SlotSet is the slots that hold a share under one version of the table, in ascending order.
type SlotSet []int

// slotsAt returns the slots that are held under a version.
func (t *Table) slotsAt(version uint64) (set SlotSet) {
	for slot := range t.Places {
		if t.Places[slot].heldAt(version) {
			set = append(set, slot)
		}
	}
	return set
}

// SetsInUse returns the slot sets of all versions that a limiter may still use, from the settled version to
// the newest.
func (t *Table) SetsInUse() []SlotSet {
	sets := []SlotSet{t.slotsAt(t.Settled)}
	for _, version := range t.UnsettledVersions() {
		sets = append(sets, t.slotsAt(version))
	}
	return sets
}

// Share returns the share of the whole, from 0 to 1, that the limiter of a slot may use: its smallest share
// in any of the sets.
func Share(sets []SlotSet, slot int) float64 {
	share := 1.0
	for _, set := range sets {
		if !slices.Contains(set, slot) {
			return 0
		}
		share = min(share, 1/float64(len(set)))
	}
	return share
}

// MaxInZone returns the largest number of limiters of a zone that hold places under any version in use.
func (t *Table) MaxInZone(zone string) (most int) {
	for _, set := range t.SetsInUse() {
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

// HoldersBefore returns the holders of places under any table from the settled one up to, but not
// including, a version, sorted.
func (t *Table) HoldersBefore(version uint64) (holders []string) {
	for _, p := range t.Places {
		until := p.ReleasedVersion
		if until == 0 || until > version {
			until = version
		}
		if p.Name != "" && p.JoinedVersion < version && until > t.Settled {
			holders = append(holders, p.Holder())
		}
	}
	slices.Sort(holders)
	return holders
}

// HeldCount returns the number of limiters that hold places in the newest table.
func (t *Table) HeldCount() (n int) {
	for i := range t.Places {
		if t.Places[i].Held() {
			n++
		}
	}
	return n
}
