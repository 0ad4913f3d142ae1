package proxy

import (
	"io"
	"net"
	"sync"
	"time"

	"example.org/madderdrum/traffic/pacing"
)

// link is the limiter's own link, on which long bodies keep a distance: see package pacing.
type link struct {
	mu      sync.Mutex
	in, out *pacing.Line
	begun   time.Time
}

func newLink(mbps float64) *link {
	return &link{in: pacing.New(mbps), out: pacing.New(mbps), begun: time.Now()}
}

func (l *link) now() float64 { return ms(time.Since(l.begun)) }

// short books bytes that do not wait.
func (l *link) short(line *pacing.Line, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line.Short(l.now(), n)
}

// piece waits until the next piece of a long body is due.
func (l *link) piece(line *pacing.Line, n int) {
	l.mu.Lock()
	wait := line.Next(l.now(), n)
	l.mu.Unlock()
	if wait > 0 {
		time.Sleep(time.Duration(wait * float64(time.Millisecond)))
	}
}

// paced reads a long body in pieces.
type paced struct {
	from io.Reader
	link *link
}

func (p paced) Read(b []byte) (int, error) {
	if n := p.link.in.Piece(); len(b) > n {
		b = b[:n]
	}
	p.link.piece(p.link.in, len(b))
	return p.from.Read(b)
}

// body is a reader of a body of so many bytes; less than none: not known.
func (l *link) body(from io.Reader, length int64) io.Reader {
	if l.in.Long(length) {
		return paced{from, l}
	}
	l.short(l.in, int(max(0, length)))
	return from
}

// write writes an answer, a long one in pieces.
func (l *link) write(c net.Conn, out []byte) error {
	if !l.out.Long(int64(len(out))) {
		l.short(l.out, len(out))
		_, err := c.Write(out)
		return err
	}
	for len(out) > 0 {
		n := min(len(out), l.out.Piece())
		l.piece(l.out, n)
		c.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := c.Write(out[:n]); err != nil {
			return err
		}
		out = out[n:]
	}
	return nil
}
