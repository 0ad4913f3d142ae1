package capacity

import (
	"fmt"
	"math"
	"slices"
)

// History is a record of requests in bins of equal length, by kind. A kind is a class and plan, or
// any other grouping of the caller.
type History struct {
	Bin   float64     // seconds
	Begin float64     // seconds from a Monday 00:00 local time to the first bin
	Kinds [][]float64 // requests by kind and bin
}

const (
	hour = 3600.0 // seconds
	day  = 24 * hour
	week = 7 * day
	// minGap is the time in seconds without any request that counts as a gap in the record.
	minGap = 0.5 * hour
	// A day is an outlier if its total differs from the median of comparable days by more than
	// outlierDeviations median absolute deviations and by more than outlierShare of that median.
	outlierDeviations, outlierShare = 6.0, 0.3
)

// Forecast is the expected demand of each hour of a repeating period.
type Forecast struct {
	Slots  []Slot
	Period float64 // seconds after which slots repeat: a week, a day, or 0 for a single slot
	Holes  []Span  // gaps of the record, which are ignored
	Odd    []Span  // outlier days, which are ignored
	// Coverage is the share of the bins in the last quarter of the record that stay below the
	// level at Confidence when that quarter is forecast from the rest; NaN if the record is too short.
	Coverage, Confidence float64
}

// Span is an interval in seconds from the Monday before the record.
type Span struct{ From, To float64 }

// String returns both ends by day and hour.
func (s Span) String() string { return Clock(s.From) + " to " + Clock(s.To) }

// Clock formats a time in seconds from a Monday 00:00 as weekday, hour and minute, with the number
// of the week from the second on.
func Clock(at float64) string {
	names := [...]string{"Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"}
	w, s := int(math.Floor(at/week)), math.Mod(math.Mod(at, week)+week, week)
	text := fmt.Sprintf("%s %02d:%02d", names[int(s/day)], int(math.Mod(s, day)/hour), int(math.Mod(s, hour)/60))
	if w > 0 {
		text += fmt.Sprintf(" of week %d", w+1)
	}
	return text
}

// Slot is the demand of one hour of the period.
type Slot struct {
	From float64   // seconds from the beginning of the period
	Mean []float64 // requests per second, by kind
	High []float64 // the same at the forecast's confidence
	Bins int       // number of bins of the record that it is computed from
}

// At returns the slot for a time in seconds from a Monday 00:00.
func (f *Forecast) At(at float64) *Slot {
	if f.Period == 0 {
		return &f.Slots[0]
	}
	return &f.Slots[int(math.Mod(math.Mod(at, f.Period)+f.Period, f.Period)/hour)]
}

// NewForecast computes from a record the demand that a share of the bins, such as 0.95, does not
// exceed. It distinguishes the hours of the week from two weeks of records on and the hours of the
// day from two days on; a shorter record gives a single level. An hour without bins takes the level
// of the hour before it.
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
	f := fitForecast(h, n, confidence)
	f.Coverage = math.NaN()
	if from := n * 3 / 4; from > 0 && from < n {
		past := fitForecast(h, from, confidence)
		if past.Period == f.Period { // otherwise the shorter record can't distinguish the same hours
			f.Coverage = past.coverage(h, from, f)
		}
	}
	return f, nil
}

// sums returns the requests of all kinds per bin.
func (h *History) sums(n int) []float64 {
	sums := make([]float64, n)
	for _, kind := range h.Kinds {
		for i, x := range kind[:n] {
			sums[i] += x
		}
	}
	return sums
}

