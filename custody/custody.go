// Package custody decides how a request in progress survives the loss of the limiter that owns it:
// what the owner must replicate to other limiters before it sends anything upstream, what the
// replicas store, and what a successor may still do with the request. The package has no I/O, no
// goroutines and no clock; callers pass in the time where it matters.
//
// [Worker] executes one request on its owner or a successor, [ReplicaStore] holds the records that
// a limiter stores for others, and [Recovery] collects what a successor learns from the replicas.
// docs/design/work.md has the rules and why they hold.
package custody

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"example.org/madderdrum/peering"
)

// Token is a fencing token: the term of the owner's lease under which a change is made. It starts
// at 1 and rises with each successor.
type Token uint64

// RepeatPolicy is the setting of a request class that says whether its requests may run twice.
type RepeatPolicy int

// Repeat policies.
const (
	Safe   RepeatPolicy = iota // running twice is harmless
	Keyed                      // a group of boxes drops repeats of a key for a limited time
	Unsafe                     // must not run twice
)

func (r RepeatPolicy) String() string {
	if names := [...]string{"safe", "keyed", "unsafe"}; r >= 0 && int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprint("repeat ", int(r))
}

// Attempt is one try at a box (upstream server) whose last byte may have been sent.
type Attempt struct {
	Try        int
	Box        uint64
	DedupGroup uint64 // boxes that share the deduplication of keys; 0: the box does not deduplicate
}

// Result is the outcome of a finished request.
type Result struct {
	Status   int
	Response []byte
}

// Record is the replicated state of one request. Version rises with each change.
type Record struct {
	ID               string
	Key              string // the client's idempotency key, if it sent one
	Owner            string
	Account          uint64
	Units            float64
	Charged          bool // the units were drawn from the quota, by the owner before the first version
	Class            int
	RepeatPolicy     RepeatPolicy
	Deadline         int64 // wall clock, Unix ms
	Body             []byte
	Version          uint64
	Token            Token    // fencing token of the newest change
	Replicas         []string // processes that must acknowledge each attempt; a restart makes a different process
	ReplicasOptional bool     // the owner may go on although no replica is left
	Attempts         []Attempt
	Result           *Result // nil: not finished
}

// clone returns a copy that shares only the body, which never changes.
func (r Record) clone() Record {
	r.Replicas, r.Attempts = slices.Clone(r.Replicas), slices.Clone(r.Attempts)
	return r
}

// MaxReplicas is the number of other limiters that store a record.
const MaxReplicas = 2

// Limiter is a candidate for storing records, in the room (failure zone) where it runs.
type Limiter struct{ Name, Room string }

// ChooseReplicas returns the limiters that store an owner's record, chosen by rendezvous hashing of
// the client's key, or of the record's ID if there is none. Limiters in other rooms come first. All
// limiters compute the same result.
func ChooseReplicas(key string, owner Limiter, limiters []Limiter) (names []string) {
	var sameZone, otherZones []string
	for _, l := range limiters {
		switch {
		case l.Name == owner.Name:
		case l.Room == owner.Room:
			sameZone = append(sameZone, l.Name)
		default:
			otherZones = append(otherZones, l.Name)
		}
	}
	names = append(peering.Order(key, otherZones), peering.Order(key, sameZone)...)
	return names[:min(MaxReplicas, len(names))]
}

// Worker is the state of the limiter that executes a record: its owner, or a successor. It must call
// MaySend before each send, and sends each new version of Record to all replicas named in it. It is
// not safe for concurrent use.
type Worker struct {
	record     Record
	token      Token
	acked      map[string]uint64 // by replica: the newest version that it acknowledged
	superseded bool              // a replica has seen a higher token: nothing more may be sent
}

// NewWorker starts work on a record under the worker's token.
func NewWorker(record Record, token Token) *Worker {
	w := &Worker{record: record.clone(), token: token, acked: map[string]uint64{}}
	w.bumpVersion()
	return w
}

// bumpVersion marks the record as changed under this worker's token.
func (w *Worker) bumpVersion() {
	w.record.Version++
	w.record.Token = w.token
}

// Record returns the newest version, which the replicas must store.
func (w *Worker) Record() Record { return w.record.clone() }

// Try records an attempt. It must be called before any byte of the attempt is sent.
func (w *Worker) Try(a Attempt) {
	w.record.Attempts = append(w.record.Attempts, a)
	w.bumpVersion()
}

// Finish records the result. Only the first result counts.
func (w *Worker) Finish(result Result) {
	if w.record.Result == nil {
		w.record.Result = &result
		w.bumpVersion()
	}
}

