package smallsystem

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// programs returns the directory with the programs: the one in MADDERDRUM_TARGET, as in CI, or a temporary one that it
// builds them into.
func programs(t *testing.T) string {
	if dir := os.Getenv("MADDERDRUM_TARGET"); dir != "" {
		return dir
	}
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir+"/", "./cmd/proxy", "./cmd/registry", "./cmd/configstore")
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return dir
}

// waitFor polls until ok returns true, and fails the test if that does not happen before ctx ends.
func waitFor(t *testing.T, ctx context.Context, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: not in time", what)
		case <-tick.C:
		}
	}
}

// An end-to-end run of the whole system: a configuration, a client that disconnects, a drain, a configuration change,
// an evacuation, the loss of one and of all core machines, a limiter that leaves, and one that is killed.
func TestSmallDay(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	dir := t.TempDir()
	s, err := Start(Options{Programs: programs(t), Dir: dir, Net: 77, Edges: 2, Servers: 3})
	defer s.Stop()
	t.Cleanup(func() {
		if t.Failed() {
			logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
			for _, l := range logs {
				text, _ := os.ReadFile(l)
				t.Logf("%s:\n%s", filepath.Base(l), text[max(0, len(text)-3000):])
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	order := func(method, path string, body []byte, want int) []byte {
		t.Helper()
		status, answer, err := s.Order(ctx, method, path, body)
		if err != nil || status != want {
			t.Fatalf("%s %s: status %d %s %v, want %d", method, path, status, answer, err, want)
		}
		return answer
	}
	last := "nothing" // last answer of a limiter, logged if the test fails
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(last)
		}
	})
	serves := func(edge int, path, key string, want int) func() bool {
		return func() bool {
			status, body, err := s.Send(ctx, edge, path, key)
			if err == nil || ctx.Err() == nil {
				last = fmt.Sprintf("limiter %d answered %d %q, %v", edge+1, status, body, err)
			}
			return err == nil && status == want
		}
	}
	first := Config(3, 0, "/a/", "key-1")
	order("POST", "/config/replace", first, 200)
	order("POST", "/config/replace", first, 200) // a repeated call succeeds
	order("POST", "/config/replace", Config(4, 1, "/a/", "key-1"), 412)
	order("POST", "/config/replace", first[:100], 400)
	for i := range 2 {
		waitFor(t, ctx, "a limiter is ready", func() bool { return s.Ready(ctx, i) })
		waitFor(t, ctx, "a limiter serves", serves(i, "/a/1", "key-1", 200))
	}
	waitFor(t, ctx, "the directory lists both limiters", func() bool {
		all, _ := s.Resolve(ctx, 0)
		return len(all) == 2
	})
	if !serves(0, "/a/1", "key-9", 401)() || !serves(0, "/b/1", "key-1", 404)() {
		t.Error("a request with an unknown key or route is not rejected")
	}
	// When a client disconnects, its request at the server is cancelled at once, not at its deadline.
	leaving, leave := context.WithCancel(ctx)
	go func() {
		// Like any client, it sends a request again that was refused, as happens right after the limiters have started:
		// what the tenant may spend has only begun to grow then.
		for status := http.StatusTooManyRequests; status == http.StatusTooManyRequests; {
			status, _, _ = s.Send(leaving, 0, "/a"+HoldPath, "key-1")
		}
	}()
	held := func() (n int64) {
		for _, x := range s.servers {
			n += x.Held.Load()
		}
		return n
	}
	waitFor(t, ctx, "the server executes a request", func() bool { return held() == 1 })
	leave()
	waitFor(t, ctx, "the request is cancelled when its client disconnects", func() bool { return held() == 0 })
	waitFor(t, ctx, "the limiter reports the cancelled request", func() bool {
		lines, err := s.LimiterStatus(ctx, 0)
		last = strings.Join(lines, "\n")
		return err == nil && strings.Contains(last, "connections=1 requests=1 sent_after=0 broken_off=1 ran_on=0")
	})
	// All three programs serve their metrics.
	for _, x := range []struct{ ip, role, line string }{
		{s.edge(0), "proxy", "madderdrum_proxy_disconnected_attempts_broken_off_total 1\n"},
		{s.edge(0), "proxy", "madderdrum_proxy_answers_total{status=\"401\""},
		{s.core(0), "registry", "madderdrum_registry_instances{service=\"engines\",state=\"available\"} 3\n"},
		{s.core(0), "configstore", "madderdrum_configstore_configuration_version 3\n"},
	} {
		text, err := s.Metrics(ctx, x.ip, x.role)
		if err != nil || !strings.Contains(text, x.line) {
			t.Errorf("metrics of the %s lack %q: %s %v", x.role, x.line, text, err)
		}
	}
	// A draining server soon gets no more requests.
	x := s.servers[0]
	x.Drain()
	waitFor(t, ctx, "a draining server gets no requests", func() bool {
		before := x.RequestCount.Load()
		for i := range 20 {
			serves(i%2, "/a/1", "key-1", 200)()
		}
		return x.RequestCount.Load() == before
	})
	// The configuration changes while a core machine is down.
	s.Kill("core-1", syscall.SIGKILL)
	order("POST", "/config/update", []byte(`{"config_version":"r7","base_revision":"r3","upsert":{"tenants":[{"name":"till","api_keys":["key-2"],"rate_per_s":500,"burst_size":500}]}}`), 200)
	for i := range 2 {
		waitFor(t, ctx, "a removed key is rejected", serves(i, "/a/1", "key-1", 401))
		waitFor(t, ctx, "the new key is accepted", serves(i, "/a/1", "key-2", 200))
	}
	if err := s.Restart("core-1"); err != nil {
		t.Fatal(err)
	}
	if got := order("GET", "/config/fetch", nil, 200); !bytes.Contains(got, []byte(`"r7"`)) || !bytes.Contains(got, []byte("key-2")) {
		t.Errorf("fetched configuration: %s", got)
	}
	// An evacuation takes all servers out of service, and its end restores them.
	order("POST", "/evacuation/depot-a/begin", nil, 200)
	waitFor(t, ctx, "an evacuated zone gets no requests", serves(0, "/a/1", "key-2", 503))
	order("POST", "/evacuation/nowhere/begin", nil, 404)
	order("POST", "/evacuation/depot-a/finish", nil, 200)
	waitFor(t, ctx, "a restored zone serves requests", serves(0, "/a/1", "key-2", 200))
	// A limiter that leaves is removed from the other's directory, and its process ends.
	s.Kill("edge-2", syscall.SIGTERM)
	waitFor(t, ctx, "the directory does not list a limiter that has left", func() bool {
		all, err := s.Resolve(ctx, 0)
		return err == nil && len(all) == 1
	})
	waitFor(t, ctx, "its place is released, so that the other limiter holds everything", func() bool {
		lines, err := s.RegistryStatus(ctx, 0)
		all := strings.Join(lines, "\n")
		return err == nil && strings.Count(all, "place=") == 1 && strings.Contains(all, "limiter=edge-1 ") && strings.Contains(all, "state=held")
	})
	// All core machines are killed: the acknowledged configuration survives, and the limiter keeps serving.
	for _, m := range []string{"core-1", "core-2", "core-3"} {
		s.Kill(m, syscall.SIGKILL)
	}
	for _, m := range []string{"core-1", "core-2", "core-3"} {
		if err := s.Restart(m); err != nil {
			t.Fatal(err)
		}
	}
	if got := order("GET", "/config/fetch", nil, 200); !bytes.Contains(got, []byte(`"r7"`)) {
		t.Errorf("fetched configuration after the core was killed: %s", got)
	}
	waitFor(t, ctx, "the limiter serves requests", serves(0, "/a/1", "key-2", 200))
	s.Kill("edge-1", syscall.SIGKILL)
	if err := s.Restart("edge-1"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, ctx, "a restarted limiter serves requests", serves(0, "/a/1", "key-2", 200))
	if all, _ := s.Resolve(ctx, 0); len(all) > 0 && !slices.Contains(all, s.edge(0)+":8389") {
		t.Errorf("the directory lists %v", all)
	}
}
