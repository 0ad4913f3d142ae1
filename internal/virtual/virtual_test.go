package virtual_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"runtime"
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/policies"
	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/limiter"
)

// simulate runs a scenario on the built-in fleet.
func simulate(t testing.TB, seed uint64, length time.Duration, scenario string, change func(*virtual.Options)) *virtual.Result {
	t.Helper()
	f := config.Bluebird()
	faults, err := world.Scenario(f, scenario)
	if err != nil {
		t.Fatal(err)
	}
	o := virtual.Options{Fleet: f, Seed: seed, Faults: faults, SampleInterval: time.Second}
	if change != nil {
		change(&o)
	}
	if o.Source == nil {
		o.Source = world.NewSynthetic(o.Fleet, seed, length)
	}
	r, err := virtual.Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const allFaults = `
box a3 hangs from 2s to 5s
box b1 fails 70% from 4s to 12s
room room-b is lost from 8s to 16s
limiter n2 is killed at 18s for 2s
box a1 drains from 20s to 24s
box b3 is replaced at 21s
peers are cut from 22s to 26s
room room-b is parted from 3s to 7s
fleet slows 2.2 from 25s to 28s
accounts shift 40% at 27s
box a5 vanishes from 28s to 32s
limiter n0 loses room room-b from 30s to 33s
list is silent from 31s to 36s
box b0 restarts at 34s
room room-a is lost from 38s to 42s silently with limiters
limiter n1 restarts at 44s
box a2 slows 3 from 45s to 48s
box a4 garbles 30% from 10s to 20s
box b2 cuts 30% from 18s to 30s
box a3 stalls 30% from 30s to 40s
box b1 halves 30% from 48s to 55s
box b5 leaves at 46s
box b5 joins at 52s
`

// The limiter keeps every rule under all kinds of faults and with several seeds, and each rule is
// checked at least once per run.
func TestRulesHold(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		r := simulate(t, seed, time.Minute, allFaults, nil)
		for _, b := range r.Judge.Breaches {
			t.Errorf("seed %d: %v", seed, b)
		}
		for rule, n := range r.Judge.CheckCounts {
			if n == 0 {
				t.Errorf("seed %d: %v was never put to the test", seed, judge.Rule(rule))
			}
		}
		if f := r.World.Meter.Figure(); f.Whole < 0.6 || f.Whole > 1 {
			t.Errorf("seed %d: service %.3f", seed, f.Whole)
		}
		m := &r.World.Meter.Total
		ends := 0
		for _, n := range m.By {
			ends += n
		}
		if ends != m.Asked || r.World.Open() != 0 {
			t.Errorf("seed %d: %d ends of %d requests, %d open", seed, ends, m.Asked, r.World.Open())
		}
	}
}

// fingerprint hashes every result of a run.
func fingerprint(r *virtual.Result) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%+v %+v %+v %+v %v %v", r.World.Meter.Total, r.World.Meter.Plans, r.World.Meter.Seconds, r.World.Samples, r.Counts, r.Events)
	fmt.Fprintf(h, "%v %v", r.Judge.CheckCounts, r.World.Notes)
	return fmt.Sprintf("%x", h.Sum64())
}

// Equal seeds give equal runs for any GOMAXPROCS; different seeds give different runs.
func TestSameSeedSameDay(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(before)
	first := fingerprint(simulate(t, 7, 20*time.Second, allFaults, nil))
	runtime.GOMAXPROCS(4)
	if again := fingerprint(simulate(t, 7, 20*time.Second, allFaults, nil)); again != first {
		t.Errorf("the same seed gave %s and %s", first, again)
	}
	if other := fingerprint(simulate(t, 8, 20*time.Second, allFaults, nil)); other == first {
		t.Error("another seed gave the same day")
	}
}

// alteredPolicy is a policy whose actions a test modifies.
type alteredPolicy struct {
	virtual.Policy
	alterActions func(now float64, ev limiter.Event, actions []limiter.Action) []limiter.Action
}

func (b alteredPolicy) Handle(now float64, ev limiter.Event) []limiter.Action {
	return b.alterActions(now, ev, append([]limiter.Action(nil), b.Policy.Handle(now, ev)...))
}

