package controlsim

import (
	"slices"
	"time"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/coremembers"
	"example.org/madderdrum/control/paxos"
	"example.org/madderdrum/control/replica"
)

// confirmNow runs an extra confirmation at once, to send the store's report to the others.
func (s *Store) confirmNow() { s.readAll(s.replica.Confirm(s.clock()), func() {}) }

// confirm runs one confirmation and schedules the next.
func (s *Store) confirm() {
	confirmation := s.replica.Confirm(s.clock())
	if s.world.FaultSelfProof {
		s.replyForAllVoters(confirmation)
	}
	startedAt := s.world.Now
	ended := false
	end := func() {
		if ended {
			return
		}
		ended = true
		learnt, resolve, pending := confirmation.End()
		if resolve {
			s.submit(nil, orderTimeout, func([]controlstate.Outcome) {})
		}
		s.proposeVoterChange()
		pause := confirmInterval - (s.world.Now - startedAt)
		switch {
		case learnt:
			pause = 0
		case pending:
			pause = pendingConfirmDelay
		}
		s.schedule(max(0, pause)+time.Duration(s.world.rng.IntN(40))*time.Millisecond, s.confirm)
	}
	s.readAll(confirmation, end)
	s.schedule(callTimeout+50*time.Millisecond, end)
}

// replyForAllVoters implements FaultSelfProof: it counts the store's own reply as that of every voter.
func (s *Store) replyForAllVoters(confirmation *replica.Confirmation) {
	for _, voter := range replica.Union(s.replica.VoterSets()...) {
		confirmation.HandleReply(voter, s.acceptor.Read(confirmation.Known())) // cannot fail: the reply contains nothing newer
	}
	if confirmation.Proven() {
		s.checkCurrent(s.world.Now)
	}
}

func (s *Store) readAll(confirmation *replica.Confirmation, proven func()) {
	w := s.world
	voters := replica.Union(s.replica.VoterSets()...)
	all := w.storeIndexes(append(slices.Clone(voters), s.members.Learners(s.clock(), voters)...))
	if !slices.Contains(voters, s.ID()) { // a store that is no voter reads from all machines in its settings
		for k, o := range w.stores {
			if o.running && k != s.index && !slices.Contains(all, k) {
				all = append(all, k)
			}
		}
	}
	startedAt, known, mine := w.Now, confirmation.Known(), s.ownReport()
	for _, k := range all {
		s.call(k, func(other *Store) func() {
			other.members.Heard(other.clock(), mine)
			reply, theirs, first := other.acceptor.Read(known), other.ownReport(), other.replica.InitialVoters()
			from := other.ID()
			return func() {
				s.members.Heard(s.clock(), theirs)
				s.replica.LearnInitialVoters(first)
				if w.Now-startedAt > callTimeout {
					return // too late: the call has timed out
				}
				if _, err := confirmation.HandleReply(from, reply); err != nil {
					w.fail("%s: %w", s.ID(), err)
				}
				s.persistChosen()
				if confirmation.Proven() {
					s.checkCurrent(startedAt)
					proven()
				}
			}
		})
	}
}

func (s *Store) ownReport() coremembers.Report {
	r := s.members.Report(s.clock(), s.state())
	if s.acceptor.Record.Accepted.Compare(s.replica.Chosen()) < 0 {
		r.Seq = 0
	}
	if s.world.FaultReplaceUnreachable {
		r.Successions = s.successionsForUnreachable()
	}
	return r
}

// successionsForUnreachable implements FaultReplaceUnreachable: it proposes a successor for every voter that
// is briefly unreachable, no matter when the successor joined.
func (s *Store) successionsForUnreachable() (all []coremembers.Succession) {
	st := s.state()
	learners := s.members.Learners(s.clock(), st.Voters)
	for _, voter := range st.Voters {
		if len(learners) > 0 && s.members.Silence(s.clock(), voter) > coremembers.UnreachableAfter {
			all = append(all, coremembers.Succession{Voter: voter, Successor: learners[0]})
		}
	}
	return all
}

// checkCurrent verifies that the register, just proven current, contains every order that was acknowledged
// before the confirmation started.
func (s *Store) checkCurrent(confirmationStart time.Duration) {
	for zone, at := range s.world.Acked {
		if at < confirmationStart && !slices.Contains(s.replica.Register().EvacuatedZones, zone) {
			s.world.fail("%s proved its register current but lacks order %s, acknowledged at %v", s.ID(), zone, at)
		}
	}
}

// persistChosen writes the chosen value to the disk.
func (s *Store) persistChosen() {
	if value := s.replica.Value(); value != nil && s.acceptor.Learn(s.replica.Chosen(), value) {
		s.disk = s.acceptor.Record
	}
}

