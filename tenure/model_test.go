package tenure

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a fleet of candidates with their own clocks, a log that all apply in the same order but at
// their own times, and receivers. It knows the true time, which none of them does.
type model struct {
	cfg          Settings
	unfenced     bool // deliberate fault: receivers accept any token
	now          time.Duration
	log          []Command
	processes    []*process
	receivers    []*receiver
	limiterNames []string
	overlaps     int // two owners at the same true time
	staleEffects int // effects of a former owner after one of a later owner
	effects      int
}

// process is one run of a limiter.
type process struct {
	*Candidate
	reg       Registry
	applied   int
	clockRate float64 // speed of its clock
	startedAt time.Duration
	stopped   bool  // by SIGSTOP: its clock goes on
	checked   Token // token of its last check, whose effect is still to come
}

// receiver carries out effects. highestDone is the highest epoch of an effect that was carried out.
type receiver struct {
	fence       *Fence
	disk        map[string]uint64
	highestDone map[string]uint64
}

func newModel(cfg Settings, processes, receivers int, rates func(i int) float64) *model {
	m := &model{cfg: cfg}
	for i := range processes {
		m.limiterNames = append(m.limiterNames, fmt.Sprint("n", i))
	}
	for i := range processes {
		m.processes = append(m.processes, nil)
		m.start(i, rates(i), uint64(i)+1)
	}
	for range receivers {
		m.receivers = append(m.receivers, &receiver{fence: NewFence(nil), disk: map[string]uint64{}, highestDone: map[string]uint64{}})
	}
	return m
}

// start starts a new process of a limiter, in place of the previous one.
func (m *model) start(i int, clockRate float64, id uint64) {
	me := Process{m.limiterNames[i], id}
	m.processes[i] = &process{Candidate: NewCandidate(me, m.cfg, []string{"d"}, m.limiterNames), clockRate: clockRate, startedAt: m.now}
}

func (m *model) clock(p *process) time.Duration {
	return time.Second + time.Duration(float64(m.now-p.startedAt)*p.clockRate)
}

// apply has a process apply n more entries of the log.
func (m *model) apply(p *process, n int) {
	for ; n > 0 && p.applied < len(m.log); n-- {
		p.reg.Apply(m.log[p.applied])
		p.applied++
	}
	p.Observe(m.clock(p), &p.reg)
}

// propose has a process propose its commands; they reach the log unless they are lost.
func (m *model) propose(p *process, lost bool) {
	for _, c := range p.Step(m.clock(p)) {
		if !lost {
			m.log = append(m.log, c)
		}
	}
}

// checkOwnership is the owner's last check before an effect, which may follow at any later time.
func (m *model) checkOwnership(p *process) {
	if t, ok := p.Owns(m.clock(p), "d"); ok {
		p.checked = t
	}
}

// carryOut carries out the effect that the process checked for, at a receiver.
func (m *model) carryOut(p *process, r *receiver) {
	t := p.checked
	if t.Epoch == 0 {
		return
	}
	p.checked = Token{}
	if raised, err := r.fence.Admit(t); err != nil && !m.unfenced {
		return
	} else if raised {
		r.disk[t.Duty] = t.Epoch // persisted before the effect
	}
	m.effects++
	if t.Epoch < r.highestDone[t.Duty] {
		m.staleEffects++
	}
	r.highestDone[t.Duty] = max(t.Epoch, r.highestDone[t.Duty])
}

// countOwners counts owners by true time, including stopped ones: they continue as owners when resumed.
func (m *model) countOwners() {
	owners := 0
	for _, p := range m.processes {
		if _, ok := p.Owns(m.clock(p), "d"); ok {
			owners++
		}
	}
	if owners > 1 {
		m.overlaps++
	}
}

var modelSettings = Settings{Term: 400 * time.Millisecond, Drift: 0.05, Stagger: 40 * time.Millisecond}

// step plays one random event.
func (m *model) step(r *rand.Rand) {
	i := r.IntN(len(m.processes))
	p := m.processes[i]
	x := r.IntN(100)
	if p.stopped && x < 77 {
		x = 99
	}
	switch {
	case x < 25:
		m.apply(p, 1+r.IntN(4))
	case x < 45:
		m.propose(p, r.IntN(5) == 0)
	case x < 55:
		m.checkOwnership(p)
	case x < 70:
		m.carryOut(p, m.receivers[r.IntN(len(m.receivers))])
	case x < 71:
		if r.IntN(4) == 0 {
			m.start(i, p.clockRate, r.Uint64())
			m.apply(m.processes[i], max(0, len(m.log)-r.IntN(20)))
		}
	case x < 73:
		p.stopped = r.IntN(4) == 0
	case x < 74:
		if r.IntN(4) == 0 {
			p.Resign("d")
		}
	case x < 75:
		m.log = append(m.log, Command{Kind: Transfer, Duty: "d", To: m.limiterNames[r.IntN(len(m.limiterNames))]})
	case x < 77: // a receiver restarts with what it persisted
		v := m.receivers[r.IntN(len(m.receivers))]
		v.fence = NewFence(v.disk)
	case x < 80:
		p.stopped = false
	default:
		m.now += time.Duration(r.IntN(int(20 * time.Millisecond)))
		if r.IntN(200) == 0 { // the whole machine stalls
			m.now += time.Duration(r.IntN(int(time.Second)))
		}
	}
	m.countOwners()
}

