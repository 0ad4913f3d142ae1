package world

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/fleet"
)

const ms = time.Millisecond

func testBox(change func(*fleet.Box)) *Box {
	spec := fleet.Box{Name: "x", Cores: 2, Speed: 1, Slots: 4, Queue: 2, Connections: 3, ColdShare: 0.25, WarmUpTime: 10 * time.Second}
	if change != nil {
		change(&spec)
	}
	one := 1.0
	return newBox(spec, fleet.Rules{OverloadFactor: 3, OverloadDuration: 1500 * ms}, &pod{keyExpiry: map[uint64]time.Duration{}}, &one, rand.New(rand.NewPCG(1, 1)))
}

// run simulates a box event by event and returns the end and result of each job.
func run(b *Box, until time.Duration) (at map[uint64]time.Duration, how map[uint64]Result) {
	at, how = map[uint64]time.Duration{}, map[uint64]Result{}
	for {
		next, ok := b.Next()
		if !ok || next > until {
			return at, how
		}
		for _, d := range b.Advance(next) {
			at[d.ID], how[d.ID] = next, d.Result
		}
	}
}

func near(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want-ms/10 || got > want+ms/10 {
		t.Errorf("%s at %v, want %v", what, got, want)
	}
}

// Of five jobs on two cores with four slots, four share the cores and the fifth waits for a slot.
func TestBoxSharesItsCores(t *testing.T) {
	b := testBox(nil)
	for id := uint64(1); id <= 5; id++ {
		b.AddJob(0, Job{ID: id, Work: 100 * ms})
	}
	at, _ := run(b, time.Hour)
	near(t, "four jobs of 100 ms on two cores", at[4], 200*ms)
	near(t, "the one that waited", at[5], 300*ms)
	if b.JobCount() != 0 || b.Counts.Ran != 5 {
		t.Errorf("held %d, ran %d", b.JobCount(), b.Counts.Ran)
	}
}

func TestBoxIsSlowerWhenItThrashesOrIsColdOrSlow(t *testing.T) {
	thrashing := testBox(func(s *fleet.Box) { s.Thrash, s.ThrashAt = 0.5, 1 })
	for id := uint64(1); id <= 4; id++ {
		thrashing.AddJob(0, Job{ID: id, Work: 100 * ms})
	}
	at, _ := run(thrashing, time.Hour) // two requests per core, one above ThrashAt: 1.5 times as long
	near(t, "thrashing", at[4], 300*ms)

	cold := testBox(nil)
	cold.Start(0, true)
	cold.AddJob(0, Job{ID: 1, Work: 10 * ms})
	at, _ = run(cold, time.Hour)
	near(t, "at a quarter of its speed", at[1], 40*ms)
	if w := cold.Warmth(5 * time.Second); w != 0.625 {
		t.Errorf("warmth half way %g", w)
	}

	slow := testBox(nil)
	slow.AddJob(0, Job{ID: 1, Work: 100 * ms})
	slow.Advance(50 * ms)
	slow.SetSlowdown(3)
	at, _ = run(slow, time.Hour)
	near(t, "slowed half way", at[1], 200*ms)

	shaking := testBox(func(s *fleet.Box) { s.Handshake = 10 * ms })
	shaking.Open(0)
	shaking.AddJob(0, Job{ID: 1, Work: 20 * ms})
	at, _ = run(shaking, time.Hour)
	near(t, "after a handshake of 10 ms on two cores", at[1], 25*ms)
}

func TestBoxTurnsAway(t *testing.T) {
	b := testBox(nil)
	for id := uint64(1); id <= 6; id++ {
		b.AddJob(0, Job{ID: id, Work: time.Second, Expires: 100 * ms})
	}
	if d := b.AddJob(0, Job{ID: 7, Work: ms}); len(d) != 1 || d[0].Result != TurnedAway {
		t.Errorf("with slots and waiting room full: %v", d)
	}
	_, how := run(b, time.Hour)
	if how[5] != TurnedAway || how[1] != Served {
		t.Errorf("what waited past its time: %v", how)
	}
	b.SetCondition(Draining)
	if d := b.AddJob(3*time.Second, Job{ID: 8, Work: ms}); len(d) != 1 || d[0].Result != TurnedAway || d[0].Ran {
		t.Errorf("draining: %v", d)
	}
}

func TestPodDropsRepeats(t *testing.T) {
	a, b := testBox(nil), testBox(nil)
	b.pod = a.pod
	a.AddJob(0, Job{ID: 1, Work: 5 * ms, Key: 9, Window: time.Second})
	run(a, time.Hour)
	if d := b.AddJob(900*ms, Job{ID: 2, Work: 5 * ms, Key: 9, Window: time.Second}); len(d) != 1 || d[0].Result != Served || d[0].Ran {
		t.Errorf("a repeat within the window: %v", d)
	}
	b.AddJob(1900*ms, Job{ID: 3, Work: 5 * ms, Key: 9, Window: time.Second})
	if run(b, time.Hour); b.Counts.Ran != 1 || b.Counts.Repeats != 1 {
		t.Errorf("after the window: %+v", b.Counts)
	}
}

