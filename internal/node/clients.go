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
	reservedSockets = 32 // listener, discovery, peers, files
	leastSockets    = 2 * reservedSockets

	// headTimeout is how long a head may take, from connecting or its first byte: slow
	// clients take 2 s. For bodies see upload.
	headTimeout = 2500 * time.Millisecond
	idleTimeout = 2 * time.Second // for a connection between requests
	writeSlack  = 5 * time.Second // for an answer, past the longest deadline
	maxHead     = 16 << 10
	maxIDLength = 128
	// clientBuffer is what the system buffers at most of what a client sends unread.
	clientBuffer = 128 << 10

	// An attempt ends so long before the client gives up, that the answer which
	// follows is out in time; of short times this part at the most.
	answerMargin = 10 * time.Millisecond
	marginPart   = 4

	healthPath = "/healthz"
	fullAdvice = 50.0 // ms to stay away from a limiter that is full
)

// socketBudget divides the descriptors between servers and clients, so that
// connections to servers never take those that clients need. Usual clients hold a
// third at most with requests, and each of these needs one to a server: what is left
// takes up connections without a request.
func socketBudget(sockets int) (upstream, clients int) {
	if sockets == 0 {
		sockets = defaultSockets
	}
	upstream = (sockets + 2) / 3
	return upstream, sockets - reservedSockets - upstream
}

// connKey is where a request's context has its connection.
type connKey struct{}

