// Package controlstate is the state that the core machines agree on: the configuration, the
// zones that are evacuated and the places of the limiters. Orders change it one after the
// other; each change makes one new version. It does no input or output.
package controlstate

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"example.org/madderdrum/control/configuration"
	"example.org/madderdrum/control/places"
)

// Register is one version of the agreed state. Its zero value is that before any order.
type Register struct {
	Seq     uint64           `cbor:"1,keyasint"`           // rises by one with each change
	Version uint64           `cbor:"2,keyasint"`           // of the configuration
	Config  []byte           `cbor:"3,keyasint,omitempty"` // its text
	Evac    []string         `cbor:"4,keyasint,omitempty"` // zones, sorted
	Places  []places.Place   `cbor:"5,keyasint,omitempty"` // of limiters, by slot
	Applied []AppliedCommand `cbor:"6,keyasint,omitempty"` // the latest changes, oldest first
	// Revoked is the Seq of the latest change that took a key away.
	Revoked uint64 `cbor:"7,keyasint,omitempty"`
	// Voters are the machines that agree, sorted; none before the first change, when it is those
	// that everyone began with. Prior
	// are those before them, while it is not known that the change of voters is chosen.
	Voters []string `cbor:"8,keyasint,omitempty"`
	Prior  []string `cbor:"9,keyasint,omitempty"`
	// VoterChanges counts the changes of voters: the term of a set of voters.
	VoterChanges uint64 `cbor:"10,keyasint,omitempty"`
	// ZoneChanges holds the Seq of the latest change of each zone's evacuation, sorted by zone.
	ZoneChanges []ZoneChange `cbor:"11,keyasint,omitempty"`
	// PlacesSettled is the Seq of the oldest register whose places a limiter may still go by.
	PlacesSettled uint64 `cbor:"12,keyasint,omitempty"`
}

