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

// readAheadSlack is added to input limits, because reads return whole buffers.
const readAheadSlack = 4 << 10

var errHeadTooLong = errors.New("the head is too long")

// limitedReader reads at most remaining bytes. It passes bytes read from clients to the framing check.
type limitedReader struct {
	r            io.Reader
	remaining    int64
	framingWatch *framing.Watch // nil: reads from a server
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	if l.framingWatch != nil {
		l.framingWatch.Scan(b[:n])
	}
	return n, err
}

// idlePollInterval is how often a waiting reader checks whether its connection is idle.
const idlePollInterval = 4 * time.Second

// readEnd is the reason why no further request is read from a connection.
type readEnd int

const (
	readingStopped readEnd = iota // the limiter reads no further request
	clientGone                    // the client closed the connection, or it broke
)

// readEndFor returns the reason that an error from reading a client's connection stands for.
func readEndFor(err error) readEnd {
	if isDisconnect(err) {
		return clientGone
	}
	return readingStopped
}

// clientLimits bounds the size in bytes of what a client may send, and its idle time.
type clientLimits struct {
	idle       time.Duration
	head, body int64
}

// clientLimits returns the limits of the configuration in force.
func (proxy *Proxy) clientLimits() clientLimits {
	limits := clientLimits{idle: idleTimeout, head: maxHeadBytes, body: maxBodyBytes}
	config := proxy.configSnapshot.Load()
	if config == nil {
		return limits
	}
	configured := config.table.Limits
	if configured.IdleTimeout > 0 {
		limits.idle = configured.IdleTimeout + time.Second
	}
	if configured.MaxHeaderBytes > 0 {
		limits.head = configured.MaxHeaderBytes
	}
	if configured.MaxBodyBytes > 0 {
		limits.body = configured.MaxBodyBytes
	}
	return limits
}

// clientRequest is a request as read from the client.
type clientRequest struct {
	*http.Request
	body []byte  // complete, or its first part if rest is set
	rest *upload // remainder of a long body; nil: none
	// handOff records whether a server may have received the request.
	handOff handOff
}

// requestReader reads the requests of one connection.
type requestReader struct {
	proxy *Proxy
	pipe  *pipeline
	in    *bufio.Reader
	// limited is the reader that in buffers.
	limitedReader *limitedReader
}

// readRequests reads and starts the requests of a connection.
func (proxy *Proxy) readRequests(pipe *pipeline) readEnd {
	from := &limitedReader{r: pipe.conn, framingWatch: &framing.Watch{}}
	q := &requestReader{proxy: proxy, pipe: pipe, in: bufio.NewReaderSize(from, 4<<10), limitedReader: from}
	for {
		r, end := q.next()
		if r == nil {
			return end
		}
		if end, keepReading := q.start(r); !keepReading {
			return end
		}
	}
}

// next reads a request. It returns nil and the reason if there is none.
func (q *requestReader) next() (*clientRequest, readEnd) {
	proxy, pipe := q.proxy, q.pipe
	limits := proxy.clientLimits()
	q.limitedReader.remaining = limits.head + readAheadSlack
	if q.in.Buffered() == 0 {
		if err := awaitRequest(pipe, q.in, limits.idle); err != nil {
			return nil, readEndFor(err)
		}
	}
	pipe.conn.SetReadDeadline(time.Now().Add(headTimeout))
	r, err := http.ReadRequest(q.in)
	if err != nil {
		return nil, q.rejectUnreadable(err)
	}
	if problem := framingError(r, q.limitedReader.framingWatch); problem != "" {
		proxy.reject(pipe, 400, problem)
		return nil, readingStopped
	}
	if r.ContentLength > limits.body {
		proxy.reject(pipe, 413, errBodyTooLong.Error())
		return nil, readingStopped
	}
	if r.ContentLength == 0 {
		return &clientRequest{Request: r}, readingStopped
	}
	return q.readBody(r, limits.body)
}

// rejectUnreadable answers a request head that cannot be parsed, unless the client is gone.
func (q *requestReader) rejectUnreadable(err error) readEnd {
	var network net.Error
	switch {
	case errors.Is(err, errHeadTooLong):
		q.proxy.reject(q.pipe, 431, errHeadTooLong.Error())
	case isDisconnect(err), errors.As(err, &network):
	default:
		q.proxy.reject(q.pipe, 400, "the request can't be read")
	}
	return readEndFor(err)
}

// readBody reads a request's body, or its first part if it is longer than maxHeldBody.
func (q *requestReader) readBody(r *http.Request, limit int64) (*clientRequest, readEnd) {
	q.limitedReader.remaining = limit + limit/8 + 64<<10
	q.pipe.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	held := min(maxHeldBody, limit)
	body, err := io.ReadAll(io.LimitReader(r.Body, held+1))
	switch {
	case err != nil:
		return nil, readEndFor(err)
	case int64(len(body)) <= held:
		return &clientRequest{Request: r, body: body}, readingStopped
	case held == limit:
		q.proxy.reject(q.pipe, 413, errBodyTooLong.Error())
		return nil, readingStopped
	}
	q.pipe.upload = newUpload(r, q.pipe.conn, limit-int64(len(body)))
	return &clientRequest{Request: r, body: body, rest: q.pipe.upload}, readingStopped
}

