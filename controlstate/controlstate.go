// Package controlstate is the state that the core machines agree on: the configuration, the
// zones that are evacuated and the places of the limiters. Orders change it one after the
// other; each change makes one new version. It does no input or output.
package controlstate

import (
	"crypto/sha256"
	"fmt"
	"hash/fnv"
	"slices"

	"example.org/madderdrum/timetable"
)

// Register is one version of the agreed state. Its zero value is that before any order.
type Register struct {
	Seq     uint64           `cbor:"1,keyasint"`           // rises by one with each change
	Version uint64           `cbor:"2,keyasint"`           // of the configuration
	Config  []byte           `cbor:"3,keyasint,omitempty"` // its text
	Evac    []string         `cbor:"4,keyasint,omitempty"` // zones, sorted
	Posts   []Post           `cbor:"5,keyasint,omitempty"` // by position
	Applied []AppliedCommand `cbor:"6,keyasint,omitempty"` // the latest changes, oldest first
	// Revoked is the Seq of the latest change that took a key away.
	Revoked uint64 `cbor:"7,keyasint,omitempty"`
	// Voters are the machines that agree, sorted; none before the first change, when it is those
	// that everyone began with. Prior
	// are those before them, while it is not known that the change of voters is chosen.
	Voters []string `cbor:"8,keyasint,omitempty"`
	Prior  []string `cbor:"9,keyasint,omitempty"`
}

// Sets are the sets of voters by which a register counts; first are those that everyone began
// with.
func (r *Register) Sets(first []string) [][]string {
	voters := r.Voters
	if len(voters) == 0 {
		voters = first
	}
	if len(r.Prior) > 0 {
		return [][]string{r.Prior, voters}
	}
	return [][]string{voters}
}

// Post is a limiter's place. It keeps it for good: its part of quotas stands by it.
type Post struct {
	Name string `cbor:"1,keyasint"`
	IP   string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
}

// Sum is a digest of places, by which two can tell that they have the same.
func Sum(posts []Post) uint64 {
	h := fnv.New64a()
	for _, p := range posts {
		fmt.Fprintf(h, "%s\x00%s\x00%s\x00", p.Name, p.IP, p.Zone)
	}
	return h.Sum64()
}

// AppliedCommand is a change that was taken, so that the same call can be known when it comes again.
type AppliedCommand struct {
	Version uint64   `cbor:"1,keyasint"`
	Sum     [16]byte `cbor:"2,keyasint"`
}

const appliedMost = 256

// OrderKind says what an order changes.
type OrderKind uint8

// The kinds of orders.
const (
	Replace          OrderKind = iota // the whole configuration
	Update                            // named items of it
	Begin                             // evacuate a zone
	Finish                            // and take it back
	RegisterLimiters                  // give limiters their places
	ChangeVoters                      // let core machines vote, or have them vote no more
)

// Order is one change that somebody asks for.
type Order struct {
	Kind  OrderKind `cbor:"1,keyasint"`
	Body  []byte    `cbor:"2,keyasint,omitempty"` // of Replace and Update
	Zone  string    `cbor:"3,keyasint,omitempty"` // of Begin and Finish
	Posts []Post    `cbor:"4,keyasint,omitempty"` // of RegisterLimiters
	Seats []string  `cbor:"5,keyasint,omitempty"` // of ChangeVoters: those to be voters, with those that are
	First []string  `cbor:"6,keyasint,omitempty"` // of ChangeVoters: the voters that everyone began with
	Leave []string  `cbor:"7,keyasint,omitempty"` // of ChangeVoters: those to vote no more
}

// Outcome is what became of an order.
type Outcome struct {
	Status int    `cbor:"1,keyasint"` // as in HTTP: 200, 400, 412
	Code   string `cbor:"2,keyasint,omitempty"`
	Text   string `cbor:"3,keyasint,omitempty"`
	Seq    uint64 `cbor:"4,keyasint"` // of the version that holds it
}

// Clone is a copy that can be changed by itself. Texts are shared: they do not change.
func (r *Register) Clone() *Register {
	c := *r
	c.Evac, c.Posts, c.Applied = slices.Clone(r.Evac), slices.Clone(r.Posts), slices.Clone(r.Applied)
	c.Voters, c.Prior = slices.Clone(r.Voters), slices.Clone(r.Prior)
	return &c
}

func sum(o *Order) (s [16]byte) {
	h := sha256.Sum256(o.Body)
	copy(s[:], h[:])
	s[0] ^= byte(o.Kind)
	return s
}

// Apply carries out an order. Where nothing changes the register stays as it is.
func (r *Register) Apply(o *Order) Outcome {
	changed, out := r.apply(o)
	if changed {
		r.Seq++
	}
	if out.Seq == 0 {
		out.Seq = r.Seq
	}
	return out
}

