package judge

import (
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/limiter"
)

const ms = time.Millisecond

func settings() Settings {
	return Settings{Classes: []Class{{Repeat: limiter.Safe}, {Repeat: limiter.Keyed, Group: limiter.GroupCell, Window: time.Second}, {Repeat: limiter.Unsafe}},
		Plans: []Plan{{}, {CeilingRate: 10, CeilingBurst: 20}}, Attempts: 3, DrainGrace: 500 * ms, FallFactor: 3, FallFor: 1500 * ms,
		CeilingSlack: 0.1, MaxUnits: 4, MaxDeadline: 4 * time.Second, Slack: 8 * ms}
}

// step reports one event to a judge.
type step func(*Judge)

func taken(at time.Duration, id uint64, class, plan int, units float64) step {
	return func(j *Judge) {
		j.RequestAccepted(at, Request{Try: id, Class: class, Plan: plan, Units: units, Until: at + time.Second})
	}
}

// sent reports an attempt that arrives at a box of a pod.
func sent(at time.Duration, attempt, id uint64, box, pod int) step {
	return func(j *Judge) {
		j.AttemptStarted(at, id, Box{ID: box, Pod: pod})
		j.AttemptArrived(at, attempt, id, Box{ID: box, Pod: pod}, 10*ms, 2, false)
	}
}

func ended(at time.Duration, attempt uint64, v Verdict) step {
	return func(j *Judge) { j.AttemptEnded(at, attempt, v) }
}

func answered(at time.Duration, id uint64, a Answer) step {
	return func(j *Judge) { j.Answered(at, id, a) }
}

// carried reports an answer with the times that a driver in real time measured. The driver wrote the
// request 400 ms before the deadline that the request gave the limiter.
func carried(at time.Duration, id uint64, due, arrived time.Duration) step {
	const left = 400 * ms
	return func(j *Judge) {
		j.AnsweredWithTiming(at, id, Refused, DriverTiming{WrittenAt: due - left, Remaining: left, AnswerReadAt: arrived})
	}
}

