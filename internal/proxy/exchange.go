package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/internal/httpresponse"
	"example.org/madderdrum/limiter"
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	result  limiter.Result
	answer  *answer
	spentMs float64
	// abandoned is set if the attempt was aborted or not started because the client has disconnected.
	abandoned bool
	// untilClose is set if the answer had no length and ended with its connection.
	untilClose bool
}

// attempt sends a call to a server once and returns the outcome. Stale idle connections are skipped.
func (proxy *Proxy) attempt(c *call, server *upstream) (outcome attemptResult) {
	startedAt := time.Now()
	defer func() { outcome.spentMs = ms(time.Since(startedAt)) }()
	maxIdle := defaultServerIdle
	if !c.route.Kind.Repeatable() {
		maxIdle = unsafeServerIdle
	}
	for {
		if c.clientLeft() {
			return attemptResult{abandoned: true}
		}
		conn := server.takeIdle(maxIdle)
		if conn == nil {
			var err error
			if conn, err = server.connect(c.deadline); err != nil {
				server.closeIdle()
				return attemptResult{result: limiter.NoRoute}
			}
		}
		proxy.mu.Lock()
		draining := !server.usable
		if !draining {
			c.arrivals++
		}
		proxy.mu.Unlock()
		if draining { // the server started draining in the meantime
			server.putIdle(conn)
			return attemptResult{result: limiter.StaleSend}
		}
		outcome, stale := c.exchange(conn, server)
		if stale {
			proxy.mu.Lock()
			c.arrivals--
			proxy.mu.Unlock()
			continue
		}
		if outcome.result == limiter.NoRoute && outcome.answer != nil { // another server has taken over the address
			outcome.answer = nil
			server.closeIdle()
			proxy.mu.Lock()
			proxy.replacedInstances[server.instanceID] = true
			proxy.updateServers()
			proxy.mu.Unlock()
		}
		return outcome
	}
}

// unforwardedHeaders are hop-by-hop headers and headers that this system sets itself.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true,
	"Upgrade":           true, "Content-Length": true, "Host": true, "Expect": true,
	http.CanonicalHeaderKey(headerCredential): true, http.CanonicalHeaderKey(headerTenant): true,
	http.CanonicalHeaderKey(headerTarget): true, http.CanonicalHeaderKey(headerDeadline): true,
}

// encodeRequest returns the request as it is sent to a server.
func (c *call) encodeRequest(server *upstream, timeLeft time.Duration) []byte {
	out := make([]byte, 0, 512+len(c.body))
	out = append(append(append(append(out, c.Method...), ' '), c.RequestURI...), " HTTP/1.1\r\n"...)
	out = appendHeader(out, "Host", c.Host)
	connectionHeaders := map[string]bool{}
	for _, v := range c.Header["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for k, vs := range c.Header {
		if unforwardedHeaders[k] || connectionHeaders[k] && k != headerAttempt {
			continue
		}
		for _, v := range vs {
			out = appendHeader(out, k, v)
		}
	}
	out = appendHeader(out, headerDeadline, strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10))
	out = appendHeader(out, headerTarget, server.instanceID)
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

// exchange sends the request on a connection and reads the answer, unless the client disconnects. stale is set if
// the connection turned out to be unusable before anything was written.
func (c *call) exchange(conn *serverConn, server *upstream) (outcome attemptResult, stale bool) {
	if conn.used && !conn.isQuiet() {
		conn.Close()
		return outcome, true
	}
	// Last check of the lease that pays for the request: the process may have been stopped since the request was
	// admitted. Nothing is written after the deadline either.
	if c.leaseLapsed = c.needsShare && !c.proxy.holdsShare(); c.leaseLapsed {
		server.putIdle(conn)
		return attemptResult{result: limiter.StaleSend}, false
	}
	if c.clientLeft() {
		server.putIdle(conn)
		return attemptResult{abandoned: true}, false
	}
	if !c.handOff.beginSend() {
		server.putIdle(conn)
		return attemptResult{abandoned: true}, false
	}
	detach := c.closeOnDisconnect(conn)
	outcome, reuse := c.roundTrip(conn, server)
	if outcome.answer != nil && outcome.answer.stream != nil {
		outcome.answer.stream.upstream, outcome.answer.stream.detach = server, detach
		return outcome, false
	}
	attached := detach()
	if reuse && attached {
		server.putIdle(conn)
	} else {
		conn.Close()
	}
	if !attached && outcome.result != limiter.Pass {
		return attemptResult{abandoned: true}, false
	}
	return outcome, false
}

