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

// restart starts a new process of the limiter with the same configuration file.
func (x *limiterFixture) restart(bin string) {
	x.t.Helper()
	x.cmd = exec.Command(bin, "serve", x.file, "--status", x.status)
	x.lines, x.ended = run(x.t, x.cmd)
	x.waitFor("msg=serving")
}

// countPassed sends n requests of one account and counts those that are served.
func (x *limiterFixture) countPassed(n int) (passed int) {
	x.t.Helper()
	for range n {
		resp, _, err := x.send(context.Background(), "Plan", "capped")
		if err != nil {
			x.t.Fatal(err)
		}
		if resp.StatusCode == http.StatusOK {
			passed++
		}
	}
	return passed
}

// TestMemoryOverRestarts checks that a limiter resumes its share of a ceiling after a clean restart, and
// that it never spends more than the ceiling: after a kill it resumes with the balance less the headroom,
// and with an empty one after its files were damaged. A folder that is in use is refused.
func TestMemoryOverRestarts(t *testing.T) {
	bin, folder := buildProgram(t), filepath.Join(t.TempDir(), "kept")
	const rate = 200 // units per second, and the burst
	x := newLimiterFixture(t, bin, `
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
	spent := x.countPassed(1)
	stop := func(signal syscall.Signal) {
		t.Helper()
		x.cmd.Process.Signal(signal)
		select {
		case <-x.ended:
		case <-time.After(testTimeout):
			t.Fatal("did not exit")
		}
	}
	maxUnits := func(since time.Time) int { return int(rate*time.Since(since).Seconds()) + 1 }
	for range 2 {
		stop(syscall.SIGTERM)
		start := time.Now()
		x.restart(bin)
		n := x.countPassed(60) // a stop takes half a second, in which at least 60 units accumulate
		spent += n
		if fresh := maxUnits(start); n < min(60, fresh+20) && n < 60 {
			t.Errorf("%d units after a clean restart, %d without a memory", n, fresh)
		}
		if spent > maxUnits(begun) {
			t.Errorf("%d units in %v: the ceiling gives %d", spent, time.Since(begun), maxUnits(begun))
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
		if name != "killed" { // no usable state is left
			files = nil
		}
		start := time.Now()
		x.restart(bin)
		n := x.countPassed(60)
		spent += n
		if files == nil && n > maxUnits(start) {
			t.Errorf("%s: %d units within %v of a start", name, n, time.Since(start))
		}
		if spent > maxUnits(begun) {
			t.Errorf("%s: %d units in %v: the ceiling gives %d", name, spent, time.Since(begun), maxUnits(begun))
		}
	}
	other := exec.Command(bin, "serve", x.file)
	out, err := other.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "is in use by another process") {
		t.Errorf("second process with the same folder: %v\n%s", err, out)
	}
	checkStops(t, x.cmd, x.ended)
}

// TestStateCommands runs the state commands on a sound folder, a damaged one, and folders without state.
func TestStateCommands(t *testing.T) {
	bin, dir := buildProgram(t), t.TempDir()
	if err := os.CopyFS(filepath.Join(dir, "n0"), os.DirFS("../../internal/memory/testdata/landing9/n0")); err != nil {
		t.Fatal(err)
	}
	damaged := filepath.Join(t.TempDir(), "n0")
	if err := os.CopyFS(damaged, os.DirFS(filepath.Join(dir, "n0"))); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(filepath.Join(damaged, "0000000000000001.snapshot"), 700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(damaged, "notes.txt"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want []string
		code int
	}{
		{[]string{"show", dir}, []string{"limiter", "n0", "generation 1", "155 records, clean", "fresh: the files are copies", "12, 0 of them"}, 0},
		{[]string{"show", "--config", "../../deploy/bluebird.hcl", filepath.Join(dir, "n0")}, []string{"12, 0 of them"}, 0},
		{[]string{"verify", dir}, []string{"0000000000000001.snapshot  15 records   sound"}, 0},
		{[]string{"export", dir}, []string{`"limiter": "n0"`, `"classes": [`, `"Boxes": [`}, 0},
		{[]string{"show", damaged}, []string{"a limiter would start fresh"}, 0},
		{[]string{"verify", damaged}, []string{"a record is cut off", "notes.txt", "not a file of ours", "limiters ignore it"}, 1},
		{[]string{"export", damaged}, []string{"no usable snapshot"}, 1},
		{[]string{"show", filepath.Join(dir, "none")}, []string{"no such file"}, 1},
		{[]string{"show", t.TempDir()}, []string{"no limiter's memory is in it"}, 1},
		{[]string{"show", "--config", "none.hcl", dir}, []string{"none.hcl"}, 1},
	} {
		cmd := exec.Command(bin, append([]string{"state"}, c.args...)...)
		out, _ := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != c.code {
			t.Errorf("%v: exit code %d\n%s", c.args, cmd.ProcessState.ExitCode(), out)
		}
		for _, part := range c.want {
			if !strings.Contains(string(out), part) {
				t.Errorf("%v: no %q in\n%s", c.args, part, out)
			}
		}
	}
}

// TestKilledAgainAndAgain kills limiters with a memory repeatedly, on sockets and under load: each
// resumes from a valid snapshot or starts fresh on purpose, and no rule is broken.
func TestKilledAgainAndAgain(t *testing.T) {
	out, err := exec.Command(buildProgram(t), "drill", "--kills", "50").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	t.Logf("%s", out)
	if !strings.Contains(string(out), "    0 files were ignored") || !strings.Contains(string(out), ", 0 rules broken") || strings.Contains(string(out), "    0 resumed") {
		t.Errorf("%s", out)
	}
}
