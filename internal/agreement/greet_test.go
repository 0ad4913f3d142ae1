package agreement

import (
	"strings"
	"testing"
)

func TestJudge(t *testing.T) {
	mine := Hello{Label: "f", Fleet: 9, Generation: 1, Name: "n0", Member: 1, Start: 4, Mark: 40}
	other := func(change func(h *Hello)) Hello {
		h := Hello{Label: "f", Fleet: 9, Generation: 1, Name: "n1", Member: 2, Start: 3, Mark: 30, To: "n0"}
		change(&h)
		return h
	}
	for _, x := range []struct {
		name   string
		h      Hello
		before incarnation
		atWork uint64
		want   Verdict
		why    string
		note   bool
	}{
		{"for the first time", other(func(*Hello) {}), incarnation{}, 0, Welcome, "", true},
		{"again", other(func(*Hello) {}), incarnation{3, 30}, 2, Welcome, "", false},
		{"after a start", other(func(*Hello) {}), incarnation{2, 20}, 2, Welcome, "", true},
		{"not in a fleet yet", other(func(h *Hello) { h.Fleet, h.Generation = 0, 0 }), incarnation{}, 0, Welcome, "", true},
		{"another label", other(func(h *Hello) { h.Label = "g" }), incarnation{}, 0, Foreign, `fleet "g"`, false},
		{"meant for another", other(func(h *Hello) { h.To = "n5" }), incarnation{}, 0, Foreign, `it means limiter "n5"`, false},
		{"another fleet of one label", other(func(h *Hello) { h.Fleet = 8 }), incarnation{}, 0, Foreign, "another fleet", false},
		{"no number", other(func(h *Hello) { h.Member = 0 }), incarnation{}, 0, Foreign, "no number", false},
		{"from before the last but one start", other(func(*Hello) {}), incarnation{5, 50}, 0, StaleFolder, "start 3, heard 5", false},
		{"from before the last start, or a copy", other(func(*Hello) {}), incarnation{3, 31}, 2, StaleFolder, "another mark", false},
		{"my name", other(func(h *Hello) { h.Name = "n0" }), incarnation{}, 0, DuplicateName, `as "n0"`, false},
		{"a name at work", other(func(*Hello) {}), incarnation{}, 7, DuplicateName, `as "n1"`, false},
		{"begun anew without it", other(func(h *Hello) { h.Generation = 0 }), incarnation{3, 30}, 2, PeerSuperseded, "begun anew", true},
		{"begun anew without me", other(func(h *Hello) { h.Generation = 2 }), incarnation{3, 30}, 2, SelfSuperseded, "without this limiter", true},
	} {
		v, why, note := judgeHello(mine, x.h, x.before, x.atWork)
		if v != x.want || !strings.Contains(why, x.why) || note != x.note {
			t.Errorf("%s: %v, %q, %v", x.name, v, why, note)
		}
	}
}

func TestSilent(t *testing.T) {
	voters := []uint64{1, 2, 3, 4, 5}
	for _, x := range []struct {
		me    uint64
		heard []uint64
		want  bool
	}{{1, nil, true}, {1, []uint64{2}, true}, {1, []uint64{1, 9}, true}, {1, []uint64{2, 5}, false}, {9, nil, false}} {
		welcomed := map[uint64]bool{}
		for _, id := range x.heard {
			welcomed[id] = true
		}
		if got := mustStaySilent(voters, x.me, welcomed); got != x.want {
			t.Errorf("%d, welcomed by %v: %v", x.me, x.heard, got)
		}
	}
	if mustStaySilent([]uint64{1}, 1, nil) {
		t.Error("the only voter stays silent although it needs no other voter")
	}
}
