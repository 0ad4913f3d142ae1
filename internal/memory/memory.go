// Package memory keeps what a running limiter has learnt in a folder, and hands it to the
// next one: the host of packages durable and recall.
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

// Limiter is the one whose memory it is.
type Limiter interface {
	Begun() <-chan struct{}    // closed once it has its list of servers and what was recalled
	Now() float64              // its clock, in ms
	Remember() *limiter.Memory // what is learnt by now; the limiter goes on
	Reserve(headMs float64)
	BeginWrite(all bool) (*limiter.Handover, uint64)
	Accounts(most int) (told []limiter.AccountMemory, more, ok bool)
	Kept(seq uint64)
	HandOver() *limiter.Memory // what it held, but for the accounts; it has ended
	Leave(most int) (told []limiter.AccountMemory, more bool)
	Recall(*limiter.Memory)
}

// Options are what a keeper is made with.
type Options struct {
	Folder  string // of the tier; each limiter has one of its name in it
	Limiter string
	Every   time.Duration
	Most    int64 // bytes of a snapshot, and of a log; 0: no bound
	Log     *slog.Logger
}

const (
	// batch is how many accounts are told in one go: the limiter is held meanwhile.
	accountBatch = 500
	// A folder that fails is tried again after retryLeast, then ever more rarely.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
)

// Keeper keeps the memory of one limiter. Its methods are not safe for concurrent use.
type Keeper struct {
	options       Options
	folder        *durable.Folder // nil: it can't be opened yet
	recovered     *limiter.Memory
	provenance    recall.Found
	classNames    recall.Names // that it was learnt by
	seed          maphash.Seed
	writtenHashes map[[2]uint64]uint64 // by kind and key, but for accounts: a hash of the value on the disk
	writtenPlans  []limiter.Plan       // that the accounts on the disk are counted by
	complete      bool                 // a snapshot stands, and all since
	failing       bool
	retryDelay    time.Duration // until it is tried again
	retryAt       time.Time
	onWrite       func(err error) // a test's: told of each write
}

// Open takes the limiter's folder and reads what is there. What can't be used is told in the
// log, and so is a folder that can't be opened: it is tried again while the limiter runs. One
// that another process has is an error, as two limiters of one name must not run.
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
		"ended", ended, "quotas", quotas, "copied_or_rebooted", r.Moved)
	return k, nil
}

func (k *Keeper) open() (*durable.Recovered, error) {
	f, r, err := durable.Open(filepath.Join(k.options.Folder, k.options.Limiter), durable.Options{Owner: k.options.Limiter, MaxBytes: k.options.Most, Now: wall.Now})
	if err != nil {
		return nil, err
	}
	k.folder = f
	return r, nil
}

// Recall hands what was found to the limiter, as far as it is to be trusted, and has it keep
// to what is written from now on; classes are the names of its configuration.
func (k *Keeper) Recall(l Limiter, classes []string) {
	l.Reserve(float64(2*k.options.Every+500*time.Millisecond) / float64(time.Millisecond)) // two writes and a slow disk
	if k.recovered != nil {
		l.Recall(recall.Aged(k.recovered, k.provenance, k.classNames, classes))
		k.recovered = nil
	}
}

// Run keeps what the limiter learns until the context ends.
func (k *Keeper) Run(ctx context.Context, l Limiter, classes func() []string) error {
	select {
	case <-ctx.Done():
		return nil
	case <-l.Begun():
	}
	t := time.NewTicker(k.options.Every)
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

// errMoving tells that a new configuration came in the midst of a write.
var errConfigChanged = errors.New("the configuration changes")

// step writes once.
func (k *Keeper) writeOnce(l Limiter, classes func() []string) {
	err := k.reopen()
	if err == nil {
		err = k.write(l, classes)
	}
	if k.onWrite != nil {
		k.onWrite(err)
	}
	switch {
	case errors.Is(err, errConfigChanged): // the next one tells all
		k.complete = false
	case err != nil:
		k.complete = false
		k.scheduleRetry(err)
	case k.failing:
		k.failing, k.retryDelay = false, 0
		k.options.Log.Info("memory is kept again")
	}
}

// fail has the folder tried again later, and says so once.
func (k *Keeper) scheduleRetry(err error) {
	k.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*k.retryDelay))
	k.retryAt = time.Now().Add(k.retryDelay)
	if !k.failing {
		k.failing = true
		k.options.Log.Warn("memory is not kept, serving on without; trying again", "err", err)
	}
}