// RemoveReplica continues without a replica that is too slow or unreachable. The remaining replicas
// must acknowledge the change before anything is sent. It returns false if the limiter is no replica
// of the record, or is the last one and ReplicasOptional is not set: a successor that reads its old
// copy would conclude that nothing was sent.
func (w *Worker) RemoveReplica(replica string) bool {
	i := slices.Index(w.record.Replicas, replica)
	if i < 0 || len(w.record.Replicas) == 1 && !w.record.ReplicasOptional {
		return false
	}
	w.record.Replicas = slices.Delete(w.record.Replicas, i, i+1)
	w.bumpVersion()
	return true
}

// HandleAck processes a replica's reply to a version. A refusal means that a successor has taken the
// request over, so that this worker must stop.
func (w *Worker) HandleAck(replica string, version uint64, refused bool) {
	if refused {
		w.superseded = true
		return
	}
	w.acked[replica] = max(w.acked[replica], version)
}

// MaySend reports whether the last byte of the recorded attempt may be sent: all replicas have
// acknowledged the newest version. The caller must check after it that its own lease is still valid.
// With no replica left no successor can take the request over, so nobody else sends it.
func (w *Worker) MaySend() bool {
	if w.superseded {
		return false
	}
	for _, replica := range w.record.Replicas {
		if w.acked[replica] < w.record.Version {
			return false
		}
	}
	return true
}

// ReplicaStore holds the records that one limiter stores for others, in memory. It is not safe for
// concurrent use.
type ReplicaStore struct {
	self          string
	maxBytes      int64
	bytes         int64
	highestTokens map[string]Token   // by owner
	stored        map[string]*stored // by record ID
}

// stored is a record with the local times of its changes.
type stored struct {
	Record
	firstAttemptAt time.Duration // when the first version with an attempt arrived
	finishedAt     time.Duration // when the first version with a result arrived
}

// NewReplicaStore returns an empty store with a limit on its size in bytes. self is the name of this
// process as records list it.
func NewReplicaStore(self string, maxBytes int64) *ReplicaStore {
	return &ReplicaStore{self: self, maxBytes: maxBytes, highestTokens: map[string]Token{}, stored: map[string]*stored{}}
}

// recordOverheadBytes is the approximate memory of a record in addition to its variable-length fields.
const recordOverheadBytes = 256

func recordSize(r *Record) int64 {
	n := recordOverheadBytes + len(r.ID) + len(r.Key) + len(r.Owner) + len(r.Body) + 24*len(r.Attempts)
	for _, replica := range r.Replicas {
		n += len(replica)
	}
	if r.Result != nil {
		n += len(r.Result.Response)
	}
	return int64(n)
}

// Refusal is the reason why a record was not stored; empty if it was.
type Refusal string

// Reasons for a refusal.
const (
	TakenOver    Refusal = "taken over" // a higher token was seen: the sender must stop
	WrongProcess Refusal = "not meant"  // addressed to an earlier process of this limiter, whose records are lost
	Full         Refusal = "full"       // no space is left; the sender may continue without this replica
)

// Put stores a version of a record. A version older than the stored one is ignored without a refusal.
func (s *ReplicaStore) Put(now time.Duration, r Record) Refusal {
	if r.Token < s.highestTokens[r.Owner] {
		return TakenOver
	}
	if !slices.Contains(r.Replicas, s.self) {
		return WrongProcess
	}
	s.highestTokens[r.Owner] = r.Token
	entry := s.stored[r.ID]
	if entry != nil && (r.Token < entry.Token || r.Token == entry.Token && r.Version <= entry.Version) {
		return ""
	}
	oldSize := int64(0)
	if entry != nil {
		oldSize = recordSize(&entry.Record)
	}
	if s.bytes-oldSize+recordSize(&r) > s.maxBytes {
		return Full
	}
	if entry == nil {
		entry = &stored{}
		s.stored[r.ID] = entry
	}
	if len(r.Attempts) > 0 && len(entry.Attempts) == 0 {
		entry.firstAttemptAt = now
	}
	if r.Result != nil && entry.Result == nil {
		entry.finishedAt = now
	}
	s.bytes += recordSize(&r) - oldSize
	entry.Record = r.clone()
	return ""
}

// ReplicaRecord is a stored record as a replica sends it to a successor.
type ReplicaRecord struct {
	Record
	SinceFirstAttempt time.Duration // time since the first version with an attempt arrived
}

// Claim returns all records of an owner to its successor, and from then on refuses writes under
// lower tokens. ok is false if a higher token than the successor's own was seen already.
func (s *ReplicaStore) Claim(now time.Duration, owner string, token Token) (records []ReplicaRecord, ok bool) {
	if token < s.highestTokens[owner] {
		return nil, false
	}
	s.highestTokens[owner] = token
	for _, entry := range s.stored {
		if entry.Owner == owner {
			reply := ReplicaRecord{Record: entry.clone()}
			if len(entry.Attempts) > 0 {
				reply.SinceFirstAttempt = now - entry.firstAttemptAt
			}
			records = append(records, reply)
		}
	}
	slices.SortFunc(records, func(x, y ReplicaRecord) int { return cmp.Compare(x.ID, y.ID) })
	return records, true
}

