package policies

import (
	"math/rand/v2"

	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/limiter"
)

// overprovisioningFactor multiplies the share of healthy boxes of a tier to give the share of the
// traffic that it can take (Envoy's default).
const overprovisioningFactor = 1.4

// Passive ejection of boxes, with the defaults of Envoy's outlier detection: a box is ejected after
// ejectAfterFailures consecutive failures, for baseEjectionMs times the number of its ejections, up
// to maxEjectionMs.
const (
	ejectAfterFailures = 5
	baseEjectionMs     = 30_000.0
	maxEjectionMs      = 300_000.0
)

// Failover returns the limiter preceded by a simple rule for tiers: all requests go to the first tier
// with a healthy box.
func Failover(s limiter.Settings, seed uint64) (virtual.Policy, error) {
	return newPriority(s, seed, func(health []float64, _ float64) int {
		for k, h := range health {
			if h > 0 {
				return k
			}
		}
		return 0
	})
}

// Priority returns the limiter preceded by Envoy's rule for priority levels: a tier takes a share of
// the traffic of up to 1.4 times its share of healthy boxes, and the next tiers take the rest; see
// "Priority levels" in Envoy's documentation on load balancing.
func Priority(s limiter.Settings, seed uint64) (virtual.Policy, error) {
	return newPriority(s, seed, func(health []float64, u float64) int {
		total := 0.0
		for _, h := range health {
			total += min(1, overprovisioningFactor*h)
		}
		if total <= 0 {
			return 0
		}
		u *= min(1, total)
		for k, h := range health {
			if u -= min(1, overprovisioningFactor*h); u < 0 {
				return k
			}
		}
		return len(health) - 1
	})
}

// priorityPolicy presents each tier as a pool of its own to the limiter and picks the pool of each request.
type priorityPolicy struct {
	inner       virtual.Policy
	rng         *rand.Rand
	pickTier    func(health []float64, u float64) int
	boxesByTier []map[uint64]*boxState // for each tier, by id
	boxByID     map[uint64]*boxState
	health      []float64
}

type boxState struct {
	up                  bool
	consecutiveFailures int
	ejections           int
	ejectedUntilMs      float64
}

func newPriority(s limiter.Settings, seed uint64, pick func([]float64, float64) int) (virtual.Policy, error) {
	tiers := len(s.Spills[0])
	s.Spills = nil
	s.Rules.ColdShare = 0 // the limiter sizes the share of cold boxes by the traffic of their pool, which is too small here
	inner, err := limiter.New(s, seed)
	if err != nil {
		return nil, err
	}
	p := &priorityPolicy{inner: inner, rng: rand.New(rand.NewPCG(seed, 0x91)), pickTier: pick, boxByID: map[uint64]*boxState{},
		boxesByTier: make([]map[uint64]*boxState, tiers), health: make([]float64, tiers)}
	for k := range p.boxesByTier {
		p.boxesByTier[k] = map[uint64]*boxState{}
	}
	return p, nil
}

// Handle processes an event and returns the resulting actions.
func (p *priorityPolicy) Handle(now float64, ev limiter.Event) []limiter.Action {
	switch e := ev.(type) {
	case limiter.Endpoints:
		for i := range e.Servers {
			s := &e.Servers[i]
			b := p.boxByID[s.ID]
			if b == nil {
				b = &boxState{}
				p.boxByID[s.ID], p.boxesByTier[s.Tier][s.ID] = b, b
			}
			if b.up = s.Phase == limiter.Up; s.Phase == limiter.Removed {
				delete(p.boxByID, s.ID)
				delete(p.boxesByTier[s.Tier], s.ID)
			}
			s.Pool, s.Tier = uint64(s.Tier), 0
		}
		return p.inner.Handle(now, e)
	case limiter.Submit:
		for k, boxes := range p.boxesByTier {
			n := 0
			for _, b := range boxes {
				if b.up && now >= b.ejectedUntilMs {
					n++
				}
			}
			p.health[k] = float64(n) / float64(max(1, len(boxes)))
		}
		e.Pool = uint64(p.pickTier(p.health, p.rng.Float64()))
		return p.inner.Handle(now, e)
	case limiter.Outcome:
		if b := p.boxByID[e.Server]; b != nil {
			switch e.Result {
			case limiter.Pass, limiter.NoRoom:
				b.consecutiveFailures = 0
			case limiter.Undone, limiter.StaleSend:
			default:
				if b.consecutiveFailures++; b.consecutiveFailures >= ejectAfterFailures && now >= b.ejectedUntilMs {
					b.consecutiveFailures, b.ejections = 0, b.ejections+1
					b.ejectedUntilMs = now + min(maxEjectionMs, baseEjectionMs*float64(b.ejections))
				}
			}
		}
	}
	return p.inner.Handle(now, ev)
}
