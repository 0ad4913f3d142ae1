package capacity

import (
	"cmp"
	"slices"
)

// flow puts needs into steps by the earliest deadline, which serves all where that can be done.
type flow struct {
	s     *solver
	needs []int
	first [][]int // of the needs, by the step that they begin in
	done  []span  // of each need: the steps that it was served in
	left  []float64
}

type span struct{ from, to int }

func newFlow(s *solver) *flow {
	return &flow{s: s, first: make([][]int, s.steps), done: make([]span, len(s.needs)), left: make([]float64, len(s.needs))}
}

func (f *flow) add(needs []int) {
	f.needs = append(f.needs, needs...)
	for _, i := range needs {
		n := &f.s.needs[i]
		f.first[n.from] = append(f.first[n.from], i)
	}
}

// short tells which steps are filled by what was added and can't take more of it, so that some
// is left that could have gone there: the needs that are left, the steps that they could have
// gone to, the needs that are there in their place, the steps that these could have gone to.
func (f *flow) short() []bool {
	f.run()
	short := make([]bool, f.s.steps)
	mark := func(n *item) (news bool) {
		for k := n.from; k <= n.aim; k++ {
			news = news || !short[k]
			short[k] = true
		}
		return news
	}
	for _, i := range f.needs {
		if f.left[i] > 1e-9 {
			mark(&f.s.needs[i])
		}
	}
	for news := true; news; {
		news = false
		for _, i := range f.needs {
			d, n := f.done[i], &f.s.needs[i]
			for k := d.from; k <= d.to && d.from >= 0; k++ {
				if short[k] {
					news = mark(n) || news
					break
				}
			}
		}
	}
	return short
}

// run serves what was added by the earliest deadline, in proportion to what quotas leave of it.
func (f *flow) run() {
	for _, i := range f.needs {
		f.left[i], f.done[i] = f.s.needs[i].Work*f.s.take[i], span{-1, -2}
	}
	var open []int
	for k := range f.s.steps {
		open = append(open, f.first[k]...)
		open = slices.DeleteFunc(open, func(i int) bool { return f.left[i] <= 1e-12 || f.s.needs[i].aim < k })
		slices.SortStableFunc(open, func(a, b int) int { return cmp.Compare(f.s.needs[a].aim, f.s.needs[b].aim) })
		room := f.s.p.Supply.Work[k]
		for _, i := range open {
			if room <= 0 {
				break
			}
			x := min(room, f.left[i])
			room -= x
			f.left[i] -= x
			if f.done[i].from < 0 {
				f.done[i].from = k
			}
			f.done[i].to = k
		}
	}
}

// earn puts needs into what is left of the steps one after the other, the first ones first, and
// returns what they earn: a plan, though not always the best one.
func (f *flow) earn(order []int) (worth float64) {
	s := f.s
	room := slices.Clone(s.p.Supply.Work)
	put := func(n *item, to int, share float64) (part float64) {
		want := n.Work * share
		if want <= 0 {
			return share
		}
		for k := to; k >= n.from && want > 0; k-- { // the latest steps first: earlier ones serve others too
			x := min(room[k], want)
			room[k] -= x
			want -= x
		}
		return share - want/n.Work
	}
	for _, i := range order {
		n := &s.needs[i]
		in := put(n, n.aim, s.take[i])
		worth += in * n.Worth
		if rest := s.take[i] - in; rest > 1e-12 && n.end >= n.from {
			worth += put(n, n.end, rest) * n.Worth * n.Late
		}
	}
	for _, i := range order {
		n := &s.needs[i]
		if n.Beyond > 0 && s.extra[i] > 0 {
			worth += put(n, n.aim, s.extra[i]) * n.Beyond
		}
	}
	return worth
}
