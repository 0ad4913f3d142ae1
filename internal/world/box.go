package world

import (
	"math"
	"math/rand/v2"
	"time"

	"example.org/madderdrum/internal/fleet"
)

// Condition is the state of a box's process and machine.
type Condition int

// States of a box.
const (
	Running  Condition = iota
	Draining           // finishes its jobs and rejects new requests
	Hung               // accepts connections but makes no progress and sends nothing
	Dead               // the process has ended: connects are refused
	Vanished           // the machine is unreachable: connects time out
	Crashed            // crashed from overload while cold: as Dead, without a restart
)

var conditionNames = [...]string{"running", "draining", "hung", "dead", "vanished", "fallen"}

func (c Condition) String() string { return conditionNames[c] }

// Job is a request that a box has completely received.
type Job struct {
	ID      uint64        // the attempt's id, assigned by the driver
	Work    time.Duration // CPU time on one core at speed 1
	Key     uint64        // idempotency key; 0: none
	Window  time.Duration // how long the pod deduplicates the key
	Expires time.Duration // when the limiter stops waiting; 0: never
}

// Result is the outcome of a job.
type Result int

// Outcomes of a job.
const (
	Served     Result = iota
	Failed            // executed, and answered with an error
	TurnedAway        // rejected without execution
)

// Done is a job whose response is ready.
type Done struct {
	ID     uint64
	Result Result
	Ran    bool // it was executed here, and not dropped as a duplicate
}

// Load is the load that a box reports with its responses.
type Load struct{ InFlight, Queue float64 }

// Connect is the outcome of opening a connection to a box.
type Connect int

// Outcomes of a connect.
const (
	Accepted Connect = iota
	Refused
	Silent
)

// coldWorkSlices is the number of slices of the sliding window (OverloadDuration) over which the work sent to a
// cold box is summed.
const coldWorkSlices = 30

// Box models one upstream server: cores that the running jobs share equally, a limited number of slots,
// a bounded queue, and a set of idempotency keys that it shares with its pod. A job runs slower as
// the box holds more jobs (thrashing), under its own and the shared slowdown, and while it is cold.
//
// A Box does no I/O and reads no clock: each call passes the time, which never decreases. The caller
// calls Advance at the time that Next returns, and before any other call at a later time. A Box is
// not safe for concurrent use.
type Box struct {
	Spec fleet.Box
	Name string

	rng                *rand.Rand
	rules              fleet.Rules
	pod                *pod
	condition          Condition
	startedAt          time.Duration // last start; negative if before the simulation
	answeredSinceStart int           // requests answered since the last start
	slowdown           float64       // factor on the duration of all work
	sharedSlowdown     *float64      // factor of the dependency that all boxes share
	errorRate          float64       // share of requests that fail
	responseFault      ResponseFault // network fault of some of its responses
	responseFaultShare float64       // share of responses with that fault

	advancedTo    time.Duration
	workPerJob    float64 // cumulative work done for each running job, in ns
	handshakeDebt float64 // outstanding work for handshakes, done before that of jobs
	running       []runningJob
	waiting       []Job // in order of arrival
	finished      []Done
	connections   int

	sliceStart time.Duration
	coldWork   [coldWorkSlices]float64 // work that arrived while cold, in ns per slice
	sliceIndex int

	latestReport   Load
	measuredAt     time.Duration // time of latestReport
	previousReport Load          // reported until latestReport is Delay old

	// Counts covers the time since the box was created; charts show it.
	Counts Counts
}

// Counts holds totals of a box since its creation.
type Counts struct {
	Arrived, Ran, Failed, TurnedAway, Repeats, Lost, Connects int
	Work                                                      time.Duration // CPU time used, at speed 1
}

type runningJob struct {
	job        Job
	doneAtWork float64 // the job is done when Box.workPerJob reaches this value
	willFail   bool
}

// pod holds the idempotency keys that its boxes deduplicate together.
type pod struct {
	keyExpiry map[uint64]time.Duration
	sweptAt   time.Duration
}

func newBox(spec fleet.Box, rules fleet.Rules, p *pod, shared *float64, rng *rand.Rand) *Box {
	return &Box{Spec: spec, Name: spec.Name, rng: rng, rules: rules, pod: p, startedAt: -1, slowdown: 1, sharedSlowdown: shared,
		errorRate: spec.ErrorRate}
}

// Condition returns the current state of the box.
func (b *Box) Condition() Condition { return b.condition }

// JobCount returns the number of running and waiting jobs.
func (b *Box) JobCount() int { return len(b.running) + len(b.waiting) }

// StartedAt returns the time of the last start; ok is false if the box started before the simulation.
func (b *Box) StartedAt() (at time.Duration, ok bool) { return b.startedAt, b.startedAt >= 0 }

