package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/paxos"
)

// The model: stores with their disks, of which one is replaced and one loses its disk, and messages
// that are lost, doubled and late. Each step does one thing at one store, so that a crash can come
// between any two. Nothing waits and nothing reads a clock: time is the number of steps.

// Faults that are built into a model on purpose, to see that its checks find them.
const (
	faithful          = ""
	sameIdentity      = "a machine votes at once, after the loss of its disk, as the voter that it was"
	oldSetNotAsked    = "a new voter is seated by the new set alone"
	newSetNotAsked    = "a change of voters does not count by the set that it brings"
	acknowledgesEarly = "an acceptor answers before its record is on the disk"
	provesAlone       = "a store extends its proof alone"
)

type packet struct {
	from, to int // indices of stores
	attempt  int // of the sender, to which it belongs
	call     string
	prepare  paxos.Prepare
	accept   paxos.Accept
	reply    *paxos.Reply // nil: a request
}

type store struct {
	ip       string
	up       bool
	acceptor paxos.Acceptor
	synced   paxos.Record // what a crash leaves
	replica  *Replica
	attempt  *Attempt
	serial   int // of the attempt
	order    *controlstate.Order
	confirm  *Confirmation
	asked    int // the step at which the confirmation began
	begunAt  int // the step at which the attempt began
}

type model struct {
	rng    *rand.Rand
	fault  string
	first  []string
	stores []*store
	flying []packet
	steps  int
	orders int
	disks  uint64
	acked  map[string]ack // zones of acknowledged orders
	events int
	lostAt int // the step of the latest loss
	err    error
}

// ack is when an order was acknowledged, and by which ballot it was chosen.
type ack struct {
	step   int
	ballot paxos.Ballot
}

func newModel(seed uint64, voters int, fault string) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 29)), fault: fault, acked: map[string]ack{}}
	for i := range voters {
		m.first = append(m.first, fmt.Sprint("m", i))
	}
	for i := range voters {
		m.stores = append(m.stores, &store{ip: m.first[i], up: true, replica: New(uint64(i+1), 0, m.first)})
	}
	return m
}

func (m *model) id(s *store) string { return controlstate.VoterID(s.ip, s.acceptor.Record.Disk) }

func (m *model) find(ip string) int {
	return slices.IndexFunc(m.stores, func(s *store) bool { return s.ip == ip })
}

// send has messages on their way to the machines of voters.
func (m *model) send(from int, voters []string, call string) {
	s := m.stores[from]
	for _, ip := range Machines(voters) {
		to := m.find(ip)
		if to < 0 {
			continue
		}
		p := packet{from: from, to: to, attempt: s.serial, call: call}
		switch call {
		case "prepare":
			p.prepare = s.attempt.Prepare
		case "accept":
			p.accept = s.attempt.Accept
		case "read":
			p.prepare.Known = s.confirm.Known()
		}
		m.flying = append(m.flying, p)
	}
}

// begin has a store hold a round for an order.
func (m *model) begin(i int) {
	s := m.stores[i]
	s.serial++
	s.begunAt = m.steps
	var batch [][]controlstate.Order
	if s.order != nil {
		batch = [][]controlstate.Order{{*s.order}}
	}
	s.attempt = s.replica.Begin(batch)
	m.send(i, s.attempt.Voters, "prepare")
}

// deliver carries one message.
func (m *model) deliver(k int) {
	p := m.flying[k]
	if m.rng.IntN(12) != 0 { // else it comes once more
		m.flying = slices.Delete(m.flying, k, k+1)
	}
	to := m.stores[p.to]
	if m.rng.IntN(10) == 0 || !to.up {
		return
	}
	if p.reply == nil {
		m.answer(p, to)
		return
	}
	m.takeReply(p, to)
}

