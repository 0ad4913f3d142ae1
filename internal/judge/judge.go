// Package judge checks the five rules of a fleet from what is visible outside the limiters: the
// requests and answers of clients, the attempts that arrive at boxes, and the updates from
// discovery. It depends on the rules only, not on the implementation of the limiter.
//
// A [Judge] does no I/O, starts no goroutine and reads no clock: its driver reports each event with
// its time. Reports may be out of order by at most the Slack of the settings. A Judge is not safe
// for concurrent use.
package judge

import (
	"fmt"
	"slices"
	"time"

	"example.org/madderdrum/limiter"
)

// Rule identifies one of the five rules that a fleet of limiters must keep.
type Rule int

// The five rules, and their number.
const (
	OneAnswer    Rule = iota // each accepted request gets one final answer before its deadline and no attempt after it
	NothingTwice             // no request takes effect twice, and at most one attempt is in flight at a time
	DrainsKept               // a box that drains or is gone gets no new request after the grace period
	ColdKept                 // a cold box is not sent more work than it can handle
	CeilingsKept             // the hard ceiling of an account holds over all limiters together
	RuleCount
)

var ruleNames = [...]string{"one final answer", "nothing twice", "drains kept", "cold boxes not pushed over", "ceilings kept"}

func (r Rule) String() string { return ruleNames[r] }

// Class describes when requests of one class may be repeated, and at which boxes.
type Class struct {
	Repeat limiter.Repeat
	Group  limiter.Group
	Window time.Duration
}

// Plan holds the hard ceiling of a plan in units; a CeilingRate of 0 means no ceiling.
type Plan struct{ CeilingRate, CeilingBurst float64 }

// Settings holds the limits that the rules are checked against.
type Settings struct {
	Classes        []Class
	Plans          []Plan
	Attempts       int
	DrainGrace     time.Duration
	FallFactor     float64
	FallFor        time.Duration
	ColdLoadWindow time.Duration // window of Judge.MaxColdLoad; 0: not measured
	ColdLoadLimit  float64
	CeilingSlack   float64       // tolerated excess, as a share of the ceiling
	MaxUnits       float64       // units of the largest request
	MaxDeadline    time.Duration // longest deadline of any class
	// Slack is the largest delay between an event and its report. Every time limit is extended by
	// it, and ceilings by the units that they allow in three times this span (150 ms for 50 ms).
	Slack time.Duration
	// ReorderTolerance is the span within which events of different connections may be reported out of order,
	// such as the end of one attempt and the arrival of the next, or an attempt and an answer.
	// 0 where the driver sees all events in order.
	ReorderTolerance time.Duration
}

// Request is a try that a client sent and a limiter accepted.
type Request struct {
	Try     uint64
	Limiter int
	Account uint64
	Class   int
	Plan    int
	Units   float64
	Until   time.Duration // time at which the client stops waiting
}

// Answer is the kind of a limiter's answer to a client.
type Answer int

// Kinds of answers.
const (
	Served        Answer = iota
	Refused              // the client may safely retry
	Failed               // the request may or may not have run
	WrongResponse        // reported as served, with a response that no box wrote for this request
)

// Verdict is the outcome of an attempt as the boxes know it.
type Verdict int

// Outcomes of an attempt.
const (
	NeverRan   Verdict = iota // rejected, or not completely received
	MayHaveRun                // lost, abandoned, or answered with an error
	WasServed
)

// Breach is one violation of a rule.
type Breach struct {
	At      time.Duration
	Rule    Rule
	Limiter int
	Try     uint64 // 0 if the breach concerns no single try
	Text    string
	// LateAnswer marks an answer that came after Due. A driver in real time may know that the machine
	// caused the delay; see RemoveExcused.
	LateAnswer bool
	// OutOfOrder marks an event at At that had to happen before Due, with a difference of more than
	// Order or Slack of the settings.
	OutOfOrder bool
	Due        time.Duration
}

func (b Breach) String() string {
	return fmt.Sprintf("%.3fs limiter %d: %s: %s", b.At.Seconds(), b.Limiter, b.Rule, b.Text)
}

// maxKeptBreaches limits the breaches of each rule that are stored in full; late answers have a limit
// of their own. All are counted.
const maxKeptBreaches = 100

