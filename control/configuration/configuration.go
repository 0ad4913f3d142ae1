// Package configuration holds configurations: it reads and checks them, applies changes of
// named items, and finds the route of a request. It does no input or output and reads no
// clock. A [Table] does not change once it is read and may be used by many at once.
package configuration

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// Kind tells what a second execution of a request would do.
type Kind int

// The kinds of routes.
const (
	Idempotent Kind = iota
	NonIdempotent
	Download // large answers, repeated as idempotent ones
)

// Repeatable tells that a request may run more than once.
func (k Kind) Repeatable() bool { return k != NonIdempotent }

var kinds = map[string]Kind{"idempotent": Idempotent, "non_idempotent": NonIdempotent, "download": Download}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	Tenants  []Tenant
	Routes   []Route // in order of their listeners
	Services map[string]*Service

	hosts map[string][]*Route // by host, the longest prefix first
	keys  map[string]*Tenant
}

// Limits bound what a client may send and how long it may take. Zero is no bound.
type Limits struct {
	Header, Body  int64 // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Tenant is one customer.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int
	Rate     float64 // requests a second over all limiters; 0: no limit
	Burst    float64
	Homes    []string // regions that may serve it; none: all
}

// Route says where requests of a host and path go.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Aim                time.Duration // target_latency
	Timeout            time.Duration
	Priority           int
	Attempts           int  // servers that one try may be sent to at most
	Open               bool // auth_exempt
	Homes              []string
	To                 []Share
}

// Share is a service's part of a route.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of servers that do the same work.
type Service struct {
	Name        string
	HealthPath  string
	Connections int
	Warmup      time.Duration
	ColdPerS    float64
}

// Fault says why a configuration or a change can't be taken.
type Fault struct {
	Code  string // one of the codes below
	Where string // path of the item, as listeners[0].policy[r-1].timeout
	Wrong string
	Fix   string
}

// The codes of faults.
const (
	Unreadable     = "unreadable"
	StaleVersion   = "stale_version"
	SharedKey      = "shared_key"
	UnknownKind    = "unknown_route_type"
	UnknownService = "unknown_service"
	NoTimeout      = "no_timeout"
	AimBeyond      = "aim_beyond_timeout"
	WrongBase      = "wrong_base" // another version is current
)

func (f *Fault) Error() string {
	text := "configuration: " + f.Code
	if f.Where != "" {
		text += " at " + f.Where
	}
	text += ": " + f.Wrong
	if f.Fix != "" {
		text += ": " + f.Fix
	}
	return text
}

// aimBeyond is by how much a target_latency may not exceed its route's timeout.
const aimBeyond = time.Minute

// Revision reads a version: r and a number, or 0 for none.
func Revision(v *fastjson.Value) (uint64, bool) {
	if v == nil {
		return 0, false
	}
	if v.Type() == fastjson.TypeNumber {
		n, err := v.Uint64()
		return n, err == nil
	}
	b, err := v.StringBytes()
	if err != nil {
		return 0, false
	}
	text := string(b)
	if text == "" || text == "0" {
		return 0, true
	}
	n, err := strconv.ParseUint(strings.TrimPrefix(text, "r"), 10, 64)
	return n, err == nil
}

// Call is a change of the configuration as the operator sends it.
type Call struct {
	Update  bool // named items alone
	Version uint64
	Base    uint64
	Body    []byte // as it came
}

// ReadCall reads the head of a change: that it is whole, its version and its base.
func ReadCall(body []byte, update bool) (*Call, *Fault) {
	v, err := fastjson.ParseBytes(body)
	if err != nil || v.Type() != fastjson.TypeObject {
		return nil, &Fault{Code: Unreadable, Wrong: fmt.Sprintf("the body is not a JSON object (%d bytes)", len(body)), Fix: "send it whole"}
	}
	c := &Call{Update: update, Body: body}
	var ok bool
	if c.Version, ok = Revision(v.Get("config_version")); !ok || c.Version == 0 {
		return nil, &Fault{Code: Unreadable, Where: "config_version", Wrong: "is missing or not a version", Fix: "write r and a number, as in \"r12\""}
	}
	if c.Base, ok = Revision(v.Get("base_revision")); !ok {
		return nil, &Fault{Code: Unreadable, Where: "base_revision", Wrong: "is missing or not a version", Fix: "write the version it builds on, or 0 for the first"}
	}
	return c, nil
}

// Apply gives the configuration that a change makes of the current one, as text, or why it
// can't be taken. current is nil before the first.
func Apply(current []byte, version uint64, c *Call) ([]byte, *Fault) {
	if c.Base != version {
		return nil, &Fault{Code: WrongBase, Where: "base_revision", Wrong: fmt.Sprintf("is r%d and r%d is current", c.Base, version),
			Fix: "read the current one and build on it"}
	}
	next := c.Body
	if c.Update {
		var f *Fault
		if next, f = merge(current, c.Body); f != nil {
			return nil, f
		}
	}
	if c.Version <= version {
		return nil, &Fault{Code: StaleVersion, Where: "config_version", Wrong: fmt.Sprintf("is r%d and r%d is current", c.Version, version), Fix: "write a greater number"}
	}
	if _, f := Read(next); f != nil {
		return nil, f
	}
	return next, nil
}

