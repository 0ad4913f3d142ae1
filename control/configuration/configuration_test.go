package configuration

import (
	"strings"
	"testing"
	"time"
)

const exampleConfiguration = `{"config_version":"r7","base_revision":0,"limits":{"max_header_bytes":16384,"idle_timeout":"15000ms"},
"tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"rate_per_s":45,"burst_size":45,"allowed_regions":["north"]},{"name":"t2","api_keys":["k3"]}],
"listeners":[{"hostname":"h.example","policy":[
 {"name":"r1","route_type":"idempotent","target_latency":"600ms","priority":2,"match_criteria":{"path_prefix":"/a/"},"forward_action":{"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"timeout":"2.5s","max_attempts":2,"allowed_regions":["north","south"]}},
 {"name":"r2","route_type":"non_idempotent","target_latency":"600ms","priority":1,"match_criteria":{"path_prefix":"/a/b/"},"forward_action":{"service":"s2","timeout":"2500ms","max_attempts":2}}]}],
"clusters":[{"name":"s1","health_path":"/health","max_connections":110,"warmup":"3s","cold_per_s":3.6},{"name":"s2","health_path":"/health"}]}`

func TestRead(t *testing.T) {
	table, f := Parse([]byte(exampleConfiguration))
	if f != nil {
		t.Fatal(f)
	}
	if r := table.FindRoute("h.example:8080", "/a/b/c?x=/a/"); r == nil || r.Name != "r2" || r.Kind != NonIdempotent || r.Timeout != 2500*time.Millisecond {
		t.Errorf("want the route with the longest prefix: %+v", r)
	}
	if r := table.FindRoute("H.example", "/a/x"); r == nil || r.Name != "r1" || len(r.Destinations) != 2 {
		t.Errorf("host names must match regardless of case: %+v", r)
	}
	if table.FindRoute("h.example", "/a") != nil || table.FindRoute("other", "/a/x") != nil {
		t.Error("found a route for a request that matches none")
	}
	regions, all := AllowedRegions(table.FindRoute("h.example", "/a/x"), table.TenantByKey("k2"))
	if all || len(regions) != 1 || regions[0] != "north" {
		t.Errorf("want the regions common to route and tenant: %v", regions)
	}
}

func TestInvalid(t *testing.T) {
	for name, x := range map[string]struct{ from, to, code string }{
		"truncated":             {`"cold_per_s":3.6},{"name":"s2","health_path":"/health"}]}`, ``, Unreadable},
		"unknown service":       {`"service":"s2","timeout"`, `"service":"s9","timeout"`, UnknownService},
		"unknown route type":    {`"non_idempotent"`, `"sometimes"`, UnknownRouteType},
		"no timeout":            {`"timeout":"2500ms"`, `"timeout":"0ms"`, NoTimeout},
		"target beyond timeout": {`"target_latency":"600ms","priority":1`, `"target_latency":"62500ms","priority":1`, TargetBeyondTimeout},
		"shared key":            {`"k3"`, `"k1"`, SharedKey},
		"invalid duration":      {`"timeout":"2500ms"`, `"timeout":"soon"`, Unreadable},
	} {
		text := strings.Replace(exampleConfiguration, x.from, x.to, 1)
		if text == exampleConfiguration {
			t.Fatalf("%s: the replacement matched nothing", name)
		}
		var code string
		if c, f := ParseChange([]byte(text), false); f != nil {
			code = f.Code
		} else if _, f := Apply(nil, 0, c); f != nil {
			code = f.Code
			if f.Error() == "" || f.Wrong == "" {
				t.Errorf("%s: the fault has no description", name)
			}
		}
		if code != x.code {
			t.Errorf("%s: code %q, want %q", name, code, x.code)
		}
	}
}

func TestUpdate(t *testing.T) {
	call := func(text string) ([]byte, *Fault) {
		c, f := ParseChange([]byte(text), true)
		if f != nil {
			return nil, f
		}
		return Apply([]byte(exampleConfiguration), 7, c)
	}
	next, f := call(`{"config_version":"r9","base_revision":"r7","upsert":{"listeners":[{"hostname":"new.example","policy":[{"name":"r1","route_type":"idempotent","match_criteria":{"path_prefix":"/z/"},"forward_action":{"service":"s2","timeout":"1s"}}]}],"tenants":[{"name":"t2","api_keys":["k4"]}]},"remove":{"routes":["r2"]}}`)
	if f != nil {
		t.Fatal(f)
	}
	table, f := Parse(next)
	if f != nil {
		t.Fatal(f)
	}
	if table.Version != 9 || table.FindRoute("h.example", "/a/b/c") != nil || table.FindRoute("new.example", "/z/1") == nil {
		t.Errorf("a rule was not moved to another host, or another one was not removed: %+v", table.Routes)
	}
	if table.TenantByKey("k3") != nil || table.TenantByKey("k4") == nil || table.TenantByKey("k1") == nil {
		t.Error("want tenant t2 replaced by name and t1 unchanged")
	}
	old, _ := Parse([]byte(exampleConfiguration))
	if !KeyRevoked(old, table) || KeyRevoked(table, table) {
		t.Error("want a revoked key between the old and the new table, and none between equal tables")
	}
	for text, code := range map[string]string{
		`{"config_version":"r9","base_revision":"r6","upsert":{}}`:                  WrongBase,
		`{"config_version":"r7","base_revision":"r7","upsert":{}}`:                  StaleVersion,
		`{"config_version":"r9","base_revision":"r7","remove":{"clusters":["s2"]}}`: UnknownService,
		`{"config_version":"r9","base_revision":"r7","upsert":{"odd":[]}}`:          Unreadable,
		`{"config_version":"r9","base_revision":"r7","remove":`:                     Unreadable,
	} {
		if _, f := call(text); f == nil || f.Code != code {
			t.Errorf("%s: fault %v, want %s", text, f, code)
		}
	}
}

