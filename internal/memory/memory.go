// Package memory persists the learned state of a running limiter and restores it in its successor.
// It connects a limiter to packages durable (storage) and recall (what to trust after a restart).
package memory

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"log/slog"
	"path/filepath"
	"slices"
	"time"

	"example.org/madderdrum/durable"
	"example.org/madderdrum/internal/wall"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/recall"
)

// Limiter is the running limiter whose state a Keeper persists.
type Limiter interface {
	Started() <-chan struct{}  // closed once it has its server list and the restored state
	Now() float64              // the limiter's clock, in ms
	Remember() *limiter.Memory // the learned state; the limiter keeps running
	Reserve(headMs float64)    // headroom in ms of spending between writes; must be called before any request
	// BeginWrite starts a write of all accounts, or of those that have spent since the last one, and
	// returns the state that they refer to and the number of the write.
	BeginWrite(all bool) (*limiter.Handover, uint64)
	// Accounts returns the next accounts of the write; ok is false if a new configuration aborted it.
	Accounts(limit int) (accounts []limiter.AccountMemory, more, ok bool)
	Kept(seq uint64)           // reports that a write is on the disk
	HandOver() *limiter.Memory // the final state without the accounts, after the limiter has stopped
	// Leave returns the next accounts of a limiter that has handed over.
	Leave(limit int) (accounts []limiter.AccountMemory, more bool)
	Recall(*limiter.Memory)
}

// Options configure a Keeper.
type Options struct {
	Folder   string // of the tier; each limiter has a subfolder with its name
	Limiter  string
	Interval time.Duration // interval between writes
	MaxBytes int64         // bytes of a snapshot and of a log, each; 0: no limit
	Log      *slog.Logger
}

const (
	// accountBatch is the number of accounts copied at a time, which blocks the limiter.
	accountBatch = 500
	// Bounds of the exponential backoff after a failure of the folder.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
)

// Keeper persists the state of one limiter. Its methods are not safe for concurrent use.
type Keeper struct {
	options       Options
	folder        *durable.Folder // nil: it could not be opened yet
	recovered     *limiter.Memory
	provenance    recall.SnapshotInfo
	classNames    recall.ClassNames // class names in the recovered state
	seed          maphash.Seed
	writtenHashes map[[2]uint64]uint64 // by kind and key, except accounts: hash of the value on the disk
	writtenPlans  []limiter.Plan       // plans that the accounts on the disk refer to
	complete      bool                 // the snapshot and the log hold the full state
	failing       bool
	retryDelay    time.Duration // before the next attempt
	retryAt       time.Time
	onWrite       func(err error) // set by tests; called after each write
}

// Open locks and reads the limiter's folder. Unusable contents are logged and ignored; a folder that
// cannot be opened is logged and retried while the limiter runs. A folder in use by another process
// is an error, because two limiters with the same name must not run.
func Open(o Options) (*Keeper, error) {
	k := &Keeper{options: o, seed: maphash.MakeSeed(), writtenHashes: map[[2]uint64]uint64{}}
	r, err := k.open()
	if errors.Is(err, durable.ErrInUse) {
		return nil, fmt.Errorf("memory: %w", err)
	}
	if err != nil {
		k.scheduleRetry(err)
		return k, nil
	}
	for _, note := range r.Notes {
		o.Log.Warn("ignoring an unusable memory file", "file", note)
	}
	if !r.Found {
		o.Log.Info("no usable snapshot, starting fresh", "folder", o.Folder)
		return k, nil
	}
	m, names, err := decode(r)
	if err != nil {
		o.Log.Warn("ignoring an unusable snapshot, starting fresh", "err", err)
		return k, nil
	}
	k.recovered, k.classNames = m, names
	k.provenance = provenanceOf(r, m)
	ended, quotas := "killed", "fresh"
	if r.Clean {
		ended = "in good order"
	}
	accounts := 0
	if m.Handover != nil {
		quotas, accounts = "resumed", len(m.Handover.Accounts)
	}
	o.Log.Info("resuming from a snapshot", "age", r.Age.Round(time.Millisecond).String(), "boxes", len(m.Boxes), "accounts", accounts,
		"ended", ended, "quotas", quotas, "copied_or_rebooted", r.CopiedOrRebooted)
	return k, nil
}

func (k *Keeper) open() (*durable.Recovered, error) {
	f, r, err := durable.Open(filepath.Join(k.options.Folder, k.options.Limiter), durable.Options{Owner: k.options.Limiter, MaxBytes: k.options.MaxBytes, Now: wall.Now})
	if err != nil {
		return nil, err
	}
	k.folder = f
	return r, nil
}

// Recall restores the recovered state in the limiter as far as it can be trusted, and sets the
// headroom that the limiter reserves for spending between two writes. classes are the class names of
// the limiter's configuration.
func (k *Keeper) Recall(l Limiter, classes []string) {
	// The headroom covers two write intervals and a slow disk.
	l.Reserve(float64(2*k.options.Interval+500*time.Millisecond) / float64(time.Millisecond))
	if k.recovered != nil {
		l.Recall(recall.Decay(k.recovered, k.provenance, k.classNames, classes))
		k.recovered = nil
	}
}

