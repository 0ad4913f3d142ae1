package limiter

import (
	"math"
	"testing"
)

// passUntilRefused submits one-unit requests to a limiter until it refuses one, and returns the units admitted.
func passUntilRefused(c *cluster, i int, spread int) (units int) {
	for units < 1000 && c.submit(i, Submit{Account: 7, Spread: spread}) {
		units++
	}
	return units
}

// within1 reports whether a differs from b by at most 1.
func within1(a int, b float64) bool { return math.Abs(float64(a)-b) <= 1 }

// When parts move, no unit is spent twice: what the old owner has spent is not available again at the new one, and
// both refill at the rates of their new parts.
func TestPartsMove(t *testing.T) {
	cfg := testSettings()
	cfg.Plans = []Plan{{Rate: 1000, Burst: 1000, CeilingRate: 20, CeilingBurst: 40, Price: 1}}
	c := newCluster(t, cfg, 2, makeServers(4))
	c.runTicks(20000)
	setPart := func(i int, x float64) {
		c.limiters[i].Handle(c.now, Parts{ByAccount: map[uint64]float64{7: x}, Default: 1})
	}
	if n := passUntilRefused(c, 0, 2); !within1(n, 20) {
		t.Errorf("an equal part of 40 admitted %d", n)
	}
	setPart(0, 0.1)
	setPart(1, 1.9)
	if n := passUntilRefused(c, 1, 2); !within1(n, 20) { // without a record of the account it has saved up an equal part
		t.Errorf("a part that has just grown admitted %d", n)
	}
	c.runTicks(1000)
	if a, b := passUntilRefused(c, 0, 2), passUntilRefused(c, 1, 2); a > 2 || !within1(b, 19) {
		t.Errorf("after a second %d and %d", a, b)
	}
	c.runTicks(20000)
	if a, b := passUntilRefused(c, 0, 2), passUntilRefused(c, 1, 2); !within1(a, 2) || !within1(b, 38) {
		t.Errorf("full parts admitted %d and %d", a, b)
	}
	setPart(1, 0.5)
	setPart(0, 1.5)
	c.runTicks(20000)
	if a, b := passUntilRefused(c, 0, 2), passUntilRefused(c, 1, 2); !within1(a, 30) || !within1(b, 10) {
		t.Errorf("after the parts moved back: %d and %d", a, b)
	}
	for i, l := range c.limiters {
		if d := l.Demands(); len(d) != 1 || d[0].Account != 7 || d[0].Spread != 2 || d[0].Burst != 40 || d[0].Largest != 1 || d[0].Asked < 10 {
			t.Errorf("limiter %d has demands %+v", i, d)
		}
	}
}

// A limiter that does not know its parts uses the minimum, and has not saved up more than that when it learns that
// its part is larger.
func TestPartsAfterAStart(t *testing.T) {
	cfg := testSettings()
	cfg.Plans = []Plan{{Rate: 1000, Burst: 1000, CeilingRate: 20, CeilingBurst: 40, Price: 1}}
	c := newCluster(t, cfg, 2, makeServers(4))
	c.limiters[0].Handle(c.now, Parts{Default: 0.1})
	c.runTicks(20000)
	c.limiters[0].Handle(c.now, Parts{Default: 1})
	if n := passUntilRefused(c, 0, 2); n > 3 {
		t.Errorf("%d units of a part that has just grown", n)
	}
	c.runTicks(20000)
	if n := passUntilRefused(c, 0, 2); !within1(n, 20) {
		t.Errorf("%d units of a full equal part", n)
	}
}
