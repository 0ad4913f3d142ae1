// Package registry is the host of the registry: it takes the outside calls of servers and
// operators, keeps the book of servers and limiters with the other registries, and answers
// the pulls of limiters. The decisions are in package catalog.
package registry

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/control/configdelta"
	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/freshness"
	"example.org/madderdrum/control/places"
	"example.org/madderdrum/internal/configstore"
	"example.org/madderdrum/internal/httpapi"
	"example.org/madderdrum/internal/metrics"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/internal/wait"
)

const (
	pullHold      = 900 * time.Millisecond // how long a pull may wait for news
	callMargin     = 500 * time.Millisecond // beyond what is held
	watchHold     = 400 * time.Millisecond
	storeTimeout   = 900 * time.Millisecond // callers move on after a second
	pushTimeout    = 300 * time.Millisecond
	repairInterval   = 5 * time.Second
	expireInterval   = 250 * time.Millisecond
	limiterSilenceMs = 3200.0 // ms: a limiter pulls once a second
	missedHeartbeats   = 4.0    // beats that may be missed
	maxBodyBytes       = 64 << 20
	// contactWithin is how recently a registry must have answered to count towards a majority.
	contactMaxAge = pullHold + callMargin + 200*time.Millisecond
	// goneAfter is the silence after which a registry that neither votes nor is named by the
	// settings is not asked any more.
	forgetPeerAfter   = 30 * time.Second
	maxAcknowledgedDrains = 8192
	// historyMost is how many bytes of older configurations are kept to tell differences by.
	maxHistoryBytes = 4 << 20
	// storeStale is the age of the proof at which another store is asked too.
	staleProofAge = 2 * time.Second
)

// Registry is one registry.
type Registry struct {
	settings    *nodesettings.Settings
	log    logrus.FieldLogger
	caller *rpc.Caller
	startedAt  time.Time
	ctx    context.Context

	mu       sync.Mutex
	peers   []string   // IP numbers of the other core machines: those of the seeds, and those heard of
	voters   [][]string // IP numbers of the machines of which a majority has to agree
	seeds    []string   // IP numbers that the settings name
	contacts *freshness.Contacts
	proof    freshness.Proof
	catalog     *catalog.Book
	changed     chan struct{} // closed when the book or the register changes
	register      *controlstate.Register
	configHistory  *configdelta.History // of configurations
	acknowledgedDrains  map[string]bool      // servers whose drain a majority of the registries holds
	lastAlive    map[string]time.Time // when a source was last known to run
	limiters *limiterPlaces
}

// Calls of a registry.
const (
	CallPull   = "registry.pull"
	callPush   = "registry.push"
	callRepair = "registry.repair"
)

// Pull asks for what the caller lacks.
type Pull struct {
	Vector catalog.Vector  `cbor:"1,keyasint,omitempty"`
	Seq    uint64          `cbor:"2,keyasint,omitempty"` // of the register that it has
	HoldMs uint64          `cbor:"3,keyasint,omitempty"` // wait so long for news
	Me     *catalog.Record `cbor:"4,keyasint,omitempty"` // a limiter's word of itself
	Source string          `cbor:"5,keyasint,omitempty"` // a registry's own
	// Version is of the configuration that a limiter has. Of the register with Seq it has the rest, unless
	// it wants the Whole.
	Version uint64 `cbor:"6,keyasint,omitempty"`
	Whole   bool   `cbor:"7,keyasint,omitempty"`
	// LoansMs is in how many ms nobody uses more of this limiter's part than the register with Seq gives
	// it. From then on it and those who borrow from it go by that register or a later one.
	LoansMs uint64 `cbor:"9,keyasint,omitempty"`
	// Done tells that a limiter that leaves sends nothing any more: its place can be released.
	Done bool `cbor:"10,keyasint,omitempty"`
}

// Pulled is the answer.
type Pulled struct {
	Register *controlstate.Register `cbor:"1,keyasint,omitempty"`
	Records  []catalog.Record       `cbor:"2,keyasint,omitempty"`
	Vector   catalog.Vector         `cbor:"3,keyasint,omitempty"` // only where it has something new
	Source   string                 `cbor:"4,keyasint,omitempty"`
	// ProofMs is how long ago a majority had chosen nothing newer than this register.
	ProofMs uint64 `cbor:"5,keyasint,omitempty"`
	Proven  bool   `cbor:"6,keyasint,omitempty"`
	// Apart tells that this registry does not hear a majority of the others.
	Apart  bool   `cbor:"7,keyasint,omitempty"`
	HeldMs uint64 `cbor:"8,keyasint,omitempty"`
	// The register comes without what the caller has: its configuration, where that has the same
	// version. Places make its places of those that the caller has.
	Places *places.Delta `cbor:"9,keyasint,omitempty"`
	// ConfigDelta makes the configuration of the one that the caller has, where that is kept here: see
	// package configdelta. The register then comes without its configuration.
	ConfigDelta []byte `cbor:"10,keyasint,omitempty"`
}

