// Package routing decides, for one limiter and one pool, which preference tier a request
// may use: the first one that can take it. A configured share of a tier's requests may
// spill over to the next tier, and a tier that was lost gets its traffic back gradually. The
// package does no I/O and reads no clock: callers pass times in milliseconds on any
// monotonic clock. It is not safe for concurrent use.
//
// Limiters do not have to coordinate. Each one gives a returning tier a share of its own
// requests, so that the total over any number of limiters is the same share of all
// requests.
package routing

import (
	"fmt"
	"math"
)

const (
	// spillAveragingMs is the time constant of the decaying counts behind the spill share.
	spillAveragingMs = 5000.0
	// minUsableForSpillBound is the share of a tier's boxes that must be usable for the
	// spill limit to apply. With fewer, all requests that the tier cannot take may spill.
	minUsableForSpillBound = 0.5

	// A returning tier starts with initialShare of the requests. The share doubles after
	// each rampStepMs in which at least rampStepSuccesses answers arrived, none failed and
	// hardly any request found the tier full. It halves on a failure, or when most requests
	// found the tier full. A tier that was failing or slow while it had usable boxes starts
	// with unhealthyInitialShare.
	initialShare          = 0.05
	unhealthyInitialShare = 0.01
	rampStepMs            = 500.0
	rampStepSuccesses     = 3
	maxFullRatioToGrow    = 0.1 // highest share of requests finding it full at which the tier still grows
	minFullRatioToHalve   = 0.5 // share of requests finding it full above which its share halves
	// A returning tier gets at least one request per probeIntervalMs, however low the traffic.
	probeIntervalMs = 1000.0
	// Requests that must not be repeated avoid a returning tier until it has given this
	// many successful answers in a row.
	provenSuccesses = 12

	// Answers are weighed over healthWindowMs. A tier is failing after failingRun failures
	// in a row, or when failingRatio of at least minHealthAnswers answers failed. It is slow
	// when its last minSlownessAnswers answers or so took slowRatio times as long as those
	// of the fastest other tier.
	healthWindowMs     = 2000.0
	minHealthAnswers   = 20.0
	failingRun         = 8
	failingRatio       = 0.5
	slowRatio          = 4.0
	slowRecoveryRatio  = 2.0 // slowness below which a slow tier may return
	minSlownessAnswers = 12
	maxSlowness        = 8.0 // cap on the slowness of one answer, so that a single outlier proves little

	// Each loss of a tier counts as one and decays by half per lossDecayMs. A tier that is
	// lost repeatedly stays at its initial share for initialHoldMs, doubled for each further
	// loss up to maxHoldMs.
	lossDecayMs   = 60_000.0
	initialHoldMs = 2000.0
	maxHoldMs     = 30_000.0

	// rateAveragingMs is the averaging window of the answer rate per box in normal service.
	rateAveragingMs = 30_000.0
	// While no tier is healthy, another tier replaces the sole one only if its expected
	// capacity is this many times as high.
	soleSwitchRatio = 2.0
)

// Phase is the health of a tier, from fully usable to without usable boxes.
type Phase int

// The phases of a tier. Those from Failing on mean that the tier takes no regular traffic.
const (
	Healthy   Phase = iota
	Returning       // its share grows in steps
	Held            // it returns, but waits because it was lost repeatedly
	Failing         // it has usable boxes, but most answers are failures
	Slow            // its answers take far longer than those of another tier
	Lost            // none of its boxes is usable
)

var phaseNames = [...]string{"well", "returning", "held down", "failing", "slow", "lost"}

// String returns the name of the phase as operators see it.
func (p Phase) String() string { return phaseNames[p] }

// Tiers is the state of a pool's tiers, the most preferred one first.
type Tiers struct {
	tiers []tier
	sole  int // the tier that takes all it can while none is healthy; -1: some tier is healthy
	// Answers per millisecond and box over all tiers, while all of them are in normal service.
	serviceRate movingMean
	order       []int // result buffer of Order
	preferred   int   // the tier that Order moved ahead of its rank; -1: none
}

