package limiter

import (
	"cmp"
	"math"
	"slices"
)

const (
	syncMs          = 2000.0 // for this time after its start a limiter asks peers for levels
	maxPeerAccounts = 20000  // from this number on, peer messages create no accounts
	maxDirectPeers  = 8      // with more other limiters, only aggregators get updates
	aggregators     = 2      // of an account with many limiters: one and a standby
	lookAheadMs     = 500.0  // an aggregator predicts the level this far ahead
	lowLevelShare   = 0.4    // a level below this share of the burst is low
	marginGain      = 2.0    // margin as a multiple of the peers' spending between two level updates
)

// setLimiters records an account's limiters and which of them get updates of the spending here: all, or
// with many of them two aggregators, chosen by a hash of the account, which publish the level when it
// matters. Updates then take two hops, and nothing counts twice, as a level replaces what was known.
func (l *Limiter) setLimiters(now float64, acct *account, spread, first int) {
	limiters := l.cfg.Balancers
	acct.spread, acct.first = max(1, min(spread, limiters)), ((first%limiters)+limiters)%limiters
	l.initCeiling(now, acct)
	start, step, count := 0, 1, acct.spread
	if acct.usesAggregators() {
		hash := hashID(acct.id)
		start, step, count = int(hash%uint64(acct.spread)), 1+int(hash>>32)%(acct.spread-1), aggregators
	}
	for k := range count {
		if position := (acct.first + (start+k*step)%acct.spread) % limiters; position != l.cfg.Position {
			acct.recipients = append(acct.recipients, position)
		} else if acct.usesAggregators() {
			acct.isAggregator, acct.aggregatorRank, acct.publishedLevel, acct.publishedAt =
				true, k, acct.balance, now
			l.aggregated = append(l.aggregated, acct)
		}
	}
}

// sendUpdates sends the due changes to peers in round-robin order, within the message budget.
func (l *Limiter) sendUpdates(now float64) {
	l.budget.Tick(tickMs, l.cfg.PeerInPerS, len(l.peers))
	l.publishLevels(now)
	slices.SortStableFunc(l.dirty, func(a, b *account) int { return cmp.Compare(b.urgency(), a.urgency()) })
	for _, acct := range l.dirty {
		for _, peer := range acct.recipients {
			if acct.hasUpdateFor(peer) {
				l.peers[peer].due = append(l.peers[peer].due, acct)
			}
		}
	}
	for k, first := 0, l.nextPeer; k < len(l.peers); k++ {
		peer := (first + k) % len(l.peers)
		if (len(l.peers[peer].due) > 0 || l.wantsSync(now, peer)) && l.budget.Take() {
			l.nextPeer = peer + 1
			l.sendUpdate(now, peer)
		}
		l.peers[peer].due = l.peers[peer].due[:0]
	}
	l.dirty = slices.DeleteFunc(l.dirty, func(acct *account) bool {
		acct.dirty = slices.ContainsFunc(acct.recipients, acct.hasUpdateFor)
		return !acct.dirty
	})
}

// wantsSync reports whether this limiter, just started, asks a peer near it for levels.
func (l *Limiter) wantsSync(now float64, peer int) bool {
	return now-l.startedAt < syncMs && !l.peers[peer].synced && l.distance(peer) > 0 &&
		l.distance(peer) <= maxDirectPeers/2
}

// publishLevels sends the level of each account aggregated here to its limiters once they assume a
// higher one and it is low or soon will be, together with the margin below which fewer requests are to
// pass. The standby waits a little longer, and so acts if the first aggregator is gone.
func (l *Limiter) publishLevels(now float64) {
	for _, acct := range l.aggregated {
		l.refill(now, acct)
		l.releaseWithheld(acct)
		acct.decayFlow(now)
		limits, pause := l.cfg.Plans[acct.plan], l.budget.PauseMs*l.pauseFactors[acct.plan]
		assumed := min(limits.Burst, acct.publishedLevel+limits.Rate*(now-acct.publishedAt)/1000)
		predicted := acct.balance - lookAheadMs/1000*max(0, acct.flow-limits.Rate)
		if assumed-acct.balance <= limits.Burst/8 || predicted > lowLevelShare*limits.Burst {
			acct.staleTicks = 0
		} else if acct.staleTicks++; now-acct.publishedAt >= pause &&
			acct.staleTicks > 2*acct.aggregatorRank {
			acct.publishedLevel, acct.publishedAt, acct.staleTicks = acct.balance, now, 0
			acct.margin = min(limits.Burst, marginGain*acct.flow*pause/1000)
			l.sendToPeers(peerMsg{flags: flagLevelUpdate, entries: []peerEntry{l.peerEntryFor(now, acct, 0)}},
				acct.first, acct.spread)
		}
	}
}

