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
	// callAcknowledgements asks another registry which version of the place table its limiters have acknowledged.
	callAcknowledgements = "registry.acknowledgements"
	placesInterval       = 250 * time.Millisecond
	// minPlacesRequestInterval is the minimum time between two requests for changes of places, so that changes that
	// become due meanwhile are batched. If several registries have the same changes due, the first request suffices.
	minPlacesRequestInterval = 300 * time.Millisecond
	// minGatherInterval is the minimum time between two requests to the other registries for acknowledgements.
	minGatherInterval = 500 * time.Millisecond
	// maxTables is how many former place tables are kept to compute deltas from.
	maxTables = 64
)

// limiterPlaces is a registry's own knowledge of the limiters' places, beyond what the register says. The
// registry's mutex guards it.
type limiterPlaces struct {
	*places.Registrar
	tables      []placeTable  // latest last
	changesDue  chan struct{} // receives when a change may be due
	requestedAt time.Duration // when this registry last requested a change of places
	// gatheredAt is when the other registries were last asked for acknowledgements.
	gatheredAt time.Duration
}

// placeTable is the place table of one version of the register.
type placeTable struct {
	seq    uint64
	places []places.Place
}

func newLimiterPlaces() *limiterPlaces {
	return &limiterPlaces{Registrar: places.NewRegistrar(), changesDue: make(chan struct{}, 1)}
}

// observeRegister records a newly received register.
func (l *limiterPlaces) observeRegister(now time.Duration, register *controlstate.Register) {
	l.Add(now, register.PlaceTable(), register.Seq)
	if excess := len(l.tables) - maxTables; excess >= 0 {
		l.tables = slices.Delete(l.tables, 0, excess+1)
	}
	l.tables = append(l.tables, placeTable{register.Seq, register.Places})
}

// deltaFrom returns the delta from the place table of a former register to the current places. ok is false
// if the former table is no longer kept.
func (l *limiterPlaces) deltaFrom(fromSeq uint64, current []places.Place) (delta places.Delta, ok bool) {
	i := slices.IndexFunc(l.tables, func(t placeTable) bool { return t.seq == fromSeq })
	if i < 0 {
		return delta, false
	}
	return places.Difference(l.tables[i].places, current), true
}

// handleReport processes what a limiter reports about itself with a pull.
func (l *limiterPlaces) handleReport(now time.Duration, register *controlstate.Register, place places.Place, request *PullRequest) {
	report := places.Report{Place: place, Version: request.Seq, LoansEndIn: time.Duration(request.LoansEndInMs) * time.Millisecond, Done: request.Stopped}
	if !l.Receive(now, register.PlaceTable(), report) {
		return
	}
	select {
	case l.changesDue <- struct{}{}:
	default:
	}
}

// placeOrders returns the orders for changes of places that are due in the register version seenSeq.
func placeOrders(changes places.Changes, seenSeq uint64) (orders []controlstate.Order) {
	if len(changes.Join) > 0 {
		orders = append(orders, controlstate.Order{Kind: controlstate.RegisterLimiters, Places: changes.Join, SeenSeq: seenSeq})
	}
	if len(changes.Release) > 0 {
		orders = append(orders, controlstate.Order{Kind: controlstate.ReleasePlaces, Holders: changes.Release})
	}
	if changes.Settle > 0 {
		orders = append(orders, controlstate.Order{Kind: controlstate.SettlePlaces, SettledSeq: changes.Settle})
	}
	return orders
}

// heldCount returns how many limiters hold places.
func (l *limiterPlaces) heldCount(register *controlstate.Register) int {
	t := register.PlaceTable()
	return t.HeldCount()
}

// statusLines describes each place. For one that is being given or released it adds the time left until that is
// settled, and the holders whose acknowledgement is missing.
func (l *limiterPlaces) statusLines(now time.Duration, register *controlstate.Register) (lines []string) {
	t := register.PlaceTable()
	for slot, p := range register.Places {
		if p.Name == "" {
			continue
		}
		state, left, missing := l.PendingChange(now, t, &p)
		line := fmt.Sprintf("place=%d limiter=%s ip=%s zone=%s state=%s since=%d", slot, p.Name, p.IP, p.Zone, state, max(p.JoinedVersion, p.ReleasedVersion, p.RestoredVersion))
		if state != "held" {
			line += fmt.Sprintf(" settled_within=%s waits_for=%v", left.Round(time.Millisecond), missing)
		}
		lines = append(lines, line)
	}
	return lines
}

// placesLoop periodically requests the changes of places that are due: giving, releasing and settling them.
func (h *Registry) placesLoop(ctx context.Context) {
	tick := time.NewTicker(placesInterval)
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

// requestDuePlaceChanges submits orders for the changes of places that are due.
func (h *Registry) requestDuePlaceChanges(ctx context.Context) {
	h.mu.Lock()
	awaited := h.limiters.Awaited(h.elapsed(), h.register.PlaceTable())
	gather := len(awaited) > 0 && h.elapsed()-h.limiters.gatheredAt >= minGatherInterval
	if gather {
		h.limiters.gatheredAt = h.elapsed()
	}
	h.mu.Unlock()
	if gather {
		h.gatherAcknowledgements(ctx, awaited)
	}
	h.mu.Lock()
	runningHolders := h.runningHolders()
	changes := h.limiters.Due(h.elapsed(), h.register.PlaceTable(), h.isolated(), func(holder string) bool { return runningHolders[holder] })
	// An isolated registry would get no answer.
	due := !changes.Empty() && !h.isolated() && h.elapsed()-h.limiters.requestedAt > minPlacesRequestInterval
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
		h.log.Warn("request for a change of places got no definite answer")
	}
	// Other registries may have the same changes due; the random pause keeps them from asking at the same moment.
	wait.Sleep(ctx, rand.N(50*time.Millisecond))
}

// logPlaceChanges logs the changes of places that are requested.
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

// runningHolders returns the holders of places that are known to run: their catalog record is neither silent nor
// that of a former process. h.mu must be held.
func (h *Registry) runningHolders() map[string]bool {
	holders := map[string]bool{}
	h.localCatalog.Each(h.nowMs(), func(r catalog.Record) {
		if r.Service == catalog.Limiters && (r.State == catalog.Available || r.State == catalog.Draining) {
			name, _, _ := strings.Cut(r.ID, "#")
			holders[places.HolderOf(name, nodesettings.HostOf(r.Address))] = true
		}
	})
	return holders
}

// gatherAcknowledgements asks the other registries which versions of the place table some holders have acknowledged.
func (h *Registry) gatherAcknowledgements(ctx context.Context, holders []string) {
	others := h.coreIPs()[1:]
	answers := make(chan []places.Acknowledgement, len(others))
	for _, ip := range others {
		go func() {
			var acknowledgements []places.Acknowledgement
			if h.caller.Call(ctx, h.settings.InternalAddress(ip, nodesettings.RegistryPort), callAcknowledgements, holders, &acknowledgements, pushTimeout) != nil {
				acknowledgements = nil
			}
			answers <- acknowledgements
		}()
	}
	for range others {
		acknowledgements := <-answers
		h.mu.Lock()
		h.limiters.ReceiveAcknowledgements(h.elapsed(), acknowledgements)
		h.mu.Unlock()
	}
}

// handleAcknowledgements returns the acknowledgements of some holders that this registry has received.
func (h *Registry) handleAcknowledgements(_ context.Context, holders []string) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limiters.Acknowledgements(h.elapsed(), holders), nil
}
