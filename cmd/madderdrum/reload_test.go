//go:build !platform

package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/loopback"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/plugin/plugintest"
)

// reloadedLimiter is a `madderdrum serve` process whose configuration file changes during the test.
type reloadedLimiter struct {
	loopback.Process
	cmd  *exec.Cmd
	file string
	log  *reloadLog
	text func(version int) string
}

// reloadLog counts the log lines that report the results of reloads.
type reloadLog struct {
	mu          sync.Mutex
	partialLine string
	applied     int
	kept        int
	unchanged   int
	served      int
	updated     chan struct{}
	tail        []string
}

func (r *reloadLog) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partialLine += string(p)
	for {
		line, after, ok := strings.Cut(r.partialLine, "\n")
		if !ok {
			break
		}
		r.partialLine = after
		if r.tail = append(r.tail, line); len(r.tail) > 10 {
			r.tail = r.tail[1:]
		}
		switch {
		case strings.Contains(line, "the new configuration holds"):
			r.applied++
		case strings.Contains(line, "kept the configuration"):
			r.kept++
		case strings.Contains(line, "it means the same"):
			r.unchanged++
		case strings.Contains(line, "msg=serving"):
			r.served++
		}
	}
	select {
	case r.updated <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (r *reloadLog) count() (all, kept int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applied + r.kept + r.unchanged, r.kept
}

// configVersions are applied in turn: plans and routes change, blocks are inserted so that all
// indexes shift, boxes move between pools, a class, a plan and a plug-in are added and removed,
// and one version is invalid.
var configVersions = []func(routes, rest string) (string, string){
	func(routes, rest string) (string, string) { return routes, rest },
	func(routes, rest string) (string, string) { // replaces the module and changes a plan
		routes = strings.Replace(routes, "first.wasm", "second.wasm", 1)
		return routes, strings.Replace(strings.Replace(rest, `burst        = 7`, `burst = 5`, 1), `"1.4/s"`, `"1.2/s"`, 1)
	},
	func(routes, rest string) (string, string) { // inserts a class and a plan first, so that all indexes shift
		more := "class \"aaa\" {\n share = \"0%\"\n work = \"1ms\"\n aim = \"1s\"\n deadline = \"5s\"\n worth = 1\n repeat = \"unsafe\"\n}\n" +
			"plan \"aaa\" {\n share = \"0%\"\n rate = \"1/s\"\n burst = 9\n}\n"
		return routes, more + rest
	},
	func(routes, rest string) (string, string) { // refers to an unknown pool
		return strings.Replace(routes, `pool = "main"`, `pool = "mian"`, 1), rest
	},
	func(routes, rest string) (string, string) { // moves a box to another pool and changes the attempts of a route
		return strings.Replace(strings.Replace(strings.Replace(routes, `"b3", "b4"`, `"b3"`, 1), `"b0"`, `"b0", "b4"`, 1), "attempts = 2", "attempts = 1", 1), rest
	},
	func(routes, rest string) (string, string) { // removes a plan that many accounts have, whose requests are then refused
		cut, end := strings.Index(rest, `plan "enterprise"`), strings.Index(rest, "\nlimiter")
		routes = routes[strings.Index(routes, "pool"):] // also removes the plug-in
		return routes, rest[:cut] + strings.Replace(rest[end:], "\nlimiter", "\nplan \"gold\" {\n share = \"40%\"\n rate = \"28/s\"\n burst = 70\n}\nlimiter", 1)
	},
	func(routes, rest string) (string, string) { return routes + "# a comment more\n", rest },
}

const reloadRoutes = `
plugin "rule" {
  file  = "first.wasm"
  order = 1
  may   = ["label", "lower"]
}
pool "main" {
  members = ["a*", "b0", "b1", "b2"]
}
pool "reads" {
  members = ["b3", "b4", "b5"]
}
route "all" {
  pool = "main"
  attempts = 2
}
route "reads" {
  path    = "/api"
  methods = ["GET"]
  pool    = "reads"
}
`

// startReloadedLimiter writes the first version of the configuration file and starts the limiter.
func startReloadedLimiter(bin, dir, path string, n int) (*reloadedLimiter, error) {
	whole, err := loopback.ServeText(path, n)
	if err != nil {
		return nil, err
	}
	s := &reloadedLimiter{file: filepath.Join(dir, fmt.Sprintf("n%d.hcl", n)), log: &reloadLog{updated: make(chan struct{}, 1)},
		text: func(version int) string {
			routes, rest := configVersions[version%len(configVersions)](reloadRoutes, whole)
			return routes + rest
		}}
	if err := os.WriteFile(s.file, []byte(s.text(0)), 0o600); err != nil {
		return nil, err
	}
	s.cmd = exec.Command(bin, "serve", s.file, "--limiter", fmt.Sprint("n", n))
	s.cmd.Stderr = s.log
	if s.Process, err = loopback.StartCommand(s.cmd); err != nil {
		return nil, err
	}
	return s, nil
}

// residentKiB returns the resident set size of the process.
func (s *reloadedLimiter) residentKiB(t *testing.T) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		t.Error(err)
		return 0
	}
	_, after, _ := strings.Cut(string(data), "VmRSS:")
	n, err := strconv.Atoi(strings.Fields(after)[0])
	if err != nil {
		t.Error(err)
	}
	return n
}

