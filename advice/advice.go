// Package advice turns the output of plug-ins about a request into input for the decision
// module. It does no input or output and reads no clock. Plug-in output is untrusted: it is
// decoded with every bound checked, limited to what the operator grants that plug-in, and
// combined in the operator's order. The result can refuse a request, scale its priority by a
// bounded factor, label it, and prefer or avoid tiers, and nothing else: it can't admit, send
// or resend a request or touch an answer.
package advice

import "math"

// Advice is the output of one plug-in for one request. The zero value expresses no opinion.
type Advice struct {
	Refuse   bool
	WaitMs   float64 // with Refuse: suggested delay before a retry; 0: none given
	Reason   string  // written to the log
	Priority float64 // factor on the request's worth; 0: no opinion
	Label    string  // for logs and reports
	Prefer   string  // name of a tier of the request's pool
	Avoid    string
}

// Failures is a set of the ways in which a plug-in can fail to give advice.
type Failures uint8

// Kinds of failure. If a plug-in fails in a way that is not in its Grant's RefuseOn, the request
// continues as if the plug-in had no opinion.
const (
	OnFault   Failures = 1 << iota // it trapped, exceeded its budget, or returned advice that can't be decoded
	OnBenched                      // it is suspended for a while after faults
	OnBusy                         // no instance was free, or no time was left
)

// Grant limits the effects of a plug-in's advice, as the operator configures it. The zero value
// grants nothing.
type Grant struct {
	Refuse     bool
	MostWaitMs float64 // maximum of the suggested retry delay
	Lower      float64 // smallest priority factor; 0 or 1: it may not lower a priority
	Raise      float64 // largest priority factor; 0 or 1: it may not raise a priority
	Label      bool
	Tiers      bool
	RefuseOn   Failures // failures that refuse the request, for a plug-in that protects something
}

// clamp limits advice to the grant. NaN and infinite numbers count as no opinion.
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

// Bounds of the product of all priority factors. The decision module limits the resulting worth
// to the same range anyway.
const (
	LeastFactor = 0.1
	MostFactor  = 10.0
)

// maxLabels limits the labels, and the avoided tiers, of one request.
const maxLabels = 8

// Combined is the combined advice of several plug-ins. Create one with [Start].
type Combined struct {
	Refuse bool
	By     int // with Refuse: index of the plug-in that refused
	WaitMs float64
	Reason string
	Factor float64 // on the request's worth; 1 changes nothing
	Labels []string
	Prefer string
	Avoid  []string
}

// Start returns the combined advice of no plug-ins, which changes nothing.
func Start() Combined { return Combined{By: -1, Factor: 1} }

// Add adds the advice of the plug-in at index place in the operator's order, and reports whether
// the next plug-in should be asked: the first refusal ends the sequence. Factors multiply, labels
// accumulate, the first preferred tier wins, and every avoided tier is avoided.
func (c *Combined) Add(place int, g *Grant, a Advice) (askNext bool) {
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

// Failed records a failure of the plug-in at index place, which refuses the request if the grant
// says so. It reports whether the next plug-in should be asked.
func (c *Combined) Failed(place int, g *Grant, how Failures) (askNext bool) {
	if g.RefuseOn&how != 0 {
		c.Refuse, c.By, c.Reason = true, place, "a plug-in that guards this has failed"
	}
	return !c.Refuse
}
