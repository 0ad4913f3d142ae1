package tenure

import (
	"maps"
	"slices"
	"time"

	"example.org/madderdrum/peering"
)

// Candidate is one process's part in the duties: which it owns and until when, and when it
// may take one. Times are of the process's own monotonic clock, which must go on while the
// machine is suspended. It is not safe for concurrent use.
type Candidate struct {
	self       Process
	settings   Settings
	duties     []*dutyState
	lastSerial uint64
}

// seat is what a candidate knows of one duty.
type dutyState struct {
	duty         string
	stagger      time.Duration // after a term is over, before it asks
	term         Term          // as agreed, as far as it has come here
	changedAt    time.Duration // when this term came here as it is: it was not made longer after that
	known        bool
	proposedAt   map[uint64]time.Duration // by serial: when it was asked for, before it was sent
	nextProposal time.Duration            // not before
	termEnd      time.Duration            // of its own term
	resigning    bool                     // it has stopped and resigns
	gaveUp       bool                     // it gave the present epoch up: others go first
	abstainUntil time.Duration            // it does not ask before, unless an operator wants it to
}

// NewCandidate returns the part of one process, a candidate for some duties among so many
// limiters by name. Nothing is known of terms yet: it takes none before it has seen them.
func NewCandidate(self Process, settings Settings, duties, limiters []string) *Candidate {
	c := &Candidate{self: self, settings: settings}
	for _, d := range duties {
		c.duties = append(c.duties, &dutyState{duty: d, stagger: settings.Stagger * time.Duration(rank(d, self.Limiter, limiters)) / time.Duration(max(1, len(limiters))),
			proposedAt: map[uint64]time.Duration{}})
	}
	return c
}

// rank is a limiter's place in the order in which they ask for a duty, so that duties have
// different first candidates, and one that is gone costs a step alone.
func rank(duty, limiter string, limiters []string) int {
	if i := slices.Index(peering.Order(duty, limiters), limiter); i >= 0 {
		return i
	}
	return len(limiters)
}

// Observe takes in what is agreed, as it has come to this process just now.
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

// Owns tells whether this process may carry out a duty now, and under which token. It has
// to be asked last before each effect: after a pause the answer is another one.
func (c *Candidate) Owns(now time.Duration, duty string) (Token, bool) {
	s := c.dutyState(duty)
	if s == nil || !s.own(c) || s.resigning || now >= s.termEnd-c.settings.Guard {
		return Token{}, false
	}
	return Token{duty, s.term.Epoch}, true
}

func (s *dutyState) own(c *Candidate) bool { return s.known && s.term.Owner == c.self }

func (c *Candidate) dutyState(duty string) *dutyState {
	if i := slices.IndexFunc(c.duties, func(s *dutyState) bool { return s.duty == duty }); i >= 0 {
		return c.duties[i]
	}
	return nil
}

// Resign stops this process's part in a duty, or in all if it is empty, and gives it up with
// the next Step.
func (c *Candidate) Resign(duty string) {
	for _, s := range c.duties {
		if (duty == "" || s.duty == duty) && s.own(c) {
			s.resigning, s.nextProposal = true, 0
		}
	}
}

// Abstain has this process not ask for a duty before then, as it could not carry it out. A term
// that it owns goes on; an operator's wish goes before.
func (c *Candidate) Abstain(duty string, until time.Duration) {
	if s := c.dutyState(duty); s != nil {
		s.abstainUntil = until
	}
}

// Step returns what is to be proposed now. Proposals may be lost: it asks again.
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
			// Its own term ran out before a renewal was agreed: it may ask for the duty as any
			// other may, under another epoch.
			fallthrough
		default:
			if now < s.earliestTake(c.settings, c.self.Limiter) {
				continue
			}
			command.Kind, command.Serial = Take, s.term.Serial
		}
		if command.Kind != Resign {
			maps.DeleteFunc(s.proposedAt, func(_ uint64, at time.Duration) bool { return now >= at+c.settings.Term }) // too old to begin a term
			c.lastSerial++
			command.Mine = c.lastSerial
			s.proposedAt[command.Mine] = now
		}
		s.nextProposal = now + c.settings.renewInterval()
		commands = append(commands, command)
	}
	return commands
}

// due is when a duty may be taken.
func (s *dutyState) earliestTake(settings Settings, self string) time.Duration {
	earliest := s.changedAt + s.stagger
	if s.term.Owned() {
		earliest += settings.takeoverWait()
	}
	if s.gaveUp || s.term.Next != "" && s.term.Next != self { // for as long it is left to the others, or to whom an operator wants
		earliest += settings.Term
	}
	if s.term.Next == self {
		return earliest - s.stagger
	}
	return max(earliest, s.abstainUntil)
}

// Until is when this process's term of a duty ends; 0: it owns none.
func (c *Candidate) Until(duty string) time.Duration {
	if s := c.dutyState(duty); s != nil && s.own(c) {
		return s.termEnd
	}
	return 0
}

// Wake is when Step has something to do next, if nothing comes before.
func (c *Candidate) Wake(now time.Duration) time.Duration {
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