// roundTrip writes the request to a connection and reads the answer, which may come before the request has been
// written completely. reuse says that the connection can be reused.
func (c *call) roundTrip(conn *serverConn, server *upstream) (outcome attemptResult, reuse bool) {
	conn.SetDeadline(c.deadline)
	conn.used, conn.limited.remaining = true, maxAnswerHead
	c.countSentAfterDisconnect()
	write := c.startWrite(conn, c.encodeRequest(server, time.Until(c.deadline)))
	if write.failedUnsent() {
		return attemptResult{result: limiter.NoRoute}, false
	}
	outcome, reuse, err := c.readAnswer(conn)
	if err == nil && outcome.answer != nil && outcome.answer.stream != nil {
		outcome.answer.stream.write = write // the server may need the rest of the body for the rest of its answer
		return outcome, false
	}
	reusable := write.stop()
	switch {
	case err == nil && outcome.untilClose && !write.complete:
		// The connection may have been reset: the writer gets that error, and the reader then sees a regular end.
		return attemptResult{result: limiter.Cut}, false
	case err == nil:
		return outcome, reuse && reusable
	case !write.anySent:
		return attemptResult{result: limiter.NoRoute}, false
	case write.bodyErr != nil:
		return c.errorResult(conn, write.bodyErr), false
	}
	return c.errorResult(conn, err), false
}

// readAnswer reads the answer to a request. reuse says that the connection can be reused once the request has been
// written completely.
func (c *call) readAnswer(conn *serverConn) (outcome attemptResult, reuse bool, err error) {
	resp, err := httpresponse.ReadFinal(conn.in, c.Method)
	if err != nil {
		return attemptResult{}, false, err
	}
	h := resp.Header
	if id := h.Get(headerAttempt); id != "" && id != c.Header.Get(headerAttempt) {
		return attemptResult{result: limiter.Spoilt}, false, nil
	}
	a := &answer{status: resp.StatusCode, head: forwardedHeaders(h)}
	conn.limited.remaining = maxBufferedAnswer + maxBufferedAnswer/8
	if resp.ContentLength > maxBufferedAnswer {
		if resp.StatusCode/100 != 2 || classifyResponse(resp) != limiter.Pass {
			return attemptResult{result: limiter.Spoilt}, false, nil
		}
		conn.limited.remaining = resp.ContentLength + 64<<10
		a.stream = &answerStream{link: c.proxy.link, resp: resp, serverConn: conn, length: resp.ContentLength,
			deadline: c.deadline}
		return attemptResult{result: limiter.Pass, answer: a}, false, nil
	}
	if resp.ContentLength >= 0 {
		a.body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(c.proxy.link.body(resp.Body, resp.ContentLength), a.body)
	} else {
		a.body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		return attemptResult{}, false, err
	}
	outcome.untilClose = httpresponse.EndsWithConnection(resp)
	if outcome.untilClose && resp.StatusCode/100 == 2 { // a truncated body looks complete
		return attemptResult{result: limiter.Spoilt}, false, nil
	}
	if reuse = !resp.Close && conn.in.Buffered() == 0; reuse {
		conn.reuse = parseKeepAlive(h.Get("Keep-Alive"))
	}
	outcome.result = classifyResponse(resp)
	if outcome.result != limiter.NoRoom && outcome.result != limiter.Spoilt {
		outcome.answer = a
	}
	return outcome, reuse, nil
}

// classifyResponse returns the result that a response of a server stands for if its body is complete.
func classifyResponse(resp *http.Response) limiter.Result {
	h := resp.Header
	sealed := h.Get(headerSeal) != ""
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return limiter.NoRoute
	case h.Get(headerNotExecuted) != "" && !sealed:
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

// errorResult returns the result of an attempt that failed with err before the answer was complete.
func (c *call) errorResult(conn *serverConn, err error) attemptResult {
	var body *clientBodyError
	switch {
	case errors.As(err, &body):
		return attemptResult{result: limiter.Spoilt}
	case conn.readErr != nil:
		return attemptResult{result: limiter.Cut}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return attemptResult{result: limiter.TooSlow}
	}
	return attemptResult{result: limiter.Spoilt}
}

// forwardedHeaders returns the response headers that are passed on to the client.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, vs := range h {
		if !unforwardedHeaders[k] {
			out[k] = vs
		}
	}
	return out
}

// parseKeepAlive returns how long a connection may be idle, by the server's Keep-Alive header.
func parseKeepAlive(text string) time.Duration {
	for part := range strings.SplitSeq(text, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil && n >= 0 {
				return max(0, time.Duration(n)*time.Second-serverIdleMargin)
			}
		}
	}
	return defaultServerIdle
}
