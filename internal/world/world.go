// Package world simulates the environment of the limiters: upstream boxes, the dependency that they
// share, discovery, the network between limiters, and clients with their front-end load balancer. A
// scenario injects faults.
//
// A [World] is a state machine. A driver passes it the time and the actions of limiters, and carries
// out the actions that it returns: in virtual time with the limiters in the same process, or on
// loopback sockets with the real program. It does no I/O, starts no goroutine and reads no clock;
// equal seeds, sources and calls give equal actions. Times are relative to the start of the
// simulation. A World is not safe for concurrent use.
package world

import (
	"math"
	"math/rand/v2"
	"time"

	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/service"
)

// Arrival is a new request of a client, before its first try.
type Arrival struct {
	At          time.Duration
	Account     uint64
	Class, Plan int
	Units       float64
	Work        time.Duration
}

// Source yields arrivals in order of time. Next returns false at the end and on every later call.
type Source interface{ Next() (Arrival, bool) }

// Call is a request of a client across all its tries.
type Call struct {
	service.Request
	ID                uint64
	Work              time.Duration
	Deadline          time.Duration
	tries             int
	followsRetryAfter bool // the client waits for the Retry-After of a refusal
}

// Try is one try of a Call, sent to one limiter.
type Try struct {
	ID             uint64
	Call           *Call
	Limiter        int // index of the receiving limiter
	SentAt         time.Duration
	ClientDeadline time.Duration // time at which the client stops waiting
	Retry          bool
	forwarded      bool
	ended          bool
	lastAttemptEnd string // short description of the end of its latest attempt
}

// Options configures a World in addition to its fleet.
type Options struct {
	Seed           uint64
	Source         Source
	Faults         []Fault
	SampleInterval time.Duration // interval of load samples for charts; 0: none
	// WayOf, if set, returns the Way of a call (see service.Request) by its id.
	WayOf func(call uint64) int
}

// World holds the simulated boxes, clients, discovery and network.
type World struct {
	Fleet   *fleet.Fleet
	Boxes   []*Box // replaced boxes stay at their index
	Meter   *service.Meter
	Samples []Sample
	Notes   []Note

	rng              *rand.Rand
	now              time.Duration
	events           eventQueue
	actions          []Action
	source           Source
	wayOf            func(call uint64) int
	nextArrival      Arrival
	hasNext          bool
	sampleInterval   time.Duration
	sampledCounts    []Counts
	sharedSlowdown   float64
	pods             map[int]*pod
	boxGenerations   []uint32 // generation of each box's scheduled event; events of older generations are void
	boxAt            []int    // by address: its current box
	addrOf           []int    // by box: its address
	limiters         []limiterState
	cutRooms         map[[2]int]bool // unreachable rooms, by limiter and room
	peerLoss         float64
	peersCut         bool
	partitionedRooms map[int]bool // rooms whose limiters are cut off from those of other rooms
	discoverySilent  bool
	heldNews         []event // delivered when discovery resumes
	actualEntries    []Entry // by box
	listed           []bool
	openCalls        int // calls
	lastID           uint64
	rankWeights      []float64 // cumulative weights of an account's limiters by rank
	shifts           []shift
}

// limiterState is the state of a limiter's process, peer inbox and discovery agent.
type limiterState struct {
	alive          bool
	starting       bool
	diedAt         time.Duration
	inboxTokens    float64 // token bucket of peer messages that the inbox accepts
	inboxUpdatedAt time.Duration
	knownEntries   []Entry // by box, as last delivered
	knows          []bool
	nextNewsAt     time.Duration // arrival of the latest pending update, so that updates stay in order
}

// shift is an abrupt move of a share of the accounts to other limiters of theirs.
type shift struct {
	at    time.Duration
	share float64
	salt  uint64
}

// Sample is a snapshot of all boxes, with their activity since the previous sample.
type Sample struct {
	At    time.Duration
	Boxes []BoxSample
}

// BoxSample is the load and state of one box in a Sample.
type BoxSample struct {
	Jobs      int
	Condition Condition
	Warmth    float64
	Arrived   int     // requests since the previous sample
	Busy      float64 // work since the previous sample, as a share of warm capacity
}

