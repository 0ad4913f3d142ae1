package limiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"example.org/madderdrum/peering"
	"example.org/madderdrum/reserve"
	"example.org/madderdrum/routing"
)

// Limiter decides for one gateway. Make one with [New]; it is not safe for
// concurrent use.
type Limiter struct {
	cfg       Settings
	rng       *rand.Rand
	mark      uint32 // this incarnation
	started   bool
	startedAt float64
	knownFrom float64                  // since when all that was spent through this position is known
	parts     map[uint64]part          // of ceilings, where they are not the rest
	others    part                     // and of the rest
	resumed   map[uint64]AccountMemory // of the limiter before this one, not come back yet
	from      *Handover                // that they are part of
	resumedAt float64                  // when that one ended, or last told of all
	left      int                      // accounts listed that a limiter that hands over has told
	rest      []uint64                 // those of the one before it that it has still to tell
	reserving *reserving               // nil: accounts are not written down while this one runs
	sweptAt   float64
	anyOut    bool // some plan limits attempts out

	servers   map[uint64]*server
	order     []*server // by id
	requests  map[string]*request
	customers map[uint64]*customer
	listed    []*customer // in order of appearance
	kept      []*customer // those whose level this gateway tells
	dirty     []*customer // those with something untold
	peers     []peer
	forgot    bool           // records have been dropped
	elder     bool           // a peer that is older has been heard
	briefed   bool           // a neighbour has told the levels it knows
	turn      int            // the peer that is told first
	budget    peering.Budget // of messages
	patience  []float64      // of each plan: factor on it

	pools     map[uint64]*pool
	tiered    []uint64 // of them those with tiers
	named     int      // plans that requests can name; behind them those that are gone
	usual     []usual
	marked    bool    // clients mark their retries
	retries   float64 // further attempts saved up
	eventAt   float64
	wokeAt    float64 // when this gateway last went on after standing still
	hintPause float64
	hintAt    float64 // when the next hint may be given
	out       []Action
}

// pool is a set of servers that takes requests of its own, and what is learnt of them
// together. A server is in one pool.
type pool struct {
	order          []*server      // by id
	tiers          *routing.Tiers // nil: all servers are one
	byTier         [][]*server
	work           []float64 // typical ms of a class alone on a server
	seen           []float64 // answers of a class
	fit            fit
	pressure       float64 // share refused for lack of servers, of late
	worth, weighed float64 // mean worth for work; requests in it
	inflight       int     // attempts out
	can            float64 // servers that are up, each by its warmth
	sends, sendsAt float64 // attempts in the last illMs / 2 or so
	failed         float64 // share of answers that fail, of late
}

type server struct {
	info         ServerInfo
	pool         *pool
	inflight     int
	others       float64 // in hand there beside them, as told
	slots        float64 // what it works on at once, as told with them
	spent, had   float64 // decayed sums: times taken against the typical, and answers
	statAt       float64
	cold, coldAt float64 // saved up for one request while it is cold
	noRoute      int     // failed connects in a row
	backAt       float64 // when it answered again after it was down, of which the list may not tell
	down         bool
	fullTo       float64
	waitingAt    float64 // since when it owes an answer
	probedAt     float64
	ills         []illness // by class
}

// illness is what is known of failures of one class at a server.
type illness struct {
	n      int
	at, to float64
	rounds int // times that it failed anew soon after it was used again
}

type request struct {
	id       string
	class    int
	units    float64
	customer *customer
	pool     *pool
	most     int // attempts
	aimAt    float64
	factor   float64 // by what it is worth: how much of its spare time it may wait
	advice   Advice
	endsAt   float64
	attempts []attempt
	live     int     // attempts out
	ran      *server // where an attempt may have run first
	ranInfo  ServerInfo
	ranAt    float64
	stream   bool
}

type attempt struct {
	server *server
	sentAt float64
	load   float64
	over   bool
}

