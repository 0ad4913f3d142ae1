// Package configstore is the host of the store of configuration: it keeps an acceptor's record
// on disk, holds rounds of ballots for the orders that come to it, learns what is chosen and
// proves at intervals that nothing newer can have been. The decisions are in the packages
// paxos and controlstate.
package configstore

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/controlstate"
	"example.org/madderdrum/internal/boot"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/internal/wait"
	"example.org/madderdrum/paxos"
)

const (
	confirmEvery = 400 * time.Millisecond
	callWithin   = 400 * time.Millisecond // one message of a round
	// roundMost bounds a round from its first message to the second. A machine that lost its
	// disk waits restoreAfter, which is longer, before it reads from others: no promise that
	// it has forgotten is counted in a round that still runs.
	roundMost    = 800 * time.Millisecond
	restoreAfter = 2 * time.Second
	restoreEvery = 200 * time.Millisecond
	orderWithin  = 2500 * time.Millisecond
	// Another's value that is accepted and not known to be chosen is left to its proposer so
	// long.
	resolveAfter = 250 * time.Millisecond
)

// Store is one store of configuration.
type Store struct {
	set    *boot.Settings
	log    logrus.FieldLogger
	caller *rpc.Caller
	first  []string // the voters that everyone began with: IP numbers, sorted
	life   uint64
	node   uint64 // of its ballots: no two stores share one
	orders chan *pending

	accepting sync.Mutex // round the acceptor and the disk
	acceptor  paxos.Acceptor
	disk      *disk

	mu      sync.Mutex // round what follows
	durable paxos.Record
	chosen  paxos.Ballot
	value   []byte
	reg     *controlstate.Register
	changed chan struct{} // closed when reg changes
	proved  time.Time     // nothing newer had been chosen then
	number  uint64        // of the latest ballot seen
	hint    [][]string    // sets of voters that a round has met, newer than those of reg
	ahead   time.Time     // since when another's value is accepted and not chosen, as far as known
}

type pending struct {
	orders []controlstate.Order
	done   chan []controlstate.Outcome // nil: no majority answered
	until  time.Time
}

// Calls of a configstore, which other packages make.
const (
	CallChange  = "configstore.change"
	CallWatch   = "configstore.watch"
	CallFetch   = "configstore.fetch"
	callPrepare = "configstore.prepare"
	callAccept  = "configstore.accept"
	callRead    = "configstore.read"
	callChosen  = "configstore.chosen"
)

// Change gives orders.
type Change struct {
	Orders []controlstate.Order `cbor:"1,keyasint"`
}

// Changed is the answer. None is there where no majority answered in time.
type Changed struct {
	Outcomes []controlstate.Outcome `cbor:"1,keyasint,omitempty"`
}

// Watch waits for a version after Seq, for HoldMs at most.
type Watch struct {
	Seq    uint64 `cbor:"1,keyasint"`
	HoldMs uint64 `cbor:"2,keyasint"`
}

// Watched is the answer.
type Watched struct {
	Register *controlstate.Register `cbor:"1,keyasint,omitempty"` // nil: none after Seq
	// ProofMs is how long ago a majority had chosen nothing newer; Proven is false where that
	// is not known at all.
	ProofMs uint64 `cbor:"2,keyasint,omitempty"`
	Proven  bool   `cbor:"3,keyasint,omitempty"`
	HeldMs  uint64 `cbor:"4,keyasint,omitempty"`
}

type chosenCall struct {
	Ballot paxos.Ballot `cbor:"1,keyasint"`
	Value  []byte       `cbor:"2,keyasint,omitempty"`
}

type chosenAnswer struct {
	Lacks bool `cbor:"1,keyasint,omitempty"`
}

