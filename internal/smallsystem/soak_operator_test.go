package smallsystem

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// stopAndRestart sends a terminating signal to a limiter, and starts it again restartDelay after it has exited.
func (s *soak) stopAndRestart(edge int, sig syscall.Signal, restartDelay time.Duration) {
	name := fmt.Sprintf("edge-%d", edge+1)
	s.mu.Lock()
	process := s.processes[edge]
	if !process.started {
		s.mu.Unlock()
		return
	}
	if !process.sigterm.IsZero() || !process.killed.IsZero() {
		if sig == syscall.SIGKILL && process.killed.IsZero() {
			process.killed = time.Now()
		}
		s.mu.Unlock()
		s.system.Signal(name, sig) // a repeated SIGTERM must have no effect
		s.logEvent("%s gets another %v", name, sig)
		return
	}
	if sig == syscall.SIGTERM {
		process.sigterm = time.Now()
	} else {
		process.killed = time.Now()
	}
	s.mu.Unlock()
	s.logEvent("%s gets %v", name, sig)
	s.system.Signal(name, sig)
	s.recordSignal(process, sig)
	graceTimer := time.AfterFunc(soakGrace, func() { s.killAfterGrace(process) })
	err := s.system.Await(name)
	graceTimer.Stop()
	s.mu.Lock()
	process.ended = time.Now()
	if err == nil && process.graceExpired {
		// It had exited by itself before SIGKILL; the test only noticed its exit late.
		process.graceExpired, process.killed, process.exitSeenLate = false, time.Time{}, true
	}
	killed := !process.killed.IsZero()
	s.endedProcesses = append(s.endedProcesses, process)
	s.mu.Unlock()
	s.logEvent("%s has ended: %v", name, err)
	if err != nil && !killed && s.hadClients(process) {
		s.t.Errorf("%s: %v", name, err)
	}
	s.sleep(restartDelay)
	s.mu.Lock()
	next := &soakProcess{edge: edge, startedAt: time.Now()}
	s.processes[edge] = next
	s.mu.Unlock()
	s.logEvent("%s starts again", name)
	if err := s.system.Restart(name); err != nil {
		s.t.Error(err)
	}
	s.mu.Lock()
	next.started = true
	s.mu.Unlock()
}

// recordSignal records the time after a signal was sent, as the test may stall between choosing and sending it.
func (s *soak) recordSignal(process *soakProcess, sig syscall.Signal) {
	at := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if sig == syscall.SIGTERM {
		process.sigterm = at
	}
}

// hadClients reports whether any client sent a request to the process. A process that gets SIGTERM before it handles
// signals is killed by it at once. That is no failure, because it does not listen before that.
func (s *soak) hadClients(process *soakProcess) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.requestList, func(r *soakRequest) bool { return r.process == process })
}

// killAfterGrace kills a limiter whose grace period is over, as the platform does.
func (s *soak) killAfterGrace(process *soakProcess) {
	name := fmt.Sprintf("edge-%d", process.edge+1)
	s.mu.Lock()
	due := process.ended.IsZero() && process.killed.IsZero()
	if due {
		process.killed, process.graceExpired = time.Now(), true
	}
	s.mu.Unlock()
	if due {
		s.logEvent("%s is killed after its grace period", name)
		s.system.Signal(name, syscall.SIGKILL)
	}
}

// stall stops a limiter with SIGSTOP for some time, to simulate a process that is not scheduled.
func (s *soak) stall(edge int, duration time.Duration) {
	name := fmt.Sprintf("edge-%d", edge+1)
	s.mu.Lock()
	process := s.processes[edge]
	running := process.started && process.ended.IsZero() && process.killed.IsZero()
	if running {
		process.stalls = append(process.stalls, soakStall{from: time.Now()})
	}
	s.mu.Unlock()
	if !running {
		return
	}
	s.logEvent("%s is stopped for %v", name, duration)
	s.system.Signal(name, syscall.SIGSTOP)
	if s.process(edge) == process {
		time.Sleep(duration)
	}
	s.system.Signal(name, syscall.SIGCONT)
	s.mu.Lock()
	process.stalls[len(process.stalls)-1].to = time.Now()
	s.mu.Unlock()
}

