package limiter

import (
	"maps"
	"math"
	"slices"

	"example.org/madderdrum/reserve"
)

// Memory is what a limiter has learned, for its successor. Times are in milliseconds before the memory
// was taken, so that it is independent of clocks. It does not include pending requests.
type Memory struct {
	Usual    []UsualMemory // by class
	Pools    []PoolMemory
	Boxes    []BoxMemory
	Handover *Handover // nil if the limiter may have continued after the memory was taken
}

// Handover is the state of quotas and ceilings of a limiter that has ended and spends nothing afterwards.
// Its successor takes over the same parts of the ceilings. The caller must make sure that a Handover is
// given to one limiter only, as its units could otherwise be spent twice.
type Handover struct {
	// The configuration that the accounts depend on. A successor with another one ignores the Handover.
	Position, Balancers int
	Plans               []Plan
	KnownMs             float64 // time for which all spending through this position is known
	DownMs              float64 // since it was taken, by a monotonic clock
	NowMs               float64 // when it was taken, by the limiter's clock
	// HeadMs is above 0 if the limiter wrote this while it ran: balances are then reduced by a headroom
	// for what it may have spent since; see package reserve. It is 0 if the limiter had ended.
	HeadMs   float64
	Accounts []AccountMemory
}

// AccountMemory is the state of one account. Accounts without an entry had full buckets, less the headroom.
type AccountMemory struct {
	ID                  uint64
	Plan, Spread, First int
	Balance             float64 // units left in its bucket, as far as this limiter knew
	Share               float64 // units left of this position's part of the ceiling
	Flow                float64 // units that other limiters admitted in the last second or so
	AtMs                float64 // when the entry was made, by the limiter's clock
	AgoMs               float64 // since then, by a monotonic clock; only if the limiter had not ended
}

// UsualMemory is the timeout that most attempts of a class have.
type UsualMemory struct {
	Ms    float64
	Votes float64
}

// PoolMemory is what was learned of a pool's servers together.
type PoolMemory struct {
	ID       uint64
	Work     []WorkMemory // by class
	Fit      [5]float64   // number of answers, and moving averages of load k and relative time y: k, y, kk, ky
	Worth    float64      // mean worth per unit of work
	Weight   float64      // number of requests in that mean
	Pressure float64      // moving average of the share of requests refused for lack of servers
}

// WorkMemory is the typical time in ms of a class on an idle server, and the number of answers behind it.
type WorkMemory struct{ Ms, Seen float64 }

// BoxMemory is what was learned of one server process.
type BoxMemory struct {
	ID      uint64
	ReadyAt float64 // start of the process; a memory does not apply to another process at the same address
	Spent   float64 // decayed sum of relative answer times
	Had     float64 // decayed number of answers
	Down    bool
	// BackMs is how long ago it answered again after it was down, as long as it counts as cold for that
	// and the server list does not say so; otherwise 0.
	BackMs float64
	Ills   []IllMemory // by class
}

// Slowness is the time that a server takes relative to the typical one; 1 without answers.
func (b *BoxMemory) Slowness() float64 { return (b.Spent + 1) / (b.Had + 1) }

// IllMemory is what was known of failures of a class at a server.
type IllMemory struct {
	Failures float64 // recent failures
	LeftMs   float64 // remaining time of the server's ejection for the class
}

