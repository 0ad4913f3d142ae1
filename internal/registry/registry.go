// Package registry runs one registry: it answers the API calls of servers and operators, replicates the catalog of
// servers and limiters with the other registries, and answers the pulls of limiters. The decisions about the catalog
// are made by package catalog.
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
	pullHold            = 900 * time.Millisecond // how long a pull may wait for changes
	callMargin          = 500 * time.Millisecond // time for the call itself, beyond the hold
	watchHold           = 400 * time.Millisecond
	storeTimeout        = 900 * time.Millisecond // callers of the API give up after a second
	pushTimeout         = 300 * time.Millisecond
	repairInterval      = 5 * time.Second
	expireInterval      = 250 * time.Millisecond
	limiterSilenceMs    = 3200.0 // a limiter pulls once a second
	maxMissedHeartbeats = 4.0    // a server that misses more is silent
	maxBodyBytes        = 64 << 20
	// contactMaxAge is how recently a registry must have answered to count towards a majority.
	contactMaxAge = pullHold + callMargin + 200*time.Millisecond
	// forgetPeerAfter is the silence after which a registry that is neither a voter nor named in the settings is no
	// longer called.
	forgetPeerAfter       = 30 * time.Second
	maxAcknowledgedDrains = 8192
	// maxHistoryBytes bounds the older configurations that are kept to compute deltas from.
	maxHistoryBytes = 4 << 20
	// staleProofAge is the proof age from which on another store is tried, as it may reach a majority.
	staleProofAge = 2 * time.Second
)

// Registry answers the API, replicates the catalog and follows the configuration store on one core machine.
type Registry struct {
	settings *nodesettings.Settings
	log      logrus.FieldLogger
	caller   *rpc.Caller
	started  time.Time
	ctx      context.Context

	mu                 sync.Mutex
	peers              []string   // IP addresses of the other core machines, from the settings, the voters and the catalog
	voters             [][]string // sets of IP addresses; a majority of each set is required
	seeds              []string   // IP addresses of the core machines that the settings name
	contacts           *freshness.Contacts
	proof              freshness.Proof
	localCatalog       *catalog.Catalog
	changed            chan struct{} // closed when the catalog or the register changes
	register           *controlstate.Register
	configHistory      *configdelta.History
	acknowledgedDrains map[string]bool      // IDs of servers whose drain a majority of the registries holds
	lastAlive          map[string]time.Time // when a catalog source was last known to run
	limiters           *limiterPlaces
}

// RPC calls of a registry; limiters make the exported one.
const (
	CallPull   = "registry.pull"
	callPush   = "registry.push"
	callRepair = "registry.repair"
)

// PullRequest asks for the catalog records and the register that the caller lacks. Limiters and other registries send it.
type PullRequest struct {
	Vector       catalog.Vector  `cbor:"1,keyasint,omitempty"`
	Seq          uint64          `cbor:"2,keyasint,omitempty"` // version of the caller's register
	HoldMs       uint64          `cbor:"3,keyasint,omitempty"` // how long to wait for changes
	CallerRecord *catalog.Record `cbor:"4,keyasint,omitempty"` // the caller's own record
	Source       string          `cbor:"5,keyasint,omitempty"` // the calling registry's source ID; empty for a limiter
	// Version is the version of the configuration that a limiter has. The rest of its register is that of Seq, unless
	// it asks for the whole register.
	Version      uint64 `cbor:"6,keyasint,omitempty"`
	FullRegister bool   `cbor:"7,keyasint,omitempty"`
	// LoansEndInMs is the number of milliseconds after which nobody uses more of this limiter's share than the register
	// of Seq allows. From then on the limiter and the borrowers of its share apply that register or a later one.
	LoansEndInMs uint64 `cbor:"9,keyasint,omitempty"`
	// Stopped means that a limiter that is shutting down sends no more requests upstream, so its place can be released.
	Stopped bool `cbor:"10,keyasint,omitempty"`
}

// PullResponse carries what is newer than the state of the caller.
type PullResponse struct {
	Register *controlstate.Register `cbor:"1,keyasint,omitempty"`
	Records  []catalog.Record       `cbor:"2,keyasint,omitempty"`
	Vector   catalog.Vector         `cbor:"3,keyasint,omitempty"` // only if there are newer records
	Source   string                 `cbor:"4,keyasint,omitempty"`
	// ProofAgeMs is the age of the latest proof that a majority has chosen nothing newer than this register.
	ProofAgeMs uint64 `cbor:"5,keyasint,omitempty"`
	Proven     bool   `cbor:"6,keyasint,omitempty"`
	// Isolated means that this registry has no contact with a majority of the registries.
	Isolated bool   `cbor:"7,keyasint,omitempty"`
	HeldMs   uint64 `cbor:"8,keyasint,omitempty"`
	// Register comes without the parts that the caller has, such as a configuration of the same version. Places,
	// if set, is the delta from the caller's place table to that of the register.
	Places *places.Delta `cbor:"9,keyasint,omitempty"`
	// ConfigDelta computes the configuration from the one that the caller has, if that is still kept here (see
	// package configdelta). The register then comes without its configuration.
	ConfigDelta []byte `cbor:"10,keyasint,omitempty"`
}

