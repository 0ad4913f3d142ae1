package agreement

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	databaseFile = "fleet.db"
	lockTimeout  = 200 * time.Millisecond
	// maxFilesSetAside is how many files that were set aside are kept for operators to inspect.
	maxFilesSetAside = 3
)

var (
	metaBucket        = []byte("meta")
	logBucket         = []byte("log")
	incarnationBucket = []byte("heard") // last known incarnation by member
	fenceBucket       = []byte("fence") // fencing epochs by duty
	selfKey           = []byte("self")
	hardStateKey      = []byte("hard")
	snapshotKey       = []byte("snapshot")
)

// self is the identity of a member as stored in its folder.
type self struct {
	Layout     int
	Fleet      uint64
	Generation uint64
	Member     uint64
	Start      uint64
	Name       string
}

// layoutVersion is the version of the database layout.
const layoutVersion = 1

// folder keeps a member's log, the last known incarnations of other members and the fencing epochs in one
// bbolt database.
type folder struct {
	dir  string
	db   *bbolt.DB
	self self
}

// openFolder opens the folder of the named limiter, or creates it, and increments its start counter.
func openFolder(dir, name string) (*folder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("fleet folder: %w", err)
	}
	opened := &folder{dir: dir}
	var err error
	opened.db, err = bbolt.Open(filepath.Join(dir, databaseFile), 0o600, &bbolt.Options{Timeout: lockTimeout, PreLoadFreelist: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("fleet folder %s: another process has it open: end that one first, or give each limiter a folder of its own", dir)
	}
	if err != nil {
		return nil, fmt.Errorf("fleet folder %s: %w", dir, err)
	}
	err = opened.update(func(tx *bbolt.Tx) error {
		for _, value := range [][]byte{metaBucket, logBucket, incarnationBucket, fenceBucket} {
			if _, err := tx.CreateBucketIfNotExists(value); err != nil {
				return err
			}
		}
		if value := tx.Bucket(metaBucket).Get(selfKey); value != nil {
			if err := json.Unmarshal(value, &opened.self); err != nil {
				return err
			}
			if opened.self.Layout != layoutVersion {
				return fmt.Errorf("its layout is %d, this program reads %d", opened.self.Layout, layoutVersion)
			}
			if opened.self.Name != name {
				return fmt.Errorf("it is limiter %q's, not %q's: give each limiter a folder of its own", opened.self.Name, name)
			}
		} else {
			opened.self = self{Layout: layoutVersion, Name: name, Member: rand.Uint64() | 1}
		}
		opened.self.Start++
		return opened.putSelf(tx)
	})
	if err != nil {
		opened.db.Close()
		return nil, fmt.Errorf("fleet folder %s: %w", dir, err)
	}
	return opened, nil
}

func (f *folder) putSelf(tx *bbolt.Tx) error {
	data, err := json.Marshal(f.self)
	if err != nil {
		return err
	}
	return tx.Bucket(metaBucket).Put(selfKey, data)
}

// update runs a write transaction, which is synced to disk when update returns.
func (f *folder) update(change func(tx *bbolt.Tx) error) error {
	if err := beforeSync(f.dir); err != nil {
		return err
	}
	err := f.db.Update(change)
	afterSync(f.dir)
	return err
}

func (f *folder) close() error { return f.db.Close() }

// joinFleet records which fleet this member belongs to.
func (f *folder) joinFleet(fleet, generation uint64) error {
	previous := f.self
	f.self.Fleet, f.self.Generation = fleet, generation
	err := f.update(f.putSelf)
	if err != nil {
		f.self = previous
	}
	return err
}

// initialize records the fleet and replaces the log by its initial state, in one transaction.
func (f *folder) initialize(fleet, generation uint64, hard *raftpb.HardState, snap *raftpb.Snapshot) error {
	previous := f.self
	f.self.Fleet, f.self.Generation = fleet, generation
	err := f.update(func(tx *bbolt.Tx) error {
		if err := f.putSelf(tx); err != nil {
			return err
		}
		return saveState(tx, hard, nil, snap)
	})
	if err != nil {
		f.self = previous
	}
	return err
}

