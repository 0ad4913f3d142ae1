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

// testProxy is a limiter without its listeners, told directly what a core machine would tell.
type testProxy struct {
	*Proxy
	t    testing.TB
	book *catalog.Book
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
	peers, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peers.Close() })
	set := &nodesettings.Settings{Node: "e1", IP: "127.0.0.1", Zone: "z", Region: "r", Zones: map[string]string{"z": "r"}, Ports: [2]int{7460, 7475},
		Bounds: nodesettings.Bounds{RetryRatio: 0.2, QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1, QuotaSlack: 20, WarmupOvershoot: 1.5, WarmupSlack: 5}}
	y := &testProxy{t: t, book: catalog.New("core"), Proxy: newProxy(set, log)}
	y.Proxy.peers = peers
	y.tell(&controlstate.Register{Seq: 1, Version: 1, Config: []byte(routes), Places: []places.Place{{Name: "e1", IP: "127.0.0.1", Zone: "z"}}})
	return y
}

// tell has the limiter hear what is new in the core's book, and a register.
func (y *testProxy) tell(reg *controlstate.Register) {
	y.take(time.Now(), &registry.Pulled{Register: reg, Records: y.book.Since(0, y.Proxy.book.Vector()), Vector: y.book.Vector(), Proven: true, ProofMs: 1})
}

// earnTries gives the service so many requests' worth of further tries.
func (y *testProxy) earnTries(requests int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	tries := &allowance.Tries{}
	for range requests {
		tries.Earn(y.rules, 1)
	}
	y.budget["s"] = tries
}

// listen has each connection to an address of its own served, in a goroutine of its own, until the test ends.
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

// server is a stand-in that answers each request with the next of its ways, the last for good.
type server struct {
	id, address string
	mu          sync.Mutex
	ways        []string
	ran         []string // attempt ids
}

func (y *testProxy) server(id string, warmMs uint64, ways ...string) *server {
	s := &server{id: id, ways: ways}
	s.address = listen(y.t, s.conn)
	y.book.Beat(0, catalog.Record{ID: id, Service: "s", Address: s.address, Zone: "z", Sequence: 1, WarmMs: warmMs})
	return s
}

// conn serves one connection. A way is: ok, shed, misdirected, fail, cut (runs and closes), half (half
// an answer), other (the answer of another request), twice (a second answer behind the first).
func (s *server) conn(c net.Conn) {
	eachRequest(c, func(_ *bufio.Reader, r *http.Request, body []byte) (goesOn bool) {
		id := r.Header.Get(headerAttempt)
		s.mu.Lock()
		way := s.ways[0]
		if len(s.ways) > 1 {
			s.ways = s.ways[1:]
		}
		if way != "shed" && way != "misdirected" {
			s.ran = append(s.ran, id)
		}
		s.mu.Unlock()
		answer := func(status int, id, extra, body string) string {
			return fmt.Sprintf("HTTP/1.1 %d x\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headerAttempt, id, extra, len(body), body)
		}
		seal := headerSeal + ": 1\r\n"
		whole := answer(200, id, seal, s.id+" "+string(body)+" "+r.Header.Get(headerTenant)+r.Header.Get(headerCredential))
		switch way {
		case "ok":
			io.WriteString(c, whole)
		case "shed":
			io.WriteString(c, answer(503, id, headerUnrun+": 1\r\n", ""))
		case "misdirected":
			io.WriteString(c, answer(421, id, "", ""))
		case "fail":
			io.WriteString(c, answer(500, id, seal, "no"))
		case "cut":
			return false
		case "half":
			io.WriteString(c, whole[:len(whole)-3])
			return false
		case "other":
			io.WriteString(c, answer(200, "another", seal, "another's"))
		case "twice":
			io.WriteString(c, whole+whole)
		}
		return true
	})
}

// eachRequest has a stand-in server answer what comes on a connection, which it closes when answer says that
// it does not go on, or nothing more comes.
func eachRequest(c net.Conn, answer func(in *bufio.Reader, r *http.Request, body []byte) (goesOn bool)) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !answer(in, r, body) {
			return
		}
	}
}