// No body makes validation panic, and every accepted configuration can be parsed again.
func FuzzCalls(f *testing.F) {
	f.Add([]byte(exampleConfiguration), false)
	f.Add([]byte(`{"config_version":"r9","base_revision":"r7","upsert":{"listeners":[{"hostname":"x","policy":[{}]}]},"remove":{"routes":["r2"]}}`), true)
	f.Add([]byte(`{"config_version":1,"base_revision":"","upsert":{"limits":{},"clusters":[{}]},"remove":{"tenants":[1,null]}}`), true)
	f.Fuzz(func(t *testing.T, body []byte, update bool) {
		c, fault := ParseChange(body, update)
		if fault != nil {
			return
		}
		current, version := []byte(nil), uint64(0)
		if update {
			current, version = []byte(exampleConfiguration), 7
		}
		next, fault := Apply(current, version, c)
		if fault != nil {
			return
		}
		table, fault := Parse(next)
		if fault != nil {
			t.Fatalf("accepted, but can't be parsed: %v", fault)
		}
		table.FindRoute("h.example", "/a/")
	})
}

// The regions of a host are those that all its restricted routes have in common.
func TestHostHomes(t *testing.T) {
	route := func(name, allowed string) string {
		return `{"name":"` + name + `","route_type":"idempotent","target_latency":"600ms","match_criteria":{"path_prefix":"/` + name + `/"},"forward_action":{"service":"s","timeout":"1s","max_attempts":2,"allowed_regions":[` + allowed + `]}}`
	}
	text := `{"config_version":"r1","base_revision":0,"tenants":[],"listeners":[
{"hostname":"free","policy":[` + route("a", "") + `]},
{"hostname":"Bound","policy":[` + route("b", `"north","isles"`) + `,` + route("c", "") + `,` + route("d", `"isles","south"`) + `]}],
"clusters":[{"name":"s","health_path":"/health"}]}`
	table, fault := Parse([]byte(text))
	if fault != nil {
		t.Fatal(fault)
	}
	if regions, restricted := table.HostRegions("free:80"); restricted || regions != nil {
		t.Errorf("%v %v", regions, restricted)
	}
	if regions, restricted := table.HostRegions("bound"); !restricted || len(regions) != 1 || regions[0] != "isles" {
		t.Errorf("%v %v", regions, restricted)
	}
	if _, restricted := table.HostRegions("nobody"); restricted {
		t.Error("a host without routes is restricted to regions")
	}
}

// Guards against the loss of a route whose rule shares its name with one that an update replaces on another host. A
// rule that its host does not have yet is moved there, as before.
func TestUpdateOfSharedNames(t *testing.T) {
	rule := func(timeout string) string {
		return `{"name":"reads","route_type":"idempotent","match_criteria":{"path_prefix":"/z/"},"forward_action":{"service":"s","timeout":"` + timeout + `"}}`
	}
	before := []byte(`{"config_version":"r1","listeners":[{"hostname":"a","policy":[` + rule("1s") + `]},{"hostname":"b","policy":[]},{"hostname":"b","policy":[` + rule("2s") + `]},{"hostname":"b","policy":[]}],"clusters":[{"name":"s"}]}`)
	timeouts := func(current []byte, host string) (all [3]time.Duration, next []byte) {
		c, fault := ParseChange([]byte(`{"config_version":"r2","base_revision":"r1","upsert":{"listeners":[{"hostname":"`+host+`","policy":[`+rule("3s")+`]}]}}`), true)
		if fault != nil {
			t.Fatal(fault)
		}
		next, fault = Apply(current, 1, c)
		if fault != nil {
			t.Fatal(fault)
		}
		table, fault := Parse(next)
		if fault != nil {
			t.Fatal(fault)
		}
		for i, host := range []string{"a", "b", "c"} {
			if r := table.FindRoute(host, "/z/1"); r != nil {
				all[i] = r.Timeout
			}
		}
		return all, next
	}
	for host, want := range map[string][3]time.Duration{
		"a": {3 * time.Second, 2 * time.Second, 0},
		"b": {time.Second, 3 * time.Second, 0},
		"c": {0, 0, 3 * time.Second},
	} {
		if got, _ := timeouts(before, host); got != want {
			t.Errorf("update on %s: timeouts %v on a, b and c, want %v", host, got, want)
		}
	}
}
