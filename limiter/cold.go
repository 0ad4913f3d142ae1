package limiter

const (
	coldLoadShare   = 0.6 // share used of a cold server's likely capacity
	coldMinRequests = 3.0 // requests a window to a cold server, from all, where little is sent
)

// warmth is the least share of its capacity that a server can have by now.
func (l *Limiter) warmth(now float64, srv *server) float64 {
	rules, since := l.cfg.Rules, max(srv.info.ReadyAt, srv.recoveredAt)
	if since <= 0 || rules.ColdMs <= 0 || rules.ColdShare <= 0 {
		return 1
	}
	return min(1, rules.ColdShare+(1-rules.ColdShare)*max(0, now-since)/rules.ColdMs)
}

// weighServers sums up what the servers of each pool that work can do, in warm ones.
func (l *Limiter) updateCapacity(now float64) {
	for _, p := range l.pools {
		p.capacity = 0
		for _, srv := range p.serverList {
			if srv.info.Phase == Up && !srv.down || srv.inflight > 0 {
				p.capacity += l.warmth(now, srv)
			}
		}
	}
}

// coldRoom keeps this gateway to its part of what a cold server can do: coldUse of what
// it sends to all servers times the part that this one has of what they can do together,
// saved up for one request at a time from a random start. The parts of any number of
// gateways add up to coldUse of a warm server's load, with no talk; where hardly anything
// is sent, to coldLeast requests a window. Guards against allowances by the mean of all
// servers, which fall with what the few warm ones of a replaced fleet still take.
func (l *Limiter) allowsCold(now float64, srv *server) bool {
	warmShare := l.warmth(now, srv)
	if warmShare >= 1 {
		return true
	}
	rate := srv.pool.recentSends(now) / max(1, srv.pool.capacity) * 2 / ejectionMs
	if srv.pool.tiers != nil { // of late nothing may have been sent there
		rate = max(rate, srv.pool.tiers.Rate(srv.pool.tierOf(srv)))
	}
	rate = max(coldLoadShare*warmShare*rate, coldMinRequests/float64(l.cfg.Balancers)/max(1, l.cfg.Rules.FallMs))
	srv.coldCredit, srv.coldCreditAt = min(1, max(0, srv.coldCredit)+rate*(now-srv.coldCreditAt)), now
	return srv.coldCredit >= 1
}
