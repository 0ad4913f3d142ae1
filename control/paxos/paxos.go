// Package paxos agrees on one register among core machines by ballots. It has no
// standing leader: whoever has a change holds a round. In the first half a majority of
// acceptors promises to take part in no older ballot and tells what it has accepted; in
// the second it accepts the value that the change makes of the newest one told. A value
// that a majority has accepted is chosen, and every later round builds on it (single-
// decree Paxos over a register that is changed by functions).
//
// Nothing here does input or output, reads a clock or starts a goroutine: [Acceptor] and
// [Round] are fed messages and return what is to be written down and sent. An acceptor's
// record must be safe on disk before its reply leaves.
package paxos

import (
	"cmp"
	"slices"
)

// Ballot orders rounds. The zero Ballot is before all others.
type Ballot struct {
	Number uint64 `cbor:"1,keyasint,omitempty"`
	Node   uint64 `cbor:"2,keyasint,omitempty"` // of the proposer; no two share one
	Life   uint64 `cbor:"3,keyasint,omitempty"` // of the proposer's process: it has no memory of ballots
}

// Compare orders ballots.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Node, o.Node), cmp.Compare(b.Life, o.Life))
}

// Record is what an acceptor keeps on disk.
type Record struct {
	Promised Ballot `cbor:"1,keyasint"`
	Accepted Ballot `cbor:"2,keyasint"`
	Value    []byte `cbor:"3,keyasint,omitempty"`
	// Blank marks a record of earlier versions: that of a machine which lost its disk and had not
	// read from others yet. It is read, and never written any more.
	Blank bool `cbor:"4,keyasint,omitempty"`
	// Disk identifies the disk that the record lies on: drawn at random for a disk that was found
	// empty, zero for the machines that began the system. A machine that lost its disk is another
	// voter: what the lost one had promised is never counted for it.
	Disk uint64 `cbor:"5,keyasint,omitempty"`
}

// Prepare asks for a promise.
type Prepare struct {
	Ballot Ballot `cbor:"1,keyasint"`
	// Known is a ballot whose value the proposer has: it need not be sent again.
	Known Ballot `cbor:"2,keyasint"`
}

// Accept asks for a vote.
type Accept struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint"`
}

// Reply is an acceptor's answer to either.
type Reply struct {
	OK       bool   `cbor:"1,keyasint"`
	Promised Ballot `cbor:"3,keyasint"`
	Accepted Ballot `cbor:"4,keyasint"`
	Value    []byte `cbor:"5,keyasint,omitempty"` // left out where the proposer has it
	Disk     uint64 `cbor:"6,keyasint,omitempty"` // of the acceptor's record
}

// Acceptor votes. The zero value has voted in nothing.
type Acceptor struct{ Record Record }

// Prepare answers a request for a promise. With write the record has to be synced first.
func (a *Acceptor) Prepare(m Prepare) (r Reply, write bool) {
	if m.Ballot.Compare(a.Record.Promised) > 0 {
		a.Record.Promised = m.Ballot
		r.OK, write = true, true
	}
	a.describe(&r)
	if r.OK && r.Accepted != m.Known {
		r.Value = a.Record.Value
	}
	return r, write
}

// Accept answers a request for a vote. With write the record has to be synced first.
func (a *Acceptor) Accept(m Accept) (r Reply, write bool) {
	if m.Ballot.Compare(a.Record.Promised) >= 0 {
		a.Record.Promised, a.Record.Accepted, a.Record.Value = m.Ballot, m.Ballot, m.Value
		r.OK, write = true, true
	}
	a.describe(&r)
	return r, write
}

// Learn stores a value that is known to be chosen, so that this disk holds a copy of it also where
// its vote was not needed. No promise is taken back: the value counts as accepted by its own
// ballot, on which every later one builds. With write the record has to be synced.
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

// Read tells what is accepted here without a promise.
func (a *Acceptor) Read(known Ballot) Reply {
	r := Reply{OK: true}
	a.describe(&r)
	if r.Accepted != known {
		r.Value = a.Record.Value
	}
	return r
}

func (a *Acceptor) describe(r *Reply) {
	r.Promised, r.Accepted, r.Disk = a.Record.Promised, a.Record.Accepted, a.Record.Disk
}

// Majority is how many of n acceptors make one.
func Majority(n int) int { return n/2 + 1 }

