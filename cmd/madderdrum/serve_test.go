//go:build !platform

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/madderdrum/deploy"
)

// builtProgram is the binary that all tests of the commands share.
var builtProgram struct {
	sync.Once
	dir, bin string
	err      error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if builtProgram.dir != "" {
		os.RemoveAll(builtProgram.dir)
	}
	os.Exit(code)
}

// buildProgram returns the path of the program, which it builds on the first call.
func buildProgram(t testing.TB) string {
	t.Helper()
	builtProgram.Do(func() {
		if builtProgram.dir, builtProgram.err = os.MkdirTemp("", "madderdrum-test-"); builtProgram.err != nil {
			return
		}
		builtProgram.bin = filepath.Join(builtProgram.dir, "madderdrum")
		if out, err := exec.Command("go", "build", "-o", builtProgram.bin, ".").CombinedOutput(); err != nil {
			builtProgram.err = fmt.Errorf("building: %w\n%s", err, out)
		}
	})
	if builtProgram.err != nil {
		t.Fatal(builtProgram.err)
	}
	return builtProgram.bin
}

// freeLocalAddr returns a loopback address with an unused port.
func freeLocalAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.78.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// TestServe checks that serve runs a limiter from a fleet file alone, with a fixed list of boxes.
func TestServe(t *testing.T) {
	bin := buildProgram(t)
	box := listen(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") })
	addr := freeLocalAddr(t)
	text := string(deploy.Bluebird)
	text = text[:strings.Index(text, `limiter "n0"`)] + fmt.Sprintf("limiter \"n0\" {\n room = \"room-a\"\n listen = %q\n}\n", addr) +
		fmt.Sprintf("box \"a\" {\n room = \"room-a\"\n dial = %q\n cores = 2\n slots = 8\n queue = 8\n}\n", box)
	path := filepath.Join(t.TempDir(), "fleet.hcl")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := exec.Command(bin, "serve", "--check", path).CombinedOutput(); err != nil || !strings.Contains(string(out), "1 limiters, 1 boxes") {
		t.Fatalf("--check: %v\n%s", err, out)
	}
	cmd := exec.Command(bin, "serve", path)
	cmd.Env = []string{"NODE_CONFIG=/nonexistent"} // ignored when there are arguments
	lines, ended := run(t, cmd)
	select {
	case <-lines.seen("msg=serving"):
	case <-time.After(testTimeout):
		t.Fatal("did not start serving")
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	checkServed(t, addr, "status-check", "enterprise", "700m")
	checkStops(t, cmd, ended)
}

// TestServeBadInput checks that wrong input ends the command with an error that names file, line and remedy.
func TestServeBadInput(t *testing.T) {
	bin := buildProgram(t)
	bad := filepath.Join(t.TempDir(), "bad.hcl")
	text := bytes.Replace(deploy.Bluebird, []byte(`work     = "38ms"`), []byte(`work = "38/s"`), 1)
	if err := os.WriteFile(bad, text, 0o600); err != nil {
		t.Fatal(err)
	}
	good := filepath.Join("..", "..", "deploy", "bluebird.hcl")
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"serve", bad}, bad + `:13:10: work = "38/s" is not a time; write`},
		{[]string{"serve", "--limiter", "n7", good}, `"n7"; there are: n0 n1 n2`},
		{[]string{"serve", "/nonexistent.hcl"}, "no such file"},
		{[]string{"serve"}, "expected \"<file>"},
		{[]string{"sreve"}, "unexpected argument sreve"},
	} {
		out, err := exec.Command(bin, c.args...).CombinedOutput()
		if err == nil || !strings.Contains(string(out), c.want) {
			t.Errorf("%v: %v\n%s", c.args, err, out)
		}
	}
	for _, args := range [][]string{{"--help"}, {"serve", "--help"}, {"version"}, {}} {
		if out, err := exec.Command(bin, args...).CombinedOutput(); err != nil || len(out) == 0 {
			t.Errorf("%v: %v\n%s", args, err, out)
		}
	}
}

