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

// call is one client request that is being served.
type call struct {
	proxy   *Proxy
	client  *clientContext // of the connection that the request came on
	arrived time.Time
	*clientRequest
	attemptID string // of the client, which may use one repeatedly
	steps     chan step

	// By the configuration that the call was resolved by.
	table       *configuration.Table
	route       *configuration.Route
	tenant      *configuration.Tenant
	service     string
	timeLeft    time.Duration // for the answer, from arrived on
	deadline    time.Time
	maxAttempts int // number of servers that the request may be sent to

	// Guarded by the proxy's mutex.
	assignedEngine *engine
	id             string // unique in the engine
	attempts       int    // of the latest submission to the engine
	arrivals       int    // attempts that a server has received
	finished       bool

	needsShare  bool // paid from this limiter's part of a ceiling, so it is sent only while the limiter holds a share
	leaseLapsed bool // the lease had ended when the request was about to be sent

	mayHaveRun   bool    // a server may have executed the request
	serverAnswer *answer // latest unsuccessful answer of a server, returned if no other attempt succeeds
}

// step is the next action of a call.
type step struct {
	upstream *upstream
	serverID uint64
	attempt  int
	refusal  *limiter.Refuse
	failed   bool
}

// setNextStep passes a call its next step. The previous step must have been taken.
func (c *call) setNextStep(s step) {
	select {
	case c.steps <- s:
	default:
		panic("proxy: the call already has a pending step") // an invariant is broken
	}
}

func hash64(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// serve processes a client request and returns its final answer.
func (proxy *Proxy) serve(client *clientContext, r *clientRequest) *answer {
	config := proxy.configSnapshot.Load()
	if config == nil {
		return &answer{status: 503, retryAfterMs: 300, reason: "no configuration yet"}
	}
	c := &call{proxy: proxy, client: client, clientRequest: r, arrived: time.Now(), steps: make(chan step, 1)}
	if rejection := c.resolve(config.table); rejection != nil {
		return rejection
	}
	proxy.mu.Lock()
	rejection := c.assign()
	if rejection == nil && proxy.inFlight.Load() > maxInFlight {
		rejection = notVouchedAnswer()
	}
	if rejection != nil {
		proxy.mu.Unlock()
		return rejection
	}
	proxy.retryBudgets[c.service].Earn(proxy.rules, proxy.limiterCount)
	gathered, isKeeper := false, false
	if c.tenant != nil {
		account := accountID(c.tenant.Name)
		c.needsShare = c.assignedEngine.quota.Ceilings[account].Rate > 0
		gathered, isKeeper = c.assignedEngine.quota.KeeperStatus(account)
	}
	prepaid := gathered && !isKeeper
	if prepaid {
		proxy.mu.Unlock()
		ok, waitMs, reason := proxy.requestToken(c)
		if !ok {
			return &answer{status: 429, retryAfterMs: waitMs, reason: reason}
		}
		proxy.mu.Lock()
		if rejection := c.reassign(); rejection != nil {
			proxy.mu.Unlock()
			return rejection
		}
	}
	if c.clientLeft() {
		proxy.mu.Unlock()
		return clientLeftAnswer()
	}
	return c.submit(prepaid, isKeeper)
}

// notVouchedAnswer returns the answer to a request that this limiter can't decide on.
func notVouchedAnswer() *answer {
	return &answer{status: 503, retryAfterMs: 300, reason: "not vouched"}
}

// resolve finds the route, the tenant and the limits of the call in a configuration. It returns the answer to a
// request that the configuration does not allow.
func (c *call) resolve(table *configuration.Table) (rejection *answer) {
	route := table.FindRoute(c.Host, c.URL.EscapedPath())
	if route == nil {
		return &answer{status: 404, reason: "no route takes this"}
	}
	var tenant *configuration.Tenant
	if table.RequiresKey() && !route.AuthExempt {
		keys := c.Header[headerCredential]
		if len(keys) == 1 {
			tenant = table.TenantByKey(keys[0])
		}
		if tenant == nil {
			return &answer{status: 401, reason: "key is missing or not known"}
		}
	}
	id := c.Header.Get(headerAttempt)
	if id == "" || len(c.Header[headerAttempt]) > 1 {
		return &answer{status: 400, reason: "attempt id is missing or doubled"}
	}
	timeout := route.Timeout
	if text := c.Header.Get(headerDeadline); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > 1<<40 {
			return &answer{status: 400, reason: "deadline is not a number of milliseconds"}
		}
		timeout = min(timeout, time.Duration(n)*time.Millisecond)
	}
	c.table, c.route, c.tenant, c.attemptID = table, route, tenant, id
	c.service = pickService(route, rand.Float64())
	c.timeLeft = timeout - min(answerMargin, timeout/8)
	c.deadline = c.arrived.Add(c.timeLeft)
	c.maxAttempts = max(1, route.Attempts)
	return nil
}

