package replica

import (
	"fmt"
	"slices"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/paxos"
)

// Step is what the host has to do after a reply in a round.
type Step int

// The steps of a round, in [Attempt.HandlePromise] and [Attempt.HandleAccepted].
const (
	Wait       Step = iota
	SendAccept      // send Attempt.Accept to Attempt.Voters
	Restart         // the newest register has other voter sets than the round: begin a new one
	Finished        // the round is over: see Attempt.Outcomes
)

// Attempt is one round for a group of waiting orders.
type Attempt struct {
	Prepare paxos.Prepare
	Accept  paxos.Accept
	Voters  []string // recipients of the current request
	// Base is the newest value among the promises, from which Accept's value was made. BaseBallot is its
	// ballot.
	Base       []byte
	BaseBallot paxos.Ballot

	replica   *Replica
	round     *paxos.Round
	ownValue  []byte // the value of Prepare.Known, which replies leave out
	voterSets [][]string
	batches   [][]controlstate.Order
	outcomes  [][]controlstate.Outcome
}

// Begin begins a round; the caller then sends Prepare to Voters. Without orders, a round only completes a
// value that another proposer left unfinished, and a change of voters that is already chosen.
func (r *Replica) Begin(batches [][]controlstate.Order) *Attempt {
	r.ballotNumber++
	ballot := paxos.Ballot{Number: r.ballotNumber, Node: r.node, Incarnation: r.incarnation}
	voterSets := r.VoterSets()
	return &Attempt{
		Prepare: paxos.Prepare{Ballot: ballot, Known: r.chosen}, Voters: Union(voterSets...),
		replica: r, round: paxos.NewRound(ballot, voterSets...), ownValue: r.value, voterSets: voterSets, batches: batches,
	}
}

// Outcomes returns the results of the orders, batch by batch, once the round is finished.
func (a *Attempt) Outcomes() [][]controlstate.Outcome { return a.outcomes }

// HandlePromise processes a reply to Prepare. When a majority has promised, it applies the orders to the
// newest register and prepares Accept.
func (a *Attempt) HandlePromise(from string, reply paxos.Reply) (Step, error) {
	a.replica.ObserveBallotNumber(reply.Promised.Number)
	if !a.round.HandlePromise(from, reply) {
		return Wait, nil
	}
	newest, value := a.round.NewestAccepted()
	if value == nil && newest == a.Prepare.Known {
		value = a.ownValue
	}
	register, err := controlstate.Decode(value)
	if err != nil {
		return Wait, fmt.Errorf("replica: decode an accepted value: %w", err)
	}
	proposal := register.Propose(a.replica.initialVoters, a.voterSets, newest == a.Prepare.Known, a.batches)
	if proposal.RequiredSets != nil {
		a.replica.voterSetHint = proposal.RequiredSets
		return Restart, nil
	}
	a.outcomes = proposal.Outcomes
	if !proposal.Changed && (a.round.NewestIsChosen() || newest == paxos.Ballot{}) {
		_, err := a.replica.Learn(newest, value)
		return Finished, err
	}
	next, err := register.Encode()
	if err != nil {
		return Wait, fmt.Errorf("replica: encode the register: %w", err)
	}
	if proposal.NewVoterSet != nil {
		a.round.AddVoterSet(proposal.NewVoterSet)
		a.Voters = Union(append(slices.Clone(a.voterSets), proposal.NewVoterSet)...)
	}
	a.Accept = paxos.Accept{Ballot: a.Prepare.Ballot, Value: next}
	a.Base, a.BaseBallot = value, newest
	return SendAccept, nil
}

// HandleAccepted processes a reply to Accept. When a majority has voted, the replica learns the new value.
func (a *Attempt) HandleAccepted(from string, reply paxos.Reply) (Step, error) {
	a.replica.ObserveBallotNumber(reply.Promised.Number)
	if !a.round.HandleVote(from, reply) {
		return Wait, nil
	}
	_, err := a.replica.Learn(a.Accept.Ballot, a.Accept.Value)
	return Finished, err
}
