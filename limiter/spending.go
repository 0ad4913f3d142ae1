package limiter

import "example.org/madderdrum/peering"

// How the spending reported by peers changes a balance here.

// balanceFloor is the lowest possible balance: each of the account's limiters has admitted the whole burst
// before it got an update. It keeps a faulty report from a peer from locking an account out for long.
func (l *Limiter) balanceFloor(acct *account) float64 {
	return -l.cfg.Plans[acct.plan].Burst * float64(max(1, acct.spread))
}

// acceptsAccount reports whether a peer's figures for an account are used; see maxPeerAccounts.
func (l *Limiter) acceptsAccount(id uint64) bool {
	return len(l.accounts) < maxPeerAccounts || l.accounts[id] != nil
}

// receiveSpending applies a peer's report of an account's spending there.
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
		// All spending of a restarted peer, or of one younger than this limiter, falls into the lifetime of
		// this limiter. From an older peer only what is new in this message counts; likewise once accounts
		// have been dropped here, as the peer may have kept them.
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
	if entry.spent < view.received { // the peer had dropped the account
		view.received = 0
	}
	if units := float64(entry.spent-view.received) / unitScale; units > 0 {
		l.deductPeerSpending(now, acct, view, units,
			float64(min(entry.newlySpent, entry.spent-view.received))/unitScale, float64(entry.level)/unitScale)
	}
	view.discarded, view.receivedAt = acct.discarded, now
	view.received = entry.spent
	if acct.isAggregator && older && !acct.levelKnown { // a new aggregator starts with the peer's level
		acct.setLevel(now, max(l.balanceFloor(acct), min(l.cfg.Plans[acct.plan].Burst,
			float64(entry.level)/unitScale-acct.spent)))
	}
}

// deductPeerSpending takes the units that a peer has spent since its last report from the balance. As far
// as is known they were spent over that whole time, and a bucket that was full meanwhile discarded refill
// that would have paid for them had they been reported at once; that refill is credited. Without the credit,
// requests within the quota were refused after a network partition healed, and when the rare reports in
// large groups happened to arrive together, as all units counted as spent at that moment. Without
// aggregators, where reports are frequent, and in a peer's first report, the new units count in full.
func (l *Limiter) deductPeerSpending(now float64, acct *account, view *peerView, units, newlySpent, level float64) {
	burst := l.cfg.Plans[acct.plan].Burst
	older := units - newlySpent
	if acct.usesAggregators() && view.receivedAt > 0 {
		older = units
	}
	repaid := peering.Repaid(older, acct.discarded-view.discarded, level-(acct.balance-units))
	acct.discarded -= repaid // credited only once, not for other peers' spending too
	acct.balance = max(acct.balance-(units-repaid), min(acct.balance, l.balanceFloor(acct)))
	acct.decayFlow(now)
	acct.flow += min(burst, newlySpent+(units-newlySpent)*min(1, 1000/max(1, now-view.receivedAt)))
	acct.lastSeenAt = now
}
