package limiter

import (
	"math"
	"slices"

	"example.org/madderdrum/reserve"
)

// reserving is a limiter whose accounts are written down while it runs.
type accountWriter struct {
	headroomMs        float64
	fileComplete      bool   // whom the file does not name it takes for full but for the headroom
	filePlans         []Plan // by the place of a plan now: the one that the file may still go by
	written           int    // of the accounts listed, that a write of all has told
	writingAll        bool
	swept             int        // of the accounts listed, that forget has kept
	unwritten         []*account // those that have spent since they were told
	seq, persistedSeq uint64
	earliestKnown     float64 // the earliest time since which the file may say that all is known
	plansStale        bool    // other plans hold since the write was begun
	completeSeq       uint64  // the write that told all by the present plans
}

// Reserve has this limiter tell its accounts while it runs, each time with so much headroom
// that what they may spend within a span, in ms, is not held up. Who calls it must go on with
// [Limiter.BeginWrite], [Limiter.Accounts] and [Limiter.Kept]. No requests may have come yet.
func (l *Limiter) Reserve(headroomMs float64) {
	l.accountWriter = &accountWriter{headroomMs: headroomMs, earliestKnown: math.Inf(1)}
}

// BeginWrite begins telling the accounts, all of them or those that have spent since they were
// told, and returns what they are counted by and the number of the write. All must be told in
// the first write, after one that failed and after a [Reconfigure].
func (l *Limiter) BeginWrite(now float64, all bool) (*Handover, uint64) {
	writer := l.accountWriter
	writer.seq++
	if !l.started { // no event came yet: nothing is known
		l.knownSince, l.startedAt = now, now
	}
	writer.plansStale, writer.earliestKnown = false, min(writer.earliestKnown, l.knownSince)
	if all {
		writer.written, writer.writingAll = 0, true
	}
	from := l.knownSince
	if l.inherited != nil { // some of what was spent before is told of by them alone
		from = l.startedAt
	}
	return &Handover{Position: l.cfg.Position, Balancers: l.cfg.Balancers, Plans: slices.Clone(l.cfg.Plans[:l.named]),
		KnownMs: now - from, HeadMs: writer.headroomMs, NowMs: now}, writer.seq
}

// Accounts tells the next accounts of the write that was begun, so many at most, and whether
// there are more. Events may be handled in between; a [Reconfigure] among them voids the write,
// and ok is false.
func (l *Limiter) Accounts(now float64, limit int) (accounts []AccountMemory, more, ok bool) {
	writer := l.accountWriter
	if writer.plansStale {
		return nil, false, false
	}
	left := len(writer.unwritten)
	if writer.writingAll {
		left += len(l.accountList) - writer.written
	}
	accounts = make([]AccountMemory, 0, min(limit, left))
	for ; writer.writingAll && writer.written < len(l.accountList) && len(accounts) < limit; writer.written++ {
		accounts = l.writeAccount(now, l.accountList[writer.written], accounts)
	}
	writer.writingAll = writer.writingAll && writer.written < len(l.accountList)
	n := min(len(writer.unwritten), limit-len(accounts))
	for _, acct := range writer.unwritten[:n] {
		if acct.unwritten {
			accounts = l.writeAccount(now, acct, accounts)
		}
	}
	writer.unwritten = writer.unwritten[n:]
	if more = writer.writingAll || len(writer.unwritten) > 0; !more {
		writer.unwritten, writer.fileComplete = nil, true
	}
	return accounts, more, true
}

