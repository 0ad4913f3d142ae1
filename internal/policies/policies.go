// Package policies has simple baseline policies that the limiter is compared with in the same
// simulated runs: what deployments use that have no limiter, or a simple one. They follow the retry
// rules, as any proxy must, but exchange no messages with peers and ignore the health of boxes.
package policies

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/limiter"
)

// Names returns the names of all policies, with the limiter itself first.
func Names() []string { return append([]string{"limiter"}, slices.Sorted(maps.Keys(builtin))...) }

var builtin = map[string]virtual.NewPolicy{
	"random": func(s limiter.Settings, seed uint64) (virtual.Policy, error) {
		return newPolicy(s, seed, false, false), nil
	},
	"bucket": func(s limiter.Settings, seed uint64) (virtual.Policy, error) {
		return newPolicy(s, seed, true, false), nil
	},
	"least": func(s limiter.Settings, seed uint64) (virtual.Policy, error) {
		return newPolicy(s, seed, false, true), nil
	},
}

// ByName returns a policy. "limiter" is the limiter itself, "random" sends every request to a random
// box, "bucket" does the same after a token bucket in each limiter for its part of the quota, and
// "least" sends every request to the box with the fewest outstanding requests of this limiter.
func ByName(name string) (virtual.NewPolicy, error) {
	if name == "limiter" || name == "" {
		return virtual.Limiter, nil
	}
	p, ok := builtin[name]
	if !ok {
		return nil, fmt.Errorf("no policy %q; there are: %s", name, strings.Join(Names(), ", "))
	}
	return p, nil
}

type policy struct {
	settings    limiter.Settings
	rng         *rand.Rand
	useBuckets  bool
	useLeast    bool
	upServers   []uint64
	up          map[uint64]bool
	outstanding map[uint64]int
	requests    map[string]*request
	buckets     map[uint64]*bucket
}

type request struct {
	class      int
	attempts   int
	mayHaveRun bool
}

type bucket struct{ level, updatedMs float64 }

func newPolicy(s limiter.Settings, seed uint64, bucketed, least bool) *policy {
	return &policy{settings: s, rng: rand.New(rand.NewPCG(seed, 0x9)), useBuckets: bucketed, useLeast: least, up: map[uint64]bool{},
		outstanding: map[uint64]int{}, requests: map[string]*request{}, buckets: map[uint64]*bucket{}}
}

// Handle processes an event and returns the resulting actions.
func (p *policy) Handle(now float64, ev limiter.Event) []limiter.Action {
	switch e := ev.(type) {
	case limiter.Endpoints:
		for _, s := range e.Servers {
			if s.Phase == limiter.Up {
				p.up[s.ID] = true
			} else {
				delete(p.up, s.ID)
			}
		}
		p.upServers = slices.Sorted(maps.Keys(p.up))
	case limiter.Submit:
		if p.useBuckets && !p.takeUnits(now, e) {
			return []limiter.Action{limiter.Refuse{ID: e.ID, WaitMs: 100}}
		}
		p.requests[e.ID] = &request{class: e.Class}
		return p.send(e.ID)
	case limiter.Outcome:
		p.outstanding[e.Server]--
		r := p.requests[e.ID]
		if r == nil {
			return nil
		}
		r.mayHaveRun = r.mayHaveRun || e.Result != limiter.NoRoom && e.Result != limiter.NoRoute && e.Result != limiter.StaleSend
		switch {
		case e.Done:
			delete(p.requests, e.ID)
		case r.attempts < p.settings.Caps.Attempts && (!r.mayHaveRun || p.settings.Classes[r.class].Repeat == limiter.Safe) && e.Result != limiter.TooSlow:
			return p.send(e.ID)
		case !r.mayHaveRun || p.settings.Classes[r.class].Repeat == limiter.Safe:
			delete(p.requests, e.ID)
			return []limiter.Action{limiter.Refuse{ID: e.ID}}
		default:
			delete(p.requests, e.ID)
			return []limiter.Action{limiter.Fail{ID: e.ID}}
		}
	case limiter.Aborted:
		delete(p.requests, e.ID)
	}
	return nil
}

// takeUnits takes a request's units from the account's bucket in this limiter, which has an equal part of the
// quota for each limiter that the account uses. It returns false if the bucket has too few.
func (p *policy) takeUnits(now float64, e limiter.Submit) bool {
	plan, n := p.settings.Plans[e.Plan], float64(max(1, e.Spread))
	b := p.buckets[e.Account]
	if b == nil {
		b = &bucket{plan.Burst / n, now}
		p.buckets[e.Account] = b
	}
	b.level, b.updatedMs = min(max(e.Units, plan.Burst/n), b.level+(now-b.updatedMs)/1000*plan.Rate/n), now
	if b.level < e.Units {
		return false
	}
	b.level -= e.Units
	return true
}

func (p *policy) send(id string) []limiter.Action {
	if len(p.upServers) == 0 {
		delete(p.requests, id)
		return []limiter.Action{limiter.Refuse{ID: id}}
	}
	server := p.upServers[p.rng.IntN(len(p.upServers))]
	if p.useLeast {
		from := p.rng.IntN(len(p.upServers))
		for k := range p.upServers {
			if s := p.upServers[(from+k)%len(p.upServers)]; p.outstanding[s] < p.outstanding[server] {
				server = s
			}
		}
	}
	p.requests[id].attempts++
	p.outstanding[server]++
	return []limiter.Action{limiter.PassOn{ID: id, Server: server}}
}
