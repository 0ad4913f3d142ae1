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
	heartbeatMs = 1500.0
	holdMs      = 1000.0
	slackMs     = 450.0
	followMs    = 900.0
)

// StartCore has a registry begin with an empty book.
func (w *World) StartCore(i int) {
	c := w.cores[i]
	c.life++
	c.up, c.waiting, c.stirred = true, nil, false
	c.book = catalog.New(fmt.Sprintf("%s#%d", c.name, c.life))
	w.startPlaces(c)
	for k := range w.cores {
		if k != i {
			w.follow(c, w.cores[k], c.life)
		}
	}
}

// StopCore ends a registry without a word.
func (w *World) StopCore(i int) { w.cores[i].up = false }

// stir answers those who wait for news: those of a moment go together.
func (w *World) stir(c *core) {
	if c.stirred {
		return
	}
	c.stirred = true
	w.after(2, func() {
		c.stirred = false
		all := c.waiting
		c.waiting = nil
		for _, f := range all {
			f()
		}
	})
}

// call carries a call to a registry, which answers at once where the caller lacks something and
// otherwise when it has news. It fails where no answer comes in time.
func (w *World) call(kind string, from spot, to *core, ask registry.Pull, held float64, take func(*registry.Pulled), fail func()) {
	w.count(kind, len(rpc.Encode(ask)))
	over := false
	w.after(held+slackMs, func() {
		if !over {
			over = true
			fail()
		}
	})
	if w.cut(from, to.spot) {
		return
	}
	life := to.life
	w.after(w.delay(from, to.spot), func() {
		if !to.up || to.life != life {
			return
		}
		if ask.Me != nil {
			if _, known := to.book.Get(w.now, ask.Me.ID); (!known || ask.Me.Service == catalog.Limiters) && to.book.Beat(w.now, *ask.Me) {
				w.stir(to)
			}
			w.hearOfPlace(to, &ask)
		}
		came, until := w.now, w.now+held
		var answer func()
		answer = func() {
			if over || !to.up || to.life != life {
				return
			}
			lacks := to.book.Lacks(ask.Vector)
			newer := ask.Source == "" && to.version > ask.Seq
			if !lacks && !newer && w.now < until {
				to.waiting = append(to.waiting, answer)
				return
			}
			a := &registry.Pulled{Source: to.book.Source()}
			if lacks {
				a.Records, a.Vector = to.book.Since(w.now, ask.Vector), maps.Clone(to.book.Vector())
			}
			if ask.Source == "" {
				w.tellPlaces(to, ask.Seq, w.now-came, a)
			}
			over = true
			w.count(kind, len(rpc.Encode(a)))
			if w.cut(to.spot, from) {
				over = false // it gets no answer, and gives up in time
				return
			}
			w.after(w.delay(to.spot, from), func() { take(a) })
		}
		answer()
		w.after(held, func() {
			if !over {
				answer()
			}
		})
	})
}

// follow has a registry pull from another without end.
func (w *World) follow(c, from *core, life int) {
	w.after(10*w.rng.Float64(), func() {
		if !c.up || c.life != life {
			return
		}
		me := catalog.Record{ID: c.book.Source(), Service: catalog.Cores, Address: c.name, Sequence: uint64(w.now)}
		w.call("registries", c.spot, from, registry.Pull{Vector: maps.Clone(c.book.Vector()), HoldMs: followMs, Source: c.book.Source(), Me: &me}, followMs,
			func(a *registry.Pulled) {
				if !c.up || c.life != life {
					return
				}
				if len(c.book.Merge(w.now, a.Records)) > 0 {
					w.stir(c)
				}
				c.book.Know(a.Vector)
				w.follow(c, from, life)
			}, func() { w.after(150, func() { w.follow(c, from, life) }) })
	})
}

// pull has a limiter ask a registry for what it lacks, without end.
func (w *World) pull(n *node) {
	life := n.life
	if !n.up {
		return
	}
	n.serial++
	me := &catalog.Record{ID: n.id(), Service: catalog.Limiters, Address: n.name + ":8686", Zone: fmt.Sprint(n.zone), Sequence: uint64(n.serial)}
	if n.book != nil {
		n.vector = n.book.Vector()
	}
	ask, held := registry.Pull{Vector: maps.Clone(n.vector), HoldMs: holdMs, Me: me, Seq: n.version, Done: n.done}, holdMs
	if n.holding != nil {
		ask.LoansMs = uint64(math.Ceil(n.holding.Ledger.LoansEndIn(w.now)))
	}
	givesBack := n.done && n.table.SlotOf(n.name, n.name) < 0
	if givesBack {
		held = 0
	}
	asked := w.now
	w.call("pulls", n.spot, w.cores[n.core], ask, held,
		func(a *registry.Pulled) {
			if !n.up || n.life != life {
				return
			}
			if givesBack {
				n.up = false
				return
			}
			w.takePlaces(n, asked, a)
			if n.book != nil {
				n.book.Merge(w.now, a.Records)
				n.book.Know(a.Vector)
			} else if a.Vector != nil {
				n.vector = a.Vector
			}
			w.watchRegion(n)
			w.pull(n)
		}, func() {
			if n.up && n.life == life {
				n.serial++
				n.core = (n.core + 1) % len(w.cores)
				w.pull(n)
			}
		})
}

// watchRegion has a limiter look at those of its region that it knows to be there.
func (w *World) watchRegion(n *node) {
	zones := map[string]string{}
	if n.book == nil { // it would know by now
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
	n.line.SetMembers(zones)
}

// beat has a server say that it is there, again and again, at a registry that answers.
func (w *World) beat(i, at, sequence int, s catalog.State) {
	c := w.cores[at%len(w.cores)]
	if !c.up {
		w.after(200, func() { w.beat(i, at+1, sequence, s) })
		return
	}
	w.count("beats", 200)
	if c.book.Beat(w.now, catalog.Record{ID: fmt.Sprintf("i-%d", i), Service: fmt.Sprintf("s%d", i%4), Address: fmt.Sprintf("10.1.%d.%d:8080", i>>8, i&255),
		Zone: fmt.Sprint(i % (w.Regions * w.Zones)), Slots: 2, State: s, Sequence: uint64(sequence)}) {
		w.stir(c)
	}
	if s == catalog.Available {
		w.after(heartbeatMs, func() { w.beat(i, at, sequence+1, s) })
	}
}

// Drain has a server say at a registry that it drains; its beats end.
func (w *World) Drain(server, at int) { w.beat(server, at, 1<<30, catalog.Draining) }
