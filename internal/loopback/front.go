package loopback

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/limiter"
)

// front sends the clients' tries over kept connections to the limiters. It writes
// and reads HTTP itself, so that no library sends a request a second time, and a
// second answer is seen.
type front struct {
	r    *Run
	mu   sync.Mutex
	idle [][]*clientConn // by limiter, the latest used last
	over bool
}

// leastLeft is the least time that a request says to be left: its form knows whole milliseconds.
const leastLeft = time.Millisecond

// clientConn is a connection to a limiter.
type clientConn struct {
	net.Conn
	in   *bufio.Reader
	last uint64 // the try that was answered last on it
}

func newFront(r *Run) *front {
	return &front{r: r, idle: make([][]*clientConn, len(r.o.Fleet.Limiters))}
}

// send has a try go to its limiter. The run's lock is held.
func (f *front) send(t *world.Try) {
	r := f.r
	id := "t" + strconv.FormatUint(t.ID, 16)
	r.tries[id] = t
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancels[t.ID] = cancel
	c := t.Call
	r.j.RequestAccepted(r.now(), judge.Request{Try: t.ID, Limiter: t.Limiter, Account: c.Account, Class: c.Class, Plan: c.Plan, Units: c.Units, Until: t.ClientDeadline})
	r.tasks.Go(func() {
		defer cancel()
		f.try(ctx, t, id)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cancels, t.ID)
		r.nudge()
	})
	// What a box may still get for it, and the judge's word on that, comes within the
	// longest deadlines; then the name is forgotten.
	time.AfterFunc(4*r.longest(), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.tries, id)
	})
}

func (r *Run) longest() time.Duration {
	most := time.Second
	for _, c := range r.o.Fleet.Classes {
		most = max(most, c.Deadline)
	}
	return most
}

// request is a try in the protocol's form.
func (f *front) request(t *world.Try, id string, left time.Duration) []byte {
	fl, c := f.r.o.Fleet, t.Call
	class := fl.Classes[c.Class]
	method, body, key := "POST", fmt.Sprintf(`{"to":"+1876%07d"}`, c.ID%1e7), ""
	switch class.Repeat {
	case limiter.Safe:
		method, body = "GET", ""
	case limiter.Keyed:
		key = fmt.Sprintf("Idempotency-Key: %032x\r\n", c.ID)
	}
	retried := ""
	if t.Retry {
		retried = "X-Retried: 1\r\n"
	}
	spread, first := f.r.w.AccountLimiters(c.Account)
	return fmt.Appendf(nil, "%s /api?key=%016x HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nPlan: %s\r\n"+
		"X-Timeout: %dm\r\n%s%sQuota-Info: units=%g,spread=%d,first=%d\r\nContent-Length: %d\r\n\r\n%s",
		method, c.Account, id, class.Name, fl.Plans[c.Plan].Name, left.Milliseconds(), key, retried, c.Units, spread, first, len(body), body)
}

// try sends a try and hands its answer to the client.
func (f *front) try(ctx context.Context, t *world.Try, id string) {
	r := f.r
	conn, kept, err := f.connect(ctx, t.Limiter)
	if err != nil {
		f.withdrawn(t, ctx)
		return
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() }) // the client goes away
	defer stop()
	for {
		left := max(leastLeft, t.ClientDeadline-r.elapsed())
		var head *http.Response
		_, err = conn.Write(f.request(t, id, left))
		carried := judge.DriverTiming{WrittenAt: r.elapsed(), Remaining: left}
		if err == nil {
			head, err = http.ReadResponse(conn.in, nil)
		}
		if err != nil && kept && ctx.Err() == nil && isClosing(err) {
			// It was closed between requests: the client sends once more on a new one.
			conn.Close()
			if !stop() {
				return
			}
			if conn, err = f.dial(ctx, t.Limiter); err != nil {
				f.withdrawn(t, ctx)
				return
			}
			kept = false
			stop = context.AfterFunc(ctx, func() { conn.Close() })
			continue
		}
		var body []byte
		if err == nil {
			body, err = io.ReadAll(io.LimitReader(head.Body, 64<<10))
		}
		carried.AnswerReadAt = r.elapsed()
		if err != nil {
			conn.Close()
			if ctx.Err() == nil {
				f.broken(t)
			}
			return
		}
		kind, advice := world.GotFailed, time.Duration(0)
		answer := judge.Failed
		switch head.StatusCode {
		case http.StatusOK:
			kind, answer = world.GotServed, judge.Served
			if string(body) != "served "+id+"\n" {
				answer = judge.WrongResponse
			}
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			kind, answer = world.GotRefused, judge.Refused
			if seconds, err := strconv.ParseFloat(head.Header.Get("Retry-After"), 64); err == nil && seconds > 0 && seconds < 3600 {
				advice = time.Duration(seconds * float64(time.Second))
			}
		}
		f.got(t, kind, advice, answer, carried)
		conn.last = t.ID
		if stop() && !head.Close {
			f.keep(t.Limiter, conn)
		} else {
			conn.Close()
		}
		return
	}
}

