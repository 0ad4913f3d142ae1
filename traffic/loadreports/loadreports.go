// Package loadreports is how neighbouring limiters tell each other how occupied servers are. Each tells its neighbours, the limiters
// of its zone, what it has in hand at which server; nobody collects it. What is told is counted
// for as long as requests take, by a weight that falls with age: a request that was told and takes
// 200 ms is half gone after 100. So whoever is cut off, or hears nobody, comes back to what it
// sees itself within the time of one request, and two halves never share out a room that neither
// sees.
//
// A word is the whole of what its source has in hand and replaces the one before, by the source's
// own count: words that are lost, doubled or out of order lead to the same belief. Counts only
// add: who tells nothing, or that everything is empty, takes away no more than its own part of what
// is known; who says that everything is full is believed for so much a server and so many servers.
//
// A [Desk] does no input or output and reads no clock: times are handed in, in milliseconds on a
// clock that does not go backwards. It is not safe for concurrent use.
package loadreports

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	version = 1
	// What is told goes by what it is told for: a word that is older than half of a request
	// steers worse than none. While much is in hand words come every pressedMs, else every
	// calmMs, and none where nothing is in hand.
	pressedMs = 50.0
	calmMs    = 200.0
	// A service is pressed when the zone's limiters have so much in hand against what the zone's
	// servers hold, until it is less than calmAt.
	pressedAt = 0.6
	calmAt    = 0.5

	meanMs      = 500.0 // over which what is in hand is averaged
	zonesMost   = 16
	zoneMs      = 3000.0 // what was told of a zone before is let go
	waitSteps   = 8
	waitMost    = 4.0
	entriesMost = 64 // servers in one word
	countMost   = 4  // requests of one source at one server that are believed
	sourcesMost = 64
	entryBytes  = 6
	timeStep    = 8.0 // ms: the unit of times in a word
	timeWeight  = 0.1 // of one answer in the mean time of a service
	timeFirst   = 200.0
	freshMs     = 400.0 // a neighbour that was heard of since is heard
	forgetMs    = 10_000.0
	knowsAt     = 0.7 // share of the neighbours that have to be heard
)

// Word is what one limiter has in hand. Its layout is versioned: words of another version are let
// go.
type Word struct {
	Version uint8  `cbor:"1,keyasint"`
	Source  uint32 `cbor:"2,keyasint"` // a life of a limiter
	Serial  uint32 `cbor:"3,keyasint"` // rises with each word of a source
	Sent    uint64 `cbor:"5,keyasint"` // ms by the source's own clock
	// Entries are six bytes each: a server's number in four, requests in one, and in one the time
	// that they take, in steps of 8 ms.
	Entries []byte `cbor:"4,keyasint,omitempty"`
}

type entry struct {
	server uint32
	count  float64
	takes  float64 // ms
}

// source is what a neighbour has told last.
type source struct {
	id      uint32
	serial  uint32
	at      float64 // when it was told
	least   float64 // difference of the clocks, by the word that came soonest
	entries []entry
}

// Server is one that requests can go to.
type Server struct {
	Service string
	Slots   int
	Zone    string
	Near    bool // it stands in this limiter's zone
}

// service is what is known of one.
type service struct {
	slots   int     // of its near servers
	takes   float64 // mean time of an answer here, ms
	share   float64 // in hand at its near servers against their slots, in the mean
	wait    float64 // of one more request there, in times of its work, in the mean
	pressed bool
	zones   map[string]told
}

// told is what was heard of another zone's servers of a service.
type told struct{ wait, at float64 }

// Desk is what one limiter knows of its neighbours' requests.
type Desk struct {
	me       uint32
	serial   uint32
	nextAt   float64
	own      map[uint32]int // requests in hand here, by server
	servers  map[uint32]Server
	services map[string]*service
	addedAt  float64
	knows    bool // enough neighbours are heard
	// How many neighbours there are that can be heard of.
	neighbours int
	heard      []*source // by id: sums are the same whoever was heard first
}

// New returns the desk of a limiter. life is of this process, and not 0.
func New(life uint32) *Desk {
	return &Desk{me: life, own: map[uint32]int{}, services: map[string]*service{}}
}

// Expect says how many neighbours there are, beside those that are known to be out of reach.
func (d *Desk) Expect(neighbours int) { d.neighbours = neighbours }

