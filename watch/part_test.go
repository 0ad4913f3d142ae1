package watch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation is a room of limiters with real Watchers that poll one agent. One of them leads, or none.
// Connections to the leader may end and lose what is in transit, and time advances in ticks.
type simulation struct {
	t            *rapid.T
	now          time.Duration
	agentSeq     int64 // sequence number of the agent's newest list
	leader       int   // index of the limiter that leads; -1: none
	termEnd      time.Duration
	limiters     []*node
	agentCalls   int // number of polls that the agent has answered
	resignations int
}

// node is one limiter.
type node struct {
	watcher      *Watcher
	listSeq      int64 // of the list in use
	pollHold     time.Duration
	calledAt     time.Duration // when its poll of the agent began
	seenSeq      int64         // of the last list from the agent or the leader
	hearsAgent   bool          // it reaches the agent
	joined       bool          // it is connected to the leader
	connectable  bool          // it can connect to other limiters
	inTransit    []Note        // notes to it
	abstainUntil time.Duration // it does not take the duty before
}

const pool = "main"

func newSimulation(t *rapid.T, n int) *simulation {
	r := &simulation{t: t, agentSeq: 1, leader: -1}
	for range n {
		r.limiters = append(r.limiters, &node{watcher: NewWatcher(DefaultSettings(time.Second), []string{pool}), pollHold: PollHoldAlone, hearsAgent: true, connectable: true})
	}
	return r
}

func (r *simulation) name(i int) string { return fmt.Sprint("n", i) }

// useList has a limiter use a list, which must not be older than the previous one.
func (r *simulation) useList(i int, seq int64) {
	f := r.limiters[i]
	if seq < f.listSeq {
		r.t.Fatalf("%s went back from %d to %d", r.name(i), f.listSeq, seq)
	}
	f.listSeq, f.seenSeq = seq, seq
}

func (r *simulation) carryOut(i int) {
	f := r.limiters[i]
	for _, a := range f.watcher.TakeActions() {
		switch a.Kind {
		case PollAgent:
			f.pollHold, f.calledAt = a.Hold, r.now
		case ApplyList:
			r.useList(i, a.List.Seq)
		case SendToLeader:
			if r.leader >= 0 && f.joined {
				r.limiters[r.leader].watcher.HandleFollowerNote(r.now, r.name(i), a.Note)
			}
		case SendToFollowers, SendFullList:
			n := a.Note
			if a.Kind == SendFullList {
				if f.listSeq == 0 {
					continue // the agent has not answered yet
				}
				n = Note{List: &List{Pool: a.Pool, Seq: f.listSeq, Whole: true, Hosts: json.RawMessage("[]")}}
			}
			for j, o := range r.limiters {
				if o.joined && j != i && (a.To == "" || a.To == r.name(j)) {
					o.inTransit = append(o.inTransit, n)
				}
			}
		case Resign:
			r.resignations++
			r.leader, r.termEnd, f.abstainUntil = -1, r.now, r.now+a.Hold
		}
	}
}

// step is one tick.
func (r *simulation) step() {
	r.now += tick
	if r.leader < 0 && r.now >= r.termEnd+1500*time.Millisecond { // the next limiter takes the duty when the term is over
		for i, f := range r.limiters { // always in the same order, so that an unfit limiter must abstain
			if r.now >= f.abstainUntil {
				r.leader = i
				break
			}
		}
	}
	for i, f := range r.limiters {
		if leads := i == r.leader; leads != f.watcher.IsLeader() {
			f.watcher.SetLeader(leads)
			for _, o := range r.limiters { // connections to the previous leader end
				o.joined, o.inTransit = false, nil
				o.watcher.LeaderDisconnected()
			}
		}
	}
	for i, f := range r.limiters {
		switch canJoin := r.leader >= 0 && i != r.leader && f.connectable && r.limiters[r.leader].connectable; {
		case canJoin && !f.joined:
			f.joined = r.limiters[r.leader].watcher.AddFollower(r.name(i))
			r.carryOut(r.leader)
		case !canJoin && f.joined:
			f.joined, f.inTransit = false, nil
			f.watcher.LeaderDisconnected()
			if r.leader >= 0 {
				r.limiters[r.leader].watcher.RemoveFollower(r.name(i))
			}
		}
		for _, n := range f.inTransit {
			f.watcher.LeaderHeard(r.now, n)
		}
		f.inTransit = nil
		f.watcher.Tick(r.now)
		r.carryOut(i)
		if f.pollHold == 0 {
			continue
		}
		switch { // its poll of the agent
		case f.hearsAgent && (f.seenSeq == 0 || r.agentSeq > f.seenSeq || r.now >= f.calledAt+f.pollHold):
			r.agentCalls++
			whole := f.seenSeq == 0
			r.useList(i, r.agentSeq)
			f.calledAt = r.now
			f.watcher.HandleAgentList(List{Pool: pool, Seq: r.agentSeq, Whole: whole, Hosts: json.RawMessage("[]")})
		case !f.hearsAgent && r.now >= f.calledAt+f.pollHold+2*time.Second:
			f.calledAt = r.now
			f.watcher.Lost(r.now, pool)
		}
		r.carryOut(i)
	}
	if r.leader >= 0 {
		r.carryOut(r.leader)
	}
}

// Whatever is disconnected or out of reach, no list is replaced by an older one. Once all is quiet, each
// limiter that reaches the agent, or is connected to one that does, has the newest list.
func TestAllKnowTheNewestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newSimulation(t, rapid.IntRange(1, 6).Draw(t, "limiters"))
		anyNode := func() *node { return r.limiters[rapid.IntRange(0, len(r.limiters)-1).Draw(t, "limiter")] }
		for range 150 {
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				r.agentSeq += rapid.Int64Range(1, 3).Draw(t, "news")
			case 1: // the term ends, and nobody leads for a while
				r.leader, r.termEnd = -1, r.now
			case 2:
				f := anyNode()
				f.connectable = !f.connectable
			case 3:
				f := anyNode()
				f.hearsAgent = !f.hearsAgent
			}
			r.step()
		}
		r.agentSeq++
		for _, f := range r.limiters {
			f.connectable = true
		}
		r.limiters[len(r.limiters)-1].hearsAgent = true // the last candidate for the duty reaches the agent
		// An unfit leader notices after 5 s and gives up 2.5 s later; each limiter may be unfit in turn.
		for end := r.now + time.Duration(len(r.limiters))*30*time.Second; r.now < end; {
			r.step()
		}
		for i, f := range r.limiters {
			if f.listSeq != r.agentSeq {
				t.Fatalf("%s has list %d of %d; %d leads, %d resignations", r.name(i), f.listSeq, r.agentSeq, r.leader, r.resignations)
			}
		}
	})
}

// The number of polls of the agent does not grow with the number of limiters.
func TestCallsDoNotGrow(t *testing.T) {
	agentCalls := map[int]int{}
	for _, n := range []int{3, 30, 300} {
		r := newSimulation(nil, n)
		for r.now < 10*time.Second {
			r.step()
		}
		before := r.agentCalls
		for r.now < 70*time.Second {
			if r.now%(10*time.Second) == 0 {
				r.agentSeq++
			}
			r.step()
		}
		agentCalls[n] = r.agentCalls - before
		t.Logf("%3d limiters: %d polls in a minute with six changes", n, agentCalls[n])
	}
	if agentCalls[300] > agentCalls[3]+2 {
		t.Errorf("polls: %v", agentCalls)
	}
}
