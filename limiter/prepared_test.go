package limiter

import "testing"

// If all limiters start together, each waits until its parts of the ceilings are full. One that joins running
// limiters, takes over from a predecessor or has no ceilings does not wait.
func TestPrepared(t *testing.T) {
	start := func(plans []Plan) *Limiter {
		l, err := New(Settings{Balancers: 4, Classes: []Class{{Repeat: Safe, AimMs: 200, DeadlineMs: 400, Worth: 1}}, Plans: plans,
			PeerInPerS: 40, Caps: Caps{Attempts: 3, Peers: true}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		if l.Prepared(1000) {
			t.Error("prepared before the first event")
		}
		l.Handle(1000, Endpoints{Scope: Complete, Servers: []ServerInfo{{ID: 1}}})
		return l
	}
	ceiling := []Plan{{Rate: 7, Burst: 15, Price: 1, CeilingRate: 15, CeilingBurst: 30}, {Rate: 7, Burst: 15, Price: 1}}
	l := start(ceiling)
	if l.Prepared(2999) || !l.Prepared(3000) {
		t.Error("not prepared exactly from 2 s on, when its parts are full")
	}
	c := l.accountOf(3000, 7, 0, 2)
	if l.setLimiters(3000, c, 2, 0); c.ceilingBalance != 15 {
		t.Errorf("it has %v of its part of 15 after 2 s", c.ceilingBalance)
	}
	if !start([]Plan{{Rate: 7, Burst: 15, Price: 1}}).Prepared(1000) {
		t.Error("waits without ceilings")
	}
	if l := start([]Plan{{Rate: 7, Burst: 15, Price: 1, CeilingRate: 1, CeilingBurst: 1000}}); l.Prepared(3999) || !l.Prepared(4000) {
		t.Error("not prepared exactly from 3 s on, the longest wait")
	}
	for age, want := range map[uint64]bool{40: false, 2100: false, 60_000: true} {
		l := start(ceiling)
		var data []byte
		other := start(ceiling)
		other.actions = other.actions[:0]
		other.sendToPeers(peerMsg{mark: 5, seq: 1, flags: flagLevelUpdate | flagSyncReply, ageMs: age}, 1, 1)
		for _, a := range other.actions {
			if m, ok := a.(Tell); ok {
				data = m.Data
			}
		}
		l.Handle(1100, PeerMessage{From: 1, Data: data})
		if l.Prepared(1200) != want {
			t.Errorf("after a message of a peer %d ms old: prepared %v", age, !want)
		}
	}
	l = start(ceiling)
	l.Handle(1000, Recall{Memory: &Memory{Handover: &Handover{Balancers: 4, Plans: ceiling, KnownMs: 60_000}}})
	if !l.Prepared(1001) {
		t.Error("waits although it has taken over")
	}
}
