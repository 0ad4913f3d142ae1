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
	fileName = "fleet.db"
	lockWait = 200 * time.Millisecond
	// keptAside is how many folders' files that were set aside are left for operators to see.
	keptAside = 3
)

var (
	metaBucket  = []byte("meta")
	logBucket   = []byte("log")
	heardBucket = []byte("heard") // by member
	fenceBucket = []byte("fence") // epochs by duty
	selfKey     = []byte("self")
	hardKey     = []byte("hard")
	snapKey     = []byte("snapshot")
)

// self is who a member is, as its folder says.
type self struct {
	Layout     int
	Fleet      uint64
	Generation uint64
	Member     uint64
	Start      uint64
	Name       string
}

// layout is the version of the file.
const layout = 1

// folder keeps a member's log and what it remembers of others, in one file.
type folder struct {
	dir  string
	db   *bbolt.DB
	self self
}

// openFolder opens or makes it, for a limiter, and counts the start.
func openFolder(dir, name string) (*folder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("fleet folder: %w", err)
	}
	f := &folder{dir: dir}
	var err error
	f.db, err = bbolt.Open(filepath.Join(dir, fileName), 0o600, &bbolt.Options{Timeout: lockWait, PreLoadFreelist: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("fleet folder %s: another process has it open: end that one first, or give each limiter a folder of its own", dir)
	}
	if err != nil {
		return nil, fmt.Errorf("fleet folder %s: %w", dir, err)
	}
	err = f.update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{metaBucket, logBucket, heardBucket, fenceBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		if b := tx.Bucket(metaBucket).Get(selfKey); b != nil {
			if err := json.Unmarshal(b, &f.self); err != nil {
				return err
			}
			if f.self.Layout != layout {
				return fmt.Errorf("its layout is %d, this program reads %d", f.self.Layout, layout)
			}
			if f.self.Name != name {
				return fmt.Errorf("it is limiter %q's, not %q's: give each limiter a folder of its own", f.self.Name, name)
			}
		} else {
			f.self = self{Layout: layout, Name: name, Member: rand.Uint64() | 1}
		}
		f.self.Start++
		return f.putSelf(tx)
	})
	if err != nil {
		f.db.Close()
		return nil, fmt.Errorf("fleet folder %s: %w", dir, err)
	}
	return f, nil
}

func (f *folder) putSelf(tx *bbolt.Tx) error {
	b, err := json.Marshal(f.self)
	if err != nil {
		return err
	}
	return tx.Bucket(metaBucket).Put(selfKey, b)
}

// update writes; what was written is on the disk when it returns.
func (f *folder) update(do func(tx *bbolt.Tx) error) error {
	if err := beforeSync(f.dir); err != nil {
		return err
	}
	err := f.db.Update(do)
	afterSync(f.dir)
	return err
}

func (f *folder) close() error { return f.db.Close() }

// join notes which fleet this member is in.
func (f *folder) join(fleet, generation uint64) error {
	was := f.self
	f.self.Fleet, f.self.Generation = fleet, generation
	err := f.update(f.putSelf)
	if err != nil {
		f.self = was
	}
	return err
}

// begin makes this member's log that of a fleet, in one write.
func (f *folder) begin(fleet, generation uint64, hard *raftpb.HardState, snap *raftpb.Snapshot) error {
	was := f.self
	f.self.Fleet, f.self.Generation = fleet, generation
	err := f.update(func(tx *bbolt.Tx) error {
		if err := f.putSelf(tx); err != nil {
			return err
		}
		return save(tx, hard, nil, snap)
	})
	if err != nil {
		f.self = was
	}
	return err
}

