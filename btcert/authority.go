package btcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

const (
	// serialBits is the size of a random serial number, as RFC 5280 allows.
	serialBits = 127
	// backdate covers the difference between the clocks of hosts.
	backdate = 5 * time.Minute

	typeCertificate = "CERTIFICATE"
	typeKey         = "EC PRIVATE KEY"
)

// Pair is a certificate with its key in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs the certificates of hosts.
type Authority struct {
	// Pair is the authority's own certificate and key.
	Pair Pair

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns a new authority.
func NewAuthority(name string, now time.Time, validFor time.Duration) (*Authority, error) {
	key, serial, err := newKey()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "bramleytack authority " + name},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(validFor),
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "btcert: authority")
	}
	pair, err := encode(der, key)
	if err != nil {
		return nil, err
	}
	return ParseAuthority(pair)
}

// ParseAuthority reads an authority.
func ParseAuthority(p Pair) (*Authority, error) {
	block, _ := pem.Decode(p.Certificate)
	if block == nil || block.Type != typeCertificate {
		return nil, errors.New("btcert: authority has no certificate in PEM")
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "btcert: authority's certificate")
	}
	if block, _ = pem.Decode(p.Key); block == nil || block.Type != typeKey {
		return nil, errors.New("btcert: authority has no key in PEM")
	}
	key, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "btcert: authority's key")
	}
	if !certificate.IsCA || !key.PublicKey.Equal(certificate.PublicKey) {
		return nil, errors.New("btcert: certificate and key are not those of an authority")
	}
	return &Authority{Pair: p, certificate: certificate, key: key}, nil
}

// Issue returns a certificate for a host.
func (a *Authority) Issue(host bramleytack.HostID, now time.Time, validFor time.Duration) (Pair, error) {
	key, serial, err := newKey()
	if err != nil {
		return Pair{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: string(host)},
		DNSNames:     []string{string(host)},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validFor),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, errors.Wrapf(err, "btcert: certificate of %s", host)
	}
	return encode(der, key)
}

func newKey() (*ecdsa.PrivateKey, *big.Int, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "btcert: key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return key, serial, errors.Wrap(err, "btcert: serial number")
}

func encode(der []byte, key *ecdsa.PrivateKey) (Pair, error) {
	b, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "btcert: key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: typeCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: typeKey, Bytes: b}),
	}, nil
}
