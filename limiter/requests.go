package limiter

import "math"

const (
	// Under pressure the wait allowed to a request scales with its worth per unit of work relative to
	// the mean, within these bounds.
	minWorthRatio    = 0.1
	maxWorthRatio    = 2.5
	averageWeight    = 0.02 // weight of one request in the averages of pressure, worth and failures
	timeoutTolerance = 0.01 // timeouts within this share count as equal: transit times vary
	maxTimeoutVotes  = 200  // bound on votes for the usual timeout, to follow a change
	retryShare       = 0.2  // retries that may have cost work, earned by each first attempt
	maxRetryBudget   = 10.0 // retries that can be saved up
)

// submit handles a request that this limiter proxies.
func (l *Limiter) submit(now float64, e Submit) {
	if l.requests[e.ID] != nil {
		return
	}
	req, srv := l.admit(now, e)
	if srv == nil {
		return
	}
	l.requests[req.id] = req
	if e.Leased == 0 {
		l.spend(now, req.account, req.units)
	}
	l.retryBudget = min(maxRetryBudget, l.retryBudget+retryShare)
	l.sendAttempt(now, req, srv)
}

// ask answers for a request that another component carries.
func (l *Limiter) ask(now float64, e Ask) {
	e.Leased, e.QuotaChecked = 0, false
	if req, srv := l.admit(now, e.Submit); srv != nil {
		l.spend(now, req.account, req.units)
		if e.Lease {
			req.account.leased += req.units
		}
		l.emit(Grant{ID: e.ID})
	}
}

// admit decides on a request and returns the server to use, or refuses the request and returns nil.
func (l *Limiter) admit(now float64, e Submit) (*request, *server) {
	if e.Class < 0 || e.Class >= len(l.cfg.Classes) || e.Plan < 0 || e.Plan >= len(l.cfg.Plans) {
		l.emit(Refuse{ID: e.ID})
		return nil, nil
	}
	acct := l.accountOf(now, e.Account, e.Plan, e.Spread)
	if acct.spread == 0 {
		l.setLimiters(now, acct, e.Spread, e.First)
	}
	l.refill(now, acct)
	// A plan learned from a peer, whose configuration may differ, or a removed one is replaced by the
	// request's plan; the balance carries over. A plan that a request has named stays, so that an
	// account can't escape its ceiling by naming another plan now and then.
	if acct.plan != e.Plan && (!acct.named || acct.plan >= l.named) {
		acct.plan, acct.limitsOutstanding = e.Plan, l.cfg.Plans[e.Plan].AtOnce > 0
		l.refill(now, acct)
	}
	acct.named = true
	l.releaseWithheld(acct)
	acct.lastSeenAt = now
	units := max(0, e.Units)
	acct.requested, acct.largestRequest = acct.requested+units, max(acct.largestRequest, units)
	aim := l.remainingAim(e)
	waitMs, ok := 0.0, true
	if e.Leased == 0 {
		waitMs, ok = l.checkQuota(acct, units, e.QuotaChecked)
	}
	if e.Advice.Refuse {
		waitMs, ok = max(waitMs, e.Advice.WaitMs), false
	}
	switch {
	case ok && aim > 0:
		req := &request{id: e.ID, class: e.Class, units: units, account: acct, aimAt: now + aim,
			pool: l.poolOf(e.Pool), maxAttempts: l.cfg.Caps.Attempts, advice: e.Advice}
		if e.Attempts > 0 {
			req.maxAttempts = min(req.maxAttempts, e.Attempts)
		}
		req.deadlineAt = now + e.ExpiresMs
		l.setWaitFactor(req)
		srv, lateMs := l.choose(now, req)
		if srv != nil {
			req.pool.pressure -= averageWeight * req.pool.pressure
			l.settle(acct, e.Leased, false)
			return req, srv
		}
		req.pool.pressure += averageWeight * (1 - req.pool.pressure)
		waitMs = lateMs
	case ok:
		waitMs = l.cfg.Caps.MaxWaitMs
	}
	l.settle(acct, e.Leased, true) // refund
	l.refuse(e.ID, waitMs, l.reason(acct, &e, aim, ok))
	return nil, nil
}

