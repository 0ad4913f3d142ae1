package custody

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The model consists of an owner, two replicas, a spare limiter, boxes and one request. It covers every
// interleaving of message delivery (late, duplicated, lost), crashes, leases that expire while their
// owner is paused between its last check and its last byte, and successors that are lost midway. It
// runs the real Worker, ReplicaStore and Recovery.

// bounds limits one exploration.
type bounds struct {
	maxTakeovers int // one after the other
	removals     int // of replicas, by the worker on the request
	maxCrashes   int // of replicas
	attempts     int // by the owner, and by each successor
}

// omitted names the rules that an exploration leaves out on purpose.
type omitted struct{ termValid, token, ackBeforeSend, dedupWindow, allReplies bool }

const (
	dedupWindow = time.Second
	replicaA    = "a"
	replicaB    = "b"
	spareD      = "d"
)

var limiterNames = []string{replicaA, replicaB, spareD}

// actor executes the request: the owner or a successor.
type actor struct {
	limiter   string
	token     Token
	worker    *Worker
	action    Action
	group     uint64
	attempts  int
	state     string // "", "tried" (recorded, not checked), "checked", "sent"
	termValid bool   // its lease is valid
	crashed   bool
	inTransit []Record // versions sent to replicas; each may arrive at any time, any number of times
	recovery  *Recovery
	replies   string // replicas that replied to a successor, or were found dead
	// accepted holds the versions that replicas stored; the actor may learn of them at any time, also late.
	accepted map[string]uint64
}

// state is one state of the whole system.
type state struct {
	policy       RepeatPolicy
	actors       []*actor
	stores       map[string]*ReplicaStore // by process; only live ones
	executions   []uint64                 // groups in which the request took effect, in order
	removals     int                      // replicas removed by workers
	dedupExpired bool                     // a group has forgotten its keys
	limits       bounds
	crashCount   int
}

func (a *actor) clone() *actor {
	b := *a
	b.inTransit, b.accepted = slices.Clone(a.inTransit), maps.Clone(a.accepted)
	if a.worker != nil {
		workerCopy := *a.worker
		workerCopy.record = workerCopy.record.clone()
		workerCopy.acked = maps.Clone(a.worker.acked)
		b.worker = &workerCopy
	}
	if a.recovery != nil {
		recoveryCopy := *a.recovery
		recoveryCopy.answered = maps.Clone(a.recovery.answered)
		b.recovery = &recoveryCopy
	}
	return &b
}

func (s *state) clone() *state {
	copied := *s
	copied.actors, copied.stores, copied.executions = nil, map[string]*ReplicaStore{}, slices.Clone(s.executions)
	for _, a := range s.actors {
		copied.actors = append(copied.actors, a.clone())
	}
	for name, b := range s.stores {
		store := NewReplicaStore(b.self, b.maxBytes)
		store.bytes = b.bytes
		store.highestTokens = maps.Clone(b.highestTokens)
		for id, k := range b.stored {
			entry := *k
			entry.Record = k.Record.clone()
			store.stored[id] = &entry
		}
		copied.stores[name] = store
	}
	return &copied
}

