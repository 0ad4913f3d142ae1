package loopback

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/limiter"
)

// limiterProcess is one limiter over all its lives.
type limiterProcess struct {
	r      *Run
	n      int
	listen string
	mu     sync.Mutex
	p      Process
	spent  time.Duration
	over   bool
	buried chan struct{} // under the run's lock: closed once a killed life is over
}

func newLimiterProcess(r *Run, n int) (*limiterProcess, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(r.limiterIP(n).String(), "0"))
	if err != nil {
		return nil, fmt.Errorf("loopback: a port for a limiter: %w", err)
	}
	defer ln.Close()
	return &limiterProcess{r: r, n: n, listen: ln.Addr().String()}, nil
}

// startProcess starts a life.
func (l *limiterProcess) startProcess() error {
	r := l.r
	r.mu.Lock()
	data, err := l.config()
	r.mu.Unlock()
	if err != nil {
		return err
	}
	path, err := r.config(l.n, data)
	if err != nil {
		return err
	}
	var p Process
	if r.o.Start != nil {
		p, err = r.o.Start(path, l.n)
	} else {
		p, err = startProgram(r.o.Program, path, r.o.Log, l.n)
	}
	if err != nil {
		return fmt.Errorf("limiter %s: %w", r.o.Fleet.Limiters[l.n].Name, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		p.Kill()
	}
	l.p = p
	return nil
}

// config is what a platform tells a limiter. The run's lock is held.
func (l *limiterProcess) config() ([]byte, error) {
	r := l.r
	var peers []string
	for i, c := range r.relay.conns {
		if i == l.n {
			peers = append(peers, r.relay.own[i].String())
		} else {
			peers = append(peers, c.LocalAddr().String())
		}
	}
	return json.Marshal(map[string]any{
		"name": r.o.Fleet.Limiters[l.n].Name, "listen": l.listen, "discovery": r.agents[l.n].ln.Addr().String(),
		"seed":        strconv.FormatUint(r.o.Seed*1000+uint64(l.n)+uint64(time.Now().UnixNano()), 16),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": r.relay.own[l.n].String(), "peers": peers, "known": r.agents[l.n].whole(),
		"settings": Settings(r.o.Fleet, l.n),
	})
}

// Settings are what the platform's configuration tells a limiter of a fleet, by
// the names of its settings.
func Settings(f *fleet.Fleet, position int) map[string]any {
	s := f.Settings(position)
	classes, plans := []any{}, []any{}
	for i, c := range s.Classes {
		m := map[string]any{"name": f.Classes[i].Name, "promise_ms": c.AimMs, "deadline_ms": c.DeadlineMs, "window_ms": c.WindowMs,
			"importance": c.Worth, "late_share": c.LateShare,
			"idempotency": map[limiter.Repeat]string{limiter.Safe: "read_like", limiter.Keyed: "idempotency_key", limiter.Unsafe: "non_idempotent"}[c.Repeat]}
		if c.Repeat == limiter.Keyed {
			m["group"] = map[limiter.Group]string{limiter.GroupAll: "all", limiter.GroupZone: "zone", limiter.GroupCell: "cell"}[c.Group]
		}
		classes = append(classes, m)
	}
	for i, p := range s.Plans {
		plans = append(plans, map[string]any{"name": f.Plans[i].Name, "per_second": p.Rate, "burst": p.Burst, "at_once": p.AtOnce,
			"cap_rate": p.CeilingRate, "cap_depth": p.CeilingBurst, "price": p.Price, "beyond_earns": p.BeyondEarns, "overrun_cost": p.OverrunCost})
	}
	return map[string]any{
		"position": position, "balancers": s.Balancers, "az": s.Zone, "failure_domains": f.Rooms,
		"caps": map[string]any{"attempts_cap": s.Caps.Attempts, "cancel": s.Caps.Cancel, "peer_messages": s.Caps.Peers, "probes": s.Caps.Probes,
			"retry_after": s.Caps.RetryAfter, "max_retry_after_ms": s.Caps.MaxWaitMs, "connect_timeout_ms": s.Caps.ConnectMs,
			"conn_idle_ms": float64(f.Network.Idle) / float64(time.Millisecond)},
		"invariants":      map[string]any{"cold_share": s.Rules.ColdShare, "cold_ms": s.Rules.ColdMs, "overload_factor": s.Rules.OverloadFactor, "fall_ms": s.Rules.FallMs},
		"family_info":     map[string]any{"peer_in_per_s": s.PeerInPerS, "units_top": f.MaxUnits()},
		"prices":          map[string]any{"cross_zone": s.CrossPrice},
		"request_classes": classes, "packages": plans,
	}
}

// pollEvery is the pause between two questions whether a limiter is ready.
const pollEvery = 5 * time.Millisecond

// ready waits until the limiter answers GET /healthz with 200.
func (l *limiterProcess) ready(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		l.mu.Lock()
		p := l.p
		l.mu.Unlock()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.listen+"/healthz", nil)
		if err != nil {
			return fmt.Errorf("loopback: %w", err)
		}
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		t := time.NewTimer(pollEvery)
		select {
		case <-ctx.Done():
			t.Stop()
			return fmt.Errorf("limiter %s is not ready: %w", l.r.o.Fleet.Limiters[l.n].Name, ctx.Err())
		case <-p.Done():
			t.Stop()
			return fmt.Errorf("limiter %s ended before it was ready; see its log", l.r.o.Fleet.Limiters[l.n].Name)
		case <-t.C:
		}
	}
}

