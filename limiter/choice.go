package limiter

import (
	"cmp"
	"math"
	"slices"
)

const (
	slownessWindowMs      = 2000.0 // time over which a server's speed is averaged,
	slownessWindowAnswers = 2.0    // or that of so many of its answers
	maxTimeoutSlowness    = 4.0    // a time-out counts as an answer so much slower than typical at most
	minSampleWeight       = 0.005  // least weight of one answer in typical work and fit: some 200 answers
	initialSlowdown       = 0.25   // before any evidence each further request in hand lengthens an answer so
	slowdownPriorWeight   = 1.0    // much, which counts like this many squared requests of observed spread
	// A request is refused when its expected answer would use more than headroom
	// of the time left: answers scatter. An idle server is tried all the same while
	// fewer than tryShare requests a warm server are out, over all gateways. Few gateways
	// try more, tryFew of them twice as much: what is idle for one of few mostly is.
	deadlineShare    = 0.25
	triesPerServer   = 3.0
	fewLimitersTries = 6.0
	// Of more servers than this so many are looked at for a choice, spread evenly from
	// a random one on: with all of them a choice costs as much as there are servers, and
	// the best of so many is nearly as good.
	maxScanned        = 64
	minAnswersForTier = 20.0 // answers of a class from which its typical work can be gone by
	othersLoadWeight  = 0.4
	crossZoneWeight   = 10.0 // a crossing counts as slower by this factor times its price
)

// choose returns the server with the least expected finish, or nil and a wait when none
// can answer within the time left. Where the pool has tiers it is the one of the first
// tier that can; package routing says which tiers a request may be tried at.
func (l *Limiter) choose(now float64, req *request) (*server, float64) {
	p, class := req.pool, &l.cfg.Classes[req.class]
	if p.tiers == nil || req.firstRanOn != nil && class.Repeat == Keyed && class.Group != GroupAll {
		return l.chooseIn(now, req, p.serverList) // a repeat goes to those that remember, in any tier
	}
	unsafe := class.Repeat == Unsafe
	var fallback *server
	waitMs, stay := fullBackoffMs, false
	for _, tier := range p.tiers.Order(req.advice.Prefer, req.advice.Avoid) {
		if stay || !p.tiers.Enter(now, tier, l.rng.Float64(), unsafe) {
			continue
		}
		srv, lateMs := l.chooseIn(now, req, p.serversByTier[tier])
		if srv != nil && (lateMs <= 0 || p.tiers.Proving(tier)) {
			return srv, 0
		}
		fallback = cmp.Or(fallback, srv)
		waitMs, stay = max(waitMs, lateMs), !p.tiers.Leave(now, tier, req.factor)
	}
	for tier := 0; tier < p.tiers.Len() && !stay; tier++ {
		if p.tiers.Resort(tier, unsafe) {
			srv, lateMs := l.chooseIn(now, req, p.serversByTier[tier])
			if srv != nil && (lateMs <= 0 || p.tiers.Proving(tier)) {
				return srv, 0
			}
		}
	}
	return fallback, waitMs
}

