// Package wire reads and writes the line protocol of the test bench. It translates between lines of text and the
// types of package limiter, and makes no decisions of its own.
package wire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"example.org/madderdrum/limiter"
)

// maxLineBytes bounds one line of input.
const maxLineBytes = 64 << 20

// maxServerLists is the number of server lists that the protocol can define at the same time.
const maxServerLists = 16

// Kind says what an Item requires of the host of the instances.
type Kind int

// Kinds of Item.
const (
	Event  Kind = iota // deliver an event to a running instance
	Begin              // start an instance
	Retire             // remove an instance
)

// Item is one line of a batch that is addressed to an instance.
type Item struct {
	Kind     Kind
	Instance int
	Event    limiter.Event // nil if the library does not use the message
	Seed     uint64
	Settings limiter.Settings
	Err      error // set if the settings are invalid
}

// Reader reads batches of lines.
type Reader struct {
	in          *bufio.Scanner
	line        int
	serverLists [maxServerLists][]limiter.ServerInfo
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 1<<16), maxLineBytes)
	return &Reader{in: s}
}

// lineFields reads the values of one line in order and records the first error.
type lineFields struct {
	rest string
	err  error
}

var errTooFewValues = errors.New("too few values")

// next returns the next value of the line.
func (f *lineFields) next() string {
	if f.rest == "" {
		f.fail(errTooFewValues)
		return ""
	}
	value, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	if value == "" {
		f.fail(errors.New("empty value"))
	}
	return value
}

func (f *lineFields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// number reads a finite number; "-" means 0.
func (f *lineFields) number() float64 {
	text := f.next()
	if text == "-" || f.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(fmt.Errorf("%q is not a number", text))
	}
	return v
}

// integer reads a whole number; "-" means 0.
func (f *lineFields) integer() int {
	text := f.next()
	if text == "-" || f.err != nil {
		return 0
	}
	v, err := strconv.Atoi(text)
	if err != nil {
		f.fail(fmt.Errorf("%q is not an integer", text))
	}
	return v
}

// id reads an unsigned 64-bit ID; "-" means 0.
func (f *lineFields) id() uint64 {
	text := f.next()
	if text == "-" || f.err != nil {
		return 0
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%q is not an id", text))
	}
	return v
}

// flag reads a boolean; "-" means false.
func (f *lineFields) flag() bool {
	switch text := f.next(); text {
	case "1":
		return true
	case "0", "-", "":
	default:
		f.fail(fmt.Errorf("%q is not a bool", text))
	}
	return false
}

// namedValue reads a name and returns the value that names maps it to.
func namedValue[T any](f *lineFields, names map[string]T) (v T) {
	name := f.next()
	if f.err != nil {
		return v
	}
	v, ok := names[name]
	if !ok {
		f.fail(fmt.Errorf("unknown word %q", name))
	}
	return v
}

// load reads a server's load report; absent figures are -1.
func (f *lineFields) load() limiter.Load {
	report := limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}
	pairs := f.next()
	if pairs == "-" || f.err != nil {
		return report
	}
	for _, pair := range strings.Split(pairs, ",") {
		name, text, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			f.fail(fmt.Errorf("bad load report %q", pair))
			return report
		}
		switch name {
		case "busy_reqs":
			report.Busy = v
		case "pending":
			report.Pending = v
		case "svc_ms":
			report.ServiceMs = v
		}
	}
	return report
}

var resultByName = map[string]limiter.Result{
	"pass": limiter.Pass, "fault": limiter.Fault, "no_room": limiter.NoRoom,
	"too_slow": limiter.TooSlow, "no_route": limiter.NoRoute, "cut": limiter.Cut,
	"undone": limiter.Undone, "stale_send": limiter.StaleSend,
}

var scopeByName = map[string]limiter.Scope{
	"Partial": limiter.Partial, "Complete": limiter.Complete,
	"Persisted": limiter.Persisted, "Error": limiter.Failed,
}

var phaseByName = map[string]limiter.Phase{
	"up": limiter.Up, "draining": limiter.Draining, "removed": limiter.Removed,
}

