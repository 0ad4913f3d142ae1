package plugin

import (
	"errors"
	"testing"
	"time"

	"example.org/madderdrum/advice"
)

// A reload reuses unchanged plug-ins with their counters and replaces changed ones. If some can't
// be loaded, the error names them and the previous set stays in use.
func TestSet(t *testing.T) {
	counts := testModule{Imports: []testImport{countImport}, Advise: join(constI32(0), constI32(3), constF64(1), constF64(3.6e6), call(0), drop, noOpinion), Data: []byte("key")}.Build()
	loud := (&advice.Advice{Label: "loud"}).Append(nil)
	labels := testModule{Advise: returnAdvice(0, uint32(len(loud))), Data: loud}.Build()
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

	b.Grant.Label = false // a changed grant needs no new load
	second := set(first, a, b)
	if err := first.CloseUnused(second); err != nil {
		t.Fatal(err)
	}
	if second.States()[1].Counters != 1 || second.States()[0].Calls != 1 {
		t.Errorf("not reused: %+v", second.States())
	}
	if c := second.Chain(true).Advise(t.Context(), &advice.Subject{}, 0); len(c.Labels) > 0 {
		t.Errorf("the previous grant still applies: %+v", c)
	}

	bad := a
	bad.Module = counts[:10]
	if s, err := LoadSet(t.Context(), []Spec{b, bad, {Name: "c", Module: nil}}, second, SetOptions{}); s != nil || !errors.Is(err, ErrModule) {
		t.Errorf("%v %v", s, err)
	}
	if c := second.Chain(true).Advise(t.Context(), &advice.Subject{}, 0); c.Refuse {
		t.Errorf("%+v", c)
	}

	a.Limits.Memory = 1 << 20 // changed limits make it a different plug-in
	third := set(second, a)
	if err := second.CloseUnused(third); err != nil {
		t.Fatal(err)
	}
	if third.States()[0].Counters != 0 {
		t.Error("counters survived a change of limits")
	}
	for i := range second.loaded {
		if _, err := second.loaded[i].Plugin.Advise(&advice.Request{}, 0); !errors.Is(err, ErrClosed) {
			t.Errorf("%s: %v", second.loaded[i].name, err)
		}
	}
	if third.Reset("nobody") || !third.Reset("a") {
		t.Error("reset")
	}
	if err := third.CloseUnused(nil); err != nil {
		t.Fatal(err)
	}
}

// Compiled modules are cached on disk: a second cache in the same directory loads and runs them.
func TestCache(t *testing.T) {
	dir := t.TempDir()
	for range 2 {
		c, err := NewCache(dir)
		if err != nil {
			t.Fatal(err)
		}
		p := load(t, testModule{}.Build(), Options{Cache: c})
		if _, err := adviseWhenIdle(t, p); err != nil {
			t.Fatal(err)
		}
		p.Close()
		c.Close()
	}
	if _, err := NewCache("/dev/null/none"); err == nil {
		t.Error("no error for a directory that can't be created")
	}
}