// read collects the first fault of a configuration.
type read struct{ fault *Fault }

func (r *read) fail(code, where, wrong, fix string) {
	where = strings.TrimPrefix(where, ".") // of what stands at the top
	if r.fault == nil {
		r.fault = &Fault{Code: code, Where: where, Wrong: wrong, Fix: fix}
	}
}

func (r *read) text(v *fastjson.Value, where, key string) string {
	x := v.Get(key)
	if x == nil || x.Type() != fastjson.TypeString {
		r.fail(Unreadable, where+"."+key, "is missing or not a string", "write a string")
		return ""
	}
	return string(x.GetStringBytes())
}

func (r *read) number(v *fastjson.Value, where, key string) float64 {
	x := v.Get(key)
	if x == nil || x.Type() == fastjson.TypeNull {
		return 0
	}
	f, err := x.Float64()
	if err != nil || f < 0 {
		r.fail(Unreadable, where+"."+key, "is not a number from 0 on", "write a number")
	}
	return f
}

func (r *read) duration(v *fastjson.Value, where, key string) time.Duration {
	x := v.Get(key)
	if x == nil || x.Type() == fastjson.TypeNull {
		return 0
	}
	d, ok := Duration(string(x.GetStringBytes()))
	if !ok {
		r.fail(Unreadable, where+"."+key, fmt.Sprintf("%q is not a time", x.GetStringBytes()), "write a number and its unit, as in 1500ms or 2.5s")
	}
	return d
}

// longest is the longest time that is taken for one.
const longest = 1000 * 24 * time.Hour

// Duration reads a time: a number followed by ms or s.
func Duration(text string) (time.Duration, bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "ms")
	if !ok {
		unit = time.Second
		if number, ok = strings.CutSuffix(text, "s"); !ok {
			return 0, false
		}
	}
	f, err := strconv.ParseFloat(number, 64)
	if err != nil || !(f >= 0) || f*float64(unit) > float64(longest) {
		return 0, false
	}
	return time.Duration(f * float64(unit)), true
}

func (r *read) list(v *fastjson.Value, where, key string) []*fastjson.Value {
	x := v.Get(key)
	if x == nil || x.Type() == fastjson.TypeNull {
		return nil
	}
	if x.Type() != fastjson.TypeArray {
		r.fail(Unreadable, where+"."+key, "is not a list", "write a list")
		return nil
	}
	return x.GetArray()
}

func (r *read) texts(v *fastjson.Value, where, key string) (all []string) {
	for _, x := range r.list(v, where, key) {
		if x.Type() != fastjson.TypeString {
			r.fail(Unreadable, where+"."+key, "holds what is not a string", "write strings")
		}
		all = append(all, string(x.GetStringBytes()))
	}
	return all
}

// Read reads and checks a whole configuration.
func Read(text []byte) (*Table, *Fault) {
	v, err := fastjson.ParseBytes(text)
	if err != nil || v.Type() != fastjson.TypeObject {
		return nil, &Fault{Code: Unreadable, Wrong: "is not a JSON object", Fix: "send it whole"}
	}
	var r read
	t := &Table{Services: map[string]*Service{}, hosts: map[string][]*Route{}, keys: map[string]*Tenant{}}
	t.Version, _ = Revision(v.Get("config_version"))
	if l := v.Get("limits"); l != nil {
		t.Limits = Limits{Header: int64(r.number(l, "limits", "max_header_bytes")), Body: int64(r.number(l, "limits", "max_body_bytes")),
			HeaderTimeout: r.duration(l, "limits", "header_timeout"), IdleTimeout: r.duration(l, "limits", "idle_timeout")}
	}
	for i, x := range r.list(v, "", "clusters") {
		where := fmt.Sprintf("clusters[%d]", i)
		s := &Service{Name: r.text(x, where, "name"), HealthPath: string(x.GetStringBytes("health_path")),
			Connections: int(r.number(x, where, "max_connections")), Warmup: r.duration(x, where, "warmup"),
			ColdPerS: r.number(x, where, "cold_per_s")}
		t.Services[s.Name] = s
	}
	for i, x := range r.list(v, "", "tenants") {
		where := fmt.Sprintf("tenants[%d]", i)
		t.Tenants = append(t.Tenants, Tenant{Name: r.text(x, where, "name"), Keys: r.texts(x, where, "api_keys"),
			Priority: int(r.number(x, where, "priority")), Rate: r.number(x, where, "rate_per_s"),
			Burst: r.number(x, where, "burst_size"), Homes: r.texts(x, where, "allowed_regions")})
	}
	for i := range t.Tenants {
		for _, k := range t.Tenants[i].Keys {
			if o := t.keys[k]; o != nil && o.Name != t.Tenants[i].Name {
				r.fail(SharedKey, fmt.Sprintf("tenants[%d].api_keys", i), fmt.Sprintf("%s and %s hold the same key", o.Name, t.Tenants[i].Name), "give each a key of its own")
			}
			t.keys[k] = &t.Tenants[i]
		}
	}
	for i, x := range r.list(v, "", "listeners") {
		host := r.text(x, fmt.Sprintf("listeners[%d]", i), "hostname")
		for j, p := range r.list(x, fmt.Sprintf("listeners[%d]", i), "policy") {
			t.Routes = append(t.Routes, r.route(t, fmt.Sprintf("listeners[%d].policy[%d]", i, j), host, p))
		}
	}
	if r.fault != nil {
		return nil, r.fault
	}
	for i := range t.Routes {
		rt := &t.Routes[i]
		all := append(t.hosts[rt.Host], rt)
		for k := len(all) - 1; k > 0 && len(all[k].Prefix) > len(all[k-1].Prefix); k-- {
			all[k], all[k-1] = all[k-1], all[k]
		}
		t.hosts[rt.Host] = all
	}
	return t, nil
}

