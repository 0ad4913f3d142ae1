//go:build !platform

package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/status"
	"example.org/madderdrum/plugin"
)

// plugins are those that a running limiter has loaded.
type plugins struct {
	log   *slog.Logger
	cache *plugin.Cache
	mu    sync.Mutex // round what follows
	now   *plugin.Set
}

// newPlugins has none loaded yet. Compiled modules are kept in a folder, or if it is empty
// in memory.
func newPlugins(folder string, log *slog.Logger) (*plugins, error) {
	cache, err := plugin.NewCache(folder)
	if err != nil {
		return nil, fmt.Errorf("--plugin-cache %s: %w", folder, err)
	}
	return &plugins{log: log, cache: cache, now: &plugin.Set{}}, nil
}

// set are those that are loaded.
func (p *plugins) set() *plugin.Set {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

// prepare loads the plug-ins of a configuration beside those that serve.
func (p *plugins) prepare(c *config.Config) (*plugin.Set, error) {
	set, err := plugin.LoadSet(context.Background(), c.Plugins, p.set(), plugin.SetOptions{Cache: p.cache, Log: func(line string) { p.log.Info(line) }})
	if err != nil {
		return nil, errors.New(strings.Join(placed(c, err), "\n"))
	}
	return set, nil
}

// load loads those of a configuration.
func (p *plugins) load(c *config.Config) error {
	set, err := p.prepare(c)
	if err == nil {
		p.swap(set)
	}
	return err
}

// swap has others serve, and unloads those that are not taken over.
func (p *plugins) swap(next *plugin.Set) {
	p.mu.Lock()
	old := p.now
	p.now = next
	p.mu.Unlock()
	if err := old.Leave(next); err != nil {
		p.log.Warn("a plug-in was not unloaded in order", "err", err)
	}
}

func (p *plugins) close() {
	p.swap(&plugin.Set{})
	if err := p.cache.Close(); err != nil {
		p.log.Warn("the cache of plug-ins was not closed in order", "err", err)
	}
}

// reset lets a benched plug-in back.
func (p *plugins) reset(name string) bool {
	ok := p.set().Reset(name)
	if ok {
		p.log.Info("an operator lets a plug-in back", "plugin", name)
	}
	return ok
}

// pluginState is what operators see of plug-ins.
func (r *reloader) pluginState() status.PluginState {
	r.mu.Lock()
	c := r.cfg
	r.mu.Unlock()
	s := status.PluginState{Limiter: c.Fleet.Limiters[r.position].Name, Plugins: []status.Plugin{}, Labels: []status.Label{}}
	for _, x := range r.plugins.set().States() {
		s.Plugins = append(s.Plugins, status.Plugin{Name: x.Name, Calls: x.Calls, Faults: x.Faults, TimesBenched: x.Benched, Skipped: x.Skipped, Busy: x.Busy,
			BenchedForMs: x.BenchedFor.Milliseconds(), Counters: x.Counters, Instances: x.Instances, Refused: x.Refused, LastFault: x.LastFault})
	}
	for _, x := range r.node.Labels() {
		s.Labels = append(s.Labels, status.Label{Label: x.Label, Served: x.Served, Refused: x.Refused, Failed: x.Failed})
	}
	return s
}

// placed are the lines of an error of loading, each with the place of its plug-in.
func placed(c *config.Config, err error) (lines []string) {
	for _, e := range plugin.LoadErrors(err) {
		lines = append(lines, fmt.Sprintf("%s: error: %v; see madderdrum plugin inspect and docs/plugins-abi.md", c.Place("plugin", e.Name), e))
	}
	return lines
}

// tryPlugins loads the plug-ins of a configuration once, and adds to its report those that
// can't be loaded.
func tryPlugins(c *config.Config, report *config.Report) {
	set, err := plugin.LoadSet(context.Background(), c.Plugins, nil, plugin.SetOptions{})
	for _, e := range plugin.LoadErrors(err) {
		report.RefusePlugin(c, e.Name, e)
	}
	if set != nil {
		set.Leave(nil)
	}
}
