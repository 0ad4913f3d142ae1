package policies

import (
	"math/rand/v2"

	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/limiter"
)

// overProvisioning is the factor by which a priority's health is taken to suffice
// (Envoy's default).
const overProvisioning = 1.4

// Passive ejection of boxes: so many failures in a row, for so long times the number of
// ejections (the defaults of Envoy's outlier detection).
const (
	ejectAfter = 5
	ejectMs    = 30_000.0
	ejectMost  = 300_000.0
)

// Failover returns the limiter in service with a plain rule for tiers before it: all
// goes to the first tier that has a box that is healthy.
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

// Priority returns the limiter in service with the rule of Envoy's priority levels
// before it: a tier takes 1.4 times its share of healthy boxes of the traffic, up to
// all, and the next ones what is left; see "Priority levels" in Envoy's documentation
// on load balancing.
func Priority(s limiter.Settings, seed uint64) (virtual.Policy, error) {
	return newPriority(s, seed, func(health []float64, u float64) int {
		total := 0.0
		for _, h := range health {
			total += min(1, overProvisioning*h)
		}
		if total <= 0 {
			return 0
		}
		u *= min(1, total)
		for k, h := range health {
			if u -= min(1, overProvisioning*h); u < 0 {
				return k
			}
		}
		return len(health) - 1
	})
}

// priority has each tier be a pool of the limiter's, and picks the pool of each request.
type priority struct {
	inner  virtual.Policy
	rng    *rand.Rand
	pick   func(health []float64, u float64) int
	boxes  []map[uint64]*listedBox // by tier
	of     map[uint64]*listedBox
	health []float64
}

type listedBox struct {
	up        bool
	run       int // failures in a row
	ejections int
	ejectedTo float64
}

func newPriority(s limiter.Settings, seed uint64, pick func([]float64, float64) int) (virtual.Policy, error) {
	tiers := len(s.Spills[0])
	s.Spills = nil
	s.Rules.ColdShare = 0 // its rule for cold boxes would give them hardly anything: that goes by the pool's traffic
	inner, err := limiter.New(s, seed)
	if err != nil {
		return nil, err
	}
	p := &priority{inner: inner, rng: rand.New(rand.NewPCG(seed, 0x91)), pick: pick, of: map[uint64]*listedBox{},
		boxes: make([]map[uint64]*listedBox, tiers), health: make([]float64, tiers)}
	for k := range p.boxes {
		p.boxes[k] = map[uint64]*listedBox{}
	}
	return p, nil
}

// Handle takes one event.
func (p *priority) Handle(now float64, ev limiter.Event) []limiter.Action {
	switch e := ev.(type) {
	case limiter.Endpoints:
		for i := range e.Servers {
			s := &e.Servers[i]
			b := p.of[s.ID]
			if b == nil {
				b = &listedBox{}
				p.of[s.ID], p.boxes[s.Tier][s.ID] = b, b
			}
			if b.up = s.Phase == limiter.Up; s.Phase == limiter.Removed {
				delete(p.of, s.ID)
				delete(p.boxes[s.Tier], s.ID)
			}
			s.Pool, s.Tier = uint64(s.Tier), 0
		}
		return p.inner.Handle(now, e)
	case limiter.Submit:
		for k, boxes := range p.boxes {
			n := 0
			for _, b := range boxes {
				if b.up && now >= b.ejectedTo {
					n++
				}
			}
			p.health[k] = float64(n) / float64(max(1, len(boxes)))
		}
		e.Pool = uint64(p.pick(p.health, p.rng.Float64()))
		return p.inner.Handle(now, e)
	case limiter.Outcome:
		if b := p.of[e.Server]; b != nil {
			switch e.Result {
			case limiter.Pass, limiter.NoRoom:
				b.run = 0
			case limiter.Undone, limiter.StaleSend:
			default:
				if b.run++; b.run >= ejectAfter && now >= b.ejectedTo {
					b.run, b.ejections = 0, b.ejections+1
					b.ejectedTo = now + min(ejectMost, ejectMs*float64(b.ejections))
				}
			}
		}
	}
	return p.inner.Handle(now, ev)
}
