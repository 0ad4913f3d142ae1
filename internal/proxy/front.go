package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/internal/framing"
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
)

// answer is a final answer.
type answer struct {
	status     int
	retryAfter float64 // ms
	head       http.Header
	body       []byte
	stream     *passage // the rest of a long body
	why        string
	short      bool // only this limiter's part of a ceiling is
}

// client serves one connection: requests are read as they come and answered in their order. What
// is in hand when the client leaves ends with it, but for what can't be repeated and is at a server.
func (y *Proxy) client(c net.Conn) {
	l := newLane(c)
	defer l.client.end()
	written := make(chan struct{})
	go func() {
		defer close(written)
		y.writes(c, l)
		l.answered()
	}()
	end := y.reads(c, l)
	close(l.slots)
	if end == readsNoMore {
		end = l.watch()
	}
	if end == clientLeft {
		y.noteDeparture(l.inHand())
		l.client.leave()
		c.Close()
	}
	<-written
	if l.unread {
		linger(c)
	}
	c.Close()
}

// limited reads no more than is left, and has what it reads of a client looked at.
type limited struct {
	r     io.Reader
	left  int64
	heads *framing.Watch // nil: of a server
}

var errHeadTooLong = errors.New("the head is too long")

func (l *limited) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	if l.heads != nil {
		l.heads.Look(b[:n])
	}
	return n, err
}

// readEnd says why no further request is read from a connection.
type readEnd int

const (
	readsNoMore readEnd = iota // the limiter reads no further one
	clientLeft                 // the client has closed the connection, or it has broken
)

// endOf is what an error of reading from a client means.
func endOf(err error) readEnd {
	if tellsDeparture(err) {
		return clientLeft
	}
	return readsNoMore
}

// reads takes in the requests of a connection.
func (y *Proxy) reads(c net.Conn, l *lane) readEnd {
	lim := &limited{r: c, heads: &framing.Watch{}}
	in := bufio.NewReaderSize(lim, 4<<10)
	for {
		if y.closing.Load() && in.Buffered() == 0 {
			return readsNoMore
		}
		idle, headMax, bodyMax := idleWithin, int64(headMost), int64(bodyMost)
		if v := y.view.Load(); v != nil {
			most := v.table.Limits
			if most.IdleTimeout > 0 {
				idle = most.IdleTimeout + time.Second
			}
			if most.Header > 0 {
				headMax = most.Header
			}
			if most.Body > 0 {
				bodyMax = most.Body
			}
		}
		lim.left = headMax + 4<<10
		if err := y.awaits(l, in, idle); err != nil {
			return endOf(err)
		}
		c.SetReadDeadline(time.Now().Add(headWithin))
		r, err := http.ReadRequest(in)
		if err != nil {
			var network net.Error
			switch {
			case errors.Is(err, errHeadTooLong):
				y.turnAway(l, 431, "the head is too long")
			case tellsDeparture(err), errors.As(err, &network):
			default:
				y.turnAway(l, 400, "the request can't be read")
			}
			return endOf(err)
		}
		if bad := misframed(r, lim.heads); bad != "" {
			y.turnAway(l, 400, bad)
			return readsNoMore
		}
		if r.ContentLength > bodyMax {
			y.turnAway(l, 413, "the body is too long")
			return readsNoMore
		}
		var body []byte
		var rest *upload
		if r.ContentLength != 0 {
			lim.left = bodyMax + bodyMax/8 + 64<<10
			c.SetReadDeadline(time.Now().Add(bodyWithin))
			held := min(bodyHeld, bodyMax)
			body, err = io.ReadAll(io.LimitReader(r.Body, held+1))
			if err != nil {
				return endOf(err)
			}
			switch {
			case int64(len(body)) <= held:
			case held == bodyMax:
				y.turnAway(l, 413, "the body is too long")
				return readsNoMore
			default:
				rest = newUpload(r, c, bodyMax-int64(len(body)))
				l.upload = rest
			}
		}
		// Behind a long body the connection closes: how far it is read is not known when the answer
		// is due.
		s := &slot{done: make(chan *answer, 1), end: r.Close || rest != nil, id: r.Header.Get(headerAttempt)}
		if rest != nil {
			l.places <- struct{}{} // what stands behind the head is the body, and is not read ahead
		} else {
			lim.left = headMax + 4<<10
			if in, err = l.takePlace(in); err != nil {
				return endOf(err)
			}
		}
		y.inHand.Add(1)
		if !l.enter(s) {
			y.inHand.Add(-1)
			return readsNoMore
		}
		go func() {
			a := y.serve(l.client, r, body, rest)
			if rest != nil {
				rest.finish()
			}
			y.count(a)
			s.done <- a
		}()
		if s.end {
			l.unread = rest != nil
			return readsNoMore
		}
	}
}

// awaits waits for the first byte of a request. A connection is idle while nothing is in hand. When
// the limiter ends, one on which nothing was read closes. The error is that of reading from the client.
func (y *Proxy) awaits(l *lane, in *bufio.Reader, idle time.Duration) error {
	until := time.Now().Add(idle)
	for {
		step := until
		if soon := time.Now().Add(time.Second); y.leaving.Load() && soon.Before(step) {
			step = soon
		} else if soon := time.Now().Add(4 * time.Second); soon.Before(step) {
			step = soon
		}
		if y.closing.Load() {
			step = time.Unix(1, 0)
		}
		l.conn.SetReadDeadline(step)
		_, err := in.Peek(1)
		if err == nil {
			return nil
		}
		var network net.Error
		if !errors.As(err, &network) || !network.Timeout() || y.closing.Load() {
			return err
		}
		if l.inHand() > 0 {
			until = time.Now().Add(idle)
		}
		if !time.Now().Before(until) {
			return err
		}
	}
}

// misframed tells what is wrong with a request that might be read otherwise by another.
func misframed(r *http.Request, heads *framing.Watch) string {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return "HTTP/1.1 is needed"
	case len(r.TransferEncoding) > 0 && heads.Both():
		return "Content-Length and Transfer-Encoding exclude each other"
	case !strings.HasPrefix(r.RequestURI, "/"):
		return "the target is not a path"
	}
	return ""
}

// turnAway answers what can't be read; the connection closes behind it.
func (y *Proxy) turnAway(l *lane, status int, why string) {
	l.unread = true
	s := &slot{done: make(chan *answer, 1), end: true}
	l.places <- struct{}{}
	y.inHand.Add(1)
	if !l.enter(s) {
		y.inHand.Add(-1)
		return
	}
	s.done <- &answer{status: status, why: why}
	y.warn("request is turned away", "", why)
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

// writes answers the requests of a connection in their order.
func (y *Proxy) writes(c net.Conn, l *lane) {
	over := false
	for s := range l.slots {
		a := <-s.done
		if after, left := l.client.since(); left {
			y.noteEnded(after)
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

// hangUp tells a client that nothing more comes. What it has sent behind its last request is
// left to the reader: closing with bytes unread would take the answer with it.
func hangUp(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(hangUpWithin))
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
