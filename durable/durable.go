// Package durable keeps what a process has learnt in a folder, so that the next one can go on
// from it: a snapshot, and a log of what changed since. Whatever moment the power fails at, a
// folder holds a sound state or is known to hold none; nothing is ever half written in place.
//
// A snapshot is written aside, synced, renamed and the folder synced; then a new log begins
// and the generation before the last is taken away, so that the last sound one is kept. Each
// record has a checksum. A log that breaks off, as a killed process leaves it, counts up to
// its last whole record; a snapshot counts whole or not at all.
//
// One process at a time owns a folder. The lock is the system's (flock), which ends with the
// process that holds it, however that ends.
package durable

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Stamp says who wrote a file, and when by which clocks.
type Stamp struct {
	Generation uint64 `json:"generation"`
	Owner      string `json:"owner"`   // of the folder: another one's is not read
	Wall       int64  `json:"wall_ms"` // Unix time
	Boot       string `json:"boot"`    // of the machine's start; see Up
	UptimeMs   int64  `json:"up_ms"`   // since that start, also while it slept
	Inode      uint64 `json:"inode"`   // of the file itself: a copy has another
}

// Options are what a folder is opened with.
type Options struct {
	Owner    string           // who keeps what in it, such as a limiter's name
	Now      func() time.Time // time.Now if nil
	Boot     func() (id string, up time.Duration)
	MaxBytes int64 // bytes of a snapshot, and of a log; 0: no bound
	disk     disk  // the system's if nil
}

// Uptime is how long the machine has run, also while it slept, by a clock that nobody sets; 0
// where the system does not tell.
func Uptime() time.Duration {
	_, up := readBootClock()
	return up
}

// Recovered is what was found in a folder.
type Recovered struct {
	Found bool  // else it begins anew
	Stamp Stamp // of the snapshot
	// Clean tells that the process before ended in good order, after its last record, and
	// that this one is the first to go on from there: it is so once for each such end, and
	// never of copies or after the machine has started anew.
	Clean bool
	// Intact tells that nothing of what the process before had on the disk is missing, as far
	// as can be told, and that this process is the first to go on from it; as with Clean, of
	// one that was killed too.
	Intact   bool
	Uptime   time.Duration // now, by Uptime's clock
	Moved    bool          // the files are copies, or the machine has started anew since
	Age      time.Duration // of the snapshot
	Downtime time.Duration // with Clean: since that end, by a clock that nobody sets
	Records  []Record      // in the order in which they were written: the last of a key holds
	Notes    []string      // what was passed over, and why
}

// Folder is one that this process owns. Its methods are not safe for concurrent use.
type Folder struct {
	dir          string
	options      Options
	lock         io.Closer
	log          diskFile
	generation   uint64
	logSize      int64 // bytes of the log
	snapshotSize int64 // bytes of the snapshot
	buf          []byte
	err          error // of a write: the log takes nothing more, until a snapshot is written
}

// Errors of opening.
var (
	ErrInUse = errors.New("is in use by another process")
	ErrOwner = errors.New("belongs to another owner")
	// ErrTooLarge is of a snapshot or log past Options.Most.
	ErrTooLarge = errors.New("over its size bound")
)

const (
	lockName   = "lock"
	snapSuffix = ".snapshot"
	logSuffix  = ".log"
	tempSuffix = ".part"
)

// Open takes a folder, which is made if it is not there, and reads what is in it. What can't
// be used is passed over with a note, and never an error; errors are of the folder itself.
func Open(dir string, o Options) (*Folder, *Recovered, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Boot == nil {
		o.Boot = readBootClock
	}
	if o.disk == nil {
		o.disk = systemDisk{}
	}
	if err := o.disk.MkdirAll(dir); err != nil {
		return nil, nil, fmt.Errorf("durable: %w", err)
	}
	lock, err := o.disk.Lock(filepath.Join(dir, lockName))
	if errors.Is(err, ErrInUse) {
		return nil, nil, fmt.Errorf("durable: %s %w", dir, ErrInUse)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("durable: lock: %w", err)
	}
	f := &Folder{dir: dir, options: o, lock: lock}
	r, err := f.recover()
	if err == nil && r.Intact {
		err = f.markTaken(r.Stamp.Generation)
	}
	if err != nil {
		lock.Close()
		return nil, nil, err
	}
	return f, r, nil
}

