package coremembers

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// heard is a voter's planner that hears some machines every 400 ms from a time until another.
type heard struct {
	voter, zone string
	from, until time.Duration
	leaving     bool
}

// plan is what voter 1 of three finds due at a time, with voter 2 of its mind about successions.
func plan(at time.Duration, wanted int, machines ...heard) (Change, bool) {
	p := New(Report{Voter: "1", Zone: "a"}, wanted, 0)
	state := State{Voters: []string{"1", "2", "3"}, Term: 4, Seq: 9}
	for now := time.Duration(0); now <= at; now += 100 * ms {
		for _, m := range machines {
			if now >= m.from && now <= m.until && now%(400*ms) == 0 {
				r := Report{Voter: m.voter, Zone: m.zone, Seq: 9, Leaving: m.leaving}
				if m.voter == "2" {
					r.Succeeded = p.Report(now, state).Succeeded
				}
				p.Heard(now, r)
			}
		}
		p.Plan(now, state)
	}
	return p.Plan(at, state)
}

func TestPlan(t *testing.T) {
	always := 10 * time.Minute
	two, three := heard{"2", "b", 0, always, false}, heard{"3", "a", 0, always, false}
	gone := heard{"3", "a", 0, 2000 * ms, false}
	for _, x := range []struct {
		what        string
		at          time.Duration
		wanted      int
		machines    []heard
		seat, leave string
	}{
		{"all is well", 5000 * ms, 3, []heard{two, three}, "", ""},
		{"a learner waits", 5000 * ms, 3, []heard{two, three, {"4/x", "a", 0, always, false}}, "", ""},
		{"a voter is dark, and nobody is there for it", 9000 * ms, 3, []heard{two, gone}, "", ""},
		{"a voter is dark and a learner was there before", 20000 * ms, 3, []heard{two, gone, {"4/x", "a", 0, always, false}}, "", ""},
		{"a voter is gone and its successor came", 4800 * ms, 3, []heard{two, gone, {"4/x", "a", 2800 * ms, always, false}}, "4/x", "3"},
		{"the successor stands in another zone", 20000 * ms, 3, []heard{two, gone, {"4/x", "c", 2800 * ms, always, false}}, "", ""},
		{"the same, after long", GoneAfter + 4000*ms, 3, []heard{two, gone, {"4/x", "c", 2800 * ms, always, false}}, "4/x", "3"},
		{"a machine came back without its disk", 4000 * ms, 3, []heard{two, gone, {"3/y", "a", 2800 * ms, always, false}}, "3/y", "3"},
		{"late word of a disk that a voter had before", 4000 * ms, 3, []heard{two, three, {"3/y", "a", 0, 800 * ms, false}}, "", ""},
		{"a voter leaves", 5200 * ms, 3, []heard{two, {"3", "a", 0, always, true}, {"4/x", "a", 0, always, false}}, "4/x", "3"},
		{"a voter leaves, and so does the learner", 5200 * ms, 3, []heard{two, {"3", "a", 0, always, true}, {"4/x", "a", 0, always, true}}, "", ""},
		{"there are too few voters", 5000 * ms, 5, []heard{two, three, {"4/x", "c", 0, always, false}}, "4/x", ""},
	} {
		change, due := plan(x.at, x.wanted, x.machines...)
		var seat, leave []string
		if x.seat != "" {
			seat = []string{x.seat}
		}
		if x.leave != "" {
			leave = []string{x.leave}
		}
		if due != (x.seat != "") || !slices.Equal(change.Seat, seat) || !slices.Equal(change.Leave, leave) {
			t.Errorf("%s: %+v, due %v", x.what, change, due)
		}
		if due && change.Term != 4 {
			t.Errorf("%s: decided under term %d", x.what, change.Term)
		}
	}
}

// After a standstill of its own a store takes nobody for dark.
func TestStandstill(t *testing.T) {
	p := New(Report{Voter: "1", Zone: "a"}, 3, 0)
	state := State{Voters: []string{"1", "2", "3"}, Term: 1}
	for now := time.Duration(0); now < 3000*ms; now += 400 * ms {
		p.Heard(now, Report{Voter: "2", Zone: "a"})
		p.Heard(now, Report{Voter: "3", Zone: "a"})
	}
	thawed := 23000 * ms
	p.Heard(thawed, Report{Voter: "4/x", Zone: "a"})
	if r := p.Report(thawed, state); len(r.Succeeded) > 0 || p.Silence(thawed, "3") > 0 {
		t.Errorf("after a standstill %v are taken for gone", r.Succeeded)
	}
}

// A learner does not propose, and a change that is not complete is completed first.
func TestWhoProposes(t *testing.T) {
	p := New(Report{Voter: "4/x", Zone: "a"}, 3, 0)
	if _, due := p.Plan(0, State{Voters: []string{"1", "2", "3"}, Prior: true}); due {
		t.Error("a learner proposes")
	}
	p = New(Report{Voter: "1", Zone: "a"}, 3, 0)
	if change, due := p.Plan(0, State{Voters: []string{"1", "2", "3"}, Prior: true, Term: 2}); !due || !change.Complete {
		t.Errorf("%+v %v", change, due)
	}
}
