package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// rig simulates tiers in virtual time: their boxes, their answers, and the requests.
type rig struct {
	*Tiers
	rng       *rand.Rand
	now       float64
	boxes     []int
	cold      []int
	goodRatio []float64 // share of answers that are successful
	slowness  []float64
	roomRatio []float64 // share of requests that a tier has room for
	sent      []int     // requests sent to each tier
	refused   int       // requests refused by all tiers
	changes   []string  // phase changes
}

func newRig(spill ...float64) *rig {
	n := len(spill)
	x := &rig{Tiers: New(spill), rng: rand.New(rand.NewPCG(1, 1)), boxes: make([]int, n), cold: make([]int, n),
		goodRatio: make([]float64, n), slowness: make([]float64, n), roomRatio: make([]float64, n), sent: make([]int, n)}
	for k := range n {
		x.boxes[k], x.goodRatio[k], x.slowness[k], x.roomRatio[k] = 6, 1, 1, 1
	}
	return x
}

// play sends one request every interval ms for the given time, and resets the counters first.
func (x *rig) play(ms, interval float64, once bool) {
	clear(x.sent)
	x.refused, x.changes = 0, nil
	for end, step := x.now+ms, x.now; x.now < end; x.now += interval {
		for ; step <= x.now; step += 50 {
			for k := range x.Len() {
				x.UpdateBoxes(step, k, 6, x.boxes[k], x.cold[k])
			}
			for _, k := range x.Step(step) {
				x.changes = append(x.changes, fmt.Sprintf("%d %v", k, x.State(step, k).Phase))
			}
		}
		x.request(once, 1)
	}
}

// request routes one request by the decisions of Tiers, in the same way as the limiter does.
func (x *rig) request(once bool, worth float64) (tier int) {
	tier = -1
	for k := 0; k < x.Len() && tier < 0; k++ {
		if !x.Admit(x.now, k, x.rng.Float64(), once) {
			continue
		}
		if x.rng.Float64() < x.roomRatio[k] {
			tier = k
		} else if !x.AllowSpill(x.now, k, worth) {
			x.refused++
			return -1
		}
	}
	for k := 0; k < x.Len() && tier < 0; k++ {
		if x.AllowLastResort(k, once) && x.rng.Float64() < x.roomRatio[k] {
			tier = k
		}
	}
	if tier < 0 {
		x.refused++
		return -1
	}
	x.sent[tier]++
	x.RecordAnswer(x.now, tier, x.rng.Float64() < x.goodRatio[tier], x.slowness[tier])
	return tier
}

func (x *rig) phase(k int) Phase   { return x.State(x.now, k).Phase }
func (x *rig) share(k int) float64 { return x.State(x.now, k).Share }

// Under any load, no more than the spill share leaves a tier while at least half of its boxes are
// usable. With fewer usable boxes, all requests that it cannot take may leave.
func TestSpillIsBounded(t *testing.T) {
	for _, spill := range []float64{0, 0.05, 0.3, 0.9, 1} {
		for _, roomRatio := range []float64{0.8, 0.4, 0} {
			for _, boxes := range []int{6, 3, 2} {
				x := newRig(spill, 0)
				x.play(1000, 10, false)
				x.boxes[0], x.roomRatio[0] = boxes, roomRatio
				x.play(60_000, 10, false)
				left, want := float64(x.sent[1]), 6000*(1-roomRatio)
				if boxes >= 3 {
					if left > spill*6100+6 || left < 0.9*min(want, spill*6000)-6 {
						t.Errorf("spill %v, room %v, %d boxes: %v left, %d refused", spill, roomRatio, boxes, left, x.refused)
					}
				} else if x.refused > 0 || left < 0.9*want {
					t.Errorf("spill %v, room %v, %d boxes: %v left, %d refused", spill, roomRatio, boxes, left, x.refused)
				}
			}
		}
	}
}

