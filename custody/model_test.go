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

// The model: a holder, two keepers, a spare limiter, boxes, and one request, with every
// interleaving of what is delivered (late, twice, never), of crashes, of terms that end while
// their owner is stopped between its last check and its last byte, and of takers that are lost
// in the middle. It runs the real Hold, Book and Findings.

// bounds are those of one exploration.
type bounds struct {
	maxTakeovers int // one after the other
	maxRemovals  int // of keepers, by whoever works on the request
	maxCrashes   int // of keepers
	maxAttempts  int // of the holder, and of each taker
}

// wrong is what is left out on purpose.
type omitted struct{ termCheck, tokenCheck, ackBeforeSend, dedupExpiry, allReplies bool }

const (
	dedupWindow = time.Second
	replicaA    = "a"
	replicaB    = "b"
	spareD      = "d"
)

var limiterNames = []string{replicaA, replicaB, spareD}

// actor is one that works on the request: the holder, or a taker.
type actor struct {
	name      string
	token     Token
	worker    *Worker
	action    Action
	group     uint64
	attempts  int
	state     string   // "", "tried" (noted, not checked), "checked", "sent"
	termValid bool     // its term holds
	crashed   bool     // its process has ended
	inTransit []Record // versions that are on their way to keepers, any time, any number of times
	recovery  *Recovery
	contacted string // keepers that have told a taker, or were found dead
	// accepted is what keepers have noted; the actor may learn of it at any time, also late.
	accepted map[string]uint64
}

// state is one state of the world.
type state struct {
	policy       RepeatPolicy
	actors       []*actor
	stores       map[string]*ReplicaStore // by process: those that live
	executions   []uint64                 // groups that it took effect in, in order; drops of a group are not in it
	removals     int                      // holders' drops of keepers
	dedupExpired bool                     // a group has forgotten
	limits       bounds
	crashes      int
}

func (a *actor) clone() *actor {
	b := *a
	b.inTransit, b.accepted = slices.Clone(a.inTransit), maps.Clone(a.accepted)
	if a.worker != nil {
		worker := *a.worker
		worker.record = worker.record.clone()
		worker.acked = maps.Clone(a.worker.acked)
		b.worker = &worker
	}
	if a.recovery != nil {
		recovery := *a.recovery
		recovery.answered = maps.Clone(a.recovery.answered)
		b.recovery = &recovery
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
		for id, k := range b.records {
			stored := *k
			stored.Record = k.Record.clone()
			store.records[id] = &stored
		}
		copied.stores[name] = store
	}
	return &copied
}

// key is what two equal states have in common.
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
		b = append(append(append(append(b, a.name...), a.action...), a.state...), a.contacted...)
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
			for _, k := range store.records {
				record(&k.Record)
				num(uint64(k.firstAttemptAt))
			}
		}
	}
	for _, g := range s.executions {
		num(g)
	}
	num(uint64(s.removals))
	num(uint64(s.crashes))
	flag(s.dedupExpired)
	return string(b)
}

