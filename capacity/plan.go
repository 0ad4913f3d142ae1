package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Kind describes the requests of one kind. Work is in seconds of one core at speed 1.
type Kind struct {
	Name           string
	Work           float64 // mean per request
	MeanSquareWork float64 // mean of the squared work
	Aim            float64 // target response time, seconds
	Worth          float64 // of one request
}

// Room is a group of boxes that can fail together.
type Room struct {
	Name       string
	Boxes      int
	WorkPerBox float64 // work per second of one box
	ColdShare  float64 // share of Each that a box can do just after its start; 0: all
}

// Fleet is the boxes and the kinds of requests that a plan is made for.
type Fleet struct {
	Kinds []Kind
	Rooms []Room
	// SurgeDeviations is the number of standard deviations by which the work that arrives within the target
	// response time may exceed its mean without being late; 0 means 1, a value from replays.
	SurgeDeviations float64
}

// surgeReserve returns the work per second that a fleet needs above the mean demand to serve random
// surges within the target response times. Arrivals are modelled as a compound Poisson process,
// whose variance per second is the rate times the mean square of the work.
func (f *Fleet) surgeReserve(rates []float64) float64 {
	variance, weightedAim, work := 0.0, 0.0, 0.0
	for k, r := range rates {
		kind := &f.Kinds[k]
		variance += r * kind.MeanSquareWork
		weightedAim += r * kind.Work * kind.Aim
		work += r * kind.Work
	}
	if work <= 0 {
		return 0
	}
	return cmp.Or(f.SurgeDeviations, 1) * math.Sqrt(variance/(weightedAim/work))
}

