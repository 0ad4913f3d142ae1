package proxy

import "sync"

// connections is the set of open client connections. Its zero value is empty and ready to use.
type connections struct {
	mu   sync.Mutex
	open map[*pipeline]struct{}
}

func (s *connections) add(pipe *pipeline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*pipeline]struct{}{}
	}
	s.open[pipe] = struct{}{}
}

func (s *connections) remove(pipe *pipeline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, pipe)
}

// count returns the number of open connections.
func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// each calls do for every open connection, with the set locked.
func (s *connections) each(do func(*pipeline)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pipe := range s.open {
		do(pipe)
	}
}
