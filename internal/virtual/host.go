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

// host is one limiter's program: its policy, and what the sockets would do.
type host struct {
	d      *driver
	n      int
	epoch  int // rises with each end and start, so that what belongs to an earlier life is void
	up     bool
	taking bool // else connections are refused
	policy Policy
	known  map[int]world.Entry
	reqs   map[string]*req
	past   map[string]*req // those that are over, where the host is unguarded
	byTry  map[uint64]*req
	idle   map[int][]conn // by box, the latest used last
	queue  []limiter.Event
	busy   bool
	desk   *grant.LeaseManager
	asked  *asked // the Ask that the policy answers just now

	adviser Adviser

	kept kept // of this life or the one before
}

// conn is a kept connection.
type conn struct {
	since  time.Duration // idle
	resets int           // of the box when it was made
}

type req struct {
	id     string
	try    *world.Try
	stopAt time.Duration
	tries  int
	out    *attempt
	final  bool
}

type attempt struct {
	id      uint64
	h       *host
	r       *req
	n       int
	server  int // that was chosen
	box     int // that stands at its address
	resets  int
	sentAt  time.Duration
	open    bool // it has a connection
	begun   bool // its first byte is out
	arrived bool
	over    bool // the policy has its outcome
}

func sortIDs(ids []uint64) { slices.Sort(ids) }

// start begins a life.
func (h *host) start() error {
	p, err := h.d.o.Policy(h.d.o.Fleet.Settings(h.n), h.d.rng.Uint64())
	if err != nil {
		return err
	}
	if err := h.adviseFrom(); err != nil {
		return err
	}
	h.epoch++
	h.policy, h.up, h.taking = p, true, true
	h.known, h.reqs, h.byTry, h.idle = map[int]world.Entry{}, map[string]*req{}, map[uint64]*req{}, map[int][]conn{}
	h.past, h.desk = map[string]*req{}, grant.NewLeaseManager(h.n, len(h.d.o.Fleet.Limiters), leasesMost)
	h.listed(limiter.Persisted, h.d.w.Known(h.n))
	if h.d.dealer != nil {
		h.d.dealer.started(h)
	}
	h.recall()
	h.d.w.LimiterUp(h.n)
	return nil
}

// kill ends a life at once. What it held is the clients' to retry.
func (h *host) kill() {
	if !h.up {
		return
	}
	h.epoch++
	h.up, h.taking = false, false
	h.d.j.Killed(h.d.w.Now(), h.n)
	var held []*req
	for _, r := range h.reqs {
		held = append(held, r)
	}
	slices.SortFunc(held, func(a, b *req) int { return cmp.Compare(a.try.ID, b.try.ID) })
	for _, r := range held {
		if r.out != nil && !r.out.over {
			h.drop(r.out)
		}
		if t := r.try; !r.final {
			h.d.after(h.d.w.ClientDelay(), func() { h.d.w.Got(h.d.w.Now(), t, world.GotBroken, 0) })
		}
	}
	for box, conns := range h.idle {
		for range conns {
			h.d.w.Disconnect(box)
		}
	}
	h.reqs, h.byTry, h.idle = nil, nil, nil
}

// stop ends a life in good order.
func (h *host) stop() {
	epoch := h.epoch
	h.d.after(keepTaking, func() {
		if h.epoch == epoch {
			h.taking = false
		}
	})
	h.d.after(stopTime, func() {
		if h.epoch == epoch {
			h.handOver()
			h.kill()
		}
	})
}

// handle gives the policy an event and carries out what it asks for. Events that
// this brings about queue up behind.
func (h *host) handle(ev limiter.Event) {
	h.queue = append(h.queue, ev)
	if h.busy {
		return
	}
	h.busy = true
	for i := 0; i < len(h.queue); i++ {
		for _, a := range h.policy.Handle(ms(h.d.w.Now()), h.queue[i]) {
			h.do(a)
		}
	}
	clear(h.queue)
	h.queue, h.busy = h.queue[:0], false
}

