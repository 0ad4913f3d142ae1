package freshness

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// A registry needs recent contact with a majority of each set. It counts itself only in sets it belongs to.
func TestContacts(t *testing.T) {
	now := 10 * time.Second
	for _, test := range []struct {
		name      string
		self      string
		sets      [][]string
		lastHeard map[string]time.Duration
		want      bool
	}{
		{"no voters are known", "a", nil, nil, false},
		{"no contact with the others", "a", [][]string{{"a", "b", "c"}}, nil, false},
		{"recent contact with one other", "a", [][]string{{"a", "b", "c"}}, map[string]time.Duration{"b": now - 100*ms}, true},
		{"contact with the other too long ago", "a", [][]string{{"a", "b", "c"}}, map[string]time.Duration{"b": now - 2000*ms}, false},
		{"a learner in contact with one voter", "d", [][]string{{"a", "b", "c"}}, map[string]time.Duration{"b": now}, false},
		{"a learner in contact with two voters", "d", [][]string{{"a", "b", "c"}}, map[string]time.Duration{"b": now, "c": now}, true},
		{"a failed voter was replaced", "a", [][]string{{"a", "b", "d"}}, map[string]time.Duration{"d": now}, true},
		{"a majority of only one of two sets", "a", [][]string{{"a", "b", "c"}, {"c", "d", "e"}}, map[string]time.Duration{"b": now}, false},
	} {
		c := NewContacts(test.self)
		for ip, at := range test.lastHeard {
			c.Heard(ip, at)
			c.Heard(ip, at-time.Second) // a late answer to an older call changes nothing
		}
		if got := c.HasMajority(test.sets, now, 1600*ms); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// A record is acknowledged only once a majority of each set holds it.
func TestCopies(t *testing.T) {
	c := NewCopies("a", [][]string{{"a", "b", "c", "d", "e"}})
	for i, ip := range []string{"", "b", "b", "x", "c"} {
		c.Stored(ip)
		if c.HasMajority() != (i == 4) {
			t.Errorf("after %d answers: has majority %v", i+1, c.HasMajority())
		}
	}
	if NewCopies("a", nil).HasMajority() {
		t.Error("majority reached although no voters are known")
	}
	learner := NewCopies("d", [][]string{{"a", "b", "c"}})
	if learner.Stored("a"); learner.HasMajority() {
		t.Error("a copy on a machine that is not a voter is counted")
	}
}

// A proof's age includes the time of the call, and an older proof does not replace a newer one.
func TestProof(t *testing.T) {
	var p Proof
	if p.Fresh(0, time.Hour) {
		t.Error("the zero proof is fresh")
	}
	p.Advance(1000*ms, 500*ms, 200*ms)
	p.Advance(900*ms, 100*ms, 50*ms)
	if age, ok := p.Age(2000 * ms); !ok || age != 700*ms {
		t.Errorf("age %v, want 700ms", age)
	}
	if !p.Fresh(2000*ms, 701*ms) || p.Fresh(2000*ms, 700*ms) {
		t.Error("the age limit is not respected")
	}
}

// A limiter leaves a registry that is isolated or has no proof or a stale one.
func TestSource(t *testing.T) {
	for _, test := range []struct {
		status RegistryStatus
		want   bool
	}{
		{RegistryStatus{Proven: true, Age: 100 * ms}, true}, {RegistryStatus{Proven: true, Age: MaxProofAge}, false},
		{RegistryStatus{Age: 100 * ms}, false}, {RegistryStatus{Proven: true, Isolated: true, Age: 100 * ms}, false},
	} {
		if got := test.status.Usable(); got != test.want {
			t.Errorf("%+v: usable %v, want %v", test.status, got, test.want)
		}
	}
}
