package paxos

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// The model: proposers change one register, each by appending its own letter, and one acceptor may lose
// its disk. Schedules differ in the order in which messages arrive and in when the disk is lost. A state
// consists of the acceptors' records, the proposers' rounds and the messages in flight.

// inFlight is a request on its way from a proposer to an acceptor.
type inFlight struct {
	from, to int
	prepare  bool
	ballot   Ballot
	value    string
}

type state struct {
	names     []string
	acceptors []Acceptor
	rounds    []*Round
	chosen    []string // by proposer; "" if none
	inFlight  []inFlight
	lostDisk  int // the acceptor whose disk was lost and replaced; -1 if none
}

func newState(acceptorCount, proposerCount int) *state {
	s := &state{acceptors: make([]Acceptor, acceptorCount), chosen: make([]string, proposerCount), lostDisk: -1}
	for i := range acceptorCount {
		s.names = append(s.names, string(rune('0'+i)))
	}
	for i := range proposerCount {
		r := NewRound(Ballot{Number: uint64(1 + i), Node: uint64(1 + i)}, s.names)
		s.rounds = append(s.rounds, r)
		for k := range acceptorCount {
			s.inFlight = append(s.inFlight, inFlight{i, k, true, r.Ballot, ""})
		}
	}
	return s
}

func (s *state) clone() *state {
	c := &state{names: s.names, acceptors: slices.Clone(s.acceptors), chosen: slices.Clone(s.chosen), inFlight: slices.Clone(s.inFlight), lostDisk: s.lostDisk}
	for _, r := range s.rounds {
		round := *r
		round.promised, round.voted = maps.Clone(r.promised), maps.Clone(r.voted)
		c.rounds = append(c.rounds, &round)
	}
	return c
}

func (s *state) key() string {
	text := fmt.Sprint(s.acceptors, s.chosen, s.lostDisk)
	for _, r := range s.rounds {
		text += fmt.Sprint(r.phase, r.promised, r.voted, r.newest)
	}
	for _, m := range s.inFlight {
		text += fmt.Sprint(m)
	}
	return text
}

// Deliberate violations of the protocol, which the invariants must detect.
const (
	reusesIdentity     = "keeps the identity of its lost disk with an empty disk"
	ignoresAccepted    = "ignores accepted values"
	acceptsSingleReply = "treats one reply as a majority"
	lowersPromise      = "lowers its promise when it learns an older value"
)

// newDisk identifies the disk that replaces a lost one.
const newDisk = 7

// voter returns the voter that an acceptor's reply counts for.
func (s *state) voter(k int, reply Reply) string {
	if reply.Disk == newDisk {
		return s.names[k] + "/new"
	}
	return s.names[k]
}

// deliver carries one request to its acceptor and the reply back to the proposer.
func (s *state) deliver(k int, broken string) {
	m := s.inFlight[k]
	s.inFlight = slices.Delete(s.inFlight, k, k+1)
	r := s.rounds[m.from]
	if broken == acceptsSingleReply {
		r.voterSets = [][]string{{s.names[m.to]}}
	}
	if !m.prepare {
		reply, _ := s.acceptors[m.to].Accept(Accept{m.ballot, []byte(m.value)})
		if r.HandleVote(s.voter(m.to, reply), reply) {
			s.chosen[m.from] = m.value
		}
		return
	}
	reply, _ := s.acceptors[m.to].Prepare(Prepare{Ballot: m.ballot})
	if !r.HandlePromise(s.voter(m.to, reply), reply) {
		return
	}
	_, value := r.NewestAccepted()
	if broken == ignoresAccepted {
		value = nil
	}
	next := string(value) + string(rune('a'+m.from))
	for i := range s.acceptors {
		s.inFlight = append(s.inFlight, inFlight{m.from, i, false, m.ballot, next})
	}
}

// next returns all states that can follow this one. With loses a disk may be lost.
func (s *state) next(broken string, loses bool) (states []*state) {
	for k := range s.inFlight {
		c := s.clone()
		c.deliver(k, broken)
		states = append(states, c)
	}
	if s.lostDisk == -1 && loses {
		for k := range s.acceptors {
			c := s.clone()
			c.acceptors[k] = Acceptor{Record{Disk: newDisk}}
			if broken == reusesIdentity {
				c.acceptors[k] = Acceptor{}
			}
			c.lostDisk = k
			states = append(states, c)
		}
	}
	// Proposers announce chosen values to acceptors, which store them.
	for i, value := range s.chosen {
		for k := range s.acceptors {
			if value == "" {
				continue
			}
			c := s.clone()
			if !c.acceptors[k].Learn(c.rounds[i].Ballot, []byte(value)) {
				continue
			}
			if broken == lowersPromise {
				c.acceptors[k].Record.Promised = c.rounds[i].Ballot
			}
			states = append(states, c)
		}
	}
	return states
}

