package peering

import (
	"testing"
	"time"
)

// All limiters together make calls at the same rate, however many they are.
func TestCallPauseKeepsTheTiersRate(t *testing.T) {
	for _, limiters := range []int{1, 3, 80, 1000} {
		first, most := CallPause(limiters)
		for pause, want := range map[time.Duration]float64{first: 40, most: 10} {
			if rate := float64(limiters) / pause.Seconds(); rate < want*0.999 || rate > want*1.001 {
				t.Errorf("%d limiters that pause for %v make %.1f calls per second, want %.0f", limiters, pause, rate, want)
			}
		}
	}
	if first, _ := CallPause(0); first != initialCallInterval {
		t.Errorf("with an unknown tier size the first pause is %v", first)
	}
}

// A limiter spends its share of the receive rate, and accumulates at most one message per peer.
func TestBudgetIsSpentAndSavedUp(t *testing.T) {
	const limiters, inPerS, tick = 5, 40.0, 50.0
	var b Budget
	sent := 0
	for range 200 { // ten seconds
		b.Tick(tick, inPerS, limiters)
		for b.Take() {
			sent++
		}
	}
	if want := gossipShare * inPerS * 10; float64(sent) < want-1 || float64(sent) > want {
		t.Errorf("%d messages in ten seconds, want %.0f", sent, want)
	}
	for range 1000 {
		b.Tick(tick, inPerS, limiters)
	}
	sent = 0
	for b.Take() {
		sent++
	}
	if sent != limiters-1 {
		t.Errorf("%d messages accumulated, want one for each of %d peers", sent, limiters-1)
	}
}

// A limiter announces levels less often the more announcements it receives: pauses grow from half
// of the fair rate on.
func TestBudgetPausesWhereMuchComesIn(t *testing.T) {
	const limiters, inPerS, tick = 80, 40.0, 50.0
	after := func(share float64) float64 {
		var b Budget
		due := 0.0
		for range 400 { // twenty seconds; receiveRatio is averaged over one second
			for due += share * gossipShare * inPerS * tick / 1000; due >= 1; due-- {
				b.CountReceived()
			}
			b.Tick(tick, inPerS, limiters)
		}
		return b.PauseMs
	}
	calm, fair, over := after(0.2), after(1), after(2)
	if calm != 1000*pauseMessages/inPerS {
		t.Errorf("with few received announcements the pause is %g ms", calm)
	}
	if fair < 5*calm || over < 5*fair {
		t.Errorf("pauses of %g, %g and %g ms at 0.2, 1 and 2 times the fair rate", calm, fair, over)
	}
}
