package proxy

import (
	"sync"
	"time"

	"example.org/madderdrum/internal/metrics"
	"example.org/madderdrum/traffic/shutdown"
)

// stallWatch detects times at which this process did not run. Its zero value has not seen a tick.
type stallWatch struct {
	mu       sync.Mutex
	first    time.Time // time 0 of the detector
	detector shutdown.StallDetector
}

func (w *stallWatch) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first.IsZero() {
		w.first = now
	}
	w.detector.Tick(now.Sub(w.first))
}

// settling reports whether the process has just resumed, so that signals sent to it meanwhile may not have been
// received yet.
func (w *stallWatch) settling(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.first.IsZero() && w.detector.Settling(now.Sub(w.first))
}

// earliestSent returns the earliest time at which a signal received now may have been sent.
func (w *stallWatch) earliestSent(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first.IsZero() {
		return now
	}
	return w.first.Add(w.detector.EarliestSent(now.Sub(w.first)))
}

func (w *stallWatch) metricValues() []metrics.Metric {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, longest := w.detector.Stalls()
	return []metrics.Metric{
		metrics.SingleValue("madderdrum_proxy_stalls_total", "Times at which the process stood still.", metrics.Counter,
			float64(count)),
		metrics.SingleValue("madderdrum_proxy_longest_stall_seconds", "The longest of them.", metrics.Gauge, longest.Seconds()),
	}
}

// tickStalls records that the process is running.
func (proxy *Proxy) tickStalls() { proxy.stalls.tick(time.Now()) }

// awaitSettled waits, after a stall, until signals sent during it have been received, before a request is started:
// one of them may be SIGTERM, and the intake may have ended.
func (proxy *Proxy) awaitSettled() {
	if proxy.stalls.settling(time.Now()) {
		time.Sleep(shutdown.SettleTime)
	}
}
