package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/places"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/registry"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/internal/sockets"
	"example.org/madderdrum/traffic/allowance"
	"example.org/madderdrum/traffic/failurereports"
	"example.org/madderdrum/traffic/loadreports"
	"example.org/madderdrum/traffic/membership"
	"example.org/madderdrum/traffic/quotaloan"
)

// testProxy is a limiter without listeners. Tests pass it the answers of a core machine directly.
type testProxy struct {
	*Proxy
	t       testing.TB
	records *catalog.Catalog
}

const routes = `{"config_version":"r1","base_revision":0,"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"idle_timeout":"15s"},
"tenants":[{"name":"t1","api_keys":["k1"],"rate_per_s":500,"burst_size":500}],
"listeners":[{"hostname":"h","policy":[
{"name":"read","route_type":"idempotent","target_latency":"600ms","match_criteria":{"path_prefix":"/read/"},"forward_action":{"service":"s","timeout":"1s","max_attempts":2}},
{"name":"send","route_type":"non_idempotent","target_latency":"600ms","match_criteria":{"path_prefix":"/send/"},"forward_action":{"service":"s","timeout":"1s","max_attempts":2}}]}],
"clusters":[{"name":"s","health_path":"/health","warmup":"3s","cold_per_s":3.6}]}`

func newTestProxy(t testing.TB) *testProxy {
	log := logrus.New()
	log.SetOutput(io.Discard)
	peerConn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peerConn.Close() })
	settings := &nodesettings.Settings{Node: "e1", IP: "127.0.0.1", Zone: "z", Region: "r",
		Zones: map[string]string{"z": "r"}, Ports: [2]int{7460, 7475},
		Bounds: nodesettings.Bounds{RetryRatio: 0.2, QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1,
			QuotaSlack: 20, WarmupOvershoot: 1.5, WarmupSlack: 5}}
	proxy := &testProxy{t: t, records: catalog.New("core"), Proxy: newProxy(settings, log)}
	proxy.Proxy.peerConn = peerConn
	proxy.deliver(&controlstate.Register{Seq: 1, Version: 1, Config: []byte(routes),
		Places: []places.Place{{Name: "e1", IP: "127.0.0.1", Zone: "z"}}})
	return proxy
}

// deliver passes the limiter new records of the core machine's catalog and a register.
func (proxy *testProxy) deliver(register *controlstate.Register) {
	proxy.applyPulled(time.Now(), &registry.PullResponse{Register: register,
		Records: proxy.records.Since(0, proxy.Proxy.records.Vector()), Vector: proxy.records.Vector(), Proven: true,
		ProofAgeMs: 1})
}

// earnRetries gives the service the retry budget that a number of requests earn.
func (proxy *testProxy) earnRetries(requests int) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	tries := &allowance.RetryBudget{}
	for range requests {
		tries.Earn(proxy.rules, 1)
	}
	proxy.retryBudgets["s"] = tries
}

// listen opens a listener whose connections are each served in a goroutine, until the test ends.
func listen(t testing.TB, serve func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go sockets.Accept(context.Background(), l, serve)
	return l.Addr().String()
}

// server is a test server that answers each request with its next behaviour. The last one repeats.
type server struct {
	id, address string
	mu          sync.Mutex
	behaviours  []string
	executed    []string // attempt IDs
}

func (proxy *testProxy) server(id string, warmMs uint64, behaviours ...string) *server {
	s := &server{id: id, behaviours: behaviours}
	s.address = listen(proxy.t, s.serveConn)
	proxy.records.ApplyHeartbeat(0, catalog.Record{ID: id, Service: "s", Address: s.address, Zone: "z", Sequence: 1,
		WarmupLeftMs: warmMs})
	return s
}

