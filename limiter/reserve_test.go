package limiter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// disk is what stands of a limiter's accounts.
type accountFile struct {
	head     *Handover
	accounts map[uint64]AccountMemory
}

func (d *accountFile) copy() *accountFile {
	c := &accountFile{head: d.head, accounts: map[uint64]AccountMemory{}}
	for id, a := range d.accounts {
		c.accounts[id] = a
	}
	return c
}

// memory is what a successor finds at a time.
func (d *accountFile) memory(now float64) *Memory {
	h := *d.head
	h.DownMs, h.Accounts = now-h.NowMs, nil
	for _, a := range d.accounts {
		a.AgoMs = now - a.AtMs
		h.Accounts = append(h.Accounts, a)
	}
	slices.SortFunc(h.Accounts, func(a, b AccountMemory) int { return int(a.ID) - int(b.ID) })
	return &Memory{Handover: &h}
}

// stores are the true parts of the accounts' ceilings, of which all lives of a limiter spend.
type trueCeilings struct {
	level, at map[uint64]float64
	worst     float64
}

func (s *trueCeilings) spend(now float64, id uint64, p Plan, spread float64) {
	if _, have := s.level[id]; !have {
		s.level[id] = p.CeilingBurst / spread
	}
	s.level[id] = min(p.CeilingBurst/spread, s.level[id]+(now-s.at[id])/1000*p.CeilingRate/spread) - 1
	s.at[id] = now
	s.worst = min(s.worst, s.level[id])
}

// killedLives has a limiter live many lives that end by kills, by failing writes and in the
// midst of writes, and returns how far a part of a ceiling was overdrawn, and what passed.
// spoil, if set, changes what a successor finds.
func runKilledLimiters(t *testing.T, seed uint64, spoil func(*Memory)) (worst float64, passed, resumed int) {
	r := rand.New(rand.NewPCG(seed, 7))
	set := poolSettings()
	set.Plans[1].Rate, set.Plans[1].Burst = 1e6, 1e6 // the ceiling alone: 8 a second, 16 at once
	truth := &trueCeilings{level: map[uint64]float64{}, at: map[uint64]float64{}}
	var stands *accountFile
	failed := false // the next write must tell all
	h := newHarness(t, set, ServerInfo{ID: 1})
	h.l.Reserve(1500)
	h.now += 1
	h.handle(Alarm{Handle: "tick"})
	for step := range 1500 {
		switch x := r.Float64(); {
		case x < 0.55: // a burst of one account
			id := uint64(1 + r.IntN(6))
			for k := range 1 + r.IntN(8) {
				name := fmt.Sprint(step, "-", k)
				h.submit(name, Submit{Units: 1, Customer: id, Plan: 1})
				if len(h.sent[name]) > 0 {
					h.outcome(name, Pass)
					truth.spend(h.now, id, set.Plans[1], 1)
					passed++
				}
			}
		case x < 0.75:
			h.now += r.Float64() * 400
		case x < 0.78:
			h.now += r.Float64() * 20_000 // accounts are forgotten
			h.handle(Alarm{Handle: "tick"})
		case x < 0.95: // a write, of all or of some, with requests in between
			all := stands == nil || failed || r.IntN(4) == 0
			next := &accountFile{accounts: map[uint64]AccountMemory{}}
			if !all {
				next = stands.copy()
			}
			head, seq := h.l.BeginWrite(h.now, all)
			if all {
				next.head = head
			}
			var half *accountFile
			for more := true; more; {
				var told []AccountMemory
				told, more, _ = h.l.Accounts(h.now, 2)
				for _, a := range told {
					next.accounts[a.ID] = a
				}
				if half == nil || r.IntN(2) == 0 {
					half = next.copy()
				}
				if r.IntN(6) == 0 { // accounts are forgotten in the midst of it
					h.now += r.Float64() * 30_000
					h.handle(Alarm{Handle: "tick"})
				}
				if r.IntN(2) == 0 {
					h.now += r.Float64() * 30
					name := fmt.Sprint(step, "between", h.now)
					id := uint64(1 + r.IntN(6))
					if h.submit(name, Submit{Units: 1, Customer: id, Plan: 1}); len(h.sent[name]) > 0 {
						h.outcome(name, Pass)
						truth.spend(h.now, id, set.Plans[1], 1)
						passed++
					}
				}
			}
			switch how := r.IntN(10); {
			case how < 7:
				stands = next
				h.l.Kept(seq)
			case how == 7: // it is on the disk, and nobody is told
				stands = next
			case how == 8 && !all: // a part of it is
				stands = half
			} // else nothing of it
			failed = h.l.accountWriter.persistedSeq < seq
		default: // killed; the next one goes on from what stands, once
			h.now += r.Float64() * 3000
			next := newHarnessAt(t, h.now, set, ServerInfo{ID: 1})
			next.l.Reserve(1500)
			next.handle(Alarm{Handle: "tick"})
			if stands != nil {
				m := stands.memory(h.now)
				if spoil != nil {
					spoil(m)
				}
				next.handle(Recall{Memory: m})
				resumed++
			}
			h, stands, failed = next, nil, false
		}
	}
	return truth.worst, passed, resumed
}

