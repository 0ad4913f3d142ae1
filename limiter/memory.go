package limiter

import (
	"maps"
	"math"
	"slices"

	"example.org/madderdrum/reserve"
)

// Memory is what a limiter has learnt, for one that begins after it. Times are in
// milliseconds before it was taken, so that it means the same by any clock. Requests in hand
// are not in it.
type Memory struct {
	Usual    []UsualMemory // by class
	Pools    []PoolMemory
	Boxes    []BoxMemory
	Handover *Handover // nil: of a limiter that may have gone on after this was taken
}

// Handover is what a limiter that has ended held of quotas and ceilings: it took nothing any
// more after this. Its successor holds the same parts, and may have them once only: whoever
// hands a Handover over vouches that no other limiter has had it.
type Handover struct {
	// What the accounts and plans are counted by. Another configuration is none of this.
	Position, Balancers int
	Plans               []Plan
	KnownMs             float64 // for so long all spending through this position is known
	DownMs              float64 // since it was taken, by a clock that nobody sets
	NowMs               float64 // when it was taken, by the limiter's clock
	// HeadMs is above 0 in what a limiter has told while it ran, with a headroom for what it
	// may have spent since; see package reserve. Else it had ended.
	HeadMs   float64
	Accounts []AccountMemory
}

// AccountMemory is one account. Those that are not there were full, but for the headroom.
type AccountMemory struct {
	ID                  uint64
	Plan, Spread, First int
	Balance             float64 // units left in its bucket, as far as known here
	Share               float64 // units left of this position's part of the ceiling
	Flow                float64 // units that other limiters passed within the last second or so
	AtMs                float64 // when it was told, by the limiter's clock
	AgoMs               float64 // since it was told, by a clock that nobody sets; of one that had not ended
}

// UsualMemory is the time that clients give most tries of a class.
type UsualMemory struct {
	Ms    float64
	Votes float64
}

// PoolMemory is what is learnt of a pool's servers together.
type PoolMemory struct {
	ID       uint64
	Work     []WorkMemory // by class
	Fit      [5]float64   // weight, and moving averages of load k and time y: k, y, kk, ky
	Worth    float64      // mean worth for work, ...
	Weight   float64      // ... of so many requests
	Pressure float64      // share of its requests refused for want of servers, of late
}

// WorkMemory is the typical time of a class alone on a server, in ms, by so many answers.
type WorkMemory struct{ Ms, Seen float64 }

// BoxMemory is what is learnt of one server process.
type BoxMemory struct {
	ID      uint64
	ReadyAt float64 // of the process: another one at the same address is a stranger
	Spent   float64 // decayed sums: times taken against the typical, ...
	Had     float64 // ... and answers
	Down    bool
	// BackMs is how long ago it answered again after it was down, while that makes it cold
	// (the list does not know); 0 if it does not.
	BackMs float64
	Ills   []IllMemory // by class
}

// Slowness is the time that a server takes against the typical one; with no record it is typical.
func (b *BoxMemory) Slowness() float64 { return (b.Spent + 1) / (b.Had + 1) }

// IllMemory is what is known of failures of a class at a server.
type IllMemory struct {
	Failures float64 // in a row, of late
	LeftMs   float64 // for which the class is kept off still
}

