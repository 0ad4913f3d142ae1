// Package capacity computes an upper bound on the worth that any policy could have served of given
// requests with a given supply of work, and the price of a unit of work at each time. It also
// forecasts demand and plans fleet sizes. It does no I/O and reads no clock.
//
// The model is a linear program: requests, which may be split, take work from the time steps in
// which they earn something, and units from their account's bucket. It is a relaxation in every
// respect, so that no policy can do better: all boxes are one supply, requests wait and move
// between rooms at no cost, and an account's units need not be taken at once.
//
// The solver uses Lagrangian relaxation. The work of each step has a price (a multiplier). Given
// the prices, each account is a separate problem that a greedy choice solves, and any
// non-negative prices give a valid bound (weak duality). The initial prices come from the steps
// that are short of supply at each density of worth (worth per unit of work). A subgradient method
// improves them until the bound is close enough to the worth of a feasible plan, or until it is
// stopped; a bound of a stopped run is still valid.
package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Need is one request, or several equal ones. Times are in seconds, work in seconds of one core
// at speed 1.
type Need struct {
	At               float64 // time of arrival
	Aim              float64 // an answer within this time of At earns Worth
	Deadline         float64 // a later answer within this time earns Worth * Late
	Work             float64
	Worth            float64 // within its account's quota
	Late             float64 // share of the worth that a late answer earns
	WorthBeyondQuota float64 // worth of an answer without units from the quota; negative counts as 0
	Units            float64 // taken from the account's quota
	Account          int     // index into Problem.Quotas; -1: no quota applies
}

// Quota is an account's token bucket: Rate units per second, up to Burst, which it starts with.
type Quota struct{ Rate, Burst float64 }

// Supply is the work that the boxes can do in each time step from time 0 on.
type Supply struct {
	Step float64   // seconds
	Work []float64 // per step, in seconds of work
	Core []float64 // per step: the most work that one core can do; empty: unlimited
}

// Problem is the input of Solve, which does not change it.
type Problem struct {
	Supply Supply
	Needs  []Need
	Quotas []Quota
}

// Options limits the effort of Solve. The zero value uses the defaults.
type Options struct {
	Rounds int         // maximum rounds of the subgradient method; 0: 100
	Gap    float64     // relative gap at which to stop; 0: 0.002
	Stop   func() bool // called every tenth round to stop early; nil: never stop
}

// Bound is the result of Solve: an upper bound and the worth of a feasible plan.
type Bound struct {
	Value   float64   // upper bound: no policy earns more
	Reached float64   // lower bound: a plan that keeps all constraints of the model earns this
	Prices  []float64 // per step: worth of one more second of work
	Rounds  int       // rounds of the subgradient method that were run
}

// Gap returns the relative distance between the upper bound and the plan that was found.
func (b *Bound) Gap() float64 {
	if b.Value <= 0 {
		return 0
	}
	return max(0, 1-b.Reached/b.Value)
}

// densityLevels is the number of density levels at which startPrices looks for short steps.
const densityLevels = 48

// solver is the state of one Solve call.
type solver struct {
	problem      *Problem
	needs        []timedNeed // in the order of time
	accounts     [][]int     // for each account whose quota may bind: its needs in the order of time
	steps        int
	load         []float64 // work chosen by the last evaluation, per step
	take         []float64 // per need, chosen by the last evaluation: the share within the quota ...
	beyondShare  []float64 // ... and the share beyond the quota
	bestStep     []int     // per need: the step that earns most
	profit       []float64 // per need: best worth minus the price of its work
	beyondProfit []float64 // per need: worth beyond the quota minus the price of its work
}

// timedNeed is a need with its time limits as steps.
type timedNeed struct {
	*Need
	from, aimStep, deadlineStep int // steps from..aimStep earn full worth, from..deadlineStep that of a late answer
}

