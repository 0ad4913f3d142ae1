package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Kind is what requests of a kind ask for. Work is in seconds of one core at speed 1.
type Kind struct {
	Name   string
	Work   float64 // mean
	Square float64 // mean of the square of the work
	Aim    float64 // seconds
	Worth  float64 // of a request
}

// Room is a group of boxes that may be lost together.
type Room struct {
	Name  string
	Boxes int
	Each  float64 // work that one box does in a second
	Cold  float64 // share of it that a box does that has just started; 0: all of it
}

// Fleet is what a plan is made for.
type Fleet struct {
	Kinds []Kind
	Rooms []Room
	// Surges is by how many standard deviations of what arrives within the aims work may surge
	// without being late; 0: 1, by replays.
	Surges float64
}

// spare is the work a second that a fleet needs beyond the mean of some demand, so that what
// arrives by chance within the aims is done by them: a compound Poisson process, whose variance
// over a span is its rate times the mean square of the work.
func (f *Fleet) spare(rates []float64) float64 {
	variance, weighed, work := 0.0, 0.0, 0.0
	for k, r := range rates {
		kind := &f.Kinds[k]
		variance += r * kind.Square
		weighed += r * kind.Work * kind.Aim
		work += r * kind.Work
	}
	if work <= 0 {
		return 0
	}
	return cmp.Or(f.Surges, 1) * math.Sqrt(variance/(weighed/work))
}