// ZoneChange is when the evacuation of a zone was last begun or finished.
type ZoneChange struct {
	Zone string `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
}

// PlaceTable is the table of places, whose version is the register's Seq. It shares its memory with the
// register.
func (r *Register) PlaceTable() places.Table {
	return places.Table{Places: r.Places, Settled: r.PlacesSettled}
}

// changePlaces has a change made to the table of places.
func (r *Register) changePlaces(change func(t *places.Table, version uint64) bool) (changed bool) {
	t := r.PlaceTable()
	changed = change(&t, r.Seq+1)
	r.Places, r.PlacesSettled = t.Places, t.Settled
	return changed
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
	ReleasePlaces                     // end the places of limiters
	SettlePlaces                      // note that nobody goes by older places any more
)

// Order is one change that somebody asks for.
type Order struct {
	Kind   OrderKind      `cbor:"1,keyasint"`
	Body   []byte         `cbor:"2,keyasint,omitempty"` // of Replace and Update
	Zone   string         `cbor:"3,keyasint,omitempty"` // of Begin and Finish
	Places []places.Place `cbor:"4,keyasint,omitempty"` // of RegisterLimiters: to be made
	Seats  []string       `cbor:"5,keyasint,omitempty"` // of ChangeVoters: those to be voters, with those that are
	First  []string       `cbor:"6,keyasint,omitempty"` // of ChangeVoters: the voters that everyone began with
	Leave  []string       `cbor:"7,keyasint,omitempty"` // of ChangeVoters: those to vote no more
	// Term of ChangeVoters is that of the voters that the change was decided by: it is refused under
	// any other. Zero is for operators' commands, which hold under every term.
	Term uint64 `cbor:"8,keyasint,omitempty"`
	// Seen of Begin, Finish and RegisterLimiters is the Seq of the register that was in force where the
	// order came in. One that was overtaken by another one for the same zone or limiter is not carried out.
	Seen uint64 `cbor:"9,keyasint,omitempty"`
	// Holders of ReleasePlaces are those whose places end.
	Holders []string `cbor:"10,keyasint,omitempty"`
	// Settled of SettlePlaces is the Seq of the oldest register whose places anybody still goes by.
	Settled uint64 `cbor:"11,keyasint,omitempty"`
}

// Outcome is what became of an order.
type Outcome struct {
	Status int    `cbor:"1,keyasint"` // as in HTTP: 200, 400, 409, 412; 503 is no clear answer
	Code   string `cbor:"2,keyasint,omitempty"`
	Text   string `cbor:"3,keyasint,omitempty"`
	Seq    uint64 `cbor:"4,keyasint"` // of the version that holds it
}

// Encode is a register as it is agreed on and kept on disk.
func (r *Register) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Decode reads an encoded register. No bytes are the register before any order.
func Decode(value []byte) (*Register, error) {
	r := &Register{}
	if len(value) == 0 {
		return r, nil
	}
	if err := cbor.Unmarshal(value, r); err != nil {
		return nil, fmt.Errorf("controlstate: read a register: %w", err)
	}
	return r, nil
}

// Clone is a copy that can be changed by itself. Texts are shared: they do not change.
func (r *Register) Clone() *Register {
	c := *r
	c.Evac, c.Places, c.Applied = slices.Clone(r.Evac), slices.Clone(r.Places), slices.Clone(r.Applied)
	c.Voters, c.Prior = slices.Clone(r.Voters), slices.Clone(r.Prior)
	c.ZoneChanges = slices.Clone(r.ZoneChanges)
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
	case Begin, Finish:
		return r.evacuate(o)
	case RegisterLimiters:
		return r.changePlaces(func(t *places.Table, version uint64) bool { return t.Join(version, o.Seen, o.Places) }), Outcome{Status: 200}
	case ReleasePlaces:
		return r.changePlaces(func(t *places.Table, version uint64) bool { return t.Release(version, o.Holders) }), Outcome{Status: 200}
	case SettlePlaces:
		if o.Settled > r.Seq {
			return false, Outcome{Status: 409, Code: "not_yet", Text: fmt.Sprintf("places of register %d can't be settled: the newest is %d", o.Settled, r.Seq)}
		}
		return r.changePlaces(func(t *places.Table, _ uint64) bool { return t.Settle(o.Settled) }), Outcome{Status: 200}
	case ChangeVoters:
		return r.changeVoters(o)
	}
	return false, Outcome{Status: 400, Code: configuration.Unreadable, Text: fmt.Sprintf("order of kind %d is not known", o.Kind)}
}

// evacuate begins or finishes the evacuation of a zone. What is so already is acknowledged. An order
// that would change something is carried out only if the zone has not been changed since the order
// came in: one that was held up on its way must not undo a later one.
func (r *Register) evacuate(o *Order) (bool, Outcome) {
	at, evacuated := slices.BinarySearch(r.Evac, o.Zone)
	if evacuated == (o.Kind == Begin) {
		return false, Outcome{Status: 200}
	}
	k, changed := slices.BinarySearchFunc(r.ZoneChanges, o.Zone, func(c ZoneChange, zone string) int { return strings.Compare(c.Zone, zone) })
	if changed && r.ZoneChanges[k].Seq > o.Seen {
		return false, Outcome{Status: 503, Code: "overtaken", Text: "another order for the zone was carried out since this one came in: send it again if it is still wanted"}
	}
	if evacuated {
		r.Evac = slices.Delete(r.Evac, at, at+1)
	} else {
		r.Evac = slices.Insert(r.Evac, at, o.Zone)
	}
	change := ZoneChange{Zone: o.Zone, Seq: r.Seq + 1}
	if changed {
		r.ZoneChanges[k] = change
	} else {
		r.ZoneChanges = slices.Insert(r.ZoneChanges, k, change)
	}
	return true, Outcome{Status: 200}
}

// change takes a configuration. The same call again is answered as it was at first. One that is
// older than all calls that are remembered may have been taken: it gets no clear answer.
func (r *Register) change(o *Order) (bool, Outcome) {
	c, f := configuration.ReadCall(o.Body, o.Kind == Update)
	if f != nil {
		return false, fault(f)
	}
	s := sum(o)
	for _, t := range r.Applied {
		if t.Version == c.Version && t.Sum == s {
			return false, Outcome{Status: 200}
		}
	}
	if len(r.Applied) == appliedMost && c.Version < r.Applied[0].Version {
		return false, Outcome{Status: 503, Code: "forgotten", Text: fmt.Sprintf("r%d is older than the last %d changes: whether it was taken is not known any more", c.Version, appliedMost)}
	}
	next, f := configuration.Apply(r.Config, r.Version, c)
	if f != nil {
		return false, fault(f)
	}
	if old, bad := configuration.Read(r.Config); bad == nil && len(r.Config) > 0 {
		if t, bad := configuration.Read(next); bad == nil && configuration.Lost(old, t) {
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

func fault(f *configuration.Fault) Outcome {
	status := 400
	if f.Code == configuration.WrongBase {
		status = 412
	}
	return Outcome{Status: status, Code: f.Code, Text: f.Error()}
}