// Batch reads the next batch. It returns io.EOF at the end of the input; any other error contains the line number.
func (r *Reader) Batch() (now float64, items []Item, err error) {
	f, name, err := r.nextLine()
	if err != nil {
		return 0, nil, err
	}
	if name != "SYNC" {
		return 0, nil, r.lineError(fmt.Errorf("%q where SYNC was expected", name))
	}
	if now = f.number(); f.err != nil {
		return 0, nil, r.lineError(f.err)
	}
	for {
		f, name, err = r.nextLine()
		if errors.Is(err, io.EOF) {
			return 0, nil, r.lineError(errors.New("input ends inside a batch"))
		}
		if err != nil {
			return 0, nil, err
		}
		switch name {
		case "COMMIT":
			return now, items, nil
		case "LIST":
			if err := r.readServerList(f); err != nil {
				return 0, nil, err
			}
		default:
			item, err := r.parseItem(name, f)
			if err != nil {
				return 0, nil, r.lineError(fmt.Errorf("%s: %w", name, err))
			}
			items = append(items, item)
		}
	}
}

// nextLine reads a line and returns its fields and the message name at its start.
func (r *Reader) nextLine() (*lineFields, string, error) {
	if !r.in.Scan() {
		if err := r.in.Err(); err != nil {
			return nil, "", fmt.Errorf("line %d: %w", r.line+1, err)
		}
		return nil, "", io.EOF
	}
	r.line++
	f := &lineFields{rest: r.in.Text()}
	name, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	return f, name, nil
}

// lineError adds the number of the current line to an error.
func (r *Reader) lineError(err error) error { return fmt.Errorf("line %d: %w", r.line, err) }

// readServerList reads the rows of a LIST message and stores them under its number for later ENDPOINTS messages.
func (r *Reader) readServerList(f *lineFields) error {
	listIndex, rowCount := f.integer(), f.integer()
	if f.err == nil && (listIndex < 0 || listIndex >= maxServerLists || rowCount < 0) {
		f.fail(errors.New("number out of range"))
	}
	if f.err != nil {
		return r.lineError(fmt.Errorf("LIST: %w", f.err))
	}
	var rows []limiter.ServerInfo
	for range rowCount {
		f, name, err := r.nextLine()
		if errors.Is(err, io.EOF) || (err == nil && name != "ROW") {
			return r.lineError(fmt.Errorf("LIST: %d rows where %d were announced", len(rows), rowCount))
		}
		if err != nil {
			return err
		}
		server := limiter.ServerInfo{Kind: f.integer(), ReadyAt: f.number(), Zone: f.integer()}
		server.Phase, server.ID = namedValue(f, phaseByName), f.id()
		server.Cell, server.Weight = f.integer(), f.number()
		if f.err != nil {
			return r.lineError(fmt.Errorf("ROW: %w", f.err))
		}
		rows = append(rows, server)
	}
	r.serverLists[listIndex] = rows
	return nil
}

