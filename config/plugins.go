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

// maxModuleBytes bounds the size of a plug-in's module.
const maxModuleBytes = 8 << 20

// refuseConditions maps the values of refuse_when to plug-in failures.
var refuseConditions = map[string]advice.Failures{"fault": advice.OnFault, "benched": advice.OnBenched, "busy": advice.OnBusy}

// buildPlugins converts the plugin blocks and reads their modules. Errors when a module
// starts are not detected here, but by [plugin.LoadSet].
func (b *builder) buildPlugins() {
	orders := map[int]*parsedBlock{}
	for _, o := range b.blocksByName("plugin") {
		order := o.integer("order")
		if first := orders[order]; first != nil && o.isSet("order") {
			b.add("plugin-order", o.fieldRange("order"), "give each plug-in an order of its own", "plug-ins %q and %q have the same order", first.label, o.label).addRelated(first.fieldRange("order"))
		}
		orders[order] = o
		p := plugin.Spec{Name: o.label, Order: order, Seed: uint64(o.integer("seed")),
			Limits: plugin.Limits{Call: o.duration("time"), Start: o.duration("start_time"), PerSecond: int(o.num("calls")), Memory: int(o.num("memory")),
				HostCalls: o.integer("host_calls"), Counters: o.integer("counters"), LogBytes: int(o.num("log")), Instances: o.integer("instances"), Module: maxModuleBytes},
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
			if o.isSet(x[0]) && o.values[x[0]].at.Filename != "" && !slices.Contains(may, x[1]) {
				b.add("plugin-grant", o.fieldRange(x[0]), fmt.Sprintf("add %q to may, or take it out", x[1]), "plug-in %q may not %s, so that %s bounds nothing", o.label, x[1], x[0])
			}
		}
		for _, how := range o.list("refuse_when") {
			p.Grant.RefuseOn |= refuseConditions[how]
		}
		for i, name := range o.values["headers"].entries {
			canonical := http.CanonicalHeaderKey(name)
			switch {
			case name == "" || strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune("()<>@,;:\\\"/[]?={}", c) }):
				b.add("bad-header", o.values["headers"].itemRanges[i], `write names such as "X-Tenant"`, "%q is no name of a header", name)
			case advice.Secret(canonical) || looksSecret(name):
				b.add("plugin-secret", o.values["headers"].itemRanges[i], "take it out: plug-ins see no secrets", "the header %s holds a secret", canonical)
			default:
				p.Sight.Headers = append(p.Sight.Headers, canonical)
			}
		}
		if o.isSet("file") {
			p.Module = b.readModule(o)
		}
		b.cfg.Plugins = append(b.cfg.Plugins, p)
	}
}

// readModule reads and inspects the module of a plug-in. Its path is relative to the file
// that names it.
func (b *builder) readModule(o *parsedBlock) []byte {
	at, name := o.fieldRange("file"), o.text("file")
	k := slices.IndexFunc(b.files, func(f sourceFile) bool { return f.displayName == o.at.Filename })
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
	case err == nil && info.Size() > maxModuleBytes:
		err = fmt.Errorf("%d bytes, %d at most", info.Size(), maxModuleBytes)
	}
	var data []byte
	if err == nil {
		data, err = fs.ReadFile(from.root.FS, full)
	}
	if err != nil {
		b.add("plugin-file", at, "see to it that it is a file that can be read, and a module of a plug-in", "%q can't be read: %v", from.root.Show+full, withoutPath(err))
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

// routePlugins returns the plug-ins that a route lists, and whether it has a list at all.
func (b *builder) routePlugins(o *parsedBlock) (names []string, said bool) {
	v, ok := b.routeField(o, "plugins")
	return v.entries, ok
}

// checkUnusedPlugins reports plug-ins that no route uses.
func (b *builder) checkUnusedPlugins() {
	routes := b.blocksOf("route")
	if len(routes) == 0 || b.incomplete {
		return
	}
	used := map[string]bool{}
	for _, o := range routes {
		names, said := b.routePlugins(o)
		if !said {
			return // a route without a list uses all plug-ins
		}
		for _, name := range names {
			used[name] = true
		}
	}
	for _, o := range b.blocksByName("plugin") {
		if !used[o.label] {
			b.add("unused", o.at, "take it out, or add it to the plugins of a route", "no route has plug-in %q asked", o.label)
		}
	}
}

// moduleLabel returns a module's name with a digest of its contents, so that a diff shows a
// changed module under the same name.
func moduleLabel(name string, module []byte) string {
	sum := sha256.Sum256(module)
	return fmt.Sprintf("%s (%s)", name, hex.EncodeToString(sum[:4]))
}

// RefusePlugin adds an error to the report: a plug-in of the configuration can't be loaded.
func (r *Report) RefusePlugin(c *Config, name string, why error) {
	r.add("plugin-module", c.places["plugin "+name], "see madderdrum plugin inspect, and docs/plugins-abi.md for what a module needs", "%v", why)
}