// setAside puts the file away, for operators to see, and begins with an empty one: another
// member under the same limiter's name. What receivers have seen of tokens stays.
func (f *folder) setAside() (*folder, error) {
	fence, err := f.fence()
	if err != nil {
		return nil, err
	}
	name := f.self.Name
	if err := f.close(); err != nil {
		return nil, err
	}
	path := filepath.Join(f.dir, fileName)
	if err := os.Rename(path, fmt.Sprintf("%s.aside-%d", path, time.Now().UnixNano())); err != nil {
		return nil, fmt.Errorf("set the fleet folder aside: %w", err)
	}
	old, _ := filepath.Glob(path + ".aside-*") // sorted: oldest first
	for len(old) > keptAside {
		os.Remove(old[0])
		old = old[1:]
	}
	g, err := openFolder(f.dir, name)
	if err != nil {
		return nil, err
	}
	for duty, epoch := range fence {
		if err := g.raise(duty, epoch); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// Load implements [Store].
func (f *folder) Load() (hard *raftpb.HardState, snap *raftpb.Snapshot, entries []*raftpb.Entry, err error) {
	hard, snap = &raftpb.HardState{}, &raftpb.Snapshot{}
	err = f.db.View(func(tx *bbolt.Tx) error {
		m := tx.Bucket(metaBucket)
		if err := proto.Unmarshal(m.Get(hardKey), hard); err != nil {
			return err
		}
		if err := proto.Unmarshal(m.Get(snapKey), snap); err != nil {
			return err
		}
		return tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(v, e); err != nil {
				return err
			}
			if e.GetIndex() > snap.GetMetadata().GetIndex() || len(entries) > 0 {
				entries = append(entries, e)
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
	return f.update(func(tx *bbolt.Tx) error { return save(tx, hard, entries, snap) })
}

func save(tx *bbolt.Tx, hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if !raft.IsEmptySnap(snap) {
		if err := put(meta, snapKey, snap); err != nil {
			return err
		}
		if err := cut(log, 0, ^uint64(0)); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(hard) {
		if err := put(meta, hardKey, hard); err != nil {
			return err
		}
	}
	if len(entries) > 0 {
		if err := cut(log, entries[0].GetIndex(), ^uint64(0)); err != nil {
			return err
		}
	}
	for _, e := range entries {
		if err := put(log, binary.BigEndian.AppendUint64(nil, e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// Compact implements [Store].
func (f *folder) Compact(snap *raftpb.Snapshot, from uint64) error {
	return f.update(func(tx *bbolt.Tx) error {
		if err := put(tx.Bucket(metaBucket), snapKey, snap); err != nil {
			return err
		}
		return cut(tx.Bucket(logBucket), 0, from)
	})
}

func put(b *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, data)
}

// cut takes the entries of a range out, the last excluded.
func cut(b *bbolt.Bucket, from, to uint64) error {
	c := b.Cursor()
	for k, _ := c.Seek(binary.BigEndian.AppendUint64(nil, from)); k != nil && binary.BigEndian.Uint64(k) < to; k, _ = c.Seek(binary.BigEndian.AppendUint64(nil, from)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// heardOf is what was heard of a member, in this process or before it.
func (f *folder) heardOf(member uint64) (h heard) {
	f.db.View(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(heardBucket).Get(binary.BigEndian.AppendUint64(nil, member)); len(b) == 16 {
			h = heard{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])}
		}
		return nil
	})
	return h
}

func (f *folder) note(member uint64, h heard) error {
	return f.update(func(tx *bbolt.Tx) error {
		b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, h.Start), h.Mark)
		return tx.Bucket(heardBucket).Put(binary.BigEndian.AppendUint64(nil, member), b)
	})
}

// fence are the highest epochs seen by this limiter as a receiver.
func (f *folder) fence() (map[string]uint64, error) {
	all := map[string]uint64{}
	err := f.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(fenceBucket).ForEach(func(k, v []byte) error {
			if len(v) == 8 {
				all[string(k)] = binary.BigEndian.Uint64(v)
			}
			return nil
		})
	})
	return all, err
}

func (f *folder) raise(duty string, epoch uint64) error {
	return f.update(func(tx *bbolt.Tx) error {
		return tx.Bucket(fenceBucket).Put([]byte(duty), binary.BigEndian.AppendUint64(nil, epoch))
	})
}