type tier struct {
	spill         float64 // share that may leave it while minUsableForSpillBound of its boxes are usable
	observed      bool
	boxes         int // listed by discovery
	usable        int
	warmingUp     int
	size          float64 // decaying maximum of the listed boxes
	sizeUpdatedAt float64
	phase         Phase
	share         float64 // of the requests that it may take; below 1 only while it is not healthy

	stepStart   float64
	stepGood    int     // successful answers in this step
	admitted    float64 // requests admitted in this step
	full        float64 // those of them that it had no room for
	lastTriedAt float64
	heldUntil   float64
	losses      float64 // decayed count
	lostAt      float64

	requests, spilled                         float64 // decayed counts: requests admitted, and requests that spilled
	requestsUpdatedAt                         float64
	good, bad                                 float64 // decayed counts of answers
	slowness                                  float64 // mean duration of recent answers relative to the typical one
	slownessAnswers                           int     // answers included in slowness
	answersUpdatedAt                          float64
	consecutiveFailures, consecutiveSuccesses int        // current runs of failures and of successes
	serviceRate                               movingMean // answers per millisecond and box in normal service
}

// New returns the state of one tier per element of spill, each element being the share
// of requests that may spill from that tier to the next one. No tier starts as lost.
func New(spill []float64) *Tiers {
	t := &Tiers{sole: -1, preferred: -1}
	for _, s := range spill {
		t.tiers = append(t.tiers, tier{spill: s, share: 1})
	}
	return t
}

// SetSpill sets the spill share of each tier and keeps everything observed about the tiers.
func (t *Tiers) SetSpill(spill []float64) {
	for k := range t.tiers {
		t.tiers[k].spill = spill[k]
	}
}

// Len returns the number of tiers.
func (t *Tiers) Len() int { return len(t.tiers) }

// UpdateBoxes records how many boxes of tier k are listed, how many of them are usable now, and
// how many of the usable ones are still warming up. Call it for each tier about every 50 ms,
// followed by Step.
func (t *Tiers) UpdateBoxes(now float64, k, boxes, usable, warmingUp int) {
	x := &t.tiers[k]
	x.observed, x.boxes, x.usable, x.warmingUp = true, boxes, usable, warmingUp
	x.decayAnswers(now)
	// Boxes that discovery no longer lists still count for a while: a tier that lost boxes
	// must not look complete because they were removed from the list.
	x.size = max(float64(boxes), x.size*math.Exp((x.sizeUpdatedAt-now)/lossDecayMs))
	if x.sizeUpdatedAt = now; x.phase == Healthy && usable > 0 && warmingUp == 0 {
		x.serviceRate.add(now, x.good/healthWindowMs/float64(usable))
	}
	x.serviceRate.updatedAt = now
}

// updateServiceRate averages the pool-wide answer rate while no tier is lost or warming up.
func (t *Tiers) updateServiceRate(now float64) {
	good, boxes, allHealthy := 0.0, 0, true
	for k := range t.tiers {
		x := &t.tiers[k]
		good, boxes, allHealthy = good+x.good, boxes+x.usable, allHealthy && x.phase == Healthy && x.warmingUp == 0
	}
	if allHealthy && boxes > 0 {
		t.serviceRate.add(now, good/healthWindowMs/float64(boxes))
	}
	t.serviceRate.updatedAt = now
}

// movingMean averages over the last rateAveragingMs, or over the time observed if that is shorter.
type movingMean struct{ value, windowMs, updatedAt float64 }

// add includes a value that was valid from updatedAt until now.
func (m *movingMean) add(now, value float64) {
	if m.updatedAt > 0 {
		m.windowMs = min(rateAveragingMs, m.windowMs+now-m.updatedAt)
		m.value += (value - m.value) * min(1, (now-m.updatedAt)/max(1, m.windowMs))
	}
}

