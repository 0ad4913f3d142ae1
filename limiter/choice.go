package limiter

import (
	"cmp"
	"math"
	"slices"
)

const (
	slownessWindowMs      = 2000.0 // a server's slowness is averaged over this time,
	slownessWindowAnswers = 2.0    // or over this number of its answers if that takes longer
	maxTimeoutSlowness    = 4.0    // upper bound of the slowness that a time-out counts as
	minSampleWeight       = 0.005  // of one answer in the typical time and the load fit: some 200 answers
	initialSlowdown       = 0.25   // assumed slowdown by each further request in flight; this prior
	slowdownPriorWeight   = 1.0    // counts like an observed load variance of this many squared requests
	// A request is refused if its expected answer takes more than deadlineShare of the time left, as
	// answer times scatter. An idle server is tried regardless while fewer than triesPerServer requests
	// per warm server are in flight from all limiters. Few limiters try more (fewLimitersTries of them
	// twice as many), as a server that is idle for one of few is mostly idle.
	deadlineShare    = 0.25
	triesPerServer   = 3.0
	fewLimitersTries = 6.0
	// At most this many servers, evenly spaced from a random one, are compared for a choice: a full
	// scan costs time linear in the servers, and the best of a sample is nearly as good.
	maxScanned        = 64
	minAnswersForTier = 20.0 // answers of a class before its typical time is relied on
	othersLoadWeight  = 0.4  // see load
	crossZoneWeight   = 10.0 // the cost of a server in another zone rises by this times the price
)

// choose returns the server with the lowest expected finish time, or nil and a wait if none can answer
// in time. A pool with tiers uses the first tier that can; package routing decides which may be tried.
func (l *Limiter) choose(now float64, req *request) (*server, float64) {
	p, class := req.pool, &l.cfg.Classes[req.class]
	if p.tiers == nil || req.ranOn != nil && class.Repeat == Keyed && class.Group != GroupAll {
		return l.chooseIn(now, req, p.servers) // servers that know its key, in any tier
	}
	unsafe := class.Repeat == Unsafe
	var fallback *server
	waitMs, stay := fullBackoffMs, false
	for _, tier := range p.tiers.Order(req.advice.Prefer, req.advice.Avoid) {
		if stay || !p.tiers.Admit(now, tier, l.rng.Float64(), unsafe) {
			continue
		}
		srv, lateMs := l.chooseIn(now, req, p.serversByTier[tier])
		if srv != nil && (lateMs <= 0 || p.tiers.Recovering(tier)) {
			return srv, 0
		}
		fallback = cmp.Or(fallback, srv)
		waitMs, stay = max(waitMs, lateMs), !p.tiers.AllowSpill(now, tier, req.factor)
	}
	for tier := 0; tier < p.tiers.Len() && !stay; tier++ {
		if p.tiers.AllowLastResort(tier, unsafe) {
			srv, lateMs := l.chooseIn(now, req, p.serversByTier[tier])
			if srv != nil && (lateMs <= 0 || p.tiers.Recovering(tier)) {
				return srv, 0
			}
		}
	}
	return fallback, waitMs
}

