// Package memory keeps what a running limiter has learnt in a folder, and hands it to the
// next one: the host of packages durable and recall.
package memory

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/maphash"
	"log/slog"
	"path/filepath"
	"slices"
	"time"

	"example.org/madderdrum/durable"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/recall"
)

// Limiter is the one whose memory it is.
type Limiter interface {
	Remember() *limiter.Memory // what is learnt by now; the limiter goes on
	HandOver() *limiter.Memory // all that it held; it has ended
	Recall(*limiter.Memory)
}

// The kinds of records. A field's meaning never changes within a kind.
const (
	kindClasses  = 1 // names, by their places
	kindUsual    = 2
	kindPool     = 3 // by the pool's number
	kindBox      = 4 // by the box's number
	kindHandover = 5
	kindAccount  = 6 // by the account
)

// Options are what a keeper is made with.
type Options struct {
	Folder  string // of the tier; each limiter has one of its name in it
	Limiter string
	Every   time.Duration
	Log     *slog.Logger
}

// Keeper keeps the memory of one limiter. Its methods are not safe for concurrent use.
type Keeper struct {
	o       Options
	folder  *durable.Folder
	found   *limiter.Memory
	how     recall.Found
	names   recall.Names // that it was learnt by
	seed    maphash.Seed
	written map[[2]uint64]uint64 // by kind and key: a hash of the value on the disk
	broken  bool
}

// Open takes the limiter's folder and reads what is there. What can't be used is told in the
// log; an error is of the folder itself.
func Open(o Options) (*Keeper, error) {
	f, r, err := durable.Open(filepath.Join(o.Folder, o.Limiter), durable.Options{Owner: o.Limiter})
	if err != nil {
		return nil, fmt.Errorf("memory: %w", err)
	}
	k := &Keeper{o: o, folder: f, seed: maphash.MakeSeed(), written: map[[2]uint64]uint64{}, how: recall.Found{Age: r.Age, Clean: r.Clean, Down: r.Down}}
	for _, note := range r.Notes {
		o.Log.Warn("memory: passed over", "file", note)
	}
	if !r.Found {
		o.Log.Info("memory: nothing to go on from, beginning anew", "folder", o.Folder)
		return k, nil
	}
	if k.found, k.names, err = decode(r.Records); err != nil {
		o.Log.Warn("memory: passed over", "err", err)
		k.found = nil
		return k, nil
	}
	o.Log.Info("memory: going on from what was learnt", "age", r.Age.Round(time.Millisecond).String(), "boxes", len(k.found.Boxes),
		"handed_over", r.Clean && k.found.Handover != nil, "copied_or_rebooted", r.Moved)
	return k, nil
}

// Recall hands what was found to the limiter, as far as it is to be trusted; classes are the
// names of its configuration.
func (k *Keeper) Recall(l Limiter, classes []string) {
	if k.found == nil {
		return
	}
	l.Recall(recall.Aged(k.found, k.how, k.names, classes))
	k.found = nil
}

