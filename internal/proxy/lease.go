package proxy

import (
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/places"
	"example.org/madderdrum/traffic/allowance"
)

// A limiter's place in the register is a lease (see package places). It is valid while there is recent proof that
// the register is current. The share that it grants is the smallest one in all place tables that any limiter may
// still use.

// leaseRenewed applies a renewed lease to quotas and loans. hadEnded says that the lease had expired before. The
// mutex is held.
func (proxy *Proxy) leaseRenewed(hadEnded bool) {
	proxy.applyShare()
	if e := proxy.engine; hadEnded && e != nil && proxy.lease.Valid(time.Since(proxy.base)) {
		e.applyParts()
	}
}

// dropLease gives up the lease and stops the use of everything that depends on it. The mutex is held.
func (proxy *Proxy) dropLease() {
	proxy.lease = places.Lease{}
	proxy.applyShare()
	if e := proxy.engine; e != nil {
		e.applyParts()
	}
}

// holdsShare reports whether this limiter has a share of the quotas and a valid lease on it. It needs no lock.
func (proxy *Proxy) holdsShare() bool { return int64(time.Since(proxy.base)) < proxy.shareEnds.Load() }

// ownSlot returns this limiter's slot in the register, or -1. The mutex is held.
func (proxy *Proxy) ownSlot() int {
	t := proxy.register.PlaceTable()
	return t.SlotOf(proxy.settings.Node, proxy.settings.IP)
}

// updateShare computes this limiter's share from the places of the register in force. The mutex is held.
func (proxy *Proxy) updateShare() {
	t := proxy.register.PlaceTable()
	sets := t.SetsInUse()
	proxy.limiterCount = 1
	for _, settings := range sets { // the slots of one place set
		proxy.limiterCount = max(proxy.limiterCount, len(settings))
	}
	proxy.zoneLimiterCount = t.MaxInZone(proxy.settings.Zone)
	share := places.Share(sets, proxy.ownSlot())
	if share != proxy.share {
		proxy.log.WithFields(logrus.Fields{"share": share, "limiters": t.HeldCount(),
			"settled": t.Settled}).Info("part of all ceilings changes")
	}
	proxy.share = share
}

// applyShare applies this limiter's share and the end of its lease to sending and lending. The mutex is held.
func (proxy *Proxy) applyShare() {
	e := proxy.engine
	if e == nil {
		return
	}
	ownSlot := proxy.ownSlot()
	if proxy.returningPlace || ownSlot != e.slot {
		ownSlot = -1
	}
	share, until := proxy.lease.UsableShare(proxy.register.PlaceTable(), ownSlot)
	proxy.shareEnds.Store(int64(until))
	proxy.loans.SetShare(share*float64(e.slotCount), ms(until))
	if proxy.holdsShare() {
		proxy.hasHeldShare = true
	}
}

// placeSets returns the places of limiters by slot, in each set that any limiter may still use, newest last. The
// mutex is held.
func (proxy *Proxy) placeSets() [][]allowance.Place {
	return allowance.PlaceSets(proxy.register.PlaceTable(),
		func(zone string) string { return proxy.settings.Zones[zone] })
}

// stopLending stops new loans: they would outlast this process.
func (proxy *Proxy) stopLending() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.loans != nil {
		proxy.loans.StopLending()
	}
}

// returnPlace gives up this limiter's place. It is called after the last request.
func (proxy *Proxy) returnPlace() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.returningPlace || proxy.ownSlot() < 0 {
		return
	}
	proxy.returningPlace = true
	proxy.applyShare()
	if e := proxy.engine; e != nil {
		e.applyParts()
	}
	proxy.wakePull()
}

// placeReturned reports whether this limiter never had a place, or the core machines know that it uses a register
// without the place it gave up.
func (proxy *Proxy) placeReturned() bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.placeReturnConfirmed || !proxy.returningPlace && proxy.ownSlot() < 0
}
