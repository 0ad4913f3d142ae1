package loopback

import (
	"bytes"
	"fmt"
	"os"
	"runtime/metrics"
	"slices"
	"strconv"
	"sync"
	"time"

	"example.org/madderdrum/internal/judge"
)

// A limiter answers a few milliseconds before its client gives up, and the rules give it
// 50 ms more. On a machine whose cores are all busy the system lets a thread wait longer
// than both together, and then the answer's time says nothing about the limiter. The
// system counts how long each thread was ready to run and waited for a core: "run_delay"
// in /proc/PID/task/TID/schedstat (Documentation/scheduler/sched-stats.rst of Linux).
// Where it has no such file, all is judged as it is.
//
// The driver's own goroutines, and those of a limiter that a test plays in its process, wait
// a second time: for a thread. The system does not see that; the runtime counts it.
const (
	sampleEvery = 25 * time.Millisecond
	lookBack    = 100 * time.Millisecond // before an answer was due
	// hearFor is how long clients listen for an answer after they have given up, so that
	// one that comes late is told from one that never comes.
	hearFor = 2 * time.Second
)

// processorWaits follows how long processes waited for a core.
type processorWaits struct {
	mu    sync.Mutex
	all   map[int][]waitSample             // by limiter; -1 is the driver
	last  map[int]map[string]time.Duration // by limiter and thread
	ready []metrics.Sample                 // how long goroutines of the driver were ready and waited for a thread
	seen  []uint64                         // of them by the buckets of that histogram
}

// schedLatencies is the runtime's histogram of how long goroutines were ready to run and did
// not; see package runtime/metrics.
const schedLatencies = "/sched/latencies:seconds"

// readyFor is how long a goroutine of this process waited most since the last time, rounded
// down to a bucket of the runtime's.
func (w *processorWaits) readyFor() (most time.Duration) {
	metrics.Read(w.ready)
	if w.ready[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := w.ready[0].Value.Float64Histogram()
	for i, n := range h.Counts {
		if len(w.seen) == len(h.Counts) && n > w.seen[i] && h.Buckets[i] > 0 {
			most = time.Duration(h.Buckets[i] * float64(time.Second))
		}
	}
	w.seen = append(w.seen[:0], h.Counts...)
	return most
}

// waitSample is the time that each thread of a process waited in one span.
type waitSample struct {
	from, to time.Duration
	threads  map[string]time.Duration
}

// sampleProcessorWaits samples until the run is over.
func (r *Run) sampleProcessorWaits(stop <-chan struct{}) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	before := time.Since(r.start)
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		now := time.Since(r.start)
		r.processorWaits.sampleDriver(before, now)
		for i, l := range r.limiters {
			if c, ok := l.process().(*command); ok {
				r.processorWaits.sample(i, c.cmd.Process.Pid, before, now)
			}
		}
		before = now
	}
}

// sampleDriver adds what the threads and goroutines of this process have waited.
func (w *processorWaits) sampleDriver(from, to time.Duration) {
	w.sample(-1, os.Getpid(), from, to)
	d := w.readyFor()
	if d < time.Millisecond {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// It is told once it has run: its wait began so long before.
	w.all[-1] = append(w.all[-1], waitSample{min(from, to-d), to, map[string]time.Duration{"goroutine": d}})
}

// sample adds what the threads of a process have waited since the last time.
func (w *processorWaits) sample(who, pid int, from, to time.Duration) {
	now := runDelays(pid)
	if now == nil {
		return
	}
	threads := map[string]time.Duration{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for thread, delay := range now {
		before, have := w.last[who][thread]
		if have && delay-before > time.Millisecond {
			threads[thread] = delay - before
		}
	}
	w.last[who] = now
	if len(threads) > 0 {
		w.all[who] = append(w.all[who], waitSample{from, to, threads})
	}
}

// schedstatMost is longer than any schedstat file: three numbers.
const schedstatMost = 128

// runDelays is how long each thread of a process has waited for a core since it began, by the thread's
// number; nil where the process is gone or the system doesn't tell. It is asked for many times a second:
// it looks at no more files than it needs.
func runDelays(pid int) map[string]time.Duration {
	folder := fmt.Sprintf("/proc/%d/task", pid)
	dir, err := os.Open(folder)
	if err != nil {
		return nil
	}
	defer dir.Close()
	threads, err := dir.Readdirnames(-1)
	if err != nil {
		return nil
	}
	delays := make(map[string]time.Duration, len(threads))
	buffer := make([]byte, schedstatMost)
	for _, thread := range threads {
		if delay, ok := runDelay(folder+"/"+thread+"/schedstat", buffer); ok {
			delays[thread] = delay
		}
	}
	return delays
}

// runDelay reads the second number of a schedstat file, in nanoseconds. ok is false where the thread has
// ended.
func runDelay(path string, buffer []byte) (delay time.Duration, ok bool) {
	file, err := os.Open(path)
	if err != nil {
		return 0, false
	}
	defer file.Close()
	n, err := file.Read(buffer)
	fields := bytes.Fields(buffer[:n])
	if err != nil || len(fields) < 2 {
		return 0, false
	}
	nanoseconds, err := strconv.ParseInt(string(fields[1]), 10, 64)
	return time.Duration(nanoseconds), err == nil
}

// during is how long the thread of a process that waited longest did so in the spans
// that meet one.
func (w *processorWaits) during(who int, from, to time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	sums, most := map[string]time.Duration{}, time.Duration(0)
	for _, x := range w.all[who] {
		if x.to < from || x.from > to {
			continue
		}
		for path, d := range x.threads {
			sums[path] += d
			most = max(most, sums[path])
		}
	}
	return most
}

// excuse takes back the answers that would have come within the slack if no thread of the
// limiter and none of the driver had waited for a core at that time, and what the driver would have told in
// order if none of its own had. An answer that never came is never excused.
func (r *Run) excuse() []judge.Breach {
	return r.j.RemoveExcused(func(b judge.Breach) bool {
		late := b.At - b.Due - r.o.Slack
		switch {
		case b.LateAnswer:
			from := b.Due - lookBack
			return r.processorWaits.during(-1, from, b.At)+r.processorWaits.during(b.Limiter, from, b.At) >= late
		case b.OutOfOrder:
			return r.processorWaits.during(-1, b.Due, b.At) >= late
		}
		return false
	})
}

// newProcessorWaits returns a record of nothing.
func newProcessorWaits() *processorWaits {
	return &processorWaits{all: map[int][]waitSample{}, last: map[int]map[string]time.Duration{}, ready: []metrics.Sample{{Name: schedLatencies}}}
}

// starvedLine tells of breaches that were taken back.
func starvedLine(b []judge.Breach) string {
	if len(b) == 0 {
		return ""
	}
	at := slices.MinFunc(b, func(x, y judge.Breach) int { return int(x.At - y.At) })
	return fmt.Sprintf("the machine was too busy to judge %d answers and attempts, the first at %v", len(b), at.At.Round(time.Millisecond))
}
