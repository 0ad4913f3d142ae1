package limiter

// PeerFailure reports that a request of a class failed at a server for another limiter. It counts towards
// ejecting the server for the class like a failure seen here, and has no other effect.
type PeerFailure struct {
	Server uint64
	Class  int
}

func (PeerFailure) event() {}

// reportMaxPressure is the share of a pool's requests refused for lack of servers above which
// failures seen by other limiters are ignored: an ejection would then refuse more than it saves.
const reportMaxPressure = 0.02

// peerFailure handles a failure that another limiter has seen.
func (l *Limiter) peerFailure(now float64, e PeerFailure) {
	srv := l.serversByID[e.Server]
	if srv == nil || e.Class < 0 || e.Class >= len(l.cfg.Classes) || srv.pool.pressure > reportMaxPressure {
		return
	}
	l.recordFailure(now, srv, e.Class)
}
