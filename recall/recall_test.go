package recall

import (
	"reflect"
	"testing"
	"time"

	"example.org/madderdrum/limiter"
)

func memory() *limiter.Memory {
	return &limiter.Memory{
		Usual: []limiter.UsualMemory{{Ms: 700, Votes: 200}, {Ms: 900, Votes: 3}},
		Pools: []limiter.PoolMemory{{ID: 7, Work: []limiter.WorkMemory{{Ms: 40, Seen: 9000}, {Ms: 80, Seen: 2}}, Fit: [5]float64{9000, 3, 1.5, 10, 5}, Worth: 2, Weight: 9000}},
		Boxes: []limiter.BoxMemory{{ID: 1, ReadyAt: 50, Spent: 12, Had: 6, Down: true, Ills: []limiter.IllMemory{{LeftMs: 3000}, {Failures: 0}}}},
	}
}

var names = ClassNames{"check", "bulk"}

// The refusal rate decays within seconds, and the warm-up of a box goes on during the downtime.
func TestShortLived(t *testing.T) {
	m := memory()
	m.Pools[0].Pressure, m.Boxes[0].BackMs = 0.4, 3000
	got := Decay(m, SnapshotInfo{Age: 5 * time.Second}, names, names)
	if p, b := got.Pools[0].Pressure, got.Boxes[0].BackMs; p != 0.2 || b != 8000 {
		t.Errorf("pressure %v, in service again for %v ms", p, b)
	}
	if b := Decay(memory(), SnapshotInfo{Age: time.Second}, names, names).Boxes[0].BackMs; b != 0 {
		t.Errorf("a box that was never down is in service again for %v ms", b)
	}
}

// Evidence decays with age, each kind by its own half-life.
func TestAged(t *testing.T) {
	for _, c := range []struct {
		age                           time.Duration
		down                          bool
		had, left, failures, seen, us float64
	}{
		{-time.Hour, true, 6, 3000, 1, 200, 200}, // a clock that was set back
		{0, true, 6, 3000, 1, 200, 200},
		{2 * time.Second, true, 5.729, 1000, 1, 199.995, 199.995},
		{30 * time.Second, true, 3, 0, 1, 199.952, 199.952},
		{time.Minute, false, 1.5, 0, 1, 199.904, 199.904},
		{10*time.Minute - 1, false, 0, 0, 1, 199.04, 199.04},
		{10 * time.Minute, false, 0, 0, 0, 199.04, 199.04},
		{24 * time.Hour, false, 0, 0, 0, 100, 100},
		{7 * 24 * time.Hour, false, 0, 0, 0, 1.5625, 1.5625},
		{30 * 24 * time.Hour, false, 0, 0, 0, 0, 0},
	} {
		m := memory()
		got := Decay(m, SnapshotInfo{Age: c.age}, names, names)
		b, near := got.Boxes[0], func(x, y float64) bool { return x > y-0.01 && x < y+0.01 }
		if b.Down != c.down || !near(b.Had, c.had) || !near(b.Spent, 2*c.had) || !near(b.Ills[0].LeftMs, c.left) || b.Ills[0].Failures != c.failures ||
			!near(got.Pools[0].Work[0].Seen, c.seen) || !near(got.Pools[0].Fit[0], c.seen) || !near(got.Usual[0].Votes, c.us) {
			t.Errorf("after %v: %+v", c.age, got)
		}
		if b.Ills[1] != (limiter.IllMemory{}) {
			t.Errorf("after %v, a class that never failed: %+v", c.age, b.Ills[1])
		}
		if !reflect.DeepEqual(m, memory()) {
			t.Fatal("the saved memory was modified")
		}
	}
}

// Added, removed and reordered classes keep their own values and get no others.
func TestOtherClasses(t *testing.T) {
	got := Decay(memory(), SnapshotInfo{}, names, ClassNames{"new", "bulk", "check"})
	w := got.Pools[0].Work
	if w[0] != (limiter.WorkMemory{}) || w[1].Ms != 80 || w[2].Ms != 40 || got.Usual[2].Ms != 700 || got.Usual[0].Votes != 0 || got.Boxes[0].Ills[2].LeftMs != 3000 || got.Boxes[0].Ills[1].LeftMs != 0 {
		t.Errorf("%+v", got)
	}
	short := memory() // has fewer classes than its class names
	short.Usual, short.Pools[0].Work, short.Boxes[0].Ills = nil, nil, nil
	if got := Decay(short, SnapshotInfo{}, names, names); len(got.Usual) != 2 || len(got.Pools[0].Work) != 2 || len(got.Boxes[0].Ills) != 2 {
		t.Errorf("%+v", got)
	}
}

// The quota state is used after a clean end, or, for a killed limiter, if it kept to a saved
// headroom.
func TestHandover(t *testing.T) {
	m := memory()
	m.Handover = &limiter.Handover{Position: 2, DownMs: 7}
	for _, c := range []struct {
		found SnapshotInfo
		want  bool
		head  float64
	}{
		{SnapshotInfo{Clean: true, Down: time.Second}, true, 0}, {SnapshotInfo{Clean: true}, true, 0}, {SnapshotInfo{Down: time.Second}, false, 0}, {SnapshotInfo{Clean: true, Down: -1}, false, 0},
		{SnapshotInfo{Intact: true}, false, 0}, {SnapshotInfo{Intact: true, Down: time.Minute}, true, 500}, {SnapshotInfo{}, false, 500}, {SnapshotInfo{Intact: true, Down: -1}, false, 500},
	} {
		m.Handover.HeadMs = c.head
		got := Decay(m, c.found, names, names).Handover
		if (got != nil) != c.want || got != nil && (got.DownMs != float64(c.found.Down.Milliseconds()) || got.Position != 2) || m.Handover.DownMs != 7 {
			t.Errorf("%+v: %+v", c.found, got)
		}
	}
}

// If more than half of the boxes are impaired in a memory, no box is treated as impaired.
func TestTellsApart(t *testing.T) {
	impaired := func(k int) limiter.BoxMemory {
		b := limiter.BoxMemory{ID: uint64(k), Spent: 20, Had: 20, Ills: make([]limiter.IllMemory, 2)}
		switch k % 3 {
		case 0:
			b.Down = true
		case 1:
			b.Spent = 90
		case 2:
			b.Ills[1] = limiter.IllMemory{Failures: 2, LeftMs: 3000}
		}
		return b
	}
	for n := range 13 {
		m := &limiter.Memory{}
		for k := range 12 {
			b := limiter.BoxMemory{ID: uint64(k), Spent: 20, Had: 20, Ills: make([]limiter.IllMemory, 2)}
			if k < n {
				b = impaired(k)
			}
			m.Boxes = append(m.Boxes, b)
		}
		detected := 0
		for _, b := range Decay(m, SnapshotInfo{}, names, names).Boxes {
			if b.Down || b.Spent > 1.5*b.Had || b.Ills[1].LeftMs > 0 {
				detected++
			}
		}
		if want := n * btoi(n <= 6); detected != want {
			t.Errorf("%d of 12 boxes are impaired, %d are detected, want %d", n, detected, want)
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
