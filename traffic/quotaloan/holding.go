package quotaloan

import (
	"maps"
	"slices"

	"example.org/madderdrum/traffic/allowance"
)

// Demand is what was asked for at this limiter of one account with a ceiling.
type Demand struct {
	ID    uint64
	Asked float64 // requests, since the process began
}

// Holding is what one limiter may use of all ceilings: by loans from others and to them and,
// where parts are gathered, as a keeper. Like a [Desk] it reads no clock.
type Holding struct {
	Desk        *Desk
	place, size int
	Ceilings    map[uint64]allowance.Ceiling // by account
	Keepers     map[uint64][]int             // of accounts whose parts are gathered, or were a moment ago
	KeeperPart  map[uint64]float64           // this limiter's parts of these, where it has any
	of          map[uint64]float64           // parts that are in force
	rest        float64
	until       float64 // they hold no longer than this; 0: for good
}

// Hold returns what a limiter holds that begins at a place among so many.
func Hold(d *Desk, place, size int) *Holding {
	h := &Holding{Desk: d, place: place, size: size, rest: 1}
	h.Clear()
	return h
}

// Keeps tells that an account's parts are gathered, and that this limiter is one of its keepers.
func (h *Holding) Keeps(id uint64) (gathered, keeper bool) {
	k, gathered := h.Keepers[id]
	return gathered, slices.Contains(k, h.place)
}

// Gather sets how an account's ceiling is gathered, by the shares of it that keepers may use, by slot. No
// shares at all have equal parts be of use.
func (h *Holding) Gather(id uint64, shares []float64) {
	delete(h.Keepers, id)
	delete(h.KeeperPart, id)
	if shares == nil {
		return
	}
	keepers := []int{}
	for slot, share := range shares {
		if share > 0 {
			keepers = append(keepers, slot)
		}
	}
	h.Keepers[id] = keepers
	h.KeeperPart[id] = shares[h.place] * float64(h.size)
}

// Clear forgets all ceilings.
func (h *Holding) Clear() {
	h.Ceilings, h.Keepers, h.KeeperPart = map[uint64]allowance.Ceiling{}, map[uint64][]int{}, map[uint64]float64{}
}

// Look returns what to ask others for.
func (h *Holding) Look(now float64, demands []Demand) []Letter {
	var all []Account
	n := float64(h.size)
	for _, d := range demands {
		if _, gathered := h.Keepers[d.ID]; !gathered {
			c := h.Ceilings[d.ID]
			all = append(all, Account{ID: d.ID, Rate: c.Rate / n, Burst: c.Burst / n, Asked: d.Asked})
		}
	}
	return h.Desk.Look(now, all)
}

// Parts are what this limiter may use from now on, in equal parts: of some accounts, and of the
// rest. changed tells that they are others than before.
func (h *Holding) Parts(now float64) (of map[uint64]float64, rest float64, changed bool) {
	of, rest, h.until = h.Desk.Parts(now)
	for id := range h.Keepers {
		of[id] = 0
		if !h.Desk.lapsed(now) {
			of[id] = h.KeeperPart[id]
		}
	}
	changed = rest != h.rest || !maps.Equal(of, h.of)
	h.of, h.rest = of, rest
	return of, rest, changed
}

// Due tells that some of the parts in force have ended: also where the process stood still
// meanwhile.
func (h *Holding) Due(now float64) bool { return h.until > 0 && now >= h.until }

// Begins is what a limiter that begins anew has of an account's ceiling at once: all that may
// begin with something have no more together than the rules say.
func (h *Holding) Begins(r allowance.Rules, id uint64) float64 {
	part := h.Desk.share
	if gathered, _ := h.Keeps(id); gathered {
		part = h.KeeperPart[id]
	}
	return r.Begins(h.Ceilings[id]) * part / float64(h.size)
}

// Asked for a single token are so many others, those of the own region first.
const (
	askNear = 2
	askFar  = 1
)

// Askees are whom to ask for a token of an account, one after the other, and how many of them are
// near: its keepers or, where its parts are not gathered, others of the region. out tells who is
// out of reach, shuffle is as in math/rand.
func (h *Holding) Askees(id uint64, places []allowance.Place, out func(name string) bool, shuffle func(int, func(int, int))) (all []int, near int) {
	keepers, gathered := h.Keepers[id]
	region := places[h.place].Region
	var close, far []int
	for i, p := range places[:min(h.size, len(places))] {
		switch {
		case i == h.place, p.Name == "", out(p.Name), gathered && !slices.Contains(keepers, i):
		case p.Region == region:
			close = append(close, i)
		case gathered:
			far = append(far, i)
		}
	}
	for _, k := range [][]int{close, far} {
		shuffle(len(k), func(i, j int) { k[i], k[j] = k[j], k[i] })
	}
	near = min(askNear, len(close))
	return append(close[:near], far[:min(askFar, len(far))]...), near
}
