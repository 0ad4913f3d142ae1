package loopback

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/limiter"
)

// boxAddress is one where a box stands: one listener for each limiter, so that
// a connection tells whose it is.
type boxAddress struct {
	r     *Run
	addr  int
	box   int
	ip    net.IP
	ports []int // by limiter; 0 until the first listen

	// Under the run's lock:
	down      bool // it is shut for good
	listeners []net.Listener
	backlogs  []*fullBacklog
	conns     map[*boxConn]bool
}

func newBoxAddress(r *Run, addr int, ips []net.IP) (*boxAddress, error) {
	p := &boxAddress{r: r, addr: addr, box: addr, ip: ips[addr], ports: make([]int, len(r.o.Fleet.Limiters)), conns: map[*boxConn]bool{}}
	for k := range p.ports { // all ports are the system's choice, once
		ln, err := net.Listen("tcp", net.JoinHostPort(p.ip.String(), "0"))
		if err != nil {
			return nil, fmt.Errorf("loopback: an address for a box: %w", err)
		}
		defer ln.Close() // not before all are chosen: the system gives a port that is free again
		p.ports[k] = ln.Addr().(*net.TCPAddr).Port
	}
	return p, nil
}

// dial is where a limiter reaches the box.
func (p *boxAddress) dial(limiter int) string {
	return net.JoinHostPort(p.ip.String(), strconv.Itoa(p.ports[limiter]))
}

// listen opens the listeners. The lock is held, or nobody knows the address yet.
func (p *boxAddress) listen() error {
	p.unlisten()
	for k := range p.ports {
		ln, err := listenAgain(p.dial(k))
		if err != nil {
			p.unlisten()
			return fmt.Errorf("box %s: %w", p.r.w.Boxes[p.box].Name, err)
		}
		p.listeners = append(p.listeners, ln)
		p.r.tasks.Go(func() { p.accept(ln, k) })
	}
	return nil
}

// unlisten closes the listeners: connects are refused.
func (p *boxAddress) unlisten() {
	for _, ln := range p.listeners {
		ln.Close()
	}
	for _, f := range p.backlogs {
		f.close()
	}
	p.listeners, p.backlogs = nil, nil
}

// leaveUnanswered has connects never come up.
func (p *boxAddress) leaveUnanswered() {
	p.unlisten()
	for k := range p.ports {
		f, err := newFullBacklog(p.ip, p.ports[k])
		if err != nil { // refused is the next best
			p.r.w.Notes = append(p.r.w.Notes, world.Note{At: p.r.now(), Text: err.Error()})
			continue
		}
		p.backlogs = append(p.backlogs, f)
		p.r.tasks.Go(f.fill)
	}
}

// reset carries out what befell the box. The lock is held.
func (p *boxAddress) reset(a world.BoxResets) {
	if a.Silent {
		for c := range p.conns {
			c.silent = true
		}
		p.leaveUnanswered()
		return
	}
	for c := range p.conns {
		c.cut()
	}
	if b := p.r.w.Boxes[a.Box]; a.Box == p.box && b.Condition() != world.Running && b.Condition() != world.Draining {
		p.unlisten()
	}
}

func (p *boxAddress) shut() {
	p.down = true
	p.unlisten()
	for c := range p.conns {
		c.cut()
	}
}

func (p *boxAddress) accept(ln net.Listener, limiter int) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		p.r.tasks.Go(func() { p.take(nc, limiter) })
	}
}

// take serves a connection that a limiter has made, as its box does. It is read from before anything waits for the
// run's lock: when a request came is then what is measured, and not when the lock was free.
func (p *boxAddress) take(nc net.Conn, limiter int) {
	r := p.r
	c := &boxConn{Conn: nc, address: p, limiter: limiter, gone: make(chan struct{})}
	requests := make(chan request)
	r.tasks.Go(func() { c.read(requests) })
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		c.end()
	}()
	switch c.connected() {
	case world.Refused:
	case world.Silent:
		c.park(requests)
	default:
		c.serve(requests)
	}
}

// connected tells how the box takes the connection.
func (c *boxConn) connected() world.Connect {
	p, r := c.address, c.address.r
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.down { // it was accepted before, and nobody else would close it
		c.cut()
		return world.Refused
	}
	now := r.advance()
	c.box = p.box
	how := r.w.Connect(now, c.limiter, p.box)
	if how == world.Refused {
		c.cut()
	} else {
		c.silent, c.counted = how == world.Silent, how != world.Silent
		p.conns[c] = true
		r.counts.Connects++
	}
	r.carry(r.w.TakeActions())
	r.nudge()
	return how
}

