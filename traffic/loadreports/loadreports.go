// Package loadreports exchanges the load of servers among neighbouring limiters, the limiters of one zone.
// Each limiter reports to its neighbours how many requests it has in flight at which server; there is no
// central collector. A report is counted with a weight that falls linearly with its age to zero over the
// duration of a request: of a request that takes 200 ms half is counted after 100 ms. So a limiter that is
// cut off, or receives no reports, returns to its own view within the duration of one request, and when a
// network partition splits the zone, no side relies on capacity that it can no longer observe.
//
// A report contains all in-flight requests of its source and replaces the source's previous report,
// ordered by the source's serial number: lost, duplicated or reordered reports lead to the same state.
// Reports only add load: a limiter that reports nothing hides no more than its own requests, and one that
// reports every server as full is limited in the load per server and in the number of servers.
//
// [Tracker] does no I/O and reads no clock: times are passed in, monotonic and in milliseconds. It is not
// safe for concurrent use.
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
	formatVersion = 1
	// Interval between reports while a service is under pressure, and otherwise. No reports are sent while
	// nothing is in flight. A report older than half a request's duration makes routing worse than no report.
	pressedIntervalMs = 50.0
	calmIntervalMs    = 200.0
	// A service is under pressure (pressed) when its requests in flight from the zone's limiters exceed this
	// share of the slots of the zone's servers, until they fall below calmThreshold.
	pressedThreshold = 0.6
	calmThreshold    = 0.5

	averagingMs       = 500.0 // time constant of the averages
	maxZones          = 16
	zoneReportTTLMs   = 3000.0 // reports from another zone expire after this
	waitSteps         = 8      // per unit of a rounded wait
	maxWait           = 4.0    // relative to the service time
	maxEntries        = 64     // servers in one report
	maxCountPerEntry  = 4      // cap on one source's requests at one server
	maxSources        = 64
	entryBytes        = 6
	durationStepMs    = 8.0 // ms: unit of durations in a report
	durationWeight    = 0.1 // weight of one response in a service's mean duration
	initialDurationMs = 200.0
	freshAgeMs        = 400.0 // a neighbour with a report younger than this counts as heard from
	forgetAgeMs       = 10_000.0
	minHeardShare     = 0.7 // share of the neighbours that must be heard from
)

// Report is the wire format of one limiter's requests in flight. It is versioned: reports of another
// version are dropped.
type Report struct {
	Version uint8  `cbor:"1,keyasint"`
	Source  uint32 `cbor:"2,keyasint"` // process instance of the sending limiter
	Serial  uint32 `cbor:"3,keyasint"` // increases with each report of a source
	Sent    uint64 `cbor:"5,keyasint"` // ms on the source's clock
	// Entries has six bytes per server: four for the server's number, one for the number of requests in
	// flight, and one for their duration in steps of 8 ms.
	Entries []byte `cbor:"4,keyasint,omitempty"`
}

type entry struct {
	server     uint32
	count      float64
	durationMs float64
}

// source holds the latest report of a neighbour.
type source struct {
	id             uint32
	serial         uint32
	sentAt         float64 // when the report was sent, on the local clock
	minClockOffset float64 // local clock minus the source's, by its report with the shortest delay
	entries        []entry
}

// Server is a server that requests can be sent to.
type Server struct {
	Service  string
	Slots    int
	Zone     string
	SameZone bool // is in the same zone as this limiter
}

// service holds the load of one service.
type service struct {
	slots      int     // of its servers in this zone
	durationMs float64 // mean duration of this limiter's requests
	occupancy  float64 // averaged ratio of requests in flight to slots in this zone
	wait       float64 // averaged wait of one more request in this zone, relative to its service time
	pressed    bool
	zones      map[string]zoneReport
}

// zoneReport holds what another zone has reported for a service.
type zoneReport struct{ wait, receivedAt float64 }

// Tracker holds what one limiter knows of its neighbours' requests in flight.
type Tracker struct {
	self         uint32
	serial       uint32
	nextReportAt float64
	inFlight     map[uint32]int // this limiter's requests, by server
	servers      map[uint32]Server
	services     map[string]*service
	averagedAt   float64
	enoughHeard  bool // whether enough neighbours are heard from
	// The number of neighbours that can be reached.
	neighbours int
	sources    []*source // sorted by id, so that sums don't depend on the order of arrival
}

// New returns the tracker of a limiter. instance identifies the limiter's process and must not be 0.
func New(instance uint32) *Tracker {
	return &Tracker{self: instance, inFlight: map[uint32]int{}, services: map[string]*service{}}
}

// SetNeighbours sets the number of neighbours, without those known to be unreachable.
func (d *Tracker) SetNeighbours(neighbours int) { d.neighbours = neighbours }

