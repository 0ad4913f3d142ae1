package config

import (
	"fmt"
	"strings"
)

// Reference is the reference page of the language, docs/config-reference.md, in
// Markdown. It is made of the schema that the checker goes by.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Configuration reference\n\nMade from the checker's schema: `go test ./config -run Reference -update`. What the language\nis for, and how to work with it, is in [config.md](config.md).\n\n## Quantities\n\n| kind | written as | such as |\n| --- | --- | --- |\n")
	for k := kText; k <= kHeaders; k++ {
		fmt.Fprintf(&b, "| %s | %s | `%s` |\n", kinds[k].name, kinds[k].takes, kinds[k].example)
	}
	b.WriteString("\nA value may be `var.NAME` or `local.NAME`, put texts together as `\"${local.a}-b\"`, and\nreckon with bare numbers. There are no loops and no functions.\n\n## Blocks\n")
	for _, x := range schema.blocks {
		x.describe(&b, "", "###")
	}
	b.WriteString("\n## Which route takes a request\n\nOf the routes whose conditions a request meets, the one with the higher priority; then the\nmore exact host (a name, then `*.` with more labels, then any); then the more exact path (a\nwhole path, then the longer prefix); then one with accounts, with plans, with more headers,\nwith methods. The order in the file never counts: two routes that are equal in all of this\nand can meet in one request are a mistake (`route-ambiguous`), and so is a route that a\nhigher priority hides (`route-unreachable`).\n")
	b.WriteString("\n## Diagnostics\n\n| code | | meaning |\n| --- | --- | --- |\n")
	for _, c := range Codes() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", c.Name, c.Severity, c.Meaning)
	}
	return b.String()
}

// describe writes the section of a block.
func (x *block) describe(b *strings.Builder, in, head string) {
	name := x.kind
	if x.label != "" {
		name += fmt.Sprintf(" \"%s\"", strings.ToUpper(x.label))
	}
	fmt.Fprintf(b, "\n%s `%s`", head, strings.TrimSpace(name))
	if in != "" {
		fmt.Fprintf(b, " in `%s`", in)
	}
	if x.single {
		b.WriteString(" (once)")
	}
	fmt.Fprintf(b, "\n\n%s\n", x.doc)
	if len(x.fields) > 0 {
		b.WriteString("\n| field | takes | if left out | |\n| --- | --- | --- | --- |\n")
		for i := range x.fields {
			f := &x.fields[i]
			fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", f.name, f.takes(), f.without(), strings.ReplaceAll(f.doc, "|", "\\|"))
		}
	}
	for _, sub := range x.blocks {
		sub.describe(b, x.kind, head+"#")
	}
}

// takes tells what a field takes, with its bounds.
func (f *field) takes() string {
	name := kinds[f.kind].name
	switch f.kind {
	case kWord:
		name = "`" + strings.Join(f.words, "`, `") + "`"
	case kRef:
		name = "the name of a " + f.ref
	case kDuration, kRate, kSize, kShare, kNumber, kCount:
		from := canonical(f.least, f.kind)
		if f.open {
			from = "above " + from
		}
		name += fmt.Sprintf(", %s to %s", from, canonical(f.most, f.kind))
	}
	if f.list {
		name = "list: " + name
	}
	return name
}

// without tells what holds where a field is left out.
func (f *field) without() string {
	switch {
	case f.required:
		return "needed"
	case f.def != "":
		return "`" + f.def + "`"
	}
	return ""
}
