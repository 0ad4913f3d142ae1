package virtual_test

import (
	"testing"
	"time"

	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/internal/world"
)

const restartsWithUnhealthyBoxes = `
box a3 fails 100% from 5s to 60s
box b1 hangs from 5s to 60s
box b2 slows 4 from 5s to 60s
limiter n0 restarts at 20s
limiter n1 restarts at 20s
limiter n2 restarts at 20s
limiter n0 restarts at 30s
limiter n1 restarts at 30s
limiter n2 restarts at 30s
limiter n0 restarts at 40s
limiter n1 restarts at 40s
limiter n2 restarts at 40s
`

// A limiter that restores its memory sends fewer requests to boxes known as unhealthy, within the 2 s
// after a restart of all limiters, and breaks no rule.
func TestRemembersTheSick(t *testing.T) {
	var wasted, service [2]float64
	for seed := range uint64(8) {
		for k, every := range []time.Duration{0, 500 * time.Millisecond} {
			arrived := 0
			r := simulate(t, seed, 50*time.Second, restartsWithUnhealthyBoxes, func(o *virtual.Options) {
				o.MemoryInterval = every
				var w *world.World
				last := map[int]int{}
				o.OnStart = func(x *world.World) { w = x }
				o.Progress = func(time.Duration) {}
				after := func(now time.Duration) bool {
					for _, at := range []time.Duration{20, 30, 40} {
						if now > at*time.Second && now < (at+2)*time.Second {
							return true
						}
					}
					return false
				}
				o.OnAction = func(now time.Duration, _ world.Action) {
					for i, b := range w.Boxes {
						if n := b.Counts.Arrived; n > last[i] {
							if (b.Name == "a3" || b.Name == "b1") && after(now) {
								arrived += n - last[i]
							}
							last[i] = n
						}
					}
				}
			})
			for _, b := range r.Judge.Breaches {
				t.Errorf("seed %d, remembering each %v: %v", seed, every, b)
			}
			wasted[k] += float64(arrived) / 8
			service[k] += r.World.Meter.Figure().Whole / 8
		}
	}
	t.Logf("requests to sick boxes within 2 s of three starts of all: %.1f, remembering %.1f; service %.4f, remembering %.4f", wasted[0], wasted[1], service[0], service[1])
	if wasted[1] > wasted[0]*0.7 || service[1] < service[0]-0.001 {
		t.Errorf("remembering: %v to sick boxes, service %v", wasted, service)
	}
}