// SetServers sets the servers that requests can be sent to, by number. Each must have at least one slot.
func (d *Tracker) SetServers(servers map[uint32]Server) {
	d.servers = servers
	slots := map[string]int{}
	for _, server := range servers {
		if slots[server.Service] += 0; server.SameZone {
			slots[server.Service] += server.Slots
		}
	}
	maps.DeleteFunc(d.services, func(name string, _ *service) bool {
		_, used := slots[name]
		return !used
	})
	for name, n := range slots {
		d.service(name).slots = n
	}
}

func (d *Tracker) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{durationMs: initialDurationMs, zones: map[string]zoneReport{}}
		d.services[name] = s
	}
	return s
}

// RequestStarted records a request that is sent to a server.
func (d *Tracker) RequestStarted(server uint32) { d.inFlight[server]++ }

// RequestEnded records the end of a request. If answered, its duration of ms milliseconds counts towards
// the mean duration of the service.
func (d *Tracker) RequestEnded(server uint32, answered bool, ms float64) {
	if d.inFlight[server]--; d.inFlight[server] <= 0 {
		delete(d.inFlight, server)
	}
	if info, known := d.servers[server]; known && answered {
		s := d.service(info.Service)
		s.durationMs += durationWeight * (ms - s.durationMs)
	}
}

// NextReport returns the report to send if one is due.
func (d *Tracker) NextReport(now float64) (report Report, due bool) {
	if now < d.nextReportAt || len(d.inFlight) == 0 {
		return Report{}, false
	}
	d.nextReportAt = now + d.reportInterval()
	type serverCount struct {
		server uint32
		count  int
	}
	var counts []serverCount
	for server, n := range d.inFlight {
		counts = append(counts, serverCount{server, n})
	}
	slices.SortFunc(counts, func(a, b serverCount) int { return cmp.Or(b.count-a.count, cmp.Compare(a.server, b.server)) })
	d.serial++
	report = Report{Version: formatVersion, Source: d.self, Serial: d.serial, Sent: uint64(max(0, now))}
	for _, h := range counts[:min(len(counts), maxEntries)] {
		durationMs := initialDurationMs
		if s := d.services[d.servers[h.server].Service]; s != nil {
			durationMs = s.durationMs
		}
		report.Entries = binary.BigEndian.AppendUint32(report.Entries, h.server)
		report.Entries = append(report.Entries, byte(min(h.count, 255)),
			byte(max(1, min(255, math.Round(durationMs/durationStepMs)))))
	}
	return report, true
}

// reportInterval returns the time between two reports, in milliseconds.
func (d *Tracker) reportInterval() float64 {
	for _, s := range d.services {
		if s.pressed {
			return pressedIntervalMs
		}
	}
	return calmIntervalMs
}

// Receive processes a neighbour's report. It returns whether the report is valid and new.
func (d *Tracker) Receive(now float64, report Report) bool {
	if report.Version != formatVersion || report.Source == d.self || report.Source == 0 ||
		len(report.Entries)%entryBytes != 0 || len(report.Entries) > maxEntries*entryBytes {
		return false
	}
	i, known := slices.BinarySearchFunc(d.sources, report.Source, func(s *source, id uint32) int { return cmp.Compare(s.id, id) })
	if known && int32(report.Serial-d.sources[i].serial) <= 0 || !known && len(d.sources) >= maxSources {
		return false
	}
	if !known {
		d.sources = slices.Insert(d.sources, i, &source{id: report.Source, minClockOffset: math.Inf(1)})
	}
	s := d.sources[i]
	offset := now - float64(report.Sent)
	// Reports that arrive later than others of their source took longer on the network.
	s.minClockOffset = min(s.minClockOffset, offset)
	s.serial, s.sentAt, s.entries = report.Serial, now-(offset-s.minClockOffset), s.entries[:0]
	for e := report.Entries; len(e) > 0; e = e[entryBytes:] {
		s.entries = append(s.entries, entry{binary.BigEndian.Uint32(e), float64(min(e[4], maxCountPerEntry)),
			float64(e[5]) * durationStepMs})
	}
	return true
}

// RemoteLoad returns the requests that other limiters have in flight, by server, as far as known, at the
// servers of services under pressure: while there is capacity to spare, the placement of requests matters
// little. It returns nil while too few neighbours are heard from, so that each limiter uses its own view
// only: partial load would make full servers look empty. For a server in another zone at least the average
// load of its zone is returned, as reported by limiters there or, without a report, assumed to be half of
// this zone's wait. So servers with known load don't look much fuller than those without, and a limiter
// that receives no reports of other zones doesn't take them all for empty.
func (d *Tracker) RemoteLoad(now float64) map[uint32]float64 {
	others := map[uint32]float64{}
	d.sources = slices.DeleteFunc(d.sources, func(s *source) bool { return now-s.sentAt > forgetAgeMs })
	fresh := 0
	for _, s := range d.sources {
		age := now - s.sentAt
		if age < freshAgeMs {
			fresh++
		}
		for _, e := range s.entries {
			if left := e.count * (1 - age/max(1, e.durationMs)); left > 0 {
				others[e.server] += left
			}
		}
	}
	d.updateAverages(now, others)
	if d.enoughHeard = float64(fresh) >= minHeardShare*float64(d.neighbours); !d.enoughHeard {
		return nil
	}
	for server := range others {
		if s := d.services[d.servers[server].Service]; s == nil || !s.pressed {
			delete(others, server)
		}
	}
	for server, info := range d.servers {
		if s := d.services[info.Service]; !info.SameZone {
			if wait := s.waitIn(now, info.Zone); wait > 0 {
				others[server] = max(others[server], float64(info.Slots)*(1+wait)-1)
			}
		}
	}
	return others
}

