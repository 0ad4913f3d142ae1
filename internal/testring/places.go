package testring

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/places"
	"example.org/madderdrum/internal/registry"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/traffic/allowance"
)

const (
	confirmMs    = 400.0 // between two proofs of a core machine that its table is current
	placesMs     = 250.0
	ballotCross  = 4 // times that a change of places crosses between regions, at most
	maxChangesMs = 300.0
	// acknowledgedMs is the least time between two times that a core machine asks the others for what
	// they have heard.
	acknowledgedMs = 500.0
)

// span is a time of the world for the parts that count in spans.
func span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// startPlaces has a core machine follow what is agreed about places, and ask for changes.
func (w *World) startPlaces(c *core) {
	c.begun, c.version, c.proved, c.registrar, c.asking, c.askedAt = w.now, 0, math.Inf(-1), places.NewRegistrar(), false, 0
	life := c.life
	every := func(ms float64, do func()) {
		var again func()
		again = func() {
			if c.up && c.life == life {
				do()
				w.after(ms, again)
			}
		}
		w.after(ms*w.rng.Float64(), again)
	}
	every(confirmMs, func() { w.confirm(c) })
	every(placesMs, func() { w.placesDue(c) })
}

// majority tells that a core machine reaches more than half of all.
func (w *World) majority(c *core) bool {
	n := 0
	for _, o := range w.cores {
		if o.up && (o == c || !w.cut(c.spot, o.spot) && !w.cut(o.spot, c.spot)) {
			n++
		}
	}
	return 2*n > len(w.cores)
}

// hears tells that a core machine hears another one's present life.
func (w *World) hears(c *core, source string) bool {
	for _, o := range w.cores {
		if o.up && o.book.Source() == source {
			return o == c || !w.cut(c.spot, o.spot) && !w.cut(o.spot, c.spot)
		}
	}
	return false
}

// newest is the version of the table that is agreed on.
func (w *World) newest() uint64 { return uint64(len(w.tables) - 1) }

// confirm has a core machine learn what is agreed, with proof that it is the newest.
func (w *World) confirm(c *core) {
	if w.majority(c) {
		c.proved = w.now
		w.learn(c, w.newest())
	}
}

func (w *World) learn(c *core, version uint64) {
	if version <= c.version {
		return
	}
	c.version = version
	c.registrar.See(span(w.now), w.tables[version], version)
	w.stir(c)
}

// hearOfPlace takes in what a limiter tells of itself with a pull.
func (w *World) hearOfPlace(c *core, ask *registry.Pull) {
	if ask.Me.Service != catalog.Limiters {
		return
	}
	n := w.byName[nameOf(ask.Me.ID)]
	c.registrar.Hear(span(w.now), w.tables[c.version], places.Report{Place: places.Place{Name: n.name, IP: n.name, Zone: fmt.Sprint(n.zone), Life: ask.Me.ID},
		Version: ask.Seq, Loans: time.Duration(ask.LoansMs) * time.Millisecond, Done: ask.Done})
}

// placesDue has a core machine ask for the changes of places that are due.
func (w *World) placesDue(c *core) {
	t := w.tables[c.version]
	if wanted := c.registrar.Wanted(span(w.now), t); len(wanted) > 0 && w.now-c.askedAt >= acknowledgedMs {
		c.askedAt = w.now
		for _, o := range w.cores {
			if o != c && o.up && !w.cut(c.spot, o.spot) && !w.cut(o.spot, c.spot) {
				all := o.registrar.Acknowledgements(span(w.now), wanted)
				w.count("acknowledgements", len(rpc.Encode(wanted))+len(rpc.Encode(all)))
				c.registrar.HearAll(span(w.now), all)
			}
		}
	}
	running := map[string]bool{}
	c.book.Each(w.now, func(r catalog.Record) {
		if r.Service == catalog.Limiters && (r.State == catalog.Available || r.State == catalog.Draining) {
			running[places.HolderOf(nameOf(r.ID), nameOf(r.ID))] = true
		}
	})
	// A book is empty at first, and what is silent expires: see package catalog.
	if w.majority(c) {
		c.book.Expire(w.now, 4*heartbeatMs, 3200, func(source string) bool { return w.hears(c, source) })
	}
	changes := c.registrar.Due(span(w.now), t, !w.majority(c) || w.now-c.begun < 2000, func(holder string) bool { return running[holder] })
	if changes.Empty() || c.asking || !w.majority(c) {
		return
	}
	c.asking = true
	life, seen := c.life, c.version
	w.after(ballotCross*w.CrossMs, func() {
		if !c.up || c.life != life || !w.majority(c) {
			c.asking = false
			return
		}
		w.agree(changes, seen)
		w.learn(c, w.newest())
	})
	w.after(maxChangesMs, func() { c.asking = false })
}

