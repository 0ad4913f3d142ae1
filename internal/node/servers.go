package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/madderdrum/internal/sockets"
	"example.org/madderdrum/limiter"
)

const (
	maxBody      = 64 << 10 // of a body is held whole
	probeTimeout = 250 * time.Millisecond
	sweepEvery   = 500 * time.Millisecond

	// maxAnswer bounds what is read for one answer, with the heads that announce it
	// and the frames of its chunks.
	maxAnswer = maxHead + 2*maxBody
	// An answer that has begun comes whole within restTime, which leaves room for a
	// lost packet, or within this part of the time left.
	restTime = 250 * time.Millisecond
	restPart = 4
	// maxLoad is more than any load that a server can have.
	maxLoad = 1e6
)

// noLoad is the load of an answer without a report.
var noLoad = limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}

// pool keeps the connections to servers. It is not http.Transport, which sends
// a request again by itself when a kept-alive connection breaks: a second copy.
type pool struct {
	budget      atomic.Int64 // most connections
	connTimeout time.Duration
	idleFor     time.Duration // idle connections are closed after this
	counters    *counters

	mu    sync.Mutex
	hosts map[uint64]*host
	open  int // connections open or coming up
	ages  ages
}

// host is one process of a server at one address.
type host struct {
	id     uint64
	dial   string
	bornMs float64
	up     bool    // wants new requests
	taken  bool    // another server stands at its address
	idle   []*conn // the latest used last
}

// conn is a connection to a server that carries one request at a time.
type conn struct {
	net.Conn
	pool   *pool
	host   *host
	from   *answerReader
	in     *bufio.Reader // reads from it
	used   bool          // an answer has come on it
	idleAt time.Time
	once   sync.Once
}

// answerReader is what a conn reads answers from.
type answerReader struct {
	from io.Reader
	left int   // bytes that may still come for this answer
	died error // how the connection ended
}

// Read guards against an answer, or heads that announce one, without end, and
// tells the end of a connection from an answer that can't be read.
func (a *answerReader) Read(b []byte) (int, error) {
	if a.left <= 0 {
		return 0, errTooLong
	}
	n, err := a.from.Read(b[:min(len(b), a.left)])
	a.left -= n
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.died = err
	}
	return n, err
}

// reply is what came of an attempt.
type reply struct {
	result  limiter.Result
	body    []byte
	content string
	load    limiter.Load
	stream  *answerStream // an answer that goes on while it comes; body is nil
	spentMs float64       // 0: up to now
	gone    error         // why the client's request did not become whole
	err     error         // why an answer was of no use
}

func newPool(budget int, connTimeout, idleFor time.Duration) *pool {
	p := &pool{connTimeout: connTimeout, idleFor: idleFor, hosts: map[uint64]*host{},
		ages: ages{at: time.Now(), limit: ageForever}}
	p.budget.Store(int64(budget))
	return p
}

// update takes in what the list says of a server and tells whether that is
// news. Connections to an earlier process or address are not used again.
func (p *pool) update(info limiter.ServerInfo, dial string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, up := p.hosts[info.ID], info.Phase == limiter.Up
	switch {
	case info.Phase == limiter.Removed:
		p.drop(h)
		delete(p.hosts, info.ID)
		return h != nil
	case h == nil || h.dial != dial || h.bornMs != info.ReadyAt:
		p.drop(h)
		// One that still stands at this address is gone: guards against sending to the
		// new server under the old one's name, on its connections or pending connects.
		for _, o := range p.hosts {
			if o.id != info.ID && o.dial == dial {
				o.taken = true
				p.drop(o)
			}
		}
		p.hosts[info.ID] = &host{id: info.ID, dial: dial, bornMs: info.ReadyAt, up: up}
		return true
	}
	up = up && !h.taken
	news := h.up != up
	if h.up = up; !up {
		p.closeIdle(h)
	}
	return news
}

// allow changes how many connections may be open.
func (p *pool) allow(budget int) { p.budget.Store(int64(budget)) }

// count is how many connections are open.
func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// rest closes all idle connections.
func (p *pool) rest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		p.closeIdle(h)
	}
}

