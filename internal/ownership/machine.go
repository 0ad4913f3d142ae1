// Package ownership carries out the duties of a fleet on one limiter: it has the fleet agree
// on who owns them, keeps this limiter's terms, refuses effects of former owners, and does
// what this limiter owns. What is decided stands in tenure and rollout.
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

// entry is one entry of the log; one field is set.
type entry struct {
	Term    *tenure.Command  `json:",omitempty"`
	Rollout *rollout.Command `json:",omitempty"`
	Parts   *parts.Command   `json:",omitempty"`
}

// machine is what the log's entries change.
type machine struct {
	limiters int  // of the fleet
	steward  bool // parts of ceilings may move: what the lost majority dealt is not known
	position int

	mu sync.Mutex
	state
	resets       uint64 // how often nothing was known any more
	shareChanges uint64 // of parts
}

type state struct {
	Terms    tenure.Registry
	Rollouts rollout.Book
	Parts    parts.Book
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
		return m.Rollouts.Apply(*e.Rollout, m.Terms.Current(rollout.Duty))
	case e.Parts != nil:
		m.shareChanges++
		return m.Parts.Apply(*e.Parts, m.Terms.Current(parts.Duty))
	}
	return nil // of a later build: it means nothing here
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

// beginAnew voids all tokens of before.
func (m *machine) startGeneration(generation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Terms.BeginAnew(generation)
	if m.steward || m.Parts.Limiters > 0 {
		m.Parts.BeginAnew(m.limiters)
		m.shareChanges++
	}
}

// parts tells how often nothing was known any more, how often parts have changed, and whether
// this limiter has one to confirm.
func (m *machine) shareStatus() (resets, changes uint64, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, due = m.Parts.Due(m.position)
	return m.resets, m.shareChanges, due
}

// look has the state looked at; it must not be kept.
func (m *machine) withState(f func(*state)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(&m.state)
}

// plan is a copy of the rollout under way, or nil.
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
