package btadmin

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btconfig"
	"bramleytack/btrecord"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
)

// run runs a test on fake time with two daemons, whose configurations learn
// only of their own changes.
func run(t *testing.T, name string, f func(t *testing.T, s *btmemstore.Store, a, b *Admin)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			timers := bttimer.New(1)
			defer timers.Close()
			s := btmemstore.New()
			newAdmin := func() *Admin { return &Admin{Store: s, Config: btconfig.New(), Timer: timers} }
			f(t, s, newAdmin(), newAdmin())
		})
	})
}

func parse(t *testing.T, text string) btrecord.Record {
	t.Helper()
	r, findings := btrecord.Parse("test.yaml", []byte(text))
	assert.NilError(t, findings.Err())
	return r[0]
}

func domain(t *testing.T, spec string) btrecord.Record {
	t.Helper()
	return parse(t, "kind: failureDomain\nschemaVersion: 3\nname: qld-a\nspec: {region: qld"+spec+"}")
}

func apply(t *testing.T, a *Admin, r btrecord.Record, expected bramleytack.Revision) bramleytack.Revision {
	t.Helper()
	v, err := a.Apply(t.Context(), r, expected)
	assert.NilError(t, err)
	return v
}

func assertCode(t *testing.T, err error, code bramleytack.Code, o bramleytack.Outcome) {
	t.Helper()
	e := bramleytack.AsError(err)
	assert.Assert(t, e != nil && e.Code == code && e.Outcome == o, "%v", err)
}

// Guards against a conflict that hides one of the changes.
func TestConflict(t *testing.T) {
	run(t, "both changes are shown against a known base", func(t *testing.T, _ *btmemstore.Store, a, b *Admin) {
		v := apply(t, a, domain(t, ", power: {kw: 5, site: x}"), 0)
		v2 := apply(t, b, domain(t, ", power: {kw: 6, site: x}, state: out"), v)
		_, err := a.Apply(t.Context(), domain(t, ", power: {kw: 7}"), v)
		assertCode(t, err, bramleytack.CodeConflict, bramleytack.NotRun)
		var c *ConflictError
		assert.Assert(t, errors.As(err, &c))
		assert.DeepEqual(t, c, &ConflictError{
			Key: domain(t, "").Key(), Expected: v, Stored: v2, BaseKnown: true,
			Theirs: []Change{
				{Path: "spec.power.kw", From: json.Number("5"), To: json.Number("6")},
				{Path: "spec.state", To: "out"},
			},
			Ours: []Change{
				{Path: "spec.power.kw", From: json.Number("5"), To: json.Number("7")},
				{Path: "spec.power.site", From: "x"},
			},
			Overlap: []string{"spec.power.kw"},
		})
	})
	run(t, "without the base the difference to the stored record is shown", func(t *testing.T, _ *btmemstore.Store, a, b *Admin) {
		v := apply(t, a, domain(t, ""), 0)
		apply(t, a, domain(t, ", state: out"), v)
		_, err := b.Apply(t.Context(), domain(t, ""), v)
		var c *ConflictError
		assert.Assert(t, errors.As(err, &c))
		assert.Assert(t, !c.BaseKnown)
		assert.DeepEqual(t, c.Ours, []Change{{Path: "spec.state", From: "out"}})
	})
}

// Guards against records that break the configuration once they are accepted.
func TestValidation(t *testing.T) {
	upstream := parse(t, "kind: upstream\nschemaVersion: 2\nname: u\nspec: {kind: engine, addr: '127.0.0.1:1', failureDomain: qld-a}")
	run(t, "a reference may be newer than the snapshot", func(t *testing.T, _ *btmemstore.Store, a, b *Admin) {
		_, err := b.Apply(t.Context(), upstream, 0)
		assertCode(t, err, bramleytack.CodeBadRequest, bramleytack.NotRun)
		apply(t, a, domain(t, ""), 0)
		apply(t, b, upstream, 0)
	})
	run(t, "a record in use is not deleted", func(t *testing.T, _ *btmemstore.Store, a, _ *Admin) {
		v := apply(t, a, domain(t, ""), 0)
		u := apply(t, a, upstream, 0)
		_, err := a.Delete(t.Context(), domain(t, "").Key(), v)
		assertCode(t, err, bramleytack.CodeConflict, bramleytack.NotRun)
		_, err = a.Delete(t.Context(), upstream.Key(), u)
		assert.NilError(t, err)
		_, err = a.Delete(t.Context(), domain(t, "").Key(), v)
		assert.NilError(t, err)
		assert.Equal(t, len(a.List("")), 0)
	})
}

