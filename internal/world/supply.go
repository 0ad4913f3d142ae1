package world

import (
	"math"
	"time"

	"example.org/madderdrum/internal/fleet"
)

// Supply is an upper bound on the work that all boxes can do in each step, whatever limiters send them.
// It assumes that no time is lost, that no box thrashes, and that cold boxes warm up as fast as
// requests of half the smallest mean work allow.
type Supply struct {
	Step    time.Duration
	Work    []float64 // seconds of work, by step
	PerCore []float64 // most seconds of work of one core, by step
}

// MaxSupply simulates faults without requests and returns the resulting Supply. The best state of a box at
// any moment of a step counts for the whole step.
func MaxSupply(f *fleet.Fleet, seed uint64, faults []Fault, step, length time.Duration) *Supply {
	w := New(f, Options{Seed: seed, Faults: faults})
	n := int((length + step - 1) / step)
	s := &Supply{Step: step, Work: make([]float64, n), PerCore: make([]float64, n)}
	minWork := math.Inf(1)
	for _, c := range f.Classes {
		minWork = min(minWork, c.Work.Seconds()/2)
	}
	maxDeadline := time.Duration(0)
	for _, c := range f.Classes {
		maxDeadline = max(maxDeadline, c.Deadline)
	}
	type state struct {
		born, drained time.Duration
		there, drains bool
		answered      float64
	}
	states := make([]state, len(w.Boxes))
	best := make([]float64, len(w.Boxes)) // work per second of each box, best of the step
	core := 0.0
	observe := func(now time.Duration) {
		for len(states) < len(w.Boxes) {
			states, best = append(states, state{}), append(best, 0)
		}
		for i, b := range w.Boxes {
			x := &states[i]
			if b.startedAt != x.born {
				*x = state{born: b.startedAt}
			}
			if drains := b.condition == Draining; drains != x.drains {
				x.drains, x.drained = drains, now
			}
			// Requests in progress when a drain begins may still be of worth until their deadlines.
			x.there = b.condition == Running || b.condition == Draining && now < x.drained+maxDeadline
			if !x.there {
				continue
			}
			warmth := b.Warmth(now)
			if warmth < 1 && b.Spec.WarmAfter > 0 {
				warmth = max(warmth, min(1, b.Spec.ColdShare+(1-b.Spec.ColdShare)*x.answered/float64(b.Spec.WarmAfter)))
			}
			speed := b.Spec.Speed * warmth / (b.slowdown * w.sharedSlowdown)
			core, best[i] = max(core, speed), max(best[i], speed*b.Spec.Cores)
		}
	}
	for stepIndex := range n {
		until := time.Duration(stepIndex+1) * step
		clear(best)
		core = 0
		observe(time.Duration(stepIndex) * step)
		for {
			at, ok := w.Next()
			if !ok || at > until {
				break
			}
			w.Step()
			observe(at)
		}
		observe(until)
		for i := range best {
			work := best[i] * step.Seconds()
			s.Work[stepIndex] += work
			states[i].answered += work / minWork
		}
		s.PerCore[stepIndex] = core * step.Seconds()
	}
	return s
}

// Healthy reports whether a box is healthy: it runs without a fault of its own. The shared slowdown is
// ignored.
func (b *Box) Healthy() bool {
	return b.condition == Running && b.slowdown < 1.3 && b.errorRate < b.Spec.ErrorRate+0.05 && (b.responseFault == NoResponseFault || b.responseFaultShare < 0.05)
}

// Idle reports whether a box holds fewer jobs than it has cores.
func (b *Box) Idle() bool { return float64(b.JobCount()) < b.Spec.Cores }
