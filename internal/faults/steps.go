package faults

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"example.org/madderdrum/internal/ownership"
	"example.org/madderdrum/rollout"
)

// owner is who owns the duty, by the limiters that run: the one under the highest epoch.
// Empty: nobody.
func (r *rig) owner() (name string, epoch uint64) { return r.ownerOf(rollout.Duty) }

// ownerOf is who owns a duty.
func (r *rig) ownerOf(duty string) (name string, epoch uint64) {
	for _, p := range r.all {
		if !r.runs(p) {
			continue
		}
		var all []ownership.Owner
		if r.ask(p, "owners", nil, &all) != nil {
			continue
		}
		for _, o := range all {
			if o.Duty == duty && o.Epoch >= epoch && (o.Owner != "" || o.Epoch > epoch) {
				name, epoch = o.Owner, o.Epoch
			}
		}
	}
	return name, epoch
}

// statuses asks each limiter that runs how the fleet stands; nil: it does not answer. Whether
// parts of ceilings were seen to be moved is noted on the way.
func (r *rig) statuses(yield func(*process, *ownership.Status) bool) {
	for _, p := range r.all {
		if !r.runs(p) {
			continue
		}
		s := &ownership.Status{}
		if r.ask(p, "status", nil, s) != nil {
			s = nil
		} else {
			r.result.Moved = max(r.result.Moved, s.Moved)
		}
		if !yield(p, s) {
			return
		}
	}
}

// every tells whether all limiters that run answer, and what they say is so.
func (r *rig) every(so func(*process, *ownership.Status) bool) bool {
	for p, s := range r.statuses {
		if s == nil || !so(p, s) {
			return false
		}
	}
	return true
}

// leader is who leads, by the highest term that a limiter which runs knows.
func (r *rig) leader() (name string) {
	var term uint64
	for _, s := range r.statuses {
		if s != nil && s.Term >= term && (s.Leader != "" || s.Term > term) {
			name, term = s.Leader, s.Term
		}
	}
	return name
}

// planNow is the rollout, by whoever knows the most of it; nil: none is under way.
func (r *rig) planNow() (p *rollout.Plan, known bool) {
	var applied uint64
	for _, s := range r.statuses {
		if s != nil && s.Applied >= applied {
			p, applied, known = s.Rollout, s.Applied, true
		}
	}
	return p, known
}

// over tells whether no rollout is running: there is nothing of it to wait for.
func (r *rig) over() bool {
	p, known := r.planNow()
	return known && (p == nil || p.State != rollout.StateRunning)
}

// which are the limiters that a word means.
func (r *rig) which(ctx context.Context, word string) ([]*process, error) {
	switch word {
	case "all":
		return r.all, nil
	case "owner":
		if word, _ = r.owner(); word == "" {
			word = r.last
		}
	case "leader":
		if err := r.until(ctx, "a leader", func() bool { word = r.leader(); return word != "" }); err != nil {
			return nil, err
		}
	case "watcher", "mates":
		watcher := ""
		if err := r.until(ctx, "one that looks for room-a", func() bool { watcher = r.watcher("room-a"); return watcher != "" }); err != nil {
			return nil, err
		}
		if word == "mates" {
			return slices.DeleteFunc(slices.Clone(r.all), func(p *process) bool { return p.name == watcher || p.n%2 > 0 }), nil
		}
		word = watcher
	case "other":
		o, _ := r.owner()
		l := r.leader()
		for _, p := range r.all {
			if p.name != o && p.name != l && r.runs(p) {
				return []*process{p}, nil
			}
		}
		return nil, errors.New("there is no other limiter")
	}
	i := slices.IndexFunc(r.all, func(p *process) bool { return p.name == word })
	if i < 0 {
		return nil, fmt.Errorf("there is no limiter %q", word)
	}
	return r.all[i : i+1], nil
}

