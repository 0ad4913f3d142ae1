package parts

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// model is a fleet whose limiters apply one log, each at its own time, and use what they know.
type model struct {
	log           []Command
	epochs        []uint64 // of the steward when each entry was agreed on
	epoch         uint64
	agreed        Book // after the whole log
	nodes         []*node
	pending       []Command // confirms under way
	accounts      int
	confirmsEarly bool // broken on purpose: a limiter confirms before it uses less
	usesStale     bool // broken on purpose: one that starts uses what an older state says
	maxUsedShare  float64
	deals         int
}

// node is one limiter.
type node struct {
	holder     *Holder
	book       Book
	applied    int
	logAtStart int // how long the log was when it started: before it has all of that it uses its floors
	up         bool
	use        map[uint64]float64
	others     float64
	savedAt    int // what stands on its disk
}

func newModel(limiters, accounts int) *model {
	m := &model{accounts: accounts, epoch: 1}
	for i := range limiters {
		m.nodes = append(m.nodes, &node{up: true, others: 1, holder: NewHolder(i)})
		m.nodes[i].holder.CaughtUp()
	}
	return m
}

func (m *model) agree(c Command) {
	if m.agreed.Apply(c, m.epoch) == nil && c.Confirm == nil {
		m.deals++
	}
	m.log, m.epochs = append(m.log, c), append(m.epochs, m.epoch)
}

// learn has a limiter apply the next entry, use what it says, and confirm.
func (m *model) applyNext(i int) {
	n := m.nodes[i]
	if !n.up || n.applied == len(m.log) {
		return
	}
	n.book.Apply(m.log[n.applied], m.epochs[n.applied])
	n.applied++
	if n.applied >= n.logAtStart || m.usesStale {
		n.holder.CaughtUp()
	}
	n.evaluate(m)
}

// look has a limiter use what it knows, and confirm.
func (n *node) evaluate(m *model) {
	usable, confirm, ok := n.holder.Look(&n.book)
	if !ok {
		return
	}
	if confirm != nil {
		m.pending = append(m.pending, Command{Confirm: confirm})
	}
	if confirm != nil && m.confirmsEarly {
		return // it uses less only with the next entry
	}
	n.use, n.others = usable.Of, usable.Rest
}

// start has a limiter begin anew from its disk.
func (m *model) start(i int) {
	n := m.nodes[i]
	*n = node{up: true, logAtStart: len(m.log), savedAt: n.savedAt, holder: NewHolder(i)}
	n.use, n.others = nil, n.holder.Forget().Rest
	for k := range n.savedAt {
		n.book.Apply(m.log[k], m.epochs[k])
	}
	n.applied = n.savedAt
	if m.usesStale || n.applied >= n.logAtStart {
		n.holder.CaughtUp()
	}
	n.evaluate(m)
}

// anew has the fleet begin anew from a survivor. The others learn of it in their own time:
// what they know of the old log counts until they start again.
func (m *model) resetFrom(survivor int) {
	from := m.nodes[survivor].applied
	m.log, m.epochs = m.log[:from:from], m.epochs[:from:from]
	m.pending = nil // they went to those that are gone
	m.agreed = Book{}
	for k := range m.log {
		m.agreed.Apply(m.log[k], m.epochs[k])
	}
	m.agreed.BeginAnew(len(m.nodes))
	m.epoch += 1 << 40
}

// check holds the sum of all that is used against the ceilings.
func (m *model) check() error {
	for id := range uint64(m.accounts) {
		sum := 0.0
		for _, n := range m.nodes {
			if !n.up {
				continue
			}
			if x, ok := n.use[id]; ok {
				sum += x
			} else {
				sum += n.others
			}
		}
		m.maxUsedShare = max(m.maxUsedShare, sum/float64(len(m.nodes)))
		if sum > float64(len(m.nodes))*(1+1e-9) {
			return fmt.Errorf("account %d: %.3f equal parts are used, of %d", id, sum, len(m.nodes))
		}
	}
	return nil
}

// step draws one thing that happens.
func (m *model) step(draw func(n int) int) error {
	i := draw(len(m.nodes))
	n := m.nodes[i]
	switch k := draw(20); {
	case k < 9:
		m.applyNext(i)
	case k < 12 && len(m.pending) > 0:
		p := draw(len(m.pending))
		c := m.pending[p]
		if draw(4) > 0 { // else it comes again later
			m.pending = append(m.pending[:p], m.pending[p+1:]...)
		}
		m.agree(c)
	case k < 13 && len(m.pending) > 0:
		p := draw(len(m.pending))
		m.pending = append(m.pending[:p], m.pending[p+1:]...)
	case k < 15:
		var deals []Deal
		for range 1 + draw(2) {
			to := make([]uint32, len(m.nodes))
			left := (Equal - Floor) * len(m.nodes)
			for j := range to {
				x := draw(left + 1)
				if j == len(to)-1 && draw(2) == 0 {
					x = left
				}
				to[j], left = uint32(Floor+x), left-x
			}
			swap := draw(len(to))
			to[0], to[swap] = to[swap], to[0]
			deals = append(deals, Deal{uint64(draw(m.accounts)), 0, len(m.nodes), to})
		}
		epoch := m.epoch
		if draw(4) == 0 && epoch > 1 {
			epoch-- // a former steward's
		}
		m.agree(Command{Epoch: epoch, Limiters: len(m.nodes), Deals: deals})
	case k < 16:
		m.epoch++
	case k < 17:
		n.savedAt = n.applied
	case k < 18 && n.up && draw(3) == 0:
		n.up = false
	case k < 20 && !n.up:
		m.start(i)
	}
	return m.check()
}

