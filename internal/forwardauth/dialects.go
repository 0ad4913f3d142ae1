package forwardauth

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Dialect is the manner in which one kind of proxy asks and takes answers.
type Dialect struct {
	Name         string
	defaultNames Names
	// path takes the original path and query from the ask itself, where no header has
	// it: Envoy sends it behind a prefix.
	originalInPath bool
	// hides tells that the proxy takes 2xx, 401 and 403 alone, so that a refusal has to
	// come as 403 and its real status in a header: nginx turns all else into 500.
	masksStatus bool
}

// StatusHeader has the status that a client is to get, for proxies that can't pass
// it on themselves.
const StatusHeader = "X-Madderdrum-Status"

// GrantHeader has the token, in a yes and in the message that follows.
const GrantHeader = "X-Grant"

// protocolNames are the headers of the protocol between clients and limiters.
var protocolHeaders = Names{ID: "X-Request-ID", Class: "X-Priority-Class", Plan: "Plan", Timeout: "X-Timeout", Quota: "Quota-Info",
	Account: "X-Account", Retried: "X-Retried"}

func withOriginalHeaders(method, uri string) Names {
	n := protocolHeaders
	n.Method, n.URI = method, uri
	return n
}

// dialects by name. Sources: nginx ngx_http_auth_request_module (the names are those
// of its documentation's examples); Traefik ForwardAuth middleware; Caddy
// forward_auth directive; Envoy HTTP ext_authz filter, http_service; HAProxy with
// haproxy-auth-request.lua, which sends the original headers, and variables as set.
var dialects = map[string]*Dialect{
	"nginx":   {Name: "nginx", defaultNames: withOriginalHeaders("X-Original-Method", "X-Original-URI"), masksStatus: true},
	"traefik": {Name: "traefik", defaultNames: withOriginalHeaders("X-Forwarded-Method", "X-Forwarded-Uri")},
	"caddy":   {Name: "caddy", defaultNames: withOriginalHeaders("X-Forwarded-Method", "X-Forwarded-Uri")},
	"envoy":   {Name: "envoy", defaultNames: protocolHeaders, originalInPath: true},
	"haproxy": {Name: "haproxy", defaultNames: withOriginalHeaders("X-Forwarded-Method", "X-Forwarded-Uri")},
}

// original is the method and the path with query that the proxy was asked for.
func (p *Proxy) originalRequest(q *http.Request) (method, uri string, err error) {
	if p.Dialect.originalInPath {
		uri, ok := strings.CutPrefix(q.URL.RequestURI(), p.Prefix)
		if !ok {
			return "", "", fmt.Errorf("the path does not begin with %q", p.Prefix)
		}
		if !strings.HasPrefix(uri, "/") {
			uri = "/" + uri
		}
		return q.Method, uri, nil
	}
	if method, err = singleHeader(q.Header, p.Names.Method); err != nil {
		return "", "", err
	}
	if uri, err = singleHeader(q.Header, p.Names.URI); err != nil {
		return "", "", err
	}
	if method == "" || !strings.HasPrefix(uri, "/") {
		return "", "", fmt.Errorf("no %s or %s", p.Names.Method, p.Names.URI)
	}
	return method, uri, nil
}

// single is a header that may be there once.
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

// yes answers that the request may go.
func (d *Dialect) writeGranted(w http.ResponseWriter, token string) {
	h := w.Header()
	if token != "" {
		h[GrantHeader] = []string{token}
	}
	h["Cache-Control"] = noStore
	w.WriteHeader(http.StatusOK)
}

// no answers that it may not, with the status that its client is to get.
func (d *Dialect) writeRefused(w http.ResponseWriter, status int, wait time.Duration, why string) {
	h := w.Header()
	h.Set("Cache-Control", "no-store")
	if wait > 0 {
		// Whole seconds: what stands between often drops a decimal. Rounded up, so that a
		// client is not back too early.
		h.Set("Retry-After", strconv.Itoa(int((wait+time.Second-1)/time.Second)))
	}
	h.Set(StatusHeader, strconv.Itoa(status))
	if d.masksStatus && status != http.StatusUnauthorized {
		status = http.StatusForbidden
	}
	http.Error(w, why, status)
}
