package testring

import "testing"

func newSurge(view View, seed uint64) Surge {
	return Surge{Seed: seed, View: view, Zones: 3, Limiters: 14, Servers: 15, Slots: 2, Utilization: 0.65, SurgeFactor: 2, From: 12_000, To: 18_000, WorkMs: 160, AimMs: 600}
}

// sumOverSeeds runs a surge with several seeds and adds up the outcomes. Bytes is the maximum of the runs.
func sumOverSeeds(seeds uint64, change func(*Surge)) (sum SurgeResult) {
	for seed := range seeds {
		o := newSurge(ReportedView, seed)
		change(&o)
		r := o.Play(500)
		for _, f := range []struct{ to, from *Tally }{{&sum.Before, &r.Before}, {&sum.InZone, &r.InZone}, {&sum.OtherZones, &r.OtherZones}} {
			f.to.Requests, f.to.OnTime, f.to.Lost, f.to.Refused = f.to.Requests+f.from.Requests, f.to.OnTime+f.from.OnTime, f.to.Lost+f.from.Lost, f.to.Refused+f.from.Refused
		}
		sum.Bytes = max(sum.Bytes, r.Bytes)
	}
	return sum
}

// The request rate in one zone doubles. Compared with LocalView, load reports of neighbours must recover at least
// half of the requests within the target latency that exact knowledge would, in that zone and elsewhere, and avoid
// most of the requests that are lost at full servers. Without a surge they must do no harm. Outdated reports would be
// worse than none, which is why they fade.
func TestReportsSpreadSurge(t *testing.T) {
	local := sumOverSeeds(2, func(o *Surge) { o.View = LocalView })
	reported := sumOverSeeds(2, func(*Surge) {})
	exact := sumOverSeeds(1, func(o *Surge) { o.View = OracleView })
	for name, f := range map[string]func(*SurgeResult) float64{
		"in the zone": func(r *SurgeResult) float64 { return r.InZone.Share() },
		"elsewhere":   func(r *SurgeResult) float64 { return r.OtherZones.Share() }} {
		a, b, best := f(&local), f(&reported), f(&exact)
		t.Logf("%s: within the target %.4f with local view, %.4f with reports, %.4f with exact knowledge", name, a, b, best)
		if b-a < (best-a)/2 {
			t.Errorf("%s: reports gain %.4f, exact knowledge %.4f", name, b-a, best-a)
		}
	}
	if n := reported.InZone.Lost + reported.OtherZones.Lost; 4*n > local.InZone.Lost+local.OtherZones.Lost {
		t.Errorf("%d requests are lost at full servers, %d with local view", n, local.InZone.Lost+local.OtherZones.Lost)
	}
	if reported.Before.Share() < local.Before.Share()-0.001 || reported.Bytes > 8000 {
		t.Errorf("before the surge: %.4f within the target, %.4f with local view; %.0f bytes per second", reported.Before.Share(), local.Before.Share(), reported.Bytes)
	}
}

// Reports that come late, from only a third of the limiters, from one zone, from nobody after the middle of the
// surge, or that are false from one limiter of each zone must be hardly worse than LocalView.
func TestSurgeWithDegradedReports(t *testing.T) {
	local := sumOverSeeds(2, func(o *Surge) { o.View = LocalView })
	for name, degrade := range map[string]func(*Surge){
		"1 s late":         func(o *Surge) { o.ReportDelayMs = 1000 },
		"a third reports":  func(o *Surge) { o.Silent = func(_ float64, i int) bool { return i/3%3 > 0 } },
		"one zone reports": func(o *Surge) { o.Silent = func(_ float64, i int) bool { return i%3 > 0 } },
		"none after 15 s":  func(o *Surge) { o.Silent = func(now float64, _ int) bool { return now > 15_000 } },
		"false reports":    func(o *Surge) { o.FalseReports = true },
	} {
		r := sumOverSeeds(2, degrade)
		t.Logf("%s: in the zone %.4f, elsewhere %.4f; with local view %.4f, %.4f", name, r.InZone.Share(), r.OtherZones.Share(), local.InZone.Share(), local.OtherZones.Share())
		if r.InZone.Share() < local.InZone.Share()-0.03 || r.OtherZones.Share() < local.OtherZones.Share()-0.03 {
			t.Errorf("%s: in the zone %.4f, elsewhere %.4f; with local view %.4f, %.4f", name, r.InZone.Share(), r.OtherZones.Share(), local.InZone.Share(), local.OtherZones.Share())
		}
	}
}