// Run serves until the context ends and every API request that was accepted is answered.
func Run(ctx context.Context, settings *nodesettings.Settings, log logrus.FieldLogger) error {
	h := &Registry{settings: settings, log: log, ctx: ctx, caller: rpc.NewCaller(), started: time.Now(), changed: make(chan struct{}),
		register: &controlstate.Register{}, contacts: freshness.NewContacts(settings.IP), acknowledgedDrains: map[string]bool{}, configHistory: configdelta.NewHistory(maxHistoryBytes), seeds: settings.CoreIPs(), lastAlive: map[string]time.Time{}, limiters: newLimiterPlaces(),
		localCatalog: catalog.New(fmt.Sprintf("%s#%08x", settings.Node, rand.Uint32()))}
	internalListener, err := net.Listen("tcp", settings.InternalAddress(settings.IP, nodesettings.RegistryPort))
	if err != nil {
		return fmt.Errorf("registry: listen for other processes: %w", err)
	}
	apiListener, err := net.Listen("tcp", settings.Listen["control_plane"])
	if err != nil {
		return fmt.Errorf("registry: listen for API requests: %w", err)
	}
	go rpc.Serve(ctx, internalListener, map[string]rpc.Handler{CallPull: rpc.TypedHandler(h.handlePull), callPush: rpc.TypedHandler(h.handlePush), callRepair: rpc.TypedHandler(h.handleRepair), callAcknowledgements: rpc.TypedHandler(h.handleAcknowledgements), rpc.CallStatus: rpc.NoBodyHandler(h.handleStatus)})
	apiDone := make(chan struct{}) // closed when all accepted API requests are answered
	go func() {
		defer close(apiDone)
		(&httpapi.Server{Handler: h.handleAPI, MaxBody: maxBodyBytes, DropAbandoned: isEvacuation}).Serve(ctx, apiListener)
	}()
	if settings.Bootstrap {
		h.voters = [][]string{settings.CoreIPs()}
	}
	h.mu.Lock()
	for _, ip := range settings.CoreIPs() {
		h.addPeer(ip)
	}
	h.mu.Unlock()
	metrics.ServeIfConfigured(ctx, settings.MetricsAddress(), log, h.collectMetrics)
	go h.watchLoop(ctx)
	go h.placesLoop(ctx)
	go settings.Watch(ctx, func(next *nodesettings.Settings) {
		log.WithField("seeds", len(next.Seeds)).Info("settings changed")
		h.mu.Lock()
		defer h.mu.Unlock()
		h.seeds = next.CoreIPs()
		for _, ip := range h.seeds {
			h.addPeer(ip)
		}
	}, func(err error) { log.WithField("err", err).Warn("cannot use changed settings") })
	log.WithFields(logrus.Fields{"seeds": len(settings.CoreIPs())}).Info("begins")
	h.maintenanceLoop(ctx)
	<-apiDone
	return nil
}

// nowMs returns the monotonic time since the process started in milliseconds, as package catalog expects it.
func (h *Registry) nowMs() float64 { return float64(time.Since(h.started)) / float64(time.Millisecond) }

// elapsed returns the monotonic time since the process started.
func (h *Registry) elapsed() time.Duration { return time.Since(h.started) }

// notifyChange wakes the calls that wait for changes. h.mu must be held.
func (h *Registry) notifyChange() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// addPeer starts pulling from another registry, unless that is already done. h.mu must be held.
func (h *Registry) addPeer(ip string) {
	if ip != h.settings.IP && ip != "" && !slices.Contains(h.peers, ip) {
		h.peers = append(h.peers, ip)
		go h.followPeer(h.ctx, ip)
	}
}

// addPeersFromCatalog adds the registries that the catalog lists as available. h.mu must be held.
func (h *Registry) addPeersFromCatalog() {
	var found []string
	h.localCatalog.Each(h.nowMs(), func(r catalog.Record) {
		if r.Service == catalog.Cores && r.State == catalog.Available {
			found = append(found, r.Address)
		}
	})
	for _, ip := range found {
		h.addPeer(ip)
	}
}