// key encodes what matters of a state: equal keys mean equal states.
func (s *state) key() string {
	b := make([]byte, 0, 512)
	num := func(x uint64) { b = append(strconv.AppendUint(b, x, 10), ' ') }
	flag := func(all ...bool) {
		for _, x := range all {
			b = append(b, map[bool]byte{true: '+', false: '-'}[x])
		}
	}
	record := func(r *Record) {
		num(r.Version)
		num(uint64(r.Token))
		for _, k := range r.Replicas {
			b = append(b, k...)
		}
		for _, a := range r.Attempts {
			num(a.DedupGroup)
		}
		b = append(b, ';')
	}
	for _, a := range s.actors {
		b = append(append(append(append(b, a.limiter...), a.action...), a.state...), a.replies...)
		num(a.group)
		num(uint64(a.attempts))
		flag(a.termValid, a.crashed, a.worker != nil, a.recovery != nil)
		if a.worker != nil {
			flag(a.worker.superseded)
			for _, k := range limiterNames {
				num(a.worker.acked[k])
				num(a.accepted[k])
			}
		}
		for i := range a.inTransit {
			record(&a.inTransit[i])
		}
		if a.recovery != nil {
			record(&a.recovery.newest.Record)
			num(uint64(a.recovery.sinceFirstAttempt))
			for _, k := range limiterNames {
				flag(a.recovery.answered[k])
			}
		}
	}
	for _, name := range limiterNames {
		flag(s.stores[name] != nil)
		if store := s.stores[name]; store != nil {
			num(uint64(store.highestTokens["h"]))
			for _, k := range store.stored {
				record(&k.Record)
				num(uint64(k.firstAttemptAt))
			}
		}
	}
	for _, g := range s.executions {
		num(g)
	}
	num(uint64(s.removals))
	num(uint64(s.crashCount))
	flag(s.dedupExpired)
	return string(b)
}

