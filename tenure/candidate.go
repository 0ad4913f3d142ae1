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
	me     Process
	cfg    Settings
	duties []*seat
	serial uint64
}

// seat is what a candidate knows of one duty.
type seat struct {
	duty   string
	delay  time.Duration // after a term is over, before it asks
	term   Term          // as agreed, as far as it has come here
	seenAt time.Duration // when this term came here as it is: it was not made longer after that
	known  bool
	asked  map[uint64]time.Duration // by serial: when it was asked for, before it was sent
	askAt  time.Duration            // not before
	end    time.Duration            // of its own term
	stop   bool                     // it has stopped and resigns
	gave   bool                     // it gave the present epoch up: others go first
	not    time.Duration            // it does not ask before, unless an operator wants it to
}

// NewCandidate returns the part of one process, a candidate for some duties among so many
// limiters by name. Nothing is known of terms yet: it takes none before it has seen them.
func NewCandidate(me Process, cfg Settings, duties, limiters []string) *Candidate {
	c := &Candidate{me: me, cfg: cfg}
	for _, d := range duties {
		c.duties = append(c.duties, &seat{duty: d, delay: cfg.Stagger * time.Duration(rank(d, me.Limiter, limiters)) / time.Duration(max(1, len(limiters))),
			asked: map[uint64]time.Duration{}})
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
func (c *Candidate) Observe(now time.Duration, r *Registry) {
	for _, s := range c.duties {
		t := Term{Duty: s.duty}
		if x := r.Terms[s.duty]; x != nil {
			t = *x
		}
		changed := !s.known || t.Epoch != s.term.Epoch || t.Serial != s.term.Serial || t.Owner != s.term.Owner
		if t.Epoch != s.term.Epoch { // another term
			s.end, s.stop, s.gave = 0, false, false
		}
		s.gave = s.gave || s.mine(c) && t.Epoch == s.term.Epoch && !t.Owned()
		s.known, s.term = true, t
		if !changed {
			continue
		}
		s.seenAt = now
		if t.Owner != c.me {
			s.end, s.stop = 0, false
			clear(s.asked)
			s.askAt = 0
			continue
		}
		if at, mine := s.asked[t.Serial]; mine {
			s.end = max(s.end, at+c.cfg.Term)
		}
		for n := range s.asked {
			if n <= t.Serial {
				delete(s.asked, n)
			}
		}
	}
}

// Owns tells whether this process may carry out a duty now, and under which token. It has
// to be asked last before each effect: after a pause the answer is another one.
func (c *Candidate) Owns(now time.Duration, duty string) (Token, bool) {
	s := c.seat(duty)
	if s == nil || !s.mine(c) || s.stop || now >= s.end-c.cfg.Guard {
		return Token{}, false
	}
	return Token{duty, s.term.Epoch}, true
}

func (s *seat) mine(c *Candidate) bool { return s.known && s.term.Owner == c.me }

func (c *Candidate) seat(duty string) *seat {
	if i := slices.IndexFunc(c.duties, func(s *seat) bool { return s.duty == duty }); i >= 0 {
		return c.duties[i]
	}
	return nil
}

// Resign stops this process's part in a duty, or in all if it is empty, and gives it up with
// the next Step.
func (c *Candidate) Resign(duty string) {
	for _, s := range c.duties {
		if (duty == "" || s.duty == duty) && s.mine(c) {
			s.stop, s.askAt = true, 0
		}
	}
}

// Abstain has this process not ask for a duty before then, as it could not carry it out. A term
// that it owns goes on; an operator's wish goes before.
func (c *Candidate) Abstain(duty string, until time.Duration) {
	if s := c.seat(duty); s != nil {
		s.not = until
	}
}

// Step returns what is to be proposed now. Proposals may be lost: it asks again.
func (c *Candidate) Step(now time.Duration) (all []Command) {
	for _, s := range c.duties {
		if !s.known || now < s.askAt {
			continue
		}
		cmd := Command{By: c.me, Duty: s.duty, Epoch: s.term.Epoch}
		switch {
		case s.mine(c) && (s.stop || s.term.Next != "" && s.term.Next != c.me.Limiter):
			s.stop = true
			cmd.Kind = Resign
		case s.mine(c) && now < s.end:
			cmd.Kind = Renew
		case s.mine(c):
			// Its own term ran out before a renewal was agreed: it may ask for the duty as any
			// other may, under another epoch.
			fallthrough
		default:
			if now < s.due(c.cfg, c.me.Limiter) {
				continue
			}
			cmd.Kind, cmd.Serial = Take, s.term.Serial
		}
		if cmd.Kind != Resign {
			maps.DeleteFunc(s.asked, func(_ uint64, at time.Duration) bool { return now >= at+c.cfg.Term }) // too old to begin a term
			c.serial++
			cmd.Mine = c.serial
			s.asked[cmd.Mine] = now
		}
		s.askAt = now + c.cfg.renewEvery()
		all = append(all, cmd)
	}
	return all
}

// due is when a duty may be taken.
func (s *seat) due(cfg Settings, me string) time.Duration {
	t := s.seenAt + s.delay
	if s.term.Owned() {
		t += cfg.wait()
	}
	if s.gave || s.term.Next != "" && s.term.Next != me { // for as long it is left to the others, or to whom an operator wants
		t += cfg.Term
	}
	if s.term.Next == me {
		return t - s.delay
	}
	return max(t, s.not)
}

// Until is when this process's term of a duty ends; 0: it owns none.
func (c *Candidate) Until(duty string) time.Duration {
	if s := c.seat(duty); s != nil && s.mine(c) {
		return s.end
	}
	return 0
}

// Wake is when Step has something to do next, if nothing comes before.
func (c *Candidate) Wake(now time.Duration) time.Duration {
	next := now + c.cfg.Term
	for _, s := range c.duties {
		if !s.known {
			continue
		}
		at := s.askAt
		if !s.mine(c) {
			at = max(at, s.due(c.cfg, c.me.Limiter))
		}
		next = min(next, max(now, at))
	}
	return next
}
