package node

import (
	"net"
	"sync"
	"time"

	"example.org/madderdrum/internal/framing"
)

// framedListener accepts connections that check the framing of requests and can be ended without losing a
// request.
type framedListener struct{ net.Listener }

func (l framedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newFramedConn(c), nil
}

// framedConn is a client's connection. It detects request headers with both Content-Length and
// Transfer-Encoding, of which net/http silently drops the former: bytes that another implementation reads as
// the next request may be smuggled in such a body (RFC 9112, 6.3).
type framedConn struct {
	net.Conn
	heads framing.Watch

	mu        sync.Mutex // guards the following fields and the read deadline
	started   bool       // something was read since the connection became idle
	startedAt time.Time  // when started was set
	ending    bool       // the connection is to end: nothing is waited for
	// deadline is the current read deadline.
	deadline time.Time

	ahead readAhead
}

func newFramedConn(c net.Conn) *framedConn {
	return &framedConn{Conn: c, ahead: readAhead{clientLeft: func() {}}}
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// waiting marks the connection as idle between two requests.
func (c *framedConn) waiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = false
}

// working marks the connection as having a request.
func (c *framedConn) working() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start(time.Time{})
}

// start records that something was read. A connection that was to end stays open.
func (c *framedConn) start(deadline time.Time) {
	if !c.started {
		c.started, c.startedAt = true, time.Now()
	}
	if c.ending {
		c.ending = false
		c.setReadDeadline(deadline)
	}
}

// tryEnd ends the connection if nothing of a request has been read, and reports whether it does. It does not
// close the connection, as its reader may have received a request that would remain unanswered, which the
// client can't know to be unprocessed: instead it sets a past read deadline, and the reader continues if it has
// read something. A connection whose request has been incomplete for patience is closed; 0 means never.
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

// SetReadDeadline sets the read deadline, except on a connection that is to end.
func (c *framedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		t = pastDeadline
	}
	return c.setReadDeadline(t)
}

// setReadDeadline sets the read deadline. The mutex is held.
func (c *framedConn) setReadDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection and checks the framing of what it reads.
func (c *framedConn) Read(b []byte) (int, error) {
	n, err := c.readBuffered(b)
	if n > 0 {
		c.mu.Lock()
		if !c.started || c.ending {
			c.start(time.Now().Add(headerTimeout))
		}
		c.mu.Unlock()
	}
	c.heads.Scan(b[:n])
	if n == 1 && len(b) == 1 { // net/http's read for detecting disconnects got the next request
		c.ahead.start(c.Conn)
	}
	return n, err
}

// readBuffered reads bytes that were read ahead, or else from the connection.
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

// Close closes the connection and cancels its requests.
func (c *framedConn) Close() error {
	c.ahead.clientLeft()
	return c.Conn.Close()
}
