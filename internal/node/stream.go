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

// Of a body longer than maxBody only the beginning is held; the rest goes on piece by piece.
const (
	// maxStream bounds a body: the longest that clients send and servers give is 32 MB.
	maxStream = 64 << 20
	pieceSize = 32 << 10
	// A client has silentBody for its next byte, and leastRate on the whole: the slowest
	// write 64 kB a second.
	silentBody = 2 * time.Second
	leastRate  = 32 << 10 // bytes a second
	// A peer that neither takes nor gives a byte of a long body for stalledBody is given
	// up: some pause for seconds.
	stalledBody = 10 * time.Second
	// An answer of unknown length goes on once so much of it has come, or so long after its
	// head: most are whole by then, and can still be asked for again if they are not.
	beginAfter = 100 * time.Millisecond
	// takenIn and takeInFor bound what is still read of a body whose request was answered
	// without it: a connection that is closed before its client has written is reset, and
	// the answer may be lost with it. A write of the slowest takes less.
	takenIn   = 256 << 10
	takeInFor = 500 * time.Millisecond
	// heldShare is the part of the memory limit that held bodies may take.
	heldShare = 0.25
	// tellEvery is how often the module hears that a long request still goes on.
	tellEvery = 200 * time.Millisecond
)

// pieces are buffers for one direction of a stream.
var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// holdBodies has held bodies take their part of a share of the memory limit.
func (n *Node) holdBodies(share float64) {
	n.heldMost.Store(int64(share * heldShare * float64(n.cfg.Limits.MemoryMB<<20)))
}

// reserve takes place for a body to be held, if there is some.
func (n *Node) reserve(bytes int64) bool {
	if n.held.Add(bytes) > n.heldMost.Load() && n.heldMost.Load() > 0 {
		n.held.Add(-bytes)
		return false
	}
	return true
}

// upload is the body of a client's request. It gives up a client that sends nothing, or too
// little, for long. It is used by the request's goroutine alone.
type upload struct {
	body  io.Reader
	ctl   *http.ResponseController
	began time.Time
	got   int64
	most  int64 // bytes that the route takes
	left  int64 // bytes that are to come past what is held; -1: not told
	held  int64 // bytes that are held
	ended bool
	err   error // why it broke off
}

var errBodyTooLong = &badRequest{http.StatusRequestEntityTooLarge, "the body is too long"}

// by is until when the next byte is waited for.
func (u *upload) by(now time.Time) time.Time {
	by := now.Add(silentBody)
	if slowest := u.began.Add(silentBody + time.Duration(u.got)*time.Second/leastRate); slowest.Before(by) {
		return slowest
	}
	return by
}

// Read reads the next piece.
func (u *upload) Read(b []byte) (int, error) {
	if u.ended {
		return 0, io.EOF
	}
	if u.err != nil {
		return 0, u.err
	}
	if err := u.ctl.SetReadDeadline(u.by(time.Now())); err != nil {
		u.err = err
		return 0, err
	}
	n, err := u.body.Read(b)
	u.got += int64(n)
	switch {
	case u.got > u.most:
		u.err = errBodyTooLong
	case err == io.EOF:
		// Afterwards there is no deadline: when it passed, net/http would take the client
		// for gone.
		u.ended = true
		if err := u.ctl.SetReadDeadline(time.Time{}); err != nil {
			u.err = err
		}
	case err != nil:
		u.err = &badRequest{http.StatusRequestTimeout, "the body did not come"}
	}
	if u.err != nil {
		return n, u.err
	}
	return n, err
}

// readCall reads the body of a request, or its beginning where it is long. What it holds is
// given back by release.
func (n *Node) readCall(w http.ResponseWriter, hr *http.Request, r *request, arrived time.Time) error {
	if hr.ContentLength == 0 {
		return nil
	}
	most := int64(maxStream)
	if r.to.MaxBody >= 0 {
		most = min(most, r.to.MaxBody)
	}
	u := &upload{body: hr.Body, ctl: http.NewResponseController(w), began: arrived, most: most, left: -1}
	size := int64(maxBody)
	if hr.ContentLength > 0 {
		size = min(size, hr.ContentLength)
		u.left = hr.ContentLength - size
	}
	if !n.reserve(size) {
		return errFull
	}
	r.reserved = size
	buf := make([]byte, size)
	have := 0
	for have < len(buf) && !u.ended {
		k, err := u.Read(buf[have:])
		if have += k; err != nil && err != io.EOF {
			return err
		}
	}
	r.body = buf[:have]
	u.held = int64(have)
	if have > 0 && hr.Method == http.MethodGet {
		return bad("this class has no body")
	}
	if u.left == 0 && !u.ended { // net/http tells the end behind the last byte
		if _, err := u.Read(make([]byte, 1)); err != io.EOF {
			return err
		}
	}
	if !u.ended {
		r.rest = u
	}
	r.stopAt = r.stopAt.Add(time.Since(arrived)) // the time counts from the last byte
	return nil
}