func (l *limiterProcess) process() Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.p
}

func (l *limiterProcess) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.p != nil {
		l.p.Kill()
	}
}

func (l *limiterProcess) stopGently() {
	if p := l.process(); p != nil {
		p.Stop()
	}
}

// killed kills the process and has the judge hear of its end. A killed process goes on
// taking connections until the system has come to end it, and what it takes meanwhile
// dies with it: without the second word those tries would count as left without an
// answer by a limiter that was alive. The run's lock is held.
func (l *limiterProcess) killed() {
	l.kill()
	p := l.process()
	if p == nil {
		return
	}
	buried := make(chan struct{})
	l.buried = buried
	l.r.tasks.Go(func() {
		<-p.Done()
		l.r.mu.Lock()
		defer l.r.mu.Unlock()
		l.r.j.LimiterKilled(l.r.now(), l.n)
		close(buried)
	})
}

// restart begins a new life once the one before has ended, and the judge has heard so.
// The run's lock is held.
func (l *limiterProcess) restart() {
	buried := l.buried
	l.buried = nil
	l.r.tasks.Go(func() {
		if p := l.process(); p != nil {
			p.Kill()
			<-p.Done()
			l.account(p)
		}
		if buried != nil {
			<-buried
		}
		ctx, cancel := context.WithTimeout(l.r.ctx, readyTime)
		defer cancel()
		if l.startProcess() != nil || l.ready(ctx) != nil {
			return // the front goes on without it, as with one that can't start
		}
		l.r.mu.Lock()
		defer l.r.mu.Unlock()
		l.r.w.LimiterUp(l.n)
	})
}

// endTime is how long a limiter may take to end in good order.
const endTime = 5 * time.Second

// finish ends the last life in good order.
func (l *limiterProcess) finish() {
	l.mu.Lock()
	l.over = true
	p := l.p
	l.mu.Unlock()
	if p == nil {
		return
	}
	p.Stop()
	t := time.NewTimer(endTime)
	defer t.Stop()
	select {
	case <-p.Done():
	case <-t.C:
		p.Kill()
		<-p.Done()
	}
	l.account(p)
}

// wait waits for the end of a life that was killed.
func (l *limiterProcess) wait() {
	if p := l.process(); p != nil {
		<-p.Done()
	}
}

// account adds the CPU of a life that has ended.
func (l *limiterProcess) account(p Process) {
	if c, ok := p.(*command); ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.spent += c.cmd.ProcessState.UserTime() + c.cmd.ProcessState.SystemTime()
	}
}

func (l *limiterProcess) cpu() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.spent
}

// memory is the resident memory of the process, as far as the system tells.
func (l *limiterProcess) memory() int64 {
	c, ok := l.process().(*command)
	if !ok {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// command is a process of the real program.
type command struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func startProgram(program, config string, log func(int) *os.File, n int) (Process, error) {
	cmd := exec.Command(program)
	cmd.Env = []string{"NODE_CONFIG=" + config}
	if log != nil {
		cmd.Stderr = log(n)
	}
	return StartCommand(cmd)
}

// StartCommand starts a command as a limiter's process, which is killed with this one.
func StartCommand(cmd *exec.Cmd) (Process, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing is left behind
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting the program: %w", err)
	}
	c := &command{cmd, make(chan struct{})}
	go func() {
		cmd.Wait() // how it ended shows in ProcessState
		close(c.done)
	}()
	return c, nil
}

func (c *command) Done() <-chan struct{} { return c.done }
func (c *command) Kill()                 { c.signal(syscall.SIGKILL) }
func (c *command) Stop()                 { c.signal(syscall.SIGTERM) }

func (c *command) signal(s os.Signal) {
	if err := c.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		c.cmd.Process.Kill()
	}
}
