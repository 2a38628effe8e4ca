package btrecord

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bramleytack"
)

var hash = strings.Repeat("ab", 32)

func genValue(depth int) *rapid.Generator[any] {
	scalars := []*rapid.Generator[any]{
		rapid.Just[any](nil),
		rapid.Map(rapid.Bool(), func(b bool) any { return b }),
		rapid.Map(rapid.String(), func(s string) any { return strings.ToValidUTF8(s, "?") }),
		rapid.Map(rapid.StringMatching(`-?(0|[1-9][0-9]{0,25})(\.[0-9]{1,9})?([eE][-+]?[0-9]{1,3})?`), func(s string) any { return json.Number(s) }),
	}
	if depth == 0 {
		return rapid.OneOf(scalars...)
	}
	return rapid.OneOf(append(
		scalars,
		rapid.Map(genFields(depth-1), func(f Fields) any { return f }),
		rapid.Map(rapid.SliceOfN(genValue(depth-1), 0, 4), func(l []any) any { return l }),
	)...)
}

// Unknown fields start with "x", so that none of them is a known one.
func genFields(depth int) *rapid.Generator[Fields] {
	return rapid.Custom(func(t *rapid.T) Fields {
		m := rapid.MapOfN(rapid.StringMatching(`x[ -~é]{0,6}`), genValue(depth), 0, 4).Draw(t, "fields")
		return Fields(m)
	})
}