// chooseIn chooses among some servers of the request's pool. With the server it returns by how much
// its answer is expected to be late; above 0, the server is only worth a try.
func (l *Limiter) chooseIn(now float64, req *request, servers []*server) (*server, float64) {
	var best *server
	var bestCost float64
	p := req.pool
	size := len(servers)
	for pass := 0; pass < 3 && best == nil; pass++ { // a sample, all, and suspects too
		start, step, count := 0, 1, size
		if pass == 0 {
			if size <= maxScanned || req.ranOn != nil { // few may repeat it
				continue
			}
			start, step, count = l.rng.IntN(size), size/maxScanned, maxScanned
		}
		for k := range count {
			srv := servers[(start+k*step)%size]
			if !l.usable(now, srv, req, pass > 1) {
				continue
			}
			// A cold server with credit (see allowsCold) goes first: requests warm it up, and the
			// others carry the rest of its load meanwhile.
			jitter := 1 + 0.05*l.rng.Float64()
			cost := srv.slowness(now) * (1 + l.warmth(now, srv)) * (srv.load() + 1) * jitter
			if srv.info.Zone != l.cfg.Zone {
				cost *= 1 + crossZoneWeight*l.cfg.CrossPrice
			}
			cost *= 1 + srv.info.Far
			if best == nil || cost < bestCost {
				best, bestCost = srv, cost
			}
		}
	}
	if best == nil {
		return nil, fullBackoffMs
	}
	idleMs, budgetMs := p.typicalMsOf(req.class)*best.slowness(now)/l.warmth(now, best)*p.slowdown(1),
		deadlineShare*(req.aimAt-now)
	budgetMs += (req.factor - 1) * max(0, budgetMs-idleMs)
	if now > req.aimAt {
		budgetMs = req.deadlineAt - now
	}
	// An idle server is tried regardless, as nothing is learned without requests. But overloaded servers
	// recover only if their load falls, so all limiters together try at most triesPerServer requests per
	// warm server: many that each see one idle server would keep an overloaded fleet overloaded.
	lateMs := l.expectedMs(now, best, req.class) - budgetMs
	if lateMs > 0 && (best.inflight > 0 || float64(p.inflight) >= l.maxIdleTries(p)) {
		return nil, lateMs
	}
	return best, lateMs
}

// maxIdleTries is how many requests may be in flight from here for one more that is expected late.
func (l *Limiter) maxIdleTries(p *pool) float64 {
	limiters := float64(l.cfg.Balancers)
	share := p.capacity * triesPerServer / limiters * (1 + fewLimitersTries/limiters)
	// Rounded by position, so that the limiters together come to the total; one at least.
	return max(1, math.Floor(share+(float64(l.cfg.Position)+0.5)/limiters))
}

// usable reports whether a request may go to a server now; lax accepts suspected servers too.
func (l *Limiter) usable(now float64, srv *server, req *request, lax bool) bool {
	if srv.info.Phase != Up || srv.down || !l.allowsCold(now, srv) {
		return false
	}
	for i := range req.attempts {
		if req.attempts[i].server == srv {
			return false
		}
	}
	class := l.cfg.Classes[req.class]
	if req.ranOn != nil && class.Repeat == Keyed &&
		(class.Group == GroupZone && srv.info.Zone != req.ranInfo.Zone ||
			class.Group == GroupCell && srv.info.Cell != req.ranInfo.Cell) {
		return false
	}
	return lax || now >= srv.ejections[req.class].until && now >= srv.fullUntil && !l.stalled(now, srv)
}

// load is the number of requests that this limiter has at a server. The load from other limiters shows
// in answer times; load reports that arrive later than an answer takes are too noisy and made choices
// worse. Occupancy that is reported in time counts once the server's slots are used up: by
// othersLoadWeight of the service times that the next request would wait, as answer times show the rest.
func (s *server) load() float64 {
	count := float64(s.inflight)
	if s.othersInflight > 0 && s.slots > 0 {
		count += othersLoadWeight * max(0, count+s.othersInflight+1-s.slots) / s.slots
	}
	return count
}

// expectedMs is the expected time of an answer from a server to the next request.
func (l *Limiter) expectedMs(now float64, srv *server, class int) float64 {
	return srv.pool.typicalMsOf(class) * srv.slowness(now) / l.warmth(now, srv) *
		srv.pool.slowdown(srv.load()+1)
}

// slowdown is the time of an answer at a load relative to the typical one, by a line fitted to the
// answers: flat while servers have idle cores, at its steepest proportional to the load.
func (p *pool) slowdown(load float64) float64 {
	fit := &p.loadFit
	if fit.count == 0 {
		return 1 + initialSlowdown*(load-1)
	}
	prior := fit.y * initialSlowdown / (1 + initialSlowdown*(fit.k-1))
	slope := (fit.ky - fit.k*fit.y + prior*slowdownPriorWeight) / (fit.kk - fit.k*fit.k + slowdownPriorWeight)
	return fit.y + max(prior/20, min(fit.y/fit.k, slope))*(load-fit.k)
}

