package node

import "example.org/madderdrum/limiter"

// Remember returns what the module has learnt by now.
func (n *Node) Remember() *limiter.Memory {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Remember(n.now())
}

// HandOver returns all that the module held. Run must have returned.
func (n *Node) HandOver() *limiter.Memory {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.HandOver(n.now())
}

// Recall has the module go on from what one before it has learnt, behind the first list of
// servers. It must be called before Run.
func (n *Node) Recall(m *limiter.Memory) { n.recalled = m }
