package btcapacity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"bramleytack/btsettings"
)

// certificateLife is longer than any run.
const certificateLife = time.Hour

// authority signs the certificates of a fleet.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	next int64
}

func newAuthority(dir string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	a := &authority{dir: dir, key: key, next: 1}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(a.next), Subject: pkix.Name{CommonName: "capacity"},
		NotBefore: now.Add(-certificateLife), NotAfter: now.Add(certificateLife),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	return a, a.write("ca", a.cert, &key.PublicKey, nil)
}

// issue writes the certificate of a host.
func (a *authority) issue(host string) (btsettings.PeerTLS, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return btsettings.PeerTLS{}, err
	}
	a.next++
	c := &x509.Certificate{
		SerialNumber: big.NewInt(a.next), Subject: pkix.Name{CommonName: host}, DNSNames: []string{host},
		NotBefore: a.cert.NotBefore, NotAfter: a.cert.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	t := btsettings.PeerTLS{Certificate: a.path(host, "crt"), Key: a.path(host, "key"), Authority: a.path("ca", "crt")}
	return t, a.write(host, c, &key.PublicKey, key)
}

func (a *authority) path(name, kind string) string { return filepath.Join(a.dir, name+"."+kind) }

func (a *authority) write(name string, c *x509.Certificate, public *ecdsa.PublicKey, private *ecdsa.PrivateKey) error {
	const mode = 0o600
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, public, a.key)
	if err != nil {
		return err
	}
	if err := os.WriteFile(a.path(name, "crt"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), mode); err != nil {
		return err
	}
	if private == nil {
		return nil
	}
	der, err = x509.MarshalECPrivateKey(private)
	if err != nil {
		return err
	}
	return os.WriteFile(a.path(name, "key"), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), mode)
}
