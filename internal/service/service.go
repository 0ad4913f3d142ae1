// Package service measures service as the users define it: the worth answered
// in time over the worth asked for within the quotas.
//
// A [Meter] is told of what clients ask, of what limiters send on and of how it
// ends, with the time, and keeps sums. It does no I/O and reads no clock, and is
// not safe for concurrent use.
package service

import (
	"math"
	"time"

	"example.org/madderdrum/internal/fleet"
)

// Weights of the parts of the figure, as the brief gives them.
const (
	WholeWeight  = 0.65
	WorstWeight  = 0.20
	PlanWeight   = 0.15
	WorstSeconds = 10 // length of the worst window
)

// End is how a client's request ended, over all its tries.
type End int

// The ends of a request.
const (
	InTime End = iota
	Late       // answered after the aim
	Refused
	Failed
	Expired // no answer while the client waited
	Ends
)

var endNames = [...]string{"in_time", "late", "refused", "failed", "expired"}

func (e End) String() string { return endNames[e] }

// Request is what a client asks for, once for all its tries.
type Request struct {
	Account     uint64
	Class, Plan int
	Units       float64
	At          time.Duration
	Way         int // how it goes, by the driver's own numbers below Ways

	Within     bool    // the quota had room when it was asked
	Worth      float64 // in full
	Over       bool    // it has ended ...
	End        End     // ... so
	Earned     float64 // and earned this, below 0 where it cost more
	sentBeyond bool    // some try was sent on beyond the quota
	sent       bool
}

// Tally is a count of requests by their end, with their worth.
type Tally struct {
	Asked         int
	Within        int // of them inside the quotas
	By            [Ends]int
	RefusedWithin int     // refused with room in the quota
	Worth         float64 // asked for within the quotas
	Earned        float64
	Retries       int // tries after the first
	SentBeyond    int // requests of which a try was sent on beyond the quota
}

// Service is the worth earned over the worth asked for; 1 where nothing was.
func (t *Tally) Service() float64 {
	if t.Worth <= 0 {
		return 1
	}
	return t.Earned / t.Worth
}

// Meter keeps the sums.
type Meter struct {
	fleet      *fleet.Fleet
	accounts   map[uint64]*accountBuckets
	sweptAt    time.Duration
	refillTime time.Duration // an account that idles so long has full buckets

	Why     map[string]int // how requests ended that were not served in time
	Total   Tally
	Classes []Tally
	Plans   []Tally
	Ways    [Ways]Tally
	Seconds []Second
	// Accounts are sums by account, if KeepAccounts was called before the first request.
	Accounts map[uint64]*Tally
}

// KeepAccounts has sums kept for each account, which takes memory for each.
func (m *Meter) KeepAccounts() { m.Accounts = map[uint64]*Tally{} }

// Ways is how many ways of going are told apart.
const Ways = 3

// Second is what was asked for in one second, and what came of it.
type Second struct {
	Asked, Served, Refused, Failed int
	Worth, Earned                  float64
}

// quota is the reference bucket of an account: what it asks for is measured
// against one, what is sent on for it against another of the same size.
type accountBuckets struct {
	askedLevel, sentLevel float64
	askedAt, sentAt       time.Duration
}

// NewMeter returns a Meter for a fleet's classes and plans.
func NewMeter(f *fleet.Fleet) *Meter {
	m := &Meter{fleet: f, accounts: map[uint64]*accountBuckets{}, Why: map[string]int{}, Classes: make([]Tally, len(f.Classes)), Plans: make([]Tally, len(f.Plans))}
	for _, p := range f.Plans {
		m.refillTime = max(m.refillTime, time.Duration(p.Burst/p.Rate*float64(time.Second)))
	}
	return m
}

func (m *Meter) bucketsOf(now time.Duration, r *Request) *accountBuckets {
	q := m.accounts[r.Account]
	if q == nil {
		burst := m.fleet.Plans[r.Plan].Burst
		q = &accountBuckets{askedLevel: burst, sentLevel: burst, askedAt: now, sentAt: now}
		m.accounts[r.Account] = q
	}
	if now-m.sweptAt > 4*m.refillTime { // full buckets need no record
		m.sweptAt = now
		for id, o := range m.accounts {
			if o != q && now-max(o.askedAt, o.sentAt) > m.refillTime {
				delete(m.accounts, id)
			}
		}
	}
	return q
}