func (h *host) do(a limiter.Action) {
	switch a := a.(type) {
	case limiter.PassOn:
		h.passOn(a)
	case limiter.Grant:
		h.asked.granted = true
	case limiter.Refuse:
		if h.asked != nil && a.ID == askID {
			h.asked.wait = time.Duration(a.WaitMs * float64(time.Millisecond))
			return
		}
		if r := h.find(a.ID); r != nil && h.d.o.Refused != nil {
			h.d.o.Refused(h.n, h.policy, r.try, a)
		}
		h.conclude(h.find(a.ID), judge.Refused, time.Duration(a.WaitMs*float64(time.Millisecond)))
	case limiter.Fail:
		h.conclude(h.find(a.ID), judge.Failed, 0)
	case limiter.AbortAttempt:
		if r := h.reqs[a.ID]; r != nil && r.out != nil && r.out.n == a.Try {
			h.giveUp(r.out)
		}
	case limiter.Timer:
		epoch := h.epoch
		at := time.Duration((a.At - epochMs) * float64(time.Millisecond))
		h.d.w.After(at, func() {
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
			to, n = 0, len(h.d.hosts)
		}
		for i := to; i < to+n; i++ {
			if i != h.n {
				h.d.res.Counts.Messages++
				h.d.w.PeerSends(h.d.w.Now(), h.n, i, slices.Clone(a.Data))
			}
		}
	}
}

// find is a request that a policy speaks of.
func (h *host) find(id string) *req {
	if r := h.reqs[id]; r != nil {
		return r
	}
	return h.past[id]
}

// ---- Clients ----

// take is a try that has come whole.
func (h *host) take(t *world.Try) {
	if !h.up || !h.taking {
		h.d.after(h.d.w.ClientDelay(), func() { h.d.w.Got(h.d.w.Now(), t, world.GotBroken, 0) })
		return
	}
	if how := h.d.how(t); how != carried {
		h.ask(t, how)
		return
	}
	h.carry(t, 0, false)
}

// carry is a message that this limiter is to carry, with what was leased for it.
func (h *host) carry(t *world.Try, leased float64, vouched bool) {
	now := h.d.w.Now()
	waits := t.Until - t.SentAt
	r := &req{id: strconv.FormatUint(t.ID, 16), try: t, stopAt: now + waits - min(answerMargin, waits/marginPart)}
	h.reqs[r.id], h.byTry[t.ID] = r, r
	c := t.Call
	h.d.j.Taken(now, judge.Request{Try: t.ID, Limiter: h.n, Account: c.Account, Class: c.Class, Plan: c.Plan,
		Units: c.Units, Until: t.Until})
	epoch := h.epoch
	h.d.w.After(r.stopAt, func() {
		if h.epoch == epoch && !r.final && !h.d.o.Unguarded { // held to the end: the client is still owed an answer
			h.conclude(r, judge.Failed, 0)
			h.handle(limiter.Aborted{ID: r.id})
		}
	})
	spread, first := h.d.w.Entrance(c.Account)
	s := limiter.Submit{ID: r.id, ExpiresMs: float64((r.stopAt - now).Microseconds()) / 1000, Units: c.Units, Class: c.Class,
		Plan: c.Plan, Retry: t.Retry, Account: c.Account, Spread: spread, First: first, Leased: leased, QuotaChecked: vouched}
	h.advise(&s)
	h.handle(s)
}

// conclude gives the final answer of the limiter's own.
func (h *host) conclude(r *req, a judge.Answer, advice time.Duration) {
	if r == nil {
		return
	}
	h.d.j.Answered(h.d.w.Now(), r.try.ID, a)
	if r.final {
		return
	}
	r.final = true
	if r.out != nil {
		h.giveUp(r.out)
	}
	kind := world.GotFailed
	if a == judge.Refused {
		kind = world.GotRefused
	}
	h.reply(r, kind, advice)
}

func (h *host) reply(r *req, kind world.AnswerKind, advice time.Duration) {
	delete(h.reqs, r.id)
	delete(h.byTry, r.try.ID)
	if h.d.o.Unguarded {
		h.past[r.id] = r
	}
	h.d.after(h.d.w.ClientDelay(), func() { h.d.w.Got(h.d.w.Now(), r.try, kind, advice) })
}

// abandon is a client that gave up.
func (h *host) abandon(t *world.Try) {
	r := h.byTry[t.ID]
	if r == nil || r.final {
		return
	}
	r.final = true
	if r.out != nil {
		h.giveUp(r.out)
	}
	delete(h.reqs, r.id)
	delete(h.byTry, t.ID)
	h.handle(limiter.Aborted{ID: r.id})
}

// ---- Attempts ----

func (h *host) passOn(a limiter.PassOn) {
	r := h.find(a.ID)
	if r == nil {
		return
	}
	now, d := h.d.w.Now(), h.d
	d.ids++
	at := &attempt{id: d.ids, h: h, r: r, n: r.tries, server: int(a.Server) - 1, sentAt: now}
	r.tries++
	entry, listed := h.known[at.server]
	switch {
	case h.d.o.Unguarded:
		if !listed || r.tries > 10*d.o.Fleet.Rules.Attempts { // or a policy never ends
			return
		}
	case r.final || now >= r.stopAt || r.tries > d.o.Fleet.Rules.Attempts:
		h.outcome(at, limiter.StaleSend, noLoad)
		return
	case !listed || entry.Health != world.Ready:
		h.outcome(at, limiter.NoRoute, noLoad)
		return
	}
	at.box = d.w.At(entry.Addr)
	if d.o.SentTo != nil {
		d.o.SentTo(r.try, at.box)
	}
	r.out = at
	stopAt := r.stopAt
	if a.CapMs > 0 {
		stopAt = min(stopAt, now+time.Duration(a.CapMs*float64(time.Millisecond)))
	}
	epoch := h.epoch
	d.w.After(max(stopAt, now), func() { h.timeout(at, epoch) })
	delay := d.w.Delay(h.n, at.box)
	if h.reuse(at) {
		h.begin(at, delay)
		return
	}
	d.res.Counts.Connects++
	switch d.w.Connect(now, h.n, at.box) {
	case world.Accepted:
		at.open, at.resets = true, h.resets(at.box)
		d.after(2*delay, func() {
			if h.epoch != epoch || at.over {
				return
			}
			if e := h.known[at.server]; !d.o.Unguarded && (e.Health != world.Ready || e != entry) || at.resets != h.resets(at.box) {
				h.close(at) // a connect takes time: what was decided before it no longer holds
				h.finish(at, limiter.NoRoute, noLoad)
				return
			}
			h.begin(at, delay)
		})
	case world.Refused:
		d.after(2*delay, func() {
			if h.epoch == epoch {
				h.finish(at, limiter.NoRoute, noLoad)
			}
		})
	case world.Silent:
		d.after(d.o.Fleet.Network.Connect, func() {
			if h.epoch == epoch {
				h.finish(at, limiter.NoRoute, noLoad)
			}
		})
	}
}

func (h *host) resets(box int) int {
	if box < len(h.d.resets) {
		return h.d.resets[box]
	}
	return 0
}

// reuse takes a kept connection for an attempt. Those that the box has reset are
// seen to be closed.
func (h *host) reuse(at *attempt) bool {
	conns, resets := h.idle[at.box], h.resets(at.box)
	old := 0
	for old < len(conns) && (h.d.w.Now()-conns[old].since > h.d.o.Fleet.Network.Idle/2 || conns[old].resets != resets) {
		if conns[old].resets == resets {
			h.d.w.Disconnect(at.box)
		}
		old++
	}
	conns = conns[old:]
	if len(conns) == 0 {
		delete(h.idle, at.box)
		return false
	}
	h.idle[at.box] = conns[:len(conns)-1]
	at.open, at.resets = true, resets
	return true
}

// begin sends an attempt's first byte.
func (h *host) begin(at *attempt, delay time.Duration) {
	d := h.d
	at.begun = true
	d.j.Begins(d.w.Now(), at.r.try.ID, d.boxOf(at.server))
	d.attempts[at.id] = at
	epoch := h.epoch
	d.after(delay, func() {
		if h.epoch == epoch && !at.arrived && !at.over {
			h.arrive(at)
		}
	})
}

// boxOf is a box as the judge knows it.
func (d *driver) boxOf(box int) judge.Box {
	spec := d.w.Boxes[box].Spec
	return judge.Box{ID: box, Pod: spec.Pod, Room: spec.Room}
}

// arrive has an attempt come whole to its box.
func (h *host) arrive(at *attempt) {
	d, now := h.d, h.d.w.Now()
	if !d.w.Reaches(h.n, at.box) { // into the void
		return
	}
	b, c := d.w.Boxes[at.box], at.r.try.Call
	if cond := b.Condition(); cond == world.Dead || cond == world.Fallen || at.resets != h.resets(at.box) {
		delete(d.attempts, at.id)
		epoch := h.epoch
		d.after(d.w.Delay(h.n, at.box), func() { // a reset: as far as the limiter knows it may have run
			if h.epoch == epoch {
				h.finish(at, limiter.Cut, noLoad)
			}
		})
		return
	}
	at.arrived = true
	d.res.Counts.Attempts++
	if d.o.Fleet.Limiters[h.n].Room != b.Spec.Room {
		d.res.Counts.Crossings++
	}
	d.j.Arrived(now, at.id, at.r.try.ID, d.boxOf(at.box), c.Work, b.Capacity(now), b.Warmth(now) < 1)
	d.w.SentOn(now, at.r.try)
	j := world.Job{ID: at.id, Work: c.Work, Expires: at.r.stopAt}
	if class := d.o.Fleet.Classes[c.Class]; class.Repeat == limiter.Keyed {
		j.Key, j.Window = c.ID, class.Window
	}
	d.w.Request(now, at.box, j)
}

// timeout is the end of waiting for an attempt.
func (h *host) timeout(at *attempt, epoch int) {
	if h.epoch != epoch || at.over {
		return
	}
	result := limiter.TooSlow
	if !at.begun {
		result = limiter.NoRoute
	}
	h.drop(at)
	h.finish(at, result, noLoad)
}

// giveUp stops waiting for an attempt.
func (h *host) giveUp(at *attempt) {
	if at.over {
		return
	}
	h.drop(at)
	h.outcome(at, limiter.Undone, noLoad)
	if at.r.out == at {
		at.r.out = nil
	}
}

// drop closes an attempt's connection. What is written to it still comes to the
// box, where a cancel stops nothing.
func (h *host) drop(at *attempt) {
	if at.begun && !at.arrived && h.d.attempts[at.id] != nil {
		h.arrive(at)
	}
	if h.d.attempts[at.id] != nil {
		h.d.leave(at, judge.MayHaveRun)
	}
	h.close(at)
}

func (h *host) close(at *attempt) {
	if at.open && at.resets == h.resets(at.box) {
		h.d.w.Disconnect(at.box)
	}
	at.open = false
}

// keep puts an attempt's connection back.
func (h *host) keep(at *attempt) {
	if at.open && at.resets == h.resets(at.box) {
		h.idle[at.box] = append(h.idle[at.box], conn{h.d.w.Now(), at.resets})
	}
	at.open = false
}

// finish tells the policy how an attempt ended. Of one that was given up it has
// heard already.
func (h *host) finish(at *attempt, result limiter.Result, load limiter.Load) {
	if at.over {
		return
	}
	r := at.r
	if r.out == at {
		r.out = nil
	}
	if result == limiter.Pass && !r.final {
		r.final = true
		h.d.j.Answered(h.d.w.Now(), r.try.ID, judge.Served)
		h.reply(r, world.GotServed, 0)
	}
	h.outcome(at, result, load)
}

func (h *host) outcome(at *attempt, result limiter.Result, load limiter.Load) {
	at.over = true
	if how := ways[result]; how != "" {
		at.r.try.Attempted(how)
	}
	h.handle(limiter.Outcome{ID: at.r.id, Try: at.n, Server: uint64(at.server + 1), Result: result,
		SpentMs: float64((h.d.w.Now() - at.sentAt).Microseconds()) / 1000, Done: at.r.final, Load: load})
}

// ways are how attempts ended that were not served, in words.
var ways = map[limiter.Result]string{limiter.Fault: "an error", limiter.NoRoom: "turned away", limiter.TooSlow: "no answer in time",
	limiter.NoRoute: "no connection", limiter.Cut: "reset", limiter.Spoilt: "an answer of no use", limiter.Undone: "given up by the limiter"}

// ---- Discovery and probes ----

// listed takes in news of the list.
func (h *host) listed(scope limiter.Scope, entries []world.Entry) {
	if !h.up {
		return
	}
	ev := limiter.Endpoints{Scope: scope}
	for _, e := range entries {
		h.known[e.Box] = e
		h.d.j.Told(h.d.w.Now(), h.n, e.Box, e.Health == world.Ready)
		spec := h.d.w.Boxes[e.Box].Spec
		info := limiter.ServerInfo{ID: uint64(e.Box + 1), Zone: spec.Room, Cell: spec.Pod, Weight: 1,
			Phase: [...]limiter.Phase{limiter.Up, limiter.Draining, limiter.Removed}[e.Health]}
		if f := h.d.o.Fleet; len(f.Tiers) > 0 {
			info.Tier = f.Tiers.Of(spec.Room, spec.Labels, f.Limiters[h.n].Room)
		}
		if e.Born >= 0 {
			info.ReadyAt = ms(e.Born)
		}
		ev.Servers = append(ev.Servers, info)
	}
	h.handle(ev)
}

func (h *host) probe(server uint64) {
	d := h.d
	d.res.Counts.Probes++
	entry, ok := h.known[int(server)-1]
	if !ok {
		return
	}
	box, sentAt, epoch := d.w.At(entry.Addr), d.w.Now(), h.epoch
	wait, result, load := 2*d.w.Delay(h.n, box), limiter.Pass, noLoad
	switch cond := d.w.Boxes[box].Condition(); {
	case !d.w.Reaches(h.n, box), cond == world.Hung:
		wait, result = probeTime, limiter.TooSlow
	case cond == world.Dead || cond == world.Fallen:
		result = limiter.NoRoute
	case cond == world.Draining:
		result = limiter.NoRoom
	}
	d.after(wait, func() {
		if h.epoch == epoch {
			h.handle(limiter.Probed{Server: server, Result: result, SpentMs: float64((d.w.Now() - sentAt).Microseconds()) / 1000, Load: load})
		}
	})
}
