package smallsystem

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// programs is the folder that deploy/system.toml builds into, as CI has it, or one made now.
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

// until waits for something that has to come about.
func until(t *testing.T, ctx context.Context, what string, ok func() bool) {
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

// A small day of the whole system: a configuration, a drain, a change, an evacuation, the loss
// of a core machine, a limiter that leaves, and one that is killed.
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
			t.Fatalf("%s %s: %d %s %v, %d wanted", method, path, status, answer, err, want)
		}
		return answer
	}
	last := "nothing" // of a limiter, for whoever reads why the day failed
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
	order("POST", "/config/replace", first, 200) // the same call again
	order("POST", "/config/replace", Config(4, 1, "/a/", "key-1"), 412)
	order("POST", "/config/replace", first[:100], 400)
	for i := range 2 {
		until(t, ctx, "a limiter is ready", func() bool { return s.Ready(ctx, i) })
		until(t, ctx, "a limiter serves", serves(i, "/a/1", "key-1", 200))
	}
	until(t, ctx, "the directory names both", func() bool {
		all, _ := s.Resolve(ctx, 0)
		return len(all) == 2
	})
	if !serves(0, "/a/1", "key-9", 401)() || !serves(0, "/b/1", "key-1", 404)() {
		t.Error("a key or a route that is not there is let through")
	}
	// A client that leaves: its request ends at the server at once, and not by its deadline.
	leaving, leave := context.WithCancel(ctx)
	go s.Send(leaving, 0, "/a"+HoldPath, "key-1")
	held := func() (n int64) {
		for _, x := range s.stubs {
			n += x.Held.Load()
		}
		return n
	}
	until(t, ctx, "a request is at work", func() bool { return held() == 1 })
	leave()
	until(t, ctx, "it ends with its client", func() bool { return held() == 0 })
	until(t, ctx, "the limiter tells of it", func() bool {
		lines, err := s.LimiterStatus(ctx, 0)
		last = strings.Join(lines, "\n")
		return err == nil && strings.Contains(last, "connections=1 requests=1 sent_after=0 broken_off=1 ran_on=0")
	})
	// All three programs tell their figures.
	for _, x := range []struct{ ip, role, line string }{
		{s.edge(0), "proxy", "madderdrum_proxy_disconnected_attempts_broken_off_total 1\n"},
		{s.edge(0), "proxy", "madderdrum_proxy_answers_total{status=\"401\""},
		{s.core(0), "registry", "madderdrum_registry_instances{service=\"engines\",state=\"available\"} 3\n"},
		{s.core(0), "configstore", "madderdrum_configstore_configuration_version 3\n"},
	} {
		text, err := s.Metrics(ctx, x.ip, x.role)
		if err != nil || !strings.Contains(text, x.line) {
			t.Errorf("metrics of a %s lack %q: %s %v", x.role, x.line, text, err)
		}
	}
	// A drain: from soon after on the server gets nothing more.
	x := s.stubs[0]
	x.Drain()
	until(t, ctx, "a draining server gets nothing", func() bool {
		before := x.Ran.Load()
		for i := range 20 {
			serves(i%2, "/a/1", "key-1", 200)()
		}
		return x.Ran.Load() == before
	})
	// A change, with a core machine gone.
	s.Kill("core-1", syscall.SIGKILL)
	order("POST", "/config/update", []byte(`{"config_version":"r7","base_revision":"r3","upsert":{"tenants":[{"name":"till","api_keys":["key-2"],"rate_per_s":500,"burst_size":500}]}}`), 200)
	for i := range 2 {
		until(t, ctx, "a key that was taken away is refused", serves(i, "/a/1", "key-1", 401))
		until(t, ctx, "the new key is served", serves(i, "/a/1", "key-2", 200))
	}
	if err := s.Restart("core-1"); err != nil {
		t.Fatal(err)
	}
	if got := order("GET", "/config/fetch", nil, 200); !bytes.Contains(got, []byte(`"r7"`)) || !bytes.Contains(got, []byte("key-2")) {
		t.Errorf("read back: %s", got)
	}
	// An evacuation takes all servers, and gives them back.
	order("POST", "/evacuation/depot-a/begin", nil, 200)
	until(t, ctx, "an evacuated zone gets nothing", serves(0, "/a/1", "key-2", 503))
	order("POST", "/evacuation/nowhere/begin", nil, 404)
	order("POST", "/evacuation/depot-a/finish", nil, 200)
	until(t, ctx, "a zone that was given back serves", serves(0, "/a/1", "key-2", 200))
	// A limiter that leaves is out of the directory of the other, and ends by itself.
	s.Kill("edge-2", syscall.SIGTERM)
	until(t, ctx, "a limiter that has left is not named", func() bool {
		all, err := s.Resolve(ctx, 0)
		return err == nil && len(all) == 1
	})
	until(t, ctx, "its place is released and settled, so that the other one holds everything", func() bool {
		lines, err := s.RegistryStatus(ctx, 0)
		all := strings.Join(lines, "\n")
		return err == nil && strings.Count(all, "place=") == 1 && strings.Contains(all, "limiter=edge-1 ") && strings.Contains(all, "state=held")
	})
	// The whole core is killed: what was acknowledged is there, and the limiter serves on.
	for _, m := range []string{"core-1", "core-2", "core-3"} {
		s.Kill(m, syscall.SIGKILL)
	}
	for _, m := range []string{"core-1", "core-2", "core-3"} {
		if err := s.Restart(m); err != nil {
			t.Fatal(err)
		}
	}
	if got := order("GET", "/config/fetch", nil, 200); !bytes.Contains(got, []byte(`"r7"`)) {
		t.Errorf("read back after the core was killed: %s", got)
	}
	until(t, ctx, "the limiter serves", serves(0, "/a/1", "key-2", 200))
	s.Kill("edge-1", syscall.SIGKILL)
	if err := s.Restart("edge-1"); err != nil {
		t.Fatal(err)
	}
	until(t, ctx, "a limiter that was killed serves again", serves(0, "/a/1", "key-2", 200))
	if all, _ := s.Resolve(ctx, 0); len(all) > 0 && !slices.Contains(all, s.edge(0)+":8389") {
		t.Errorf("the directory names %v", all)
	}
}
