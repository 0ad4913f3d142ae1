package proxy

import (
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/control/configuration"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/traffic/allowance"
)

// call is a request in hand.
type call struct {
	y      *Proxy
	e      *engine
	client *disconnect // of the connection that it came on
	id     string      // of the decisions: ids of clients may come twice
	*clientRequest
	route   *configuration.Route
	tenant  *configuration.Tenant
	service string
	stopAt  time.Time
	most    int // servers that it may be sent to
	steps   chan step

	// The proxy's mutex guards these.
	tries   int
	arrived int // at servers
	over    bool

	bound  bool // paid out of this limiter's part of a ceiling: sent only while it holds one
	lapsed bool // the lease had ended when it was to be sent

	ran  bool    // some attempt may have run
	last *answer // a server's own answer that is of no use, for want of a better one
}

// step is what a call is to do next.
type step struct {
	upstream *upstream
	server   uint64
	try      int
	refuse   *limiter.Refuse
	fail     bool
}

// next hands a call its next step; it takes one at a time.
func (c *call) next(s step) {
	select {
	case c.steps <- s:
	default:
		panic("proxy: a call has two steps to do") // a broken invariant
	}
}

func fnv64(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// serve gives a request of a client its final answer.
func (y *Proxy) serve(client *disconnect, r *clientRequest) *answer {
	arrived := time.Now()
	v := y.view.Load()
	if v == nil {
		return &answer{status: 503, retryAfter: 300, why: "no configuration yet"}
	}
	route := v.table.Find(r.Host, r.URL.EscapedPath())
	if route == nil {
		return &answer{status: 404, why: "no route takes this"}
	}
	var tenant *configuration.Tenant
	if v.table.Guarded() && !route.Open {
		keys := r.Header[headerCredential]
		if len(keys) == 1 {
			tenant = v.table.TenantOf(keys[0])
		}
		if tenant == nil {
			return &answer{status: 401, why: "key is missing or not known"}
		}
	}
	id := r.Header.Get(headerAttempt)
	if id == "" || len(r.Header[headerAttempt]) > 1 {
		return &answer{status: 400, why: "attempt id is missing or doubled"}
	}
	within := route.Timeout
	if text := r.Header.Get(headerDeadline); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > 1<<40 {
			return &answer{status: 400, why: "deadline is not a number of milliseconds"}
		}
		within = min(within, time.Duration(n)*time.Millisecond)
	}
	patience := within - min(margin, within/8)
	c := &call{y: y, client: client, clientRequest: r, route: route, tenant: tenant, stopAt: arrived.Add(patience),
		most: max(1, route.Attempts), steps: make(chan step, 1)}
	y.mu.Lock()
	if y.engine == nil || tenant != nil && !y.vouched() || y.inHand.Load() > requestsMost {
		y.mu.Unlock()
		return &answer{status: 503, retryAfter: 300, why: "not vouched"}
	}
	c.e = y.engine
	c.service = share(route, rand.Float64())
	c.e.names++
	c.id = strconv.Itoa(c.e.names) + "/" + id
	b := y.budget[c.service]
	if b == nil {
		b = &allowance.Tries{}
		if y.set.Bootstrap {
			b = y.rules.First(y.limiters)
		}
		y.budget[c.service] = b
	}
	b.Earn(y.rules, y.limiters)
	gathered, keeps := false, false
	if tenant != nil {
		c.bound = c.e.holding.Ceilings[account(tenant.Name)].Rate > 0
		gathered, keeps = c.e.holding.Keeps(account(tenant.Name))
	}
	if gathered && !keeps {
		y.mu.Unlock()
		ok, wait, why := y.token(c)
		if !ok {
			return &answer{status: 429, retryAfter: wait, why: why}
		}
		y.mu.Lock()
	}
	if c.clientLeft() {
		y.mu.Unlock()
		return unheard()
	}
	return c.submit(patience, gathered && !keeps, keeps)
}

