package controlstate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"example.org/madderdrum/control/paxos"
)

// The model of a change of voters: proposers change the register by rounds, one of them lets
// two further machines vote, the others evacuate zones. Messages arrive in any order or are
// lost, rounds are given up and begun again, and a proposer may learn of what is chosen late.
type voting struct {
	rng    *rand.Rand
	acc    map[string]*paxos.Acceptor
	values []*Register // by number; a value on the wire is its number
	props  []*proposer
	chosen []choice // in the order of their ballots, which may be seen out of order
	stale  bool     // the rule broken: a round goes on with the sets it began with
}

type choice struct {
	ballot paxos.Ballot
	*Register
}

type proposer struct {
	node   uint64
	orders []Order
	known  paxos.Ballot
	reg    *Register
	hint   [][]string
	number uint64
	round  *paxos.Round
	sets   [][]string
	next   *Register
	value  []byte
	flying []string // acceptors that are still to hear the present message
}

var first = []string{"1", "2", "3"}

func (v *voting) begin(p *proposer) {
	p.number++
	p.sets = p.reg.Sets(first)
	if p.hint != nil {
		p.sets = p.hint
	}
	p.round = paxos.NewRound(paxos.Ballot{Number: p.number, Node: p.node}, p.sets...)
	p.flying = all(p.sets)
}

func all(sets [][]string) (voters []string) {
	for _, s := range sets {
		voters = append(voters, s...)
	}
	slices.Sort(voters)
	return slices.Compact(voters)
}

// step delivers one message of one proposer, or loses it.
func (v *voting) step() {
	p := v.props[v.rng.IntN(len(v.props))]
	if p.round == nil || p.round.Phase() == paxos.Beaten || len(p.flying) == 0 || v.rng.IntN(20) == 0 {
		v.begin(p)
		return
	}
	k := v.rng.IntN(len(p.flying))
	to := v.acc[p.flying[k]]
	name := p.flying[k]
	p.flying = slices.Delete(p.flying, k, k+1)
	if v.rng.IntN(5) == 0 {
		return
	}
	if p.round.Phase() == paxos.Preparing {
		reply, _ := to.Prepare(paxos.Prepare{Ballot: p.round.Ballot})
		p.number = max(p.number, reply.Promised.Number)
		if p.round.Promise(name, reply) {
			v.turn(p)
		}
		return
	}
	reply, _ := to.Accept(paxos.Accept{Ballot: p.round.Ballot, Value: p.value})
	if p.round.Vote(name, reply) {
		v.chosen = append(v.chosen, choice{p.round.Ballot, p.next})
		slices.SortFunc(v.chosen, func(a, b choice) int { return a.ballot.Compare(b.ballot) })
		p.known, p.reg, p.hint, p.round = p.round.Ballot, p.next, nil, nil
	}
}

func (v *voting) turn(p *proposer) {
	newest, value := p.round.Newest()
	reg := &Register{}
	if len(value) > 0 {
		reg = v.values[value[0]].Clone()
	}
	counted := p.sets
	if v.stale {
		counted = reg.Sets(first)
	}
	t := reg.Propose(first, counted, newest == p.known && newest != paxos.Ballot{}, [][]Order{p.orders})
	if t.Need != nil {
		p.hint, p.round = t.Need, nil
		return
	}
	p.flying = all(p.sets)
	if t.Brings != nil && !v.stale {
		p.round.Widen(t.Brings)
		p.flying = all(append(slices.Clone(p.sets), t.Brings))
	}
	p.next, p.value = reg, []byte{byte(len(v.values))}
	v.values = append(v.values, reg)
	// The next order of a proposer is another one.
	if p.orders[0].Kind == Begin {
		p.orders = []Order{{Kind: Begin, Zone: fmt.Sprintf("z%d-%d", p.node, len(v.values))}}
	}
}

// wrong tells that something chosen is not built on what was chosen before it.
func (v *voting) wrong() error {
	for i := 1; i < len(v.chosen); i++ {
		a, b := v.chosen[i-1], v.chosen[i]
		for _, z := range a.Evac {
			if !slices.Contains(b.Evac, z) {
				return fmt.Errorf("%v was chosen, and then %v without it", a.Evac, b.Evac)
			}
		}
	}
	return nil
}

