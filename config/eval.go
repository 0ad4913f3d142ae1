package config

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

const (
	maxTextBytes  = 16 << 10 // in one string value
	maxReferences = 64       // references in one expression
	maxLocalChain = 1000     // depth of locals that refer to one another
)

// namedValue is a variable or a local, evaluated on first use.
type namedValue struct {
	expr  hclsyntax.Expression
	at    hcl.Range
	value cty.Value
	state int // 0: not evaluated, 1: being evaluated, 2: evaluated, 3: failed
	used  bool
}

// scope holds the variables and locals of all files.
type scope struct {
	*Report
	vars, locals map[string]*namedValue
	evaluating   []string // names being evaluated, outermost first; detects cycles
}

// evaluate evaluates an expression. On an error it adds a diagnostic and ok is false.
func (s *scope) evaluate(e hclsyntax.Expression) (v cty.Value, ok bool) {
	if !s.checkNoLoops(e) {
		return v, false
	}
	refs := e.Variables()
	if len(refs) > maxReferences {
		s.add("too-large", e.Range(), "take a part of it out into a local", "an expression with %d references", len(refs))
		return v, false
	}
	vars, locals := map[string]cty.Value{}, map[string]cty.Value{}
	for _, ref := range refs {
		if !s.resolveReference(ref, vars, locals) {
			return v, false
		}
	}
	ctx := &hcl.EvalContext{Variables: map[string]cty.Value{"var": cty.ObjectVal(vars), "local": cty.ObjectVal(locals)}}
	v, diags := e.Value(ctx)
	if diags.HasErrors() {
		d := diags[0]
		at := e.Range()
		if d.Subject != nil {
			at = *d.Subject
		}
		s.add("bad-expression", at, "write a value, or one of var.NAME and local.NAME", "%s", strings.ToLower(d.Detail[:min(1, len(d.Detail))])+strings.TrimSuffix(d.Detail[min(1, len(d.Detail)):], "."))
		return v, false
	}
	if !v.IsWhollyKnown() || v.IsNull() {
		s.add("bad-expression", e.Range(), "leave the field out instead of writing null", "the value is null")
		return v, false
	}
	if v.Type() == cty.String && len(v.AsString()) > maxTextBytes {
		s.add("too-large", e.Range(), fmt.Sprintf("a value has %d KiB at most", maxTextBytes>>10), "a value of %d bytes", len(v.AsString()))
		return v, false
	}
	return v, true
}

// checkNoLoops reports whether an expression has no for expressions, splats or function
// calls. They would let small files take much time and memory, and make files hard to read.
func (s *scope) checkNoLoops(e hclsyntax.Expression) bool {
	ok := true
	hclsyntax.VisitAll(e, func(n hclsyntax.Node) hcl.Diagnostics {
		switch n := n.(type) {
		case *hclsyntax.ForExpr:
			ok = false
			s.add("no-loops", n.Range(), "write the values out", "a for expression")
		case *hclsyntax.SplatExpr:
			ok = false
			s.add("no-loops", n.Range(), "write the values out", "a splat expression")
		case *hclsyntax.FunctionCallExpr:
			ok = false
			s.add("no-loops", n.Range(), "write the value out, or put parts together as \"${local.a}${local.b}\"", "a call of %s()", n.Name)
		}
		return nil
	})
	return ok
}

// resolveReference evaluates the variable or local that ref names, and stores its value in
// vars or locals.
func (s *scope) resolveReference(ref hcl.Traversal, vars, locals map[string]cty.Value) bool {
	root := ref.RootName()
	from, into := s.vars, vars
	switch root {
	case "var":
	case "local":
		from, into = s.locals, locals
	default:
		word := root
		if len(ref) > 1 {
			if a, ok := ref[1].(hcl.TraverseAttr); ok { // kind.name, the block reference syntax of other languages
				word = a.Name
			}
		}
		fix := fmt.Sprintf("write %q in quotes", word)
		s.add("unknown-variable", ref.SourceRange(), fix, "%s is no value", root)
		return false
	}
	var name string
	if len(ref) > 1 {
		if a, ok := ref[1].(hcl.TraverseAttr); ok {
			name = a.Name
		}
	}
	n := from[name]
	if n == nil {
		fix := suggestFix(name, slices.Sorted(maps.Keys(from)))
		if fix == "" {
			fix = map[string]string{"var": fmt.Sprintf("add variable %q { default = ... }", name), "local": fmt.Sprintf("add locals { %s = ... }", name)}[root]
		}
		s.add("unknown-variable", ref.SourceRange(), fix, "%s.%s is not defined", root, name)
		return false
	}
	n.used = true
	if !s.evaluateNamed(root+"."+name, n) {
		return false
	}
	into[name] = n.value
	return true
}

