package limiter

const (
	coldLoadShare   = 0.6 // share used of a cold server's expected capacity
	coldMinRequests = 3.0 // least requests to a cold server per Rules.FallMs, from all limiters
)

// warmth is the least share of its full capacity that a server has by its time since the start.
func (l *Limiter) warmth(now float64, srv *server) float64 {
	rules, since := l.cfg.Rules, max(srv.info.ReadyAt, srv.recoveredAt)
	if since <= 0 || rules.ColdMs <= 0 || rules.ColdShare <= 0 {
		return 1
	}
	return min(1, rules.ColdShare+(1-rules.ColdShare)*max(0, now-since)/rules.ColdMs)
}

// updateCapacity sums up the warmth of each pool's working servers.
func (l *Limiter) updateCapacity(now float64) {
	for _, p := range l.pools {
		p.capacity = 0
		for _, srv := range p.servers {
			if srv.info.Phase == Up && !srv.down || srv.inflight > 0 {
				p.capacity += l.warmth(now, srv)
			}
		}
	}
}

// allowsCold reports whether a server that warms up has credit for a request. Credit grows from a random
// start, up to one request, at coldLoadShare of this limiter's request rate times the server's part of
// the pool's capacity. Over any number of limiters that adds up, without communication, to coldLoadShare
// of the load that suits the server, or to coldMinRequests where little is sent. An allowance by the mean
// load of all servers would starve new servers when most of a fleet is replaced at once.
func (l *Limiter) allowsCold(now float64, srv *server) bool {
	warmShare := l.warmth(now, srv)
	if warmShare >= 1 {
		return true
	}
	rate := srv.pool.recentSends(now) / max(1, srv.pool.capacity) * 2 / ejectionMs
	if srv.pool.tiers != nil { // the tier may have had no requests lately
		rate = max(rate, srv.pool.tiers.Rate(srv.pool.tierOf(srv)))
	}
	rate = max(coldLoadShare*warmShare*rate,
		coldMinRequests/float64(l.cfg.Balancers)/max(1, l.cfg.Rules.FallMs))
	srv.coldCredit, srv.coldCreditAt = min(1, max(0, srv.coldCredit)+rate*(now-srv.coldCreditAt)), now
	return srv.coldCredit >= 1
}
