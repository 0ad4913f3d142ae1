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
	Changes      []Change `json:"changes"`
	Moves        []Move   `json:"moves"`
	OmittedMoves int      `json:"unmoved,omitempty"` // number of moves omitted beyond maxMoves
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
	if d.OmittedMoves > 0 {
		fmt.Fprintf(w, "and %d more groups of requests fare otherwise\n", d.OmittedMoves)
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
	diff := &Difference{}
	before, after := map[string]*setting{}, map[string]*setting{}
	for i := range a.settings {
		before[a.settings[i].key()] = &a.settings[i]
	}
	for i := range b.settings {
		after[b.settings[i].key()] = &b.settings[i]
	}
	blockName := func(s *setting) string { return strings.TrimSpace(s.kind + " " + s.name + " " + s.path) }
	blockExists := func(all map[string]*setting, s *setting) bool {
		top := setting{kind: s.kind, name: s.name}
		if all[top.key()] == nil && slices.Contains([]string{"rules", "network", "traffic", "limits"}, s.kind) {
			return true
		}
		sub := setting{kind: s.kind, name: s.name, path: s.path}
		return all[top.key()] != nil && (s.path == "" || all[sub.key()] != nil)
	}
	for i := range a.settings {
		old := &a.settings[i]
		updated := after[old.key()]
		switch {
		case updated == nil && old.field == "" && (old.path == "" || blockExists(after, &setting{kind: old.kind, name: old.name})):
			effect, grade := removalEffect(old, a)
			diff.Changes = append(diff.Changes, Change{Block: blockName(old), Effect: "is gone: " + effect, Grade: grade, Restart: slices.Contains(restartKinds, old.kind)})
		case updated == nil && old.field != "" && blockExists(after, old):
			diff.Changes = append(diff.Changes, fieldChange(blockName(old), old, nil))
		case updated != nil && updated.text != old.text:
			diff.Changes = append(diff.Changes, fieldChange(blockName(old), old, updated))
		}
	}
	for i := range b.settings {
		updated := &b.settings[i]
		if before[updated.key()] != nil {
			continue
		}
		switch {
		case updated.field == "" && (updated.path == "" || blockExists(before, &setting{kind: updated.kind, name: updated.name})):
			effect, grade := additionEffect(updated)
			diff.Changes = append(diff.Changes, Change{Block: blockName(updated), Effect: "is new: " + effect, Grade: grade, Restart: slices.Contains(restartKinds, updated.kind)})
		case updated.field != "" && blockExists(before, updated):
			diff.Changes = append(diff.Changes, fieldChange(blockName(updated), nil, updated))
		}
	}
	diff.findMoves(a, b)
	return diff
}

// removalEffect describes and grades the removal of a block.
func removalEffect(f *setting, before *Config) (string, Grade) {
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
func additionEffect(f *setting) (string, Grade) {
	switch f.kind {
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

// fieldChange describes and grades the change of a field from before to after. One of them is
// nil if the field is new or gone.
func fieldChange(block string, before, after *setting) Change {
	result := Change{Block: block, Grade: NeedsCare}
	def := (*field)(nil)
	if before != nil {
		result.Before, def, result.Field = before.text, before.schema, before.field
	}
	if after != nil {
		result.After, def, result.Field = after.text, after.schema, after.field
	}
	eff := def.onChange
	if before != nil && after != nil && before.num != after.num {
		if eff = def.onIncrease; after.num < before.num {
			eff = def.onDecrease
		}
	}
	if eff.text == "" && before == nil {
		eff = def.onDecrease // a new bound acts like a lowered one
	}
	if eff.text == "" && after == nil {
		eff = def.onIncrease
	}
	switch {
	case eff.text != "" && strings.Contains(eff.text, "%s"):
		result.Effect, result.Grade = fmt.Sprintf(eff.text, cmp.Or(result.After, "what it is without")), eff.grade
	case eff.text != "":
		result.Effect, result.Grade = eff.text, eff.grade
	case def.restart:
		result.Effect = "holds from the next start on"
	case isRouteCondition(block, result.Field):
		result.Effect, result.Grade = "see below which requests fare otherwise", Safe
	default:
		result.Effect = "is another one: " + strings.TrimSuffix(def.doc, ".")
		result.Grade = Safe
	}
	result.Restart = def.restart
	return result
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
func (c *Config) routingOutcome(table *route.Table, request *route.Request) (string, bool) {
	if len(c.Routes) == 0 {
		if len(c.Pools) == 1 {
			return "pool " + c.Pools[0].Name, true
		}
		return "all boxes", true
	}
	i := table.Find(request)
	if i < 0 {
		return "404", false
	}
	rt := &c.Routes[i]
	outcome := "all boxes"
	if rt.Pool >= 0 {
		outcome = "pool " + c.Pools[rt.Pool].Name
	}
	if rt.Class >= 0 {
		outcome += ", class " + c.Fleet.Classes[rt.Class].Name
	}
	if rt.Deadline > 0 {
		outcome += ", deadline " + rt.Deadline.String()
	}
	if rt.Attempts > 0 {
		outcome += fmt.Sprintf(", attempts %d", rt.Attempts)
	}
	if rt.MaxBody >= 0 {
		outcome += ", max_body " + formatQuantity(float64(rt.MaxBody), kindSize)
	}
	return outcome, true
}

// findMoves finds requests that are routed differently. It tries a sample request of each
// route, and of the intersection of each changed route with every other route. These pairs
// cover all regions in which the two routing tables can differ.
func (d *Difference) findMoves(a, b *Config) {
	tableA, tableB := route.New(a.RouteMatches()), route.New(b.RouteMatches())
	old := map[string]route.Match{}
	for _, r := range a.Routes {
		old[r.Name] = r.Match
	}
	var all, changed []route.Match
	same := map[string]bool{}
	for _, r := range b.Routes {
		m, ok := old[r.Name]
		if ok && m.String() == r.Match.String() && m.Priority == r.Match.Priority {
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
	compare := func(m *route.Match) {
		sample := m.Sample()
		before, routedBefore := a.routingOutcome(tableA, &sample)
		after, routedAfter := b.routingOutcome(tableB, &sample)
		if before == after || seen[[2]string{before, after}] && len(d.Moves) > 20 {
			return
		}
		if len(d.Moves) >= maxMoves {
			d.OmittedMoves++
			return
		}
		seen[[2]string{before, after}] = true
		grade := NeedsCare
		switch {
		case routedBefore && !routedAfter:
			grade = Breaking
		case !routedBefore:
			grade = Safe
		}
		example := m.String()
		if len(m.Methods) == 0 {
			example = sample.Method + " " + example
		}
		if sample.Path != m.Path {
			example = strings.Replace(example, cmp.Or(m.Path, "/"), sample.Path, 1)
		}
		move := Move{Example: example, Before: before, After: after, Grade: grade}
		if !slices.Contains(d.Moves, move) {
			d.Moves = append(d.Moves, move)
		}
	}
	for i := range all {
		compare(&all[i])
	}
	pairs := 0
	for i := range changed {
		for k := range all {
			if pairs++; pairs > maxRoutePairs {
				break
			}
			if overlap, ok := changed[i].Intersect(&all[k]); ok {
				compare(&overlap)
			}
		}
	}
	if a.unroutedOutcome() != b.unroutedOutcome() {
		compare(&route.Match{Host: "no-route.invalid", Path: "/no-route"})
	}
}

// unroutedOutcome describes what happens to requests that no route takes.
func (c *Config) unroutedOutcome() string {
	f, _ := c.routingOutcome(route.New(nil), &route.Request{})
	return f
}
