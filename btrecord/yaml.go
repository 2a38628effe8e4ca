package btrecord

import (
	"bytes"
	"encoding/json"
	"strings"
)

// FormatYAML returns the records as YAML documents that Parse reads back
// without a difference. Strings that could be taken for something else are
// written in double quotes.
func FormatYAML(records ...Record) []byte {
	var w yamlWriter
	for i, r := range records {
		if i > 0 {
			w.WriteString("---\n")
		}
		w.record(r)
	}
	return w.Bytes()
}

// yamlWriter writes block mappings and lists.
type yamlWriter struct {
	bytes.Buffer
}

func (w *yamlWriter) record(r Record) {
	f := r.fields()
	first := []string{"kind", "schemaVersion", "name"}
	for _, name := range first {
		w.field(name, f[name], 0)
	}
	for _, name := range sortedKeys(r.Extra) {
		w.field(name, f[name], 0)
	}
	w.field("spec", f["spec"], 0)
}

func (w *yamlWriter) indent(level int) {
	w.WriteString(strings.Repeat("  ", level))
}

func (w *yamlWriter) field(name string, v any, level int) {
	w.indent(level)
	w.WriteString(yamlText(name))
	w.WriteByte(':')
	w.value(v, level)
}

// value writes what follows the colon of a field or the dash of an item.
func (w *yamlWriter) value(v any, level int) {
	switch v := v.(type) {
	case Fields:
		if len(v) == 0 {
			w.WriteString(" {}\n")
			return
		}
		w.WriteByte('\n')
		for _, name := range sortedKeys(v) {
			w.field(name, v[name], level+1)
		}
	case []any:
		if len(v) == 0 {
			w.WriteString(" []\n")
			return
		}
		w.WriteByte('\n')
		for _, e := range v {
			w.indent(level + 1)
			w.WriteByte('-')
			w.value(e, level+1)
		}
	default:
		w.WriteByte(' ')
		w.WriteString(yamlScalar(v))
		w.WriteByte('\n')
	}
}

func yamlScalar(v any) string {
	switch v := v.(type) {
	case bool:
		if v {
			return "true"
		}
		return "false"
	case string:
		return yamlText(v)
	case json.Number:
		return v.String()
	}
	return "null"
}

// yamlText returns a string without quotes if it is a valid name that starts
// with a letter and is not a word with a meaning in YAML.
func yamlText(s string) string {
	switch s {
	case "true", "false", "null", "yes", "no", "on", "off", "y", "n":
		return quote(s)
	}
	if s != "" && s[0] >= 'a' && s[0] <= 'z' && plainText(s) {
		return s
	}
	return quote(s)
}

func plainText(s string) bool {
	for i := range len(s) {
		c := s[i]
		upper := c >= 'A' && c <= 'Z'
		if !upper && !isLowerOrDigit(c) && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// quote returns a JSON string, which is also a double-quoted YAML string.
func quote(s string) string {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(s); err != nil {
		// Encoding a string to a buffer cannot fail.
		panic(err)
	}
	return strings.TrimSuffix(b.String(), "\n")
}
