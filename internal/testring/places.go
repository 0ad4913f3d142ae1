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
	confirmIntervalMs = 400.0 // between confirmations of a core machine that its table is current
	placesIntervalMs  = 250.0
	ballotCrossings   = 4 // one-way messages between regions that a change of places needs, at most
	changeTimeoutMs   = 300.0
	// minAckQueryIntervalMs is the minimum time between two queries of a core machine for the versions that
	// limiters have acknowledged to the others.
	minAckQueryIntervalMs = 500.0
)

// toDuration converts ms of virtual time for packages that use time.Duration.
func toDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// startPlaces makes a core machine follow the table of places and propose changes to it.
func (w *World) startPlaces(c *core) {
	c.startedAt, c.version, c.provenAt, c.registrar, c.changeInFlight, c.ackQueriedAt = w.now, 0, math.Inf(-1), places.NewRegistrar(), false, 0
	incarnation := c.incarnation
	every := func(ms float64, do func()) {
		var again func()
		again = func() {
			if c.up && c.incarnation == incarnation {
				do()
				w.after(ms, again)
			}
		}
		w.after(ms*w.rng.Float64(), again)
	}
	every(confirmIntervalMs, func() { w.confirm(c) })
	every(placesIntervalMs, func() { w.proposePlaceChanges(c) })
}

// reachesMajority reports whether a core machine can exchange messages with a majority, itself included.
func (w *World) reachesMajority(c *core) bool {
	n := 0
	for _, o := range w.cores {
		if o.up && (o == c || !w.isCut(c.location, o.location) && !w.isCut(o.location, c.location)) {
			n++
		}
	}
	return 2*n > len(w.cores)
}

// reachesSource reports whether a core machine can exchange messages with the running registry that has the
// given source ID.
func (w *World) reachesSource(c *core, source string) bool {
	for _, o := range w.cores {
		if o.up && o.book.Source() == source {
			return o == c || !w.isCut(c.location, o.location) && !w.isCut(o.location, c.location)
		}
	}
	return false
}

// newestVersion returns the version of the table of places that was chosen last.
func (w *World) newestVersion() uint64 { return uint64(len(w.tables) - 1) }

// confirm makes a core machine learn the newest table with a proof that it is current, if it reaches a majority.
func (w *World) confirm(c *core) {
	if w.reachesMajority(c) {
		c.provenAt = w.now
		w.learn(c, w.newestVersion())
	}
}

func (w *World) learn(c *core, version uint64) {
	if version <= c.version {
		return
	}
	c.version = version
	c.registrar.Add(toDuration(w.now), w.tables[version], version)
	w.notify(c)
}

// recordReport records what a limiter reports about its place with a pull.
func (w *World) recordReport(c *core, ask *registry.PullRequest) {
	if ask.CallerRecord.Service != catalog.Limiters {
		return
	}
	n := w.byName[limiterName(ask.CallerRecord.ID)]
	c.registrar.Receive(toDuration(w.now), w.tables[c.version], places.Report{Place: places.Place{Name: n.name, IP: n.name, Zone: fmt.Sprint(n.zone), Incarnation: ask.CallerRecord.ID},
		Version: ask.Seq, LoansEndIn: time.Duration(ask.LoansEndInMs) * time.Millisecond, Done: ask.Stopped})
}

// proposePlaceChanges makes a core machine propose the changes of places that are due.
func (w *World) proposePlaceChanges(c *core) {
	t := w.tables[c.version]
	if wanted := c.registrar.Awaited(toDuration(w.now), t); len(wanted) > 0 && w.now-c.ackQueriedAt >= minAckQueryIntervalMs {
		c.ackQueriedAt = w.now
		for _, o := range w.cores {
			if o != c && o.up && !w.isCut(c.location, o.location) && !w.isCut(o.location, c.location) {
				all := o.registrar.Acknowledgements(toDuration(w.now), wanted)
				w.count("acknowledgements", len(rpc.Encode(wanted))+len(rpc.Encode(all)))
				c.registrar.ReceiveAcknowledgements(toDuration(w.now), all)
			}
		}
	}
	running := map[string]bool{}
	c.book.Each(w.now, func(r catalog.Record) {
		if r.Service == catalog.Limiters && (r.State == catalog.Available || r.State == catalog.Draining) {
			running[places.HolderOf(limiterName(r.ID), limiterName(r.ID))] = true
		}
	})
	// A process cut off from the majority must not expire records; see catalog.Catalog.Expire. A catalog is empty at
	// first, so nobody is released for silence in the first 2 s.
	if w.reachesMajority(c) {
		c.book.Expire(w.now, 4*heartbeatMs, 3200, func(source string) bool { return w.reachesSource(c, source) })
	}
	changes := c.registrar.Due(toDuration(w.now), t, !w.reachesMajority(c) || w.now-c.startedAt < 2000, func(holder string) bool { return running[holder] })
	if changes.Empty() || c.changeInFlight || !w.reachesMajority(c) {
		return
	}
	c.changeInFlight = true
	incarnation, seen := c.incarnation, c.version
	w.after(ballotCrossings*w.CrossMs, func() {
		if !c.up || c.incarnation != incarnation || !w.reachesMajority(c) {
			c.changeInFlight = false
			return
		}
		w.commitPlaceChanges(changes, seen)
		w.learn(c, w.newestVersion())
	})
	w.after(changeTimeoutMs, func() { c.changeInFlight = false })
}

