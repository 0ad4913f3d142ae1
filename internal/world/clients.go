package world

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/service"
	"example.org/madderdrum/limiter"
)

// mix is a 64-bit hash: the finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a hash to a number from 0 to 1.
func unitInterval(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// AccountLimiters returns the limiters that receive the requests of an account: spread consecutive ones,
// starting at first.
func (w *World) AccountLimiters(account uint64) (spread, first int) {
	n, h := len(w.limiters), mix(account^0x5e7)
	least := w.Fleet.Traffic.SpreadMin
	spread = int(math.Ceil((least + (1-least)*unitInterval(h)) * float64(n)))
	return min(n, max(1, spread)), int(mix(h) % uint64(n))
}

// PickLimiter returns the limiter to which the front sends a request of an account at this time.
func (w *World) PickLimiter(account uint64) int { return w.pickLimiter(account) }

// pickLimiter returns the limiter for the next request of an account. The ranking of an account's
// limiters by load changes every Shift, and abruptly by the fault "accounts shift".
func (w *World) pickLimiter(account uint64) int {
	spread, first := w.AccountLimiters(account)
	h := mix(account ^ 0xf207)
	epoch := uint64((w.now + time.Duration(unitInterval(h)*float64(w.Fleet.Traffic.Shift))) / w.Fleet.Traffic.Shift)
	turn := mix(h + epoch)
	for _, s := range w.shifts {
		if unitInterval(mix(h^s.salt)) < s.share {
			turn = mix(turn + s.salt)
		}
	}
	u := w.rng.Float64() * w.rankWeights[spread-1]
	rank := min(spread-1, sort.SearchFloat64s(w.rankWeights[:spread], u))
	for k := range spread { // skips limiters that the front knows to be down
		i := (first + (rank+k+int(turn%uint64(spread)))%spread) % len(w.limiters)
		if l := &w.limiters[i]; l.alive || w.now < l.diedAt+w.Fleet.Network.FrontDetection {
			return i
		}
	}
	return first
}

// startCall starts the request of a client.
func (w *World) startCall(a Arrival) {
	w.lastID++
	call := &Call{Request: service.Request{Account: a.Account, Class: a.Class, Plan: a.Plan, Units: a.Units}, ID: w.lastID,
		Work: a.Work, Deadline: w.now + w.Fleet.Classes[a.Class].Deadline, followsRetryAfter: w.rng.Float64() < w.Fleet.Traffic.RetryAfterShare}
	if w.wayOf != nil {
		call.Way = w.wayOf(call.ID)
	}
	w.Meter.Asked(w.now, &call.Request)
	w.openCalls++
	w.sendTry(call)
}

// sendTry sends a call to a limiter, as first try or as retry.
func (w *World) sendTry(c *Call) {
	w.lastID++
	t := &Try{ID: w.lastID, Call: c, Limiter: w.pickLimiter(c.Account), SentAt: w.now, Retry: c.tries > 0}
	share := w.Fleet.Traffic.MinAttemptShare
	share += (1 - share) * unitInterval(mix(c.Account^0x7125))
	t.ClientDeadline = min(c.Deadline, w.now+time.Duration(share*float64(w.Fleet.Classes[c.Class].Deadline)))
	if c.tries > 0 {
		w.Meter.Retried(&c.Request)
	}
	c.tries++
	w.events.add(event{at: t.ClientDeadline, kind: evGiveUp, payload: t})
	w.emit(ClientSends{t})
}

// TryForwarded records that a limiter completely forwarded a try to a box. Only the first attempt of a try
// counts.
func (w *World) TryForwarded(now time.Duration, t *Try) {
	if !t.forwarded {
		t.forwarded = true
		w.Meter.SentOn(now, &t.Call.Request)
	}
}

// DeliverAnswer delivers an answer to the client of a try; only the first answer counts. advice is the Retry-After
// of a refusal.
func (w *World) DeliverAnswer(now time.Duration, t *Try, kind AnswerKind, advice time.Duration) {
	w.now = max(w.now, now)
	if t.ended {
		return
	}
	t.ended = true
	switch kind {
	case GotServed:
		end := service.InTime
		if now-t.Call.At > w.Fleet.Classes[t.Call.Class].Aim {
			end = service.Late
		}
		w.finishCall(t, end)
	case GotRefused:
		w.retryOrEnd(t, service.Refused, advice)
	case GotBroken:
		t.lastAttemptEnd = "the limiter was gone"
		w.retryOrEnd(t, service.Failed, 0)
	default:
		w.retryOrEnd(t, service.Failed, 0)
	}
}

// minTryTime is the shortest remaining time for which a client retries: no answer could arrive over
// the network in less.
const minTryTime = 20 * time.Millisecond

// retryOrEnd schedules a retry of the client, or ends the call. Clients don't retry an unsafe request
// that may have run.
func (w *World) retryOrEnd(t *Try, end service.End, advice time.Duration) {
	c, traffic := t.Call, w.Fleet.Traffic
	wait := traffic.Backoff
	if c.followsRetryAfter && advice > 0 {
		wait = min(advice, traffic.MaxRetryAfter)
	}
	if c.tries > traffic.Retries || w.now+wait+minTryTime > c.Deadline ||
		end != service.Refused && w.Fleet.Classes[c.Class].Repeat == limiter.Unsafe {
		w.finishCall(t, end)
		return
	}
	w.events.add(event{at: w.now + wait, kind: evRetry, payload: c})
}

// finishCall ends a call with the outcome of its last try.
func (w *World) finishCall(t *Try, end service.End) {
	w.openCalls--
	w.Meter.Ended(&t.Call.Request, end, t.endReason(end))
}

// Attempted records a short description of how the latest attempt of a try ended.
func (t *Try) Attempted(how string) { t.lastAttemptEnd = how }

// endReason describes why a call ended with this try, for reports.
func (t *Try) endReason(end service.End) string {
	room := "beyond the quota"
	if t.Call.Within {
		room = "with room in the quota"
	}
	switch {
	case end == service.Late:
		return "late: answered after the aim"
	case end == service.Refused && t.lastAttemptEnd == "":
		return "refused " + room + ", before an attempt"
	case end == service.Refused:
		return "refused: " + t.lastAttemptEnd
	case end == service.Expired && t.lastAttemptEnd == "":
		return "no answer, no attempt ended"
	case t.lastAttemptEnd == "":
		return "failed, no attempt ended"
	}
	return end.String() + ": " + t.lastAttemptEnd
}

// Drawer draws the properties of a request that its source leaves open, by the shares of the fleet file
// and a seed. It is not safe for concurrent use.
type Drawer struct {
	fleet     *fleet.Fleet
	rng       *rand.Rand
	classes   []float64 // cumulative shares
	plans     []float64
	accounts  []accountRange // by plan
	workNoise []logNormal    // distribution of the work, by class
}

type accountRange struct{ from, n uint64 }

// logNormal holds the parameters of a log-normal distribution.
type logNormal struct{ mu, sigma float64 }

// NewDrawer returns a Drawer for the traffic of a fleet. Accounts are divided among the plans such that
// the average account of each plan uses the same share of its quota.
func NewDrawer(f *fleet.Fleet, seed uint64) *Drawer {
	d := &Drawer{fleet: f, rng: rand.New(rand.NewPCG(seed, 0xd2a))}
	sum := 0.0
	for _, c := range f.Classes {
		sum += c.Share
		d.classes = append(d.classes, sum)
		sigma := math.Sqrt(math.Log(1 + c.Spread*c.Spread))
		d.workNoise = append(d.workNoise, logNormal{-sigma * sigma / 2, sigma})
	}
	weights, all := 0.0, 0.0
	sum = 0
	for _, p := range f.Plans {
		sum += p.Share
		d.plans = append(d.plans, sum)
		all += p.Share / p.Rate
	}
	for _, p := range f.Plans {
		from := uint64(weights / all * float64(f.Traffic.Accounts))
		weights += p.Share / p.Rate
		d.accounts = append(d.accounts, accountRange{from, max(1, uint64(weights/all*float64(f.Traffic.Accounts))-from)})
	}
	return d
}

func (d *Drawer) pickIndex(sums []float64) int {
	return min(len(sums)-1, sort.SearchFloat64s(sums, d.rng.Float64()*sums[len(sums)-1]))
}

// Class draws a class by the classes' shares of requests.
func (d *Drawer) Class() int { return d.pickIndex(d.classes) }

// Plan draws a plan by the plans' shares of requests.
func (d *Drawer) Plan() int { return d.pickIndex(d.plans) }

// PlanOf returns the plan of an account, which depends on the account's number only.
func (d *Drawer) PlanOf(account uint64) int {
	u := unitInterval(mix(account^0x91a)) * d.plans[len(d.plans)-1]
	return min(len(d.plans)-1, sort.SearchFloat64s(d.plans, u))
}

// ClassOf returns the class of an item by a hash of its name, independently of the random state.
func (d *Drawer) ClassOf(name uint64) int {
	u := unitInterval(mix(name^0xc1a)) * d.classes[len(d.classes)-1]
	return min(len(d.classes)-1, sort.SearchFloat64s(d.classes, u))
}

// Account draws an account of a plan; heavy accounts send more requests than others.
func (d *Drawer) Account(plan int) uint64 {
	a, t := d.accounts[plan], d.fleet.Traffic
	heavy := uint64(t.HeavyShare * float64(a.n))
	part := float64(heavy) * t.HeavyFactor
	if u := d.rng.Float64() * (part + float64(a.n-heavy)); u < part {
		return a.from + d.rng.Uint64N(max(1, heavy))
	}
	return a.from + min(a.n-1, heavy+d.rng.Uint64N(max(1, a.n-heavy)))
}

// Work draws the work of a request from the log-normal distribution of its class.
func (d *Drawer) Work(class int) time.Duration {
	c, n := d.fleet.Classes[class], d.workNoise[class]
	return max(10*time.Microsecond, time.Duration(float64(c.Work)*math.Exp(n.mu+n.sigma*d.rng.NormFloat64())))
}

// Synthetic is a source that generates the traffic described in the fleet file.
type Synthetic struct {
	drawer   *Drawer
	rate     float64 // requests per second, including the extra load of heavy accounts
	duration time.Duration
	at       float64 // seconds
}

// NewSynthetic returns a source of traffic of the given length; equal seeds give equal traffic.
func NewSynthetic(f *fleet.Fleet, seed uint64, length time.Duration) *Synthetic {
	t := f.Traffic
	return &Synthetic{drawer: NewDrawer(f, seed), rate: t.Rate * (1 + t.HeavyShare*(t.HeavyFactor-1)), duration: length}
}

// Next returns the next arrival of a Poisson process whose rate follows a slow sine wave.
func (s *Synthetic) Next() (a Arrival, ok bool) {
	traffic := s.drawer.fleet.Traffic
	maxRate := s.rate * (1 + traffic.WaveAmplitude)
	for {
		s.at += s.drawer.rng.ExpFloat64() / maxRate
		rate := s.rate * (1 + traffic.WaveAmplitude*math.Sin(2*math.Pi*s.at/20))
		if s.drawer.rng.Float64()*maxRate < rate {
			break
		}
	}
	if a.At = time.Duration(s.at * float64(time.Second)); a.At >= s.duration {
		return a, false
	}
	a.Plan = s.drawer.Plan()
	a.Account = s.drawer.Account(a.Plan)
	a.Class = s.drawer.Class()
	a.Units = s.drawer.fleet.Classes[a.Class].Units
	a.Work = s.drawer.Work(a.Class)
	return a, true
}

// UntilClosed returns a source that ends when s ends or the channel over is closed.
func UntilClosed(s Source, over <-chan struct{}) Source { return &untilClosed{s, over} }

type untilClosed struct {
	Source
	closed <-chan struct{}
}

func (u *untilClosed) Next() (Arrival, bool) {
	select {
	case <-u.closed:
		return Arrival{}, false
	default:
		return u.Source.Next()
	}
}
