package plugin

import (
	"context"
	"sync/atomic"
	"time"
)

// callContext is the context of an instance's calls, one after another. It is made once for
// all of them: a context of the standard library's with a deadline costs four allocations a
// call. It ends when a call has run past its time, and then for good: the instance is thrown
// away.
type callContext struct {
	i     *instance
	timer *time.Timer
	done  chan struct{}
	over  atomic.Bool
}

func (c *callContext) init(i *instance) {
	c.i, c.done = i, make(chan struct{})
	c.timer = time.AfterFunc(time.Hour, func() {
		c.over.Store(true)
		close(c.done)
	})
	c.timer.Stop()
}

// begin starts the time of a call.
func (c *callContext) begin(within time.Duration) { c.timer.Reset(within) }

// end ends it, and tells whether it was in time.
func (c *callContext) end() bool { return c.timer.Stop() }

// Deadline is unknown: the time is watched by the timer alone.
func (c *callContext) Deadline() (time.Time, bool) { return time.Time{}, false }

// Done is closed when the call has run past its time.
func (c *callContext) Done() <-chan struct{} { return c.done }

// Err is context.DeadlineExceeded then.
func (c *callContext) Err() error {
	if c.over.Load() {
		return context.DeadlineExceeded
	}
	return nil
}

// Value finds the instance, for the host functions.
func (c *callContext) Value(key any) any {
	if key == (instanceKey{}) {
		return c.i
	}
	return nil
}
