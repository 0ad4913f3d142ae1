package fleet

import "testing"

// A box belongs to the first tier that includes its room, one of its labels, or the limiter's own
// room if the box is in it; boxes without a tier come last.
func TestTiersOf(t *testing.T) {
	tiers := Tiers{{Name: "new", Labels: []string{"new", "rack-1"}}, {Name: "own", OwnRoom: true}, {Name: "b", Rooms: []int{1}}}
	for _, x := range []struct {
		room    int
		labels  []string
		limiter int
		want    int
	}{
		{0, nil, 0, 1}, {1, nil, 0, 2}, {1, nil, 1, 1}, {2, nil, 0, 3}, {2, []string{"old", "rack-1"}, 0, 0}, {1, []string{"new"}, 1, 0}, {2, []string{"old"}, 0, 3},
	} {
		if got := tiers.IndexOf(x.room, x.labels, x.limiter); got != x.want {
			t.Errorf("%+v: tier %d", x, got)
		}
	}
	if s := tiers.Spills(); len(s) != 4 || s[3] != 0 {
		t.Errorf("spills %v", s)
	}
}
