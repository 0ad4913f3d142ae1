package proxy

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/control/configuration"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/traffic/allowance"
	"example.org/madderdrum/traffic/loadreports"
	"example.org/madderdrum/traffic/quotaloan"
)

// engine drives one limiter.Limiter, configured for a fixed number of slots (the entries of the place table). When
// that number or this limiter's slot changes, a new engine takes the new requests and the old one finishes those
// that it has. The proxy's mutex guards it.
type engine struct {
	proxy             *Proxy
	decider           *limiter.Limiter
	slotCount         int // slots of the place table
	slot              int // this limiter's slot
	events            []limiter.Event
	handlingEvents    bool
	calls             map[string]*call
	table             *configuration.Table          // that the classes and plans belong to
	classes           map[*configuration.Route]int  // class index by route of the table
	plans             map[*configuration.Tenant]int // plan index by tenant of the table
	pools             map[poolKey]*pool
	memberIDs         map[poolMember]uint64 // IDs that the limiter.Limiter knows servers by
	servers           map[uint64]*serverEntry
	membersByInstance map[uint32][]uint64          // by instance hash; one member ID for each pool that the server is in
	inFlight          map[uint64]int               // attempts in flight, by member ID
	capacity          map[uint32]float64           // concurrent requests that an instance works on, by instance hash
	othersInFlight    map[uint64]limiter.Occupancy // by member ID; load from other limiters and pools, as last passed on
	requestCount      int
	places            []allowance.Place  // by slot, in the newest table
	quota             *quotaloan.Holding // this limiter's parts of the tenants' ceilings
	planByAccount     map[uint64]int     // plan index by account ID
	classByRouteID    map[uint64]int     // class index by the route ID used between limiters
	pendingReply      *tokenReply        // reply under construction, while a token request is decided
}

// poolKey identifies a set of servers that can serve the same requests.
type poolKey struct {
	service     string
	regionList  string // sorted and joined by spaces; only if regionBound
	regionBound bool
	download    bool // for large answers
}

// pool is the set of servers for a poolKey.
type pool struct {
	poolKey
	id      uint64
	regions []string // where its servers may be; only if regionBound
}

// poolMember is one server instance in a pool.
type poolMember struct {
	poolID     uint64
	instanceID string
}

// serverEntry is a server instance in one pool, as listed to the limiter.Limiter.
type serverEntry struct {
	instanceID string
	pool       uint64
	info       limiter.ServerInfo
}

const (
	// limiter.Limiter plans for an answer within a quarter (its headroom) of the remaining time, which suits work
	// that is short compared to its target latency. Times passed to it are stretched so that an answer is expected
	// within three quarters of the target.
	deadlineStretch = 3.0
	// Datagrams about tenants' spending that a limiter accepts per second: a few.
	peerMessagesPerSecond = 3.0
	defaultRetryAfterMs   = 150.0 // used if the limiter.Limiter gives no time
	// Longest exclusion of a server from a class that it fails again each time it is retried.
	maxExclusionMs = 16_000.0
	// Extra cost of answers from a distance, relative to their latency: 1 counts as twice the latency. Traffic
	// between regions is billed, and downloads cost the most.
	otherZonePenalty           = 0.3
	otherRegionPenalty         = 1.5
	otherRegionDownloadPenalty = 4.0
)

