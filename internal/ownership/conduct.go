package ownership

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/rollout"
	"example.org/madderdrum/tenure"
)

const (
	conductInterval = 200 * time.Millisecond
	peerCallTimeout = 900 * time.Millisecond
	// The share of served requests is taken over serviceSamples samples; with fewer than
	// minServiceRequests requests in them it counts as 1.
	serviceSamples     = 5
	minServiceRequests = 20
)

// conductRollouts carries out rollouts while this limiter owns that duty. It starts nothing after ctx
// has ended, and returns when inner ends.
func (s *Service) conductRollouts(ctx, inner context.Context) {
	ticker := time.NewTicker(conductInterval)
	defer ticker.Stop()
	var conductor *rollout.Conductor
	var epoch uint64
	var service serviceRate
	for {
		select {
		case <-inner.Done():
			return
		case <-ticker.C:
		}
		t, owns := s.owns(rollout.Duty)
		if !owns || ctx.Err() != nil {
			conductor = nil
			continue
		}
		if conductor == nil || epoch != t.Epoch {
			conductor, epoch, service = rollout.NewConductor(s.self.Limiter), t.Epoch, serviceRate{}
		}
		plan := s.machine.currentRollout()
		if plan == nil || plan.State != rollout.StateRunning {
			service = serviceRate{}
			continue
		}
		seen, statuses := s.pollLimiters(inner)
		view := rollout.Observation{Now: now(), Epoch: t.Epoch, LimiterStatus: seen, ServedShare: service.observe(statuses)}
		notes, calls, resign := conductor.Next(plan, view)
		for _, n := range notes {
			ctx, done := context.WithTimeout(inner, proposeTimeout)
			err := s.propose(ctx, entry{Rollout: &n})
			done()
			s.log.Info("rollout", "id", plan.ID, "op", string(n.Op), "of", n.Limiter, "to", string(n.To), "why", n.Why, "token", t.String(), "err", err)
		}
		for _, call := range calls {
			s.sendCall(inner, call)
		}
		if resign {
			s.log.Info("rollout: this limiter is next, handing the rollout to another one", "id", plan.ID)
			s.resign(rollout.Duty)
		}
	}
}

// sendCall makes one call under the token that is valid at that moment.
func (s *Service) sendCall(ctx context.Context, c rollout.Call) {
	t, owns := s.owns(rollout.Duty) // last check; the receiver rejects a token that expires after it
	if !owns {
		return
	}
	answer, err := Call(ctx, s.options.AdminAddrs[c.Limiter], fmt.Sprintf("%s %v %d %s", c.Verb, t, c.Start, s.fleetID()), nil, peerCallTimeout)
	if err == nil && !strings.HasPrefix(answer, "YES") {
		err = fmt.Errorf("%s", strings.TrimSpace(answer))
	}
	s.log.Info("rollout call", "verb", string(c.Verb), "of", c.Limiter, "token", t.String(), "err", err)
}

// pollLimiters asks all limiters for their status. One that does not answer is in the first map only,
// with a zero value.
func (s *Service) pollLimiters(ctx context.Context) (map[string]rollout.LimiterStatus, map[string]LimiterStatus) {
	seen, statuses := map[string]rollout.LimiterStatus{}, map[string]LimiterStatus{}
	for _, name := range s.callableLimiters() {
		seen[name] = rollout.LimiterStatus{}
	}
	askAll(ctx, s, "self", func(_ int, name string, x LimiterStatus) {
		seen[name] = rollout.LimiterStatus{Reached: true, Ready: x.Ready, Draining: x.Draining, Start: x.Start, InFlight: x.InHand}
		statuses[name] = x
	})
	return seen, statuses
}

// serviceRate measures the share of requests that the limiters have served recently.
type serviceRate struct {
	previous map[string]LimiterStatus
	samples  [][2]int64 // passed and refused requests between two calls of observe
}

// observe adds the limiters' current counts and returns the share of served requests, or -1 while there
// are too few samples.
func (v *serviceRate) observe(statuses map[string]LimiterStatus) float64 {
	var delta [2]int64
	for name, x := range statuses {
		if b, ok := v.previous[name]; ok && b.Start == x.Start {
			delta[0] += x.Passed - b.Passed
			delta[1] += x.Refused - b.Refused
		}
	}
	first := v.previous == nil
	if v.previous = statuses; first {
		return -1
	}
	v.samples = append(v.samples, delta)
	if len(v.samples) > serviceSamples {
		v.samples = v.samples[1:]
	}
	var passed, refused int64
	for _, l := range v.samples {
		passed, refused = passed+l[0], refused+l[1]
	}
	switch {
	case len(v.samples) < serviceSamples:
		return -1
	case passed+refused < minServiceRequests:
		return 1 // hardly any traffic: no loss to report
	}
	return float64(passed) / float64(passed+refused)
}

// parseCallTarget parses the arguments of a call: a token, the target process, and the fleet that
// issued the token. The fleet is checked because epochs of different fleets are not comparable.
func (s *Service) parseCallTarget(args []string) (t tenure.Token, start uint64, err error) {
	if len(args) != 3 {
		return t, 0, fmt.Errorf("it needs a token, a process and a fleet: %s drain rollout/12 START FLEET", Name)
	}
	if t, err = tenure.ParseToken(args[0]); err != nil {
		return t, 0, err
	}
	if start, err = strconv.ParseUint(args[1], 10, 64); err != nil {
		return t, 0, fmt.Errorf("process %.30q is no number", args[1])
	}
	if mine := s.fleetID(); args[2] != mine || mine == "" {
		return t, 0, fmt.Errorf("it comes from fleet %.20q, this limiter is in %q", args[2], mine)
	}
	return t, start, nil
}
