package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/limiter"
)

const (
	defaultSockets  = 1024
	reservedSockets = 32 // for listeners, discovery, peers and files
	minSockets      = 2 * reservedSockets

	// headerTimeout limits how long a request header may take, from connecting or from its first byte; slow
	// clients take 2 s. For bodies see upload.
	headerTimeout  = 2500 * time.Millisecond
	idleTimeout    = 2 * time.Second // for a connection between requests
	writeSlack     = 5 * time.Second // for writing an answer, past the longest deadline
	maxHeaderBytes = 16 << 10
	maxIDLength    = 128
	// clientReceiveBuffer limits how many unread bytes of a client the kernel buffers.
	clientReceiveBuffer = 128 << 10

	// Attempts end this long before the client's deadline, so that the answer is sent in time; at most the
	// given fraction of a short deadline.
	answerMargin  = 10 * time.Millisecond
	marginDivisor = 4

	healthPath       = "/healthz"
	fullRetryAfterMs = 50.0 // ms a client should stay away from a limiter at capacity
)

// socketBudget divides the file descriptors between servers and clients, so that connections to servers never
// use up those that clients need. Clients usually use at most a third of the descriptors for connections with a
// request, each of which needs one connection to a server; the rest is for connections without a request.
func socketBudget(sockets int) (upstream, clients int) {
	if sockets == 0 {
		sockets = defaultSockets
	}
	upstream = (sockets + 2) / 3
	return upstream, sockets - reservedSockets - upstream
}

// connKey is the context key of a request's connection.
type connKey struct{}

