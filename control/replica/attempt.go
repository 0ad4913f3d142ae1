package replica

import (
	"fmt"
	"slices"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/paxos"
)

// Step is what is to be done after an answer in a round.
type Step int

// The steps of a round.
const (
	Wait    Step = iota
	Vote         // send Accept to Voters
	Restart      // the round has counted by other voters than the newest register: begin again
	Settled      // what was asked is answered: see Outcomes
)

// Attempt is one round of ballots for orders that wait.
type Attempt struct {
	Prepare paxos.Prepare
	Accept  paxos.Accept
	Voters  []string // who is to be sent the present message
	// Base is the newest value that was told, on which Accept's builds, and BaseBallot its ballot.
	Base       []byte
	BaseBallot paxos.Ballot

	replica  *Replica
	round    *paxos.Round
	own      []byte // the value of Prepare.Known
	sets     [][]string
	batches  [][]controlstate.Order
	outcomes [][]controlstate.Outcome
}

// Begin begins a round. Without orders it completes what another proposer has left half done, and
// completes a change of voters that is chosen.
func (r *Replica) Begin(batches [][]controlstate.Order) *Attempt {
	r.number++
	ballot := paxos.Ballot{Number: r.number, Node: r.node, Life: r.life}
	sets := r.Sets()
	return &Attempt{
		Prepare: paxos.Prepare{Ballot: ballot, Known: r.chosen}, Voters: Union(sets...),
		replica: r, round: paxos.NewRound(ballot, sets...), own: r.value, sets: sets, batches: batches,
	}
}

// Outcomes are what became of the orders, batch by batch, once the round is settled.
func (a *Attempt) Outcomes() [][]controlstate.Outcome { return a.outcomes }

// Promise takes in an answer to Prepare.
func (a *Attempt) Promise(from string, m paxos.Reply) (Step, error) {
	a.replica.Saw(m.Promised.Number)
	if !a.round.Promise(from, m) {
		return Wait, nil
	}
	newest, value := a.round.Newest()
	if value == nil && newest == a.Prepare.Known {
		value = a.own
	}
	register, err := controlstate.Decode(value)
	if err != nil {
		return Wait, fmt.Errorf("replica: an accepted value: %w", err)
	}
	p := register.Propose(a.replica.first, a.sets, newest == a.Prepare.Known, a.batches)
	if p.Need != nil {
		a.replica.hint = p.Need
		return Restart, nil
	}
	a.outcomes = p.Outcomes
	if !p.Changed && (a.round.Unanimous() || newest == paxos.Ballot{}) {
		_, err := a.replica.Learn(newest, value)
		return Settled, err
	}
	next, err := register.Encode()
	if err != nil {
		return Wait, fmt.Errorf("replica: encode a register: %w", err)
	}
	if p.Brings != nil {
		a.round.Widen(p.Brings)
		a.Voters = Union(append(slices.Clone(a.sets), p.Brings)...)
	}
	a.Accept = paxos.Accept{Ballot: a.Prepare.Ballot, Value: next}
	a.Base, a.BaseBallot = value, newest
	return Vote, nil
}

// Voted takes in an answer to Accept.
func (a *Attempt) Voted(from string, m paxos.Reply) (Step, error) {
	a.replica.Saw(m.Promised.Number)
	if !a.round.Vote(from, m) {
		return Wait, nil
	}
	_, err := a.replica.Learn(a.Accept.Ballot, a.Accept.Value)
	return Settled, err
}