// Run serves until the context ends.
func Run(ctx context.Context, set *boot.Settings, log logrus.FieldLogger) error {
	d, k, err := openDisk(set.DataDir)
	if err != nil {
		return err
	}
	b := &Store{set: set, log: log, caller: rpc.NewCaller(), disk: d, life: rand.Uint64(), node: nodeOf(set.IP),
		orders: make(chan *pending, 64), reg: &controlstate.Register{}, changed: make(chan struct{})}
	b.first = k.voters
	if b.first == nil {
		b.first = slices.Clone(set.Cores())
		slices.Sort(b.first)
		b.first = slices.Compact(b.first)
	}
	b.acceptor.Record = k.record
	switch {
	case k.found:
	case set.Bootstrap:
		if err := d.begin(&b.acceptor.Record, b.first); err != nil {
			return fmt.Errorf("configstore: begin the log: %w", err)
		}
	default:
		b.acceptor.Record.Blank = true
	}
	b.durable = b.acceptor.Record
	l, err := net.Listen("tcp", set.Internal(set.IP, boot.ConfigStorePort))
	if err != nil {
		return fmt.Errorf("configstore: listen for other processes: %w", err)
	}
	log.WithFields(logrus.Fields{"voters": len(b.first), "votes": slices.Contains(b.first, set.IP), "blank": b.acceptor.Record.Blank,
		"accepted": b.acceptor.Record.Accepted.Number}).Info("begins")
	go rpc.Serve(ctx, l, map[string]rpc.Handler{
		callPrepare: rpc.Taking(b.prepare), callAccept: rpc.Taking(b.accept), callRead: rpc.Taking(b.read), callChosen: rpc.Taking(b.hear),
		CallChange: rpc.Taking(b.change), CallWatch: rpc.Taking(b.watch), CallFetch: rpc.Asking(b.fetch),
		rpc.CallStatus: rpc.Asking(b.status),
	})
	if b.acceptor.Record.Blank {
		go b.restore(ctx)
	}
	if set.Bootstrap && !slices.Contains(b.first, set.IP) {
		go b.takeSeat(ctx)
	}
	go b.confirm(ctx)
	b.propose(ctx)
	return nil
}

// nodeOf is a store's number in ballots.
func nodeOf(ip string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(ip))
	return h.Sum64()
}

var errSick = errors.New("the disk takes no record")

// vote has a changed record written down, or takes the change back.
func (b *Store) vote(do func() (paxos.Reply, bool)) (paxos.Reply, error) {
	b.accepting.Lock()
	defer b.accepting.Unlock()
	before := b.acceptor.Record
	r, write := do()
	if write {
		if err := b.disk.write(&b.acceptor.Record, &before, b.first); err != nil {
			b.acceptor.Record = before
			b.log.WithField("err", err).Warn("disk fails")
			return paxos.Reply{}, errSick
		}
	}
	b.mu.Lock()
	b.durable = b.acceptor.Record
	b.number = max(b.number, b.durable.Promised.Number)
	b.mu.Unlock()
	return r, nil
}

func (b *Store) prepare(_ context.Context, m paxos.Prepare) (any, error) {
	return b.votePrepare(m)
}

func (b *Store) votePrepare(m paxos.Prepare) (paxos.Reply, error) {
	return b.vote(func() (paxos.Reply, bool) { return b.acceptor.Prepare(m) })
}

func (b *Store) accept(_ context.Context, m paxos.Accept) (any, error) {
	return b.voteAccept(m)
}

func (b *Store) voteAccept(m paxos.Accept) (paxos.Reply, error) {
	return b.vote(func() (paxos.Reply, bool) { return b.acceptor.Accept(m) })
}

// readCall asks what is accepted.
type readCall struct {
	Known paxos.Ballot `cbor:"1,keyasint"`
}

func (b *Store) read(_ context.Context, m readCall) (any, error) {
	return b.readDurable(m.Known), nil
}

// readDurable tells what is safe on disk, without waiting for what is being written.
func (b *Store) readDurable(known paxos.Ballot) paxos.Reply {
	b.mu.Lock()
	a := paxos.Acceptor{Record: b.durable}
	b.mu.Unlock()
	return a.Read(known)
}

// hear takes in what another's round has chosen.
func (b *Store) hear(_ context.Context, m chosenCall) (any, error) {
	if m.Value == nil {
		r := b.readDurable(paxos.Ballot{})
		if r.Accepted != m.Ballot {
			b.mu.Lock()
			defer b.mu.Unlock()
			return chosenAnswer{Lacks: m.Ballot.Compare(b.chosen) > 0}, nil
		}
		m.Value = r.Value
	}
	b.learn(m.Ballot, m.Value)
	return chosenAnswer{}, nil
}

