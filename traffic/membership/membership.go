// Package membership detects which limiters of a region are unreachable, with a SWIM-like gossip protocol.
// Each limiter probes one other in turn. If the target doesn't answer, three others, in other zones if
// possible, are asked to probe it as well. If none of them gets an answer the target becomes suspect, and
// that claim is spread to all limiters, the target included if it can be reached. The suspect has some
// time to refute the claim, or to be reached by others that are asked again. After that it counts as
// unreachable until it refutes that too.
//
// The list of limiters comes from the registries. The result says only which limiters are unreachable now:
// it never reassigns any limiter's share of a quota.
//
// [Detector] does no I/O and reads no clock: times are passed in, in milliseconds. It is not safe for
// concurrent use.
package membership

import (
	"math/rand/v2"
	"slices"
)

const (
	probeIntervalMs       = 400.0 // between two probes by one limiter
	ackTimeoutMs          = 120.0 // for an ack, before others are asked to probe
	indirectTimeoutMs     = 300.0 // for an ack through the others
	suspectTimeoutMs      = 700.0 // for a suspect to refute the claim
	indirectProbeCount    = 3     // limiters that are asked to probe
	maxClaims             = 6     // per message
	sendsPerClaim         = 4     // messages in which each limiter spreads a claim
	unreachableProbeEvery = 3     // one in this many probes may go to an unreachable limiter
)

// State is the reachability of a limiter.
type State uint8

// States in ascending precedence: of two claims with the same incarnation the higher state wins.
const (
	Alive State = iota
	Suspect
	Unreachable
)

// Claim asserts the state of a limiter. The limiter refutes it with a higher incarnation.
type Claim struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	State       State  `cbor:"3,keyasint,omitempty"`
}

// Kind is the type of a message.
type Kind uint8

// Message kinds.
const (
	Probe        Kind = iota // asks the receiver for an Ack
	Ack                      // answers a Probe or a ProbeRequest
	ProbeRequest             // asks the receiver to probe Target
)

// Message is the content of one datagram.
type Message struct {
	Kind   Kind    `cbor:"1,keyasint,omitempty"`
	Serial uint64  `cbor:"2,keyasint,omitempty"`
	From   string  `cbor:"3,keyasint"`
	Target string  `cbor:"4,keyasint,omitempty"` // of a ProbeRequest
	Claims []Claim `cbor:"5,keyasint,omitempty"`
}

// Envelope is a message with its recipient.
type Envelope struct {
	To      string
	Message Message
}

type member struct {
	zone          string
	incarnation   uint64
	state         State
	stateSince    float64
	sendsLeft     int // messages in which its claim is still to be sent
	notifiedAt    float64
	suspectedHere bool // this limiter was the first to suspect it
}

type probe struct {
	target   string
	sentAt   float64
	indirect bool
	// The limiter that requested the probe, and the serial of its request; "" for this limiter's own probes.
	requester string
	serial    uint64
}

// Detector holds one limiter's view of the other limiters in its region.
type Detector struct {
	self, zone  string
	incarnation uint64
	rng         *rand.Rand
	members     map[string]*member
	probeOrder  []string // targets of the next probes
	probes      map[uint64]*probe
	serial      uint64
	nextProbeAt float64
	probeCount  int
	changed     bool
}

// New returns a detector without members. self identifies the limiter's process and is unique to it.
func New(self string, seed uint64) *Detector {
	return &Detector{self: self, rng: rand.New(rand.NewPCG(seed, 7)), members: map[string]*member{}, probes: map[uint64]*probe{}}
}

// SetMembers sets the limiters of the region and their zones. The map may include this limiter, for its
// own zone.
func (l *Detector) SetMembers(zones map[string]string) {
	l.zone = zones[l.self]
	for id := range l.members {
		if _, listed := zones[id]; !listed {
			delete(l.members, id)
		}
	}
	for id, zone := range zones {
		if id != l.self && l.members[id] == nil {
			l.members[id] = &member{zone: zone}
		}
	}
}