// When the spill share is nearly used up, the requests worth least are refused first.
func TestSpillByWorth(t *testing.T) {
	x := newRig(0.3, 0)
	x.play(1000, 10, false)
	x.roomRatio[0] = 0
	var sent [3]int
	for i := range 9000 {
		x.now += 10
		if x.request(false, []float64{0.2, 1, 2}[i%3]) == 1 {
			sent[i%3]++
		}
	}
	if all := sent[0] + sent[1] + sent[2]; all < 2500 || all > 2750 || sent[0] > all/20 || sent[1]+sent[2] < all*9/10 {
		t.Errorf("requests that spilled by worth: %v", sent)
	}
}

// A tier without boxes, or whose boxes are no longer listed, is skipped. Requests are refused only
// when the last tier has no boxes either.
func TestEmptyTier(t *testing.T) {
	x := newRig(0, 0, 0)
	x.boxes[1] = 0
	x.play(1000, 10, false)
	x.boxes[0] = 0
	x.play(1000, 10, false)
	if x.sent[2] != 100 || x.refused > 0 || x.phase(0) != Lost {
		t.Errorf("sent %v, %d refused, the first tier is %v", x.sent, x.refused, x.phase(0))
	}
	x.boxes[2] = 0
	x.play(1000, 10, false)
	if x.refused != 100 {
		t.Errorf("without any box: sent %v, refused %d", x.sent, x.refused)
	}
}

// A lost tier returns in steps, and each step requires successful answers.
func TestWayBack(t *testing.T) {
	x := newRig(0.3, 0)
	x.play(1000, 10, false)
	x.boxes[0] = 0
	x.play(10_000, 10, false)
	if x.sent[0] != 0 || x.refused > 0 || x.share(0) != 0 {
		t.Fatalf("while lost: sent %v, refused %d", x.sent, x.refused)
	}
	x.boxes[0] = 6
	var shares []float64
	start := x.now
	for x.phase(0) != Healthy && x.now < start+20_000 {
		x.play(50, 10, false)
		if s := x.share(0); len(shares) == 0 || shares[len(shares)-1] != s {
			shares = append(shares, s)
		}
	}
	if want := []float64{0.05, 0.1, 0.2, 0.4, 0.8, 1}; !slices.EqualFunc(shares, want, func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }) {
		t.Errorf("shares %v, want %v", shares, want)
	}
	if took := x.now - start; took < 5*rampStepMs || took > 5*rampStepMs+2500 {
		t.Errorf("the tier was healthy after %v ms", took)
	}
	// Without answers the share does not grow, however much time passes.
	x.boxes[0] = 0
	x.play(120_000, 10, false)
	x.boxes[0] = 6
	for k := range 1000 {
		x.now += 50
		x.UpdateBoxes(x.now, 0, 6, 6, 0)
		x.UpdateBoxes(x.now, 1, 6, 6, 0)
		if x.Step(x.now); k > 200 && x.share(0) != initialShare {
			t.Fatalf("without answers the share grew to %v", x.share(0))
		}
	}
}

// A returning tier that fails or is full loses share again. What it cannot take goes to the next
// tier and does not count as spill.
func TestStrainOnWayBack(t *testing.T) {
	for name, strain := range map[string]func(x *rig){
		"fails": func(x *rig) { x.goodRatio[0] = 0.7 },
		"full":  func(x *rig) { x.roomRatio[0] = 0.2 },
	} {
		x := newRig(0, 0)
		x.play(1000, 10, false)
		x.boxes[0] = 0
		x.play(1000, 10, false)
		x.boxes[0] = 6
		strain(x)
		x.play(20_000, 10, false)
		if x.share(0) > 0.2 || x.phase(0) == Healthy || x.refused > 0 {
			t.Errorf("%s: phase %v, share %v, %d refused", name, x.phase(0), x.share(0), x.refused)
		}
		x.goodRatio[0], x.roomRatio[0] = 1, 1
		x.play(35_000, 10, false)
		if x.phase(0) != Healthy {
			t.Errorf("%s: still %v after it recovered", name, x.phase(0))
		}
	}
}

