package virtual

import (
	"time"

	"example.org/madderdrum/limiter"
	"example.org/madderdrum/parts"
)

const (
	stewardInterval = time.Second
	agreementDelay  = 30 * time.Millisecond // delay until all limiters know an agreed command
	catchUpDelay    = time.Second           // delay until a started limiter knows the agreed state
)

// demandReporter is a policy that reports demand, so that its parts of ceilings can be adjusted.
type demandReporter interface{ Demands() []limiter.Demand }

// partsSteward moves parts of ceilings between limiters, as the steward of a fleet does.
type partsSteward struct {
	driver  *driver
	steward *parts.Steward
	ledger  parts.Ledger
	holders map[int]*parts.Holder // by limiter
}

func newDealer(d *driver) *partsSteward {
	x := &partsSteward{driver: d, steward: parts.NewSteward(len(d.options.Fleet.Limiters)), holders: map[int]*parts.Holder{}}
	d.after(stewardInterval, x.round)
	return x
}

// limiterStarted makes a restarted limiter use its floors until it has caught up. When the whole fleet
// starts, all parts are equal and no catch-up is necessary.
func (x *partsSteward) limiterStarted(h *host) {
	holder, epoch := parts.NewHolder(h.index), h.epoch
	x.holders[h.index] = holder
	if x.driver.world.Now() == 0 {
		holder.CaughtUp()
		return
	}
	h.handle(limiter.Parts(holder.UseFloors()))
	x.driver.after(catchUpDelay, func() {
		if h.up && h.epoch == epoch {
			holder.CaughtUp()
			x.applyLedger(h)
		}
	})
}

// applyLedger makes a limiter apply its parts from the ledger, and returns its confirmation, if any.
func (x *partsSteward) applyLedger(h *host) *parts.Confirm {
	u, confirm, ok := x.holders[h.index].Evaluate(&x.ledger)
	if ok {
		h.handle(limiter.Parts(u))
	}
	return confirm
}

// round collects the demands of all limiters, and schedules the agreement on the steward's decisions.
func (x *partsSteward) round() {
	for _, h := range x.driver.hosts {
		p, ok := h.policy.(demandReporter)
		if !ok || !h.up {
			continue
		}
		var all []parts.Report
		for _, r := range p.Demands() {
			all = append(all, parts.Report(r))
		}
		x.steward.Observe(h.index, uint64(h.epoch), all)
	}
	if deals := x.steward.Next(&x.ledger); len(deals) > 0 {
		x.driver.after(agreementDelay, func() { x.applyCommands(parts.Command{Epoch: 1, Limiters: len(x.driver.hosts), Deals: deals}) })
	}
	x.driver.after(stewardInterval, x.round)
}

// applyCommands applies agreed commands, updates all running limiters and collects their confirmations.
func (x *partsSteward) applyCommands(all ...parts.Command) {
	for _, c := range all {
		if err := x.ledger.Apply(c, 1); err != nil {
			x.driver.startErr = err
			return
		}
	}
	var confirms []parts.Command
	for _, h := range x.driver.hosts {
		if !h.up {
			continue
		}
		if c := x.applyLedger(h); c != nil {
			confirms = append(confirms, parts.Command{Confirm: c})
		}
	}
	if len(confirms) > 0 {
		x.driver.after(agreementDelay, func() { x.applyCommands(confirms...) })
	}
}
