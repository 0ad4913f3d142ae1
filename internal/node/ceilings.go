package node

import "example.org/madderdrum/limiter"

// Demands are what was asked for here of accounts with ceilings.
func (n *Node) Demands() []limiter.Demand {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Demands()
}

// Hold says how much of the ceilings this limiter may use from now on; see [limiter.Parts].
func (n *Node) Hold(of map[uint64]float64, rest float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handle(limiter.Parts{Of: of, Rest: rest})
}
