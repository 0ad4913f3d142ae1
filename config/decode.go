package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// object is a block that was read.
type object struct {
	block *block
	label string
	at    hcl.Range
	vals  map[string]value
	subs  []*object
	used  bool
	close []string // fields that are probably there under another name
}

// decoder makes objects of the blocks of all files.
type decoder struct {
	*scope
	all   []*object
	named map[string]map[string]*object // by kind and label
	refs  []reference
}

// reference is a name in a field, to be looked up when all blocks are known.
type reference struct {
	kind, name, field string
	at                hcl.Range
}

// decode reads the blocks of all files.
func (d *decoder) decode(files []source) {
	for _, f := range files {
		for _, b := range f.body.Blocks {
			switch b.Type {
			case "variable":
				d.variable(b)
			case "locals":
				d.localsOf(b)
			}
		}
	}
	for _, f := range files {
		fields, kinds := schema.names()
		for _, a := range sortedAttributes(f.body) {
			if slices.Contains(kinds, a.Name) {
				name := a.Name
				if schema.find(a.Name).label != "" {
					name += ` "NAME"`
				}
				d.add("not-a-block", a.NameRange, fmt.Sprintf("write %s { ... } without =", name), "%s is a block", a.Name)
			} else {
				d.strayField(schema, a, fields)
			}
		}
		for _, b := range f.body.Blocks {
			if b.Type == "variable" || b.Type == "locals" {
				continue
			}
			if o := d.block(schema, b); o != nil && b.Type != "include" {
				d.all = append(d.all, o)
			}
		}
	}
	d.lookUp()
	for _, x := range []struct {
		kind string
		all  map[string]*named
	}{{"variable", d.vars}, {"local", d.locals}} {
		for _, name := range slices.Sorted(maps.Keys(x.all)) {
			if n := x.all[name]; !n.used {
				d.add("unused", n.at, "take it out, or use it", "%s %q is used nowhere", x.kind, name)
				d.known(map[string]string{"variable": "var.", "local": "local."}[x.kind]+name, n) // mistakes in it are told all the same
			}
		}
	}
}

func sortedAttributes(b *hclsyntax.Body) []*hclsyntax.Attribute {
	return slices.SortedFunc(maps.Values(b.Attributes), func(a, b *hclsyntax.Attribute) int { return a.SrcRange.Start.Byte - b.SrcRange.Start.Byte })
}

// variable reads a variable block.
func (d *decoder) variable(b *hclsyntax.Block) {
	if !d.labelled(schema.find("variable"), b) {
		return
	}
	name := b.Labels[0]
	if first := d.vars[name]; first != nil && first.at.Filename != "" {
		d.twice("variable", name, b.DefRange(), first.at)
		return
	}
	n := d.vars[name]
	if n == nil {
		n = &named{}
		d.vars[name] = n
	}
	n.at = b.DefRange()
	for _, a := range sortedAttributes(b.Body) {
		if a.Name != "default" {
			d.strayField(schema.find("variable"), a, []string{"default"})
			continue
		}
		if n.state == 0 {
			n.expr = a.Expr
		}
		if secretName(name) {
			d.add("secret-likely", a.Expr.Range(), "leave the default out and start with --var, or name a file in a field such as secret_file", "variable %q holds what looks like a secret", name)
		}
	}
	for _, sub := range b.Body.Blocks {
		d.add("unknown-block", sub.DefRange(), "take it out", "a variable has no block %q", sub.Type)
	}
}

// localsOf reads a locals block.
func (d *decoder) localsOf(b *hclsyntax.Block) {
	if !d.labelled(schema.find("locals"), b) {
		return
	}
	for _, a := range sortedAttributes(b.Body) {
		if first := d.locals[a.Name]; first != nil {
			d.twice("local", a.Name, a.NameRange, first.at)
			continue
		}
		d.locals[a.Name] = &named{expr: a.Expr, at: a.NameRange}
		if secretName(a.Name) {
			d.add("secret-likely", a.Expr.Range(), "name a file in a field such as secret_file", "local %q holds what looks like a secret", a.Name)
		}
	}
	for _, sub := range b.Body.Blocks {
		d.add("not-a-block", sub.DefRange(), fmt.Sprintf("write %s = ...", sub.Type), "locals hold values, not blocks")
	}
}

func (d *decoder) twice(kind, name string, at, first hcl.Range) {
	d.add("defined-twice", at, fmt.Sprintf("rename it or the first at %s:%d, or take one of them out", first.Filename, first.Start.Line),
		"%s %q is defined twice", kind, name).also(first)
}

