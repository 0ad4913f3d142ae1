package node

import (
	"context"
	"errors"
	"net"
	"os"
)

// maxReadAhead limits how many bytes of a client's further requests are read ahead.
const maxReadAhead = 16 << 10

// readAhead keeps reading from a client's connection after a further request has begun to arrive while one is
// in progress, so that a disconnect is still detected: net/http detects it by a read of one byte, and stops
// once that byte has arrived. Only the connection's reader uses its methods.
type readAhead struct {
	clientLeft context.CancelFunc // cancels the context of the connection's requests
	buffered   []byte             // read ahead and not yet returned by Read
	done       chan struct{}      // closed when the goroutine has ended; nil: not running
}

// withCancel returns the connection's context, which ends when the client disconnects.
func (a *readAhead) withCancel(ctx context.Context) context.Context {
	ctx, a.clientLeft = context.WithCancel(ctx)
	return ctx
}

// start reads ahead until it is interrupted, the client disconnects or the limit is reached.
func (a *readAhead) start(c net.Conn) {
	if a.done != nil {
		return
	}
	done := make(chan struct{})
	a.done = done
	go func() {
		defer close(done)
		buf := make([]byte, 1<<10)
		for len(a.buffered) < maxReadAhead {
			n, err := c.Read(buf)
			a.buffered = append(a.buffered, buf[:n]...)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			if err != nil {
				a.clientLeft()
				return
			}
		}
	}()
}

// interrupt stops reading ahead, and reports whether it was running: the caller must then restore the
// connection's read deadline.
func (a *readAhead) interrupt(c net.Conn) bool {
	if a.done == nil {
		return false
	}
	c.SetReadDeadline(pastDeadline)
	<-a.done
	a.done = nil
	return true
}
