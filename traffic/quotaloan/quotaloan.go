// Package quotaloan has limiters lend each other parts of tenants' ceilings for a time, after which the
// lender has them back without a word. A ceiling is held
// by escrow, one equal part a limiter; a limiter where more of a tenant's requests arrive than
// its part takes asks one with some to spare.
//
// The sum of all parts never exceeds the ceiling, whatever is lost, late, doubled or begun
// again. A lender gives up what it lends before it answers, and takes it back a span after it
// heard the last ask; the borrower counts the same span, less a margin, from when it asked.
// Nobody lends more than half of its own part, and a limiter that has just begun, which may
// have lent before, uses half of it until those that may have borrowed have told what they
// still hold of it, or until it must have ended.
//
// A limiter's own part stands by a lease (see package places). It uses nothing, borrowed or own, after
// the lease has ended, and lends nothing that would outlive it.
//
// Parts are counted in equal parts of the slots that there are for limiters, so many for all together.
//
// A [Desk] does no input or output and reads no clock: times are handed in, in milliseconds on
// a clock that does not go backwards. Clocks of different limiters need not agree, only run at
// the same pace. It is not safe for concurrent use.
package quotaloan

import (
	"cmp"
	"math"
	"slices"
)

const (
	// SpanMs is how long a loan holds from its latest ask.
	SpanMs = 6000.0
	// marginMs is by how much a borrower gives up sooner: clocks run alike within a hundredth.
	marginMs = 200.0
	// Lendable is the share of an equal part that may be lent.
	Lendable = 0.5
	renewMs  = 2500.0 // a loan that is still needed is asked for again after this
	rateMs   = 4000.0 // over which demand is averaged

	// A part is to hold demand with room for what comes in clusters: requests come by chance,
	// so that one second's number scatters by its root.
	rateRoom  = 1.35
	leastRate = 0.05 // requests a second
	burstRoom = 2.0  // roots of a second's requests
	leastRoom = 2.5  // requests
	leastAsk  = 0.1  // of an equal part
)

// Account is one tenant's ceiling as this limiter sees it.
type Account struct {
	ID    uint64
	Rate  float64 // requests a second of an equal part
	Burst float64 // requests that an equal part holds at most
	Asked float64 // requests that came here, since the process began
}

// Item is an amount of one account, in equal parts.
type Item struct {
	ID   uint64  `cbor:"1,keyasint"`
	Part float64 `cbor:"2,keyasint"`
}

// Message is an ask or a recall, or the answer to one.
type Message struct {
	Answer bool   `cbor:"1,keyasint,omitempty"`
	Recall bool   `cbor:"5,keyasint,omitempty"` // tell what you hold of mine
	Serial uint64 `cbor:"2,keyasint"`           // of the ask
	Life   uint64 `cbor:"3,keyasint"`           // of the borrower's process
	Items  []Item `cbor:"4,keyasint"`
	Size   int    `cbor:"6,keyasint,omitempty"` // slots that the sender counts parts by; 0: as the receiver
}

// Letter is a message on its way.
type Letter struct {
	To      int
	Message Message
}

type loan struct {
	part  float64
	until float64
}

type account struct {
	Account
	rate float64 // of demand, requests a second
	at   float64
	lent map[int]loan // by borrower
	had  map[int]loan // by lender
}

type asked struct {
	to int
	at float64
}

// Desk lends and borrows for one limiter.
type Desk struct {
	me, size int
	life     uint64
	begun    float64
	serial   uint64
	accounts map[uint64]*account
	out      map[uint64]asked // asks without an answer
	near     []int            // whom to ask, the nearest first
	share    float64          // the part that is this limiter's own
	until    float64          // its lease ends then
	leaving  bool             // nothing is lent any more
	unsure   map[int]bool     // of them those that may hold something of a former life
	turn     int
}

// New returns the desk of the limiter at a position in a set of so many. near are those that it
// may ask, life is of this process.
func New(now float64, me, size int, near []int, life uint64) *Desk {
	d := &Desk{me: me, size: size, life: life, begun: now, near: near, share: 1, until: math.Inf(1), accounts: map[uint64]*account{}, out: map[uint64]asked{}, unsure: map[int]bool{}}
	for _, k := range near {
		d.unsure[k] = true
	}
	return d
}

// First notes that no former life of this limiter can have lent anything.
func (d *Desk) First() { clear(d.unsure) }

// Hold sets the part that is this limiter's own, and when its lease ends.
func (d *Desk) Hold(share, until float64) {
	d.share, d.until = max(0, share), until
	if d.share > 0 {
		return
	}
	clear(d.out) // what is answered now comes too late
	for _, a := range d.accounts {
		clear(a.had)
	}
}

// StopLending has nothing lent any more, by a limiter that leaves.
func (d *Desk) StopLending() { d.leaving = true }

