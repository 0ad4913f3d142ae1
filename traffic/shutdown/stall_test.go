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
		"heard when requests are begun":   {true, resumed + SettleWithin, false, stopped, 1, resumed - stopped},
		"sent when it has run for longer": {true, resumed + SignalWithin, false, resumed + SignalWithin, 1, resumed - stopped},
	} {
		d := ticked(stopped)
		for at := time.Duration(resumed); x.ticksAgain && at <= x.heard; at += tick {
			d.Tick(at)
		}
		count, longest := d.Stalls()
		if d.Settling(x.heard) != x.settling || d.SentFrom(x.heard) != x.from || count != x.stalls || longest < x.longestAtLeast {
			t.Errorf("%s: settling %v, sent from %v, %d stalls, longest %v", name, d.Settling(x.heard), d.SentFrom(x.heard), count, longest)
		}
	}
}

// However ticks are delayed: a signal is never counted from later than it was sent, if it is heard within
// SignalWithin of the process's going on, and one that comes while the process runs is counted from that moment.
func TestSignalIsNeverCountedLate(t *testing.T) {
	random := rand.New(rand.NewPCG(68, 1))
	for range 20000 {
		d := &StallDetector{}
		now := time.Duration(0)
		for range 1 + random.IntN(30) {
			now += time.Duration(random.Int64N(int64(tick)))
			d.Tick(now)
		}
		now += tick // it ran, before it stopped
		d.Tick(now)
		stall := time.Duration(random.Int64N(int64(4 * time.Second)))
		sent := now + time.Duration(random.Int64N(int64(stall)+1))
		resumed := now + stall
		heard := resumed + time.Duration(random.Int64N(int64(SignalWithin)))
		for at := resumed; random.IntN(4) > 0 && at <= heard; at += time.Duration(random.Int64N(int64(2 * tick))) {
			d.Tick(at)
		}
		from := d.SentFrom(heard)
		if stall > StallAfter && from > sent {
			t.Fatalf("sent at %v in a stall from %v to %v, heard at %v, counted from %v", sent, now, resumed, heard, from)
		}
		if from > heard || heard-from > stall+SignalWithin+StallAfter {
			t.Fatalf("heard at %v behind a stall of %v, counted from %v", heard, stall, from)
		}
	}
}
