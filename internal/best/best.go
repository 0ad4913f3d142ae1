// Package best compares a run with an upper bound on what any policy could have earned under the same
// traffic and faults, and attributes the difference to causes. Package capacity computes the bound.
package best

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"example.org/madderdrum/capacity"
	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/service"
	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/limiter"
)

// Best is an upper bound on what any policy could have earned under the conditions of a run, with
// knowledge of the future and within the rules, and the shortfall of the run by cause.
type Best struct {
	Total    float64 `json:"total"` // bounds on the values of service.Figure
	Whole    float64 `json:"whole"`
	Worst10s float64 `json:"worst_10s"`
	Plan     float64 `json:"worst_plan"`
	Gap      float64 `json:"gap"`   // possible overestimate of Whole, as a share of it
	Share    float64 `json:"share"` // total of the run relative to the bound
	// Causes add up to the worth requested within quota that the run did not earn.
	Causes  []Cause     `json:"causes"`
	Prices  []float64   `json:"prices"` // marginal worth of a second of work, by step of StepS
	StepS   float64     `json:"step_s"`
	Seconds [][]float64 `json:"lost_by_second"` // lost worth by cause and second
}

// Cause is one reason for lost worth, with the requests and the worth lost to it.
type Cause struct {
	Name     string  `json:"name"`
	Due      bool    `json:"due"` // unavoidable: no policy could have earned it
	Requests int     `json:"requests"`
	Worth    float64 `json:"worth"`
	Share    float64 `json:"share"` // of the worth requested within quota
}

// Names of the causes in reports.
const (
	causeNoCapacity         = "capacity was not there"
	causeQuota              = "the quota was split over limiters"
	causeCeiling            = "the ceiling was split over limiters"
	causePeers              = "peers were not heard yet"
	causeCold               = "cold boxes' allowance was used up"
	causeSpill              = "a bound on spill"
	causeHealthyTakenForIll = "a healthy box was taken for ill"
	causeIllTakenForHealthy = "an ill box was taken for healthy"
	causeUnlisted           = "a healthy box was not listed yet"
	causeBusy               = "every healthy box was busy just then"
	causeIdleBox            = "refused though a box was idle"
	causeLate               = "late or failed at a healthy box"
	causeLimiterGone        = "the limiter was away"
	causeAdvice             = "plug-ins refused it"
	causeBeyondQuota        = "sent on or served beyond the quota"
)

// boundStep is the time step of the upper bound.
const boundStep = 100 * time.Millisecond

// Watcher records the calls, refusals and attempts of a run for the bound and the causes.
type Watcher struct {
	fleet            *fleet.Fleet
	world            *world.World
	calls            []*world.Call
	refusalCause     map[*world.Call]string // cause of the first refusal
	lastAttemptCause map[*world.Call]string // cause to report if the latest attempt fails
}

// NewWatcher returns a Watcher and installs its callbacks in the options of a run that has not started.
func NewWatcher(f *fleet.Fleet, o *virtual.Options) *Watcher {
	x := &Watcher{fleet: f, refusalCause: map[*world.Call]string{}, lastAttemptCause: map[*world.Call]string{}}
	started, seen := o.OnStart, o.OnAction
	o.OnStart = func(w *world.World) {
		x.world = w
		if started != nil {
			started(w)
		}
	}
	o.OnAction = func(now time.Duration, a world.Action) {
		if a, ok := a.(world.ClientSends); ok && !a.Try.Retry {
			x.calls = append(x.calls, a.Try.Call)
		}
		if seen != nil {
			seen(now, a)
		}
	}
	o.OnRefusal = x.recordRefusal
	o.OnAttempt = func(t *world.Try, box int) {
		b := x.world.Boxes[box]
		x.lastAttemptCause[t.Call] = causeLate
		if !b.Healthy() {
			x.lastAttemptCause[t.Call] = causeIllTakenForHealthy
		} else if b.Warmth(x.world.Now()) < 1 {
			x.lastAttemptCause[t.Call] = causeCold
		}
	}
	return x
}

// availabilityReporter is a policy that reports its view of a server.
type availabilityReporter interface {
	Regards(now float64, id uint64, class int) limiter.Availability
}

// recordRefusal determines and records the cause of a refusal from the state of the world at that moment.
func (x *Watcher) recordRefusal(n int, p virtual.Policy, t *world.Try, a limiter.Refuse) {
	if _, have := x.refusalCause[t.Call]; have {
		return
	}
	cause := causeIdleBox
	switch a.Why {
	case limiter.QuotaShort, limiter.AtOnceShort:
		cause = causeQuota
	case limiter.PeersUnheard:
		cause = causePeers
	case limiter.CeilingShort:
		cause = causeCeiling
	case limiter.Advised:
		cause = causeAdvice
	case limiter.AfterAttempts:
		if cause = x.lastAttemptCause[t.Call]; cause == "" {
			cause = causeIdleBox
		}
	default:
		cause = x.noServerCause(n, p, t)
	}
	x.refusalCause[t.Call] = cause
}