// serveConn serves one connection. The behaviours are ok, shed, misdirected, fail, refuse (executes the request
// and answers 429), cut (executes the request and
// closes the connection), half (sends half an answer), other (sends the answer to another request) and twice
// (sends a second answer after the first).
func (s *server) serveConn(c net.Conn) {
	serveRequests(c, func(_ *bufio.Reader, r *http.Request, body []byte) (keepOpen bool) {
		id := r.Header.Get(headerAttempt)
		s.mu.Lock()
		behaviour := s.behaviours[0]
		if len(s.behaviours) > 1 {
			s.behaviours = s.behaviours[1:]
		}
		if behaviour != "shed" && behaviour != "misdirected" {
			s.executed = append(s.executed, id)
		}
		s.mu.Unlock()
		answer := func(status int, id, extra, body string) string {
			return fmt.Sprintf("HTTP/1.1 %d x\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headerAttempt, id,
				extra, len(body), body)
		}
		seal := headerSeal + ": 1\r\n"
		complete := answer(200, id, seal,
			s.id+" "+string(body)+" "+r.Header.Get(headerTenant)+r.Header.Get(headerCredential))
		switch behaviour {
		case "ok":
			io.WriteString(c, complete)
		case "shed":
			io.WriteString(c, answer(503, id, headerNotExecuted+": 1\r\n", ""))
		case "misdirected":
			io.WriteString(c, answer(421, id, "", ""))
		case "fail":
			io.WriteString(c, answer(500, id, seal, "no"))
		case "refuse":
			io.WriteString(c, answer(429, id, seal, "no"))
		case "cut":
			return false
		case "half":
			io.WriteString(c, complete[:len(complete)-3])
			return false
		case "other":
			io.WriteString(c, answer(200, "another", seal, "another's"))
		case "twice":
			io.WriteString(c, complete+complete)
		}
		return true
	})
}

// serveRequests calls respond for each request on a connection. It closes the connection when respond returns
// false or no further request arrives.
func serveRequests(c net.Conn, respond func(in *bufio.Reader, r *http.Request, body []byte) (keepOpen bool)) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !respond(in, r, body) {
			return
		}
	}
}

// healthResponse returns a server's response to a health check.
func healthResponse(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Madderdrum-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// client sends bytes on one connection and reads n answers.
func (proxy *testProxy) client(text string, n int) (all []*http.Response, bodies []string) {
	proxy.t.Helper()
	clientEnd, serverEnd := net.Pipe()
	defer clientEnd.Close()
	go proxy.Proxy.serveConnection(serverEnd)
	go io.WriteString(clientEnd, text)
	clientEnd.SetReadDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(clientEnd)
	for range n {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			proxy.t.Fatalf("answer %d to %.60q: %v", len(all)+1, text, err)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			proxy.t.Fatal(err)
		}
		all, bodies = append(all, r), append(bodies, string(body))
	}
	return all, bodies
}

func request(method, path, id, headers, body string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 1000\r\n%s: k1\r\n%s", method, path,
		headerAttempt, id, headerDeadline, headerCredential, headers)
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// Checks the answer to requests of each route kind, and how often they are executed, for each behaviour of the
// first server. A request that is not repeatable runs once, and only a request that was not executed is answered
// as such.
func TestRouteKindsAndServerBehaviours(t *testing.T) {
	for _, test := range []struct {
		behaviour  string
		read, send int // expected status
		runs       int // executions of the non-repeatable request
	}{
		{"ok", 200, 200, 1}, {"shed", 200, 200, 1}, {"misdirected", 200, 200, 1}, {"fail", 200, 500, 1},
		{"cut", 200, 502, 1},
		{"half", 200, 502, 1}, {"other", 200, 502, 1}, {"twice", 200, 200, 1},
	} {
		for _, send := range []bool{false, true} {
			proxy := newTestProxy(t)
			var servers []*server
			for i := range 2 {
				// Whichever server is chosen first behaves this way, and the other one answers normally from its
				// second request on.
				servers = append(servers, proxy.server(fmt.Sprintf("i-%d", i), 0, test.behaviour, "ok"))
			}
			proxy.deliver(nil)
			proxy.earnRetries(10)
			method, path, want := "GET", "/read/1", test.read
			if send {
				method, path, want = "POST", "/send/1", test.send
			}
			if test.behaviour != "ok" && !send { // the second server answers normally at once
				servers[1].mu.Lock()
				servers[1].behaviours = []string{"ok"}
				servers[1].mu.Unlock()
				servers[0].mu.Lock()
				servers[0].behaviours = []string{test.behaviour, "ok"}
				servers[0].mu.Unlock()
			}
			if send && (test.behaviour == "shed" || test.behaviour == "misdirected") {
				servers[1].mu.Lock()
				servers[1].behaviours = []string{"ok"}
				servers[1].mu.Unlock()
			}
			body := ""
			if send {
				body = "payload"
			}
			got, bodies := proxy.client(request(method, path, "id-1", "", body), 1)
			if got[0].StatusCode != want {
				t.Errorf("%s, non-repeatable %v: status %d, want %d", test.behaviour, send, got[0].StatusCode, want)
			}
			if want == 200 && (!strings.Contains(bodies[0], "t1") || strings.Contains(bodies[0], "k1")) {
				t.Errorf("%s: the server received %q, want the tenant's name and not the key", test.behaviour,
					bodies[0])
			}
			runs := 0
			for _, s := range servers {
				s.mu.Lock()
				runs += len(s.executed)
				s.mu.Unlock()
			}
			if send && runs != test.runs {
				t.Errorf("%s: the non-repeatable request ran %d times", test.behaviour, runs)
			}
		}
	}
}

