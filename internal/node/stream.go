package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"example.org/madderdrum/limiter"
)

// Of a body longer than maxHeldBody only the beginning is held; the rest is streamed.
const (
	// maxBodyBytes limits a body: the longest ones of clients and servers have 32 MB.
	maxBodyBytes = 64 << 20
	bufferSize   = 32 << 10
	// A client must send its next byte within bodyReadTimeout, and minBodyRate on average: the slowest clients
	// write 64 kB a second.
	bodyReadTimeout = 2 * time.Second
	minBodyRate     = 32 << 10 // bytes per second
	// A peer that neither accepts nor sends a byte of a long body for stallTimeout is given up; some pause for
	// seconds.
	stallTimeout = 10 * time.Second
	// An answer of unknown length is streamed once maxHeldBody bytes of it have arrived, or this much time has
	// passed since its header: most are complete by then, and can be retried if they are not.
	streamAfter = 100 * time.Millisecond
	// maxDiscardedBody and discardTimeout limit how much is still read of a body whose request was answered
	// without it: a connection that is closed while its client is writing is reset, and the answer may be lost
	// with it. One write of the slowest client takes less.
	maxDiscardedBody = 256 << 10
	discardTimeout   = 500 * time.Millisecond
	// heldBodyShare is the fraction of the memory limit for held bodies.
	heldBodyShare = 0.25
	// progressInterval is how often the module is notified that a long request is making progress.
	progressInterval = 200 * time.Millisecond
)

// buffers are for one direction of a stream each.
var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// setHeldBodyLimit limits held bodies for a process that uses the given share of the memory limit.
func (n *Node) setHeldBodyLimit(share float64) {
	n.maxHeldBytes.Store(int64(share * heldBodyShare * float64(n.cfg.Limits.MemoryMB<<20)))
}

// reserveBody reserves memory for a held body, and reports whether it was available.
func (n *Node) reserveBody(bytes int64) bool {
	if n.heldBytes.Add(bytes) > n.maxHeldBytes.Load() && n.maxHeldBytes.Load() > 0 {
		n.heldBytes.Add(-bytes)
		return false
	}
	return true
}

// upload is the body of a client's request. It gives up on a client that stalls or is too slow. It is used by
// the request's goroutine only.
type upload struct {
	body      io.Reader
	ctl       *http.ResponseController
	start     time.Time
	received  int64
	limit     int64 // maximum size for the route
	remaining int64 // bytes that follow the held ones; -1: unknown
	held      int64 // bytes that are held
	complete  bool
	err       error // why reading failed
}

var errBodyTooLong = &requestError{http.StatusRequestEntityTooLarge, "the body is too long"}

// readDeadline returns until when to wait for the next byte.
func (u *upload) readDeadline(now time.Time) time.Time {
	readDeadline := now.Add(bodyReadTimeout)
	if slowest := u.start.Add(bodyReadTimeout + time.Duration(u.received)*time.Second/minBodyRate); slowest.Before(readDeadline) {
		return slowest
	}
	return readDeadline
}

// Read reads the next part of the body.
func (u *upload) Read(b []byte) (int, error) {
	if u.complete {
		return 0, io.EOF
	}
	if u.err != nil {
		return 0, u.err
	}
	if err := u.ctl.SetReadDeadline(u.readDeadline(time.Now())); err != nil {
		u.err = err
		return 0, err
	}
	n, err := u.body.Read(b)
	u.received += int64(n)
	switch {
	case u.received > u.limit:
		u.err = errBodyTooLong
	case err == io.EOF:
		// Clear the deadline: when it passes, net/http would consider the client gone.
		u.complete = true
		if err := u.ctl.SetReadDeadline(time.Time{}); err != nil {
			u.err = err
		}
	case err != nil:
		u.err = &requestError{http.StatusRequestTimeout, "the body did not come"}
	}
	if u.err != nil {
		return n, u.err
	}
	return n, err
}

// readBody reads the body of a request, or the beginning of a long one. releaseBody returns the memory that it
// reserves.
func (n *Node) readBody(w http.ResponseWriter, hr *http.Request, r *request, arrived time.Time) error {
	if hr.ContentLength == 0 {
		return nil
	}
	limit := int64(maxBodyBytes)
	if r.destination.MaxBody >= 0 {
		limit = min(limit, r.destination.MaxBody)
	}
	u := &upload{body: hr.Body, ctl: http.NewResponseController(w), start: arrived, limit: limit, remaining: -1}
	size := int64(maxHeldBody)
	if hr.ContentLength > 0 {
		size = min(size, hr.ContentLength)
		u.remaining = hr.ContentLength - size
	}
	if !n.reserveBody(size) {
		return errAtCapacity
	}
	r.reservedBytes = size
	buf := make([]byte, size)
	filled := 0
	for filled < len(buf) && !u.complete {
		k, err := u.Read(buf[filled:])
		if filled += k; err != nil && err != io.EOF {
			return err
		}
	}
	r.body = buf[:filled]
	u.held = int64(filled)
	if filled > 0 && hr.Method == http.MethodGet {
		return badRequestf("this class has no body")
	}
	if u.remaining == 0 && !u.complete { // net/http reports EOF only after the last byte
		if _, err := u.Read(make([]byte, 1)); err != io.EOF {
			return err
		}
	}
	if !u.complete {
		r.bodyRest = u
	}
	r.deadline = r.deadline.Add(time.Since(arrived)) // the time limit is counted from the last byte
	return nil
}

