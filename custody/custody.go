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
type Repeat int

// Kinds of classes.
const (
	Safe   Repeat = iota // running twice does no harm
	Keyed                // a group of boxes drops repeats of a key for a while
	Unsafe               // must not run twice
)

func (r Repeat) String() string {
	if names := [...]string{"safe", "keyed", "unsafe"}; r >= 0 && int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprint("repeat ", int(r))
}

// Attempt is a try at a box whose last byte may have gone.
type Attempt struct {
	Try   int
	Box   uint64
	Group uint64 // of boxes that drop repeats of a key together; 0: none does
}

// End is how a piece of work has ended.
type End struct {
	Status int
	Answer []byte
}

// Record is what is kept of a piece of work. Version rises with each change.
type Record struct {
	ID       string
	Key      string // of the client's, if it gave one
	Holder   string
	Account  uint64
	Units    float64
	Charged  bool // the units have been drawn; by the holder before the first version
	Class    int
	Repeat   Repeat
	Deadline int64 // wall clock, Unix ms
	Body     []byte
	Version  uint64
	Token    Token    // under which the newest change was made
	Keepers  []string // processes that have to know of each attempt; one that starts anew is another
	Loose    bool     // its holder may go on although no keeper is left
	Attempts []Attempt
	End      *End // nil: it has not ended
}

// clone is a copy that shares the body alone, which is never changed.
func (r Record) clone() Record {
	r.Keepers, r.Attempts = slices.Clone(r.Keepers), slices.Clone(r.Attempts)
	return r
}

// MostKeepers is how many others keep a record.
const MostKeepers = 2

// Limiter is one that may keep records.
type Limiter struct{ Name, Room string }

// Keepers are the limiters that keep the work of a key, or of an id that has none, for a holder:
// by rendezvous, those of other rooms first. All limiters find the same ones.
func Keepers(key string, holder Limiter, all []Limiter) (names []string) {
	var near, far []string
	for _, l := range all {
		switch {
		case l.Name == holder.Name:
		case l.Room == holder.Room:
			near = append(near, l.Name)
		default:
			far = append(far, l.Name)
		}
	}
	names = append(peering.Order(key, far), peering.Order(key, near)...)
	return names[:min(MostKeepers, len(names))]
}

// Hold is the part of the one that works on a record: its holder, or a taker. Before each
// send it asks May; what it returns to be noted goes to all keepers in the record. It is not
// safe for concurrent use.
type Hold struct {
	r     Record
	token Token
	known map[string]uint64 // by keeper: the version that it has noted
	over  bool              // a keeper knows a later token: nothing more may go out
}

// NewHold begins with a piece of work, under the holder's token.
func NewHold(r Record, token Token) *Hold {
	h := &Hold{r: r.clone(), token: token, known: map[string]uint64{}}
	h.change()
	return h
}

// change makes a new version.
func (h *Hold) change() {
	h.r.Version++
	h.r.Token = h.token
}

// Record is the newest version, which keepers are to note.
func (h *Hold) Record() Record { return h.r.clone() }

// Try notes an attempt, before any byte of it goes out.
func (h *Hold) Try(a Attempt) {
	h.r.Attempts = append(h.r.Attempts, a)
	h.change()
}

// Finish notes the end.
func (h *Hold) Finish(e End) {
	if h.r.End == nil {
		h.r.End = &e
		h.change()
	}
}

// Without goes on without a keeper that is too slow, or gone. What remains has to know of it
// before anything is sent. It returns false if that keeper is none of the record's, or the last
// one of a record that is not loose: its old copy would say that nothing was sent.
func (h *Hold) Without(keeper string) bool {
	i := slices.Index(h.r.Keepers, keeper)
	if i < 0 || len(h.r.Keepers) == 1 && !h.r.Loose {
		return false
	}
	h.r.Keepers = slices.Delete(h.r.Keepers, i, i+1)
	h.change()
	return true
}

