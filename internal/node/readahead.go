package node

import (
	"context"
	"errors"
	"net"
	"os"
)

// readAheadMost is how much is read ahead of a client's further requests at most.
const maxReadAhead = 16 << 10

// readAhead goes on reading from a client's connection while its request is at work and a further one has
// begun to come, so that the client is seen to leave: net/http looks for that with one byte, and looks no
// more once that byte has come. All but begin's goroutine is the reader's.
type readAhead struct {
	clientLeft context.CancelFunc // ends the context of the connection's requests
	buffered   []byte             // read, and not passed on yet
	done       chan struct{}      // closed when the goroutine has ended; nil: there is none
}

// watch gives the connection's requests a context that ends when the client leaves.
func (a *readAhead) withCancel(ctx context.Context) context.Context {
	ctx, a.clientLeft = context.WithCancel(ctx)
	return ctx
}

// begin reads ahead until it is interrupted, the client leaves or as much is held as may be.
func (a *readAhead) start(c net.Conn) {
	if a.done != nil {
		return
	}
	done := make(chan struct{})
	a.done = done
	go func() {
		defer close(done)
		piece := make([]byte, 1<<10)
		for len(a.buffered) < maxReadAhead {
			n, err := c.Read(piece)
			a.buffered = append(a.buffered, piece[:n]...)
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

// interrupt ends reading ahead, and tells whether there was any: the connection's deadline for reading is
// then to be set anew.
func (a *readAhead) interrupt(c net.Conn) bool {
	if a.done == nil {
		return false
	}
	c.SetReadDeadline(pastDeadline)
	<-a.done
	a.done = nil
	return true
}
