package agreement

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
)

// Begin makes this limiter the first of a fleet; the voters follow when they come.
func (h *Host) Begin(ctx context.Context, voters []string) error {
	return h.begin(ctx, func() error {
		if h.f.self.Fleet != 0 {
			return fmt.Errorf("this limiter is in a fleet already: %016x", h.f.self.Fleet)
		}
		return h.first(rand.Uint64()|1, 0, voters)
	})
}

// BeginAnew makes this limiter the only voter of its fleet, with what it knows of the log,
// although others may know more. before changes the machine first.
func (h *Host) BeginAnew(ctx context.Context, before func(generation uint64)) error {
	return h.begin(ctx, func() error {
		if h.f.self.Fleet == 0 {
			return ErrNotBegun
		}
		if s := h.core.View(); s.Leader != 0 {
			return errors.New("the fleet has a leader: nothing is lost; add and remove voters in place of beginning anew")
		}
		before(h.f.self.Generation + 1)
		return h.first(h.f.self.Fleet, h.f.self.Generation+1, nil)
	})
}

func (h *Host) begin(ctx context.Context, do func() error) error {
	return h.ask(ctx, func() error {
		if h.core == nil {
			return fmt.Errorf("this limiter takes no part: %w", h.failed)
		}
		if err := do(); err != nil {
			return err
		}
		if err := h.openCore(); err != nil {
			h.fail(err)
			return err
		}
		h.core.Campaign()
		for _, l := range h.links { // which were opened by one that was in no fleet, or an older one
			l.again()
			l.open()
		}
		return nil
	})
}

// first writes the beginning of a fleet.
func (h *Host) first(fleet, generation uint64, voters []string) error {
	hard, snap, err := h.core.First(h.o.Name, voters)
	if err != nil {
		return err
	}
	return h.f.begin(fleet, generation, hard, snap)
}
