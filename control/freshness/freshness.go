// Package freshness decides what a process may still do after it last heard from others: whether a
// registry hears a majority, whether enough registries hold what is to be acknowledged, how old the
// proof is that a register is current, and whether a limiter goes on asking the same registry.
//
// Nothing here does input or output, reads a clock or starts a goroutine. Times are spans on a
// steady clock of the process that asks.
package freshness

import (
	"time"

	"example.org/madderdrum/control/paxos"
)

// Contacts is when other machines were last heard, by IP number.
type Contacts struct {
	self  string
	heard map[string]time.Duration
}

// NewContacts returns the contacts of a machine that has heard nobody.
func NewContacts(self string) *Contacts {
	return &Contacts{self: self, heard: map[string]time.Duration{}}
}

// Heard takes note that a machine has answered a call that was made at a time.
func (c *Contacts) Heard(ip string, at time.Duration) {
	if last, ok := c.heard[ip]; !ok || at > last {
		c.heard[ip] = at
	}
}

// Silence is for how long a machine has not been heard; ok is false where it never was.
func (c *Contacts) Silence(ip string, now time.Duration) (silence time.Duration, ok bool) {
	at, ok := c.heard[ip]
	return now - at, ok
}

// Forget drops a machine.
func (c *Contacts) Forget(ip string) { delete(c.heard, ip) }

// Majority tells that a majority of each set was heard within a span, this machine counted where it
// is a member. Of no sets there is no majority.
func (c *Contacts) Majority(sets [][]string, now, within time.Duration) bool {
	return len(sets) > 0 && paxos.Agreed(sets, func(ip string) bool {
		silence, ok := c.Silence(ip, now)
		return ip == c.self || ok && silence < within
	})
}

// Copies counts which machines hold a record that is to be acknowledged.
type Copies struct {
	sets [][]string
	held map[string]bool
}

// NewCopies begins with the machine that holds the record already.
func NewCopies(self string, sets [][]string) *Copies {
	return &Copies{sets: sets, held: map[string]bool{self: true}}
}

// Stored takes note that a machine holds the record.
func (c *Copies) Stored(ip string) { c.held[ip] = true }

// Enough tells that a majority of each set holds the record: it can be acknowledged.
func (c *Copies) Enough() bool {
	return len(c.sets) > 0 && paxos.Agreed(c.sets, func(ip string) bool { return c.held[ip] })
}

// Proof is when a register was known to be the newest one that was chosen.
type Proof struct {
	at    time.Duration
	valid bool
}

// Advance takes in an answer to a call that was made at a time: the answer was held for a while
// before it was given, and the proof was so old then. How long the answer was on its way counts as
// part of its age.
func (p *Proof) Advance(asked, held, age time.Duration) {
	at := asked + held - age
	if !p.valid || at > p.at {
		p.at, p.valid = at, true
	}
}

// Age is how old the proof is; ok is false where there is none.
func (p *Proof) Age(now time.Duration) (age time.Duration, ok bool) { return now - p.at, p.valid }

// Fresh tells that the proof is younger than a limit.
func (p *Proof) Fresh(now, limit time.Duration) bool {
	age, ok := p.Age(now)
	return ok && age < limit
}

// ProofStale is the age of its proof at which a limiter leaves a registry for another.
const ProofStale = 1600 * time.Millisecond

// Source is what a registry tells of itself with an answer.
type Source struct {
	Apart  bool // it does not hear a majority of the registries
	Proven bool
	Age    time.Duration // of its proof
}

// Usable tells that a limiter may go on asking this registry.
func (s Source) Usable() bool { return !s.Apart && s.Proven && s.Age < ProofStale }
