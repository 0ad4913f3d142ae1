package reserve

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Of two lines that may stand the higher one counts from then on.
func TestLinesThatMayStand(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		random := func(at float64) Line {
			return Line{Level: r.Float64()*40 - 20, At: at, Rate: float64(r.IntN(3)), Most: r.Float64() * 20}
		}
		stand := []Line{random(0)}
		a := Begin(stand[0])
		kept, now := uint64(0), 0.0
		for seq := uint64(1); seq < 12; seq++ {
			now += r.Float64() * 3000
			l := random(now)
			a.Write(now, l, seq, kept)
			if stand = append(stand, l); r.IntN(2) == 0 {
				kept, stand = seq, []Line{l}
			}
			for range 3 {
				now += r.Float64() * 2000
				most := math.Inf(-1)
				for _, l := range stand {
					most = max(most, l.On(now))
				}
				if got := a.Floor(now, kept); got < most-1e-9 || len(stand) == 1 && got != most {
					t.Fatalf("floor %v, may stand %v", got, most)
				}
			}
		}
	}
}

// The headroom is half of a store at least, what the rate gives within the span, and no more
// than the store.
func TestHeadroom(t *testing.T) {
	for _, c := range []struct{ rate, most, within, want float64 }{{8, 16, 500, 8}, {8, 16, 1500, 12}, {8, 16, 60_000, 16}, {0, 16, 500, 8}, {8, 0, 500, 0}} {
		if got := Headroom(c.rate, c.most, c.within); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
