package btfleet_test

import (
	"crypto/tls"
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack/internal/btfleet"
)

// Guards against links between daemons that accept a caller without a
// certificate.
func TestLinksNeedCertificates(t *testing.T) {
	b := start(t, btfleet.Config{Engines: 1, Services: 1, Daemons: 2})
	for _, p := range b.Daemons {
		c, err := tls.Dial("tcp", p.Addresses.Peer.String(), &tls.Config{InsecureSkipVerify: true})
		assert.NilError(t, err)
		defer c.Close()
		assert.Equal(t, c.ConnectionState().Version, uint16(tls.VersionTLS13))
		// With TLS 1.3, the refusal of a client follows its handshake.
		_, err = c.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "certificate required")
	}
}
