// Package testring is a world in virtual time in which the pure parts of the control state run
// together as they do in the hosts: the books of registries, and of each limiter its decisions,
// its line along its region, its loans and its asks for single tokens. It counts what they say to
// each other, and judges whether all limiters together keep tenants' quotas. There is one
// thread, one clock and one source of chance: a seed plays the same again.
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

// Options say what is played.
type Options struct {
	Seed            uint64
	Regions, Zones  int // regions, and zones of each
	Limiters        int
	Standby         int  // limiters beside these that begin when they are started
	Redirect        bool // clients go to limiters that are ready, whichever they are
	Cores           int
	Servers         int
	Tenants         int
	PerS            float64 // requests of all tenants a second
	Rules           allowance.Rules
	HotTenant       int     // its rank by size, sends HotX times its usual ...
	HotX            float64 // ... from HotFrom to HotTo
	HotFrom, HotTo  float64 // ms
	Loss            float64 // of datagrams
	Light           bool    // limiters keep no books of their own, only what they know of others'
	ZoneMs, CrossMs float64 // one way between zones of a region, and between regions
}

// Kind counts messages of one kind.
type Kind struct{ Messages, Bytes float64 }

// World is one play.
type World struct {
	Options
	Sent     map[string]*Kind
	Requests int // owed: within the tenant's quota
	Refused  int // of them
	Rounds   int // of ballots about places
	now      float64
	rng      *rand.Rand
	due      events
	serial   int
	nodes    []*node
	byName   map[string]*node
	cores    []*core
	tenants  []*tenant
	tables   []places.Table // of places that the cores have agreed on, by version
	cut      func(a, b spot) bool
}

// spot is where a machine stands.
type spot struct {
	name         string
	zone, region int
}

// tenant sends requests to any limiter.
type tenant struct {
	id          uint64
	usual       float64 // requests a second
	rate, burst float64 // its quota
	passed      []float64
}

// core is a registry.
type core struct {
	spot
	book    *catalog.Book
	up      bool
	waiting []func() // pulls that are held
	stirred bool
	life    int

	begun     float64
	version   uint64 // of the table of places
	proved    float64
	registrar *places.Registrar
	asking    bool // for a change of places
	askedAt   float64
}

