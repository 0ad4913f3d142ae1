package config

import (
	"fmt"
	"strings"
)

// Reference returns the reference page of the language, docs/config-reference.md, in
// Markdown. It is generated from the schema that the checker uses.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Configuration reference\n\nMade from the checker's schema: `go test ./config -run Reference -update`. What the language\nis for, and how to work with it, is in [config.md](config.md).\n\n## Quantities\n\n| kind | written as | such as |\n| --- | --- | --- |\n")
	for k := kindText; k <= kindHeaders; k++ {
		fmt.Fprintf(&b, "| %s | %s | `%s` |\n", kinds[k].name, kinds[k].takes, kinds[k].example)
	}
	b.WriteString("\nA value may be `var.NAME` or `local.NAME`, put texts together as `\"${local.a}-b\"`, and\nreckon with bare numbers. There are no loops and no functions.\n\n## Blocks\n")
	for _, x := range schema.blocks {
		x.writeSection(&b, "", "###")
	}
	b.WriteString("\n## Which route takes a request\n\nOf the routes whose conditions a request meets, the one with the higher priority; then the\nmore exact host (a name, then `*.` with more labels, then any); then the more exact path (a\nwhole path, then the longer prefix); then one with accounts, with plans, with more headers,\nwith methods. The order in the file never counts: two routes that are equal in all of this\nand can meet in one request are a mistake (`route-ambiguous`), and so is a route that a\nhigher priority hides (`route-unreachable`).\n")
	b.WriteString("\n## Diagnostics\n\n| code | | meaning |\n| --- | --- | --- |\n")
	for _, c := range Codes() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", c.Name, c.Severity, c.Meaning)
	}
	return b.String()
}

// writeSection writes the section of a block and, one heading level deeper, those of its
// nested blocks.
func (x *block) writeSection(out *strings.Builder, parent, heading string) {
	name := x.kind
	if x.labelMeaning != "" {
		name += fmt.Sprintf(" \"%s\"", strings.ToUpper(x.labelMeaning))
	}
	fmt.Fprintf(out, "\n%s `%s`", heading, strings.TrimSpace(name))
	if parent != "" {
		fmt.Fprintf(out, " in `%s`", parent)
	}
	if x.single {
		out.WriteString(" (once)")
	}
	fmt.Fprintf(out, "\n\n%s\n", x.doc)
	if len(x.fields) > 0 {
		out.WriteString("\n| field | takes | if left out | |\n| --- | --- | --- | --- |\n")
		for i := range x.fields {
			f := &x.fields[i]
			fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", f.name, f.valueDescription(), f.defaultDescription(), strings.ReplaceAll(f.doc, "|", "\\|"))
		}
	}
	for _, child := range x.blocks {
		child.writeSection(out, x.kind, heading+"#")
	}
}

// valueDescription describes the values that a field accepts, with their bounds.
func (f *field) valueDescription() string {
	name := kinds[f.kind].name
	switch f.kind {
	case kindEnum:
		name = "`" + strings.Join(f.enumValues, "`, `") + "`"
	case kindReference:
		name = "the name of a " + f.refKind
	case kindDuration, kindRate, kindSize, kindShare, kindNumber, kindCount:
		from := formatQuantity(f.min, f.kind)
		if f.minExclusive {
			from = "above " + from
		}
		name += fmt.Sprintf(", %s to %s", from, formatQuantity(f.max, f.kind))
	}
	if f.list {
		name = "list: " + name
	}
	return name
}

// defaultDescription describes what applies if a field is omitted.
func (f *field) defaultDescription() string {
	switch {
	case f.required:
		return "needed"
	case f.defaultText != "":
		return "`" + f.defaultText + "`"
	}
	return ""
}
