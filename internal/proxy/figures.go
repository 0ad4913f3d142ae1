package proxy

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"example.org/madderdrum/internal/metrics"
)

// ending identifies how a request ended: the status code and, if the limiter itself answered, the reason.
type ending struct {
	status int
	reason string
}

// logField returns the outcome as the key of a log field.
func (e ending) logField() string {
	name := "s" + strconv.Itoa(e.status)
	if e.reason != "" {
		name += "_" + e.reason
	}
	return name
}

// metricValues returns the values for the metrics endpoint.
func (proxy *Proxy) metricValues() []metrics.Metric {
	ready := proxy.ready()
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	leaseLeft := max(0, proxy.lease.End()-time.Since(proxy.base))
	all := []metrics.Metric{
		metrics.Flag("madderdrum_proxy_ready", "Whether requests can be served here.", ready),
		metrics.Flag("madderdrum_proxy_leaving", "Whether SIGTERM has come.", proxy.leaving.Load()),
		metrics.SingleValue("madderdrum_proxy_requests_in_hand", "Requests that were read and have no answer yet.",
			metrics.Gauge, float64(proxy.inFlight.Load())),
		proxy.answersMetric(),
		metrics.SingleValue("madderdrum_proxy_share", "Part of what binds all limiters together that this one holds.",
			metrics.Gauge, proxy.share),
		metrics.SingleValue("madderdrum_proxy_lease_left_seconds", "For how long it holds that part yet.", metrics.Gauge,
			leaseLeft.Seconds()),
		metrics.SingleValue("madderdrum_proxy_register_sequence", "Number of the agreed state that is in force here.",
			metrics.Gauge, float64(proxy.register.Seq)),
		metrics.SingleValue("madderdrum_proxy_configuration_version", "Version of the configuration that is in force here.",
			metrics.Gauge, float64(proxy.register.Version)),
		metrics.SingleValue("madderdrum_proxy_limiters_out_of_reach",
			"Other limiters of the region that this one does not reach.", metrics.Gauge,
			float64(len(proxy.unreachable))),
	}
	if !proxy.provenAt.IsZero() {
		all = append(all, metrics.SingleValue("madderdrum_proxy_proof_age_seconds",
			"Age of the latest proof that nothing newer is agreed.", metrics.Gauge,
			time.Since(proxy.provenAt).Seconds()))
	}
	all = append(all, metrics.SingleValue("madderdrum_proxy_client_connections", "Connections of clients that are open.",
		metrics.Gauge, float64(proxy.clients.count())))
	all = append(all, proxy.disconnects.metricValues()...)
	all = append(all, proxy.departure.metricValues()...)
	all = append(all, proxy.stalls.metricValues()...)
	return append(all, proxy.attemptsMetric(), metrics.Instances("madderdrum_proxy_instances",
		proxy.records.Counts(proxy.now())))
}

// answersMetric counts answers by status and reason. The mutex is held.
func (proxy *Proxy) answersMetric() metrics.Metric {
	f := metrics.Metric{Name: "madderdrum_proxy_answers_total", Kind: metrics.Counter,
		Help: "Requests that ended, by the status of their answer and the limiter's reason; 499 is a client that has left, and is never sent."}
	var keys []ending
	for k := range proxy.answerCounts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys,
		func(a, b ending) int { return cmp.Or(cmp.Compare(a.status, b.status), cmp.Compare(a.reason, b.reason)) })
	for _, k := range keys {
		f.Samples = append(f.Samples, metrics.Sample{Value: float64(proxy.answerCounts[k]),
			Labels: []metrics.Label{{Name: "status", Value: strconv.Itoa(k.status)},
				{Name: "reason", Value: k.reason}}})
	}
	return f
}

// attemptsMetric counts the attempts that servers have not answered yet. The mutex is held.
func (proxy *Proxy) attemptsMetric() metrics.Metric {
	n := 0
	if proxy.engine != nil {
		for _, k := range proxy.engine.inFlight {
			n += k
		}
	}
	return metrics.SingleValue("madderdrum_proxy_attempts_in_hand", "Attempts that are out at servers.", metrics.Gauge,
		float64(n))
}

// metricValues returns the counters of requests whose clients disconnected.
func (stats *disconnectStats) metricValues() []metrics.Metric {
	count := func(name, help string, n int) metrics.Metric {
		return metrics.SingleValue("madderdrum_proxy_"+name, help, metrics.Counter, float64(n))
	}
	return []metrics.Metric{
		count("client_disconnects_total", "Connections that clients closed with requests in hand.", stats.connections),
		count("disconnected_requests_total", "Those requests.", stats.requests),
		count("disconnected_attempts_broken_off_total",
			"Attempts ended at their server because their client had left.", stats.abortedAttempts),
		count("disconnected_attempts_sent_total", "Attempts sent to a server after their client had left.",
			stats.sentAfterDisconnect),
		count("disconnected_requests_ran_on_total",
			"Requests in hand for over half a second after their client had left.", stats.overruns),
		metrics.SingleValue("madderdrum_proxy_disconnected_longest_seconds", "Longest that one was.", metrics.Gauge,
			stats.longestOverrun.Seconds()),
	}
}
