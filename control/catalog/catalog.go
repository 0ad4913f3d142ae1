// Package catalog is the mergeable record of which servers and limiters there are. Any core
// machine may write it. Each record is of one life of a server and carries the number of
// the beat that it rests on: of two copies the one with the later beat holds, whatever way
// they came. Whoever learns something first stamps it with its own source and a version
// that rises; others pull what they lack by a vector of versions, one a source.
//
// A [Book] does no input or output and reads no clock: times are handed in, in milliseconds
// on any clock that does not go backwards. It is not safe for concurrent use.
package catalog

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/google/btree"
)

// State is how a server stands.
type State uint8

// The states. Of two records that rest on the same beat the greater one holds.
const (
	Available State = iota
	Silent          // no beat for long
	Draining
	Gone // it has left: no later word brings it back
)

var stateNames = [...]string{"available", "silent", "draining", "gone"}

func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// Record is one life of a server or, where Service is [Limiters], of a limiter.
type Record struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint,omitempty"`
	Address  string `cbor:"3,keyasint,omitempty"`
	Zone     string `cbor:"4,keyasint,omitempty"`
	Slots    int    `cbor:"5,keyasint,omitempty"`
	State    State  `cbor:"6,keyasint,omitempty"`
	Sequence uint64 `cbor:"7,keyasint,omitempty"` // of the beat that it rests on
	WarmMs   uint64 `cbor:"8,keyasint,omitempty"` // how much longer it is cold, when it is told
	Source   string `cbor:"9,keyasint,omitempty"` // who stamped it
	Version  uint64 `cbor:"10,keyasint,omitempty"`
	Since    uint64 `cbor:"11,keyasint,omitempty"` // ms for which it has stood so, when it is told
}

// Limiters is the service of limiters themselves, Cores that of registries.
const (
	Limiters = "@limiters"
	Cores    = "@cores"
)

// newer tells that a takes the place of b.
func newer(a, b *Record) bool {
	switch {
	case a.State == Gone || b.State == Gone:
		return a.State == Gone && b.State != Gone
	case a.Sequence != b.Sequence:
		return a.Sequence > b.Sequence
	}
	return a.State > b.State
}

type entry struct {
	Record
	warmAt  float64 // warm from then on
	heardAt float64 // when its last beat came here, or word of it
	setAt   float64 // when its state was last changed
}

func less(a, b *entry) bool { return a.ID < b.ID }

// Vector is what somebody has: of each source the latest version.
type Vector map[string]uint64

// Book holds the records that one process knows.
type Book struct {
	source  string
	version uint64
	all     *btree.BTreeG[*entry]
	vector  Vector
}

// New returns an empty book. source is unique to this life of this process; a process that
// only reads has none.
func New(source string) *Book {
	return &Book{source: source, all: btree.NewG(8, less), vector: Vector{}}
}

// Source is this process's own.
func (b *Book) Source() string { return b.source }

// Len is the number of records.
func (b *Book) Len() int { return b.all.Len() }

// Vector is what this book has.
func (b *Book) Vector() Vector { return b.vector }

func (b *Book) get(id string) *entry {
	e, _ := b.all.Get(&entry{Record: Record{ID: id}})
	return e
}

// Get returns a record as it stands now.
func (b *Book) Get(now float64, id string) (Record, bool) {
	e := b.get(id)
	if e == nil {
		return Record{}, false
	}
	return e.at(now), true
}

// at is the record with its spans as of now.
func (e *entry) at(now float64) Record {
	r := e.Record
	r.WarmMs = uint64(max(0, e.warmAt-now))
	r.Since = uint64(max(0, now-e.setAt))
	return r
}

// warmNews is by how much a cold server's end of warming may differ from what is known
// without being news.
const warmNews = 400.0

// Beat takes in what a server says of itself and tells whether that is news for others. A
// beat that is late changes nothing.
func (b *Book) Beat(now float64, r Record) (news bool) {
	e := b.get(r.ID)
	if e != nil && (e.State == Gone || r.Sequence < e.Sequence) {
		return false
	}
	if e == nil {
		b.put(now, r)
		return true
	}
	e.heardAt = now
	warmAt := now + float64(r.WarmMs)
	cold := r.WarmMs > 0 && (warmAt > e.warmAt+warmNews || e.warmAt <= now) || r.WarmMs == 0 && e.warmAt > now+warmNews
	if e.Source == b.source && e.State == r.State && e.Address == r.Address && e.Service == r.Service && !cold {
		e.Sequence = max(e.Sequence, r.Sequence)
		return false
	}
	b.put(now, r)
	return true
}

// Leave notes that a server has left for good, and tells whether that is news.
func (b *Book) Leave(now float64, id string) bool {
	e := b.get(id)
	if e != nil && e.State == Gone {
		return false
	}
	r := Record{ID: id}
	if e != nil {
		r = e.at(now)
	}
	r.State = Gone
	b.put(now, r)
	return true
}

// put stamps a record as this process's word.
func (b *Book) put(now float64, r Record) {
	b.version++
	r.Source, r.Version = b.source, b.version
	b.vector[b.source] = b.version
	b.set(now, r, 0)
}

func (b *Book) set(now float64, r Record, since float64) {
	e := &entry{Record: r, heardAt: now, warmAt: now + float64(r.WarmMs), setAt: now - since}
	if o := b.get(r.ID); o != nil && o.State == r.State {
		e.setAt = min(e.setAt, o.setAt)
	}
	b.all.ReplaceOrInsert(e)
}