// Step updates the phase and share of each tier from the recorded boxes and answers, and
// returns the tiers that changed. A tier without usable boxes becomes lost; once it has
// some again, it starts to return.
func (t *Tiers) Step(now float64) (changed []int) {
	t.updateServiceRate(now)
	for k := range t.tiers {
		x := &t.tiers[k]
		phase, share := x.phase, x.share
		slow, fastest := x.slowness, t.fastestOther(k)
		switch {
		case x.usable == 0:
			if x.size > 0 && x.phase != Lost {
				x.degrade(now, Lost, 0)
			}
		case x.phase == Lost:
			x.beginReturn(now, initialShare)
		case x.consecutiveFailures >= failingRun || x.good+x.bad >= minHealthAnswers && x.bad > failingRatio*(x.good+x.bad):
			if x.phase != Failing {
				x.degrade(now, Failing, unhealthyInitialShare)
				x.heldUntil = now + x.holdMs()
			}
			x.consecutiveFailures = 0
		case slow > slowRatio*fastest && x.slownessAnswers >= minSlownessAnswers:
			if x.phase != Slow {
				x.degrade(now, Slow, unhealthyInitialShare)
				x.heldUntil = now + x.holdMs()
			}
		case k == t.sole && x.phase >= Failing: // it takes all requests, and answers well
			x.phase, x.share = Healthy, 1
		case x.phase != Healthy && slow <= slowRecoveryRatio*fastest:
			x.adjustShare(now)
		}
		if x.phase != phase || x.share != share {
			changed = append(changed, k)
		}
	}
	if t.chooseSole() {
		changed = changed[:0]
		for k := range t.tiers {
			changed = append(changed, k)
		}
	}
	return changed
}

// degrade moves a tier to a phase from Failing on, with the given share of the requests.
func (x *tier) degrade(now float64, to Phase, share float64) {
	if x.phase < Failing { // otherwise the tier has not recovered since the last loss
		x.losses = x.losses*math.Exp2((x.lostAt-now)/lossDecayMs) + 1
	}
	x.phase, x.share, x.lostAt = to, share, now
	x.restartStep(now)
}

// beginReturn gives a lost tier its first share. Answers from before the loss are
// discarded, as they say nothing about its state now.
func (x *tier) beginReturn(now, share float64) {
	x.phase, x.share = Returning, share
	x.good, x.bad, x.slowness, x.slownessAnswers, x.consecutiveFailures, x.consecutiveSuccesses = 0, 0, 0, 0, 0, 0
	if x.heldUntil = now + x.holdMs(); x.heldUntil > now {
		x.phase = Held
	}
	x.restartStep(now)
}

// holdMs returns how long a tier stays at its initial share, given its recent losses.
func (x *tier) holdMs() float64 {
	if x.losses < 1.5 {
		return 0
	}
	return min(maxHoldMs, initialHoldMs*math.Exp2(x.losses-2))
}

func (x *tier) restartStep(now float64) { x.stepStart, x.stepGood, x.admitted, x.full = now, 0, 0, 0 }

// proven reports whether a tier may receive requests that must not be repeated.
func (x *tier) proven() bool { return x.phase == Healthy || x.consecutiveSuccesses >= provenSuccesses }

// adjustShare raises or lowers a returning tier's share at the end of a step.
func (x *tier) adjustShare(now float64) {
	if now < x.heldUntil {
		return
	}
	if x.phase == Held {
		x.phase = Returning
	}
	if now-x.stepStart < rampStepMs {
		return
	}
	switch {
	case x.full > minFullRatioToHalve*x.admitted:
		x.share = max(min(initialShare, x.share), x.share/2)
	case x.stepGood < rampStepSuccesses:
		return // the step goes on
	case x.full <= maxFullRatioToGrow*x.admitted:
		x.phase, x.share = Returning, min(1, max(initialShare, 2*x.share))
	}
	if x.restartStep(now); x.share >= 1 {
		x.phase = Healthy
	}
}

// fastestOther returns the lowest mean slowness among the other healthy tiers, or 1 if none
// has given enough answers.
func (t *Tiers) fastestOther(k int) float64 {
	fastest := math.Inf(1)
	for i := range t.tiers {
		if x := &t.tiers[i]; i != k && x.phase == Healthy && x.slownessAnswers >= minSlownessAnswers {
			fastest = min(fastest, x.slowness)
		}
	}
	if math.IsInf(fastest, 1) {
		return 1
	}
	return fastest
}

