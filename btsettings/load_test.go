package btsettings

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack"
)

const valid = `host: qld-a-1
region: qld
failureDomain: qld-a
cell: qld-1
listen: 127.0.0.1:8080
adminListen: 127.0.0.1:8081
peerListen: 127.0.0.1:8082
platform: 127.0.0.1:8090
peerTLS:
  plain: true
limits:
  maxTimeout: 1h
`

// Guards against a daemon that takes a setting from the wrong source or starts
// without a settings file.
func TestLoad(t *testing.T) {
	t.Run("a flag overrides the file and the file overrides the default", func(t *testing.T) {
		s, err := load(valid, "--listen", "127.0.0.2:9000")
		assert.NilError(t, err)
		assert.Equal(t, s.Listen.String(), "127.0.0.2:9000")
		assert.Equal(t, s.Limits.MaxTimeout, time.Hour)
		assert.Equal(t, s.Limits.MaxQueued, Defaults().Limits.MaxQueued)
	})
	t.Run("an environment variable overrides the file", func(t *testing.T) {
		t.Setenv("BRAMLEYTACK_HOST", "qld-a-2")
		s, err := load(valid)
		assert.NilError(t, err)
		assert.Equal(t, s.Host, bramleytack.HostID("qld-a-2"))
	})
	t.Run("a settings file is required", func(t *testing.T) {
		_, err := Load(nil, nil)
		assert.ErrorIs(t, err, ErrNoConfig)
	})
}

// Guards against a check that stops at its first finding or reports it with the
// wrong file, line or path.
func TestFindings(t *testing.T) {
	cases := []struct {
		name string
		file string
		args []string
		want []string
	}{
		{"all invalid fields at once", strings.NewReplacer("qld-a-1", "Q!", "127.0.0.1:8080", "nowhere", "1h", "-1s").Replace(valid), nil, []string{
			"f.yaml:1: host: is not a valid name", "f.yaml:5: listen: is not an address", "f.yaml:12: limits.maxTimeout: is not a positive duration",
		}},
		{"unknown field", valid + "  maxBodies: 1\n", nil, []string{"f.yaml:13: limits.maxBodies: is not a known field"}},
		{"missing field", strings.Replace(valid, "region: qld\n", "", 1), nil, []string{"f.yaml: region: is missing"}},
		{"bad flag", valid, []string{"--listen", "x"}, []string{"--listen: listen: is not an address"}},
		{"invalid YAML", "host: [", nil, []string{"f.yaml:1: "}},
		{"sequence instead of a mapping", "- host\n", nil, []string{"f.yaml:1: must be a mapping"}},
		{"two listeners on one address", strings.Replace(valid, "8081", "8080", 1), nil, []string{"adminListen: is the same address as listen"}},
		{"neither certificates nor plain", strings.Replace(valid, "plain: true", "plain: false", 1), nil, []string{"peerTLS: certificate, key and authority"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := load(c.file, c.args...)
			assertFindings(t, err, c.want)
		})
	}
}

// Guards against a panic on a malformed settings file.
func FuzzReadYAML(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: &a [*a]")) // an alias inside its own anchor
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := Defaults()
		readYAML("f.yaml", data, fields(&s))
	})
}

func load(file string, args ...string) (Settings, error) {
	read := func(string) ([]byte, error) { return []byte(file), nil }
	return Load(append([]string{"--config", "f.yaml"}, args...), read)
}

func assertFindings(t *testing.T, err error, want []string) {
	t.Helper()
	var findings bramleytack.Findings
	assert.Assert(t, errors.As(err, &findings), "error: %v", err)
	text := findings.Error()
	for _, w := range want {
		assert.Assert(t, strings.Contains(text, w), "%q is not in:\n%s", w, text)
	}
}
