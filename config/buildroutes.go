package config

import (
	"fmt"

	"example.org/madderdrum/route"
)

// buildRoutes converts the route blocks, resolves their policies, and reports unused
// policies and pools.
func (b *builder) buildRoutes() {
	fl := b.cfg.Fleet
	pools, classes := map[string]int{}, map[string]int{}
	for i, p := range b.cfg.Pools {
		pools[p.Name] = i
	}
	for i, c := range fl.Classes {
		classes[c.Name] = i
	}
	blocks := b.blocksByName("route")
	allValid := true
	for _, o := range blocks {
		result := Route{Name: o.label, Pool: -1, Class: -1, MaxBody: -1}
		result.Match = route.Match{Priority: o.integer("priority"), Host: o.text("host"), Path: o.text("path"), Plans: o.list("plans"), Methods: o.list("methods")}
		if result.Match.Path == "/" {
			result.Match.Path = ""
		}
		for _, a := range o.list("accounts") {
			n, _ := parseAccount(a)
			result.Match.Accounts = append(result.Match.Accounts, n)
		}
		for _, h := range o.values["headers"].headers {
			result.Match.Headers = append(result.Match.Headers, route.Header{Name: h[0], Value: h[1]})
		}
		for _, v := range o.values {
			allValid = allValid && (v.valid || v.at.Filename == "")
		}
		switch {
		case o.isSet("pool"):
			result.Pool = pools[o.text("pool")]
		case len(b.cfg.Pools) == 1:
			result.Pool = 0
		case len(b.cfg.Pools) > 1:
			b.add("route-pool", o.at, fmt.Sprintf("add pool = %q or another one", b.cfg.Pools[0].Name), "route %q does not say which of %d pools it leads to", o.label, len(b.cfg.Pools))
		}
		if v, ok := b.routeField(o, "class"); ok {
			result.Class = classes[v.text]
		}
		if v, ok := b.routeField(o, "deadline"); ok {
			result.Deadline = seconds(v.num)
			if result.Class >= 0 && result.Class < len(fl.Classes) && result.Deadline < fl.Classes[result.Class].Aim {
				b.add("deadline-under-aim", v.at, fmt.Sprintf("write %q or more", fl.Classes[result.Class].Aim), "route %q gives up after %v, before the aim of class %q, %v", o.label, result.Deadline, fl.Classes[result.Class].Name, fl.Classes[result.Class].Aim)
			}
		}
		if v, ok := b.routeField(o, "attempts"); ok {
			result.Attempts = int(v.num)
		}
		if v, ok := b.routeField(o, "max_body"); ok {
			result.MaxBody = int(v.num)
		}
		if names, listed := b.routePlugins(o); listed {
			result.Plugins = append([]string{}, names...)
		}
		b.cfg.Routes = append(b.cfg.Routes, result)
	}
	if len(blocks) == 0 && len(b.cfg.Pools) > 1 && !b.incomplete && !b.hasBlock("route") {
		b.add("route-missing", b.blocksByName("pool")[0].at, `add route "NAME" { pool = ... } for each of them`, "there are %d pools and no route", len(b.cfg.Pools))
	}
	for _, o := range b.blocksOf("policy") {
		if !o.used {
			b.add("unused", o.at, "take it out, or name it in a route", "policy %q is used by no route", o.label)
		}
	}
	for _, o := range b.blocksOf("pool") {
		if !o.used && len(blocks) > 0 && len(b.cfg.Pools) > 1 {
			b.add("pool-unused", o.at, "take it out, or let a route lead to it", "no route leads to pool %q", o.label)
		}
	}
	if allValid {
		b.checkRouteConflicts(blocks)
	}
}

// checkRouteConflicts reports routes that another route hides, and routes of equal
// precedence that can match the same request.
func (b *builder) checkRouteConflicts(blocks []*parsedBlock) {
	matches := b.cfg.RouteMatches()
	for _, conflict := range route.New(matches).Conflicts(matches) {
		o, other := blocks[conflict.Route], blocks[conflict.Other]
		if conflict.Hidden {
			b.add("route-unreachable", o.at, fmt.Sprintf("raise its priority above %d, or take it out", matches[conflict.Other].Priority),
				"no request reaches route %q: route %q goes before by its priority and takes all of them", o.label, other.label).addRelated(other.at)
			continue
		}
		overlap, _ := matches[conflict.Route].Intersect(&matches[conflict.Other])
		b.add("route-ambiguous", o.at, "give one of them a higher priority, or conditions that tell them apart",
			"routes %q and %q are equally exact, and both take %s", o.label, other.label, overlap.String()).addRelated(other.at)
	}
}

// buildForwardAuth converts the forward_auth blocks.
func (b *builder) buildForwardAuth() {
	for _, o := range b.blocksByName("forward_auth") {
		auth := ForwardAuth{Limiter: o.label, Listen: o.text("listen"), KeysFile: o.text("keys_file"), MaxLeases: o.integer("leases"), MaxPending: o.integer("pending")}
		proxies := 0
		for _, child := range o.children {
			if child.block.kind == "tls" {
				auth.TLS = &TLS{child.text("cert_file"), child.text("key_file"), child.text("client_ca_file")}
			}
		}
		for _, child := range o.children {
			if child.block.kind == "proxy" {
				proxies++
				auth.Proxies = append(auth.Proxies, b.buildProxy(child, &auth))
			}
		}
		if proxies == 0 {
			b.add("no-proxies", o.at, `add proxy "NAME" { ... }: only listed proxies are believed`, "no proxy may ask limiter %q", o.label)
		}
		b.cfg.ForwardAuth = append(b.cfg.ForwardAuth, auth)
	}
}

// buildProxy converts a proxy block and checks that the proxy can be authenticated.
func (b *builder) buildProxy(o *parsedBlock, auth *ForwardAuth) Proxy {
	proxy := Proxy{Name: o.label, Dialect: o.text("dialect"), Mode: o.text("mode"), SecretFile: o.text("secret_file"), SecretHeader: o.text("secret_header"),
		PathPrefix: o.text("path_prefix"), From: o.list("from"), CertNames: o.list("cert_names"), Lease: o.duration("lease"), DefaultTimeout: o.duration("wait"), HeaderNames: map[string]string{}}
	if proxy.Mode == "ask-then-carry" && auth.KeysFile == "" {
		b.add("no-keys", o.fieldRange("mode"), `add keys_file = "/etc/madderdrum/keys" to the forward_auth block: tokens are signed`, "proxy %q is given leases, but there are no keys", o.label)
	}
	if o.isSet("from") && len(proxy.From) == 0 {
		b.add("no-proxies", o.fieldRange("from"), `write where it asks from, such as ["10.0.0.0/8"]`, "proxy %q may ask from nowhere", o.label)
	}
	if proxy.SecretFile == "" && (auth.TLS == nil || auth.TLS.ClientCA == "" || len(proxy.CertNames) == 0) {
		b.add("no-credentials", o.at, "add secret_file, or a tls block with client_ca_file and cert_names here", "proxy %q has neither a secret nor a certificate", o.label)
	}
	for _, child := range o.children {
		switch child.block.kind {
		case "headers":
			for name, v := range child.values {
				proxy.HeaderNames[name] = v.text
			}
		case "route":
			if problem := pathProblem(child.label); problem != "" {
				b.add("bad-path", child.at, problem, "route %q is no path", child.label)
			}
			proxy.Routes = append(proxy.Routes, ProxyRoute{Path: child.label, Method: child.text("method"), Class: child.text("class"), Plan: child.text("plan"), Units: child.num("units")})
		}
	}
	return proxy
}
