// Package quotaloan lets limiters lend each other parts of tenants' ceilings for a limited time. Loans
// expire without a message. Each limiter holds an equal part of a ceiling as escrow; a limiter that
// receives more of a tenant's requests than its part admits asks one that has some to spare.
//
// The sum of all parts never exceeds the ceiling, even if messages are lost, late or duplicated, or
// limiters restart. A lender gives up a part before it answers the ask, and reclaims it a fixed time after
// it received the last ask; the borrower counts the same time, less a margin, from when it sent the ask.
// No limiter lends more than half of its own part. A limiter that has just restarted may have lent before,
// so it uses half of its part until all possible borrowers have reported what they still hold of it, or
// until any such loan must have expired.
//
// A limiter's own part is valid under a lease (see package places). After the lease has expired it uses
// neither its own nor borrowed parts, and it makes no loans that would outlast the lease.
//
// Parts are multiples of an equal part: one slot's share of the ceiling, with the same number of slots for
// all limiters.
//
// [Ledger] does no I/O and reads no clock: times are passed in, monotonic and in milliseconds. The clocks
// of different limiters need not agree, but must run at the same rate. It is not safe for concurrent use.
package quotaloan

import (
	"cmp"
	"math"
	"slices"
)

const (
	// LoanMs is the duration of a loan, from its latest ask.
	LoanMs = 6000.0
	// clockMarginMs is how much earlier a borrower gives up a loan: clock rates differ by less than one
	// percent.
	clockMarginMs = 200.0
	// LendableShare is the share of its own part that a limiter may lend.
	LendableShare = 0.5
	renewAfterMs  = 2500.0 // a loan that is still needed is renewed after this time
	rateWindowMs  = 4000.0 // time constant of the average demand

	// A part must leave headroom above the average demand for bursts: arrivals are random, so the number in
	// one second varies by its square root.
	rateHeadroom  = 1.35
	minRate       = 0.05 // requests per second
	burstHeadroom = 2.0  // in square roots of the requests per second
	minBurst      = 2.5  // requests
	minAskPart    = 0.1  // of an equal part
)

// Account is one tenant's ceiling as this limiter sees it.
type Account struct {
	ID       uint64
	Rate     float64 // requests per second of an equal part
	Burst    float64 // requests that an equal part holds at most
	Requests float64 // received here since the process started
}

// AccountPart is a part of one account's ceiling, as a multiple of an equal part.
type AccountPart struct {
	ID   uint64  `cbor:"1,keyasint"`
	Part float64 `cbor:"2,keyasint"`
}

// Message is an ask for a loan, a recall after a restart, or the answer to one of them.
type Message struct {
	Answer   bool          `cbor:"1,keyasint,omitempty"`
	Recall   bool          `cbor:"5,keyasint,omitempty"` // the receiver is to report what it holds of the sender's part
	Serial   uint64        `cbor:"2,keyasint"`           // of the ask or recall
	Instance uint64        `cbor:"3,keyasint"`           // process instance of the limiter that sent the ask or recall
	Items    []AccountPart `cbor:"4,keyasint"`
	Slots    int           `cbor:"6,keyasint,omitempty"` // slots by which the sender counts parts; 0: as the receiver
}

// Envelope is a message with the slot of its recipient.
type Envelope struct {
	To      int
	Message Message
}

type loan struct {
	part  float64
	until float64
}

type account struct {
	Account
	demandRate float64      // average demand, requests per second
	at         float64      // last update
	lent       map[int]loan // by borrower
	borrowed   map[int]loan // by lender
}

type pendingAsk struct {
	to int
	at float64 // when it was sent
}

