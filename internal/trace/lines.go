package trace

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"
	"unicode/utf8"
)

// maxLine is the longest line of any layout here many times over: Azure
// Functions has the longest, some 10 KB.
const maxLine = 1 << 20

// lines reads the lines of files in order, split at commas. A field in quotes
// may hold commas and doubled quotes (RFC 4180), but no end of line: none of the
// layouts has one, and a quote that never closes would take the rest of the file.
type lines struct {
	files  []Source
	file   string
	line   int
	open   io.Closer
	in     *bufio.Reader
	long   []byte // a line longer than the buffer
	text   []byte // the line as it stands
	fields [][]byte
	spare  []byte // unquoted fields
	n      Counts
	first  bool // the next line is the first of its file
	rows   int  // of this file
}

func newLines(files []Source) *lines {
	return &lines{files: files, n: Counts{Passed: map[string]int{}}}
}

func (l *lines) raw() []byte     { return l.text }
func (l *lines) counts() *Counts { return &l.n }
func (l *lines) pass(why string) { l.n.Passed[why]++ }

func (l *lines) close() error {
	if l.open == nil {
		return nil
	}
	err := l.open.Close()
	l.open, l.in = nil, nil
	return err
}

// wrong is a problem with the line at hand.
func (l *lines) wrong(column, do, format string, args ...any) *Problem {
	return &Problem{l.file, l.line, column, fmt.Sprintf(format, args...), do}
}

// start opens the next file.
func (l *lines) start() error {
	if len(l.files) == 0 {
		return io.EOF
	}
	f := l.files[0]
	l.files = l.files[1:]
	l.file, l.line, l.rows, l.first = f.Name, 0, 0, true
	rc, err := f.Open()
	if err != nil {
		return fmt.Errorf("opening a trace: %w", err)
	}
	l.open = rc
	in := bufio.NewReaderSize(rc, 1<<16)
	if magic, _ := in.Peek(2); len(magic) == 2 && magic[0] == 0x1f && magic[1] == 0x8b {
		gz, err := gzip.NewReader(in)
		if err != nil {
			l.close()
			return &Problem{l.file, 0, "", "begins as gzip, but is none: " + err.Error(), "fetch the file again"}
		}
		in = bufio.NewReaderSize(gz, 1<<16)
	}
	if bom, _ := in.Peek(3); bytes.Equal(bom, []byte("\xef\xbb\xbf")) { // a byte order mark means nothing in UTF-8
		in.Discard(3)
	}
	l.in = in
	return nil
}

// read reads one line, without its end.
func (l *lines) read() error {
	for {
		if l.in == nil {
			if err := l.start(); err != nil {
				return err
			}
		}
		text, err := l.in.ReadSlice('\n')
		l.long = l.long[:0]
		for errors.Is(err, bufio.ErrBufferFull) {
			l.long = append(l.long, text...)
			if len(l.long) > maxLine {
				l.line++
				l.skip()
				return l.wrong("", "is it a CSV file?", "a line of more than %d bytes", maxLine)
			}
			text, err = l.in.ReadSlice('\n')
		}
		if len(l.long) > 0 {
			l.long = append(l.long, text...)
			text = l.long
		}
		l.n.Bytes += int64(len(text))
		switch {
		case err != nil && !errors.Is(err, io.EOF):
			l.line++
			l.close()
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, gzip.ErrChecksum) || errors.Is(err, gzip.ErrHeader) {
				return l.wrong("", "fetch the file again", "the gzip file is cut off or damaged (%v)", err)
			}
			return l.wrong("", "see that the file can be read", "reading: %v", err)
		case err != nil && len(text) == 0: // the end
			empty := l.rows == 0
			l.close()
			if empty {
				return &Problem{l.file, 0, "", "the file has no rows", "leave it out, or fetch it again"}
			}
			continue
		}
		l.line++
		l.text = bytes.TrimSuffix(bytes.TrimSuffix(text, []byte("\n")), []byte("\r"))
		if len(l.text) == 0 {
			l.pass("empty line")
			continue
		}
		return nil
	}
}

// skip passes over the rest of a line that is too long.
func (l *lines) skip() {
	for {
		if _, err := l.in.ReadSlice('\n'); !errors.Is(err, bufio.ErrBufferFull) {
			return
		}
	}
}