// learn takes in a chosen value.
func (b *Store) learn(ballot paxos.Ballot, value []byte) {
	var reg controlstate.Register
	if err := rpc.Decode(value, &reg); err != nil {
		panic(fmt.Sprintf("configstore: a chosen value can't be read: %v", err)) // a broken invariant
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ballot.Compare(b.chosen) <= 0 {
		return
	}
	b.chosen, b.value, b.hint = ballot, value, nil
	b.number = max(b.number, ballot.Number)
	if reg.Seq == b.reg.Seq {
		return
	}
	b.reg = &reg
	close(b.changed)
	b.changed = make(chan struct{})
	b.log.WithFields(logrus.Fields{"seq": reg.Seq, "version": reg.Version, "ballot": ballot.Number}).Info("version is chosen")
}

// answered is a voter's answer to a message of a round.
type answered struct {
	from  string
	reply paxos.Reply
	err   error
}

// sets are the sets of voters to count by, as far as known here. The mutex is held.
func (b *Store) sets() [][]string {
	if b.hint != nil {
		return b.hint
	}
	return b.reg.Sets(b.first)
}

// union are the voters of all sets, each once.
func union(sets [][]string) (voters []string) {
	for _, s := range sets {
		voters = append(voters, s...)
	}
	slices.Sort(voters)
	return slices.Compact(voters)
}

// ask sends a message to voters, which may be this store itself; answers come as they are
// there.
func (b *Store) ask(ctx context.Context, voters []string, call string, m any, self func() (paxos.Reply, error)) <-chan answered {
	out := make(chan answered, len(voters))
	for _, ip := range voters {
		go func() {
			var r paxos.Reply
			var err error
			if ip == b.set.IP {
				r, err = self()
			} else {
				err = b.caller.Call(ctx, b.set.Internal(ip, boot.ConfigStorePort), call, m, &r, callWithin)
			}
			out <- answered{ip, r, err}
		}()
	}
	return out
}

// propose holds a round for the orders that wait, one round at a time.
func (b *Store) propose(ctx context.Context) {
	for {
		var all []*pending
		select {
		case <-ctx.Done():
			return
		case p := <-b.orders:
			all = append(all, p)
		}
		for more := true; more; {
			select {
			case p := <-b.orders:
				all = append(all, p)
			default:
				more = false
			}
		}
		b.rounds(ctx, all)
	}
}

// rounds holds rounds until one succeeds or nobody waits any more.
func (b *Store) rounds(ctx context.Context, all []*pending) {
	var until time.Time
	for _, p := range all {
		if p.until.After(until) {
			until = p.until
		}
	}
	for ctx.Err() == nil && time.Now().Before(until) {
		if b.round(ctx, all) {
			return
		}
		wait.Sleep(ctx, 5*time.Millisecond+rand.N(60*time.Millisecond))
	}
	for _, p := range all {
		p.done <- nil
	}
}

// round holds one round, and tells whether what is due was answered.
func (b *Store) round(ctx context.Context, all []*pending) bool {
	b.mu.Lock()
	b.number++
	ballot := paxos.Ballot{Number: b.number, Node: b.node, Life: b.life}
	known, own := b.chosen, b.value
	sets := b.sets()
	b.mu.Unlock()
	r, begun := paxos.NewRound(ballot, sets...), time.Now()
	voters := union(sets)
	prep := paxos.Prepare{Ballot: ballot, Known: known}
	answers := b.ask(ctx, voters, callPrepare, prep, func() (paxos.Reply, error) { return b.votePrepare(prep) })
	if !gather(answers, len(voters), callWithin, r.Promise) {
		b.met(r)
		return false
	}
	newest, value := r.Newest()
	if value == nil && newest == known {
		value = own
	}
	reg := &controlstate.Register{}
	if len(value) > 0 {
		if err := rpc.Decode(value, reg); err != nil {
			panic(fmt.Sprintf("configstore: an accepted value can't be read: %v", err)) // a broken invariant
		}
	}
	var batches [][]controlstate.Order
	for _, p := range all {
		batches = append(batches, p.orders)
	}
	turn := reg.Propose(b.first, sets, newest == known, batches)
	if turn.Need != nil {
		b.mu.Lock()
		b.hint = turn.Need
		b.mu.Unlock()
		return false
	}
	if !turn.Changed && (r.Unanimous() || newest == paxos.Ballot{}) {
		if newest != (paxos.Ballot{}) {
			b.learn(newest, value)
		}
	} else {
		next := rpc.Encode(reg)
		if time.Since(begun) > roundMost {
			return false
		}
		if turn.Brings != nil {
			r.Widen(turn.Brings)
			voters = union(append(slices.Clone(sets), turn.Brings))
		}
		acc := paxos.Accept{Ballot: ballot, Value: next}
		answers = b.ask(ctx, voters, callAccept, acc, func() (paxos.Reply, error) { return b.voteAccept(acc) })
		if !gather(answers, len(voters), callWithin, r.Vote) {
			b.met(r)
			return false
		}
		b.learn(ballot, next)
		b.tell(ctx, voters, ballot, next)
	}
	for i, p := range all {
		p.done <- turn.Outcomes[i]
	}
	return true
}

// gather feeds so many answers until one completes the half of the round.
func gather(answers <-chan answered, n int, within time.Duration, take func(string, paxos.Reply) bool) bool {
	late := time.NewTimer(within + 50*time.Millisecond)
	defer late.Stop()
	for range n {
		select {
		case a := <-answers:
			if a.err == nil && take(a.from, a.reply) {
				return true
			}
		case <-late.C:
			return false
		}
	}
	return false
}

// met takes note of the ballots that were ahead.
func (b *Store) met(r *paxos.Round) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number = max(b.number, r.After()-1)
}

