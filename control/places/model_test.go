package places

import (
	"encoding/binary"
	"flag"
	"fmt"
	"testing"
	"time"
)

// model is one state of a small system: limiter a, which holds the whole at first; limiter b, which is to take
// over its place and always knows the newest table; a core majority that changes the table; and a core machine
// that is cut off from the majority and still has the first table. Limiter a's clock runs as slowly as is allowed.
type model struct {
	now        time.Duration
	tables     []Table // by version, starting at 1
	seen       []time.Duration
	acks       []modelAck
	a          modelLimiter
	inFlight   *modelAnswer // in transit to a
	clockSteps int
}

// modelAck is an acknowledgement that the majority has received from limiter a.
type modelAck struct {
	at      time.Duration
	version uint64
}

// modelAnswer is a core machine's answer to a pull: a table, and the time at which it was known to be current.
type modelAnswer struct {
	version uint64
	proved  time.Duration
}

// modelLimiter is the state of limiter a. Its times are on its own clock.
type modelLimiter struct {
	version uint64 // of its table; 0: none
	lease   Lease
	began   time.Duration
	life    int
	pending bool // a request is admitted and not yet sent
}

// modelFault is a safety rule that is left out on purpose, to check that the search finds the violation.
type modelFault int

const (
	noFault modelFault = iota
	noClockMargin
	noSendFence
	noSettleWait
	renewedByMinority
	fullLeaseForOldProof
)

// onSlowClock converts a time to a's clock.
func onSlowClock(t time.Duration) time.Duration { return time.Duration(float64(t) * (1 - ClockDrift)) }

func (m *model) newest() uint64 { return uint64(len(m.tables)) }

func (m *model) table(version uint64) Table { return m.tables[version-1] }

// shareA returns the share that a may use now.
func (m *model) shareA() float64 {
	if m.a.version == 0 || !m.a.lease.Valid(onSlowClock(m.now)) {
		return 0
	}
	return shareIn(m.table(m.a.version), "a")
}

// shareB returns the share that b may use now.
func (m *model) shareB() float64 { return shareIn(m.table(m.newest()), "b") }

// shareIn returns the share that a limiter has under a table.
func shareIn(t Table, name string) float64 {
	slot := t.SlotOf(name, name)
	if slot < 0 {
		return 0
	}
	return Share(t.SetsInUse(), slot)
}

// settled returns the version that the majority would settle now, if any.
func (m *model) settled(fault modelFault) (uint64, bool) {
	t := m.table(m.newest())
	if changes := t.UnsettledVersions(); len(changes) > 0 {
		last := changes[len(changes)-1]
		if fault == noSettleWait || fault == noClockMargin && m.now-m.seen[last-1] >= LeaseLength {
			return last, true
		}
	}
	s := NewAckTracker()
	for i, at := range m.seen {
		s.Add(at, m.tables[i], uint64(i+1))
	}
	for _, ack := range m.acks {
		s.Receive(ack.at, Acknowledgement{Holder: HolderOf("a", "a"), Version: ack.version})
	}
	return s.Due(m.now, t)
}

// change returns the state after a change of the table. The second result is false if f changes nothing.
func (m model) change(f func(t *Table, version uint64) bool) (model, bool) {
	t := m.table(m.newest())
	t.Places = append([]Place(nil), t.Places...)
	if !f(&t, m.newest()+1) {
		return m, false
	}
	m.tables = append(m.tables[:len(m.tables):len(m.tables)], t)
	m.seen = append(m.seen[:len(m.seen):len(m.seen)], m.now)
	return m, true
}

// next returns the states that can follow. violation describes a case in which more than the whole is used.
func (m model) next(fault modelFault) (all []model, violation string) {
	add := func(x model, ok bool) {
		if ok {
			all = append(all, x)
		}
	}
	add(m.change(func(t *Table, v uint64) bool { return v <= 5 && t.Release(v, []string{HolderOf("a", "a")}) }))
	add(m.change(func(t *Table, v uint64) bool { return v <= 5 && t.Join(v, v, []Place{{Name: "b", IP: "b"}}) }))
	if settled, due := m.settled(fault); due {
		add(m.change(func(t *Table, v uint64) bool { return t.Settle(settled) }))
	}
	for _, answer := range m.answers(fault) {
		x := m.withPull()
		add(x.deliver(answer, fault), true)
		if m.inFlight == nil {
			x.inFlight = &answer
			add(x, true)
		}
	}
	if m.inFlight != nil {
		x := m
		x.inFlight = nil
		add(x.deliver(*m.inFlight, fault), true)
	}
	if m.shareA() > 0 && !m.a.pending {
		x := m
		x.a.pending = true
		add(x, true)
	}
	if m.a.pending {
		x := m
		x.a.pending = false
		if (fault == noSendFence || m.shareA() > 0) && m.shareA() < 1 && m.shareB() >= 1 {
			violation = "a sends an admitted request while b uses the whole"
		}
		add(x, true)
	}
	if m.a.life < 1 {
		x := m
		x.a, x.inFlight = modelLimiter{began: onSlowClock(m.now), life: m.a.life + 1}, nil
		add(x, true)
	}
	for _, step := range []time.Duration{time.Second, 3 * time.Second, LeaseLength - 3*time.Second} {
		x := m
		x.now += step
		x.clockSteps++
		add(x, m.clockSteps < 3)
	}
	if sum := m.shareA() + m.shareB(); sum > 1 {
		violation = fmt.Sprintf("a uses %g and b %g", m.shareA(), m.shareB())
	}
	return all, violation
}

