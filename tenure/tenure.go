// Package tenure decides which limiter owns each duty, a role that one limiter carries out on behalf
// of the whole fleet. A duty has at most one owner at a time, under a lease (a term) that expires by
// itself, with a fencing token that receivers check. The package has no I/O, no goroutines and no
// clock: events and the time are passed in, and commands are returned.
//
// [Registry] is the replicated state. It holds no times, as limiters share no clock. [Candidate]
// is one limiter's view of it: when it may take a duty, when it must renew its term and when it
// must stop. [Fence] is what a receiver remembers to reject former owners.
package tenure

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Token is a fencing token: the term under which an effect is carried out. The epochs of a duty only
// rise, so that a receiver which has seen a higher one recognizes an effect of a former owner.
type Token struct {
	Duty  string
	Epoch uint64
}

// String returns the token as calls carry it, such as rollout/12.
func (t Token) String() string { return t.Duty + "/" + strconv.FormatUint(t.Epoch, 10) }

// ParseToken parses the format of [Token.String].
func ParseToken(s string) (Token, error) {
	slash := strings.LastIndexByte(s, '/')
	if slash <= 0 {
		return Token{}, fmt.Errorf("token %.40q: no duty and epoch: write one as rollout/12", s)
	}
	epoch, err := strconv.ParseUint(s[slash+1:], 10, 64)
	if err != nil || epoch == 0 {
		return Token{}, fmt.Errorf("token %.40q: its epoch is no number above 0", s)
	}
	return Token{s[:slash], epoch}, nil
}

// Process is one run of a limiter: a limiter that restarts under its name is a different process, and
// does not own what the previous one owned.
type Process struct {
	Limiter string
	Start   uint64 // drawn at random at start
}

// Settings are the timing of terms. They must be the same on all limiters of a fleet.
type Settings struct {
	// Term is the duration of a term after it was taken or renewed. The owner counts it from before it
	// sent the proposal.
	Term time.Duration
	// Drift is the largest relative difference in speed between two limiters' clocks. A candidate
	// waits longer than the term by this share.
	Drift float64
	// Guard is how long before the end of its term an owner stops.
	Guard time.Duration
	// Stagger is the time between the first and the last candidate's attempt to take a free duty.
	Stagger time.Duration
}

// DefaultSettings apply where the configuration sets none: an owner that dies is replaced within 2 s.
func DefaultSettings() Settings {
	return Settings{Term: 1600 * time.Millisecond, Drift: 0.01, Guard: 80 * time.Millisecond, Stagger: 200 * time.Millisecond}
}

// Check returns an error that names the first invalid setting.
func (s Settings) Check() error {
	switch {
	case s.Term < 100*time.Millisecond:
		return fmt.Errorf("term %v is too short: at least 100ms", s.Term)
	case s.Drift < 0 || s.Drift > 0.5:
		return fmt.Errorf("drift %g is not between 0 and 0.5", s.Drift)
	case s.Guard < 0 || s.Guard >= s.Term/2:
		return fmt.Errorf("guard %v is not below half of the term of %v", s.Guard, s.Term)
	}
	return nil
}

// takeoverWait is how long a candidate must leave a term alone after it saw it taken or renewed.
func (s Settings) takeoverWait() time.Duration {
	return s.Term + time.Duration(float64(s.Term)*s.Drift)
}

// renewInterval is the time between renewals. It allows for three lost renewals in a row.
func (s Settings) renewInterval() time.Duration { return s.Term / 4 }
