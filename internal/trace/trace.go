// Package trace reads public cluster traces in CSV, plain or gzip, as a stream
// of arrivals, of machines that come and go, and of how busy machines are.
// Memory does not grow with the files.
//
// Nothing is guessed: what a file gets wrong is a [Problem] with file, line,
// column and what to do. Rows that mean nothing for a replay (a task that
// finishes, a time outside of the trace) are passed over and counted by reason.
package trace

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind is what a row of a trace tells.
type Kind int

// The kinds of records.
const (
	Arrival     Kind = iota
	MachineUp        // a machine is there from now on
	MachineDown      // it is gone
	Usage            // how busy it is
)

// Record is one row of a trace.
type Record struct {
	Kind Kind
	At   time.Duration // on the trace's own clock

	// Of an arrival; empty or 0 where the trace does not say.
	Account string
	Label   string        // what kind of request, by the trace's own names
	Class   string        // the fleet's class, by a mapping
	Plan    string        // the fleet's plan, by a mapping
	Units   float64       // that it takes from a quota
	Size    float64       // how much work it is, against the others
	Work    time.Duration // how much work it is, on one core

	Machine     string
	Utilization float64 // of Usage: 0 to 1
	SlowFactor  float64 // of Usage, by a mapping: the factor by which all is slower; 0: by Busy

	File string
	Line int
}

// Problem is something in a file that can't be used as it is.
type Problem struct {
	File    string
	Line    int    // from 1; 0: the whole file
	Column  string // name or number; empty: the whole line
	Message string
	Remedy  string // what to do about it
}

// Error is file:line: column: what; what to do.
func (p *Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Column != "" {
		fmt.Fprintf(&b, ": %s", p.Column)
	}
	fmt.Fprintf(&b, ": %s; %s", p.Message, p.Remedy)
	return b.String()
}

// MostProblems are listed; more are counted.
const MostProblems = 1000

// Problems are all that is wrong with the files of a trace.
type Problems struct {
	List []*Problem // the first MostProblems
	More int
}

func (p *Problems) add(x *Problem) {
	if len(p.List) < MostProblems {
		p.List = append(p.List, x)
	} else {
		p.More++
	}
}

// Error lists them, one a line.
func (p *Problems) Error() string {
	var b strings.Builder
	for i, x := range p.List {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(x.Error())
	}
	if p.More > 0 {
		fmt.Fprintf(&b, "\nand %d more", p.More)
	}
	return b.String()
}

// Duplicates says what becomes of a row that is byte for byte the same as an
// earlier one of the same time.
type Duplicates int

// What may become of duplicate rows.
const (
	RefuseDuplicates Duplicates = iota
	KeepDuplicates
	DropDuplicates
)

// Options are how files are read.
type Options struct {
	// Reorder accepts rows that are at most so much older than the latest before
	// them, and puts them in order. 0 refuses any that is older.
	Reorder    time.Duration
	Duplicates Duplicates
	// Seed draws what a layout leaves open about times: the moments within a minute.
	Seed uint64
	// From and Until bound the records that are returned, on the trace's clock; the
	// zero Until is no bound. All rows are checked just the same, up to Until.
	From, Until time.Duration
}

// Counts are what came of the rows.
type Counts struct {
	Rows      int
	Bytes     int64 // of the text, after gzip
	Records   int
	Reordered int            // put in order
	Dropped   int            // duplicates
	Skipped   map[string]int // passed over, by reason
}

// Reasons lists why rows were passed over, the most frequent first.
func (c *Counts) Reasons() []string {
	keys := slices.Sorted(maps.Keys(c.Skipped))
	slices.SortStableFunc(keys, func(a, b string) int { return c.Skipped[b] - c.Skipped[a] })
	return keys
}

// Source opens one file of a trace, from its beginning each time.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// stream gives records in no checked order. It returns io.EOF at the end, a
// *Problem for a row that can't be used (and goes on after it), or another error
// that ends it.
type recordStream interface {
	next() (Record, error)
	counts() *Counts
	close() error
}

// Reader gives the records of files of one layout, in the order of their times.
// It is not safe for concurrent use.
type Reader struct {
	input            recordStream
	options          Options
	order            reorderBuffer
	counts           Counts
	present          map[string]bool // machines
	removed          map[string]bool // machines that were there from the start and are gone
	initiallyPresent bool            // machines are there from the start
	ended            bool
}

// Open returns a Reader of files in order. What is wrong with the first lines
// of the first file shows here: a *Problem that says which known layout fits, if
// one does.
func Open(files []Source, s *Schema, o Options) (*Reader, error) {
	if len(files) == 0 {
		return nil, errors.New("no trace file")
	}
	if err := checkLayout(files[0], s); err != nil {
		return nil, err
	}
	from, err := s.openStream(files, s, o)
	if err != nil {
		return nil, err
	}
	return &Reader{input: from, options: o, present: map[string]bool{}, removed: map[string]bool{}, initiallyPresent: s.MachinesPresent, order: reorderBuffer{window: o.Reorder, duplicates: o.Duplicates}}, nil
}

// Counts are those of the rows read so far.
func (r *Reader) Counts() Counts {
	c := *r.input.counts()
	c.Records, c.Reordered, c.Dropped = r.counts.Records, r.order.moved, r.order.dropped
	return c
}

// Next returns the next record, io.EOF at the end, or a *Problem, after which it
// may be called again for the rest.
func (r *Reader) Next() (Record, error) {
	for {
		rec, err := r.nextInOrder()
		if err != nil {
			return rec, err
		}
		if rec.Kind != Arrival {
			if p := r.checkMachine(&rec); p != nil {
				return rec, p
			}
		}
		if rec.At < r.options.From {
			continue
		}
		if r.options.Until > 0 && rec.At >= r.options.Until {
			return rec, io.EOF
		}
		r.counts.Records++
		return rec, nil
	}
}

// sorted returns the next record in the order of time.
func (r *Reader) nextInOrder() (Record, error) {
	for {
		if rec, ok := r.order.pop(r.ended); ok {
			return rec, nil
		}
		if r.ended {
			return Record{}, io.EOF
		}
		rec, err := r.input.next()
		if errors.Is(err, io.EOF) {
			r.ended = true
			continue
		}
		if err != nil {
			return rec, err
		}
		ok, p := r.order.accept(&rec, r.input)
		switch {
		case p != nil:
			return rec, p
		case ok && r.options.Reorder == 0: // nothing can come before it
			return rec, nil
		case ok:
			r.order.push(rec)
		}
	}
}

// machine checks that machines come before they go.
func (r *Reader) checkMachine(rec *Record) *Problem {
	if r.initiallyPresent && rec.Kind != Usage && !r.present[rec.Machine] && !r.removed[rec.Machine] { // first heard of
		r.present[rec.Machine] = rec.Kind == MachineDown
	}
	switch rec.Kind {
	case MachineUp:
		if r.present[rec.Machine] {
			return &Problem{rec.File, rec.Line, "machine", fmt.Sprintf("%q is added a second time", rec.Machine),
				"remove the row, or add the one that removes the machine in between"}
		}
		r.present[rec.Machine] = true
	case MachineDown:
		if !r.present[rec.Machine] {
			return &Problem{rec.File, rec.Line, "machine", fmt.Sprintf("%q is removed before it was added", rec.Machine),
				"give the file that adds it first, in the order of their times"}
		}
		r.present[rec.Machine], r.removed[rec.Machine] = false, true
	}
	return nil
}

// Close ends the reading.
func (r *Reader) Close() error { return r.input.close() }
