package loadreports

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// newTracker returns a tracker with ten servers in its own zone and ten in another, with two slots each.
func newTracker(instance uint32) *Tracker {
	d := New(instance)
	servers := map[uint32]Server{}
	for i := range uint32(20) {
		servers[i] = Server{Service: "engines", Slots: 2, Zone: fmt.Sprint("z", i/10), SameZone: i < 10}
	}
	d.SetServers(servers)
	return d
}

// applyPressure puts the service in the tracker's zone under pressure by requests of the tracker itself.
func applyPressure(t *testing.T, d *Tracker, now float64) float64 {
	t.Helper()
	for i := range uint32(10) {
		d.RequestStarted(i)
		d.RequestStarted(i)
	}
	for range 100 {
		now += 50
		d.RemoteLoad(now)
	}
	if s := d.PressureChanges(); len(s) != 1 || !s[0].Pressed {
		t.Fatalf("a service with all slots in use is not under pressure: %v", s)
	}
	return now
}

// Reports in any order, duplicated or partly lost before the last ones, lead to the same state.
func TestAnyOrderGivesSameLoad(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var reports []Report
		for source := range uint32(6) {
			from := newTracker(source + 10)
			for k := range 4 {
				for range rng.IntN(5) {
					from.RequestStarted(rng.Uint32N(20))
				}
				if w, due := from.NextReport(float64(k) * 1000); due {
					reports = append(reports, w)
				}
			}
		}
		var loads []map[uint32]float64
		for range 3 {
			d := newTracker(1)
			now := applyPressure(t, d, 0)
			all := append(slices.Clone(reports), reports[:rng.IntN(len(reports)+1)]...)
			rng.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
			for _, w := range all {
				d.Receive(now, w)
			}
			loads = append(loads, d.RemoteLoad(now+10))
		}
		for _, b := range loads[1:] {
			if diff := cmp.Diff(loads[0], b, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Fatal(diff)
			}
		}
	}
}

// A reported load is halved after half of the requests' duration and gone after all of it, so that a
// limiter that receives no more reports returns to its own view.
func TestReportedLoadDecays(t *testing.T) {
	d := newTracker(1)
	now := applyPressure(t, d, 0)
	from := newTracker(2)
	from.RequestStarted(3)
	from.RequestStarted(3)
	w, due := from.NextReport(0)
	if !due || !d.Receive(now, w) || d.Receive(now, w) {
		t.Fatal("a report is not accepted exactly once")
	}
	for _, step := range []struct{ after, want float64 }{{0, 2}, {initialDurationMs / 2, 1}, {initialDurationMs, 0}, {10 * initialDurationMs, 0}} {
		if got := d.RemoteLoad(now + step.after)[3]; math.Abs(got-step.want) > 0.01 {
			t.Errorf("after %v ms: %v requests in flight, want %v", step.after, got, step.want)
		}
	}
}

// While fewer than seven in ten neighbours are heard from, a limiter uses its own view and reports its
// zone's waits as unknown. A report that was delayed on the network counts with its real age.
func TestTooFewNeighbours(t *testing.T) {
	d := newTracker(1)
	d.SetNeighbours(10)
	now := applyPressure(t, d, 0)
	for source := range uint32(10) {
		from := newTracker(source + 10)
		from.RequestStarted(3)
		w, _ := from.NextReport(1000)
		d.Receive(now, w)
		others := d.RemoteLoad(now)
		if _, known := d.LocalWaits(); known != (source >= 6) || (len(others) > 0) != known {
			t.Errorf("%d of 10 neighbours heard from: known %v, load %v", source+1, known, others)
		}
	}
	from := newTracker(10)
	from.RequestStarted(4)
	from.serial = 7
	if w, _ := from.NextReport(2000); !d.Receive(now+1000+initialDurationMs/2, w) { // the report before it had no delay
		t.Error("a late report is dropped")
	}
	d.SetNeighbours(1)
	if got := d.RemoteLoad(now + 1000 + initialDurationMs/2)[4]; math.Abs(got-0.5) > 0.02 {
		t.Errorf("a late report counts %v", got)
	}
}

