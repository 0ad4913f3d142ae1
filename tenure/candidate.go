package tenure

import (
	"maps"
	"slices"
	"time"

	"example.org/madderdrum/peering"
)

// Candidate is one process's view of the duties: which it owns and until when, and when it may take
// one. Times are of the process's own monotonic clock, which must keep running while the machine is
// suspended. It is not safe for concurrent use.
type Candidate struct {
	self       Process
	settings   Settings
	duties     []*dutyState
	lastSerial uint64
}

// dutyState is what a candidate knows of one duty.
type dutyState struct {
	duty         string
	stagger      time.Duration // extra delay before it takes a duty after a term is over
	term         Term          // the replicated term, as far as this process has seen it
	changedAt    time.Duration // when this process saw the term change last; it was not renewed after that
	known        bool
	proposedAt   map[uint64]time.Duration // by serial: the time before the proposal was sent
	nextProposal time.Duration            // no proposal before this time
	termEnd      time.Duration            // end of its own term
	resigning    bool                     // it has stopped and will resign
	gaveUp       bool                     // it gave up the current epoch: other candidates go first
	abstainUntil time.Duration            // it does not take the duty before, unless an operator requests it
}

// NewCandidate returns a candidate for the given duties, of a process among the named limiters. It
// takes no duty before it has observed the replicated terms.
func NewCandidate(self Process, settings Settings, duties, limiters []string) *Candidate {
	c := &Candidate{self: self, settings: settings}
	for _, d := range duties {
		c.duties = append(c.duties, &dutyState{duty: d, stagger: settings.Stagger * time.Duration(rank(d, self.Limiter, limiters)) / time.Duration(max(1, len(limiters))),
			proposedAt: map[uint64]time.Duration{}})
	}
	return c
}

// rank returns a limiter's place in the order in which candidates take a duty. The order differs by
// duty, so that each has another first candidate, and a candidate that is gone costs one step only.
func rank(duty, limiter string, limiters []string) int {
	if i := slices.Index(peering.Order(duty, limiters), limiter); i >= 0 {
		return i
	}
	return len(limiters)
}

// Observe processes the replicated state as this process has just received it.
func (c *Candidate) Observe(now time.Duration, registry *Registry) {
	for _, s := range c.duties {
		agreedTerm := Term{Duty: s.duty}
		if entry := registry.Terms[s.duty]; entry != nil {
			agreedTerm = *entry
		}
		changed := !s.known || agreedTerm.Epoch != s.term.Epoch || agreedTerm.Serial != s.term.Serial || agreedTerm.Owner != s.term.Owner
		if agreedTerm.Epoch != s.term.Epoch { // another term
			s.termEnd, s.resigning, s.gaveUp = 0, false, false
		}
		s.gaveUp = s.gaveUp || s.own(c) && agreedTerm.Epoch == s.term.Epoch && !agreedTerm.Owned()
		s.known, s.term = true, agreedTerm
		if !changed {
			continue
		}
		s.changedAt = now
		if agreedTerm.Owner != c.self {
			s.termEnd, s.resigning = 0, false
			clear(s.proposedAt)
			s.nextProposal = 0
			continue
		}
		if proposed, own := s.proposedAt[agreedTerm.Serial]; own {
			s.termEnd = max(s.termEnd, proposed+c.settings.Term)
		}
		for serial := range s.proposedAt {
			if serial <= agreedTerm.Serial {
				delete(s.proposedAt, serial)
			}
		}
	}
}

// Owns reports whether this process may carry out a duty now, and under which token. It must be the
// last check before each effect, as the answer may change during any pause.
func (c *Candidate) Owns(now time.Duration, duty string) (Token, bool) {
	s := c.dutyState(duty)
	if s == nil || !s.own(c) || s.resigning || now >= s.termEnd-c.settings.Guard {
		return Token{}, false
	}
	return Token{duty, s.term.Epoch}, true
}

// own reports whether the duty's term belongs to this process.
func (s *dutyState) own(c *Candidate) bool { return s.known && s.term.Owner == c.self }

func (c *Candidate) dutyState(duty string) *dutyState {
	if i := slices.IndexFunc(c.duties, func(s *dutyState) bool { return s.duty == duty }); i >= 0 {
		return c.duties[i]
	}
	return nil
}

// Resign stops this process's ownership of a duty, or of all duties if duty is empty. The next Step
// proposes to give it up.
func (c *Candidate) Resign(duty string) {
	for _, s := range c.duties {
		if (duty == "" || s.duty == duty) && s.own(c) {
			s.resigning, s.nextProposal = true, 0
		}
	}
}

// Abstain keeps this process from taking a duty before until, as it could not carry it out. A term that
// it owns continues, and a request of an operator takes precedence.
func (c *Candidate) Abstain(duty string, until time.Duration) {
	if s := c.dutyState(duty); s != nil {
		s.abstainUntil = until
	}
}

// Step returns the commands to propose now. Proposals may be lost: it repeats them.
func (c *Candidate) Step(now time.Duration) (commands []Command) {
	for _, s := range c.duties {
		if !s.known || now < s.nextProposal {
			continue
		}
		command := Command{By: c.self, Duty: s.duty, Epoch: s.term.Epoch}
		switch {
		case s.own(c) && (s.resigning || s.term.Next != "" && s.term.Next != c.self.Limiter):
			s.resigning = true
			command.Kind = Resign
		case s.own(c) && now < s.termEnd:
			command.Kind = Renew
		case s.own(c):
			// Its own term expired before a renewal was agreed on: it may take the duty like any other
			// candidate, under a new epoch.
			fallthrough
		default:
			if now < s.earliestTake(c.settings, c.self.Limiter) {
				continue
			}
			command.Kind, command.Serial = Take, s.term.Serial
		}
		if command.Kind != Resign {
			maps.DeleteFunc(s.proposedAt, func(_ uint64, at time.Duration) bool { return now >= at+c.settings.Term }) // too old to start a term
			c.lastSerial++
			command.Mine = c.lastSerial
			s.proposedAt[command.Mine] = now
		}
		s.nextProposal = now + c.settings.renewInterval()
		commands = append(commands, command)
	}
	return commands
}

// earliestTake returns when this process may take a duty.
func (s *dutyState) earliestTake(settings Settings, self string) time.Duration {
	earliest := s.changedAt + s.stagger
	if s.term.Owned() {
		earliest += settings.takeoverWait()
	}
	if s.gaveUp || s.term.Next != "" && s.term.Next != self { // leave it to the others, or to the limiter that an operator requested
		earliest += settings.Term
	}
	if s.term.Next == self {
		return earliest - s.stagger
	}
	return max(earliest, s.abstainUntil)
}

// TermEnd returns when this process's term of a duty ends; 0: it owns none.
func (c *Candidate) TermEnd(duty string) time.Duration {
	if s := c.dutyState(duty); s != nil && s.own(c) {
		return s.termEnd
	}
	return 0
}

// NextWake returns when Step next has something to do if nothing happens before.
func (c *Candidate) NextWake(now time.Duration) time.Duration {
	wake := now + c.settings.Term
	for _, s := range c.duties {
		if !s.known {
			continue
		}
		at := s.nextProposal
		if !s.own(c) {
			at = max(at, s.earliestTake(c.settings, c.self.Limiter))
		}
		wake = min(wake, max(now, at))
	}
	return wake
}