// answers returns the answers that a can get to a pull now: from the majority, and from the machine that is
// cut off, whose proof dates from the beginning.
func (m *model) answers(fault modelFault) []modelAnswer {
	cutOff := modelAnswer{version: 1}
	if fault == renewedByMinority {
		cutOff.proved = m.now
	}
	return []modelAnswer{{m.newest(), m.now}, cutOff}
}

// withPull returns the state after the core has received a pull and, with it, the version of a's table.
func (m model) withPull() model {
	if n := len(m.acks); m.a.version > 0 && (n == 0 || m.acks[n-1].version < m.a.version) {
		m.acks = append(m.acks[:n:n], modelAck{m.now, m.a.version})
	}
	return m
}

// deliver returns the state after a has received an answer.
func (m model) deliver(answer modelAnswer, fault modelFault) model {
	m.a.version = max(m.a.version, answer.version)
	proved := onSlowClock(answer.proved)
	if fault == fullLeaseForOldProof {
		proved = max(proved, m.a.began+1)
	}
	m.a.lease.Renew(proved, m.a.began)
	return m
}

// key returns a unique encoding of a state.
func (m *model) key() string {
	key := make([]byte, 0, 160)
	number := func(all ...uint64) {
		for _, n := range all {
			key = binary.AppendUvarint(key, n)
		}
	}
	number(uint64(m.now), uint64(m.clockSteps), m.a.version, uint64(m.a.lease.end), uint64(m.a.began), uint64(m.a.life))
	if m.a.pending {
		number(1)
	}
	number(uint64(len(m.acks)))
	for _, ack := range m.acks {
		number(uint64(ack.at), ack.version)
	}
	for i, at := range m.seen {
		t := &m.tables[i]
		number(uint64(at), t.Settled)
		for _, p := range t.Places {
			key = append(key, p.Name...)
			number(p.JoinedVersion, p.ReleasedVersion, p.FirstReleasedVersion, p.RestoredVersion)
		}
	}
	if m.inFlight != nil {
		number(m.inFlight.version, uint64(m.inFlight.proved))
	}
	return string(key)
}

// search visits all states that can be reached in depth steps. It stops at the first violation.
func search(fault modelFault, depth int) (states int, violation string) {
	var first Table
	first.Join(1, 1, []Place{{Name: "a", IP: "a"}})
	initial := model{tables: []Table{first}, seen: []time.Duration{0}}
	initial.a.version = 1
	initial.a.lease.Renew(0, 0)
	seen := map[string]bool{}
	level := []model{initial}
	for range depth {
		var nextLevel []model
		for _, m := range level {
			all, found := m.next(fault)
			if found != "" {
				return len(seen), found
			}
			for _, x := range all {
				if k := x.key(); !seen[k] {
					seen[k] = true
					nextLevel = append(nextLevel, x)
				}
			}
		}
		level = nextLevel
	}
	return len(seen), ""
}

var modelDepth = flag.Int("places.depth", 7, "search depth of the model test, in steps")

// Whatever a holder, its successor and the core do within the search depth, the sum of the shares never
// exceeds one. If one of the safety rules is left out, the search must find a violation.
func TestModel(t *testing.T) {
	states, violation := search(noFault, *modelDepth)
	if violation != "" {
		t.Error(violation)
	}
	t.Logf("%d states", states)
	for fault, name := range map[modelFault]string{noClockMargin: "no margin for clock drift", noSendFence: "lease not checked before sending", noSettleWait: "settled without waiting",
		renewedByMinority: "lease renewed by a minority", fullLeaseForOldProof: "full lease after a restart for a proof from before it"} {
		if _, violation := search(fault, 9); violation == "" {
			t.Errorf("%s: no violation found", name)
		} else {
			t.Logf("%s: %s", name, violation)
		}
	}
}