// Run persists the limiter's state at each interval, once the limiter has started, until the context ends.
func (k *Keeper) Run(ctx context.Context, l Limiter, classes func() []string) error {
	select {
	case <-ctx.Done():
		return nil
	case <-l.Started():
	}
	t := time.NewTicker(k.options.Interval)
	defer t.Stop()
	for {
		if time.Now().After(k.retryAt) {
			k.writeOnce(l, classes)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// errConfigChanged reports that a new configuration was applied during a write.
var errConfigChanged = errors.New("the configuration changes")

// writeOnce makes one attempt to open the folder if needed and to write the changes.
func (k *Keeper) writeOnce(l Limiter, classes func() []string) {
	err := k.reopen()
	if err == nil {
		err = k.write(l, classes)
	}
	if k.onWrite != nil {
		k.onWrite(err)
	}
	switch {
	case errors.Is(err, errConfigChanged): // the next write is a full snapshot
		k.complete = false
	case err != nil:
		k.complete = false
		k.scheduleRetry(err)
	case k.failing:
		k.failing, k.retryDelay = false, 0
		k.options.Log.Info("memory is kept again")
	}
}

// scheduleRetry doubles the delay before the next attempt and logs the first of a run of failures.
func (k *Keeper) scheduleRetry(err error) {
	k.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*k.retryDelay))
	k.retryAt = time.Now().Add(k.retryDelay)
	if !k.failing {
		k.failing = true
		k.options.Log.Warn("memory is not kept, serving on without; trying again", "err", err)
	}
}

// reopen opens a folder that could not be opened before. Its contents are ignored because the
// limiter is already running without them.
func (k *Keeper) reopen() error {
	if k.folder != nil {
		return nil
	}
	_, err := k.open()
	return err
}

// write appends the changes to the log, or writes a snapshot if one is due or changes are not enough.
func (k *Keeper) write(l Limiter, classes func() []string) error {
	names, m := classes(), l.Remember()
	if !slices.Equal(names, classes()) {
		return errConfigChanged
	}
	learned, err := encode(m, names)
	if err != nil {
		return err
	}
	clock := measureUptimeOffset(l)
	all := !k.complete || k.folder.SnapshotDue()
	h, seq := l.BeginWrite(all)
	if !all && !slices.Equal(h.Plans, k.writtenPlans) {
		all = true
		h, seq = l.BeginWrite(all)
	}
	if all {
		clear(k.writtenHashes)
		err = k.folder.Snapshot(func(put func(durable.Record) error) error { return k.writeSnapshot(l, learned, h, clock, put) })
	} else {
		var records []durable.Record
		err = putAccounts(l, clock, func(r durable.Record) error {
			records = append(records, r)
			return nil
		})
		if records = append(records, k.changedRecords(learned)...); err == nil && len(records) > 0 {
			err = k.folder.Append(records)
		}
	}
	if err != nil {
		return err
	}
	l.Kept(seq)
	k.complete, k.writtenPlans = true, h.Plans
	return nil
}

// writeSnapshot passes the records of the full state to put.
func (k *Keeper) writeSnapshot(l Limiter, learned []durable.Record, h *limiter.Handover, offset uptimeOffset, put func(durable.Record) error) error {
	for _, r := range learned {
		if err := put(r); err != nil {
			return err
		}
		k.noteWritten(r)
	}
	r, err := newJSONRecord(kindRunningHandover, 0, runningHandover{h.Position, h.Balancers, h.Plans, h.KnownMs, h.HeadMs, offset.toUptime(h.NowMs)})
	if err == nil {
		err = put(r)
	}
	if err != nil {
		return err
	}
	return putAccounts(l, offset, put)
}

// putAccounts passes the accounts of the current write to put, in batches.
func putAccounts(l Limiter, offset uptimeOffset, put func(durable.Record) error) error {
	for hasMore := true; hasMore; {
		var batch []limiter.AccountMemory
		var ok bool
		if batch, hasMore, ok = l.Accounts(accountBatch); !ok {
			return errConfigChanged
		}
		for i := range batch {
			r, err := newAccountRecord(kindRunningAccount, &batch[i], offset.toUptime(batch[i].AtMs))
			if err == nil {
				err = put(r)
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// noteWritten stores the hash of a record and reports whether the record differs from the one before.
func (k *Keeper) noteWritten(r durable.Record) bool {
	id, sum := [2]uint64{uint64(r.Kind), r.Key}, maphash.Bytes(k.seed, r.Value)
	if previous, exists := k.writtenHashes[id]; exists && previous == sum {
		return false
	}
	k.writtenHashes[id] = sum
	return true
}

// changedRecords returns the records that differ from those on the disk.
func (k *Keeper) changedRecords(all []durable.Record) (changed []durable.Record) {
	for _, r := range all {
		if k.noteWritten(r) {
			changed = append(changed, r)
		}
	}
	return changed
}

// Close writes the limiter's final state and unlocks the folder. The limiter must have stopped. A
// failure of the folder is only logged, since the limiter itself has shut down cleanly.
func (k *Keeper) Close(l Limiter, classes []string) {
	if k.folder == nil {
		return
	}
	m := l.HandOver()
	learned, err := encode(m, classes)
	var last []durable.Record
	if err == nil {
		last = k.changedRecords(learned)
	}
	count := 0
	for hasMore := true; hasMore && err == nil; {
		var batch []limiter.AccountMemory
		batch, hasMore = l.Leave(accountBatch)
		for i := range batch {
			a := &batch[i]
			var r durable.Record
			if r, err = newAccountRecord(kindFinalAccount, a, 0); err != nil {
				break
			}
			last = append(last, r)
			count++
		}
	}
	if err == nil {
		var r durable.Record
		h := m.Handover
		r, err = newJSONRecord(kindHandover, 0, handover{h.Position, h.Balancers, h.Plans, h.KnownMs, count})
		last = append(last, r)
	}
	if err == nil && !k.complete { // the log is missing or unusable: try once more with a snapshot
		err = k.folder.Snapshot(func(put func(durable.Record) error) error {
			for _, r := range learned {
				if err := put(r); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err != nil {
		err = errors.Join(err, k.folder.Abandon())
	} else {
		err = k.folder.Close(last)
	}
	if err != nil {
		k.options.Log.Warn("memory is not kept, the next limiter starts without what was held", "err", err)
	}
}
