package limiter

// mostPreparing bounds how long a limiter waits for its parts of the ceilings, in ms.
const maxPreparingMs = 3000.0

// Prepared tells whether clients should be sent here: this limiter's parts of all ceilings
// have filled, or it has joined a running tier, which a peer that is older shows. Of a tier
// that starts as a whole no limiter has clients yet, and all would refuse what the
// ceilings allow. Nothing changes by looking.
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
