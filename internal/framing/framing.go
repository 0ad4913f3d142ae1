// Package framing watches the heads of requests on a client's connection for two lengths: of a
// request with both Content-Length and Transfer-Encoding net/http drops the former silently,
// and what another reads as the next request may be hidden in such a body (RFC 9112, 6.3).
package framing

import (
	"bytes"
	"sync/atomic"
)

// Watch looks at the beginnings of the lines of one connection. Lines of bodies are looked at
// too: one that reads like a header counts until the next empty line, and only against a
// client that also sends a chunked body on the same connection. Look is for one goroutine;
// Both may be asked by any.
type Watch struct {
	line       [len("transfer-encoding:")]byte // the beginning of a line, in lower case
	lineLength int                             // of it
	headFields byte                            // of the head so far
	conflict   atomic.Bool
}

// Both tells that a head has had both.
func (c *Watch) Both() bool { return c.conflict.Load() }

const (
	sawContentLength = 1 << iota
	sawTransferEncoding
)

var (
	lengthName   = []byte("content-length:")
	encodingName = []byte("transfer-encoding:")
)

// Look takes in the next bytes of the connection.
func (c *Watch) Look(b []byte) {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part = b[:end]
		}
		for _, x := range part[:min(len(part), len(c.line)-c.lineLength)] {
			if 'A' <= x && x <= 'Z' {
				x += 'a' - 'A'
			}
			c.line[c.lineLength] = x
			c.lineLength++
		}
		if end < 0 {
			return
		}
		line := c.line[:c.lineLength]
		switch {
		case c.lineLength == 0 || c.lineLength == 1 && line[0] == '\r':
			c.headFields = 0
		case bytes.HasPrefix(line, lengthName):
			c.headFields |= sawContentLength
		case bytes.HasPrefix(line, encodingName):
			c.headFields |= sawTransferEncoding
		}
		if c.headFields == sawContentLength|sawTransferEncoding {
			c.conflict.Store(true)
		}
		c.lineLength, b = 0, b[end+1:]
	}
}
