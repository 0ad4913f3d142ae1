// Package controlstate defines the replicated state of the core machines: the configuration, the
// evacuated zones and the places of the limiters. Orders are applied to it one after the other, and each
// change produces one new version. The package does no I/O.
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

// Register is one version of the replicated state. The zero value is the state before any order.
type Register struct {
	Seq            uint64           `cbor:"1,keyasint"`           // version of the register, plus one with each change
	Version        uint64           `cbor:"2,keyasint"`           // version of the configuration
	Config         []byte           `cbor:"3,keyasint,omitempty"` // text of the configuration
	EvacuatedZones []string         `cbor:"4,keyasint,omitempty"` // sorted
	Places         []places.Place   `cbor:"5,keyasint,omitempty"` // places of the limiters, by slot
	Applied        []AppliedCommand `cbor:"6,keyasint,omitempty"` // the latest changes of the configuration, oldest first
	// RevocationSeq is the Seq of the latest change that revoked an API key.
	RevocationSeq uint64 `cbor:"7,keyasint,omitempty"`
	// Voters are the IDs of the voters, sorted. It is empty before the first change, when the initial
	// voters apply. Prior are the voters before the last change of voters, kept until that change is known
	// to be chosen.
	Voters []string `cbor:"8,keyasint,omitempty"`
	Prior  []string `cbor:"9,keyasint,omitempty"`
	// VoterChanges counts the changes of the voter set. It determines the term (see [Register.Term]).
	VoterChanges uint64 `cbor:"10,keyasint,omitempty"`
	// ZoneChanges holds, for each zone, when its evacuation last changed; sorted by zone.
	ZoneChanges []ZoneChange `cbor:"11,keyasint,omitempty"`
	// PlacesSettled is the Seq of the oldest register whose places a limiter may still use.
	PlacesSettled uint64 `cbor:"12,keyasint,omitempty"`
}

