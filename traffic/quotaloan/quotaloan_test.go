package quotaloan

import (
	"math/rand/v2"
	"testing"
)

// network simulates ledgers whose messages are lost, duplicated and delayed, and which restart.
type network struct {
	t         *testing.T
	rng       *rand.Rand
	ledgers   []*Ledger
	requests  [][]float64
	inTransit []delayedMessage
	now       float64
	instances uint64
}

type delayedMessage struct {
	arrivesAt float64
	from      int
	Envelope
}

func newNetwork(t *testing.T, seed uint64, n int) *network {
	w := &network{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: 1}
	w.ledgers, w.requests = make([]*Ledger, n), make([][]float64, n)
	for i := range n {
		w.start(i)
	}
	return w
}

func (w *network) start(i int) {
	w.instances++
	var near []int
	for k := range w.ledgers {
		if k != i {
			near = append(near, k)
		}
	}
	w.ledgers[i] = New(w.now, i, len(w.ledgers), near, w.instances)
	w.requests[i] = make([]float64, 2)
}

func (w *network) send(from int, l Envelope, lossy bool) {
	for range 2 {
		if lossy && w.rng.Float64() < 0.3 {
			continue
		}
		delay := 1.0
		if lossy {
			delay += 9000 * w.rng.Float64() * w.rng.Float64()
		}
		w.inTransit = append(w.inTransit, delayedMessage{w.now + delay, from, l})
		if !lossy || w.rng.Float64() < 0.7 {
			break
		}
	}
}

func (w *network) step(ms float64, rates []float64, lossy bool) {
	w.now += ms
	remaining := w.inTransit[:0]
	var due []delayedMessage
	for _, f := range w.inTransit {
		if f.arrivesAt <= w.now {
			due = append(due, f)
		} else {
			remaining = append(remaining, f)
		}
	}
	w.inTransit = append([]delayedMessage(nil), remaining...)
	for _, f := range due {
		if a, ok := w.ledgers[f.To].Receive(w.now, f.from, f.Message); ok {
			w.send(f.To, a, lossy)
		}
	}
	for i, d := range w.ledgers {
		w.requests[i][0] += rates[i] * ms / 1000
		for _, l := range d.UpdateDemand(w.now, []Account{{ID: 7, Rate: 1, Burst: 3, Requests: w.requests[i][0]}}) {
			w.send(i, l, lossy)
		}
	}
	sum := 0.0
	for _, d := range w.ledgers {
		of, r, _ := d.Parts(w.now)
		if x, ok := of[7]; ok {
			r = x
		}
		sum += r
	}
	if sum > float64(len(w.ledgers))+1e-9 {
		w.t.Fatalf("at %.0f ms the parts add up to %.3f of %d", w.now, sum, len(w.ledgers))
	}
}

// The sum of all parts never exceeds the ceiling while messages are lost, duplicated and seconds late, and
// limiters restart.
func TestSumHoldsWhateverHappens(t *testing.T) {
	for seed := range uint64(40) {
		w := newNetwork(t, seed, 5)
		rates := make([]float64, 5)
		for k := range 400 {
			if k%40 == 0 {
				for i := range rates {
					rates[i] = 2 * w.rng.Float64() * w.rng.Float64()
				}
			}
			if w.rng.Float64() < 0.02 {
				w.start(w.rng.IntN(5))
			}
			w.step(100+200*w.rng.Float64(), rates, true)
		}
	}
}

// A limiter with all the demand gets more than its equal part, and returns it when the demand ends.
func TestPartsFollowDemand(t *testing.T) {
	w := newNetwork(t, 1, 5)
	rates := []float64{2, 0, 0, 0, 0}
	for range 100 {
		w.step(200, rates, false)
	}
	part := func(i int) float64 {
		of, rest, _ := w.ledgers[i].Parts(w.now)
		if x, ok := of[7]; ok {
			return x
		}
		return rest
	}
	if got := part(0); got < 2.6 {
		t.Errorf("the limiter with the demand has %.2f equal parts, want 2.6 or more", got)
	}
	for range 100 {
		w.step(200, []float64{0, 0, 0, 0, 0}, false)
	}
	for i := range 5 {
		if got := part(i); got != 1 {
			t.Errorf("limiter %d has %.2f equal parts without demand, want 1", i, got)
		}
	}
}

// Loans from before a lender's restart are not used by the restarted lender as well.
func TestLenderRestarts(t *testing.T) {
	w := newNetwork(t, 1, 2)
	for range 50 {
		w.step(200, []float64{2, 0}, false)
	}
	of, _, _ := w.ledgers[0].Parts(w.now)
	if of[7] <= 1.3 {
		t.Fatalf("nothing was borrowed: %.2f", of[7])
	}
	w.start(1)
	for range 50 {
		w.step(200, []float64{2, 2}, false)
	}
}

// A token request asks the next candidate when all have answered or time is up, candidates of this region
// first, and stops when too little time is left.
func TestTokenAsk(t *testing.T) {
	q := NewTokenAsk([]int{4, 7, 9}, 2)
	place, wait, ok := q.Next(1000)
	if place != 4 || wait != nextAskDelayMs || !ok {
		t.Error(place, wait, ok)
	}
	if place, wait, ok = q.Next(1000); place != 7 || wait != nextAskDelayMs || !ok { // the first one has not answered
		t.Error(place, wait, ok)
	}
	if q.Refused(10, "ceiling") {
		t.Error("all have answered, after one of two answers")
	}
	if !q.Refused(5000, "quota") || q.RetryAfterMs != maxRetryAfterMs || q.Reason != "quota" {
		t.Errorf("%+v", q)
	}
	if _, _, ok = q.Next(200); ok {
		t.Error("a limiter of another region is asked with too little time left")
	}
	if place, wait, ok = q.Next(1000); place != 9 || wait != farTimeoutMs || !ok {
		t.Error(place, wait, ok)
	}
	if _, _, ok = q.Next(1000); ok {
		t.Error("a limiter is asked though no candidate is left")
	}
}
