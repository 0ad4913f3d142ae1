//go:build !platform

package main

import (
	"context"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/internal/drill"
	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/status"
)

// TestRoomLostAndRegained removes a room and returns it, with three real limiters: each detects the
// loss, raises the room's share in steps until it is healthy again, and breaks no rule.
func TestRoomLostAndRegained(t *testing.T) {
	bin := buildProgram(t)
	for name, how := range map[string]string{"killed": "", "silent": " silently"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, stop := context.WithTimeout(t.Context(), 2*time.Minute)
			defer stop()
			c := drill.Case{Name: name, Loss: 3 * time.Second, Back: 7 * time.Second, Length: time.Hour, Load: 0.6,
				Faults: func(*fleet.Fleet) string { return "room room-a is lost from 3s to 7s" + how }}
			wasLost := make([]bool, 3)
			enough := func(at time.Duration, all [][]status.Tier) bool {
				well := at > c.Back
				for n, tiers := range all {
					// Only the preferred tier is checked: a limiter may notice the state of the
					// other room only when it sends a request there.
					well = well && len(tiers) == 2 && tiers[0].Phase == "well"
					wasLost[n] = wasLost[n] || len(tiers) == 2 && isTierLeft(tiers[0].Phase)
				}
				return well && wasLost[0] && wasLost[2]
			}
			r, err := drill.Sockets(ctx, c, bin, 4, enough)
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.Breaches {
				t.Error(b)
			}
			for _, n := range []int{0, 2} { // the limiters in the lost room
				near := r.Phases[n][0]
				lost, back := slices.IndexFunc(near, isTierLeft), slices.Index(near, "well")
				if lost < 0 || near[len(near)-1] != "well" || back != 0 {
					t.Errorf("limiter %d, phases of its own room: %v", n, near)
				}
			}
			if far := r.Phases[1][0]; slices.ContainsFunc(far, isTierLeft) {
				t.Errorf("limiter 1, phases of its own room: %v", far)
			}
			t.Logf("service %.3f, most work to a warming box in 0.5 s %.2f of what it could do, phases %v", r.Figures.Service, r.Figures.Push, r.Phases)
		})
	}
}

// isTierLeft reports whether requests left a tier in this phase. A tier is lost rather than failing
// once none of its boxes accepts connections, which a limiter with little traffic may not notice.
func isTierLeft(phase string) bool { return phase == "failing" || phase == "lost" }

// TestDrill checks that the drill command writes its page and table, and that it rejects bad flags.
func TestDrill(t *testing.T) {
	bin := buildProgram(t)
	page, table := t.TempDir()+"/drill.html", t.TempDir()+"/drill.json"
	out, err := exec.Command(bin, "drill", "--case", "half", "--rule", "tiers,none", "--seeds", "2", "--html", page, "--json", table).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "half  none") {
		t.Errorf("%v\n%s", err, out)
	}
	for _, path := range []string{page, table} {
		if data, err := os.ReadFile(path); err != nil || !strings.Contains(string(data), "half") {
			t.Errorf("%s: %v", path, err)
		}
	}
	for want, args := range map[string][]string{
		`there is no "nix"`:         {"--case", "nix"},
		`there is no "best"`:        {"--rule", "best"},
		"from 1 to 1000":            {"--seeds", "0"},
		"from 12 to 12000":          {"--boxes", "1"},
		"from 2 to 1000":            {"--limiters", "1"},
		"--sockets plays one":       {"--sockets"},
		"played in virtual time":    {"--sockets", "--case", "one-box", "--html", page},
		"no such file or directory": {"--case", "half", "--seeds", "1", "--json", "/nonexistent/x"},
	} {
		out, err := exec.Command(bin, append([]string{"drill"}, args...)...).CombinedOutput()
		if err == nil || !strings.Contains(string(out), want) {
			t.Errorf("%v: %v\n%s", args, err, out)
		}
	}
}