func (r *read) route(t *Table, where, host string, x *fastjson.Value) Route {
	action, match := x.Get("forward_action"), x.Get("match_criteria")
	if action == nil || match == nil {
		r.fail(Unreadable, where, "has no forward_action or no match_criteria", "write both")
		return Route{}
	}
	rt := Route{Name: r.text(x, where, "name"), Host: strings.ToLower(host),
		Prefix: r.text(match, where+".match_criteria", "path_prefix"),
		Aim:    r.duration(x, where, "target_latency"), Timeout: r.duration(action, where+".forward_action", "timeout"),
		Priority: int(r.number(x, where, "priority")), Attempts: int(r.number(action, where+".forward_action", "max_attempts")),
		Open: x.GetBool("auth_exempt"), Homes: r.texts(action, where+".forward_action", "allowed_regions")}
	kind := r.text(x, where, "route_type")
	var ok bool
	if rt.Kind, ok = kinds[kind]; !ok {
		r.fail(UnknownKind, where+".route_type", fmt.Sprintf("%q is not known", kind), "write idempotent, non_idempotent or download")
	}
	if split := r.list(action, where+".forward_action", "traffic_split"); len(split) > 0 {
		for _, s := range split {
			rt.To = append(rt.To, Share{r.text(s, where+".traffic_split", "service"), r.number(s, where+".traffic_split", "weight")})
		}
	} else {
		rt.To = []Share{{r.text(action, where+".forward_action", "service"), 1}}
	}
	for _, s := range rt.To {
		if t.Services[s.Service] == nil {
			r.fail(UnknownService, where+".forward_action", fmt.Sprintf("service %q is not among the clusters", s.Service), "add the cluster or name another one")
		}
	}
	switch {
	case rt.Timeout == 0:
		r.fail(NoTimeout, where+".forward_action.timeout", "is 0 or missing", "write how long a request may be held")
	case rt.Aim-rt.Timeout >= aimBeyond:
		r.fail(AimBeyond, where+".target_latency", fmt.Sprintf("is %v and the timeout %v", rt.Aim, rt.Timeout), "write less")
	}
	return rt
}

// Find returns the route of a request, or nil. host may carry a port.
func (t *Table) Find(host, path string) *Route {
	if i := strings.IndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	all, ok := t.hosts[host]
	if !ok {
		all = t.hosts[strings.ToLower(host)]
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, r := range all {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HostHomes are the regions that may serve all routes of a host; bound is false where none of them is
// bound to regions. host may carry a port.
func (t *Table) HostHomes(host string) (regions []string, bound bool) {
	if i := strings.IndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		switch {
		case len(r.Homes) == 0:
		case !bound:
			regions, bound = slices.Clone(r.Homes), true
		default:
			regions = slices.DeleteFunc(regions, func(region string) bool { return !slices.Contains(r.Homes, region) })
		}
	}
	return regions, bound
}

// TenantOf returns the tenant that holds a key, or nil.
func (t *Table) TenantOf(key string) *Tenant { return t.keys[key] }

// Guarded tells that requests need a key, unless their route is open.
func (t *Table) Guarded() bool { return len(t.Tenants) > 0 }

// Lost tells that some key of an older table is in the newer one no more, or has passed to
// another tenant.
func Lost(old, new *Table) bool {
	if old == nil {
		return false
	}
	for k, was := range old.keys {
		if is := new.keys[k]; is == nil || is.Name != was.Name {
			return true
		}
	}
	return false
}

// Homes are the regions in which both a route and a tenant may be served; all is true where
// neither bounds them.
func Homes(r *Route, t *Tenant) (regions []string, all bool) {
	switch {
	case len(r.Homes) == 0 && (t == nil || len(t.Homes) == 0):
		return nil, true
	case len(r.Homes) == 0:
		return t.Homes, false
	case t == nil || len(t.Homes) == 0:
		return r.Homes, false
	}
	for _, x := range r.Homes {
		for _, y := range t.Homes {
			if x == y {
				regions = append(regions, x)
			}
		}
	}
	return regions, false
}
