package node

import (
	"net/http"
	"time"

	"example.org/madderdrum/grant"
	"example.org/madderdrum/lifecycle"
	"example.org/madderdrum/limiter"
)

// Grants manages leases: package forwardauth, where it is configured.
type Grants interface {
	// Redeem consumes a message's token and returns the units leased for it here, or reports that another
	// limiter vouches for the lease.
	Redeem(token string, t grant.Terms) (leased float64, vouched bool)
	// Heard handles another limiter's message about leases; it retains no part of data.
	Heard(data []byte)
}

// grantHeader carries the token of a message that was granted before.
const grantHeader = "X-Grant"

// askID is the ID of the single Ask that the module handles at a time. It can't be a client's request ID: those
// are printable.
const askID = "\x00ask"

// pendingAsk is the module's decision on an Ask.
type pendingAsk struct {
	granted bool
	wait    time.Duration
}

// Attach sets the front end that manages leases. It must be called before Run.
func (n *Node) Attach(g Grants) { n.grants = g }

// Ask has the module decide on a request that this limiter does not forward. It is refused while the limiter is
// stopping or knows no servers.
func (n *Node) Ask(a limiter.Ask) (granted bool, wait time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.life.Phase() == lifecycle.Stopping {
		return false, time.Second
	}
	a.ID = askID
	n.pendingAsk = &pendingAsk{}
	n.handle(a)
	answer := n.pendingAsk
	n.pendingAsk = nil
	return answer.granted, answer.wait
}

// Settle ends a lease.
func (n *Node) Settle(s limiter.Settle) {
	if s.Units > 0 {
		n.dispatch(s)
	}
}

// Tiers returns the current state of the tiers of all pools.
func (n *Node) Tiers() []limiter.TierState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Tiers(n.now())
}

// Tell sends a datagram to another limiter; it may be lost.
func (n *Node) Tell(to int, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.peers != nil && !n.closed {
		n.peers.send(to, data)
	}
}

// redeemLease finds out whether units were already leased for a request.
func (n *Node) redeemLease(hr *http.Request, ev *limiter.Submit) {
	if token := hr.Header.Get(grantHeader); token != "" {
		ev.Leased, ev.QuotaChecked = n.grants.Redeem(token, grant.Terms{Account: ev.Account,
			Plan: ev.Plan, Class: ev.Class, Units: ev.Units})
	}
}