// step carries one step out.
func (r *rig) step(ctx context.Context, s Step) error {
	r.say("%s", s)
	switch s.Verb {
	case "wait":
		return r.wait(ctx, s.Args)
	case "roll":
		return r.roll(ctx, s.Args)
	case "pass":
		d, _ := time.ParseDuration(s.Args[0])
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		return ctx.Err()
	case "heal":
		r.net.set(func(int, int) bool { return true }, func(w *way) { w.cut, w.held, w.messy, w.delay = false, false, false, 0 })
		return nil
	case "news", "away":
		if r.agent == nil {
			return errors.New("there is no discovery: begin the schedule with watch room")
		}
		if s.Verb == "news" {
			return r.tell()
		}
		r.away()
		return nil
	}
	ps, err := r.which(ctx, s.Args[0])
	if err != nil {
		return err
	}
	switch s.Verb {
	case "kill", "stop", "isolate", "hold":
		if name, _ := r.owner(); name != "" { // else nobody who runs knows one yet: it is the one before
			r.last = name
		}
	case "cut", "part", "join":
		to, known := map[string]int{"box": r.boxWay(), "agent": r.boxWay() + 1}[s.Args[1]]
		if !known {
			other, err := r.which(ctx, s.Args[1])
			if err != nil {
				return err
			}
			to = other[0].n
		}
		for _, p := range ps {
			x, y, both := p.n, to, s.Verb == "part"
			r.net.set(func(from, to int) bool { return from == x && to == y || both && from == y && to == x }, func(w *way) { w.cut = s.Verb != "join" })
		}
		return nil
	case "add", "remove", "give", "anew":
		return r.operate(ctx, s.Verb, ps[0])
	}
	if len(ps) == 1 && s.Args[0] != ps[0].name {
		r.say("  %s is %s", s.Args[0], ps[0].name)
	}
	for _, p := range ps {
		if err := r.one(ctx, s, p); err != nil {
			return err
		}
	}
	return nil
}

// one carries a step out on one limiter.
func (r *rig) one(ctx context.Context, s Step, p *process) error {
	switch s.Verb {
	case "kill":
		r.kill(p)
	case "start":
		r.mu.Lock()
		up := p.up
		r.mu.Unlock()
		if !up {
			return r.start(p)
		}
	case "stop":
		r.signal(p, syscall.SIGSTOP)
	case "go":
		r.signal(p, syscall.SIGCONT)
	case "twin":
		cmd := exec.Command(r.o.Program, "serve", p.config, "--limiter", p.name)
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), "another process has it open") {
			return fmt.Errorf("a second process of %s was not turned away: %v: %.300s", p.name, err, out)
		}
		r.say("  turned away: %s", lastLine(string(out)))
	case "stranger":
		return r.stranger(ctx, p)
	case "isolate":
		r.net.set(func(from, to int) bool { return (from == p.n || to == p.n) && max(from, to) < len(r.all) }, func(w *way) { w.cut = true })
	case "delay":
		d, _ := time.ParseDuration(s.Args[1])
		r.net.set(func(from, _ int) bool { return from == p.n }, func(w *way) { w.delay = d })
	case "hold", "release":
		r.net.set(func(from, _ int) bool { return from == p.n }, func(w *way) { w.held = s.Verb == "hold" })
	case "wall":
		return os.WriteFile(p.wall(), []byte(s.Args[1]), 0o600)
	case "mess":
		r.net.set(func(from, _ int) bool { return from == p.n }, func(w *way) { w.messy = true })
	case "disk":
		if s.Args[1] == "torn" { // it ends by it, as if it was killed
			r.mu.Lock()
			p.killed = true
			r.mu.Unlock()
		}
		file := filepath.Join(p.folder, "disk")
		if s.Args[1] == "well" {
			if err := os.Remove(file); err != nil && !os.IsNotExist(err) {
				return err
			}
			return nil
		}
		return os.WriteFile(file, []byte(s.Args[1]), 0o600)
	case "lose":
		return os.RemoveAll(p.folder)
	case "keep":
		p.kept = filepath.Join(r.dir, "kept-"+p.name)
		os.RemoveAll(p.kept)
		return os.CopyFS(p.kept, os.DirFS(p.folder))
	case "restore":
		if p.kept == "" {
			return fmt.Errorf("nothing of %s was kept", p.name)
		}
		if err := os.RemoveAll(p.folder); err != nil {
			return err
		}
		return os.CopyFS(p.folder, os.DirFS(p.kept))
	case "garbage":
		return r.garbage(p)
	}
	return nil
}