// Validates the test above: a repeatable request does run twice if its first server executes it and then cuts the
// connection.
func TestResentAfterACut(t *testing.T) {
	proxy := newTestProxy(t)
	servers := []*server{proxy.server("i-0", 0, "cut", "ok"), proxy.server("i-1", 0, "cut", "ok")}
	proxy.deliver(nil)
	proxy.earnRetries(10)
	proxy.client(request("GET", "/read/1", "id-1", "", ""), 1)
	runs := 0
	for _, s := range servers {
		s.mu.Lock()
		runs += len(s.executed)
		s.mu.Unlock()
	}
	if runs < 2 {
		t.Errorf("the request ran %d times: the test above would not detect a second run", runs)
	}
}

// Pipelined requests on one connection are answered in order, even if a later one is ready first. A surplus second
// answer of a server is discarded.
func TestPipeline(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.server("i-1", 0, "twice", "ok")
	proxy.deliver(nil)
	text := ""
	for i := range 6 {
		text += request("GET", "/read/1", fmt.Sprintf("id-%d", i), "", "")
	}
	got, _ := proxy.client(text, 6)
	for i, r := range got {
		if id := r.Header.Get(headerAttempt); id != fmt.Sprintf("id-%d", i) || r.StatusCode != 200 {
			t.Errorf("answer %d has status %d and ID %s", i, r.StatusCode, id)
		}
	}
}

func TestTurnedAway(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.server("i-1", 0, "ok")
	proxy.deliver(nil)
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"no route":     {request("GET", "/none/", "a", "", ""), 404},
		"unknown key":  {strings.Replace(request("GET", "/read/1", "a", "", ""), "k1", "k9", 1), 401},
		"two keys":     {request("GET", "/read/1", "a", headerCredential+": k9\r\n", ""), 401},
		"no id":        {strings.Replace(request("GET", "/read/1", "a", "", ""), headerAttempt, "X-Other", 1), 400},
		"odd deadline": {strings.Replace(request("GET", "/read/1", "a", "", ""), "1000", "soon", 1), 400},
		"long head":    {request("GET", "/read/1", "a", "X-Long: "+strings.Repeat("x", 40000)+"\r\n", ""), 431},
		"long body":    {request("POST", "/send/1", "a", "Content-Length: 200000\r\n", ""), 413},
		"two lengths": {request("POST", "/send/1", "a", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
			""), 400},
		"blank in a name":  {request("POST", "/send/1", "a", "X Note: a\r\n", "abc"), 400},
		"hidden chunks":    {request("POST", "/send/1", "a", "Transfer-Encoding : chunked\r\n", "0\r\n\r\n"), 400},
		"hidden length":    {request("POST", "/send/1", "a", "Content-Length : 9\r\n", "abc"), 400},
		"no HTTP":          {"what is this\r\n\r\n", 400},
		"whole, of HTTP/1": {strings.Replace(request("GET", "/read/1", "a", "", ""), "HTTP/1.1", "HTTP/1.0", 1), 400},
		"a forged tenant":  {request("GET", "/read/1", "a", headerTenant+": someone\r\n", ""), 200},
		"a chunked body": {request("POST", "/send/1", "a", "Transfer-Encoding: chunked\r\n",
			"") + "3\r\nabc\r\n0\r\n\r\n", 200},
	} {
		got, bodies := proxy.client(test.text, 1)
		if got[0].StatusCode != test.status {
			t.Errorf("%s: status %d, want %d", name, got[0].StatusCode, test.status)
		}
		if name == "a forged tenant" && strings.Contains(bodies[0], "someone") {
			t.Errorf("the server received a tenant set by the client: %q", bodies[0])
		}
		if name == "a chunked body" && !strings.Contains(bodies[0], "abc") {
			t.Errorf("the server received %q", bodies[0])
		}
	}
}

