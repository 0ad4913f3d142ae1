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

// The model: stores with their disks, of which up to two are replaced or lose their disks, and messages
// that are lost, duplicated and delayed. Each step performs one action at one store, so that a crash can
// occur between any two actions. Time is the number of steps.

// Deliberate protocol violations, which the checks of the model must detect.
const (
	faithful          = ""
	sameIdentity      = "a machine keeps its voter ID after losing its disk"
	oldSetNotAsked    = "a change of voters needs no majority of the old set"
	newSetNotAsked    = "a change of voters needs no majority of the new set"
	acknowledgesEarly = "an acceptor replies before its record is on disk"
	provesAlone       = "a store confirms its register without the other voters"
)

// packet is a request or a reply in flight.
type packet struct {
	from, to int    // indices of stores
	attempt  int    // serial number of the proposer's attempt or confirmation
	call     string // "prepare", "accept" or "read"
	prepare  paxos.Prepare
	accept   paxos.Accept
	reply    *paxos.Reply // nil in a request
}

// store is one simulated core machine.
type store struct {
	ip             string
	up             bool
	acceptor       paxos.Acceptor
	synced         paxos.Record // the record on disk, which survives a crash
	replica        *Replica
	attempt        *Attempt
	serial         int // identifies the current attempt
	order          *controlstate.Order
	confirm        *Confirmation
	confirmBegunAt int // the step at which the confirmation began
	attemptBegunAt int // the step at which the attempt began
}

// model is one simulated schedule of messages and faults.
type model struct {
	rng           *rand.Rand
	fault         string
	initialVoters []string
	stores        []*store
	inFlight      []packet
	steps         int
	orderCount    int
	lastDisk      uint64
	acknowledged  map[string]ack // acknowledged evacuations, by zone
	losses        int
	lostAt        int // the step of the latest lost disk or machine
	err           error
}

// ack records when an order was acknowledged and which ballot chose it.
type ack struct {
	step   int
	ballot paxos.Ballot
}

func newModel(seed uint64, voters int, fault string) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 29)), fault: fault, acknowledged: map[string]ack{}}
	for i := range voters {
		m.initialVoters = append(m.initialVoters, fmt.Sprint("m", i))
	}
	for i := range voters {
		m.stores = append(m.stores, &store{ip: m.initialVoters[i], up: true, replica: New(uint64(i+1), 0, m.initialVoters)})
	}
	return m
}

// id returns the voter ID of a store with its current disk.
func (m *model) id(s *store) string { return controlstate.VoterID(s.ip, s.acceptor.Record.Disk) }

// find returns the index of the store with an IP address, or -1.
func (m *model) find(ip string) int {
	return slices.IndexFunc(m.stores, func(s *store) bool { return s.ip == ip })
}

// send puts a request to each voter's machine in flight.
func (m *model) send(from int, voters []string, call string) {
	s := m.stores[from]
	for _, ip := range VoterIPs(voters) {
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
		m.inFlight = append(m.inFlight, p)
	}
}

// begin starts a round for a store's order, or one without orders.
func (m *model) begin(i int) {
	s := m.stores[i]
	s.serial++
	s.attemptBegunAt = m.steps
	var batch [][]controlstate.Order
	if s.order != nil {
		batch = [][]controlstate.Order{{*s.order}}
	}
	s.attempt = s.replica.Begin(batch)
	m.send(i, s.attempt.Voters, "prepare")
}

