package node

import "example.org/madderdrum/limiter"

// Started returns a channel that is closed once the module has its first server list and the state passed to
// Recall.
func (n *Node) Started() <-chan struct{} { return n.started }

// Remember returns a snapshot of the state that the module has learnt.
func (n *Node) Remember() *limiter.Memory {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Remember(n.now())
}

// Reserve enables writing the module's accounts while it runs; see [limiter.Limiter.Reserve]. It must be called
// before Run.
func (n *Node) Reserve(headMs float64) { n.limiter.Reserve(headMs) }

// BeginWrite begins a write of the accounts.
func (n *Node) BeginWrite(all bool) (*limiter.Handover, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.BeginWrite(n.now(), all)
}

// Accounts returns the next accounts of a write. The mutex is released between calls.
func (n *Node) Accounts(limit int) (accounts []limiter.AccountMemory, more, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Accounts(n.now(), limit)
}

// Kept confirms that a write is stored durably.
func (n *Node) Kept(seq uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limiter.Kept(seq)
}

// Now returns the module's clock in ms.
func (n *Node) Now() float64 { return n.now() }

// HandOver returns the module's state, except for the accounts, which Leave returns. Run must have returned.
func (n *Node) HandOver() *limiter.Memory {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.HandOver(n.now())
}

// Leave returns the next accounts of a module that has handed over its state.
func (n *Node) Leave(limit int) (accounts []limiter.AccountMemory, more bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Leave(n.now(), limit)
}

// Recall sets the state of an earlier process that Run restores after the initial server list and before the
// first request. It must be called before Run.
func (n *Node) Recall(m *limiter.Memory) { n.initialMemory = m }