// useTable makes the classes and plans of a configuration those of the engine. It returns the limiter.Settings for
// them.
func (e *engine) useTable(table *configuration.Table, slot int) limiter.Settings {
	settings := limiter.Settings{Position: slot, Balancers: e.slotCount, Zone: 0, PeerInPerS: peerMessagesPerSecond,
		MaxEjectionMs: maxExclusionMs,
		Caps: limiter.Caps{Attempts: 8, Peers: e.slotCount > 1, Probes: true, RetryAfter: true, MaxWaitMs: 1000,
			ConnectMs: 300},
		Rules: limiter.Rules{FallMs: 1000}}
	e.table = table
	e.classes = make(map[*configuration.Route]int, len(table.Routes))
	e.plans = make(map[*configuration.Tenant]int, len(table.Tenants))
	e.classByRouteID = map[uint64]int{}
	for i := range table.Routes {
		route := &table.Routes[i]
		repeat := limiter.Safe
		if !route.Kind.Repeatable() {
			repeat = limiter.Unsafe
		}
		e.classes[route] = len(settings.Classes)
		e.classByRouteID[routeID(route)] = len(settings.Classes)
		aim := route.TargetLatency
		if aim == 0 {
			aim = route.Timeout
		}
		// The age of a request is not inferred from the time that the client has left: an attempt that misses the
		// target latency still earns part of the worth and counts as served.
		settings.Classes = append(settings.Classes, limiter.Class{Repeat: repeat, AimMs: deadlineStretch * ms(aim),
			DeadlineMs: 1, Worth: 1, LateShare: 0.3})
	}
	if len(settings.Classes) == 0 {
		settings.Classes = []limiter.Class{{AimMs: 1000, DeadlineMs: 1000, Worth: 1}}
	}
	settings.Plans = []limiter.Plan{{Price: 1}} // index 0: requests without a tenant
	e.useCeilings(table)
	e.planByAccount = map[uint64]int{}
	for i := range table.Tenants {
		tenant := &table.Tenants[i]
		e.plans[tenant] = len(settings.Plans)
		// The bucket subtracts what other limiters report as spent. The ceiling holds even when limiters cannot
		// reach each other, because each limiter owns a part of it.
		ceiling := e.quota.Ceilings[accountID(tenant.Name)]
		plan := limiter.Plan{Price: 1, Rate: ceiling.Rate, Burst: ceiling.Burst, CeilingRate: ceiling.Rate,
			CeilingBurst: ceiling.Burst}
		e.planByAccount[accountID(tenant.Name)] = len(settings.Plans)
		settings.Plans = append(settings.Plans, plan)
	}
	return settings
}

// useCeilings sets the tenants' ceilings and this limiter's parts of them. Tenants of one name share an account,
// which is bound by the strictest of their ceilings.
func (e *engine) useCeilings(table *configuration.Table) {
	held := e.quota
	held.Clear()
	placeSets := e.proxy.placeSets()
	e.places = placeSets[len(placeSets)-1]
	for i := range table.Tenants {
		tenant := &table.Tenants[i]
		account := accountID(tenant.Name)
		ceiling := e.proxy.rules.Ceiling(tenant.Rate, tenant.Burst)
		if sameName, ok := held.Ceilings[account]; ok {
			ceiling = ceiling.Strictest(sameName)
		}
		held.Ceilings[account] = ceiling
		held.SetKeeperShares(account, allowance.KeeperShares(tenant.Name, ceiling, placeSets))
	}
}

// exportAccounts returns the accounts' remaining balances when another engine replaces this one, which gets no new
// requests from then on. The mutex is held.
func (e *engine) exportAccounts() map[uint64]limiter.AccountMemory {
	accounts := map[uint64]limiter.AccountMemory{}
	e.decider.HandOver(e.proxy.now())
	for more := true; more; {
		var batch []limiter.AccountMemory
		batch, more = e.decider.Leave(e.proxy.now(), 1<<10)
		for _, account := range batch {
			accounts[account.ID] = account
		}
	}
	return accounts
}