// A body longer than maxHeldBody is forwarded as it arrives, once: its request is never sent to a second server. A
// body over the limit gets 413.
func TestLongBodies(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", maxHeldBody/8)
	chunked := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(long)/2, long[:len(long)/2],
		len(long)-len(long)/2, long[len(long)/2:])
	for name, test := range map[string]struct {
		behaviours []string
		text       string
		limit      int64
		status     int
		executed   int
	}{
		"length": {[]string{"ok"}, request("POST", "/send/1", "a", "", long), 8 << 20, 200, 1},
		"chunks": {[]string{"ok"}, request("POST", "/send/1", "a", "Transfer-Encoding: chunked\r\n",
			"") + chunked, 8 << 20, 200, 1},
		"repeatable, cut":  {[]string{"cut", "ok"}, request("PUT", "/read/1", "a", "", long), 8 << 20, 502, 1},
		"turned away":      {[]string{"shed", "ok"}, request("POST", "/send/1", "a", "", long), 8 << 20, 503, 0},
		"too long, length": {[]string{"ok"}, request("POST", "/send/1", "a", "", long), 1 << 20, 413, 0},
		"too long, chunks": {[]string{"ok"}, request("POST", "/send/1", "a", "Transfer-Encoding: chunked\r\n",
			"") + chunked, maxHeldBody + 1000, 413, 0},
	} {
		proxy := newTestProxy(t)
		config := *proxy.configSnapshot.Load()
		table := *config.table
		table.Limits.MaxBodyBytes = test.limit
		config.table = &table
		proxy.configSnapshot.Store(&config)
		s := proxy.server("i-1", 0, test.behaviours...)
		proxy.deliver(nil)
		got, bodies := proxy.client(test.text, 1)
		s.mu.Lock()
		executed := len(s.executed)
		s.mu.Unlock()
		if got[0].StatusCode != test.status || executed != test.executed {
			t.Errorf("%s: status %d, ran %d times; want %d and %d", name, got[0].StatusCode, executed, test.status,
				test.executed)
		}
		if test.status == 200 && !strings.Contains(bodies[0], long) {
			t.Errorf("%s: the server received a different body; its answer has %d bytes", name, len(bodies[0]))
		}
		if !got[0].Close {
			t.Errorf("%s: the connection stays open", name)
		}
	}
}

// Only one timer is pending, however often the server list is updated while many servers are cold.
func TestOneTimerForServerUpdates(t *testing.T) {
	proxy := newTestProxy(t)
	for i := range 8 {
		proxy.server(fmt.Sprintf("i-%d", i), 3000, "ok")
	}
	proxy.deliver(nil)
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	timers := map[*time.Timer]bool{}
	for range 50 {
		proxy.updateServers()
		timers[proxy.serverUpdateTimer] = true
	}
	if len(timers) > 25 {
		t.Errorf("%d timers were created", len(timers))
	}
}