// TestDemo checks that the curl command that the demo prints works, that faults can be injected by URL,
// and that the demo ends after --for with no rule broken.
func TestDemo(t *testing.T) {
	bin := buildProgram(t)
	control := freeLocalAddr(t)
	cmd := exec.Command(bin, "demo", "--for", "6s", "--control", control)
	lines, ended := run(t, cmd)
	select {
	case <-lines.seen("peers are cut"):
	case err := <-ended:
		t.Fatalf("ended: %v", err)
	case <-time.After(testTimeout):
		t.Fatal("did not start")
	}
	lines.mu.Lock()
	text := lines.text.String()
	lines.mu.Unlock()
	from := strings.Index(text, "  curl -i")
	line := text[from : from+strings.Index(text[from:], "\n\n")]
	if strings.Contains(text, "%!") {
		t.Errorf("the introduction:\n%s", text)
	}
	curl := exec.Command("/bin/sh", "-c", line)
	if _, err := exec.LookPath("curl"); err == nil {
		if out, err := curl.CombinedOutput(); err != nil || !strings.Contains(string(out), "200 OK") || !strings.Contains(string(out), "served mine-1") {
			t.Errorf("%s\n%v\n%s", line, err, out)
		}
	}
	for body, want := range map[string]int{"box b1 hangs at 0s for 1s": 200, "box b99 hangs": 400, "": 400} {
		resp, err := http.Post("http://"+control+"/fault", "text/plain", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("fault %q: %d", body, resp.StatusCode)
		}
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("did not exit")
	}
	lines.mu.Lock()
	defer lines.mu.Unlock()
	if !strings.Contains(lines.text.String(), "0 rules broken") {
		t.Errorf("no summary line:\n%s", lines.text.String())
	}
}

// TestReplayCommand checks the built-in replay, its repeatability and reports, and errors for bad input.
func TestReplayCommand(t *testing.T) {
	bin := buildProgram(t)
	dir := t.TempDir()
	a, b, page := filepath.Join(dir, "a.json"), filepath.Join(dir, "b.json"), filepath.Join(dir, "r.html")
	out, err := exec.Command(bin, "replay", "--json", a, "--html", page).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "limiter, seed 1, virtual") {
		t.Fatalf("replay: %v\n%s", err, out)
	}
	if out, err := exec.Command(bin, "replay", "--json", b).CombinedOutput(); err != nil {
		t.Fatalf("replay: %v\n%s", err, out)
	}
	first, err := os.ReadFile(a)
	if err != nil {
		t.Fatal(err)
	}
	again, err := os.ReadFile(b)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first, again) {
		t.Error("two replays with the same seed differ")
	}
	if out, err := exec.Command(bin, "replay", "--compare", a, b).CombinedOutput(); err != nil || !strings.Contains(string(out), "one seed can't tell") {
		t.Errorf("--compare: %v\n%s", err, out)
	}
	if info, err := os.Stat(page); err != nil || info.Size() < 10_000 {
		t.Errorf("--html: %v", err)
	}
	bad := filepath.Join(dir, "bad.csv")
	if err := os.WriteFile(bad, []byte("TIMESTAMP,ContextTokens,GeneratedTokens\n2023-11-16 18:17:03.9,1,1\n2023-11-16 18:17:02.9,1,1\nx,1,1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	scenario := filepath.Join(dir, "scenario")
	if err := os.WriteFile(scenario, []byte("box a1 explodes at 2s\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{bad}, bad + ":3: time: 1s before the row before it; sort the file by time, or accept it with --reorder 2s\n" + bad + `:4: TIMESTAMP: "x" is not a time`},
		{[]string{"/nonexistent.csv"}, "no such file"},
		{[]string{"--schema", "x", bad}, `no schema "x"; there are: google`},
		{[]string{"--rate", "5"}, "write fleet, trace, or a rate such as 170/s"},
		{[]string{"--rate", "NaN/s"}, "write fleet, trace"},
		{[]string{"--speed", "0"}, "--speed 0: write a factor from 0.001"},
		{[]string{"--speed", "NaN"}, "--speed NaN: write a factor from 0.001"},
		{[]string{"--policy", "best"}, `no policy "best"; there are: limiter`},
		{[]string{"--scenario", scenario}, `scenario line 1: "box a1 explodes at 2s": "explodes" is none of what can happen there`},
		{[]string{"--compare", a}, "takes two JSON reports"},
		{[]string{"--compare", a, scenario}, "not a report"},
		{[]string{"--seeds", "0"}, "--seeds 0: from 1 to 1000"},
		{[]string{"--from", "1h"}, "no arrivals in what is to be played"},
		{[]string{"--json", "/nonexistent/x.json", "--for", "1s"}, "report: open /nonexistent"},
	} {
		out, err := exec.Command(bin, append([]string{"replay"}, c.args...)...).CombinedOutput()
		if err == nil || !strings.Contains(string(out), c.want) {
			t.Errorf("%v: %v\n%s", c.args, err, out)
		}
	}
}
