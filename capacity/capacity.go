// Package capacity bounds from above what any policy could have served of given requests with
// a given supply of work, and says what a unit of work was worth at each time. It does no input
// or output and reads no clock.
//
// The model is a linear programme: requests, split at will, take work from steps of time within
// which they earn something, and units from their account's bucket. It is relaxed against the
// world in every respect, so that no policy can do better: boxes are one supply, requests wait
// and cross rooms at no cost, and an account's units need not be taken at once.
//
// It is not put into a tableau. The work of a step has a price (a Lagrange multiplier); given
// prices, each account is a problem of its own that a greedy choice solves, and any prices that
// are not below 0 give a bound (weak duality). Prices come from the steps that are short at each
// density of worth, and a subgradient method mends them until the bound and a plan that keeps
// all constraints are near enough, or time is up: a bound that is stopped early still holds.
package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Need is one request, or several that are alike. Times are in seconds, work in seconds of one
// core at speed 1.
type Need struct {
	At       float64 // it is asked for
	Aim      float64 // an answer this long after that earns Worth
	Deadline float64 // one up to this long earns Worth * Late
	Work     float64
	Worth    float64 // within its account's quota
	Late     float64 // share
	Beyond   float64 // worth without units from the quota; below 0 counts as 0
	Units    float64
	Account  int // in Problem.Quotas; -1: none binds it
}

// Quota is an account's bucket: units that it starts with and holds at most, and a second.
type Quota struct{ Rate, Burst float64 }

// Supply is the work that can be done in each step from time 0 on.
type Supply struct {
	Step float64   // seconds
	Work []float64 // by step, in seconds of work
	Core []float64 // by step: work that one core can do at most, 0: unbounded
}

// Problem is what a bound is wanted of. It is only read.
type Problem struct {
	Supply Supply
	Needs  []Need
	Quotas []Quota
}

// Options bound the work of a solver. The zero value is a sound choice.
type Options struct {
	Rounds int         // of the subgradient method at most; 0: 100
	Gap    float64     // near enough, as a share of the bound; 0: 0.002
	Stop   func() bool // asked once a round; nil: never
}

// Bound is what Solve found.
type Bound struct {
	Value   float64   // nothing earns more
	Reached float64   // some plan within all constraints of the model earns this
	Prices  []float64 // by step: worth of one second of work more
	Rounds  int
}

// Gap is how far the bound may be off, as a share of it.
func (b *Bound) Gap() float64 {
	if b.Value <= 0 {
		return 0
	}
	return max(0, 1-b.Reached/b.Value)
}

// levels is by how many densities of worth the steps that are short are looked for.
const levels = 48

// solver is the state of a run.
type solver struct {
	p        *Problem
	needs    []item
	accounts [][]int // needs by account that its bucket may bind, in the order of time
	steps    int
	load     []float64 // of the last evaluation, by step
	take     []float64 // of each need, of the last evaluation: the share within quota ...
	extra    []float64 // ... and the share beyond it
	place    []int     // the step that its work is best put in
	profit   []float64
	bonus    []float64 // profit without the quota
}

// item is a need with its windows as steps.
type item struct {
	*Need
	from, aim, end int // steps: from..aim earns in full, from..end late
}

// Solve bounds what can be earned.
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
			b.Reached = max(b.Reached, s.plan(prices))
			if b.Gap() <= gap || o.Stop != nil && o.Stop() {
				b.Rounds++
				break
			}
		}
		// Polyak's step towards what is known to be reached, from the best prices so far.
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
	b.Reached = min(b.Value, max(b.Reached, s.plan(best)))
	b.Prices = best
	return b
}

func newSolver(p *Problem) *solver {
	s := &solver{p: p, steps: len(p.Supply.Work)}
	step := func(at float64) int { return int(math.Floor(at / p.Supply.Step)) }
	for i := range p.Needs {
		n := &p.Needs[i]
		x := item{Need: n, from: step(n.At), aim: min(s.steps-1, step(n.At+n.Aim)), end: min(s.steps-1, step(n.At+max(n.Aim, n.Deadline)))}
		if x.from < 0 || x.from >= s.steps || n.Work < 0 || !(n.Worth > 0 || n.Beyond > 0) {
			continue // nothing can be earned by it
		}
		// One core at a time works on a request.
		if !s.fits(n.Work, x.from, x.aim) {
			x.aim = x.from - 1 // late at best
		}
		if n.Late <= 0 || !s.fits(n.Work, x.from, x.end) {
			x.end = x.from - 1
		}
		if x.aim >= x.from || x.end >= x.from {
			s.needs = append(s.needs, x)
		}
	}
	slices.SortStableFunc(s.needs, func(a, b item) int { return cmp.Compare(a.At, b.At) })
	of := make([][]int, len(p.Quotas))
	for i := range s.needs {
		if a := s.needs[i].Account; a >= 0 && a < len(of) {
			of[a] = append(of[a], i)
		}
	}
	for a, all := range of {
		if len(all) > 0 && s.binds(p.Quotas[a], all) {
			s.accounts = append(s.accounts, all)
		}
	}
	n := len(s.needs)
	s.load, s.take, s.extra, s.place = make([]float64, s.steps), make([]float64, n), make([]float64, n), make([]int, n)
	s.profit, s.bonus = make([]float64, n), make([]float64, n)
	return s
}

// fits tells whether one core could do so much work in some steps.
func (s *solver) fits(work float64, from, to int) bool {
	if len(s.p.Supply.Core) == 0 {
		return from <= to
	}
	for k := from; k <= to; k++ {
		if work -= s.p.Supply.Core[k]; work <= 0 {
			return true
		}
	}
	return false
}

