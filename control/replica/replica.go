// Package replica holds the decisions of one store of the replicated register: which value it knows to be
// chosen, which voters it needs, how a round of ballots proceeds for waiting orders, and whether its
// value is proven to be current. The host delivers messages, stores the acceptor's record on disk and
// supplies the time.
//
// Nothing here does I/O, reads a clock or starts a goroutine. It is not safe for concurrent use.
package replica

import (
	"fmt"
	"slices"
	"time"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/paxos"
)

// resolveAfter is how long another proposer has to finish a value that is accepted but not known to be
// chosen, before this store completes it with a round of its own.
const resolveAfter = 250 * time.Millisecond

// Replica is a store's view of the replicated register. Values are encoded registers.
type Replica struct {
	node, incarnation uint64
	initialVoters     []string // the voters that bootstrapped the system; nil if not yet known
	chosen            paxos.Ballot
	value             []byte
	register          *controlstate.Register
	ballotNumber      uint64     // the highest one seen
	voterSetHint      [][]string // voter sets of a newer register, found in a round or a confirmation
	provenAt          time.Duration
	hasProof          bool
	unresolvedSince   time.Duration // when an accepted value not known to be chosen was first seen
	hasUnresolved     bool
}

// New returns the replica of a store that knows no chosen value. node is unique to the machine and
// incarnation to the process. initialVoters are the voters that bootstrapped the system; nil on a
// machine that joins later.
func New(node, incarnation uint64, initialVoters []string) *Replica {
	return &Replica{node: node, incarnation: incarnation, initialVoters: initialVoters, register: &controlstate.Register{}}
}

// Register returns the newest register that is known to be chosen. Callers must not modify it.
func (r *Replica) Register() *controlstate.Register { return r.register }

// Chosen returns the ballot under which the newest known value was chosen.
func (r *Replica) Chosen() paxos.Ballot { return r.chosen }

// Value returns the encoded form of the newest value that is known to be chosen.
func (r *Replica) Value() []byte { return r.value }

// InitialVoters returns the voters that bootstrapped the system, or nil if they are not known.
func (r *Replica) InitialVoters() []string { return r.initialVoters }

// LearnInitialVoters stores the initial voters reported by another store, if they were not known before.
func (r *Replica) LearnInitialVoters(initialVoters []string) {
	if len(r.initialVoters) == 0 && len(initialVoters) > 0 {
		r.initialVoters = slices.Clone(initialVoters)
	}
}

// VoterSets returns the newest known voter sets, from which a round needs majorities.
func (r *Replica) VoterSets() [][]string {
	if r.voterSetHint != nil {
		return r.voterSetHint
	}
	return r.register.VoterSets(r.initialVoters)
}

// ObserveBallotNumber records a ballot number. The next ballot of this store gets a higher one.
func (r *Replica) ObserveBallotNumber(ballotNumber uint64) {
	r.ballotNumber = max(r.ballotNumber, ballotNumber)
}

// Learn stores a value that is known to be chosen and reports whether the register changed. A value that
// is not newer than the known one is ignored.
func (r *Replica) Learn(ballot paxos.Ballot, value []byte) (changed bool, err error) {
	if ballot.Compare(r.chosen) <= 0 {
		return false, nil
	}
	register, err := controlstate.Decode(value)
	if err != nil {
		return false, fmt.Errorf("replica: decode the value of ballot %d: %w", ballot.Number, err)
	}
	changed = register.Seq != r.register.Seq
	r.chosen, r.value, r.voterSetHint = ballot, value, nil
	r.hasUnresolved = false
	r.ObserveBallotNumber(ballot.Number)
	if changed {
		r.register = register
	}
	return changed, nil
}

// ProvenAt returns the latest time at which the known register was proven to be the newest chosen one.
// ok is false if that was never proven.
func (r *Replica) ProvenAt() (at time.Duration, ok bool) { return r.provenAt, r.hasProof }