// Repeated losses hold a tier back for longer each time, up to a bound. A loss while the tier is
// returning costs far fewer requests than the first one, and a tier that stays healthy returns
// within the bound.
func TestFlaps(t *testing.T) {
	x := newRig(0.3, 0)
	x.play(10_000, 10, false)
	var held []float64
	for range 10 {
		x.boxes[0] = 0
		x.play(1000, 10, false)
		x.boxes[0] = 6
		x.play(100, 10, false)
		s := x.tiers[0]
		held = append(held, max(0, s.heldUntil-x.now))
		x.play(2000, 10, false)
		if len(held) > 1 && x.sent[0] > 60 {
			t.Errorf("loss %d: %d of 200 requests go to a tier that was lost repeatedly", len(held), x.sent[0])
		}
	}
	if held[0] != 0 || held[1] < 1000 || held[9] < 20_000 || !slices.IsSorted(held) {
		t.Errorf("hold times %v", held)
	}
	start := x.now
	for x.phase(0) != Healthy {
		x.play(100, 10, false)
		if x.now > start+maxHoldMs+15_000 {
			t.Fatalf("not healthy within the bound: %+v", x.State(x.now, 0))
		}
	}
	// The bound also holds at one request per second.
	x.boxes[0] = 0
	x.play(5000, 1000, false)
	x.boxes[0] = 6
	start = x.now
	for x.phase(0) != Healthy {
		x.play(1000, 1000, false)
		if x.now > start+maxHoldMs+20_000 {
			t.Fatalf("not healthy within the bound at one request per second: %+v", x.State(x.now, 0))
		}
	}
}

// A tier whose boxes are present, but return errors or answer far more slowly than the other
// tier, loses its traffic within about a second and gets it back once it is healthy.
func TestSickTier(t *testing.T) {
	for name, impair := range map[string]func(x *rig){
		"fast errors": func(x *rig) { x.goodRatio[0] = 0.1 },
		"slow":        func(x *rig) { x.slowness[0] = 6 },
	} {
		x := newRig(0, 0)
		x.play(5000, 10, false)
		impair(x)
		x.play(1500, 10, false)
		if x.phase(0) < Failing {
			t.Errorf("%s: the phase is still %v", name, x.phase(0))
		}
		x.play(60_000, 10, false)
		if most := 6000 / 20; x.sent[0] > most || x.refused > 0 {
			t.Errorf("%s: sent %v, %d refused", name, x.sent, x.refused)
		}
		x.goodRatio[0], x.slowness[0] = 1, 1
		x.play(maxHoldMs+15_000, 10, false)
		if x.phase(0) != Healthy {
			t.Errorf("%s: still %v after it recovered", name, x.phase(0))
		}
	}
}

// When no tier is healthy, one of them takes all the requests it can, the others get almost none,
// and requests beyond its capacity are refused.
func TestPanic(t *testing.T) {
	x := newRig(1, 1)
	x.play(5000, 10, false)
	x.goodRatio[0], x.goodRatio[1] = 0.2, 0.3
	x.play(10_000, 10, false)
	x.roomRatio[0], x.roomRatio[1] = 0.5, 0.5
	x.play(20_000, 10, false)
	if a, b := x.State(x.now, 0), x.State(x.now, 1); a.Sole == b.Sole || a.Phase < Failing || b.Phase < Failing {
		t.Fatalf("%+v %+v", a, b)
	}
	most, least := max(x.sent[0], x.sent[1]), min(x.sent[0], x.sent[1])
	if least > most/10 || x.refused < 800 {
		t.Errorf("no healthy tier: sent %v, %d refused", x.sent, x.refused)
	}
	// The sole tier becomes healthy as soon as it answers well.
	x.goodRatio[0], x.goodRatio[1], x.roomRatio[0], x.roomRatio[1] = 1, 1, 1, 1
	x.play(5000, 10, false)
	if x.refused > 0 || x.phase(0) != Healthy && x.phase(1) != Healthy {
		t.Errorf("after recovery: %v and %v, %d refused", x.phase(0), x.phase(1), x.refused)
	}
	x.play(60_000, 10, false)
	if x.play(1000, 10, false); x.sent[0] != 100 {
		t.Errorf("long after recovery: sent %v", x.sent)
	}
}

