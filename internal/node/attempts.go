package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/limiter"
)

// try carries out an attempt and returns what came of it.
func (n *Node) runAttempt(att *attempt) reply {
	for {
		rep, stale := n.runAttemptOnce(att)
		if !stale {
			return rep
		}
	}
}

// tryOnce carries out an attempt on one connection. It is stale if the kept
// connection turned out to be of no use before anything was written on it.
func (n *Node) runAttemptOnce(att *attempt) (rep reply, stale bool) {
	c := n.servers.takeIdle(att.host)
	if c == nil {
		ctx, cancel := context.WithDeadline(context.Background(), att.deadline)
		defer cancel()
		n.mu.Lock()
		att.cancel = cancel
		ended := att.ended
		n.mu.Unlock()
		if ended {
			return reply{result: limiter.NoRoute, load: noLoad}, false
		}
		var err error
		c, err = n.servers.connect(ctx, att.host)
		if errors.Is(err, errConnBudget) {
			return reply{result: limiter.NoRoom, load: noLoad}, false
		}
		if err != nil {
			if ctx.Err() != context.Canceled { // given up: says nothing about the server
				n.servers.markBroken(att.host)
			}
			return reply{result: limiter.NoRoute, load: noLoad}, false
		}
	}
	// A connect takes time: what was decided before it may no longer hold. The
	// grace of a drain and the client's time count from the first byte sent.
	n.mu.Lock()
	deadline := n.endBy(att.deadline) // SIGTERM may have come after the request
	cancelled := att.ended || !n.servers.accepts(att.host) || !time.Now().Before(deadline)
	if att.cancel = nil; !cancelled {
		att.conn = c
	}
	n.mu.Unlock()
	if cancelled {
		// No longer the attempt's: giving it up must not close a connection that
		// another attempt has taken meanwhile.
		n.servers.put(c)
		return reply{result: limiter.NoRoute, load: noLoad}, false
	}
	rep, outcome := c.exchange(&att.req.call, deadline, n.attemptHooks(att))
	if outcome == connStreaming {
		return rep, false
	}
	n.mu.Lock()
	att.conn = nil
	ended := att.ended
	n.mu.Unlock()
	if outcome == connReusable && !ended {
		n.servers.put(c)
	} else {
		c.close() // before the next attempt can go out
	}
	if outcome == connBroken && !ended { // not where giving up closed it
		n.servers.markBroken(att.host)
	}
	if rep.result == limiter.Spoilt {
		n.badInputLog.warn("an answer can't be used", "server", att.host.id, "err", rep.err)
	}
	return rep, outcome == connStale && !ended
}

// ending is what is left of a connection after an exchange.
type connOutcome int

const (
	connDiscard connOutcome = iota // of no further use
	connReusable
	connStale     // kept, but closed or spoilt meanwhile: nothing was written on it
	connBroken    // the connection itself broke
	connStreaming // the answer is still to come on it
)