// node is a limiter.
type node struct {
	spot
	place   int // slot in the table; meaningless before there is one
	life    int
	up      bool
	begun   float64
	table   places.Table
	version uint64
	lease   places.Lease
	leaving bool
	done    bool    // it has nothing more to send
	serving bool    // it holds a part
	choked  float64 // until when its link is full, so that what it says is late
	lim     *limiter.Limiter
	holding *quotaloan.Holding
	desk    *quotaloan.Ledger
	line    *membership.Detector
	book    *catalog.Book
	vector  catalog.Vector
	core    int
	asks    map[uint64]*allowance.AskBackoff
	calls   map[string]func(ok bool, short bool, server uint64)
	granted *bool
	queue   []limiter.Event
	working bool
	serial  int
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

// after has something done later.
func (w *World) after(ms float64, do func()) {
	w.serial++
	heap.Push(&w.due, event{w.now + max(0, ms), w.serial, do})
}

// Run plays on for a while.
func (w *World) Run(ms float64) {
	end := w.now + ms
	for len(w.due) > 0 && w.due[0].at <= end {
		e := heap.Pop(&w.due).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// New returns a world in which everything has just begun.
func New(o Options) *World {
	if o.ZoneMs == 0 {
		o.ZoneMs, o.CrossMs = 1.4, 20
	}
	w := &World{Options: o, Sent: map[string]*Kind{}, byName: map[string]*node{}, rng: rand.New(rand.NewPCG(o.Seed, 11)), cut: func(a, b spot) bool { return false }}
	total := 0.0
	for i := range o.Tenants {
		t := &tenant{id: uint64(i + 1), usual: math.Pow(float64(i+1), -0.8)}
		total += t.usual
		w.tenants = append(w.tenants, t)
	}
	for _, t := range w.tenants {
		t.usual *= o.PerS / total
		t.rate = 1.6 * t.usual
		t.burst = t.rate
	}
	w.tables = []places.Table{{}}
	all := o.Regions * o.Zones
	for i := range o.Limiters + o.Standby {
		z := i % all
		n := &node{spot: spot{fmt.Sprintf("edge-%d", i), z, z % o.Regions}}
		w.nodes, w.byName[n.name] = append(w.nodes, n), n
	}
	for i := range o.Cores {
		c := &core{spot: spot{fmt.Sprintf("core-%d", i), i % o.Zones * o.Regions, 0}}
		w.cores = append(w.cores, c)
	}
	for i := range w.cores {
		w.StartCore(i)
	}
	for i := range o.Limiters {
		w.after(w.rng.Float64()*500, func() { w.Start(i) })
	}
	for i := range o.Servers {
		w.after(w.rng.Float64()*1500, func() { w.beat(i, i%o.Cores, 1, catalog.Available) })
	}
	for _, t := range w.tenants {
		w.arrive(t)
	}
	return w
}

// Cut has no message pass between places for which it says so.
func (w *World) Cut(f func(aZone, bZone int) bool) {
	w.cut = func(a, b spot) bool { return f(a.zone, b.zone) }
}

// delay is the time that a message takes.
func (w *World) delay(a, b spot) float64 {
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

// datagram takes a message from one limiter to another, or loses it.
func (w *World) datagram(kind string, from, to *node, bytes int, take func()) {
	w.count(kind, bytes)
	if w.cut(from.spot, to.spot) || w.rng.Float64() < w.Loss {
		return
	}
	late := w.delay(from.spot, to.spot)
	for _, n := range []*node{from, to} {
		if n.choked > w.now { // behind a queue of up to half a second and more
			late += 300 + 400*w.rng.Float64()
		}
	}
	life := to.life
	w.after(late, func() {
		if to.up && to.life == life {
			take()
		}
	})
}

// Start has a limiter begin, anew if it ran before.
func (w *World) Start(i int) {
	n := w.nodes[i]
	n.life++
	n.up, n.core = true, w.rng.IntN(len(w.cores))
	n.vector, n.asks, n.calls, n.queue, n.working = catalog.Vector{}, map[uint64]*allowance.AskBackoff{}, map[string]func(bool, bool, uint64){}, nil, false
	n.line = membership.New(n.id(), w.rng.Uint64())
	if !w.Light {
		n.book = catalog.New("")
	}
	n.begun, n.table, n.version, n.lease = w.now, places.Table{}, 0, places.Lease{}
	n.leaving, n.done, n.serving, n.lim, n.holding, n.desk = false, false, false, nil, nil, nil
	w.every(n, 400, func() { w.lookAtLoans(n) })
	w.every(n, 100, func() { w.say(n, n.line.Tick(w.now)) })
	w.pull(n)
}

// slots are as many as limiters may hold places at once.
func (w *World) slots() int { return w.Limiters + w.Standby }

// open has a limiter that has got its place begin to decide.
func (w *World) open(n *node, slot int) {
	var near []int
	for i, p := range n.table.Places {
		if o := w.byName[p.Name]; i != slot && p.Held() && o.region == n.region {
			near = append(near, i)
		}
	}
	n.place = slot
	if n.desk != nil { // it had another slot
		n.desk.Resize(slot, w.slots(), near)
	} else {
		n.desk = quotaloan.New(w.now, slot, w.slots(), near, w.rng.Uint64())
		if n.table.Places[slot].Life == n.id() {
			n.desk.SkipRecall()
		}
	}
	n.holding = quotaloan.NewHolding(n.desk, slot, w.slots())
	s := limiter.Settings{Position: n.place, Balancers: w.slots(), PeerInPerS: 3, Classes: []limiter.Class{{AimMs: 3000, DeadlineMs: 1, Worth: 1}},
		Plans: []limiter.Plan{{Price: 1}}, Caps: limiter.Caps{Attempts: 2, Peers: true, RetryAfter: true, MaxWaitMs: 1000, ConnectMs: 300}, Rules: limiter.Rules{FallMs: 1000}}
	from := &limiter.Handover{Position: n.place, Balancers: w.slots(), HeadMs: 1e-6}
	for _, t := range w.tenants {
		c := w.Rules.Ceiling(t.rate, t.burst)
		s.Plans = append(s.Plans, limiter.Plan{Price: 1, Rate: c.Rate, Burst: c.Burst, CeilingRate: c.Rate, CeilingBurst: c.Burst})
	}
	from.Plans = s.Plans
	w.gather(n)
	w.hold(n)
	for k, t := range w.tenants {
		a := limiter.AccountMemory{ID: t.id, Plan: k + 1, Spread: w.slots(), Balance: n.holding.Ceilings[t.id].Burst}
		if n.table.Places[slot].Life != n.id() {
			a.Share = n.holding.RestartBurst(w.Rules, t.id)
		}
		from.Accounts = append(from.Accounts, a)
	}
	lim, err := limiter.New(s, w.rng.Uint64())
	if err != nil {
		panic(fmt.Sprintf("testring: the settings make no sense: %v", err))
	}
	n.lim = lim
	w.parts(n)
	w.handle(n, limiter.Endpoints{Scope: limiter.Complete, Servers: []limiter.ServerInfo{{ID: 1, Phase: limiter.Up}, {ID: 2, Phase: limiter.Up}, {ID: 3, Phase: limiter.Up}}})
	w.handle(n, limiter.Recall{Memory: &limiter.Memory{Handover: from}})
	for k, t := range w.tenants {
		w.handle(n, limiter.Ask{Submit: limiter.Submit{ID: "opens", ExpiresMs: 1, Plan: k + 1, Customer: t.id, Spread: w.slots()}})
	}
}

// Stop ends a limiter without a word.
func (w *World) Stop(i int) { w.nodes[i].up = false }

// Choke fills the link of a limiter for a while.
func (w *World) Choke(i int, ms float64) { w.nodes[i].choked = w.now + ms }

func (n *node) id() string { return n.name + "#" + strconv.Itoa(n.life) }

// every does something again and again while a limiter lives.
func (w *World) every(n *node, ms float64, do func()) {
	life := n.life
	var again func()
	again = func() {
		if n.up && n.life == life {
			do()
			w.after(ms, again)
		}
	}
	w.after(ms*w.rng.Float64(), again)
}

// handle gives a limiter's decisions an event and does what they return.
func (w *World) handle(n *node, ev limiter.Event) {
	if n.lim == nil {
		return
	}
	n.queue = append(n.queue, ev)
	if n.working {
		return
	}
	n.working = true
	for i := 0; i < len(n.queue); i++ {
		for _, a := range n.lim.Handle(w.now, n.queue[i]) {
			w.do(n, a)
		}
	}
	n.queue, n.working = n.queue[:0], false
}

func (w *World) do(n *node, a limiter.Action) {
	life := n.life
	switch a := a.(type) {
	case limiter.PassOn:
		if f := n.calls[a.ID]; f != nil {
			f(true, false, a.Server)
		}
	case limiter.Refuse:
		if f := n.calls[a.ID]; f != nil {
			f(false, a.Why == limiter.CeilingShort, 0)
		}
	case limiter.Grant:
		if n.granted != nil {
			*n.granted = true
		}
	case limiter.Timer:
		w.after(a.At-w.now, func() {
			if n.up && n.life == life {
				w.handle(n, limiter.Alarm{Handle: a.Handle})
			}
		})
	case limiter.Tell:
		if to, data := w.at(n, a.To), slices.Clone(a.Data); to != nil {
			w.datagram("spending", n, to, len(data)+1, func() { w.handle(to, limiter.PeerMessage{From: n.place, Data: data}) })
		}
	}
}

// say sends what a limiter's line has to say.
func (w *World) say(n *node, out []membership.Envelope) {
	for _, l := range out {
		name, _, _ := strings.Cut(l.To, "#")
		if to := w.byName[name]; to != nil && to.up && to.id() == l.To {
			w.datagram("line", n, to, len(rpc.Encode(l.Message))+1, func() { w.say(to, to.line.Receive(w.now, l.Message)) })
		}
	}
}

// at is the limiter in a slot, as another one knows; nil: there is none.
func (w *World) at(n *node, slot int) *node {
	if slot < 0 || slot >= len(n.table.Places) || !n.table.Places[slot].Held() {
		return nil
	}
	return w.byName[n.table.Places[slot].Name]
}

func (w *World) lookAtLoans(n *node) {
	if n.lim == nil {
		return
	}
	var demands []quotaloan.Demand
	for _, d := range n.lim.Demands() {
		demands = append(demands, quotaloan.Demand{ID: d.Account, Requests: d.Asked})
	}
	for _, l := range n.holding.UpdateDemand(w.now, demands) {
		w.letter(n, l)
	}
	w.parts(n)
}

func (w *World) letter(n *node, l quotaloan.Envelope) {
	to := w.at(n, l.To)
	if to == nil {
		return
	}
	w.datagram("loans", n, to, len(rpc.Encode(l.Message))+1, func() {
		if to.holding == nil {
			return
		}
		if a, ok := to.holding.Ledger.Receive(w.now, n.place, l.Message); ok {
			w.parts(to)
			w.letter(to, a)
		} else if l.Message.Answer {
			w.parts(to)
		}
	})
}

func (w *World) parts(n *node) {
	if of, rest, changed := n.holding.Parts(w.now); changed {
		w.handle(n, limiter.Parts{ByAccount: of, Default: rest})
	}
}

// Out counts how many limiters that run take one that runs for out of reach.
func (w *World) Out() (wrong int) {
	for _, n := range w.nodes {
		for _, o := range w.nodes {
			if n != o && n.up && o.up && n.region == o.region && n.line.State(o.id()) == membership.Unreachable {
				wrong++
			}
		}
	}
	return wrong
}

// Over is by how much the tenant that is furthest over its quota is over it in some window:
// 0 or less where all limiters together keep the rule. It counts as the operators do: so many
// within the window, the burst, the overshoot and the slack.
func (w *World) Over() float64 {
	worst := math.Inf(-1)
	window := float64(w.Rules.QuotaWindow / time.Millisecond)
	for _, t := range w.tenants {
		most := (t.rate*window/1000+t.burst)*(1+w.Rules.QuotaOvershoot) + w.Rules.QuotaSlack
		from := 0
		for i, at := range t.passed {
			for t.passed[from] < at-window {
				from++
			}
			worst = max(worst, float64(i-from+1)-most)
		}
	}
	return worst
}

// Knows tells how many limiters that run know a server to stand so.
func (w *World) Knows(server int, s catalog.State) (n int) {
	for _, l := range w.nodes {
		if l.up && l.book != nil {
			if r, ok := l.book.Get(w.now, fmt.Sprintf("i-%d", server)); ok && r.State == s {
				n++
			}
		}
	}
	return n
}

// Up is the number of limiters that run.
func (w *World) Up() (n int) {
	for _, l := range w.nodes {
		if l.up {
			n++
		}
	}
	return n
}
