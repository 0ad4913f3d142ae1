package silverscale_test

import (
	"fmt"

	"example.org/silverscale"
)

// One gateway, one server, a quota of one unit a second with a store of two.
func Example() {
	l, err := silverscale.New(silverscale.Settings{
		Balancers: 1,
		Classes:   []silverscale.Class{{Repeat: silverscale.Safe, AimMs: 300, DeadlineMs: 900, Worth: 1}},
		Plans:     []silverscale.Plan{{Rate: 1, Burst: 2, Price: 1}},
		Caps:      silverscale.Caps{Attempts: 3, RetryAfter: true, MaxWaitMs: 5000},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000.0 // milliseconds on the host's clock
	l.Handle(now, silverscale.Endpoints{Scope: silverscale.Complete, Servers: []silverscale.ServerInfo{{ID: 9}}})
	for _, id := range []string{"a", "b", "c"} {
		e := silverscale.Submit{ID: id, ExpiresMs: 900, Units: 1, Customer: 7, Spread: 1}
		// A slice of actions is valid until the next call of Handle.
		for _, action := range append([]silverscale.Action(nil), l.Handle(now, e)...) {
			switch a := action.(type) {
			case silverscale.PassOn:
				fmt.Printf("%s goes to server %d\n", a.ID, a.Server)
				l.Handle(now, silverscale.Outcome{ID: a.ID, Server: a.Server, Result: silverscale.Pass, SpentMs: 5, Done: true})
			case silverscale.Refuse:
				fmt.Printf("%s is refused for %.0f ms\n", a.ID, a.WaitMs)
			}
		}
	}
	// Output:
	// a goes to server 9
	// b goes to server 9
	// c is refused for 1000 ms
}
