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
	mostAccounts = 4000
	mostLimiters = 10_000
)

// Shares are parts by place. Most are floors, which are not written out.
type Shares []uint32

// MarshalJSON writes how many there are, and the place and part of each that is no floor.
func (s Shares) MarshalJSON() ([]byte, error) {
	flat := []uint32{uint32(len(s))}
	for k, x := range s {
		if x != Floor {
			flat = append(flat, uint32(k), x)
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
	if len(flat)%2 == 0 || flat[0] > mostLimiters {
		return errors.New("parts by place that are cut off, or too many")
	}
	all := slices.Repeat(Shares{Floor}, int(flat[0]))
	for k := 1; k < len(flat); k += 2 {
		if flat[k] >= flat[0] {
			return fmt.Errorf("place %d of %d", flat[k], flat[0])
		}
		all[flat[k]] = flat[k+1]
	}
	*s = all
	return nil
}

// Held is what the limiters of one account hold of its ceiling.
type Held struct {
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
	Accounts map[uint64]*Held
	Unsure   []int // limiters of which is not known what they hold: until they tell, all use their floors
}

// Apply carries out a command. epoch is that of the steward's present term.
func (b *Book) Apply(c Command, epoch uint64) error {
	switch {
	case c.Confirm != nil:
		return b.confirm(*c.Confirm)
	case c.Epoch == 0 || c.Epoch != epoch:
		return fmt.Errorf("epoch %d of the duty is over, %d is under way", c.Epoch, epoch)
	case c.Limiters < 1:
		return errors.New("a deal needs the number of limiters")
	case c.Limiters != b.Limiters && b.Limiters != 0:
		b.BeginAnew(c.Limiters) // positions mean others now
		return nil
	}
	for _, d := range c.Deals {
		if err := d.check(c.Limiters); err != nil {
			return err
		}
	}
	b.Limiters = c.Limiters
	b.Version++
	for _, d := range c.Deals {
		b.deal(d)
	}
	return nil
}

// check tells what is wrong with a deal.
func (d Deal) check(limiters int) error {
	if d.Spread < 1 || d.Spread > limiters || d.First < 0 || d.First >= limiters || len(d.To) != d.Spread {
		return fmt.Errorf("account %x: %d parts for %d limiters from %d on, of %d", d.Account, len(d.To), d.Spread, d.First, limiters)
	}
	sum := uint64(0)
	for _, x := range d.To {
		if x < Floor {
			return fmt.Errorf("account %x: a part of %d is less than the floor of %d", d.Account, x, Floor)
		}
		sum += uint64(x)
	}
	if sum > uint64(d.Spread)*Equal {
		return fmt.Errorf("account %x: parts of %d are more than the ceiling's %d", d.Account, sum, d.Spread*Equal)
	}
	return nil
}

func (b *Book) deal(d Deal) {
	h := b.Accounts[d.Account]
	switch {
	case h == nil && len(b.Accounts) >= mostAccounts:
		return
	case h == nil:
		if b.Accounts == nil {
			b.Accounts = map[uint64]*Held{}
		}
		h = &Held{First: d.First, Spread: d.Spread, Now: slices.Repeat(Shares{Equal}, d.Spread)}
		b.Accounts[d.Account] = h
	case h.First != d.First || h.Spread != d.Spread:
		return // it came through other limiters when it was dealt first
	}
	h.Next, h.Version = d.To, b.Version
	b.raise(d.Account, h)
}

// raise gives what is free to those that are to hold more.
// An account whose parts are equal again is as one that was never dealt.
func (b *Book) raise(id uint64, h *Held) {
	free := uint32(h.Spread) * Equal
	for _, x := range h.Now {
		free -= min(free, x)
	}
	for k, to := range h.Next {
		if more := min(free, to-min(to, h.Now[k])); more > 0 {
			h.Now[k] += more
			free -= more
		}
	}
	if slices.Equal(h.Now, h.Next) {
		h.Next = nil
	}
	if h.Next == nil && !slices.ContainsFunc(h.Now, func(x uint32) bool { return x != Equal }) {
		delete(b.Accounts, id)
	}
}

func (b *Book) confirm(c Confirm) error {
	if c.Position < 0 || c.Position >= b.Limiters {
		return fmt.Errorf("there is no limiter %d of %d", c.Position, b.Limiters)
	}
	if len(b.Unsure) > 0 {
		if c.Floor {
			b.Unsure = slices.DeleteFunc(b.Unsure, func(i int) bool { return i == c.Position })
		}
		return nil // all parts are equal again once all use their floors
	}
	for id, h := range b.Accounts {
		if h.Next == nil || h.Version > c.Version {
			continue
		}
		if k, ok := h.place(c.Position, b.Limiters); ok && h.Next[k] < h.Now[k] {
			h.Now[k] = h.Next[k]
			b.raise(id, h)
		}
	}
	return nil
}

// place is a limiter's place among those of an account.
func (h *Held) place(position, limiters int) (int, bool) {
	k := ((position-h.First)%limiters + limiters) % limiters
	return k, k < h.Spread
}

// BeginAnew forgets who holds what: of a fleet that was begun anew, what the lost majority
// agreed on last is not known. All use their floors until each has confirmed that it does.
func (b *Book) BeginAnew(limiters int) {
	version := b.Version + 1
	*b = Book{Limiters: limiters, Version: version}
	for i := range limiters {
		b.Unsure = append(b.Unsure, i)
	}
}

// Parts are what a limiter may use from now on, in equal parts: of the accounts that were
// dealt, and of the rest.
func (b *Book) Parts(position int) (of map[uint64]float64, rest float64) {
	if len(b.Unsure) > 0 {
		return nil, float64(Floor) / Equal
	}
	of = make(map[uint64]float64, len(b.Accounts))
	for id, h := range b.Accounts {
		if k, ok := h.place(position, b.Limiters); ok {
			x := h.Now[k]
			if h.Next != nil {
				x = min(x, h.Next[k])
			}
			of[id] = float64(x) / Equal
		}
	}
	return of, 1
}

// Due is what a limiter that uses what Parts said has to confirm, if anything.
func (b *Book) Due(position int) (Confirm, bool) {
	if len(b.Unsure) > 0 {
		return Confirm{Position: position, Version: b.Version, Floor: true}, slices.Contains(b.Unsure, position)
	}
	for _, h := range b.Accounts {
		if h.Next == nil {
			continue
		}
		if k, ok := h.place(position, b.Limiters); ok && h.Next[k] < h.Now[k] {
			return Confirm{Position: position, Version: b.Version}, true
		}
	}
	return Confirm{}, false
}

// Back are deals that make parts equal again, of the accounts that are meant.
func (b *Book) Back(meant func(account uint64) bool) (deals []Deal) {
	for id, h := range b.Accounts {
		equal := slices.Repeat(Shares{Equal}, h.Spread)
		if len(deals) < mostDeals && !slices.Equal(h.Next, equal) && meant(id) {
			deals = append(deals, Deal{id, h.First, h.Spread, equal})
		}
	}
	return deals
}

// Moved are how many accounts have parts that are not equal, and of how many some are on their way.
func (b *Book) Moved() (moved, underWay int) {
	for _, h := range b.Accounts {
		if h.Next != nil {
			underWay++
		}
	}
	return len(b.Accounts), underWay
}
