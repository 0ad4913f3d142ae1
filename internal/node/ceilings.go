package node

import "example.org/madderdrum/limiter"

// Demands returns the demand seen by this limiter for accounts with ceilings.
func (n *Node) Demands() []limiter.Demand {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Demands()
}

// UseShares sets how much of the ceilings this limiter may use from now on; see [limiter.Parts].
func (n *Node) UseShares(shares map[uint64]float64, rest float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handle(limiter.Parts{ByAccount: shares, Default: rest})
}