// newServer returns the HTTP server for clients.
func (n *Node) newServer(errorLog *log.Logger) *http.Server {
	// No ServeMux: it would redirect requests whose path is not in its normal form.
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
			if err := checkFraming(hr); err != nil {
				n.rejectRequest(w, hr, err)
			} else if hr.URL.Path == healthPath && hr.Method == http.MethodGet {
				n.serveHealth(w)
			} else {
				n.serve(w, hr)
			}
		}),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      n.writeTimeout(),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog,
		ConnState:         n.conns.connStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if framed, ok := c.(*framedConn); ok {
				ctx = framed.ahead.withCancel(ctx)
			}
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// serveHealth answers 200 when the node can serve: it knows servers and isn't stopping.
func (n *Node) serveHealth(w http.ResponseWriter) {
	_, ok := n.Phase()
	if n.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// requestError is an error with the HTTP status to answer.
type requestError struct {
	status int
	text   string
}

func (b *requestError) Error() string { return b.text }

func badRequestf(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// checkFraming rejects requests that another HTTP implementation may delimit differently. For a request with
// both Content-Length and Transfer-Encoding, net/http silently drops one header and treats the bytes that
// follow as the next request, which may be one smuggled in a body; for an HTTP/1.0 request it drops
// Transfer-Encoding. Nothing further is read from such a connection (RFC 9112, 6.3).
func checkFraming(hr *http.Request) error {
	switch {
	case !hr.ProtoAtLeast(1, 1):
		return &requestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"}
	case len(hr.TransferEncoding) > 0 && hasBothLengths(hr):
		return &requestError{http.StatusBadRequest, "Content-Length and Transfer-Encoding exclude each other"}
	case hr.ContentLength > maxBodyBytes:
		return errBodyTooLong
	}
	return nil
}

// hasBothLengths reports whether a request header on this connection had both Content-Length and
// Transfer-Encoding.
func hasBothLengths(hr *http.Request) bool {
	c, ok := hr.Context().Value(connKey{}).(*framedConn)
	return ok && c.heads.HasBothLengths()
}

// errAtCapacity is returned when the memory for request bodies is used up.
var errAtCapacity = errors.New("no memory for another request body")

// statusOf returns the HTTP status for an error.
func statusOf(err error) int {
	var b *requestError
	if errors.As(err, &b) {
		return b.status
	}
	return http.StatusBadRequest
}

// rejectRequest answers a malformed request. Its connection is closed: the bytes that follow can't be trusted,
// and its body is not waited for.
func (n *Node) rejectRequest(w http.ResponseWriter, hr *http.Request, err error) {
	status := statusOf(err)
	if v := n.revision.Load(); len(hr.Header["X-Priority-Class"]) == 1 {
		if class, ok := v.settings.ClassIndex[hr.Header["X-Priority-Class"][0]]; ok {
			n.countEnd(v, class, status)
		}
	}
	n.badInputLog.warn("rejected a malformed request", "from", hr.RemoteAddr, "err", err)
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
	discardBody(w, hr)
}

// serve processes a request and sends its final answer.
func (n *Node) serve(w http.ResponseWriter, hr *http.Request) {
	arrived := time.Now()
	rev := n.revision.Load()
	req, event, err := rev.parse(hr, arrived)
	var bodyTime time.Duration // time spent reading the body
	if err == nil {
		err = n.readBody(w, hr, req, arrived)
		bodyTime = time.Since(arrived)
		defer n.releaseBody(req)
	}
	if err == errAtCapacity || err == nil && n.atCapacity() {
		n.countEnd(rev, event.Class, http.StatusServiceUnavailable)
		w.Header().Set("Connection", "close")
		n.writeAnswer(w, &answer{status: http.StatusServiceUnavailable, retryAfterMs: fullRetryAfterMs})
		discardBody(w, hr)
		return
	}
	if err == nil && n.grants != nil {
		n.redeemLease(hr, &event)
	}
	if err == nil && rev.settings.MaxDeadline > n.cfg.Settings.MaxDeadline { // the server's write timeout is too short
		err = http.NewResponseController(w).SetWriteDeadline(arrived.Add(rev.settings.MaxDeadline + writeSlack))
	}
	if err == nil {
		if req.bodyRest == nil {
			n.countInProgress(req)
		}
		defer func(req *request) {
			if req.countedInProgress {
				n.totals.inProgress.Add(-1)
			}
		}(req)
	}
	for err == nil {
		if !n.consultPlugins(hr, rev, req, &event) {
			n.countEnd(rev, event.Class, clientGone.status)
			panic(http.ErrAbortHandler)
		}
		if err = n.submit(req, event, rev); err == nil {
			break
		}
		n.Settle(limiter.Settle{Account: event.Account, Units: event.Leased, Refund: true})
		if err == errConfigChanged { // read the request again with the new revision; the lease was settled with the old one
			body, bodyRest := req.body, req.bodyRest
			rev = n.revision.Load()
			if req, event, err = rev.parse(hr, arrived); err == nil {
				req.body, req.bodyRest, req.countedInProgress = body, bodyRest, false // the first request has been counted
				req.deadline = req.deadline.Add(bodyTime)
			}
		}
	}
	if err == errNoRoute {
		n.unroutedLog.warn("no route takes a request", "from", hr.RemoteAddr, "method", hr.Method,
			"host", hr.Host, "path", hr.URL.Path)
		n.writeAnswer(w, &answer{status: http.StatusNotFound, body: []byte("no route takes this request\n"),
			contentType: "text/plain; charset=utf-8"})
		return
	}
	if err != nil {
		n.rejectRequest(w, hr, err)
		return
	}
	defer n.removeRequest(req)
	if clientGone := func() { n.abandon(req) }; req.bodyRest == nil {
		stop := context.AfterFunc(hr.Context(), clientGone)
		defer stop()
	} else {
		req.watchClient = func() { context.AfterFunc(hr.Context(), clientGone) } // no effect once the request is answered
	}
	for {
		att, final := n.nextStep(req)
		if final == nil {
			n.finishAttempt(att, n.runAttempt(att))
			continue
		}
		n.deliver(w, hr, req, rev.endCounts[event.Class], final, bodyTime)
		return
	}
}

// deliver writes a request's final answer and counts its end. bodyTime is the time spent reading the request's
// body.
func (n *Node) deliver(w http.ResponseWriter, hr *http.Request, r *request, end *endCounts, a *answer,
	bodyTime time.Duration) {
	if a == clientGone {
		end.add(a.status)
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	r.setRefusalBody(a)
	n.countLabels(r, a)
	if a.stream != nil {
		if !n.stream(w, r, a) {
			end.add(http.StatusBadGateway)
			panic(http.ErrAbortHandler) // so that the client detects the truncated answer
		}
		end.add(a.status)
		return
	}
	end.add(a.status)
	if r.bodyRest != nil && !r.bodyRest.complete {
		n.answerEarly(hr.Context(), w, r, a)
		return
	}
	if bodyTime > writeSlack/2 || r.bodyRest != nil { // the write deadline was counted from the header
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeSlack))
	}
	n.writeAnswer(w, a)
}

// atCapacity reports whether the limiter holds as many requests as it is allowed, or has connections to servers
// for. Connections without a request don't count: silent clients must not keep others out.
func (n *Node) atCapacity() bool {
	limit := int(n.servers.budget.Load())
	if configured := n.revision.Load().settings.MaxRequests; configured > 0 {
		limit = min(limit, configured)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.requests) >= limit
}

// setAnswerHeaders sets the headers of a final answer, except Content-Length.
func (n *Node) setAnswerHeaders(w http.ResponseWriter, a *answer) {
	h := w.Header()
	if n.closing.Load() {
		h.Set("Connection", "close")
	}
	if a.contentType != "" {
		h["Content-Type"] = []string{a.contentType}
	} else {
		h["Content-Type"] = nil // disables content sniffing
	}
	if a.retryAfterMs > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(a.retryAfterMs/1000, 'f', 3, 64)}
	}
}

