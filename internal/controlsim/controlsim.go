// Package controlsim simulates a group of configuration stores in virtual time: their acceptors, rounds,
// confirmations, reports and voter changes, as the hosts in internal/configstore run them, together with
// the registries next to them and the limiters that pull from those registries. It injects one-way and
// two-way link failures, frozen, stopped and restarted processes, lost disks and replaced machines. An
// operator submits orders throughout, and a checker verifies that whatever is served as current contains
// every order that was acknowledged before.
//
// One goroutine drives a World, and the same seed always gives the same run.
package controlsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/coremembers"
	"example.org/madderdrum/control/paxos"
	"example.org/madderdrum/control/replica"
)

// Timing of the simulated stores, as in the hosts of internal/configstore.
const (
	confirmInterval     = 400 * time.Millisecond
	callTimeout         = 400 * time.Millisecond
	pendingConfirmDelay = 125 * time.Millisecond
	orderTimeout        = 900 * time.Millisecond
	meanRetryDelay      = 35 * time.Millisecond
	diskSyncTime        = 500 * time.Microsecond
	leaveTimeout        = 3 * time.Second
)

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// World is one simulation: the stores, their limiters, the links between them and an operator.
type World struct {
	Now          time.Duration
	rng          *rand.Rand
	queue        events
	serial       int
	stores       []*Store
	limiters     []*Limiter
	initialIPs   []string
	cut          map[[2]int]bool
	lastDiskID   uint64
	targetVoters int

	Acked        map[string]time.Duration // when each order was acknowledged, by zone
	PendingSince map[string]time.Duration // when each unacknowledged order was first sent, by zone
	MaxAckDelay  time.Duration            // the longest time from sending an order to its acknowledgement
	Violation    error                    // the first violated invariant, or nil
	orderCount   int

	// Each of these switches introduces a fault, so that tests can verify that the checks detect it: a store
	// proves alone that it is current, a voter is replaced as soon as it is unreachable, voter changes carry
	// no term, and limiters stay with a registry that is not current.
	FaultSelfProof, FaultReplaceUnreachable, FaultNoTermCheck, FaultKeepStaleRegistry bool
}

// Store is one machine with its disk, its store process and its registry.
type Store struct {
	world       *World
	index       int
	ip          string
	zone        string
	incarnation int
	running     bool
	frozenUntil time.Duration
	disk        paxos.Record
	joining     bool // the machine has a new disk and does not know the initial voters

	startedAt      time.Duration
	acceptor       paxos.Acceptor
	replica        *replica.Replica
	members        *coremembers.Planner
	leaving        bool
	registry       *registry
	proposal       *proposal
	pendingOrders  []*order
	changingVoters bool
}

type order struct {
	orders   []controlstate.Order
	deadline time.Duration
	done     func([]controlstate.Outcome)
}

type proposal struct {
	attempt *replica.Attempt
	orders  []*order
	phaseID int
}

// New returns a World whose stores all start at once, assigned to the zones round-robin. The stores
// are meant to tolerate the given number of failures.
func New(seed uint64, stores, tolerate int, zones ...string) *World {
	w := &World{rng: rand.New(rand.NewPCG(seed, 41)), cut: map[[2]int]bool{}, targetVoters: 2*tolerate + 1,
		Acked: map[string]time.Duration{}, PendingSince: map[string]time.Duration{}}
	for i := range stores {
		w.initialIPs = append(w.initialIPs, fmt.Sprintf("10.0.0.%d", i+1))
	}
	for i := range stores {
		s := &Store{world: w, index: i, ip: w.initialIPs[i], zone: zones[i%len(zones)]}
		w.stores = append(w.stores, s)
		s.Start()
	}
	return w
}

// After schedules do to run once span has passed in virtual time.
func (w *World) After(span time.Duration, do func()) {
	w.serial++
	heap.Push(&w.queue, event{w.Now + span, w.serial, do})
}