// Noted takes in a keeper's answer to a version. One that was refused is over: another one
// has taken the work.
func (h *Hold) Noted(keeper string, version uint64, refused bool) {
	if refused {
		h.over = true
		return
	}
	h.known[keeper] = max(h.known[keeper], version)
}

// May tells whether the last byte of what was noted may go out, if this limiter's own term
// holds, which has to be looked at last. With no keeper left nothing is taken over, and nobody else sends.
func (h *Hold) May() bool {
	if h.over {
		return false
	}
	for _, k := range h.r.Keepers {
		if h.known[k] < h.r.Version {
			return false
		}
	}
	return true
}

// Book is what one limiter keeps for others, in memory. It is not safe for concurrent use.
type Book struct {
	me     string
	most   int64 // bytes
	bytes  int64
	tokens map[string]Token // by holder: the highest that was seen
	kept   map[string]*kept // by id
}

// kept is one record.
type kept struct {
	Record
	triedAt time.Duration // when the note of its first attempt came
	endedAt time.Duration
}

// NewBook returns an empty book, of so many bytes at most.
func NewBook(me string, most int64) *Book {
	return &Book{me: me, most: most, tokens: map[string]Token{}, kept: map[string]*kept{}}
}

// overhead is what a record takes beside what it names, in bytes.
const overhead = 256

func size(r *Record) int64 {
	n := overhead + len(r.ID) + len(r.Key) + len(r.Holder) + len(r.Body) + 24*len(r.Attempts)
	for _, k := range r.Keepers {
		n += len(k)
	}
	if r.End != nil {
		n += len(r.End.Answer)
	}
	return int64(n)
}

// Refusal is why something was not noted.
type Refusal string

// Refusals.
const (
	TakenOver Refusal = "taken over" // a later token was seen: the sender has to stop
	NotMeant  Refusal = "not meant"  // for a process before this one: it is gone, with what it kept
	Full      Refusal = "full"       // there is no place for it; the sender may go on without this keeper
)

// Note takes a version of a record in. An older one changes nothing.
func (b *Book) Note(now time.Duration, r Record) Refusal {
	if r.Token < b.tokens[r.Holder] {
		return TakenOver
	}
	if !slices.Contains(r.Keepers, b.me) {
		return NotMeant
	}
	b.tokens[r.Holder] = r.Token
	k := b.kept[r.ID]
	if k != nil && (r.Token < k.Token || r.Token == k.Token && r.Version <= k.Version) {
		return ""
	}
	was := int64(0)
	if k != nil {
		was = size(&k.Record)
	}
	if b.bytes-was+size(&r) > b.most {
		return Full
	}
	if k == nil {
		k = &kept{}
		b.kept[r.ID] = k
	}
	if len(r.Attempts) > 0 && len(k.Attempts) == 0 {
		k.triedAt = now
	}
	if r.End != nil && k.End == nil {
		k.endedAt = now
	}
	b.bytes += size(&r) - was
	k.Record = r.clone()
	return ""
}

// Told is what a keeper tells a taker of one record.
type Told struct {
	Record
	TriedFor time.Duration // since the note of the first attempt came
}