// noServerCause returns the reason why no server was found for a try.
func (x *Watcher) noServerCause(n int, p virtual.Policy, t *world.Try) string {
	sees, ok := p.(availabilityReporter)
	counts := map[limiter.Availability]int{}
	spill := true
	for i, b := range x.world.Boxes {
		if !b.Healthy() || !b.Idle() || !x.world.Reaches(n, i) {
			continue
		}
		r := limiter.Usable
		if ok {
			r = sees.Regards(virtual.ClockMs(x.world.Now()), uint64(i+1), t.Call.Class)
		}
		counts[r]++
		if r == limiter.Usable && (len(x.fleet.Tiers) == 0 || x.fleet.Tiers.IndexOf(b.Spec.Room, b.Spec.Labels, x.fleet.Limiters[n].Room) == 0) {
			spill = false
		}
	}
	ill := counts[limiter.MarkedDown] + counts[limiter.Ejected] + counts[limiter.Unresponsive] + counts[limiter.Full]
	switch {
	case counts[limiter.Usable] > 0 && spill:
		return causeSpill
	case counts[limiter.Usable] > 0:
		return causeIdleBox
	case counts[limiter.WarmingUp] > 0:
		return causeCold
	case ill > 0:
		return causeHealthyTakenForIll
	case counts[limiter.Unlisted] > 0:
		return causeUnlisted
	}
	return causeBusy
}

// problem returns the optimization problem of the run; only calls for which counts is true have worth.
func (x *Watcher) problem(s *world.Supply, counts func(*world.Call) bool) *capacity.Problem {
	p := &capacity.Problem{Supply: capacity.Supply{Step: s.Step.Seconds(), Work: s.Work, Core: s.PerCore}}
	accounts := map[uint64]int{}
	for _, c := range x.calls {
		plan, class := &x.fleet.Plans[c.Plan], &x.fleet.Classes[c.Class]
		a, have := accounts[c.Account]
		if !have {
			a = len(p.Quotas)
			accounts[c.Account] = a
			p.Quotas = append(p.Quotas, capacity.Quota{Rate: plan.Rate, Burst: plan.Burst})
		}
		if !counts(c) {
			continue
		}
		p.Needs = append(p.Needs, capacity.Need{At: c.At.Seconds(), Aim: class.Aim.Seconds(), Deadline: class.Deadline.Seconds(), Work: c.Work.Seconds(),
			Worth: c.Worth, Late: class.LateShare, WorthBeyondQuota: c.Worth * (plan.BeyondEarns - plan.OverrunCost), Units: c.Units, Account: a})
	}
	return p
}

// ErrOverBound means that a run earned more than its upper bound, which is a defect of the bound.
var ErrOverBound = errors.New("a run earned more than its upper bound")

// Bound computes the bound and the causes of a finished run. It returns ErrOverBound if the run earned
// more than the bound. If the context ends early, the bound is looser but still valid.
func (x *Watcher) Bound(ctx context.Context, faults []world.Fault, seed uint64, length time.Duration) (*Best, error) {
	m := x.world.Meter
	for _, c := range x.fleet.Classes {
		length = max(length, time.Duration(len(m.Seconds))*time.Second+c.Deadline)
	}
	s := world.MaxSupply(x.fleet, seed, faults, boundStep, length)
	stop := func() bool { return ctx.Err() != nil }
	solve := func(rounds int, counts func(*world.Call) bool) (*capacity.Bound, float64) {
		asked := 0.0
		for _, c := range x.calls {
			if c.Within && counts(c) {
				asked += c.Worth
			}
		}
		return capacity.Solve(x.problem(s, counts), capacity.Options{Rounds: rounds, Stop: stop}), max(1e-12, asked)
	}
	all, asked := solve(0, func(*world.Call) bool { return true })
	b := &Best{Whole: all.Value / asked, Gap: round(all.Gap(), 6), StepS: boundStep.Seconds(), Worst10s: math.Inf(1), Plan: math.Inf(1)}
	// The worst window of any policy is at most the bound of any single window.
	type window struct {
		from   int
		earned float64
	}
	var windows []window
	mean := m.Total.Worth / float64(max(1, len(m.Seconds))) * service.WorstSeconds
	for from := 0; from+service.WorstSeconds <= len(m.Seconds); from++ {
		worth, earned := 0.0, 0.0
		for _, sec := range m.Seconds[from : from+service.WorstSeconds] {
			worth, earned = worth+sec.Worth, earned+sec.Earned
		}
		if worth > mean/10 {
			windows = append(windows, window{from, earned / worth})
		}
	}
	slices.SortFunc(windows, func(a, b window) int { return cmp.Compare(a.earned, b.earned) })
	var tried []int
	for _, w := range windows {
		if len(tried) == 3 {
			break
		}
		if slices.ContainsFunc(tried, func(at int) bool { return max(at-w.from, w.from-at) < 5 }) {
			continue
		}
		tried = append(tried, w.from)
		from := time.Duration(w.from) * time.Second
		bound, asked := solve(25, func(c *world.Call) bool { return c.At >= from && c.At < from+service.WorstSeconds*time.Second })
		b.Worst10s = min(b.Worst10s, bound.Value/asked)
	}
	if math.IsInf(b.Worst10s, 1) {
		b.Worst10s = b.Whole
	}
	for k := range x.fleet.Plans {
		if m.Plans[k].Asked == 0 {
			continue
		}
		bound, asked := solve(25, func(c *world.Call) bool { return c.Plan == k })
		b.Plan = min(b.Plan, bound.Value/asked)
	}
	if math.IsInf(b.Plan, 1) {
		b.Plan = b.Whole
	}
	b.Total = service.WholeWeight*b.Whole + service.WorstWeight*b.Worst10s + service.PlanWeight*b.Plan
	got := m.Figure()
	b.Share = got.Total / b.Total
	x.attributeLosses(b, all.Prices, asked)
	for _, p := range all.Prices {
		b.Prices = append(b.Prices, round(p, 3))
	}
	const rounding = 1e-9
	for name, pair := range map[string][2]float64{"whole": {got.Whole, b.Whole}, "worst 10 s": {got.Worst, b.Worst10s}, "worst plan": {got.Plan, b.Plan}} {
		if pair[0] > pair[1]+rounding {
			return b, fmt.Errorf("%w: %s, %.6f over %.6f", ErrOverBound, name, pair[0], pair[1])
		}
	}
	b.Total, b.Whole, b.Worst10s, b.Plan, b.Share = round(b.Total, 6), round(b.Whole, 6), round(b.Worst10s, 6), round(b.Plan, 6), round(b.Share, 6)
	return b, nil
}