// row reads one line and splits it.
func (l *lines) row() error {
	if err := l.read(); err != nil {
		return err
	}
	l.n.Rows++
	l.rows++
	if !utf8.Valid(l.text) {
		return l.wrong("", "save the file as UTF-8", "not valid UTF-8")
	}
	return l.split()
}

func (l *lines) split() error {
	l.fields = l.fields[:0]
	rest := l.text
	if bytes.IndexByte(rest, '"') < 0 {
		for {
			i := bytes.IndexByte(rest, ',')
			if i < 0 {
				l.fields = append(l.fields, rest)
				return nil
			}
			l.fields = append(l.fields, rest[:i])
			rest = rest[i+1:]
		}
	}
	l.spare = l.spare[:0]
	for {
		if len(rest) == 0 || rest[0] != '"' {
			i := bytes.IndexByte(rest, ',')
			field := rest
			if i >= 0 {
				field = rest[:i]
			}
			if bytes.IndexByte(field, '"') >= 0 {
				return l.wrong(strconv.Itoa(len(l.fields)+1), `put the whole field in quotes and double those in it`, "a quote inside a field")
			}
			l.fields = append(l.fields, field)
			if i < 0 {
				return nil
			}
			rest = rest[i+1:]
			continue
		}
		from := len(l.spare)
		rest = rest[1:]
		for {
			i := bytes.IndexByte(rest, '"')
			if i < 0 {
				return l.wrong(strconv.Itoa(len(l.fields)+1), "close it on the same line", "a quote that never closes")
			}
			l.spare = append(l.spare, rest[:i]...)
			rest = rest[i+1:]
			if len(rest) == 0 || rest[0] != '"' {
				break
			}
			l.spare = append(l.spare, '"')
			rest = rest[1:]
		}
		l.fields = append(l.fields, l.spare[from:len(l.spare):len(l.spare)])
		if len(rest) == 0 {
			return nil
		}
		if rest[0] != ',' {
			return l.wrong(strconv.Itoa(len(l.fields)), "put a comma behind the quote", "text after a closing quote")
		}
		rest = rest[1:]
	}
}

// ---- Values ----

// number reads a number that must be there, within bounds.
func (l *lines) number(i int, name string, least, most float64) (float64, *Problem) {
	text := l.fields[i]
	if len(text) == 0 {
		return 0, l.wrong(name, "fill it in, or remove the row", "empty where a number belongs")
	}
	v, err := strconv.ParseFloat(string(text), 64)
	switch {
	case err != nil && errors.Is(err, strconv.ErrRange):
		return 0, l.wrong(name, "correct it, or remove the row", "%q overflows", clip(text))
	case err != nil:
		return 0, l.wrong(name, "correct it, or remove the row", "%q is not a number", clip(text))
	case math.IsNaN(v) || math.IsInf(v, 0):
		return 0, l.wrong(name, "correct it, or remove the row", "%q is not a finite number", clip(text))
	case v < least || v > most:
		return 0, l.wrong(name, "correct it, or remove the row", "%q is not within %g to %g", clip(text), least, most)
	}
	return v, nil
}

// latestTime is the end of times that a time.Duration can hold, less room for sums.
const latestTime = math.MaxInt64 / 2

// time reads a time in whole or decimal units.
func (l *lines) time(i int, name string, unit time.Duration) (time.Duration, *Problem) {
	text := l.fields[i]
	if len(text) > 0 && len(text) < 19 { // the usual case: whole, and no sign
		v := int64(0)
		whole := true
		for _, c := range text {
			if c < '0' || c > '9' {
				whole = false
				break
			}
			v = v*10 + int64(c-'0')
		}
		if whole && v <= latestTime/int64(unit) {
			return time.Duration(v) * unit, nil
		}
	}
	v, p := l.number(i, name, 0, math.MaxFloat64)
	if p != nil {
		if len(text) > 1 && text[0] == '-' {
			p.What = fmt.Sprintf("%q is a time below 0", clip(text))
		}
		return 0, p
	}
	if v*float64(unit) >= latestTime {
		return 0, l.wrong(name, "check the column's unit, or remove the row", "the time %q overflows", clip(text))
	}
	return time.Duration(v * float64(unit)), nil
}

func clip(text []byte) string {
	if len(text) > 40 {
		return string(text[:40]) + "..."
	}
	return string(text)
}
