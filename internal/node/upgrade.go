package node

import (
	"cmp"
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"example.org/madderdrum/handover"
	"example.org/madderdrum/limiter"
)

const (
	// The platform waits 6 s for a new process to be ready: the old one has succeedWithin
	// for all of a hand-over, and is asked again after askAgain while it hands over to another.
	takeoverTimeout = 2500 * time.Millisecond
	dialTimeout     = 250 * time.Millisecond
	takeoverRetry   = 50 * time.Millisecond
	// The old process goes on as before when the new one says nothing for stepWithin.
	handoverStepTimeout = 2 * time.Second

	handoverCall = "handover"
	takeLine     = "take"
	takenLine    = "taken"
)

var errTakeoverInProgress = errors.New("another process is taking over")

// upgrade is what a limiter with an operators' address has for the next process, and what it
// has had from the one before.
type upgrade struct {
	identity           handover.Who
	token              string
	takeoverInProgress atomic.Bool   // a new process is taking over
	replaced           chan struct{} // closed once one has taken over
	runEnded           chan struct{} // closed at the end of Run

	// Under the node's mutex:
	frozen       bool   // the state has gone over: what the module says goes nowhere
	lateRequests int    // requests that came all the same
	listAgent    string // the agent that the list is from
	listSeq      int64
	hosts        map[string]serverItem // the list, as discovery has it
}

func newUpgrade(cfg *Config) *upgrade {
	return &upgrade{identity: handover.Who{Limiter: cfg.Name, Listen: cfg.Listen}, token: rand.Text(), replaced: make(chan struct{}),
		runEnded: make(chan struct{}), listAgent: cfg.Discovery, hosts: map[string]serverItem{}}
}

// listed keeps the list for the next process. The node's mutex is held.
func (u *upgrade) listed(scope limiter.Scope, l serverList) {
	if u == nil {
		return
	}
	if scope != limiter.Partial {
		clear(u.hosts)
	}
	u.listSeq = l.Seq
	for _, h := range l.Hosts {
		if h.Health == "gone" {
			delete(u.hosts, h.Host)
		} else {
			u.hosts[h.Host] = h
		}
	}
}

// list is what listed kept, in discovery's form; nil if there is none.
func (u *upgrade) encodeList() []byte {
	if len(u.hosts) == 0 {
		return nil
	}
	l := serverList{Seq: u.listSeq, Whole: true}
	for _, h := range u.hosts {
		l.Hosts = append(l.Hosts, h)
	}
	slices.SortFunc(l.Hosts, func(a, b serverItem) int { return cmp.Compare(a.Host, b.Host) })
	b, _ := json.Marshal(l)
	return b
}

// shrink has this process use what the other one leaves, until grow.
func (n *Node) reduceLimits(sockets int) {
	n.setSocketBudget(sockets)
	n.setMemoryShare(handover.MemoryShare)
}

// grow has this process use all that the limiter may.
func (n *Node) restoreLimits() {
	n.setSocketBudget(n.cfg.Limits.Sockets)
	n.setMemoryShare(1)
}

func (n *Node) setSocketBudget(sockets int) {
	upstream, clients := socketBudget(sockets)
	n.servers.setBudget(upstream)
	n.conns.setBudget(clients)
}

func (n *Node) setMemoryShare(share float64) {
	n.setHeldBodyLimit(share)
	if n.cfg.UseMemory != nil {
		n.cfg.UseMemory(share)
	}
}
