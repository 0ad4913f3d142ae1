package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"example.org/silverscale"
)

// echo runs a server that answers every request with its id.
func echo(t *testing.T) string {
	return serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.Header.Get("X-Request-ID"))
	})
}

// Malformed requests get a 4xx at once and never reach the module.
func TestMalformedRequests(t *testing.T) {
	t.Parallel()
	r := start(t, server("s-1", echo(t)))
	header := func(name, value string) func(*http.Request) {
		return func(req *http.Request) { req.Header.Set(name, value) }
	}
	query := func(q string) func(*http.Request) { return func(req *http.Request) { req.URL.RawQuery = q } }
	for name, change := range map[string]func(*http.Request){
		"no id":           header("X-Request-ID", ""),
		"id with a space": header("X-Request-ID", "a b"),
		"long id":         header("X-Request-ID", strings.Repeat("x", 200)),
		"class":           header("X-Priority-Class", "nonsense"),
		"plan":            header("Plan", "free"),
		"no time":         header("X-Timeout", ""),
		"bare time":       header("X-Timeout", "480"),
		"time below 0":    header("X-Timeout", "-4m"),
		"NaN time":        header("X-Timeout", "NaNm"),
		"endless time":    header("X-Timeout", "1e300m"),
		"no quota info":   header("Quota-Info", ""),
		"units":           header("Quota-Info", "units=x,spread=1,first=0"),
		"units of 0":      header("Quota-Info", "units=0,spread=1,first=0"),
		"endless units":   header("Quota-Info", "units=Inf,spread=1,first=0"),
		"spread":          header("Quota-Info", "units=1,spread=9,first=0"),
		"first":           header("Quota-Info", "units=1,spread=1,first=-1"),
		"half a first":    header("Quota-Info", "units=1,spread=1,first=0.5"),
		"two units":       header("Quota-Info", "units=1,units=1,first=0"),
		"no key":          query(""),
		"short key":       query("key=12"),
		"large key":       query("key=0000000200000000"),
		"no hex key":      query("key=zz000000b4d65521"),
		"two keys":        query("key=00000000b4d65521&key=00000000b4d65521"),
		"method":          func(req *http.Request) { req.Method = "PUT" },
		"no idempotency":  header("Idempotency-Key", ""),
		"long body": func(req *http.Request) {
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 70000))), 70000
		},
	} {
		req := r.newRequest("send-reminder", "enterprise", "body")
		change(req)
		if status, body, _ := r.do(req); status < 400 || status > 499 || status == 429 {
			t.Errorf("%s: status %d %q", name, status, body)
		}
	}
	if status, _, _ := r.do(r.newRequest("send-reminder", "enterprise", "")); status != 200 {
		t.Errorf("a sound request got %d", status)
	}
	if n := strings.Count(r.log.String(), "malformed"); n == 0 || n > logBurst {
		t.Errorf("%d lines in the log", n)
	}
}

func TestNoHTTPAtAll(t *testing.T) {
	t.Parallel()
	r := start(t, server("s-1", echo(t)))
	for _, text := range []string{"\x00\x01\x02\r\n\r\n", "GET / HTTP/9\r\n\r\n", "GET /api HTTP/1.1\r\nHost: x\r\nX-Request-ID\r\n\r\n",
		"GET /" + strings.Repeat("a", 1<<17) + " HTTP/1.1\r\n\r\n", "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n"} {
		c, in := r.dial()
		go io.WriteString(c, text)
		resp, err := http.ReadResponse(in, nil)
		if err == nil && (resp.StatusCode < 400 || resp.StatusCode > 599 || resp.StatusCode == 503) {
			t.Errorf("%.20q: status %d", text, resp.StatusCode)
		}
		c.Close()
	}
	if status, _, _ := r.do(r.newRequest("status-check", "enterprise", "")); status != 200 {
		t.Errorf("a sound request got %d", status)
	}
}

