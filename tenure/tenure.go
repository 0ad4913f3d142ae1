// Package tenure decides who owns the duties that limiters carry out on behalf of their
// whole fleet: one owner of each at a time, under terms that end by themselves, with a
// fencing token that receivers check. It has no input or output, no goroutines and no
// clock: events go in with the time, commands come out.
//
// [Registry] is the state that all limiters agree on; it holds no times, as no two
// limiters share a clock. [Candidate] is one limiter's own view of it: when it may take a
// duty, renews its term, and has to stop. [Fence] is what a receiver remembers.
package tenure

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Token says under which term an effect is carried out. Epochs of a duty only rise, so
// that a receiver which has seen a higher one knows an effect of a former owner.
type Token struct {
	Duty  string
	Epoch uint64
}

// String is the token as calls carry it, such as rollout/12.
func (t Token) String() string { return t.Duty + "/" + strconv.FormatUint(t.Epoch, 10) }

// ParseToken reads what [Token.String] writes.
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

// Process is one run of a limiter's program: a limiter that starts again under its name is
// another process, and does not own what the one before it did.
type Process struct {
	Limiter string
	Start   uint64 // drawn at random when it starts
}

// Settings are those of terms; all limiters of a fleet must have the same.
type Settings struct {
	// Term is how long a term lasts after it was taken or renewed, counted by its owner
	// from before it asked.
	Term time.Duration
	// Drift is how much faster or slower one limiter's clock may run than another's, as a
	// share. A candidate waits by so much longer than the term.
	Drift float64
	// Guard is how long before its term's end an owner stops.
	Guard time.Duration
	// Stagger is the time between the first and the last candidate of a duty that nobody owns.
	Stagger time.Duration
}

// DefaultSettings hold where the configuration names none: an owner that dies is followed
// within 2 s.
func DefaultSettings() Settings {
	return Settings{Term: 1600 * time.Millisecond, Drift: 0.01, Guard: 80 * time.Millisecond, Stagger: 200 * time.Millisecond}
}

// Check returns an error that names the setting that makes no sense.
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

// wait is how long a candidate leaves a term alone that it sees as renewed just now.
func (s Settings) takeoverWait() time.Duration {
	return s.Term + time.Duration(float64(s.Term)*s.Drift)
}

// renewEvery is how often an owner renews: three renewals in a row may be lost.
func (s Settings) renewInterval() time.Duration { return s.Term / 4 }
