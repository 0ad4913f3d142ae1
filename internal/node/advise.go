package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/advice/counsel"
	"example.org/madderdrum/limiter"
)

// Adviser is asked about requests before the module decides on them: the plug-ins of a
// route. It is called by many goroutines at once.
type Adviser interface {
	// Advise asks about one request. It takes no longer than within, and hardly any longer
	// once the context has ended.
	Advise(ctx context.Context, s *advice.Subject, within time.Duration) advice.Combined
	// Name is that of the plug-in at a place of [advice.Combined].
	Name(place int) string
}

// advisePart is the part of a request's time that all plug-ins may take together.
const pluginTimeDivisor = 4

// Counsel is what came of asking a target's plug-ins.
type PluginAdvice struct {
	Advice limiter.Advice
	Labels []string
	By     string // the plug-in that refuses, if one does
	Reason string
}

// Advise has the target's plug-ins asked, if it has any. left is what the request has of
// its time.
func (t *Target) Advise(ctx context.Context, s *advice.Subject, left time.Duration) PluginAdvice {
	if t.Adviser == nil {
		return PluginAdvice{}
	}
	all := t.Adviser.Advise(ctx, s, max(time.Microsecond, left/pluginTimeDivisor))
	c := PluginAdvice{Labels: all.Labels, Advice: counsel.Of(&all, t.Tiers)}
	if all.Refuse {
		c.By, c.Reason = t.Adviser.Name(all.By), all.Reason
	}
	return c
}

// Glance is what the module knows of an account and of a pool, for plug-ins.
func (n *Node) Glance(account uint64, plan int, pool uint64) (balance, pressure float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Glance(n.now(), account, plan, pool)
}

// advise asks the plug-ins about a request that is about to go to the module, and tells
// whether its client still waits. Of one that has left nothing may go on: it would get past
// a plug-in that guards something.
func (n *Node) consultPlugins(hr *http.Request, v *revision, r *request, ev *limiter.Submit) bool {
	if r.destination.Adviser == nil || !counsel.Due(ev) {
		return true
	}
	subject := &advice.Subject{Whole: r.body, Header: func(name string) string { return singleHeader(hr.Header, name) },
		Request: advice.Request{Account: ev.Customer, Plan: ev.Plan, Class: ev.Class, Method: hr.Method, Path: hr.URL.Path,
			PlanName: hr.Header.Get("Plan"), ClassName: v.classNames[ev.Class], Units: ev.Units, Retry: ev.Retry}}
	subject.Balance, subject.Pressure = n.Glance(ev.Customer, ev.Plan, ev.Pool)
	remaining := time.Until(r.deadline)
	subject.LeftMs = float64(remaining) / float64(time.Millisecond)
	r.counsel = r.destination.Advise(hr.Context(), subject, remaining)
	ev.Advice = r.counsel.Advice
	if ev.Advice.Refuse {
		n.pluginRefusalLog.warn("a plug-in has a request refused", "plugin", r.counsel.By, "reason", r.counsel.Reason, "labels", r.counsel.Labels,
			"request", r.id, "class", subject.ClassName, "plan", subject.PlanName)
	}
	return hr.Context().Err() == nil
}

// reason is the body of an answer that a plug-in's refusal brought about.
func (r *request) setRefusalBody(a *answer) {
	if c := &r.counsel; c.Advice.Refuse && a.status == http.StatusTooManyRequests && c.Reason != "" {
		a.body, a.contentType = []byte(c.Reason+"\n"), "text/plain; charset=utf-8"
	}
}

// mostLabels bounds the labels that are counted apart; a further one counts as otherLabel.
const (
	maxLabels  = 64
	otherLabel = "(others)"
)

// LabelCount is what became of the requests with a label that plug-ins gave them.
type LabelCount struct {
	Label                   string
	Served, Refused, Failed uint64
}

// tally counts a request's end by its labels.
func (n *Node) countLabels(r *request, a *answer) {
	if len(r.counsel.Labels) == 0 {
		return
	}
	n.labelMu.Lock()
	defer n.labelMu.Unlock()
	for _, label := range r.counsel.Labels {
		c := n.labels[label]
		if c == nil {
			if len(n.labels) >= maxLabels {
				label = otherLabel
			}
			if c = n.labels[label]; c == nil {
				c = &LabelCount{Label: label}
				n.labels[label] = c
			}
		}
		switch a.status {
		case http.StatusOK:
			c.Served++
		case http.StatusTooManyRequests:
			c.Refused++
		default:
			c.Failed++
		}
	}
}

// Labels are the counts of all labels, by name.
func (n *Node) Labels() (all []LabelCount) {
	n.labelMu.Lock()
	defer n.labelMu.Unlock()
	for _, c := range n.labels {
		all = append(all, *c)
	}
	slices.SortFunc(all, func(a, b LabelCount) int {
		if a.Label < b.Label {
			return -1
		}
		return 1
	})
	return all
}
