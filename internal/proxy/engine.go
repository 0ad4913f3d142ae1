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

// engine drives the decisions of one limiter.Limiter: as many limiters stand in its set as
// have places. Where their number changes another engine takes the requests that come, and
// this one ends those that it has. The proxy's mutex guards it.
type engine struct {
	y       *Proxy
	lim     *limiter.Limiter
	size    int // limiters of the set
	place   int // this one's among them
	queue   []limiter.Event
	working bool
	calls   map[string]*call
	classes map[string]int // by route
	plans   map[string]int // by tenant
	pools   map[poolKey]*pool
	ids     map[member]uint64 // of servers
	servers map[uint64]*entry
	members map[uint32][]uint64       // numbers of a life in the pools
	inHand  map[uint64]int            // attempts out, by member of a pool
	slots   map[uint32]float64        // of a life
	beside  map[uint64]limiter.InHand // what else is in hand there, as the decisions were told
	names   int
	places  []allowance.Place  // by slot, in the newest table
	holding *quotaloan.Holding // of tenants' ceilings
	planOf  map[uint64]int     // plans by account
	classOf map[uint64]int     // classes by the number that limiters tell each other for a route
	ask     *tokenAnswer       // of another limiter, while it is decided on
}

// poolKey says which servers of a service may take the same requests.
type poolKey struct {
	service  string
	homes    string // regions that they stand in, sorted, where bound
	bound    bool
	download bool // for large answers
}

// pool is those servers.
type pool struct {
	poolKey
	id      uint64
	regions []string // homes
}

// member is a life of a server in a pool.
type member struct {
	pool uint64
	life string
}

// entry is a server in one pool.
type entry struct {
	life string
	pool uint64
	info limiter.ServerInfo
}

const (
	// The decisions expect a server to take headroom, a quarter, of the time left at most:
	// they were made for work that is short against its aim. Times handed to them are
	// stretched so that an answer is expected within three quarters of the aim.
	stretch = 3.0
	// Messages a second that a limiter takes in about tenants' spending: a few.
	peerInPerS = 3.0
	advice     = 150.0 // ms to stay away where the decisions give none
	// A server that fails a class anew each time that it is used again is kept off so long at most.
	illMostMs = 16_000.0
	// By how much more answers from afar count as they take. What crosses regions is paid for,
	// most of all downloads.
	farZone     = 0.3
	farRegion   = 1.5
	farDownload = 4.0
)

// settings are those of the decisions for a table.
func (e *engine) settings(t *configuration.Table, position int) (s limiter.Settings, classes, plans map[string]int) {
	s = limiter.Settings{Position: position, Balancers: e.size, Zone: 0, PeerInPerS: peerInPerS, IllMostMs: illMostMs,
		Caps:  limiter.Caps{Attempts: 8, Peers: e.size > 1, Probes: true, RetryAfter: true, MaxWaitMs: 1000, ConnectMs: 300},
		Rules: limiter.Rules{FallMs: 1000}}
	classes, plans = map[string]int{}, map[string]int{}
	e.classOf = map[uint64]int{}
	for i := range t.Routes {
		r := &t.Routes[i]
		repeat := limiter.Safe
		if !r.Kind.Repeatable() {
			repeat = limiter.Unsafe
		}
		classes[r.Name] = len(s.Classes)
		e.classOf[routeID(r.Name)] = len(s.Classes)
		aim := r.Aim
		if aim == 0 {
			aim = r.Timeout
		}
		// How long ago a client began is not guessed from the time it has left: a try that is
		// too late for the aim still earns something, and counts as served.
		s.Classes = append(s.Classes, limiter.Class{Repeat: repeat, AimMs: stretch * ms(aim), DeadlineMs: 1, Worth: 1, LateShare: 0.3})
	}
	if len(s.Classes) == 0 {
		s.Classes = []limiter.Class{{AimMs: 1000, DeadlineMs: 1000, Worth: 1}}
	}
	s.Plans = []limiter.Plan{{Price: 1}} // of requests without a tenant
	h := e.holding
	h.Clear()
	e.planOf = map[uint64]int{}
	sets := e.y.sets()
	e.places = sets[len(sets)-1]
	for i := range t.Tenants {
		tn := &t.Tenants[i]
		plans[tn.Name] = len(s.Plans)
		// The bucket draws what is heard of others' spending; the ceiling binds whoever is out of
		// touch, as each limiter owns a part of it.
		c := e.y.rules.Ceiling(tn.Rate, tn.Burst)
		p := limiter.Plan{Price: 1, Rate: c.Rate, Burst: c.Burst, CeilingRate: c.Rate, CeilingBurst: c.Burst}
		e.planOf[account(tn.Name)] = len(s.Plans)
		s.Plans = append(s.Plans, p)
		h.Ceilings[account(tn.Name)] = c
		h.Gather(account(tn.Name), allowance.KeeperShares(tn.Name, c, sets))
	}
	return s, classes, plans
}

