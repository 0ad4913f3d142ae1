package capacity

import (
	"cmp"
	"slices"
)

// flow assigns needs to steps by earliest deadline first, which serves all if that is possible.
type flow struct {
	s         *solver
	needs     []int
	arrivals  [][]int   // needs by their first step
	served    []span    // per need: the first and last step that served it
	remaining []float64 // per need: work not yet served
}

// span is an inclusive range of steps.
type span struct{ from, to int }

// newFlow returns a flow without needs.
func newFlow(s *solver) *flow {
	return &flow{s: s, arrivals: make([][]int, s.steps), served: make([]span, len(s.needs)), remaining: make([]float64, len(s.needs))}
}

// add includes further needs in the next run.
func (f *flow) add(needs []int) {
	f.needs = append(f.needs, needs...)
	for _, i := range needs {
		n := &f.s.needs[i]
		f.arrivals[n.from] = append(f.arrivals[n.from], i)
	}
}

// short runs the added needs and reports for each step whether it is short of supply: all steps that
// an unserved need could have used, and, repeatedly, all steps that the needs served there
// could have used instead.
func (f *flow) short() []bool {
	f.run()
	short := make([]bool, f.s.steps)
	mark := func(n *timedNeed) (changed bool) {
		for k := n.from; k <= n.aimStep; k++ {
			changed = changed || !short[k]
			short[k] = true
		}
		return changed
	}
	for _, i := range f.needs {
		if f.remaining[i] > 1e-9 {
			mark(&f.s.needs[i])
		}
	}
	for changed := true; changed; {
		changed = false
		for _, i := range f.needs {
			done, n := f.served[i], &f.s.needs[i]
			for k := done.from; k <= done.to && done.from >= 0; k++ {
				if short[k] {
					changed = mark(n) || changed
					break
				}
			}
		}
	}
	return short
}

// run serves the added needs by earliest deadline first, each with its share within the quota.
func (f *flow) run() {
	for _, i := range f.needs {
		f.remaining[i], f.served[i] = f.s.needs[i].Work*f.s.take[i], span{-1, -2}
	}
	var waiting []int
	for k := range f.s.steps {
		waiting = append(waiting, f.arrivals[k]...)
		waiting = slices.DeleteFunc(waiting, func(i int) bool { return f.remaining[i] <= 1e-12 || f.s.needs[i].aimStep < k })
		slices.SortStableFunc(waiting, func(a, b int) int { return cmp.Compare(f.s.needs[a].aimStep, f.s.needs[b].aimStep) })
		supply := f.s.problem.Supply.Work[k]
		for _, i := range waiting {
			if supply <= 0 {
				break
			}
			work := min(supply, f.remaining[i])
			supply -= work
			f.remaining[i] -= work
			if f.served[i].from < 0 {
				f.served[i].from = k
			}
			f.served[i].to = k
		}
	}
}

// earn assigns the needs to free steps in the given order and returns their worth. The result is a
// feasible plan but not always an optimal one.
func (f *flow) earn(order []int) (worth float64) {
	s := f.s
	room := slices.Clone(s.problem.Supply.Work)
	put := func(n *timedNeed, to int, share float64) (part float64) {
		unserved := n.Work * share
		if unserved <= 0 {
			return share
		}
		for k := to; k >= n.from && unserved > 0; k-- { // latest steps first: more needs can use the earlier ones
			work := min(room[k], unserved)
			room[k] -= work
			unserved -= work
		}
		return share - unserved/n.Work
	}
	for _, i := range order {
		n := &s.needs[i]
		onTime := put(n, n.aimStep, s.take[i])
		worth += onTime * n.Worth
		if late := s.take[i] - onTime; late > 1e-12 && n.deadlineStep >= n.from {
			worth += put(n, n.deadlineStep, late) * n.Worth * n.Late
		}
	}
	for _, i := range order {
		n := &s.needs[i]
		if n.WorthBeyondQuota > 0 && s.beyondShare[i] > 0 {
			worth += put(n, n.aimStep, s.beyondShare[i]) * n.WorthBeyondQuota
		}
	}
	return worth
}
