// Package metrics tells a process's own figures as text, in the exposition format of Prometheus
// (version 0.0.4), for whoever asks at a port of its own. A client library would cost each limiter more
// memory than all that it has to tell.
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

// Path is where the figures are told.
const Path = "/metrics"

// contentType is that of the format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// Kind is how a figure moves.
type Kind string

// The kinds of figures.
const (
	Counter Kind = "counter" // only rises while the process lives
	Gauge   Kind = "gauge"
)

// Label tells samples of a figure apart.
type Label struct{ Name, Value string }

// Sample is one value of a figure.
type Sample struct {
	Labels []Label
	Value  float64
}

// Figure is what is told under one name.
type Figure struct {
	Name    string // with its unit, as in madderdrum_proof_age_seconds
	Help    string // one line
	Kind    Kind
	Samples []Sample
}

// One is a figure of a single value.
func One(name, help string, kind Kind, value float64) Figure {
	return Figure{name, help, kind, []Sample{{Value: value}}}
}

// Flag is a gauge that is 1 where something holds, else 0.
func Flag(name, help string, holds bool) Figure {
	value := 0.0
	if holds {
		value = 1
	}
	return One(name, help, Gauge, value)
}

// Text writes figures in their order.
func Text(figures []Figure) []byte {
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

// Serve tells figures at an address until the context ends. collect is called for each request.
func Serve(ctx context.Context, address string, collect func() []Figure) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for those who ask for metrics: %w", err)
	}
	go (&httpapi.Server{Handler: handler(collect), MaxBody: 1 << 10}).Serve(ctx, listener)
	return nil
}

// Offer tells figures at an address, unless it is empty. A process whose figures can't be told serves on.
func Offer(ctx context.Context, address string, log logrus.FieldLogger, collect func() []Figure) {
	if address == "" {
		return
	}
	if err := Serve(ctx, address, collect); err != nil {
		log.WithField("err", err).Warn("metrics can't be told")
	}
}

func handler(collect func() []Figure) httpapi.Handler {
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