// reopen opens a folder that could not be opened. What is in it is of no use any more: this
// limiter has begun.
func (k *Keeper) reopen() error {
	if k.folder != nil {
		return nil
	}
	_, err := k.open()
	return err
}

// keep writes what has changed, or all.
func (k *Keeper) write(l Limiter, classes func() []string) error {
	names, m := classes(), l.Remember()
	if !slices.Equal(names, classes()) {
		return errConfigChanged
	}
	learnt, err := encode(m, names)
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
		err = k.folder.Snapshot(func(put func(durable.Record) error) error { return k.writeSnapshot(l, learnt, h, clock, put) })
	} else {
		var records []durable.Record
		err = putAccounts(l, clock, func(r durable.Record) error {
			records = append(records, r)
			return nil
		})
		if records = append(records, k.changedRecords(learnt)...); err == nil && len(records) > 0 {
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

// writeAll hands over all that is remembered.
func (k *Keeper) writeSnapshot(l Limiter, learnt []durable.Record, h *limiter.Handover, c uptimeOffset, put func(durable.Record) error) error {
	for _, r := range learnt {
		if err := put(r); err != nil {
			return err
		}
		k.noteWritten(r)
	}
	r, err := newJSONRecord(kindRunningHandover, 0, runningHandover{h.Position, h.Balancers, h.Plans, h.KnownMs, h.HeadMs, c.toUptime(h.NowMs)})
	if err == nil {
		err = put(r)
	}
	if err != nil {
		return err
	}
	return putAccounts(l, c, put)
}

// accounts hands over the accounts of a write that was begun, in parts.
func putAccounts(l Limiter, c uptimeOffset, put func(durable.Record) error) error {
	for more := true; more; {
		var told []limiter.AccountMemory
		var ok bool
		if told, more, ok = l.Accounts(accountBatch); !ok {
			return errConfigChanged
		}
		for i := range told {
			r, err := newAccountRecord(kindRunningAccount, &told[i], c.toUptime(told[i].AtMs))
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

// wrote notes what stands on the disk, and tells whether that is news.
func (k *Keeper) noteWritten(r durable.Record) bool {
	id, sum := [2]uint64{uint64(r.Kind), r.Key}, maphash.Bytes(k.seed, r.Value)
	if was, have := k.writtenHashes[id]; have && was == sum {
		return false
	}
	k.writtenHashes[id] = sum
	return true
}

func (k *Keeper) changedRecords(all []durable.Record) (changedRecords []durable.Record) {
	for _, r := range all {
		if k.noteWritten(r) {
			changedRecords = append(changedRecords, r)
		}
	}
	return changedRecords
}

// Close writes what the limiter handed over, and lets go of the folder. The limiter must have
// ended. A folder that fails is told in the log: the limiter has ended in good order all the same.
func (k *Keeper) Close(l Limiter, classes []string) {
	if k.folder == nil {
		return
	}
	m := l.HandOver()
	learnt, err := encode(m, classes)
	var last []durable.Record
	if err == nil {
		last = k.changedRecords(learnt)
	}
	n := 0
	for more := true; more && err == nil; {
		var told []limiter.AccountMemory
		told, more = l.Leave(accountBatch)
		for i := range told {
			a := &told[i]
			var r durable.Record
			if r, err = newAccountRecord(kindFinalAccount, a, 0); err != nil {
				break
			}
			last = append(last, r)
			n++
		}
	}
	if err == nil {
		var r durable.Record
		h := m.Handover
		r, err = newJSONRecord(kindHandover, 0, handover{h.Position, h.Balancers, h.Plans, h.KnownMs, n})
		last = append(last, r)
	}
	if err == nil && !k.complete { // the log takes nothing, or there is none: a last try
		err = k.folder.Snapshot(func(put func(durable.Record) error) error {
			for _, r := range learnt {
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
