// The decisions. Their interface (types, events, actions, settings) is api.go;
// state.go lists what is remembered, peercodec.go lays out messages to peers. Each
// concern of the decisions has a file: quota.go, requests.go, choice.go, health.go,
// cold.go, servers.go, gossip.go.

package limiter

import (
	"fmt"
	"math/rand/v2"
)

// tickMs is the period of the tick in milliseconds: telling peers, housekeeping.
const tickMs = 50.0

// New returns a Limiter, or an error that names the setting that makes no sense.
func New(s Settings, seed uint64) (*Limiter, error) {
	if err := checkSettings(s); err != nil {
		return nil, fmt.Errorf("limiter: %w", err)
	}
	l := &Limiter{
		cfg: s, rng: rand.New(rand.NewPCG(seed, 0x51)), retries: retryMax,
		servers: map[uint64]*server{}, requests: map[string]*request{}, customers: map[uint64]*customer{},
		peers: make([]peer, s.Balancers),
		pools: map[uint64]*pool{}, usual: make([]usual, len(s.Classes)),
	}
	l.mark = l.rng.Uint32() | 1
	l.weighPlans()
	return l, nil
}

// Handle takes one event and returns what is to be done, valid until the next call.
func (l *Limiter) Handle(now float64, ev Event) []Action {
	l.out = l.out[:0]
	if !l.started {
		l.started, l.startedAt, l.knownFrom, l.sweptAt = true, now, now, now
		l.hintPause = 1000 * float64(len(l.peers)) / (hintShare * max(1, l.cfg.PeerInPerS))
		l.hintAt = now + l.hintPause*l.rng.Float64() // not all at once
		if l.cfg.AskMembers {
			l.do(Listen{})
		}
		l.do(Timer{At: now + tickMs*(0.5+l.rng.Float64()/2), Handle: "tick"})
	}
	if now-l.eventAt > stoodMs { // what was out meanwhile says nothing about servers
		l.wokeAt = now
	}
	l.eventAt = now
	switch e := ev.(type) {
	case Submit:
		l.submit(now, e)
	case Ask:
		l.ask(now, e)
	case Settle:
		if c := l.customers[e.Customer]; c != nil {
			l.refill(now, c)
			l.settle(c, e.Units, e.Back)
		}
	case Outcome:
		l.outcome(now, e)
	case Aborted:
		l.drop(l.requests[e.ID])
	case Progress:
		l.progress(now, e)
	case FirstByte:
		if r := l.requests[e.ID]; r != nil {
			r.stream = true
		}
	case Alarm:
		switch e.Handle {
		case "tick":
			l.tick(now)
		case "ask":
			l.do(Listen{})
		}
	case Endpoints:
		l.endpoints(now, e)
	case Probed:
		l.probed(now, e)
	case PeerMessage:
		l.heard(now, e)
	case Sighting:
		l.sighted(now, e)
	case Occupied:
		l.occupied(e)
	case Recall:
		l.recall(now, e.Memory)
	case Parts:
		l.moved(now, e)
	case Reconfigure:
		l.reconfigure(now, e)
	}
	return l.out
}

func (l *Limiter) tick(now float64) {
	l.do(Timer{At: now + tickMs, Handle: "tick"})
	l.checkServers(now)
	l.weighServers(now)
	l.seeTiers(now)
	if l.cfg.Caps.Peers && l.cfg.PeerInPerS > 0 {
		l.talk(now)
	}
	if now-l.sweptAt > forgetMs/10 {
		l.sweptAt = now
		l.forget(now)
	}
}
