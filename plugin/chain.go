package plugin

import (
	"context"
	"errors"
	"time"

	"example.org/madderdrum/advice"
)

// Member is a plug-in of a chain, with the operator's limits on the advice it may give (Grant)
// and the request data it may see (Sight).
type Member struct {
	Plugin *Plugin
	Grant  advice.Grant
	Sight  advice.Sight
}

// Chain lists the plug-ins that advise on a request, in the operator's order.
type Chain []Member

// Advise calls the plug-ins in turn and combines their advice. It stops when one refuses, when
// ctx ends because the client disconnected, or when the shared time budget within is used up
// (0: no shared budget). The grant of a plug-in that failed, is benched or is busy decides
// whether the request continues without its advice or is refused. A disconnected client does
// not count as a failure.
func (c Chain) Advise(ctx context.Context, subject *advice.Subject, within time.Duration) advice.Combined {
	combined := advice.Start()
	start := time.Now()
	for position := range c {
		if ctx.Err() != nil {
			return combined
		}
		member, remaining := &c[position], time.Duration(0)
		if within > 0 {
			if remaining = within - time.Since(start); remaining <= 0 {
				if !combined.Failed(position, &member.Grant, advice.OnBusy) {
					member.Plugin.Counts.Refused.Add(1)
					break
				}
				continue
			}
		}
		answer, err := member.Plugin.Advise(subject.For(&member.Sight, member.Plugin.WantsBody()), remaining)
		proceed := true
		switch {
		case err == nil:
			proceed = combined.Add(position, &member.Grant, answer)
		case errors.Is(err, ErrClosed): // unloaded by a reload: skip it
		case errors.Is(err, ErrBenched):
			proceed = combined.Failed(position, &member.Grant, advice.OnBenched)
		case errors.Is(err, ErrBusy):
			proceed = combined.Failed(position, &member.Grant, advice.OnBusy)
		default:
			proceed = combined.Failed(position, &member.Grant, advice.OnFault)
		}
		if !proceed {
			member.Plugin.Counts.Refused.Add(1)
			break
		}
	}
	return combined
}

// Name returns the name of the plug-in at the given position, or "" if there is none.
func (c Chain) Name(position int) string {
	if position < 0 || position >= len(c) {
		return ""
	}
	return c[position].Plugin.name
}
