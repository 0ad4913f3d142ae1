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

// mix scatters a number over all bits (the finaliser of SplitMix64, Steele,
// Lea and Flood, OOPSLA 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit is a number from 0 to 1 by a hash.
func unit(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// Entrance tells through which limiters an account comes: spread in a row from
// first on.
func (w *World) Entrance(account uint64) (spread, first int) {
	n, h := len(w.limiters), mix(account^0x5e7)
	least := w.Fleet.Traffic.SpreadMin
	spread = int(math.Ceil((least + (1-least)*unit(h)) * float64(n)))
	return min(n, max(1, spread)), int(mix(h) % uint64(n))
}

// Pick is the limiter that the front would send an account's request to now.
func (w *World) Pick(account uint64) int { return w.pick(account) }

// pick is the limiter that the front sends an account's next request to. Which
// of its limiters are its busiest changes every Shift, and abruptly by faults.
func (w *World) pick(account uint64) int {
	spread, first := w.Entrance(account)
	h := mix(account ^ 0xf207)
	epoch := uint64((w.now + time.Duration(unit(h)*float64(w.Fleet.Traffic.Shift))) / w.Fleet.Traffic.Shift)
	turn := mix(h + epoch)
	for _, s := range w.salts {
		if unit(mix(h^s.salt)) < s.share {
			turn = mix(turn + s.salt)
		}
	}
	u := w.rng.Float64() * w.cum[spread-1]
	rank := min(spread-1, sort.SearchFloat64s(w.cum[:spread], u))
	for k := range spread { // past those that the front knows to be gone
		i := (first + (rank+k+int(turn%uint64(spread)))%spread) % len(w.limiters)
		if l := &w.limiters[i]; l.alive || w.now < l.diedAt+w.Fleet.Network.FrontNotice {
			return i
		}
	}
	return first
}

// arrive begins a client's request.
func (w *World) arrive(a Arrival) {
	w.ids++
	c := &Call{Request: service.Request{Account: a.Account, Class: a.Class, Plan: a.Plan, Units: a.Units}, ID: w.ids,
		Work: a.Work, Deadline: w.now + w.Fleet.Classes[a.Class].Deadline, heeds: w.rng.Float64() < w.Fleet.Traffic.Heed}
	if w.way != nil {
		c.Way = w.way(c.ID)
	}
	w.Meter.Asked(w.now, &c.Request)
	w.open++
	w.try(c)
}

// try sends a call to a limiter, for the first time or again.
func (w *World) try(c *Call) {
	w.ids++
	t := &Try{ID: w.ids, Call: c, Limiter: w.pick(c.Account), SentAt: w.now, Retry: c.tries > 0}
	share := w.Fleet.Traffic.TryShare
	share += (1 - share) * unit(mix(c.Account^0x7125))
	t.Until = min(c.Deadline, w.now+time.Duration(share*float64(w.Fleet.Classes[c.Class].Deadline)))
	if c.tries > 0 {
		w.Meter.Retried(&c.Request)
	}
	c.tries++
	w.agenda.add(event{at: t.Until, kind: evGiveUp, p: t})
	w.do(ClientSends{t})
}

// SentOn tells that a limiter sent a try on, whole, to some box. Only the first
// time of a try counts.
func (w *World) SentOn(now time.Duration, t *Try) {
	if !t.sentOn {
		t.sentOn = true
		w.Meter.SentOn(now, &t.Call.Request)
	}
}

// Got is what came to the client for a try; of more than one answer the first
// counts. Advice is the time that a refusal told it to stay away.
func (w *World) Got(now time.Duration, t *Try, kind AnswerKind, advice time.Duration) {
	w.now = max(w.now, now)
	if t.over {
		return
	}
	t.over = true
	switch kind {
	case GotServed:
		end := service.InTime
		if now-t.Call.At > w.Fleet.Classes[t.Call.Class].Aim {
			end = service.Late
		}
		w.finish(t, end)
	case GotRefused:
		w.after(t, service.Refused, advice)
	case GotBroken:
		t.last = "the limiter was gone"
		w.after(t, service.Failed, 0)
	default:
		w.after(t, service.Failed, 0)
	}
}

// leastTry is the least time that a client gives a try: one with less left could
// not hear an answer over the network.
const leastTry = 20 * time.Millisecond

// after has the client try again, or ends the call. What may have run and must
// not run twice is not tried again by clients.
func (w *World) after(t *Try, end service.End, advice time.Duration) {
	c, traffic := t.Call, w.Fleet.Traffic
	wait := traffic.Backoff
	if c.heeds && advice > 0 {
		wait = min(advice, traffic.MaxAdvice)
	}
	if c.tries > traffic.Retries || w.now+wait+leastTry > c.Deadline ||
		end != service.Refused && w.Fleet.Classes[c.Class].Repeat == limiter.Unsafe {
		w.finish(t, end)
		return
	}
	w.agenda.add(event{at: w.now + wait, kind: evTry, p: c})
}

// finish ends a call with its last try.
func (w *World) finish(t *Try, end service.End) {
	w.open--
	w.Meter.Ended(&t.Call.Request, end, t.why(end))
}

// Attempted tells how the latest attempt of a try ended, in a word or two.
func (t *Try) Attempted(how string) { t.last = how }

// why is how a call ended with this try, in words.
func (t *Try) why(end service.End) string {
	room := "beyond the quota"
	if t.Call.Within {
		room = "with room in the quota"
	}
	switch {
	case end == service.Late:
		return "late: answered after the aim"
	case end == service.Refused && t.last == "":
		return "refused " + room + ", before an attempt"
	case end == service.Refused:
		return "refused: " + t.last
	case end == service.Expired && t.last == "":
		return "no answer, no attempt ended"
	case t.last == "":
		return "failed, no attempt ended"
	}
	return end.String() + ": " + t.last
}

// Drawer draws what a source does not say of a request from the fleet file's
// shares, by a seed. It is not safe for concurrent use.
type Drawer struct {
	fleet    *fleet.Fleet
	rng      *rand.Rand
	classes  []float64 // summed shares
	plans    []float64
	accounts []span64 // of each plan
	noise    []spread // of the work of each class
}

type span64 struct{ from, n uint64 }

// spread are the parameters of a log-normal distribution.
type spread struct{ mu, sigma float64 }

// NewDrawer returns a Drawer. The accounts are divided among the plans so that
// one uses as large a part of its quota as another.
func NewDrawer(f *fleet.Fleet, seed uint64) *Drawer {
	d := &Drawer{fleet: f, rng: rand.New(rand.NewPCG(seed, 0xd2a))}
	sum := 0.0
	for _, c := range f.Classes {
		sum += c.Share
		d.classes = append(d.classes, sum)
		sigma := math.Sqrt(math.Log(1 + c.Spread*c.Spread))
		d.noise = append(d.noise, spread{-sigma * sigma / 2, sigma})
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
		d.accounts = append(d.accounts, span64{from, max(1, uint64(weights/all*float64(f.Traffic.Accounts))-from)})
	}
	return d
}

func (d *Drawer) among(sums []float64) int {
	return min(len(sums)-1, sort.SearchFloat64s(sums, d.rng.Float64()*sums[len(sums)-1]))
}

// Class draws a class by its share.
func (d *Drawer) Class() int { return d.among(d.classes) }

// Plan draws a plan by its share.
func (d *Drawer) Plan() int { return d.among(d.plans) }

// PlanOf draws the plan of an account, always the same.
func (d *Drawer) PlanOf(account uint64) int {
	u := unit(mix(account^0x91a)) * d.plans[len(d.plans)-1]
	return min(len(d.plans)-1, sort.SearchFloat64s(d.plans, u))
}

// ClassOf draws the class of what has a name, always the same.
func (d *Drawer) ClassOf(name uint64) int {
	u := unit(mix(name^0xc1a)) * d.classes[len(d.classes)-1]
	return min(len(d.classes)-1, sort.SearchFloat64s(d.classes, u))
}

// Account draws one of a plan's accounts: a few of them ask for more.
func (d *Drawer) Account(plan int) uint64 {
	a, t := d.accounts[plan], d.fleet.Traffic
	heavy := uint64(t.Heavy * float64(a.n))
	part := float64(heavy) * t.HeavyX
	if u := d.rng.Float64() * (part + float64(a.n-heavy)); u < part {
		return a.from + d.rng.Uint64N(max(1, heavy))
	}
	return a.from + min(a.n-1, heavy+d.rng.Uint64N(max(1, a.n-heavy)))
}

// Work draws a request's work about the mean of its class.
func (d *Drawer) Work(class int) time.Duration {
	c, n := d.fleet.Classes[class], d.noise[class]
	return max(10*time.Microsecond, time.Duration(float64(c.Work)*math.Exp(n.mu+n.sigma*d.rng.NormFloat64())))
}

// Synthetic is a source of the fleet file's own traffic.
type Synthetic struct {
	draw   *Drawer
	rate   float64 // a second, with what the heavy accounts ask for beyond
	length time.Duration
	at     float64 // seconds
}

// NewSynthetic returns traffic of a length, by a seed.
func NewSynthetic(f *fleet.Fleet, seed uint64, length time.Duration) *Synthetic {
	t := f.Traffic
	return &Synthetic{draw: NewDrawer(f, seed), rate: t.Rate * (1 + t.Heavy*(t.HeavyX-1)), length: length}
}

// Next is the next arrival: a Poisson process whose rate swings in a slow wave.
func (s *Synthetic) Next() (a Arrival, ok bool) {
	t := s.draw.fleet.Traffic
	most := s.rate * (1 + t.Swing)
	for {
		s.at += s.draw.rng.ExpFloat64() / most
		now := s.rate * (1 + t.Swing*math.Sin(2*math.Pi*s.at/20))
		if s.draw.rng.Float64()*most < now {
			break
		}
	}
	if a.At = time.Duration(s.at * float64(time.Second)); a.At >= s.length {
		return a, false
	}
	a.Plan = s.draw.Plan()
	a.Account = s.draw.Account(a.Plan)
	a.Class = s.draw.Class()
	a.Units = s.draw.fleet.Classes[a.Class].Units
	a.Work = s.draw.Work(a.Class)
	return a, true
}

// Until returns a source that ends when a channel is closed, if not before.
func Until(s Source, over <-chan struct{}) Source { return &until{s, over} }

type until struct {
	Source
	over <-chan struct{}
}

func (u *until) Next() (Arrival, bool) {
	select {
	case <-u.over:
		return Arrival{}, false
	default:
		return u.Source.Next()
	}
}
