package replay

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/policies"
	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/internal/world"
)

// BenchmarkGrowth plays the built-in fleet at its own size, ten and a hundred times
// as large, in each dimension and in all together, and reports the cost per request,
// which should stay about the same. The largest has 200 limiters, 1,000 boxes and a
// million accounts. Use -benchtime 1x for one run per size.
func BenchmarkGrowth(b *testing.B) {
	for _, c := range []struct {
		name                      string
		boxes, limiters, accounts int
		seconds                   float64
	}{
		{"fleet-x1", 12, 3, 120, 60},
		{"requests-x10", 12, 3, 120, 600},
		{"requests-x100", 12, 3, 120, 6000},
		{"accounts-x10", 12, 3, 1200, 60},
		{"accounts-x100", 12, 3, 12_000, 60},
		{"boxes-x10", 120, 3, 1200, 6},
		{"boxes-x100", 1000, 3, 12_000, 2},
		{"fleet-x10", 120, 30, 1200, 10},
		{"fleet-x100", 1000, 200, 1_000_000, 4},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := config.Bluebird().Scale(c.boxes, c.limiters, c.accounts)
			length := time.Duration(c.seconds * float64(time.Second))
			for b.Loop() {
				runtime.GC()
				var before, peak runtime.MemStats
				runtime.ReadMemStats(&before)
				calls := 0
				start := time.Now()
				r, err := virtual.Run(context.Background(), virtual.Options{Fleet: f, Seed: 1, Source: world.NewSynthetic(f, 1, length),
					Progress: func(time.Duration) {
						if calls++; calls%4 == 0 {
							var m runtime.MemStats
							runtime.ReadMemStats(&m)
							peak.HeapAlloc = max(peak.HeapAlloc, m.HeapAlloc)
						}
					}})
				if err != nil {
					b.Fatal(err)
				}
				spent := time.Since(start)
				n := float64(r.World.Meter.Total.Asked)
				b.ReportMetric(float64(spent.Microseconds())/n, "us/request")
				b.ReportMetric(float64(r.Events)/spent.Seconds(), "events/s")
				b.ReportMetric(float64(r.Events)/n, "events/request")
				b.ReportMetric(r.Length.Seconds()/spent.Seconds(), "times-real-time")
				b.ReportMetric(float64(peak.HeapAlloc-min(peak.HeapAlloc, before.HeapAlloc))/(1<<20), "MB")
				b.ReportMetric(n, "requests")
				b.ReportMetric(float64(r.MaxOpenCalls), "most-in-flight")
				b.ReportMetric(0, "ns/op")
				if r.Judge.BreachCount() > 0 {
					b.Error(fmt.Sprint(r.Judge.Breaches[0]))
				}
			}
		})
	}
}

// BenchmarkInFlight reports the memory per request in flight: a policy that refuses
// nothing accumulates requests while all boxes hang.
func BenchmarkInFlight(b *testing.B) {
	for _, rate := range []float64{500, 5000, 50_000} {
		b.Run(fmt.Sprintf("%g-a-second", rate), func(b *testing.B) {
			f := config.Bluebird()
			f.Traffic.Rate, f.Traffic.Retries = rate, 0
			for i := range f.Classes {
				f.Classes[i].Deadline = 4 * time.Second
			}
			for i := range f.Boxes {
				f.Boxes[i].Slots, f.Boxes[i].Queue = 1_000_000, 1_000_000
				f.Boxes[i].Connections = 1_000_000
			}
			var hang []world.Fault
			for i := range f.Boxes {
				hang = append(hang, world.Fault{Target: world.AtBox, Index: i, Verb: "hangs", Text: "hangs"})
			}
			for b.Loop() {
				runtime.GC()
				var before, m runtime.MemStats
				runtime.ReadMemStats(&before)
				var most, open float64
				var w *world.World
				_, err := virtual.Run(context.Background(), virtual.Options{Fleet: f, Seed: 1, Source: world.NewSynthetic(f, 1, 3*time.Second), Faults: hang,
					Policy: mustPolicy(b, "random"), OnStart: func(x *world.World) { w = x },
					Progress: func(time.Duration) {
						if float64(w.Open()) > 1.2*open {
							runtime.GC()
							runtime.ReadMemStats(&m)
							open, most = float64(w.Open()), float64(m.HeapAlloc)
						}
					}})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric((most-float64(before.HeapAlloc))/max(1, open), "B/in-flight")
				b.ReportMetric(open, "in-flight")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func mustPolicy(b *testing.B, name string) virtual.NewPolicy {
	b.Helper()
	p, err := policies.ByName(name)
	if err != nil {
		b.Fatal(err)
	}
	return p
}
