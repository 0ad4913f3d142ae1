package parts

import (
	"cmp"
	"math"
	"slices"
)

const (
	// Each round what was asked for before counts this much: at a round a second some 10 s
	// are remembered. Shorter and longer memories served less, and so did rounds of 5 s.
	demandDecay = 0.9
	// A deal is not worth its place in the log if less of the ceiling moves.
	minMovedShare    = 0.1
	maxDealsPerRound = 250 // a round
	// Parts of an account that was asked for nothing in so many rounds go back to equal ones, so
	// that the book has room for others. A steward that has just begun has heard of none.
	idleRounds = 60
	// Where an equal part holds the account's largest request so often, parts stay equal.
	ampleRequests = 2
	// A part holds the account's largest request with this to spare.
	requestHeadroom = 1.05
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
	limiters   int
	accounts   map[uint64]*demand
	lastReport map[int]lastReport
	round      int
	asked      map[uint64]int // the round in which an account was last asked for
}

type lastReport struct {
	start uint64
	asked map[uint64]float64
}

type demand struct {
	Report
	byIndex []float64 // units of late, by place
}

// NewSteward returns one of a fleet of so many limiters.
func NewSteward(limiters int) *Steward {
	return &Steward{limiters: limiters, accounts: map[uint64]*demand{}, lastReport: map[int]lastReport{}, asked: map[uint64]int{}}
}

// Observe takes in what the limiter at a position tells. start is the number of its process:
// what one that began meanwhile asked for before is not known.
func (s *Steward) Observe(position int, start uint64, reports []Report) {
	previous, current := s.lastReport[position], lastReport{start, map[uint64]float64{}}
	for _, r := range reports {
		if r.Spread < 2 || r.Spread > s.limiters || r.First < 0 || r.First >= s.limiters || !(r.Burst > 0) || !(r.Asked >= 0) {
			continue
		}
		current.asked[r.Account] = r.Asked
		d := s.accounts[r.Account]
		if d == nil || d.First != r.First || d.Spread != r.Spread {
			d = &demand{byIndex: make([]float64, r.Spread)}
			s.accounts[r.Account] = d
		}
		largest := max(d.Largest, r.Largest)
		d.Report = r
		d.Largest = largest
		index := ((position-r.First)%s.limiters + s.limiters) % s.limiters
		if index < r.Spread && previous.start == start {
			added := max(0, r.Asked-previous.asked[r.Account])
			d.byIndex[index] += added
			if added > 0 {
				s.asked[r.Account] = s.round
			}
		}
	}
	s.lastReport[position] = current
}

// Next ends a round and returns the deals that are worth it, those that move most first.
func (s *Steward) Next(b *Book) []Deal {
	type candidate struct {
		Deal
		moved float64
	}
	var candidates []candidate
	s.round++
	for id, d := range s.accounts {
		sum := 0.0
		for index := range d.byIndex {
			sum += d.byIndex[index]
		}
		if sum < d.Largest {
			if sum < 1e-3 {
				delete(s.accounts, id)
			}
			continue // so little that it says nothing
		}
		target := d.divide(sum)
		moved := 0.0
		allocation := b.Accounts[id]
		for index, share := range target {
			current := uint32(Equal)
			if allocation != nil && allocation.Spread == d.Spread {
				current = allocation.Now[index]
				if allocation.Next != nil {
					current = allocation.Next[index]
				}
			}
			moved += max(0, float64(share)-float64(current))
		}
		if moved > minMovedShare*Equal*float64(d.Spread) {
			candidates = append(candidates, candidate{Deal{id, d.First, d.Spread, target}, moved})
		}
	}
	for _, d := range s.accounts {
		for index := range d.byIndex {
			d.byIndex[index] *= demandDecay
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.moved, a.moved), cmp.Compare(a.Account, b.Account))
	})
	var deals []Deal
	for _, c := range candidates[:min(len(candidates), maxDealsPerRound)] {
		deals = append(deals, c.Deal)
	}
	if s.round%idleRounds == 0 && len(deals) < maxDealsPerRound {
		idle := func(id uint64) bool { return s.round-s.asked[id] > idleRounds }
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
func (d *demand) divide(total float64) Shares {
	if ampleRequests*d.Largest <= d.Burst/float64(d.Spread) {
		return slices.Repeat(Shares{Equal}, d.Spread) // to move costs what is under way, and gains nothing
	}
	target := slices.Repeat(Shares{Floor}, d.Spread)
	free := float64((Equal - Floor) * d.Spread)
	extra := math.Ceil(requestHeadroom*d.Largest/d.Burst*float64(Equal*d.Spread)) - Floor
	order := make([]int, d.Spread)
	for k := range order {
		order[k] = k
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(d.byIndex[b], d.byIndex[a]) })
	for _, k := range order {
		if d.byIndex[k] <= 0 || extra <= 0 || free < extra {
			break
		}
		target[k] += uint32(extra)
		free -= extra
	}
	for k, x := range d.byIndex {
		target[k] += uint32(free * x / total)
	}
	return target
}
