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

// patientRoutes hold requests for longer than any test waits: what ends before that was broken off.
const patientRoutes = `{"config_version":"r2","base_revision":"r1","limits":{"max_header_bytes":16384,"max_body_bytes":8000000,"idle_timeout":"60s"},
"tenants":[{"name":"t1","api_keys":["k1"],"rate_per_s":500,"burst_size":500}],
"listeners":[{"hostname":"h","policy":[
{"name":"read","route_type":"idempotent","target_latency":"60s","match_criteria":{"path_prefix":"/read/"},"forward_action":{"service":"s","timeout":"60s","max_attempts":3}},
{"name":"send","route_type":"non_idempotent","target_latency":"60s","match_criteria":{"path_prefix":"/send/"},"forward_action":{"service":"s","timeout":"60s","max_attempts":3}}]}],
"clusters":[{"name":"s","health_path":"/health","warmup":"3s","cold_per_s":3.6}]}`

// brokenOffWithin bounds how long a server may be at work after its client has left. The rule allows
// half a second; a busy machine is given more, and a request that is not broken off takes a minute.
const brokenOffWithin = 5 * time.Second

// silentServer takes requests and answers none of them, or begins to.
type silentServer struct {
	id     string
	begins string        // written once a request is there
	took   chan string   // attempt ids, as requests come
	ended  chan struct{} // connections that the limiter has closed
	answer chan string   // what the requests that wait are answered with, one each
}

func (y *testProxy) silentServer(id, begins string) *silentServer {
	s := &silentServer{id: id, begins: begins, took: make(chan string, 64), ended: make(chan struct{}, 64), answer: make(chan string, 64)}
	address := listen(y.t, s.serve)
	y.book.Beat(0, catalog.Record{ID: id, Service: "s", Address: address, Zone: "z", Sequence: 1, Slots: 64})
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
	s.took <- r.Header.Get(headerAttempt)
	io.WriteString(c, s.begins)
	go func() {
		for text := range s.answer {
			io.WriteString(c, text)
			return
		}
	}()
	in.Peek(1)
	s.ended <- struct{}{}
}

// closingClient is a client on a socket of its own.
func (y *testProxy) closingClient() net.Conn {
	y.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		y.t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		y.t.Fatal(err)
	}
	y.t.Cleanup(func() { client.Close() })
	c, err := l.Accept()
	if err != nil {
		y.t.Fatal(err)
	}
	go y.Proxy.serveConnection(c)
	return client
}

func (y *testProxy) usePatientRoutes() {
	y.t.Helper()
	var reg = *y.Proxy.reg
	reg.Seq, reg.Version, reg.Config = 2, 2, []byte(patientRoutes)
	y.tell(&reg)
	if y.view.Load().table.Routes[0].Timeout != time.Minute {
		y.t.Fatal("the routes of this test are not in force")
	}
}

// await waits for one value.
func await[T any](t *testing.T, from <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(brokenOffWithin):
		t.Fatalf("%s: nothing within %v", what, brokenOffWithin)
	}
	return v
}

// patient is a request that its client would wait a minute for.
func patient(method, path, id, more, body string) string {
	return strings.Replace(request(method, path, id, more, body), ": 1000\r\n", ": 60000\r\n", 1)
}

// What a client has asked for does not go on without it, whatever its connection is at when it leaves.
func TestRequestsEndWithTheirClients(t *testing.T) {
	reads := func(n int) (text string) {
		for i := range n {
			text += patient("GET", "/read/1", fmt.Sprintf("id-%d", i), "", "")
		}
		return text
	}
	streamed := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-0\r\n%s: 1\r\nContent-Length: %d\r\n\r\nthe first bytes", headerAttempt, headerSeal, 2*wholeMost)
	begun := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-0\r\n%s: 1\r\nContent-Length: 1000\r\n\r\nthe first bytes", headerAttempt, headerSeal)
	for name, x := range map[string]struct {
		text    string
		atWork  int // requests that get to the server
		begins  string
		hears   string // what the client waits for before it leaves
		reset   bool
		leaving bool
	}{
		"one":                            {text: reads(1), atWork: 1},
		"one, reset":                     {text: reads(1), atWork: 1, reset: true},
		"several":                        {text: reads(4), atWork: 4},
		"as many as may be":              {text: reads(pipelineMost), atWork: pipelineMost},
		"more than may be":               {text: reads(pipelineMost + 3), atWork: pipelineMost},
		"the next one half sent":         {text: reads(1) + "GET /read/2 HTTP/1.1\r\nHost:", atWork: 1},
		"the next one's body half sent":  {text: reads(1) + patient("PUT", "/read/2", "b", "Content-Length: 10\r\n", "") + "abc", atWork: 1},
		"behind what can't be read":      {text: reads(1) + "what is this\r\n\r\n", atWork: 1},
		"the connection's last":          {text: patient("GET", "/read/1", "id-0", "Connection: close\r\n", ""), atWork: 1},
		"a long body, all of it sent":    {text: patient("PUT", "/read/1", "id-0", "", strings.Repeat("x", bodyHeld+70000)), atWork: 1},
		"an answer has begun":            {text: reads(1), atWork: 1, begins: begun},
		"a long answer has begun":        {text: reads(1), atWork: 1, begins: streamed, hears: "the first bytes"},
		"the limiter reads no more":      {text: reads(1), atWork: 1, leaving: true},
		"the limiter reads no more, two": {text: reads(2), atWork: 2, leaving: true},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			y := newTestProxy(t)
			y.t = t
			y.usePatientRoutes()
			s := y.silentServer("i-1", x.begins)
			y.tell(nil)
			client := y.closingClient()
			if _, err := io.WriteString(client, x.text); err != nil {
				t.Fatal(err)
			}
			for range x.atWork {
				await(t, s.took, "a request at the server")
			}
			if x.hears != "" {
				awaitText(t, client, x.hears)
			}
			if x.leaving {
				y.leaving.Store(true)
				y.stopIntake()
			}
			if x.reset {
				client.(*net.TCPConn).SetLinger(0)
			}
			client.Close()
			for i := range x.atWork {
				await(t, s.ended, fmt.Sprintf("the end of run %d of %d", i+1, x.atWork))
			}
			y.awaitIdle()
			select {
			case id := <-s.took:
				t.Errorf("%s was sent to a server once more", id)
			default:
			}
			y.mu.Lock()
			defer y.mu.Unlock()
			if n := len(y.engine.calls); n > 0 {
				t.Errorf("%d requests are still decided on", n)
			}
			if n := len(y.engine.inHand); n > 0 {
				t.Errorf("attempts at %d servers count as in hand", n)
			}
		})
	}
}

