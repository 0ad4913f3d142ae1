package virtual

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"example.org/madderdrum/grant"
	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/limiter"
)

// host simulates one limiter process: it runs the policy and plays the part of the sockets.
type host struct {
	driver        *driver
	index         int
	epoch         int // incremented at each start and end; callbacks of earlier epochs are void
	up            bool
	accepting     bool // accepts connections
	policy        Policy
	knownBoxes    map[int]world.Entry
	requests      map[string]*request
	pastRequests  map[string]*request // ended requests, kept only if Options.Unguarded
	requestsByTry map[uint64]*request
	idleConns     map[int][]conn // by box, most recently used last
	queue         []limiter.Event
	busy          bool
	leaseManager  *grant.LeaseManager
	pendingAsk    *askResult // result of the Ask that the policy is handling; nil: none

	adviser Adviser

	stored storedMemory // memory on disk, which outlives the process
}

// conn is an idle keep-alive connection to a box.
type conn struct {
	idleSince time.Duration // start of the idle time
	resets    int           // reset count of the box when the connection was opened
}

type request struct {
	id          string
	try         *world.Try
	stopAt      time.Duration
	attempts    int
	openAttempt *attempt
	answered    bool
}

type attempt struct {
	id            uint64
	host          *host
	request       *request
	number        int
	server        int // index of the box that the policy chose
	box           int // index of the box that uses its address now
	resets        int
	sentAt        time.Duration
	hasConnection bool // it holds a connection
	started       bool // its first byte was sent
	arrived       bool
	finished      bool // its outcome was reported to the policy
}

func sortIDs(ids []uint64) { slices.Sort(ids) }

// start starts the limiter process with a new policy.
func (h *host) start() error {
	p, err := h.driver.options.Policy(h.driver.options.Fleet.Settings(h.index), h.driver.rng.Uint64())
	if err != nil {
		return err
	}
	if err := h.startAdviser(); err != nil {
		return err
	}
	h.epoch++
	h.policy, h.up, h.accepting = p, true, true
	h.knownBoxes, h.requests, h.requestsByTry, h.idleConns = map[int]world.Entry{}, map[string]*request{}, map[uint64]*request{}, map[int][]conn{}
	h.pastRequests, h.leaseManager = map[string]*request{}, grant.NewLeaseManager(h.index, len(h.driver.options.Fleet.Limiters), maxLeases)
	h.updateEndpoints(limiter.Persisted, h.driver.world.KnownEntries(h.index))
	if h.driver.steward != nil {
		h.driver.steward.limiterStarted(h)
	}
	h.loadMemory()
	h.driver.world.LimiterUp(h.index)
	return nil
}

// kill ends the process immediately. Clients of its open requests lose their connections.
func (h *host) kill() {
	if !h.up {
		return
	}
	h.epoch++
	h.up, h.accepting = false, false
	h.driver.judge.LimiterKilled(h.driver.world.Now(), h.index)
	var held []*request
	for _, r := range h.requests {
		held = append(held, r)
	}
	slices.SortFunc(held, func(a, b *request) int { return cmp.Compare(a.try.ID, b.try.ID) })
	for _, r := range held {
		if r.openAttempt != nil && !r.openAttempt.finished {
			h.dropConn(r.openAttempt)
		}
		if t := r.try; !r.answered {
			h.driver.after(h.driver.world.ClientDelay(), func() { h.driver.world.DeliverAnswer(h.driver.world.Now(), t, world.GotBroken, 0) })
		}
	}
	for box, conns := range h.idleConns {
		for range conns {
			h.driver.world.Disconnect(box)
		}
	}
	h.requests, h.requestsByTry, h.idleConns = nil, nil, nil
}

// stop shuts the process down gracefully: it drains and stores its handover before it ends.
func (h *host) stop() {
	epoch := h.epoch
	h.driver.after(acceptAfterStop, func() {
		if h.epoch == epoch {
			h.accepting = false
		}
	})
	h.driver.after(drainTime, func() {
		if h.epoch == epoch {
			h.storeHandover()
			h.kill()
		}
	})
}

