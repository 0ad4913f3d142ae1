package virtual

import (
	"encoding/binary"
	"time"

	"example.org/madderdrum/grant"
	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/limiter"
)

// Figures of asks, as package forwardauth has them.
const (
	askID      = "\x00ask"
	leaseTime  = 2 * time.Second
	leasesMost = 100_000
	wordEvery  = 250 * time.Millisecond
)

// asked is the answer to an Ask.
type asked struct {
	granted bool
	wait    time.Duration
}

// way is how a message goes.
type way int

const (
	carried   way = iota
	askedOnly     // it goes elsewhere once it was granted
	leased        // it is carried once it was granted
)

// WayNames are the ways of calls in words, by service.Request.Way.
var WayNames = [...]string{"carried", "asked only", "asked and carried"}

// how a call's messages go.
func (d *driver) how(t *world.Try) way { return way(t.Call.Way) }

// wayOf draws how a call's messages go.
func wayOf(o Options, call uint64) way {
	if o.Asked <= 0 {
		return carried
	}
	h := (call ^ o.Seed<<32) * 0x9e3779b97f4a7c15
	h = (h ^ h>>29) * 0xbf58476d1ce4e5b9
	switch u := float64(h>>11) / (1 << 53); {
	case u >= o.Asked:
		return carried
	case u >= o.Asked/2:
		return askedOnly
	}
	return leased
}

// ask is a proxy that asks for a try.
func (h *host) ask(t *world.Try, how way) {
	d, c := h.d, t.Call
	waits := t.Until - d.w.Now()
	spread, first := d.w.Entrance(c.Account)
	d.res.Counts.Asks++
	s := limiter.Submit{ID: askID, ExpiresMs: float64(waits.Microseconds()) / 1000,
		Units: c.Units, Class: c.Class, Plan: c.Plan, Retry: t.Retry, Account: c.Account, Spread: spread, First: first}
	h.advise(&s)
	h.asked = &asked{}
	h.handle(limiter.Ask{Lease: how == leased, Submit: s})
	answer := h.asked
	h.asked = nil
	if !answer.granted {
		t.Attempted("")
		d.after(d.w.ClientDelay(), func() { d.w.Got(d.w.Now(), t, world.GotRefused, answer.wait) })
		return
	}
	d.res.Counts.Grants++
	if how == askedOnly {
		d.j.Spent(d.w.Now(), judge.Request{Try: t.ID, Limiter: h.n, Account: c.Account, Plan: c.Plan, Units: c.Units})
		d.w.SentOn(d.w.Now(), t)
		d.after(d.w.ClientDelay(), func() { d.w.Got(d.w.Now(), t, world.GotServed, 0) })
		return
	}
	d.ids++
	var id grant.ID
	binary.LittleEndian.PutUint64(id[:], d.ids)
	terms := grant.Terms{Account: c.Account, Plan: c.Plan, Class: c.Class, Units: c.Units}
	epoch, until := h.epoch, d.w.Now()+leaseTime
	if h.desk.Leases().Grant(id, terms, until) != nil {
		h.handle(limiter.Settle{Account: c.Account, Units: c.Units, Refund: true})
		d.after(d.w.ClientDelay(), func() { d.w.Got(d.w.Now(), t, world.GotRefused, leaseTime) })
		return
	}
	d.w.After(until, func() {
		if h.epoch == epoch {
			h.desk.Leases().Expire(d.w.Now(), func(x grant.Terms) { h.settle(x, grant.Expired) })
		}
	})
	// The yes goes to the proxy, and the message to whichever limiter the front picks.
	d.after(2*d.w.ClientDelay(), func() {
		to := d.hosts[d.w.Pick(c.Account)]
		t.Limiter = to.n
		if !to.up || !to.taking {
			d.w.Got(d.w.Now(), t, world.GotBroken, 0)
			return
		}
		token := grant.Token{Limiter: h.n, Lease: id, Terms: terms}
		leased, vouched := to.desk.Redeem(d.w.Now(), token, until-d.w.Now(), terms)
		if vouched {
			d.after(wordEvery, to.tell)
		}
		to.carry(t, leased, vouched)
	})
}

// tell sends the other limiters what they are owed.
func (h *host) tell() {
	if !h.up {
		return
	}
	h.desk.SendNotices(func(to int, data []byte) {
		h.d.res.Counts.Messages++
		h.d.w.PeerSends(h.d.w.Now(), h.n, to, data)
	})
}

// heard takes in another limiter's word on leases.
func (h *host) heard(data []byte) {
	h.desk.Heard(h.d.w.Now(), data, func(x grant.Terms) { h.settle(x, grant.Moved) })
}

func (h *host) settle(x grant.Terms, e grant.EndReason) {
	h.handle(limiter.Settle{Account: x.Account, Units: x.Units, Refund: e.ReturnsUnits()})
}