// An id that is in hand may not come in again: the module would leave the
// second request without an answer.
func TestSameIDTwice(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	r := start(t, server("s-1", srv.addr))
	req := r.newRequest("send-bulk-paid", "enterprise", "")
	out := r.send(req)
	c := srv.accept()
	c.request()
	if status, _, _ := r.do(req.Clone(req.Context())); status != http.StatusConflict {
		t.Errorf("the second one got %d", status)
	}
	c.answer("200 OK", "once")
	if res := r.got(out); res.status != 200 || res.body != "once" {
		t.Errorf("the first one got %d %q", res.status, res.body)
	}
}

// A customer beyond its quota is refused at once, and told when to come back.
func TestRefusedAtOnceWithAdvice(t *testing.T) {
	t.Parallel()
	r := start(t, server("s-1", echo(t)))
	refused := 0
	for range 4 {
		status, _, header := r.do(r.newRequest("status-check", "starter", ""))
		if status == 429 {
			refused++
			if header.Get("Retry-After") != "0.500" { // what clients heed at most
				t.Errorf("Retry-After %q", header.Get("Retry-After"))
			}
		}
	}
	if refused != 2 {
		t.Errorf("%d of 4 refused with a burst of 2", refused)
	}
}

func TestTooManyInHand(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	r := startWith(t, func(c *Config) { c.Settings.MaxOpen = 1 }, server("s-1", srv.addr))
	out := r.send(r.newRequest("send-bulk-paid", "enterprise", ""))
	c := srv.accept()
	c.request()
	if status, _, header := r.do(r.newRequest("status-check", "enterprise", "")); status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("status %d", status)
	}
	c.answer("200 OK", "")
	if res := r.got(out); res.status != 200 {
		t.Errorf("the first one got %d", res.status)
	}
}

// Clients' connections past their budget make the one unused longest close;
// new ones are accepted all the same.
func TestConnectionBudget(t *testing.T) {
	t.Parallel()
	r := startWith(t, func(c *Config) { c.Limits.Sockets = leastSockets }, server("s-1", echo(t)))
	_, budget := socketBudget(leastSockets)
	var conns []net.Conn
	for range budget + 1 {
		c, _ := r.dial()
		conns = append(conns, c)
	}
	if _, err := conns[0].Read(make([]byte, 1)); err == nil {
		t.Error("a byte came")
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Error("the oldest connection stayed open")
	}
	if status, _, _ := r.do(r.newRequest("status-check", "enterprise", "")); status != 200 {
		t.Errorf("status %d", status)
	}
}

// Each client's connection may have a request in hand, and each of these an
// attempt: with fewer connections to servers sound requests ended as NoRoom.
func TestSocketBudget(t *testing.T) {
	t.Parallel()
	for _, sockets := range []int{0, leastSockets, 80, 1024} {
		upstream, clients := socketBudget(sockets)
		limit := sockets
		if limit == 0 {
			limit = defaultSockets
		}
		if upstream < clients-1 || upstream+clients+reservedSockets > limit || upstream < 1 {
			t.Errorf("%d sockets: %d to servers, %d from clients", sockets, upstream, clients)
		}
	}
}

func TestHealth(t *testing.T) {
	t.Parallel()
	get := func(r *rig) int {
		req, _ := http.NewRequest("GET", "http://"+r.node.Addr().String()+"/healthz", nil)
		status, _, _ := r.do(req)
		return status
	}
	r := start(t, server("s-1", echo(t)))
	if status := get(r); status != 200 {
		t.Errorf("status %d", status)
	}
	r = start(t) // knows no server
	if status := get(r); status != 503 {
		t.Errorf("status %d without servers", status)
	}
	r.discovery.set(server("s-1", echo(t)))
	until(t, "ready", func() bool { return get(r) == 200 })
}

