package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"path"
	"slices"
	"strings"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/plugin"
)

// mostModule bounds the module of a plug-in, in bytes.
const mostModule = 8 << 20

// failures are the ways of failing by their words.
var failures = map[string]advice.Failures{"fault": advice.OnFault, "benched": advice.OnBenched, "busy": advice.OnBusy}

// plugins reads the blocks and the modules that they name. What a module does when it is
// started is not looked at here: [plugin.LoadSet] refuses it then.
func (b *builder) plugins() {
	orders := map[int]*object{}
	for _, o := range b.sorted("plugin") {
		order := o.whole("order")
		if first := orders[order]; first != nil && o.given("order") {
			b.add("plugin-order", o.place("order"), "give each plug-in an order of its own", "plug-ins %q and %q have the same order", first.label, o.label).also(first.place("order"))
		}
		orders[order] = o
		p := plugin.Spec{Name: o.label, Order: order, Seed: uint64(o.whole("seed")),
			Limits: plugin.Limits{Call: o.dur("time"), Start: o.dur("start_time"), PerSecond: int(o.num("calls")), Memory: int(o.num("memory")),
				HostCalls: o.whole("host_calls"), Counters: o.whole("counters"), LogBytes: int(o.num("log")), Instances: o.whole("instances"), Module: mostModule},
			Sight: advice.Sight{Body: o.text("body") == "yes"}}
		may := o.list("may")
		p.Grant.Refuse, p.Grant.Label, p.Grant.Tiers = slices.Contains(may, "refuse"), slices.Contains(may, "label"), slices.Contains(may, "tiers")
		p.Grant.MostWaitMs = o.num("longest_wait") * 1000
		if slices.Contains(may, "lower") {
			p.Grant.Lower = o.num("lower")
		}
		if slices.Contains(may, "raise") {
			p.Grant.Raise = o.num("raise")
		}
		for _, x := range [][2]string{{"longest_wait", "refuse"}, {"lower", "lower"}, {"raise", "raise"}} {
			if o.given(x[0]) && o.vals[x[0]].at.Filename != "" && !slices.Contains(may, x[1]) {
				b.add("plugin-grant", o.place(x[0]), fmt.Sprintf("add %q to may, or take it out", x[1]), "plug-in %q may not %s, so that %s bounds nothing", o.label, x[1], x[0])
			}
		}
		for _, how := range o.list("refuse_when") {
			p.Grant.RefuseOn |= failures[how]
		}
		for i, name := range o.vals["headers"].raw {
			canonical := http.CanonicalHeaderKey(name)
			switch {
			case name == "" || strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune("()<>@,;:\\\"/[]?={}", c) }):
				b.add("bad-header", o.vals["headers"].items[i], `write names such as "X-Tenant"`, "%q is no name of a header", name)
			case advice.Secret(canonical) || secretName(name):
				b.add("plugin-secret", o.vals["headers"].items[i], "take it out: plug-ins see no secrets", "the header %s holds a secret", canonical)
			default:
				p.Sight.Headers = append(p.Sight.Headers, canonical)
			}
		}
		if o.given("file") {
			p.Module = b.module(o)
		}
		b.c.Plugins = append(b.c.Plugins, p)
	}
}

// module reads the module of a plug-in, relative to the file that names it.
func (b *builder) module(o *object) []byte {
	at, name := o.place("file"), o.text("file")
	k := slices.IndexFunc(b.files, func(f source) bool { return f.show == o.at.Filename })
	if k < 0 {
		return nil
	}
	from := b.files[k]
	full := path.Join(path.Dir(from.name), name)
	if path.IsAbs(name) || !fs.ValidPath(full) {
		b.add("plugin-file", at, "put the module into the folder of the first file or below, and write a path relative to this file", "%q is not below the folder of the first file", name)
		return nil
	}
	info, err := fs.Stat(from.root.FS, full)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		b.add("plugin-file", at, "write a path relative to this file, or build the module (madderdrum plugin build)", "there is no file %q", from.root.Show+full)
		return nil
	case err == nil && info.IsDir():
		err = errors.New("a folder")
	case err == nil && info.Size() > mostModule:
		err = fmt.Errorf("%d bytes, %d at most", info.Size(), mostModule)
	}
	var data []byte
	if err == nil {
		data, err = fs.ReadFile(from.root.FS, full)
	}
	if err != nil {
		b.add("plugin-file", at, "see to it that it is a file that can be read, and a module of a plug-in", "%q can't be read: %v", from.root.Show+full, cause(err))
		return nil
	}
	r, err := plugin.Inspect(context.Background(), data)
	if err == nil {
		err = r.Problem
	}
	if err != nil {
		why, _, _ := strings.Cut(err.Error(), "\n")
		b.add("plugin-module", at, "see madderdrum plugin inspect, and docs/plugins-abi.md for what a module needs", "plug-in %q can't be loaded: %s", o.label, why)
		return nil
	}
	return data
}

// askedBy are the plug-ins that a route has asked, and whether it says so.
func (b *builder) askedBy(o *object) (names []string, said bool) {
	v, ok := b.merged(o, "plugins")
	return v.raw, ok
}

// unusedPlugins tells of plug-ins that no route has asked.
func (b *builder) unusedPlugins() {
	routes := b.each("route")
	if len(routes) == 0 || b.partial {
		return
	}
	used := map[string]bool{}
	for _, o := range routes {
		names, said := b.askedBy(o)
		if !said {
			return // all are asked
		}
		for _, name := range names {
			used[name] = true
		}
	}
	for _, o := range b.sorted("plugin") {
		if !used[o.label] {
			b.add("unused", o.at, "take it out, or add it to the plugins of a route", "no route has plug-in %q asked", o.label)
		}
	}
}

// moduleSum is a module in a difference: its name alone does not tell that it is another.
func moduleSum(name string, module []byte) string {
	sum := sha256.Sum256(module)
	return fmt.Sprintf("%s (%s)", name, hex.EncodeToString(sum[:4]))
}

// RefusePlugin adds to a report that a plug-in of its configuration can't be loaded.
func (r *Report) RefusePlugin(c *Config, name string, why error) {
	r.add("plugin-module", c.places["plugin "+name], "see madderdrum plugin inspect, and docs/plugins-abi.md for what a module needs", "%v", why)
}