// evaluateNamed evaluates a variable or local once and caches the result. It reports cycles
// and unset variables.
func (s *scope) evaluateNamed(name string, n *namedValue) bool {
	switch n.state {
	case 1:
		i := slices.Index(s.evaluating, name)
		s.add("variable-cycle", n.at, "write one of them out", "%s refers to itself: %s -> %s", name, strings.Join(s.evaluating[i:], " -> "), name)
		n.state = 3
		return false
	case 2:
		return true
	case 3:
		return false
	}
	if n.expr == nil {
		s.add("variable-unset", n.at, fmt.Sprintf("add default = ..., or start with --var %s=VALUE", strings.TrimPrefix(name, "var.")), "%s has no value", name)
		n.state = 3
		return false
	}
	if len(s.evaluating) >= maxLocalChain {
		s.add("too-deep", n.at, "write some of them out", "more than %d locals refer to one another in a row", maxLocalChain)
		n.state = 3
		return false
	}
	n.state = 1
	s.evaluating = append(s.evaluating, name)
	v, ok := s.evaluate(n.expr)
	s.evaluating = s.evaluating[:len(s.evaluating)-1]
	if n.state == 3 || !ok {
		n.state = 3
		return false
	}
	n.value, n.state = v, 2
	return true
}

// value is the evaluated value of a field.
type value struct {
	valid      bool
	num        float64
	text       string
	list       []string // sorted
	headers    [][2]string
	at         hcl.Range
	itemRanges []hcl.Range // positions of the list entries, in written order
	entries    []string    // list entries in written order
}

// readField evaluates the expression of a field and checks it against the schema.
func (s *scope) readField(f *field, name string, e hclsyntax.Expression) value {
	out := value{at: e.Range()}
	v, ok := s.evaluate(e)
	if !ok {
		return out
	}
	if f.kind == kindHeaders {
		return s.readHeaders(name, v, e)
	}
	if !f.list {
		if t := v.Type(); !t.IsPrimitiveType() {
			fix := "write " + kinds[f.kind].takes + ", such as " + f.exampleText()
			if t.IsTupleType() && v.LengthInt() == 1 {
				fix += "; it takes one value, without brackets"
			}
			s.add("wrong-type", e.Range(), fix, "%s takes one %s", name, kinds[f.kind].name)
			return out
		}
		out.num, out.text, out.valid = s.readScalar(f, name, v, e.Range())
		return out
	}
	if !v.Type().IsTupleType() && !v.Type().IsListType() {
		s.add("wrong-type", e.Range(), fmt.Sprintf("write it in brackets, such as [%s]", f.exampleText()), "%s takes a list", name)
		return out
	}
	tuple, _ := e.(*hclsyntax.TupleConsExpr)
	out.valid = true
	for i, item := range v.AsValueSlice() {
		at := e.Range()
		if tuple != nil && i < len(tuple.Exprs) {
			at = tuple.Exprs[i].Range()
		}
		if !item.Type().IsPrimitiveType() {
			s.add("wrong-type", at, "write "+kinds[f.kind].takes, "%s takes a list of %ss", name, kinds[f.kind].name)
			out.valid = false
			continue
		}
		_, text, ok := s.readScalar(f, name, item, at)
		if !ok {
			out.valid = false
			continue
		}
		if slices.Contains(out.entries, text) {
			s.add("listed-twice", at, "take it out", "%s lists %q twice", name, text)
			continue
		}
		out.entries, out.itemRanges = append(out.entries, text), append(out.itemRanges, at)
	}
	out.list = slices.Sorted(slices.Values(out.entries))
	return out
}

// readHeaders converts a map of header names to the values that a route matches.
func (s *scope) readHeaders(name string, v cty.Value, e hclsyntax.Expression) value {
	out := value{at: e.Range(), valid: true}
	if !v.Type().IsObjectType() && !v.Type().IsMapType() {
		s.add("wrong-type", e.Range(), `write it in braces, such as { "X-Tenant" = "north" }`, "%s takes names and values", name)
		return value{at: e.Range()}
	}
	for it := v.ElementIterator(); it.Next(); {
		k, item := it.Element()
		key := canonicalHeader(k.AsString())
		text, err := convert.Convert(item, cty.String)
		switch {
		case err != nil || item.IsNull():
			s.add("wrong-type", e.Range(), "write the value as a text in quotes", "header %q takes a text", k.AsString())
		case key == "" || key == "Host":
			s.add("bad-header", e.Range(), "write a header's name, such as \"X-Tenant\"; for Host there is the field host", "%q is no header that a route can look at", k.AsString())
		case !printable(text.AsString()) || text.AsString() == "":
			s.add("bad-header", e.Range(), "write a value of visible ASCII characters", "header %q has a value that no request has: %q", key, text.AsString())
		case slices.ContainsFunc(out.headers, func(h [2]string) bool { return h[0] == key }):
			s.add("bad-header", e.Range(), "write the name once", "header %q stands there in two spellings", key)
		default:
			if looksSecret(key) {
				s.add("secret-likely", e.Range(), "let the proxy before the limiter check it, or match another header", "header %q is matched by its value in clear", key)
			}
			out.headers = append(out.headers, [2]string{key, text.AsString()})
			continue
		}
		out.valid = false
	}
	slices.SortFunc(out.headers, func(a, b [2]string) int { return strings.Compare(a[0], b[0]) })
	return out
}