// coreIPs returns the IP addresses of the core machines, this one first.
func (h *Registry) coreIPs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{h.settings.IP}, h.peers...)
}

// ownRecord returns this registry's own catalog record, with an increasing sequence number.
func (h *Registry) ownRecord() catalog.Record {
	return catalog.Record{ID: h.source(), Service: catalog.Cores, Address: h.settings.IP, Zone: h.settings.Zone, Sequence: uint64(h.nowMs())}
}

// maintenanceLoop renews this registry's own record, expires silent records and starts repairs.
func (h *Registry) maintenanceLoop(ctx context.Context) {
	repairAt := time.Now().Add(repairInterval)
	for ctx.Err() == nil {
		wait.Sleep(ctx, expireInterval)
		h.mu.Lock()
		heartbeatMs := float64(h.settings.Heartbeat) / float64(time.Millisecond)
		if h.localCatalog.ApplyHeartbeat(h.nowMs(), h.ownRecord()) {
			h.notifyChange()
		}
		h.addPeersFromCatalog()
		if len(h.acknowledgedDrains) > maxAcknowledgedDrains {
			clear(h.acknowledgedDrains) // forgotten drains are replicated again with the next heartbeat
		}
		if !h.isolated() && time.Since(h.started) > 2*pullHold && h.localCatalog.Expire(h.nowMs(), maxMissedHeartbeats*heartbeatMs, limiterSilenceMs, h.isAlive) {
			h.notifyChange()
		}
		h.mu.Unlock()
		if time.Now().After(repairAt) {
			repairAt = time.Now().Add(repairInterval + rand.N(time.Second))
			go h.repairOnce(ctx)
		}
	}
}

// isAlive reports whether another catalog source is known to run. h.mu must be held.
func (h *Registry) isAlive(source string) bool {
	return time.Since(h.lastAlive[source]) < 2*(pullHold+callMargin)
}

// isolated reports whether this registry has no contact with a majority of the registries. h.mu must be held.
func (h *Registry) isolated() bool {
	return !h.contacts.HasMajority(h.voters, h.elapsed(), contactMaxAge)
}

// isMember reports whether a machine is a voter or named in the settings; such a peer is called even while it is
// unreachable. h.mu must be held.
func (h *Registry) isMember(ip string) bool {
	if slices.Contains(h.seeds, ip) {
		return true
	}
	return slices.ContainsFunc(h.voters, func(set []string) bool { return slices.Contains(set, ip) })
}

// followPeer pulls from another registry until that is forgotten.
func (h *Registry) followPeer(ctx context.Context, ip string) {
	address := h.settings.InternalAddress(ip, nodesettings.RegistryPort)
	firstAsked := h.elapsed()
	for ctx.Err() == nil {
		h.mu.Lock()
		if h.shouldForget(ip, firstAsked) {
			h.peers = slices.DeleteFunc(h.peers, func(o string) bool { return o == ip })
			h.contacts.Forget(ip)
			h.mu.Unlock()
			return
		}
		request := PullRequest{Vector: maps.Clone(h.localCatalog.Vector()), HoldMs: uint64(pullHold / time.Millisecond), Source: h.source()}
		own := h.ownRecord()
		request.CallerRecord = &own
		h.mu.Unlock()
		var response PullResponse
		if err := h.caller.Call(ctx, address, CallPull, request, &response, pullHold+callMargin); err != nil {
			wait.Sleep(ctx, 100*time.Millisecond+rand.N(100*time.Millisecond))
			continue
		}
		h.mu.Lock()
		h.contacts.Heard(ip, h.elapsed())
		h.lastAlive[response.Source] = time.Now()
		if len(h.localCatalog.Merge(h.nowMs(), response.Records)) > 0 {
			h.notifyChange()
		}
		h.localCatalog.AdvanceVector(response.Vector)
		h.mu.Unlock()
	}
}

// shouldForget reports whether a machine that is neither a voter nor named in the settings has been silent for
// too long. firstAsked is when it was first called. h.mu must be held.
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

// source returns the ID of this process as a source of catalog records.
func (h *Registry) source() string { return h.localCatalog.Source() }

