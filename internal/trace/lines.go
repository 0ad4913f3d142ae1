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

// maxLineBytes is far above the longest lines of the known layouts: those of Azure
// Functions have some 10 KB.
const maxLineBytes = 1 << 20

// lineReader reads the lines of files in order and splits them at commas. A quoted
// field may contain commas and doubled quotes (RFC 4180), but no line break: none of
// the layouts has one, and an unclosed quote would swallow the rest of the file.
type lineReader struct {
	files       []Source
	fileName    string
	line        int
	closer      io.Closer
	buffered    *bufio.Reader
	longLine    []byte // buffer for a line longer than that of buffered
	text        []byte // the current line without its line ending
	fields      [][]byte
	unquoted    []byte // buffer of the fields that were quoted
	totals      Counts
	atFileStart bool // the current line is the first of its file
	rowsInFile  int  // read from the current file
}

func newLines(files []Source) *lineReader {
	return &lineReader{files: files, totals: Counts{Skipped: map[string]int{}}}
}

func (l *lineReader) raw() []byte             { return l.text }
func (l *lineReader) counts() *Counts         { return &l.totals }
func (l *lineReader) countSkipped(why string) { l.totals.Skipped[why]++ }

func (l *lineReader) close() error {
	if l.closer == nil {
		return nil
	}
	err := l.closer.Close()
	l.closer, l.buffered = nil, nil
	return err
}

// problem returns a Problem at the current line.
func (l *lineReader) problem(column, remedy, format string, args ...any) *Problem {
	return &Problem{l.fileName, l.line, column, fmt.Sprintf(format, args...), remedy}
}

// openNext opens the next file, unpacks gzip and skips a byte order mark. It returns
// io.EOF after the last file.
func (l *lineReader) openNext() error {
	if len(l.files) == 0 {
		return io.EOF
	}
	f := l.files[0]
	l.files = l.files[1:]
	l.fileName, l.line, l.rowsInFile, l.atFileStart = f.Name, 0, 0, true
	rc, err := f.Open()
	if err != nil {
		return fmt.Errorf("opening a trace: %w", err)
	}
	l.closer = rc
	in := bufio.NewReaderSize(rc, 1<<16)
	if magic, _ := in.Peek(2); len(magic) == 2 && magic[0] == 0x1f && magic[1] == 0x8b {
		gz, err := gzip.NewReader(in)
		if err != nil {
			l.close()
			return &Problem{l.fileName, 0, "", "begins as gzip, but is none: " + err.Error(), "fetch the file again"}
		}
		in = bufio.NewReaderSize(gz, 1<<16)
	}
	if bom, _ := in.Peek(3); bytes.Equal(bom, []byte("\xef\xbb\xbf")) { // a byte order mark is redundant in UTF-8
		in.Discard(3)
	}
	l.buffered = in
	return nil
}

// readLine reads the next line that is not empty into l.text, without its line ending.
func (l *lineReader) readLine() error {
	for {
		if l.buffered == nil {
			if err := l.openNext(); err != nil {
				return err
			}
		}
		text, err := l.buffered.ReadSlice('\n')
		l.longLine = l.longLine[:0]
		for errors.Is(err, bufio.ErrBufferFull) {
			l.longLine = append(l.longLine, text...)
			if len(l.longLine) > maxLineBytes {
				l.line++
				l.discardLine()
				return l.problem("", "is it a CSV file?", "a line of more than %d bytes", maxLineBytes)
			}
			text, err = l.buffered.ReadSlice('\n')
		}
		if len(l.longLine) > 0 {
			l.longLine = append(l.longLine, text...)
			text = l.longLine
		}
		l.totals.Bytes += int64(len(text))
		switch {
		case err != nil && !errors.Is(err, io.EOF):
			l.line++
			l.close()
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, gzip.ErrChecksum) || errors.Is(err, gzip.ErrHeader) {
				return l.problem("", "fetch the file again", "the gzip file is cut off or damaged (%v)", err)
			}
			return l.problem("", "see that the file can be read", "reading: %v", err)
		case err != nil && len(text) == 0: // end of the file
			empty := l.rowsInFile == 0
			l.close()
			if empty {
				return &Problem{l.fileName, 0, "", "the file has no rows", "leave it out, or fetch it again"}
			}
			continue
		}
		l.line++
		l.text = bytes.TrimSuffix(bytes.TrimSuffix(text, []byte("\n")), []byte("\r"))
		if len(l.text) == 0 {
			l.countSkipped("empty line")
			continue
		}
		return nil
	}
}

