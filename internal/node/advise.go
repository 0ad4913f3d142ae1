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

// Adviser asks the plug-ins of a route about requests before the module decides on them. It is called by many
// goroutines at once.
type Adviser interface {
	// Advise asks about one request. It returns within timeout, and promptly once the context has ended.
	Advise(ctx context.Context, s *advice.Subject, timeout time.Duration) advice.Combined
	// Name returns the name of the plug-in at an index of [advice.Combined].
	Name(index int) string
}

// pluginTimeDivisor sets the fraction of a request's time that all plug-ins together may use.
const pluginTimeDivisor = 4

// PluginAdvice is the combined advice of a target's plug-ins.
type PluginAdvice struct {
	Advice limiter.Advice
	Labels []string
	By     string // the plug-in that refuses the request, if any
	Reason string
}

// Advise asks the target's plug-ins, if it has any. left is the time until the request's deadline.
func (t *Target) Advise(ctx context.Context, s *advice.Subject, left time.Duration) PluginAdvice {
	if t.Adviser == nil {
		return PluginAdvice{}
	}
	combined := t.Adviser.Advise(ctx, s, max(time.Microsecond, left/pluginTimeDivisor))
	result := PluginAdvice{Labels: combined.Labels, Advice: counsel.Of(&combined, t.Tiers)}
	if combined.Refuse {
		result.By, result.Reason = t.Adviser.Name(combined.By), combined.Reason
	}
	return result
}

// Glance returns an account's balance and a pool's pressure, for plug-ins.
func (n *Node) Glance(account uint64, plan int, pool uint64) (balance, pressure float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Glance(n.now(), account, plan, pool)
}

// consultPlugins asks the plug-ins about a request before it is submitted to the module, and reports whether
// its client is still connected. A request whose client has disconnected must not go on: its plug-ins were
// interrupted, and it could get past one that guards a resource.
func (n *Node) consultPlugins(hr *http.Request, v *revision, r *request, ev *limiter.Submit) bool {
	if r.destination.Adviser == nil || !counsel.Due(ev) {
		return true
	}
	subject := &advice.Subject{Whole: r.body, Header: func(name string) string { return singleHeader(hr.Header, name) },
		Request: advice.Request{Account: ev.Account, Plan: ev.Plan, Class: ev.Class, Method: hr.Method, Path: hr.URL.Path,
			PlanName: hr.Header.Get("Plan"), ClassName: v.classNames[ev.Class], Units: ev.Units, Retry: ev.Retry}}
	subject.Balance, subject.Pressure = n.Glance(ev.Account, ev.Plan, ev.Pool)
	remaining := time.Until(r.deadline)
	subject.LeftMs = float64(remaining) / float64(time.Millisecond)
	r.counsel = r.destination.Advise(hr.Context(), subject, remaining)
	ev.Advice = r.counsel.Advice
	if ev.Advice.Refuse {
		n.pluginRefusalLog.warn("a plug-in has a request refused", "plugin", r.counsel.By, "reason", r.counsel.Reason,
			"labels", r.counsel.Labels, "request", r.id, "class", subject.ClassName, "plan", subject.PlanName)
	}
	return hr.Context().Err() == nil
}

// setRefusalBody sets the body of an answer to a request that a plug-in refused.
func (r *request) setRefusalBody(a *answer) {
	if c := &r.counsel; c.Advice.Refuse && a.status == http.StatusTooManyRequests && c.Reason != "" {
		a.body, a.contentType = []byte(c.Reason+"\n"), "text/plain; charset=utf-8"
	}
}

// maxLabels limits the number of labels counted separately; further ones are counted as otherLabel.
const (
	maxLabels  = 64
	otherLabel = "(others)"
)

// LabelCount counts the results of requests with a label assigned by plug-ins.
type LabelCount struct {
	Label                   string
	Served, Refused, Failed uint64
}

// countLabels counts a request's result for each of its labels.
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

// Labels returns the counts of all labels, sorted by name.
func (n *Node) Labels() (counts []LabelCount) {
	n.labelMu.Lock()
	defer n.labelMu.Unlock()
	for _, c := range n.labels {
		counts = append(counts, *c)
	}
	slices.SortFunc(counts, func(a, b LabelCount) int {
		if a.Label < b.Label {
			return -1
		}
		return 1
	})
	return counts
}
