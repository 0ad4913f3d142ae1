package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/madderdrum/catalog"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/internal/sockets"
	"example.org/madderdrum/internal/wait"
	"example.org/madderdrum/limiter"
)

const (
	connectWithin = 400 * time.Millisecond
	probeWithin   = 400 * time.Millisecond
	wholeMost     = 1 << 20 // of an answer that is held whole, so that it can be had again elsewhere
	answerHead    = 64 << 10
	idleMost      = 8 * time.Second // of a connection to a server, where it names no time
	idleMargin    = 1500 * time.Millisecond
	idleUnsafe    = 3 * time.Second // for what can't be sent again
	idleKept      = 16
)

// upstream is one life of a server, with the connections to it.
type upstream struct {
	life    string
	address string
	service string
	number  uint32 // for other limiters

	// The proxy's mutex guards these.
	usable bool
	coldTo time.Time
	nextAt time.Time // when the next request may go to it while it is cold
	pause  time.Duration

	mu   sync.Mutex
	idle []*serverConn // the latest used last
}

func (s *upstream) cold(now time.Time) bool { return s.coldTo.After(now) }

// serverConn is a connection to a server: one request at a time.
type serverConn struct {
	net.Conn
	lim    *limited
	in     *bufio.Reader
	idleAt time.Time
	keep   time.Duration // it may be idle so long
	used   bool
	died   bool
}

func (r *serverConn) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.died = true
	}
	return n, err
}

// upstream returns that of a server's record. The proxy's mutex is held.
func (y *Proxy) upstream(r *catalog.Record) *upstream {
	st := y.upstreams[r.ID]
	if st == nil || st.address != r.Address {
		if st != nil {
			st.drop()
		}
		st = &upstream{life: r.ID, address: r.Address, service: r.Service, number: shortNumber(r.ID)}
		y.upstreams[r.ID] = st
	}
	if r.State == catalog.Gone || r.State == catalog.Silent {
		st.drop()
	}
	return st
}

func (s *upstream) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.idle {
		r.Close()
	}
	s.idle = nil
}

func (s *upstream) take(most time.Duration) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(s.idle); n > 0; n = len(s.idle) {
		r := s.idle[n-1]
		s.idle = s.idle[:n-1]
		if age := time.Since(r.idleAt); age < min(most, r.keep) && r.quiet() {
			return r
		}
		r.Close()
	}
	return nil
}

func (s *upstream) put(r *serverConn) {
	if r.SetDeadline(time.Time{}) != nil {
		r.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) >= idleKept {
		r.Close()
		return
	}
	r.idleAt = time.Now()
	s.idle = append(s.idle, r)
}

// quiet tells that an idle connection is open and silent.
func (r *serverConn) quiet() bool { return r.in.Buffered() == 0 && sockets.Quiet(r.Conn) }

// sweep closes connections whose time is up, and forgets servers that are gone.
func (y *Proxy) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, time.Second)
		y.mu.Lock()
		for life, st := range y.upstreams {
			st.mu.Lock()
			kept := st.idle[:0]
			for _, r := range st.idle {
				if time.Since(r.idleAt) < r.keep {
					kept = append(kept, r)
				} else {
					r.Close()
				}
			}
			clear(st.idle[len(kept):])
			st.idle = kept
			empty := len(kept) == 0
			st.mu.Unlock()
			if rec, ok := y.book.Get(y.now(), life); !ok && empty || ok && rec.State == catalog.Gone && empty && rec.Since > 60_000 {
				delete(y.upstreams, life)
			}
		}
		y.mu.Unlock()
	}
}

func resolveUDP(to string) (*net.UDPAddr, error) { return net.ResolveUDPAddr("udp", to) }

// connect opens a connection.
func (s *upstream) connect(stopAt time.Time) (*serverConn, error) {
	until := time.Now().Add(connectWithin)
	if stopAt.Before(until) {
		until = stopAt
	}
	d := net.Dialer{Deadline: until, KeepAlive: -1, Control: rpc.Patience}
	c, err := d.Dial("tcp", s.address)
	if err != nil {
		return nil, err
	}
	r := &serverConn{Conn: c, keep: idleMost}
	r.lim = &limited{r: r}
	r.in = bufio.NewReaderSize(r.lim, 4<<10)
	return r, nil
}

// reply is what came of an attempt.
type reply struct {
	result  limiter.Result
	answer  *answer
	spentMs float64
	// abandoned tells that the attempt was given up, or not begun, as the client has left.
	abandoned bool
}

