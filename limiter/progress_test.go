package limiter

import "testing"

// A request whose long body is still being sent neither times out nor makes its server count as silent, and it is not
// retried once its body is no longer buffered.
func TestProgressOfALongRequest(t *testing.T) {
	for _, spent := range []bool{false, true} {
		l, err := New(Settings{Balancers: 1, Classes: []Class{{Repeat: Safe, AimMs: 200, DeadlineMs: 400, Worth: 1}},
			Plans: []Plan{{Rate: 100, Burst: 100, Price: 1}}, Caps: Caps{Attempts: 3, ConnectMs: 50, Probes: true}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		l.Handle(0, Endpoints{Scope: Complete, Servers: []ServerInfo{{ID: 1}, {ID: 2}}})
		var at *PassOn
		for _, a := range l.Handle(1, Submit{ID: "r", ExpiresMs: 400, Units: 1, Spread: 1}) {
			if p, ok := a.(PassOn); ok {
				at = &p
			}
		}
		if at == nil {
			t.Fatal("it was not sent")
		}
		for now := 100.0; now < 5000; now += 100 {
			for _, a := range l.Handle(now, Progress{ID: "r", LeftMs: 400}) {
				t.Fatalf("progress causes %+v", a)
			}
			if l.stalled(now, l.serversByID[at.Server]) {
				t.Fatalf("at %v the server counts as stalled", now)
			}
		}
		l.Handle(5000, Progress{ID: "r", LeftMs: 400, BodyReleased: spent})
		again := false
		for _, a := range l.Handle(5010, Outcome{ID: "r", Server: at.Server, Result: NoRoute, Load: Load{-1, -1, -1}}) {
			_, ok := a.(PassOn)
			again = again || ok
		}
		if again == spent {
			t.Errorf("body released %v: retried %v", spent, again)
		}
		for _, id := range []string{"", "x"} { // unknown requests are ignored
			l.Handle(5020, Progress{ID: id, Try: 7})
		}
	}
}
