// Package framing detects requests with both Content-Length and Transfer-Encoding. net/http silently
// drops the former, and such a body can hide what another server parses as the next request
// (request smuggling; RFC 9112, 6.3).
package framing

import (
	"bytes"
	"sync/atomic"
)

// Watch scans the beginnings of all lines of one connection. It does not tell bodies from headers: a
// body line that looks like a header counts until the next empty line, which only affects clients
// that also send a chunked body on the connection. Look must be called by one goroutine; Both is
// safe for concurrent use.
type Watch struct {
	line       [len("transfer-encoding:")]byte // the beginning of the current line, in lower case
	lineLength int                             // bytes used of line
	headFields byte                            // sawContentLength and sawTransferEncoding of the current header section
	conflict   atomic.Bool
}

// HasBothLengths reports whether any header section had both fields.
func (w *Watch) HasBothLengths() bool { return w.conflict.Load() }

const (
	sawContentLength = 1 << iota
	sawTransferEncoding
)

var (
	lengthName   = []byte("content-length:")
	encodingName = []byte("transfer-encoding:")
)

// Scan scans the next bytes read from the connection.
func (w *Watch) Scan(b []byte) {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part = b[:end]
		}
		for _, x := range part[:min(len(part), len(w.line)-w.lineLength)] {
			if 'A' <= x && x <= 'Z' {
				x += 'a' - 'A'
			}
			w.line[w.lineLength] = x
			w.lineLength++
		}
		if end < 0 {
			return
		}
		line := w.line[:w.lineLength]
		switch {
		case w.lineLength == 0 || w.lineLength == 1 && line[0] == '\r':
			w.headFields = 0
		case bytes.HasPrefix(line, lengthName):
			w.headFields |= sawContentLength
		case bytes.HasPrefix(line, encodingName):
			w.headFields |= sawTransferEncoding
		}
		if w.headFields == sawContentLength|sawTransferEncoding {
			w.conflict.Store(true)
		}
		w.lineLength, b = 0, b[end+1:]
	}
}