// Merge takes in records of others and returns those that were news here. The vector rises by a
// record only if it is the next one of its source: whoever tells records may have single ones, that
// were pushed to it, ahead of what it has whole. What is told whole comes with the vector of
// whoever tells it, for [Book.Know].
func (b *Book) Merge(now float64, records []Record) (news []Record) {
	for _, r := range records {
		if r.Source == "" || r.Source == b.source {
			continue
		}
		if r.Version == b.vector[r.Source]+1 {
			b.vector[r.Source] = r.Version
		}
		if e := b.get(r.ID); e != nil && !newer(&r, &e.Record) {
			if r.Source == e.Source && r.Version > e.Version {
				e.Version = r.Version
			}
			if e.Source == b.source && r.State != e.State && e.State != Gone {
				// Another takes it for silent, and this process hears its beats: they are told
				// again, with the number of the latest.
				b.put(now, e.at(now))
				news = append(news, b.get(r.ID).at(now))
			}
			continue
		}
		b.set(now, r, float64(r.Since))
		news = append(news, r)
	}
	return news
}

// Since returns the records that somebody with a vector lacks.
func (b *Book) Since(now float64, v Vector) (all []Record) {
	b.all.Ascend(func(e *entry) bool {
		if e.Version > v[e.Source] {
			all = append(all, e.at(now))
		}
		return true
	})
	return all
}

// Lacks tells that somebody with a vector lacks something of this book.
func (b *Book) Lacks(v Vector) bool {
	for s, n := range b.vector {
		if n > v[s] {
			return true
		}
	}
	return false
}

// Know raises the vector to what another is known to have told whole.
func (b *Book) Know(v Vector) {
	for s, n := range v {
		if n > b.vector[s] {
			b.vector[s] = n
		}
	}
}

// Expire marks those whose beats have ceased. limit is how long a beat may be out for
// servers and for limiters; alive tells whether another source still runs, which then sees
// to its own. A process that hears no majority must not call it: it can't tell who is silent
// from who is on the other side. It forgets what has been gone for long. It tells whether
// there is news.
func (b *Book) Expire(now, servers, limiters float64, alive func(source string) bool) (news bool) {
	var due, old []*entry
	b.all.Ascend(func(e *entry) bool {
		limit := servers
		if e.Service == Limiters || e.Service == Cores {
			limit = limiters
		}
		switch silent := now - e.heardAt; {
		case e.State == Gone || e.State == Silent:
			if now-e.setAt > forgetMs {
				old = append(old, e)
			}
		case e.Source == b.source && silent > limit, e.Source != b.source && silent > 2*limit && !alive(e.Source):
			due = append(due, e)
		}
		return true
	})
	for _, e := range due {
		r := e.at(now)
		r.State = Silent
		b.put(now, r)
	}
	for _, e := range old {
		b.all.Delete(e)
	}
	return len(due) > 0
}

// forgetMs is how long a record of one that is gone or silent is kept: much longer than any
// word of it can be under way.
const forgetMs = 120_000.0

// Each calls f for every record, by id.
func (b *Book) Each(now float64, f func(Record)) {
	b.all.Ascend(func(e *entry) bool {
		f(e.at(now))
		return true
	})
}

// Ranges is into how many ranges of ids digests divide a book.
const Ranges = 16

func rangeOf(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % Ranges)
}

// Digests are one number a range, equal in books that hold the same.
func (b *Book) Digests() (d [Ranges]uint64) {
	b.all.Ascend(func(e *entry) bool {
		h := fnv.New64a()
		h.Write([]byte(e.ID))
		// The number of the beat rises all the time without being news: the stamp is what
		// copies share.
		h.Write([]byte{byte(e.State), byte(e.Version), byte(e.Version >> 8), byte(e.Version >> 16)})
		h.Write([]byte(e.Source))
		d[rangeOf(e.ID)] ^= h.Sum64()
		return true
	})
	return d
}

// Differing returns the records of the ranges whose digests differ.
func (b *Book) Differing(now float64, d [Ranges]uint64) (all []Record) {
	mine := b.Digests()
	if mine == d {
		return nil
	}
	b.all.Ascend(func(e *entry) bool {
		if k := rangeOf(e.ID); mine[k] != d[k] {
			all = append(all, e.at(now))
		}
		return true
	})
	return all
}

// Sources lists the sources that the book has heard of, in order.
func (b *Book) Sources() (all []string) {
	for s := range b.vector {
		all = append(all, s)
	}
	slices.Sort(all)
	return all
}

// ServiceCount is how many lives of a service's servers stand how.
type ServiceCount struct {
	Service string
	States  [len(stateNames)]int // by State
	Cold    int
}

// Counts are those of all services, by name.
func (b *Book) Counts(now float64) []ServiceCount {
	byName := map[string]*ServiceCount{}
	b.Each(now, func(r Record) {
		count := byName[r.Service]
		if count == nil {
			count = &ServiceCount{Service: r.Service}
			byName[r.Service] = count
		}
		count.States[r.State]++
		if r.WarmMs > 0 {
			count.Cold++
		}
	})
	var all []ServiceCount
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		all = append(all, *byName[name])
	}
	return all
}

// Report is one line of key=value pairs for each source and each service.
func (b *Book) Report(now float64) (lines []string) {
	for _, s := range b.Sources() {
		lines = append(lines, fmt.Sprintf("source=%s version=%d", s, b.vector[s]))
	}
	for _, count := range b.Counts(now) {
		line := "service=" + count.Service
		for state, n := range count.States {
			line += fmt.Sprintf(" %s=%d", stateNames[state], n)
		}
		lines = append(lines, fmt.Sprintf("%s cold=%d", line, count.Cold))
	}
	return lines
}
