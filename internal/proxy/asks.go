package proxy

import (
	"cmp"
	"math/rand/v2"
	"strconv"
	"time"

	"example.org/madderdrum/control/configuration"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/traffic/allowance"
	"example.org/madderdrum/traffic/quotaloan"
)

// Where a tenant's ceiling divided by all limiters comes to less than a few requests, no part
// is of use: its parts are gathered at a few limiters, its keepers, and the others ask one of
// them for each request. Where parts are of use but small, a limiter whose part is short at the
// moment asks another of its region for a single token, as requests come in clusters. Whoever is
// asked answers at once, out of its part, and nobody waits for a token: a request that none of
// them has one for is refused.

// tokenAsk asks another limiter to pay for one request.
type tokenAsk struct {
	Serial  uint64 `cbor:"1,keyasint"`
	Account uint64 `cbor:"2,keyasint"`
	Route   string `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
}

// tokenAnswer is its answer.
type tokenAnswer struct {
	Serial uint64  `cbor:"1,keyasint"`
	OK     bool    `cbor:"2,keyasint,omitempty"`
	WaitMs float64 `cbor:"3,keyasint,omitempty"`
	Why    string  `cbor:"4,keyasint,omitempty"`
}

// token asks others for one token of a call's tenant until one pays for it.
func (y *Proxy) token(c *call) (ok bool, waitMs float64, why string) {
	y.mu.Lock()
	all, near := c.e.holding.Askees(account(c.tenant.Name), c.e.places, func(name string) bool { return y.unreachable[name] }, rand.Shuffle)
	y.mu.Unlock()
	q, answers := quotaloan.Enquire(all, near), make(chan tokenAnswer, len(all))
	for {
		place, within, more := q.Next(ms(time.Until(c.stopAt)))
		if !more {
			return false, cmp.Or(q.WaitMs, advice), "keepers_" + cmp.Or(q.Why, "silent")
		}
		serial := y.askToken(c, place, answers)
		defer y.endAsk(serial)
		late := time.After(time.Duration(within * float64(time.Millisecond)))
		for waiting := true; waiting; {
			select {
			case a := <-answers:
				if a.OK {
					return true, 0, ""
				}
				waiting = !q.Refused(a.WaitMs, a.Why)
			case <-late:
				waiting = false
			case <-c.client.Done():
				return false, 0, "client left"
			}
		}
	}
}

// askToken asks a limiter for a token. Its answer, if one comes, is put into answers.
func (y *Proxy) askToken(c *call, place int, answers chan tokenAnswer) (serial uint64) {
	y.mu.Lock()
	y.serial++
	serial = y.serial
	y.asks[serial] = answers
	ip := y.reg.Places[place].IP
	y.mu.Unlock()
	y.tell(y.set.Internal(ip, nodesettings.ProxyPort), datagramAsk, rpc.Encode(tokenAsk{serial, account(c.tenant.Name), c.route.Name, c.service}))
	return serial
}

// endAsk has an answer that is still to come be let go.
func (y *Proxy) endAsk(serial uint64) {
	y.mu.Lock()
	defer y.mu.Unlock()
	delete(y.asks, serial)
}

// answered hands an answer to the call that waits for it, once. The mutex is held.
func (y *Proxy) answered(a tokenAnswer) {
	if answers := y.asks[a.Serial]; answers != nil {
		delete(y.asks, a.Serial)
		answers <- a // it has room for one answer to each ask
	}
}

// shortOf has a call whose tenant's part is short here ask others for a token, unless they had
// none a moment ago.
func (y *Proxy) shortOf(c *call) (ok bool, waitMs float64) {
	id := account(c.tenant.Name)
	y.mu.Lock()
	asks := y.asking[id]
	if asks == nil {
		asks = &allowance.Asks{}
		y.asking[id] = asks
	}
	due := asks.Due(y.now())
	y.mu.Unlock()
	if !due {
		return false, 0
	}
	ok, waitMs, _ = y.token(c)
	y.mu.Lock()
	defer y.mu.Unlock()
	if ok {
		asks.Paid()
	} else {
		asks.Refused(y.now())
	}
	return ok, waitMs
}

// asked answers another limiter's ask out of this one's part. The mutex is held.
func (e *engine) asked(m tokenAsk) tokenAnswer {
	y := e.y
	a := tokenAnswer{Serial: m.Serial}
	v := y.view.Load()
	if v == nil {
		return a
	}
	var route *configuration.Route
	for i := range v.table.Routes {
		if v.table.Routes[i].Name == m.Route {
			route = &v.table.Routes[i]
		}
	}
	plan, known := e.planOf[m.Account]
	if route == nil || !known {
		return a
	}
	e.names++
	e.ask = &a
	e.partsDue()
	e.handle(limiter.Ask{Submit: limiter.Submit{ID: asksID + strconv.Itoa(e.names), ExpiresMs: stretch * ms(route.Timeout), Units: 1,
		Class: e.classes[route.Name], Plan: plan, Customer: m.Account, Spread: e.size, Pool: e.poolOf(m.Service, route, nil)}})
	e.ask = nil
	return a
}

// asksID begins the ids of what other limiters ask: no request has such a one.
const asksID = "ask/"
