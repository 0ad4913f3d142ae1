package controlsim

import (
	"slices"
	"time"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/coremembers"
	"example.org/madderdrum/control/paxos"
	"example.org/madderdrum/control/replica"
)

// report has the store hold a confirmation at once, besides those that it holds at intervals.
func (s *Store) report() { s.readAll(s.replica.Confirm(s.clock()), func() {}) }

// confirm holds one confirmation, and the next one after a pause.
func (s *Store) confirm() {
	confirmation := s.replica.Confirm(s.clock())
	if s.world.ProvesAlone {
		s.answerForAll(confirmation)
	}
	begun := s.world.Now
	ended := false
	end := func() {
		if ended {
			return
		}
		ended = true
		learnt, resolve, pending := confirmation.End()
		if resolve {
			s.submit(nil, orderWithin, func([]controlstate.Outcome) {})
		}
		s.reseat()
		pause := confirmEvery - (s.world.Now - begun)
		switch {
		case learnt:
			pause = 0
		case pending:
			pause = pendingPause
		}
		s.later(max(0, pause)+time.Duration(s.world.rng.IntN(40))*time.Millisecond, s.confirm)
	}
	s.readAll(confirmation, end)
	s.later(callWithin+50*time.Millisecond, end)
}

// answerForAll has the store take its own answer for that of every voter.
func (s *Store) answerForAll(confirmation *replica.Confirmation) {
	for _, voter := range replica.Union(s.replica.VoterSets()...) {
		confirmation.HandleReply(voter, s.acceptor.Read(confirmation.Known())) // nothing newer is in it
	}
	if confirmation.Proven() {
		s.judge(s.world.Now)
	}
}