// handle passes an event to the policy and carries out the returned actions. Events that arise
// meanwhile are queued.
func (h *host) handle(ev limiter.Event) {
	h.queue = append(h.queue, ev)
	if h.busy {
		return
	}
	h.busy = true
	for i := 0; i < len(h.queue); i++ {
		for _, a := range h.policy.Handle(clockMs(h.driver.world.Now()), h.queue[i]) {
			h.carryOut(a)
		}
	}
	clear(h.queue)
	h.queue, h.busy = h.queue[:0], false
}

func (h *host) carryOut(a limiter.Action) {
	switch a := a.(type) {
	case limiter.PassOn:
		h.sendAttempt(a)
	case limiter.Grant:
		h.pendingAsk.granted = true
	case limiter.Refuse:
		if h.pendingAsk != nil && a.ID == askID {
			h.pendingAsk.wait = time.Duration(a.WaitMs * float64(time.Millisecond))
			return
		}
		if r := h.findRequest(a.ID); r != nil && h.driver.options.OnRefusal != nil {
			h.driver.options.OnRefusal(h.index, h.policy, r.try, a)
		}
		h.answerLocally(h.findRequest(a.ID), judge.Refused, time.Duration(a.WaitMs*float64(time.Millisecond)))
	case limiter.Fail:
		h.answerLocally(h.findRequest(a.ID), judge.Failed, 0)
	case limiter.AbortAttempt:
		if r := h.requests[a.ID]; r != nil && r.openAttempt != nil && r.openAttempt.number == a.Try {
			h.cancelAttempt(r.openAttempt)
		}
	case limiter.Timer:
		epoch := h.epoch
		at := time.Duration((a.At - epochMs) * float64(time.Millisecond))
		h.driver.world.Schedule(at, func() {
			if h.epoch == epoch {
				h.handle(limiter.Alarm{Handle: a.Handle})
			}
		})
	case limiter.Probe:
		h.probe(a.Server)
	case limiter.Tell:
		if len(a.Data) > maxMessage {
			return
		}
		to, n := a.To, 1
		if a.To == -1 {
			to, n = 0, len(h.driver.hosts)
		}
		for i := to; i < to+n; i++ {
			if i != h.index {
				h.driver.result.Counts.Messages++
				h.driver.world.SendPeerMessage(h.driver.world.Now(), h.index, i, slices.Clone(a.Data))
			}
		}
	}
}

// findRequest returns the request that an action of the policy refers to, or nil.
func (h *host) findRequest(id string) *request {
	if r := h.requests[id]; r != nil {
		return r
	}
	return h.pastRequests[id]
}

// ---- Clients ----

// receive accepts a completely received try.
func (h *host) receive(t *world.Try) {
	if !h.up || !h.accepting {
		h.driver.after(h.driver.world.ClientDelay(), func() { h.driver.world.DeliverAnswer(h.driver.world.Now(), t, world.GotBroken, 0) })
		return
	}
	if how := h.driver.wayFor(t); how != wayProxied {
		h.ask(t, how)
		return
	}
	h.proxy(t, 0, false)
}

// proxy submits a request that this limiter forwards, with the units leased for it.
func (h *host) proxy(t *world.Try, leased float64, quotaChecked bool) {
	now := h.driver.world.Now()
	remaining := t.ClientDeadline - t.SentAt
	r := &request{id: strconv.FormatUint(t.ID, 16), try: t, stopAt: now + remaining - min(answerMargin, remaining/marginPart)}
	h.requests[r.id], h.requestsByTry[t.ID] = r, r
	c := t.Call
	h.driver.judge.RequestAccepted(now, judge.Request{Try: t.ID, Limiter: h.index, Account: c.Account, Class: c.Class, Plan: c.Plan,
		Units: c.Units, Until: t.ClientDeadline})
	epoch := h.epoch
	h.driver.world.Schedule(r.stopAt, func() {
		if h.epoch == epoch && !r.answered && !h.driver.options.Unguarded { // still open at the deadline: the client must get an answer
			h.answerLocally(r, judge.Failed, 0)
			h.handle(limiter.Aborted{ID: r.id})
		}
	})
	spread, first := h.driver.world.AccountLimiters(c.Account)
	s := limiter.Submit{ID: r.id, ExpiresMs: float64((r.stopAt - now).Microseconds()) / 1000, Units: c.Units, Class: c.Class,
		Plan: c.Plan, Retry: t.Retry, Account: c.Account, Spread: spread, First: first, Leased: leased, QuotaChecked: quotaChecked}
	h.advise(&s)
	h.handle(s)
}

