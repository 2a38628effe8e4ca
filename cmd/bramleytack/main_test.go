package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack/btadmin"
	"bramleytack/btconfig"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
)

// shell runs command lines against one daemon.
type shell struct {
	t     *testing.T
	app   *app
	in    string
	out   bytes.Buffer
	log   bytes.Buffer
	admin string
	// before is called before each write.
	before func()
	// revision is what the daemon reports in its status.
	revision int
}

func newShell(t *testing.T) *shell {
	t.Helper()
	timers := bttimer.New(1)
	t.Cleanup(timers.Close)
	s := &shell{t: t}
	admin := &btadmin.Admin{Store: btmemstore.New(), Config: btconfig.New(), Timer: timers}
	mux := (&btadmin.Handler{Admin: admin, KeyHashes: [][sha256.Size]byte{sha256.Sum256([]byte("secret"))}}).Mux()
	s.admin = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/admin/v1/status":
			fmt.Fprintf(w, `{"daemons":[{"host":"qld-a-1","config":{"revision":%d},"ready":true}]}`, s.revision)
			return
		case r.URL.Path == "/debug/state":
			fmt.Fprintf(w, `{"part":%q}`, r.URL.Query().Get("part"))
			return
		case r.Method == http.MethodPut && s.before != nil:
			before := s.before
			s.before = nil
			before()
		}
		mux.ServeHTTP(w, r)
	}))
	s.app = &app{timer: timers, out: &s.out, log: &s.log}
	t.Setenv("BRAMLEYTACK_ADMIN", s.admin)
	t.Setenv("BRAMLEYTACK_OPERATOR_KEY", "secret")
	return s
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// run runs one command line and checks its exit status.
func (s *shell) run(status int, args ...string) {
	s.t.Helper()
	s.out.Reset()
	s.log.Reset()
	s.app.in = strings.NewReader(s.in)
	got := s.app.run(s.t.Context(), args)
	assert.Equal(s.t, got, status, "%v\n%s%s", args, &s.out, &s.log)
}