// importAccounts sets the accounts' initial balances. If the previous engine of this process left some, they carry
// over, so that what was spent stays spent. If this process has newly joined, its part starts empty, because the
// other limiters hold it. The mutex is held.
func (e *engine) importAccounts(settings limiter.Settings, slot int, previous map[uint64]limiter.AccountMemory) {
	handover := &limiter.Handover{Position: slot, Balancers: e.slotCount, Plans: settings.Plans, HeadMs: 1e-6}
	for id, i := range e.planByAccount {
		ceiling := e.quota.Ceilings[id]
		if ceiling.Rate <= 0 {
			continue
		}
		account := limiter.AccountMemory{ID: id, Plan: i, Spread: e.slotCount, Balance: ceiling.Burst,
			Share: e.quota.RestartBurst(e.proxy.rules, id)}
		if old, ok := previous[account.ID]; ok {
			account.Balance, account.Share, account.Flow = min(ceiling.Burst, old.Balance), old.Share, old.Flow
		} else if e.proxy.register.Places[slot].Incarnation == e.proxy.instanceID {
			account.Share = 0
		}
		handover.Accounts = append(handover.Accounts, account)
	}
	e.handle(limiter.Recall{Memory: &limiter.Memory{Handover: handover}})
	// Open all accounts now: an account opened after the next configuration would start empty.
	for id, i := range e.planByAccount {
		e.handle(limiter.Ask{Submit: limiter.Submit{ID: openAccountID, ExpiresMs: 1, Plan: i,
			Account: id, Spread: e.slotCount}})
	}
}

// openAccountID is the ID of the submissions that open accounts. No request has it.
const openAccountID = "opens"

// accountID returns the number of a tenant's account, the same at all limiters.
func accountID(tenant string) uint64 { return hash64(tenant) >> 1 }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// updateEngine applies the register in force to the engine, creating one once this limiter has a place. The mutex
// is held.
func (proxy *Proxy) updateEngine(table *configuration.Table) {
	if table == nil {
		return
	}
	newSlot, slotCount := proxy.ownSlot(), len(proxy.register.Places)
	e := proxy.engine
	if e == nil && newSlot < 0 {
		return
	}
	if e == nil || newSlot >= 0 && (e.slotCount != slotCount || e.slot != newSlot) {
		var accounts map[uint64]limiter.AccountMemory
		if e != nil {
			accounts = e.exportAccounts()
		}
		proxy.openLoans(newSlot, slotCount)
		e = &engine{proxy: proxy, slotCount: slotCount, slot: newSlot,
			quota: quotaloan.NewHolding(proxy.loans, newSlot, slotCount), calls: map[string]*call{},
			pools: map[poolKey]*pool{}, memberIDs: map[poolMember]uint64{}, servers: map[uint64]*serverEntry{},
			inFlight: map[uint64]int{}}
		e.label(table)
		settings := e.useTable(table, newSlot)
		decider, err := limiter.New(settings, uint64(time.Now().UnixNano()))
		if err != nil {
			proxy.log.WithField("err", err).Error("cannot configure the engine")
			return
		}
		e.decider = decider
		proxy.engine = e
		proxy.applyShare()
		e.applyParts()
		e.importAccounts(settings, newSlot, accounts)
		e.updateLoans()
		proxy.log.WithFields(logrus.Fields{"place": newSlot, "limiters": slotCount}).Info("engine started")
		return
	}
	proxy.applyShare()
	e.label(table)
	classes, plans := newClassIndexes(e.table, table), newPlanIndexes(e.table, table)
	e.handle(limiter.Reconfigure{Settings: e.useTable(table, e.slot), Classes: classes, Plans: plans})
	e.applyParts()
}

// newClassIndexes returns the index in the new configuration's classes for each class of the old one; -1: removed.
// Each route has a class, in the order of the table; a configuration without routes has one that no request names.
func newClassIndexes(old, new *configuration.Table) []int {
	if len(old.Routes) == 0 {
		return []int{-1}
	}
	return configuration.RoutePositions(old, new)
}

// newPlanIndexes is newClassIndexes for plans. The plan of requests without a tenant comes before those of the
// tenants and is never removed.
func newPlanIndexes(old, new *configuration.Table) []int {
	indexes := []int{0}
	for _, position := range configuration.TenantPositions(old, new) {
		if position >= 0 {
			position++
		}
		indexes = append(indexes, position)
	}
	return indexes
}

