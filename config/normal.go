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
	addBlock := func(kind, name string) { all = append(all, setting{kind: kind, name: name}) }
	for _, kind := range []string{"room", "class", "plan", "limiter", "listener"} {
		for _, o := range b.blocksOf(kind) {
			addBlock(kind, o.label)
			all = append(all, blockSettings(o, kind, o.label, "")...)
		}
	}
	for _, kind := range []string{"rules", "network", "traffic", "limits"} {
		all = append(all, blockSettings(b.singleton(kind), kind, "", "")...)
	}
	boxes := map[*parsedBlock][]int{}
	for i, box := range b.cfg.Fleet.Boxes {
		boxes[b.boxBlocks[box.Name]] = append(boxes[b.boxBlocks[box.Name]], i)
	}
	for _, o := range b.blocksOf("box") {
		base := blockSettings(o, "box", o.label, "")
		base = slices.DeleteFunc(base, func(f setting) bool {
			return slices.Contains([]string{"count", "pod", "pod_size", "dial"}, f.field)
		})
		for _, i := range boxes[o] {
			box := b.cfg.Fleet.Boxes[i]
			addBlock("box", box.Name)
			for _, f := range base {
				f.name = box.Name
				all = append(all, f)
			}
			all = append(all, setting{kind: "box", name: box.Name, field: "pod", text: fmt.Sprint(box.Pod), num: float64(box.Pod), schema: o.block.field("pod")})
			if box.Dial != "" {
				all = append(all, setting{kind: "box", name: box.Name, field: "dial", text: box.Dial, schema: o.block.field("dial")})
			}
		}
	}
	for _, p := range b.cfg.Pools {
		addBlock("pool", p.Name)
		var names []string
		for _, i := range p.Boxes {
			names = append(names, b.cfg.Fleet.Boxes[i].Name)
		}
		slices.Sort(names)
		if p.Discovery != "" {
			all = append(all, setting{kind: "pool", name: p.Name, field: "discovery", text: p.Discovery, schema: schema.find("pool").field("discovery")})
		}
		for _, tierBlock := range b.byName["pool"][p.Name].children {
			all = append(all, setting{kind: "pool", name: p.Name, path: "tier " + tierBlock.label})
			all = append(all, blockSettings(tierBlock, "pool", p.Name, "tier "+tierBlock.label)...)
		}
		all = append(all, setting{kind: "pool", name: p.Name, field: "members", text: strings.Join(names, ", "), schema: schema.find("pool").field("members")})
	}
	for i, o := range b.blocksByName("route") {
		addBlock("route", o.label)
		resolved := b.cfg.Routes[i]
		for _, f := range blockSettings(o, "route", o.label, "") {
			if f.field != "policy" && f.field != "pool" && schema.find("policy").field(f.field) == nil {
				all = append(all, f)
			}
		}
		if resolved.Pool >= 0 {
			all = append(all, setting{kind: "route", name: o.label, field: "pool", text: b.cfg.Pools[resolved.Pool].Name, schema: o.block.field("pool")})
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
		addBlock("memory", "")
		all = append(all, blockSettings(o, "memory", "", "")...)
	}
	for _, o := range b.blocksOf("fleet") {
		addBlock("fleet", o.label)
		all = append(all, blockSettings(o, "fleet", o.label, "")...)
	}
	for i, o := range b.blocksByName("plugin") {
		addBlock("plugin", o.label)
		for _, f := range blockSettings(o, "plugin", o.label, "") {
			if f.field == "file" {
				f.text = moduleLabel(f.text, b.cfg.Plugins[i].Module)
			}
			all = append(all, f)
		}
	}
	for _, o := range b.blocksOf("forward_auth") {
		addBlock("forward_auth", o.label)
		all = append(all, nestedSettings(o, "forward_auth", o.label, "")...)
	}
	return all
}

// nestedSettings returns the settings of a block and, recursively, of the blocks in it.
func nestedSettings(o *parsedBlock, kind, name, parentPath string) []setting {
	all := blockSettings(o, kind, name, parentPath)
	routes := 0
	for _, child := range o.children {
		childPath := child.block.kind
		if child.block.kind == "route" { // the first match wins, so the position is part of the meaning
			childPath, routes = fmt.Sprintf("route %d %s", routes+1, child.label), routes+1
		} else if child.label != "" {
			childPath += " " + child.label
		}
		childPath = strings.TrimSpace(parentPath + " " + childPath)
		all = append(all, setting{kind: kind, name: name, path: childPath})
		all = append(all, nestedSettings(child, kind, name, childPath)...)
	}
	return all
}

// blockSettings returns the settings of a block's own fields.
func blockSettings(o *parsedBlock, kind, name, path string) []setting {
	var all []setting
	for i := range o.block.fields {
		f := &o.block.fields[i]
		v, ok := o.values[f.name]
		if !ok {
			continue
		}
		entry := setting{kind: kind, name: name, path: path, field: f.name, text: v.text, num: v.num, schema: f}
		switch {
		case f.list:
			entry.text = strings.Join(v.list, ", ")
		case f.kind == kindHeaders:
			var parts []string
			for _, h := range v.headers {
				parts = append(parts, h[0]+": "+h[1])
			}
			entry.text = strings.Join(parts, ", ")
		}
		if entry.text == "" && (f.list || f.kind == kindHeaders) {
			continue // an empty list means the same as an omitted field
		}
		all = append(all, entry)
	}
	return all
}
