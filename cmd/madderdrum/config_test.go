//go:build !platform

package main

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"example.org/madderdrum/deploy"
)

// TestConfigCommands checks the output of check, diff and fmt, and the exit codes on which CI depends.
func TestConfigCommands(t *testing.T) {
	bin, dir := buildProgram(t), t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
		return path
	}
	whole := string(deploy.Bluebird)
	good := write("good.hcl", whole)
	same := write("same.hcl", "# another comment\n"+strings.Replace(whole, `"300ms"`, `"0.3s"`, 1))
	lower := write("lower.hcl", strings.Replace(whole, `ceiling_rate  = "15/s"`, `ceiling_rate  = "9/s"`, 1))
	bad := write("bad.hcl", strings.Replace(whole, `work     = "38ms"`, `work = "38/s"`, 1))
	odd := write("odd.hcl", "rules {\nattempts=2\n}\n")
	broken := write("broken.hcl", "rules {\n")
	limited := write("limited.hcl", "variable \"tries\" {}\nrules {\n  attempts = var.tries\n}\n"+whole[:strings.Index(whole, "rules {")])
	for _, c := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"sound", []string{"check", good}, 0, "sound: 1 files, 3 limiters, 12 boxes"},
		{"an error", []string{"check", bad}, 1, bad + ":13:10: error: work = \"38/s\" is not a time [unit-mismatch]\n    work = \"38/s\"\n           ^^^^^^\n  fix: write a number"},
		{"no such file", []string{"check", filepath.Join(dir, "none.hcl")}, 2, "none.hcl: no such file or directory"},
		{"no such folder", []string{"check", filepath.Join(dir, "none", "x.hcl")}, 2, "no such file or directory"},
		{"a folder", []string{"check", dir}, 2, "a folder; write the first file in it"},
		{"one file by two spellings", []string{"check", good, filepath.Dir(good) + "/./good.hcl"}, 1, "good.hcl is included a second time"},
		{"several files", []string{"check", good, write("more.hcl", "policy \"x\" {}\n")}, 0, "policy \"x\" is used by no route [unused]"},
		{"a variable", []string{"check", "--var", "tries=2", limited}, 0, "sound: 1 files"},
		{"a variable without a value", []string{"check", limited}, 1, "var.tries has no value"},
		{"a variable of the wrong kind", []string{"check", "--var", "tries=2s", limited}, 1, `attempts = "2s" is not a count`},
		{"the same meaning", []string{"diff", good, same}, 0, "no difference in meaning"},
		{"another", []string{"diff", good, lower}, 1, "plan business: ceiling_rate 15/s -> 9/s: accounts above 9/s are cut [needs care]\n1 changes: needs care\n"},
		{"one with errors", []string{"diff", good, bad}, 2, `work = "38/s" is not a time`},
		{"formatting", []string{"fmt", odd}, 0, "rules {\n  attempts = 2\n}\n"},
		{"what would change", []string{"fmt", "-d", odd}, 1, "-attempts=2\n+  attempts = 2\n"},
		{"nothing would", []string{"fmt", "-d", good}, 0, ""},
		{"what is no HCL", []string{"fmt", broken}, 2, "broken.hcl:1:"},
		{"written", []string{"fmt", "-w", odd, good, broken}, 2, odd + "\n"},
		{"written once", []string{"fmt", "-d", odd}, 0, ""},
	} {
		out, err := exec.Command(bin, c.args...).CombinedOutput()
		code := 0
		if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
			code = exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if code != c.code || !strings.Contains(string(out), c.want) || c.want == "" && len(out) > 0 {
			t.Errorf("%s: exit code %d, want %d\n%s\nwant %s", c.name, code, c.code, out, c.want)
		}
	}
	if info, err := os.Stat(odd); err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("after fmt -w: %v, %v", info.Mode(), err)
	}
	if left, err := filepath.Glob(filepath.Join(dir, ".fmt-*")); err != nil || len(left) > 0 {
		t.Errorf("temporary files left: %v, %v", left, err)
	}
	out, _ := exec.Command(bin, "check", "--json", bad).Output()
	var checked struct {
		Errors      int
		Diagnostics []struct {
			Code, Severity, File, What, Fix string
			Line, Column                    int
		}
	}
	if err := json.Unmarshal(out, &checked); err != nil || checked.Errors != 1 || len(checked.Diagnostics) != 1 || checked.Diagnostics[0].Line != 13 || checked.Diagnostics[0].Code != "unit-mismatch" {
		t.Errorf("check --json: %v\n%s", err, out)
	}
	out, _ = exec.Command(bin, "diff", "--json", good, lower).Output()
	var differs struct {
		Differs, Restart bool
		Grade            string
		Changes          []struct{ Block, Field, Before, After, Effect, Grade string }
	}
	if err := json.Unmarshal(out, &differs); err != nil || !differs.Differs || differs.Restart || differs.Grade != "needs care" || len(differs.Changes) != 1 || differs.Changes[0].After != "9/s" {
		t.Errorf("diff --json: %v\n%s", err, out)
	}
}
