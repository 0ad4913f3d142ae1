package catalog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// content is what a book says, without when it learnt it.
func content(now float64, b *Book) map[string]string {
	m := map[string]string{}
	b.Each(now, func(r Record) { m[r.ID] = r.State.String() + " " + r.Address })
	return m
}

// Registries take beats, drains and ends at random, follow each other with losses and delays,
// and begin anew; once all is quiet they say the same, and it is what the servers said last.
func TestBooksAgree(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		books := []*Book{New("a0"), New("b0"), New("c0")}
		said := map[string]Record{}
		now := 0.0
		follow := func(i, k int) {
			records := books[k].Since(now, books[i].Vector())
			books[i].Merge(now, records)
			books[i].Know(books[k].Vector())
		}
		for step := range 400 {
			now += 20
			id := fmt.Sprintf("i-%d", rng.IntN(12))
			r := said[id]
			if r.State != Gone {
				r.ID, r.Service, r.Sequence = id, "s", r.Sequence+1
				switch x := rng.Float64(); {
				case x < 0.05:
					r.State = Gone
				case x < 0.15:
					r.State = Draining
				}
				said[id] = r
				k := rng.IntN(3)
				if r.State == Gone {
					books[k].Leave(now, id)
				} else {
					books[k].Beat(now, r)
					late := r // a beat that was overtaken
					late.Sequence, late.State = r.Sequence-1, Available
					books[k].Beat(now, late)
				}
			}
			if rng.Float64() < 0.5 {
				follow(rng.IntN(3), rng.IntN(3))
			}
			if rng.Float64() < 0.02 {
				k := rng.IntN(3)
				books[k] = New(fmt.Sprintf("%s%d", string("abc"[k]), step))
			}
		}
		for range 3 {
			for _, r := range said { // all beat on
				if r.State != Gone {
					r.Sequence += 1000
					books[rng.IntN(3)].Beat(now, r)
				}
			}
			for i := range books {
				for k := range books {
					follow(i, k)
				}
			}
			for i := range books {
				for k := range books {
					books[i].Merge(now, books[k].Differing(now, books[i].Digests()))
				}
			}
		}
		for k := 1; k < 3; k++ {
			if diff := cmp.Diff(content(now, books[0]), content(now, books[k])); diff != "" {
				t.Fatalf("seed %d: book %d differs: %s", seed, k, diff)
			}
		}
		for id, r := range said {
			got, ok := books[0].Get(now, id)
			if r.State != Gone && (!ok || got.State != r.State) {
				t.Fatalf("seed %d: %s is %v, the server said %v", seed, id, got.State, r.State)
			}
		}
	}
}

func TestVectorSkipsNothingThatWasLost(t *testing.T) {
	a, b := New("a"), New("b")
	a.Beat(0, Record{ID: "1", Service: "s", Sequence: 1})
	a.Beat(0, Record{ID: "2", Service: "s", Sequence: 1})
	r, _ := a.Get(0, "2")
	b.Merge(0, []Record{r}) // pushed; the push of the first was lost
	b.Merge(0, a.Since(0, b.Vector()))
	if b.Len() != 2 {
		t.Errorf("%d records, 2 wanted: a single record that is pushed must not hide an earlier one", b.Len())
	}
}

func TestSilence(t *testing.T) {
	alive := map[string]bool{"a": true}
	a, b := New("a"), New("b")
	a.Beat(0, Record{ID: "1", Service: "s", Sequence: 1})
	b.Merge(0, a.Since(0, b.Vector()))
	state := func(book *Book, now float64) State {
		r, _ := book.Get(now, "1")
		return r.State
	}
	up := func(s string) bool { return alive[s] }
	if b.Expire(13000, 6000, 3000, up); state(b, 13000) != Available {
		t.Error("the source of a record runs and sees to it itself")
	}
	alive["a"] = false
	if b.Expire(13000, 6000, 3000, up); state(b, 13000) != Silent {
		t.Error("a record of a source that is gone is nobody's to expire")
	}
	b.Beat(13100, Record{ID: "1", Service: "s", Sequence: 9})
	if state(b, 13100) != Available {
		t.Error("a server that beats again is available")
	}
	a.Merge(13200, b.Since(13200, a.Vector()))
	if state(a, 13200) != Available {
		t.Error("a later beat holds, wherever it came")
	}
}

