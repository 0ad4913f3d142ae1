package watch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tier is a room of limiters, real Parts, that follow one agent. One of them has the duty, or
// nobody; connections to it end and lose what was on its way. Time goes in ticks.
type simulation struct {
	t            *rapid.T
	now          time.Duration
	agentSeq     int64 // the agent's sequence number
	leader       int   // who has the duty; -1: nobody
	termEnd      time.Duration
	limiters     []*node
	agentCalls   int // that the agent has answered
	resignations int
}

type node struct {
	watcher      *Part
	listSeq      int64 // of the list that is in use
	pollHold     time.Duration
	calledAt     time.Duration // when its call to the agent began
	seenSeq      int64         // of the last answer, or of what it was told
	hearsAgent   bool          // the agent
	joined       bool          // it is connected to the one that looks
	connectable  bool          // and can be
	inTransit    []Note        // to it
	abstainUntil time.Duration // it does not ask for the duty before
}

const pool = "main"

func newSimulation(t *rapid.T, n int) *simulation {
	r := &simulation{t: t, agentSeq: 1, leader: -1}
	for range n {
		r.limiters = append(r.limiters, &node{watcher: NewPart(DefaultSettings(time.Second), []string{pool}), pollHold: PollHoldAlone, hearsAgent: true, connectable: true})
	}
	return r
}

func (r *simulation) name(i int) string { return fmt.Sprint("n", i) }

// use has a limiter use a list, which never is an older one.
func (r *simulation) useList(i int, seq int64) {
	f := r.limiters[i]
	if seq < f.listSeq {
		r.t.Fatalf("%s went back from %d to %d", r.name(i), f.listSeq, seq)
	}
	f.listSeq, f.seenSeq = seq, seq
}

func (r *simulation) carryOut(i int) {
	f := r.limiters[i]
	for _, a := range f.watcher.Acts() {
		switch a.Kind {
		case Follow:
			f.pollHold, f.calledAt = a.Hold, r.now
		case Take:
			r.useList(i, a.List.Seq)
		case Say:
			if r.leader >= 0 && f.joined {
				r.limiters[r.leader].watcher.From(r.now, r.name(i), a.Note)
			}
		case Tell, TellWhole:
			n := a.Note
			if a.Kind == TellWhole {
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
	if r.leader < 0 && r.now >= r.termEnd+1500*time.Millisecond { // the next one that runs, as terms have it
		for i, f := range r.limiters { // always in one order: who can't has to abstain
			if r.now >= f.abstainUntil {
				r.leader = i
				break
			}
		}
	}
	for i, f := range r.limiters {
		if leads := i == r.leader; leads != f.watcher.Leads() {
			f.watcher.Lead(leads)
			for _, o := range r.limiters { // connections to the one before have ended
				o.joined, o.inTransit = false, nil
				o.watcher.Cut()
			}
		}
	}
	for i, f := range r.limiters {
		switch canJoin := r.leader >= 0 && i != r.leader && f.connectable && r.limiters[r.leader].connectable; {
		case canJoin && !f.joined:
			f.joined = r.limiters[r.leader].watcher.Join(r.name(i))
			r.carryOut(r.leader)
		case !canJoin && f.joined:
			f.joined, f.inTransit = false, nil
			f.watcher.Cut()
			if r.leader >= 0 {
				r.limiters[r.leader].watcher.Leave(r.name(i))
			}
		}
		for _, n := range f.inTransit {
			f.watcher.Heard(r.now, n)
		}
		f.inTransit = nil
		f.watcher.Tick(r.now)
		r.carryOut(i)
		if f.pollHold == 0 {
			continue
		}
		switch { // its call to the agent
		case f.hearsAgent && (f.seenSeq == 0 || r.agentSeq > f.seenSeq || r.now >= f.calledAt+f.pollHold):
			r.agentCalls++
			whole := f.seenSeq == 0
			r.useList(i, r.agentSeq)
			f.calledAt = r.now
			f.watcher.Listed(List{Pool: pool, Seq: r.agentSeq, Whole: whole, Hosts: json.RawMessage("[]")})
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

// Whatever ends, is cut off or is deaf: no list goes back, and once all is quiet whoever
// hears the agent, or is connected to one that does, knows the newest list.
func TestAllKnowTheNewestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newSimulation(t, rapid.IntRange(1, 6).Draw(t, "limiters"))
		anyNode := func() *node { return r.limiters[rapid.IntRange(0, len(r.limiters)-1).Draw(t, "limiter")] }
		for range 150 {
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				r.agentSeq += rapid.Int64Range(1, 3).Draw(t, "news")
			case 1: // its term ends; nobody has it for a while
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
		r.limiters[len(r.limiters)-1].hearsAgent = true // one does, and would be the last to ask for the duty
		// A deaf one finds out after 5 s, gives up 2.5 s later, and another one follows; each in turn may be deaf.
		for end := r.now + time.Duration(len(r.limiters))*30*time.Second; r.now < end; {
			r.step()
		}
		for i, f := range r.limiters {
			if f.listSeq != r.agentSeq {
				t.Fatalf("%s knows list %d of %d; %d leads, resigned %d times", r.name(i), f.listSeq, r.agentSeq, r.leader, r.resignations)
			}
		}
	})
}

// Calls to the agent don't grow with the limiters of a room.
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
		t.Logf("%3d limiters: %d calls in a minute with six changes", n, agentCalls[n])
	}
	if agentCalls[300] > agentCalls[3]+2 {
		t.Errorf("calls: %v", agentCalls)
	}
}
