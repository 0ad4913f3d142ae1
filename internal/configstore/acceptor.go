package configstore

import (
	"context"
	"time"

	"example.org/madderdrum/control/configdelta"
	"example.org/madderdrum/control/coremembers"
	"example.org/madderdrum/control/paxos"
	"example.org/madderdrum/internal/wait"
)

// keepAgain is the pause before a disk that took no record is tried again.
const keepAgain = 300 * time.Millisecond

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// vote has a changed record written down, or takes the change back.
func (s *Store) vote(do func() (paxos.Reply, bool)) (paxos.Reply, error) {
	return s.voteBy(nil, do)
}

// voteBy does the same, where a difference is known that makes the new value of the one before.
func (s *Store) voteBy(delta []byte, do func() (paxos.Reply, bool)) (paxos.Reply, error) {
	s.accepting.Lock()
	defer s.accepting.Unlock()
	before := s.acceptor.Record
	reply, write := do()
	if write {
		if err := s.disk.write(&s.acceptor.Record, &before, delta, s.firstVoters()); err != nil {
			s.acceptor.Record = before
			s.log.WithField("err", err).Warn("disk fails")
			return paxos.Reply{}, errDisk
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durable = s.acceptor.Record
	s.replica.ObserveBallotNumber(s.durable.Promised.Number)
	if write && !s.identified {
		s.identified = true
		s.members.SetVoterID(s.voter())
	}
	return reply, nil
}

func (s *Store) firstVoters() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.InitialVoters()
}

// identify writes the identity of a new disk down. Nobody is told of it before.
func (s *Store) identify() {
	s.vote(func() (paxos.Reply, bool) { return paxos.Reply{}, true }) // a failure is logged; it is tried again
}

// keepChosen has each chosen value on this disk too, where this store's vote was not needed.
func (s *Store) keepChosen(ctx context.Context) {
	for {
		s.mu.Lock()
		ballot, value, changed := s.replica.Chosen(), s.replica.Value(), s.changed
		s.mu.Unlock()
		_, err := s.vote(func() (paxos.Reply, bool) { return paxos.Reply{}, s.acceptor.Learn(ballot, value) })
		if err != nil {
			wait.Sleep(ctx, keepAgain)
			changed = closed
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) prepare(_ context.Context, m paxos.Prepare) (any, error) {
	return s.votePrepare(m)
}

func (s *Store) votePrepare(m paxos.Prepare) (paxos.Reply, error) {
	return s.vote(func() (paxos.Reply, bool) { return s.acceptor.Prepare(m) })
}

// acceptCall asks for a vote. The value comes whole or as what makes it of the value that the
// acceptor has accepted by the ballot Base.
type acceptCall struct {
	Ballot paxos.Ballot `cbor:"1,keyasint"`
	Value  []byte       `cbor:"2,keyasint,omitempty"`
	Base   paxos.Ballot `cbor:"3,keyasint"`
	Delta  []byte       `cbor:"4,keyasint,omitempty"`
}

// acceptAnswer is the vote. Lacks tells that the acceptor has another value than the difference is
// for: the whole is to be sent.
type acceptAnswer struct {
	Reply paxos.Reply `cbor:"1,keyasint"`
	Lacks bool        `cbor:"2,keyasint,omitempty"`
}

func (s *Store) accept(_ context.Context, m acceptCall) (any, error) {
	return s.voteAccept(m)
}

func (s *Store) voteAccept(m acceptCall) (answer acceptAnswer, err error) {
	answer.Reply, err = s.voteBy(m.Delta, func() (paxos.Reply, bool) {
		value := m.Value
		if m.Delta != nil {
			built, fits := s.build(m)
			if !fits {
				answer.Lacks = true
				return paxos.Reply{}, false
			}
			value = built
		}
		return s.acceptor.Accept(paxos.Accept{Ballot: m.Ballot, Value: value})
	})
	return answer, err
}

// build makes a value of the one that is accepted. The lock round the acceptor is held.
func (s *Store) build(m acceptCall) (value []byte, fits bool) {
	if s.acceptor.Record.Accepted != m.Base {
		return nil, false
	}
	value, err := configdelta.Apply(s.acceptor.Record.Value, m.Delta)
	return value, err == nil
}

// readCall asks what is accepted, and reports about the store that asks.
type readCall struct {
	Known  paxos.Ballot       `cbor:"1,keyasint"`
	Report coremembers.Report `cbor:"2,keyasint"`
}

// readAnswer tells it, with the answering store's own report.
type readAnswer struct {
	Reply         paxos.Reply        `cbor:"1,keyasint"`
	Report        coremembers.Report `cbor:"2,keyasint"`
	InitialVoters []string           `cbor:"3,keyasint,omitempty"`
}

func (s *Store) read(_ context.Context, m readCall) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Heard(s.now(), m.Report)
	return readAnswer{Reply: s.readDurable(m.Known), Report: s.report(), InitialVoters: s.replica.InitialVoters()}, nil
}

// readDurable tells what is safe on disk, without waiting for what is being written. The mutex is
// held.
func (s *Store) readDurable(known paxos.Ballot) paxos.Reply {
	a := paxos.Acceptor{Record: s.durable}
	return a.Read(known)
}

// report is what this store tells of itself. The mutex is held.
func (s *Store) report() coremembers.Report {
	if s.durable.Accepted.Compare(s.replica.Chosen()) >= 0 {
		s.durableSeq = s.replica.Register().Seq
	}
	r := s.members.Report(s.now(), s.state())
	r.Seq = s.durableSeq
	return r
}