// TestReloadUnderLoad reloads three limiters a thousand times under load: no request is lost or
// served twice, each is answered once and in time, ceilings hold, and memory use does not grow.
func TestReloadUnderLoad(t *testing.T) {
	bin, dir := buildProgram(t), t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	const (
		reloads = 1000
		// reloadInterval is the shortest time from one reload to the next, so that the load, which lasts as long as they
		// do, asks enough on a fast machine too.
		reloadInterval = 4 * time.Millisecond
	)
	limiters := make([]*reloadedLimiter, 3)
	writeModules(t, dir, map[string]plugintest.Module{"first": plugintest.WithAdvice(advice.Advice{Label: "one", Priority: 0.5}), "second": {Imports: []plugintest.Import{plugintest.Count},
		Advise: plugintest.Join(plugintest.ConstI32(0), plugintest.ConstI32(8), plugintest.ConstF64(1), plugintest.ConstF64(500), plugintest.Call(0), plugintest.Drop, plugintest.None)}})
	f := config.Bluebird()
	over, reloaded := make(chan struct{}), make(chan error, 1)
	var early, late [3]int
	o := loopback.Options{Fleet: f, Seed: 3, Program: bin, Source: world.UntilClosed(world.NewSynthetic(f, 3, time.Hour), over),
		Start: func(config string, n int) (loopback.Process, error) {
			s, err := startReloadedLimiter(bin, dir, config, n)
			limiters[n] = s
			return s, err
		}}
	o.Ready = func(r *loopback.Run) {
		go func() {
			defer close(over)
			reloaded <- func() error {
				begin := time.Now()
				for i := 1; i <= reloads; i++ {
					time.Sleep(time.Until(begin.Add(time.Duration(i) * reloadInterval)))
					for _, s := range limiters {
						if err := os.WriteFile(s.file+"~", []byte(s.text(i)), 0o600); err != nil {
							return err
						}
						if err := os.Rename(s.file+"~", s.file); err != nil {
							return err
						}
						if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
							return err
						}
					}
					for n, s := range limiters {
						for all, _ := s.log.count(); all < i; all, _ = s.log.count() {
							select {
							case <-s.log.updated:
							case <-ctx.Done():
								return fmt.Errorf("limiter %d logged no result of reload %d", n, i)
							}
						}
					}
					if i == reloads/5 || i == reloads {
						for n, s := range limiters {
							early[n], late[n] = late[n], s.residentKiB(t)
						}
					}
				}
				return nil
			}()
		}()
	}
	r, err := loopback.Play(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-reloaded; err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Judge.Breaches {
		t.Error(b)
	}
	for n, s := range limiters {
		all, kept := s.log.count()
		if want := reloads / len(configVersions); all != reloads || kept < want || kept > want+1 {
			t.Errorf("limiter %d: %d reloads, %d kept, want %d kept", n, all, kept, want)
		}
		if late[n] > early[n]*5/4+4096 {
			t.Errorf("limiter %d grew from %d to %d KiB", n, early[n], late[n])
		}
		if len(s.log.tail) > 0 && t.Failed() {
			t.Log(strings.Join(s.log.tail, "\n"))
		}
	}
	m := r.World.Meter
	if m.Total.Asked < 500 || m.Figure().Whole < 0.3 || r.Judge.CheckCounts[judge.CeilingsKept] == 0 {
		t.Errorf("%d asked, service %+v", m.Total.Asked, m.Figure())
	}
	t.Logf("%v: %d asked, service %.3f, memory %v to %v KiB, %v", r.Length.Round(time.Millisecond), m.Total.Asked, m.Figure().Whole, early, late, r.World.Notes)
}