// tell tells the other voters what is chosen. Those that have accepted it need its ballot
// alone.
func (b *Store) tell(ctx context.Context, voters []string, ballot paxos.Ballot, value []byte) {
	for _, ip := range voters {
		if ip == b.set.IP {
			continue
		}
		go func() {
			to := b.set.Internal(ip, boot.ConfigStorePort)
			var a chosenAnswer
			if b.caller.Call(ctx, to, callChosen, chosenCall{Ballot: ballot}, &a, callWithin) == nil && a.Lacks {
				b.caller.Call(ctx, to, callChosen, chosenCall{Ballot: ballot, Value: value}, &a, callWithin)
			}
		}()
	}
}

// confirm proves at intervals that nothing newer is chosen, and completes what another has
// left half done.
func (b *Store) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		b.mu.Lock()
		known := b.chosen
		sets, counted := b.sets(), b.reg.Sets(b.first)
		b.mu.Unlock()
		voters := union(sets)
		answers := b.ask(ctx, voters, callRead, readCall{known}, func() (paxos.Reply, error) { return b.readDurable(known), nil })
		agree, proven, ahead := map[string]bool{}, false, false
		told := map[string]paxos.Ballot{}
		gather(answers, len(voters), callWithin, func(from string, r paxos.Reply) bool {
			if !r.OK {
				return false
			}
			switch c := r.Accepted.Compare(known); {
			case c <= 0:
				agree[from] = true
			default:
				ahead = true
				told[from] = r.Accepted
				b.hear1(r.Accepted, r.Value, told)
			}
			proven = paxos.Agreed(counted, func(v string) bool { return agree[v] })
			return proven
		})
		b.mu.Lock()
		if proven && b.chosen == known && begun.After(b.proved) {
			b.proved = begun
		}
		stuck := false
		switch {
		case !ahead || b.chosen != known:
			b.ahead = time.Time{}
		case b.ahead.IsZero():
			b.ahead = begun
		default:
			stuck = time.Since(b.ahead) > resolveAfter
		}
		b.mu.Unlock()
		if stuck {
			b.give(ctx, nil, orderWithin/2)
		}
		b.mu.Lock()
		learnt := b.chosen != known
		b.mu.Unlock()
		pause := confirmEvery
		if learnt {
			pause = 0 // the proof is still to come
		} else if ahead {
			pause = resolveAfter / 2
		}
		wait.Sleep(ctx, pause-time.Since(begun)+rand.N(pause/10+time.Millisecond))
	}
}

// hear1 learns a value that those who told of it have chosen, whoever asked for it: a majority
// of each set that it counts by itself has accepted it.
func (b *Store) hear1(ballot paxos.Ballot, value []byte, told map[string]paxos.Ballot) {
	var reg controlstate.Register
	if len(value) == 0 || rpc.Decode(value, &reg) != nil {
		return
	}
	sets := reg.Sets(b.first)
	if paxos.Agreed(sets, func(v string) bool { return told[v] == ballot }) {
		b.learn(ballot, value)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.EqualFunc(sets, b.sets(), slices.Equal) { // others have to be asked too
		b.hint = sets
	}
}

// takeSeat asks to be let vote: only the first three machines are named to all at the start.
func (b *Store) takeSeat(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, 300*time.Millisecond+rand.N(200*time.Millisecond))
		b.mu.Lock()
		seated := slices.Contains(b.reg.Voters, b.set.IP) && len(b.reg.Prior) == 0
		b.mu.Unlock()
		if seated {
			return
		}
		b.give(ctx, []controlstate.Order{{Kind: controlstate.ChangeVoters, Seats: []string{b.set.IP}, First: b.first}}, orderWithin)
	}
}

