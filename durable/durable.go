// Package durable persists a process's state in a folder so that its successor can resume from it:
// a snapshot, and a log of the changes since. Whenever the power fails, the folder either holds a
// consistent state or is detected to hold none; no file is ever overwritten in place.
//
// A snapshot is written to a temporary file and synced, and its log is created, before the file is
// renamed and the folder synced. Then all but the latest two generations are removed, so that an
// older consistent one remains. Each record has a checksum. A truncated log, as a killed process
// leaves it, is valid up to its last complete record; a snapshot is valid as a whole or not at all.
//
// One process at a time owns a folder. The lock is the operating system's (flock), which is released
// when the process that holds it ends for any reason.
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

// Stamp is the header of a file: its owner and the time at which it was created, by several clocks.
type Stamp struct {
	Generation uint64 `json:"generation"`
	Owner      string `json:"owner"`   // of the folder; files of another owner are not read
	WallMs     int64  `json:"wall_ms"` // Unix time
	Boot       string `json:"boot"`    // boot ID of the machine; see UptimeMs
	UptimeMs   int64  `json:"up_ms"`   // since that boot, including suspend
	Inode      uint64 `json:"inode"`   // of the file itself; a copy has a different one
}

// Options configure a folder. Only Owner is required.
type Options struct {
	Owner    string                               // the process that the state belongs to, such as a limiter's name
	Now      func() time.Time                     // time.Now if nil
	Boot     func() (id string, up time.Duration) // boot ID and uptime; the system's if nil
	MaxBytes int64                                // limit for a snapshot and for a log, each; 0: none
	disk     disk                                 // systemDisk if nil
}

// Uptime returns the time since the machine booted, including suspend, by a clock that cannot be
// set; 0 where the system does not provide it.
func Uptime() time.Duration {
	_, up := readBootClock()
	return up
}

// Recovered is the state found in a folder, and how far it can be relied on.
type Recovered struct {
	Found bool  // false: there is no usable snapshot
	Stamp Stamp // of the snapshot
	// Clean reports that the previous process shut down cleanly after its last record and that
	// this process is the first to resume from there. It is true once for each clean shutdown,
	// and never for copied files or after a reboot.
	Clean bool
	// Intact reports that, as far as can be detected, nothing that the previous process had
	// synced is missing, and that this process is the first to resume from it. Unlike Clean it
	// also holds after the previous process was killed.
	Intact           bool
	Uptime           time.Duration // now, by the clock of the function Uptime
	CopiedOrRebooted bool          // the files are copies, or the machine has rebooted since
	Age              time.Duration // of the snapshot
	Downtime         time.Duration // with Clean: time since the shutdown, by a clock that cannot be set
	Records          []Record      // in the order of writing: the last record of a key wins
	Notes            []string      // what was skipped, and why
}

// Folder is a state folder that this process has locked. Its methods are not safe for concurrent use.
type Folder struct {
	dir          string
	options      Options
	lock         io.Closer
	log          diskFile
	generation   uint64
	logSize      int64 // in bytes
	snapshotSize int64 // in bytes
	buf          []byte
	err          error // of a failed write: Append fails until a snapshot has been written
}

// Errors of opening a folder or reading and writing its files.
var (
	ErrInUse = errors.New("is in use by another process")
	ErrOwner = errors.New("belongs to another owner")
	// ErrTooLarge reports a snapshot or log that would exceed Options.MaxBytes.
	ErrTooLarge = errors.New("over its size bound")
)

const (
	lockName   = "lock"
	snapSuffix = ".snapshot"
	logSuffix  = ".log"
	tempSuffix = ".part"
)

// Open locks a folder, creating it if necessary, and reads its contents. Unusable files are skipped
// and listed in Recovered.Notes; an error means that the folder itself cannot be used.
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

// generations lists the generations with a file in the folder, the latest first. It removes leftover
// temporary files.
func (f *Folder) generations() ([]uint64, error) {
	names, err := f.options.disk.List(f.dir)
	if err != nil {
		return nil, fmt.Errorf("durable: %w", err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) { // left by a killed process
			f.options.disk.Remove(filepath.Join(f.dir, name))
		}
	}
	return parseGenerations(names), nil
}