func (f *Folder) path(gen uint64, suffix string) string {
	return filepath.Join(f.dir, fmt.Sprintf("%016x%s", gen, suffix))
}

// generations are those of which a file is there, the latest first.
func (f *Folder) generations() ([]uint64, error) {
	names, err := f.options.disk.List(f.dir)
	if err != nil {
		return nil, fmt.Errorf("durable: %w", err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) { // of a process that was killed
			f.options.disk.Remove(filepath.Join(f.dir, name))
		}
	}
	return parseGenerations(names), nil
}

// generations are those that files are named after, the latest first.
func parseGenerations(names []string) (all []uint64) {
	for _, full := range names {
		name, ok := strings.CutSuffix(full, snapSuffix)
		if !ok {
			name, ok = strings.CutSuffix(full, logSuffix)
		}
		if gen, err := strconv.ParseUint(name, 16, 64); ok && err == nil && len(name) == 16 && !slices.Contains(all, gen) {
			all = append(all, gen)
		}
	}
	slices.Sort(all)
	slices.Reverse(all)
	return all
}

// recover reads the latest sound generation.
func (f *Folder) recover() (*Recovered, error) {
	all, err := f.generations()
	if err != nil {
		return nil, err
	}
	r := &Recovered{}
	if len(all) > 0 {
		f.generation = all[0] // a new one is written above all that there are
	}
	for _, gen := range all {
		if f.readGeneration(gen, r) {
			break
		}
	}
	// One that was passed over may have said later things.
	r.Intact = r.Intact && len(all) > 0 && r.Stamp.Generation == all[0]
	r.Clean = r.Clean && r.Intact
	return r, nil
}

// take marks the end of a log as gone on from, on the disk, before anybody does.
func (f *Folder) markTaken(gen uint64) error {
	log, err := f.options.disk.OpenAppend(f.path(gen, logSuffix))
	if err == nil {
		_, err = log.Write(appendRecord(nil, Record{Kind: kindTaken}))
		err = errors.Join(err, log.Sync(), log.Close())
	}
	if err != nil {
		return fmt.Errorf("durable: taking over: %w", err)
	}
	return nil
}

// read reads one generation and tells whether it is sound.
func (f *Folder) readGeneration(gen uint64, r *Recovered) bool {
	note := func(name string, err error) {
		r.Notes = append(r.Notes, fmt.Sprintf("%s: %v", filepath.Base(name), err))
	}
	name := f.path(gen, snapSuffix)
	stamp, records, inode, err := readFile(f.options.disk, name, true)
	if err == nil && stamp.Owner != f.options.Owner {
		err = fmt.Errorf("%w: %q, this is %q", ErrOwner, stamp.Owner, f.options.Owner)
	}
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			note(name, err)
		}
		return false
	}
	boot, up := f.options.Boot()
	r.Found, r.Stamp, r.Records = true, stamp, records
	r.Moved = inode != stamp.Inode || boot == "" || boot != stamp.Boot
	r.Age = f.options.Now().Sub(time.UnixMilli(stamp.Wall))
	if boot != "" && boot == stamp.Boot { // a clock that nobody sets
		r.Age = up - time.Duration(stamp.UptimeMs)*time.Millisecond
	}
	name = f.path(gen, logSuffix)
	logged, more, inode, err := readFile(f.options.disk, name, false)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil && more == nil:
		note(name, err)
	case logged.Owner != f.options.Owner || logged.Generation != gen:
		note(name, fmt.Errorf("%w: it belongs to another snapshot", ErrDamaged))
	default:
		if err != nil {
			note(name, fmt.Errorf("%w, after %d whole records", err, len(more)))
		}
		r.Moved = r.Moved || inode != logged.Inode
		last := len(more) - 1
		r.Intact, r.Uptime = err == nil && !r.Moved && (last < 0 || more[last].Kind != kindTaken), up
		if r.Intact && last >= 0 && more[last].Kind == kindClean && len(more[last].Value) == 8 {
			r.Downtime = up - time.Duration(binary.LittleEndian.Uint64(more[last].Value))*time.Millisecond
			r.Clean = r.Downtime >= 0
		}
		for _, x := range more {
			if x.Kind < firstReservedKind {
				r.Records = append(r.Records, x)
			}
		}
	}
	return true
}

