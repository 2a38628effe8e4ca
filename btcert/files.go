package btcert

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// AuthorityName is the name of the authority's files.
const AuthorityName = "authority"

// Modes of the written files. Keys are for their owner only.
const (
	certificateMode = 0o644
	keyMode         = 0o600
)

// CertificateFile returns the file of a host's certificate, or of the
// authority's, in a folder.
func CertificateFile(dir, name string) string { return filepath.Join(dir, name+".pem") }

// KeyFile returns the file of a key in a folder.
func KeyFile(dir, name string) string { return filepath.Join(dir, name+"-key.pem") }

// Write writes both files of a pair.
func (p Pair) Write(dir, name string) error {
	if err := os.WriteFile(KeyFile(dir, name), p.Key, keyMode); err != nil {
		return errors.Wrap(err, "btcert: key")
	}
	return errors.Wrap(os.WriteFile(CertificateFile(dir, name), p.Certificate, certificateMode), "btcert: certificate")
}