// checkInvariants returns an error if two values are chosen of which neither builds on the other, or if
// some majority would not report a chosen value to a later round.
func (s *state) checkInvariants() error {
	for i, a := range s.chosen {
		for _, b := range s.chosen[:i] {
			if a != "" && b != "" && !bytes.HasPrefix([]byte(a), []byte(b)) && !bytes.HasPrefix([]byte(b), []byte(a)) {
				return fmt.Errorf("%q and %q are both chosen", a, b)
			}
		}
	}
	for mask := range 1 << len(s.acceptors) {
		r := NewRound(Ballot{Number: 99}, s.names)
		ready := false
		for k := range s.acceptors {
			if mask>>k&1 == 1 && !ready {
				a := s.acceptors[k]
				reply, _ := a.Prepare(Prepare{Ballot: r.Ballot})
				ready = r.HandlePromise(s.voter(k, reply), reply)
			}
		}
		if _, value := r.NewestAccepted(); ready {
			for _, c := range s.chosen {
				if c != "" && !bytes.HasPrefix(value, []byte(c)) {
					return fmt.Errorf("%q is chosen but acceptors %b report %q", c, mask, value)
				}
			}
		}
	}
	return nil
}

// explore visits every reachable state. It returns their number, or the first violated invariant.
func explore(s *state, broken string, loses bool) (int, error) {
	seen := map[string]bool{s.key(): true}
	for queue := []*state{s}; len(queue) > 0; queue = queue[1:] {
		for _, c := range queue[0].next(broken, loses) {
			if k := c.key(); !seen[k] {
				if err := c.checkInvariants(); err != nil {
					return len(seen), err
				}
				seen[k] = true
				queue = append(queue, c)
			}
		}
	}
	return len(seen), nil
}

// Explores every order of messages between two proposers and three acceptors.
func TestEveryOrderOfTwoProposers(t *testing.T) {
	n, err := explore(newState(3, 2), "", false)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d states", n)
}

// randomWalk runs random schedules with a lost disk and returns the first violated invariant.
func randomWalk(acceptors, proposers int, seeds uint64, broken string) error {
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := newState(acceptors, proposers)
		for {
			states := s.next(broken, rng.IntN(12) == 0)
			if len(states) == 0 {
				break
			}
			s = states[rng.IntN(len(states))]
			if err := s.checkInvariants(); err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
		}
	}
	return nil
}

// A disk is lost at any point, with three and with five acceptors. The machine is then a different voter,
// so the promises and votes of its lost disk are not counted for the new one.
func TestLostDisk(t *testing.T) {
	for _, n := range []int{3, 5} {
		if err := randomWalk(n, 2, 3000, ""); err != nil {
			t.Errorf("%d acceptors: %v", n, err)
		}
	}
}

// Each deliberate violation is detected, so the invariants are strong enough.
func TestBrokenRulesAreFound(t *testing.T) {
	for _, test := range []struct {
		broken    string
		proposers int
	}{{reusesIdentity, 2}, {ignoresAccepted, 2}, {acceptsSingleReply, 2}, {lowersPromise, 3}} {
		if randomWalk(3, test.proposers, 20000, test.broken) == nil {
			t.Errorf("no violation is detected when a machine %s", test.broken)
		}
	}
}

// A confirmation needs a majority of each voter set that has accepted nothing newer.
func TestConfirmation(t *testing.T) {
	known, newer := Ballot{Number: 5}, Ballot{Number: 6}
	old, now := []string{"1", "2", "3"}, []string{"2", "3", "4"}
	c := NewConfirmation(known, [][]string{old, now})
	if c.Proven() {
		t.Error("proven without replies")
	}
	for _, test := range []struct {
		from     string
		accepted Ballot
		newer    bool
		proven   bool
	}{
		{"2", known, false, false}, {"2", known, false, false}, {"3", newer, true, false}, {"2/new", known, false, false},
		{"1", Ballot{}, false, false}, {"4", known, false, true},
	} {
		if got := c.HandleReply(test.from, Reply{OK: true, Accepted: test.accepted}); got != test.newer {
			t.Errorf("%s with %v: newer %v", test.from, test.accepted, got)
		}
		if c.Proven() != test.proven {
			t.Errorf("after %s: proven %v, want %v", test.from, c.Proven(), test.proven)
		}
	}
	if c := NewConfirmation(known, [][]string{nil}); c.Proven() {
		t.Error("proven although the voters are not known")
	}
}