// writeAnswer writes a final answer.
func (n *Node) writeAnswer(w http.ResponseWriter, a *answer) {
	n.setAnswerHeaders(w, a)
	w.Header()["Content-Length"] = []string{itoa(int64(len(a.body)))}
	w.WriteHeader(a.status)
	w.Write(a.body)
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// writeTimeout is the time limit for an answer, counted from the header of its request.
func (n *Node) writeTimeout() time.Duration {
	return n.cfg.Settings.MaxDeadline + headerTimeout + writeSlack
}

// parse validates a request's header and finds its route.
func (v *revision) parse(hr *http.Request, arrived time.Time) (*request, limiter.Submit, error) {
	var submit limiter.Submit
	h := hr.Header
	destination, err := v.target(hr)
	if err != nil {
		return nil, submit, err
	}
	if destination.MaxBody >= 0 && hr.ContentLength > destination.MaxBody {
		return nil, submit, &requestError{http.StatusRequestEntityTooLarge, "the body is too long for its route"}
	}
	for _, name := range singleHeaders {
		if len(h[name]) > 1 { // ambiguous
			return nil, submit, badRequestf("%s stands there more than once", name)
		}
	}
	id := h.Get("X-Request-ID")
	if id == "" || len(id) > maxIDLength {
		return nil, submit, badRequestf("X-Request-ID is missing or too long")
	}
	if !printable(id) {
		return nil, submit, badRequestf("X-Request-ID %q", id)
	}
	class, ok := v.settings.ClassIndex[h.Get("X-Priority-Class")]
	if _, named := h["X-Priority-Class"]; !named && destination.Class >= 0 {
		class, ok = destination.Class, true
	}
	if !ok {
		return nil, submit, badRequestf("unknown X-Priority-Class %q", h.Get("X-Priority-Class"))
	}
	plan, ok := v.settings.PlanIndex[h.Get("Plan")]
	if !ok {
		return nil, submit, badRequestf("unknown Plan %q", h.Get("Plan"))
	}
	key := hr.URL.Query()["key"]
	if len(key) != 1 || len(key[0]) != 16 {
		return nil, submit, badRequestf("the query needs one key of 16 hex digits")
	}
	customer, err := strconv.ParseUint(key[0], 16, 64)
	if err != nil || customer >= 1<<33 {
		return nil, submit, badRequestf("key %q", key[0])
	}
	timeout := destination.Deadline
	if _, named := h["X-Timeout"]; named || timeout == 0 {
		if timeout, err = parseTimeout(h.Get("X-Timeout")); err != nil {
			return nil, submit, err
		}
	}
	timeout = min(timeout, millis(v.settings.Module.Classes[class].DeadlineMs))
	if destination.Deadline > 0 {
		timeout = min(timeout, destination.Deadline)
	}
	idempotencyKey := h.Get("Idempotency-Key")
	if err := checkMethod(v.settings.Module.Classes[class].Repeat, hr, idempotencyKey); err != nil {
		return nil, submit, err
	}
	submit = limiter.Submit{ID: id, Class: class, Plan: plan, Retry: h.Get("X-Retried") == "1",
		Account: customer, Pool: destination.ID, Attempts: destination.Attempts}
	if err := parseQuotaInfo(h.Get("Quota-Info"), v.settings.Module.Balancers, v.settings.MaxUnits, &submit); err != nil {
		return nil, submit, err
	}
	target := hr.RequestURI
	if !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") {
		target = hr.URL.RequestURI()
	}
	if !printable(target) { // a server could not parse it
		return nil, submit, badRequestf("the path or query holds what has to be escaped")
	}
	return &request{
		id:             id,
		destination:    destination,
		deadline:       arrived.Add(timeout - min(answerMargin, timeout/marginDivisor)),
		attemptTimeout: timeout - min(answerMargin, timeout/marginDivisor),
		call: call{method: hr.Method, target: target, host: hr.Host, requestID: id, key: idempotencyKey,
			contentType: h.Get("Content-Type")},
	}, submit, nil
}

