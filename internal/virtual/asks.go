package virtual

import (
	"encoding/binary"
	"time"

	"example.org/madderdrum/grant"
	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/limiter"
)

// Limits of asks and leases, equal to those of package forwardauth.
const (
	askID          = "\x00ask"
	leaseDuration  = 2 * time.Second
	maxLeases      = 100_000
	noticeInterval = 250 * time.Millisecond
)

// askResult is the answer of the policy to an Ask.
type askResult struct {
	granted bool
	wait    time.Duration
}

// callWay is the way in which a limiter takes part in a request.
type callWay int

const (
	wayProxied   callWay = iota
	wayAskedOnly         // a proxy asks for a grant and forwards the request itself
	wayLeased            // a proxy asks for a lease and sends the request through a limiter
)

// WayNames holds the names of the ways of calls in reports, by service.Request.Way.
var WayNames = [...]string{"carried", "asked only", "asked and carried"}

// wayFor returns the way of the call of a try.
func (d *driver) wayFor(t *world.Try) callWay { return callWay(t.Call.Way) }

// drawWay returns the way of a call by a hash of its id and the seed.
func drawWay(o Options, call uint64) callWay {
	if o.AskShare <= 0 {
		return wayProxied
	}
	h := (call ^ o.Seed<<32) * 0x9e3779b97f4a7c15
	h = (h ^ h>>29) * 0xbf58476d1ce4e5b9
	switch u := float64(h>>11) / (1 << 53); {
	case u >= o.AskShare:
		return wayProxied
	case u >= o.AskShare/2:
		return wayAskedOnly
	}
	return wayLeased
}

// ask processes the ask of a proxy for a try, and what the proxy does with the answer.
func (h *host) ask(t *world.Try, how callWay) {
	d, c := h.driver, t.Call
	remaining := t.ClientDeadline - d.world.Now()
	spread, first := d.world.AccountLimiters(c.Account)
	d.result.Counts.Asks++
	s := limiter.Submit{ID: askID, ExpiresMs: float64(remaining.Microseconds()) / 1000,
		Units: c.Units, Class: c.Class, Plan: c.Plan, Retry: t.Retry, Account: c.Account, Spread: spread, First: first}
	h.advise(&s)
	h.pendingAsk = &askResult{}
	h.handle(limiter.Ask{Lease: how == wayLeased, Submit: s})
	answer := h.pendingAsk
	h.pendingAsk = nil
	if !answer.granted {
		t.Attempted("")
		d.after(d.world.ClientDelay(), func() { d.world.DeliverAnswer(d.world.Now(), t, world.GotRefused, answer.wait) })
		return
	}
	d.result.Counts.Grants++
	if how == wayAskedOnly {
		d.judge.UnitsGranted(d.world.Now(), judge.Request{Try: t.ID, Limiter: h.index, Account: c.Account, Plan: c.Plan, Units: c.Units})
		d.world.TryForwarded(d.world.Now(), t)
		d.after(d.world.ClientDelay(), func() { d.world.DeliverAnswer(d.world.Now(), t, world.GotServed, 0) })
		return
	}
	d.lastID++
	var id grant.ID
	binary.LittleEndian.PutUint64(id[:], d.lastID)
	terms := grant.Terms{Account: c.Account, Plan: c.Plan, Class: c.Class, Units: c.Units}
	epoch, until := h.epoch, d.world.Now()+leaseDuration
	if h.leaseManager.Leases().Grant(id, terms, until) != nil {
		h.handle(limiter.Settle{Account: c.Account, Units: c.Units, Refund: true})
		d.after(d.world.ClientDelay(), func() { d.world.DeliverAnswer(d.world.Now(), t, world.GotRefused, leaseDuration) })
		return
	}
	d.world.Schedule(until, func() {
		if h.epoch == epoch {
			h.leaseManager.Leases().Expire(d.world.Now(), func(x grant.Terms) { h.settle(x, grant.Expired) })
		}
	})
	// The grant goes to the proxy, which sends the request to the limiter that the front picks.
	d.after(2*d.world.ClientDelay(), func() {
		to := d.hosts[d.world.PickLimiter(c.Account)]
		t.Limiter = to.index
		if !to.up || !to.accepting {
			d.world.DeliverAnswer(d.world.Now(), t, world.GotBroken, 0)
			return
		}
		token := grant.Token{Limiter: h.index, Lease: id, Terms: terms}
		leased, quotaChecked := to.leaseManager.Redeem(d.world.Now(), token, until-d.world.Now(), terms)
		if quotaChecked {
			d.after(noticeInterval, to.sendNotices)
		}
		to.proxy(t, leased, quotaChecked)
	})
}

// sendNotices sends pending lease notices to the other limiters.
func (h *host) sendNotices() {
	if !h.up {
		return
	}
	h.leaseManager.SendNotices(func(to int, data []byte) {
		h.driver.result.Counts.Messages++
		h.driver.world.SendPeerMessage(h.driver.world.Now(), h.index, to, data)
	})
}

// receiveNotices processes lease notices of another limiter.
func (h *host) receiveNotices(data []byte) {
	h.leaseManager.Heard(h.driver.world.Now(), data, func(x grant.Terms) { h.settle(x, grant.Moved) })
}

func (h *host) settle(x grant.Terms, e grant.EndReason) {
	h.handle(limiter.Settle{Account: x.Account, Units: x.Units, Refund: e.ReturnsUnits()})
}
