package limiter

// maxPreparingMs bounds how long a limiter waits for its parts of the ceilings to fill.
const maxPreparingMs = 3000.0

// Prepared reports whether clients should be sent to this limiter: either its parts of all ceilings have
// filled, or it has joined running limiters, as a message from an older peer shows. If all limiters start
// together, they would at first refuse requests that the ceilings allow, and no client needs one of them
// yet. It changes no state.
func (l *Limiter) Prepared(now float64) bool {
	if !l.started || l.olderPeerSeen {
		return l.started
	}
	full := 0.0
	for _, limits := range l.cfg.Plans {
		if limits.CeilingRate > 0 {
			full = max(full, 1000*limits.CeilingBurst/limits.CeilingRate)
		}
	}
	return now-l.knownSince >= min(full, maxPreparingMs)
}
