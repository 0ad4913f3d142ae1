// Package shutdown decides how a proxy ends after SIGTERM: for how long it takes requests, and when its
// process may end. It does no I/O and reads no clock: times are handed in.
//
// A proxy that is to end is first taken out of the directory. Clients learn of that when their answers
// run out, and some keep using the connections that they have open until these are closed, so that the end
// of intake is the proxy's to decide. It comes in the first half of the grace period: what has been taken by
// then has the other half to be answered in.
//
// The platform counts the grace period from when it sends SIGTERM, and a process that stands still hears of that
// late. See StallDetector.
package shutdown

import "time"

const (
	// DirectoryMargin is what the proxy's leaving takes to reach the directory at all proxies, beyond the
	// time to live of the directory's answers.
	DirectoryMargin = 500 * time.Millisecond
	// ExitMargin is how long before the end of the grace period, when SIGKILL comes, the process ends by itself.
	ExitMargin = 300 * time.Millisecond
	// answerPart is the part of the grace period, at its end, in which whatever is still in hand is answered: nobody
	// else can tell its client what became of it. It is longer than writing answers takes, as a busy machine may have
	// the process hear SIGTERM late.
	answerPart = 7
	// FlushWithin is how long answers that are given after the exit time may take to be written.
	FlushWithin = 100 * time.Millisecond
	// DefaultGrace is the grace period where the settings name none.
	DefaultGrace = 6 * time.Second
)

// Plan holds the times of one shutdown. All are counted from SIGTERM.
type Plan struct {
	grace time.Duration
	ttl   time.Duration
}

// NewPlan returns the plan for a grace period, 0 being the default one, and for directory answers that
// live for ttl.
func NewPlan(grace, ttl time.Duration) Plan {
	if grace <= 0 {
		grace = DefaultGrace
	}
	return Plan{grace: grace, ttl: ttl}
}

// IntakeEnd is when the proxy stops taking connections and requests: once clients have had the time to
// hear of its leaving, and in the first half of the grace period.
func (p Plan) IntakeEnd() time.Duration {
	return min(p.ttl+DirectoryMargin, p.grace/2)
}

// ExitBy is when the process ends whatever it has in hand.
func (p Plan) ExitBy() time.Duration { return p.grace - min(ExitMargin, p.grace/8) }

// AnswerBy is when whatever is in hand is answered as it stands. It lies in the last sixth of the grace period:
// until then a server that is at work may still answer.
func (p Plan) AnswerBy() time.Duration { return p.grace - p.grace/answerPart }

// Progress is how far a shutdown has come.
type Progress struct {
	Since         time.Duration // SIGTERM
	Requests      int           // in hand
	Connections   int           // of clients, that are open
	PlaceReturned bool          // the control plane knows that the proxy holds nothing any more
	Answered      bool          // what was in hand at the end has been given its answer
	AnsweredFor   time.Duration // how long ago
}

// TakesRequests tells that connections and requests are still taken.
func (p Plan) TakesRequests(at Progress) bool { return at.Since < p.IntakeEnd() }

// Drained tells that nothing is in hand and nothing can come: what the proxy holds may be returned.
func (p Plan) Drained(at Progress) bool { return !p.TakesRequests(at) && at.Requests == 0 }

// MustAnswer tells that what is in hand gets its answer now, whatever it waits for.
func (p Plan) MustAnswer(at Progress) bool { return at.Since >= p.AnswerBy() }

// MayExit tells that the process may end: nothing is left to do, or time is up. It does not stay longer than
// it is of use, as its successor can't start before. One that has stood still until after its exit time still writes
// the answers of what it has in hand.
func (p Plan) MayExit(at Progress) bool {
	if at.Since >= p.ExitBy() {
		return at.Connections == 0 || !at.Answered && at.Requests == 0 || at.Answered && at.AnsweredFor >= FlushWithin
	}
	idle := at.Requests == 0 && at.Connections == 0 && at.PlaceReturned
	return idle && !p.TakesRequests(at)
}

// LookAgain is when to look at the progress anew, after step at most: at the end of the intake just then, so that
// the listener takes no connection that is not served.
func (p Plan) LookAgain(at Progress, step time.Duration) time.Duration {
	if !p.TakesRequests(at) {
		return step
	}
	return min(step, p.IntakeEnd()-at.Since)
}
