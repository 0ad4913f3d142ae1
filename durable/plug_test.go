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

// simulated is a disk that loses what was not synced. Each file has what is on the disk for
// certain and the writes that may be there or not; the folder likewise has its changes.
type simulatedDisk struct {
	files   map[string]*inode // as the running system sees the folder
	durable map[string]*inode // as it is on the disk for certain
	changes []change          // since then, each of which may be there or not
	count   uint64
	ops     int // done so far
	fullAt  int // from this operation on writes fail, having written a part; 0: never
	failAt  int // the operation before which the power fails; -1: never
}

type inode struct {
	number  uint64
	data    []byte
	synced  int  // of data
	emptied bool // it was truncated since it was synced
	before  []byte
}

// change is one of the folder: a name that is another file now, or nil and gone.
type change struct {
	name string
	to   *inode
	from string // of a rename
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

// copyOf is a disk with nothing unsynced once more.
func copyOf(s *simulatedDisk) *simulatedDisk {
	d := newSimulated()
	d.count = s.count
	for name, n := range s.files {
		x := *n
		d.files[name], d.durable[name] = &x, &x
	}
	return d
}

// after calls a function with each disk that there may be after a power failure now: any of
// the folder's changes there or not, and of each file's last writes none, all, all but zeroes,
// or so much as the cut says. It returns how many there were.
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
		for cut := -2; cut <= most; cut++ { // -2: the writes of before a truncation, -1: zeroes
			d := newSimulated()
			d.count = s.count + 100
			for name, n := range names {
				x := &inode{number: n.number}
				switch {
				case cut == -2 && n.emptied:
					x.data = slices.Clone(n.before)
				case cut == -2:
					x.data = slices.Clone(n.data[:n.synced])
				case cut == -1: // the length is there, the data is not
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

// life is a process that remembers numbers, each in two records; said is what it was told is
// on the disk, and doing what it was just writing.
func writeNumbers(f *Folder, from, to int, said *int) error {
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
		*said = n
	}
	return nil
}

// The power fails before each operation of a long run, with every part of what was not synced
// there or not, cut at each byte: what is found is what was said to be on the disk, or a part
// of what was being written in its order, and never anything older. A second failure while the
// first is recovered from is no different.
func TestPulledPlug(t *testing.T) {
	const last = 17
	now := &clock{"boot-1", time.Hour, time.Unix(1e9, 0)}
	options := func(d *simulatedDisk) Options {
		o := now.options("n0")
		o.disk = d
		return o
	}
	found := func(what string, d *simulatedDisk) (one, two int, r *Recovered, f *Folder) {
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
		d, said := newSimulated(), 0
		d.failAt = plug
		f, _, err := Open("x", options(d))
		if err != nil {
			t.Fatal(err)
		}
		if err := writeNumbers(f, 1, last, &said); err == nil {
			break
		} else if !errors.Is(err, errPowerFailure) {
			t.Fatal(err)
		}
		points++
		tried += d.afterPowerFailure(func(what string, after *simulatedDisk) {
			what = fmt.Sprintf("before operation %d, %s, said %d", plug, what, said)
			one, two, r, _ := found(what, after)
			if one < said || one > said+1 || two > one || two < one-1 || two < said || (one == 0) == r.Found && said > 0 {
				t.Fatalf("%s: found %d and %d, %v", what, one, two, r.Notes)
			}
		})
		if plug%7 > 0 {
			continue
		}
		// The next life is cut off too, at each of its operations.
		d.afterPowerFailure(func(what string, first *simulatedDisk) {
			if len(what)%3 > 0 { // a third of them
				return
			}
			for again := range 12 {
				d := copyOf(first)
				d.failAt = again
				one, two, _, _ := found(what, copyOf(first))
				said := min(one, two)
				f, _, err := Open("x", options(d))
				if err == nil {
					err = writeNumbers(f, 100, 102, &said)
				}
				if err == nil {
					break
				}
				tried += d.afterPowerFailure(func(more string, after *simulatedDisk) {
					one, _, r, _ := found(more, after)
					if one < said && one < 100 {
						t.Fatalf("%s, then before operation %d, %s: said %d, found %d, %v", what, again, more, said, one, r.Notes)
					}
				})
			}
		})
	}
	t.Logf("%d disks after failures at %d operations", tried, points)
	if points < 60 || tried < 5000 {
		t.Errorf("%d failures at %d operations try too little", tried, points)
	}
}

// A disk that is full: what stands there stays sound, a snapshot is tried again, and holds once
// there is room; a log that has broken off takes nothing behind it.
func TestDiskFull(t *testing.T) {
	now := &clock{"boot-1", time.Hour, time.Unix(1e9, 0)}
	d := newSimulated()
	o := now.options("n0")
	o.disk = d
	f, _ := open(t, "x", o)
	said := 0
	if err := writeNumbers(f, 1, 3, &said); err != nil {
		t.Fatal(err)
	}
	d.fullAt = d.ops
	if err := f.Append([]Record{newRecord(1, "4")}); err == nil {
		t.Fatal("a full disk takes a record")
	}
	d.fullAt = 0
	if err := f.Append([]Record{newRecord(1, "5")}); err == nil {
		t.Fatal("a log that has broken off takes a record")
	}
	d.fullAt = d.ops
	for range 3 {
		if err := writeNumbers(f, 6, 6, &said); err == nil {
			t.Fatal("a full disk takes a snapshot")
		}
	}
	reader, r := open(t, "x", o)
	if got := latestValues(r.Records)["1/1"]; got != "3" || r.Intact {
		t.Errorf("found %s on a full disk, intact %v", got, r.Intact)
	}
	reader.lock.Close()
	d.fullAt = 0
	if err := writeNumbers(f, 7, 8, &said); err != nil {
		t.Fatal(err)
	}
	if _, r = open(t, "x", o); latestValues(r.Records)["1/1"] != "8" || !r.Intact {
		t.Errorf("found %v, intact %v", latestValues(r.Records), r.Intact)
	}
	o.MaxBytes = 200
	f, _ = open(t, "x", o)
	if err := writeNumbers(f, 9, 9, &said); err != nil {
		t.Fatal(err)
	}
	var err error
	for range 5 {
		err = f.Append([]Record{newRecord(1, strings.Repeat("y", 30))})
	}
	if !errors.Is(err, ErrTooLarge) {
		t.Errorf("a log over its bound: %v", err)
	}
	if err := f.Snapshot(func(put func(Record) error) error { return put(newRecord(1, strings.Repeat("y", 300))) }); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a snapshot over its bound: %v", err)
	}
}