// alterActions makes faulty limiters; fresh is called at each start of a limiter.
func alterActions(fresh func() func(float64, limiter.Event, []limiter.Action) []limiter.Action) func(*virtual.Options) {
	return func(o *virtual.Options) {
		o.Unguarded = true
		o.Policy = func(s limiter.Settings, seed uint64) (virtual.Policy, error) {
			l, err := limiter.New(s, seed)
			return alteredPolicy{l, fresh()}, err
		}
	}
}

// The judge detects a limiter that deliberately breaks one rule.
func TestJudgeCatches(t *testing.T) {
	type act = func(float64, limiter.Event, []limiter.Action) []limiter.Action
	for _, c := range []struct {
		name     string
		rule     judge.Rule
		want     string
		scenario string
		change   func(*virtual.Options)
	}{
		{"answers twice", judge.OneAnswer, "a second time", "", alterActions(func() act {
			return func(_ float64, ev limiter.Event, actions []limiter.Action) []limiter.Action {
				if o, ok := ev.(limiter.Outcome); ok && o.Done {
					actions = append(actions, limiter.Fail{ID: o.ID})
				}
				return actions
			}
		})},
		{"never answers what it refuses", judge.OneAnswer, "no final answer", "", alterActions(func() act {
			return func(_ float64, _ limiter.Event, actions []limiter.Action) []limiter.Action {
				kept := actions[:0]
				for _, a := range actions {
					if _, refuses := a.(limiter.Refuse); !refuses {
						kept = append(kept, a)
					}
				}
				return kept
			}
		})},
		{"sends on after its answer", judge.OneAnswer, "after its final answer", "", alterActions(func() act {
			last := limiter.PassOn{}
			return func(_ float64, ev limiter.Event, actions []limiter.Action) []limiter.Action {
				for _, a := range actions {
					if p, ok := a.(limiter.PassOn); ok {
						last = p
					}
				}
				if o, ok := ev.(limiter.Outcome); ok && o.Done && o.ID == last.ID {
					actions = append(actions, last)
					last.ID = "" // once
				}
				return actions
			}
		})},
		{"resends unsafe requests", judge.NothingTwice, "unsafe and sent again", "box a0 fails 90% from 1s to 9s", alterActions(func() act {
			unsafe := map[string]uint64{}
			return func(_ float64, ev limiter.Event, actions []limiter.Action) []limiter.Action {
				if s, ok := ev.(limiter.Submit); ok && s.Class == 2 {
					unsafe[s.ID] = 0
				}
				for i, a := range actions {
					if f, ok := a.(limiter.Fail); ok {
						if n, is := unsafe[f.ID]; is && n < 2 {
							unsafe[f.ID] = n + 1
							actions[i] = limiter.PassOn{ID: f.ID, Server: 3}
						}
					}
				}
				return actions
			}
		})},
		{"sends to drained boxes", judge.DrainsKept, "after it was told", "box a0 drains from 2s to 9s", alterActions(func() act {
			return func(_ float64, _ limiter.Event, actions []limiter.Action) []limiter.Action {
				for i, a := range actions {
					if p, ok := a.(limiter.PassOn); ok {
						p.Server = 1
						actions[i] = p
					}
				}
				return actions
			}
		})},
		{"floods cold boxes", judge.ColdKept, "pushed over", "box a0 restarts at 2s", alterActions(func() act {
			cold := uint64(0)
			return func(_ float64, ev limiter.Event, actions []limiter.Action) []limiter.Action {
				if e, ok := ev.(limiter.Endpoints); ok && e.Servers[0].ReadyAt > 0 {
					cold = e.Servers[0].ID
				}
				for i, a := range actions {
					if p, ok := a.(limiter.PassOn); ok && cold > 0 {
						p.Server = cold
						actions[i] = p
					}
				}
				return actions
			}
		})},
		{"ignores the ceiling", judge.CeilingsKept, "over its ceiling", "", func(o *virtual.Options) {
			o.Policy = func(s limiter.Settings, seed uint64) (virtual.Policy, error) {
				s.Plans = append([]limiter.Plan(nil), s.Plans...)
				for i := range s.Plans {
					s.Plans[i].CeilingRate, s.Plans[i].Rate = 0, 0
				}
				return limiter.New(s, seed)
			}
			o.Fleet.Traffic.HeavyFactor, o.Fleet.Traffic.HeavyShare = 8, 0.1
		}},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			r := simulate(t, 2, 15*time.Second, c.scenario, c.change)
			found := false
			for _, b := range r.Judge.Breaches {
				found = found || b.Rule == c.rule && strings.Contains(b.Text, c.want)
			}
			if !found {
				t.Errorf("not caught: %v, put to the test %v", r.Judge.BreachCounts, r.Judge.CheckCounts)
			}
		})
	}
}

