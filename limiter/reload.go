package limiter

import "slices"

// weighPlans sets what follows from the plans.
func (l *Limiter) weighPlans() {
	worth := 0.0
	l.anyOut, l.patience, l.named = false, nil, len(l.cfg.Plans)
	for _, p := range l.cfg.Plans {
		l.anyOut = l.anyOut || p.AtOnce > 0
		worth += p.Rate * p.Price / float64(len(l.cfg.Plans))
	}
	for _, p := range l.cfg.Plans { // telling earns by worth, and where bursts are short
		rate := max(1e-9, p.Rate)
		l.patience = append(l.patience, max(0.1, min(4, p.Burst/rate/4*worth/max(1e-9, rate*p.Price))))
	}
}

// reconfigure has other classes and plans hold. An account keeps what is left of its
// balance, up to the new burst, and its part of the ceiling, up to the new part: one
// that had no ceiling begins with nothing of it. What is in hand keeps a class that is
// gone until it has ended, and an account a plan that is gone until it comes with
// another one or is forgotten; requests can't name them, and peers are not told of them.
func (l *Limiter) reconfigure(now float64, e Reconfigure) {
	old := l.cfg
	s := &e.Settings
	l.forgo(now)
	l.cfg.Classes, l.cfg.Plans = slices.Clone(s.Classes), s.Plans
	l.cfg.Rules, l.cfg.CrossPrice, l.cfg.Spills = s.Rules, s.CrossPrice, s.Spills
	l.cfg.Caps.Attempts, l.cfg.Caps.RetryAfter = s.Caps.Attempts, s.Caps.RetryAfter
	l.cfg.Caps.MaxWaitMs, l.cfg.Caps.ConnectMs = s.Caps.MaxWaitMs, s.Caps.ConnectMs
	l.weighPlans()
	l.cfg.Plans = slices.Clone(l.cfg.Plans)
	l.replan(old.Plans, e.Plans)
	classes, plans := places(e.Classes, len(old.Classes)), places(e.Plans, len(old.Plans))
	for _, id := range l.sortedRequests() {
		r := l.requests[id]
		if classes[r.class] < 0 {
			classes[r.class] = len(l.cfg.Classes)
			l.cfg.Classes = append(l.cfg.Classes, old.Classes[r.class])
		}
		r.class = classes[r.class]
	}
	for _, c := range l.listed {
		p := old.Plans[c.plan]
		s := (now - c.at) / 1000 // to now by the plan that held
		c.balance = min(p.Burst-c.leased, c.balance+s*p.Rate)
		if n := c.among(); n > 0 {
			c.share = min(p.CeilingBurst/n-c.leased, c.share+s*p.CeilingRate/n)
		}
		c.at = now
		if plans[c.plan] < 0 {
			plans[c.plan] = len(l.cfg.Plans)
			l.cfg.Plans, l.patience = append(l.cfg.Plans, p), append(l.patience, 1)
		}
		c.plan = plans[c.plan]
		c.countsOut = l.cfg.Plans[c.plan].AtOnce > 0
		l.refill(now, c)
	}
	unnamed := func(c *customer) bool { return c.plan >= l.named }
	l.kept = slices.DeleteFunc(l.kept, unnamed)
	l.dirty = slices.DeleteFunc(l.dirty, func(c *customer) bool {
		c.dirty = !unnamed(c)
		return !c.dirty
	})
	l.setTiers()
	n := len(l.cfg.Classes)
	l.usual = remap(l.usual, classes, n)
	for _, p := range l.pools {
		p.work, p.seen = remap(p.work, classes, n), remap(p.seen, classes, n)
	}
	for _, s := range l.order {
		s.ills = remap(s.ills, classes, n)
	}
}
