package policies

import (
	"testing"

	"example.org/madderdrum/limiter"
)

func settings() limiter.Settings {
	return limiter.Settings{Balancers: 2, Classes: []limiter.Class{{Repeat: limiter.Safe}, {Repeat: limiter.Unsafe}},
		Plans: []limiter.Plan{{Rate: 10, Burst: 8}}, Caps: limiter.Caps{Attempts: 3}}
}

func TestPolicies(t *testing.T) {
	servers := limiter.Endpoints{Scope: limiter.Complete, Servers: []limiter.ServerInfo{{ID: 1}, {ID: 2}, {ID: 3, Phase: limiter.Draining}}}
	for _, name := range Names()[1:] {
		decide, err := ByName(name)
		if err != nil {
			t.Fatal(err)
		}
		p, err := decide(settings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		if a := p.Handle(0, limiter.Submit{ID: "none"}); len(a) != 1 || a[0] != (limiter.Refuse{ID: "none"}) {
			t.Errorf("%s with no server: %v", name, a)
		}
		p.Handle(0, servers)
		got := map[uint64]int{}
		refused := 0
		for i := range 20 {
			id := string(rune('a' + i))
			switch a := p.Handle(1, limiter.Submit{ID: id, Units: 1, Account: 7, Spread: 2})[0].(type) {
			case limiter.PassOn:
				got[a.Server]++
			case limiter.Refuse:
				refused++
			}
		}
		if got[3] > 0 || got[1] == 0 || got[2] == 0 {
			t.Errorf("%s sent %v", name, got)
		}
		if want := map[string]int{"random": 0, "least": 0, "bucket": 16}[name]; refused != want {
			t.Errorf("%s refused %d of 20, want %d", name, refused, want)
		}
		if name == "least" && (got[1] != 10 || got[2] != 10) {
			t.Errorf("least outstanding: %v", got)
		}
		unsafe := p.Handle(1000, limiter.Submit{ID: "u", Units: 1, Class: 1, Account: 8})[0].(limiter.PassOn)
		if a := p.Handle(1001, limiter.Outcome{ID: "u", Server: unsafe.Server, Result: limiter.Cut}); len(a) != 1 || a[0] != (limiter.Fail{ID: "u"}) {
			t.Errorf("%s after an unsafe request was lost: %v", name, a)
		}
		safe := p.Handle(1000, limiter.Submit{ID: "s", Units: 1, Account: 8})[0].(limiter.PassOn)
		if a := p.Handle(1001, limiter.Outcome{ID: "s", Server: safe.Server, Result: limiter.Cut}); len(a) != 1 {
			t.Errorf("%s after a safe request was lost: %v", name, a)
		} else if _, again := a[0].(limiter.PassOn); !again {
			t.Errorf("%s after a safe request was lost: %v", name, a)
		}
	}
	if _, err := ByName("best"); err == nil {
		t.Error("an unknown policy is accepted")
	}
}
