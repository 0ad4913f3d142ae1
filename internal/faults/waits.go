package faults

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/internal/ownership"
	"example.org/madderdrum/rollout"
)

// wait waits for an event of a schedule, which is its first word; what it needs follows.
func (r *rig) wait(ctx context.Context, words []string) error {
	what := strings.Join(words, " ")
	switch event, needs := words[0], words[1:]; event {
	case "owner", "new-owner", "owned-by":
		return r.waitOwner(ctx, what, event, needs)
	case "step":
		return r.waitPhase(ctx, what, needs)
	case "back":
		return r.waitBack(ctx, what, needs)
	case "votes":
		return r.waitVotes(ctx, what, needs)
	case "gone":
		return r.waitGone(ctx, what, needs)
	case "used":
		return r.waitUsed(ctx, what, needs)
	case "held":
		return r.until(ctx, what, func() bool { return r.net.holds() || r.over() })
	case "done":
		return r.until(ctx, what, func() bool { return r.rolledOut(ctx) })
	case "watched":
		return r.until(ctx, what, r.watched)
	case "asked":
		return r.until(ctx, what, r.asked)
	case "leader":
		return r.until(ctx, what, r.leaderRuns)
	case "no-leader":
		return r.until(ctx, what, func() bool { return !r.leaderRuns() })
	}
	return fmt.Errorf("there is no event %q", what)
}

// waitOwner waits until somebody who runs owns the duty: anybody, another one than the last that was seen, or
// the one that is named.
func (r *rig) waitOwner(ctx context.Context, what, event string, needs []string) error {
	from := time.Now()
	before := r.last
	err := r.until(ctx, what, func() bool {
		name, _ := r.owner()
		switch {
		case name == "" || !r.namedRuns(name):
			return false
		case event == "new-owner" && before != "" && name == before:
			return false
		case event == "owned-by" && (len(needs) == 0 || name != needs[0]):
			return false
		}
		r.last = name
		return true
	})
	if event == "new-owner" && err == nil {
		r.result.Gaps = append(r.result.Gaps, time.Since(from))
	}
	r.say("  %s owns it, %.2f s later", r.last, time.Since(from).Seconds())
	return err
}

// namedRuns tells whether a limiter can answer. A name that is none of theirs is not held against it.
func (r *rig) namedRuns(name string) bool {
	i := slices.IndexFunc(r.all, func(p *process) bool { return p.name == name })
	return i < 0 || r.runs(r.all[i])
}

// waitPhase waits until a step of the rollout is in a phase, or the rollout is over.
func (r *rig) waitPhase(ctx context.Context, what string, needs []string) error {
	if len(needs) == 0 {
		return errors.New("wait step needs a phase")
	}
	return r.until(ctx, what, func() bool {
		if r.over() {
			return true
		}
		p, _ := r.planNow()
		return p != nil && slices.ContainsFunc(p.Steps, func(s rollout.Step) bool { return string(s.Phase) == needs[0] })
	})
}

// waitBack waits until so many limiters are back in a rollout, or the rollout is over.
func (r *rig) waitBack(ctx context.Context, what string, needs []string) error {
	least, err := wantedNumber(needs)
	if err != nil {
		return errors.New("wait back needs how many")
	}
	return r.until(ctx, what, func() bool {
		p, known := r.planNow()
		if p == nil {
			return known
		}
		back := 0
		for _, s := range p.Steps {
			if s.Phase == rollout.PhaseBack {
				back++
			}
		}
		return back >= least
	})
}

// waitVotes waits until all limiters that run see so many members vote.
func (r *rig) waitVotes(ctx context.Context, what string, needs []string) error {
	wanted, err := wantedNumber(needs)
	if err != nil {
		return errors.New("wait votes needs how many")
	}
	return r.until(ctx, what, func() bool {
		votes, known := r.votes()
		return known && votes == wanted
	})
}

// waitGone waits until a limiter's process has ended.
func (r *rig) waitGone(ctx context.Context, what string, needs []string) error {
	if len(needs) == 0 {
		return errors.New("wait gone needs a limiter")
	}
	limiters, err := r.which(ctx, needs[0])
	if err != nil {
		return err
	}
	return r.until(ctx, what, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return !limiters[0].up
	})
}

// waitUsed waits until all limiters have sent a request to a box from now on.
func (r *rig) waitUsed(ctx context.Context, what string, needs []string) error {
	if len(needs) == 0 {
		return errors.New("wait used needs a box")
	}
	box, from := needs[0], time.Now()
	if box == "newest" {
		r.mu.Lock()
		box = r.newest
		r.mu.Unlock()
	}
	if err := r.until(ctx, what, func() bool { return r.used(box, from) }); err != nil {
		return err
	}
	r.say("  all do, %.2f s later", time.Since(from).Seconds())
	return nil
}

// wantedNumber is the number that an event needs.
func wantedNumber(needs []string) (int, error) {
	if len(needs) == 0 {
		return 0, errors.New("a number is missing")
	}
	return strconv.Atoi(needs[len(needs)-1])
}

// rolledOut tells whether the rollout is over. One that has halted because a fault took longer than it waits
// is continued.
func (r *rig) rolledOut(ctx context.Context) bool {
	p, known := r.planNow()
	if p != nil && p.State == rollout.StateHalted && strings.Contains(p.Why, "has been") {
		r.any(ctx, "continue", &ownership.Request{}, r.all)
	}
	return known && p == nil
}

// watched tells whether each limiter hears the one that looks for its room, and follows discovery only if it is
// that one.
func (r *rig) watched() bool {
	return r.every(func(p *process, s *ownership.Status) bool {
		return s.Looks != nil && s.Looks.By != "" && (s.Looks.By == p.name || len(s.Looks.Follows) == 0)
	})
}

// asked tells whether each limiter has asked another one to look at a box, but for the one that looks for its room.
func (r *rig) asked() bool {
	return r.every(func(p *process, s *ownership.Status) bool {
		return s.Looks != nil && (s.Looks.By == p.name || s.Looks.Asked > 0)
	})
}

// votes are the members that vote, as all limiters that run see it; false while a change is under way, none of
// them leads, or one has not learnt of the change yet. The leader knows first: were it lost then, those left might not know
// that the change is agreed on, and would look for the votes of a member that is gone.
func (r *rig) votes() (n int, known bool) {
	leads, first := false, true
	for p, s := range r.statuses {
		if s == nil {
			return 0, false
		}
		seen := 0
		for _, m := range s.Members {
			if m.Votes != m.Wanted {
				return 0, false
			}
			if m.Votes {
				seen++
			}
		}
		if !first && seen != n {
			return 0, false
		}
		n, first = seen, false
		leads = leads || s.Leader == p.name
	}
	return n, leads
}

// leaderRuns tells whether all that run and take part know one leader, which runs.
func (r *rig) leaderRuns() bool {
	return r.every(func(_ *process, s *ownership.Status) bool {
		i := slices.IndexFunc(r.all, func(x *process) bool { return x.name == s.Leader })
		return s.Failed != "" || i >= 0 && r.runs(r.all[i]) // one whose disk failed takes no part
	})
}
