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
	syncHold      = 900 * time.Millisecond // how long a pull may wait for news
	callSlack     = 500 * time.Millisecond // beyond what is held
	watchHold     = 400 * time.Millisecond
	storeWithin   = 900 * time.Millisecond // callers move on after a second
	pushWithin    = 300 * time.Millisecond
	repairEvery   = 5 * time.Second
	expireEvery   = 250 * time.Millisecond
	limiterSilent = 3200.0 // ms: a limiter pulls once a second
	serverBeats   = 4.0    // beats that may be missed
	maxBody       = 64 << 20
	// contactWithin is how recently a registry must have answered to count towards a majority.
	contactWithin = syncHold + callSlack + 200*time.Millisecond
	// goneAfter is the silence after which a registry that neither votes nor is named by the
	// settings is not asked any more.
	goneAfter   = 30 * time.Second
	drainedMost = 8192
	// historyMost is how many bytes of older configurations are kept to tell differences by.
	historyMost = 4 << 20
	// storeStale is the age of the proof at which another store is asked too.
	storeStale = 2 * time.Second
)

// Registry is one registry.
type Registry struct {
	set    *nodesettings.Settings
	log    logrus.FieldLogger
	caller *rpc.Caller
	begun  time.Time
	ctx    context.Context

	mu       sync.Mutex
	others   []string   // IP numbers of the other core machines: those of the seeds, and those heard of
	voters   [][]string // IP numbers of the machines of which a majority has to agree
	seeds    []string   // IP numbers that the settings name
	contacts *freshness.Contacts
	proof    freshness.Proof
	book     *catalog.Book
	news     chan struct{} // closed when the book or the register changes
	reg      *controlstate.Register
	history  *configdelta.History // of configurations
	drained  map[string]bool      // servers whose drain a majority of the registries holds
	lives    map[string]time.Time // when a source was last known to run
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
	Isolated bool   `cbor:"7,keyasint,omitempty"`
	HeldMs   uint64 `cbor:"8,keyasint,omitempty"`
	// The register comes without what the caller has: its configuration, where that has the same
	// version. Places make its places of those that the caller has.
	Places *places.Delta `cbor:"9,keyasint,omitempty"`
	// ConfigDelta makes the configuration of the one that the caller has, where that is kept here: see
	// package configdelta. The register then comes without its configuration.
	ConfigDelta []byte `cbor:"10,keyasint,omitempty"`
}

// Run serves until the context ends.
func Run(ctx context.Context, set *nodesettings.Settings, log logrus.FieldLogger) error {
	h := &Registry{set: set, log: log, ctx: ctx, caller: rpc.NewCaller(), begun: time.Now(), news: make(chan struct{}),
		reg: &controlstate.Register{}, contacts: freshness.NewContacts(set.IP), drained: map[string]bool{}, history: configdelta.NewHistory(historyMost), seeds: set.Cores(), lives: map[string]time.Time{}, limiters: newLimiterPlaces(),
		book: catalog.New(fmt.Sprintf("%s#%08x", set.Node, rand.Uint32()))}
	inner, err := net.Listen("tcp", set.Internal(set.IP, nodesettings.RegistryPort))
	if err != nil {
		return fmt.Errorf("registry: listen for other processes: %w", err)
	}
	outer, err := net.Listen("tcp", set.Listen["control_plane"])
	if err != nil {
		return fmt.Errorf("registry: listen for outside calls: %w", err)
	}
	go rpc.Serve(ctx, inner, map[string]rpc.Handler{CallPull: rpc.Taking(h.pull), callPush: rpc.Taking(h.pushed), callRepair: rpc.Taking(h.repaired), callAcknowledgements: rpc.Taking(h.acknowledgements), rpc.CallStatus: rpc.Asking(h.status)})
	answered := make(chan struct{}) // all outside calls that were taken
	go func() {
		defer close(answered)
		(&httpapi.Server{Handler: h.outside, MaxBody: maxBody, DropAbandoned: isEvacuation}).Serve(ctx, outer)
	}()
	if set.Bootstrap {
		h.voters = [][]string{set.Cores()}
	}
	h.mu.Lock()
	for _, ip := range set.Cores() {
		h.meet(ip)
	}
	h.mu.Unlock()
	metrics.Offer(ctx, set.MetricsAddress(), log, h.figures)
	go h.watch(ctx)
	go h.keepPlaces(ctx)
	go set.Follow(ctx, func(next *nodesettings.Settings) {
		log.WithField("seeds", len(next.Seeds)).Info("settings have changed")
		h.mu.Lock()
		defer h.mu.Unlock()
		h.seeds = next.Cores()
		for _, ip := range h.seeds {
			h.meet(ip)
		}
	}, func(err error) { log.WithField("err", err).Warn("settings can't be used") })
	log.WithFields(logrus.Fields{"seeds": len(set.Cores())}).Info("begins")
	h.keep(ctx)
	<-answered
	return nil
}