// Run serves until the context ends.
func Run(ctx context.Context, settings *nodesettings.Settings, log logrus.FieldLogger) error {
	h := &Registry{settings: settings, log: log, ctx: ctx, caller: rpc.NewCaller(), startedAt: time.Now(), changed: make(chan struct{}),
		register: &controlstate.Register{}, contacts: freshness.NewContacts(settings.IP), acknowledgedDrains: map[string]bool{}, configHistory: configdelta.NewHistory(maxHistoryBytes), seeds: settings.Cores(), lastAlive: map[string]time.Time{}, limiters: newLimiterPlaces(),
		catalog: catalog.New(fmt.Sprintf("%s#%08x", settings.Node, rand.Uint32()))}
	internalListener, err := net.Listen("tcp", settings.Internal(settings.IP, nodesettings.RegistryPort))
	if err != nil {
		return fmt.Errorf("registry: listen for other processes: %w", err)
	}
	apiListener, err := net.Listen("tcp", settings.Listen["control_plane"])
	if err != nil {
		return fmt.Errorf("registry: listen for outside calls: %w", err)
	}
	go rpc.Serve(ctx, internalListener, map[string]rpc.Handler{CallPull: rpc.TypedHandler(h.handlePull), callPush: rpc.TypedHandler(h.handlePush), callRepair: rpc.TypedHandler(h.handleRepair), callAcknowledgements: rpc.TypedHandler(h.handleAcknowledgements), rpc.CallStatus: rpc.Asking(h.handleStatus)})
	apiDone := make(chan struct{}) // all outside calls that were taken
	go func() {
		defer close(apiDone)
		(&httpapi.Server{Handler: h.handleAPI, MaxBody: maxBodyBytes, DropAbandoned: isEvacuation}).Serve(ctx, apiListener)
	}()
	if settings.Bootstrap {
		h.voters = [][]string{settings.Cores()}
	}
	h.mu.Lock()
	for _, ip := range settings.Cores() {
		h.addPeer(ip)
	}
	h.mu.Unlock()
	metrics.Offer(ctx, settings.MetricsAddress(), log, h.collectMetrics)
	go h.watchLoop(ctx)
	go h.placesLoop(ctx)
	go settings.Follow(ctx, func(next *nodesettings.Settings) {
		log.WithField("seeds", len(next.Seeds)).Info("settings have changed")
		h.mu.Lock()
		defer h.mu.Unlock()
		h.seeds = next.Cores()
		for _, ip := range h.seeds {
			h.addPeer(ip)
		}
	}, func(err error) { log.WithField("err", err).Warn("settings can't be used") })
	log.WithFields(logrus.Fields{"seeds": len(settings.Cores())}).Info("begins")
	h.maintenanceLoop(ctx)
	<-apiDone
	return nil
}

func (h *Registry) nowMs() float64 { return float64(time.Since(h.startedAt)) / float64(time.Millisecond) }

// clock is the span on the steady clock since the process began.
func (h *Registry) elapsed() time.Duration { return time.Since(h.startedAt) }

// stir wakes those who wait for news. The mutex is held.
func (h *Registry) notifyChange() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// meet has another registry followed, from the first time that it is heard of. The mutex is
// held.
func (h *Registry) addPeer(ip string) {
	if ip != h.settings.IP && ip != "" && !slices.Contains(h.peers, ip) {
		h.peers = append(h.peers, ip)
		go h.followPeer(h.ctx, ip)
	}
}

// meetAll meets the registries that the book names. The mutex is held.
func (h *Registry) addPeersFromCatalog() {
	var found []string
	h.catalog.Each(h.nowMs(), func(r catalog.Record) {
		if r.Service == catalog.Cores && r.State == catalog.Available {
			found = append(found, r.Address)
		}
	})
	for _, ip := range found {
		h.addPeer(ip)
	}
}

// cores are the IP numbers of the core machines, this one first.
func (h *Registry) coreIPs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{h.settings.IP}, h.peers...)
}

