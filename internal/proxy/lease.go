package proxy

import (
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/places"
	"example.org/madderdrum/traffic/allowance"
)

// A limiter's place in the register is a lease (see package places): it stands as long as there is young
// proof that the register is current, and what it may use follows from all places that somebody may
// still go by.

// renewed has what stands by the place go by a lease that was renewed. ended tells that it had ended
// before. The mutex is held.
func (y *Proxy) renewed(ended bool) {
	y.holdShare()
	if e := y.engine; ended && e != nil && y.lease.Valid(time.Since(y.begun)) {
		e.parts()
	}
}

// endLease has nothing that stands by the place used any more. The mutex is held.
func (y *Proxy) endLease() {
	y.lease = places.Lease{}
	y.holdShare()
	if e := y.engine; e != nil {
		e.parts()
	}
}

// holds tells that this limiter has a part, and may use it now. It needs no mutex.
func (y *Proxy) holds() bool { return int64(time.Since(y.begun)) < y.holdsUntil.Load() }

// slot is this limiter's in the register, or -1. The mutex is held.
func (y *Proxy) slot() int {
	t := y.reg.PlaceTable()
	return t.SlotOf(y.set.Node, y.set.IP)
}

// takePlaces works out what the places of the register in force give to this limiter. The mutex is held.
func (y *Proxy) takePlaces() {
	t := y.reg.PlaceTable()
	sets := t.Sets()
	y.limiters = 1
	for _, set := range sets {
		y.limiters = max(y.limiters, len(set))
	}
	y.near = t.InZone(y.set.Zone)
	share := places.Share(sets, y.slot())
	if share != y.share {
		y.log.WithFields(logrus.Fields{"share": share, "limiters": t.Count(), "settled": t.Settled}).Info("part of all ceilings changes")
	}
	y.share = share
}

// holdShare has what is sent and lent here go by this limiter's part and lease. The mutex is held.
func (y *Proxy) holdShare() {
	e := y.engine
	if e == nil {
		return
	}
	slot := y.slot()
	if y.done || slot != e.place {
		slot = -1
	}
	share, until := y.lease.Use(y.reg.PlaceTable(), slot)
	y.holdsUntil.Store(int64(until))
	y.desk.Hold(share*float64(e.size), ms(until))
	if y.holds() {
		y.serving = true
	}
}

// sets are the places of limiters by slot, in each set that somebody may still go by, the newest last.
// The mutex is held.
func (y *Proxy) sets() [][]allowance.Place {
	return allowance.PlacesOf(y.reg.PlaceTable(), func(zone string) string { return y.set.Zones[zone] })
}

// stopLending has nothing lent any more: what is lent would outlive this process.
func (y *Proxy) stopLending() {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.desk != nil {
		y.desk.StopLending()
	}
}

// giveBack has this limiter's place given back, after the last request.
func (y *Proxy) giveBack() {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.done || y.slot() < 0 {
		return
	}
	y.done = true
	y.holdShare()
	if e := y.engine; e != nil {
		e.parts()
	}
	y.poke()
}

// placeReturned tells that this limiter has had no place, or that the core machines know that it goes by
// registers without the one that it gave back.
func (y *Proxy) placeReturned() bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.givenBack || !y.done && y.slot() < 0
}