func (h *Registry) now() float64 { return float64(time.Since(h.begun)) / float64(time.Millisecond) }

// clock is the span on the steady clock since the process began.
func (h *Registry) clock() time.Duration { return time.Since(h.begun) }

// stir wakes those who wait for news. The mutex is held.
func (h *Registry) stir() {
	close(h.news)
	h.news = make(chan struct{})
}

// meet has another registry followed, from the first time that it is heard of. The mutex is
// held.
func (h *Registry) meet(ip string) {
	if ip != h.set.IP && ip != "" && !slices.Contains(h.others, ip) {
		h.others = append(h.others, ip)
		go h.follow(h.ctx, ip)
	}
}

// meetAll meets the registries that the book names. The mutex is held.
func (h *Registry) meetAll() {
	var found []string
	h.book.Each(h.now(), func(r catalog.Record) {
		if r.Service == catalog.Cores && r.State == catalog.Available {
			found = append(found, r.Address)
		}
	})
	for _, ip := range found {
		h.meet(ip)
	}
}

// cores are the IP numbers of the core machines, this one first.
func (h *Registry) cores() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{h.set.IP}, h.others...)
}

// self is this registry's word of itself, with a number that rises.
func (h *Registry) self() catalog.Record {
	return catalog.Record{ID: h.source(), Service: catalog.Cores, Address: h.set.IP, Zone: h.set.Zone, Sequence: uint64(h.now())}
}

// keep does what is due at intervals.
func (h *Registry) keep(ctx context.Context) {
	repairAt := time.Now().Add(repairEvery)
	for ctx.Err() == nil {
		wait.Sleep(ctx, expireEvery)
		h.mu.Lock()
		beat := float64(h.set.Heartbeat) / float64(time.Millisecond)
		if h.book.Beat(h.now(), h.self()) {
			h.stir()
		}
		h.meetAll()
		if len(h.drained) > drainedMost {
			clear(h.drained) // what is forgotten costs further calls
		}
		if !h.apart() && time.Since(h.begun) > 2*syncHold && h.book.Expire(h.now(), serverBeats*beat, limiterSilent, h.alive) {
			h.stir()
		}
		h.mu.Unlock()
		if time.Now().After(repairAt) {
			repairAt = time.Now().Add(repairEvery + rand.N(time.Second))
			go h.repair(ctx)
		}
	}
}

// alive tells whether another source runs, as far as is known. The mutex is held.
func (h *Registry) alive(source string) bool {
	return time.Since(h.lives[source]) < 2*(syncHold+callSlack)
}