// strayField tells of a field that a block does not have.
func (d *decoder) strayField(in *block, a *hclsyntax.Attribute, fields []string) {
	of := "a file"
	if in.kind != "" {
		of = in.kind
	}
	if secretName(a.Name) {
		file := strings.TrimSuffix(a.Name, "s") + "_file"
		d.add("secret-clear", a.NameRange, fmt.Sprintf("put it into a file and name that, such as %s = \"/etc/madderdrum/NAME\"", file), "%s has no field %q: secrets don't stand in this file", of, a.Name)
		return
	}
	fix := instead(a.Name, fields)
	if in.find(a.Name) != nil {
		d.add("not-a-block", a.NameRange, fmt.Sprintf("write %s { ... } without =", a.Name), "%s is a block", a.Name)
		return
	}
	if fix == "" && in.kind == "" {
		fix = "put it into a block, or into locals { ... } to use it as local." + a.Name
	} else if fix == "" {
		fix = "take it out"
	}
	d.add("unknown-field", a.NameRange, fix, "%s has no field %q", of, a.Name)
}

// labelled checks the labels of a block.
func (d *decoder) labelled(is *block, b *hclsyntax.Block) bool {
	want := 0
	if is.label != "" {
		want = 1
	}
	if len(b.Labels) != want {
		fix := fmt.Sprintf("write %s { ... }", is.kind)
		if want == 1 {
			fix = fmt.Sprintf("write %s \"NAME\" { ... }: its label is the %s", is.kind, is.label)
		}
		what := fmt.Sprintf("%d labels", len(b.Labels))
		if len(b.Labels) == 1 {
			what = "a label"
		}
		d.add("label", b.DefRange(), fix, "%s with %s", is.kind, what)
		return false
	}
	if want == 1 && !is.labels {
		name := b.Labels[0]
		if name == "" || len(name) > 128 || strings.ContainsFunc(name, func(c rune) bool {
			return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.')
		}) {
			d.add("bad-name", b.LabelRanges[0], "use up to 128 letters, digits, dashes, dots and underscores", "%s %q can't be a name", is.kind, name)
			return false
		}
	}
	return true
}

// elsewhere are what other servers call the blocks.
var elsewhere = map[string]string{"upstream": "pool", "backend": "pool", "cluster": "pool", "service": "pool", "location": "route",
	"router": "route", "virtual_host": "route", "frontend": "listener", "server": "box or listener", "entrypoint": "listener", "entryPoints": "listener",
	"middleware": "policy", "defaults": "policy", "global": "limits", "limit_req_zone": "plan", "endpoint": "box", "import": "include"}

// block reads one block in another one.
func (d *decoder) block(in *block, b *hclsyntax.Block) *object {
	is := in.find(b.Type)
	if is == nil {
		_, known := in.names()
		of := "a file"
		if in.kind != "" {
			of = in.kind
		}
		if f := in.field(b.Type); f != nil {
			d.add("not-a-block", b.DefRange(), fmt.Sprintf("write %s = %s", b.Type, kinds[f.kind].example), "%s is a field", b.Type)
			return nil
		}
		fix := instead(b.Type, known)
		switch {
		case elsewhere[b.Type] != "" && in == schema:
			fix = fmt.Sprintf("it is called %s here", elsewhere[b.Type])
		case in != schema && schema.find(b.Type) != nil:
			fix = fmt.Sprintf("move it out of the %s: it stands by itself", in.kind)
		case fix == "":
			fix = "take it out"
		}
		d.add("unknown-block", b.DefRange(), fix, "%s has no block %q", of, b.Type)
		return nil
	}
	labelled := d.labelled(is, b)
	o := &object{block: is, at: b.DefRange(), vals: map[string]value{}}
	if len(b.Labels) > 0 {
		o.label = b.Labels[0]
	}
	fields, _ := is.names()
	for _, a := range sortedAttributes(b.Body) {
		f := is.field(a.Name)
		if f == nil {
			d.strayField(is, a, fields)
			o.close = append(o.close, nearest(a.Name, fields))
			continue
		}
		v := d.read(f, a.Name, a.Expr)
		o.vals[a.Name] = v
		if f.kind == kRef && v.set {
			if f.list {
				for i, name := range v.raw {
					d.refs = append(d.refs, reference{f.ref, name, a.Name, v.items[i]})
				}
			} else {
				d.refs = append(d.refs, reference{f.ref, v.text, a.Name, v.at})
			}
		}
	}
	for i := range is.fields {
		f := &is.fields[i]
		if _, have := o.vals[f.name]; have {
			continue
		}
		if f.required && !o.misspelt(f.name) {
			example := f.like()
			if f.kind == kWord {
				example = fmt.Sprintf("%q", f.words[0])
			}
			if f.list {
				example = "[" + example + "]"
			}
			d.add("missing-field", b.DefRange(), fmt.Sprintf("add %s = %s: %s", f.name, example, f.doc), "%s has no %s", told(is, o.label), f.name)
		}
		if f.def != "" {
			o.vals[f.name] = d.defaulted(f)
		}
	}
	seen := map[string]hcl.Range{}
	for _, sub := range b.Body.Blocks {
		x := d.block(is, sub)
		if x == nil {
			continue
		}
		key := x.block.kind + " " + x.label
		if first, again := seen[key]; again && !(x.block.kind == "route") {
			d.twice(x.block.kind, x.label, x.at, first)
			continue
		}
		seen[key] = x.at
		o.subs = append(o.subs, x)
	}
	if !labelled {
		return nil
	}
	if in == schema && is.kind != "include" {
		if !d.enter(o) {
			return nil
		}
	}
	return o
}