// answer has an acceptor answer a request. Its record is on the disk before the answer leaves.
func (m *model) answer(p packet, s *store) {
	var reply paxos.Reply
	switch p.call {
	case "prepare":
		reply, _ = s.acceptor.Prepare(p.prepare)
	case "accept":
		reply, _ = s.acceptor.Accept(p.accept)
	case "read":
		reply = s.acceptor.Read(p.prepare.Known)
	}
	if m.fault != acknowledgesEarly || m.rng.IntN(2) == 0 {
		s.synced = s.acceptor.Record
	}
	p.from, p.to, p.reply = p.to, p.from, &reply
	m.flying = append(m.flying, p)
}

// takeReply has a proposer take an answer in.
func (m *model) takeReply(p packet, s *store) {
	from := controlstate.VoterID(m.stores[p.from].ip, p.reply.Disk)
	if p.call == "read" {
		if s.confirm == nil || p.attempt != s.asked {
			return
		}
		_, err := s.confirm.Hear(from, *p.reply)
		m.fail(err)
		m.checkChain(s)
		if s.confirm.Proven() {
			m.checkCurrent(s)
			s.confirm = nil
		}
		return
	}
	if s.attempt == nil || p.attempt != s.serial {
		return
	}
	switch p.call {
	case "prepare":
		step, err := s.attempt.Promise(from, *p.reply)
		m.fail(err)
		m.follow(p.to, s, step)
	case "accept":
		step, err := s.attempt.Voted(from, *p.reply)
		m.fail(err)
		m.follow(p.to, s, step)
	}
}

func (m *model) follow(i int, s *store, step Step) {
	switch step {
	case Restart:
		m.begin(i)
	case Vote:
		m.spoil(s)
		m.send(i, s.attempt.Voters, "accept")
	case Settled:
		m.settled(s)
	}
}

// spoil changes by which sets a round counts votes.
func (m *model) spoil(s *store) {
	register, err := controlstate.Decode(s.attempt.Accept.Value)
	m.fail(err)
	if err != nil || len(register.Prior) == 0 {
		return
	}
	var sets [][]string
	switch m.fault {
	case oldSetNotAsked:
		sets = [][]string{register.Voters}
	case newSetNotAsked:
		sets = [][]string{register.Prior}
	default:
		return
	}
	// A round that has its promises, and counts votes by other sets.
	counted := paxos.NewRound(s.attempt.Prepare.Ballot, [][]string{}...)
	counted.Promise("any", paxos.Reply{OK: true})
	for _, set := range sets {
		counted.Widen(set)
	}
	s.attempt.round = counted
	s.attempt.Voters = Union(sets...)
}

func (m *model) settled(s *store) {
	defer func() { s.attempt = nil }()
	if s.order == nil || len(s.attempt.Outcomes()) == 0 {
		return
	}
	if out := s.attempt.Outcomes()[0][0]; out.Status == 200 && s.order.Kind == controlstate.Begin {
		if _, again := m.acked[s.order.Zone]; !again {
			m.acked[s.order.Zone] = ack{m.steps, s.replica.Chosen()}
		}
	}
	m.checkChain(s)
	m.checkCopies(s)
	s.order = nil
}

// checkCopies has a majority of each set of voters hold on its disks what was just acknowledged,
// unless a disk was lost since the round began.
func (m *model) checkCopies(s *store) {
	if m.lostAt >= s.begunAt {
		return
	}
	for _, set := range s.replica.Register().Sets(m.first) {
		copies := 0
		for _, other := range m.stores {
			if slices.Contains(set, m.id(other)) && other.synced.Accepted.Compare(s.replica.Chosen()) >= 0 {
				copies++
			}
		}
		if copies < paxos.Majority(len(set)) {
			m.fail(fmt.Errorf("step %d: what was acknowledged by ballot %v is on %d disks of %v", m.steps, s.replica.Chosen(), copies, set))
		}
	}
}

// checkChain has what a store knows to be chosen hold all that was chosen by earlier ballots.
func (m *model) checkChain(s *store) {
	for zone, a := range m.acked {
		if a.ballot.Compare(s.replica.Chosen()) <= 0 {
			m.checkHolds(s, zone, a)
		}
	}
}

func (m *model) fail(err error) {
	if err != nil && m.err == nil {
		m.err = err
	}
}

