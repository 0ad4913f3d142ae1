package node

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/lifecycle"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/route"
)

// deployment returns a fixed deployment with two pools.
func deployment(main, bulk string) Deployment {
	class := func(repeat limiter.Repeat) limiter.Class {
		return limiter.Class{Repeat: repeat, Group: limiter.GroupAll, AimMs: 9000, DeadlineMs: 15000, WindowMs: 5000, Worth: 1}
	}
	return Deployment{
		Module: limiter.Settings{Balancers: 1, Classes: []limiter.Class{class(limiter.Safe), class(limiter.Keyed), class(limiter.Unsafe)},
			Plans: []limiter.Plan{{Rate: 0.001, Burst: 3, Price: 1}, {Rate: 1000, Burst: 1000, Price: 1}},
			Caps:  limiter.Caps{Attempts: 3, Cancel: true, Probes: true, RetryAfter: true, MaxWaitMs: 500, ConnectMs: 2000}},
		Classes: []string{"status-check", "send-reminder", "send-bulk-paid"}, Plans: []string{"starter", "enterprise"}, Rooms: []string{"room-a", "room-b"},
		Servers:  []Server{{Name: "main", Dial: main, Pool: "main"}, {Name: "bulk", Dial: bulk, Pool: "bulk"}},
		ConnIdle: 30_000, ConnectTimeoutMs: 2000,
		Routes: Routes{Matches: []route.Match{{Path: "/api"}, {Path: "/api/bulk/"}}, Targets: []Target{{Pool: "main", Class: -1, MaxBody: -1},
			{Pool: "bulk", Class: 2, Deadline: 2 * time.Second, Attempts: 1, MaxBody: 10}}},
	}
}

// startFixed runs a limiter with a fixed deployment.
func startFixed(t *testing.T, d Deployment) *rig {
	t.Helper()
	return startWith(t, func(c *Config) {
		listen := c.Listen
		*c = *FixedConfig(d)
		c.Listen, c.ExtraListen = listen, []string{"127.0.0.1:0"}
	})
}

func TestRoutes(t *testing.T) {
	t.Parallel()
	timeouts := make(chan string, 16)
	main := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "main") })
	bulk := serveHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		timeouts <- q.Header.Get("X-Timeout")
		io.WriteString(w, "bulk")
	})
	r := startFixed(t, deployment(main, bulk))
	waitFor(t, "the list is known", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		return r.node.life.Phase() != lifecycle.Starting
	})
	for _, c := range []struct {
		name, class, path, body string
		change                  func(q *http.Request)
		status                  int
		want                    string
	}{
		{"by path", "status-check", "/api", "", nil, 200, "main"},
		{"by prefix", "send-bulk-paid", "/api/bulk/x", "b", nil, 200, "bulk"},
		{"class and time of the route", "send-bulk-paid", "/api/bulk/x", "b", func(q *http.Request) { q.Header.Del("X-Priority-Class"); q.Header.Del("X-Timeout") }, 200, "bulk"},
		{"a class of its own", "status-check", "/api/bulk/x", "", nil, 200, "bulk"},
		{"no class, and none of the route", "status-check", "/api", "", func(q *http.Request) { q.Header.Del("X-Priority-Class") }, 400, "X-Priority-Class"},
		{"an empty class is none that is known", "send-bulk-paid", "/api/bulk/x", "", func(q *http.Request) { q.Header.Set("X-Priority-Class", "") }, 400, "X-Priority-Class"},
		{"a long body", "send-bulk-paid", "/api/bulk/x", "12345678901", nil, 413, "too long for its route"},
		{"no route", "status-check", "/api/x", "", nil, 404, "no route"},
		{"no route and no protocol", "status-check", "/", "", func(q *http.Request) { q.Header = http.Header{} }, 404, "no route"},
		{"a path that hides another", "status-check", "/api/x/../bulk/y", "", nil, 400, "shortest form"},
		{"an encoded slash", "status-check", "/api%2fbulk/y", "", nil, 400, "%2f"},
	} {
		q := r.newRequest(c.class, "enterprise", c.body)
		q.URL.Opaque = c.path
		if c.change != nil {
			c.change(q)
		}
		if status, body, _ := r.do(q); status != c.status || !strings.Contains(body, c.want) {
			t.Errorf("%s: %d %q, want %d %q", c.name, status, body, c.status, c.want)
		}
	}
	for len(timeouts) > 0 { // requests to the bulk pool: the timeout does not exceed the route's
		var ms int
		if _, err := fmt.Sscanf(<-timeouts, "%dm", &ms); err != nil || ms > 2000 || ms < 100 {
			t.Errorf("a timeout of %d ms, %v", ms, err)
		}
	}
	// The second address serves the same routes.
	q := r.newRequest("status-check", "enterprise", "")
	q.URL.Host = r.node.listeners[1].Addr().String()
	if status, body, _ := r.do(q); status != 200 || body != "main" {
		t.Errorf("the second address: %d %q", status, body)
	}
}