// FindByKey returns the record of an account with the client's key. If there are several it returns
// the one with the latest deadline.
func (s *ReplicaStore) FindByKey(account uint64, key string) (found Record, ok bool) {
	for _, entry := range s.stored {
		if entry.Key == key && key != "" && entry.Account == account && (!ok || entry.Deadline > found.Deadline) {
			found, ok = entry.clone(), true
		}
	}
	return found, ok
}

// DeleteFinished drops records whose results have been stored for the retention time or longer.
func (s *ReplicaStore) DeleteFinished(now, retention time.Duration) {
	for id, entry := range s.stored {
		if entry.Result != nil && now-entry.finishedAt >= retention {
			s.bytes -= recordSize(&entry.Record)
			delete(s.stored, id)
		}
	}
}

// Bytes returns the approximate memory that the records take.
func (s *ReplicaStore) Bytes() int64 { return s.bytes }

// Recovery collects the replies of replicas about one record, for a successor.
type Recovery struct {
	newest            ReplicaRecord
	answered          map[string]bool // replicas that replied with this record
	sinceFirstAttempt time.Duration
}

// AddReply processes a replica's reply to a claim under the successor's token. A nil record means
// that the replica has none: it never received the record, or has restarted since.
func (r *Recovery) AddReply(replica string, record *ReplicaRecord) {
	if r.answered == nil {
		r.answered = map[string]bool{}
	}
	if record == nil {
		return
	}
	r.answered[replica] = true
	r.sinceFirstAttempt = max(r.sinceFirstAttempt, record.SinceFirstAttempt)
	if n := &r.newest; record.Token > n.Token || record.Token == n.Token && record.Version > n.Version {
		r.newest = *record
	}
}

// Record returns the newest version that a replica returned.
func (r *Recovery) Record() Record { return r.newest.clone() }

// complete reports whether no newer version can exist: all replicas of the newest version found have
// replied, and anything sent after it would have been acknowledged by at least one of them.
func (r *Recovery) complete() bool {
	for _, replica := range r.newest.Replicas {
		if !r.answered[replica] {
			return false
		}
	}
	return len(r.newest.Replicas) > 0 && !r.newest.ReplicasOptional
}

// TakeOver starts work on the recovered record under the successor's token. The replicas that
// replied stay, and must acknowledge everything the successor does before it does it; candidates
// replace those that are lost. self is the successor's own process, which never is a replica of its
// own work.
func (r *Recovery) TakeOver(self string, token Token, candidates []string) *Worker {
	record := r.newest.clone()
	previous := record.Replicas
	record.Replicas = nil
	for _, replica := range previous {
		if r.answered[replica] && replica != self {
			record.Replicas = append(record.Replicas, replica)
		}
	}
	for _, replica := range candidates {
		if len(record.Replicas) < MaxReplicas && replica != self && !slices.Contains(previous, replica) {
			record.Replicas = append(record.Replicas, replica)
		}
	}
	return NewWorker(record, token)
}

// Action is what a successor may do with a recovered request.
type Action string

// Actions of a successor.
const (
	DoNothing     Action = "nothing" // the request has finished
	Send          Action = "send"    // send to any box
	SendToGroup   Action = "again"   // send only to the group that deduplicates its key
	ReportUnknown Action = "unknown" // finish it with an unknown outcome
	ReportInDoubt Action = "doubt"   // as ReportUnknown, and enter it in the ledger: it may have run already
	ReportExpired Action = "late"    // nothing was sent, and the deadline has passed
)

// Decide returns what the successor may do. remaining is the time until the deadline, dedupWindow how
// long a group remembers a key. group is the destination for SendToGroup, otherwise 0.
func (r *Recovery) Decide(remaining, dedupWindow time.Duration) (action Action, group uint64) {
	record := &r.newest
	sent := len(record.Attempts) > 0
	switch {
	case record.Result != nil:
		return DoNothing, 0
	case record.RepeatPolicy == Safe || !sent && r.complete():
		if remaining <= 0 {
			return ReportExpired, 0
		}
		return Send, 0
	case record.RepeatPolicy == Unsafe:
		return ReportInDoubt, 0
	}
	// Keyed: all attempts must have gone to one group, and there must be no unrecorded attempt.
	group = 0
	for i, a := range record.Attempts {
		if i > 0 && a.DedupGroup != group {
			return ReportUnknown, 0
		}
		group = a.DedupGroup
	}
	if !sent || group == 0 || !r.complete() || remaining <= 0 || r.sinceFirstAttempt >= dedupWindow {
		return ReportUnknown, 0
	}
	return SendToGroup, group
}
