package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// fact is one statement of a configuration in the form in which equal meanings are
// equal: units in one spelling, defaults written out, policies and variables put in
// their places, boxes and members one by one.
type fact struct {
	kind, name string // of the block
	in         string // path of the block within it; empty: itself
	field      string // empty: that the block is there
	text       string
	num        float64
	is         *field
}

func (f *fact) key() string { return f.kind + "\x00" + f.name + "\x00" + f.in + "\x00" + f.field }

// normal is a configuration as facts. Where things stand and how they are ordered is
// not in it.
func (b *builder) normal() []fact {
	var all []fact
	there := func(kind, name string) { all = append(all, fact{kind: kind, name: name}) }
	for _, kind := range []string{"room", "class", "plan", "limiter", "listener"} {
		for _, o := range b.each(kind) {
			there(kind, o.label)
			all = append(all, factsOf(o, kind, o.label, "")...)
		}
	}
	for _, kind := range []string{"rules", "network", "traffic", "limits"} {
		all = append(all, factsOf(b.only(kind), kind, "", "")...)
	}
	boxes := map[*object][]int{}
	for i, x := range b.c.Fleet.Boxes {
		boxes[b.boxOf[x.Name]] = append(boxes[b.boxOf[x.Name]], i)
	}
	for _, o := range b.each("box") {
		base := factsOf(o, "box", o.label, "")
		base = slices.DeleteFunc(base, func(f fact) bool {
			return slices.Contains([]string{"count", "pod", "pod_size", "dial"}, f.field)
		})
		for _, i := range boxes[o] {
			x := b.c.Fleet.Boxes[i]
			there("box", x.Name)
			for _, f := range base {
				f.name = x.Name
				all = append(all, f)
			}
			all = append(all, fact{kind: "box", name: x.Name, field: "pod", text: fmt.Sprint(x.Pod), num: float64(x.Pod), is: o.block.field("pod")})
			if x.Dial != "" {
				all = append(all, fact{kind: "box", name: x.Name, field: "dial", text: x.Dial, is: o.block.field("dial")})
			}
		}
	}
	for _, p := range b.c.Pools {
		there("pool", p.Name)
		var names []string
		for _, i := range p.Boxes {
			names = append(names, b.c.Fleet.Boxes[i].Name)
		}
		slices.Sort(names)
		if p.Discovery != "" {
			all = append(all, fact{kind: "pool", name: p.Name, field: "discovery", text: p.Discovery, is: schema.find("pool").field("discovery")})
		}
		for _, s := range b.named["pool"][p.Name].subs {
			all = append(all, fact{kind: "pool", name: p.Name, in: "tier " + s.label})
			all = append(all, factsOf(s, "pool", p.Name, "tier "+s.label)...)
		}
		all = append(all, fact{kind: "pool", name: p.Name, field: "members", text: strings.Join(names, ", "), is: schema.find("pool").field("members")})
	}
	for i, o := range b.sorted("route") {
		there("route", o.label)
		r := b.c.Routes[i]
		for _, f := range factsOf(o, "route", o.label, "") {
			if f.field != "policy" && f.field != "pool" && schema.find("policy").field(f.field) == nil {
				all = append(all, f)
			}
		}
		if r.Pool >= 0 {
			all = append(all, fact{kind: "route", name: o.label, field: "pool", text: b.c.Pools[r.Pool].Name, is: o.block.field("pool")})
		}
		for k := range policyFields {
			f := &policyFields[k]
			if v, ok := b.merged(o, f.name); ok {
				text := v.text
				if f.list {
					text = cmp.Or(strings.Join(v.list, ", "), "none")
				}
				all = append(all, fact{kind: "route", name: o.label, field: f.name, text: text, num: v.num, is: f})
			}
		}
	}
	for _, o := range b.each("memory") {
		there("memory", "")
		all = append(all, factsOf(o, "memory", "", "")...)
	}
	for _, o := range b.each("fleet") {
		there("fleet", o.label)
		all = append(all, factsOf(o, "fleet", o.label, "")...)
	}
	for i, o := range b.sorted("plugin") {
		there("plugin", o.label)
		for _, f := range factsOf(o, "plugin", o.label, "") {
			if f.field == "file" {
				f.text = moduleSum(f.text, b.c.Plugins[i].Module)
			}
			all = append(all, f)
		}
	}
	for _, o := range b.each("forward_auth") {
		there("forward_auth", o.label)
		all = append(all, nestedFacts(o, "forward_auth", o.label, "")...)
	}
	return all
}

// nestedFacts are those of a block and the blocks in it.
func nestedFacts(o *object, kind, name, in string) []fact {
	all := factsOf(o, kind, name, in)
	routes := 0
	for _, s := range o.subs {
		at := s.block.kind
		if s.block.kind == "route" { // the first that fits counts
			at, routes = fmt.Sprintf("route %d %s", routes+1, s.label), routes+1
		} else if s.label != "" {
			at += " " + s.label
		}
		at = strings.TrimSpace(in + " " + at)
		all = append(all, fact{kind: kind, name: name, in: at})
		all = append(all, nestedFacts(s, kind, name, at)...)
	}
	return all
}

// factsOf are those of a block's own fields.
func factsOf(o *object, kind, name, in string) []fact {
	var all []fact
	for i := range o.block.fields {
		f := &o.block.fields[i]
		v, have := o.vals[f.name]
		if !have {
			continue
		}
		x := fact{kind: kind, name: name, in: in, field: f.name, text: v.text, num: v.num, is: f}
		switch {
		case f.list:
			x.text = strings.Join(v.list, ", ")
		case f.kind == kHeaders:
			var parts []string
			for _, h := range v.headers {
				parts = append(parts, h[0]+": "+h[1])
			}
			x.text = strings.Join(parts, ", ")
		}
		if x.text == "" && (f.list || f.kind == kHeaders) {
			continue // nothing listed is as nothing written
		}
		all = append(all, x)
	}
	return all
}