// leave is what this engine has left of accounts, when another takes its place: it gets no
// further requests. The mutex is held.
func (e *engine) leave() map[uint64]limiter.AccountMemory {
	left := map[uint64]limiter.AccountMemory{}
	e.lim.HandOver(e.y.now())
	for more := true; more; {
		var told []limiter.AccountMemory
		told, more = e.lim.Leave(e.y.now(), 1<<10)
		for _, a := range told {
			left[a.ID] = a
		}
	}
	return left
}

// endow gives accounts what this limiter begins with of their ceilings: what another engine has left
// where the number of slots has changed while it runs, as what was spent stays spent, and nothing where
// its place is new: the others have that. The mutex is held.
func (e *engine) endow(s limiter.Settings, position int, left map[uint64]limiter.AccountMemory) {
	from := &limiter.Handover{Position: position, Balancers: e.size, Plans: s.Plans, HeadMs: 1e-6}
	for tenant, i := range e.plans {
		c := e.holding.Ceilings[account(tenant)]
		if c.Rate <= 0 {
			continue
		}
		a := limiter.AccountMemory{ID: account(tenant), Plan: i, Spread: e.size, Balance: c.Burst, Share: e.holding.Begins(e.y.rules, account(tenant))}
		if old, ok := left[a.ID]; ok {
			a.Balance, a.Share, a.Flow = min(c.Burst, old.Balance), old.Share, old.Flow
		} else if e.y.reg.Places[position].Life == e.y.self {
			a.Share = 0
		}
		from.Accounts = append(from.Accounts, a)
	}
	e.handle(limiter.Recall{Memory: &limiter.Memory{Handover: from}})
	// Accounts are opened at once: one that is opened after the next configuration would begin
	// with nothing.
	for tenant, i := range e.plans {
		e.handle(limiter.Ask{Submit: limiter.Submit{ID: opens, ExpiresMs: 1, Plan: i, Customer: account(tenant), Spread: e.size}})
	}
}

// opens is the id of what opens accounts: no request has it.
const opens = "opens"

// account is the number of a tenant's account, the same at all limiters.
func account(tenant string) uint64 { return fnv64(tenant) >> 1 }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// updateEngine has the decisions go by the register that is in force, once this limiter has its
// place. The mutex is held.
func (y *Proxy) updateEngine(t *configuration.Table) {
	if t == nil {
		return
	}
	position, size := y.slot(), len(y.reg.Places)
	e := y.engine
	if e == nil && position < 0 {
		return
	}
	if e == nil || position >= 0 && (e.size != size || e.place != position) {
		var left map[uint64]limiter.AccountMemory
		if e != nil {
			left = e.leave()
		}
		y.openDesk(position, size)
		e = &engine{y: y, size: size, place: position, holding: quotaloan.Hold(y.desk, position, size), calls: map[string]*call{}, pools: map[poolKey]*pool{}, ids: map[member]uint64{}, servers: map[uint64]*entry{},
			inHand: map[uint64]int{}}
		e.name(t)
		s, classes, plans := e.settings(t, position)
		lim, err := limiter.New(s, uint64(time.Now().UnixNano()))
		if err != nil {
			y.log.WithField("err", err).Error("configuration can't be decided by")
			return
		}
		e.lim, e.classes, e.plans = lim, classes, plans
		y.engine = e
		y.holdShare()
		e.parts()
		e.endow(s, position, left)
		e.lookAtLoans()
		y.log.WithFields(logrus.Fields{"place": position, "limiters": size}).Info("decisions begin")
		return
	}
	y.holdShare()
	e.name(t)
	s, classes, plans := e.settings(t, e.place)
	from := func(old, now map[string]int, n int) []int {
		at := slices.Repeat([]int{-1}, n)
		for name, i := range old {
			if k, ok := now[name]; ok {
				at[i] = k
			}
		}
		return at
	}
	planAt := from(e.plans, plans, len(e.plans)+1)
	planAt[0] = 0
	classAt := from(e.classes, classes, max(1, len(e.classes)))
	e.handle(limiter.Reconfigure{Settings: s, Classes: classAt, Plans: planAt})
	e.classes, e.plans = classes, plans
	e.parts()
}

