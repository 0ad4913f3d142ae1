package coremembers

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// reporter describes a machine whose reports arrive at voter 1 every 400 ms, from one time until another.
type reporter struct {
	voter, zone string
	from, until time.Duration
	leaving     bool
}

// plan returns the change that voter 1 of three proposes at a time. Voter 2 agrees with it about successions.
func plan(at time.Duration, wanted int, machines ...reporter) (Change, bool) {
	p := New(Report{Voter: "1", Zone: "a"}, wanted, 0)
	state := State{Voters: []string{"1", "2", "3"}, Term: 4, Seq: 9}
	for now := time.Duration(0); now <= at; now += 100 * ms {
		for _, m := range machines {
			if now >= m.from && now <= m.until && now%(400*ms) == 0 {
				r := Report{Voter: m.voter, Zone: m.zone, Seq: 9, Leaving: m.leaving}
				if m.voter == "2" {
					r.Successions = p.Report(now, state).Successions
				}
				p.Heard(now, r)
			}
		}
		p.Plan(now, state)
	}
	return p.Plan(at, state)
}

// Each case gives the reports that voter 1 receives and the change of voters that it then proposes.
func TestPlan(t *testing.T) {
	always := 10 * time.Minute
	two, three := reporter{"2", "b", 0, always, false}, reporter{"3", "a", 0, always, false}
	gone := reporter{"3", "a", 0, 2000 * ms, false}
	for _, test := range []struct {
		name        string
		at          time.Duration
		wanted      int
		machines    []reporter
		seat, leave string
	}{
		{"all voters are present", 5000 * ms, 3, []reporter{two, three}, "", ""},
		{"all voters are present, and a learner is ready", 5000 * ms, 3, []reporter{two, three, {"4/x", "a", 0, always, false}}, "", ""},
		{"a voter is silent, and there is no learner", 9000 * ms, 3, []reporter{two, gone}, "", ""},
		{"a voter is silent, and the learner was present before that", 20000 * ms, 3, []reporter{two, gone, {"4/x", "a", 0, always, false}}, "", ""},
		{"a voter is silent, and a learner appeared after that", 4800 * ms, 3, []reporter{two, gone, {"4/x", "a", 2800 * ms, always, false}}, "4/x", "3"},
		{"the learner that appeared is in another zone", 20000 * ms, 3, []reporter{two, gone, {"4/x", "c", 2800 * ms, always, false}}, "", ""},
		{"the same, after GoneAfter", GoneAfter + 4000*ms, 3, []reporter{two, gone, {"4/x", "c", 2800 * ms, always, false}}, "4/x", "3"},
		{"a machine returned without its disk", 4000 * ms, 3, []reporter{two, gone, {"3/y", "a", 2800 * ms, always, false}}, "3/y", "3"},
		{"delayed report of a disk that a voter had before", 4000 * ms, 3, []reporter{two, three, {"3/y", "a", 0, 800 * ms, false}}, "", ""},
		{"a voter leaves", 5200 * ms, 3, []reporter{two, {"3", "a", 0, always, true}, {"4/x", "a", 0, always, false}}, "4/x", "3"},
		{"both a voter and the learner leave", 5200 * ms, 3, []reporter{two, {"3", "a", 0, always, true}, {"4/x", "a", 0, always, true}}, "", ""},
		{"there are too few voters", 5000 * ms, 5, []reporter{two, three, {"4/x", "c", 0, always, false}}, "4/x", ""},
	} {
		change, due := plan(test.at, test.wanted, test.machines...)
		var seat, leave []string
		if test.seat != "" {
			seat = []string{test.seat}
		}
		if test.leave != "" {
			leave = []string{test.leave}
		}
		if due != (test.seat != "") || !slices.Equal(change.NewVoters, seat) || !slices.Equal(change.RemoveVoters, leave) {
			t.Errorf("%s: %+v, due %v", test.name, change, due)
		}
		if due && change.Term != 4 {
			t.Errorf("%s: decided in term %d", test.name, change.Term)
		}
	}
}

// After its own process was stalled, a store must not take the other voters for unreachable: it received no
// reports only because it was not running.
func TestStandstill(t *testing.T) {
	p := New(Report{Voter: "1", Zone: "a"}, 3, 0)
	state := State{Voters: []string{"1", "2", "3"}, Term: 1}
	for now := time.Duration(0); now < 3000*ms; now += 400 * ms {
		p.Heard(now, Report{Voter: "2", Zone: "a"})
		p.Heard(now, Report{Voter: "3", Zone: "a"})
	}
	resumed := 23000 * ms
	p.Heard(resumed, Report{Voter: "4/x", Zone: "a"})
	if r := p.Report(resumed, state); len(r.Successions) > 0 || p.Silence(resumed, "3") > 0 {
		t.Errorf("after a stall, successions %v are due", r.Successions)
	}
}

// A learner never proposes a change, and a pending change is completed before a new one is proposed.
func TestWhoProposes(t *testing.T) {
	p := New(Report{Voter: "4/x", Zone: "a"}, 3, 0)
	if _, due := p.Plan(0, State{Voters: []string{"1", "2", "3"}, Prior: true}); due {
		t.Error("a learner proposes")
	}
	p = New(Report{Voter: "1", Zone: "a"}, 3, 0)
	if change, due := p.Plan(0, State{Voters: []string{"1", "2", "3"}, Prior: true, Term: 2}); !due || !change.CompletePending {
		t.Errorf("%+v %v", change, due)
	}
}
