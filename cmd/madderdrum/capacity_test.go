//go:build !platform

package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestCapacity checks the plans of the built-in trace and of a configuration, and the error for each wrong flag.
func TestCapacity(t *testing.T) {
	bin, file := buildProgram(t), filepath.Join(t.TempDir(), "plan.json")
	for _, c := range []struct {
		args string
		want string
		code int
	}{
		{"", "* binds: 9 boxes, 18 if any one room may be lost", 0},
		{"../../deploy/bluebird.hcl --json " + file + " --html " + file + ".html", "boxes needed", 0},
		{"--boxes 30 --without room-a", "room-b", 0},
		{"--plan business.rate=70/s --for 60s", "* binds", 0},
		{"--plan business.rate=x", "write PLAN.FIELD=VALUE", 1},
		{"--plan gold.rate=3/s", `there is no plan "gold"`, 1},
		{"--plan business.colour=3", `a plan has no "colour" here`, 1},
		{"--without cellar", `no room "cellar"`, 1},
		{"--begins Funday", "write a day and an hour", 1},
		{"--goal 2", "--goal 2: a share", 1},
		{"--confidence 1", "--confidence 1", 1},
		{"--replay=-1", "--replay -1", 1},
		{"none.hcl", "no such file", 1},
		{"--trace none.csv", "none.csv", 1},
	} {
		cmd := exec.Command(bin, append([]string{"capacity"}, strings.Fields(c.args)...)...)
		out, _ := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != c.code || !strings.Contains(string(out), c.want) {
			t.Errorf("%s: exit code %d, want %d and %q in\n%s", c.args, cmd.ProcessState.ExitCode(), c.code, c.want, out)
		}
	}
}

// TestBest checks the comparison with the best possible policy, and flags that can't be combined with it.
func TestBest(t *testing.T) {
	bin := buildProgram(t)
	for _, c := range []struct {
		args string
		want string
		code int
	}{
		{"replay --best --for 20s", "the best possible, limiter, seed 1", 0},
		{"drill --best --case lost --seeds 1", "share", 0},
		{"drill --best --priced --case overload --seeds 1", "weighed by price", 0},
		{"drill --priced", "--priced goes with --best", 1},
		{"replay --best --sockets", "leave out --sockets", 1},
		{"replay --best --asked 0.5", "leave out --sockets and --asked", 1},
		{"drill --best --html x.html", "--best goes with", 1},
	} {
		cmd := exec.Command(bin, strings.Fields(c.args)...)
		out, _ := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != c.code || !strings.Contains(string(out), c.want) {
			t.Errorf("%s: exit code %d, want %d and %q in\n%s", c.args, cmd.ProcessState.ExitCode(), c.code, c.want, out)
		}
	}
}