// self is this registry's word of itself, with a number that rises.
func (h *Registry) ownRecord() catalog.Record {
	return catalog.Record{ID: h.source(), Service: catalog.Cores, Address: h.settings.IP, Zone: h.settings.Zone, Sequence: uint64(h.nowMs())}
}

// keep does what is due at intervals.
func (h *Registry) maintenanceLoop(ctx context.Context) {
	repairAt := time.Now().Add(repairInterval)
	for ctx.Err() == nil {
		wait.Sleep(ctx, expireInterval)
		h.mu.Lock()
		heartbeatMs := float64(h.settings.Heartbeat) / float64(time.Millisecond)
		if h.catalog.Beat(h.nowMs(), h.ownRecord()) {
			h.notifyChange()
		}
		h.addPeersFromCatalog()
		if len(h.acknowledgedDrains) > maxAcknowledgedDrains {
			clear(h.acknowledgedDrains) // what is forgotten costs further calls
		}
		if !h.isolated() && time.Since(h.startedAt) > 2*pullHold && h.catalog.Expire(h.nowMs(), missedHeartbeats*heartbeatMs, limiterSilenceMs, h.isAlive) {
			h.notifyChange()
		}
		h.mu.Unlock()
		if time.Now().After(repairAt) {
			repairAt = time.Now().Add(repairInterval + rand.N(time.Second))
			go h.repairOnce(ctx)
		}
	}
}

// alive tells whether another source runs, as far as is known. The mutex is held.
func (h *Registry) isAlive(source string) bool {
	return time.Since(h.lastAlive[source]) < 2*(pullHold+callMargin)
}

// apart tells that no majority of the registries is heard. The mutex is held.
func (h *Registry) isolated() bool {
	return !h.contacts.Majority(h.voters, h.elapsed(), contactMaxAge)
}

// isMember tells that a machine votes or is named by the settings: it is followed while it is dark
// too. The mutex is held.
func (h *Registry) isMember(ip string) bool {
	if slices.Contains(h.seeds, ip) {
		return true
	}
	return slices.ContainsFunc(h.voters, func(set []string) bool { return slices.Contains(set, ip) })
}

// follow pulls from another registry, until that is gone for good.
func (h *Registry) followPeer(ctx context.Context, ip string) {
	address := h.settings.Internal(ip, nodesettings.RegistryPort)
	firstAsked := h.elapsed()
	for ctx.Err() == nil {
		h.mu.Lock()
		if h.shouldForget(ip, firstAsked) {
			h.peers = slices.DeleteFunc(h.peers, func(o string) bool { return o == ip })
			h.contacts.Forget(ip)
			h.mu.Unlock()
			return
		}
		request := Pull{Vector: maps.Clone(h.catalog.Vector()), HoldMs: uint64(pullHold / time.Millisecond), Source: h.source()}
		own := h.ownRecord()
		request.Me = &own
		h.mu.Unlock()
		var response Pulled
		if err := h.caller.Call(ctx, address, CallPull, request, &response, pullHold+callMargin); err != nil {
			wait.Sleep(ctx, 100*time.Millisecond+rand.N(100*time.Millisecond))
			continue
		}
		h.mu.Lock()
		h.contacts.Heard(ip, h.elapsed())
		h.lastAlive[response.Source] = time.Now()
		if len(h.catalog.Merge(h.nowMs(), response.Records)) > 0 {
			h.notifyChange()
		}
		h.catalog.Know(response.Vector)
		h.mu.Unlock()
	}
}

// isGone tells that a machine which neither votes nor is named was not heard for long. begun is when
// it was first asked. The mutex is held.
func (h *Registry) shouldForget(ip string, firstAsked time.Duration) bool {
	if h.isMember(ip) {
		return false
	}
	silence, heard := h.contacts.Silence(ip, h.elapsed())
	if !heard {
		silence = h.elapsed() - firstAsked
	}
	return silence > forgetPeerAfter
}

func (h *Registry) source() string { return h.catalog.Source() }

