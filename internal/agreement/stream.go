package agreement

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"
)

// Stream is a message connection between two limiters for a purpose other than Raft. One goroutine may send
// while another one receives.
type Stream struct {
	conn net.Conn
	in   *bufio.Reader
}

// NewStream returns a stream over a connection on which the hello has been exchanged.
func NewStream(c net.Conn) *Stream { return &Stream{c, bufio.NewReaderSize(c, 16<<10)} }

// Send sends a message. It fails if the message cannot be written within 2 s; after an error the stream must
// be closed.
func (s *Stream) Send(data []byte) error {
	s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return writeFrame(s.conn, data)
}

// Receive waits for a message for at most timeout; with 0 it waits until the stream ends.
func (s *Stream) Receive(timeout time.Duration) ([]byte, error) {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	s.conn.SetReadDeadline(deadline)
	return readFrame(s.in, maxFrameBytes)
}

// Close closes the connection; a blocked Send or Receive returns an error.
func (s *Stream) Close() { s.conn.Close() }

// Dial opens a stream to another limiter and exchanges the hello. purpose selects the handler in the peer's
// [Options.Streams].
func (h *Host) Dial(ctx context.Context, limiter, purpose string) (*Stream, error) {
	peer := h.links[limiter]
	if peer == nil {
		return nil, fmt.Errorf("there is no other limiter %q", limiter)
	}
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", peer.addr)
	if err != nil {
		return nil, err
	}
	own, ok := h.currentHello(ctx)
	if !ok {
		c.Close()
		return nil, errHostStopped
	}
	own.To, own.For = limiter, purpose
	answer, err := handshake(c, own)
	if err == nil && answer.Verdict != Welcome {
		err = fmt.Errorf("not welcome there: %v: %s", answer.Verdict, answer.Why)
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("limiter %q: %w", limiter, err)
	}
	return NewStream(c), nil
}
