package configstore

import (
	"context"
	"time"

	"example.org/madderdrum/control/configdelta"
	"example.org/madderdrum/control/coremembers"
	"example.org/madderdrum/control/paxos"
	"example.org/madderdrum/internal/wait"
)

// diskRetryPause is the pause before a failed disk write is retried.
const diskRetryPause = 300 * time.Millisecond

// closedChan is always ready to receive from, so that a select on it never waits.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// updateRecord applies update to the acceptor and, if update reports a change, persists the record. If the write
// fails, the change is rolled back.
func (s *Store) updateRecord(update func() (paxos.Reply, bool)) (paxos.Reply, error) {
	return s.updateRecordWithDelta(nil, update)
}

// updateRecordWithDelta is updateRecord for a change whose delta from the previous value is known; the delta is
// written instead of the whole value.
func (s *Store) updateRecordWithDelta(delta []byte, update func() (paxos.Reply, bool)) (paxos.Reply, error) {
	s.acceptorMu.Lock()
	defer s.acceptorMu.Unlock()
	before := s.acceptor.Record
	reply, write := update()
	if write {
		if err := s.disk.write(&s.acceptor.Record, &before, delta, s.initialVoters()); err != nil {
			s.acceptor.Record = before
			s.log.WithField("err", err).Warn("disk fails")
			return paxos.Reply{}, errDiskWrite
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durable = s.acceptor.Record
	s.replica.ObserveBallotNumber(s.durable.Promised.Number)
	if write && !s.identitySaved {
		s.identitySaved = true
		s.members.SetVoterID(s.voterID())
	}
	return reply, nil
}

func (s *Store) initialVoters() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.InitialVoters()
}

// saveIdentity persists the ID of a new disk. The ID is not sent to other stores before it is durable.
func (s *Store) saveIdentity() {
	s.updateRecord(func() (paxos.Reply, bool) { return paxos.Reply{}, true }) // a failure is logged, and confirmOnce retries
}

// persistChosen writes each chosen value to this disk, also if a majority accepted it without this store.
func (s *Store) persistChosen(ctx context.Context) {
	for {
		s.mu.Lock()
		ballot, value, registerChanged := s.replica.Chosen(), s.replica.Value(), s.registerChanged
		s.mu.Unlock()
		_, err := s.updateRecord(func() (paxos.Reply, bool) { return paxos.Reply{}, s.acceptor.Learn(ballot, value) })
		if err != nil {
			wait.Sleep(ctx, diskRetryPause)
			registerChanged = closedChan
		}
		select {
		case <-registerChanged:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) handlePrepare(_ context.Context, m paxos.Prepare) (any, error) {
	return s.acceptorPrepare(m)
}

func (s *Store) acceptorPrepare(m paxos.Prepare) (paxos.Reply, error) {
	return s.updateRecord(func() (paxos.Reply, bool) { return s.acceptor.Prepare(m) })
}

// acceptRequest asks for a vote. It carries either the whole value or a delta from the value that the
// acceptor accepted in ballot Base.
type acceptRequest struct {
	Ballot paxos.Ballot `cbor:"1,keyasint"`
	Value  []byte       `cbor:"2,keyasint,omitempty"`
	Base   paxos.Ballot `cbor:"3,keyasint"`
	Delta  []byte       `cbor:"4,keyasint,omitempty"`
}

// acceptResponse is the reply to an acceptRequest. NeedsValue means that the acceptor has not accepted the
// delta's base value, so the whole value must be sent.
type acceptResponse struct {
	Reply      paxos.Reply `cbor:"1,keyasint"`
	NeedsValue bool        `cbor:"2,keyasint,omitempty"`
}

func (s *Store) handleAccept(_ context.Context, m acceptRequest) (any, error) {
	return s.acceptorAccept(m)
}

func (s *Store) acceptorAccept(m acceptRequest) (response acceptResponse, err error) {
	response.Reply, err = s.updateRecordWithDelta(m.Delta, func() (paxos.Reply, bool) {
		value := m.Value
		if m.Delta != nil {
			applied, ok := s.applyDelta(m)
			if !ok {
				response.NeedsValue = true
				return paxos.Reply{}, false
			}
			value = applied
		}
		return s.acceptor.Accept(paxos.Accept{Ballot: m.Ballot, Value: value})
	})
	return response, err
}

// applyDelta computes the new value from the accepted one. s.acceptorMu must be held.
func (s *Store) applyDelta(m acceptRequest) (value []byte, ok bool) {
	if s.acceptor.Record.Accepted != m.Base {
		return nil, false
	}
	value, err := configdelta.Apply(s.acceptor.Record.Value, m.Delta)
	return value, err == nil
}

// readRequest asks which value is accepted, and carries the sender's own report.
type readRequest struct {
	Known  paxos.Ballot       `cbor:"1,keyasint"`
	Report coremembers.Report `cbor:"2,keyasint"`
}

// readResponse carries the accepted value and the responding store's report.
type readResponse struct {
	Reply         paxos.Reply        `cbor:"1,keyasint"`
	Report        coremembers.Report `cbor:"2,keyasint"`
	InitialVoters []string           `cbor:"3,keyasint,omitempty"`
}

func (s *Store) handleRead(_ context.Context, m readRequest) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Heard(s.now(), m.Report)
	return readResponse{Reply: s.readDurable(m.Known), Report: s.ownReport(), InitialVoters: s.replica.InitialVoters()}, nil
}

// readDurable returns the acceptor's durable state without waiting for a write in progress. s.mu must be
// held.
func (s *Store) readDurable(known paxos.Ballot) paxos.Reply {
	a := paxos.Acceptor{Record: s.durable}
	return a.Read(known)
}

// ownReport returns this store's report to the other stores. s.mu must be held.
func (s *Store) ownReport() coremembers.Report {
	if s.durable.Accepted.Compare(s.replica.Chosen()) >= 0 {
		s.durableSeq = s.replica.Register().Seq
	}
	r := s.members.Report(s.now(), s.voterState())
	r.Seq = s.durableSeq
	return r
}
