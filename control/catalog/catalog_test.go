package catalog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// content returns the state and address of each record by id, without times and versions.
func content(now float64, b *Catalog) map[string]string {
	m := map[string]string{}
	b.Each(now, func(r Record) { m[r.ID] = r.State.String() + " " + r.Address })
	return m
}

// Registries receive heartbeats, drains and departures at random, replicate from each other irregularly and
// restart with empty catalogs. Once replication has caught up, all catalogs must agree with each other and
// with the last state that each server sent.
func TestBooksAgree(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		catalogs := []*Catalog{New("a0"), New("b0"), New("c0")}
		sent := map[string]Record{}
		now := 0.0
		pullFrom := func(i, k int) {
			records := catalogs[k].Since(now, catalogs[i].Vector())
			catalogs[i].Merge(now, records)
			catalogs[i].AdvanceVector(catalogs[k].Vector())
		}
		for step := range 400 {
			now += 20
			id := fmt.Sprintf("i-%d", rng.IntN(12))
			r := sent[id]
			if r.State != Gone {
				r.ID, r.Service, r.Sequence = id, "s", r.Sequence+1
				switch x := rng.Float64(); {
				case x < 0.05:
					r.State = Gone
				case x < 0.15:
					r.State = Draining
				}
				sent[id] = r
				k := rng.IntN(3)
				if r.State == Gone {
					catalogs[k].MarkGone(now, id)
				} else {
					catalogs[k].ApplyHeartbeat(now, r)
					late := r // a heartbeat that was overtaken by a later one
					late.Sequence, late.State = r.Sequence-1, Available
					catalogs[k].ApplyHeartbeat(now, late)
				}
			}
			if rng.Float64() < 0.5 {
				pullFrom(rng.IntN(3), rng.IntN(3))
			}
			if rng.Float64() < 0.02 {
				k := rng.IntN(3)
				catalogs[k] = New(fmt.Sprintf("%s%d", string("abc"[k]), step))
			}
		}
		for range 3 {
			for _, r := range sent { // all remaining servers continue to send heartbeats
				if r.State != Gone {
					r.Sequence += 1000
					catalogs[rng.IntN(3)].ApplyHeartbeat(now, r)
				}
			}
			for i := range catalogs {
				for k := range catalogs {
					pullFrom(i, k)
				}
			}
			for i := range catalogs {
				for k := range catalogs {
					catalogs[i].Merge(now, catalogs[k].DifferingRecords(now, catalogs[i].Digests()))
				}
			}
		}
		for k := 1; k < 3; k++ {
			if diff := cmp.Diff(content(now, catalogs[0]), content(now, catalogs[k])); diff != "" {
				t.Fatalf("seed %d: catalog %d differs: %s", seed, k, diff)
			}
		}
		for id, r := range sent {
			got, ok := catalogs[0].Get(now, id)
			if r.State != Gone && (!ok || got.State != r.State) {
				t.Fatalf("seed %d: %s is %v, but the server last sent %v", seed, id, got.State, r.State)
			}
		}
	}
}

// A record that is pushed alone must not advance the version vector past an earlier record whose push was lost.
func TestVectorSkipsNothingThatWasLost(t *testing.T) {
	a, b := New("a"), New("b")
	a.ApplyHeartbeat(0, Record{ID: "1", Service: "s", Sequence: 1})
	a.ApplyHeartbeat(0, Record{ID: "2", Service: "s", Sequence: 1})
	r, _ := a.Get(0, "2")
	b.Merge(0, []Record{r}) // pushed; the push of the first record was lost
	b.Merge(0, a.Since(0, b.Vector()))
	if b.Len() != 2 {
		t.Errorf("%d records, want 2: a single pushed record must not hide an earlier one", b.Len())
	}
}

// Another registry expires a record only if its source no longer runs, and a later heartbeat makes the
// server available again everywhere.
func TestSilence(t *testing.T) {
	alive := map[string]bool{"a": true}
	a, b := New("a"), New("b")
	a.ApplyHeartbeat(0, Record{ID: "1", Service: "s", Sequence: 1})
	b.Merge(0, a.Since(0, b.Vector()))
	state := func(catalog *Catalog, now float64) State {
		r, _ := catalog.Get(now, "1")
		return r.State
	}
	isAlive := func(s string) bool { return alive[s] }
	if b.Expire(13000, 6000, 3000, isAlive); state(b, 13000) != Available {
		t.Error("record was expired by another registry although its source still runs")
	}
	alive["a"] = false
	if b.Expire(13000, 6000, 3000, isAlive); state(b, 13000) != Silent {
		t.Error("record was not expired although its source no longer runs")
	}
	b.ApplyHeartbeat(13100, Record{ID: "1", Service: "s", Sequence: 9})
	if state(b, 13100) != Available {
		t.Error("server is not available after a new heartbeat")
	}
	a.Merge(13200, b.Since(13200, a.Vector()))
	if state(a, 13200) != Available {
		t.Error("a later heartbeat received by another registry did not win")
	}
}

