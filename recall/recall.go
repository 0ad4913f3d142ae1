// Package recall ages the memory that a limiter saved before a restart: it reduces the weight of
// what was learned according to its age, and maps it to the classes of the current
// configuration by name. It does no I/O and reads no clock.
package recall

import (
	"math"
	"slices"
	"time"

	"example.org/madderdrum/limiter"
)

// Half-lives: after this time a learned value counts half as much evidence. They depend on
// how long the value stays valid, not on how long it took to learn.
const (
	// SpeedHalfLife: a box is slow for as long as its problem lasts, seconds to minutes, and the
	// answers of two seconds replace the remembered value.
	SpeedHalfLife = 30 * time.Second
	// The work per request changes with releases of the senders, and the deadlines that
	// clients set change with releases of the clients.
	WorkHalfLife      = 24 * time.Hour
	UsualTimeHalfLife = 24 * time.Hour
	// The refusal rate of a pool changes within seconds, and fifty requests are enough to replace it.
	PressureHalfLife = 5 * time.Second
)

// Limits beyond which remembered values are ignored or capped.
const (
	// MaxDownAge: a box remembered as down is probed before it gets traffic, which costs only
	// the probe. After this age the state from discovery is used.
	MaxDownAge = time.Minute
	// MaxEjectionAge: a class that failed at a box stays ejected for the rest of the ejection
	// time. After that, and up to this age, one further failure ejects it again.
	MaxEjectionAge = 10 * time.Minute
	// MaxEvidence caps the number of answers that a remembered value counts for, so that about
	// a hundred new answers replace it.
	MaxEvidence = 200.0
	// MaxSpeedAnswers and MaxSlowness limit how long a box remembered as slow is avoided: two
	// or three answers show whether it still is.
	MaxSpeedAnswers = 6.0
	MaxSlowness     = 4.0
	// minEvidence is the evidence below which a value is dropped.
	minEvidence = 0.5
)

// ClassNames lists the names of a configuration's classes, by class index.
type ClassNames []string

// decayFactor returns the fraction of the evidence that remains after age. A negative age,
// from a clock that was set back, counts as zero.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// SnapshotInfo describes a saved memory and how the limiter that wrote it ended.
type SnapshotInfo struct {
	Age   time.Duration // since it was saved
	Clean bool          // its limiter ended cleanly, and no other process continued or continues from it
	// Intact reports that everything the limiter wrote is present, and that no other process
	// continued or continues from it. The limiter may have been killed.
	Intact bool
	Down   time.Duration // since the quota state was saved, by a clock that is never set; negative if unknown
}

// slowRatio is the slowness, relative to the usual time, from which a box counts as slow.
const slowRatio = 2

// distinguishesBoxes reports whether a memory identifies individual bad boxes: at most half of
// all boxes may be down, ejected or slow in it. More than that is a problem of the whole fleet
// or invalid data, and says nothing about one box. A limiter does not eject more than half of
// them either.
func distinguishesBoxes(boxes []limiter.BoxMemory) bool {
	impaired := 0
	for i := range boxes {
		b := &boxes[i]
		ejected := slices.ContainsFunc(b.Ills, func(e limiter.IllMemory) bool { return e.LeftMs > 0 })
		if ejected || b.Down || b.Slowness() > slowRatio {
			impaired++
		}
	}
	return len(boxes) == 1 || 2*impaired <= len(boxes)
}

// Decay returns what remains of a saved memory, mapped from the classes from to the classes to.
// The quota state is used only if the limiter is known to have ended, or if it limited its
// spending to the saved headroom until then, and no other process has used it. m is not
// modified.
func Decay(m *limiter.Memory, found SnapshotInfo, from, to ClassNames) *limiter.Memory {
	out, age := &limiter.Memory{}, found.Age
	if m.Handover != nil && found.Down >= 0 && (found.Clean || found.Intact && m.Handover.HeadMs > 0) {
		h := *m.Handover
		h.DownMs = float64(found.Down) / float64(time.Millisecond)
		out.Handover = &h
	}
	oldIndex := make([]int, len(to)) // index in the memory of each class
	for k, name := range to {
		oldIndex[k] = slices.Index(from, name)
	}
	known := func(k, n int) bool { return oldIndex[k] >= 0 && oldIndex[k] < n }
	remaining := decayFactor(age, UsualTimeHalfLife)
	for k := range to {
		u := limiter.UsualMemory{}
		if known(k, len(m.Usual)) {
			if u = m.Usual[oldIndex[k]]; min(u.Votes, MaxEvidence)*remaining < 1 {
				u = limiter.UsualMemory{}
			}
			u.Votes = min(u.Votes, MaxEvidence) * remaining
		}
		out.Usual = append(out.Usual, u)
	}
	remaining = decayFactor(age, WorkHalfLife)
	for _, p := range m.Pools {
		x := limiter.PoolMemory{ID: p.ID}
		for k := range to {
			w := limiter.WorkMemory{}
			if known(k, len(p.Work)) {
				if w = p.Work[oldIndex[k]]; min(w.Seen, MaxEvidence)*remaining < minEvidence {
					w = limiter.WorkMemory{}
				}
				w.Seen = min(w.Seen, MaxEvidence) * remaining
			}
			x.Work = append(x.Work, w)
		}
		if n := min(p.Fit[0], MaxEvidence) * remaining; n >= minEvidence {
			x.Fit = p.Fit
			x.Fit[0] = n
		}
		if n := min(p.Weight, MaxEvidence) * remaining; n >= minEvidence {
			x.Worth, x.Weight = p.Worth, n
		}
		x.Pressure = p.Pressure * decayFactor(age, PressureHalfLife)
		out.Pools = append(out.Pools, x)
	}
	remaining = decayFactor(age, SpeedHalfLife)
	distinct := distinguishesBoxes(m.Boxes)
	for _, b := range m.Boxes {
		x := limiter.BoxMemory{ID: b.ID, ReadyAt: b.ReadyAt, Down: b.Down && age < MaxDownAge && distinct}
		if b.Had*remaining >= minEvidence/10 && distinct { // a slow box gives few answers
			had := min(b.Had*remaining, MaxSpeedAnswers)
			x.Spent, x.Had = min(b.Spent/b.Had, MaxSlowness)*had, had
		}
		if b.BackMs > 0 { // it went on warming up meanwhile
			x.BackMs = b.BackMs + float64(max(0, age))/float64(time.Millisecond)
		}
		for k := range to {
			e := limiter.IllMemory{}
			if known(k, len(b.Ills)) && age < MaxEjectionAge && distinct {
				if e = b.Ills[oldIndex[k]]; e.LeftMs > 0 { // it was ejected: one more failure ejects it again
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
