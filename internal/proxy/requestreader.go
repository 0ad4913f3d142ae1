package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"example.org/madderdrum/internal/framing"
	"example.org/madderdrum/internal/sockets"
)

// readAheadSlack is what may be read beyond a bound, as reads come in pieces.
const readAheadSlack = 4 << 10

var errHeadTooLong = errors.New("the head is too long")

// limited reads no more than is left, and has what it reads of a client looked at.
type limited struct {
	r     io.Reader
	left  int64
	heads *framing.Watch // nil: of a server
}

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

// idleStep is how often a reader that waits looks whether its connection is idle.
const idleStep = 4 * time.Second

// readEnd says why no further request is read from a connection.
type readEnd int

const (
	readsNoMore readEnd = iota // the limiter reads no further one
	clientGone                 // the client has closed the connection, or it has broken
)

// endOf is what an error of reading from a client means.
func endOf(err error) readEnd {
	if isDisconnect(err) {
		return clientGone
	}
	return readsNoMore
}

// clientLimits bound what a client may send, in bytes, and how long it may be idle.
type clientLimits struct {
	idle       time.Duration
	head, body int64
}

// clientLimits are those of the configuration in force.
func (y *Proxy) clientLimits() clientLimits {
	limits := clientLimits{idle: idleWithin, head: headMost, body: bodyMost}
	v := y.view.Load()
	if v == nil {
		return limits
	}
	most := v.table.Limits
	if most.IdleTimeout > 0 {
		limits.idle = most.IdleTimeout + time.Second
	}
	if most.Header > 0 {
		limits.head = most.Header
	}
	if most.Body > 0 {
		limits.body = most.Body
	}
	return limits
}

// clientRequest is a request as it was read.
type clientRequest struct {
	*http.Request
	body []byte  // or what is held of it
	rest *upload // the rest of a long body; nil: none
	// handOff says whether a server may have it.
	handOff handOff
}

// requestReader reads the requests of a connection.
type requestReader struct {
	y  *Proxy
	l  *pipeline
	in *bufio.Reader
	// limited is what in reads from.
	limited *limited
}

// readRequests takes in the requests of a connection.
func (y *Proxy) readRequests(l *pipeline) readEnd {
	from := &limited{r: l.conn, heads: &framing.Watch{}}
	q := &requestReader{y: y, l: l, in: bufio.NewReaderSize(from, 4<<10), limited: from}
	for {
		r, end := q.next()
		if r == nil {
			return end
		}
		if end, goesOn := q.begin(r); !goesOn {
			return end
		}
	}
}

// next reads a request. It returns nil, and why, if there is none.
func (q *requestReader) next() (*clientRequest, readEnd) {
	y, l := q.y, q.l
	limits := y.clientLimits()
	q.limited.left = limits.head + readAheadSlack
	if q.in.Buffered() == 0 {
		if err := awaitRequest(l, q.in, limits.idle); err != nil {
			return nil, endOf(err)
		}
	}
	l.conn.SetReadDeadline(time.Now().Add(headWithin))
	r, err := http.ReadRequest(q.in)
	if err != nil {
		return nil, q.unreadable(err)
	}
	if bad := misframed(r, q.limited.heads); bad != "" {
		y.turnAway(l, 400, bad)
		return nil, readsNoMore
	}
	if r.ContentLength > limits.body {
		y.turnAway(l, 413, errBodyTooLong.Error())
		return nil, readsNoMore
	}
	if r.ContentLength == 0 {
		return &clientRequest{Request: r}, readsNoMore
	}
	return q.readBody(r, limits.body)
}

// unreadable answers a head that can't be read, where its client is there to be answered.
func (q *requestReader) unreadable(err error) readEnd {
	var network net.Error
	switch {
	case errors.Is(err, errHeadTooLong):
		q.y.turnAway(q.l, 431, errHeadTooLong.Error())
	case isDisconnect(err), errors.As(err, &network):
	default:
		q.y.turnAway(q.l, 400, "the request can't be read")
	}
	return endOf(err)
}

