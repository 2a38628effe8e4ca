package btsettings

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"bramleytack"
)

// reader collects the fields and the faults of one file.
type reader struct {
	file  string
	table map[string]field
	seen  map[string]bool
	found bramleytack.Findings
}

// readYAML sets the fields that a file holds. It returns the paths that the
// file names and all faults.
func readYAML(file string, data []byte, table []field) (map[string]bool, bramleytack.Findings) {
	r := &reader{file: file, table: map[string]field{}, seen: map[string]bool{}}
	for _, f := range table {
		r.table[f.path] = f
	}
	doc, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.addSyntax(err)
		return r.seen, r.found
	}
	if len(doc.Docs) > 1 {
		r.add(doc.Docs[1].Body, "", "file must hold one document", "")
	}
	if len(doc.Docs) > 0 && doc.Docs[0].Body != nil {
		r.mapping("", doc.Docs[0].Body)
	}
	return r.seen, r.found
}

func (r *reader) mapping(prefix string, node ast.Node) {
	m, ok := node.(ast.MapNode)
	if !ok {
		r.add(node, strings.TrimSuffix(prefix, "."), "must be a mapping", "")
		return
	}
	for it := m.MapRange(); it.Next(); {
		r.entry(prefix+it.Key().String(), it.Key(), it.Value())
	}
}

func (r *reader) entry(path string, key, value ast.Node) {
	f, ok := r.table[path]
	switch {
	case ok && r.seen[path]:
		r.add(key, path, "is set twice", "")
	case ok:
		r.seen[path] = true
		if err := f.set(scalars(value)); err != nil {
			r.add(value, path, err.Error(), f.allowed)
		}
	case r.isGroup(path):
		r.mapping(path+".", value)
	default:
		r.add(key, path, "is no known field", "")
	}
}

// isGroup says whether a path is the start of a field's path.
func (r *reader) isGroup(path string) bool {
	for p := range r.table {
		if strings.HasPrefix(p, path+".") {
			return true
		}
	}
	return false
}

// scalars returns the values of a scalar or of a sequence of scalars.
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

func (r *reader) add(node ast.Node, path, message, allowed string) {
	line := 0
	if node != nil && node.GetToken() != nil {
		line = node.GetToken().Position.Line
	}
	r.found = append(r.found, bramleytack.Finding{File: r.file, Line: line, Path: path, Message: message, Allowed: allowed})
}

func (r *reader) addSyntax(err error) {
	f := bramleytack.Finding{File: r.file, Message: "is no valid YAML"}
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		f.Line = syntax.Token.Position.Line
		f.Message = syntax.Message
	}
	r.found = append(r.found, f)
}
