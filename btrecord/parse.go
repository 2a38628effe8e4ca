package btrecord

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"bramleytack"
)

// maxNesting bounds the depth of a document. The YAML parser takes quadratic
// time in the depth: 25 s for 100,000 open brackets.
const maxNesting = 64

var jsonNumber = regexp.MustCompile(`^-?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][-+]?[0-9]+)?$`)

// Parse reads a YAML file with any number of documents, each of which holds one
// record. It returns the records whose structure is sound together with all
// findings. A document that is not YAML does not hide the findings of others.
func Parse(file string, data []byte) ([]Record, Findings) {
	var records []Record
	var findings Findings
	for _, d := range splitDocuments(data) {
		r, ok, f := parseDocument(file, d)
		findings = append(findings, f...)
		if ok {
			records = append(records, r)
		}
	}
	return records, findings
}

// document is a part of a file with the number of lines before it.
type document struct {
	text   []byte
	offset int
}

// splitDocuments splits a file at its document markers. A marker at the start
// of a line ends a document wherever it stands.
func splitDocuments(data []byte) []document {
	var docs []document
	current := document{}
	n := 0
	for line := range bytes.Lines(data) {
		n++
		if isMarker(line) {
			docs = append(docs, current)
			current = document{offset: n}
			continue
		}
		current.text = append(current.text, line...)
	}
	return append(docs, current)
}

func isMarker(line []byte) bool {
	text := bytes.TrimRight(line, "\r\n")
	return bytes.Equal(text, []byte("---")) || bytes.HasPrefix(text, []byte("--- #"))
}

func parseDocument(file string, d document) (Record, bool, Findings) {
	c := &collector{source: source{file: file, lines: map[string]int{"": d.offset + 1}}}
	body, ok := parseYAML(d, c)
	if body == nil || !ok {
		return Record{}, false, c.findings
	}
	w := &walker{offset: d.offset, collector: c}
	v := w.value(body, "")
	f, isFields := v.(Fields)
	if !isFields {
		c.add("", "document is "+typeName(v), "a record with kind, schemaVersion, name and spec", Invalid)
		return Record{}, false, c.findings
	}
	c.record = recordName(f)
	for i := range c.findings {
		c.findings[i].Record = c.record
	}
	r := recordFrom(f, c)
	r.source = c.source
	sound := c.findings.Err() == nil
	if b, known := bindings[r.Kind]; known {
		c.findings = append(c.findings, b.validate(r)...)
	}
	warnAboutDocument(c, r)
	slices.SortStableFunc(c.findings, byLine)
	return r, sound, c.findings
}

func warnAboutDocument(c *collector, r Record) {
	for _, name := range sortedKeys(r.Extra) {
		c.add(name, "is not known and has no effect", "kind, schemaVersion, name, spec", Warning)
	}
	if r.SchemaVersion > NewestSchema {
		c.add("schemaVersion", fmt.Sprintf("%d is newer than %d; only known fields are checked", r.SchemaVersion, NewestSchema), "", Warning)
	}
}

func recordName(f Fields) string {
	kind, _ := f["kind"].(string)
	name, _ := f["name"].(string)
	if kind == "" && name == "" {
		return ""
	}
	return fmt.Sprintf("%.64s/%.64s", kind, name)
}

// parseYAML returns the root of a document, or nil if the document is empty.
func parseYAML(d document, c *collector) (body ast.Node, ok bool) {
	if len(d.text) > bramleytack.MaxObjectBytes {
		c.add("", fmt.Sprintf("document has %d bytes", len(d.text)), fmt.Sprintf("%d bytes", bramleytack.MaxObjectBytes), Invalid)
		return nil, false
	}
	if tooDeep(d.text) {
		c.add("", "document is nested too deeply", fmt.Sprintf("%d levels", maxNesting), Invalid)
		return nil, false
	}
	defer func() {
		// The YAML parser panics on some malformed documents.
		if p := recover(); p != nil {
			c.add("", fmt.Sprintf("document is not valid YAML: %v", p), "", Invalid)
			body, ok = nil, false
		}
	}()
	f, err := parser.ParseBytes(d.text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		c.addSyntaxError(d, err)
		return nil, false
	}
	for _, doc := range f.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			c.add("", "document marker is not on a line of its own", "--- alone on a line", Invalid)
			return nil, false
		}
		body = doc.Body
	}
	return body, true
}

