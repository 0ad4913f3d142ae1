package pacing

import (
	"math/rand/v2"
	"testing"
)

// link simulates a narrow link that sends in FIFO order.
type link struct {
	bytesPerMs, free float64
}

func (l *link) send(now float64, n int) (arrives float64) {
	l.free = max(l.free, now) + float64(n)/l.bytesPerMs
	return l.free
}

type body struct {
	left int
	at   float64 // when its next chunk is sent
}

// simulate runs a narrow link at two thirds of its capacity, most of it used by long bodies, and returns
// the mean and the longest wait of short messages.
func simulate(seed uint64, mbps float64, paced bool) (mean, worst float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	l := &link{bytesPerMs: mbps * 125}
	pacer := New(mbps)
	if !paced {
		pacer = nil
	}
	var bodies []*body
	shorts, sum := 0.0, 0.0
	for now := 0.0; now < 60_000; now++ {
		if rng.Float64() < 0.55*l.bytesPerMs/90_000 {
			bodies = append(bodies, &body{left: 30_000 + rng.IntN(120_000), at: now})
		}
		if rng.Float64() < 0.1*l.bytesPerMs/1500 {
			pacer.RecordUnpaced(now, 1500)
			late := l.send(now, 1500) - now
			shorts, sum, worst = shorts+1, sum+late, max(worst, late)
		}
		for _, b := range bodies {
			for b.left > 0 && b.at <= now {
				n := min(b.left, pacer.ChunkSize())
				if wait := pacer.ReserveChunk(now, n); wait > 0 {
					b.at = now + wait
				}
				b.left -= n
				l.send(b.at, n)
				if pacer != nil {
					b.at = max(b.at, now+1)
				}
			}
		}
	}
	return sum / shorts, worst
}

// On a narrow link short messages wait for one or two chunks instead of whole bodies.
func TestShortDoesNotWaitForBodies(t *testing.T) {
	for _, mbps := range []float64{2, 5.8} {
		for seed := range uint64(3) {
			mean, worst := simulate(seed, mbps, true)
			unpaced, unpacedWorst := simulate(seed, mbps, false)
			if mean > 0.4*unpaced || worst > 0.6*unpacedWorst {
				t.Errorf("%g Mbit/s: short messages wait %.1f ms on average, %.1f at most; without pacing %.1f and %.1f", mbps, mean, worst, unpaced, unpacedWorst)
			}
		}
	}
}

// Bodies use the full capacity of the link: a single body takes as long as the link needs, and short
// traffic that fills the link does not block a body forever.
func TestBodiesUseFullCapacity(t *testing.T) {
	l := New(5.8)
	now, n := 0.0, 600_000
	for left := n; left > 0; left -= l.ChunkSize() {
		now += l.ReserveChunk(now, min(left, l.ChunkSize()))
	}
	if due := float64(n) / (5.8 * 125); now > 1.02*due {
		t.Errorf("a body of %d bytes takes %.0f ms, the link %.0f", n, now, due)
	}
	l.RecordUnpaced(now, 1<<30)
	if wait := l.ReserveChunk(now, 1000); wait > maxWaitMs {
		t.Errorf("a chunk waits %.0f ms", wait)
	}
}

// Links that are wide or of unknown capacity are not paced.
func TestWideLinks(t *testing.T) {
	for _, mbps := range []float64{0, 100, 1000} {
		l := New(mbps)
		l.RecordUnpaced(0, 1<<20)
		if l.NeedsChunks(1<<40) || l.ReserveChunk(0, 1<<30) != 0 {
			t.Errorf("%g Mbit/s: bodies wait", mbps)
		}
	}
}
