package ownership

import (
	"context"
	"time"

	"example.org/madderdrum/parts"
)

const (
	dealInterval   = time.Second
	catchUpTimeout = 2 * time.Second
)

// CeilingDemand is a limiter's answer to the steward: the demand of its accounts with ceilings.
type CeilingDemand struct {
	Fleet string
	Start uint64
	Of    []parts.Report
}

// useCeilingShares makes the limiter use the agreed shares of ceilings, and confirms those that it has
// reduced. Until this process has read the agreed state, it uses its guaranteed minimum shares.
func (s *Service) useCeilingShares(ctx context.Context) {
	var lastUsed map[uint64]float64       // only for test builds that disable a check
	var readResets, appliedChanges uint64 // the machine's reset count at the last read; share changes already applied
	holder := parts.NewHolder(s.position)
	use := func(shares parts.UsableShares) { s.options.Limiter.UseShares(shares.ByAccount, shares.Default) }
	if s.options.Steward {
		use(holder.UseFloors())
	}
	ticker := time.NewTicker(catchUpTimeout / 4) // a confirmation may have been lost
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.sharesChanged:
		case <-ticker.C:
		}
		resets, changes, due := s.machine.shareStatus()
		if resets != readResets {
			if readResets != 0 || s.options.Steward {
				use(holder.UseFloors())
			}
			ctx, done := context.WithTimeout(ctx, catchUpTimeout)
			err := s.host.ReadBarrier(ctx)
			done()
			if err != nil {
				continue
			}
			readResets, appliedChanges = resets, 0
			holder.CaughtUp()
			continue // apply the state that was just read
		}
		if !due && changes == appliedChanges {
			continue
		}
		var shares parts.UsableShares
		var confirm *parts.Confirm
		var ok bool
		s.machine.withState(func(st *state) {
			shares, confirm, ok = holder.Evaluate(&st.Parts)
			resets, changes = s.machine.resets, s.machine.shareChanges
		})
		if resets != readResets || !ok {
			continue
		}
		if checkDisabled("hold") {
			for id, x := range shares.ByAccount {
				shares.ByAccount[id] = max(x, lastUsed[id])
			}
			lastUsed = shares.ByAccount
		}
		use(shares)
		appliedChanges = changes
		if confirm != nil {
			ctx, done := context.WithTimeout(ctx, proposeTimeout)
			if err := s.propose(ctx, entry{Parts: &parts.Command{Confirm: confirm}}); err != nil {
				s.log.Debug("could not confirm a reduced ceiling share", "err", err)
			}
			done()
		}
	}
}

// dealCeilingShares redistributes the shares of ceilings while this limiter is their steward.
func (s *Service) dealCeilingShares(ctx context.Context) {
	ticker := time.NewTicker(dealInterval)
	defer ticker.Stop()
	var steward *parts.Steward
	var epoch uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t, owns := s.owns(parts.Duty)
		if !owns {
			steward = nil
			continue
		}
		if steward == nil || epoch != t.Epoch {
			steward, epoch = parts.NewSteward(len(s.options.Limiters)), t.Epoch
		}
		var deals []parts.Deal
		if s.options.Steward {
			askAll(ctx, s, "asked", func(position int, _ string, x CeilingDemand) { steward.Observe(position, x.Start, x.Of) })
			s.machine.withState(func(st *state) { deals = steward.Next(&st.Parts) })
		} else {
			s.machine.withState(func(st *state) { deals = st.Parts.EqualizingDeals(func(uint64) bool { return true }) })
		}
		limiters := 0
		s.machine.withState(func(st *state) { limiters = st.Parts.Limiters })
		if len(deals) == 0 && (limiters == 0 || limiters == len(s.options.Limiters)) {
			continue
		}
		ctx, done := context.WithTimeout(ctx, proposeTimeout)
		err := s.propose(ctx, entry{Parts: &parts.Command{Epoch: t.Epoch, Limiters: len(s.options.Limiters), Deals: deals}})
		done()
		s.log.Debug("proposed ceiling shares", "accounts", len(deals), "token", t.String(), "err", err)
	}
}
