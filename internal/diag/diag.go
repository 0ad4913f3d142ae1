// Package diag collects the mistakes in an HCL file and formats them for users.
package diag

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// Errors is an error with all mistakes in a file.
type Errors struct{ hcl.Diagnostics }

// Error lists the mistakes, one per line, as file:line:column: mistake; correction.
func (e *Errors) Error() string {
	var b strings.Builder
	for i, d := range e.Diagnostics {
		if i > 0 {
			b.WriteByte('\n')
		}
		if d.Subject != nil {
			fmt.Fprintf(&b, "%s:%d:%d: ", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		b.WriteString(strings.TrimSuffix(d.Summary, "."))
		if d.Detail != "" {
			b.WriteString("; " + d.Detail)
		}
	}
	return b.String()
}

// List accumulates mistakes. The zero value is empty and ready to use.
type List struct{ hcl.Diagnostics }

// Add adds a mistake at a position: do is the correction, and format and args describe the mistake.
func (l *List) Add(at hcl.Range, do, format string, args ...any) {
	l.Diagnostics = l.Append(&hcl.Diagnostic{Severity: hcl.DiagError, Subject: &at, Summary: fmt.Sprintf(format, args...), Detail: do})
}

// Err returns an *Errors, or nil if there are no mistakes.
func (l *List) Err() error {
	if l.HasErrors() {
		return &Errors{l.Diagnostics}
	}
	return nil
}