// attributeLosses assigns the lost worth of each request to a cause.
func (x *Watcher) attributeLosses(b *Best, prices []float64, asked float64) {
	type sum struct {
		n     int
		worth float64
	}
	sums, by := map[string]*sum{}, map[string][]float64{}
	for _, c := range x.calls {
		lost, cause := -c.Earned, causeBeyondQuota
		if c.Within {
			if lost += c.Worth; lost <= 1e-12 {
				continue
			}
			cause = x.causeOf(c, prices)
		} else if lost == 0 {
			continue
		}
		if sums[cause] == nil {
			sums[cause], by[cause] = &sum{}, make([]float64, len(x.world.Meter.Seconds))
		}
		sums[cause].n++
		sums[cause].worth += lost
		by[cause][min(len(by[cause])-1, int(c.At/time.Second))] += lost
	}
	names := slices.SortedFunc(maps.Keys(sums), func(p, q string) int {
		return cmp.Or(cmp.Compare(sums[q].worth, sums[p].worth), cmp.Compare(p, q))
	})
	for _, name := range names {
		b.Causes = append(b.Causes, Cause{name, name == causeNoCapacity, sums[name].n, round(sums[name].worth, 3), round(sums[name].worth/asked, 6)})
		for i := range by[name] {
			by[name][i] = round(by[name][i], 3)
		}
		b.Seconds = append(b.Seconds, by[name])
	}
}

// causeOf returns the reason why a request did not earn its worth. It is missing capacity if the work
// of the request cost more, at the prices of the bound, than the request is worth.
func (x *Watcher) causeOf(c *world.Call, prices []float64) string {
	class := &x.fleet.Classes[c.Class]
	from, to := int(c.At/boundStep), min(len(prices)-1, int((c.At+class.Aim)/boundStep))
	cheap := math.Inf(1)
	for k := from; k <= to; k++ {
		cheap = min(cheap, prices[k])
	}
	if c.Work.Seconds()*cheap >= c.Worth*(1-1e-6) {
		return causeNoCapacity
	}
	switch cause := x.refusalCause[c]; {
	case cause != "":
		return cause
	case x.lastAttemptCause[c] != "":
		return x.lastAttemptCause[c]
	}
	return causeLimiterGone
}

// Row is a table row of Write: a run and its bound.
type Row struct {
	Name    string
	Service service.Figure
	Best    *Best
}

// Write writes the bounds and causes of runs as a text table.
func Write(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		b, s := r.Best, r.Service
		fmt.Fprintf(w, "\nthe best possible, %s\ttotal\twhole\tworst 10 s\tworst plan\n", r.Name)
		fmt.Fprintf(w, "  upper bound (too high by %.1f%% at most)\t%.3f\t%.3f\t%.3f\t%.3f\n", 100*b.Gap, b.Total, b.Whole, b.Worst10s, b.Plan)
		fmt.Fprintf(w, "  share of it\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\n", 100*b.Share, 100*s.Whole/b.Whole, 100*s.Worst/b.Worst10s, 100*s.Plan/b.Plan)
		fmt.Fprintf(w, "  worth not earned\trequests\tof what was asked\n")
		for _, c := range b.Causes {
			fmt.Fprintf(w, "    %s\t%d\t%.2f%%\n", c.Text(), c.Requests, 100*c.Share)
		}
	}
	return w.Flush()
}

// Text returns the name of the cause, marked if it is unavoidable.
func (c Cause) Text() string {
	if c.Due {
		return c.Name + " (due)"
	}
	return c.Name
}

func round(x float64, digits int) float64 {
	p := math.Pow10(digits)
	return math.Round(x*p) / p
}
