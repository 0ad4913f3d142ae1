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

// Spec is a plug-in as a configuration has it.
type Spec struct {
	Name   string
	Order  int // of two plug-ins the one with the lower order is asked first; no two are equal
	Module []byte
	Limits Limits
	Seed   uint64
	Grant  advice.Grant
	Sight  advice.Sight
}

// Set are the plug-ins of one version of a configuration. It never changes; its methods are
// safe for concurrent use.
type Set struct {
	held []held // by order
}

// held is a plug-in with what it was loaded for.
type held struct {
	Member
	name string
	made made
}

// made is all that a loaded plug-in depends on. One that does not change over a reload goes
// on, with its store and its breaker.
type made struct {
	sum    [sha256.Size]byte
	limits Limits
	seed   uint64
	body   bool
}

// SetOptions are what the plug-ins of a set have in common.
type SetOptions struct {
	Log   func(line string)
	Now   func() time.Duration // nil: real time
	Cache *Cache               // nil: modules are compiled at each load
	Wait  bool                 // see Options.Wait
}

// LoadError is that a plug-in can't be loaded.
type LoadError struct {
	Name string
	err  error
}

func (e *LoadError) Error() string { return e.err.Error() }

// Unwrap returns why.
func (e *LoadError) Unwrap() error { return e.err }

// LoadErrors are those of an error of LoadSet, a plug-in each.
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

// LoadSet loads the plug-ins of a configuration. Those of a set before that are the same
// module with the same budget are taken over. An error names every plug-in that can't be
// loaded, and leaves the set before as it was.
func LoadSet(ctx context.Context, specs []Spec, before *Set, o SetOptions) (*Set, error) {
	s := &Set{}
	var fresh []*Plugin
	var errs []error
	for i := range specs {
		x := &specs[i]
		h := held{name: x.Name, made: made{sha256.Sum256(x.Module), x.Limits.or(Defaults()), x.Seed, x.Sight.Body}}
		h.Grant, h.Sight = x.Grant, x.Sight
		if h.Plugin = before.find(x.Name, h.made); h.Plugin == nil {
			p, err := Load(ctx, x.Module, Options{Name: x.Name, Limits: x.Limits, Seed: x.Seed, Body: x.Sight.Body, Now: o.Now, Log: o.Log, Cache: o.Cache, Wait: o.Wait})
			if err != nil {
				errs = append(errs, &LoadError{x.Name, err})
				continue
			}
			fresh = append(fresh, p)
			h.Plugin = p
		}
		s.held = append(s.held, h)
	}
	if len(errs) > 0 {
		for _, p := range fresh {
			p.Close()
		}
		return nil, errors.Join(errs...)
	}
	order := map[string]int{}
	for _, x := range specs {
		order[x.Name] = x.Order
	}
	slices.SortStableFunc(s.held, func(a, b held) int { return cmp.Compare(order[a.name], order[b.name]) })
	return s, nil
}

// find is the plug-in of a name, if it was made of the same; nil sets have none.
func (s *Set) find(name string, m made) *Plugin {
	if s != nil {
		for i := range s.held {
			if h := &s.held[i]; h.name == name && h.made == m {
				return h.Plugin
			}
		}
	}
	return nil
}

// Chain are the plug-ins of some names, or with all, of all, in their order.
func (s *Set) Chain(all bool, names ...string) (c Chain) {
	for i := range s.held {
		if all || slices.Contains(names, s.held[i].name) {
			c = append(c, s.held[i].Member)
		}
	}
	return c
}

// Leave unloads the plug-ins that another set has not taken over, once the calls that are
// in them have ended; nil takes none over.
func (s *Set) Leave(next *Set) error {
	var errs []error
	for i := range s.held {
		if h := &s.held[i]; next.find(h.name, h.made) != h.Plugin {
			errs = append(errs, h.Plugin.Close())
		}
	}
	return errors.Join(errs...)
}

// States are what operators see, in the order of the plug-ins.
func (s *Set) States() (all []State) {
	for i := range s.held {
		all = append(all, s.held[i].Plugin.State())
	}
	return all
}

// Reset lets a benched plug-in back at once, and tells whether there is one of that name.
func (s *Set) Reset(name string) bool {
	for i := range s.held {
		if s.held[i].name == name {
			s.held[i].Plugin.Reset()
			return true
		}
	}
	return false
}
