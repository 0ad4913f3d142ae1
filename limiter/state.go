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

// Limiter makes the decisions of one instance of the load balancer, one of Settings.Balancers. Make one
// with [New]; it is not safe for concurrent use.
type Limiter struct {
	cfg                 Settings
	rng                 *rand.Rand
	mark                uint32 // random number that identifies this run to its peers
	started             bool
	startedAt           float64
	knownSince          float64                  // all spending through this position since then is known
	ceilingParts        map[uint64]ceilingPart   // by account, where they differ from the default
	defaultPart         ceilingPart              // of all other accounts
	inherited           map[uint64]AccountMemory // accounts handed over by the predecessor and not used here yet
	handover            *Handover                // the predecessor's handover that they came with
	inheritedAt         float64                  // when the predecessor ended, or wrote its last complete state
	handedOver          int                      // number of entries of accountList already handed over to the successor
	inheritedLeft       []uint64                 // inherited accounts still to be handed over
	accountWriter       *accountWriter           // nil: accounts are not persisted while this limiter runs
	sweptAt             float64
	anyOutstandingLimit bool // some plan limits attempts in flight

	serversByID     map[uint64]*server
	servers         []*server // sorted by ID
	requests        map[string]*request
	accounts        map[uint64]*account
	accountList     []*account // in order of creation
	aggregated      []*account // those that this limiter is an aggregator of
	dirty           []*account // those with unsent changes
	peers           []peer
	droppedAccounts bool           // some idle accounts have been dropped
	olderPeerSeen   bool           // a peer that has run for longer than this limiter is known
	neighborSynced  bool           // a neighbor has answered the sync request
	nextPeer        int            // the peer whose turn it is in the next round of updates
	budget          peering.Budget // for peer messages
	pauseFactors    []float64      // by plan, on the budget's pause between level updates

	pools          map[uint64]*pool
	tieredPools    []uint64 // IDs of the pools with tiers
	named          int      // number of plans that requests can name; later entries of cfg.Plans are removed plans in use
	usualTimeout   []usualTimeout
	retriesMarked  bool    // some client has marked a retry
	retryBudget    float64 // retries that may be made
	lastEventAt    float64
	resumedAt      float64 // end of the last stall of this process
	hintIntervalMs float64
	nextHintAt     float64 // when the next failure hint may be sent
	actions        []Action
}

// pool is a set of servers that serves the same requests, with what has been learned about them
// together. Each server is in one pool.
type pool struct {
	servers         []*server      // sorted by ID
	tiers           *routing.Tiers // nil: the pool has no tiers
	serversByTier   [][]*server
	typicalMs       []float64 // by class: typical time of a request on an otherwise idle server
	answers         []float64 // by class: number of successful answers
	loadFit         loadFit
	pressure        float64 // moving average of the share of requests refused for lack of servers
	worth, weighted float64 // mean worth per unit of work, and number of requests in the mean
	inflight        int     // attempts in flight
	capacity        float64 // sum of the warmth of the working servers
	sends, sendsAt  float64 // decayed number of attempts, over the last ejectionMs/2 or so
	failureShare    float64 // moving average of the share of answers that fail
}

// server is what is known of one server process.
type server struct {
	info                       ServerInfo
	pool                       *pool
	inflight                   int
	othersInflight             float64 // reported requests there besides inflight
	slots                      float64 // reported number of requests that it processes in parallel
	slownessSum, slownessCount float64 // decayed sums: relative answer times, and answers
	slownessAt                 float64
	coldCredit, coldCreditAt   float64 // credit towards the next request while it warms up
	connectFailures            int     // failed connections in a row
	recoveredAt                float64 // when it answered again after it was down; the server list may not know yet
	down                       bool
	fullUntil                  float64
	silentSince                float64 // last answer, or first attempt since it was idle
	probedAt                   float64
	ejections                  []ejection // by class
}

// ejection counts the failures of one class at a server and says until when the server is ejected for
// the class.
type ejection struct {
	count                int // recent failures
	lastFailureAt, until float64
	repeats              int // ejections in a row, each soon after the one before
}

// request is a request that this limiter proxies and that has no final answer yet.
type request struct {
	id          string
	class       int
	units       float64
	account     *account
	pool        *pool
	maxAttempts int
	aimAt       float64 // an answer until then earns the full worth
	factor      float64 // on its spare time, by its worth: how long it may be expected to wait
	advice      Advice
	deadlineAt  float64 // when the client gives up
	attempts    []attempt
	pending     int     // attempts in flight
	ranOn       *server // server of the first attempt that may have run; nil: none has
	ranInfo     ServerInfo
	ranAt       float64
	streaming   bool // the answer has begun
}

// attempt is one attempt of a request at a server.
type attempt struct {
	server *server
	sentAt float64
	load   float64 // of the server with this attempt
	ended  bool
}

