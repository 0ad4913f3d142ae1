package capacity

import (
	"fmt"
	"math"
	"slices"
)

// History is what was asked for in bins of equal length, by kind: a class and plan, or whatever
// the caller tells apart.
type History struct {
	Bin   float64     // seconds
	Begin float64     // seconds from a Monday 00:00 to the first bin, by the local clock
	Kinds [][]float64 // requests by kind and bin
}

const (
	hour = 3600.0
	day  = 24 * hour
	week = 7 * day
	// leastHole is how long nothing at all has to be asked for to count as a hole in the record.
	leastHole = 0.5 * hour
	// oddDay is by how many median deviations from like days a day's sum has to differ to count
	// as out of the ordinary, and oddShare by what share of their median at least.
	oddDay, oddShare = 6.0, 0.3
)

// Forecast is what is expected to be asked for at each hour.
type Forecast struct {
	Slots  []Slot
	Period float64 // seconds over which slots repeat: a week, a day, or 0 if there is one slot for all
	Holes  []Span  // that the record has, left out
	Odd    []Span  // days out of the ordinary, left out
	// Coverage is the share of the bins of the last quarter of the record that stay under the
	// level at Confidence when it is forecast from the rest; NaN where there is too little.
	Coverage, Confidence float64
}

// Span is a stretch of time, in seconds from the Monday before the record.
type Span struct{ From, To float64 }

func (s Span) String() string { return Clock(s.From) + " to " + Clock(s.To) }

// Clock names a time by day and hour.
func Clock(at float64) string {
	names := [...]string{"Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"}
	w, s := int(math.Floor(at/week)), math.Mod(math.Mod(at, week)+week, week)
	text := fmt.Sprintf("%s %02d:%02d", names[int(s/day)], int(math.Mod(s, day)/hour), int(math.Mod(s, hour)/60))
	if w > 0 {
		text += fmt.Sprintf(" of week %d", w+1)
	}
	return text
}

// Slot is one hour of the period.
type Slot struct {
	From float64   // seconds from the beginning of the period
	Mean []float64 // requests a second by kind
	High []float64 // the same at the confidence
	Bins int       // that it is learnt from
}

// At is the slot of a time, in seconds from a Monday 00:00.
func (f *Forecast) At(at float64) *Slot {
	if f.Period == 0 {
		return &f.Slots[0]
	}
	return &f.Slots[int(math.Mod(math.Mod(at, f.Period)+f.Period, f.Period)/hour)]
}

// NewForecast learns from a record the levels that a share of the bins stays under, such as
// 0.95. Two weeks tell hours of the week apart, two days hours of the day; less is one level.
// An hour without bins takes the level of the hour before it.
func NewForecast(h *History, confidence float64) (*Forecast, error) {
	n := 0
	if len(h.Kinds) > 0 {
		n = len(h.Kinds[0])
	}
	switch {
	case !(h.Bin > 0) || n == 0:
		return nil, fmt.Errorf("capacity: a record without bins")
	case !(confidence > 0 && confidence < 1):
		return nil, fmt.Errorf("capacity: confidence %g: from 0 to 1, such as 0.95", confidence)
	}
	f := learn(h, n, confidence)
	f.Coverage = math.NaN()
	if from := n * 3 / 4; from > 0 && from < n {
		past := learn(h, from, confidence)
		if past.Period == f.Period { // else the rest says less than the whole
			f.Coverage = past.covered(h, from, f)
		}
	}
	return f, nil
}

// sums are requests by bin over all kinds.
func (h *History) sums(n int) []float64 {
	sums := make([]float64, n)
	for _, kind := range h.Kinds {
		for i, x := range kind[:n] {
			sums[i] += x
		}
	}
	return sums
}