// Guards against a drain that loses a concurrent change, unknown fields or
// itself, with lost responses, dropped writes and stale reads.
func TestDrain(t *testing.T) {
	run(t, "concurrent changes are kept", func(t *testing.T, s *btmemstore.Store, a, b *Admin) {
		v := apply(t, a, domain(t, ", tier: 1e9"), 0)
		s.SetFault(btmemstore.Fault{LoseReplies: 2, DropWrites: 2, StaleReads: uint64(v)})
		const changes = 10
		var done sync.WaitGroup
		for i := range changes {
			done.Go(func() {
				_, err := b.Modify(t.Context(), domain(t, "").Key(), func(r btrecord.Record) (btrecord.Record, error) {
					r = r.Clone()
					r.Spec[fmt.Sprint("x", i)] = true
					return r, nil
				})
				assert.Check(t, err)
			})
		}
		done.Go(func() {
			_, err := a.Drain(t.Context(), "qld-a")
			assert.Check(t, err)
		})
		s.SetFault(btmemstore.Fault{LoseReplies: 3, DropWrites: 3})
		done.Wait()
		got, err := a.Get(t.Context(), domain(t, "").Key())
		assert.NilError(t, err)
		assert.Equal(t, len(got.Record.Spec), changes+3)
		assert.Equal(t, got.Record.Spec["state"], "out")
		assert.Equal(t, got.Record.Spec["tier"], json.Number("1e9"))
		assert.Equal(t, got.Record.SchemaVersion, 3)
	})
	run(t, "a stale read does not hide a change", func(t *testing.T, s *btmemstore.Store, a, b *Admin) {
		v := apply(t, a, domain(t, ", state: out"), 0)
		_, err := b.Return(t.Context(), "qld-a")
		assert.NilError(t, err)
		s.SetFault(btmemstore.Fault{StaleReads: uint64(v)})
		_, err = a.Drain(t.Context(), "qld-a")
		assertCode(t, err, bramleytack.CodeConflict, bramleytack.NotRun)
		_, err = b.Drain(t.Context(), "qld-a")
		assert.NilError(t, err, "a daemon that knows the newest version needs no current read")
		s.SetFault(btmemstore.Fault{})
		_, err = a.Drain(t.Context(), "qld-a")
		assert.NilError(t, err)
		assert.Equal(t, a.Config.Snapshot().FailureDomains["qld-a"].State, bramleytack.DomainOut)
	})
	run(t, "an outage is reported with no effect", func(t *testing.T, s *btmemstore.Store, a, _ *Admin) {
		apply(t, a, domain(t, ""), 0)
		s.SetFault(btmemstore.Fault{Down: true})
		_, err := a.Drain(t.Context(), "qld-a")
		assertCode(t, err, bramleytack.CodeStoreDown, bramleytack.NotRun)
		_, err = a.Drain(t.Context(), "unknown")
		assertCode(t, err, bramleytack.CodeStoreDown, bramleytack.NotRun)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = a.Drain(ctx, "qld-a")
		assert.Assert(t, err != nil)
	})
}

// Guards against calls that get past the key, the limits or the version check,
// and against errors without a type.
func TestHandler(t *testing.T) {
	a := &Admin{Store: btmemstore.New(), Config: btconfig.New()}
	h := &Handler{
		Admin: a, KeyHashes: [][sha256.Size]byte{sha256.Sum256([]byte("other")), sha256.Sum256([]byte("secret"))},
		Status: func(context.Context) any { return map[string]int{"revision": 1} },
	}
	mux := h.Mux()
	const path = "/admin/v1/records/failureDomain/qld-a"
	const body = `{"kind":"failureDomain","schemaVersion":2,"name":"qld-a","spec":{"region":"qld"}}`
	for _, c := range []struct {
		name, method, path, key, match, body string
		status                               int
		want                                 string
	}{
		{"no key", "GET", path, "", "", "", 401, `"code":"unauthenticated"`},
		{"wrong key", "PUT", path, "Bearer secre", "0", body, 401, `"outcome":"notRun"`},
		{"key without scheme", "GET", path, "secret", "", "", 401, `"unauthenticated"`},
		{"missing record", "GET", path, "Bearer secret", "", "", 404, `"code":"notFound"`},
		{"no version", "PUT", path, "Bearer secret", "", body, 400, `If-Match`},
		{"invalid record", "PUT", path, "Bearer secret", "0", strings.Replace(body, `"qld"`, `7`, 1), 400, `"path":"spec.region"`},
		{"not a record", "PUT", path, "Bearer secret", "0", `{"kind":"x"}`, 400, `"path":"schemaVersion"`},
		{"other record", "PUT", strings.Replace(path, "-a", "-b", 1), "Bearer secret", "0", body, 400, `body holds`},
		{"large body", "PUT", path, "Bearer secret", "0", strings.Repeat(" ", bramleytack.MaxObjectBytes+1), 413, `"code":"bodyTooLarge"`},
		{"unknown kind", "PUT", "/admin/v1/records/lease/qld-a", "Bearer secret", "0", body, 400, `allowed: failureDomain`},
		{"unsafe name", "GET", "/admin/v1/records/model/..%2Fx", "Bearer secret", "", "", 400, `not a valid name`},
		{"create", "PUT", path, "Bearer other", `"0"`, body, 200, `{"version":1}`},
		{"conflict", "PUT", path, "Bearer secret", "0", strings.Replace(body, `"qld"`, `"attica"`, 1), 409, `"overlap":["spec.region"]`},
		{"get", "GET", path, "Bearer secret", "", "", 200, `{"version":1,"record":` + body[:8]},
		{"list", "GET", "/admin/v1/records/failureDomain", "Bearer secret", "", "", 200, `"revision":1`},
		{"list all", "GET", "/admin/v1/records", "Bearer secret", "", "", 200, `"region":"qld"`},
		{"status", "GET", "/admin/v1/status", "Bearer secret", "", "", 200, `{"revision":1}`},
		{"unknown call", "POST", path, "Bearer secret", "", "", 404, `no such call`},
		{"delete", "DELETE", path, "Bearer secret", "1", "", 200, `{"version":2}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			for name, v := range map[string]string{"Authorization": c.key, "If-Match": c.match} {
				if v != "" {
					r.Header.Set(name, v)
				}
			}
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, r)
			assert.Equal(t, w.Code, c.status, "%s", w.Body)
			assert.Assert(t, strings.Contains(w.Body.String(), c.want), "%s", w.Body)
			if c.status != http.StatusOK {
				var e ErrorBody
				assert.NilError(t, json.Unmarshal([]byte(w.Body.String()), &e))
				assert.Assert(t, e.Error.Code != "" && e.Error.Outcome != "")
			}
		})
	}
}
