// Package paxos implements single-decree Paxos over one register that is changed by functions. There
// is no elected leader: any proposer that has a change runs a round. In the first phase a majority of
// the acceptors promises to take part in no older ballot and reports what it has accepted. In the
// second phase a majority accepts the value that the change makes of the newest reported one. A value
// that a majority has accepted is chosen, and every later round builds on it.
//
// Nothing here does I/O, reads a clock or starts a goroutine: [Acceptor] and [Round] take messages and
// return what has to be stored and sent. An acceptor's record must be durable before its reply is sent.
package paxos

import (
	"cmp"
	"slices"
)

// Ballot identifies and orders rounds. The zero Ballot precedes all others.
type Ballot struct {
	Number      uint64 `cbor:"1,keyasint,omitempty"`
	Node        uint64 `cbor:"2,keyasint,omitempty"` // unique to the proposer's machine
	Incarnation uint64 `cbor:"3,keyasint,omitempty"` // unique to the proposer's process: ballots are not stored
}

// Compare orders ballots by number, then by node, then by incarnation. It returns -1, 0 or +1.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Node, other.Node), cmp.Compare(b.Incarnation, other.Incarnation))
}

// Record is the durable state of an acceptor.
type Record struct {
	Promised Ballot `cbor:"1,keyasint"`
	Accepted Ballot `cbor:"2,keyasint"`
	Value    []byte `cbor:"3,keyasint,omitempty"`
	// Blank was set by earlier versions on the record of a machine that had lost its disk and had not
	// yet read the register from others. It can still be decoded but is no longer written.
	Blank bool `cbor:"4,keyasint,omitempty"`
	// Disk identifies the disk that holds the record: a random number for a disk that was found empty,
	// zero on the machines that bootstrapped the system. A machine that lost its disk is a different
	// voter, so promises made with the lost disk are never counted for the new one.
	Disk uint64 `cbor:"5,keyasint,omitempty"`
}

// Prepare is the first-phase request, which asks an acceptor for a promise.
type Prepare struct {
	Ballot Ballot `cbor:"1,keyasint"`
	// Known is the ballot of a value that the proposer already has. The reply leaves that value out.
	Known Ballot `cbor:"2,keyasint"`
}

// Accept is the second-phase request, which asks an acceptor to vote for a value.
type Accept struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint"`
}

// Reply is an acceptor's answer to Prepare, Accept or a read.
type Reply struct {
	OK       bool   `cbor:"1,keyasint"`
	Promised Ballot `cbor:"3,keyasint"`
	Accepted Ballot `cbor:"4,keyasint"`
	Value    []byte `cbor:"5,keyasint,omitempty"` // left out if the proposer already has it
	Disk     uint64 `cbor:"6,keyasint,omitempty"` // the Record.Disk of the acceptor
}

// Acceptor promises and votes according to its record. The zero value has promised and accepted nothing.
type Acceptor struct{ Record Record }

// Prepare answers a request for a promise. If write is true, the record must be synced to disk before
// the reply is sent.
func (a *Acceptor) Prepare(request Prepare) (reply Reply, write bool) {
	if request.Ballot.Compare(a.Record.Promised) > 0 {
		a.Record.Promised = request.Ballot
		reply.OK, write = true, true
	}
	a.fillState(&reply)
	if reply.OK && reply.Accepted != request.Known {
		reply.Value = a.Record.Value
	}
	return reply, write
}

// Accept answers a request for a vote. If write is true, the record must be synced to disk before the
// reply is sent.
func (a *Acceptor) Accept(request Accept) (reply Reply, write bool) {
	if request.Ballot.Compare(a.Record.Promised) >= 0 {
		a.Record.Promised, a.Record.Accepted, a.Record.Value = request.Ballot, request.Ballot, request.Value
		reply.OK, write = true, true
	}
	a.fillState(&reply)
	return reply, write
}

// Learn stores a value that is known to be chosen, so that this disk has a copy of it even if this
// acceptor's vote was not needed. It breaks no promise: the value counts as accepted under the ballot
// that chose it, and every later ballot builds on that value. If write is true, the record must be
// synced to disk.
func (a *Acceptor) Learn(ballot Ballot, value []byte) (write bool) {
	if ballot.Compare(a.Record.Accepted) <= 0 {
		return false
	}
	a.Record.Accepted, a.Record.Value = ballot, value
	if ballot.Compare(a.Record.Promised) > 0 {
		a.Record.Promised = ballot
	}
	return true
}

// Read reports the accepted value without making a promise. The value is left out if its ballot is known.
func (a *Acceptor) Read(known Ballot) Reply {
	reply := Reply{OK: true}
	a.fillState(&reply)
	if reply.Accepted != known {
		reply.Value = a.Record.Value
	}
	return reply
}

func (a *Acceptor) fillState(reply *Reply) {
	reply.Promised, reply.Accepted, reply.Disk = a.Record.Promised, a.Record.Accepted, a.Record.Disk
}

// Majority returns the size of the smallest majority of n acceptors.
func Majority(n int) int { return n/2 + 1 }

