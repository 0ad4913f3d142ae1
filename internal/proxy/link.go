package proxy

import (
	"io"
	"net"
	"sync"
	"time"

	"example.org/madderdrum/traffic/pacing"
)

// link paces long bodies on the limiter's own network link (see package pacing).
type link struct {
	mu        sync.Mutex
	in, out   *pacing.Pacer
	startedAt time.Time
}

func newLink(mbps float64) *link {
	return &link{in: pacing.New(mbps), out: pacing.New(mbps), startedAt: time.Now()}
}

func (l *link) now() float64 { return ms(time.Since(l.startedAt)) }

// bookShort accounts for bytes that are sent without waiting.
func (l *link) bookShort(line *pacing.Pacer, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line.RecordUnpaced(l.now(), n)
}

// waitForPiece waits until the next piece of a long body may be sent.
func (l *link) waitForPiece(line *pacing.Pacer, n int) {
	l.mu.Lock()
	wait := line.ReserveChunk(l.now(), n)
	l.mu.Unlock()
	if wait > 0 {
		time.Sleep(time.Duration(wait * float64(time.Millisecond)))
	}
}

// pacedReader reads a long body in paced pieces.
type pacedReader struct {
	from io.Reader
	link *link
}

func (r pacedReader) Read(b []byte) (int, error) {
	if n := r.link.in.ChunkSize(); len(b) > n {
		b = b[:n]
	}
	r.link.waitForPiece(r.link.in, len(b))
	return r.from.Read(b)
}

// body returns a reader of a body of the given length; a negative length is unknown.
func (l *link) body(from io.Reader, length int64) io.Reader {
	if l.in.NeedsChunks(length) {
		return pacedReader{from, l}
	}
	l.bookShort(l.in, int(max(0, length)))
	return from
}

// writeAnswer writes an answer. Long answers are written in paced pieces.
func (l *link) writeAnswer(c net.Conn, out []byte) error {
	if !l.out.NeedsChunks(int64(len(out))) {
		l.bookShort(l.out, len(out))
		_, err := c.Write(out)
		return err
	}
	for len(out) > 0 {
		n := min(len(out), l.out.ChunkSize())
		l.waitForPiece(l.out, n)
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.Write(out[:n]); err != nil {
			return err
		}
		out = out[n:]
	}
	return nil
}
