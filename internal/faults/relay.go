package faults

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// way is what lies between one limiter and another: its connections to the other's fleet
// address and operators' address go through here.
type way struct {
	from, to int
	cut      bool // nothing of from comes to to
	held     bool // calls of from wait
	waits    bool // something does, or did since it was cut or held
	tried    int  // connections that came while it was cut
	delay    time.Duration
	messy    bool // datagrams are lost, doubled and out of order
}

// Call is a call of one limiter to another's operators' address, as it crossed.
type Call struct {
	From, To   int
	Line       string // without its end
	Sent, Done time.Duration
	Answer     string // empty: none came
}

// network is the network between the limiters of a rig.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	ways    map[[2]int]*way
	conns   map[net.Conn]*way
	lns     []io.Closer
	closed  bool
	calls   []Call
	begun   time.Time
	tasks   sync.WaitGroup
}

func newNetwork() *network {
	n := &network{ways: map[[2]int]*way{}, conns: map[net.Conn]*way{}, begun: time.Now()}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// open makes the way from one limiter to another's address and returns where it begins.
func (n *network) open(host string, from, to int, target string, calls bool) (string, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", fmt.Errorf("faults: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.ways[[2]int{from, to}]
	if w == nil {
		w = &way{from: from, to: to}
		n.ways[[2]int{from, to}] = w
	}
	n.lns = append(n.lns, ln)
	n.tasks.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.tasks.Go(func() { n.carry(c, w, target, calls) })
		}
	})
	return ln.Addr().String(), nil
}

// own keeps a connection until it ends; false: the network is closed.
func (n *network) own(c net.Conn, w *way) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return false
	}
	n.conns[c] = w
	return true
}

// tried is how many connections came while ways to one were cut.
func (n *network) tried(to int) (all int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, w := range n.ways {
		if k[1] == to {
			all += w.tried
		}
	}
	return all
}

// isCut tells whether nothing of one comes to another.
func (n *network) isCut(from, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.ways[[2]int{from, to}]
	return w != nil && w.cut
}

func (n *network) disown(c net.Conn) {
	c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// pause waits while the way is cut or, for calls, held, and then for its delay.
func (n *network) pause(w *way, call bool) bool {
	n.mu.Lock()
	for !n.closed && (w.cut || call && w.held) {
		w.waits = true
		n.changed.Wait()
	}
	d, closed := w.delay, n.closed
	n.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
	return !closed
}

// back is the way from a to b's other direction.
func (n *network) back(w *way) *way {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.ways[[2]int{w.to, w.from}]
	if r == nil {
		r = &way{from: w.to, to: w.from}
		n.ways[[2]int{w.to, w.from}] = r
	}
	return r
}

// carry passes one connection on.
func (n *network) carry(c net.Conn, w *way, target string, calls bool) {
	if !n.own(c, w) {
		return
	}
	defer n.disown(c)
	if calls {
		n.carryCall(c, w, target)
		return
	}
	n.mu.Lock()
	if w.cut {
		w.tried++
	}
	n.mu.Unlock()
	if !n.pause(w, false) {
		return
	}
	t, err := net.Dial("tcp", target)
	if err != nil || !n.own(t, w) {
		return
	}
	defer n.disown(t)
	r := n.back(w)
	n.tasks.Go(func() {
		defer c.Close()
		n.copy(c, t, r)
	})
	n.copy(t, c, w)
}

// copy passes bytes on, as the way lets them through.
func (n *network) copy(to, from net.Conn, w *way) {
	b := make([]byte, 32<<10)
	for {
		k, err := from.Read(b)
		if k > 0 {
			if !n.pause(w, false) {
				return
			}
			if _, err := to.Write(b[:k]); err != nil {
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// carryCall passes one call on and keeps what was said. It goes on to its receiver although
// its caller has stopped waiting: this is how late effects come about.
func (n *network) carryCall(c net.Conn, w *way, target string) {
	in := bufio.NewReader(io.LimitReader(c, 64<<10))
	line, err := in.ReadString('\n')
	if err != nil || !n.pause(w, strings.Contains(line, "/")) {
		return
	}
	t, err := net.Dial("tcp", target)
	if err != nil || !n.own(t, w) {
		return
	}
	defer n.disown(t)
	sent := time.Since(n.begun)
	t.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(t, line)
	answer, _ := bufio.NewReader(t).ReadString('\n')
	if question := strings.HasPrefix(line, "fleet self") || strings.HasPrefix(line, "fleet asked"); !question {
		n.mu.Lock()
		n.calls = append(n.calls, Call{w.from, w.to, strings.TrimSpace(line), sent, time.Since(n.begun), strings.TrimSpace(answer)})
		n.mu.Unlock()
	}
	if n.pause(n.back(w), false) {
		io.WriteString(c, answer)
	}
}

// holds tells whether a call waits, or did since calls were held.
func (n *network) holds() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.ways {
		if w.held && w.waits {
			return true
		}
	}
	return false
}

// set changes ways; what stood on one that was cut is reset when it heals.
func (n *network) set(which func(from, to int) bool, change func(w *way)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, w := range n.ways {
		if !which(k[0], k[1]) {
			continue
		}
		was := w.cut
		change(w)
		w.waits = w.waits && (w.held || w.cut)
		if was && !w.cut {
			for c, of := range n.conns {
				if of == w {
					c.Close()
				}
			}
		}
	}
	n.changed.Broadcast()
}

func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	for _, ln := range n.lns {
		ln.Close()
	}
	for c := range n.conns {
		c.Close()
	}
	n.changed.Broadcast()
	n.mu.Unlock()
	n.tasks.Wait()
}

// Calls are those that have crossed so far.
func (n *network) Calls() []Call {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Call(nil), n.calls...)
}
