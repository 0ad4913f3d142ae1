package proxy

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/internal/metrics"
	"example.org/madderdrum/traffic/shutdown"
)

// departureStep is how often a limiter that leaves looks at how far it has come.
const departureStep = 20 * time.Millisecond

// cutLinesMost is how many requests that the process's end finds in hand are logged one by one.
const cutLinesMost = 20

// departureFigures tell what a limiter does between SIGTERM and the end of its process.
type departureFigures struct {
	begun  time.Time     // from when SIGTERM is counted; zero: it has not come
	taken  int           // requests that were read since
	onKept int           // those of them on connections that were open at SIGTERM
	latest time.Duration // how long after SIGTERM the latest one had been read
	told   time.Time     // when what was in hand at the end was answered; zero: it has not been
	late   time.Duration // how long before it was heard SIGTERM may have been sent
	// What was in hand at the end, and answered as it stood.
	unrun, unknown int // no server had it; one may have run it
}

// line tells the figures to an operator who asks how the limiter stands.
func (f *departureFigures) line(connections int) string {
	if f.begun.IsZero() {
		return fmt.Sprintf("clients connections=%d", connections)
	}
	return fmt.Sprintf("clients connections=%d leaving_for=%s heard_late_ms=%d taken_since=%d on_kept=%d latest_ms=%d cut_unrun=%d cut_unknown=%d",
		connections, time.Since(f.begun).Round(time.Millisecond), f.late.Milliseconds(), f.taken, f.onKept, f.latest.Milliseconds(), f.unrun, f.unknown)
}

func (f *departureFigures) figures() []metrics.Figure {
	return []metrics.Figure{
		metrics.One("madderdrum_proxy_requests_taken_while_leaving_total", "Requests that were read after SIGTERM.", metrics.Counter, float64(f.taken)),
		metrics.One("madderdrum_proxy_latest_taken_while_leaving_seconds", "How long after SIGTERM the latest of them had been read.", metrics.Gauge, f.latest.Seconds()),
		metrics.One("madderdrum_proxy_requests_cut_at_exit_total", "Requests that the end of the process found in hand and answered as they stood.", metrics.Counter, float64(f.unrun+f.unknown)),
	}
}

// leave ends in order, as package shutdown decides: the limiter is out of the directory and not ready at
// once; after a while it takes no further request, and what it has taken is answered; then its place is
// given back.
func (y *Proxy) leave(front net.Listener) {
	heard := time.Now()
	begun := y.stalls.sentFrom(heard)
	plan := shutdown.NewPlan(y.set.Bounds.Grace, ttl)
	y.noteSIGTERM(begun, heard)
	y.intakeEnds.Store(int64(begun.Add(plan.IntakeEnd()).Sub(y.begun)))
	y.leaving.Store(true)
	y.stopLending()
	y.poke()
	y.log.WithFields(logrus.Fields{"connections": y.clients.count(), "heard_late_ms": heard.Sub(begun).Milliseconds()}).Info("leaves")
	intakeStopped := false
	for at := y.progress(begun); !plan.MayExit(at); at = y.progress(begun) {
		if !plan.TakesRequests(at) && !intakeStopped {
			intakeStopped = true
			front.Close()
			y.stopIntake()
		}
		if plan.MustAnswer(at) {
			y.answerAtExit()
		}
		if plan.Drained(at) {
			y.giveBack()
		}
		time.Sleep(plan.LookAgain(at, departureStep))
	}
	y.logEnd()
}

// progress is how far the shutdown that began then has come.
func (y *Proxy) progress(begun time.Time) shutdown.Progress {
	y.mu.Lock()
	told := y.departure.told
	y.mu.Unlock()
	return shutdown.Progress{Since: time.Since(begun), Requests: int(y.inHand.Load()), Connections: y.clients.count(), PlaceReturned: y.placeReturned(),
		Answered: !told.IsZero(), AnsweredFor: time.Since(told)}
}

// stopIntake has no further request read. Connections on which nothing is in hand are closed, the others
// behind their last answer.
func (y *Proxy) stopIntake() {
	connections, inHand := y.clients.count(), y.inHand.Load()
	y.clients.each((*pipeline).stopIntake)
	y.log.WithFields(logrus.Fields{"connections": connections, "in_hand": inHand}).Info("takes no further requests")
}

// intakeIsOver tells that no further request is taken. It goes by the time, and not by what the loop of leave has
// come to: a process that stands still across the end of its intake may read requests before that loop runs again.
func (y *Proxy) intakeIsOver() bool {
	ends := y.intakeEnds.Load()
	return ends != 0 && int64(time.Since(y.begun)) >= ends
}

// answerAtExit has whatever is in hand answered as it stands, shortly before the process ends. The answers go before
// the log, as its lines may have to wait.
func (y *Proxy) answerAtExit() {
	y.mu.Lock()
	again := !y.departure.told.IsZero()
	if !again {
		y.departure.told = time.Now()
	}
	y.mu.Unlock()
	if again {
		return
	}
	lines := y.unanswered()
	close(y.exiting)
	for _, fields := range lines {
		y.log.WithFields(fields).Warn("request is cut off by the end of the process")
	}
}

// countCutOff counts a request that was answered as it stood.
func (y *Proxy) countCutOff(a *answer) {
	y.mu.Lock()
	if a.status == http.StatusServiceUnavailable {
		y.departure.unrun++
	} else {
		y.departure.unknown++
	}
	y.mu.Unlock()
	y.count(a)
}

// noteSIGTERM notes from when SIGTERM is counted, and when it was heard.
func (y *Proxy) noteSIGTERM(begun, heard time.Time) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.departure.begun, y.departure.late = begun, heard.Sub(begun)
}

// countTaken counts a request that was taken in after SIGTERM.
func (y *Proxy) countTaken(l *pipeline, s *slot) {
	if !y.leaving.Load() {
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	f := &y.departure
	f.taken++
	if l.opened.Before(f.begun) {
		f.onKept++
	}
	f.latest = max(f.latest, s.read.Sub(f.begun))
}

// unanswered tells of the requests in hand that are not answered yet, of cutLinesMost at most.
func (y *Proxy) unanswered() (lines []logrus.Fields) {
	y.mu.Lock()
	begun := y.departure.begun
	y.mu.Unlock()
	y.clients.each(func(l *pipeline) {
		for _, s := range l.unanswered() {
			if s.handOff == nil || len(lines) == cutLinesMost {
				continue
			}
			lines = append(lines, logrus.Fields{"id": s.id, "read_after_ms": s.read.Sub(begun).Milliseconds(),
				"age_ms": time.Since(s.read).Milliseconds(), "kept": l.opened.Before(begun)})
		}
	})
	return lines
}

// logEnd logs what the end of the process finds.
func (y *Proxy) logEnd() {
	y.mu.Lock()
	f := y.departure
	y.mu.Unlock()
	y.log.WithFields(logrus.Fields{"in_hand": y.inHand.Load(), "connections": y.clients.count(), "taken": f.taken,
		"on_kept": f.onKept, "latest_ms": f.latest.Milliseconds(), "cut_unrun": f.unrun, "cut_unknown": f.unknown}).Info("ends")
}