// A box that returns cold after the loss of its room gets little load at first and never too much; the
// samples of its load show it.
func TestLostRoomComesBackCold(t *testing.T) {
	r := simulate(t, 4, 40*time.Second, "room room-b is lost from 8s to 16s", nil)
	arrived := func(from, to int) (n int) {
		for _, s := range r.World.Samples {
			for i, b := range s.Boxes {
				if at := int(s.At / time.Second); at > from && at <= to && r.World.Boxes[i].Spec.Room == 1 {
					n += b.Arrived
				}
			}
		}
		return n
	}
	if before, gone, back := arrived(3, 8), arrived(10, 15), arrived(35, 40); before < 200 || gone != 0 || back < before/2 {
		t.Errorf("room-b got %d requests in 5 s before, %d while it was gone, %d at last", before, gone, back)
	}
	if r.Judge.CheckCounts[judge.ColdKept] == 0 || r.Judge.BreachCount() != 0 {
		t.Errorf("cold boxes: %d sends, breaches %v", r.Judge.CheckCounts[judge.ColdKept], r.Judge.Breaches)
	}
}

// The limiter does better under overload than each of the plain policies that serve as a baseline.
func TestPlainPolicies(t *testing.T) {
	figure := map[string]float64{}
	for _, name := range policies.Names() {
		p, err := policies.ByName(name)
		if err != nil {
			t.Fatal(err)
		}
		r := simulate(t, 5, 30*time.Second, "box b1 fails 70% from 4s to 20s", func(o *virtual.Options) {
			o.Policy = p
			o.Fleet.Traffic.Rate *= 1.7
		})
		figure[name] = r.World.Meter.Figure().Total
		if name == "limiter" && r.Judge.BreachCount() > 0 {
			t.Errorf("breaches %v", r.Judge.Breaches)
		}
	}
	t.Logf("%.3v", figure)
	for name, v := range figure {
		if name != "limiter" && v >= figure["limiter"] {
			t.Errorf("%s reaches %.3f, the limiter %.3f", name, v, figure["limiter"])
		}
	}
	if _, err := policies.ByName("best"); err == nil {
		t.Error("an unknown policy is taken")
	}
}

func TestEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f := config.Bluebird()
	if _, err := virtual.Run(ctx, virtual.Options{Fleet: f, Source: world.NewSynthetic(f, 1, time.Hour)}); err == nil {
		t.Error("went on")
	}
}

// With 60% of the requests asked for, a limiter killed and restarted, 8% of the peers' messages lost and
// accounts that send six times their quota, no rule is broken, and requests within their quota are
// refused no more often when asked for than when proxied.
func TestAskedTraffic(t *testing.T) {
	var refused, within [3]float64
	for seed := uint64(1); seed <= 5; seed++ {
		r := simulate(t, seed, 40*time.Second, "limiter n2 is killed at 8s for 2s\nbox a1 fails 60% from 12s to 20s\nroom room-b is parted from 20s to 30s", func(o *virtual.Options) {
			o.AskShare = 0.6
			o.Fleet.Network.PeerLoss = 0.08
			o.Fleet.Traffic.HeavyShare, o.Fleet.Traffic.HeavyFactor = 0.1, 6
		})
		for _, b := range r.Judge.Breaches {
			t.Errorf("seed %d: %v", seed, b)
		}
		if r.Counts.Grants == 0 || r.Counts.Grants == r.Counts.Asks {
			t.Errorf("seed %d: %d of %d asks granted", seed, r.Counts.Grants, r.Counts.Asks)
		}
		for i, w := range r.World.Meter.Ways {
			refused[i] += float64(w.RefusedWithin)
			within[i] += float64(w.Within)
		}
	}
	shares := [3]float64{refused[0] / within[0], refused[1] / within[1], refused[2] / within[2]}
	t.Logf("refused with room: carried %.3f, asked only %.3f, asked and carried %.3f", shares[0], shares[1], shares[2])
	if shares[1] > shares[0]+0.02 || shares[2] > shares[0]+0.02 {
		t.Errorf("refused with room: %.3f", shares)
	}
}
