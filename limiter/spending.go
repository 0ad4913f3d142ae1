package limiter

import "example.org/madderdrum/peering"

// What peers tell of their spending does to a balance here.

// floor is the lowest level a bucket can come to: each of the customer's gateways
// passes the whole burst before it hears of another. Guards against a peer's word
// that would keep a customer out for long.
func (l *Limiter) balanceFloor(acct *account) float64 {
	return -l.cfg.Plans[acct.plan].Burst * float64(max(1, acct.spread))
}

// knows tells whether a peer's word on a customer is taken in.
func (l *Limiter) acceptsAccount(id uint64) bool {
	return len(l.accounts) < maxPeerAccounts || l.accounts[id] != nil
}

// heardOf takes in what a peer tells of one customer's spending.
func (l *Limiter) receiveSpending(now float64, from int, message *peerMsg, entry peerEntry) {
	if !l.acceptsAccount(entry.account) {
		return
	}
	acct := l.accountOf(now, entry.account, int(entry.plan), int(entry.spread))
	if acct.spread == 0 {
		l.setLimiters(now, acct, int(entry.spread), int(entry.first))
	}
	l.refill(now, acct)
	view := acct.peerView(from)
	older := float64(message.ageMs) > now-l.startedAt+syncMs
	if view.mark != message.mark {
		// Of a peer known before, or younger than this gateway, all it has spent
		// falls into our time; of an older one only what is new with this message, and
		// so once customers have been forgotten here, which it may still know.
		first := view.mark == 0
		view.received, view.mark, view.seq = 0, message.mark, 0
		if first && (older || l.droppedAccounts) {
			view.received = entry.spent - min(entry.newlySpent, entry.spent)
		}
	}
	if message.seq <= view.seq {
		return
	}
	view.seq, view.outstanding = message.seq, int(min(entry.outstanding, uint64(l.cfg.Plans[acct.plan].AtOnce)))
	if entry.spent < view.received { // the peer had forgotten the customer
		view.received = 0
	}
	if units := float64(entry.spent-view.received) / unitScale; units > 0 {
		l.deductPeerSpending(now, acct, view, units, float64(min(entry.newlySpent, entry.spent-view.received))/unitScale, float64(entry.level)/unitScale)
	}
	view.discarded, view.receivedAt = acct.discarded, now
	view.received = entry.spent
	if acct.isAggregator && older && !acct.levelKnown { // a keeper that just started begins with what the teller believes
		acct.setLevel(now, max(l.balanceFloor(acct), min(l.cfg.Plans[acct.plan].Burst, float64(entry.level)/unitScale-acct.spent)))
	}
}

// draw takes from a balance the units that a peer has spent since its last word. They were spent over that
// time, as far as is known here, and a bucket that was full meanwhile let refill go that would have repaid them
// had they been heard as they were spent. Guards against a split that heals, and against words that come seldom and
// by chance at once, as in large sets: each counted as if all had been spent at this moment, and what is within a quota
// was refused. In small sets, where words come often, and of a peer's first word, the fresh units count as new.
func (l *Limiter) deductPeerSpending(now float64, acct *account, view *peerView, units, newlySpent, level float64) {
	burst := l.cfg.Plans[acct.plan].Burst
	older := units - newlySpent
	if acct.usesAggregators() && view.receivedAt > 0 {
		older = units
	}
	repaid := peering.Repaid(older, acct.discarded-view.discarded, level-(acct.balance-units))
	acct.discarded -= repaid // once: what other peers told of can't be repaid by it
	acct.balance = max(acct.balance-(units-repaid), min(acct.balance, l.balanceFloor(acct)))
	acct.decayFlow(now)
	acct.flow += min(burst, newlySpent+(units-newlySpent)*min(1, 1000/max(1, now-view.receivedAt)))
	acct.lastSeenAt = now
}
