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
	epochs        []uint64 // the steward's epoch when each entry was agreed on
	epoch         uint64
	agreed        Ledger // after the whole log
	nodes         []*node
	pending       []Command // confirmations in transit
	accounts      int
	confirmsEarly bool // deliberate fault: a limiter confirms before it uses less
	usesStale     bool // deliberate fault: a starting limiter uses the shares of an older state
	maxUsedShare  float64
	deals         int
}

// node is one limiter.
type node struct {
	holder     *Holder
	book       Ledger
	applied    int
	logAtStart int // length of the log when it started; until it has applied all of that it uses its floors
	up         bool
	use        map[uint64]float64
	others     float64
	savedAt    int // number of entries in the state on its disk
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

// applyNext has a limiter apply the next entry, use the shares it knows, and confirm.
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

// evaluate has a limiter use the shares it knows, and confirm.
func (n *node) evaluate(m *model) {
	usable, confirm, ok := n.holder.Evaluate(&n.book)
	if !ok {
		return
	}
	if confirm != nil {
		m.pending = append(m.pending, Command{Confirm: confirm})
	}
	if confirm != nil && m.confirmsEarly {
		return // it uses less only with the next entry
	}
	n.use, n.others = usable.ByAccount, usable.Default
}

// start restarts a limiter from its disk.
func (m *model) start(i int) {
	n := m.nodes[i]
	*n = node{up: true, logAtStart: len(m.log), savedAt: n.savedAt, holder: NewHolder(i)}
	n.use, n.others = nil, n.holder.UseFloors().Default
	for k := range n.savedAt {
		n.book.Apply(m.log[k], m.epochs[k])
	}
	n.applied = n.savedAt
	if m.usesStale || n.applied >= n.logAtStart {
		n.holder.CaughtUp()
	}
	n.evaluate(m)
}

// resetFrom resets the fleet from a survivor's state. The other limiters learn of it later: what they
// know of the old log counts until they restart.
func (m *model) resetFrom(survivor int) {
	from := m.nodes[survivor].applied
	m.log, m.epochs = m.log[:from:from], m.epochs[:from:from]
	m.pending = nil // they were sent to limiters that are gone
	m.agreed = Ledger{}
	for k := range m.log {
		m.agreed.Apply(m.log[k], m.epochs[k])
	}
	m.agreed.Reset(len(m.nodes))
	m.epoch += 1 << 40
}

// check compares the sum of all shares in use with the ceilings.
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
			return fmt.Errorf("account %d: %.3f equal shares are in use, of %d", id, sum, len(m.nodes))
		}
	}
	return nil
}

// step plays one random event.
func (m *model) step(draw func(n int) int) error {
	i := draw(len(m.nodes))
	n := m.nodes[i]
	switch k := draw(20); {
	case k < 9:
		m.applyNext(i)
	case k < 12 && len(m.pending) > 0:
		p := draw(len(m.pending))
		c := m.pending[p]
		if draw(4) > 0 { // otherwise it arrives again later
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
			epoch-- // from a former steward
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

// Shares never add up to more than the ceiling, with up to five limiters, random deals, lost and
// duplicated confirmations, former stewards, crashes and restarts from older states.
func TestSharesNeverExceedTheCeiling(t *testing.T) {
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

// The same property with events drawn by rapid, which shrinks a failure.
func TestSharesByRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(2, 4).Draw(t, "limiters"), 1)
		for range 150 {
			if err := m.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// The model must find the fault when limiters confirm too early, or start without the floors.
func TestModelFindsFaults(t *testing.T) {
	for name, breakIt := range map[string]func(*model){
		"confirms before it uses less":      func(m *model) { m.confirmsEarly = true },
		"uses the shares of an older state": func(m *model) { m.usesStale = true },
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

// The lost majority of a reset fleet may have made deals that the survivor does not know of. No share
// may exceed the floor until all limiters have confirmed; then all shares are equal again.
func TestResetWaitsForAll(t *testing.T) {
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
	old := *m.nodes[0] // the survivor knows only this deal
	settle()
	if got := m.nodes[2].use[0]; got != 2.8 {
		t.Fatalf("the third uses %g", got)
	}
	m.nodes[0], m.nodes[1].up = &old, false
	m.resetFrom(0)
	m.nodes[0].book = m.agreed
	m.nodes[0].use, m.nodes[0].others = m.agreed.SharesOf(0)
	if err := m.check(); err != nil {
		t.Error(err)
	}
	for i := range 2 {
		m.agree(Command{Confirm: &Confirm{Position: i, Floor: true}})
		m.agree(Command{Confirm: &Confirm{Position: i, Version: 9}}) // does not say that it uses its floors
	}
	deal(2800, 100, 100)
	if byAccount, others := m.agreed.SharesOf(0); len(byAccount) > 0 || others != 0.1 || len(m.agreed.Unsure) != 1 {
		t.Errorf("before the third has confirmed: %v, %g, unsure %v", byAccount, others, m.agreed.Unsure)
	}
	m.agree(Command{Confirm: &Confirm{Position: 2, Floor: true}})
	if _, others := m.agreed.SharesOf(0); others != 1 {
		t.Errorf("after all have confirmed: %g", others)
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
		var b Ledger
		if err := b.Apply(c, 5); err == nil || !contains(err.Error(), want) || b.Version != 0 {
			t.Errorf("%v, want %q; %+v", err, want, b)
		}
	}
}