// Judge holds the tries, attempts, boxes and accounts that the rules are checked on.
type Judge struct {
	settings  Settings
	tries     map[uint64]*try
	pending   []*try // in order of acceptance
	attempts  map[uint64]*attempt
	stopTold  map[[2]int]time.Duration // by limiter and box: when the limiter learned that the box drains or is gone
	dead      map[int]bool             // by limiter
	coldBoxes map[int]*coldWork
	ceilings  map[uint64]*ceiling
	now       time.Duration
	sweptAt   time.Duration

	keptCounts      [RuleCount]int // stored in Breaches, without late answers
	keptLateAnswers int            // late answers stored in Breaches

	// MaxColdLoad is the largest ratio, over all cold boxes, of the work that arrived within ColdLoadWindow (without
	// its largest job) to the work that the box could do in that time. It is measured at each of
	// ColdLoadChecks arrivals; ColdLoadExceeded of them exceeded ColdLoadLimit.
	MaxColdLoad                      float64
	ColdLoadChecks, ColdLoadExceeded int

	Breaches     []Breach
	BreachCounts [RuleCount]int
	CheckCounts  [RuleCount]int // number of times that each rule was checked
}

type try struct {
	Request
	takenAt       time.Duration
	driverTiming  *DriverTiming // as measured by the driver; nil: not measured
	answered      bool
	answeredAt    time.Duration
	limiterKilled bool // its limiter was killed
	clientLeft    bool // its client disconnected before Until
	attemptCount  int  // attempts that arrived at a box
	openAttempts  int
	executions    int // executions
	served        bool
	mayHaveRun    bool // an earlier attempt may have run
	mayHaveRunAt  time.Duration
	mayHaveRunBox Box
	newestAttempt *attempt
	firstByteAt   time.Duration // when the first byte of its newest attempt was sent
}

// Box identifies the box of an attempt, with its pod and room for the scope of keyed requests.
type Box struct{ ID, Pod, Room int }

type attempt struct {
	try       *try
	box       Box
	arrivedAt time.Duration
	// overlapped is set when another attempt of the try arrived while this one was in flight, first at
	// overlapAt. The overlap may turn out to be only an inexact order of reports.
	overlapped bool
	overlapAt  time.Duration
}

// coldWork is the work sent to one cold box during the last OverloadDuration.
type coldWork struct {
	arrivedAt   []time.Duration
	amounts     []time.Duration
	sum         time.Duration
	reported    bool // the current overload has been recorded as a breach
	windowStart int  // index of the first arrival within ColdLoadWindow
}

// ceiling holds two token buckets of an account, because the tolerance is a share of the ceiling or
// one largest request, whichever is more.
type ceiling struct {
	updatedAt                  time.Duration
	shareBucket, requestBucket float64
}

// New returns a Judge without any recorded events.
func New(s Settings) *Judge {
	return &Judge{settings: s, tries: map[uint64]*try{}, attempts: map[uint64]*attempt{}, stopTold: map[[2]int]time.Duration{},
		dead: map[int]bool{}, coldBoxes: map[int]*coldWork{}, ceilings: map[uint64]*ceiling{}}
}

// BreachCount returns the number of breaches of all rules.
func (j *Judge) BreachCount() int {
	n := 0
	for _, c := range j.BreachCounts {
		n += c
	}
	return n
}

func (j *Judge) recordBreach(at time.Duration, rule Rule, limiter int, try uint64, format string, args ...any) {
	j.record(Breach{At: at, Rule: rule, Limiter: limiter, Try: try, Text: fmt.Sprintf(format, args...)}, &j.keptCounts[rule])
}

// recordOutOfOrder records an event of a try at time at that had to happen before due.
func (j *Judge) recordOutOfOrder(t *try, at, due time.Duration, rule Rule, text string) {
	j.record(Breach{At: at, Rule: rule, Limiter: t.Limiter, Try: t.Try, OutOfOrder: true, Due: due,
		Text: fmt.Sprintf("%s (%v too late)", text, at-due)}, &j.keptCounts[rule])
}

// record counts a breach, and stores it if fewer than maxKeptBreaches of its kind are stored.
func (j *Judge) record(b Breach, kept *int) {
	j.BreachCounts[b.Rule]++
	if *kept < maxKeptBreaches {
		*kept++
		j.Breaches = append(j.Breaches, b)
	}
}