// wait is how long an account's units may be taken after a request was asked for: a policy may
// send it on so much later. By so much more than its burst may pass in a span.
func (s *solver) wait(all []int) (longest float64) {
	for _, i := range all {
		n := s.needs[i].Need
		longest = max(longest, n.Aim)
		if n.Late > 0 {
			longest = max(longest, n.Deadline)
		}
	}
	return longest
}

// binds tells whether an account's bucket ever keeps anything back.
func (s *solver) binds(q Quota, all []int) bool {
	most := q.Burst + q.Rate*s.wait(all)
	level, at := most, 0.0
	for _, i := range all {
		n := s.needs[i].Need
		level = min(most, level+q.Rate*(n.At-at)) - n.Units
		if at = n.At; level < -1e-9 {
			return true
		}
	}
	return false
}

// best returns what a need earns at most for its work at the prices, and the step to put it in.
func (s *solver) best(n *item, worth float64, prices []float64) (profit float64, place int) {
	place = n.from
	try := func(worth float64, to int) {
		if worth <= 0 || to < n.from {
			return
		}
		cheap := n.from
		for k := n.from + 1; k <= to; k++ {
			if prices[k] < prices[cheap] {
				cheap = k
			}
		}
		if x := worth - n.Work*prices[cheap]; x > profit {
			profit, place = x, cheap
		}
	}
	try(worth, n.aim)
	try(worth*n.Late, n.end)
	return profit, place
}

// evaluate returns the bound that prices give, and leaves what is chosen by them.
func (s *solver) evaluate(prices []float64) float64 {
	clear(s.load)
	value := 0.0
	for k, c := range s.p.Supply.Work {
		value += prices[k] * c
	}
	for i := range s.needs {
		n := &s.needs[i]
		var at int
		s.profit[i], s.place[i] = s.best(n, n.Worth, prices)
		if s.bonus[i], at = s.best(n, n.Beyond, prices); s.bonus[i] > s.profit[i] {
			s.profit[i], s.place[i] = s.bonus[i], at
		}
		s.take[i], s.extra[i] = 1, 0
	}
	for _, all := range s.accounts {
		s.ration(s.p.Quotas[s.needs[all[0]].Account], all)
	}
	for i := range s.needs {
		n := &s.needs[i]
		value += s.take[i]*s.profit[i] + s.extra[i]*s.bonus[i]
		if share := s.take[i]*btof(s.profit[i] > 0) + s.extra[i]*btof(s.bonus[i] > 0); share > 0 {
			s.load[s.place[i]] += share * n.Work
		}
	}
	return value
}

// block is how many of an account's needs are rationed together: more are taken for several
// accounts with a full bucket each, which relaxes the bound and keeps its cost linear.
const block = 4096

// ration divides an account's bucket among its needs, by what a unit earns. Buckets are
// polymatroids, so the greedy choice is the best one (J. Edmonds, 1970).
func (s *solver) ration(q Quota, all []int) {
	for len(all) > block {
		s.ration(q, all[:block])
		all = all[block:]
	}
	order := make([]int, 0, len(all))
	for k, i := range all {
		s.take[i], s.extra[i] = 0, 1
		if s.profit[i] > s.bonus[i] {
			order = append(order, k)
		}
	}
	gain := func(k int) float64 {
		i := all[k]
		return (s.profit[i] - s.bonus[i]) / max(1e-12, s.needs[i].Units)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(gain(b), gain(a)) })
	most := q.Burst + q.Rate*s.wait(all)
	b := newBucket(q.Rate, func(k int) float64 { return s.needs[all[k]].At }, len(all))
	for _, k := range order {
		n := &s.needs[all[k]]
		if room := b.left(k, most); room > 0 {
			taken, share := min(n.Units, room), 1.0
			if n.Units > 0 {
				share = taken / n.Units
				b.take(k, taken)
			}
			s.take[all[k]], s.extra[all[k]] = share, 1-share
		}
	}
}

// startPrices looks, at each density of worth, for the steps that those needs alone fill: a
// step's price is the highest density at which it is short.
func (s *solver) startPrices() []float64 {
	prices := make([]float64, s.steps)
	s.evaluate(prices) // without prices: what quotas leave
	var order []int
	for i := range s.needs {
		if n := &s.needs[i]; n.Work > 0 && n.aim >= n.from && s.take[i] > 0 {
			order = append(order, i)
		}
	}
	if len(order) == 0 {
		return prices
	}
	density := func(i int) float64 { return s.needs[i].Worth / s.needs[i].Work }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
	e := newFlow(s)
	for level := 1; level <= levels; level++ {
		from, to := len(order)*(level-1)/levels, len(order)*level/levels
		if from == to {
			continue
		}
		e.add(order[from:to])
		for k, short := range e.short() {
			if short && prices[k] == 0 {
				prices[k] = density(order[(from+to)/2])
			}
		}
	}
	return prices
}

// plan earns what can be earned of what the last evaluation chose, within all constraints.
func (s *solver) plan(prices []float64) float64 {
	s.evaluate(prices)
	order := make([]int, 0, len(s.needs))
	for i := range s.needs {
		if s.take[i]+s.extra[i] > 0 && (s.profit[i] > 0 || s.bonus[i] > 0 || s.needs[i].Worth > 0) {
			order = append(order, i)
		}
	}
	density := func(i int) float64 { return s.needs[i].Worth / max(1e-12, s.needs[i].Work) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
	return newFlow(s).earn(order)
}

func btof(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
