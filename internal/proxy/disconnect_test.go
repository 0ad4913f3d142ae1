package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/control/catalog"
)

// longTimeoutRoutes have timeouts longer than any test waits, so a request that ends earlier was aborted.
const longTimeoutRoutes = `{"config_version":"r2","base_revision":"r1","limits":{"max_header_bytes":16384,"max_body_bytes":8000000,"idle_timeout":"60s"},
"tenants":[{"name":"t1","api_keys":["k1"],"rate_per_s":500,"burst_size":500}],
"listeners":[{"hostname":"h","policy":[
{"name":"read","route_type":"idempotent","target_latency":"60s","match_criteria":{"path_prefix":"/read/"},"forward_action":{"service":"s","timeout":"60s","max_attempts":3}},
{"name":"send","route_type":"non_idempotent","target_latency":"60s","match_criteria":{"path_prefix":"/send/"},"forward_action":{"service":"s","timeout":"60s","max_attempts":3}}]}],
"clusters":[{"name":"s","health_path":"/health","warmup":"3s","cold_per_s":3.6}]}`

// abortWithin bounds how long a server may still work after its client has disconnected. The requirement is half a
// second; the rest is margin for a busy machine, and a request that is not aborted takes a minute.
const abortWithin = 5 * time.Second

// silentServer accepts requests and answers none of them, or only writes the start of an answer.
type silentServer struct {
	id       string
	prelude  string        // written when a request has been received
	received chan string   // attempt IDs of the requests received
	ended    chan struct{} // receives a value for each connection that the limiter closed
	answer   chan string   // answers for the waiting requests, one each
}

func (proxy *testProxy) silentServer(id, prelude string) *silentServer {
	s := &silentServer{id: id, prelude: prelude, received: make(chan string, 64), ended: make(chan struct{}, 64),
		answer: make(chan string, 64)}
	address := listen(proxy.t, s.serve)
	proxy.records.ApplyHeartbeat(0, catalog.Record{ID: id, Service: "s", Address: address, Zone: "z", Sequence: 1, Slots: 64})
	return s
}

func (s *silentServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if r.URL.Path == "/health" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Madderdrum-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		s.ended <- struct{}{}
		return
	}
	s.received <- r.Header.Get(headerAttempt)
	io.WriteString(c, s.prelude)
	go func() {
		for text := range s.answer {
			io.WriteString(c, text)
			return
		}
	}()
	in.Peek(1)
	s.ended <- struct{}{}
}

// connectClient returns the client's end of a new connection to the limiter.
func (proxy *testProxy) connectClient() net.Conn {
	proxy.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		proxy.t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		proxy.t.Fatal(err)
	}
	proxy.t.Cleanup(func() { client.Close() })
	c, err := l.Accept()
	if err != nil {
		proxy.t.Fatal(err)
	}
	go proxy.Proxy.serveConnection(c)
	return client
}

func (proxy *testProxy) useLongTimeoutRoutes() {
	proxy.t.Helper()
	var register = *proxy.Proxy.register
	register.Seq, register.Version, register.Config = 2, 2, []byte(longTimeoutRoutes)
	proxy.deliver(&register)
	if proxy.configSnapshot.Load().table.Routes[0].Timeout != time.Minute {
		proxy.t.Fatal("the routes of this test are not in force")
	}
}

// await receives one value or fails the test.
func await[T any](t *testing.T, from <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(abortWithin):
		t.Fatalf("%s: not received within %v", what, abortWithin)
	}
	return v
}

// longTimeoutRequest returns a request whose client waits for a minute.
func longTimeoutRequest(method, path, id, headers, body string) string {
	return strings.Replace(request(method, path, id, headers, body), ": 1000\r\n", ": 60000\r\n", 1)
}

