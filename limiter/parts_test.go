package limiter

import (
	"math"
	"testing"
)

// pass has a limiter of the crowd let through one unit after the other until it refuses.
func passUntilRefused(c *cluster, i int, spread int) (units int) {
	for units < 1000 && c.submit(i, Submit{Customer: 7, Spread: spread}) {
		units++
	}
	return units
}

func within1(a int, b float64) bool { return math.Abs(float64(a)-b) <= 1 }

// Parts move without anything being spent twice: what the one that gives has spent is not
// there again at the one that gets it, and both fill up at the rates of their new parts.
func TestPartsMove(t *testing.T) {
	cfg := testSettings()
	cfg.Plans = []Plan{{Rate: 1000, Burst: 1000, CeilingRate: 20, CeilingBurst: 40, Price: 1}}
	c := newCluster(t, cfg, 2, makeServers(4))
	c.runTicks(20000)
	hold := func(i int, x float64) {
		c.limiters[i].Handle(c.now, Parts{Of: map[uint64]float64{7: x}, Rest: 1})
	}
	if n := passUntilRefused(c, 0, 2); !within1(n, 20) {
		t.Errorf("an equal part of 40 let %d through", n)
	}
	hold(0, 0.1)
	hold(1, 1.9)
	if n := passUntilRefused(c, 1, 2); !within1(n, 20) { // it has no record yet: what it saved up is an equal part
		t.Errorf("a part that has just grown let %d through", n)
	}
	c.runTicks(1000)
	if a, b := passUntilRefused(c, 0, 2), passUntilRefused(c, 1, 2); a > 2 || !within1(b, 19) {
		t.Errorf("after a second %d and %d", a, b)
	}
	c.runTicks(20000)
	if a, b := passUntilRefused(c, 0, 2), passUntilRefused(c, 1, 2); !within1(a, 2) || !within1(b, 38) {
		t.Errorf("full parts let %d and %d through", a, b)
	}
	hold(1, 0.5)
	hold(0, 1.5)
	c.runTicks(20000)
	if a, b := passUntilRefused(c, 0, 2), passUntilRefused(c, 1, 2); !within1(a, 30) || !within1(b, 10) {
		t.Errorf("and back: %d and %d", a, b)
	}
	for i, l := range c.limiters {
		if d := l.Demands(); len(d) != 1 || d[0].Account != 7 || d[0].Spread != 2 || d[0].Burst != 40 || d[0].Largest != 1 || d[0].Asked < 10 {
			t.Errorf("limiter %d tells %+v", i, d)
		}
	}
}

// A limiter that does not know what it holds uses its floor, and no more than that is saved
// up when it learns that it holds more.
func TestPartsAfterAStart(t *testing.T) {
	cfg := testSettings()
	cfg.Plans = []Plan{{Rate: 1000, Burst: 1000, CeilingRate: 20, CeilingBurst: 40, Price: 1}}
	c := newCluster(t, cfg, 2, makeServers(4))
	c.limiters[0].Handle(c.now, Parts{Rest: 0.1})
	c.runTicks(20000)
	c.limiters[0].Handle(c.now, Parts{Rest: 1})
	if n := passUntilRefused(c, 0, 2); n > 3 {
		t.Errorf("%d of a part that has just come", n)
	}
	c.runTicks(20000)
	if n := passUntilRefused(c, 0, 2); !within1(n, 20) {
		t.Errorf("%d of an equal part that is full", n)
	}
}
