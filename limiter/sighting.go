package limiter

// Sighting is a failure of a request of a class at a server that another gateway has met, by
// whatever way its word came here. It counts as one met here does for whether the class is kept
// off the server, and for nothing else.
type Sighting struct {
	Server uint64
	Class  int
}

func (Sighting) event() {}

// sighted takes in what another gateway has met.
func (l *Limiter) sighted(now float64, e Sighting) {
	if s := l.servers[e.Server]; s != nil && e.Class >= 0 && e.Class < len(l.cfg.Classes) {
		l.suspect(now, s, e.Class)
	}
}