// After SIGTERM what is in hand is answered, connections are still accepted
// for a while, and answers say that the connection closes.
func TestStopLosesNothing(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	r := start(t, server("s-1", srv.addr))
	// A kept-alive connection of a client.
	kept, in := r.dial()
	exchange := func(c *rawConn, body string) *http.Response {
		c.request()
		c.answer("200 OK", body)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if b, _ := io.ReadAll(resp.Body); string(b) != body {
			t.Errorf("body %q", b)
		}
		return resp
	}
	r.newRequest("send-bulk-paid", "enterprise", "").Write(kept)
	c1 := srv.accept()
	if exchange(c1, "kept").Close {
		t.Error("the connection closes before the stop")
	}
	out := r.send(r.newRequest("send-bulk-paid", "enterprise", "")) // in hand at the stop
	c1.request()
	r.stop()
	until(t, "stopping", func() bool { return strings.Contains(r.log.String(), "stopping") })
	late := r.send(r.newRequest("send-bulk-paid", "enterprise", "")) // on a new connection
	c2 := srv.accept()
	c2.request()
	r.newRequest("send-bulk-paid", "enterprise", "").Write(kept) // on the kept one
	if !exchange(srv.accept(), "still").Close {
		t.Error("the answer does not say that the connection closes")
	}
	c1.answer("200 OK", "in hand")
	c2.answer("200 OK", "late")
	if res := r.got(out); res.body != "in hand" {
		t.Errorf("in hand: %d %q", res.status, res.body)
	}
	if res := r.got(late); res.body != "late" {
		t.Errorf("late: %d %q", res.status, res.body)
	}
	r.waitEnd()
}

// The answer to what was in hand at the stop says that its connection closes.
// A request that comes in on a connection while that is closed as unused must
// not go on: its client sends it once more.
func TestRequestOnDroppedConnection(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	r := start(t, server("s-1", srv.addr))
	kept, in := r.dial()
	r.newRequest("send-bulk-paid", "enterprise", "").Write(kept)
	c := srv.accept()
	c.request()
	r.stop()
	until(t, "stopping", r.node.stopping.Load)
	c.answer("200 OK", "")
	if resp, err := http.ReadResponse(in, nil); err != nil || !resp.Close {
		t.Errorf("the answer keeps the connection: %v", err)
	}

	conn, other := net.Pipe()
	defer other.Close()
	r.node.conns.changed(conn, http.StateNew)
	r.node.conns.dropUnused()
	r.node.conns.changed(conn, http.StateActive)
	req := r.newRequest("send-bulk-paid", "enterprise", "")
	aborted := func() (p any) {
		defer func() { p = recover() }()
		r.node.serve(httptest.NewRecorder(), req.WithContext(context.WithValue(req.Context(), connKey{}, conn)))
		return nil
	}()
	if aborted != http.ErrAbortHandler {
		t.Errorf("the request went on: %v", aborted)
	}
	r.node.conns.changed(conn, http.StateClosed)
	r.node.conns.mu.Lock()
	defer r.node.conns.mu.Unlock()
	if len(r.node.conns.dropped) > 0 {
		t.Error("the connection is remembered for ever")
	}
}

// A stop with a silent server still answers before the platform kills: what is
// in hand ends early. A connection without any request must not hold the stop up.
func TestStopEndsWhatHangs(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	r := start(t, server("s-1", srv.addr))
	r.dial()                                                        // a connection without any request
	out := r.send(r.newRequest("send-bulk-paid", "enterprise", "")) // waits up to 12 s
	c := srv.accept()
	c.request()
	r.stop()
	if res := r.got(out); res.status != http.StatusGatewayTimeout {
		t.Errorf("answer %d %q", res.status, res.body)
	}
	r.waitEnd()
}

func TestParseTimeout(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]time.Duration{"480m": 480 * time.Millisecond, "480000u": 480 * time.Millisecond,
		"0.5m": 500 * time.Microsecond} {
		if got, err := parseTimeout(text); err != nil || got != want {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
}

func FuzzHeaders(f *testing.F) {
	f.Add("480m", "units=2,spread=3,first=1")
	f.Fuzz(func(t *testing.T, timeout, info string) {
		if d, err := parseTimeout(timeout); err == nil && d < 0 {
			t.Errorf("%q gave %v", timeout, d)
		}
		var ev silverscale.Submit
		if parseQuotaInfo(info, 3, &ev) == nil && (!(ev.Units > 0) || ev.Spread < 1 || ev.Spread > 3 || ev.First < 0 || ev.First > 2) {
			t.Errorf("%q gave %+v", info, ev)
		}
	})
}
