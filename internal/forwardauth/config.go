// Package forwardauth answers other proxies that ask "may this request go?", in the
// manner that each kind of proxy speaks, under the same quotas as the requests that
// the limiter carries. The decision module decides; leases are kept by package grant.
package forwardauth

import (
	"cmp"
	"net/netip"
	"time"

	"example.org/madderdrum/config"
)

// Listener is where the proxies of one limiter ask.
type Listener struct {
	Limiter string
	Listen  string
	TLS     *TLS
	Keys    string // file of keys for tokens; needed by ask-then-carry
	Leases  int    // out at once at most
	Pending int    // asks that wait for the module at most
	Proxies []Proxy
}

// TLS are the files of a listener's certificate, and of the authorities whose
// certificates proxies must show. They are read again when they change.
type TLS struct{ Cert, Key, ClientCA string }

// Mode is what a yes means.
type Mode int

// The modes.
const (
	AskedOnly    Mode = iota // the message never comes here: a yes counts as sent
	AskThenCarry             // it comes through a limiter: a yes is a lease
)

// Proxy is one kind of asker.
type Proxy struct {
	Name    string
	Dialect *Dialect
	Mode    Mode
	From    []netip.Prefix
	Secret  string // file; empty: none
	Header  string // that has the secret
	Certs   []string
	Prefix  string // that the proxy puts before the path
	Lease   time.Duration
	Wait    time.Duration // a client's time, where the request does not say
	Names   Names
	Routes  []Route
}

// Names are the headers that tell what is asked, by the protocol unless set.
type Names struct {
	Method, URI              string
	ID, Class, Plan, Timeout string
	Quota, Account, Retried  string
}

// Route says what requests under a path are, where their headers don't.
type Route struct {
	Path, Method, Class, Plan string
	Units                     float64
}

// defaultSecret is the header of a proxy's secret.
const defaultSecretHeader = "X-Proxy-Secret"

// FromConfig is the listener that a checked configuration describes.
func FromConfig(c *config.ForwardAuth) Listener {
	l := Listener{Limiter: c.Limiter, Listen: c.Listen, Keys: c.Keys, Leases: c.Leases, Pending: c.Pending}
	if c.TLS != nil {
		l.TLS = &TLS{c.TLS.Cert, c.TLS.Key, c.TLS.ClientCA}
	}
	for _, p := range c.Proxies {
		x := Proxy{Name: p.Name, Dialect: dialects[p.Dialect], Secret: p.Secret, Header: cmp.Or(p.Header, defaultSecretHeader), Certs: p.Certs,
			Prefix: p.Prefix, Lease: p.Lease, Wait: p.Wait}
		if p.Mode == "ask-then-carry" {
			x.Mode = AskThenCarry
		}
		for _, from := range p.From {
			x.From = append(x.From, netip.MustParsePrefix(from)) // checked
		}
		n := x.Dialect.defaultNames
		for name, to := range map[string]*string{"method": &n.Method, "uri": &n.URI, "request_id": &n.ID, "class": &n.Class, "plan": &n.Plan,
			"timeout": &n.Timeout, "quota": &n.Quota, "account": &n.Account, "retried": &n.Retried} {
			*to = cmp.Or(p.Names[name], *to)
		}
		x.Names = n
		for _, r := range p.Routes {
			x.Routes = append(x.Routes, Route{Path: r.Path, Method: r.Method, Class: r.Class, Plan: r.Plan, Units: r.Units})
		}
		l.Proxies = append(l.Proxies, x)
	}
	return l
}