// setAside renames the database, which is kept for operators to inspect, and opens an empty one: a new
// member under the same limiter name. The fencing epochs are carried over, so that older tokens stay
// rejected.
func (f *folder) setAside() (*folder, error) {
	fencingEpochs, err := f.fencingEpochs()
	if err != nil {
		return nil, err
	}
	name := f.self.Name
	if err := f.close(); err != nil {
		return nil, err
	}
	path := filepath.Join(f.dir, databaseFile)
	if err := os.Rename(path, fmt.Sprintf("%s.aside-%d", path, time.Now().UnixNano())); err != nil {
		return nil, fmt.Errorf("set the fleet folder aside: %w", err)
	}
	old, _ := filepath.Glob(path + ".aside-*") // sorted: oldest first
	for len(old) > maxFilesSetAside {
		os.Remove(old[0])
		old = old[1:]
	}
	fresh, err := openFolder(f.dir, name)
	if err != nil {
		return nil, err
	}
	for duty, epoch := range fencingEpochs {
		if err := fresh.raiseFencingEpoch(duty, epoch); err != nil {
			return nil, err
		}
	}
	return fresh, nil
}

// Load implements [Store].
func (f *folder) Load() (hard *raftpb.HardState, snap *raftpb.Snapshot, entries []*raftpb.Entry, err error) {
	hard, snap = &raftpb.HardState{}, &raftpb.Snapshot{}
	err = f.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if err := proto.Unmarshal(meta.Get(hardStateKey), hard); err != nil {
			return err
		}
		if err := proto.Unmarshal(meta.Get(snapshotKey), snap); err != nil {
			return err
		}
		return tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
			entry := &raftpb.Entry{}
			if err := proto.Unmarshal(v, entry); err != nil {
				return err
			}
			if entry.GetIndex() > snap.GetMetadata().GetIndex() || len(entries) > 0 {
				entries = append(entries, entry)
			}
			return nil
		})
	})
	if err != nil {
		err = fmt.Errorf("fleet folder %s: %w", f.dir, err)
	}
	return hard, snap, entries, err
}

// Save implements [Store].
func (f *folder) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	return f.update(func(tx *bbolt.Tx) error { return saveState(tx, hard, entries, snap) })
}

func saveState(tx *bbolt.Tx, hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if !raft.IsEmptySnap(snap) {
		if err := putMessage(meta, snapshotKey, snap); err != nil {
			return err
		}
		if err := deleteRange(log, 0, ^uint64(0)); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(hard) {
		if err := putMessage(meta, hardStateKey, hard); err != nil {
			return err
		}
	}
	if len(entries) > 0 {
		if err := deleteRange(log, entries[0].GetIndex(), ^uint64(0)); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := putMessage(log, binary.BigEndian.AppendUint64(nil, entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// Compact implements [Store].
func (f *folder) Compact(snap *raftpb.Snapshot, from uint64) error {
	return f.update(func(tx *bbolt.Tx) error {
		if err := putMessage(tx.Bucket(metaBucket), snapshotKey, snap); err != nil {
			return err
		}
		return deleteRange(tx.Bucket(logBucket), 0, from)
	})
}

func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, data)
}

// deleteRange deletes the entries with indexes from from up to, but not including, to.
func deleteRange(b *bbolt.Bucket, from, to uint64) error {
	cursor := b.Cursor()
	for k, _ := cursor.Seek(binary.BigEndian.AppendUint64(nil, from)); k != nil &&
		binary.BigEndian.Uint64(k) < to; k, _ = cursor.Seek(binary.BigEndian.AppendUint64(nil, from)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// lastIncarnation returns the last known incarnation of a member, also from before a restart of this
// process. It is zero if none is known.
func (f *folder) lastIncarnation(member uint64) (last incarnation) {
	f.db.View(func(tx *bbolt.Tx) error {
		if data := tx.Bucket(incarnationBucket).Get(binary.BigEndian.AppendUint64(nil, member)); len(data) == 16 {
			last = incarnation{binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])}
		}
		return nil
	})
	return last
}

func (f *folder) recordIncarnation(member uint64, seen incarnation) error {
	return f.update(func(tx *bbolt.Tx) error {
		data := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, seen.Start), seen.Mark)
		return tx.Bucket(incarnationBucket).Put(binary.BigEndian.AppendUint64(nil, member), data)
	})
}

// fencingEpochs returns the highest epoch of each duty that this limiter has seen as a receiver.
func (f *folder) fencingEpochs() (map[string]uint64, error) {
	epochs := map[string]uint64{}
	err := f.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(fenceBucket).ForEach(func(k, v []byte) error {
			if len(v) == 8 {
				epochs[string(k)] = binary.BigEndian.Uint64(v)
			}
			return nil
		})
	})
	return epochs, err
}

func (f *folder) raiseFencingEpoch(duty string, epoch uint64) error {
	return f.update(func(tx *bbolt.Tx) error {
		return tx.Bucket(fenceBucket).Put([]byte(duty), binary.BigEndian.AppendUint64(nil, epoch))
	})
}
