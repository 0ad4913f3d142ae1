// Package routing holds, for one limiter and one pool, which tier of preference a
// request may go to: the first that can take it, with a stated share that may spill to
// the next one, and a gradual way back for a tier that was lost. It does no input or
// output and reads no clock: times are handed in, in milliseconds on any clock that does
// not go backwards. It is not safe for concurrent use.
//
// Limiters need not agree. What each gives to a tier on its way back is a share of what
// comes to it, so that the sum over any number of them is the same share of all.
package routing

import (
	"fmt"
	"math"
)

const (
	// spillMs is the time over which the share that spills is averaged.
	spillMs = 5000.0
	// boundFrom is the least share of a tier's boxes that can be used for which the
	// bound on spill holds; of a tier with fewer left, all that it can't take goes on.
	boundFrom = 0.5

	// A tier that comes back is given firstShare of the requests, and twice as much after
	// each stepMs in which stepProofs answers came, none failed and hardly any request
	// found it full; a failure, or that most did, halves it. One that fails, or is slow,
	// though its boxes are there begins with illShare.
	firstShare = 0.05
	illShare   = 0.01
	stepMs     = 500.0
	stepProofs = 3
	fullStays  = 0.1 // share of requests that find it full for which it stays where it is
	fullHalves = 0.5 // and for which it gives back half
	// However little comes, one request each probeMs goes to a tier on its way back.
	probeMs = 1000.0
	// Requests that can't be repeated keep off a tier on its way back until so many good
	// answers in a row came from it.
	provenRun = 12

	// A tier's answers are judged over judgeMs: it is failing after illRun failures in a
	// row, or when illPart of at least judgeLeast answers failed, and slow when
	// its latest slowLeast answers or so took slowIll times as long as those of the best
	// other tier.
	judgeMs    = 2000.0
	judgeLeast = 20.0
	illRun     = 8
	illPart    = 0.5
	slowIll    = 4.0
	slowWell   = 2.0 // and it must come below this to be given more again
	slowLeast  = 12
	slowMost   = 8.0 // as which a longer answer counts: one alone says little

	// Each loss counts as one, and half as much after each flapMs. One that falls in with
	// others holds the tier at its first share for holdFirst, twice as long for each
	// further one, holdMost at most.
	flapMs    = 60_000.0
	holdFirst = 2000.0
	holdMost  = 30_000.0

	// The answers a second that a box gives in service are averaged over usualMs.
	usualMs = 30_000.0
	// While no tier is well another one takes over only when it promises so many times as
	// much.
	soleSwitch = 2.0
)

// Phase is how a tier stands.
type Phase int

// The phases of a tier.
const (
	Well      Phase = iota
	Returning       // it is given its share back in steps
	Held            // it returns, and waits because it was lost often
	Failing         // its boxes are there, and most answers are failures
	Slow            // its answers take far longer than those of another tier
	Lost            // none of its boxes can be used
)

var phaseNames = [...]string{"well", "returning", "held down", "failing", "slow", "lost"}

func (p Phase) String() string { return phaseNames[p] }

// Tiers are those of a pool, the most preferred first.
type Tiers struct {
	tiers []tier
	sole  int // the tier that takes all it can while none is well; -1: not so
	// Answers a millisecond and box of all tiers in service, averaged over usualMs.
	usual mean
	order []int // of Order
	first int   // the tier that Order put before those it comes after by rank; -1: none
}

type tier struct {
	spill  float64 // share that may leave it while boundFrom of its boxes are usable
	seen   bool
	boxes  int // listed
	usable int
	cold   int
	size   float64 // the boxes that it has in service
	sizeAt float64
	phase  Phase
	share  float64 // of the requests that it may take; 1 but on its way back

	stepAt  float64
	proofs  int     // good answers in this step ...
	entered float64 // ... requests that came ...
	full    float64 // ... and those of them that it had no room for
	triedAt float64
	heldTo  float64
	losses  float64 // decayed
	lostAt  float64

	asked, leaves float64 // decayed counts: requests that came to it, and that left it
	countedAt     float64
	good, bad     float64 // decayed counts of answers
	took          float64 // mean time of the latest answers against the typical
	had           int     // answers in it
	judgedAt      float64
	run, goods    int  // failures in a row, and good ones
	usual         mean // answers a millisecond and box in service
}

