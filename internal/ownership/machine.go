// Package ownership runs the duties of a fleet on one limiter: it lets the fleet agree on their owners,
// maintains this limiter's terms of ownership, rejects actions of former owners, and performs the
// duties that this limiter owns. The decisions are made in packages tenure, rollout, parts and watch.
package ownership

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"example.org/madderdrum/parts"
	"example.org/madderdrum/rollout"
	"example.org/madderdrum/tenure"
)

// entry is one command in the replicated log. Exactly one field is set.
type entry struct {
	Term    *tenure.Command  `json:",omitempty"`
	Rollout *rollout.Command `json:",omitempty"`
	Parts   *parts.Command   `json:",omitempty"`
}

// machine is the replicated state machine that log entries are applied to.
type machine struct {
	limiters int  // number in the fleet
	steward  bool // shares of ceilings may differ, so after the loss of a majority they are unknown
	position int

	mu sync.Mutex // guards the fields below
	state
	resets       uint64 // how often the state was cleared
	shareChanges uint64 // how often shares of ceilings may have changed
}

// state is the replicated state, as snapshots hold it.
type state struct {
	Terms    tenure.Registry
	Rollouts rollout.History
	Parts    parts.Ledger
}

// Apply implements agreement.Machine.
func (m *machine) Apply(data []byte) error {
	var e entry
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("an entry that can't be read: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case e.Term != nil:
		return m.Terms.Apply(*e.Term)
	case e.Rollout != nil:
		return m.Rollouts.Apply(*e.Rollout, m.Terms.CurrentEpoch(rollout.Duty))
	case e.Parts != nil:
		m.shareChanges++
		return m.Parts.Apply(*e.Parts, m.Terms.CurrentEpoch(parts.Duty))
	}
	return nil // ignore entries of later versions
}

// Snapshot implements agreement.Machine.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.state)
}

// Restore implements agreement.Machine.
func (m *machine) Restore(data []byte) error {
	var s state
	if data != nil {
		if err := json.Unmarshal(data, &s); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.shareChanges++
	if data == nil {
		m.resets++
	}
	return nil
}

// startGeneration invalidates all earlier tokens, and the agreed shares of ceilings.
func (m *machine) startGeneration(generation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Terms.Reset(generation)
	if m.steward || m.Parts.Limiters > 0 {
		m.Parts.Reset(m.limiters)
		m.shareChanges++
	}
}

// shareStatus returns how often the state was cleared, how often shares of ceilings may have changed, and
// whether this limiter has a reduced share to confirm.
func (m *machine) shareStatus() (resets, changes uint64, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, due = m.Parts.PendingConfirm(m.position)
	return m.resets, m.shareChanges, due
}

// withState calls f with the state under the lock. f must not keep a reference to it.
func (m *machine) withState(f func(*state)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(&m.state)
}

// currentRollout returns a copy of the current rollout's plan, or nil.
func (m *machine) currentRollout() *rollout.Plan {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.Rollouts.Current()
	if p == nil {
		return nil
	}
	q := *p
	q.Steps = slices.Clone(p.Steps)
	return &q
}