// Run keeps what the limiter learns until the context ends.
func (k *Keeper) Run(ctx context.Context, l Limiter, classes func() []string) error {
	t := time.NewTicker(k.o.Every)
	defer t.Stop()
	for {
		if names, m := classes(), l.Remember(); slices.Equal(names, classes()) { // else a reload is under way
			k.keep(m, names)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// keep writes what has changed, or all.
func (k *Keeper) keep(m *limiter.Memory, classes []string) {
	all, err := encode(m, classes)
	if err == nil && (len(k.written) == 0 || k.folder.Due()) {
		clear(k.written)
		err = k.folder.Snapshot(func(put func(durable.Record) error) error {
			for _, r := range all {
				if err := put(r); err != nil {
					return err
				}
				k.wrote(r)
			}
			return nil
		})
	} else if err == nil {
		if changed := k.changed(all); len(changed) > 0 {
			err = k.folder.Append(changed)
		}
	}
	if err != nil && !k.broken { // the limiter serves on without
		k.broken = true
		k.o.Log.Warn("memory: nothing is kept any more", "err", err)
	}
}

// wrote notes what stands on the disk, and tells whether that is news.
func (k *Keeper) wrote(r durable.Record) bool {
	id, sum := [2]uint64{uint64(r.Kind), r.Key}, maphash.Bytes(k.seed, r.Value)
	if was, have := k.written[id]; have && was == sum {
		return false
	}
	k.written[id] = sum
	return true
}

func (k *Keeper) changed(all []durable.Record) (changed []durable.Record) {
	for _, r := range all {
		if k.wrote(r) {
			changed = append(changed, r)
		}
	}
	return changed
}

// Close writes what the limiter handed over, and lets go of the folder. The limiter must have
// ended.
func (k *Keeper) Close(l Limiter, classes []string) error {
	all, err := encode(l.HandOver(), classes)
	if err != nil || k.broken || len(k.written) == 0 {
		return k.folder.Abandon()
	}
	if err := k.folder.Close(k.changed(all)); err != nil {
		return fmt.Errorf("memory: %w", err)
	}
	return nil
}

// account is an AccountMemory without its key.
type account struct {
	Plan, Spread, First int
	Balance, Share      float64
}

// handover is a Handover without its accounts.
type handover struct {
	Position, Balancers int
	Plans               []limiter.Plan
	KnownMs             float64
	Accounts            int
}

// encode writes a memory as records.
func encode(m *limiter.Memory, classes []string) (all []durable.Record, err error) {
	add := func(kind byte, key uint64, v any) {
		data, e := json.Marshal(v) // fails on what is no figure: then nothing is kept
		if e != nil && err == nil {
			err = fmt.Errorf("memory: kind %d, key %d: %w", kind, key, e)
		}
		all = append(all, durable.Record{Kind: kind, Key: key, Value: data})
	}
	add(kindClasses, 0, classes)
	add(kindUsual, 0, m.Usual)
	for i := range m.Pools {
		add(kindPool, m.Pools[i].ID, &m.Pools[i])
	}
	for i := range m.Boxes {
		add(kindBox, m.Boxes[i].ID, &m.Boxes[i])
	}
	if h := m.Handover; h != nil {
		add(kindHandover, 0, handover{h.Position, h.Balancers, h.Plans, h.KnownMs, len(h.Accounts)})
		for _, a := range h.Accounts {
			add(kindAccount, a.ID, account{a.Plan, a.Spread, a.First, a.Balance, a.Share})
		}
	}
	return all, err
}

// decode reads what the last record of each kind and key says.
func decode(records []durable.Record) (*limiter.Memory, recall.Names, error) {
	last := map[[2]uint64][]byte{}
	var order [][2]uint64
	for _, r := range records {
		id := [2]uint64{uint64(r.Kind), r.Key}
		if _, have := last[id]; !have {
			order = append(order, id)
		}
		last[id] = r.Value
	}
	m, names := &limiter.Memory{}, recall.Names{}
	accounts := 0
	for _, id := range order {
		var err error
		switch value := last[id]; id[0] {
		case kindClasses:
			err = json.Unmarshal(value, &names)
		case kindUsual:
			err = json.Unmarshal(value, &m.Usual)
		case kindPool:
			var x limiter.PoolMemory
			err = json.Unmarshal(value, &x)
			m.Pools = append(m.Pools, x)
		case kindBox:
			var x limiter.BoxMemory
			err = json.Unmarshal(value, &x)
			m.Boxes = append(m.Boxes, x)
		case kindHandover:
			var x handover
			err = json.Unmarshal(value, &x)
			accounts = x.Accounts
			m.Handover = &limiter.Handover{Position: x.Position, Balancers: x.Balancers, Plans: x.Plans, KnownMs: x.KnownMs}
		} // others are of later versions
		if err != nil {
			return nil, nil, fmt.Errorf("memory: kind %d, key %d: %w", id[0], id[1], err)
		}
	}
	if m.Handover == nil {
		return m, names, nil
	}
	for _, id := range order {
		if id[0] != kindAccount {
			continue
		}
		var x account
		if err := json.Unmarshal(last[id], &x); err != nil {
			return nil, nil, fmt.Errorf("memory: account %016x: %w", id[1], err)
		}
		m.Handover.Accounts = append(m.Handover.Accounts, limiter.AccountMemory{ID: id[1], Plan: x.Plan, Spread: x.Spread, First: x.First, Balance: x.Balance, Share: x.Share})
	}
	if len(m.Handover.Accounts) != accounts { // one that is missing would count as full
		m.Handover = nil
	}
	return m, names, nil
}
