package limiter

import (
	"math"
	"testing"
)

// split plays an account of 28 units a second through n limiters that each see an equal part
// of share times that, cuts them from one another for 30 s, and returns the lowest balance
// in the 2 s after they hear each other again, and what was refused from then on for 20 s.
func runSplit(t *testing.T, n int, share float64) (low float64, refused, asked int) {
	cfg := testSettings()
	cfg.Plans = []Plan{{Rate: 28, Burst: 70, Price: 1}}
	c := newCluster(t, cfg, n, makeServers(4))
	cut := false
	c.dropMessage = func(int, int) bool { return cut }
	c.runTicks(3000)
	low = math.Inf(1)
	owed, turn := 0.0, 0
	const from, to, end = 200, 800, 1200 // ticks
	for k := range end {
		cut = k >= from && k < to
		for owed += 28 * share * tickMs / 1000; owed >= 1; owed-- {
			turn++
			passed := c.submit(turn%n, Submit{Customer: 7, Spread: n})
			if k >= to {
				asked++
				refused += btoi(!passed)
			}
		}
		c.runTicks(tickMs)
		for _, l := range c.limiters {
			if x := l.accounts[7]; x != nil && k >= to && k < to+40 {
				low = min(low, x.balance)
			}
		}
	}
	return low, refused, asked
}

// While limiters don't hear one another each bucket refills at the whole rate. One that
// stood full meanwhile owes nothing for what the others passed within the quota: at the
// heal nobody is refused. Without Repaid each balance falls from 70 to -210 in one tick.
func TestHealedSplitOwesWhatWasNotRepaid(t *testing.T) {
	for _, n := range []int{3, 30} {
		low, refused, asked := runSplit(t, n, 0.9)
		if low < 35 || refused > 0 {
			t.Errorf("%d limiters, 0.9 of the quota asked: lowest balance %.1f after the split, %d of %d refused", n, low, refused, asked)
		}
	}
}

// Spending beyond the quota stays a debt: what three limiters passed at three times the
// rate is drawn, below nought.
func TestHealedSplitDrawsWhatWentBeyond(t *testing.T) {
	if low, refused, asked := runSplit(t, 3, 3); low > -100 || refused < asked*2/3 {
		t.Errorf("three times the quota asked: lowest balance %.1f after the split, %d of %d refused", low, refused, asked)
	}
}

// What a peer spends now is drawn in full, however long the account was idle before.
func TestFreshSpendingIsDrawnAfterIdleTime(t *testing.T) {
	cfg := testSettings()
	cfg.Plans = []Plan{{Rate: 28, Burst: 70, Price: 1}}
	c := newCluster(t, cfg, 3, makeServers(4))
	c.runTicks(3000)
	c.submit(0, Submit{Customer: 7, Spread: 3})
	c.submit(1, Submit{Customer: 7, Spread: 3})
	c.runTicks(12000) // 336 units of refill go by
	for range 50 {
		c.submit(0, Submit{Customer: 7, Spread: 3})
	}
	c.runTicks(tickMs)
	if b := c.limiters[1].accounts[7].balance; b > 25 {
		t.Errorf("50 of 70 units spent at a peer, %.1f left here", b)
	}
}
