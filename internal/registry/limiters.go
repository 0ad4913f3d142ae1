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
	tables  []placeTable       // latest last
	changesDue chan struct{} // something is to be done soon
	requestedAt time.Duration // a change of places was asked for
	// gathered is when the other registries were asked for acknowledgements last.
	gatheredAt time.Duration
}

// table is the places of one register.
type placeTable struct {
	seq    uint64
	places []places.Place
}

func newLimiterPlaces() *limiterPlaces {
	return &limiterPlaces{Registrar: places.NewRegistrar(), changesDue: make(chan struct{}, 1)}
}

// see takes in a register that was heard of.
func (l *limiterPlaces) observeRegister(now time.Duration, register *controlstate.Register) {
	l.See(now, register.PlaceTable(), register.Seq)
	if excess := len(l.tables) - tablesMost; excess >= 0 {
		l.tables = slices.Delete(l.tables, 0, excess+1)
	}
	l.tables = append(l.tables, placeTable{register.Seq, register.Places})
}

// difference is that of a register's places from those of a former one; ok is false where that is not
// known any more.
func (l *limiterPlaces) deltaFrom(seq uint64, current []places.Place) (delta places.Delta, ok bool) {
	i := slices.IndexFunc(l.tables, func(t placeTable) bool { return t.seq == seq })
	if i < 0 {
		return delta, false
	}
	return places.Difference(l.tables[i].places, current), true
}

// hear takes in what a limiter tells of itself with a pull.
func (l *limiterPlaces) handleReport(now time.Duration, register *controlstate.Register, place places.Place, request *Pull) {
	report := places.Report{Place: place, Version: request.Seq, Loans: time.Duration(request.LoansMs) * time.Millisecond, Done: request.Done}
	if !l.Hear(now, register.PlaceTable(), report) {
		return
	}
	select {
	case l.changesDue <- struct{}{}:
	default:
	}
}

// ordersOf are the orders for changes of places that are due by the register with a Seq.
func placeOrders(changes places.Changes, seenSeq uint64) (orders []controlstate.Order) {
	if len(changes.Join) > 0 {
		orders = append(orders, controlstate.Order{Kind: controlstate.RegisterLimiters, Places: changes.Join, Seen: seenSeq})
	}
	if len(changes.Release) > 0 {
		orders = append(orders, controlstate.Order{Kind: controlstate.ReleasePlaces, Holders: changes.Release})
	}
	if changes.Settle > 0 {
		orders = append(orders, controlstate.Order{Kind: controlstate.SettlePlaces, Settled: changes.Settle})
	}
	return orders
}

// count is how many limiters hold places.
func (l *limiterPlaces) heldCount(register *controlstate.Register) int {
	t := register.PlaceTable()
	return t.Count()
}

// report tells of places that are being given or released, and whose holders are waited for.
func (l *limiterPlaces) statusLines(now time.Duration, register *controlstate.Register) (lines []string) {
	t := register.PlaceTable()
	for slot, p := range register.Places {
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
func (h *Registry) placesLoop(ctx context.Context) {
	tick := time.NewTicker(placesEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-h.limiters.changesDue:
		}
		h.requestDuePlaceChanges(ctx)
	}
}

// placesDue asks for the changes of places that are due.
func (h *Registry) requestDuePlaceChanges(ctx context.Context) {
	h.mu.Lock()
	awaited := h.limiters.Wanted(h.elapsed(), h.register.PlaceTable())
	gather := len(awaited) > 0 && h.elapsed()-h.limiters.gatheredAt >= gatherPause
	if gather {
		h.limiters.gatheredAt = h.elapsed()
	}
	h.mu.Unlock()
	if gather {
		h.gatherAcknowledgements(ctx, awaited)
	}
	h.mu.Lock()
	running := h.runningHolders()
	changes := h.limiters.Due(h.elapsed(), h.register.PlaceTable(), h.isolated(), func(holder string) bool { return running[holder] })
	// One that is cut off from the others would get no answer.
	due := !changes.Empty() && !h.isolated() && h.elapsed()-h.limiters.requestedAt > placesPause
	seenSeq := h.register.Seq
	if due {
		h.limiters.requestedAt = h.elapsed()
	}
	h.mu.Unlock()
	if !due {
		return
	}
	h.logPlaceChanges(&changes)
	if _, ok := h.submitOrders(ctx, placeOrders(changes, seenSeq)); !ok {
		h.log.Warn("change of places got no clear answer")
	}
	// Other registries have the same to ask for: not all at the same moment.
	wait.Sleep(ctx, rand.N(50*time.Millisecond))
}

// logPlaces tells of changes of places that are asked for.
func (h *Registry) logPlaceChanges(changes *places.Changes) {
	if len(changes.Join) > 0 {
		var names []string
		for _, p := range changes.Join {
			names = append(names, p.Name)
		}
		h.log.WithField("limiters", names).Info("limiters join")
	}
	if len(changes.Release) > 0 {
		h.log.WithField("limiters", changes.Release).Info("places are released")
	}
	if changes.Settle > 0 {
		h.log.WithField("seq", changes.Settle).Info("places are settled")
	}
}

// running are the holders of places that are known to run: that their records are not of silent ones or of
// lives that are over. The mutex is held.
func (h *Registry) runningHolders() map[string]bool {
	holders := map[string]bool{}
	h.catalog.Each(h.nowMs(), func(r catalog.Record) {
		if r.Service == catalog.Limiters && (r.State == catalog.Available || r.State == catalog.Draining) {
			name, _, _ := strings.Cut(r.ID, "#")
			holders[places.HolderOf(name, nodesettings.HostOf(r.Address))] = true
		}
	})
	return holders
}

// gatherAcknowledgements asks the other registries which tables some holders go by.
func (h *Registry) gatherAcknowledgements(ctx context.Context, holders []string) {
	others := h.coreIPs()[1:]
	answers := make(chan []places.Acknowledgement, len(others))
	for _, ip := range others {
		go func() {
			var acknowledgements []places.Acknowledgement
			if h.caller.Call(ctx, h.settings.Internal(ip, nodesettings.RegistryPort), callAcknowledgements, holders, &acknowledgements, pushTimeout) != nil {
				acknowledgements = nil
			}
			answers <- acknowledgements
		}()
	}
	for range others {
		acknowledgements := <-answers
		h.mu.Lock()
		h.limiters.HearAll(h.elapsed(), acknowledgements)
		h.mu.Unlock()
	}
}

// acknowledgements tells another registry which tables some holders of places go by, as was heard here.
func (h *Registry) handleAcknowledgements(_ context.Context, holders []string) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limiters.Acknowledgements(h.elapsed(), holders), nil
}
