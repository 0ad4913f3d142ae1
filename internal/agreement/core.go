// Package agreement has limiters of a fleet agree on one log: a few named ones vote, the
// rest learn it. The library go.etcd.io/raft decides; [Core] drives it without goroutines,
// sockets or a clock, [Host] gives it a disk, connections and ticks.
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

// Machine is what the log's entries change, the same on all limiters.
type Machine interface {
	// Apply carries out an entry; an error is the answer to whoever proposed it, and has
	// to be the same everywhere.
	Apply(data []byte) error
	// Snapshot is all that Apply has brought about, Restore puts it in place; of nil, nothing.
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Store keeps a member's log. What a call has been given is on the disk when it returns.
type Store interface {
	Load() (hard *raftpb.HardState, snap *raftpb.Snapshot, entries []*raftpb.Entry, err error)
	// Save adds entries, replacing those of the same index and all behind. A snapshot
	// replaces all entries.
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error
	// Compact keeps a snapshot of what was applied, and entries from one index on.
	Compact(snap *raftpb.Snapshot, from uint64) error
}

const (
	electionTicks  = 5 // followers wait for 5 to 9 without hearing the leader
	heartbeatTicks = 1
	compactEvery   = 1024 // entries applied between two snapshots
	compactKeep    = 256  // entries kept before one, for followers that are a little behind
	maxEntry       = 64 << 10
)

// kinds of entries; the first byte.
const (
	forMachine = 'm'
	forRoster  = 'r'
)

// Result is what became of a proposal of this process.
type Result struct {
	ID  uint64
	Err error
}

// Core is one member's part in the agreement: events go in, messages to others come out of
// [Core.Flush]. It is not safe for concurrent use.
type Core struct {
	id      uint64
	raw     *raft.RawNode
	log     *raft.MemoryStorage
	store   Store
	machine Machine

	roster  Roster
	conf    *raftpb.ConfState
	hard    *raftpb.HardState
	applied uint64
	snapped uint64
	results []Result
	reads   map[string]uint64 // read requests answered, by their mark: what must be applied first
	out     []*raftpb.Message
}

// snapshot is the layout of a snapshot's data.
type snapshot struct {
	Roster  Roster
	Machine []byte
}

// OpenCore goes on from what a store has; one that is empty takes part in nothing until it
// is [Core.Begin]ned or a leader adds it.
func OpenCore(id uint64, store Store, machine Machine, log *slog.Logger) (*Core, error) {
	c := &Core{id: id, store: store, machine: machine, log: raft.NewMemoryStorage(), reads: map[string]uint64{}}
	hard, snap, entries, err := store.Load()
	if err != nil {
		return nil, err
	}
	if err := machine.Restore(nil); err != nil {
		return nil, err
	}
	if !raft.IsEmptySnap(snap) {
		if err := c.log.ApplySnapshot(snap); err != nil {
			return nil, fmt.Errorf("the log's snapshot: %w", err)
		}
		if err := c.restore(snap); err != nil {
			return nil, err
		}
	}
	if !raft.IsEmptyHardState(hard) {
		c.log.SetHardState(hard)
		c.hard = hard
	}
	if err := c.log.Append(entries); err != nil {
		return nil, fmt.Errorf("the log's entries: %w", err)
	}
	return c, c.start(log)
}

func (c *Core) start(log *slog.Logger) (err error) {
	defer func() { // the library panics on a log that contradicts itself
		if r := recover(); r != nil {
			err = fmt.Errorf("the log is not sound: %v", r)
		}
	}()
	c.raw, err = raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.log, Applied: c.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 8 << 20, CheckQuorum: true, PreVote: true,
		StepDownOnRemoval: true, Logger: library{log}})
	return err
}

func (c *Core) restore(snap *raftpb.Snapshot) error {
	var s snapshot
	if err := json.Unmarshal(snap.GetData(), &s); err != nil {
		return fmt.Errorf("the log's snapshot: %w", err)
	}
	if err := c.machine.Restore(s.Machine); err != nil {
		return fmt.Errorf("the log's snapshot: %w", err)
	}
	c.roster, c.conf = s.Roster, snap.GetMetadata().GetConfState()
	c.applied, c.snapped = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	return nil
}

// snapshotNow is a snapshot of what is applied.
func (c *Core) snapshotNow(index, term uint64, conf *raftpb.ConfState) (*raftpb.Snapshot, error) {
	m, err := c.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(snapshot{c.roster, m})
	if err != nil {
		return nil, err
	}
	return &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: new(index), Term: new(term)}}, nil
}

// First is the state of a fleet of one voter that begins, or begins anew from what it had.
func (c *Core) First(name string, voters []string) (*raftpb.HardState, *raftpb.Snapshot, error) {
	term := max(1, c.hard.GetTerm()+1)
	c.roster = Roster{Members: map[uint64]string{c.id: name}, Wanted: map[string]uint64{name: c.id}}
	for _, v := range voters {
		if v != name {
			c.roster.Wanted[v] = 0
		}
	}
	conf := &raftpb.ConfState{Voters: []uint64{c.id}}
	last, _ := c.log.LastIndex()
	snap, err := c.snapshotNow(max(c.applied, last)+1, term, conf)
	return &raftpb.HardState{Term: new(term), Vote: new(uint64), Commit: new(snap.GetMetadata().GetIndex())}, snap, err
}