// Ledger tracks the parts that one limiter lends and borrows.
type Ledger struct {
	self, slots int
	instance    uint64
	started     float64
	serial      uint64
	accounts    map[uint64]*account
	asks        map[uint64]pendingAsk // asks without an answer, by serial
	peers       []int                 // limiters to ask, nearest first
	share       float64               // this limiter's own part
	until       float64               // when this limiter's lease expires
	leaving     bool                  // the limiter shuts down and no longer lends
	debtors     map[int]bool          // peers that may hold a loan from before a restart of this limiter
	round       int                   // rotates the asks among the peers
}

// New returns the ledger of the limiter in slot self, with the given number of slots in total. peers
// are the limiters that it may ask, nearest first. instance identifies the limiter's process.
func New(now float64, self, slots int, peers []int, instance uint64) *Ledger {
	d := &Ledger{self: self, slots: slots, instance: instance, started: now, peers: peers, share: 1, until: math.Inf(1),
		accounts: map[uint64]*account{}, asks: map[uint64]pendingAsk{}, debtors: map[int]bool{}}
	for _, k := range peers {
		d.debtors[k] = true
	}
	return d
}

// SkipRecall records that no earlier process of this limiter can have lent anything.
func (d *Ledger) SkipRecall() { clear(d.debtors) }

// SetShare sets this limiter's own part, and when its lease expires.
func (d *Ledger) SetShare(share, until float64) {
	d.share, d.until = max(0, share), until
	if d.share > 0 {
		return
	}
	clear(d.asks) // a loan granted to an earlier ask would come too late
	for _, a := range d.accounts {
		clear(a.borrowed)
	}
}

// StopLending stops all further loans, before the limiter shuts down.
func (d *Ledger) StopLending() { d.leaving = true }

// Resize changes the number of slots by which parts are counted. The limiter may have moved to another
// slot and have other peers.
func (d *Ledger) Resize(self, slots int, peers []int) {
	scale := float64(slots) / float64(d.slots)
	for _, a := range d.accounts {
		for _, loans := range []map[int]loan{a.lent, a.borrowed} {
			for k, l := range loans {
				l.part *= scale
				loans[k] = l
			}
		}
	}
	d.self, d.slots, d.peers = self, slots, peers
	d.share *= scale
}