// start starts serving a request once a permit is free. It reports whether another request may follow and, if not,
// why.
func (q *requestReader) start(r *clientRequest) (end readEnd, keepReading bool) {
	proxy, pipe := q.proxy, q.pipe
	if err := q.acquirePermit(r); err != nil {
		return readEndFor(err), false
	}
	if q.clientClosed(r) {
		proxy.countAnswer(clientLeftAnswer())
		return clientGone, false
	}
	proxy.awaitSettled()
	if proxy.intakeEnded() {
		q.refuseLate(r)
		return readingStopped, false
	}
	// After a long body the connection closes, because the answer may be due before the body has been read to its
	// end.
	req := &pendingRequest{done: make(chan *answer, 1), end: r.Close || r.rest != nil,
		id: r.Header.Get(headerAttempt), readAt: time.Now(), handOff: &r.handOff}
	proxy.inFlight.Add(1)
	if !pipe.enqueue(req) {
		proxy.inFlight.Add(-1)
		return readingStopped, false
	}
	proxy.countAccepted(pipe, req)
	go func() {
		a := proxy.serve(pipe.client, r)
		if r.rest != nil && a.stream == nil { // a stream's request may still be written; its end finishes the upload
			r.rest.finish()
		}
		switch {
		case !r.handOff.revoked():
			proxy.countAnswer(a)
		case a.stream != nil: // nobody copies it
			a.stream.abort()
		}
		req.done <- a
	}()
	if req.end {
		pipe.unreadInput = r.rest != nil
	}
	return readingStopped, !req.end
}

// acquirePermit waits until a request may be started. The error is that of reading from the client.
func (q *requestReader) acquirePermit(r *clientRequest) (err error) {
	if r.rest != nil {
		q.pipe.permits <- struct{}{} // the body follows the head, so nothing is read ahead
		return nil
	}
	q.limitedReader.remaining = maxReadAhead + readAheadSlack
	q.in, err = q.pipe.acquirePermit(q.in)
	return err
}

// clientClosed reports whether the client had closed the connection when its request had been read, so nobody
// waits for the answer. The reader would notice only at its next read, when the request may already be at a
// server.
func (q *requestReader) clientClosed(r *clientRequest) bool {
	return r.rest == nil && q.in.Buffered() == 0 && sockets.IsClosed(q.pipe.conn)
}

// refuseLate answers a request that has its permit but was complete only after the end of intake. It was not
// executed, and the client can send it to another limiter.
func (q *requestReader) refuseLate(r *clientRequest) {
	if r.rest != nil {
		q.pipe.unreadInput = true
		r.rest.finish()
	}
	a := &answer{status: http.StatusServiceUnavailable, retryAfterMs: leavingRetryAfterMs, reason: "leaving"}
	if q.proxy.answerAtOnce(q.pipe, r.Header.Get(headerAttempt), a) {
		q.proxy.countAnswer(a)
	}
}

// errNoFurtherRequest is returned when no request is awaited: intake has ended, or the connection's last answer
// has been started.
var errNoFurtherRequest = errors.New("no further request is accepted")

// awaitRequest waits for the first byte of a request. The idle time counts only while no request is in flight. The
// error is that of reading from the client, or errNoFurtherRequest.
func awaitRequest(pipe *pipeline, in *bufio.Reader, idle time.Duration) error {
	defer pipe.endAwait()
	idleDeadline := time.Now().Add(idle)
	for {
		pollDeadline := time.Now().Add(idlePollInterval)
		if idleDeadline.Before(pollDeadline) {
			pollDeadline = idleDeadline
		}
		if !pipe.beginAwait(pollDeadline) {
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
		if pipe.inFlight() > 0 {
			idleDeadline = time.Now().Add(idle)
		}
		if !time.Now().Before(idleDeadline) {
			return err
		}
	}
}

// framingError describes what is wrong with a request that another HTTP implementation might parse differently. It
// returns "" if there is nothing.
func framingError(r *http.Request, watch *framing.Watch) string {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return "HTTP/1.1 is needed"
	case len(r.TransferEncoding) > 0 && watch.HasBothLengths():
		return "Content-Length and Transfer-Encoding exclude each other"
	case hasBlankInName(r.Header):
		return "a field's name holds a blank"
	case !strings.HasPrefix(r.RequestURI, "/"):
		return "the target is not a path"
	}
	return ""
}

// hasBlankInName reports whether a field's name holds a blank, the one forbidden byte that net/http lets pass (RFC 9112,
// section 5.1). A server may read such a line as Content-Length or Transfer-Encoding.
func hasBlankInName(fields http.Header) bool {
	for name := range fields {
		if strings.Contains(name, " ") {
			return true
		}
	}
	return false
}

// reject answers input that is not a valid request; the connection closes after the answer.
func (proxy *Proxy) reject(pipe *pipeline, status int, reason string) {
	pipe.unreadInput = true
	pipe.permits <- struct{}{}
	if proxy.answerAtOnce(pipe, "", &answer{status: status, reason: reason}) {
		proxy.warnLimited("request is turned away", "", reason)
	}
}

// answerAtOnce answers a request that has its permit without serving it; the connection closes after the answer.
// It returns false if the connection's last answer had already been started.
func (proxy *Proxy) answerAtOnce(pipe *pipeline, id string, a *answer) bool {
	req := &pendingRequest{done: make(chan *answer, 1), end: true, id: id}
	proxy.inFlight.Add(1)
	if !pipe.enqueue(req) {
		proxy.inFlight.Add(-1)
		return false
	}
	req.done <- a
	return true
}