// Serve says which servers there are, by their numbers. Each has a slot at least.
func (d *Desk) Serve(servers map[uint32]Server) {
	d.servers = servers
	slots := map[string]int{}
	for _, x := range servers {
		if slots[x.Service] += 0; x.Near {
			slots[x.Service] += x.Slots
		}
	}
	maps.DeleteFunc(d.services, func(name string, _ *service) bool {
		_, still := slots[name]
		return !still
	})
	for name, n := range slots {
		d.service(name).slots = n
	}
}

func (d *Desk) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{takes: timeFirst, zones: map[string]told{}}
		d.services[name] = s
	}
	return s
}

// Began notes a request that goes to a server now.
func (d *Desk) Began(server uint32) { d.own[server]++ }

// Ended notes the end of one. answered tells that it took ms as answers do.
func (d *Desk) Ended(server uint32, answered bool, ms float64) {
	if d.own[server]--; d.own[server] <= 0 {
		delete(d.own, server)
	}
	if x, known := d.servers[server]; known && answered {
		s := d.service(x.Service)
		s.takes += timeWeight * (ms - s.takes)
	}
}

// Next returns the word that is due now, if one is.
func (d *Desk) Next(now float64) (w Word, due bool) {
	if now < d.nextAt || len(d.own) == 0 {
		return Word{}, false
	}
	d.nextAt = now + d.pace()
	type held struct {
		server uint32
		count  int
	}
	var all []held
	for server, n := range d.own {
		all = append(all, held{server, n})
	}
	slices.SortFunc(all, func(a, b held) int { return cmp.Or(b.count-a.count, cmp.Compare(a.server, b.server)) })
	d.serial++
	w = Word{Version: version, Source: d.me, Serial: d.serial, Sent: uint64(max(0, now))}
	for _, h := range all[:min(len(all), entriesMost)] {
		takes := timeFirst
		if s := d.services[d.servers[h.server].Service]; s != nil {
			takes = s.takes
		}
		w.Entries = binary.BigEndian.AppendUint32(w.Entries, h.server)
		w.Entries = append(w.Entries, byte(min(h.count, 255)), byte(max(1, min(255, math.Round(takes/timeStep)))))
	}
	return w, true
}

// pace is the time between two words.
func (d *Desk) pace() float64 {
	for _, s := range d.services {
		if s.pressed {
			return pressedMs
		}
	}
	return calmMs
}

// Hear takes in a neighbour's word. It tells whether it is news.
func (d *Desk) Hear(now float64, w Word) bool {
	if w.Version != version || w.Source == d.me || w.Source == 0 || len(w.Entries)%entryBytes != 0 || len(w.Entries) > entriesMost*entryBytes {
		return false
	}
	i, known := slices.BinarySearchFunc(d.heard, w.Source, func(s *source, id uint32) int { return cmp.Compare(s.id, id) })
	if known && int32(w.Serial-d.heard[i].serial) <= 0 || !known && len(d.heard) >= sourcesMost {
		return false
	}
	if !known {
		d.heard = slices.Insert(d.heard, i, &source{id: w.Source, least: math.Inf(1)})
	}
	s := d.heard[i]
	apart := now - float64(w.Sent)
	s.least = min(s.least, apart) // a word that is later than others of its source was under way for longer
	s.serial, s.at, s.entries = w.Serial, now-(apart-s.least), s.entries[:0]
	for e := w.Entries; len(e) > 0; e = e[entryBytes:] {
		s.entries = append(s.entries, entry{binary.BigEndian.Uint32(e), float64(min(e[4], countMost)), float64(e[5]) * timeStep})
	}
	return true
}

// Others tells what others have in hand now, by server, as far as it is known, at the servers of
// pressed services: while there is room, where they are matters little. It is nothing at all, and
// each limiter goes by its own view, while too few neighbours are heard: a part of what is in hand
// would make full servers look empty. A server of another zone, of which no more is known, counts
// as those of its zone do in the mean, by what limiters there tell, or else as half as full as this
// zone: what is known must not look much fuller than what is not, and who hears of no other zone
// must not take all of them for empty.
func (d *Desk) Others(now float64) map[uint32]float64 {
	others := map[uint32]float64{}
	d.heard = slices.DeleteFunc(d.heard, func(s *source) bool { return now-s.at > forgetMs })
	fresh := 0
	for _, s := range d.heard {
		age := now - s.at
		if age < freshMs {
			fresh++
		}
		for _, e := range s.entries {
			if left := e.count * (1 - age/max(1, e.takes)); left > 0 {
				others[e.server] += left
			}
		}
	}
	d.addUp(now, others)
	if d.knows = float64(fresh) >= knowsAt*float64(d.neighbours); !d.knows {
		return nil
	}
	for server := range others {
		if s := d.services[d.servers[server].Service]; s == nil || !s.pressed {
			delete(others, server)
		}
	}
	for server, x := range d.servers {
		if s := d.services[x.Service]; !x.Near {
			if w := s.waits(now, x.Zone); w > 0 {
				others[server] = max(others[server], float64(x.Slots)*(1+w)-1)
			}
		}
	}
	return others
}

