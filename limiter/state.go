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
	cfg                 Settings
	rng                 *rand.Rand
	mark                uint32 // this incarnation
	started             bool
	startedAt           float64
	knownSince          float64                  // since when all that was spent through this position is known
	ceilingParts        map[uint64]ceilingPart   // of ceilings, where they are not the rest
	defaultPart         ceilingPart              // and of the rest
	inherited           map[uint64]AccountMemory // of the limiter before this one, not come back yet
	handover            *Handover                // that they are part of
	inheritedAt         float64                  // when that one ended, or last told of all
	handedOver          int                      // accounts listed that a limiter that hands over has told
	inheritedLeft       []uint64                 // those of the one before it that it has still to tell
	accountWriter       *accountWriter           // nil: accounts are not written down while this one runs
	sweptAt             float64
	anyOutstandingLimit bool // some plan limits attempts out

	serversByID     map[uint64]*server
	servers         []*server // by id
	requests        map[string]*request
	accounts        map[uint64]*account
	accountList     []*account // in order of appearance
	aggregated      []*account // those whose level this gateway tells
	dirty           []*account // those with something untold
	peers           []peer
	droppedAccounts bool           // records have been dropped
	olderPeerSeen   bool           // a peer that is older has been heard
	neighborSynced  bool           // a neighbour has told the levels it knows
	nextPeer        int            // the peer that is told first
	budget          peering.Budget // of messages
	pauseFactors    []float64      // of each plan: factor on it

	pools          map[uint64]*pool
	tieredPools    []uint64 // of them those with tiers
	named          int      // plans that requests can name; behind them those that are gone
	usualTimeout   []usualTimeout
	retriesMarked  bool    // clients mark their retries
	retryBudget    float64 // further attempts saved up
	lastEventAt    float64
	resumedAt      float64 // when this gateway last went on after standing still
	hintIntervalMs float64
	nextHintAt     float64 // when the next hint may be given
	actions        []Action
}

// pool is a set of servers that takes requests of its own, and what is learnt of them
// together. A server is in one pool.
type pool struct {
	servers         []*server      // by id
	tiers           *routing.Tiers // nil: all servers are one
	serversByTier   [][]*server
	typicalMs       []float64 // typical ms of a class alone on a server
	answers         []float64 // answers of a class
	loadFit         loadFit
	pressure        float64 // share refused for lack of servers, of late
	worth, weighted float64 // mean worth for work; requests in it
	inflight        int     // attempts out
	capacity        float64 // servers that are up, each by its warmth
	sends, sendsAt  float64 // attempts in the last illMs / 2 or so
	failureShare    float64 // share of answers that fail, of late
}

type server struct {
	info                       ServerInfo
	pool                       *pool
	inflight                   int
	othersInflight             float64 // in hand there beside them, as told
	slots                      float64 // what it works on at once, as told with them
	slownessSum, slownessCount float64 // decayed sums: times taken against the typical, and answers
	slownessAt                 float64
	coldCredit, coldCreditAt   float64 // saved up for one request while it is cold
	connectFailures            int     // failed connects in a row
	recoveredAt                float64 // when it answered again after it was down, of which the list may not tell
	down                       bool
	fullUntil                  float64
	silentSince                float64 // since when it owes an answer
	probedAt                   float64
	ejections                  []ejection // by class
}

// illness is what is known of failures of one class at a server.
type ejection struct {
	count                int
	lastFailureAt, until float64
	repeats              int // times that it failed anew soon after it was used again
}

type request struct {
	id          string
	class       int
	units       float64
	account     *account
	pool        *pool
	maxAttempts int // attempts
	aimAt       float64
	factor      float64 // by what it is worth: how much of its spare time it may wait
	advice      Advice
	deadlineAt  float64
	attempts    []attempt
	pending     int     // attempts out
	ranOn       *server // where an attempt may have run first
	ranInfo     ServerInfo
	ranAt       float64
	streaming   bool
}

type attempt struct {
	server *server
	sentAt float64
	load   float64
	ended  bool
}

