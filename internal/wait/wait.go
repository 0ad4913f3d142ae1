// Package wait provides a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// Sleep returns after d or when the context ends, whichever is first.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
