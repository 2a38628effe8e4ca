package btsettings

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"bramleytack"
)

// yamlReader sets the fields that one file contains.
type yamlReader struct {
	file     string
	table    map[string]field // by path
	seen     map[string]bool  // paths that the file sets
	findings bramleytack.Findings
}

// readYAML sets the fields that data contains. It returns the paths of these
// fields, also of those with an invalid value, and the findings. The file name
// is used only for findings.
func readYAML(file string, data []byte, table []field) (map[string]bool, bramleytack.Findings) {
	r := &yamlReader{file: file, table: map[string]field{}, seen: map[string]bool{}}
	for _, f := range table {
		r.table[f.path] = f
	}
	doc, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.addSyntaxError(err)
		return r.seen, r.findings
	}
	if len(doc.Docs) > 1 {
		r.addFinding(doc.Docs[1].Body, "", "file must contain only one document", "")
	}
	if len(doc.Docs) > 0 && doc.Docs[0].Body != nil {
		r.readMapping("", doc.Docs[0].Body)
	}
	return r.seen, r.findings
}

// readMapping reads the fields of a mapping. The prefix is empty or the path of
// the mapping with a final dot.
func (r *yamlReader) readMapping(prefix string, node ast.Node) {
	m, ok := node.(ast.MapNode)
	if !ok {
		r.addFinding(node, strings.TrimSuffix(prefix, "."), "must be a mapping", "")
		return
	}
	for it := m.MapRange(); it.Next(); {
		r.readField(prefix+it.Key().String(), it.Key(), it.Value())
	}
}

// readField sets the field at path, or reads the fields below it.
func (r *yamlReader) readField(path string, key, value ast.Node) {
	f, ok := r.table[path]
	switch {
	case ok && r.seen[path]:
		r.addFinding(key, path, "is set twice", "")
	case ok:
		r.seen[path] = true
		if err := f.set(scalars(value)); err != nil {
			r.addFinding(value, path, err.Error(), f.allowed)
		}
	case r.isGroup(path):
		r.readMapping(path+".", value)
	default:
		r.addFinding(key, path, "is not a known field", "")
	}
}

// isGroup reports whether path is a mapping that contains known fields, such as
// limits.
func (r *yamlReader) isGroup(path string) bool {
	for p := range r.table {
		if strings.HasPrefix(p, path+".") {
			return true
		}
	}
	return false
}

// scalars returns the values of a scalar or of a sequence of scalars, and none
// for any other node.
func scalars(node ast.Node) []string {
	switch n := node.(type) {
	case *ast.StringNode:
		return []string{n.Value}
	case *ast.SequenceNode:
		var values []string
		for _, v := range n.Values {
			values = append(values, scalars(v)...)
		}
		return values
	case ast.ScalarNode:
		return []string{n.String()}
	default:
		return nil
	}
}

// addFinding adds a finding at the line of node, or without a line if node is nil.
func (r *yamlReader) addFinding(node ast.Node, path, message, allowed string) {
	line := 0
	if node != nil && node.GetToken() != nil {
		line = node.GetToken().Position.Line
	}
	r.findings = append(r.findings, bramleytack.Finding{File: r.file, Line: line, Path: path, Message: message, Allowed: allowed})
}

func (r *yamlReader) addSyntaxError(err error) {
	finding := bramleytack.Finding{File: r.file, Message: "is not valid YAML"}
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		finding.Line = syntax.Token.Position.Line
		finding.Message = syntax.Message
	}
	r.findings = append(r.findings, finding)
}
