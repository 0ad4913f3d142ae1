package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/limiter"
)

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
	out = append(append(append(append(out, c.Method...), ' '), c.RequestURI...), " HTTP/1.1\r\n"...)
	out = appendHeader(out, "Host", c.Host)
	named := map[string]bool{}
	for _, v := range c.Header["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for k, vs := range c.Header {
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
	case len(c.body) > 0 || c.ContentLength != 0 || c.Method == http.MethodPost || c.Method == http.MethodPut:
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
	if !c.handOff.send() {
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
	c.countSentAfter()
	if _, err := r.Write(c.request(st, time.Until(c.stopAt))); err != nil {
		return reply{result: limiter.NoRoute}, false
	}
	if c.rest != nil {
		if err := c.rest.pass(r, c.y.link, c.stopAt); err != nil {
			return c.broke(r, err), false
		}
	}
	resp, err := http.ReadResponse(r.in, c.Request)
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(r.in, c.Request)
	}
	if err != nil {
		return c.broke(r, err), false
	}
	h := resp.Header
	if id := h.Get(headerAttempt); id != "" && id != c.Header.Get(headerAttempt) {
		return reply{result: limiter.Spoilt}, false
	}
	a := &answer{status: resp.StatusCode, head: forwarded(h)}
	r.lim.left = wholeMost + wholeMost/8
	if resp.ContentLength > wholeMost {
		if resp.StatusCode/100 != 2 || h.Get(headerSeal) == "" {
			return reply{result: limiter.Spoilt}, false
		}
		r.lim.left = resp.ContentLength + 64<<10
		a.stream = &answerStream{link: c.y.link, resp: resp, serverConn: r, length: resp.ContentLength, stopAt: c.stopAt}
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
