package parallel

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
)

// Each index runs once and reports progress; an error or the end of the context stops the rest.
func TestEach(t *testing.T) {
	got, shares := make([]int, 100), []float64{}
	err := Each(t.Context(), len(got), func(done float64) { shares = append(shares, done) }, func(_ context.Context, i int) error {
		got[i] += i
		return nil
	})
	if err != nil || len(shares) != 100 || shares[99] != 1 {
		t.Errorf("%v, progress %v", err, shares)
	}
	for i, x := range got {
		if x != i {
			t.Errorf("%d: %d", i, x)
		}
	}
	if err := Each(t.Context(), 0, nil, nil); err != nil {
		t.Errorf("no tasks: %v", err)
	}
	bad := errors.New("bad")
	var begun atomic.Int64
	err = Each(t.Context(), 100_000, nil, func(ctx context.Context, i int) error {
		begun.Add(1)
		if i == 3 {
			return bad
		}
		return nil
	})
	if !errors.Is(err, bad) || begun.Load() == 100_000 {
		t.Errorf("%v after %d", err, begun.Load())
	}
	ctx, stop := context.WithCancel(t.Context())
	err = Each(ctx, 100_000, nil, func(context.Context, int) error {
		stop()
		return nil
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("a cancelled context: %v", err)
	}
}