// stranger starts a limiter of another fleet on one's addresses, which was given the others'
// by mistake. Nobody of either fleet may be moved by it.
func (r *rig) stranger(ctx context.Context, p *process) error {
	text, err := os.ReadFile(p.config)
	if err != nil {
		return err
	}
	folder := filepath.Join(r.dir, "stranger")
	head, _, _ := strings.Cut(string(text), `fleet "rig"`)
	config := p.config + ".stranger.hcl"
	text = fmt.Appendf([]byte(head), "fleet \"stranger\" {\n folder = %q\n voters = [%q]\n term = %q\n}\n", folder, p.name, r.o.Term)
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	own := p.config
	p.config = config
	err = r.start(p)
	p.config = own
	if err != nil {
		return err
	}
	if err := r.any(ctx, "init", &ownership.Request{Voters: []string{p.name}}, []*process{p}); err != nil {
		return err
	}
	plan := &rollout.Plan{ID: "stranger", Kind: rollout.KindRestart, AtOnce: 1, Fall: 1}
	return r.any(ctx, "roll", &ownership.Request{Plan: plan}, []*process{p})
}

func lastLine(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return lines[len(lines)-1]
}

// garbage sends a limiter's fleet address what is no member's.
func (r *rig) garbage(p *process) error {
	noise := make([]byte, 4096)
	rand.Read(noise)
	for _, b := range [][]byte{noise, []byte("GET / HTTP/1.1\r\n\r\n"), []byte("MDFLEET9"), append([]byte("MDFLEET1"), 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0),
		append([]byte("MDFLEET1"), 0, 0, 0, 4, 1, 2, 3, 4, 'a', 'b', 'c', 'd'), nil} {
		c, err := net.DialTimeout("tcp", p.fleet, time.Second)
		if err != nil {
			return nil // it is down, or on its way back
		}
		c.Write(b)
		c.Close()
	}
	return nil
}

// operate makes an operator's call on whoever takes it.
func (r *rig) operate(ctx context.Context, verb string, p *process) error {
	q := ownership.Request{Limiter: p.name}
	at := r.all
	switch verb {
	case "give":
		verb, q.Duty = "transfer", rollout.Duty
	case "anew":
		verb, q, at = "init", ownership.Request{Anew: true}, []*process{p}
	}
	return r.any(ctx, verb, &q, at)
}

// any makes a call until one limiter says yes.
func (r *rig) any(ctx context.Context, verb string, q *ownership.Request, at []*process) error {
	var last error
	if err := r.until(ctx, "a yes to "+verb, func() bool {
		for _, p := range at {
			if r.runs(p) {
				if last = r.ask(p, verb, q, nil); last == nil {
					return true
				}
			}
		}
		return false
	}); err != nil {
		return fmt.Errorf("%w: %v", err, last)
	}
	return nil
}

func (r *rig) roll(ctx context.Context, args []string) error {
	atOnce := 1
	if len(args) > 1 {
		var err error
		if atOnce, err = strconv.Atoi(args[1]); err != nil {
			return fmt.Errorf("%q is no number", args[1])
		}
	}
	r.rolls++
	p := &rollout.Plan{ID: fmt.Sprint("r", r.rolls), Kind: rollout.Kind(args[0]), AtOnce: atOnce, Fall: 1}
	err := r.any(ctx, "roll", &ownership.Request{Plan: p}, r.all)
	if err != nil && strings.Contains(err.Error(), "wait for it") {
		return nil // the call was lost on its way back, and is obeyed
	}
	return err
}