// chooseSole selects the tier that takes all requests it can while none is healthy: the
// one with the highest expected capacity. The previous choice stays until another tier's
// capacity is soleSwitchRatio times as high. It reports whether the choice changed.
func (t *Tiers) chooseSole() (changed bool) {
	candidate, previous := -1, t.sole
	for k := range t.tiers {
		x := &t.tiers[k]
		if x.phase == Healthy && x.usable > 0 {
			t.sole = -1
			return previous >= 0
		}
		if x.usable > 0 && (candidate < 0 || x.expectedCapacity() > soleSwitchRatio*t.tiers[candidate].expectedCapacity()) {
			candidate = k
		}
	}
	if previous >= 0 && t.tiers[previous].usable > 0 && t.tiers[candidate].expectedCapacity() <= soleSwitchRatio*t.tiers[previous].expectedCapacity() {
		candidate = previous
	}
	t.sole = candidate
	return candidate != previous
}

// inPanic reports whether every tier is lost, failing or slow.
func (t *Tiers) inPanic() bool { return t.sole >= 0 && t.tiers[t.sole].phase >= Failing }

// expectedCapacity estimates what a tier can serve relative to a healthy one.
func (x *tier) expectedCapacity() float64 {
	return float64(x.usable) / max(1, x.size) * (x.good + 1) / (x.good + x.bad + 2)
}

// Order returns the order in which to try the tiers for a request: by rank, except that a
// preferred tier (numbered from 1) goes first if it is healthy, and tiers in the avoid bit
// mask go last. Such advice moves requests outside the spill limit: a preferred tier
// without room passes all of them on. All other rules apply as without advice. The result
// is valid until the next call.
func (t *Tiers) Order(prefer int, avoid uint32) []int {
	t.order, t.preferred = t.order[:0], -1
	if k := prefer - 1; k > 0 && k < len(t.tiers) && t.tiers[k].phase == Healthy && avoid&(1<<k) == 0 {
		t.preferred = k
		t.order = append(t.order, k)
	}
	for _, avoided := range [2]bool{false, true} {
		for k := range t.tiers {
			if k != t.preferred && avoid&(1<<k) != 0 == avoided {
				t.order = append(t.order, k)
			}
		}
		if avoid == 0 {
			break
		}
	}
	return t.order
}

// Admit reports whether a request may be tried at tier k; u is a random number from 0 to
// 1. What a returning tier does not take goes on to the next tier and does not count as
// spill. once marks requests that must not be repeated: unless the tier is proven, they are
// admitted only for the periodic probe.
func (t *Tiers) Admit(now float64, k int, u float64, once bool) bool {
	x := &t.tiers[k]
	switch {
	case x.observed && x.usable == 0:
		return false
	case k == t.sole:
	case u < x.share && (x.proven() || !once):
	case x.share > 0 && now-x.lastTriedAt >= probeIntervalMs:
	default:
		return false
	}
	x.lastTriedAt = now
	x.decayRequests(now)
	x.requests++
	x.admitted++
	return true
}

// AllowSpill reports whether a request may spill to the next tier when tier k has usable boxes
// but no room. worth is the request's value per unit of work relative to the mean. A request
// that may not spill has to be refused. When the spill share is nearly used up, requests
// worth less than the mean are refused first.
func (t *Tiers) AllowSpill(now float64, k int, worth float64) bool {
	x := &t.tiers[k]
	x.full++
	if k == t.preferred {
		return true
	}
	if k == t.sole && t.inPanic() {
		return false
	}
	if k+1 >= len(t.tiers) {
		return true // only returning tiers are left
	}
	if x.phase != Healthy || !x.observed || float64(x.usable) < minUsableForSpillBound*x.size { // the spill limit does not apply
		return true
	}
	x.decayRequests(now)
	allowed := x.spill * x.requests
	if x.spill > 0 { // one request may always spill, however few have come
		allowed = max(1, allowed)
	}
	if x.spill < 1 && x.spilled+1 > allowed*min(1, worth) {
		return false
	}
	x.spilled++
	return true
}

