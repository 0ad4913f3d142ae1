package config

import (
	"fmt"

	"example.org/madderdrum/route"
)

func (b *builder) buildRoutes() {
	f := b.cfg.Fleet
	pools, classes := map[string]int{}, map[string]int{}
	for i, p := range b.cfg.Pools {
		pools[p.Name] = i
	}
	for i, c := range f.Classes {
		classes[c.Name] = i
	}
	all := b.blocksByName("route")
	sound := true
	for _, o := range all {
		r := Route{Name: o.label, Pool: -1, Class: -1, MaxBody: -1}
		r.Match = route.Match{Priority: o.integer("priority"), Host: o.text("host"), Path: o.text("path"), Plans: o.list("plans"), Methods: o.list("methods")}
		if r.Match.Path == "/" {
			r.Match.Path = ""
		}
		for _, a := range o.list("accounts") {
			n, _ := parseAccount(a)
			r.Match.Accounts = append(r.Match.Accounts, n)
		}
		for _, h := range o.values["headers"].headers {
			r.Match.Headers = append(r.Match.Headers, route.Header{Name: h[0], Value: h[1]})
		}
		for _, v := range o.values {
			sound = sound && (v.valid || v.at.Filename == "")
		}
		switch {
		case o.isSet("pool"):
			r.Pool = pools[o.text("pool")]
		case len(b.cfg.Pools) == 1:
			r.Pool = 0
		case len(b.cfg.Pools) > 1:
			b.add("route-pool", o.at, fmt.Sprintf("add pool = %q or another one", b.cfg.Pools[0].Name), "route %q does not say which of %d pools it leads to", o.label, len(b.cfg.Pools))
		}
		if v, ok := b.routeField(o, "class"); ok {
			r.Class = classes[v.text]
		}
		if v, ok := b.routeField(o, "deadline"); ok {
			r.Deadline = seconds(v.num)
			if r.Class >= 0 && r.Class < len(f.Classes) && r.Deadline < f.Classes[r.Class].Aim {
				b.add("deadline-under-aim", v.at, fmt.Sprintf("write %q or more", f.Classes[r.Class].Aim), "route %q gives up after %v, before the aim of class %q, %v", o.label, r.Deadline, f.Classes[r.Class].Name, f.Classes[r.Class].Aim)
			}
		}
		if v, ok := b.routeField(o, "attempts"); ok {
			r.Attempts = int(v.num)
		}
		if v, ok := b.routeField(o, "max_body"); ok {
			r.MaxBody = int(v.num)
		}
		if names, said := b.routePlugins(o); said {
			r.Plugins = append([]string{}, names...)
		}
		b.cfg.Routes = append(b.cfg.Routes, r)
	}
	if len(all) == 0 && len(b.cfg.Pools) > 1 && !b.incomplete && !b.hasBlock("route") {
		b.add("route-missing", b.blocksByName("pool")[0].at, `add route "NAME" { pool = ... } for each of them`, "there are %d pools and no route", len(b.cfg.Pools))
	}
	for _, o := range b.blocksOf("policy") {
		if !o.used {
			b.add("unused", o.at, "take it out, or name it in a route", "policy %q is used by no route", o.label)
		}
	}
	for _, o := range b.blocksOf("pool") {
		if !o.used && len(all) > 0 && len(b.cfg.Pools) > 1 {
			b.add("pool-unused", o.at, "take it out, or let a route lead to it", "no route leads to pool %q", o.label)
		}
	}
	if sound {
		b.checkRouteConflicts(all)
	}
}

// checkRouteConflicts reports routes that another route hides, and routes of equal
// precedence that can match the same request.
func (b *builder) checkRouteConflicts(all []*parsedBlock) {
	matches := b.cfg.Matches()
	for _, x := range route.New(matches).Conflicts(matches) {
		o, other := all[x.Route], all[x.Other]
		if x.Hidden {
			b.add("route-unreachable", o.at, fmt.Sprintf("raise its priority above %d, or take it out", matches[x.Other].Priority),
				"no request reaches route %q: route %q goes before by its priority and takes all of them", o.label, other.label).addRelated(other.at)
			continue
		}
		both, _ := matches[x.Route].Intersect(&matches[x.Other])
		b.add("route-ambiguous", o.at, "give one of them a higher priority, or conditions that tell them apart",
			"routes %q and %q are equally exact, and both take %s", o.label, other.label, both.String()).addRelated(other.at)
	}
}

func (b *builder) buildForwardAuth() {
	for _, o := range b.blocksByName("forward_auth") {
		a := ForwardAuth{Limiter: o.label, Listen: o.text("listen"), Keys: o.text("keys_file"), Leases: o.integer("leases"), Pending: o.integer("pending")}
		proxies := 0
		for _, s := range o.children {
			if s.block.kind == "tls" {
				a.TLS = &TLS{s.text("cert_file"), s.text("key_file"), s.text("client_ca_file")}
			}
		}
		for _, s := range o.children {
			if s.block.kind == "proxy" {
				proxies++
				a.Proxies = append(a.Proxies, b.buildProxy(s, &a))
			}
		}
		if proxies == 0 {
			b.add("no-proxies", o.at, `add proxy "NAME" { ... }: only listed proxies are believed`, "no proxy may ask limiter %q", o.label)
		}
		b.cfg.ForwardAuth = append(b.cfg.ForwardAuth, a)
	}
}

func (b *builder) buildProxy(o *parsedBlock, in *ForwardAuth) Proxy {
	p := Proxy{Name: o.label, Dialect: o.text("dialect"), Mode: o.text("mode"), Secret: o.text("secret_file"), Header: o.text("secret_header"),
		Prefix: o.text("path_prefix"), From: o.list("from"), Certs: o.list("cert_names"), Lease: o.duration("lease"), Wait: o.duration("wait"), Names: map[string]string{}}
	if p.Mode == "ask-then-carry" && in.Keys == "" {
		b.add("no-keys", o.fieldRange("mode"), `add keys_file = "/etc/madderdrum/keys" to the forward_auth block: tokens are signed`, "proxy %q is given leases, but there are no keys", o.label)
	}
	if o.isSet("from") && len(p.From) == 0 {
		b.add("no-proxies", o.fieldRange("from"), `write where it asks from, such as ["10.0.0.0/8"]`, "proxy %q may ask from nowhere", o.label)
	}
	if p.Secret == "" && (in.TLS == nil || in.TLS.ClientCA == "" || len(p.Certs) == 0) {
		b.add("no-credentials", o.at, "add secret_file, or a tls block with client_ca_file and cert_names here", "proxy %q has neither a secret nor a certificate", o.label)
	}
	for _, s := range o.children {
		switch s.block.kind {
		case "headers":
			for name, v := range s.values {
				p.Names[name] = v.text
			}
		case "route":
			if why := pathProblem(s.label); why != "" {
				b.add("bad-path", s.at, why, "route %q is no path", s.label)
			}
			p.Routes = append(p.Routes, ProxyRoute{Path: s.label, Method: s.text("method"), Class: s.text("class"), Plan: s.text("plan"), Units: s.num("units")})
		}
	}
	return p
}