// pull answers another registry or a limiter, at once where it has news for it.
func (h *Registry) handlePull(ctx context.Context, request Pull) (any, error) {
	start := time.Now()
	timeout := time.NewTimer(time.Duration(request.HoldMs) * time.Millisecond)
	defer timeout.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	if request.Source != "" {
		h.lastAlive[request.Source] = start
	}
	switch {
	case request.Me != nil && request.Me.Service == catalog.Cores:
		h.recordPeer(*request.Me)
	case request.Me != nil:
		h.recordLimiter(*request.Me, &request)
	}
	for waiting := true; waiting && !h.catalog.Lacks(request.Vector) && (request.Source != "" || h.register.Seq <= request.Seq); {
		changed := h.changed
		h.mu.Unlock()
		select {
		case <-changed:
			// Changes come in clusters: those of a moment go together.
			wait.Sleep(ctx, 2*time.Millisecond)
		case <-timeout.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		h.mu.Lock()
	}
	response := Pulled{Source: h.source(), Apart: h.isolated(), HeldMs: uint64(time.Since(start).Milliseconds())}
	if h.catalog.Lacks(request.Vector) {
		response.Records, response.Vector = h.catalog.Since(h.nowMs(), request.Vector), maps.Clone(h.catalog.Vector())
	}
	if request.Source == "" {
		if h.register.Seq > request.Seq {
			register := *h.register
			register.Applied, register.Voters, register.Prior, register.ZoneChanges = nil, nil, nil, nil
			if delta, ok := h.limiters.deltaFrom(request.Seq, register.Places); ok && !request.Whole {
				register.Places, response.Places = nil, &delta
			}
			if register.Version == request.Version {
				register.Config = nil
			} else if delta, ok := h.configHistory.Delta(request.Version); ok {
				register.Config, response.ConfigDelta = nil, delta
			}
			response.Register = &register
		}
		if age, ok := h.proof.Age(h.elapsed()); ok {
			response.Proven, response.ProofMs = true, uint64(age.Milliseconds())+1
		}
	}
	return response, nil
}

// registry takes in another registry's word of itself, if nobody has told of it yet. The mutex
// is held.
func (h *Registry) recordPeer(record catalog.Record) {
	if _, known := h.catalog.Get(h.nowMs(), record.ID); !known && h.catalog.Beat(h.nowMs(), record) {
		h.notifyChange()
	}
	h.addPeer(record.Address)
}

// limiter takes in a limiter's word of itself. Its earlier lives are over. The mutex is held.
func (h *Registry) recordLimiter(record catalog.Record, request *Pull) {
	now := h.nowMs()
	_, known := h.catalog.Get(now, record.ID)
	changed := h.catalog.Beat(now, record)
	name, _, _ := strings.Cut(record.ID, "#")
	if !known {
		var earlier []string
		h.catalog.Each(now, func(other catalog.Record) {
			if otherName, _, _ := strings.Cut(other.ID, "#"); other.Service == catalog.Limiters && otherName == name && other.ID != record.ID && other.State != catalog.Gone {
				earlier = append(earlier, other.ID)
			}
		})
		for _, id := range earlier {
			changed = h.catalog.Leave(now, id) || changed
		}
	}
	h.limiters.handleReport(h.elapsed(), h.register, places.Place{Name: name, IP: nodesettings.HostOf(record.Address), Zone: record.Zone, Life: record.ID}, request)
	if changed {
		h.notifyChange()
	}
}

// push tells other registries what is not to be lost with this machine, and tells whether a
// majority has it.
func (h *Registry) replicate(ctx context.Context, id string) bool {
	h.mu.Lock()
	record, _ := h.catalog.Get(h.nowMs(), id)
	copies := freshness.NewCopies(h.settings.IP, h.voters)
	peers := slices.Clone(h.peers)
	h.mu.Unlock()
	if copies.Enough() {
		return true
	}
	done := make(chan string, len(peers))
	for _, ip := range peers {
		go func() {
			if h.caller.Call(ctx, h.settings.Internal(ip, nodesettings.RegistryPort), callPush, []catalog.Record{record}, nil, pushTimeout) != nil {
				ip = ""
			}
			done <- ip
		}()
	}
	for range peers {
		copies.Stored(<-done)
		if copies.Enough() {
			return true
		}
	}
	return false
}

func (h *Registry) handlePush(_ context.Context, records []catalog.Record) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.catalog.Merge(h.nowMs(), records)) > 0 {
		h.notifyChange()
	}
	return nil, nil
}

// repair compares digests with one other registry, and mends what differs.
func (h *Registry) repairOnce(ctx context.Context) {
	peers := h.coreIPs()[1:]
	if len(peers) == 0 {
		return
	}
	ip := peers[rand.IntN(len(peers))]
	h.mu.Lock()
	digests := h.catalog.Digests()
	h.mu.Unlock()
	var records []catalog.Record
	if h.caller.Call(ctx, h.settings.Internal(ip, nodesettings.RegistryPort), callRepair, digests, &records, time.Second) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.catalog.Merge(h.nowMs(), records)) > 0 {
		h.notifyChange()
	}
}

