package lifecycle

import (
	"testing"
	"time"
)

var begin = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return begin.Add(d) }

// serving returns a Life in phase Serving.
func serving() *Process {
	l := &Process{}
	l.MarkServersKnown(begin)
	l.MarkAccepting(begin)
	l.Prepared()
	return l
}

// A limiter that knows no servers, or does not accept connections yet, is not ready.
func TestStartsWhenItTakesClientsAndKnowsServers(t *testing.T) {
	for _, listedFirst := range []bool{true, false} {
		l := &Process{}
		if listedFirst {
			l.MarkServersKnown(begin)
		} else {
			l.MarkAccepting(begin)
		}
		if l.Ready() == nil || l.Healthy() || l.Drain(begin) == nil {
			t.Errorf("listed first %v: ready too early", listedFirst)
		}
		l.MarkServersKnown(begin)
		l.MarkAccepting(begin)
		if l.Ready() != nil || l.Healthy() {
			t.Errorf("listed first %v: not ready, or healthy before it is prepared", listedFirst)
		}
		l.Prepared()
		if l.Ready() != nil || !l.Healthy() || l.ClosesConnections() {
			t.Errorf("listed first %v: not serving", listedFirst)
		}
	}
}

// A drain makes the process unhealthy at once, closes idle connections only after the front has
// reacted, and ends at once on Resume.
func TestDrainAndResume(t *testing.T) {
	l := serving()
	for range 2 { // the second call has no effect
		if err := l.Drain(at(time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if l.Healthy() || !l.ClosesConnections() || l.Ready() != nil || !l.Drained() {
		t.Error("a draining limiter is healthy, keeps connections or is not ready")
	}
	if _, _, bounded := l.IdleTimeouts(at(time.Second + FrontReactionTime - 1)); bounded {
		t.Error("idle connections close before the front can react")
	}
	if fresh, idle, bounded := l.IdleTimeouts(at(time.Second + FrontReactionTime)); !bounded || FrontReactionTime+max(fresh, idle) > time.Second {
		t.Errorf("a connection may be idle for %v (%v) during a drain", fresh, bounded)
	}
	for range 2 {
		if err := l.Resume(at(2 * time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, bounded := l.IdleTimeouts(at(9 * time.Second)); bounded || !l.Healthy() || l.ClosesConnections() || l.Drained() {
		t.Error("a resumed limiter still moves clients away")
	}
}

// No call ends or changes a stop, and operators get ErrStopping.
func TestStopIsFinal(t *testing.T) {
	for name, before := range map[string]func(*Process){
		"serving":      func(*Process) {},
		"draining":     func(l *Process) { l.Drain(begin) },
		"handing over": func(l *Process) { l.HandOver(begin) },
	} {
		l := serving()
		before(l)
		l.Stop(at(0), 800*time.Millisecond)
		deadline := l.StopDeadline()
		l.Stop(at(time.Second), time.Minute)
		l.AbortHandover(at(time.Second))
		if l.Drain(begin) != ErrStopping || l.Resume(begin) != ErrStopping || l.HandOver(begin) != ErrStopping || l.Ready() != ErrStopping {
			t.Errorf("%s: a call has an effect on a stopping limiter", name)
		}
		if l.Phase() != Stopping || l.StopDeadline() != deadline || deadline.Sub(begin) != 800*time.Millisecond+stopMargin {
			t.Errorf("%s: phase %v, stop deadline after %v", name, l.Phase(), deadline.Sub(begin))
		}
		if _, _, bounded := l.IdleTimeouts(at(AcceptAfterStop - 1)); bounded {
			t.Errorf("%s: idle connections close while new ones still arrive", name)
		}
		if fresh, idle, bounded := l.IdleTimeouts(at(AcceptAfterStop)); !bounded || fresh != 0 || idle != 0 {
			t.Errorf("%s: idle connections are kept at the end", name)
		}
	}
	l := serving()
	if l.Stop(begin, time.Hour); l.StopDeadline().Sub(begin) != maxDeadline+stopMargin {
		t.Errorf("the stop deadline is %v after SIGTERM, and SIGKILL follows %v after SIGTERM", l.StopDeadline().Sub(begin), maxDeadline+700*time.Millisecond)
	}
}

// After a failed handover the process is in the same phase as before.
func TestHandBack(t *testing.T) {
	for _, drained := range []bool{false, true} {
		l := serving()
		if drained {
			l.Drain(begin)
		}
		if err := l.HandOver(at(time.Second)); err != nil {
			t.Fatal(err)
		}
		if l.Healthy() || !l.ClosesConnections() || l.Drained() != drained {
			t.Errorf("drained %v: healthy, or keeps connections while another process accepts them", drained)
		}
		if l.Drain(begin) != ErrHandingOver || l.Resume(begin) != ErrHandingOver || l.HandOver(begin) != ErrHandingOver {
			t.Errorf("drained %v: a call has an effect during a handover", drained)
		}
		if fresh, idle, bounded := l.IdleTimeouts(at(time.Second)); !bounded || idle != 0 || fresh == 0 {
			t.Errorf("drained %v: the old process keeps idle connections", drained)
		}
		l.AbortHandover(at(2 * time.Second))
		if l.Drained() != drained || l.Healthy() == drained {
			t.Errorf("drained %v: the phase after the failed handover is %v", drained, l.Phase())
		}
	}
}