// Solve computes a bound on the worth that can be earned from p.
func Solve(p *Problem, o Options) *Bound {
	s := newSolver(p)
	rounds, gap := cmp.Or(o.Rounds, 100), cmp.Or(o.Gap, 0.002)
	b := &Bound{Value: math.Inf(1), Prices: make([]float64, s.steps)}
	if len(s.needs) == 0 {
		b.Value = 0
		return b
	}
	prices := s.startPrices()
	best := slices.Clone(prices)
	scale := 0.0
	for b.Rounds = 0; b.Rounds < rounds; b.Rounds++ {
		value := s.evaluate(prices)
		if value < b.Value {
			b.Value = value
			copy(best, prices)
		}
		if b.Rounds%10 == 0 {
			b.Reached = max(b.Reached, s.feasibleWorth(prices))
			if b.Gap() <= gap || o.Stop != nil && o.Stop() {
				b.Rounds++
				break
			}
		}
		// Polyak step size, which aims at the worth of the best plan so far.
		norm := 0.0
		for k, w := range s.load {
			g := p.Supply.Work[k] - w
			if prices[k] <= 0 && g > 0 {
				continue
			}
			norm += g * g
		}
		if norm == 0 {
			b.Rounds++
			break
		}
		scale = 1 / (1 + float64(b.Rounds)/20)
		step := scale * max(value-b.Reached, 1e-4*value) / norm
		for k, w := range s.load {
			prices[k] = max(0, prices[k]-step*(p.Supply.Work[k]-w))
		}
	}
	s.evaluate(best)
	b.Reached = min(b.Value, max(b.Reached, s.feasibleWorth(best)))
	b.Prices = best
	return b
}

// newSolver drops the needs that can earn nothing and finds the accounts whose quotas may bind.
func newSolver(problem *Problem) *solver {
	s := &solver{problem: problem, steps: len(problem.Supply.Work)}
	step := func(at float64) int { return int(math.Floor(at / problem.Supply.Step)) }
	for i := range problem.Needs {
		n := &problem.Needs[i]
		x := timedNeed{Need: n, from: step(n.At), aimStep: min(s.steps-1, step(n.At+n.Aim)), deadlineStep: min(s.steps-1, step(n.At+max(n.Aim, n.Deadline)))}
		if x.from < 0 || x.from >= s.steps || n.Work < 0 || !(n.Worth > 0 || n.WorthBeyondQuota > 0) {
			continue // it can't earn anything
		}
		// Only one core at a time works on a request.
		if !s.fits(n.Work, x.from, x.aimStep) {
			x.aimStep = x.from - 1 // it can only be late
		}
		if n.Late <= 0 || !s.fits(n.Work, x.from, x.deadlineStep) {
			x.deadlineStep = x.from - 1
		}
		if x.aimStep >= x.from || x.deadlineStep >= x.from {
			s.needs = append(s.needs, x)
		}
	}
	slices.SortStableFunc(s.needs, func(a, b timedNeed) int { return cmp.Compare(a.At, b.At) })
	byAccount := make([][]int, len(problem.Quotas))
	for i := range s.needs {
		if a := s.needs[i].Account; a >= 0 && a < len(byAccount) {
			byAccount[a] = append(byAccount[a], i)
		}
	}
	for a, all := range byAccount {
		if len(all) > 0 && s.quotaBinds(problem.Quotas[a], all) {
			s.accounts = append(s.accounts, all)
		}
	}
	n := len(s.needs)
	s.load, s.take, s.beyondShare, s.bestStep = make([]float64, s.steps), make([]float64, n), make([]float64, n), make([]int, n)
	s.profit, s.beyondProfit = make([]float64, n), make([]float64, n)
	return s
}

// fits reports whether one core can do the work in the given steps.
func (s *solver) fits(work float64, from, to int) bool {
	if len(s.problem.Supply.Core) == 0 {
		return from <= to
	}
	for k := from; k <= to; k++ {
		if work -= s.problem.Supply.Core[k]; work <= 0 {
			return true
		}
	}
	return false
}

// longestWait returns the longest time for which a policy may delay a request of an account. Its
// units may be taken that much later, so a span may take the refill of this time above the burst.
func (s *solver) longestWait(all []int) (longest float64) {
	for _, i := range all {
		n := s.needs[i].Need
		longest = max(longest, n.Aim)
		if n.Late > 0 {
			longest = max(longest, n.Deadline)
		}
	}
	return longest
}

// quotaBinds reports whether an account's bucket would ever limit its requests.
func (s *solver) quotaBinds(q Quota, all []int) bool {
	burst := q.Burst + q.Rate*s.longestWait(all)
	level, at := burst, 0.0
	for _, i := range all {
		n := s.needs[i].Need
		level = min(burst, level+q.Rate*(n.At-at)) - n.Units
		if at = n.At; level < -1e-9 {
			return true
		}
	}
	return false
}

// bestProfit returns the most that a need earns beyond the price of its work, and the step for it.
func (s *solver) bestProfit(n *timedNeed, worth float64, prices []float64) (profit float64, step int) {
	step = n.from
	try := func(worth float64, to int) {
		if worth <= 0 || to < n.from {
			return
		}
		cheapest := n.from
		for k := n.from + 1; k <= to; k++ {
			if prices[k] < prices[cheapest] {
				cheapest = k
			}
		}
		if x := worth - n.Work*prices[cheapest]; x > profit {
			profit, step = x, cheapest
		}
	}
	try(worth, n.aimStep)
	try(worth*n.Late, n.deadlineStep)
	return profit, step
}

