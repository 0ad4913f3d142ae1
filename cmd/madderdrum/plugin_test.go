//go:build !platform

package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestPluginCommands inspects, tests and measures a module built with the SDK, and checks the errors for
// unusable modules and flags.
func TestPluginCommands(t *testing.T) {
	bin, dir := buildProgram(t), t.TempDir()
	module, requests, broken := filepath.Join(dir, "friday.wasm"), filepath.Join(dir, "requests.jsonl"), filepath.Join(dir, "broken.jsonl")
	build := exec.Command("go", "build", "-buildmode=c-shared", "-o", module, "example.org/madderdrum/examples/plugins/friday")
	build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for path, text := range map[string]string{
		requests: `{"class": "send-reminder", "pressure": 0.3}` + "\n\n" + `{"class": "send-bulk-paid", "headers": {"B": "2", "A": "1"}}` + "\n" + `{"class": "status-check"}` + "\n",
		broken:   `{"class": "send-reminder"}` + "\n" + `{"class": 7}` + "\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		args []string
		ok   bool
		want []string
	}{
		{[]string{"inspect", module}, true, []string{"exports madderdrum_advise(i32) -> i64", "imports madderdrum.count(i32 i32 f64 f64) -> f64", "fits the ABI"}},
		{[]string{"inspect", requests}, false, []string{"not a module that can be used"}},
		{[]string{"inspect", filepath.Join(dir, "nix")}, false, []string{"no such file"}},
		{[]string{"test", module, "-r", requests, "--call", "30s"}, true, []string{"priority x 2", "priority x 0.5", "no opinion"}},
		{[]string{"test", module, "-r", broken, "--call", "30s"}, false, []string{"broken.jsonl:2:"}},
		{[]string{"test", module, "-r", requests, "--memory", "1"}, false, []string{"not a module that can be used"}},
		{[]string{"bench", module, "--calls", "50", "--call", "30s"}, true, []string{"50 calls, 0 failed"}},
		{[]string{"bench", module, "--calls", "0"}, false, []string{"--calls 0: from 1"}},
		{[]string{"bench", module, "--call", "0s"}, false, []string{"--call 0s: above 0"}},
	} {
		out, err := exec.Command(bin, append([]string{"plugin"}, c.args...)...).CombinedOutput()
		if (err == nil) != c.ok {
			t.Errorf("%v: %v\n%s", c.args, err, out)
		}
		for _, want := range c.want {
			if !strings.Contains(string(out), want) {
				t.Errorf("%v: lacks %q:\n%s", c.args, want, out)
			}
		}
	}
}