// Asked counts a request; it sets Within and Worth.
func (m *Meter) Asked(now time.Duration, r *Request) {
	p, c, q := m.fleet.Plans[r.Plan], m.fleet.Classes[r.Class], m.bucketsOf(now, r)
	q.askedLevel = min(p.Burst, q.askedLevel+p.Rate*(now-q.askedAt).Seconds())
	q.askedAt = now
	r.At, r.Worth = now, c.Worth*p.Price*r.Units
	if r.Within = q.askedLevel >= r.Units; r.Within {
		q.askedLevel -= r.Units
	}
	m.updateTallies(r, func(t *Tally) {
		t.Asked++
		if r.Within {
			t.Within++
			t.Worth += r.Worth
		}
	})
	s := m.second(r.At)
	s.Asked++
	if r.Within {
		s.Worth += r.Worth
	}
}

// Retried counts a further try.
func (m *Meter) Retried(r *Request) { m.updateTallies(r, func(t *Tally) { t.Retries++ }) }

// SentOn counts a try that a limiter sent on for the first time: quotas count
// every try once.
func (m *Meter) SentOn(now time.Duration, r *Request) {
	p, q := m.fleet.Plans[r.Plan], m.bucketsOf(now, r)
	q.sentLevel = min(p.Burst, q.sentLevel+p.Rate*(now-q.sentAt).Seconds())
	q.sentAt = now
	r.sent = true
	if q.sentLevel >= r.Units {
		q.sentLevel -= r.Units
	} else if !r.sentBeyond {
		r.sentBeyond = true
		m.updateTallies(r, func(t *Tally) { t.SentBeyond++ })
	}
}

// Ended counts how a request ended at last, and in words why, where it was not
// served in time.
func (m *Meter) Ended(r *Request, end End, why string) {
	if end != InTime {
		m.Why[why]++
	}
	p, c := m.fleet.Plans[r.Plan], m.fleet.Classes[r.Class]
	earned := 0.0
	switch end {
	case InTime:
		earned = r.Worth
	case Late:
		earned = r.Worth * c.Late
	}
	if r.sentBeyond {
		earned = earned*p.BeyondEarns - r.Worth*p.OverrunCost
	}
	r.Over, r.End, r.Earned = true, end, earned
	m.updateTallies(r, func(t *Tally) {
		t.By[end]++
		t.Earned += earned
		if end == Refused && r.Within {
			t.RefusedWithin++
		}
	})
	s := m.second(r.At)
	s.Earned += earned
	switch end {
	case InTime, Late:
		s.Served++
	case Refused:
		s.Refused++
	default:
		s.Failed++
	}
}

func (m *Meter) updateTallies(r *Request, f func(*Tally)) {
	f(&m.Total)
	f(&m.Classes[r.Class])
	f(&m.Plans[r.Plan])
	f(&m.Ways[r.Way])
	if m.Accounts != nil {
		t := m.Accounts[r.Account]
		if t == nil {
			t = &Tally{}
			m.Accounts[r.Account] = t
		}
		f(t)
	}
}

func (m *Meter) second(at time.Duration) *Second {
	i := int(at / time.Second)
	for len(m.Seconds) <= i {
		m.Seconds = append(m.Seconds, Second{})
	}
	return &m.Seconds[i]
}

// Figure is service with its parts.
type Figure struct {
	Whole     float64
	Worst     float64 // the worst WorstSeconds
	WorstFrom int     // where they begin, in seconds
	Plan      float64 // the worst-served plan
	WorstPlan int
	Total     float64 // by the weights
}

// Figure returns the figure by now. A window counts if a tenth as much as in
// the mean was asked for in it.
func (m *Meter) Figure() Figure {
	f := Figure{Whole: m.Total.Service(), Worst: math.Inf(1), Plan: math.Inf(1)}
	mean := m.Total.Worth / float64(max(1, len(m.Seconds))) * WorstSeconds
	for from := range m.Seconds {
		if from+WorstSeconds > len(m.Seconds) {
			break
		}
		var worth, earned float64
		for _, s := range m.Seconds[from : from+WorstSeconds] {
			worth, earned = worth+s.Worth, earned+s.Earned
		}
		if worth > mean/10 && earned/worth < f.Worst {
			f.Worst, f.WorstFrom = earned/worth, from
		}
	}
	if math.IsInf(f.Worst, 1) { // a short run is its own worst window
		f.Worst = f.Whole
	}
	for i := range m.Plans {
		if s := m.Plans[i].Service(); m.Plans[i].Asked > 0 && s < f.Plan {
			f.Plan, f.WorstPlan = s, i
		}
	}
	if math.IsInf(f.Plan, 1) {
		f.Plan = f.Whole
	}
	f.Total = WholeWeight*f.Whole + WorstWeight*f.Worst + PlanWeight*f.Plan
	return f
}