// newServer returns the HTTP server for clients.
func (n *Node) newServer(errors *log.Logger) *http.Server {
	// No ServeMux: it would redirect a path that it would write otherwise.
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
			if err := checkFraming(hr); err != nil {
				n.turnAway(w, hr, err)
			} else if hr.URL.Path == healthPath && hr.Method == http.MethodGet {
				n.health(w)
			} else {
				n.serve(w, hr)
			}
		}),
		ReadHeaderTimeout: headTimeout,
		WriteTimeout:      n.writeTimeout(),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHead,
		ErrorLog:          errors,
		ConnState:         n.conns.changed,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if framed, ok := c.(*framedConn); ok {
				ctx = framed.ahead.watch(ctx)
			}
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// health says 200 when the node can serve: it knows servers and isn't stopping.
func (n *Node) health(w http.ResponseWriter) {
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

// badRequest is an error with its status.
type badRequest struct {
	status int
	text   string
}

func (b *badRequest) Error() string { return b.text }

func bad(format string, args ...any) error {
	return &badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// checkFraming turns away what may be read otherwise by another. Of a request with
// both Content-Length and Transfer-Encoding net/http drops one header silently and
// takes what follows for the next request, which may be one hidden in a body; of an
// HTTP/1.0 request it drops Transfer-Encoding. Nothing further is read from such a
// connection (RFC 9112, 6.3).
func checkFraming(hr *http.Request) error {
	switch {
	case !hr.ProtoAtLeast(1, 1):
		return &badRequest{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"}
	case len(hr.TransferEncoding) > 0 && smuggles(hr):
		return &badRequest{http.StatusBadRequest, "Content-Length and Transfer-Encoding exclude each other"}
	case hr.ContentLength > maxStream:
		return errBodyTooLong
	}
	return nil
}

// smuggles tells that a head on the request's connection has had two lengths.
func smuggles(hr *http.Request) bool {
	c, ok := hr.Context().Value(connKey{}).(*framedConn)
	return ok && c.heads.Both()
}

// errFull tells that there is no place for another request.
var errFull = errors.New("no place for another request")

// statusOf is the status for an error.
func statusOf(err error) int {
	var b *badRequest
	if errors.As(err, &b) {
		return b.status
	}
	return http.StatusBadRequest
}

// turnAway answers a malformed request. Its connection closes: what follows on it
// can't be trusted, and its body is not waited for.
func (n *Node) turnAway(w http.ResponseWriter, hr *http.Request, err error) {
	status := statusOf(err)
	if v := n.version.Load(); len(hr.Header["X-Priority-Class"]) == 1 {
		if class, ok := v.settings.ClassNames[hr.Header["X-Priority-Class"][0]]; ok {
			n.ended(v, class, status)
		}
	}
	n.badInput.warn("turned a malformed request away", "from", hr.RemoteAddr, "err", err)
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
	takeIn(w, hr)
}

// serve takes a request and gives it one final answer.
func (n *Node) serve(w http.ResponseWriter, hr *http.Request) {
	arrived := time.Now()
	v := n.version.Load()
	r, ev, err := v.parse(hr, arrived)
	var took time.Duration // for the body
	if err == nil {
		err = n.readCall(w, hr, r, arrived)
		took = time.Since(arrived)
		defer n.release(r)
	}
	if err == errFull || err == nil && n.tooManyInHand() {
		n.ended(v, ev.Class, http.StatusServiceUnavailable)
		w.Header().Set("Connection", "close")
		n.write(w, &answer{status: http.StatusServiceUnavailable, retryAfter: fullAdvice})
		takeIn(w, hr)
		return
	}
	if err == nil && n.grants != nil {
		n.redeem(hr, &ev)
	}
	if err == nil && v.settings.Longest > n.cfg.Settings.Longest { // longer than the server was told
		err = http.NewResponseController(w).SetWriteDeadline(arrived.Add(v.settings.Longest + writeSlack))
	}
	if err == nil {
		if r.rest == nil {
			n.taken(r)
		}
		defer func(r *request) {
			if r.counted {
				n.totals.inProgress.Add(-1)
			}
		}(r)
	}
	for err == nil {
		if !n.advise(hr, v, r, &ev) {
			n.ended(v, ev.Class, gone.status)
			panic(http.ErrAbortHandler)
		}
		if err = n.submit(r, ev, v); err == nil {
			break
		}
		n.Settle(limiter.Settle{Customer: ev.Customer, Units: ev.Leased, Back: true})
		if err == errStale { // once more, by the new version; a lease has ended with the old one
			body, rest := r.body, r.rest
			v = n.version.Load()
			if r, ev, err = v.parse(hr, arrived); err == nil {
				r.body, r.rest, r.counted = body, rest, false // the first one is counted
				r.stopAt = r.stopAt.Add(took)
			}
		}
	}
	if err == errNoRoute {
		n.unrouted.warn("no route takes a request", "from", hr.RemoteAddr, "method", hr.Method, "host", hr.Host, "path", hr.URL.Path)
		n.write(w, &answer{status: http.StatusNotFound, body: []byte("no route takes this request\n"), content: "text/plain; charset=utf-8"})
		return
	}
	if err != nil {
		n.turnAway(w, hr, err)
		return
	}
	defer n.forget(r)
	if gone := func() { n.abandon(r) }; r.rest == nil {
		stop := context.AfterFunc(hr.Context(), gone)
		defer stop()
	} else {
		r.watch = func() { context.AfterFunc(hr.Context(), gone) } // once it is answered, that has no effect
	}
	for {
		at, final := n.next(r)
		if final == nil {
			n.finish(at, n.try(at))
			continue
		}
		n.deliver(w, hr, r, v.ends[ev.Class], final, took)
		return
	}
}

// deliver writes a request's final answer and counts its one end. took is how long its body
// took to come.
func (n *Node) deliver(w http.ResponseWriter, hr *http.Request, r *request, end *ends, a *answer, took time.Duration) {
	if a == gone {
		end.add(a.status)
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	r.reason(a)
	n.tally(r, a)
	if a.stream != nil {
		if !n.stream(w, r, a) {
			end.add(http.StatusBadGateway)
			panic(http.ErrAbortHandler) // so that the client can tell
		}
		end.add(a.status)
		return
	}
	end.add(a.status)
	if r.rest != nil && !r.rest.ended {
		n.answerEarly(hr.Context(), w, r, a)
		return
	}
	if took > writeSlack/2 || r.rest != nil { // the time for the answer began with the head
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeSlack))
	}
	n.write(w, a)
}

// tooManyInHand tells that the limiter holds as many requests as it may, or has
// connections to servers for. Connections without a request don't count: silent
// clients must not keep the usual ones out.
func (n *Node) tooManyInHand() bool {
	most := int(n.servers.budget.Load())
	if m := n.version.Load().settings.MaxOpen; m > 0 {
		most = min(most, m)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.requests) >= most
}

// head sets the headers of a final answer, but for its length.
func (n *Node) head(w http.ResponseWriter, a *answer) {
	h := w.Header()
	if n.closing.Load() {
		h.Set("Connection", "close")
	}
	if a.content != "" {
		h["Content-Type"] = []string{a.content}
	} else {
		h["Content-Type"] = nil // none, rather than a guess
	}
	if a.retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(a.retryAfter/1000, 'f', 3, 64)}
	}
}