// assign gives the call to the engine in force. Route, tenant and engine must be of one configuration, since the engine
// decides by the route's class whether the request may be repeated; so the call is resolved again if the configuration
// has changed since. It returns an answer if the call can't be served. The mutex is held.
func (c *call) assign() (rejection *answer) {
	proxy := c.proxy
	if config := proxy.configSnapshot.Load(); config.table != c.table {
		if rejection := c.resolve(config.table); rejection != nil {
			return rejection
		}
	}
	e := proxy.engine
	if e == nil || c.tenant != nil && !proxy.keysTrusted() {
		return notVouchedAnswer()
	}
	if !e.knows(c.route, c.tenant) { // the engine could not take the configuration over
		return notVouchedAnswer()
	}
	e.requestCount++
	c.assignedEngine, c.id, c.attempts = e, strconv.Itoa(e.requestCount)+"/"+c.attemptID, 0
	if proxy.retryBudgets[c.service] == nil {
		proxy.retryBudgets[c.service] = proxy.newRetryBudget()
	}
	return nil
}

// reassign is assign for a call that has waited for a token, and so has not been sent yet. The token is worth nothing
// if the key belongs to another tenant now. The mutex is held.
func (c *call) reassign() (rejection *answer) {
	payer := c.tenant.Name
	if rejection := c.assign(); rejection != nil {
		return rejection
	}
	if c.tenant == nil || c.tenant.Name != payer {
		return &answer{status: 503, retryAfterMs: defaultRetryAfterMs, reason: "tenant changed"}
	}
	return nil
}

// newRetryBudget returns the budget that a service begins with. The mutex is held.
func (proxy *Proxy) newRetryBudget() *allowance.RetryBudget {
	if proxy.settings.Bootstrap {
		return proxy.rules.InitialRetryBudget(proxy.limiterCount)
	}
	return &allowance.RetryBudget{}
}

// submit lets the engine decide on the call and returns the call's answer. The mutex is held on entry and is
// released. prepaid says that a keeper has granted the token. isKeeper says that this limiter is itself a keeper
// of the tenant: when its part is used up, another limiter may still have a token.
func (c *call) submit(prepaid, isKeeper bool) *answer {
	a := c.runSubmitted(prepaid)
	mayAsk := c.tenant != nil && (isKeeper || !prepaid && a.shareShort)
	if a.status != 429 || a.head != nil || !mayAsk { // with a head, it is a server's answer
		return a
	}
	ok, wait := c.proxy.requestTokenThrottled(c)
	if !ok {
		if wait > 0 {
			a.retryAfterMs = wait
		}
		return a
	}
	c.proxy.mu.Lock()
	if rejection := c.reassign(); rejection != nil {
		c.proxy.mu.Unlock()
		return rejection
	}
	return c.runSubmitted(true)
}

// runSubmitted submits the call to its engine and executes the steps that the engine decides on. The mutex is held on
// entry and is released.
func (c *call) runSubmitted(prepaid bool) *answer {
	e := c.assignedEngine
	e.calls[c.id] = c
	c.finished = false
	ev := limiter.Submit{ID: c.id, ExpiresMs: deadlineStretch * ms(c.timeLeft), Units: 1, Class: e.classes[c.route],
		Spread: e.slotCount, Pool: e.poolID(c.service, c.route, c.tenant)}
	if c.tenant != nil {
		ev.Plan, ev.Account = e.plans[c.tenant], accountID(c.tenant.Name)
	}
	if prepaid {
		ev.Leased, c.needsShare = 1, false
	}
	e.applyDueParts()
	e.handle(ev)
	c.proxy.mu.Unlock()
	a := c.run()
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.finished = true
	delete(e.calls, c.id)
	return a
}