// AllowLastResort reports whether a request that no tier has taken may be tried at a slow or returning
// tier beyond its share. This serves the request and gives evidence about the tier.
func (t *Tiers) AllowLastResort(k int, once bool) bool {
	x := &t.tiers[k]
	return !t.inPanic() && x.usable > 0 && (x.phase == Slow || t.Recovering(k) && (x.proven() || !once))
}

// Recovering reports whether a tier is returning, so that its requests test what it can take.
func (t *Tiers) Recovering(k int) bool {
	p := t.tiers[k].phase
	return p == Returning || p == Held
}

// RecordAnswer records an answer of tier k: whether it was successful, and its duration (or the time
// waited for it) relative to the typical one. A failure halves the share of a returning tier.
func (t *Tiers) RecordAnswer(now float64, k int, good bool, slowness float64) {
	x := &t.tiers[k]
	x.decayAnswers(now)
	if good {
		x.good++
		x.recordSlowness(slowness)
		x.stepGood++
		x.consecutiveSuccesses, x.consecutiveFailures = x.consecutiveSuccesses+1, 0
		return
	}
	x.bad++
	x.consecutiveSuccesses = 0
	if slowness > 1 { // the answer would have taken at least this long
		x.recordSlowness(slowness)
	}
	x.consecutiveFailures++
	if x.phase != Healthy && x.phase != Lost {
		x.share = max(min(initialShare, x.share), x.share/2)
		x.restartStep(now)
	}
}

// recordSlowness adds the relative duration of an answer to the mean.
func (x *tier) recordSlowness(slowness float64) {
	x.slownessAnswers++
	x.slowness += (min(maxSlowness, slowness) - x.slowness) / float64(min(x.slownessAnswers, minSlownessAnswers))
}

// Rate returns the answers per millisecond that one box of a tier gives to this limiter in
// normal service, or the pool-wide mean if that is higher; 0 means unknown.
func (t *Tiers) Rate(k int) float64 { return max(t.serviceRate.value, t.tiers[k].serviceRate.value) }

// State describes a tier to operators.
type State struct {
	Phase         Phase
	Sole          bool // no tier is healthy, and this one takes all it can
	Boxes, Usable int
	Share         float64 // of the requests that it may take
	Spilled       float64 // share of recent requests that spilled
	Next          string  // what has to happen for the share to change
}

// State returns the current description of tier k.
func (t *Tiers) State(now float64, k int) State {
	x := &t.tiers[k]
	x.decayRequests(now)
	s := State{Phase: x.phase, Sole: k == t.sole, Boxes: x.boxes, Usable: x.usable, Share: x.share,
		Spilled: x.spilled / max(1, x.requests)}
	if s.Sole {
		s.Share = 1
	}
	switch {
	case x.phase == Lost:
		s.Next = fmt.Sprintf("%.0f%% when a box can be used", 100*initialShare)
	case x.phase != Healthy && now < x.heldUntil:
		s.Next = fmt.Sprintf("held for %.1f s more, lost %.1f times of late", (x.heldUntil-now)/1000, x.losses)
	case x.phase != Healthy:
		s.Next = fmt.Sprintf("%.0f%% after %d good answers and no failure, %d so far", 100*min(1, max(initialShare, 2*x.share)), rampStepSuccesses, x.stepGood)
	case x.size == 0:
		s.Next = "it has no boxes"
	case x.spill < 1 && k+1 < len(t.tiers):
		s.Next = fmt.Sprintf("up to %.0f%% may spill", 100*x.spill)
	}
	return s
}

// decayRequests applies the decay to the request counts up to now.
func (x *tier) decayRequests(now float64) {
	factor := math.Exp((x.requestsUpdatedAt - now) / spillAveragingMs)
	x.requests, x.spilled, x.requestsUpdatedAt = x.requests*factor, x.spilled*factor, now
}

// decayAnswers applies the decay to the answer counts up to now.
func (x *tier) decayAnswers(now float64) {
	factor := math.Exp((x.answersUpdatedAt - now) / healthWindowMs)
	x.good, x.bad, x.answersUpdatedAt = x.good*factor, x.bad*factor, now
}
