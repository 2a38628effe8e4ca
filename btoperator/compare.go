package btoperator

import (
	"maps"
	"reflect"
	"slices"

	"bramleytack/btadmin"
	"bramleytack/btrecord"
)

// Compare returns the changes that lead from one record to another, in the
// order of their paths. A nil record does not exist. Lists are compared as a
// whole, and numbers as they are written.
func Compare(from, to *btrecord.Record) []btadmin.Change {
	a, b := flatten(from), flatten(to)
	paths := map[string]bool{}
	for p := range a {
		paths[p] = true
	}
	for p := range b {
		paths[p] = true
	}
	var changes []btadmin.Change
	for _, p := range slices.Sorted(maps.Keys(paths)) {
		if !reflect.DeepEqual(a[p], b[p]) {
			changes = append(changes, btadmin.Change{Path: p, From: a[p], To: b[p]})
		}
	}
	return changes
}

// flatten returns the values of a record by path.
func flatten(r *btrecord.Record) map[string]any {
	flat := map[string]any{}
	if r == nil {
		return flat
	}
	flat["schemaVersion"] = r.SchemaVersion
	flattenFields("spec", r.Spec, flat)
	for name, v := range r.Extra {
		flattenValue(name, v, flat)
	}
	return flat
}

func flattenFields(path string, f btrecord.Fields, flat map[string]any) {
	for name, v := range f {
		flattenValue(path+"."+name, v, flat)
	}
}

func flattenValue(path string, v any, flat map[string]any) {
	if f, ok := v.(btrecord.Fields); ok && len(f) > 0 {
		flattenFields(path, f, flat)
		return
	}
	flat[path] = v
}
