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
	"sync"
	"time"

	"example.org/silverscale"
)

const (
	defaultSockets  = 1024
	reservedSockets = 32 // listener, discovery, peers, files
	leastSockets    = 2 * reservedSockets

	headTimeout = 5 * time.Second // for a request's head, from its first byte
	idleTimeout = 2 * time.Minute // for a connection without a request
	writeSlack  = 5 * time.Second // for an answer, past the longest deadline
	maxHead     = 16 << 10
	maxIDLength = 128

	// An attempt ends so long before the client gives up, that the answer which
	// follows is out in time; of short times this part at the most.
	answerMargin = 10 * time.Millisecond
	marginPart   = 4

	healthPath = "/healthz"
	fullAdvice = 50.0 // ms to stay away from a limiter that is full
)

// socketBudget divides the descriptors between servers and clients, so that
// connections to servers never take those that clients need. The halves are
// equal: each request in hand holds one of either kind at most, so none ends for
// want of a connection to a server while its client has one.
func socketBudget(sockets int) (upstream, clients int) {
	if sockets == 0 {
		sockets = defaultSockets
	}
	free := sockets - reservedSockets
	return free / 2, free - free/2
}

// connKey is where a request's context has its connection.
type connKey struct{}

// newServer returns the HTTP server for clients.
func (n *Node) newServer(errors *log.Logger) *http.Server {
	// No ServeMux: it would redirect a path that it would write otherwise.
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
			if hr.URL.Path == healthPath && hr.Method == http.MethodGet {
				n.health(w)
			} else {
				n.serve(w, hr)
			}
		}),
		ReadHeaderTimeout: headTimeout,
		WriteTimeout:      n.cfg.Settings.Longest + headTimeout + writeSlack,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHead,
		ErrorLog:          errors,
		ConnState:         n.conns.changed,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// health says 200 when the node can serve: it knows servers and isn't stopping.
func (n *Node) health(w http.ResponseWriter) {
	n.mu.Lock()
	ok := n.listed && n.stopBy.IsZero()
	n.mu.Unlock()
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

// serve takes a request and gives it one final answer.
func (n *Node) serve(w http.ResponseWriter, hr *http.Request) {
	arrived := time.Now()
	r, ev, err := n.parse(hr, arrived)
	if err == nil {
		err = readCall(w, hr, r)
	}
	conn, _ := hr.Context().Value(connKey{}).(net.Conn)
	dropped, full := n.conns.state(conn)
	if dropped {
		// The connection was closed as unused while this request came in. Its client
		// sends it once more, so it must not go on from here as well.
		panic(http.ErrAbortHandler)
	}
	if err == nil && (full || n.tooManyInHand()) {
		w.Header().Set("Connection", "close")
		n.write(w, &answer{status: http.StatusServiceUnavailable, retryAfter: fullAdvice})
		return
	}
	if err == nil && !n.submit(r, ev) {
		err = &badRequest{http.StatusConflict, "a request with this X-Request-ID is in hand"}
	}
	if err != nil {
		status := http.StatusBadRequest
		var b *badRequest
		if errors.As(err, &b) {
			status = b.status
		}
		n.badInput.warn("turned a malformed request away", "from", hr.RemoteAddr, "err", err)
		http.Error(w, err.Error(), status)
		return
	}
	defer n.forget(r)
	stop := context.AfterFunc(hr.Context(), func() { n.abandon(r) })
	defer stop()
	for {
		at, final := n.next(r)
		if final == nil {
			n.finish(at, n.try(at))
			continue
		}
		if final == gone {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		n.write(w, final)
		return
	}
}

// tooManyInHand tells that the limiter holds as many requests as it may.
func (n *Node) tooManyInHand() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg.Settings.MaxOpen > 0 && len(n.requests) >= n.cfg.Settings.MaxOpen
}

// write writes a final answer.
func (n *Node) write(w http.ResponseWriter, a *answer) {
	h := w.Header()
	if n.stopping.Load() {
		h.Set("Connection", "close")
	}
	if a.content != "" {
		h["Content-Type"] = []string{a.content}
	} else {
		h["Content-Type"] = nil // none, rather than a guess
	}
	h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	if a.retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(a.retryAfter/1000, 'f', 3, 64)}
	}
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// parse checks a request's head.
func (n *Node) parse(hr *http.Request, arrived time.Time) (*request, silverscale.Submit, error) {
	var ev silverscale.Submit
	h := hr.Header
	id := h.Get("X-Request-ID")
	if id == "" || len(id) > maxIDLength {
		return nil, ev, bad("X-Request-ID is missing or too long")
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return nil, ev, bad("X-Request-ID %q", id)
		}
	}
	class, ok := n.cfg.Settings.ClassNames[h.Get("X-Priority-Class")]
	if !ok {
		return nil, ev, bad("unknown X-Priority-Class %q", h.Get("X-Priority-Class"))
	}
	plan, ok := n.cfg.Settings.PlanNames[h.Get("Plan")]
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
	timeout, err := parseTimeout(h.Get("X-Timeout"))
	if err != nil {
		return nil, ev, err
	}
	timeout = min(timeout, millis(n.cfg.Settings.Module.Classes[class].DeadlineMs))
	once := h.Get("Idempotency-Key")
	if err := checkMethod(n.cfg.Settings.Module.Classes[class].Repeat, hr.Method, once); err != nil {
		return nil, ev, err
	}
	ev = silverscale.Submit{ID: id, Class: class, Plan: plan, Retry: h.Get("X-Retried") == "1", Customer: customer}
	if err := parseQuotaInfo(h.Get("Quota-Info"), n.cfg.Settings.Module.Balancers, &ev); err != nil {
		return nil, ev, err
	}
	target := hr.RequestURI
	if !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") {
		target = hr.URL.RequestURI()
	}
	return &request{
		id:     id,
		stopAt: arrived.Add(timeout - min(answerMargin, timeout/marginPart)),
		call: call{method: hr.Method, target: target, host: hr.Host, requestID: id, key: once,
			content: h.Get("Content-Type")},
	}, ev, nil
}

