package switchyard

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"example.org/madderdrum/internal/bell"
	"example.org/madderdrum/internal/boot"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/timetable"
)

// Where a tenant's ceiling divided by all limiters comes to less than a few requests, no part
// is of use: its parts are gathered at a few limiters, its keepers, and the others ask one of
// them for each request. A keeper answers at once, out of its part, and nobody waits for a
// token: a request that no keeper has one for is refused.

const (
	// Asked are so many keepers, each for so long: a download may be before an ask on a link, which
	// takes a tenth of a second on the narrowest.
	askNear    = 2
	askFar     = 1
	nearWithin = 180 * time.Millisecond
	farWithin  = 250 * time.Millisecond
)

// tokenAsk asks a keeper to pay for one request.
type tokenAsk struct {
	Serial  uint64 `cbor:"1,keyasint"`
	Account uint64 `cbor:"2,keyasint"`
	Route   string `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
}

// tokenAnswer is a keeper's answer.
type tokenAnswer struct {
	Serial uint64  `cbor:"1,keyasint"`
	OK     bool    `cbor:"2,keyasint,omitempty"`
	WaitMs float64 `cbor:"3,keyasint,omitempty"`
	Why    string  `cbor:"4,keyasint,omitempty"`
}

// token asks keepers of a call's tenant, near ones first, until one pays for it.
func (y *Yard) token(c *call) (ok bool, waitMs float64, why string) {
	y.mu.Lock()
	e := c.e
	var near, far []int
	for _, k := range e.keepers[account(c.tenant.Name)] {
		switch {
		case k == e.place, y.out[y.reg.Posts[k].Name]:
		case y.set.Zones[y.reg.Posts[k].Zone] == y.set.Region:
			near = append(near, k)
		default:
			far = append(far, k)
		}
	}
	for _, all := range [][]int{near, far} {
		rand.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	}
	near, far = near[:min(askNear, len(near))], far[:min(askFar, len(far))]
	y.mu.Unlock()
	waitMs = advice
	for i, k := range append(near, far...) {
		within := nearWithin
		if i >= len(near) {
			within = farWithin
		}
		if left := time.Until(c.stopAt); left < within {
			break
		}
		a, heard := y.askToken(c, k, within)
		if a.OK {
			return true, 0, ""
		}
		if why = "keepers_silent"; heard {
			why = "keepers_" + a.Why
		}
		if heard && a.WaitMs > 0 {
			waitMs = min(max(a.WaitMs, advice/2), 1000)
		}
	}
	return false, waitMs, why
}

func (y *Yard) askToken(c *call, place int, within time.Duration) (a tokenAnswer, heard bool) {
	y.mu.Lock()
	y.serial++
	serial := y.serial
	answer := make(chan tokenAnswer, 1)
	y.asks[serial] = answer
	to := y.set.Internal(y.reg.Posts[place].IP, boot.SwitchyardPort)
	y.mu.Unlock()
	y.tell(to, datagramAsk, bell.Encode(tokenAsk{serial, account(c.tenant.Name), c.route.Name, c.service}))
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	select {
	case a = <-answer:
		heard = true
	case <-ctx.Done():
	}
	y.mu.Lock()
	delete(y.asks, serial)
	y.mu.Unlock()
	return a, heard
}

// asked answers another limiter's ask out of this one's part. The mutex is held.
func (e *engine) asked(m tokenAsk) tokenAnswer {
	y := e.y
	a := tokenAnswer{Serial: m.Serial}
	v := y.view.Load()
	if v == nil {
		return a
	}
	var route *timetable.Route
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