// deliver delivers one message, or loses or duplicates it.
func (m *model) deliver(k int) {
	p := m.inFlight[k]
	if m.rng.IntN(12) != 0 { // otherwise it is delivered again later
		m.inFlight = slices.Delete(m.inFlight, k, k+1)
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

// answer has an acceptor answer a request. Its record is on disk before the reply is sent.
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
	m.inFlight = append(m.inFlight, p)
}

// takeReply has a proposer process a reply.
func (m *model) takeReply(p packet, s *store) {
	from := controlstate.VoterID(m.stores[p.from].ip, p.reply.Disk)
	if p.call == "read" {
		if s.confirm == nil || p.attempt != s.confirmBegunAt {
			return
		}
		_, err := s.confirm.HandleReply(from, *p.reply)
		m.recordError(err)
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
		step, err := s.attempt.HandlePromise(from, *p.reply)
		m.recordError(err)
		m.follow(p.to, s, step)
	case "accept":
		step, err := s.attempt.HandleAccepted(from, *p.reply)
		m.recordError(err)
		m.follow(p.to, s, step)
	}
}

// follow carries out the step that an attempt asks for.
func (m *model) follow(i int, s *store, step Step) {
	switch step {
	case Restart:
		m.begin(i)
	case SendAccept:
		m.breakVoterSets(s)
		m.send(i, s.attempt.Voters, "accept")
	case Finished:
		m.finishAttempt(s)
	}
}

// breakVoterSets makes a round that changes the voters ignore the old or the new voter set, if the fault says so.
func (m *model) breakVoterSets(s *store) {
	register, err := controlstate.Decode(s.attempt.Accept.Value)
	m.recordError(err)
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
	// A round that already has its promises and counts votes from other sets.
	counted := paxos.NewRound(s.attempt.Prepare.Ballot, [][]string{}...)
	counted.HandlePromise("any", paxos.Reply{OK: true})
	for _, set := range sets {
		counted.AddVoterSet(set)
	}
	s.attempt.round = counted
	s.attempt.Voters = Union(sets...)
}

// finishAttempt records the outcome of a finished attempt and checks the invariants.
func (m *model) finishAttempt(s *store) {
	defer func() { s.attempt = nil }()
	if s.order == nil || len(s.attempt.Outcomes()) == 0 {
		return
	}
	if out := s.attempt.Outcomes()[0][0]; out.Status == 200 && s.order.Kind == controlstate.BeginEvacuation {
		if _, again := m.acknowledged[s.order.Zone]; !again {
			m.acknowledged[s.order.Zone] = ack{m.steps, s.replica.Chosen()}
		}
	}
	m.checkChain(s)
	m.checkCopies(s)
	s.order = nil
}

// checkCopies checks that a majority of each voter set has the acknowledged value on disk, unless a disk was
// lost since the round began.
func (m *model) checkCopies(s *store) {
	if m.lostAt >= s.attemptBegunAt {
		return
	}
	for _, set := range s.replica.Register().VoterSets(m.initialVoters) {
		copies := 0
		for _, other := range m.stores {
			if slices.Contains(set, m.id(other)) && other.synced.Accepted.Compare(s.replica.Chosen()) >= 0 {
				copies++
			}
		}
		if copies < paxos.Majority(len(set)) {
			m.recordError(fmt.Errorf("step %d: the value acknowledged under ballot %v is on %d disks of %v", m.steps, s.replica.Chosen(), copies, set))
		}
	}
}

// checkChain checks that a store's chosen register contains everything chosen by earlier ballots.
func (m *model) checkChain(s *store) {
	for zone, a := range m.acknowledged {
		if a.ballot.Compare(s.replica.Chosen()) <= 0 {
			m.checkHolds(s, zone, a)
		}
	}
}

// recordError records the first error.
func (m *model) recordError(err error) {
	if err != nil && m.err == nil {
		m.err = err
	}
}

// checkHolds checks that a store's register contains an acknowledged evacuation.
func (m *model) checkHolds(s *store, zone string, a ack) {
	if !slices.Contains(s.replica.Register().EvacuatedZones, zone) {
		m.recordError(fmt.Errorf("step %d: %s holds %v, without %s, which was acknowledged at step %d", m.steps, m.id(s), s.replica.Register().EvacuatedZones, zone, a.step))
	}
}

// checkCurrent checks that a register proven to be current contains everything acknowledged before the
// confirmation began.
func (m *model) checkCurrent(s *store) {
	for zone, a := range m.acknowledged {
		if a.step < s.confirmBegunAt {
			m.checkHolds(s, zone, a)
		}
	}
}

// crash restarts a process, which loses everything that is not on its disk.
func (m *model) crash(i int) {
	s := m.stores[i]
	s.acceptor.Record = s.synced
	initialVoters := m.initialVoters
	if s.acceptor.Record.Disk != 0 {
		initialVoters = nil
	}
	s.replica = New(uint64(i+1), uint64(m.steps), initialVoters)
	s.replica.ObserveBallotNumber(s.synced.Promised.Number)
	s.attempt, s.confirm, s.serial = nil, nil, s.serial+1000
}

// wipe restarts a machine with an empty disk.
func (m *model) wipe(i int) {
	s := m.stores[i]
	m.lastDisk++
	s.synced = paxos.Record{Disk: m.lastDisk}
	if m.fault == sameIdentity {
		s.synced.Disk = 0
	}
	m.crash(i)
	s.replica.initialVoters = nil
	if m.fault == sameIdentity {
		s.replica.initialVoters = m.initialVoters
	}
}

// replace shuts a machine down and adds another one.
func (m *model) replace(i int) {
	m.stores[i].up = false
	m.lastDisk++
	s := &store{ip: fmt.Sprint("m", len(m.stores)), up: true, replica: New(uint64(len(m.stores)+1), 0, nil)}
	s.synced = paxos.Record{Disk: m.lastDisk}
	s.acceptor.Record = s.synced
	m.stores = append(m.stores, s)
}

// takeOverOrder returns the order by which a machine takes over a seat: that of its own lost disk or that of a
// machine that is down. It returns nil if there is no such seat.
func (m *model) takeOverOrder(by *store) *controlstate.Order {
	register := by.replica.Register()
	voters := register.VoterSets(by.replica.InitialVoters())
	for _, s := range m.stores {
		id := m.id(s)
		if !s.up || slices.Contains(voters[len(voters)-1], id) {
			continue
		}
		for _, v := range voters[len(voters)-1] {
			k := m.find(controlstate.VoterIP(v))
			if k >= 0 && (!m.stores[k].up || m.id(m.stores[k]) != v) {
				return &controlstate.Order{Kind: controlstate.ChangeVoters, AddVoters: []string{id}, RemoveVoters: []string{v}, Term: register.Term(), InitialVoters: by.replica.InitialVoters()}
			}
		}
	}
	return nil
}

// confirmAt has a store ask the voters whether its register is current.
func (m *model) confirmAt(i int) {
	s := m.stores[i]
	s.confirm, s.confirmBegunAt = s.replica.Confirm(time.Duration(m.steps)), m.steps
	if m.fault == provesAlone {
		s.confirm.paxos = paxos.NewConfirmation(s.confirm.Known(), [][]string{{m.id(s)}})
	}
	serial := s.serial
	s.serial = s.confirmBegunAt
	m.send(i, Union(append(s.replica.VoterSets(), m.initialVoters)...), "read")
	s.serial = serial
	for _, other := range m.stores { // a machine that does not know the initial voters asks the others
		if s.replica.InitialVoters() == nil && other.up && other.replica.InitialVoters() != nil {
			s.replica.LearnInitialVoters(other.replica.InitialVoters())
		}
	}
}

// turnSteps is how many steps each proposer in turn may propose alone once the faults have ended.
const turnSteps = 250

// step performs one random action at one store. In calm steps there are no crashes.
func (m *model) step(calm bool) {
	m.steps++
	if len(m.inFlight) > 0 && m.rng.IntN(10) < 8 {
		m.deliver(m.rng.IntN(len(m.inFlight)))
		return
	}
	i := m.rng.IntN(len(m.stores))
	s := m.stores[i]
	if !s.up {
		return
	}
	switch m.rng.IntN(6) {
	case 0, 1, 2:
		if calm && (m.steps/turnSteps)%len(m.stores) != i { // the proposers take turns, so that their rounds do not preempt each other
			return
		}
		if s.order == nil {
			m.orderCount++
			s.order = &controlstate.Order{Kind: controlstate.BeginEvacuation, Zone: fmt.Sprintf("z%03d", m.orderCount)}
			if change := m.takeOverOrder(s); change != nil && m.rng.IntN(2) == 0 {
				s.order = change
			} else if len(s.replica.Register().Prior) > 0 {
				s.order = nil
			}
		}
		if s.attempt == nil || !calm && m.rng.IntN(4) == 0 || m.steps-s.attemptBegunAt > turnSteps/4 {
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

// reconnect reconnects a machine that was taken for gone but had only been partitioned.
func (m *model) reconnect() {
	for _, s := range m.stores {
		if !s.up && m.rng.IntN(40) == 0 {
			s.up = true
		}
	}
}

// injectLoss triggers one of the two losses at random. The second one waits until the first lost seat has been
// taken over.
func (m *model) injectLoss() {
	if m.losses == 2 || m.rng.IntN(60) != 0 {
		return
	}
	for _, s := range m.stores {
		register := s.replica.Register()
		if m.losses > 0 && s.up && (len(register.Prior) > 0 || m.takeOverOrder(s) != nil) {
			return // as far as this store knows, the seat of the first loss is still free
		}
	}
	i := m.rng.IntN(len(m.stores))
	if !m.stores[i].up || !slices.Contains(m.stores[i].replica.VoterSets()[0], m.id(m.stores[i])) {
		return
	}
	m.lostAt = m.steps
	if m.losses++; m.rng.IntN(2) == 0 {
		m.wipe(i)
	} else {
		m.replace(i)
	}
}

var errStuck = errors.New("no order was acknowledged after the faults had ended")

// runSchedule runs one schedule with faults, and then without faults until one more order is acknowledged.
func runSchedule(seed uint64, voters int, fault string) (*model, error) {
	m := newModel(seed, voters, fault)
	for range 200 * voters {
		m.step(false)
		m.injectLoss()
		m.reconnect()
		if m.err != nil {
			return m, fmt.Errorf("seed %d: %w", seed, m.err)
		}
	}
	before := len(m.acknowledged)
	for range 6000 {
		m.step(true)
		if m.err != nil {
			return m, fmt.Errorf("seed %d: %w", seed, m.err)
		}
		if len(m.acknowledged) > before {
			return m, nil
		}
		if len(m.inFlight) > 60 { // lose the oldest
			m.inFlight = m.inFlight[20:]
		}
	}
	return m, fmt.Errorf("seed %d: %w", seed, errStuck)
}

// Runs schedules of three and five stores, of which up to two in turn are replaced or lose their disks.
func TestModel(t *testing.T) {
	for _, voters := range []int{3, 5} {
		steps, acknowledged, reseated := 0, 0, 0
		for seed := range uint64(1500) {
			m, err := runSchedule(seed, voters, faithful)
			if err != nil {
				t.Fatalf("%d voters: %v", voters, err)
			}
			steps += m.steps
			acknowledged += len(m.acknowledged)
			for _, s := range m.stores {
				if s.up && s.replica.Register().VoterChanges > 0 {
					reseated++
					break
				}
			}
		}
		t.Logf("%d voters: 1500 schedules, %d steps, %d orders acknowledged, voters changed in %d", voters, steps, acknowledged, reseated)
		if reseated < 400 {
			t.Errorf("%d voters: seats were taken over in only %d of 1500 schedules", voters, reseated)
		}
	}
}

// Each deliberate violation is detected, so the checks are strong enough.
func TestModelFindsFaults(t *testing.T) {
	for _, fault := range []string{sameIdentity, oldSetNotAsked, newSetNotAsked, acknowledgesEarly, provesAlone} {
		found := false
		for seed := range uint64(6000) {
			if _, err := runSchedule(seed, 3, fault); err != nil {
				t.Logf("%s: %v", fault, err)
				found = true
				break
			}
		}
		if !found {
			t.Errorf("no violation is detected although %s", fault)
		}
	}
}
