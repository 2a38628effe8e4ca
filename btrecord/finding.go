package btrecord

import (
	"strings"

	"bramleytack"
)

// Finding is one fault of a record with its location.
type Finding = bramleytack.Finding

// Findings are the faults of one or more records.
type Findings = bramleytack.Findings

// Severity says whether a finding makes a record invalid.
type Severity = bramleytack.Severity

// The severities.
const (
	Invalid = bramleytack.Invalid
	Warning = bramleytack.Warning
)

// collector gathers the findings of one record.
type collector struct {
	record   string
	source   source
	findings Findings
}

func (c *collector) add(path, problem, allowed string, s Severity) {
	c.findings = append(c.findings, Finding{
		File: c.source.file, Line: c.source.line(path),
		Record: c.record, Path: path, Message: problem, Allowed: allowed, Severity: s,
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
