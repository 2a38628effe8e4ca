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
	// serialBits stays below the 20 octets that RFC 5280 allows for a serial number.
	serialBits = 127
	// backdate lets a host whose clock is behind accept a new certificate.
	backdate = 5 * time.Minute

	pemTypeCertificate = "CERTIFICATE"
	pemTypeKey         = "EC PRIVATE KEY"
)

// Pair is a certificate and its private key, each as one PEM block.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs the certificates of hosts. Its methods are safe for concurrent
// use. The zero value is not usable.
type Authority struct {
	// Pair is the authority's self-signed certificate and its key.
	Pair Pair

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority generates a key and a self-signed certificate that is valid until
// now+validFor. The name becomes part of the certificate's common name.
func NewAuthority(name string, now time.Time, validFor time.Duration) (*Authority, error) {
	key, serial, err := newKeyAndSerial()
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
		return nil, errors.Wrap(err, "btcert: create the authority's certificate")
	}
	pair, err := encodePair(der, key)
	if err != nil {
		return nil, err
	}
	return ParseAuthority(pair)
}

// ParseAuthority decodes an authority from its PEM blocks. It returns an error if
// the certificate is not a CA certificate or the key does not belong to it.
func ParseAuthority(p Pair) (*Authority, error) {
	block, _ := pem.Decode(p.Certificate)
	if block == nil || block.Type != pemTypeCertificate {
		return nil, errors.New("btcert: the authority's certificate is not a PEM block of type CERTIFICATE")
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "btcert: parse the authority's certificate")
	}
	if block, _ = pem.Decode(p.Key); block == nil || block.Type != pemTypeKey {
		return nil, errors.New("btcert: the authority's key is not a PEM block of type EC PRIVATE KEY")
	}
	key, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "btcert: parse the authority's key")
	}
	if !certificate.IsCA || !key.PublicKey.Equal(certificate.PublicKey) {
		return nil, errors.New("btcert: the authority's certificate is not a CA certificate or does not match the key")
	}
	return &Authority{Pair: p, certificate: certificate, key: key}, nil
}

// Issue returns a new key and a certificate for it with the host id as its DNS
// name. The certificate is valid until now+validFor.
func (a *Authority) Issue(host bramleytack.HostID, now time.Time, validFor time.Duration) (Pair, error) {
	key, serial, err := newKeyAndSerial()
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
		return Pair{}, errors.Wrapf(err, "btcert: create the certificate of host %s", host)
	}
	return encodePair(der, key)
}

func newKeyAndSerial() (*ecdsa.PrivateKey, *big.Int, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "btcert: generate a key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return key, serial, errors.Wrap(err, "btcert: generate a serial number")
}

func encodePair(der []byte, key *ecdsa.PrivateKey) (Pair, error) {
	b, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "btcert: encode the key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemTypeCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: b}),
	}, nil
}
