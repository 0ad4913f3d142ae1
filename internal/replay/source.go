package replay

import (
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/madderdrum/internal/trace"
	"example.org/madderdrum/internal/world"
)

// Limits of a request's work as a multiple of the mean of its class: a trace of batch
// jobs has some that are a million times as long as others.
const (
	minWorkRatio = 0.05
	maxWorkRatio = 20
)

// accountBits is the size of an account number in the protocol.
const accountBits = 33

// Source returns the plan's arrivals for a seed, from the beginning. The caller closes it.
func (p *Plan) Source(seed uint64) (*Arrivals, error) {
	draw := world.NewDrawer(p.Options.Fleet, seed)
	if len(p.Options.Inputs) == 0 {
		return &Arrivals{plan: p, synthetic: world.NewSynthetic(p.Options.Fleet, seed, p.Length)}, nil
	}
	a := &Arrivals{plan: p, drawer: draw, rng: rand.New(rand.NewPCG(seed, 0xa2)), timeStep: p.timeStep()}
	for _, in := range p.Options.Inputs {
		r, err := trace.Open(in.Files, in.Schema, trace.Options{Reorder: p.Options.Reorder, Duplicates: p.Options.Duplicates,
			Seed: p.Options.Seed, From: p.startTime, Until: p.endTime})
		if err != nil {
			a.Close()
			return nil, err
		}
		a.readers = append(a.readers, &peekedReader{reader: r})
	}
	for _, h := range a.readers {
		a.advance(h)
	}
	return a, nil
}

// Arrivals is a world.Source that reads a trace, or generates the fleet's own traffic
// if the plan has no trace. After the last arrival, Err returns the error that ended
// the trace early, if any.
type Arrivals struct {
	plan      *Plan
	synthetic *world.Synthetic
	drawer    *world.Drawer
	rng       *rand.Rand
	readers   []*peekedReader
	timeStep  time.Duration
	batch     []world.Arrival
	next      int
	err       error
}

// peekedReader is a trace reader with its next arrival; valid is false after the last.
type peekedReader struct {
	reader *trace.Reader
	record trace.Record
	valid  bool
}

// advance reads the next arrival of a reader.
func (a *Arrivals) advance(h *peekedReader) {
	for {
		rec, err := h.reader.Next()
		h.record, h.valid = rec, err == nil
		if err != nil && !errors.Is(err, io.EOF) {
			a.err = err
		}
		if err != nil || rec.Kind == trace.Arrival {
			return
		}
	}
}

// earliest returns the reader with the earliest arrival, or nil after the last one.
func (a *Arrivals) earliest() *peekedReader {
	var best *peekedReader
	for _, h := range a.readers {
		if h.valid && (best == nil || h.record.At < best.record.At) {
			best = h
		}
	}
	return best
}

// Next returns the next arrival in order of time, or false at the end.
func (a *Arrivals) Next() (world.Arrival, bool) {
	if a.synthetic != nil {
		return a.synthetic.Next()
	}
	for a.next >= len(a.batch) {
		if !a.fillBatch() {
			return world.Arrival{}, false
		}
	}
	a.next++
	return a.batch[a.next-1], true
}

// fillBatch reads all arrivals of the next time and adds their copies. If the trace's
// times have a coarse resolution, an arrival gets a random time within its step; copies
// get a random time before the next arrivals.
func (a *Arrivals) fillBatch() bool {
	h := a.earliest()
	if h == nil || a.err != nil {
		return false
	}
	a.batch, a.next = a.batch[:0], 0
	at := h.record.At
	type copyGroup struct{ first, count int }
	var copies []copyGroup
	for h != nil && h.record.At == at {
		n := int(a.plan.Scale.Copies)
		if a.rng.Float64() < a.plan.Scale.Copies-float64(n) {
			n++
		}
		copies = append(copies, copyGroup{len(a.batch), n})
		for k := range n {
			a.batch = append(a.batch, a.newArrival(&h.record, k))
		}
		a.advance(h)
		h = a.earliest()
	}
	gap := a.plan.endTime - at
	if h != nil {
		gap = h.record.At - at
	}
	for _, c := range copies {
		for k := range c.count {
			spread := a.timeStep
			if k > 0 {
				spread = max(spread, gap)
			}
			offset := at - a.plan.startTime
			if spread > 0 {
				offset += time.Duration(a.rng.Int64N(int64(spread)))
			}
			a.batch[c.first+k].At = time.Duration(float64(offset) / a.plan.Options.Speed)
		}
	}
	slices.SortStableFunc(a.batch, func(x, y world.Arrival) int { return int(x.At - y.At) })
	return true
}

// newArrival maps a record to the fleet's classes, plans and accounts. copyIndex is 0 for the
// arrival itself and counts its copies, which get other accounts.
func (a *Arrivals) newArrival(rec *trace.Record, copyIndex int) (x world.Arrival) {
	f := a.plan.Options.Fleet
	switch {
	case rec.Class != "":
		x.Class = classIndex(f, rec.Class)
	case rec.Label != "":
		x.Class = a.drawer.ClassOf(hashName(rec.Label, 0))
	default:
		x.Class = a.drawer.Class()
	}
	if rec.Account != "" {
		x.Account = hashName(rec.Account, copyIndex)
		x.Plan = a.drawer.PlanOf(x.Account)
	} else {
		x.Plan = a.drawer.Plan()
		x.Account = a.drawer.Account(x.Plan)
	}
	if rec.Plan != "" {
		x.Plan = planIndex(f, rec.Plan)
	}
	class := f.Classes[x.Class]
	if x.Units = rec.Units; x.Units <= 0 {
		x.Units = class.Units
	}
	if rec.Work > 0 {
		x.Work = rec.Work
	} else if mean := a.plan.Scale.MeanSize; rec.Size > 0 && mean > 0 {
		x.Work = time.Duration(float64(class.Work) * max(minWorkRatio, min(maxWorkRatio, rec.Size/mean)))
	} else {
		x.Work = a.drawer.Work(x.Class)
	}
	return x
}

// hashName returns the number of an account or label: the FNV-1a hash of its name and
// the number of the copy, in accountBits bits.
func hashName(name string, copyIndex int) uint64 {
	h := fnv.New64a()
	io.WriteString(h, name)
	h.Write([]byte{byte(copyIndex), byte(copyIndex >> 8), byte(copyIndex >> 16)})
	return h.Sum64() & (1<<accountBits - 1)
}

// Err returns the error that ended the trace early.
func (a *Arrivals) Err() error { return a.err }

// Close closes the trace files.
func (a *Arrivals) Close() error {
	var all error
	for _, h := range a.readers {
		all = errors.Join(all, h.reader.Close())
	}
	return all
}
