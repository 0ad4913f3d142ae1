package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"example.org/madderdrum/internal/sockets"
	"example.org/madderdrum/limiter"
)

const (
	maxHeldBody  = 64 << 10 // of a body is held whole
	probeTimeout = 250 * time.Millisecond
	sweepEvery   = 500 * time.Millisecond

	// maxAnswer bounds what is read for one answer, with the heads that announce it
	// and the frames of its chunks.
	maxAnswerBytes = maxHeaderBytes + 2*maxHeldBody
	// An answer that has begun comes whole within restTime, which leaves room for a
	// lost packet, or within this part of the time left.
	nextByteTimeout = 250 * time.Millisecond
	nextByteDivisor = 4
	// maxLoad is more than any load that a server can have.
	maxLoad = 1e6
)

// noLoad is the load of an answer without a report.
var noLoad = limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}

// pool keeps the connections to servers. It is not http.Transport, which sends
// a request again by itself when a kept-alive connection breaks: a second copy.
type serverPool struct {
	budget      atomic.Int64 // most connections
	connTimeout time.Duration
	maxIdle     time.Duration // idle connections are closed after this
	counters    *counters

	mu        sync.Mutex
	hosts     map[uint64]*host
	openConns int // connections open or coming up
	idleStats idleStats
}

// host is one process of a server at one address.
type host struct {
	id         uint64
	dialAddr   string
	bornMs     float64
	accepting  bool    // wants new requests
	superseded bool    // another server stands at its address
	idle       []*conn // the latest used last
}

// conn is a connection to a server that carries one request at a time.
type conn struct {
	net.Conn
	serverPool *serverPool
	host       *host
	src        *answerReader
	reader     *bufio.Reader // reads from it
	used       bool          // an answer has come on it
	idleSince  time.Time
	once       sync.Once
}

// answerReader is what a conn reads answers from.
type answerReader struct {
	src       io.Reader
	remaining int   // bytes that may still come for this answer
	connErr   error // how the connection ended
}

// Read guards against an answer, or heads that announce one, without end, and
// tells the end of a connection from an answer that can't be read.
func (a *answerReader) Read(b []byte) (int, error) {
	if a.remaining <= 0 {
		return 0, errAnswerTooLong
	}
	n, err := a.src.Read(b[:min(len(b), a.remaining)])
	a.remaining -= n
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.connErr = err
	}
	return n, err
}

// reply is what came of an attempt.
type reply struct {
	result      limiter.Result
	body        []byte
	contentType string
	load        limiter.Load
	stream      *answerStream // an answer that goes on while it comes; body is nil
	elapsedMs   float64       // 0: up to now
	requestErr  error         // why the client's request did not become whole
	err         error         // why an answer was of no use
}

func newServerPool(budget int, connTimeout, maxIdle time.Duration) *serverPool {
	p := &serverPool{connTimeout: connTimeout, maxIdle: maxIdle, hosts: map[uint64]*host{},
		idleStats: idleStats{decayedAt: time.Now(), limit: noIdleLimit}}
	p.budget.Store(int64(budget))
	return p
}

// update takes in what the list says of a server and tells whether that is
// news. Connections to an earlier process or address are not used again.
func (p *serverPool) update(info limiter.ServerInfo, dialAddr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, accepting := p.hosts[info.ID], info.Phase == limiter.Up
	switch {
	case info.Phase == limiter.Removed:
		p.retire(current)
		delete(p.hosts, info.ID)
		return current != nil
	case current == nil || current.dialAddr != dialAddr || current.bornMs != info.ReadyAt:
		p.retire(current)
		// One that still stands at this address is gone: guards against sending to the
		// new server under the old one's name, on its connections or pending connects.
		for _, o := range p.hosts {
			if o.id != info.ID && o.dialAddr == dialAddr {
				o.superseded = true
				p.retire(o)
			}
		}
		p.hosts[info.ID] = &host{id: info.ID, dialAddr: dialAddr, bornMs: info.ReadyAt, accepting: accepting}
		return true
	}
	accepting = accepting && !current.superseded
	news := current.accepting != accepting
	if current.accepting = accepting; !accepting {
		p.closeIdle(current)
	}
	return news
}

// allow changes how many connections may be open.
func (p *serverPool) setBudget(budget int) { p.budget.Store(int64(budget)) }