// healthy is what a server answers when its health is asked for.
func healthy(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Madderdrum-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// client sends bytes on one connection and reads that many answers.
func (y *testProxy) client(text string, n int) (all []*http.Response, bodies []string) {
	y.t.Helper()
	a, b := net.Pipe()
	defer a.Close()
	go y.Proxy.serveConnection(b)
	go io.WriteString(a, text)
	a.SetReadDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(a)
	for range n {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			y.t.Fatalf("answer %d to %.60q: %v", len(all)+1, text, err)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			y.t.Fatal(err)
		}
		all, bodies = append(all, r), append(bodies, string(body))
	}
	return all, bodies
}

func request(method, path, id, more, body string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 1000\r\n%s: k1\r\n%s", method, path, headerAttempt, id, headerDeadline, headerCredential, more)
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// What a request of each kind gets, and how often it runs, when its first server behaves in
// each way: what can't be repeated runs once, and only what has not run gets a promise.
func TestKindsAndWays(t *testing.T) {
	for _, x := range []struct {
		way        string
		read, send int // status
		runs       int // of the send
	}{
		{"ok", 200, 200, 1}, {"shed", 200, 200, 1}, {"misdirected", 200, 200, 1}, {"fail", 200, 500, 1}, {"cut", 200, 502, 1},
		{"half", 200, 502, 1}, {"other", 200, 502, 1}, {"twice", 200, 200, 1},
	} {
		for _, send := range []bool{false, true} {
			y := newTestProxy(t)
			var all []*server
			for i := range 2 {
				// Whichever is chosen first behaves so; the other one is well by then.
				all = append(all, y.server(fmt.Sprintf("i-%d", i), 0, x.way, "ok"))
			}
			y.tell(nil)
			y.earnTries(10)
			method, path, want := "GET", "/read/1", x.read
			if send {
				method, path, want = "POST", "/send/1", x.send
			}
			if x.way != "ok" && !send { // the second is well at once
				all[1].mu.Lock()
				all[1].ways = []string{"ok"}
				all[1].mu.Unlock()
				all[0].mu.Lock()
				all[0].ways = []string{x.way, "ok"}
				all[0].mu.Unlock()
			}
			if send && (x.way == "shed" || x.way == "misdirected") {
				all[1].mu.Lock()
				all[1].ways = []string{"ok"}
				all[1].mu.Unlock()
			}
			body := ""
			if send {
				body = "payload"
			}
			got, bodies := y.client(request(method, path, "id-1", "", body), 1)
			if got[0].StatusCode != want {
				t.Errorf("%s, send %v: %d, %d wanted", x.way, send, got[0].StatusCode, want)
			}
			if want == 200 && (!strings.Contains(bodies[0], "t1") || strings.Contains(bodies[0], "k1")) {
				t.Errorf("%s: the server has seen %q: the tenant's name, and not the key", x.way, bodies[0])
			}
			runs := 0
			for _, s := range all {
				s.mu.Lock()
				runs += len(s.ran)
				s.mu.Unlock()
			}
			if send && runs != x.runs {
				t.Errorf("%s: what can't be repeated ran %d times", x.way, runs)
			}
		}
	}
}

// The test of the one above: a request that is taken for repeatable does run twice where its first
// server runs it and then cuts the connection.
func TestResentAfterACut(t *testing.T) {
	y := newTestProxy(t)
	servers := []*server{y.server("i-0", 0, "cut", "ok"), y.server("i-1", 0, "cut", "ok")}
	y.tell(nil)
	y.earnTries(10)
	y.client(request("GET", "/read/1", "id-1", "", ""), 1)
	runs := 0
	for _, s := range servers {
		s.mu.Lock()
		runs += len(s.ran)
		s.mu.Unlock()
	}
	if runs < 2 {
		t.Errorf("it ran %d times: a second run would not be seen", runs)
	}
}

// Requests that come at once on one connection are answered in their order, also where a later
// one is ready first; what comes behind a late second answer belongs to nobody.
func TestPipeline(t *testing.T) {
	y := newTestProxy(t)
	y.server("i-1", 0, "twice", "ok")
	y.tell(nil)
	text := ""
	for i := range 6 {
		text += request("GET", "/read/1", fmt.Sprintf("id-%d", i), "", "")
	}
	got, _ := y.client(text, 6)
	for i, r := range got {
		if id := r.Header.Get(headerAttempt); id != fmt.Sprintf("id-%d", i) || r.StatusCode != 200 {
			t.Errorf("answer %d is %d of %s", i, r.StatusCode, id)
		}
	}
}

func TestTurnedAway(t *testing.T) {
	y := newTestProxy(t)
	y.server("i-1", 0, "ok")
	y.tell(nil)
	for name, x := range map[string]struct {
		text   string
		status int
	}{
		"no route":         {request("GET", "/none/", "a", "", ""), 404},
		"unknown key":      {strings.Replace(request("GET", "/read/1", "a", "", ""), "k1", "k9", 1), 401},
		"two keys":         {request("GET", "/read/1", "a", headerCredential+": k9\r\n", ""), 401},
		"no id":            {strings.Replace(request("GET", "/read/1", "a", "", ""), headerAttempt, "X-Other", 1), 400},
		"odd deadline":     {strings.Replace(request("GET", "/read/1", "a", "", ""), "1000", "soon", 1), 400},
		"long head":        {request("GET", "/read/1", "a", "X-Long: "+strings.Repeat("x", 40000)+"\r\n", ""), 431},
		"long body":        {request("POST", "/send/1", "a", "Content-Length: 200000\r\n", ""), 413},
		"two lengths":      {request("POST", "/send/1", "a", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", ""), 400},
		"no HTTP":          {"what is this\r\n\r\n", 400},
		"whole, of HTTP/1": {strings.Replace(request("GET", "/read/1", "a", "", ""), "HTTP/1.1", "HTTP/1.0", 1), 400},
		"a forged tenant":  {request("GET", "/read/1", "a", headerTenant+": someone\r\n", ""), 200},
		"a chunked body":   {request("POST", "/send/1", "a", "Transfer-Encoding: chunked\r\n", "") + "3\r\nabc\r\n0\r\n\r\n", 200},
	} {
		got, bodies := y.client(x.text, 1)
		if got[0].StatusCode != x.status {
			t.Errorf("%s: %d, %d wanted", name, got[0].StatusCode, x.status)
		}
		if name == "a forged tenant" && strings.Contains(bodies[0], "someone") {
			t.Errorf("the server has seen a tenant that the client named: %q", bodies[0])
		}
		if name == "a chunked body" && !strings.Contains(bodies[0], "abc") {
			t.Errorf("the server has seen %q", bodies[0])
		}
	}
}

// A body that is longer than what is held is passed on while it comes, once: its request is never
// sent to a second server. One that is longer than may be gets 413.
func TestLongBodies(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", bodyHeld/8)
	chunked := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(long)/2, long[:len(long)/2], len(long)-len(long)/2, long[len(long)/2:])
	for name, x := range map[string]struct {
		ways   []string
		text   string
		most   int64
		status int
		ran    int
	}{
		"length":           {[]string{"ok"}, request("POST", "/send/1", "a", "", long), 8 << 20, 200, 1},
		"chunks":           {[]string{"ok"}, request("POST", "/send/1", "a", "Transfer-Encoding: chunked\r\n", "") + chunked, 8 << 20, 200, 1},
		"repeatable, cut":  {[]string{"cut", "ok"}, request("PUT", "/read/1", "a", "", long), 8 << 20, 502, 1},
		"turned away":      {[]string{"shed", "ok"}, request("POST", "/send/1", "a", "", long), 8 << 20, 503, 0},
		"too long, length": {[]string{"ok"}, request("POST", "/send/1", "a", "", long), 1 << 20, 413, 0},
		"too long, chunks": {[]string{"ok"}, request("POST", "/send/1", "a", "Transfer-Encoding: chunked\r\n", "") + chunked, bodyHeld + 1000, 413, 0},
	} {
		y := newTestProxy(t)
		v := *y.view.Load()
		table := *v.table
		table.Limits.Body = x.most
		v.table = &table
		y.view.Store(&v)
		s := y.server("i-1", 0, x.ways...)
		y.tell(nil)
		got, bodies := y.client(x.text, 1)
		s.mu.Lock()
		ran := len(s.ran)
		s.mu.Unlock()
		if got[0].StatusCode != x.status || ran != x.ran {
			t.Errorf("%s: %d, run %d times; %d and %d wanted", name, got[0].StatusCode, ran, x.status, x.ran)
		}
		if x.status == 200 && !strings.Contains(bodies[0], long) {
			t.Errorf("%s: the server has seen another body of %d bytes", name, len(bodies[0]))
		}
		if !got[0].Close {
			t.Errorf("%s: the connection goes on behind it", name)
		}
	}
}

// However often the list of servers is made while many are cold, one timer waits.
func TestOneTimerForTheList(t *testing.T) {
	y := newTestProxy(t)
	for i := range 8 {
		y.server(fmt.Sprintf("i-%d", i), 3000, "ok")
	}
	y.tell(nil)
	y.mu.Lock()
	defer y.mu.Unlock()
	timers := map[*time.Timer]bool{}
	for range 50 {
		y.relist()
		timers[y.listing] = true
	}
	if len(timers) > 25 {
		t.Errorf("%d timers were set for one list", len(timers))
	}
}

// A cold server gets no more than its allowance from this limiter, however much is asked.
func TestColdAllowance(t *testing.T) {
	y := newTestProxy(t)
	s := y.server("i-1", 60000, "ok")
	y.tell(nil)
	for i := range 40 {
		y.client(request("GET", "/read/1", fmt.Sprintf("id-%d", i), "", ""), 1)
	}
	// One limiter of the zone and one that may join: 10.4 a second, less a tenth, over two.
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ran) > 5 {
		t.Errorf("a cold server got %d requests within a moment, 5 at most", len(s.ran))
	}
}

// Where keys that are taken away bind strictly, none is honoured without a young proof.
func TestNoProofNoKeys(t *testing.T) {
	y := newTestProxy(t)
	y.set.Bounds.RevocationStrict, y.set.Bounds.Revoke = true, 5*time.Second
	y.server("i-1", 0, "ok")
	y.tell(nil)
	if got, _ := y.client(request("GET", "/read/1", "a", "", ""), 1); got[0].StatusCode != 200 {
		t.Errorf("%d with a young proof", got[0].StatusCode)
	}
	y.mu.Lock()
	y.proved = time.Now().Add(-4600 * time.Millisecond)
	y.mu.Unlock()
	got, _ := y.client(request("GET", "/read/1", "a", "", ""), 1)
	if got[0].StatusCode != 503 || got[0].Header.Get("Retry-After") == "" {
		t.Errorf("%d with a proof of 4.6 s, 503 and a time to come back wanted", got[0].StatusCode)
	}
}

// A pull says what this limiter lacks, and one that has news for the core goes at once.
func TestPullAsksForWhatIsLacking(t *testing.T) {
	y := newTestProxy(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	asks := make(chan registry.Pull, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go rpc.Serve(ctx, l, map[string]rpc.Handler{registry.CallPull: func(ctx context.Context, body []byte) (any, error) {
		var m registry.Pull
		if err := rpc.Decode(body, &m); err != nil {
			return nil, err
		}
		asks <- m
		if m.Me.State != catalog.Draining {
			<-ctx.Done() // held
		}
		return registry.Pulled{Proven: true}, nil
	}})
	done := make(chan bool, 1)
	go func() { done <- y.pull(ctx, l.Addr().String()) }()
	if a := <-asks; a.Seq != 1 || a.Me.State != catalog.Available {
		t.Errorf("asked with %+v", a)
	}
	y.leaving.Store(true)
	y.poke()
	if !<-done {
		t.Error("a pull that this limiter gave up speaks against the core machine")
	}
	y.pull(ctx, l.Addr().String())
	if a := <-asks; a.Me.State != catalog.Draining {
		t.Errorf("a limiter that leaves says %v", a.Me.State)
	}
}

// A keeper pays for what another limiter asks as long as its part lasts, and then says no.
func TestKeeperPaysOutOfItsPart(t *testing.T) {
	y := newTestProxy(t)
	y.server("i-1", 0, "ok")
	y.tell(nil)
	y.mu.Lock()
	defer y.mu.Unlock()
	id := account("t1")
	paid := 0
	for i := range 2000 {
		if y.engine.asked(tokenAsk{Serial: uint64(i), Account: id, Route: "read", Service: "s"}).OK {
			paid++
		}
	}
	if most := y.engine.holding.Ceilings[id].Burst; float64(paid) > most+100 || paid < 100 {
		t.Errorf("%d of 2000 asks were paid for, the ceiling holds %.0f", paid, most)
	}
	if y.engine.asked(tokenAsk{Account: id, Route: "none"}).OK || y.engine.asked(tokenAsk{Account: 1, Route: "read", Service: "s"}).OK {
		t.Error("an ask for a route or a tenant that is not there is paid for")
	}
}

// added is one more place in a slot behind those that there are.
func added(slot int, p places.Place) *places.Delta {
	return &places.Delta{Size: slot + 1, Changed: map[int]places.Place{slot: p}}
}

// A register that comes without the configuration and places that this limiter has is whole here.
func TestRegisterInParts(t *testing.T) {
	y := newTestProxy(t)
	post := places.Place{Name: "e2", IP: "127.0.0.2", Zone: "z"}
	y.take(time.Now(), &registry.Pulled{Places: added(1, post), Register: &controlstate.Register{Seq: 2, Version: 1, Evac: []string{"z"}}})
	y.mu.Lock()
	defer y.mu.Unlock()
	if len(y.reg.Places) != 2 || y.reg.Places[1] != post || len(y.reg.Config) == 0 || !y.evacuate["z"] || y.view.Load().seq != 2 || y.engine.size != 2 {
		t.Errorf("%+v", y.reg)
	}
	// An older one, of another core machine, changes nothing.
	y.mu.Unlock()
	y.take(time.Now(), &registry.Pulled{Register: &controlstate.Register{Seq: 1, Version: 1, Config: []byte(routes)}})
	y.mu.Lock()
	if y.reg.Seq != 2 || !y.evacuate["z"] {
		t.Errorf("it went back to %+v", y.reg)
	}
}

// A limiter that leaves takes nobody for out of reach: the others don't answer it any more.
func TestLeaverSuspectsNobody(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		y := newTestProxy(t)
		y.leaving.Store(leaves)
		y.mu.Lock()
		y.begun = time.Now().Add(-time.Hour)
		y.memberIPs["e2#1"] = "127.0.0.2" // which never answers
		y.members.Set(map[string]string{"e2#1": "z"})
		y.mu.Unlock()
		for range 100 {
			y.probeMembers()
			y.mu.Lock()
			y.begun = y.begun.Add(-50 * time.Millisecond) // the time goes on
			y.mu.Unlock()
		}
		if y.unreachable["e2"] == leaves {
			t.Errorf("leaves: %v; it takes another for out of reach: %v", leaves, y.unreachable["e2"])
		}
	}
}

// All limiters give a server the same number, whatever they learnt first: they tell each other by
// it where requests fail.
func TestServersAreKnownByOneNumber(t *testing.T) {
	numbers := func(ids ...string) map[string]uint64 {
		y := newTestProxy(t)
		for _, id := range ids {
			y.server(id, 0, "ok")
			y.tell(nil)
		}
		y.mu.Lock()
		defer y.mu.Unlock()
		all := map[string]uint64{}
		for n, s := range y.engine.servers {
			all[fmt.Sprint(s.life, " ", y.engine.pools[poolKey{service: "s"}].id == s.pool)] = n
		}
		return all
	}
	if d := cmp.Diff(numbers("i-1", "i-2", "i-3"), numbers("i-3", "i-1", "i-2")); d != "" {
		t.Error(d)
	}
}

// A limiter that joins gives nobody anew what is spent: the others go on with what they have left.
func TestJoinersRenewNothing(t *testing.T) {
	y := newTestProxy(t)
	y.server("i-1", 0, "ok")
	y.tell(nil)
	ask := func() (paid int) {
		y.mu.Lock()
		defer y.mu.Unlock()
		for i := range 2000 {
			if y.engine.asked(tokenAsk{Serial: uint64(i), Account: account("t1"), Route: "read", Service: "s"}).OK {
				paid++
			}
		}
		return paid
	}
	first := ask()
	again := 0
	for k := range 4 {
		post := places.Place{Name: fmt.Sprint("e", k+2), IP: fmt.Sprint("127.0.0.", k+2), Zone: "z"}
		y.take(time.Now(), &registry.Pulled{Places: added(k+1, post), Register: &controlstate.Register{Seq: uint64(k + 2), Version: 1}})
		y.tell(nil)
		again += ask()
	}
	if first < 100 || again > first/10 {
		t.Errorf("%d requests pass at first, %d more while four limiters join", first, again)
	}
}

// A limiter tells those of its zone what it has in hand, others of its region where these are few, and of
// very many each some others.
func TestNeighbours(t *testing.T) {
	zones := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	var posts []places.Place
	add := func(zone string, n int) {
		for i := range n {
			posts = append(posts, places.Place{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone})
		}
	}
	of := func(i int) []places.Place { return neighboursOf(posts, posts[i].Name, posts[i].Zone, "a", zones) }
	add("a1", 3)
	add("a2", 5)
	add("b1", 4)
	if all := of(0); len(all) != neighboursLeast || all[0].Zone != "a1" || all[1].Zone != "a1" || all[2].Zone != "a2" {
		t.Errorf("of a small zone: %v", all)
	}
	posts = nil
	add("a1", 10)
	add("a2", 5)
	if all := of(0); len(all) != 9 || slices.ContainsFunc(all, func(p places.Place) bool { return p.Zone != "a1" || p.Name == "a1-0" }) {
		t.Errorf("of a zone that is large enough: %v", all)
	}
	posts = nil
	add("a1", 100)
	heard := map[string]int{}
	for i := range posts {
		all := of(i)
		if len(all) != neighboursMost {
			t.Fatalf("of a very large zone: %d are told", len(all))
		}
		for _, p := range all {
			heard[p.Name]++
		}
	}
	for _, p := range posts {
		if n := heard[p.Name]; n < neighboursMost/4 || n > 4*neighboursMost {
			t.Errorf("%s is told by %d of 100", p.Name, n)
		}
	}
}

// No datagram makes a limiter end, or hand out more than its parts.
func FuzzDatagrams(f *testing.F) {
	f.Add(datagramAsk, rpc.Encode(tokenAsk{1, 2, "read", "s"}))
	f.Add(datagramAnswer, rpc.Encode(tokenAnswer{Serial: 1, OK: true}))
	f.Add(datagramLoans, rpc.Encode(quotaloan.Message{Serial: 1, Items: []quotaloan.Item{{ID: 1, Part: -1}, {ID: 2, Part: 1e300}}}))
	f.Add(datagramProbe, rpc.Encode(probeMessage{membership.Message{From: "e2#1", Claims: []membership.Claim{{ID: "e1", State: 200}}}, []failurereports.Sighting{{Server: 1, Class: 9, Source: 2, Serial: 3}}, []serviceWait{{1, 65000}}, true}))
	f.Add(datagramLoad, rpc.Encode(loadreports.Word{Version: 1, Source: 3, Serial: 1, Entries: []byte{0, 0, 0, 5, 255, 255}}))
	f.Add(datagramSpending, []byte{1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Fuzz(func(t *testing.T, kind byte, data []byte) {
		y := newTestProxy(t)
		y.take(time.Now(), &registry.Pulled{Places: added(1, places.Place{Name: "e2", IP: "127.0.0.2", Zone: "z"}), Register: &controlstate.Register{Seq: 2, Version: 1}})
		for range 3 {
			y.heard("127.0.0.2", kind, data)
		}
		y.mu.Lock()
		defer y.mu.Unlock()
		of, rest, _ := y.engine.holding.Desk.Parts(y.now())
		for id, part := range of {
			if part > 1 {
				t.Errorf("account %d: a part of %g, and nothing was asked for", id, part)
			}
		}
		if rest > 1 {
			t.Errorf("a part of %g of the rest", rest)
		}
	})
}

// When a limiter leaves, the answer that says so is the last of its connection, and what is read
// behind it does not run.
func TestLastAnswerIsTheLast(t *testing.T) {
	y := newTestProxy(t)
	s := y.server("i-1", 0, "ok")
	y.tell(nil)
	y.leaving.Store(true)
	a, b := net.Pipe()
	defer a.Close()
	go y.Proxy.serveConnection(b)
	sent := 0
	send := func(n int) {
		text := ""
		for range n {
			sent++
			text += request("GET", "/read/1", fmt.Sprintf("id-%d", sent), "", "")
		}
		go io.WriteString(a, text)
	}
	send(5)
	a.SetReadDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(a)
	answered := 0
	for {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("after %d answers, none of which was the last: %v", answered, err)
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
		t.Errorf("behind the last answer another one came: %d", r.StatusCode)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ran) != answered {
		t.Errorf("%d requests ran and %d were answered", len(s.ran), answered)
	}
}

// storm is a version of a configuration in a storm of them: fifty routes that no other one has.
func storm(version int) []byte {
	var all []string
	for k := range 50 {
		all = append(all, fmt.Sprintf(`{"name":"r-%d-%d","route_type":"idempotent","target_latency":"400ms","priority":1,"auth_exempt":true,
"match_criteria":{"path_prefix":"/v%d/%d/"},"forward_action":{"service":"s","timeout":"1000ms","max_attempts":2}}`, version, k, version, k))
	}
	return fmt.Appendf(nil, `{"config_version":"r%d","limits":{},"tenants":[],"base_revision":"r%d","listeners":[{"hostname":"h","policy":[%s]}],
"clusters":[{"name":"s","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"warmup":"3s","cold_per_s":4}]}`, version, version-1, strings.Join(all, ","))
}

// Versions that each remove fifty routes and add fifty come in a storm from core machines of which
// some are behind, while a limiter begins in the middle: nobody goes back, what is in force is one
// version whole, and in the end it is the newest.
func TestStormOfVersions(t *testing.T) {
	const versions = 30
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 5))
		limiters := []*testProxy{newTestProxy(t)}
		newest := make([]int, 2)
		posts := limiters[0].reg.Places
		for v := 2; v <= versions; v++ {
			if v == versions/2 {
				limiters = append(limiters, newTestProxy(t))
			}
			for range 3 {
				for i, y := range limiters {
					from := max(1, v-rng.IntN(6)) // a core machine that is so far behind
					if v == versions {
						from = v
					}
					if from == 1 {
						continue
					}
					y.take(time.Now(), &registry.Pulled{Proven: true, Register: &controlstate.Register{Seq: uint64(from), Version: uint64(from), Config: storm(from), Places: posts}})
					newest[i] = max(newest[i], from)
					table := y.view.Load().table
					for x := max(1, v-6); x <= v; x++ {
						for _, k := range []int{0, 49} {
							have := table.Find("h", fmt.Sprintf("/v%d/%d/x", x, k)) != nil
							if want := x == newest[i]; have != want && newest[i] > 1 {
								t.Fatalf("seed %d: at r%d the route of r%d is there: %v", seed, newest[i], x, have)
							}
						}
					}
				}
			}
		}
		for _, y := range limiters {
			if y.reg.Version != versions {
				t.Errorf("seed %d: r%d is in force in the end", seed, y.reg.Version)
			}
		}
	}
}
