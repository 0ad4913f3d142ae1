package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// freeAddr returns an address with an unused port on a host that no other test uses.
func freeAddr(t *testing.T, host string) string {
	t.Helper()
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// callAdmin sends a call to an admin address and returns the answer, or "" if the connection fails.
func callAdmin(addr, call string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintln(conn, call)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// TestUpgradesUnderLoad upgrades the program three times under load, as the platform does: it starts
// the next process while the old one runs, and sends the old one SIGTERM once the new one is ready.
// Every request is served exactly once, on the connection on which it was first sent or, if that was
// closed between two requests, on the next one.
func TestUpgradesUnderLoad(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	server := listen(t, func(w http.ResponseWriter, hr *http.Request) {
		io.Copy(io.Discard, hr.Body)
		mu.Lock()
		runs[hr.Header.Get("X-Request-ID")]++
		mu.Unlock()
		io.WriteString(w, "served")
	})
	addr, dir := freeAddr(t, "127.78.0.2"), t.TempDir()
	path := writeConfig(t, addr, server, strings.ReplaceAll(limiterSettings, "100.0", "1000000.0"))
	begin := func() (*exec.Cmd, string, *lineWatch, <-chan error) {
		admin := freeAddr(t, "127.78.0.3")
		cmd := command(t)
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_ADMIN_ADDR="+admin, "TMPDIR="+dir)
		lines, ended := run(t, cmd)
		for end := time.Now().Add(testTimeout); !strings.HasPrefix(callAdmin(admin, "ready"), "YES"); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not ready:\n%s", lines.output())
			}
		}
		return cmd, admin, lines, ended
	}
	cmd, _, lines, ended := begin()
	ctx, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	var served, failed, repeated int
	for worker := range 4 {
		clients.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				req, _ := http.NewRequest("GET", "http://"+addr+"/api?key=0000000000000001", nil)
				for name, value := range map[string]string{"X-Request-ID": fmt.Sprintf("w%d-%d", worker, i), "X-Priority-Class": "check", "Plan": "team",
					"X-Timeout": "12000m", "Quota-Info": "units=1,spread=1,first=0"} {
					req.Header.Set(name, value)
				}
				// net/http retries a GET if the server closed the idle connection at the same moment.
				resp, err := transport.RoundTrip(req)
				mu.Lock()
				switch {
				case err != nil:
					failed++
					t.Logf("worker %d: %v", worker, err)
				case resp.StatusCode != 200:
					failed++
					t.Logf("worker %d: %s", worker, resp.Status)
				default:
					served++
				}
				mu.Unlock()
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
		})
	}
	count := func() int { mu.Lock(); defer mu.Unlock(); return served }
	for range 3 {
		for before := count(); count() < before+200; {
			time.Sleep(time.Millisecond)
		}
		next, _, nextLines, nextEnded := begin()
		cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("the old process ended with %v", err)
			}
		case <-time.After(testTimeout):
			t.Fatal("the old process did not end")
		}
		if text := nextLines.output(); !strings.Contains(text, "took over from the process before") {
			t.Errorf("the new process did not take over the old one's state:\n%s", text)
		}
		cmd, lines, ended = next, nextLines, nextEnded
	}
	stop()
	clients.Wait()
	if failed > 0 || served < 600 {
		t.Errorf("%d served, %d failed\n%s", served, failed, lines.output())
	}
	for id, n := range runs {
		if n > 1 {
			repeated++
			t.Logf("%s ran %d times", id, n)
		}
	}
	if repeated > 0 {
		t.Errorf("%d requests ran more than once", repeated)
	}
	checkStops(t, cmd, ended)
}

// TestAdminAddressThatCannotBeHad checks that an invalid or occupied admin address makes the start fail
// with one line that names the setting.
func TestAdminAddressThatCannotBeHad(t *testing.T) {
	taken := listen(t, http.NotFound)
	path := writeConfig(t, freeAddr(t, "127.78.0.4"), taken, limiterSettings)
	for _, addr := range []string{"localhost", "127.0.0.1", "127.0.0.1:99999", taken} {
		cmd := command(t)
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_ADMIN_ADDR="+addr)
		out, err := cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "admin_addr") {
			t.Errorf("%s: %v, %q", addr, err, out)
		}
	}
}
