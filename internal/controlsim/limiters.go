package controlsim

import (
	"slices"
	"time"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/freshness"
	"example.org/madderdrum/control/replica"
)

// Spans that the hosts of registries and limiters keep too.
const (
	followEvery   = 900 * time.Millisecond
	contactWithin = 1600 * time.Millisecond
	watchEvery    = 20 * time.Millisecond
	pullEvery     = 200 * time.Millisecond // held pulls of a second, with news at once, come to less
	pullWithin    = 1450 * time.Millisecond
)

// registry is the process beside a store that limiters pull from.
type registry struct {
	register *controlstate.Register
	proof    freshness.Proof
	contacts *freshness.Contacts
	voters   [][]string
}

// startRegistry starts the registry beside a store, knowing nothing.
func (s *Store) startRegistry() {
	s.registry = &registry{register: &controlstate.Register{}, contacts: freshness.NewContacts(s.ip)}
	s.later(0, s.followOthers)
	s.later(0, s.watch)
}

// followOthers asks the other registries for news, and notes who answers.
func (s *Store) followOthers() {
	for k := range s.world.stores {
		if k == s.index {
			continue
		}
		asked := s.world.Now
		s.call(k, func(other *Store) func() {
			return func() {
				if s.world.Now-asked < contactWithin {
					s.registry.contacts.Heard(other.ip, s.clock())
				}
			}
		})
	}
	s.later(followEvery, s.followOthers)
}

// watch follows the store on this machine.
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
	s.later(watchEvery, s.watch)
}

// source is what a registry tells of itself with an answer.
func (s *Store) source() freshness.RegistryStatus {
	age, ok := s.registry.proof.Age(s.clock())
	return freshness.RegistryStatus{Isolated: !s.registry.contacts.HasMajority(s.registry.voters, s.clock(), contactWithin), Proven: ok, Age: age}
}

// Limiter pulls the register from one registry, and from another when that one is not to be gone by.
// The links between limiters and core machines are never cut.
type Limiter struct {
	world    *World
	at       int
	register *controlstate.Register
	proof    freshness.Proof
}

// AddLimiter has a limiter begin.
func (w *World) AddLimiter() *Limiter {
	if len(w.limiters) == 0 { // registries cost time, and nobody else asks them
		for _, s := range w.stores {
			s.startRegistry()
		}
	}
	l := &Limiter{world: w, at: w.rng.IntN(len(w.stores)), register: &controlstate.Register{}}
	w.limiters = append(w.limiters, l)
	w.After(0, l.pull)
	return l
}

// ProofAge is how old the limiter's proof is that its register is current.
func (l *Limiter) ProofAge() (age time.Duration, ok bool) { return l.proof.Age(l.world.Now) }

// pull asks once, and goes on with the next registry where the answer says so or does not come.
func (l *Limiter) pull() {
	w := l.world
	s := w.stores[l.at]
	asked, answered := w.Now, false
	again := func(stays bool) {
		if answered {
			return
		}
		answered = true
		if !stays && !w.StaysWithStale {
			l.at = (l.at + 1) % len(w.stores)
		}
		w.After(pullEvery, l.pull)
	}
	if s.up {
		s.later(time.Millisecond, func() {
			source, register := s.source(), s.registry.register
			w.After(time.Millisecond, func() {
				if !answered {
					l.take(asked, source, register)
					again(source.Usable())
				}
			})
		})
	}
	w.After(pullWithin, func() { again(false) })
}

// take takes an answer in, and is judged: what is proven to be current holds all that was
// acknowledged when the proof was made.
func (l *Limiter) take(asked time.Duration, source freshness.RegistryStatus, register *controlstate.Register) {
	if register.Seq > l.register.Seq {
		l.register = register
	}
	if !source.Proven {
		return
	}
	l.proof.Advance(asked, 0, source.Age)
	age, _ := l.proof.Age(l.world.Now)
	for zone, at := range l.world.Acked {
		if at < l.world.Now-age && !slices.Contains(l.register.EvacuatedZones, zone) {
			l.world.fail("a limiter has proof of %v ago, and lacks %s, acknowledged at %v", age, zone, at)
		}
	}
}
