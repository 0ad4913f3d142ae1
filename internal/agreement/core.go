// Package agreement replicates one log among the limiters of a fleet with Raft: a few named limiters are
// voters, the rest are learners. The library go.etcd.io/raft implements the protocol; [Core] drives it
// without goroutines, sockets or a clock, and [Host] adds storage, connections and ticks.
package agreement

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Machine is the replicated state machine to which committed entries are applied on every limiter.
type Machine interface {
	// Apply applies an entry. An error is returned to the proposer; it must be the same on every limiter.
	Apply(data []byte) error
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot; nil stands for the initial, empty state.
	Restore(data []byte) error
}

// Store is the durable storage of a member's log. Data is synced to disk before a call returns.
type Store interface {
	// Load returns the stored hard state, the last snapshot and the entries after it.
	Load() (hard *raftpb.HardState, snap *raftpb.Snapshot, entries []*raftpb.Entry, err error)
	// Save appends entries and deletes any existing ones from the first new index on. A snapshot replaces
	// all stored entries.
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error
	// Compact stores a snapshot of the applied state and deletes the entries before index from.
	Compact(snap *raftpb.Snapshot, from uint64) error
}

const (
	electionTicks       = 5 // a follower starts an election after 5 to 9 ticks without a leader
	heartbeatTicks      = 1
	compactAfterEntries = 1024 // entries applied between two snapshots
	keepEntries         = 256  // entries kept before a snapshot, for followers that lag a little
	maxEntryBytes       = 64 << 10
)

// Kinds of entries, stored in their first byte.
const (
	machineEntry = 'm'
	rosterEntry  = 'r'
)

// Result is the outcome of an applied proposal; ID is the one it was proposed under.
type Result struct {
	ID  uint64
	Err error
}

// Core is one Raft member without I/O of its own except for its store: calls such as [Core.Step] feed it
// events, and [Core.Flush] returns messages to send. It is not safe for concurrent use.
type Core struct {
	id      uint64
	node    *raft.RawNode
	log     *raft.MemoryStorage
	store   Store
	machine Machine

	roster        Roster
	confState     *raftpb.ConfState
	hardState     *raftpb.HardState
	appliedIndex  uint64
	snapshotIndex uint64
	results       []Result
	readIndexes   map[string]uint64 // by mark of a confirmed read request: the index that must be applied first
	messages      []*raftpb.Message
}

// snapshot is the JSON content of a snapshot.
type snapshot struct {
	Roster  Roster
	Machine []byte
}

// OpenCore restores a member from its store. A member with an empty store is inactive until the store is
// given an initial state (see [Core.InitialState]) or a leader adds the member.
func OpenCore(id uint64, store Store, machine Machine, log *slog.Logger) (*Core, error) {
	core := &Core{id: id, store: store, machine: machine, log: raft.NewMemoryStorage(), readIndexes: map[string]uint64{}}
	hardState, stored, entries, err := store.Load()
	if err != nil {
		return nil, err
	}
	if err := machine.Restore(nil); err != nil {
		return nil, err
	}
	if !raft.IsEmptySnap(stored) {
		if err := core.log.ApplySnapshot(stored); err != nil {
			return nil, fmt.Errorf("the log's snapshot: %w", err)
		}
		if err := core.restore(stored); err != nil {
			return nil, err
		}
	}
	if !raft.IsEmptyHardState(hardState) {
		core.log.SetHardState(hardState)
		core.hardState = hardState
	}
	if err := core.log.Append(entries); err != nil {
		return nil, fmt.Errorf("the log's entries: %w", err)
	}
	return core, core.start(log)
}

func (c *Core) start(log *slog.Logger) (err error) {
	defer func() { // the library panics on an inconsistent log
		if r := recover(); r != nil {
			err = fmt.Errorf("the log is not sound: %v", r)
		}
	}()
	c.node, err = raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: c.log, Applied: c.appliedIndex,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 8 << 20, CheckQuorum: true, PreVote: true,
		StepDownOnRemoval: true, Logger: raftLogger{log}})
	return err
}

