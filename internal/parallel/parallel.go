// Package parallel runs independent tasks on all cores.
package parallel

import (
	"context"
	"runtime"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Each calls do for 0 to n-1, with GOMAXPROCS calls in parallel, and returns the first error. After an
// error no further call starts, and the context of the running ones is cancelled. progress, if set,
// is called after each completed call with the completed share, by one goroutine at a time. do must
// store its result by its index, so that results do not depend on the order of completion.
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