// Warmth returns the share of its full capacity that the box has reached during warm-up.
func (b *Box) Warmth(now time.Duration) float64 {
	if b.startedAt < 0 || b.Spec.WarmUpTime <= 0 {
		return 1
	}
	share := float64(now-b.startedAt) / float64(b.Spec.WarmUpTime)
	if b.Spec.WarmAfter > 0 {
		share = max(share, float64(b.answeredSinceStart)/float64(b.Spec.WarmAfter))
	}
	return min(1, b.Spec.ColdShare+(1-b.Spec.ColdShare)*share)
}

// Capacity returns the current throughput in seconds of work per second, with all cores busy and
// without thrashing.
func (b *Box) Capacity(now time.Duration) float64 {
	return b.Spec.Cores * b.Spec.Speed * b.Warmth(now) / (b.slowdown * *b.sharedSlowdown)
}

// speeds returns the current speed of all cores together and of one job.
func (b *Box) speeds(now time.Duration) (all, each float64) {
	if b.condition == Hung || len(b.running) == 0 && b.handshakeDebt <= 0 {
		return 0, 0
	}
	excess := max(0, float64(b.JobCount())/b.Spec.Cores-b.Spec.ThrashAt)
	one := b.Spec.Speed * b.Warmth(now) / (b.slowdown * *b.sharedSlowdown * (1 + b.Spec.Thrash*excess))
	all = one * b.Spec.Cores
	if len(b.running) > 0 {
		each = min(one, all/float64(len(b.running)))
	}
	return all, each
}

// applyWork applies the work done until now; no job may end in between.
func (b *Box) applyWork(now time.Duration) {
	all, each := b.speeds(b.advancedTo) // warm-up is negligible between two events
	dt := float64(now - b.advancedTo)
	b.advancedTo = now
	if all <= 0 || dt <= 0 {
		return
	}
	if b.handshakeDebt > 0 {
		paid := min(b.handshakeDebt, all*dt)
		b.handshakeDebt -= paid
		dt -= paid / all
	}
	b.workPerJob += each * dt
	b.Counts.Work += time.Duration(each * dt * float64(len(b.running)))
}

// Next returns the time at which the next job ends; ok is false if none does.
func (b *Box) Next() (at time.Duration, ok bool) {
	if len(b.running) == 0 {
		return 0, false
	}
	all, each := b.speeds(b.advancedTo)
	if each <= 0 {
		return 0, false
	}
	first := math.Inf(1)
	for i := range b.running {
		first = min(first, b.running[i].doneAtWork)
	}
	return b.advancedTo + time.Duration(math.Ceil(b.handshakeDebt/all+max(0, first-b.workPerJob)/each)), true
}

// Advance simulates the box until now and returns the jobs that ended. The slice is valid until the
// next call.
func (b *Box) Advance(now time.Duration) []Done {
	b.finished = b.finished[:0]
	for {
		next, ok := b.Next()
		if !ok || next > now {
			break
		}
		b.applyWork(next)
		kept := b.running[:0]
		for _, r := range b.running {
			if r.doneAtWork > b.workPerJob+1 { // 1 ns of tolerance for rounding
				kept = append(kept, r)
				continue
			}
			result := Served
			if r.willFail {
				result = Failed
				b.Counts.Failed++
			}
			b.answeredSinceStart++
			b.finished = append(b.finished, Done{ID: r.job.ID, Result: result, Ran: true})
		}
		b.running = kept
		b.startWaiting(next)
	}
	b.applyWork(now)
	return b.finished
}

// startWaiting starts waiting jobs while slots are free. It rejects jobs that have expired.
func (b *Box) startWaiting(now time.Duration) {
	for len(b.waiting) > 0 && len(b.running) < b.Spec.Slots {
		j := b.waiting[0]
		b.waiting = b.waiting[1:]
		if j.Expires > 0 && now >= j.Expires {
			b.Counts.TurnedAway++
			b.finished = append(b.finished, Done{ID: j.ID, Result: TurnedAway})
			continue
		}
		b.startJob(now, j)
	}
	if len(b.waiting) == 0 {
		b.waiting = nil // release the memory of started jobs
	}
}

func (b *Box) startJob(now time.Duration, j Job) {
	if j.Key != 0 && b.pod.isRepeat(now, j) {
		b.Counts.Repeats++
		b.finished = append(b.finished, Done{ID: j.ID, Result: Served})
		return
	}
	b.Counts.Ran++
	b.running = append(b.running, runningJob{job: j, doneAtWork: b.workPerJob + max(1, float64(j.Work)), willFail: b.rng.Float64() < b.errorRate})
}

// Open opens a connection, if the box accepts one. The driver releases it with Close.
func (b *Box) Open(now time.Duration) Connect {
	switch {
	case b.condition == Dead || b.condition == Crashed:
		return Refused
	case b.condition == Vanished:
		return Silent
	case b.connections >= b.Spec.Connections:
		return Refused
	}
	b.connections++
	b.Counts.Connects++
	b.handshakeDebt += float64(b.Spec.Handshake)
	return Accepted
}

