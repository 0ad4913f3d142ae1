package proxy

import (
	"errors"

	"example.org/madderdrum/internal/sockets"
)

const (
	// shortRequestBytes is the length up to which a request is written before its answer is read. An empty send buffer
	// takes it whole, so that the write does not wait for the server.
	shortRequestBytes = 4 << 10
	// maxReusedBytes is the length up to which a request leaves its connection to the next one. The server may have
	// answered without reading a longer one, which the buffers between hold, and would read the next request late.
	maxReusedBytes = 16 << 10
)

// requestWrite writes one request to a server. A long one is written while the answer is read, because a server may
// answer before it has read the whole body, and may then read on late or not at all.
type requestWrite struct {
	conn *serverConn
	rest *upload       // remainder of the body, which is forwarded from the client; nil: none
	long bool          // longer than maxReusedBytes
	done chan struct{} // closed when nothing more is written; the fields below are set then

	anySent  bool // at least one byte was written, so the server may have executed the request
	complete bool
	bodyErr  error // the client's body could not be read, or is too long; nil: otherwise
}

// startWrite writes a request that starts with head, or begins to.
func (c *call) startWrite(conn *serverConn, head []byte) *requestWrite {
	w := &requestWrite{conn: conn, rest: c.rest, long: c.rest != nil || len(head) > maxReusedBytes,
		done: make(chan struct{})}
	if c.rest != nil {
		c.rest.allow()
	}
	if w.long { // a server may read late, which would break the connection; it is not used again
		if err := sockets.SetUserTimeout(conn.Conn, 0); err != nil {
			c.proxy.warnLimited("cannot lift the user timeout of a connection", c.attemptID, err.Error())
		}
	}
	if c.rest == nil && len(head) <= shortRequestBytes {
		w.write(c, head)
	} else {
		go w.write(c, head)
	}
	return w
}

// write writes the whole request. Errors of the server's connection are left to the reading of the answer, which meets
// them as well and may find an answer before them.
func (w *requestWrite) write(c *call, head []byte) {
	defer close(w.done)
	n, err := w.conn.Write(head)
	w.anySent = n > 0
	if err == nil && w.rest != nil {
		err = w.rest.forward(w.conn, c.proxy.link, c.deadline)
	}
	w.complete = err == nil
	var body *clientBodyError
	if errors.As(err, &body) || errors.Is(err, errBodyTooLong) {
		w.bodyErr = err
		w.conn.SetReadDeadline(longPast) // no answer is due to a request that does not become whole
	}
}

// failedUnsent reports whether the writing has failed before its first byte, so that no answer is due.
func (w *requestWrite) failedUnsent() bool {
	select {
	case <-w.done:
		return !w.anySent
	default:
		return false
	}
}

// stop ends the writing if it goes on, and reports whether the connection can be used for the next request. It can't if
// the request is long or has not been written completely, as what comes next on it then belongs to the body.
func (w *requestWrite) stop() (reusable bool) {
	select {
	case <-w.done:
	default:
		w.conn.SetWriteDeadline(longPast)
		if w.rest != nil {
			w.rest.stop()
		}
		<-w.done
	}
	return w.complete && !w.long
}
