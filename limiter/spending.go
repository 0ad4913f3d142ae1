package limiter

import "example.org/madderdrum/peering"

// What peers tell of their spending does to a balance here.

// floor is the lowest level a bucket can come to: each of the customer's gateways
// passes the whole burst before it hears of another. Guards against a peer's word
// that would keep a customer out for long.
func (l *Limiter) floor(c *customer) float64 {
	return -l.cfg.Plans[c.plan].Burst * float64(max(1, c.spread))
}

// knows tells whether a peer's word on a customer is taken in.
func (l *Limiter) knows(id uint64) bool {
	return len(l.customers) < heardMost || l.customers[id] != nil
}

// heardOf takes in what a peer tells of one customer's spending.
func (l *Limiter) heardOf(now float64, from int, m *peerMsg, en peerEntry) {
	if !l.knows(en.customer) {
		return
	}
	c := l.customerOf(now, en.customer, int(en.plan), int(en.spread))
	if c.spread == 0 {
		l.join(now, c, int(en.spread), int(en.first))
	}
	l.refill(now, c)
	v := c.view(from)
	older := float64(m.ageMs) > now-l.startedAt+askMs
	if v.mark != m.mark {
		// Of a peer known before, or younger than this gateway, all it has spent
		// falls into our time; of an older one only what is new with this message, and
		// so once customers have been forgotten here, which it may still know.
		first := v.mark == 0
		v.heard, v.mark, v.seq = 0, m.mark, 0
		if first && (older || l.forgot) {
			v.heard = en.spent - min(en.fresh, en.spent)
		}
	}
	if m.seq <= v.seq {
		return
	}
	v.seq, v.out = m.seq, int(min(en.out, uint64(l.cfg.Plans[c.plan].AtOnce)))
	if en.spent < v.heard { // the peer had forgotten the customer
		v.heard = 0
	}
	if units := float64(en.spent-v.heard) / unitScale; units > 0 {
		l.draw(now, c, v, units, float64(min(en.fresh, en.spent-v.heard))/unitScale, float64(en.level)/unitScale)
	}
	v.idle, v.heardAt = c.idle, now
	v.heard = en.spent
	if c.keeper && older && !c.seeded { // a keeper that just started begins with what the teller believes
		c.seed(now, max(l.floor(c), min(l.cfg.Plans[c.plan].Burst, float64(en.level)/unitScale-c.spent)))
	}
}

// draw takes from a balance the units that a peer has spent since its last word. They were spent over that
// time, as far as is known here, and a bucket that was full meanwhile let refill go that would have repaid them
// had they been heard as they were spent. Guards against a split that heals, and against words that come seldom and
// by chance at once, as in large sets: each counted as if all had been spent at this moment, and what is within a quota
// was refused. In small sets, where words come often, and of a peer's first word, the fresh units count as new.
func (l *Limiter) draw(now float64, c *customer, v *view, units, fresh, level float64) {
	burst := l.cfg.Plans[c.plan].Burst
	late := units - fresh
	if c.large() && v.heardAt > 0 {
		late = units
	}
	repaid := peering.Repaid(late, c.idle-v.idle, level-(c.balance-units))
	c.idle -= repaid // once: what other peers told of can't be repaid by it
	c.balance = max(c.balance-(units-repaid), min(c.balance, l.floor(c)))
	c.fade(now)
	c.flow += min(burst, fresh+(units-fresh)*min(1, 1000/max(1, now-v.heardAt)))
	c.seenAt = now
}
