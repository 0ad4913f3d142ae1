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
	// The platform waits 6 s for a new process to be ready: takeoverTimeout limits the whole hand-over by the
	// old one, which is asked again after takeoverRetry while it hands over to another process.
	takeoverTimeout = 2500 * time.Millisecond
	dialTimeout     = 250 * time.Millisecond
	takeoverRetry   = 50 * time.Millisecond
	// The old process continues as before if the new one is silent for handoverStepTimeout.
	handoverStepTimeout = 2 * time.Second

	handoverCall = "handover"
	takeLine     = "take"
	takenLine    = "taken"
)

var errTakeoverInProgress = errors.New("another process is taking over")

// upgrade is the state that a limiter with an admin address needs to hand over to the next process, or take
// over from the previous one.
type upgrade struct {
	identity           handover.Who
	token              string
	takeoverInProgress atomic.Bool   // a new process is taking over
	replaced           chan struct{} // closed once a new process has taken over
	runEnded           chan struct{} // closed at the end of Run

	// The following fields are guarded by the node's mutex.
	frozen       bool   // the state was handed over: probes and peer messages of the module are discarded
	lateRequests int    // requests that arrived after the hand-over
	listAgent    string // the agent that provided the list
	listSeq      int64
	hosts        map[string]serverItem // the current list
}

func newUpgrade(cfg *Config) *upgrade {
	return &upgrade{identity: handover.Who{Limiter: cfg.Name, Listen: cfg.Listen},
		token: rand.Text(), replaced: make(chan struct{}),
		runEnded: make(chan struct{}), listAgent: cfg.Discovery, hosts: map[string]serverItem{}}
}

// listed records a list for the next process. The node's mutex is held.
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

// encodeList returns the recorded list in the discovery agent's format, or nil if it is empty.
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

// reduceLimits limits this process to the resources that the other process leaves, until restoreLimits.
func (n *Node) reduceLimits(sockets int) {
	n.setSocketBudget(sockets)
	n.setMemoryShare(handover.MemoryShare)
}

// restoreLimits lets this process use all of the limiter's resources.
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
