// Package catalog is a replicated, mergeable catalog of the servers and limiters that exist. Any
// core machine may write to it. Each record describes one incarnation of a server and carries the
// sequence number of the heartbeat that it is based on. Of two copies the one with the later
// heartbeat wins, regardless of the order in which they arrive. The process that first learns of a
// change stamps the record with its own source name and its next version number; other processes
// pull the records that they lack by sending a version vector with one version per source.
//
// A [Catalog] does no input or output and reads no clock: the caller passes the time, in
// milliseconds on any monotonic clock. It is not safe for concurrent use.
package catalog

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/google/btree"
)

// State is the availability of a server.
type State uint8

// The states of a server. Of two records that are based on the same heartbeat the one with the
// greater state wins.
const (
	Available State = iota
	Silent          // no heartbeat within the limit
	Draining
	Gone // left for good: no later heartbeat makes it available again
)

var stateNames = [...]string{"available", "silent", "draining", "gone"}

// String returns the name of the state as it appears in reports and logs.
func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// Record describes one incarnation of a server or, if Service is [Limiters], of a limiter.
type Record struct {
	ID           string `cbor:"1,keyasint"`
	Service      string `cbor:"2,keyasint,omitempty"`
	Address      string `cbor:"3,keyasint,omitempty"`
	Zone         string `cbor:"4,keyasint,omitempty"`
	Slots        int    `cbor:"5,keyasint,omitempty"` // requests that it can process at the same time
	State        State  `cbor:"6,keyasint,omitempty"`
	Sequence     uint64 `cbor:"7,keyasint,omitempty"` // of the heartbeat that the record is based on
	WarmupLeftMs uint64 `cbor:"8,keyasint,omitempty"` // remaining warm-up time when the record was sent
	Source       string `cbor:"9,keyasint,omitempty"` // process that stamped this version
	Version      uint64 `cbor:"10,keyasint,omitempty"`
	Since        uint64 `cbor:"11,keyasint,omitempty"` // milliseconds in this state when the record was sent
}

// Reserved service names: Limiters for the limiters themselves, Cores for the registries.
const (
	Limiters = "@limiters"
	Cores    = "@cores"
)

// supersedes reports whether record a replaces record b.
func supersedes(a, b *Record) bool {
	switch {
	case a.State == Gone || b.State == Gone:
		return a.State == Gone && b.State != Gone
	case a.Sequence != b.Sequence:
		return a.Sequence > b.Sequence
	}
	return a.State > b.State
}

// entry is a record with local times, in milliseconds.
type entry struct {
	Record
	warmUntil  float64 // time at which the warm-up ends
	lastHeard  float64 // time of the last heartbeat or record received
	stateSince float64 // time of the last change of state
}

func lessByID(a, b *entry) bool { return a.ID < b.ID }

// Vector is a version vector: for each source, the version up to which a process has its records.
type Vector map[string]uint64

// Catalog holds the records that one process knows.
type Catalog struct {
	source  string
	version uint64
	records *btree.BTreeG[*entry]
	vector  Vector
}

// New returns an empty catalog. source must be unique to this run of the process; it is empty for a
// process that only reads.
func New(source string) *Catalog {
	return &Catalog{source: source, records: btree.NewG(8, lessByID), vector: Vector{}}
}

// Source returns the source name with which this process stamps records.
func (b *Catalog) Source() string { return b.source }

// Len returns the number of records, including those of servers that have left.
func (b *Catalog) Len() int { return b.records.Len() }

// Vector returns the version vector of this catalog. The caller must not modify it.
func (b *Catalog) Vector() Vector { return b.vector }

// lookup returns the entry with an id, or nil.
func (b *Catalog) lookup(id string) *entry {
	e, _ := b.records.Get(&entry{Record: Record{ID: id}})
	return e
}

// Get returns the record with an id, with its durations as of now.
func (b *Catalog) Get(now float64, id string) (Record, bool) {
	e := b.lookup(id)
	if e == nil {
		return Record{}, false
	}
	return e.recordAt(now), true
}

// recordAt returns the record with its durations as of now.
func (e *entry) recordAt(now float64) Record {
	r := e.Record
	r.WarmupLeftMs = uint64(max(0, e.warmUntil-now))
	r.Since = uint64(max(0, now-e.stateSince))
	return r
}

