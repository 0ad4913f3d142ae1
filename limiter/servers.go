package limiter

import (
	"maps"
	"slices"

	"example.org/madderdrum/routing"
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
		s, p := l.servers[info.ID], l.poolOf(info.Pool)
		if s == nil {
			s = l.newServer(now, p, 0)
			s.info.ID = info.ID
			l.servers[info.ID] = s
			l.order, p.order = insert(l.order, s), insert(p.order, s)
		} else if s.info.ReadyAt != info.ReadyAt { // another process: nothing learnt holds
			*s = *l.newServer(now, s.pool, s.inflight)
			s.info.ID = info.ID
		}
		if s.pool != p { // what is out there counts where it is
			s.pool.order = slices.DeleteFunc(s.pool.order, func(o *server) bool { return o == s })
			s.pool.inflight, p.inflight = s.pool.inflight-s.inflight, p.inflight+s.inflight
			s.pool, p.order = p, insert(p.order, s)
		}
		s.info = info
	}
	l.order = slices.DeleteFunc(l.order, func(s *server) bool {
		gone := s.info.Phase == Removed && s.inflight == 0
		if gone {
			delete(l.servers, s.info.ID)
			s.pool.order = slices.DeleteFunc(s.pool.order, func(o *server) bool { return o == s })
		}
		return gone
	})
	l.setTiers()
	l.weighServers(now)
	maps.DeleteFunc(l.pools, func(id uint64, p *pool) bool {
		return id != 0 && len(p.order) == 0 && p.inflight == 0
	})
}

// occupied takes in what others have in hand.
func (l *Limiter) occupied(e Occupied) {
	for _, x := range e.Servers {
		if s := l.servers[x.Server]; s != nil {
			s.others, s.slots = max(0, x.Others), max(0, x.Slots)
		}
	}
}

// setTiers divides the servers of pools with tiers.
func (l *Limiter) setTiers() {
	l.tiered = slices.Sorted(maps.Keys(l.cfg.Spills))
	for id, p := range l.pools {
		spills := l.cfg.Spills[id]
		if len(spills) < 2 {
			p.tiers, p.byTier = nil, nil
			continue
		}
		if p.tiers == nil || p.tiers.Len() != len(spills) {
			p.tiers = routing.New(spills)
		}
		p.tiers.Spill(spills)
		p.byTier = make([][]*server, len(spills))
		for _, s := range p.order {
			k := p.tierOf(s)
			p.byTier[k] = append(p.byTier[k], s)
		}
	}
	l.tiered = slices.DeleteFunc(l.tiered, func(id uint64) bool { return len(l.cfg.Spills[id]) < 2 })
}
