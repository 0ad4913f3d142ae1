// Package configuration parses and validates configurations, applies changes to named items, and
// finds the route of a request. It does no input or output and reads no clock. A [Table] is immutable
// once parsed and safe for concurrent use.
package configuration

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// Kind is the type of a route: whether its requests may safely be executed more than once.
type Kind int

// The route types.
const (
	Idempotent Kind = iota
	NonIdempotent
	Download // large responses; may be retried like idempotent requests
)

// Repeatable reports whether a request may be executed more than once.
func (k Kind) Repeatable() bool { return k != NonIdempotent }

var kindsByName = map[string]Kind{"idempotent": Idempotent, "non_idempotent": NonIdempotent, "download": Download}

// Table is one parsed version of the configuration, with indexes for lookups.
type Table struct {
	Version  uint64
	Limits   Limits
	Tenants  []Tenant
	Routes   []Route // in the order of the listeners in the text
	Services map[string]*Service

	routesByHost map[string][]*Route // by host; the longest prefix first
	tenantsByKey map[string]*Tenant
}

// Limits bound the size of a client's request and the time for sending it. Zero means no limit.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64 // bytes
	HeaderTimeout                time.Duration
	IdleTimeout                  time.Duration
}

// Tenant is one customer with its API keys and its quota.
type Tenant struct {
	Name           string
	Keys           []string
	Priority       int
	Rate           float64  // requests per second across all limiters; 0: no limit
	Burst          float64  // requests
	AllowedRegions []string // regions that may serve it; empty: all
}

// Route maps requests with a host and a path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	TargetLatency      time.Duration // target_latency in the text
	Timeout            time.Duration
	Priority           int
	Attempts           int  // most servers to which one client request may be sent
	AuthExempt         bool // auth_exempt: no API key needed
	AllowedRegions     []string
	Destinations       []Destination
}

// Destination is a service that receives a part of a route's requests, by weight.
type Destination struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable servers, called a cluster in the text.
type Service struct {
	Name             string
	HealthPath       string
	Connections      int           // max_connections in the text
	Warmup           time.Duration // time for which a new server is cold
	ColdRequestsPerS float64       // requests per second that a cold server may receive; cold_per_s in the text
}

// Fault describes why a configuration or a change is rejected. It is sent to the operator.
type Fault struct {
	Code  string // one of the constants below
	Where string // path of the item, such as listeners[0].policy[1].forward_action.timeout
	Wrong string // what is wrong
	Fix   string // what the operator can do about it
}

// Codes of a [Fault].
const (
	Unreadable          = "unreadable"
	StaleVersion        = "stale_version"
	SharedKey           = "shared_key"
	UnknownRouteType    = "unknown_route_type"
	UnknownService      = "unknown_service"
	NoTimeout           = "no_timeout"
	TargetBeyondTimeout = "aim_beyond_timeout"
	WrongBase           = "wrong_base" // the change is not based on the current version
)

// Error returns the code, the path, the problem and the suggested fix in one line.
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

// targetExcessLimit is the excess of a target_latency over its route's timeout from which on the
// configuration is rejected.
const targetExcessLimit = time.Minute