func (h *Registry) handleRepair(_ context.Context, digests [catalog.Ranges]uint64) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog.Differing(h.nowMs(), digests), nil
}

// watch follows the store of configuration on this machine or, while that is down, another.
func (h *Registry) watchLoop(ctx context.Context) {
	for current := 0; ctx.Err() == nil; {
		stores := h.coreIPs()
		current %= len(stores)
		h.mu.Lock()
		request := configstore.WatchRequest{Seq: h.register.Seq, HoldMs: uint64(watchHold / time.Millisecond)}
		h.mu.Unlock()
		var response configstore.WatchResponse
		start := h.elapsed()
		err := h.caller.Call(ctx, h.settings.Internal(stores[current], nodesettings.ConfigStorePort), configstore.CallWatch, request, &response, watchHold+callMargin)
		if err != nil {
			current = (current + 1) % len(stores)
			wait.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		h.mu.Lock()
		if response.Proven {
			h.proof.Advance(start, time.Duration(response.HeldMs)*time.Millisecond, time.Duration(response.ProofMs)*time.Millisecond)
		}
		if len(response.Voters) > 0 {
			h.setVoters(response.Voters)
		}
		if response.Register != nil && response.Register.Seq > h.register.Seq {
			h.register = response.Register
			h.configHistory.Add(h.register.Version, h.register.Config)
			h.limiters.observeRegister(h.elapsed(), h.register)
			h.notifyChange()
		}
		stale := !h.proof.Fresh(h.elapsed(), staleProofAge)
		h.mu.Unlock()
		if stale && len(stores) > 1 { // another store may hear a majority
			current = (current + 1) % len(stores)
			wait.Sleep(ctx, 50*time.Millisecond)
		} else {
			current = 0
		}
	}
}

// follows takes over which machines vote. The mutex is held.
func (h *Registry) setVoters(voters [][]string) {
	h.voters = voters
	for _, set := range voters {
		for _, ip := range set {
			h.addPeer(ip)
		}
	}
}

// status tells how this registry stands.
func (h *Registry) handleStatus(context.Context) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	proofAge := "none"
	if age, ok := h.proof.Age(h.elapsed()); ok {
		proofAge = age.Round(time.Millisecond).String()
	}
	lines := []string{
		fmt.Sprintf("program=registry node=%s zone=%s source=%s apart=%v proof_age=%s", h.settings.Node, h.settings.Zone, h.source(), h.isolated(), proofAge),
		fmt.Sprintf("register seq=%d version=r%d evacuated=%v limiters=%d places_settled=%d", h.register.Seq, h.register.Version, h.register.Evac, h.limiters.heldCount(h.register), h.register.PlacesSettled),
	}
	lines = append(lines, h.limiters.statusLines(h.elapsed(), h.register)...)
	return rpc.Status{Lines: append(lines, h.catalog.Report(h.nowMs())...)}, nil
}

// order gives an order to a store. ok is false when no clear answer came.
func (h *Registry) submitOrder(ctx context.Context, order controlstate.Order) (outcome controlstate.Outcome, ok bool) {
	outcomes, ok := h.submitOrders(ctx, []controlstate.Order{order})
	if !ok {
		return outcome, false
	}
	return outcomes[0], true
}

// orders gives orders to a store, to be carried out by one change. ok is false when no clear answer came.
func (h *Registry) submitOrders(ctx context.Context, orders []controlstate.Order) (outcomes []controlstate.Outcome, ok bool) {
	ok = h.tryStores(func(to string, left time.Duration) bool {
		var response configstore.ChangeResponse
		err := h.caller.Call(ctx, to, configstore.CallChange, configstore.ChangeRequest{Orders: orders, WithinMs: uint64(left.Milliseconds())}, &response, left)
		if err != nil || len(response.Outcomes) != len(orders) {
			return false
		}
		outcomes = response.Outcomes
		return true
	})
	return outcomes, ok
}

// anyStore calls one store after the other until one has answered, and tells whether one has.
func (h *Registry) tryStores(call func(to string, left time.Duration) bool) bool {
	deadline := time.Now().Add(storeTimeout)
	for _, ip := range h.coreIPs() {
		left := time.Until(deadline)
		if left < 50*time.Millisecond {
			break
		}
		if call(h.settings.Internal(ip, nodesettings.ConfigStorePort), left) {
			return true
		}
	}
	return false
}
