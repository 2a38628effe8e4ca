package btrecord

import (
	"encoding/json"
	"maps"
	"slices"

	"bramleytack"
)

// The kinds of records. The kind is also the kind of the record's object in
// the store.
const (
	KindModel         = "model"
	KindWorkspace     = "workspace"
	KindFailureDomain = "failureDomain"
	KindUpstream      = "upstream"
	KindService       = "service"
	KindPriorityClass = "priorityClass"
	KindCommitment    = "commitment"
)

// The schema versions that this package knows.
const (
	OldestSchema = 1
	NewestSchema = 2
)

// Kinds returns all kinds in an order in which no record refers to a record of
// a later kind.
func Kinds() []string {
	return []string{
		KindFailureDomain, KindPriorityClass, KindModel, KindService, KindWorkspace, KindUpstream, KindCommitment,
	}
}

// Fields are the fields of a JSON object. Values are nil, bool, string,
// json.Number, []any and Fields.
type Fields map[string]any

// Record is one operator record.
type Record struct {
	Kind          string
	SchemaVersion int
	Name          string
	Spec          Fields
	// Extra holds unknown fields beside the spec.
	Extra Fields

	source source
}

// source locates the fields of a record in the file that it was read from.
type source struct {
	file  string
	lines map[string]int
}

// Key returns the key of the record's object in the store.
func (r Record) Key() bramleytack.Key {
	return bramleytack.Key{Kind: r.Kind, Name: r.Name}
}

// Clone returns a copy that shares no spec or extra field with r.
func (r Record) Clone() Record {
	r.Spec = cloneFields(r.Spec)
	r.Extra = cloneFields(r.Extra)
	return r
}

// MarshalJSON returns the record as one JSON object with sorted fields.
func (r Record) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any(r.fields()))
}

// UnmarshalJSON reads a record. It checks the structure, not the spec.
func (r *Record) UnmarshalJSON(data []byte) error {
	f, err := decodeFields(data)
	if err != nil {
		return err
	}
	c := &collector{}
	*r = recordFrom(f, c)
	return c.findings.Err()
}

func (r Record) fields() Fields {
	f := maps.Clone(r.Extra)
	if f == nil {
		f = Fields{}
	}
	f["kind"] = r.Kind
	f["schemaVersion"] = number(r.SchemaVersion)
	f["name"] = r.Name
	spec := r.Spec
	if spec == nil {
		spec = Fields{}
	}
	f["spec"] = spec
	return f
}

// recordFrom takes the record's own fields out of f. The rest becomes Extra.
func recordFrom(f Fields, c *collector) Record {
	b := &binder{fields: f, seen: map[string]bool{}, collector: c}
	var r Record
	b.text("kind", &r.Kind, required)
	b.text("name", &r.Name, required)
	b.integer("schemaVersion", &r.SchemaVersion, between(OldestSchema, maxSchema))
	if f["schemaVersion"] == nil {
		b.fail("schemaVersion", "is missing", "1 or 2")
	}
	r.Spec = b.group("spec").fields
	if _, ok := f["spec"]; !ok {
		b.fail("spec", "is missing", "the fields of the kind")
	}
	if r.Kind != "" && !slices.Contains(Kinds(), r.Kind) {
		b.fail("kind", quoted(r.Kind)+" is not known", oneOf(Kinds()...))
	}
	if r.Name != "" && !ValidName(r.Name) {
		b.fail("name", quoted(r.Name)+" is not a valid name", nameRule)
	}
	for k, v := range f {
		if b.seen[k] {
			continue
		}
		if r.Extra == nil {
			r.Extra = Fields{}
		}
		r.Extra[k] = v
	}
	return r
}

func cloneFields(f Fields) Fields {
	if f == nil {
		return nil
	}
	return cloneValue(f).(Fields)
}

func cloneValue(v any) any {
	switch v := v.(type) {
	case Fields:
		c := make(Fields, len(v))
		for k, e := range v {
			c[k] = cloneValue(e)
		}
		return c
	case []any:
		c := make([]any, len(v))
		for i, e := range v {
			c[i] = cloneValue(e)
		}
		return c
	}
	return v
}
