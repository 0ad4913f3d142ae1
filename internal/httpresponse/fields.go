package httpresponse

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
)

// maxLineBytes limits a line: a status line, a field, or what precedes a chunk.
const maxLineBytes = 64 << 10

// readLine reads a line and returns it without its CRLF. A line feed alone ends no line.
func readLine(in *bufio.Reader) (string, error) {
	var begin []byte // of a line that is longer than the buffer of in
	end, err := in.ReadSlice('\n')
	for errors.Is(err, bufio.ErrBufferFull) {
		if begin = append(begin, end...); len(begin) > maxLineBytes {
			return "", protocolErrorf("a line of over %d bytes", maxLineBytes)
		}
		end, err = in.ReadSlice('\n')
	}
	if errors.Is(err, io.EOF) {
		return "", io.ErrUnexpectedEOF
	}
	if err != nil {
		return "", err
	}
	line, ok := strings.CutSuffix(string(begin)+string(end), "\r\n")
	if !ok {
		return "", protocolErrorf("a line ends without a carriage return")
	}
	return line, nil
}

// readFields reads fields up to the empty line behind them. Their names are in canonical form.
func readFields(in *bufio.Reader) (http.Header, error) {
	fields := http.Header{}
	for {
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return fields, nil
		}
		name, value, err := parseField(line)
		if err != nil {
			return nil, err
		}
		name = http.CanonicalHeaderKey(name)
		fields[name] = append(fields[name], value)
	}
}

// parseField parses a field (RFC 9110, section 5). Neither blanks around its name nor folded lines are allowed.
func parseField(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || !allBytes(name, isTokenByte) {
		return "", "", protocolErrorf("field %.80q", line)
	}
	if !allBytes(value, isTextByte) {
		return "", "", protocolErrorf("value of field %s: %.80q", name, value)
	}
	return name, strings.Trim(value, " \t"), nil
}

// allBytes reports whether all bytes of a text are of a kind.
func allBytes(text string, isOfKind func(byte) bool) bool {
	for i := range len(text) {
		if !isOfKind(text[i]) {
			return false
		}
	}
	return true
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isTokenByte reports whether a byte may stand in a token, such as the name of a field (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	return isDigit(b) || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isTextByte reports whether a byte may stand in the value of a field or in a reason phrase: no control byte but the tab.
func isTextByte(b byte) bool {
	const del = 0x7f
	return b == '\t' || b >= ' ' && b != del
}