// Union returns the sorted union of the sets.
func Union(sets ...[]string) (all []string) {
	for _, set := range sets {
		all = append(all, set...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// VoterIPs returns the IP addresses of the voters' machines, sorted and without duplicates.
func VoterIPs(voters []string) (ips []string) {
	for _, voter := range voters {
		ips = append(ips, controlstate.VoterIP(voter))
	}
	return Union(ips)
}

// Confirmation is one quorum read, which asks the voters whether anything newer was chosen. If the
// replies show that a newer value is chosen, the replica learns it.
type Confirmation struct {
	replica       *Replica
	paxos         *paxos.Confirmation
	startedAt     time.Duration
	known         paxos.Ballot
	newerAccepted map[string]paxos.Ballot // by voter: the accepted ballot, if newer than known
	proven        bool
}

// Confirm begins a confirmation of the register that is known now. The caller then sends a read with
// Known to the voters.
func (r *Replica) Confirm(now time.Duration) *Confirmation {
	return &Confirmation{replica: r, paxos: paxos.NewConfirmation(r.chosen, r.register.VoterSets(r.initialVoters)),
		startedAt: now, known: r.chosen, newerAccepted: map[string]paxos.Ballot{}}
}

// Known returns the ballot of the value under confirmation. Replies leave out the value of that ballot.
func (c *Confirmation) Known() paxos.Ballot { return c.known }

// HandleReply processes a voter's reply to a read and reports whether the register changed.
func (c *Confirmation) HandleReply(from string, reply paxos.Reply) (changed bool, err error) {
	if c.paxos.HandleReply(from, reply) {
		c.newerAccepted[from] = reply.Accepted
		return c.replica.learnFromVoters(reply.Accepted, reply.Value, c.newerAccepted)
	}
	if !c.proven && c.paxos.Proven() && c.replica.chosen == c.known {
		c.proven = true
		if !c.replica.hasProof || c.startedAt > c.replica.provenAt {
			c.replica.provenAt, c.replica.hasProof = c.startedAt, true
		}
	}
	return false, nil
}

// Proven reports whether a majority has confirmed that the known value is the newest chosen one.
func (c *Confirmation) Proven() bool { return c.proven }

// End closes the confirmation. learnt reports that a newer value was learnt in the meantime, which needs
// a confirmation of its own. pending reports that some voter has accepted a newer value that is not known
// to be chosen. resolve reports that its proposer has had [resolveAfter] to finish it, so that a round
// without orders is to complete it.
func (c *Confirmation) End() (learnt, resolve, pending bool) {
	r := c.replica
	if r.chosen != c.known {
		r.hasUnresolved = false
		return true, false, false
	}
	if len(c.newerAccepted) == 0 {
		r.hasUnresolved = false
		return false, false, false
	}
	if !r.hasUnresolved {
		r.hasUnresolved, r.unresolvedSince = true, c.startedAt
		return false, false, true
	}
	return false, c.startedAt-r.unresolvedSince > resolveAfter, true
}

// learnFromVoters learns a value if the replies show that it is chosen: a majority of each voter set that
// the value itself defines has accepted it, no matter who proposed it.
func (r *Replica) learnFromVoters(ballot paxos.Ballot, value []byte, accepted map[string]paxos.Ballot) (changed bool, err error) {
	if len(value) == 0 {
		return false, nil
	}
	register, err := controlstate.Decode(value)
	if err != nil {
		return false, fmt.Errorf("replica: decode the value of ballot %d: %w", ballot.Number, err)
	}
	sets := register.VoterSets(r.initialVoters)
	if paxos.MajorityOfEach(sets, func(voter string) bool { return accepted[voter] == ballot }) {
		return r.Learn(ballot, value)
	}
	if !slices.EqualFunc(sets, r.VoterSets(), slices.Equal) {
		r.voterSetHint = sets // the value has voters that were not asked
	}
	return false, nil
}