// No reports without requests in flight, few while there is capacity to spare, and many while a service is
// under pressure; the change to pressure is reported at once. The pressure ends at a lower threshold than
// it begins at.
func TestReportInterval(t *testing.T) {
	d := newTracker(1)
	count := func(from, to float64) (n int) {
		for now := from; now < to; now += 50 {
			d.RemoteLoad(now)
			d.PressureChanges()
			if _, due := d.NextReport(now); due {
				n++
			}
		}
		return n
	}
	if n := count(0, 1000); n != 0 {
		t.Errorf("%d reports without requests in flight", n)
	}
	d.RequestStarted(3)
	if n := count(1000, 2000); n != 5 {
		t.Errorf("%d reports in a second without pressure, want 5", n)
	}
	for i := range uint32(12) { // 13 of 20
		d.RequestStarted(i % 10)
	}
	count(2000, 5000)
	if n := count(5000, 6000); n != 20 {
		t.Errorf("%d reports in a second under pressure, want 20", n)
	}
	for i := range uint32(2) { // 11 of 20
		d.RequestEnded(i, true, 100)
	}
	if n := count(6000, 9000); n != 60 {
		t.Errorf("%d reports in 3 s just below the threshold at which pressure begins, want 60", n)
	}
	for i := range uint32(10) {
		d.RequestEnded(i, true, 100)
	}
	count(9000, 12000)
	if n := count(12000, 13000); n != 5 {
		t.Errorf("%d reports in a second without pressure, want 5", n)
	}
}

// A neighbour that reports false load is limited in the load per server, the number of servers and the
// number of sources. Malformed reports are dropped.
func TestFalseReports(t *testing.T) {
	d := newTracker(1)
	now := applyPressure(t, d, 0)
	full := []byte{0, 0, 0, 5, 255, 255}
	for name, w := range map[string]Report{
		"other version":    {Version: 2, Source: 7, Serial: 1, Entries: full},
		"own report":       {Version: formatVersion, Source: 1, Serial: 1, Entries: full},
		"missing source":   {Version: formatVersion, Serial: 1, Entries: full},
		"truncated entry":  {Version: formatVersion, Source: 7, Serial: 1, Entries: full[:5]},
		"too many entries": {Version: formatVersion, Source: 7, Serial: 1, Entries: make([]byte, (maxEntries+1)*entryBytes)},
	} {
		if d.Receive(now, w) {
			t.Errorf("%s: accepted", name)
		}
	}
	accepted := 0
	for source := range uint32(3 * maxSources) {
		if d.Receive(now, Report{Version: formatVersion, Source: source + 100, Serial: 1, Entries: full}) {
			accepted++
		}
	}
	if got := d.RemoteLoad(now)[5]; accepted != maxSources || got > maxSources*maxCountPerEntry {
		t.Errorf("%d sources are accepted, with %v requests in flight", accepted, got)
	}
}

// Servers in another zone count with the wait that their zone reports or, without a report, with half of
// this zone's; a zone that reports no wait is believed.
func TestOtherZones(t *testing.T) {
	d := newTracker(1)
	if d.RemoteLoad(0)[15] != 0 {
		t.Error("without pressure, servers in another zone count as full")
	}
	now := applyPressure(t, d, 0)
	here := d.RemoteLoad(now)[15]
	if math.Abs(here-1.5) > 0.2 { // one more request waits for half of its service time in this zone
		t.Errorf("servers in a zone without a report: %v", here)
	}
	d.ReceiveZoneWaits(now, "z1", []Wait{{"engines", 2}, {"unknown", 9}})
	if got := d.RemoteLoad(now)[15]; got != 5 {
		t.Errorf("servers in a zone with a longer wait: %v", got)
	}
	d.ReceiveZoneWaits(now, "z1", nil)
	if got := d.RemoteLoad(now)[15]; got != 0 {
		t.Errorf("servers in a zone that reports no wait: %v", got)
	}
	if got := d.RemoteLoad(now + 2*zoneReportTTLMs)[15]; got < 1 {
		t.Errorf("servers in a zone whose report has expired: %v", got)
	}
	if w, known := d.LocalWaits(); !known || len(w) != 1 || w[0].Service != "engines" || math.Abs(w[0].Ratio-0.5) > 0.02 {
		t.Errorf("this zone reports %v", w)
	}
	d.SetServers(nil)
	if d.RemoteLoad(now); len(d.services) != 0 {
		t.Error("a service without servers is kept")
	}
}

// A report fits into a datagram however many requests are in flight.
func TestReportsAreBounded(t *testing.T) {
	d := newTracker(1)
	for i := range uint32(5000) {
		d.RequestStarted(i)
	}
	w, _ := d.NextReport(0)
	data, err := cbor.Marshal(w)
	if err != nil || len(data) > 420 {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}