// Requests in progress end with the revision that accepted them; later ones use the new one, whose classes and
// plans have other indexes. Balances are kept.
func TestApply(t *testing.T) {
	t.Parallel()
	raw := newRawServer(t)
	bulk := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "bulk") })
	d := deployment(raw.ln.Addr().String(), bulk)
	r := startFixed(t, d)
	waitFor(t, "the list is known", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		return r.node.life.Phase() != lifecycle.Starting
	})
	first := r.send(r.newRequest("status-check", "starter", ""))
	conn := raw.accept()
	conn.request()

	next := deployment(raw.ln.Addr().String(), bulk)
	m := &next.Module
	m.Classes, next.Classes = []limiter.Class{m.Classes[2], m.Classes[1]}, []string{"send-bulk-paid", "send-reminder"} // status-check is removed
	m.Plans, next.Plans = []limiter.Plan{m.Plans[1], m.Plans[0]}, []string{"enterprise", "starter"}
	next.Routes.Targets[1].Class = 0
	next.Routes.Targets[0].Pool = "bulk"
	called := false
	r.node.Apply(next, func() { called = true })
	if !called {
		t.Error("onSwitch was not called")
	}
	conn.answer("200 OK", "main")
	if res := r.received(first); res.status != 200 || res.body != "main" {
		t.Errorf("the request in progress: %d %q", res.status, res.body)
	}
	if status, body, _ := r.do(r.newRequest("status-check", "enterprise", "")); status != 400 || !strings.Contains(body, "unknown X-Priority-Class") {
		t.Errorf("a removed class: %d %q", status, body)
	}
	for i, want := range []int{200, 200, 429} { // one unit of the burst of 3 was used before
		if status, body, _ := r.do(r.newRequest("send-bulk-paid", "starter", "")); status != want || want == 200 && body != "bulk" {
			t.Errorf("request %d of the plan: %d %q, want %d", i, status, body, want)
		}
	}
}

// A request that was parsed with one revision when another is applied is parsed again with the new one.
func TestReadAgainByTheNewVersion(t *testing.T) {
	t.Parallel()
	main := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "main") })
	bulk := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "bulk") })
	r := startFixed(t, deployment(main, bulk))
	waitFor(t, "the list is known", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		return r.node.life.Phase() != lifecycle.Starting
	})
	conn, in := r.dial()
	// Its header is parsed with the first revision; its body arrives after the second one was applied.
	fmt.Fprintf(conn, "POST /api?key=0000000000000007 HTTP/1.1\r\nHost: x\r\nX-Request-ID: slow\r\nX-Priority-Class: send-bulk-paid\r\nPlan: enterprise\r\n"+
		"X-Timeout: 9000m\r\nQuota-Info: units=1,spread=1,first=0\r\nContent-Length: 4\r\n\r\nb")
	next := deployment(main, bulk)
	next.Routes.Targets[0].Pool = "bulk"
	next.Plans[0], next.Plans[1] = next.Plans[1], next.Plans[0]
	next.Module.Plans[0], next.Module.Plans[1] = next.Module.Plans[1], next.Module.Plans[0]
	r.node.Apply(next, nil)
	io.WriteString(conn, "ody")
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || string(body) != "bulk" {
		t.Errorf("%d %q, %v", resp.StatusCode, body, err)
	}
}

// A pool's servers may come from a discovery agent: they are added, drained and removed as it says, a new
// revision of the configuration keeps them, and servers of the same name in another pool are different ones.
func TestPoolOfAnAgent(t *testing.T) {
	t.Parallel()
	main := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "main") })
	one := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "one") })
	two := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "two") })
	agent := newDiscovery(t, server("main", one))
	d := deployment(main, main)
	d.Servers = d.Servers[:1]
	d.Sources = []Source{{Pool: "bulk", Addr: agent.addr}}
	r := startFixed(t, d)
	ask := func(path string) string {
		q := r.newRequest("send-bulk-paid", "enterprise", "")
		q.URL.Opaque = path
		_, body, _ := r.do(q)
		return body
	}
	waitFor(t, "the agent's server serves", func() bool { return ask("/api/bulk/x") == "one" })
	if got := ask("/api"); got != "main" {
		t.Errorf("the other pool is served by %q", got)
	}
	agent.set(server("second", two)) // a complete list without the first server
	waitFor(t, "the new server serves", func() bool { return ask("/api/bulk/x") == "two" })
	for range 5 {
		if got := ask("/api/bulk/x"); got != "two" {
			t.Errorf("served by %q, which was removed", got)
		}
	}
	r.node.Apply(d, nil)
	if got := ask("/api/bulk/x"); got != "two" {
		t.Errorf("after a new revision served by %q", got)
	}
	draining := server("second", two)
	draining.Health = "draining"
	agent.set(draining, server("third", one))
	waitFor(t, "the drain is in effect", func() bool { return ask("/api/bulk/x") == "one" })
	if _, err := netip.ParseAddrPort(agent.addr); err != nil {
		t.Fatal(err)
	}
}

// Guards against an index beyond the mapping where two classes have one name: the mapping has an entry for each index.
func TestIndexMappingOfSharedNames(t *testing.T) {
	got := indexMapping(3, map[string]int{"bulk": 2, "paid": 0}, map[string]int{"bulk": 1})
	if want := []int{-1, -1, 1}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}
