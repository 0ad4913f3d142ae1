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
	maxHeldBody   = 64 << 10 // longer bodies are streamed
	probeTimeout  = 250 * time.Millisecond
	sweepInterval = 500 * time.Millisecond

	// maxAnswerBytes limits what is read for one short answer, including informational headers that precede it
	// and chunk framing.
	maxAnswerBytes = maxHeaderBytes + 2*maxHeldBody
	// Once an answer has begun, its next byte must arrive within nextByteTimeout, which allows for a lost
	// packet, or within this fraction of the time left if that is shorter.
	nextByteTimeout = 250 * time.Millisecond
	nextByteDivisor = 4
	// maxLoad is a load that no server can reach.
	maxLoad = 1e6
)

// noLoad is the load of an answer without a load report.
var noLoad = limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}

// serverPool keeps the connections to servers. It replaces http.Transport, which resends a request by itself
// when a kept-alive connection breaks, and so may have it executed twice.
type serverPool struct {
	budget      atomic.Int64 // maximum number of connections
	connTimeout time.Duration
	maxIdle     time.Duration // idle connections are closed after this time
	counters    *counters

	mu        sync.Mutex
	hosts     map[uint64]*host
	openConns int // including those being established
	idleStats idleStats
}

// host is one process of a server at one address.
type host struct {
	id         uint64
	dialAddr   string
	bornMs     float64
	accepting  bool    // accepts new requests
	superseded bool    // another server now uses its address
	idle       []*conn // most recently used last
}

// conn is a connection to a server that carries one request at a time.
type conn struct {
	net.Conn
	serverPool *serverPool
	host       *host
	src        *answerReader
	reader     *bufio.Reader // reads from src
	used       bool          // it has carried a request
	idleSince  time.Time
	once       sync.Once
}

// answerReader is the source from which a conn reads answers.
type answerReader struct {
	src       io.Reader
	remaining int   // bytes that may still be read for this answer
	connErr   error // error that ended the connection
}

// Read limits the size of an answer and of informational headers before it, and records connection errors, so
// that they can be told from unreadable answers. Once the connection has ended, each further read returns its error: the
// kernel returns a reset only once, and an answer without a length would seem complete behind it.
func (a *answerReader) Read(b []byte) (int, error) {
	if a.connErr != nil {
		return 0, a.connErr
	}
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

// reply is the result of an attempt.
type reply struct {
	result      limiter.Result
	body        []byte
	contentType string
	load        limiter.Load
	stream      *answerStream // a long answer that is streamed; body is nil
	elapsedMs   float64       // 0: until now
	requestErr  error         // why the client's request could not be read completely
	err         error         // why the answer could not be used
}

func newServerPool(budget int, connTimeout, maxIdle time.Duration) *serverPool {
	p := &serverPool{connTimeout: connTimeout, maxIdle: maxIdle, hosts: map[uint64]*host{},
		idleStats: idleStats{decayedAt: time.Now(), limit: noIdleLimit}}
	p.budget.Store(int64(budget))
	return p
}

// update applies a list entry and reports whether it changed anything. Connections to an earlier process or
// address are not used again.
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
		// A server that was listed at this address before is gone: without this, its idle connections and
		// pending connects would carry its requests to the new server.
		for _, other := range p.hosts {
			if other.id != info.ID && other.dialAddr == dialAddr {
				other.superseded = true
				p.retire(other)
			}
		}
		p.hosts[info.ID] = &host{id: info.ID, dialAddr: dialAddr, bornMs: info.ReadyAt, accepting: accepting}
		return true
	}
	accepting = accepting && !current.superseded
	changed := current.accepting != accepting
	if current.accepting = accepting; !accepting {
		p.closeIdle(current)
	}
	return changed
}

// setBudget changes how many connections may be open.
func (p *serverPool) setBudget(budget int) { p.budget.Store(int64(budget)) }

// openCount returns how many connections are open.
func (p *serverPool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns
}

// closeAllIdle closes all idle connections.
func (p *serverPool) closeAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		p.closeIdle(h)
	}
}

// retainListed drops the servers that a complete list does not contain.
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

// retire stops using a host. Attempts in progress on it continue.
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

// host returns the server's current process if it accepts new requests, else nil.
func (p *serverPool) host(id uint64) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil && h.accepting {
		return h
	}
	return nil
}

// accepts reports whether a host still accepts new requests.
func (p *serverPool) accepts(h *host) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.accepting
}

// markBroken closes a host's idle connections after one of its connections broke or could not be established:
// the others are likely dead too. It is not called for an unreadable answer, which doesn't suggest that.
func (p *serverPool) markBroken(h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(h)
}

// takeIdle returns the most recently used idle connection of a host, or nil.
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

// usable reports whether an idle connection may be used.
func (p *serverPool) usable(c *conn) bool {
	return time.Since(c.idleSince) < min(p.maxIdle, p.idleStats.limit) && c.quiet()
}

// recordExchange counts an exchange on a connection in the group of its idle time before.
func (p *serverPool) recordExchange(group int, broke bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleStats.add(time.Now(), group, broke)
}

// put keeps a connection for reuse, unless its host accepts no new requests.
func (p *serverPool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Clear the previous request's deadline: once it has passed, the check for silence would fail and the
	// connection would be closed.
	if !c.host.accepting || c.SetDeadline(time.Time{}) != nil {
		c.closeLocked()
		return
	}
	c.idleSince = time.Now()
	c.host.idle = append(c.host.idle, c)
}

// errConnBudget is returned when no further connection may be opened.
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

// sweep closes idle connections that have expired or were closed by the server, until the context ends.
func (p *serverPool) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
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

// quiet reports whether an idle connection is open with nothing to read. A connection closed by the server must
// not be used: the request would end as Cut, and one that is not idempotent could not be retried.
func (c *conn) quiet() bool { return sockets.IsIdle(c.Conn) }
