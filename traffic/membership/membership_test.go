package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

type datagram struct {
	arrivesAt float64
	Envelope
}

// network simulates a region of limiters and a network with loss and delay.
type network struct {
	rng       *rand.Rand
	now       float64
	detectors map[string]*Detector
	ids       []string
	zones     map[string]string
	stopped   map[string]bool // crashed or suspended
	cut       func(from, to string) bool
	loss      float64
	inTransit []datagram
	sent      int
}

func newNetwork(seed uint64, n int) *network {
	w := &network{rng: rand.New(rand.NewPCG(seed, 1)), detectors: map[string]*Detector{}, zones: map[string]string{}, stopped: map[string]bool{}, cut: func(string, string) bool { return false }}
	for i := range n {
		w.ids = append(w.ids, fmt.Sprintf("e%d", i))
		w.zones[w.ids[i]] = fmt.Sprint("z", i%3)
	}
	for i, id := range w.ids {
		w.detectors[id] = New(id, seed*100+uint64(i))
		w.detectors[id].SetMembers(w.zones)
	}
	return w
}

func (w *network) send(from string, out []Envelope) {
	for _, l := range out {
		w.sent++
		if w.rng.Float64() >= w.loss && !w.cut(from, l.To) {
			w.inTransit = append(w.inTransit, datagram{w.now + 1 + 2*w.rng.Float64(), l})
		}
	}
}

func (w *network) run(ms float64) {
	for end := w.now + ms; w.now < end; w.now += 10 {
		remaining := []datagram(nil)
		due := []datagram(nil)
		for _, f := range w.inTransit {
			if f.arrivesAt <= w.now {
				due = append(due, f)
			} else {
				remaining = append(remaining, f)
			}
		}
		w.inTransit = remaining
		for _, f := range due {
			if !w.stopped[f.To] {
				w.send(f.To, w.detectors[f.To].Receive(w.now, f.Message))
			}
		}
		for _, id := range w.ids {
			if !w.stopped[id] {
				w.send(id, w.detectors[id].Tick(w.now))
			}
		}
	}
}

// unreachableFor returns how many running limiters consider a limiter unreachable.
func (w *network) unreachableFor(id string) (n int) {
	for _, o := range w.ids {
		if o != id && !w.stopped[o] && w.detectors[o].State(id) == Unreachable {
			n++
		}
	}
	return n
}

func TestStoppedLimiterIsUnreachableAndComesBack(t *testing.T) {
	for seed := range uint64(20) {
		w := newNetwork(seed, 9)
		w.loss = 0.02
		w.run(3000)
		w.stopped["e4"] = true
		w.run(3500)
		if n := w.unreachableFor("e4"); n < 8 {
			t.Errorf("seed %d: 3.5 s after it stopped %d of 8 consider it unreachable", seed, n)
		}
		w.stopped["e4"] = false // resumes after a suspension
		w.run(4000)
		if n := w.unreachableFor("e4"); n > 0 {
			t.Errorf("seed %d: 4 s after it resumed %d of 8 consider it unreachable", seed, n)
		}
	}
}

// With a loss of one datagram in five almost no limiter is considered unreachable, thanks to indirect
// probes and refutations.
func TestLossMakesNoLimiterUnreachable(t *testing.T) {
	wrong, checks := 0, 0
	for seed := range uint64(20) {
		w := newNetwork(seed, 9)
		w.loss = 0.2
		for range 30 {
			w.run(1000)
			checks += len(w.ids)
			for _, id := range w.ids {
				if w.unreachableFor(id) > 0 {
					wrong++
				}
			}
		}
	}
	if wrong*100 > checks {
		t.Errorf("a running limiter is considered unreachable in %d of %d limiter-seconds", wrong, checks)
	}
}

// Two limiters that can't reach each other, but are reached by the others, are not considered unreachable.
func TestBridge(t *testing.T) {
	w := newNetwork(3, 9)
	w.cut = func(a, b string) bool { return a == "e1" && b == "e2" || a == "e2" && b == "e1" }
	w.run(20000)
	for _, id := range w.ids {
		if w.unreachableFor(id) > 0 {
			t.Errorf("%s is considered unreachable", id)
		}
	}
}

// If two zones can't reach each other, but a third reaches both, no limiter is considered unreachable and
// few are suspected.
func TestBridgeOfZones(t *testing.T) {
	for seed := range uint64(10) {
		w := newNetwork(seed, 18)
		w.loss = 0.01
		w.run(2000)
		w.cut = func(a, b string) bool { return w.zones[a] != w.zones[b] && w.zones[a] != "z2" && w.zones[b] != "z2" }
		suspects := 0
		for range 20 {
			w.run(500)
			for _, id := range w.ids {
				if w.unreachableFor(id) > 0 {
					t.Errorf("seed %d: %s is considered unreachable", seed, id)
				}
				for _, o := range w.ids {
					if w.detectors[o].State(id) == Suspect {
						suspects++
					}
				}
			}
		}
		if suspects > 40 {
			t.Errorf("seed %d: %d suspicions in 10 s", seed, suspects)
		}
	}
}

// The number of messages per limiter doesn't grow with the number of limiters.
func TestMessagesPerLimiter(t *testing.T) {
	rate := func(n int) float64 {
		w := newNetwork(1, n)
		w.run(10000)
		return float64(w.sent) / float64(n) / 10
	}
	small, large := rate(9), rate(90)
	if large > 1.2*small || large > 8 {
		t.Errorf("%.1f messages per second and limiter with 9 limiters, %.1f with 90", small, large)
	}
}
