package route

import (
	"slices"
	"strings"
)

// Table finds routes. Its cost grows with the parts of a request's host and path and
// with the routes that differ in headers or methods alone, not with all of them.
type Table struct {
	levels []level // by falling priority
	size   int
}

// level are the routes of one priority.
type level struct {
	priority int
	hosts    map[string]*hostTable // by pattern
	wild     bool                  // some pattern begins with "*."
}

type hostTable struct{ paths map[string]*leaf } // by pattern

// leaf are the routes of one host and path.
type leaf struct {
	accounts map[uint64][]entry
	plans    map[string][]entry // of those without accounts
	headers  []headerTable      // of those without either
	rest     []entry            // and without headers
}

// headerTable are routes by the value of one of their headers.
type headerTable struct {
	name   string
	values map[string][]entry
}

// entry is a route in a list in order.
type entry struct {
	match *Match
	index int
}

// New returns a table of routes, named by their index.
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
	l.wild = l.wild || strings.HasPrefix(m.Host, "*.")
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

// Find returns the index of the route that takes a request, or -1.
func (t *Table) Find(q *Request) int {
	found := -1
	t.each(q, func(index int) bool {
		found = index
		return false
	})
	return found
}

// All returns the indices of all routes whose conditions a request meets, the one that
// takes it first.
func (t *Table) All(q *Request) []int {
	var all []int
	t.each(q, func(index int) bool {
		all = append(all, index)
		return true
	})
	return all
}

// each calls f with the routes that meet a request, in order, until it returns false.
func (t *Table) each(q *Request, f func(index int) bool) {
	host := bareHost(q.Host)
	for i := range t.levels {
		l := &t.levels[i]
		if h := l.hosts[host]; h != nil && host != "" && !h.each(q, f) {
			return
		}
		if l.wild {
			for rest := host; ; {
				_, after, ok := strings.Cut(rest, ".")
				if !ok {
					break
				}
				// The map is asked for "*."+after: no request makes a string of it.
				if h := l.wildHost(after); h != nil && !h.each(q, f) {
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

func (l *level) wildHost(suffix string) *hostTable {
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
	try := func(list []entry) bool {
		for _, e := range list {
			if e.match.rest(q) && !f(e.index) {
				return false
			}
		}
		return true
	}
	if l.accounts != nil && !try(l.accounts[q.Account]) || l.plans != nil && !try(l.plans[q.Plan]) {
		return false
	}
	if len(l.headers) > 0 && q.Header != nil {
		var all []entry
		for i := range l.headers {
			h := &l.headers[i]
			if v := q.Header(h.name); v != "" {
				if list := h.values[v]; all == nil {
					all = list[:len(list):len(list)]
				} else {
					all = append(all, list...)
				}
			}
		}
		if len(l.headers) > 1 {
			all = slices.Clone(all)
			slices.SortStableFunc(all, func(a, b entry) int { return a.match.Compare(b.match) })
		}
		if !try(all) {
			return false
		}
	}
	return try(l.rest)
}

// Conflict is about two routes by their indices.
type Conflict struct {
	Route, Other int
	Hidden       bool // Other goes before and takes all that Route could; else neither goes before
}

// Conflicts returns what is wrong with routes taken together, in their order: routes
// that one other hides, and routes that are as exact as one before them in the slice and
// meet it in some request, each with one such. A route that only several others together
// hide is not found.
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
				found = l.ties(found)
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

// ties adds routes that are equally exact as one before them, which they meet in some
// request. Routes that can meet stand in a common list.
func (l *leaf) ties(found []Conflict) []Conflict {
	pairs := func(list []entry) {
		from := 0 // of the routes that are equally exact: the list is in order
		for i, b := range list {
			if b.match.Compare(list[from].match) != 0 {
				from = i
			}
			for _, a := range list[from:i] {
				if a.match.Overlaps(b.match) {
					found = append(found, Conflict{Route: b.index, Other: a.index})
					break
				}
			}
		}
	}
	for _, list := range l.accounts {
		pairs(list)
	}
	for _, list := range l.plans {
		pairs(list)
	}
	var mixed []entry // routes that begin with different headers may meet
	for _, h := range l.headers {
		for _, list := range h.values {
			if len(l.headers) == 1 {
				pairs(list)
			}
			mixed = append(mixed, list...)
		}
	}
	if len(l.headers) > 1 {
		slices.SortStableFunc(mixed, func(a, b entry) int { return a.match.Compare(b.match) })
		pairs(mixed)
	}
	pairs(l.rest)
	return found
}
