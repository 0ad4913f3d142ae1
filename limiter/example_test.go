package limiter_test

import (
	"fmt"

	"example.org/madderdrum/limiter"
)

// One limiter, one server, and a quota of one unit per second with a burst of two.
func Example() {
	l, err := limiter.New(limiter.Settings{
		Balancers: 1,
		Classes:   []limiter.Class{{Repeat: limiter.Safe, AimMs: 300, DeadlineMs: 900, Worth: 1}},
		Plans:     []limiter.Plan{{Rate: 1, Burst: 2, Price: 1}},
		Caps:      limiter.Caps{Attempts: 3, RetryAfter: true, MaxWaitMs: 5000},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000.0 // milliseconds on the host's clock
	l.Handle(now, limiter.Endpoints{Scope: limiter.Complete, Servers: []limiter.ServerInfo{{ID: 9}}})
	for _, id := range []string{"a", "b", "c"} {
		e := limiter.Submit{ID: id, ExpiresMs: 900, Units: 1, Account: 7, Spread: 1}
		// A slice of actions is valid until the next call of Handle.
		for _, action := range append([]limiter.Action(nil), l.Handle(now, e)...) {
			switch a := action.(type) {
			case limiter.PassOn:
				fmt.Printf("%s goes to server %d\n", a.ID, a.Server)
				l.Handle(now, limiter.Outcome{ID: a.ID, Server: a.Server, Result: limiter.Pass, SpentMs: 5, Done: true})
			case limiter.Refuse:
				fmt.Printf("%s is refused for %.0f ms\n", a.ID, a.WaitMs)
			}
		}
	}
	// Output:
	// a goes to server 9
	// b goes to server 9
	// c is refused for 1000 ms
}
