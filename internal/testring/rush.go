package testring

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/traffic/loadreports"
)

// View is what limiters go by in a rush.
type View int

// The views: each limiter's own requests alone, what neighbours tell of theirs, and, to hold both
// against, what all servers have in hand at this moment.
const (
	Own View = iota
	Told
	Oracle
)

func (v View) String() string { return [...]string{"own", "told", "oracle"}[v] }

// Rush is a service whose requests come at more than their usual in one zone for a while. Servers
// work on a few requests at a time, let some wait and reset what comes beyond; what is reset is not
// sent again.
type Rush struct {
	Seed                     uint64
	View                     View
	Zones, Limiters, Servers int // limiters and servers of each zone
	Slots                    int
	Share                    float64 // of what the servers can do, usually
	X                        float64 // times the usual in zone 0 ...
	From, To                 float64 // ... in ms
	WorkMs, AimMs            float64
	LateMs                   float64 // from the rush on what is told comes so much later
	Silent                   func(now float64, limiter int) bool
	Liar                     bool // one limiter of each zone says that everything is full
}

// Felt is how requests fared.
type Felt struct {
	Asked, InAim, Lost, Refused int
	P50, P99                    float64 // ms, of those answered
	took                        []float64
}

// Share is how many of all that were asked for were answered within the aim.
func (f *Felt) Share() float64 { return float64(f.InAim) / float64(max(1, f.Asked)) }

// Rushed is what came of a rush: calm seconds, and those of it, in zone 0 and in the others.
type Rushed struct {
	Calm, Here, Elsewhere Felt
	Words, Bytes          float64 // of one limiter, a second
}

const (
	rushQueue  = 8
	rushWarm   = 8_000.0 // ms until anything counts: limiters learn first
	rushNearMs = 0.3
	rushFarMs  = 1.4
	rushBlocks = 50.0
)

type rushServer struct {
	zone, inHand, busy int
	speed              float64
	waits              []func()
}

type rushLimiter struct {
	zone  int
	lim   *limiter.Limiter
	desk  *loadreports.Tracker
	calls map[string]func(server uint64) // nil server: 0
	told  map[uint64]limiter.InHand
	queue []limiter.Event
	busy  bool
}

type rush struct {
	Rush
	now      float64
	serial   int
	due      events
	rng      *rand.Rand
	limiters []*rushLimiter
	servers  []*rushServer
	res      *Rushed
}

func (w *rush) after(ms float64, do func()) {
	w.serial++
	heap.Push(&w.due, event{w.now + max(0, ms), w.serial, do})
}

// Play plays a rush until ms after its end.
func (o Rush) Play(ms float64) *Rushed {
	w := &rush{Rush: o, rng: rand.New(rand.NewPCG(o.Seed, 17)), res: &Rushed{}}
	speeds := []float64{0.8, 1, 1.25} // an answer takes so many times the work
	can := 0.0
	for i := range o.Zones * o.Servers {
		s := &rushServer{zone: i % o.Zones, speed: speeds[w.rng.IntN(len(speeds))]}
		w.servers = append(w.servers, s)
		can += float64(o.Slots) / (o.WorkMs * s.speed)
	}
	for i := range o.Zones * o.Limiters {
		w.begin(i)
	}
	for zone := range o.Zones {
		w.arrivals(zone, can*o.Share/float64(o.Zones))
	}
	for end := o.To + ms; len(w.due) > 0 && w.due[0].at <= end; {
		e := heap.Pop(&w.due).(event)
		w.now = e.at
		e.do()
	}
	for _, f := range []*Felt{&w.res.Calm, &w.res.Here, &w.res.Elsewhere} {
		slices.Sort(f.took)
		if n := len(f.took); n > 0 {
			f.P50, f.P99 = f.took[n/2], f.took[n*99/100]
		}
	}
	span := (o.To + ms) / 1000 * float64(len(w.limiters))
	w.res.Words, w.res.Bytes = w.res.Words/span, w.res.Bytes/span
	return w.res
}

