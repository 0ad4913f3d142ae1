package proxy

import (
	"io"
	"net/http"
	"time"

	"example.org/madderdrum/internal/httpresponse"
	"example.org/madderdrum/limiter"
)

// probe checks a server's health asynchronously. The proxy's mutex is held.
func (e *engine) probe(id uint64) {
	proxy := e.proxy
	entry := e.servers[id]
	config := proxy.configSnapshot.Load()
	if entry == nil || config == nil || proxy.upstreams[entry.instanceID] == nil {
		return
	}
	server := proxy.upstreams[entry.instanceID]
	path := "/health"
	if svc := config.table.Services[server.service]; svc != nil && svc.HealthPath != "" {
		path = svc.HealthPath
	}
	go func() {
		startedAt := time.Now()
		ev := limiter.Probed{Server: id, Result: limiter.NoRoute,
			Load: limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}}
		if conn, err := server.connect(startedAt.Add(probeTimeout)); err == nil {
			ev.Result = conn.checkHealth(server, path, startedAt.Add(probeTimeout))
			conn.Close()
		}
		ev.SpentMs = ms(time.Since(startedAt))
		e.lockAndHandle(ev)
	}()
}

// checkHealth sends a health check on a new connection and returns its result.
func (conn *serverConn) checkHealth(server *upstream, path string, until time.Time) limiter.Result {
	conn.SetDeadline(until)
	conn.limited.remaining = maxAnswerHead
	out := appendHeader([]byte("GET "+path+" HTTP/1.1\r\n"), "Host", server.address)
	if _, err := conn.Write(append(out, "Connection: close\r\n\r\n"...)); err != nil {
		return limiter.NoRoute
	}
	resp, err := httpresponse.ReadFinal(conn.in, http.MethodGet)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	switch {
	case err != nil && conn.readErr != nil:
		return limiter.Cut
	case err != nil:
		return limiter.TooSlow
	case resp.StatusCode != 200 || resp.Header.Get("X-Madderdrum-Instance-Id") != server.instanceID:
		return limiter.Fault
	}
	return limiter.Pass
}
