package proxy

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	headerAttempt    = "X-Madderdrum-Attempt-Id"
	headerDeadline   = "X-Madderdrum-Deadline-Ms"
	headerCredential = "X-Madderdrum-Credential"
	headerTenant     = "X-Madderdrum-Tenant"
	headerTarget     = "X-Madderdrum-Target-Instance"
	headerSeal       = "X-Madderdrum-Server-Seal"
	headerUnrun      = "X-Madderdrum-Not-Executed"

	pipelineMost = 8 // requests of one connection in hand
	headMost     = 64 << 10
	bodyMost     = 64 << 20 // where the configuration names no limit
	headWithin   = 5 * time.Second
	idleWithin   = 60 * time.Second
	bodyWithin   = 20 * time.Second
	writeWithin  = 10 * time.Second
	hangUpWithin = time.Second

	leavingRetryAfter = 10.0 // ms: other limiters can have the request at once
)

// answer is a final answer.
type answer struct {
	status     int
	retryAfter float64 // ms
	head       http.Header
	body       []byte
	stream     *answerStream // the rest of a long body
	why        string
	short      bool // only this limiter's part of a ceiling is
}

// serveConnection serves one connection: requests are read as they come and answered in their order. What
// is in hand when the client leaves ends with it, but for what can't be repeated and is at a server.
func (y *Proxy) serveConnection(c net.Conn) {
	l := newPipeline(c)
	y.clients.add(l)
	defer y.clients.remove(l)
	if y.intakeIsOver() { // it was stopped before this connection was known
		l.stopIntake()
	}
	defer l.client.end()
	written := make(chan struct{})
	go func() {
		defer close(written)
		y.writeAnswers(c, l)
		l.answered()
	}()
	end := y.readRequests(l)
	close(l.slots)
	if end == readsNoMore {
		end = l.watch()
	}
	if end == clientGone {
		y.countDisconnect(l.inHand())
		l.client.mark()
		c.Close()
	}
	<-written
	if l.unread || l.hungUp() {
		linger(c)
	}
	c.Close()
}

// warn logs bad input at a bounded rate.
func (y *Proxy) warn(text, id, why string) {
	y.mu.Lock()
	due := time.Since(y.logged) > time.Second
	if due {
		y.logged = time.Now()
	}
	y.mu.Unlock()
	if due {
		y.log.WithField("id", id).WithField("why", why).Warn(text)
	}
}

// writeAnswers answers the requests of a connection in their order.
func (y *Proxy) writeAnswers(c net.Conn, l *pipeline) {
	over := false
	for s := range l.slots {
		a := y.awaitAnswer(s)
		if after, left := l.client.since(); left {
			y.countRanOn(after)
			over = true
		}
		end := l.last(s, y.leaving.Load())
		switch {
		case over && a.stream != nil:
			a.stream.drop()
		case over:
		case !y.write(c, s, a, end):
			over = true
			c.Close()
		case end:
			over = true
			hangUp(c)
		}
		y.inHand.Add(-1)
		l.freePlace()
	}
}

// awaitAnswer waits for a request's answer. At the end of the process it is one that tells so.
func (y *Proxy) awaitAnswer(s *slot) *answer {
	select {
	case a := <-s.done:
		return a
	case <-y.exiting:
	}
	select {
	case a := <-s.done:
		return a
	default:
	}
	if s.handOff == nil {
		return <-s.done // it was answered at once
	}
	a := s.handOff.answerAtExit()
	y.countCutOff(a)
	return a
}

// hangUp tells a client that nothing more comes. What it sends behind that is taken in for a while: closing
// with bytes unread would take the answer with it.
func hangUp(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// write writes one answer and tells that the connection can go on.
func (y *Proxy) write(c net.Conn, s *slot, a *answer, end bool) bool {
	out := make([]byte, 0, 512+min(len(a.body), 64<<10))
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(a.status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(a.status)...)
	out = append(out, "\r\n"...)
	if s.id != "" && a.head == nil {
		out = appendHeader(out, headerAttempt, s.id)
	}
	for k, vs := range a.head {
		for _, v := range vs {
			out = appendHeader(out, k, v)
		}
	}
	if a.retryAfter > 0 {
		out = appendHeader(out, "Retry-After", strconv.FormatFloat(a.retryAfter/1000, 'f', 3, 64))
	}
	if end {
		out = appendHeader(out, "Connection", "close")
	}
	if a.head == nil && a.body == nil && a.why != "" {
		a.body = []byte(a.why + "\n")
		out = appendHeader(out, "Content-Type", "text/plain; charset=utf-8")
	}
	length := int64(len(a.body))
	if a.stream != nil {
		length = a.stream.length
	}
	out = appendHeader(out, "Content-Length", strconv.FormatInt(length, 10))
	out = append(append(out, "\r\n"...), a.body...)
	c.SetWriteDeadline(time.Now().Add(writeWithin))
	err := y.link.write(c, out)
	if a.stream != nil {
		if err != nil {
			a.stream.drop()
		} else if err = a.stream.copy(c); err != nil {
			c.Close() // before the end that was announced
		}
	}
	return err == nil
}

func appendHeader(out []byte, name, value string) []byte {
	out = append(append(out, name...), ": "...)
	return append(append(out, value...), "\r\n"...)
}
