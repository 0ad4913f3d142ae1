package proxy

import (
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/places"
	"example.org/madderdrum/internal/registry"
	"example.org/madderdrum/internal/rpc"
)

// placed is a register with places of its own, so many settled.
func placed(seq, settled uint64, all ...places.Place) *controlstate.Register {
	return &controlstate.Register{Seq: seq, Version: 1, Places: all, PlacesSettled: settled}
}

func own(p places.Place) places.Place {
	p.Name, p.IP, p.Zone = "e1", "127.0.0.1", "z"
	return p
}

func other(name string, from uint64) places.Place {
	return places.Place{Name: name, IP: "127.0.0.9", Zone: "z", From: from}
}

// served is the status of one request within its quota.
func (y *testProxy) served(id string) int {
	got, _ := y.client(request("GET", "/read/1", id, "", ""), 1)
	return got[0].StatusCode
}

// A limiter whose place is taken away refuses what a ceiling binds, and serves again once it has it back.
func TestPlaceIsTakenAway(t *testing.T) {
	y := newTestProxy(t)
	y.server("i-1", 0, "ok")
	y.tell(nil)
	if got := y.served("id-1"); got != 200 {
		t.Fatalf("%d with a place", got)
	}
	y.tell(placed(2, 0, own(places.Place{To: 2})))
	if got := y.served("id-2"); got != 429 {
		t.Errorf("%d without a place", got)
	}
	if answer, err := y.Proxy.status(t.Context()); err != nil || !slices.ContainsFunc(answer.(rpc.Status).Lines, func(line string) bool {
		return strings.HasPrefix(line, "place=-1 share=0.0000 ")
	}) {
		t.Errorf("its status is %v, %v", answer, err)
	}
	y.tell(placed(3, 0, own(places.Place{Left: 2, Back: 3})))
	// What had been saved up is gone with the place: it fills up again.
	for until := time.Now().Add(2 * time.Second); y.served("id-3") != 200; {
		if time.Now().After(until) {
			t.Fatal("it refuses with the place that was given back")
		}
	}
}

// A limiter that joins others is not ready, and uses nothing, until its place is settled.
func TestJoinerWaits(t *testing.T) {
	y := newTestProxy(t)
	y.Proxy.serving, y.Proxy.engine, y.Proxy.desk = false, nil, nil // as at its beginning
	y.tell(placed(2, 1, other("e2", 1), own(places.Place{From: 2, Life: y.self})))
	y.mu.Lock()
	of, rest, _ := y.engine.holding.Desk.Parts(y.now())
	y.mu.Unlock()
	if y.ready() || rest != 0 || len(of) != 0 {
		t.Errorf("ready %v, parts %v, %g of the rest before it is settled", y.ready(), of, rest)
	}
	y.tell(placed(3, 2, other("e2", 1), own(places.Place{From: 2, Life: y.self})))
	y.mu.Lock()
	_, rest, _ = y.engine.holding.Desk.Parts(y.now())
	y.mu.Unlock()
	if !y.ready() || rest != 1 {
		t.Errorf("ready %v, %g of an equal part once it is settled", y.ready(), rest)
	}
}

// What was admitted before the process stood still is not sent once the lease has ended, and the client hears
// that it has not run. Further tries and requests to cold servers are over with the lease too.
func TestNothingIsSentOnAnEndedLease(t *testing.T) {
	y := newTestProxy(t)
	s := y.server("i-1", 0, "ok")
	y.tell(nil)
	y.holdsUntil.Store(1) // the decisions have not heard of it: they admit
	got, _ := y.client(request("POST", "/send/1", "id-1", "", "x"), 1)
	if got[0].StatusCode != 503 || len(s.ran) > 0 {
		t.Errorf("%d, and the server ran %v", got[0].StatusCode, s.ran)
	}
	y.mu.Lock()
	y.endLease()
	y.mu.Unlock()
	if got := y.served("id-2"); got != 429 {
		t.Errorf("%d on an ended lease", got)
	}
	y.tell(nil) // further proof renews it
	for until := time.Now().Add(2 * time.Second); y.served("id-3") != 200; {
		if time.Now().After(until) {
			t.Fatal("it refuses on a renewed lease")
		}
	}
}

// Proof of an older register than the one that a limiter has renews its lease no further than it reaches, and
// none at all renews nothing.
func TestLeaseGoesByTheProof(t *testing.T) {
	y := newTestProxy(t)
	y.begun = y.begun.Add(-time.Hour)
	y.mu.Lock()
	y.endLease()
	y.mu.Unlock()
	y.take(time.Now(), &registry.Pulled{})
	if y.holds() {
		t.Error("an answer without proof renews the lease")
	}
	y.take(time.Now(), &registry.Pulled{Proven: true, ProofMs: uint64((places.LeaseLength + time.Second) / time.Millisecond)})
	if y.holds() {
		t.Error("proof that is older than a lease renews it")
	}
	y.take(time.Now(), &registry.Pulled{Proven: true, ProofMs: uint64((places.LeaseLength - time.Second) / time.Millisecond)})
	y.mu.Lock()
	left := y.lease.End() - time.Since(y.begun)
	y.mu.Unlock()
	if left > time.Second || left < 0 {
		t.Errorf("by a proof one second from its end the lease lasts %v", left)
	}
}

// A limiter that leaves gives its place back after the last request: it uses nothing from then on, and
// is not through until a core machine has heard that it goes by a register without it.
func TestPlaceIsGivenBack(t *testing.T) {
	y := newTestProxy(t)
	y.leaving.Store(true)
	y.stopLending()
	if y.giveBack(); y.placeReturned() {
		t.Error("given back before anybody has heard of it")
	}
	y.mu.Lock()
	_, rest, _ := y.engine.holding.Desk.Parts(y.now())
	y.mu.Unlock()
	if rest != 0 || y.holds() {
		t.Errorf("%g of a part is used on", rest)
	}
	y.tell(placed(2, 0, own(places.Place{To: 2})))
	if y.giveBack(); y.placeReturned() {
		t.Error("given back before the core machines know that this limiter has heard of it")
	}
	y.mu.Lock()
	y.givenBack = true // as the next pull is answered
	y.mu.Unlock()
	if y.giveBack(); !y.placeReturned() {
		t.Error("not given back")
	}
}