// readScalar converts a single value to its number, in the base unit, and its canonical text.
func (s *scope) readScalar(f *field, name string, v cty.Value, at hcl.Range) (num float64, text string, ok bool) {
	k := kinds[f.kind]
	wrong := func(code, mean, what string, args ...any) (float64, string, bool) {
		fix := "write " + k.takes + ", such as " + f.exampleText()
		if mean != "" {
			fix += "; " + mean
		}
		s.add(code, at, fix, what, args...)
		return 0, "", false
	}
	switch f.kind {
	case kindNumber, kindCount:
		if v.Type() == cty.String {
			if m := unitMismatch(v.AsString(), kindNumber); m != nil {
				return wrong(m.code, m.hint, "%s = %q is not a %s", name, v.AsString(), k.name)
			}
			mean := ""
			if _, unit, isNumber := splitNumber(v.AsString()); isNumber && unit == "" {
				mean = "take the quotes away"
			}
			return wrong("wrong-type", mean, "%s = %q is not a %s", name, v.AsString(), k.name)
		}
		if v.Type() != cty.Number {
			return wrong("wrong-type", "", "%s takes %s", name, withArticle(k.name))
		}
		num, _ = v.AsBigFloat().Float64()
		if f.kind == kindCount && num != math.Trunc(num) {
			return wrong("bad-quantity", "", "%s = %g is not whole", name, num)
		}
		return s.checkRange(f, name, "", num, at)
	case kindDuration, kindRate, kindSize, kindShare:
		if v.Type() == cty.Number {
			x, _ := v.AsBigFloat().Float64()
			_, m := parseQuantity(formatQuantity(x, kindNumber), f.kind)
			mean := ""
			if m != nil {
				mean = m.hint
			}
			return wrong("unit-missing", mean, "%s = %g has no unit", name, x)
		}
		if v.Type() != cty.String {
			return wrong("wrong-type", "", "%s takes %s", name, withArticle(k.name))
		}
		x, m := parseQuantity(v.AsString(), f.kind)
		if m != nil {
			return wrong(m.code, m.hint, "%s = %q is not a %s", name, v.AsString(), k.name)
		}
		if f.kind == kindSize && x != math.Trunc(x) {
			return wrong("bad-quantity", "", "%s = %q is not a whole number of bytes", name, v.AsString())
		}
		return s.checkRange(f, name, v.AsString(), x, at)
	}
	if v.Type() != cty.String {
		mean := ""
		if v.Type() == cty.Number {
			mean = "put it in quotes"
		}
		return wrong("wrong-type", mean, "%s takes %s", name, withArticle(k.name))
	}
	text = v.AsString()
	switch f.kind {
	case kindEnum:
		if !slices.Contains(f.enumValues, text) {
			s.add("unknown-word", at, suggestFix(text, f.enumValues), "%s = %q is not known", name, text)
			return 0, "", false
		}
	case kindAddress:
		a, ok := parseAddress(text)
		if !ok {
			mean := ""
			if host, port, found := strings.Cut(text, ":"); found && (host == "" || host == "*") {
				mean = fmt.Sprintf("did you mean %q for all addresses of the machine?", "0.0.0.0:"+port)
			} else if host == "localhost" && found {
				mean = fmt.Sprintf("did you mean %q?", "127.0.0.1:"+port)
			} else if !found {
				mean = "the port is missing"
			}
			return wrong("bad-address", mean, "%s = %q is not an address", name, text)
		}
		text = a
	case kindNetwork:
		p, ok := parseNetwork(text)
		if !ok {
			return wrong("bad-network", "", "%s has %q, which is no network", name, text)
		}
		text = p.String()
	case kindHost:
		h := strings.TrimSuffix(strings.ToLower(text), ".")
		if !validHost(h) {
			mean := ""
			switch {
			case strings.Contains(h, "://"):
				mean = "leave the scheme and the path out"
			case strings.Contains(h, ":"):
				mean = "leave the port out"
			case strings.Contains(h, "*"):
				mean = `a "*" stands for the first labels alone`
			}
			return wrong("bad-host", mean, "%s = %q is no host", name, text)
		}
		text = h
	case kindPath:
		if why := pathProblem(text); why != "" {
			return wrong("bad-path", why, "%s = %q is no path that a request can have", name, text)
		}
	case kindAccount:
		a, ok := parseAccount(text)
		if !ok {
			return wrong("bad-account", "", "%s has %q, which is no account", name, text)
		}
		text = fmt.Sprintf("%016x", a)
	case kindMethod:
		if text == "" || strings.ContainsFunc(text, func(c rune) bool { return c < 'A' || c > 'Z' }) || len(text) > 32 {
			mean := ""
			if up := strings.ToUpper(text); up != text {
				mean = fmt.Sprintf("did you mean %q?", up)
			}
			return wrong("unknown-word", mean, "%s has %q, which is no method", name, text)
		}
	default:
		if text == "" || !printable(text) && f.kind != kindFile || strings.ContainsAny(text, "\x00\n\r") {
			return wrong("wrong-type", "", "%s = %q is empty or has what can't be written there", name, text)
		}
	}
	return 0, text, true
}