// sleep waits for d, or until the test run ends.
func (s *soak) sleep(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

// changeConfiguration applies n configuration changes, one after the other.
func (s *soak) changeConfiguration(n int, gap time.Duration) {
	for range n {
		if s.ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		base := s.version
		s.version++
		version := s.version
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		status, answer, err := s.system.Order(ctx, "POST", "/config/replace", s.soakConfiguration(version, base))
		cancel()
		s.logEvent("configuration version r%d: status %d %s %v", version, status, answer, err)
		if status != 200 {
			s.t.Errorf("configuration version r%d on r%d: status %d %s %v", version, base, status, answer, err)
			return
		}
		s.mu.Lock()
		s.acknowledgedChanges++
		s.mu.Unlock()
		s.sleep(gap)
	}
}

// injectEvents runs the overlapping series of signals, restarts, stalls and changes that the seed determines.
func (s *soak) injectEvents() {
	var all sync.WaitGroup
	startTask := func(f func()) {
		all.Add(1)
		go func() {
			defer all.Done()
			f()
		}()
	}
	startTask(func() { // rolling restarts of all limiters
		for s.ctx.Err() == nil {
			gap := time.Duration(300+s.randomInt(5000)) * time.Millisecond
			first := s.randomInt(s.edges)
			for i := range s.edges {
				restartDelay := time.Duration(s.randomInt(600)) * time.Millisecond
				startTask(func() { s.stopAndRestart((first+i)%s.edges, syscall.SIGTERM, restartDelay) })
				s.sleep(gap)
			}
			s.sleep(time.Duration(2000+s.randomInt(4000)) * time.Millisecond)
		}
	})
	startTask(func() { // SIGHUP with and without changed settings
		for s.ctx.Err() == nil {
			name := fmt.Sprintf("edge-%d", 1+s.randomInt(s.edges))
			if s.randomInt(2) == 0 {
				if err := s.system.TouchSettings(name); err != nil {
					s.t.Error(err)
				}
			}
			s.system.Signal(name, syscall.SIGHUP)
			s.logEvent("%s gets SIGHUP", name)
			s.sleep(time.Duration(200+s.randomInt(3000)) * time.Millisecond)
		}
	})
	startTask(func() {
		for s.ctx.Err() == nil {
			s.sleep(time.Duration(s.randomInt(3000)) * time.Millisecond)
			s.changeConfiguration(1+s.randomInt(4), time.Duration(s.randomInt(700))*time.Millisecond)
		}
	})
	startTask(func() { // restarts of one core machine at a time
		for s.ctx.Err() == nil {
			s.sleep(time.Duration(1000+s.randomInt(6000)) * time.Millisecond)
			name := fmt.Sprintf("core-%d", 1+s.randomInt(coreCount))
			sig := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[s.randomInt(2)]
			s.logEvent("%s gets %v", name, sig)
			s.system.Kill(name, sig)
			if err := s.system.Restart(name); err != nil {
				s.t.Error(err)
			}
			s.logEvent("%s is restarted", name)
			s.sleep(3 * time.Second)
		}
	})
	if s.seed%4 == 0 {
		startTask(func() {
			s.sleep(time.Duration(4000+s.randomInt(12000)) * time.Millisecond)
			s.stopAndRestart(s.randomInt(s.edges), syscall.SIGKILL, 200*time.Millisecond)
		})
	}
	if s.seed%2 == 0 {
		startTask(func() { // stalls of limiters at any time
			for s.ctx.Err() == nil {
				s.sleep(time.Duration(s.randomInt(1500)) * time.Millisecond)
				s.stall(s.randomInt(s.edges), time.Duration(200+s.randomInt(3300))*time.Millisecond)
			}
		})
	}
	if s.seed%5 == 0 {
		startTask(func() { // stop and restart all limiters at once
			sig := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[s.randomInt(2)]
			s.sleep(time.Duration(5000+s.randomInt(10000)) * time.Millisecond)
			for edge := range s.edges {
				restartDelay := time.Duration(s.randomInt(600)) * time.Millisecond
				startTask(func() { s.stopAndRestart(edge, sig, restartDelay) })
			}
		})
	}
	<-s.ctx.Done()
	all.Wait()
}