// next returns all states that may follow.
func (s *state) next(without omitted) (states []*state) {
	do := func(f func(n *state)) {
		n := s.clone()
		f(n)
		states = append(states, n)
	}
	now := time.Duration(0)
	if s.dedupExpired {
		now = dedupWindow
	}
	for i, a := range s.actors {
		// Versions in transit reach replicas, also late, and the replies return.
		for v := range a.inTransit {
			for _, name := range a.inTransit[v].Replicas {
				if s.stores[name] == nil || a.accepted[name] >= a.inTransit[v].Version {
					continue
				}
				do(func(n *state) {
					x, record := n.actors[i], n.actors[i].inTransit[v]
					switch refusal := n.stores[name].Put(now, record); {
					case refusal == TakenOver && !without.token:
						x.worker.HandleAck(name, record.Version, true)
					case refusal == "" || refusal == TakenOver:
						x.accepted[name] = max(x.accepted[name], record.Version)
					}
				})
			}
		}
		for name, version := range a.accepted {
			if a.worker.acked[name] < version {
				do(func(n *state) { n.actors[i].worker.HandleAck(name, version, false) })
			}
		}
		if a.crashed { // it takes no further steps; a crash of a replica also loses its store
			continue
		}
		if a.termValid {
			do(func(n *state) { n.actors[i].termValid = false })
		}
		maySend := a.worker != nil && (a.worker.MaySend() || without.ackBeforeSend)
		switch {
		case a.worker == nil:
		case a.state == "" && maySend && a.attempts < s.limits.attempts && a.action != DoNothing:
			for _, group := range []uint64{1, 2} {
				if a.action == SendToGroup && group != a.group || s.policy != Keyed && group > 1 {
					continue
				}
				do(func(n *state) {
					x := n.actors[i]
					x.attempts++
					x.worker.Try(Attempt{Try: x.attempts, DedupGroup: group})
					x.inTransit, x.state, x.group = append(x.inTransit, x.worker.Record()), "tried", group
				})
			}
		case a.state == "tried" && maySend && (a.termValid || without.termValid) && !(a.action == SendToGroup && s.dedupExpired && !without.dedupWindow): // the last check; a long pause may follow
			do(func(n *state) { n.actors[i].state = "checked" })
		case a.state == "checked":
			do(func(n *state) { n.execute(n.actors[i].group); n.actors[i].state = "sent" })
			do(func(n *state) { // or the box did not receive it: the owner may try again
				n.actors[i].state = "sent"
				if n.policy != Keyed && i == 0 {
					n.actors[i].state = ""
				}
			})
		}
		if a.worker != nil && s.removals < s.limits.removals && len(a.worker.record.Replicas) > 0 && a.state != "sent" {
			for _, k := range a.worker.record.Replicas {
				do(func(n *state) {
					x := n.actors[i]
					if x.worker.RemoveReplica(k) {
						x.inTransit = append(x.inTransit, x.worker.Record())
						n.removals++
					}
				})
			}
		}
	}
	// A replica crashes and loses its records.
	if s.crashCount < s.limits.maxCrashes {
		for _, name := range []string{replicaA, replicaB} {
			if s.stores[name] != nil {
				do(func(n *state) {
					delete(n.stores, name)
					n.crashCount++
					for _, a := range n.actors {
						if a.limiter == name {
							a.crashed, a.termValid = true, false
						}
					}
				})
			}
		}
	}
	// A group forgets its keys. Only the box could protect against a worker that is paused between its
	// last check and its last byte for longer than that, so the model excludes the case.
	stopped := slices.ContainsFunc(s.actors, func(a *actor) bool { return a.state == "checked" })
	if s.policy == Keyed && !s.dedupExpired && len(s.executions) > 0 && !stopped {
		do(func(n *state) { n.dedupExpired = true })
	}
	// A successor takes the duty once the previous lease has ended.
	latest := s.actors[len(s.actors)-1]
	if !latest.termValid && len(s.actors) <= s.limits.maxTakeovers {
		do(func(n *state) {
			limiter := []string{spareD, replicaA}[len(n.actors)-1]
			if n.stores[limiter] == nil {
				return
			}
			n.actors = append(n.actors, &actor{limiter: limiter, token: Token(len(n.actors) + 1), termValid: true, recovery: &Recovery{}, accepted: map[string]uint64{}})
		})
	}
	// It asks the replicas, and may decide at any time.
	if i := len(s.actors) - 1; i > 0 && latest.termValid && latest.worker == nil && latest.action == "" {
		for _, name := range limiterNames {
			if strings.Contains(latest.replies, name) {
				continue
			}
			do(func(n *state) {
				x := n.actors[i]
				x.replies += name
				store := n.stores[name]
				if store == nil {
					return
				}
				previous := store.highestTokens["h"]
				replies, ok := store.Claim(now, "h", x.token)
				if without.token {
					store.highestTokens["h"] = previous
				}
				if !ok {
					x.termValid = false
				}
				x.recovery.AddReply(name, nil)
				for k := range replies {
					if without.dedupWindow {
						replies[k].SinceFirstAttempt = 0
					}
					x.recovery.AddReply(name, &replies[k])
				}
			})
		}
		if latest.recovery.newest.ID != "" {
			do(func(n *state) {
				x := n.actors[i]
				f := x.recovery
				if without.allReplies {
					for _, k := range f.newest.Replicas {
						f.answered[k] = true
					}
				}
				x.action, x.group = f.Decide(time.Minute, dedupWindow)
				if x.action == Send || x.action == SendToGroup {
					x.worker = f.TakeOver(x.limiter, x.token, []string{spareD, replicaB})
					x.inTransit = append(x.inTransit, x.worker.Record())
					if b := n.stores[x.limiter]; b != nil && slices.Contains(f.newest.Replicas, x.limiter) {
						b.Claim(now, "h", x.token)
					}
				}
				x.recovery = nil
			})
		}
	}
	return states
}

// execute runs the request on the boxes of a group, which drop a repeat until they forget the key.
func (s *state) execute(group uint64) {
	if s.policy == Keyed && !s.dedupExpired && slices.Contains(s.executions, group) {
		return
	}
	s.executions = append(s.executions, group)
}

// newState returns the state in which the owner has just accepted a request.
func newState(policy RepeatPolicy, limits bounds) *state {
	record := Record{ID: "r", Key: "k", Owner: "h", Charged: true, RepeatPolicy: policy, Replicas: []string{replicaA, replicaB}}
	first := &state{policy: policy, limits: limits, stores: map[string]*ReplicaStore{}}
	for _, name := range limiterNames {
		first.stores[name] = NewReplicaStore(name, 1<<20)
	}
	owner := &actor{limiter: "h", token: 1, termValid: true, worker: NewWorker(record, 1), accepted: map[string]uint64{}}
	owner.inTransit = append(owner.inTransit, owner.worker.Record())
	first.actors = append(first.actors, owner)
	return first
}

