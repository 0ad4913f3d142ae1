package proxy

import (
	"net/http"
	"time"

	"example.org/madderdrum/limiter"
)

// probe asks a server for its health. The proxy's mutex is held.
func (e *engine) probe(id uint64) {
	y := e.y
	s := e.servers[id]
	v := y.view.Load()
	if s == nil || v == nil || y.upstreams[s.life] == nil {
		return
	}
	st := y.upstreams[s.life]
	path := "/health"
	if svc := v.table.Services[st.service]; svc != nil && svc.HealthPath != "" {
		path = svc.HealthPath
	}
	go func() {
		begun := time.Now()
		ev := limiter.Probed{Server: id, Result: limiter.NoRoute, Load: limiter.Load{Busy: -1, Pending: -1, ServiceMs: -1}}
		if r, err := st.connect(begun.Add(probeWithin)); err == nil {
			ev.Result = r.health(st, path, begun.Add(probeWithin))
			r.Close()
		}
		ev.SpentMs = ms(time.Since(begun))
		e.dispatch(ev)
	}()
}

// health asks for a server's health on a connection of its own.
func (r *serverConn) health(st *upstream, path string, until time.Time) limiter.Result {
	r.SetDeadline(until)
	r.lim.left = answerHead
	out := appendHeader([]byte("GET "+path+" HTTP/1.1\r\n"), "Host", st.address)
	if _, err := r.Write(append(out, "Connection: close\r\n\r\n"...)); err != nil {
		return limiter.NoRoute
	}
	resp, err := http.ReadResponse(r.in, nil)
	switch {
	case err != nil && r.died:
		return limiter.Cut
	case err != nil:
		return limiter.TooSlow
	case resp.StatusCode != 200 || resp.Header.Get("X-Madderdrum-Instance-Id") != st.life:
		return limiter.Fault
	}
	return limiter.Pass
}
