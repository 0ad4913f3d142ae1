// Package wait waits.
package wait

import (
	"context"
	"time"
)

// Sleep waits for a while, or until the context ends.
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
