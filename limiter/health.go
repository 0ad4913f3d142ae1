package limiter

import "slices"

const (
	downAfter   = 2     // failed connects in a row: down
	stallFactor = 4.0   // silent for so many times the expected time: suspect
	probeMs     = 500.0 // least pause between two probes of a server
	fullMs      = 50.0  // a server that was full is left alone so long
	// A class is kept off a server for illMs after illAfter failures of it there
	// within half of that time. Hints of all take hintShare of the messages, and none
	// are given where more than hintBelow of all answers fail: no one server's fault.
	illMs     = 4000.0
	illAfter  = 2
	hintShare = 0.25
	hintBelow = 0.3
	stoodMs   = 4 * tickMs // no event for so long: this gateway stood still
)

// suspect counts a failure of a class at a server, seen here or told. A gateway
// of many sends each server too little to judge it alone. When the time is up all
// use it again, and the first failures keep it off anew. It should hold against
// any server that fails all or one class, and harms if a passing trouble of all
// servers is laid to some: at most half are kept off.
func (l *Limiter) suspect(now float64, s *server, class int) {
	e := &s.ills[class]
	if now-e.at > illMs/2 {
		e.n = 0
	}
	e.at, e.n = now, e.n+1
	p, off := s.pool, 0
	for _, o := range p.order {
		if now < o.ills[class].to {
			off++
		}
	}
	// As many failures as the fleet's share of them makes likely say nothing.
	likely := p.failed * p.recent(now) * float64(l.cfg.Balancers) / float64(len(p.order))
	if float64(e.n) >= illAfter+likely && 2*(off+1) <= len(p.order) {
		if now >= e.to {
			if e.rounds++; now > e.to+illMs { // it has done well since
				e.rounds = 0
			}
			l.log("server %d: class %d fails there, kept off", s.info.ID, class)
		}
		e.to = now + max(illMs, min(l.cfg.IllMostMs, illMs*float64(int(1)<<min(e.rounds, 8))))
	}
}

func (l *Limiter) setDown(now float64, s *server, why string) {
	if !s.down {
		l.log("server %d is down: %s", s.info.ID, why)
	}
	if s.down = true; !l.cfg.Caps.Cancel {
		return
	}
	for _, id := range l.sortedRequests() {
		r := l.requests[id]
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.server == s && !a.over && !r.stream && l.cfg.Classes[r.class].Repeat != Unsafe {
				l.do(AbortAttempt{ID: id, Try: i})
			}
		}
	}
}

// stalled tells that a server owes answers and has been silent for long.
func (l *Limiter) stalled(now float64, s *server) bool {
	if s.inflight == 0 {
		return false
	}
	typical := slices.Max(s.pool.work) * s.slowness(now) / l.warmth(now, s) * s.pool.curve(s.load())
	return now-s.waitingAt > stallFactor*typical+l.cfg.Caps.ConnectMs
}

// seeTiers tells the pools' tiers how many of their servers can be used.
func (l *Limiter) seeTiers(now float64) {
	for _, id := range l.tiered {
		p := l.pools[id]
		if p == nil {
			continue
		}
		for k, order := range p.byTier {
			usable, cold := 0, 0
			for _, s := range order {
				if s.info.Phase == Up && !s.down && !l.stalled(now, s) {
					usable++
					if l.warmth(now, s) < 1 {
						cold++
					}
				}
			}
			p.tiers.See(now, k, len(order), usable, cold)
		}
		for _, k := range p.tiers.Step(now) {
			x := p.tiers.State(now, k)
			l.log("pool %d: tier %d is %v and takes %.0f%% of its requests, %d of %d servers usable",
				id, k, x.Phase, x.Share*100, x.Usable, x.Boxes)
		}
	}
}

// checkServers probes those that are down or silent.
func (l *Limiter) checkServers(now float64) {
	for _, s := range l.order {
		if s.info.Phase != Up || !(s.down || l.stalled(now, s)) || now < s.probedAt+probeMs {
			continue
		}
		s.probedAt = now
		if l.cfg.Caps.Probes {
			l.do(Probe{Server: s.info.ID})
		} else if s.down { // no probes: one request at a time finds out
			s.down, s.noRoute = false, downAfter-1
		}
	}
}

func (l *Limiter) probed(now float64, e Probed) {
	s := l.servers[e.Server]
	if s == nil || s.info.Phase != Up {
		return
	}
	switch e.Result {
	case Pass:
		s.waitingAt = now
		if s.down {
			s.down, s.noRoute = false, 0
			if s.pool.tiers != nil { // it may be another process, and the list is late
				s.backAt = now
			}
			l.log("server %d answers again", s.info.ID)
		}
	case TooSlow, NoRoute, Cut:
		if s.down || l.stalled(now, s) {
			l.setDown(now, s, "silent, and the probe failed")
		}
	}
}