// keepOnly drops the servers that a whole list does not name.
func (p *pool) keepOnly(listed map[uint64]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, h := range p.hosts {
		if !listed[id] {
			p.drop(h)
			delete(p.hosts, id)
		}
	}
}

// drop retires a host. Attempts that are out on it go on.
func (p *pool) drop(h *host) {
	if h != nil {
		h.up = false
		p.closeIdle(h)
	}
}

func (p *pool) closeIdle(h *host) {
	for _, c := range h.idle {
		c.closeLocked()
	}
	h.idle = nil
}

// host returns the process of a server that may be sent something new.
func (p *pool) host(id uint64) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil && h.up {
		return h
	}
	return nil
}

// wanted tells whether a host still is to be sent something new.
func (p *pool) wanted(h *host) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.up
}

// broken closes a host's idle connections after one of its connections broke
// or could not be made: the others are as likely dead. An answer that can't be
// read says nothing of the kind.
func (p *pool) broken(h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(h)
}

// take returns the idle connection of a host that was used last, or nil.
func (p *pool) take(h *host) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if p.sound(c) {
			return c
		}
		c.closeLocked()
	}
	return nil
}

// sound tells whether an idle connection may be used.
func (p *pool) sound(c *conn) bool {
	return time.Since(c.idleAt) < min(p.idleFor, p.ages.limit) && c.quiet()
}

// note counts an exchange on a connection by how long that was idle before.
func (p *pool) note(group int, broke bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ages.add(time.Now(), group, broke)
}

// put keeps a connection for later, unless its host has moved on.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The deadline of the request before must not stay: once it has passed, the
	// check for silence fails and the connection would be closed.
	if !c.host.up || c.SetDeadline(time.Time{}) != nil {
		c.closeLocked()
		return
	}
	c.idleAt = time.Now()
	c.host.idle = append(c.host.idle, c)
}

// errNoRoom tells that the budget of connections is used up.
var errNoRoom = errors.New("no connection left in the budget")

