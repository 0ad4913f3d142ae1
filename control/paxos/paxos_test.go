package paxos

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// The model: proposers change one register, each appending its letter, over acceptors of which
// one may lose its disk. Every order in which messages arrive or are lost is played, with the
// loss at every point: a state is what acceptors hold, what proposers know and what flies.

type flying struct {
	from, to int
	prepare  bool
	ballot   Ballot
	value    string
}

type state struct {
	names  []string
	acc    []Acceptor
	rounds []*Round
	chosen []string // by proposer; "" is none
	flying []flying
	lost   int // acceptor that lost its disk and has another one; -1: none yet
}

func begin(acceptors, proposers int) *state {
	s := &state{acc: make([]Acceptor, acceptors), chosen: make([]string, proposers), lost: -1}
	for i := range acceptors {
		s.names = append(s.names, string(rune('0'+i)))
	}
	for i := range proposers {
		r := NewRound(Ballot{Number: uint64(1 + i), Node: uint64(1 + i)}, s.names)
		s.rounds = append(s.rounds, r)
		for k := range acceptors {
			s.flying = append(s.flying, flying{i, k, true, r.Ballot, ""})
		}
	}
	return s
}

func (s *state) clone() *state {
	c := &state{names: s.names, acc: slices.Clone(s.acc), chosen: slices.Clone(s.chosen), flying: slices.Clone(s.flying), lost: s.lost}
	for _, r := range s.rounds {
		x := *r
		x.promised, x.voted = maps.Clone(r.promised), maps.Clone(r.voted)
		c.rounds = append(c.rounds, &x)
	}
	return c
}

func (s *state) key() string {
	text := fmt.Sprint(s.acc, s.chosen, s.lost)
	for _, r := range s.rounds {
		text += fmt.Sprint(r.phase, r.promised, r.voted, r.newest)
	}
	for _, m := range s.flying {
		text += fmt.Sprint(m)
	}
	return text
}

// Ways to break the rules on purpose.
const (
	votesAtOnce     = "votes for its lost disk with an empty one"
	forgetsAccepted = "takes no notice of what was accepted"
	oneIsEnough     = "takes one answer for a majority"
	lowersPromise   = "takes back a promise when it learns an older value"
)

// newDisk identifies the disk that a machine has after the loss of the first one.
const newDisk = 7

// voter is the name under which an acceptor's answer counts.
func (s *state) voter(k int, reply Reply) string {
	if reply.Disk == newDisk {
		return s.names[k] + "/new"
	}
	return s.names[k]
}

func (s *state) deliver(k int, broken string) {
	m := s.flying[k]
	s.flying = slices.Delete(s.flying, k, k+1)
	r := s.rounds[m.from]
	if broken == oneIsEnough {
		r.sets = [][]string{{s.names[m.to]}}
	}
	if !m.prepare {
		reply, _ := s.acc[m.to].Accept(Accept{m.ballot, []byte(m.value)})
		if r.Vote(s.voter(m.to, reply), reply) {
			s.chosen[m.from] = m.value
		}
		return
	}
	reply, _ := s.acc[m.to].Prepare(Prepare{Ballot: m.ballot})
	if !r.Promise(s.voter(m.to, reply), reply) {
		return
	}
	_, value := r.Newest()
	if broken == forgetsAccepted {
		value = nil
	}
	next := string(value) + string(rune('a'+m.from))
	for i := range s.acc {
		s.flying = append(s.flying, flying{m.from, i, false, m.ballot, next})
	}
}

// next are the states after this one.
func (s *state) next(broken string, loses bool) (all []*state) {
	for k := range s.flying {
		c := s.clone()
		c.deliver(k, broken)
		all = append(all, c)
	}
	if s.lost == -1 && loses {
		for k := range s.acc {
			c := s.clone()
			c.acc[k] = Acceptor{Record{Disk: newDisk}}
			if broken == votesAtOnce {
				c.acc[k] = Acceptor{}
			}
			c.lost = k
			all = append(all, c)
		}
	}
	// What is chosen is told to acceptors, which keep it on their disks.
	for i, value := range s.chosen {
		for k := range s.acc {
			if value == "" {
				continue
			}
			c := s.clone()
			if !c.acc[k].Learn(c.rounds[i].Ballot, []byte(value)) {
				continue
			}
			if broken == lowersPromise {
				c.acc[k].Record.Promised = c.rounds[i].Ballot
			}
			all = append(all, c)
		}
	}
	return all
}