// New returns tiers, of each of which the given share of requests may spill to the next
// one; none is known to be lost.
func New(spill []float64) *Tiers {
	t := &Tiers{sole: -1, first: -1}
	for _, s := range spill {
		t.tiers = append(t.tiers, tier{spill: s, share: 1})
	}
	return t
}

// Spill sets the shares that may spill; what is known of the tiers stays.
func (t *Tiers) Spill(spill []float64) {
	for k := range t.tiers {
		t.tiers[k].spill = spill[k]
	}
}

// Len is the number of tiers.
func (t *Tiers) Len() int { return len(t.tiers) }

// See tells how many boxes of a tier are listed and can be used now, and how many of
// these are still warming up. It is to be called for each tier every 50 ms or so, and
// Step after that.
func (t *Tiers) See(now float64, k, boxes, usable, cold int) {
	x := &t.tiers[k]
	x.seen, x.boxes, x.usable, x.cold = true, boxes, usable, cold
	x.judge(now)
	// Boxes that discovery no longer lists are missed for a while: that they are off the
	// list does not make a room that has lost them whole.
	x.size = max(float64(boxes), x.size*math.Exp((x.sizeAt-now)/flapMs))
	if x.sizeAt = now; x.phase == Well && usable > 0 && cold == 0 {
		x.usual.add(now, x.good/judgeMs/float64(usable))
	}
	x.usual.at = now
}

// learn averages what all tiers give while none is lost or cold.
func (t *Tiers) learn(now float64) {
	good, boxes, whole := 0.0, 0, true
	for k := range t.tiers {
		x := &t.tiers[k]
		good, boxes, whole = good+x.good, boxes+x.usable, whole && x.phase == Well && x.cold == 0
	}
	if whole && boxes > 0 {
		t.usual.add(now, good/judgeMs/float64(boxes))
	}
	t.usual.at = now
}

// mean is a mean over the latest usualMs, or over all there is if that is less.
type mean struct{ value, over, at float64 }

// add takes in a value that held since the time that is set in the mean.
func (m *mean) add(now, value float64) {
	if m.at > 0 {
		m.over = min(usualMs, m.over+now-m.at)
		m.value += (value - m.value) * min(1, (now-m.at)/max(1, m.over))
	}
}

