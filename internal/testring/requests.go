package testring

import (
	"fmt"

	"example.org/madderdrum/limiter"
	"example.org/madderdrum/traffic/allowance"
	"example.org/madderdrum/traffic/membership"
	"example.org/madderdrum/traffic/quotaloan"
)

// arrive schedules a tenant's next request at its present rate. Requests in the first 5 s are not sent, and those
// of the hot tenant during its peak are not counted.
func (w *World) arrive(t *tenant) {
	rate := t.baseRate
	if w.HotX > 0 && t == w.tenants[w.HotTenant] && w.now >= w.HotFrom && w.now < w.HotTo {
		rate *= w.HotX
	}
	w.after(w.rng.ExpFloat64()/rate*1000, func() {
		w.arrive(t)
		if n := w.chooseLimiter(); n != nil && n.up && w.now > 5000 {
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

// chooseLimiter returns the limiter that receives the next request, or nil if none is ready.
func (w *World) chooseLimiter() *node {
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

// request makes a limiter decide on a request of a tenant, as its host does: with its own tokens, or with one
// from a keeper or another limiter.
func (w *World) request(n *node, t *tenant, finish func(ok bool)) {
	if n.lim == nil || n.drained {
		finish(false)
		return
	}
	n.serial++
	id := fmt.Sprint(n.serial)
	ev := limiter.Submit{ID: id, ExpiresMs: 3000, Units: 1, Plan: int(t.id), Account: t.id, Spread: w.slotCount()}
	aggregated, isKeeper := n.holding.KeeperStatus(t.id)
	submit := func(refused func(short bool)) {
		n.callbacks[id] = func(ok, short bool, server uint64) {
			delete(n.callbacks, id)
			if !ok {
				refused(short)
				return
			}
			t.admittedAt = append(t.admittedAt, w.now)
			incarnation := n.incarnation
			w.after(50+100*w.rng.Float64(), func() {
				if n.up && n.incarnation == incarnation {
					w.handle(n, limiter.Outcome{ID: id, Server: server, Result: limiter.Pass, SpentMs: 100, Done: true, Load: limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}})
				}
			})
			finish(true)
		}
		if n.holding.Expired(w.now) {
			w.updateParts(n)
		}
		w.handle(n, ev)
	}
	leased := func(ok bool) {
		if !ok {
			finish(false)
			return
		}
		ev.Leased = 1
		submit(func(bool) { finish(false) })
	}
	if aggregated && !isKeeper {
		w.requestToken(n, t, leased)
		return
	}
	submit(func(short bool) {
		backoff := n.backoffs[t.id]
		if backoff == nil {
			backoff = &allowance.AskBackoff{}
			n.backoffs[t.id] = backoff
		}
		if !(isKeeper || short) || !backoff.Due(w.now) {
			finish(false)
			return
		}
		w.requestToken(n, t, func(ok bool) {
			if ok {
				backoff.Granted()
			} else {
				backoff.Refused(w.now)
			}
			leased(ok)
		})
	})
}

// requestToken asks other limiters for a token in turn; it tries the next one after a refusal or a timeout.
func (w *World) requestToken(n *node, t *tenant, finish func(ok bool)) {
	incarnation, finished := n.incarnation, false
	newest := w.placeSets(&n.table)
	q := quotaloan.NewTokenAsk(n.holding.TokenCandidates(t.id, newest[len(newest)-1], func(name string) bool { return w.isUnreachable(n, name) }, w.rng.Shuffle))
	attempts := 0
	var next func()
	next = func() {
		if finished || !n.up || n.incarnation != incarnation {
			return
		}
		place, timeoutMs, found := q.Next(tokenTimeoutMs)
		if !found {
			finished = true
			finish(false)
			return
		}
		attempts++
		attempt, keeper := attempts, w.nodeAt(n, place)
		if keeper == nil {
			return
		}
		w.datagram("asks", n, keeper, 40, func() {
			paid := false
			if keeper.holding != nil && keeper.holding.Expired(w.now) {
				w.updateParts(keeper)
			}
			keeper.tokenGranted = &paid
			keeper.serial++
			w.handle(keeper, limiter.Ask{Submit: limiter.Submit{ID: fmt.Sprintf("ask/%d", keeper.serial), ExpiresMs: 3000, Units: 1, Plan: int(t.id), Account: t.id, Spread: w.slotCount()}})
			keeper.tokenGranted = nil
			w.datagram("asks", keeper, n, 20, func() {
				switch {
				case finished:
				case paid:
					finished = true
					finish(true)
				case q.Refused(0, "") && attempt == attempts:
					next()
				}
			})
		})
		w.after(timeoutMs, func() {
			if attempt == attempts {
				next()
			}
		})
	}
	next()
}

// tokenTimeoutMs is the time that is left to a request when it asks for a token.
const tokenTimeoutMs = 3000.0

// isUnreachable reports whether n considers another limiter of its region unreachable.
func (w *World) isUnreachable(n *node, name string) bool {
	o := w.byName[name]
	return o.region == n.region && n.detector.State(o.id()) == membership.Unreachable
}
