package node

import "example.org/madderdrum/limiter"

// Begun is closed once the module has its first list of servers and what was recalled.
func (n *Node) Begun() <-chan struct{} { return n.started }

// Remember returns what the module has learnt by now.
func (n *Node) Remember() *limiter.Memory {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Remember(n.now())
}

// Reserve has the module's accounts told while it runs; see [limiter.Limiter.Reserve]. It must
// be called before Run.
func (n *Node) Reserve(headMs float64) { n.limiter.Reserve(headMs) }

// BeginWrite begins telling the accounts.
func (n *Node) BeginWrite(all bool) (*limiter.Handover, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.BeginWrite(n.now(), all)
}

// Accounts tells the next ones. The module is free between two calls.
func (n *Node) Accounts(most int) (told []limiter.AccountMemory, more, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Accounts(n.now(), most)
}

// Kept says that a write is on the disk.
func (n *Node) Kept(seq uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limiter.Kept(seq)
}

// Now is the module's clock, in ms.
func (n *Node) Now() float64 { return n.now() }

// HandOver returns what the module held, but for the accounts, which Leave tells. Run must
// have returned.
func (n *Node) HandOver() *limiter.Memory {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.HandOver(n.now())
}

// Leave tells the next accounts of a module that has handed over.
func (n *Node) Leave(most int) (told []limiter.AccountMemory, more bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Leave(n.now(), most)
}

// Recall has Run begin with what a limiter before this one has learnt, behind the list of
// servers that is known and before the first request. It must be called before Run.
func (n *Node) Recall(m *limiter.Memory) { n.initialMemory = m }
