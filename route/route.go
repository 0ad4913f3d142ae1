// Package route selects the route for a request: the most specific one whose conditions the
// request meets. It does no I/O, and a [Table] never changes, so that it is safe for
// concurrent use.
//
// The order follows the Kubernetes Gateway API (HTTPRouteRule, "matches"), with accounts and
// plans added before headers. Of two routes, the first is the one with
//
//  1. the higher priority,
//  2. the more specific host: an exact name, then "*.name" with more labels, then any host,
//  3. the more specific path: an exact path, then the longer prefix,
//  4. accounts, if the other has none,
//  5. plans, if the other has none,
//  6. more headers,
//  7. methods, if the other has none.
//
// The position in the file is irrelevant. Two routes that are equal in all of these and can
// match the same request are a conflict, which [Table.Conflicts] finds.
package route

import (
	"cmp"
	"fmt"
	"net/url"
	"path"
	"slices"
	"strings"
)

// Match holds the conditions of a route. An empty Match matches every request.
type Match struct {
	Priority int
	Host     string // "api.example"; "*.example" for one or more labels before it; empty for any host
	Path     string // "/a" for exactly that path; "/a/" for all paths below it; empty means "/"
	Accounts []uint64
	Plans    []string
	Headers  []Header // all of them must match
	Methods  []string
}

// Header is a header that a request must carry once, with this value.
type Header struct{ Name, Value string } // Name in the canonical form of net/http

// Request holds the properties of a request that conditions are checked against.
type Request struct {
	Host    string // with or without a port
	Path    string // decoded; see Canonical
	Method  string
	Account uint64
	Plan    string
	Header  func(name string) string // nil: no headers
}

// Canonical returns the decoded path of a request, or an error for a path that an upstream
// server may interpret differently: with "//", "." or ".." segments, or an encoded "/", "\",
// "." or NUL. This prevents a request from being routed by one path and served by another.
func Canonical(u *url.URL) (string, error) {
	raw := strings.ToLower(u.EscapedPath())
	for _, forbidden := range []string{"%2f", "%2e", "%5c", "\\", "%00"} {
		if strings.Contains(raw, forbidden) {
			return "", fmt.Errorf("the path has %q", forbidden)
		}
	}
	p := u.Path
	if p == "" {
		p = "/"
	}
	if clean := path.Clean(p); clean != p && clean+"/" != p {
		return "", fmt.Errorf("the path is not in its shortest form, %q", clean)
	}
	return p, nil
}

// isPrefix reports whether the path condition matches all paths below it.
func (m *Match) isPrefix() bool { return m.Path == "" || strings.HasSuffix(m.Path, "/") }

func (m *Match) path() string { return cmp.Or(m.Path, "/") }

// hostSpecificity ranks the host condition: a higher number is more specific.
func (m *Match) hostSpecificity() int {
	switch {
	case m.Host == "":
		return 0
	case strings.HasPrefix(m.Host, "*."):
		return strings.Count(m.Host, ".")
	}
	return 1 << 20
}

func presence(n int) int { return min(n, 1) }

// Compare orders matches by specificity: negative if m comes before n, 0 if they are equal.
func (m *Match) Compare(n *Match) int {
	exact := func(m *Match) int {
		if m.isPrefix() {
			return len(m.path())
		}
		return 1 << 30
	}
	return cmp.Or(cmp.Compare(n.Priority, m.Priority), cmp.Compare(n.hostSpecificity(), m.hostSpecificity()), cmp.Compare(exact(n), exact(m)),
		cmp.Compare(presence(len(n.Accounts)), presence(len(m.Accounts))), cmp.Compare(presence(len(n.Plans)), presence(len(m.Plans))),
		cmp.Compare(len(n.Headers), len(m.Headers)), cmp.Compare(presence(len(n.Methods)), presence(len(m.Methods))))
}

// Matches reports whether a request meets all conditions.
func (m *Match) Matches(q *Request) bool {
	return hostMatches(m.Host, normalizeHost(q.Host)) && pathMatches(m.path(), q.Path) && m.rest(q)
}

// rest checks all conditions except host and path.
func (m *Match) rest(q *Request) bool {
	if len(m.Accounts) > 0 && !slices.Contains(m.Accounts, q.Account) ||
		len(m.Plans) > 0 && !slices.Contains(m.Plans, q.Plan) ||
		len(m.Methods) > 0 && !slices.Contains(m.Methods, q.Method) {
		return false
	}
	for _, h := range m.Headers {
		if q.Header == nil || q.Header(h.Name) != h.Value {
			return false
		}
	}
	return true
}

// normalizeHost returns a host in lower case without its port and trailing dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.TrimSuffix(strings.ToLower(host), ".")
}

func hostMatches(pattern, host string) bool {
	if suffix, wild := strings.CutPrefix(pattern, "*"); wild {
		return len(host) > len(suffix) && strings.HasSuffix(host, suffix)
	}
	return pattern == "" || pattern == host
}

