// Package recall says how far what a limiter has learnt is to be trusted after some time, and
// by which names it is kept, so that another configuration does not take it for what it is
// not. It does no input or output and reads no clock.
package recall

import (
	"math"
	"slices"
	"time"

	"example.org/madderdrum/limiter"
)

// Half-lives: after one of them what was learnt counts half as much evidence as it did. They
// go by how long what was learnt stays true, not by how long it took to learn.
const (
	// A box is slow for as long as what troubles it lasts, seconds to minutes, and two
	// seconds of answers replace what is remembered.
	SpeedHalf = 30 * time.Second
	// What a request costs changes with releases of the senders, and what time clients give
	// with releases of theirs.
	WorkHalf  = 24 * time.Hour
	UsualHalf = 24 * time.Hour
)

// Spans beyond which something says nothing more.
const (
	// DownFor: a box that was down is probed before it is sent anything, which costs the
	// probe alone; later it is taken for what the list says.
	DownFor = time.Minute
	// IllFor: a class that failed at a box is kept off for what was left of that time; then,
	// up to here, one further failure is enough.
	IllFor = 10 * time.Minute
	// MostEvidence bounds how many answers a remembered figure counts for, so that what is
	// true now replaces it within some hundred answers.
	MostEvidence = 200.0
	// least is the evidence below which a figure is dropped.
	least = 0.5
)

// Names are those of a configuration's classes, by their places.
type Names []string

// trust is the part of the evidence that is left after a time. A time below 0, of a clock
// that went back, is none.
func trust(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(half))
}

// Found is how a memory was found.
type Found struct {
	Age   time.Duration // since it was taken
	Clean bool          // its limiter had ended, and nobody else has gone on or goes on from it
	Down  time.Duration // with Clean: since that end, by a clock that nobody sets
}

// Aged is what is left of a memory that was found, for a configuration with other classes than
// the one that it was learnt by. What was held of quotas counts only of a limiter that is known
// to have ended. The memory itself is not changed.
func Aged(m *limiter.Memory, found Found, from, to Names) *limiter.Memory {
	out, age := &limiter.Memory{}, found.Age
	if m.Handover != nil && found.Clean && found.Down >= 0 {
		h := *m.Handover
		h.DownMs = float64(found.Down) / float64(time.Millisecond)
		out.Handover = &h
	}
	place := make([]int, len(to)) // of each class in the memory
	for k, name := range to {
		place[k] = slices.Index(from, name)
	}
	known := func(k, n int) bool { return place[k] >= 0 && place[k] < n }
	kept := trust(age, UsualHalf)
	for k := range to {
		u := limiter.UsualMemory{}
		if known(k, len(m.Usual)) {
			if u = m.Usual[place[k]]; min(u.Votes, MostEvidence)*kept < 1 {
				u = limiter.UsualMemory{}
			}
			u.Votes = min(u.Votes, MostEvidence) * kept
		}
		out.Usual = append(out.Usual, u)
	}
	kept = trust(age, WorkHalf)
	for _, p := range m.Pools {
		x := limiter.PoolMemory{ID: p.ID}
		for k := range to {
			w := limiter.WorkMemory{}
			if known(k, len(p.Work)) {
				if w = p.Work[place[k]]; min(w.Seen, MostEvidence)*kept < least {
					w = limiter.WorkMemory{}
				}
				w.Seen = min(w.Seen, MostEvidence) * kept
			}
			x.Work = append(x.Work, w)
		}
		if n := min(p.Fit[0], MostEvidence) * kept; n >= least {
			x.Fit = p.Fit
			x.Fit[0] = n
		}
		if n := min(p.Weight, MostEvidence) * kept; n >= least {
			x.Worth, x.Weight = p.Worth, n
		}
		out.Pools = append(out.Pools, x)
	}
	kept = trust(age, SpeedHalf)
	for _, b := range m.Boxes {
		x := limiter.BoxMemory{ID: b.ID, ReadyAt: b.ReadyAt, Down: b.Down && age < DownFor}
		if b.Had*kept >= least/10 { // a slow box answers little
			x.Spent, x.Had = b.Spent*kept, b.Had*kept
		}
		for k := range to {
			e := limiter.IllMemory{}
			if known(k, len(b.Ills)) && age < IllFor {
				if e = b.Ills[place[k]]; e.LeftMs > 0 { // it was kept off: the next failure is enough
					e.Failures = max(1, e.Failures)
				}
				e.LeftMs = max(0, e.LeftMs-float64(max(0, age))/float64(time.Millisecond))
			}
			x.Ills = append(x.Ills, e)
		}
		out.Boxes = append(out.Boxes, x)
	}
	return out
}
