package limiter

import "slices"

const (
	accountIdleMs = 15000.0 // an idle account with full buckets is dropped after this
)

// accountOf returns the record of an account, created on first use. A new one starts with the burst
// divided by its limiters, plus the refill since the start; the rest is withheld until peers answer.
func (l *Limiter) accountOf(now float64, id uint64, plan, spread int) *account {
	acct := l.accounts[id]
	if acct == nil {
		acct = &account{id: id, plan: plan, refilledAt: now, lastSeenAt: now,
			limitsOutstanding: l.cfg.Plans[plan].AtOnce > 0}
		limits, limiters := l.cfg.Plans[plan], float64(max(1, min(spread, l.cfg.Balancers)))
		acct.balance = min(limits.Burst, limits.Burst/limiters+limits.Rate*(now-l.startedAt)/1000)
		acct.withheld = limits.Burst - acct.balance
		l.accounts[id] = acct
		l.accountList = append(l.accountList, acct)
	}
	return acct
}

// releaseWithheld grants the withheld part of a burst once all peers of the account have answered the
// sync request: what they didn't report is unspent. If one stays silent, only the refill restores it.
func (l *Limiter) releaseWithheld(acct *account) {
	if acct.withheld == 0 || acct.usesAggregators() && !l.neighborSynced || !acct.usesAggregators() &&
		slices.ContainsFunc(acct.recipients, func(i int) bool { return !l.peers[i].synced }) {
		return
	}
	acct.balance, acct.publishedLevel, acct.withheld = min(l.cfg.Plans[acct.plan].Burst,
		acct.balance+acct.withheld), acct.publishedLevel+acct.withheld, 0
}

// refill brings an account's bucket and its part of the ceiling up to date.
func (l *Limiter) refill(now float64, acct *account) {
	limits, seconds := l.cfg.Plans[acct.plan], (now-acct.refilledAt)/1000
	acct.refilledAt = now
	// Leased units keep their place in the buckets: an account that leases its whole balance must not
	// be refilled as much again while the leases are open.
	acct.balance += seconds * limits.Rate
	excess := max(0, acct.balance-(limits.Burst-acct.leased))
	acct.balance, acct.discarded = acct.balance-excess, acct.discarded+excess
	if divisor := acct.ceilingDivisor(); divisor > 0 {
		acct.ceilingBalance = min(limits.CeilingBurst/divisor-acct.leased,
			acct.ceilingBalance+seconds*limits.CeilingRate/divisor)
	}
}

// checkQuota reports whether the quota and the ceiling have room; if not, waitMs is the time until
// they will have, as far as this limiter knows.
func (l *Limiter) checkQuota(acct *account, units float64, vouched bool) (waitMs float64, ok bool) {
	limits := l.cfg.Plans[acct.plan]
	// With many limiters, others admit requests not known here yet: below the published margin, fewer
	// pass the lower the balance is. A full bucket has no margin.
	if limits.Rate > 0 && !vouched &&
		acct.balance < units+min(acct.margin, limits.Burst-acct.balance)*l.rng.Float64() {
		waitMs = (units - acct.balance) / limits.Rate * 1000
	}
	// The ceiling is enforced by escrow: each of the account's limiters owns a part of its burst and
	// rate, equal or set by [Parts], so that the sum never exceeds it, whatever messages are lost or
	// late. A limiter that starts has nothing saved up.
	if available := l.spendable(acct); limits.CeilingRate > 0 && available < units {
		waitMs = max(waitMs, (units-available)/limits.CeilingRate*acct.ceilingDivisor()*1000)
	}
	if limits.AtOnce > 0 && acct.totalOutstanding() >= limits.AtOnce {
		waitMs = max(waitMs, tickMs)
	}
	return waitMs, waitMs == 0
}

// spend takes the units of an admitted request; retries spend nothing.
func (l *Limiter) spend(now float64, acct *account, units float64) {
	acct.balance, acct.ceilingBalance, acct.spent = acct.balance-units, acct.ceilingBalance-units,
		acct.spent+units
	acct.lastSpentAt, acct.lastSpentUnits = now, units
	l.markDirty(acct)
}

// settle ends a lease. A refund is at most what is leased, which has kept its place in the buckets.
func (l *Limiter) settle(acct *account, units float64, back bool) {
	if units = min(units, acct.leased); units <= 0 {
		return
	}
	if acct.leased -= units; back {
		acct.balance, acct.ceilingBalance, acct.spent = acct.balance+units, acct.ceilingBalance+units,
			acct.spent-units
		l.markDirty(acct)
	}
}

// dropIdleAccounts drops accounts that are idle and whose bucket and part of the ceiling are full: a
// new record would start full too. This bounds memory when many accounts come only once.
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