// Over any kills and failed writes no part of a ceiling is ever spent twice; and the test finds
// it if the headroom is left out, or the file's lines begin a little higher.
func TestReserveNeverTwice(t *testing.T) {
	var fresh, kept, lives int
	for seed := range uint64(60) {
		worst, passed, resumed := runKilledLimiters(t, seed, nil)
		if worst < -1e-6 {
			t.Fatalf("seed %d: a part was overdrawn by %v units", seed, -worst)
		}
		_, without, _ := runKilledLimiters(t, seed, func(m *Memory) { m.Handover = nil })
		kept, fresh, lives = kept+passed, fresh+without, lives+resumed
	}
	t.Logf("%d resumed lives: %d units passed, %d by lives that begin with nothing", lives, kept, fresh)
	if lives < 500 || kept <= fresh {
		t.Errorf("%d resumed lives, %d units passed, %d without", lives, kept, fresh)
	}
	for name, spoil := range map[string]func(*Memory){
		"a smaller headroom": func(m *Memory) { m.Handover.HeadMs = 1 },
		"lines without their headroom": func(m *Memory) {
			for i := range m.Handover.Accounts {
				m.Handover.Accounts[i].Share += 12
			}
		},
		"a clock that is ahead": func(m *Memory) {
			for i := range m.Handover.Accounts {
				m.Handover.Accounts[i].AgoMs += 3000
			}
		},
	} {
		found := 0.0
		for seed := range uint64(60) {
			worst, _, _ := runKilledLimiters(t, seed, spoil)
			found = min(found, worst)
		}
		if found > -0.5 {
			t.Errorf("%s: not found (%v)", name, found)
		}
	}
}

// While nothing can be written the ceiling's rate still passes, and bursts are as large as the
// headroom.
func TestReserveWithoutWrites(t *testing.T) {
	set := poolSettings()
	set.Plans[1].Rate, set.Plans[1].Burst = 1e6, 1e6
	h := newHarness(t, set, ServerInfo{ID: 1})
	h.l.Reserve(500) // a headroom of 8 units, half of the store
	h.now += 60_000
	h.handle(Alarm{Handle: "tick"})
	_, seq := h.l.BeginWrite(h.now, true)
	if _, more, ok := h.l.Accounts(h.now, 10); more || !ok {
		t.Fatal("of no accounts there are more")
	}
	h.l.Kept(seq)
	if n := h.countPassed(5, 1); n != 8 {
		t.Errorf("%d units at once before a write, want the headroom of 8", n)
	}
	h.now += 1000
	if n := h.countPassed(5, 1); n != 8 {
		t.Errorf("%d units after a second, want the rate of 8", n)
	}
	_, seq = h.l.BeginWrite(h.now, false)
	told, _, _ := h.l.Accounts(h.now, 10)
	h.l.Kept(seq)
	if len(told) != 1 || told[0].ID != 5 || told[0].Share > 0.001 {
		t.Fatalf("told %+v", told)
	}
	if n := h.countPassed(5, 1); n != 8 { // 16 less 8, filled up by 8, less 8: 8 are left
		t.Errorf("%d units behind a write, want 8", n)
	}
	// Other plans void a write that was begun, and hold what stands by the old ones.
	h.now += 60_000
	h.l.BeginWrite(h.now, true)
	less := set
	less.Plans = slices.Clone(set.Plans)
	less.Plans[1].CeilingBurst = 400
	h.handle(Reconfigure{Settings: less, Classes: []int{0, 1, 2}, Plans: []int{0, 1}})
	if _, _, ok := h.l.Accounts(h.now, 10); ok {
		t.Error("a write goes on over other plans")
	}
	if c := h.l.accounts[5]; h.l.spendable(c) > c.ceilingBalance-8 {
		t.Errorf("spendable %v of %v: less than the file says would be left", h.l.spendable(c), c.ceilingBalance)
	}
}
