package node

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// clientConns tracks the clients' connections and limits those without a request. Each change of one connection
// takes constant time, however many there are.
type clientConns struct {
	budget int

	mu        sync.Mutex
	open      map[net.Conn]*clientConn
	neverUsed list.List // of net.Conn that never had a request, oldest first
	idle      list.List // of net.Conn between two requests, least recently used first

	ending int // connections that were told to end, but neither closed nor became active yet
}

// clientConn is the state of one connection.
type clientConn struct {
	waiting      *list.List    // neverUsed or idle; nil while a request is in progress
	element      *list.Element // its element in that list
	waitingSince time.Time     // start of waiting
	ending       bool          // counted in clientConns.ending
}

func newClientConns(budget int) *clientConns {
	return &clientConns{budget: budget, open: map[net.Conn]*clientConn{}}
}

// connStateChanged is the server's ConnState hook.
func (c *clientConns) connStateChanged(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.open[nc]
	if state == http.StateNew {
		cc = &clientConn{}
		c.open[nc] = cc
	}
	if cc == nil {
		return
	}
	if cc.waiting != nil {
		cc.waiting.Remove(cc.element)
		cc.waiting, cc.element = nil, nil
	}
	if cc.ending && (state == http.StateActive || state == http.StateClosed) {
		cc.ending = false
		c.ending--
	}
	if x, ok := nc.(endableConn); ok && state == http.StateActive {
		x.working()
	} else if ok && state == http.StateIdle {
		x.waiting()
	}
	switch state {
	case http.StateNew:
		cc.waiting = &c.neverUsed
	case http.StateIdle:
		cc.waiting = &c.idle
	case http.StateClosed, http.StateHijacked:
		delete(c.open, nc)
	}
	if cc.waiting == nil {
		return
	}
	cc.element, cc.waitingSince = cc.waiting.PushBack(nc), time.Now()
	if len(c.open) > c.budget {
		c.makeRoom()
		c.waitForEnding()
	}
}

// waitForEnding delays the next accept, which follows this call, while many connections that were told to end
// still hold their descriptors. The mutex is held.
func (c *clientConns) waitForEnding() {
	for range maxEndingWaitMs {
		if c.ending <= maxEnding {
			return
		}
		c.mu.Unlock()
		time.Sleep(time.Millisecond)
		c.mu.Lock()
	}
}

// partialHeadGrace is how long a partly received request protects its connection from being closed to make
// room: a header sent in one go has been read by then. Without the limit, incomplete headers would keep their
// places while new connections, whose requests are on their way, lose theirs.
const partialHeadGrace = 25 * time.Millisecond

const (
	// maxEnding is how many connections that were told to end may hold descriptors beyond the clients' budget;
	// these come from the reserved ones.
	maxEnding = reservedSockets / 2
	// maxEndingWaitMs limits the delay of an accept while more connections than that are ending.
	maxEndingWaitMs = 20
)

// endableConn is a connection that can be told to end without losing a request.
type endableConn interface {
	tryEnd(patience time.Duration) bool
	waiting()
	working()
}

// makeRoom closes a connection without a request. Connections that never had a request go first once they use
// half of the budget, so that silent clients in large numbers only displace each other; below that the least
// recently used goes. This keeps a new connection open whose request is on its way, where many clients ask once
// and stay connected.
func (c *clientConns) makeRoom() {
	first, then := &c.idle, &c.neverUsed
	if c.idle.Len() == 0 || c.neverUsed.Len() > c.budget/2 {
		first, then = then, first
	}
	for _, queue := range []*list.List{first, then} {
		for e := queue.Front(); e != nil; e = e.Next() {
			if c.endConn(e.Value.(net.Conn), partialHeadGrace) {
				return
			}
		}
	}
}

// endConn ends a connection without a request, and reports whether it did. A client whose request crosses the
// close sends it again.
func (c *clientConns) endConn(nc net.Conn, patience time.Duration) bool {
	if x, ok := nc.(endableConn); ok && !x.tryEnd(patience) {
		return false
	} else if !ok {
		nc.Close()
	}
	cc := c.open[nc]
	cc.waiting.Remove(cc.element)
	cc.waiting, cc.element, cc.ending = nil, nil, true
	c.ending++
	return true
}

// endUnused ends the connections that have been idle, or without any request yet, for at least the given times.
func (c *clientConns) endUnused(idle, neverUsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for queue, waited := range map[*list.List]time.Duration{&c.neverUsed: neverUsed, &c.idle: idle} {
		until := now.Add(-waited)
		for e := queue.Front(); e != nil; {
			nc := e.Value.(net.Conn)
			if c.open[nc].waitingSince.After(until) {
				break
			}
			e = e.Next()
			c.endConn(nc, 0)
		}
	}
}

// setBudget changes how many connections may be open.
func (c *clientConns) setBudget(budget int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget = budget
}

// openCount returns how many connections are open.
func (c *clientConns) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// limitReceiveBuffer limits the kernel's receive buffer of the connections that a listener accepts: some
// clients send 60 MB that nobody reads.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return setOption(raw, syscall.SO_RCVBUF, clientReceiveBuffer)
}

// reusePort lets the next process listen on the same address.
func reusePort(_, _ string, raw syscall.RawConn) error {
	return setOption(raw, unix.SO_REUSEPORT, 1)
}

func setOption(raw syscall.RawConn, option, value int) error {
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, value)
	}); err != nil {
		return err
	}
	return failed
}