// Served returns the share of the demand's worth that a fleet with the given capacity, in work per
// second, can serve. Rates are requests per second by kind. Kinds with the most worth per work are
// served first, the last one in part.
func (f *Fleet) Served(rates []float64, capacity float64) float64 {
	order := make([]int, len(rates))
	for k := range order {
		order[k] = k
	}
	density := func(k int) float64 { return f.Kinds[k].Worth / max(1e-12, f.Kinds[k].Work) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
	offered, served := 0.0, 0.0
	for k, r := range rates {
		offered += r * f.Kinds[k].Worth
	}
	if offered <= 0 {
		return 1
	}
	remaining := max(0, capacity-f.surgeReserve(rates))
	for _, k := range order {
		need := rates[k] * f.Kinds[k].Work
		share := 1.0
		if need > remaining {
			share = remaining / need
		}
		remaining = max(0, remaining-need)
		served += share * rates[k] * f.Kinds[k].Worth
	}
	return served / offered
}

// workRate returns the work per second of the fleet without one room (-1: with all rooms) and with
// more boxes of average size.
func (f *Fleet) workRate(without int, more int) (sum float64) {
	for i, r := range f.Rooms {
		if i != without {
			sum += float64(r.Boxes) * r.WorkPerBox
		}
	}
	if more != 0 && len(f.Rooms) > 0 {
		sum += float64(more) * f.meanBoxWork()
	}
	return sum
}

// meanBoxWork returns the mean work per second of one box.
func (f *Fleet) meanBoxWork() float64 {
	sum, n := 0.0, 0.0
	for _, r := range f.Rooms {
		sum += float64(r.Boxes) * r.WorkPerBox
		n += float64(r.Boxes)
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// Hour is the part of a plan for one slot of the forecast.
type Hour struct {
	Slot              *Slot
	Work              float64 // demand per second at the forecast's confidence
	Use               float64 // utilization of the fleet as it is
	Served            float64 // share of the worth served by the fleet as it is
	LostRoom          string  // the room whose loss costs most ...
	ServedAfterLoss   float64 // ... and the share served without it
	ServedAfterReturn float64 // share served when that room has returned but is still cold
	Boxes             int     // boxes needed for the goal with all rooms available
	BoxesWithLoss     int     // boxes needed so that any one room may fail, in the same number of rooms of equal size
	OneMore           float64 // increase of ServedAfterLoss by one more box
	RequiredWork      float64 // work per second needed for the goal
}

// Plan computes for each slot the share of the worth that the fleet serves and the boxes needed to
// serve the share goal, such as 0.97.
func (f *Fleet) Plan(forecast *Forecast, goal float64) []Hour {
	var hours []Hour
	for i := range forecast.Slots {
		slot := &forecast.Slots[i]
		h := Hour{Slot: slot, ServedAfterLoss: 2}
		for k, r := range slot.High {
			h.Work += r * f.Kinds[k].Work
		}
		fullRate := f.workRate(-1, 0)
		h.Use, h.Served = h.Work/max(1e-12, fullRate), f.Served(slot.High, fullRate)
		worst := -1
		for room := range f.Rooms {
			if served := f.Served(slot.High, f.workRate(room, 0)); served < h.ServedAfterLoss {
				h.ServedAfterLoss, h.LostRoom, worst = served, f.Rooms[room].Name, room
			}
		}
		h.ServedAfterReturn = h.ServedAfterLoss
		if worst >= 0 {
			r := f.Rooms[worst]
			h.ServedAfterReturn = f.Served(slot.High, f.workRate(worst, 0)+float64(r.Boxes)*r.WorkPerBox*cmp.Or(r.ColdShare, 1))
		}
		h.OneMore = f.Served(slot.High, f.workRate(worst, 1)) - h.ServedAfterLoss
		h.RequiredWork = f.requiredWork(slot.High, goal)
		h.Boxes = int(math.Ceil(h.RequiredWork/f.meanBoxWork() - 1e-9))
		h.BoxesWithLoss = h.Boxes
		if n := len(f.Rooms); n > 1 { // the other rooms must suffice: n-1 rooms hold the boxes needed
			h.BoxesWithLoss = n * int(math.Ceil(float64(h.Boxes)/float64(n-1)))
		}
		hours = append(hours, h)
	}
	return hours
}

// requiredWork returns the least work per second that serves the share goal, by bisection.
func (f *Fleet) requiredWork(rates []float64, goal float64) float64 {
	lo, hi := 0.0, f.surgeReserve(rates)
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

// Promise is capacity promised to an account: a number of units within a window, at a limited rate.
type Promise struct {
	Name     string
	From, To float64 // seconds from a Monday 00:00
	Units    float64
	Rate     float64 // most units per second
	Work     float64 // seconds of work per unit
}

// Verdict is the result of Admit: whether a promise fits, and what would fit.
type Verdict struct {
	Fits  bool
	Units float64 // the most units that fit into the window
	Why   string  // why it does not fit; empty if it fits
	At    float64 // time with the least free capacity
}

// Admit decides whether a promise fits beside the forecast and earlier promises even if any one room
// fails. Promised work has priority over other traffic. It must fit into the fleet's capacity minus
// the earlier promises and minus the work, including the reserve for surges, that serves the share
// leave of the forecast traffic's worth.
func (f *Fleet) Admit(forecast *Forecast, earlier []Promise, p Promise, leave float64) Verdict {
	switch {
	case !(p.To > p.From) || !(p.Units >= 0) || !(p.Work >= 0) || !(p.Rate > 0):
		return Verdict{Why: "it is no promise: a window, a rate and units above 0 are needed"}
	case forecast.Period == 0 && p.To-p.From > hour:
		return Verdict{Why: "it is longer than the forecast, which knows no hours"}
	}
	worst := math.Inf(1)
	for room := range f.Rooms {
		worst = min(worst, f.workRate(room, 0))
	}
	if len(f.Rooms) < 2 {
		worst = f.workRate(-1, 0)
	}
	v := Verdict{At: p.From}
	tightest := math.Inf(1)
	// Rates are constant between the boundaries of slots and of promises.
	edges := []float64{p.From, p.To}
	for at := math.Ceil(p.From/hour) * hour; at < p.To; at += hour {
		edges = append(edges, at)
	}
	for _, e := range earlier {
		for _, at := range []float64{e.From, e.To} {
			if at > p.From && at < p.To {
				edges = append(edges, at)
			}
		}
	}
	slices.Sort(edges)
	for i := 0; i+1 < len(edges); i++ {
		from, to := edges[i], edges[i+1]
		if to <= from {
			continue
		}
		promisedWork := 0.0
		for _, e := range earlier { // each may use its full rate at any time of its window
			if e.From <= from && e.To >= to {
				promisedWork += e.Rate * e.Work
			}
		}
		rates := forecast.At(from).High
		room := worst - promisedWork - f.requiredWork(rates, leave)
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
		v.Why = "with the worst room lost there is room for " + formatUnits(v.Units) + " units; it is tightest from " + Clock(v.At) + " on"
	}
	return v
}

// formatUnits formats a number of units rounded down.
func formatUnits(x float64) string { return fmt.Sprintf("%.0f", math.Floor(x)) }