// parseGenerations returns the generations in the names of snapshots and logs, the latest first.
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

// recover reads the latest usable generation.
func (f *Folder) recover() (*Recovered, error) {
	all, err := f.generations()
	if err != nil {
		return nil, err
	}
	r := &Recovered{}
	if len(all) > 0 {
		f.generation = all[0] // new generations are numbered above all existing ones
	}
	for _, gen := range all {
		if f.readGeneration(gen, r) {
			break
		}
	}
	// A skipped later generation may have held newer records.
	r.Intact = r.Intact && len(all) > 0 && r.Stamp.Generation == all[0]
	r.Clean = r.Clean && r.Intact
	return r, nil
}

// markTaken appends a record to a log, and syncs it, that marks the state as taken over. It must
// succeed before anyone uses that state, so that it is used only once.
func (f *Folder) markTaken(gen uint64) error {
	log, err := f.options.disk.OpenAppend(f.path(gen, logSuffix))
	if err == nil {
		_, err = log.Write(appendRecord(nil, Record{Kind: kindTaken}))
		err = errors.Join(err, log.Sync(), log.Close())
	}
	if err != nil {
		return fmt.Errorf("durable: marking the log as taken over: %w", err)
	}
	return nil
}

// readGeneration reads one generation and reports whether its snapshot is usable.
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
	r.CopiedOrRebooted = inode != stamp.Inode || boot == "" || boot != stamp.Boot
	r.Age = f.options.Now().Sub(time.UnixMilli(stamp.WallMs))
	if boot != "" && boot == stamp.Boot { // prefer the clock that cannot be set
		r.Age = up - time.Duration(stamp.UptimeMs)*time.Millisecond
	}
	name = f.path(gen, logSuffix)
	logStamp, logRecords, inode, err := readFile(f.options.disk, name, false)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil && logRecords == nil:
		note(name, err)
	case logStamp.Owner != f.options.Owner || logStamp.Generation != gen:
		note(name, fmt.Errorf("%w: the log belongs to another snapshot", ErrDamaged))
	default:
		if err != nil {
			note(name, fmt.Errorf("%w, after %d whole records", err, len(logRecords)))
		}
		r.CopiedOrRebooted = r.CopiedOrRebooted || inode != logStamp.Inode
		last := len(logRecords) - 1
		r.Intact, r.Uptime = err == nil && !r.CopiedOrRebooted && (last < 0 || logRecords[last].Kind != kindTaken), up
		if r.Intact && last >= 0 && logRecords[last].Kind == kindClean && len(logRecords[last].Value) == 8 {
			r.Downtime = up - time.Duration(binary.LittleEndian.Uint64(logRecords[last].Value))*time.Millisecond
			r.Clean = r.Downtime >= 0
		}
		for _, x := range logRecords {
			if x.Kind < firstReservedKind {
				r.Records = append(r.Records, x)
			}
		}
	}
	return true
}

