package quotaloan

import (
	"math/rand/v2"
	"testing"
)

// world is a set of desks whose messages are lost, doubled and late, and which begin anew.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	desks []*Desk
	asked [][]float64
	late  []flying
	now   float64
	lives uint64
}

type flying struct {
	at   float64
	from int
	Letter
}

func newWorld(t *testing.T, seed uint64, n int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: 1}
	w.desks, w.asked = make([]*Desk, n), make([][]float64, n)
	for i := range n {
		w.begin(i)
	}
	return w
}

func (w *world) begin(i int) {
	w.lives++
	var near []int
	for k := range w.desks {
		if k != i {
			near = append(near, k)
		}
	}
	w.desks[i] = New(w.now, i, len(w.desks), near, w.lives)
	w.asked[i] = make([]float64, 2)
}

func (w *world) send(from int, l Letter, lossy bool) {
	for range 2 {
		if lossy && w.rng.Float64() < 0.3 {
			continue
		}
		delay := 1.0
		if lossy {
			delay += 9000 * w.rng.Float64() * w.rng.Float64()
		}
		w.late = append(w.late, flying{w.now + delay, from, l})
		if !lossy || w.rng.Float64() < 0.7 {
			break
		}
	}
}

func (w *world) step(ms float64, rates []float64, lossy bool) {
	w.now += ms
	rest := w.late[:0]
	var due []flying
	for _, f := range w.late {
		if f.at <= w.now {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	w.late = append([]flying(nil), rest...)
	for _, f := range due {
		if a, ok := w.desks[f.To].Hear(w.now, f.from, f.Message); ok {
			w.send(f.To, a, lossy)
		}
	}
	for i, d := range w.desks {
		w.asked[i][0] += rates[i] * ms / 1000
		for _, l := range d.Look(w.now, []Account{{ID: 7, Rate: 1, Burst: 3, Asked: w.asked[i][0]}}) {
			w.send(i, l, lossy)
		}
	}
	sum := 0.0
	for _, d := range w.desks {
		of, r, _ := d.Parts(w.now)
		if x, ok := of[7]; ok {
			r = x
		}
		sum += r
	}
	if sum > float64(len(w.desks))+1e-9 {
		w.t.Fatalf("at %.0f ms all parts together are %.3f of %d", w.now, sum, len(w.desks))
	}
}

// The sum holds while messages are lost, doubled, late by seconds, and limiters begin anew.
func TestSumHoldsWhateverHappens(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(t, seed, 5)
		rates := make([]float64, 5)
		for k := range 400 {
			if k%40 == 0 {
				for i := range rates {
					rates[i] = 2 * w.rng.Float64() * w.rng.Float64()
				}
			}
			if w.rng.Float64() < 0.02 {
				w.begin(w.rng.IntN(5))
			}
			w.step(100+200*w.rng.Float64(), rates, true)
		}
	}
}

// A limiter with all the demand comes to hold more than its part, and others have theirs back
// when it needs no more.
func TestPartsFollowDemand(t *testing.T) {
	w := newWorld(t, 1, 5)
	rates := []float64{2, 0, 0, 0, 0}
	for range 100 {
		w.step(200, rates, false)
	}
	part := func(i int) float64 {
		of, rest, _ := w.desks[i].Parts(w.now)
		if x, ok := of[7]; ok {
			return x
		}
		return rest
	}
	if got := part(0); got < 2.6 {
		t.Errorf("the limiter with the demand holds %.2f equal parts, 2.6 or more wanted", got)
	}
	for range 100 {
		w.step(200, []float64{0, 0, 0, 0, 0}, false)
	}
	for i := range 5 {
		if got := part(i); got != 1 {
			t.Errorf("limiter %d holds %.2f when nobody needs more, 1 wanted", i, got)
		}
	}
}

// What a former life of the lender has lent is not used by the next one.
func TestLenderBeginsAnew(t *testing.T) {
	w := newWorld(t, 1, 2)
	for range 50 {
		w.step(200, []float64{2, 0}, false)
	}
	of, _, _ := w.desks[0].Parts(w.now)
	if of[7] <= 1.3 {
		t.Fatalf("nothing was borrowed: %.2f", of[7])
	}
	w.begin(1)
	for range 50 {
		w.step(200, []float64{2, 2}, false)
	}
}

// An enquiry asks the next one when all have answered or time is up, near ones first, and not
// where the time left is too short.
func TestEnquiry(t *testing.T) {
	q := Enquire([]int{4, 7, 9}, 2)
	place, wait, ok := q.Next(1000)
	if place != 4 || wait != askNextMs || !ok {
		t.Error(place, wait, ok)
	}
	if place, wait, ok = q.Next(1000); place != 7 || wait != askNextMs || !ok { // the first is silent
		t.Error(place, wait, ok)
	}
	if q.Refused(10, "ceiling") {
		t.Error("one of two has answered")
	}
	if !q.Refused(5000, "quota") || q.WaitMs != mostWaitMs || q.Why != "quota" {
		t.Errorf("%+v", q)
	}
	if _, _, ok = q.Next(200); ok {
		t.Error("a far one is asked where its answer would be too late")
	}
	if place, wait, ok = q.Next(1000); place != 9 || wait != farWithinMs || !ok {
		t.Error(place, wait, ok)
	}
	if _, _, ok = q.Next(1000); ok {
		t.Error("there is nobody left")
	}
}
