package memory

import (
	"encoding/json"
	"fmt"
	"time"

	"example.org/madderdrum/durable"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/recall"
)

// The kinds of records. A field's meaning never changes within a kind.
const (
	kindClasses  = 1 // names, by their places
	kindUsual    = 2
	kindPool     = 3 // by the pool's number
	kindBox      = 4 // by the box's number
	kindHandover = 5 // behind all accounts of a limiter that has ended
	kindAccount  = 6 // by the account
	kindReserve  = 7 // what the lines of accounts are counted by, while a limiter runs
	kindLine     = 8 // by the account
)

// account is an AccountMemory without its key.
type account struct {
	Plan, Spread, First int
	Balance, Share      float64
	Flow                float64 `json:",omitempty"`
}

// handover is a Handover without its accounts.
type handover struct {
	Position, Balancers int
	Plans               []limiter.Plan
	KnownMs             float64
	Accounts            int
}

// reserveHead is a Handover of a limiter that runs; UpMs is when it was taken, since the
// machine's start.
type reserveHead struct {
	Position, Balancers   int
	Plans                 []limiter.Plan
	KnownMs, HeadMs, UpMs float64
}

// line is an AccountMemory of a limiter that runs.
type line struct {
	account
	UpMs float64
}

// clock says by how much the time since the machine's start is ahead of a limiter's clock.
type clock float64

func clockOf(l Limiter) clock {
	now := l.Now() // first: what lies between counts as later, which gives a successor less
	return clock(float64(durable.Uptime())/float64(time.Millisecond) - now)
}

func (c clock) up(ms float64) float64 { return ms + float64(c) }

func lineOf(a *limiter.AccountMemory, c clock) line {
	return line{account{a.Plan, a.Spread, a.First, a.Balance, a.Share, a.Flow}, c.up(a.AtMs)}
}

// record makes a record. It fails on what is no figure: then nothing is kept.
func record(kind byte, key uint64, v any) (durable.Record, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return durable.Record{}, fmt.Errorf("memory: kind %d, key %d: %w", kind, key, err)
	}
	return durable.Record{Kind: kind, Key: key, Value: data}, nil
}

// encode writes what is learnt as records.
func encode(m *limiter.Memory, classes []string) (all []durable.Record, err error) {
	add := func(kind byte, key uint64, v any) {
		r, e := record(kind, key, v)
		if e != nil && err == nil {
			err = e
		}
		all = append(all, r)
	}
	add(kindClasses, 0, classes)
	add(kindUsual, 0, m.Usual)
	for i := range m.Pools {
		add(kindPool, m.Pools[i].ID, &m.Pools[i])
	}
	for i := range m.Boxes {
		add(kindBox, m.Boxes[i].ID, &m.Boxes[i])
	}
	return all, err
}

// decode reads what the last record of each kind and key says. What was held of quotas is left
// out where it can't count: see durable.Recovered.
func decode(r *durable.Recovered) (*limiter.Memory, recall.Names, error) {
	last := map[[2]uint64][]byte{}
	var order [][2]uint64
	for _, x := range r.Records {
		id := [2]uint64{uint64(x.Kind), x.Key}
		if _, have := last[id]; !have {
			order = append(order, id)
		}
		last[id] = x.Value
	}
	m, names := &limiter.Memory{}, recall.Names{}
	var ended *handover
	var running *reserveHead
	var left, lines []limiter.AccountMemory
	up := float64(r.Up) / float64(time.Millisecond)
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
			err = json.Unmarshal(value, &ended)
		case kindReserve:
			err = json.Unmarshal(value, &running)
		case kindAccount:
			var x account
			err = json.Unmarshal(value, &x)
			left = append(left, x.memory(id[1]))
		case kindLine:
			var x line
			err = json.Unmarshal(value, &x)
			a := x.memory(id[1])
			a.AgoMs = up - x.UpMs
			lines = append(lines, a)
		} // others are of later versions
		if err != nil {
			return nil, nil, fmt.Errorf("memory: kind %d, key %d: %w", id[0], id[1], err)
		}
	}
	switch {
	case ended != nil && r.Clean && len(left) == ended.Accounts: // one that is missing would count as full
		m.Handover = &limiter.Handover{Position: ended.Position, Balancers: ended.Balancers, Plans: ended.Plans, KnownMs: ended.KnownMs, Accounts: left}
	case ended == nil && running != nil && r.Intact && running.HeadMs > 0:
		m.Handover = &limiter.Handover{Position: running.Position, Balancers: running.Balancers, Plans: running.Plans, KnownMs: running.KnownMs,
			HeadMs: running.HeadMs, DownMs: up - running.UpMs, Accounts: lines}
	}
	return m, names, nil
}

func (a *account) memory(id uint64) limiter.AccountMemory {
	return limiter.AccountMemory{ID: id, Plan: a.Plan, Spread: a.Spread, First: a.First, Balance: a.Balance, Share: a.Share, Flow: a.Flow}
}