// agree has the core agree on changes of places.
func (w *World) agree(c places.Changes, seen uint64) {
	t := w.tables[w.newest()]
	t.Places = append([]places.Place(nil), t.Places...)
	version := w.newest() + 1
	changed := len(c.Join) > 0 && t.Join(version, seen, c.Join)
	changed = len(c.Release) > 0 && t.Release(version, c.Release) || changed
	changed = c.Settle > 0 && t.Settle(c.Settle) || changed
	w.Rounds++
	if changed {
		w.tables = append(w.tables, t)
	}
}

// tellPlaces puts into an answer what a limiter lacks of places, and the proof that it is the newest.
func (w *World) tellPlaces(c *core, has uint64, heldMs float64, a *registry.Pulled) {
	if c.version > has {
		t := w.tables[c.version]
		delta := places.Difference(w.tables[has].Places, t.Places)
		a.Register = &controlstate.Register{Seq: c.version, PlacesSettled: t.Settled}
		a.Places = &delta
	}
	if age := w.now - c.proved; !math.IsInf(age, 1) {
		a.Proven, a.ProofMs = true, uint64(age)+1
	}
	a.HeldMs = uint64(heldMs)
}

// takePlaces has a limiter go by what it was told of places.
func (w *World) takePlaces(n *node, asked float64, a *registry.Pulled) {
	ended := !n.lease.Valid(span(w.now))
	if a.Register != nil && a.Register.Seq > n.version {
		all, ok := a.Places.Apply(n.table.Places)
		if !ok {
			panic("testring: a difference of places does not fit")
		}
		n.table, n.version = places.Table{Places: all, Settled: a.Register.PlacesSettled}, a.Register.Seq
	}
	if a.Proven {
		proved := asked + float64(a.HeldMs) - float64(a.ProofMs)
		n.lease.Renew(span(proved), span(n.begun))
	}
	slot := n.table.SlotOf(n.name, n.name)
	if slot >= 0 && (n.lim == nil || slot != n.place) {
		w.open(n, slot)
	}
	if n.lim != nil && (a.Register != nil || ended || !n.serving) {
		w.gather(n)
		w.hold(n)
		w.parts(n)
	} else if n.lim != nil {
		w.hold(n)
	}
}

// sets are the places by slot in each set that somebody may still go by.
func (w *World) sets(t *places.Table) [][]allowance.Place {
	return allowance.PlaceSets(*t, func(zone string) string { // zones are numbered round the regions
		n, _ := strconv.Atoi(zone)
		return fmt.Sprint(n % w.Regions)
	})
}

// gather works out where the ceilings of small tenants are gathered.
func (w *World) gather(n *node) {
	n.holding.Clear()
	sets := w.sets(&n.table)
	for _, t := range w.tenants {
		c := w.Rules.Ceiling(t.rate, t.burst)
		n.holding.Ceilings[t.id] = c
		n.holding.SetKeeperShares(t.id, allowance.KeeperShares(fmt.Sprint(t.id), c, sets))
	}
}

// hold has a limiter's loans go by its part and its lease.
func (w *World) hold(n *node) {
	slot := n.table.SlotOf(n.name, n.name)
	if n.done || slot != n.place {
		slot = -1
	}
	share, until := n.lease.Use(n.table, slot)
	end := float64(until) / float64(time.Millisecond)
	n.holding.Ledger.SetShare(share*float64(w.slots()), end)
	if share > 0 && w.now < end {
		n.serving = true
	}
}

// Leave has a limiter leave in order: clients go elsewhere, its place is given back after the last
// request, and it ends.
func (w *World) Leave(i int) {
	n := w.nodes[i]
	if !n.up || n.leaving {
		return
	}
	n.leaving = true
	life := n.life
	if n.holding != nil {
		n.holding.Ledger.StopLending()
	}
	w.after(leaveMs, func() {
		if !n.up || n.life != life {
			return
		}
		n.done = true
		if n.lim != nil {
			w.hold(n)
			w.parts(n)
		}
	})
}

// leaveMs is how long one that leaves goes on answering.
const leaveMs = 2000.0

// UsedShares is what all limiters together may use at this moment by their places, 1 at most.
func (w *World) UsedShares() (sum float64) {
	for _, n := range w.nodes {
		if n.up && n.lim != nil && !n.done && n.lease.Valid(span(w.now)) && n.table.SlotOf(n.name, n.name) == n.place {
			sum += places.Share(n.table.Sets(), n.place)
		}
	}
	return sum
}

// nameOf is the limiter of a life.
func nameOf(id string) string {
	for i := range id {
		if id[i] == '#' {
			return id[:i]
		}
	}
	return id
}
