package controlstate

import (
	"example.org/madderdrum/control/places"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// config returns the text of a configuration whose one tenant has the given API keys.
func config(version, base int, keys string) []byte {
	return fmt.Appendf(nil, `{"config_version":"r%d","base_revision":"r%d","tenants":[{"name":"t","api_keys":[%s]}],"listeners":[],"clusters":[]}`, version, base, keys)
}

// Applies a sequence of orders with repeated, conflicting and delayed ones. A refused order must leave the
// register unchanged.
func TestOrders(t *testing.T) {
	var r Register
	apply := func(name string, order Order, status int) {
		t.Helper()
		before := r.Clone()
		out := r.Apply(&order)
		if out.Status != status {
			t.Fatalf("%s: got %d %s, want %d", name, out.Status, out.Text, status)
		}
		if status != 200 {
			if diff := cmp.Diff(before, &r); diff != "" {
				t.Fatalf("%s: a refused order has changed the register: %s", name, diff)
			}
		}
	}
	first := Order{Kind: ReplaceConfig, Body: config(3, 0, `"k1","k2"`)}
	apply("the first configuration", first, 200)
	seq := r.Seq
	apply("the same call repeated", first, 200)
	if r.Seq != seq {
		t.Error("the repeated call has created a version")
	}
	winner, loser := Order{Kind: ReplaceConfig, Body: config(5, 3, `"k1"`)}, Order{Kind: ReplaceConfig, Body: config(5, 3, `"k2"`)}
	apply("the first of two concurrent changes", winner, 200)
	if r.RevocationSeq != r.Seq {
		t.Error("the latest version revoked a key, but RevocationSeq does not say so")
	}
	apply("the second of two concurrent changes", loser, 412)
	apply("the first of them repeated", winner, 200)
	apply("a further configuration", Order{Kind: ReplaceConfig, Body: config(8, 5, `"k1"`)}, 200)
	if r.RevocationSeq == r.Seq {
		t.Error("RevocationSeq advanced although the latest version revoked no key")
	}
	apply("an older applied call repeated", winner, 200)
	apply("an unreadable configuration", Order{Kind: ReplaceConfig, Body: []byte(`{"config_version"`)}, 400)
	apply("the evacuation of a zone", Order{Kind: BeginEvacuation, Zone: "z"}, 200)
	seq = r.Seq
	apply("the same evacuation repeated", Order{Kind: BeginEvacuation, Zone: "z"}, 200)
	if r.Seq != seq || len(r.EvacuatedZones) != 1 {
		t.Error("the repeated evacuation has created a version")
	}
	beginSeq := r.Seq
	apply("the end of the evacuation", Order{Kind: FinishEvacuation, Zone: "z", SeenSeq: r.Seq}, 200)
	apply("a delayed repetition of its beginning", Order{Kind: BeginEvacuation, Zone: "z", SeenSeq: beginSeq - 1}, 503)
	apply("its end repeated", Order{Kind: FinishEvacuation, Zone: "z", SeenSeq: beginSeq - 1}, 200)
	apply("another evacuation of the zone", Order{Kind: BeginEvacuation, Zone: "z", SeenSeq: r.Seq}, 200)
	apply("the delayed end of the former evacuation", Order{Kind: FinishEvacuation, Zone: "z", SeenSeq: beginSeq}, 503)
	apply("the end of the new evacuation", Order{Kind: FinishEvacuation, Zone: "z", SeenSeq: r.Seq}, 200)
	apply("limiters join", Order{Kind: RegisterLimiters, SeenSeq: r.Seq, Places: []places.Place{{Name: "b", IP: "2", Zone: "z"}, {Name: "a", IP: "1", Zone: "z"}}}, 200)
	joinedSeq := r.Seq
	apply("another machine joins under an existing name", Order{Kind: RegisterLimiters, SeenSeq: r.Seq, Places: []places.Place{{Name: "a", IP: "9", Zone: "z"}, {Name: "c", IP: "3", Zone: "z"}}}, 200)
	want := []places.Place{{Name: "b", IP: "2", Zone: "z", JoinedVersion: joinedSeq}, {Name: "a", IP: "1", Zone: "z", JoinedVersion: joinedSeq, ReleasedVersion: joinedSeq + 1},
		{Name: "a", IP: "9", Zone: "z", JoinedVersion: joinedSeq + 1}, {Name: "c", IP: "3", Zone: "z", JoinedVersion: joinedSeq + 1}}
	if diff := cmp.Diff(want, r.Places); diff != "" || r.PlacesSettled != joinedSeq {
		t.Errorf("the former machine is a different holder: settled %d, %s", r.PlacesSettled, diff)
	}
	apply("places of a future version are settled", Order{Kind: SettlePlaces, SettledSeq: r.Seq + 1}, 409)
	apply("places are settled", Order{Kind: SettlePlaces, SettledSeq: r.Seq}, 200)
	before := r.Seq
	apply("a place is released", Order{Kind: ReleasePlaces, Holders: []string{places.HolderOf("b", "2")}}, 200)
	apply("a join that is older than the release", Order{Kind: RegisterLimiters, SeenSeq: before, Places: []places.Place{{Name: "b", IP: "2", Zone: "z"}}}, 200)
	apply("the release is settled", Order{Kind: SettlePlaces, SettledSeq: r.Seq}, 200)
	if want := []places.Place{{}, {}, want[2], want[3]}; !cmp.Equal(want, r.Places) {
		t.Errorf("slots of settled releases are not free: %s", cmp.Diff(want, r.Places))
	}
	apply("a join that is older than the release", Order{Kind: RegisterLimiters, SeenSeq: before, Places: []places.Place{{Name: "b", IP: "2", Zone: "z"}}}, 200)
	if r.Places[0].Name != "" {
		t.Error("a delayed join has given a place to a limiter that left")
	}
}

// A repeated call that was applied must never be refused, however many changes followed: it is acknowledged
// while it is remembered, and gets status 503 after that.
func TestRepeatedCallsAreNeverRefused(t *testing.T) {
	var r Register
	var calls []Order
	for i := range 3 * maxAppliedCommands {
		calls = append(calls, Order{Kind: ReplaceConfig, Body: config(i+1, i, `"k"`)})
		if out := r.Apply(&calls[i]); out.Status != 200 {
			t.Fatalf("change %d: %+v", i, out)
		}
	}
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	for i := range calls {
		want := 503
		if i >= len(calls)-maxAppliedCommands {
			want = 200
		}
		if out := restored.Apply(&calls[i]); out.Status != want {
			t.Fatalf("change %d of %d repeated: %+v, want status %d", i, len(calls), out, want)
		}
	}
	if restored.Seq != r.Seq {
		t.Error("a repeated call has created a version")
	}
	// Check of the test itself: a register without Applied refuses the newest call.
	forgetful := restored.Clone()
	forgetful.Applied = nil
	if out := forgetful.Apply(&calls[len(calls)-1]); out.Status != 400 && out.Status != 412 {
		t.Errorf("a register without Applied does not refuse a repeated call: %+v", out)
	}
	conflicting := Order{Kind: ReplaceConfig, Body: config(len(calls), len(calls)-1, `"other"`)}
	if out := restored.Apply(&conflicting); out.Status != 412 {
		t.Errorf("another change with the newest version number: %+v", out)
	}
}