// awaitText reads until a text has come.
func awaitText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(brokenOffWithin))
	var heard []byte
	piece := make([]byte, 1<<10)
	for !strings.Contains(string(heard), text) {
		n, err := c.Read(piece)
		if err != nil {
			t.Fatalf("%q was waited for, %q came: %v", text, heard, err)
		}
		heard = append(heard, piece[:n]...)
	}
}

// awaitIdle waits until the limiter has nothing in hand.
func (y *testProxy) awaitIdle() {
	y.t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for until := time.Now().Add(brokenOffWithin); y.inHand.Load() > 0; <-tick.C {
		if time.Now().After(until) {
			y.t.Fatalf("%d requests are still in hand", y.inHand.Load())
		}
	}
}

// What can't be repeated ends at the server that has it, as it may have its effect there; it is not
// sent to another one when its client has left, also where the first one did not run it.
func TestWhatCantBeRepeatedEndsWhereItIs(t *testing.T) {
	for name, answer := range map[string]string{
		"served":   fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-0\r\n%s: 1\r\nContent-Length: 2\r\n\r\nok", headerAttempt, headerSeal),
		"unserved": fmt.Sprintf("HTTP/1.1 503 x\r\n%s: id-0\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerAttempt, headerUnrun),
	} {
		t.Run(name, func(t *testing.T) {
			y := newTestProxy(t)
			y.t = t
			y.usePatientRoutes()
			all := []*silentServer{y.silentServer("i-1", ""), y.silentServer("i-2", "")}
			y.tell(nil)
			client := y.closingClient()
			io.WriteString(client, patient("POST", "/send/1", "id-0", "", "payload"))
			var first, second *silentServer
			select {
			case <-all[0].took:
				first, second = all[0], all[1]
			case <-all[1].took:
				first, second = all[1], all[0]
			case <-time.After(brokenOffWithin):
				t.Fatal("the request is at no server")
			}
			client.Close()
			y.awaitDisconnect()
			select {
			case <-first.ended:
				t.Error("what can't be repeated was broken off")
			default:
			}
			first.answer <- answer
			y.awaitIdle()
			if len(second.took) > 0 || len(first.took) > 0 {
				t.Error("it was sent once more")
			}
		})
	}
}

// awaitDisconnect waits until the limiter has seen a client leave with a request in hand.
func (y *testProxy) awaitDisconnect() {
	y.t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	seen := func() bool {
		y.mu.Lock()
		defer y.mu.Unlock()
		return y.disconnects.connections > 0
	}
	for until := time.Now().Add(brokenOffWithin); !seen(); <-tick.C {
		if time.Now().After(until) {
			y.t.Fatal("the limiter has not seen that its client has left")
		}
	}
}

// A client that has left by the time its request is read is not served: on a machine that was held up,
// what it finds waiting is mostly such.
func TestClientsThatLeftBeforeTheyWereRead(t *testing.T) {
	const clients = 100
	y := newTestProxy(t)
	y.usePatientRoutes()
	s := y.silentServer("i-1", "")
	y.tell(nil)
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
		io.WriteString(c, patient("GET", "/read/1", fmt.Sprintf("id-%d", i), "", ""))
		c.Close()
	}
	for range clients {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		y.Proxy.serveConnection(c)
	}
	if n := len(s.took); n > 0 {
		t.Errorf("%d of %d requests were sent to a server after their clients had left", n, clients)
	}
}

// watchedConn tells of each deadline that is set for reading.
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

// A connection is idle only while nothing is in hand.
func TestConnectionsWithRequestsInHandAreNotIdle(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	watched := &watchedConn{near, make(chan struct{}, 8)}
	l := newPipeline(watched)
	if !l.enter(&slot{done: make(chan *answer, 1)}) {
		t.Fatal("the pipeline takes nothing in")
	}
	in := bufio.NewReader(watched)
	result := make(chan error, 1)
	go func() { result <- awaitRequest(l, in, time.Millisecond) }()
	for range 3 { // each after the first stands for an idle time that is over
		await(t, watched.deadlines, "a deadline")
	}
	go io.WriteString(far, "x")
	if err := await(t, result, "the next request"); err != nil {
		t.Errorf("with a request in hand: %v", err)
	}
	in.Discard(1)
	l.last(<-l.slots, false)
	if err := awaitRequest(l, in, time.Millisecond); err == nil || isDisconnect(err) {
		t.Errorf("with nothing in hand: %v, the end of the idle time wanted", err)
	}
}