func (s *shell) file(text string) string {
	s.t.Helper()
	name := filepath.Join(s.t.TempDir(), "records.yaml")
	assert.NilError(s.t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func contains(t *testing.T, text fmt.Stringer, parts ...string) {
	t.Helper()
	for _, p := range parts {
		assert.Assert(t, strings.Contains(text.String(), p), "%q is not in:\n%s", p, text)
	}
}

const domainFile = "kind: failureDomain\nschemaVersion: 2\nname: qld-a\nspec: {region: qld}\n"

// Guards against a round of operators' commands that does not fit together.
func TestOperatorCommands(t *testing.T) {
	s := newShell(t)
	f := s.file("kind: upstream\nschemaVersion: 2\nname: e-1\nspec: {kind: engine, addr: \"127.0.0.1:9000\", failureDomain: qld-a}\n---\n" + domainFile)
	s.run(exitOK, "diff", f)
	contains(t, &s.out, `spec.region: null -> "qld"`)
	s.run(exitOK, "apply", f)
	contains(t, &s.out, "applied")
	s.run(exitOK, "diff", "--output", "json", f)
	contains(t, &s.out, `"changes": null`)
	s.run(exitOK, "drain", "qld-a")
	s.run(exitOK, "get", "failureDomain", "qld-a")
	contains(t, &s.out, "# version 3", "state: out")
	s.run(exitOK, "return", "qld-a")
	s.run(exitOK, "get")
	contains(t, &s.out, "KIND", "upstream", "e-1")
	s.run(exitConflict, "delete", "failureDomain", "qld-a")
	s.run(exitOK, "delete", "upstream", "e-1")
	s.run(exitFailed, "get", "upstream", "e-1")
	s.run(exitFailed, "drain", "qld-b")
	s.run(exitOK, "status")
	contains(t, &s.out, "qld-a-1")
	s.run(exitOK, "dump", "--part", "owner")
	contains(t, &s.out, `"part": "owner"`)
}

// Guards against an apply that writes before all findings are known.
func TestApplyFindings(t *testing.T) {
	s := newShell(t)
	f := s.file(domainFile + "---\nkind: upstream\nschemaVersion: 2\nname: e-1\nspec: {kind: engin, addr: \"127.0.0.1:9000\", failureDomain: qld-b}\n")
	s.run(exitUsage, "apply", f)
	contains(t, &s.log, f+":9: upstream/e-1: spec.kind", `spec.failureDomain: "qld-b" is not known`)
	s.run(exitOK, "get", "--output", "json")
	contains(t, &s.out, `"records": []`)
	s.run(exitUsage, "validate", f)
	s.run(exitUsage, "apply", "--expected", "1", s.file(domainFile+"---\n"+strings.Replace(domainFile, "qld-a", "qld-c", 1)))
}

// Guards against a conflict that hides or drops one of the two changes.
func TestApplyConflict(t *testing.T) {
	s := newShell(t)
	f := s.file(domainFile)
	s.run(exitOK, "apply", f)
	wanted := s.file(strings.Replace(domainFile, "region: qld", "region: qld-south", 1))
	s.before = func() {
		other := &app{timer: s.app.timer, out: &bytes.Buffer{}, log: &bytes.Buffer{}}
		assert.Check(t, other.run(t.Context(), []string{"drain", "qld-a"}) == exitOK)
	}
	s.run(exitConflict, "apply", wanted)
	contains(t, &s.out, "conflict")
	contains(t, &s.log, `stored: spec.state: null -> "out"`, `wanted: spec.region: "qld" -> "qld-south"`)
	s.run(exitOK, "get", "failureDomain", "qld-a")
	contains(t, &s.out, "region: qld\n", "state: out")
	s.run(exitConflict, "apply", "--expected", "1", "--output", "json", wanted)
	var results []applied
	assert.NilError(t, json.Unmarshal(s.out.Bytes(), &results))
	assert.Assert(t, results[0].Conflict != nil)
}

// Guards against a wait that reports success while a daemon is behind.
func TestApplyWait(t *testing.T) {
	s := newShell(t)
	f := s.file(domainFile)
	s.run(exitBehind, "apply", "--wait", "--wait-timeout", "1ms", f)
	contains(t, &s.log, "behind: qld-a-1 has revision 0")
	s.revision = 2
	s.run(exitOK, "apply", "--wait", f)
}

// Guards against exit statuses that scripts would misread.
func TestExitStatus(t *testing.T) {
	s := newShell(t)
	s.in = "secret\n"
	cases := []struct {
		status int
		args   []string
	}{
		{exitUsage, nil},
		{exitUsage, []string{"apply"}},
		{exitUsage, []string{"status", "--output", "xml"}},
		{exitUsage, []string{"get", "--admin", "nowhere"}},
		{exitUsage, []string{"generate", "--model", "m", "hi"}},
		{exitUsage, []string{"call", "orders"}},
		{exitOK, []string{"drain", "-h"}},
		{exitFailed, []string{"get", "--admin", "127.0.0.1:1"}},
		{exitFailed, []string{"status", "--admin", "127.0.0.1:1"}},
		{exitNotRun, []string{"drain", "--admin", "127.0.0.1:1", "qld-a"}},
		{exitNotRun, []string{"drain", "--operator-key", "wrong", "qld-a"}},
		{exitOK, []string{"get", "--config", "../../examples/foldwell/operator.yaml", "--operator-key", "secret", "--admin", s.admin}},
		{exitOK, []string{"hash-key"}},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			s.t = t
			s.run(c.status, c.args...)
		})
	}
	contains(t, &s.out, fmt.Sprintf("%x", sha256.Sum256([]byte("secret"))))
}

