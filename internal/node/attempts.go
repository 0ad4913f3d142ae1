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

	"example.org/madderdrum/internal/httpresponse"
	"example.org/madderdrum/limiter"
)

// runAttempt carries out an attempt and returns its result.
func (n *Node) runAttempt(att *attempt) reply {
	for {
		rep, stale := n.runAttemptOnce(att)
		if !stale {
			return rep
		}
	}
}

// runAttemptOnce carries out an attempt on one connection. stale is true if the kept-alive connection turned
// out to be unusable before anything was written to it.
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
			if ctx.Err() != context.Canceled { // a cancelled connect says nothing about the server
				n.servers.markBroken(att.host)
			}
			return reply{result: limiter.NoRoute, load: noLoad}, false
		}
	}
	// Connecting takes time: conditions checked before may have changed. The grace period of a drain and the
	// client's deadline apply to the first byte sent.
	n.mu.Lock()
	deadline := n.endBy(att.deadline) // SIGTERM may have arrived after the request
	cancelled := att.ended || !n.servers.accepts(att.host) || !time.Now().Before(deadline)
	if att.cancel = nil; !cancelled {
		att.conn = c
	}
	n.mu.Unlock()
	if cancelled {
		// The connection is not assigned to the attempt: cancelling the attempt must not close a connection
		// that another attempt has taken meanwhile.
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
		c.close() // before the next attempt can start
	}
	if outcome == connBroken && !ended { // not if cancelling the attempt closed it
		n.servers.markBroken(att.host)
	}
	if rep.result == limiter.Spoilt {
		n.badInputLog.warn("a server sent an unusable answer", "server", att.host.id, "err", rep.err)
	}
	return rep, outcome == connStale && !ended
}

// connOutcome is the state of a connection after an exchange.
type connOutcome int

const (
	connDiscard connOutcome = iota // not usable any more
	connReusable
	connStale     // kept alive, but closed or unusable since: nothing was written to it
	connBroken    // the connection itself broke
	connStreaming // the rest of the answer is still to be read from it
)

// exchange writes one request and reads its answer. It distinguishes failures before the last byte was written,
// which prove that the request was not executed.
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
	// Checked as late as possible: bytes that a server sends after an answer, even much later, must not be read
	// as the next answer, and on a connection that it has closed a request that is not idempotent would be
	// lost.
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
		case rep.requestErr != nil: // doesn't count against the server
			rep.result = limiter.Undone
			return rep, connDiscard
		case err != nil && !c.quiet(): // also where the server reset the connection behind an answer
			return c.readEarlyAnswer(req, rep, !errors.Is(err, errEarlyAnswer))
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
	if err != nil {
		return c.answerFailed(rep, err)
	}
	rep.load = parseLoad(resp.Header.Get("X-Server-Load"))
	rep.contentType = resp.Header.Get("Content-Type")
	rep.result = classifyAnswer(resp)
	switch {
	case rep.stream != nil:
		outcome = connStreaming
	case !resp.Close && c.reader.Buffered() == 0:
		outcome = connReusable
	}
	return rep, outcome
}

// answerFailed returns the result of an attempt whose answer could not be read. The request may have been executed.
func (c *conn) answerFailed(rep reply, err error) (reply, connOutcome) {
	switch {
	case c.src.connErr != nil:
		rep.result, rep.err = limiter.Cut, err
		return rep, connBroken
	case err == errNoAnswer:
		rep.result = limiter.TooSlow
		return rep, connDiscard
	}
	// This doesn't count against the server: any server may send such answers, and its next one may be good.
	rep.result, rep.err = limiter.Spoilt, err
	return rep, connDiscard
}

// classifyAnswer returns the result that a complete answer of a server stands for.
func classifyAnswer(resp *http.Response) limiter.Result {
	switch code := resp.StatusCode; {
	case code == http.StatusOK:
		return limiter.Pass
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1":
		return limiter.NoRoom
	}
	return limiter.Fault
}

// errEarlySuccess is the error of an answer that claims success before the server had the complete request.
var errEarlySuccess = errors.New("the server answered 200 before it had the complete request")

// readEarlyAnswer reads the answer of a server that did not wait for the complete request. Only a complete answer proves
// that the request was rejected and not executed. writeFailed says that the request could not be written, so that the
// error that ended the connection is known already and reading may not meet it again.
func (c *conn) readEarlyAnswer(req *http.Request, rep reply, writeFailed bool) (reply, connOutcome) {
	deadline := time.Now().Add(nextByteTimeout * nextByteDivisor)
	resp, err := c.readHead(req, deadline)
	if c.src.remaining == maxAnswerBytes { // the connection ended without an answer
		return rep, connBroken
	}
	if err == nil {
		err = c.dropAnswer(resp, deadline)
	}
	if err == nil && writeFailed && httpresponse.EndsWithConnection(resp) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return c.answerFailed(rep, err)
	}
	rep.load = parseLoad(resp.Header.Get("X-Server-Load"))
	if rep.result = classifyAnswer(resp); rep.result == limiter.Pass {
		rep.result, rep.err = limiter.Spoilt, errEarlySuccess
	}
	return rep, connDiscard
}

// errNoAnswer is returned when no answer has begun in time.
var errNoAnswer = errors.New("no answer")

// readHead reads the header of the answer and skips informational ones. An answer that begins and does not end
// is given up while there is time for another attempt.
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
		resp, err := httpresponse.Read(c.reader, req.Method)
		if err != nil || !httpresponse.IsInterim(resp.StatusCode) {
			return resp, err
		}
	}
}

var errAnswerTooLong = errors.New("the answer is too long")

// httpRequest returns the call as a net/http request.
func (c *call) httpRequest(left time.Duration) *http.Request {
	h := http.Header{
		"User-Agent":   {""}, // no header
		"X-Request-Id": {c.requestID},
		"X-Timeout":    {strconv.FormatInt(max(1, left.Milliseconds()), 10) + "m"},
	}
	if c.key != "" {
		h["Idempotency-Key"] = []string{c.key}
	}
	if c.contentType != "" {
		h["Content-Type"] = []string{c.contentType}
	}
	// Opaque is written unchanged, while Path and RawQuery might be encoded differently.
	r := &http.Request{Method: c.method, URL: &url.URL{Opaque: c.target}, Host: c.host, Header: h}
	if len(c.body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	return r
}

// parseLoad reads a load report; invalid values are treated as not reported.
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

// probe checks a server's health and reports the result to the module.
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
			rep, outcome = c.exchange(&call{method: http.MethodGet, target: healthPath, host: h.dialAddr},
				started.Add(probeTimeout), nil)
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
