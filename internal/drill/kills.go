package drill

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/loopback"
	"example.org/madderdrum/internal/world"
)

// KillReport is what came of killing limiters that keep a memory.
type KillReport struct {
	Kills    int
	Starts   int // lives behind the first of each limiter
	Resumed  int // of them from a snapshot ...
	Quotas   int // ... and with their parts of the ceilings
	Fresh    int // knowingly without one
	Silent   int // killed before they could say
	InUse    int // that found the folder taken: never, as the lock ends with its process
	Passed   int // files that were ignored
	Asked    int
	Service  float64
	Breaches []string
}

// Kills plays the built-in fleet on loopback sockets, round a built program that runs as
// madderdrum serve with a memory, and kills one of its limiters after the other at random
// points: now and then again while it starts, or all at once.
func Kills(ctx context.Context, program string, seed uint64, kills int, progress func(done float64)) (*KillReport, error) {
	f := config.Bluebird()
	r := rand.New(rand.NewPCG(seed, 0x6b696c6c))
	var text strings.Builder
	at, n := time.Second, 0
	kill := func(limiter int, at time.Duration) {
		fmt.Fprintf(&text, "limiter n%d is killed at %s for %s\n", limiter, at.Round(time.Millisecond), (20 * time.Millisecond).String())
		n++
	}
	for n < kills {
		switch x := r.IntN(10); {
		case x == 0 && n+3 <= kills: // all at once
			for k := range f.Limiters {
				kill(k, at)
			}
		case x < 4 && n+2 <= kills: // again while it starts or recovers
			k := r.IntN(len(f.Limiters))
			kill(k, at)
			kill(k, at+time.Duration(30+r.IntN(120))*time.Millisecond)
		default:
			kill(r.IntN(len(f.Limiters)), at)
		}
		at += time.Duration(250+r.IntN(350)) * time.Millisecond
	}
	length := at + time.Second
	faults, err := world.Scenario(f, text.String())
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	dir, err := os.MkdirTemp("", "madderdrum-kills")
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	defer os.RemoveAll(dir)
	k := &killer{dir: dir, program: program, lives: map[int]int{}, report: &KillReport{Kills: n}}
	o := loopback.Options{Fleet: f, Seed: seed, Source: world.NewSynthetic(f, seed, length), Faults: faults, Program: program, Start: k.start}
	if progress != nil {
		last := time.Duration(0)
		o.Watch = func(now time.Duration, _ world.Action) {
			if now > last+time.Second/2 {
				last = now
				progress(min(1, float64(now)/float64(length)))
			}
		}
	}
	res, err := loopback.Play(ctx, o)
	k.readers.Wait()
	if err = errors.Join(err, ctx.Err()); err != nil {
		return nil, fmt.Errorf("killing limiters on sockets: %w", err)
	}
	rep := k.report
	rep.Silent = rep.Starts - rep.Resumed - rep.Fresh - rep.InUse
	rep.Asked, rep.Service = res.World.Meter.Total.Asked, res.World.Meter.Figure().Total
	for _, b := range res.Judge.Breaches {
		rep.Breaches = append(rep.Breaches, b.String())
	}
	return rep, nil
}

// killer starts limiters with a memory and reads their logs.
type killer struct {
	dir, program string
	readers      sync.WaitGroup

	mu     sync.Mutex
	lives  map[int]int
	report *KillReport
}

func (k *killer) start(platformFile string, n int) (loopback.Process, error) {
	text, err := loopback.ServeText(platformFile, n)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(k.dir, fmt.Sprintf("n%d.hcl", n))
	text += fmt.Sprintf("memory {\n folder = %q\n every = \"50ms\"\n}\n", filepath.Join(k.dir, "kept"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	cmd := exec.Command(k.program, "serve", path, "--limiter", fmt.Sprint("n", n))
	log, write, err := os.Pipe() // ours to close: the process may end before all is read
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	cmd.Stderr = write
	p, err := loopback.StartCommand(cmd)
	write.Close()
	if err != nil {
		log.Close()
		return nil, err
	}
	k.mu.Lock()
	first := k.lives[n] == 0
	k.lives[n]++
	if !first {
		k.report.Starts++
	}
	k.mu.Unlock()
	k.readers.Go(func() { k.read(log, first) })
	return p, nil
}

// read counts what a life says of its memory.
func (k *killer) read(log io.ReadCloser, first bool) {
	defer log.Close()
	for lines := bufio.NewScanner(log); lines.Scan(); {
		line := lines.Text()
		k.mu.Lock()
		r := k.report
		switch {
		case strings.Contains(line, "is in use by another process"):
			r.InUse++
		case strings.Contains(line, "ignoring an unusable memory file"):
			r.Passed++
		case first:
		case strings.Contains(line, "resuming from a snapshot"):
			r.Resumed++
			if strings.Contains(line, "quotas=resumed") {
				r.Quotas++
			}
		case strings.Contains(line, "starting fresh"):
			r.Fresh++
		}
		k.mu.Unlock()
	}
}

// Write writes the report as text.
func (r *KillReport) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, `%d kills, %d lives behind them
  %5d resumed from a snapshot, %d of them with their parts of the ceilings
  %5d started fresh, knowingly
  %5d were killed again before they could say
  %5d found their folder in use
  %5d files were ignored as unusable
service %.3f over %d requests, %d rules broken
`, r.Kills, r.Starts, r.Resumed, r.Quotas, r.Fresh, r.Silent, r.InUse, r.Passed, r.Service, r.Asked, len(r.Breaches))
	for i, b := range r.Breaches {
		if i == 10 {
			break
		}
		if err == nil {
			_, err = fmt.Fprintln(w, " ", b)
		}
	}
	return err
}