// Step moves the tiers on by what was seen and told, and returns those for which
// something changed. A tier that has no box left is lost, one that has some again begins
// its way back.
func (t *Tiers) Step(now float64) (changed []int) {
	t.learn(now)
	for k := range t.tiers {
		x := &t.tiers[k]
		phase, share := x.phase, x.share
		slow, than := x.took, t.quickest(k)
		switch {
		case x.usable == 0:
			if x.size > 0 && x.phase != Lost {
				x.lose(now, Lost, 0)
			}
		case x.phase == Lost:
			x.back(now, firstShare)
		case x.run >= illRun || x.good+x.bad >= judgeLeast && x.bad > illPart*(x.good+x.bad):
			if x.phase != Failing {
				x.lose(now, Failing, illShare)
				x.heldTo = now + x.hold()
			}
			x.run = 0
		case slow > slowIll*than && x.had >= slowLeast:
			if x.phase != Slow {
				x.lose(now, Slow, illShare)
				x.heldTo = now + x.hold()
			}
		case k == t.sole && x.phase >= Failing: // it has all, and does well
			x.phase, x.share = Well, 1
		case x.phase != Well && slow <= slowWell*than:
			x.climb(now)
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

// lose takes a tier's share away.
func (x *tier) lose(now float64, to Phase, share float64) {
	if x.phase < Failing { // else it is the same trouble
		x.losses = x.losses*math.Exp2((x.lostAt-now)/flapMs) + 1
	}
	x.phase, x.share, x.lostAt = to, share, now
	x.restart(now)
}

// back begins the way back of a tier that was lost. What it answered before says
// nothing of it.
func (x *tier) back(now, share float64) {
	x.phase, x.share = Returning, share
	x.good, x.bad, x.took, x.had, x.run, x.goods = 0, 0, 0, 0, 0, 0
	if x.heldTo = now + x.hold(); x.heldTo > now {
		x.phase = Held
	}
	x.restart(now)
}

// hold is how long a tier is held at its first share, by how often it was lost of late.
func (x *tier) hold() float64 {
	if x.losses < 1.5 {
		return 0
	}
	return min(holdMost, holdFirst*math.Exp2(x.losses-2))
}

func (x *tier) restart(now float64) { x.stepAt, x.proofs, x.entered, x.full = now, 0, 0, 0 }

// proven tells that a tier may be given what can't be repeated.
func (x *tier) proven() bool { return x.phase == Well || x.goods >= provenRun }

// climb gives a tier on its way back a greater share, or takes some of it away.
func (x *tier) climb(now float64) {
	if now < x.heldTo {
		return
	}
	if x.phase == Held {
		x.phase = Returning
	}
	if now-x.stepAt < stepMs {
		return
	}
	switch {
	case x.full > fullHalves*x.entered:
		x.share = max(min(firstShare, x.share), x.share/2)
	case x.proofs < stepProofs:
		return // it takes longer
	case x.full <= fullStays*x.entered:
		x.phase, x.share = Returning, min(1, max(firstShare, 2*x.share))
	}
	if x.restart(now); x.share >= 1 {
		x.phase = Well
	}
}

// quickest is the least mean time that the answers of the other tiers in service take,
// against the typical one; 1 where none has answered enough.
func (t *Tiers) quickest(k int) float64 {
	least := math.Inf(1)
	for i := range t.tiers {
		if x := &t.tiers[i]; i != k && x.phase == Well && x.had >= slowLeast {
			least = min(least, x.took)
		}
	}
	if math.IsInf(least, 1) {
		return 1
	}
	return least
}

// chooseSole finds the tier that takes all it can while none is well: the one that
// promises most, and the same one until another promises far more. It tells whether
// that is another one than before.
func (t *Tiers) chooseSole() (change bool) {
	best, was := -1, t.sole
	for k := range t.tiers {
		x := &t.tiers[k]
		if x.phase == Well && x.usable > 0 {
			t.sole = -1
			return was >= 0
		}
		if x.usable > 0 && (best < 0 || x.promise() > soleSwitch*t.tiers[best].promise()) {
			best = k
		}
	}
	if was >= 0 && t.tiers[was].usable > 0 && t.tiers[best].promise() <= soleSwitch*t.tiers[was].promise() {
		best = was
	}
	t.sole = best
	return best != was
}

// panics tells that each tier is lost, failing or slow.
func (t *Tiers) panics() bool { return t.sole >= 0 && t.tiers[t.sole].phase >= Failing }

// promise is what a tier may be hoped to do, against one that is well.
func (x *tier) promise() float64 {
	return float64(x.usable) / max(1, x.size) * (x.good + 1) / (x.good + x.bad + 2)
}

// Order is the order in which a request is to be tried at the tiers: by rank, but one that
// is preferred, by its place from 1, goes first if it is well, and those to be avoided, a
// bit each, come last. Whoever gives advice moves requests beside the bound on spill by it:
// a preferred tier that has no room keeps nothing back. Everything else holds as without
// advice. The result is valid until the next call.
func (t *Tiers) Order(prefer int, avoid uint32) []int {
	t.order, t.first = t.order[:0], -1
	if k := prefer - 1; k > 0 && k < len(t.tiers) && t.tiers[k].phase == Well && avoid&(1<<k) == 0 {
		t.first = k
		t.order = append(t.order, k)
	}
	for _, last := range [2]bool{false, true} {
		for k := range t.tiers {
			if k != t.first && avoid&(1<<k) != 0 == last {
				t.order = append(t.order, k)
			}
		}
		if avoid == 0 {
			break
		}
	}
	return t.order
}

// Enter tells whether a request may be tried at a tier; u is a random number from 0 to
// 1. What a tier on its way back does not take goes on to the next one, and is no spill.
// Once is set for requests that can't be repeated: they do not go where others are to
// find out.
func (t *Tiers) Enter(now float64, k int, u float64, once bool) bool {
	x := &t.tiers[k]
	switch {
	case x.seen && x.usable == 0:
		return false
	case k == t.sole:
	case u < x.share && (x.proven() || !once):
	case x.share > 0 && now-x.triedAt >= probeMs:
	default:
		return false
	}
	x.triedAt = now
	x.fade(now)
	x.asked++
	x.entered++
	return true
}

// Leave tells whether a request that a tier can't take, although it has usable boxes,
// may spill to the next one; worth is what it is worth for its work against the mean.
// What may not is to be refused: with the share that may leave nearly used up, what is
// worth less than the mean is kept back first.
func (t *Tiers) Leave(now float64, k int, worth float64) bool {
	x := &t.tiers[k]
	x.full++
	if k == t.first {
		return true
	}
	if k == t.sole && t.panics() {
		return false
	}
	if k+1 >= len(t.tiers) {
		return true // and nowhere to go, but to one that is on its way back
	}
	if x.phase != Well || !x.seen || float64(x.usable) < boundFrom*x.size { // it keeps nothing back
		return true
	}
	x.fade(now)
	room := x.spill * x.asked
	if x.spill > 0 { // the first may go, however few have come
		room = max(1, room)
	}
	if x.spill < 1 && x.leaves+1 > room*min(1, worth) {
		return false
	}
	x.leaves++
	return true
}

// Resort tells whether a request that no tier takes may be tried at one that is slow or on
// its way back, beyond its share: rather than be refused it helps to prove it.
func (t *Tiers) Resort(k int, once bool) bool {
	x := &t.tiers[k]
	return !t.panics() && x.usable > 0 && (x.phase == Slow || t.Proving(k) && (x.proven() || !once))
}

// Proving tells that a tier is on its way back: what it is given is to show what it can do.
func (t *Tiers) Proving(k int) bool {
	p := t.tiers[k].phase
	return p == Returning || p == Held
}

// Proved tells of an answer of a tier, whether it was a good one, and how long it took, or
// was waited for, against the typical. A failure while the tier is on its way back takes half of its
// share away.
func (t *Tiers) Proved(now float64, k int, good bool, took float64) {
	x := &t.tiers[k]
	x.judge(now)
	if good {
		x.good++
		x.lasted(took)
		x.proofs++
		x.goods, x.run = x.goods+1, 0
		return
	}
	x.bad++
	x.goods = 0
	if took > 1 { // at least so long
		x.lasted(took)
	}
	x.run++
	if x.phase != Well && x.phase != Lost {
		x.share = max(min(firstShare, x.share), x.share/2)
		x.restart(now)
	}
}

// lasted takes in how long an answer took.
func (x *tier) lasted(took float64) {
	x.had++
	x.took += (min(slowMost, took) - x.took) / float64(min(x.had, slowLeast))
}

// Rate is how many answers a millisecond a box of a tier gives when the tier is in
// service, to this limiter, or one of the pool in the mean, if that is more; 0 is not
// known.
func (t *Tiers) Rate(k int) float64 { return max(t.usual.value, t.tiers[k].usual.value) }

// State is what operators see of a tier.
type State struct {
	Phase         Phase
	Sole          bool // no tier is well, and this one takes all it can
	Boxes, Usable int
	Share         float64 // of the requests that it may take
	Spilled       float64 // share of the requests that left it of late
	Next          string  // what changes the share next
}

// State returns that of a tier.
func (t *Tiers) State(now float64, k int) State {
	x := &t.tiers[k]
	x.fade(now)
	s := State{Phase: x.phase, Sole: k == t.sole, Boxes: x.boxes, Usable: x.usable, Share: x.share,
		Spilled: x.leaves / max(1, x.asked)}
	if s.Sole {
		s.Share = 1
	}
	switch {
	case x.phase == Lost:
		s.Next = fmt.Sprintf("%.0f%% when a box can be used", 100*firstShare)
	case x.phase != Well && now < x.heldTo:
		s.Next = fmt.Sprintf("held for %.1f s more, lost %.1f times of late", (x.heldTo-now)/1000, x.losses)
	case x.phase != Well:
		s.Next = fmt.Sprintf("%.0f%% after %d good answers and no failure, %d so far", 100*min(1, max(firstShare, 2*x.share)), stepProofs, x.proofs)
	case x.size == 0:
		s.Next = "it has no boxes"
	case x.spill < 1 && k+1 < len(t.tiers):
		s.Next = fmt.Sprintf("up to %.0f%% may spill", 100*x.spill)
	}
	return s
}

// fade brings the counts of requests up to date.
func (x *tier) fade(now float64) {
	f := math.Exp((x.countedAt - now) / spillMs)
	x.asked, x.leaves, x.countedAt = x.asked*f, x.leaves*f, now
}

// judge brings the counts of answers up to date.
func (x *tier) judge(now float64) {
	f := math.Exp((x.judgedAt - now) / judgeMs)
	x.good, x.bad, x.judgedAt = x.good*f, x.bad*f, now
}
