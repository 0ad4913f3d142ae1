package node

import (
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"example.org/madderdrum/limiter"
	"example.org/madderdrum/route"
)

// revision is one state of the configuration. A request is handled with one revision throughout: it is parsed
// and routed with one, and parsed again if the configuration changes before it is submitted to the module.
type revision struct {
	settings   Settings
	classNames []string     // by index
	endCounts  []*endCounts // by class index
	*Router
}

// Target is the destination of a route with the limits that apply to its requests.
type Target struct {
	Pool     string
	Class    int           // for requests without a class; -1: none
	Deadline time.Duration // 0: the class's
	Attempts int           // 0: the deployment's limit
	MaxBody  int64         // bytes; negative: the protocol's limit
	Adviser  Adviser       // nil: no plug-ins
	Tiers    []string      // names of the pool's tiers by rank, as used in advice
	ID       uint64        // the module's number of the pool, set by NewRouter
}

// Routes are the conditions and targets of a deployment's routes; without routes there is one pool.
type Routes struct {
	Matches []route.Match
	Targets []Target
	// Destination of all requests if there are no routes.
	Pool    string
	Adviser Adviser
	Tiers   []string
}

func (n *Node) newRevision(s Settings, r Routes) *revision {
	v := &revision{settings: s, Router: NewRouter(r), classNames: make([]string, len(s.Module.Classes))}
	for name, i := range s.ClassIndex {
		v.classNames[i] = name
	}
	v.endCounts = n.totals.classCounts(v.classNames)
	return v
}

// Router finds the targets of requests, for all front ends alike. It is immutable.
type Router struct {
	table    *route.Table // nil: all requests go to fallback
	targets  []Target     // by route index
	fallback Target
}

// NewRouter returns a Router for a deployment's routes.
func NewRouter(r Routes) *Router {
	x := &Router{fallback: Target{Pool: r.Pool, ID: PoolID(r.Pool), Class: -1, MaxBody: -1,
		Adviser: r.Adviser, Tiers: r.Tiers}}
	if len(r.Matches) > 0 {
		x.table = route.New(r.Matches)
		for _, t := range r.Targets {
			t.ID = PoolID(t.Pool)
			x.targets = append(x.targets, t)
		}
	}
	return x
}

// Find returns the target of a request, which must not be modified, or nil if no route matches.
func (x *Router) Find(q *route.Request) *Target {
	if x.table == nil {
		return &x.fallback
	}
	if i := x.table.Find(q); i >= 0 {
		return &x.targets[i]
	}
	return nil
}

// PoolID returns the module's number of a pool; the empty name has 0.
func PoolID(name string) uint64 {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	io.WriteString(h, name)
	return h.Sum64() | 1
}

// errNoRoute is returned for requests that match no route.
var errNoRoute = &requestError{http.StatusNotFound, "no route takes this request"}

// target finds the target of a request. It only checks what routes have conditions on, before the protocol is
// checked: requests that match no route need not follow the protocol.
func (v *revision) target(hr *http.Request) (*Target, error) {
	if v.table == nil { // no need to inspect the request
		return &v.fallback, nil
	}
	path, err := route.Canonical(hr.URL)
	if err != nil {
		return nil, badRequestf("%v", err)
	}
	q := route.Request{Host: hr.Host, Path: path, Method: hr.Method, Plan: singleHeader(hr.Header, "Plan"),
		Header: func(name string) string { return singleHeader(hr.Header, name) }}
	if key := hr.URL.Query()["key"]; len(key) == 1 {
		q.Account, _ = strconv.ParseUint(key[0], 16, 64) // an invalid number matches no route's account
	}
	to := v.Find(&q)
	if to == nil {
		return nil, errNoRoute
	}
	return to, nil
}

// singleHeader returns the value of a header that occurs exactly once.
func singleHeader(h http.Header, name string) string {
	if v := h[name]; len(v) == 1 {
		return v[0]
	}
	return ""
}

// Apply switches to a new state of the deployment as a whole: requests that were submitted to the module end
// with the state that accepted them, all others use the new one. The limiter's identity, addresses, limits,
// peers and connection timeouts never change. onSwitch, if set, is called when nothing has used the new state yet
// and nothing will use the old one any more; it must not block.
func (n *Node) Apply(d Deployment, onSwitch func()) {
	cfg := FixedConfig(d)
	n.mu.Lock()
	defer n.mu.Unlock()
	old, s := n.revision.Load(), cfg.Settings
	s.ConnIdle, s.ConnTimeout, s.MaxRequests = old.settings.ConnIdle, old.settings.ConnTimeout, old.settings.MaxRequests
	s.Module.Caps.Peers = old.settings.Module.Caps.Peers
	n.handle(limiter.Reconfigure{Settings: s.Module,
		Classes: indexMapping(len(old.settings.Module.Classes), old.settings.ClassIndex, s.ClassIndex),
		Plans:   indexMapping(len(old.settings.Module.Plans), old.settings.PlanIndex, s.PlanIndex)})
	n.revision.Store(n.newRevision(s, d.Routes))
	if onSwitch != nil {
		onSwitch()
	}
	cfg.InitialServers.Hosts = append(cfg.InitialServers.Hosts, n.discoveredServers()...)
	n.applyListLocked(limiter.Complete, cfg.InitialServers)
}

// indexMapping returns, for each of count indexes in from, the index of the same name in to, or -1. Indexes that no name
// in from has, as another one took its name, are -1.
func indexMapping(count int, from, to map[string]int) []int {
	mapping := slices.Repeat([]int{-1}, count)
	for name, i := range from {
		if k, still := to[name]; still {
			mapping[i] = k
		}
	}
	return mapping
}