// countAnswer counts how a request ended.
func (proxy *Proxy) countAnswer(a *answer) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.answerCounts[ending{a.status, strings.ReplaceAll(a.reason, " ", "_")}]++
}

// pickService picks one of a route's services by weight; x is a random number in [0, 1).
func pickService(r *configuration.Route, x float64) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	sum := 0.0
	for _, s := range r.Destinations {
		sum += s.Weight
	}
	x *= sum
	for _, s := range r.Destinations {
		if x -= s.Weight; x < 0 {
			return s.Service
		}
	}
	return r.Destinations[len(r.Destinations)-1].Service
}

// run executes the steps of a call until it has an answer.
func (c *call) run() *answer {
	for {
		s := <-c.steps
		switch {
		case s.refusal != nil:
			return c.refusalAnswer(s.refusal)
		case s.failed:
			return c.failureAnswer()
		}
		outcome := c.proxy.attempt(c, s.upstream)
		if outcome.abandoned {
			c.abandon(s, outcome.spentMs)
			return clientLeftAnswer()
		}
		final := outcome.result == limiter.Pass
		if outcome.answer != nil && !final {
			c.serverAnswer = outcome.answer
		}
		if !notExecuted(outcome.result) {
			c.mayHaveRun = true
		}
		if !c.mayHaveRun {
			c.handOff.markNotExecuted()
		}
		if serverFailure(outcome.result) {
			c.reportFailure(s.serverID)
		}
		// Body bytes already read from the client's connection cannot be read again for another attempt.
		final = final || c.clientLeft() || c.leaseLapsed || !time.Now().Before(c.deadline) || c.rest != nil &&
			c.rest.started
		c.proxy.mu.Lock()
		c.assignedEngine.attemptEnded(s.upstream, s.serverID, outcome.result, outcome.spentMs)
		c.assignedEngine.handle(limiter.Outcome{ID: c.id, Try: s.attempt, Server: s.serverID, Result: outcome.result,
			SpentMs: outcome.spentMs, Done: final,
			Load: limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}})
		c.proxy.mu.Unlock()
		if outcome.result == limiter.Pass {
			return outcome.answer
		}
		if final {
			return c.failureAnswer()
		}
	}
}

// abandon ends a call whose client disconnected before the attempt was over. The outcome says nothing about the
// server.
func (c *call) abandon(s step, spentMs float64) {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.assignedEngine.attemptEnded(s.upstream, s.serverID, limiter.Undone, spentMs)
	c.assignedEngine.handle(limiter.Aborted{ID: c.id})
}

// notExecuted reports whether a result proves that the server did not execute the request.
func notExecuted(r limiter.Result) bool {
	return r == limiter.NoRoom || r == limiter.NoRoute || r == limiter.StaleSend
}

// serverFailure reports whether a result counts as a failure of the server.
func serverFailure(r limiter.Result) bool {
	return r == limiter.Fault || r == limiter.Cut || r == limiter.TooSlow
}

// failureAnswer returns the answer to a request that no server served successfully.
func (c *call) failureAnswer() *answer {
	switch {
	case c.rest != nil && c.rest.tooLong:
		return &answer{status: 413, reason: errBodyTooLong.Error()}
	case c.serverAnswer != nil:
		return c.serverAnswer
	case !c.mayHaveRun:
		return &answer{status: 503, retryAfterMs: defaultRetryAfterMs, reason: "unrun"}
	case !time.Now().Before(c.deadline):
		return &answer{status: 504, reason: "deadline"}
	}
	return &answer{status: 502, reason: "broken"}
}

// refusalAnswer returns the answer to a request that the engine refused.
func (c *call) refusalAnswer(r *limiter.Refuse) *answer {
	if c.mayHaveRun || c.serverAnswer != nil {
		return c.failureAnswer()
	}
	status := 503
	switch r.Why {
	case limiter.QuotaShort, limiter.CeilingShort, limiter.PeersUnheard:
		status = 429
	}
	wait := r.WaitMs
	if wait <= 0 {
		wait = defaultRetryAfterMs
	}
	return &answer{status: status, retryAfterMs: wait, reason: r.Why.String(),
		shareShort: r.Why == limiter.CeilingShort}
}
