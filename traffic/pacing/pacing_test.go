package pacing

import (
	"math/rand/v2"
	"testing"
)

// link is a stand-in of a narrow link: first in, first out.
type link struct {
	perMs, free float64
}

func (l *link) send(now float64, n int) (arrives float64) {
	l.free = max(l.free, now) + float64(n)/l.perMs
	return l.free
}

type body struct {
	left int
	at   float64 // its next piece
}

// play has a narrow link at two thirds of what it carries, most of it by long bodies, and
// returns what short messages waited on it on average and at most.
func play(seed uint64, mbps float64, distance bool) (mean, worst float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	l := &link{perMs: mbps * 125}
	line := New(mbps)
	if !distance {
		line = nil
	}
	var bodies []*body
	shorts, sum := 0.0, 0.0
	for now := 0.0; now < 60_000; now++ {
		if rng.Float64() < 0.55*l.perMs/90_000 {
			bodies = append(bodies, &body{left: 30_000 + rng.IntN(120_000), at: now})
		}
		if rng.Float64() < 0.1*l.perMs/1500 {
			line.Short(now, 1500)
			late := l.send(now, 1500) - now
			shorts, sum, worst = shorts+1, sum+late, max(worst, late)
		}
		for _, b := range bodies {
			for b.left > 0 && b.at <= now {
				n := min(b.left, line.Piece())
				if wait := line.Next(now, n); wait > 0 {
					b.at = now + wait
				}
				b.left -= n
				l.send(b.at, n)
				if line != nil {
					b.at = max(b.at, now+1)
				}
			}
		}
	}
	return sum / shorts, worst
}

// What is short waits for a piece or two on a narrow link, where it would wait for whole bodies.
func TestShortDoesNotWaitForBodies(t *testing.T) {
	for _, mbps := range []float64{2, 5.8} {
		for seed := range uint64(3) {
			mean, worst := play(seed, mbps, true)
			plain, plainWorst := play(seed, mbps, false)
			if mean > 0.4*plain || worst > 0.6*plainWorst {
				t.Errorf("%g Mbit/s: short messages wait %.1f ms, %.1f at most; without a distance %.1f and %.1f", mbps, mean, worst, plain, plainWorst)
			}
		}
	}
}

// Bodies use the link whole: alone on it one takes as long as the link does, and traffic that
// fills the link by itself does not stop a body for good.
func TestBodiesGoOn(t *testing.T) {
	l := New(5.8)
	now, n := 0.0, 600_000
	for left := n; left > 0; left -= l.Piece() {
		now += l.Next(now, min(left, l.Piece()))
	}
	if due := float64(n) / (5.8 * 125); now > 1.02*due {
		t.Errorf("a body of %d bytes takes %.0f ms, the link %.0f", n, now, due)
	}
	l.Short(now, 1<<30)
	if wait := l.Next(now, 1000); wait > waitMs {
		t.Errorf("a piece waits %.0f ms", wait)
	}
}

// A link that is wide, or not known, books nothing.
func TestWideLinks(t *testing.T) {
	for _, mbps := range []float64{0, 100, 1000} {
		l := New(mbps)
		l.Short(0, 1<<20)
		if l.Long(1<<40) || l.Next(0, 1<<30) != 0 {
			t.Errorf("%g Mbit/s: bodies wait", mbps)
		}
	}
}
