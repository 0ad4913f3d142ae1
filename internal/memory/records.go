package memory

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"example.org/madderdrum/durable"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/recall"
)

// Kinds of records. The meaning of a field never changes within a kind.
const (
	kindClasses         = 1 // class names, in the order of their numbers
	kindUsualLatency    = 2
	kindPool            = 3 // keyed by pool ID
	kindBox             = 4 // keyed by server ID
	kindHandover        = 5 // written after all accounts of a stopped limiter
	kindLegacyAccount   = 6 // keyed by account, as JSON; written by old versions (up to landing 9)
	kindRunningHandover = 7 // state that the accounts of a running limiter refer to
	kindRunningAccount  = 8 // keyed by account, of a running limiter: see appendAccount, with the time
	kindFinalAccount    = 9 // keyed by account, of a stopped limiter: the same with time 0
)

// legacyAccount is the JSON form of an AccountMemory in records of kindLegacyAccount.
type legacyAccount struct {
	Plan, Spread, First int
	Balance, Share      float64
}

// appendAccount encodes an account: plan, spread and first as varints, then balance, share, flow and
// the uptime in ms at which it was copied as little-endian floats. The format is compact because
// there may be a million accounts and a start waits until all are read.
func appendAccount(b []byte, a *limiter.AccountMemory, upMs float64) ([]byte, error) {
	for _, n := range []int{a.Plan, a.Spread, a.First} {
		b = binary.AppendUvarint(b, uint64(n))
	}
	for _, x := range []float64{a.Balance, a.Share, a.Flow, upMs} {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return nil, fmt.Errorf("memory: account %016x: %v is no figure", a.ID, x)
		}
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(x))
	}
	return b, nil
}

// errBadAccount reports an account record that cannot be decoded.
var errBadAccount = errors.New("not an account")

// parseAccount decodes the result of appendAccount.
func parseAccount(id uint64, b []byte) (a limiter.AccountMemory, upMs float64, err error) {
	a.ID = id
	for _, to := range []*int{&a.Plan, &a.Spread, &a.First} {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > math.MaxInt32 {
			return a, 0, errBadAccount
		}
		*to, b = int(v), b[n:]
	}
	if len(b) != 4*8 {
		return a, 0, errBadAccount
	}
	for i, to := range []*float64{&a.Balance, &a.Share, &a.Flow, &upMs} {
		*to = math.Float64frombits(binary.LittleEndian.Uint64(b[8*i:]))
	}
	return a, upMs, nil
}

// handover is a limiter.Handover of a stopped limiter with the number of its accounts in their place.
type handover struct {
	Position, Balancers int
	Plans               []limiter.Plan
	KnownMs             float64
	Accounts            int
}

// runningHandover is a limiter.Handover of a running limiter without its accounts. UpMs is the
// machine's uptime at which it was taken.
type runningHandover struct {
	Position, Balancers   int
	Plans                 []limiter.Plan
	KnownMs, HeadMs, UpMs float64
}

// uptimeOffset is the difference in ms between the machine's uptime and a limiter's clock.
type uptimeOffset float64

func measureUptimeOffset(l Limiter) uptimeOffset {
	now := l.Now() // read first: the delay in between makes times look later, which grants a successor less
	return uptimeOffset(float64(durable.Uptime())/float64(time.Millisecond) - now)
}

func (c uptimeOffset) toUptime(ms float64) float64 { return ms + float64(c) }

// newAccountRecord returns the record of an account; it fails on NaN and infinities.
func newAccountRecord(kind byte, a *limiter.AccountMemory, upMs float64) (durable.Record, error) {
	value, err := appendAccount(nil, a, upMs)
	return durable.Record{Kind: kind, Key: a.ID, Value: value}, err
}

// newJSONRecord returns a record with a JSON value. It fails on NaN and infinities, and then nothing
// of that write is stored.
func newJSONRecord(kind byte, key uint64, v any) (durable.Record, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return durable.Record{}, fmt.Errorf("memory: kind %d, key %d: %w", kind, key, err)
	}
	return durable.Record{Kind: kind, Key: key, Value: data}, nil
}

