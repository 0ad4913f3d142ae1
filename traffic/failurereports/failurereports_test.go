package failurereports

import (
	"math/rand/v2"
	"testing"
)

// region is a number of limiters that look at each other in turn, with loss.
type region struct {
	rng   *rand.Rand
	desks []*Desk
	now   float64
	heard map[[2]uint32]int // sightings, and how many have them
	told  int
}

func newRegion(seed uint64, n int) *region {
	r := &region{rng: rand.New(rand.NewPCG(seed, 1)), heard: map[[2]uint32]int{}}
	for i := range n {
		r.desks = append(r.desks, New(uint32(i+1)))
	}
	return r
}

// run has each limiter send a message to another every 200 ms: a look or an answer.
func (r *region) run(ms float64) {
	for end := r.now + ms; r.now < end; r.now += 10 {
		for i, d := range r.desks {
			if r.rng.Float64() >= 10.0/200 {
				continue
			}
			k := r.rng.IntN(len(r.desks))
			out := d.Next(r.now)
			r.told += len(out)
			if k == i || r.rng.Float64() < 0.05 {
				continue
			}
			for _, s := range r.desks[k].Hear(r.now, out) {
				r.heard[[2]uint32{s.Source, s.Serial}]++
			}
		}
	}
}

// What one limiter meets nearly all know 2.5 s later, each once.
func TestAllHear(t *testing.T) {
	for _, n := range []int{3, 30, 90} {
		sum, most, single := 0, 0, 40
		for seed := range uint64(single) {
			r := newRegion(seed, n)
			r.desks[0].Saw(r.now, 7, 0)
			r.run(2500)
			k := r.heard[[2]uint32{1, 1}]
			sum, most = sum+k, max(most, k)
		}
		if share := float64(sum) / float64(single*(n-1)); share < 0.85 || most > n-1 {
			t.Errorf("%d limiters: %.2f of the others know 2.5 s later, %d at most", n, share, most)
		}
	}
}

// What is told is bounded whatever happens: failures by the thousand, or a neighbour that floods.
func TestBounds(t *testing.T) {
	r := newRegion(1, 30)
	for range 500 {
		for i := range r.desks {
			for range 10 {
				r.desks[i].Saw(r.now, r.rng.Uint64(), 0)
			}
		}
		r.run(20)
	}
	if per := float64(r.told) / 30 / 10; per > 5*inMessage {
		t.Errorf("%.0f sightings a second of a limiter", per)
	}
	d, fresh := New(1), 0
	for i := range uint32(5000) { // one source in 10 s
		fresh += len(d.Hear(float64(i)*2, []Sighting{{Server: 1, Source: 9, Serial: i + 1}}))
	}
	if fresh > 10*perS+atOnce {
		t.Errorf("%d sightings of one source are believed in 10 s", fresh)
	}
	for i := range uint32(5000) {
		d.Hear(10_000, []Sighting{{Server: 1, Source: 100 + i, Serial: 1}})
	}
	if len(d.heard) > sources || len(d.queue) > waiting {
		t.Errorf("%d sources and %d sightings are kept", len(d.heard), len(d.queue))
	}
}

// One that is old, doubled, overtaken or this limiter's own.
func TestOddSightings(t *testing.T) {
	d := New(1)
	for i, x := range []struct {
		s     Sighting
		fresh bool
	}{
		{Sighting{Source: 2, Serial: 5}, true},
		{Sighting{Source: 2, Serial: 5}, false},
		{Sighting{Source: 2, Serial: 3}, true}, // overtaken
		{Sighting{Source: 2, Serial: 3}, false},
		{Sighting{Source: 2, Serial: 90}, true},
		{Sighting{Source: 2, Serial: 5}, false},
		{Sighting{Source: 3, Serial: 1, AgeMs: 4000}, false},
		{Sighting{Source: 1, Serial: 1}, false},
	} {
		if got := len(d.Hear(float64(i)*1000, []Sighting{x.s})) == 1; got != x.fresh {
			t.Errorf("%d: %+v is new: %v", i, x.s, got)
		}
	}
}
