package loopback_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/loopback"
	"example.org/madderdrum/internal/world"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "loopback-test-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "madderdrum")
	out, err := exec.Command("go", "build", "-tags", "platform", "-o", program, "example.org/madderdrum/cmd/madderdrum").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// play runs a scenario round the built program.
func play(t *testing.T, seed uint64, length time.Duration, scenario string, change func(*loopback.Options)) *loopback.Result {
	t.Helper()
	f := config.Bluebird()
	faults, err := world.Scenario(f, scenario)
	if err != nil {
		t.Fatal(err)
	}
	o := loopback.Options{Fleet: f, Seed: seed, Faults: faults, Program: program, Sample: time.Second}
	if os.Getenv("LOOPBACK_LOG") != "" {
		o.Log = func(int) *os.File { return os.Stderr }
	}
	if change != nil {
		change(&o)
	}
	if o.Source == nil {
		o.Source = world.NewSynthetic(o.Fleet, seed, length)
	}
	r, err := loopback.Play(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The built program keeps the rules through troubles on its sockets.
func TestProgramKeepsTheRules(t *testing.T) {
	t.Parallel()
	r := play(t, 1, 12*time.Second, `
box a3 hangs from 1s to 2500ms
box b1 fails 60% from 1s to 5s
box a4 garbles 20% from 2s to 5s
box b2 cuts 20% from 2s to 5s
box a5 stalls 15% from 2s to 5s
box b4 halves 15% from 2s to 5s
box a1 drains from 3s to 7s
limiter n2 is killed at 4s for 1s
box b3 is replaced at 5s
room room-b is lost from 6s to 8s silently
limiter n0 loses room room-b from 9s to 10s
`, nil)
	for _, b := range r.Judge.Breaches {
		t.Error(b)
	}
	m := r.World.Meter
	t.Logf("%v: %+v\n%+v\n%+v cpu %v memory %v late %v unstarted %d seen %v", r.Length, m.Figure(), m.Total, r.Counts, r.CPU, r.Memory, r.Late, r.Unstarted, r.Judge.CheckCounts)
	for _, n := range r.World.Notes {
		t.Log(n)
	}
	if m.Total.Asked < 2000 || m.Figure().Whole < 0.4 {
		t.Errorf("service %+v", m.Figure())
	}
	for _, rule := range []judge.Rule{judge.OneAnswer, judge.NothingTwice, judge.DrainsKept, judge.CeilingsKept} {
		if r.Judge.CheckCounts[rule] == 0 {
			t.Errorf("%v was never put to the test", rule)
		}
	}
}

// Events can be waited for: a test acts when something is so, and sees what
// comes of it.
func TestFaultsWhileItRuns(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	acted := make(chan error, 1)
	r := play(t, 3, 4*time.Second, "", func(o *loopback.Options) {
		o.Ready = func(r *loopback.Run) {
			go func() {
				acted <- func() error {
					if err := r.Until(ctx, func(w *world.World, _ *judge.Judge) bool { return w.Boxes[2].Counts.Arrived >= 10 }); err != nil {
						return err
					}
					x, err := world.Scenario(o.Fleet, "box a2 dies at 0s for 500ms")
					if err != nil {
						return err
					}
					r.Inject(x...)
					if err := r.Until(ctx, func(w *world.World, _ *judge.Judge) bool { return w.Boxes[2].Condition() == world.Dead }); err != nil {
						return err
					}
					return r.Until(ctx, func(w *world.World, _ *judge.Judge) bool { return w.Boxes[2].Condition() == world.Running })
				}()
			}()
		}
	})
	if err := <-acted; err != nil {
		t.Error(err)
	}
	if r.Judge.BreachCount() > 0 {
		t.Error(r.Judge.Breaches)
	}
}

// A driver that stands still, here as somebody holds its lock, is not its limiters' fault: answers
// that came meanwhile came in time.
func TestDriverThatStandsStill(t *testing.T) {
	t.Parallel()
	const (
		stands = 300 * time.Millisecond
		every  = 700 * time.Millisecond
	)
	r := play(t, 1, 4*time.Second, "box a1 hangs from 500ms to 3500ms\nbox b1 hangs from 500ms to 3500ms", func(o *loopback.Options) {
		o.Ready = func(r *loopback.Run) {
			go func() {
				for at := time.Duration(0); at < 4*time.Second; at += every {
					time.Sleep(every - stands) // the pause between two stands is the fault that is injected
					r.View(func(*world.World, *judge.Judge, time.Duration) { time.Sleep(stands) })
				}
			}()
		}
	})
	for _, b := range r.Judge.Breaches {
		t.Error(b)
	}
	if r.Judge.CheckCounts[judge.OneAnswer] < 500 {
		t.Errorf("%d taken", r.Judge.CheckCounts[judge.OneAnswer])
	}
}

// A run ends with its context, and leaves nothing behind.
func TestEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	f := config.Bluebird()
	done := make(chan error, 1)
	go func() {
		_, err := loopback.Play(ctx, loopback.Options{Fleet: f, Program: program, Source: world.NewSynthetic(f, 1, time.Hour),
			Ready: func(*loopback.Run) { cancel() }})
		done <- err
	}()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("goes on")
	}
}

// A run that is broken off with requests in hand at hung boxes breaks no rule: its
// clients went away.
func TestBrokenOff(t *testing.T) {
	t.Parallel()
	f := config.Bluebird()
	for i := range f.Classes { // so short that they are over before the limiters have ended
		f.Classes[i].Aim, f.Classes[i].Deadline = 200*time.Millisecond, 250*time.Millisecond
	}
	var hang strings.Builder
	for _, b := range f.Boxes {
		fmt.Fprintf(&hang, "box %s hangs at 0s\n", b.Name)
	}
	faults, err := world.Scenario(f, hang.String())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	waited := make(chan error, 1)
	r, err := loopback.Play(ctx, loopback.Options{Fleet: f, Program: program, Source: world.NewSynthetic(f, 1, time.Hour), Faults: faults,
		Ready: func(r *loopback.Run) {
			go func() {
				waited <- r.Until(ctx, func(w *world.World, _ *judge.Judge) bool { return w.Open() >= 20 })
				cancel()
			}()
		}})
	if err != nil {
		t.Fatal(err)
	}
	if err := <-waited; err != nil {
		t.Error(err)
	}
	if r.Judge.BreachCount() > 0 || r.Judge.CheckCounts[judge.OneAnswer] < 20 {
		t.Errorf("%d taken, breaches %v", r.Judge.CheckCounts[judge.OneAnswer], r.Judge.Breaches)
	}
}

// What can't start is told.
func TestNoProgram(t *testing.T) {
	f := config.Bluebird()
	if _, err := loopback.Play(context.Background(), loopback.Options{Fleet: f, Program: "/nonexistent", Source: world.NewSynthetic(f, 1, time.Second)}); err == nil {
		t.Error("started")
	}
	if _, err := loopback.Play(context.Background(), loopback.Options{Fleet: f, Program: "/bin/false", Source: world.NewSynthetic(f, 1, time.Second)}); err == nil {
		t.Error("a program that ends at once is ready")
	}
}
