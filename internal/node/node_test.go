package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/madderdrum/lifecycle"
)

// testTimeout limits each wait in the tests; no test depends on its length.
const testTimeout = 20 * time.Second

// rig is a limiter with a discovery agent and servers on loopback sockets.
type rig struct {
	t         *testing.T
	node      *Node
	addr      string // for clients
	discovery *fakeDiscovery
	stop      context.CancelFunc
	runResult chan error
	log       *syncBuffer
	ids       atomic.Int64
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// fakeDiscovery serves a list, and a watch that answers when the list changes.
type fakeDiscovery struct {
	t           *testing.T
	addr        string
	mu          sync.Mutex
	list        serverList
	changed     chan struct{}
	calls       int
	firstCall   string       // request URI of the first call
	openWatches atomic.Int64 // number of watches waiting for a change
}

func (d *fakeDiscovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

func newDiscovery(t *testing.T, items ...serverItem) *fakeDiscovery {
	d := &fakeDiscovery{t: t, list: serverList{Seq: 2, Whole: true, Hosts: items}, changed: make(chan struct{})}
	d.addr = serveHTTP(t, d.ServeHTTP)
	return d
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	if d.calls++; d.firstCall == "" {
		d.firstCall = r.RequestURI
	}
	list, changed := d.list, d.changed
	d.mu.Unlock()
	if r.FormValue("index") == strconv.FormatInt(list.Seq, 10) {
		d.openWatches.Add(1)
		defer d.openWatches.Add(-1)
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
		list = d.list
		d.mu.Unlock()
	}
	json.NewEncoder(w).Encode(map[string]any{"seq": list.Seq, "whole": list.Whole, "hosts": list.Hosts})
}

func (d *fakeDiscovery) set(items ...serverItem) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Seq++
	d.list.Hosts = items
	close(d.changed)
	d.changed = make(chan struct{})
}

// serveHTTP runs a handler on a free port until the test ends.
func serveHTTP(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

func server(name, dial string) serverItem {
	return serverItem{Host: name, Dial: dial, Site: "room-a", Block: 1, Health: "ready", Share: 1}
}

// testSettings are settings in the format of the configuration file.
const testSettings = `{"az":0,"balancers":1,"position":0,"membership_mode":"push","failure_domains":["room-a","room-b"],
 "caps":{"attempts_cap":3,"cancel":true,"conn_idle_ms":30000.0,"connect_timeout_ms":2000.0,"max_open":1000,
  "max_retry_after_ms":500.0,"peer_messages":false,"probes":true,"retry_after":true,"second_copies":false},
 "family_info":{"peer_in_per_s":40.0,"units_top":6},
 "invariants":{"cold_ms":18000.0,"cold_share":0.18,"drain_grace_ms":500.0,"fall_ms":1500.0,"overload_factor":3.0},
 "request_classes":[
  {"name":"status-check","idempotency":"read_like","group":"all","promise_ms":9000.0,"deadline_ms":15000.0,"window_ms":5000.0,"importance":2.0},
  {"name":"send-reminder","idempotency":"idempotency_key","group":"cell","promise_ms":9000.0,"deadline_ms":15000.0,"window_ms":5000.0,"importance":3.0},
  {"name":"send-bulk-paid","idempotency":"non_idempotent","group":"all","promise_ms":9000.0,"deadline_ms":15000.0,"window_ms":5000.0,"importance":5.0}],
 "packages":[
  {"name":"starter","per_second":0.001,"burst":2.0,"price":1.0},
  {"name":"enterprise","per_second":1000.0,"burst":1000.0,"price":1.0}]}`

func configText(discovery string, known ...serverItem) []byte {
	data, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"seq": 1, "whole": true, "hosts": known},
		"settings": json.RawMessage(testSettings),
	})
	if err != nil {
		panic(err) // testSettings is invalid JSON
	}
	return data
}

func testConfig(t testing.TB, discovery string, known ...serverItem) *Config {
	t.Helper()
	cfg, err := load(t, configText(discovery, known...))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func load(t testing.TB, data []byte) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadConfig(func(name string) string {
		if name == "NODE_CONFIG" {
			return path
		}
		return ""
	})
}

// startWith runs a limiter with the given known servers; change may modify its configuration.
func startWith(t *testing.T, change func(*Config), items ...serverItem) *rig {
	t.Helper()
	d := newDiscovery(t, items...)
	cfg := testConfig(t, d.addr, items...)
	cfg.TempDir = t.TempDir() // otherwise limiters of other tests would hand over to this one
	if change != nil {
		change(cfg)
	}
	r := newRig(t, d, cfg)
	if r.addr = cfg.Listen; !r.node.takesOver {
		r.addr = r.node.Addr().String()
	}
	r.run()
	waitFor(t, "the list is known", func() bool {
		r.checkRunning()
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		return r.node.life.Phase() != lifecycle.Starting || len(items) == 0
	})
	return r
}