// Requests are aborted when their client disconnects, whatever the state of the connection.
func TestRequestsEndWithTheirClients(t *testing.T) {
	reads := func(n int) (text string) {
		for i := range n {
			text += longTimeoutRequest("GET", "/read/1", fmt.Sprintf("id-%d", i), "", "")
		}
		return text
	}
	streamed := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-0\r\n%s: 1\r\nContent-Length: %d\r\n\r\nthe first bytes",
		headerAttempt, headerSeal, 2*maxBufferedAnswer)
	begun := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-0\r\n%s: 1\r\nContent-Length: 1000\r\n\r\nthe first bytes",
		headerAttempt, headerSeal)
	for name, test := range map[string]struct {
		text     string
		atServer int // number of requests that reach the server
		prelude  string
		waitFor  string // text the client waits for before it disconnects
		reset    bool
		leaving  bool
	}{
		"one":                    {text: reads(1), atServer: 1},
		"one, reset":             {text: reads(1), atServer: 1, reset: true},
		"several":                {text: reads(4), atServer: 4},
		"maximum in flight":      {text: reads(maxPipelined), atServer: maxPipelined},
		"more than the maximum":  {text: reads(maxPipelined + 3), atServer: maxPipelined},
		"the next one half sent": {text: reads(1) + "GET /read/2 HTTP/1.1\r\nHost:", atServer: 1},
		"the next one's body half sent": {text: reads(1) + longTimeoutRequest("PUT", "/read/2", "b",
			"Content-Length: 10\r\n", "") + "abc", atServer: 1},
		"after unreadable input": {text: reads(1) + "what is this\r\n\r\n", atServer: 1},
		"the connection's last": {text: longTimeoutRequest("GET", "/read/1", "id-0", "Connection: close\r\n",
			""), atServer: 1},
		"a long body, all of it sent": {text: longTimeoutRequest("PUT", "/read/1", "id-0", "",
			strings.Repeat("x", maxHeldBody+70000)), atServer: 1},
		"an answer has begun":     {text: reads(1), atServer: 1, prelude: begun},
		"a long answer has begun": {text: reads(1), atServer: 1, prelude: streamed, waitFor: "the first bytes"},
		"intake stopped":          {text: reads(1), atServer: 1, leaving: true},
		"intake stopped, two":     {text: reads(2), atServer: 2, leaving: true},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			proxy := newTestProxy(t)
			proxy.t = t
			proxy.useLongTimeoutRoutes()
			s := proxy.silentServer("i-1", test.prelude)
			proxy.deliver(nil)
			client := proxy.connectClient()
			if _, err := io.WriteString(client, test.text); err != nil {
				t.Fatal(err)
			}
			for range test.atServer {
				await(t, s.received, "request at the server")
			}
			if test.waitFor != "" {
				awaitText(t, client, test.waitFor)
			}
			if test.leaving {
				proxy.leaving.Store(true)
				proxy.stopIntake()
			}
			if test.reset {
				client.(*net.TCPConn).SetLinger(0)
			}
			client.Close()
			for i := range test.atServer {
				await(t, s.ended, fmt.Sprintf("end of execution %d of %d", i+1, test.atServer))
			}
			proxy.awaitIdle()
			select {
			case id := <-s.received:
				t.Errorf("%s was sent to a server again", id)
			default:
			}
			proxy.mu.Lock()
			defer proxy.mu.Unlock()
			if n := len(proxy.engine.calls); n > 0 {
				t.Errorf("the engine still has %d calls", n)
			}
			if n := len(proxy.engine.inFlight); n > 0 {
				t.Errorf("attempts at %d servers still count as in flight", n)
			}
		})
	}
}

// awaitText reads until the text has arrived.
func awaitText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(abortWithin))
	var received []byte
	buf := make([]byte, 1<<10)
	for !strings.Contains(string(received), text) {
		n, err := c.Read(buf)
		if err != nil {
			t.Fatalf("waiting for %q, received %q: %v", text, received, err)
		}
		received = append(received, buf[:n]...)
	}
}

// awaitIdle waits until the limiter has no request in flight.
func (proxy *testProxy) awaitIdle() {
	proxy.t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for until := time.Now().Add(abortWithin); proxy.inFlight.Load() > 0; <-tick.C {
		if time.Now().After(until) {
			proxy.t.Fatalf("%d requests are still in flight", proxy.inFlight.Load())
		}
	}
}

