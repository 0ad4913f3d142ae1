package controlstate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"example.org/madderdrum/control/paxos"
)

// voting models a change of voters. Proposers change the register by rounds: one adds or replaces voters,
// the others evacuate zones. Messages are reordered or lost, rounds are abandoned and restarted, and a
// proposer may learn late what was chosen.
type voting struct {
	rng            *rand.Rand
	acceptors      map[string]*paxos.Acceptor
	values         []*Register // proposed registers; the encoded value is an index into these
	proposers      []*proposer
	chosen         []choice // sorted by ballot; they may be chosen in another order
	keepsVoterSets bool     // deliberate violation: a round keeps the voter sets that it began with
}

// choice is a chosen register with its ballot.
type choice struct {
	ballot paxos.Ballot
	*Register
}

// proposer is one proposer of the model.
type proposer struct {
	node         uint64
	orders       []Order
	known        paxos.Ballot
	register     *Register
	voterSetHint [][]string
	number       uint64
	round        *paxos.Round
	voterSets    [][]string
	next         *Register
	value        []byte
	inFlight     []string // acceptors that the current request has not reached yet
}

var initialVoters = []string{"1", "2", "3"}

// begin starts a new round.
func (v *voting) begin(p *proposer) {
	p.number++
	p.voterSets = p.register.VoterSets(initialVoters)
	if p.voterSetHint != nil {
		p.voterSets = p.voterSetHint
	}
	p.round = paxos.NewRound(paxos.Ballot{Number: p.number, Node: p.node}, p.voterSets...)
	p.inFlight = union(p.voterSets)
}

// union returns the sorted union of the sets.
func union(voterSets [][]string) (voters []string) {
	for _, s := range voterSets {
		voters = append(voters, s...)
	}
	slices.Sort(voters)
	return slices.Compact(voters)
}

// step delivers or loses one message of a random proposer, or starts its next round.
func (v *voting) step() {
	p := v.proposers[v.rng.IntN(len(v.proposers))]
	if p.round == nil || p.round.Phase() == paxos.Preempted || len(p.inFlight) == 0 || v.rng.IntN(20) == 0 {
		v.begin(p)
		return
	}
	k := v.rng.IntN(len(p.inFlight))
	to := v.acceptors[p.inFlight[k]]
	name := p.inFlight[k]
	p.inFlight = slices.Delete(p.inFlight, k, k+1)
	if v.rng.IntN(5) == 0 {
		return
	}
	if p.round.Phase() == paxos.Preparing {
		reply, _ := to.Prepare(paxos.Prepare{Ballot: p.round.Ballot})
		p.number = max(p.number, reply.Promised.Number)
		if p.round.HandlePromise(name, reply) {
			v.propose(p)
		}
		return
	}
	reply, _ := to.Accept(paxos.Accept{Ballot: p.round.Ballot, Value: p.value})
	if p.round.HandleVote(name, reply) {
		v.chosen = append(v.chosen, choice{p.round.Ballot, p.next})
		slices.SortFunc(v.chosen, func(a, b choice) int { return a.ballot.Compare(b.ballot) })
		p.known, p.register, p.voterSetHint, p.round = p.round.Ballot, p.next, nil, nil
	}
}

// propose builds a proposer's new value once a majority has promised.
func (v *voting) propose(p *proposer) {
	newest, value := p.round.NewestAccepted()
	register := &Register{}
	if len(value) > 0 {
		register = v.values[value[0]].Clone()
	}
	promisedSets := p.voterSets
	if v.keepsVoterSets {
		promisedSets = register.VoterSets(initialVoters)
	}
	proposal := register.Propose(initialVoters, promisedSets, newest == p.known && newest != paxos.Ballot{}, [][]Order{p.orders})
	if proposal.RequiredSets != nil {
		p.voterSetHint, p.round = proposal.RequiredSets, nil
		return
	}
	p.inFlight = union(p.voterSets)
	if proposal.NewVoterSet != nil && !v.keepsVoterSets {
		p.round.AddVoterSet(proposal.NewVoterSet)
		p.inFlight = union(append(slices.Clone(p.voterSets), proposal.NewVoterSet))
	}
	p.next, p.value = register, []byte{byte(len(v.values))}
	v.values = append(v.values, register)
	// The proposer's next round has a new order.
	if p.orders[0].Kind == BeginEvacuation {
		p.orders = []Order{{Kind: BeginEvacuation, Zone: fmt.Sprintf("z%d-%d", p.node, len(v.values))}}
	}
}

// checkChain returns an error if a chosen register lacks an evacuation that was chosen under an earlier ballot.
func (v *voting) checkChain() error {
	for i := 1; i < len(v.chosen); i++ {
		a, b := v.chosen[i-1], v.chosen[i]
		for _, z := range a.EvacuatedZones {
			if !slices.Contains(b.EvacuatedZones, z) {
				return fmt.Errorf("%v was chosen and later %v, which lacks a zone of it", a.EvacuatedZones, b.EvacuatedZones)
			}
		}
	}
	return nil
}

