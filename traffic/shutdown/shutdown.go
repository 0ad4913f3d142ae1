// Package shutdown decides how a proxy shuts down after SIGTERM: how long it accepts requests and when its
// process may exit. It does no I/O and reads no clock: times are passed in.
//
// A proxy that shuts down is first removed from the directory. Clients learn of that when their cached
// answers expire, and some keep using connections that are already open, so the proxy must end the intake
// itself. It does so within the first half of the grace period, which leaves the other half to answer the
// requests accepted until then.
//
// The platform counts the grace period from when it sends SIGTERM, and a suspended process receives the
// signal late; see StallDetector.
package shutdown

import "time"

const (
	// DirectoryMargin is how long the proxy's removal takes to reach the directories of all proxies, in
	// addition to the time to live of the directory's answers.
	DirectoryMargin = 500 * time.Millisecond
	// ExitMargin is how long before the end of the grace period, when SIGKILL arrives, the process exits by
	// itself.
	ExitMargin = 300 * time.Millisecond
	// answerFraction is the divisor that gives the final part of the grace period: when it begins, all
	// remaining requests are answered, because no one else can tell the clients what became of them. This part
	// is longer than writing the answers takes, because on a busy machine the process may receive SIGTERM
	// late.
	answerFraction = 7
	// FlushTimeout limits how long writing answers may take that were given after the exit time.
	FlushTimeout = 100 * time.Millisecond
	// DefaultGrace is the grace period if the configuration sets none.
	DefaultGrace = 6 * time.Second
)

// Plan holds the deadlines of a shutdown, as durations since SIGTERM.
type Plan struct {
	grace time.Duration
	ttl   time.Duration
}

// NewPlan returns the plan for a grace period (0 for the default) and for directory answers with the given
// time to live.
func NewPlan(grace, ttl time.Duration) Plan {
	if grace <= 0 {
		grace = DefaultGrace
	}
	return Plan{grace: grace, ttl: ttl}
}

// IntakeEnd returns when the proxy stops accepting connections and requests: when clients have had time to
// learn of its removal, but within the first half of the grace period.
func (p Plan) IntakeEnd() time.Duration {
	return min(p.ttl+DirectoryMargin, p.grace/2)
}

// ExitBy returns when the process exits even if requests are in flight.
func (p Plan) ExitBy() time.Duration { return p.grace - min(ExitMargin, p.grace/8) }

// AnswerBy returns when all requests in flight are answered, whatever state they are in. It is in the last
// sixth of the grace period: until then a server that is working may still answer.
func (p Plan) AnswerBy() time.Duration { return p.grace - p.grace/answerFraction }

// Progress is the current state of a shutdown.
type Progress struct {
	Since         time.Duration // since SIGTERM
	Requests      int           // in flight
	Connections   int           // open client connections
	PlaceReturned bool          // the control plane knows that the proxy no longer holds a place
	Answered      bool          // the requests that were in flight at AnswerBy have been answered
	AnsweredFor   time.Duration // time since then
}

// AcceptsRequests reports whether connections and requests are still accepted.
func (p Plan) AcceptsRequests(state Progress) bool { return state.Since < p.IntakeEnd() }

// Drained reports whether no request is in flight and none can arrive, so that the proxy may return its
// place.
func (p Plan) Drained(state Progress) bool { return !p.AcceptsRequests(state) && state.Requests == 0 }

// MustAnswer reports whether requests in flight must be answered now, whatever they are waiting for.
func (p Plan) MustAnswer(state Progress) bool { return state.Since >= p.AnswerBy() }

// MayExit reports whether the process may exit: nothing is left to do, or the time is up. It exits as soon
// as it can, because its successor can't start before. A process that was suspended until after its exit
// time still writes the answers of its requests in flight.
func (p Plan) MayExit(state Progress) bool {
	if state.Since >= p.ExitBy() {
		return state.Connections == 0 || !state.Answered && state.Requests == 0 ||
			state.Answered && state.AnsweredFor >= FlushTimeout
	}
	idle := state.Requests == 0 && state.Connections == 0 && state.PlaceReturned
	return idle && !p.AcceptsRequests(state)
}

// NextCheck returns how long to wait before checking the progress again: step, or less so as to check
// exactly at the end of intake, when the listener must not accept connections that are not served.
func (p Plan) NextCheck(state Progress, step time.Duration) time.Duration {
	if !p.AcceptsRequests(state) {
		return step
	}
	return min(step, p.IntakeEnd()-state.Since)
}