func TestBoxHangsDiesAndComesBack(t *testing.T) {
	b := testBox(nil)
	b.AddJob(0, Job{ID: 1, Work: 100 * ms})
	b.Advance(50 * ms)
	b.SetCondition(Hung)
	if b.Open(60*ms) != Accepted {
		t.Error("a hung box accepts")
	}
	b.AddJob(60*ms, Job{ID: 2, Work: 100 * ms})
	if _, ok := b.Next(); ok {
		t.Error("a hung box works")
	}
	b.Advance(time.Second)
	b.Resume(time.Second)
	at, _ := run(b, time.Hour)
	near(t, "after the hang", at[1], 1050*ms)

	b.AddJob(2*time.Second, Job{ID: 3, Work: time.Second})
	b.Advance(2 * time.Second)
	if lost := b.SetCondition(Dead); len(lost) != 1 || lost[0] != 3 || b.Open(0) != Refused {
		t.Errorf("dead: lost %v", lost)
	}
	if b.SetCondition(Vanished); b.Open(0) != Silent {
		t.Error("vanished boxes are silent")
	}
	b.Start(3*time.Second, true)
	if b.Condition() != Running || b.Warmth(3*time.Second) != 0.25 {
		t.Error("does not come back cold")
	}
	for range 3 {
		b.Open(3 * time.Second)
	}
	if b.Open(3*time.Second) != Refused {
		t.Error("more connections than it holds")
	}
}

// A cold box with a capacity of 0.5 s of work per second crashes when it is sent more than 2.25 s of
// work in 1.5 s, but not from the same work over a longer time.
func TestColdBoxFallsOver(t *testing.T) {
	slow, fast := testBox(nil), testBox(nil)
	slow.Start(0, true)
	fast.Start(0, true)
	for i := range 15 {
		if slow.AddColdWork(time.Duration(i)*400*ms, 300*ms) { // 0.75 s of work per second, 1.5 times its capacity
			t.Fatalf("fell over at %d", i)
		}
	}
	fell := false
	for i := range 15 {
		fell = fell || fast.AddColdWork(time.Duration(i)*50*ms, 300*ms)
	}
	if !fell {
		t.Error("bears six times what it can do")
	}
	if testBox(nil).AddColdWork(0, time.Hour) {
		t.Error("a warm box fell over")
	}
}

func TestReportsAreOld(t *testing.T) {
	b := testBox(func(s *fleet.Box) { s.Report = fleet.Report{Every: 400 * ms, Delay: 100 * ms} })
	b.ReportedLoad(400 * ms)
	b.AddJob(450*ms, Job{ID: 1, Work: time.Hour})
	if l, ok := b.ReportedLoad(500 * ms); !ok || l.InFlight != 0 {
		t.Errorf("just measured: %v", l)
	}
	b.ReportedLoad(800 * ms)
	if l, _ := b.ReportedLoad(850 * ms); l.InFlight != 0 {
		t.Errorf("measured, but not told yet: %v", l)
	}
	if l, _ := b.ReportedLoad(900 * ms); l.InFlight != 1 {
		t.Errorf("told: %v", l)
	}
}