// apart tells that no majority of the registries is heard. The mutex is held.
func (h *Registry) apart() bool {
	return !h.contacts.HasMajority(h.voters, h.clock(), contactWithin)
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
func (h *Registry) follow(ctx context.Context, ip string) {
	to := h.set.Internal(ip, nodesettings.RegistryPort)
	begun := h.clock()
	for ctx.Err() == nil {
		h.mu.Lock()
		if h.isGone(ip, begun) {
			h.others = slices.DeleteFunc(h.others, func(o string) bool { return o == ip })
			h.contacts.Forget(ip)
			h.mu.Unlock()
			return
		}
		ask := Pull{Vector: maps.Clone(h.book.Vector()), HoldMs: uint64(syncHold / time.Millisecond), Source: h.source()}
		me := h.self()
		ask.Me = &me
		h.mu.Unlock()
		var a Pulled
		if err := h.caller.Call(ctx, to, CallPull, ask, &a, syncHold+callSlack); err != nil {
			wait.Sleep(ctx, 100*time.Millisecond+rand.N(100*time.Millisecond))
			continue
		}
		h.mu.Lock()
		h.contacts.Heard(ip, h.clock())
		h.lives[a.Source] = time.Now()
		if len(h.book.Merge(h.now(), a.Records)) > 0 {
			h.stir()
		}
		h.book.Know(a.Vector)
		h.mu.Unlock()
	}
}

// isGone tells that a machine which neither votes nor is named was not heard for long. begun is when
// it was first asked. The mutex is held.
func (h *Registry) isGone(ip string, begun time.Duration) bool {
	if h.isMember(ip) {
		return false
	}
	silence, heard := h.contacts.Silence(ip, h.clock())
	if !heard {
		silence = h.clock() - begun
	}
	return silence > goneAfter
}

func (h *Registry) source() string { return h.book.Source() }

// pull answers another registry or a limiter, at once where it has news for it.
func (h *Registry) pull(ctx context.Context, m Pull) (any, error) {
	begun := time.Now()
	late := time.NewTimer(time.Duration(m.HoldMs) * time.Millisecond)
	defer late.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.Source != "" {
		h.lives[m.Source] = begun
	}
	switch {
	case m.Me != nil && m.Me.Service == catalog.Cores:
		h.registry(*m.Me)
	case m.Me != nil:
		h.limiter(*m.Me, &m)
	}
	for waiting := true; waiting && !h.book.Lacks(m.Vector) && (m.Source != "" || h.reg.Seq <= m.Seq); {
		news := h.news
		h.mu.Unlock()
		select {
		case <-news:
			// Changes come in clusters: those of a moment go together.
			wait.Sleep(ctx, 2*time.Millisecond)
		case <-late.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		h.mu.Lock()
	}
	a := Pulled{Source: h.source(), Isolated: h.apart(), HeldMs: uint64(time.Since(begun).Milliseconds())}
	if h.book.Lacks(m.Vector) {
		a.Records, a.Vector = h.book.Since(h.now(), m.Vector), maps.Clone(h.book.Vector())
	}
	if m.Source == "" {
		if h.reg.Seq > m.Seq {
			r := *h.reg
			r.Applied, r.Voters, r.Prior, r.ZoneChanges = nil, nil, nil, nil
			if delta, ok := h.limiters.difference(m.Seq, r.Places); ok && !m.Whole {
				r.Places, a.Places = nil, &delta
			}
			if r.Version == m.Version {
				r.Config = nil
			} else if delta, ok := h.history.Delta(m.Version); ok {
				r.Config, a.ConfigDelta = nil, delta
			}
			a.Register = &r
		}
		if age, ok := h.proof.Age(h.clock()); ok {
			a.Proven, a.ProofMs = true, uint64(age.Milliseconds())+1
		}
	}
	return a, nil
}

// registry takes in another registry's word of itself, if nobody has told of it yet. The mutex
// is held.
func (h *Registry) registry(r catalog.Record) {
	if _, known := h.book.Get(h.now(), r.ID); !known && h.book.Beat(h.now(), r) {
		h.stir()
	}
	h.meet(r.Address)
}

// limiter takes in a limiter's word of itself. Its earlier lives are over. The mutex is held.
func (h *Registry) limiter(r catalog.Record, m *Pull) {
	now := h.now()
	_, known := h.book.Get(now, r.ID)
	news := h.book.Beat(now, r)
	name, _, _ := strings.Cut(r.ID, "#")
	if !known {
		var old []string
		h.book.Each(now, func(o catalog.Record) {
			if n, _, _ := strings.Cut(o.ID, "#"); o.Service == catalog.Limiters && n == name && o.ID != r.ID && o.State != catalog.Gone {
				old = append(old, o.ID)
			}
		})
		for _, id := range old {
			news = h.book.Leave(now, id) || news
		}
	}
	h.limiters.hear(h.clock(), h.reg, places.Place{Name: name, IP: nodesettings.HostOf(r.Address), Zone: r.Zone, Life: r.ID}, m)
	if news {
		h.stir()
	}
}

// push tells other registries what is not to be lost with this machine, and tells whether a
// majority has it.
func (h *Registry) push(ctx context.Context, id string) bool {
	h.mu.Lock()
	record, _ := h.book.Get(h.now(), id)
	copies := freshness.NewCopies(h.set.IP, h.voters)
	others := slices.Clone(h.others)
	h.mu.Unlock()
	if copies.HasMajority() {
		return true
	}
	done := make(chan string, len(others))
	for _, ip := range others {
		go func() {
			if h.caller.Call(ctx, h.set.Internal(ip, nodesettings.RegistryPort), callPush, []catalog.Record{record}, nil, pushWithin) != nil {
				ip = ""
			}
			done <- ip
		}()
	}
	for range others {
		copies.Stored(<-done)
		if copies.HasMajority() {
			return true
		}
	}
	return false
}

func (h *Registry) pushed(_ context.Context, records []catalog.Record) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.book.Merge(h.now(), records)) > 0 {
		h.stir()
	}
	return nil, nil
}

