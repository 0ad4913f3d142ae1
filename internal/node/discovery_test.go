package node

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A change of the list takes effect through the watch.
func TestWatchFollowsChanges(t *testing.T) {
	t.Parallel()
	a := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "a") })
	b := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "b") })
	r := start(t, server("s-a", a))
	if _, body, _ := r.do(r.newRequest("status-check", "enterprise", "")); body != "a" {
		t.Errorf("served by %q", body)
	}
	draining := server("s-a", a)
	draining.Health = "draining"
	r.discovery.set(draining, server("s-b", b))
	waitFor(t, "the new server serves", func() bool {
		_, body, _ := r.do(r.newRequest("status-check", "enterprise", ""))
		return body == "b"
	})
	for range 5 {
		if _, body, _ := r.do(r.newRequest("status-check", "enterprise", "")); body != "b" {
			t.Errorf("served by %q after the drain", body)
		}
	}
}

// While discovery fails, the known servers stay in use, and the rate of calls is limited.
func TestDiscoveryDown(t *testing.T) {
	t.Parallel()
	var calls atomic.Int64
	bad := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		switch calls.Add(1) % 4 {
		case 0:
			io.WriteString(w, "{nonsense")
		case 1:
			w.WriteHeader(500)
		case 2:
			panic(http.ErrAbortHandler)
		default:
			io.WriteString(w, `{"seq":1,"whole":false,"hosts":[]}`) // no changes, answered at once
		}
	})
	r := startWith(t, func(c *Config) { c.Discovery = bad }, server("s-1", echo(t)))
	begun := time.Now()
	waitFor(t, "several calls", func() bool { return calls.Load() >= 8 })
	// Each call is followed by a pause of at least idlePause or half of retryMin.
	if took := time.Since(begun); took < 6*min(idlePause, retryMin/2) {
		t.Errorf("8 calls in %v", took)
	}
	if status, _, _ := r.do(r.newRequest("status-check", "enterprise", "")); status != 200 {
		t.Errorf("status %d", status)
	}
}

// Invalid entries are dropped individually, and the number of log lines is limited.
func TestBadEntries(t *testing.T) {
	t.Parallel()
	good := server("s-1", echo(t))
	var entries []json.RawMessage
	for range 50 {
		for _, bad := range []string{`7`, `{"host":""}`, `{"host":5}`,
			`{"host":"x","dial":"nowhere","site":"room-a","health":"ready"}`,
			`{"host":"x","dial":"127.0.0.1:1","site":"moon","health":"ready"}`,
			`{"host":"x","dial":"127.0.0.1:1","site":"room-a","health":"well"}`,
			`{"host":"x","dial":"127.0.0.1:1","site":"room-a","health":"ready","born_ms":-5}`} {
			entries = append(entries, json.RawMessage(bad))
		}
	}
	text, err := json.Marshal(good)
	if err != nil {
		t.Fatal(err)
	}
	var l serverList
	data, _ := json.Marshal(map[string]any{"seq": 5, "whole": true, "hosts": append(entries, text)})
	if err := json.Unmarshal(data, &l); err != nil {
		t.Fatal(err)
	}
	r := start(t)
	r.discovery.set(l.Hosts...)
	waitFor(t, "the good entry serves", func() bool {
		status, _, _ := r.do(r.newRequest("status-check", "enterprise", ""))
		return status == 200
	})
	if n := strings.Count(r.log.String(), "dropped a list entry"); n == 0 || n > logBurst {
		t.Errorf("%d log lines", n)
	}
}

func FuzzList(f *testing.F) {
	f.Add([]byte(`{"seq":41,"whole":true,"hosts":[{"host":"s","dial":"10.1.0.18:3000","site":"a","block":3,"health":"ready","share":1.0,"born_ms":0}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var l serverList
		if json.Unmarshal(data, &l) != nil {
			return
		}
		for _, h := range l.Hosts {
			if info, err := h.info([]string{"a"}); err == nil && (info.ReadyAt < 0 || h.Host == "") {
				t.Errorf("%+v was accepted", h)
			}
		}
	})
}
