// Package custody decides how work in hand survives the loss of its limiter: what its holder
// has to have noted with others before it sends anything, what those keep, and what
// whoever takes the work over may still do about it. It has no input or output, no
// goroutines and no clock: what happens goes in with the time, where it counts.
//
// [Hold] is the holder's part in one piece of work, [Book] that of a keeper, [Findings] that
// of a taker. The rules and why they hold stand in docs/design/work.md.
package custody

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"example.org/madderdrum/peering"
)

// Token says under which term of a holder's duty something is done: 1 and up, rising with
// each taker.
type Token uint64

// Repeat says what may be done twice, by a class's settings.
type RepeatPolicy int

// Kinds of classes.
const (
	Safe   RepeatPolicy = iota // running twice does no harm
	Keyed                      // a group of boxes drops repeats of a key for a while
	Unsafe                     // must not run twice
)

func (r RepeatPolicy) String() string {
	if names := [...]string{"safe", "keyed", "unsafe"}; r >= 0 && int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprint("repeat ", int(r))
}

// Attempt is a try at a box whose last byte may have gone.
type Attempt struct {
	Number     int
	Box        uint64
	DedupGroup uint64 // of boxes that drop repeats of a key together; 0: none does
}

// End is how a piece of work has ended.
type Result struct {
	Status   int
	Response []byte
}

// Record is what is kept of a piece of work. Version rises with each change.
type Record struct {
	ID               string
	Key              string // of the client's, if it gave one
	Owner            string
	Account          uint64
	Units            float64
	Charged          bool // the units have been drawn; by the holder before the first version
	Class            int
	Repeat           RepeatPolicy
	Deadline         int64 // wall clock, Unix ms
	Body             []byte
	Version          uint64
	Token            Token    // under which the newest change was made
	Replicas         []string // processes that have to know of each attempt; one that starts anew is another
	ReplicasOptional bool     // its holder may go on although no keeper is left
	Attempts         []Attempt
	Result           *Result // nil: it has not ended
}

// clone is a copy that shares the body alone, which is never changed.
func (r Record) clone() Record {
	r.Replicas, r.Attempts = slices.Clone(r.Replicas), slices.Clone(r.Attempts)
	return r
}

// MostKeepers is how many others keep a record.
const MaxReplicas = 2

// Limiter is one that may keep records.
type Limiter struct{ Name, Room string }

// Keepers are the limiters that keep the work of a key, or of an id that has none, for a holder:
// by rendezvous, those of other rooms first. All limiters find the same ones.
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

// Hold is the part of the one that works on a record: its holder, or a taker. Before each
// send it asks May; what it returns to be noted goes to all keepers in the record. It is not
// safe for concurrent use.
type Worker struct {
	record     Record
	token      Token
	acked      map[string]uint64 // by keeper: the version that it has noted
	superseded bool              // a keeper knows a later token: nothing more may go out
}

// NewHold begins with a piece of work, under the holder's token.
func NewWorker(r Record, token Token) *Worker {
	w := &Worker{record: r.clone(), token: token, acked: map[string]uint64{}}
	w.bumpVersion()
	return w
}

// change makes a new version.
func (w *Worker) bumpVersion() {
	w.record.Version++
	w.record.Token = w.token
}

// Record is the newest version, which keepers are to note.
func (w *Worker) Record() Record { return w.record.clone() }

// Try notes an attempt, before any byte of it goes out.
func (w *Worker) AddAttempt(a Attempt) {
	w.record.Attempts = append(w.record.Attempts, a)
	w.bumpVersion()
}

// Finish notes the end.
func (w *Worker) Finish(result Result) {
	if w.record.Result == nil {
		w.record.Result = &result
		w.bumpVersion()
	}
}

// Without goes on without a keeper that is too slow, or gone. What remains has to know of it
// before anything is sent. It returns false if that keeper is none of the record's, or the last
// one of a record that is not loose: its old copy would say that nothing was sent.
func (w *Worker) RemoveReplica(replica string) bool {
	i := slices.Index(w.record.Replicas, replica)
	if i < 0 || len(w.record.Replicas) == 1 && !w.record.ReplicasOptional {
		return false
	}
	w.record.Replicas = slices.Delete(w.record.Replicas, i, i+1)
	w.bumpVersion()
	return true
}

// Noted takes in a keeper's answer to a version. One that was refused is over: another one
// has taken the work.
func (w *Worker) HandleAck(replica string, version uint64, refused bool) {
	if refused {
		w.superseded = true
		return
	}
	w.acked[replica] = max(w.acked[replica], version)
}

// May tells whether the last byte of what was noted may go out, if this limiter's own term
// holds, which has to be looked at last. With no keeper left nothing is taken over, and nobody else sends.
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

// Book is what one limiter keeps for others, in memory. It is not safe for concurrent use.
type ReplicaStore struct {
	self          string
	maxBytes      int64 // bytes
	bytes         int64
	highestTokens map[string]Token         // by holder: the highest that was seen
	records       map[string]*storedRecord // by id
}

// kept is one record.
type storedRecord struct {
	Record
	firstAttemptAt time.Duration // when the note of its first attempt came
	finishedAt     time.Duration
}

// NewBook returns an empty book, of so many bytes at most.
func NewReplicaStore(self string, maxBytes int64) *ReplicaStore {
	return &ReplicaStore{self: self, maxBytes: maxBytes, highestTokens: map[string]Token{}, records: map[string]*storedRecord{}}
}

// overhead is what a record takes beside what it names, in bytes.
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

// Refusal is why something was not noted.
type Refusal string

// Refusals.
const (
	TakenOver    Refusal = "taken over" // a later token was seen: the sender has to stop
	WrongProcess Refusal = "not meant"  // for a process before this one: it is gone, with what it kept
	Full         Refusal = "full"       // there is no place for it; the sender may go on without this keeper
)

