package btrecord

import (
	"fmt"
	"strings"
)

// Severity says whether a finding makes a record invalid.
type Severity uint8

// The severities.
const (
	// Invalid findings keep a record from being accepted.
	Invalid Severity = iota
	// Warning findings point at fields that have no effect.
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

// UnmarshalText reads the severity's name. Other names give Invalid.
func (s *Severity) UnmarshalText(text []byte) error {
	*s = Invalid
	if string(text) == Warning.String() {
		*s = Warning
	}
	return nil
}

// Finding is one fault of a record with its location.
type Finding struct {
	File string `json:"file,omitempty"`
	// Line counts from 1. Zero means that the record did not come from a file.
	Line int `json:"line,omitempty"`
	// Record is the kind and the name, as far as they are known.
	Record string `json:"record,omitempty"`
	// Path is the path of the field, such as "spec.limits.cold".
	Path    string `json:"path,omitempty"`
	Problem string `json:"problem"`
	// Allowed says which values are valid.
	Allowed  string   `json:"allowed,omitempty"`
	Severity Severity `json:"severity"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:", f.File)
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Severity == Warning {
		b.WriteString("warning: ")
	}
	if f.Record != "" {
		fmt.Fprintf(&b, "%s: ", f.Record)
	}
	if f.Path != "" {
		fmt.Fprintf(&b, "%s: ", f.Path)
	}
	b.WriteString(f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", f.Allowed)
	}
	return b.String()
}

// Findings are the faults of one or more records.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, e := range f {
		lines[i] = e.String()
	}
	return "btrecord: " + strings.Join(lines, "\n")
}

// Err returns the findings without the warnings as an error, or nil if there
// are none.
func (f Findings) Err() error {
	var invalid Findings
	for _, e := range f {
		if e.Severity == Invalid {
			invalid = append(invalid, e)
		}
	}
	if len(invalid) == 0 {
		return nil
	}
	return invalid
}

// collector gathers the findings of one record.
type collector struct {
	record   string
	source   source
	findings Findings
}

func (c *collector) add(path, problem, allowed string, s Severity) {
	c.findings = append(c.findings, Finding{
		File: c.source.file, Line: c.source.line(path),
		Record: c.record, Path: path, Problem: problem, Allowed: allowed, Severity: s,
	})
}

// line returns the line of a path, or of the nearest enclosing field.
func (s source) line(path string) int {
	for {
		if n, ok := s.lines[path]; ok {
			return n
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return s.lines[""]
		}
		path = path[:i]
	}
}