// readFile reads a snapshot, whole, or a log up to its last whole record: then records are
// returned with an error.
func readFile(d disk, name string, whole bool) (stamp Stamp, records []Record, inode uint64, err error) {
	file, err := d.Open(name)
	if err != nil {
		return stamp, nil, 0, err
	}
	defer file.Close()
	if inode, err = file.Inode(); err != nil {
		return stamp, nil, 0, err
	}
	in := bufio.NewReaderSize(file, 64<<10)
	head, err := readHeader(in)
	if err == nil {
		if e := json.Unmarshal(head, &stamp); e != nil {
			err = fmt.Errorf("%w: its stamp: %w", ErrDamaged, e)
		}
	}
	if err != nil {
		return stamp, nil, inode, err
	}
	records = []Record{}
	var r Record
	var buffer []byte
	for {
		if r, buffer, err = readRecord(in, buffer); err != nil {
			if err == io.EOF && !whole {
				err = nil
			} else if err == io.EOF {
				err = fmt.Errorf("%w: it has no end", ErrDamaged)
			}
			return stamp, records, inode, err
		}
		if r.Kind == kindEnd {
			if _, e := in.ReadByte(); r.Key != uint64(len(records)) || e != io.EOF || !whole {
				return stamp, records, inode, fmt.Errorf("%w: its end says %d records, there are %d", ErrDamaged, r.Key, len(records))
			}
			return stamp, records, inode, nil
		}
		if len(records) >= maxRecords {
			return stamp, nil, inode, fmt.Errorf("%w: too many records", ErrDamaged)
		}
		r.Value = slices.Clone(r.Value)
		records = append(records, r)
	}
}

// stamp is that of a file that is begun now.
func (f *Folder) newStamp(gen uint64, file diskFile) ([]byte, error) {
	inode, err := file.Inode()
	if err != nil {
		return nil, err
	}
	boot, up := f.options.Boot()
	return json.Marshal(Stamp{Generation: gen, Owner: f.options.Owner, Wall: f.options.Now().UnixMilli(), Boot: boot, UptimeMs: up.Milliseconds(), Inode: inode})
}

// Snapshot writes all that is remembered, and begins a new log. all hands over each record;
// what it was told before counts until the snapshot is whole on the disk. After an error it
// may be called again, also where the log has failed.
func (f *Folder) Snapshot(all func(put func(Record) error) error) error {
	if f.err = f.snapshot(all); f.err != nil {
		f.err = fmt.Errorf("durable: snapshot: %w", f.err)
	}
	return f.err
}

func (f *Folder) snapshot(all func(put func(Record) error) error) error {
	gen := f.generation + 1
	name := f.path(gen, snapSuffix)
	part, err := f.options.disk.Create(name+tempSuffix, true)
	if err != nil {
		return err
	}
	defer f.options.disk.Remove(name + tempSuffix) // of no effect once it was renamed
	defer part.Close()
	stamp, err := f.newStamp(gen, part)
	if err != nil {
		return err
	}
	out := bufio.NewWriterSize(part, 256<<10)
	n, whole := uint64(0), int64(0)
	put := func(r Record) error {
		f.buf = appendRecord(f.buf[:0], r)
		if whole += int64(len(f.buf)); f.options.MaxBytes > 0 && whole > f.options.MaxBytes {
			return fmt.Errorf("%w of %d bytes", ErrTooLarge, f.options.MaxBytes)
		}
		_, err := out.Write(f.buf)
		return err
	}
	if _, err := out.Write(appendHeader(nil, stamp)); err != nil {
		return err
	}
	err = all(func(r Record) error {
		if r.Kind >= firstReservedKind || len(r.Value) > MaxValueBytes {
			return fmt.Errorf("a record of kind %d with %d bytes", r.Kind, len(r.Value))
		}
		n++
		return put(r)
	})
	if err == nil {
		err = put(Record{Kind: kindEnd, Key: n})
	}
	if err = errors.Join(err, out.Flush()); err != nil {
		return err
	}
	if err := errors.Join(part.Sync(), part.Close()); err != nil {
		return err
	}
	// The log is there before the snapshot counts, so that a snapshot without one means
	// that nothing has changed since.
	log, size, err := f.createLog(gen)
	if err != nil {
		return err
	}
	if err := f.options.disk.Rename(name+tempSuffix, name); err != nil {
		log.Close()
		f.options.disk.Remove(f.path(gen, logSuffix)) // else the snapshot would count as lost
		return err
	}
	// From here on the new generation may count. One that fails now is not gone back to.
	f.generation = gen
	if err := f.options.disk.SyncDir(f.dir); err != nil {
		log.Close()
		return err
	}
	if f.log != nil {
		f.log.Close()
	}
	f.log, f.logSize, f.snapshotSize = log, size, whole
	gens, err := f.generations()
	if err != nil {
		return err
	}
	for i, g := range gens { // the one before is kept
		if i > 1 {
			f.options.disk.Remove(f.path(g, snapSuffix))
			f.options.disk.Remove(f.path(g, logSuffix))
		}
	}
	return nil
}

