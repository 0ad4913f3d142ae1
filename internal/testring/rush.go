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

// View selects what limiters know about the load of servers during a surge.
type View int

// LocalView is each limiter's own requests alone, ReportedView adds what neighbours report, and OracleView is
// the exact number of requests at each server, as a reference for both.
const (
	LocalView View = iota
	ReportedView
	OracleView
)

func (v View) String() string { return [...]string{"own", "told", "oracle"}[v] }

// Surge configures a simulated service whose request rate rises in zone 0 for some time. A server processes
// a few requests at a time, queues some more and resets connections beyond that; requests that are reset are
// not retried.
type Surge struct {
	Seed                     uint64
	View                     View
	Zones, Limiters, Servers int // limiters and servers per zone
	Slots                    int
	Utilization              float64 // base request rate as a share of the capacity of the servers
	SurgeFactor              float64 // factor of the request rate in zone 0 ...
	From, To                 float64 // ... between From and To, in ms
	WorkMs, AimMs            float64
	ReportDelayMs            float64 // additional delay of load reports from the start of the surge
	Silent                   func(now float64, limiter int) bool
	FalseReports             bool // one limiter of each zone reports that all servers are full
}

// Tally counts the outcomes of requests; OnTime are those answered within the target latency.
type Tally struct {
	Requests, OnTime, Lost, Refused int
	P50, P99                        float64 // latency in ms of the answered requests
	elapsedMs                       []float64
}

// Share returns the share of all requests that were answered within the target latency.
func (f *Tally) Share() float64 { return float64(f.OnTime) / float64(max(1, f.Requests)) }

// SurgeResult holds the outcomes of requests before the surge, and during it in zone 0 and in the other zones.
type SurgeResult struct {
	Before, InZone, OtherZones Tally
	Reports, Bytes             float64 // load reports per second and limiter
}

const (
	serverQueueLength = 8
	warmupMs          = 8_000.0 // not counted: limiters learn the service times first
	sameZoneMs        = 0.3
	otherZoneMs       = 1.4
	reportIntervalMs  = 50.0
)

type surgeServer struct {
	zone, inFlight, busy int
	workFactor           float64
	waiting              []func()
}

type surgeLimiter struct {
	zone       int
	lim        *limiter.Limiter
	tracker    *loadreports.Tracker
	callbacks  map[string]func(server uint64) // server is 0 if the request is refused
	reported   map[uint64]limiter.Occupancy
	eventQueue []limiter.Event
	handling   bool
}

type surge struct {
	Surge
	now           float64
	serial        int
	pendingEvents events
	rng           *rand.Rand
	limiters      []*surgeLimiter
	servers       []*surgeServer
	res           *SurgeResult
}

func (w *surge) after(ms float64, do func()) {
	w.serial++
	heap.Push(&w.pendingEvents, event{w.now + max(0, ms), w.serial, do})
}

// Play runs the simulation until ms after the end of the surge.
func (o Surge) Play(ms float64) *SurgeResult {
	w := &surge{Surge: o, rng: rand.New(rand.NewPCG(o.Seed, 17)), res: &SurgeResult{}}
	workFactors := []float64{0.8, 1, 1.25} // service time of a server relative to WorkMs
	capacity := 0.0
	for i := range o.Zones * o.Servers {
		s := &surgeServer{zone: i % o.Zones, workFactor: workFactors[w.rng.IntN(len(workFactors))]}
		w.servers = append(w.servers, s)
		capacity += float64(o.Slots) / (o.WorkMs * s.workFactor)
	}
	for i := range o.Zones * o.Limiters {
		w.startLimiter(i)
	}
	for zone := range o.Zones {
		w.arrivals(zone, capacity*o.Utilization/float64(o.Zones))
	}
	for end := o.To + ms; len(w.pendingEvents) > 0 && w.pendingEvents[0].at <= end; {
		e := heap.Pop(&w.pendingEvents).(event)
		w.now = e.at
		e.do()
	}
	for _, f := range []*Tally{&w.res.Before, &w.res.InZone, &w.res.OtherZones} {
		slices.Sort(f.elapsedMs)
		if n := len(f.elapsedMs); n > 0 {
			f.P50, f.P99 = f.elapsedMs[n/2], f.elapsedMs[n*99/100]
		}
	}
	span := (o.To + ms) / 1000 * float64(len(w.limiters))
	w.res.Reports, w.res.Bytes = w.res.Reports/span, w.res.Bytes/span
	return w.res
}