// isClosing tells that a connection had ended already.
func isClosing(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// got hands an answer to the client, and to the judge.
func (f *front) got(t *world.Try, kind world.AnswerKind, advice time.Duration, answer judge.Answer, carried judge.DriverTiming) {
	r := f.r
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.advance()
	r.j.AnsweredWithTiming(now, t.ID, answer, carried)
	f.tell(now, t, kind, advice)
}

// broken tells the client that its connection ended without an answer.
func (f *front) broken(t *world.Try) {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	f.tell(f.r.advance(), t, world.GotBroken, 0)
}

// tell hands the client what came of its try. The run's lock is held.
func (f *front) tell(now time.Duration, t *world.Try, kind world.AnswerKind, advice time.Duration) {
	f.r.w.DeliverAnswer(now, t, kind, advice)
	f.r.carry(f.r.w.TakeActions())
	f.r.nudge()
}

// withdrawn is a try that came to nobody: its limiter can't be reached.
func (f *front) withdrawn(t *world.Try, ctx context.Context) {
	r := f.r
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.advance()
	r.j.WithdrawRequest(t.ID)
	if r.w.LimiterAlive(t.Limiter) && ctx.Err() == nil {
		r.unstarted++
	}
	f.tell(now, t, world.GotBroken, 0)
}

// connect takes a kept connection or makes one.
func (f *front) connect(ctx context.Context, limiter int) (c *clientConn, kept bool, err error) {
	for {
		f.mu.Lock()
		n := len(f.idle[limiter])
		if n == 0 {
			f.mu.Unlock()
			c, err = f.dial(ctx, limiter)
			return c, false, err
		}
		c = f.idle[limiter][n-1]
		f.idle[limiter] = f.idle[limiter][:n-1]
		f.mu.Unlock()
		if f.quiet(c) {
			return c, true, nil
		}
		c.Close()
	}
}

func (f *front) dial(ctx context.Context, limiter int) (*clientConn, error) {
	d := net.Dialer{Timeout: time.Second}
	nc, err := d.DialContext(ctx, "tcp", f.r.limiters[limiter].listen)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, in: bufio.NewReader(nc)}, nil
}

// keep puts a connection back.
func (f *front) keep(limiter int, c *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over {
		c.Close()
		return
	}
	f.idle[limiter] = append(f.idle[limiter], c)
}

// quiet tells that nothing came on a kept connection and that it is open. What
// came is an answer that nobody asked for: a second one.
func (f *front) quiet(c *clientConn) bool {
	if c.in.Buffered() == 0 {
		if err := c.SetReadDeadline(time.Now().Add(50 * time.Microsecond)); err != nil {
			return false
		}
		_, err := c.in.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return c.SetReadDeadline(time.Time{}) == nil
		}
		if err != nil {
			return false // closed
		}
	}
	r := f.r
	r.mu.Lock()
	defer r.mu.Unlock()
	r.j.Answered(r.now(), c.last, judge.Failed)
	return false
}

// close ends all kept connections, after a last look for second answers. The
// run's lock is held, so the look is at what has come already.
func (f *front) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.over = true
	for i, conns := range f.idle {
		for _, c := range conns {
			if c.in.Buffered() > 0 {
				f.r.j.Answered(f.r.now(), c.last, judge.Failed)
			}
			c.Close()
		}
		f.idle[i] = nil
	}
}
