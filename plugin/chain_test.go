package plugin

import (
	"context"
	"testing"

	"example.org/madderdrum/advice"
)

// A chain continues after a plug-in that fails, or refuses the request where its grant says so,
// and stops at the first refusal.
func TestChain(t *testing.T) {
	with := func(a advice.Advice) *Plugin {
		b := a.Append(nil)
		return load(t, testModule{Advise: returnAdvice(0, uint32(len(b))), Data: b}.Build(), Options{})
	}
	all := advice.Grant{Refuse: true, MostWaitMs: 200, Lower: 0.1, Raise: 5, Label: true}
	first, second, refusing := with(advice.Advice{Priority: 2, Label: "a"}), with(advice.Advice{Priority: 3, Label: "b"}), with(advice.Advice{Refuse: true, WaitMs: 900})
	failing := load(t, testModule{Advise: trap}.Build(), Options{})
	gone := with(advice.Advice{Refuse: true})
	if err := gone.Close(); err != nil {
		t.Fatal(err)
	}
	r := &advice.Subject{}
	if c := (Chain{{Plugin: first, Grant: all}, {Plugin: failing, Grant: all}, {Plugin: gone, Grant: all}, {Plugin: second, Grant: all}}).Advise(t.Context(), r, 0); c.Refuse || c.Factor != 6 || len(c.Labels) != 2 {
		t.Errorf("%+v", c)
	}
	if c := (Chain{{Plugin: first, Grant: all}, {Plugin: refusing, Grant: all}, {Plugin: second, Grant: all}}).Advise(t.Context(), r, 0); !c.Refuse || c.By != 1 || c.WaitMs != 200 || len(c.Labels) != 1 {
		t.Errorf("%+v", c)
	}
	if c := (Chain{{Plugin: refusing, Grant: advice.Grant{}}, {Plugin: first, Grant: advice.Grant{}}}).Advise(t.Context(), r, 0); c.Refuse || c.Factor != 1 || len(c.Labels) > 0 {
		t.Errorf("without grants: %+v", c)
	}
	if c := (Chain{{Plugin: failing, Grant: advice.Grant{RefuseOn: advice.OnFault | advice.OnBusy}}, {Plugin: first, Grant: all}}).Advise(t.Context(), r, 0); !c.Refuse || c.By != 0 {
		t.Errorf("failed plug-in whose grant refuses on a fault: %+v", c)
	}
	if c := (Chain{}).Advise(t.Context(), r, 0); c.Refuse || c.Factor != 1 {
		t.Errorf("empty chain: %+v", c)
	}
	left, leave := context.WithCancel(t.Context())
	leave()
	if c := (Chain{{Plugin: refusing, Grant: all}}).Advise(left, r, 0); c.Refuse {
		t.Errorf("client disconnected: %+v", c)
	}
}