func stepCount(standard int) int {
	if n, err := strconv.Atoi(os.Getenv("PARTS_STEPS")); err == nil {
		return n
	}
	return standard
}

// Parts of up to five limiters under random deals, lost and doubled confirms, former stewards,
// kills and starts from older states.
func TestPartsNeverComeToMore(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	deals, done := 0, 0
	for done < stepCount(1_000_000) {
		m := newModel(2+r.IntN(4), 1+r.IntN(2))
		for range 500 {
			if err := m.step(r.IntN); err != nil {
				t.Fatal(err)
			}
		}
		done, deals = done+500, deals+m.deals
	}
	if deals < done/50 {
		t.Errorf("only %d deals in %d steps", deals, done)
	}
}

// The same with draws that rapid makes smaller when something breaks.
func TestPartsByRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(2, 4).Draw(t, "limiters"), 1)
		for range 150 {
			if err := m.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Without the wait for what is used less, and without the floor after a start, it is found.
func TestBrokenPartsAreFound(t *testing.T) {
	for name, breakIt := range map[string]func(*model){
		"confirms before it uses less":  func(m *model) { m.confirmsEarly = true },
		"uses what an older state says": func(m *model) { m.usesStale = true },
	} {
		r := rand.New(rand.NewPCG(2, 2))
		found := false
		for k := 0; k < 2000 && !found; k++ {
			m := newModel(3, 1)
			breakIt(m)
			for range 500 {
				if m.step(r.IntN) != nil {
					found = true
					break
				}
			}
		}
		if !found {
			t.Errorf("%s: not found", name)
		}
	}
}

// A fleet that is begun anew may have dealt what the survivor does not know of: nothing is more
// than a floor until all have told, and then all parts are equal again.
func TestBeginAnewWaitsForAll(t *testing.T) {
	m := newModel(3, 1)
	deal := func(to ...uint32) { m.agree(Command{Epoch: m.epoch, Limiters: 3, Deals: []Deal{{0, 0, 3, to}}}) }
	settle := func() {
		for range 10 {
			for i := range m.nodes {
				m.applyNext(i)
			}
			for _, c := range m.pending {
				m.agree(c)
			}
			m.pending = nil
			if err := m.check(); err != nil {
				t.Fatal(err)
			}
		}
	}
	deal(100, 100, 2800)
	old := *m.nodes[0] // the survivor knows the deal alone
	settle()
	if got := m.nodes[2].use[0]; got != 2.8 {
		t.Fatalf("the third holds %g", got)
	}
	m.nodes[0], m.nodes[1].up = &old, false
	m.resetFrom(0)
	m.nodes[0].book = m.agreed
	m.nodes[0].use, m.nodes[0].others = m.agreed.Parts(0)
	if err := m.check(); err != nil {
		t.Error(err)
	}
	for i := range 2 {
		m.agree(Command{Confirm: &Confirm{Position: i, Floor: true}})
		m.agree(Command{Confirm: &Confirm{Position: i, Version: 9}}) // not that it uses its floor
	}
	deal(2800, 100, 100)
	if byAccount, others := m.agreed.Parts(0); len(byAccount) > 0 || others != 0.1 || len(m.agreed.Unsure) != 1 {
		t.Errorf("before the third has told: %v, %g, unsure %v", byAccount, others, m.agreed.Unsure)
	}
	m.agree(Command{Confirm: &Confirm{Position: 2, Floor: true}})
	if _, others := m.agreed.Parts(0); others != 1 {
		t.Errorf("after all have told: %g", others)
	}
}

func TestBadDeals(t *testing.T) {
	for want, c := range map[string]Command{
		"epoch 0 of the duty is over":  {Limiters: 3},
		"epoch 4 of the duty is over":  {Epoch: 4, Limiters: 3},
		"needs the number of limiters": {Epoch: 5},
		"2 parts for 3 limiters":       {Epoch: 5, Limiters: 3, Deals: []Deal{{1, 0, 3, []uint32{1000, 1000}}}},
		"from 3 on, of 3":              {Epoch: 5, Limiters: 3, Deals: []Deal{{1, 3, 1, []uint32{1000}}}},
		"for 4 limiters from 0 on":     {Epoch: 5, Limiters: 3, Deals: []Deal{{1, 0, 4, []uint32{1, 1, 1, 1}}}},
		"less than the floor of 100":   {Epoch: 5, Limiters: 3, Deals: []Deal{{1, 0, 2, []uint32{1000, 99}}}},
		"more than the ceiling's 2000": {Epoch: 5, Limiters: 3, Deals: []Deal{{1, 0, 2, []uint32{1901, 100}}}},
		"there is no limiter 3 of 0":   {Confirm: &Confirm{Position: 3}},
	} {
		var b Book
		if err := b.Apply(c, 5); err == nil || !contains(err.Error(), want) || b.Version != 0 {
			t.Errorf("%v, want %q; %+v", err, want, b)
		}
	}
}
