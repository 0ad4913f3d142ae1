package durable

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// simulatedDisk is a disk that may lose what was not synced: the unsynced writes of each file and the
// unsynced changes of the folder. It can also be full, or fail at a given operation.
type simulatedDisk struct {
	files   map[string]*inode // the folder as the running system sees it
	durable map[string]*inode // the folder as it was last synced
	changes []change          // unsynced changes, each of which may survive or not
	count   uint64
	ops     int // operations done so far
	fullAt  int // writes from this operation on are partial and fail; 0: never
	failAt  int // operation before which the power fails; -1: never
}

type inode struct {
	number  uint64
	data    []byte
	synced  int    // synced bytes of data
	emptied bool   // truncated since the last sync
	before  []byte // synced data before the truncation
}

// change is one change of the folder: the name now refers to another file, or with nil to none.
type change struct {
	name string
	to   *inode
	from string // old name, for a rename
}

var errPowerFailure = errors.New("the power has failed")

func newSimulated() *simulatedDisk {
	return &simulatedDisk{files: map[string]*inode{}, durable: map[string]*inode{}, failAt: -1}
}

func (s *simulatedDisk) op() error {
	if s.ops == s.failAt {
		return errPowerFailure
	}
	s.ops++
	return nil
}

type simulatedFile struct {
	s     *simulatedDisk
	n     *inode
	at    int
	write bool
}

