package proxy

import (
	"sync"
	"time"

	"example.org/madderdrum/internal/metrics"
	"example.org/madderdrum/traffic/shutdown"
)

// stallWatch knows when this process stood still. The zero value has no first tick yet.
type stallWatch struct {
	mu       sync.Mutex
	first    time.Time // the tick from which the detector's times are counted
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

// settling tells that the process has just gone on, and may not have heard what was sent to it meanwhile.
func (w *stallWatch) settling(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.first.IsZero() && w.detector.Settling(now.Sub(w.first))
}

// sentFrom is the earliest moment at which a signal that is heard now may have been sent.
func (w *stallWatch) sentFrom(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first.IsZero() {
		return now
	}
	return w.first.Add(w.detector.SentFrom(now.Sub(w.first)))
}

func (w *stallWatch) figures() []metrics.Figure {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, longest := w.detector.Stalls()
	return []metrics.Figure{
		metrics.One("madderdrum_proxy_stalls_total", "Times at which the process stood still.", metrics.Counter, float64(count)),
		metrics.One("madderdrum_proxy_longest_stall_seconds", "The longest of them.", metrics.Gauge, longest.Seconds()),
	}
}

// tickStalls notes that the process runs.
func (y *Proxy) tickStalls() { y.stalls.tick(time.Now()) }

// awaitSettled has the process hear what was sent to it while it stood still, before a request is begun: SIGTERM may
// have come, and the end of the intake with it.
func (y *Proxy) awaitSettled() {
	if y.stalls.settling(time.Now()) {
		time.Sleep(shutdown.SettleWithin)
	}
}