// connect opens a connection to a host.
func (p *pool) connect(ctx context.Context, h *host) (*conn, error) {
	p.mu.Lock()
	if p.open >= int(p.budget.Load()) {
		p.evict()
	}
	if p.open >= int(p.budget.Load()) {
		p.mu.Unlock()
		return nil, errNoRoom
	}
	p.open++
	p.mu.Unlock()
	p.counters.connect()
	d := net.Dialer{Timeout: p.connTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", h.dial)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	from := &answerReader{from: nc}
	return &conn{Conn: nc, pool: p, host: h, from: from, in: bufio.NewReader(from)}, nil
}

// evict closes the connection that has been idle longest.
func (p *pool) evict() {
	var oldest *host
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleAt.Before(oldest.idle[0].idleAt)) {
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
func (p *pool) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepEvery)
		p.mu.Lock()
		p.ages.fade(time.Now())
		p.ages.judge()
		for _, h := range p.hosts {
			kept := h.idle[:0]
			for _, c := range h.idle {
				if p.sound(c) {
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
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.closeLocked()
}

func (c *conn) closeLocked() {
	c.once.Do(func() {
		c.pool.open--
		c.Conn.Close()
	})
}

// quiet tells that an idle connection is open and silent. One that the server
// has closed must not be used: the request would end as a Cut, and an unsafe
// one could not be sent again.
func (c *conn) quiet() bool { return sockets.Quiet(c.Conn) }

// try carries out an attempt and returns what came of it.
func (n *Node) try(at *attempt) reply {
	for {
		rep, stale := n.tryOnce(at)
		if !stale {
			return rep
		}
	}
}

// tryOnce carries out an attempt on one connection. It is stale if the kept
// connection turned out to be of no use before anything was written on it.
func (n *Node) tryOnce(at *attempt) (rep reply, stale bool) {
	c := n.servers.take(at.host)
	if c == nil {
		ctx, cancel := context.WithDeadline(context.Background(), at.stopAt)
		defer cancel()
		n.mu.Lock()
		at.cancel = cancel
		over := at.over
		n.mu.Unlock()
		if over {
			return reply{result: limiter.NoRoute, load: noLoad}, false
		}
		var err error
		c, err = n.servers.connect(ctx, at.host)
		if errors.Is(err, errNoRoom) {
			return reply{result: limiter.NoRoom, load: noLoad}, false
		}
		if err != nil {
			if ctx.Err() != context.Canceled { // given up: says nothing about the server
				n.servers.broken(at.host)
			}
			return reply{result: limiter.NoRoute, load: noLoad}, false
		}
	}
	// A connect takes time: what was decided before it may no longer hold. The
	// grace of a drain and the client's time count from the first byte sent.
	n.mu.Lock()
	stopAt := n.endBy(at.stopAt) // SIGTERM may have come after the request
	off := at.over || !n.servers.wanted(at.host) || !time.Now().Before(stopAt)
	if at.cancel = nil; !off {
		at.conn = c
	}
	n.mu.Unlock()
	if off {
		// No longer the attempt's: giving it up must not close a connection that
		// another attempt has taken meanwhile.
		n.servers.put(c)
		return reply{result: limiter.NoRoute, load: noLoad}, false
	}
	rep, end := c.exchange(&at.req.call, stopAt, n.goingOn(at))
	if end == streaming {
		return rep, false
	}
	n.mu.Lock()
	at.conn = nil
	over := at.over
	n.mu.Unlock()
	if end == reusable && !over {
		n.servers.put(c)
	} else {
		c.close() // before the next attempt can go out
	}
	if end == dead && !over { // not where giving up closed it
		n.servers.broken(at.host)
	}
	if rep.result == limiter.Spoilt {
		n.badInput.warn("an answer can't be used", "server", at.host.id, "err", rep.err)
	}
	return rep, end == unused && !over
}

// ending is what is left of a connection after an exchange.
type ending int

const (
	finished ending = iota // of no further use
	reusable
	unused    // kept, but closed or spoilt meanwhile: nothing was written on it
	dead      // the connection itself broke
	streaming // the answer is still to come on it
)

// exchange writes one request and reads its answer. It knows whether the last
// byte was written: a failure before that proves that nothing ran.
func (c *conn) exchange(call *call, stopAt time.Time, h *hooks) (rep reply, end ending) {
	rep = reply{result: limiter.NoRoute, load: noLoad}
	req := call.request(time.Until(stopAt))
	var out bytes.Buffer
	if call.rest == nil {
		if err := req.Write(&out); err != nil {
			return rep, finished
		}
	}
	if c.SetDeadline(stopAt) != nil {
		return rep, dead
	}
	// As late as can be: what a server sends behind an answer, also long after it,
	// must not be taken for the next one, and one that it has closed would cut an
	// unsafe request for good.
	if c.used && !c.quiet() {
		return rep, unused
	}
	group := newConns
	if c.used {
		group = ageGroup(time.Since(c.idleAt))
	}
	defer func() { c.pool.note(group, end == dead) }()
	c.used, c.from.left = true, maxAnswer
	if call.rest != nil {
		err := c.writeLong(req, call, h)
		switch rep.gone = call.rest.err; {
		case rep.gone != nil: // which says nothing about the server
			rep.result = limiter.Undone
			return rep, finished
		case errors.Is(err, errAnswered):
			return c.early(req, rep)
		case err != nil:
			return rep, dead
		}
	} else if _, err := c.Write(out.Bytes()); err != nil {
		return rep, dead
	}
	if h != nil && h.whole != nil {
		if later := h.whole(); !later.IsZero() {
			stopAt = later
		}
	}
	resp, err := c.read(req, stopAt)
	if err == nil {
		rep.body, rep.stream, err = c.readAnswer(resp, stopAt)
		if rep.stream == nil {
			defer resp.Body.Close()
		}
	}
	switch {
	case c.from.died != nil && err != nil:
		rep.result, rep.err = limiter.Cut, err
		return rep, dead
	case err == errSilent:
		rep.result = limiter.TooSlow
		return rep, finished
	case err != nil:
		// It may have run, and says nothing about the server: such answers come from
		// any, and the next one may be good.
		rep.result, rep.err = limiter.Spoilt, err
		return rep, finished
	}
	rep.load = parseLoad(resp.Header.Get("X-Server-Load"))
	rep.content = resp.Header.Get("Content-Type")
	switch code := resp.StatusCode; {
	case code == http.StatusOK:
		rep.result = limiter.Pass
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1":
		rep.result = limiter.NoRoom
	default:
		rep.result = limiter.Fault
	}
	switch {
	case rep.stream != nil:
		end = streaming
	case !resp.Close && c.in.Buffered() == 0:
		end = reusable
	}
	return rep, end
}

// early reads the answer of a server that has not waited for the whole request. Whatever it
// says, nothing ran: it has turned the request away.
func (c *conn) early(req *http.Request, rep reply) (reply, ending) {
	resp, err := c.read(req, time.Now().Add(restTime))
	if err != nil {
		return rep, dead
	}
	resp.Body.Close()
	rep.result, rep.load = limiter.NoRoom, parseLoad(resp.Header.Get("X-Server-Load"))
	return rep, finished
}

// errSilent tells that no answer has begun in time.
var errSilent = errors.New("no answer")

// read reads the head of the answer and passes over those that only announce it.
// Guards against an answer that begins and never ends: it is given up while there
// is time for another attempt.
func (c *conn) read(req *http.Request, stopAt time.Time) (*http.Response, error) {
	for {
		if err := c.SetReadDeadline(stopAt); err != nil {
			return nil, err
		}
		if _, err := c.in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errSilent
		}
		if err := c.SetReadDeadline(soon(stopAt)); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.in, req)
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
}

var errTooLong = errors.New("the answer is too long")

// request is the call in the form of net/http.
func (c *call) request(left time.Duration) *http.Request {
	h := http.Header{
		"User-Agent":   {""}, // none
		"X-Request-Id": {c.requestID},
		"X-Timeout":    {strconv.FormatInt(max(1, left.Milliseconds()), 10) + "m"},
	}
	if c.key != "" {
		h["Idempotency-Key"] = []string{c.key}
	}
	if c.content != "" {
		h["Content-Type"] = []string{c.content}
	}
	// Opaque is written as it stands, where Path and RawQuery may be encoded anew.
	r := &http.Request{Method: c.method, URL: &url.URL{Opaque: c.target}, Host: c.host, Header: h}
	if len(c.body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	return r
}

// parseLoad reads a load report; what is not understood counts as not reported.
func parseLoad(text string) limiter.Load {
	l := noLoad
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxLoad) {
			continue
		}
		switch strings.TrimSpace(name) {
		case "inflight":
			l.Busy = v
		case "queue":
			l.Pending = v
		case "latency_ms":
			l.ServiceMs = v
		}
	}
	return l
}

// probe asks a server for its health and reports the result to the module.
func (n *Node) probe(id uint64) {
	begun := time.Now()
	ev := limiter.Probed{Server: id, Result: limiter.NoRoute, Load: noLoad}
	if h := n.servers.host(id); h != nil {
		ctx, cancel := context.WithDeadline(context.Background(), begun.Add(probeTimeout))
		defer cancel()
		var err error
		for end := unused; end == unused; {
			c := n.servers.take(h)
			if c == nil {
				if c, err = n.servers.connect(ctx, h); err != nil {
					break
				}
			}
			var rep reply
			rep, end = c.exchange(&call{method: http.MethodGet, target: healthPath, host: h.dial}, begun.Add(probeTimeout), nil)
			ev.Result, ev.Load = rep.result, rep.load
			if end == reusable {
				n.servers.put(c)
			} else {
				c.close()
			}
		}
		switch {
		case errors.Is(err, errNoRoom):
			ev.Result = limiter.NoRoom
		case ev.Result == limiter.NoRoute, ev.Result == limiter.Cut, ev.Result == limiter.TooSlow:
			n.servers.broken(h)
		}
	}
	ev.SpentMs = msSince(begun)
	n.looked(ev)
}
