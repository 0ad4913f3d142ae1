package agreement

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
)

// Bootstrap initializes a new fleet with this limiter as the only voter; the listed voters are added once they
// join.
func (h *Host) Bootstrap(ctx context.Context, voters []string) error {
	return h.startFleet(ctx, func() error {
		if h.dataFolder.self.Fleet != 0 {
			return fmt.Errorf("this limiter is in a fleet already: %016x", h.dataFolder.self.Fleet)
		}
		return h.writeInitialState(rand.Uint64()|1, 0, voters)
	})
}

// ForceNewFleet re-initializes the fleet as a new generation with this limiter as the only voter, after a
// majority of voters is lost. The state is that of this limiter: committed entries that it has not received
// are lost. before is called first and may change the state machine.
func (h *Host) ForceNewFleet(ctx context.Context, before func(generation uint64)) error {
	return h.startFleet(ctx, func() error {
		if h.dataFolder.self.Fleet == 0 {
			return ErrNoFleet
		}
		if s := h.core.View(); s.Leader != 0 {
			return errors.New("the fleet has a leader: nothing is lost; add and remove voters in place of beginning anew")
		}
		before(h.dataFolder.self.Generation + 1)
		return h.writeInitialState(h.dataFolder.self.Fleet, h.dataFolder.self.Generation+1, nil)
	})
}

func (h *Host) startFleet(ctx context.Context, initialize func() error) error {
	return h.runOnDriver(ctx, func() error {
		if h.core == nil {
			return fmt.Errorf("this limiter takes no part: %w", h.failure)
		}
		if err := initialize(); err != nil {
			return err
		}
		if err := h.openCore(); err != nil {
			h.suspend(err)
			return err
		}
		h.core.Campaign()
		for _, l := range h.links { // opened with a hello that names no fleet or an older generation
			l.reopen()
			l.connect()
		}
		return nil
	})
}

// writeInitialState stores the initial state of a fleet or of a new generation.
func (h *Host) writeInitialState(fleet, generation uint64, voters []string) error {
	hardState, initial, err := h.core.InitialState(h.options.Name, voters)
	if err != nil {
		return err
	}
	return h.dataFolder.initialize(fleet, generation, hardState, initial)
}
