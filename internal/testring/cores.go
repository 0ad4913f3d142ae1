package testring

import (
	"fmt"
	"maps"
	"math"
	"strings"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/internal/registry"
	"example.org/madderdrum/internal/rpc"
)

const (
	heartbeatMs    = 1500.0
	pullHoldMs     = 1000.0
	timeoutSlackMs = 450.0
	registryHoldMs = 900.0
)

// StartCore starts or restarts a registry with an empty catalog.
func (w *World) StartCore(i int) {
	c := w.cores[i]
	c.incarnation++
	c.up, c.heldPulls, c.notifyScheduled = true, nil, false
	c.book = catalog.New(fmt.Sprintf("%s#%d", c.name, c.incarnation))
	w.startPlaces(c)
	for k := range w.cores {
		if k != i {
			w.followRegistry(c, w.cores[k], c.incarnation)
		}
	}
}

// StopCore kills a registry without notice to the others.
func (w *World) StopCore(i int) { w.cores[i].up = false }

// notify answers the held pulls after a change. Changes within 2 ms are answered together.
func (w *World) notify(c *core) {
	if c.notifyScheduled {
		return
	}
	c.notifyScheduled = true
	w.after(2, func() {
		c.notifyScheduled = false
		all := c.heldPulls
		c.heldPulls = nil
		for _, f := range all {
			f()
		}
	})
}

// call sends a pull to a registry, which answers at once if the caller lacks something, and otherwise on the
// next change or after held ms. It runs onAnswer with the answer, or onTimeout if none comes in time.
func (w *World) call(kind string, from location, to *core, ask registry.PullRequest, held float64,
	onAnswer func(*registry.PullResponse), onTimeout func()) {
	w.count(kind, len(rpc.Encode(ask)))
	finished := false
	w.after(held+timeoutSlackMs, func() {
		if !finished {
			finished = true
			onTimeout()
		}
	})
	if w.isCut(from, to.location) {
		return
	}
	incarnation := to.incarnation
	w.after(w.delay(from, to.location), func() {
		if !to.up || to.incarnation != incarnation {
			return
		}
		if ask.CallerRecord != nil {
			if _, known := to.book.Get(w.now, ask.CallerRecord.ID); (!known || ask.CallerRecord.Service == catalog.Limiters) && to.book.ApplyHeartbeat(w.now, *ask.CallerRecord) {
				w.notify(to)
			}
			w.recordReport(to, &ask)
		}
		arrivedAt, until := w.now, w.now+held
		var answer func()
		answer = func() {
			if finished || !to.up || to.incarnation != incarnation {
				return
			}
			lacks := to.book.HasNewerThan(ask.Vector)
			newer := ask.Source == "" && to.version > ask.Seq
			if !lacks && !newer && w.now < until {
				to.heldPulls = append(to.heldPulls, answer)
				return
			}
			a := &registry.PullResponse{Source: to.book.Source()}
			if lacks {
				a.Records, a.Vector = to.book.Since(w.now, ask.Vector), maps.Clone(to.book.Vector())
			}
			if ask.Source == "" {
				w.addPlaces(to, ask.Seq, w.now-arrivedAt, a)
			}
			finished = true
			w.count(kind, len(rpc.Encode(a)))
			if w.isCut(to.location, from) {
				finished = false // the answer is lost, so the caller times out
				return
			}
			w.after(w.delay(to.location, from), func() { onAnswer(a) })
		}
		answer()
		w.after(held, func() {
			if !finished {
				answer()
			}
		})
	})
}

// followRegistry makes a registry pull from another one continuously.
func (w *World) followRegistry(c, from *core, incarnation int) {
	w.after(10*w.rng.Float64(), func() {
		if !c.up || c.incarnation != incarnation {
			return
		}
		me := catalog.Record{ID: c.book.Source(), Service: catalog.Cores, Address: c.name, Sequence: uint64(w.now)}
		w.call("registries", c.location, from, registry.PullRequest{Vector: maps.Clone(c.book.Vector()), HoldMs: registryHoldMs, Source: c.book.Source(), CallerRecord: &me}, registryHoldMs,
			func(a *registry.PullResponse) {
				if !c.up || c.incarnation != incarnation {
					return
				}
				if len(c.book.Merge(w.now, a.Records)) > 0 {
					w.notify(c)
				}
				c.book.AdvanceVector(a.Vector)
				w.followRegistry(c, from, incarnation)
			}, func() { w.after(150, func() { w.followRegistry(c, from, incarnation) }) })
	})
}

