package node

import (
	"context"
	"testing"
	"time"

	"example.org/madderdrum/limiter"
)

// If connections break after a certain idle time, such connections are no longer used, shorter idle ones are,
// and longer idle ones are tried again later.
func TestAgesLearn(t *testing.T) {
	t.Parallel()
	now := time.Now()
	a := &idleStats{decayedAt: now}
	a.updateLimit()
	if a.limit != noIdleLimit {
		t.Fatalf("limit %v without observations", a.limit)
	}
	for range 50 {
		a.add(now, idleGroup(10*time.Millisecond), false)
		a.add(now, idleGroup(80*time.Millisecond), false)
	}
	a.add(now, idleGroup(150*time.Millisecond), true)
	if a.limit != noIdleLimit {
		t.Errorf("limit %v after one break", a.limit)
	}
	a.add(now, idleGroup(150*time.Millisecond), true)
	a.add(now, idleGroup(150*time.Millisecond), true)
	if a.limit != 100*time.Millisecond {
		t.Errorf("limit %v, want 100ms", a.limit)
	}
	a.decay(now.Add(3 * statsDecay))
	a.updateLimit()
	if a.limit != noIdleLimit {
		t.Errorf("limit %v after the decay", a.limit)
	}
}

// If new connections break as often as idle ones, the idle ones remain in use.
func TestAgesAgainstNew(t *testing.T) {
	t.Parallel()
	now := time.Now()
	a := &idleStats{decayedAt: now}
	for i := range 90 {
		a.add(now, newConnGroup, i%3 == 0)
		a.add(now, idleGroup(150*time.Millisecond), i%3 == 0)
	}
	if a.limit != noIdleLimit {
		t.Errorf("limit %v", a.limit)
	}
}

// The same over sockets: for a server that closes connections at the next request after some idle time, new
// connections are used.
func TestStaleConnections(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	p := newServerPool(8, testTimeout, testTimeout)
	h := &host{id: 1, dialAddr: srv.addr, accepting: true}
	p.hosts[1] = h
	call := &call{method: "GET", target: "/api", host: "x", requestID: "r"}
	for i := 0; ; i++ {
		if i > 20 {
			t.Fatal("long-idle connections remain in use")
		}
		c, err := p.connect(context.Background(), h)
		if err != nil {
			t.Fatal(err)
		}
		s := srv.accept()
		go func() {
			s.request()
			s.answer("200 OK", "")
		}()
		if rep, end := c.exchange(call, time.Now().Add(testTimeout), nil); rep.result != limiter.Pass || end != connReusable {
			t.Fatalf("result %v", rep.result)
		}
		p.put(c)
		c.idleSince = time.Now().Add(-300 * time.Millisecond)
		if p.takeIdle(h) == nil {
			if i < 2 {
				t.Errorf("given up after %d breaks", i)
			}
			return
		}
		go func() {
			s.request()
			s.Close()
		}()
		if rep, end := c.exchange(call, time.Now().Add(testTimeout), nil); rep.result != limiter.Cut || end != connBroken {
			t.Fatalf("result %v", rep.result)
		}
		c.close()
	}
}