// checkRange checks a number against the bounds of its field, and returns it with its
// canonical text.
func (s *scope) checkRange(f *field, name, written string, x float64, at hcl.Range) (float64, string, bool) {
	c := formatQuantity(x, f.kind)
	if !(x >= f.min && x <= f.max) || f.minExclusive && x <= f.min || f.minExclusive && x < 1/maxRate || math.IsNaN(x) || math.IsInf(x, 0) {
		from := "from " + formatQuantity(f.min, f.kind)
		if f.minExclusive {
			from = "above " + formatQuantity(f.min, f.kind)
		}
		if c = fmt.Sprint(x); written != "" {
			c = strconv.Quote(written)
		}
		s.add("out-of-range", at, fmt.Sprintf("write a %s %s to %s", kinds[f.kind].name, from, formatQuantity(f.max, f.kind)), "%s = %s is out of range", name, c)
		return 0, "", false
	}
	return x, c, true
}

// withArticle prefixes a word with "a" or "an".
func withArticle(word string) string {
	if strings.ContainsRune("aeiou", rune(word[0])) {
		return "an " + word
	}
	return "a " + word
}

// printable reports whether a text is printable ASCII without leading or trailing spaces.
func printable(text string) bool {
	for _, c := range []byte(text) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return text == strings.TrimSpace(text)
}

// canonicalHeader returns the canonical form of a header name as net/http has it, or "" if
// the name is invalid.
func canonicalHeader(name string) string {
	if name == "" || len(name) > 64 {
		return ""
	}
	b := []byte(name)
	up := true
	for i, c := range b {
		switch {
		case c >= 'a' && c <= 'z' && up:
			b[i] = c - 'a' + 'A'
		case c >= 'A' && c <= 'Z' && !up:
			b[i] = c - 'A' + 'a'
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			return ""
		}
		up = c == '-'
	}
	return string(b)
}

func validHost(h string) bool {
	h = strings.TrimPrefix(h, "*.")
	if h == "" || len(h) > 253 {
		return false
	}
	for label := range strings.SplitSeq(h, ".") {
		if label == "" || len(label) > 63 || strings.ContainsFunc(label, func(c rune) bool {
			return !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_')
		}) {
			return false
		}
	}
	return true
}

// pathProblem returns why no request can have a path, or "" if the path is valid.
func pathProblem(p string) string {
	switch {
	case !strings.HasPrefix(p, "/"):
		return `it begins with "/"`
	case strings.HasSuffix(p, "/*") || strings.HasSuffix(p, "/**"):
		return fmt.Sprintf("did you mean %q?", strings.TrimRight(p, "*"))
	case strings.ContainsAny(p, "*?#\\%") || !printable(p) || strings.Contains(p, " "):
		return `it has no "*": a "/" at the end stands for all below; and no query, "\", "%" or space`
	case strings.Contains(p, "//"), strings.Contains(p, "/./"), strings.Contains(p, "/../"), strings.HasSuffix(p, "/."), strings.HasSuffix(p, "/.."):
		return `it has no "//", "." or ".." parts: requests with them are turned away`
	case len(p) > 1024:
		return "it has up to 1,024 characters"
	}
	return ""
}

// looksSecret reports whether a name suggests that its value is a secret.
func looksSecret(name string) bool {
	n := strings.ToLower(name)
	for _, s := range []string{"secret", "password", "passwd", "token", "apikey", "api_key", "api-key", "authorization", "private_key", "cookie"} {
		if strings.Contains(n, s) {
			return !strings.HasSuffix(n, "_file") && !strings.HasSuffix(n, "_header")
		}
	}
	return false
}