// RemoveExcused removes and returns the stored breaches for which wrongly returns true, because the driver
// found that it reported their times incorrectly.
func (j *Judge) RemoveExcused(wrongly func(Breach) bool) (excused []Breach) {
	j.Breaches = slices.DeleteFunc(j.Breaches, func(b Breach) bool {
		if !wrongly(b) {
			return false
		}
		j.BreachCounts[b.Rule]--
		excused = append(excused, b)
		return true
	})
	return excused
}

// ---- Clients ----

// RequestAccepted records that a limiter accepted a try.
func (j *Judge) RequestAccepted(now time.Duration, r Request) {
	j.advanceClock(now)
	t := &try{Request: r, takenAt: now}
	j.tries[r.Try] = t
	j.pending = append(j.pending, t)
	j.CheckCounts[OneAnswer]++
}

// DriverTiming holds the times that a driver in real time measured around a try, so that its own delays
// are not attributed to the limiter.
type DriverTiming struct {
	WrittenAt    time.Duration // when the request was completely written
	Remaining    time.Duration // remaining time of the client, as sent with the request
	AnswerReadAt time.Duration // when the answer was read, before the driver waited for anything else
}

// deadline is the end of the time that the request granted the limiter. It is later than Until by
// the time that the driver took between reading the clock and writing the request.
func (c DriverTiming) deadline() time.Duration { return c.WrittenAt + c.Remaining }

// AnsweredWithTiming is Answered with the times that the driver measured for request and answer.
func (j *Judge) AnsweredWithTiming(now time.Duration, id uint64, a Answer, c DriverTiming) {
	if t := j.tries[id]; t != nil && !t.answered {
		t.Until = max(t.Until, c.deadline())
		t.driverTiming = &c
	}
	j.Answered(now, id, a)
}

// Answered records the final answer of a limiter and checks it against the attempts of the try.
func (j *Judge) Answered(now time.Duration, id uint64, a Answer) {
	j.advanceClock(now)
	t := j.tries[id]
	if t == nil {
		j.recordBreach(now, OneAnswer, -1, id, "an answer to a request that nobody asked, or long ago")
		return
	}
	arrived := now
	if t.driverTiming != nil {
		arrived = min(now, t.driverTiming.AnswerReadAt)
	}
	switch {
	case t.answered:
		j.recordBreach(now, OneAnswer, t.Limiter, id, "answered a second time")
		return
	case arrived > t.Until+j.settings.Slack && !t.clientLeft:
		// Late answers have a limit of their own so that they don't displace other breaches.
		j.record(Breach{At: arrived, Rule: OneAnswer, Limiter: t.Limiter, Try: id, LateAnswer: true, Due: t.Until,
			Text: fmt.Sprintf("answered %v after the client gave up", arrived-t.Until)}, &j.keptLateAnswers)
	}
	t.answered, t.answeredAt = true, now
	class := j.settings.Classes[t.Class]
	switch a {
	case Served:
		if !t.served {
			j.recordBreach(now, OneAnswer, t.Limiter, id, "served with no answer of a box")
		}
	case WrongResponse:
		j.recordBreach(now, OneAnswer, t.Limiter, id, "served with what no box made for it")
	case Refused:
		if (t.mayHaveRun || t.openAttempts > 0) && (class.Repeat == limiter.Unsafe || class.Repeat == limiter.Keyed && class.Group != limiter.GroupAll) {
			j.recordBreach(now, NothingTwice, t.Limiter, id, "refused as harmless to try again, but an attempt may have run")
		}
	}
}

// ClientDisconnected records that a client disconnected before its deadline. No answer to it is required any
// more.
func (j *Judge) ClientDisconnected(now time.Duration, id uint64) {
	j.advanceClock(now)
	if t := j.tries[id]; t != nil && now < t.Until {
		t.clientLeft = true
	}
}

// WithdrawRequest cancels a RequestAccepted: the try did not reach a limiter.
func (j *Judge) WithdrawRequest(id uint64) {
	if t := j.tries[id]; t != nil {
		t.clientLeft = true
	}
}

// ---- Limiters ----