// release gives back what a request held.
func (n *Node) release(r *request) { n.held.Add(-r.reserved) }

// used tells that some of what is not held has been read: it can't go on once more.
func (u *upload) used() bool { return u.got > u.held }

// discard reads what is left of a body that nobody needs, so that its client, which may only
// read the answer when it has written all, gets it.
func (u *upload) discard() {
	b := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(b)
	for {
		if _, err := u.Read(b[:]); err != nil {
			return
		}
	}
}

// hooks are called as an exchange goes on; each may be nil.
type hooks struct {
	progress func()           // some of a long request has gone on
	whole    func() time.Time // its last byte was written; returns until when to wait
}

// errAnswered tells that a server has answered, or closed, before it had the whole request.
var errAnswered = errors.New("the server did not wait for the whole request")

// pieceWriter writes a long request. Each piece has time of its own, as long as the server
// says nothing.
type pieceWriter struct {
	c     *conn
	begun bool
	hooks *hooks
}

func (p *pieceWriter) Write(b []byte) (int, error) {
	if p.begun && !p.c.quiet() {
		return 0, errAnswered
	}
	p.begun = true
	if err := p.c.SetWriteDeadline(time.Now().Add(stalledBody)); err != nil {
		return 0, err
	}
	n, err := p.c.Write(b)
	if p.hooks.progress != nil {
		p.hooks.progress()
	}
	return n, err
}

// writeLong writes a request whose body is not held whole.
func (c *conn) writeLong(req *http.Request, call *call, h *hooks) error {
	req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(call.body), call.rest))
	if req.ContentLength = -1; call.rest.left >= 0 {
		req.ContentLength = int64(len(call.body)) + call.rest.left
	} else {
		req.TransferEncoding = []string{"chunked"}
	}
	out := bufio.NewWriterSize(&pieceWriter{c: c, hooks: h}, pieceSize)
	if err := req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// answerStream is an answer that goes on while it comes.
type answerStream struct {
	resp   *http.Response
	conn   *conn
	first  []byte // what has come of its body
	length int64  // -1: not told
}

// readAnswer reads a body that is short, or the beginning of one that is not, and tells which.
func (c *conn) readAnswer(resp *http.Response, stopAt time.Time) (body []byte, stream *answerStream, err error) {
	length := resp.ContentLength
	switch ok := resp.StatusCode == http.StatusOK; {
	case ok && length > maxStream, !ok && length > maxBody:
		return nil, nil, errTooLong
	case !ok:
		return nil, nil, c.dropAnswer(resp, stopAt)
	case length > maxBody:
		return nil, &answerStream{resp: resp, conn: c, length: length}, nil
	case length >= 0:
		body, err = c.readKnown(resp, stopAt)
		return body, nil, err
	}
	return c.readUnknown(resp, stopAt)
}

// dropAnswer reads a body that nobody gets.
func (c *conn) dropAnswer(resp *http.Response, stopAt time.Time) error {
	if err := c.SetReadDeadline(soon(stopAt)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody+1))
	if n > maxBody {
		return errTooLong
	}
	return err
}

// readKnown reads a body whose length was told and is short.
func (c *conn) readKnown(resp *http.Response, stopAt time.Time) ([]byte, error) {
	body := make([]byte, resp.ContentLength)
	for have := 0; have < len(body); {
		if err := c.SetReadDeadline(soon(stopAt)); err != nil {
			return nil, err
		}
		k, err := resp.Body.Read(body[have:])
		if have += k; err != nil && have < len(body) {
			return nil, err
		}
	}
	return body, nil
}

// readUnknown reads a body whose length was not told, or so much of it as comes at once.
func (c *conn) readUnknown(resp *http.Response, stopAt time.Time) (body []byte, stream *answerStream, err error) {
	begun, limit := time.Now(), soon(stopAt)
	body = make([]byte, 0, 4<<10)
	for len(body) < maxBody {
		if c.in.Buffered() == 0 {
			if err := c.SetReadDeadline(begun.Add(beginAfter)); err != nil {
				return nil, nil, err
			}
			if _, err := c.in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
				if len(body) > 0 {
					break
				}
				if begun = begun.Add(beginAfter); begun.After(limit) { // it can be asked for again
					return nil, nil, err
				}
				continue
			}
		}
		if err := c.SetReadDeadline(soon(stopAt)); err != nil {
			return nil, nil, err
		}
		if len(body) == cap(body) {
			body = slices.Grow(body, len(body))
		}
		k, err := resp.Body.Read(body[len(body):min(cap(body), maxBody)])
		body = body[:len(body)+k]
		if err == io.EOF {
			return body, nil, nil
		}
		if err != nil {
			return nil, nil, err
		}
	}
	return nil, &answerStream{resp: resp, conn: c, first: body, length: -1}, nil
}