// boxConn is a limiter's connection to a box.
type boxConn struct {
	net.Conn
	address *boxAddress
	box     int
	limiter int
	gone    chan struct{} // closed when it ends

	// closedAt is when it was seen that the limiter had closed the connection, measured without the run's lock.
	// nil: it was not.
	closedAt atomic.Pointer[time.Time]

	// Under the run's lock:
	silent  bool
	counted bool
	ended   bool
	job     uint64 // that it waits for; 0: none
	try     *world.Try
}

// cut resets the connection. The lock is held.
func (c *boxConn) cut() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		tc.SetLinger(0)
	}
	c.end()
}

// end closes it and counts it back. The lock is held.
func (c *boxConn) end() {
	if c.ended {
		return
	}
	c.ended = true
	if c.job != 0 { // told before the limiter can see the end and send the next attempt
		at := c.address.r.now()
		if closedAt := c.closedAt.Load(); closedAt != nil {
			at = min(at, c.address.r.timeOf(*closedAt))
		}
		c.address.r.j.AttemptEnded(at, c.job, judge.MayHaveRun)
		if c.try != nil {
			c.try.Attempted("no answer in time, or reset")
		}
		delete(c.address.r.jobs, c.job)
	}
	close(c.gone)
	c.Conn.Close()
	delete(c.address.conns, c)
	if c.counted {
		c.address.r.w.Disconnect(c.box)
	}
}

// request is one that has come, with the time of its first byte, measured without the run's lock.
type request struct {
	*http.Request
	body  []byte
	first time.Time
}

// read reads requests until the connection ends.
func (c *boxConn) read(to chan<- request) {
	in := bufio.NewReader(c.Conn)
	defer close(to)
	for {
		_, err := in.Peek(1)
		now := time.Now()
		if err != nil {
			c.closedAt.Store(&now)
			return
		}
		hr, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(hr.Body, 64<<10))
		if err != nil {
			return
		}
		select {
		case to <- request{hr, body, now}:
		case <-c.gone:
			return
		}
	}
}

// serve answers requests, one at a time, until the connection is over.
func (c *boxConn) serve(requests <-chan request) {
	for {
		select {
		case q, ok := <-requests:
			if !ok || !c.answer(q, requests) {
				return
			}
		case <-c.gone:
			return
		}
	}
}

// answer answers one request. It returns false if the connection is over.
func (c *boxConn) answer(q request, requests <-chan request) bool {
	r := c.address.r
	if id := q.Header.Get("X-Request-ID"); id == "" {
		return c.probe(q)
	}
	r.mu.Lock()
	now := r.advance()
	if c.ended || c.silent || !r.w.Reaches(c.limiter, c.box) {
		c.silent = !c.ended
		r.mu.Unlock()
		c.park(requests)
		return false
	}
	id := q.Header.Get("X-Request-ID")
	t := r.tries[id]
	if t == nil && !r.o.Foreign {
		r.j.AttemptStarted(now, 0, judge.Box{ID: c.box})
		r.mu.Unlock()
		return c.write(http.StatusBadRequest, nil, "", nil)
	}
	r.ids++
	job := world.Job{ID: r.ids, Work: r.o.Fleet.MeanWork()}
	b := r.w.Boxes[c.box]
	if t != nil {
		box := judge.Box{ID: c.box, Pod: b.Spec.Pod, Room: b.Spec.Room}
		job.Work = t.Call.Work
		if class := r.o.Fleet.Classes[t.Call.Class]; class.Repeat == limiter.Keyed {
			job.Key, job.Window = t.Call.ID, class.Window
		}
		r.j.AttemptStarted(r.timeOf(q.first), t.ID, box)
		r.j.AttemptArrived(now, job.ID, t.ID, box, job.Work, b.Capacity(now), b.Warmth(now) < 1)
		r.w.TryForwarded(now, t)
	}
	if wait, err := strconv.Atoi(strings.TrimSuffix(q.Header.Get("X-Timeout"), "m")); err == nil {
		job.Expires = now + time.Duration(wait)*time.Millisecond
	}
	r.counts.Attempts++
	if r.o.Fleet.Limiters[c.limiter].Room != b.Spec.Room {
		r.counts.CrossRoomAttempts++
	}
	done := make(chan world.BoxAnswers, 1)
	r.jobs[job.ID] = done
	c.job, c.try = job.ID, t
	r.w.DeliverRequest(now, c.box, job)
	r.carry(r.w.TakeActions())
	r.nudge()
	r.mu.Unlock()

	select {
	case a := <-done:
		return c.give(a, job.ID, id, requests)
	case <-requests: // closed by the limiter, or it sends without waiting: over
	case <-c.gone:
	}
	return false // the end of the connection is the end of the attempt
}

