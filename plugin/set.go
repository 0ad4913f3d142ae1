package plugin

import (
	"cmp"
	"context"
	"crypto/sha256"
	"errors"
	"slices"
	"time"

	"example.org/madderdrum/advice"
)

// Spec is the configuration of one plug-in.
type Spec struct {
	Name   string
	Order  int // plug-ins are called in ascending order; no two are equal
	Module []byte
	Limits Limits
	Seed   uint64
	Grant  advice.Grant
	Sight  advice.Sight
}

// Set holds the loaded plug-ins of one version of the configuration. It is immutable and its
// methods are safe for concurrent use.
type Set struct {
	loaded []loaded // in the order of Spec.Order
}

// loaded is a plug-in of a set with the configuration that it was loaded from.
type loaded struct {
	Member
	name     string
	identity identity
}

// identity is everything that a loaded plug-in depends on. A plug-in whose identity is unchanged
// by a reload keeps running, with its counters and its breaker.
type identity struct {
	sum    [sha256.Size]byte
	limits Limits
	seed   uint64
	body   bool
}

// SetOptions configures LoadSet; it applies to all plug-ins of the set.
type SetOptions struct {
	Log   func(line string)
	Now   func() time.Duration // nil: real time
	Cache *Cache               // nil: modules are compiled at each load
	Wait  bool                 // see Options.Wait
}

// LoadError reports that the plug-in called Name can't be loaded.
type LoadError struct {
	Name string
	err  error
}

func (e *LoadError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.err }

// LoadErrors extracts the errors from one that LoadSet returned, one per plug-in.
func LoadErrors(err error) (all []*LoadError) {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range many.Unwrap() {
			var one *LoadError
			if errors.As(e, &one) {
				all = append(all, one)
			}
		}
	}
	return all
}

// LoadSet loads the plug-ins of a configuration. It reuses those plug-ins of the previous set
// whose module, limits, seed and access to bodies are unchanged. An error names every plug-in
// that can't be loaded; the previous set stays usable then.
func LoadSet(ctx context.Context, specs []Spec, previous *Set, o SetOptions) (*Set, error) {
	s := &Set{}
	var started []*Plugin
	var errs []error
	for i := range specs {
		spec := &specs[i]
		entry := loaded{name: spec.Name, identity: identity{sha256.Sum256(spec.Module), spec.Limits.withDefaults(Defaults()), spec.Seed, spec.Sight.Body}}
		entry.Grant, entry.Sight = spec.Grant, spec.Sight
		if entry.Plugin = previous.find(spec.Name, entry.identity); entry.Plugin == nil {
			p, err := Load(ctx, spec.Module, Options{Name: spec.Name, Limits: spec.Limits, Seed: spec.Seed, Body: spec.Sight.Body, Now: o.Now, Log: o.Log, Cache: o.Cache, Wait: o.Wait})
			if err != nil {
				errs = append(errs, &LoadError{spec.Name, err})
				continue
			}
			started = append(started, p)
			entry.Plugin = p
		}
		s.loaded = append(s.loaded, entry)
	}
	if len(errs) > 0 {
		for _, p := range started {
			p.Close()
		}
		return nil, errors.Join(errs...)
	}
	order := map[string]int{}
	for _, spec := range specs {
		order[spec.Name] = spec.Order
	}
	slices.SortStableFunc(s.loaded, func(a, b loaded) int { return cmp.Compare(order[a.name], order[b.name]) })
	return s, nil
}

// find returns the plug-in with the given name and identity, or nil; s may be nil.
func (s *Set) find(name string, wanted identity) *Plugin {
	if s != nil {
		for i := range s.loaded {
			if entry := &s.loaded[i]; entry.name == name && entry.identity == wanted {
				return entry.Plugin
			}
		}
	}
	return nil
}

// Chain returns the plug-ins with the given names, or every plug-in if all is set, in call order.
func (s *Set) Chain(all bool, names ...string) (c Chain) {
	for i := range s.loaded {
		if all || slices.Contains(names, s.loaded[i].name) {
			c = append(c, s.loaded[i].Member)
		}
	}
	return c
}

// CloseUnused closes the plug-ins that the next set does not reuse and waits for their running calls.
// If next is nil, it closes all.
func (s *Set) CloseUnused(next *Set) error {
	var errs []error
	for i := range s.loaded {
		if entry := &s.loaded[i]; next.find(entry.name, entry.identity) != entry.Plugin {
			errs = append(errs, entry.Plugin.Close())
		}
	}
	return errors.Join(errs...)
}

// States returns the status of each plug-in, in call order.
func (s *Set) States() (all []State) {
	for i := range s.loaded {
		all = append(all, s.loaded[i].Plugin.State())
	}
	return all
}

// Reset reinstates the named plug-in if it is benched and reports whether the set contains it.
func (s *Set) Reset(name string) bool {
	for i := range s.loaded {
		if s.loaded[i].name == name {
			s.loaded[i].Plugin.Reset()
			return true
		}
	}
	return false
}
