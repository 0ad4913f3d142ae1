package limiter

import "slices"

const (
	downAfter     = 2     // failed connections in a row before a server is down
	stallFactor   = 4.0   // a server silent for this multiple of the expected time is stalled
	probeMs       = 500.0 // minimum interval between two probes of a server
	fullBackoffMs = 50.0  // a server that reported to be full gets no requests for this time
	// A server is ejected for a class for ejectionMs after ejectAfter failures of the class within half
	// that time. Failure hints may use hintShare of the peer messages; none are sent where more than
	// hintMaxFailureShare of all answers fail, as then no single server is at fault.
	ejectionMs          = 4000.0
	ejectAfter          = 2
	hintShare           = 0.25
	hintMaxFailureShare = 0.3
	processStallMs      = 4 * tickMs // without events for this time, this process was stalled
)

// recordFailure counts a failure of a class at a server, seen here or reported by a peer: one of many
// limiters sends a server too little to judge it alone. When an ejection ends, all limiters use the
// server again, and the first failures eject it anew. At most half of the servers are ejected, in case
// a passing problem of all servers is attributed to some.
func (l *Limiter) recordFailure(now float64, srv *server, class int) {
	record := &srv.ejections[class]
	if now-record.lastFailureAt > ejectionMs/2 {
		record.count = 0
	}
	record.lastFailureAt, record.count = now, record.count+1
	p, ejected := srv.pool, 0
	for _, other := range p.servers {
		if now < other.ejections[class].until {
			ejected++
		}
	}
	// Only failures beyond those expected from the pool's overall failure share count.
	expected := p.failureShare * p.recentSends(now) * float64(l.cfg.Balancers) / float64(len(p.servers))
	if float64(record.count) >= ejectAfter+expected && 2*(ejected+1) <= len(p.servers) {
		if now >= record.until {
			if record.repeats++; now > record.until+ejectionMs { // it worked for a while since
				record.repeats = 0
			}
			l.log("server %d: ejected for class %d after repeated failures", srv.info.ID, class)
		}
		record.until = now + max(ejectionMs, min(l.cfg.MaxEjectionMs,
			ejectionMs*float64(int(1)<<min(record.repeats, 8))))
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

// stalled reports whether a server owes answers and has been silent for too long.
func (l *Limiter) stalled(now float64, srv *server) bool {
	if srv.inflight == 0 {
		return false
	}
	typical := slices.Max(srv.pool.typicalMs) * srv.slowness(now) / l.warmth(now, srv) *
		srv.pool.slowdown(srv.load())
	return now-srv.silentSince > stallFactor*typical+l.cfg.Caps.ConnectMs
}

// updateTiers passes the number of usable servers to the tiers of each pool and advances the tiers.
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
			p.tiers.UpdateBoxes(now, tier, len(servers), usable, cold)
		}
		for _, tier := range p.tiers.Step(now) {
			state := p.tiers.State(now, tier)
			l.log("pool %d: tier %d is %v and takes %.0f%% of its requests, %d of %d servers usable",
				id, tier, state.Phase, state.Share*100, state.Usable, state.Boxes)
		}
	}
}

// probeServers probes servers that are down or stalled.
func (l *Limiter) probeServers(now float64) {
	for _, srv := range l.servers {
		if srv.info.Phase != Up || !(srv.down || l.stalled(now, srv)) || now < srv.probedAt+probeMs {
			continue
		}
		srv.probedAt = now
		if l.cfg.Caps.Probes {
			l.emit(Probe{Server: srv.info.ID})
		} else if srv.down { // no probes: the next request tests the server
			srv.down, srv.connectFailures = false, downAfter-1
		}
	}
}

func (l *Limiter) probed(now float64, e Probed) {
	srv := l.serversByID[e.Server]
	if srv == nil || srv.info.Phase != Up {
		return
	}
	switch e.Result {
	case Pass:
		srv.silentSince = now
		if srv.down {
			srv.down, srv.connectFailures = false, 0
			if srv.pool.tiers != nil { // perhaps a new process, not yet listed
				srv.recoveredAt = now
			}
			l.log("server %d answers again", srv.info.ID)
		}
	case TooSlow, NoRoute, Cut:
		if srv.down || l.stalled(now, srv) {
			l.markDown(now, srv, "no answers, and the probe failed")
		}
	}
}
