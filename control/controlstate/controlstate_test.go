package controlstate

import (
	"example.org/madderdrum/control/places"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func config(version, base int, keys string) []byte {
	return fmt.Appendf(nil, `{"config_version":"r%d","base_revision":"r%d","tenants":[{"name":"t","api_keys":[%s]}],"listeners":[],"clusters":[]}`, version, base, keys)
}

func TestOrders(t *testing.T) {
	var r Register
	give := func(what string, o Order, status int) {
		t.Helper()
		before := r.Clone()
		out := r.Apply(&o)
		if out.Status != status {
			t.Fatalf("%s: %d %s, %d wanted", what, out.Status, out.Text, status)
		}
		if status != 200 {
			if diff := cmp.Diff(before, &r); diff != "" {
				t.Fatalf("%s: an order that is refused has changed the register: %s", what, diff)
			}
		}
	}
	first := Order{Kind: Replace, Body: config(3, 0, `"k1","k2"`)}
	give("the first", first, 200)
	seq := r.Seq
	give("the same call again", first, 200)
	if r.Seq != seq {
		t.Error("the same call again has made a version")
	}
	mine, theirs := Order{Kind: Replace, Body: config(5, 3, `"k1"`)}, Order{Kind: Replace, Body: config(5, 3, `"k2"`)}
	give("the first of a race", mine, 200)
	if r.Revoked != r.Seq {
		t.Error("a key was taken away by the latest version")
	}
	give("the other of a race", theirs, 412)
	give("the winner again", mine, 200)
	give("a further one", Order{Kind: Replace, Body: config(8, 5, `"k1"`)}, 200)
	if r.Revoked == r.Seq {
		t.Error("nothing was taken away by the latest version")
	}
	give("an older one again, which was taken", mine, 200)
	give("no configuration", Order{Kind: Replace, Body: []byte(`{"config_version"`)}, 400)
	give("an evacuation", Order{Kind: Begin, Zone: "z"}, 200)
	seq = r.Seq
	give("the same", Order{Kind: Begin, Zone: "z"}, 200)
	if r.Seq != seq || len(r.Evac) != 1 {
		t.Error("the same evacuation again has made a version")
	}
	begun := r.Seq
	give("its end", Order{Kind: Finish, Zone: "z", Seen: r.Seq}, 200)
	give("its beginning again, which was held up on its way", Order{Kind: Begin, Zone: "z", Seen: begun - 1}, 503)
	give("its end again", Order{Kind: Finish, Zone: "z", Seen: begun - 1}, 200)
	give("another evacuation", Order{Kind: Begin, Zone: "z", Seen: r.Seq}, 200)
	give("the end of the former one, which was held up", Order{Kind: Finish, Zone: "z", Seen: begun}, 503)
	give("its own end", Order{Kind: Finish, Zone: "z", Seen: r.Seq}, 200)
	give("places", Order{Kind: RegisterLimiters, Seen: r.Seq, Places: []places.Place{{Name: "b", IP: "2", Zone: "z"}, {Name: "a", IP: "1", Zone: "z"}}}, 200)
	since := r.Seq
	give("another machine under a name", Order{Kind: RegisterLimiters, Seen: r.Seq, Places: []places.Place{{Name: "a", IP: "9", Zone: "z"}, {Name: "c", IP: "3", Zone: "z"}}}, 200)
	want := []places.Place{{Name: "b", IP: "2", Zone: "z", From: since}, {Name: "a", IP: "1", Zone: "z", From: since, To: since + 1},
		{Name: "a", IP: "9", Zone: "z", From: since + 1}, {Name: "c", IP: "3", Zone: "z", From: since + 1}}
	if diff := cmp.Diff(want, r.Places); diff != "" || r.PlacesSettled != since {
		t.Errorf("the former machine is another holder: settled %d, %s", r.PlacesSettled, diff)
	}
	give("places are settled that are not agreed on", Order{Kind: SettlePlaces, Settled: r.Seq + 1}, 409)
	give("places are settled", Order{Kind: SettlePlaces, Settled: r.Seq}, 200)
	before := r.Seq
	give("a place is released", Order{Kind: ReleasePlaces, Holders: []string{places.HolderOf("b", "2")}}, 200)
	give("a join that was overtaken by that", Order{Kind: RegisterLimiters, Seen: before, Places: []places.Place{{Name: "b", IP: "2", Zone: "z"}}}, 200)
	give("and that is settled", Order{Kind: SettlePlaces, Settled: r.Seq}, 200)
	if want := []places.Place{{}, {}, want[2], want[3]}; !cmp.Equal(want, r.Places) {
		t.Errorf("slots that are settled are free: %s", cmp.Diff(want, r.Places))
	}
	give("a join that was overtaken by that", Order{Kind: RegisterLimiters, Seen: before, Places: []places.Place{{Name: "b", IP: "2", Zone: "z"}}}, 200)
	if r.Places[0].Name != "" {
		t.Error("a limiter that has left has got a place again")
	}
}

// After any number of changes a call that comes again is acknowledged or gets no clear answer.
func TestRepeatedCallsAreNeverRefused(t *testing.T) {
	var r Register
	var calls []Order
	for i := range 3 * appliedMost {
		calls = append(calls, Order{Kind: Replace, Body: config(i+1, i, `"k"`)})
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
		if i >= len(calls)-appliedMost {
			want = 200
		}
		if out := restored.Apply(&calls[i]); out.Status != want {
			t.Fatalf("change %d of %d again: %+v, %d wanted", i, len(calls), out, want)
		}
	}
	if restored.Seq != r.Seq {
		t.Error("a repeated call has made a version")
	}
	// The test of this test: a snapshot that forgets what was taken refuses the newest call.
	forgetful := restored.Clone()
	forgetful.Applied = nil
	if out := forgetful.Apply(&calls[len(calls)-1]); out.Status != 400 && out.Status != 412 {
		t.Errorf("a snapshot without the identity of orders is not found: %+v", out)
	}
	race := Order{Kind: Replace, Body: config(len(calls), len(calls)-1, `"other"`)}
	if out := restored.Apply(&race); out.Status != 412 {
		t.Errorf("another change under the newest number: %+v", out)
	}
}