type customer struct {
	id      uint64
	plan    int
	spread  int // 0 until one of its requests came here
	first   int
	balance float64
	idle    float64 // refill that a full bucket let go, less what has repaid spending told late
	share   float64 // this gateway's part of the ceiling's store
	less    float64 // by so much it is smaller than an equal one, in those
	asked   float64 // units
	largest float64 // units of its largest request
	at      float64 // when both were last refilled
	seenAt  float64
	spent   float64 // units passed here
	leased  float64 // of them what is out on leases; it keeps its place in both stores
	out     int
	seeded  bool    // a peer has told its level
	named   bool    // a request here has named its plan
	held    float64 // part of the burst not granted until peers are heard
	views   []view  // of the gateways heard of or told

	margin    float64 // told with the level: below it, less passes
	flow      float64 // units heard of in the last second or so
	flowAt    float64
	tells     []int // gateways told of what passes here
	dirty     bool
	countsOut bool // the plan limits attempts out
	keeper    bool // this gateway tells the set the level ...
	rank      int  // ... in this order
	told      float64
	toldAt    float64
	pressed   int              // ticks for which the set has believed in more
	spentAt   float64          // the last spending here ...
	lastUnits float64          // ... and its units
	reserve   *reserve.Account // what is written down of its share; nil: it is not named
	unwritten bool             // it has spent since
}

// view is what this gateway and one peer know of each other's spending.
type view struct {
	peer    int
	mark    uint32
	heard   uint64 // told by the peer, in steps
	seq     uint64
	heardAt float64 // when it last told of the account ...
	idle    float64 // ... and what refill had been let go by then
	out     int
	told    uint64 // told to the peer
	before  uint64 // what it was told before that
	toldOut int
	again   bool // told once, to be told again
}

type peer struct {
	mark, old  uint32
	seq        uint64
	levelled   bool // has told us its levels
	answeredAt float64
	due        []*customer // to be told with this tick
}

// fit holds moving averages of load k and time y of answers.
type fit struct{ n, k, y, kk, ky float64 }

// usual is the time that clients give most tries of a class.
type usual struct {
	ms    float64
	votes int
}

// add notes one answer's load and time.
func (f *fit) add(k, y, least float64) {
	f.n++
	w := max(least, 1/f.n)
	f.k += w * (k - f.k)
	f.y += w * (y - f.y)
	f.kk += w * (k*k - f.kk)
	f.ky += w * (k*y - f.ky)
}

// decayStat fades the sums of what a server took.
func (s *server) decayStat(now, over float64) {
	if now == s.statAt {
		return
	}
	f := math.Exp((s.statAt - now) / over)
	s.spent, s.had, s.statAt = s.spent*f, s.had*f, now
}

// recent is the number of attempts sent of late.
func (p *pool) recent(now float64) float64 {
	if now != p.sendsAt { // it is asked for each server of a choice
		p.sends, p.sendsAt = p.sends*math.Exp((p.sendsAt-now)*2/illMs), now
	}
	return p.sends
}

// back settles the counts of an attempt that is no longer out.
func (l *Limiter) back(r *request, a *attempt) {
	a.over = true
	r.live--
	r.customer.out--
	a.server.inflight--
	a.server.pool.inflight--
}

// provesUnrun tells whether a result shows that nothing ran.
func provesUnrun(r Result) bool { return r == NoRoom || r == NoRoute || r == StaleSend }

// outAll is the number of a customer's attempts out, as far as known.
func (c *customer) outAll() int {
	n := c.out
	for i := range c.views {
		n += c.views[i].out
	}
	return n
}

// newServer is the record of a server process of which nothing is known.
func (l *Limiter) newServer(now float64, p *pool, inflight int) *server {
	return &server{pool: p, inflight: inflight, waitingAt: now, cold: l.rng.Float64(), coldAt: now,
		ills: make([]illness, len(l.cfg.Classes))}
}

// poolOf is the pool of a number, made on first sight.
func (l *Limiter) poolOf(id uint64) *pool {
	p := l.pools[id]
	if p == nil {
		n := len(l.cfg.Classes)
		p = &pool{work: make([]float64, n), seen: make([]float64, n)}
		l.pools[id] = p
		l.setTiers()
	}
	return p
}

// tierOf is the tier of a server, in a pool with tiers.
func (p *pool) tierOf(s *server) int { return max(0, min(s.info.Tier, len(p.byTier)-1)) }

// TierState is a tier of a pool as this limiter sees it.
type TierState struct {
	Pool uint64
	Tier int
	routing.State
}

// Tiers returns those of all pools that have tiers, in the order of pools and ranks.
func (l *Limiter) Tiers(now float64) (all []TierState) {
	for _, id := range l.tiered {
		if p := l.pools[id]; p != nil && p.tiers != nil {
			for k := range p.tiers.Len() {
				all = append(all, TierState{id, k, p.tiers.State(now, k)})
			}
		}
	}
	return all
}