// evaluate returns the bound at the given prices and stores the choices that attain it.
func (s *solver) evaluate(prices []float64) float64 {
	clear(s.load)
	value := 0.0
	for k, c := range s.problem.Supply.Work {
		value += prices[k] * c
	}
	for i := range s.needs {
		n := &s.needs[i]
		var at int
		s.profit[i], s.bestStep[i] = s.bestProfit(n, n.Worth, prices)
		if s.beyondProfit[i], at = s.bestProfit(n, n.WorthBeyondQuota, prices); s.beyondProfit[i] > s.profit[i] {
			s.profit[i], s.bestStep[i] = s.beyondProfit[i], at
		}
		s.take[i], s.beyondShare[i] = 1, 0
	}
	for _, all := range s.accounts {
		s.ration(s.problem.Quotas[s.needs[all[0]].Account], all)
	}
	for i := range s.needs {
		n := &s.needs[i]
		value += s.take[i]*s.profit[i] + s.beyondShare[i]*s.beyondProfit[i]
		if share := s.take[i]*boolToFloat(s.profit[i] > 0) + s.beyondShare[i]*boolToFloat(s.beyondProfit[i] > 0); share > 0 {
			s.load[s.bestStep[i]] += share * n.Work
		}
	}
	return value
}

// rationBlock is the number of an account's needs that are rationed together. More needs are
// treated as several accounts with a full bucket each. That relaxes the bound and keeps the cost
// linear.
const rationBlock = 4096

// ration divides an account's bucket among its needs in the order of their gain per unit. The
// bucket's constraints form a polymatroid, so the greedy choice is optimal (J. Edmonds, 1970).
func (s *solver) ration(q Quota, all []int) {
	for len(all) > rationBlock {
		s.ration(q, all[:rationBlock])
		all = all[rationBlock:]
	}
	order := make([]int, 0, len(all))
	for k, i := range all {
		s.take[i], s.beyondShare[i] = 0, 1
		if s.profit[i] > s.beyondProfit[i] {
			order = append(order, k)
		}
	}
	gain := func(k int) float64 {
		i := all[k]
		return (s.profit[i] - s.beyondProfit[i]) / max(1e-12, s.needs[i].Units)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(gain(b), gain(a)) })
	burst := q.Burst + q.Rate*s.longestWait(all)
	b := newBucket(q.Rate, func(k int) float64 { return s.needs[all[k]].At }, len(all))
	for _, k := range order {
		n := &s.needs[all[k]]
		if room := b.available(k, burst); room > 0 {
			taken, share := min(n.Units, room), 1.0
			if n.Units > 0 {
				share = taken / n.Units
				b.take(k, taken)
			}
			s.take[all[k]], s.beyondShare[all[k]] = share, 1-share
		}
	}
}

// startPrices adds needs in descending density of worth and sets the price of each step to the
// first density at which the step is short of supply.
func (s *solver) startPrices() []float64 {
	prices := make([]float64, s.steps)
	s.evaluate(prices) // at price 0 only the quotas limit the needs
	var order []int
	for i := range s.needs {
		if n := &s.needs[i]; n.Work > 0 && n.aimStep >= n.from && s.take[i] > 0 {
			order = append(order, i)
		}
	}
	if len(order) == 0 {
		return prices
	}
	density := func(i int) float64 { return s.needs[i].Worth / s.needs[i].Work }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
	assignment := newFlow(s)
	for level := 1; level <= densityLevels; level++ {
		from, to := len(order)*(level-1)/densityLevels, len(order)*level/densityLevels
		if from == to {
			continue
		}
		assignment.add(order[from:to])
		for k, short := range assignment.short() {
			if short && prices[k] == 0 {
				prices[k] = density(order[(from+to)/2])
			}
		}
	}
	return prices
}

// feasibleWorth returns the worth of a plan within all constraints, built greedily from the needs
// that evaluate chooses at the prices.
func (s *solver) feasibleWorth(prices []float64) float64 {
	s.evaluate(prices)
	order := make([]int, 0, len(s.needs))
	for i := range s.needs {
		if s.take[i]+s.beyondShare[i] > 0 && (s.profit[i] > 0 || s.beyondProfit[i] > 0 || s.needs[i].Worth > 0) {
			order = append(order, i)
		}
	}
	density := func(i int) float64 { return s.needs[i].Worth / max(1e-12, s.needs[i].Work) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
	return newFlow(s).earn(order)
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
