package config

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/agext/levenshtein"
	"github.com/hashicorp/hcl/v2"
)

// Severity says whether a diagnostic prevents the use of the configuration.
type Severity string

// Severities of diagnostics.
const (
	Error   Severity = "error"   // the configuration can't be used
	Warning Severity = "warning" // the configuration can be used, but is probably not what was intended
)

// Place is a position in a file. Line and Column count from 1; Column counts characters,
// not bytes.
type Place struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

func (p Place) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

func placeFromRange(r hcl.Range) Place { return Place{r.Filename, r.Start.Line, r.Start.Column} }

// Diagnostic is one error or warning about a configuration.
type Diagnostic struct {
	Code     string   `json:"code"` // one of Codes
	Severity Severity `json:"severity"`
	Place
	What string  `json:"what"`
	Fix  string  `json:"fix"`            // suggested correction
	Also []Place `json:"also,omitempty"` // other positions involved

	sourceRange hcl.Range
}

// String formats the diagnostic as one line: "file:line:column: what; fix".
func (d *Diagnostic) String() string {
	text := fmt.Sprintf("%s: %s", d.Place, d.What)
	if d.Severity == Warning {
		text = fmt.Sprintf("%s: warning: %s", d.Place, d.What)
	}
	if d.Fix != "" {
		text += "; " + d.Fix
	}
	return text
}

// maxDiagnostics bounds a report. A file that is not a configuration at all can cause many
// more, which would not be useful.
const maxDiagnostics = 500

// Report collects the diagnostics of a configuration.
type Report struct {
	Diagnostics []Diagnostic
	Omitted     int // number of diagnostics omitted beyond maxDiagnostics

	sources map[string][]byte
	order   map[string]int // reading order of the files
}

func newReport() *Report { return &Report{sources: map[string][]byte{}, order: map[string]int{}} }

// Count returns the numbers of errors and warnings.
func (r *Report) Count() (errors, warnings int) {
	for i := range r.Diagnostics {
		if r.Diagnostics[i].Severity == Error {
			errors++
		} else {
			warnings++
		}
	}
	return errors, warnings
}

// Err returns nil if there are no errors, else the report as an error.
func (r *Report) Err() error {
	if n, _ := r.Count(); n == 0 {
		return nil
	}
	return &Failure{r}
}

// Failure is the error type for a report that contains errors.
type Failure struct{ *Report }

// Error lists the errors, one per line, without the warnings.
func (f *Failure) Error() string {
	var lines []string
	for i := range f.Diagnostics {
		if d := &f.Diagnostics[i]; d.Severity == Error {
			lines = append(lines, d.String())
		}
	}
	if f.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", f.Omitted))
	}
	return strings.Join(lines, "\n")
}

// Write writes every diagnostic with its line of the source and a caret.
func (r *Report) Write(w io.Writer) {
	for i := range r.Diagnostics {
		d := &r.Diagnostics[i]
		fmt.Fprintf(w, "%s: %s: %s [%s]\n", d.Place, d.Severity, d.What, d.Code)
		if line, pad, width, ok := r.excerpt(d.sourceRange); ok {
			fmt.Fprintf(w, "  %s\n  %s%s\n", line, pad, strings.Repeat("^", width))
		}
		if d.Fix != "" {
			fmt.Fprintf(w, "  fix: %s\n", d.Fix)
		}
		for _, p := range d.Also {
			fmt.Fprintf(w, "  see %s\n", p)
		}
	}
	if r.Omitted > 0 {
		fmt.Fprintf(w, "and %d more\n", r.Omitted)
	}
}

// maxLineBytes bounds a source line in a diagnostic.
const maxLineBytes = 160

// excerpt returns the source line in which a range begins, the padding before the caret on
// the line below, and the caret's width.
func (r *Report) excerpt(rng hcl.Range) (line, pad string, width int, ok bool) {
	source := r.sources[rng.Filename]
	if rng.Start.Byte > len(source) || len(source) == 0 {
		return "", "", 0, false
	}
	from := strings.LastIndexByte(string(source[:rng.Start.Byte]), '\n') + 1
	to := len(source)
	if n := strings.IndexByte(string(source[rng.Start.Byte:]), '\n'); n >= 0 {
		to = rng.Start.Byte + n
	}
	end := min(max(rng.End.Byte, rng.Start.Byte+1), to)
	before := string(source[from:rng.Start.Byte])
	if len(before) > maxLineBytes {
		return "", "", 0, false
	}
	line = strings.TrimRight(string(source[from:to]), "\r")
	if len(line) > maxLineBytes {
		line = strings.ToValidUTF8(line[:maxLineBytes], "") + "..."
	}
	pad = strings.Map(func(c rune) rune {
		if c == '\t' {
			return c
		}
		return ' '
	}, before)
	width = max(1, utf8.RuneCountInString(string(source[rng.Start.Byte:max(end, rng.Start.Byte)])))
	return strings.Map(printableRune, line), pad, min(width, maxLineBytes), true
}