func pathMatches(pattern, p string) bool {
	return pattern == p || strings.HasSuffix(pattern, "/") && strings.HasPrefix(p, pattern)
}

// Covers reports whether every request that n matches is also matched by m.
func (m *Match) Covers(n *Match) bool {
	if m.Host != n.Host && m.Host != "" && !(strings.HasPrefix(m.Host, "*.") && n.Host != "" &&
		hostMatches(m.Host, strings.TrimPrefix(n.Host, "*"))) {
		return false
	}
	if !pathMatches(m.path(), n.path()) || !isSubset(n.Accounts, m.Accounts) || !isSubset(n.Plans, m.Plans) || !isSubset(n.Methods, m.Methods) {
		return false
	}
	for _, h := range m.Headers {
		if !slices.Contains(n.Headers, h) {
			return false
		}
	}
	return true
}

// isSubset reports whether every value that a allows is allowed by b. An empty list allows all values.
func isSubset[T comparable](a, b []T) bool {
	return len(b) == 0 || len(a) > 0 && !slices.ContainsFunc(a, func(x T) bool { return !slices.Contains(b, x) })
}

// Overlaps reports whether some request matches both m and n.
func (m *Match) Overlaps(n *Match) bool {
	_, ok := m.Intersect(n)
	return ok
}

// Intersect returns the conditions of the requests that match both m and n, and whether there can
// be such a request. The result has the priority of m.
func (m *Match) Intersect(n *Match) (Match, bool) {
	b := Match{Priority: m.Priority}
	switch {
	case hostIsSubset(n.Host, m.Host):
		b.Host = n.Host
	case hostIsSubset(m.Host, n.Host):
		b.Host = m.Host
	default:
		return b, false
	}
	switch {
	case pathMatches(m.path(), n.path()):
		b.Path = n.path()
	case pathMatches(n.path(), m.path()):
		b.Path = m.path()
	default:
		return b, false
	}
	var ok [3]bool
	b.Accounts, ok[0] = intersect(m.Accounts, n.Accounts)
	b.Plans, ok[1] = intersect(m.Plans, n.Plans)
	b.Methods, ok[2] = intersect(m.Methods, n.Methods)
	if ok != [3]bool{true, true, true} {
		return b, false
	}
	b.Headers = slices.Clone(m.Headers)
	for _, h := range n.Headers {
		i := slices.IndexFunc(b.Headers, func(x Header) bool { return x.Name == h.Name })
		if i >= 0 && b.Headers[i] != h {
			return b, false
		}
		if i < 0 {
			b.Headers = append(b.Headers, h)
		}
	}
	return b, true
}

// hostIsSubset reports whether every host that matches pattern a also matches pattern b.
func hostIsSubset(a, b string) bool {
	return b == "" || a == b || strings.HasPrefix(b, "*.") && a != "" && strings.HasSuffix(strings.TrimPrefix(a, "*"), b[1:]) && a != b
}

func intersect[T comparable](a, b []T) ([]T, bool) {
	if len(a) == 0 {
		return b, true
	}
	if len(b) == 0 {
		return a, true
	}
	var both []T
	for _, x := range a {
		if slices.Contains(b, x) {
			both = append(both, x)
		}
	}
	return both, len(both) > 0
}

// Sample returns a request that meets the conditions and as few others as possible.
func (m *Match) Sample() Request {
	q := Request{Host: m.Host, Path: m.path(), Method: "GET", Account: 1<<33 - 1}
	if suffix, wild := strings.CutPrefix(m.Host, "*"); wild {
		q.Host = "any" + suffix
	} else if q.Host == "" {
		q.Host = "any.invalid"
	}
	if m.isPrefix() {
		q.Path += "any"
	}
	if len(m.Methods) > 0 {
		q.Method = m.Methods[0]
	}
	if len(m.Accounts) > 0 {
		q.Account = m.Accounts[0]
	}
	if len(m.Plans) > 0 {
		q.Plan = m.Plans[0]
	}
	headers := m.Headers
	q.Header = func(name string) string {
		for _, h := range headers {
			if h.Name == name {
				return h.Value
			}
		}
		return ""
	}
	return q
}

// String returns the conditions in the form shown to operators.
func (m *Match) String() string {
	var b strings.Builder
	if len(m.Methods) > 0 {
		b.WriteString(strings.Join(m.Methods, "|") + " ")
	}
	b.WriteString(cmp.Or(m.Host, "*") + m.path())
	for _, h := range m.Headers {
		fmt.Fprintf(&b, " %s: %s", h.Name, h.Value)
	}
	if len(m.Plans) > 0 {
		b.WriteString(" plan " + strings.Join(m.Plans, "|"))
	}
	for i, a := range m.Accounts {
		if i == 3 {
			fmt.Fprintf(&b, " and %d accounts more", len(m.Accounts)-i)
			break
		}
		fmt.Fprintf(&b, " account %016x", a)
	}
	return b.String()
}
