package config

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"example.org/madderdrum/route"
)

// Grade says what a change asks of those who roll it out.
type Grade string

// The grades.
const (
	Safe   Grade = "safe"       // nobody is worse off
	Care   Grade = "needs care" // some requests fare otherwise than before
	Breaks Grade = "breaks"     // some requests that were good are turned away
)

func (g Grade) weight() int { return slices.Index([]Grade{Safe, Care, Breaks}, g) }

// Change is one difference in meaning.
type Change struct {
	Block   string `json:"block"` // "plan business"
	Field   string `json:"field,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
	Effect  string `json:"effect"`
	Grade   Grade  `json:"grade"`
	Restart bool   `json:"restart"` // takes effect at the next start only
}

// String is a change in one line.
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

// Move is about requests that fare otherwise, by one of them.
type Move struct {
	Example string `json:"example"`
	Before  string `json:"before"`
	After   string `json:"after"`
	Grade   Grade  `json:"grade"`
}

// Difference is what two configurations differ in.
type Difference struct {
	Changes []Change `json:"changes"`
	Moves   []Move   `json:"moves"`
	Unmoved int      `json:"unmoved,omitempty"` // examples left out past mostMoves
}

// Empty tells that both mean the same.
func (d *Difference) Empty() bool { return len(d.Changes) == 0 && len(d.Moves) == 0 }

// Restart tells whether some change takes effect at the next start only.
func (d *Difference) Restart() bool {
	return slices.ContainsFunc(d.Changes, func(c Change) bool { return c.Restart })
}

// Grade is the worst of all changes.
func (d *Difference) Grade() Grade {
	worst := Safe
	for _, c := range d.Changes {
		if c.Grade.weight() > worst.weight() {
			worst = c.Grade
		}
	}
	for _, m := range d.Moves {
		if m.Grade.weight() > worst.weight() {
			worst = m.Grade
		}
	}
	return worst
}

// Write tells the difference, a line each.
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

// startKinds are blocks whose coming and going takes effect at the next start only.
var startKinds = []string{"limiter", "listener", "forward_auth", "room", "memory", "fleet"}

// Diff says what b changes against a, in meaning: how a file is laid out, includes,
// the order of blocks, variables, policies and spellings of units do not matter.
func Diff(a, b *Config) *Difference {
	d := &Difference{}
	before, after := map[string]*fact{}, map[string]*fact{}
	for i := range a.facts {
		before[a.facts[i].key()] = &a.facts[i]
	}
	for i := range b.facts {
		after[b.facts[i].key()] = &b.facts[i]
	}
	block := func(f *fact) string { return strings.TrimSpace(f.kind + " " + f.name + " " + f.in) }
	there := func(all map[string]*fact, f *fact) bool {
		top := fact{kind: f.kind, name: f.name}
		if all[top.key()] == nil && slices.Contains([]string{"rules", "network", "traffic", "limits"}, f.kind) {
			return true
		}
		sub := fact{kind: f.kind, name: f.name, in: f.in}
		return all[top.key()] != nil && (f.in == "" || all[sub.key()] != nil)
	}
	for i := range a.facts {
		f := &a.facts[i]
		g := after[f.key()]
		switch {
		case g == nil && f.field == "" && (f.in == "" || there(after, &fact{kind: f.kind, name: f.name})):
			effect, grade := gone(f, a)
			d.Changes = append(d.Changes, Change{Block: block(f), Effect: "is gone: " + effect, Grade: grade, Restart: slices.Contains(startKinds, f.kind)})
		case g == nil && f.field != "" && there(after, f):
			d.Changes = append(d.Changes, change(block(f), f, nil))
		case g != nil && g.text != f.text:
			d.Changes = append(d.Changes, change(block(f), f, g))
		}
	}
	for i := range b.facts {
		g := &b.facts[i]
		if before[g.key()] != nil {
			continue
		}
		switch {
		case g.field == "" && (g.in == "" || there(before, &fact{kind: g.kind, name: g.name})):
			effect, grade := come(g)
			d.Changes = append(d.Changes, Change{Block: block(g), Effect: "is new: " + effect, Grade: grade, Restart: slices.Contains(startKinds, g.kind)})
		case g.field != "" && there(before, g):
			d.Changes = append(d.Changes, change(block(g), nil, g))
		}
	}
	d.moves(a, b)
	return d
}

// gone says what the end of a block does.
func gone(f *fact, a *Config) (string, Grade) {
	switch f.kind {
	case "class":
		return "requests that name it are answered 400; those in hand end as they began", Breaks
	case "plan":
		return "requests that name it are answered 400; its accounts keep their balance for the plan that they come with", Breaks
	case "box":
		return "its requests go to the others; those in hand end there", Care
	case "pool":
		return "see below where its requests go", Care
	case "route":
		return "see below where its requests go", Safe
	case "limiter":
		return "the others divide quotas among fewer", Care
	case "forward_auth":
		return "proxies can't ask it any more", Breaks
	}
	return "nothing of it holds any more", Care
}

// come says what a new block does.
func come(g *fact) (string, Grade) {
	switch g.kind {
	case "class", "plan":
		return "requests may name it", Safe
	case "box":
		return "it takes a part of the requests", Care
	case "route":
		return "see below which requests it takes", Safe
	case "pool":
		return "its boxes take the requests that routes lead there", Care
	case "limiter":
		return "all limiters divide quotas among more", Care
	}
	return "holds from now on", Care
}

// change is a field that is another one.
func change(block string, f, g *fact) Change {
	c := Change{Block: block, Grade: Care}
	is := (*field)(nil)
	if f != nil {
		c.Before, is, c.Field = f.text, f.is, f.field
	}
	if g != nil {
		c.After, is, c.Field = g.text, g.is, g.field
	}
	e := is.change
	if f != nil && g != nil && f.num != g.num {
		if e = is.up; g.num < f.num {
			e = is.down
		}
	}
	if e.text == "" && f == nil {
		e = is.down // a bound that is new
	}
	if e.text == "" && g == nil {
		e = is.up
	}
	switch {
	case e.text != "" && strings.Contains(e.text, "%s"):
		c.Effect, c.Grade = fmt.Sprintf(e.text, cmp.Or(c.After, "what it is without")), e.grade
	case e.text != "":
		c.Effect, c.Grade = e.text, e.grade
	case is.restart:
		c.Effect = "holds from the next start on"
	case condition(block, c.Field):
		c.Effect, c.Grade = "see below which requests fare otherwise", Safe
	default:
		c.Effect = "is another one: " + strings.TrimSuffix(is.doc, ".")
		c.Grade = Safe
	}
	c.Restart = is.restart
	return c
}

// condition tells that a field of a route is about which requests it takes.
func condition(block, field string) bool {
	return strings.HasPrefix(block, "route ") && (field == "pool" || schema.find("policy").field(field) == nil)
}

// mostMoves bounds the examples that are told, mostPairs the pairs of routes looked at.
const (
	mostMoves = 100
	mostPairs = 200_000
)

// fate is how a request is routed, in words.
func (c *Config) fate(t *route.Table, q *route.Request) (string, bool) {
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
		to += ", max_body " + canonical(float64(r.MaxBody), kSize)
	}
	return to, true
}

// moves finds requests that fare otherwise: by an example of what each route takes, and
// of what each changed route has in common with every other one. All regions in which
// the two tables can differ are cut out by such pairs.
func (d *Difference) moves(a, b *Config) {
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
		before, was := a.fate(ta, &q)
		after, is := b.fate(tb, &q)
		if before == after || seen[[2]string{before, after}] && len(d.Moves) > 20 {
			return
		}
		if len(d.Moves) >= mostMoves {
			d.Unmoved++
			return
		}
		seen[[2]string{before, after}] = true
		grade := Care
		switch {
		case was && !is:
			grade = Breaks
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
			if pairs++; pairs > mostPairs {
				break
			}
			if both, ok := changed[i].Intersect(&all[k]); ok {
				try(&both)
			}
		}
	}
	if a.fateOfRest() != b.fateOfRest() {
		try(&route.Match{Host: "no-route.invalid", Path: "/no-route"})
	}
}

// fateOfRest is what befalls requests that no route takes.
func (c *Config) fateOfRest() string {
	f, _ := c.fate(route.New(nil), &route.Request{})
	return f
}
