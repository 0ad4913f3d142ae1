package main

import (
	"encoding/json"
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
)

const testTimeout = 20 * time.Second

const limiterSettings = `{"balancers":1,"position":0,"failure_domains":["a"],
 "caps":{"attempts_cap":3,"connect_timeout_ms":2000.0,"conn_idle_ms":30000.0},
 "request_classes":[{"name":"check","idempotency":"read_like","promise_ms":9000.0,"deadline_ms":15000.0,"importance":1.0}],
 "packages":[{"name":"team","per_second":100.0,"burst":100.0,"price":1.0}]}`

// command returns the command that starts the program: the shell command in MADDERDRUM_RUN, run from
// the root of the repository (CI sets it to the deploy file's run), or else a fresh build.
func command(t *testing.T) *exec.Cmd {
	t.Helper()
	if run := os.Getenv("MADDERDRUM_RUN"); run != "" {
		cmd := exec.Command("/bin/sh", "-c", run)
		cmd.Dir = filepath.Join("..", "..")
		return cmd
	}
	bin := filepath.Join(t.TempDir(), "madderdrum")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	return exec.Command(bin)
}

// TestServesAndStops checks that the program starts, keeps running after SIGHUP, serves a request,
// and exits with code 0 on SIGTERM.
func TestServesAndStops(t *testing.T) {
	server := listen(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") })
	// An unused port, on an address that no other test uses.
	ln, err := net.Listen("tcp", "127.78.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	path := writeConfig(t, addr, server, limiterSettings)
	cmd := command(t)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+path)
	lines, ended := run(t, cmd)
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/healthz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatal("the limiter is not ready")
		}
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		t.Fatalf("exited on SIGHUP: %v", err)
	case <-lines.seen("read the configuration again"):
	case <-time.After(testTimeout):
		t.Fatal("SIGHUP did not reload the configuration")
	}
	checkServed(t, addr, "check", "team", "12000m")
	checkStops(t, cmd, ended)
}

// writeConfig writes the configuration of a platform limiter that listens on addr and has one
// server, and returns the path of the file.
func writeConfig(t *testing.T, addr, server, settings string) string {
	t.Helper()
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "discovery": listen(t, http.NotFound), "seed": "1f",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384},
		"known": map[string]any{"seq": 1, "whole": true, "hosts": []any{map[string]any{
			"host": "s-1", "dial": server, "site": "a", "health": "ready", "share": 1.0}}},
		"settings": json.RawMessage(settings)})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// run starts a program and captures its output, which a test can wait for; ended receives its exit error.
func run(t *testing.T, cmd *exec.Cmd) (lines *lineWatch, ended <-chan error) {
	t.Helper()
	lines = &lineWatch{}
	cmd.Stdout, cmd.Stderr = lines, lines
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	end := make(chan error, 1)
	go func() { end <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	return lines, end
}

// checkServed sends a request and checks that the limiter forwards the box's response.
func checkServed(t *testing.T, addr, class, plan, timeout string) {
	t.Helper()
	req, err := http.NewRequest("GET", "http://"+addr+"/api?key=0000000000000001", nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"X-Request-ID": "r1", "X-Priority-Class": class, "Plan": plan,
		"X-Timeout": timeout, "Quota-Info": "units=1,spread=1,first=0"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != "served" {
		t.Errorf("answer %d %q", resp.StatusCode, body)
	}
}

// checkStops sends SIGTERM and checks that the program exits with code 0.
func checkStops(t *testing.T, cmd *exec.Cmd, ended <-chan error) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("did not exit on SIGTERM")
	}
}

// lineWatch copies a program's output to standard error and signals when a text appears in it.
type lineWatch struct {
	mu   sync.Mutex
	text strings.Builder
	want string
	got  chan struct{}
}

func (l *lineWatch) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(p)
	l.check()
	return os.Stderr.Write(p)
}

// check closes the channel once the output contains the text.
func (l *lineWatch) check() {
	if l.got != nil && strings.Contains(l.text.String(), l.want) {
		close(l.got)
		l.got = nil
	}
}

// output returns all that has been written so far.
func (l *lineWatch) output() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *lineWatch) seen(want string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	got := make(chan struct{})
	l.want, l.got = want, got
	l.check()
	return got
}

// TestBadConfiguration checks that an invalid configuration makes the start fail with a one-line error.
func TestBadConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"listen":"nowhere"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, env := range []string{"NODE_CONFIG=" + path, "NODE_CONFIG=", "NODE_CONFIG=/nonexistent"} {
		cmd := command(t)
		cmd.Env = []string{env}
		out, err := cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "madderdrum: ") {
			t.Errorf("%s: %v, %q", env, err, out)
		}
	}
}

func listen(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}
