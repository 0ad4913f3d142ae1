// Package lifecycle tracks the state of one limiter process from start to stop and derives
// what the process reports and does: the results of /healthz and ready, whether answers close
// their connections, and how long a connection may be idle. It covers drains, handovers to a
// new process and SIGTERM. It does no I/O and reads no clock: callers pass the time.
package lifecycle

import (
	"errors"
	"time"
)

// Phase is a state of the process.
type Phase int

// The phases. A process starts, serves, and may drain and resume any number of times. After
// a handover whose successor fails it returns to serving or draining. Stopping is final.
const (
	Starting Phase = iota
	Serving
	Draining
	HandingOver
	Stopping
)

var phaseNames = [...]string{"starting", "serving", "draining", "handing over", "stopping"}

// String returns the name of the phase for log lines and answers.
func (p Phase) String() string { return phaseNames[p] }

const (
	// FrontReactionTime is how long new connections still arrive after /healthz turns
	// unhealthy: the front load balancer polls ten times a second and acts 0.2 s later.
	FrontReactionTime = 300 * time.Millisecond
	// AcceptAfterStop is how long connections are accepted after SIGTERM: new ones keep
	// arriving for up to 0.4 s.
	AcceptAfterStop = 500 * time.Millisecond
	// unusedTimeout is how long a connection may have no request while clients are being
	// moved away: the first request of a new connection is already on its way.
	unusedTimeout = 250 * time.Millisecond
	// On stop, requests get the longest deadline of a class, but at most maxDeadline, which
	// is the longest one the platform waits for. What is unfinished stopMargin after that is
	// aborted, so that it is answered before SIGKILL.
	maxDeadline = 3 * time.Second
	stopMargin  = 450 * time.Millisecond
)

// Errors that explain why the process is not ready or an operation is not possible.
var (
	ErrStopping    = errors.New("the limiter is stopping")
	ErrHandingOver = errors.New("the limiter is handing over to a new process")
	ErrStarting    = errors.New("the limiter is starting: it knows no servers yet")
)

// Process is the state machine of one limiter process. It is not safe for concurrent use.
type Process struct {
	phase         Phase
	serversKnown  bool // discovery has found a server
	accepting     bool // client connections are accepted
	drainedBefore bool // whether to return to Draining if the handover fails
	prepared      bool // all preparations are done, so that the front may send clients
	phaseStart    time.Time
	stopDeadline  time.Time
}

// Phase returns the current phase.
func (l *Process) Phase() Phase { return l.phase }

// MarkServersKnown records that discovery has found at least one server.
func (l *Process) MarkServersKnown(now time.Time) { l.serversKnown = true; l.startServing(now) }

// MarkAccepting records that client connections are being accepted.
func (l *Process) MarkAccepting(now time.Time) { l.accepting = true; l.startServing(now) }

func (l *Process) startServing(now time.Time) {
	if l.phase == Starting && l.serversKnown && l.accepting {
		l.setPhase(now, Serving)
	}
}

func (l *Process) setPhase(now time.Time, p Phase) { l.phase, l.phaseStart = p, now }

// Ready returns nil if the process accepts clients, or else the reason why not. A draining
// process is ready: which clients it gets is up to its front load balancer.
func (l *Process) Ready() error {
	switch l.phase {
	case Starting:
		return ErrStarting
	case HandingOver:
		return ErrHandingOver
	case Stopping:
		return ErrStopping
	}
	return nil
}

// Prepared records that the limiter is fully prepared. Until then it is not healthy, so that the
// front sends it no clients, but requests that arrive are served.
func (l *Process) Prepared() { l.prepared = true }

// Healthy returns the result of /healthz: whether the front should send clients here.
func (l *Process) Healthy() bool { return l.phase == Serving && l.prepared }

// Drain starts to move clients away. It has no effect on a limiter that is draining already.
func (l *Process) Drain(now time.Time) error { return l.transition(now, Serving, Draining) }

// Resume ends a drain. It has no effect on a limiter that is serving.
func (l *Process) Resume(now time.Time) error { return l.transition(now, Draining, Serving) }

// transition changes the phase if it is from, or returns an error if the process is not ready.
func (l *Process) transition(now time.Time, from, to Phase) error {
	err := l.Ready()
	if err == nil && l.phase == from {
		l.setPhase(now, to)
	}
	return err
}

// HandOver begins a handover to a new process, which accepts all clients from now on.
func (l *Process) HandOver(now time.Time) error {
	if err := l.Ready(); err != nil {
		return err
	}
	l.drainedBefore = l.phase == Draining
	l.setPhase(now, HandingOver)
	return nil
}

// AbortHandover returns to the phase before the handover, as the new process has failed.
func (l *Process) AbortHandover(now time.Time) {
	if l.phase != HandingOver {
		return
	}
	if l.setPhase(now, Serving); l.drainedBefore {
		l.setPhase(now, Draining)
	}
}

// Drained reports whether the process is draining, or was when its handover began.
func (l *Process) Drained() bool {
	return l.phase == Draining || l.phase == HandingOver && l.drainedBefore
}

// Stop enters the final phase. longest is the longest deadline of a class.
func (l *Process) Stop(now time.Time, longest time.Duration) {
	if l.phase == Stopping {
		return
	}
	l.setPhase(now, Stopping)
	l.stopDeadline = now.Add(min(longest, maxDeadline) + stopMargin)
}

// StopDeadline returns the time by which all requests must be finished; zero before Stop.
func (l *Process) StopDeadline() time.Time { return l.stopDeadline }

// ClosesConnections reports whether answers carry Connection: close.
func (l *Process) ClosesConnections() bool { return l.phase > Serving }

// IdleTimeouts returns how long a connection may be idle now: before its first request (fresh) and
// between requests (idle); bounded is false if there is no limit. The result may change within
// a phase, so call it regularly.
func (l *Process) IdleTimeouts(now time.Time) (fresh, idle time.Duration, bounded bool) {
	elapsed := now.Sub(l.phaseStart)
	switch l.phase {
	case Draining:
		// Until the front has reacted, closing a connection could race with a request on it.
		return unusedTimeout, unusedTimeout, elapsed >= FrontReactionTime
	case HandingOver:
		// The new process accepts the clients at once. A connection accepted just before may still
		// get its first request.
		return unusedTimeout, 0, true
	case Stopping:
		return 0, 0, elapsed >= AcceptAfterStop
	}
	return 0, 0, false
}
