package proxy

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"example.org/madderdrum/internal/sockets"
)

const (
	headerAttempt     = "X-Madderdrum-Attempt-Id"
	headerDeadline    = "X-Madderdrum-Deadline-Ms"
	headerCredential  = "X-Madderdrum-Credential"
	headerTenant      = "X-Madderdrum-Tenant"
	headerTarget      = "X-Madderdrum-Target-Instance"
	headerSeal        = "X-Madderdrum-Server-Seal"
	headerNotExecuted = "X-Madderdrum-Not-Executed"

	maxPipelined  = 8 // requests in flight on one connection
	maxHeadBytes  = 64 << 10
	maxBodyBytes  = 64 << 20 // if the configuration has no limit
	headTimeout   = 5 * time.Second
	idleTimeout   = 60 * time.Second
	bodyTimeout   = 20 * time.Second
	writeTimeout  = 10 * time.Second
	lingerTimeout = time.Second

	leavingRetryAfterMs = 10.0 // short: other limiters can take the request at once
)

// answer is the final answer to a client's request.
type answer struct {
	status       int
	retryAfterMs float64 // 0: no Retry-After header
	head         http.Header
	body         []byte
	stream       *answerStream // remainder of a long body; nil: body is complete
	reason       string
	shareShort   bool // the tenant is within its ceiling, but this limiter's part of it is used up
}

// serveConnection serves one client connection. It reads requests as they arrive and answers them in order. When
// the client disconnects, its requests in flight are abandoned, except those that are not repeatable and have
// already reached a server.
func (proxy *Proxy) serveConnection(c net.Conn) {
	pipe := newPipeline(c)
	proxy.clients.add(pipe)
	defer proxy.clients.remove(pipe)
	if proxy.intakeEnded() { // intake ended before the connection was registered
		pipe.stopIntake()
	}
	defer pipe.client.end()
	written := make(chan struct{})
	go func() {
		defer close(written)
		proxy.writeAnswers(c, pipe)
		pipe.markAllWritten()
	}()
	end := proxy.readRequests(pipe)
	close(pipe.queue)
	if end == readingStopped {
		end = pipe.watchClient()
	}
	if end == clientGone {
		proxy.countDisconnect(pipe.inFlight())
		pipe.client.markLeft()
		c.Close()
	}
	<-written
	if pipe.unreadInput || pipe.isClosing() {
		sockets.Linger(c, func(passed time.Duration) bool {
			// The answer to an upload may have come long before the end of its body.
			if pipe.upload != nil && !proxy.leaving.Load() {
				return passed < bodyTimeout
			}
			return passed < lingerTimeout
		})
	}
	c.Close()
}

// warnLimited logs a warning about bad input, at most one per second.
func (proxy *Proxy) warnLimited(text, id, reason string) {
	proxy.mu.Lock()
	due := time.Since(proxy.lastWarning) > time.Second
	if due {
		proxy.lastWarning = time.Now()
	}
	proxy.mu.Unlock()
	if due {
		proxy.log.WithField("id", id).WithField("why", reason).Warn(text)
	}
}

// writeAnswers writes the answers of a connection in the order of its requests.
func (proxy *Proxy) writeAnswers(c net.Conn, pipe *pipeline) {
	stopped := false
	for req := range pipe.queue {
		a := proxy.awaitAnswer(req)
		if ago, left := pipe.client.sinceLeft(); left {
			proxy.countOverrun(ago)
			stopped = true
		}
		last := pipe.startAnswer(req, proxy.leaving.Load())
		switch {
		case stopped && a.stream != nil:
			a.stream.abort()
		case stopped:
		case !proxy.writeAnswer(c, req, a, last):
			stopped = true
			c.Close()
		case last:
			stopped = true
			sockets.CloseWrite(c)
		}
		proxy.inFlight.Add(-1)
		pipe.releasePermit()
	}
}

// awaitAnswer waits for the answer to a request. If the process exits first, it returns an answer that says so.
func (proxy *Proxy) awaitAnswer(req *pendingRequest) *answer {
	select {
	case a := <-req.done:
		return a
	case <-proxy.exiting:
	}
	select {
	case a := <-req.done:
		return a
	default:
	}
	if req.handOff == nil {
		return <-req.done // rejected without being served: its answer is already there
	}
	a := req.handOff.answerAtExit()
	proxy.countCutOff(a)
	return a
}

// writeAnswer writes one answer and reports whether the connection can still be used.
func (proxy *Proxy) writeAnswer(c net.Conn, req *pendingRequest, a *answer, closing bool) bool {
	out := make([]byte, 0, 512+min(len(a.body), 64<<10))
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(a.status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(a.status)...)
	out = append(out, "\r\n"...)
	if req.id != "" && a.head == nil {
		out = appendHeader(out, headerAttempt, req.id)
	}
	for k, vs := range a.head {
		for _, v := range vs {
			out = appendHeader(out, k, v)
		}
	}
	if a.retryAfterMs > 0 {
		out = appendHeader(out, "Retry-After", strconv.FormatFloat(a.retryAfterMs/1000, 'f', 3, 64))
	}
	if closing {
		out = appendHeader(out, "Connection", "close")
	}
	if a.head == nil && a.body == nil && a.reason != "" {
		a.body = []byte(a.reason + "\n")
		out = appendHeader(out, "Content-Type", "text/plain; charset=utf-8")
	}
	length := int64(len(a.body))
	if a.stream != nil {
		length = a.stream.length
	}
	out = appendHeader(out, "Content-Length", strconv.FormatInt(length, 10))
	out = append(append(out, "\r\n"...), a.body...)
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := proxy.link.writeAnswer(c, out)
	if a.stream != nil {
		if err != nil {
			a.stream.abort()
		} else if err = a.stream.copyTo(c); err != nil {
			c.Close() // the client sees fewer bytes than Content-Length announced
		}
	}
	return err == nil
}

func appendHeader(out []byte, name, value string) []byte {
	out = append(append(out, name...), ": "...)
	return append(append(out, value...), "\r\n"...)
}