// ParseVersion parses a version, which is written as "r" and a number or as a plain number. 0 and the
// empty string mean no version.
func ParseVersion(v *fastjson.Value) (uint64, bool) {
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

// Change is a change of the configuration as the operator sends it.
type Change struct {
	Partial     bool // changes named items only; otherwise the body is a whole configuration
	Version     uint64
	BaseVersion uint64
	Body        []byte // as received
}

// ParseChange checks that a change is a complete JSON object and reads its version and base version.
// The items are checked by [Apply].
func ParseChange(body []byte, partial bool) (*Change, *Fault) {
	v, err := fastjson.ParseBytes(body)
	if err != nil || v.Type() != fastjson.TypeObject {
		return nil, &Fault{Code: Unreadable, Wrong: fmt.Sprintf("the body is not a JSON object (%d bytes)", len(body)), Fix: "send it whole"}
	}
	c := &Change{Partial: partial, Body: body}
	var ok bool
	if c.Version, ok = ParseVersion(v.Get("config_version")); !ok || c.Version == 0 {
		return nil, &Fault{Code: Unreadable, Where: "config_version", Wrong: "is missing or not a version", Fix: "write r and a number, as in \"r12\""}
	}
	if c.BaseVersion, ok = ParseVersion(v.Get("base_revision")); !ok {
		return nil, &Fault{Code: Unreadable, Where: "base_revision", Wrong: "is missing or not a version", Fix: "write the version it builds on, or 0 for the first"}
	}
	return c, nil
}

// Apply returns the text of the configuration that results from applying a change to the current one,
// or the reason for rejecting the change. current is nil before the first configuration; version is the
// current version.
func Apply(current []byte, version uint64, c *Change) ([]byte, *Fault) {
	if c.BaseVersion != version {
		return nil, &Fault{Code: WrongBase, Where: "base_revision", Wrong: fmt.Sprintf("is r%d and r%d is current", c.BaseVersion, version),
			Fix: "read the current one and build on it"}
	}
	next := c.Body
	if c.Partial {
		var f *Fault
		if next, f = merge(current, c.Body); f != nil {
			return nil, f
		}
	}
	if c.Version <= version {
		return nil, &Fault{Code: StaleVersion, Where: "config_version", Wrong: fmt.Sprintf("is r%d and r%d is current", c.Version, version), Fix: "write a greater number"}
	}
	if _, f := Parse(next); f != nil {
		return nil, f
	}
	return next, nil
}

// reader extracts typed fields from JSON and keeps the first fault found.
type reader struct{ fault *Fault }

// fail records a fault unless one was found before.
func (r *reader) fail(code, where, wrong, fix string) {
	where = strings.TrimPrefix(where, ".") // items at the top level have no parent
	if r.fault == nil {
		r.fault = &Fault{Code: code, Where: where, Wrong: wrong, Fix: fix}
	}
}

// text returns the value of a string field. A missing one is a fault.
func (r *reader) text(v *fastjson.Value, where, key string) string {
	x := v.Get(key)
	if x == nil || x.Type() != fastjson.TypeString {
		r.fail(Unreadable, where+"."+key, "is missing or not a string", "write a string")
		return ""
	}
	return string(x.GetStringBytes())
}

// number returns the value of a number field, or 0 if it is missing.
func (r *reader) number(v *fastjson.Value, where, key string) float64 {
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

// duration returns the value of a duration field, or 0 if it is missing.
func (r *reader) duration(v *fastjson.Value, where, key string) time.Duration {
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

// maxDuration is the longest duration that is accepted.
const maxDuration = 1000 * 24 * time.Hour

// Duration parses a duration: a number followed by ms or s.
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
	if err != nil || !(f >= 0) || f*float64(unit) > float64(maxDuration) {
		return 0, false
	}
	return time.Duration(f * float64(unit)), true
}

// list returns the items of a list field, or nil if it is missing.
func (r *reader) list(v *fastjson.Value, where, key string) []*fastjson.Value {
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

// texts returns the items of a list of strings.
func (r *reader) texts(v *fastjson.Value, where, key string) (all []string) {
	for _, x := range r.list(v, where, key) {
		if x.Type() != fastjson.TypeString {
			r.fail(Unreadable, where+"."+key, "holds what is not a string", "write strings")
		}
		all = append(all, string(x.GetStringBytes()))
	}
	return all
}

// Parse parses and validates a whole configuration.
func Parse(text []byte) (*Table, *Fault) {
	document, err := fastjson.ParseBytes(text)
	if err != nil || document.Type() != fastjson.TypeObject {
		return nil, &Fault{Code: Unreadable, Wrong: "is not a JSON object", Fix: "send it whole"}
	}
	var r reader
	t := &Table{Services: map[string]*Service{}, routesByHost: map[string][]*Route{}, tenantsByKey: map[string]*Tenant{}}
	t.Version, _ = ParseVersion(document.Get("config_version"))
	if limits := document.Get("limits"); limits != nil {
		t.Limits = Limits{MaxHeaderBytes: int64(r.number(limits, "limits", "max_header_bytes")), MaxBodyBytes: int64(r.number(limits, "limits", "max_body_bytes")),
			HeaderTimeout: r.duration(limits, "limits", "header_timeout"), IdleTimeout: r.duration(limits, "limits", "idle_timeout")}
	}
	for i, item := range r.list(document, "", "clusters") {
		where := fmt.Sprintf("clusters[%d]", i)
		service := &Service{Name: r.text(item, where, "name"), HealthPath: string(item.GetStringBytes("health_path")),
			Connections: int(r.number(item, where, "max_connections")), Warmup: r.duration(item, where, "warmup"),
			ColdRequestsPerS: r.number(item, where, "cold_per_s")}
		t.Services[service.Name] = service
	}
	for i, item := range r.list(document, "", "tenants") {
		where := fmt.Sprintf("tenants[%d]", i)
		t.Tenants = append(t.Tenants, Tenant{Name: r.text(item, where, "name"), Keys: r.texts(item, where, "api_keys"),
			Priority: int(r.number(item, where, "priority")), Rate: r.number(item, where, "rate_per_s"),
			Burst: r.number(item, where, "burst_size"), AllowedRegions: r.texts(item, where, "allowed_regions")})
	}
	for i := range t.Tenants {
		for _, k := range t.Tenants[i].Keys {
			if owner := t.tenantsByKey[k]; owner != nil && owner.Name != t.Tenants[i].Name {
				r.fail(SharedKey, fmt.Sprintf("tenants[%d].api_keys", i), fmt.Sprintf("%s and %s hold the same key", owner.Name, t.Tenants[i].Name), "give each a key of its own")
			}
			t.tenantsByKey[k] = &t.Tenants[i]
		}
	}
	for i, item := range r.list(document, "", "listeners") {
		host := r.text(item, fmt.Sprintf("listeners[%d]", i), "hostname")
		for j, policy := range r.list(item, fmt.Sprintf("listeners[%d]", i), "policy") {
			t.Routes = append(t.Routes, r.parseRoute(t, fmt.Sprintf("listeners[%d].policy[%d]", i, j), host, policy))
		}
	}
	if r.fault != nil {
		return nil, r.fault
	}
	for i := range t.Routes {
		route := &t.Routes[i]
		routes := append(t.routesByHost[route.Host], route)
		for k := len(routes) - 1; k > 0 && len(routes[k].Prefix) > len(routes[k-1].Prefix); k-- {
			routes[k], routes[k-1] = routes[k-1], routes[k]
		}
		t.routesByHost[route.Host] = routes
	}
	return t, nil
}

// parseRoute parses one policy of a listener. Services must already be in the table.
func (r *reader) parseRoute(t *Table, where, host string, item *fastjson.Value) Route {
	action, match := item.Get("forward_action"), item.Get("match_criteria")
	if action == nil || match == nil {
		r.fail(Unreadable, where, "has no forward_action or no match_criteria", "write both")
		return Route{}
	}
	route := Route{Name: r.text(item, where, "name"), Host: strings.ToLower(host),
		Prefix:        r.text(match, where+".match_criteria", "path_prefix"),
		TargetLatency: r.duration(item, where, "target_latency"), Timeout: r.duration(action, where+".forward_action", "timeout"),
		Priority: int(r.number(item, where, "priority")), Attempts: int(r.number(action, where+".forward_action", "max_attempts")),
		AuthExempt: item.GetBool("auth_exempt"), AllowedRegions: r.texts(action, where+".forward_action", "allowed_regions")}
	kind := r.text(item, where, "route_type")
	var ok bool
	if route.Kind, ok = kindsByName[kind]; !ok {
		r.fail(UnknownRouteType, where+".route_type", fmt.Sprintf("%q is not known", kind), "write idempotent, non_idempotent or download")
	}
	if split := r.list(action, where+".forward_action", "traffic_split"); len(split) > 0 {
		for _, destination := range split {
			route.Destinations = append(route.Destinations, Destination{r.text(destination, where+".traffic_split", "service"), r.number(destination, where+".traffic_split", "weight")})
		}
	} else {
		route.Destinations = []Destination{{r.text(action, where+".forward_action", "service"), 1}}
	}
	for _, destination := range route.Destinations {
		if t.Services[destination.Service] == nil {
			r.fail(UnknownService, where+".forward_action", fmt.Sprintf("service %q is not among the clusters", destination.Service), "add the cluster or name another one")
		}
	}
	switch {
	case route.Timeout == 0:
		r.fail(NoTimeout, where+".forward_action.timeout", "is 0 or missing", "write how long a request may be held")
	case route.TargetLatency-route.Timeout >= targetExcessLimit:
		r.fail(TargetBeyondTimeout, where+".target_latency", fmt.Sprintf("is %v and the timeout %v", route.TargetLatency, route.Timeout), "write less")
	}
	return route
}

// FindRoute returns the route with the longest prefix that matches a request, or nil. host may include a
// port and path a query.
func (t *Table) FindRoute(host, path string) *Route {
	if i := strings.IndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	routes, ok := t.routesByHost[host]
	if !ok {
		routes = t.routesByHost[strings.ToLower(host)]
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteByName returns the first route of a host with a name, or nil. Without a host, it returns the first route of
// that name.
func (t *Table) RouteByName(host, name string) *Route {
	for i := range t.Routes {
		if r := &t.Routes[i]; r.Name == name && (host == "" || r.Host == host) {
			return r
		}
	}
	return nil
}

// HostRegions returns the regions that may serve all routes of a host. restricted is false if none of the
// routes is restricted to regions. host may include a port.
func (t *Table) HostRegions(host string) (regions []string, restricted bool) {
	if i := strings.IndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		switch {
		case len(r.AllowedRegions) == 0:
		case !restricted:
			regions, restricted = slices.Clone(r.AllowedRegions), true
		default:
			regions = slices.DeleteFunc(regions, func(region string) bool { return !slices.Contains(r.AllowedRegions, region) })
		}
	}
	return regions, restricted
}

// TenantByKey returns the tenant that owns an API key, or nil.
func (t *Table) TenantByKey(key string) *Tenant { return t.tenantsByKey[key] }

// RequiresKey reports whether requests need an API key unless their route is exempt.
func (t *Table) RequiresKey() bool { return len(t.Tenants) > 0 }

// KeyRevoked reports whether an API key of the old table is missing from the new one or belongs to
// another tenant there.
func KeyRevoked(old, new *Table) bool {
	if old == nil {
		return false
	}
	for k, was := range old.tenantsByKey {
		if is := new.tenantsByKey[k]; is == nil || is.Name != was.Name {
			return true
		}
	}
	return false
}

// AllowedRegions returns the regions in which both a route and a tenant may be served. all is true if
// neither is restricted to regions.
func AllowedRegions(r *Route, t *Tenant) (regions []string, all bool) {
	switch {
	case len(r.AllowedRegions) == 0 && (t == nil || len(t.AllowedRegions) == 0):
		return nil, true
	case len(r.AllowedRegions) == 0:
		return t.AllowedRegions, false
	case t == nil || len(t.AllowedRegions) == 0:
		return r.AllowedRegions, false
	}
	for _, x := range r.AllowedRegions {
		for _, y := range t.AllowedRegions {
			if x == y {
				regions = append(regions, x)
			}
		}
	}
	return regions, false
}