// park says nothing until the connection ends.
func (c *boxConn) park(requests <-chan request) {
	for {
		select {
		case _, open := <-requests:
			if !open { // the limiter closed it
				return
			}
		case <-c.gone:
			return
		}
	}
}

// stallTime is how long an answer that stalls is kept open.
const stallTime = 5 * time.Second

// give writes an answer as the wire has it.
func (c *boxConn) give(a world.BoxAnswers, job uint64, id string, requests <-chan request) bool {
	r := c.address.r
	r.mu.Lock()
	silent := c.silent || !r.w.Reaches(c.limiter, c.box)
	if silent {
		c.silent = true
	}
	r.mu.Unlock()
	if silent { // its machine is gone, or cut off
		c.park(requests)
		return false
	}
	verdict := judge.MayHaveRun
	code, body := http.StatusOK, []byte("served "+id+"\n")
	extra := ""
	switch a.Done.Result {
	case world.Failed:
		code, body = http.StatusInternalServerError, nil
	case world.TurnedAway:
		code, body, extra, verdict = http.StatusServiceUnavailable, nil, "X-Not-Processed: 1\r\n", judge.NeverRan
	default:
		if a.Fault == world.NoResponseFault {
			verdict = judge.WasServed
		}
	}
	ended := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.j.AttemptEnded(r.now(), job, verdict)
		if how := ways(a); how != "" && c.try != nil {
			c.try.Attempted(how)
		}
		c.job, c.try = 0, nil
	}
	// The judge hears of it before the limiter can: the answer is as good as written.
	ended()
	switch a.Fault {
	case world.Garbled:
		io.WriteString(c.Conn, "HTP/1.x \x00\x01 OK\r\n:::\r\n\r\nnoise")
		return false
	case world.Halved:
		fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
		return false
	case world.Stalled:
		fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:1])
		t := time.NewTimer(stallTime)
		defer t.Stop()
		select {
		case <-c.gone:
		case <-t.C:
		case <-r.ctx.Done():
		}
		return false
	case world.Cut:
		r.mu.Lock()
		c.cut()
		r.mu.Unlock()
		return false
	}
	var load *world.Load
	if a.HasLoad {
		load = &a.Load
	}
	return c.write(code, body, extra, load)
}

// ways is how an attempt ended that was not served, in words.
func ways(a world.BoxAnswers) string {
	switch {
	case a.Done.Result == world.Failed:
		return "an error"
	case a.Done.Result == world.TurnedAway:
		return "turned away"
	case a.Fault == world.Cut:
		return "reset"
	case a.Fault != world.NoResponseFault:
		return "an answer of no use"
	}
	return ""
}

func (c *boxConn) write(code int, body []byte, extra string, load *world.Load) bool {
	if load != nil {
		extra += fmt.Sprintf("X-Server-Load: inflight=%g,queue=%g\r\n", load.InFlight, load.Queue)
	}
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n%sContent-Length: %d\r\n\r\n%s", code, http.StatusText(code), extra, len(body), body)
	return err == nil
}

// probe answers GET /healthz.
func (c *boxConn) probe(q request) bool {
	r := c.address.r
	r.mu.Lock()
	r.advance()
	r.counts.Probes++
	b := r.w.Boxes[c.box]
	condition, reaches := b.Condition(), r.w.Reaches(c.limiter, c.box) && !c.silent
	r.mu.Unlock()
	switch {
	case !reaches || condition == world.Hung:
		select {
		case <-c.gone:
		case <-r.ctx.Done():
		}
		return false
	case q.URL.Path != "/healthz":
		return c.write(http.StatusNotFound, nil, "", nil)
	case condition == world.Draining:
		return c.write(http.StatusServiceUnavailable, nil, "", nil)
	}
	return c.write(http.StatusOK, nil, "", nil)
}