// count is how many connections are open.
func (p *serverPool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns
}

// rest closes all idle connections.
func (p *serverPool) closeAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		p.closeIdle(h)
	}
}

// keepOnly drops the servers that a whole list does not name.
func (p *serverPool) retainListed(listed map[uint64]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, h := range p.hosts {
		if !listed[id] {
			p.retire(h)
			delete(p.hosts, id)
		}
	}
}

// drop retires a host. Attempts that are out on it go on.
func (p *serverPool) retire(h *host) {
	if h != nil {
		h.accepting = false
		p.closeIdle(h)
	}
}

func (p *serverPool) closeIdle(h *host) {
	for _, c := range h.idle {
		c.closeLocked()
	}
	h.idle = nil
}

// host returns the process of a server that may be sent something new.
func (p *serverPool) host(id uint64) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil && h.accepting {
		return h
	}
	return nil
}

// wanted tells whether a host still is to be sent something new.
func (p *serverPool) accepts(h *host) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.accepting
}

// broken closes a host's idle connections after one of its connections broke
// or could not be made: the others are as likely dead. An answer that can't be
// read says nothing of the kind.
func (p *serverPool) markBroken(h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(h)
}

// take returns the idle connection of a host that was used last, or nil.
func (p *serverPool) takeIdle(h *host) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if p.usable(c) {
			return c
		}
		c.closeLocked()
	}
	return nil
}

// sound tells whether an idle connection may be used.
func (p *serverPool) usable(c *conn) bool {
	return time.Since(c.idleSince) < min(p.maxIdle, p.idleStats.limit) && c.quiet()
}

// note counts an exchange on a connection by how long that was idle before.
func (p *serverPool) recordExchange(group int, broke bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleStats.add(time.Now(), group, broke)
}

// put keeps a connection for later, unless its host has moved on.
func (p *serverPool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The deadline of the request before must not stay: once it has passed, the
	// check for silence fails and the connection would be closed.
	if !c.host.accepting || c.SetDeadline(time.Time{}) != nil {
		c.closeLocked()
		return
	}
	c.idleSince = time.Now()
	c.host.idle = append(c.host.idle, c)
}

// errNoRoom tells that the budget of connections is used up.
var errConnBudget = errors.New("no connection left in the budget")

// connect opens a connection to a host.
func (p *serverPool) connect(ctx context.Context, h *host) (*conn, error) {
	p.mu.Lock()
	if p.openConns >= int(p.budget.Load()) {
		p.evict()
	}
	if p.openConns >= int(p.budget.Load()) {
		p.mu.Unlock()
		return nil, errConnBudget
	}
	p.openConns++
	p.mu.Unlock()
	p.counters.connect()
	d := net.Dialer{Timeout: p.connTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", h.dialAddr)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, err
	}
	src := &answerReader{src: nc}
	return &conn{Conn: nc, serverPool: p, host: h, src: src, reader: bufio.NewReader(src)}, nil
}

// evict closes the connection that has been idle longest.
func (p *serverPool) evict() {
	var oldest *host
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = h
		}
	}
	if oldest != nil {
		oldest.idle[0].closeLocked()
		oldest.idle = oldest.idle[1:]
	}
}

// sweep closes idle connections whose time is up or that the server has
// closed, until the context ends.
func (p *serverPool) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepEvery)
		p.mu.Lock()
		p.idleStats.decay(time.Now())
		p.idleStats.updateLimit()
		for _, h := range p.hosts {
			kept := h.idle[:0]
			for _, c := range h.idle {
				if p.usable(c) {
					kept = append(kept, c)
				} else {
					c.closeLocked()
				}
			}
			clear(h.idle[len(kept):])
			h.idle = kept
		}
		p.mu.Unlock()
	}
}

func (c *conn) close() {
	c.serverPool.mu.Lock()
	defer c.serverPool.mu.Unlock()
	c.closeLocked()
}

func (c *conn) closeLocked() {
	c.once.Do(func() {
		c.serverPool.openConns--
		c.Conn.Close()
	})
}

// quiet tells that an idle connection is open and silent. One that the server
// has closed must not be used: the request would end as a Cut, and an unsafe
// one could not be sent again.
func (c *conn) quiet() bool { return sockets.Quiet(c.Conn) }
