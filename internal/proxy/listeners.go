package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"example.org/madderdrum/internal/httpapi"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
)

// listen starts the listeners for readiness checks, the client directory and status calls.
func (proxy *Proxy) listen(ctx context.Context) error {
	for name, h := range map[string]httpapi.Handler{"readiness": proxy.readiness, "directory": proxy.resolve} {
		address := proxy.settings.Listen[name]
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("proxy: listen for %s: %w", name, err)
		}
		go (&httpapi.Server{Handler: h, MaxBody: 1 << 10}).Serve(ctx, l)
	}
	l, err := net.Listen("tcp", proxy.settings.InternalAddress(proxy.settings.IP, nodesettings.ProxyPort))
	if err != nil {
		return fmt.Errorf("proxy: listen for status calls: %w", err)
	}
	go rpc.Serve(ctx, l, map[string]rpc.Handler{rpc.CallStatus: rpc.NoBodyHandler(proxy.status)})
	return nil
}

// status returns this limiter's state as lines of key=value pairs.
func (proxy *Proxy) status(context.Context) (any, error) {
	ready := proxy.ready()
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proof := "none"
	if !proxy.provenAt.IsZero() {
		proof = time.Since(proxy.provenAt).Round(time.Millisecond).String()
	}
	table := proxy.register.PlaceTable()
	lines := []string{
		fmt.Sprintf("program=proxy node=%s zone=%s life=%s ready=%v leaving=%v in_hand=%d proof_age=%s keys_honoured=%v",
			proxy.settings.Node, proxy.settings.Zone, proxy.instanceID, ready, proxy.leaving.Load(),
			proxy.inFlight.Load(), proof, proxy.keysTrusted()),
		fmt.Sprintf("register seq=%d version=r%d evacuated=%v limiters=%d", proxy.register.Seq,
			proxy.register.Version, proxy.register.EvacuatedZones, table.HeldCount()),
		fmt.Sprintf("place=%d share=%.4f lease_left=%s settled=%d", proxy.ownSlot(), proxy.share,
			max(0, proxy.lease.End()-time.Since(proxy.base)).Round(time.Millisecond), table.Settled),
	}
	lines = append(lines, fmt.Sprintf("membership probed=%d unreachable=%v", len(proxy.memberIPs),
		slices.Sorted(maps.Keys(proxy.unreachable))))
	lines = append(lines, fmt.Sprintf("clients_left connections=%d requests=%d sent_after=%d broken_off=%d ran_on=%d longest_ms=%d",
		proxy.disconnects.connections, proxy.disconnects.requests, proxy.disconnects.sentAfterDisconnect,
		proxy.disconnects.abortedAttempts, proxy.disconnects.overruns, proxy.disconnects.longestOverrun.Milliseconds()))
	lines = append(lines, proxy.departure.statusLine(proxy.clients.count()))
	lines = append(lines, proxy.loadReports.StatusLines(proxy.now())...)
	lines = append(lines, proxy.records.Report(proxy.now())...)
	if e := proxy.engine; e != nil {
		of, rest, _ := e.quota.Ledger.Parts(proxy.now())
		lines = append(lines, fmt.Sprintf("parts rest=%.3f limiters=%d", rest, e.slotCount))
		for i, t := range proxy.configSnapshot.Load().table.Tenants {
			part, ok := of[accountID(t.Name)]
			if !ok {
				part = rest
			}
			lines = append(lines, fmt.Sprintf("tenant=%s place=%d rate_per_s=%g part=%.3f demand_per_s=%.2f", t.Name,
				i, t.Rate, part, e.quota.Ledger.Rate(accountID(t.Name))))
		}
	}
	return rpc.Status{Lines: lines}, nil
}

func (proxy *Proxy) readiness(_ context.Context, r *http.Request, _ []byte) httpapi.Answer {
	if !proxy.ready() {
		return httpapi.Answer{Status: 503}
	}
	return httpapi.Answer{Status: 200}
}

type resolveAnswer struct {
	Addresses []string `json:"addresses"`
	TTL       string   `json:"ttl"`
}

func (proxy *Proxy) resolve(_ context.Context, r *http.Request, _ []byte) httpapi.Answer {
	if r.URL.Path != "/resolve" {
		return httpapi.Answer{Status: 404, Body: []byte(`{"error":"ask for /resolve"}`)}
	}
	q := r.URL.Query()
	zone, region := q.Get("zone"), q.Get("region")
	if region == "" {
		region = proxy.settings.Zones[zone]
	}
	all := proxy.limiterAddresses(q.Get("name"), zone, region)
	if len(all) == 0 {
		return httpapi.Answer{Status: 503, Body: []byte(`{"error":"no limiter is known to be ready"}`)}
	}
	body, err := json.Marshal(resolveAnswer{all, strings.TrimSuffix(directoryTTL.String(), "0ms")})
	if err != nil {
		return httpapi.Answer{Status: 500}
	}
	return httpapi.Answer{Status: 200, Body: body}
}