// readBody reads a request's body, or as much of it as is held.
func (q *requestReader) readBody(r *http.Request, most int64) (*clientRequest, readEnd) {
	q.limited.left = most + most/8 + 64<<10
	q.l.conn.SetReadDeadline(time.Now().Add(bodyWithin))
	held := min(bodyHeld, most)
	body, err := io.ReadAll(io.LimitReader(r.Body, held+1))
	switch {
	case err != nil:
		return nil, endOf(err)
	case int64(len(body)) <= held:
		return &clientRequest{Request: r, body: body}, readsNoMore
	case held == most:
		q.y.turnAway(q.l, 413, errBodyTooLong.Error())
		return nil, readsNoMore
	}
	q.l.upload = newUpload(r, q.l.conn, most-int64(len(body)))
	return &clientRequest{Request: r, body: body, rest: q.l.upload}, readsNoMore
}

// begin has a request served, once fewer are in hand than may be. It tells whether another one may
// follow, and if not why.
func (q *requestReader) begin(r *clientRequest) (end readEnd, goesOn bool) {
	y, l := q.y, q.l
	if err := q.takePlace(r); err != nil {
		return endOf(err), false
	}
	if q.clientClosed(r) {
		y.count(unheard())
		return clientGone, false
	}
	y.awaitSettled()
	if y.intakeIsOver() {
		q.refuse(r)
		return readsNoMore, false
	}
	// Behind a long body the connection closes: how far it is read is not known when the answer is due.
	s := &slot{done: make(chan *answer, 1), end: r.Close || r.rest != nil, id: r.Header.Get(headerAttempt), read: time.Now(), handOff: &r.handOff}
	y.inHand.Add(1)
	if !l.enter(s) {
		y.inHand.Add(-1)
		return readsNoMore, false
	}
	y.countTaken(l, s)
	go func() {
		a := y.serve(l.client, r)
		if r.rest != nil {
			r.rest.finish()
		}
		if !r.handOff.revoked() {
			y.count(a)
		}
		s.done <- a
	}()
	if s.end {
		l.unread = r.rest != nil
	}
	return readsNoMore, !s.end
}

// takePlace waits until a request may be begun. Its error is that of reading from the client.
func (q *requestReader) takePlace(r *clientRequest) (err error) {
	if r.rest != nil {
		q.l.places <- struct{}{} // what stands behind the head is the body, and is not read ahead
		return nil
	}
	q.limited.left = readAheadMost + readAheadSlack
	q.in, err = q.l.takePlace(q.in)
	return err
}

// clientClosed tells that the client had closed the connection by the time that its request was read: nobody
// waits for the answer. The reader would see it with its next read, by when the request may be at a server.
func (q *requestReader) clientClosed(r *clientRequest) bool {
	return r.rest == nil && q.in.Buffered() == 0 && sockets.Closed(q.l.conn)
}

// refuse answers a request that has its place, but became whole after intake had ended: it has not run, and
// its client can have it served elsewhere.
func (q *requestReader) refuse(r *clientRequest) {
	if r.rest != nil {
		q.l.unread = true
		r.rest.finish()
	}
	a := &answer{status: http.StatusServiceUnavailable, retryAfter: leavingRetryAfter, why: "leaving"}
	if q.y.answerAtOnce(q.l, r.Header.Get(headerAttempt), a) {
		q.y.count(a)
	}
}

// errNoFurtherRequest tells that none is waited for: intake has ended, or the connection's last answer has
// been begun.
var errNoFurtherRequest = errors.New("no further request is taken")

// awaitRequest waits for the first byte of a request. A connection is idle while nothing is in hand. The
// error is that of reading from the client, or errNoFurtherRequest.
func awaitRequest(l *pipeline, in *bufio.Reader, idle time.Duration) error {
	defer l.endAwait()
	until := time.Now().Add(idle)
	for {
		step := time.Now().Add(idleStep)
		if until.Before(step) {
			step = until
		}
		if !l.beginAwait(step) {
			return errNoFurtherRequest
		}
		_, err := in.Peek(1)
		if err == nil {
			return nil
		}
		var network net.Error
		if !errors.As(err, &network) || !network.Timeout() {
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
func (y *Proxy) turnAway(l *pipeline, status int, why string) {
	l.unread = true
	l.places <- struct{}{}
	if y.answerAtOnce(l, "", &answer{status: status, why: why}) {
		y.warn("request is turned away", "", why)
	}
}

// answerAtOnce gives a request that has its place an answer without serving it; the connection closes behind
// it. It tells whether the connection had not ended before.
func (y *Proxy) answerAtOnce(l *pipeline, id string, a *answer) bool {
	s := &slot{done: make(chan *answer, 1), end: true, id: id}
	y.inHand.Add(1)
	if !l.enter(s) {
		y.inHand.Add(-1)
		return false
	}
	s.done <- a
	return true
}
