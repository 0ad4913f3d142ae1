package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"

	"example.org/madderdrum/route"
)

// takes is a reference implementation of matching, written from the documentation of Match alone.
func takes(m *route.Match, q *route.Request) bool {
	host, _, _ := strings.Cut(strings.ToLower(q.Host), ":")
	if after, wild := strings.CutPrefix(m.Host, "*."); wild {
		if !strings.HasSuffix(host, "."+after) || host == "."+after {
			return false
		}
	} else if m.Host != "" && m.Host != host {
		return false
	}
	if p := m.Path; p != "" && p != q.Path && !(strings.HasSuffix(p, "/") && strings.HasPrefix(q.Path, p)) {
		return false
	}
	for _, h := range m.Headers {
		if q.Header(h.Name) != h.Value {
			return false
		}
	}
	return (len(m.Accounts) == 0 || slices.Contains(m.Accounts, q.Account)) && (len(m.Plans) == 0 || slices.Contains(m.Plans, q.Plan)) &&
		(len(m.Methods) == 0 || slices.Contains(m.Methods, q.Method))
}

// rank returns the specificity of a match as a list to compare, in the order of the package documentation.
func rank(m *route.Match) []int {
	host := 0
	if m.Host != "" {
		host = 1 + strings.Count(m.Host, ".")
		if !strings.HasPrefix(m.Host, "*.") {
			host = 1000
		}
	}
	path := len(m.Path)
	if m.Path == "" {
		path = 1
	} else if !strings.HasSuffix(m.Path, "/") {
		path = 1 << 20
	}
	has := func(n int) int { return min(n, 1) }
	return []int{m.Priority, host, path, has(len(m.Accounts)), has(len(m.Plans)), len(m.Headers), has(len(m.Methods))}
}

func some[T any](r *rand.Rand, from []T) []T {
	var out []T
	for _, x := range from {
		if r.IntN(3) == 0 {
			out = append(out, x)
		}
	}
	return out
}

var (
	hosts = []string{"", "", "a.example", "b.example", "*.example", "*.a.example", "x.a.example"}
	paths = []string{"", "/", "/a", "/a/", "/a/b", "/a/b/", "/ab", "/c/"}
)

func randomMatch(r *rand.Rand) route.Match {
	m := route.Match{Host: hosts[r.IntN(len(hosts))], Path: paths[r.IntN(len(paths))]}
	if m.Path == "/" {
		m.Path = ""
	}
	if r.IntN(4) == 0 {
		m.Priority = r.IntN(3) - 1
	}
	if r.IntN(3) == 0 {
		m.Accounts = some(r, []uint64{1, 2, 3})
	}
	if r.IntN(3) == 0 {
		m.Plans = some(r, []string{"p", "q"})
	}
	if r.IntN(3) == 0 {
		for _, name := range some(r, []string{"X-A", "X-B"}) {
			m.Headers = append(m.Headers, route.Header{Name: name, Value: []string{"1", "2"}[r.IntN(2)]})
		}
	}
	if r.IntN(3) == 0 {
		m.Methods = some(r, []string{"GET", "POST"})
	}
	return m
}

func randomRequest(r *rand.Rand) route.Request {
	headers := map[string]string{}
	for _, name := range []string{"X-A", "X-B"} {
		if r.IntN(2) == 0 {
			headers[name] = []string{"1", "2", "3"}[r.IntN(3)]
		}
	}
	return route.Request{Host: []string{"a.example", "A.example:80", "b.example", "x.a.example", "y.x.a.example", "example", "other"}[r.IntN(7)],
		Path: []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/ab", "/c/d", "/z"}[r.IntN(8)], Method: []string{"GET", "POST", "PUT"}[r.IntN(3)],
		Account: uint64(r.IntN(5)), Plan: []string{"", "p", "q", "r"}[r.IntN(4)], Header: func(name string) string { return headers[name] }}
}

// The table finds the same routes in the same order as a linear search through all routes.
func TestAgainstReference(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		matches := make([]route.Match, 1+r.IntN(40))
		for i := range matches {
			matches[i] = randomMatch(r)
		}
		table := route.New(matches)
		for range 200 {
			q := randomRequest(r)
			var want []int
			for i := range matches {
				if takes(&matches[i], &q) {
					want = append(want, i)
				}
			}
			slices.SortStableFunc(want, func(a, b int) int { return slices.Compare(rank(&matches[b]), rank(&matches[a])) })
			if got := table.All(&q); !slices.Equal(got, want) {
				t.Fatalf("seed %d: %+v matches %v, want %v of %+v", seed, q, got, want, matches)
			}
			if got := table.Find(&q); len(want) == 0 && got != -1 || len(want) > 0 && got != want[0] {
				t.Fatalf("seed %d: found %d, want %v", seed, got, want)
			}
			for _, i := range want {
				if !matches[i].Matches(&q) {
					t.Fatalf("seed %d: %v does not match a request that the reference matches", seed, matches[i])
				}
			}
		}
	}
}

