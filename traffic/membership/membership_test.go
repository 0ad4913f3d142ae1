package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

type flying struct {
	at float64
	Letter
}

// world is a region of limiters with a network that loses and delays.
type world struct {
	rng   *rand.Rand
	now   float64
	lines map[string]*Line
	ids   []string
	zones map[string]string
	gone  map[string]bool // dead, or without power
	cut   func(from, to string) bool
	loss  float64
	late  []flying
	sent  int
}

func newWorld(seed uint64, n int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), lines: map[string]*Line{}, zones: map[string]string{}, gone: map[string]bool{}, cut: func(string, string) bool { return false }}
	for i := range n {
		w.ids = append(w.ids, fmt.Sprintf("e%d", i))
		w.zones[w.ids[i]] = fmt.Sprint("z", i%3)
	}
	for i, id := range w.ids {
		w.lines[id] = New(id, seed*100+uint64(i))
		w.lines[id].Set(w.zones)
	}
	return w
}

func (w *world) send(from string, out []Letter) {
	for _, l := range out {
		w.sent++
		if w.rng.Float64() >= w.loss && !w.cut(from, l.To) {
			w.late = append(w.late, flying{w.now + 1 + 2*w.rng.Float64(), l})
		}
	}
}

func (w *world) run(ms float64) {
	for end := w.now + ms; w.now < end; w.now += 10 {
		rest := []flying(nil)
		due := []flying(nil)
		for _, f := range w.late {
			if f.at <= w.now {
				due = append(due, f)
			} else {
				rest = append(rest, f)
			}
		}
		w.late = rest
		for _, f := range due {
			if !w.gone[f.To] {
				w.send(f.To, w.lines[f.To].Hear(w.now, f.Message))
			}
		}
		for _, id := range w.ids {
			if !w.gone[id] {
				w.send(id, w.lines[id].Tick(w.now))
			}
		}
	}
}

// seen is by how many that run one is taken for out.
func (w *world) seen(id string) (n int) {
	for _, o := range w.ids {
		if o != id && !w.gone[o] && w.lines[o].State(id) == Out {
			n++
		}
	}
	return n
}

func TestOneThatIsGoneIsOutAndComesBack(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 9)
		w.loss = 0.02
		w.run(3000)
		w.gone["e4"] = true
		w.run(3500)
		if n := w.seen("e4"); n < 8 {
			t.Errorf("seed %d: 3.5 s after it went %d of 8 take it for out", seed, n)
		}
		w.gone["e4"] = false // frozen, and awake again
		w.run(4000)
		if n := w.seen("e4"); n > 0 {
			t.Errorf("seed %d: 4 s after it woke %d of 8 take it for out", seed, n)
		}
	}
}

// Loss of one datagram in five puts nobody out: third parties and objections hold.
func TestLossPutsNobodyOut(t *testing.T) {
	wrong, spans := 0, 0
	for seed := range uint64(20) {
		w := newWorld(seed, 9)
		w.loss = 0.2
		for range 30 {
			w.run(1000)
			spans += len(w.ids)
			for _, id := range w.ids {
				if w.seen(id) > 0 {
					wrong++
				}
			}
		}
	}
	if wrong*100 > spans {
		t.Errorf("in %d of %d seconds somebody was taken for out who is there", wrong, spans)
	}
}

// Two that can't reach each other, whom the others reach, are not taken for out by anybody.
func TestBridge(t *testing.T) {
	w := newWorld(3, 9)
	w.cut = func(a, b string) bool { return a == "e1" && b == "e2" || a == "e2" && b == "e1" }
	w.run(20000)
	for _, id := range w.ids {
		if w.seen(id) > 0 {
			t.Errorf("%s is taken for out", id)
		}
	}
}

// Two zones that can't reach each other, while a third reaches both: nobody is out, and few are
// even suspected.
func TestBridgeOfZones(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed, 18)
		w.loss = 0.01
		w.run(2000)
		w.cut = func(a, b string) bool { return w.zones[a] != w.zones[b] && w.zones[a] != "z2" && w.zones[b] != "z2" }
		suspects := 0
		for range 20 {
			w.run(500)
			for _, id := range w.ids {
				if w.seen(id) > 0 {
					t.Errorf("seed %d: %s is taken for out", seed, id)
				}
				for _, o := range w.ids {
					if w.lines[o].State(id) == Suspect {
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

// What one limiter sends does not grow with their number.
func TestMessagesPerLimiter(t *testing.T) {
	rate := func(n int) float64 {
		w := newWorld(1, n)
		w.run(10000)
		return float64(w.sent) / float64(n) / 10
	}
	small, large := rate(9), rate(90)
	if large > 1.2*small || large > 8 {
		t.Errorf("%.1f messages a second at 9 limiters, %.1f at 90", small, large)
	}
}
