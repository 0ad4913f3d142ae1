package controlstate

import (
	"fmt"
	"testing"

	"example.org/madderdrum/control/places"
)

// Guards against a register that grows as limiters are replaced: 760 limiters with 1,900 replacements a day
// must need about as much space after 30 days as at first.
func TestRegisterOfPlacesStaysBounded(t *testing.T) {
	const limiters, replacedPerDay, days = 760, 1900, 30
	place := func(i int) places.Place {
		name := fmt.Sprintf("edge-north-a-%06d", i)
		return places.Place{Name: name, IP: fmt.Sprintf("10.%d.%d.%d", 64+i>>16, i>>8&255, i&255), Zone: "north-a", Incarnation: name + "#204bdd61"}
	}
	r := &Register{}
	apply := func(order Order) {
		if out := r.Apply(&order); out.Status != 200 {
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
	for i := range limiters {
		apply(Order{Kind: RegisterLimiters, SeenSeq: r.Seq, Places: []places.Place{place(i)}})
	}
	apply(Order{Kind: SettlePlaces, SettledSeq: r.Seq})
	initialSize := size()
	const batchSize = 5 // limiters replaced by one order
	for joined := 0; joined < replacedPerDay*days; joined += batchSize {
		var joining []places.Place
		var released []string
		for i := joined; i < joined+batchSize; i++ {
			old := place(i)
			joining, released = append(joining, place(limiters+i)), append(released, old.Holder())
		}
		apply(Order{Kind: RegisterLimiters, SeenSeq: r.Seq, Places: joining})
		apply(Order{Kind: ReleasePlaces, Holders: released})
		if joined%(3*batchSize) == 0 {
			apply(Order{Kind: SettlePlaces, SettledSeq: r.Seq})
		}
	}
	finalSize := size()
	t.Logf("%d bytes at first, %d after %d days with %d slots", initialSize, finalSize, days, len(r.Places))
	if finalSize > initialSize+initialSize/10 || len(r.Places) > limiters+4*batchSize {
		t.Errorf("%d bytes and %d slots after %d days, %d bytes at first", finalSize, len(r.Places), days, initialSize)
	}
}