// pull makes a limiter pull from its registry continuously; it switches to the next one after a timeout.
func (w *World) pull(n *node) {
	incarnation := n.incarnation
	if !n.up {
		return
	}
	n.serial++
	me := &catalog.Record{ID: n.id(), Service: catalog.Limiters, Address: n.name + ":8686", Zone: fmt.Sprint(n.zone), Sequence: uint64(n.serial)}
	if n.book != nil {
		n.vector = n.book.Vector()
	}
	ask, held := registry.PullRequest{Vector: maps.Clone(n.vector), HoldMs: pullHoldMs, CallerRecord: me, Seq: n.version, Stopped: n.drained}, pullHoldMs
	if n.holding != nil {
		ask.LoansEndInMs = uint64(math.Ceil(n.holding.Ledger.LoansEndIn(w.now)))
	}
	releasing := n.drained && n.table.SlotOf(n.name, n.name) < 0
	if releasing {
		held = 0
	}
	asked := w.now
	w.call("pulls", n.location, w.cores[n.core], ask, held,
		func(a *registry.PullResponse) {
			if !n.up || n.incarnation != incarnation {
				return
			}
			if releasing {
				n.up = false
				return
			}
			w.applyPlaces(n, asked, a)
			if n.book != nil {
				n.book.Merge(w.now, a.Records)
				n.book.AdvanceVector(a.Vector)
			} else if a.Vector != nil {
				n.vector = a.Vector
			}
			w.updateMembers(n)
			w.pull(n)
		}, func() {
			if n.up && n.incarnation == incarnation {
				n.serial++
				n.core = (n.core + 1) % len(w.cores)
				w.pull(n)
			}
		})
}

// updateMembers gives a limiter's failure detector the limiters of its region that are in its catalog.
func (w *World) updateMembers(n *node) {
	zones := map[string]string{}
	if n.book == nil { // without a catalog, assume that it knows all
		for _, o := range w.nodes {
			if o.up && o.region == n.region {
				zones[o.id()] = fmt.Sprint(o.zone)
			}
		}
	} else {
		n.book.Each(w.now, func(r catalog.Record) {
			if r.Service == catalog.Limiters && r.State == catalog.Available {
				name, _, _ := strings.Cut(r.ID, "#")
				if o := w.byName[name]; o != nil && o.region == n.region && o.id() == r.ID {
					zones[r.ID] = r.Zone
				}
			}
		})
	}
	n.detector.SetMembers(zones)
}

// heartbeat sends a server's heartbeat to the first registry that is running, and repeats it periodically
// while the server is available.
func (w *World) heartbeat(i, at, sequence int, s catalog.State) {
	c := w.cores[at%len(w.cores)]
	if !c.up {
		w.after(200, func() { w.heartbeat(i, at+1, sequence, s) })
		return
	}
	w.count("beats", 200)
	if c.book.ApplyHeartbeat(w.now, catalog.Record{ID: fmt.Sprintf("i-%d", i), Service: fmt.Sprintf("s%d", i%4), Address: fmt.Sprintf("10.1.%d.%d:8080", i>>8, i&255),
		Zone: fmt.Sprint(i % (w.Regions * w.Zones)), Slots: 2, State: s, Sequence: uint64(sequence)}) {
		w.notify(c)
	}
	if s == catalog.Available {
		w.after(heartbeatMs, func() { w.heartbeat(i, at, sequence+1, s) })
	}
}

// Drain makes a server report to a registry that it is draining, which ends its heartbeats.
func (w *World) Drain(server, at int) { w.heartbeat(server, at, 1<<30, catalog.Draining) }