// A cold server receives no more than its allowance from this limiter, however many requests arrive.
func TestColdAllowance(t *testing.T) {
	proxy := newTestProxy(t)
	s := proxy.server("i-1", 60000, "ok")
	proxy.deliver(nil)
	for i := range 40 {
		proxy.client(request("GET", "/read/1", fmt.Sprintf("id-%d", i), "", ""), 1)
	}
	// One limiter in the zone and one that may join: 10.4 per second, less a tenth, divided by two.
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.executed) > 5 {
		t.Errorf("a cold server received %d requests in quick succession, want at most 5", len(s.executed))
	}
}

// When key revocation is strict, no key is accepted without a recent proof.
func TestNoProofNoKeys(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.settings.Bounds.RevocationStrict, proxy.settings.Bounds.Revoke = true, 5*time.Second
	proxy.server("i-1", 0, "ok")
	proxy.deliver(nil)
	if got, _ := proxy.client(request("GET", "/read/1", "a", "", ""), 1); got[0].StatusCode != 200 {
		t.Errorf("status %d with a recent proof", got[0].StatusCode)
	}
	proxy.mu.Lock()
	proxy.provenAt = time.Now().Add(-4600 * time.Millisecond)
	proxy.mu.Unlock()
	got, _ := proxy.client(request("GET", "/read/1", "a", "", ""), 1)
	if got[0].StatusCode != 503 || got[0].Header.Get("Retry-After") == "" {
		t.Errorf("status %d with a proof of 4.6 s, want 503 and Retry-After", got[0].StatusCode)
	}
}