type account struct {
	id             uint64
	plan           int
	spread         int // 0 until one of its requests came here
	first          int
	balance        float64
	discarded      float64 // refill that a full bucket let go, less what has repaid spending told late
	ceilingBalance float64 // this gateway's part of the ceiling's store
	reduction      float64 // by so much it is smaller than an equal one, in those
	requested      float64 // units
	largestRequest float64 // units of its largest request
	refilledAt     float64 // when both were last refilled
	lastSeenAt     float64
	spent          float64 // units passed here
	leased         float64 // of them what is out on leases; it keeps its place in both stores
	outstanding    int
	levelKnown     bool       // a peer has told its level
	named          bool       // a request here has named its plan
	withheld       float64    // part of the burst not granted until peers are heard
	peerViews      []peerView // of the gateways heard of or told

	margin            float64 // told with the level: below it, less passes
	flow              float64 // units heard of in the last second or so
	flowAt            float64
	recipients        []int // gateways told of what passes here
	dirty             bool
	limitsOutstanding bool // the plan limits attempts out
	isAggregator      bool // this gateway tells the set the level ...
	aggregatorRank    int  // ... in this order
	publishedLevel    float64
	publishedAt       float64
	staleTicks        int              // ticks for which the set has believed in more
	lastSpentAt       float64          // the last spending here ...
	lastSpentUnits    float64          // ... and its units
	reserve           *reserve.Account // what is written down of its share; nil: it is not named
	unwritten         bool             // it has spent since
}

// view is what this gateway and one peer know of each other's spending.
type peerView struct {
	peer            int
	mark            uint32
	received        uint64 // told by the peer, in steps
	seq             uint64
	receivedAt      float64 // when it last told of the account ...
	discarded       float64 // ... and what refill had been let go by then
	outstanding     int
	sent            uint64 // told to the peer
	sentBefore      uint64 // what it was told before that
	sentOutstanding int
	resend          bool // told once, to be told again
}

type peer struct {
	mark, oldMark uint32
	seq           uint64
	synced        bool // has told us its levels
	syncRepliedAt float64
	due           []*account // to be told with this tick
}

// fit holds moving averages of load k and time y of answers.
type loadFit struct{ count, k, y, kk, ky float64 }

// usual is the time that clients give most tries of a class.
type usualTimeout struct {
	ms    float64
	votes int
}

// add notes one answer's load and time.
func (f *loadFit) add(k, y, minWeight float64) {
	f.count++
	weight := max(minWeight, 1/f.count)
	f.k += weight * (k - f.k)
	f.y += weight * (y - f.y)
	f.kk += weight * (k*k - f.kk)
	f.ky += weight * (k*y - f.ky)
}

// decayStat fades the sums of what a server took.
func (s *server) decaySlowness(now, window float64) {
	if now == s.slownessAt {
		return
	}
	factor := math.Exp((s.slownessAt - now) / window)
	s.slownessSum, s.slownessCount, s.slownessAt = s.slownessSum*factor, s.slownessCount*factor, now
}

// recent is the number of attempts sent of late.
func (p *pool) recentSends(now float64) float64 {
	if now != p.sendsAt { // it is asked for each server of a choice
		p.sends, p.sendsAt = p.sends*math.Exp((p.sendsAt-now)*2/ejectionMs), now
	}
	return p.sends
}

// back settles the counts of an attempt that is no longer out.
func (l *Limiter) settleAttempt(req *request, a *attempt) {
	a.ended = true
	req.pending--
	req.account.outstanding--
	a.server.inflight--
	a.server.pool.inflight--
}

// provesUnrun tells whether a result shows that nothing ran.
func provesNotRun(r Result) bool { return r == NoRoom || r == NoRoute || r == StaleSend }

// outAll is the number of a customer's attempts out, as far as known.
func (a *account) totalOutstanding() int {
	n := a.outstanding
	for i := range a.peerViews {
		n += a.peerViews[i].outstanding
	}
	return n
}

// newServer is the record of a server process of which nothing is known.
func (l *Limiter) newServer(now float64, p *pool, inflight int) *server {
	return &server{pool: p, inflight: inflight, silentSince: now, coldCredit: l.rng.Float64(), coldCreditAt: now,
		ejections: make([]ejection, len(l.cfg.Classes))}
}

// poolOf is the pool of a number, made on first sight.
func (l *Limiter) poolOf(id uint64) *pool {
	p := l.pools[id]
	if p == nil {
		classes := len(l.cfg.Classes)
		p = &pool{typicalMs: make([]float64, classes), answers: make([]float64, classes)}
		l.pools[id] = p
		l.setTiers()
	}
	return p
}

// tierOf is the tier of a server, in a pool with tiers.
func (p *pool) tierOf(s *server) int { return max(0, min(s.info.Tier, len(p.serversByTier)-1)) }

// TierState is a tier of a pool as this limiter sees it.
type TierState struct {
	Pool uint64
	Tier int
	routing.State
}

