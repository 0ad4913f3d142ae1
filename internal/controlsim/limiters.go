package controlsim

import (
	"slices"
	"time"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/freshness"
	"example.org/madderdrum/control/replica"
)

// Timing of the simulated registries and limiters, as in their hosts.
const (
	followInterval = 900 * time.Millisecond
	contactTimeout = 1600 * time.Millisecond
	watchInterval  = 20 * time.Millisecond
	pullInterval   = 200 * time.Millisecond // hosts hold a pull for 1 s but answer changes at once, which is faster
	pullTimeout    = 1450 * time.Millisecond
)

// registry is the registry process on the machine of a store; limiters pull from it.
type registry struct {
	register *controlstate.Register
	proof    freshness.Proof
	contacts *freshness.Contacts
	voters   [][]string
}

// startRegistry starts the registry on the store's machine with an empty register.
func (s *Store) startRegistry() {
	s.registry = &registry{register: &controlstate.Register{}, contacts: freshness.NewContacts(s.ip)}
	s.schedule(0, s.followOthers)
	s.schedule(0, s.watch)
}

// followOthers polls the other registries and records which of them answer in time.
func (s *Store) followOthers() {
	for k := range s.world.stores {
		if k == s.index {
			continue
		}
		sentAt := s.world.Now
		s.call(k, func(other *Store) func() {
			return func() {
				if s.world.Now-sentAt < contactTimeout {
					s.registry.contacts.Heard(other.ip, s.clock())
				}
			}
		})
	}
	s.schedule(followInterval, s.followOthers)
}

// watch copies the register, the proof of its currency and the voters from the store on this machine.
func (s *Store) watch() {
	r := s.registry
	if s.replica.Register().Seq > r.register.Seq {
		r.register = s.replica.Register()
	}
	if at, ok := s.replica.ProvenAt(); ok {
		r.proof.Advance(s.clock(), 0, s.clock()-at)
		r.voters = nil
		for _, set := range s.replica.Register().VoterSets(s.replica.InitialVoters()) {
			r.voters = append(r.voters, replica.VoterIPs(set))
		}
	}
	s.schedule(watchInterval, s.watch)
}

// status returns the status that the registry attaches to its answers.
func (s *Store) status() freshness.RegistryStatus {
	age, ok := s.registry.proof.Age(s.clock())
	return freshness.RegistryStatus{Isolated: !s.registry.contacts.HasMajority(s.registry.voters, s.clock(), contactTimeout), Proven: ok, Age: age}
}

// Limiter pulls the register from one registry, and switches to another when that one is not usable.
// The links between limiters and core machines are never cut.
type Limiter struct {
	world      *World
	storeIndex int
	register   *controlstate.Register
	proof      freshness.Proof
}

// AddLimiter starts a limiter that pulls from a random registry.
func (w *World) AddLimiter() *Limiter {
	if len(w.limiters) == 0 { // without limiters the registries would only slow the simulation down
		for _, s := range w.stores {
			s.startRegistry()
		}
	}
	l := &Limiter{world: w, storeIndex: w.rng.IntN(len(w.stores)), register: &controlstate.Register{}}
	w.limiters = append(w.limiters, l)
	w.After(0, l.pull)
	return l
}

// ProofAge returns the age of the limiter's proof that its register is current; ok is false if it has none.
func (l *Limiter) ProofAge() (age time.Duration, ok bool) { return l.proof.Age(l.world.Now) }

// pull sends one pull and schedules the next one, to the next registry if this one does not answer in time
// or reports that it is not usable.
func (l *Limiter) pull() {
	w := l.world
	s := w.stores[l.storeIndex]
	sentAt, answered := w.Now, false
	finish := func(usable bool) {
		if answered {
			return
		}
		answered = true
		if !usable && !w.FaultKeepStaleRegistry {
			l.storeIndex = (l.storeIndex + 1) % len(w.stores)
		}
		w.After(pullInterval, l.pull)
	}
	if s.running {
		s.schedule(time.Millisecond, func() {
			status, register := s.status(), s.registry.register
			w.After(time.Millisecond, func() {
				if !answered {
					l.handleAnswer(sentAt, status, register)
					finish(status.Usable())
				}
			})
		})
	}
	w.After(pullTimeout, func() { finish(false) })
}

// handleAnswer applies an answer and checks the invariant: a register that is proven current contains every
// order that was acknowledged before the proof was made.
func (l *Limiter) handleAnswer(sentAt time.Duration, status freshness.RegistryStatus, register *controlstate.Register) {
	if register.Seq > l.register.Seq {
		l.register = register
	}
	if !status.Proven {
		return
	}
	l.proof.Advance(sentAt, 0, status.Age)
	age, _ := l.proof.Age(l.world.Now)
	for zone, at := range l.world.Acked {
		if at < l.world.Now-age && !slices.Contains(l.register.EvacuatedZones, zone) {
			l.world.fail("a limiter has a proof of age %v but lacks order %s, acknowledged at %v", age, zone, at)
		}
	}
}