// readFile reads a snapshot (isSnapshot is set) or a log. A damaged log yields the records before the
// damage together with an error.
func readFile(d disk, name string, isSnapshot bool) (stamp Stamp, records []Record, inode uint64, err error) {
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
			if err == io.EOF && !isSnapshot {
				err = nil
			} else if err == io.EOF {
				err = fmt.Errorf("%w: the end record is missing", ErrDamaged)
			}
			return stamp, records, inode, err
		}
		if r.Kind == kindEnd {
			if _, e := in.ReadByte(); r.Key != uint64(len(records)) || e != io.EOF || !isSnapshot {
				return stamp, records, inode, fmt.Errorf("%w: the end record counts %d records, the file has %d", ErrDamaged, r.Key, len(records))
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

// newStamp encodes the stamp of a file that is being created.
func (f *Folder) newStamp(gen uint64, file diskFile) ([]byte, error) {
	inode, err := file.Inode()
	if err != nil {
		return nil, err
	}
	boot, up := f.options.Boot()
	return json.Marshal(Stamp{Generation: gen, Owner: f.options.Owner, WallMs: f.options.Now().UnixMilli(), Boot: boot, UptimeMs: up.Milliseconds(), Inode: inode})
}

// Snapshot writes the complete state and starts a new log. The function forEach passes each record to
// put. The previous state stays valid until the snapshot is completely on the disk. After an error
// Snapshot may be called again, even if the log has failed.
func (f *Folder) Snapshot(forEach func(put func(Record) error) error) error {
	if f.err = f.snapshot(forEach); f.err != nil {
		f.err = fmt.Errorf("durable: snapshot: %w", f.err)
	}
	return f.err
}

func (f *Folder) snapshot(forEach func(put func(Record) error) error) error {
	gen := f.generation + 1
	name := f.path(gen, snapSuffix)
	part, err := f.options.disk.Create(name+tempSuffix, true)
	if err != nil {
		return err
	}
	defer f.options.disk.Remove(name + tempSuffix) // no effect after the rename
	defer part.Close()
	stamp, err := f.newStamp(gen, part)
	if err != nil {
		return err
	}
	out := bufio.NewWriterSize(part, 256<<10)
	recordCount, written := uint64(0), int64(0)
	put := func(r Record) error {
		f.buf = appendRecord(f.buf[:0], r)
		if written += int64(len(f.buf)); f.options.MaxBytes > 0 && written > f.options.MaxBytes {
			return fmt.Errorf("%w of %d bytes", ErrTooLarge, f.options.MaxBytes)
		}
		_, err := out.Write(f.buf)
		return err
	}
	if _, err := out.Write(appendHeader(nil, stamp)); err != nil {
		return err
	}
	err = forEach(func(r Record) error {
		if r.Kind >= firstReservedKind || len(r.Value) > MaxValueBytes {
			return fmt.Errorf("a record of kind %d with %d bytes", r.Kind, len(r.Value))
		}
		recordCount++
		return put(r)
	})
	if err == nil {
		err = put(Record{Kind: kindEnd, Key: recordCount})
	}
	if err = errors.Join(err, out.Flush()); err != nil {
		return err
	}
	if err := errors.Join(part.Sync(), part.Close()); err != nil {
		return err
	}
	// The log exists before the snapshot becomes valid, so a snapshot whose log is missing is
	// known to have lost it and does not count as intact.
	log, size, err := f.createLog(gen)
	if err != nil {
		return err
	}
	if err := f.options.disk.Rename(name+tempSuffix, name); err != nil {
		log.Close()
		f.options.disk.Remove(f.path(gen, logSuffix)) // a log without its snapshot would count as a lost snapshot
		return err
	}
	// From here on a reader may see the new generation, so its number is not reused if a later step fails.
	f.generation = gen
	if err := f.options.disk.SyncDir(f.dir); err != nil {
		log.Close()
		return err
	}
	if f.log != nil {
		f.log.Close()
	}
	f.log, f.logSize, f.snapshotSize = log, size, written
	gens, err := f.generations()
	if err != nil {
		return err
	}
	for i, g := range gens { // keep the latest two
		if i > 1 {
			f.options.disk.Remove(f.path(g, snapSuffix))
			f.options.disk.Remove(f.path(g, logSuffix))
		}
	}
	return nil
}

// createLog creates and syncs the log of a generation and returns it with its size in bytes.
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

// Append writes changed records to the log and syncs it. After a write error the log is valid up to
// that point, and Append fails until a new snapshot has started a new log.
func (f *Folder) Append(records []Record) error {
	switch {
	case f.err != nil:
		return f.err
	case f.log == nil:
		return errors.New("durable: no snapshot has been written yet")
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

// SnapshotDue reports that the log has outgrown the snapshot, so that a new one is worth its cost.
func (f *Folder) SnapshotDue() bool { return f.logSize > max(f.snapshotSize, 64<<10) }

// cleanEndRecord returns the record that marks a clean shutdown, with the current uptime in ms.
func (f *Folder) cleanEndRecord() Record {
	_, up := f.options.Boot()
	return Record{Kind: kindClean, Value: binary.LittleEndian.AppendUint64(nil, uint64(up.Milliseconds()))}
}

// Close appends the last changes and the mark of a clean shutdown to the log, and unlocks the folder.
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

// Abandon unlocks the folder without marking a clean shutdown, as if the process had been killed.
// What was written stays valid.
func (f *Folder) Abandon() error {
	var err error
	if f.log != nil {
		err = f.log.Close()
	}
	return errors.Join(err, f.lock.Close())
}
