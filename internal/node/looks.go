package node

import (
	"context"
	"encoding/json"
	"time"

	"example.org/madderdrum/limiter"
)

// ProbeSharing shares probes and discovery watches among limiters, so that other limiters probe servers and follow
// agents for this one. Its methods are called under the node's mutex: they must neither block nor call the
// node.
type ProbeSharing interface {
	// ReportUnhealthy reports that this limiter considers a server unhealthy and needs probe results; false: this limiter
	// has to probe by itself.
	ReportUnhealthy(server uint64) bool
	// ProbeFinished reports the result of one of this limiter's own probes; healthy is meaningless if it was not conclusive.
	ProbeFinished(server uint64, healthy, conclusive bool)
	// AttemptFailed reports that an attempt failed at a server.
	AttemptFailed(server uint64)
	// AgentListed reports an answer of a pool's discovery agent: all its hosts, or the changes, in the agent's
	// format.
	AgentListed(pool string, seq int64, complete bool, hosts []byte)
	// AgentLost reports that a pool's discovery agent does not answer.
	AgentLost(pool string)
}

// requestProbe has a server probed, by other limiters or by this one. The mutex is held.
func (n *Node) requestProbe(server uint64) {
	if n.cfg.ProbeSharing == nil || !n.cfg.ProbeSharing.ReportUnhealthy(server) {
		go n.probe(server)
	}
}

// reportProbe reports a probe's result to the module and to other limiters.
func (n *Node) reportProbe(ev limiter.Probed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handle(ev)
	if n.cfg.ProbeSharing == nil {
		return
	}
	switch ev.Result {
	case limiter.Pass, limiter.NoRoute, limiter.Cut, limiter.TooSlow:
		n.cfg.ProbeSharing.ProbeFinished(ev.Server, ev.Result == limiter.Pass, true)
	default: // no connection available here, or an inconclusive answer
		n.cfg.ProbeSharing.ProbeFinished(ev.Server, false, false)
	}
}

// Probe makes this limiter probe a server itself.
func (n *Node) Probe(server uint64) { go n.probe(server) }

// ApplyVerdict applies another limiter's probe result for a server that this one considers unhealthy.
func (n *Node) ApplyVerdict(server uint64, healthy bool) {
	ev := limiter.Probed{Server: server, Result: limiter.NoRoute, Load: noLoad}
	if healthy {
		ev.Result = limiter.Pass
	}
	n.dispatch(ev)
}

// source returns the discovery source of a pool, or nil.
func (n *Node) source(pool string) *source {
	for _, s := range n.sources {
		if s.Pool == pool {
			return s
		}
	}
	return nil
}

// Pools returns the pools whose servers come from discovery agents.
func (n *Node) Pools() (all []string) {
	for _, s := range n.sources {
		all = append(all, s.Pool)
	}
	return all
}

// FullList returns a pool's complete list as known to this limiter, in its agent's format; ok is false until a
// list is known.
func (n *Node) FullList(pool string) (seq int64, hosts []byte, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.source(pool)
	if s == nil || !s.index.known {
		return 0, nil, false
	}
	all := []serverItem{}
	for _, item := range s.hosts {
		item.Host = item.Host[len(pool)+1:]
		all = append(all, item)
	}
	hosts, err := json.Marshal(all)
	return s.index.seq, hosts, err == nil
}

// ApplyList applies a list or changes of a pool's servers that another limiter received from the pool's agent. It
// returns an error if hosts can't be decoded.
func (n *Node) ApplyList(pool string, seq int64, complete bool, hosts []byte) error {
	list := serverList{Seq: seq, Whole: complete}
	if err := json.Unmarshal(hosts, &list.Hosts); err != nil {
		return err
	}
	if s := n.source(pool); s != nil {
		n.applySourceList(s, list, false)
	}
	return nil
}

// PollAgent makes this limiter watch a pool's agent itself, which may hold each call for the given time; with 0
// another limiter reports the agent's answers. Initially the limiter watches itself, with calls of watchHold.
func (n *Node) PollAgent(pool string, hold time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.source(pool); s != nil && s.hold != hold {
		s.hold = hold
		s.restart()
	}
}

// watchSource watches an agent, while this limiter is to do so itself, until the context ends.
func (n *Node) watchSource(ctx context.Context, s *source) {
	for ctx.Err() == nil {
		watchCtx, stop := context.WithCancel(ctx)
		n.mu.Lock()
		s.restart = stop
		hold, index := s.hold, s.index
		n.mu.Unlock()
		if hold > 0 {
			n.watchDiscovery(watchCtx, s.Addr, index, hold, func(l serverList) { n.applySourceList(s, l, true) }, func() {
				if n.cfg.ProbeSharing != nil {
					n.mu.Lock()
					defer n.mu.Unlock()
					n.cfg.ProbeSharing.AgentLost(s.Pool)
				}
			})
		} else {
			<-watchCtx.Done()
		}
		stop()
	}
}
