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

// parsedBlock is a decoded block of a configuration file.
type parsedBlock struct {
	block      *block
	label      string
	at         hcl.Range
	values     map[string]value
	children   []*parsedBlock
	used       bool
	misspelled []string // known fields nearest to the unknown names in the block
}

// decoder converts the HCL blocks of all files into parsedBlocks, checked against the schema.
type decoder struct {
	*scope
	blocks     []*parsedBlock
	byName     map[string]map[string]*parsedBlock // keyed by kind, then by label
	references []reference
}

// reference is the name of a block in a field, resolved once all blocks are decoded.
type reference struct {
	kind, name, field string
	at                hcl.Range
}

// decode decodes the blocks of all files: variables and locals first, because the fields
// of any file may refer to them.
func (d *decoder) decode(files []sourceFile) {
	for _, f := range files {
		for _, b := range f.body.Blocks {
			switch b.Type {
			case "variable":
				d.decodeVariable(b)
			case "locals":
				d.decodeLocals(b)
			}
		}
	}
	for _, f := range files {
		fields, kinds := schema.childNames()
		for _, attribute := range sortedAttributes(f.body) {
			if slices.Contains(kinds, attribute.Name) {
				name := attribute.Name
				if schema.find(attribute.Name).labelMeaning != "" {
					name += ` "NAME"`
				}
				d.add("not-a-block", attribute.NameRange, fmt.Sprintf("write %s { ... } without =", name), "%s is a block", attribute.Name)
			} else {
				d.addUnknownField(schema, attribute, fields)
			}
		}
		for _, b := range f.body.Blocks {
			if b.Type == "variable" || b.Type == "locals" {
				continue
			}
			if parsed := d.decodeBlock(schema, b); parsed != nil && b.Type != "include" {
				d.blocks = append(d.blocks, parsed)
			}
		}
	}
	d.resolveReferences()
	for _, list := range []struct {
		kind string
		all  map[string]*namedValue
	}{{"variable", d.vars}, {"local", d.locals}} {
		for _, name := range slices.Sorted(maps.Keys(list.all)) {
			if variable := list.all[name]; !variable.used {
				d.add("unused", variable.at, "take it out, or use it", "%s %q is used nowhere", list.kind, name)
				d.evaluateNamed(map[string]string{"variable": "var.", "local": "local."}[list.kind]+name, variable) // evaluated only to report its errors
			}
		}
	}
}

func sortedAttributes(b *hclsyntax.Body) []*hclsyntax.Attribute {
	return slices.SortedFunc(maps.Values(b.Attributes), func(a, b *hclsyntax.Attribute) int { return a.SrcRange.Start.Byte - b.SrcRange.Start.Byte })
}

// decodeVariable registers a variable block. A value from the command line takes
// precedence over its default.
func (d *decoder) decodeVariable(b *hclsyntax.Block) {
	if !d.checkLabels(schema.find("variable"), b) {
		return
	}
	name := b.Labels[0]
	if first := d.vars[name]; first != nil && first.at.Filename != "" {
		d.addDuplicate("variable", name, b.DefRange(), first.at)
		return
	}
	variable := d.vars[name]
	if variable == nil {
		variable = &namedValue{}
		d.vars[name] = variable
	}
	variable.at = b.DefRange()
	for _, a := range sortedAttributes(b.Body) {
		if a.Name != "default" {
			d.addUnknownField(schema.find("variable"), a, []string{"default"})
			continue
		}
		if variable.state == 0 {
			variable.expr = a.Expr
		}
		if looksSecret(name) {
			d.add("secret-likely", a.Expr.Range(), "leave the default out and start with --var, or name a file in a field such as secret_file", "variable %q holds what looks like a secret", name)
		}
	}
	for _, sub := range b.Body.Blocks {
		d.add("unknown-block", sub.DefRange(), "take it out", "a variable has no block %q", sub.Type)
	}
}

// decodeLocals registers the values of a locals block; they are evaluated on first use.
func (d *decoder) decodeLocals(b *hclsyntax.Block) {
	if !d.checkLabels(schema.find("locals"), b) {
		return
	}
	for _, a := range sortedAttributes(b.Body) {
		if first := d.locals[a.Name]; first != nil {
			d.addDuplicate("local", a.Name, a.NameRange, first.at)
			continue
		}
		d.locals[a.Name] = &namedValue{expr: a.Expr, at: a.NameRange}
		if looksSecret(a.Name) {
			d.add("secret-likely", a.Expr.Range(), "name a file in a field such as secret_file", "local %q holds what looks like a secret", a.Name)
		}
	}
	for _, sub := range b.Body.Blocks {
		d.add("not-a-block", sub.DefRange(), fmt.Sprintf("write %s = ...", sub.Type), "locals hold values, not blocks")
	}
}

func (d *decoder) addDuplicate(kind, name string, at, first hcl.Range) {
	d.add("defined-twice", at, fmt.Sprintf("rename it or the first at %s:%d, or take one of them out", first.Filename, first.Start.Line),
		"%s %q is defined twice", kind, name).addRelated(first)
}

