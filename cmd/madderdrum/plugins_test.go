//go:build !platform

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/config"
	"example.org/madderdrum/deploy"
	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/loopback"
	"example.org/madderdrum/internal/status"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/plugin/plugintest"
)

// writeModules writes each module to NAME.wasm in a folder.
func writeModules(t testing.TB, dir string, modules map[string]plugintest.Module) {
	t.Helper()
	for name, m := range modules {
		if err := os.WriteFile(filepath.Join(dir, name+".wasm"), m.Build(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// fetchPlugins returns the plug-ins, by name, and the labels that a limiter reports at its status address.
func fetchPlugins(addr string) (map[string]status.Plugin, []status.Label, error) {
	resp, err := http.Get("http://" + addr + "/plugins")
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	var s status.PluginState
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return nil, nil, err
	}
	all := map[string]status.Plugin{}
	for _, p := range s.Plugins {
		all[p.Name] = p
	}
	return all, s.Labels, nil
}

// waitForPlugins waits until a condition holds for a limiter's plug-ins; what describes it in the failure.
func waitForPlugins(t *testing.T, addr, what string, condition func(map[string]status.Plugin) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		all, _, err := fetchPlugins(addr)
		if err == nil && condition(all) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("condition not met after %v: %s; %v %+v", testTimeout, what, err, all)
		}
	}
}

// TestBadPluginsOverSockets runs three limiters with every faulty test module, each called for every
// request, while boxes fail: no rule is broken, requests are served, and each faulty module is benched.
func TestBadPluginsOverSockets(t *testing.T) {
	bin, dir := buildProgram(t), t.TempDir()
	bad := plugintest.Bad()
	bad["worst"] = plugintest.WithAdvice(advice.Advice{Refuse: true, WaitMs: 1e9, Priority: 1e300, Label: "lie", Prefer: "nowhere", Avoid: "main"})
	var blocks strings.Builder
	files := map[string]plugintest.Module{}
	for k, name := range slices.Sorted(maps.Keys(bad)) {
		id := strings.ReplaceAll(name, " ", "-")
		files[id] = bad[name]
		may, budget := `["refuse", "lower", "raise", "label", "tiers"]`, "5ms"
		if name == "worst" { // a valid module with extreme advice; the long budget allows for a busy machine
			may, budget = `["lower", "raise", "label", "tiers"]`, "200ms"
		}
		fmt.Fprintf(&blocks, "plugin %q {\n file = %q\n order = %d\n may = %s\n memory = \"1MiB\"\n time = %q\n}\n", id, id+".wasm", k+1, may, budget)
	}
	writeModules(t, dir, files)
	states := make([]string, 3)
	for n := range states {
		states[n] = freeLocalAddr(t)
	}
	f := config.Bluebird()
	faults, err := world.Scenario(f, "box b1 fails 60% from 1s to 3s\nlimiter n2 is killed at 3s for 1s\nroom room-b is lost from 4s to 6s\nbox a1 drains from 2s to 5s\n")
	if err != nil {
		t.Fatal(err)
	}
	found := make(chan error, 1)
	o := loopback.Options{Fleet: f, Seed: 5, Faults: faults, Program: bin, Source: world.NewSynthetic(f, 5, 9*time.Second),
		Start: func(path string, n int) (loopback.Process, error) {
			text, err := loopback.ServeText(path, n)
			if err != nil {
				return nil, err
			}
			file := filepath.Join(dir, fmt.Sprintf("n%d.hcl", n))
			if err := os.WriteFile(file, []byte(text+blocks.String()), 0o600); err != nil {
				return nil, err
			}
			cmd := exec.Command(bin, "serve", file, "--limiter", fmt.Sprint("n", n), "--status", states[n])
			return loopback.StartCommand(cmd)
		}}
	o.Ready = func(r *loopback.Run) {
		go func() {
			ctx, stop := context.WithTimeout(t.Context(), time.Minute)
			defer stop()
			found <- func() error {
				if err := r.Until(ctx, func(w *world.World, _ *judge.Judge) bool { return w.Meter.Total.By[0] > 700 }); err != nil {
					return err
				}
				all, labels, err := fetchPlugins(states[0])
				if err != nil {
					return err
				}
				for id := range files {
					p := all[id]
					if bad := id != "worst"; (p.Faults >= 3 && p.TimesBenched > 0 && p.LastFault != "" && p.Skipped > 0) != bad || p.Refused > 0 || p.Calls == 0 {
						return fmt.Errorf("%s: %+v", id, p)
					}
				}
				if len(labels) != 1 || labels[0].Label != "lie" || labels[0].Served == 0 {
					return fmt.Errorf("labels %+v", labels)
				}
				return nil
			}()
		}()
	}
	r, err := loopback.Play(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-found; err != nil {
		t.Error(err)
	}
	for _, b := range r.Judge.Breaches {
		t.Error(b)
	}
	m := r.World.Meter
	if m.Total.Asked < 1000 || m.Figure().Whole < 0.4 {
		t.Errorf("%d asked, service %+v", m.Total.Asked, m.Figure())
	}
	t.Logf("%d asked, service %.3f, cpu %v", m.Total.Asked, m.Figure().Whole, r.CPU)
}

// limiterFixture is a limiter process with plug-ins and one box, which counts the requests that reach it.
type limiterFixture struct {
	t            *testing.T
	dir, file    string
	addr, status string
	text         string // configuration without the plug-in blocks
	cmd          *exec.Cmd
	lines        *lineWatch
	ended        <-chan error
	arrived      atomic.Int64
}

func newLimiterFixture(t *testing.T, bin, blocks string, modules map[string]plugintest.Module) *limiterFixture {
	t.Helper()
	x := &limiterFixture{t: t, dir: t.TempDir(), addr: freeLocalAddr(t), status: freeLocalAddr(t)}
	box := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		x.arrived.Add(1)
		io.WriteString(w, "served")
	})
	text := string(deploy.Bluebird)
	x.text = text[:strings.Index(text, `limiter "n0"`)] + fmt.Sprintf("limiter \"n0\" {\n room = \"room-a\"\n listen = %q\n}\n", x.addr) +
		fmt.Sprintf("box \"a\" {\n room = \"room-a\"\n dial = %q\n cores = 2\n slots = 8\n queue = 8\n}\n", box)
	x.file = filepath.Join(x.dir, "main.hcl")
	writeModules(t, x.dir, modules)
	x.write(blocks)
	x.cmd = exec.Command(bin, "serve", x.file, "--status", x.status)
	x.lines, x.ended = run(t, x.cmd)
	x.waitFor("msg=serving")
	return x
}