// fitForecast computes a forecast, without its coverage, from the first n bins of the record.
func fitForecast(h *History, n int, confidence float64) *Forecast {
	f := &Forecast{Confidence: confidence}
	sums, skip := h.sums(n), make([]bool, n)
	at := func(i int) float64 { return h.Begin + float64(i)*h.Bin }
	for i := 0; i < n; i++ { // gaps: no request of any kind, between bins that have some
		j := i
		for j < n && sums[j] == 0 {
			j++
		}
		if i > 0 && j < n && float64(j-i)*h.Bin >= minGap {
			f.Holes = append(f.Holes, Span{at(i), at(j)})
			for k := i; k < j; k++ {
				skip[k] = true
			}
		}
		i = max(i, j-1)
	}
	f.skipOutlierDays(h, sums, skip)
	length := float64(n) * h.Bin
	switch {
	case length >= 2*week:
		f.Period = week
	case length >= 2*day:
		f.Period = day
	}
	count := max(1, int(f.Period/hour))
	f.Slots = make([]Slot, count)
	totals := make([][]float64, count) // sums of the bins of each slot
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
		// Scale all kinds by the rise of their total: the sum of their separate high levels would be
		// far more than the total ever reaches.
		rise := 1.0
		if mean > 0 {
			rise = max(1, all[min(len(all)-1, int(math.Ceil(confidence*float64(len(all))))-1)]/mean)
		}
		for k := range slot.Mean {
			slot.Mean[k] /= float64(len(all))
			slot.High[k] = slot.Mean[k] * rise
		}
	}
	for s := range f.Slots { // hours missing from the record
		for back := 1; f.Slots[s].Bins == 0 && back < count; back++ {
			if o := f.Slots[(s-back+count)%count]; o.Bins > 0 {
				f.Slots[s].Mean, f.Slots[s].High = o.Mean, o.High
				break
			}
		}
	}
	return f
}

// skipOutlierDays marks whole days to ignore whose total differs from that of the other days with
// the same weekday. If there are fewer than three of these, the day must differ both from them and
// from all other days. A weekday that occurs only once is never an outlier, nor is any
// day among fewer than six full ones.
func (f *Forecast) skipOutlierDays(h *History, sums []float64, skip []bool) {
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
		var sameWeekday, all []float64
		for e, other := range days {
			if e == d || bins[e] < full {
				continue
			}
			if all = append(all, other); (e-d)%7 == 0 {
				sameWeekday = append(sameWeekday, other)
			}
		}
		switch {
		case len(sameWeekday) == 0 || len(all) < 5:
			continue
		case len(sameWeekday) < 3:
			if dayMedian := median(sameWeekday); math.Abs(sum-dayMedian) <= outlierShare*dayMedian {
				continue
			}
			sameWeekday = all
		}
		center := median(sameWeekday)
		deviations := make([]float64, len(sameWeekday))
		for i, x := range sameWeekday {
			deviations[i] = math.Abs(x - center)
		}
		if deviation := math.Abs(sum - center); deviation > outlierDeviations*median(deviations) && deviation > outlierShare*center {
			f.Odd = append(f.Odd, Span{float64(d) * day, float64(d+1) * day})
			for i := range sums {
				skip[i] = skip[i] || dayOf(i) == d
			}
		}
	}
	slices.SortFunc(f.Odd, func(a, b Span) int { return int(a.From - b.From) })
}

// median returns the median of a non-empty list.
func median(all []float64) float64 {
	sorted := slices.Sorted(slices.Values(all))
	return (sorted[len(sorted)/2] + sorted[(len(sorted)-1)/2]) / 2
}

// coverage returns the share of the bins from index from on whose total stays below the forecast's
// high level, ignoring the gaps and outlier days of whole.
func (f *Forecast) coverage(h *History, from int, whole *Forecast) float64 {
	sums := h.sums(len(h.Kinds[0]))
	covered, counted := 0.0, 0.0
	for i := from; i < len(sums); i++ {
		at := h.Begin + float64(i)*h.Bin
		if slices.ContainsFunc(append(whole.Holes, whole.Odd...), func(s Span) bool { return at >= s.From && at < s.To }) {
			continue
		}
		level := 0.0
		for _, x := range f.At(at).High {
			level += x
		}
		counted++
		covered += boolToFloat(sums[i]/h.Bin <= level+1e-9)
	}
	if counted == 0 {
		return math.NaN()
	}
	return covered / counted
}