// singleHeaders are the headers with a meaning for the limiter; none of them may be repeated.
var singleHeaders = []string{"X-Request-Id", "X-Priority-Class", "Plan", "X-Timeout",
	"Idempotency-Key", "X-Retried", "Quota-Info"}

// printable reports whether text consists of visible ASCII characters only.
func printable(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// checkMethod validates method, idempotency key and body for the class of a request.
func checkMethod(repeat limiter.Repeat, hr *http.Request, key string) error {
	want := http.MethodPost
	if repeat == limiter.Safe {
		want = http.MethodGet
	}
	switch {
	case hr.Method != want:
		return &requestError{http.StatusMethodNotAllowed, "this class goes by " + want}
	case repeat == limiter.Safe && hr.ContentLength > 0:
		return badRequestf("this class has no body")
	case repeat == limiter.Keyed && (key == "" || len(key) > maxIDLength || !printable(key)):
		return badRequestf("Idempotency-Key is missing, too long or not plain")
	case repeat != limiter.Keyed && key != "": // a server would treat it as a request of a keyed class
		return badRequestf("this class has no Idempotency-Key")
	}
	return nil
}

// parseTimeout reads a number with a unit: m for milliseconds or u for microseconds.
func parseTimeout(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(v > 0) || v*float64(unit) > math.MaxInt64/2 {
		return 0, badRequestf("X-Timeout %q", text)
	}
	return time.Duration(v * float64(unit)), nil
}

// parseQuotaInfo reads units, spread and first. Values out of range must not reach the module: they would
// remain in the account of the customer named in the request.
func parseQuotaInfo(text string, balancers int, maxUnits float64, submit *limiter.Submit) error {
	const units, spread, first = 1, 2, 4
	found := 0
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			return badRequestf("Quota-Info %q", text)
		}
		integer := number == math.Trunc(number)
		switch {
		case name == "units" && number > 0 && number <= maxUnits:
			submit.Units, found = number, found|units
		case name == "spread" && integer && number >= 1 && number <= float64(balancers):
			submit.Spread, found = int(number), found|spread
		case name == "first" && integer && number >= 0 && number < float64(balancers):
			submit.First, found = int(number), found|first
		case name == "units", name == "spread", name == "first":
			return badRequestf("Quota-Info %q", text)
		} // other names are ignored for compatibility with later versions
	}
	if found != units|spread|first {
		return badRequestf("Quota-Info %q needs units, spread and first", text)
	}
	return nil
}