// Note is an entry of the simulation's log of faults.
type Note struct {
	At   time.Duration
	Text string
}

// New returns a world at time 0 with all boxes warm and all limiters running.
func New(f *fleet.Fleet, o Options) *World {
	w := &World{Fleet: f, Meter: service.NewMeter(f), rng: rand.New(rand.NewPCG(o.Seed, 0x77)), source: o.Source, wayOf: o.WayOf,
		sampleInterval: o.SampleInterval, sharedSlowdown: 1, pods: map[int]*pod{}, limiters: make([]limiterState, len(f.Limiters)), cutRooms: map[[2]int]bool{}, partitionedRooms: map[int]bool{}}
	for _, spec := range f.Boxes {
		w.newBox(spec, len(w.boxAt))
	}
	sum := 0.0
	for k := range f.Limiters {
		sum += math.Pow(float64(k+1), -f.Traffic.ZipfExponent)
		w.rankWeights = append(w.rankWeights, sum)
	}
	for i := range w.Boxes {
		w.actualEntries[i], w.listed[i] = Entry{Box: i, Addr: i, StartedAt: -1}, true
	}
	absent := map[int]bool{}
	for _, x := range o.Faults {
		if x.Target == AtBox && x.Verb == "joins" && !absent[x.Index] { // a box that joins later is absent until then
			absent[x.Index] = true
			w.Boxes[x.Index].SetCondition(Dead)
			w.listed[x.Index] = false
		} else if x.Target == AtBox {
			absent[x.Index] = true
		}
	}
	for i := range w.limiters {
		l := &w.limiters[i]
		l.alive, l.inboxTokens = true, f.Network.PeerMessageRate
		l.knownEntries, l.knows = append([]Entry(nil), w.actualEntries...), append([]bool(nil), w.listed...)
	}
	for _, x := range o.Faults {
		w.events.add(event{at: x.From, kind: evFault, payload: x})
	}
	if w.sampleInterval > 0 {
		w.events.add(event{at: w.sampleInterval, kind: evSample})
	}
	if w.source != nil {
		w.scheduleArrival()
	}
	return w
}

func (w *World) newBox(spec fleet.Box, addr int) int {
	p := w.pods[spec.Pod]
	if p == nil {
		p = &pod{keyExpiry: map[uint64]time.Duration{}}
		w.pods[spec.Pod] = p
	}
	i := len(w.Boxes)
	w.Boxes = append(w.Boxes, newBox(spec, w.Fleet.Rules, p, &w.sharedSlowdown, rand.New(rand.NewPCG(w.rng.Uint64(), uint64(i)))))
	w.boxGenerations = append(w.boxGenerations, 0)
	w.addrOf = append(w.addrOf, addr)
	w.actualEntries = append(w.actualEntries, Entry{Box: i, Addr: addr})
	w.listed = append(w.listed, false)
	w.sampledCounts = append(w.sampledCounts, Counts{})
	if addr == len(w.boxAt) {
		w.boxAt = append(w.boxAt, i)
	} else {
		w.boxAt[addr] = i
	}
	for k := range w.limiters {
		l := &w.limiters[k]
		if l.knownEntries != nil {
			l.knownEntries, l.knows = append(l.knownEntries, Entry{}), append(l.knows, false)
		}
	}
	return i
}

// scheduleArrival schedules the next arrival of the source.
func (w *World) scheduleArrival() {
	if w.nextArrival, w.hasNext = w.source.Next(); w.hasNext {
		w.events.add(event{at: max(w.now, w.nextArrival.At), kind: evArrival})
	}
}

// Next returns the time of the next event; ok is false if there is none.
func (w *World) Next() (at time.Duration, ok bool) {
	if len(w.events.heap) == 0 {
		return 0, false
	}
	return w.events.heap[0].at, true
}

// Busy reports whether calls are open or the source has more arrivals.
func (w *World) Busy() bool { return w.openCalls > 0 || w.hasNext }

// Open returns the number of calls that have not ended.
func (w *World) Open() int { return w.openCalls }

// Events returns the number of events scheduled so far.
func (w *World) Events() uint64 { return w.events.seq }

