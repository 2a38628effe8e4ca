package examples

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btrecord"
	"bramleytack/btsettings"
)

// Guards against examples that fail validation, that lack the expected number of
// records, or whose two schema versions describe different deployments.
func TestExamples(t *testing.T) {
	for _, name := range []string{"foldwell", "karamanlis"} {
		t.Run(name, func(t *testing.T) {
			old, current := records(t, name, 1), records(t, name, 2)
			assertSizes(t, current)
			assert.Equal(t, len(old), len(current))
			for key, r := range old {
				want, ok := current[key]
				assert.Assert(t, ok, "%v is missing in schema version 2", key)
				// Conversion omits default values, so both sides are converted.
				converted, err := btrecord.Convert(r, btrecord.NewestSchema)
				assert.NilError(t, err)
				back, err := btrecord.Convert(converted, btrecord.OldestSchema)
				assert.NilError(t, err)
				want, err = btrecord.Convert(want, btrecord.OldestSchema)
				assert.NilError(t, err)
				assert.DeepEqual(t, back.Spec, want.Spec)
			}
			s, err := btsettings.Load([]string{"--config", filepath.Join(name, "daemon.yaml")}, os.ReadFile)
			assert.NilError(t, err)
			_, known := current[bramleytack.Key{Kind: btrecord.KindFailureDomain, Name: string(s.FailureDomain)}]
			assert.Assert(t, known, "daemon.yaml names failure domain %s, which has no record", s.FailureDomain)
		})
	}
}

// records loads the records of one schema version. Any finding fails the test.
func records(t *testing.T, name string, schema int) map[bramleytack.Key]btrecord.Record {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(name, "records", "v"+string(rune('0'+schema)), "*.yaml"))
	assert.NilError(t, err)
	var all []btrecord.Record
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		parsed, findings := btrecord.Parse(file, data)
		assert.Equal(t, len(findings), 0, "%v", findings)
		all = append(all, parsed...)
	}
	findings := btrecord.Check(all)
	assert.Equal(t, len(findings), 0, "%v", findings)
	byKey := map[bramleytack.Key]btrecord.Record{}
	for _, r := range all {
		assert.Equal(t, r.SchemaVersion, schema)
		byKey[r.Key()] = r
	}
	return byKey
}

func assertSizes(t *testing.T, records map[bramleytack.Key]btrecord.Record) {
	t.Helper()
	count := map[string]int{}
	for key, r := range records {
		kind := key.Kind
		if kind == btrecord.KindUpstream {
			u, _ := btrecord.Upstreams.Value(r)
			assert.Assert(t, u.Addr.Addr().IsLoopback(), "upstream address %s is not a loopback address", u.Addr)
			kind = string(u.Kind)
		}
		if kind == btrecord.KindWorkspace {
			w, _ := btrecord.Workspaces.Value(r)
			if w.Concurrency > 40 {
				count["large"]++
			}
		}
		count[kind]++
	}
	for kind, n := range map[string]int{
		btrecord.KindFailureDomain: 3, btrecord.KindWorkspace: 10, btrecord.KindModel: 1, "engine": 12, "large": 3,
	} {
		assert.Equal(t, count[kind], n, "number of records of kind %s", kind)
	}
	// The service's record and its three upstreams have the same kind.
	assert.Equal(t, count[btrecord.KindService], 4)
}
