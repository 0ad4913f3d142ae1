package reserve

import (
	"math"
	"math/rand/v2"
	"testing"
)

// While the file may state any of several lines, the floor is at least the highest of them.
func TestLinesThatMayStand(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		random := func(at float64) RisingLevel {
			return RisingLevel{Level: r.Float64()*40 - 20, SinceMs: at, RatePerS: float64(r.IntN(3)), Max: r.Float64() * 20}
		}
		possible := []RisingLevel{random(0)}
		a := NewAccount(possible[0])
		kept, now := uint64(0), 0.0
		for seq := uint64(1); seq < 12; seq++ {
			now += r.Float64() * 3000
			l := random(now)
			a.BeginWrite(now, l, seq, kept)
			if possible = append(possible, l); r.IntN(2) == 0 {
				kept, possible = seq, []RisingLevel{l}
			}
			for range 3 {
				now += r.Float64() * 2000
				highest := math.Inf(-1)
				for _, l := range possible {
					highest = max(highest, l.LevelAt(now))
				}
				if got := a.Floor(now, kept); got < highest-1e-9 || len(possible) == 1 && got != highest {
					t.Fatalf("floor %v, the highest possible line is at %v", got, highest)
				}
			}
		}
	}
}

// The headroom is the refill within the interval, but at least half of the bucket and at most the
// whole bucket.
func TestHeadroom(t *testing.T) {
	for _, c := range []struct{ rate, most, within, want float64 }{{8, 16, 500, 8}, {8, 16, 1500, 12}, {8, 16, 60_000, 16}, {0, 16, 500, 8}, {8, 0, 500, 0}} {
		if got := Headroom(c.rate, c.most, c.within); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
