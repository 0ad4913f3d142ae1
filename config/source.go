package config

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Limits on expressions, far above what any realistic deployment needs.
const (
	maxNesting      = 100 // depth of brackets and templates, and consecutive unary operators
	maxConditionals = 1000
)

// loadLimits bounds the files that one load may read.
type loadLimits struct {
	fileBytes, totalBytes int64 // of one file and of all files together
	files                 int
	includeDepth          int // nesting of includes
}

var defaultLimits = loadLimits{fileBytes: 16 << 20, totalBytes: 64 << 20, files: 1000, includeDepth: 16}

// Root is a top-level file of a configuration. Its includes are resolved only within FS.
type Root struct {
	FS            fs.FS
	Name          string // path within FS
	DisplayPrefix string // prefix of the names of FS in diagnostics
}

// sourceFile is a parsed file.
type sourceFile struct {
	displayName string
	body        *hclsyntax.Body
	root        Root
	name        string // path within root.FS
}

// loader reads files and, recursively, the files that they include.
type loader struct {
	*Report
	loadLimits
	files      []sourceFile
	bytesRead  int64                // total size of the files read
	includedAt map[string]hcl.Range // position of the include of each file read, by display name
}

// includeStep is one file in the chain of includes that leads to the current file.
type includeStep struct {
	name string
	at   hcl.Range // of its include block that continues the chain
}

// loadFile reads a file and its includes. at is the include that names it, if any.
func (l *loader) loadFile(root Root, name string, chain []includeStep, at hcl.Range) {
	show := root.DisplayPrefix + name
	if at.Filename == "" {
		at = hcl.Range{Filename: show, Start: hcl.InitialPos, End: hcl.InitialPos}
	}
	if first, done := l.includedAt[show]; done {
		d := l.add("include-twice", at, "include it once: everything in it is defined by the first", "%s is included a second time", name)
		d.addRelated(first)
		return
	}
	if len(l.includedAt) >= l.loadLimits.files {
		l.add("include-count", at, "join files, or include fewer", "more than %d files", l.loadLimits.files)
		return
	}
	data, ok := l.readFile(root, name, at)
	if !ok {
		return
	}
	l.includedAt[show] = at
	l.sources[show], l.order[show] = data, len(l.order)
	body := l.parse(data, show)
	if body == nil {
		return
	}
	l.files = append(l.files, sourceFile{show, body, root, name})
	for _, b := range body.Blocks {
		if b.Type == "include" {
			l.include(root, name, b, append(slices.Clone(chain), includeStep{name, b.DefRange()}))
		}
	}
}

// readFile returns the contents of a file, or reports a diagnostic if it is missing,
// unreadable or over the size limits.
func (l *loader) readFile(root Root, name string, at hcl.Range) ([]byte, bool) {
	info, err := fs.Stat(root.FS, name)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		l.add("include-missing", at, "write a path relative to this file, or take the include out", "there is no file %q", root.DisplayPrefix+name)
		return nil, false
	case err != nil:
		l.add("include-unreadable", at, "see to it that the file can be read, and that no link leads out of the folder or in a circle", "%q can't be read: %v", root.DisplayPrefix+name, withoutPath(err))
		return nil, false
	case info.IsDir():
		l.add("include-unreadable", at, fmt.Sprintf("write %q for the files in it", name+"/*.hcl"), "%q is a folder", root.DisplayPrefix+name)
		return nil, false
	case info.Size() > l.fileBytes || l.bytesRead+info.Size() > l.totalBytes:
		l.add("too-large", at, fmt.Sprintf("a file has %s at most, and all together %s", formatQuantity(float64(l.fileBytes), kindSize), formatQuantity(float64(l.totalBytes), kindSize)), "%q has %d bytes", root.DisplayPrefix+name, info.Size())
		return nil, false
	}
	data, err := fs.ReadFile(root.FS, name)
	if err != nil {
		l.add("include-unreadable", at, "see to it that the file can be read", "%q can't be read: %v", root.DisplayPrefix+name, withoutPath(err))
		return nil, false
	}
	l.bytesRead += int64(len(data))
	return data, true
}

// withoutPath unwraps a PathError, because the diagnostic already contains the path.
func withoutPath(err error) error {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err
	}
	return err
}

