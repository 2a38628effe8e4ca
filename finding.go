package bramleytack

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Severity tells errors from warnings.
type Severity uint8

// The severities.
const (
	// Invalid marks an error, which makes the file or record unacceptable.
	Invalid Severity = iota
	// Warning marks a field that has no effect.
	Warning
)

var severityNames = [...]string{"error", "warning"}

// String returns the severity's name.
func (s Severity) String() string {
	if int(s) < len(severityNames) {
		return severityNames[s]
	}
	return severityNames[Invalid]
}

// MarshalText returns the severity's name.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the severity's name. Unknown names give Invalid.
func (s *Severity) UnmarshalText(text []byte) error {
	*s = Invalid
	if string(text) == Warning.String() {
		*s = Warning
	}
	return nil
}

// Finding is one problem in a file or a record, with its location.
type Finding struct {
	// File is the file's name, or another source of the value.
	File string `json:"file,omitempty"`
	// Line counts from 1. Zero means that the value has no line.
	Line int `json:"line,omitempty"`
	// Record is the kind and the name of the record, if they are known.
	Record string `json:"record,omitempty"`
	// Path is the field's path, such as spec.limits.concurrency.
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
	// Allowed describes the valid values of the field.
	Allowed  string   `json:"allowed,omitempty"`
	Severity Severity `json:"severity"`
}

// String returns the finding on one line, starting with its location.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	if f.Severity == Warning {
		b.WriteString("warning: ")
	}
	if f.Record != "" {
		b.WriteString(f.Record + ": ")
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	if f.Allowed != "" {
		b.WriteString("; allowed: " + f.Allowed)
	}
	return b.String()
}

// Findings are the problems that one check found, reported together.
type Findings []Finding

// Error returns the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings without the warnings as an error, or nil if there
// are none.
func (f Findings) Err() error {
	var invalid Findings
	for _, one := range f {
		if one.Severity == Invalid {
			invalid = append(invalid, one)
		}
	}
	if len(invalid) == 0 {
		return nil
	}
	return invalid
}

// PrintError prints an error after the program's name. If the error is Findings,
// it prints each finding on a line of its own instead. Write errors are ignored,
// since there is no other place to report them.
func PrintError(w io.Writer, program string, err error) {
	var found Findings
	if !errors.As(err, &found) {
		_, _ = fmt.Fprintln(w, program+":", err)
		return
	}
	for _, f := range found {
		_, _ = fmt.Fprintln(w, f)
	}
}