// printableRune replaces control characters, so that a file can't send them to a terminal.
func printableRune(c rune) rune {
	if c < ' ' && c != '\t' || c == 0x7f {
		return '?'
	}
	return c
}

// add appends a diagnostic with a code of the catalogue.
func (r *Report) add(code string, at hcl.Range, fix, what string, args ...any) *Diagnostic {
	entry, known := codes[code]
	if !known {
		panic("config: no such diagnostic: " + code) // a bug in this package; TestBrokenFiles triggers every code
	}
	r.Diagnostics = append(r.Diagnostics, Diagnostic{Code: code, Severity: entry.severity, Place: placeFromRange(at),
		What: singleLine(fmt.Sprintf(what, args...)), Fix: singleLine(fix), sourceRange: at})
	return &r.Diagnostics[len(r.Diagnostics)-1]
}

// singleLine collapses a text to a single line of printable characters and bounds its length.
func singleLine(text string) string {
	text = strings.Join(strings.Fields(strings.Map(printableRune, strings.ToValidUTF8(text, "?"))), " ")
	if len(text) > 400 {
		text = strings.ToValidUTF8(text[:400], "") + "..."
	}
	return text
}

func (d *Diagnostic) addRelated(at ...hcl.Range) {
	for _, a := range at {
		d.Also = append(d.Also, placeFromRange(a))
	}
}

// sort orders the diagnostics by file and position, removes duplicates, and truncates the
// list to maxDiagnostics.
func (r *Report) sort() {
	slices.SortStableFunc(r.Diagnostics, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(r.order[a.File], r.order[b.File]), cmp.Compare(a.sourceRange.Start.Byte, b.sourceRange.Start.Byte), cmp.Compare(a.Code, b.Code), cmp.Compare(a.What, b.What))
	})
	r.Diagnostics = slices.CompactFunc(r.Diagnostics, func(a, b Diagnostic) bool { return a.Place == b.Place && a.Code == b.Code && a.What == b.What })
	if n := len(r.Diagnostics); n > maxDiagnostics {
		r.Omitted = n - maxDiagnostics
		r.Diagnostics = r.Diagnostics[:maxDiagnostics]
	}
}

// Code is an entry of the catalogue of diagnostics, for the reference page.
type Code struct {
	Name     string
	Severity Severity
	Meaning  string
}

// Codes returns the catalogue of all possible diagnostics, sorted by name.
func Codes() []Code {
	var all []Code
	for _, name := range slices.Sorted(maps.Keys(codes)) {
		all = append(all, Code{name, codes[name].severity, codes[name].meaning})
	}
	return all
}

// nearest returns the known name with the smallest edit distance to a mistyped one, or "" if
// none is close.
func nearest(name string, known []string) string {
	best, minDistance := "", max(1, min(3, (len(name)+1)/2))+1
	for _, candidate := range known {
		if strings.EqualFold(candidate, name) {
			return candidate
		}
		if distance := levenshtein.Distance(strings.ToLower(name), strings.ToLower(candidate), nil); distance < minDistance {
			best, minDistance = candidate, distance
		}
	}
	return best
}

// suggestFix returns a suggestion for an unknown name, or "" if no names are known.
func suggestFix(name string, known []string) string {
	if len(known) == 0 {
		return ""
	}
	if candidate := nearest(name, known); candidate != "" {
		return fmt.Sprintf("did you mean %q?", candidate)
	}
	if len(known) > 12 {
		return fmt.Sprintf("write one of: %s and %d more", strings.Join(known[:12], " "), len(known)-12)
	}
	return "write one of: " + strings.Join(known, " ")
}

// codeEntry is the severity and description of a diagnostic code.
type codeEntry struct {
	severity Severity
	meaning  string
}

