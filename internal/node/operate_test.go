package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/madderdrum/lifecycle"
)

// withAdmin configures an admin address.
func withAdmin(c *Config) { c.AdminAddr = "127.0.0.1:0" }

// adminCall makes a call on the admin address.
func (r *rig) adminCall(line string) string {
	r.t.Helper()
	c, err := net.Dial("tcp", r.node.AdminAddr())
	if err != nil {
		r.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintln(c, line)
	b, err := io.ReadAll(c)
	if err != nil {
		r.t.Errorf("%s: %v", line, err)
	}
	return string(b)
}

// figures returns the figures from the admin address.
func (r *rig) figures() (f Figures) {
	r.t.Helper()
	text, ok := strings.CutSuffix(r.adminCall("show-stat"), "\nEND\n")
	if err := json.Unmarshal([]byte(text), &f); err != nil || !ok || strings.Contains(text, "\n") {
		r.t.Errorf("figures %q: %v", text, err)
	}
	return f
}

func (r *rig) healthy() bool {
	resp, err := http.Get("http://" + r.addr + healthPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Each accepted request is counted once at its end, and each attempt that a server received completely is
// counted, in agreement with the servers' own count.
func TestFiguresAreWhatHappened(t *testing.T) {
	t.Parallel()
	var whole atomic.Int64
	r := startWith(t, withAdmin, server("s-1", serveHTTP(t, func(w http.ResponseWriter, hr *http.Request) {
		if hr.URL.Path == healthPath {
			return
		}
		io.ReadAll(hr.Body)
		switch whole.Add(1) {
		case 7:
			w.WriteHeader(http.StatusInternalServerError)
		case 11:
			w.Header().Set("X-Not-Processed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})))
	var mu sync.Mutex
	received := map[string]*ClassFigures{}
	var clients sync.WaitGroup
	for i := range 120 {
		class := []string{"status-check", "send-reminder", "send-bulk-paid"}[i%3]
		plan := []string{"enterprise", "starter"}[i%2] // starter's quota is soon used up
		req := r.newRequest(class, plan, "")
		req.URL.RawQuery = fmt.Sprintf("key=%016x", 100+i%2)
		if i%20 == 0 {
			req.Header.Set("X-Timeout", "nonsense") // malformed, with a known class
		}
		out := r.send(req)
		clients.Go(func() {
			res := <-out
			mu.Lock()
			defer mu.Unlock()
			c := received[class]
			if c == nil {
				c = &ClassFigures{}
				received[class] = c
			}
			switch res.status {
			case 200:
				c.Passed++
			case 429, 503:
				c.Dropped++
			default:
				c.BadGateway++
			}
		})
		if i%6 == 5 {
			clients.Wait()
		}
	}
	waitFor(t, "nothing is in progress", func() bool { return r.figures().InProgress == 0 })
	f := r.figures()
	for class, want := range received {
		if f.Handled[class] != *want {
			t.Errorf("%s: clients got %+v, the figures say %+v", class, *want, f.Handled[class])
		}
		if want.Passed == 0 || want.Dropped == 0 || want.BadGateway == 0 {
			t.Errorf("%s: not all results occurred: %+v", class, *want)
		}
	}
	if f.UpstreamTries != whole.Load() {
		t.Errorf("servers got %d attempts, the figures say %d", whole.Load(), f.UpstreamTries)
	}
	if f.KnownServers != 1 {
		t.Errorf("%d servers known", f.KnownServers)
	}
}

// A request is in progress from its last byte on, and a draining server is counted as skipped.
func TestFiguresOfNow(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	draining := server("s-2", "127.0.0.1:9")
	draining.Health = "draining"
	r := startWith(t, withAdmin, server("s-1", srv.addr), draining)
	out := r.send(r.newRequest("send-bulk-paid", "enterprise", ""))
	c := srv.accept()
	c.request()
	waitFor(t, "the attempt is counted", func() bool { return r.figures().UpstreamTries == 1 })
	if f := r.figures(); f.InProgress != 1 || f.KnownServers != 2 || f.SkippedServers != 1 {
		t.Errorf("%+v", f)
	}
	c.answer("200 OK", "ok")
	r.received(out)
	waitFor(t, "the request has ended", func() bool { return r.figures().InProgress == 0 })
}

// A busy module does not delay operators' calls.
func TestFiguresWhileTheModuleIsBusy(t *testing.T) {
	t.Parallel()
	r := startWith(t, withAdmin, server("s-1", echo(t)))
	if f := r.figures(); f.KnownServers != 1 {
		t.Fatalf("%+v", f)
	}
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	if f := r.figures(); f.KnownServers != 1 {
		t.Errorf("%+v", f)
	}
}

// A drained limiter reports itself unhealthy, closes clients' connections including idle ones, answers requests
// in progress, and can resume at once.
func TestDrainSendsClientsAway(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	r := startWith(t, withAdmin, server("s-1", srv.addr))
	silent, silentIn := r.dial()
	waitFor(t, "the silent connection is counted", func() bool {
		r.node.conns.mu.Lock()
		defer r.node.conns.mu.Unlock()
		return r.node.conns.neverUsed.Len() == 1
	})
	held, heldIn := r.dial()
	if err := r.newRequest("send-bulk-paid", "enterprise", "").Write(held); err != nil {
		t.Fatal(err)
	}
	c := srv.accept()
	c.request()
	if got := r.adminCall("drain"); got != "YES\n" {
		t.Fatalf("drain: %q", got)
	}
	if got := r.adminCall("drain"); got != "YES\n" {
		t.Errorf("a second drain: %q", got)
	}
	if r.healthy() {
		t.Error("a drained limiter is healthy")
	}
	if got := r.adminCall("ready"); got != "YES draining\n" {
		t.Errorf("ready: %q", got)
	}
	if _, err := silentIn.ReadByte(); err != io.EOF {
		t.Errorf("the silent connection: %v", err)
	}
	silent.Close()
	c.answer("200 OK", "ok")
	if resp, err := http.ReadResponse(heldIn, nil); err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the request in progress got %+v (%v)", resp, err)
	}
	for range 2 {
		if got := r.adminCall("resume"); got != "YES\n" {
			t.Errorf("resume: %q", got)
		}
	}
	if !r.healthy() {
		t.Error("a resumed limiter is not healthy")
	}
	kept, in := r.dial()
	kept.Write([]byte("GET " + healthPath + " HTTP/1.1\r\nHost: x\r\n\r\n"))
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.Close {
		t.Errorf("a resumed limiter closes connections: %v", err)
	}
}

// SIGTERM ends a drained limiter like any other, and operators' calls are refused with the reason.
func TestStopWhileDrained(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	r := startWith(t, withAdmin, server("s-1", srv.addr))
	out := r.send(r.newRequest("send-bulk-paid", "enterprise", ""))
	c := srv.accept()
	c.request()
	r.adminCall("drain")
	r.stop()
	waitFor(t, "it is stopping", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		return r.node.life.Phase() == lifecycle.Stopping
	})
	for _, call := range []string{"ready", "drain", "resume"} {
		if received := r.adminCall(call); received != "NO the limiter is stopping\n" {
			t.Errorf("%s: %q", call, received)
		}
	}
	c.answer("200 OK", "ok")
	if res := r.received(out); res.status != 200 {
		t.Errorf("the request in progress got %d %s", res.status, res.body)
	}
	r.waitStopped()
}

// A limiter whose accounts have ceilings reports itself unhealthy after a cold start until its shares of the
// ceilings are full, but serves requests.
func TestHealthWaitsForTheCeilings(t *testing.T) {
	t.Parallel()
	r := startWith(t, func(c *Config) {
		withAdmin(c)
		c.Settings.Module.Plans[1].CeilingRate, c.Settings.Module.Plans[1].CeilingBurst = 100, 10_000 // takes 3 s at most
	}, server("s-1", echo(t)))
	if r.healthy() {
		t.Error("healthy before its shares of the ceilings are full")
	}
	if got := r.adminCall("ready"); got != "YES serving\n" {
		t.Errorf("ready: %q", got)
	}
	if status, _, _ := r.do(r.newRequest("status-check", "starter", "")); status != 200 {
		t.Errorf("a request got %d", status)
	}
	waitFor(t, "it is healthy", r.healthy)
}