func (x *limiterFixture) write(blocks string) {
	x.t.Helper()
	if err := os.WriteFile(x.file, []byte(x.text+blocks), 0o600); err != nil {
		x.t.Fatal(err)
	}
}

func (x *limiterFixture) waitFor(line string) {
	x.t.Helper()
	select {
	case <-x.lines.seen(line):
	case <-time.After(testTimeout):
		x.t.Fatalf("the log lacks %q", line)
	}
}

var requestCount atomic.Int64

// send sends one request of a bulk class with a long deadline, and returns the response and its body.
func (x *limiterFixture) send(ctx context.Context, headers ...string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.addr+"/v1/messages?key=00000000b4d65521", strings.NewReader("body"))
	if err != nil {
		return nil, "", err
	}
	for k, v := range map[string]string{"X-Request-ID": fmt.Sprint("q", requestCount.Add(1)), "X-Priority-Class": "send-bulk-paid", "Plan": "enterprise", "X-Timeout": "3900m", "Quota-Info": "units=1,spread=1,first=0"} {
		req.Header.Set(k, v)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

const loopBlock = "plugin \"loop\" {\n file = \"loop.wasm\"\n order = 1\n time = \"800ms\"\n}\n"

// TestWhileAPluginIsAsked covers events during a call of a plug-in that never returns by itself: the
// request of a client that disconnects is not forwarded, a reload and SIGTERM wait only for the request
// in progress, and each remaining client gets one response.
func TestWhileAPluginIsAsked(t *testing.T) {
	bin := buildProgram(t)
	modules := map[string]plugintest.Module{"loop": {Advise: plugintest.Join(plugintest.Forever(), plugintest.None)}}
	calls := func(n uint64) func(map[string]status.Plugin) bool {
		return func(all map[string]status.Plugin) bool { return all["loop"].Calls == n }
	}
	free := func(n uint64) func(map[string]status.Plugin) bool {
		return func(all map[string]status.Plugin) bool { return all["loop"].Faults == n && all["loop"].Instances > 0 }
	}
	type response struct {
		code int
		body string
		err  error
	}
	sendAsync := func(x *limiterFixture) chan response {
		c := make(chan response, 1)
		go func() {
			w, body, err := x.send(t.Context())
			if err != nil {
				c <- response{err: err}
				return
			}
			c <- response{w.StatusCode, body, nil}
		}()
		return c
	}
	t.Run("the client leaves", func(t *testing.T) {
		t.Parallel()
		x := newLimiterFixture(t, bin, loopBlock, modules)
		ctx, disconnect := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { _, _, err := x.send(ctx); ended <- err }()
		waitForPlugins(t, x.status, "the call is made", calls(1))
		disconnect()
		if err := <-ended; err == nil {
			t.Error("a response for a client that disconnected")
		}
		waitForPlugins(t, x.status, "the call is over", free(1))
		if w, body, err := x.send(t.Context()); err != nil || w.StatusCode != 200 || body != "served" {
			t.Errorf("the next request: %v %q", err, body)
		}
		if n := x.arrived.Load(); n != 1 {
			t.Errorf("%d requests came to the box, one of two clients left", n)
		}
		checkStops(t, x.cmd, x.ended)
	})
	t.Run("a reload takes it away", func(t *testing.T) {
		t.Parallel()
		x := newLimiterFixture(t, bin, loopBlock, modules)
		c := sendAsync(x)
		waitForPlugins(t, x.status, "the call is made", calls(1))
		x.write("")
		x.cmd.Process.Signal(syscall.SIGHUP)
		x.waitFor("the new configuration holds")
		if g := <-c; g.err != nil || g.code != 200 || g.body != "served" || x.arrived.Load() != 1 {
			t.Errorf("%+v, %d came to the box", g, x.arrived.Load())
		}
		if all, _, err := fetchPlugins(x.status); err != nil || len(all) != 0 {
			t.Errorf("%v %v", all, err)
		}
		checkStops(t, x.cmd, x.ended)
	})
	t.Run("SIGTERM", func(t *testing.T) {
		t.Parallel()
		x := newLimiterFixture(t, bin, loopBlock, modules)
		c := sendAsync(x)
		waitForPlugins(t, x.status, "the call is made", calls(1))
		x.cmd.Process.Signal(syscall.SIGTERM)
		if g := <-c; g.err != nil || g.code != 200 || g.body != "served" || x.arrived.Load() != 1 {
			t.Errorf("%+v, %d came to the box", g, x.arrived.Load())
		}
		select {
		case err := <-x.ended:
			if err != nil {
				t.Errorf("ended with %v", err)
			}
		case <-time.After(testTimeout):
			t.Error("did not exit")
		}
	})
	t.Run("ten of them", func(t *testing.T) {
		t.Parallel()
		blocks := ""
		for k := range 10 {
			blocks += fmt.Sprintf("plugin \"loop%d\" {\n file = \"loop.wasm\"\n order = %d\n time = \"800ms\"\n}\n", k, k+1)
		}
		x := newLimiterFixture(t, bin, blocks, modules)
		begun := time.Now()
		g := <-sendAsync(x)
		// All plug-ins together may use a quarter of the request's 3.9 s.
		if took := time.Since(begun); g.err != nil || g.code != 200 || took > 2*time.Second {
			t.Errorf("%+v after %v", g, took)
		}
		checkStops(t, x.cmd, x.ended)
	})
}

// TestPluginsServed checks that advice has its effect as far as the configuration permits: a refusal
// carries its reason and wait, only on the routes that call the plug-in. A plug-in with refuse_when
// refuses requests when it fails, an operator can re-enable it after it was benched, and a reload
// replaces the module.
func TestPluginsServed(t *testing.T) {
	bin := buildProgram(t)
	no := plugintest.WithAdvice(advice.Advice{Refuse: true, WaitMs: 250, Reason: "not on Fridays", Label: "friday"})
	x := newLimiterFixture(t, bin, `
plugin "no" {
 file = "no.wasm"
 order = 2
 time = "1s" # the machine may be busy
 may = ["refuse", "label"]
}
plugin "guard" {
 file = "trap.wasm"
 order = 1
 refuse_when = ["fault", "benched", "busy"]
}
pool "boxes" {
 members = ["a"]
}
route "no" {
 path = "/v1/"
 plugins = ["no"]
}
route "guarded" {
 path = "/v1/"
 priority = 1
 headers = { "X-Tenant" = "guarded" }
 plugins = ["guard"]
}
route "free" {
 path = "/v1/"
 priority = 1
 headers = { "X-Tenant" = "free" }
 plugins = []
}
`, map[string]plugintest.Module{"no": no, "trap": {Advise: plugintest.Trap}, "yes": {}})
	for _, c := range []struct {
		tenant     string
		code       int
		body, wait string
	}{{"", 429, "not on Fridays\n", "0.250"}, {"free", 200, "served", ""}, {"guarded", 429, "a plug-in that guards this has failed\n", "0.050"}} {
		for range 4 {
			w, body, err := x.send(t.Context(), "X-Tenant", c.tenant)
			if err != nil {
				t.Fatal(err)
			}
			if w.StatusCode != c.code || body != c.body || w.Header.Get("Retry-After") != c.wait {
				t.Errorf("%q: %d %q, Retry-After %q", c.tenant, w.StatusCode, body, w.Header.Get("Retry-After"))
			}
		}
	}
	// More requests until the guard has failed three times; some find no free instance and don't count.
	for range 200 {
		if all, _, _ := fetchPlugins(x.status); all["guard"].TimesBenched > 0 {
			break
		}
		x.send(t.Context(), "X-Tenant", "guarded")
	}
	out, err := exec.Command(bin, "plugin", "status", "--status", x.status).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "benched for") || !strings.Contains(string(out), "trapped") || !strings.Contains(string(out), "friday  0       4        0") {
		t.Errorf("%v\n%s", err, out)
	}
	for _, c := range []struct {
		name string
		ok   bool
		want string
	}{{"guard", true, "guard is asked again"}, {"nobody", false, "no such plug-in"}} {
		out, err := exec.Command(bin, "plugin", "reset", "--status", x.status, c.name).CombinedOutput()
		if (err == nil) != c.ok || !strings.Contains(string(out), c.want) {
			t.Errorf("reset %s: %v\n%s", c.name, err, out)
		}
	}
	if n := x.arrived.Load(); n != 4 {
		t.Errorf("%d requests came to the box", n)
	}
	// A reload with another module under the same name, then with one that can't be loaded.
	x.write("plugin \"no\" {\n file = \"yes.wasm\"\n order = 2\n}\n")
	x.cmd.Process.Signal(syscall.SIGHUP)
	x.waitFor("the new configuration holds")
	if w, body, err := x.send(t.Context()); err != nil || w.StatusCode != 200 || body != "served" {
		t.Errorf("with another module: %v %q", err, body)
	}
	writeModules(t, x.dir, map[string]plugintest.Module{"lies": {ABI: plugintest.ConstI32(2)}})
	x.write("plugin \"no\" {\n file = \"lies.wasm\"\n order = 2\n}\n")
	x.cmd.Process.Signal(syscall.SIGHUP)
	x.waitFor("a plug-in can't be loaded")
	if w, _, err := x.send(t.Context()); err != nil || w.StatusCode != 200 {
		t.Errorf("after a module that can't be loaded: %v", err)
	}
	for _, args := range [][]string{{"check", x.file}, {"serve", x.file}, {"serve", x.file, "--check"}} {
		out, err := exec.Command(bin, args...).CombinedOutput()
		if err == nil || !strings.Contains(string(out), "main.hcl:") || !strings.Contains(string(out), "plug-in no: is written for another version of the ABI: 2, this is 1") {
			t.Errorf("%v: %v\n%s", args, err, out)
		}
	}
	checkStops(t, x.cmd, x.ended)
}

