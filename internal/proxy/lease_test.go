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

// registerWithPlaces returns a register with the given places and the number up to which they are settled.
func registerWithPlaces(seq, settled uint64, all ...places.Place) *controlstate.Register {
	return &controlstate.Register{Seq: seq, Version: 1, Places: all, PlacesSettled: settled}
}

func ownPlace(place places.Place) places.Place {
	place.Name, place.IP, place.Zone = "e1", "127.0.0.1", "z"
	return place
}

func otherPlace(name string, from uint64) places.Place {
	return places.Place{Name: name, IP: "127.0.0.9", Zone: "z", JoinedVersion: from}
}

// requestStatus returns the status of the answer to one request within the quota.
func (proxy *testProxy) requestStatus(id string) int {
	got, _ := proxy.client(request("GET", "/read/1", id, "", ""), 1)
	return got[0].StatusCode
}

// A limiter whose place is taken away refuses requests of tenants with a ceiling, and serves them again once it
// has its place back.
func TestPlaceIsTakenAway(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.server("i-1", 0, "ok")
	proxy.deliver(nil)
	if got := proxy.requestStatus("id-1"); got != 200 {
		t.Fatalf("status %d with a place", got)
	}
	proxy.deliver(registerWithPlaces(2, 0, ownPlace(places.Place{ReleasedVersion: 2})))
	if got := proxy.requestStatus("id-2"); got != 429 {
		t.Errorf("status %d without a place", got)
	}
	if answer, err := proxy.Proxy.status(t.Context()); err != nil ||
		!slices.ContainsFunc(answer.(rpc.Status).Lines, func(line string) bool {
			return strings.HasPrefix(line, "place=-1 share=0.0000 ")
		}) {
		t.Errorf("status call returned %v, error %v", answer, err)
	}
	proxy.deliver(registerWithPlaces(3, 0, ownPlace(places.Place{FirstReleasedVersion: 2, RestoredVersion: 3})))
	// The saved-up balance was lost with the place and has to refill.
	for until := time.Now().Add(2 * time.Second); proxy.requestStatus("id-3") != 200; {
		if time.Now().After(until) {
			t.Fatal("requests are still refused after the place was restored")
		}
	}
}

// A joining limiter is not ready and uses no quota until its place is settled.
func TestJoinerWaits(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.Proxy.hasHeldShare, proxy.Proxy.engine, proxy.Proxy.loans = false, nil, nil // as after a start of the process
	proxy.deliver(registerWithPlaces(2, 1, otherPlace("e2", 1),
		ownPlace(places.Place{JoinedVersion: 2, Incarnation: proxy.instanceID})))
	proxy.mu.Lock()
	of, rest, _ := proxy.engine.quota.Ledger.Parts(proxy.now())
	proxy.mu.Unlock()
	if proxy.ready() || rest != 0 || len(of) != 0 {
		t.Errorf("before the place is settled: ready %v, parts %v, default part %g", proxy.ready(), of, rest)
	}
	proxy.deliver(registerWithPlaces(3, 2, otherPlace("e2", 1),
		ownPlace(places.Place{JoinedVersion: 2, Incarnation: proxy.instanceID})))
	proxy.mu.Lock()
	_, rest, _ = proxy.engine.quota.Ledger.Parts(proxy.now())
	proxy.mu.Unlock()
	if !proxy.ready() || rest != 1 {
		t.Errorf("after the place is settled: ready %v, default part %g", proxy.ready(), rest)
	}
}

// A request that was admitted before the process was stopped is not sent after the lease has ended, and its answer
// says that it was not executed. Retries and requests to cold servers end with the lease as well.
func TestNothingIsSentOnAnEndedLease(t *testing.T) {
	proxy := newTestProxy(t)
	s := proxy.server("i-1", 0, "ok")
	proxy.deliver(nil)
	proxy.shareEnds.Store(1) // the engine does not know of it and still admits requests
	got, _ := proxy.client(request("POST", "/send/1", "id-1", "", "x"), 1)
	if got[0].StatusCode != 503 || len(s.executed) > 0 {
		t.Errorf("status %d, the server executed %v", got[0].StatusCode, s.executed)
	}
	proxy.mu.Lock()
	proxy.dropLease()
	proxy.mu.Unlock()
	if got := proxy.requestStatus("id-2"); got != 429 {
		t.Errorf("status %d after the lease ended", got)
	}
	proxy.deliver(nil) // a new proof renews the lease
	for until := time.Now().Add(2 * time.Second); proxy.requestStatus("id-3") != 200; {
		if time.Now().After(until) {
			t.Fatal("requests are still refused after the lease was renewed")
		}
	}
}

// A proof for an older register renews the lease only as far as the proof's age allows. Without a proof the lease
// is not renewed.
func TestLeaseGoesByTheProof(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.base = proxy.base.Add(-time.Hour)
	proxy.mu.Lock()
	proxy.dropLease()
	proxy.mu.Unlock()
	proxy.applyPulled(time.Now(), &registry.PullResponse{})
	if proxy.holdsShare() {
		t.Error("an answer without proof renews the lease")
	}
	proxy.applyPulled(time.Now(), &registry.PullResponse{Proven: true,
		ProofAgeMs: uint64((places.LeaseLength + time.Second) / time.Millisecond)})
	if proxy.holdsShare() {
		t.Error("a proof older than the lease length renews the lease")
	}
	proxy.applyPulled(time.Now(), &registry.PullResponse{Proven: true,
		ProofAgeMs: uint64((places.LeaseLength - time.Second) / time.Millisecond)})
	proxy.mu.Lock()
	left := proxy.lease.End() - time.Since(proxy.base)
	proxy.mu.Unlock()
	if left > time.Second || left < 0 {
		t.Errorf("after a proof that is valid for one more second, the lease is valid for %v", left)
	}
}

// A leaving limiter returns its place after the last request. It uses no quota from then on, and does not exit
// before a core machine knows that it uses a register without the place.
func TestPlaceIsGivenBack(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.leaving.Store(true)
	proxy.stopLending()
	if proxy.returnPlace(); proxy.placeReturned() {
		t.Error("place returned before any core machine knows of it")
	}
	proxy.mu.Lock()
	_, rest, _ := proxy.engine.quota.Ledger.Parts(proxy.now())
	proxy.mu.Unlock()
	if rest != 0 || proxy.holdsShare() {
		t.Errorf("a part of %g is still used", rest)
	}
	proxy.deliver(registerWithPlaces(2, 0, ownPlace(places.Place{ReleasedVersion: 2})))
	if proxy.returnPlace(); proxy.placeReturned() {
		t.Error("place returned before the core machines know that this limiter uses the new register")
	}
	proxy.mu.Lock()
	proxy.placeReturnConfirmed = true // as when the next pull is answered
	proxy.mu.Unlock()
	if proxy.returnPlace(); !proxy.placeReturned() {
		t.Error("place not returned")
	}
}
