//go:build !platform

package main

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/madderdrum/plugin/plugintest"
)

// again starts the limiter anew, with the same file.
func (x *oneLimiter) again(bin string) {
	x.t.Helper()
	x.cmd = exec.Command(bin, "serve", x.file, "--status", x.status)
	x.lines, x.ended = run(x.t, x.cmd)
	x.waitFor("msg=serving")
}

// passes sends so many requests of one account and counts those that pass.
func (x *oneLimiter) passes(n int) (passed int) {
	x.t.Helper()
	for range n {
		w, _, err := x.ask(context.Background(), "Plan", "capped")
		if err != nil {
			x.t.Fatal(err)
		}
		if w.StatusCode == http.StatusOK {
			passed++
		}
	}
	return passed
}

// A limiter that is started again in good order goes on with its part of a ceiling, and no
// more; one that was killed begins with nothing of it. A damaged folder is passed over, and
// one that is in use is refused.
func TestMemoryOverRestarts(t *testing.T) {
	bin, folder := program(t), filepath.Join(t.TempDir(), "kept")
	const rate = 200 // units a second, and at once
	x := newOneLimiter(t, bin, `
plan "capped" {
 share = "0%"
 rate = "200/s"
 burst = 200
 ceiling_rate = "200/s"
 ceiling_burst = 200
}
memory {
 folder = "`+folder+`"
 every = "50ms"
}
`, map[string]plugintest.Module{})
	begun := time.Now()
	spent := x.passes(1)
	stop := func(how syscall.Signal) {
		t.Helper()
		x.cmd.Process.Signal(how)
		select {
		case <-x.ended:
		case <-time.After(patience):
			t.Fatal("does not end")
		}
	}
	most := func(since time.Time) int { return int(rate*time.Since(since).Seconds()) + 1 }
	for range 2 {
		stop(syscall.SIGTERM)
		start := time.Now()
		x.again(bin)
		n := x.passes(60) // a stop takes half a second: so many are there
		spent += n
		if fresh := most(start); n < min(60, fresh+20) && n < 60 {
			t.Errorf("%d units after a start in good order, %d without a memory", n, fresh)
		}
		if spent > most(begun) {
			t.Errorf("%d units in %v: the ceiling gives %d", spent, time.Since(begun), most(begun))
		}
	}
	for name, damage := range map[string]func(string) error{"killed": func(string) error { return nil }, "cut off": func(path string) error { return os.Truncate(path, 100) },
		"of another program": func(path string) error { return os.WriteFile(path, []byte("x"), 0o600) }} {
		stop(syscall.SIGKILL)
		files, err := filepath.Glob(filepath.Join(folder, "n0", "*.snapshot"))
		if err != nil || len(files) == 0 {
			t.Fatal(files, err)
		}
		for _, f := range files {
			if err := damage(f); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		x.again(bin)
		if n := x.passes(60); n > most(start) {
			t.Errorf("%s: %d units within %v of a start", name, n, time.Since(start))
		}
	}
	other := exec.Command(bin, "serve", x.file)
	out, err := other.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "is in use by another process") {
		t.Errorf("two of one name: %v\n%s", err, out)
	}
	checkStops(t, x.cmd, x.ended)
}
