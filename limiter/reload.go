package limiter

import "slices"

// updatePlans derives the state that depends on the plans.
func (l *Limiter) updatePlans() {
	worth := 0.0
	l.anyOutstandingLimit, l.pauseFactors, l.named = false, nil, len(l.cfg.Plans)
	for _, limits := range l.cfg.Plans {
		l.anyOutstandingLimit = l.anyOutstandingLimit || limits.AtOnce > 0
		worth += limits.Rate * limits.Price / float64(len(l.cfg.Plans))
	}
	for _, limits := range l.cfg.Plans { // updates matter most for valuable plans with short bursts
		rate := max(1e-9, limits.Rate)
		l.pauseFactors = append(l.pauseFactors,
			max(0.1, min(4, limits.Burst/rate/4*worth/max(1e-9, rate*limits.Price))))
	}
}

// reconfigure applies other classes and plans. An account keeps its balance, up to the new burst, and
// its part of the ceiling, up to the new part; one that had no ceiling starts with none saved up. A
// pending request keeps a removed class until it ends, and an account a removed plan until a request
// names another plan or it is dropped. Requests can't name what is removed, and peers don't learn of it.
func (l *Limiter) reconfigure(now float64, e Reconfigure) {
	old := l.cfg
	s := &e.Settings
	l.discardInherited(now)
	l.cfg.Classes, l.cfg.Plans = slices.Clone(s.Classes), s.Plans
	l.cfg.Rules, l.cfg.CrossPrice, l.cfg.Spills = s.Rules, s.CrossPrice, s.Spills
	l.cfg.Caps.Attempts, l.cfg.Caps.RetryAfter = s.Caps.Attempts, s.Caps.RetryAfter
	l.cfg.Caps.MaxWaitMs, l.cfg.Caps.ConnectMs = s.Caps.MaxWaitMs, s.Caps.ConnectMs
	l.updatePlans()
	l.cfg.Plans = slices.Clone(l.cfg.Plans)
	l.plansChanged(old.Plans, e.Plans)
	classes, plans := newIndexes(e.Classes, len(old.Classes)), newIndexes(e.Plans, len(old.Plans))
	for _, id := range l.sortedRequests() {
		req := l.requests[id]
		if classes[req.class] < 0 {
			classes[req.class] = len(l.cfg.Classes)
			l.cfg.Classes = append(l.cfg.Classes, old.Classes[req.class])
		}
		req.class = classes[req.class]
	}
	for _, acct := range l.accountList {
		p := old.Plans[acct.plan]
		s := (now - acct.refilledAt) / 1000 // up to now by the old plan
		acct.balance = min(p.Burst-acct.leased, acct.balance+s*p.Rate)
		if n := acct.ceilingDivisor(); n > 0 {
			acct.ceilingBalance = min(p.CeilingBurst/n-acct.leased, acct.ceilingBalance+s*p.CeilingRate/n)
		}
		acct.refilledAt = now
		if plans[acct.plan] < 0 {
			plans[acct.plan] = len(l.cfg.Plans)
			l.cfg.Plans, l.pauseFactors = append(l.cfg.Plans, p), append(l.pauseFactors, 1)
		}
		acct.plan = plans[acct.plan]
		acct.limitsOutstanding = l.cfg.Plans[acct.plan].AtOnce > 0
		l.refill(now, acct)
	}
	unnamed := func(acct *account) bool { return acct.plan >= l.named }
	l.aggregated = slices.DeleteFunc(l.aggregated, unnamed)
	l.dirty = slices.DeleteFunc(l.dirty, func(acct *account) bool {
		acct.dirty = !unnamed(acct)
		return !acct.dirty
	})
	l.setTiers()
	n := len(l.cfg.Classes)
	l.usualTimeout = remap(l.usualTimeout, classes, n)
	for _, p := range l.pools {
		p.typicalMs, p.answers = remap(p.typicalMs, classes, n), remap(p.answers, classes, n)
	}
	for _, s := range l.servers {
		s.ejections = remap(s.ejections, classes, n)
	}
}