// begin begins a log.
func (f *Folder) createLog(gen uint64) (diskFile, int64, error) {
	log, err := f.options.disk.Create(f.path(gen, logSuffix), false)
	if err != nil {
		return nil, 0, err
	}
	stamp, err := f.newStamp(gen, log)
	if err == nil {
		head := appendHeader(nil, stamp)
		if _, err = log.Write(head); err == nil {
			if err = log.Sync(); err == nil {
				return log, int64(len(head)), nil
			}
		}
	}
	log.Close()
	f.options.disk.Remove(f.path(gen, logSuffix))
	return nil, 0, err
}

// Append writes what has changed to the log and waits until it is on the disk. After an
// error the log takes nothing more: what stands there is sound up to then, and a snapshot
// begins a new one.
func (f *Folder) Append(records []Record) error {
	switch {
	case f.err != nil:
		return f.err
	case f.log == nil:
		return errors.New("durable: no snapshot was written yet")
	}
	f.buf = f.buf[:0]
	for _, r := range records {
		if (r.Kind >= firstReservedKind && r.Kind != kindClean) || len(r.Value) > MaxValueBytes {
			return fmt.Errorf("durable: a record of kind %d with %d bytes", r.Kind, len(r.Value))
		}
		f.buf = appendRecord(f.buf, r)
	}
	if f.options.MaxBytes > 0 && f.logSize+int64(len(f.buf)) > f.options.MaxBytes {
		return fmt.Errorf("durable: log: %w of %d bytes", ErrTooLarge, f.options.MaxBytes)
	}
	_, err := f.log.Write(f.buf)
	if err == nil {
		err = f.log.Sync()
	}
	if err != nil {
		f.err = fmt.Errorf("durable: log: %w", err)
		return f.err
	}
	f.logSize += int64(len(f.buf))
	return nil
}

// Due tells that the log has grown past the snapshot, so that a new one is worth its cost.
func (f *Folder) SnapshotDue() bool { return f.logSize > max(f.snapshotSize, 64<<10) }

// clean is the record of an end in good order.
func (f *Folder) cleanEndRecord() Record {
	_, up := f.options.Boot()
	return Record{Kind: kindClean, Value: binary.LittleEndian.AppendUint64(nil, uint64(up.Milliseconds()))}
}

// Close ends the log in good order, with what has changed last, and lets go of the folder.
func (f *Folder) Close(last []Record) error {
	var err error
	if f.log != nil && f.err == nil {
		err = f.Append(append(slices.Clone(last), f.cleanEndRecord()))
	}
	if f.log != nil {
		err = errors.Join(err, f.log.Close())
	}
	return errors.Join(err, f.lock.Close())
}

// Abandon lets go of the folder as a killed process would: what was written stands, and it
// does not count as ended in good order.
func (f *Folder) Abandon() error {
	var err error
	if f.log != nil {
		err = f.log.Close()
	}
	return errors.Join(err, f.lock.Close())
}
