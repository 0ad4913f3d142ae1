package configuration

import (
	"bytes"

	"github.com/valyala/fastjson"
)

// merge applies a change of named items to a configuration.
func merge(current, change []byte) ([]byte, *Fault) {
	if current == nil {
		return nil, &Fault{Code: WrongBase, Wrong: "there is no configuration yet", Fix: "send a whole one first"}
	}
	doc, err := fastjson.ParseBytes(current)
	if err != nil {
		return nil, &Fault{Code: Unreadable, Wrong: "the current configuration can't be read"}
	}
	c, err := fastjson.ParseBytes(change)
	if err != nil {
		return nil, &Fault{Code: Unreadable, Wrong: "the change is not JSON", Fix: "send it whole"}
	}
	var a fastjson.Arena
	m := merger{doc: doc, arena: &a}
	if up := c.Get("upsert"); up != nil {
		o, err := up.Object()
		if err != nil {
			return nil, &Fault{Code: Unreadable, Where: "upsert", Wrong: "is not an object", Fix: "write lists by name"}
		}
		o.Visit(func(k []byte, v *fastjson.Value) { m.upsert(string(k), v) })
	}
	if rm := c.Get("remove"); rm != nil {
		o, err := rm.Object()
		if err != nil {
			return nil, &Fault{Code: Unreadable, Where: "remove", Wrong: "is not an object", Fix: "write lists of names"}
		}
		o.Visit(func(k []byte, v *fastjson.Value) { m.remove(string(k), v) })
	}
	if m.fault != nil {
		return nil, m.fault
	}
	for _, key := range []string{"config_version", "base_revision"} {
		doc.Set(key, c.Get(key))
	}
	return doc.MarshalTo(nil), nil
}

type merger struct {
	doc   *fastjson.Value
	arena *fastjson.Arena
	fault *Fault
}

func (m *merger) fail(where, wrong string) {
	if m.fault == nil {
		m.fault = &Fault{Code: Unreadable, Where: where, Wrong: wrong, Fix: "write lists of limits, tenants, listeners or clusters"}
	}
}

func (m *merger) upsert(list string, items *fastjson.Value) {
	if list == "limits" && items.Type() == fastjson.TypeObject {
		m.doc.Set("limits", items)
		return
	}
	if items.Type() != fastjson.TypeArray {
		m.fail("upsert."+list, "is not a list")
		return
	}
	switch list {
	case "clusters", "services":
		m.put(m.doc, "clusters", "name", items.GetArray())
	case "tenants":
		m.put(m.doc, "tenants", "name", items.GetArray())
	case "listeners":
		for _, l := range items.GetArray() {
			for _, rule := range l.GetArray("policy") {
				m.rule(l.GetStringBytes("hostname"), rule)
			}
			if len(l.GetArray("policy")) == 0 {
				m.put(m.doc, "listeners", "hostname", []*fastjson.Value{l})
			}
		}
	default:
		m.fail("upsert."+list, "is not a list that can be changed")
	}
}

// rule adds a rule to a host, or replaces the one of its name, which may stand at another host.
func (m *merger) rule(host []byte, rule *fastjson.Value) {
	name := rule.GetStringBytes("name")
	var to *fastjson.Value
	for _, l := range m.doc.GetArray("listeners") {
		if bytes.Equal(l.GetStringBytes("hostname"), host) {
			to = l
			continue
		}
		m.drop(l, "policy", "name", name)
	}
	if to == nil {
		to = m.arena.NewObject()
		to.Set("hostname", m.arena.NewStringBytes(host))
		to.Set("policy", m.arena.NewArray())
		if m.doc.Get("listeners") == nil {
			m.doc.Set("listeners", m.arena.NewArray())
		}
		m.doc.Get("listeners").SetArrayItem(len(m.doc.GetArray("listeners")), to)
	}
	m.put(to, "policy", "name", []*fastjson.Value{rule})
}

// put adds items to a list, or replaces those of the same name.
func (m *merger) put(in *fastjson.Value, list, by string, items []*fastjson.Value) {
	if in.Get(list) == nil || in.Get(list).Type() != fastjson.TypeArray {
		in.Set(list, m.arena.NewArray())
	}
	for _, item := range items {
		at := len(in.GetArray(list))
		for i, x := range in.GetArray(list) {
			if bytes.Equal(x.GetStringBytes(by), item.GetStringBytes(by)) {
				at = i
				break
			}
		}
		in.Get(list).SetArrayItem(at, item)
	}
}

// drop removes an item of a list by its name.
func (m *merger) drop(in *fastjson.Value, list, by string, name []byte) {
	left := m.arena.NewArray()
	n, found := 0, false
	for _, x := range in.GetArray(list) {
		if bytes.Equal(x.GetStringBytes(by), name) {
			found = true
			continue
		}
		left.SetArrayItem(n, x)
		n++
	}
	if found {
		in.Set(list, left)
	}
}

func (m *merger) remove(list string, names *fastjson.Value) {
	if names.Type() != fastjson.TypeArray {
		m.fail("remove."+list, "is not a list of names")
		return
	}
	for _, x := range names.GetArray() {
		name := x.GetStringBytes()
		switch list {
		case "routes", "policy", "rules":
			for _, l := range m.doc.GetArray("listeners") {
				m.drop(l, "policy", "name", name)
			}
		case "clusters", "services":
			m.drop(m.doc, "clusters", "name", name)
		case "tenants":
			m.drop(m.doc, "tenants", "name", name)
		case "listeners", "hosts":
			m.drop(m.doc, "listeners", "hostname", name)
		default:
			m.fail("remove."+list, "is not a list that can be changed")
		}
	}
}