// write writes a final answer.
func (n *Node) write(w http.ResponseWriter, a *answer) {
	n.head(w, a)
	w.Header()["Content-Length"] = []string{itoa(int64(len(a.body)))}
	w.WriteHeader(a.status)
	w.Write(a.body)
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// writeTimeout is how long an answer may take, from the head of its request on.
func (n *Node) writeTimeout() time.Duration {
	return n.cfg.Settings.Longest + headTimeout + writeSlack
}

// parse checks a request's head and finds its route.
func (v *version) parse(hr *http.Request, arrived time.Time) (*request, limiter.Submit, error) {
	var ev limiter.Submit
	h := hr.Header
	to, err := v.target(hr)
	if err != nil {
		return nil, ev, err
	}
	if to.MaxBody >= 0 && hr.ContentLength > to.MaxBody {
		return nil, ev, &badRequest{http.StatusRequestEntityTooLarge, "the body is too long for its route"}
	}
	for _, name := range single {
		if len(h[name]) > 1 { // which of them counts?
			return nil, ev, bad("%s stands there more than once", name)
		}
	}
	id := h.Get("X-Request-ID")
	if id == "" || len(id) > maxIDLength {
		return nil, ev, bad("X-Request-ID is missing or too long")
	}
	if !printable(id) {
		return nil, ev, bad("X-Request-ID %q", id)
	}
	class, ok := v.settings.ClassNames[h.Get("X-Priority-Class")]
	if _, named := h["X-Priority-Class"]; !named && to.Class >= 0 {
		class, ok = to.Class, true
	}
	if !ok {
		return nil, ev, bad("unknown X-Priority-Class %q", h.Get("X-Priority-Class"))
	}
	plan, ok := v.settings.PlanNames[h.Get("Plan")]
	if !ok {
		return nil, ev, bad("unknown Plan %q", h.Get("Plan"))
	}
	key := hr.URL.Query()["key"]
	if len(key) != 1 || len(key[0]) != 16 {
		return nil, ev, bad("the query needs one key of 16 hex digits")
	}
	customer, err := strconv.ParseUint(key[0], 16, 64)
	if err != nil || customer >= 1<<33 {
		return nil, ev, bad("key %q", key[0])
	}
	timeout := to.Deadline
	if _, named := h["X-Timeout"]; named || timeout == 0 {
		if timeout, err = parseTimeout(h.Get("X-Timeout")); err != nil {
			return nil, ev, err
		}
	}
	timeout = min(timeout, millis(v.settings.Module.Classes[class].DeadlineMs))
	if to.Deadline > 0 {
		timeout = min(timeout, to.Deadline)
	}
	once := h.Get("Idempotency-Key")
	if err := checkMethod(v.settings.Module.Classes[class].Repeat, hr, once); err != nil {
		return nil, ev, err
	}
	ev = limiter.Submit{ID: id, Class: class, Plan: plan, Retry: h.Get("X-Retried") == "1", Customer: customer, Pool: to.ID, Attempts: to.Attempts}
	if err := parseQuotaInfo(h.Get("Quota-Info"), v.settings.Module.Balancers, v.settings.MostUnits, &ev); err != nil {
		return nil, ev, err
	}
	target := hr.RequestURI
	if !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") {
		target = hr.URL.RequestURI()
	}
	if !printable(target) { // a server could not read it
		return nil, ev, bad("the path or query holds what has to be escaped")
	}
	return &request{
		id:       id,
		to:       to,
		stopAt:   arrived.Add(timeout - min(answerMargin, timeout/marginPart)),
		patience: timeout - min(answerMargin, timeout/marginPart),
		call: call{method: hr.Method, target: target, host: hr.Host, requestID: id, key: once,
			content: h.Get("Content-Type")},
	}, ev, nil
}

// single are the headers that count, none of which may be repeated.
var single = []string{"X-Request-Id", "X-Priority-Class", "Plan", "X-Timeout", "Idempotency-Key", "X-Retried", "Quota-Info"}

// printable tells that a text holds visible ASCII alone.
func printable(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// checkMethod holds the method, the key and the body against the class.
func checkMethod(repeat limiter.Repeat, hr *http.Request, key string) error {
	want := http.MethodPost
	if repeat == limiter.Safe {
		want = http.MethodGet
	}
	switch {
	case hr.Method != want:
		return &badRequest{http.StatusMethodNotAllowed, "this class goes by " + want}
	case repeat == limiter.Safe && hr.ContentLength > 0:
		return bad("this class has no body")
	case repeat == limiter.Keyed && (key == "" || len(key) > maxIDLength || !printable(key)):
		return bad("Idempotency-Key is missing, too long or not plain")
	case repeat != limiter.Keyed && key != "": // a server would take it for another class
		return bad("this class has no Idempotency-Key")
	}
	return nil
}

// parseTimeout reads a number and its unit, m or u.
func parseTimeout(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(v > 0) || v*float64(unit) > math.MaxInt64/2 {
		return 0, bad("X-Timeout %q", text)
	}
	return time.Duration(v * float64(unit)), nil
}

// parseQuotaInfo reads units, spread and first. Figures out of range must not reach
// the module: they would stay with the customer in whose name they came.
func parseQuotaInfo(text string, balancers int, most float64, ev *limiter.Submit) error {
	const units, spread, first = 1, 2, 4
	seen := 0
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return bad("Quota-Info %q", text)
		}
		whole := v == math.Trunc(v)
		switch {
		case name == "units" && v > 0 && v <= most:
			ev.Units, seen = v, seen|units
		case name == "spread" && whole && v >= 1 && v <= float64(balancers):
			ev.Spread, seen = int(v), seen|spread
		case name == "first" && whole && v >= 0 && v < float64(balancers):
			ev.First, seen = int(v), seen|first
		case name == "units", name == "spread", name == "first":
			return bad("Quota-Info %q", text)
		} // others are figures of later days
	}
	if seen != units|spread|first {
		return bad("Quota-Info %q needs units, spread and first", text)
	}
	return nil
}
