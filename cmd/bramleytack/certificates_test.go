package main

import (
	"bytes"
	"crypto/tls"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack/btcert"
	"bramleytack/bttimer"
)

// Guards against certificates of two authorities after two calls, and against
// files under an invalid name.
func TestCertificates(t *testing.T) {
	timers := bttimer.New(1)
	defer timers.Close()
	dir := t.TempDir()
	run := func(args ...string) int {
		var out bytes.Buffer
		a := &app{out: &out, log: &out, timer: timers}
		return a.run(t.Context(), append([]string{"certificates", "--dir", dir}, args...))
	}
	assert.Equal(t, run("a-1"), 0)
	first, err := os.ReadFile(btcert.CertificateFile(dir, btcert.AuthorityName))
	assert.NilError(t, err)
	assert.Equal(t, run("a-2", "a-3"), 0)
	second, err := os.ReadFile(btcert.CertificateFile(dir, btcert.AuthorityName))
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
	for _, host := range []string{"a-1", "a-2", "a-3"} {
		_, err := tls.LoadX509KeyPair(btcert.CertificateFile(dir, host), btcert.KeyFile(dir, host))
		assert.NilError(t, err)
	}
	assert.Equal(t, run(), 2)
	assert.Equal(t, run("../a"), 2)
}