// try carries out one attempt of a call at a server.
func (y *Proxy) try(c *call, st *upstream) (rep reply) {
	begun := time.Now()
	defer func() { rep.spentMs = ms(time.Since(begun)) }()
	most := idleMost
	if !c.route.Kind.Repeatable() {
		most = idleUnsafe
	}
	for {
		if c.clientLeft() {
			return reply{abandoned: true}
		}
		r := st.take(most)
		if r == nil {
			var err error
			if r, err = st.connect(c.stopAt); err != nil {
				st.drop()
				return reply{result: limiter.NoRoute}
			}
		}
		y.mu.Lock()
		off := !st.usable
		if !off {
			c.arrived++
		}
		y.mu.Unlock()
		if off { // it has begun to drain meanwhile
			st.put(r)
			return reply{result: limiter.StaleSend}
		}
		rep, stale := c.exchange(r, st)
		if stale {
			y.mu.Lock()
			c.arrived--
			y.mu.Unlock()
			continue
		}
		if rep.result == limiter.NoRoute && rep.answer != nil { // another server has the address
			rep.answer = nil
			st.drop()
			y.mu.Lock()
			y.gone[st.life] = true
			y.relist()
			y.mu.Unlock()
		}
		return rep
	}
}

// dropped are headers that concern one connection, or that the system writes itself.
var dropped = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	http.CanonicalHeaderKey(headerCredential): true, http.CanonicalHeaderKey(headerTenant): true,
	http.CanonicalHeaderKey(headerTarget): true, http.CanonicalHeaderKey(headerDeadline): true,
}

// request writes the request as a server gets it.
func (c *call) request(st *upstream, left time.Duration) []byte {
	out := make([]byte, 0, 512+len(c.body))
	out = append(append(append(append(out, c.req.Method...), ' '), c.req.RequestURI...), " HTTP/1.1\r\n"...)
	out = appendHeader(out, "Host", c.req.Host)
	named := map[string]bool{}
	for _, v := range c.req.Header["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for k, vs := range c.req.Header {
		if dropped[k] || named[k] && k != headerAttempt {
			continue
		}
		for _, v := range vs {
			out = appendHeader(out, k, v)
		}
	}
	out = appendHeader(out, headerDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	out = appendHeader(out, headerTarget, st.life)
	if c.tenant != nil {
		out = appendHeader(out, headerTenant, c.tenant.Name)
	}
	switch {
	case c.rest != nil && c.rest.length < 0:
		out = appendHeader(out, "Transfer-Encoding", "chunked")
		out = append(strconv.AppendInt(append(out, "\r\n"...), int64(len(c.body)), 16), "\r\n"...)
		return append(append(out, c.body...), "\r\n"...)
	case c.rest != nil:
		out = appendHeader(out, "Content-Length", strconv.FormatInt(c.rest.length, 10))
	case len(c.body) > 0 || c.req.ContentLength != 0 || c.req.Method == http.MethodPost || c.req.Method == http.MethodPut:
		out = appendHeader(out, "Content-Length", strconv.Itoa(len(c.body)))
	}
	return append(append(out, "\r\n"...), c.body...)
}

// exchange writes the request on a connection and reads its answer, as long as the client is there. It is
// stale if the connection turned out to be of no use before anything was written.
func (c *call) exchange(r *serverConn, st *upstream) (rep reply, stale bool) {
	if r.used && !r.quiet() {
		r.Close()
		return rep, true
	}
	// The last moment at which the lease of what pays for the request can be looked at: this process may
	// have stood still since it was admitted. Past stopAt nothing is written either.
	if c.lapsed = c.bound && !c.y.holds(); c.lapsed {
		st.put(r)
		return reply{result: limiter.StaleSend}, false
	}
	if c.clientLeft() {
		st.put(r)
		return reply{abandoned: true}, false
	}
	detach := c.attach(r)
	rep, keep := c.converse(r, st)
	if rep.answer != nil && rep.answer.stream != nil {
		rep.answer.stream.upstream, rep.answer.stream.detach = st, detach
		return rep, false
	}
	attached := detach()
	if keep && attached {
		st.put(r)
	} else {
		r.Close()
	}
	if !attached && rep.result != limiter.Pass {
		return reply{abandoned: true}, false
	}
	return rep, false
}

// converse writes the request on a connection and reads its answer. keep tells that the connection can be
// used again.
func (c *call) converse(r *serverConn, st *upstream) (rep reply, keep bool) {
	r.SetDeadline(c.stopAt)
	r.used, r.lim.left = true, answerHead
	c.noteSent()
	if _, err := r.Write(c.request(st, time.Until(c.stopAt))); err != nil {
		return reply{result: limiter.NoRoute}, false
	}
	if c.rest != nil {
		if err := c.rest.pass(r, c.y.link, c.stopAt); err != nil {
			return c.broke(r, err), false
		}
	}
	resp, err := http.ReadResponse(r.in, c.req)
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(r.in, c.req)
	}
	if err != nil {
		return c.broke(r, err), false
	}
	h := resp.Header
	if id := h.Get(headerAttempt); id != "" && id != c.req.Header.Get(headerAttempt) {
		return reply{result: limiter.Spoilt}, false
	}
	a := &answer{status: resp.StatusCode, head: forwarded(h)}
	r.lim.left = wholeMost + wholeMost/8
	if resp.ContentLength > wholeMost {
		if resp.StatusCode/100 != 2 || h.Get(headerSeal) == "" {
			return reply{result: limiter.Spoilt}, false
		}
		r.lim.left = resp.ContentLength + 64<<10
		a.stream = &passage{link: c.y.link, resp: resp, serverConn: r, length: resp.ContentLength, stopAt: c.stopAt}
		return reply{result: limiter.Pass, answer: a}, false
	}
	if resp.ContentLength >= 0 {
		a.body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(c.y.link.body(resp.Body, resp.ContentLength), a.body)
	} else {
		a.body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		return c.broke(r, err), false
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.StatusCode/100 == 2 {
		// Its end is the connection's end: a whole one can't be told from one cut short.
		return reply{result: limiter.Spoilt}, false
	}
	if keep = !resp.Close && r.in.Buffered() == 0; keep {
		r.keep = keepAlive(h.Get("Keep-Alive"))
	}
	rep.result = resultOf(resp)
	if rep.result != limiter.NoRoom && rep.result != limiter.Spoilt {
		rep.answer = a
	}
	return rep, keep
}

// resultOf is what a whole answer of a server tells.
func resultOf(resp *http.Response) limiter.Result {
	h := resp.Header
	sealed := h.Get(headerSeal) != ""
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return limiter.NoRoute
	case h.Get(headerUnrun) != "" && !sealed:
		return limiter.NoRoom
	case resp.StatusCode/100 == 2 && sealed && h.Get("Content-Encoding") == "":
		return limiter.Pass
	case resp.StatusCode/100 == 2:
		return limiter.Spoilt
	case resp.StatusCode < 500:
		return limiter.Pass
	}
	return limiter.Fault
}

