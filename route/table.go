package route

import (
	"slices"
	"strings"
)

// Table finds the routes of a request. The cost of a lookup grows with the number of labels
// and segments in the host and path, and with the number of routes that differ only in
// headers or methods, but not with the total number of routes.
type Table struct {
	levels []level // in descending priority
	size   int
}

// level holds the routes of one priority.
type level struct {
	priority    int
	hosts       map[string]*hostTable // by host condition
	hasWildcard bool                  // some host condition begins with "*."
}

type hostTable struct{ paths map[string]*leaf } // by path condition

// leaf holds the routes of one host and path.
type leaf struct {
	accounts map[uint64][]entry
	plans    map[string][]entry // of routes without accounts
	headers  []headerTable      // of routes without accounts and plans
	rest     []entry            // of routes without accounts, plans and headers
}

// headerTable indexes routes by the value of their first header.
type headerTable struct {
	name   string
	values map[string][]entry
}

// entry is a route in a list sorted by Match.Compare.
type entry struct {
	match *Match
	index int
}

// New returns a table of the routes. Lookups return positions in matches.
func New(matches []Match) *Table {
	t := &Table{size: len(matches)}
	order := make([]int, len(matches))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return matches[a].Compare(&matches[b]) })
	for _, i := range order {
		t.add(&matches[i], i)
	}
	return t
}

func (t *Table) add(m *Match, index int) {
	if n := len(t.levels); n == 0 || t.levels[n-1].priority != m.Priority {
		t.levels = append(t.levels, level{priority: m.Priority, hosts: map[string]*hostTable{}})
	}
	l := &t.levels[len(t.levels)-1]
	h := l.hosts[m.Host]
	if h == nil {
		h = &hostTable{paths: map[string]*leaf{}}
		l.hosts[m.Host] = h
	}
	l.hasWildcard = l.hasWildcard || strings.HasPrefix(m.Host, "*.")
	f := h.paths[m.path()]
	if f == nil {
		f = &leaf{}
		h.paths[m.path()] = f
	}
	e := entry{m, index}
	switch {
	case len(m.Accounts) > 0:
		if f.accounts == nil {
			f.accounts = map[uint64][]entry{}
		}
		for _, a := range m.Accounts {
			f.accounts[a] = append(f.accounts[a], e)
		}
	case len(m.Plans) > 0:
		if f.plans == nil {
			f.plans = map[string][]entry{}
		}
		for _, p := range m.Plans {
			f.plans[p] = append(f.plans[p], e)
		}
	case len(m.Headers) > 0:
		name, value := m.Headers[0].Name, m.Headers[0].Value
		k := slices.IndexFunc(f.headers, func(h headerTable) bool { return h.name == name })
		if k < 0 {
			k = len(f.headers)
			f.headers = append(f.headers, headerTable{name, map[string][]entry{}})
		}
		f.headers[k].values[value] = append(f.headers[k].values[value], e)
	default:
		f.rest = append(f.rest, e)
	}
}

// Find returns the index of the most specific route for a request, or -1.
func (t *Table) Find(q *Request) int {
	found := -1
	t.each(q, func(index int) bool {
		found = index
		return false
	})
	return found
}

// All returns the indices of all routes that match a request, the most specific one first.
func (t *Table) All(q *Request) []int {
	var all []int
	t.each(q, func(index int) bool {
		all = append(all, index)
		return true
	})
	return all
}

// each calls f for the routes that match a request, in order, until f returns false.
func (t *Table) each(q *Request, f func(index int) bool) {
	host := normalizeHost(q.Host)
	for i := range t.levels {
		l := &t.levels[i]
		if h := l.hosts[host]; h != nil && host != "" && !h.each(q, f) {
			return
		}
		if l.hasWildcard {
			for rest := host; ; {
				_, after, ok := strings.Cut(rest, ".")
				if !ok {
					break
				}
				// wildcardHost looks up "*."+after without allocating a string for each request.
				if h := l.wildcardHost(after); h != nil && !h.each(q, f) {
					return
				}
				rest = after
			}
		}
		if h := l.hosts[""]; h != nil && !h.each(q, f) {
			return
		}
	}
}

