package tenure

import (
	"testing"
	"time"
)

// An owner that is cut off from the replicated state carries nothing out under its epoch once another owner has used a
// higher one: its own term ends before the next one begins, so that a receiver never rejects it twice. An effect that
// it sent earlier may still arrive after that, and is rejected once.
func TestCutOffOwnerDoesNotGoOnUnderItsEpoch(t *testing.T) {
	cfg := DefaultSettings()
	const duty = "rollout"
	const tick = 10 * time.Millisecond
	limiters := []string{"a", "b"}
	for name, late := range map[string]time.Duration{"effects arrive at once": 0, "effects arrive a term late": cfg.Term} {
		registry, fence := &Registry{}, NewFence(nil)
		cutOff := NewCandidate(Process{Limiter: "a"}, cfg, []string{duty}, limiters)
		other := NewCandidate(Process{Limiter: "b"}, cfg, []string{duty}, limiters)
		type effect struct {
			token    Token
			sent, at time.Duration
		}
		var inTransit []effect
		admitted := map[string]int{}
		var lastSent, refusedAt time.Duration // by the owner that is cut off
		act := func(c *Candidate, now, arrives time.Duration) {
			if token, owns := c.Owns(now, duty); owns {
				inTransit = append(inTransit, effect{token, now, arrives})
			}
		}
		cut := 10 * cfg.Term
		for now := time.Duration(0); now < 40*cfg.Term; now += tick {
			candidate := cutOff
			if now >= cut {
				act(cutOff, now, now+late)
				candidate = other
			}
			candidate.Observe(now, registry)
			for _, command := range candidate.Step(now) {
				registry.Apply(command)
			}
			act(candidate, now, now)
			pending := inTransit[:0]
			for _, e := range inTransit {
				if e.at > now {
					pending = append(pending, e)
					continue
				}
				if _, err := fence.Admit(e.token); err != nil {
					refusedAt, lastSent = now, max(lastSent, e.sent)
					continue
				}
				admitted[e.token.String()]++
			}
			inTransit = pending
		}
		if len(admitted) < 2 {
			t.Errorf("%s: the other limiter never owned the duty: %v", name, admitted)
		}
		if late == 0 && refusedAt > 0 {
			t.Errorf("%s: an effect under the previous epoch was attempted at %v", name, lastSent)
		}
		if lastSent > cut+cfg.Term {
			t.Errorf("%s: an effect under the previous epoch was sent %v after the last renewal", name, lastSent-cut)
		}
	}
}