// A request that is not repeatable runs to completion at the server that has it, because it may already have taken
// effect. After a disconnect it is not sent to another server, even if the first one did not execute it.
func TestWhatCantBeRepeatedEndsWhereItIs(t *testing.T) {
	for name, answer := range map[string]string{
		"served": fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-0\r\n%s: 1\r\nContent-Length: 2\r\n\r\nok", headerAttempt,
			headerSeal),
		"unserved": fmt.Sprintf("HTTP/1.1 503 x\r\n%s: id-0\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerAttempt,
			headerNotExecuted),
	} {
		t.Run(name, func(t *testing.T) {
			proxy := newTestProxy(t)
			proxy.t = t
			proxy.useLongTimeoutRoutes()
			all := []*silentServer{proxy.silentServer("i-1", ""), proxy.silentServer("i-2", "")}
			proxy.deliver(nil)
			client := proxy.connectClient()
			io.WriteString(client, longTimeoutRequest("POST", "/send/1", "id-0", "", "payload"))
			var first, second *silentServer
			select {
			case <-all[0].received:
				first, second = all[0], all[1]
			case <-all[1].received:
				first, second = all[1], all[0]
			case <-time.After(abortWithin):
				t.Fatal("the request reached no server")
			}
			client.Close()
			proxy.awaitDisconnect()
			select {
			case <-first.ended:
				t.Error("a request that is not repeatable was aborted")
			default:
			}
			first.answer <- answer
			proxy.awaitIdle()
			if len(second.received) > 0 || len(first.received) > 0 {
				t.Error("the request was sent again")
			}
		})
	}
}

// awaitDisconnect waits until the limiter has noticed a disconnect with a request in flight.
func (proxy *testProxy) awaitDisconnect() {
	proxy.t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	seen := func() bool {
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		return proxy.disconnects.connections > 0
	}
	for until := time.Now().Add(abortWithin); !seen(); <-tick.C {
		if time.Now().After(until) {
			proxy.t.Fatal("the limiter has not noticed the disconnect")
		}
	}
}

// A request whose client has disconnected before the request was read is not served. Most requests that a machine
// finds waiting after a stall are of this kind.
func TestClientsThatLeftBeforeTheyWereRead(t *testing.T) {
	const clients = 100
	proxy := newTestProxy(t)
	proxy.useLongTimeoutRoutes()
	s := proxy.silentServer("i-1", "")
	proxy.deliver(nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for i := range clients {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, longTimeoutRequest("GET", "/read/1", fmt.Sprintf("id-%d", i), "", ""))
		c.Close()
	}
	for range clients {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		proxy.Proxy.serveConnection(c)
	}
	if n := len(s.received); n > 0 {
		t.Errorf("%d of %d requests were sent to a server after their clients had disconnected", n, clients)
	}
}

// watchedConn reports each read deadline that is set.
type watchedConn struct {
	net.Conn
	deadlines chan struct{}
}

func (c *watchedConn) SetReadDeadline(t time.Time) error {
	select {
	case c.deadlines <- struct{}{}:
	default:
	}
	return c.Conn.SetReadDeadline(t)
}

// A connection is idle only while no request is in flight.
func TestConnectionsWithRequestsInHandAreNotIdle(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	watched := &watchedConn{near, make(chan struct{}, 8)}
	pipe := newPipeline(watched)
	if !pipe.enqueue(&pendingRequest{done: make(chan *answer, 1)}) {
		t.Fatal("the pipeline rejects a request")
	}
	in := bufio.NewReader(watched)
	result := make(chan error, 1)
	go func() { result <- awaitRequest(pipe, in, time.Millisecond) }()
	for range 3 { // each deadline after the first means that the idle time has run out
		await(t, watched.deadlines, "read deadline")
	}
	go io.WriteString(far, "x")
	if err := await(t, result, "next request"); err != nil {
		t.Errorf("with a request in flight: %v", err)
	}
	in.Discard(1)
	pipe.startAnswer(<-pipe.queue, false)
	if err := awaitRequest(pipe, in, time.Millisecond); err == nil || isDisconnect(err) {
		t.Errorf("with no request in flight: %v, want a timeout", err)
	}
}