// account is the state of one account, the unit of quotas and ceilings, at this limiter.
type account struct {
	id             uint64
	plan           int
	spread         int     // number of limiters that its requests come through; 0 until one came here
	first          int     // position of the first of them
	balance        float64 // level of the quota bucket, in units
	discarded      float64 // refill lost to a full bucket, less what has paid for spending reported late
	ceilingBalance float64 // level of this limiter's part of the ceiling, in units
	reduction      float64 // by how much that part is below an equal one, as a multiple of an equal part
	requested      float64 // units requested here, admitted or not
	largestRequest float64 // units of its largest request
	refilledAt     float64 // when both balances were last refilled
	lastSeenAt     float64
	spent          float64    // units admitted here
	leased         float64    // those of them held by open leases; they keep their place in both buckets
	outstanding    int        // attempts in flight
	levelKnown     bool       // the balance comes from a peer
	named          bool       // a request here has named the plan
	withheld       float64    // part of the burst not granted until the peers have answered
	peerViews      []peerView // of the peers that sent or get updates

	margin            float64 // published with the level: below it, fewer requests pass
	flow              float64 // units admitted by peers in the last second or so
	flowAt            float64
	recipients        []int // positions of the peers that get updates of the spending here
	dirty             bool
	limitsOutstanding bool    // the plan limits attempts in flight
	isAggregator      bool    // this limiter publishes the level
	aggregatorRank    int     // 0: first aggregator, 1: standby
	publishedLevel    float64 // last level sent or received as an update
	publishedAt       float64
	staleTicks        int              // ticks for which the other limiters have assumed too high a level
	lastSpentAt       float64          // last spending here
	lastSpentUnits    float64          // units of that spending
	reserve           *reserve.Account // what is persisted of ceilingBalance; nil: the file has no entry
	unwritten         bool             // it has spent since its last entry
}

// peerView is what this limiter and one peer know of each other's spending from an account.
type peerView struct {
	peer            int
	mark            uint32 // of the peer's run
	received        uint64 // units that the peer reported, in steps of 1/unitScale
	seq             uint64
	receivedAt      float64 // when the peer last reported
	discarded       float64 // account.discarded at that time
	outstanding     int     // the peer's attempts in flight
	sent            uint64  // units sent to the peer, in steps
	sentBefore      uint64  // the value of sent before that
	sentOutstanding int
	resend          bool // sent once, to be sent again against loss
}

// peer is the state of the exchange with another limiter.
type peer struct {
	mark, oldMark uint32 // of its current run and of the one before
	seq           uint64
	synced        bool // it has answered the sync request
	syncRepliedAt float64
	due           []*account // accounts to be sent in this tick
}

// loadFit holds moving averages for a linear fit of the relative time y of answers over the load k.
type loadFit struct{ count, k, y, kk, ky float64 }

// usualTimeout is the timeout that most attempts of a class have.
type usualTimeout struct {
	ms    float64
	votes int // of the majority vote that finds it
}

// add adds the load and relative time of one answer.
func (f *loadFit) add(k, y, minWeight float64) {
	f.count++
	weight := max(minWeight, 1/f.count)
	f.k += weight * (k - f.k)
	f.y += weight * (y - f.y)
	f.kk += weight * (k*k - f.kk)
	f.ky += weight * (k*y - f.ky)
}

// decaySlowness decays the sums behind slowness up to now.
func (s *server) decaySlowness(now, window float64) {
	if now == s.slownessAt {
		return
	}
	factor := math.Exp((s.slownessAt - now) / window)
	s.slownessSum, s.slownessCount, s.slownessAt = s.slownessSum*factor, s.slownessCount*factor, now
}

// recentSends is the decayed number of attempts sent in the last ejectionMs/2 or so.
func (p *pool) recentSends(now float64) float64 {
	if now != p.sendsAt { // saves math.Exp, as it is called for each server of a choice
		p.sends, p.sendsAt = p.sends*math.Exp((p.sendsAt-now)*2/ejectionMs), now
	}
	return p.sends
}

// settleAttempt updates the counts of attempts in flight when one ends.
func (l *Limiter) settleAttempt(req *request, a *attempt) {
	a.ended = true
	req.pending--
	req.account.outstanding--
	a.server.inflight--
	a.server.pool.inflight--
}

// provesNotRun reports whether a result proves that the request did not run.
func provesNotRun(r Result) bool { return r == NoRoom || r == NoRoute || r == StaleSend }

// totalOutstanding is the known number of an account's attempts in flight, over all limiters.
func (a *account) totalOutstanding() int {
	n := a.outstanding
	for i := range a.peerViews {
		n += a.peerViews[i].outstanding
	}
	return n
}

// newServer returns the record of a server process without history.
func (l *Limiter) newServer(now float64, p *pool, inflight int) *server {
	return &server{pool: p, inflight: inflight, silentSince: now, coldCredit: l.rng.Float64(), coldCreditAt: now,
		ejections: make([]ejection, len(l.cfg.Classes))}
}

// poolOf returns the pool with an ID, created on first use.
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

// tierOf returns the tier of a server in a pool with tiers, limited to the existing ones.
func (p *pool) tierOf(s *server) int { return max(0, min(s.info.Tier, len(p.serversByTier)-1)) }

// TierState is the state of a tier of a pool as this limiter sees it.
type TierState struct {
	Pool uint64
	Tier int
	routing.State
}

// Tiers returns the tiers of all pools that have some, sorted by pool and rank.
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