// Confirmation proves that nothing newer than a known ballot was chosen when it began: a majority
// of each set of voters had accepted nothing newer.
type Confirmation struct {
	known   Ballot
	counted [][]string // the sets that the known value counts by
	agree   map[string]bool
}

// NewConfirmation begins a confirmation of a value that is known to be chosen.
func NewConfirmation(known Ballot, counted [][]string) *Confirmation {
	return &Confirmation{known: known, counted: counted, agree: map[string]bool{}}
}

// Hear takes in a voter's answer to a read that was sent after the confirmation began. It tells
// whether the voter has accepted something newer.
func (c *Confirmation) Hear(from string, m Reply) (newer bool) {
	if m.Accepted.Compare(c.known) > 0 {
		return true
	}
	c.agree[from] = true
	return false
}

// Proven tells that the known value was the newest chosen one when the confirmation began.
func (c *Confirmation) Proven() bool {
	return Agreed(c.counted, func(voter string) bool { return c.agree[voter] })
}

// Round is one ballot as its proposer sees it. Usually it counts by one set of voters. While
// the voters change it counts by the old and the new set, and needs a majority of each.
type Round struct {
	Ballot   Ballot
	sets     [][]string
	promised map[string]Ballot // what those who promised have accepted
	voted    map[string]bool
	newest   Reply
	highest  Ballot // seen in a refusal
	phase    Phase
}

// Phase is how far a round has come.
type Phase int

// The phases of a round.
const (
	Preparing Phase = iota
	Accepting
	Chosen
	Beaten // another ballot is ahead
)

// NewRound begins a round that counts by sets of voters. Its first message is Prepare.
func NewRound(b Ballot, sets ...[]string) *Round {
	return &Round{Ballot: b, sets: sets, promised: map[string]Ballot{}, voted: map[string]bool{}}
}

// Agreed tells that a majority of each set is in.
func Agreed(sets [][]string, in func(voter string) bool) bool {
	for _, set := range sets {
		n := 0
		for _, v := range set {
			if in(v) {
				n++
			}
		}
		if n < Majority(len(set)) {
			return false
		}
	}
	return true
}

// Phase is how far the round has come.
func (r *Round) Phase() Phase { return r.phase }

// Promise takes in an answer to Prepare and tells that a majority has promised just now: the
// newest value is then known, and Accept is to be sent with what is made of it.
func (r *Round) Promise(from string, m Reply) bool {
	if _, twice := r.promised[from]; r.phase != Preparing || twice {
		return false
	}
	if !m.OK {
		r.refused(m)
		return false
	}
	r.promised[from] = m.Accepted
	switch c := m.Accepted.Compare(r.newest.Accepted); {
	case c > 0:
		r.newest = m
	case c == 0 && r.newest.Value == nil:
		r.newest.Value = m.Value
	}
	if !Agreed(r.sets, func(v string) bool { _, ok := r.promised[v]; return ok }) {
		return false
	}
	r.phase = Accepting
	return true
}

// Newest is the newest value told, with its ballot. Value is nil where the proposer's own
// copy of that ballot serves, or nothing was ever accepted.
func (r *Round) Newest() (Ballot, []byte) { return r.newest.Accepted, r.newest.Value }

// Unanimous tells that a majority has accepted the newest value: it is chosen already.
func (r *Round) Unanimous() bool {
	return r.phase == Accepting && r.newest.Accepted != Ballot{} &&
		Agreed(r.sets, func(v string) bool { a, ok := r.promised[v]; return ok && a == r.newest.Accepted })
}

// Widen has the votes count by another set too: the voters that the value brings in.
func (r *Round) Widen(set []string) { r.sets = append(slices.Clone(r.sets), set) }

// Vote takes in an answer to Accept and tells that the value is chosen just now.
func (r *Round) Vote(from string, m Reply) bool {
	if r.phase != Accepting || r.voted[from] {
		return false
	}
	if !m.OK {
		r.refused(m)
		return false
	}
	r.voted[from] = true
	if !Agreed(r.sets, func(v string) bool { return r.voted[v] }) {
		return false
	}
	r.phase = Chosen
	return true
}

func (r *Round) refused(m Reply) {
	if m.Promised.Compare(r.highest) > 0 {
		r.highest = m.Promised
	}
	if m.Promised.Compare(r.Ballot) > 0 {
		r.phase = Beaten
	}
}

// After is the number for a ballot that is ahead of all that this round met.
func (r *Round) After() uint64 { return max(r.Ballot.Number, r.highest.Number) + 1 }
