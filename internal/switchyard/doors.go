package switchyard

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"

	"example.org/madderdrum/internal/wicket"
)

// doors opens the listeners for the platform's checks and for clients that ask where to go.
func (y *Yard) doors(ctx context.Context) error {
	for name, h := range map[string]wicket.Handler{"readiness": y.readiness, "directory": y.resolve} {
		address := y.set.Listen[name]
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("switchyard: listen for %s: %w", name, err)
		}
		go (&wicket.Server{Handler: h, MaxBody: 1 << 10}).Serve(ctx, l)
	}
	return nil
}

func (y *Yard) readiness(_ context.Context, r *http.Request, _ []byte) wicket.Answer {
	if !y.ready() {
		return wicket.Answer{Status: 503}
	}
	return wicket.Answer{Status: 200}
}

type resolved struct {
	Addresses []string `json:"addresses"`
	TTL       string   `json:"ttl"`
}

func (y *Yard) resolve(_ context.Context, r *http.Request, _ []byte) wicket.Answer {
	if r.URL.Path != "/resolve" {
		return wicket.Answer{Status: 404, Body: []byte(`{"error":"ask for /resolve"}`)}
	}
	q := r.URL.Query()
	zone, region := q.Get("zone"), q.Get("region")
	if region == "" {
		region = y.set.Zones[zone]
	}
	all := y.nearby(zone, region)
	if len(all) == 0 {
		return wicket.Answer{Status: 503, Body: []byte(`{"error":"no limiter is known to be ready"}`)}
	}
	if len(all) > 64 {
		all = all[:64]
	}
	body, err := json.Marshal(resolved{all, strings.TrimSuffix(ttl.String(), "0ms")})
	if err != nil {
		return wicket.Answer{Status: 500}
	}
	return wicket.Answer{Status: 200, Body: body}
}
