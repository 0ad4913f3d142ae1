// Package advice turns what plug-ins say about a request into what the decision module
// may use. It does no input or output and reads no clock. What a plug-in says is data
// from a stranger: it is decoded with every bound checked, brought within what the
// operator grants that plug-in, and combined in the operator's order. Whatever comes of
// it can refuse a request, or weigh it by a bounded factor, and nothing else: it can't
// admit, send, resend or touch an answer.
package advice

import "math"

// Advice is what one plug-in says about one request. The zero value is no opinion.
type Advice struct {
	Refuse   bool
	WaitMs   float64 // with Refuse: when to come back; 0: not said
	Reason   string  // for the log
	Priority float64 // factor on what the request is worth; 0: no opinion
	Label    string  // for logs and reports
	Prefer   string  // a tier of the request's pool, by name
	Avoid    string
}

// Failures are the ways in which a plug-in may give no advice.
type Failures uint8

// The ways. A request for which a plug-in fails in a way that is not in its [Grant] goes on
// as if it had no opinion.
const (
	OnFault   Failures = 1 << iota // it trapped, ran past its budget, or said what can't be read
	OnBenched                      // it is not asked for a while, after faults
	OnBusy                         // it had no instance free, or no time was left for it
)

// Grant is what the operator lets a plug-in say. The zero value grants nothing.
type Grant struct {
	Refuse     bool
	MostWaitMs float64 // a longer time to come back is cut down to this
	Lower      float64 // the least factor; 0 or 1: it may not lower a priority
	Raise      float64 // the greatest factor; 0 or 1: it may not raise one
	Label      bool
	Tiers      bool
	RefuseOn   Failures // what becomes a refusal, of a plug-in that guards something
}

// within brings advice within a grant. NaN and infinities are no opinion.
func (g *Grant) clamp(a Advice) Advice {
	a.Refuse = a.Refuse && g.Refuse
	if !(a.WaitMs > 0) || !a.Refuse {
		a.WaitMs = 0
	}
	a.WaitMs = min(a.WaitMs, g.MostWaitMs)
	low, high := 1.0, 1.0
	if g.Lower > 0 {
		low = min(1, g.Lower)
	}
	if g.Raise > 0 {
		high = max(1, g.Raise)
	}
	if !(a.Priority > 0) || math.IsInf(a.Priority, 0) {
		a.Priority = 1
	}
	a.Priority = max(low, min(high, a.Priority))
	if !g.Label {
		a.Label = ""
	}
	if !g.Tiers {
		a.Prefer, a.Avoid = "", ""
	}
	return a
}

// Bounds of the product of all factors: what the decision module would make of a worth is
// within these anyway.
const (
	LeastFactor = 0.1
	MostFactor  = 10.0
)

// mostLabels bounds the labels of one request.
const maxLabels = 8

// Combined is what several plug-ins say together. Make one with [Start].
type Combined struct {
	Refuse bool
	By     int // with Refuse: the place of the plug-in that says so
	WaitMs float64
	Reason string
	Factor float64 // on the worth; 1 changes nothing
	Labels []string
	Prefer string
	Avoid  []string
}

// Start is what no plug-in says.
func Start() Combined { return Combined{By: -1, Factor: 1} }

// Add takes in what the plug-in at a place says, in the operator's order, and tells whether
// the next one is to be asked: the first refusal ends it. Factors multiply, labels add up,
// the first preference for a tier holds and any tier that one avoids is avoided.
func (c *Combined) Add(place int, g *Grant, a Advice) (more bool) {
	a = g.clamp(a)
	c.Factor = max(LeastFactor, min(MostFactor, c.Factor*a.Priority))
	if a.Label != "" && len(c.Labels) < maxLabels {
		c.Labels = append(c.Labels, a.Label)
	}
	if c.Prefer == "" {
		c.Prefer = a.Prefer
	}
	if a.Avoid != "" && len(c.Avoid) < maxLabels {
		c.Avoid = append(c.Avoid, a.Avoid)
	}
	if a.Refuse {
		c.Refuse, c.By, c.WaitMs, c.Reason = true, place, a.WaitMs, a.Reason
	}
	return !c.Refuse
}

// Failed takes in that the plug-in at a place failed in some way.
func (c *Combined) Failed(place int, g *Grant, how Failures) (more bool) {
	if g.RefuseOn&how != 0 {
		c.Refuse, c.By, c.Reason = true, place, "a plug-in that guards this has failed"
	}
	return !c.Refuse
}
