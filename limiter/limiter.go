// Events are dispatched here. api.go declares the interface (settings, events, actions), state.go the
// state and peercodec.go the format of peer messages. The policy is in quota.go, requests.go,
// choice.go (server selection), health.go, cold.go (warm-up), servers.go and gossip.go (peers).

package limiter

import (
	"fmt"
	"math/rand/v2"
)

// tickMs is the period of the tick, which updates peers and does the housekeeping.
const tickMs = 50.0

// New returns a Limiter, or an error that names the invalid setting. Equal seeds give equal decisions.
func New(s Settings, seed uint64) (*Limiter, error) {
	if err := checkSettings(s); err != nil {
		return nil, fmt.Errorf("limiter: %w", err)
	}
	l := &Limiter{
		cfg: s, rng: rand.New(rand.NewPCG(seed, 0x51)), retryBudget: maxRetryBudget,
		serversByID: map[uint64]*server{}, requests: map[string]*request{}, accounts: map[uint64]*account{},
		peers: make([]peer, s.Balancers),
		pools: map[uint64]*pool{}, usualTimeout: make([]usualTimeout, len(s.Classes)),
	}
	l.mark = l.rng.Uint32() | 1
	l.updatePlans()
	return l, nil
}

// Handle processes one event and returns the actions to take; the slice is valid until the next call.
func (l *Limiter) Handle(now float64, ev Event) []Action {
	l.actions = l.actions[:0]
	if !l.started {
		l.started, l.startedAt, l.knownSince, l.sweptAt = true, now, now, now
		l.hintIntervalMs = 1000 * float64(len(l.peers)) / (hintShare * max(1, l.cfg.PeerInPerS))
		l.nextHintAt = now + l.hintIntervalMs*l.rng.Float64() // spreads the limiters' first hints
		if l.cfg.SubscribeServers {
			l.emit(Listen{})
		}
		l.emit(Timer{At: now + tickMs*(0.5+l.rng.Float64()/2), Handle: "tick"})
	}
	if now-l.lastEventAt > processStallMs { // attempts in flight then say nothing about servers
		l.resumedAt = now
	}
	l.lastEventAt = now
	switch e := ev.(type) {
	case Submit:
		l.submit(now, e)
	case Ask:
		l.ask(now, e)
	case Settle:
		if acct := l.accounts[e.Account]; acct != nil {
			l.refill(now, acct)
			l.settle(acct, e.Units, e.Refund)
		}
	case Outcome:
		l.outcome(now, e)
	case Aborted:
		l.finish(l.requests[e.ID])
	case Progress:
		l.progress(now, e)
	case FirstByte:
		if req := l.requests[e.ID]; req != nil {
			req.streaming = true
		}
	case Alarm:
		switch e.Handle {
		case "tick":
			l.tick(now)
		case "ask":
			l.emit(Listen{})
		}
	case Endpoints:
		l.endpoints(now, e)
	case Probed:
		l.probed(now, e)
	case PeerMessage:
		l.receive(now, e)
	case PeerFailure:
		l.peerFailure(now, e)
	case Occupancies:
		l.occupied(e)
	case Recall:
		l.recall(now, e.Memory)
	case Parts:
		l.setParts(now, e)
	case Reconfigure:
		l.reconfigure(now, e)
	}
	return l.actions
}

func (l *Limiter) tick(now float64) {
	l.emit(Timer{At: now + tickMs, Handle: "tick"})
	l.probeServers(now)
	l.updateCapacity(now)
	l.updateTiers(now)
	if l.cfg.Caps.Peers && l.cfg.PeerInPerS > 0 {
		l.sendUpdates(now)
	}
	if now-l.sweptAt > accountIdleMs/10 {
		l.sweptAt = now
		l.dropIdleAccounts(now)
	}
}
