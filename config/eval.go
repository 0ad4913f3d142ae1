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
	from, results := s.vars, vars
	switch root {
	case "var":
	case "local":
		from, results = s.locals, locals
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
	variable := from[name]
	if variable == nil {
		fix := suggestFix(name, slices.Sorted(maps.Keys(from)))
		if fix == "" {
			fix = map[string]string{"var": fmt.Sprintf("add variable %q { default = ... }", name), "local": fmt.Sprintf("add locals { %s = ... }", name)}[root]
		}
		s.add("unknown-variable", ref.SourceRange(), fix, "%s.%s is not defined", root, name)
		return false
	}
	variable.used = true
	if !s.evaluateNamed(root+"."+name, variable) {
		return false
	}
	results[name] = variable.value
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
	result := value{at: e.Range()}
	v, ok := s.evaluate(e)
	if !ok {
		return result
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
			return result
		}
		result.num, result.text, result.valid = s.readScalar(f, name, v, e.Range())
		return result
	}
	if !v.Type().IsTupleType() && !v.Type().IsListType() {
		s.add("wrong-type", e.Range(), fmt.Sprintf("write it in brackets, such as [%s]", f.exampleText()), "%s takes a list", name)
		return result
	}
	tuple, _ := e.(*hclsyntax.TupleConsExpr)
	result.valid = true
	for i, item := range v.AsValueSlice() {
		at := e.Range()
		if tuple != nil && i < len(tuple.Exprs) {
			at = tuple.Exprs[i].Range()
		}
		if !item.Type().IsPrimitiveType() {
			s.add("wrong-type", at, "write "+kinds[f.kind].takes, "%s takes a list of %ss", name, kinds[f.kind].name)
			result.valid = false
			continue
		}
		_, text, ok := s.readScalar(f, name, item, at)
		if !ok {
			result.valid = false
			continue
		}
		if slices.Contains(result.entries, text) {
			s.add("listed-twice", at, "take it out", "%s lists %q twice", name, text)
			continue
		}
		result.entries, result.itemRanges = append(result.entries, text), append(result.itemRanges, at)
	}
	result.list = slices.Sorted(slices.Values(result.entries))
	return result
}

// readHeaders converts a map of header names to the values that a route matches.
func (s *scope) readHeaders(name string, v cty.Value, e hclsyntax.Expression) value {
	result := value{at: e.Range(), valid: true}
	if !v.Type().IsObjectType() && !v.Type().IsMapType() {
		s.add("wrong-type", e.Range(), `write it in braces, such as { "X-Tenant" = "north" }`, "%s takes names and values", name)
		return value{at: e.Range()}
	}
	for entries := v.ElementIterator(); entries.Next(); {
		k, item := entries.Element()
		key := canonicalHeader(k.AsString())
		text, err := convert.Convert(item, cty.String)
		switch {
		case err != nil || item.IsNull():
			s.add("wrong-type", e.Range(), "write the value as a text in quotes", "header %q takes a text", k.AsString())
		case key == "" || key == "Host":
			s.add("bad-header", e.Range(), "write a header's name, such as \"X-Tenant\"; for Host there is the field host", "%q is no header that a route can look at", k.AsString())
		case !printable(text.AsString()) || text.AsString() == "":
			s.add("bad-header", e.Range(), "write a value of visible ASCII characters", "header %q has a value that no request has: %q", key, text.AsString())
		case slices.ContainsFunc(result.headers, func(h [2]string) bool { return h[0] == key }):
			s.add("bad-header", e.Range(), "write the name once", "header %q stands there in two spellings", key)
		default:
			if looksSecret(key) {
				s.add("secret-likely", e.Range(), "let the proxy before the limiter check it, or match another header", "header %q is matched by its value in clear", key)
			}
			result.headers = append(result.headers, [2]string{key, text.AsString()})
			continue
		}
		result.valid = false
	}
	slices.SortFunc(result.headers, func(a, b [2]string) int { return strings.Compare(a[0], b[0]) })
	return result
}

