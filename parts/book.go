// Package parts divides the ceilings of accounts among limiters. A ceiling is a hard limit for the
// whole fleet, enforced by escrow: each limiter of an account owns a share of the ceiling's burst
// and rate, and the shares never add up to more than the ceiling, whatever is lost, late,
// duplicated or restarted. At first all shares are equal; a steward moves them to the limiters
// where the account's requests arrive.
//
// The shares are replicated state. A share that is to shrink is used at its smaller size as soon as
// its owner learns of it, and counts at its larger size until the owner has confirmed that; only
// what has been freed in this way is given to others. Without a steward all shares stay unchanged.
package parts

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Duty is the name of the fleet-wide duty whose owner runs the steward.
const Duty = "parts"

const (
	// Equal is an equal share. Shares are counted in thousandths of it.
	Equal = 1000
	// Floor is the minimum share, which is never moved away. A limiter that does not know its share
	// uses no more: one that has just started, or whose fleet was reset.
	Floor = 100
	// maxAccounts bounds the replicated state; further accounts keep equal shares.
	maxAccounts = 4000
	maxLimiters = 10_000
)

// Shares are the shares of an account's limiters, by index. Most are at the floor, and those are not
// encoded.
type Shares []uint32

// MarshalJSON writes the number of shares, and then the index and size of each that is not the floor.
func (s Shares) MarshalJSON() ([]byte, error) {
	flat := []uint32{uint32(len(s))}
	for index, share := range s {
		if share != Floor {
			flat = append(flat, uint32(index), share)
		}
	}
	return json.Marshal(flat)
}

// UnmarshalJSON reads the encoding of MarshalJSON.
func (s *Shares) UnmarshalJSON(data []byte) error {
	var flat []uint32
	if err := json.Unmarshal(data, &flat); err != nil {
		return err
	}
	if len(flat) == 0 {
		*s = nil
		return nil
	}
	if len(flat)%2 == 0 || flat[0] > maxLimiters {
		return errors.New("parts by place that are cut off, or too many")
	}
	shares := slices.Repeat(Shares{Floor}, int(flat[0]))
	for i := 1; i < len(flat); i += 2 {
		if flat[i] >= flat[0] {
			return fmt.Errorf("place %d of %d", flat[i], flat[0])
		}
		shares[flat[i]] = flat[i+1]
	}
	*s = shares
	return nil
}

// Allocation is how the ceiling of one account is divided among its limiters.
type Allocation struct {
	First, Spread int    // the account's limiters: Spread positions from First on, wrapping around
	Now           Shares // what counts as in use, by index from First on
	Next          Shares `json:",omitempty"` // the target shares; nil: same as Now
	Version       uint64 // of the deal that set Next
}

// Deal sets the target shares of one account.
type Deal struct {
	Account       uint64
	First, Spread int
	To            Shares // by index, from First on
}

// Confirm says that a limiter's use has stayed within its targets of all deals up to a version.
type Confirm struct {
	Position int
	Version  uint64
	Floor    bool // the limiter uses only its floor of every ceiling
}

// Command is a change to the ledger: deals by a steward, under its epoch, or a limiter's Confirm.
type Command struct {
	Epoch    uint64
	Limiters int // size of the fleet, as the steward knows it
	Deals    []Deal
	Confirm  *Confirm
}

// Ledger is the replicated allocation of all ceilings. The zero value has no deals: all shares are equal.
type Ledger struct {
	Limiters int // 0: no deal yet
	Version  uint64
	Accounts map[uint64]*Allocation
	Unsure   []int // positions of limiters whose use is unknown; until all have confirmed their floors, all use floors
}

// Apply applies a command. epoch is that of the steward's current term.
func (l *Ledger) Apply(c Command, epoch uint64) error {
	switch {
	case c.Confirm != nil:
		return l.applyConfirm(*c.Confirm)
	case c.Epoch == 0 || c.Epoch != epoch:
		return fmt.Errorf("epoch %d of the duty is over, %d is under way", c.Epoch, epoch)
	case c.Limiters < 1:
		return errors.New("a deal needs the number of limiters")
	case c.Limiters != l.Limiters && l.Limiters != 0:
		l.Reset(c.Limiters) // positions now mean different limiters
		return nil
	}
	for _, d := range c.Deals {
		if err := d.validate(c.Limiters); err != nil {
			return err
		}
	}
	l.Limiters = c.Limiters
	l.Version++
	for _, d := range c.Deals {
		l.applyDeal(d)
	}
	return nil
}

// validate returns an error that says what is wrong with the deal.
func (d Deal) validate(limiters int) error {
	if d.Spread < 1 || d.Spread > limiters || d.First < 0 || d.First >= limiters || len(d.To) != d.Spread {
		return fmt.Errorf("account %x: %d parts for %d limiters from %d on, of %d", d.Account, len(d.To), d.Spread, d.First, limiters)
	}
	sum := uint64(0)
	for _, share := range d.To {
		if share < Floor {
			return fmt.Errorf("account %x: a part of %d is less than the floor of %d", d.Account, share, Floor)
		}
		sum += uint64(share)
	}
	if sum > uint64(d.Spread)*Equal {
		return fmt.Errorf("account %x: parts of %d are more than the ceiling's %d", d.Account, sum, d.Spread*Equal)
	}
	return nil
}

