package loopback

import (
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"example.org/madderdrum/internal/judge"
)

// one is that a single thread waited.
func one(d time.Duration) map[string]time.Duration { return map[string]time.Duration{"t": d} }

// An answer that is late by 10 ms more than the slack is taken back where its limiter or the
// driver waited for a core so long at that time, and nowhere else; other breaches never are.
func TestExcuse(t *testing.T) {
	const ms = time.Millisecond
	const asked = 300 * ms
	for _, c := range []struct {
		name    string
		who     int
		waited  waitSample
		excused bool
	}{
		{"the limiter waited", 1, waitSample{920 * ms, 945 * ms, one(10 * ms)}, true},
		{"the driver waited", -1, waitSample{1010 * ms, 1035 * ms, one(10 * ms)}, true},
		{"not for long enough", 1, waitSample{920 * ms, 945 * ms, one(9 * ms)}, false},
		{"many threads a little", 1, waitSample{920 * ms, 945 * ms, map[string]time.Duration{"a": 5 * ms, "b": 5 * ms, "c": 5 * ms}}, false},
		{"the limiter waited as it was asked", 1, waitSample{310 * ms, 335 * ms, one(500 * ms)}, false},
		{"the driver waited as it asked", -1, waitSample{310 * ms, 335 * ms, one(500 * ms)}, false},
		{"after it was asked", 1, waitSample{500 * ms, 525 * ms, one(500 * ms)}, false},
		{"another limiter", 0, waitSample{920 * ms, 945 * ms, one(500 * ms)}, false},
		{"long before", 1, waitSample{100 * ms, 125 * ms, one(500 * ms)}, false},
		{"later", 1, waitSample{1900 * ms, 1925 * ms, one(500 * ms)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := judge.New(judge.Settings{Classes: []judge.Class{{}}, Plans: []judge.Plan{{}}, Slack: usualSlack, MaxDeadline: time.Second})
			j.RequestAccepted(0, judge.Request{Try: 1, Limiter: 1, Until: time.Second})
			j.RequestAccepted(0, judge.Request{Try: 2, Limiter: 1, Until: time.Second})
			j.AnsweredWithTiming(1060*ms, 1, judge.Failed, judge.DriverTiming{WrittenAt: asked, Remaining: time.Second - asked, AnswerReadAt: 1060 * ms})
			j.Close(2 * time.Second) // the other one never has its answer
			r := &Run{o: Options{Slack: usualSlack}, j: j, processorWaits: newProcessorWaits()}
			r.processorWaits.all[c.who] = []waitSample{c.waited}
			before := j.BreachCounts[judge.OneAnswer]
			if got := len(r.excuse()); before != 2 || got == 1 != c.excused || j.BreachCounts[judge.OneAnswer] != before-got {
				t.Errorf("excused %d, left %v", got, j.Breaches)
			}
		})
	}
}

// What is told out of order by 10 ms more than the slack is taken back where the driver waited for a core so long in
// between, and nowhere else: a limiter that waits has no excuse to send on what it has answered.
func TestExcuseForOrder(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		who     int
		waited  waitSample
		excused bool
	}{
		{"the driver waited", -1, waitSample{120 * ms, 145 * ms, one(10 * ms)}, true},
		{"not for long enough", -1, waitSample{120 * ms, 145 * ms, one(9 * ms)}, false},
		{"before", -1, waitSample{50 * ms, 75 * ms, one(500 * ms)}, false},
		{"later", -1, waitSample{175 * ms, 200 * ms, one(500 * ms)}, false},
		{"the limiter waited", 1, waitSample{120 * ms, 145 * ms, one(500 * ms)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := judge.New(judge.Settings{Classes: []judge.Class{{}}, Plans: []judge.Plan{{}}, Slack: usualSlack, ReorderTolerance: usualSlack, MaxDeadline: time.Second})
			j.RequestAccepted(0, judge.Request{Try: 1, Limiter: 1, Until: time.Second})
			j.Answered(100*ms, 1, judge.Failed)
			j.AttemptStarted(160*ms, 1, judge.Box{ID: 1})
			r := &Run{o: Options{Slack: usualSlack}, j: j, processorWaits: newProcessorWaits()}
			r.processorWaits.all[c.who] = []waitSample{c.waited}
			if got := len(r.excuse()); got == 1 != c.excused || j.BreachCounts[judge.OneAnswer] != 1-got {
				t.Errorf("excused %d, left %v", got, j.Breaches)
			}
		})
	}
}

// What the system tells of waiting is read, and grows while more threads want to run
// than there are cores.
func TestWaitsAreSeen(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skip("this system does not tell how long threads wait")
	}
	var stop atomic.Bool
	defer stop.Store(true)
	before := runtime.GOMAXPROCS(4 * runtime.NumCPU())
	defer runtime.GOMAXPROCS(before)
	for range 4 * runtime.NumCPU() {
		go func() {
			for !stop.Load() {
			}
		}()
	}
	w := newProcessorWaits()
	for at := time.Duration(0); w.during(-1, 0, at) < 100*time.Millisecond; at += sampleEvery {
		if at > 10*time.Second {
			t.Fatal("no thread ever waited")
		}
		w.sample(-1, os.Getpid(), at, at+sampleEvery)
		time.Sleep(sampleEvery) // the pause between two looks at what goes on meanwhile
	}
}

// A goroutine that waits for a thread while no thread waits for a core is seen too: a driver
// with more to do than its threads can is late by itself.
func TestGoroutinesWaitAreSeen(t *testing.T) {
	w := newProcessorWaits()
	w.sampleDriver(0, sampleEvery)
	var stop atomic.Bool
	defer stop.Store(true)
	for range 40 * runtime.GOMAXPROCS(0) { // each keeps its thread for 10 ms
		go func() {
			for !stop.Load() {
			}
		}()
	}
	for at, most := time.Duration(0), time.Duration(0); w.during(-1, 0, at) < 100*time.Millisecond || most < 50*time.Millisecond; at += sampleEvery {
		if at > 10*time.Second {
			t.Fatalf("the longest wait of a goroutine: %v", most)
		}
		time.Sleep(sampleEvery) // the pause between two looks at what goes on meanwhile
		w.sampleDriver(at, at+sampleEvery)
		for _, x := range w.all[-1] {
			most = max(most, x.threads["goroutine"])
		}
	}
}