// warmupToleranceMs is the difference from the known end of a server's warm-up that is not reported
// as a change.
const warmupToleranceMs = 400.0

// ApplyHeartbeat applies a heartbeat from a server and reports whether it changes something that other
// processes must learn. A heartbeat that was overtaken by a later one is ignored.
func (b *Catalog) ApplyHeartbeat(now float64, r Record) (changed bool) {
	e := b.lookup(r.ID)
	if e != nil && (e.State == Gone || r.Sequence < e.Sequence) {
		return false
	}
	if e == nil {
		b.stamp(now, r)
		return true
	}
	e.lastHeard = now
	warmUntil := now + float64(r.WarmupLeftMs)
	warmupChanged := r.WarmupLeftMs > 0 && (warmUntil > e.warmUntil+warmupToleranceMs || e.warmUntil <= now) ||
		r.WarmupLeftMs == 0 && e.warmUntil > now+warmupToleranceMs
	if e.Source == b.source && e.State == r.State && e.Address == r.Address && e.Service == r.Service && !warmupChanged {
		e.Sequence = max(e.Sequence, r.Sequence)
		return false
	}
	b.stamp(now, r)
	return true
}

// MarkGone records that a server has left for good and reports whether that is a change.
func (b *Catalog) MarkGone(now float64, id string) bool {
	e := b.lookup(id)
	if e != nil && e.State == Gone {
		return false
	}
	r := Record{ID: id}
	if e != nil {
		r = e.recordAt(now)
	}
	r.State = Gone
	b.stamp(now, r)
	return true
}

// stamp stores a record under the source of this process and its next version.
func (b *Catalog) stamp(now float64, r Record) {
	b.version++
	r.Source, r.Version = b.source, b.version
	b.vector[b.source] = b.version
	b.store(now, r, 0)
}

// store replaces the record with the same id. since is how long it has been in its state, in
// milliseconds; an earlier start that is known here is kept.
func (b *Catalog) store(now float64, r Record, since float64) {
	e := &entry{Record: r, lastHeard: now, warmUntil: now + float64(r.WarmupLeftMs), stateSince: now - since}
	if o := b.lookup(r.ID); o != nil && o.State == r.State {
		e.stateSince = min(e.stateSince, o.stateSince)
	}
	b.records.ReplaceOrInsert(e)
}

// Merge applies records from another process and returns those that changed this catalog. A record
// advances the version vector only if it carries the next version of its source: the sender may hold
// single records that were pushed to it and lack earlier ones. For a complete answer the caller passes
// the sender's vector to [Catalog.AdvanceVector] afterwards.
func (b *Catalog) Merge(now float64, records []Record) (changed []Record) {
	for _, r := range records {
		if r.Source == "" || r.Source == b.source {
			continue
		}
		if r.Version == b.vector[r.Source]+1 {
			b.vector[r.Source] = r.Version
		}
		if e := b.lookup(r.ID); e != nil && !supersedes(&r, &e.Record) {
			if r.Source == e.Source && r.Version > e.Version {
				e.Version = r.Version
			}
			if e.Source == b.source && r.State != e.State && e.State != Gone {
				// Another process considers the server silent, but this one receives its heartbeats:
				// stamp the record anew with the sequence number of the latest heartbeat.
				b.stamp(now, e.recordAt(now))
				changed = append(changed, b.lookup(r.ID).recordAt(now))
			}
			continue
		}
		b.store(now, r, float64(r.Since))
		changed = append(changed, r)
	}
	return changed
}

// Since returns the records that a process with version vector v lacks.
func (b *Catalog) Since(now float64, v Vector) (records []Record) {
	b.records.Ascend(func(e *entry) bool {
		if e.Version > v[e.Source] {
			records = append(records, e.recordAt(now))
		}
		return true
	})
	return records
}

// HasNewerThan reports whether this catalog has a version that a process with version vector v lacks.
func (b *Catalog) HasNewerThan(v Vector) bool {
	for s, n := range b.vector {
		if n > v[s] {
			return true
		}
	}
	return false
}