// addUp brings the services' figures up to date.
func (d *Desk) addUp(now float64, others map[uint32]float64) {
	weight := 1 - math.Exp((d.addedAt-now)/meanMs)
	d.addedAt = now
	inHand, wait := map[string]float64{}, map[string]float64{}
	for server, x := range d.servers {
		if x.Near {
			n, slots := others[server]+float64(d.own[server]), float64(x.Slots)
			inHand[x.Service] += n
			wait[x.Service] += max(0, n+1-slots) // of one more request, by slots
		}
	}
	for name, s := range d.services {
		slots := float64(max(1, s.slots))
		s.share += weight * (inHand[name]/slots - s.share)
		s.wait += weight * (wait[name]/slots - s.wait)
	}
}

// waits is by how many times its work a request waits at the servers of a zone, in steps, so that
// it changes seldom.
func (s *service) waits(now float64, zone string) float64 {
	x, told := s.zones[zone]
	if !told || now-x.at > zoneMs {
		if x.wait = s.wait / 2; !s.pressed {
			x.wait = 0
		}
	}
	return math.Round(x.wait*waitSteps) / waitSteps
}

// Wait is by how many times its work one more request waits at a zone's servers of a service, in
// the mean.
type Wait struct {
	Service string
	Of      float64
}

// Waits are those of this limiter's zone, of pressed services. They are not known while too few
// neighbours are heard.
func (d *Desk) Waits() (all []Wait, known bool) {
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		if s := d.services[name]; s.pressed {
			all = append(all, Wait{name, s.wait})
		}
	}
	return all, d.knows
}

// Zone takes in what a limiter of another zone tells of that zone: all that waits there. Of a service
// that is not named nothing does.
func (d *Desk) Zone(now float64, zone string, all []Wait) {
	for name, s := range d.services {
		if _, known := s.zones[zone]; !known && len(s.zones) >= zonesMost {
			continue
		}
		x := told{at: now}
		for _, w := range all {
			if w.Service == name {
				x.wait = max(0, min(waitMost, w.Of))
			}
		}
		s.zones[zone] = x
	}
}

// Own is what this limiter has in hand at a server.
func (d *Desk) Own(server uint32) int { return d.own[server] }

// Step is a service that has become pressed, or calm again.
type Step struct {
	Service string
	Pressed bool
	Share   float64 // in hand at the zone's servers against their slots
}

// Steps tells which services have become pressed or calm since it was last asked, by what
// [Desk.Others] added up last.
func (d *Desk) Steps() (all []Step) {
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		s := d.services[name]
		was, share := s.pressed, s.share
		if s.pressed = share >= pressedAt || was && share >= calmAt; s.pressed != was {
			all = append(all, Step{name, s.pressed, share})
			if s.pressed { // neighbours are to know at once
				d.nextAt = 0
			}
		}
	}
	return all
}

// Report tells what is believed of each service, and from whom, as lines of key=value pairs.
func (d *Desk) Report(now float64) (lines []string) {
	fresh, oldest := 0, 0.0
	for _, s := range d.heard {
		if age := now - s.at; age < freshMs {
			fresh++
			oldest = max(oldest, age)
		}
	}
	goesBy := "own_view"
	if d.knows {
		goesBy = "neighbours"
	}
	lines = append(lines, fmt.Sprintf("blocks goes_by=%s neighbours=%d heard=%d oldest_ms=%.0f every_ms=%.0f", goesBy, d.neighbours, fresh, oldest, d.pace()))
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		s := d.services[name]
		lines = append(lines, fmt.Sprintf("load service=%s slots=%d share=%.2f wait=%.2f pressed=%v takes_ms=%.0f zones=%d",
			name, s.slots, s.share, s.wait, s.pressed, s.takes, len(s.zones)))
	}
	return lines
}
