// Package trace reads public cluster traces in CSV, plain or gzip, as a stream
// of arrivals, of machines added and removed, and of machine utilization.
// Memory does not grow with the files.
//
// Invalid input is never guessed at: each mistake in a file is reported as a
// [Problem] with file, line, column and remedy. Rows without a meaning for a replay
// (a task that finishes, a time outside of the trace) are skipped and counted by
// reason.
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

// Kind is the type of event that a row of a trace describes.
type Kind int

// The kinds of records.
const (
	Arrival     Kind = iota
	MachineUp        // a machine joins the cluster or returns to it
	MachineDown      // a machine leaves the cluster
	Usage            // utilization of a machine
)

// Record is one row of a trace.
type Record struct {
	Kind Kind
	At   time.Duration // on the trace's own clock

	// Fields of an arrival; empty or 0 if the trace doesn't have them.
	Account string
	Label   string        // type of request, as named in the trace
	Class   string        // class of the fleet, from a mapping
	Plan    string        // plan of the fleet, from a mapping
	Units   float64       // quota units that the request uses
	Size    float64       // work relative to the other arrivals
	Work    time.Duration // time on one core

	Machine     string
	Utilization float64 // of Usage: CPU, from 0 to 1
	SlowFactor  float64 // of Usage, from a mapping: the machine's slowdown; 0: derive it from Utilization

	File string
	Line int
}

// Problem is a mistake in a trace file, with its position and a remedy.
type Problem struct {
	File    string
	Line    int    // from 1; 0: the whole file
	Column  string // name or number; empty: the whole line
	Message string
	Remedy  string // how to correct it
}

// Error formats the problem as "file:line: column: message; remedy".
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

// MaxProblems is the number of problems kept in a list; further ones are only counted.
const MaxProblems = 1000

// Problems collects the mistakes in the files of a trace as one error.
type Problems struct {
	List    []*Problem // the first MaxProblems
	Omitted int
}

func (p *Problems) add(x *Problem) {
	if len(p.List) < MaxProblems {
		p.List = append(p.List, x)
	} else {
		p.Omitted++
	}
}

// Error lists the problems, one per line.
func (p *Problems) Error() string {
	var b strings.Builder
	for i, x := range p.List {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(x.Error())
	}
	if p.Omitted > 0 {
		fmt.Fprintf(&b, "\nand %d more", p.Omitted)
	}
	return b.String()
}

// Duplicates selects the handling of a row that is byte for byte the same as an
// earlier one of the same time.
type Duplicates int

// Handling of duplicate rows: report a Problem, return them, or skip and count them.
const (
	RefuseDuplicates Duplicates = iota
	KeepDuplicates
	DropDuplicates
)

// Options controls order, duplicates and time range when reading trace files.
type Options struct {
	// Reorder is the window within which rows out of order are sorted by time. A row
	// that is older than the latest one before it by more is a Problem.
	Reorder    time.Duration
	Duplicates Duplicates
	// Seed determines the random times within a minute where a layout has only counts
	// per minute.
	Seed uint64
	// From and Until limit the returned records, on the trace's clock: From is
	// inclusive, Until exclusive, 0 for no limit. Rows before From are checked too.
	From, Until time.Duration
}

// Counts are the totals of the rows read, by outcome.
type Counts struct {
	Rows      int
	Bytes     int64 // of uncompressed text
	Records   int
	Reordered int            // accepted out of order and sorted
	Dropped   int            // duplicates that were skipped
	Skipped   map[string]int // rows without a meaning for a replay, by reason
}

// Reasons lists the reasons for skipped rows, the most frequent first.
func (c *Counts) Reasons() []string {
	keys := slices.Sorted(maps.Keys(c.Skipped))
	slices.SortStableFunc(keys, func(a, b string) int { return c.Skipped[b] - c.Skipped[a] })
	return keys
}

// Source is one file of a trace. Each call of Open starts at the beginning of the file.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// recordStream returns records in the order of the file, without checking their
// times. next returns io.EOF at the end, a *Problem for an invalid row, after which
// it may be called again, or any other error, which is final.
type recordStream interface {
	next() (Record, error)
	counts() *Counts
	close() error
}

// Reader returns the records of files of one layout, in the order of their times.
// It is not safe for concurrent use.
type Reader struct {
	input            recordStream
	options          Options
	order            reorderBuffer
	counts           Counts
	present          map[string]bool // machines in service
	removed          map[string]bool // machines that have been removed at least once
	initiallyPresent bool            // Schema.MachinesPresent
	ended            bool
}

// Open returns a Reader of files, read in the given order. If the first line of the
// first file has another known layout, it returns a *Problem that names it.
func Open(files []Source, s *Schema, o Options) (*Reader, error) {
	if len(files) == 0 {
		return nil, errors.New("no trace file")
	}
	if err := checkLayout(files[0], s); err != nil {
		return nil, err
	}
	input, err := s.openStream(files, s, o)
	if err != nil {
		return nil, err
	}
	return &Reader{input: input, options: o, present: map[string]bool{}, removed: map[string]bool{}, initiallyPresent: s.MachinesPresent, order: reorderBuffer{window: o.Reorder, duplicates: o.Duplicates}}, nil
}

// Counts returns the totals of the rows read so far.
func (r *Reader) Counts() Counts {
	c := *r.input.counts()
	c.Records, c.Reordered, c.Dropped = r.counts.Records, r.order.reordered, r.order.dropped
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

// nextInOrder returns the next record by time, before the limits of Options apply.
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
		case ok && r.options.Reorder == 0: // no earlier record can follow
			return rec, nil
		case ok:
			r.order.push(rec)
		}
	}
}

// checkMachine checks that a machine is not added twice and not removed before it was
// added.
func (r *Reader) checkMachine(rec *Record) *Problem {
	if r.initiallyPresent && rec.Kind != Usage && !r.present[rec.Machine] && !r.removed[rec.Machine] { // first row of the machine
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

// Close closes the open file, if any.
func (r *Reader) Close() error { return r.input.close() }
