// Package testring simulates limiters and registries in virtual time. It runs the parts of the control state
// that do no I/O, wired together as their hosts do: the catalogs of registries, and for each limiter its
// admission decisions, failure detector, quota loans and requests for single tokens. It counts the messages
// between them, and checks whether all limiters together keep the tenants' quotas. A simulation has one
// goroutine, one clock and one random source, so the same seed always gives the same run.
package testring

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/control/places"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/traffic/allowance"
	"example.org/madderdrum/traffic/membership"
	"example.org/madderdrum/traffic/quotaloan"
)

// Options configure a simulation: its topology, load, quota rules and network.
type Options struct {
	Seed            uint64
	Regions, Zones  int // regions, and zones of each
	Limiters        int
	Standby         int  // additional limiters, which do not run until Start is called
	Redirect        bool // send requests only to limiters that are serving, rather than to any
	Cores           int
	Servers         int
	Tenants         int
	PerS            float64 // requests per second of all tenants together
	Rules           allowance.Rules
	HotTenant       int     // index of the tenant that sends HotX times its base rate ...
	HotX            float64 // ... between HotFrom and HotTo
	HotFrom, HotTo  float64 // ms
	Loss            float64 // share of datagrams that are lost
	OmitCatalogs    bool    // limiters keep no catalog, only its version vector, for large simulations
	ZoneMs, CrossMs float64 // one-way latency between zones of a region, and between regions
}

// Kind counts the messages of one kind and their encoded size.
type Kind struct{ Messages, Bytes float64 }

// World is one simulation with the counters of what happened in it.
type World struct {
	Options
	Sent          map[string]*Kind
	Requests      int // requests of tenants within their quotas
	Refused       int // those of Requests that were refused
	PlaceBallots  int // consensus rounds for changes of places
	now           float64
	rng           *rand.Rand
	pendingEvents events
	serial        int
	nodes         []*node
	byName        map[string]*node
	cores         []*core
	tenants       []*tenant
	tables        []places.Table // every chosen table of places, by version
	isCut         func(a, b location) bool
}

// location names a machine and the zone and region that it is in.
type location struct {
	name         string
	zone, region int
}

// tenant is a client with a quota whose requests may reach any limiter.
type tenant struct {
	id          uint64
	baseRate    float64 // requests per second
	rate, burst float64 // its quota, per second and at once
	admittedAt  []float64
}

// core is a core machine: a registry that also proposes changes of places.
type core struct {
	location
	book            *catalog.Catalog
	up              bool
	heldPulls       []func() // pulls that wait for changes
	notifyScheduled bool
	incarnation     int

	startedAt      float64
	version        uint64 // of the table of places that it knows
	provenAt       float64
	registrar      *places.Registrar
	changeInFlight bool // a proposed change of places is in progress
	ackQueriedAt   float64
}

// node is a limiter with the state that its host keeps for it.
type node struct {
	location
	position       int // slot in the table of places; meaningless until it first has one
	incarnation    int
	up             bool
	startedAt      float64
	table          places.Table
	version        uint64
	lease          places.Lease
	leaving        bool
	drained        bool    // leaving, and finished with its last request
	serving        bool    // it has had a share of the quotas under a valid lease
	congestedUntil float64 // until then its link is congested and its datagrams are delayed
	lim            *limiter.Limiter
	holding        *quotaloan.Holding
	ledger         *quotaloan.Ledger
	detector       *membership.Detector
	book           *catalog.Catalog
	vector         catalog.Vector
	core           int
	backoffs       map[uint64]*allowance.AskBackoff
	callbacks      map[string]func(ok bool, short bool, server uint64)
	tokenGranted   *bool
	eventQueue     []limiter.Event
	handling       bool
	serial         int
}