// updateAverages updates the averages of all services.
func (d *Tracker) updateAverages(now float64, others map[uint32]float64) {
	weight := 1 - math.Exp((d.averagedAt-now)/averagingMs)
	d.averagedAt = now
	inFlightSums, wait := map[string]float64{}, map[string]float64{}
	for server, info := range d.servers {
		if info.SameZone {
			count, slots := others[server]+float64(d.inFlight[server]), float64(info.Slots)
			inFlightSums[info.Service] += count
			wait[info.Service] += max(0, count+1-slots) // of one more request, in slots
		}
	}
	for name, s := range d.services {
		slots := float64(max(1, s.slots))
		s.occupancy += weight * (inFlightSums[name]/slots - s.occupancy)
		s.wait += weight * (wait[name]/slots - s.wait)
	}
}

// waitIn returns how long a request waits at the servers of a zone, relative to its service time. The
// value is rounded to steps so that it rarely changes.
func (s *service) waitIn(now float64, zone string) float64 {
	report, known := s.zones[zone]
	if !known || now-report.receivedAt > zoneReportTTLMs {
		if report.wait = s.wait / 2; !s.pressed {
			report.wait = 0
		}
	}
	return math.Round(report.wait*waitSteps) / waitSteps
}

// Wait is the average time that one more request would wait at a zone's servers of a service, relative to
// its service time.
type Wait struct {
	Service string
	Ratio   float64
}

// LocalWaits returns the waits in this limiter's zone, for services under pressure. known is false while
// too few neighbours are heard from.
func (d *Tracker) LocalWaits() (all []Wait, known bool) {
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		if s := d.services[name]; s.pressed {
			all = append(all, Wait{name, s.wait})
		}
	}
	return all, d.enoughHeard
}

// ReceiveZoneWaits processes the waits that a limiter in another zone reports for its zone. Services that
// are not listed have no wait there.
func (d *Tracker) ReceiveZoneWaits(now float64, zone string, waits []Wait) {
	for name, s := range d.services {
		if _, known := s.zones[zone]; !known && len(s.zones) >= maxZones {
			continue
		}
		report := zoneReport{receivedAt: now}
		for _, w := range waits {
			if w.Service == name {
				report.wait = max(0, min(maxWait, w.Ratio))
			}
		}
		s.zones[zone] = report
	}
}

// InFlight returns the number of requests that this limiter has in flight at a server.
func (d *Tracker) InFlight(server uint32) int { return d.inFlight[server] }

// PressureChange is a service that has come under pressure, or is no longer under it.
type PressureChange struct {
	Service   string
	Pressed   bool
	Occupancy float64 // ratio of requests in flight to slots in this zone
}

// PressureChanges updates which services are under pressure, by the averages of the last call of
// [Tracker.RemoteLoad], and returns those that have changed since the previous call.
func (d *Tracker) PressureChanges() (changes []PressureChange) {
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		s := d.services[name]
		before, occupancy := s.pressed, s.occupancy
		if s.pressed = occupancy >= pressedThreshold || before && occupancy >= calmThreshold; s.pressed != before {
			changes = append(changes, PressureChange{name, s.pressed, occupancy})
			if s.pressed { // send a report to the neighbours at once
				d.nextReportAt = 0
			}
		}
	}
	return changes
}

// StatusLines describes the known load of each service and the neighbours heard from, as lines of
// key=value pairs.
func (d *Tracker) StatusLines(now float64) (lines []string) {
	fresh, oldest := 0, 0.0
	for _, s := range d.sources {
		if age := now - s.sentAt; age < freshAgeMs {
			fresh++
			oldest = max(oldest, age)
		}
	}
	basis := "own_view"
	if d.enoughHeard {
		basis = "neighbours"
	}
	lines = append(lines, fmt.Sprintf("blocks goes_by=%s neighbours=%d heard=%d oldest_ms=%.0f every_ms=%.0f",
		basis, d.neighbours, fresh, oldest, d.reportInterval()))
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		s := d.services[name]
		lines = append(lines, fmt.Sprintf("load service=%s slots=%d share=%.2f wait=%.2f pressed=%v takes_ms=%.0f zones=%d",
			name, s.slots, s.occupancy, s.wait, s.pressed, s.durationMs, len(s.zones)))
	}
	return lines
}