func (c *Core) restore(snap *raftpb.Snapshot) error {
	var state snapshot
	if err := json.Unmarshal(snap.GetData(), &state); err != nil {
		return fmt.Errorf("the log's snapshot: %w", err)
	}
	if err := c.machine.Restore(state.Machine); err != nil {
		return fmt.Errorf("the log's snapshot: %w", err)
	}
	c.roster, c.confState = state.Roster, snap.GetMetadata().GetConfState()
	c.appliedIndex, c.snapshotIndex = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	return nil
}

// newSnapshot returns a snapshot of the applied state.
func (c *Core) newSnapshot(index, term uint64, confState *raftpb.ConfState) (*raftpb.Snapshot, error) {
	machineState, err := c.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(snapshot{c.roster, machineState})
	if err != nil {
		return nil, err
	}
	return &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{
		ConfState: confState, Index: new(index), Term: new(term)}}, nil
}

// InitialState returns the hard state and snapshot to store for a fleet whose only voter is this member. The
// snapshot contains the applied state, and its term and index are higher than any in this member's log. The
// listed voters are added once they join.
func (c *Core) InitialState(name string, voters []string) (*raftpb.HardState, *raftpb.Snapshot, error) {
	term := max(1, c.hardState.GetTerm()+1)
	c.roster = Roster{Members: map[uint64]string{c.id: name}, Wanted: map[string]uint64{name: c.id}}
	for _, voter := range voters {
		if voter != name {
			c.roster.Wanted[voter] = 0
		}
	}
	confState := &raftpb.ConfState{Voters: []uint64{c.id}}
	last, _ := c.log.LastIndex()
	snap, err := c.newSnapshot(max(c.appliedIndex, last)+1, term, confState)
	return &raftpb.HardState{Term: new(term), Vote: new(uint64), Commit: new(snap.GetMetadata().GetIndex())}, snap, err
}

// Tick advances the logical clock by one tick.
func (c *Core) Tick() { c.node.Tick() }

// Campaign starts an election without waiting for the election timeout.
func (c *Core) Campaign() { c.node.Campaign() }

// Step processes a message from another member. A message that is invalid or not for this member is
// dropped with an error.
func (c *Core) Step(m *raftpb.Message) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("message %v from %x: %v", m.GetType(), m.GetFrom(), r)
		}
	}()
	if m.GetTo() != c.id || raft.IsLocalMsg(m.GetType()) {
		return fmt.Errorf("message %v to %x is not for member %x", m.GetType(), m.GetTo(), c.id)
	}
	return c.node.Step(m)
}

// errNoLeader is returned for a proposal that cannot be forwarded to a leader.
var errNoLeader = errors.New("no leader is known: there may be no majority")

// Propose proposes an entry, through the leader. [Core.Flush] returns a [Result] with this id once the entry
// is applied; a proposal may also be lost without any result.
func (c *Core) Propose(id uint64, data []byte) error { return c.propose(machineEntry, id, data) }

func (c *Core) propose(kind byte, id uint64, data []byte) error {
	if len(data) > maxEntryBytes {
		return fmt.Errorf("an entry of %d bytes: %d at most", len(data), maxEntryBytes)
	}
	header := binary.BigEndian.AppendUint64([]byte{kind}, id)
	if err := c.node.Propose(append(header, data...)); errors.Is(err, raft.ErrProposalDropped) {
		return errNoLeader
	} else if err != nil {
		return fmt.Errorf("propose: %w", err)
	}
	return nil
}

// ProposeRoster proposes a change of the wanted voters. Its result is reported like that of [Core.Propose].
func (c *Core) ProposeRoster(id uint64, request VoterRequest) error {
	data, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return c.propose(rosterEntry, id, data)
}

// ReadBarrier asks the leader for its commit index (Raft's read index). [Core.ReadDone] reports, for the same mark,
// when the log is applied here up to that index.
func (c *Core) ReadBarrier(mark string) { c.node.ReadIndex([]byte(mark)) }

// ReadDone reports whether all entries that were committed when [Core.ReadBarrier] was called with this mark are
// applied here. It returns true once for each mark.
func (c *Core) ReadDone(mark string) bool {
	index, ok := c.readIndexes[mark]
	if !ok || c.appliedIndex < index {
		return false
	}
	delete(c.readIndexes, mark)
	return true
}