// Schedule schedules a Due action with the given value.
func (w *World) Schedule(at time.Duration, what any) {
	w.events.add(event{at: max(at, w.now), kind: evCallback, payload: what})
}

// Advance processes all events until now and returns the resulting actions, together with those left by
// other calls. The slice is valid until the next call.
func (w *World) Advance(now time.Duration) []Action {
	for len(w.events.heap) > 0 && w.events.heap[0].at <= now {
		w.processEvent()
	}
	w.now = max(w.now, now)
	return w.TakeActions()
}

// Step processes the next event alone, at its time. It returns nil and false if there is none.
func (w *World) Step() ([]Action, bool) {
	if len(w.events.heap) == 0 {
		return nil, false
	}
	w.processEvent()
	return w.TakeActions(), true
}

// Now returns the simulated time.
func (w *World) Now() time.Duration { return w.now }

// TakeActions returns the pending actions, in a slice valid until the next call.
func (w *World) TakeActions() []Action {
	out := w.actions
	w.actions = w.actions[len(w.actions):]
	if cap(w.actions) < 64 {
		w.actions = make([]Action, 0, 1024)
	}
	return out
}

func (w *World) emit(a Action) { w.actions = append(w.actions, a) }

func (w *World) addNote(text string) {
	w.Notes = append(w.Notes, Note{w.now, text})
	w.emit(Happened{text})
}

func (w *World) processEvent() {
	e := w.events.pop()
	w.now = max(w.now, e.at)
	switch e.kind {
	case evArrival:
		w.startCall(w.nextArrival)
		w.scheduleArrival()
	case evRetry:
		w.sendTry(e.payload.(*Call))
	case evGiveUp:
		if t := e.payload.(*Try); !t.ended {
			t.ended = true
			w.emit(ClientLeaves{t})
			w.retryOrEnd(t, service.Expired, 0)
		}
	case evBox:
		if e.generation == w.boxGenerations[e.index] {
			w.emitAnswers(e.index, w.Boxes[e.index].Advance(w.now))
			w.scheduleBox(e.index)
		}
	case evDiscoveryNews:
		w.deliverNews(e)
	case evPeerMessage:
		m := e.payload.(DeliverPeerMessage)
		if l := &w.limiters[m.To]; l.alive {
			l.inboxTokens = min(w.Fleet.Network.PeerMessageRate, l.inboxTokens+(w.now-l.inboxUpdatedAt).Seconds()*w.Fleet.Network.PeerMessageRate)
			l.inboxUpdatedAt = w.now
			if l.inboxTokens >= 1 { // a full inbox drops the message
				l.inboxTokens--
				w.emit(m)
			}
		}
	case evFault:
		w.beginFault(e.payload.(Fault))
	case evFaultEnds:
		w.endFault(e.payload.(Fault))
	case evBoxStart:
		w.startBox(e.index)
	case evCallback:
		w.emit(Due{e.payload})
	case evSample:
		w.takeSample()
		if w.Busy() {
			w.events.add(event{at: w.now + w.sampleInterval, kind: evSample})
		}
	}
}

// ---- Boxes ----

// scheduleBox schedules the next event of a box and invalidates the previous one.
func (w *World) scheduleBox(i int) {
	w.boxGenerations[i]++
	if at, ok := w.Boxes[i].Next(); ok {
		w.events.add(event{at: max(w.now, at), kind: evBox, index: i, generation: w.boxGenerations[i]})
	}
}

func (w *World) emitAnswers(i int, done []Done) {
	for _, d := range done {
		a := BoxAnswers{Box: i, Done: d}
		a.Load, a.HasLoad = w.Boxes[i].ReportedLoad(w.now)
		if b := w.Boxes[i]; b.responseFault != NoResponseFault && d.Result == Served && w.rng.Float64() < b.responseFaultShare {
			a.Fault = b.responseFault
		}
		w.emit(a)
	}
}

// BoxAt returns the box that currently uses an address.
func (w *World) BoxAt(addr int) int { return w.boxAt[addr] }

// Addr returns the address of a box, by the indexes of both.
func (w *World) Addr(box int) int { return w.addrOf[box] }

