package limiter

import (
	"maps"
	"slices"

	"example.org/madderdrum/routing"
)

func (l *Limiter) endpoints(now float64, e Endpoints) {
	if e.Scope == Failed {
		if l.cfg.AskMembers {
			l.emit(Timer{At: now + 1000 + 1000*l.rng.Float64(), Handle: "ask"})
		}
		return
	}
	if e.Scope != Partial {
		for _, srv := range l.serverList {
			srv.info.Phase = Removed
		}
	}
	for _, info := range e.Servers {
		srv, p := l.servers[info.ID], l.poolOf(info.Pool)
		if srv == nil {
			srv = l.newServer(now, p, 0)
			srv.info.ID = info.ID
			l.servers[info.ID] = srv
			l.serverList, p.serverList = insert(l.serverList, srv), insert(p.serverList, srv)
		} else if srv.info.ReadyAt != info.ReadyAt { // another process: nothing learnt holds
			*srv = *l.newServer(now, srv.pool, srv.inflight)
			srv.info.ID = info.ID
		}
		if srv.pool != p { // what is out there counts where it is
			srv.pool.serverList = slices.DeleteFunc(srv.pool.serverList, func(other *server) bool { return other == srv })
			srv.pool.inflight, p.inflight = srv.pool.inflight-srv.inflight, p.inflight+srv.inflight
			srv.pool, p.serverList = p, insert(p.serverList, srv)
		}
		srv.info = info
	}
	l.serverList = slices.DeleteFunc(l.serverList, func(srv *server) bool {
		gone := srv.info.Phase == Removed && srv.inflight == 0
		if gone {
			delete(l.servers, srv.info.ID)
			srv.pool.serverList = slices.DeleteFunc(srv.pool.serverList, func(other *server) bool { return other == srv })
		}
		return gone
	})
	l.setTiers()
	l.updateCapacity(now)
	maps.DeleteFunc(l.pools, func(id uint64, p *pool) bool {
		return id != 0 && len(p.serverList) == 0 && p.inflight == 0
	})
}

// occupied takes in what others have in hand.
func (l *Limiter) occupied(e Occupied) {
	for _, occupancy := range e.Servers {
		if srv := l.servers[occupancy.Server]; srv != nil {
			srv.othersInflight, srv.slots = max(0, occupancy.Others), max(0, occupancy.Slots)
		}
	}
}

// setTiers divides the servers of pools with tiers.
func (l *Limiter) setTiers() {
	l.tieredPools = slices.Sorted(maps.Keys(l.cfg.Spills))
	for id, p := range l.pools {
		spills := l.cfg.Spills[id]
		if len(spills) < 2 {
			p.tiers, p.serversByTier = nil, nil
			continue
		}
		if p.tiers == nil || p.tiers.Len() != len(spills) {
			p.tiers = routing.New(spills)
		}
		p.tiers.Spill(spills)
		p.serversByTier = make([][]*server, len(spills))
		for _, srv := range p.serverList {
			tier := p.tierOf(srv)
			p.serversByTier[tier] = append(p.serversByTier[tier], srv)
		}
	}
	l.tieredPools = slices.DeleteFunc(l.tieredPools, func(id uint64) bool { return len(l.cfg.Spills[id]) < 2 })
}
