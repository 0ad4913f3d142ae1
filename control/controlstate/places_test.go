package controlstate

import (
	"fmt"
	"testing"

	"example.org/madderdrum/control/places"
)

// A register of 760 limiters, of whom 1,900 are replaced a day, is no larger after 30 days than after one hour.
func TestRegisterOfPlacesStaysBounded(t *testing.T) {
	const living, replaced, days = 760, 1900, 30
	place := func(i int) places.Place {
		name := fmt.Sprintf("edge-north-a-%06d", i)
		return places.Place{Name: name, IP: fmt.Sprintf("10.%d.%d.%d", 64+i>>16, i>>8&255, i&255), Zone: "north-a", Life: name + "#204bdd61"}
	}
	r := &Register{}
	give := func(o Order) {
		if out := r.Apply(&o); out.Status != 200 {
			t.Fatal(out)
		}
	}
	size := func() int {
		value, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return len(value)
	}
	for i := range living {
		give(Order{Kind: RegisterLimiters, Seen: r.Seq, Places: []places.Place{place(i)}})
	}
	give(Order{Kind: SettlePlaces, Settled: r.Seq})
	begin := size()
	const together = 5 // that are replaced with one change
	for k := 0; k < replaced*days; k += together {
		var joining []places.Place
		var released []string
		for i := k; i < k+together; i++ {
			old := place(i)
			joining, released = append(joining, place(living+i)), append(released, old.Holder())
		}
		give(Order{Kind: RegisterLimiters, Seen: r.Seq, Places: joining})
		give(Order{Kind: ReleasePlaces, Holders: released})
		if k%(3*together) == 0 {
			give(Order{Kind: SettlePlaces, Settled: r.Seq})
		}
	}
	end := size()
	t.Logf("%d bytes at first, %d after %d days: %d slots", begin, end, days, len(r.Places))
	if end > begin+begin/10 || len(r.Places) > living+4*together {
		t.Errorf("%d bytes and %d slots after %d days, %d bytes at first", end, len(r.Places), days, begin)
	}
}
