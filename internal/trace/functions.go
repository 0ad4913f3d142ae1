package trace

import (
	"container/heap"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	minutesADay = 1440
	// minutesPerPass is the number of minutes collected by one pass over a file. The table
	// has to be transposed from functions by minutes to minutes by functions, and a whole
	// day doesn't fit in memory. Memory grows with the functions called within these
	// minutes, run time with the number of passes.
	minutesPerPass = 10
	// maxInvocationsPerMinute applies to a single function.
	maxInvocationsPerMinute = 1e6
)

func functionsHeader() []string {
	h := []string{"HashOwner", "HashApp", "HashFunction", "Trigger"}
	for m := 1; m <= minutesADay; m++ {
		h = append(h, strconv.Itoa(m))
	}
	return h
}

// functionStream reads the Azure Functions layout; several files are consecutive
// days. A first pass validates all rows. Later passes each read minutesPerPass
// minutes. Within a minute the invocation times of each function are drawn one
// after the other, so that memory holds functions, not invocations.
type functionStream struct {
	files         []Source
	schema        *Schema
	options       Options
	totals        Counts
	rng           *rand.Rand
	firstPass     *lineReader // of the validating pass; nil once that is done
	day           int
	minute        int // of the day: the next to return
	gatheredUntil int // minutes of the day before this one are loaded
	minutes       [minutesPerPass][]invocations
	currentMinute invocationHeap // of the minute being returned
}

// invocations are the calls of one function in one minute that are not returned yet.
type invocations struct {
	owner, function, file string
	line                  int
	remaining             int
	position              float64 // time of the next one, as a fraction of the minute
}

// drawNext draws the next invocation time: the minimum of the remaining times,
// which are uniform between the last one and the end of the minute (sequential
// sampling of order statistics).
func (v *invocations) drawNext(rng *rand.Rand) {
	v.position += (1 - v.position) * (1 - math.Pow(rng.Float64(), 1/float64(v.remaining)))
	v.remaining--
}

// invocationHeap is a heap ordered by the time of the next invocation.
type invocationHeap []invocations

func (c invocationHeap) Len() int { return len(c) }
func (c invocationHeap) Less(i, j int) bool {
	return c[i].position < c[j].position || c[i].position == c[j].position && c[i].line < c[j].line
}
func (c invocationHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *invocationHeap) Push(x any)   { *c = append(*c, x.(invocations)) }
func (c *invocationHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func openFunctions(files []Source, s *Schema, o Options) (recordStream, error) {
	f := &functionStream{files: files, schema: s, options: o, firstPass: newLines(files)}
	f.minute = int(o.From / time.Minute)
	f.day, f.minute = f.minute/minutesADay, f.minute%minutesADay/minutesPerPass*minutesPerPass
	f.gatheredUntil = f.minute
	return f, nil
}

func (f *functionStream) counts() *Counts {
	if f.firstPass != nil {
		return &f.firstPass.totals
	}
	return &f.totals
}

func (f *functionStream) close() error {
	if f.firstPass != nil {
		return f.firstPass.close()
	}
	return nil
}

func (f *functionStream) next() (Record, error) {
	if f.firstPass != nil {
		err := f.readRows(f.firstPass, func(int, int, float64) {}, 0, minutesADay)
		if !errors.Is(err, io.EOF) {
			return Record{}, err
		}
		f.totals, f.firstPass = f.firstPass.totals, nil
	}
	for len(f.currentMinute) == 0 {
		if f.day >= len(f.files) || f.options.Until > 0 && f.minuteStart(f.minute) >= f.options.Until {
			return Record{}, io.EOF
		}
		if f.minute >= f.gatheredUntil {
			if err := f.readMinutes(); err != nil {
				return Record{}, err
			}
		}
		// Each minute has its own random generator, so that its times don't depend on
		// the minute at which reading starts.
		f.rng = rand.New(rand.NewPCG(f.options.Seed, uint64(f.day*minutesADay+f.minute)))
		f.currentMinute = f.minutes[f.minute%minutesPerPass]
		for i := range f.currentMinute {
			f.currentMinute[i].drawNext(f.rng)
		}
		heap.Init(&f.currentMinute)
		if f.minute++; f.minute >= minutesADay {
			f.day, f.minute, f.gatheredUntil = f.day+1, 0, 0
		}
	}
	v := &f.currentMinute[0]
	start := f.minuteStart(f.minute) - time.Minute // of the minute being returned
	r := Record{At: start + time.Duration(v.position*float64(time.Minute)), Account: v.owner, Label: v.function, File: v.file, Line: v.line}
	if v.remaining > 0 {
		v.drawNext(f.rng)
		heap.Fix(&f.currentMinute, 0)
	} else {
		heap.Pop(&f.currentMinute)
	}
	return r, nil
}

// minuteStart converts a minute of the current day to a time on the trace's clock.
func (f *functionStream) minuteStart(minute int) time.Duration {
	return time.Duration(f.day*minutesADay+minute) * time.Minute
}

// readMinutes loads the next minutesPerPass minutes of the current day.
func (f *functionStream) readMinutes() error {
	l := newLines(f.files[f.day : f.day+1])
	defer l.close()
	for i := range f.minutes {
		f.minutes[i] = f.minutes[i][:0]
	}
	row, owner, function := 0, "", ""
	for {
		err := f.readRows(l, func(minute, line int, count float64) {
			if count < 1 {
				return
			}
			if row != line { // converts the names once for each row
				row, owner, function = line, string(l.fields[0]), string(l.fields[2])
			}
			m := &f.minutes[minute%minutesPerPass]
			*m = append(*m, invocations{owner: owner, function: function, file: l.fileName, line: line, remaining: int(count)})
		}, f.minute, min(f.minute+minutesPerPass, minutesADay))
		if errors.Is(err, io.EOF) {
			break
		}
		var p *Problem
		if err != nil && !errors.As(err, &p) { // the validating pass has reported the problems
			return err
		}
	}
	f.gatheredUntil = f.minute + minutesPerPass
	return nil
}

// readRows reads rows up to the first invalid one or the end of the input, and
// calls visit with each minute in [from, to) and its invocation count; a plain "0" is
// left out.
func (f *functionStream) readRows(l *lineReader, visit func(minute, line int, count float64), from, to int) error {
	for {
		if err := l.readRow(); err != nil {
			return err
		}
		if l.atFileStart {
			l.atFileStart = false
			l.totals.Rows--
			if p := f.schema.checkHeader(l); p != nil {
				return p
			}
			continue
		}
		if p := f.schema.checkColumns(l); p != nil {
			return p
		}
		if len(l.fields[0]) == 0 || len(l.fields[2]) == 0 {
			return l.problem("HashOwner", "fill it in, or remove the row", "empty")
		}
		for m := from; m < to; m++ {
			text := l.fields[4+m]
			if len(text) == 1 && text[0] == '0' {
				continue
			}
			count, p := l.parseNumber(4+m, strconv.Itoa(m+1), 0, maxInvocationsPerMinute)
			if p == nil && count != float64(int(count)) {
				p = l.problem(strconv.Itoa(m+1), "write a whole number", "%q invocations", truncate(text))
			}
			if p != nil {
				return p
			}
			visit(m, l.line, count)
		}
	}
}
