// Package parallel plays independent runs on all cores.
package parallel

import (
	"context"
	"runtime"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Each calls do for 0 to n-1, as many at once as there are cores, and returns the first error;
// after it no further one is begun, and the context of those under way ends. progress, if set,
// is called after each with the share that is done, never twice at once. What do leaves is to go
// where it belongs by its number, so that results do not depend on the order of the ends.
func Each(ctx context.Context, n int, progress func(done float64), do func(ctx context.Context, i int) error) error {
	group, running := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	var mu sync.Mutex
	done := 0
	for i := range n {
		if running.Err() != nil {
			break
		}
		group.Go(func() error {
			if err := running.Err(); err != nil {
				return err
			}
			if err := do(running, i); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if done++; progress != nil {
				progress(float64(done) / float64(n))
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return ctx.Err()
}