// Tell tells a taker what is kept of a holder's work, and from then on refuses whoever has a
// lower token. ok is false if the taker's own is one.
func (b *Book) Tell(now time.Duration, holder string, token Token) (all []Told, ok bool) {
	if token < b.tokens[holder] {
		return nil, false
	}
	b.tokens[holder] = token
	for _, k := range b.kept {
		if k.Holder == holder {
			t := Told{Record: k.clone()}
			if len(k.Attempts) > 0 {
				t.TriedFor = now - k.triedAt
			}
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(x, y Told) int { return cmp.Compare(x.ID, y.ID) })
	return all, true
}

// Find is the record of a client's key and account, if one is kept: the newest.
func (b *Book) Find(account uint64, key string) (found Record, ok bool) {
	for _, k := range b.kept {
		if k.Key == key && key != "" && k.Account == account && (!ok || k.Deadline > found.Deadline) {
			found, ok = k.clone(), true
		}
	}
	return found, ok
}

// Forget drops records that ended so long ago.
func (b *Book) Forget(now, after time.Duration) {
	for id, k := range b.kept {
		if k.End != nil && now-k.endedAt >= after {
			b.bytes -= size(&k.Record)
			delete(b.kept, id)
		}
	}
}

// Bytes is how much is kept.
func (b *Book) Bytes() int64 { return b.bytes }

// Findings are what keepers have told a taker of one piece of work.
type Findings struct {
	newest   Told
	heard    map[string]bool // keepers that have told, whether they knew the record or not
	triedFor time.Duration
}

// Hear takes in what a keeper has told under the taker's token; nil: that it knows nothing of
// this work, as it was never told or has started anew.
func (f *Findings) Hear(keeper string, t *Told) {
	if f.heard == nil {
		f.heard = map[string]bool{}
	}
	if t == nil {
		return
	}
	f.heard[keeper] = true
	f.triedFor = max(f.triedFor, t.TriedFor)
	if n := &f.newest; t.Token > n.Token || t.Token == n.Token && t.Version > n.Version {
		f.newest = *t
	}
}

// Record is the newest version that was told.
func (f *Findings) Record() Record { return f.newest.clone() }

// whole tells that nobody can know more: all keepers of the newest version that was found have
// told, and whatever went out behind it would have been noted with at least one of them.
func (f *Findings) whole() bool {
	for _, k := range f.newest.Keepers {
		if !f.heard[k] {
			return false
		}
	}
	return len(f.newest.Keepers) > 0 && !f.newest.Loose
}

// Take begins to work on what was found, under the taker's token: with the keepers that have
// told, which have to know of all that this one does before it does it, and others in place of
// those that are gone. me is the taker's own process, which is no keeper of its own work.
func (f *Findings) Take(me string, token Token, others []string) *Hold {
	r := f.newest.clone()
	was := r.Keepers
	r.Keepers = nil
	for _, k := range was {
		if f.heard[k] && k != me {
			r.Keepers = append(r.Keepers, k)
		}
	}
	for _, k := range others {
		if len(r.Keepers) < MostKeepers && k != me && !slices.Contains(was, k) {
			r.Keepers = append(r.Keepers, k)
		}
	}
	return NewHold(r, token)
}

// Course is what a taker may do about a piece of work.
type Course string

// Courses.
const (
	Nothing Course = "nothing" // it has ended
	Send    Course = "send"    // to any box
	Again   Course = "again"   // to the group that drops its repeats alone
	Unknown Course = "unknown" // it ends as one of which nobody knows
	Doubt   Course = "doubt"   // the same, and it is entered in the ledger: it may have run, and must not twice
	Late    Course = "late"    // nothing was sent, and its time is over
)

// Decide says what may be done. left is what the deadline leaves, window how long a group
// remembers a key. group is where Again has to go.
func (f *Findings) Decide(left, window time.Duration) (c Course, group uint64) {
	r := &f.newest
	sent := len(r.Attempts) > 0
	switch {
	case r.End != nil:
		return Nothing, 0
	case r.Repeat == Safe || !sent && f.whole():
		if left <= 0 {
			return Late, 0
		}
		return Send, 0
	case r.Repeat == Unsafe:
		return Doubt, 0
	}
	// Keyed: all attempts have to be of one group, and no other may be unknown.
	group = 0
	for i, a := range r.Attempts {
		if i > 0 && a.Group != group {
			return Unknown, 0
		}
		group = a.Group
	}
	if !sent || group == 0 || !f.whole() || left <= 0 || f.triedFor >= window {
		return Unknown, 0
	}
	return Again, group
}