// encode returns the records of the learned state, without handover and accounts.
func encode(m *limiter.Memory, classes []string) (all []durable.Record, err error) {
	add := func(kind byte, key uint64, v any) {
		r, e := newJSONRecord(kind, key, v)
		if e != nil && err == nil {
			err = e
		}
		all = append(all, r)
	}
	add(kindClasses, 0, classes)
	add(kindUsualLatency, 0, m.Usual)
	for i := range m.Pools {
		add(kindPool, m.Pools[i].ID, &m.Pools[i])
	}
	for i := range m.Boxes {
		add(kindBox, m.Boxes[i].ID, &m.Boxes[i])
	}
	return all, err
}

// decode rebuilds the state from the last record of each kind and key. The quota state is left out
// where it cannot be relied on: see durable.Recovered.
func decode(r *durable.Recovered) (*limiter.Memory, recall.ClassNames, error) {
	last := map[[2]uint64][]byte{}
	var order [][2]uint64
	up := float64(r.Uptime) / float64(time.Millisecond)
	var runningAccounts, finalAccounts accountSet
	for _, x := range r.Records {
		if x.Kind == kindRunningAccount || x.Kind == kindFinalAccount {
			set := &runningAccounts
			if x.Kind == kindFinalAccount {
				set = &finalAccounts
			}
			a, upMs, err := parseAccount(x.Key, x.Value)
			if err != nil {
				return nil, nil, fmt.Errorf("memory: kind %d, key %d: %w", x.Kind, x.Key, err)
			}
			a.AgoMs = up - upMs
			set.put(a)
			continue
		}
		id := [2]uint64{uint64(x.Kind), x.Key}
		if _, have := last[id]; !have {
			order = append(order, id)
		}
		last[id] = x.Value
	}
	m, names := &limiter.Memory{}, recall.ClassNames{}
	var ended *handover
	var running *runningHandover
	for _, id := range order {
		var err error
		switch value := last[id]; id[0] {
		case kindClasses:
			err = json.Unmarshal(value, &names)
		case kindUsualLatency:
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
		case kindRunningHandover:
			err = json.Unmarshal(value, &running)
		case kindLegacyAccount:
			var x legacyAccount
			err = json.Unmarshal(value, &x)
			finalAccounts.put(limiter.AccountMemory{ID: id[1], Plan: x.Plan, Spread: x.Spread, First: x.First, Balance: x.Balance, Share: x.Share})
		} // ignore kinds of later versions
		if err != nil {
			return nil, nil, fmt.Errorf("memory: kind %d, key %d: %w", id[0], id[1], err)
		}
	}
	switch {
	case ended != nil && r.Clean && len(finalAccounts.accounts) == ended.Accounts:
		// A handover with a missing account is not used: that account would count as having its full quota.
		m.Handover = &limiter.Handover{Position: ended.Position, Balancers: ended.Balancers, Plans: ended.Plans, KnownMs: ended.KnownMs, Accounts: finalAccounts.accounts}
	case ended == nil && running != nil && r.Intact && running.HeadMs > 0:
		m.Handover = &limiter.Handover{Position: running.Position, Balancers: running.Balancers, Plans: running.Plans, KnownMs: running.KnownMs,
			HeadMs: running.HeadMs, DownMs: up - running.UpMs, Accounts: runningAccounts.accounts}
	}
	return m, names, nil
}

// accountSet holds the latest value of each account, in the order in which accounts first appeared.
type accountSet struct {
	accounts []limiter.AccountMemory
	index    map[uint64]int32
}

func (s *accountSet) put(a limiter.AccountMemory) {
	if s.index == nil {
		s.index = map[uint64]int32{}
	}
	k, have := s.index[a.ID]
	if !have {
		k = int32(len(s.accounts))
		s.index[a.ID], s.accounts = k, append(s.accounts, limiter.AccountMemory{})
	}
	s.accounts[k] = a
}
