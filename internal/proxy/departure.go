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

// shutdownPollInterval is how often a limiter that is shutting down checks its progress.
const shutdownPollInterval = 20 * time.Millisecond

// maxCutOffLogLines bounds how many of the requests still unanswered at exit are logged individually.
const maxCutOffLogLines = 20

// shutdownStats describes what happens between SIGTERM and the end of the process.
type shutdownStats struct {
	sigtermAt          time.Time     // when SIGTERM was sent, as far as known; zero: no SIGTERM yet
	accepted           int           // requests read since sigtermAt
	acceptedOnOldConns int           // of these, requests on connections opened before sigtermAt
	lastAcceptedAfter  time.Duration // time from sigtermAt until the latest of them had been read
	answeredAt         time.Time     // when the remaining requests were answered at exit; zero: not yet
	signalDelay        time.Duration // time by which SIGTERM may have been sent before it was received
	// Requests that were still unanswered at exit.
	cutNotExecuted, cutUnknown int // not sent to any server; possibly executed by one
}

// statusLine returns the statistics as a line of key=value pairs for the status call.
func (stats *shutdownStats) statusLine(connections int) string {
	if stats.sigtermAt.IsZero() {
		return fmt.Sprintf("clients connections=%d", connections)
	}
	return fmt.Sprintf("clients connections=%d leaving_for=%s heard_late_ms=%d taken_since=%d on_kept=%d latest_ms=%d cut_unrun=%d cut_unknown=%d",
		connections, time.Since(stats.sigtermAt).Round(time.Millisecond), stats.signalDelay.Milliseconds(),
		stats.accepted, stats.acceptedOnOldConns, stats.lastAcceptedAfter.Milliseconds(), stats.cutNotExecuted,
		stats.cutUnknown)
}

func (stats *shutdownStats) metricValues() []metrics.Metric {
	return []metrics.Metric{
		metrics.SingleValue("madderdrum_proxy_requests_taken_while_leaving_total", "Requests that were read after SIGTERM.",
			metrics.Counter, float64(stats.accepted)),
		metrics.SingleValue("madderdrum_proxy_latest_taken_while_leaving_seconds",
			"How long after SIGTERM the latest of them had been read.", metrics.Gauge,
			stats.lastAcceptedAfter.Seconds()),
		metrics.SingleValue("madderdrum_proxy_requests_cut_at_exit_total",
			"Requests that the end of the process found in hand and answered as they stood.", metrics.Counter,
			float64(stats.cutNotExecuted+stats.cutUnknown)),
	}
}

// shutDown runs the shutdown that package shutdown plans. The limiter leaves the directory and stops being ready
// at once. After a while it stops accepting requests, answers those it has accepted, and returns its place.
func (proxy *Proxy) shutDown(frontend net.Listener) {
	receivedAt := time.Now()
	base := proxy.stalls.earliestSent(receivedAt) // the grace period starts when SIGTERM was sent
	plan := shutdown.NewPlan(proxy.settings.Bounds.Grace, directoryTTL)
	proxy.noteSIGTERM(base, receivedAt)
	proxy.intakeEndsAt.Store(int64(base.Add(plan.IntakeEnd()).Sub(proxy.base)))
	proxy.leaving.Store(true)
	proxy.stopLending()
	proxy.wakePull()
	proxy.log.WithFields(logrus.Fields{"connections": proxy.clients.count(),
		"heard_late_ms": receivedAt.Sub(base).Milliseconds()}).Info("leaves")
	intakeStopped := false
	for progress := proxy.shutdownProgress(base); !plan.MayExit(progress); progress = proxy.shutdownProgress(base) {
		if !plan.AcceptsRequests(progress) && !intakeStopped {
			intakeStopped = true
			frontend.Close()
			proxy.stopIntake()
		}
		if plan.MustAnswer(progress) {
			proxy.answerAllAtExit()
		}
		if plan.Drained(progress) {
			proxy.returnPlace()
		}
		time.Sleep(plan.NextCheck(progress, shutdownPollInterval))
	}
	proxy.logExit()
}