// Reaches reports whether the network connects a limiter and a box.
func (w *World) Reaches(limiter, box int) bool {
	return !w.cutRooms[[2]int{limiter, w.Boxes[box].Spec.Room}] && w.Boxes[box].condition != Vanished
}

// Connect opens a connection of a limiter to a box; Disconnect releases it.
func (w *World) Connect(now time.Duration, limiter, box int) Connect {
	if !w.Reaches(limiter, box) {
		return Silent
	}
	b := w.Boxes[box]
	w.emitAnswers(box, b.Advance(now))
	c := b.Open(now)
	w.scheduleBox(box)
	return c
}

// Disconnect releases a connection that Connect accepted.
func (w *World) Disconnect(box int) { w.Boxes[box].Close() }

// DeliverRequest delivers a complete request to a box. It returns false if the box has no running process. If
// the load crashes a cold box, BoxCrashes and BoxResets follow.
func (w *World) DeliverRequest(now time.Duration, box int, j Job) bool {
	w.now = max(w.now, now)
	b := w.Boxes[box]
	if c := b.condition; c == Dead || c == Crashed || c == Vanished {
		return false
	}
	w.emitAnswers(box, b.Advance(now))
	if b.AddColdWork(now, j.Work) {
		w.addNote("box " + b.Name + " fell over: it was sent too much while it was cold")
		w.emit(BoxCrashes{box})
		w.emit(BoxResets{Box: box, Jobs: append(b.SetCondition(Crashed), j.ID)})
		w.publish(box, Gone, 0)
		w.scheduleBox(box)
		return true
	}
	w.emitAnswers(box, b.AddJob(now, j))
	w.scheduleBox(box)
	return true
}

// Delay returns the one-way network delay between a limiter and a box.
func (w *World) Delay(limiter, box int) time.Duration {
	n := w.Fleet.Network
	if w.Fleet.Limiters[limiter].Room == w.Boxes[box].Spec.Room {
		return w.jitter(n.SameRoom)
	}
	return w.jitter(n.CrossRoom)
}

// ClientDelay returns the one-way network delay between a client and a limiter.
func (w *World) ClientDelay() time.Duration { return w.jitter(w.Fleet.Network.Client) }

func (w *World) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + w.Fleet.Network.Jitter*(2*w.rng.Float64()-1)))
}

// ---- Discovery ----

// publish changes the actual entry of a box and schedules its delayed delivery to every limiter.
func (w *World) publish(box int, h Health, late time.Duration) {
	e := Entry{Box: box, Addr: w.addrOf[box], Health: h, StartedAt: w.Boxes[box].startedAt}
	if w.listed[box] && w.actualEntries[box] == e || !w.listed[box] && h == Gone {
		return
	}
	w.actualEntries[box], w.listed[box] = e, h != Gone
	n := w.Fleet.Network
	base := w.now + late + n.ListDelayMin + time.Duration(w.rng.Float64()*float64(n.ListDelayMax-n.ListDelayMin))
	for i := range w.limiters {
		l := &w.limiters[i]
		l.nextNewsAt = max(l.nextNewsAt, base+time.Duration(w.rng.Float64()*0.1*float64(n.ListDelayMax-n.ListDelayMin)))
		w.events.add(event{at: l.nextNewsAt, kind: evDiscoveryNews, index: i, payload: e})
	}
}

func (w *World) deliverNews(e event) {
	if w.discoverySilent {
		w.heldNews = append(w.heldNews, e)
		return
	}
	l, entry := &w.limiters[e.index], e.payload.(Entry)
	if l.knows[entry.Box] && l.knownEntries[entry.Box] == entry {
		return
	}
	l.knownEntries[entry.Box], l.knows[entry.Box] = entry, entry.Health != Gone
	if l.alive {
		w.emit(DiscoveryUpdate{Limiter: e.index, Entries: []Entry{entry}})
	}
}

// KnownEntries returns the complete list as last delivered to a limiter's discovery agent.
func (w *World) KnownEntries(limiter int) []Entry {
	var all []Entry
	for i, has := range w.limiters[limiter].knows {
		if has {
			all = append(all, w.limiters[limiter].knownEntries[i])
		}
	}
	return all
}