// sendSyncReply sends a limiter that just started the levels below full. For accounts with many
// limiters only its neighbors do so, which have mostly the same accounts.
func (l *Limiter) sendSyncReply(now float64, to int) {
	message := peerMsg{flags: flagLevelUpdate | flagSyncReply, ageMs: uint64(now - l.startedAt)}
	for _, acct := range l.accountList {
		l.refill(now, acct)
		missing, include := l.cfg.Plans[acct.plan].Burst-acct.balance-acct.withheld,
			slices.Contains(acct.recipients, to)
		if acct.usesAggregators() || acct.spread == 0 {
			include = l.distance(to) == 1 && missing > (1-lowLevelShare)*l.cfg.Plans[acct.plan].Burst
		}
		if include && missing > 0 {
			message.entries = append(message.entries, l.peerEntryFor(now, acct, 0))
		}
	}
	for sent := 0; ; message.entries = message.entries[sent:] {
		if sent = l.sendToPeers(message, to, 1); sent == len(message.entries) {
			return
		}
	}
}

// sendUpdate sends a peer the accounts that changed, the most urgent first, as many as fit. Where no
// aggregators are used, each figure is sent twice against message loss.
func (l *Limiter) sendUpdate(now float64, to int) {
	peer := &l.peers[to]
	peer.seq++
	message := peerMsg{mark: l.mark, seq: peer.seq, ageMs: uint64(now - l.startedAt)}
	if l.anyOutstandingLimit {
		message.flags |= flagOutstanding
	}
	if l.wantsSync(now, to) {
		message.flags |= flagSyncRequest
	}
	for _, acct := range peer.due {
		view := acct.peerView(to)
		entry := l.peerEntryFor(now, acct, view.sent)
		if view.resend { // the last message may be lost
			entry.newlySpent = entry.spent - view.sentBefore
		}
		message.entries = append(message.entries, entry)
	}
	for k, acct := range peer.due[:l.sendToPeers(message, to, 1)] {
		view := acct.peerView(to)
		view.resend = message.entries[k].spent != view.sent && !acct.usesAggregators()
		view.sentBefore, view.sent, view.sentOutstanding = view.sent,
			message.entries[k].spent, acct.outstanding
	}
}

// receive handles a message from a peer. Figures are cumulative, so that the next message makes up for
// a lost one; a new mark shows that the peer has restarted.
func (l *Limiter) receive(now float64, e PeerMessage) {
	message, ok := decodePeer(e.Data)
	if !ok || e.From < 0 || e.From >= len(l.peers) || e.From == l.cfg.Position || !l.valid(&message) {
		return
	}
	peer := &l.peers[e.From]
	l.olderPeerSeen = l.olderPeerSeen || float64(message.ageMs) > now-l.startedAt+syncMs
	switch {
	case message.flags&flagFailureHint != 0:
		for _, entry := range message.entries {
			if srv := l.serversByID[entry.account]; srv != nil { // only listed servers, by ID
				l.recordFailure(now, srv, int(entry.plan))
			}
		}
		return
	case message.flags&flagLevelUpdate != 0:
		l.budget.CountReceived()
		if message.flags&flagSyncReply != 0 {
			peer.synced = true
			l.neighborSynced = l.neighborSynced || l.distance(e.From) == 1
		}
		for _, entry := range message.entries {
			l.receiveLevel(now, e.From, &message, entry)
		}
		return
	case message.mark == peer.oldMark: // a late message from before its restart
		return
	case message.mark != peer.mark:
		peer.oldMark, peer.mark = peer.mark, message.mark
	}
	if message.flags&flagSyncRequest != 0 && now >= peer.syncRepliedAt+4*tickMs {
		peer.syncRepliedAt = now
		l.sendSyncReply(now, e.From)
	}
	for _, entry := range message.entries {
		l.receiveSpending(now, e.From, &message, entry)
	}
}

// receiveLevel handles the published level of an account. From an aggregator it replaces the balance
// here, less spending too recent to be included; the other aggregator relies on the updates it gets
// itself. A sync reply from an older peer does so for a limiter that just started and knows no level.
func (l *Limiter) receiveLevel(now float64, from int, message *peerMsg, entry peerEntry) {
	if !l.acceptsAccount(entry.account) {
		return
	}
	acct := l.accountOf(now, entry.account, int(entry.plan), l.cfg.Balancers)
	burst := l.cfg.Plans[acct.plan].Burst
	level := min(burst, max(l.balanceFloor(acct), float64(entry.level)/unitScale))
	l.refill(now, acct)
	if message.flags&flagSyncReply != 0 {
		if age := now - l.startedAt; !acct.levelKnown && age < syncMs && float64(message.ageMs) > age {
			acct.setLevel(now, level-acct.spent)
		}
		return
	}
	if acct.spread > 0 && !slices.Contains(acct.recipients, from) {
		return
	}
	if !acct.isAggregator || !acct.levelKnown {
		if now-acct.lastSpentAt < 2*tickMs {
			level -= acct.lastSpentUnits
		}
		acct.setLevel(now, min(burst, level))
	}
	acct.publishedLevel, acct.publishedAt, acct.staleTicks = level, now, 0
	acct.margin = min(burst, float64(min(entry.margin, math.MaxInt32))/unitScale)
}
