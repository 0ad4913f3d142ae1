package virtual

import (
	"context"
	"net/http"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/advice/counsel"
	"example.org/madderdrum/limiter"
)

// Adviser is asked about the requests of one limiter, in one of its lives.
type Adviser interface {
	Advise(ctx context.Context, s *advice.Subject, within time.Duration) advice.Combined
	Close() error
}

// NewAdviser makes the plug-ins of one life of a limiter; now is the virtual time.
type NewAdviser func(limiter int, now func() time.Duration) (Adviser, error)

// LabelCount is how many tries got a label, and how many of these were refused by the
// plug-ins themselves.
type LabelCount struct{ Given, Refused int }

// advise asks the plug-ins about what goes to the policy next, as a limiter on sockets does.
// Real time plays no part: a call has all of its plug-in's budget.
func (h *host) advise(s *limiter.Submit) {
	if h.adviser == nil || !counsel.Due(s) {
		return
	}
	f := h.d.o.Fleet
	q := &advice.Subject{Request: advice.Request{Account: s.Account, Plan: s.Plan, Class: s.Class, PlanName: f.Plans[s.Plan].Name, ClassName: f.Classes[s.Class].Name,
		Method: http.MethodPost, Path: "/v1/" + f.Classes[s.Class].Name, Units: s.Units, LeftMs: s.ExpiresMs, Retry: s.Retry}}
	if f.Classes[s.Class].Repeat == limiter.Safe {
		q.Method = http.MethodGet
	}
	if p, ok := h.policy.(interface {
		Glance(now float64, account uint64, plan int, pool uint64) (balance, pressure float64)
	}); ok {
		q.Balance, q.Pressure = p.Glance(ms(h.d.w.Now()), s.Account, s.Plan, s.Pool)
	}
	said := h.adviser.Advise(context.Background(), q, 0)
	s.Advice = counsel.Of(&said, h.d.tiers)
	for _, label := range said.Labels {
		c := h.d.res.Labels[label]
		c.Given++
		if said.Refuse {
			c.Refused++
		}
		h.d.res.Labels[label] = c
	}
	if said.Refuse {
		h.d.res.Counts.Advised++
	}
}

// adviseFrom makes the plug-ins of a life that begins.
func (h *host) adviseFrom() (err error) {
	if h.d.o.Advisers == nil {
		return nil
	}
	h.adviseNoMore()
	h.adviser, err = h.d.o.Advisers(h.n, h.d.w.Now)
	return err
}

// adviseNoMore ends those of a life that is over.
func (h *host) adviseNoMore() {
	if h.adviser != nil {
		h.adviser.Close()
		h.adviser = nil
	}
}