// Remember returns what is learnt by now. Nothing changes by it.
func (l *Limiter) Remember(now float64) *Memory {
	memory := &Memory{}
	for _, vote := range l.usualTimeout {
		memory.Usual = append(memory.Usual, UsualMemory{vote.ms, float64(vote.votes)})
	}
	for id, p := range l.pools {
		x := PoolMemory{ID: id, Fit: [5]float64{p.loadFit.count, p.loadFit.k, p.loadFit.y, p.loadFit.kk, p.loadFit.ky}, Worth: p.worth, Weight: p.weighted, Pressure: p.pressure}
		for k := range p.typicalMs {
			x.Work = append(x.Work, WorkMemory{p.typicalMs[k], p.answers[k]})
		}
		memory.Pools = append(memory.Pools, x)
	}
	slices.SortFunc(memory.Pools, func(a, b PoolMemory) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	memory.Boxes = make([]BoxMemory, 0, len(l.servers))
	records := make([]IllMemory, 0, len(l.servers)*len(l.cfg.Classes)) // one for all: the limiter is held meanwhile
	for _, srv := range l.servers {
		decay := math.Exp((srv.slownessAt - now) / slownessWindowMs)
		x := BoxMemory{ID: srv.info.ID, ReadyAt: srv.info.ReadyAt, Spent: srv.slownessSum * decay, Had: srv.slownessCount * decay, Down: srv.down}
		if srv.recoveredAt > srv.info.ReadyAt && l.warmth(now, srv) < 1 {
			x.BackMs = max(1, now-srv.recoveredAt)
		}
		start := len(records)
		for _, ejection := range srv.ejections {
			records = append(records, IllMemory{float64(ejection.count), max(0, ejection.until-now)})
		}
		x.Ills = records[start:len(records):len(records)]
		memory.Boxes = append(memory.Boxes, x)
	}
	return memory
}

// HandOver is Remember for a limiter that has ended: it must not be given any event after it.
// Its accounts are told by [Limiter.Leave], in parts, so that nobody waits for all of them.
func (l *Limiter) HandOver(now float64) *Memory {
	memory := l.Remember(now)
	memory.Handover = &Handover{Position: l.cfg.Position, Balancers: l.cfg.Balancers, Plans: slices.Clone(l.cfg.Plans[:l.named]), KnownMs: now - l.knownSince, NowMs: now}
	l.handedOver, l.inheritedLeft = 0, nil
	if l.handover != nil && l.handover.HeadMs > 0 { // of those that have not come back only this is known
		memory.Handover.KnownMs = min(memory.Handover.KnownMs, now-l.startedAt)
	} else {
		l.inheritedLeft = slices.Sorted(maps.Keys(l.inherited)) // they go on to the next one
	}
	return memory
}

// Leave tells the next accounts of a limiter that has handed over, so many at most, and whether
// there are more.
func (l *Limiter) Leave(now float64, limit int) (accounts []AccountMemory, more bool) {
	accounts = make([]AccountMemory, 0, min(limit, len(l.accountList)-l.handedOver+len(l.inheritedLeft)))
	for ; len(accounts) < limit && l.handedOver < len(l.accountList); l.handedOver++ {
		acct := l.accountList[l.handedOver]
		if acct.spread == 0 || acct.plan >= l.named {
			continue // nothing of it has passed here, or its plan is gone
		}
		l.refill(now, acct)
		accounts = append(accounts, l.accountMemory(now, acct))
	}
	for ; len(accounts) < limit && len(l.inheritedLeft) > 0; l.inheritedLeft = l.inheritedLeft[1:] {
		memory := l.inherited[l.inheritedLeft[0]]
		limits, seconds := l.cfg.Plans[memory.Plan], (now-l.inheritedAt)/1000
		memory.Balance = min(limits.Burst, memory.Balance+seconds*limits.Rate)
		memory.Share = min(limits.CeilingBurst/float64(memory.Spread), memory.Share+seconds*limits.CeilingRate/float64(memory.Spread))
		memory.AtMs = now
		accounts = append(accounts, memory)
	}
	return accounts, l.handedOver < len(l.accountList) || len(l.inheritedLeft) > 0
}

// takeOver begins with what a limiter of this position has handed over. Its parts of the
// ceilings have gone on filling up since, as they do while nobody spends from them.
func (l *Limiter) takeOver(now float64, state *Handover) {
	if state == nil || state.Position != l.cfg.Position || state.Balancers != l.cfg.Balancers || !slices.Equal(state.Plans, l.cfg.Plans) ||
		!(state.KnownMs >= 0 && state.DownMs >= 0 && state.HeadMs >= 0) || len(l.accountList) > 0 {
		return
	}
	l.handover, l.inheritedAt = state, now-state.DownMs
	if state.HeadMs == 0 { // else what was spent last is not known
		l.knownSince = now - state.DownMs - state.KnownMs
	}
	l.inherited = make(map[uint64]AccountMemory, len(state.Accounts))
	for _, account := range state.Accounts {
		if account.AtMs = now - state.DownMs; state.HeadMs > 0 {
			account.AtMs = now - max(0, account.AgoMs)
		}
		if account.Plan >= 0 && account.Plan < len(l.cfg.Plans) && account.Spread >= 1 && account.Spread <= l.cfg.Balancers {
			l.inherited[account.ID] = account
		} else { // it was not full, and that is all that is known
			l.inherited[account.ID] = AccountMemory{ID: account.ID, Spread: 1, First: -1}
		}
	}
}

// resume gives an account that joins here what it had. Of its bucket it gets no more at once
// than one that is new, as the other limiters may have passed something meanwhile, and no more
// in all than what was left.
func (l *Limiter) resumeAccount(now float64, acct *account) {
	if l.handover == nil || l.inherited == nil {
		return
	}
	limits, divisor := l.cfg.Plans[acct.plan], acct.ceilingDivisor()
	headroom := 0.0 // of what may have been spent untold
	if l.handover.HeadMs > 0 {
		headroom = reserve.Headroom(limits.CeilingRate, limits.CeilingBurst, l.handover.HeadMs) / divisor
	}
	memory, found := l.inherited[acct.id]
	if !found {
		if headroom > 0 {
			knownSince := l.inheritedAt - l.handover.KnownMs
			acct.ceilingBalance = max(acct.ceilingBalance, min(limits.CeilingBurst, limits.CeilingRate*(now-knownSince)/1000)/divisor-headroom)
		}
		return
	}
	delete(l.inherited, acct.id)
	seconds := (now - memory.AtMs) / 1000
	if memory.Plan != acct.plan || memory.Spread != acct.spread || memory.First != acct.first || math.IsNaN(memory.Share) || math.IsNaN(memory.Balance) || !(seconds >= 0) {
		// It is counted otherwise now. That it was full is not known, so it begins with nothing.
		acct.ceilingBalance = min(acct.ceilingBalance, limits.CeilingRate*(now-l.startedAt)/1000/divisor)
		return
	}
	// What nobody can have spent since this limiter began is its own in any case.
	ownRefill := min(limits.CeilingBurst, limits.CeilingRate*(now-l.startedAt)/1000) / divisor
	acct.ceilingBalance = max(ownRefill, min(limits.CeilingBurst/divisor-headroom, memory.Share+seconds*limits.CeilingRate/divisor))
	if acct.flow == 0 && plausible(memory.Flow) {
		acct.flow, acct.flowAt = min(memory.Flow, limits.Burst), memory.AtMs
	}
	if remaining := min(limits.Burst, memory.Balance+seconds*limits.Rate); !acct.levelKnown {
		acct.balance = min(acct.balance, remaining)
		acct.withheld = max(0, remaining-acct.balance)
	}
}

// fadeResumed drops what was handed over once it would be full again: a new record would start
// full too.
func (l *Limiter) expireInherited(now float64) {
	if l.accountWriter != nil {
		l.accountWriter.swept = 0
	}
	fullAfter := 0.0
	for _, limits := range l.cfg.Plans {
		fullAfter = max(fullAfter, limits.Burst/max(1e-9, limits.Rate), limits.CeilingBurst/max(1e-9, limits.CeilingRate)*btof(limits.CeilingRate > 0))
	}
	if l.inherited != nil && now-l.inheritedAt > 1000*fullAfter && now-l.startedAt > accountIdleMs {
		l.inherited, l.handover = nil, nil
	}
}

func btof(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// forgo gives up what was handed over and has not come back: the plans are others now.
func (l *Limiter) discardInherited(now float64) {
	if l.inherited != nil {
		l.inherited, l.handover, l.knownSince = nil, nil, now
	}
}

// recall takes in what a limiter before this one has learnt. It is trusted only where this
// one has learnt nothing itself, of server processes that are listed as the same, and as far
// as it can be true at all: a file says it.
func (l *Limiter) recall(now float64, memory *Memory) {
	if memory == nil {
		return
	}
	if len(memory.Usual) == len(l.usualTimeout) {
		for i, vote := range memory.Usual {
			if l.usualTimeout[i].votes == 0 && plausible(vote.Ms) && vote.Votes >= 1 {
				l.usualTimeout[i] = usualTimeout{vote.Ms, min(maxTimeoutVotes, int(min(vote.Votes, maxTimeoutVotes)))}
			}
		}
	}
	for _, x := range memory.Pools {
		if p := l.pools[x.ID]; p != nil && len(x.Work) == len(p.typicalMs) {
			p.recall(&x)
		}
	}
	l.takeOver(now, memory.Handover)
	for _, x := range memory.Boxes {
		srv := l.serversByID[x.ID]
		if srv == nil || srv.info.ReadyAt != x.ReadyAt || srv.slownessCount > 0 || len(x.Ills) != len(srv.ejections) {
			continue
		}
		if plausible(x.Spent) && plausible(x.Had) {
			srv.slownessSum, srv.slownessCount, srv.slownessAt = x.Spent, x.Had, now
		}
		srv.down = srv.down || x.Down && srv.info.Phase == Up
		if plausible(x.BackMs) && srv.recoveredAt == 0 {
			srv.recoveredAt = now - x.BackMs
		}
		for i, ill := range x.Ills {
			srv.ejections[i] = ejection{count: int(max(0, min(ejectAfter-1, ill.Failures))), lastFailureAt: now, until: now + max(0, min(ejectionMs, ill.LeftMs))}
		}
	}
}

func (p *pool) recall(memory *PoolMemory) {
	known := 0.0
	for class := range p.typicalMs {
		known += p.answers[class]
	}
	if known > 0 {
		return
	}
	for class, work := range memory.Work {
		if plausible(work.Ms) && plausible(work.Seen) {
			p.typicalMs[class], p.answers[class] = work.Ms, work.Seen
		}
	}
	// Averages that no loads and times can have are none: a line through them could be any.
	fit := memory.Fit
	if plausible(fit[0]) && fit[1] >= 1 && plausible(fit[1]) && plausible(fit[2]) && plausible(fit[3]) && plausible(fit[4]) && fit[3] >= fit[1]*fit[1]*(1-1e-9) {
		p.loadFit = loadFit{fit[0], fit[1], fit[2], fit[3], fit[4]}
	}
	if memory.Pressure > 0 && memory.Pressure <= 1 {
		p.pressure = memory.Pressure
	}
	if plausible(memory.Worth) && plausible(memory.Weight) {
		p.worth, p.weighted = memory.Worth, memory.Weight
	}
}

// sane tells that a figure is above 0 and one that could have been learnt.
func plausible(x float64) bool { return x > 0 && x < 1e12 }
