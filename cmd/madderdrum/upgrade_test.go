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

// freeAddr is an address that was free a moment ago, on a host that no other test uses.
func freeAddr(t *testing.T, host string) string {
	t.Helper()
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// operator makes a call on an operators' address; "" if nobody answers.
func callAdmin(addr, call string) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintln(c, call)
	b, _ := io.ReadAll(c)
	return string(b)
}

// The program is upgraded three times under load, as the platform does it: the next process
// is started beside the old one, which gets SIGTERM once the new one says yes. Every request
// is served once, each on the first connection that it is sent on or, where that is closed
// between two requests, on the next.
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
	path := writeConfig(t, addr, server, strings.ReplaceAll(settings, "100.0", "1000000.0"))
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
	var served, failed, again int
	for w := range 4 {
		clients.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				req, _ := http.NewRequest("GET", "http://"+addr+"/api?key=0000000000000001", nil)
				for name, value := range map[string]string{"X-Request-ID": fmt.Sprintf("w%d-%d", w, i), "X-Priority-Class": "check", "Plan": "team",
					"X-Timeout": "12000m", "Quota-Info": "units=1,spread=1,first=0"} {
					req.Header.Set(name, value)
				}
				// net/http sends a GET once more that crosses a close.
				resp, err := transport.RoundTrip(req)
				mu.Lock()
				switch {
				case err != nil:
					failed++
					t.Logf("worker %d: %v", w, err)
				case resp.StatusCode != 200:
					failed++
					t.Logf("worker %d: %s", w, resp.Status)
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
			t.Errorf("the new process began without the old one's state:\n%s", text)
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
			again++
			t.Logf("%s ran %d times", id, n)
		}
	}
	if again > 0 {
		t.Errorf("%d requests ran more than once", again)
	}
	checkStops(t, cmd, ended)
}

// An address for operators that can't be had ends the start with one clear line.
func TestAdminAddressThatCannotBeHad(t *testing.T) {
	taken := listen(t, http.NotFound)
	path := writeConfig(t, freeAddr(t, "127.78.0.4"), taken, settings)
	for _, addr := range []string{"localhost", "127.0.0.1", "127.0.0.1:99999", taken} {
		cmd := command(t)
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_ADMIN_ADDR="+addr)
		out, err := cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "admin_addr") {
			t.Errorf("%s: %v, %q", addr, err, out)
		}
	}
}
