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

// Bounds of what is read, far above any deployment that the language is meant for.
const (
	maxNesting = 100 // brackets and templates within each other, and operators in a row
	maxChoices = 1000
)

// bounds are those of the files.
type bounds struct {
	file, bytes int64 // of one file, of all together
	files       int
	depth       int // of includes within includes
}

var usualBounds = bounds{file: 16 << 20, bytes: 64 << 20, files: 1000, depth: 16}

// Root is a first file. What it includes is looked up in FS alone.
type Root struct {
	FS   fs.FS
	Name string // in FS
	Show string // put before names of FS where they are shown
}

// source is a file that was read.
type source struct {
	show string
	body *hclsyntax.Body
	root Root
	name string // in root
}

// loader reads files and what they include.
type loader struct {
	*Report
	bounds
	files []source
	read  int64                // bytes
	from  map[string]hcl.Range // where a file that was read is included
}

// step is a file on the way to the one that is read now.
type step struct {
	name string
	at   hcl.Range // of the include in it that leads on
}

// load reads a file and what it includes. at is the include that names it, if any.
func (l *loader) load(root Root, name string, chain []step, at hcl.Range) {
	show := root.Show + name
	if at.Filename == "" {
		at = hcl.Range{Filename: show, Start: hcl.InitialPos, End: hcl.InitialPos}
	}
	if first, done := l.from[show]; done {
		d := l.add("include-twice", at, "include it once: everything in it is defined by the first", "%s is included a second time", name)
		d.also(first)
		return
	}
	if len(l.from) >= l.bounds.files {
		l.add("include-count", at, "join files, or include fewer", "more than %d files", l.bounds.files)
		return
	}
	data, ok := l.open(root, name, at)
	if !ok {
		return
	}
	l.from[show] = at
	l.sources[show], l.order[show] = data, len(l.order)
	body := l.parse(data, show)
	if body == nil {
		return
	}
	l.files = append(l.files, source{show, body, root, name})
	for _, b := range body.Blocks {
		if b.Type == "include" {
			l.include(root, name, b, append(slices.Clone(chain), step{name, b.DefRange()}))
		}
	}
}

// open reads a file within the bounds.
func (l *loader) open(root Root, name string, at hcl.Range) ([]byte, bool) {
	info, err := fs.Stat(root.FS, name)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		l.add("include-missing", at, "write a path relative to this file, or take the include out", "there is no file %q", root.Show+name)
		return nil, false
	case err != nil:
		l.add("include-unreadable", at, "see to it that the file can be read, and that no link leads out of the folder or in a circle", "%q can't be read: %v", root.Show+name, cause(err))
		return nil, false
	case info.IsDir():
		l.add("include-unreadable", at, fmt.Sprintf("write %q for the files in it", name+"/*.hcl"), "%q is a folder", root.Show+name)
		return nil, false
	case info.Size() > l.file || l.read+info.Size() > l.bytes:
		l.add("too-large", at, fmt.Sprintf("a file has %s at most, and all together %s", canonical(float64(l.file), kSize), canonical(float64(l.bytes), kSize)), "%q has %d bytes", root.Show+name, info.Size())
		return nil, false
	}
	data, err := fs.ReadFile(root.FS, name)
	if err != nil {
		l.add("include-unreadable", at, "see to it that the file can be read", "%q can't be read: %v", root.Show+name, cause(err))
		return nil, false
	}
	l.read += int64(len(data))
	return data, true
}

// cause is an error without the path, which the message has already.
func cause(err error) error {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err
	}
	return err
}