// answerLocally gives a final answer that comes from the limiter and not from a box.
func (h *host) answerLocally(r *request, a judge.Answer, advice time.Duration) {
	if r == nil {
		return
	}
	h.driver.judge.Answered(h.driver.world.Now(), r.try.ID, a)
	if r.answered {
		return
	}
	r.answered = true
	if r.openAttempt != nil {
		h.cancelAttempt(r.openAttempt)
	}
	kind := world.GotFailed
	if a == judge.Refused {
		kind = world.GotRefused
	}
	h.reply(r, kind, advice)
}

func (h *host) reply(r *request, kind world.AnswerKind, advice time.Duration) {
	delete(h.requests, r.id)
	delete(h.requestsByTry, r.try.ID)
	if h.driver.options.Unguarded {
		h.pastRequests[r.id] = r
	}
	h.driver.after(h.driver.world.ClientDelay(), func() { h.driver.world.DeliverAnswer(h.driver.world.Now(), r.try, kind, advice) })
}

// clientGone ends a try whose client disconnected.
func (h *host) clientGone(t *world.Try) {
	r := h.requestsByTry[t.ID]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	if r.openAttempt != nil {
		h.cancelAttempt(r.openAttempt)
	}
	delete(h.requests, r.id)
	delete(h.requestsByTry, t.ID)
	h.handle(limiter.Aborted{ID: r.id})
}

// ---- Attempts ----

func (h *host) sendAttempt(a limiter.PassOn) {
	r := h.findRequest(a.ID)
	if r == nil {
		return
	}
	now, d := h.driver.world.Now(), h.driver
	d.lastID++
	at := &attempt{id: d.lastID, host: h, request: r, number: r.attempts, server: int(a.Server) - 1, sentAt: now}
	r.attempts++
	entry, listed := h.knownBoxes[at.server]
	switch {
	case h.driver.options.Unguarded:
		if !listed || r.attempts > 10*d.options.Fleet.Rules.Attempts { // bounds a policy that retries forever
			return
		}
	case r.answered || now >= r.stopAt || r.attempts > d.options.Fleet.Rules.Attempts:
		h.reportOutcome(at, limiter.StaleSend, noLoad)
		return
	case !listed || entry.Health != world.Ready:
		h.reportOutcome(at, limiter.NoRoute, noLoad)
		return
	}
	at.box = d.world.BoxAt(entry.Addr)
	if d.options.OnAttempt != nil {
		d.options.OnAttempt(r.try, at.box)
	}
	r.openAttempt = at
	stopAt := r.stopAt
	if a.CapMs > 0 {
		stopAt = min(stopAt, now+time.Duration(a.CapMs*float64(time.Millisecond)))
	}
	epoch := h.epoch
	d.world.Schedule(max(stopAt, now), func() { h.timeout(at, epoch) })
	delay := d.world.Delay(h.index, at.box)
	if h.reuseConn(at) {
		h.sendFirstByte(at, delay)
		return
	}
	d.result.Counts.Connects++
	switch d.world.Connect(now, h.index, at.box) {
	case world.Accepted:
		at.hasConnection, at.resets = true, h.resets(at.box)
		d.after(2*delay, func() {
			if h.epoch != epoch || at.finished {
				return
			}
			if e := h.knownBoxes[at.server]; !d.options.Unguarded && (e.Health != world.Ready || e != entry) || at.resets != h.resets(at.box) {
				h.closeConn(at) // the state of the box changed during the connect
				h.finishAttempt(at, limiter.NoRoute, noLoad)
				return
			}
			h.sendFirstByte(at, delay)
		})
	case world.Refused:
		d.after(2*delay, func() {
			if h.epoch == epoch {
				h.finishAttempt(at, limiter.NoRoute, noLoad)
			}
		})
	case world.Silent:
		d.after(d.options.Fleet.Network.Connect, func() {
			if h.epoch == epoch {
				h.finishAttempt(at, limiter.NoRoute, noLoad)
			}
		})
	}
}