func (m *model) checkHolds(s *store, zone string, a ack) {
	if !slices.Contains(s.replica.Register().Evac, zone) {
		m.fail(fmt.Errorf("step %d: %s holds %v, without %s, which was acknowledged at step %d", m.steps, m.id(s), s.replica.Register().Evac, zone, a.step))
	}
}

// checkCurrent has what is proven to be current hold all that was acknowledged when the proof began.
func (m *model) checkCurrent(s *store) {
	for zone, a := range m.acked {
		if a.step < s.asked {
			m.checkHolds(s, zone, a)
		}
	}
}

// crash ends a process and starts it again: what is not on its disk is gone.
func (m *model) crash(i int) {
	s := m.stores[i]
	s.acceptor.Record = s.synced
	first := m.first
	if s.acceptor.Record.Disk != 0 {
		first = nil
	}
	s.replica = New(uint64(i+1), uint64(m.steps), first)
	s.replica.Saw(s.synced.Promised.Number)
	s.attempt, s.confirm, s.serial = nil, nil, s.serial+1000
}

// wipe has a machine lose its disk.
func (m *model) wipe(i int) {
	s := m.stores[i]
	m.disks++
	s.synced = paxos.Record{Disk: m.disks}
	if m.fault == sameIdentity {
		s.synced.Disk = 0
	}
	m.crash(i)
	s.replica.first = nil
	if m.fault == sameIdentity {
		s.replica.first = m.first
	}
}

// replace has a machine gone for good and another one come.
func (m *model) replace(i int) {
	m.stores[i].up = false
	m.disks++
	s := &store{ip: fmt.Sprint("m", len(m.stores)), up: true, replica: New(uint64(len(m.stores)+1), 0, nil)}
	s.synced = paxos.Record{Disk: m.disks}
	s.acceptor.Record = s.synced
	m.stores = append(m.stores, s)
}

// reseat is the order by which a machine takes a seat that is free: that of its own lost disk, or of
// a machine that is gone.
func (m *model) reseat(by *store) *controlstate.Order {
	register := by.replica.Register()
	voters := register.Sets(by.replica.First())
	for _, s := range m.stores {
		id := m.id(s)
		if !s.up || slices.Contains(voters[len(voters)-1], id) {
			continue
		}
		for _, v := range voters[len(voters)-1] {
			k := m.find(controlstate.VoterIP(v))
			if k >= 0 && (!m.stores[k].up || m.id(m.stores[k]) != v) {
				return &controlstate.Order{Kind: controlstate.ChangeVoters, Seats: []string{id}, Leave: []string{v}, Term: register.Term(), First: by.replica.First()}
			}
		}
	}
	return nil
}

// confirmAt has a store ask whether what it knows is current.
func (m *model) confirmAt(i int) {
	s := m.stores[i]
	s.confirm, s.asked = s.replica.Confirm(time.Duration(m.steps)), m.steps
	if m.fault == provesAlone {
		s.confirm.paxos = paxos.NewConfirmation(s.confirm.Known(), [][]string{{m.id(s)}})
	}
	serial := s.serial
	s.serial = s.asked
	m.send(i, Union(append(s.replica.Sets(), m.first)...), "read")
	s.serial = serial
	for _, other := range m.stores { // a machine that knows no voters asks who began
		if s.replica.First() == nil && other.up && other.replica.First() != nil {
			s.replica.LearnFirst(other.replica.First())
		}
	}
}

// turnSteps is for how long one proposer is left alone once the faults have ended.
const turnSteps = 250

