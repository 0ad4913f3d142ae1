package testring

import (
	"fmt"

	"example.org/madderdrum/limiter"
	"example.org/madderdrum/traffic/allowance"
	"example.org/madderdrum/traffic/membership"
	"example.org/madderdrum/traffic/quotaloan"
)

// arrive has a tenant's next request come.
func (w *World) arrive(t *tenant) {
	rate := t.usual
	if w.HotX > 0 && t == w.tenants[w.HotTenant] && w.now >= w.HotFrom && w.now < w.HotTo {
		rate *= w.HotX
	}
	w.after(w.rng.ExpFloat64()/rate*1000, func() {
		w.arrive(t)
		if n := w.goesTo(); n != nil && n.up && w.now > 5000 {
			hot := w.HotX > 0 && t == w.tenants[w.HotTenant] && w.now >= w.HotFrom && w.now < w.HotTo+5000
			w.request(n, t, func(ok bool) {
				if !hot {
					w.Requests++
					if !ok {
						w.Refused++
					}
				}
			})
		}
	})
}

// goesTo is the limiter that the next request comes to.
func (w *World) goesTo() *node {
	if !w.Redirect {
		return w.nodes[w.rng.IntN(len(w.nodes))]
	}
	var ready []*node
	for _, n := range w.nodes {
		if n.up && n.serving && !n.leaving {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[w.rng.IntN(len(ready))]
}

// request has a limiter decide on a request of a tenant, as its host does.
func (w *World) request(n *node, t *tenant, end func(ok bool)) {
	if n.lim == nil || n.done {
		end(false)
		return
	}
	n.serial++
	id := fmt.Sprint(n.serial)
	ev := limiter.Submit{ID: id, ExpiresMs: 3000, Units: 1, Plan: int(t.id), Customer: t.id, Spread: w.slots()}
	gathered, keeps := n.holding.KeeperStatus(t.id)
	submit := func(refused func(short bool)) {
		n.calls[id] = func(ok, short bool, server uint64) {
			delete(n.calls, id)
			if !ok {
				refused(short)
				return
			}
			t.passed = append(t.passed, w.now)
			life := n.life
			w.after(50+100*w.rng.Float64(), func() {
				if n.up && n.life == life {
					w.handle(n, limiter.Outcome{ID: id, Server: server, Result: limiter.Pass, SpentMs: 100, Done: true, Load: limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}})
				}
			})
			end(true)
		}
		if n.holding.Expired(w.now) {
			w.parts(n)
		}
		w.handle(n, ev)
	}
	leased := func(ok bool) {
		if !ok {
			end(false)
			return
		}
		ev.Leased = 1
		submit(func(bool) { end(false) })
	}
	if gathered && !keeps {
		w.token(n, t, leased)
		return
	}
	submit(func(short bool) {
		a := n.asks[t.id]
		if a == nil {
			a = &allowance.AskBackoff{}
			n.asks[t.id] = a
		}
		if !(keeps || short) || !a.Due(w.now) {
			end(false)
			return
		}
		w.token(n, t, func(ok bool) {
			if ok {
				a.Granted()
			} else {
				a.Refused(w.now)
			}
			leased(ok)
		})
	})
}

// token asks others for a token, the next one where there is no answer for a while.
func (w *World) token(n *node, t *tenant, end func(ok bool)) {
	life, over := n.life, false
	newest := w.sets(&n.table)
	q := quotaloan.NewTokenAsk(n.holding.TokenCandidates(t.id, newest[len(newest)-1], func(name string) bool { return w.outFor(n, name) }, w.rng.Shuffle))
	asked := 0
	var next func()
	next = func() {
		if over || !n.up || n.life != life {
			return
		}
		place, patience, more := q.Next(tokenTime)
		if !more {
			over = true
			end(false)
			return
		}
		asked++
		turn, k := asked, w.at(n, place)
		if k == nil {
			return
		}
		w.datagram("asks", n, k, 40, func() {
			paid := false
			if k.holding != nil && k.holding.Expired(w.now) {
				w.parts(k)
			}
			k.granted = &paid
			k.serial++
			w.handle(k, limiter.Ask{Submit: limiter.Submit{ID: fmt.Sprintf("ask/%d", k.serial), ExpiresMs: 3000, Units: 1, Plan: int(t.id), Customer: t.id, Spread: w.slots()}})
			k.granted = nil
			w.datagram("asks", k, n, 20, func() {
				switch {
				case over:
				case paid:
					over = true
					end(true)
				case q.Refused(0, "") && turn == asked:
					next()
				}
			})
		})
		w.after(patience, func() {
			if turn == asked {
				next()
			}
		})
	}
	next()
}

// tokenTime is the time that a request has left when it asks for a token, in ms.
const tokenTime = 3000.0

// outFor tells whether a limiter takes another for out of reach.
func (w *World) outFor(n *node, name string) bool {
	o := w.byName[name]
	return o.region == n.region && n.line.State(o.id()) == membership.Unreachable
}
