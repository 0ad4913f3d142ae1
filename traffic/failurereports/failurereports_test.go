package failurereports

import (
	"math/rand/v2"
	"testing"
)

// region is a group of limiters that send each other messages over a lossy network.
type region struct {
	rng      *rand.Rand
	limiters []*Gossip
	now      float64
	received map[[2]uint32]int // number of limiters that have received a report, by source and serial
	sent     int
}

func newRegion(seed uint64, n int) *region {
	r := &region{rng: rand.New(rand.NewPCG(seed, 1)), received: map[[2]uint32]int{}}
	for i := range n {
		r.limiters = append(r.limiters, New(uint32(i+1)))
	}
	return r
}

// run has each limiter send a message to a random limiter every 200 ms on average.
func (r *region) run(ms float64) {
	for end := r.now + ms; r.now < end; r.now += 10 {
		for i, d := range r.limiters {
			if r.rng.Float64() >= 10.0/200 {
				continue
			}
			k := r.rng.IntN(len(r.limiters))
			out := d.NextReports(r.now)
			r.sent += len(out)
			if k == i || r.rng.Float64() < 0.05 {
				continue
			}
			for _, s := range r.limiters[k].Receive(r.now, out) {
				r.received[[2]uint32{s.Source, s.Serial}]++
			}
		}
	}
}

// A failure observed by one limiter is known to nearly all others 2.5 s later, and is returned as new only
// once.
func TestAllLimitersReceive(t *testing.T) {
	for _, n := range []int{3, 30, 90} {
		sum, most, runs := 0, 0, 40
		for seed := range uint64(runs) {
			r := newRegion(seed, n)
			r.limiters[0].Observe(r.now, 7, 0)
			r.run(2500)
			k := r.received[[2]uint32{1, 1}]
			sum, most = sum+k, max(most, k)
		}
		if share := float64(sum) / float64(runs*(n-1)); share < 0.85 || most > n-1 {
			t.Errorf("%d limiters: 2.5 s later a share of %.2f of the others know on average, %d at most", n, share, most)
		}
	}
}

// The number of reports is bounded, with thousands of failures as well as with a neighbour that floods.
func TestBounds(t *testing.T) {
	r := newRegion(1, 30)
	for range 500 {
		for i := range r.limiters {
			for range 10 {
				r.limiters[i].Observe(r.now, r.rng.Uint64(), 0)
			}
		}
		r.run(20)
	}
	if per := float64(r.sent) / 30 / 10; per > 5*maxReportsPerMessage {
		t.Errorf("%.0f reports per second from a limiter", per)
	}
	d, fresh := New(1), 0
	for i := range uint32(5000) { // one source, for 10 s
		fresh += len(d.Receive(float64(i)*2, []Report{{Server: 1, Source: 9, Serial: i + 1}}))
	}
	if fresh > 10*sourceRatePerSecond+sourceBurst {
		t.Errorf("%d reports of one source are accepted in 10 s", fresh)
	}
	for i := range uint32(5000) {
		d.Receive(10_000, []Report{{Server: 1, Source: 100 + i, Serial: 1}})
	}
	if len(d.sources) > maxSources || len(d.queue) > maxQueuedReports {
		t.Errorf("%d sources and %d reports are kept", len(d.sources), len(d.queue))
	}
}

// Reports that are too old, duplicated, reordered or this limiter's own.
func TestRejectedReports(t *testing.T) {
	d := New(1)
	for i, x := range []struct {
		s     Report
		fresh bool
	}{
		{Report{Source: 2, Serial: 5}, true},
		{Report{Source: 2, Serial: 5}, false},
		{Report{Source: 2, Serial: 3}, true}, // reordered
		{Report{Source: 2, Serial: 3}, false},
		{Report{Source: 2, Serial: 90}, true},
		{Report{Source: 2, Serial: 5}, false},
		{Report{Source: 3, Serial: 1, AgeMs: 4000}, false},
		{Report{Source: 1, Serial: 1}, false},
	} {
		if got := len(d.Receive(float64(i)*1000, []Report{x.s})) == 1; got != x.fresh {
			t.Errorf("%d: %+v counts as new: %v", i, x.s, got)
		}
	}
}