// addUnknownField reports a field that the schema does not define for a block.
func (d *decoder) addUnknownField(parent *block, attribute *hclsyntax.Attribute, fields []string) {
	blockName := "a file"
	if parent.kind != "" {
		blockName = parent.kind
	}
	if looksSecret(attribute.Name) {
		file := strings.TrimSuffix(attribute.Name, "s") + "_file"
		d.add("secret-clear", attribute.NameRange, fmt.Sprintf("put it into a file and name that, such as %s = \"/etc/madderdrum/NAME\"", file), "%s has no field %q: secrets don't stand in this file", blockName, attribute.Name)
		return
	}
	fix := suggestFix(attribute.Name, fields)
	if parent.find(attribute.Name) != nil {
		d.add("not-a-block", attribute.NameRange, fmt.Sprintf("write %s { ... } without =", attribute.Name), "%s is a block", attribute.Name)
		return
	}
	if fix == "" && parent.kind == "" {
		fix = "put it into a block, or into locals { ... } to use it as local." + attribute.Name
	} else if fix == "" {
		fix = "take it out"
	}
	d.add("unknown-field", attribute.NameRange, fix, "%s has no field %q", blockName, attribute.Name)
}

// checkLabels reports whether a block has the number and form of labels that its schema
// requires.
func (d *decoder) checkLabels(schemaBlock *block, hclBlock *hclsyntax.Block) bool {
	wantLabels := 0
	if schemaBlock.labelMeaning != "" {
		wantLabels = 1
	}
	if len(hclBlock.Labels) != wantLabels {
		fix := fmt.Sprintf("write %s { ... }", schemaBlock.kind)
		if wantLabels == 1 {
			fix = fmt.Sprintf("write %s \"NAME\" { ... }: its label is the %s", schemaBlock.kind, schemaBlock.labelMeaning)
		}
		what := fmt.Sprintf("%d labels", len(hclBlock.Labels))
		if len(hclBlock.Labels) == 1 {
			what = "a label"
		}
		d.add("label", hclBlock.DefRange(), fix, "%s with %s", schemaBlock.kind, what)
		return false
	}
	if wantLabels == 1 && !schemaBlock.freeLabel {
		name := hclBlock.Labels[0]
		if name == "" || len(name) > 128 || strings.ContainsFunc(name, func(c rune) bool {
			return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.')
		}) {
			d.add("bad-name", hclBlock.LabelRanges[0], "use up to 128 letters, digits, dashes, dots and underscores", "%s %q can't be a name", schemaBlock.kind, name)
			return false
		}
	}
	return true
}

// foreignBlockNames maps block names of other servers' configurations to the names here.
var foreignBlockNames = map[string]string{"upstream": "pool", "backend": "pool", "cluster": "pool", "service": "pool", "location": "route",
	"router": "route", "virtual_host": "route", "frontend": "listener", "server": "box or listener", "entrypoint": "listener", "entryPoints": "listener",
	"middleware": "policy", "defaults": "policy", "global": "limits", "limit_req_zone": "plan", "endpoint": "box", "import": "include"}

// decodeBlock decodes a block nested in the schema block in. It returns nil if the block is
// unknown, badly labelled or a duplicate.
func (d *decoder) decodeBlock(parent *block, hclBlock *hclsyntax.Block) *parsedBlock {
	def := parent.find(hclBlock.Type)
	if def == nil {
		_, known := parent.childNames()
		parentName := "a file"
		if parent.kind != "" {
			parentName = parent.kind
		}
		if f := parent.field(hclBlock.Type); f != nil {
			d.add("not-a-block", hclBlock.DefRange(), fmt.Sprintf("write %s = %s", hclBlock.Type, kinds[f.kind].example), "%s is a field", hclBlock.Type)
			return nil
		}
		fix := suggestFix(hclBlock.Type, known)
		switch {
		case foreignBlockNames[hclBlock.Type] != "" && parent == schema:
			fix = fmt.Sprintf("it is called %s here", foreignBlockNames[hclBlock.Type])
		case parent != schema && schema.find(hclBlock.Type) != nil:
			fix = fmt.Sprintf("move it out of the %s: it stands by itself", parent.kind)
		case fix == "":
			fix = "take it out"
		}
		d.add("unknown-block", hclBlock.DefRange(), fix, "%s has no block %q", parentName, hclBlock.Type)
		return nil
	}
	labelsOK := d.checkLabels(def, hclBlock)
	parsed := &parsedBlock{block: def, at: hclBlock.DefRange(), values: map[string]value{}}
	if len(hclBlock.Labels) > 0 {
		parsed.label = hclBlock.Labels[0]
	}
	fields, _ := def.childNames()
	for _, a := range sortedAttributes(hclBlock.Body) {
		f := def.field(a.Name)
		if f == nil {
			d.addUnknownField(def, a, fields)
			parsed.misspelled = append(parsed.misspelled, nearest(a.Name, fields))
			continue
		}
		v := d.readField(f, a.Name, a.Expr)
		parsed.values[a.Name] = v
		if f.kind == kindReference && v.valid {
			if f.list {
				for i, name := range v.entries {
					d.references = append(d.references, reference{f.refKind, name, a.Name, v.itemRanges[i]})
				}
			} else {
				d.references = append(d.references, reference{f.refKind, v.text, a.Name, v.at})
			}
		}
	}
	for i := range def.fields {
		f := &def.fields[i]
		if _, have := parsed.values[f.name]; have {
			continue
		}
		if f.required && !parsed.maybeMisspelled(f.name) {
			example := f.exampleText()
			if f.kind == kindEnum {
				example = fmt.Sprintf("%q", f.enumValues[0])
			}
			if f.list {
				example = "[" + example + "]"
			}
			d.add("missing-field", hclBlock.DefRange(), fmt.Sprintf("add %s = %s: %s", f.name, example, f.doc), "%s has no %s", describeBlock(def, parsed.label), f.name)
		}
		if f.defaultText != "" {
			parsed.values[f.name] = d.defaultValue(f)
		}
	}
	seen := map[string]hcl.Range{}
	for _, childBlock := range hclBlock.Body.Blocks {
		child := d.decodeBlock(def, childBlock)
		if child == nil {
			continue
		}
		key := child.block.kind + " " + child.label
		if first, again := seen[key]; again && !(child.block.kind == "route") {
			d.addDuplicate(child.block.kind, child.label, child.at, first)
			continue
		}
		seen[key] = child.at
		parsed.children = append(parsed.children, child)
	}
	if !labelsOK {
		return nil
	}
	if parent == schema && def.kind != "include" {
		if !d.register(parsed) {
			return nil
		}
	}
	return parsed
}

