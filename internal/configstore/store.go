// Package configstore is the host of the store of configuration: it keeps an acceptor's record on
// disk, carries the messages of rounds, reports to the other stores and answers the registries. The
// decisions are in the packages paxos, controlstate, replica and coremembers.
package configstore

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/coremembers"
	"example.org/madderdrum/control/paxos"
	"example.org/madderdrum/control/replica"
	"example.org/madderdrum/internal/metrics"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
)

const (
	callWithin = 400 * time.Millisecond // one message of a round
	// leaveWithin is how long a store that is being ended waits for a learner to take its seat.
	leaveWithin = 3 * time.Second
)

// Store is one store of configuration.
type Store struct {
	settings *nodesettings.Settings
	log      logrus.FieldLogger
	caller   *rpc.Caller
	begun    time.Time
	orders   chan *pending
	reportIn chan struct{} // has the store report to the others at once

	accepting sync.Mutex // guards the acceptor and the disk
	acceptor  paxos.Acceptor
	disk      *disk

	mu         sync.Mutex // guards what follows
	durable    paxos.Record
	identified bool   // the identity of the disk is on the disk
	durableSeq uint64 // of the newest register that is known to be chosen and is on the disk
	replica    *replica.Replica
	members    *coremembers.Planner
	contacts   []string      // IP numbers of core machines that the settings name
	changed    chan struct{} // closed when the register changes
	reseating  bool          // a change of voters is being proposed by this store
}

// Run serves until the context ends, and then until a learner has taken the store's seat, where
// there is one.
func Run(ctx context.Context, settings *nodesettings.Settings, log logrus.FieldLogger) error {
	s, err := open(settings, log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", settings.Internal(settings.IP, nodesettings.ConfigStorePort))
	if err != nil {
		return fmt.Errorf("configstore: listen for other processes: %w", err)
	}
	log.WithFields(logrus.Fields{"voter": s.voter(), "first": s.replica.InitialVoters(), "accepted": s.acceptor.Record.Accepted.Number}).Info("begins")
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	metrics.Offer(work, settings.MetricsAddress(), log, s.figures)
	go rpc.Serve(work, listener, s.handlers())
	go s.followSettings(work)
	go s.confirm(work)
	go s.propose(work)
	go s.keepChosen(work)
	<-ctx.Done()
	s.leave(work)
	return nil
}

// open reads what the disk holds and works out which voter this store is.
func open(settings *nodesettings.Settings, log logrus.FieldLogger) (*Store, error) {
	disk, found, err := openDisk(settings.DataDir)
	if err != nil {
		return nil, err
	}
	s := &Store{settings: settings, log: log, caller: rpc.NewCaller(), begun: time.Now(), disk: disk, contacts: settings.Cores(),
		orders: make(chan *pending, 64), reportIn: make(chan struct{}, 1), changed: make(chan struct{})}
	first := found.voters
	if first == nil && settings.Bootstrap {
		first = replica.Union(settings.Cores())
	}
	s.acceptor.Record, s.identified = found.record, found.found
	if s.acceptor.Record.Blank || !found.found && !settings.Bootstrap {
		// The machine is new, or lost its disk: it is another voter from now on.
		s.acceptor.Record = paxos.Record{Disk: 1 + rand.Uint64N(1<<62)}
		s.identified = false
	}
	s.durable = s.acceptor.Record
	s.replica = replica.New(nodeOf(settings.IP), rand.Uint64(), first)
	s.replica.ObserveBallotNumber(s.durable.Promised.Number)
	joining := settings.Bootstrap && !slices.Contains(first, settings.IP)
	s.members = coremembers.New(coremembers.Report{Zone: settings.Zone, Joining: joining}, 2*settings.Tolerate+1, s.now())
	if s.identified {
		s.members.SetVoterID(s.voter())
	} else {
		s.identify()
	}
	return s, nil
}

// now is the span on the steady clock since the process began.
func (s *Store) now() time.Duration { return time.Since(s.begun) }

// voter is the identity of this store among the voters.
func (s *Store) voter() string { return controlstate.VoterID(s.settings.IP, s.durable.Disk) }

// nodeOf is a store's number in ballots.
func nodeOf(ip string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(ip))
	return h.Sum64()
}

// followSettings takes over which core machines the settings name.
func (s *Store) followSettings(ctx context.Context) {
	s.settings.Follow(ctx, func(next *nodesettings.Settings) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.contacts = next.Cores()
	}, func(err error) { s.log.WithField("err", err).Warn("settings can't be used") })
}

var errDisk = errors.New("the disk takes no record")

// state is what is agreed on, for the decisions about voters. The mutex is held.
func (s *Store) state() coremembers.State {
	register := s.replica.Register()
	sets := register.VoterSets(s.replica.InitialVoters())
	return coremembers.State{Voters: sets[len(sets)-1], Prior: len(sets) > 1, Term: register.Term(), Seq: register.Seq}
}

// learned follows a change of the register: whoever waits for one is woken. The mutex is held.
func (s *Store) learned() {
	close(s.changed)
	s.changed = make(chan struct{})
	register := s.replica.Register()
	s.log.WithFields(logrus.Fields{"seq": register.Seq, "version": register.Version, "ballot": s.replica.Chosen().Number,
		"term": register.Term(), "voters": len(register.Voters)}).Info("version is chosen")
}

// broken stops the process: what was agreed on can't be read.
func broken(err error) {
	panic(fmt.Sprintf("configstore: a broken invariant: %v", err))
}

// leave waits until a learner has taken this store's seat. It returns at once where there is none.
func (s *Store) leave(ctx context.Context) {
	late := time.NewTimer(leaveWithin)
	defer late.Stop()
	s.mu.Lock()
	s.members.Leave()
	s.mu.Unlock()
	for {
		s.mu.Lock()
		wait, changed := s.members.ShouldWaitToLeave(s.now(), s.state()), s.changed
		s.mu.Unlock()
		if !wait {
			return
		}
		select {
		case s.reportIn <- struct{}{}:
		default:
		}
		select {
		case <-changed:
		case <-late.C:
			s.log.Warn("ends with its seat: no learner took it in time")
			return
		case <-ctx.Done():
			return
		}
	}
}