// defaulted is the value of a field that was left out.
func (d *decoder) defaulted(f *field) value {
	v := value{text: f.def}
	switch f.kind {
	case kNumber, kCount:
		v.num, _, _ = split(f.def)
		v.text = canonical(v.num, f.kind)
	case kDuration, kRate, kSize, kShare:
		v.num, _ = parseQuantity(f.def, f.kind)
		v.text = canonical(v.num, f.kind)
	}
	return v
}

// enter notes a block by its kind and name, once.
func (d *decoder) enter(o *object) bool {
	if d.named[o.block.kind] == nil {
		d.named[o.block.kind] = map[string]*object{}
	}
	if first := d.named[o.block.kind][o.label]; first != nil {
		switch {
		case o.block.kind == "forward_auth":
			d.add("forward-auth-twice", o.at, fmt.Sprintf("put its proxies into the block at %s:%d", first.at.Filename, first.at.Start.Line), "limiter %q has two forward_auth blocks", o.label).also(first.at)
		case o.block.single:
			d.add("defined-twice", o.at, fmt.Sprintf("put what it says into the block at %s:%d", first.at.Filename, first.at.Start.Line), "the block %s stands there twice", o.block.kind).also(first.at)
		default:
			d.twice(o.block.kind, o.label, o.at, first.at)
		}
		return false
	}
	d.named[o.block.kind][o.label] = o
	return true
}

// lookUp checks that all names are defined.
func (d *decoder) lookUp() {
	for _, r := range d.refs {
		o := d.named[r.kind][r.name]
		if o == nil {
			fix := instead(r.name, slices.Sorted(maps.Keys(d.named[r.kind])))
			if fix == "" {
				fix = fmt.Sprintf("add %s %q { ... }", r.kind, r.name)
			}
			d.add("unknown-name", r.at, fix, "there is no %s %q", r.kind, r.name)
			continue
		}
		o.used = true
	}
	for _, o := range d.all {
		if o.block.kind == "forward_auth" && d.named["limiter"][o.label] == nil {
			d.add("unknown-name", o.at, instead(o.label, slices.Sorted(maps.Keys(d.named["limiter"]))), "there is no limiter %q", o.label)
		}
	}
}

// told names a block to operators.
func told(is *block, label string) string {
	if is.label == "" {
		return is.kind
	}
	return fmt.Sprintf("%s %q", is.kind, label)
}

// textValue is a variable's value from the command line: a number where it is written as
// one, else a text.
func textValue(text string) cty.Value {
	if v, err := cty.ParseNumberVal(text); err == nil {
		return v
	}
	return cty.StringVal(text)
}

// The values of an object's fields, by name; zero where it is not set.

func (o *object) num(name string) float64   { return o.vals[name].num }
func (o *object) text(name string) string   { return o.vals[name].text }
func (o *object) list(name string) []string { return o.vals[name].list }
func (o *object) given(name string) bool    { return o.vals[name].set }
func (o *object) misspelt(name string) bool { return slices.Contains(o.close, name) }
func (o *object) whole(name string) int     { return int(o.vals[name].num) }
func (o *object) place(name string) hcl.Range {
	if v, have := o.vals[name]; have && v.at.Filename != "" {
		return v.at
	}
	return o.at
}
