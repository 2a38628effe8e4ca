package btrecord

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"bramleytack"
)

var cmpAddr = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

// Guards against files that crash the parser, and against accepted records
// that change when they are written and read again.
func FuzzParse(f *testing.F) {
	f.Add([]byte("kind: workspace\nschemaVersion: 1\nname: a\nspec: {weight: 1e2, x: [1, {}]}\n---\n- a\n"))
	f.Add([]byte("{\"kind\": \"model\", \"name\": \"m\", \"schemaVersion\": 2, \"spec\": {}}"))
	f.Add([]byte("a: &x 1\nb: *x\n? c\n: |\n  d\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, _ := Parse("f", data)
		again, findings := Parse("g", FormatYAML(records...))
		if len(records) == 0 {
			return
		}
		assert.Equal(t, len(again), len(records), "%v", findings)
		for i, r := range records {
			assert.DeepEqual(t, again[i].fields(), r.fields())
		}
	})
}

// Guards against objects that crash the decoder or do not survive a rewrite.
func FuzzDecodeJSON(f *testing.F) {
	f.Add([]byte(`{"kind":"upstream","schemaVersion":2,"name":"u","spec":{"limits":{"cold":1}},"x":1e400}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeJSON(data)
		if err != nil {
			return
		}
		Validate(r)
		References(r)
		text, err := json.Marshal(r)
		assert.NilError(t, err)
		again, err := Decode(bramleytack.Object{Key: r.Key(), Data: text})
		assert.NilError(t, err)
		assert.DeepEqual(t, again.fields(), r.fields())
	})
}
