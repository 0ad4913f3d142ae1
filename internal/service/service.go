// Package service computes the service level: the worth earned by responses over the worth of the
// requests within their quotas.
//
// A [Meter] receives the requests of clients, the attempts that limiters forward and the outcomes,
// with their times, and keeps sums. It does no I/O, reads no clock, and is not safe for concurrent
// use.
package service

import (
	"math"
	"time"

	"example.org/madderdrum/internal/fleet"
)

// The weights of the parts of [Figure.Total], from the requirements.
const (
	WholeWeight  = 0.65
	WorstWeight  = 0.20
	PlanWeight   = 0.15
	WorstSeconds = 10 // length of the window for the worst period
)

// End is the outcome of a client's request over all its attempts.
type End int

// The outcomes of a request.
const (
	InTime End = iota
	Late       // response after the latency objective
	Refused
	Failed
	Expired // no response before the client's timeout
	Ends    // the number of outcomes
)

var endNames = [...]string{"in_time", "late", "refused", "failed", "expired"}

func (e End) String() string { return endNames[e] }

// Request is a client's request, shared by all its attempts.
type Request struct {
	Account     uint64
	Class, Plan int
	Units       float64
	At          time.Duration
	Way         int // how the request enters the system, numbered by the caller, less than Ways

	Within     bool    // within the quota on arrival
	Worth      float64 // for a response in time
	Over       bool    // it has ended, with outcome End
	End        End
	Earned     float64 // worth earned, negative if it cost more
	sentBeyond bool    // an attempt was forwarded beyond the quota
	sent       bool
}

// Tally counts requests by outcome, with their worth.
type Tally struct {
	Asked         int
	Within        int // requests within the quotas
	By            [Ends]int
	RefusedWithin int     // refused although within the quota
	Worth         float64 // of the requests within the quotas
	Earned        float64
	Retries       int // attempts after the first
	SentBeyond    int // requests with an attempt forwarded beyond the quota
}

// Service returns the worth earned over the worth requested, or 1 if nothing was requested.
func (t *Tally) Service() float64 {
	if t.Worth <= 0 {
		return 1
	}
	return t.Earned / t.Worth
}

// Meter accumulates tallies of a run, in total and by class, plan, way, second and optionally account.
type Meter struct {
	fleet      *fleet.Fleet
	accounts   map[uint64]*accountBuckets
	sweptAt    time.Duration
	refillTime time.Duration // time after which every bucket of an idle account is full

	Why     map[string]int // counts of requests that were not served in time, by reason
	Total   Tally
	Classes []Tally
	Plans   []Tally
	Ways    [Ways]Tally
	Seconds []Second
	// Accounts are tallies by account, if KeepAccounts was called before the first request.
	Accounts map[uint64]*Tally
}

// KeepAccounts enables tallies by account, which need memory for each account.
func (m *Meter) KeepAccounts() { m.Accounts = map[uint64]*Tally{} }

// Ways is the number of values of [Request.Way].
const Ways = 3

// Second counts the requests that arrived in one second, by outcome.
type Second struct {
	Asked, Served, Refused, Failed int
	Worth, Earned                  float64
}

// accountBuckets are the reference token buckets of an account: one for the requests of its
// clients and another of the same size for the attempts that limiters forward.
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
	if now-m.sweptAt > 4*m.refillTime { // accounts with full buckets need no entry
		m.sweptAt = now
		for id, o := range m.accounts {
			if o != q && now-max(o.askedAt, o.sentAt) > m.refillTime {
				delete(m.accounts, id)
			}
		}
	}
	return q
}

// Asked records the arrival of a request and sets its fields At, Within and Worth.
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

// Retried counts a retry.
func (m *Meter) Retried(r *Request) { m.updateTallies(r, func(t *Tally) { t.Retries++ }) }

// SentOn records the first time that a limiter forwards an attempt of a client: quotas count each
// of a client's attempts once.
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

// Ended records the final outcome of a request, and the reason if it was not served in time.
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
		earned = r.Worth * c.LateShare
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

// Figure is the service level with its parts.
type Figure struct {
	Whole     float64
	Worst     float64 // service in the worst window of WorstSeconds
	WorstFrom int     // start of that window, in seconds
	Plan      float64 // service of the plan that is served worst
	WorstPlan int
	Total     float64 // weighted sum of Whole, Worst and Plan
}

// Figure returns the service level so far. A window counts only if the worth requested in it is
// above a tenth of the mean.
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
	if math.IsInf(f.Worst, 1) { // the run is too short for a window
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