// Guards against outcomes of calls and generations that get lost on the way to
// the exit status, and against a stream that is not passed on.
func TestCallerCommands(t *testing.T) {
	s := newShell(t)
	answers := map[string]struct {
		outcome, body string
		status        int
	}{
		"/v1/services/orders/ok":      {"ran", "stored", http.StatusCreated},
		"/v1/services/orders/missing": {"ran", "nothing here", http.StatusNotFound},
		"/v1/services/orders/unknown": {"unknown", `{"error":{"code":"timeout","message":"late","outcome":"unknown"}}`, http.StatusGatewayTimeout},
		"/v1/services/orders/refused": {"notRun", `{"error":{"code":"forbidden","message":"no","outcome":"notRun"}}`, http.StatusForbidden},
		"/v1/chat/completions": {"", "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"fold \"}}]}\n\nid: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"twice\"}}]}\n\n" +
			"data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", http.StatusOK},
	}
	entry := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, ok := answers[r.URL.Path]
		if !ok {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Bramleytack-Outcome", a.outcome)
		w.WriteHeader(a.status)
		fmt.Fprint(w, a.body)
	}))
	t.Setenv("BRAMLEYTACK_ENTRIES", entry)
	s.run(exitOK, "call", "--data", "{}", "--key", "k1", "orders", "/ok")
	contains(t, &s.out, "stored")
	s.run(exitFailed, "call", "--output", "json", "orders", "missing")
	contains(t, &s.out, `"status": 404`)
	s.run(exitUnknown, "call", "orders", "unknown")
	s.run(exitNotRun, "call", "orders", "refused")
	s.run(exitOK, "generate", "--model", "crease-lm", "how", "to", "fold")
	assert.Equal(t, s.out.String(), "fold twice\n")
	s.run(exitOK, "generate", "--model", "crease-lm", "--output", "json")
	contains(t, &s.out, `{"index":1,"text":"twice"}`, `"finishReason":"stop"`)
}

// Guards against a fleet view that hides daemons that do not answer, and against ages and
// counts that are attributed to the wrong failure domain.
func TestFleetView(t *testing.T) {
	s := newShell(t)
	daemon := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.URL.Query().Get("part"), "fleet")
		fmt.Fprint(w, `{"fleet":{"host":"h1","failureDomain":"a","hub":"h2","totalAge":40,"domains":{"a":{"alive":2,"hubs":["h2","h3"]},"b":{"alive":3,"hubs":["h9"],"tableAge":210}}}}`)
	}))
	s.run(exitOK, "fleet", daemon)
	lines := strings.Split(strings.TrimSpace(s.out.String()), "\n")
	assert.Equal(t, len(lines), 3)
	assert.DeepEqual(t, strings.Fields(lines[1]), []string{"h1", "a", "3", "h2,h3", "40ms"})
	assert.DeepEqual(t, strings.Fields(lines[2]), []string{"h1", "b", "3", "h9", "210ms"})
	s.run(exitFailed, "fleet", daemon, "127.0.0.1:1")
	assert.Assert(t, strings.Contains(s.log.String(), "1 of 2 daemons did not answer"), s.log.String())
	s.run(exitUsage, "fleet")
	s.run(exitUsage, "fleet", "nowhere")
}

// Guards against counts of a roll-out that are not summed over the daemons, and against a daemon that
// does not answer and is passed over.
func TestRolloutsView(t *testing.T) {
	s := newShell(t)
	daemon := func(result string, sent, bad int) string {
		return serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, r.URL.Query().Get("part"), "rollouts")
			fmt.Fprintf(w, `{"rollouts":[{"service":"shop","target":"v2","stage":"trial","share":0,"age":9000000000,%s"sent":%d,"exposed":40,"answers":39,"bad":%d}]}`, result, sent, bad)
		}))
	}
	first, second := daemon(`"rolledBack":true,`, 300, 7), daemon(`"blind":true,`, 200, 5)
	s.run(exitOK, "rollouts", first, second)
	lines := strings.Split(strings.TrimSpace(s.out.String()), "\n")
	assert.Equal(t, len(lines), 4)
	assert.DeepEqual(t, strings.Fields(lines[1]), []string{first, "shop", "v2", "trial", "rolledBack", "9s", "0.000", "300", "40", "39", "7"})
	assert.DeepEqual(t, strings.Fields(lines[2]), []string{second, "shop", "v2", "trial", "blind", "9s", "0.000", "200", "40", "39", "5"})
	assert.DeepEqual(t, strings.Fields(lines[3]), []string{"all", "shop", "v2", "500", "80", "78", "12"})
	s.run(exitFailed, "rollouts", first, "127.0.0.1:1")
	assert.Assert(t, strings.Contains(s.log.String(), "1 of 2 daemons did not answer"), s.log.String())
	s.run(exitUsage, "rollouts")
}