// name gives the services and homes of a table their pools.
func (e *engine) name(t *configuration.Table) {
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, to := range r.To {
			e.poolOf(to.Service, r, nil)
			for k := range t.Tenants {
				if len(t.Tenants[k].Homes) > 0 {
					e.poolOf(to.Service, r, &t.Tenants[k])
				}
			}
		}
	}
}

// poolOf is the pool of a service's servers in the regions where a request may be served.
func (e *engine) poolOf(service string, r *configuration.Route, t *configuration.Tenant) uint64 {
	homes, all := configuration.Homes(r, t)
	homes = slices.Sorted(slices.Values(homes))
	key := poolKey{service, strings.Join(homes, " "), !all, r.Kind == configuration.Download}
	p := e.pools[key]
	if p == nil {
		p = &pool{key, uint64(len(e.pools) + 1), homes}
		e.pools[key] = p
	}
	return p.id
}

// relist hands the decisions the servers that may be used now. The mutex is held.
func (y *Proxy) relist() {
	e := y.engine
	if e == nil || y.view.Load() == nil {
		return
	}
	pools := map[string][]*pool{}
	for _, p := range e.pools {
		pools[p.service] = append(pools[p.service], p)
	}
	now := time.Now()
	var list []limiter.ServerInfo
	e.members = map[uint32][]uint64{}
	e.slots = map[uint32]float64{}
	serving := map[uint32]loadreports.Server{}
	y.book.Each(y.now(), func(r catalog.Record) {
		of := pools[r.Service]
		if len(of) == 0 {
			return
		}
		st := y.upstream(&r)
		st.usable = r.State == catalog.Available && !y.evacuate[r.Zone] && !y.gone[r.ID]
		phase := limiter.Draining
		if st.usable {
			x := loadreports.Server{Service: r.Service, Slots: max(1, r.Slots), Zone: r.Zone, Near: r.Zone == y.set.Zone}
			serving[st.number], e.slots[st.number] = x, float64(x.Slots)
			y.noteWarmup(st, &r, now)
			if !st.cold(now) || r.Zone == y.set.Zone && !now.Before(st.nextAt) {
				phase = limiter.Up
			}
		}
		for _, p := range of {
			if p.bound && !slices.Contains(p.regions, y.set.Zones[r.Zone]) {
				continue
			}
			at := member{p.id, r.ID}
			n, ok := e.ids[at]
			if !ok {
				n = memberID(p, r.ID)
				e.ids[at] = n
			}
			info := limiter.ServerInfo{ID: n, Pool: p.id, Phase: phase, Far: y.far(r.Zone, p.download)}
			e.servers[n] = &entry{life: r.ID, pool: p.id, info: info}
			e.members[st.number] = append(e.members[st.number], n)
			list = append(list, info)
		}
	})
	y.loads.Serve(serving)
	e.handle(limiter.Endpoints{Scope: limiter.Complete, Servers: list})
}

// memberID is a server's number for the decisions, the same at all limiters: they tell each other
// by it at which ones requests fail.
func memberID(p *pool, life string) uint64 {
	return fnv64(p.service+"\x00"+p.homes+"\x00"+life+"\x00"+strconv.FormatBool(p.download)+strconv.FormatBool(p.bound)) >> 1
}

// routeID is the number by which limiters tell each other of a route's class.
func routeID(name string) uint64 { return fnv64(name) >> 32 }

// far is by how much more an answer from a zone counts.
func (y *Proxy) far(zone string, download bool) float64 {
	switch {
	case zone == y.set.Zone:
		return 0
	case y.set.Zones[zone] == y.set.Region:
		return farZone
	case download:
		return farDownload
	}
	return farRegion
}

// noteWarmup notes until when a server is cold, and has the list made anew then.
func (y *Proxy) noteWarmup(st *upstream, r *catalog.Record, now time.Time) {
	until := now.Add(time.Duration(r.WarmMs) * time.Millisecond)
	if to := y.coldTo[r.ID]; to.After(until) {
		until = to
	}
	if !until.After(now) {
		return
	}
	if until.Sub(st.coldTo).Abs() > 20*time.Millisecond || !st.coldTo.After(now) {
		st.coldTo = until
		st.pause = y.coldPause(r.Service)
		if st.nextAt.Before(now) {
			st.nextAt = now.Add(st.pause / 2)
		}
		y.later(until.Sub(now) + time.Millisecond)
	}
	if st.nextAt.After(now) {
		y.later(st.nextAt.Sub(now) + time.Millisecond)
	}
}

