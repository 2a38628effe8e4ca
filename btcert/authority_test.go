package btcert

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against certificates that fail verification at a peer, or that pass it
// for another host, with another authority or after they expire.
func TestIssue(t *testing.T) {
	a, err := NewAuthority("a", now, 100*time.Hour)
	assert.NilError(t, err)
	parsed, err := ParseAuthority(a.Pair)
	assert.NilError(t, err)
	other, err := NewAuthority("b", now, 100*time.Hour)
	assert.NilError(t, err)
	pair, err := parsed.Issue("h-1", now, time.Hour)
	assert.NilError(t, err)
	_, err = tls.X509KeyPair(pair.Certificate, pair.Key)
	assert.NilError(t, err)
	for _, c := range []struct {
		name      string
		authority *Authority
		host      string
		at        time.Time
		ok        bool
	}{
		{"valid", a, "h-1", now.Add(time.Minute), true},
		{"clock behind", a, "h-1", now.Add(-time.Minute), true},
		{"another host", a, "h-2", now.Add(time.Minute), false},
		{"another authority", other, "h-1", now.Add(time.Minute), false},
		{"expired", a, "h-1", now.Add(2 * time.Hour), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
				assert.Equal(t, verify(t, pair, c.authority, c.host, c.at, usage) == nil, c.ok)
			}
		})
	}
}

// Guards against loading an authority from mixed or swapped files, or from the
// files of a host.
func TestParseAuthority(t *testing.T) {
	a, err := NewAuthority("a", now, time.Hour)
	assert.NilError(t, err)
	b, err := NewAuthority("b", now, time.Hour)
	assert.NilError(t, err)
	hostPair, err := a.Issue("h", now, time.Hour)
	assert.NilError(t, err)
	for name, p := range map[string]Pair{
		"mixed pair": {a.Pair.Certificate, b.Pair.Key}, "host": hostPair, "swapped": {a.Pair.Key, a.Pair.Certificate}, "empty": {},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseAuthority(p)
			assert.Assert(t, err != nil)
		})
	}
}

func verify(t *testing.T, p Pair, a *Authority, host string, at time.Time, usage x509.ExtKeyUsage) error {
	t.Helper()
	block, _ := pem.Decode(p.Certificate)
	certificate, err := x509.ParseCertificate(block.Bytes)
	assert.NilError(t, err)
	roots := x509.NewCertPool()
	assert.Assert(t, roots.AppendCertsFromPEM(a.Pair.Certificate))
	_, err = certificate.Verify(x509.VerifyOptions{DNSName: host, Roots: roots, CurrentTime: at, KeyUsages: []x509.ExtKeyUsage{usage}})
	return err
}