// When all tiers are lost and one returns, it takes all the requests it can at once.
func TestSoleReturn(t *testing.T) {
	x := newRig(0.3, 0)
	x.play(1000, 10, false)
	x.boxes[0], x.boxes[1] = 0, 0
	x.play(5000, 10, false)
	if x.refused != 500 {
		t.Errorf("without any box: sent %v", x.sent)
	}
	x.boxes[1] = 6
	if x.play(1000, 10, true); x.sent[1] != 100 {
		t.Errorf("sent %v, want all to the tier that returned", x.sent)
	}
}

// Requests that must not be repeated avoid a tier that is not proven yet, but the tier still
// returns when there are no other requests.
func TestOnceKeepsOff(t *testing.T) {
	x := newRig(0.3, 0)
	x.play(1000, 10, false)
	x.boxes[0] = 0
	x.play(1000, 10, false)
	x.boxes[0] = 6
	x.play(2000, 10, true)
	if x.sent[0] > 3 {
		t.Errorf("%d requests that must not be repeated went to an unproven tier", x.sent[0])
	}
	x.play(60_000, 10, true)
	if x.phase(0) != Healthy {
		t.Errorf("with no other requests the tier is %v after a minute", x.phase(0))
	}
}

// Any number of limiters together give a returning tier the same share of all requests.
func TestSumOverLimiters(t *testing.T) {
	for _, n := range []int{2, 200} {
		all := make([]*rig, n)
		for i := range all {
			all[i] = newRig(0.3, 0)
			all[i].rng = rand.New(rand.NewPCG(7, uint64(i)))
			all[i].play(2000, 10*float64(n), false)
			all[i].boxes[0] = 0
			all[i].play(5000, 10*float64(n), false)
			all[i].boxes[0] = 6
		}
		sent, total := 0, 0
		for _, x := range all {
			x.play(500, 10*float64(n), false)
			sent, total = sent+x.sent[0], total+x.sent[0]+x.sent[1]
		}
		// In addition, each limiter sends one probe per second, however low its traffic.
		if most := initialShare*float64(total)*2 + float64(n); float64(sent) > most {
			t.Errorf("%d limiters: %d of %d requests went to the returning tier", n, sent, total)
		}
	}
}

// Rate is the answer rate of a box in normal service, and does not change when the tier is lost.
func TestRate(t *testing.T) {
	x := newRig(0.3, 0)
	x.play(120_000, 10, false)
	want := 1 / 10.0 / 6
	if r := x.Rate(0); math.Abs(r-want) > 0.1*want {
		t.Errorf("%v answers per millisecond and box, want %v", r, want)
	}
	x.boxes[0] = 0
	if x.play(60_000, 10, false); math.Abs(x.Rate(0)-want) > 0.1*want {
		t.Errorf("while lost: %v, want %v", x.Rate(0), want)
	}
}

// Any sequence of events keeps shares within bounds, and equal sequences give equal results.
func TestAnyOrder(t *testing.T) {
	run := func(seed uint64) string {
		r := rand.New(rand.NewPCG(seed, 3))
		x := New([]float64{0.3, 0, 1, 0}[:1+r.IntN(4)])
		now, out := 0.0, strings.Builder{}
		for range 3000 {
			now += r.ExpFloat64() * 40
			k := r.IntN(x.Len())
			switch r.IntN(6) {
			case 0:
				n := r.IntN(5)
				x.UpdateBoxes(now, k, n, r.IntN(n+1), 0)
			case 1:
				x.Step(now)
			case 2:
				x.Admit(now, k, r.Float64(), r.IntN(2) == 0)
			case 3:
				x.AllowSpill(now, k, 2*r.Float64())
			case 4:
				x.RecordAnswer(now, k, r.IntN(3) > 0, 5*r.Float64())
			case 5:
				x.AllowLastResort(k, false)
			}
			s := x.State(now, k)
			if !(s.Share >= 0 && s.Share <= 1) || math.IsNaN(s.Spilled) || s.Phase == Healthy && s.Share != 1 {
				t.Fatalf("seed %d: %+v", seed, s)
			}
			fmt.Fprint(&out, s)
		}
		return out.String()
	}
	for seed := range uint64(50) {
		if first, second := run(seed), run(seed); first != second {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}
