package peering

import (
	"testing"
	"time"
)

// However many limiters there are, together they call equally often.
func TestCallPauseKeepsTheTiersRate(t *testing.T) {
	for _, limiters := range []int{1, 3, 80, 1000} {
		first, most := CallPause(limiters)
		for pause, want := range map[time.Duration]float64{first: 40, most: 10} {
			if rate := float64(limiters) / pause.Seconds(); rate < want*0.999 || rate > want*1.001 {
				t.Errorf("%d limiters that pause for %v make %.1f calls a second, want %.0f", limiters, pause, rate, want)
			}
		}
	}
	if first, _ := CallPause(0); first != initialCallInterval {
		t.Errorf("a tier of an unknown size pauses for %v", first)
	}
}

// A limiter sends its share of what each takes in, and no more saved up than one to each
// peer.
func TestBudgetIsSpentAndSavedUp(t *testing.T) {
	const limiters, inPerS, tick = 5, 40.0, 50.0
	var b Budget
	taken := 0
	for range 200 { // ten seconds
		b.Tick(tick, inPerS, limiters)
		for b.Take() {
			taken++
		}
	}
	if want := gossipShare * inPerS * 10; float64(taken) < want-1 || float64(taken) > want {
		t.Errorf("%d messages in ten seconds, want %.0f", taken, want)
	}
	for range 1000 {
		b.Tick(tick, inPerS, limiters)
	}
	taken = 0
	for b.Take() {
		taken++
	}
	if taken != limiters-1 {
		t.Errorf("%d messages saved up, want one to each of %d peers", taken, limiters-1)
	}
}

// The more levels come in, the less often a keeper tells one: at half of the fair number
// it begins to wait, and it is back at once when they cease.
func TestBudgetPausesWhereMuchComesIn(t *testing.T) {
	const limiters, inPerS, tick = 80, 40.0, 50.0
	after := func(share float64) float64 {
		var b Budget
		due := 0.0
		for range 400 { // twenty seconds: inRate is averaged over one
			for due += share * gossipShare * inPerS * tick / 1000; due >= 1; due-- {
				b.Heard()
			}
			b.Tick(tick, inPerS, limiters)
		}
		return b.Pause
	}
	calm, fair, over := after(0.2), after(1), after(2)
	if calm != 1000*pauseMessages/inPerS {
		t.Errorf("with little coming in a keeper pauses for %g ms", calm)
	}
	if fair < 5*calm || over < 5*fair {
		t.Errorf("pauses of %g, %g and %g ms at 0.2, 1 and 2 times the fair number", calm, fair, over)
	}
}