// shutdownProgress returns the progress of a shutdown that started at sigtermAt.
func (proxy *Proxy) shutdownProgress(sigtermAt time.Time) shutdown.Progress {
	proxy.mu.Lock()
	answeredAt := proxy.departure.answeredAt
	proxy.mu.Unlock()
	return shutdown.Progress{Since: time.Since(sigtermAt), Requests: int(proxy.inFlight.Load()),
		Connections: proxy.clients.count(), PlaceReturned: proxy.placeReturned(),
		Answered: !answeredAt.IsZero(), AnsweredFor: time.Since(answeredAt)}
}

// stopIntake stops reading further requests. Connections without a request in flight are closed at once, the
// others after their last answer.
func (proxy *Proxy) stopIntake() {
	connections, inFlight := proxy.clients.count(), proxy.inFlight.Load()
	proxy.clients.each((*pipeline).stopIntake)
	proxy.log.WithFields(logrus.Fields{"connections": connections,
		"in_hand": inFlight}).Info("takes no further requests")
}

// intakeEnded reports whether further requests are refused. It compares times instead of relying on the loop in
// shutDown: a process that was stopped across the end of its intake may read requests before that loop runs again.
func (proxy *Proxy) intakeEnded() bool {
	ends := proxy.intakeEndsAt.Load()
	return ends != 0 && int64(time.Since(proxy.base)) >= ends
}

// answerAllAtExit gives every unanswered request its final answer shortly before the process ends. The answers are
// written before the log lines, because logging may block.
func (proxy *Proxy) answerAllAtExit() {
	proxy.mu.Lock()
	alreadyAnswered := !proxy.departure.answeredAt.IsZero()
	if !alreadyAnswered {
		proxy.departure.answeredAt = time.Now()
	}
	proxy.mu.Unlock()
	if alreadyAnswered {
		return
	}
	lines := proxy.unanswered()
	close(proxy.exiting)
	for _, fields := range lines {
		proxy.log.WithFields(fields).Warn("request is cut off by the end of the process")
	}
}

// countCutOff counts a request that was still unanswered at exit.
func (proxy *Proxy) countCutOff(a *answer) {
	proxy.mu.Lock()
	if a.status == http.StatusServiceUnavailable {
		proxy.departure.cutNotExecuted++
	} else {
		proxy.departure.cutUnknown++
	}
	proxy.mu.Unlock()
	proxy.countAnswer(a)
}

// noteSIGTERM records when SIGTERM was sent, as far as known, and when it was received.
func (proxy *Proxy) noteSIGTERM(sigtermAt, receivedAt time.Time) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.departure.sigtermAt, proxy.departure.signalDelay = sigtermAt, receivedAt.Sub(sigtermAt)
}

// countAccepted counts a request that was accepted after SIGTERM.
func (proxy *Proxy) countAccepted(pipe *pipeline, req *pendingRequest) {
	if !proxy.leaving.Load() {
		return
	}
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	stats := &proxy.departure
	stats.accepted++
	if pipe.openedAt.Before(stats.sigtermAt) {
		stats.acceptedOnOldConns++
	}
	stats.lastAcceptedAfter = max(stats.lastAcceptedAfter, req.readAt.Sub(stats.sigtermAt))
}

// unanswered returns log fields for the requests without an answer, at most maxCutOffLogLines of them.
func (proxy *Proxy) unanswered() (lines []logrus.Fields) {
	proxy.mu.Lock()
	sigtermAt := proxy.departure.sigtermAt
	proxy.mu.Unlock()
	proxy.clients.each(func(pipe *pipeline) {
		for _, req := range pipe.unanswered() {
			if req.handOff == nil || len(lines) == maxCutOffLogLines {
				continue
			}
			lines = append(lines, logrus.Fields{"id": req.id, "read_after_ms": req.readAt.Sub(sigtermAt).Milliseconds(),
				"age_ms": time.Since(req.readAt).Milliseconds(), "kept": pipe.openedAt.Before(sigtermAt)})
		}
	})
	return lines
}

// logExit logs the state at the end of the process.
func (proxy *Proxy) logExit() {
	proxy.mu.Lock()
	stats := proxy.departure
	proxy.mu.Unlock()
	proxy.log.WithFields(logrus.Fields{"in_hand": proxy.inFlight.Load(), "connections": proxy.clients.count(),
		"taken":   stats.accepted,
		"on_kept": stats.acceptedOnOldConns, "latest_ms": stats.lastAcceptedAfter.Milliseconds(),
		"cut_unrun": stats.cutNotExecuted, "cut_unknown": stats.cutUnknown}).Info("ends")
}
