package shutdown

import (
	"math/rand/v2"
	"testing"
	"time"
)

const tick = 50 * time.Millisecond

// detectorRunUntil returns a detector whose process ran from 0 until the given time.
func detectorRunUntil(to time.Duration) *StallDetector {
	d := &StallDetector{}
	for at := time.Duration(0); at <= to; at += tick {
		d.Tick(at)
	}
	return d
}

func TestSignalDuringStall(t *testing.T) {
	const stopped, resumedAt = 2 * time.Second, 5 * time.Second
	for name, x := range map[string]struct {
		ticksAgain     bool // before the signal is handled
		handled        time.Duration
		settling       bool
		from           time.Duration
		stalls         int
		longestAtLeast time.Duration
	}{
		"handled before the stall":                      {false, stopped + tick, false, stopped + tick, 0, 0},
		"handled before the first tick after the stall": {false, resumedAt, true, stopped, 0, 0},
		"handled just after that tick":                  {true, resumedAt + tick, true, stopped, 1, resumedAt - stopped},
		"handled when requests are started again":       {true, resumedAt + SettleTime, false, stopped, 1, resumedAt - stopped},
		"sent after SignalDelay":                        {true, resumedAt + SignalDelay, false, resumedAt + SignalDelay, 1, resumedAt - stopped},
	} {
		d := detectorRunUntil(stopped)
		for at := time.Duration(resumedAt); x.ticksAgain && at <= x.handled; at += tick {
			d.Tick(at)
		}
		count, longest := d.Stalls()
		if d.Settling(x.handled) != x.settling || d.EarliestSent(x.handled) != x.from || count != x.stalls || longest < x.longestAtLeast {
			t.Errorf("%s: settling %v, sent from %v, %d stalls, longest %v", name, d.Settling(x.handled), d.EarliestSent(x.handled), count, longest)
		}
	}
}

// However ticks are delayed, a signal handled within SignalDelay after the process resumed is never
// counted from later than it was sent, and a signal that arrives while the process runs is counted from
// its arrival.
func TestSignalIsNeverCountedLate(t *testing.T) {
	random := rand.New(rand.NewPCG(68, 1))
	for range 20000 {
		d := &StallDetector{}
		now := time.Duration(0)
		for range 1 + random.IntN(30) {
			now += time.Duration(random.Int64N(int64(tick)))
			d.Tick(now)
		}
		now += tick // the process ran before it was suspended
		d.Tick(now)
		stall := time.Duration(random.Int64N(int64(4 * time.Second)))
		sent := now + time.Duration(random.Int64N(int64(stall)+1))
		resumedAt := now + stall
		handled := resumedAt + time.Duration(random.Int64N(int64(SignalDelay)))
		for at := resumedAt; random.IntN(4) > 0 && at <= handled; at += time.Duration(random.Int64N(int64(2 * tick))) {
			d.Tick(at)
		}
		from := d.EarliestSent(handled)
		if stall > StallThreshold && from > sent {
			t.Fatalf("sent at %v in a stall from %v to %v, handled at %v, counted from %v", sent, now, resumedAt, handled, from)
		}
		if from > handled || handled-from > stall+SignalDelay+StallThreshold {
			t.Fatalf("handled at %v after a stall of %v, counted from %v", handled, stall, from)
		}
	}
}
