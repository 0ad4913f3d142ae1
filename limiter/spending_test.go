package limiter

import (
	"math"
	"testing"
)

// runSplit sends an account with a quota of 28 units per second share times that through n limiters, each of which gets
// an equal part, and cuts off all messages for 30 s. It returns the lowest balance in the first 2 s after the partition
// heals, and how many requests were refused and made in the 20 s after it.
func runSplit(t *testing.T, n int, share float64) (low float64, refused, asked int) {
	cfg := testSettings()
	cfg.Plans = []Plan{{Rate: 28, Burst: 70, Price: 1}}
	c := newCluster(t, cfg, n, makeServers(4))
	cut := false
	c.dropMessage = func(int, int) bool { return cut }
	c.runTicks(3000)
	low = math.Inf(1)
	due, turn := 0.0, 0
	const from, to, end = 200, 800, 1200 // ticks
	for k := range end {
		cut = k >= from && k < to
		for due += 28 * share * tickMs / 1000; due >= 1; due-- {
			turn++
			passed := c.submit(turn%n, Submit{Account: 7, Spread: n})
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

// During a partition each bucket refills at the full rate. A bucket that was full meanwhile owes nothing for what others
// admitted within the quota, so that no request is refused after the partition heals. Without peering.Repaid each
// balance falls from 70 to -210 in one tick.
func TestHealedPartitionOwesOnlyUnrepaid(t *testing.T) {
	for _, n := range []int{3, 30} {
		low, refused, asked := runSplit(t, n, 0.9)
		if low < 35 || refused > 0 {
			t.Errorf("%d limiters, 0.9 of the quota requested: lowest balance %.1f after the partition, %d of %d refused", n, low, refused, asked)
		}
	}
}

// Spending beyond the quota is deducted: the balance becomes negative after three limiters admitted three times the
// rate.
func TestHealedPartitionDeductsBeyondQuota(t *testing.T) {
	if low, refused, asked := runSplit(t, 3, 3); low > -100 || refused < asked*2/3 {
		t.Errorf("three times the quota requested: lowest balance %.1f after the partition, %d of %d refused", low, refused, asked)
	}
}

// New spending at a peer is deducted in full, however long the account was idle before.
func TestNewSpendingCountsAfterIdleTime(t *testing.T) {
	cfg := testSettings()
	cfg.Plans = []Plan{{Rate: 28, Burst: 70, Price: 1}}
	c := newCluster(t, cfg, 3, makeServers(4))
	c.runTicks(3000)
	c.submit(0, Submit{Account: 7, Spread: 3})
	c.submit(1, Submit{Account: 7, Spread: 3})
	c.runTicks(12000) // 336 units of refill are discarded
	for range 50 {
		c.submit(0, Submit{Account: 7, Spread: 3})
	}
	c.runTicks(tickMs)
	if b := c.limiters[1].accounts[7].balance; b > 25 {
		t.Errorf("50 of 70 units spent at a peer, %.1f left here", b)
	}
}
