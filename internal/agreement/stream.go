package agreement

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"
)

// Stream is a connection between two limiters beside the agreement's own. One goroutine may
// send and another one receive at a time.
type Stream struct {
	c  net.Conn
	in *bufio.Reader
}

// NewStream returns one over a connection that has been greeted.
func NewStream(c net.Conn) *Stream { return &Stream{c, bufio.NewReaderSize(c, 16<<10)} }

// Send sends a message; one that is not taken within 2 s is an error, after which the stream
// is of no more use.
func (s *Stream) Send(data []byte) error {
	s.c.SetWriteDeadline(time.Now().Add(writeFor))
	return writeFrame(s.c, data)
}

// Receive waits for a message so long; 0: until the stream ends.
func (s *Stream) Receive(within time.Duration) ([]byte, error) {
	by := time.Time{}
	if within > 0 {
		by = time.Now().Add(within)
	}
	s.c.SetReadDeadline(by)
	return readFrame(s.in, mostFrame)
}

// Close ends it.
func (s *Stream) Close() { s.c.Close() }

// Dial opens a stream to another limiter, which has to welcome this one.
func (h *Host) Dial(ctx context.Context, limiter, purpose string) (*Stream, error) {
	l := h.links[limiter]
	if l == nil {
		return nil, fmt.Errorf("there is no other limiter %q", limiter)
	}
	c, err := (&net.Dialer{Timeout: dialFor}).DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return nil, err
	}
	me, ok := h.hello(ctx)
	if !ok {
		c.Close()
		return nil, errEnded
	}
	me.To, me.For = limiter, purpose
	r, err := greet(c, me)
	if err == nil && r.Verdict != Welcome {
		err = fmt.Errorf("not welcome there: %v: %s", r.Verdict, r.Why)
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("limiter %q: %w", limiter, err)
	}
	return NewStream(c), nil
}