// Tick goes on by one tick.
func (c *Core) Tick() { c.raw.Tick() }

// Campaign has it stand for election at once.
func (c *Core) Campaign() { c.raw.Campaign() }

// Step takes in a message of another member. A message that can't be is dropped.
func (c *Core) Step(m *raftpb.Message) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("message %v from %x: %v", m.GetType(), m.GetFrom(), r)
		}
	}()
	if m.GetTo() != c.id || raft.IsLocalMsg(m.GetType()) {
		return fmt.Errorf("message %v for %x is none for %x", m.GetType(), m.GetTo(), c.id)
	}
	return c.raw.Step(m)
}

// errNoLeader is why a proposal was not taken on.
var errNoLeader = errors.New("no leader is known: there may be no majority")

// Propose puts an entry to the leader; Results tells, under id, what became of it. It may
// be lost without a word.
func (c *Core) Propose(id uint64, data []byte) error { return c.propose(forMachine, id, data) }

func (c *Core) propose(kind byte, id uint64, data []byte) error {
	if len(data) > maxEntry {
		return fmt.Errorf("an entry of %d bytes: %d at most", len(data), maxEntry)
	}
	b := binary.BigEndian.AppendUint64([]byte{kind}, id)
	if err := c.raw.Propose(append(b, data...)); errors.Is(err, raft.ErrProposalDropped) {
		return errNoLeader
	} else if err != nil {
		return fmt.Errorf("propose: %w", err)
	}
	return nil
}

// ProposeRoster puts a wish about voters to the leader.
func (c *Core) ProposeRoster(id uint64, w Wish) error {
	data, err := json.Marshal(w)
	if err != nil {
		return err
	}
	return c.propose(forRoster, id, data)
}

// Read asks the leader up to where the log is agreed on; [Core.ReadDone] tells when that is
// applied here, under the same mark.
func (c *Core) Read(mark string) { c.raw.ReadIndex([]byte(mark)) }

// ReadDone tells whether all that was agreed on when Read was called is applied here.
func (c *Core) ReadDone(mark string) bool {
	i, ok := c.reads[mark]
	if !ok || c.applied < i {
		return false
	}
	delete(c.reads, mark)
	return true
}

// Change has the leader change the members.
func (c *Core) Change(x Change) error {
	cc := &raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransition_ConfChangeTransitionAuto.Enum()}
	for _, id := range x.Remove {
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: new(id)})
	}
	if x.ID != 0 {
		t := raftpb.ConfChangeType_ConfChangeAddLearnerNode
		if x.Voter {
			t = raftpb.ConfChangeType_ConfChangeAddNode
		}
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: new(x.ID)})
	}
	var err error
	if cc.Context, err = json.Marshal(x); err != nil {
		return err
	}
	return c.raw.ProposeConfChange(cc)
}

// TransferLeader has the leader hand over to another voter.
func (c *Core) TransferLeader(to uint64) { c.raw.TransferLeader(to) }

// Unreachable says that messages to a member could not be sent.
func (c *Core) Unreachable(id uint64) { c.raw.ReportUnreachable(id) }

// SnapshotSent says what became of a snapshot to a member.
func (c *Core) SnapshotSent(id uint64, ok bool) {
	s := raft.SnapshotFinish
	if !ok {
		s = raft.SnapshotFailure
	}
	c.raw.ReportSnapshot(id, s)
}

// Flush carries out what has become due: it saves, applies what is agreed on and returns the
// messages to send, and what became of proposals. After an error nothing more may be said:
// what was promised may not be on the disk.
func (c *Core) Flush() (out []*raftpb.Message, results []Result, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the log is not sound: %v", r)
		}
	}()
	for c.raw.HasReady() {
		rd := c.raw.Ready()
		if !raft.IsEmptySnap(rd.Snapshot) || len(rd.Entries) > 0 || !raft.IsEmptyHardState(rd.HardState) {
			if err := c.store.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
				return nil, nil, fmt.Errorf("save the log: %w", err)
			}
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			c.hard = rd.HardState
			c.log.SetHardState(rd.HardState)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := c.log.ApplySnapshot(rd.Snapshot); err != nil {
				return nil, nil, fmt.Errorf("take in a snapshot: %w", err)
			}
			if err := c.restore(rd.Snapshot); err != nil {
				return nil, nil, err
			}
		}
		if err := c.log.Append(rd.Entries); err != nil {
			return nil, nil, fmt.Errorf("add to the log: %w", err)
		}
		c.out = append(c.out, rd.Messages...)
		for _, r := range rd.ReadStates {
			c.reads[string(r.RequestCtx)] = r.Index
		}
		for _, e := range rd.CommittedEntries {
			c.apply(e)
		}
		c.raw.Advance(rd)
	}
	if c.applied-c.snapped >= compactEvery {
		if err := c.compact(); err != nil {
			return nil, nil, err
		}
	}
	for i, m := range c.out {
		if m.GetType() != raftpb.MessageType_MsgSnap {
			continue
		}
		// The library sends the last snapshot kept. Its members may lack the one that it
		// goes to, which would drop it: the state of now goes in its place.
		term, err := c.log.Term(c.applied)
		if err != nil {
			return nil, nil, fmt.Errorf("send a snapshot: %w", err)
		}
		m = proto.Clone(m).(*raftpb.Message)
		if m.Snapshot, err = c.snapshotNow(c.applied, term, c.conf); err != nil {
			return nil, nil, fmt.Errorf("send a snapshot: %w", err)
		}
		c.out[i] = m
	}
	out, results = c.out, c.results
	c.out, c.results = nil, nil
	return out, results, nil
}