type event struct {
	at  float64
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// after schedules do to run in ms of virtual time.
func (w *World) after(ms float64, do func()) {
	w.serial++
	heap.Push(&w.pendingEvents, event{w.now + max(0, ms), w.serial, do})
}

// Run advances virtual time by ms.
func (w *World) Run(ms float64) {
	end := w.now + ms
	for len(w.pendingEvents) > 0 && w.pendingEvents[0].at <= end {
		e := heap.Pop(&w.pendingEvents).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// New returns a World at time 0. Its registries start at once, its limiters and servers within 1.5 s.
func New(o Options) *World {
	if o.ZoneMs == 0 {
		o.ZoneMs, o.CrossMs = 1.4, 20
	}
	w := &World{Options: o, Sent: map[string]*Kind{}, byName: map[string]*node{}, rng: rand.New(rand.NewPCG(o.Seed, 11)),
		isCut: func(a, b location) bool { return false }}
	total := 0.0
	for i := range o.Tenants {
		t := &tenant{id: uint64(i + 1), baseRate: math.Pow(float64(i+1), -0.8)}
		total += t.baseRate
		w.tenants = append(w.tenants, t)
	}
	for _, t := range w.tenants {
		t.baseRate *= o.PerS / total
		t.rate = 1.6 * t.baseRate
		t.burst = t.rate
	}
	w.tables = []places.Table{{}}
	all := o.Regions * o.Zones
	for i := range o.Limiters + o.Standby {
		z := i % all
		n := &node{location: location{fmt.Sprintf("edge-%d", i), z, z % o.Regions}}
		w.nodes, w.byName[n.name] = append(w.nodes, n), n
	}
	for i := range o.Cores {
		c := &core{location: location{fmt.Sprintf("core-%d", i), i % o.Zones * o.Regions, 0}}
		w.cores = append(w.cores, c)
	}
	for i := range w.cores {
		w.StartCore(i)
	}
	for i := range o.Limiters {
		w.after(w.rng.Float64()*500, func() { w.Start(i) })
	}
	for i := range o.Servers {
		w.after(w.rng.Float64()*1500, func() { w.heartbeat(i, i%o.Cores, 1, catalog.Available) })
	}
	for _, t := range w.tenants {
		w.arrive(t)
	}
	return w
}

// Cut drops all messages between zones for which f returns true, until the next call.
func (w *World) Cut(f func(aZone, bZone int) bool) {
	w.isCut = func(a, b location) bool { return f(a.zone, b.zone) }
}

// delay returns the time that a message takes between two locations.
func (w *World) delay(a, b location) float64 {
	switch {
	case a.region != b.region:
		return w.CrossMs * (1 + 0.05*w.rng.Float64())
	case a.zone != b.zone:
		return w.ZoneMs * (1 + 0.2*w.rng.Float64())
	}
	return 0.2
}

func (w *World) count(kind string, bytes int) {
	k := w.Sent[kind]
	if k == nil {
		k = &Kind{}
		w.Sent[kind] = k
	}
	k.Messages++
	k.Bytes += float64(bytes)
}

// datagram sends a message from one limiter to another, which may lose or delay it.
func (w *World) datagram(kind string, from, to *node, bytes int, deliver func()) {
	w.count(kind, bytes)
	if w.isCut(from.location, to.location) || w.rng.Float64() < w.Loss {
		return
	}
	latencyMs := w.delay(from.location, to.location)
	for _, n := range []*node{from, to} {
		if n.congestedUntil > w.now { // queued on the congested link for 300 to 700 ms
			latencyMs += 300 + 400*w.rng.Float64()
		}
	}
	incarnation := to.incarnation
	w.after(latencyMs, func() {
		if to.up && to.incarnation == incarnation {
			deliver()
		}
	})
}

// Start starts or restarts a limiter, without any state from before.
func (w *World) Start(i int) {
	n := w.nodes[i]
	n.incarnation++
	n.up, n.core = true, w.rng.IntN(len(w.cores))
	n.vector, n.backoffs, n.callbacks, n.eventQueue, n.handling = catalog.Vector{}, map[uint64]*allowance.AskBackoff{},
		map[string]func(bool, bool, uint64){}, nil, false
	n.detector = membership.New(n.id(), w.rng.Uint64())
	if !w.OmitCatalogs {
		n.book = catalog.New("")
	}
	n.startedAt, n.table, n.version, n.lease = w.now, places.Table{}, 0, places.Lease{}
	n.leaving, n.drained, n.serving, n.lim, n.holding, n.ledger = false, false, false, nil, nil, nil
	w.every(n, 400, func() { w.updateLoans(n) })
	w.every(n, 100, func() { w.sendProbes(n, n.detector.Tick(w.now)) })
	w.pull(n)
}

// slotCount is the maximum number of limiters that can hold places at once.
func (w *World) slotCount() int { return w.Limiters + w.Standby }

// activate starts admission decisions on a limiter that has been given a slot.
func (w *World) activate(n *node, slot int) {
	var neighbours []int
	for i, p := range n.table.Places {
		if o := w.byName[p.Name]; i != slot && p.Held() && o.region == n.region {
			neighbours = append(neighbours, i)
		}
	}
	n.position = slot
	if n.ledger != nil { // it had another slot before
		n.ledger.Resize(slot, w.slotCount(), neighbours)
	} else {
		n.ledger = quotaloan.New(w.now, slot, w.slotCount(), neighbours, w.rng.Uint64())
		if n.table.Places[slot].Incarnation == n.id() {
			n.ledger.SkipRecall()
		}
	}
	n.holding = quotaloan.NewHolding(n.ledger, slot, w.slotCount())
	s := limiter.Settings{Position: n.position, Balancers: w.slotCount(), PeerInPerS: 3, Classes: []limiter.Class{{AimMs: 3000, DeadlineMs: 1, Worth: 1}},
		Plans: []limiter.Plan{{Price: 1}}, Caps: limiter.Caps{Attempts: 2, Peers: true, RetryAfter: true, MaxWaitMs: 1000, ConnectMs: 300}, Rules: limiter.Rules{FallMs: 1000}}
	handover := &limiter.Handover{Position: n.position, Balancers: w.slotCount(), HeadMs: 1e-6}
	for _, t := range w.tenants {
		c := w.Rules.Ceiling(t.rate, t.burst)
		s.Plans = append(s.Plans, limiter.Plan{Price: 1, Rate: c.Rate, Burst: c.Burst, CeilingRate: c.Rate, CeilingBurst: c.Burst})
	}
	handover.Plans = s.Plans
	w.assignKeepers(n)
	w.updateShare(n)
	for k, t := range w.tenants {
		a := limiter.AccountMemory{ID: t.id, Plan: k + 1, Spread: w.slotCount(), Balance: n.holding.Ceilings[t.id].Burst}
		if n.table.Places[slot].Incarnation != n.id() {
			a.Share = n.holding.RestartBurst(w.Rules, t.id)
		}
		handover.Accounts = append(handover.Accounts, a)
	}
	lim, err := limiter.New(s, w.rng.Uint64())
	if err != nil {
		panic(fmt.Sprintf("testring: invalid limiter settings: %v", err))
	}
	n.lim = lim
	w.updateParts(n)
	w.handle(n, limiter.Endpoints{Scope: limiter.Complete, Servers: []limiter.ServerInfo{{ID: 1, Phase: limiter.Up}, {ID: 2, Phase: limiter.Up}, {ID: 3, Phase: limiter.Up}}})
	w.handle(n, limiter.Recall{Memory: &limiter.Memory{Handover: handover}})
	for k, t := range w.tenants {
		w.handle(n, limiter.Ask{Submit: limiter.Submit{ID: "opens", ExpiresMs: 1, Plan: k + 1, Account: t.id, Spread: w.slotCount()}})
	}
}

// Stop kills a limiter without notice to the others.
func (w *World) Stop(i int) { w.nodes[i].up = false }

// Congest delays all datagrams from and to a limiter for ms.
func (w *World) Congest(i int, ms float64) { w.nodes[i].congestedUntil = w.now + ms }

func (n *node) id() string { return n.name + "#" + strconv.Itoa(n.incarnation) }

// every runs do periodically, from a random phase, until the limiter stops or restarts.
func (w *World) every(n *node, ms float64, do func()) {
	incarnation := n.incarnation
	var again func()
	again = func() {
		if n.up && n.incarnation == incarnation {
			do()
			w.after(ms, again)
		}
	}
	w.after(ms*w.rng.Float64(), again)
}

// handle passes an event to a limiter and performs the actions that it returns. Events that these cause
// are queued, so that one is handled at a time.
func (w *World) handle(n *node, ev limiter.Event) {
	if n.lim == nil {
		return
	}
	n.eventQueue = append(n.eventQueue, ev)
	if n.handling {
		return
	}
	n.handling = true
	for i := 0; i < len(n.eventQueue); i++ {
		for _, a := range n.lim.Handle(w.now, n.eventQueue[i]) {
			w.perform(n, a)
		}
	}
	n.eventQueue, n.handling = n.eventQueue[:0], false
}

func (w *World) perform(n *node, a limiter.Action) {
	incarnation := n.incarnation
	switch a := a.(type) {
	case limiter.PassOn:
		if f := n.callbacks[a.ID]; f != nil {
			f(true, false, a.Server)
		}
	case limiter.Refuse:
		if f := n.callbacks[a.ID]; f != nil {
			f(false, a.Why == limiter.CeilingShort, 0)
		}
	case limiter.Grant:
		if n.tokenGranted != nil {
			*n.tokenGranted = true
		}
	case limiter.Timer:
		w.after(a.At-w.now, func() {
			if n.up && n.incarnation == incarnation {
				w.handle(n, limiter.Alarm{Handle: a.Handle})
			}
		})
	case limiter.Tell:
		if to, data := w.nodeAt(n, a.To), slices.Clone(a.Data); to != nil {
			w.datagram("spending", n, to, len(data)+1, func() { w.handle(to, limiter.PeerMessage{From: n.position, Data: data}) })
		}
	}
}

// sendProbes sends the messages of a limiter's failure detector.
func (w *World) sendProbes(n *node, out []membership.Envelope) {
	for _, l := range out {
		name, _, _ := strings.Cut(l.To, "#")
		if to := w.byName[name]; to != nil && to.up && to.id() == l.To {
			w.datagram("line", n, to, len(rpc.Encode(l.Message))+1, func() { w.sendProbes(to, to.detector.Receive(w.now, l.Message)) })
		}
	}
}

// nodeAt returns the limiter that holds a slot according to n's table, or nil if there is none.
func (w *World) nodeAt(n *node, slot int) *node {
	if slot < 0 || slot >= len(n.table.Places) || !n.table.Places[slot].Held() {
		return nil
	}
	return w.byName[n.table.Places[slot].Name]
}

func (w *World) updateLoans(n *node) {
	if n.lim == nil {
		return
	}
	var demands []quotaloan.Demand
	for _, d := range n.lim.Demands() {
		demands = append(demands, quotaloan.Demand{ID: d.Account, Requests: d.Asked})
	}
	for _, l := range n.holding.UpdateDemand(w.now, demands) {
		w.sendLoan(n, l)
	}
	w.updateParts(n)
}

func (w *World) sendLoan(n *node, l quotaloan.Envelope) {
	to := w.nodeAt(n, l.To)
	if to == nil {
		return
	}
	w.datagram("loans", n, to, len(rpc.Encode(l.Message))+1, func() {
		if to.holding == nil {
			return
		}
		if a, ok := to.holding.Ledger.Receive(w.now, n.position, l.Message); ok {
			w.updateParts(to)
			w.sendLoan(to, a)
		} else if l.Message.Answer {
			w.updateParts(to)
		}
	})
}

func (w *World) updateParts(n *node) {
	if of, rest, changed := n.holding.Parts(w.now); changed {
		w.handle(n, limiter.Parts{ByAccount: of, Default: rest})
	}
}

// CountFalseUnreachable counts the pairs of running limiters of a region of which the first wrongly considers the second
// unreachable.
func (w *World) CountFalseUnreachable() (wrong int) {
	for _, n := range w.nodes {
		for _, o := range w.nodes {
			if n != o && n.up && o.up && n.region == o.region && n.detector.State(o.id()) == membership.Unreachable {
				wrong++
			}
		}
	}
	return wrong
}

// MaxQuotaExcess returns the largest excess of any tenant over its quota in any window, in requests; it is 0 or less
// if all limiters together keep the quotas. The limit is that of the operators' rule: the rate times the
// window plus the burst, times one plus the overshoot, plus the slack.
func (w *World) MaxQuotaExcess() float64 {
	worst := math.Inf(-1)
	window := float64(w.Rules.QuotaWindow / time.Millisecond)
	for _, t := range w.tenants {
		most := (t.rate*window/1000+t.burst)*(1+w.Rules.QuotaOvershoot) + w.Rules.QuotaSlack
		from := 0
		for i, at := range t.admittedAt {
			for t.admittedAt[from] < at-window {
				from++
			}
			worst = max(worst, float64(i-from+1)-most)
		}
	}
	return worst
}

// CountState returns the number of running limiters whose catalog has a server in the given state.
func (w *World) CountState(server int, s catalog.State) (n int) {
	for _, l := range w.nodes {
		if l.up && l.book != nil {
			if r, ok := l.book.Get(w.now, fmt.Sprintf("i-%d", server)); ok && r.State == s {
				n++
			}
		}
	}
	return n
}

// RunningCount returns the number of limiters that are running.
func (w *World) RunningCount() (n int) {
	for _, l := range w.nodes {
		if l.up {
			n++
		}
	}
	return n
}