// run plays steps of a fleet that is drawn from the seed.
func run(seed uint64, steps int, cfg Settings, unfenced bool) *model {
	r := rand.New(rand.NewPCG(seed, 7))
	m := newModel(cfg, 2+r.IntN(4), 1+r.IntN(3), func(int) float64 { return 1 + r.Float64()*modelSettings.Drift })
	m.unfenced = unfenced
	for range steps {
		m.step(r)
	}
	return m
}

// stepBudget is the number of steps that random tests play in all: TENURE_STEPS, or enough for CI.
func stepBudget() int {
	if n, err := strconv.Atoi(os.Getenv("TENURE_STEPS")); err == nil {
		return n
	}
	return 2_000_000
}

// There is one owner at a time by true time, and no effect of a former owner follows one of a later
// owner, whatever is lost, late, stopped or restarted.
func TestOneOwnerUnderRandomEvents(t *testing.T) {
	const stepsPerFleet = 4000
	played, effects := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		for range max(1, stepBudget()/stepsPerFleet/100) {
			m := run(rapid.Uint64().Draw(t, "seed"), stepsPerFleet, modelSettings, false)
			played, effects = played+stepsPerFleet, effects+m.effects
			if m.overlaps > 0 || m.staleEffects > 0 {
				t.Fatalf("two owners %d times, %d stale effects", m.overlaps, m.staleEffects)
			}
		}
	})
	if effects < played/200 {
		t.Errorf("only %d effects in %d steps", effects, played)
	}
	t.Logf("%d steps, %d effects", played, effects)
}

// findFailure plays fleets with a deliberate fault until the fault shows.
func findFailure(cfg Settings, unfenced bool, failed func(*model) bool) (seed uint64, ok bool) {
	for seed := range uint64(300) {
		if failed(run(seed, 4000, cfg, unfenced)) {
			return seed, true
		}
	}
	return 0, false
}

// Without the wait after observing a term, two limiters own a duty at once: the model must find it.
func TestModelFindsAMissingWait(t *testing.T) {
	cfg := modelSettings
	cfg.Drift = -1 // no wait at all
	if _, ok := findFailure(cfg, false, func(m *model) bool { return m.overlaps > 0 }); !ok {
		t.Error("no two owners were found without the wait")
	}
	cfg.Drift = -0.05 // a wait slightly too short for clocks that drift by 5%
	if _, ok := findFailure(cfg, false, func(m *model) bool { return m.overlaps > 0 }); !ok {
		t.Error("no two owners were found with a wait that is shorter than the drift asks for")
	}
}

// Without the receivers' token check, a paused owner that resumes does harm: the model must find it.
func TestModelFindsAMissingTokenCheck(t *testing.T) {
	if _, ok := findFailure(modelSettings, true, func(m *model) bool { return m.staleEffects > 0 }); !ok {
		t.Error("no stale effect was found without the token check")
	}
}

// A receiver that loses its epochs in a restart admits a former owner: the model must find it.
func TestModelFindsAForgetfulReceiver(t *testing.T) {
	_, ok := findFailure(modelSettings, false, func(m *model) bool { return m.staleEffects > 0 })
	if ok {
		t.Fatal("a stale effect with receivers that remember")
	}
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 7))
		m := newModel(modelSettings, 3, 1, func(int) float64 { return 1 })
		for range 4000 {
			m.step(r)
			clear(m.receivers[0].disk)
		}
		if m.staleEffects > 0 {
			return
		}
	}
	t.Error("no stale effect was found with a receiver that forgets")
}

// After an owner is gone, another limiter owns the duty within the term, the wait for clock drift and
// the stagger. Without a failure the owner does not change.
func TestSuccession(t *testing.T) {
	for _, n := range []int{3, 12, 30} {
		m := newModel(DefaultSettings(), n, 1, func(i int) float64 { return 1 + 0.005*float64(i%3) })
		tick := func(alive func(i int) bool) (owner int) {
			owner = -1
			m.now += 5 * time.Millisecond
			for i, p := range m.processes {
				if alive(i) {
					m.propose(p, false)
				}
			}
			for i, p := range m.processes {
				if alive(i) {
					m.apply(p, len(m.log))
					if _, ok := p.Owns(m.clock(p), "d"); ok {
						owner = i
					}
				}
			}
			return owner
		}
		all := func(int) bool { return true }
		var first int
		for range 100 {
			first = tick(all)
		}
		if first < 0 {
			t.Fatalf("%d limiters: nobody owns the duty after 500 ms", n)
		}
		for range 12 * 60 * 60 / n { // more than an hour with three limiters, without a fault
			if got := tick(all); got != first {
				t.Fatalf("%d limiters: %d owns it in place of %d without a fault", n, got, first)
			}
		}
		gone, deadline := m.now, DefaultSettings().takeoverWait()+DefaultSettings().Stagger+20*time.Millisecond
		for tick(func(i int) bool { return i != first }) < 0 {
			if m.now-gone > deadline {
				t.Fatalf("%d limiters: no owner %v after the last one died", n, m.now-gone)
			}
		}
		t.Logf("%d limiters: another owner after %v", n, m.now-gone)
	}
}