// knows reports whether the engine has a class for a route and a plan for a tenant, which may be nil.
func (e *engine) knows(route *configuration.Route, tenant *configuration.Tenant) bool {
	if _, known := e.classes[route]; !known {
		return false
	}
	if tenant == nil {
		return true
	}
	_, known := e.plans[tenant]
	return known
}

// label assigns IDs to the pools for the services and home regions of a configuration.
func (e *engine) label(table *configuration.Table) {
	for i := range table.Routes {
		route := &table.Routes[i]
		for _, target := range route.Destinations {
			e.poolID(target.Service, route, nil)
			for k := range table.Tenants {
				if len(table.Tenants[k].AllowedRegions) > 0 {
					e.poolID(target.Service, route, &table.Tenants[k])
				}
			}
		}
	}
}

// poolID returns the pool of a service's servers in the regions where a request may be served.
func (e *engine) poolID(service string, route *configuration.Route, tenant *configuration.Tenant) uint64 {
	regions, anyRegion := configuration.AllowedRegions(route, tenant)
	regions = slices.Sorted(slices.Values(regions))
	key := poolKey{service, strings.Join(regions, " "), !anyRegion, route.Kind == configuration.Download}
	existing := e.pools[key]
	if existing == nil {
		existing = &pool{key, uint64(len(e.pools) + 1), regions}
		e.pools[key] = existing
	}
	return existing.id
}

// updateServers passes the limiter.Limiter the servers that may be used now. The mutex is held.
func (proxy *Proxy) updateServers() {
	e := proxy.engine
	if e == nil || proxy.configSnapshot.Load() == nil {
		return
	}
	pools := map[string][]*pool{}
	for _, candidate := range e.pools {
		pools[candidate.service] = append(pools[candidate.service], candidate)
	}
	now := time.Now()
	var listed []limiter.ServerInfo
	e.membersByInstance = map[uint32][]uint64{}
	e.capacity = map[uint32]float64{}
	serving := map[uint32]loadreports.Server{}
	proxy.records.Each(proxy.now(), func(r catalog.Record) {
		servicePools := pools[r.Service]
		if len(servicePools) == 0 {
			return
		}
		server := proxy.upstream(&r)
		server.usable = r.State == catalog.Available && !proxy.evacuatedZones[r.Zone] && !proxy.replacedInstances[r.ID]
		phase := limiter.Draining
		if server.usable {
			loadServer := loadreports.Server{Service: r.Service, Slots: max(1, r.Slots), Zone: r.Zone,
				SameZone: r.Zone == proxy.settings.Zone}
			serving[server.instanceHash], e.capacity[server.instanceHash] = loadServer, float64(loadServer.Slots)
			proxy.updateWarmup(server, &r, now)
			if !server.cold(now) || r.Zone == proxy.settings.Zone && !now.Before(server.nextColdRequestAt) {
				phase = limiter.Up
			}
		}
		for _, candidate := range servicePools {
			if candidate.regionBound && !slices.Contains(candidate.regions, proxy.settings.Zones[r.Zone]) {
				continue
			}
			member := poolMember{candidate.id, r.ID}
			number, ok := e.memberIDs[member]
			if !ok {
				number = memberID(candidate, r.ID)
				e.memberIDs[member] = number
			}
			info := limiter.ServerInfo{ID: number, Pool: candidate.id, Phase: phase,
				Far: proxy.distancePenalty(r.Zone, candidate.download)}
			e.servers[number] = &serverEntry{instanceID: r.ID, pool: candidate.id, info: info}
			e.membersByInstance[server.instanceHash] = append(e.membersByInstance[server.instanceHash], number)
			listed = append(listed, info)
		}
	})
	proxy.loadReports.SetServers(serving)
	e.handle(limiter.Endpoints{Scope: limiter.Complete, Servers: listed})
}