// codes is the catalogue of diagnostics, keyed by code. Reports may contain no others.
var codes = map[string]codeEntry{
	"syntax":             {Error, "the file can't be read as HCL"},
	"too-deep":           {Error, "brackets or templates are nested too deep"},
	"too-large":          {Error, "a file, all files together, or a value is too large"},
	"no-loops":           {Error, "for expressions, splats and functions are not part of the language"},
	"unknown-block":      {Error, "a block of a kind that is not known there"},
	"unknown-field":      {Error, "a field that the block does not have"},
	"missing-field":      {Error, "a field that the block can't do without"},
	"missing-block":      {Error, "the configuration lacks a block of a kind that it needs"},
	"label":              {Error, "a block with too few or too many labels"},
	"not-a-block":        {Error, "a field where a block is meant, or the other way round"},
	"defined-twice":      {Error, "a second definition; nobody may redefine what is stated"},
	"bad-name":           {Error, "a label that can't be a name"},
	"unknown-variable":   {Error, "a reference to what is no variable or local"},
	"variable-cycle":     {Error, "locals that refer to each other in a circle"},
	"variable-unset":     {Error, "a variable with no value"},
	"bad-expression":     {Error, "an expression that has no value"},
	"wrong-type":         {Error, "a value of another type than the field takes"},
	"unit-missing":       {Error, "a number without the unit that the field needs"},
	"unit-mismatch":      {Error, "a quantity whose unit does not fit the field"},
	"bad-quantity":       {Error, "a quantity that can't be read"},
	"out-of-range":       {Error, "a quantity that is too small or too large"},
	"unknown-word":       {Error, "none of the words that a field takes"},
	"unknown-name":       {Error, "a name that is not defined"},
	"bad-address":        {Error, "not an IP address with a port"},
	"bad-network":        {Error, "neither an address nor a network"},
	"bad-host":           {Error, "a host that can't be matched"},
	"bad-path":           {Error, "a path that no request has"},
	"bad-account":        {Error, "not an account's number"},
	"bad-header":         {Error, "a header that can't be matched"},
	"listed-twice":       {Warning, "an entry of a list that stands there twice"},
	"include-missing":    {Error, "an included file that is not there"},
	"include-unreadable": {Error, "an included file that can't be read"},
	"include-cycle":      {Error, "files that include each other in a circle"},
	"include-twice":      {Error, "one file included from two places"},
	"include-outside":    {Error, "an include that leaves the folder of the first file"},
	"include-depth":      {Error, "includes nested too deep"},
	"include-count":      {Error, "too many files"},
	"include-pattern":    {Error, "an include that is no path or pattern"},
	"include-empty":      {Warning, "a pattern that no file fits"},
	"shares-sum":         {Error, "shares that do not add up to 100%"},
	"aim-over-deadline":  {Error, "a class whose aim is longer than its deadline"},
	"no-window":          {Error, "a keyed class that does not say how long repeats are dropped"},
	"half-ceiling":       {Error, "a ceiling's rate without its burst, or the other way round"},
	"ceiling-under-rate": {Error, "a ceiling below the quota"},
	"burst-under-units":  {Error, "a burst that the largest request can never fit"},
	"cold-ramp":          {Error, "a warm-up that the rules forbid"},
	"port-range":         {Error, "more boxes than ports"},
	"least-over-most":    {Error, "a range whose least is above its most"},
	"deadline-under-aim": {Warning, "a route that gives up before its class's aim"},
	"pool-empty":         {Error, "a pool without members"},
	"pool-unused":        {Warning, "a pool that no route leads to"},
	"tier-empty":         {Error, "a tier without rooms"},
	"tier-overlap":       {Error, "two tiers of one rank, or a room in two tiers"},
	"box-in-two-pools":   {Error, "a box that is a member of two pools"},
	"box-without-pool":   {Warning, "a box that no pool has: it takes no requests"},
	"route-missing":      {Error, "several pools and no route"},
	"route-pool":         {Error, "a route that does not say which of several pools it leads to"},
	"route-unreachable":  {Error, "a route that another one hides"},
	"route-ambiguous":    {Error, "two routes that are equally exact and can take the same request"},
	"address-taken":      {Error, "two listeners on one address"},
	"address-missing":    {Error, "a limiter or box of a served deployment without its address"},
	"peers-half":         {Error, "some limiters with an address for their peers, and some without"},
	"voters-even":        {Error, "an even number of limiters that vote"},
	"unused":             {Warning, "a definition that nothing uses"},
	"secret-clear":       {Error, "a secret written into the file"},
	"secret-likely":      {Warning, "what looks like a secret written into the file"},
	"no-proxies":         {Error, "a forward_auth block that lets nobody ask"},
	"no-credentials":     {Error, "a proxy with neither a secret nor a certificate"},
	"no-keys":            {Error, "leases without keys to sign them"},
	"plugin-file":        {Error, "a plug-in whose module is not there or can't be read"},
	"plugin-module":      {Error, "a module that is none, imports what it may not, or lacks what a plug-in needs"},
	"plugin-order":       {Error, "two plug-ins of the same order"},
	"plugin-secret":      {Error, "a header that plug-ins may not see"},
	"plugin-grant":       {Warning, "a bound on what a plug-in may not do anyway"},
	"forward-auth-twice": {Error, "two forward_auth blocks of one limiter"},
}
