package bramleytack

import (
	"fmt"
	"strings"
)

// Finding is one fault of a file or a record, with its place.
type Finding struct {
	// File is the file's name, or where else the value came from.
	File string `json:"file,omitempty"`
	// Line counts from 1. Zero means that the value has no line.
	Line int `json:"line,omitempty"`
	// Path is the field's path, such as spec.limits.concurrency.
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
	// Allowed says what the field may hold.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the finding on one line, place first.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	if f.Allowed != "" {
		b.WriteString(" (allowed: " + f.Allowed + ")")
	}
	return b.String()
}

// Findings are all faults of one check, reported together.
type Findings []Finding

// Error returns the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