// applyDeal sets the target shares of an account, if there is room for it.
func (l *Ledger) applyDeal(d Deal) {
	allocation := l.Accounts[d.Account]
	switch {
	case allocation == nil && len(l.Accounts) >= maxAccounts:
		return
	case allocation == nil:
		if l.Accounts == nil {
			l.Accounts = map[uint64]*Allocation{}
		}
		allocation = &Allocation{First: d.First, Spread: d.Spread, Now: slices.Repeat(Shares{Equal}, d.Spread)}
		l.Accounts[d.Account] = allocation
	case allocation.First != d.First || allocation.Spread != d.Spread:
		return // the account's limiters have changed since its first deal
	}
	allocation.Next, allocation.Version = d.To, l.Version
	l.grantFree(d.Account, allocation)
}

// grantFree gives free shares to the limiters below their targets. An account whose shares are all
// equal again is dropped, as if it had never been dealt.
func (l *Ledger) grantFree(account uint64, allocation *Allocation) {
	free := uint32(allocation.Spread) * Equal
	for _, share := range allocation.Now {
		free -= min(free, share)
	}
	for index, target := range allocation.Next {
		if grant := min(free, target-min(target, allocation.Now[index])); grant > 0 {
			allocation.Now[index] += grant
			free -= grant
		}
	}
	if slices.Equal(allocation.Now, allocation.Next) {
		allocation.Next = nil
	}
	if allocation.Next == nil && !slices.ContainsFunc(allocation.Now, func(share uint32) bool { return share != Equal }) {
		delete(l.Accounts, account)
	}
}

// applyConfirm frees what a limiter has confirmed to no longer use.
func (l *Ledger) applyConfirm(c Confirm) error {
	if c.Position < 0 || c.Position >= l.Limiters {
		return fmt.Errorf("there is no limiter %d of %d", c.Position, l.Limiters)
	}
	if len(l.Unsure) > 0 {
		if c.Floor {
			l.Unsure = slices.DeleteFunc(l.Unsure, func(i int) bool { return i == c.Position })
		}
		return nil // shares become equal again once all limiters use their floors
	}
	for account, allocation := range l.Accounts {
		if allocation.Next == nil || allocation.Version > c.Version {
			continue
		}
		if index, ok := allocation.indexOf(c.Position, l.Limiters); ok && allocation.Next[index] < allocation.Now[index] {
			allocation.Now[index] = allocation.Next[index]
			l.grantFree(account, allocation)
		}
	}
	return nil
}

// indexOf returns a limiter's index among those of the account, and whether it is one of them.
func (a *Allocation) indexOf(position, limiters int) (int, bool) {
	index := ((position-a.First)%limiters + limiters) % limiters
	return index, index < a.Spread
}

// Reset forgets all allocations, as after a fleet reset: what the lost majority agreed on last is
// unknown. All limiters use their floors until each has confirmed that it does.
func (l *Ledger) Reset(limiters int) {
	version := l.Version + 1
	*l = Ledger{Limiters: limiters, Version: version}
	for i := range limiters {
		l.Unsure = append(l.Unsure, i)
	}
}

// SharesOf returns what a limiter may use from now on, in units of an equal share: of each account
// with a deal, and of the other accounts.
func (l *Ledger) SharesOf(position int) (byAccount map[uint64]float64, others float64) {
	if len(l.Unsure) > 0 {
		return nil, float64(Floor) / Equal
	}
	byAccount = make(map[uint64]float64, len(l.Accounts))
	for account, allocation := range l.Accounts {
		if index, ok := allocation.indexOf(position, l.Limiters); ok {
			share := allocation.Now[index]
			if allocation.Next != nil {
				share = min(share, allocation.Next[index])
			}
			byAccount[account] = float64(share) / Equal
		}
	}
	return byAccount, 1
}

// PendingConfirm returns what a limiter that uses SharesOf must confirm, if anything.
func (l *Ledger) PendingConfirm(position int) (Confirm, bool) {
	if len(l.Unsure) > 0 {
		return Confirm{Position: position, Version: l.Version, Floor: true}, slices.Contains(l.Unsure, position)
	}
	for _, allocation := range l.Accounts {
		if allocation.Next == nil {
			continue
		}
		if index, ok := allocation.indexOf(position, l.Limiters); ok && allocation.Next[index] < allocation.Now[index] {
			return Confirm{Position: position, Version: l.Version}, true
		}
	}
	return Confirm{}, false
}

// EqualizingDeals returns deals that make shares equal again, for the accounts that include selects.
func (l *Ledger) EqualizingDeals(include func(account uint64) bool) (deals []Deal) {
	for id, allocation := range l.Accounts {
		equal := slices.Repeat(Shares{Equal}, allocation.Spread)
		if len(deals) < maxDealsPerRound && !slices.Equal(allocation.Next, equal) && include(id) {
			deals = append(deals, Deal{id, allocation.First, allocation.Spread, equal})
		}
	}
	return deals
}

// CountUnequal returns how many accounts have unequal shares, and how many of them are still moving
// to their targets.
func (l *Ledger) CountUnequal() (unequal, inTransit int) {
	for _, allocation := range l.Accounts {
		if allocation.Next != nil {
			inTransit++
		}
	}
	return len(l.Accounts), inTransit
}
