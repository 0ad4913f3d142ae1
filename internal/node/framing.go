package node

import (
	"net"
	"sync"
	"time"

	"example.org/madderdrum/internal/framing"
)

// framedListener accepts connections that watch the framing of what comes in on them, and that
// end without eating a request.
type framedListener struct{ net.Listener }

func (l framedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newFramedConn(c), nil
}

// framedConn is a client's connection. It tells whether a head on it has had both a
// Content-Length and a Transfer-Encoding, of which net/http drops the former silently: what
// another reads as the next request may be hidden in such a body (RFC 9112, 6.3).
type framedConn struct {
	net.Conn
	heads framing.Watch

	mu        sync.Mutex // round what follows, and the deadline for reading
	started   bool       // something has been read since the connection began to wait
	startedAt time.Time  // when
	ending    bool       // nothing is to be waited for any more
	// deadline is the one for reading that is in force.
	deadline time.Time

	ahead readAhead
}

func newFramedConn(c net.Conn) *framedConn {
	return &framedConn{Conn: c, ahead: readAhead{clientLeft: func() {}}}
}

// longPast is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// waits says that the connection is between two requests.
func (c *framedConn) waiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = false
}

// works says that a request has come on it.
func (c *framedConn) working() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start(time.Time{})
}

// begin notes that something has come. A connection that was to end goes on.
func (c *framedConn) start(deadline time.Time) {
	if !c.started {
		c.started, c.startedAt = true, time.Now()
	}
	if c.ending {
		c.ending = false
		c.setReadDeadline(deadline)
	}
}

// end has the connection end if nothing of a request has been read, and tells whether it does.
// It does not close it, as its reader may have a request by then that nobody would answer,
// and that its client can't know to be unread: the reader gives up by its deadline, and goes
// on if something came first. One that has begun a request patience ago and not ended it is
// closed; 0 is never.
func (c *framedConn) tryEnd(patience time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started {
		if patience == 0 || time.Since(c.startedAt) < patience {
			return false
		}
		c.Conn.Close()
		return true
	}
	c.ending = true
	c.setReadDeadline(pastDeadline)
	return true
}

// SetReadDeadline is the connection's, but for one that is to end.
func (c *framedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		t = pastDeadline
	}
	return c.setReadDeadline(t)
}

// set puts a deadline for reading in force. The mutex is held.
func (c *framedConn) setReadDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// Read passes on what comes, and has it looked at.
func (c *framedConn) Read(b []byte) (int, error) {
	n, err := c.readBuffered(b)
	if n > 0 {
		c.mu.Lock()
		if !c.started || c.ending {
			c.start(time.Now().Add(headerTimeout))
		}
		c.mu.Unlock()
	}
	c.heads.Look(b[:n])
	if n == 1 && len(b) == 1 { // net/http looks for the client's departure, and found a further request
		c.ahead.start(c.Conn)
	}
	return n, err
}

// take reads from what was read ahead, or else from the connection.
func (c *framedConn) readBuffered(b []byte) (int, error) {
	if c.ahead.interrupt(c.Conn) {
		c.mu.Lock()
		c.Conn.SetReadDeadline(c.deadline)
		c.mu.Unlock()
	}
	if n := copy(b, c.ahead.buffered); n > 0 {
		c.ahead.buffered = c.ahead.buffered[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// Close closes the connection. Its requests have nobody to answer.
func (c *framedConn) Close() error {
	c.ahead.clientLeft()
	return c.Conn.Close()
}