// Remember returns what has been learned. It changes no state.
func (l *Limiter) Remember(now float64) *Memory {
	memory := &Memory{}
	for _, vote := range l.usualTimeout {
		memory.Usual = append(memory.Usual, UsualMemory{vote.ms, float64(vote.votes)})
	}
	for id, p := range l.pools {
		x := PoolMemory{ID: id, Fit: [5]float64{p.loadFit.count, p.loadFit.k, p.loadFit.y, p.loadFit.kk, p.loadFit.ky},
			Worth: p.worth, Weight: p.weighted, Pressure: p.pressure}
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
	records := make([]IllMemory, 0, len(l.servers)*len(l.cfg.Classes)) // in one allocation, for speed
	for _, srv := range l.servers {
		decay := math.Exp((srv.slownessAt - now) / slownessWindowMs)
		x := BoxMemory{ID: srv.info.ID, ReadyAt: srv.info.ReadyAt, Spent: srv.slownessSum * decay,
			Had: srv.slownessCount * decay, Down: srv.down}
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

// HandOver is Remember for a limiter that ends: it must not be given any event afterwards. The caller
// gets the accounts from [Limiter.Leave], in batches, so that it need not wait for all of them at once.
func (l *Limiter) HandOver(now float64) *Memory {
	memory := l.Remember(now)
	memory.Handover = &Handover{Position: l.cfg.Position, Balancers: l.cfg.Balancers,
		Plans: slices.Clone(l.cfg.Plans[:l.named]), KnownMs: now - l.knownSince, NowMs: now}
	l.handedOver, l.inheritedLeft = 0, nil
	if l.handover != nil && l.handover.HeadMs > 0 { // earlier spending of accounts unused here is unknown
		memory.Handover.KnownMs = min(memory.Handover.KnownMs, now-l.startedAt)
	} else {
		l.inheritedLeft = slices.Sorted(maps.Keys(l.inherited)) // they are passed on to the successor
	}
	return memory
}

// Leave returns the next accounts to hand over after [Limiter.HandOver], at most limit, and whether there
// are more.
func (l *Limiter) Leave(now float64, limit int) (accounts []AccountMemory, more bool) {
	accounts = make([]AccountMemory, 0, min(limit, len(l.accountList)-l.handedOver+len(l.inheritedLeft)))
	for ; len(accounts) < limit && l.handedOver < len(l.accountList); l.handedOver++ {
		acct := l.accountList[l.handedOver]
		if acct.spread == 0 || acct.plan >= l.named {
			continue // no request of it came here, or its plan is removed
		}
		l.refill(now, acct)
		accounts = append(accounts, l.accountMemory(now, acct))
	}
	for ; len(accounts) < limit && len(l.inheritedLeft) > 0; l.inheritedLeft = l.inheritedLeft[1:] {
		memory := l.inherited[l.inheritedLeft[0]]
		limits, seconds := l.cfg.Plans[memory.Plan], (now-l.inheritedAt)/1000
		memory.Balance = min(limits.Burst, memory.Balance+seconds*limits.Rate)
		memory.Share = min(limits.CeilingBurst/float64(memory.Spread),
			memory.Share+seconds*limits.CeilingRate/float64(memory.Spread))
		memory.AtMs = now
		accounts = append(accounts, memory)
	}
	return accounts, l.handedOver < len(l.accountList) || len(l.inheritedLeft) > 0
}

// takeOver starts with what the predecessor at this position has handed over. Its parts of the ceilings
// have been refilled since then, as nothing was spent from them.
func (l *Limiter) takeOver(now float64, state *Handover) {
	if state == nil || state.Position != l.cfg.Position || state.Balancers != l.cfg.Balancers ||
		!slices.Equal(state.Plans, l.cfg.Plans) ||
		!(state.KnownMs >= 0 && state.DownMs >= 0 && state.HeadMs >= 0) || len(l.accountList) > 0 {
		return
	}
	l.handover, l.inheritedAt = state, now-state.DownMs
	if state.HeadMs == 0 { // otherwise the last spending is unknown
		l.knownSince = now - state.DownMs - state.KnownMs
	}
	l.inherited = make(map[uint64]AccountMemory, len(state.Accounts))
	for _, account := range state.Accounts {
		if account.AtMs = now - state.DownMs; state.HeadMs > 0 {
			account.AtMs = now - max(0, account.AgoMs)
		}
		if account.Plan >= 0 && account.Plan < len(l.cfg.Plans) &&
			account.Spread >= 1 && account.Spread <= l.cfg.Balancers {
			l.inherited[account.ID] = account
		} else { // all that is known is that it was not full
			l.inherited[account.ID] = AccountMemory{ID: account.ID, Spread: 1, First: -1}
		}
	}
}

// resumeAccount restores the state of an account that is used here for the first time. Its balance is at
// most that of a new account, as other limiters may have spent meanwhile; the rest of what was left is
// withheld until the peers have answered.
func (l *Limiter) resumeAccount(now float64, acct *account) {
	if l.handover == nil || l.inherited == nil {
		return
	}
	limits, divisor := l.cfg.Plans[acct.plan], acct.ceilingDivisor()
	headroom := 0.0 // for spending that was not written
	if l.handover.HeadMs > 0 {
		headroom = reserve.Headroom(limits.CeilingRate, limits.CeilingBurst, l.handover.HeadMs) / divisor
	}
	memory, found := l.inherited[acct.id]
	if !found {
		if headroom > 0 {
			knownSince := l.inheritedAt - l.handover.KnownMs
			acct.ceilingBalance = max(acct.ceilingBalance,
				min(limits.CeilingBurst, limits.CeilingRate*(now-knownSince)/1000)/divisor-headroom)
		}
		return
	}
	delete(l.inherited, acct.id)
	seconds := (now - memory.AtMs) / 1000
	if memory.Plan != acct.plan || memory.Spread != acct.spread || memory.First != acct.first ||
		math.IsNaN(memory.Share) || math.IsNaN(memory.Balance) || !(seconds >= 0) {
		// Its plan or limiters have changed. It was not full, so it starts with what this limiter refilled.
		acct.ceilingBalance = min(acct.ceilingBalance, limits.CeilingRate*(now-l.startedAt)/1000/divisor)
		return
	}
	// The refill since this limiter started can't have been spent by the predecessor.
	ownRefill := min(limits.CeilingBurst, limits.CeilingRate*(now-l.startedAt)/1000) / divisor
	acct.ceilingBalance = max(ownRefill, min(limits.CeilingBurst/divisor-headroom,
		memory.Share+seconds*limits.CeilingRate/divisor))
	if acct.flow == 0 && plausible(memory.Flow) {
		acct.flow, acct.flowAt = min(memory.Flow, limits.Burst), memory.AtMs
	}
	if remaining := min(limits.Burst, memory.Balance+seconds*limits.Rate); !acct.levelKnown {
		acct.balance = min(acct.balance, remaining)
		acct.withheld = max(0, remaining-acct.balance)
	}
}

// expireInherited drops the inherited accounts once they would be full again, as a new record would start
// full too.
func (l *Limiter) expireInherited(now float64) {
	if l.accountWriter != nil {
		l.accountWriter.swept = 0
	}
	fullAfter := 0.0
	for _, limits := range l.cfg.Plans {
		fullAfter = max(fullAfter, limits.Burst/max(1e-9, limits.Rate),
			limits.CeilingBurst/max(1e-9, limits.CeilingRate)*btof(limits.CeilingRate > 0))
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

// discardInherited drops the inherited accounts because the plans have changed.
func (l *Limiter) discardInherited(now float64) {
	if l.inherited != nil {
		l.inherited, l.handover, l.knownSince = nil, nil, now
	}
}

// recall applies the memory of the predecessor. As it comes from a file, it is used only where this
// limiter has learned nothing itself, for server processes that are still the same, and where its figures
// are plausible.
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
			srv.ejections[i] = ejection{count: int(max(0, min(ejectAfter-1, ill.Failures))), lastFailureAt: now,
				until: now + max(0, min(ejectionMs, ill.LeftMs))}
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
	// Impossible averages are ignored, as the line fitted to them could be anything.
	fit := memory.Fit
	if plausible(fit[0]) && fit[1] >= 1 && plausible(fit[1]) && plausible(fit[2]) &&
		plausible(fit[3]) && plausible(fit[4]) && fit[3] >= fit[1]*fit[1]*(1-1e-9) {
		p.loadFit = loadFit{fit[0], fit[1], fit[2], fit[3], fit[4]}
	}
	if memory.Pressure > 0 && memory.Pressure <= 1 {
		p.pressure = memory.Pressure
	}
	if plausible(memory.Worth) && plausible(memory.Weight) {
		p.worth, p.weighted = memory.Worth, memory.Weight
	}
}

// plausible reports whether x is positive and in the range of learned values.
func plausible(x float64) bool { return x > 0 && x < 1e12 }