// Confirmation is a quorum read. It proves that no value newer than a known one had been chosen when it
// began, because a majority of each voter set had accepted nothing newer.
type Confirmation struct {
	known     Ballot
	voterSets [][]string // the voter sets defined by the known value
	confirmed map[string]bool
}

// NewConfirmation begins a confirmation that the chosen value of ballot known is still the newest. It
// needs a majority of each of the voter sets.
func NewConfirmation(known Ballot, voterSets [][]string) *Confirmation {
	return &Confirmation{known: known, voterSets: voterSets, confirmed: map[string]bool{}}
}

// HandleReply processes a voter's reply to a read that was sent after the confirmation began. It
// reports whether the voter has accepted something newer.
func (c *Confirmation) HandleReply(from string, reply Reply) (newer bool) {
	if reply.Accepted.Compare(c.known) > 0 {
		return true
	}
	c.confirmed[from] = true
	return false
}

// Proven reports whether the known value is proven to have been the newest chosen one when the
// confirmation began.
func (c *Confirmation) Proven() bool {
	return MajorityOfEach(c.voterSets, func(voter string) bool { return c.confirmed[voter] })
}

// Round is the proposer's side of one ballot. Normally it needs a majority of one voter set. During a
// change of voters it needs a majority of the old set and a majority of the new one.
type Round struct {
	Ballot          Ballot
	voterSets       [][]string
	promised        map[string]Ballot // by voter that promised: the ballot of the value it has accepted
	voted           map[string]bool
	newest          Reply
	highestPromised Ballot // in any refusal
	phase           Phase
}

// Phase is the progress of a round.
type Phase int

// The phases of a round.
const (
	Preparing Phase = iota
	Accepting
	Chosen
	Preempted // an acceptor has promised a newer ballot
)

// NewRound begins a round that needs a majority of each of the voter sets. The caller then sends Prepare
// to all of them.
func NewRound(ballot Ballot, voterSets ...[]string) *Round {
	return &Round{Ballot: ballot, voterSets: voterSets, promised: map[string]Ballot{}, voted: map[string]bool{}}
}

// MajorityOfEach reports whether agrees is true for a majority of each set. An empty set has no majority;
// without any sets the result is true.
func MajorityOfEach(sets [][]string, agrees func(voter string) bool) bool {
	for _, set := range sets {
		count := 0
		for _, v := range set {
			if agrees(v) {
				count++
			}
		}
		if count < Majority(len(set)) {
			return false
		}
	}
	return true
}

// Phase returns the current phase of the round.
func (r *Round) Phase() Phase { return r.phase }

// HandlePromise processes a reply to Prepare. It returns true once, when this reply completes the
// majority: the newest accepted value is then known, and Accept is to be sent with the value that the
// change makes of it.
func (r *Round) HandlePromise(from string, reply Reply) bool {
	if _, seen := r.promised[from]; r.phase != Preparing || seen {
		return false
	}
	if !reply.OK {
		r.handleRefusal(reply)
		return false
	}
	r.promised[from] = reply.Accepted
	switch order := reply.Accepted.Compare(r.newest.Accepted); {
	case order > 0:
		r.newest = reply
	case order == 0 && r.newest.Value == nil:
		r.newest.Value = reply.Value
	}
	if !MajorityOfEach(r.voterSets, func(v string) bool { _, ok := r.promised[v]; return ok }) {
		return false
	}
	r.phase = Accepting
	return true
}

// NewestAccepted returns the newest value among the promises and its ballot. The value is nil if the
// proposer already has the value of that ballot, or if nothing was ever accepted.
func (r *Round) NewestAccepted() (Ballot, []byte) { return r.newest.Accepted, r.newest.Value }

// NewestIsChosen reports whether a majority has accepted the newest value, which is then already chosen.
func (r *Round) NewestIsChosen() bool {
	return r.phase == Accepting && r.newest.Accepted != Ballot{} &&
		MajorityOfEach(r.voterSets, func(v string) bool { a, ok := r.promised[v]; return ok && a == r.newest.Accepted })
}

// AddVoterSet makes the vote also require a majority of set: the voters that the proposed value
// introduces.
func (r *Round) AddVoterSet(set []string) { r.voterSets = append(slices.Clone(r.voterSets), set) }

// HandleVote processes a reply to Accept. It returns true once, when this reply completes the majority
// and the value is chosen.
func (r *Round) HandleVote(from string, reply Reply) bool {
	if r.phase != Accepting || r.voted[from] {
		return false
	}
	if !reply.OK {
		r.handleRefusal(reply)
		return false
	}
	r.voted[from] = true
	if !MajorityOfEach(r.voterSets, func(v string) bool { return r.voted[v] }) {
		return false
	}
	r.phase = Chosen
	return true
}

func (r *Round) handleRefusal(reply Reply) {
	if reply.Promised.Compare(r.highestPromised) > 0 {
		r.highestPromised = reply.Promised
	}
	if reply.Promised.Compare(r.Ballot) > 0 {
		r.phase = Preempted
	}
}

// NextNumber returns a number for a ballot that is newer than all ballots seen in this round.
func (r *Round) NextNumber() uint64 { return max(r.Ballot.Number, r.highestPromised.Number) + 1 }
