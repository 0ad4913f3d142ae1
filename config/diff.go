package config

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"example.org/madderdrum/route"
)

// Grade is the risk of a change for those who roll it out.
type Grade string

// Grades of changes, from the lowest risk to the highest.
const (
	Safe      Grade = "safe"       // no request is treated worse
	NeedsCare Grade = "needs care" // some requests are treated differently
	Breaking  Grade = "breaks"     // some requests that were accepted are rejected
)

func (g Grade) rank() int { return slices.Index([]Grade{Safe, NeedsCare, Breaking}, g) }

// Change is one semantic difference: an added, removed or changed block or field.
type Change struct {
	Block   string `json:"block"` // "plan business"
	Field   string `json:"field,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
	Effect  string `json:"effect"`
	Grade   Grade  `json:"grade"`
	Restart bool   `json:"restart"` // takes effect only after a restart
}

// String formats a change as one line.
func (c *Change) String() string {
	text := c.Block + ": "
	switch {
	case c.Field == "":
		text += c.Effect
	case c.Before == "":
		text += fmt.Sprintf("%s = %s is new: %s", c.Field, c.After, c.Effect)
	case c.After == "":
		text += fmt.Sprintf("%s = %s is gone: %s", c.Field, c.Before, c.Effect)
	default:
		text += fmt.Sprintf("%s %s -> %s: %s", c.Field, c.Before, c.After, c.Effect)
	}
	text += fmt.Sprintf(" [%s]", c.Grade)
	if c.Restart {
		text += " [at the next start]"
	}
	return text
}

// Move describes a group of requests that are routed differently, by an example.
type Move struct {
	Example string `json:"example"`
	Before  string `json:"before"`
	After   string `json:"after"`
	Grade   Grade  `json:"grade"`
}

// Difference is the semantic difference between two configurations.
type Difference struct {
	Changes []Change `json:"changes"`
	Moves   []Move   `json:"moves"`
	Unmoved int      `json:"unmoved,omitempty"` // number of moves omitted beyond maxMoves
}

// Empty reports whether both configurations have the same meaning.
func (d *Difference) Empty() bool { return len(d.Changes) == 0 && len(d.Moves) == 0 }

// Restart reports whether some change takes effect only after a restart.
func (d *Difference) Restart() bool {
	return slices.ContainsFunc(d.Changes, func(c Change) bool { return c.Restart })
}

// Grade returns the highest grade of all changes and moves.
func (d *Difference) Grade() Grade {
	worst := Safe
	for _, c := range d.Changes {
		if c.Grade.rank() > worst.rank() {
			worst = c.Grade
		}
	}
	for _, m := range d.Moves {
		if m.Grade.rank() > worst.rank() {
			worst = m.Grade
		}
	}
	return worst
}

// Write writes the changes and moves, one per line, and a summary.
func (d *Difference) Write(w io.Writer) {
	if d.Empty() {
		fmt.Fprintln(w, "no difference in meaning")
		return
	}
	for i := range d.Changes {
		fmt.Fprintln(w, d.Changes[i].String())
	}
	for _, m := range d.Moves {
		fmt.Fprintf(w, "requests such as %s: %s -> %s [%s]\n", m.Example, m.Before, m.After, m.Grade)
	}
	if d.Unmoved > 0 {
		fmt.Fprintf(w, "and %d more groups of requests fare otherwise\n", d.Unmoved)
	}
	restart := ""
	if d.Restart() {
		restart = "; needs a restart"
	}
	fmt.Fprintf(w, "%d changes: %s%s\n", len(d.Changes), d.Grade(), restart)
}

// restartKinds lists the kinds of blocks whose addition or removal requires a restart.
var restartKinds = []string{"limiter", "listener", "forward_auth", "room", "memory", "fleet"}

// Diff returns how the meaning of b differs from that of a. Layout, includes, the order of
// blocks, the use of variables and policies, and the spelling of units make no difference.
func Diff(a, b *Config) *Difference {
	d := &Difference{}
	before, after := map[string]*setting{}, map[string]*setting{}
	for i := range a.settings {
		before[a.settings[i].key()] = &a.settings[i]
	}
	for i := range b.settings {
		after[b.settings[i].key()] = &b.settings[i]
	}
	block := func(f *setting) string { return strings.TrimSpace(f.kind + " " + f.name + " " + f.path) }
	there := func(all map[string]*setting, f *setting) bool {
		top := setting{kind: f.kind, name: f.name}
		if all[top.key()] == nil && slices.Contains([]string{"rules", "network", "traffic", "limits"}, f.kind) {
			return true
		}
		sub := setting{kind: f.kind, name: f.name, path: f.path}
		return all[top.key()] != nil && (f.path == "" || all[sub.key()] != nil)
	}
	for i := range a.settings {
		f := &a.settings[i]
		g := after[f.key()]
		switch {
		case g == nil && f.field == "" && (f.path == "" || there(after, &setting{kind: f.kind, name: f.name})):
			effect, grade := removalEffect(f, a)
			d.Changes = append(d.Changes, Change{Block: block(f), Effect: "is gone: " + effect, Grade: grade, Restart: slices.Contains(restartKinds, f.kind)})
		case g == nil && f.field != "" && there(after, f):
			d.Changes = append(d.Changes, fieldChange(block(f), f, nil))
		case g != nil && g.text != f.text:
			d.Changes = append(d.Changes, fieldChange(block(f), f, g))
		}
	}
	for i := range b.settings {
		g := &b.settings[i]
		if before[g.key()] != nil {
			continue
		}
		switch {
		case g.field == "" && (g.path == "" || there(before, &setting{kind: g.kind, name: g.name})):
			effect, grade := additionEffect(g)
			d.Changes = append(d.Changes, Change{Block: block(g), Effect: "is new: " + effect, Grade: grade, Restart: slices.Contains(restartKinds, g.kind)})
		case g.field != "" && there(before, g):
			d.Changes = append(d.Changes, fieldChange(block(g), nil, g))
		}
	}
	d.findMoves(a, b)
	return d
}

// removalEffect describes and grades the removal of a block.
func removalEffect(f *setting, a *Config) (string, Grade) {
	switch f.kind {
	case "class":
		return "requests that name it are answered 400; those in hand end as they began", Breaking
	case "plan":
		return "requests that name it are answered 400; its accounts keep their balance for the plan that they come with", Breaking
	case "box":
		return "its requests go to the others; those in hand end there", NeedsCare
	case "pool":
		return "see below where its requests go", NeedsCare
	case "route":
		return "see below where its requests go", Safe
	case "limiter":
		return "the others divide quotas among fewer", NeedsCare
	case "forward_auth":
		return "proxies can't ask it any more", Breaking
	}
	return "nothing of it holds any more", NeedsCare
}

// additionEffect describes and grades the addition of a block.
func additionEffect(g *setting) (string, Grade) {
	switch g.kind {
	case "class", "plan":
		return "requests may name it", Safe
	case "box":
		return "it takes a part of the requests", NeedsCare
	case "route":
		return "see below which requests it takes", Safe
	case "pool":
		return "its boxes take the requests that routes lead there", NeedsCare
	case "limiter":
		return "all limiters divide quotas among more", NeedsCare
	}
	return "holds from now on", NeedsCare
}

// fieldChange describes and grades the change of a field from f to g. One of them is nil if
// the field is new or gone.
func fieldChange(block string, f, g *setting) Change {
	c := Change{Block: block, Grade: NeedsCare}
	is := (*field)(nil)
	if f != nil {
		c.Before, is, c.Field = f.text, f.schema, f.field
	}
	if g != nil {
		c.After, is, c.Field = g.text, g.schema, g.field
	}
	e := is.onChange
	if f != nil && g != nil && f.num != g.num {
		if e = is.onIncrease; g.num < f.num {
			e = is.onDecrease
		}
	}
	if e.text == "" && f == nil {
		e = is.onDecrease // a new bound acts like a lowered one
	}
	if e.text == "" && g == nil {
		e = is.onIncrease
	}
	switch {
	case e.text != "" && strings.Contains(e.text, "%s"):
		c.Effect, c.Grade = fmt.Sprintf(e.text, cmp.Or(c.After, "what it is without")), e.grade
	case e.text != "":
		c.Effect, c.Grade = e.text, e.grade
	case is.restart:
		c.Effect = "holds from the next start on"
	case isRouteCondition(block, c.Field):
		c.Effect, c.Grade = "see below which requests fare otherwise", Safe
	default:
		c.Effect = "is another one: " + strings.TrimSuffix(is.doc, ".")
		c.Grade = Safe
	}
	c.Restart = is.restart
	return c
}

// isRouteCondition reports whether a field of a route decides which requests it takes or
// where they go.
func isRouteCondition(block, field string) bool {
	return strings.HasPrefix(block, "route ") && (field == "pool" || schema.find("policy").field(field) == nil)
}

// maxMoves bounds the examples reported, and maxRoutePairs the pairs of routes compared.
const (
	maxMoves      = 100
	maxRoutePairs = 200_000
)

// routingOutcome describes how a request is routed, and reports whether a route takes it.
func (c *Config) routingOutcome(t *route.Table, q *route.Request) (string, bool) {
	if len(c.Routes) == 0 {
		if len(c.Pools) == 1 {
			return "pool " + c.Pools[0].Name, true
		}
		return "all boxes", true
	}
	i := t.Find(q)
	if i < 0 {
		return "404", false
	}
	r := &c.Routes[i]
	to := "all boxes"
	if r.Pool >= 0 {
		to = "pool " + c.Pools[r.Pool].Name
	}
	if r.Class >= 0 {
		to += ", class " + c.Fleet.Classes[r.Class].Name
	}
	if r.Deadline > 0 {
		to += ", deadline " + r.Deadline.String()
	}
	if r.Attempts > 0 {
		to += fmt.Sprintf(", attempts %d", r.Attempts)
	}
	if r.MaxBody >= 0 {
		to += ", max_body " + formatQuantity(float64(r.MaxBody), kindSize)
	}
	return to, true
}

// findMoves finds requests that are routed differently. It tries a sample request of each
// route, and of the intersection of each changed route with every other route. These pairs
// cover all regions in which the two routing tables can differ.
func (d *Difference) findMoves(a, b *Config) {
	ta, tb := route.New(a.Matches()), route.New(b.Matches())
	old := map[string]route.Match{}
	for _, r := range a.Routes {
		old[r.Name] = r.Match
	}
	var all, changed []route.Match
	same := map[string]bool{}
	for _, r := range b.Routes {
		m, have := old[r.Name]
		if have && m.String() == r.Match.String() && m.Priority == r.Match.Priority {
			same[r.Name] = true
		} else {
			changed = append(changed, r.Match)
		}
		all = append(all, r.Match)
	}
	for _, r := range a.Routes {
		if !same[r.Name] {
			changed, all = append(changed, r.Match), append(all, r.Match)
		}
	}
	seen := map[[2]string]bool{}
	try := func(m *route.Match) {
		q := m.Sample()
		before, was := a.routingOutcome(ta, &q)
		after, is := b.routingOutcome(tb, &q)
		if before == after || seen[[2]string{before, after}] && len(d.Moves) > 20 {
			return
		}
		if len(d.Moves) >= maxMoves {
			d.Unmoved++
			return
		}
		seen[[2]string{before, after}] = true
		grade := NeedsCare
		switch {
		case was && !is:
			grade = Breaking
		case !was:
			grade = Safe
		}
		example := m.String()
		if len(m.Methods) == 0 {
			example = q.Method + " " + example
		}
		if q.Path != m.Path {
			example = strings.Replace(example, cmp.Or(m.Path, "/"), q.Path, 1)
		}
		move := Move{Example: example, Before: before, After: after, Grade: grade}
		if !slices.Contains(d.Moves, move) {
			d.Moves = append(d.Moves, move)
		}
	}
	for i := range all {
		try(&all[i])
	}
	pairs := 0
	for i := range changed {
		for k := range all {
			if pairs++; pairs > maxRoutePairs {
				break
			}
			if both, ok := changed[i].Intersect(&all[k]); ok {
				try(&both)
			}
		}
	}
	if a.unroutedOutcome() != b.unroutedOutcome() {
		try(&route.Match{Host: "no-route.invalid", Path: "/no-route"})
	}
}

// unroutedOutcome describes what happens to requests that no route takes.
func (c *Config) unroutedOutcome() string {
	f, _ := c.routingOutcome(route.New(nil), &route.Request{})
	return f
}
