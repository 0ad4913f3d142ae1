package limiter

// Sighting is a failure of a request of a class at a server that another gateway has met, by
// whatever way its word came here. It counts as one met here does for whether the class is kept
// off the server, and for nothing else.
type Sighting struct {
	Server uint64
	Class  int
}

func (Sighting) event() {}

// sightedBelow is the share of a pool's requests refused for want of servers above which word of
// others counts for nothing: a server kept off then turns away more than it would fail.
const peerFailureMaxPressure = 0.02

// sighted takes in what another gateway has met.
func (l *Limiter) peerFailure(now float64, e Sighting) {
	srv := l.servers[e.Server]
	if srv == nil || e.Class < 0 || e.Class >= len(l.cfg.Classes) || srv.pool.pressure > peerFailureMaxPressure {
		return
	}
	l.recordFailure(now, srv, e.Class)
}
