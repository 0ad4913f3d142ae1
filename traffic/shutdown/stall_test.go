package shutdown

import (
	"math/rand/v2"
	"testing"
	"time"
)

const tick = 50 * time.Millisecond

// ticked returns a detector whose process ran from 0 to a moment.
func ticked(to time.Duration) *StallDetector {
	d := &StallDetector{}
	for at := time.Duration(0); at <= to; at += tick {
		d.Tick(at)
	}
	return d
}

func TestSignalDuringStall(t *testing.T) {
	const stopped, resumed = 2 * time.Second, 5 * time.Second
	for name, x := range map[string]struct {
		ticksAgain     bool // before the signal is heard
		heard          time.Duration
		settling       bool
		from           time.Duration
		stalls         int
		longestAtLeast time.Duration
	}{
		"heard before the process stops":  {false, stopped + tick, false, stopped + tick, 0, 0},
		"heard before the first tick":     {false, resumed, true, stopped, 0, 0},
		"heard just behind the tick":      {true, resumed + tick, true, stopped, 1, resumed - stopped},
		"sent when it has run for longer": {true, resumed + SettleWithin, false, resumed + SettleWithin, 1, resumed - stopped},
	} {
		d := ticked(stopped)
		if x.ticksAgain {
			d.Tick(resumed)
		}
		count, longest := d.Stalls()
		if d.Settling(x.heard) != x.settling || d.SentFrom(x.heard) != x.from || count != x.stalls || longest < x.longestAtLeast {
			t.Errorf("%s: settling %v, sent from %v, %d stalls, longest %v", name, d.Settling(x.heard), d.SentFrom(x.heard), count, longest)
		}
	}
}

// However ticks are delayed: a signal is never counted from later than it was sent, if it is heard within
// SettleWithin of the process's going on, and one that comes while the process runs is counted from that moment.
func TestSignalIsNeverCountedLate(t *testing.T) {
	random := rand.New(rand.NewPCG(68, 1))
	for range 20000 {
		d := &StallDetector{}
		now := time.Duration(0)
		for range 1 + random.IntN(30) {
			now += time.Duration(random.Int64N(int64(tick)))
			d.Tick(now)
		}
		now += SettleWithin // it ran, before it stopped
		d.Tick(now)
		stall := time.Duration(random.Int64N(int64(4 * time.Second)))
		sent := now + time.Duration(random.Int64N(int64(stall)+1))
		resumed := now + stall
		if random.IntN(2) == 0 {
			d.Tick(resumed)
		}
		heard := resumed + time.Duration(random.Int64N(int64(SettleWithin)))
		from := d.SentFrom(heard)
		if stall > StallAfter && from > sent {
			t.Fatalf("sent at %v in a stall from %v to %v, heard at %v, counted from %v", sent, now, resumed, heard, from)
		}
		if from > heard || heard-from > stall+SettleWithin {
			t.Fatalf("heard at %v behind a stall of %v, counted from %v", heard, stall, from)
		}
	}
}
