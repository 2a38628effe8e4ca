package btcert

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// AuthorityName is the name to pass to CertificateFile, KeyFile and Pair.Write
// for the authority.
const AuthorityName = "authority"

const (
	certificateMode = 0o644
	keyMode         = 0o600 // only the file's owner may read a key
)

// CertificateFile returns the path of a certificate in dir. The name is a host id
// or AuthorityName.
func CertificateFile(dir, name string) string { return filepath.Join(dir, name+".pem") }

// KeyFile returns the path of a private key in dir. The name is a host id or
// AuthorityName.
func KeyFile(dir, name string) string { return filepath.Join(dir, name+"-key.pem") }

// Write writes the pair to its KeyFile and CertificateFile and overwrites existing
// files. After an error the key may be written without the certificate.
func (p Pair) Write(dir, name string) error {
	if err := os.WriteFile(KeyFile(dir, name), p.Key, keyMode); err != nil {
		return errors.Wrap(err, "btcert: write the key")
	}
	return errors.Wrap(os.WriteFile(CertificateFile(dir, name), p.Certificate, certificateMode), "btcert: write the certificate")
}