// Resize has parts counted by another number of slots, for a limiter that may stand in another one
// and may ask others.
func (d *Desk) Resize(me, size int, near []int) {
	scale := float64(size) / float64(d.size)
	for _, a := range d.accounts {
		for _, loans := range []map[int]loan{a.lent, a.had} {
			for k, l := range loans {
				l.part *= scale
				loans[k] = l
			}
		}
	}
	d.me, d.size, d.near = me, size, near
	d.share *= scale
}

// LoansEndIn is in how many ms others use nothing more that this limiter may have lent beyond the part
// that is its own now.
func (d *Desk) LoansEndIn(now float64) (ms float64) {
	if d.young(now) {
		return d.begun + SpanMs - now
	}
	for _, a := range d.accounts {
		lent, last := 0.0, now
		for _, l := range a.lent {
			if now < l.until {
				lent, last = lent+l.part, max(last, l.until)
			}
		}
		if lent > d.share {
			ms = max(ms, last-now)
		}
	}
	return ms
}

// lapsed tells that nothing may be used here.
func (d *Desk) lapsed(now float64) bool { return d.share <= 0 || now >= d.until }

func (d *Desk) get(id uint64) *account {
	a := d.accounts[id]
	if a == nil {
		a = &account{Account: Account{ID: id}, lent: map[int]loan{}, had: map[int]loan{}}
		d.accounts[id] = a
	}
	return a
}

// young tells that a former life's loans may still be in use.
func (d *Desk) young(now float64) bool { return len(d.unsure) > 0 && now < d.begun+SpanMs }

// own is the part of an account that this limiter has by itself now.
func (d *Desk) own(now float64, a *account) float64 {
	x := d.share
	if d.young(now) {
		x *= 1 - Lendable
	}
	lent := 0.0
	for to, l := range a.lent {
		if now >= l.until {
			delete(a.lent, to)
			continue
		}
		lent += l.part
	}
	if d.lapsed(now) {
		return 0
	}
	return max(0, min(x, d.share-lent))
}

func (d *Desk) borrowed(now float64, a *account) (sum float64) {
	for from, l := range a.had {
		if now >= l.until {
			delete(a.had, from)
			continue
		}
		sum += l.part
	}
	if d.lapsed(now) {
		return 0
	}
	return sum
}

// wants is the part that demand here needs.
func (a *account) wants() float64 {
	if a.rate < leastRate || a.Rate <= 0 || a.Burst <= 0 {
		return 0
	}
	return max(rateRoom*a.rate/a.Rate, (leastRoom+burstRoom*math.Sqrt(a.rate))/a.Burst)
}

// Look takes in how much was asked for and returns what to ask others.
func (d *Desk) Look(now float64, all []Account) []Letter {
	for _, x := range all {
		a := d.get(x.ID)
		if a.at > 0 && now > a.at && x.Asked >= a.Asked {
			w := 1 - math.Exp(-(now-a.at)/rateMs)
			a.rate += w * ((x.Asked-a.Asked)/(now-a.at)*1000 - a.rate)
		}
		a.Account, a.at = x, now
	}
	for s, o := range d.out {
		if now-o.at > SpanMs {
			delete(d.out, s)
		}
	}
	var out []Letter
	if d.young(now) {
		for _, to := range keys(d.unsure) {
			d.serial++
			d.out[d.serial] = asked{to, now}
			out = append(out, Letter{to, Message{Recall: true, Serial: d.serial, Life: d.life, Size: d.size}})
		}
		return out
	}
	if len(d.near) == 0 || d.lapsed(now) {
		return nil
	}
	by := map[int][]Item{}
	ids := make([]uint64, 0, len(d.accounts))
	for id := range d.accounts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		a := d.accounts[id]
		// What is had and still needed is asked for again in time; a new need goes round.
		have := d.own(now, a) + d.borrowed(now, a)
		need := a.wants() - d.own(now, a)
		for _, from := range keys(a.had) {
			l := a.had[from]
			if need <= leastAsk/2 {
				break
			}
			if x := min(l.part, need); l.until-now < SpanMs-marginMs-renewMs {
				by[from] = append(by[from], Item{id, x})
			}
			need -= l.part
		}
		if lack := a.wants() - have; lack > leastAsk {
			to := d.near[d.turn%len(d.near)]
			by[to] = append(by[to], Item{id, lack + a.had[to].part})
		}
	}
	d.turn++
	for _, to := range keys(by) {
		d.serial++
		d.out[d.serial] = asked{to, now}
		out = append(out, Letter{to, Message{Serial: d.serial, Life: d.life, Items: by[to], Size: d.size}})
	}
	return out
}