func TestRules(t *testing.T) {
	for _, c := range []struct {
		name  string
		rule  Rule
		want  string // empty: no breach
		steps []step
	}{
		{"served", 0, "", []step{taken(0, 1, 2, 0, 1), sent(0, 1, 1, 0, 0), ended(9*ms, 1, WasServed), answered(10*ms, 1, Served)}},
		{"refused without an attempt", 0, "", []step{taken(0, 1, 2, 0, 1), answered(1*ms, 1, Refused)}},
		{"failed after a loss", 0, "", []step{taken(0, 1, 2, 0, 1), sent(0, 1, 1, 0, 0), ended(9*ms, 1, MayHaveRun), answered(10*ms, 1, Failed)}},
		{"unsafe again after it was turned away", 0, "", []step{taken(0, 1, 2, 0, 1), sent(0, 1, 1, 0, 0), ended(9*ms, 1, NeverRan),
			sent(10*ms, 2, 1, 1, 1), ended(19*ms, 2, WasServed), answered(20*ms, 1, Served)}},
		{"safe again after a loss", 0, "", []step{taken(0, 1, 0, 0, 1), sent(0, 1, 1, 0, 0), ended(9*ms, 1, MayHaveRun),
			sent(10*ms, 2, 1, 1, 1), ended(19*ms, 2, WasServed), answered(20*ms, 1, Served)}},
		{"keyed again in its pod", 0, "", []step{taken(0, 1, 1, 0, 1), sent(0, 1, 1, 0, 4), ended(9*ms, 1, MayHaveRun),
			sent(900*ms, 2, 1, 1, 4), ended(950*ms, 2, WasServed), answered(960*ms, 1, Served)}},
		{"its limiter was killed", 0, "", []step{taken(0, 1, 2, 0, 1), func(j *Judge) { j.LimiterKilled(5*ms, 0) }}},
		{"its client left", 0, "", []step{taken(0, 1, 2, 0, 1), func(j *Judge) { j.ClientDisconnected(5*ms, 1) }}},

		{"no answer", OneAnswer, "no final answer", []step{taken(0, 1, 0, 0, 1)}},
		{"two answers", OneAnswer, "second time", []step{taken(0, 1, 0, 0, 1), answered(1*ms, 1, Refused), answered(2*ms, 1, Refused)}},
		{"late", OneAnswer, "after the client gave up", []step{taken(0, 1, 0, 0, 1), answered(1009*ms, 1, Refused)}},
		{"asked late by its driver", 0, "", []step{taken(0, 1, 0, 0, 1), carried(1308*ms, 1, 1300*ms, 1308*ms)}},
		{"asked late, and later", OneAnswer, "answered 9ms after", []step{taken(0, 1, 0, 0, 1), carried(1309*ms, 1, 1300*ms, 1309*ms)}},
		{"asked in time, and late", OneAnswer, "answered 9ms after", []step{taken(0, 1, 0, 0, 1), carried(1009*ms, 1, 900*ms, 1009*ms)}},
		{"told late by its driver", 0, "", []step{taken(0, 1, 0, 0, 1), carried(1400*ms, 1, 1000*ms, 1008*ms)}},
		{"told before it came", OneAnswer, "answered 9ms after", []step{taken(0, 1, 0, 0, 1), carried(1009*ms, 1, 1000*ms, 2000*ms)}},
		{"told late, two answers", OneAnswer, "second time", []step{taken(0, 1, 0, 0, 1), carried(1400*ms, 1, 1000*ms, 1008*ms), answered(1401*ms, 1, Refused)}},
		{"made up", OneAnswer, "no answer of a box", []step{taken(0, 1, 0, 0, 1), answered(9*ms, 1, Served)}},
		{"another's answer", OneAnswer, "no box made", []step{taken(0, 1, 0, 0, 1), sent(0, 1, 1, 0, 0), ended(1*ms, 1, WasServed), answered(9*ms, 1, WrongResponse)}},
		{"sent after its answer", OneAnswer, "after its final answer", []step{taken(0, 1, 0, 0, 1), answered(1*ms, 1, Refused), sent(2*ms, 1, 1, 0, 0)}},
		{"sent for nobody", OneAnswer, "nobody asked", []step{sent(2*ms, 1, 9, 0, 0)}},

		{"two at once", NothingTwice, "out at once", []step{taken(0, 1, 0, 0, 1), sent(0, 1, 1, 0, 0), sent(1*ms, 2, 1, 1, 0)}},
		{"unsafe again", NothingTwice, "unsafe and sent again", []step{taken(0, 1, 2, 0, 1), sent(0, 1, 1, 0, 0), ended(9*ms, 1, MayHaveRun), sent(10*ms, 2, 1, 1, 0)}},
		{"unsafe refused after a loss", NothingTwice, "refused as harmless", []step{taken(0, 1, 2, 0, 1), sent(0, 1, 1, 0, 0), ended(9*ms, 1, MayHaveRun), answered(10*ms, 1, Refused)}},
		{"keyed to another pod", NothingTwice, "don't know its key", []step{taken(0, 1, 1, 0, 1), sent(0, 1, 1, 0, 4), ended(9*ms, 1, MayHaveRun), sent(10*ms, 2, 1, 1, 5)}},
		{"keyed after the window", NothingTwice, "no longer dropped", []step{taken(0, 1, 1, 0, 1), sent(0, 1, 1, 0, 4), ended(9*ms, 1, MayHaveRun), sent(1009*ms, 2, 1, 1, 4)}},
		{"a fourth attempt", NothingTwice, "attempt 4 of 3", []step{taken(0, 1, 0, 0, 1), sent(0, 1, 1, 0, 0), ended(1*ms, 1, NeverRan), sent(2*ms, 2, 1, 0, 0), ended(3*ms, 2, NeverRan),
			sent(4*ms, 3, 1, 0, 0), ended(5*ms, 3, NeverRan), sent(6*ms, 4, 1, 0, 0)}},
		{"ran twice", NothingTwice, "took effect a second time", []step{taken(0, 1, 2, 0, 1), sent(0, 1, 1, 0, 0), func(j *Judge) { j.AttemptExecuted(1, 1); j.AttemptExecuted(2, 1) }}},

		{"in the grace", 0, "", []step{func(j *Judge) { j.BoxStateReported(0, 0, 7, false) }, taken(400*ms, 1, 0, 0, 1), sent(500*ms, 1, 1, 7, 0), ended(501*ms, 1, WasServed), answered(502*ms, 1, Served)}},
		{"back in the list", 0, "", []step{func(j *Judge) { j.BoxStateReported(0, 0, 7, false); j.BoxStateReported(1, 0, 7, true) }, taken(900*ms, 1, 0, 0, 1), sent(900*ms, 1, 1, 7, 0), ended(901*ms, 1, WasServed), answered(902*ms, 1, Served)}},
		{"to a drained box", DrainsKept, "drains or is gone", []step{func(j *Judge) { j.BoxStateReported(0, 0, 7, false); j.BoxStateReported(400*ms, 0, 7, false) }, taken(400*ms, 1, 0, 0, 1), sent(509*ms, 1, 1, 7, 0)}},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			j := New(settings())
			for _, s := range c.steps {
				s(j)
			}
			j.Close(time.Minute)
			switch {
			case c.want == "" && j.BreachCount() > 0:
				t.Errorf("breaches %v", j.Breaches)
			case c.want != "" && (len(j.Breaches) == 0 || j.Breaches[0].Rule != c.rule || !strings.Contains(j.Breaches[0].Text, c.want)):
				t.Errorf("breaches %v, want %q", j.Breaches, c.want)
			}
		})
	}
}

