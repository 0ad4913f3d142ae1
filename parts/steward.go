package parts

import (
	"cmp"
	"math"
	"slices"
)

const (
	// Each round what was asked for before counts this much: at a round a second some 10 s
	// are remembered. Shorter and longer memories served less, and so did rounds of 5 s.
	remembered = 0.9
	// A deal is not worth its place in the log if less of the ceiling moves.
	leastMoved = 0.1
	mostDeals  = 250 // a round
	// Parts of an account that was asked for nothing in so many rounds go back to equal ones, so
	// that the book has room for others. A steward that has just begun has heard of none.
	idleRounds = 60
	// Where an equal part holds the account's largest request so often, parts stay equal.
	enough = 2
	// A part holds the account's largest request with this to spare.
	spare = 1.05
)

// Report is what one limiter tells of one account with a ceiling.
type Report struct {
	Account       uint64
	First, Spread int
	Asked         float64 // units, since the limiter's process began
	Largest       float64 // units of its largest request
	Burst         float64 // of the ceiling
}

// Steward decides on deals while it owns the duty. It is not safe for concurrent use.
type Steward struct {
	limiters int
	accounts map[uint64]*demand
	heard    map[int]heard
	rounds   int
	asked    map[uint64]int // the round in which an account was last asked for
}

type heard struct {
	start uint64
	asked map[uint64]float64
}

type demand struct {
	Report
	by []float64 // units of late, by place
}

// NewSteward returns one of a fleet of so many limiters.
func NewSteward(limiters int) *Steward {
	return &Steward{limiters: limiters, accounts: map[uint64]*demand{}, heard: map[int]heard{}, asked: map[uint64]int{}}
}

// Observe takes in what the limiter at a position tells. start is the number of its process:
// what one that began meanwhile asked for before is not known.
func (s *Steward) Observe(position int, start uint64, all []Report) {
	was, now := s.heard[position], heard{start, map[uint64]float64{}}
	for _, r := range all {
		if r.Spread < 2 || r.Spread > s.limiters || r.First < 0 || r.First >= s.limiters || !(r.Burst > 0) || !(r.Asked >= 0) {
			continue
		}
		now.asked[r.Account] = r.Asked
		d := s.accounts[r.Account]
		if d == nil || d.First != r.First || d.Spread != r.Spread {
			d = &demand{by: make([]float64, r.Spread)}
			s.accounts[r.Account] = d
		}
		largest := max(d.Largest, r.Largest)
		d.Report = r
		d.Largest = largest
		k := ((position-r.First)%s.limiters + s.limiters) % s.limiters
		if k < r.Spread && was.start == start {
			more := max(0, r.Asked-was.asked[r.Account])
			d.by[k] += more
			if more > 0 {
				s.asked[r.Account] = s.rounds
			}
		}
	}
	s.heard[position] = now
}

// Next ends a round and returns the deals that are worth it, those that move most first.
func (s *Steward) Next(b *Book) []Deal {
	type worth struct {
		Deal
		moved float64
	}
	var all []worth
	s.rounds++
	for id, d := range s.accounts {
		sum := 0.0
		for k := range d.by {
			sum += d.by[k]
		}
		if sum < d.Largest {
			if sum < 1e-3 {
				delete(s.accounts, id)
			}
			continue // so little that it says nothing
		}
		to := d.share(sum)
		moved := 0.0
		h := b.Accounts[id]
		for k, x := range to {
			was := uint32(Equal)
			if h != nil && h.Spread == d.Spread {
				was = h.Now[k]
				if h.Next != nil {
					was = h.Next[k]
				}
			}
			moved += max(0, float64(x)-float64(was))
		}
		if moved > leastMoved*Equal*float64(d.Spread) {
			all = append(all, worth{Deal{id, d.First, d.Spread, to}, moved})
		}
	}
	for _, d := range s.accounts {
		for k := range d.by {
			d.by[k] *= remembered
		}
	}
	slices.SortFunc(all, func(a, b worth) int {
		return cmp.Or(cmp.Compare(b.moved, a.moved), cmp.Compare(a.Account, b.Account))
	})
	var deals []Deal
	for _, w := range all[:min(len(all), mostDeals)] {
		deals = append(deals, w.Deal)
	}
	if s.rounds%idleRounds == 0 && len(deals) < mostDeals {
		idle := func(id uint64) bool { return s.rounds-s.asked[id] > idleRounds }
		deals = append(deals, b.Back(idle)...)
		for id := range s.asked {
			if idle(id) {
				delete(s.asked, id)
			}
		}
	}
	return deals
}

// share divides an account's ceiling. In the order of what arrives at them, limiters get what
// their largest request takes at once: with less a part passes nothing, and is lost to the
// others. What is left goes by what arrives.
func (d *demand) share(sum float64) Shares {
	if enough*d.Largest <= d.Burst/float64(d.Spread) {
		return slices.Repeat(Shares{Equal}, d.Spread) // to move costs what is under way, and gains nothing
	}
	to := slices.Repeat(Shares{Floor}, d.Spread)
	left := float64((Equal - Floor) * d.Spread)
	need := math.Ceil(spare*d.Largest/d.Burst*float64(Equal*d.Spread)) - Floor
	order := make([]int, d.Spread)
	for k := range order {
		order[k] = k
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(d.by[b], d.by[a]) })
	for _, k := range order {
		if d.by[k] <= 0 || need <= 0 || left < need {
			break
		}
		to[k] += uint32(need)
		left -= need
	}
	for k, x := range d.by {
		to[k] += uint32(left * x / sum)
	}
	return to
}
