package replica

import (
	"fmt"
	"testing"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/paxos"
)

// replaceOrder returns an order that replaces the whole configuration.
func replaceOrder(version, base int) controlstate.Order {
	body := fmt.Appendf(nil, `{"config_version":"r%d","base_revision":"r%d","tenants":[],"listeners":[],"clusters":[]}`, version, base)
	return controlstate.Order{Kind: controlstate.ReplaceConfig, Body: body}
}

// A store that was partitioned knows only an older configuration. An order based on the newest version must
// be accepted there, and one based on the store's own version refused, because the majority's newest
// register decides.
func TestRefusalsGoByTheNewest(t *testing.T) {
	voters := []string{"1", "2", "3"}
	newest := &controlstate.Register{}
	for _, o := range []controlstate.Order{replaceOrder(2, 0), replaceOrder(5, 2)} {
		if out := newest.Apply(&o); out.Status != 200 {
			t.Fatal(out)
		}
	}
	value, err := newest.Encode()
	if err != nil {
		t.Fatal(err)
	}
	older := &controlstate.Register{}
	first := replaceOrder(2, 0)
	older.Apply(&first)
	known, err := older.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		order  controlstate.Order
		status int
		alone  int // the status that the store's own register would give
	}{{replaceOrder(7, 5), 200, 412}, {replaceOrder(6, 2), 412, 200}, {replaceOrder(5, 2), 200, 200}} {
		r := New(1, 1, voters)
		if _, err := r.Learn(paxos.Ballot{Number: 1, Node: 2}, known); err != nil {
			t.Fatal(err)
		}
		// Check of the test itself: the store's own register gives a different answer.
		if out := r.Register().Clone().Apply(&test.order); out.Status != test.alone {
			t.Errorf("by its own register: %+v, want status %d", out, test.alone)
		}
		attempt := r.Begin([][]controlstate.Order{{test.order}})
		accepted := paxos.Ballot{Number: 4, Node: 3}
		for _, voter := range []string{"2", "3"} {
			_, err = attempt.HandlePromise(voter, paxos.Reply{OK: true, Promised: attempt.Prepare.Ballot, Accepted: accepted, Value: value})
			if err != nil {
				t.Fatal(err)
			}
		}
		if out := attempt.Outcomes(); len(out) != 1 || out[0][0].Status != test.status {
			t.Errorf("%s: %+v, want status %d", test.order.Body, out, test.status)
		}
	}
}
