package parts

import (
	"cmp"
	"math"
	"slices"
)

const (
	// Earlier demand is multiplied by this each round; with one round per second the memory lasts
	// some 10 s. Shorter and longer memories served less, and so did rounds of 5 s.
	demandDecay = 0.9
	// A deal that moves less of the ceiling is not worth its entry in the log.
	minMovedShare    = 0.1
	maxDealsPerRound = 250 // a round
	// Shares of an account without demand for this many rounds become equal again, which frees its
	// place in the ledger. A new steward has seen no demand yet, so it must wait as well.
	idleRounds = 60
	// Shares stay equal if an equal share holds the account's largest request this many times.
	ampleRequests = 2
	// A share holds the account's largest request times this factor.
	requestHeadroom = 1.05
)

// Report is one limiter's report on an account with a ceiling.
type Report struct {
	Account       uint64
	First, Spread int
	Asked         float64 // units requested since the limiter's process started
	Largest       float64 // units of its largest request
	Burst         float64 // of the ceiling
}

// Steward decides on deals while it owns the duty. It is not safe for concurrent use.
type Steward struct {
	limiters   int
	accounts   map[uint64]*demand
	lastReport map[int]lastReport
	round      int
	asked      map[uint64]int // the round in which an account last had demand
}

// lastReport is the newest report of one process.
type lastReport struct {
	start uint64
	asked map[uint64]float64
}

// demand is what is known of an account's requests.
type demand struct {
	Report
	byIndex []float64 // recent units, by index
}

// NewSteward returns the steward of a fleet with this many limiters.
func NewSteward(limiters int) *Steward {
	return &Steward{limiters: limiters, accounts: map[uint64]*demand{}, lastReport: map[int]lastReport{}, asked: map[uint64]int{}}
}

// Observe processes the reports of the limiter at a position. start identifies its process: the first
// report of a new process sets the baseline, as its demand before is unknown.
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

// Next ends a round. It returns the deals that move enough, largest moves first.
func (s *Steward) Next(b *Ledger) []Deal {
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
			continue // too little demand to judge
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
		deals = append(deals, b.EqualizingDeals(idle)...)
		for id := range s.asked {
			if idle(id) {
				delete(s.asked, id)
			}
		}
	}
	return deals
}

// divide divides an account's ceiling. In the order of their demand, limiters first get enough for
// the account's largest request: a smaller share would admit nothing and be lost to the others.
// The rest is divided in proportion to demand.
func (d *demand) divide(total float64) Shares {
	if ampleRequests*d.Largest <= d.Burst/float64(d.Spread) {
		return slices.Repeat(Shares{Equal}, d.Spread) // moving shares costs what is in transit, and would gain nothing
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