func (c *collector) addSyntaxError(d document, err error) {
	problem := "document is not valid YAML"
	var y yaml.Error
	if !errors.As(err, &y) {
		c.add("", problem+": "+err.Error(), "", Invalid)
		return
	}
	if t := y.GetToken(); t != nil && t.Position != nil {
		c.source.lines[""] = d.offset + t.Position.Line
	}
	c.add("", problem+": "+y.GetMessage(), "", Invalid)
}

// tooDeep bounds the nesting by the text alone. It counts brackets in strings
// too, and nested "- " and "? " indicators at the start of a line.
func tooDeep(text []byte) bool {
	depth := 0
	for line := range bytes.Lines(text) {
		indicators := len(line) - len(bytes.TrimLeft(line, "-?: \t"))
		if bytes.Count(line[:indicators], []byte("-"))+bytes.Count(line[:indicators], []byte("?")) > maxNesting {
			return true
		}
		for _, c := range line {
			switch c {
			case '[', '{':
				depth++
			case ']', '}':
				depth = max(depth-1, 0)
			}
			if depth > maxNesting {
				return true
			}
		}
	}
	return false
}

// walker turns YAML nodes into values and notes the line of each field.
type walker struct {
	offset int
	depth  int
	*collector
}

func (w *walker) reject(path, problem, allowed string) any {
	w.add(path, problem, allowed, Invalid)
	return nil
}

func (w *walker) value(n ast.Node, path string) any {
	if n == nil {
		return nil
	}
	w.note(n, path)
	w.depth++
	defer func() { w.depth-- }()
	if w.depth > maxNesting {
		return w.reject(path, "is nested too deeply", fmt.Sprintf("%d levels", maxNesting))
	}
	switch n := n.(type) {
	case *ast.MappingNode:
		return w.mapping(n.Values, path)
	case *ast.MappingValueNode:
		return w.mapping([]*ast.MappingValueNode{n}, path)
	case *ast.SequenceNode:
		return w.sequence(n, path)
	case *ast.NullNode:
		return nil
	case *ast.BoolNode:
		return n.Value
	case *ast.StringNode:
		return plainOrQuoted(n)
	case *ast.LiteralNode:
		return strings.ToValidUTF8(n.Value.Value, "�")
	case *ast.IntegerNode:
		return w.number(n.Token.Value, n.Value, path)
	case *ast.FloatNode:
		return w.number(n.Token.Value, n.Value, path)
	case *ast.AliasNode, *ast.AnchorNode, *ast.TagNode:
		return w.reject(path, "uses an anchor, an alias or a tag", "plain YAML values")
	}
	return w.reject(path, "has a value of an unknown type", "mapping, list, string, number, true, false, null")
}

func (w *walker) note(n ast.Node, path string) {
	if _, ok := w.source.lines[path]; ok && path != "" {
		return
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		w.source.lines[path] = w.offset + t.Position.Line
	}
}

func (w *walker) mapping(values []*ast.MappingValueNode, path string) any {
	f := make(Fields, len(values))
	for _, v := range values {
		key, ok := v.Key.(*ast.StringNode)
		if !ok {
			w.reject(path, "has a key that is not a string", "string keys")
			continue
		}
		name := strings.ToValidUTF8(key.Value, "�")
		at := name
		if path != "" {
			at = path + "." + name
		}
		if _, twice := f[name]; twice {
			w.reject(at, "is there twice", "each field once")
			w.findings[len(w.findings)-1].Line = w.offset + key.Token.Position.Line
			continue
		}
		w.note(key, at)
		f[name] = w.value(v.Value, at)
	}
	return f
}

func (w *walker) sequence(n *ast.SequenceNode, path string) any {
	list := make([]any, 0, len(n.Values))
	for i, e := range n.Values {
		list = append(list, w.value(e, fmt.Sprintf("%s[%d]", path, i)))
	}
	return list
}

// number keeps the text of a number if JSON has the same form.
func (w *walker) number(text string, value any, path string) any {
	if jsonNumber.MatchString(text) {
		return json.Number(text)
	}
	data, err := json.Marshal(value)
	if err != nil || !jsonNumber.Match(data) {
		return w.reject(path, quoted(text)+" is not a number", "a decimal number")
	}
	return json.Number(data)
}

// plainOrQuoted returns a number for an unquoted JSON number that the parser
// takes for a string, such as 1e5.
func plainOrQuoted(n *ast.StringNode) any {
	if n.Token.Type == token.StringType && jsonNumber.MatchString(n.Value) {
		return json.Number(n.Value)
	}
	return strings.ToValidUTF8(n.Value, "�")
}