// explore visits all reachable states. It returns how many there are, and the first one in which the
// request took effect twice.
func explore(policy RepeatPolicy, limits bounds, without omitted) (states int, twice *state) {
	first := newState(policy, limits)
	seen := map[string]bool{first.key(): true}
	pending := []*state{first}
	for len(pending) > 0 {
		s := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, n := range s.next(without) {
			if len(n.executions) > 1 {
				return len(seen), n
			}
			if k := n.key(); !seen[k] {
				seen[k] = true
				pending = append(pending, n)
			}
		}
	}
	return len(seen), nil
}

func TestNothingTakesEffectTwice(t *testing.T) {
	for _, x := range []struct {
		policy RepeatPolicy
		bounds
	}{
		{Unsafe, bounds{maxTakeovers: 1, removals: 1, attempts: 1}},
		{Unsafe, bounds{maxTakeovers: 1, maxCrashes: 1, attempts: 1}},
		{Unsafe, bounds{maxTakeovers: 1, attempts: 2}},
		{Keyed, bounds{maxTakeovers: 1, attempts: 2}},
	} {
		states, twice := explore(x.policy, x.bounds, omitted{})
		t.Logf("%v, %+v: %d states", x.policy, x.bounds, states)
		if twice != nil {
			t.Errorf("%v: the request took effect in groups %v: %s", x.policy, twice.executions, twice.key())
		}
	}
}

// Random walks cover what is too large to explore exhaustively: two successors, one replica crash and
// one removed replica.
func TestNothingTakesEffectTwiceInWalks(t *testing.T) {
	effects, takeovers := 0, 0
	for seed := range uint64(1500) {
		r := rand.New(rand.NewPCG(seed, 7))
		s := newState([]RepeatPolicy{Unsafe, Keyed}[seed%2], bounds{maxTakeovers: 2, removals: 1, maxCrashes: 1, attempts: 2})
		for range 60 {
			all := s.next(omitted{})
			if len(all) == 0 {
				break
			}
			if s = all[r.IntN(len(all))]; len(s.executions) > 1 {
				t.Fatalf("seed %d: %v: the request took effect in groups %v: %s", seed, s.policy, s.executions, s.key())
			}
		}
		effects += len(s.executions)
		if len(s.actors) > 1 {
			takeovers++
		}
	}
	if effects == 0 || takeovers == 0 {
		t.Errorf("%d requests took effect and %d were taken over: the walks cover nothing", effects, takeovers)
	}
}

// An owner whose clock is wrong may believe for ever that its lease is valid. It does no harm, as
// replicas refuse its writes once they have replied to a successor.
func TestTokensHoldWithoutTerms(t *testing.T) {
	for _, limits := range []bounds{{maxTakeovers: 1, removals: 1, attempts: 1}, {maxTakeovers: 1, maxCrashes: 1, attempts: 1}, {maxTakeovers: 1, attempts: 2}} {
		states, twice := explore(Unsafe, limits, omitted{termValid: true})
		t.Logf("%+v: %d states", limits, states)
		if twice != nil {
			t.Errorf("the request took effect in groups %v: %s", twice.executions, twice.key())
		}
	}
}

// The model must find a double execution for each rule that is left out.
func TestModelFindsOmittedRules(t *testing.T) {
	for name, x := range map[string]struct {
		policy RepeatPolicy
		bounds
		omitted
	}{
		"the lease check and the token":            {Unsafe, bounds{1, 0, 0, 1}, omitted{termValid: true, token: true}},
		"the acknowledgement before the last byte": {Unsafe, bounds{1, 0, 0, 1}, omitted{ackBeforeSend: true}},
		"the deduplication window":                 {Keyed, bounds{1, 0, 0, 1}, omitted{dedupWindow: true}},
		"the replies of all replicas":              {Unsafe, bounds{1, 1, 0, 1}, omitted{allReplies: true}},
	} {
		states, twice := explore(x.policy, x.bounds, x.omitted)
		if twice == nil {
			t.Errorf("without %s no double execution was found in %d states", name, states)
		} else {
			t.Logf("without %s: found after %d states", name, states)
		}
	}
}