// releaseBody returns the memory reserved for a request.
func (n *Node) releaseBody(r *request) { n.heldBytes.Add(-r.reservedBytes) }

// consumed reports whether part of the body was read that is not held: the request can't be retried.
func (u *upload) consumed() bool { return u.received > u.held }

// discard reads the rest of a body that is not needed, as its client may read the answer only after it has
// written everything.
func (u *upload) discard() {
	b := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(b)
	for {
		if _, err := u.Read(b[:]); err != nil {
			return
		}
	}
}

// hooks are callbacks during an exchange; each may be nil.
type hooks struct {
	progress       func()           // part of a long request was written
	requestWritten func() time.Time // the last byte was written; returns a new deadline for the answer, or zero
}

// errEarlyAnswer is returned when a server has answered, or closed the connection, before it received the
// complete request.
var errEarlyAnswer = errors.New("the server did not wait for the whole request")

// deadlineWriter writes a long request. Each write has a deadline of its own, and fails once the server has
// sent something.
type deadlineWriter struct {
	c       *conn
	started bool
	hooks   *hooks
}

func (p *deadlineWriter) Write(b []byte) (int, error) {
	if p.started && !p.c.quiet() {
		return 0, errEarlyAnswer
	}
	p.started = true
	if err := p.c.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, err
	}
	n, err := p.c.Write(b)
	if p.hooks.progress != nil {
		p.hooks.progress()
	}
	return n, err
}

// writeLong writes a request whose body is not held completely.
func (c *conn) writeLong(req *http.Request, call *call, h *hooks) error {
	req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(call.body), call.bodyRest))
	if req.ContentLength = -1; call.bodyRest.remaining >= 0 {
		req.ContentLength = int64(len(call.body)) + call.bodyRest.remaining
	} else {
		req.TransferEncoding = []string{"chunked"}
	}
	out := bufio.NewWriterSize(&deadlineWriter{c: c, hooks: h}, bufferSize)
	if err := req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// answerStream is an answer that is forwarded while it is received.
type answerStream struct {
	resp   *http.Response
	conn   *conn
	prefix []byte // the part of the body that was already read
	length int64  // -1: unknown
}

// readAnswer reads a short body, or the beginning of a long one, for which it returns a stream.
func (c *conn) readAnswer(resp *http.Response, deadline time.Time) (body []byte, stream *answerStream, err error) {
	length := resp.ContentLength
	switch ok := resp.StatusCode == http.StatusOK; {
	case ok && length > maxBodyBytes, !ok && length > maxHeldBody:
		return nil, nil, errAnswerTooLong
	case !ok:
		return nil, nil, c.dropAnswer(resp, deadline)
	case length > maxHeldBody:
		return nil, &answerStream{resp: resp, conn: c, length: length}, nil
	case length >= 0:
		body, err = c.readKnown(resp, deadline)
		return body, nil, err
	}
	return c.readUnknown(resp, deadline)
}

// dropAnswer reads and discards a body.
func (c *conn) dropAnswer(resp *http.Response, deadline time.Time) error {
	if err := c.SetReadDeadline(nextByteDeadline(deadline)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeldBody+1))
	if n > maxHeldBody {
		return errAnswerTooLong
	}
	return err
}

// readKnown reads a short body of known length.
func (c *conn) readKnown(resp *http.Response, deadline time.Time) ([]byte, error) {
	body := make([]byte, resp.ContentLength)
	for filled := 0; filled < len(body); {
		if err := c.SetReadDeadline(nextByteDeadline(deadline)); err != nil {
			return nil, err
		}
		k, err := resp.Body.Read(body[filled:])
		if filled += k; err != nil && filled < len(body) {
			return nil, err
		}
	}
	return body, nil
}

// readUnknown reads a body of unknown length, or its beginning if it takes long.
func (c *conn) readUnknown(resp *http.Response, deadline time.Time) (body []byte, stream *answerStream, err error) {
	started, limit := time.Now(), nextByteDeadline(deadline)
	body = make([]byte, 0, 4<<10)
	for len(body) < maxHeldBody {
		if c.reader.Buffered() == 0 {
			if err := c.SetReadDeadline(started.Add(streamAfter)); err != nil {
				return nil, nil, err
			}
			if _, err := c.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
				if len(body) > 0 {
					break
				}
				if started = started.Add(streamAfter); started.After(limit) { // there is time for another attempt
					return nil, nil, err
				}
				continue
			}
		}
		if err := c.SetReadDeadline(nextByteDeadline(deadline)); err != nil {
			return nil, nil, err
		}
		if len(body) == cap(body) {
			body = slices.Grow(body, len(body))
		}
		k, err := resp.Body.Read(body[len(body):min(cap(body), maxHeldBody)])
		body = body[:len(body)+k]
		if err == io.EOF {
			return body, nil, nil
		}
		if err != nil {
			return nil, nil, err
		}
	}
	return nil, &answerStream{resp: resp, conn: c, prefix: body, length: -1}, nil
}