// Change proposes a membership change, through the leader.
func (c *Core) Change(change Change) error {
	proposal := &raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransition_ConfChangeTransitionAuto.Enum()}
	for _, id := range change.Remove {
		proposal.Changes = append(proposal.Changes,
			&raftpb.ConfChangeSingle{Type: raftpb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: new(id)})
	}
	if change.ID != 0 {
		kind := raftpb.ConfChangeType_ConfChangeAddLearnerNode
		if change.Voter {
			kind = raftpb.ConfChangeType_ConfChangeAddNode
		}
		proposal.Changes = append(proposal.Changes, &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(change.ID)})
	}
	var err error
	if proposal.Context, err = json.Marshal(change); err != nil {
		return err
	}
	return c.node.ProposeConfChange(proposal)
}

// TransferLeader transfers the leadership to another voter.
func (c *Core) TransferLeader(to uint64) { c.node.TransferLeader(to) }

// MarkUnreachable tells the library that messages to a member could not be sent.
func (c *Core) MarkUnreachable(id uint64) { c.node.ReportUnreachable(id) }

// ReportSnapshotResult tells the library whether a snapshot was sent to a member.
func (c *Core) ReportSnapshotResult(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	c.node.ReportSnapshot(id, status)
}

// Flush saves new state, applies committed entries and returns the messages to send and the results of
// proposals. After an error the member must send nothing more: votes and acknowledgments that it has
// promised may not be on disk.
func (c *Core) Flush() (messages []*raftpb.Message, results []Result, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the log is not sound: %v", r)
		}
	}()
	for c.node.HasReady() {
		ready := c.node.Ready()
		if !raft.IsEmptySnap(ready.Snapshot) || len(ready.Entries) > 0 || !raft.IsEmptyHardState(ready.HardState) {
			if err := c.store.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
				return nil, nil, fmt.Errorf("save the log: %w", err)
			}
		}
		if !raft.IsEmptyHardState(ready.HardState) {
			c.hardState = ready.HardState
			c.log.SetHardState(ready.HardState)
		}
		if !raft.IsEmptySnap(ready.Snapshot) {
			if err := c.log.ApplySnapshot(ready.Snapshot); err != nil {
				return nil, nil, fmt.Errorf("take in a snapshot: %w", err)
			}
			if err := c.restore(ready.Snapshot); err != nil {
				return nil, nil, err
			}
		}
		if err := c.log.Append(ready.Entries); err != nil {
			return nil, nil, fmt.Errorf("add to the log: %w", err)
		}
		c.messages = append(c.messages, ready.Messages...)
		for _, r := range ready.ReadStates {
			c.readIndexes[string(r.RequestCtx)] = r.Index
		}
		for _, entry := range ready.CommittedEntries {
			c.applyEntry(entry)
		}
		c.node.Advance(ready)
	}
	if c.appliedIndex-c.snapshotIndex >= compactAfterEntries {
		if err := c.compact(); err != nil {
			return nil, nil, err
		}
	}
	for i, message := range c.messages {
		if message.GetType() != raftpb.MessageType_MsgSnap {
			continue
		}
		// The library sends the last stored snapshot. If its membership does not include the receiver,
		// the receiver drops it; so a snapshot of the current state is sent instead.
		term, err := c.log.Term(c.appliedIndex)
		if err != nil {
			return nil, nil, fmt.Errorf("send a snapshot: %w", err)
		}
		message = proto.Clone(message).(*raftpb.Message)
		if message.Snapshot, err = c.newSnapshot(c.appliedIndex, term, c.confState); err != nil {
			return nil, nil, fmt.Errorf("send a snapshot: %w", err)
		}
		c.messages[i] = message
	}
	messages, results = c.messages, c.results
	c.messages, c.results = nil, nil
	return messages, results, nil
}

