package plugin

import (
	"context"
	"errors"
	"time"

	"example.org/madderdrum/advice"
)

// Member is a plug-in in a chain, with what the operator lets it see and say.
type Member struct {
	Plugin *Plugin
	Grant  advice.Grant
	Sight  advice.Sight
}

// Chain are the plug-ins that a request is put to, in the operator's order.
type Chain []Member

// Advise asks each in turn, until one refuses, the client has left or the time is used up
// that all have together; 0 is no such bound. One that failed, is benched or could not be
// asked counts by its grant: the request goes on without it, or is refused. That a client
// left is nobody's failure.
func (c Chain) Advise(ctx context.Context, s *advice.Subject, within time.Duration) advice.Combined {
	all := advice.Start()
	begun := time.Now()
	for place := range c {
		if ctx.Err() != nil {
			return all
		}
		m, left := &c[place], time.Duration(0)
		if within > 0 {
			if left = within - time.Since(begun); left <= 0 {
				if !all.Failed(place, &m.Grant, advice.OnBusy) {
					m.Plugin.Counts.Refused.Add(1)
					break
				}
				continue
			}
		}
		a, err := m.Plugin.Advise(s.For(&m.Sight, m.Plugin.WantsBody()), left)
		more := true
		switch {
		case err == nil:
			more = all.Add(place, &m.Grant, a)
		case errors.Is(err, ErrClosed): // taken away by a reload: nothing to ask
		case errors.Is(err, ErrBenched):
			more = all.Failed(place, &m.Grant, advice.OnBenched)
		case errors.Is(err, ErrBusy):
			more = all.Failed(place, &m.Grant, advice.OnBusy)
		default:
			more = all.Failed(place, &m.Grant, advice.OnFault)
		}
		if !more {
			m.Plugin.Counts.Refused.Add(1)
			break
		}
	}
	return all
}

// Name is that of the plug-in at a place.
func (c Chain) Name(place int) string {
	if place < 0 || place >= len(c) {
		return ""
	}
	return c[place].Plugin.name
}