func (s *simulatedDisk) MkdirAll(string) error          { return nil }
func (s *simulatedDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (s *simulatedDisk) Open(path string) (diskFile, error) {
	n := s.files[filepath.Base(path)]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &simulatedFile{s: s, n: n}, nil
}

func (s *simulatedDisk) Create(path string, fresh bool) (diskFile, error) {
	if err := s.op(); err != nil {
		return nil, err
	}
	name := filepath.Base(path)
	n := s.files[name]
	switch {
	case n != nil && fresh:
		return nil, fs.ErrExist
	case n != nil:
		n.before, n.emptied, n.data, n.synced = n.data[:n.synced], true, nil, 0
	default:
		s.count++
		n = &inode{number: s.count}
		s.files[name] = n
		s.changes = append(s.changes, change{name: name, to: n})
	}
	return &simulatedFile{s: s, n: n, write: true}, nil
}

func (s *simulatedDisk) OpenAppend(path string) (diskFile, error) {
	n := s.files[filepath.Base(path)]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &simulatedFile{s: s, n: n, write: true}, nil
}

func (s *simulatedDisk) Rename(from, to string) error {
	if err := s.op(); err != nil {
		return err
	}
	from, to = filepath.Base(from), filepath.Base(to)
	s.files[to] = s.files[from]
	delete(s.files, from)
	s.changes = append(s.changes, change{name: to, to: s.files[to], from: from})
	return nil
}

func (s *simulatedDisk) Remove(path string) error {
	name := filepath.Base(path)
	if s.files[name] == nil {
		return fs.ErrNotExist
	}
	if err := s.op(); err != nil {
		return err
	}
	delete(s.files, name)
	s.changes = append(s.changes, change{name: name})
	return nil
}

func (s *simulatedDisk) List(string) (names []string, err error) {
	for name := range s.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (s *simulatedDisk) SyncDir(string) error {
	if err := s.op(); err != nil {
		return err
	}
	s.durable, s.changes = map[string]*inode{}, nil
	for name, n := range s.files {
		s.durable[name] = n
	}
	return nil
}

func (f *simulatedFile) Read(b []byte) (int, error) {
	if f.at >= len(f.n.data) {
		return 0, io.EOF
	}
	n := copy(b, f.n.data[f.at:])
	f.at += n
	return n, nil
}

func (f *simulatedFile) Write(b []byte) (int, error) {
	if err := f.s.op(); err != nil {
		return 0, err
	}
	if f.s.fullAt > 0 && f.s.ops >= f.s.fullAt {
		f.n.data = append(f.n.data, b[:len(b)/2]...)
		return len(b) / 2, errors.New("no space left on device")
	}
	f.n.data = append(f.n.data, b...)
	return len(b), nil
}

func (f *simulatedFile) Sync() error {
	if err := f.s.op(); err != nil {
		return err
	}
	f.n.synced, f.n.emptied, f.n.before = len(f.n.data), false, nil
	return nil
}

func (f *simulatedFile) Close() error           { return nil }
func (f *simulatedFile) Inode() (uint64, error) { return f.n.number, nil }

// copyOf returns a copy of a disk that has no unsynced changes.
func copyOf(s *simulatedDisk) *simulatedDisk {
	d := newSimulated()
	d.count = s.count
	for name, n := range s.files {
		x := *n
		d.files[name], d.durable[name] = &x, &x
	}
	return d
}

// afterPowerFailure calls check with each disk that a power failure at this moment may leave: with any
// subset of the folder's unsynced changes, and with the unsynced data of each file lost, replaced by
// zeroes, or cut after any number of bytes. It returns the number of disks.
func (s *simulatedDisk) afterPowerFailure(check func(what string, d *simulatedDisk)) (tried int) {
	for subset := range 1 << len(s.changes) {
		names := map[string]*inode{}
		for name, n := range s.durable {
			names[name] = n
		}
		for i, c := range s.changes {
			if subset>>i&1 == 0 {
				continue
			}
			if c.from != "" {
				delete(names, c.from)
			}
			if names[c.name] = c.to; c.to == nil {
				delete(names, c.name)
			}
		}
		most := 0
		for _, n := range names {
			most = max(most, len(n.data)-n.synced)
		}
		for cut := -2; cut <= most; cut++ { // -2: the data before a truncation, -1: zeroes
			d := newSimulated()
			d.count = s.count + 100
			for name, n := range names {
				x := &inode{number: n.number}
				switch {
				case cut == -2 && n.emptied:
					x.data = slices.Clone(n.before)
				case cut == -2:
					x.data = slices.Clone(n.data[:n.synced])
				case cut == -1: // the new length survives, the data does not
					x.data = append(slices.Clone(n.data[:n.synced]), make([]byte, len(n.data)-n.synced)...)
				default:
					x.data = slices.Clone(n.data[:min(len(n.data), n.synced+cut)])
				}
				x.synced = len(x.data)
				d.files[name], d.durable[name] = x, x
			}
			tried++
			check(fmt.Sprintf("changes %b of %d, cut %d", subset, len(s.changes), cut), d)
		}
	}
	return tried
}

// writeNumbers acts as a process that stores each number in two records. It sets reported to the last number
// that was reported to be on the disk.
func writeNumbers(f *Folder, from, to int, reported *int) error {
	for n := from; n <= to; n++ {
		var err error
		if n%5 == 1 || n == from {
			err = f.Snapshot(func(put func(Record) error) error {
				return errors.Join(put(newRecord(1, fmt.Sprint(n))), put(newRecord(2, fmt.Sprint(n))), put(newRecord(3, strings.Repeat("x", 40))))
			})
		} else {
			err = f.Append([]Record{newRecord(1, fmt.Sprint(n)), newRecord(2, fmt.Sprint(n))})
		}
		if err != nil {
			return err
		}
		*reported = n
	}
	return nil
}

// The power fails before each operation of a long run, and any part of the unsynced data survives, cut at each
// byte. What is recovered is the state reported to be on the disk, or that plus a prefix of the write in
// progress, and never anything older. The same holds for a second failure during recovery.
func TestPulledPlug(t *testing.T) {
	const last = 17
	now := &clock{"boot-1", time.Hour, time.Unix(1e9, 0)}
	options := func(d *simulatedDisk) Options {
		o := now.options("n0")
		o.disk = d
		return o
	}
	recoverFrom := func(what string, d *simulatedDisk) (one, two int, r *Recovered, f *Folder) {
		t.Helper()
		f, r, err := Open("x", options(d))
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		s := latestValues(r.Records)
		if s["1/1"] != "" {
			fmt.Sscan(s["1/1"], &one)
			fmt.Sscan(s["1/2"], &two)
		}
		return one, two, r, f
	}
	tried, points := 0, 0
	for plug := 0; ; plug++ {
		d, reported := newSimulated(), 0
		d.failAt = plug
		f, _, err := Open("x", options(d))
		if err != nil {
			t.Fatal(err)
		}
		if err := writeNumbers(f, 1, last, &reported); err == nil {
			break
		} else if !errors.Is(err, errPowerFailure) {
			t.Fatal(err)
		}
		points++
		tried += d.afterPowerFailure(func(what string, after *simulatedDisk) {
			what = fmt.Sprintf("failure before operation %d, %s, reported %d", plug, what, reported)
			one, two, r, _ := recoverFrom(what, after)
			if one < reported || one > reported+1 || two > one || two < one-1 || two < reported || (one == 0) == r.Found && reported > 0 {
				t.Fatalf("%s: recovered %d and %d, %v", what, one, two, r.Notes)
			}
		})
		if plug%7 > 0 {
			continue
		}
		// The next process also loses power, before each of its first operations.
		d.afterPowerFailure(func(what string, first *simulatedDisk) {
			if len(what)%3 > 0 { // test a third of them
				return
			}
			for again := range 12 {
				d := copyOf(first)
				d.failAt = again
				one, two, _, _ := recoverFrom(what, copyOf(first))
				reported := min(one, two)
				f, _, err := Open("x", options(d))
				if err == nil {
					err = writeNumbers(f, 100, 102, &reported)
				}
				if err == nil {
					break
				}
				tried += d.afterPowerFailure(func(more string, after *simulatedDisk) {
					one, _, r, _ := recoverFrom(more, after)
					if one < reported && one < 100 {
						t.Fatalf("%s, then failure before operation %d, %s: reported %d, recovered %d, %v", what, again, more, reported, one, r.Notes)
					}
				})
			}
		})
	}
	t.Logf("%d disks after failures at %d operations", tried, points)
	if points < 60 || tried < 5000 {
		t.Errorf("only %d disks after failures at %d operations", tried, points)
	}
}

// On a full disk the written state stays valid, and a snapshot succeeds on a retry once there is room. A
// log with a partial write accepts no more records.
func TestDiskFull(t *testing.T) {
	now := &clock{"boot-1", time.Hour, time.Unix(1e9, 0)}
	d := newSimulated()
	o := now.options("n0")
	o.disk = d
	f, _ := open(t, "x", o)
	reported := 0
	if err := writeNumbers(f, 1, 3, &reported); err != nil {
		t.Fatal(err)
	}
	d.fullAt = d.ops
	if err := f.Append([]Record{newRecord(1, "4")}); err == nil {
		t.Fatal("Append succeeded on a full disk")
	}
	d.fullAt = 0
	if err := f.Append([]Record{newRecord(1, "5")}); err == nil {
		t.Fatal("Append succeeded after a partial write")
	}
	d.fullAt = d.ops
	for range 3 {
		if err := writeNumbers(f, 6, 6, &reported); err == nil {
			t.Fatal("Snapshot succeeded on a full disk")
		}
	}
	reader, r := open(t, "x", o)
	if got := latestValues(r.Records)["1/1"]; got != "3" || r.Intact {
		t.Errorf("recovered %s from a full disk, intact %v", got, r.Intact)
	}
	reader.lock.Close()
	d.fullAt = 0
	if err := writeNumbers(f, 7, 8, &reported); err != nil {
		t.Fatal(err)
	}
	if _, r = open(t, "x", o); latestValues(r.Records)["1/1"] != "8" || !r.Intact {
		t.Errorf("recovered %v, intact %v", latestValues(r.Records), r.Intact)
	}
	o.MaxBytes = 200
	f, _ = open(t, "x", o)
	if err := writeNumbers(f, 9, 9, &reported); err != nil {
		t.Fatal(err)
	}
	var err error
	for range 5 {
		err = f.Append([]Record{newRecord(1, strings.Repeat("y", 30))})
	}
	if !errors.Is(err, ErrTooLarge) {
		t.Errorf("log over its size limit: %v", err)
	}
	if err := f.Snapshot(func(put func(Record) error) error { return put(newRecord(1, strings.Repeat("y", 300))) }); !errors.Is(err, ErrTooLarge) {
		t.Errorf("snapshot over its size limit: %v", err)
	}
}