// A ceiling of 10 units per second with a burst of 20 admits 24 at once, which is one largest request
// above the burst, and the excess does not accumulate over ten seconds of full use.
func TestCeiling(t *testing.T) {
	j := New(settings())
	id := uint64(0)
	spend := func(at time.Duration, n int) {
		for range n {
			id++
			taken(at, id, 0, 1, 1)(j)
			sent(at, id, id, 0, 0)(j)
			ended(at, id, WasServed)(j)
			answered(at, id, Served)(j)
		}
	}
	spend(0, 24)
	for at := 100 * ms; at <= 10*time.Second; at += 100 * ms {
		spend(at, 1)
	}
	if j.BreachCount() > 0 {
		t.Fatalf("within the slack: %v", j.Breaches)
	}
	spend(10*time.Second, 9) // the tolerance of a share of the ceiling admits 8 more
	if j.BreachCounts[CeilingsKept] != 1 {
		t.Errorf("breaches %v", j.Breaches)
	}
	spend(20*time.Second, 10)
	if j.BreachCounts[CeilingsKept] != 1 {
		t.Errorf("after ten seconds of rest: %v", j.Breaches)
	}
}

// A cold box with a capacity of 0.5 s of work per second may be sent 2.25 s of work in 1.5 s.
func TestCold(t *testing.T) {
	j := New(settings())
	push := func(at, work time.Duration, cold bool) {
		j.AttemptArrived(at, 1, 0, Box{ID: 3}, work, 0.5, cold)
	}
	push(0, 2*time.Second, true)
	push(1400*ms, 200*ms, true)
	push(1600*ms, 2*time.Second, true) // the first arrival is outside the window
	if j.BreachCounts[ColdKept] != 0 {
		t.Fatalf("breaches %v", j.Breaches)
	}
	push(1700*ms, 100*ms, true)
	push(1701*ms, 100*ms, true) // part of the same overload
	if j.BreachCounts[ColdKept] != 1 {
		t.Errorf("breaches %v", j.Breaches)
	}
	push(1702*ms, 9*time.Second, false) // a warm box is not limited
	j.BoxCrashed(1703*ms, 3)
	if j.BreachCounts[ColdKept] != 2 {
		t.Errorf("breaches %v", j.Breaches)
	}
}

// Finished tries are removed, so that the memory of a long run stays bounded.
func TestForgets(t *testing.T) {
	j := New(settings())
	for i := range 100_000 {
		at, id := time.Duration(i)*10*ms, uint64(i+1)
		j.RequestAccepted(at, Request{Try: id, Account: id, Plan: 1, Units: 1, Until: at + time.Second})
		sent(at, id, id, 0, 0)(j)
		ended(at, id, WasServed)(j)
		answered(at, id, Served)(j)
	}
	if len(j.tries) > 2000 || len(j.attempts) > 0 || len(j.ceilings) > 10_000 || j.BreachCount() > 0 {
		t.Errorf("%d tries, %d attempts, %d accounts kept; %v", len(j.tries), len(j.attempts), len(j.ceilings), j.Breaches)
	}
}