// State returns the state of a limiter in this limiter's view. An unknown limiter counts as alive.
func (l *Detector) State(id string) State {
	if m := l.members[id]; m != nil {
		return m.state
	}
	return Alive
}

// Changed reports whether a limiter has become unreachable or come back since the last call.
func (l *Detector) Changed() bool {
	result := l.changed
	l.changed = false
	return result
}

// Tick performs the actions that are due and returns the messages to send. It should be called about every
// 50 ms.
func (l *Detector) Tick(now float64) (out []Envelope) {
	for _, serial := range sortedKeys(l.probes) {
		sent := l.probes[serial]
		m := l.members[sent.target]
		switch {
		case m == nil:
			delete(l.probes, serial)
		case sent.requester != "":
			if now-sent.sentAt > indirectTimeoutMs {
				delete(l.probes, serial)
			}
		case !sent.indirect && now-sent.sentAt > ackTimeoutMs:
			sent.indirect, sent.sentAt = true, now
			for _, id := range l.indirectProbers(sent.target, indirectProbeCount) {
				out = append(out, l.envelope(id, Message{Kind: ProbeRequest, Serial: serial, Target: sent.target}))
			}
		case sent.indirect && now-sent.sentAt > indirectTimeoutMs:
			delete(l.probes, serial)
			if m.state == Alive {
				l.applyClaim(now, sent.target, Claim{sent.target, m.incarnation, Suspect})
				m.suspectedHere = true
			}
		}
	}
	for _, id := range sortedKeys(l.members) {
		m := l.members[id]
		switch {
		case m.state != Suspect:
		case now-m.stateSince > suspectTimeoutMs:
			l.applyClaim(now, id, Claim{id, m.incarnation, Unreachable})
		case now-m.notifiedAt > ackTimeoutMs: // probe the suspect, which carries the claim, so that it can refute it
			m.notifiedAt = now
			l.serial++
			out = append(out, l.envelope(id, Message{Kind: Probe, Serial: l.serial}))
			if m.suspectedHere { // the limiter that first suspected it also asks others, which may reach it
				l.serial++
				l.probes[l.serial] = &probe{target: id, sentAt: now, indirect: true}
				for _, to := range l.indirectProbers(id, indirectProbeCount) {
					out = append(out, l.envelope(to, Message{Kind: ProbeRequest, Serial: l.serial, Target: id}))
				}
			}
		}
	}
	if now >= l.nextProbeAt {
		l.nextProbeAt = now + probeIntervalMs*(0.8+0.4*l.rng.Float64())
		if id := l.nextTarget(); id != "" {
			l.serial++
			l.probes[l.serial] = &probe{target: id, sentAt: now}
			out = append(out, l.envelope(id, Message{Kind: Probe, Serial: l.serial}))
		}
	}
	return out
}

// nextTarget returns the limiter to probe next: each in turn, unreachable ones less often.
func (l *Detector) nextTarget() string {
	l.probeCount++
	for range 2 {
		for len(l.probeOrder) > 0 {
			id := l.probeOrder[0]
			l.probeOrder = l.probeOrder[1:]
			if m := l.members[id]; m != nil && (m.state != Unreachable || l.probeCount%unreachableProbeEvery == 0) {
				return id
			}
		}
		for id := range l.members {
			l.probeOrder = append(l.probeOrder, id)
		}
		slices.Sort(l.probeOrder)
		l.rng.Shuffle(len(l.probeOrder), func(i, k int) { l.probeOrder[i], l.probeOrder[k] = l.probeOrder[k], l.probeOrder[i] })
	}
	return ""
}

