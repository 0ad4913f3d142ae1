package main

import (
	"testing"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/plugin"
)

// The module that is put together by hand says what its comment does.
func TestModule(t *testing.T) {
	p, err := plugin.Load(t.Context(), Module(), plugin.Options{Name: "byhand", Limits: plugin.Limits{Call: 10 * time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for _, c := range []struct {
		units, pressure float64
		refuse          bool
	}{{3, 0.3, true}, {9, 0.21, true}, {2.9, 0.9, false}, {3, 0.2, false}, {0, 0, false}} {
		a, err := p.Advise(&advice.Request{Units: c.units, Pressure: c.pressure}, 0)
		if err != nil || a.Refuse != c.refuse || a.Refuse && a.WaitMs != 250 {
			t.Errorf("%v units at %v: %+v, %v", c.units, c.pressure, a, err)
		}
	}
}