// A pull states what this limiter lacks. One with news for the core machine is sent at once.
func TestPullAsksForWhatIsLacking(t *testing.T) {
	proxy := newTestProxy(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pulls := make(chan registry.PullRequest, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go rpc.Serve(ctx, l, map[string]rpc.Handler{registry.CallPull: func(ctx context.Context, body []byte) (any, error) {
		var m registry.PullRequest
		if err := rpc.Decode(body, &m); err != nil {
			return nil, err
		}
		pulls <- m
		if m.CallerRecord.State != catalog.Draining {
			<-ctx.Done() // holds the call
		}
		return registry.PullResponse{Proven: true}, nil
	}})
	done := make(chan bool, 1)
	go func() { done <- proxy.pull(ctx, l.Addr().String()) }()
	if a := <-pulls; a.Seq != 1 || a.CallerRecord.State != catalog.Available {
		t.Errorf("pulled with %+v", a)
	}
	proxy.leaving.Store(true)
	proxy.wakePull()
	if !<-done {
		t.Error("an interrupted pull counts as a failure of the core machine")
	}
	proxy.pull(ctx, l.Addr().String())
	if a := <-pulls; a.CallerRecord.State != catalog.Draining {
		t.Errorf("a leaving limiter reports state %v", a.CallerRecord.State)
	}
}

// A keeper pays for other limiters' requests until its part is used up, and then refuses.
func TestKeeperPaysOutOfItsPart(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.server("i-1", 0, "ok")
	proxy.deliver(nil)
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	id := accountID("t1")
	paid := 0
	for i := range 2000 {
		if proxy.engine.answerTokenRequest(tokenRequest{Serial: uint64(i), Account: id, Route: "read",
			Service: "s"}).OK {
			paid++
		}
	}
	if most := proxy.engine.quota.Ceilings[id].Burst; float64(paid) > most+100 || paid < 100 {
		t.Errorf("%d of 2000 token requests were granted, the ceiling has a burst of %.0f", paid, most)
	}
	if proxy.engine.answerTokenRequest(tokenRequest{Account: id, Route: "none"}).OK ||
		proxy.engine.answerTokenRequest(tokenRequest{Account: 1, Route: "read", Service: "s"}).OK {
		t.Error("a token request for an unknown route or tenant was granted")
	}
}

// addedPlace returns a delta that adds one place after the existing ones.
func addedPlace(slot int, place places.Place) *places.Delta {
	return &places.Delta{Size: slot + 1, Changed: map[int]places.Place{slot: place}}
}

// A register that leaves out the configuration and places the limiter already has is completed from them.
func TestRegisterInParts(t *testing.T) {
	proxy := newTestProxy(t)
	place := places.Place{Name: "e2", IP: "127.0.0.2", Zone: "z"}
	proxy.applyPulled(time.Now(), &registry.PullResponse{Places: addedPlace(1, place),
		Register: &controlstate.Register{Seq: 2, Version: 1, EvacuatedZones: []string{"z"}}})
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if len(proxy.register.Places) != 2 || proxy.register.Places[1] != place || len(proxy.register.Config) == 0 ||
		!proxy.evacuatedZones["z"] || proxy.configSnapshot.Load().seq != 2 || proxy.engine.slotCount != 2 {
		t.Errorf("%+v", proxy.register)
	}
	// An older register of another core machine changes nothing.
	proxy.mu.Unlock()
	proxy.applyPulled(time.Now(), &registry.PullResponse{Register: &controlstate.Register{Seq: 1, Version: 1,
		Config: []byte(routes)}})
	proxy.mu.Lock()
	if proxy.register.Seq != 2 || !proxy.evacuatedZones["z"] {
		t.Errorf("the limiter went back to %+v", proxy.register)
	}
}

// A leaving limiter considers no other limiter unreachable: the others no longer reply to it.
func TestLeaverSuspectsNobody(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		proxy := newTestProxy(t)
		proxy.leaving.Store(leaves)
		proxy.mu.Lock()
		proxy.base = time.Now().Add(-time.Hour)
		proxy.memberIPs["e2#1"] = "127.0.0.2" // never replies
		proxy.members.SetMembers(map[string]string{"e2#1": "z"})
		proxy.mu.Unlock()
		for range 100 {
			proxy.probeMembers()
			proxy.mu.Lock()
			proxy.base = proxy.base.Add(-50 * time.Millisecond) // advances the clock
			proxy.mu.Unlock()
		}
		if proxy.unreachable["e2"] == leaves {
			t.Errorf("leaving: %v; considers another limiter unreachable: %v", leaves, proxy.unreachable["e2"])
		}
	}
}

// All limiters give a server the same ID, whatever order they learn servers in, because failure reports refer to
// it.
func TestServersAreKnownByOneNumber(t *testing.T) {
	numbers := func(ids ...string) map[string]uint64 {
		proxy := newTestProxy(t)
		for _, id := range ids {
			proxy.server(id, 0, "ok")
			proxy.deliver(nil)
		}
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		all := map[string]uint64{}
		for n, s := range proxy.engine.servers {
			all[fmt.Sprint(s.instanceID, " ", proxy.engine.pools[poolKey{service: "s"}].id == s.pool)] = n
		}
		return all
	}
	if d := cmp.Diff(numbers("i-1", "i-2", "i-3"), numbers("i-3", "i-1", "i-2")); d != "" {
		t.Error(d)
	}
}

// Joining limiters do not restore spent quota: the existing ones keep only their remaining balances.
func TestJoinersRenewNothing(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.server("i-1", 0, "ok")
	proxy.deliver(nil)
	ask := func() (paid int) {
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		for i := range 2000 {
			if proxy.engine.answerTokenRequest(tokenRequest{Serial: uint64(i), Account: accountID("t1"),
				Route: "read", Service: "s"}).OK {
				paid++
			}
		}
		return paid
	}
	first := ask()
	again := 0
	for k := range 4 {
		place := places.Place{Name: fmt.Sprint("e", k+2), IP: fmt.Sprint("127.0.0.", k+2), Zone: "z"}
		proxy.applyPulled(time.Now(), &registry.PullResponse{Places: addedPlace(k+1, place),
			Register: &controlstate.Register{Seq: uint64(k + 2), Version: 1}})
		proxy.deliver(nil)
		again += ask()
	}
	if first < 100 || again > first/10 {
		t.Errorf("%d requests admitted at first, %d more while four limiters join", first, again)
	}
}

// A limiter reports its load to the limiters of its zone, to others of its region if these are few, and to a
// subset that differs for each limiter if they are very many.
func TestNeighbours(t *testing.T) {
	zones := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	var nodes []places.Place
	add := func(zone string, n int) {
		for i := range n {
			nodes = append(nodes, places.Place{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone})
		}
	}
	neighbours := func(i int) []places.Place { return selectNeighbours(nodes, nodes[i].Name, nodes[i].Zone, "a", zones) }
	add("a1", 3)
	add("a2", 5)
	add("b1", 4)
	if all := neighbours(0); len(all) != minNeighbours || all[0].Zone != "a1" || all[1].Zone != "a1" ||
		all[2].Zone != "a2" {
		t.Errorf("small zone: %v", all)
	}
	nodes = nil
	add("a1", 10)
	add("a2", 5)
	if all := neighbours(0); len(all) != 9 || slices.ContainsFunc(all,
		func(p places.Place) bool { return p.Zone != "a1" || p.Name == "a1-0" }) {
		t.Errorf("large zone: %v", all)
	}
	nodes = nil
	add("a1", 100)
	reports := map[string]int{}
	for i := range nodes {
		all := neighbours(i)
		if len(all) != maxNeighbours {
			t.Fatalf("very large zone: %d neighbours", len(all))
		}
		for _, p := range all {
			reports[p.Name]++
		}
	}
	for _, p := range nodes {
		if n := reports[p.Name]; n < maxNeighbours/4 || n > 4*maxNeighbours {
			t.Errorf("%s is a neighbour of %d of 100", p.Name, n)
		}
	}
}

// No datagram makes a limiter crash or use more than its parts.
func FuzzDatagrams(f *testing.F) {
	f.Add(datagramTokenRequest, rpc.Encode(tokenRequest{1, 2, "read", "s", "h"}))
	f.Add(datagramTokenReply, rpc.Encode(tokenReply{Serial: 1, OK: true}))
	f.Add(datagramLoans, rpc.Encode(quotaloan.Message{Serial: 1,
		Items: []quotaloan.AccountPart{{ID: 1, Part: -1}, {ID: 2, Part: 1e300}}}))
	f.Add(datagramProbe, rpc.Encode(probeMessage{membership.Message{From: "e2#1",
		Claims: []membership.Claim{{ID: "e1", State: 200}}},
		[]failurereports.Report{{Server: 1, Class: 9, Source: 2, Serial: 3}}, []serviceWait{{1, 65000}}, true}))
	f.Add(datagramLoad, rpc.Encode(loadreports.Report{Version: 1, Source: 3, Serial: 1,
		Entries: []byte{0, 0, 0, 5, 255, 255}}))
	f.Add(datagramSpending, []byte{1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Fuzz(func(t *testing.T, kind byte, data []byte) {
		proxy := newTestProxy(t)
		proxy.applyPulled(time.Now(), &registry.PullResponse{Places: addedPlace(1,
			places.Place{Name: "e2", IP: "127.0.0.2", Zone: "z"}),
			Register: &controlstate.Register{Seq: 2, Version: 1}})
		for range 3 {
			proxy.handleDatagram("127.0.0.2", kind, data)
		}
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		of, rest, _ := proxy.engine.quota.Ledger.Parts(proxy.now())
		for id, part := range of {
			if part > 1 {
				t.Errorf("account %d: part %g without a loan", id, part)
			}
		}
		if rest > 1 {
			t.Errorf("default part %g without a loan", rest)
		}
	})
}

// When a limiter is leaving, the answer with "Connection: close" is the last of its connection, and requests read
// after it are not executed.
func TestLastAnswerIsTheLast(t *testing.T) {
	proxy := newTestProxy(t)
	s := proxy.server("i-1", 0, "ok")
	proxy.deliver(nil)
	proxy.leaving.Store(true)
	clientEnd, serverEnd := net.Pipe()
	defer clientEnd.Close()
	go proxy.Proxy.serveConnection(serverEnd)
	sent := 0
	send := func(n int) {
		text := ""
		for range n {
			sent++
			text += request("GET", "/read/1", fmt.Sprintf("id-%d", sent), "", "")
		}
		go io.WriteString(clientEnd, text)
	}
	send(5)
	clientEnd.SetReadDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(clientEnd)
	answered := 0
	for {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("after %d answers, none of them the last: %v", answered, err)
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			t.Fatal(err)
		}
		answered++
		if r.Close {
			break
		}
	}
	send(1)
	if r, err := http.ReadResponse(in, nil); err == nil {
		t.Errorf("received another answer after the last one: status %d", r.StatusCode)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.executed) != answered {
		t.Errorf("%d requests ran, %d were answered", len(s.executed), answered)
	}
}

// stormConfig returns one of many configuration versions in quick succession. Its fifty routes are in no other
// version.
func stormConfig(version int) []byte {
	var all []string
	for k := range 50 {
		all = append(all, fmt.Sprintf(`{"name":"r-%d-%d","route_type":"idempotent","target_latency":"400ms","priority":1,"auth_exempt":true,
"match_criteria":{"path_prefix":"/v%d/%d/"},"forward_action":{"service":"s","timeout":"1000ms","max_attempts":2}}`, version, k, version, k))
	}
	return fmt.Appendf(nil, `{"config_version":"r%d","limits":{},"tenants":[],"base_revision":"r%d","listeners":[{"hostname":"h","policy":[%s]}],
"clusters":[{"name":"s","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"warmup":"3s","cold_per_s":4}]}`, version, version-1, strings.Join(all, ","))
}

// Versions that each replace fifty routes arrive in quick succession from core machines some of which lag behind,
// and a second limiter starts half-way. No limiter goes back to an older version, the routes in force always
// belong to one version, and the last version wins.
func TestStormOfVersions(t *testing.T) {
	const versions = 30
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 5))
		limiters := []*testProxy{newTestProxy(t)}
		newest := make([]int, 2)
		places := limiters[0].register.Places
		for v := 2; v <= versions; v++ {
			if v == versions/2 {
				limiters = append(limiters, newTestProxy(t))
			}
			for range 3 {
				for i, proxy := range limiters {
					version := max(1, v-random.IntN(6)) // a core machine that lags behind by up to five versions
					if v == versions {
						version = v
					}
					if version == 1 {
						continue
					}
					proxy.applyPulled(time.Now(), &registry.PullResponse{Proven: true,
						Register: &controlstate.Register{Seq: uint64(version), Version: uint64(version),
							Config: stormConfig(version), Places: places}})
					newest[i] = max(newest[i], version)
					table := proxy.configSnapshot.Load().table
					for x := max(1, v-6); x <= v; x++ {
						for _, k := range []int{0, 49} {
							have := table.FindRoute("h", fmt.Sprintf("/v%d/%d/x", x, k)) != nil
							if want := x == newest[i]; have != want && newest[i] > 1 {
								t.Fatalf("seed %d: with r%d in force, a route of r%d exists: %v", seed, newest[i], x,
									have)
							}
						}
					}
				}
			}
		}
		for _, proxy := range limiters {
			if proxy.register.Version != versions {
				t.Errorf("seed %d: r%d is in force at the end", seed, proxy.register.Version)
			}
		}
	}
}

