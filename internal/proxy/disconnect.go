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

// overrunAfter is how long a request may stay in flight after its client has disconnected before it counts as an
// overrun.
const overrunAfter = 500 * time.Millisecond

// disconnectRaceWindow is how shortly after a disconnect an attempt may still go out because it was started
// before.
const disconnectRaceWindow = 10 * time.Millisecond

// clientContext is a context that is canceled when the client has closed its connection or the connection has
// broken. It also records when that was seen.
type clientContext struct {
	context.Context
	end context.CancelFunc

	mu     sync.Mutex
	leftAt time.Time // zero: not known to have left
}

func newClientContext() *clientContext {
	ctx, end := context.WithCancel(context.Background())
	return &clientContext{Context: ctx, end: end}
}

// markLeft records that the client has disconnected. Only the first call has an effect.
func (d *clientContext) markLeft() {
	d.mu.Lock()
	if d.leftAt.IsZero() {
		d.leftAt = time.Now()
	}
	d.mu.Unlock()
	d.end()
}

// sinceLeft returns how long ago the client disconnected; ok is false while it is connected.
func (d *clientContext) sinceLeft() (ago time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leftAt.IsZero() {
		return 0, false
	}
	return time.Since(d.leftAt), true
}

// statusClientClosed is the status under which requests of disconnected clients are counted. It is never sent.
const statusClientClosed = 499

// clientLeftAnswer returns the answer to a request whose client has disconnected.
func clientLeftAnswer() *answer { return &answer{status: statusClientClosed, reason: "client left"} }

// clientLeft reports whether the call's client has disconnected.
func (c *call) clientLeft() bool { return c.client.Err() != nil }

// closeOnDisconnect closes a server connection when the client disconnects, until detach is called. detach reports
// whether it was called before that. Requests that are not repeatable are left to finish at their server: they may
// already have taken effect, and the client cannot know.
func (c *call) closeOnDisconnect(conn *serverConn) (detach func() bool) {
	if !c.route.Kind.Repeatable() {
		return func() bool { return true }
	}
	return context.AfterFunc(c.client, func() {
		conn.Close()
		c.proxy.mu.Lock()
		defer c.proxy.mu.Unlock()
		c.proxy.disconnects.abortedAttempts++
	})
}

// isDisconnect reports whether an error from reading a client's connection means that the client closed it or that
// it broke, rather than a timeout or unreadable input.
func isDisconnect(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) {
		return true
	}
	var network net.Error
	return errors.As(err, &network) && !network.Timeout()
}

// disconnectStats counts, since the process started, the effects of clients that disconnected with requests in
// flight.
type disconnectStats struct {
	connections         int           // closed by the client with requests in flight
	requests            int           // requests in flight on these connections
	sentAfterDisconnect int           // attempts sent to a server after the client had disconnected
	abortedAttempts     int           // attempts aborted at their server because the client had disconnected
	overruns            int           // requests in flight for longer than overrunAfter after the disconnect
	longestOverrun      time.Duration // longest time that a request stayed in flight after the disconnect
}

// logFields returns the counters as log fields.
func (stats *disconnectStats) logFields() logrus.Fields {
	return logrus.Fields{"connections": stats.connections, "requests": stats.requests,
		"sent_after": stats.sentAfterDisconnect,
		"broken_off": stats.abortedAttempts, "ran_on": stats.overruns,
		"longest_ms": stats.longestOverrun.Milliseconds()}
}

// countDisconnect counts a client that disconnected with requests in flight.
func (proxy *Proxy) countDisconnect(requests int) {
	if requests == 0 {
		return
	}
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.disconnects.connections++
	proxy.disconnects.requests += requests
}

// countOverrun records a request that ended a time ago after its client disconnected.
func (proxy *Proxy) countOverrun(ago time.Duration) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	stats := &proxy.disconnects
	stats.longestOverrun = max(stats.longestOverrun, ago)
	if ago > overrunAfter {
		stats.overruns++
	}
}

// countSentAfterDisconnect counts an attempt that is sent although its client has disconnected.
func (c *call) countSentAfterDisconnect() {
	if ago, left := c.client.sinceLeft(); !left || ago < disconnectRaceWindow {
		return
	}
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.proxy.disconnects.sentAfterDisconnect++
}
