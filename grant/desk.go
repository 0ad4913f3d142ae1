package grant

import (
	"container/list"
	"slices"
	"time"
)

// Bounds of a [LeaseManager].
const (
	// RepeatWindow is how long a repetition of an attempt that was granted without a lease is
	// recognized; maxRemembered bounds the number of remembered attempts and tokens.
	RepeatWindow  = 5 * time.Second
	maxRemembered = 100_000
	// maxQueuedLeases bounds the leases waiting to be reported to one limiter. Leases beyond
	// it are not reported and expire at their limiter.
	maxQueuedLeases = 4 * MaxNoticeLeases
	// MaxLease is the longest allowed lease. MaxClockSkew is the largest clock difference
	// between limiters at which a token of another limiter is still accepted.
	MaxLease     = 30 * time.Second
	MaxClockSkew = 30 * time.Second
)

// Attempt identifies one attempt of a proxy to obtain a grant; repetitions of it are equal.
type Attempt struct {
	Proxy, ID string
	Terms     Terms
}

// LeaseManager manages grants for one limiter: it recognizes repeated attempts, redeems tokens and
// exchanges notices of redeemed leases with other limiters. Like [Leases], it does no I/O and
// reads no clock: times are durations since a common start, and the validity of a token is
// passed as its remaining time.
type LeaseManager struct {
	position, limiters int
	table              *Leases
	remembered         map[any]*list.Element
	ageOrder           list.List // of rememberedEntry, oldest first
	pendingNotices     map[int][]ID
}

// rememberedEntry is a recently granted attempt, or a token of another limiter that was redeemed here.
type rememberedEntry struct {
	key       any // a Try or an ID
	token     string
	expiresAt time.Duration
}

// NewLeaseManager returns the manager of the limiter at the given position, for at most the given number of open leases.
func NewLeaseManager(position, limiters, leases int) *LeaseManager {
	return &LeaseManager{position: position, limiters: limiters, table: New(leases), remembered: map[any]*list.Element{}, pendingNotices: map[int][]ID{}}
}

// Leases returns the leases that this limiter has granted.
func (d *LeaseManager) Leases() *Leases { return d.table }

// FindRepeat reports whether an attempt was granted recently, and returns its token.
func (d *LeaseManager) FindRepeat(now time.Duration, t Attempt) (token string, repeated bool) {
	if entry := d.lookup(now, t); entry != nil {
		return entry.token, true
	}
	return "", false
}

// RecordGrant records a granted attempt, so that repetitions before until get the same answer.
func (d *LeaseManager) RecordGrant(now time.Duration, t Attempt, token string, until time.Duration) {
	d.remember(now, rememberedEntry{t, token, until})
}

// lookup returns the entry of a key, or nil if there is none or it has expired.
func (d *LeaseManager) lookup(now time.Duration, key any) *rememberedEntry {
	e := d.remembered[key]
	if e == nil {
		return nil
	}
	if entry := e.Value.(*rememberedEntry); now < entry.expiresAt {
		return entry
	}
	d.ageOrder.Remove(e) // not at the front of ageOrder, and about to be replaced
	delete(d.remembered, key)
	return nil
}

// remember adds an entry. It drops expired entries, and the oldest one if there are too many.
func (d *LeaseManager) remember(now time.Duration, entry rememberedEntry) {
	for e := d.ageOrder.Front(); e != nil; e = d.ageOrder.Front() {
		oldest := e.Value.(*rememberedEntry)
		if now < oldest.expiresAt && d.ageOrder.Len() < maxRemembered {
			break
		}
		d.ageOrder.Remove(e)
		delete(d.remembered, oldest.key)
	}
	d.remembered[entry.key] = d.ageOrder.PushBack(&entry)
}

// Redeem uses the token of a message that arrived at this limiter; left is the token's
// remaining validity. For a lease of this limiter it returns the leased units. A lease of
// another limiter is vouched for once: the message pays here, only the account's ceiling can
// reject it, and the other limiter is sent a notice. If it returns neither, the message is
// treated as one without a token.
func (d *LeaseManager) Redeem(now time.Duration, t Token, left time.Duration, terms Terms) (leased float64, vouched bool) {
	if !t.Terms.covers(terms) {
		return 0, false
	}
	if t.Limiter == d.position {
		l, err := d.table.Redeem(now, t.Lease, terms)
		if err != nil {
			return 0, false
		}
		return l.Units, false
	}
	if t.Limiter >= d.limiters || left <= 0 || left > MaxLease+MaxClockSkew || d.lookup(now, t.Lease) != nil {
		return 0, false
	}
	d.remember(now, rememberedEntry{key: t.Lease, expiresAt: now + left})
	if len(d.pendingNotices[t.Limiter]) < maxQueuedLeases {
		d.pendingNotices[t.Limiter] = append(d.pendingNotices[t.Limiter], t.Lease)
	}
	return 0, true
}

// SendNotices passes the pending notices to send, one datagram for each other limiter, in the order
// of their positions.
func (d *LeaseManager) SendNotices(send func(limiter int, data []byte)) {
	for to := range d.limiters {
		leases := d.pendingNotices[to]
		if len(leases) == 0 {
			continue
		}
		n := min(len(leases), MaxNoticeLeases)
		send(to, RedeemNotice{Leases: leases[:n]}.Encode())
		if d.pendingNotices[to] = slices.Clone(leases[n:]); len(leases) == n {
			delete(d.pendingNotices, to)
		}
	}
}

// Heard handles a notice from another limiter that messages of leases were redeemed there. It
// calls f for each lease that ends by it. Invalid data is ignored.
func (d *LeaseManager) Heard(now time.Duration, data []byte, f func(Terms)) {
	notice, _ := DecodeNotice(data)
	for _, id := range notice.Leases {
		if terms, err := d.table.End(now, id, Moved); err == nil {
			f(terms)
		}
	}
}