// Guards against a second run of a message whose server answers 429 itself, without saying that it has not run: only a
// refusal of this limiter leads it to ask others for a token and to submit the request again.
func TestServersOwnRefusalIsPassedOn(t *testing.T) {
	proxy := newTestProxy(t)
	s := proxy.server("i-1", 0, "refuse", "ok")
	for version, keeper := 2, false; !keeper; version++ { // until so many limiters that this one is a keeper
		if version == 100 {
			t.Fatal("this limiter does not become a keeper of the tenant's ceiling")
		}
		proxy.deliver(&controlstate.Register{Seq: uint64(version), Version: uint64(version),
			Config: renamedConfig(version, "send", 3), Places: placesUpTo(proxy, version)})
		_, keeper = proxy.engine.quota.KeeperStatus(accountID("t1"))
	}
	status := make(chan int, 1)
	go func() {
		got, _ := proxy.client(request("POST", "/send/1", "once", "", "x"), 1)
		status <- got[0].StatusCode
	}()
	if got := await(t, status, "an answer"); got != 429 {
		t.Errorf("status %d", got)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.executed) != 1 {
		t.Errorf("ran %d times", len(s.executed))
	}
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.tokenSerial != 0 {
		t.Errorf("%d tokens were asked for", proxy.tokenSerial)
	}
}