// indirectProbers draws up to n alive limiters to probe a target as well. It prefers zones other than this
// limiter's and the target's, and varies them, so that one prober may be in this limiter's own zone. If
// the link between two zones is cut, it is cut for all limiters in them, and a third zone may still reach
// both; if this zone can't reach the third one, the prober in its own zone helps.
func (l *Detector) indirectProbers(target string, n int) (probers []string) {
	var alive []string
	for id, m := range l.members {
		if id != target && m.state == Alive {
			alive = append(alive, id)
		}
	}
	slices.Sort(alive)
	l.rng.Shuffle(len(alive), func(i, k int) { alive[i], alive[k] = alive[k], alive[i] })
	zoneUse := map[string]int{l.zone: 1}
	zoneUse[l.members[target].zone] += n
	for len(probers) < n && len(alive) > 0 {
		best := 0
		for i, id := range alive {
			if zoneUse[l.members[id].zone] < zoneUse[l.members[alive[best]].zone] {
				best = i
			}
		}
		zoneUse[l.members[alive[best]].zone] += 2
		probers = append(probers, alive[best])
		alive = slices.Delete(alive, best, best+1)
	}
	return probers
}

// envelope addresses a message and adds the claims to spread. A recipient that is suspect or unreachable
// receives the claim about itself first.
func (l *Detector) envelope(to string, m Message) Envelope {
	m.From = l.self
	if t := l.members[to]; t != nil && t.state != Alive {
		m.Claims = append(m.Claims, Claim{to, t.incarnation, t.state})
	}
	for _, id := range sortedKeys(l.members) {
		if t := l.members[id]; t.sendsLeft > 0 && id != to && len(m.Claims) < maxClaims {
			t.sendsLeft--
			m.Claims = append(m.Claims, Claim{id, t.incarnation, t.state})
		}
	}
	if l.incarnation > 0 {
		m.Claims = append(m.Claims, Claim{l.self, l.incarnation, Alive})
	}
	return Envelope{to, m}
}

// Receive processes a message and returns the messages to send.
func (l *Detector) Receive(now float64, m Message) (out []Envelope) {
	for _, c := range m.Claims {
		l.applyClaim(now, m.From, c)
	}
	if from := l.members[m.From]; from != nil && from.state == Suspect {
		// The sender is alive after all. An unreachable limiter comes back only by its own refutation.
		l.applyClaim(now, m.From, Claim{m.From, from.incarnation + 1, Alive})
	}
	switch m.Kind {
	case Probe:
		out = append(out, l.envelope(m.From, Message{Kind: Ack, Serial: m.Serial}))
	case ProbeRequest:
		if l.members[m.Target] != nil {
			l.serial++
			l.probes[l.serial] = &probe{target: m.Target, sentAt: now, requester: m.From, serial: m.Serial}
			out = append(out, l.envelope(m.Target, Message{Kind: Probe, Serial: l.serial}))
		}
	case Ack:
		sent := l.probes[m.Serial]
		if sent == nil {
			break
		}
		delete(l.probes, m.Serial)
		// Another limiter may have reached a suspect.
		if suspect := l.members[sent.target]; suspect != nil && suspect.state == Suspect && m.From != sent.target {
			l.applyClaim(now, m.From, Claim{sent.target, suspect.incarnation + 1, Alive})
		}
		if sent.requester != "" {
			out = append(out, l.envelope(sent.requester, Message{Kind: Ack, Serial: sent.serial}))
		}
	}
	return out
}

// applyClaim updates the state of a limiter by a claim.
func (l *Detector) applyClaim(now float64, from string, c Claim) {
	if c.ID == l.self {
		if c.State != Alive && c.Incarnation >= l.incarnation { // refute the claim
			l.incarnation = c.Incarnation + 1
		}
		return
	}
	m := l.members[c.ID]
	if m == nil || c.Incarnation < m.incarnation || c.Incarnation == m.incarnation && c.State <= m.state {
		return
	}
	l.changed = l.changed || (c.State == Unreachable) != (m.state == Unreachable)
	m.incarnation, m.state, m.stateSince, m.sendsLeft, m.suspectedHere = c.Incarnation, c.State, now, sendsPerClaim, false
}

func sortedKeys[K ~string | ~uint64, V any](m map[K]V) []K {
	all := make([]K, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}
