package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"example.org/madderdrum/limiter"
)

const counterInterval = time.Second

// counters count events and actions of the module for one debug log line a second, and log a line for each
// attempt that has ended. They are nil, and cost one comparison, at other log levels.
type counters struct {
	log *slog.Logger

	counts // guarded by the node's mutex

	connects, listCalls atomic.Int64
}

// counts are reset with each line.
type counts struct {
	submits, sends, fails, aborts, probes, probesFailed int
	peerSends, peerSendBytes, peerReceived              int
	refused                                             [limiter.Reasons]int
	ended                                               [limiter.Results]int
}

// newCounters returns counters if debug logging is enabled, else nil.
func newCounters(to *slog.Logger) *counters {
	if !to.Enabled(context.Background(), slog.LevelDebug) {
		return nil
	}
	return &counters{log: to}
}

// countEvent counts an event passed to the module.
func (c *counters) countEvent(ev limiter.Event) {
	if c == nil {
		return
	}
	switch e := ev.(type) {
	case limiter.Submit:
		c.submits++
	case limiter.Outcome:
		c.ended[e.Result]++
		c.log.Debug("attempt", "server", e.Server, "try", e.Try, "result", e.Result.String(), "ms", int(e.SpentMs))
	case limiter.PeerMessage:
		c.peerReceived++
	case limiter.Probed:
		if e.Result != limiter.Pass {
			c.probesFailed++
		}
	}
}

// countAction counts an action issued by the module.
func (c *counters) countAction(a limiter.Action) {
	if c == nil {
		return
	}
	switch a := a.(type) {
	case limiter.PassOn:
		c.sends++
	case limiter.Refuse:
		c.refused[a.Why]++
	case limiter.Fail:
		c.fails++
	case limiter.AbortAttempt:
		c.aborts++
	case limiter.Probe:
		c.probes++
	case limiter.Tell:
		c.peerSends++
		c.peerSendBytes += len(a.Data)
	}
}

// connect counts an opened connection to a server.
func (c *counters) connect() {
	if c != nil {
		c.connects.Add(1)
	}
}

// countListCall counts a call to the discovery agent.
func (c *counters) countListCall() {
	if c != nil {
		c.listCalls.Add(1)
	}
}

// line returns the nonzero counts since the last line as log attributes. The node's mutex is held.
func (c *counters) line(v limiter.View) []any {
	var all []any
	add := func(name string, n int) {
		if n != 0 {
			all = append(all, name, n)
		}
	}
	add("submits", c.submits)
	add("sends", c.sends)
	for i, n := range c.ended {
		add("ended_"+limiter.Result(i).String(), n)
	}
	for i, n := range c.refused {
		add("refused_"+limiter.Reason(i).String(), n)
	}
	add("fails", c.fails)
	add("aborts", c.aborts)
	add("probes", c.probes)
	add("probes_failed", c.probesFailed)
	add("tells", c.peerSends)
	add("told_bytes", c.peerSendBytes)
	add("heard", c.peerReceived)
	add("connects", int(c.connects.Swap(0)))
	add("list_calls", int(c.listCalls.Swap(0)))
	c.counts = counts{}
	add("out", v.Out)
	add("servers_up", v.Up)
	add("servers_cold", v.Cold)
	add("servers_off", v.Off)
	return append(all, "pressure", v.Pressure, "crowding", v.Crowding)
}

// logCounters logs a line each second until the context ends.
func (n *Node) logCounters(ctx context.Context) {
	for sleep(ctx, counterInterval); ctx.Err() == nil; sleep(ctx, counterInterval) {
		n.mu.Lock()
		line := n.counters.line(n.limiter.View(n.now()))
		n.mu.Unlock()
		n.log.Debug("counters", line...)
	}
}