// ---- Peers ----

// SendPeerMessage sends a message from one limiter to another; it may be lost or delayed.
func (w *World) SendPeerMessage(now time.Duration, from, to int, data []byte) {
	w.now = max(w.now, now)
	n := w.Fleet.Network
	if to < 0 || to >= len(w.limiters) {
		return
	}
	a, b := w.Fleet.Limiters[from].Room, w.Fleet.Limiters[to].Room
	if a != b && (w.partitionedRooms[a] || w.partitionedRooms[b]) {
		return
	}
	if w.peersCut || w.rng.Float64() < max(n.PeerLoss, w.peerLoss) {
		return
	}
	delay := n.PeerDelayMin + time.Duration(w.rng.Float64()*float64(n.PeerDelayMax-n.PeerDelayMin))
	w.events.add(event{at: now + delay, kind: evPeerMessage, payload: DeliverPeerMessage{To: to, From: from, Data: data}})
}

// ---- Limiters ----

// LimiterUp records that a limiter is ready, so that the front sends it requests.
func (w *World) LimiterUp(limiter int) {
	l := &w.limiters[limiter]
	l.alive, l.starting = true, false
}

// LimiterAlive reports whether a limiter runs, that is, was not killed or stopped.
func (w *World) LimiterAlive(limiter int) bool { return w.limiters[limiter].alive }

// startLimiter starts a limiter unless it is running or starting.
func (w *World) startLimiter(i int) {
	if l := &w.limiters[i]; !l.alive && !l.starting {
		l.starting = true
		w.emit(StartLimiter{i})
	}
}

func (w *World) stopLimiter(i int, gently bool) {
	if !w.limiters[i].alive {
		return
	}
	w.limiters[i].alive, w.limiters[i].diedAt = false, w.now
	if gently {
		w.emit(StopLimiter{i})
	} else {
		w.emit(KillLimiter{i})
	}
}

// ---- Charts ----

func (w *World) takeSample() {
	s := Sample{At: w.now, Boxes: make([]BoxSample, len(w.Boxes))}
	for i, b := range w.Boxes {
		if b.condition != Dead && b.condition != Vanished && b.condition != Crashed {
			w.emitAnswers(i, b.Advance(w.now))
			w.scheduleBox(i)
		}
		c, before := b.Counts, w.sampledCounts[i]
		s.Boxes[i] = BoxSample{Jobs: b.JobCount(), Condition: b.condition, Warmth: b.Warmth(w.now), Arrived: c.Arrived - before.Arrived,
			Busy: (c.Work - before.Work).Seconds() / (w.sampleInterval.Seconds() * b.Spec.Cores * b.Spec.Speed)}
		w.sampledCounts[i] = c
	}
	w.Samples = append(w.Samples, s)
}

// ---- Faults ----

const (
	restartTime = 2 * time.Second // downtime of a process that restarts
	leaveTime   = 3 * time.Second // drain of a box before it leaves
)

// takeDown ends the process of a box, or its machine without notice if silent.
func (w *World) takeDown(i int, silent bool) {
	b := w.Boxes[i]
	if b.condition == Dead || b.condition == Vanished || b.condition == Crashed {
		return
	}
	c, late := Dead, time.Duration(0)
	if silent {
		c, late = Vanished, w.Fleet.Network.SilentDetection
	}
	w.emitAnswers(i, b.Advance(w.now))
	w.emit(BoxResets{Box: i, Jobs: b.SetCondition(c), Silent: silent})
	w.publish(i, Gone, late)
	w.scheduleBox(i)
}

// startBox starts a dead or vanished box, cold. It leaves a running box alone, because faults may
// overlap, and a fallen box down.
func (w *World) startBox(i int) {
	b := w.Boxes[i]
	if b.condition != Dead && b.condition != Vanished {
		return
	}
	if b.condition == Vanished { // its old connections are reset now
		w.emit(BoxResets{Box: i})
	}
	b.Start(w.now, true)
	w.emit(BoxStarts{i})
	w.publish(i, Ready, 0)
	w.scheduleBox(i)
}