// defaultValue returns the default value of a field that was omitted.
func (d *decoder) defaultValue(f *field) value {
	v := value{text: f.defaultText}
	switch f.kind {
	case kindNumber, kindCount:
		v.num, _, _ = splitNumber(f.defaultText)
		v.text = formatQuantity(v.num, f.kind)
	case kindDuration, kindRate, kindSize, kindShare:
		v.num, _ = parseQuantity(f.defaultText, f.kind)
		v.text = formatQuantity(v.num, f.kind)
	}
	return v
}

// register indexes a block by kind and label. It reports a duplicate and returns false.
func (d *decoder) register(o *parsedBlock) bool {
	if d.byName[o.block.kind] == nil {
		d.byName[o.block.kind] = map[string]*parsedBlock{}
	}
	if first := d.byName[o.block.kind][o.label]; first != nil {
		switch {
		case o.block.kind == "forward_auth":
			d.add("forward-auth-twice", o.at, fmt.Sprintf("put its proxies into the block at %s:%d", first.at.Filename, first.at.Start.Line), "limiter %q has two forward_auth blocks", o.label).addRelated(first.at)
		case o.block.single:
			d.add("defined-twice", o.at, fmt.Sprintf("put what it says into the block at %s:%d", first.at.Filename, first.at.Start.Line), "the block %s stands there twice", o.block.kind).addRelated(first.at)
		default:
			d.addDuplicate(o.block.kind, o.label, o.at, first.at)
		}
		return false
	}
	d.byName[o.block.kind][o.label] = o
	return true
}

// resolveReferences checks that all referenced blocks are defined and marks them as used.
func (d *decoder) resolveReferences() {
	for _, r := range d.references {
		o := d.byName[r.kind][r.name]
		if o == nil {
			fix := suggestFix(r.name, slices.Sorted(maps.Keys(d.byName[r.kind])))
			if fix == "" {
				fix = fmt.Sprintf("add %s %q { ... }", r.kind, r.name)
			}
			d.add("unknown-name", r.at, fix, "there is no %s %q", r.kind, r.name)
			continue
		}
		o.used = true
	}
	for _, o := range d.blocks {
		if o.block.kind == "forward_auth" && d.byName["limiter"][o.label] == nil {
			d.add("unknown-name", o.at, suggestFix(o.label, slices.Sorted(maps.Keys(d.byName["limiter"]))), "there is no limiter %q", o.label)
		}
	}
}

// describeBlock returns the kind and label of a block as diagnostics show them.
func describeBlock(def *block, label string) string {
	if def.labelMeaning == "" {
		return def.kind
	}
	return fmt.Sprintf("%s %q", def.kind, label)
}

// textValue converts a variable's value from the command line to a number if it parses as
// one, else to a string.
func textValue(text string) cty.Value {
	if v, err := cty.ParseNumberVal(text); err == nil {
		return v
	}
	return cty.StringVal(text)
}

// Accessors for the fields of a block by name. They return zero values for unset fields.

func (o *parsedBlock) num(name string) float64          { return o.values[name].num }
func (o *parsedBlock) text(name string) string          { return o.values[name].text }
func (o *parsedBlock) list(name string) []string        { return o.values[name].list }
func (o *parsedBlock) isSet(name string) bool           { return o.values[name].valid }
func (o *parsedBlock) maybeMisspelled(name string) bool { return slices.Contains(o.misspelled, name) }
func (o *parsedBlock) integer(name string) int          { return int(o.values[name].num) }
func (o *parsedBlock) fieldRange(name string) hcl.Range {
	if v, have := o.values[name]; have && v.at.Filename != "" {
		return v.at
	}
	return o.at
}