// include loads the files that an include block names, and detects include cycles.
func (l *loader) include(root Root, name string, b *hclsyntax.Block, chain []includeStep) {
	if len(b.Labels) != 1 {
		return // reported by decoder.checkLabels
	}
	labelRange := b.LabelRanges[0]
	pattern := b.Labels[0]
	if pattern == "" || strings.ContainsAny(pattern, "\\\x00") || path.IsAbs(pattern) {
		l.add("include-pattern", labelRange, `write a path relative to this file, such as "plans/*.hcl"`, "include %q is no relative path", pattern)
		return
	}
	fullPattern := path.Join(path.Dir(name), pattern)
	if !fs.ValidPath(fullPattern) {
		l.add("include-outside", labelRange, "move the file below the folder of the first file", "include %q leaves the folder of the first file", pattern)
		return
	}
	names := []string{fullPattern}
	if strings.ContainsAny(pattern, "*?[") {
		var err error
		if names, err = fs.Glob(root.FS, fullPattern); err != nil {
			l.add("include-pattern", labelRange, "write * for any letters and ? for one", "include %q is no pattern", pattern)
			return
		}
		names = slices.DeleteFunc(names, func(n string) bool {
			info, err := fs.Stat(root.FS, n)
			return n == name || err == nil && info.IsDir()
		})
		slices.Sort(names)
		if len(names) == 0 {
			l.add("include-empty", labelRange, "write another pattern, or take the include out", "no file fits %q", pattern)
		}
	}
	for _, n := range names {
		if i := slices.IndexFunc(chain, func(s includeStep) bool { return s.name == n }); i >= 0 {
			var cycle []string
			for _, s := range chain[i:] {
				cycle = append(cycle, fmt.Sprintf("%s:%d", root.DisplayPrefix+s.name, s.at.Start.Line))
			}
			d := l.add("include-cycle", labelRange, "take one of these includes out", "files include each other in a circle: %s -> %s", strings.Join(cycle, " -> "), root.DisplayPrefix+n)
			for _, s := range chain[i : len(chain)-1] {
				d.addRelated(s.at)
			}
			continue
		}
		if len(chain) > l.includeDepth {
			l.add("include-depth", labelRange, "include the file from one further up", "includes are nested more than %d deep", l.includeDepth)
			continue
		}
		l.loadFile(root, n, chain, labelRange)
	}
}

// parse parses a file and converts HCL's syntax errors into diagnostics with a fix. It
// returns nil on an error.
func (l *loader) parse(data []byte, show string) *hclsyntax.Body {
	if !l.checkNesting(data, show) {
		return nil
	}
	file, diags := hclsyntax.ParseConfig(data, show, hcl.InitialPos)
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		at := hcl.Range{Filename: show, Start: hcl.InitialPos, End: hcl.InitialPos}
		if d.Subject != nil {
			at = *d.Subject
		}
		what, fix := strings.ToLower(d.Summary[:1])+d.Summary[1:], firstSentence(d.Detail)
		switch d.Summary {
		case "Attribute redefined":
			what, fix = "a field stands there twice", "keep one of them: "+firstSentence(d.Detail)
		case "Argument or block definition required":
			fix = `write blocks such as route "bulk" { ... } and fields such as path = "/bulk/"`
			line := lineOf(data, at)
			if name, value, ok := strings.Cut(line, ":"); ok && hclsyntax.ValidIdentifier(strings.TrimSpace(name)) {
				fix = fmt.Sprintf("write %s = %s", strings.TrimSpace(name), strings.TrimSpace(value))
			} else if strings.TrimSpace(line) == "}" {
				fix = "take this brace out, or look for one above that closes a block too early"
			}
		case "Invalid block definition":
			if name, value, ok := strings.Cut(strings.TrimSpace(lineOf(data, at)), " "); ok && hclsyntax.ValidIdentifier(name) && !strings.Contains(value, "{") {
				fix = fmt.Sprintf("write %s = %s", name, strings.TrimSuffix(strings.TrimSpace(value), ";"))
			}
		case "Invalid expression", "Missing newline after argument":
			fix += quoteHint(data, at)
		}
		l.add("syntax", at, fix, "%s", what)
	}
	if diags.HasErrors() {
		return nil
	}
	return file.Body.(*hclsyntax.Body)
}

// quoteHint returns a hint for a value written without quotes, as most other servers accept
// it, or "".
func quoteHint(data []byte, at hcl.Range) string {
	name, value, ok := strings.Cut(lineOf(data, at), "=")
	value = strings.Trim(strings.TrimSuffix(strings.TrimSpace(value), ";"), "' ")
	if !ok || value == "" || strings.ContainsAny(value, "\"[]{}()") || len(value) > 60 {
		return ""
	}
	return fmt.Sprintf(` Did you mean %s = %q?`, strings.TrimSpace(name), value)
}

// lineOf returns the line in which a range begins, cut to maxLineBytes.
func lineOf(data []byte, at hcl.Range) string {
	from := bytes.LastIndexByte(data[:min(at.Start.Byte, len(data))], '\n') + 1
	line, _, _ := bytes.Cut(data[from:], []byte("\n"))
	return string(line[:min(len(line), maxLineBytes)])
}

func firstSentence(text string) string {
	if s, _, ok := strings.Cut(text, ". "); ok {
		return s + "."
	}
	return text
}

// checkNesting reports whether the nesting of a file is within the limits. HCL's parser is
// recursive, so deeper nesting could exhaust the stack.
func (l *loader) checkNesting(data []byte, show string) bool {
	tokens, _ := hclsyntax.LexConfig(data, show, hcl.InitialPos)
	depth, unaryOperators, conditionals := 0, 0, 0
	for _, t := range tokens {
		switch t.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp, hclsyntax.TokenTemplateControl:
			depth++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd:
			depth--
		case hclsyntax.TokenQuestion:
			conditionals++
		}
		if t.Type == hclsyntax.TokenMinus || t.Type == hclsyntax.TokenBang {
			unaryOperators++
		} else {
			unaryOperators = 0
		}
		if depth > maxNesting || unaryOperators > maxNesting || conditionals > maxConditionals {
			l.add("too-deep", t.Range, "write it flatter", "expressions are nested more than %d deep", maxNesting)
			return false
		}
	}
	return true
}