// Run advances virtual time by span; it processes no further events once an invariant is violated.
func (w *World) Run(span time.Duration) {
	until := w.Now + span
	for len(w.queue) > 0 && w.queue[0].at <= until && w.Violation == nil {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = until
}

func (w *World) fail(format string, args ...any) {
	if w.Violation == nil {
		w.Violation = fmt.Errorf("at %v: %w", w.Now, fmt.Errorf(format, args...))
	}
}

// Cut breaks the link from one store to another if cut is true, and restores it otherwise.
func (w *World) Cut(from, to int, cut bool) { w.cut[[2]int{from, to}] = cut }

// Isolate breaks the links between store i and all others, or restores them if cut is false. outgoing
// and incoming select the directions.
func (w *World) Isolate(i int, outgoing, incoming, cut bool) {
	for k := range w.stores {
		if k == i {
			continue
		}
		if outgoing {
			w.Cut(i, k, cut)
		}
		if incoming {
			w.Cut(k, i, cut)
		}
	}
}

// Store returns the store with index i.
func (w *World) Store(i int) *Store { return w.stores[i] }

// StoreCount returns the number of stores ever created, stopped ones included.
func (w *World) StoreCount() int { return len(w.stores) }

// Add starts a store on a new machine with an empty disk in a zone, and returns the index of the store.
func (w *World) Add(zone string) int {
	w.lastDiskID++
	s := &Store{world: w, index: len(w.stores), ip: fmt.Sprintf("10.0.1.%d", len(w.stores)), zone: zone, joining: true,
		disk: paxos.Record{Disk: w.lastDiskID}}
	w.stores = append(w.stores, s)
	s.Start()
	return s.index
}

// Start starts the store's process from the contents of its disk.
func (s *Store) Start() {
	w := s.world
	s.incarnation++
	s.running, s.leaving, s.frozenUntil, s.startedAt = true, false, 0, w.Now
	s.acceptor.Record = s.disk
	initialIPs := w.initialIPs
	if s.joining {
		initialIPs = nil
	}
	s.replica = replica.New(uint64(s.index+1), uint64(s.incarnation), initialIPs)
	s.replica.ObserveBallotNumber(s.disk.Promised.Number)
	s.members = coremembers.New(coremembers.Report{Voter: s.ID(), Zone: s.zone}, w.targetVoters, 0)
	s.proposal, s.pendingOrders, s.changingVoters = nil, nil, false
	s.schedule(time.Duration(w.rng.IntN(50))*time.Millisecond, s.confirm)
	if len(w.limiters) > 0 {
		s.startRegistry()
	}
}

// Stop kills the process without notice to the other stores.
func (s *Store) Stop() { s.running = false }

// Wipe replaces the disk of the machine by an empty one with a new identity; it takes effect at Start.
func (s *Store) Wipe() {
	s.world.lastDiskID++
	s.disk, s.joining = paxos.Record{Disk: s.world.lastDiskID}, true
}

// Leave shuts the process down gracefully: a learner, if there is one, replaces it as a voter first.
func (s *Store) Leave() {
	s.members.Leave()
	s.leaving = true
	s.confirmNow()
	s.awaitReplacement(s.world.Now + leaveTimeout)
}

func (s *Store) awaitReplacement(deadline time.Duration) {
	if !s.members.ShouldWaitToLeave(s.clock(), s.state()) || s.world.Now > deadline {
		s.Stop()
		return
	}
	s.schedule(10*time.Millisecond, func() { s.awaitReplacement(deadline) })
}

// Freeze pauses the process for span; its pending events run afterwards.
func (s *Store) Freeze(span time.Duration) { s.frozenUntil = s.world.Now + span }

// ID returns the store's voter ID, which combines its address and its disk.
func (s *Store) ID() string { return controlstate.VoterID(s.ip, s.disk.Disk) }

// Running reports whether the store's process is running, even if it is frozen.
func (s *Store) Running() bool { return s.running }

// Register returns the newest register that the store knows to be chosen.
func (s *Store) Register() *controlstate.Register { return s.replica.Register() }

// Voters returns the voters as the store knows them; settled is true if no voter change is in progress.
func (s *Store) Voters() (voters []string, settled bool) {
	st := s.state()
	return st.Voters, !st.Prior
}

func (s *Store) clock() time.Duration { return s.world.Now - s.startedAt }

func (s *Store) state() coremembers.State {
	register := s.replica.Register()
	sets := register.VoterSets(s.replica.InitialVoters())
	return coremembers.State{Voters: sets[len(sets)-1], Prior: len(sets) > 1, Term: register.Term(), Seq: register.Seq}
}

// schedule runs action in the process after delay. It drops the action if the process has ended by then,
// and postpones it while the process is frozen.
func (s *Store) schedule(delay time.Duration, action func()) {
	incarnation := s.incarnation
	var run func()
	run = func() {
		switch {
		case !s.running || s.incarnation != incarnation:
		case s.world.Now < s.frozenUntil:
			s.world.After(s.frozenUntil-s.world.Now+time.Duration(s.world.rng.IntN(1000))*time.Microsecond, run)
		default:
			action()
		}
	}
	s.world.After(delay, run)
}

// call delivers a call to another machine, which runs handle, and runs the function that handle returns
// when the reply arrives. A message over a broken link is lost.
func (s *Store) call(to int, handle func(other *Store) func()) {
	w, other := s.world, s.world.stores[to]
	incarnation := s.incarnation
	if w.cut[[2]int{s.index, to}] && to != s.index {
		return
	}
	other.schedule(w.delay(s, other), func() {
		deliver := handle(other)
		if w.cut[[2]int{to, s.index}] && to != s.index {
			return
		}
		other.schedule(diskSyncTime, func() { // the reply is sent once the record is on disk
			w.After(w.delay(s, other), func() {
				if s.incarnation == incarnation {
					s.schedule(0, deliver)
				}
			})
		})
	})
}

func (w *World) delay(a, b *Store) time.Duration {
	if a == b {
		return 0
	}
	return time.Duration(200+w.rng.IntN(1500)) * time.Microsecond
}

func (w *World) storeByIP(ip string) int {
	return slices.IndexFunc(w.stores, func(s *Store) bool { return s.ip == ip })
}

func (w *World) storeIndexes(voters []string) (all []int) {
	for _, v := range voters {
		if k := w.storeByIP(controlstate.VoterIP(v)); k >= 0 && !slices.Contains(all, k) {
			all = append(all, k)
		}
	}
	return all
}