// readScalar converts a single value to its number, in the base unit, and its canonical text.
func (s *scope) readScalar(f *field, name string, v cty.Value, at hcl.Range) (num float64, text string, ok bool) {
	info := kinds[f.kind]
	fail := func(code, hint, what string, args ...any) (float64, string, bool) {
		fix := "write " + info.takes + ", such as " + f.exampleText()
		if hint != "" {
			fix += "; " + hint
		}
		s.add(code, at, fix, what, args...)
		return 0, "", false
	}
	switch f.kind {
	case kindNumber, kindCount:
		if v.Type() == cty.String {
			if qerr := unitMismatch(v.AsString(), kindNumber); qerr != nil {
				return fail(qerr.code, qerr.hint, "%s = %q is not a %s", name, v.AsString(), info.name)
			}
			hint := ""
			if _, unit, isNumber := splitNumber(v.AsString()); isNumber && unit == "" {
				hint = "take the quotes away"
			}
			return fail("wrong-type", hint, "%s = %q is not a %s", name, v.AsString(), info.name)
		}
		if v.Type() != cty.Number {
			return fail("wrong-type", "", "%s takes %s", name, withArticle(info.name))
		}
		num, _ = v.AsBigFloat().Float64()
		if f.kind == kindCount && num != math.Trunc(num) {
			return fail("bad-quantity", "", "%s = %g is not whole", name, num)
		}
		return s.checkRange(f, name, "", num, at)
	case kindDuration, kindRate, kindSize, kindShare:
		if v.Type() == cty.Number {
			quantity, _ := v.AsBigFloat().Float64()
			_, qerr := parseQuantity(formatQuantity(quantity, kindNumber), f.kind)
			hint := ""
			if qerr != nil {
				hint = qerr.hint
			}
			return fail("unit-missing", hint, "%s = %g has no unit", name, quantity)
		}
		if v.Type() != cty.String {
			return fail("wrong-type", "", "%s takes %s", name, withArticle(info.name))
		}
		quantity, qerr := parseQuantity(v.AsString(), f.kind)
		if qerr != nil {
			return fail(qerr.code, qerr.hint, "%s = %q is not a %s", name, v.AsString(), info.name)
		}
		if f.kind == kindSize && quantity != math.Trunc(quantity) {
			return fail("bad-quantity", "", "%s = %q is not a whole number of bytes", name, v.AsString())
		}
		return s.checkRange(f, name, v.AsString(), quantity, at)
	}
	if v.Type() != cty.String {
		hint := ""
		if v.Type() == cty.Number {
			hint = "put it in quotes"
		}
		return fail("wrong-type", hint, "%s takes %s", name, withArticle(info.name))
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
			hint := ""
			if host, port, found := strings.Cut(text, ":"); found && (host == "" || host == "*") {
				hint = fmt.Sprintf("did you mean %q for all addresses of the machine?", "0.0.0.0:"+port)
			} else if host == "localhost" && found {
				hint = fmt.Sprintf("did you mean %q?", "127.0.0.1:"+port)
			} else if !found {
				hint = "the port is missing"
			}
			return fail("bad-address", hint, "%s = %q is not an address", name, text)
		}
		text = a
	case kindNetwork:
		p, ok := parseNetwork(text)
		if !ok {
			return fail("bad-network", "", "%s has %q, which is no network", name, text)
		}
		text = p.String()
	case kindHost:
		host := strings.TrimSuffix(strings.ToLower(text), ".")
		if !validHost(host) {
			hint := ""
			switch {
			case strings.Contains(host, "://"):
				hint = "leave the scheme and the path out"
			case strings.Contains(host, ":"):
				hint = "leave the port out"
			case strings.Contains(host, "*"):
				hint = `a "*" stands for the first labels alone`
			}
			return fail("bad-host", hint, "%s = %q is no host", name, text)
		}
		text = host
	case kindPath:
		if problem := pathProblem(text); problem != "" {
			return fail("bad-path", problem, "%s = %q is no path that a request can have", name, text)
		}
	case kindAccount:
		a, ok := parseAccount(text)
		if !ok {
			return fail("bad-account", "", "%s has %q, which is no account", name, text)
		}
		text = fmt.Sprintf("%016x", a)
	case kindMethod:
		if text == "" || strings.ContainsFunc(text, func(c rune) bool { return c < 'A' || c > 'Z' }) || len(text) > 32 {
			hint := ""
			if upper := strings.ToUpper(text); upper != text {
				hint = fmt.Sprintf("did you mean %q?", upper)
			}
			return fail("unknown-word", hint, "%s has %q, which is no method", name, text)
		}
	default:
		if text == "" || !printable(text) && f.kind != kindFile || strings.ContainsAny(text, "\x00\n\r") {
			return fail("wrong-type", "", "%s = %q is empty or has what can't be written there", name, text)
		}
	}
	return 0, text, true
}

// checkRange checks a number against the bounds of its field, and returns it with its
// canonical text.
func (s *scope) checkRange(f *field, name, written string, number float64, at hcl.Range) (float64, string, bool) {
	text := formatQuantity(number, f.kind)
	if !(number >= f.min && number <= f.max) || f.minExclusive && number <= f.min || f.minExclusive && number < 1/maxRate || math.IsNaN(number) || math.IsInf(number, 0) {
		from := "from " + formatQuantity(f.min, f.kind)
		if f.minExclusive {
			from = "above " + formatQuantity(f.min, f.kind)
		}
		if text = fmt.Sprint(number); written != "" {
			text = strconv.Quote(written)
		}
		s.add("out-of-range", at, fmt.Sprintf("write a %s %s to %s", kinds[f.kind].name, from, formatQuantity(f.max, f.kind)), "%s = %s is out of range", name, text)
		return 0, "", false
	}
	return number, text, true
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
	upper := true
	for i, c := range b {
		switch {
		case c >= 'a' && c <= 'z' && upper:
			b[i] = c - 'a' + 'A'
		case c >= 'A' && c <= 'Z' && !upper:
			b[i] = c - 'A' + 'a'
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			return ""
		}
		upper = c == '-'
	}
	return string(b)
}

func validHost(host string) bool {
	host = strings.TrimPrefix(host, "*.")
	if host == "" || len(host) > 253 {
		return false
	}
	for label := range strings.SplitSeq(host, ".") {
		if label == "" || len(label) > 63 || strings.ContainsFunc(label, func(c rune) bool {
			return !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_')
		}) {
			return false
		}
	}
	return true
}

// pathProblem returns why no request can have a path, or "" if the path is valid.
func pathProblem(path string) string {
	switch {
	case !strings.HasPrefix(path, "/"):
		return `it begins with "/"`
	case strings.HasSuffix(path, "/*") || strings.HasSuffix(path, "/**"):
		return fmt.Sprintf("did you mean %q?", strings.TrimRight(path, "*"))
	case strings.ContainsAny(path, "*?#\\%") || !printable(path) || strings.Contains(path, " "):
		return `it has no "*": a "/" at the end stands for all below; and no query, "\", "%" or space`
	case strings.Contains(path, "//"), strings.Contains(path, "/./"), strings.Contains(path, "/../"), strings.HasSuffix(path, "/."), strings.HasSuffix(path, "/.."):
		return `it has no "//", "." or ".." parts: requests with them are turned away`
	case len(path) > 1024:
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