// remainingAim returns the time left in which an answer earns its full worth. Clients give most
// attempts of a class the same timeout; a different one is the rest of a deadline and shows how long ago
// the client began, so that no quota or server time is spent on requests that are already too late. If
// clients mark their retries, an unmarked request has just begun however short its timeout; without
// that rule all requests of clients with short timeouts would be refused.
func (l *Limiter) remainingAim(e Submit) float64 {
	class, vote := l.cfg.Classes[e.Class], &l.usualTimeout[e.Class]
	usualTimeout := math.Abs(e.ExpiresMs-vote.ms) <= timeoutTolerance*vote.ms
	switch { // a majority vote finds the usual timeout
	case usualTimeout:
		vote.votes = min(vote.votes+1, maxTimeoutVotes)
	case vote.votes > 0:
		vote.votes--
	default:
		vote.ms, vote.votes, usualTimeout = e.ExpiresMs, 1, true
	}
	aim := class.AimMs
	l.retriesMarked = l.retriesMarked || e.Retry
	if !usualTimeout && vote.votes > 1 && (e.Retry || !l.retriesMarked) {
		aim -= max(0, class.DeadlineMs-e.ExpiresMs)
	}
	return min(aim, e.ExpiresMs)
}

// setWaitFactor sets the factor on the spare time that a request may be expected to wait. The more
// requests within quota are refused for lack of servers, the more it depends on worth per unit of work.
func (l *Limiter) setWaitFactor(req *request) {
	p := req.pool
	worth := l.cfg.Classes[req.class].Worth * l.cfg.Plans[req.account.plan].Price * req.units /
		p.typicalMsOf(req.class)
	p.worth += (worth - p.worth) * max(averageWeight, 1/(p.weighted+1))
	p.weighted++
	req.factor = 1
	if p.worth > 0 {
		worth = req.advice.weighted(worth)
		req.factor += (max(minWorthRatio, min(maxWorthRatio, worth/p.worth)) - 1) * min(1, 2*p.pressure)
	}
}

// refuse rejects a request; the wait is at most the longest that clients follow.
func (l *Limiter) refuse(id string, waitMs float64, why Reason) {
	if !l.cfg.Caps.RetryAfter {
		waitMs = 0
	}
	l.emit(Refuse{ID: id, WaitMs: min(waitMs, l.cfg.Caps.MaxWaitMs), Why: why})
}

func (l *Limiter) sendAttempt(now float64, req *request, srv *server) {
	if srv.inflight == 0 {
		srv.silentSince = now
	}
	srv.pool.sends = srv.pool.recentSends(now) + 1
	srv.coldCredit--
	req.attempts = append(req.attempts, attempt{server: srv, sentAt: now, load: srv.load() + 1})
	req.pending++
	req.account.outstanding++
	srv.inflight++
	srv.pool.inflight++
	l.emit(PassOn{ID: req.id, Server: srv.info.ID})
}

func (l *Limiter) outcome(now float64, e Outcome) {
	req := l.requests[e.ID]
	if req == nil || e.Try < 0 || e.Try >= len(req.attempts) || req.attempts[e.Try].ended {
		return
	}
	a := &req.attempts[e.Try]
	l.settleAttempt(req, a)
	l.observe(now, a, req, e)
	if acct := req.account; e.Cost > 0 && l.cfg.TrueUp {
		l.refill(now, acct)
		acct.balance, acct.spent = acct.balance-(e.Cost-req.units), acct.spent+(e.Cost-req.units)
	}
	l.markDirty(req.account)
	if !provesNotRun(e.Result) && req.ranOn == nil {
		req.ranOn, req.ranInfo, req.ranAt = a.server, a.server.info, a.sentAt
	}
	if e.Done {
		l.finish(req)
	} else if req.pending == 0 && !req.streaming {
		l.retryOrFail(now, req, e.Result)
	}
}

// retryOrFail makes another attempt or gives the final answer, when no attempt is in flight.
func (l *Limiter) retryOrFail(now float64, req *request, last Result) {
	class := l.cfg.Classes[req.class]
	mayRetry := now < req.deadlineAt && len(req.attempts) < max(1, req.maxAttempts) && (req.ranOn == nil ||
		class.Repeat == Safe || class.Repeat == Keyed && now < req.ranAt+class.WindowMs)
	costly := !(last == NoRoute || last == StaleSend)
	if mayRetry && (!costly || l.retryBudget >= 1) {
		if srv, _ := l.choose(now, req); srv != nil {
			if costly {
				l.retryBudget--
			}
			l.sendAttempt(now, req, srv)
			return
		}
	}
	harmless := req.ranOn == nil || class.Repeat == Safe || class.Repeat == Keyed && class.Group == GroupAll
	if harmless && now < req.deadlineAt {
		l.refuse(req.id, 0, AfterAttempts)
	} else {
		l.emit(Fail{ID: req.id})
	}
	l.finish(req)
}

// finish drops a request that has its final answer or whose client is gone.
func (l *Limiter) finish(req *request) {
	if req == nil {
		return
	}
	for i := range req.attempts { // their outcomes will be ignored, so settle the counts now
		if a := &req.attempts[i]; !a.ended {
			l.settleAttempt(req, a)
			if l.cfg.Caps.Cancel {
				l.emit(AbortAttempt{ID: req.id, Try: i})
			}
		}
	}
	delete(l.requests, req.id)
}