// LoansEndIn returns the time in milliseconds until no other limiter uses any loan beyond this limiter's
// own part; 0 if the loans fit into that part.
func (d *Ledger) LoansEndIn(now float64) (ms float64) {
	if d.recalling(now) {
		return d.started + LoanMs - now
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

// leaseLapsed reports whether this limiter may use nothing, because it has no part of its own or its lease
// has expired.
func (d *Ledger) leaseLapsed(now float64) bool { return d.share <= 0 || now >= d.until }

func (d *Ledger) accountOf(id uint64) *account {
	a := d.accounts[id]
	if a == nil {
		a = &account{Account: Account{ID: id}, lent: map[int]loan{}, borrowed: map[int]loan{}}
		d.accounts[id] = a
	}
	return a
}

// recalling reports whether loans from before a restart may still be in use.
func (d *Ledger) recalling(now float64) bool { return len(d.debtors) > 0 && now < d.started+LoanMs }

// ownPart returns what remains to this limiter of its own part of an account, without loans.
func (d *Ledger) ownPart(now float64, a *account) float64 {
	limit := d.share
	if d.recalling(now) {
		limit *= 1 - LendableShare
	}
	lent := 0.0
	for to, l := range a.lent {
		if now >= l.until {
			delete(a.lent, to)
			continue
		}
		lent += l.part
	}
	if d.leaseLapsed(now) {
		return 0
	}
	return max(0, min(limit, d.share-lent))
}

func (d *Ledger) borrowedPart(now float64, a *account) (sum float64) {
	for from, l := range a.borrowed {
		if now >= l.until {
			delete(a.borrowed, from)
			continue
		}
		sum += l.part
	}
	if d.leaseLapsed(now) {
		return 0
	}
	return sum
}

// neededPart returns the part that the demand at this limiter requires.
func (a *account) neededPart() float64 {
	if a.demandRate < minRate || a.Rate <= 0 || a.Burst <= 0 {
		return 0
	}
	return max(rateHeadroom*a.demandRate/a.Rate, (minBurst+burstHeadroom*math.Sqrt(a.demandRate))/a.Burst)
}

// UpdateDemand records the demand for accounts and returns the messages to send: recalls after a restart,
// or asks for loans.
func (d *Ledger) UpdateDemand(now float64, updates []Account) []Envelope {
	for _, x := range updates {
		a := d.accountOf(x.ID)
		if a.at > 0 && now > a.at && x.Requests >= a.Requests {
			weight := 1 - math.Exp(-(now-a.at)/rateWindowMs)
			a.demandRate += weight * ((x.Requests-a.Requests)/(now-a.at)*1000 - a.demandRate)
		}
		a.Account, a.at = x, now
	}
	for s, ask := range d.asks {
		if now-ask.at > LoanMs {
			delete(d.asks, s)
		}
	}
	var asks []Envelope
	if d.recalling(now) {
		for _, to := range sortedKeys(d.debtors) {
			d.serial++
			d.asks[d.serial] = pendingAsk{to, now}
			asks = append(asks, Envelope{to, Message{Recall: true, Serial: d.serial, Instance: d.instance, Slots: d.slots}})
		}
		return asks
	}
	if len(d.peers) == 0 || d.leaseLapsed(now) {
		return nil
	}
	itemsByPeer := map[int][]AccountPart{}
	ids := make([]uint64, 0, len(d.accounts))
	for id := range d.accounts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		a := d.accounts[id]
		// Loans that are still needed are renewed in time. Asks for more rotate among the peers.
		have := d.ownPart(now, a) + d.borrowedPart(now, a)
		need := a.neededPart() - d.ownPart(now, a)
		for _, from := range sortedKeys(a.borrowed) {
			l := a.borrowed[from]
			if need <= minAskPart/2 {
				break
			}
			if x := min(l.part, need); l.until-now < LoanMs-clockMarginMs-renewAfterMs {
				itemsByPeer[from] = append(itemsByPeer[from], AccountPart{id, x})
			}
			need -= l.part
		}
		if missing := a.neededPart() - have; missing > minAskPart {
			to := d.peers[d.round%len(d.peers)]
			itemsByPeer[to] = append(itemsByPeer[to], AccountPart{id, missing + a.borrowed[to].part})
		}
	}
	d.round++
	for _, to := range sortedKeys(itemsByPeer) {
		d.serial++
		d.asks[d.serial] = pendingAsk{to, now}
		asks = append(asks, Envelope{to, Message{Serial: d.serial, Instance: d.instance, Items: itemsByPeer[to], Slots: d.slots}})
	}
	return asks
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	all := make([]K, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// Receive processes a message and returns the answer, if any.
func (d *Ledger) Receive(now float64, from int, m Message) (Envelope, bool) {
	if from < 0 || from >= d.slots || from == d.self || m.Slots < 0 {
		return Envelope{}, false
	}
	m.Items = d.rescaleItems(m)
	switch {
	case m.Answer && m.Recall:
		d.receiveRecall(now, from, m)
		return Envelope{}, false
	case m.Answer:
		d.borrowed(now, from, m)
		return Envelope{}, false
	case m.Recall:
		return Envelope{from, d.answerRecall(now, from, m)}, true
	}
	answer := Message{Answer: true, Serial: m.Serial, Instance: m.Instance, Slots: d.slots}
	for _, it := range m.Items {
		if part := d.lend(now, from, it); part > 0 {
			answer.Items = append(answer.Items, AccountPart{it.ID, part})
		}
	}
	return Envelope{from, answer}, len(answer.Items) > 0
}

// rescaleItems returns a message's items, converted to this limiter's number of slots.
func (d *Ledger) rescaleItems(m Message) []AccountPart {
	if m.Slots == 0 || m.Slots == d.slots {
		return m.Items
	}
	items := make([]AccountPart, len(m.Items))
	for i, it := range m.Items {
		items[i] = AccountPart{it.ID, it.Part * float64(d.slots) / float64(m.Slots)}
	}
	return items
}

// lend lends a part to a borrower and returns how much the borrower may use. An existing loan is not
// reduced before it expires, because the borrower may be using it.
func (d *Ledger) lend(now float64, to int, it AccountPart) float64 {
	if !(it.Part > 0) || d.recalling(now) || d.leaving || d.leaseLapsed(now) || now+LoanMs > d.until {
		return 0
	}
	a := d.accountOf(it.ID)
	own := d.ownPart(now, a)
	existing := min(a.lent[to].part, d.share)
	spare := own - max((1-LendableShare)*d.share, a.neededPart()) // beyond the existing loan
	amount := max(existing, min(it.Part, existing+max(0, spare)))
	if amount <= 0 {
		return 0
	}
	a.lent[to] = loan{amount, now + LoanMs}
	return amount
}

// borrowed records the loans in a lender's answer.
func (d *Ledger) borrowed(now float64, from int, m Message) {
	ask, ok := d.asks[m.Serial]
	if !ok || m.Instance != d.instance || ask.to != from {
		return
	}
	delete(d.asks, m.Serial)
	// At least one other limiter has an equal part like the lender.
	maxPart := LendableShare * max(1, float64(d.slots)/2)
	for _, it := range m.Items {
		a := d.accountOf(it.ID)
		until := ask.at + LoanMs - clockMarginMs
		if l := a.borrowed[from]; !(it.Part > 0) || it.Part > maxPart || l.until > until {
			continue
		}
		a.borrowed[from] = loan{it.Part, until}
	}
}

// answerRecall tells a limiter that has restarted which of its loans are still held here. Asks that it may
// have answered before the restart are abandoned.
func (d *Ledger) answerRecall(now float64, from int, m Message) Message {
	answer := Message{Answer: true, Recall: true, Serial: m.Serial, Instance: m.Instance, Slots: d.slots}
	for serial, ask := range d.asks {
		if ask.to == from {
			delete(d.asks, serial)
		}
	}
	for _, id := range sortedKeys(d.accounts) {
		if l := d.accounts[id].borrowed[from]; now < l.until {
			answer.Items = append(answer.Items, AccountPart{id, l.part})
		}
	}
	return answer
}

// receiveRecall records which loans from before a restart another limiter still holds.
func (d *Ledger) receiveRecall(now float64, from int, m Message) {
	ask, ok := d.asks[m.Serial]
	if !ok || m.Instance != d.instance || ask.to != from || !d.debtors[from] {
		return
	}
	delete(d.asks, m.Serial)
	for _, it := range m.Items {
		d.accountOf(it.ID).lent[from] = loan{it.Part, now + LoanMs}
	}
	delete(d.debtors, from)
}

// Parts returns the parts of accounts that this limiter may use now, as far as they differ from the part
// of all other accounts, which is rest. next is when any of them expires; 0: never.
func (d *Ledger) Parts(now float64) (byAccount map[uint64]float64, rest, next float64) {
	if d.leaseLapsed(now) {
		return map[uint64]float64{}, 0, 0
	}
	rest, next = d.share, d.until
	if d.recalling(now) {
		rest, next = (1-LendableShare)*d.share, min(next, d.started+LoanMs)
	}
	if math.IsInf(next, 1) {
		next = 0
	}
	byAccount = map[uint64]float64{}
	for id, a := range d.accounts {
		if part := d.ownPart(now, a) + d.borrowedPart(now, a); part != rest {
			byAccount[id] = part
		}
		for _, l := range a.borrowed {
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
	return byAccount, rest, next
}

// Rate returns the average demand for an account at this limiter, in requests per second.
func (d *Ledger) Rate(id uint64) float64 {
	if a := d.accounts[id]; a != nil {
		return a.demandRate
	}
	return 0
}