// nextByteDeadline returns until when to wait for the next byte of an answer that has begun; it leaves time for
// another attempt.
func nextByteDeadline(deadline time.Time) time.Time {
	now := time.Now()
	return now.Add(min(nextByteTimeout, deadline.Sub(now)/nextByteDivisor))
}

// stream forwards a long answer as it arrives, at the pace of its client, and reports the result to the module.
// An answer that breaks off is forwarded as such: the client's connection is closed before the announced end.
func (n *Node) stream(w http.ResponseWriter, r *request, a *answer) (complete bool) {
	s, ctl := a.stream, http.NewResponseController(w)
	n.setAnswerHeaders(w, a)
	if s.length >= 0 {
		w.Header()["Content-Length"] = []string{itoa(s.length)}
	}
	w.WriteHeader(a.status)
	result := limiter.Undone // for a client that does not accept the answer
	buf := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buf)
	s.conn.src.remaining = maxBodyBytes + maxBodyBytes/8 // with chunk framing
	chunk, err, total := s.prefix, error(nil), int64(0)
	for {
		if len(chunk) > 0 {
			ctl.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, err := w.Write(chunk); err != nil {
				break
			}
			if err := ctl.Flush(); err != nil {
				break
			}
		}
		if total += int64(len(chunk)); err == io.EOF {
			result, complete = limiter.Pass, s.length < 0 || total == s.length
			break
		}
		if err != nil || total > maxBodyBytes {
			result = limiter.Spoilt // doesn't count against the server
			if s.conn.src.connErr != nil {
				result = limiter.Cut
			}
			n.badInputLog.warn("an answer from a server broke off", "server", a.att.host.id, "after", total, "err", err)
			break
		}
		n.mu.Lock()
		deadline := n.endBy(time.Now().Add(stallTimeout))
		n.mu.Unlock()
		s.conn.SetReadDeadline(deadline)
		var read int
		read, err = s.resp.Body.Read(buf[:])
		chunk = buf[:read]
	}
	n.mu.Lock()
	a.att.conn = nil
	ended := a.att.ended
	n.mu.Unlock()
	if complete && !ended && !s.resp.Close && s.conn.reader.Buffered() == 0 {
		n.servers.put(s.conn)
	} else {
		s.conn.close()
	}
	s.resp.Body.Close()
	n.finishAttempt(a.att, reply{result: result, load: a.load, elapsedMs: a.elapsedMs})
	return complete
}

// reportProgress notifies the module that a long request is making progress; spent means that it can't be
// retried. The node's mutex is held.
func (n *Node) reportProgress(att *attempt, spent bool) {
	n.handle(limiter.Progress{ID: att.req.id, Try: att.number,
		LeftMs: float64(att.req.attemptTimeout) / float64(time.Millisecond), BodyReleased: spent})
}

// attemptHooks returns the hooks of an attempt. Short requests, which are written at once, share theirs.
func (n *Node) attemptHooks(att *attempt) *hooks {
	if att.req.bodyRest == nil {
		return n.shortHooks
	}
	r, lastReport := att.req, time.Time{}
	return &hooks{requestWritten: func() time.Time {
		n.totals.attempts.Add(1)
		n.countInProgress(r)
		r.watchClient()
		n.mu.Lock()
		defer n.mu.Unlock()
		now := time.Now()
		r.deadline = n.endBy(now.Add(r.attemptTimeout))
		att.deadline, att.sentAt = n.endBy(now.Add(att.deadline.Sub(att.sentAt))), now
		n.reportProgress(att, true)
		return att.deadline
	}, progress: func() {
		if now := time.Now(); now.Sub(lastReport) >= progressInterval {
			lastReport = now
			n.mu.Lock()
			n.reportProgress(att, r.bodyRest.consumed())
			n.mu.Unlock()
		}
	}}
}

// discardBody flushes the answer of a client that was answered without reading its body, and discards a limited
// part of the body. net/http does this itself, except when the client has requested that the connection be
// closed.
func discardBody(w http.ResponseWriter, hr *http.Request) {
	if hr.ContentLength == 0 || !hr.Close {
		return
	}
	ctl := http.NewResponseController(w)
	ctl.EnableFullDuplex() // otherwise net/http would read the rest before it answers
	if ctl.Flush() == nil && ctl.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		io.CopyN(io.Discard, hr.Body, maxDiscardedBody)
	}
}

// answerEarly writes a final answer to a client that may still be sending its body, and discards the rest of
// the body.
func (n *Node) answerEarly(ctx context.Context, w http.ResponseWriter, r *request, a *answer) {
	ctl := http.NewResponseController(w)
	ctl.EnableFullDuplex() // otherwise net/http would read the rest before it answers
	ctl.SetWriteDeadline(time.Now().Add(stallTimeout))
	n.writeAnswer(w, a)
	ctl.Flush()
	if ctx.Err() == nil {
		r.bodyRest.discard()
	}
}