// startLimiter creates limiter i and schedules its load reports.
func (w *surge) startLimiter(i int) {
	n := &surgeLimiter{zone: i % w.Zones, tracker: loadreports.New(uint32(i + 1)), callbacks: map[string]func(uint64){}, reported: map[uint64]limiter.Occupancy{}}
	lim, err := limiter.New(limiter.Settings{Position: i, Balancers: w.Zones * w.Limiters, Classes: []limiter.Class{{Repeat: limiter.Unsafe, AimMs: 3 * w.AimMs, DeadlineMs: 1, Worth: 1, LateShare: 0.3}},
		Plans: []limiter.Plan{{Price: 1}}, Caps: limiter.Caps{Attempts: 1, RetryAfter: true, MaxWaitMs: 1000, ConnectMs: 300}, Rules: limiter.Rules{FallMs: 1000}}, w.rng.Uint64())
	if err != nil {
		panic(fmt.Sprintf("testring: invalid limiter settings: %v", err))
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
	n.tracker.SetServers(known)
	n.tracker.SetNeighbours(w.Limiters - 1)
	w.after(0, func() { w.handle(n, limiter.Endpoints{Scope: limiter.Complete, Servers: list}) })
	if w.View == ReportedView {
		w.after(reportIntervalMs*w.rng.Float64(), func() { w.sendReports(i) })
		w.after(400*w.rng.Float64(), func() { w.sendZoneWaits(i) })
	}
}

// sendReports sends a limiter's load report to the others of its zone when one is due, applies theirs to its own
// decisions, and schedules itself again.
func (w *surge) sendReports(i int) {
	n := w.limiters[i]
	w.applyOthersLoad(n, n.tracker.RemoteLoad(w.now))
	n.tracker.PressureChanges()
	silent := w.Silent != nil && w.Silent(w.now, i)
	if report, due := n.tracker.NextReport(w.now); due && !silent {
		if w.FalseReports && i < w.Zones {
			report.Entries = nil
			for k, s := range w.servers {
				if s.zone == n.zone && k < 64 {
					report.Entries = append(report.Entries, 0, 0, 0, byte(k+1), 255, 255)
				}
			}
		}
		size := float64(len(rpc.Encode(report)) + 1)
		for k, o := range w.limiters {
			if k == i || o.zone != n.zone {
				continue
			}
			w.res.Reports, w.res.Bytes = w.res.Reports+1, w.res.Bytes+size
			w.after(sameZoneMs+w.reportDelay(), func() {
				if w.Silent == nil || !w.Silent(w.now, k) {
					o.tracker.Receive(w.now, report)
				}
			})
		}
	}
	w.after(reportIntervalMs, func() { w.sendReports(i) })
}

func (w *surge) reportDelay() float64 {
	if w.now < w.From {
		return 0
	}
	return w.ReportDelayMs
}

// sendZoneWaits sends the waits in a limiter's zone to a random limiter of another zone, as the failure detector's
// messages carry them, and schedules itself again.
func (w *surge) sendZoneWaits(i int) {
	n := w.limiters[i]
	waits, known := n.tracker.LocalWaits()
	if o := w.limiters[w.rng.IntN(len(w.limiters))]; known && o.zone != n.zone && (w.Silent == nil || !w.Silent(w.now, i)) {
		w.after(otherZoneMs+w.reportDelay(), func() { o.tracker.ReceiveZoneWaits(w.now, fmt.Sprint(n.zone), waits) })
	}
	w.after(130, func() { w.sendZoneWaits(i) }) // the combined rate of probes and of answers to others' probes
}

func (w *surge) applyOthersLoad(n *surgeLimiter, others map[uint32]float64) {
	var news []limiter.Occupancy
	for server, x := range others {
		news = append(news, limiter.Occupancy{Server: uint64(server), Others: x, Slots: float64(w.Slots)})
	}
	for server := range n.reported {
		if _, still := others[uint32(server)]; !still {
			news = append(news, limiter.Occupancy{Server: server})
		}
	}
	clear(n.reported)
	for _, x := range news {
		if x.Others > 0 {
			n.reported[x.Server] = x
		}
	}
	w.handle(n, limiter.Occupancies{Servers: news})
}

func (w *surge) handle(n *surgeLimiter, ev limiter.Event) {
	n.eventQueue = append(n.eventQueue, ev)
	if n.handling {
		return
	}
	n.handling = true
	for i := 0; i < len(n.eventQueue); i++ {
		for _, a := range n.lim.Handle(w.now, n.eventQueue[i]) {
			switch a := a.(type) {
			case limiter.PassOn:
				n.callbacks[a.ID](a.Server)
			case limiter.Refuse:
				n.callbacks[a.ID](0)
			case limiter.Timer:
				w.after(a.At-w.now, func() { w.handle(n, limiter.Alarm{Handle: a.Handle}) })
			}
		}
	}
	n.eventQueue, n.handling = n.eventQueue[:0], false
}

// arrivals schedules the requests of a zone, each at a random limiter of the zone.
func (w *surge) arrivals(zone int, perMs float64) {
	rate := perMs
	if zone == 0 && w.now >= w.From && w.now < w.To {
		rate *= w.SurgeFactor
	}
	w.after(w.rng.ExpFloat64()/rate, func() {
		w.arrivals(zone, perMs)
		w.request(w.limiters[zone+w.Zones*w.rng.IntN(w.Limiters)])
	})
}

func (w *surge) request(n *surgeLimiter) {
	w.serial++
	id, startedAt := fmt.Sprint(w.serial), w.now
	tally := &Tally{} // discarded for requests that are not counted
	switch {
	case startedAt >= w.From && startedAt < w.To && n.zone == 0:
		tally = &w.res.InZone
	case startedAt >= w.From && startedAt < w.To:
		tally = &w.res.OtherZones
	case startedAt >= warmupMs && startedAt < w.From:
		tally = &w.res.Before
	}
	tally.Requests++
	if w.View == OracleView {
		others := map[uint32]float64{}
		for k, s := range w.servers {
			if s.inFlight > 0 {
				others[uint32(k+1)] = float64(s.inFlight) - float64(n.tracker.InFlight(uint32(k+1)))
			}
		}
		w.applyOthersLoad(n, others)
	}
	finish := func(server uint64, result limiter.Result) {
		delete(n.callbacks, id)
		elapsedMs := w.now - startedAt
		n.tracker.RequestEnded(uint32(server), result == limiter.Pass, elapsedMs)
		w.handle(n, limiter.Outcome{ID: id, Server: server, Result: result, SpentMs: elapsedMs, Done: true})
		if result != limiter.Pass {
			tally.Lost++
			return
		}
		if tally.elapsedMs = append(tally.elapsedMs, elapsedMs); elapsedMs <= w.AimMs {
			tally.OnTime++
		}
	}
	n.callbacks[id] = func(server uint64) {
		if server == 0 {
			delete(n.callbacks, id)
			tally.Refused++
			return
		}
		n.tracker.RequestStarted(uint32(server))
		s := w.servers[server-1]
		networkMs := sameZoneMs
		if s.zone != n.zone {
			networkMs = otherZoneMs
		}
		w.after(networkMs, func() {
			if s.inFlight >= w.Slots+serverQueueLength {
				w.after(networkMs, func() { finish(server, limiter.Cut) })
				return
			}
			s.inFlight++
			if begin := func() { w.serve(s, func() { w.after(networkMs, func() { finish(server, limiter.Pass) }) }) }; s.busy < w.Slots {
				begin()
			} else {
				s.waiting = append(s.waiting, begin)
			}
		})
	}
	w.handle(n, limiter.Submit{ID: id, ExpiresMs: 9 * w.AimMs, Units: 1, Spread: 1})
}

// serve makes a server process a request and then the next one in its queue.
func (w *surge) serve(s *surgeServer, done func()) {
	s.busy++
	w.after(w.WorkMs*s.workFactor*math.Exp(0.3*w.rng.NormFloat64()), func() {
		s.busy--
		s.inFlight--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
		done()
	})
}
