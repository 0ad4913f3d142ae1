package forwardauth

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Dialect is how one kind of proxy sends authorization requests and interprets the responses.
type Dialect struct {
	Name         string
	defaultNames Names
	// originalInPath is set if the authorization request itself has the original path and query,
	// after a prefix, instead of a header (Envoy).
	originalInPath bool
	// masksStatus is set if the proxy accepts only 2xx, 401 and 403, so that refusals are sent as
	// 403 with the real status in a header: nginx turns every other status into 500.
	masksStatus bool
}

// StatusHeader is the response header with the status for the client, for proxies that can't
// forward the status of the response itself.
const StatusHeader = "X-Madderdrum-Status"

// GrantHeader carries the lease's token, in the response that grants a request and in the message that follows.
const GrantHeader = "X-Grant"

// protocolHeaders are the headers of the protocol between clients and limiters.
var protocolHeaders = Names{ID: "X-Request-ID", Class: "X-Priority-Class", Plan: "Plan", Timeout: "X-Timeout", Quota: "Quota-Info",
	Account: "X-Account", Retried: "X-Retried"}

func withOriginalHeaders(method, uri string) Names {
	n := protocolHeaders
	n.Method, n.URI = method, uri
	return n
}

// dialects maps names to dialects. Sources: nginx ngx_http_auth_request_module (header names
// from the examples in its documentation); Traefik ForwardAuth middleware; Caddy forward_auth
// directive; Envoy HTTP ext_authz filter, http_service; HAProxy with haproxy-auth-request.lua,
// which sends the original headers and the configured variables.
var dialects = map[string]*Dialect{
	"nginx":   {Name: "nginx", defaultNames: withOriginalHeaders("X-Original-Method", "X-Original-URI"), masksStatus: true},
	"traefik": {Name: "traefik", defaultNames: withOriginalHeaders("X-Forwarded-Method", "X-Forwarded-Uri")},
	"caddy":   {Name: "caddy", defaultNames: withOriginalHeaders("X-Forwarded-Method", "X-Forwarded-Uri")},
	"envoy":   {Name: "envoy", defaultNames: protocolHeaders, originalInPath: true},
	"haproxy": {Name: "haproxy", defaultNames: withOriginalHeaders("X-Forwarded-Method", "X-Forwarded-Uri")},
}

// originalRequest returns the method and the URI (path and query) of the client's request to the proxy.
func (p *Proxy) originalRequest(req *http.Request) (method, uri string, err error) {
	if p.Dialect.originalInPath {
		uri, ok := strings.CutPrefix(req.URL.RequestURI(), p.PathPrefix)
		if !ok {
			return "", "", fmt.Errorf("the path does not begin with %q", p.PathPrefix)
		}
		if !strings.HasPrefix(uri, "/") {
			uri = "/" + uri
		}
		return req.Method, uri, nil
	}
	if method, err = singleHeader(req.Header, p.Names.Method); err != nil {
		return "", "", err
	}
	if uri, err = singleHeader(req.Header, p.Names.URI); err != nil {
		return "", "", err
	}
	if method == "" || !strings.HasPrefix(uri, "/") {
		return "", "", fmt.Errorf("no %s or %s", p.Names.Method, p.Names.URI)
	}
	return method, uri, nil
}

// singleHeader returns the value of a header, or an error if it occurs more than once.
func singleHeader(h http.Header, name string) (string, error) {
	values := h.Values(name)
	if len(values) > 1 {
		return "", fmt.Errorf("%s is there %d times", name, len(values))
	}
	if len(values) == 0 {
		return "", nil
	}
	return values[0], nil
}

var noStore = []string{"no-store"}

// writeGranted sends the response that lets the request pass.
func (d *Dialect) writeGranted(w http.ResponseWriter, token string) {
	h := w.Header()
	if token != "" {
		h[GrantHeader] = []string{token}
	}
	h["Cache-Control"] = noStore
	w.WriteHeader(http.StatusOK)
}

// writeRefused sends the response that rejects the request; status is the one for the client.
func (d *Dialect) writeRefused(w http.ResponseWriter, status int, wait time.Duration, why string) {
	h := w.Header()
	h.Set("Cache-Control", "no-store")
	if wait > 0 {
		// Intermediaries often drop fractions of seconds. Rounds up so that a client does not
		// retry too early.
		h.Set("Retry-After", strconv.Itoa(int((wait+time.Second-1)/time.Second)))
	}
	h.Set(StatusHeader, strconv.Itoa(status))
	if d.masksStatus && status != http.StatusUnauthorized {
		status = http.StatusForbidden
	}
	http.Error(w, why, status)
}
