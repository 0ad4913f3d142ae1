package limiter

import (
	"cmp"
	"slices"
)

func (l *Limiter) endpoints(now float64, e Endpoints) {
	if e.Scope == Failed {
		if l.cfg.AskMembers {
			l.do(Timer{At: now + 1000 + 1000*l.rng.Float64(), Handle: "ask"})
		}
		return
	}
	if e.Scope != Partial {
		for _, s := range l.order {
			s.info.Phase = Removed
		}
	}
	for _, info := range e.Servers {
		s := l.servers[info.ID]
		if s == nil {
			s = l.newServer(now, 0)
			l.servers[info.ID] = s
			byID := func(o *server, id uint64) int { return cmp.Compare(o.info.ID, id) }
			at, _ := slices.BinarySearchFunc(l.order, info.ID, byID)
			l.order = slices.Insert(l.order, at, s)
		} else if s.info.ReadyAt != info.ReadyAt { // another process: nothing learnt holds
			*s = *l.newServer(now, s.inflight)
		}
		s.info = info
	}
	l.order = slices.DeleteFunc(l.order, func(s *server) bool {
		gone := s.info.Phase == Removed && s.inflight == 0
		if gone {
			delete(l.servers, s.info.ID)
		}
		return gone
	})
}