// Random requests confirm the results of Covers, Both and Sample.
func TestSetsOfRequests(t *testing.T) {
	covered, overlapping := 0, 0
	for seed := range uint64(4000) {
		r := rand.New(rand.NewPCG(seed, 2))
		a, b := randomMatch(r), randomMatch(r)
		both, overlaps := a.Intersect(&b)
		covers := a.Covers(&b)
		if q := b.Sample(); !takes(&b, &q) || covers && !takes(&a, &q) {
			t.Fatalf("sample of %+v: %+v", b, q)
		}
		if q := both.Sample(); overlaps && (!takes(&a, &q) || !takes(&b, &q)) {
			t.Fatalf("%+v and %+v do not both match their common sample %+v", a, b, q)
		}
		if covers {
			covered++
		}
		if overlaps {
			overlapping++
		}
		for range 60 {
			q := randomRequest(r)
			if covers && takes(&b, &q) && !takes(&a, &q) {
				t.Fatalf("%+v does not cover %+v: %+v", a, b, q)
			}
			if x := takes(&a, &q) && takes(&b, &q); x && !overlaps || overlaps && x != takes(&both, &q) {
				t.Fatalf("%+v and %+v, both %+v (%v): %+v", a, b, both, overlaps, q)
			}
		}
	}
	if covered < 100 || overlapping < 500 {
		t.Errorf("%d covered, %d overlapping: too few cases", covered, overlapping)
	}
}

// A route reported as hidden gets no request, and equally specific overlapping routes are reported
// in pairs. Without conflicts, the order of the routes does not matter.
func TestConflicts(t *testing.T) {
	hidden, equal, clean := 0, 0, 0
	for seed := range uint64(600) {
		r := rand.New(rand.NewPCG(seed, 3))
		matches := make([]route.Match, 2+r.IntN(8))
		for i := range matches {
			matches[i] = randomMatch(r)
		}
		table := route.New(matches)
		conflicts := table.Conflicts(matches)
		ties := map[int]int{}
		for _, c := range conflicts {
			if !c.Hidden {
				equal++
				ties[c.Route] = c.Other
				continue
			}
			hidden++
			for range 300 {
				if q := randomRequest(r); table.Find(&q) == c.Route {
					t.Fatalf("seed %d: route %d is not hidden: %+v", seed, c.Route, q)
				}
			}
		}
		for k := range matches {
			var want []int
			for i := range k {
				if matches[i].Compare(&matches[k]) == 0 && matches[i].Overlaps(&matches[k]) {
					want = append(want, i)
				}
			}
			if got, reported := ties[k]; reported != (len(want) > 0) || reported && !slices.Contains(want, got) {
				t.Fatalf("seed %d: route %d ties with %v, reported %v %d", seed, k, want, reported, got)
			}
		}
		if len(ties) > 0 {
			continue
		}
		clean++
		order := r.Perm(len(matches))
		other := make([]route.Match, len(matches))
		for i, k := range order {
			other[i] = matches[k]
		}
		again := route.New(other)
		for range 100 {
			q := randomRequest(r)
			a, b := table.Find(&q), again.Find(&q)
			if b >= 0 {
				b = order[b]
			}
			if a != b {
				t.Fatalf("seed %d: %+v goes to %d, and in another order to %d", seed, q, a, b)
			}
		}
	}
	if hidden < 20 || equal < 20 || clean < 100 {
		t.Errorf("%d hidden, %d equal, %d without conflicts: too few cases", hidden, equal, clean)
	}
}

func TestCanonical(t *testing.T) {
	for raw, want := range map[string]string{"/a/b?x=1": "/a/b", "/a/": "/a/", "/": "/", "/a%20b": "/a b", "/%C3%A4": "/ä",
		"/a//b": "", "/a/../b": "", "/a/./b": "", "/a%2fb": "", "/a%2Fb": "", "/%2e%2e/b": "", "/a%5cb": "", "/a/..": "", "//b": "", "/a%00": ""} {
		u, err := url.ParseRequestURI(raw)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := route.Canonical(u); got != want || (err != nil) != (want == "") {
			t.Errorf("%s: %q, %v, want %q", raw, got, err, want)
		}
	}
}

// matchesOf returns n routes over several hosts and paths, some of them restricted by account or
// header.
func matchesOf(n int) []route.Match {
	var all []route.Match
	for i := range n {
		m := route.Match{Host: fmt.Sprintf("h%d.example", i%50), Path: fmt.Sprintf("/service%d/", i/50)}
		switch i % 10 {
		case 7:
			m.Accounts = []uint64{uint64(i)}
		case 8:
			m.Headers = []route.Header{{Name: "X-Tenant", Value: fmt.Sprint(i)}}
		}
		all = append(all, m)
	}
	return all
}

// BenchmarkFind compares Table.Find with http.ServeMux for the same hosts and paths. ServeMux
// supports none of the other conditions.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		matches := matchesOf(n)
		var requests []*http.Request
		r := rand.New(rand.NewPCG(1, 1))
		for range 256 {
			i := r.IntN(n)
			q, err := http.NewRequest("GET", fmt.Sprintf("http://h%d.example/service%d/send?key=%016x", i%50, i/50, i), nil)
			if err != nil {
				b.Fatal(err)
			}
			q.Header.Set("X-Tenant", fmt.Sprint(i))
			requests = append(requests, q)
		}
		b.Run(fmt.Sprintf("table-%d", n), func(b *testing.B) {
			table := route.New(matches)
			b.ReportAllocs()
			for i := range b.N {
				hr := requests[i%len(requests)]
				q := route.Request{Host: hr.Host, Path: hr.URL.Path, Method: hr.Method, Account: uint64(i % n), Header: hr.Header.Get}
				table.Find(&q)
			}
		})
		b.Run(fmt.Sprintf("servemux-%d", n), func(b *testing.B) {
			mux := http.NewServeMux()
			for i := range matches {
				mux.Handle(matches[i].Host+matches[i].Path, http.NotFoundHandler())
			}
			b.ReportAllocs()
			for i := range b.N {
				mux.Handler(requests[i%len(requests)])
			}
		})
	}
}