// memberID returns a server's ID within a pool. It is the same at all limiters, because failure reports refer to
// it.
func memberID(in *pool, instanceID string) uint64 {
	return hash64(in.service+"\x00"+in.regionList+"\x00"+instanceID+"\x00"+
		strconv.FormatBool(in.download)+strconv.FormatBool(in.regionBound)) >> 1
}

// routeID returns the number that identifies a route's class in messages between limiters.
func routeID(route *configuration.Route) uint64 { return hash64(route.Host+"/"+route.Name) >> 32 }

// distancePenalty returns the extra cost of answers from a zone, relative to their latency.
func (proxy *Proxy) distancePenalty(zone string, download bool) float64 {
	switch {
	case zone == proxy.settings.Zone:
		return 0
	case proxy.settings.Zones[zone] == proxy.settings.Region:
		return otherZonePenalty
	case download:
		return otherRegionDownloadPenalty
	}
	return otherRegionPenalty
}

// updateWarmup records until when a server is cold and schedules a server update for that time.
func (proxy *Proxy) updateWarmup(server *upstream, record *catalog.Record, now time.Time) {
	until := now.Add(time.Duration(record.WarmupLeftMs) * time.Millisecond)
	if assumed := proxy.coldUntil[record.ID]; assumed.After(until) {
		until = assumed
	}
	if !until.After(now) {
		return
	}
	if until.Sub(server.coldUntil).Abs() > 20*time.Millisecond || !server.coldUntil.After(now) {
		server.coldUntil = until
		server.coldInterval = proxy.minColdInterval(record.Service)
		if server.nextColdRequestAt.Before(now) {
			server.nextColdRequestAt = now.Add(server.coldInterval / 2)
		}
		proxy.scheduleServerUpdate(until.Sub(now) + time.Millisecond)
	}
	if server.nextColdRequestAt.After(now) {
		proxy.scheduleServerUpdate(server.nextColdRequestAt.Sub(now) + time.Millisecond)
	}
}

// scheduleServerUpdate runs updateServers after a delay. Only the earliest scheduled update is kept; each update
// schedules what else it finds due. The mutex is held.
func (proxy *Proxy) scheduleServerUpdate(delay time.Duration) {
	at := time.Now().Add(delay)
	if !proxy.serverUpdateAt.IsZero() && !at.Before(proxy.serverUpdateAt) {
		return
	}
	proxy.serverUpdateAt = at
	if proxy.serverUpdateTimer != nil {
		proxy.serverUpdateTimer.Stop()
	}
	proxy.serverUpdateTimer = time.AfterFunc(delay, func() {
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		proxy.serverUpdateAt = time.Time{}
		proxy.updateServers()
	})
}

// minColdInterval returns the minimum time between two requests of this limiter to one cold server of its zone.
func (proxy *Proxy) minColdInterval(service string) time.Duration {
	s := proxy.configSnapshot.Load().table.Services[service]
	if s == nil {
		return time.Hour
	}
	return proxy.rules.ColdInterval(s.ColdRequestsPerS, proxy.zoneLimiterCount)
}

// handle passes an event to the limiter.Limiter and executes the resulting actions. Events that arise meanwhile
// are queued. The mutex is held.
func (e *engine) handle(ev limiter.Event) {
	e.events = append(e.events, ev)
	if e.handlingEvents {
		return
	}
	e.handlingEvents = true
	for i := 0; i < len(e.events); i++ {
		for _, a := range e.decider.Handle(e.proxy.now(), e.events[i]) {
			e.execute(a)
		}
	}
	clear(e.events)
	e.events = e.events[:0]
	e.handlingEvents = false
}

// lockAndHandle acquires the mutex and calls handle.
func (e *engine) lockAndHandle(ev limiter.Event) {
	e.proxy.mu.Lock()
	defer e.proxy.mu.Unlock()
	e.handle(ev)
}