// Glance returns the balance of an account in units and the pressure of a pool, the recent share of its
// requests that were refused for lack of servers, for plug-ins that advise on a request. It changes no
// state.
func (l *Limiter) Glance(now float64, account uint64, plan int, pool uint64) (balance, pressure float64) {
	if p := l.pools[pool]; p != nil {
		pressure = p.pressure
	}
	if plan < 0 || plan >= len(l.cfg.Plans) {
		return 0, pressure
	}
	acct := l.accounts[account]
	if acct == nil {
		return l.cfg.Plans[plan].Burst, pressure
	}
	p := l.cfg.Plans[acct.plan]
	return min(p.Burst-acct.leased, acct.balance+(now-acct.refilledAt)/1000*p.Rate), pressure
}

// sortedRequests returns the IDs of the pending requests in sorted order, for determinism.
func (l *Limiter) sortedRequests() []string {
	ids := make([]string, 0, len(l.requests))
	for id := range l.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// spentSteps is the spending to report to a peer, in steps of 1/unitScale. It never falls below what was
// sent: a refund is offset against later spending.
func (a *account) spentSteps(sent uint64) uint64 {
	return max(sent, uint64(max(0, math.Round(a.spent*unitScale))))
}

// peerView returns the record of one peer, created on first use.
func (a *account) peerView(i int) *peerView {
	for k := range a.peerViews {
		if a.peerViews[k].peer == i {
			return &a.peerViews[k]
		}
	}
	a.peerViews = append(a.peerViews, peerView{peer: i})
	return &a.peerViews[len(a.peerViews)-1]
}

// hasUpdateFor reports whether there are changes to send to a peer.
func (a *account) hasUpdateFor(peer int) bool {
	view := a.peerView(peer)
	return view.resend || a.spentSteps(view.sent) != view.sent ||
		a.outstanding != view.sentOutstanding && a.limitsOutstanding
}

// setLevel sets the balance to a level that a peer reported.
func (a *account) setLevel(now, level float64) {
	a.balance, a.levelKnown, a.withheld, a.publishedLevel, a.publishedAt = level, true, 0, level, now
}

// usesAggregators reports whether the account has too many limiters to update each of them.
func (a *account) usesAggregators() bool { return a.spread > maxDirectPeers+1 && !a.limitsOutstanding }

// distance is the number of positions from this limiter to another, the shorter way round.
func (l *Limiter) distance(peer int) int {
	d := peer - l.cfg.Position
	return min(max(d, -d), l.cfg.Balancers-max(d, -d))
}

// urgency orders updates: the last spending relative to what is left.
func (a *account) urgency() float64 { return (a.lastSpentUnits + 1) / max(1, a.balance) }

// valid reports whether the plans, classes and limiters that a message names exist.
func (l *Limiter) valid(message *peerMsg) bool {
	kinds := len(l.cfg.Plans)
	if message.flags&flagFailureHint != 0 {
		kinds = len(l.cfg.Classes)
	}
	for _, entry := range message.entries {
		if entry.plan >= uint64(kinds) || message.flags&flagLevelUpdate == 0 &&
			(entry.spread < 1 || entry.spread > uint64(len(l.peers)) || entry.first >= uint64(len(l.peers))) {
			return false
		}
	}
	return true
}

// peerEntryFor returns the message entry of an account for a peer that was sent this many steps before.
func (l *Limiter) peerEntryFor(now float64, acct *account, sent uint64) peerEntry {
	l.refill(now, acct)
	spent := acct.spentSteps(sent)
	return peerEntry{account: acct.id, plan: uint64(acct.plan), spread: uint64(acct.spread), first: uint64(acct.first),
		spent: spent, newlySpent: spent - sent, level: int64(math.Floor((acct.balance + acct.withheld) * unitScale)),
		margin: uint64(acct.margin * unitScale), outstanding: uint64(acct.outstanding)}
}

// sendToPeers sends a message to n limiters in a row, skipping this one, and returns how many of its
// entries fit.
func (l *Limiter) sendToPeers(message peerMsg, first, n int) int {
	data, written := message.encode()
	for j := range n {
		if peer := (first + j) % len(l.peers); peer != l.cfg.Position {
			l.emit(Tell{To: peer, Data: data})
		}
	}
	return written
}

// decayFlow decays the flow up to now.
func (a *account) decayFlow(now float64) {
	a.flow, a.flowAt = a.flow*math.Exp((a.flowAt-now)/1000), now
}

// markDirty queues an account for the next updates to peers and for the next write.
func (l *Limiter) markDirty(acct *account) {
	l.markUnwritten(acct)
	if !acct.dirty && l.cfg.Caps.Peers && acct.plan < l.named {
		acct.dirty = true
		l.dirty = append(l.dirty, acct)
	}
}

// hashID mixes the bits of an ID (the finalizer of SplitMix64).
func hashID(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// emit adds an action to the result of the current event.
func (l *Limiter) emit(a Action) { l.actions = append(l.actions, a) }

// log emits a log line.
func (l *Limiter) log(format string, args ...any) { l.emit(Log{Line: fmt.Sprintf(format, args...)}) }
