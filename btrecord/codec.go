package btrecord

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Codec converts between the records of one kind and their Go type.
type Codec[T any] struct {
	kind string
	name func(*T) *string
	bind func(b *binder, v *T, schema int)
}

// binding is a Codec without its type.
type binding interface {
	validate(r Record) Findings
	convert(r Record, schema int) (Record, error)
}

var bindings = map[string]binding{
	KindModel:         Models,
	KindWorkspace:     Workspaces,
	KindFailureDomain: FailureDomains,
	KindUpstream:      Upstreams,
	KindService:       Services,
	KindPriorityClass: PriorityClasses,
	KindCommitment:    Commitments,
}

// Validate returns the findings of one record by itself.
func Validate(r Record) Findings {
	c := &collector{record: r.Kind + "/" + r.Name, source: r.source}
	recordFrom(r.fields(), c)
	b, ok := bindings[r.Kind]
	if !ok {
		return c.findings
	}
	return append(c.findings, b.validate(r)...)
}

// Convert returns the record in another schema version. Unknown fields stay.
func Convert(r Record, schema int) (Record, error) {
	if schema < OldestSchema || schema > NewestSchema {
		return Record{}, errors.Newf("btrecord: schema version %d is not known", schema)
	}
	b, ok := bindings[r.Kind]
	if !ok {
		return Record{}, errors.Newf("btrecord: kind %q is not known", r.Kind)
	}
	return b.convert(r, schema)
}

// Value returns the record's value. The value is useful only if no finding is
// an error. Fields of a newer schema version that are not known are ignored.
func (c Codec[T]) Value(r Record) (T, Findings) {
	var v T
	col := &collector{record: r.Kind + "/" + r.Name, source: r.source}
	if r.Kind != c.kind {
		col.add("kind", quoted(r.Kind)+" is not valid", c.kind, Invalid)
		return v, col.findings
	}
	*c.name(&v) = r.Name
	b := newBinder(r.Spec, "spec", false, col)
	c.bind(b, &v, r.SchemaVersion)
	b.finish(r.SchemaVersion <= NewestSchema)
	slices.SortStableFunc(col.findings, byLine)
	return v, col.findings
}

// Set returns the record with the known fields set from v. It keeps the schema
// version and all unknown fields.
func (c Codec[T]) Set(r Record, v T) (Record, error) {
	if r.Kind != c.kind {
		return Record{}, errors.Newf("btrecord: record of kind %q is not of kind %q", r.Kind, c.kind)
	}
	r = r.Clone()
	if r.Spec == nil {
		r.Spec = Fields{}
	}
	r.Name = *c.name(&v)
	b := newBinder(r.Spec, "spec", true, &collector{})
	c.bind(b, &v, r.SchemaVersion)
	b.finish(false)
	return r, nil
}

// New returns a record of the newest schema version.
func (c Codec[T]) New(v T) Record {
	r, err := c.Set(Record{Kind: c.kind, SchemaVersion: NewestSchema}, v)
	if err != nil {
		// The kinds are equal, so that Set cannot fail.
		panic(err)
	}
	return r
}

func (c Codec[T]) validate(r Record) Findings {
	_, f := c.Value(r)
	return f
}

func (c Codec[T]) convert(r Record, schema int) (Record, error) {
	v, f := c.Value(r)
	if err := f.Err(); err != nil {
		return Record{}, err
	}
	r = r.Clone()
	if r.Spec == nil {
		r.Spec = Fields{}
	}
	b := newBinder(r.Spec, "spec", false, &collector{})
	var scratch T
	c.bind(b, &scratch, r.SchemaVersion)
	b.clear()
	r.SchemaVersion = schema
	return c.Set(r, v)
}

func byLine(a, b Finding) int {
	if a.Line != b.Line {
		return a.Line - b.Line
	}
	switch {
	case a.Path < b.Path:
		return -1
	case a.Path > b.Path:
		return 1
	}
	return 0
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