// handlePull answers a registry or a limiter as soon as there are changes for it, or when the hold is over.
func (h *Registry) handlePull(ctx context.Context, request PullRequest) (any, error) {
	start := time.Now()
	timeout := time.NewTimer(time.Duration(request.HoldMs) * time.Millisecond)
	defer timeout.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	if request.Source != "" {
		h.lastAlive[request.Source] = start
	}
	switch {
	case request.CallerRecord != nil && request.CallerRecord.Service == catalog.Cores:
		h.recordPeer(*request.CallerRecord)
	case request.CallerRecord != nil:
		h.recordLimiter(*request.CallerRecord, &request)
	}
	for waiting := true; waiting && !h.localCatalog.HasNewerThan(request.Vector) && (request.Source != "" || h.register.Seq <= request.Seq); {
		changed := h.changed
		h.mu.Unlock()
		select {
		case <-changed:
			// Changes come in bursts: the pause lets one answer carry those that occur together.
			wait.Sleep(ctx, 2*time.Millisecond)
		case <-timeout.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		h.mu.Lock()
	}
	response := PullResponse{Source: h.source(), Isolated: h.isolated(), HeldMs: uint64(time.Since(start).Milliseconds())}
	if h.localCatalog.HasNewerThan(request.Vector) {
		response.Records, response.Vector = h.localCatalog.Since(h.nowMs(), request.Vector), maps.Clone(h.localCatalog.Vector())
	}
	if request.Source == "" {
		if h.register.Seq > request.Seq {
			trimmed := *h.register
			trimmed.Applied, trimmed.Voters, trimmed.Prior, trimmed.ZoneChanges = nil, nil, nil, nil
			if delta, ok := h.limiters.deltaFrom(request.Seq, trimmed.Places); ok && !request.FullRegister {
				trimmed.Places, response.Places = nil, &delta
			}
			if trimmed.Version == request.Version {
				trimmed.Config = nil
			} else if delta, ok := h.configHistory.Delta(request.Version); ok {
				trimmed.Config, response.ConfigDelta = nil, delta
			}
			response.Register = &trimmed
		}
		if age, ok := h.proof.Age(h.elapsed()); ok {
			response.Proven, response.ProofAgeMs = true, uint64(age.Milliseconds())+1
		}
	}
	return response, nil
}

// recordPeer adds another registry's record to the catalog if it is unknown, and starts to pull from it. h.mu
// must be held.
func (h *Registry) recordPeer(record catalog.Record) {
	if _, known := h.localCatalog.Get(h.nowMs(), record.ID); !known && h.localCatalog.ApplyHeartbeat(h.nowMs(), record) {
		h.notifyChange()
	}
	h.addPeer(record.Address)
}

// recordLimiter records what a limiter reports about itself. Records of its earlier processes are marked as gone.
// h.mu must be held.
func (h *Registry) recordLimiter(record catalog.Record, request *PullRequest) {
	nowMs := h.nowMs()
	_, known := h.localCatalog.Get(nowMs, record.ID)
	changed := h.localCatalog.ApplyHeartbeat(nowMs, record)
	name, _, _ := strings.Cut(record.ID, "#")
	if !known {
		var earlier []string
		h.localCatalog.Each(nowMs, func(other catalog.Record) {
			if otherName, _, _ := strings.Cut(other.ID, "#"); other.Service == catalog.Limiters && otherName == name && other.ID != record.ID && other.State != catalog.Gone {
				earlier = append(earlier, other.ID)
			}
		})
		for _, id := range earlier {
			changed = h.localCatalog.MarkGone(nowMs, id) || changed
		}
	}
	h.limiters.handleReport(h.elapsed(), h.register, places.Place{Name: name, IP: nodesettings.HostOf(record.Address), Zone: record.Zone, Incarnation: record.ID}, request)
	if changed {
		h.notifyChange()
	}
}

// replicate sends a record to the other registries and reports whether a majority holds it. Records that must
// survive the loss of this machine are replicated in this way.
func (h *Registry) replicate(ctx context.Context, id string) bool {
	h.mu.Lock()
	record, _ := h.localCatalog.Get(h.nowMs(), id)
	copies := freshness.NewCopies(h.settings.IP, h.voters)
	peers := slices.Clone(h.peers)
	h.mu.Unlock()
	if copies.HasMajority() {
		return true
	}
	done := make(chan string, len(peers))
	for _, ip := range peers {
		go func() {
			if h.caller.Call(ctx, h.settings.InternalAddress(ip, nodesettings.RegistryPort), callPush, []catalog.Record{record}, nil, pushTimeout) != nil {
				ip = ""
			}
			done <- ip
		}()
	}
	for range peers {
		copies.Stored(<-done)
		if copies.HasMajority() {
			return true
		}
	}
	return false
}

// handlePush merges records that another registry replicates.
func (h *Registry) handlePush(_ context.Context, records []catalog.Record) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.localCatalog.Merge(h.nowMs(), records)) > 0 {
		h.notifyChange()
	}
	return nil, nil
}

