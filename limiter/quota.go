package limiter

import "slices"

const (
	accountIdleMs = 15000.0 // an idle customer with full stores is forgotten after this
)

// customerOf returns the record of a customer, made on first sight. One not
// seen before starts with the burst split over its gateways, refilled since
// this gateway started; the rest is held back until its peers are heard.
func (l *Limiter) accountOf(now float64, id uint64, plan, spread int) *account {
	acct := l.accounts[id]
	if acct == nil {
		acct = &account{id: id, plan: plan, refilledAt: now, lastSeenAt: now, limitsOutstanding: l.cfg.Plans[plan].AtOnce > 0}
		limits, limiters := l.cfg.Plans[plan], float64(max(1, min(spread, l.cfg.Balancers)))
		acct.balance = min(limits.Burst, limits.Burst/limiters+limits.Rate*(now-l.startedAt)/1000)
		acct.withheld = limits.Burst - acct.balance
		l.accounts[id] = acct
		l.accountList = append(l.accountList, acct)
	}
	return acct
}

// release grants what was held back of an unseen customer's burst once all
// its peers have answered this gateway's question: what they did not tell of
// has not been spent. Silence of any of them leaves it to the refill.
func (l *Limiter) releaseWithheld(acct *account) {
	if acct.withheld == 0 || acct.usesAggregators() && !l.neighborSynced ||
		!acct.usesAggregators() && slices.ContainsFunc(acct.recipients, func(i int) bool { return !l.peers[i].synced }) {
		return
	}
	acct.balance, acct.publishedLevel, acct.withheld = min(l.cfg.Plans[acct.plan].Burst, acct.balance+acct.withheld), acct.publishedLevel+acct.withheld, 0
}

// refill brings a customer's bucket and its part of the ceiling up to date.
func (l *Limiter) refill(now float64, acct *account) {
	limits, seconds := l.cfg.Plans[acct.plan], (now-acct.refilledAt)/1000
	acct.refilledAt = now
	// What is leased keeps its place, as if it were taken only when it is used: an
	// account that leases all it has must not get as much again meanwhile.
	acct.balance += seconds * limits.Rate
	excess := max(0, acct.balance-(limits.Burst-acct.leased))
	acct.balance, acct.discarded = acct.balance-excess, acct.discarded+excess
	if divisor := acct.ceilingDivisor(); divisor > 0 {
		acct.ceilingBalance = min(limits.CeilingBurst/divisor-acct.leased, acct.ceilingBalance+seconds*limits.CeilingRate/divisor)
	}
}

// allows tells whether the quota and the ceiling have room; if not, wait is
// the time until they will have, as far as known here.
func (l *Limiter) checkQuota(acct *account, units float64, vouched bool) (waitMs float64, ok bool) {
	limits := l.cfg.Plans[acct.plan]
	// In a large set others pass what is not known here yet: below the margin told
	// with a level, the lower it is the less passes. A full bucket has no margin.
	if limits.Rate > 0 && !vouched && acct.balance < units+min(acct.margin, limits.Burst-acct.balance)*l.rng.Float64() {
		waitMs = (units - acct.balance) / limits.Rate * 1000
	}
	// The ceiling is held by escrow: each gateway of the set owns an equal
	// part of its store and rate, or what [Parts] says, so that the sum of all never exceeds it,
	// whatever is lost or late. A starting gateway begins with nothing.
	if available := l.spendable(acct); limits.CeilingRate > 0 && available < units {
		waitMs = max(waitMs, (units-available)/limits.CeilingRate*acct.ceilingDivisor()*1000)
	}
	if limits.AtOnce > 0 && acct.totalOutstanding() >= limits.AtOnce {
		waitMs = max(waitMs, tickMs)
	}
	return waitMs, waitMs == 0
}

// spend takes units that this gateway lets through. Only the first attempt
// of a request spends.
func (l *Limiter) spend(now float64, acct *account, units float64) {
	acct.balance, acct.ceilingBalance, acct.spent = acct.balance-units, acct.ceilingBalance-units, acct.spent+units
	acct.lastSpentAt, acct.lastSpentUnits = now, units
	l.markDirty(acct)
}

// settle ends a lease. What comes back is no more than was taken, and fits below
// the caps, as its place was kept.
func (l *Limiter) settle(acct *account, units float64, back bool) {
	if units = min(units, acct.leased); units <= 0 {
		return
	}
	if acct.leased -= units; back {
		acct.balance, acct.ceilingBalance, acct.spent = acct.balance+units, acct.ceilingBalance+units, acct.spent-units
		l.markDirty(acct)
	}
}

// forget drops customers that are idle and whose bucket and part of the ceiling are
// full again: a new record would start full too. Guards against growing with every
// customer that comes once.
func (l *Limiter) dropIdleAccounts(now float64) {
	idle := func(acct *account) bool {
		l.refill(now, acct)
		limits := l.cfg.Plans[acct.plan]
		return acct.outstanding == 0 && acct.leased == 0 && !acct.dirty &&
			now-acct.lastSeenAt >= accountIdleMs && now-l.startedAt > accountIdleMs &&
			acct.balance >= limits.Burst && (acct.spread == 0 || limits.CeilingRate <= 0 ||
			acct.ceilingBalance*acct.ceilingDivisor() >= limits.CeilingBurst*(1-1e-9))
	}
	l.expireInherited(now)
	l.aggregated = slices.DeleteFunc(l.aggregated, idle)
	l.accountList = slices.DeleteFunc(l.accountList, func(acct *account) bool {
		drop := idle(acct)
		if drop {
			delete(l.accounts, acct.id)
			l.droppedAccounts = true
		}
		l.noteSwept(!drop)
		return drop
	})
}
