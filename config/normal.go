package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// setting is one normalized setting of a configuration. Configurations with the same meaning
// have equal settings: units are in canonical form, defaults are explicit, policies and
// variables are resolved, and boxes and members are expanded.
type setting struct {
	kind, name string // of the top-level block
	path       string // of a nested block within it; empty: the top-level block itself
	field      string // empty: the setting states that the block exists
	text       string
	num        float64
	schema     *field
}

func (f *setting) key() string { return f.kind + "\x00" + f.name + "\x00" + f.path + "\x00" + f.field }

// normalize returns the settings of a configuration. They do not depend on file positions
// or on the order of blocks.
func (b *builder) normalize() []setting {
	var all []setting
	there := func(kind, name string) { all = append(all, setting{kind: kind, name: name}) }
	for _, kind := range []string{"room", "class", "plan", "limiter", "listener"} {
		for _, o := range b.blocksOf(kind) {
			there(kind, o.label)
			all = append(all, blockSettings(o, kind, o.label, "")...)
		}
	}
	for _, kind := range []string{"rules", "network", "traffic", "limits"} {
		all = append(all, blockSettings(b.singleton(kind), kind, "", "")...)
	}
	boxes := map[*parsedBlock][]int{}
	for i, x := range b.cfg.Fleet.Boxes {
		boxes[b.boxBlocks[x.Name]] = append(boxes[b.boxBlocks[x.Name]], i)
	}
	for _, o := range b.blocksOf("box") {
		base := blockSettings(o, "box", o.label, "")
		base = slices.DeleteFunc(base, func(f setting) bool {
			return slices.Contains([]string{"count", "pod", "pod_size", "dial"}, f.field)
		})
		for _, i := range boxes[o] {
			x := b.cfg.Fleet.Boxes[i]
			there("box", x.Name)
			for _, f := range base {
				f.name = x.Name
				all = append(all, f)
			}
			all = append(all, setting{kind: "box", name: x.Name, field: "pod", text: fmt.Sprint(x.Pod), num: float64(x.Pod), schema: o.block.field("pod")})
			if x.Dial != "" {
				all = append(all, setting{kind: "box", name: x.Name, field: "dial", text: x.Dial, schema: o.block.field("dial")})
			}
		}
	}
	for _, p := range b.cfg.Pools {
		there("pool", p.Name)
		var names []string
		for _, i := range p.Boxes {
			names = append(names, b.cfg.Fleet.Boxes[i].Name)
		}
		slices.Sort(names)
		if p.Discovery != "" {
			all = append(all, setting{kind: "pool", name: p.Name, field: "discovery", text: p.Discovery, schema: schema.find("pool").field("discovery")})
		}
		for _, s := range b.byName["pool"][p.Name].children {
			all = append(all, setting{kind: "pool", name: p.Name, path: "tier " + s.label})
			all = append(all, blockSettings(s, "pool", p.Name, "tier "+s.label)...)
		}
		all = append(all, setting{kind: "pool", name: p.Name, field: "members", text: strings.Join(names, ", "), schema: schema.find("pool").field("members")})
	}
	for i, o := range b.blocksByName("route") {
		there("route", o.label)
		r := b.cfg.Routes[i]
		for _, f := range blockSettings(o, "route", o.label, "") {
			if f.field != "policy" && f.field != "pool" && schema.find("policy").field(f.field) == nil {
				all = append(all, f)
			}
		}
		if r.Pool >= 0 {
			all = append(all, setting{kind: "route", name: o.label, field: "pool", text: b.cfg.Pools[r.Pool].Name, schema: o.block.field("pool")})
		}
		for k := range policyFields {
			f := &policyFields[k]
			if v, ok := b.routeField(o, f.name); ok {
				text := v.text
				if f.list {
					text = cmp.Or(strings.Join(v.list, ", "), "none")
				}
				all = append(all, setting{kind: "route", name: o.label, field: f.name, text: text, num: v.num, schema: f})
			}
		}
	}
	for _, o := range b.blocksOf("memory") {
		there("memory", "")
		all = append(all, blockSettings(o, "memory", "", "")...)
	}
	for _, o := range b.blocksOf("fleet") {
		there("fleet", o.label)
		all = append(all, blockSettings(o, "fleet", o.label, "")...)
	}
	for i, o := range b.blocksByName("plugin") {
		there("plugin", o.label)
		for _, f := range blockSettings(o, "plugin", o.label, "") {
			if f.field == "file" {
				f.text = moduleLabel(f.text, b.cfg.Plugins[i].Module)
			}
			all = append(all, f)
		}
	}
	for _, o := range b.blocksOf("forward_auth") {
		there("forward_auth", o.label)
		all = append(all, nestedSettings(o, "forward_auth", o.label, "")...)
	}
	return all
}

// nestedSettings returns the settings of a block and, recursively, of the blocks in it.
func nestedSettings(o *parsedBlock, kind, name, in string) []setting {
	all := blockSettings(o, kind, name, in)
	routes := 0
	for _, s := range o.children {
		at := s.block.kind
		if s.block.kind == "route" { // the first match wins, so the position is part of the meaning
			at, routes = fmt.Sprintf("route %d %s", routes+1, s.label), routes+1
		} else if s.label != "" {
			at += " " + s.label
		}
		at = strings.TrimSpace(in + " " + at)
		all = append(all, setting{kind: kind, name: name, path: at})
		all = append(all, nestedSettings(s, kind, name, at)...)
	}
	return all
}

// blockSettings returns the settings of a block's own fields.
func blockSettings(o *parsedBlock, kind, name, in string) []setting {
	var all []setting
	for i := range o.block.fields {
		f := &o.block.fields[i]
		v, have := o.values[f.name]
		if !have {
			continue
		}
		x := setting{kind: kind, name: name, path: in, field: f.name, text: v.text, num: v.num, schema: f}
		switch {
		case f.list:
			x.text = strings.Join(v.list, ", ")
		case f.kind == kindHeaders:
			var parts []string
			for _, h := range v.headers {
				parts = append(parts, h[0]+": "+h[1])
			}
			x.text = strings.Join(parts, ", ")
		}
		if x.text == "" && (f.list || f.kind == kindHeaders) {
			continue // an empty list means the same as an omitted field
		}
		all = append(all, x)
	}
	return all
}
