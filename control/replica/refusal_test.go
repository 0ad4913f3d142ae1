package replica

import (
	"fmt"
	"testing"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/paxos"
)

// replaceOrder is an order for a whole configuration.
func replaceOrder(version, base int) controlstate.Order {
	body := fmt.Appendf(nil, `{"config_version":"r%d","base_revision":"r%d","tenants":[],"listeners":[],"clusters":[]}`, version, base)
	return controlstate.Order{Kind: controlstate.Replace, Body: body}
}

// A store that was away knows an older version. An order on top of the newest one is taken there, and
// one on top of its own is refused: both by what a majority tells.
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
	for _, x := range []struct {
		order  controlstate.Order
		status int
		alone  int // what the store would say by what it knows
	}{{replaceOrder(7, 5), 200, 412}, {replaceOrder(6, 2), 412, 200}, {replaceOrder(5, 2), 200, 200}} {
		r := New(1, 1, voters)
		if _, err := r.Learn(paxos.Ballot{Number: 1, Node: 2}, known); err != nil {
			t.Fatal(err)
		}
		// The test of this test: by its own knowledge the store would answer otherwise.
		if out := r.Register().Clone().Apply(&x.order); out.Status != x.alone {
			t.Errorf("alone: %+v, %d wanted", out, x.alone)
		}
		attempt := r.Begin([][]controlstate.Order{{x.order}})
		accepted := paxos.Ballot{Number: 4, Node: 3}
		for _, voter := range []string{"2", "3"} {
			_, err = attempt.Promise(voter, paxos.Reply{OK: true, Promised: attempt.Prepare.Ballot, Accepted: accepted, Value: value})
			if err != nil {
				t.Fatal(err)
			}
		}
		if out := attempt.Outcomes(); len(out) != 1 || out[0][0].Status != x.status {
			t.Errorf("%s: %+v, %d wanted", x.order.Body, out, x.status)
		}
	}
}