func (r *Register) apply(o *Order) (bool, Outcome) {
	switch o.Kind {
	case Replace, Update:
		return r.change(o)
	case Begin:
		i, have := slices.BinarySearch(r.Evac, o.Zone)
		if !have {
			r.Evac = slices.Insert(r.Evac, i, o.Zone)
		}
		return !have, Outcome{Status: 200}
	case Finish:
		i, have := slices.BinarySearch(r.Evac, o.Zone)
		if have {
			r.Evac = slices.Delete(r.Evac, i, i+1)
		}
		return have, Outcome{Status: 200}
	case RegisterLimiters:
		return r.registerLimiters(o.Posts), Outcome{Status: 200}
	case ChangeVoters:
		return r.changeVoters(o)
	}
	return false, Outcome{Status: 400, Code: timetable.Unreadable, Text: fmt.Sprintf("order of kind %d is not known", o.Kind)}
}

// change takes a configuration. The same call again is answered as it was at first.
func (r *Register) change(o *Order) (bool, Outcome) {
	c, f := timetable.ReadCall(o.Body, o.Kind == Update)
	if f != nil {
		return false, fault(f)
	}
	s := sum(o)
	for _, t := range r.Applied {
		if t.Version == c.Version && t.Sum == s {
			return false, Outcome{Status: 200}
		}
	}
	next, f := timetable.Apply(r.Config, r.Version, c)
	if f != nil {
		return false, fault(f)
	}
	if old, bad := timetable.Read(r.Config); bad == nil && len(r.Config) > 0 {
		if t, bad := timetable.Read(next); bad == nil && timetable.Lost(old, t) {
			r.Revoked = r.Seq + 1
		}
	}
	r.Config, r.Version = next, c.Version
	r.Applied = append(r.Applied, AppliedCommand{c.Version, s})
	if n := len(r.Applied) - appliedMost; n > 0 {
		r.Applied = slices.Delete(r.Applied, 0, n)
	}
	return true, Outcome{Status: 200}
}

func fault(f *timetable.Fault) Outcome {
	status := 400
	if f.Code == timetable.WrongBase {
		status = 412
	}
	return Outcome{Status: status, Code: f.Code, Text: f.Error()}
}

func (r *Register) registerLimiters(posts []Post) (changed bool) {
	for _, p := range posts {
		i := slices.IndexFunc(r.Posts, func(o Post) bool { return o.Name == p.Name })
		switch {
		case i < 0:
			r.Posts, changed = append(r.Posts, p), true
		case r.Posts[i] != p:
			r.Posts[i], changed = p, true
		}
	}
	return changed
}

// leastVoters are left at least: two can't lose one.
const leastVoters = 3

// seat changes who votes. One change of voters is chosen before the next one.
func (r *Register) changeVoters(o *Order) (changed bool, out Outcome) {
	old := r.Sets(o.First)[0]
	voters := slices.Clone(old)
	for _, s := range o.Seats {
		if i, have := slices.BinarySearch(voters, s); !have {
			voters, changed = slices.Insert(voters, i, s), true
		}
	}
	for _, s := range o.Leave {
		if i, have := slices.BinarySearch(voters, s); have {
			voters, changed = slices.Delete(voters, i, i+1), true
		}
	}
	switch {
	case !changed:
		return false, Outcome{Status: 200}
	case len(r.Prior) > 0:
		return false, Outcome{Status: 409, Code: "busy", Text: "another change of voters is under way: ask again"}
	case len(voters) < leastVoters && len(voters) < len(old):
		return false, Outcome{Status: 400, Code: "too_few", Text: fmt.Sprintf("%d voters would be left: seat another machine with the same order, %d are the least", len(voters), leastVoters)}
	}
	r.Prior, r.Voters = slices.Clone(old), voters
	return true, Outcome{Status: 200}
}

// Proposal is what a round makes of the newest register that its majority told.
type Proposal struct {
	// Need are the sets of voters that the register counts by, where the round has counted by
	// others: it has to begin again with these.
	Need     [][]string
	Outcomes [][]Outcome // of each batch of orders
	Changed  bool        // the register is another one now
	Brings   []string    // voters that the votes have to count by too; nil: none
}

// Propose gives a round's orders to the newest register told. first are the voters that everyone
// began with, counted the sets that the round has counted promises by, and chosen tells that the
// register is known to be chosen, and with it the change of voters that it may hold.
func (r *Register) Propose(first []string, counted [][]string, chosen bool, batches [][]Order) (t Proposal) {
	if need := r.Sets(first); !slices.EqualFunc(need, counted, slices.Equal) {
		return Proposal{Need: need}
	}
	seq := r.Seq
	if chosen && len(r.Prior) > 0 {
		r.Prior = nil
		r.Seq++
	}
	for _, orders := range batches {
		var outcomes []Outcome
		for k := range orders {
			outcomes = append(outcomes, r.Apply(&orders[k]))
		}
		t.Outcomes = append(t.Outcomes, outcomes)
	}
	if t.Changed = r.Seq != seq; t.Changed && len(r.Voters) == 0 {
		// From its first change on the register names its voters itself: a machine that begins
		// again with other seeds would take those for the voters.
		r.Voters = slices.Clone(first)
	}
	sets := r.Sets(first)
	if voters := sets[len(sets)-1]; !slices.Equal(voters, counted[len(counted)-1]) {
		t.Brings = voters
	}
	return t
}
