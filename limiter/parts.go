package limiter

// Parts says how much of the ceilings this gateway holds from now on, as multiples of an
// equal part: of some accounts, and of the rest. Whoever sends it sees to it that all
// gateways' parts together never come to more than the ceiling: one that is to hold less is
// told before one that is to hold more. Without it parts are equal.
type Parts struct {
	Of   map[uint64]float64
	Rest float64
}

func (Parts) event() {}

// Demand is what was asked for here of one account with a ceiling.
type Demand struct {
	Account       uint64
	First, Spread int
	Asked         float64 // units, since this gateway began or last forgot the account
	Largest       float64 // units of its largest request
	Burst         float64 // of the ceiling
}

// Demands are those of all accounts with ceilings whose requests have come here. Nothing
// changes by looking.
func (l *Limiter) Demands() (all []Demand) {
	for _, acct := range l.accountList {
		if limits := l.cfg.Plans[acct.plan]; acct.spread > 0 && limits.CeilingRate > 0 {
			all = append(all, Demand{acct.id, acct.first, acct.spread, acct.requested, acct.largestRequest, limits.CeilingBurst})
		}
	}
	return all
}

// part is a gateway's part of one account's ceiling, in equal ones. The zero value is one.
type ceilingPart struct {
	reduction    float64 // by so much it is below an equal one
	oldReduction float64 // and was before it last grew
	grownAt      float64 // when it did
}

// becomes is a part that is to be x. What is saved up without a record of one that grows
// stays what it was, so that what moves is not spent by its old holder and by its new one.
func (p ceilingPart) resized(now, x float64) ceilingPart {
	reduction := 1 - x
	if reduction < p.reduction {
		return ceilingPart{reduction, max(reduction, p.balanceReduction(now)), now}
	}
	return ceilingPart{reduction, max(reduction, p.oldReduction), p.grownAt}
}

// saved is by how much what an account without a record has saved up is below an equal part's.
func (p ceilingPart) balanceReduction(now float64) float64 {
	if now-p.grownAt > accountIdleMs {
		return p.reduction
	}
	return p.oldReduction
}

// moved has other parts hold.
func (l *Limiter) setParts(now float64, e Parts) {
	old, oldDefault := l.ceilingParts, l.defaultPart
	previous := func(id uint64) ceilingPart {
		if p, ok := old[id]; ok {
			return p
		}
		return oldDefault
	}
	l.ceilingParts, l.defaultPart = make(map[uint64]ceilingPart, len(e.Of)), oldDefault.resized(now, e.Rest)
	for id, x := range e.Of {
		l.ceilingParts[id] = previous(id).resized(now, x)
	}
	for id, p := range old { // back among the rest, but for what it has saved up
		if x := p.resized(now, e.Rest); !hasKey(e.Of, id) && (now-x.grownAt <= accountIdleMs || x.reduction != l.defaultPart.reduction) {
			l.ceilingParts[id] = x
		}
	}
	for _, acct := range l.accountList {
		if x := l.ceilingPartOf(acct.id); acct.spread > 0 && acct.reduction != x.reduction {
			l.refill(now, acct)
			acct.reduction = x.reduction
			acct.ceilingBalance = min(acct.ceilingBalance, l.cfg.Plans[acct.plan].CeilingBurst/acct.ceilingDivisor()-acct.leased)
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

// among is among how many equal parts the ceiling would be divided to get this gateway's.
func (a *account) ceilingDivisor() float64 { return float64(a.spread) / max(1e-6, 1-a.reduction) }

// begin gives an account that joins here its part of the ceiling.
func (l *Limiter) initCeiling(now float64, acct *account) {
	limits, part := l.cfg.Plans[acct.plan], l.ceilingPartOf(acct.id)
	acct.reduction = part.reduction
	acct.ceilingBalance = min(limits.CeilingBurst, limits.CeilingRate*(now-l.knownSince)/1000) / acct.ceilingDivisor()
	l.resumeAccount(now, acct)
	acct.ceilingBalance = min(acct.ceilingBalance, limits.CeilingBurst*(1-part.balanceReduction(now))/float64(acct.spread))
}
