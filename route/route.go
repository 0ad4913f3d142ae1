// Package route finds the route that takes a request: the most specific of those whose
// conditions it meets. It does no input or output, and a [Table] never changes, so that
// it may be used from many goroutines.
//
// The order is that of the Kubernetes Gateway API (HTTPRouteRule, "matches"), with
// accounts and plans put before headers: of two routes the one goes before that has
//
//  1. the higher priority,
//  2. the more exact host: a name, then "*.name" with more labels first, then any,
//  3. the more exact path: a whole path, then a prefix, the longer first,
//  4. accounts, where the other has none,
//  5. plans, where the other has none,
//  6. more headers,
//  7. methods, where the other has none.
//
// The place in the file never counts. Two routes that are equal by all of these and can
// meet in one request are a conflict, which [Conflicts] finds.
package route

import (
	"cmp"
	"fmt"
	"net/url"
	"path"
	"slices"
	"strings"
)

// Match are the conditions of a route. An empty one is met by every request.
type Match struct {
	Priority int
	Host     string // "api.example", "*.example" for one label or more before it, or empty
	Path     string // "/a" that path alone, "/a/" all below it; empty is "/"
	Accounts []uint64
	Plans    []string
	Headers  []Header // all of them
	Methods  []string
}

// Header is a header that a request must have once, with this value.
type Header struct{ Name, Value string } // Name in the canonical form of net/http

// Request is what of a request the conditions look at.
type Request struct {
	Host    string // with or without a port
	Path    string // decoded; see Canonical
	Method  string
	Account uint64
	Plan    string
	Header  func(name string) string // nil: no headers
}

// Canonical returns the decoded path of a request, or an error for one that a box may
// read as another: with "//", "." or ".." parts, or an encoded "/", "\" or ".". Guards
// against a request that is routed by one path and served by another.
func Canonical(u *url.URL) (string, error) {
	raw := strings.ToLower(u.EscapedPath())
	for _, bad := range []string{"%2f", "%2e", "%5c", "\\", "%00"} {
		if strings.Contains(raw, bad) {
			return "", fmt.Errorf("the path has %q", bad)
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

// prefix tells whether a path stands for all below it.
func (m *Match) prefix() bool { return m.Path == "" || strings.HasSuffix(m.Path, "/") }

func (m *Match) path() string { return cmp.Or(m.Path, "/") }

// hostKind orders hosts: the higher, the more exact.
func (m *Match) hostKind() int {
	switch {
	case m.Host == "":
		return 0
	case strings.HasPrefix(m.Host, "*."):
		return strings.Count(m.Host, ".")
	}
	return 1 << 20
}

func given(n int) int { return min(n, 1) }

// Compare orders matches: below 0 if m goes before n, 0 if neither does.
func (m *Match) Compare(n *Match) int {
	exact := func(m *Match) int {
		if m.prefix() {
			return len(m.path())
		}
		return 1 << 30
	}
	return cmp.Or(cmp.Compare(n.Priority, m.Priority), cmp.Compare(n.hostKind(), m.hostKind()), cmp.Compare(exact(n), exact(m)),
		cmp.Compare(given(len(n.Accounts)), given(len(m.Accounts))), cmp.Compare(given(len(n.Plans)), given(len(m.Plans))),
		cmp.Compare(len(n.Headers), len(m.Headers)), cmp.Compare(given(len(n.Methods)), given(len(m.Methods))))
}

// Takes tells whether a request meets the conditions.
func (m *Match) Takes(q *Request) bool {
	return hostTakes(m.Host, bareHost(q.Host)) && pathTakes(m.path(), q.Path) && m.rest(q)
}

// rest is Takes for all but host and path.
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

// bareHost is a host in lower case without its port and final dot.
func bareHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.TrimSuffix(strings.ToLower(host), ".")
}

func hostTakes(pattern, host string) bool {
	if suffix, wild := strings.CutPrefix(pattern, "*"); wild {
		return len(host) > len(suffix) && strings.HasSuffix(host, suffix)
	}
	return pattern == "" || pattern == host
}

func pathTakes(pattern, p string) bool {
	return pattern == p || strings.HasSuffix(pattern, "/") && strings.HasPrefix(p, pattern)
}

// Covers tells whether every request that n takes meets m as well.
func (m *Match) Covers(n *Match) bool {
	if m.Host != n.Host && m.Host != "" && !(strings.HasPrefix(m.Host, "*.") && n.Host != "" &&
		hostTakes(m.Host, strings.TrimPrefix(n.Host, "*"))) {
		return false
	}
	if !pathTakes(m.path(), n.path()) || !within(n.Accounts, m.Accounts) || !within(n.Plans, m.Plans) || !within(n.Methods, m.Methods) {
		return false
	}
	for _, h := range m.Headers {
		if !slices.Contains(n.Headers, h) {
			return false
		}
	}
	return true
}

// within tells whether a condition holds no more than another; none holds all.
func within[T comparable](a, b []T) bool {
	return len(b) == 0 || len(a) > 0 && !slices.ContainsFunc(a, func(x T) bool { return !slices.Contains(b, x) })
}

// Overlaps tells whether some request meets both.
func (m *Match) Overlaps(n *Match) bool {
	_, ok := m.Both(n)
	return ok
}

// Both returns conditions that a request meets if it meets m and n, if there is such a
// request. The priority is m's.
func (m *Match) Both(n *Match) (Match, bool) {
	b := Match{Priority: m.Priority}
	switch {
	case hostWithin(n.Host, m.Host):
		b.Host = n.Host
	case hostWithin(m.Host, n.Host):
		b.Host = m.Host
	default:
		return b, false
	}
	switch {
	case pathTakes(m.path(), n.path()):
		b.Path = n.path()
	case pathTakes(n.path(), m.path()):
		b.Path = m.path()
	default:
		return b, false
	}
	var ok [3]bool
	b.Accounts, ok[0] = common(m.Accounts, n.Accounts)
	b.Plans, ok[1] = common(m.Plans, n.Plans)
	b.Methods, ok[2] = common(m.Methods, n.Methods)
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

// hostWithin tells whether all hosts of one pattern are hosts of another.
func hostWithin(a, b string) bool {
	return b == "" || a == b || strings.HasPrefix(b, "*.") && a != "" && strings.HasSuffix(strings.TrimPrefix(a, "*"), b[1:]) && a != b
}

func common[T comparable](a, b []T) ([]T, bool) {
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

// Sample returns a request that meets the conditions, and as few others as can be.
func (m *Match) Sample() Request {
	q := Request{Host: m.Host, Path: m.path(), Method: "GET", Account: 1<<33 - 1}
	if suffix, wild := strings.CutPrefix(m.Host, "*"); wild {
		q.Host = "any" + suffix
	} else if q.Host == "" {
		q.Host = "any.invalid"
	}
	if m.prefix() {
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

// String tells a match as operators read it.
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