// TestNewPlugin follows an author's steps: create a plug-in in an empty folder, test it, build it and
// replay a trace with it. Each kind of wrong input gets an error.
func TestNewPlugin(t *testing.T) {
	bin, dir := buildProgram(t), t.TempDir()
	sale := filepath.Join(dir, "sale")
	do := func(ok bool, want string, name string, args ...string) {
		t.Helper()
		cmd := exec.Command(name, args...)
		if name == "go" {
			cmd.Dir = sale
		}
		out, err := cmd.CombinedOutput()
		if (err == nil) != ok || !strings.Contains(string(out), want) {
			t.Errorf("%s %v: %v, lacks %q\n%s", name, args, err, want, out)
		}
	}
	do(true, "the rule is in main.go", bin, "plugin", "new", sale)
	do(false, "is there already", bin, "plugin", "new", sale)
	do(false, "can't be a plug-in's name", bin, "plugin", "new", filepath.Join(dir, "No Name"))
	do(false, "no such file", bin, "plugin", "new", filepath.Join(dir, "a", "b"))
	do(true, "ok", "go", "test", ".")
	do(false, "not a folder", bin, "plugin", "build", filepath.Join(dir, "nix"))
	do(true, "fits the ABI", bin, "plugin", "build", sale)
	module := filepath.Join(sale, "sale.wasm")
	do(true, "bulk waits while boxes are short", bin, "plugin", "test", module, "-r", filepath.Join(sale, "requests.jsonl"), "--call", "30s")
	block := filepath.Join(sale, "plugin.hcl")
	bluebird := filepath.Join("..", "..", "deploy", "bluebird.hcl")
	do(true, "0 warnings", bin, "check", bluebird, block)
	do(true, "what the plug-ins changed", bin, "replay", "--for", "20s", "--plugin", module)
	do(true, "label \"sale\"", bin, "replay", "--for", "20s", "--rate", "500/s", "--fleet", bluebird, "--plugin", block)
	recorded := filepath.Join(dir, "recorded.jsonl")
	do(true, "10000 requests", bin, "replay", "--record", recorded)
	do(true, "no opinion", bin, "plugin", "test", module, "-r", recorded, "--call", "30s")
	do(false, "--record", bin, "replay", "--record", filepath.Join(dir, "a", "b"))
	do(false, "leave out --sockets and --policy", bin, "replay", "--plugin", module, "--policy", "bucket")
	do(false, "no such file", bin, "replay", "--plugin", filepath.Join(dir, "nix.wasm"))
	do(false, "has no plugin block", bin, "replay", "--plugin", bluebird)
	do(false, "not a module that can be used", bin, "replay", "--plugin", filepath.Join(sale, "main.go"))
}

