package controlsim

import (
	"fmt"
	"slices"
	"time"

	"example.org/madderdrum/control/controlstate"
)

// operatorTimeout is how long the operator waits for an answer before it tries another machine.
const operatorTimeout = time.Second

// Operate submits a new order at the given interval until the given time, and retries each order on the
// machines in turn until it is acknowledged. Every order evacuates a zone of its own, so each acknowledged
// order must remain visible in the register from then on.
func (w *World) Operate(every, until time.Duration) {
	var next func()
	next = func() {
		if w.Now >= until {
			return
		}
		w.orderCount++
		w.SubmitOrder(fmt.Sprintf("z%04d", w.orderCount))
		w.After(every, next)
	}
	next()
}

// SubmitOrder submits an order to evacuate a zone, to one machine after the other until it is acknowledged.
func (w *World) SubmitOrder(zone string) { w.sendOrder(zone, w.rng.IntN(len(w.stores))) }

func (w *World) sendOrder(zone string, to int) {
	if _, done := w.Acked[zone]; done {
		return
	}
	if _, pending := w.PendingSince[zone]; !pending {
		w.PendingSince[zone] = w.Now
	}
	s := w.stores[to%len(w.stores)]
	if !s.running || w.Now < s.frozenUntil {
		w.After(100*time.Millisecond, func() { w.sendOrder(zone, to+1) })
		return
	}
	answered := false
	sentAt := w.Now
	s.submit([]controlstate.Order{{Kind: controlstate.BeginEvacuation, Zone: zone, SeenSeq: s.replica.Register().Seq}}, orderTimeout, func(out []controlstate.Outcome) {
		if answered || w.Now-sentAt > operatorTimeout || len(out) != 1 {
			return
		}
		answered = true
		if out[0].Status != 200 && out[0].Status != 503 {
			w.fail("order %s was rejected: %+v", zone, out[0])
		}
		if out[0].Status == 200 {
			w.recordAck(zone)
		}
	})
	w.After(operatorTimeout+time.Duration(w.rng.IntN(200))*time.Millisecond, func() { w.sendOrder(zone, to+1) })
}

func (w *World) recordAck(zone string) {
	if _, done := w.Acked[zone]; done {
		return
	}
	w.Acked[zone] = w.Now
	w.MaxAckDelay = max(w.MaxAckDelay, w.Now-w.PendingSince[zone])
	delete(w.PendingSince, zone)
}

// LongestWait returns how long the oldest unacknowledged order has been waiting.
func (w *World) LongestWait() (longest time.Duration) {
	for _, at := range w.PendingSince {
		longest = max(longest, w.Now-at)
	}
	return longest
}

// propagationTimeout is the time within which every running store learns an acknowledged order, once there
// are no failures.
const propagationTimeout = 2 * time.Second

// Check returns the first violated invariant, or an error if a running store lacks an order that was
// acknowledged more than propagationTimeout ago. Call it when there have been no failures for a while.
func (w *World) Check() error {
	if w.Violation != nil {
		return w.Violation
	}
	for _, s := range w.stores {
		if !s.running {
			continue
		}
		for zone, at := range w.Acked {
			if w.Now-at > propagationTimeout && !slices.Contains(s.replica.Register().EvacuatedZones, zone) {
				return fmt.Errorf("%s lacks %s, which was acknowledged at %v", s.ID(), zone, at)
			}
		}
	}
	return nil
}
