// Package configstore runs one replica of the replicated configuration store: it persists the acceptor's
// record, exchanges the messages of Paxos rounds, reports to the other stores and serves the registries.
// The protocol decisions are made by packages paxos, controlstate, replica and coremembers.
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
	callTimeout = 400 * time.Millisecond // for each message of a round
	// leaveTimeout bounds how long a store that is shutting down waits for a learner to take its seat.
	leaveTimeout = 3 * time.Second
)

// Store is one replica of the configuration store.
type Store struct {
	settings  *nodesettings.Settings
	log       logrus.FieldLogger
	caller    *rpc.Caller
	started   time.Time
	orders    chan *proposal // queued for proposeLoop
	reportNow chan struct{}  // triggers an immediate report to the other stores

	acceptorMu sync.Mutex // guards acceptor and disk; locked before mu
	acceptor   paxos.Acceptor
	disk       *disk

	mu              sync.Mutex // guards the fields below
	durable         paxos.Record
	identitySaved   bool   // the voter ID of this disk is durable
	durableSeq      uint64 // sequence number of the newest register known to be chosen that is on disk
	replica         *replica.Replica
	members         *coremembers.Planner
	seedIPs         []string      // IP addresses of the core machines named in the settings
	registerChanged chan struct{} // closed when the register changes
	changingVoters  bool          // this store is proposing a change of voters
}

// Run serves until the context ends. A store that holds a seat then waits, for a bounded time, until a
// learner has taken the seat.
func Run(ctx context.Context, settings *nodesettings.Settings, log logrus.FieldLogger) error {
	s, err := openStore(settings, log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", settings.InternalAddress(settings.IP, nodesettings.ConfigStorePort))
	if err != nil {
		return fmt.Errorf("configstore: listen for other processes: %w", err)
	}
	log.WithFields(logrus.Fields{"voter": s.voterID(), "first": s.replica.InitialVoters(), "accepted": s.acceptor.Record.Accepted.Number}).Info("begins")
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	metrics.ServeIfConfigured(work, settings.MetricsAddress(), log, s.collectMetrics)
	go rpc.Serve(work, listener, s.handlers())
	go s.followSettings(work)
	go s.confirmLoop(work)
	go s.proposeLoop(work)
	go s.persistChosen(work)
	<-ctx.Done()
	s.awaitSuccessor(work)
	return nil
}

// openStore reads the data directory and determines this store's voter ID.
func openStore(settings *nodesettings.Settings, log logrus.FieldLogger) (*Store, error) {
	disk, found, err := openDisk(settings.DataDir)
	if err != nil {
		return nil, err
	}
	s := &Store{settings: settings, log: log, caller: rpc.NewCaller(), started: time.Now(), disk: disk, seedIPs: settings.CoreIPs(),
		orders: make(chan *proposal, 64), reportNow: make(chan struct{}, 1), registerChanged: make(chan struct{})}
	initialVoters := found.voters
	if initialVoters == nil && settings.Bootstrap {
		initialVoters = replica.Union(settings.CoreIPs())
	}
	s.acceptor.Record, s.identitySaved = found.record, found.found
	if s.acceptor.Record.Blank || !found.found && !settings.Bootstrap {
		// A new machine, or one that lost its disk, is a different voter: its former promises are gone.
		s.acceptor.Record = paxos.Record{Disk: 1 + rand.Uint64N(1<<62)}
		s.identitySaved = false
	}
	s.durable = s.acceptor.Record
	s.replica = replica.New(ballotNode(settings.IP), rand.Uint64(), initialVoters)
	s.replica.ObserveBallotNumber(s.durable.Promised.Number)
	joining := settings.Bootstrap && !slices.Contains(initialVoters, settings.IP)
	s.members = coremembers.New(coremembers.Report{Zone: settings.Zone, Joining: joining}, 2*settings.FaultTolerance+1, s.now())
	if s.identitySaved {
		s.members.SetVoterID(s.voterID())
	} else {
		s.saveIdentity()
	}
	return s, nil
}

// now returns the monotonic time since the process started.
func (s *Store) now() time.Duration { return time.Since(s.started) }

// voterID returns this store's identity as a voter; it includes the disk's ID.
func (s *Store) voterID() string { return controlstate.VoterID(s.settings.IP, s.durable.Disk) }

// ballotNode returns the node number that a store uses in its ballots.
func ballotNode(ip string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(ip))
	return hash.Sum64()
}

// followSettings tracks changes of the core machines that the settings name.
func (s *Store) followSettings(ctx context.Context) {
	s.settings.Watch(ctx, func(next *nodesettings.Settings) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.seedIPs = next.CoreIPs()
	}, func(err error) { s.log.WithField("err", err).Warn("cannot use changed settings") })
}

var errDiskWrite = errors.New("the disk takes no record")

// voterState returns the agreed state that decisions about voters depend on. s.mu must be held.
func (s *Store) voterState() coremembers.State {
	register := s.replica.Register()
	sets := register.VoterSets(s.replica.InitialVoters())
	return coremembers.State{Voters: sets[len(sets)-1], Prior: len(sets) > 1, Term: register.Term(), Seq: register.Seq}
}

// notifyRegisterChange wakes the goroutines that wait for a new register. s.mu must be held.
func (s *Store) notifyRegisterChange() {
	close(s.registerChanged)
	s.registerChanged = make(chan struct{})
	register := s.replica.Register()
	s.log.WithFields(logrus.Fields{"seq": register.Seq, "version": register.Version, "ballot": s.replica.Chosen().Number,
		"term": register.Term(), "voters": len(register.Voters)}).Info("version is chosen")
}

// panicInvariant stops the process because a chosen value cannot be decoded.
func panicInvariant(err error) {
	panic(fmt.Sprintf("configstore: invariant violated: %v", err))
}

// awaitSuccessor waits until a learner has taken this store's seat. It returns at once if the store has no
// seat or no learner is available.
func (s *Store) awaitSuccessor(ctx context.Context) {
	timeout := time.NewTimer(leaveTimeout)
	defer timeout.Stop()
	s.mu.Lock()
	s.members.Leave()
	s.mu.Unlock()
	for {
		s.mu.Lock()
		wait, registerChanged := s.members.ShouldWaitToLeave(s.now(), s.voterState()), s.registerChanged
		s.mu.Unlock()
		if !wait {
			return
		}
		select {
		case s.reportNow <- struct{}{}:
		default:
		}
		select {
		case <-registerChanged:
		case <-timeout.C:
			s.log.Warn("ends with its seat: no learner took it in time")
			return
		case <-ctx.Done():
			return
		}
	}
}