func (h *host) resets(box int) int {
	if box < len(h.driver.boxResets) {
		return h.driver.boxResets[box]
	}
	return 0
}

// reuseConn assigns an idle connection to an attempt, after removing connections that are too old or
// that the box has reset.
func (h *host) reuseConn(at *attempt) bool {
	conns, resets := h.idleConns[at.box], h.resets(at.box)
	old := 0
	for old < len(conns) && (h.driver.world.Now()-conns[old].idleSince > h.driver.options.Fleet.Network.Idle/2 || conns[old].resets != resets) {
		if conns[old].resets == resets {
			h.driver.world.Disconnect(at.box)
		}
		old++
	}
	conns = conns[old:]
	if len(conns) == 0 {
		delete(h.idleConns, at.box)
		return false
	}
	h.idleConns[at.box] = conns[:len(conns)-1]
	at.hasConnection, at.resets = true, resets
	return true
}

// sendFirstByte sends the first byte of an attempt.
func (h *host) sendFirstByte(at *attempt, delay time.Duration) {
	d := h.driver
	at.started = true
	d.judge.AttemptStarted(d.world.Now(), at.request.try.ID, d.boxOf(at.server))
	d.attempts[at.id] = at
	epoch := h.epoch
	d.after(delay, func() {
		if h.epoch == epoch && !at.arrived && !at.finished {
			h.deliver(at)
		}
	})
}

// boxOf returns the judge's description of a box.
func (d *driver) boxOf(box int) judge.Box {
	spec := d.world.Boxes[box].Spec
	return judge.Box{ID: box, Pod: spec.Pod, Room: spec.Room}
}

// deliver completes the request of an attempt at its box.
func (h *host) deliver(at *attempt) {
	d, now := h.driver, h.driver.world.Now()
	if !d.world.Reaches(h.index, at.box) { // lost in the network
		return
	}
	b, c := d.world.Boxes[at.box], at.request.try.Call
	if cond := b.Condition(); cond == world.Dead || cond == world.Crashed || at.resets != h.resets(at.box) {
		delete(d.attempts, at.id)
		epoch := h.epoch
		d.after(d.world.Delay(h.index, at.box), func() { // a reset: the limiter can't know whether the request ran
			if h.epoch == epoch {
				h.finishAttempt(at, limiter.Cut, noLoad)
			}
		})
		return
	}
	at.arrived = true
	d.result.Counts.Attempts++
	if d.options.Fleet.Limiters[h.index].Room != b.Spec.Room {
		d.result.Counts.CrossRoomAttempts++
	}
	d.judge.AttemptArrived(now, at.id, at.request.try.ID, d.boxOf(at.box), c.Work, b.Capacity(now), b.Warmth(now) < 1)
	d.world.TryForwarded(now, at.request.try)
	j := world.Job{ID: at.id, Work: c.Work, Expires: at.request.stopAt}
	if class := d.options.Fleet.Classes[c.Class]; class.Repeat == limiter.Keyed {
		j.Key, j.Window = c.ID, class.Window
	}
	d.world.DeliverRequest(now, at.box, j)
}

// timeout ends an attempt whose time limit has passed.
func (h *host) timeout(at *attempt, epoch int) {
	if h.epoch != epoch || at.finished {
		return
	}
	result := limiter.TooSlow
	if !at.started {
		result = limiter.NoRoute
	}
	h.dropConn(at)
	h.finishAttempt(at, result, noLoad)
}

// cancelAttempt cancels an attempt and reports it as undone.
func (h *host) cancelAttempt(at *attempt) {
	if at.finished {
		return
	}
	h.dropConn(at)
	h.reportOutcome(at, limiter.Undone, noLoad)
	if at.request.openAttempt == at {
		at.request.openAttempt = nil
	}
}

// dropConn closes the connection of an attempt. Data already written still reaches the box, and the
// box doesn't stop on a cancel.
func (h *host) dropConn(at *attempt) {
	if at.started && !at.arrived && h.driver.attempts[at.id] != nil {
		h.deliver(at)
	}
	if h.driver.attempts[at.id] != nil {
		h.driver.endAttempt(at, judge.MayHaveRun)
	}
	h.closeConn(at)
}

