package btadmin

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"bramleytack/btrecord"
)

// Change is the change of one field. A missing value is null.
type Change struct {
	Path string `json:"path"`
	From any    `json:"from"`
	To   any    `json:"to"`
}

// String returns the change on one line.
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Path, text(c.From), text(c.To))
}

func text(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}

// diff returns the changed fields in the order of their paths. Lists are
// compared as a whole.
func diff(from, to btrecord.Fields) []Change {
	var changes []Change
	diffFields("", from, to, &changes)
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return changes
}

func diffFields(path string, from, to btrecord.Fields, changes *[]Change) {
	for name := range from {
		diffValue(join(path, name), from[name], to[name], changes)
	}
	for name := range to {
		if _, ok := from[name]; !ok {
			diffValue(join(path, name), nil, to[name], changes)
		}
	}
}

func diffValue(path string, from, to any, changes *[]Change) {
	if reflect.DeepEqual(from, to) {
		return
	}
	a, fromFields := from.(btrecord.Fields)
	b, toFields := to.(btrecord.Fields)
	nested := fromFields && toFields || fromFields && to == nil || toFields && from == nil
	if nested && len(a)+len(b) > 0 {
		diffFields(path, a, b, changes)
		return
	}
	*changes = append(*changes, Change{Path: path, From: from, To: to})
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// overlap returns the paths that two changes of the same base set differently.
// A field inside a field that the other change replaced counts as well.
func overlap(a, b []Change) []string {
	var paths []string
	for _, x := range a {
		for _, y := range b {
			if x.Path == y.Path && reflect.DeepEqual(x.To, y.To) {
				continue
			}
			if within(x.Path, y.Path) || within(y.Path, x.Path) {
				paths = append(paths, x.Path)
				break
			}
		}
	}
	return paths
}

func within(path, outer string) bool {
	return path == outer || strings.HasPrefix(path, outer+".")
}