// Served is the share of the worth of some demand, in requests a second by kind, that so much
// work a second serves: what is worth most for its work first, and the rest in part.
func (f *Fleet) Served(rates []float64, capacity float64) float64 {
	order := make([]int, len(rates))
	for k := range order {
		order[k] = k
	}
	density := func(k int) float64 { return f.Kinds[k].Worth / max(1e-12, f.Kinds[k].Work) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
	asked, served := 0.0, 0.0
	for k, r := range rates {
		asked += r * f.Kinds[k].Worth
	}
	if asked <= 0 {
		return 1
	}
	left := max(0, capacity-f.spare(rates))
	for _, k := range order {
		need := rates[k] * f.Kinds[k].Work
		share := 1.0
		if need > left {
			share = left / need
		}
		left = max(0, left-need)
		served += share * rates[k] * f.Kinds[k].Worth
	}
	return served / asked
}

// capacity is the work a second of a fleet with one room away; -1: none.
func (f *Fleet) capacity(without int, more int) (sum float64) {
	for i, r := range f.Rooms {
		if i != without {
			sum += float64(r.Boxes) * r.Each
		}
	}
	if more != 0 && len(f.Rooms) > 0 {
		sum += float64(more) * f.each()
	}
	return sum
}

// each is the work a second of a box in the mean of all.
func (f *Fleet) each() float64 {
	sum, n := 0.0, 0.0
	for _, r := range f.Rooms {
		sum += float64(r.Boxes) * r.Each
		n += float64(r.Boxes)
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// Hour is what a plan says of one slot of a forecast.
type Hour struct {
	Slot      *Slot
	Work      float64 // asked for a second, at the confidence
	Use       float64 // of the fleet as it is
	Served    float64 // by the fleet as it is
	Lost      string  // the room that it is worst to lose, ...
	ServedIn  float64 // ... and what is served without it
	ServedUp  float64 // when it is back, and still cold
	Boxes     int     // needed for the goal, with all rooms there
	WithLoss  int     // and so that any one room may be lost, in as many rooms of equal size
	OneMore   float64 // what one more box adds to ServedIn
	NeedWorks float64 // work a second that the goal needs
}

// Plan says for each slot what the fleet serves and how many boxes a goal takes, such as 0.97
// of the worth.
func (f *Fleet) Plan(forecast *Forecast, goal float64) []Hour {
	var all []Hour
	for i := range forecast.Slots {
		slot := &forecast.Slots[i]
		h := Hour{Slot: slot, ServedIn: 2}
		for k, r := range slot.High {
			h.Work += r * f.Kinds[k].Work
		}
		whole := f.capacity(-1, 0)
		h.Use, h.Served = h.Work/max(1e-12, whole), f.Served(slot.High, whole)
		worst := -1
		for room := range f.Rooms {
			if x := f.Served(slot.High, f.capacity(room, 0)); x < h.ServedIn {
				h.ServedIn, h.Lost, worst = x, f.Rooms[room].Name, room
			}
		}
		h.ServedUp = h.ServedIn
		if worst >= 0 {
			r := f.Rooms[worst]
			h.ServedUp = f.Served(slot.High, f.capacity(worst, 0)+float64(r.Boxes)*r.Each*cmp.Or(r.Cold, 1))
		}
		h.OneMore = f.Served(slot.High, f.capacity(worst, 1)) - h.ServedIn
		h.NeedWorks = f.needs(slot.High, goal)
		h.Boxes = int(math.Ceil(h.NeedWorks/f.each() - 1e-9))
		h.WithLoss = h.Boxes
		if n := len(f.Rooms); n > 1 { // the others have to do: each room has its part of what is left
			h.WithLoss = n * int(math.Ceil(float64(h.Boxes)/float64(n-1)))
		}
		all = append(all, h)
	}
	return all
}

// needs is the least work a second that serves a goal.
func (f *Fleet) needs(rates []float64, goal float64) float64 {
	lo, hi := 0.0, f.spare(rates)
	for k, r := range rates {
		hi += r * f.Kinds[k].Work
	}
	for range 60 {
		if mid := (lo + hi) / 2; f.Served(rates, mid) >= goal {
			hi = mid
		} else {
			lo = mid
		}
	}
	return hi
}

// Promise is room promised to an account: so many units within a window, at a rate at most.
type Promise struct {
	Name     string
	From, To float64 // seconds from a Monday 00:00
	Units    float64
	Rate     float64 // units a second at most
	Work     float64 // of a unit, seconds
}

// Verdict is whether a promise fits.
type Verdict struct {
	Fits  bool
	Units float64 // the most that could be had in the window
	Why   string  // it does not fit, or no more than this
	At    float64 // when it is tightest
}

// Admit says whether a promise fits a fleet beside a forecast and earlier promises, with any one
// room lost: what is promised goes before everything that is not, so it has to fit what the
// fleet can do less what is promised already and less the spare for chance; and what it leaves
// to ordinary traffic may not fall below a share of that traffic's worth.
func (f *Fleet) Admit(forecast *Forecast, earlier []Promise, p Promise, leave float64) Verdict {
	switch {
	case !(p.To > p.From) || !(p.Units >= 0) || !(p.Work >= 0) || !(p.Rate > 0):
		return Verdict{Why: "it is no promise: a window, a rate and units above 0 are needed"}
	case forecast.Period == 0 && p.To-p.From > hour:
		return Verdict{Why: "it is longer than the forecast, which knows no hours"}
	}
	worst := math.Inf(1)
	for room := range f.Rooms {
		worst = min(worst, f.capacity(room, 0))
	}
	if len(f.Rooms) < 2 {
		worst = f.capacity(-1, 0)
	}
	v := Verdict{At: p.From}
	tightest := math.Inf(1)
	// Rates are constant within slots and between ends of promises.
	cuts := []float64{p.From, p.To}
	for at := math.Ceil(p.From/hour) * hour; at < p.To; at += hour {
		cuts = append(cuts, at)
	}
	for _, e := range earlier {
		for _, at := range []float64{e.From, e.To} {
			if at > p.From && at < p.To {
				cuts = append(cuts, at)
			}
		}
	}
	slices.Sort(cuts)
	for i := 0; i+1 < len(cuts); i++ {
		from, to := cuts[i], cuts[i+1]
		if to <= from {
			continue
		}
		taken := 0.0
		for _, e := range earlier { // each may come at its rate at any time of its window
			if e.From <= from && e.To >= to {
				taken += e.Rate * e.Work
			}
		}
		rates := forecast.At(from).High
		room := worst - taken - f.needs(rates, leave)
		rate := p.Rate
		if p.Work > 0 {
			rate = max(0, min(p.Rate, room/p.Work))
		}
		v.Units += rate * (to - from)
		if room < tightest {
			tightest, v.At = room, from
		}
	}
	v.Units = min(v.Units, p.Rate*(p.To-p.From))
	if v.Fits = v.Units >= p.Units*(1-1e-9); !v.Fits {
		v.Why = "with the worst room lost there is room for " + trim(v.Units) + " units; it is tightest from " + Clock(v.At) + " on"
	}
	return v
}

func trim(x float64) string { return fmt.Sprintf("%.0f", math.Floor(x)) }