func (l *level) wildcardHost(suffix string) *hostTable {
	var buf [256]byte
	if len(suffix)+2 > len(buf) {
		return nil
	}
	n := copy(buf[:], "*.")
	n += copy(buf[n:], suffix)
	return l.hosts[string(buf[:n])]
}

func (h *hostTable) each(q *Request, f func(index int) bool) bool {
	p := q.Path
	if !strings.HasSuffix(p, "/") {
		if leaf := h.paths[p]; leaf != nil && !leaf.each(q, f) {
			return false
		}
	}
	for n := strings.LastIndexByte(p, '/'); n >= 0; n = strings.LastIndexByte(p[:n], '/') {
		if leaf := h.paths[p[:n+1]]; leaf != nil && !leaf.each(q, f) {
			return false
		}
	}
	return true
}

func (l *leaf) each(q *Request, f func(index int) bool) bool {
	visit := func(entries []entry) bool {
		for _, e := range entries {
			if e.match.rest(q) && !f(e.index) {
				return false
			}
		}
		return true
	}
	if l.accounts != nil && !visit(l.accounts[q.Account]) || l.plans != nil && !visit(l.plans[q.Plan]) {
		return false
	}
	if len(l.headers) > 0 && q.Header != nil {
		var candidates []entry
		for i := range l.headers {
			h := &l.headers[i]
			if v := q.Header(h.name); v != "" {
				if entries := h.values[v]; candidates == nil {
					candidates = entries[:len(entries):len(entries)]
				} else {
					candidates = append(candidates, entries...)
				}
			}
		}
		if len(l.headers) > 1 {
			candidates = slices.Clone(candidates)
			slices.SortStableFunc(candidates, func(a, b entry) int { return a.match.Compare(b.match) })
		}
		if !visit(candidates) {
			return false
		}
	}
	return visit(l.rest)
}

// Conflict describes a problem between two routes, given by their indices.
type Conflict struct {
	Route, Other int
	Hidden       bool // Other comes first and matches all that Route matches; if false, the two are equally specific
}

// Conflicts returns the problems among the routes, sorted by index: routes that one other
// route hides, and routes as specific as an earlier one in matches that some request also
// matches. Each route is reported with one such other route. A route hidden only by several
// others together is not detected.
func (t *Table) Conflicts(matches []Match) []Conflict {
	var found []Conflict
	for i := range matches {
		m := &matches[i]
		q := m.Sample()
		for _, k := range t.All(&q) {
			if k == i || m.Compare(&matches[k]) <= 0 {
				continue
			}
			if matches[k].Covers(m) {
				found = append(found, Conflict{Route: i, Other: k, Hidden: true})
				break
			}
		}
	}
	for i := range t.levels {
		for _, h := range t.levels[i].hosts {
			for _, l := range h.paths {
				found = l.appendTies(found)
			}
		}
	}
	slices.SortFunc(found, func(a, b Conflict) int {
		if a.Route != b.Route {
			return a.Route - b.Route
		}
		return a.Other - b.Other
	})
	return slices.CompactFunc(found, func(a, b Conflict) bool { return a.Route == b.Route && a.Hidden == b.Hidden })
}

// appendTies appends a conflict for each route that is as specific as an earlier one and
// overlaps it. Overlapping routes are always in a common list.
func (l *leaf) appendTies(found []Conflict) []Conflict {
	findTies := func(list []entry) {
		runStart := 0 // start of the run of equally specific routes: the list is sorted
		for i, b := range list {
			if b.match.Compare(list[runStart].match) != 0 {
				runStart = i
			}
			for _, a := range list[runStart:i] {
				if a.match.Overlaps(b.match) {
					found = append(found, Conflict{Route: b.index, Other: a.index})
					break
				}
			}
		}
	}
	for _, list := range l.accounts {
		findTies(list)
	}
	for _, list := range l.plans {
		findTies(list)
	}
	var mixed []entry // routes indexed by different headers may overlap
	for _, h := range l.headers {
		for _, list := range h.values {
			if len(l.headers) == 1 {
				findTies(list)
			}
			mixed = append(mixed, list...)
		}
	}
	if len(l.headers) > 1 {
		slices.SortStableFunc(mixed, func(a, b entry) int { return a.match.Compare(b.match) })
		findTies(mixed)
	}
	findTies(l.rest)
	return found
}