// A registry that was cut off takes servers for silent that beat to another one. When it is
// back the word of the one that hears them holds, everywhere.
func TestSilenceOfACutOffRegistry(t *testing.T) {
	a, b, c := New("a"), New("b"), New("c")
	a.Beat(0, Record{ID: "1", Service: "s", Sequence: 1})
	b.Merge(0, a.Since(0, b.Vector()))
	c.Merge(0, a.Since(0, c.Vector()))
	for now := 1500.0; now <= 15000; now += 1500 {
		a.Beat(now, Record{ID: "1", Service: "s", Sequence: 1 + uint64(now)/1500})
	}
	b.Expire(15000, 6000, 3000, func(string) bool { return false })
	for range 2 {
		for _, x := range []*Book{a, b, c} {
			for _, y := range []*Book{a, b, c} {
				x.Merge(15100, y.Since(15100, x.Vector()))
			}
		}
	}
	for name, book := range map[string]*Book{"a": a, "b": b, "c": c} {
		if r, _ := book.Get(15100, "1"); r.State != Available {
			t.Errorf("%s says %v of a server that beats", name, r.State)
		}
	}
}

// A cold server's end of warming is news once, not with each beat.
func TestWarmth(t *testing.T) {
	a := New("a")
	beat := func(now float64, seq, warm uint64) bool {
		return a.Beat(now, Record{ID: "1", Service: "s", Sequence: seq, WarmMs: warm})
	}
	for i, step := range []struct {
		now, warm uint64
		news      bool
	}{{0, 3000, true}, {1500, 1500, false}, {3000, 0, false}, {4500, 0, false}, {6000, 3000, true}, {6500, 2500, false}} {
		if got := beat(float64(step.now), uint64(i+1), step.warm); got != step.news {
			t.Errorf("beat at %d with %d ms left: news is %v", step.now, step.warm, got)
		}
	}
	if r, _ := a.Get(7000, "1"); r.WarmMs != 2000 {
		t.Errorf("%d ms left a second later, 2000 wanted", r.WarmMs)
	}
}

// Registries take beats and drains, push single records, repair and pull from each other, and a
// limiter pulls from them, each answer some while after its question; once all is quiet the limiter
// has the latest word of every server. A record that was pushed to a registry must not hide, from
// whoever pulls there, earlier ones of its source that the registry lacks itself.
func TestNothingIsSkipped(t *testing.T) {
	type pull struct {
		ask, knows Vector
		records    []Record
		answered   bool
	}
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 5))
		books := []*Book{New("a"), New("b"), New("c"), New("")} // the last one is the limiter's
		last := map[string]Record{}
		pulls := map[[2]int]*pull{}
		now := 0.0
		for range 10 + rng.IntN(60) {
			now++
			i, k := rng.IntN(4), rng.IntN(3)
			switch x := rng.IntN(6); {
			case x < 2: // a beat, and at times a push of it
				id := fmt.Sprint("i-", rng.IntN(3))
				r := Record{ID: id, Service: "s", Address: id, Sequence: last[id].Sequence + 1}
				if rng.IntN(6) == 0 || last[id].State == Draining {
					r.State = Draining
				}
				last[id] = r
				if books[k].Beat(now, r); rng.IntN(3) == 0 && i != k && i < 3 {
					r, _ := books[k].Get(now, id)
					books[i].Merge(now, []Record{r})
				}
			case x == 2 && i != k && i < 3:
				books[i].Merge(now, books[k].Differing(now, books[i].Digests()))
			case i != k:
				switch p := pulls[[2]int{i, k}]; {
				case p == nil:
					pulls[[2]int{i, k}] = &pull{ask: maps.Clone(books[i].Vector())}
				case !p.answered:
					p.answered, p.records, p.knows = true, books[k].Since(now, p.ask), maps.Clone(books[k].Vector())
				default:
					books[i].Merge(now, p.records)
					books[i].Know(p.knows)
					delete(pulls, [2]int{i, k})
				}
			}
		}
		for range 4 {
			for i, b := range books {
				for k, o := range books[:3] {
					if i != k {
						b.Merge(now, o.Since(now, b.Vector()))
						b.Know(o.Vector())
					}
				}
			}
		}
		for id, want := range last {
			if got, ok := books[3].Get(now, id); !ok || got.State != want.State {
				t.Fatalf("seed %d: the limiter takes %s for %v (known: %v), it said %v", seed, id, got.State, ok, want.State)
			}
		}
	}
}
