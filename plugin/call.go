package plugin

import (
	"context"
	"sync/atomic"
	"time"
)

// callContext is the context for all calls of one instance, which run one at a time. It is
// reused because a standard library context with a deadline costs four allocations per call.
// It expires when a call exceeds its time budget and can't be reused after that; the instance
// is then discarded.
type callContext struct {
	owner   *instance
	timer   *time.Timer
	done    chan struct{}
	expired atomic.Bool
}

// init creates the timer that expires the context; it is not started yet.
func (c *callContext) init(owner *instance) {
	c.owner, c.done = owner, make(chan struct{})
	c.timer = time.AfterFunc(time.Hour, func() {
		c.expired.Store(true)
		close(c.done)
	})
	c.timer.Stop()
}

// begin starts the timer of a call.
func (c *callContext) begin(within time.Duration) { c.timer.Reset(within) }

// end stops the timer and reports whether the call ended in time.
func (c *callContext) end() bool { return c.timer.Stop() }

// Deadline reports none: only the timer enforces the time budget.
func (c *callContext) Deadline() (time.Time, bool) { return time.Time{}, false }

// Done returns a channel that is closed when a call exceeds its time budget.
func (c *callContext) Done() <-chan struct{} { return c.done }

// Err returns context.DeadlineExceeded after a call has exceeded its time budget, else nil.
func (c *callContext) Err() error {
	if c.expired.Load() {
		return context.DeadlineExceeded
	}
	return nil
}

// Value returns the instance under instanceKey, so that host functions find their caller.
func (c *callContext) Value(key any) any {
	if key == (instanceKey{}) {
		return c.owner
	}
	return nil
}
