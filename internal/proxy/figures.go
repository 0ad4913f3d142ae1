package proxy

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"example.org/madderdrum/internal/metrics"
)

// ending is how a request ended: the status of its answer and, where the limiter gave it, why.
type ending struct {
	status int
	reason string
}

// field is its name in a log line.
func (e ending) field() string {
	name := "s" + strconv.Itoa(e.status)
	if e.reason != "" {
		name += "_" + e.reason
	}
	return name
}

// figures are what this limiter tells of itself to those who collect metrics.
func (y *Proxy) figures() []metrics.Figure {
	ready := y.ready()
	y.mu.Lock()
	defer y.mu.Unlock()
	left := max(0, y.lease.End()-time.Since(y.begun))
	all := []metrics.Figure{
		metrics.Flag("madderdrum_proxy_ready", "Whether requests can be served here.", ready),
		metrics.Flag("madderdrum_proxy_leaving", "Whether SIGTERM has come.", y.leaving.Load()),
		metrics.One("madderdrum_proxy_requests_in_hand", "Requests that were read and have no answer yet.", metrics.Gauge, float64(y.inHand.Load())),
		y.answerFigure(),
		metrics.One("madderdrum_proxy_share", "Part of what binds all limiters together that this one holds.", metrics.Gauge, y.share),
		metrics.One("madderdrum_proxy_lease_left_seconds", "For how long it holds that part yet.", metrics.Gauge, left.Seconds()),
		metrics.One("madderdrum_proxy_register_sequence", "Number of the agreed state that is in force here.", metrics.Gauge, float64(y.reg.Seq)),
		metrics.One("madderdrum_proxy_configuration_version", "Version of the configuration that is in force here.", metrics.Gauge, float64(y.reg.Version)),
		metrics.One("madderdrum_proxy_limiters_out_of_reach", "Other limiters of the region that this one does not reach.", metrics.Gauge, float64(len(y.unreachable))),
	}
	if !y.proved.IsZero() {
		all = append(all, metrics.One("madderdrum_proxy_proof_age_seconds", "Age of the latest proof that nothing newer is agreed.", metrics.Gauge, time.Since(y.proved).Seconds()))
	}
	all = append(all, metrics.One("madderdrum_proxy_client_connections", "Connections of clients that are open.", metrics.Gauge, float64(y.clients.count())))
	all = append(all, y.disconnects.figures()...)
	all = append(all, y.departure.figures()...)
	all = append(all, y.stalls.figures()...)
	return append(all, y.attemptFigure(), metrics.Instances("madderdrum_proxy_instances", y.book.Counts(y.now())))
}

// answerFigure counts answers by status and reason. The mutex is held.
func (y *Proxy) answerFigure() metrics.Figure {
	f := metrics.Figure{Name: "madderdrum_proxy_answers_total", Kind: metrics.Counter,
		Help: "Requests that ended, by the status of their answer and the limiter's reason; 499 is a client that has left, and is never sent."}
	var keys []ending
	for k := range y.ended {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b ending) int { return cmp.Or(cmp.Compare(a.status, b.status), cmp.Compare(a.reason, b.reason)) })
	for _, k := range keys {
		f.Samples = append(f.Samples, metrics.Sample{Value: float64(y.ended[k]),
			Labels: []metrics.Label{{Name: "status", Value: strconv.Itoa(k.status)}, {Name: "reason", Value: k.reason}}})
	}
	return f
}

// attemptFigure counts what is out at servers. The mutex is held.
func (y *Proxy) attemptFigure() metrics.Figure {
	n := 0
	if y.engine != nil {
		for _, k := range y.engine.inHand {
			n += k
		}
	}
	return metrics.One("madderdrum_proxy_attempts_in_hand", "Attempts that are out at servers.", metrics.Gauge, float64(n))
}

// figures tell what became of requests whose clients left.
func (f *disconnectFigures) figures() []metrics.Figure {
	count := func(name, help string, n int) metrics.Figure {
		return metrics.One("madderdrum_proxy_"+name, help, metrics.Counter, float64(n))
	}
	return []metrics.Figure{
		count("client_disconnects_total", "Connections that clients closed with requests in hand.", f.connections),
		count("disconnected_requests_total", "Those requests.", f.requests),
		count("disconnected_attempts_broken_off_total", "Attempts ended at their server because their client had left.", f.brokenOff),
		count("disconnected_attempts_sent_total", "Attempts sent to a server after their client had left.", f.sentAfter),
		count("disconnected_requests_ran_on_total", "Requests in hand for over half a second after their client had left.", f.ranOn),
		metrics.One("madderdrum_proxy_disconnected_longest_seconds", "Longest that one was.", metrics.Gauge, f.longest.Seconds()),
	}
}