// Glance is what a limiter knows of an account and a pool, for those that advise on a
// request: the units that the account has left here, and the share of requests that the
// pool refused of late for want of servers. Nothing changes by looking.
func (l *Limiter) Glance(now float64, account uint64, plan int, pool uint64) (balance, pressure float64) {
	if p := l.pools[pool]; p != nil {
		pressure = p.pressure
	}
	if plan < 0 || plan >= len(l.cfg.Plans) {
		return 0, pressure
	}
	c := l.customers[account]
	if c == nil {
		return l.cfg.Plans[plan].Burst, pressure
	}
	p := l.cfg.Plans[c.plan]
	return min(p.Burst-c.leased, c.balance+(now-c.at)/1000*p.Rate), pressure
}

// sortedRequests lists the requests in hand in an order that is always the same.
func (l *Limiter) sortedRequests() []string {
	ids := make([]string, 0, len(l.requests))
	for id := range l.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// steps is what peers are told of a customer's spending: it never falls, a
// refund nets against later spending.
func (c *customer) steps(told uint64) uint64 {
	return max(told, uint64(max(0, math.Round(c.spent*unitScale))))
}

// view is the record of one peer, made on first use.
func (c *customer) view(i int) *view {
	for k := range c.views {
		if c.views[k].peer == i {
			return &c.views[k]
		}
	}
	c.views = append(c.views, view{peer: i})
	return &c.views[len(c.views)-1]
}

// owes tells whether there is something to tell a peer.
func (c *customer) owes(i int) bool {
	v := c.view(i)
	return v.again || c.steps(v.told) != v.told || c.out != v.toldOut && c.countsOut
}

// seed sets a level that is told or taken over.
func (c *customer) seed(now, level float64) {
	c.balance, c.seeded, c.held, c.told, c.toldAt = level, true, 0, level, now
}

// large tells that a customer has too many gateways to tell each of them.
func (c *customer) large() bool { return c.spread > directMost+1 && !c.countsOut }

// apart is how many places lie between this gateway and another, either way round.
func (l *Limiter) apart(i int) int {
	d := i - l.cfg.Position
	return min(max(d, -d), l.cfg.Balancers-max(d, -d))
}

// press is how much spending of late weighs against what is left.
func (c *customer) press() float64 { return (c.lastUnits + 1) / max(1, c.balance) }

// sound tells whether all that a message names can be.
func (l *Limiter) sound(m *peerMsg) bool {
	kinds := len(l.cfg.Plans)
	if m.flags&flagIll != 0 {
		kinds = len(l.cfg.Classes)
	}
	for _, e := range m.entries {
		if e.plan >= uint64(kinds) || m.flags&flagNews == 0 &&
			(e.spread < 1 || e.spread > uint64(len(l.peers)) || e.first >= uint64(len(l.peers))) {
			return false
		}
	}
	return true
}

// entry is what is told of a customer to a peer that was told so much before.
func (l *Limiter) entry(now float64, c *customer, told uint64) peerEntry {
	l.refill(now, c)
	spent := c.steps(told)
	return peerEntry{customer: c.id, plan: uint64(c.plan), spread: uint64(c.spread), first: uint64(c.first),
		spent: spent, fresh: spent - told, level: int64(math.Floor((c.balance + c.held) * unitScale)),
		margin: uint64(c.margin * unitScale), out: uint64(c.out)}
}

// tellSet sends a message to n gateways in a row and returns how many of its
// entries went in.
func (l *Limiter) tellSet(m peerMsg, first, n int) int {
	data, k := m.encode()
	for j := range n {
		if i := (first + j) % len(l.peers); i != l.cfg.Position {
			l.do(Tell{To: i, Data: data})
		}
	}
	return k
}

// fade brings the flow up to date.
func (c *customer) fade(now float64) {
	c.flow, c.flowAt = c.flow*math.Exp((c.flowAt-now)/1000), now
}

// stir puts a customer on the list of those with something untold.
func (l *Limiter) stir(c *customer) {
	l.touch(c)
	if !c.dirty && l.cfg.Caps.Peers && c.plan < l.named {
		c.dirty = true
		l.dirty = append(l.dirty, c)
	}
}

// mix scatters a number over all bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// do adds an action to the reply.
func (l *Limiter) do(a Action) { l.out = append(l.out, a) }

// log adds a line for the operators.
func (l *Limiter) log(format string, args ...any) { l.do(Log{Line: fmt.Sprintf(format, args...)}) }
