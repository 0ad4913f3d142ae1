package limiter

import (
	"cmp"
	"math"
	"slices"
)

const (
	speedMs      = 2000.0 // time over which a server's speed is averaged,
	speedAnswers = 2.0    // or that of so many of its answers
	slowMost     = 4.0    // a time-out counts as an answer so much slower than typical at most
	workWeight   = 0.005  // least weight of one answer in typical work and fit: some 200 answers
	curveStart   = 0.25   // before any evidence each further request in hand lengthens an answer so
	curvePrior   = 1.0    // much, which counts like this many squared requests of observed spread
	// A request is refused when its expected answer would use more than headroom
	// of the time left: answers scatter. An idle server is tried all the same while
	// fewer than tryShare requests a warm server are out, over all gateways. Few gateways
	// try more, tryFew of them twice as much: what is idle for one of few mostly is.
	headroom = 0.25
	tryShare = 3.0
	tryFew   = 6.0
	// Of more servers than this so many are looked at for a choice, spread evenly from
	// a random one on: with all of them a choice costs as much as there are servers, and
	// the best of so many is nearly as good.
	scanMost    = 64
	seenWell    = 20.0 // answers of a class from which its typical work can be gone by
	toldWeight  = 0.4
	crossWeight = 10.0 // a crossing counts as slower by this factor times its price
)

// choose returns the server with the least expected finish, or nil and a wait when none
// can answer within the time left. Where the pool has tiers it is the one of the first
// tier that can; package routing says which tiers a request may be tried at.
func (l *Limiter) choose(now float64, r *request) (*server, float64) {
	p, class := r.pool, &l.cfg.Classes[r.class]
	if p.tiers == nil || r.ran != nil && class.Repeat == Keyed && class.Group != GroupAll {
		return l.chooseIn(now, r, p.order) // a repeat goes to those that remember, in any tier
	}
	once := class.Repeat == Unsafe
	var spare *server
	wait, kept := fullMs, false
	for _, k := range p.tiers.Order(r.advice.Prefer, r.advice.Avoid) {
		if kept || !p.tiers.Enter(now, k, l.rng.Float64(), once) {
			continue
		}
		s, late := l.chooseIn(now, r, p.byTier[k])
		if s != nil && (late <= 0 || p.tiers.Proving(k)) {
			return s, 0
		}
		spare = cmp.Or(spare, s)
		wait, kept = max(wait, late), !p.tiers.Leave(now, k, r.factor)
	}
	for k := 0; k < p.tiers.Len() && !kept; k++ {
		if p.tiers.Resort(k, once) {
			s, late := l.chooseIn(now, r, p.byTier[k])
			if s != nil && (late <= 0 || p.tiers.Proving(k)) {
				return s, 0
			}
		}
	}
	return spare, wait
}

// chooseIn is choose among some servers of the request's pool. A server that is only to be
// tried all the same comes with by how much it is expected to be late.
func (l *Limiter) chooseIn(now float64, r *request, order []*server) (*server, float64) {
	var best *server
	var bestCost float64
	p := r.pool
	n := len(order)
	for pass := 0; pass < 3 && best == nil; pass++ { // a part, all, and those under suspicion too
		from, step, count := 0, 1, n
		if pass == 0 {
			if n <= scanMost || r.ran != nil { // few may take what may have run
				continue
			}
			from, step, count = l.rng.IntN(n), n/scanMost, scanMost
		}
		for k := range count {
			s := order[(from+k*step)%n]
			if !l.usable(now, s, r, pass > 1) {
				continue
			}
			// A cold server's part is in coldRoom; what it has saved up goes first: it
			// warms by requests, and the others carry the rest of its work meanwhile.
			chance := 1 + 0.05*l.rng.Float64()
			cost := s.slowness(now) * (1 + l.warmth(now, s)) * (s.load() + 1) * chance
			if s.info.Zone != l.cfg.Zone {
				cost *= 1 + crossWeight*l.cfg.CrossPrice
			}
			cost *= 1 + s.info.Far
			if best == nil || cost < bestCost {
				best, bestCost = s, cost
			}
		}
	}
	if best == nil {
		return nil, fullMs
	}
	alone, left := p.workOf(r.class)*best.slowness(now)/l.warmth(now, best)*p.curve(1), headroom*(r.aimAt-now)
	left += (r.factor - 1) * max(0, left-alone)
	if now > r.aimAt {
		left = r.endsAt - now
	}
	// An idle server is tried all the same: with nothing sent, nothing is learnt.
	// But servers slowed by too much in hand recover only when it falls, so all
	// gateways together try with no more than tryShare requests for what a warm one
	// can do. Guards against many that each know one idle server of a jammed fleet.
	late := l.expected(now, best, r.class) - left
	if late > 0 && (best.inflight > 0 || float64(p.inflight) >= l.tries(p)) {
		return nil, late
	}
	return best, late
}

// tries is how many requests this gateway may have out before it sends no further one
// whose answer is to be late.
func (l *Limiter) tries(p *pool) float64 {
	all := float64(l.cfg.Balancers)
	part := p.can * tryShare / all * (1 + tryFew/all)
	// Rounded up at so many gateways that all together come to it, but one at least.
	return max(1, math.Floor(part+(float64(l.cfg.Position)+0.5)/all))
}

