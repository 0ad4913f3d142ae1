// Package forwardauth implements forward authentication (external authorization): other
// proxies ask whether a request is admitted, each in its own dialect, and share the quotas of
// the requests that the limiter forwards itself. The decision module decides; package grant
// keeps the leases.
package forwardauth

import (
	"cmp"
	"net/netip"
	"time"

	"example.org/madderdrum/config"
)

// Listener is the configuration of one limiter's endpoint for proxies.
type Listener struct {
	Limiter    string
	Listen     string
	TLS        *TLS
	KeysFile   string // path of the file with the keys that sign tokens; required by ask-then-carry
	MaxLeases  int    // maximum of open leases
	MaxPending int    // maximum of authorization requests that wait for the decision module
	Proxies    []Proxy
}

// TLS has the paths of a listener's certificate and key, and of the authorities that issue the
// proxies' client certificates. The files are reloaded when they change.
type TLS struct{ Cert, Key, ClientCA string }

// Mode is what happens to a request after it has been granted.
type Mode int

// The values of [Mode].
const (
	AskedOnly    Mode = iota // the proxy sends the message elsewhere: a grant counts as sent
	AskThenCarry             // the message then passes through a limiter: a grant is a lease
)

// Proxy configures a group of proxies that share a dialect and credentials.
type Proxy struct {
	Name           string
	Dialect        *Dialect
	Mode           Mode
	From           []netip.Prefix
	SecretFile     string // path of the file with shared secrets; empty: none
	SecretHeader   string // header that carries the secret
	CertNames      []string
	PathPrefix     string // that the proxy prepends to the path
	LeaseDuration  time.Duration
	DefaultTimeout time.Duration // client timeout of requests that do not give one
	Names          Names
	Routes         []Route
}

// Names are the request headers that describe the original request. The dialect gives the defaults.
type Names struct {
	Method, URI              string
	ID, Class, Plan, Timeout string
	Quota, Account, Retried  string
}

// Route gives the class, plan and units of requests under a path whose headers leave them out.
type Route struct {
	Path, Method, Class, Plan string
	Units                     float64
}

// defaultSecretHeader carries a proxy's secret unless the configuration names another header.
const defaultSecretHeader = "X-Proxy-Secret"

// FromConfig returns the listener that a validated configuration describes.
func FromConfig(c *config.ForwardAuth) Listener {
	listener := Listener{Limiter: c.Limiter, Listen: c.Listen, KeysFile: c.KeysFile, MaxLeases: c.MaxLeases, MaxPending: c.MaxPending}
	if c.TLS != nil {
		listener.TLS = &TLS{c.TLS.Cert, c.TLS.Key, c.TLS.ClientCA}
	}
	for _, p := range c.Proxies {
		proxy := Proxy{Name: p.Name, Dialect: dialects[p.Dialect], SecretFile: p.SecretFile, SecretHeader: cmp.Or(p.SecretHeader, defaultSecretHeader), CertNames: p.CertNames,
			PathPrefix: p.PathPrefix, LeaseDuration: p.Lease, DefaultTimeout: p.DefaultTimeout}
		if p.Mode == "ask-then-carry" {
			proxy.Mode = AskThenCarry
		}
		for _, from := range p.From {
			proxy.From = append(proxy.From, netip.MustParsePrefix(from)) // validated by the configuration loader
		}
		n := proxy.Dialect.defaultNames
		for name, to := range map[string]*string{"method": &n.Method, "uri": &n.URI, "request_id": &n.ID, "class": &n.Class, "plan": &n.Plan,
			"timeout": &n.Timeout, "quota": &n.Quota, "account": &n.Account, "retried": &n.Retried} {
			*to = cmp.Or(p.HeaderNames[name], *to)
		}
		proxy.Names = n
		for _, r := range p.Routes {
			proxy.Routes = append(proxy.Routes, Route{Path: r.Path, Method: r.Method, Class: r.Class, Plan: r.Plan, Units: r.Units})
		}
		listener.Proxies = append(listener.Proxies, proxy)
	}
	return listener
}
