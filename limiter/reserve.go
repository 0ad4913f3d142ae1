package limiter

import (
	"math"
	"slices"

	"example.org/madderdrum/reserve"
)

// accountWriter is the state of persisting the accounts while the limiter runs; see package reserve.
type accountWriter struct {
	headroomMs        float64    // spending within this time is covered by the headroom
	fileComplete      bool       // accounts without an entry in the file count as full, less the headroom
	filePlans         []Plan     // by current plan index: the plan that entries of the file may still use
	written           int        // number of entries of accountList that the complete write has covered
	writingAll        bool       // a complete write is not finished
	swept             int        // number of entries of accountList kept so far by dropIdleAccounts
	unwritten         []*account // accounts that have spent since their last entry
	seq, persistedSeq uint64     // last write begun, last write on disk
	earliestKnown     float64    // earliest value of knownSince that the file may contain
	plansStale        bool       // the plans have changed since the write was begun
	completeSeq       uint64     // the first write that has all entries with the current plans
}

// Reserve makes this limiter persist its accounts while it runs, with a headroom that allows for their
// spending within headroomMs. The caller must write them regularly by [Limiter.BeginWrite],
// [Limiter.Accounts] and [Limiter.Kept]. Call it before the first request.
func (l *Limiter) Reserve(headroomMs float64) {
	l.accountWriter = &accountWriter{headroomMs: headroomMs, earliestKnown: math.Inf(1)}
}

// BeginWrite begins a write of the accounts, of all of them or of those that have spent since their last
// entry, and returns the header and the number of the write. The first write, the one after a failed
// write and the one after a [Reconfigure] must be of all accounts.
func (l *Limiter) BeginWrite(now float64, all bool) (*Handover, uint64) {
	writer := l.accountWriter
	writer.seq++
	if !l.started { // no event yet: nothing is known
		l.knownSince, l.startedAt = now, now
	}
	writer.plansStale, writer.earliestKnown = false, min(writer.earliestKnown, l.knownSince)
	if all {
		writer.written, writer.writingAll = 0, true
	}
	from := l.knownSince
	if l.inherited != nil { // some earlier spending is recorded in their entries only
		from = l.startedAt
	}
	return &Handover{Position: l.cfg.Position, Balancers: l.cfg.Balancers, Plans: slices.Clone(l.cfg.Plans[:l.named]),
		KnownMs: now - from, HeadMs: writer.headroomMs, NowMs: now}, writer.seq
}

// Accounts returns the next accounts of the current write, at most limit, and whether there are more.
// Events may be handled between calls; a [Reconfigure] among them voids the write, and ok is false.
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

// writeAccount appends the entry of an account to written.
func (l *Limiter) writeAccount(now float64, acct *account, written []AccountMemory) []AccountMemory {
	acct.unwritten = false
	if acct.spread == 0 || acct.plan >= l.named {
		return written // no request of it came here, or its plan is removed
	}
	l.refill(now, acct)
	writer, limits, divisor := l.accountWriter, l.cfg.Plans[acct.plan], acct.ceilingDivisor()
	memory := l.accountMemory(now, acct)
	if limits.CeilingRate > 0 {
		if acct.reserve == nil {
			acct.reserve = reserve.NewAccount(l.unlistedLine(acct))
		}
		headroom := reserve.Headroom(limits.CeilingRate, limits.CeilingBurst, writer.headroomMs) / divisor
		memory.Share -= headroom
		acct.reserve.BeginWrite(now, reserve.RisingLevel{Level: memory.Share, SinceMs: now, RatePerS: limits.CeilingRate / divisor,
			Max: limits.CeilingBurst/divisor - headroom}, writer.seq, writer.persistedSeq)
	}
	return append(written, memory)
}

// Kept records that a write, by its number, is on the disk.
func (l *Limiter) Kept(seq uint64) {
	writer := l.accountWriter
	if writer.persistedSeq = seq; writer.filePlans != nil && seq >= writer.completeSeq {
		writer.filePlans = nil
	}
}

// accountMemory returns the entry of an account for a handover or a write.
func (l *Limiter) accountMemory(now float64, acct *account) AccountMemory {
	acct.decayFlow(now)
	return AccountMemory{ID: acct.id, Plan: acct.plan, Spread: acct.spread, First: acct.first,
		Balance: acct.balance + acct.withheld, Share: acct.ceilingBalance, Flow: acct.flow, AtMs: now}
}

// noteSwept is called for each entry of accountList in order, with whether it stays in the list, so that a
// write continues after the entries that it has covered.
func (l *Limiter) noteSwept(kept bool) {
	switch writer := l.accountWriter; {
	case writer == nil:
	case kept:
		writer.swept++
	case writer.swept < writer.written:
		writer.written--
	}
}

// markUnwritten queues an account that has spent for the next write.
func (l *Limiter) markUnwritten(acct *account) {
	if l.accountWriter != nil && !acct.unwritten && acct.plan < l.named {
		acct.unwritten = true
		l.accountWriter.unwritten = append(l.accountWriter.unwritten, acct)
	}
}

// unlistedLine is what a successor assumes of an account without an entry in the file: an empty balance
// until the file is complete, then a full one less the headroom.
func (l *Limiter) unlistedLine(acct *account) reserve.RisingLevel {
	writer := l.accountWriter
	if !writer.fileComplete {
		return reserve.RisingLevel{}
	}
	line := func(limits Plan) reserve.RisingLevel {
		headroom, divisor := reserve.Headroom(limits.CeilingRate, limits.CeilingBurst, writer.headroomMs),
			max(1, acct.ceilingDivisor())
		return reserve.RisingLevel{Level: -headroom / divisor, SinceMs: writer.earliestKnown, RatePerS: limits.CeilingRate / divisor,
			Max: (limits.CeilingBurst - headroom) / divisor}
	}
	current := line(l.cfg.Plans[acct.plan])
	if acct.plan < len(writer.filePlans) {
		if previous := line(writer.filePlans[acct.plan]); previous.LevelAt(acct.refilledAt) > current.LevelAt(acct.refilledAt) {
			return previous
		}
	}
	return current
}

// spendable is how much of an account's part of the ceiling may be spent now: all but what a successor
// would start with if this limiter were killed.
func (l *Limiter) spendable(acct *account) float64 {
	writer := l.accountWriter
	switch {
	case writer == nil:
		return acct.ceilingBalance
	case acct.reserve == nil:
		return acct.ceilingBalance - max(0, l.unlistedLine(acct).LevelAt(acct.refilledAt))
	}
	return acct.ceilingBalance - max(0, acct.reserve.Floor(acct.refilledAt, writer.persistedSeq))
}

// plansChanged records that the plans have changed and that the file still uses the old ones.
func (l *Limiter) plansChanged(old []Plan, indexes []int) {
	writer := l.accountWriter
	if writer == nil {
		return
	}
	filePlans := make([]Plan, len(l.cfg.Plans))
	for k, to := range indexes {
		if to >= 0 && to < len(filePlans) {
			filePlans[to] = old[k]
			if k < len(writer.filePlans) && writer.filePlans[k].CeilingBurst > old[k].CeilingBurst { // changed again before a write
				filePlans[to] = writer.filePlans[k]
			}
		}
	}
	writer.filePlans, writer.completeSeq, writer.plansStale = filePlans, writer.seq+1, true
}
