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
	// Blank is a machine that came back with an empty disk: it may not vote before it has read
	// from others.
	Blank bool `cbor:"4,keyasint,omitempty"`
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
	Blank    bool   `cbor:"2,keyasint,omitempty"` // it may not vote yet
	Promised Ballot `cbor:"3,keyasint"`
	Accepted Ballot `cbor:"4,keyasint"`
	Value    []byte `cbor:"5,keyasint,omitempty"` // left out where the proposer has it
}

// Acceptor votes. The zero value has voted in nothing.
type Acceptor struct{ Record Record }

// Prepare answers a request for a promise. With write the record has to be synced first.
func (a *Acceptor) Prepare(m Prepare) (r Reply, write bool) {
	if !a.Record.Blank && m.Ballot.Compare(a.Record.Promised) > 0 {
		a.Record.Promised = m.Ballot
		r.OK, write = true, true
	}
	r.Blank, r.Promised, r.Accepted = a.Record.Blank, a.Record.Promised, a.Record.Accepted
	if r.OK && r.Accepted != m.Known {
		r.Value = a.Record.Value
	}
	return r, write
}

// Accept answers a request for a vote. With write the record has to be synced first.
func (a *Acceptor) Accept(m Accept) (r Reply, write bool) {
	if !a.Record.Blank && m.Ballot.Compare(a.Record.Promised) >= 0 {
		a.Record.Promised, a.Record.Accepted, a.Record.Value = m.Ballot, m.Ballot, m.Value
		r.OK, write = true, true
	}
	r.Blank, r.Promised, r.Accepted = a.Record.Blank, a.Record.Promised, a.Record.Accepted
	return r, write
}

// Read tells what is accepted here without a promise.
func (a *Acceptor) Read(known Ballot) Reply {
	r := Reply{OK: !a.Record.Blank, Blank: a.Record.Blank, Promised: a.Record.Promised, Accepted: a.Record.Accepted}
	if r.Accepted != known {
		r.Value = a.Record.Value
	}
	return r
}

// Majority is how many of n acceptors make one.
func Majority(n int) int { return n/2 + 1 }

// Restore is what a machine whose disk was lost does before it votes. It must read from so
// many others that whatever a majority accepted, or promised, is among what it has read even
// if lost disks were in that majority: all but lost of the n machines, which it is one of.
type Restore struct {
	lost int
	read map[string]Reply
}

// NewRestore begins to read. lost is how many disks may be lost at once.
func NewRestore(lost int) *Restore {
	return &Restore{lost: max(1, lost), read: map[string]Reply{}}
}

// Read takes in what another machine tells. One that is blank itself says nothing.
func (r *Restore) Read(from string, m Reply) {
	if m.OK {
		r.read[from] = m
	}
}

// Newest is the newest value read.
func (r *Restore) Newest() (newest Reply) {
	for _, m := range r.read {
		if m.Accepted.Compare(newest.Accepted) > 0 {
			newest = m
		}
	}
	return newest
}

// Done gives the record to begin with, once enough was read of each of the sets of voters that
// the newest value read counts by.
func (r *Restore) Done(sets ...[]string) (Record, bool) {
	for _, set := range sets {
		have := 0
		for _, v := range set {
			if _, ok := r.read[v]; ok {
				have++
			}
		}
		if have < len(set)-min(r.lost, (len(set)-1)/2) {
			return Record{}, false
		}
	}
	newest := r.Newest()
	rec := Record{Accepted: newest.Accepted, Value: newest.Value}
	for _, m := range r.read {
		if m.Promised.Compare(rec.Promised) > 0 {
			rec.Promised = m.Promised
		}
	}
	return rec, true
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
	if m.Blank {
		return
	}
	if m.Promised.Compare(r.highest) > 0 {
		r.highest = m.Promised
	}
	if m.Promised.Compare(r.Ballot) > 0 {
		r.phase = Beaten
	}
}

// After is the number for a ballot that is ahead of all that this round met.
func (r *Round) After() uint64 { return max(r.Ballot.Number, r.highest.Number) + 1 }
