package node

import (
	"context"
	"encoding/json"
	"time"

	"example.org/madderdrum/limiter"
)

// Looks are other limiters that look at boxes and follow discovery for this one. Its methods
// are called under the node's mutex: they must neither block nor call the node.
type Looks interface {
	// Want tells that a box is held as ill; false: this limiter looks itself.
	Want(box uint64) bool
	// Looked is the end of a look of this limiter's own; made is false if it has said nothing.
	Looked(box uint64, well, made bool)
	// Failed tells that an attempt has failed at a box.
	Failed(box uint64)
	// Listed is what the agent of a pool has told: all its hosts, or what changed, in its form.
	Listed(pool string, seq int64, whole bool, hosts []byte)
	// Lost tells that the agent of a pool does not answer.
	Lost(pool string)
}

// want has a box looked at, by others or by this limiter. The mutex is held.
func (n *Node) requestProbe(box uint64) {
	if n.cfg.Looks == nil || !n.cfg.Looks.Want(box) {
		go n.probe(box)
	}
}

// looked tells the module, and others, how a look has ended.
func (n *Node) reportProbe(ev limiter.Probed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handle(ev)
	if n.cfg.Looks == nil {
		return
	}
	switch ev.Result {
	case limiter.Pass, limiter.NoRoute, limiter.Cut, limiter.TooSlow:
		n.cfg.Looks.Looked(ev.Server, ev.Result == limiter.Pass, true)
	default: // no room for it here, or an answer that says neither
		n.cfg.Looks.Looked(ev.Server, false, false)
	}
}

// Look has this limiter look at a box itself.
func (n *Node) Look(box uint64) { go n.probe(box) }

// Word is what another limiter says of a box that this one holds as ill.
func (n *Node) Word(box uint64, well bool) {
	ev := limiter.Probed{Server: box, Result: limiter.NoRoute, Load: noLoad}
	if well {
		ev.Result = limiter.Pass
	}
	n.dispatch(ev)
}

// source is the one of a pool; nil: it has none.
func (n *Node) source(pool string) *source {
	for _, s := range n.sources {
		if s.Pool == pool {
			return s
		}
	}
	return nil
}

// Pools are those whose boxes agents tell.
func (n *Node) Pools() (all []string) {
	for _, s := range n.sources {
		all = append(all, s.Pool)
	}
	return all
}

// Whole is the list of a pool as this limiter knows it, in its agent's form; false: the agent has
// not answered yet.
func (n *Node) Whole(pool string) (seq int64, hosts []byte, ok bool) {
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

// Told takes in what another limiter tells of a pool, as its agent does. A list that can't be
// read is an error.
func (n *Node) Told(pool string, seq int64, whole bool, hosts []byte) error {
	l := serverList{Seq: seq, Whole: whole}
	if err := json.Unmarshal(hosts, &l.Hosts); err != nil {
		return err
	}
	if s := n.source(pool); s != nil {
		n.applySourceList(s, l, false)
	}
	return nil
}

// Follow has this limiter follow the agent of a pool itself, by calls that the agent may hold so
// long; 0: another one tells what it says. At first it does, by calls of watchWait.
func (n *Node) Follow(pool string, hold time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.source(pool); s != nil && s.hold != hold {
		s.hold = hold
		s.restart()
	}
}

// watchSource follows an agent until the context ends, while this limiter is to do so itself.
func (n *Node) watchSource(ctx context.Context, s *source) {
	for ctx.Err() == nil {
		turn, end := context.WithCancel(ctx)
		n.mu.Lock()
		s.restart = end
		hold, index := s.hold, s.index
		n.mu.Unlock()
		if hold > 0 {
			n.watchDiscovery(turn, s.Addr, index, hold, func(l serverList) { n.applySourceList(s, l, true) }, func() {
				if n.cfg.Looks != nil {
					n.mu.Lock()
					defer n.mu.Unlock()
					n.cfg.Looks.Lost(s.Pool)
				}
			})
		} else {
			<-turn.Done()
		}
		end()
	}
}