// applyEntry applies a committed entry.
func (c *Core) applyEntry(entry *raftpb.Entry) {
	c.appliedIndex = entry.GetIndex()
	switch entry.GetType() {
	case raftpb.EntryType_EntryConfChange, raftpb.EntryType_EntryConfChangeV2:
		proposal := &raftpb.ConfChangeV2{}
		if entry.GetType() == raftpb.EntryType_EntryConfChange || proto.Unmarshal(entry.GetData(), proposal) != nil {
			return // not written by this program
		}
		c.confState = c.node.ApplyConfChange(proposal)
		var change Change
		if len(proposal.GetContext()) > 0 && json.Unmarshal(proposal.GetContext(), &change) == nil {
			c.roster.applyChange(change)
		}
		return
	}
	data := entry.GetData()
	if len(data) < 9 {
		return // the empty entry with which a new leader begins its term
	}
	id := binary.BigEndian.Uint64(data[1:])
	var err error
	switch data[0] {
	case machineEntry:
		err = c.machine.Apply(data[9:])
	case rosterEntry:
		var request VoterRequest
		if err = json.Unmarshal(data[9:], &request); err == nil {
			err = c.roster.applyVoterChange(request, c.confState)
		}
	}
	c.results = append(c.results, Result{id, err})
}

// compact stores a snapshot and deletes old entries.
func (c *Core) compact() error {
	term, err := c.log.Term(c.appliedIndex)
	if err != nil {
		return fmt.Errorf("compact the log: %w", err)
	}
	compacted, err := c.newSnapshot(c.appliedIndex, term, c.confState)
	if err != nil {
		return fmt.Errorf("compact the log: %w", err)
	}
	from := c.appliedIndex - keepEntries
	if err := c.store.Compact(compacted, from); err != nil {
		return fmt.Errorf("compact the log: %w", err)
	}
	if _, err := c.log.CreateSnapshot(c.appliedIndex, c.confState, compacted.GetData()); err != nil {
		return fmt.Errorf("compact the log: %w", err)
	}
	if err := c.log.Compact(from); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return fmt.Errorf("compact the log: %w", err)
	}
	c.snapshotIndex = c.appliedIndex
	return nil
}

// View is a member's current knowledge of the Raft group.
type View struct {
	ID, Leader uint64 // Leader: 0 if none is known
	Term       uint64
	Applied    uint64
	Voters     []uint64
	Learners   []uint64
	Changing   bool // a membership change is in progress
	Roster     Roster
	Match      map[uint64]uint64 // on the leader: the last log index known to be replicated, by member
}

// View returns a copy of the current state.
func (c *Core) View() View {
	status := c.node.Status()
	view := View{ID: c.id, Leader: status.Lead, Term: status.GetTerm(), Applied: c.appliedIndex, Roster: c.roster.clone()}
	view.Voters = append(view.Voters, c.confState.GetVoters()...)
	view.Learners = append(append(view.Learners, c.confState.GetLearners()...), c.confState.GetLearnersNext()...)
	view.Changing = len(c.confState.GetVotersOutgoing()) > 0
	if status.Lead == c.id {
		view.Match = map[uint64]uint64{}
		for id, p := range status.Progress {
			view.Match[id] = p.Match
		}
	}
	return view
}

// IsLeader reports whether this member considers itself the leader.
func (c *Core) IsLeader() bool { return c.node.BasicStatus().RaftState == raft.StateLeader }

// raftLogger writes the library's messages to the log. Warnings and informational messages are logged at
// debug level: this package logs what matters to operators.
type raftLogger struct{ log *slog.Logger }

func (l raftLogger) Debug(v ...any)              {}
func (l raftLogger) Debugf(f string, v ...any)   {}
func (l raftLogger) Info(v ...any)               { l.log.Debug("agreement: " + fmt.Sprint(v...)) }
func (l raftLogger) Infof(f string, v ...any)    { l.log.Debug("agreement: " + fmt.Sprintf(f, v...)) }
func (l raftLogger) Warning(v ...any)            { l.log.Debug("agreement: " + fmt.Sprint(v...)) }
func (l raftLogger) Warningf(f string, v ...any) { l.log.Debug("agreement: " + fmt.Sprintf(f, v...)) }
func (l raftLogger) Error(v ...any)              { l.log.Warn("agreement: " + fmt.Sprint(v...)) }
func (l raftLogger) Errorf(f string, v ...any)   { l.log.Warn("agreement: " + fmt.Sprintf(f, v...)) }
func (l raftLogger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l raftLogger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
