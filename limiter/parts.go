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
	for _, c := range l.listed {
		if p := l.cfg.Plans[c.plan]; c.spread > 0 && p.CeilingRate > 0 {
			all = append(all, Demand{c.id, c.first, c.spread, c.asked, c.largest, p.CeilingBurst})
		}
	}
	return all
}

// part is a gateway's part of one account's ceiling, in equal ones. The zero value is one.
type part struct {
	less float64 // by so much it is below an equal one
	low  float64 // and was before it last grew
	grew float64 // when it did
}

// becomes is a part that is to be x. What is saved up without a record of one that grows
// stays what it was, so that what moves is not spent by its old holder and by its new one.
func (p part) becomes(now, x float64) part {
	less := 1 - x
	if less < p.less {
		return part{less, max(less, p.saved(now)), now}
	}
	return part{less, max(less, p.low), p.grew}
}

// saved is by how much what an account without a record has saved up is below an equal part's.
func (p part) saved(now float64) float64 {
	if now-p.grew > forgetMs {
		return p.less
	}
	return p.low
}

// moved has other parts hold.
func (l *Limiter) moved(now float64, e Parts) {
	old, rest := l.parts, l.others
	was := func(id uint64) part {
		if p, ok := old[id]; ok {
			return p
		}
		return rest
	}
	l.parts, l.others = make(map[uint64]part, len(e.Of)), rest.becomes(now, e.Rest)
	for id, x := range e.Of {
		l.parts[id] = was(id).becomes(now, x)
	}
	for id, p := range old { // back among the rest, but for what it has saved up
		if x := p.becomes(now, e.Rest); !has(e.Of, id) && (now-x.grew <= forgetMs || x.less != l.others.less) {
			l.parts[id] = x
		}
	}
	for _, c := range l.listed {
		if x := l.partOf(c.id); c.spread > 0 && c.less != x.less {
			l.refill(now, c)
			c.less = x.less
			c.share = min(c.share, l.cfg.Plans[c.plan].CeilingBurst/c.among()-c.leased)
		}
	}
}

func has(of map[uint64]float64, id uint64) bool {
	_, ok := of[id]
	return ok
}

func (l *Limiter) partOf(id uint64) part {
	if p, ok := l.parts[id]; ok {
		return p
	}
	return l.others
}

// among is among how many equal parts the ceiling would be divided to get this gateway's.
func (c *customer) among() float64 { return float64(c.spread) / max(1e-6, 1-c.less) }

// begin gives an account that joins here its part of the ceiling.
func (l *Limiter) begin(now float64, c *customer) {
	p, x := l.cfg.Plans[c.plan], l.partOf(c.id)
	c.less = x.less
	c.share = min(p.CeilingBurst, p.CeilingRate*(now-l.knownFrom)/1000) / c.among()
	l.resume(now, c)
	c.share = min(c.share, p.CeilingBurst*(1-x.saved(now))/float64(c.spread))
}
