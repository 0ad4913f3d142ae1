package node

import (
	"net/http"
	"time"

	"example.org/madderdrum/grant"
	"example.org/madderdrum/lifecycle"
	"example.org/madderdrum/limiter"
)

// Grants is what answers for leases: package forwardauth, where it is on.
type Grants interface {
	// Redeem takes a message's token and returns the units leased for it here, or tells
	// that another limiter has leased some.
	Redeem(token string, t grant.Terms) (leased float64, vouched bool)
	// Heard takes in another limiter's word on leases; it keeps no part of it.
	Heard(data []byte)
}

// grantHeader has the token in a message that was asked for.
const grantHeader = "X-Grant"

// askID names the one Ask that the module has at a time. No client's request has it:
// their ids are printable.
const askID = "\x00ask"

// asked is the answer to an Ask.
type pendingAsk struct {
	granted bool
	wait    time.Duration
}

// Attach has a front answer for leases. It must be called before Run.
func (n *Node) Attach(g Grants) { n.grants = g }

// Ask has the module answer for a request that this limiter does not carry. While the
// limiter stops, or knows no servers, the answer is no.
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

// Tiers returns the tiers of all pools as they are now.
func (n *Node) Tiers() []limiter.TierState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Tiers(n.now())
}

// Tell sends a datagram to another limiter, which may be lost.
func (n *Node) Tell(to int, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.peers != nil && !n.closed {
		n.peers.send(to, data)
	}
}

// redeem sees whether units were leased for a request here.
func (n *Node) redeemLease(hr *http.Request, ev *limiter.Submit) {
	if token := hr.Header.Get(grantHeader); token != "" {
		ev.Leased, ev.Vouched = n.grants.Redeem(token, grant.Terms{Account: ev.Customer, Plan: ev.Plan, Class: ev.Class, Units: ev.Units})
	}
}