// apply carries out an entry that is agreed on.
func (c *Core) apply(e *raftpb.Entry) {
	c.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryType_EntryConfChange, raftpb.EntryType_EntryConfChangeV2:
		cc := &raftpb.ConfChangeV2{}
		if e.GetType() == raftpb.EntryType_EntryConfChange || proto.Unmarshal(e.GetData(), cc) != nil {
			return // none of ours
		}
		c.conf = c.raw.ApplyConfChange(cc)
		var x Change
		if len(cc.GetContext()) > 0 && json.Unmarshal(cc.GetContext(), &x) == nil {
			c.roster.changed(x)
		}
		return
	}
	data := e.GetData()
	if len(data) < 9 {
		return // a new leader's first
	}
	id := binary.BigEndian.Uint64(data[1:])
	var err error
	switch data[0] {
	case forMachine:
		err = c.machine.Apply(data[9:])
	case forRoster:
		var w Wish
		if err = json.Unmarshal(data[9:], &w); err == nil {
			err = c.roster.wish(w, c.conf)
		}
	}
	c.results = append(c.results, Result{id, err})
}

// compact keeps a snapshot in place of old entries.
func (c *Core) compact() error {
	term, err := c.log.Term(c.applied)
	if err != nil {
		return fmt.Errorf("compact the log: %w", err)
	}
	snap, err := c.snapshotNow(c.applied, term, c.conf)
	if err != nil {
		return fmt.Errorf("compact the log: %w", err)
	}
	from := c.applied - compactKeep
	if err := c.store.Compact(snap, from); err != nil {
		return fmt.Errorf("compact the log: %w", err)
	}
	if _, err := c.log.CreateSnapshot(c.applied, c.conf, snap.GetData()); err != nil {
		return fmt.Errorf("compact the log: %w", err)
	}
	if err := c.log.Compact(from); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return fmt.Errorf("compact the log: %w", err)
	}
	c.snapped = c.applied
	return nil
}

// View is what a member knows of the agreement.
type View struct {
	ID, Leader uint64 // Leader: 0 if none is known
	Term       uint64
	Applied    uint64
	Voters     []uint64
	Learners   []uint64
	Changing   bool // a change of members is under way
	Roster     Roster
	Match      map[uint64]uint64 // on the leader: up to where each member has the log
}

// View returns it.
func (c *Core) View() View {
	s := c.raw.Status()
	v := View{ID: c.id, Leader: s.Lead, Term: s.GetTerm(), Applied: c.applied, Roster: c.roster.clone()}
	v.Voters = append(v.Voters, c.conf.GetVoters()...)
	v.Learners = append(append(v.Learners, c.conf.GetLearners()...), c.conf.GetLearnersNext()...)
	v.Changing = len(c.conf.GetVotersOutgoing()) > 0
	if s.Lead == c.id {
		v.Match = map[uint64]uint64{}
		for id, p := range s.Progress {
			v.Match[id] = p.Match
		}
	}
	return v
}

// Leads tells whether this member is the leader, as far as it knows.
func (c *Core) Leads() bool { return c.raw.BasicStatus().RaftState == raft.StateLeader }

// library has the library's lines come into the log at debug: what matters to operators is
// told by this package.
type library struct{ log *slog.Logger }

func (l library) Debug(v ...any)              {}
func (l library) Debugf(f string, v ...any)   {}
func (l library) Info(v ...any)               { l.log.Debug("agreement: " + fmt.Sprint(v...)) }
func (l library) Infof(f string, v ...any)    { l.log.Debug("agreement: " + fmt.Sprintf(f, v...)) }
func (l library) Warning(v ...any)            { l.log.Debug("agreement: " + fmt.Sprint(v...)) }
func (l library) Warningf(f string, v ...any) { l.log.Debug("agreement: " + fmt.Sprintf(f, v...)) }
func (l library) Error(v ...any)              { l.log.Warn("agreement: " + fmt.Sprint(v...)) }
func (l library) Errorf(f string, v ...any)   { l.log.Warn("agreement: " + fmt.Sprintf(f, v...)) }
func (l library) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l library) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l library) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l library) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