// A registry that was cut off marks servers as silent whose heartbeats reach another registry. After the
// partition heals, the record of the registry that receives the heartbeats must win everywhere.
func TestSilenceOfACutOffRegistry(t *testing.T) {
	a, b, c := New("a"), New("b"), New("c")
	a.ApplyHeartbeat(0, Record{ID: "1", Service: "s", Sequence: 1})
	b.Merge(0, a.Since(0, b.Vector()))
	c.Merge(0, a.Since(0, c.Vector()))
	for now := 1500.0; now <= 15000; now += 1500 {
		a.ApplyHeartbeat(now, Record{ID: "1", Service: "s", Sequence: 1 + uint64(now)/1500})
	}
	b.Expire(15000, 6000, 3000, func(string) bool { return false })
	for range 2 {
		for _, x := range []*Catalog{a, b, c} {
			for _, y := range []*Catalog{a, b, c} {
				x.Merge(15100, y.Since(15100, x.Vector()))
			}
		}
	}
	for name, catalog := range map[string]*Catalog{"a": a, "b": b, "c": c} {
		if r, _ := catalog.Get(15100, "1"); r.State != Available {
			t.Errorf("%s has state %v for a server that sends heartbeats", name, r.State)
		}
	}
}

// The end of a server's warm-up is reported as a change once, not with every heartbeat.
func TestWarmth(t *testing.T) {
	a := New("a")
	heartbeat := func(now float64, seq, warm uint64) bool {
		return a.ApplyHeartbeat(now, Record{ID: "1", Service: "s", Sequence: seq, WarmupLeftMs: warm})
	}
	for i, step := range []struct {
		now, warm uint64
		changed   bool
	}{{0, 3000, true}, {1500, 1500, false}, {3000, 0, false}, {4500, 0, false}, {6000, 3000, true}, {6500, 2500, false}} {
		if got := heartbeat(float64(step.now), uint64(i+1), step.warm); got != step.changed {
			t.Errorf("heartbeat at %d with %d ms of warm-up left: changed is %v", step.now, step.warm, got)
		}
	}
	if r, _ := a.Get(7000, "1"); r.WarmupLeftMs != 2000 {
		t.Errorf("%d ms of warm-up left a second later, want 2000", r.WarmupLeftMs)
	}
}

// Registries receive heartbeats and drains, push single records, repair differing ranges and pull from each
// other, and a limiter pulls from them; each pull is answered and applied with delays. Once replication has
// caught up, the limiter must have the latest state of every server. This guards against a pushed record
// hiding earlier records of its source, which the registry lacks, from processes that pull from it.
func TestNothingIsSkipped(t *testing.T) {
	type pull struct {
		request, vector Vector
		records         []Record
		answered        bool
	}
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 5))
		catalogs := []*Catalog{New("a"), New("b"), New("c"), New("")} // the last one belongs to the limiter
		last := map[string]Record{}
		pulls := map[[2]int]*pull{}
		now := 0.0
		for range 10 + rng.IntN(60) {
			now++
			i, k := rng.IntN(4), rng.IntN(3)
			switch x := rng.IntN(6); {
			case x < 2: // a heartbeat, sometimes followed by a push of its record
				id := fmt.Sprint("i-", rng.IntN(3))
				r := Record{ID: id, Service: "s", Address: id, Sequence: last[id].Sequence + 1}
				if rng.IntN(6) == 0 || last[id].State == Draining {
					r.State = Draining
				}
				last[id] = r
				if catalogs[k].ApplyHeartbeat(now, r); rng.IntN(3) == 0 && i != k && i < 3 {
					r, _ := catalogs[k].Get(now, id)
					catalogs[i].Merge(now, []Record{r})
				}
			case x == 2 && i != k && i < 3:
				catalogs[i].Merge(now, catalogs[k].DifferingRecords(now, catalogs[i].Digests()))
			case i != k:
				switch p := pulls[[2]int{i, k}]; {
				case p == nil:
					pulls[[2]int{i, k}] = &pull{request: maps.Clone(catalogs[i].Vector())}
				case !p.answered:
					p.answered, p.records, p.vector = true, catalogs[k].Since(now, p.request), maps.Clone(catalogs[k].Vector())
				default:
					catalogs[i].Merge(now, p.records)
					catalogs[i].AdvanceVector(p.vector)
					delete(pulls, [2]int{i, k})
				}
			}
		}
		for range 4 {
			for i, b := range catalogs {
				for k, o := range catalogs[:3] {
					if i != k {
						b.Merge(now, o.Since(now, b.Vector()))
						b.AdvanceVector(o.Vector())
					}
				}
			}
		}
		for id, want := range last {
			if got, ok := catalogs[3].Get(now, id); !ok || got.State != want.State {
				t.Fatalf("seed %d: the limiter has %s as %v (known: %v), but the server last sent %v", seed, id, got.State, ok, want.State)
			}
		}
	}
}