// runSchedule runs one schedule in which two voters are added or, with replace, one replaces another.
func runSchedule(seed uint64, keepsVoterSets, replace bool) (*voting, error) {
	v := &voting{rng: rand.New(rand.NewPCG(seed, 11)), acceptors: map[string]*paxos.Acceptor{}, keepsVoterSets: keepsVoterSets}
	for _, name := range []string{"1", "2", "3", "4", "5"} {
		v.acceptors[name] = &paxos.Acceptor{}
	}
	for i := range 3 {
		p := &proposer{node: uint64(i + 1), register: &Register{}, orders: []Order{{Kind: BeginEvacuation, Zone: fmt.Sprint("z", i)}}}
		if i == 0 {
			p.orders = []Order{{Kind: ChangeVoters, AddVoters: []string{"4", "5"}, InitialVoters: initialVoters}, {Kind: BeginEvacuation, Zone: "seat"}}
			if replace {
				p.orders[0].AddVoters, p.orders[0].RemoveVoters = []string{"4"}, []string{"1"}
			}
		}
		v.proposers = append(v.proposers, p)
	}
	for range 400 {
		if len(v.values) < 200 {
			v.step()
		}
		if err := v.checkChain(); err != nil {
			return v, err
		}
	}
	return v, nil
}

// Nothing that was chosen is lost when the voter set grows from three to five. Rounds that keep the voter
// sets they began with must be detected as a violation.
func TestVotersChange(t *testing.T) {
	completed := 0
	for seed := range uint64(3000) {
		v, err := runSchedule(seed, false, false)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if n := len(v.chosen); n > 0 && len(v.chosen[n-1].Voters) == 5 && len(v.chosen[n-1].Prior) == 0 {
			completed++
		}
	}
	if completed < 300 {
		t.Errorf("the change to five voters was completed in only %d of 3000 schedules", completed)
	}
	for seed := range uint64(20000) {
		if _, err := runSchedule(seed, true, false); err != nil {
			return
		}
	}
	t.Error("no violation is detected although rounds keep the voter sets that they began with")
}

// Nothing that was chosen is lost when one machine replaces another as a voter.
func TestVoterReplaced(t *testing.T) {
	completed := 0
	for seed := range uint64(3000) {
		v, err := runSchedule(seed, false, true)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if n := len(v.chosen); n > 0 && slices.Equal(v.chosen[n-1].Voters, []string{"2", "3", "4"}) && len(v.chosen[n-1].Prior) == 0 {
			completed++
		}
	}
	if completed < 300 {
		t.Errorf("the replacement was completed in only %d of 3000 schedules", completed)
	}
	r := &Register{}
	if out := r.Apply(&Order{Kind: ChangeVoters, RemoveVoters: []string{"1"}, InitialVoters: initialVoters}); out.Status != 400 || r.Seq != 0 {
		t.Errorf("a change that leaves two voters: %+v", out)
	}
	if out := r.Apply(&Order{Kind: ChangeVoters, AddVoters: []string{"4"}, RemoveVoters: []string{"1"}, InitialVoters: initialVoters}); out.Status != 200 {
		t.Errorf("replacement of a voter: %+v", out)
	}
	if out := r.Apply(&Order{Kind: ChangeVoters, AddVoters: []string{"5"}, InitialVoters: initialVoters}); out.Status != 409 {
		t.Errorf("a second change before the first is chosen: %+v", out)
	}
}

// A machine must not hold two seats under two disk identities.
func TestOneSeatAMachine(t *testing.T) {
	r := &Register{}
	newDisk := VoterID("2", 7)
	if out := r.Apply(&Order{Kind: ChangeVoters, AddVoters: []string{newDisk}, InitialVoters: initialVoters}); out.Status != 409 || r.Seq != 0 {
		t.Errorf("a second seat for the same machine: %+v", out)
	}
	if out := r.Apply(&Order{Kind: ChangeVoters, AddVoters: []string{newDisk}, RemoveVoters: []string{"2"}, InitialVoters: initialVoters}); out.Status != 200 {
		t.Errorf("a new disk in place of the first: %+v", out)
	}
}

// A machine that restarts without its disk may be configured with other seeds than at first. It must not
// use them as voters: a majority of the seeds and a majority of the voters may have no member in common.
func TestVotersOutliveSeeds(t *testing.T) {
	r := &Register{}
	if proposal := r.Propose(initialVoters, [][]string{initialVoters}, false, [][]Order{{{Kind: BeginEvacuation, Zone: "north-a"}}}); !proposal.Changed || proposal.NewVoterSet != nil {
		t.Fatalf("%+v", proposal)
	}
	seeds := []string{"1", "4", "5"}
	for _, promisedSets := range [][][]string{{seeds}, {initialVoters}} {
		proposal := r.Clone().Propose(seeds, promisedSets, true, [][]Order{{{Kind: FinishEvacuation, Zone: "north-a"}}})
		if restarts := proposal.RequiredSets != nil; restarts != !slices.Equal(promisedSets[0], initialVoters) || restarts && !slices.Equal(proposal.RequiredSets[0], initialVoters) {
			t.Errorf("promises from %v with the seeds %v: %+v", promisedSets, seeds, proposal)
		}
	}
}