// begin starts a limiter.
func (w *rush) begin(i int) {
	n := &rushLimiter{zone: i % w.Zones, desk: loadreports.New(uint32(i + 1)), calls: map[string]func(uint64){}, told: map[uint64]limiter.InHand{}}
	lim, err := limiter.New(limiter.Settings{Position: i, Balancers: w.Zones * w.Limiters, Classes: []limiter.Class{{Repeat: limiter.Unsafe, AimMs: 3 * w.AimMs, DeadlineMs: 1, Worth: 1, LateShare: 0.3}},
		Plans: []limiter.Plan{{Price: 1}}, Caps: limiter.Caps{Attempts: 1, RetryAfter: true, MaxWaitMs: 1000, ConnectMs: 300}, Rules: limiter.Rules{FallMs: 1000}}, w.rng.Uint64())
	if err != nil {
		panic(fmt.Sprintf("testring: the settings make no sense: %v", err))
	}
	n.lim = lim
	w.limiters = append(w.limiters, n)
	var list []limiter.ServerInfo
	known := map[uint32]loadreports.Server{}
	for k, s := range w.servers {
		far := 0.3
		if s.zone == n.zone {
			far = 0
		}
		list = append(list, limiter.ServerInfo{ID: uint64(k + 1), Phase: limiter.Up, Far: far})
		known[uint32(k+1)] = loadreports.Server{Service: "desk", Slots: w.Slots, Zone: fmt.Sprint(s.zone), SameZone: s.zone == n.zone}
	}
	n.desk.SetServers(known)
	n.desk.SetNeighbours(w.Limiters - 1)
	w.after(0, func() { w.handle(n, limiter.Endpoints{Scope: limiter.Complete, Servers: list}) })
	if w.View == Told {
		w.after(rushBlocks*w.rng.Float64(), func() { w.blocks(i) })
		w.after(400*w.rng.Float64(), func() { w.look(i) })
	}
}

// blocks tells neighbours of the zone what a limiter has in hand, and its decisions what they have.
func (w *rush) blocks(i int) {
	n := w.limiters[i]
	w.believe(n, n.desk.RemoteLoad(w.now))
	n.desk.PressureChanges()
	silent := w.Silent != nil && w.Silent(w.now, i)
	if word, due := n.desk.NextReport(w.now); due && !silent {
		if w.Liar && i < w.Zones {
			word.Entries = nil
			for k, s := range w.servers {
				if s.zone == n.zone && k < 64 {
					word.Entries = append(word.Entries, 0, 0, 0, byte(k+1), 255, 255)
				}
			}
		}
		size := float64(len(rpc.Encode(word)) + 1)
		for k, o := range w.limiters {
			if k == i || o.zone != n.zone {
				continue
			}
			w.res.Words, w.res.Bytes = w.res.Words+1, w.res.Bytes+size
			w.after(rushNearMs+w.late(), func() {
				if w.Silent == nil || !w.Silent(w.now, k) {
					o.desk.Receive(w.now, word)
				}
			})
		}
	}
	w.after(rushBlocks, func() { w.blocks(i) })
}

func (w *rush) late() float64 {
	if w.now < w.From {
		return 0
	}
	return w.LateMs
}

// look tells a limiter of another zone how full this one is, as the line does.
func (w *rush) look(i int) {
	n := w.limiters[i]
	waits, known := n.desk.LocalWaits()
	if o := w.limiters[w.rng.IntN(len(w.limiters))]; known && o.zone != n.zone && (w.Silent == nil || !w.Silent(w.now, i)) {
		w.after(rushFarMs+w.late(), func() { o.desk.ReceiveZoneWaits(w.now, fmt.Sprint(n.zone), waits) })
	}
	w.after(130, func() { w.look(i) }) // looks, and answers to others' looks
}

