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
	// How much a pool refuses changes within seconds, and fifty requests replace it.
	PressureHalf = 5 * time.Second
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
	// MostAnswers and MostSlow bound how long a box that is remembered as slow is avoided: two
	// or three answers show that it is not, or that it is.
	MostAnswers = 6.0
	MostSlow    = 4.0
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
	// Intact tells that nothing that its limiter wrote is missing, and that nobody else has
	// gone on or goes on from it; it may have been killed.
	Intact bool
	Down   time.Duration // since what is held of quotas was taken, by a clock that nobody sets
}

// slowFactor is from what on a box counts as slow, against the usual time.
const slowFactor = 2

// tellsApart tells whether a memory tells some boxes from the others: no more than half of them
// may be down, ill or slow in it. More is the trouble of the whole fleet, or no truth at all, and says
// nothing of one box; a limiter keeps no more than half of them off either.
func tellsApart(boxes []limiter.BoxMemory) bool {
	ill := 0
	for i := range boxes {
		b := &boxes[i]
		off := slices.ContainsFunc(b.Ills, func(e limiter.IllMemory) bool { return e.LeftMs > 0 })
		if off || b.Down || b.Slowness() > slowFactor {
			ill++
		}
	}
	return len(boxes) == 1 || 2*ill <= len(boxes)
}

// Aged is what is left of a memory that was found, for a configuration with other classes than
// the one that it was learnt by. What was held of quotas counts of a limiter that is known to
// have ended, or with the headroom that it kept to until then; and once only. The memory itself is not changed.
func Aged(m *limiter.Memory, found Found, from, to Names) *limiter.Memory {
	out, age := &limiter.Memory{}, found.Age
	if m.Handover != nil && found.Down >= 0 && (found.Clean || found.Intact && m.Handover.HeadMs > 0) {
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
		x.Pressure = p.Pressure * trust(age, PressureHalf)
		out.Pools = append(out.Pools, x)
	}
	kept = trust(age, SpeedHalf)
	apart := tellsApart(m.Boxes)
	for _, b := range m.Boxes {
		x := limiter.BoxMemory{ID: b.ID, ReadyAt: b.ReadyAt, Down: b.Down && age < DownFor && apart}
		if b.Had*kept >= least/10 && apart { // a slow box answers little
			had := min(b.Had*kept, MostAnswers)
			x.Spent, x.Had = min(b.Spent/b.Had, MostSlow)*had, had
		}
		if b.BackMs > 0 { // it has warmed up meanwhile
			x.BackMs = b.BackMs + float64(max(0, age))/float64(time.Millisecond)
		}
		for k := range to {
			e := limiter.IllMemory{}
			if known(k, len(b.Ills)) && age < IllFor && apart {
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
