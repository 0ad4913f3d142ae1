// Package metrics exports a process's metrics over HTTP on a separate port, in the Prometheus text exposition
// format (version 0.0.4). It does not use a client library because one would need more memory in each limiter
// than the metrics themselves.
package metrics

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/internal/httpapi"
)

// Path is the URL path of the metrics.
const Path = "/metrics"

// contentType is the media type of the exposition format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// Kind is the Prometheus type of a metric.
type Kind string

// The supported types.
const (
	Counter Kind = "counter" // never decreases during the life of the process
	Gauge   Kind = "gauge"
)

// Label is a name and value that distinguishes samples of a metric.
type Label struct{ Name, Value string }

// Sample is the value of a metric for one set of labels.
type Sample struct {
	Labels []Label
	Value  float64
}

// Metric is a metric with all its samples.
type Metric struct {
	Name    string // with its unit, as in madderdrum_proof_age_seconds
	Help    string // one line
	Kind    Kind
	Samples []Sample
}

// SingleValue returns a metric with a single sample and no labels.
func SingleValue(name, help string, kind Kind, value float64) Metric {
	return Metric{name, help, kind, []Sample{{Value: value}}}
}

// Flag returns a gauge that is 1 if holds is true, else 0.
func Flag(name, help string, holds bool) Metric {
	value := 0.0
	if holds {
		value = 1
	}
	return SingleValue(name, help, Gauge, value)
}

// Text returns metrics in the exposition format, in the given order.
func Text(figures []Metric) []byte {
	var out []byte
	for _, f := range figures {
		out = fmt.Appendf(out, "# HELP %s %s\n# TYPE %s %s\n", f.Name, escapeHelp(f.Help), f.Name, f.Kind)
		for _, s := range f.Samples {
			out = append(out, f.Name...)
			out = appendLabels(out, s.Labels)
			out = append(out, ' ')
			out = strconv.AppendFloat(out, s.Value, 'g', -1, 64)
			out = append(out, '\n')
		}
	}
	return out
}

var (
	helpEscapes  = strings.NewReplacer(`\`, `\\`, "\n", `\n`)
	valueEscapes = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)
)

func escapeHelp(text string) string { return helpEscapes.Replace(text) }

func appendLabels(out []byte, labels []Label) []byte {
	for i, l := range labels {
		separator := byte(',')
		if i == 0 {
			separator = '{'
		}
		out = append(out, separator)
		out = append(out, l.Name...)
		out = append(out, `="`...)
		out = append(out, valueEscapes.Replace(l.Value)...)
		out = append(out, '"')
	}
	if len(labels) > 0 {
		out = append(out, '}')
	}
	return out
}

// Serve exports metrics on address in the background until the context ends. It calls collect for each request.
func Serve(ctx context.Context, address string, collect func() []Metric) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for metrics requests: %w", err)
	}
	go (&httpapi.Server{Handler: handler(collect), MaxBody: 1 << 10}).Serve(ctx, listener)
	return nil
}

// ServeIfConfigured exports metrics like [Serve], or does nothing if address is empty. It logs an error instead of returning
// it: a process works without its metrics.
func ServeIfConfigured(ctx context.Context, address string, log logrus.FieldLogger, collect func() []Metric) {
	if address == "" {
		return
	}
	if err := Serve(ctx, address, collect); err != nil {
		log.WithField("err", err).Warn("can't serve metrics")
	}
}

func handler(collect func() []Metric) httpapi.Handler {
	return func(_ context.Context, r *http.Request, _ []byte) httpapi.Answer {
		switch {
		case r.URL.Path != Path:
			return httpapi.Answer{Status: http.StatusNotFound, Body: []byte(`{"error":"ask for ` + Path + `"}`)}
		case r.Method != http.MethodGet:
			return httpapi.Answer{Status: http.StatusMethodNotAllowed, Body: []byte(`{"error":"ask with GET"}`)}
		}
		return httpapi.Answer{Status: http.StatusOK, ContentType: contentType, Body: Text(collect())}
	}
}