// include reads what one include block names.
func (l *loader) include(root Root, name string, b *hclsyntax.Block, chain []step) {
	if len(b.Labels) != 1 {
		return // told by the checker of blocks
	}
	at := b.LabelRanges[0]
	pattern := b.Labels[0]
	if pattern == "" || strings.ContainsAny(pattern, "\\\x00") || path.IsAbs(pattern) {
		l.add("include-pattern", at, `write a path relative to this file, such as "plans/*.hcl"`, "include %q is no relative path", pattern)
		return
	}
	full := path.Join(path.Dir(name), pattern)
	if !fs.ValidPath(full) {
		l.add("include-outside", at, "move the file below the folder of the first file", "include %q leaves the folder of the first file", pattern)
		return
	}
	names := []string{full}
	if strings.ContainsAny(pattern, "*?[") {
		var err error
		if names, err = fs.Glob(root.FS, full); err != nil {
			l.add("include-pattern", at, "write * for any letters and ? for one", "include %q is no pattern", pattern)
			return
		}
		names = slices.DeleteFunc(names, func(n string) bool {
			info, err := fs.Stat(root.FS, n)
			return n == name || err == nil && info.IsDir()
		})
		slices.Sort(names)
		if len(names) == 0 {
			l.add("include-empty", at, "write another pattern, or take the include out", "no file fits %q", pattern)
		}
	}
	for _, n := range names {
		if i := slices.IndexFunc(chain, func(s step) bool { return s.name == n }); i >= 0 {
			var way []string
			for _, s := range chain[i:] {
				way = append(way, fmt.Sprintf("%s:%d", root.Show+s.name, s.at.Start.Line))
			}
			d := l.add("include-cycle", at, "take one of these includes out", "files include each other in a circle: %s -> %s", strings.Join(way, " -> "), root.Show+n)
			for _, s := range chain[i : len(chain)-1] {
				d.also(s.at)
			}
			continue
		}
		if len(chain) > l.depth {
			l.add("include-depth", at, "include the file from one further up", "includes are nested more than %d deep", l.depth)
			continue
		}
		l.load(root, n, chain, at)
	}
}

// parse reads the syntax of a file.
func (l *loader) parse(data []byte, show string) *hclsyntax.Body {
	if !l.shallow(data, show) {
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
			fix += unquoted(data, at)
		}
		l.add("syntax", at, fix, "%s", what)
	}
	if diags.HasErrors() {
		return nil
	}
	return file.Body.(*hclsyntax.Body)
}

// unquoted is a hint for a value that was written without its quotes, as most other
// servers take it.
func unquoted(data []byte, at hcl.Range) string {
	name, value, ok := strings.Cut(lineOf(data, at), "=")
	value = strings.Trim(strings.TrimSuffix(strings.TrimSpace(value), ";"), "' ")
	if !ok || value == "" || strings.ContainsAny(value, "\"[]{}()") || len(value) > 60 {
		return ""
	}
	return fmt.Sprintf(` Did you mean %s = %q?`, strings.TrimSpace(name), value)
}

// lineOf is the line in which a range begins, as far as anyone reads it.
func lineOf(data []byte, at hcl.Range) string {
	from := bytes.LastIndexByte(data[:min(at.Start.Byte, len(data))], '\n') + 1
	line, _, _ := bytes.Cut(data[from:], []byte("\n"))
	return string(line[:min(len(line), mostLine)])
}

func firstSentence(text string) string {
	if s, _, ok := strings.Cut(text, ". "); ok {
		return s + "."
	}
	return text
}

// shallow tells whether a file can be parsed within bounded memory: HCL's parser calls
// itself for what is nested, and would run out of stack.
func (l *loader) shallow(data []byte, show string) bool {
	tokens, _ := hclsyntax.LexConfig(data, show, hcl.InitialPos)
	depth, signs, choices := 0, 0, 0
	for _, t := range tokens {
		switch t.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp, hclsyntax.TokenTemplateControl:
			depth++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd:
			depth--
		case hclsyntax.TokenQuestion:
			choices++
		}
		if t.Type == hclsyntax.TokenMinus || t.Type == hclsyntax.TokenBang {
			signs++
		} else {
			signs = 0
		}
		if depth > maxNesting || signs > maxNesting || choices > maxChoices {
			l.add("too-deep", t.Range, "write it flatter", "expressions are nested more than %d deep", maxNesting)
			return false
		}
	}
	return true
}