// commitPlaceChanges applies changes to the newest table and makes the result the newest, if it differs.
func (w *World) commitPlaceChanges(c places.Changes, seen uint64) {
	t := w.tables[w.newestVersion()]
	t.Places = append([]places.Place(nil), t.Places...)
	version := w.newestVersion() + 1
	changed := len(c.Join) > 0 && t.Join(version, seen, c.Join)
	changed = len(c.Release) > 0 && t.Release(version, c.Release) || changed
	changed = c.Settle > 0 && t.Settle(c.Settle) || changed
	w.PlaceBallots++
	if changed {
		w.tables = append(w.tables, t)
	}
}

// addPlaces adds to an answer the changes of places that a limiter lacks, and the age of the proof that the
// table is current.
func (w *World) addPlaces(c *core, has uint64, heldMs float64, a *registry.PullResponse) {
	if c.version > has {
		t := w.tables[c.version]
		delta := places.Difference(w.tables[has].Places, t.Places)
		a.Register = &controlstate.Register{Seq: c.version, PlacesSettled: t.Settled}
		a.Places = &delta
	}
	if age := w.now - c.provenAt; !math.IsInf(age, 1) {
		a.Proven, a.ProofAgeMs = true, uint64(age)+1
	}
	a.HeldMs = uint64(heldMs)
}

// applyPlaces applies the table of places and the proof in an answer to a limiter, and renews its lease.
func (w *World) applyPlaces(n *node, asked float64, a *registry.PullResponse) {
	ended := !n.lease.Valid(toDuration(w.now))
	if a.Register != nil && a.Register.Seq > n.version {
		all, ok := a.Places.Apply(n.table.Places)
		if !ok {
			panic("testring: cannot apply a delta of places")
		}
		n.table, n.version = places.Table{Places: all, Settled: a.Register.PlacesSettled}, a.Register.Seq
	}
	if a.Proven {
		proved := asked + float64(a.HeldMs) - float64(a.ProofAgeMs)
		n.lease.Renew(toDuration(proved), toDuration(n.startedAt))
	}
	slot := n.table.SlotOf(n.name, n.name)
	if slot >= 0 && (n.lim == nil || slot != n.position) {
		w.activate(n, slot)
	}
	if n.lim != nil && (a.Register != nil || ended || !n.serving) {
		w.assignKeepers(n)
		w.updateShare(n)
		w.updateParts(n)
	} else if n.lim != nil {
		w.updateShare(n)
	}
}

// placeSets returns the places by slot, for each set of places that some limiter may still use.
func (w *World) placeSets(t *places.Table) [][]allowance.Place {
	return allowance.PlaceSets(*t, func(zone string) string { // zones are assigned to regions round-robin
		n, _ := strconv.Atoi(zone)
		return fmt.Sprint(n % w.Regions)
	})
}

// assignKeepers computes which limiters keep the aggregated ceilings of small tenants.
func (w *World) assignKeepers(n *node) {
	n.holding.Clear()
	placeSets := w.placeSets(&n.table)
	for _, t := range w.tenants {
		c := w.Rules.Ceiling(t.rate, t.burst)
		n.holding.Ceilings[t.id] = c
		n.holding.SetKeeperShares(t.id, allowance.KeeperShares(fmt.Sprint(t.id), c, placeSets))
	}
}

// updateShare sets the share of a limiter's ledger, and its end, from its place and its lease.
func (w *World) updateShare(n *node) {
	slot := n.table.SlotOf(n.name, n.name)
	if n.drained || slot != n.position {
		slot = -1
	}
	share, until := n.lease.UsableShare(n.table, slot)
	end := float64(until) / float64(time.Millisecond)
	n.holding.Ledger.SetShare(share*float64(w.slotCount()), end)
	if share > 0 && w.now < end {
		n.serving = true
	}
}

// Leave shuts a limiter down gracefully: clients use other limiters, and after its last request it releases its
// place and stops.
func (w *World) Leave(i int) {
	n := w.nodes[i]
	if !n.up || n.leaving {
		return
	}
	n.leaving = true
	incarnation := n.incarnation
	if n.holding != nil {
		n.holding.Ledger.StopLending()
	}
	w.after(leaveDelayMs, func() {
		if !n.up || n.incarnation != incarnation {
			return
		}
		n.drained = true
		if n.lim != nil {
			w.updateShare(n)
			w.updateParts(n)
		}
	})
}

// leaveDelayMs is how long a limiter that leaves keeps answering requests.
const leaveDelayMs = 2000.0

// UsedShares returns the sum of the shares that limiters may use now under valid leases. It must never exceed 1.
func (w *World) UsedShares() (sum float64) {
	for _, n := range w.nodes {
		if n.up && n.lim != nil && !n.drained && n.lease.Valid(toDuration(w.now)) && n.table.SlotOf(n.name, n.name) == n.position {
			sum += places.Share(n.table.SetsInUse(), n.position)
		}
	}
	return sum
}

// limiterName returns the limiter's name from the ID of one of its lives, such as edge-3 from edge-3#2.
func limiterName(id string) string {
	for i := range id {
		if id[i] == '#' {
			return id[:i]
		}
	}
	return id
}
