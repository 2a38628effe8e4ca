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

// Guards against a daemon that starts with settings that it misread.
func TestLoad(t *testing.T) {
	t.Run("a flag beats the file and the file beats the default", func(t *testing.T) {
		s, err := load(valid, "--listen", "127.0.0.2:9000")
		assert.NilError(t, err)
		assert.Equal(t, s.Listen.String(), "127.0.0.2:9000")
		assert.Equal(t, s.Limits.MaxTimeout, time.Hour)
		assert.Equal(t, s.Limits.MaxQueued, Defaults().Limits.MaxQueued)
	})
	t.Run("an environment variable beats the file", func(t *testing.T) {
		t.Setenv("BRAMLEYTACK_HOST", "qld-a-2")
		s, err := load(valid)
		assert.NilError(t, err)
		assert.Equal(t, s.Host, bramleytack.HostID("qld-a-2"))
	})
	t.Run("a file is required", func(t *testing.T) {
		_, err := Load(nil, nil)
		assert.ErrorIs(t, err, ErrNoFile)
	})
}

// Guards against a check that stops at its first finding or loses its place.
func TestFindings(t *testing.T) {
	cases := []struct {
		name string
		file string
		args []string
		want []string
	}{
		{"all faults at once", strings.NewReplacer("qld-a-1", "Q!", "127.0.0.1:8080", "nowhere", "1h", "-1s").Replace(valid), nil, []string{
			"f.yaml:1: host: is no valid name", "f.yaml:5: listen: is no address", "f.yaml:12: limits.maxTimeout: is no positive duration",
		}},
		{"unknown field", valid + "  maxBodies: 1\n", nil, []string{"f.yaml:13: limits.maxBodies: is no known field"}},
		{"missing field", strings.Replace(valid, "region: qld\n", "", 1), nil, []string{"f.yaml: region: is missing"}},
		{"bad flag", valid, []string{"--listen", "x"}, []string{"--listen: listen: is no address"}},
		{"no YAML", "host: [", nil, []string{"f.yaml:1: "}},
		{"wrong shape", "- host\n", nil, []string{"f.yaml:1: must be a mapping"}},
		{"two listeners on one address", strings.Replace(valid, "8081", "8080", 1), nil, []string{"adminListen: is the same address as listen"}},
		{"no certificates", strings.Replace(valid, "plain: true", "plain: false", 1), nil, []string{"peerTLS: certificate, key and authority"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := load(c.file, c.args...)
			assertFindings(t, err, c.want)
		})
	}
}

// Guards against a crash on a settings file of any content.
func FuzzReadYAML(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: &a [*a]"))
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
	var found bramleytack.Findings
	assert.Assert(t, errors.As(err, &found), "error: %v", err)
	text := found.Error()
	for _, w := range want {
		assert.Assert(t, strings.Contains(text, w), "%q is not in:\n%s", w, text)
	}
}