func genUpstream(t *rapid.T) bramleytack.Upstream {
	cold := rapid.IntRange(1, 100).Draw(t, "cold")
	return bramleytack.Upstream{
		ID: "u-1", Kind: bramleytack.KindEngine, Addr: netip.MustParseAddrPort("127.0.0.1:9000"), FailureDomain: "qld-a",
		Models:    rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z][a-z0-9]{0,5}`), 1, 4, rapid.ID).Draw(t, "models"),
		State:     rapid.SampledFrom([]bramleytack.UpstreamState{bramleytack.UpstreamActive, bramleytack.UpstreamLeaving}).Draw(t, "state"),
		ColdLimit: cold, WarmLimit: cold + rapid.IntRange(0, 100).Draw(t, "warm"),
		MemoryTokens: rapid.IntRange(0, 1<<20).Draw(t, "memory"), ChecksFence: rapid.Bool().Draw(t, "fence"),
	}
}

// Guards against a rewrite that loses or alters fields of a newer writer, in
// the store's form, in YAML and in a conversion between schema versions.
func TestUnknownFieldsSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := genUpstream(t)
		r := Upstreams.New(u)
		r.Extra = genFields(2).Draw(t, "extra")
		if len(r.Extra) == 0 {
			r.Extra = nil
		}
		for k, v := range genFields(2).Draw(t, "spec") {
			r.Spec[k] = v
		}
		limits, _ := r.Spec["limits"].(Fields)
		limits["xNewer"] = json.Number("1e400")
		r.SchemaVersion = rapid.IntRange(NewestSchema, 9).Draw(t, "schema")

		o, err := Encode(r)
		assert.NilError(t, err)
		stored, err := Decode(o)
		assert.NilError(t, err)
		assert.DeepEqual(t, stored.fields(), r.fields())

		text := FormatYAML(r, r)
		parsed, findings := Parse("f.yaml", text)
		assert.NilError(t, findings.Err(), "%s", text)
		assert.Equal(t, len(parsed), 2)
		assert.DeepEqual(t, parsed[1].fields(), r.fields())

		changed := u
		changed.State = bramleytack.UpstreamLeaving
		rewritten, err := Upstreams.Set(stored, changed)
		assert.NilError(t, err)
		assert.Equal(t, rewritten.SchemaVersion, r.SchemaVersion)
		rewritten, err = Upstreams.Set(rewritten, u)
		assert.NilError(t, err)
		assert.DeepEqual(t, rewritten.fields(), r.fields())

		old, err := Convert(r, 1)
		assert.NilError(t, err)
		v, findings := Upstreams.Value(old)
		assert.NilError(t, findings.Err())
		assert.DeepEqual(t, v, u, cmpAddr)
		again, err := Convert(old, NewestSchema)
		assert.NilError(t, err)
		assert.DeepEqual(t, again.Spec, r.Spec)
	})
}

// Guards against the two schema versions reading the same limits differently.
func TestSchemaVersions(t *testing.T) {
	for name, text := range map[string]string{
		"flat fields in version 1":  "schemaVersion: 1\nspec: {requestsPerSecond: 2.5, concurrency: 7, priority: batch}",
		"a group in version 2":      "schemaVersion: 2\nspec: {limits: {requestsPerSecond: 2.5, concurrency: 7}, priority: batch}",
		"a newer version's unknown": "schemaVersion: 3\nspec: {limits: {requestsPerSecond: 2.5, concurrency: 7, burst: 1}, priority: batch, tier: 2}",
	} {
		t.Run(name, func(t *testing.T) {
			records, findings := Parse("w.yaml", []byte("kind: workspace\nname: foldwell\n"+text))
			assert.NilError(t, findings.Err())
			w, findings := Workspaces.Value(records[0])
			assert.Equal(t, len(findings), 0, "%v", findings)
			assert.DeepEqual(t, w.Workspace, bramleytack.Workspace{Name: "foldwell", RequestsPerSecond: 2.5, Concurrency: 7})
		})
	}
}

// Guards against validation that stops early or points at the wrong place.
func TestFindings(t *testing.T) {
	text := `kind: upstream
schemaVersion: 2
name: u-1
spec:
  kind: engin
  addr: localhost:80
  failureDomain: qld-a
  models: [crease-lm, "No Name", crease-lm]
  limits:
    cold: 0
    wram: 3
---
kind: workspace
schemaVersion: 2
name: ../a
spec:
  keyHashes:
  - ABC
  weight: 1.5
  weight: 2
---
kind: [
---
kind: service
name: orders
schemaVersion: 2
spec: {timeout: 5}
`
	_, findings := Parse("f.yaml", []byte(text))
	got := make([]string, len(findings))
	for i, f := range findings {
		got[i], _, _ = strings.Cut(f.String(), "; allowed")
	}
	assert.DeepEqual(t, got, []string{
		`f.yaml:5: upstream/u-1: spec.kind: "engin" is not valid`,
		`f.yaml:6: upstream/u-1: spec.addr: "localhost:80" is not valid`,
		`f.yaml:8: upstream/u-1: spec.models[1]: "No Name" is not valid`,
		`f.yaml:8: upstream/u-1: spec.models[2]: "crease-lm" is there twice`,
		`f.yaml:10: upstream/u-1: spec.limits.cold: 0 is not valid`,
		`f.yaml:11: warning: upstream/u-1: spec.limits.wram: is not known and has no effect`,
		`f.yaml:15: workspace/../a: name: "../a" is not a valid name`,
		`f.yaml:18: workspace/../a: spec.keyHashes[0]: "ABC" is not valid`,
		`f.yaml:19: workspace/../a: spec.weight: 1.5 is not valid`,
		`f.yaml:20: workspace/../a: spec.weight: is there twice`,
		`f.yaml:22: document is not valid YAML: sequence end token ']' not found`,
		`f.yaml:27: service/orders: spec.timeout: is a number`,
	})
}

// Guards against references to records that do not exist, duplicate names and
// an API key that belongs to two workspaces.
func TestCheck(t *testing.T) {
	u := bramleytack.Upstream{
		ID: "u", Kind: bramleytack.KindEngine, Addr: netip.MustParseAddrPort("10.0.0.7:9000"),
		FailureDomain: "qld-a", Models: []string{"crease-lm"}, ColdLimit: 1, WarmLimit: 1,
	}
	workspace := func(name bramleytack.WorkspaceID) Record {
		return Workspaces.New(Workspace{Workspace: bramleytack.Workspace{Name: name, KeyHashes: []string{hash}}})
	}
	complete := []Record{
		Upstreams.New(u), workspace("a"),
		FailureDomains.New(bramleytack.FailureDomain{Name: "qld-a", Region: "qld"}),
		Models.New(bramleytack.Model{Name: "crease-lm", Version: "1", MaxTokens: 9}),
		Services.New(bramleytack.ServiceRecord{Name: "orders", Timeout: time.Second}),
	}
	for _, r := range complete {
		assert.NilError(t, Validate(r).Err())
	}
	assert.Equal(t, len(Check(complete)), 0)
	paths := func(records ...Record) []string {
		var p []string
		for _, f := range Check(records) {
			p = append(p, f.Path)
		}
		return p
	}
	assert.DeepEqual(t, paths(complete[0]), []string{"spec.failureDomain", "spec.models"})
	assert.DeepEqual(t, paths(complete[1], complete[1]), []string{"name"})
	assert.DeepEqual(t, paths(complete[1], workspace("b")), []string{"spec.keyHashes"})
}