func (s *Store) readAll(confirmation *replica.Confirmation, proven func()) {
	w := s.world
	voters := replica.Union(s.replica.VoterSets()...)
	all := w.machines(append(slices.Clone(voters), s.members.Learners(s.clock(), voters)...))
	if !slices.Contains(voters, s.ID()) { // the settings name machines that serve
		for k, o := range w.stores {
			if o.up && k != s.index && !slices.Contains(all, k) {
				all = append(all, k)
			}
		}
	}
	begun, known, mine := w.Now, confirmation.Known(), s.ownReport()
	for _, k := range all {
		s.call(k, func(other *Store) func() {
			other.members.Heard(other.clock(), mine)
			reply, theirs, first := other.acceptor.Read(known), other.ownReport(), other.replica.InitialVoters()
			from := other.ID()
			return func() {
				s.members.Heard(s.clock(), theirs)
				s.replica.LearnInitialVoters(first)
				if w.Now-begun > callWithin {
					return // the call has timed out
				}
				if _, err := confirmation.HandleReply(from, reply); err != nil {
					w.fail("%s: %w", s.ID(), err)
				}
				s.keep()
				if confirmation.Proven() {
					s.judge(begun)
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
	if s.world.UnseatsCutOff {
		r.Successions = s.unseatsAnyDark()
	}
	return r
}

// unseatsAnyDark finds every voter gone that was not heard for a moment, whenever its successor came.
func (s *Store) unseatsAnyDark() (all []coremembers.Succession) {
	st := s.state()
	learners := s.members.Learners(s.clock(), st.Voters)
	for _, voter := range st.Voters {
		if len(learners) > 0 && s.members.Silence(s.clock(), voter) > coremembers.UnreachableAfter {
			all = append(all, coremembers.Succession{Voter: voter, Successor: learners[0]})
		}
	}
	return all
}

// judge has what is proven to be current hold all that was acknowledged before the proof began.
func (s *Store) judge(begun time.Duration) {
	for zone, at := range s.world.Acked {
		if at < begun && !slices.Contains(s.replica.Register().EvacuatedZones, zone) {
			s.world.fail("%s has proof that its register is current, and lacks %s, acknowledged at %v", s.ID(), zone, at)
		}
	}
}

// keep has the chosen value on the disk.
func (s *Store) keep() {
	if value := s.replica.Value(); value != nil && s.acceptor.Learn(s.replica.Chosen(), value) {
		s.disk = s.acceptor.Record
	}
}

// reseat proposes a change of voters where one is due.
func (s *Store) reseat() {
	change, due := s.members.Plan(s.clock(), s.state())
	if s.world.UnseatsCutOff && !due {
		if all := s.unseatsAnyDark(); len(all) > 0 && slices.Contains(s.state().Voters, s.ID()) {
			change, due = coremembers.Change{NewVoters: []string{all[0].Successor}, RemoveVoters: []string{all[0].Voter}, Term: s.state().Term}, true
		}
	}
	if !due || s.changing {
		return
	}
	s.changing = true
	complete := func([]controlstate.Outcome) {
		s.submit(nil, orderWithin, func([]controlstate.Outcome) { s.changing = false })
	}
	if change.CompletePending {
		complete(nil)
		return
	}
	o := controlstate.Order{Kind: controlstate.ChangeVoters, AddVoters: change.NewVoters, RemoveVoters: change.RemoveVoters, Term: change.Term, InitialVoters: s.replica.InitialVoters()}
	if s.world.NoFence {
		o.Term = 0
	}
	s.submit([]controlstate.Order{o}, orderWithin, complete)
}

// submit has orders proposed.
func (s *Store) submit(orders []controlstate.Order, within time.Duration, done func([]controlstate.Outcome)) {
	s.waiting = append(s.waiting, &order{orders, s.world.Now + within, done})
	if s.proposal == nil {
		s.round()
	}
}

// round begins a round for the orders that wait.
func (s *Store) round() {
	var left []*order
	for _, o := range s.waiting {
		if s.world.Now < o.until {
			left = append(left, o)
		} else {
			o.done(nil)
		}
	}
	s.waiting = nil
	if len(left) == 0 {
		s.proposal = nil
		return
	}
	var batches [][]controlstate.Order
	for _, o := range left {
		batches = append(batches, o.orders)
	}
	p := &proposal{attempt: s.replica.Begin(batches), orders: left}
	s.proposal = p
	s.send(p, p.attempt.Voters, func(other *Store) (paxos.Reply, bool) { return other.acceptor.Prepare(p.attempt.Prepare) }, p.attempt.HandlePromise)
}

// send sends one half of a round; if it does not succeed in time, the round begins again.
func (s *Store) send(p *proposal, voters []string, ask func(*Store) (paxos.Reply, bool), take func(string, paxos.Reply) (replica.Step, error)) {
	p.serial++
	serial := p.serial
	for _, k := range s.world.machines(voters) {
		s.call(k, func(other *Store) func() {
			reply, _ := ask(other)
			other.disk = other.acceptor.Record
			from := other.ID()
			return func() {
				if s.proposal != p || p.serial != serial {
					return
				}
				step, err := take(from, reply)
				if err != nil {
					s.world.fail("%s: %w", s.ID(), err)
				}
				s.follow(p, step)
			}
		})
	}
	s.later(callWithin+50*time.Millisecond, func() {
		if s.proposal == p && p.serial == serial {
			s.again(p)
		}
	})
}

// follow does what a round asks for.
func (s *Store) follow(p *proposal, step replica.Step) {
	switch step {
	case replica.Restart:
		s.again(p)
	case replica.SendAccept:
		accept := p.attempt.Accept
		s.send(p, p.attempt.Voters, func(other *Store) (paxos.Reply, bool) { return other.acceptor.Accept(accept) }, p.attempt.HandleAccepted)
	case replica.Finished:
		s.keep()
		s.tell()
		outcomes := p.attempt.Outcomes()
		s.proposal = nil
		for i, o := range p.orders {
			o.done(outcomes[i])
		}
		if s.proposal == nil && len(s.waiting) > 0 {
			s.round()
		}
	}
}

// again begins a round anew after a pause.
func (s *Store) again(p *proposal) {
	p.serial++
	s.waiting = append(p.orders, s.waiting...)
	s.later(5*time.Millisecond+time.Duration(s.world.rng.Int64N(int64(2*retryPause))), func() {
		if s.proposal == p {
			s.round()
		}
	})
}

// tell tells the others what is chosen.
func (s *Store) tell() {
	voters := replica.Union(s.replica.VoterSets()...)
	ballot, value := s.replica.Chosen(), s.replica.Value()
	for _, k := range s.world.machines(append(slices.Clone(voters), s.members.Learners(s.clock(), voters)...)) {
		if k == s.index {
			continue
		}
		s.call(k, func(other *Store) func() {
			if _, err := other.replica.Learn(ballot, value); err != nil {
				s.world.fail("%s: %w", other.ID(), err)
			}
			other.keep()
			return func() {}
		})
	}
}