// discardLine skips the rest of a line that is too long.
func (l *lineReader) discardLine() {
	for {
		if _, err := l.buffered.ReadSlice('\n'); !errors.Is(err, bufio.ErrBufferFull) {
			return
		}
	}
}

// readRow reads the next line, requires valid UTF-8 and splits it into fields.
func (l *lineReader) readRow() error {
	if err := l.readLine(); err != nil {
		return err
	}
	l.totals.Rows++
	l.rowsInFile++
	if !utf8.Valid(l.text) {
		return l.problem("", "save the file as UTF-8", "not valid UTF-8")
	}
	return l.splitFields()
}

func (l *lineReader) splitFields() error {
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
	l.unquoted = l.unquoted[:0]
	for {
		if len(rest) == 0 || rest[0] != '"' {
			i := bytes.IndexByte(rest, ',')
			field := rest
			if i >= 0 {
				field = rest[:i]
			}
			if bytes.IndexByte(field, '"') >= 0 {
				return l.problem(strconv.Itoa(len(l.fields)+1), `put the whole field in quotes and double those in it`, "a quote inside a field")
			}
			l.fields = append(l.fields, field)
			if i < 0 {
				return nil
			}
			rest = rest[i+1:]
			continue
		}
		from := len(l.unquoted)
		rest = rest[1:]
		for {
			i := bytes.IndexByte(rest, '"')
			if i < 0 {
				return l.problem(strconv.Itoa(len(l.fields)+1), "close it on the same line", "a quote that never closes")
			}
			l.unquoted = append(l.unquoted, rest[:i]...)
			rest = rest[i+1:]
			if len(rest) == 0 || rest[0] != '"' {
				break
			}
			l.unquoted = append(l.unquoted, '"')
			rest = rest[1:]
		}
		l.fields = append(l.fields, l.unquoted[from:len(l.unquoted):len(l.unquoted)])
		if len(rest) == 0 {
			return nil
		}
		if rest[0] != ',' {
			return l.problem(strconv.Itoa(len(l.fields)), "put a comma behind the quote", "text after a closing quote")
		}
		rest = rest[1:]
	}
}

// ---- Values ----

// parseNumber parses field i, which must be a finite number from lowest to highest.
func (l *lineReader) parseNumber(i int, name string, lowest, highest float64) (float64, *Problem) {
	text := l.fields[i]
	if len(text) == 0 {
		return 0, l.problem(name, "fill it in, or remove the row", "empty where a number belongs")
	}
	v, err := strconv.ParseFloat(string(text), 64)
	switch {
	case err != nil && errors.Is(err, strconv.ErrRange):
		return 0, l.problem(name, "correct it, or remove the row", "%q overflows", truncate(text))
	case err != nil:
		return 0, l.problem(name, "correct it, or remove the row", "%q is not a number", truncate(text))
	case math.IsNaN(v) || math.IsInf(v, 0):
		return 0, l.problem(name, "correct it, or remove the row", "%q is not a finite number", truncate(text))
	case v < lowest || v > highest:
		return 0, l.problem(name, "correct it, or remove the row", "%q is not within %g to %g", truncate(text), lowest, highest)
	}
	return v, nil
}

// latestTime is half of the range of a time.Duration, so that the sum of two times doesn't
// overflow.
const latestTime = math.MaxInt64 / 2

// parseTime parses field i as an integer or decimal number of units.
func (l *lineReader) parseTime(i int, name string, unit time.Duration) (time.Duration, *Problem) {
	text := l.fields[i]
	if len(text) > 0 && len(text) < 19 { // fast path: an unsigned integer
		v := int64(0)
		integer := true
		for _, c := range text {
			if c < '0' || c > '9' {
				integer = false
				break
			}
			v = v*10 + int64(c-'0')
		}
		if integer && v <= latestTime/int64(unit) {
			return time.Duration(v) * unit, nil
		}
	}
	v, p := l.parseNumber(i, name, 0, math.MaxFloat64)
	if p != nil {
		if len(text) > 1 && text[0] == '-' {
			p.Message = fmt.Sprintf("%q is a time below 0", truncate(text))
		}
		return 0, p
	}
	if v*float64(unit) >= latestTime {
		return 0, l.problem(name, "check the column's unit, or remove the row", "the time %q overflows", truncate(text))
	}
	return time.Duration(v * float64(unit)), nil
}

func truncate(text []byte) string {
	if len(text) > 40 {
		return string(text[:40]) + "..."
	}
	return string(text)
}
