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

// Severity says what a diagnostic stands in the way of.
type Severity string

// The severities.
const (
	Error   Severity = "error"   // the configuration can't be used
	Warning Severity = "warning" // it can, but hardly as it was meant
)

// Place is a place in a file. Line and Column count from 1; Column counts characters
// as a reader does.
type Place struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

func (p Place) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

func placeOf(r hcl.Range) Place { return Place{r.Filename, r.Start.Line, r.Start.Column} }

// Diagnostic is one thing that is wrong.
type Diagnostic struct {
	Code     string   `json:"code"` // of the catalogue, see Codes
	Severity Severity `json:"severity"`
	Place
	What string  `json:"what"`
	Fix  string  `json:"fix"`            // what to write instead
	Also []Place `json:"also,omitempty"` // other places that it is about

	at hcl.Range
}

// String is the diagnostic in one line, file:line:column: what; what to write.
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

// mostDiagnostics bounds a report: of a file that is no configuration at all nobody
// reads more.
const mostDiagnostics = 500

// Report is all that is wrong with a configuration.
type Report struct {
	Diagnostics []Diagnostic
	Left        int // diagnostics past mostDiagnostics, counted only

	sources map[string][]byte
	order   map[string]int // of the files
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

// Failure is a report with errors, as an error.
type Failure struct{ *Report }

// Error lists the errors, one a line; warnings are left out.
func (f *Failure) Error() string {
	var lines []string
	for i := range f.Diagnostics {
		if d := &f.Diagnostics[i]; d.Severity == Error {
			lines = append(lines, d.String())
		}
	}
	if f.Left > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", f.Left))
	}
	return strings.Join(lines, "\n")
}

// Write writes every diagnostic with its line of the source and a caret.
func (r *Report) Write(w io.Writer) {
	for i := range r.Diagnostics {
		d := &r.Diagnostics[i]
		fmt.Fprintf(w, "%s: %s: %s [%s]\n", d.Place, d.Severity, d.What, d.Code)
		if line, pad, width, ok := r.excerpt(d.at); ok {
			fmt.Fprintf(w, "  %s\n  %s%s\n", line, pad, strings.Repeat("^", width))
		}
		if d.Fix != "" {
			fmt.Fprintf(w, "  fix: %s\n", d.Fix)
		}
		for _, p := range d.Also {
			fmt.Fprintf(w, "  see %s\n", p)
		}
	}
	if r.Left > 0 {
		fmt.Fprintf(w, "and %d more\n", r.Left)
	}
}

// mostLine bounds a line of the source that is shown.
const mostLine = 160

// excerpt is the line that a range begins in, what stands under it before the caret,
// and the caret's width.
func (r *Report) excerpt(at hcl.Range) (line, pad string, width int, ok bool) {
	src := r.sources[at.Filename]
	if at.Start.Byte > len(src) || len(src) == 0 {
		return "", "", 0, false
	}
	from := strings.LastIndexByte(string(src[:at.Start.Byte]), '\n') + 1
	to := len(src)
	if n := strings.IndexByte(string(src[at.Start.Byte:]), '\n'); n >= 0 {
		to = at.Start.Byte + n
	}
	end := min(max(at.End.Byte, at.Start.Byte+1), to)
	before := string(src[from:at.Start.Byte])
	if len(before) > mostLine {
		return "", "", 0, false
	}
	line = strings.TrimRight(string(src[from:to]), "\r")
	if len(line) > mostLine {
		line = strings.ToValidUTF8(line[:mostLine], "") + "..."
	}
	pad = strings.Map(func(c rune) rune {
		if c == '\t' {
			return c
		}
		return ' '
	}, before)
	width = max(1, utf8.RuneCountInString(string(src[at.Start.Byte:max(end, at.Start.Byte)])))
	return strings.Map(printableRune, line), pad, min(width, mostLine), true
}

// printableRune keeps control characters of a file off a terminal.
func printableRune(c rune) rune {
	if c < ' ' && c != '\t' || c == 0x7f {
		return '?'
	}
	return c
}

// add adds a diagnostic of the catalogue.
func (r *Report) add(code string, at hcl.Range, fix, what string, args ...any) *Diagnostic {
	entry, known := codes[code]
	if !known {
		panic("config: no such diagnostic: " + code) // a mistake of this package; a test gives them all
	}
	r.Diagnostics = append(r.Diagnostics, Diagnostic{Code: code, Severity: entry.severity, Place: placeOf(at),
		What: clean(fmt.Sprintf(what, args...)), Fix: clean(fix), at: at})
	return &r.Diagnostics[len(r.Diagnostics)-1]
}

// clean makes one line of a text.
func clean(text string) string {
	text = strings.Join(strings.Fields(strings.Map(printableRune, strings.ToValidUTF8(text, "?"))), " ")
	if len(text) > 400 {
		text = strings.ToValidUTF8(text[:400], "") + "..."
	}
	return text
}

func (d *Diagnostic) also(at ...hcl.Range) {
	for _, a := range at {
		d.Also = append(d.Also, placeOf(a))
	}
}

// sort puts the diagnostics into the order of the files, and drops what is told twice.
func (r *Report) sort() {
	slices.SortStableFunc(r.Diagnostics, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(r.order[a.File], r.order[b.File]), cmp.Compare(a.at.Start.Byte, b.at.Start.Byte), cmp.Compare(a.Code, b.Code), cmp.Compare(a.What, b.What))
	})
	r.Diagnostics = slices.CompactFunc(r.Diagnostics, func(a, b Diagnostic) bool { return a.Place == b.Place && a.Code == b.Code && a.What == b.What })
	if n := len(r.Diagnostics); n > mostDiagnostics {
		r.Left = n - mostDiagnostics
		r.Diagnostics = r.Diagnostics[:mostDiagnostics]
	}
}

// Code is an entry of the catalogue of diagnostics.
type Code struct {
	Name     string
	Severity Severity
	Meaning  string
}

// Codes lists the catalogue by name: every diagnostic that can be given.
func Codes() []Code {
	var all []Code
	for _, name := range slices.Sorted(maps.Keys(codes)) {
		all = append(all, Code{name, codes[name].severity, codes[name].meaning})
	}
	return all
}

// nearest is the known name that a mistyped one is most like, or "".
func nearest(name string, known []string) string {
	best, least := "", max(1, min(3, (len(name)+1)/2))+1
	for _, k := range known {
		if strings.EqualFold(k, name) {
			return k
		}
		if d := levenshtein.Distance(strings.ToLower(name), strings.ToLower(k), nil); d < least {
			best, least = k, d
		}
	}
	return best
}

// instead says what to write for a name that is not known.
func instead(name string, known []string) string {
	if len(known) == 0 {
		return ""
	}
	if k := nearest(name, known); k != "" {
		return fmt.Sprintf("did you mean %q?", k)
	}
	if len(known) > 12 {
		return fmt.Sprintf("write one of: %s and %d more", strings.Join(known[:12], " "), len(known)-12)
	}
	return "write one of: " + strings.Join(known, " ")
}

type codeEntry struct {
	severity Severity
	meaning  string
}

// codes is the catalogue of diagnostics.
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