// newRig creates a limiter that does not run yet.
func newRig(t *testing.T, d *fakeDiscovery, cfg *Config) *rig {
	t.Helper()
	r := &rig{t: t, discovery: d, runResult: make(chan error, 1), log: &syncBuffer{}}
	var err error
	if r.node, err = New(cfg, slog.New(slog.NewTextHandler(r.log, nil))); err != nil {
		t.Fatal(err)
	}
	return r
}

// run runs the limiter until the test ends.
func (r *rig) run() {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	done := make(chan struct{})
	go func() {
		r.runResult <- r.node.Run(ctx)
		close(done)
	}()
	r.t.Cleanup(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(testTimeout):
			r.t.Error("the limiter did not exit")
		}
	})
}

// checkRunning fails the test if the limiter has exited by itself.
func (r *rig) checkRunning() {
	r.t.Helper()
	select {
	case err := <-r.runResult:
		r.t.Fatalf("the limiter has exited: %v", err)
	default:
	}
}

func start(t *testing.T, items ...serverItem) *rig { t.Helper(); return startWith(t, nil, items...) }

// waitFor waits for a condition.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for: %s", what)
		}
	}
}

// newRequest returns a valid request of a class.
func (r *rig) newRequest(class, plan, body string) *http.Request {
	r.t.Helper()
	id := fmt.Sprintf("id-%d", r.ids.Add(1))
	method := http.MethodPost
	if class == "status-check" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+r.addr+"/api?key=00000000b4d65521", strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Priority-Class", class)
	req.Header.Set("Plan", plan)
	req.Header.Set("X-Timeout", "12000m")
	req.Header.Set("Quota-Info", "units=1,spread=1,first=0")
	if class == "send-reminder" {
		req.Header.Set("Idempotency-Key", "key-"+id)
	}
	return req
}

// do sends a request and waits for its answer.
func (r *rig) do(req *http.Request) (int, string, http.Header) {
	r.t.Helper()
	res := r.received(r.send(req))
	if res.status == 0 {
		r.t.Fatal(res.body)
	}
	return res.status, res.body, res.header
}

// rawServer is a server that a test controls, one connection at a time.
type rawServer struct {
	t    *testing.T
	ln   net.Listener
	addr string
}

func newRawServer(t *testing.T) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return &rawServer{t, ln, ln.Addr().String()}
}

// rawConn is one connection to a rawServer.
type rawConn struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func (s *rawServer) accept() *rawConn {
	s.t.Helper()
	s.ln.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	c, err := s.ln.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &rawConn{s.t, c, bufio.NewReader(c)}
}

func (c *rawConn) request() *http.Request {
	c.t.Helper()
	req, err := http.ReadRequest(c.in)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	return req
}

func (c *rawConn) answer(head, body string) {
	c.t.Helper()
	if _, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
		c.t.Error(err)
	}
}

// waitClosed waits for the limiter to close the connection.
func (c *rawConn) waitClosed() {
	c.t.Helper()
	if b, err := c.in.ReadByte(); err == nil {
		c.t.Errorf("read byte %q where the connection should have been closed", b)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		c.t.Error("the connection was not closed")
	}
}

// dial opens a kept-alive client connection.
func (r *rig) dial() (net.Conn, *bufio.Reader) {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

// waitStopped waits for the limiter to exit without an error.
func (r *rig) waitStopped() {
	r.t.Helper()
	select {
	case err := <-r.runResult:
		if err != nil {
			r.t.Error(err)
		}
	case <-time.After(testTimeout):
		r.t.Error("the limiter did not exit")
	}
}

// result is the answer that a client received.
type result struct {
	status int
	body   string
	header http.Header
}

// send sends a request in the background.
func (r *rig) send(req *http.Request) <-chan result {
	out := make(chan result, 1)
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	go func() {
		resp, err := client.Do(req)
		if err != nil {
			out <- result{body: err.Error()}
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		out <- result{resp.StatusCode, string(body), resp.Header}
	}()
	return out
}

func (r *rig) received(c <-chan result) result {
	r.t.Helper()
	select {
	case res := <-c:
		return res
	case <-time.After(testTimeout):
		r.t.Fatal("no answer")
		return result{}
	}
}