// broke is what an answer that did not come whole tells.
func (c *call) broke(r *serverConn, err error) reply {
	var body *clientBodyError
	switch {
	case errors.As(err, &body):
		return reply{result: limiter.Spoilt}
	case r.died:
		return reply{result: limiter.Cut}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reply{result: limiter.TooSlow}
	}
	return reply{result: limiter.Spoilt}
}

// forwarded are the headers of a server's answer that its client gets.
func forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, vs := range h {
		if !dropped[k] {
			out[k] = vs
		}
	}
	return out
}

// keepAlive is how long a connection may be idle, by the server's word.
func keepAlive(text string) time.Duration {
	for part := range strings.SplitSeq(text, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil && n >= 0 {
				return max(0, time.Duration(n)*time.Second-idleMargin)
			}
		}
	}
	return idleMost
}

// passage is the rest of a long answer, on its way from a server to a client.
type passage struct {
	link       *link
	resp       *http.Response
	serverConn *serverConn
	upstream   *upstream
	length     int64
	stopAt     time.Time
	detach     func() bool // from the client: see attach
}

func (p *passage) drop() {
	p.detach()
	p.serverConn.Close()
}

// copy passes the rest on. Its error tells that the answer is not whole.
func (p *passage) copy(to net.Conn) error {
	buf := make([]byte, 16<<10)
	total := int64(0)
	body := p.link.body(p.resp.Body, p.length)
	for {
		p.serverConn.SetReadDeadline(p.stopAt)
		n, err := body.Read(buf)
		if n > 0 {
			to.SetWriteDeadline(time.Now().Add(writeWithin))
			p.link.piece(p.link.out, n)
			if _, werr := to.Write(buf[:n]); werr != nil {
				p.drop()
				return werr
			}
			total += int64(n)
		}
		if err == io.EOF && total == p.length {
			if p.detach() && !p.resp.Close && p.serverConn.in.Buffered() == 0 {
				p.upstream.put(p.serverConn)
			} else {
				p.serverConn.Close()
			}
			return nil
		}
		if err != nil {
			p.drop()
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
}

// probe asks a server for its health. The proxy's mutex is held.
func (e *engine) probe(id uint64) {
	y := e.y
	s := e.servers[id]
	v := y.view.Load()
	if s == nil || v == nil || y.upstreams[s.life] == nil {
		return
	}
	st := y.upstreams[s.life]
	path := "/health"
	if svc := v.table.Services[st.service]; svc != nil && svc.HealthPath != "" {
		path = svc.HealthPath
	}
	go func() {
		begun := time.Now()
		ev := limiter.Probed{Server: id, Result: limiter.NoRoute, Load: limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}}
		if r, err := st.connect(begun.Add(probeWithin)); err == nil {
			ev.Result = r.health(st, path, begun.Add(probeWithin))
			r.Close()
		}
		ev.SpentMs = ms(time.Since(begun))
		e.dispatch(ev)
	}()
}

// health asks for a server's health on a connection of its own.
func (r *serverConn) health(st *upstream, path string, until time.Time) limiter.Result {
	r.SetDeadline(until)
	r.lim.left = answerHead
	out := appendHeader([]byte("GET "+path+" HTTP/1.1\r\n"), "Host", st.address)
	if _, err := r.Write(append(out, "Connection: close\r\n\r\n"...)); err != nil {
		return limiter.NoRoute
	}
	resp, err := http.ReadResponse(r.in, nil)
	switch {
	case err != nil && r.died:
		return limiter.Cut
	case err != nil:
		return limiter.TooSlow
	case resp.StatusCode != 200 || resp.Header.Get("X-Madderdrum-Instance-Id") != st.life:
		return limiter.Fault
	}
	return limiter.Pass
}
