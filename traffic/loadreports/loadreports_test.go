package loadreports

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// desk returns one that knows ten servers of its zone and ten of another, with two slots each.
func desk(life uint32) *Desk {
	d := New(life)
	servers := map[uint32]Server{}
	for i := range uint32(20) {
		servers[i] = Server{Service: "engines", Slots: 2, Zone: fmt.Sprint("z", i/10), Near: i < 10}
	}
	d.Serve(servers)
	return d
}

// press has a desk find its zone's service pressed by what it has in hand itself.
func press(t *testing.T, d *Desk, now float64) float64 {
	t.Helper()
	for i := range uint32(10) {
		d.Began(i)
		d.Began(i)
	}
	for range 100 {
		now += 50
		d.Others(now)
	}
	if s := d.Steps(); len(s) != 1 || !s[0].Pressed {
		t.Fatalf("a service with all slots taken is not pressed: %v", s)
	}
	return now
}

// Words that come in any order, doubled or not at all before the last ones, lead to the same belief.
func TestAnyOrderLeadsToTheSame(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var words []Word
		for source := range uint32(6) {
			from := desk(source + 10)
			for k := range 4 {
				for range rng.IntN(5) {
					from.Began(rng.Uint32N(20))
				}
				if w, due := from.Next(float64(k) * 1000); due {
					words = append(words, w)
				}
			}
		}
		var beliefs []map[uint32]float64
		for range 3 {
			d := desk(1)
			now := press(t, d, 0)
			all := append(slices.Clone(words), words[:rng.IntN(len(words)+1)]...)
			rng.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
			for _, w := range all {
				d.Hear(now, w)
			}
			beliefs = append(beliefs, d.Others(now+10))
		}
		for _, b := range beliefs[1:] {
			if diff := cmp.Diff(beliefs[0], b, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Fatal(diff)
			}
		}
	}
}

// What was told is half gone after half of the time that it takes, and gone after all of it: who
// hears nobody any more goes by its own view.
func TestWhatWasToldFades(t *testing.T) {
	d := desk(1)
	now := press(t, d, 0)
	from := desk(2)
	from.Began(3)
	from.Began(3)
	w, due := from.Next(0)
	if !due || !d.Hear(now, w) || d.Hear(now, w) {
		t.Fatal("a word is taken in once")
	}
	for _, step := range []struct{ after, want float64 }{{0, 2}, {timeFirst / 2, 1}, {timeFirst, 0}, {10 * timeFirst, 0}} {
		if got := d.Others(now + step.after)[3]; math.Abs(got-step.want) > 0.01 {
			t.Errorf("after %v ms: %v in hand, %v wanted", step.after, got, step.want)
		}
	}
}

// While less than seven in ten of its neighbours are heard a limiter goes by its own view, and does not
// say that it knows its zone. A word that was under way for long is as old as it is.
func TestTooFewNeighbours(t *testing.T) {
	d := desk(1)
	d.Expect(10)
	now := press(t, d, 0)
	for source := range uint32(10) {
		from := desk(source + 10)
		from.Began(3)
		w, _ := from.Next(1000)
		d.Hear(now, w)
		others := d.Others(now)
		if _, known := d.Waits(); known != (source >= 6) || (len(others) > 0) != known {
			t.Errorf("%d of 10 are heard: knows %v, %v", source+1, known, others)
		}
	}
	from := desk(10)
	from.Began(4)
	from.serial = 7
	if w, _ := from.Next(2000); !d.Hear(now+1000+timeFirst/2, w) { // the one before took none
		t.Error("a late word is let go")
	}
	d.Expect(1)
	if got := d.Others(now + 1000 + timeFirst/2)[4]; math.Abs(got-0.5) > 0.02 {
		t.Errorf("a late word counts %v", got)
	}
}

