package limiter

// Parts sets which parts of the ceilings this limiter owns from now on, as multiples of an equal part: of
// the accounts in Of, and of all others. The sender must make sure that the parts of all limiters together
// never exceed the ceiling, by reducing one limiter's part before it raises another's. Without Parts all
// parts are equal.
type Parts struct {
	ByAccount map[uint64]float64
	Default   float64
}

func (Parts) event() {}

// Demand is the demand seen here for one account with a ceiling.
type Demand struct {
	Account       uint64
	First, Spread int
	Asked         float64 // units requested since the account's record was created
	Largest       float64 // units of its largest request
	Burst         float64 // of the ceiling
}

// Demands returns the demand of all accounts with a ceiling whose requests have come here. It changes no
// state.
func (l *Limiter) Demands() (all []Demand) {
	for _, acct := range l.accountList {
		if limits := l.cfg.Plans[acct.plan]; acct.spread > 0 && limits.CeilingRate > 0 {
			all = append(all, Demand{acct.id, acct.first, acct.spread, acct.requested, acct.largestRequest,
				limits.CeilingBurst})
		}
	}
	return all
}

// ceilingPart is this limiter's part of an account's ceiling, relative to an equal part. The zero value is
// an equal part.
type ceilingPart struct {
	reduction    float64 // by how much it is below an equal part, as a multiple of one
	oldReduction float64 // the reduction before the part last grew
	grownAt      float64 // when the part last grew
}

// resized returns the part set to x times an equal part. When it grows, the balance that accounts without a
// record start with stays at the old part, so that the moved units are not spent by both the old and the
// new owner.
func (p ceilingPart) resized(now, x float64) ceilingPart {
	reduction := 1 - x
	if reduction < p.reduction {
		return ceilingPart{reduction, max(reduction, p.balanceReduction(now)), now}
	}
	return ceilingPart{reduction, max(reduction, p.oldReduction), p.grownAt}
}

// balanceReduction is by how much the balance that an account without a record starts with is below that
// of an equal part.
func (p ceilingPart) balanceReduction(now float64) float64 {
	if now-p.grownAt > accountIdleMs {
		return p.reduction
	}
	return p.oldReduction
}

// setParts applies other parts.
func (l *Limiter) setParts(now float64, e Parts) {
	old, oldDefault := l.ceilingParts, l.defaultPart
	previous := func(id uint64) ceilingPart {
		if p, ok := old[id]; ok {
			return p
		}
		return oldDefault
	}
	l.ceilingParts, l.defaultPart = make(map[uint64]ceilingPart, len(e.ByAccount)), oldDefault.resized(now, e.Default)
	for id, x := range e.ByAccount {
		l.ceilingParts[id] = previous(id).resized(now, x)
	}
	for id, p := range old { // back to the default; its start balance may differ for a while
		if x := p.resized(now, e.Default); !hasKey(e.ByAccount, id) &&
			(now-x.grownAt <= accountIdleMs || x.reduction != l.defaultPart.reduction) {
			l.ceilingParts[id] = x
		}
	}
	for _, acct := range l.accountList {
		if x := l.ceilingPartOf(acct.id); acct.spread > 0 && acct.reduction != x.reduction {
			l.refill(now, acct)
			acct.reduction = x.reduction
			acct.ceilingBalance = min(acct.ceilingBalance,
				l.cfg.Plans[acct.plan].CeilingBurst/acct.ceilingDivisor()-acct.leased)
		}
	}
}

func hasKey(parts map[uint64]float64, id uint64) bool {
	_, ok := parts[id]
	return ok
}

func (l *Limiter) ceilingPartOf(id uint64) ceilingPart {
	if p, ok := l.ceilingParts[id]; ok {
		return p
	}
	return l.defaultPart
}

// ceilingDivisor is the number by which the ceiling is divided to get this limiter's part.
func (a *account) ceilingDivisor() float64 { return float64(a.spread) / max(1e-6, 1-a.reduction) }

// initCeiling gives an account that is used here for the first time its part of the ceiling.
func (l *Limiter) initCeiling(now float64, acct *account) {
	limits, part := l.cfg.Plans[acct.plan], l.ceilingPartOf(acct.id)
	acct.reduction = part.reduction
	acct.ceilingBalance = min(limits.CeilingBurst, limits.CeilingRate*(now-l.knownSince)/1000) / acct.ceilingDivisor()
	l.resumeAccount(now, acct)
	acct.ceilingBalance = min(acct.ceilingBalance,
		limits.CeilingBurst*(1-part.balanceReduction(now))/float64(acct.spread))
}