// Replicas exclude the owner, prefer other rooms, and are the same on whichever limiter they are computed.
func TestChooseReplicas(t *testing.T) {
	all := []Limiter{{"n0", "a"}, {"n1", "b"}, {"n2", "a"}, {"n3", "b"}, {"n4", "a"}}
	for i := range 100 {
		key := strconv.Itoa(i)
		names := ChooseReplicas(key, all[0], all)
		reversed := slices.Clone(all)
		slices.Reverse(reversed)
		if len(names) != 2 || names[0] == names[1] || !slices.Equal(names, ChooseReplicas(key, all[0], reversed)) {
			t.Fatalf("%s: %v", key, names)
		}
		for _, n := range names {
			if n != "n1" && n != "n3" {
				t.Errorf("%s: %s is in the owner's room", key, n)
			}
		}
	}
	if names := ChooseReplicas("k", all[0], all[:3]); !slices.Equal(names, []string{"n1", "n2"}) {
		t.Errorf("with one limiter in another room: %v", names)
	}
	if names := ChooseReplicas("k", all[0], all[:1]); len(names) != 0 {
		t.Errorf("without other limiters: %v", names)
	}
}

// A store enforces its size limit, finds records by the client's key, and drops finished records.
func TestReplicaStore(t *testing.T) {
	b := NewReplicaStore("a/1", 4*(recordOverheadBytes+1000))
	r := Record{ID: "r0", Key: "k", Account: 7, Owner: "h", Token: 1, Version: 1, Replicas: []string{"a/1"}, Body: make([]byte, 900)}
	for _, id := range []string{"r1", "r2", "r3"} {
		x := r
		x.ID, x.Key = id, id
		if got := b.Put(0, x); got != "" {
			t.Errorf("%s: %q", id, got)
		}
	}
	big, other := r, r
	big.ID, big.Body = "big", make([]byte, 5000)
	other.ID, other.Replicas = "other", []string{"a/0"} // an earlier process of this limiter
	if got := b.Put(0, big); got != Full {
		t.Errorf("too large: %q", got)
	}
	if got := b.Put(0, other); got != WrongProcess {
		t.Errorf("addressed to another process: %q", got)
	}
	bytesBefore := b.Bytes()
	if got := b.Put(0, r); got != "" || b.Bytes() <= bytesBefore {
		t.Errorf("%q, %d bytes after %d", got, b.Bytes(), bytesBefore)
	}
	h := NewWorker(r, 1) // its version is 2
	h.Finish(Result{Status: 200, Response: []byte("sent")})
	if got := b.Put(time.Second, h.Record()); got != "" {
		t.Error(got)
	}
	if got := b.Put(time.Second, r); got != "" { // an older version, late
		t.Error(got)
	}
	if x, ok := b.FindByKey(7, "k"); !ok || x.Result == nil || string(x.Result.Response) != "sent" {
		t.Errorf("%+v %v", x, ok)
	}
	if _, ok := b.FindByKey(8, "k"); ok {
		t.Error("the record of another account was found")
	}
	if records, ok := b.Claim(time.Second, "h", 2); !ok || len(records) != 4 {
		t.Errorf("%d records, %v", len(records), ok)
	}
	if _, ok := b.Claim(time.Second, "h", 1); ok {
		t.Error("a successor with a lower token got records")
	}
	if got := b.Put(time.Second, r); got != TakenOver {
		t.Errorf("a write by the previous owner: %q", got)
	}
	b.DeleteFinished(time.Second+time.Minute, time.Minute)
	if _, ok := b.FindByKey(7, "k"); ok || b.Bytes() != bytesBefore {
		t.Errorf("%d bytes of %d", b.Bytes(), bytesBefore)
	}
}