// LimiterKilled records that a limiter was killed. It owes no answer to its open tries; clients retry them.
func (j *Judge) LimiterKilled(now time.Duration, limiter int) {
	j.advanceClock(now)
	for _, t := range j.pending {
		if t.Limiter == limiter && !t.answered {
			t.limiterKilled = true
		}
	}
	for k := range j.stopTold {
		if k[0] == limiter {
			delete(j.stopTold, k)
		}
	}
}

// BoxStateReported records the state of a box that discovery reported to a limiter: wants is true if the box
// accepts new requests, and false if it drains or is gone.
func (j *Judge) BoxStateReported(now time.Duration, limiter, box int, wants bool) {
	j.advanceClock(now)
	k := [2]int{limiter, box}
	if wants {
		delete(j.stopTold, k)
	} else if _, have := j.stopTold[k]; !have {
		j.stopTold[k] = now
	}
}

// chargeCeiling takes the units of a try from the ceiling of its account.
func (j *Judge) chargeCeiling(now time.Duration, t *try) {
	plan := j.settings.Plans[t.Plan]
	if plan.CeilingRate <= 0 {
		return
	}
	j.CheckCounts[CeilingsKept]++
	delayUnits := plan.CeilingRate * 3 * j.settings.Slack.Seconds()
	shareBurst, requestBurst := plan.CeilingBurst*(1+j.settings.CeilingSlack)+delayUnits, plan.CeilingBurst+j.settings.MaxUnits+delayUnits
	c := j.ceilings[t.Account]
	if c == nil {
		c = &ceiling{updatedAt: now, shareBucket: shareBurst, requestBucket: requestBurst}
		j.ceilings[t.Account] = c
	}
	elapsed := max(0, now-c.updatedAt).Seconds()
	c.updatedAt = max(c.updatedAt, now)
	c.shareBucket = min(shareBurst, c.shareBucket+elapsed*plan.CeilingRate*(1+j.settings.CeilingSlack)) - t.Units
	c.requestBucket = min(requestBurst, c.requestBucket+elapsed*plan.CeilingRate) - t.Units
	if c.shareBucket < -1e-9 && c.requestBucket < -1e-9 {
		j.recordBreach(now, CeilingsKept, t.Limiter, t.Try, "account %d is %.1f units over its ceiling", t.Account, -max(c.shareBucket, c.requestBucket))
		c.shareBucket, c.requestBucket = max(c.shareBucket, 0), max(c.requestBucket, 0) // each excess unit is reported once
	}
}

// UnitsGranted records units that were granted for a request that no box of this fleet receives. They count
// against the ceiling of the account like those of a forwarded request.
func (j *Judge) UnitsGranted(now time.Duration, r Request) {
	j.advanceClock(now)
	j.chargeCeiling(now, &try{Request: r})
}

// advanceClock removes old tries, after a check that they were answered, and idle ceilings.
func (j *Judge) advanceClock(now time.Duration) {
	j.now = max(j.now, now)
	if j.now < j.sweptAt+time.Second {
		return
	}
	j.sweptAt = j.now
	expired := 0
	for expired < len(j.pending) && j.pending[expired].takenAt < j.now-2*j.settings.MaxDeadline-5*time.Second && j.pending[expired].openAttempts <= 0 {
		j.checkAnswered(j.pending[expired])
		delete(j.tries, j.pending[expired].Try)
		j.pending[expired] = nil
		expired++
	}
	j.pending = j.pending[expired:]
	for id, c := range j.ceilings { // the buckets are full again, as those of a new entry
		if j.now-c.updatedAt > time.Minute {
			delete(j.ceilings, id)
		}
	}
}

// checkAnswered checks that a try whose time is over got its answer.
func (j *Judge) checkAnswered(t *try) {
	if a := t.newestAttempt; a != nil && t.openAttempts > 1 && j.settings.ReorderTolerance > 0 {
		j.recordBreach(a.arrivedAt, NothingTwice, t.Limiter, t.Try, "two attempts out at once")
	}
	if !t.answered && !t.limiterKilled && !t.clientLeft && j.now > t.Until+j.settings.Slack {
		j.recordBreach(t.Until, OneAnswer, t.Limiter, t.Try, "no final answer while the client waited")
	}
}

// Close ends the run and checks that every accepted try whose deadline has passed was answered.
func (j *Judge) Close(now time.Duration) {
	j.now = max(j.now, now)
	for _, t := range j.pending {
		j.checkAnswered(t)
	}
	j.pending = nil
}