// Note takes a version of a record in. An older one changes nothing.
func (s *ReplicaStore) Put(now time.Duration, r Record) Refusal {
	if r.Token < s.highestTokens[r.Owner] {
		return TakenOver
	}
	if !slices.Contains(r.Replicas, s.self) {
		return WrongProcess
	}
	s.highestTokens[r.Owner] = r.Token
	stored := s.records[r.ID]
	if stored != nil && (r.Token < stored.Token || r.Token == stored.Token && r.Version <= stored.Version) {
		return ""
	}
	oldSize := int64(0)
	if stored != nil {
		oldSize = recordSize(&stored.Record)
	}
	if s.bytes-oldSize+recordSize(&r) > s.maxBytes {
		return Full
	}
	if stored == nil {
		stored = &storedRecord{}
		s.records[r.ID] = stored
	}
	if len(r.Attempts) > 0 && len(stored.Attempts) == 0 {
		stored.firstAttemptAt = now
	}
	if r.Result != nil && stored.Result == nil {
		stored.finishedAt = now
	}
	s.bytes += recordSize(&r) - oldSize
	stored.Record = r.clone()
	return ""
}

// Told is what a keeper tells a taker of one record.
type ReplicaRecord struct {
	Record
	SinceFirstAttempt time.Duration // since the note of the first attempt came
}

// Tell tells a taker what is kept of a holder's work, and from then on refuses whoever has a
// lower token. ok is false if the taker's own is one.
func (s *ReplicaStore) Claim(now time.Duration, owner string, token Token) (records []ReplicaRecord, ok bool) {
	if token < s.highestTokens[owner] {
		return nil, false
	}
	s.highestTokens[owner] = token
	for _, stored := range s.records {
		if stored.Owner == owner {
			reply := ReplicaRecord{Record: stored.clone()}
			if len(stored.Attempts) > 0 {
				reply.SinceFirstAttempt = now - stored.firstAttemptAt
			}
			records = append(records, reply)
		}
	}
	slices.SortFunc(records, func(x, y ReplicaRecord) int { return cmp.Compare(x.ID, y.ID) })
	return records, true
}

// Find is the record of a client's key and account, if one is kept: the newest.
func (s *ReplicaStore) FindByKey(account uint64, key string) (found Record, ok bool) {
	for _, stored := range s.records {
		if stored.Key == key && key != "" && stored.Account == account && (!ok || stored.Deadline > found.Deadline) {
			found, ok = stored.clone(), true
		}
	}
	return found, ok
}

// Forget drops records that ended so long ago.
func (s *ReplicaStore) DeleteFinished(now, retention time.Duration) {
	for id, stored := range s.records {
		if stored.Result != nil && now-stored.finishedAt >= retention {
			s.bytes -= recordSize(&stored.Record)
			delete(s.records, id)
		}
	}
}

// Bytes is how much is kept.
func (s *ReplicaStore) Bytes() int64 { return s.bytes }

// Findings are what keepers have told a taker of one piece of work.
type Recovery struct {
	newest            ReplicaRecord
	answered          map[string]bool // keepers that have told, whether they knew the record or not
	sinceFirstAttempt time.Duration
}

// Hear takes in what a keeper has told under the taker's token; nil: that it knows nothing of
// this work, as it was never told or has started anew.
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

// Record is the newest version that was told.
func (r *Recovery) Record() Record { return r.newest.clone() }

// whole tells that nobody can know more: all keepers of the newest version that was found have
// told, and whatever went out behind it would have been noted with at least one of them.
func (r *Recovery) complete() bool {
	for _, replica := range r.newest.Replicas {
		if !r.answered[replica] {
			return false
		}
	}
	return len(r.newest.Replicas) > 0 && !r.newest.ReplicasOptional
}

// Take begins to work on what was found, under the taker's token: with the keepers that have
// told, which have to know of all that this one does before it does it, and others in place of
// those that are gone. me is the taker's own process, which is no keeper of its own work.
func (r *Recovery) TakeOver(self string, token Token, others []string) *Worker {
	record := r.newest.clone()
	previous := record.Replicas
	record.Replicas = nil
	for _, replica := range previous {
		if r.answered[replica] && replica != self {
			record.Replicas = append(record.Replicas, replica)
		}
	}
	for _, replica := range others {
		if len(record.Replicas) < MaxReplicas && replica != self && !slices.Contains(previous, replica) {
			record.Replicas = append(record.Replicas, replica)
		}
	}
	return NewWorker(record, token)
}

// Course is what a taker may do about a piece of work.
type Action string

// Courses.
const (
	DoNothing     Action = "nothing" // it has ended
	Send          Action = "send"    // to any box
	SendToGroup   Action = "again"   // to the group that drops its repeats alone
	ReportUnknown Action = "unknown" // it ends as one of which nobody knows
	ReportInDoubt Action = "doubt"   // the same, and it is entered in the ledger: it may have run, and must not twice
	ReportExpired Action = "late"    // nothing was sent, and its time is over
)

// Decide says what may be done. left is what the deadline leaves, window how long a group
// remembers a key. group is where Again has to go.
func (r *Recovery) Decide(remaining, dedupWindow time.Duration) (action Action, group uint64) {
	record := &r.newest
	sent := len(record.Attempts) > 0
	switch {
	case record.Result != nil:
		return DoNothing, 0
	case record.Repeat == Safe || !sent && r.complete():
		if remaining <= 0 {
			return ReportExpired, 0
		}
		return Send, 0
	case record.Repeat == Unsafe:
		return ReportInDoubt, 0
	}
	// Keyed: all attempts have to be of one group, and no other may be unknown.
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