// next are all states that may follow.
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
		// What is on its way comes to keepers, late ones as well, and their answers back.
		for v := range a.inTransit {
			for _, name := range a.inTransit[v].Replicas {
				if s.stores[name] == nil || a.accepted[name] >= a.inTransit[v].Version {
					continue
				}
				do(func(n *state) {
					x, r := n.actors[i], n.actors[i].inTransit[v]
					switch refusal := n.stores[name].Put(now, r); {
					case refusal == TakenOver && !without.tokenCheck:
						x.worker.HandleAck(name, r.Version, true)
					case refusal == "" || refusal == TakenOver:
						x.accepted[name] = max(x.accepted[name], r.Version)
					}
				})
			}
		}
		for name, version := range a.accepted {
			if a.worker.acked[name] < version {
				do(func(n *state) { n.actors[i].worker.HandleAck(name, version, false) })
			}
		}
		if a.crashed { // as one that never does anything again, but for a keeper that dies
			continue
		}
		if a.termValid {
			do(func(n *state) { n.actors[i].termValid = false })
		}
		maySend := a.worker != nil && (a.worker.MaySend() || without.ackBeforeSend)
		switch {
		case a.worker == nil:
		case a.state == "" && maySend && a.attempts < s.limits.maxAttempts && a.action != DoNothing:
			for _, group := range []uint64{1, 2} {
				if a.action == SendToGroup && group != a.group || s.policy != Keyed && group > 1 {
					continue
				}
				do(func(n *state) {
					x := n.actors[i]
					x.attempts++
					x.worker.AddAttempt(Attempt{Number: x.attempts, DedupGroup: group})
					x.inTransit, x.state, x.group = append(x.inTransit, x.worker.Record()), "tried", group
				})
			}
		case a.state == "tried" && maySend && (a.termValid || without.termCheck) && !(a.action == SendToGroup && s.dedupExpired && !without.dedupExpiry): // the last check; it may be stopped behind it for long
			do(func(n *state) { n.actors[i].state = "checked" })
		case a.state == "checked":
			do(func(n *state) { n.execute(n.actors[i].group); n.actors[i].state = "sent" })
			do(func(n *state) { // or the box took nothing: the holder may try again
				n.actors[i].state = "sent"
				if n.policy != Keyed && i == 0 {
					n.actors[i].state = ""
				}
			})
		}
		if a.worker != nil && s.removals < s.limits.maxRemovals && len(a.worker.record.Replicas) > 0 && a.state != "sent" {
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
	// A keeper dies, with what it knew.
	if s.crashes < s.limits.maxCrashes {
		for _, name := range []string{replicaA, replicaB} {
			if s.stores[name] != nil {
				do(func(n *state) {
					delete(n.stores, name)
					n.crashes++
					for _, a := range n.actors {
						if a.name == name {
							a.crashed, a.termValid = true, false
						}
					}
				})
			}
		}
	}
	// A group forgets. That somebody is stopped between its last check and its last byte for longer
	// than that can't be held against by anything but the box: it is left out here.
	stopped := slices.ContainsFunc(s.actors, func(a *actor) bool { return a.state == "checked" })
	if s.policy == Keyed && !s.dedupExpired && len(s.executions) > 0 && !stopped {
		do(func(n *state) { n.dedupExpired = true })
	}
	// Somebody takes the duty once the term of the one before has ended.
	newest := s.actors[len(s.actors)-1]
	if !newest.termValid && len(s.actors) <= s.limits.maxTakeovers {
		do(func(n *state) {
			me := []string{spareD, replicaA}[len(n.actors)-1]
			if n.stores[me] == nil {
				return
			}
			n.actors = append(n.actors, &actor{name: me, token: Token(len(n.actors) + 1), termValid: true, recovery: &Recovery{}, accepted: map[string]uint64{}})
		})
	}
	// It asks the keepers, and decides when it likes.
	if i := len(s.actors) - 1; i > 0 && newest.termValid && newest.worker == nil && newest.action == "" {
		for _, name := range limiterNames {
			if strings.Contains(newest.contacted, name) {
				continue
			}
			do(func(n *state) {
				x := n.actors[i]
				x.contacted += name
				store := n.stores[name]
				if store == nil {
					return
				}
				previous := store.highestTokens["h"]
				records, ok := store.Claim(now, "h", x.token)
				if without.tokenCheck {
					store.highestTokens["h"] = previous
				}
				if !ok {
					x.termValid = false
				}
				x.recovery.AddReply(name, nil)
				for k := range records {
					if without.dedupExpiry {
						records[k].SinceFirstAttempt = 0
					}
					x.recovery.AddReply(name, &records[k])
				}
			})
		}
		if newest.recovery.newest.ID != "" {
			do(func(n *state) {
				x := n.actors[i]
				recovery := x.recovery
				if without.allReplies {
					for _, k := range recovery.newest.Replicas {
						recovery.answered[k] = true
					}
				}
				x.action, x.group = recovery.Decide(time.Minute, dedupWindow)
				if x.action == Send || x.action == SendToGroup {
					x.worker = recovery.TakeOver(x.name, x.token, []string{spareD, replicaB})
					x.inTransit = append(x.inTransit, x.worker.Record())
					if b := n.stores[x.name]; b != nil && slices.Contains(recovery.newest.Replicas, x.name) {
						b.Claim(now, "h", x.token)
					}
				}
				x.recovery = nil
			})
		}
	}
	return states
}

// run has the boxes of a group take it, which drop a repeat while they remember.
func (s *state) execute(group uint64) {
	if s.policy == Keyed && !s.dedupExpired && slices.Contains(s.executions, group) {
		return
	}
	s.executions = append(s.executions, group)
}

// begin is a request that its holder has just taken.
func newState(policy RepeatPolicy, limits bounds) *state {
	record := Record{ID: "r", Key: "k", Owner: "h", Charged: true, Repeat: policy, Replicas: []string{replicaA, replicaB}}
	first := &state{policy: policy, limits: limits, stores: map[string]*ReplicaStore{}}
	for _, name := range limiterNames {
		first.stores[name] = NewReplicaStore(name, 1<<20)
	}
	owner := &actor{name: "h", token: 1, termValid: true, worker: NewWorker(record, 1), accepted: map[string]uint64{}}
	owner.inTransit = append(owner.inTransit, owner.worker.Record())
	first.actors = append(first.actors, owner)
	return first
}

