package limiter

import (
	"cmp"
	"math"
	"slices"
)

const (
	syncMs          = 2000.0 // a starting gateway asks for levels this long
	maxPeerAccounts = 20000  // customers known, past which a peer's word makes no new ones
	maxDirectPeers  = 8      // of more other gateways than this, keepers hear alone
	aggregators     = 2      // of a customer in a large set: one and a stand-in
	lookAheadMs     = 500.0  // a keeper looks this far ahead for a low level
	lowLevelShare   = 0.4    // of the burst: below it a level is low
	marginGain      = 2.0    // margin, against what flows between two levels told
)

// join notes through which gateways a customer's requests come, and which are
// told of what passes here: in a small set every one. In a large set two keepers,
// the same for all by the customer's number, hear of every admission and tell
// the set the level when it matters: news crosses in two steps, and nothing
// counts twice, as a level replaces what was known.
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
			acct.isAggregator, acct.aggregatorRank, acct.publishedLevel, acct.publishedAt = true, k, acct.balance, now
			l.aggregated = append(l.aggregated, acct)
		}
	}
}

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

// asks tells whether this gateway, just started, asks a peer near it for levels.
func (l *Limiter) wantsSync(now float64, peer int) bool {
	return now-l.startedAt < syncMs && !l.peers[peer].synced && l.distance(peer) > 0 && l.distance(peer) <= maxDirectPeers/2
}

// keep tells the set of each customer kept here its level once its gateways
// believe in more and it is low or soon will be, and with it the margin below
// which less is to pass. The stand-in waits a little, and so acts if the first
// keeper is gone.
func (l *Limiter) publishLevels(now float64) {
	for _, acct := range l.aggregated {
		l.refill(now, acct)
		l.releaseWithheld(acct)
		acct.decayFlow(now)
		limits, pause := l.cfg.Plans[acct.plan], l.budget.Pause*l.pauseFactors[acct.plan]
		assumed := min(limits.Burst, acct.publishedLevel+limits.Rate*(now-acct.publishedAt)/1000)
		predicted := acct.balance - lookAheadMs/1000*max(0, acct.flow-limits.Rate)
		if assumed-acct.balance <= limits.Burst/8 || predicted > lowLevelShare*limits.Burst {
			acct.staleTicks = 0
		} else if acct.staleTicks++; now-acct.publishedAt >= pause && acct.staleTicks > 2*acct.aggregatorRank {
			acct.publishedLevel, acct.publishedAt, acct.staleTicks = acct.balance, now, 0
			acct.margin = min(limits.Burst, marginGain*acct.flow*pause/1000)
			l.sendToPeers(peerMsg{flags: flagLevelUpdate, entries: []peerEntry{l.peerEntryFor(now, acct, 0)}}, acct.first, acct.spread)
		}
	}
}

// answer tells a gateway that just started of levels below full; in large sets
// its neighbours alone do, who have mostly the same customers.
func (l *Limiter) sendSyncReply(now float64, to int) {
	message := peerMsg{flags: flagLevelUpdate | flagSyncReply, ageMs: uint64(now - l.startedAt)}
	for _, acct := range l.accountList {
		l.refill(now, acct)
		missing, include := l.cfg.Plans[acct.plan].Burst-acct.balance-acct.withheld, slices.Contains(acct.recipients, to)
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

// tell sends a peer what has changed, most pressing first: what is untold
// against what is left. In small sets each figure is told once more, against loss.
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
		if view.resend { // what the last message told may be lost
			entry.newlySpent = entry.spent - view.sentBefore
		}
		message.entries = append(message.entries, entry)
	}
	for k, acct := range peer.due[:l.sendToPeers(message, to, 1)] {
		view := acct.peerView(to)
		view.resend = message.entries[k].spent != view.sent && !acct.usesAggregators()
		view.sentBefore, view.sent, view.sentOutstanding = view.sent, message.entries[k].spent, acct.outstanding
	}
}

// heard takes in what a peer tells. Cumulative figures heal a lost message
// with the next one; a new mark shows that the peer began anew.
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
			if srv := l.servers[entry.account]; srv != nil { // only what the own list has named
				l.recordFailure(now, srv, int(entry.plan))
			}
		}
		return
	case message.flags&flagLevelUpdate != 0:
		l.budget.Heard()
		if message.flags&flagSyncReply != 0 {
			peer.synced = true
			l.neighborSynced = l.neighborSynced || l.distance(e.From) == 1
		}
		for _, entry := range message.entries {
			l.receiveLevel(now, e.From, &message, entry)
		}
		return
	case message.mark == peer.oldMark: // a late message of an incarnation that is gone
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

// levelOf takes in a told level. From a keeper it replaces what was known here,
// but for what passed too lately to be in it; another keeper goes by what it
// hears itself. The answer of an older peer does so for a gateway that just
// started and knows nothing yet.
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
