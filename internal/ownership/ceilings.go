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

// Asked is what a limiter tells a steward of its accounts with ceilings.
type CeilingDemand struct {
	Fleet string
	Start uint64
	Of    []parts.Report
}

// hold has the limiter use the parts of ceilings that are agreed on, and confirms those that
// it uses less of. Until this process knows what was agreed on before, it uses its floors.
func (s *Service) useCeilingShares(ctx context.Context) {
	var used map[uint64]float64 // for builds that are broken on purpose
	var known, seen uint64      // resets of the machine until which this process knows all; changes that it has acted on
	holder := parts.NewHolder(s.position)
	use := func(u parts.Use) { s.options.Limiter.Hold(u.Of, u.Rest) }
	if s.options.Steward {
		use(holder.Forget())
	}
	ticker := time.NewTicker(catchUpTimeout / 4) // a confirm may have been lost
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.sharesChanged:
		case <-ticker.C:
		}
		resets, changes, due := s.machine.shareStatus()
		if resets != known {
			if known != 0 || s.options.Steward {
				use(holder.Forget())
			}
			ctx, done := context.WithTimeout(ctx, catchUpTimeout)
			err := s.host.Read(ctx)
			done()
			if err != nil {
				continue
			}
			known, seen = resets, 0
			holder.CaughtUp()
			continue // with what is known now
		}
		if !due && changes == seen {
			continue
		}
		var u parts.Use
		var confirm *parts.Confirm
		var ok bool
		s.machine.withState(func(st *state) {
			u, confirm, ok = holder.Look(&st.Parts)
			resets, changes = s.machine.resets, s.machine.shareChanges
		})
		if resets != known || !ok {
			continue
		}
		if checkDisabled("hold") {
			for id, x := range u.Of {
				u.Of[id] = max(x, used[id])
			}
			used = u.Of
		}
		use(u)
		seen = changes
		if confirm != nil {
			ctx, done := context.WithTimeout(ctx, proposeTimeout)
			if err := s.propose(ctx, entry{Parts: &parts.Command{Confirm: confirm}}); err != nil {
				s.log.Debug("a part was not confirmed", "err", err)
			}
			done()
		}
	}
}

// deal moves parts of ceilings while this limiter is their steward.
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
			s.machine.withState(func(st *state) { deals = st.Parts.Back(func(uint64) bool { return true }) })
		}
		limiters := 0
		s.machine.withState(func(st *state) { limiters = st.Parts.Limiters })
		if len(deals) == 0 && (limiters == 0 || limiters == len(s.options.Limiters)) {
			continue
		}
		ctx, done := context.WithTimeout(ctx, proposeTimeout)
		err := s.propose(ctx, entry{Parts: &parts.Command{Epoch: t.Epoch, Limiters: len(s.options.Limiters), Deals: deals}})
		done()
		s.log.Debug("parts were dealt", "accounts", len(deals), "token", t.String(), "err", err)
	}
}
