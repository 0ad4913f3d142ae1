package node

import (
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"

	"example.org/madderdrum/limiter"
	"example.org/madderdrum/route"
)

// version is one state of the configuration. A request goes by one version from end to
// end: it is read and routed by one, and is read again if another one has come before
// the module has it.
type revision struct {
	settings   Settings
	classNames []string     // names by their places
	endCounts  []*endCounts // of their requests
	*Router
}

// Target is where a route leads, and what holds there.
type Target struct {
	Pool     string
	Class    int           // for requests that name none; -1: none
	Deadline time.Duration // 0: the class's
	Attempts int           // 0: what the deployment allows
	MaxBody  int64         // bytes; below 0: what the protocol allows
	Adviser  Adviser       // nil: none
	Tiers    []string      // names of the pool's tiers, by rank, as advice has them
	ID       uint64        // the module's number of the pool, set by NewRouter
}

// Routes are the conditions and targets of a deployment's routes; none is one pool.
type Routes struct {
	Matches []route.Match
	Targets []Target
	// Where all requests go without routes.
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

// Router finds the targets of requests, for every front alike. It never changes.
type Router struct {
	table    *route.Table // nil: all requests go to rest
	targets  []Target     // by route
	fallback Target
}

// NewRouter returns one for a deployment's routes.
func NewRouter(r Routes) *Router {
	x := &Router{fallback: Target{Pool: r.Pool, ID: PoolID(r.Pool), Class: -1, MaxBody: -1, Adviser: r.Adviser, Tiers: r.Tiers}}
	if len(r.Matches) > 0 {
		x.table = route.New(r.Matches)
		for _, t := range r.Targets {
			t.ID = PoolID(t.Pool)
			x.targets = append(x.targets, t)
		}
	}
	return x
}

// Find returns the target of a request, which must not be changed, or nil if no route
// takes it.
func (x *Router) Find(q *route.Request) *Target {
	if x.table == nil {
		return &x.fallback
	}
	if i := x.table.Find(q); i >= 0 {
		return &x.targets[i]
	}
	return nil
}

// PoolID is the module's number of a pool; no name is 0.
func PoolID(name string) uint64 {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	io.WriteString(h, name)
	return h.Sum64() | 1
}

// errNoRoute tells that no route takes a request.
var errNoRoute = &requestError{http.StatusNotFound, "no route takes this request"}

// target finds where a request goes. It looks at what routes have conditions on before
// the protocol is checked: what no route takes need not speak it.
func (v *revision) target(hr *http.Request) (*Target, error) {
	if v.table == nil { // the request is not looked at
		return &v.fallback, nil
	}
	path, err := route.Canonical(hr.URL)
	if err != nil {
		return nil, badRequestf("%v", err)
	}
	q := route.Request{Host: hr.Host, Path: path, Method: hr.Method, Plan: singleHeader(hr.Header, "Plan"),
		Header: func(name string) string { return singleHeader(hr.Header, name) }}
	if key := hr.URL.Query()["key"]; len(key) == 1 {
		q.Account, _ = strconv.ParseUint(key[0], 16, 64) // what is no number is no account of a route
	}
	to := v.Find(&q)
	if to == nil {
		return nil, errNoRoute
	}
	return to, nil
}

// one is the value of a header that stands there once.
func singleHeader(h http.Header, name string) string {
	if v := h[name]; len(v) == 1 {
		return v[0]
	}
	return ""
}

// Apply has another state of the deployment hold from now on, whole: requests that have
// been handed to the module end by the state that took them, all others go by the new
// one. Who this limiter is, its addresses, limits, peers and time-outs of connections
// hold from the start to the end. within, if set, is called when nothing has happened
// yet by the new state and nothing will any more by the old one; it must not block.
func (n *Node) Apply(d Deployment, within func()) {
	c := FixedConfig(d)
	n.mu.Lock()
	defer n.mu.Unlock()
	old, s := n.revision.Load(), c.Settings
	s.ConnIdle, s.ConnTimeout, s.MaxRequests = old.settings.ConnIdle, old.settings.ConnTimeout, old.settings.MaxRequests
	s.Module.Caps.Peers = old.settings.Module.Caps.Peers
	n.handle(limiter.Reconfigure{Settings: s.Module,
		Classes: indexMapping(old.settings.ClassIndex, s.ClassIndex), Plans: indexMapping(old.settings.PlanIndex, s.PlanIndex)})
	n.revision.Store(n.newRevision(s, d.Routes))
	if within != nil {
		within()
	}
	c.InitialServers.Hosts = append(c.InitialServers.Hosts, n.discoveredServers()...)
	n.applyListLocked(limiter.Complete, c.InitialServers)
}

// moved says which place each name has now, by its old place; -1: none.
func indexMapping(from, to map[string]int) []int {
	all := make([]int, len(from))
	for name, i := range from {
		all[i] = -1
		if k, still := to[name]; still {
			all[i] = k
		}
	}
	return all
}
