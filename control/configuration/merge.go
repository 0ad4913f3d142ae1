package configuration

import (
	"bytes"
	"slices"

	"github.com/valyala/fastjson"
)

// merge applies a change of named items to the current configuration and returns the resulting text.
func merge(current, change []byte) ([]byte, *Fault) {
	if current == nil {
		return nil, &Fault{Code: WrongBase, Wrong: "there is no configuration yet", Fix: "send a whole one first"}
	}
	doc, err := fastjson.ParseBytes(current)
	if err != nil {
		return nil, &Fault{Code: Unreadable, Wrong: "the current configuration can't be read"}
	}
	changeDoc, err := fastjson.ParseBytes(change)
	if err != nil {
		return nil, &Fault{Code: Unreadable, Wrong: "the change is not JSON", Fix: "send it whole"}
	}
	var a fastjson.Arena
	m := merger{doc: doc, arena: &a}
	if upserts := changeDoc.Get("upsert"); upserts != nil {
		o, err := upserts.Object()
		if err != nil {
			return nil, &Fault{Code: Unreadable, Where: "upsert", Wrong: "is not an object", Fix: "write lists by name"}
		}
		o.Visit(func(k []byte, v *fastjson.Value) { m.upsert(string(k), v) })
	}
	if removals := changeDoc.Get("remove"); removals != nil {
		o, err := removals.Object()
		if err != nil {
			return nil, &Fault{Code: Unreadable, Where: "remove", Wrong: "is not an object", Fix: "write lists of names"}
		}
		o.Visit(func(k []byte, v *fastjson.Value) { m.remove(string(k), v) })
	}
	if m.fault != nil {
		return nil, m.fault
	}
	for _, key := range []string{"config_version", "base_revision"} {
		doc.Set(key, changeDoc.Get(key))
	}
	return doc.MarshalTo(nil), nil
}

// merger modifies a configuration document and keeps the first fault found.
type merger struct {
	doc   *fastjson.Value
	arena *fastjson.Arena
	fault *Fault
}

// fail records a fault unless one was found before.
func (m *merger) fail(where, wrong string) {
	if m.fault == nil {
		m.fault = &Fault{Code: Unreadable, Where: where, Wrong: wrong, Fix: "write lists of limits, tenants, listeners or clusters"}
	}
}

// upsert adds or replaces the items of one top-level list.
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
		m.upsertItems(m.doc, "clusters", "name", items.GetArray())
	case "tenants":
		m.upsertItems(m.doc, "tenants", "name", items.GetArray())
	case "listeners":
		for _, l := range items.GetArray() {
			for _, rule := range l.GetArray("policy") {
				m.rule(l.GetStringBytes("hostname"), rule)
			}
			if len(l.GetArray("policy")) == 0 {
				m.upsertItems(m.doc, "listeners", "hostname", []*fastjson.Value{l})
			}
		}
	default:
		m.fail("upsert."+list, "is not a list that can be changed")
	}
}

// rule replaces the rule of the same name of a host. If the host has none, the rule is added, and rules of that name
// under other hosts are removed, so that a rule can be moved between hosts.
func (m *merger) rule(host []byte, rule *fastjson.Value) {
	name := rule.GetStringBytes("name")
	listener := m.listenerWithRule(host, name)
	if listener == nil {
		for _, other := range m.doc.GetArray("listeners") {
			m.removeItem(other, "policy", "name", name)
		}
		listener = m.listenerOrNew(host)
	}
	m.upsertItems(listener, "policy", "name", []*fastjson.Value{rule})
}

// listenerWithRule returns the first listener of a host that has a rule with a name, or nil.
func (m *merger) listenerWithRule(host, name []byte) *fastjson.Value {
	for _, listener := range m.doc.GetArray("listeners") {
		if !bytes.Equal(listener.GetStringBytes("hostname"), host) {
			continue
		}
		for _, rule := range listener.GetArray("policy") {
			if bytes.Equal(rule.GetStringBytes("name"), name) {
				return listener
			}
		}
	}
	return nil
}

// listenerOrNew returns the last listener of a host. It is added if there is none.
func (m *merger) listenerOrNew(host []byte) *fastjson.Value {
	for _, listener := range slices.Backward(m.doc.GetArray("listeners")) {
		if bytes.Equal(listener.GetStringBytes("hostname"), host) {
			return listener
		}
	}
	listener := m.arena.NewObject()
	listener.Set("hostname", m.arena.NewStringBytes(host))
	listener.Set("policy", m.arena.NewArray())
	if m.doc.Get("listeners") == nil {
		m.doc.Set("listeners", m.arena.NewArray())
	}
	m.doc.Get("listeners").SetArrayItem(len(m.doc.GetArray("listeners")), listener)
	return listener
}

// upsertItems adds items to a list of parent, or replaces those with the same value of key.
func (m *merger) upsertItems(parent *fastjson.Value, list, key string, items []*fastjson.Value) {
	if parent.Get(list) == nil || parent.Get(list).Type() != fastjson.TypeArray {
		parent.Set(list, m.arena.NewArray())
	}
	for _, item := range items {
		at := len(parent.GetArray(list))
		for i, x := range parent.GetArray(list) {
			if bytes.Equal(x.GetStringBytes(key), item.GetStringBytes(key)) {
				at = i
				break
			}
		}
		parent.Get(list).SetArrayItem(at, item)
	}
}

// removeItem removes the item whose key has the value name from a list of parent.
func (m *merger) removeItem(parent *fastjson.Value, list, key string, name []byte) {
	remaining := m.arena.NewArray()
	n, found := 0, false
	for _, x := range parent.GetArray(list) {
		if bytes.Equal(x.GetStringBytes(key), name) {
			found = true
			continue
		}
		remaining.SetArrayItem(n, x)
		n++
	}
	if found {
		parent.Set(list, remaining)
	}
}

// remove removes the named items from one top-level list.
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
				m.removeItem(l, "policy", "name", name)
			}
		case "clusters", "services":
			m.removeItem(m.doc, "clusters", "name", name)
		case "tenants":
			m.removeItem(m.doc, "tenants", "name", name)
		case "listeners", "hosts":
			m.removeItem(m.doc, "listeners", "hostname", name)
		default:
			m.fail("remove."+list, "is not a list that can be changed")
		}
	}
}