// wrong tells what no state may be like: two values chosen of which neither is built on the
// other, or a majority from which a later round would not learn of one.
func (s *state) wrong() error {
	for i, a := range s.chosen {
		for _, b := range s.chosen[:i] {
			if a != "" && b != "" && !bytes.HasPrefix([]byte(a), []byte(b)) && !bytes.HasPrefix([]byte(b), []byte(a)) {
				return fmt.Errorf("%q and %q are both chosen", a, b)
			}
		}
	}
	for mask := range 1 << len(s.acc) {
		r := NewRound(Ballot{Number: 99}, s.names)
		ready := false
		for k := range s.acc {
			if mask>>k&1 == 1 && !ready {
				a := s.acc[k]
				reply, _ := a.Prepare(Prepare{Ballot: r.Ballot})
				ready = r.Promise(s.voter(k, reply), reply)
			}
		}
		if _, value := r.Newest(); ready {
			for _, c := range s.chosen {
				if c != "" && !bytes.HasPrefix(value, []byte(c)) {
					return fmt.Errorf("%q is chosen and acceptors %b tell %q", c, mask, value)
				}
			}
		}
	}
	return nil
}

// explore visits every state and returns their number, or the first that is wrong.
func explore(s *state, broken string, loses bool) (int, error) {
	seen := map[string]bool{s.key(): true}
	for queue := []*state{s}; len(queue) > 0; queue = queue[1:] {
		for _, c := range queue[0].next(broken, loses) {
			if k := c.key(); !seen[k] {
				if err := c.wrong(); err != nil {
					return len(seen), err
				}
				seen[k] = true
				queue = append(queue, c)
			}
		}
	}
	return len(seen), nil
}

// Two proposers and three acceptors, in every order.
func TestEveryOrderOfTwoProposers(t *testing.T) {
	n, err := explore(begin(3, 2), "", false)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d states", n)
}

// walk plays random orders with a loss, and returns the first state that is wrong.
func walk(acceptors, proposers int, seeds uint64, broken string) error {
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := begin(acceptors, proposers)
		for {
			all := s.next(broken, rng.IntN(12) == 0)
			if len(all) == 0 {
				break
			}
			s = all[rng.IntN(len(all))]
			if err := s.wrong(); err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
		}
	}
	return nil
}

// A disk is lost at any point, with three acceptors and with five: the machine is another voter from
// then on, and what its lost disk had promised or accepted is counted for nobody else.
func TestLostDisk(t *testing.T) {
	for _, n := range []int{3, 5} {
		if err := walk(n, 2, 3000, ""); err != nil {
			t.Errorf("%d acceptors: %v", n, err)
		}
	}
}

// Each rule that is broken on purpose is found.
func TestBrokenRulesAreFound(t *testing.T) {
	for _, x := range []struct {
		broken    string
		proposers int
	}{{votesAtOnce, 2}, {forgetsAccepted, 2}, {oneIsEnough, 2}, {lowersPromise, 3}} {
		if walk(3, x.proposers, 20000, x.broken) == nil {
			t.Errorf("nothing is found wrong when a machine %s", x.broken)
		}
	}
}

// A confirmation is proven by a majority of each set that has accepted nothing newer, and by no less.
func TestConfirmation(t *testing.T) {
	known, newer := Ballot{Number: 5}, Ballot{Number: 6}
	old, now := []string{"1", "2", "3"}, []string{"2", "3", "4"}
	c := NewConfirmation(known, [][]string{old, now})
	if c.Proven() {
		t.Error("proven by nobody")
	}
	for _, x := range []struct {
		from     string
		accepted Ballot
		newer    bool
		proven   bool
	}{
		{"2", known, false, false}, {"2", known, false, false}, {"3", newer, true, false}, {"2/new", known, false, false},
		{"1", Ballot{}, false, false}, {"4", known, false, true},
	} {
		if got := c.Hear(x.from, Reply{OK: true, Accepted: x.accepted}); got != x.newer {
			t.Errorf("%s with %v: newer %v", x.from, x.accepted, got)
		}
		if c.Proven() != x.proven {
			t.Errorf("after %s: proven %v, %v wanted", x.from, c.Proven(), x.proven)
		}
	}
	if c := NewConfirmation(known, [][]string{nil}); c.Proven() {
		t.Error("proven though the voters are not known")
	}
}