// explore plays all states and returns how many there are, and the first in which it took effect
// twice.
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
		{Unsafe, bounds{maxTakeovers: 1, maxRemovals: 1, maxAttempts: 1}},
		{Unsafe, bounds{maxTakeovers: 1, maxCrashes: 1, maxAttempts: 1}},
		{Unsafe, bounds{maxTakeovers: 1, maxAttempts: 2}},
		{Keyed, bounds{maxTakeovers: 1, maxAttempts: 2}},
	} {
		states, twice := explore(x.policy, x.bounds, omitted{})
		t.Logf("%v, %+v: %d states", x.policy, x.bounds, states)
		if twice != nil {
			t.Errorf("%v: it took effect %v: %s", x.policy, twice.executions, twice.key())
		}
	}
}

// Beyond what can be played in full: walks with two takers, a keeper that dies and one that is
// dropped, from seeds.
func TestNothingTakesEffectTwiceInWalks(t *testing.T) {
	executions, takeovers := 0, 0
	for seed := range uint64(1500) {
		r := rand.New(rand.NewPCG(seed, 7))
		s := newState([]RepeatPolicy{Unsafe, Keyed}[seed%2], bounds{maxTakeovers: 2, maxRemovals: 1, maxCrashes: 1, maxAttempts: 2})
		for range 60 {
			all := s.next(omitted{})
			if len(all) == 0 {
				break
			}
			if s = all[r.IntN(len(all))]; len(s.executions) > 1 {
				t.Fatalf("seed %d: %v took effect %v: %s", seed, s.policy, s.executions, s.key())
			}
		}
		executions += len(s.executions)
		if len(s.actors) > 1 {
			takeovers++
		}
	}
	if executions == 0 || takeovers == 0 {
		t.Errorf("%d took effect and %d were taken over: the walks show nothing", executions, takeovers)
	}
}

// A holder whose clock is wrong, so that it believes in its term for ever, does no harm: keepers
// refuse its notes once they have told a taker.
func TestTokensHoldWithoutTerms(t *testing.T) {
	for _, most := range []bounds{{maxTakeovers: 1, maxRemovals: 1, maxAttempts: 1}, {maxTakeovers: 1, maxCrashes: 1, maxAttempts: 1}, {maxTakeovers: 1, maxAttempts: 2}} {
		states, twice := explore(Unsafe, most, omitted{termCheck: true})
		t.Logf("%+v: %d states", most, states)
		if twice != nil {
			t.Errorf("it took effect %v: %s", twice.executions, twice.key())
		}
	}
}

// Each rule that is left out is found.
func TestRulesThatAreLeftOutAreFound(t *testing.T) {
	for name, x := range map[string]struct {
		policy RepeatPolicy
		bounds
		omitted
	}{
		"the term and the token":            {Unsafe, bounds{1, 0, 0, 1}, omitted{termCheck: true, tokenCheck: true}},
		"the note before the last byte":     {Unsafe, bounds{1, 0, 0, 1}, omitted{ackBeforeSend: true}},
		"the window":                        {Keyed, bounds{1, 0, 0, 1}, omitted{dedupExpiry: true}},
		"that all keepers have to be heard": {Unsafe, bounds{1, 1, 0, 1}, omitted{allReplies: true}},
	} {
		states, twice := explore(x.policy, x.bounds, x.omitted)
		if twice == nil {
			t.Errorf("without %s nothing takes effect twice in %d states", name, states)
		} else {
			t.Logf("without %s: found after %d states", name, states)
		}
	}
}

// Keepers are others, those of other rooms first, and the same ones wherever they are asked for.
func TestKeepers(t *testing.T) {
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
				t.Errorf("%s: %s is of the holder's room", key, n)
			}
		}
	}
	if names := ChooseReplicas("k", all[0], all[:3]); !slices.Equal(names, []string{"n1", "n2"}) {
		t.Errorf("one in another room: %v", names)
	}
	if names := ChooseReplicas("k", all[0], all[:1]); len(names) != 0 {
		t.Errorf("nobody else: %v", names)
	}
}

// A book takes so many bytes, finds what a client comes back for, and forgets what has ended.
func TestBook(t *testing.T) {
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
	other.ID, other.Replicas = "other", []string{"a/0"} // the process before this one
	if got := b.Put(0, big); got != Full {
		t.Errorf("too large: %q", got)
	}
	if got := b.Put(0, other); got != WrongProcess {
		t.Errorf("meant for another process: %q", got)
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
		t.Error("another account's is found")
	}
	if told, ok := b.Claim(time.Second, "h", 2); !ok || len(told) != 4 {
		t.Errorf("%d told, %v", len(told), ok)
	}
	if _, ok := b.Claim(time.Second, "h", 1); ok {
		t.Error("a taker that is over is told")
	}
	if got := b.Put(time.Second, r); got != TakenOver {
		t.Errorf("a holder that is over: %q", got)
	}
	b.DeleteFinished(time.Second+time.Minute, time.Minute)
	if _, ok := b.FindByKey(7, "k"); ok || b.Bytes() != bytesBefore {
		t.Errorf("%d bytes of %d", b.Bytes(), bytesBefore)
	}
}