// later makes the list of servers anew after a while. Only the earliest of what is due waits:
// whatever else is due is seen when the list is made. The mutex is held.
func (y *Proxy) later(d time.Duration) {
	at := time.Now().Add(d)
	if !y.listAt.IsZero() && !at.Before(y.listAt) {
		return
	}
	y.listAt = at
	if y.listing != nil {
		y.listing.Stop()
	}
	y.listing = time.AfterFunc(d, func() {
		y.mu.Lock()
		defer y.mu.Unlock()
		y.listAt = time.Time{}
		y.relist()
	})
}

// coldPause is the least time between two requests of this limiter to one cold server of its
// zone.
func (y *Proxy) coldPause(service string) time.Duration {
	s := y.view.Load().table.Services[service]
	if s == nil {
		return time.Hour
	}
	return y.rules.ColdPause(s.ColdPerS, y.near)
}

// handle gives the decisions an event and carries out what they return. The mutex is held.
func (e *engine) handle(ev limiter.Event) {
	e.queue = append(e.queue, ev)
	if e.working {
		return
	}
	e.working = true
	for i := 0; i < len(e.queue); i++ {
		for _, a := range e.lim.Handle(e.y.now(), e.queue[i]) {
			e.do(a)
		}
	}
	clear(e.queue)
	e.queue = e.queue[:0]
	e.working = false
}

// dispatch is handle without the mutex.
func (e *engine) dispatch(ev limiter.Event) {
	e.y.mu.Lock()
	defer e.y.mu.Unlock()
	e.handle(ev)
}

func (e *engine) do(a limiter.Action) {
	y := e.y
	switch a := a.(type) {
	case limiter.PassOn:
		if c := e.calls[a.ID]; c != nil {
			e.passOn(c, a)
		}
	case limiter.Grant:
		if e.ask != nil {
			e.ask.OK = true
		}
	case limiter.Refuse:
		if e.ask != nil && strings.HasPrefix(a.ID, asksID) {
			e.ask.WaitMs, e.ask.Why = a.WaitMs, a.Why.String()
			return
		}
		if c := e.calls[a.ID]; c != nil {
			c.next(step{refuse: &a})
		}
	case limiter.Fail:
		if c := e.calls[a.ID]; c != nil {
			c.next(step{fail: true})
		}
	case limiter.Timer:
		if y.engine != e && y.engine != nil && len(e.calls) == 0 {
			return // another has taken its place
		}
		time.AfterFunc(time.Duration(max(0, a.At-y.now())*float64(time.Millisecond)), func() { e.dispatch(limiter.Alarm{Handle: a.Handle}) })
	case limiter.Probe:
		e.probe(a.Server)
	case limiter.Tell:
		if a.To >= 0 && a.To < len(y.reg.Places) && y.reg.Places[a.To].Held() {
			y.tell(y.set.Internal(y.reg.Places[a.To].IP, nodesettings.ProxyPort), datagramSpending, a.Data)
		}
	case limiter.Log:
		log := y.log
		if text, ok := strings.CutPrefix(a.Line, "server "); ok { // which goes by its number
			id, _, _ := strings.Cut(text, " ")
			if n, err := strconv.ParseUint(strings.TrimSuffix(id, ":"), 10, 64); err == nil && e.servers[n] != nil {
				log = log.WithField("instance", e.servers[n].life)
			}
		}
		log.Info(a.Line)
	}
}

// passOn has an attempt go out, unless the budget of further arrivals is used up: the
// decisions are then told that nothing went out.
func (e *engine) passOn(c *call, a limiter.PassOn) {
	y := e.y
	s := e.servers[a.Server]
	try := c.tries
	c.tries++
	if s == nil || c.over {
		e.queue = append(e.queue, limiter.Outcome{ID: a.ID, Try: try, Server: a.Server, Result: limiter.StaleSend, Done: c.over})
		return
	}
	st := y.upstreams[s.life]
	if st == nil || !st.usable || c.arrived > 0 && (c.arrived >= c.most || !y.holds() || !y.budget[c.service].Take()) {
		e.queue = append(e.queue, limiter.Outcome{ID: a.ID, Try: try, Server: a.Server, Result: limiter.StaleSend})
		return
	}
	now := time.Now()
	if st.cold(now) && !y.holds() {
		e.queue = append(e.queue, limiter.Outcome{ID: a.ID, Try: try, Server: a.Server, Result: limiter.StaleSend})
		return
	}
	if st.cold(now) {
		st.nextAt = now.Add(st.pause)
		info := s.info
		info.Phase = limiter.Draining
		e.queue = append(e.queue, limiter.Endpoints{Scope: limiter.Partial, Servers: []limiter.ServerInfo{info}})
		y.later(st.pause + time.Millisecond)
	}
	e.begins(st, a.Server)
	c.next(step{upstream: st, server: a.Server, try: try})
}