// Close releases a connection that Open accepted.
func (b *Box) Close() { b.connections = max(0, b.connections-1) }

// AddJob adds a completely received request. It returns the jobs that end thereby, possibly j itself,
// in a slice valid until the next call. It must not be called for a box that is dead, fallen or
// vanished.
func (b *Box) AddJob(now time.Duration, j Job) []Done {
	b.finished = b.finished[:0]
	b.Counts.Arrived++
	if b.condition == Draining || len(b.running) >= b.Spec.Slots && len(b.waiting) >= b.Spec.Queue {
		b.Counts.TurnedAway++
		b.finished = append(b.finished, Done{ID: j.ID, Result: TurnedAway})
		return b.finished
	}
	b.waiting = append(b.waiting, j)
	if b.condition != Hung {
		b.startWaiting(now)
	}
	return b.finished
}

// AddColdWork records work sent to the box and reports whether the box crashes from it. A cold box crashes
// when the work of the last OverloadDuration exceeds OverloadFactor times its current capacity; a warm box never
// does.
func (b *Box) AddColdWork(now, work time.Duration) bool {
	if b.Warmth(now) >= 1 {
		return false
	}
	each := b.rules.OverloadDuration / coldWorkSlices
	for gone := int((now - b.sliceStart) / max(1, each)); gone > 0; gone-- {
		if b.sliceIndex = (b.sliceIndex + 1) % coldWorkSlices; gone > 2*coldWorkSlices {
			gone = 2 * coldWorkSlices // enough to clear every slice
		}
		b.coldWork[b.sliceIndex] = 0
		b.sliceStart += each
	}
	b.sliceStart = max(b.sliceStart, now-each)
	b.coldWork[b.sliceIndex] += float64(work)
	sum := 0.0
	for _, s := range b.coldWork {
		sum += s
	}
	return sum > b.rules.OverloadFactor*b.Capacity(now)*float64(b.rules.OverloadDuration)
}

// SetCondition changes the state and returns the ids of the jobs lost by that. Only Start leaves the states
// Dead, Vanished and Fallen.
func (b *Box) SetCondition(c Condition) (lost []uint64) {
	b.condition = c
	if c != Dead && c != Vanished && c != Crashed {
		return nil
	}
	for _, r := range b.running {
		lost = append(lost, r.job.ID)
	}
	for _, j := range b.waiting {
		lost = append(lost, j.ID)
	}
	b.Counts.Lost += len(lost)
	b.running, b.waiting, b.connections, b.handshakeDebt = b.running[:0], nil, 0, 0
	return lost
}

// Resume ends a hang or a drain and returns the jobs that end thereby.
func (b *Box) Resume(now time.Duration) []Done {
	b.finished = b.finished[:0]
	b.condition = Running
	b.startWaiting(now)
	return b.finished
}

// Start restarts the process of the box, either cold or already warm.
func (b *Box) Start(now time.Duration, cold bool) {
	b.SetCondition(Dead)
	b.condition, b.answeredSinceStart, b.coldWork = Running, 0, [coldWorkSlices]float64{}
	b.startedAt, b.sliceStart, b.advancedTo = -1, now, now
	if cold {
		b.startedAt = now
	}
	b.latestReport, b.previousReport = Load{}, Load{}
}

// SetSlowdown sets the factor on the duration of all work; 1 is normal speed.
func (b *Box) SetSlowdown(factor float64) { b.slowdown = factor }

// SetErrorRate sets the share of requests that fail; a negative share restores the configured ErrorRate.
func (b *Box) SetErrorRate(share float64) {
	if share < 0 {
		share = b.Spec.ErrorRate
	}
	b.errorRate = share
}

// ReportedLoad returns the load that a response carries at this time. It is measured periodically, with noise,
// and published after a delay.
func (b *Box) ReportedLoad(now time.Duration) (l Load, ok bool) {
	r := b.Spec.Report
	if r.Every <= 0 {
		return l, false
	}
	if now >= b.measuredAt+r.Every {
		b.previousReport = b.latestReport
		noise := func(x int) float64 { return max(0, math.Round(float64(x)*(1+r.Noise*b.rng.NormFloat64()))) }
		b.latestReport, b.measuredAt = Load{noise(b.JobCount()), noise(len(b.waiting))}, now
	}
	if now < b.measuredAt+r.Delay {
		return b.previousReport, true
	}
	return b.latestReport, true
}

// isRepeat reports whether the pod has seen the key of j within its window, and stores it if not.
func (p *pod) isRepeat(now time.Duration, j Job) bool {
	if until, ok := p.keyExpiry[j.Key]; ok && now < until {
		return true
	}
	if now > p.sweptAt+time.Second { // remove expired keys, at most once per second
		p.sweptAt = now
		for key, until := range p.keyExpiry {
			if now >= until {
				delete(p.keyExpiry, key)
			}
		}
	}
	p.keyExpiry[j.Key] = now + j.Window
	return false
}