// slowness is the time that a server takes relative to the typical one; 1 without answers.
func (s *server) slowness(now float64) float64 {
	s.decaySlowness(now, s.pool.slownessWindowMs(now))
	return (s.slownessSum + 1) / (s.slownessCount + 1)
}

// slownessWindowMs is the averaging time of slowness: at least that of slownessWindowAnswers answers per
// server, so that one of many limiters, which uses a server rarely, doesn't forget that it was slow.
func (p *pool) slownessWindowMs(now float64) float64 {
	return max(slownessWindowMs, slownessWindowAnswers*float64(len(p.servers))/
		max(1, p.recentSends(now))*ejectionMs/2)
}

// typicalMsOf is the typical time of a class; one without answers takes the longest of the others.
func (p *pool) typicalMsOf(class int) float64 {
	return cmp.Or(p.typicalMs[class], max(1, slices.Max(p.typicalMs)))
}

// observe updates what is known of the server, its class and its tier from an outcome.
func (l *Limiter) observe(now float64, a *attempt, req *request, e Outcome) {
	srv, p := a.server, a.server.pool
	srv.silentSince = now
	if a.sentAt < l.resumedAt {
		return
	}
	if p.tiers != nil && e.Result != Undone && e.Result != StaleSend {
		relative := 1.0
		if p.answers[req.class] >= minAnswersForTier {
			relative = e.SpentMs / max(1, p.typicalMs[req.class]*p.slowdown(a.load)) * l.warmth(now, srv)
		}
		if e.Result != TooSlow || relative >= 2 { // a short timeout says nothing about a tier
			p.tiers.RecordAnswer(now, p.tierOf(srv), e.Result == Pass, relative)
		}
	}
	if e.Result == Pass || e.Result == Fault || e.Result == Cut || e.Result == TooSlow {
		p.failureShare -= averageWeight * p.failureShare
		if e.Result != Pass {
			p.failureShare += averageWeight
			if now >= l.nextHintAt && p.failureShare < hintMaxFailureShare && l.cfg.Caps.Peers &&
				now >= srv.ejections[req.class].until {
				l.nextHintAt = now + l.hintIntervalMs
				l.sendToPeers(peerMsg{flags: flagLevelUpdate | flagFailureHint, entries: []peerEntry{{
					account: srv.info.ID, plan: uint64(req.class)}}}, 0, len(l.peers))
			}
			l.recordFailure(now, srv, req.class)
		}
	}
	switch e.Result {
	case Pass:
		typical := &p.typicalMs[req.class]
		p.answers[req.class]++
		*typical += (e.SpentMs - *typical) * max(minSampleWeight, 1/p.answers[req.class])
		p.loadFit.add(a.load, e.SpentMs / *typical, minSampleWeight)
		srv.decaySlowness(now, p.slownessWindowMs(now))
		srv.slownessSum += e.SpentMs / *typical / p.slowdown(a.load)
		srv.slownessCount++
		srv.connectFailures = 0
	case TooSlow: // the answer would have taken longer still
		if slowness := e.SpentMs / max(1, p.typicalMs[req.class]) / p.slowdown(a.load); slowness > 1 &&
			p.answers[req.class] > 0 {
			srv.decaySlowness(now, p.slownessWindowMs(now))
			srv.slownessSum, srv.slownessCount = srv.slownessSum+min(slowness, maxTimeoutSlowness),
				srv.slownessCount+1
		}
	case NoRoom:
		srv.fullUntil = now + fullBackoffMs
	case NoRoute:
		if srv.connectFailures++; srv.connectFailures >= downAfter {
			l.markDown(now, srv, "connections fail")
		}
	}
}