// submit has the decisions decide on a call, and gives it its answer. The mutex is held at
// first. paid tells that a keeper has taken the token. keeps tells that this limiter is a keeper
// of the tenant itself: where its part is short another may have a token.
func (c *call) submit(patience time.Duration, paid, keeps bool) *answer {
	y, route, tenant := c.y, c.route, c.tenant
	c.e.calls[c.id] = c
	ev := limiter.Submit{ID: c.id, ExpiresMs: stretch * ms(patience), Units: 1, Class: c.e.classes[route.Name], Spread: c.e.size,
		Pool: c.e.poolOf(c.service, route, tenant)}
	if tenant != nil {
		ev.Plan, ev.Customer = c.e.plans[tenant.Name], account(tenant.Name)
	}
	if paid {
		ev.Leased, c.bound = 1, false
	}
	c.e.partsDue()
	c.e.handle(ev)
	y.mu.Unlock()
	a := c.run()
	if a.status == 429 && (keeps || tenant != nil && !paid && a.short) {
		if ok, wait := y.shortOf(c); ok {
			ev.Leased, c.bound = 1, false
			c.e.dispatch(ev)
			a = c.run()
		} else if wait > 0 {
			a.retryAfter = wait
		}
	}
	y.mu.Lock()
	c.over = true
	delete(c.e.calls, c.id)
	y.mu.Unlock()
	return a
}

// count notes how a request ended.
func (y *Proxy) count(a *answer) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.ended[ending{a.status, strings.ReplaceAll(a.why, " ", "_")}]++
}

// share draws a service of a route by their weights.
func share(r *configuration.Route, x float64) string {
	if len(r.To) == 1 {
		return r.To[0].Service
	}
	sum := 0.0
	for _, s := range r.To {
		sum += s.Weight
	}
	x *= sum
	for _, s := range r.To {
		if x -= s.Weight; x < 0 {
			return s.Service
		}
	}
	return r.To[len(r.To)-1].Service
}

// run carries out the steps of a call until it has its answer.
func (c *call) run() *answer {
	for {
		s := <-c.steps
		switch {
		case s.refuse != nil:
			return c.refused(s.refuse)
		case s.fail:
			return c.failed()
		}
		rep := c.y.try(c, s.upstream)
		if rep.abandoned {
			c.withdraw(s, rep.spentMs)
			return unheard()
		}
		done := rep.result == limiter.Pass
		if rep.answer != nil && !done {
			c.last = rep.answer
		}
		if !unrun(rep.result) {
			c.ran = true
		}
		if !c.ran {
			c.handOff.takeBack()
		}
		if failure(rep.result) {
			c.saw(s.server)
		}
		// What a client's connection has given once can't be had again.
		done = done || c.clientLeft() || c.lapsed || !time.Now().Before(c.stopAt) || c.rest != nil && c.rest.begun
		c.y.mu.Lock()
		c.e.ends(s.upstream, s.server, rep.result, rep.spentMs)
		c.e.handle(limiter.Outcome{ID: c.id, Try: s.try, Server: s.server, Result: rep.result, SpentMs: rep.spentMs, Done: done,
			Load: limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}})
		c.y.mu.Unlock()
		if rep.result == limiter.Pass {
			return rep.answer
		}
		if done {
			return c.failed()
		}
	}
}

// withdraw ends a call whose client has left before the attempt of a step was over. Nothing is learnt of
// the server.
func (c *call) withdraw(s step, spentMs float64) {
	c.y.mu.Lock()
	defer c.y.mu.Unlock()
	c.e.ends(s.upstream, s.server, limiter.Undone, spentMs)
	c.e.handle(limiter.Aborted{ID: c.id})
}

// unrun tells that a result proves that nothing ran.
func unrun(r limiter.Result) bool {
	return r == limiter.NoRoom || r == limiter.NoRoute || r == limiter.StaleSend
}

// failure tells that a result speaks against its server.
func failure(r limiter.Result) bool {
	return r == limiter.Fault || r == limiter.Cut || r == limiter.TooSlow
}

// failed is the answer of a request that servers did not serve.
func (c *call) failed() *answer {
	switch {
	case c.rest != nil && c.rest.long:
		return &answer{status: 413, why: errBodyTooLong.Error()}
	case c.last != nil:
		return c.last
	case !c.ran:
		return &answer{status: 503, retryAfter: advice, why: "unrun"}
	case !time.Now().Before(c.stopAt):
		return &answer{status: 504, why: "deadline"}
	}
	return &answer{status: 502, why: "broken"}
}

// refused is the answer of a request that the decisions turn away.
func (c *call) refused(r *limiter.Refuse) *answer {
	if c.ran || c.last != nil {
		return c.failed()
	}
	status := 503
	switch r.Why {
	case limiter.QuotaShort, limiter.CeilingShort, limiter.PeersUnheard:
		status = 429
	}
	wait := r.WaitMs
	if wait <= 0 {
		wait = advice
	}
	return &answer{status: status, retryAfter: wait, why: r.Why.String(), short: r.Why == limiter.CeilingShort}
}