// write tells an account.
func (l *Limiter) writeAccount(now float64, acct *account, written []AccountMemory) []AccountMemory {
	acct.unwritten = false
	if acct.spread == 0 || acct.plan >= l.named {
		return written // nothing of it has passed here, or its plan is gone
	}
	l.refill(now, acct)
	writer, limits, divisor := l.accountWriter, l.cfg.Plans[acct.plan], acct.ceilingDivisor()
	memory := l.accountMemory(now, acct)
	if limits.CeilingRate > 0 {
		if acct.reserve == nil {
			acct.reserve = reserve.Begin(l.unlistedLine(acct))
		}
		headroom := reserve.Headroom(limits.CeilingRate, limits.CeilingBurst, writer.headroomMs) / divisor
		memory.Share -= headroom
		acct.reserve.Write(now, reserve.Line{Level: memory.Share, At: now, Rate: limits.CeilingRate / divisor, Most: limits.CeilingBurst/divisor - headroom}, writer.seq, writer.persistedSeq)
	}
	return append(written, memory)
}

// Kept says that a write is on the disk.
func (l *Limiter) Kept(seq uint64) {
	writer := l.accountWriter
	if writer.persistedSeq = seq; writer.filePlans != nil && seq >= writer.completeSeq {
		writer.filePlans = nil
	}
}

// tell1 is what is remembered of an account.
func (l *Limiter) accountMemory(now float64, acct *account) AccountMemory {
	acct.decayFlow(now)
	return AccountMemory{ID: acct.id, Plan: acct.plan, Spread: acct.spread, First: acct.first, Balance: acct.balance + acct.withheld, Share: acct.ceilingBalance, Flow: acct.flow, AtMs: now}
}

// keeps notes, for each account in the order in which they are listed, whether it is still
// listed: a write goes on behind those that it has told.
func (l *Limiter) noteSwept(kept bool) {
	switch writer := l.accountWriter; {
	case writer == nil:
	case kept:
		writer.swept++
	case writer.swept < writer.written:
		writer.written--
	}
}

// touch notes that an account has spent.
func (l *Limiter) markUnwritten(acct *account) {
	if l.accountWriter != nil && !acct.unwritten && acct.plan < l.named {
		acct.unwritten = true
		l.accountWriter.unwritten = append(l.accountWriter.unwritten, acct)
	}
}

// unnamed is what the file says of an account that it does not name: nothing, until it tells
// all the others.
func (l *Limiter) unlistedLine(acct *account) reserve.Line {
	writer := l.accountWriter
	if !writer.fileComplete {
		return reserve.Line{}
	}
	line := func(limits Plan) reserve.Line {
		headroom, divisor := reserve.Headroom(limits.CeilingRate, limits.CeilingBurst, writer.headroomMs), max(1, acct.ceilingDivisor())
		return reserve.Line{Level: -headroom / divisor, At: writer.earliestKnown, Rate: limits.CeilingRate / divisor, Most: (limits.CeilingBurst - headroom) / divisor}
	}
	current := line(l.cfg.Plans[acct.plan])
	if acct.plan < len(writer.filePlans) {
		if previous := line(writer.filePlans[acct.plan]); previous.On(acct.refilledAt) > current.On(acct.refilledAt) {
			return previous
		}
	}
	return current
}

// spendable is what of an account's part of the ceiling may pass now: all but what a successor
// would begin with if this limiter were killed.
func (l *Limiter) spendable(acct *account) float64 {
	writer := l.accountWriter
	switch {
	case writer == nil:
		return acct.ceilingBalance
	case acct.reserve == nil:
		return acct.ceilingBalance - max(0, l.unlistedLine(acct).On(acct.refilledAt))
	}
	return acct.ceilingBalance - max(0, acct.reserve.Floor(acct.refilledAt, writer.persistedSeq))
}

// replan notes that other plans hold, which the file does not go by yet.
func (l *Limiter) plansChanged(old []Plan, indexes []int) {
	writer := l.accountWriter
	if writer == nil {
		return
	}
	filePlans := make([]Plan, len(l.cfg.Plans))
	for k, to := range indexes {
		if to >= 0 && to < len(filePlans) {
			filePlans[to] = old[k]
			if k < len(writer.filePlans) && writer.filePlans[k].CeilingBurst > old[k].CeilingBurst { // two changes within one write
				filePlans[to] = writer.filePlans[k]
			}
		}
	}
	writer.filePlans, writer.completeSeq, writer.plansStale = filePlans, writer.seq+1, true
}
