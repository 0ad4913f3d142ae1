package lifecycle

import (
	"testing"
	"time"
)

var begin = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return begin.Add(d) }

// serving returns a Life that has its first list and takes clients.
func serving() *Life {
	l := &Life{}
	l.Listed(begin)
	l.Taking(begin)
	l.Prepared()
	return l
}

// A limiter without servers or without its listener is not there for clients.
func TestStartsWhenItTakesClientsAndKnowsServers(t *testing.T) {
	for _, listedFirst := range []bool{true, false} {
		l := &Life{}
		if listedFirst {
			l.Listed(begin)
		} else {
			l.Taking(begin)
		}
		if l.Ready() == nil || l.Healthy() || l.Drain(begin) == nil {
			t.Errorf("listed first %v: it takes clients too early", listedFirst)
		}
		l.Listed(begin)
		l.Taking(begin)
		if l.Ready() != nil || l.Healthy() {
			t.Errorf("listed first %v: it does not take clients, or sends for them unprepared", listedFirst)
		}
		l.Prepared()
		if l.Ready() != nil || !l.Healthy() || l.Closing() {
			t.Errorf("listed first %v: it does not serve", listedFirst)
		}
	}
}

// A drain says no at once, closes what stands unused only when the front has noticed, and
// ends at once.
func TestDrainAndResume(t *testing.T) {
	l := serving()
	for range 2 { // the second one changes nothing
		if err := l.Drain(at(time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if l.Healthy() || !l.Closing() || l.Ready() != nil || !l.Drained() {
		t.Error("a drained limiter is healthy, keeps connections or takes none")
	}
	if _, _, bounded := l.Unused(at(time.Second + FrontReactionTime - 1)); bounded {
		t.Error("connections close before the front can know")
	}
	if most, idle, bounded := l.Unused(at(time.Second + FrontReactionTime)); !bounded || FrontReactionTime+max(most, idle) > time.Second {
		t.Errorf("a connection may stand for %v (%v) in a drain", most, bounded)
	}
	for range 2 {
		if err := l.Resume(at(2 * time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, bounded := l.Unused(at(9 * time.Second)); bounded || !l.Healthy() || l.Closing() || l.Drained() {
		t.Error("a limiter that has resumed still sends clients away")
	}
}

// What is over is over: nothing ends a stop, and operators hear why.
func TestStopIsFinal(t *testing.T) {
	for name, before := range map[string]func(*Life){
		"serving":      func(*Life) {},
		"draining":     func(l *Life) { l.Drain(begin) },
		"handing over": func(l *Life) { l.HandOver(begin) },
	} {
		l := serving()
		before(l)
		l.Stop(at(0), 800*time.Millisecond)
		by := l.StopBy()
		l.Stop(at(time.Second), time.Minute)
		l.HandBack(at(time.Second))
		if l.Drain(begin) != ErrStopping || l.Resume(begin) != ErrStopping || l.HandOver(begin) != ErrStopping || l.Ready() != ErrStopping {
			t.Errorf("%s: a call changes a limiter that stops", name)
		}
		if l.Phase() != Stopping || l.StopBy() != by || by.Sub(begin) != 800*time.Millisecond+stopMargin {
			t.Errorf("%s: %v, to end by %v", name, l.Phase(), by.Sub(begin))
		}
		if _, _, bounded := l.Unused(at(KeepAccepting - 1)); bounded {
			t.Errorf("%s: connections close while new ones come", name)
		}
		if most, idle, bounded := l.Unused(at(KeepAccepting)); !bounded || most != 0 || idle != 0 {
			t.Errorf("%s: connections stay at the end", name)
		}
	}
	l := serving()
	if l.Stop(begin, time.Hour); l.StopBy().Sub(begin) != maxDeadline+stopMargin {
		t.Errorf("it ends %v after SIGTERM, and SIGKILL comes %v after", l.StopBy().Sub(begin), maxDeadline+700*time.Millisecond)
	}
}

// A successor that fails leaves things as they were.
func TestHandBack(t *testing.T) {
	for _, drained := range []bool{false, true} {
		l := serving()
		if drained {
			l.Drain(begin)
		}
		if err := l.HandOver(at(time.Second)); err != nil {
			t.Fatal(err)
		}
		if l.Healthy() || !l.Closing() || l.Drained() != drained {
			t.Errorf("drained %v: healthy or keeping connections while another process takes them", drained)
		}
		if l.Drain(begin) != ErrHandingOver || l.Resume(begin) != ErrHandingOver || l.HandOver(begin) != ErrHandingOver {
			t.Errorf("drained %v: a call changes a limiter that hands over", drained)
		}
		if fresh, idle, bounded := l.Unused(at(time.Second)); !bounded || idle != 0 || fresh == 0 {
			t.Errorf("drained %v: connections stay at the old process", drained)
		}
		l.HandBack(at(2 * time.Second))
		if l.Drained() != drained || l.Healthy() == drained {
			t.Errorf("drained %v: afterwards it is %v", drained, l.Phase())
		}
	}
}
