// Package controlsim runs stores of configuration together in virtual time: their acceptors, rounds,
// confirmations, reports and changes of voters, as the hosts in internal/configstore do, with the
// registries beside them and limiters that pull from these, over links
// that are cut in one direction or both, with processes that freeze, end and come back, disks that
// are lost and machines that are replaced. An operator gives orders all the while, and a judge holds
// what is acknowledged and what is served as current against each other.
//
// A world is driven by one goroutine and is the same for the same seed.
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

// Spans that the hosts keep too.
const (
	confirmEvery = 400 * time.Millisecond
	callWithin   = 400 * time.Millisecond
	pendingPause = 125 * time.Millisecond
	orderWithin  = 900 * time.Millisecond
	retryPause   = 35 * time.Millisecond
	syncTime     = 500 * time.Microsecond
	leaveWithin  = 3 * time.Second
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

// World is stores with an operator.
type World struct {
	Now      time.Duration
	rng      *rand.Rand
	queue    events
	serial   int
	stores   []*Store
	limiters []*Limiter
	first    []string
	cut      map[[2]int]bool
	disks    uint64
	wanted   int

	Acked  map[string]time.Duration // orders that were acknowledged
	Sent   map[string]time.Duration // orders that wait for an acknowledgement, since when
	Slow   time.Duration            // the longest wait for an acknowledgement
	Broken error                    // the first rule that was broken
	orders int

	// ProvesAlone, UnseatsCutOff, NoFence and StaysWithStale build a fault in on purpose, to see that it
	// is found.
	ProvesAlone, UnseatsCutOff, NoFence, StaysWithStale bool
}

// Store is one machine with its disk.
type Store struct {
	world  *World
	index  int
	ip     string
	zone   string
	life   int
	up     bool
	thawAt time.Duration
	disk   paxos.Record
	isNew  bool // the disk has an identity of its own: who began is not on it

	began    time.Duration
	acceptor paxos.Acceptor
	replica  *replica.Replica
	members  *coremembers.Planner
	leaving  bool
	registry *registry
	proposal *proposal
	waiting  []*order
	changing bool
}

type order struct {
	orders []controlstate.Order
	until  time.Duration
	done   func([]controlstate.Outcome)
}

type proposal struct {
	attempt *replica.Attempt
	orders  []*order
	serial  int
}

// New returns a world of stores that begin together, spread over zones by turns.
func New(seed uint64, stores, tolerate int, zones ...string) *World {
	w := &World{rng: rand.New(rand.NewPCG(seed, 41)), cut: map[[2]int]bool{}, wanted: 2*tolerate + 1,
		Acked: map[string]time.Duration{}, Sent: map[string]time.Duration{}}
	for i := range stores {
		w.first = append(w.first, fmt.Sprintf("10.0.0.%d", i+1))
	}
	for i := range stores {
		s := &Store{world: w, index: i, ip: w.first[i], zone: zones[i%len(zones)]}
		w.stores = append(w.stores, s)
		s.Start()
	}
	return w
}

// After has something done after a span.
func (w *World) After(span time.Duration, do func()) {
	w.serial++
	heap.Push(&w.queue, event{w.Now + span, w.serial, do})
}

// Run plays a span, or until a rule is broken.
func (w *World) Run(span time.Duration) {
	until := w.Now + span
	for len(w.queue) > 0 && w.queue[0].at <= until && w.Broken == nil {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = until
}

func (w *World) fail(format string, args ...any) {
	if w.Broken == nil {
		w.Broken = fmt.Errorf("at %v: %w", w.Now, fmt.Errorf(format, args...))
	}
}

// Cut cuts the link from one store to another, or joins it.
func (w *World) Cut(from, to int, cut bool) { w.cut[[2]int{from, to}] = cut }

// Isolate cuts a store off from all others, or joins it. heard and hears say in which direction.
func (w *World) Isolate(i int, heard, hears, cut bool) {
	for k := range w.stores {
		if k == i {
			continue
		}
		if heard {
			w.Cut(i, k, cut)
		}
		if hears {
			w.Cut(k, i, cut)
		}
	}
}

// Store is the i-th store.
func (w *World) Store(i int) *Store { return w.stores[i] }

// Stores is how many there are and were.
func (w *World) Stores() int { return len(w.stores) }

// Add has a machine with an empty disk join in a zone. It returns its index.
func (w *World) Add(zone string) int {
	w.disks++
	s := &Store{world: w, index: len(w.stores), ip: fmt.Sprintf("10.0.1.%d", len(w.stores)), zone: zone, isNew: true, disk: paxos.Record{Disk: w.disks}}
	w.stores = append(w.stores, s)
	s.Start()
	return s.index
}

// Start starts a store's process with what is on its disk.
func (s *Store) Start() {
	w := s.world
	s.life++
	s.up, s.leaving, s.thawAt, s.began = true, false, 0, w.Now
	s.acceptor.Record = s.disk
	first := w.first
	if s.isNew {
		first = nil
	}
	s.replica = replica.New(uint64(s.index+1), uint64(s.life), first)
	s.replica.ObserveBallotNumber(s.disk.Promised.Number)
	s.members = coremembers.New(coremembers.Report{Voter: s.ID(), Zone: s.zone}, w.wanted, 0)
	s.proposal, s.waiting, s.changing = nil, nil, false
	s.later(time.Duration(w.rng.IntN(50))*time.Millisecond, s.confirm)
	if len(w.limiters) > 0 {
		s.startRegistry()
	}
}

// Stop ends the process without a word.
func (s *Store) Stop() { s.up = false }

// Wipe has the machine come back without its disk.
func (s *Store) Wipe() {
	s.world.disks++
	s.disk, s.isNew = paxos.Record{Disk: s.world.disks}, true
}

// Leave ends the process in good order: a learner takes its seat first, where there is one.
func (s *Store) Leave() {
	s.members.Leave()
	s.leaving = true
	s.report()
	s.awaitSeat(s.world.Now + leaveWithin)
}

func (s *Store) awaitSeat(late time.Duration) {
	if !s.members.ShouldWaitToLeave(s.clock(), s.state()) || s.world.Now > late {
		s.Stop()
		return
	}
	s.later(10*time.Millisecond, func() { s.awaitSeat(late) })
}

// Freeze has the process stand still for a span.
func (s *Store) Freeze(span time.Duration) { s.thawAt = s.world.Now + span }

// ID is the store's identity as a voter.
func (s *Store) ID() string { return controlstate.VoterID(s.ip, s.disk.Disk) }

// Up tells that its process runs.
func (s *Store) Up() bool { return s.up }

// Register is what it knows to be chosen.
func (s *Store) Register() *controlstate.Register { return s.replica.Register() }

// Voters are the voters as it knows them; settled tells that no change of them is under way.
func (s *Store) Voters() (voters []string, settled bool) {
	st := s.state()
	return st.Voters, !st.Prior
}

func (s *Store) clock() time.Duration { return s.world.Now - s.began }

func (s *Store) state() coremembers.State {
	register := s.replica.Register()
	sets := register.VoterSets(s.replica.InitialVoters())
	return coremembers.State{Voters: sets[len(sets)-1], Prior: len(sets) > 1, Term: register.Term(), Seq: register.Seq}
}

// later has the process do something after a span, unless it ended; while frozen it waits.
func (s *Store) later(span time.Duration, do func()) {
	life := s.life
	var run func()
	run = func() {
		switch {
		case !s.up || s.life != life:
		case s.world.Now < s.thawAt:
			s.world.After(s.thawAt-s.world.Now+time.Duration(s.world.rng.IntN(1000))*time.Microsecond, run)
		default:
			do()
		}
	}
	s.world.After(span, run)
}

// call carries a call to another machine and its answer back. What a cut holds up is lost.
func (s *Store) call(to int, ask func(other *Store) func()) {
	w, other := s.world, s.world.stores[to]
	life := s.life
	if w.cut[[2]int{s.index, to}] && to != s.index {
		return
	}
	other.later(w.delay(s, other), func() {
		answer := ask(other)
		if w.cut[[2]int{to, s.index}] && to != s.index {
			return
		}
		other.later(syncTime, func() { // the record is on the disk
			w.After(w.delay(s, other), func() {
				if s.life == life {
					s.later(0, answer)
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

func (w *World) find(ip string) int {
	return slices.IndexFunc(w.stores, func(s *Store) bool { return s.ip == ip })
}

func (w *World) machines(voters []string) (all []int) {
	for _, v := range voters {
		if k := w.find(controlstate.VoterIP(v)); k >= 0 && !slices.Contains(all, k) {
			all = append(all, k)
		}
	}
	return all
}
