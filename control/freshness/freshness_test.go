package freshness

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// A registry is apart unless it hears a majority of each set; it counts itself only where it votes.
func TestContacts(t *testing.T) {
	now := 10 * time.Second
	for _, x := range []struct {
		what  string
		self  string
		sets  [][]string
		heard map[string]time.Duration
		want  bool
	}{
		{"no voters are known", "a", nil, nil, false},
		{"alone", "a", [][]string{{"a", "b", "c"}}, nil, false},
		{"with one other", "a", [][]string{{"a", "b", "c"}}, map[string]time.Duration{"b": now - 100*ms}, true},
		{"the other one long ago", "a", [][]string{{"a", "b", "c"}}, map[string]time.Duration{"b": now - 2000*ms}, false},
		{"a learner with one voter", "d", [][]string{{"a", "b", "c"}}, map[string]time.Duration{"b": now}, false},
		{"a learner with two", "d", [][]string{{"a", "b", "c"}}, map[string]time.Duration{"b": now, "c": now}, true},
		{"one that is gone is no voter any more", "a", [][]string{{"a", "b", "d"}}, map[string]time.Duration{"d": now}, true},
		{"a majority of one set of two", "a", [][]string{{"a", "b", "c"}, {"c", "d", "e"}}, map[string]time.Duration{"b": now}, false},
	} {
		c := NewContacts(x.self)
		for ip, at := range x.heard {
			c.Heard(ip, at)
			c.Heard(ip, at-time.Second) // a late answer takes nothing back
		}
		if got := c.Majority(x.sets, now, 1600*ms); got != x.want {
			t.Errorf("%s: %v, %v wanted", x.what, got, x.want)
		}
	}
}

// A drain is acknowledged only once a majority of each set holds it.
func TestCopies(t *testing.T) {
	c := NewCopies("a", [][]string{{"a", "b", "c", "d", "e"}})
	for i, ip := range []string{"", "b", "b", "x", "c"} {
		c.Stored(ip)
		if c.Enough() != (i == 4) {
			t.Errorf("after %d answers enough is %v", i+1, c.Enough())
		}
	}
	if NewCopies("a", nil).Enough() {
		t.Error("enough though no voters are known")
	}
	learner := NewCopies("d", [][]string{{"a", "b", "c"}})
	if learner.Stored("a"); learner.Enough() {
		t.Error("a copy that is on no voter's machine is counted")
	}
}

// A proof ages from when it was asked for; the newest one holds.
func TestProof(t *testing.T) {
	var p Proof
	if p.Fresh(0, time.Hour) {
		t.Error("there is a proof before any")
	}
	p.Advance(1000*ms, 500*ms, 200*ms)
	p.Advance(900*ms, 100*ms, 50*ms)
	if age, ok := p.Age(2000 * ms); !ok || age != 700*ms {
		t.Errorf("%v old, 700ms wanted", age)
	}
	if !p.Fresh(2000*ms, 701*ms) || p.Fresh(2000*ms, 700*ms) {
		t.Error("its limit is not kept")
	}
}

// A limiter leaves a registry that is apart, or has no proof or an old one.
func TestSource(t *testing.T) {
	for _, x := range []struct {
		source Source
		want   bool
	}{
		{Source{Proven: true, Age: 100 * ms}, true}, {Source{Proven: true, Age: ProofStale}, false},
		{Source{Age: 100 * ms}, false}, {Source{Proven: true, Apart: true, Age: 100 * ms}, false},
	} {
		if got := x.source.Usable(); got != x.want {
			t.Errorf("%+v: %v, %v wanted", x.source, got, x.want)
		}
	}
}