// chooseIn is choose among some servers of the request's pool. A server that is only to be
// tried all the same comes with by how much it is expected to be late.
func (l *Limiter) chooseIn(now float64, req *request, servers []*server) (*server, float64) {
	var best *server
	var bestCost float64
	p := req.pool
	size := len(servers)
	for pass := 0; pass < 3 && best == nil; pass++ { // a part, all, and those under suspicion too
		start, step, count := 0, 1, size
		if pass == 0 {
			if size <= maxScanned || req.firstRanOn != nil { // few may take what may have run
				continue
			}
			start, step, count = l.rng.IntN(size), size/maxScanned, maxScanned
		}
		for k := range count {
			srv := servers[(start+k*step)%size]
			if !l.usable(now, srv, req, pass > 1) {
				continue
			}
			// A cold server's part is in coldRoom; what it has saved up goes first: it
			// warms by requests, and the others carry the rest of its work meanwhile.
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
	idleMs, budgetMs := p.typicalMsOf(req.class)*best.slowness(now)/l.warmth(now, best)*p.slowdown(1), deadlineShare*(req.aimAt-now)
	budgetMs += (req.factor - 1) * max(0, budgetMs-idleMs)
	if now > req.aimAt {
		budgetMs = req.deadlineAt - now
	}
	// An idle server is tried all the same: with nothing sent, nothing is learnt.
	// But servers slowed by too much in hand recover only when it falls, so all
	// gateways together try with no more than tryShare requests for what a warm one
	// can do. Guards against many that each know one idle server of a jammed fleet.
	lateMs := l.expectedMs(now, best, req.class) - budgetMs
	if lateMs > 0 && (best.inflight > 0 || float64(p.inflight) >= l.maxIdleTries(p)) {
		return nil, lateMs
	}
	return best, lateMs
}

// tries is how many requests this gateway may have out before it sends no further one
// whose answer is to be late.
func (l *Limiter) maxIdleTries(p *pool) float64 {
	limiters := float64(l.cfg.Balancers)
	share := p.capacity * triesPerServer / limiters * (1 + fewLimitersTries/limiters)
	// Rounded up at so many gateways that all together come to it, but one at least.
	return max(1, math.Floor(share+(float64(l.cfg.Position)+0.5)/limiters))
}

// usable tells whether a request may go to a server now. With lax, servers
// that are only under suspicion are taken too.
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
	if req.firstRanOn != nil && class.Repeat == Keyed && (class.Group == GroupZone && srv.info.Zone != req.firstRanInfo.Zone ||
		class.Group == GroupCell && srv.info.Cell != req.firstRanInfo.Cell) {
		return false
	}
	return lax || now >= srv.ejections[req.class].until && now >= srv.fullUntil && !l.stalled(now, srv)
}

// load is the number of requests that this gateway has at a server. What the others have
// there shows in the times of answers: reports that come later than an answer takes are too
// noisy, and made all that have them worse. What is told in time counts from where the
// server's slots are used up: toldWeight of the times of its work that the next request waits
// there, as the times of answers tell the rest.
func (s *server) load() float64 {
	count := float64(s.inflight)
	if s.othersInflight > 0 && s.slots > 0 {
		count += othersLoadWeight * max(0, count+s.othersInflight+1-s.slots) / s.slots
	}
	return count
}

// expected is the time an answer from a server is expected to take.
func (l *Limiter) expectedMs(now float64, srv *server, class int) float64 {
	return srv.pool.typicalMsOf(class) * srv.slowness(now) / l.warmth(now, srv) * srv.pool.slowdown(srv.load()+1)
}

// curve is how long an answer takes with so many requests in hand, against
// the typical one. It is a line through what was seen: flat while servers have
// cores to spare, at its steepest proportional to the load.
func (p *pool) slowdown(load float64) float64 {
	fit := &p.loadFit
	if fit.count == 0 {
		return 1 + initialSlowdown*(load-1)
	}
	prior := fit.y * initialSlowdown / (1 + initialSlowdown*(fit.k-1))
	slope := (fit.ky - fit.k*fit.y + prior*slowdownPriorWeight) / (fit.kk - fit.k*fit.k + slowdownPriorWeight)
	return fit.y + max(prior/20, min(fit.y/fit.k, slope))*(load-fit.k)
}

// slowness is the time a server takes against the typical one; with no record it is typical.
func (s *server) slowness(now float64) float64 {
	s.decaySlowness(now, s.pool.slownessWindowMs(now))
	return (s.slownessSum + 1) / (s.slownessCount + 1)
}

// speedMs is the time over which a server's speed is averaged: as long as speedAnswers
// answers of each take. Guards against a gateway of many that meets a server seldom and
// has forgotten by then that it was slow.
func (p *pool) slownessWindowMs(now float64) float64 {
	return max(slownessWindowMs, slownessWindowAnswers*float64(len(p.serverList))/max(1, p.recentSends(now))*ejectionMs/2)
}

// workOf is the typical time of a class; an unseen one borrows from the others.
func (p *pool) typicalMsOf(class int) float64 {
	return cmp.Or(p.typicalMs[class], max(1, slices.Max(p.typicalMs)))
}

// observe learns from an outcome about the server and the class.
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
		if e.Result != TooSlow || relative >= 2 { // clients in a hurry say nothing of a tier
			p.tiers.Proved(now, p.tierOf(srv), e.Result == Pass, relative)
		}
	}
	if e.Result == Pass || e.Result == Fault || e.Result == Cut || e.Result == TooSlow {
		p.failureShare -= averageWeight * p.failureShare
		if e.Result != Pass {
			p.failureShare += averageWeight
			if now >= l.nextHintAt && p.failureShare < hintMaxFailureShare && l.cfg.Caps.Peers && now >= srv.ejections[req.class].until {
				l.nextHintAt = now + l.hintIntervalMs
				l.sendToPeers(peerMsg{flags: flagLevelUpdate | flagFailureHint, entries: []peerEntry{{account: srv.info.ID,
					plan: uint64(req.class)}}}, 0, len(l.peers))
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
		if slowness := e.SpentMs / max(1, p.typicalMs[req.class]) / p.slowdown(a.load); slowness > 1 && p.answers[req.class] > 0 {
			srv.decaySlowness(now, p.slownessWindowMs(now))
			srv.slownessSum, srv.slownessCount = srv.slownessSum+min(slowness, maxTimeoutSlowness), srv.slownessCount+1
		}
	case NoRoom:
		srv.fullUntil = now + fullBackoffMs
	case NoRoute:
		if srv.connectFailures++; srv.connectFailures >= downAfter {
			l.markDown(now, srv, "connects fail")
		}
	}
}