// Nothing in hand: nothing is told. Words come rarely while there is room, often while a service is
// pressed, and what makes it pressed is told at once. It is calm again at less than it took.
func TestPace(t *testing.T) {
	d := desk(1)
	count := func(from, to float64) (n int) {
		for now := from; now < to; now += 50 {
			d.Others(now)
			d.Steps()
			if _, due := d.Next(now); due {
				n++
			}
		}
		return n
	}
	if n := count(0, 1000); n != 0 {
		t.Errorf("%d words of nothing", n)
	}
	d.Began(3)
	if n := count(1000, 2000); n != 5 {
		t.Errorf("%d words in a calm second, 5 wanted", n)
	}
	for i := range uint32(12) { // 13 of 20
		d.Began(i % 10)
	}
	count(2000, 5000)
	if n := count(5000, 6000); n != 20 {
		t.Errorf("%d words in a pressed second, 20 wanted", n)
	}
	for i := range uint32(2) { // 11 of 20
		d.Ended(i, true, 100)
	}
	if n := count(6000, 9000); n != 60 {
		t.Errorf("%d words in 3 s a little under where it became pressed, 60 wanted", n)
	}
	for i := range uint32(10) {
		d.Ended(i, true, 100)
	}
	count(9000, 12000)
	if n := count(12000, 13000); n != 5 {
		t.Errorf("%d words in a calm second, 5 wanted", n)
	}
}

// A neighbour that lies costs a bounded share: so much a server, so many servers, so many sources.
// Words of another layout are let go.
func TestLiars(t *testing.T) {
	d := desk(1)
	now := press(t, d, 0)
	full := []byte{0, 0, 0, 5, 255, 255}
	for name, w := range map[string]Word{
		"another version": {Version: 2, Source: 7, Serial: 1, Entries: full},
		"its own":         {Version: version, Source: 1, Serial: 1, Entries: full},
		"no source":       {Version: version, Serial: 1, Entries: full},
		"a torn entry":    {Version: version, Source: 7, Serial: 1, Entries: full[:5]},
		"too many":        {Version: version, Source: 7, Serial: 1, Entries: make([]byte, (entriesMost+1)*entryBytes)},
	} {
		if d.Hear(now, w) {
			t.Errorf("%s: taken in", name)
		}
	}
	taken := 0
	for source := range uint32(3 * sourcesMost) {
		if d.Hear(now, Word{Version: version, Source: source + 100, Serial: 1, Entries: full}) {
			taken++
		}
	}
	if got := d.Others(now)[5]; taken != sourcesMost || got > sourcesMost*countMost {
		t.Errorf("%d sources are believed in %v requests", taken, got)
	}
}

// Servers of another zone count as that zone says, or as this one while it says nothing; one that
// says that nothing waits there is believed.
func TestOtherZones(t *testing.T) {
	d := desk(1)
	if d.Others(0)[15] != 0 {
		t.Error("a calm service's servers elsewhere are taken for full")
	}
	now := press(t, d, 0)
	here := d.Others(now)[15]
	if math.Abs(here-1.5) > 0.2 { // one more request waits for half of its work here
		t.Errorf("servers of a zone that says nothing: %v", here)
	}
	d.Zone(now, "z1", []Wait{{"engines", 2}, {"unheard of", 9}})
	if got := d.Others(now)[15]; got != 5 {
		t.Errorf("a fuller zone: %v", got)
	}
	d.Zone(now, "z1", nil)
	if got := d.Others(now)[15]; got != 0 {
		t.Errorf("a zone that names nothing pressed: %v", got)
	}
	if got := d.Others(now + 2*zoneMs)[15]; got < 1 {
		t.Errorf("a zone that has become silent: %v", got)
	}
	if w, known := d.Waits(); !known || len(w) != 1 || w[0].Service != "engines" || math.Abs(w[0].Of-0.5) > 0.02 {
		t.Errorf("this zone tells %v", w)
	}
	d.Serve(nil)
	if d.Others(now); len(d.services) != 0 {
		t.Error("a service without servers is remembered")
	}
}

// A word stays within a datagram however much is in hand.
func TestWordsAreBounded(t *testing.T) {
	d := desk(1)
	for i := range uint32(5000) {
		d.Began(i)
	}
	w, _ := d.Next(0)
	data, err := cbor.Marshal(w)
	if err != nil || len(data) > 420 {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}