func (e *engine) execute(a limiter.Action) {
	proxy := e.proxy
	switch a := a.(type) {
	case limiter.PassOn:
		if c := e.calls[a.ID]; c != nil {
			e.sendAttempt(c, a)
		}
	case limiter.Grant:
		if e.pendingReply != nil {
			e.pendingReply.OK = true
		}
	case limiter.Refuse:
		if e.pendingReply != nil && strings.HasPrefix(a.ID, tokenRequestPrefix) {
			e.pendingReply.WaitMs, e.pendingReply.Why = a.WaitMs, a.Why.String()
			return
		}
		if c := e.calls[a.ID]; c != nil {
			c.setNextStep(step{refusal: &a})
		}
	case limiter.Fail:
		if c := e.calls[a.ID]; c != nil {
			c.setNextStep(step{failed: true})
		}
	case limiter.Timer:
		if proxy.engine != e && proxy.engine != nil && len(e.calls) == 0 {
			return // another engine has replaced this one
		}
		time.AfterFunc(time.Duration(max(0, a.At-proxy.now())*float64(time.Millisecond)),
			func() { e.lockAndHandle(limiter.Alarm{Handle: a.Handle}) })
	case limiter.Probe:
		e.probe(a.Server)
	case limiter.Tell:
		if a.To >= 0 && a.To < len(proxy.register.Places) && proxy.register.Places[a.To].Held() {
			proxy.sendDatagram(proxy.settings.InternalAddress(proxy.register.Places[a.To].IP, nodesettings.ProxyPort),
				datagramSpending, a.Data)
		}
	case limiter.Log:
		log := proxy.log
		if text, ok := strings.CutPrefix(a.Line, "server "); ok { // the line names the server by member ID
			id, _, _ := strings.Cut(text, " ")
			if n, err := strconv.ParseUint(strings.TrimSuffix(id, ":"), 10, 64); err == nil && e.servers[n] != nil {
				log = log.WithField("instance", e.servers[n].instanceID)
			}
		}
		log.Info(a.Line)
	}
}

// sendAttempt starts an attempt, unless the retry budget is used up or the server can no longer be used. In that
// case the limiter.Limiter is told that nothing was sent.
func (e *engine) sendAttempt(c *call, action limiter.PassOn) {
	proxy := e.proxy
	entry := e.servers[action.Server]
	attempt := c.attempts
	c.attempts++
	if entry == nil || c.finished {
		e.events = append(e.events, limiter.Outcome{ID: action.ID, Try: attempt, Server: action.Server,
			Result: limiter.StaleSend, Done: c.finished})
		return
	}
	server := proxy.upstreams[entry.instanceID]
	repeats := c.mayHaveRun && !c.route.Kind.Repeatable() // never: the engine decides so by the route's class
	if server == nil || !server.usable || repeats || c.arrivals > 0 && (c.arrivals >= c.maxAttempts || !proxy.holdsShare() ||
		!proxy.retryBudgets[c.service].Take()) {
		e.events = append(e.events, limiter.Outcome{ID: action.ID, Try: attempt, Server: action.Server,
			Result: limiter.StaleSend})
		return
	}
	now := time.Now()
	if server.cold(now) && !proxy.holdsShare() {
		e.events = append(e.events, limiter.Outcome{ID: action.ID, Try: attempt, Server: action.Server,
			Result: limiter.StaleSend})
		return
	}
	if server.cold(now) {
		server.nextColdRequestAt = now.Add(server.coldInterval)
		info := entry.info
		info.Phase = limiter.Draining
		e.events = append(e.events, limiter.Endpoints{Scope: limiter.Partial, Servers: []limiter.ServerInfo{info}})
		proxy.scheduleServerUpdate(server.coldInterval + time.Millisecond)
	}
	e.attemptStarted(server, action.Server)
	c.setNextStep(step{upstream: server, serverID: action.Server, attempt: attempt})
}
