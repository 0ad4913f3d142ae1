// Package replica is what one store decides: which value it knows to be chosen, by which voters it
// counts, how a round of ballots goes for the orders that wait, and whether what it knows is proven
// to be current. The host carries messages, keeps the acceptor's record on disk and tells the time.
//
// Nothing here does input or output, reads a clock or starts a goroutine. It is not safe for
// concurrent use.
package replica

import (
	"fmt"
	"slices"
	"time"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/paxos"
)

// resolveAfter is how long another proposer's value that is accepted and not known to be chosen is
// left to that proposer.
const resolveAfter = 250 * time.Millisecond

// Replica is what a store knows. Values are encoded registers.
type Replica struct {
	node, life uint64
	first      []string // the voters that everyone began with; nil: not known yet
	chosen     paxos.Ballot
	value      []byte
	register   *controlstate.Register
	number     uint64     // of the latest ballot seen
	hint       [][]string // sets of voters that a round has met, newer than those of the register
	proved     time.Duration
	isProved   bool
	unresolved time.Duration // since when another's value is accepted and not known to be chosen
	isPending  bool
}

// New returns the replica of a store that knows nothing. node is unique to the machine and life to
// the process. first are the voters that everyone began with, nil for a machine that joins later.
func New(node, life uint64, first []string) *Replica {
	return &Replica{node: node, life: life, first: first, register: &controlstate.Register{}}
}

// Register is the newest register that is known to be chosen. It is not to be changed.
func (r *Replica) Register() *controlstate.Register { return r.register }

// Chosen is the ballot by which that register was chosen.
func (r *Replica) Chosen() paxos.Ballot { return r.chosen }

// Value is that register as it is encoded.
func (r *Replica) Value() []byte { return r.value }

// First are the voters that everyone began with, nil where they are not known.
func (r *Replica) First() []string { return r.first }

// LearnFirst takes over from another store which voters everyone began with.
func (r *Replica) LearnFirst(first []string) {
	if len(r.first) == 0 && len(first) > 0 {
		r.first = slices.Clone(first)
	}
}

// Sets are the sets of voters to ask, as far as they are known here.
func (r *Replica) Sets() [][]string {
	if r.hint != nil {
		return r.hint
	}
	return r.register.Sets(r.first)
}

// Saw takes note of a ballot's number: the next ballot of this store is ahead of it.
func (r *Replica) Saw(number uint64) { r.number = max(r.number, number) }

// Learn takes in a chosen value. It tells whether the register is another one now.
func (r *Replica) Learn(ballot paxos.Ballot, value []byte) (changed bool, err error) {
	if ballot.Compare(r.chosen) <= 0 {
		return false, nil
	}
	register, err := controlstate.Decode(value)
	if err != nil {
		return false, fmt.Errorf("replica: the value of ballot %d: %w", ballot.Number, err)
	}
	changed = register.Seq != r.register.Seq
	r.chosen, r.value, r.hint = ballot, value, nil
	r.isPending = false
	r.Saw(ballot.Number)
	if changed {
		r.register = register
	}
	return changed, nil
}

// Proved is when the known register was the newest chosen one; ok is false where that never was
// known.
func (r *Replica) Proved() (at time.Duration, ok bool) { return r.proved, r.isProved }

// Union is every member of some sets once, sorted.
func Union(sets ...[]string) (all []string) {
	for _, set := range sets {
		all = append(all, set...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Machines are the IP numbers of the machines of voters, each once, sorted.
func Machines(voters []string) (ips []string) {
	for _, v := range voters {
		ips = append(ips, controlstate.VoterIP(v))
	}
	return Union(ips)
}

// Confirmation is one question to the voters whether anything newer was chosen, as its store sees
// it. What the answers tell of newer values is learnt from them.
type Confirmation struct {
	replica *Replica
	paxos   *paxos.Confirmation
	begun   time.Duration
	known   paxos.Ballot
	newer   map[string]paxos.Ballot // what was told by those who accepted something newer
	proven  bool
}

// Confirm begins a confirmation.
func (r *Replica) Confirm(now time.Duration) *Confirmation {
	return &Confirmation{replica: r, paxos: paxos.NewConfirmation(r.chosen, r.register.Sets(r.first)), begun: now, known: r.chosen, newer: map[string]paxos.Ballot{}}
}

// Known is the ballot whose value need not be told.
func (c *Confirmation) Known() paxos.Ballot { return c.known }

// Hear takes in the answer of a voter to a read. It tells whether the register is another one now.
func (c *Confirmation) Hear(from string, m paxos.Reply) (changed bool, err error) {
	if c.paxos.Hear(from, m) {
		c.newer[from] = m.Accepted
		return c.replica.learnFromVoters(m.Accepted, m.Value, c.newer)
	}
	if !c.proven && c.paxos.Proven() && c.replica.chosen == c.known {
		c.proven = true
		if !c.replica.isProved || c.begun > c.replica.proved {
			c.replica.proved, c.replica.isProved = c.begun, true
		}
	}
	return false, nil
}

// Proven tells that a majority has confirmed what was known.
func (c *Confirmation) Proven() bool { return c.proven }

// End closes the confirmation. learnt tells that something newer was learnt meanwhile, whose proof
// is still to come; resolve that a value which another proposer has left half done is to be
// completed by a round without orders; pending that there is one, which is left to its proposer yet.
func (c *Confirmation) End() (learnt, resolve, pending bool) {
	r := c.replica
	if r.chosen != c.known {
		r.isPending = false
		return true, false, false
	}
	if len(c.newer) == 0 {
		r.isPending = false
		return false, false, false
	}
	if !r.isPending {
		r.isPending, r.unresolved = true, c.begun
		return false, false, true
	}
	return false, c.begun-r.unresolved > resolveAfter, true
}

// learnFromVoters learns a value that those who told of it have chosen, whoever asked for it: a
// majority of each set that it counts by itself has accepted it.
func (r *Replica) learnFromVoters(ballot paxos.Ballot, value []byte, told map[string]paxos.Ballot) (changed bool, err error) {
	if len(value) == 0 {
		return false, nil
	}
	register, err := controlstate.Decode(value)
	if err != nil {
		return false, fmt.Errorf("replica: the value of ballot %d: %w", ballot.Number, err)
	}
	sets := register.Sets(r.first)
	if paxos.Agreed(sets, func(voter string) bool { return told[voter] == ballot }) {
		return r.Learn(ballot, value)
	}
	if !slices.EqualFunc(sets, r.Sets(), slices.Equal) {
		r.hint = sets // others have to be asked too
	}
	return false, nil
}
