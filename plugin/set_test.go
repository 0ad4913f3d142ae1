package plugin

import (
	"errors"
	"testing"
	"time"

	"example.org/madderdrum/advice"
)

// A reload takes over what is the same, with its store, replaces what is not, and refuses
// what can't be loaded, by name, while the set before goes on.
func TestSet(t *testing.T) {
	counts := asm{Imports: []imported{countImport}, Advise: join(constI32(0), constI32(3), constF64(1), constF64(3.6e6), call(0), drop, none), Data: []byte("key")}.Build()
	loud := (&advice.Advice{Label: "loud"}).Append(nil)
	labels := asm{Advise: says(0, uint32(len(loud))), Data: loud}.Build()
	limits := Limits{Call: 10 * time.Second}
	a, b := Spec{Name: "a", Order: 2, Module: counts, Limits: limits}, Spec{Name: "b", Order: 1, Module: labels, Limits: limits, Grant: advice.Grant{Label: true}}
	set := func(before *Set, specs ...Spec) *Set {
		t.Helper()
		s, err := LoadSet(t.Context(), specs, before, SetOptions{})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	first := set(nil, a, b)
	if c := first.Chain(true); len(c) != 2 || c.Name(0) != "b" || c.Name(1) != "a" || c.Name(-1) != "" {
		t.Fatalf("%+v", c)
	}
	if c := first.Chain(false, "a", "gone"); len(c) != 1 || c.Name(0) != "a" {
		t.Errorf("%+v", c)
	}
	first.Chain(true).Advise(t.Context(), &advice.Subject{}, 0)

	b.Grant.Label = false // what it may say is no reason to load it again
	second := set(first, a, b)
	if err := first.Leave(second); err != nil {
		t.Fatal(err)
	}
	if second.States()[1].Counters != 1 || second.States()[0].Calls != 1 {
		t.Errorf("not taken over: %+v", second.States())
	}
	if c := second.Chain(true).Advise(t.Context(), &advice.Subject{}, 0); len(c.Labels) > 0 {
		t.Errorf("the grant of before holds: %+v", c)
	}

	bad := a
	bad.Module = counts[:10]
	if s, err := LoadSet(t.Context(), []Spec{b, bad, {Name: "c", Module: nil}}, second, SetOptions{}); s != nil || !errors.Is(err, ErrModule) {
		t.Errorf("%v %v", s, err)
	}
	if c := second.Chain(true).Advise(t.Context(), &advice.Subject{}, 0); c.Refuse {
		t.Errorf("%+v", c)
	}

	a.Limits.Memory = 1 << 20 // another budget is another plug-in
	third := set(second, a)
	if err := second.Leave(third); err != nil {
		t.Fatal(err)
	}
	if third.States()[0].Counters != 0 {
		t.Error("the store of another budget goes on")
	}
	for i := range second.held {
		if _, err := second.held[i].Plugin.Advise(&advice.Request{}, 0); !errors.Is(err, ErrClosed) {
			t.Errorf("%s: %v", second.held[i].name, err)
		}
	}
	if third.Reset("nobody") || !third.Reset("a") {
		t.Error("reset")
	}
	if err := third.Leave(nil); err != nil {
		t.Fatal(err)
	}
}

// Memory of compiled modules on disk: the second load compiles nothing.
func TestCache(t *testing.T) {
	dir := t.TempDir()
	for range 2 {
		c, err := NewCache(dir)
		if err != nil {
			t.Fatal(err)
		}
		p := load(t, asm{}.Build(), Options{Cache: c})
		if _, err := ask(t, p); err != nil {
			t.Fatal(err)
		}
		p.Close()
		c.Close()
	}
	if _, err := NewCache("/dev/null/none"); err == nil {
		t.Error("a folder that can't be made")
	}
}