// checkMethod holds the method and the key against the class.
func checkMethod(repeat silverscale.Repeat, method, key string) error {
	want := http.MethodPost
	if repeat == silverscale.Safe {
		want = http.MethodGet
	}
	switch {
	case method != want:
		return &badRequest{http.StatusMethodNotAllowed, "this class goes by " + want}
	case repeat == silverscale.Keyed && key == "":
		return bad("Idempotency-Key is missing")
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

// parseQuotaInfo reads units, spread and first.
func parseQuotaInfo(text string, balancers int, ev *silverscale.Submit) error {
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
		case name == "units" && v > 0:
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

// readCall reads the body.
func readCall(w http.ResponseWriter, hr *http.Request, r *request) error {
	if hr.ContentLength == 0 {
		return nil
	}
	// A body that does not come must not hold the connection. Afterwards there is
	// no deadline: when it passed, net/http would take the client for gone.
	ctl := http.NewResponseController(w)
	if err := ctl.SetReadDeadline(r.stopAt); err != nil {
		return fmt.Errorf("setting a deadline: %w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, maxBody))
	if err != nil {
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			return &badRequest{http.StatusRequestEntityTooLarge, "the body is too long"}
		}
		w.Header().Set("Connection", "close")
		return &badRequest{http.StatusRequestTimeout, "the body did not come"}
	}
	r.body = body
	if err := ctl.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("setting a deadline: %w", err)
	}
	return nil
}

// clientConns counts the clients' connections and knows the unused ones.
type clientConns struct {
	budget int

	mu      sync.Mutex
	open    int
	unused  map[net.Conn]time.Time // without a request, since when
	dropped map[net.Conn]bool      // closed here as unused
}

func newClientConns(budget int) *clientConns {
	return &clientConns{budget: budget, unused: map[net.Conn]time.Time{}, dropped: map[net.Conn]bool{}}
}

// changed is the server's ConnState hook.
func (c *clientConns) changed(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		c.unused[nc] = time.Now()
		if c.open > c.budget {
			c.dropOldest(nc)
		}
	case http.StateIdle:
		c.unused[nc] = time.Now()
	case http.StateActive: // a whole head has been read
		delete(c.unused, nc)
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.unused, nc)
		delete(c.dropped, nc)
	}
}

// drop closes a connection without a request. A client sends a request that
// crosses this once more.
func (c *clientConns) drop(nc net.Conn) {
	delete(c.unused, nc)
	c.dropped[nc] = true
	nc.Close()
}

// dropOldest makes room by closing the connection unused longest, but for the
// new one.
func (c *clientConns) dropOldest(but net.Conn) {
	var oldest net.Conn
	for nc, since := range c.unused {
		if nc != but && (oldest == nil || since.Before(c.unused[oldest])) {
			oldest = nc
		}
	}
	if oldest != nil {
		c.drop(oldest)
	}
}

// dropUnused closes all connections without a request.
func (c *clientConns) dropUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.unused {
		c.drop(nc)
	}
}

// state tells whether a request's connection was dropped before its head was
// read, and whether clients hold more connections than their budget.
func (c *clientConns) state(nc net.Conn) (dropped, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped[nc], c.open > c.budget
}
