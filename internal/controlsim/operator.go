package controlsim

import (
	"fmt"
	"slices"
	"time"

	"example.org/madderdrum/control/controlstate"
)

// callerPatience is how long an operator waits for an answer before it asks another machine.
const callerPatience = time.Second

// Operate has an operator give an order at intervals until a time, each sent again to any machine
// until it is acknowledged. Orders are evacuations of zones that are all different: each one that is
// acknowledged must be there ever after.
func (w *World) Operate(every, until time.Duration) {
	var next func()
	next = func() {
		if w.Now >= until {
			return
		}
		w.orders++
		w.Order(fmt.Sprintf("z%04d", w.orders))
		w.After(every, next)
	}
	next()
}

// Order has an order given until it is acknowledged, to one machine after the other.
func (w *World) Order(zone string) { w.order(zone, w.rng.IntN(len(w.stores))) }

func (w *World) order(zone string, to int) {
	if _, done := w.Acked[zone]; done {
		return
	}
	if _, waits := w.Sent[zone]; !waits {
		w.Sent[zone] = w.Now
	}
	s := w.stores[to%len(w.stores)]
	if !s.up || w.Now < s.thawAt {
		w.After(100*time.Millisecond, func() { w.order(zone, to+1) })
		return
	}
	answered := false
	asked := w.Now
	s.submit([]controlstate.Order{{Kind: controlstate.BeginEvacuation, Zone: zone, SeenSeq: s.replica.Register().Seq}}, orderWithin, func(out []controlstate.Outcome) {
		if answered || w.Now-asked > callerPatience || len(out) != 1 {
			return
		}
		answered = true
		if out[0].Status != 200 && out[0].Status != 503 {
			w.fail("order %s is refused: %+v", zone, out[0])
		}
		if out[0].Status == 200 {
			w.acknowledged(zone)
		}
	})
	w.After(callerPatience+time.Duration(w.rng.IntN(200))*time.Millisecond, func() { w.order(zone, to+1) })
}

func (w *World) acknowledged(zone string) {
	if _, done := w.Acked[zone]; done {
		return
	}
	w.Acked[zone] = w.Now
	w.Slow = max(w.Slow, w.Now-w.Sent[zone])
	delete(w.Sent, zone)
}

// Waits is for how long the longest-waiting order has waited.
func (w *World) Waits() (longest time.Duration) {
	for _, at := range w.Sent {
		longest = max(longest, w.Now-at)
	}
	return longest
}

// toldWithin is how soon every running store knows what was acknowledged, in calm times.
const toldWithin = 2 * time.Second

// Check holds every running store against what was acknowledged, once all is calm.
func (w *World) Check() error {
	if w.Broken != nil {
		return w.Broken
	}
	for _, s := range w.stores {
		if !s.up {
			continue
		}
		for zone, at := range w.Acked {
			if w.Now-at > toldWithin && !slices.Contains(s.replica.Register().EvacuatedZones, zone) {
				return fmt.Errorf("%s lacks %s, which was acknowledged at %v", s.ID(), zone, at)
			}
		}
	}
	return nil
}
