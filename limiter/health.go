package limiter

import "slices"

const (
	downAfter     = 2     // failed connects in a row: down
	stallFactor   = 4.0   // silent for so many times the expected time: suspect
	probeMs       = 500.0 // least pause between two probes of a server
	fullBackoffMs = 50.0  // a server that was full is left alone so long
	// A class is kept off a server for illMs after illAfter failures of it there
	// within half of that time. Hints of all take hintShare of the messages, and none
	// are given where more than hintBelow of all answers fail: no one server's fault.
	ejectionMs          = 4000.0
	ejectAfter          = 2
	hintShare           = 0.25
	hintMaxFailureShare = 0.3
	processStallMs      = 4 * tickMs // no event for so long: this gateway stood still
)

// suspect counts a failure of a class at a server, seen here or told. A gateway
// of many sends each server too little to judge it alone. When the time is up all
// use it again, and the first failures keep it off anew. It should hold against
// any server that fails all or one class, and harms if a passing trouble of all
// servers is laid to some: at most half are kept off.
func (l *Limiter) recordFailure(now float64, srv *server, class int) {
	record := &srv.ejections[class]
	if now-record.lastFailureAt > ejectionMs/2 {
		record.count = 0
	}
	record.lastFailureAt, record.count = now, record.count+1
	p, ejected := srv.pool, 0
	for _, other := range p.serverList {
		if now < other.ejections[class].until {
			ejected++
		}
	}
	// As many failures as the fleet's share of them makes likely say nothing.
	expected := p.failureShare * p.recentSends(now) * float64(l.cfg.Balancers) / float64(len(p.serverList))
	if float64(record.count) >= ejectAfter+expected && 2*(ejected+1) <= len(p.serverList) {
		if now >= record.until {
			if record.repeats++; now > record.until+ejectionMs { // it has done well since
				record.repeats = 0
			}
			l.log("server %d: class %d fails there, kept off", srv.info.ID, class)
		}
		record.until = now + max(ejectionMs, min(l.cfg.IllMostMs, ejectionMs*float64(int(1)<<min(record.repeats, 8))))
	}
}

func (l *Limiter) markDown(now float64, srv *server, why string) {
	if !srv.down {
		l.log("server %d is down: %s", srv.info.ID, why)
	}
	if srv.down = true; !l.cfg.Caps.Cancel {
		return
	}
	for _, id := range l.sortedRequests() {
		req := l.requests[id]
		for i := range req.attempts {
			a := &req.attempts[i]
			if a.server == srv && !a.ended && !req.streaming && l.cfg.Classes[req.class].Repeat != Unsafe {
				l.emit(AbortAttempt{ID: id, Try: i})
			}
		}
	}
}

// stalled tells that a server owes answers and has been silent for long.
func (l *Limiter) stalled(now float64, srv *server) bool {
	if srv.inflight == 0 {
		return false
	}
	typical := slices.Max(srv.pool.typicalMs) * srv.slowness(now) / l.warmth(now, srv) * srv.pool.slowdown(srv.load())
	return now-srv.silentSince > stallFactor*typical+l.cfg.Caps.ConnectMs
}

// seeTiers tells the pools' tiers how many of their servers can be used.
func (l *Limiter) updateTiers(now float64) {
	for _, id := range l.tieredPools {
		p := l.pools[id]
		if p == nil {
			continue
		}
		for tier, servers := range p.serversByTier {
			usable, cold := 0, 0
			for _, srv := range servers {
				if srv.info.Phase == Up && !srv.down && !l.stalled(now, srv) {
					usable++
					if l.warmth(now, srv) < 1 {
						cold++
					}
				}
			}
			p.tiers.See(now, tier, len(servers), usable, cold)
		}
		for _, tier := range p.tiers.Step(now) {
			state := p.tiers.State(now, tier)
			l.log("pool %d: tier %d is %v and takes %.0f%% of its requests, %d of %d servers usable",
				id, tier, state.Phase, state.Share*100, state.Usable, state.Boxes)
		}
	}
}

// checkServers probes those that are down or silent.
func (l *Limiter) probeServers(now float64) {
	for _, srv := range l.serverList {
		if srv.info.Phase != Up || !(srv.down || l.stalled(now, srv)) || now < srv.probedAt+probeMs {
			continue
		}
		srv.probedAt = now
		if l.cfg.Caps.Probes {
			l.emit(Probe{Server: srv.info.ID})
		} else if srv.down { // no probes: one request at a time finds out
			srv.down, srv.connectFailures = false, downAfter-1
		}
	}
}

func (l *Limiter) probed(now float64, e Probed) {
	srv := l.servers[e.Server]
	if srv == nil || srv.info.Phase != Up {
		return
	}
	switch e.Result {
	case Pass:
		srv.silentSince = now
		if srv.down {
			srv.down, srv.connectFailures = false, 0
			if srv.pool.tiers != nil { // it may be another process, and the list is late
				srv.recoveredAt = now
			}
			l.log("server %d answers again", srv.info.ID)
		}
	case TooSlow, NoRoute, Cut:
		if srv.down || l.stalled(now, srv) {
			l.markDown(now, srv, "silent, and the probe failed")
		}
	}
}