// usable tells whether a request may go to a server now. With lax, servers
// that are only under suspicion are taken too.
func (l *Limiter) usable(now float64, s *server, r *request, lax bool) bool {
	if s.info.Phase != Up || s.down || !l.coldRoom(now, s) {
		return false
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return false
		}
	}
	class := l.cfg.Classes[r.class]
	if r.ran != nil && class.Repeat == Keyed && (class.Group == GroupZone && s.info.Zone != r.ranInfo.Zone ||
		class.Group == GroupCell && s.info.Cell != r.ranInfo.Cell) {
		return false
	}
	return lax || now >= s.ills[r.class].to && now >= s.fullTo && !l.stalled(now, s)
}

// load is the number of requests that this gateway has at a server. What the others have
// there shows in the times of answers: reports that come later than an answer takes are too
// noisy, and made all that have them worse. What is told in time counts from where the
// server's slots are used up: toldWeight of the times of its work that the next request waits
// there, as the times of answers tell the rest.
func (s *server) load() float64 {
	n := float64(s.inflight)
	if s.others > 0 && s.slots > 0 {
		n += toldWeight * max(0, n+s.others+1-s.slots) / s.slots
	}
	return n
}

// expected is the time an answer from a server is expected to take.
func (l *Limiter) expected(now float64, s *server, class int) float64 {
	return s.pool.workOf(class) * s.slowness(now) / l.warmth(now, s) * s.pool.curve(s.load()+1)
}

// curve is how long an answer takes with so many requests in hand, against
// the typical one. It is a line through what was seen: flat while servers have
// cores to spare, at its steepest proportional to the load.
func (p *pool) curve(load float64) float64 {
	f := &p.fit
	if f.n == 0 {
		return 1 + curveStart*(load-1)
	}
	prior := f.y * curveStart / (1 + curveStart*(f.k-1))
	slope := (f.ky - f.k*f.y + prior*curvePrior) / (f.kk - f.k*f.k + curvePrior)
	return f.y + max(prior/20, min(f.y/f.k, slope))*(load-f.k)
}

// slowness is the time a server takes against the typical one; with no record it is typical.
func (s *server) slowness(now float64) float64 {
	s.decayStat(now, s.pool.speedMs(now))
	return (s.spent + 1) / (s.had + 1)
}

// speedMs is the time over which a server's speed is averaged: as long as speedAnswers
// answers of each take. Guards against a gateway of many that meets a server seldom and
// has forgotten by then that it was slow.
func (p *pool) speedMs(now float64) float64 {
	return max(speedMs, speedAnswers*float64(len(p.order))/max(1, p.recent(now))*illMs/2)
}

// workOf is the typical time of a class; an unseen one borrows from the others.
func (p *pool) workOf(class int) float64 {
	return cmp.Or(p.work[class], max(1, slices.Max(p.work)))
}

// observe learns from an outcome about the server and the class.
func (l *Limiter) observe(now float64, a *attempt, r *request, e Outcome) {
	s, p := a.server, a.server.pool
	s.waitingAt = now
	if a.sentAt < l.wokeAt {
		return
	}
	if p.tiers != nil && e.Result != Undone && e.Result != StaleSend {
		took := 1.0
		if p.seen[r.class] >= seenWell {
			took = e.SpentMs / max(1, p.work[r.class]*p.curve(a.load)) * l.warmth(now, s)
		}
		if e.Result != TooSlow || took >= 2 { // clients in a hurry say nothing of a tier
			p.tiers.Proved(now, p.tierOf(s), e.Result == Pass, took)
		}
	}
	if e.Result == Pass || e.Result == Fault || e.Result == Cut || e.Result == TooSlow {
		p.failed -= pressWeight * p.failed
		if e.Result != Pass {
			p.failed += pressWeight
			if now >= l.hintAt && p.failed < hintBelow && l.cfg.Caps.Peers && now >= s.ills[r.class].to {
				l.hintAt = now + l.hintPause
				l.tellSet(peerMsg{flags: flagNews | flagIll, entries: []peerEntry{{customer: s.info.ID,
					plan: uint64(r.class)}}}, 0, len(l.peers))
			}
			l.suspect(now, s, r.class)
		}
	}
	switch e.Result {
	case Pass:
		w := &p.work[r.class]
		p.seen[r.class]++
		*w += (e.SpentMs - *w) * max(workWeight, 1/p.seen[r.class])
		p.fit.add(a.load, e.SpentMs / *w, workWeight)
		s.decayStat(now, p.speedMs(now))
		s.spent += e.SpentMs / *w / p.curve(a.load)
		s.had++
		s.noRoute = 0
	case TooSlow: // the answer would have taken longer still
		if x := e.SpentMs / max(1, p.work[r.class]) / p.curve(a.load); x > 1 && p.seen[r.class] > 0 {
			s.decayStat(now, p.speedMs(now))
			s.spent, s.had = s.spent+min(x, slowMost), s.had+1
		}
	case NoRoom:
		s.fullTo = now + fullMs
	case NoRoute:
		if s.noRoute++; s.noRoute >= downAfter {
			l.setDown(now, s, "connects fail")
		}
	}
}
