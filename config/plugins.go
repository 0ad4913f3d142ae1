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
		spec := plugin.Spec{Name: o.label, Order: order, Seed: uint64(o.integer("seed")),
			Limits: plugin.Limits{Call: o.duration("time"), Start: o.duration("start_time"), PerSecond: int(o.num("calls")), Memory: int(o.num("memory")),
				HostCalls: o.integer("host_calls"), Counters: o.integer("counters"), LogBytes: int(o.num("log")), Instances: o.integer("instances"), Module: maxModuleBytes},
			Sight: advice.Sight{Body: o.text("body") == "yes"}}
		allowed := o.list("may")
		spec.Grant.Refuse, spec.Grant.Label, spec.Grant.Tiers = slices.Contains(allowed, "refuse"), slices.Contains(allowed, "label"), slices.Contains(allowed, "tiers")
		spec.Grant.MostWaitMs = o.num("longest_wait") * 1000
		if slices.Contains(allowed, "lower") {
			spec.Grant.Lower = o.num("lower")
		}
		if slices.Contains(allowed, "raise") {
			spec.Grant.Raise = o.num("raise")
		}
		for _, bound := range [][2]string{{"longest_wait", "refuse"}, {"lower", "lower"}, {"raise", "raise"}} {
			if o.isSet(bound[0]) && o.values[bound[0]].at.Filename != "" && !slices.Contains(allowed, bound[1]) {
				b.add("plugin-grant", o.fieldRange(bound[0]), fmt.Sprintf("add %q to may, or take it out", bound[1]), "plug-in %q may not %s, so that %s bounds nothing", o.label, bound[1], bound[0])
			}
		}
		for _, condition := range o.list("refuse_when") {
			spec.Grant.RefuseOn |= refuseConditions[condition]
		}
		for i, name := range o.values["headers"].entries {
			canonical := http.CanonicalHeaderKey(name)
			switch {
			case name == "" || strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune("()<>@,;:\\\"/[]?={}", c) }):
				b.add("bad-header", o.values["headers"].itemRanges[i], `write names such as "X-Tenant"`, "%q is no name of a header", name)
			case advice.Secret(canonical) || looksSecret(name):
				b.add("plugin-secret", o.values["headers"].itemRanges[i], "take it out: plug-ins see no secrets", "the header %s holds a secret", canonical)
			default:
				spec.Sight.Headers = append(spec.Sight.Headers, canonical)
			}
		}
		if o.isSet("file") {
			spec.Module = b.readModule(o)
		}
		b.cfg.Plugins = append(b.cfg.Plugins, spec)
	}
}

// readModule reads and inspects the module of a plug-in. Its path is relative to the file
// that names it.
func (b *builder) readModule(o *parsedBlock) []byte {
	at, name := o.fieldRange("file"), o.text("file")
	index := slices.IndexFunc(b.files, func(f sourceFile) bool { return f.displayName == o.at.Filename })
	if index < 0 {
		return nil
	}
	file := b.files[index]
	fullPath := path.Join(path.Dir(file.name), name)
	if path.IsAbs(name) || !fs.ValidPath(fullPath) {
		b.add("plugin-file", at, "put the module into the folder of the first file or below, and write a path relative to this file", "%q is not below the folder of the first file", name)
		return nil
	}
	info, err := fs.Stat(file.root.FS, fullPath)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		b.add("plugin-file", at, "write a path relative to this file, or build the module (madderdrum plugin build)", "there is no file %q", file.root.DisplayPrefix+fullPath)
		return nil
	case err == nil && info.IsDir():
		err = errors.New("a folder")
	case err == nil && info.Size() > maxModuleBytes:
		err = fmt.Errorf("%d bytes, %d at most", info.Size(), maxModuleBytes)
	}
	var data []byte
	if err == nil {
		data, err = fs.ReadFile(file.root.FS, fullPath)
	}
	if err != nil {
		b.add("plugin-file", at, "see to it that it is a file that can be read, and a module of a plug-in", "%q can't be read: %v", file.root.DisplayPrefix+fullPath, withoutPath(err))
		return nil
	}
	inspection, err := plugin.Inspect(context.Background(), data)
	if err == nil {
		err = inspection.Problem
	}
	if err != nil {
		reason, _, _ := strings.Cut(err.Error(), "\n")
		b.add("plugin-module", at, "see madderdrum plugin inspect, and docs/plugins-abi.md for what a module needs", "plug-in %q can't be loaded: %s", o.label, reason)
		return nil
	}
	return data
}

// routePlugins returns the plug-ins that a route lists, and whether it has a list at all.
func (b *builder) routePlugins(o *parsedBlock) (names []string, listed bool) {
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
		names, listed := b.routePlugins(o)
		if !listed {
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