// soon is until when the next byte of an answer that has begun is waited for: there is to be
// time for another attempt.
func soon(stopAt time.Time) time.Time {
	now := time.Now()
	return now.Add(min(restTime, stopAt.Sub(now)/restPart))
}

// stream passes a long answer on as it comes, at the pace of its client, and tells the module
// how it ended. An answer that breaks off is passed on as one: its client's connection closes
// before the end that was announced.
func (n *Node) stream(w http.ResponseWriter, r *request, a *answer) (whole bool) {
	s, ctl := a.stream, http.NewResponseController(w)
	n.head(w, a)
	if s.length >= 0 {
		w.Header()["Content-Length"] = []string{itoa(s.length)}
	}
	w.WriteHeader(a.status)
	result := limiter.Undone // of a client that does not take it
	b := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(b)
	s.conn.from.left = maxStream + maxStream/8 // with the frames of its chunks
	piece, err, total := s.first, error(nil), int64(0)
	for {
		if len(piece) > 0 {
			ctl.SetWriteDeadline(time.Now().Add(stalledBody))
			if _, err := w.Write(piece); err != nil {
				break
			}
			if err := ctl.Flush(); err != nil {
				break
			}
		}
		if total += int64(len(piece)); err == io.EOF {
			result, whole = limiter.Pass, s.length < 0 || total == s.length
			break
		}
		if err != nil || total > maxStream {
			result = limiter.Spoilt // which says nothing about the server
			if s.conn.from.died != nil {
				result = limiter.Cut
			}
			n.badInput.warn("an answer broke off", "server", a.at.host.id, "after", total, "err", err)
			break
		}
		n.mu.Lock()
		by := n.endBy(time.Now().Add(stalledBody))
		n.mu.Unlock()
		s.conn.SetReadDeadline(by)
		var k int
		k, err = s.resp.Body.Read(b[:])
		piece = b[:k]
	}
	n.mu.Lock()
	a.at.conn = nil
	over := a.at.over
	n.mu.Unlock()
	if whole && !over && !s.resp.Close && s.conn.in.Buffered() == 0 {
		n.servers.put(s.conn)
	} else {
		s.conn.close()
	}
	s.resp.Body.Close()
	n.finish(a.at, reply{result: result, load: a.load, spentMs: a.spentMs})
	return whole
}

// goesOn tells the module that a long request still goes on, and whether its body is held no
// more. The node's mutex is held.
func (n *Node) goesOn(at *attempt, spent bool) {
	n.handle(limiter.Progress{ID: at.req.id, Try: at.try, LeftMs: float64(at.req.patience) / float64(time.Millisecond), Spent: spent})
}

// goingOn are the hooks of an attempt. Those of a short request, which is written at once, are
// the same for all.
func (n *Node) goingOn(at *attempt) *hooks {
	if at.req.rest == nil {
		return n.short
	}
	r, told := at.req, time.Time{}
	return &hooks{whole: func() time.Time {
		n.totals.tries.Add(1)
		n.taken(r)
		r.watch()
		n.mu.Lock()
		defer n.mu.Unlock()
		now := time.Now()
		r.stopAt = n.endBy(now.Add(r.patience))
		at.stopAt, at.sentAt = n.endBy(now.Add(at.stopAt.Sub(at.sentAt))), now
		n.goesOn(at, true)
		return at.stopAt
	}, progress: func() {
		if now := time.Now(); now.Sub(told) >= tellEvery {
			told = now
			n.mu.Lock()
			n.goesOn(at, r.rest.used())
			n.mu.Unlock()
		}
	}}
}

// takeIn gives a client that was answered without its body the answer, and takes a bounded part
// of the body in, which goes nowhere. net/http does so itself, but not where the client has said
// that its connection closes.
func takeIn(w http.ResponseWriter, hr *http.Request) {
	if hr.ContentLength == 0 || !hr.Close {
		return
	}
	ctl := http.NewResponseController(w)
	ctl.EnableFullDuplex() // else net/http would read the rest before it answers
	if ctl.Flush() == nil && ctl.SetReadDeadline(time.Now().Add(takeInFor)) == nil {
		io.CopyN(io.Discard, hr.Body, takenIn)
	}
}

// answerEarly writes a final answer to a client that may still be sending its body, and takes
// the rest of that in.
func (n *Node) answerEarly(ctx context.Context, w http.ResponseWriter, r *request, a *answer) {
	ctl := http.NewResponseController(w)
	ctl.EnableFullDuplex() // else net/http would read the rest before it answers
	ctl.SetWriteDeadline(time.Now().Add(stalledBody))
	n.write(w, a)
	ctl.Flush()
	if ctx.Err() == nil {
		r.rest.discard()
	}
}
