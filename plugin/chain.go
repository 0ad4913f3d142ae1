package plugin

import (
	"context"
	"errors"

	"example.org/madderdrum/advice"
)

// Member is a plug-in in a chain, with what the operator lets it say.
type Member struct {
	Plugin *Plugin
	Grant  advice.Grant
}

// Chain are the plug-ins that a request is put to, in the operator's order.
type Chain []Member

// Advise asks each in turn, until one refuses or the client has left. One that failed, is
// benched or has no instance free counts by its grant: the request goes on without it, or
// is refused. That a client left is nobody's failure.
func (c Chain) Advise(ctx context.Context, r *advice.Request) advice.Combined {
	all := advice.Start()
	for place := range c {
		m := &c[place]
		a, err := m.Plugin.Advise(ctx, r)
		more := true
		switch {
		case ctx.Err() != nil:
			return all
		case err == nil:
			more = all.Add(place, &m.Grant, a)
		case !errors.Is(err, ErrClosed): // taken away by a reload: nothing to ask
			more = all.Failed(place, &m.Grant)
		}
		if !more {
			break
		}
	}
	return all
}