// AdvanceVector raises the version vector to that of a process whose records have been merged completely.
func (b *Catalog) AdvanceVector(v Vector) {
	for s, n := range v {
		if n > b.vector[s] {
			b.vector[s] = n
		}
	}
}

// Expire marks servers and limiters as silent whose heartbeats have ceased, deletes records that have
// been gone or silent for retentionMs, and reports whether a record was marked. servers and limiters
// are the longest accepted times without a heartbeat, in milliseconds; twice that time applies to records
// of other sources. alive reports whether another source still runs; such a source expires its own records.
// A process that is cut off from the majority must not call Expire: it can't distinguish silent servers
// from servers across the partition.
func (b *Catalog) Expire(now, servers, limiters float64, alive func(source string) bool) (changed bool) {
	var silent, forgotten []*entry
	b.records.Ascend(func(e *entry) bool {
		limit := servers
		if e.Service == Limiters || e.Service == Cores {
			limit = limiters
		}
		switch silentFor := now - e.lastHeard; {
		case e.State == Gone || e.State == Silent:
			if now-e.stateSince > retentionMs {
				forgotten = append(forgotten, e)
			}
		case e.Source == b.source && silentFor > limit, e.Source != b.source && silentFor > 2*limit && !alive(e.Source):
			silent = append(silent, e)
		}
		return true
	})
	for _, e := range silent {
		r := e.recordAt(now)
		r.State = Silent
		b.stamp(now, r)
	}
	for _, e := range forgotten {
		b.records.Delete(e)
	}
	return len(silent) > 0
}

// retentionMs is how long the record of a server that is gone or silent is kept: much longer than any
// message about it can be in transit.
const retentionMs = 120_000.0

// Each calls f for every record, in order of ids.
func (b *Catalog) Each(now float64, f func(Record)) {
	b.records.Ascend(func(e *entry) bool {
		f(e.recordAt(now))
		return true
	})
}

// DigestRanges is the number of hash ranges of ids for which digests are computed.
const DigestRanges = 16

// digestRange returns the digest range that an id belongs to.
func digestRange(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % DigestRanges)
}

// Digests returns one digest per range. Catalogs that hold the same records have equal digests.
func (b *Catalog) Digests() (d [DigestRanges]uint64) {
	b.records.Ascend(func(e *entry) bool {
		h := fnv.New64a()
		h.Write([]byte(e.ID))
		// The digest covers the stamp, which all copies share, and not the heartbeat sequence, which
		// rises continually without being sent to other processes.
		h.Write([]byte{byte(e.State), byte(e.Version), byte(e.Version >> 8), byte(e.Version >> 16)})
		h.Write([]byte(e.Source))
		d[digestRange(e.ID)] ^= h.Sum64()
		return true
	})
	return d
}

// DifferingRecords returns the records of the ranges whose digests differ from d.
func (b *Catalog) DifferingRecords(now float64, d [DigestRanges]uint64) (records []Record) {
	own := b.Digests()
	if own == d {
		return nil
	}
	b.records.Ascend(func(e *entry) bool {
		if k := digestRange(e.ID); own[k] != d[k] {
			records = append(records, e.recordAt(now))
		}
		return true
	})
	return records
}

// Sources returns the names of the sources in the version vector, sorted.
func (b *Catalog) Sources() (all []string) {
	for s := range b.vector {
		all = append(all, s)
	}
	slices.Sort(all)
	return all
}

// ServiceCount counts the server incarnations of one service by state.
type ServiceCount struct {
	Service string
	States  [len(stateNames)]int // indexed by State
	Cold    int
}

// Counts returns the counts of all services, sorted by name.
func (b *Catalog) Counts(now float64) []ServiceCount {
	byName := map[string]*ServiceCount{}
	b.Each(now, func(r Record) {
		count := byName[r.Service]
		if count == nil {
			count = &ServiceCount{Service: r.Service}
			byName[r.Service] = count
		}
		count.States[r.State]++
		if r.WarmupLeftMs > 0 {
			count.Cold++
		}
	})
	var all []ServiceCount
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		all = append(all, *byName[name])
	}
	return all
}

// Report returns one line of key=value pairs for each source and each service.
func (b *Catalog) Report(now float64) (lines []string) {
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
