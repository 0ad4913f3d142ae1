package limiter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// accountFile is what is persisted of a limiter's accounts.
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

// memory returns the memory that a successor reads at a time.
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

// trueCeilings tracks the true balances of a limiter's parts of the ceilings over all its restarts.
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

// runKilledLimiters kills and restarts a limiter many times, with failed and interrupted writes, and returns the lowest
// balance of a part of a ceiling (negative if overdrawn), the units admitted, and how many successors found a file.
// corrupt, if set, changes what a successor finds.
func runKilledLimiters(t *testing.T, seed uint64, corrupt func(*Memory)) (worst float64, passed, resumed int) {
	r := rand.New(rand.NewPCG(seed, 7))
	settings := poolSettings()
	settings.Plans[1].Rate, settings.Plans[1].Burst = 1e6, 1e6 // only the ceiling matters: 8 per second, burst 16
	ceilings := &trueCeilings{level: map[uint64]float64{}, at: map[uint64]float64{}}
	var persisted *accountFile
	failed := false // the next write must be complete
	h := newHarness(t, settings, ServerInfo{ID: 1})
	h.l.Reserve(1500)
	h.now += 1
	h.handle(Alarm{Handle: "tick"})
	for step := range 1500 {
		switch x := r.Float64(); {
		case x < 0.55: // a burst of one account
			id := uint64(1 + r.IntN(6))
			for k := range 1 + r.IntN(8) {
				name := fmt.Sprint(step, "-", k)
				h.submit(name, Submit{Units: 1, Account: id, Plan: 1})
				if len(h.sent[name]) > 0 {
					h.outcome(name, Pass)
					ceilings.spend(h.now, id, settings.Plans[1], 1)
					passed++
				}
			}
		case x < 0.75:
			h.now += r.Float64() * 400
		case x < 0.78:
			h.now += r.Float64() * 20_000 // accounts are dropped
			h.handle(Alarm{Handle: "tick"})
		case x < 0.95: // a complete or partial write, with requests in between
			all := persisted == nil || failed || r.IntN(4) == 0
			next := &accountFile{accounts: map[uint64]AccountMemory{}}
			if !all {
				next = persisted.copy()
			}
			head, seq := h.l.BeginWrite(h.now, all)
			if all {
				next.head = head
			}
			var partial *accountFile
			for more := true; more; {
				var entries []AccountMemory
				entries, more, _ = h.l.Accounts(h.now, 2)
				for _, a := range entries {
					next.accounts[a.ID] = a
				}
				if partial == nil || r.IntN(2) == 0 {
					partial = next.copy()
				}
				if r.IntN(6) == 0 { // accounts are dropped during the write
					h.now += r.Float64() * 30_000
					h.handle(Alarm{Handle: "tick"})
				}
				if r.IntN(2) == 0 {
					h.now += r.Float64() * 30
					name := fmt.Sprint(step, "between", h.now)
					id := uint64(1 + r.IntN(6))
					if h.submit(name, Submit{Units: 1, Account: id, Plan: 1}); len(h.sent[name]) > 0 {
						h.outcome(name, Pass)
						ceilings.spend(h.now, id, settings.Plans[1], 1)
						passed++
					}
				}
			}
			switch how := r.IntN(10); {
			case how < 7:
				persisted = next
				h.l.Kept(seq)
			case how == 7: // it is on the disk, but Kept is not called
				persisted = next
			case how == 8 && !all: // part of it is on the disk
				persisted = partial
			} // otherwise nothing is
			failed = h.l.accountWriter.persistedSeq < seq
		default: // killed; the successor resumes from the file, which it may use once
			h.now += r.Float64() * 3000
			next := newHarnessAt(t, h.now, settings, ServerInfo{ID: 1})
			next.l.Reserve(1500)
			next.handle(Alarm{Handle: "tick"})
			if persisted != nil {
				m := persisted.memory(h.now)
				if corrupt != nil {
					corrupt(m)
				}
				next.handle(Recall{Memory: m})
				resumed++
			}
			h, persisted, failed = next, nil, false
		}
	}
	return ceilings.worst, passed, resumed
}

// With any kills and failed writes no unit of a ceiling is spent twice. To show that the test would detect it, it must
// find an overdraft with the headroom left out, with entries that are too high and with a wrong clock.
func TestReserveNeverTwice(t *testing.T) {
	var withoutResume, withResume, restarts int
	for seed := range uint64(60) {
		worst, passed, resumed := runKilledLimiters(t, seed, nil)
		if worst < -1e-6 {
			t.Fatalf("seed %d: a part was overdrawn by %v units", seed, -worst)
		}
		_, without, _ := runKilledLimiters(t, seed, func(m *Memory) { m.Handover = nil })
		withResume, withoutResume, restarts = withResume+passed, withoutResume+without, restarts+resumed
	}
	t.Logf("%d resumed limiters: %d units admitted, %d without resuming", restarts, withResume, withoutResume)
	if restarts < 500 || withResume <= withoutResume {
		t.Errorf("%d resumed limiters, %d units admitted, %d without resuming", restarts, withResume, withoutResume)
	}
	for name, corrupt := range map[string]func(*Memory){
		"a smaller headroom": func(m *Memory) { m.Handover.HeadMs = 1 },
		"entries without their headroom": func(m *Memory) {
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
			worst, _, _ := runKilledLimiters(t, seed, corrupt)
			found = min(found, worst)
		}
		if found > -0.5 {
			t.Errorf("%s: no overdraft found (%v)", name, found)
		}
	}
}

// While nothing can be written, requests are still admitted at the ceiling's rate, with bursts of the headroom.
func TestReserveWithoutWrites(t *testing.T) {
	settings := poolSettings()
	settings.Plans[1].Rate, settings.Plans[1].Burst = 1e6, 1e6
	h := newHarness(t, settings, ServerInfo{ID: 1})
	h.l.Reserve(500) // a headroom of 8 units, half of the burst
	h.now += 60_000
	h.handle(Alarm{Handle: "tick"})
	_, seq := h.l.BeginWrite(h.now, true)
	if _, more, ok := h.l.Accounts(h.now, 10); more || !ok {
		t.Fatal("more accounts expected although there are none")
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
	entries, _, _ := h.l.Accounts(h.now, 10)
	h.l.Kept(seq)
	if len(entries) != 1 || entries[0].ID != 5 || entries[0].Share > 0.001 {
		t.Fatalf("written %+v", entries)
	}
	if n := h.countPassed(5, 1); n != 8 { // 16 less 8, filled up by 8, less 8: 8 are left
		t.Errorf("%d units after a write, want 8", n)
	}
	// New plans void an unfinished write, and the file with the old plans limits spending until it is replaced.
	h.now += 60_000
	h.l.BeginWrite(h.now, true)
	reduced := settings
	reduced.Plans = slices.Clone(settings.Plans)
	reduced.Plans[1].CeilingBurst = 400
	h.handle(Reconfigure{Settings: reduced, Classes: []int{0, 1, 2}, Plans: []int{0, 1}})
	if _, _, ok := h.l.Accounts(h.now, 10); ok {
		t.Error("a write continues after the plans have changed")
	}
	if c := h.l.accounts[5]; h.l.spendable(c) > c.ceilingBalance-8 {
		t.Errorf("spendable %v of %v: leaves less than a successor would start with", h.l.spendable(c), c.ceilingBalance)
	}
}