func learn(h *History, n int, confidence float64) *Forecast {
	f := &Forecast{Confidence: confidence}
	sums, skip := h.sums(n), make([]bool, n)
	at := func(i int) float64 { return h.Begin + float64(i)*h.Bin }
	for i := 0; i < n; i++ { // holes: nothing of any kind, between bins with something
		j := i
		for j < n && sums[j] == 0 {
			j++
		}
		if i > 0 && j < n && float64(j-i)*h.Bin >= leastHole {
			f.Holes = append(f.Holes, Span{at(i), at(j)})
			for k := i; k < j; k++ {
				skip[k] = true
			}
		}
		i = max(i, j-1)
	}
	f.oddDays(h, sums, skip)
	length := float64(n) * h.Bin
	switch {
	case length >= 2*week:
		f.Period = week
	case length >= 2*day:
		f.Period = day
	}
	count := max(1, int(f.Period/hour))
	f.Slots = make([]Slot, count)
	totals := make([][]float64, count) // by slot
	for s := range f.Slots {
		f.Slots[s].From = float64(s) * hour
		f.Slots[s].Mean, f.Slots[s].High = make([]float64, len(h.Kinds)), make([]float64, len(h.Kinds))
	}
	for i := range n {
		if skip[i] {
			continue
		}
		s := 0
		if f.Period > 0 {
			s = int(math.Mod(at(i), f.Period) / hour)
		}
		f.Slots[s].Bins++
		totals[s] = append(totals[s], sums[i])
		for k := range h.Kinds {
			f.Slots[s].Mean[k] += h.Kinds[k][i] / h.Bin
		}
	}
	for s := range f.Slots {
		slot, all := &f.Slots[s], totals[s]
		if len(all) == 0 {
			continue
		}
		slices.Sort(all)
		mean := 0.0
		for _, x := range all {
			mean += x / float64(len(all))
		}
		// All kinds rise together: the sum of each one's own level would be asked for never.
		rise := 1.0
		if mean > 0 {
			rise = max(1, all[min(len(all)-1, int(math.Ceil(confidence*float64(len(all))))-1)]/mean)
		}
		for k := range slot.Mean {
			slot.Mean[k] /= float64(len(all))
			slot.High[k] = slot.Mean[k] * rise
		}
	}
	for s := range f.Slots { // hours that the record lacks
		for back := 1; f.Slots[s].Bins == 0 && back < count; back++ {
			if o := f.Slots[(s-back+count)%count]; o.Bins > 0 {
				f.Slots[s].Mean, f.Slots[s].High = o.Mean, o.High
				break
			}
		}
	}
	return f
}

// oddDays leaves out whole days that differ from others of their weekday; where there are fewer
// than three of it, from all days, and from those there are. A weekday that is there once says
// nothing.
func (f *Forecast) oddDays(h *History, sums []float64, skip []bool) {
	days := map[int]float64{}
	bins := map[int]int{}
	dayOf := func(i int) int { return int((h.Begin + float64(i)*h.Bin) / day) }
	for i, x := range sums {
		if !skip[i] {
			days[dayOf(i)] += x
			bins[dayOf(i)]++
		}
	}
	full := int(day / h.Bin * 0.9)
	for d, sum := range days {
		if bins[d] < full {
			continue
		}
		var like, all []float64
		for e, other := range days {
			if e == d || bins[e] < full {
				continue
			}
			if all = append(all, other); (e-d)%7 == 0 {
				like = append(like, other)
			}
		}
		switch {
		case len(like) == 0 || len(all) < 5:
			continue
		case len(like) < 3:
			if m := median(like); math.Abs(sum-m) <= oddShare*m {
				continue
			}
			like = all
		}
		middle := median(like)
		apart := make([]float64, len(like))
		for i, x := range like {
			apart[i] = math.Abs(x - middle)
		}
		if away := math.Abs(sum - middle); away > oddDay*median(apart) && away > oddShare*middle {
			f.Odd = append(f.Odd, Span{float64(d) * day, float64(d+1) * day})
			for i := range sums {
				skip[i] = skip[i] || dayOf(i) == d
			}
		}
	}
	slices.SortFunc(f.Odd, func(a, b Span) int { return int(a.From - b.From) })
}

func median(all []float64) float64 {
	sorted := slices.Sorted(slices.Values(all))
	return (sorted[len(sorted)/2] + sorted[(len(sorted)-1)/2]) / 2
}

// covered is the share of the bins from one on, out of the ordinary ones left out, whose kinds
// together stay under the level.
func (f *Forecast) covered(h *History, from int, whole *Forecast) float64 {
	sums := h.sums(len(h.Kinds[0]))
	under, n := 0.0, 0.0
	for i := from; i < len(sums); i++ {
		at := h.Begin + float64(i)*h.Bin
		if slices.ContainsFunc(append(whole.Holes, whole.Odd...), func(s Span) bool { return at >= s.From && at < s.To }) {
			continue
		}
		level := 0.0
		for _, x := range f.At(at).High {
			level += x
		}
		n++
		under += btof(sums[i]/h.Bin <= level+1e-9)
	}
	if n == 0 {
		return math.NaN()
	}
	return under / n
}