func keys[K cmp.Ordered, V any](m map[K]V) []K {
	all := make([]K, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// Hear takes in a message and returns the answer, if there is one to give.
func (d *Desk) Hear(now float64, from int, m Message) (Letter, bool) {
	if from < 0 || from >= d.size || from == d.me || m.Size < 0 {
		return Letter{}, false
	}
	m.Items = d.inOwnParts(m)
	switch {
	case m.Answer && m.Recall:
		d.recalled(now, from, m)
		return Letter{}, false
	case m.Answer:
		d.had(now, from, m)
		return Letter{}, false
	case m.Recall:
		return Letter{from, d.held(now, from, m)}, true
	}
	a := Message{Answer: true, Serial: m.Serial, Life: m.Life, Size: d.size}
	for _, it := range m.Items {
		if x := d.lend(now, from, it); x > 0 {
			a.Items = append(a.Items, Item{it.ID, x})
		}
	}
	return Letter{from, a}, len(a.Items) > 0
}

// inOwnParts are a message's items, counted by the slots that there are here.
func (d *Desk) inOwnParts(m Message) []Item {
	if m.Size == 0 || m.Size == d.size {
		return m.Items
	}
	items := make([]Item, len(m.Items))
	for i, it := range m.Items {
		items[i] = Item{it.ID, it.Part * float64(d.size) / float64(m.Size)}
	}
	return items
}

// lend gives up a part for a borrower and tells how much it may have. What it has already
// stays its until that ends: it may be using it.
func (d *Desk) lend(now float64, to int, it Item) float64 {
	if !(it.Part > 0) || d.young(now) || d.leaving || d.lapsed(now) || now+SpanMs > d.until {
		return 0
	}
	a := d.get(it.ID)
	mine := d.own(now, a)
	old := min(a.lent[to].part, d.share)
	spare := mine - max((1-Lendable)*d.share, a.wants()) // beyond what is lent already
	x := max(old, min(it.Part, old+max(0, spare)))
	if x <= 0 {
		return 0
	}
	a.lent[to] = loan{x, now + SpanMs}
	return x
}

// had takes in what a lender gives.
func (d *Desk) had(now float64, from int, m Message) {
	o, ok := d.out[m.Serial]
	if !ok || m.Life != d.life || o.to != from {
		return
	}
	delete(d.out, m.Serial)
	most := Lendable * max(1, float64(d.size)/2) // at least one other holds as much as the lender
	for _, it := range m.Items {
		a := d.get(it.ID)
		until := o.at + SpanMs - marginMs
		if l := a.had[from]; !(it.Part > 0) || it.Part > most || l.until > until {
			continue
		}
		a.had[from] = loan{it.Part, until}
	}
}

// held tells a limiter that has begun anew what is held here of its former life. Asks that it
// may still have answered are given up.
func (d *Desk) held(now float64, from int, m Message) Message {
	a := Message{Answer: true, Recall: true, Serial: m.Serial, Life: m.Life, Size: d.size}
	for s, o := range d.out {
		if o.to == from {
			delete(d.out, s)
		}
	}
	for _, id := range keys(d.accounts) {
		if l := d.accounts[id].had[from]; now < l.until {
			a.Items = append(a.Items, Item{id, l.part})
		}
	}
	return a
}

// recalled takes in what another holds of a former life.
func (d *Desk) recalled(now float64, from int, m Message) {
	o, ok := d.out[m.Serial]
	if !ok || m.Life != d.life || o.to != from || !d.unsure[from] {
		return
	}
	delete(d.out, m.Serial)
	for _, it := range m.Items {
		d.get(it.ID).lent[from] = loan{it.Part, now + SpanMs}
	}
	delete(d.unsure, from)
}

// Parts are what this limiter may use of each account now that is not an equal part, and of
// the rest; next is when one of them ends, or 0.
func (d *Desk) Parts(now float64) (of map[uint64]float64, rest, next float64) {
	if d.lapsed(now) {
		return map[uint64]float64{}, 0, 0
	}
	rest, next = d.share, d.until
	if d.young(now) {
		rest, next = (1-Lendable)*d.share, min(next, d.begun+SpanMs)
	}
	if math.IsInf(next, 1) {
		next = 0
	}
	of = map[uint64]float64{}
	for id, a := range d.accounts {
		if x := d.own(now, a) + d.borrowed(now, a); x != rest {
			of[id] = x
		}
		for _, l := range a.had {
			if next == 0 || l.until < next {
				next = l.until
			}
		}
		for _, l := range a.lent {
			if next == 0 || l.until < next {
				next = l.until
			}
		}
	}
	return of, rest, next
}

// Rate is the demand for an account here, in requests a second.
func (d *Desk) Rate(id uint64) float64 {
	if a := d.accounts[id]; a != nil {
		return a.rate
	}
	return 0
}