// exchange writes one request and reads its answer. It knows whether the last
// byte was written: a failure before that proves that nothing ran.
func (c *conn) exchange(call *call, deadline time.Time, h *hooks) (rep reply, outcome connOutcome) {
	rep = reply{result: limiter.NoRoute, load: noLoad}
	req := call.httpRequest(time.Until(deadline))
	var out bytes.Buffer
	if call.bodyRest == nil {
		if err := req.Write(&out); err != nil {
			return rep, connDiscard
		}
	}
	if c.SetDeadline(deadline) != nil {
		return rep, connBroken
	}
	// As late as can be: what a server sends behind an answer, also long after it,
	// must not be taken for the next one, and one that it has closed would cut an
	// unsafe request for good.
	if c.used && !c.quiet() {
		return rep, connStale
	}
	group := newConnGroup
	if c.used {
		group = idleGroup(time.Since(c.idleSince))
	}
	defer func() { c.serverPool.recordExchange(group, outcome == connBroken) }()
	c.used, c.src.remaining = true, maxAnswerBytes
	if call.bodyRest != nil {
		err := c.writeLong(req, call, h)
		switch rep.requestErr = call.bodyRest.err; {
		case rep.requestErr != nil: // which says nothing about the server
			rep.result = limiter.Undone
			return rep, connDiscard
		case errors.Is(err, errEarlyAnswer):
			return c.readEarlyAnswer(req, rep)
		case err != nil:
			return rep, connBroken
		}
	} else if _, err := c.Write(out.Bytes()); err != nil {
		return rep, connBroken
	}
	if h != nil && h.requestWritten != nil {
		if extended := h.requestWritten(); !extended.IsZero() {
			deadline = extended
		}
	}
	resp, err := c.readHead(req, deadline)
	if err == nil {
		rep.body, rep.stream, err = c.readAnswer(resp, deadline)
		if rep.stream == nil {
			defer resp.Body.Close()
		}
	}
	switch {
	case c.src.connErr != nil && err != nil:
		rep.result, rep.err = limiter.Cut, err
		return rep, connBroken
	case err == errNoAnswer:
		rep.result = limiter.TooSlow
		return rep, connDiscard
	case err != nil:
		// It may have run, and says nothing about the server: such answers come from
		// any, and the next one may be good.
		rep.result, rep.err = limiter.Spoilt, err
		return rep, connDiscard
	}
	rep.load = parseLoad(resp.Header.Get("X-Server-Load"))
	rep.contentType = resp.Header.Get("Content-Type")
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
		outcome = connStreaming
	case !resp.Close && c.reader.Buffered() == 0:
		outcome = connReusable
	}
	return rep, outcome
}

// early reads the answer of a server that has not waited for the whole request. Whatever it
// says, nothing ran: it has turned the request away.
func (c *conn) readEarlyAnswer(req *http.Request, rep reply) (reply, connOutcome) {
	resp, err := c.readHead(req, time.Now().Add(nextByteTimeout))
	if err != nil {
		return rep, connBroken
	}
	resp.Body.Close()
	rep.result, rep.load = limiter.NoRoom, parseLoad(resp.Header.Get("X-Server-Load"))
	return rep, connDiscard
}

// errSilent tells that no answer has begun in time.
var errNoAnswer = errors.New("no answer")

// read reads the head of the answer and passes over those that only announce it.
// Guards against an answer that begins and never ends: it is given up while there
// is time for another attempt.
func (c *conn) readHead(req *http.Request, deadline time.Time) (*http.Response, error) {
	for {
		if err := c.SetReadDeadline(deadline); err != nil {
			return nil, err
		}
		if _, err := c.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errNoAnswer
		}
		if err := c.SetReadDeadline(nextByteDeadline(deadline)); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
}

var errAnswerTooLong = errors.New("the answer is too long")

// request is the call in the form of net/http.
func (c *call) httpRequest(left time.Duration) *http.Request {
	h := http.Header{
		"User-Agent":   {""}, // none
		"X-Request-Id": {c.requestID},
		"X-Timeout":    {strconv.FormatInt(max(1, left.Milliseconds()), 10) + "m"},
	}
	if c.key != "" {
		h["Idempotency-Key"] = []string{c.key}
	}
	if c.contentType != "" {
		h["Content-Type"] = []string{c.contentType}
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
	started := time.Now()
	ev := limiter.Probed{Server: id, Result: limiter.NoRoute, Load: noLoad}
	if h := n.servers.host(id); h != nil {
		ctx, cancel := context.WithDeadline(context.Background(), started.Add(probeTimeout))
		defer cancel()
		var err error
		for outcome := connStale; outcome == connStale; {
			c := n.servers.takeIdle(h)
			if c == nil {
				if c, err = n.servers.connect(ctx, h); err != nil {
					break
				}
			}
			var rep reply
			rep, outcome = c.exchange(&call{method: http.MethodGet, target: healthPath, host: h.dialAddr}, started.Add(probeTimeout), nil)
			ev.Result, ev.Load = rep.result, rep.load
			if outcome == connReusable {
				n.servers.put(c)
			} else {
				c.close()
			}
		}
		switch {
		case errors.Is(err, errConnBudget):
			ev.Result = limiter.NoRoom
		case ev.Result == limiter.NoRoute, ev.Result == limiter.Cut, ev.Result == limiter.TooSlow:
			n.servers.markBroken(h)
		}
	}
	ev.SpentMs = msSince(started)
	n.reportProbe(ev)
}