// parseItem parses a message that is addressed to an instance.
func (r *Reader) parseItem(name string, f *lineFields) (Item, error) {
	item := Item{Instance: f.integer()}
	switch name {
	case "BEGIN":
		item.Kind, item.Seed = Begin, f.seed()
		if f.err == nil {
			item.Settings, item.Err = parseSettings(f.rest)
		}
	case "RETIRE":
		item.Kind = Retire
	case "ENDPOINTS":
		scope := namedValue(f, scopeByName)
		f.next() // revision, unused: events arrive in order and without gaps
		e := limiter.Endpoints{Scope: scope}
		if listIndex := f.integer(); f.err == nil && scope != limiter.Failed {
			if listIndex < 0 || listIndex >= maxServerLists {
				return item, errors.New("sheet out of range")
			}
			e.Servers = r.serverLists[listIndex]
		}
		item.Event = e
	case "SUBMIT":
		e := limiter.Submit{ID: f.next(), ExpiresMs: f.number(), Units: f.number(), Class: f.integer(), Retry: f.flag(), Plan: f.integer()}
		f.flag() // write flag, unused: the class carries what the limiter needs
		e.Spread, e.First, e.Account = int(f.number()), int(f.number()), f.id()
		item.Event = e
	case "FIRST":
		item.Event = limiter.FirstByte{ID: f.next(), Try: f.integer()}
	case "REPORT_BACK":
		e := limiter.Outcome{ID: f.next(), Try: f.integer(), Server: f.id(), Result: namedValue(f, resultByName), SpentMs: f.number(), Done: f.flag()}
		f.number() // quota_use, unused: the limiter learns of usage from its peers, not from a meter
		e.Cost, e.Load = f.number(), f.load()
		item.Event = e
	case "ABORTED":
		item.Event = limiter.Aborted{ID: f.next()}
	case "ALARM":
		item.Event = limiter.Alarm{Handle: f.next()}
	case "HEALTH_RESULT":
		e := limiter.Probed{SpentMs: f.number(), Server: f.id(), Result: namedValue(f, resultByName)}
		e.Load = f.load()
		item.Event = e
	case "FROM_PEER":
		e := limiter.PeerMessage{From: f.integer()}
		if text := f.next(); text != "-" && f.err == nil {
			data, err := hex.DecodeString(text)
			if err != nil {
				return item, fmt.Errorf("bad bytes: %w", err)
			}
			e.Data = data
		}
		item.Event = e
	case "ADDED": // unused: the library never calls the counter
	default:
		return item, errors.New("unknown message")
	}
	return item, f.err
}

// seed reads any 64-bit number, signed or unsigned.
func (f *lineFields) seed() uint64 {
	text := f.next()
	if v, err := strconv.ParseUint(text, 10, 64); err == nil {
		return v
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%q is not a seed", text))
	}
	return uint64(v)
}

// Writer writes the actions of instances.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a buffered Writer to w.
func NewWriter(w io.Writer) *Writer { return &Writer{bufio.NewWriterSize(w, 1<<16)} }

// Yield ends a reply and flushes it.
func (w *Writer) Yield() error {
	w.out.WriteString("YIELD\n")
	return w.out.Flush()
}

// Fault reports that an instance has failed.
func (w *Writer) Fault(instance int, text string) { w.writeLine("FAULT", instance, oneLine(text)) }

// Action writes one action of an instance.
func (w *Writer) Action(instance int, a limiter.Action) {
	switch a := a.(type) {
	case limiter.PassOn:
		w.writeLine("PASS_ON", instance, a.ID, formatNumber(a.CapMs), strconv.FormatUint(a.Server, 10))
	case limiter.Refuse:
		w.writeLine("OVERLOAD_REPLY", instance, a.ID, formatNumber(a.WaitMs))
	case limiter.Fail:
		w.writeLine("ERROR", instance, a.ID)
	case limiter.AbortAttempt:
		w.writeLine("ABORT_ATTEMPT", instance, a.ID, strconv.Itoa(a.Try))
	case limiter.Timer:
		w.writeLine("TIMER", instance, formatNumber(a.At), a.Handle)
	case limiter.Probe:
		w.writeLine("INSPECT", instance, strconv.FormatUint(a.Server, 10))
	case limiter.Tell:
		bytes := "-"
		if len(a.Data) > 0 {
			bytes = hex.EncodeToString(a.Data)
		}
		w.writeLine("SHARE", instance, strconv.Itoa(a.To), bytes)
	case limiter.Log:
		w.writeLine("DEBUG", instance, oneLine(a.Line))
	case limiter.Listen:
		w.writeLine("LISTEN", instance, "1")
	case limiter.QueryAll:
		w.writeLine("QUERY_ALL", instance)
	}
}

// writeLine writes a message name, an instance and the values, separated by blanks.
func (w *Writer) writeLine(name string, instance int, values ...string) {
	w.out.WriteString(name)
	w.out.WriteByte(' ')
	w.out.WriteString(strconv.Itoa(instance))
	for _, v := range values {
		w.out.WriteByte(' ')
		w.out.WriteString(v)
	}
	w.out.WriteByte('\n')
}

// formatNumber formats a number with three decimals.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

// oneLine replaces line breaks by blanks.
func oneLine(s string) string { return strings.NewReplacer("\n", " ", "\r", " ").Replace(s) }
