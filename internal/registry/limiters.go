package registry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/places"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/wait"
)

const (
	// callAcknowledgements asks another registry which places its limiters go by.
	callAcknowledgements = "registry.acknowledgements"
	placesEvery          = 250 * time.Millisecond
	// placesPause is the least time between two changes of places that a registry asks for: what
	// happens meanwhile goes together. Where several have the same to ask for the first one is enough.
	placesPause = 300 * time.Millisecond
	// gatherPause is the least time between two times that the other registries are asked for
	// acknowledgements.
	gatherPause = 500 * time.Millisecond
	// tablesMost is how many former tables of places are kept to tell differences by.
	tablesMost = 64
)

// limiterPlaces is what a registry knows of limiters' places beside the register. The registry's mutex
// guards it.
type limiterPlaces struct {
	*places.Registrar
	tables  []table       // latest last
	changed chan struct{} // something is to be done soon
	askedAt time.Duration // a change of places was asked for
	// gathered is when the other registries were asked for acknowledgements last.
	gathered time.Duration
}

// table is the places of one register.
type table struct {
	seq    uint64
	places []places.Place
}

func newLimiterPlaces() *limiterPlaces {
	return &limiterPlaces{Registrar: places.NewRegistrar(), changed: make(chan struct{}, 1)}
}

// see takes in a register that was heard of.
func (l *limiterPlaces) see(now time.Duration, reg *controlstate.Register) {
	l.See(now, reg.PlaceTable(), reg.Seq)
	if n := len(l.tables) - tablesMost; n >= 0 {
		l.tables = slices.Delete(l.tables, 0, n+1)
	}
	l.tables = append(l.tables, table{reg.Seq, reg.Places})
}

// difference is that of a register's places from those of a former one; ok is false where that is not
// known any more.
func (l *limiterPlaces) difference(from uint64, to []places.Place) (d places.Delta, ok bool) {
	i := slices.IndexFunc(l.tables, func(t table) bool { return t.seq == from })
	if i < 0 {
		return d, false
	}
	return places.Difference(l.tables[i].places, to), true
}

// hear takes in what a limiter tells of itself with a pull.
func (l *limiterPlaces) hear(now time.Duration, reg *controlstate.Register, p places.Place, m *Pull) {
	report := places.Report{Place: p, Version: m.Seq, Loans: time.Duration(m.LoansMs) * time.Millisecond, Done: m.Done}
	if !l.Hear(now, reg.PlaceTable(), report) {
		return
	}
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// ordersOf are the orders for changes of places that are due by the register with a Seq.
func ordersOf(c places.Changes, seen uint64) (all []controlstate.Order) {
	if len(c.Join) > 0 {
		all = append(all, controlstate.Order{Kind: controlstate.RegisterLimiters, Places: c.Join, SeenSeq: seen})
	}
	if len(c.Release) > 0 {
		all = append(all, controlstate.Order{Kind: controlstate.ReleasePlaces, Holders: c.Release})
	}
	if c.Settle > 0 {
		all = append(all, controlstate.Order{Kind: controlstate.SettlePlaces, SettledSeq: c.Settle})
	}
	return all
}

// count is how many limiters hold places.
func (l *limiterPlaces) count(reg *controlstate.Register) int {
	t := reg.PlaceTable()
	return t.Count()
}

// report tells of places that are being given or released, and whose holders are waited for.
func (l *limiterPlaces) report(now time.Duration, reg *controlstate.Register) (lines []string) {
	t := reg.PlaceTable()
	for slot, p := range reg.Places {
		if p.Name == "" {
			continue
		}
		state, left, missing := l.Pending(now, t, &p)
		line := fmt.Sprintf("place=%d limiter=%s ip=%s zone=%s state=%s since=%d", slot, p.Name, p.IP, p.Zone, state, max(p.From, p.To, p.Back))
		if state != "held" {
			line += fmt.Sprintf(" settled_within=%s waits_for=%v", left.Round(time.Millisecond), missing)
		}
		lines = append(lines, line)
	}
	return lines
}

// keepPlaces has limiters given places, and places released and settled.
func (h *Registry) keepPlaces(ctx context.Context) {
	tick := time.NewTicker(placesEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-h.limiters.changed:
		}
		h.placesDue(ctx)
	}
}

// placesDue asks for the changes of places that are due.
func (h *Registry) placesDue(ctx context.Context) {
	h.mu.Lock()
	wanted := h.limiters.Wanted(h.clock(), h.reg.PlaceTable())
	ask := len(wanted) > 0 && h.clock()-h.limiters.gathered >= gatherPause
	if ask {
		h.limiters.gathered = h.clock()
	}
	h.mu.Unlock()
	if ask {
		h.gatherAcknowledgements(ctx, wanted)
	}
	h.mu.Lock()
	running := h.running()
	changes := h.limiters.Due(h.clock(), h.reg.PlaceTable(), h.apart(), func(holder string) bool { return running[holder] })
	// One that is cut off from the others would get no answer.
	due := !changes.Empty() && !h.apart() && h.clock()-h.limiters.askedAt > placesPause
	seen := h.reg.Seq
	if due {
		h.limiters.askedAt = h.clock()
	}
	h.mu.Unlock()
	if !due {
		return
	}
	h.logPlaces(&changes)
	if _, ok := h.orders(ctx, ordersOf(changes, seen)); !ok {
		h.log.Warn("change of places got no clear answer")
	}
	// Other registries have the same to ask for: not all at the same moment.
	wait.Sleep(ctx, rand.N(50*time.Millisecond))
}

// logPlaces tells of changes of places that are asked for.
func (h *Registry) logPlaces(c *places.Changes) {
	if len(c.Join) > 0 {
		var names []string
		for _, p := range c.Join {
			names = append(names, p.Name)
		}
		h.log.WithField("limiters", names).Info("limiters join")
	}
	if len(c.Release) > 0 {
		h.log.WithField("limiters", c.Release).Info("places are released")
	}
	if c.Settle > 0 {
		h.log.WithField("seq", c.Settle).Info("places are settled")
	}
}

// running are the holders of places that are known to run: that their records are not of silent ones or of
// lives that are over. The mutex is held.
func (h *Registry) running() map[string]bool {
	all := map[string]bool{}
	h.book.Each(h.now(), func(r catalog.Record) {
		if r.Service == catalog.Limiters && (r.State == catalog.Available || r.State == catalog.Draining) {
			name, _, _ := strings.Cut(r.ID, "#")
			all[places.HolderOf(name, nodesettings.HostOf(r.Address))] = true
		}
	})
	return all
}

// gatherAcknowledgements asks the other registries which tables some holders go by.
func (h *Registry) gatherAcknowledgements(ctx context.Context, holders []string) {
	others := h.cores()[1:]
	answers := make(chan []places.Acknowledgement, len(others))
	for _, ip := range others {
		go func() {
			var all []places.Acknowledgement
			if h.caller.Call(ctx, h.set.Internal(ip, nodesettings.RegistryPort), callAcknowledgements, holders, &all, pushWithin) != nil {
				all = nil
			}
			answers <- all
		}()
	}
	for range others {
		all := <-answers
		h.mu.Lock()
		h.limiters.HearAll(h.clock(), all)
		h.mu.Unlock()
	}
}

// acknowledgements tells another registry which tables some holders of places go by, as was heard here.
func (h *Registry) acknowledgements(_ context.Context, holders []string) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limiters.Acknowledgements(h.clock(), holders), nil
}
