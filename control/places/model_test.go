package places

import (
	"encoding/binary"
	"flag"
	"fmt"
	"testing"
	"time"
)

// model is one state of a small system: a limiter a that holds everything at first, a limiter b that is to
// have its place and always knows the newest table, a majority of the core that changes the table, and a core
// machine that is cut off from it and still knows the first table. Limiter a's clock is as slow as is allowed.
type model struct {
	now        time.Duration
	tables     []Table // by version, from 1 on
	seen       []time.Duration
	acks       []modelAck
	a          modelLimiter
	inFlight   *modelAnswer // on its way to a
	clockSteps int
}

type modelAck struct {
	at      time.Duration
	version uint64
}

// modelAnswer is a core machine's answer to a pull: a table, and when it was known to be current.
type modelAnswer struct {
	version uint64
	proved  time.Duration
}

// modelLimiter goes by its own clock.
type modelLimiter struct {
	version uint64 // of its table; 0: none
	lease   Lease
	began   time.Duration
	life    int
	pending bool // admitted, not sent
}

// modelFault is built in on purpose.
type modelFault int

const (
	noFault modelFault = iota
	noClockMargin
	noSendFence
	noSettleWait
	renewedByMinority
	fullLeaseForOldProof
)

// slow is a's clock at a time.
func onSlowClock(t time.Duration) time.Duration { return time.Duration(float64(t) * (1 - ClockDrift)) }

func (m *model) newest() uint64 { return uint64(len(m.tables)) }

func (m *model) table(version uint64) Table { return m.tables[version-1] }

// shareA is what a may use now.
func (m *model) shareA() float64 {
	if m.a.version == 0 || !m.a.lease.Valid(onSlowClock(m.now)) {
		return 0
	}
	return shareIn(m.table(m.a.version), "a")
}

// shareB is what b may use now.
func (m *model) shareB() float64 { return shareIn(m.table(m.newest()), "b") }

func shareIn(t Table, name string) float64 {
	slot := t.SlotOf(name, name)
	if slot < 0 {
		return 0
	}
	return Share(t.Sets(), slot)
}

// settled is the version that the majority takes for settled.
func (m *model) settled(fault modelFault) (uint64, bool) {
	t := m.table(m.newest())
	if changes := t.UnsettledVersions(); len(changes) > 0 {
		last := changes[len(changes)-1]
		if fault == noSettleWait || fault == noClockMargin && m.now-m.seen[last-1] >= LeaseLength {
			return last, true
		}
	}
	s := NewSettlementTracker()
	for i, at := range m.seen {
		s.ObserveTable(at, m.tables[i], uint64(i+1))
	}
	for _, ack := range m.acks {
		s.RecordAcknowledgement(ack.at, Acknowledgement{Holder: HolderOf("a", "a"), Version: ack.version})
	}
	return s.VersionToSettle(m.now, t)
}

// change is a state with a newer table.
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

// next are the states that may follow. broken tells of one in which more than everything is used.
func (m model) next(fault modelFault) (all []model, broken string) {
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
			broken = "a sends what it admitted while b uses everything"
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
		broken = fmt.Sprintf("a uses %g and b %g", m.shareA(), m.shareB())
	}
	return all, broken
}

// answers are those that a may get to a pull now: of the majority, and of the machine that is cut off, which
// has proof of the beginning.
func (m *model) answers(fault modelFault) []modelAnswer {
	cutOff := modelAnswer{version: 1}
	if fault == renewedByMinority {
		cutOff.proved = m.now
	}
	return []modelAnswer{{m.newest(), m.now}, cutOff}
}

// asked has the core hear of a pull, and with it of the table that a goes by.
func (m model) withPull() model {
	if n := len(m.acks); m.a.version > 0 && (n == 0 || m.acks[n-1].version < m.a.version) {
		m.acks = append(m.acks[:n:n], modelAck{m.now, m.a.version})
	}
	return m
}

// deliver has an answer arrive.
func (m model) deliver(answer modelAnswer, fault modelFault) model {
	m.a.version = max(m.a.version, answer.version)
	proved := onSlowClock(answer.proved)
	if fault == fullLeaseForOldProof {
		proved = max(proved, m.a.began+1)
	}
	m.a.lease.Renew(proved, m.a.began)
	return m
}

// key names a state.
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
			number(p.From, p.To, p.Left, p.Back)
		}
	}
	if m.inFlight != nil {
		number(m.inFlight.version, uint64(m.inFlight.proved))
	}
	return string(key)
}

// search looks at all states that can be reached by so many steps.
func search(fault modelFault, depth int) (states int, broken string) {
	var first Table
	first.Join(1, 1, []Place{{Name: "a", IP: "a"}})
	begin := model{tables: []Table{first}, seen: []time.Duration{0}}
	begin.a.version = 1
	begin.a.lease.Renew(0, 0)
	seen := map[string]bool{}
	level := []model{begin}
	for range depth {
		var below []model
		for _, m := range level {
			all, bad := m.next(fault)
			if bad != "" {
				return len(seen), bad
			}
			for _, x := range all {
				if k := x.key(); !seen[k] {
					seen[k] = true
					below = append(below, x)
				}
			}
		}
		level = below
	}
	return len(seen), ""
}

var modelDepth = flag.Int("places.depth", 7, "steps that the search of the model takes")

// All that a holder, its successor and the core can do in so many steps: their parts together are never
// more than one. Each rule that is left out is found.
func TestModel(t *testing.T) {
	states, broken := search(noFault, *modelDepth)
	if broken != "" {
		t.Error(broken)
	}
	t.Logf("%d states", states)
	for fault, name := range map[modelFault]string{noClockMargin: "no margin for clocks", noSendFence: "no fence where it sends", noSettleWait: "freed without waiting",
		renewedByMinority: "renewed by a minority", fullLeaseForOldProof: "an old proof holds for a new life as long as a new one"} {
		if _, broken := search(fault, 9); broken == "" {
			t.Errorf("%s: not found", name)
		} else {
			t.Logf("%s: %s", name, broken)
		}
	}
}