// give has orders carried out. It returns nil when no majority answered in time.
func (b *Store) give(ctx context.Context, orders []controlstate.Order, within time.Duration) []controlstate.Outcome {
	p := &pending{orders: orders, done: make(chan []controlstate.Outcome, 1), until: time.Now().Add(within)}
	select {
	case b.orders <- p:
	default:
		return nil
	}
	select {
	case out := <-p.done:
		return out
	case <-ctx.Done():
		return nil
	}
}

func (b *Store) change(ctx context.Context, m Change) (any, error) {
	for i := range m.Orders {
		if o := &m.Orders[i]; o.Kind == controlstate.ChangeVoters && len(o.First) == 0 {
			o.First = b.first
		}
	}
	return Changed{b.give(ctx, m.Orders, orderWithin)}, nil
}

// fetch reads the register by a round: what it answers is chosen, and nothing newer was when
// it was asked.
func (b *Store) fetch(ctx context.Context) (any, error) {
	p := &pending{done: make(chan []controlstate.Outcome, 1), until: time.Now().Add(orderWithin), orders: []controlstate.Order{{Kind: controlstate.RegisterLimiters}}}
	b.orders <- p
	select {
	case out := <-p.done:
		if out == nil {
			return nil, errors.New("no majority answers")
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Watched{Register: b.reg}, nil
}

func (b *Store) watch(ctx context.Context, m Watch) (any, error) {
	begun := time.Now()
	late := time.NewTimer(time.Duration(m.HoldMs) * time.Millisecond)
	defer late.Stop()
	for waiting := true; waiting; {
		b.mu.Lock()
		changed, have := b.changed, b.reg.Seq > m.Seq
		b.mu.Unlock()
		if have {
			break
		}
		select {
		case <-changed:
		case <-late.C:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := Watched{HeldMs: uint64(time.Since(begun).Milliseconds())}
	if b.reg.Seq > m.Seq {
		w.Register = b.reg
	}
	if !b.proved.IsZero() {
		w.Proven, w.ProofMs = true, uint64(time.Since(b.proved).Milliseconds())+1
	}
	return w, nil
}

// status tells how this store stands.
func (b *Store) status(context.Context) (any, error) {
	b.accepting.Lock()
	sick := b.disk.sick
	b.accepting.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	proof := "none"
	if !b.proved.IsZero() {
		proof = time.Since(b.proved).Round(time.Millisecond).String()
	}
	return rpc.Status{Lines: []string{
		fmt.Sprintf("program=configstore node=%s zone=%s voters=%v votes=%v blank=%v disk_fails=%v", b.set.Node, b.set.Zone, union(b.sets()), slices.Contains(union(b.sets()), b.set.IP), b.durable.Blank, sick),
		fmt.Sprintf("register seq=%d version=r%d revoked=%d evacuated=%v limiters=%d", b.reg.Seq, b.reg.Version, b.reg.Revoked, b.reg.Evac, len(b.reg.Posts)),
		fmt.Sprintf("ballots promised=%d accepted=%d chosen=%d proof_age=%s", b.durable.Promised.Number, b.durable.Accepted.Number, b.chosen.Number, proof),
	}}, nil
}

// restore reads from the others what a lost disk held before this machine votes.
func (b *Store) restore(ctx context.Context) {
	wait.Sleep(ctx, restoreAfter)
	for ctx.Err() == nil {
		rest := paxos.NewRestore(b.set.Tolerate)
		asked := map[string]bool{b.set.IP: true}
		sets := [][]string{b.first}
		for more := true; more; {
			more = false
			for _, ip := range union(sets) {
				if asked[ip] {
					continue
				}
				asked[ip], more = true, true
				var r paxos.Reply
				if b.caller.Call(ctx, b.set.Internal(ip, boot.ConfigStorePort), callRead, readCall{}, &r, callWithin) == nil {
					rest.Read(ip, r)
				}
			}
			var reg controlstate.Register
			if v := rest.Newest().Value; len(v) > 0 && rpc.Decode(v, &reg) == nil {
				sets = reg.Sets(b.first)
			}
		}
		if rec, ok := rest.Done(sets...); ok {
			_, err := b.vote(func() (paxos.Reply, bool) {
				b.acceptor.Record = rec
				return paxos.Reply{}, true
			})
			if err == nil {
				b.log.WithField("accepted", rec.Accepted.Number).Info("votes again after a lost disk")
				return
			}
		}
		wait.Sleep(ctx, restoreEvery)
	}
}