// Tiers returns those of all pools that have tiers, in the order of pools and ranks.
func (l *Limiter) Tiers(now float64) (all []TierState) {
	for _, id := range l.tieredPools {
		if p := l.pools[id]; p != nil && p.tiers != nil {
			for tier := range p.tiers.Len() {
				all = append(all, TierState{id, tier, p.tiers.State(now, tier)})
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
	c := l.accounts[account]
	if c == nil {
		return l.cfg.Plans[plan].Burst, pressure
	}
	p := l.cfg.Plans[c.plan]
	return min(p.Burst-c.leased, c.balance+(now-c.refilledAt)/1000*p.Rate), pressure
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
func (a *account) spentSteps(sent uint64) uint64 {
	return max(sent, uint64(max(0, math.Round(a.spent*unitScale))))
}

// view is the record of one peer, made on first use.
func (a *account) peerView(i int) *peerView {
	for k := range a.peerViews {
		if a.peerViews[k].peer == i {
			return &a.peerViews[k]
		}
	}
	a.peerViews = append(a.peerViews, peerView{peer: i})
	return &a.peerViews[len(a.peerViews)-1]
}

// owes tells whether there is something to tell a peer.
func (a *account) hasUpdateFor(peer int) bool {
	view := a.peerView(peer)
	return view.resend || a.spentSteps(view.sent) != view.sent || a.outstanding != view.sentOutstanding && a.limitsOutstanding
}

// seed sets a level that is told or taken over.
func (a *account) setLevel(now, level float64) {
	a.balance, a.levelKnown, a.withheld, a.publishedLevel, a.publishedAt = level, true, 0, level, now
}

// large tells that a customer has too many gateways to tell each of them.
func (a *account) usesAggregators() bool { return a.spread > maxDirectPeers+1 && !a.limitsOutstanding }

// apart is how many places lie between this gateway and another, either way round.
func (l *Limiter) distance(peer int) int {
	d := peer - l.cfg.Position
	return min(max(d, -d), l.cfg.Balancers-max(d, -d))
}

// press is how much spending of late weighs against what is left.
func (a *account) urgency() float64 { return (a.lastSpentUnits + 1) / max(1, a.balance) }

// sound tells whether all that a message names can be.
func (l *Limiter) valid(message *peerMsg) bool {
	plans := len(l.cfg.Plans)
	if message.flags&flagFailureHint != 0 {
		plans = len(l.cfg.Classes)
	}
	for _, entry := range message.entries {
		if entry.plan >= uint64(plans) || message.flags&flagLevelUpdate == 0 &&
			(entry.spread < 1 || entry.spread > uint64(len(l.peers)) || entry.first >= uint64(len(l.peers))) {
			return false
		}
	}
	return true
}

// entry is what is told of a customer to a peer that was told so much before.
func (l *Limiter) peerEntryFor(now float64, acct *account, sent uint64) peerEntry {
	l.refill(now, acct)
	spent := acct.spentSteps(sent)
	return peerEntry{account: acct.id, plan: uint64(acct.plan), spread: uint64(acct.spread), first: uint64(acct.first),
		spent: spent, newlySpent: spent - sent, level: int64(math.Floor((acct.balance + acct.withheld) * unitScale)),
		margin: uint64(acct.margin * unitScale), outstanding: uint64(acct.outstanding)}
}

// tellSet sends a message to n gateways in a row and returns how many of its
// entries went in.
func (l *Limiter) sendToPeers(message peerMsg, first, n int) int {
	data, written := message.encode()
	for j := range n {
		if peer := (first + j) % len(l.peers); peer != l.cfg.Position {
			l.emit(Tell{To: peer, Data: data})
		}
	}
	return written
}

// fade brings the flow up to date.
func (a *account) decayFlow(now float64) {
	a.flow, a.flowAt = a.flow*math.Exp((a.flowAt-now)/1000), now
}

// stir puts a customer on the list of those with something untold.
func (l *Limiter) markDirty(acct *account) {
	l.markUnwritten(acct)
	if !acct.dirty && l.cfg.Caps.Peers && acct.plan < l.named {
		acct.dirty = true
		l.dirty = append(l.dirty, acct)
	}
}

// mix scatters a number over all bits.
func hashID(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// do adds an action to the reply.
func (l *Limiter) emit(a Action) { l.actions = append(l.actions, a) }

// log adds a line for the operators.
func (l *Limiter) log(format string, args ...any) { l.emit(Log{Line: fmt.Sprintf(format, args...)}) }