// proposeVoterChange proposes a voter change if one is due and none is in progress.
func (s *Store) proposeVoterChange() {
	change, due := s.members.Plan(s.clock(), s.state())
	if s.world.FaultReplaceUnreachable && !due {
		if all := s.successionsForUnreachable(); len(all) > 0 && slices.Contains(s.state().Voters, s.ID()) {
			change, due = coremembers.Change{NewVoters: []string{all[0].Successor}, RemoveVoters: []string{all[0].Voter}, Term: s.state().Term}, true
		}
	}
	if !due || s.changingVoters {
		return
	}
	s.changingVoters = true
	complete := func([]controlstate.Outcome) {
		s.submit(nil, orderTimeout, func([]controlstate.Outcome) { s.changingVoters = false })
	}
	if change.CompletePending {
		complete(nil)
		return
	}
	o := controlstate.Order{Kind: controlstate.ChangeVoters, AddVoters: change.NewVoters, RemoveVoters: change.RemoveVoters, Term: change.Term, InitialVoters: s.replica.InitialVoters()}
	if s.world.FaultNoTermCheck {
		o.Term = 0
	}
	s.submit([]controlstate.Order{o}, orderTimeout, complete)
}

// submit queues orders for the next round; done receives their outcomes, or nil if none succeeds in time.
func (s *Store) submit(orders []controlstate.Order, within time.Duration, done func([]controlstate.Outcome)) {
	s.pendingOrders = append(s.pendingOrders, &order{orders, s.world.Now + within, done})
	if s.proposal == nil {
		s.startRound()
	}
}

// startRound starts a round for the queued orders that have not timed out.
func (s *Store) startRound() {
	var remaining []*order
	for _, o := range s.pendingOrders {
		if s.world.Now < o.deadline {
			remaining = append(remaining, o)
		} else {
			o.done(nil)
		}
	}
	s.pendingOrders = nil
	if len(remaining) == 0 {
		s.proposal = nil
		return
	}
	var batches [][]controlstate.Order
	for _, o := range remaining {
		batches = append(batches, o.orders)
	}
	p := &proposal{attempt: s.replica.Begin(batches), orders: remaining}
	s.proposal = p
	s.sendPhase(p, p.attempt.Voters, func(other *Store) (paxos.Reply, bool) { return other.acceptor.Prepare(p.attempt.Prepare) }, p.attempt.HandlePromise)
}

// sendPhase sends the prepare or accept phase of a round to the voters, and retries the round if the phase
// does not complete in time.
func (s *Store) sendPhase(p *proposal, voters []string, handle func(*Store) (paxos.Reply, bool), handleReply func(string, paxos.Reply) (replica.Step, error)) {
	p.phaseID++
	phaseID := p.phaseID
	for _, k := range s.world.storeIndexes(voters) {
		s.call(k, func(other *Store) func() {
			reply, _ := handle(other)
			other.disk = other.acceptor.Record
			from := other.ID()
			return func() {
				if s.proposal != p || p.phaseID != phaseID {
					return
				}
				step, err := handleReply(from, reply)
				if err != nil {
					s.world.fail("%s: %w", s.ID(), err)
				}
				s.advance(p, step)
			}
		})
	}
	s.schedule(callTimeout+50*time.Millisecond, func() {
		if s.proposal == p && p.phaseID == phaseID {
			s.retryRound(p)
		}
	})
}

// advance performs the next step of a round.
func (s *Store) advance(p *proposal, step replica.Step) {
	switch step {
	case replica.Restart:
		s.retryRound(p)
	case replica.SendAccept:
		accept := p.attempt.Accept
		s.sendPhase(p, p.attempt.Voters, func(other *Store) (paxos.Reply, bool) { return other.acceptor.Accept(accept) }, p.attempt.HandleAccepted)
	case replica.Finished:
		s.persistChosen()
		s.announceChosen()
		outcomes := p.attempt.Outcomes()
		s.proposal = nil
		for i, o := range p.orders {
			o.done(outcomes[i])
		}
		if s.proposal == nil && len(s.pendingOrders) > 0 {
			s.startRound()
		}
	}
}

// retryRound requeues the orders of a round and starts a new round after a random delay.
func (s *Store) retryRound(p *proposal) {
	p.phaseID++
	s.pendingOrders = append(p.orders, s.pendingOrders...)
	s.schedule(5*time.Millisecond+time.Duration(s.world.rng.Int64N(int64(2*meanRetryDelay))), func() {
		if s.proposal == p {
			s.startRound()
		}
	})
}

// announceChosen sends the chosen value to the other voters and the learners.
func (s *Store) announceChosen() {
	voters := replica.Union(s.replica.VoterSets()...)
	ballot, value := s.replica.Chosen(), s.replica.Value()
	for _, k := range s.world.storeIndexes(append(slices.Clone(voters), s.members.Learners(s.clock(), voters)...)) {
		if k == s.index {
			continue
		}
		s.call(k, func(other *Store) func() {
			if _, err := other.replica.Learn(ballot, value); err != nil {
				s.world.fail("%s: %w", other.ID(), err)
			}
			other.persistChosen()
			return func() {}
		})
	}
}