// step does one thing somewhere.
func (m *model) step(calm bool) {
	m.steps++
	if len(m.flying) > 0 && m.rng.IntN(10) < 8 {
		m.deliver(m.rng.IntN(len(m.flying)))
		return
	}
	i := m.rng.IntN(len(m.stores))
	s := m.stores[i]
	if !s.up {
		return
	}
	switch m.rng.IntN(6) {
	case 0, 1, 2:
		if calm && (m.steps/turnSteps)%len(m.stores) != i { // pauses of different lengths keep proposers apart
			return
		}
		if s.order == nil {
			m.orders++
			s.order = &controlstate.Order{Kind: controlstate.Begin, Zone: fmt.Sprintf("z%03d", m.orders)}
			if change := m.reseat(s); change != nil && m.rng.IntN(2) == 0 {
				s.order = change
			} else if len(s.replica.Register().Prior) > 0 {
				s.order = nil
			}
		}
		if s.attempt == nil || !calm && m.rng.IntN(4) == 0 || m.steps-s.begunAt > turnSteps/4 {
			m.begin(i)
		}
	case 3:
		m.confirmAt(i)
	case 4:
		if value := s.replica.Value(); value != nil && s.acceptor.Learn(s.replica.Chosen(), value) {
			s.synced = s.acceptor.Record
		}
	case 5:
		if !calm && m.rng.IntN(4) == 0 {
			m.crash(i)
		}
	}
}

// comeBack has a machine that was taken for gone run again: it was only cut off.
func (m *model) comeBack() {
	for _, s := range m.stores {
		if !s.up && m.rng.IntN(40) == 0 {
			s.up = true
		}
	}
}

// disturb has one of the two losses happen. The second one waits until the seat of the first is taken.
func (m *model) disturb() {
	if m.events == 2 || m.rng.IntN(60) != 0 {
		return
	}
	for _, s := range m.stores {
		register := s.replica.Register()
		if m.events > 0 && s.up && (len(register.Prior) > 0 || m.reseat(s) != nil) {
			return // the loss before is not made good yet, as far as this one knows
		}
	}
	i := m.rng.IntN(len(m.stores))
	if !m.stores[i].up || !slices.Contains(m.stores[i].replica.Sets()[0], m.id(m.stores[i])) {
		return
	}
	m.lostAt = m.steps
	if m.events++; m.rng.IntN(2) == 0 {
		m.wipe(i)
	} else {
		m.replace(i)
	}
}

var errStuck = errors.New("no order was agreed on after the faults had ended")

// play runs one schedule with faults, and then until one more order is agreed on.
func play(seed uint64, voters int, fault string) (*model, error) {
	m := newModel(seed, voters, fault)
	for range 200 * voters {
		m.step(false)
		m.disturb()
		m.comeBack()
		if m.err != nil {
			return m, fmt.Errorf("seed %d: %w", seed, m.err)
		}
	}
	before := len(m.acked)
	for range 6000 {
		m.step(true)
		if m.err != nil {
			return m, fmt.Errorf("seed %d: %w", seed, m.err)
		}
		if len(m.acked) > before {
			return m, nil
		}
		if len(m.flying) > 60 { // the oldest are lost
			m.flying = m.flying[20:]
		}
	}
	return m, fmt.Errorf("seed %d: %w", seed, errStuck)
}

// Three and five stores, of which up to two are replaced or lose their disks one after the other.
func TestModel(t *testing.T) {
	for _, voters := range []int{3, 5} {
		steps, acked, reseated := 0, 0, 0
		for seed := range uint64(1500) {
			m, err := play(seed, voters, faithful)
			if err != nil {
				t.Fatalf("%d voters: %v", voters, err)
			}
			steps += m.steps
			acked += len(m.acked)
			for _, s := range m.stores {
				if s.up && s.replica.Register().VoterChanges > 0 {
					reseated++
					break
				}
			}
		}
		t.Logf("%d voters: 1500 schedules, %d steps, %d orders acknowledged, voters changed in %d", voters, steps, acked, reseated)
		if reseated < 400 {
			t.Errorf("%d voters: seats were taken in %d schedules of 1500", voters, reseated)
		}
	}
}

// Each fault that is built in is found.
func TestModelFindsFaults(t *testing.T) {
	for _, fault := range []string{sameIdentity, oldSetNotAsked, newSetNotAsked, acknowledgesEarly, provesAlone} {
		found := false
		for seed := range uint64(6000) {
			if _, err := play(seed, 3, fault); err != nil {
				t.Logf("%s: %v", fault, err)
				found = true
				break
			}
		}
		if !found {
			t.Errorf("nothing is found wrong where %s", fault)
		}
	}
}
