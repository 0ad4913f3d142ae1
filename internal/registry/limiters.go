package registry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/controlstate"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/wait"
	"example.org/madderdrum/places"
	"example.org/madderdrum/stock"
)

const (
	// callAcknowledgements asks another registry which places its limiters go by.
	callAcknowledgements = "registry.acknowledgements"
	placesEvery          = 250 * time.Millisecond
	// placesPause is the least time between two changes of places that a registry asks for: what
	// happens meanwhile goes together. Where several have the same to ask for the first one is enough.
	placesPause = 300 * time.Millisecond
	// tablesMost is how many former tables of places are kept to tell differences by.
	tablesMost = 64
)

// limiterPlaces is what a registry knows of limiters' places beside the register. The registry's mutex
// guards it.
type limiterPlaces struct {
	settler  *places.Settler
	absences *places.Absences
	joining  map[string]places.Place // limiters without a place, by holder
	done     map[string]bool         // holders that have left
	tables   []table                 // latest last
	changed  chan struct{}           // something is to be done soon
	askedAt  time.Duration           // a change of places was asked for
}

// table is the places of one register.
type table struct {
	seq    uint64
	places []places.Place
}

func newLimiterPlaces() *limiterPlaces {
	return &limiterPlaces{settler: places.NewSettler(), absences: places.NewAbsences(), joining: map[string]places.Place{}, done: map[string]bool{},
		changed: make(chan struct{}, 1)}
}

// see takes in a register that was heard of.
func (l *limiterPlaces) see(now time.Duration, reg *controlstate.Register) {
	l.settler.See(now, reg.PlaceTable(), reg.Seq)
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
	holder := p.Holder()
	if m.Seq > 0 {
		l.settler.Hear(now, places.Acknowledgement{Holder: holder, Version: m.Seq, InMs: m.LoansMs})
	}
	t := reg.PlaceTable()
	has := t.SlotOf(p.Name, p.IP) >= 0
	delete(l.joining, holder)
	delete(l.done, holder)
	switch {
	case m.Done && has:
		l.done[holder] = true
	case m.Done || has:
		return
	default:
		l.joining[holder] = p
	}
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// orders are the changes of places that are due.
func (l *limiterPlaces) orders(now time.Duration, reg *controlstate.Register, gone []string) (all []controlstate.Order) {
	t := reg.PlaceTable()
	var joining []places.Place
	for holder, p := range l.joining {
		if t.SlotOf(p.Name, p.IP) >= 0 {
			delete(l.joining, holder)
			continue
		}
		joining = append(joining, p)
	}
	released := gone
	for holder := range l.done {
		if !slices.ContainsFunc(reg.Places, func(p places.Place) bool { return p.Held() && p.Holder() == holder }) {
			delete(l.done, holder)
			continue
		}
		released = append(released, holder)
	}
	if len(joining) > 0 {
		slices.SortFunc(joining, func(a, b places.Place) int { return strings.Compare(a.Name, b.Name) })
		all = append(all, controlstate.Order{Kind: controlstate.RegisterLimiters, Places: joining})
	}
	if len(released) > 0 {
		slices.Sort(released)
		all = append(all, controlstate.Order{Kind: controlstate.ReleasePlaces, Holders: slices.Compact(released)})
	}
	if settled, ok := l.settler.Due(now, t); ok {
		all = append(all, controlstate.Order{Kind: controlstate.SettlePlaces, Settled: settled})
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
		state := "held"
		left := time.Duration(0)
		switch {
		case p.Name == "":
			continue
		case p.To > 0:
			state, left = "released", l.settler.Left(now, p.To)
		case p.From > reg.PlacesSettled:
			state, left = "joining", l.settler.Left(now, p.From)
		}
		line := fmt.Sprintf("place=%d limiter=%s ip=%s zone=%s state=%s since=%d", slot, p.Name, p.IP, p.Zone, state, max(p.From, p.To))
		if left > 0 {
			line += fmt.Sprintf(" settled_within=%s waits_for=%v", left.Round(time.Millisecond), l.settler.Missing(now, &t, max(p.From, p.To)))
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
	pending := h.limiters.settler.Waits(h.reg.PlaceTable())
	h.mu.Unlock()
	if pending {
		h.gatherAcknowledgements(ctx)
	}
	h.mu.Lock()
	gone := h.limiters.absences.Look(h.clock(), h.reg.PlaceTable(), h.apart(), h.isThere)
	var orders []controlstate.Order
	if h.clock()-h.limiters.askedAt > placesPause {
		orders = h.limiters.orders(h.clock(), h.reg, gone)
	}
	if len(orders) > 0 {
		h.limiters.askedAt = h.clock()
	}
	h.mu.Unlock()
	if len(orders) == 0 {
		return
	}
	for _, o := range orders {
		h.logPlaces(&o)
	}
	_, ok := h.orders(ctx, orders)
	if !ok {
		h.log.Warn("change of places got no clear answer")
	}
	// Other registries have the same to ask for: not all at the same moment.
	wait.Sleep(ctx, rand.N(50*time.Millisecond))
}

// logPlaces tells of a change of places that is asked for.
func (h *Registry) logPlaces(o *controlstate.Order) {
	switch o.Kind {
	case controlstate.RegisterLimiters:
		var names []string
		for _, p := range o.Places {
			names = append(names, p.Name)
		}
		h.log.WithField("limiters", names).Info("limiters join")
	case controlstate.ReleasePlaces:
		h.log.WithField("limiters", o.Holders).Info("places are released")
	case controlstate.SettlePlaces:
		h.log.WithFields(logrus.Fields{"seq": o.Settled}).Info("places are settled")
	}
}

// isThere tells that the holder of a place is known to run. The mutex is held.
func (h *Registry) isThere(holder string) (there bool) {
	h.book.Each(h.now(), func(r stock.Record) {
		if r.Service != stock.Limiters || r.State == stock.Gone {
			return
		}
		name, _, _ := strings.Cut(r.ID, "#")
		if places.HolderOf(name, nodesettings.HostOf(r.Address)) == holder {
			there = true
		}
	})
	return there
}

// gatherAcknowledgements asks the other registries which places their limiters go by.
func (h *Registry) gatherAcknowledgements(ctx context.Context) {
	others := h.cores()[1:]
	answers := make(chan []places.Acknowledgement, len(others))
	for _, ip := range others {
		go func() {
			var all []places.Acknowledgement
			if h.caller.Call(ctx, h.set.Internal(ip, nodesettings.RegistryPort), callAcknowledgements, nil, &all, pushWithin) != nil {
				all = nil
			}
			answers <- all
		}()
	}
	for range others {
		all := <-answers
		h.mu.Lock()
		for _, a := range all {
			h.limiters.settler.Hear(h.clock(), a)
		}
		h.mu.Unlock()
	}
}

// acknowledgements tells another registry which places the limiters that pull here go by.
func (h *Registry) acknowledgements(context.Context) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limiters.settler.Acknowledgements(h.clock()), nil
}
