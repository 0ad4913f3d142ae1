// Package freshness decides what a process may still do, given when it last heard from others: whether a
// registry is in contact with a majority, whether enough registries hold a record to acknowledge it, how
// old the proof is that a register is current, and whether a limiter keeps using its registry.
//
// Nothing here does I/O, reads a clock or starts a goroutine. Times are offsets on a monotonic clock of
// the calling process.
package freshness

import (
	"time"

	"example.org/madderdrum/control/paxos"
)

// Contacts records when each other machine, by IP address, last answered.
type Contacts struct {
	self      string
	lastHeard map[string]time.Duration
}

// NewContacts returns empty contacts for the machine with IP address self.
func NewContacts(self string) *Contacts {
	return &Contacts{self: self, lastHeard: map[string]time.Duration{}}
}

// Heard records that a machine has answered a call that was sent at the given time.
func (c *Contacts) Heard(ip string, at time.Duration) {
	if last, ok := c.lastHeard[ip]; !ok || at > last {
		c.lastHeard[ip] = at
	}
}

// Silence returns the time since a machine was last heard. ok is false if it was never heard.
func (c *Contacts) Silence(ip string, now time.Duration) (silence time.Duration, ok bool) {
	at, ok := c.lastHeard[ip]
	return now - at, ok
}

// Forget removes the record of a machine, for example one that is no longer a core machine.
func (c *Contacts) Forget(ip string) { delete(c.lastHeard, ip) }

// HasMajority reports whether a majority of each set was heard less than within ago. This machine counts
// in the sets it is a member of. Without any sets the result is false.
func (c *Contacts) HasMajority(sets [][]string, now, within time.Duration) bool {
	return len(sets) > 0 && paxos.MajorityOfEach(sets, func(ip string) bool {
		silence, ok := c.Silence(ip, now)
		return ip == c.self || ok && silence < within
	})
}

// Copies tracks which machines hold a record, to decide when it can be acknowledged.
type Copies struct {
	sets [][]string
	held map[string]bool
}

// NewCopies returns the copies of a record that so far only the machine self holds.
func NewCopies(self string, sets [][]string) *Copies {
	return &Copies{sets: sets, held: map[string]bool{self: true}}
}

// Stored records that a machine holds a copy.
func (c *Copies) Stored(ip string) { c.held[ip] = true }

// HasMajority reports whether a majority of each set holds the record, so that it can be acknowledged.
func (c *Copies) HasMajority() bool {
	return len(c.sets) > 0 && paxos.MajorityOfEach(c.sets, func(ip string) bool { return c.held[ip] })
}

// Proof holds the latest time at which a register was proven to be the newest chosen one. The zero value
// holds no proof.
type Proof struct {
	at    time.Duration
	valid bool
}

// Advance updates the proof from an answer. The call was sent at askedAt, the server held it for heldFor
// before answering, and the server's proof had the given age at that moment. The network delay, which is
// not known, counts as part of the age.
func (p *Proof) Advance(askedAt, heldFor, age time.Duration) {
	at := askedAt + heldFor - age
	if !p.valid || at > p.at {
		p.at, p.valid = at, true
	}
}

// Age returns the time since the register was proven current. ok is false if there is no proof.
func (p *Proof) Age(now time.Duration) (age time.Duration, ok bool) { return now - p.at, p.valid }

// Fresh reports whether there is a proof that is younger than limit.
func (p *Proof) Fresh(now, limit time.Duration) bool {
	age, ok := p.Age(now)
	return ok && age < limit
}

// MaxProofAge is the age of a registry's proof at which a limiter switches to another registry.
const MaxProofAge = 1600 * time.Millisecond

// RegistryStatus is what a registry reports about itself with each answer.
type RegistryStatus struct {
	Isolated bool          // it is not in contact with a majority of the registries
	Proven   bool          // it has a proof that its register is current
	Age      time.Duration // of that proof
}

// Usable reports whether a limiter may keep using this registry.
func (s RegistryStatus) Usable() bool { return !s.Isolated && s.Proven && s.Age < MaxProofAge }