// TestPluginsUnderLoad checks that concurrent requests through one plug-in get exactly one response each.
func TestPluginsUnderLoad(t *testing.T) {
	x := newLimiterFixture(t, buildProgram(t), "plugin \"count\" {\n file = \"count.wasm\"\n order = 1\n time = \"1s\"\n}\n", map[string]plugintest.Module{
		"count": {Imports: []plugintest.Import{plugintest.Count}, Data: []byte("key"),
			Advise: plugintest.Join(plugintest.ConstI32(0), plugintest.ConstI32(3), plugintest.ConstF64(1), plugintest.ConstF64(1000), plugintest.Call(0), plugintest.Drop, plugintest.None)}})
	var clients sync.WaitGroup
	var answers atomic.Int64
	for k := range 16 {
		clients.Go(func() {
			for range 25 {
				w, _, err := x.send(t.Context(), "Plan", "enterprise")
				if err != nil || w.StatusCode != 200 && w.StatusCode != 429 {
					t.Errorf("client %d: %v", k, err)
					return
				}
				answers.Add(1)
			}
		})
	}
	clients.Wait()
	all, _, err := fetchPlugins(x.status)
	if p := all["count"]; err != nil || answers.Load() != 400 || p.Calls+p.Busy != 400 || p.Faults > 0 || p.Counters != 1 {
		t.Errorf("%v, %d answers, %+v", err, answers.Load(), all)
	}
	checkStops(t, x.cmd, x.ended)
}
