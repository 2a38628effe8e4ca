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

// Guards against certificates that a peer refuses, or accepts for another host,
// another authority or too long.
func TestIssue(t *testing.T) {
	a, err := NewAuthority("a", now, 100*time.Hour)
	assert.NilError(t, err)
	again, err := ParseAuthority(a.Pair)
	assert.NilError(t, err)
	other, err := NewAuthority("b", now, 100*time.Hour)
	assert.NilError(t, err)
	pair, err := again.Issue("h-1", now, time.Hour)
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

// Guards against an authority whose files belong to two different ones.
func TestParseAuthority(t *testing.T) {
	a, err := NewAuthority("a", now, time.Hour)
	assert.NilError(t, err)
	b, err := NewAuthority("b", now, time.Hour)
	assert.NilError(t, err)
	host, err := a.Issue("h", now, time.Hour)
	assert.NilError(t, err)
	for name, p := range map[string]Pair{
		"mixed pair": {a.Pair.Certificate, b.Pair.Key}, "host": host, "swapped": {a.Pair.Key, a.Pair.Certificate}, "empty": {},
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
