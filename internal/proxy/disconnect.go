package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// ranOnAfter is how long after its client has left a request may still be in hand without being counted
// as one that ran on.
const ranOnAfter = 500 * time.Millisecond

// crossesWithin is how shortly after a client was seen to leave a request may go out that was begun before.
const crossesWithin = 10 * time.Millisecond

// disconnect is the end of a client's connection as its client brings it about. Its context ends when
// the client is known to have closed the connection, or the connection to have broken.
type disconnect struct {
	context.Context
	end context.CancelFunc

	mu sync.Mutex
	at time.Time // zero: the client is there, as far as is known
}

func newDisconnect() *disconnect {
	ctx, end := context.WithCancel(context.Background())
	return &disconnect{Context: ctx, end: end}
}

// mark notes that the client has left. Only the first call counts.
func (d *disconnect) mark() {
	d.mu.Lock()
	if d.at.IsZero() {
		d.at = time.Now()
	}
	d.mu.Unlock()
	d.end()
}

// since is how long ago the client left; ok is false while it is there.
func (d *disconnect) since() (ago time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at.IsZero() {
		return 0, false
	}
	return time.Since(d.at), true
}

// statusClientClosed stands for the answer that no client gets, as it has left. It is counted, and not sent.
const statusClientClosed = 499

// unheard is the answer of a request whose client has left.
func unheard() *answer { return &answer{status: statusClientClosed, why: "client left"} }

// clientLeft tells that nobody waits for the call's answer any more.
func (c *call) clientLeft() bool { return c.client.Err() != nil }

// attach has a server's connection closed when the client leaves, until detach is called, which tells
// whether that has not happened. What can't be repeated is left to end at its server: it may have had its
// effect there, and its client can't tell.
func (c *call) attach(to *serverConn) (detach func() bool) {
	if !c.route.Kind.Repeatable() {
		return func() bool { return true }
	}
	return context.AfterFunc(c.client, func() {
		to.Close()
		c.y.mu.Lock()
		defer c.y.mu.Unlock()
		c.y.disconnects.brokenOff++
	})
}

// isDisconnect tells that an error of reading from a client means that the client has closed the
// connection or that the connection has broken, and not that its time was up or that what it sent
// can't be read.
func isDisconnect(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) {
		return true
	}
	var network net.Error
	return errors.As(err, &network) && !network.Timeout()
}

// disconnectFigures counts, since the process began, what became of requests whose clients left while
// these were in hand.
type disconnectFigures struct {
	connections int           // that were closed with requests in hand
	requests    int           // those requests
	sentAfter   int           // attempts that were sent to a server after their client had left
	brokenOff   int           // attempts that were ended at their server because their client had left
	ranOn       int           // requests that were in hand for longer than ranOnAfter behind it
	longest     time.Duration // that one was
}

// fields are the figures for a log line.
func (f *disconnectFigures) fields() logrus.Fields {
	return logrus.Fields{"connections": f.connections, "requests": f.requests, "sent_after": f.sentAfter,
		"broken_off": f.brokenOff, "ran_on": f.ranOn, "longest_ms": f.longest.Milliseconds()}
}

// countDisconnect counts a client that has left with requests in hand.
func (y *Proxy) countDisconnect(requests int) {
	if requests == 0 {
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.disconnects.connections++
	y.disconnects.requests += requests
}

// countRanOn counts a request that ends so long after its client has left.
func (y *Proxy) countRanOn(after time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	f := &y.disconnects
	f.longest = max(f.longest, after)
	if after > ranOnAfter {
		f.ranOn++
	}
}

// countSentAfter counts an attempt that is sent though its client has left.
func (c *call) countSentAfter() {
	if ago, left := c.client.since(); !left || ago < crossesWithin {
		return
	}
	c.y.mu.Lock()
	defer c.y.mu.Unlock()
	c.y.disconnects.sentAfter++
}