// repairOnce compares catalog digests with one random peer and merges the records that differ.
func (h *Registry) repairOnce(ctx context.Context) {
	peers := h.coreIPs()[1:]
	if len(peers) == 0 {
		return
	}
	ip := peers[rand.IntN(len(peers))]
	h.mu.Lock()
	digests := h.localCatalog.Digests()
	h.mu.Unlock()
	var records []catalog.Record
	if h.caller.Call(ctx, h.settings.InternalAddress(ip, nodesettings.RegistryPort), callRepair, digests, &records, time.Second) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.localCatalog.Merge(h.nowMs(), records)) > 0 {
		h.notifyChange()
	}
}

// handleRepair returns the records of the ranges whose digests differ.
func (h *Registry) handleRepair(_ context.Context, digests [catalog.DigestRanges]uint64) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.localCatalog.DifferingRecords(h.nowMs(), digests), nil
}

// watchLoop follows the configuration store on this machine or, while that fails or is stale, another one.
func (h *Registry) watchLoop(ctx context.Context) {
	for current := 0; ctx.Err() == nil; {
		stores := h.coreIPs()
		current %= len(stores)
		h.mu.Lock()
		request := configstore.WatchRequest{Seq: h.register.Seq, HoldMs: uint64(watchHold / time.Millisecond)}
		h.mu.Unlock()
		var response configstore.WatchResponse
		start := h.elapsed()
		err := h.caller.Call(ctx, h.settings.InternalAddress(stores[current], nodesettings.ConfigStorePort), configstore.CallWatch, request, &response, watchHold+callMargin)
		if err != nil {
			current = (current + 1) % len(stores)
			wait.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		h.mu.Lock()
		if response.Proven {
			h.proof.Advance(start, time.Duration(response.HeldMs)*time.Millisecond, time.Duration(response.ProofAgeMs)*time.Millisecond)
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
		if stale && len(stores) > 1 { // another store may reach a majority
			current = (current + 1) % len(stores)
			wait.Sleep(ctx, 50*time.Millisecond)
		} else {
			current = 0
		}
	}
}

// setVoters records which machines are voters. h.mu must be held.
func (h *Registry) setVoters(voters [][]string) {
	h.voters = voters
	for _, set := range voters {
		for _, ip := range set {
			h.addPeer(ip)
		}
	}
}

// handleStatus returns the status lines of this registry.
func (h *Registry) handleStatus(context.Context) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	proof := "none"
	if age, ok := h.proof.Age(h.elapsed()); ok {
		proof = age.Round(time.Millisecond).String()
	}
	lines := []string{
		fmt.Sprintf("program=registry node=%s zone=%s source=%s apart=%v proof_age=%s", h.settings.Node, h.settings.Zone, h.source(), h.isolated(), proof),
		fmt.Sprintf("register seq=%d version=r%d evacuated=%v limiters=%d places_settled=%d", h.register.Seq, h.register.Version, h.register.EvacuatedZones, h.limiters.heldCount(h.register), h.register.PlacesSettled),
	}
	lines = append(lines, h.limiters.statusLines(h.elapsed(), h.register)...)
	return rpc.Status{Lines: append(lines, h.localCatalog.Report(h.nowMs())...)}, nil
}

// submitOrder submits one order to a store. ok is false if no definite answer came.
func (h *Registry) submitOrder(ctx context.Context, order controlstate.Order) (outcome controlstate.Outcome, ok bool) {
	outcomes, ok := h.submitOrders(ctx, []controlstate.Order{order})
	if !ok {
		return outcome, false
	}
	return outcomes[0], true
}

// submitOrders submits orders to a store, to be carried out in one change. ok is false if no definite answer came.
func (h *Registry) submitOrders(ctx context.Context, orders []controlstate.Order) (outcomes []controlstate.Outcome, ok bool) {
	ok = h.tryStores(func(to string, left time.Duration) bool {
		var response configstore.ChangeResponse
		err := h.caller.Call(ctx, to, configstore.CallChange, configstore.ChangeRequest{Orders: orders, TimeoutMs: uint64(left.Milliseconds())}, &response, left)
		if err != nil || len(response.Outcomes) != len(orders) {
			return false
		}
		outcomes = response.Outcomes
		return true
	})
	return outcomes, ok
}

// tryStores calls one store after the other until one has answered, and reports whether one has.
func (h *Registry) tryStores(call func(to string, left time.Duration) bool) bool {
	deadline := time.Now().Add(storeTimeout)
	for _, ip := range h.coreIPs() {
		left := time.Until(deadline)
		if left < 50*time.Millisecond {
			break
		}
		if call(h.settings.InternalAddress(ip, nodesettings.ConfigStorePort), left) {
			return true
		}
	}
	return false
}
