package limiter

import "testing"

// A limiter of a tier that starts as a whole waits until its parts of the ceilings are full;
// one that joins a running tier, takes over, or has no ceilings does not.
func TestPrepared(t *testing.T) {
	start := func(plans []Plan) *Limiter {
		l, err := New(Settings{Balancers: 4, Classes: []Class{{Repeat: Safe, AimMs: 200, DeadlineMs: 400, Worth: 1}}, Plans: plans,
			PeerInPerS: 40, Caps: Caps{Attempts: 3, Peers: true}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		if l.Prepared(1000) {
			t.Error("prepared before its first event")
		}
		l.Handle(1000, Endpoints{Scope: Complete, Servers: []ServerInfo{{ID: 1}}})
		return l
	}
	ceiling := []Plan{{Rate: 7, Burst: 15, Price: 1, CeilingRate: 15, CeilingBurst: 30}, {Rate: 7, Burst: 15, Price: 1}}
	l := start(ceiling)
	if l.Prepared(2999) || !l.Prepared(3000) {
		t.Error("its parts are full after 2 s")
	}
	c := l.accountOf(3000, 7, 0, 2)
	if l.setLimiters(3000, c, 2, 0); c.ceilingBalance != 15 {
		t.Errorf("it has %v of its part of 15 then", c.ceilingBalance)
	}
	if !start([]Plan{{Rate: 7, Burst: 15, Price: 1}}).Prepared(1000) {
		t.Error("without ceilings there is nothing to wait for")
	}
	if l := start([]Plan{{Rate: 7, Burst: 15, Price: 1, CeilingRate: 1, CeilingBurst: 1000}}); l.Prepared(3999) || !l.Prepared(4000) {
		t.Error("it waits for 3 s at most")
	}
	for age, want := range map[uint64]bool{40: false, 2100: false, 60_000: true} {
		l := start(ceiling)
		var told []byte
		other := start(ceiling)
		other.actions = other.actions[:0]
		other.sendToPeers(peerMsg{mark: 5, seq: 1, flags: flagLevelUpdate | flagSyncReply, ageMs: age}, 1, 1)
		for _, a := range other.actions {
			if m, ok := a.(Tell); ok {
				told = m.Data
			}
		}
		l.Handle(1100, PeerMessage{From: 1, Data: told})
		if l.Prepared(1200) != want {
			t.Errorf("after hearing a peer %d ms old: %v", age, !want)
		}
	}
	l = start(ceiling)
	l.Handle(1000, Recall{Memory: &Memory{Handover: &Handover{Balancers: 4, Plans: ceiling, KnownMs: 60_000}}})
	if !l.Prepared(1001) {
		t.Error("one that has taken over waits")
	}
}