func TestScenario(t *testing.T) {
	f := config.Bluebird()
	faults, err := Scenario(f, "# a comment\n\n box b2 slows 3 from 4s to 9s\nroom room-b is lost at 8s for 12s silently with limiters\nlimiter n0 loses room room-a from 1s to 2s")
	if err != nil || len(faults) != 3 {
		t.Fatal(faults, err)
	}
	if x := faults[0]; x.Index != 8 || x.Value != 3 || x.From != 4*time.Second || x.To != 9*time.Second {
		t.Errorf("%+v", x)
	}
	if x := faults[1]; x.Index != 1 || !x.Silent || !x.WithLimiters || x.To != 20*time.Second {
		t.Errorf("%+v", x)
	}
	for text, want := range map[string]string{
		"box c9 hangs at 2s":               `scenario line 1: "box c9 hangs at 2s": "c9" is not in the fleet; there are a0 a1`,
		"\nbox a1 hungs at 2s":             `line 2: "box a1 hungs at 2s": "hungs" is none of what can happen there: cuts, dies, drains, fails`,
		"box a1 fails 0.4 at 2s":           "fails takes a share such as 40%",
		"box a1 slows 0 at 2s":             "a factor from 0.01",
		"box a1 hangs from 5s to 2s":       "before it begins",
		"box a1 hangs at 2":                `takes a time such as 2s or 1500ms, not "2"`,
		"box a1 hangs until 2s":            `"until" is not understood`,
		"cluster slows 2":                  `begins with "cluster"; begin with box, room`,
		"limiter n0 loses box a1":          "loses takes a room",
		"box a1 dies at 2s with limiters":  "only a room",
		"room room-c is lost from 1s":      `"room-c" is not in the fleet; there are room-a room-b`,
		"accounts shift 140% at 9s":        "shift takes a share",
		"limiter n9 is killed at 1s for 1": `"n9" is not in the fleet`,
	} {
		if _, err := Scenario(f, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// Discovery delivers changes to every limiter with a delay and in order.
func TestListIsLate(t *testing.T) {
	f := config.Bluebird()
	faults, err := Scenario(f, "box a0 drains from 1s to 3s\nlist is silent from 20s to 30s\nbox a1 dies at 21s")
	if err != nil {
		t.Fatal(err)
	}
	w := New(f, Options{Seed: 1, Faults: faults})
	told := map[int][]Health{}
	for {
		actions, ok := w.Step()
		if !ok {
			break
		}
		for _, a := range actions {
			l, ok := a.(DiscoveryUpdate)
			if !ok {
				continue
			}
			told[l.Limiter] = append(told[l.Limiter], l.Entries[0].Health)
			if w.Now() < 1900*ms || w.Now() > 8*time.Second && w.Now() < 30*time.Second {
				t.Errorf("delivered at %v", w.Now())
			}
		}
	}
	for i := range f.Limiters {
		if len(told[i]) != 3 || told[i][0] != DrainRequested || told[i][1] != Ready || told[i][2] != Gone {
			t.Errorf("limiter %d received %v", i, told[i])
		}
		if n := len(w.KnownEntries(i)); n != 11 {
			t.Errorf("limiter %d knows %d boxes", i, n)
		}
	}
}

// Synthetic traffic matches the fleet file, and equal seeds give equal traffic.
func TestSyntheticTraffic(t *testing.T) {
	f := config.Bluebird()
	s, again := NewSynthetic(f, 3, time.Minute), NewSynthetic(f, 3, time.Minute)
	n, classes, accounts, last := 0, make([]float64, 3), map[uint64]int{}, time.Duration(0)
	var work time.Duration
	for {
		a, ok := s.Next()
		if b, _ := again.Next(); ok && b != a {
			t.Fatalf("the same seed gave %v and %v", a, b)
		}
		if !ok {
			break
		}
		if a.At < last || a.At >= time.Minute {
			t.Fatalf("at %v after %v", a.At, last)
		}
		last = a.At
		n++
		classes[a.Class]++
		accounts[a.Account]++
		work += a.Work
	}
	want := f.Traffic.Rate * (1 + f.Traffic.HeavyShare*(f.Traffic.HeavyFactor-1)) * 60
	if float64(n) < want*0.95 || float64(n) > want*1.05 {
		t.Errorf("%d arrivals, want %.0f", n, want)
	}
	for i, c := range f.Classes {
		if got := classes[i] / float64(n); got < c.Share-0.02 || got > c.Share+0.02 {
			t.Errorf("class %s: share %.3f", c.Name, got)
		}
	}
	if mean := work / time.Duration(n); mean < f.MeanWork()*9/10 || mean > f.MeanWork()*11/10 {
		t.Errorf("mean work %v, want %v", mean, f.MeanWork())
	}
	if len(accounts) < 110 || len(accounts) > 120 {
		t.Errorf("%d accounts", len(accounts))
	}
}

// When overlapping faults end, a box that already runs is not started again: a second start would lose
// its jobs silently.
func TestOverlappingFaults(t *testing.T) {
	f := config.Bluebird()
	faults, err := Scenario(f, `
box b0 dies from 1s to 4s
room room-b is lost from 2s to 3s
box a0 joins at 5s
box a0 hangs at 1s for 1s
box a1 dies at 1s
box a1 hangs from 2s to 3s
box a1 drains from 4s to 5s
limiter n0 is killed from 1s to 3s
limiter n0 is killed from 2s to 3s
`)
	if err != nil {
		t.Fatal(err)
	}
	w := New(f, Options{Seed: 1, Faults: append(faults[:2:2], faults[3:]...)})
	starts, limiters := map[int]int{}, 0
	for {
		actions, ok := w.Step()
		if !ok {
			break
		}
		for _, a := range actions {
			switch a := a.(type) {
			case BoxStarts:
				starts[a.Box]++
			case StartLimiter:
				limiters++
			}
		}
	}
	if starts[6] != 1 || starts[7] != 1 || limiters != 1 {
		t.Errorf("starts %v, of the limiter %d", starts, limiters)
	}
	if c := w.Boxes[1].Condition(); c != Dead {
		t.Errorf("a dead box that hung and drained is %v", c)
	}
	w.Boxes[0].AddJob(w.Now(), Job{ID: 1, Work: time.Hour})
	w.Inject(w.Now(), faults[2])
	w.Advance(w.Now() + 6*time.Second)
	if n := w.Boxes[0].JobCount(); n != 1 {
		t.Errorf("a box that was there joined and lost %d of 1 jobs", 1-n)
	}
}
