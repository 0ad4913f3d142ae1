// Package parts deals out parts of ceilings among limiters. A ceiling is held by escrow: each
// limiter of an account owns a part of its store and of its rate, and all parts together never
// come to more than the ceiling, whatever is lost, late, doubled or begun again. At first all
// parts are equal; a steward moves them to where the account's requests arrive.
//
// What each limiter holds is agreed on. A part that is to shrink is used as the smaller one as
// soon as its holder learns of it, and counts as the larger one until the holder has confirmed
// that; only what has come free so is given to others. Without a steward all stays as it is.
package parts

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Duty is the duty under which parts are dealt.
const Duty = "parts"

const (
	// Equal is an equal part; parts are counted in thousandths of one.
	Equal = 1000
	// Floor is the part that is never moved away. A limiter that does not know what it holds
	// uses no more: one that has just started, or whose fleet was begun anew.
	Floor = 100
	// mostAccounts bounds what is agreed on; others stay with equal parts.
	maxAccounts = 4000
	maxLimiters = 10_000
)

// Shares are parts by place. Most are floors, which are not written out.
type Shares []uint32

// MarshalJSON writes how many there are, and the place and part of each that is no floor.
func (s Shares) MarshalJSON() ([]byte, error) {
	flat := []uint32{uint32(len(s))}
	for index, share := range s {
		if share != Floor {
			flat = append(flat, uint32(index), share)
		}
	}
	return json.Marshal(flat)
}

// UnmarshalJSON reads that.
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

// Held is what the limiters of one account hold of its ceiling.
type Allocation struct {
	First, Spread int    // its limiters: Spread of them, from First on, round the end
	Now           Shares // what each counts as holding, by place from First on
	Next          Shares `json:",omitempty"` // what each is to hold; nil: as it is
	Version       uint64 // of the deal that Next comes from
}

// Deal is what the limiters of an account are to hold.
type Deal struct {
	Account       uint64
	First, Spread int
	To            Shares // by place, from First on
}

// Confirm tells that a limiter has used no more than it is to hold since all deals up to a version.
type Confirm struct {
	Position int
	Version  uint64
	Floor    bool // it uses its floor of everything
}

// Command is a change to the book: a steward's, under its epoch, or a limiter's Confirm.
type Command struct {
	Epoch    uint64
	Limiters int // of the fleet, as the steward knows it
	Deals    []Deal
	Confirm  *Confirm
}

// Book is what is agreed on. The zero value deals with nothing.
type Book struct {
	Limiters int // 0: nothing was dealt yet
	Version  uint64
	Accounts map[uint64]*Allocation
	Unsure   []int // limiters of which is not known what they hold: until they tell, all use their floors
}

// Apply carries out a command. epoch is that of the steward's present term.
func (l *Book) Apply(c Command, epoch uint64) error {
	switch {
	case c.Confirm != nil:
		return l.applyConfirm(*c.Confirm)
	case c.Epoch == 0 || c.Epoch != epoch:
		return fmt.Errorf("epoch %d of the duty is over, %d is under way", c.Epoch, epoch)
	case c.Limiters < 1:
		return errors.New("a deal needs the number of limiters")
	case c.Limiters != l.Limiters && l.Limiters != 0:
		l.BeginAnew(c.Limiters) // positions mean others now
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

// check tells what is wrong with a deal.
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

func (l *Book) applyDeal(d Deal) {
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
		return // it came through other limiters when it was dealt first
	}
	allocation.Next, allocation.Version = d.To, l.Version
	l.grantFree(d.Account, allocation)
}

// raise gives what is free to those that are to hold more.
// An account whose parts are equal again is as one that was never dealt.
func (l *Book) grantFree(account uint64, allocation *Allocation) {
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

func (l *Book) applyConfirm(c Confirm) error {
	if c.Position < 0 || c.Position >= l.Limiters {
		return fmt.Errorf("there is no limiter %d of %d", c.Position, l.Limiters)
	}
	if len(l.Unsure) > 0 {
		if c.Floor {
			l.Unsure = slices.DeleteFunc(l.Unsure, func(i int) bool { return i == c.Position })
		}
		return nil // all parts are equal again once all use their floors
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

// place is a limiter's place among those of an account.
func (a *Allocation) indexOf(position, limiters int) (int, bool) {
	index := ((position-a.First)%limiters + limiters) % limiters
	return index, index < a.Spread
}

// BeginAnew forgets who holds what: of a fleet that was begun anew, what the lost majority
// agreed on last is not known. All use their floors until each has confirmed that it does.
func (l *Book) BeginAnew(limiters int) {
	version := l.Version + 1
	*l = Book{Limiters: limiters, Version: version}
	for i := range limiters {
		l.Unsure = append(l.Unsure, i)
	}
}

// Parts are what a limiter may use from now on, in equal parts: of the accounts that were
// dealt, and of the rest.
func (l *Book) Parts(position int) (byAccount map[uint64]float64, others float64) {
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

// Due is what a limiter that uses what Parts said has to confirm, if anything.
func (l *Book) Due(position int) (Confirm, bool) {
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

// Back are deals that make parts equal again, of the accounts that are meant.
func (l *Book) Back(include func(account uint64) bool) (deals []Deal) {
	for id, allocation := range l.Accounts {
		equal := slices.Repeat(Shares{Equal}, allocation.Spread)
		if len(deals) < maxDealsPerRound && !slices.Equal(allocation.Next, equal) && include(id) {
			deals = append(deals, Deal{id, allocation.First, allocation.Spread, equal})
		}
	}
	return deals
}

// Moved are how many accounts have parts that are not equal, and of how many some are on their way.
func (l *Book) Moved() (unequal, inTransit int) {
	for _, allocation := range l.Accounts {
		if allocation.Next != nil {
			inTransit++
		}
	}
	return len(l.Accounts), inTransit
}
