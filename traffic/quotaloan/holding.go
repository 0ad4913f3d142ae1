package quotaloan

import (
	"maps"
	"slices"

	"example.org/madderdrum/traffic/allowance"
)

// Demand is the number of requests that this limiter has received for an account with a ceiling.
type Demand struct {
	ID       uint64
	Requests float64 // since the process started
}

// Holding computes the parts of all accounts' ceilings that one limiter may use: its own part and its
// loans or, for accounts whose ceiling is split among keepers only, its part as a keeper. Like [Ledger] it
// reads no clock.
type Holding struct {
	Ledger      *Ledger
	slot, slots int
	Ceilings    map[uint64]allowance.Ceiling // by account
	Keepers     map[uint64][]int             // by account, if its ceiling is or recently was split among keepers
	KeeperParts map[uint64]float64           // this limiter's parts as a keeper, by account
	byAccount   map[uint64]float64           // parts in force, by account
	rest        float64
	validUntil  float64 // when the parts in force expire; 0: never
}

// NewHolding returns the holding of the limiter in a slot, with the given number of slots in total.
func NewHolding(d *Ledger, slot, slots int) *Holding {
	h := &Holding{Ledger: d, slot: slot, slots: slots, rest: 1}
	h.Clear()
	return h
}

// KeeperStatus reports whether an account's ceiling is split among keepers only, and whether this limiter
// is one of them.
func (h *Holding) KeeperStatus(id uint64) (split, keeper bool) {
	keepers, split := h.Keepers[id]
	return split, slices.Contains(keepers, h.slot)
}

// SetKeeperShares sets the share of an account's ceiling that each keeper may use, by slot. nil means that
// the ceiling is split equally among all limiters.
func (h *Holding) SetKeeperShares(id uint64, shares []float64) {
	delete(h.Keepers, id)
	delete(h.KeeperParts, id)
	if shares == nil {
		return
	}
	keepers := []int{}
	for keeper, share := range shares {
		if share > 0 {
			keepers = append(keepers, keeper)
		}
	}
	h.Keepers[id] = keepers
	h.KeeperParts[id] = shares[h.slot] * float64(h.slots)
}

// Clear removes all ceilings.
func (h *Holding) Clear() {
	h.Ceilings, h.Keepers, h.KeeperParts = map[uint64]allowance.Ceiling{}, map[uint64][]int{}, map[uint64]float64{}
}

// UpdateDemand records the demand for accounts and returns the messages that ask other limiters for loans.
func (h *Holding) UpdateDemand(now float64, demands []Demand) []Envelope {
	var accounts []Account
	n := float64(h.slots)
	for _, demand := range demands {
		if _, split := h.Keepers[demand.ID]; !split {
			ceiling := h.Ceilings[demand.ID]
			accounts = append(accounts, Account{ID: demand.ID, Rate: ceiling.Rate / n,
				Burst: ceiling.Burst / n, Requests: demand.Requests})
		}
	}
	return h.Ledger.UpdateDemand(now, accounts)
}

// Parts returns the parts that this limiter may use from now on, as multiples of an equal part: by
// account, and for all other accounts. changed reports whether they differ from those of the previous
// call.
func (h *Holding) Parts(now float64) (byAccount map[uint64]float64, rest float64, changed bool) {
	byAccount, rest, h.validUntil = h.Ledger.Parts(now)
	for id := range h.Keepers {
		byAccount[id] = 0
		if !h.Ledger.leaseLapsed(now) {
			byAccount[id] = h.KeeperParts[id]
		}
	}
	changed = rest != h.rest || !maps.Equal(byAccount, h.byAccount)
	h.byAccount, h.rest = byAccount, rest
	return byAccount, rest, changed
}

// Expired reports whether any of the parts in force have expired. Callers must also check it after the
// process was suspended.
func (h *Holding) Expired(now float64) bool { return h.validUntil > 0 && now >= h.validUntil }

// RestartBurst returns how many tokens of an account's ceiling a limiter has at once after a restart. All
// limiters that may restart together stay within the rules.
func (h *Holding) RestartBurst(r allowance.Rules, id uint64) float64 {
	part := h.Ledger.share
	if split, _ := h.KeeperStatus(id); split {
		part = h.KeeperParts[id]
	}
	return r.RestartBurst(h.Ceilings[id]) * part / float64(h.slots)
}

// How many other limiters are asked for a single token, in this region and in others.
const (
	maxNearAsks = 2
	maxFarAsks  = 1
)

// TokenCandidates returns the limiters to ask for a token of an account, in order, and how many of them
// are in this region. They are the account's keepers or, if its ceiling is split equally, other limiters
// of the region. out reports whether a limiter is unreachable; shuffle is as in math/rand.
func (h *Holding) TokenCandidates(id uint64, places []allowance.Place, out func(name string) bool,
	shuffle func(int, func(int, int))) (order []int, near int) {
	keepers, split := h.Keepers[id]
	region := places[h.slot].Region
	var nearby, far []int
	for i, place := range places[:min(h.slots, len(places))] {
		switch {
		case i == h.slot, place.Name == "", out(place.Name), split && !slices.Contains(keepers, i):
		case place.Region == region:
			nearby = append(nearby, i)
		case split:
			far = append(far, i)
		}
	}
	for _, group := range [][]int{nearby, far} {
		shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	near = min(maxNearAsks, len(nearby))
	return append(nearby[:near], far[:min(maxFarAsks, len(far))]...), near
}