func (h *host) closeConn(at *attempt) {
	if at.hasConnection && at.resets == h.resets(at.box) {
		h.driver.world.Disconnect(at.box)
	}
	at.hasConnection = false
}

// keepConn returns the connection of an attempt to the idle ones.
func (h *host) keepConn(at *attempt) {
	if at.hasConnection && at.resets == h.resets(at.box) {
		h.idleConns[at.box] = append(h.idleConns[at.box], conn{h.driver.world.Now(), at.resets})
	}
	at.hasConnection = false
}

// finishAttempt reports the outcome of an attempt to the policy, unless it was already reported as
// canceled.
func (h *host) finishAttempt(at *attempt, result limiter.Result, load limiter.Load) {
	if at.finished {
		return
	}
	r := at.request
	if r.openAttempt == at {
		r.openAttempt = nil
	}
	if result == limiter.Pass && !r.answered {
		r.answered = true
		h.driver.judge.Answered(h.driver.world.Now(), r.try.ID, judge.Served)
		h.reply(r, world.GotServed, 0)
	}
	h.reportOutcome(at, result, load)
}

func (h *host) reportOutcome(at *attempt, result limiter.Result, load limiter.Load) {
	at.finished = true
	if how := outcomeTexts[result]; how != "" {
		at.request.try.Attempted(how)
	}
	h.handle(limiter.Outcome{ID: at.request.id, Try: at.number, Server: uint64(at.server + 1), Result: result,
		SpentMs: float64((h.driver.world.Now() - at.sentAt).Microseconds()) / 1000, Done: at.request.answered, Load: load})
}

// outcomeTexts describes the outcomes of unsuccessful attempts, for reports.
var outcomeTexts = map[limiter.Result]string{limiter.Fault: "an error", limiter.NoRoom: "turned away", limiter.TooSlow: "no answer in time",
	limiter.NoRoute: "no connection", limiter.Cut: "reset", limiter.Spoilt: "an answer of no use", limiter.Undone: "given up by the limiter"}

// ---- Discovery and probes ----

// updateEndpoints passes changes of discovery's list to the policy.
func (h *host) updateEndpoints(scope limiter.Scope, entries []world.Entry) {
	if !h.up {
		return
	}
	ev := limiter.Endpoints{Scope: scope}
	for _, e := range entries {
		h.knownBoxes[e.Box] = e
		h.driver.judge.BoxStateReported(h.driver.world.Now(), h.index, e.Box, e.Health == world.Ready)
		spec := h.driver.world.Boxes[e.Box].Spec
		info := limiter.ServerInfo{ID: uint64(e.Box + 1), Zone: spec.Room, Cell: spec.Pod, Weight: 1,
			Phase: [...]limiter.Phase{limiter.Up, limiter.Draining, limiter.Removed}[e.Health]}
		if f := h.driver.options.Fleet; len(f.Tiers) > 0 {
			info.Tier = f.Tiers.IndexOf(spec.Room, spec.Labels, f.Limiters[h.index].Room)
		}
		if e.StartedAt >= 0 {
			info.ReadyAt = clockMs(e.StartedAt)
		}
		ev.Servers = append(ev.Servers, info)
	}
	h.handle(ev)
}

func (h *host) probe(server uint64) {
	d := h.driver
	d.result.Counts.Probes++
	entry, ok := h.knownBoxes[int(server)-1]
	if !ok {
		return
	}
	box, sentAt, epoch := d.world.BoxAt(entry.Addr), d.world.Now(), h.epoch
	wait, result, load := 2*d.world.Delay(h.index, box), limiter.Pass, noLoad
	switch condition := d.world.Boxes[box].Condition(); {
	case !d.world.Reaches(h.index, box), condition == world.Hung:
		wait, result = probeTimeout, limiter.TooSlow
	case condition == world.Dead || condition == world.Crashed:
		result = limiter.NoRoute
	case condition == world.Draining:
		result = limiter.NoRoom
	}
	d.after(wait, func() {
		if h.epoch == epoch {
			h.handle(limiter.Probed{Server: server, Result: result, SpentMs: float64((d.world.Now() - sentAt).Microseconds()) / 1000, Load: load})
		}
	})
}