// ZoneChange records the register Seq at which the evacuation of a zone was last begun or finished.
type ZoneChange struct {
	Zone string `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
}

// PlaceTable returns the table of places, whose version is the register's Seq. It shares memory with the
// register.
func (r *Register) PlaceTable() places.Table {
	return places.Table{Places: r.Places, Settled: r.PlacesSettled}
}

// changePlaces applies change to the table of places, under the Seq that the register gets if it changes.
func (r *Register) changePlaces(change func(table *places.Table, version uint64) bool) (changed bool) {
	table := r.PlaceTable()
	changed = change(&table, r.Seq+1)
	r.Places, r.PlacesSettled = table.Places, table.Settled
	return changed
}

// AppliedCommand identifies a configuration change that was applied, so that a repeated call is recognized.
type AppliedCommand struct {
	Version uint64   `cbor:"1,keyasint"`
	Sum     [16]byte `cbor:"2,keyasint"`
}

// maxAppliedCommands is how many applied configuration changes a register remembers.
const maxAppliedCommands = 256

// OrderKind is the type of change that an order makes.
type OrderKind uint8

// The kinds of orders.
const (
	ReplaceConfig    OrderKind = iota // replace the whole configuration
	UpdateConfig                      // change named items of the configuration
	BeginEvacuation                   // begin the evacuation of a zone
	FinishEvacuation                  // end the evacuation of a zone
	RegisterLimiters                  // assign places to limiters
	ChangeVoters                      // add and remove voters
	ReleasePlaces                     // release places of limiters
	SettlePlaces                      // record that no limiter uses older places any more
)

// Order is a command of the replicated state machine: one requested change of the register.
type Order struct {
	Kind          OrderKind      `cbor:"1,keyasint"`
	Body          []byte         `cbor:"2,keyasint,omitempty"` // of ReplaceConfig and UpdateConfig
	Zone          string         `cbor:"3,keyasint,omitempty"` // of BeginEvacuation and FinishEvacuation
	Places        []places.Place `cbor:"4,keyasint,omitempty"` // of RegisterLimiters: the places to create
	AddVoters     []string       `cbor:"5,keyasint,omitempty"` // of ChangeVoters: IDs to add to the voters
	InitialVoters []string       `cbor:"6,keyasint,omitempty"` // of ChangeVoters: the voters that bootstrapped the system
	RemoveVoters  []string       `cbor:"7,keyasint,omitempty"` // of ChangeVoters: IDs to remove from the voters
	// Term of ChangeVoters is the term in which the change was decided. The order is refused in any other
	// term. Operators' commands use zero, which is valid in every term.
	Term uint64 `cbor:"8,keyasint,omitempty"`
	// SeenSeq of BeginEvacuation, FinishEvacuation and RegisterLimiters is the Seq of the register that was
	// known where the order was received. The order is not applied if another one for the same zone or
	// limiter was applied since.
	SeenSeq uint64 `cbor:"9,keyasint,omitempty"`
	// Holders of ReleasePlaces are the holders whose places are released (see places.Place.Holder).
	Holders []string `cbor:"10,keyasint,omitempty"`
	// SettledSeq of SettlePlaces is the Seq of the oldest register whose places any limiter may still use.
	SettledSeq uint64 `cbor:"11,keyasint,omitempty"`
}

// Outcome is the result of an order.
type Outcome struct {
	Status int    `cbor:"1,keyasint"` // HTTP status; 503: result unknown, or order overtaken
	Code   string `cbor:"2,keyasint,omitempty"`
	Text   string `cbor:"3,keyasint,omitempty"`
	Seq    uint64 `cbor:"4,keyasint"` // of the register version that contains the result
}

// Encode returns the register in CBOR, the form in which it is replicated and stored on disk.
func (r *Register) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Decode parses an encoded register. An empty value is the register before any order.
func Decode(value []byte) (*Register, error) {
	r := &Register{}
	if len(value) == 0 {
		return r, nil
	}
	if err := cbor.Unmarshal(value, r); err != nil {
		return nil, fmt.Errorf("controlstate: decode register: %w", err)
	}
	return r, nil
}

// Clone returns a copy that can be changed independently. The copy shares Config, which is never modified
// in place.
func (r *Register) Clone() *Register {
	clone := *r
	clone.EvacuatedZones, clone.Places, clone.Applied = slices.Clone(r.EvacuatedZones), slices.Clone(r.Places), slices.Clone(r.Applied)
	clone.Voters, clone.Prior = slices.Clone(r.Voters), slices.Clone(r.Prior)
	clone.ZoneChanges = slices.Clone(r.ZoneChanges)
	return &clone
}

// digestOf identifies the content of a configuration order by its kind and body.
func digestOf(order *Order) (digest [16]byte) {
	hash := sha256.Sum256(order.Body)
	copy(digest[:], hash[:])
	digest[0] ^= byte(order.Kind)
	return digest
}

// Apply applies an order and increments Seq if the register changed.
func (r *Register) Apply(order *Order) Outcome {
	changed, outcome := r.apply(order)
	if changed {
		r.Seq++
	}
	if outcome.Seq == 0 {
		outcome.Seq = r.Seq
	}
	return outcome
}

// apply applies an order without incrementing Seq and reports whether the register changed.
func (r *Register) apply(order *Order) (bool, Outcome) {
	switch order.Kind {
	case ReplaceConfig, UpdateConfig:
		return r.changeConfiguration(order)
	case BeginEvacuation, FinishEvacuation:
		return r.evacuate(order)
	case RegisterLimiters:
		return r.changePlaces(func(table *places.Table, version uint64) bool {
			return table.Join(version, order.SeenSeq, order.Places)
		}), Outcome{Status: 200}
	case ReleasePlaces:
		return r.changePlaces(func(table *places.Table, version uint64) bool { return table.Release(version, order.Holders) }), Outcome{Status: 200}
	case SettlePlaces:
		if order.SettledSeq > r.Seq {
			return false, Outcome{Status: 409, Code: "not_yet", Text: fmt.Sprintf("places of register %d can't be settled: the newest is %d", order.SettledSeq, r.Seq)}
		}
		return r.changePlaces(func(table *places.Table, _ uint64) bool { return table.Settle(order.SettledSeq) }), Outcome{Status: 200}
	case ChangeVoters:
		return r.changeVoters(order)
	}
	return false, Outcome{Status: 400, Code: configuration.Unreadable, Text: fmt.Sprintf("order of kind %d is not known", order.Kind)}
}

// evacuate begins or finishes the evacuation of a zone. An order that would change nothing is acknowledged.
// Any other is applied only if the zone has not changed since the order was received, so that a delayed
// order does not undo a later one.
func (r *Register) evacuate(order *Order) (bool, Outcome) {
	zoneIndex, evacuated := slices.BinarySearch(r.EvacuatedZones, order.Zone)
	if evacuated == (order.Kind == BeginEvacuation) {
		return false, Outcome{Status: 200}
	}
	changeIndex, changed := slices.BinarySearchFunc(r.ZoneChanges, order.Zone,
		func(c ZoneChange, zone string) int { return strings.Compare(c.Zone, zone) })
	if changed && r.ZoneChanges[changeIndex].Seq > order.SeenSeq {
		return false, Outcome{Status: 503, Code: "overtaken", Text: "another order for the zone was carried out since this one came in: send it again if it is still wanted"}
	}
	if evacuated {
		r.EvacuatedZones = slices.Delete(r.EvacuatedZones, zoneIndex, zoneIndex+1)
	} else {
		r.EvacuatedZones = slices.Insert(r.EvacuatedZones, zoneIndex, order.Zone)
	}
	change := ZoneChange{Zone: order.Zone, Seq: r.Seq + 1}
	if changed {
		r.ZoneChanges[changeIndex] = change
	} else {
		r.ZoneChanges = slices.Insert(r.ZoneChanges, changeIndex, change)
	}
	return true, Outcome{Status: 200}
}

// changeConfiguration replaces or updates the configuration. A repeated call is acknowledged again without
// a change. A call older than all remembered ones may or may not have been applied, so it gets status 503.
func (r *Register) changeConfiguration(order *Order) (bool, Outcome) {
	call, fault := configuration.ParseChange(order.Body, order.Kind == UpdateConfig)
	if fault != nil {
		return false, faultOutcome(fault)
	}
	digest := digestOf(order)
	for _, t := range r.Applied {
		if t.Version == call.Version && t.Sum == digest {
			return false, Outcome{Status: 200}
		}
	}
	if len(r.Applied) == maxAppliedCommands && call.Version < r.Applied[0].Version {
		return false, Outcome{Status: 503, Code: "forgotten", Text: fmt.Sprintf("r%d is older than the last %d changes: whether it was taken is not known any more", call.Version, maxAppliedCommands)}
	}
	next, fault := configuration.Apply(r.Config, r.Version, call)
	if fault != nil {
		return false, faultOutcome(fault)
	}
	if old, unreadable := configuration.Parse(r.Config); unreadable == nil && len(r.Config) > 0 {
		if t, unreadable := configuration.Parse(next); unreadable == nil && configuration.KeyRevoked(old, t) {
			r.RevocationSeq = r.Seq + 1
		}
	}
	r.Config, r.Version = next, call.Version
	r.Applied = append(r.Applied, AppliedCommand{call.Version, digest})
	if excess := len(r.Applied) - maxAppliedCommands; excess > 0 {
		r.Applied = slices.Delete(r.Applied, 0, excess)
	}
	return true, Outcome{Status: 200}
}

// faultOutcome converts a configuration fault to an outcome: 412 for a wrong base version, else 400.
func faultOutcome(fault *configuration.Fault) Outcome {
	status := 400
	if fault.Code == configuration.WrongBase {
		status = 412
	}
	return Outcome{Status: status, Code: fault.Code, Text: fault.Error()}
}
