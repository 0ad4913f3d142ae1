package virtual

import (
	"time"

	"example.org/madderdrum/limiter"
	"example.org/madderdrum/parts"
)

const (
	stewardEvery = time.Second
	agreeTime    = 30 * time.Millisecond // until all limiters know what was agreed on
	startBehind  = time.Second           // until one that has started does
)

// demander is a policy whose parts of ceilings can be moved.
type demander interface{ Demands() []limiter.Demand }

// dealer moves parts of ceilings, as the steward of a fleet does.
type dealer struct {
	d       *driver
	steward *parts.Steward
	book    parts.Ledger
	holders map[int]*parts.Holder // by limiter
}

func newDealer(d *driver) *dealer {
	x := &dealer{d: d, steward: parts.NewSteward(len(d.o.Fleet.Limiters)), holders: map[int]*parts.Holder{}}
	d.after(stewardEvery, x.round)
	return x
}

// started has a life begin with its floors, unless the whole fleet begins: all are equal then.
func (x *dealer) started(h *host) {
	holder, epoch := parts.NewHolder(h.n), h.epoch
	x.holders[h.n] = holder
	if x.d.w.Now() == 0 {
		holder.CaughtUp()
		return
	}
	h.handle(limiter.Parts(holder.UseFloors()))
	x.d.after(startBehind, func() {
		if h.up && h.epoch == epoch {
			holder.CaughtUp()
			x.tell(h)
		}
	})
}

// tell has a limiter use what it knows, and returns what it has to confirm.
func (x *dealer) tell(h *host) *parts.Confirm {
	u, confirm, ok := x.holders[h.n].Evaluate(&x.book)
	if ok {
		h.handle(limiter.Parts(u))
	}
	return confirm
}

// round asks all limiters, and has what the steward decides agreed on.
func (x *dealer) round() {
	for _, h := range x.d.hosts {
		p, ok := h.policy.(demander)
		if !ok || !h.up {
			continue
		}
		var all []parts.Report
		for _, r := range p.Demands() {
			all = append(all, parts.Report(r))
		}
		x.steward.Observe(h.n, uint64(h.epoch), all)
	}
	if deals := x.steward.Next(&x.book); len(deals) > 0 {
		x.d.after(agreeTime, func() { x.agreed(parts.Command{Epoch: 1, Limiters: len(x.d.hosts), Deals: deals}) })
	}
	x.d.after(stewardEvery, x.round)
}

// agreed has all limiters that know of it go by commands, and confirm.
func (x *dealer) agreed(all ...parts.Command) {
	for _, c := range all {
		if err := x.book.Apply(c, 1); err != nil {
			x.d.failed = err
			return
		}
	}
	var confirms []parts.Command
	for _, h := range x.d.hosts {
		if !h.up {
			continue
		}
		if c := x.tell(h); c != nil {
			confirms = append(confirms, parts.Command{Confirm: c})
		}
	}
	if len(confirms) > 0 {
		x.d.after(agreeTime, func() { x.agreed(confirms...) })
	}
}
