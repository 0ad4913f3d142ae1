package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func anywhere(string) bool { return true }

// An answer for a region with one limiter or none is supplemented by regions that may serve its clients,
// and by no others; if no such region has a limiter, the answer is empty.
func TestAnswerKeepsPermittedRegions(t *testing.T) {
	all := []Limiter{{"n1", "n", "north"}, {"s1", "s", "south"}, {"s2", "s", "south"}, {"i1", "i", "isles"}}
	permitted := func(region string) bool { return region == "north" || region == "isles" }
	for range 20 {
		if d := cmp.Diff([]string{"n1", "i1"}, Answer(all, "n", "north", permitted, 64, rand.Shuffle)); d != "" {
			t.Fatal(d)
		}
		if d := cmp.Diff([]string{"n1"}, Answer(all[:3], "n", "north", permitted, 64, rand.Shuffle)); d != "" {
			t.Fatal(d)
		}
		if d := cmp.Diff([]string{"s1", "s2"}, Answer(all, "s", "south", permitted, 64, rand.Shuffle)); d != "" {
			t.Fatal(d)
		}
		if got := Answer(all[1:], "n", "north", permitted, 64, rand.Shuffle); len(got) != 1 || got[0] != "i1" {
			t.Fatal(got)
		}
		if got := Answer(all[1:3], "n", "north", permitted, 64, rand.Shuffle); len(got) != 0 {
			t.Fatal(got)
		}
	}
}

func TestAnswer(t *testing.T) {
	all := []Limiter{{"a1", "a", "r"}, {"b1", "b", "r"}, {"c1", "c", "q"}, {"b2", "b", "r"}, {"c2", "c", "q"}}
	for _, x := range []struct {
		zone, region string
		want         []string
	}{
		{"b", "r", []string{"b1", "b2", "a1"}}, // the whole region, the client's zone first
		{"a", "r", []string{"a1", "b1", "b2"}},
		{"c", "q", []string{"c1", "c2"}},
	} {
		if d := cmp.Diff(x.want, Answer(all, x.zone, x.region, anywhere, 64, rand.Shuffle)); d != "" {
			t.Errorf("%s: %s", x.zone, d)
		}
	}
	// Regions with one limiter or none are supplemented by others.
	if got := Answer(all[:3], "c", "q", anywhere, 64, rand.Shuffle); len(got) != 2 || got[0] != "c1" {
		t.Error(got)
	}
	if got := Answer(all, "x", "y", anywhere, 64, rand.Shuffle); len(got) != 2 {
		t.Error(got)
	}
	if got := Answer(nil, "x", "y", anywhere, 64, rand.Shuffle); got != nil {
		t.Error(got)
	}
}

// If there are more limiters than an answer holds, all are named equally often.
func TestAnswersNameAllEqually(t *testing.T) {
	var all []Limiter
	for i := range 283 {
		all = append(all, Limiter{fmt.Sprint("l", i), fmt.Sprint("z", i%3), "r"})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	named := map[string]int{}
	for i := range 3000 {
		out := Answer(all, fmt.Sprint("z", i%3), "r", anywhere, 64, rng.Shuffle)
		if len(out) != 64 {
			t.Fatal(len(out))
		}
		for _, a := range out {
			named[a]++
		}
	}
	for _, l := range all {
		if n := named[l.Address]; n < 500 || n > 860 { // 678 on average
			t.Errorf("%s is named in %d of 3000 answers", l.Address, n)
		}
	}
}