// play has voters change: two more come to vote or, with replace, one takes the place of another.
func play(seed uint64, stale, replace bool) (*voting, error) {
	v := &voting{rng: rand.New(rand.NewPCG(seed, 11)), acc: map[string]*paxos.Acceptor{}, stale: stale}
	for _, name := range []string{"1", "2", "3", "4", "5"} {
		v.acc[name] = &paxos.Acceptor{}
	}
	for i := range 3 {
		p := &proposer{node: uint64(i + 1), reg: &Register{}, orders: []Order{{Kind: Begin, Zone: fmt.Sprint("z", i)}}}
		if i == 0 {
			p.orders = []Order{{Kind: ChangeVoters, Seats: []string{"4", "5"}, First: first}, {Kind: Begin, Zone: "seat"}}
			if replace {
				p.orders[0].Seats, p.orders[0].Leave = []string{"4"}, []string{"1"}
			}
		}
		v.props = append(v.props, p)
	}
	for range 400 {
		if len(v.values) < 200 {
			v.step()
		}
		if err := v.wrong(); err != nil {
			return v, err
		}
	}
	return v, nil
}

func TestVotersChange(t *testing.T) {
	five := 0
	for seed := range uint64(3000) {
		v, err := play(seed, false, false)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if n := len(v.chosen); n > 0 && len(v.chosen[n-1].Voters) == 5 && len(v.chosen[n-1].Prior) == 0 {
			five++
		}
	}
	if five < 300 {
		t.Errorf("five vote at the end of %d of 3000 schedules", five)
	}
	for seed := range uint64(20000) {
		if _, err := play(seed, true, false); err != nil {
			return
		}
	}
	t.Error("nothing is found wrong where rounds go on with the sets that they began with")
}

// One machine takes the place of another, and nothing that was chosen is lost by it.
func TestVoterReplaced(t *testing.T) {
	done := 0
	for seed := range uint64(3000) {
		v, err := play(seed, false, true)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if n := len(v.chosen); n > 0 && slices.Equal(v.chosen[n-1].Voters, []string{"2", "3", "4"}) && len(v.chosen[n-1].Prior) == 0 {
			done++
		}
	}
	if done < 300 {
		t.Errorf("the other machine votes at the end of %d of 3000 schedules", done)
	}
	r := &Register{}
	if out := r.Apply(&Order{Kind: ChangeVoters, Leave: []string{"1"}, First: first}); out.Status != 400 || r.Seq != 0 {
		t.Errorf("two are left: %+v", out)
	}
	if out := r.Apply(&Order{Kind: ChangeVoters, Seats: []string{"4"}, Leave: []string{"1"}, First: first}); out.Status != 200 {
		t.Errorf("one for another: %+v", out)
	}
	if out := r.Apply(&Order{Kind: ChangeVoters, Seats: []string{"5"}, First: first}); out.Status != 409 {
		t.Errorf("a second change before the first one is chosen: %+v", out)
	}
}

// No machine has two seats, by two disks.
func TestOneSeatAMachine(t *testing.T) {
	r := &Register{}
	again := VoterID("2", 7)
	if out := r.Apply(&Order{Kind: ChangeVoters, Seats: []string{again}, First: first}); out.Status != 409 || r.Seq != 0 {
		t.Errorf("a second seat: %+v", out)
	}
	if out := r.Apply(&Order{Kind: ChangeVoters, Seats: []string{again}, Leave: []string{"2"}, First: first}); out.Status != 200 {
		t.Errorf("another disk in place of the first: %+v", out)
	}
}

// A machine that begins again without its disk is told other seeds than it was at first. It must
// not count by those: two of them and two of the voters may share nobody.
func TestVotersOutliveSeeds(t *testing.T) {
	r := &Register{}
	if turn := r.Propose(first, [][]string{first}, false, [][]Order{{{Kind: Begin, Zone: "north-a"}}}); !turn.Changed || turn.Brings != nil {
		t.Fatalf("%+v", turn)
	}
	later := []string{"1", "4", "5"}
	for _, counted := range [][][]string{{later}, {first}} {
		turn := r.Clone().Propose(later, counted, true, [][]Order{{{Kind: Finish, Zone: "north-a"}}})
		if begins := turn.Need != nil; begins != !slices.Equal(counted[0], first) || begins && !slices.Equal(turn.Need[0], first) {
			t.Errorf("counted by %v with the seeds %v: %+v", counted, later, turn)
		}
	}
}
