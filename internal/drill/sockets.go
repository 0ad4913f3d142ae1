package drill

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/loopback"
	"example.org/madderdrum/internal/status"
	"example.org/madderdrum/internal/world"
)

// Course is what came of a case on sockets.
type Course struct {
	Figures Figures
	// Phases are those that each limiter's tiers were seen in, in their order.
	Phases   [][][]string
	Breaches []string
	played   *played
}

// pool is the configuration's pool with the tiers of a case.
const pool = `
pool "all" {
  members = ["*"]
  tier "near" {
    rank     = 1
    own_room = "yes"
    spill    = "30%"
  }
}
`

// Sockets plays a case in real time on loopback sockets, round a built program that runs
// as madderdrum serve, on the built-in fleet. enough, if set, ends the play early: it is
// told the phases and shares of all limiters' tiers as they are seen.
func Sockets(ctx context.Context, c Case, program string, seed uint64, enough func(at time.Duration, all [][]status.Tier) bool) (*Course, error) {
	if c.Shape != nil {
		return nil, fmt.Errorf("case %s has rooms of its own: it is played in virtual time alone", c.Name)
	}
	c = c.times()
	f, faults, err := c.day(12, 3)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "madderdrum-drill")
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	defer os.RemoveAll(dir)
	over := make(chan struct{})
	l := &looker{dir: dir, program: program, at: make([]string, len(f.Limiters)), course: &Course{Phases: make([][][]string, len(f.Limiters))},
		last: make([][]status.Tier, len(f.Limiters)), series: map[int][]state{}}
	for i := range l.course.Phases {
		l.course.Phases[i] = make([][]string, len(f.Tiers)+1)
	}
	looking, stop := context.WithCancel(ctx)
	defer stop()
	var tasks sync.WaitGroup
	o := loopback.Options{Fleet: f, Seed: seed, Source: world.UntilClosed(world.NewSynthetic(f, seed, c.Length), over), Faults: faults,
		Program: program, Start: l.start, Sample: sampleEvery, PushFor: pushFor, PushMost: mostPush,
		Ready: func(r *loopback.Run) {
			tasks.Go(func() {
				tick := time.NewTicker(seriesMs * time.Millisecond)
				defer tick.Stop()
				for {
					select {
					case <-looking.Done():
						return
					case <-tick.C:
					}
					var now time.Duration
					r.View(func(w *world.World, _ *judge.Judge, at time.Duration) { now = at })
					l.look(looking, now)
					if enough != nil && enough(now, l.last) {
						close(over)
						return
					}
				}
			})
		}}
	res, err := loopback.Play(ctx, o)
	stop()
	tasks.Wait()
	if err = errors.Join(err, ctx.Err()); err != nil {
		return nil, fmt.Errorf("case %s on sockets: %w", c.Name, err)
	}
	for _, b := range res.Judge.Breaches {
		l.course.Breaches = append(l.course.Breaches, b.String())
	}
	l.course.Figures = Figures{Service: res.World.Meter.Figure().Total, Push: res.Judge.MaxColdLoad, Over: pushedOver(res.Judge), Broken: res.Judge.BreachCount(),
		Crossed: float64(res.Counts.CrossRoomAttempts) / float64(max(1, res.Counts.Attempts))}
	l.course.played = &played{world: res.World, length: res.Length, series: l.series, figures: l.course.Figures}
	return l.course, nil
}

// looker starts limiters and asks them for the state of their tiers.
type looker struct {
	dir, program string

	mu sync.Mutex
	at []string // of each limiter's state

	// Of the goroutine that looks:
	course *Course
	last   [][]status.Tier
	series map[int][]state
}

// start starts a limiter by the file that a platform would have given it.
func (l *looker) start(platformFile string, n int) (loopback.Process, error) {
	text, err := loopback.ServeText(platformFile, n)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(l.dir, fmt.Sprintf("n%d.hcl", n))
	if err := os.WriteFile(path, []byte(text+pool), 0o600); err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	cmd := exec.Command(l.program, "serve", path, "--limiter", fmt.Sprint("n", n), "--status", "127.0.0.1:0")
	log, err := cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	p, err := loopback.StartCommand(cmd)
	if err != nil {
		return nil, err
	}
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if before, addr, ok := strings.Cut(lines.Text(), " listen="); ok && strings.Contains(before, "showing the state of tiers") {
				l.mu.Lock()
				l.at[n] = addr
				l.mu.Unlock()
			}
		}
	}()
	return p, nil
}

// look asks each limiter. One that does not answer is away.
func (l *looker) look(ctx context.Context, now time.Duration) {
	for n := range l.last {
		l.mu.Lock()
		addr := l.at[n]
		l.mu.Unlock()
		s, err := ask(ctx, addr)
		if err != nil {
			continue
		}
		l.last[n] = s.Tiers
		seen := state{at: now}
		for k, t := range s.Tiers {
			seen.shares = append(seen.shares, t.Share)
			phases := &l.course.Phases[n][k]
			if len(*phases) == 0 || (*phases)[len(*phases)-1] != t.Phase {
				*phases = append(*phases, t.Phase)
			}
		}
		l.series[n] = append(l.series[n], seen)
	}
}

// ask asks one limiter.
func ask(ctx context.Context, addr string) (s status.State, err error) {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/tiers", nil)
	if err != nil {
		return s, err
	}
	w, err := http.DefaultClient.Do(q)
	if err != nil {
		return s, err
	}
	defer w.Body.Close()
	return s, json.NewDecoder(io.LimitReader(w.Body, 1<<20)).Decode(&s)
}
