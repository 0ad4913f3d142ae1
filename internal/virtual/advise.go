package virtual

import (
	"context"
	"net/http"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/advice/counsel"
	"example.org/madderdrum/limiter"
)

// Adviser evaluates the plug-ins of one limiter process for each request.
type Adviser interface {
	Advise(ctx context.Context, s *advice.Subject, within time.Duration) advice.Combined
	Close() error
}

// NewAdviser creates the plug-ins of a limiter at each of its starts; now returns the virtual time.
type NewAdviser func(limiter int, now func() time.Duration) (Adviser, error)

// LabelCount counts the tries that plug-ins gave a label, and those among them that the plug-ins refused.
type LabelCount struct{ Given, Refused int }

// advise asks the plug-ins about a request before the policy gets it, as the real program does. Since
// no real time passes, each call has the full time budget of its plug-in.
func (h *host) advise(s *limiter.Submit) {
	if h.adviser == nil || !counsel.Due(s) {
		return
	}
	f := h.driver.options.Fleet
	q := &advice.Subject{Request: advice.Request{Account: s.Account, Plan: s.Plan, Class: s.Class, PlanName: f.Plans[s.Plan].Name, ClassName: f.Classes[s.Class].Name,
		Method: http.MethodPost, Path: "/v1/" + f.Classes[s.Class].Name, Units: s.Units, LeftMs: s.ExpiresMs, Retry: s.Retry}}
	if f.Classes[s.Class].Repeat == limiter.Safe {
		q.Method = http.MethodGet
	}
	if p, ok := h.policy.(interface {
		Glance(now float64, account uint64, plan int, pool uint64) (balance, pressure float64)
	}); ok {
		q.Balance, q.Pressure = p.Glance(clockMs(h.driver.world.Now()), s.Account, s.Plan, s.Pool)
	}
	said := h.adviser.Advise(context.Background(), q, 0)
	s.Advice = counsel.Of(&said, h.driver.tiers)
	for _, label := range said.Labels {
		c := h.driver.result.Labels[label]
		c.Given++
		if said.Refuse {
			c.Refused++
		}
		h.driver.result.Labels[label] = c
	}
	if said.Refuse {
		h.driver.result.Counts.RefusedByPlugins++
	}
}

// startAdviser creates the plug-ins of a limiter that starts.
func (h *host) startAdviser() (err error) {
	if h.driver.options.Advisers == nil {
		return nil
	}
	h.stopAdviser()
	h.adviser, err = h.driver.options.Advisers(h.index, h.driver.world.Now)
	return err
}

// stopAdviser closes the plug-ins, if there are any.
func (h *host) stopAdviser() {
	if h.adviser != nil {
		h.adviser.Close()
		h.adviser = nil
	}
}