// repair compares digests with one other registry, and mends what differs.
func (h *Registry) repair(ctx context.Context) {
	others := h.cores()[1:]
	if len(others) == 0 {
		return
	}
	ip := others[rand.IntN(len(others))]
	h.mu.Lock()
	d := h.book.Digests()
	h.mu.Unlock()
	var records []catalog.Record
	if h.caller.Call(ctx, h.set.Internal(ip, nodesettings.RegistryPort), callRepair, d, &records, time.Second) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.book.Merge(h.now(), records)) > 0 {
		h.stir()
	}
}

func (h *Registry) repaired(_ context.Context, d [catalog.Ranges]uint64) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.book.Differing(h.now(), d), nil
}

// watch follows the store of configuration on this machine or, while that is down, another.
func (h *Registry) watch(ctx context.Context) {
	for k := 0; ctx.Err() == nil; {
		stores := h.cores()
		k %= len(stores)
		h.mu.Lock()
		ask := configstore.Watch{Seq: h.reg.Seq, HoldMs: uint64(watchHold / time.Millisecond)}
		h.mu.Unlock()
		var w configstore.Watched
		begun := h.clock()
		err := h.caller.Call(ctx, h.set.Internal(stores[k], nodesettings.ConfigStorePort), configstore.CallWatch, ask, &w, watchHold+callSlack)
		if err != nil {
			k = (k + 1) % len(stores)
			wait.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		h.mu.Lock()
		if w.Proven {
			h.proof.Advance(begun, time.Duration(w.HeldMs)*time.Millisecond, time.Duration(w.ProofMs)*time.Millisecond)
		}
		if len(w.Voters) > 0 {
			h.follows(w.Voters)
		}
		if w.Register != nil && w.Register.Seq > h.reg.Seq {
			h.reg = w.Register
			h.history.Add(h.reg.Version, h.reg.Config)
			h.limiters.see(h.clock(), h.reg)
			h.stir()
		}
		stale := !h.proof.Fresh(h.clock(), storeStale)
		h.mu.Unlock()
		if stale && len(stores) > 1 { // another store may hear a majority
			k = (k + 1) % len(stores)
			wait.Sleep(ctx, 50*time.Millisecond)
		} else {
			k = 0
		}
	}
}

// follows takes over which machines vote. The mutex is held.
func (h *Registry) follows(voters [][]string) {
	h.voters = voters
	for _, set := range voters {
		for _, ip := range set {
			h.meet(ip)
		}
	}
}

// status tells how this registry stands.
func (h *Registry) status(context.Context) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	proof := "none"
	if age, ok := h.proof.Age(h.clock()); ok {
		proof = age.Round(time.Millisecond).String()
	}
	lines := []string{
		fmt.Sprintf("program=registry node=%s zone=%s source=%s apart=%v proof_age=%s", h.set.Node, h.set.Zone, h.source(), h.apart(), proof),
		fmt.Sprintf("register seq=%d version=r%d evacuated=%v limiters=%d places_settled=%d", h.reg.Seq, h.reg.Version, h.reg.EvacuatedZones, h.limiters.count(h.reg), h.reg.PlacesSettled),
	}
	lines = append(lines, h.limiters.report(h.clock(), h.reg)...)
	return rpc.Status{Lines: append(lines, h.book.Report(h.now())...)}, nil
}

// order gives an order to a store. ok is false when no clear answer came.
func (h *Registry) order(ctx context.Context, o controlstate.Order) (out controlstate.Outcome, ok bool) {
	outcomes, ok := h.orders(ctx, []controlstate.Order{o})
	if !ok {
		return out, false
	}
	return outcomes[0], true
}

// orders gives orders to a store, to be carried out by one change. ok is false when no clear answer came.
func (h *Registry) orders(ctx context.Context, all []controlstate.Order) (outcomes []controlstate.Outcome, ok bool) {
	ok = h.anyStore(func(to string, left time.Duration) bool {
		var c configstore.Changed
		err := h.caller.Call(ctx, to, configstore.CallChange, configstore.Change{Orders: all, WithinMs: uint64(left.Milliseconds())}, &c, left)
		if err != nil || len(c.Outcomes) != len(all) {
			return false
		}
		outcomes = c.Outcomes
		return true
	})
	return outcomes, ok
}

// anyStore calls one store after the other until one has answered, and tells whether one has.
func (h *Registry) anyStore(call func(to string, left time.Duration) bool) bool {
	until := time.Now().Add(storeWithin)
	for _, ip := range h.cores() {
		left := time.Until(until)
		if left < 50*time.Millisecond {
			break
		}
		if call(h.set.Internal(ip, nodesettings.ConfigStorePort), left) {
			return true
		}
	}
	return false
}