// With an inexact order of reports, an attempt whose end is reported shortly after the arrival of the
// next does not count as overlapping; one that stays in flight does.
func TestOrder(t *testing.T) {
	set := settings()
	set.ReorderTolerance = 50 * ms
	for _, c := range []struct {
		name  string
		class int
		ended time.Duration // of the first attempt
		v     Verdict
		want  string
	}{
		{"told late", 0, 30 * ms, MayHaveRun, ""},
		{"out at once", 0, 90 * ms, MayHaveRun, "out at once"},
		{"unsafe, told late", 2, 30 * ms, MayHaveRun, "unsafe and sent again"},
		{"unsafe, turned away", 2, 30 * ms, NeverRan, ""},
		{"keyed, to another pod", 1, 30 * ms, MayHaveRun, "don't know its key"},
	} {
		j := New(set)
		taken(0, 1, c.class, 0, 1)(j)
		sent(1*ms, 1, 1, 0, 0)(j)
		sent(10*ms, 2, 1, 1, 1)(j)
		ended(c.ended, 1, c.v)(j)
		ended(95*ms, 2, WasServed)(j)
		answered(96*ms, 1, Served)(j)
		j.Close(time.Minute)
		if c.want == "" && j.BreachCount() > 0 || c.want != "" && (len(j.Breaches) == 0 || !strings.Contains(j.Breaches[0].Text, c.want)) {
			t.Errorf("%s: %v", c.name, j.Breaches)
		}
	}
	j := New(set)
	taken(0, 1, 0, 0, 1)(j)
	sent(1*ms, 1, 1, 0, 0)(j)
	sent(10*ms, 2, 1, 1, 1)(j)
	answered(96*ms, 1, Refused)(j)
	if j.Close(time.Minute); j.BreachCounts[NothingTwice] != 1 {
		t.Errorf("two that never end: %v", j.Breaches)
	}
}

// A breach of order carries the time by which the event was due, and is judged by the time of an
// attempt's first byte, not by the time of its report.
func TestOutOfOrder(t *testing.T) {
	set := settings()
	set.ReorderTolerance = 50 * ms
	const keyed = 1
	window := set.Classes[keyed].Window
	// twice makes a first attempt, and a second one whose first byte is sent at first and reported at told.
	twice := func(class int, end, first, told time.Duration) []step {
		return []step{taken(0, 1, class, 0, 1), sent(1*ms, 1, 1, 0, 0), ended(end, 1, MayHaveRun),
			func(j *Judge) { j.AttemptStarted(first, 1, Box{ID: 1}) },
			func(j *Judge) { j.AttemptArrived(told, 2, 1, Box{ID: 1}, 10*ms, 2, false) }}
	}
	for _, c := range []struct {
		name    string
		want    string // empty: no breach
		due, at time.Duration
		steps   []step
	}{
		{"repeated in the window, told late", "", 0, 0, twice(keyed, 5*ms, 900*ms, 2*time.Second)},
		{"repeated behind the window", "repeats are no longer dropped", 1*ms + window, 1010 * ms, twice(keyed, 5*ms, 1010*ms, 1010*ms)},
		{"sent on after its answer", "after its final answer", 10 * ms, 60 * ms,
			[]step{taken(0, 1, 0, 0, 1), answered(10*ms, 1, Refused), func(j *Judge) { j.AttemptStarted(60*ms, 1, Box{ID: 1}) }}},
		{"sent on before its answer, told later", "", 0, 0,
			[]step{taken(0, 1, 0, 0, 1), answered(10*ms, 1, Refused), func(j *Judge) { j.AttemptStarted(9*ms, 1, Box{ID: 1}) }}},
		{"two at once, by the first byte", "out at once", 20 * ms, 75 * ms, []step{taken(0, 1, 0, 0, 1), sent(1*ms, 1, 1, 0, 0),
			func(j *Judge) { j.AttemptStarted(20*ms, 1, Box{ID: 1}) },
			func(j *Judge) { j.AttemptArrived(40*ms, 2, 1, Box{ID: 1}, 10*ms, 2, false) }, ended(75*ms, 1, MayHaveRun)}},
	} {
		j := New(set)
		for _, do := range c.steps {
			do(j)
		}
		switch {
		case c.want == "" && j.BreachCount() > 0:
			t.Errorf("%s: %v", c.name, j.Breaches)
		case c.want != "":
			if len(j.Breaches) != 1 || !strings.Contains(j.Breaches[0].Text, c.want) || !j.Breaches[0].OutOfOrder || j.Breaches[0].Due != c.due || j.Breaches[0].At != c.at {
				t.Errorf("%s: %+v", c.name, j.Breaches)
			}
		}
	}
}

// Many late answers do not displace the breach of a try that was never answered.
func TestLateAnswersCrowdNothingOut(t *testing.T) {
	j := New(settings())
	for id := range uint64(500) {
		taken(0, id, 0, 0, 1)(j)
		answered(2*time.Second, id, Failed)(j)
	}
	taken(0, 900, 0, 0, 1)(j)
	j.Close(time.Minute)
	late, never := 0, 0
	for _, b := range j.Breaches {
		if b.LateAnswer {
			late++
		} else if strings.Contains(b.Text, "no final answer") {
			never++
		}
	}
	if j.BreachCounts[OneAnswer] != 501 || late != maxKeptBreaches || never != 1 {
		t.Errorf("%d counted, %d late and %d never answered are kept", j.BreachCounts[OneAnswer], late, never)
	}
}
