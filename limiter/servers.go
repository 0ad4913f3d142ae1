package limiter

import (
	"maps"
	"slices"

	"example.org/madderdrum/routing"
)

func (l *Limiter) endpoints(now float64, e Endpoints) {
	if e.Scope == Failed {
		if l.cfg.SubscribeServers {
			l.emit(Timer{At: now + 1000 + 1000*l.rng.Float64(), Handle: "ask"})
		}
		return
	}
	if e.Scope != Partial {
		for _, srv := range l.servers {
			srv.info.Phase = Removed
		}
	}
	for _, info := range e.Servers {
		srv, p := l.serversByID[info.ID], l.poolOf(info.Pool)
		if srv == nil {
			srv = l.newServer(now, p, 0)
			srv.info.ID = info.ID
			l.serversByID[info.ID] = srv
			l.servers, p.servers = insert(l.servers, srv), insert(p.servers, srv)
		} else if srv.info.ReadyAt != info.ReadyAt { // another process: nothing learned applies
			*srv = *l.newServer(now, srv.pool, srv.inflight)
			srv.info.ID = info.ID
		}
		if srv.pool != p { // its attempts in flight move along
			srv.pool.servers = slices.DeleteFunc(srv.pool.servers, func(o *server) bool { return o == srv })
			srv.pool.inflight, p.inflight = srv.pool.inflight-srv.inflight, p.inflight+srv.inflight
			srv.pool, p.servers = p, insert(p.servers, srv)
		}
		srv.info = info
	}
	l.servers = slices.DeleteFunc(l.servers, func(srv *server) bool {
		gone := srv.info.Phase == Removed && srv.inflight == 0
		if gone {
			delete(l.serversByID, srv.info.ID)
			srv.pool.servers = slices.DeleteFunc(srv.pool.servers, func(o *server) bool { return o == srv })
		}
		return gone
	})
	l.setTiers()
	l.updateCapacity(now)
	maps.DeleteFunc(l.pools, func(id uint64, p *pool) bool {
		return id != 0 && len(p.servers) == 0 && p.inflight == 0
	})
}

// occupied stores how many requests servers have from elsewhere.
func (l *Limiter) occupied(e Occupancies) {
	for _, occupancy := range e.Servers {
		if srv := l.serversByID[occupancy.Server]; srv != nil {
			srv.othersInflight, srv.slots = max(0, occupancy.Others), max(0, occupancy.Slots)
		}
	}
}

// setTiers groups the servers of pools with tiers by tier.
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
		p.tiers.SetSpill(spills)
		p.serversByTier = make([][]*server, len(spills))
		for _, srv := range p.servers {
			tier := p.tierOf(srv)
			p.serversByTier[tier] = append(p.serversByTier[tier], srv)
		}
	}
	l.tieredPools = slices.DeleteFunc(l.tieredPools,
		func(id uint64) bool { return len(l.cfg.Spills[id]) < 2 })
}