func (w *rush) believe(n *rushLimiter, others map[uint32]float64) {
	var news []limiter.InHand
	for server, x := range others {
		news = append(news, limiter.InHand{Server: uint64(server), Others: x, Slots: float64(w.Slots)})
	}
	for server := range n.told {
		if _, still := others[uint32(server)]; !still {
			news = append(news, limiter.InHand{Server: server})
		}
	}
	clear(n.told)
	for _, x := range news {
		if x.Others > 0 {
			n.told[x.Server] = x
		}
	}
	w.handle(n, limiter.Occupied{Servers: news})
}

func (w *rush) handle(n *rushLimiter, ev limiter.Event) {
	n.queue = append(n.queue, ev)
	if n.busy {
		return
	}
	n.busy = true
	for i := 0; i < len(n.queue); i++ {
		for _, a := range n.lim.Handle(w.now, n.queue[i]) {
			switch a := a.(type) {
			case limiter.PassOn:
				n.calls[a.ID](a.Server)
			case limiter.Refuse:
				n.calls[a.ID](0)
			case limiter.Timer:
				w.after(a.At-w.now, func() { w.handle(n, limiter.Alarm{Handle: a.Handle}) })
			}
		}
	}
	n.queue, n.busy = n.queue[:0], false
}

// arrivals has the requests of a zone come, at any of its limiters.
func (w *rush) arrivals(zone int, perMs float64) {
	rate := perMs
	if zone == 0 && w.now >= w.From && w.now < w.To {
		rate *= w.X
	}
	w.after(w.rng.ExpFloat64()/rate, func() {
		w.arrivals(zone, perMs)
		w.request(w.limiters[zone+w.Zones*w.rng.IntN(w.Limiters)])
	})
}

func (w *rush) request(n *rushLimiter) {
	w.serial++
	id, begun := fmt.Sprint(w.serial), w.now
	f := &Felt{} // of the first seconds, which do not count
	switch {
	case begun >= w.From && begun < w.To && n.zone == 0:
		f = &w.res.Here
	case begun >= w.From && begun < w.To:
		f = &w.res.Elsewhere
	case begun >= rushWarm && begun < w.From:
		f = &w.res.Calm
	}
	f.Asked++
	if w.View == Oracle {
		others := map[uint32]float64{}
		for k, s := range w.servers {
			if s.inHand > 0 {
				others[uint32(k+1)] = float64(s.inHand) - float64(n.desk.InFlight(uint32(k+1)))
			}
		}
		w.believe(n, others)
	}
	over := func(server uint64, result limiter.Result) {
		delete(n.calls, id)
		took := w.now - begun
		n.desk.RequestEnded(uint32(server), result == limiter.Pass, took)
		w.handle(n, limiter.Outcome{ID: id, Server: server, Result: result, SpentMs: took, Done: true})
		if result != limiter.Pass {
			f.Lost++
			return
		}
		if f.took = append(f.took, took); took <= w.AimMs {
			f.InAim++
		}
	}
	n.calls[id] = func(server uint64) {
		if server == 0 {
			delete(n.calls, id)
			f.Refused++
			return
		}
		n.desk.RequestStarted(uint32(server))
		s := w.servers[server-1]
		way := rushNearMs
		if s.zone != n.zone {
			way = rushFarMs
		}
		w.after(way, func() {
			if s.inHand >= w.Slots+rushQueue {
				w.after(way, func() { over(server, limiter.Cut) })
				return
			}
			s.inHand++
			if begin := func() { w.work(s, func() { w.after(way, func() { over(server, limiter.Pass) }) }) }; s.busy < w.Slots {
				begin()
			} else {
				s.waits = append(s.waits, begin)
			}
		})
	}
	w.handle(n, limiter.Submit{ID: id, ExpiresMs: 9 * w.AimMs, Units: 1, Spread: 1})
}

// work has a server work on a request, and then on the next one that waits.
func (w *rush) work(s *rushServer, done func()) {
	s.busy++
	w.after(w.WorkMs*s.speed*math.Exp(0.3*w.rng.NormFloat64()), func() {
		s.busy--
		s.inHand--
		if len(s.waits) > 0 {
			next := s.waits[0]
			s.waits = s.waits[1:]
			next()
		}
		done()
	})
}
