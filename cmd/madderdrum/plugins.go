//go:build !platform

package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/status"
	"example.org/madderdrum/plugin"
)

// plugins holds the plug-ins that a running limiter has loaded, and the cache of compiled modules.
type plugins struct {
	log    *slog.Logger
	cache  *plugin.Cache
	mu     sync.Mutex // guards active
	active *plugin.Set
}

// newPlugins returns a plugins without a loaded plug-in. Compiled modules are cached in the
// folder, or in memory if it is "".
func newPlugins(folder string, log *slog.Logger) (*plugins, error) {
	cache, err := plugin.NewCache(folder)
	if err != nil {
		return nil, fmt.Errorf("--plugin-cache %s: %w", folder, err)
	}
	return &plugins{log: log, cache: cache, active: &plugin.Set{}}, nil
}

// activeSet returns the plug-ins that currently serve requests.
func (p *plugins) activeSet() *plugin.Set {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

// prepare loads the plug-ins of a configuration while the active ones keep serving.
func (p *plugins) prepare(c *config.Config) (*plugin.Set, error) {
	set, err := plugin.LoadSet(context.Background(), c.Plugins, p.activeSet(), plugin.SetOptions{Cache: p.cache, Log: func(line string) { p.log.Info(line) }})
	if err != nil {
		return nil, errors.New(strings.Join(loadErrorLines(c, err), "\n"))
	}
	return set, nil
}

// load loads the plug-ins of a configuration and makes them active.
func (p *plugins) load(c *config.Config) error {
	set, err := p.prepare(c)
	if err == nil {
		p.swap(set)
	}
	return err
}

// swap makes another set active and unloads the plug-ins that it does not reuse.
func (p *plugins) swap(next *plugin.Set) {
	p.mu.Lock()
	old := p.active
	p.active = next
	p.mu.Unlock()
	if err := old.CloseUnused(next); err != nil {
		p.log.Warn("unloading a plug-in failed", "err", err)
	}
}

func (p *plugins) close() {
	p.swap(&plugin.Set{})
	if err := p.cache.Close(); err != nil {
		p.log.Warn("closing the plug-in cache failed", "err", err)
	}
}

// reset re-enables a benched plug-in; it reports whether there is one of that name.
func (p *plugins) reset(name string) bool {
	ok := p.activeSet().Reset(name)
	if ok {
		p.log.Info("plug-in re-enabled by an operator", "plugin", name)
	}
	return ok
}

// pluginState returns the state of all plug-ins and labels for the status address.
func (r *reloader) pluginState() status.PluginState {
	r.mu.Lock()
	c := r.cfg
	r.mu.Unlock()
	s := status.PluginState{Limiter: c.Fleet.Limiters[r.position].Name, Plugins: []status.Plugin{}, Labels: []status.Label{}}
	for _, x := range r.plugins.activeSet().States() {
		s.Plugins = append(s.Plugins, status.Plugin{Name: x.Name, Calls: x.Calls, Faults: x.Faults, TimesBenched: x.Benched, Skipped: x.Skipped, Busy: x.Busy,
			BenchedForMs: x.BenchedFor.Milliseconds(), Counters: x.Counters, Instances: x.Instances, Refused: x.Refused, LastFault: x.LastFault})
	}
	for _, x := range r.node.Labels() {
		s.Labels = append(s.Labels, status.Label{Label: x.Label, Served: x.Served, Refused: x.Refused, Failed: x.Failed})
	}
	return s
}

// loadErrorLines formats a load error as one line for each plug-in, with its position in the configuration.
func loadErrorLines(c *config.Config, err error) (lines []string) {
	for _, e := range plugin.LoadErrors(err) {
		lines = append(lines, fmt.Sprintf("%s: error: %v; see madderdrum plugin inspect and docs/plugins-abi.md", c.Place("plugin", e.Name), e))
	}
	return lines
}

// checkPlugins loads the plug-ins of a configuration once and adds those that can't be
// loaded to its report.
func checkPlugins(c *config.Config, report *config.Report) {
	set, err := plugin.LoadSet(context.Background(), c.Plugins, nil, plugin.SetOptions{})
	for _, e := range plugin.LoadErrors(err) {
		report.RefusePlugin(c, e.Name, e)
	}
	if set != nil {
		set.CloseUnused(nil)
	}
}

// unrestrictedGrant permits every kind of advice; replays use it for modules without a plugin block.
var unrestrictedGrant = advice.Grant{Refuse: true, MostWaitMs: 1000, Lower: advice.LeastFactor, Raise: advice.MostFactor, Label: true, Tiers: true}

// loadReplayPlugins reads plug-ins from modules and configuration files. A file that is no
// complete configuration by itself is read after the fleet's file.
func loadReplayPlugins(paths []string, fleet string) (all []plugin.Spec, err error) {
	for _, path := range paths {
		if filepath.Ext(path) == ".hcl" {
			cfg, err := (&configFiles{Files: []string{path}}).load()
			if err != nil && fleet != "" {
				cfg, err = (&configFiles{Files: []string{fleet, path}}).load()
			}
			if err != nil {
				return nil, fmt.Errorf("--plugin %s (a file that is no whole configuration needs --fleet): %w", path, err)
			}
			if len(cfg.Plugins) == 0 {
				return nil, fmt.Errorf("--plugin %s: it has no plugin block", path)
			}
			all = append(all, cfg.Plugins...)
			continue
		}
		data, err := (&moduleFile{Module: path}).read()
		if err != nil {
			return nil, fmt.Errorf("--plugin: %w", err)
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		all = append(all, plugin.Spec{Name: name, Order: len(all) + 1, Module: data, Seed: 1, Grant: unrestrictedGrant, Limits: plugin.Limits{Memory: 16 << 20}})
	}
	names := map[string]bool{}
	for i := range all {
		if names[all[i].Name] {
			return nil, fmt.Errorf("--plugin: two plug-ins are called %q", all[i].Name)
		}
		names[all[i].Name] = true
	}
	set, err := plugin.LoadSet(context.Background(), all, nil, plugin.SetOptions{}) // reports errors before the replay starts
	if err != nil {
		return nil, fmt.Errorf("--plugin: %w", err)
	}
	return all, set.CloseUnused(nil)
}
